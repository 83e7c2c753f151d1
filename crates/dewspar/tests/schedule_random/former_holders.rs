//! Two holders at once: one that can't renew its lease and goes on with the
//! jobs that it knows, and its successor.
//!
//! Each reaches some of the workers. Meanwhile workers end, move, restart
//! under their identifiers and are added, and jobs are accepted.

use {
    crate::world::id,
    dewspar::{
        job::{JobId, JobSpec, Progress, Repeat, StepSpec, TaskId},
        schedule::{
            AcceptedJob, Action, Decision, EndCause, HoldReport, Incarnation,
            ManagedVm, Now, Options, OrderError, QueueTerms, Refusal,
            Resources, Scheduler, SeenHolders, SentHold, SilentWorkers,
            StartOrder, UseCeilings, VmStatus, WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        array,
        collections::{BTreeMap, BTreeSet},
        env,
        fmt::Write,
        ops::Range,
    },
};

const POOL: &str = "registry";
const CAPACITY: Resources =
    Resources { cpu_millis: 3_000, memory_mb: 3_000, gpus: 0 };
const DEMAND: Resources =
    Resources { cpu_millis: 1_000, memory_mb: 500, gpus: 0 };

/// The time between two plans, in milliseconds.
const STEP_MS: u64 = 50;

/// The duration of a scheduler lease, in milliseconds.
const LEASE_MS: u64 = 1_500;

/// How long a holder goes on after its lease may have expired, in
/// milliseconds.
const DETACHED_MS: u64 = 8_000;

/// The time without a plan that counts as a standstill, in milliseconds.
const STANDSTILL_MS: u64 = 500;

const DIRECTORY_READ_MS: u64 = 250;
const VM_READ_MS: u64 = 1_000;

/// How long a world goes on after the former holder's last renewal, in
/// milliseconds: longer than a successor waits for a silent worker.
const AFTER_CUT_MS: u64 = 24_000;

/// The longest time after the expiry of a lease until a successor has it, in
/// milliseconds.
const MAX_VACANT_MS: u64 = 2_500;

/// The longest time for which a VM is without a worker, in milliseconds.
const MAX_MOVE_MS: u64 = 2_000;

/// The longest time for which an entry outlives its worker, in milliseconds.
const MAX_OUTLIVED_MS: u64 = 2_000;

/// The longest time after which a new worker has an entry, in milliseconds.
const MAX_UNLISTED_MS: u64 = 800;

/// The longest time until a timed job falls due, in milliseconds: some of them
/// do while a holder goes on without a lease.
const MAX_DUE_IN_MS: u64 = 10_000;

/// The time of day when the steady clock starts, in milliseconds of the Unix
/// epoch.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The number of VMs at first.
const VMS: u32 = 4;

/// A process of a worker.
struct Process {
    worker: TaskWorker,
    listing: WorkerListing,
    /// When it started, in milliseconds: its clock begins then.
    started_ms: u64,
    /// When its entry in the directory appears, in milliseconds.
    listed_from_ms: u64,
}

/// A worker that has ended.
struct EndedWorker {
    listing: WorkerListing,
    /// Until when its entry is in the directory, in milliseconds.
    listed_until_ms: u64,
}

/// A VM that is between two workers.
struct IdleVm {
    vm: u32,
    status: VmStatus,
    until_ms: u64,
    /// The address of the next worker, if the former one's is kept.
    address: Option<String>,
}

/// A node that holds the lease, or did.
struct Holder {
    name: &'static str,
    /// The revision of its lease.
    revision: u64,
    scheduler: Scheduler,
    /// When the store last renewed its lease, in milliseconds.
    renewed_ms: u64,
    /// Whether it can renew its lease and write to the store.
    has_store: bool,
    has_directory: bool,
    has_feed: bool,
    unreachable: BTreeSet<WorkerId>,
    /// The accepted jobs that it knows or has still to load.
    jobs_known: usize,
    /// The jobs that it has still to load.
    to_load: Vec<JobId>,
    directory_read_due_ms: u64,
    vm_read_due_ms: u64,
    last_plan_ms: u64,
    /// Nothing is ordered unless the lease was renewed at this time or later,
    /// in milliseconds.
    renewal_needed_from_ms: u64,
    /// When it stands still, in milliseconds.
    stands_still_ms: Range<u64>,
}

impl Holder {
    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.renewed_ms + LEASE_MS
    }

    /// Returns whether orders may be planned, as the daemon decides it: after
    /// a standstill during which the lease expired it has to be renewed.
    fn is_lease_confirmed(&mut self, now_ms: u64) -> bool {
        let for_ms = now_ms - self.last_plan_ms;
        self.last_plan_ms = now_ms;
        if for_ms >= STANDSTILL_MS && self.is_expired(now_ms) {
            self.renewal_needed_from_ms = now_ms;
        }
        self.renewed_ms >= self.renewal_needed_from_ms
    }
}

