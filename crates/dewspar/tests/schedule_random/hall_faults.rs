//! Data halls that are lost or cut off, and what must hold meanwhile.

use {
    crate::world::World,
    dewspar::{
        job::JobId,
        schedule::{
            Action, Decision, ManagedVm, Options, Resources, StartOrder,
            VmStatus, WorkerId,
        },
    },
    rand::Rng,
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of VMs, and of the halls that they are in by turns.
const VMS: u32 = 15;
const HALLS: u32 = 3;

/// The number of steps from one burst of jobs to the next, and the number of
/// its jobs.
const BURST_STEPS: u64 = 50;
const BURST_JOBS: u64 = 8;

/// How long after three workers of a hall have missed an answer no start is
/// ordered there any more, in milliseconds: the time to confirm the hall's
/// event, and that between two doubts.
const MAX_LATE_START_MS: u64 = 500;

/// For how long a loss may count against tasks before its hall is recognized
/// as the cause, in milliseconds.
const MAX_SUSPICION_MS: u64 = 3_000;

/// Returns the VM that a worker runs on.
pub fn vm_of(id: &WorkerId) -> u32 {
    let name = id.as_str().trim_start_matches('w');
    let vm = name.split('-').next();
    vm.and_then(|vm| vm.parse().ok()).unwrap_or(0)
}

/// Returns the hall that a VM is in.
pub fn hall_of(vm: u32) -> String {
    format!("hall-{}", vm % HALLS)
}

/// A fault of a hall.
struct Fault {
    hall: String,
    until_ms: u64,
    /// Whether its VMs are down.
    is_lost: bool,
    /// The workers that missed an answer of the current holder.
    missed: BTreeSet<WorkerId>,
    /// When the third of them did.
    third_miss_ms: Option<u64>,
}

/// The faults of data halls in a run.
#[derive(Default)]
pub struct HallFaults {
    tolerated: usize,
    fault: Option<Fault>,
    /// When the last fault began or ended, or a holder took over.
    changed_ms: u64,
    pub lost: u32,
    pub cut_off: u32,
    /// When each lost hall last returned.
    returned_ms: BTreeMap<String, u64>,
    /// When the current holder took over.
    taken_over_ms: u64,
    /// The jobs with a task that was suspected by a holder which took over
    /// after the hall had returned. It only finds that the worker of a
    /// recorded start is gone.
    excused: BTreeSet<JobId>,
    /// The number of faults that the scheduler recognized.
    pub recognized: u32,
    /// Whether violations are counted instead of reported.
    pub only_counts: bool,
    pub late_starts: u32,
    pub suspicions: u32,
}

impl HallFaults {
    pub fn options(&self) -> Options {
        Options::default().tolerated_halls(self.tolerated)
    }

    /// Returns whether a worker's hall is cut off or lost.
    pub fn is_out(&self, id: &WorkerId) -> bool {
        let fault = self.fault.as_ref();
        fault.is_some_and(|fault| fault.hall == hall_of(vm_of(id)))
    }
}

impl World {
    /// Returns a world whose data halls are lost and cut off, one at a time,
    /// where this many may be lost at once.
    pub fn with_hall_faults(seed: u64, tolerated: usize) -> World {
        let mut world = World::new(seed);
        world.hall_faults =
            Some(HallFaults { tolerated, ..HallFaults::default() });
        world.processes.clear();
        for vm in 0..VMS {
            world.start_process(vm);
        }
        world.take_over();
        world
    }

    /// Submits jobs in bursts, so that workers without runs get some at any
    /// time.
    pub fn submit_bursts(&mut self, step: u64) {
        let has_bursts =
            self.hall_faults.is_some() || self.former_entries.is_some();
        if !has_bursts || !step.is_multiple_of(BURST_STEPS) {
            return;
        }
        let first = 10 + step / BURST_STEPS * BURST_JOBS;
        for number in first..first + BURST_JOBS {
            self.submit(number);
        }
    }

    /// Adds an order to the digest of all orders.
    pub fn record_order(&mut self, action: &Action) {
        let text = format!("{action:?}");
        for byte in text.bytes() {
            self.digest ^= u64::from(byte);
            self.digest = self.digest.wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn is_hall_out(&self, id: &WorkerId) -> bool {
        self.hall_faults.as_ref().is_some_and(|faults| faults.is_out(id))
    }

    /// Notes that a call to a worker of a hall that is out got no answer.
    pub fn note_missed(&mut self, id: &WorkerId) {
        let now_ms = self.now_ms;
        let faults = self.hall_faults.as_mut();
        let fault = faults.and_then(|faults| faults.fault.as_mut());
        let Some(fault) = fault else { return };
        fault.missed.insert(id.clone());
        if fault.missed.len() >= 3 {
            fault.third_miss_ms.get_or_insert(now_ms);
        }
    }

    /// Notes that another holder has to find out by itself.
    pub fn hall_took_over(&mut self) {
        let now_ms = self.now_ms;
        let Some(faults) = &mut self.hall_faults else { return };
        faults.changed_ms = now_ms;
        faults.taken_over_ms = now_ms;
        if let Some(fault) = &mut faults.fault {
            fault.missed.clear();
            fault.third_miss_ms = None;
        }
        let serving = BTreeSet::from(["registry".to_owned()]);
        self.scheduler.configure_pools(serving, BTreeSet::new());
        self.list_vms();
    }

    /// Begins or ends a fault of a hall.
    pub fn change_hall_fault(&mut self) {
        let now_ms = self.now_ms;
        let Some(faults) = &mut self.hall_faults else { return };
        if let Some(fault) = &faults.fault {
            let state = self.scheduler.hall_state(&fault.hall);
            if now_ms < fault.until_ms && self.faults {
                return;
            }
            faults.recognized += u32::from(!state.takes_tasks());
            let (hall, is_lost) = (fault.hall.clone(), fault.is_lost);
            faults.fault = None;
            faults.changed_ms = now_ms;
            if is_lost {
                faults.returned_ms.insert(hall.clone(), now_ms);
                for vm in (0..VMS).filter(|vm| hall_of(*vm) == hall) {
                    self.start_process(vm);
                }
            }
            return;
        }
        if !self.chance(8) {
            return;
        }
        let hall = hall_of(self.random.random_range(0..HALLS));
        let is_lost = self.random.random();
        let until_ms = now_ms + self.random.random_range(500..9_000);
        if is_lost {
            self.processes.retain(|_, process| process.listing.hall != hall);
        }
        let Some(faults) = &mut self.hall_faults else { return };
        faults.lost += u32::from(is_lost);
        faults.cut_off += u32::from(!is_lost);
        faults.changed_ms = now_ms;
        faults.fault = Some(Fault {
            hall,
            until_ms,
            is_lost,
            missed: BTreeSet::new(),
            third_miss_ms: None,
        });
    }

    /// Reads the list of VMs.
    pub fn list_vms(&mut self) {
        if self.hall_faults.is_none() {
            return;
        }
        let managed = |vm: u32| {
            let name = format!("vm-{vm}");
            let mut processes = self.processes.values();
            let process = processes.find(|p| p.listing.vm == name);
            ManagedVm {
                vm: name.clone(),
                pool: "registry".to_owned(),
                status: match process {
                    Some(_) => VmStatus::Up,
                    None => VmStatus::Down,
                },
                hall: hall_of(vm),
                capacity: Resources::default(),
                worker: process.map(|process| process.listing.id.clone()),
            }
        };
        let vms: Vec<ManagedVm> = (0..VMS).map(managed).collect();
        let now = self.now();
        self.scheduler.list_vms(now, now.steady_ms, &vms);
    }

    pub fn list_vms_if_requested(&mut self) {
        if self.scheduler.take_vm_list_request() {
            self.list_vms();
            self.request_vm_list();
        }
    }

    /// Checks that nothing is started in a hall for long after it fell silent.
    pub fn check_start_in_hall(
        &mut self,
        worker: &WorkerId,
        order: &StartOrder,
    ) {
        let now_ms = self.now_ms;
        let state = self.scheduler.hall_state(&hall_of(vm_of(worker)));
        let Some(faults) = &mut self.hall_faults else { return };
        let is_down = !state.takes_tasks();
        assert!(!is_down, "{}: started in a hall {state:?}", order.task);
        if !faults.is_out(worker) {
            return;
        }
        let fault = faults.fault.as_ref();
        let missed_ms = fault.and_then(|fault| fault.third_miss_ms);
        let late = missed_ms.is_some_and(|at| now_ms > at + MAX_LATE_START_MS);
        faults.late_starts += u32::from(late);
        let counts = faults.only_counts;
        assert!(!late || counts, "{}: started on {worker}", order.task);
    }

    /// Checks that no task is suspected because a hall was lost. Nothing else
    /// ends workers in these runs.
    pub fn check_hall_losses(&mut self) {
        let now_ms = self.now_ms;
        let decisions = self.scheduler.take_decisions();
        self.check_ended_workers(&decisions);
        let Some(faults) = &mut self.hall_faults else { return };
        for decision in &decisions {
            let Decision::Suspected { task, worker, .. } = decision else {
                continue;
            };
            let returned_ms = faults.returned_ms.get(&hall_of(vm_of(worker)));
            if returned_ms.is_some_and(|at_ms| *at_ms < faults.taken_over_ms) {
                faults.excused.insert(task.job);
            }
        }
        let given_up = |d: &&Decision| matches!(d, Decision::GivenUp { .. });
        if let Some(given_up) = decisions.iter().find(given_up) {
            assert!(faults.only_counts, "{given_up:?}");
        }
        if now_ms < faults.changed_ms + MAX_SUSPICION_MS {
            return;
        }
        let jobs = self.store.progress.iter();
        let mut tasks = jobs
            .filter(|(_, progress)| !progress.phase.is_final())
            .filter(|(id, _)| !faults.excused.contains(*id))
            .flat_map(|(_, progress)| progress.tasks.iter());
        let suspected = tasks.any(|task| task.crashes > 0);
        faults.suspicions += u32::from(suspected);
        assert!(!suspected || faults.only_counts, "a task is suspected");
    }
}
