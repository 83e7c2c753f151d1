//! Simulates waves together with budgets and placement, step by step.

use {
    dewspar::{
        budget,
        config::{Change, Resource, Snapshot},
        fleet::{Hall, Listing, Row, VmState},
        place::{self, Usage},
        pool::{PoolState, Reason, TaskState},
        wave::{self, Step},
    },
    quickcheck::{Gen, QuickCheck},
};

/// A pool and its documents; every action succeeds at once.
struct Sim {
    snapshot: Snapshot,
    hall: Hall,
    state: PoolState,
    now_ms: u64,
}

impl Sim {
    fn new(vms: usize, min_available: usize, survive_rack: bool) -> Sim {
        let names: Vec<String> = (0..vms).map(|n| format!("vm-{n}")).collect();
        let text = format!(
            "kind: Team\nname: t\nspec: {{partner: p}}\n---\n\
             kind: Pool\nname: p\nspec: {{vms: [{}]}}\n---\n\
             kind: Service\nname: s\n\
             spec: {{team: t, pool: p, runners: {vms}}}\n---\n\
             kind: AvailabilityBudget\nname: b\n\
             spec: {{pool: p, service: s, min_available: {min_available}, \
             survive_rack: {survive_rack}}}\n---\n\
             kind: MaintenanceWave\nname: w\nspec: {{pool: p}}\n",
            names.join(", "),
        );
        let resources = Resource::all_from_yaml(&text).expect("documents");
        let changes: Vec<Change> =
            resources.into_iter().map(Change::put).collect();
        let snapshot = Snapshot::default().apply(&changes).expect("valid");
        let mut hall = Hall::default();
        for (index, name) in names.iter().enumerate() {
            let rack = format!("rack-{}", index / 2);
            hall.apply_listing(&Listing::new(
                name,
                "hall",
                &rack,
                "127.0.0.1:1",
            ));
            hall.assign(name, Some("p"), 0).expect("free");
        }
        let state = PoolState::default();
        let mut sim = Sim { snapshot, hall, state, now_ms: 0 };
        sim.place();
        sim
    }

    fn rows(&self) -> Vec<(&str, &Row)> {
        self.hall.rows().collect()
    }

    fn place(&mut self) {
        let rows: Vec<(&str, &Row)> = self.hall.rows().collect();
        let usage = Usage::default();
        let steps =
            place::plan(&self.snapshot, "p", &self.state, &rows, &usage);
        for step in steps {
            self.apply(step);
        }
    }

    fn apply(&mut self, step: place::Step) {
        match step {
            place::Step::Place { task, owner, vm } => {
                self.state.place(&task, &owner, &vm, 0).expect("placed");
                let epoch = self.state.task(&task).expect("it").epoch();
                self.state.started(&task, epoch, "a").expect("started");
            }
            place::Step::Wait { task, owner, why } => {
                self.state.set_waiting(&task, &owner, &why, 0);
            }
            place::Step::Unplace { task, why } => {
                self.state.unplace(&task, &why, 0).expect("unplaced");
            }
            place::Step::Remove { task } => {
                self.state.remove(&task);
            }
        }
    }

    /// Carries out the wave's next steps; returns whether there was any.
    fn step(&mut self) -> bool {
        self.now_ms += 1;
        self.place();
        let steps =
            wave::steps(&self.snapshot, "w", &self.state, &self.rows());
        let mut done = false;
        for step in steps {
            done |= self.carry_out(step);
            assert!(!self.violates_budget(), "a step broke the budget");
        }
        done
    }

    fn carry_out(&mut self, step: Step) -> bool {
        let now_ms = self.now_ms;
        match step {
            Step::Take { vm } => {
                let reason = Reason::Wave("w".to_owned());
                self.state.take(&vm, reason, now_ms);
            }
            Step::Drain { vm } => {
                self.hall.handle(&vm, "drain", now_ms).expect("serving");
            }
            Step::RebootWhenDrained { vm } => {
                self.hall.handle(&vm, "reboot", now_ms).expect("draining");
            }
            Step::Reboot { vm } => {
                self.hall.handle(&vm, "booted", now_ms).expect("rebooting");
                self.hall.mark_maintained(&vm, "w").expect("listed");
            }
            Step::Release { vm } => {
                assert!(self.state.release(&vm));
            }
            Step::Complete => self.state.complete_wave("w", 1),
            Step::Blocked { .. } => {
                let rows: Vec<(&str, &Row)> = self.hall.rows().collect();
                let usage = Usage::default();
                let spread = place::spread(
                    &self.snapshot,
                    "p",
                    &self.state,
                    &rows,
                    &usage,
                    "w",
                );
                match spread {
                    None => return false,
                    Some(step) => self.apply(step),
                }
            }
        }
        true
    }

