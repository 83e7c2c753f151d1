//! A simulated scheduler with its workers, which carries out every order at
//! once.

use {
    dewspar::{
        job::{JobId, JobSpec, Progress, StepSpec, TaskId},
        schedule::{
            AcceptedJob, Action, HoldReport, Incarnation, ManagedVm, Now,
            Options, OrderError, QueueTerms, Refusal, Resources, Scheduler,
            SeenHolders, SentHold, SilentWorkers, StartOrder, StopOrder,
            UseCeilings, VmStatus, WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, BTreeSet},
};

pub const POOL: &str = "registry";

/// How long a crashed worker takes to restart, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// The start time of the workers' first processes, in milliseconds of the Unix
/// epoch.
const FIRST_START_MS: u64 = 1_600_000_000_000;

pub const ROOM: Resources =
    Resources { cpu_millis: 4_000, memory_mb: 4_000, gpus: 0 };

pub fn at(steady_ms: u64) -> Now {
    Now { steady_ms, unix_ms: 1_700_000_000_000 + steady_ms }
}

pub fn listing(name: &str) -> WorkerListing {
    WorkerListing {
        id: WorkerId::new(name),
        incarnation: Incarnation::UNKNOWN,
        address: format!("{name}:1"),
        vm: format!("vm-of-{name}"),
        pool: POOL.to_owned(),
        hall: "hall-1".to_owned(),
        rack: "rack-1".to_owned(),
        labels: vec!["a".to_owned(), "rack-1".to_owned()],
        capacity: ROOM,
        draining: false,
        remaining_ms: None,
        cold_remaining_ms: 0,
    }
}

pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        cpu_millis: 1_000,
        memory_mb: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

pub fn job(steps: Vec<StepSpec>) -> AcceptedJob {
    AcceptedJob {
        spec: JobSpec { steps, ..JobSpec::default() },
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        accepted_at_ms: 1_700_000_000_000,
        team: None,
    }
}

pub fn id(number: u64) -> JobId {
    // OK because it is always 16 hexadecimal digits.
    format!("{number:016x}").parse().unwrap()
}

/// The resources that a job's runs take, and how they end.
#[derive(Clone, Copy)]
pub struct RunKind {
    pub demand: Resources,
    pub fate: Fate,
}

/// A scheduler and its workers. Every order is carried out at once, unless its
/// worker is unreachable.
pub struct World {
    pub scheduler: Scheduler,
    pub workers: BTreeMap<WorkerId, TaskWorker>,
    pub listings: Vec<WorkerListing>,
    pub unreachable: Vec<WorkerId>,
    pub starts: Vec<(WorkerId, StartOrder)>,
    pub now_ms: u64,
    pub fate: Fate,
    /// The runs of jobs that differ from `fate` and the default demand.
    pub kinds: BTreeMap<JobId, RunKind>,
    /// The tasks that crash each worker that starts them.
    pub crashing: Vec<TaskId>,
    /// The number of workers that have crashed.
    pub crashes: u32,
    /// The ended workers at whose addresses others answer.
    replaced: BTreeSet<WorkerId>,
    /// The crashed workers, each with the time at which it is back.
    restarting: Vec<(u64, WorkerListing)>,
    /// Whether the next worker of a VM has another address than a crashed one,
    /// where nothing answers then.
    pub changes_addresses: bool,
    /// Whether a crashed worker restarts under its identifier.
    pub keeps_worker_ids: bool,
    /// The time at which restarted workers started, in milliseconds: their
    /// clocks begin then.
    started_ms: BTreeMap<WorkerId, u64>,
    /// How long after a crash the VM service reports it, in milliseconds;
    /// `None` for never.
    pub crash_report_delay_ms: Option<u64>,
    /// The crashed workers, each with the time at which the VM service reports
    /// the crash.
    crash_reports: Vec<(u64, WorkerId)>,
    /// Whether the adviser answers, and allows every worker that it is asked
    /// about.
    pub adviser_answers: bool,
    /// How long a worker takes to stop a run, in milliseconds.
    pub stop_duration_ms: u64,
    /// The runs that are being stopped, each with the time at which the stop
    /// is done.
    stopping: Vec<(u64, WorkerId, StopOrder)>,
    /// Whether orders to start are lost on their way.
    pub drops_starts: bool,
    /// Whether the store is unavailable.
    pub outage: bool,
    /// Whether the holder is lost as soon as it has ordered a start, before it
    /// stores anything more.
    pub lost_after_start: bool,
    /// The stored progress of each job.
    pub stored: BTreeMap<JobId, Progress>,
    /// The stored ceilings of teams.
    pub ceilings: UseCeilings,
    /// The holders that the next one has seen.
    pub seen_holders: SeenHolders,
    /// The stored record of silent workers, and when it was stored.
    pub silent_workers: (SilentWorkers, u64),
    /// The stored phase of each job.
    pub phases: BTreeMap<JobId, &'static str>,
}

impl World {
    pub fn new(revision: u64, names: &[&str]) -> World {
        let listings: Vec<WorkerListing> =
            names.iter().map(|name| listing(name)).collect();
        let workers = listings
            .iter()
            .map(|listing| (listing.id.clone(), TaskWorker::new(ROOM)))
            .collect();
        World {
            scheduler: Scheduler::new(revision, Options::default()),
            workers,
            listings,
            unreachable: Vec::new(),
            starts: Vec::new(),
            now_ms: 1_000,
            fate: Fate::done(500),
            kinds: BTreeMap::new(),
            crashing: Vec::new(),
            crashes: 0,
            replaced: BTreeSet::new(),
            restarting: Vec::new(),
            changes_addresses: false,
            keeps_worker_ids: false,
            started_ms: BTreeMap::new(),
            crash_report_delay_ms: None,
            crash_reports: Vec::new(),
            adviser_answers: false,
            stop_duration_ms: 0,
            stopping: Vec::new(),
            drops_starts: false,
            outage: false,
            lost_after_start: false,
            stored: BTreeMap::new(),
            ceilings: UseCeilings::default(),
            seen_holders: SeenHolders::default(),
            silent_workers: Default::default(),
            phases: BTreeMap::new(),
        }
    }

    /// Returns a world whose workers have this capacity.
    pub fn with_room(revision: u64, names: &[&str], room: Resources) -> World {
        let mut world = World::new(revision, names);
        for listing in &mut world.listings {
            listing.capacity = room;
        }
        for worker in world.workers.values_mut() {
            *worker = TaskWorker::new(room);
        }
        world
    }

    /// Adds a worker with an entry in the directory.
    pub fn add_worker(&mut self, listing: WorkerListing) {
        let worker = TaskWorker::new(listing.capacity);
        self.workers.insert(listing.id.clone(), worker);
        self.listings.push(listing);
    }

    /// Ends a worker, and adds the next one at its address. The entry of the
    /// ended one remains.
    pub fn replace_worker(&mut self, id: &WorkerId, next: WorkerListing) {
        self.workers.remove(id);
        self.replaced.insert(id.clone());
        self.add_worker(next);
    }

    /// Crashes the worker on a VM, if there is one; it restarts later.
    pub fn crash_worker_on(&mut self, vm: &str) {
        let known = |id: &WorkerId| self.workers.contains_key(id);
        let here = |l: &&WorkerListing| l.vm == vm && known(&l.id);
        let Some(listing) = self.listings.iter().find(here).cloned() else {
            return;
        };
        self.workers.remove(&listing.id);
        self.crashes += 1;
        if let Some(after_ms) = self.crash_report_delay_ms {
            self.crash_reports
                .push((self.now_ms + after_ms, listing.id.clone()));
        }
        let back_ms = self.now_ms + RESTART_MS;
        if self.keeps_worker_ids {
            self.restarting.push((back_ms, listing));
            return;
        }
        let name = format!("{vm}-{}", self.crashes);
        let id = WorkerId::new(&name);
        let next = WorkerListing { id, address: name, ..listing };
        self.restarting.push((back_ms, next));
    }

    /// Gives every worker an incarnation that it reports.
    pub fn assign_incarnations(&mut self) {
        let incarnation = Incarnation::started_at(FIRST_START_MS);
        for listing in &mut self.listings {
            listing.incarnation = incarnation;
        }
        for worker in self.workers.values_mut() {
            *worker = worker.clone().incarnated(incarnation);
        }
    }

    /// Replaces a worker's process by another one under its identifier, which
    /// the directory shows with its next read.
    pub fn restart_worker(&mut self, id: &WorkerId) {
        let process = Incarnation::started_at(FIRST_START_MS + self.now_ms);
        self.restart_worker_as(id, process);
    }

    /// Like [`World::restart_worker`], with a given incarnation.
    pub fn restart_worker_as(&mut self, id: &WorkerId, process: Incarnation) {
        let here = |listing: &&mut WorkerListing| listing.id == *id;
        // OK because only listed workers are started again.
        let listing = self.listings.iter_mut().find(here).expect("listed");
        listing.incarnation = process;
        let worker = TaskWorker::new(listing.capacity).incarnated(process);
        self.workers.insert(id.clone(), worker);
        self.started_ms.insert(id.clone(), self.now_ms);
    }

    /// Returns the reading of a worker's clock, in milliseconds.
    pub fn clock_of(&self, id: &WorkerId) -> u64 {
        self.now_ms - self.started_ms.get(id).copied().unwrap_or(0)
    }

    /// Returns whether the worker on a VM was lost and isn't back yet.
    pub fn is_restarting(&self, vm: &str) -> bool {
        self.restarting.iter().any(|(_, listing)| listing.vm == vm)
    }

    fn crash(&mut self, worker: &WorkerId) {
        let here = |l: &&WorkerListing| l.id == *worker;
        let vm = self.listings.iter().find(here).map(|l| l.vm.clone());
        if let Some(vm) = vm {
            self.crash_worker_on(&vm);
        }
    }

    /// Reports crashes from the VM service that are due.
    fn report_crashes(&mut self) {
        let now = at(self.now_ms);
        let due = |(at, _): &mut (u64, WorkerId)| *at <= now.steady_ms;
        let told: Vec<_> = self.crash_reports.extract_if(.., due).collect();
        for (_, worker) in told {
            let reason = "the VM service says that it ended";
            self.scheduler.worker_gone(&worker, reason, now);
        }
    }

    /// Restarts the workers that are due.
    fn restore_workers(&mut self) {
        let now_ms = self.now_ms;
        let due = |(at, _): &mut (u64, WorkerListing)| *at <= now_ms;
        let back: Vec<_> = self.restarting.extract_if(.., due).collect();
        if back.is_empty() {
            return;
        }
        for (_, listing) in back {
            if self.keeps_worker_ids {
                self.restart_worker(&listing.id);
                continue;
            }
            let former = self.listings.extract_if(.., |l| l.vm == listing.vm);
            let former: Vec<WorkerId> = former.map(|l| l.id).collect();
            if !self.changes_addresses {
                self.replaced.extend(former);
            }
            self.add_worker(listing);
        }
        self.list();
    }

    /// Lists every worker to the scheduler.
    pub fn expect_all(&mut self) {
        let lives: Vec<(WorkerId, String)> = self
            .listings
            .iter()
            .map(|listing| (listing.id.clone(), listing.pool.clone()))
            .collect();
        self.scheduler.expect_workers(at(self.now_ms), lives);
    }

    /// Lets another holder take over with the same workers.
    pub fn take_over(&mut self, revision: u64) {
        self.scheduler = Scheduler::new(revision, Options::default());
        self.scheduler.load_use_ceilings(self.ceilings.clone());
        self.seen_holders.note(revision, self.now_ms);
        self.scheduler.set_seen_holders(self.seen_holders.clone());
        let (silent, stored_ms) = &self.silent_workers;
        let silent = silent.after(self.now_ms - stored_ms);
        self.scheduler.inherit_silent_workers(&silent, at(self.now_ms));
    }

    /// Returns the VMs of all listed workers, as the VM service shows them.
    pub fn managed_vms(&self) -> Vec<ManagedVm> {
        self.listings.iter().map(managed).collect()
    }

    /// Lists the VMs of all listed workers to the scheduler.
    pub fn list_vms(&mut self) {
        let (now, vms) = (at(self.now_ms), self.managed_vms());
        self.scheduler.list_vms(now, self.now_ms, &vms);
    }

    pub fn list(&mut self) {
        let now = at(self.now_ms);
        self.scheduler.list_workers(now, self.listings.clone());
    }

    /// Plans every 50 ms for this time, in milliseconds, and stores what
    /// changed.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 50;
            self.round();
        }
    }

    pub fn round(&mut self) {
        let now = at(self.now_ms);
        self.restore_workers();
        self.report_crashes();
        self.finish_stops();
        let starts = self.starts.len();
        for action in self.scheduler.plan(now) {
            self.carry_out(action, now);
        }
        let lost = self.lost_after_start && self.starts.len() > starts;
        let changes = self.scheduler.take_changes(100);
        let ceilings = self.scheduler.begin_ceilings_write(now);
        let silent = self.scheduler.begin_silent_workers_write(now);
        if self.outage || lost {
            self.scheduler.silent_workers_written(false, now);
            self.scheduler.changes_failed(&changes);
            self.scheduler.use_ceilings_written(false);
            return;
        }
        if let Some(ceilings) = ceilings {
            self.ceilings = ceilings;
            self.scheduler.use_ceilings_written(true);
        }
        if let Some(silent) = silent {
            self.silent_workers = (silent, self.now_ms);
            self.scheduler.silent_workers_written(true, now);
        }
        for (id, progress) in &changes.progress {
            self.phases.insert(*id, progress.phase.name());
            self.stored.insert(*id, progress.clone());
        }
        self.scheduler.changes_stored(&changes, now);
    }

    /// Ends the runs whose stop is due.
    fn finish_stops(&mut self) {
        let now_ms = self.now_ms;
        let due = |(at, ..): &mut (u64, WorkerId, StopOrder)| *at <= now_ms;
        let due: Vec<_> = self.stopping.extract_if(.., due).collect();
        for (_, worker, order) in due {
            let clock = self.clock_of(&worker);
            if let Some(reached) = self.workers.get_mut(&worker) {
                // OK to ignore: the run may have ended by itself.
                let _ = reached.stop(clock, &order);
            }
        }
    }

    pub fn carry_out(&mut self, action: Action, now: Now) {
        match action {
            Action::Start { worker, order, .. } => {
                let clock = self.clock_of(&worker);
                let usual = RunKind {
                    demand: Resources {
                        cpu_millis: 1_000,
                        ..Resources::default()
                    },
                    fate: self.fate,
                };
                let kind = self.kinds.get(&order.task.job).copied();
                let RunKind { demand, fate } = kind.unwrap_or(usual);
                let lost = self.drops_starts;
                let reached = self.reach(&worker).filter(|_| !lost);
                let result = match reached {
                    Some(reached) if !reached.is_required_by(&order) => {
                        Err(OrderError::Refused(Refusal::OtherProcess))
                    }
                    Some(reached) => {
                        reached.start(clock, &order, demand, fate)
                    }
                    None => Err(self.no_answer(&worker)),
                };
                let crashes = self.crashing.contains(&order.task);
                let result = match result {
                    Ok(_) if crashes => {
                        self.crash(&worker);
                        Err(OrderError::Unknown)
                    }
                    result => result,
                };
                self.starts.push((worker.clone(), order.clone()));
                let (task, run) = (order.task, order.run);
                self.scheduler
                    .start_answered(&worker, &task, run, result, now);
            }
            Action::Stop { worker, order, .. }
                if self.stop_duration_ms > 0 =>
            {
                let clock = self.clock_of(&worker);
                let until_ms = now.steady_ms + self.stop_duration_ms;
                self.stopping.push((until_ms, worker.clone(), order));
                let (task, result) = (order.task, Ok(clock));
                self.scheduler.stop_answered(&worker, &task, result, now);
            }
            Action::Stop { worker, order, .. } => {
                let clock = self.clock_of(&worker);
                let result = match self.reach(&worker) {
                    Some(reached) => reached.stop(clock, &order),
                    None => Err(self.no_answer(&worker)),
                };
                self.scheduler.stop_answered(
                    &worker,
                    &order.task,
                    result,
                    now,
                );
            }
            Action::Hold { worker, held, .. } => {
                let clock = self.clock_of(&worker);
                let result = match self.reach(&worker) {
                    Some(reached) => reached.hold(clock, held.order()),
                    None => Err(self.no_answer(&worker)),
                };
                self.hold_result(&worker, &held, result, now);
            }
            Action::Advise { step, workers, asked_ms }
                if self.adviser_answers =>
            {
                let tickets = workers.iter();
                let tickets =
                    tickets.map(|w| (w.clone(), "t".to_owned())).collect();
                let answer: Result<_, ()> = Ok(tickets);
                self.scheduler
                    .advice_answered(&step, &workers, asked_ms, answer, now);
            }
            Action::Pace { .. } | Action::Advise { .. } => {}
        }
    }

    pub fn hold_result(
        &mut self,
        worker: &WorkerId,
        held: &SentHold,
        result: Result<HoldReport, OrderError>,
        now: Now,
    ) {
        match result {
            Ok(report) => {
                self.scheduler.hold_answered(worker, held, &report, now);
            }
            Err(error) => {
                self.scheduler.hold_failed(worker, held, error, now);
            }
        }
    }

    pub fn reach(&mut self, worker: &WorkerId) -> Option<&mut TaskWorker> {
        if self.unreachable.contains(worker) {
            return None;
        }
        self.workers.get_mut(worker)
    }

    /// Returns what becomes of an order to a worker that isn't reached.
    fn no_answer(&self, worker: &WorkerId) -> OrderError {
        if self.replaced.contains(worker) {
            OrderError::Refused(Refusal::OtherLife)
        } else {
            OrderError::Unknown
        }
    }

    pub fn running(&mut self) -> Vec<String> {
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        let mut running: Vec<String> = Vec::new();
        for id in ids {
            let clock = self.clock_of(&id);
            // OK because its name was read above.
            let worker = self.workers.get_mut(&id).expect("known");
            let runs = worker.running(clock).into_iter();
            running.extend(runs.map(|(task, _)| task.to_string()));
        }
        running.sort();
        running
    }
}

/// Plans now and returns the hold for a worker.
pub fn next_hold(world: &mut World, worker: &WorkerId) -> SentHold {
    let actions = world.scheduler.plan(at(world.now_ms));
    let held = actions.into_iter().find_map(|action| match action {
        Action::Hold { worker: to, held, .. } if to == *worker => Some(held),
        _ => None,
    });
    held.expect("a hold is due")
}

pub fn managed(listing: &WorkerListing) -> ManagedVm {
    ManagedVm {
        vm: listing.vm.clone(),
        pool: listing.pool.clone(),
        status: VmStatus::Up,
        hall: listing.hall.clone(),
        capacity: listing.capacity,
        worker: Some(listing.id.clone()),
    }
}