/// The contents of the store.
#[derive(Default)]
struct Store {
    revision: u64,
    /// The revision of the newest lease.
    lease_revision: u64,
    /// The accepted jobs in the order of their revisions.
    jobs: Vec<(JobId, AcceptedJob, u64)>,
    progress: BTreeMap<JobId, Progress>,
    ceilings: UseCeilings,
    /// The record of silent workers, and when it was stored, in milliseconds.
    silent_workers: (SilentWorkers, u64),
}

/// What occurred in worlds.
#[derive(Debug, Default)]
struct Counts {
    starts: u32,
    /// The starts of former holders whose lease had expired.
    detached_starts: u32,
    acknowledged_done: u32,
    /// The workers that ended while there were two holders.
    ended: u32,
    /// The former holders that gave up because of a newer token.
    superseded: u32,
    /// The standstills that outlasted a lease.
    standstills: u32,
    /// The worlds in which a rule was broken.
    broken: u32,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.starts += other.starts;
        self.detached_starts += other.detached_starts;
        self.acknowledged_done += other.acknowledged_done;
        self.ended += other.ended;
        self.superseded += other.superseded;
        self.standstills += other.standstills;
        self.broken += other.broken;
    }
}

struct World {
    random: StdRng,
    now_ms: u64,
    store: Store,
    seen_holders: SeenHolders,
    processes: BTreeMap<WorkerId, Process>,
    ended: BTreeMap<WorkerId, EndedWorker>,
    idle: Vec<IdleVm>,
    vms: u32,
    /// The number of processes that were started.
    started: u32,
    /// How likely a holder doesn't reach a worker.
    unreachable_ratio: f64,
    /// Whether no worker is reached by both holders.
    is_split: bool,
    /// Whether jobs fall due some time after they are accepted.
    jobs_are_timed: bool,
    holder: Option<Holder>,
    former: Option<Holder>,
    /// The tasks whose end as done was acknowledged to the worker.
    acknowledged_done: BTreeSet<TaskId>,
    counts: Counts,
    /// What each holder has decided, with the time in milliseconds.
    decisions: Vec<(u64, &'static str, Decision)>,
    /// What happened to workers, and which starts had an effect, with the time
    /// in milliseconds.
    events: Vec<(u64, String)>,
    /// The first rule that was broken, with the task.
    broken: Option<(TaskId, String)>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            random: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            store: Store { revision: 1, ..Store::default() },
            seen_holders: SeenHolders::default(),
            processes: BTreeMap::new(),
            ended: BTreeMap::new(),
            idle: Vec::new(),
            vms: VMS,
            started: 0,
            unreachable_ratio: 0.0,
            is_split: false,
            jobs_are_timed: false,
            holder: None,
            former: None,
            acknowledged_done: BTreeSet::new(),
            counts: Counts::default(),
            decisions: Vec::new(),
            events: Vec::new(),
            broken: None,
        };
        for vm in 0..VMS {
            world.start_process(vm, None);
        }
        world.take_over("first");
        world
    }

    fn now(&self) -> Now {
        Now { steady_ms: self.now_ms, unix_ms: START_UNIX_MS + self.now_ms }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_ratio(per_mille, 1_000)
    }

    fn note(&mut self, event: String) {
        self.events.push((self.now_ms, event));
    }

    /// Lets a new holder take over with what is stored.
    fn take_over(&mut self, name: &'static str) {
        self.store.revision += 1;
        let revision = self.store.revision;
        self.store.lease_revision = revision;
        self.seen_holders.note(revision, self.now_ms);
        let mut scheduler = Scheduler::new(revision, Options::default());
        scheduler.lease_renewed(self.now_ms);
        scheduler.set_seen_holders(self.seen_holders.clone());
        let (silent, stored_ms) = &self.store.silent_workers;
        let silent = silent.after(self.now_ms - stored_ms);
        scheduler.inherit_silent_workers(&silent, self.now());
        scheduler.begin_loading();
        scheduler.load_use_ceilings(self.store.ceilings.clone());
        let mut holder = Holder {
            name,
            revision,
            scheduler,
            renewed_ms: self.now_ms,
            has_store: true,
            has_directory: true,
            has_feed: true,
            unreachable: BTreeSet::new(),
            jobs_known: self.store.jobs.len(),
            to_load: self.store.jobs.iter().map(|(id, ..)| *id).collect(),
            directory_read_due_ms: self.now_ms,
            vm_read_due_ms: self.now_ms,
            last_plan_ms: self.now_ms,
            renewal_needed_from_ms: 0,
            stands_still_ms: 0..0,
        };
        self.cut_off_workers(&mut holder);
        self.former = self.holder.replace(holder);
    }

    /// Chooses the workers that a holder doesn't reach.
    fn cut_off_workers(&mut self, holder: &mut Holder) {
        holder.unreachable.clear();
        let former = self.holder.as_ref().filter(|_| self.is_split);
        for id in self.processes.keys() {
            let is_reached_by_former =
                former.is_some_and(|former| !former.unreachable.contains(id));
            let is_cut_off = self.random.random_bool(self.unreachable_ratio);
            if is_reached_by_former || former.is_none() && is_cut_off {
                holder.unreachable.insert(id.clone());
            }
        }
    }

    /// Cuts the holder off from the store.
    fn cut_off(&mut self) {
        let ratios = [0.2, 0.4, 0.6];
        self.unreachable_ratio = ratios[self.random.random_range(0..3)];
        let Some(mut holder) = self.holder.take() else { return };
        self.cut_off_workers(&mut holder);
        self.is_split = self.random.random_ratio(2, 3);
        holder.has_store = false;
        holder.has_directory = self.random.random();
        holder.has_feed = self.random.random();
        if self.random.random_ratio(1, 3) {
            let from_ms = self.now_ms + self.random.random_range(0..4_000);
            let for_ms = self.random.random_range(500..6_000);
            holder.stands_still_ms = from_ms..from_ms + for_ms;
        }
        self.holder = Some(holder);
    }

    fn start_process(&mut self, vm: u32, address: Option<String>) {
        self.started += 1;
        let name = format!("w{vm}-{}", self.started);
        let listing = WorkerListing {
            id: WorkerId::new(&name),
            incarnation: incarnation(self.now_ms),
            address: address.unwrap_or_else(|| name.clone()),
            vm: format!("vm-{vm}"),
            pool: POOL.to_owned(),
            hall: format!("hall-{}", vm % 2),
            rack: String::new(),
            labels: Vec::new(),
            capacity: CAPACITY,
            draining: false,
            remaining_ms: None,
            cold_remaining_ms: 0,
        };
        let listed_from_ms = match self.now_ms {
            1_000 => 0,
            now_ms => now_ms + self.random.random_range(0..MAX_UNLISTED_MS),
        };
        let ratio = self.unreachable_ratio;
        let mut is_cut_off: [bool; 2] =
            array::from_fn(|_| self.random.random_bool(ratio));
        if self.is_split {
            is_cut_off[1] = !is_cut_off[0];
        }
        let holders = [&mut self.former, &mut self.holder];
        for (holder, is_cut_off) in holders.into_iter().zip(is_cut_off) {
            if let Some(holder) = holder.as_mut().filter(|_| is_cut_off) {
                holder.unreachable.insert(listing.id.clone());
            }
        }
        let worker = TaskWorker::new(CAPACITY).incarnated(listing.incarnation);
        let (id, started_ms) = (listing.id.clone(), self.now_ms);
        self.note(format!("{name} starts"));
        let process = Process { worker, listing, started_ms, listed_from_ms };
        self.processes.insert(id, process);
    }

    /// Ends, moves, restarts or adds a worker, or changes which holder reaches
    /// one.
    fn change_workers(&mut self) {
        let due = |idle: &mut IdleVm| idle.until_ms <= self.now_ms;
        let due: Vec<IdleVm> = self.idle.extract_if(.., due).collect();
        for idle in due {
            self.start_process(idle.vm, idle.address);
        }
        if self.chance(3) {
            let vm = self.vms;
            self.vms += 1;
            self.start_process(vm, None);
        }
        let count = self.processes.len();
        if count == 0 {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let chosen = self.processes.keys().nth(chosen);
        // OK because it is one of them.
        let chosen = chosen.expect("a process").clone();
        if self.chance(15) {
            self.end(&chosen);
        } else if self.chance(12) {
            self.restart(&chosen);
        } else if self.chance(8) {
            self.change_reach(&chosen);
        }
    }

    /// Ends a worker, because its process crashed or its VM is moved.
    fn end(&mut self, id: &WorkerId) {
        let Some(process) = self.processes.remove(id) else { return };
        self.counts.ended += u32::from(self.former.is_some());
        self.note(format!("{id} ends"));
        let listing = process.listing;
        let vm = listing.vm.trim_start_matches("vm-").parse();
        let keeps_address = self.random.random_ratio(1, 2);
        let is_moved: bool = self.random.random();
        self.idle.push(IdleVm {
            // OK because VMs are numbered.
            vm: vm.expect("a number"),
            status: if is_moved { VmStatus::Moving } else { VmStatus::Up },
            until_ms: self.now_ms + self.random.random_range(50..MAX_MOVE_MS),
            address: keeps_address.then(|| listing.address.clone()),
        });
        let outlives = self.random.random_ratio(1, 3);
        let longest_ms = if outlives { MAX_OUTLIVED_MS } else { 1 };
        let listed_until_ms =
            self.now_ms + self.random.random_range(0..longest_ms);
        let ended = EndedWorker { listing, listed_until_ms };
        self.ended.insert(id.clone(), ended);
    }

    /// Replaces the process of a worker under its identifier.
    fn restart(&mut self, id: &WorkerId) {
        let now_ms = self.now_ms;
        let Some(process) = self.processes.get_mut(id) else { return };
        process.listing.incarnation = incarnation(now_ms);
        process.worker =
            TaskWorker::new(CAPACITY).incarnated(process.listing.incarnation);
        process.started_ms = now_ms;
        self.counts.ended += u32::from(self.former.is_some());
        self.note(format!("{id} restarts"));
    }

    /// Cuts a worker off from one of the holders, or connects it again.
    fn change_reach(&mut self, id: &WorkerId) {
        let of_former = self.former.is_some() && self.random.random();
        let mut holders = [&mut self.former, &mut self.holder];
        if !of_former {
            holders.reverse();
        }
        let [Some(holder), other] = holders else { return };
        let is_reached = holder.unreachable.remove(id);
        if !is_reached {
            holder.unreachable.insert(id.clone());
        }
        if let Some(other) = other.as_mut().filter(|_| self.is_split) {
            other.unreachable.remove(id);
            if is_reached {
                other.unreachable.insert(id.clone());
            }
        }
        let name = holder.name;
        self.note(format!("{id} is reached by {name}: {is_reached}"));
    }

    fn accept_job(&mut self) {
        let random = &mut self.random;
        let mut step = || StepSpec {
            count: random.random_range(1..5),
            cpu_millis: DEMAND.cpu_millis,
            memory_mb: DEMAND.memory_mb,
            estimate_ms: 400,
            may_duplicate: random.random_ratio(1, 10),
            ..StepSpec::default()
        };
        let first = step();
        let second = StepSpec { after: vec![0], ..step() };
        let repeat = self.jobs_are_timed.then(|| self.due_times());
        let steps = vec![first, second];
        let job = AcceptedJob {
            spec: JobSpec { steps, repeat, ..JobSpec::default() },
            terms: QueueTerms {
                pool: POOL.to_owned(),
                max_attempts: 3,
                stretch: 2.0,
                ..QueueTerms::default()
            },
            accepted_at_ms: self.now().unix_ms,
            team: None,
        };
        self.store.revision += 1;
        let number = self.store.jobs.len() as u64;
        self.store.jobs.push((id(number), job, self.store.revision));
    }

    /// Returns when a job falls due, some of it without a valid lease.
    fn due_times(&mut self) -> Repeat {
        let random = &mut self.random;
        let in_ms = random.random_range(0..MAX_DUE_IN_MS);
        Repeat {
            start_at_ms: START_UNIX_MS + self.now_ms + in_ms,
            interval_ms: random.random_range(500..3_000),
            count: random.random_range(1..4),
        }
    }

    /// Runs for at least this time, in milliseconds.
    fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.change_workers();
        if self.chance(40) && self.store.jobs.len() < 20 {
            self.accept_job();
        }
        let former_is_first = self.random.random();
        if former_is_first {
            self.run_former();
        }
        if let Some(mut holder) = self.holder.take()
            && self.run_holder(&mut holder)
        {
            self.holder = Some(holder);
        }
        if !former_is_first {
            self.run_former();
        }
        self.check_runs();
    }

    fn run_former(&mut self) {
        let Some(mut former) = self.former.take() else { return };
        if self.run_holder(&mut former) {
            self.former = Some(former);
        }
    }

    /// Lets a holder read, plan and order. Returns whether it goes on.
    fn run_holder(&mut self, holder: &mut Holder) -> bool {
        let now = self.now();
        let now_ms = self.now_ms;
        if holder.stands_still_ms.contains(&now_ms) {
            return true;
        }
        if holder.has_store {
            holder.renewed_ms = now_ms;
            holder.scheduler.lease_renewed(now_ms);
        }
        let is_expired = holder.is_expired(now_ms);
        holder.scheduler.set_detached(is_expired);
        self.read(holder);
        if now_ms > holder.renewed_ms + LEASE_MS + DETACHED_MS {
            self.note(format!("{} gives up", holder.name));
            return false;
        }
        if !holder.is_lease_confirmed(now_ms) {
            let is_first = holder.renewal_needed_from_ms == now_ms;
            self.counts.standstills += u32::from(is_first);
            return true;
        }
        let actions = holder.scheduler.plan(now);
        if holder.scheduler.take_vm_list_request() {
            holder.vm_read_due_ms = now_ms;
        }
        self.record_decisions(holder);
        if is_expired && holder.scheduler.may_be_superseded() {
            self.counts.superseded += 1;
            self.note(format!("{} has seen a newer token", holder.name));
            return false;
        }
        for action in actions {
            self.carry_out(holder, action);
        }
        self.store_changes(holder);
        self.record_decisions(holder);
        true
    }

    fn record_decisions(&mut self, holder: &mut Holder) {
        let decisions = holder.scheduler.take_decisions().into_iter();
        let (now_ms, name) = (self.now_ms, holder.name);
        self.decisions.extend(decisions.map(|d| (now_ms, name, d)));
    }

    /// Lets a holder read the sources that are due.
    fn read(&mut self, holder: &mut Holder) {
        let now = self.now();
        let scheduler = &mut holder.scheduler;
        if scheduler.is_loading() {
            let most = self.random.random_range(0..4);
            let kept = holder.to_load.len().saturating_sub(most);
            for id in holder.to_load.split_off(kept) {
                let mut jobs = self.store.jobs.iter();
                let job = jobs.find(|(accepted, ..)| *accepted == id);
                // OK because it was taken from there.
                let (_, job, revision) = job.expect("an accepted job");
                let progress = self.store.progress.get(&id);
                scheduler.submit(id, job.clone(), *revision, progress);
            }
            if holder.to_load.is_empty() {
                scheduler.finish_loading(now);
            }
        }
        if holder.has_feed {
            for (id, job, revision) in &self.store.jobs[holder.jobs_known..] {
                scheduler.submit(*id, job.clone(), *revision, None);
            }
            holder.jobs_known = self.store.jobs.len();
        }
        if holder.has_directory && self.now_ms >= holder.directory_read_due_ms
        {
            holder.directory_read_due_ms = self.now_ms + DIRECTORY_READ_MS;
            scheduler.list_workers(now, self.entries());
        }
        if self.now_ms >= holder.vm_read_due_ms {
            holder.vm_read_due_ms = self.now_ms + VM_READ_MS;
            scheduler.list_vms(now, self.now_ms, &self.managed_vms());
            if holder.has_directory {
                let unlisted = scheduler.unlisted_workers();
                for entry in self.entries() {
                    if unlisted.contains(&entry.id) {
                        scheduler.list_worker(now, entry);
                    }
                }
            }
        }
    }

    /// Returns the entries of the directory.
    fn entries(&self) -> Vec<WorkerListing> {
        let now_ms = self.now_ms;
        let live = self.processes.values();
        let live = live.filter(|process| process.listed_from_ms <= now_ms);
        let ended = self.ended.values();
        let ended = ended.filter(|ended| ended.listed_until_ms > now_ms);
        let ended = ended.map(|ended| ended.listing.clone());
        ended.chain(live.map(|process| process.listing.clone())).collect()
    }

    fn managed_vms(&self) -> Vec<ManagedVm> {
        let managed = |vm: u32| {
            let name = format!("vm-{vm}");
            let mut processes = self.processes.values();
            let process = processes.find(|p| p.listing.vm == name);
            let idle = self.idle.iter().find(|idle| idle.vm == vm);
            ManagedVm {
                vm: name,
                pool: POOL.to_owned(),
                status: idle.map_or(VmStatus::Up, |idle| idle.status),
                hall: format!("hall-{}", vm % 2),
                capacity: CAPACITY,
                worker: process.map(|process| process.listing.id.clone()),
            }
        };
        (0..self.vms).map(managed).collect()
    }

    fn store_changes(&mut self, holder: &mut Holder) {
        let now = self.now();
        let scheduler = &mut holder.scheduler;
        // A write that a holder knows nothing of may be stored until the store
        // has given the lease to its successor.
        let has_successor = holder.revision < self.store.lease_revision;
        let is_stored = holder.has_store || !has_successor && self.chance(100);
        let is_known = holder.has_store;
        if let Some(ceilings) = scheduler.begin_ceilings_write(now) {
            if is_stored {
                self.store.ceilings = ceilings;
            }
            scheduler.use_ceilings_written(is_known);
        }
        if let Some(silent) = scheduler.begin_silent_workers_write(now) {
            if is_stored {
                self.store.silent_workers = (silent, self.now_ms);
            }
            scheduler.silent_workers_written(is_known, now);
        }
        let changes = scheduler.take_changes(100);
        if is_stored {
            let progress = changes.progress.iter();
            let progress = progress.map(|(id, p)| (*id, p.clone()));
            self.store.progress.extend(progress);
        }
        if is_known {
            scheduler.changes_stored(&changes, now);
        } else {
            scheduler.changes_failed(&changes);
        }
    }

    fn carry_out(&mut self, holder: &mut Holder, action: Action) {
        let now = self.now();
        let is_lost = self.chance(20);
        let has_no_answer = self.chance(20);
        let unknown = Err(OrderError::Unknown);
        match action {
            Action::Start { worker, order, .. } => {
                let result = match is_lost {
                    true => unknown,
                    false => self.start(holder, &worker, &order),
                };
                let result = if has_no_answer { unknown } else { result };
                let (task, run) = (order.task, order.run);
                let scheduler = &mut holder.scheduler;
                scheduler.start_answered(&worker, &task, run, result, now);
            }
            Action::Stop { worker, order, .. } => {
                let result = match is_lost {
                    true => unknown,
                    false => self.reach(holder, &worker).and_then(
                        |(process, clock)| process.stop(clock, &order),
                    ),
                };
                let result = if has_no_answer { unknown } else { result };
                let scheduler = &mut holder.scheduler;
                scheduler.stop_answered(&worker, &order.task, result, now);
            }
            Action::Hold { worker, held, .. } => {
                let result = match is_lost {
                    true => Err(OrderError::Unknown),
                    false => self.hold(holder, &worker, &held),
                };
                let scheduler = &mut holder.scheduler;
                match result {
                    Ok(report) if !has_no_answer => {
                        scheduler.hold_answered(&worker, &held, &report, now);
                    }
                    Ok(_) => {
                        let error = OrderError::Unknown;
                        scheduler.hold_failed(&worker, &held, error, now);
                    }
                    Err(error) => {
                        scheduler.hold_failed(&worker, &held, error, now);
                    }
                }
            }
            Action::Pace { .. } | Action::Advise { .. } => {}
        }
    }

    /// Returns a worker that the holder reaches, with its clock.
    fn reach(
        &mut self,
        holder: &Holder,
        id: &WorkerId,
    ) -> Result<(&mut TaskWorker, u64), OrderError> {
        let fails_at_once = self.random.random_ratio(1, 4);
        let error = if fails_at_once {
            OrderError::NotSent
        } else {
            OrderError::Unknown
        };
        if holder.unreachable.contains(id) {
            return Err(error);
        }
        if let Some(ended) = self.ended.get(id) {
            let mut processes = self.processes.values();
            let answers = processes.any(|next| {
                next.listing.address == ended.listing.address
                    && !holder.unreachable.contains(&next.listing.id)
            });
            let other = OrderError::Refused(Refusal::OtherLife);
            return Err(if answers { other } else { error });
        }
        let process = self.processes.get_mut(id).ok_or(error)?;
        let clock_ms = self.now_ms - process.started_ms;
        Ok((&mut process.worker, clock_ms))
    }

    fn start(
        &mut self,
        holder: &Holder,
        worker: &WorkerId,
        order: &StartOrder,
    ) -> Result<u64, OrderError> {
        let work_ms = match self.random.random_range(0..10) {
            0..7 => self.random.random_range(100..1_500),
            7..9 => self.random.random_range(1_500..5_000),
            _ => self.random.random_range(9_000..14_000),
        };
        let fate = match self.chance(80) {
            true => Fate::failed(work_ms),
            false => Fate::done(work_ms),
        };
        let (process, clock_ms) = self.reach(holder, worker)?;
        let this = (order.task, order.run);
        let was_running = process.running(clock_ms).contains(&this);
        if !process.is_required_by(order) {
            return Err(OrderError::Refused(Refusal::OtherProcess));
        }
        let result = process.start(clock_ms, order, DEMAND, fate);
        if result.is_err() || was_running {
            return result;
        }
        let is_detached = holder.is_expired(self.now_ms);
        self.counts.starts += 1;
        self.counts.detached_starts += u32::from(is_detached);
        let (task, run, by) = (order.task, order.run, holder.name);
        self.note(format!("{task} run {run} begins on {worker}, by {by}"));
        if self.acknowledged_done.contains(&task) {
            self.break_rule(task, "starts after an acknowledged end as done");
        }
        result
    }

    fn hold(
        &mut self,
        holder: &Holder,
        worker: &WorkerId,
        held: &SentHold,
    ) -> Result<HoldReport, OrderError> {
        let (process, clock_ms) = self.reach(holder, worker)?;
        let before = process.ended().to_vec();
        let report = process.hold(clock_ms, held.order())?;
        let acknowledged = held.order().acknowledged;
        let done = before.into_iter().filter(|end| {
            end.number <= acknowledged && end.cause == EndCause::Done
        });
        let by = holder.name;
        for end in done {
            let (task, run) = (end.task, end.run);
            self.counts.acknowledged_done += 1;
            self.acknowledged_done.insert(task);
            self.note(format!("{task} run {run} is acknowledged by {by}"));
        }
        Ok(report)
    }

    /// Checks that no task has two runs at once.
    fn check_runs(&mut self) {
        let mut running = BTreeSet::new();
        let mut twice = Vec::new();
        for process in self.processes.values_mut() {
            let clock_ms = self.now_ms - process.started_ms;
            let runs = process.worker.running(clock_ms).into_iter();
            twice.extend(
                runs.map(|(task, _)| task).filter(|t| !running.insert(*t)),
            );
        }
        for task in twice {
            self.break_rule(task, "has two runs at once");
        }
    }

    /// Notes that a rule is broken for a task, unless it may be duplicated.
    fn break_rule(&mut self, task: TaskId, rule: &str) {
        let mut jobs = self.store.jobs.iter();
        let job = jobs.find(|(id, ..)| *id == task.job);
        let step =
            job.and_then(|(_, job, _)| job.spec.steps.get(task.step as usize));
        let may_duplicate = step.is_some_and(|step| step.may_duplicate);
        if self.broken.is_none() && !may_duplicate {
            self.counts.broken += 1;
            let at_ms = self.now_ms;
            self.broken = Some((task, format!("{task} {rule}, {at_ms} ms")));
        }
    }

    /// Returns the rule that was broken, with what happened before.
    fn explain(&self) -> Option<String> {
        let (task, rule) = self.broken.as_ref()?;
        let mut lines: Vec<(u64, String)> = self
            .events
            .iter()
            .filter(|(_, event)| {
                !event.contains(" run ") || event.contains(&task.to_string())
            })
            .cloned()
            .collect();
        let decisions = self.decisions.iter();
        lines.extend(decisions.filter_map(|(at_ms, name, decision)| {
            let decision = format!("{decision:?}");
            let is_related = decision.contains("Worker")
                || decision.contains(&format!("{task:?}"));
            is_related.then(|| (*at_ms, format!("{name}: {decision}")))
        }));
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut text = rule.clone();
        for (at_ms, line) in lines {
            // OK because writing to a string doesn't fail.
            write!(text, "\n{at_ms:>6} {line}").expect("a string");
        }
        Some(text)
    }
}