    fn violates_budget(&self) -> bool {
        budget::first_violation(&self.snapshot, "p", &self.state, &self.rows())
            .is_some()
    }

    fn moves(&self) -> u32 {
        self.state.tasks().map(|(_, task)| task.moves()).sum()
    }

    fn fail(&mut self, vm: &str) {
        self.hall.handle(vm, "lose", self.now_ms).expect("it can fail");
        self.state.take(vm, Reason::Failure, self.now_ms);
        self.place();
    }

    fn recover(&mut self, vm: &str) {
        self.hall.handle(vm, "return", self.now_ms).expect("lost");
        self.state.release(vm);
    }

    fn run(&mut self) -> bool {
        for _ in 0..1_000 {
            if self.state.wave_done("w") {
                return true;
            }
            if !self.step() {
                return false;
            }
        }
        panic!("the wave neither completes nor blocks");
    }
}

#[test]
fn wave_without_failures_moves_no_task() {
    for vms in 2..12 {
        let mut sim = Sim::new(vms, vms - 1, false);
        assert!(sim.run(), "{vms} VMs");
        assert_eq!(sim.moves(), 0);
        let maintained =
            sim.rows().iter().all(|(_, row)| row.maintained() == Some("w"));
        assert!(maintained);
    }
}

#[test]
fn wave_waits_when_the_budget_leaves_no_room() {
    let mut sim = Sim::new(4, 4, false);
    assert!(!sim.run());
    let steps = wave::steps(&sim.snapshot, "w", &sim.state, &sim.rows());
    assert!(matches!(&steps[..], [Step::Blocked { .. }]), "{steps:?}");
}

#[test]
fn wave_reserves_the_loss_of_the_largest_rack() {
    // With two VMs per rack, 8 - 1 - 2 remain when one VM is taken and another
    // rack is lost.
    let mut sim = Sim::new(8, 6, true);
    assert!(!sim.run());
    let mut sim = Sim::new(8, 5, true);
    assert!(sim.run());
}

#[test]
fn wave_spreads_siblings_that_a_failure_placed_on_one_vm() {
    // A VM fails, and its runner is placed on the VM of a sibling. That VM
    // can't be taken until the runners are on separate VMs again, and the wave
    // can't complete without the VM that failed.
    let mut sim = Sim::new(4, 3, false);
    sim.fail("vm-2");
    assert_eq!(sim.moves(), 1);
    assert!(!sim.run(), "one VM is missing");
    sim.recover("vm-2");
    assert!(sim.run());
    assert!(sim.moves() <= 3, "{} moves", sim.moves());
}

#[test]
fn budget_holds_whenever_a_vm_fails() {
    fn holds(vms: usize, fail_at: u8, which: usize, back_after: u8) -> bool {
        let vms = 4 + vms % 9;
        let mut sim = Sim::new(vms, vms - 2, false);
        for _ in 0..fail_at % 60 {
            if !sim.step() {
                break;
            }
        }
        let vm = format!("vm-{}", which % vms);
        let row = sim.hall.row(&vm).expect("listed");
        if row.state() == VmState::Free {
            return true;
        }
        sim.fail(&vm);
        assert!(!sim.violates_budget(), "one failure is within the budget");
        for _ in 0..back_after {
            sim.step();
        }
        if sim.hall.row(&vm).map(Row::state) == Some(VmState::Lost) {
            sim.recover(&vm);
        }
        let up = sim
            .state
            .tasks()
            .all(|(_, task)| task.state() == TaskState::Running);
        assert!(up, "every runner has a VM");
        sim.run()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(400)
        .quickcheck(holds as fn(usize, u8, usize, u8) -> bool);
}
