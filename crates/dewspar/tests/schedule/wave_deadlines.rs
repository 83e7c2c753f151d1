//! The deadlines of large waves.
//!
//! Guards against waves that select one more VM per pass: a busy node runs
//! only 11 to 20 passes a second. With 1,100 workers, 171 of some 600 VMs were
//! then left after the 26 s of a wave, nearly all of them idle, with at most
//! 70 down of 229 allowed.

use {
    crate::{
        pool_sizing::{move_of_spare, vm_orders},
        world::{POOL, ROOM, World, at, id, job, listing, managed, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{ManagedVm, VmOrder, VmStatus, WaveRequest, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a VM is down, in milliseconds.
const DOWN_MS: u64 = 2_000;

/// A world with a wave in progress. Each VM is down for a while.
struct Wave {
    world: World,
    request: WaveRequest,
    /// The VMs that are down, each with the time at which it is back.
    down: BTreeMap<String, u64>,
    begun: BTreeSet<String>,
    most_down: usize,
    /// The VMs that move to another pool as soon as they are back.
    moving: BTreeSet<String>,
    completed: bool,
    begun_ms: u64,
}

impl Wave {
    fn of(vms: usize, max_down: usize, duration_ms: u64) -> Wave {
        let names: Vec<String> =
            (0..vms).map(|number| format!("w{number:03}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut world = World::new(5, &names);
        world.list();
        world.expect_all();
        world.run_for(500);
        let vms = world.listings.iter().map(|listing| listing.vm.clone());
        let request =
            WaveRequest { wave: 1, vms: vms.collect(), duration_ms, max_down };
        let begun_ms = world.now_ms;
        Wave {
            world,
            request,
            down: BTreeMap::new(),
            begun: BTreeSet::new(),
            most_down: 0,
            moving: BTreeSet::new(),
            completed: false,
            begun_ms,
        }
    }

    fn list_vms(&mut self) {
        let (down, moving) = (&self.down, &self.moving);
        let vms = self.world.listings.iter().map(|listing| {
            let vm = managed(listing);
            match down.contains_key(&listing.vm) {
                true => {
                    let status = VmStatus::Maintenance;
                    ManagedVm { status, worker: None, ..vm }
                }
                false if moving.contains(&listing.vm) => {
                    let status = VmStatus::Moving;
                    ManagedVm { status, worker: None, ..vm }
                }
                false => vm,
            }
        });
        let vms: Vec<ManagedVm> = vms.collect();
        let now_ms = self.world.now_ms;
        let requests = [self.request.clone()];
        let (scheduler, none) = (&mut self.world.scheduler, BTreeMap::new());
        scheduler.request_waves(at(now_ms), &requests, &none, &[]);
        scheduler.list_vms(at(now_ms), now_ms, &vms);
    }

    fn take_down(&mut self, vm: &str) {
        let world = &mut self.world;
        let now = at(world.now_ms);
        let found = world.listings.iter_mut().find(|l| l.vm == vm);
        let listing = found.expect("a listed VM");
        let old = world.workers.remove(&listing.id);
        let running = old.map_or(0, |mut w| w.running(now.steady_ms).len());
        assert_eq!(running, 0, "the worker was not drained");
        listing.id = WorkerId::new(&format!("{}+", listing.id));
        self.down.insert(vm.to_owned(), now.steady_ms + DOWN_MS);
        self.begun.insert(vm.to_owned());
        self.most_down = self.most_down.max(self.down.len());
        world.scheduler.maintenance_answered(vm, 1, Ok(()), now);
    }

    fn restore_workers(&mut self) {
        let now_ms = self.world.now_ms;
        let back = self.down.extract_if(.., |_, back| *back <= now_ms);
        let back: BTreeSet<String> = back.map(|(vm, _)| vm).collect();
        for listing in &self.world.listings {
            if back.contains(&listing.vm) {
                let worker = TaskWorker::new(ROOM);
                self.world.workers.insert(listing.id.clone(), worker);
            }
        }
        let down = &self.down;
        let listings = self.world.listings.iter();
        let up = listings.filter(|listing| !down.contains_key(&listing.vm));
        let up = up.cloned().collect();
        self.world.scheduler.list_workers(at(now_ms), up);
    }

    /// Runs one pass, then lets this time pass, in milliseconds.
    fn pass(&mut self, every_ms: u64) {
        self.list_vms();
        let now = at(self.world.now_ms);
        for order in self.world.scheduler.plan_vms(now) {
            match order {
                VmOrder::Maintain { vm, .. } => self.take_down(&vm),
                VmOrder::ReportCompleted { .. } => self.completed = true,
                VmOrder::ReportRunning { .. } | VmOrder::Move { .. } => {}
            }
        }
        self.world.run_for(every_ms);
        self.restore_workers();
    }

    /// Runs passes until the deadline.
    fn run_to_deadline(&mut self, every_ms: u64) {
        while self.world.now_ms < self.begun_ms + self.request.duration_ms {
            self.pass(every_ms);
        }
    }
}

#[test]
fn a_large_wave_ends_in_time() {
    let mut wave = Wave::of(500, 200, 20_000);
    wave.run_to_deadline(50);
    assert_eq!(wave.begun.len(), 500);
    assert!(wave.most_down <= 200, "{} were down", wave.most_down);
}

#[test]
fn a_large_wave_ends_in_time_with_infrequent_passes() {
    let mut wave = Wave::of(300, 120, 16_000);
    wave.run_to_deadline(200);
    assert_eq!(wave.begun.len(), 300);
    assert!(wave.most_down <= 120, "{} were down", wave.most_down);
}

#[test]
fn a_large_wave_is_spread_over_its_duration() {
    // VMs that are down are missed as soon as jobs arrive.
    let mut wave = Wave::of(200, 200, 24_000);
    let begin = wave.world.now_ms;
    while wave.world.now_ms < begin + 1_000 {
        wave.pass(50);
    }
    let spread = 200 * 3 / 20;
    assert!(wave.begun.len() <= spread, "{} in a second", wave.begun.len());
}

#[test]
fn a_wave_completes_when_its_vms_move_before_the_list_shows_them_up() {
    // A VM that is back may be needed elsewhere at once. If the list of VMs is
    // read only every 1.2 s, each read may show it moving to another pool
    // instead of up.
    let mut wave = Wave::of(4, 4, 5_000);
    for _ in 0..10 {
        wave.pass(50);
    }
    assert_eq!(wave.begun.len(), 4);
    assert!(!wave.completed);
    wave.moving = wave.request.vms.iter().cloned().collect();
    for _ in 0..60 {
        wave.pass(50);
    }
    assert!(wave.completed);
}

#[test]
fn a_wave_is_not_completed_while_a_vm_is_down() {
    let mut wave = Wave::of(4, 4, 16_000);
    for _ in 0..30 {
        wave.pass(50);
        assert!(!wave.completed);
    }
}

#[test]
fn a_vm_is_added_for_a_task_that_no_other_worker_can_take() {
    // Guards against a VM that is never drained: the pool had no other place
    // for the last of its six tasks for 5 s, and got no VM because no task was
    // waiting. One of 572 VMs was left when its wave was due.
    let mut world = World::new(5, &["w1", "w2", "w4", "w5", "w6"]);
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(100);
    world.fate = Fate::endless();
    // The pool lacks memory, which its target size doesn't account for.
    let long = StepSpec {
        long_running: true,
        memory_mb: 3_000,
        cpu_millis: 100,
        ..step(5)
    };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(300);
    assert_eq!(world.running().len(), 5);
    let request = WaveRequest {
        wave: 1,
        vms: vec!["vm-of-w1".to_owned()],
        duration_ms: 10_000,
        max_down: 1,
    };
    let (now, none) = (at(world.now_ms), BTreeMap::new());
    world.scheduler.request_waves(now, &[request], &none, &[]);
    // The holder orders nothing until stops of a former one must be over.
    world.run_for(2_000);
    let orders: Vec<VmOrder> = vm_orders(&mut world);
    assert!(orders.contains(&move_of_spare()), "{orders:?}");
    assert_eq!(world.running().len(), 5);
}

/// A wave of 400 VMs, of which 40 run one long-running task each.
fn wave_with_long_running_tasks() -> (Wave, BTreeSet<String>) {
    let mut wave = Wave::of(400, 200, 20_000);
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: 8,
        ..step(40)
    };
    wave.world.fate = Fate::endless();
    wave.world.scheduler.submit(id(1), job(vec![long]), 6, None);
    wave.world.run_for(500);
    assert_eq!(wave.world.running().len(), 40);
    // The holder evicts nothing until stops of a former one must be over.
    wave.world.run_for(2_000);
    wave.begun_ms = wave.world.now_ms;
    let starts = wave.world.starts.iter();
    let vms = starts.map(|(worker, _)| format!("vm-of-{worker}")).collect();
    (wave, vms)
}

#[test]
fn long_running_tasks_leave_throughout_a_wave() {
    // Guards against long-running tasks left for the end of a wave, when a
    // peak of their queue takes every place that they could move to.
    let (mut wave, long_running_vms) = wave_with_long_running_tasks();
    while wave.world.now_ms < wave.begun_ms + 8_000 {
        wave.pass(50);
    }
    let left = wave.begun.intersection(&long_running_vms).count();
    assert!(left >= 10, "{left} of 40 by the middle");
    wave.run_to_deadline(50);
    assert_eq!(wave.begun.len(), 400);
}

#[test]
fn long_running_tasks_move_once_per_wave() {
    let (mut wave, _) = wave_with_long_running_tasks();
    wave.run_to_deadline(50);
    assert_eq!(wave.begun.len(), 400);
    let mut starts = BTreeMap::new();
    for (_, order) in &wave.world.starts {
        *starts.entry(order.task).or_insert(0) += 1;
    }
    let again = starts.values().filter(|starts| **starts > 2).count();
    assert_eq!(again, 0, "tasks moved more than once");
}