/// Returns the incarnation of a process that starts at this time.
fn incarnation(now_ms: u64) -> Incarnation {
    Incarnation::started_at(START_UNIX_MS + now_ms)
}

/// Lets a holder work for a while, lose the store, and have a successor.
fn run(seed: u64, jobs_are_timed: bool) -> World {
    let mut world = World::new(seed);
    world.jobs_are_timed = jobs_are_timed;
    for _ in 0..3 {
        world.accept_job();
    }
    // Some holders have tasks of an earlier one, and workers that they don't
    // reach.
    if world.random.random() {
        let for_ms = world.random.random_range(500..2_000);
        world.run_for(for_ms);
        world.unreachable_ratio = 0.2;
        world.take_over("former");
        world.former = None;
    }
    let for_ms = world.random.random_range(2_000..5_000);
    world.run_for(for_ms);
    let renewed_ms = world.now_ms;
    world.cut_off();
    let vacant_ms = world.random.random_range(0..MAX_VACANT_MS);
    world.run_for(LEASE_MS + vacant_ms);
    world.take_over("successor");
    world.run_for((renewed_ms + AFTER_CUT_MS).saturating_sub(world.now_ms));
    world
}

/// Runs worlds, and fails with the first one in which a rule was broken.
fn run_all(
    seeds: impl IntoIterator<Item = u64>,
    jobs_are_timed: bool,
) -> Counts {
    let mut counts = Counts::default();
    let mut broken = Vec::new();
    let mut first = None;
    for seed in seeds {
        let world = run(seed, jobs_are_timed);
        counts.add(&world.counts);
        if let Some(text) = world.explain() {
            let rule = text.lines().next().unwrap_or_default();
            broken.push(format!("{seed}: {rule}"));
            first.get_or_insert(text);
        }
    }
    if let Some(first) = first {
        let broken = broken.join("\n");
        panic!("{counts:?}, seeds:\n{broken}\n\nthe first:\n{first}");
    }
    counts
}

// Guards against a former holder that starts tasks which its successor has
// started or taken in as done, and against a successor that doesn't wait for
// what a former holder may still start.
#[test]
fn no_task_runs_again_beside_a_former_holder() {
    let counts = run_all((0..40).chain([934]), false);
    // Enough cases must have occurred to test the invariants.
    assert!(counts.detached_starts > 40, "{counts:?}");
    assert!(counts.acknowledged_done > 1_500, "{counts:?}");
    assert!(counts.ended > 70, "{counts:?}");
    assert!(counts.superseded > 5, "{counts:?}");
    assert!(counts.standstills > 5, "{counts:?}");
}

// Guards against two runs of a task that falls due while its former holder
// goes on without a lease, on a worker that has restarted.
#[test]
fn no_due_task_runs_again_beside_a_former_holder() {
    let counts = run_all(0..40, true);
    // Enough cases must have occurred to test the invariants.
    assert!(counts.detached_starts > 40, "{counts:?}");
    assert!(counts.ended > 70, "{counts:?}");
}

/// Runs the worlds of the range of seeds in `SEEDS`, such as `100..400`.
#[test]
#[ignore = "for runs by hand, which take minutes"]
fn no_task_runs_again_beside_a_former_holder_in_more_worlds() {
    let seeds = env::var("SEEDS").unwrap_or_else(|_| "0..300".to_owned());
    // OK because whoever sets it sees the message.
    let (from, until) = seeds.split_once("..").expect("a range of seeds");
    let [from, until] =
        [from, until].map(|seed| seed.parse::<u64>().expect("a seed"));
    for jobs_are_timed in [false, true] {
        let counts = run_all(from..until, jobs_are_timed);
        println!("seeds {seeds}: {counts:?}");
    }
}
