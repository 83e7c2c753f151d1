/*!
A scheduler in a queue's peak, with a large fleet, in simulated time.

One node schedules for a thousand workers. One queue asks for thousands of
starts a second while others stand full of work, and each start, answer and
question takes its share of the node's processor. What such a node does, and
what each of its steps costs, depends on how these come in: one at a time where
the processor is ample, in bursts of hundreds where it is short.

A [`Peak`] plays that without sockets, clocks or threads. The node takes events
from a queue, plans, and sends what was planned; a [`Processor`] says how much
simulated time each of these takes, so a play with one seed always goes the
same way. A [`Meter`] is called around every call of the scheduler, and may
measure what it really costs.

# Example

```
use dewspar_standin::peak::{NoMeter, Peak, PeakSettings, Processor};

let settings = PeakSettings {
    workers: 20,
    pools: 2,
    open_jobs: 10,
    starts_per_s: 100,
    ..PeakSettings::default()
};
let mut peak = Peak::new(settings, NoMeter);
peak.warm_up(500);
let tally = peak.play(1_000, Processor::AMPLE);
assert!(tally.starts > 50, "{tally:?}");
```
*/

use {
    self::worker::{Asked, PeakWorker},
    dewspar::{
        job::{JobId, JobSpec, StepSpec, TaskId},
        schedule::{
            AcceptedJob, Action, Changes, EndCause, HoldReport, Incarnation,
            ManagedVm, Now, Options, OrderIssuer, Policy, QueueTerms,
            Resources, Scheduler, SentHold, VmStatus, WorkerId, WorkerListing,
        },
        team::Team,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        mem,
        ops::Range,
    },
};

mod worker;

/// How long an order or an answer is on its way, in microseconds.
const WAY_US: u64 = 1_000;

/// How long a write to the store takes, in microseconds.
const STORE_US: u64 = 4_000;

/// How many tasks a worker has room for.
const SLOTS: u64 = 8;

/// How many tasks a step has.
const TASKS: u32 = 8;

/// What a task's payload takes, in bytes.
const PAYLOAD_BYTES: usize = 600;

/// Between which times a short task lasts, in microseconds: so long that the
/// peak's pool has just room for what is asked of it.
const SHORT_US: Range<u64> = 260_000..660_000;

/// The callers' guess of how long a short task lasts, in milliseconds.
const SHORT_ESTIMATE_MS: u64 = 450;

/// How long the tasks last that fill the other pools, in microseconds.
const LONG_US: u64 = 600_000_000;

/// How many events are taken in before the scheduler plans again.
const EVENTS_A_PLAN: usize = 256;

/// How often the scheduler plans without any event, in microseconds.
const TICK_US: u64 = 25_000;

/// How often orders to the VM service are planned, in microseconds.
const VM_PLAN_US: u64 = 50_000;

/// How often the directory and the list of VMs are read, in microseconds.
const DIRECTORY_US: u64 = 500_000;

/// How long changes of jobs that go on are gathered, in microseconds.
const GATHER_US: u64 = 20_000;

/// In how many slices the jobs of each half of a warm-up come, so that they are
/// no burst that even an ample processor has to work off.
const SLICES: u64 = 100;

/// How many writes may be under way at once, and how many jobs are in one.
const WRITES: usize = 8;
const JOBS_A_WRITE: usize = 7;

/// What the time of day was when the simulation began, in milliseconds of the
/// Unix epoch.
const UNIX_MS: u64 = 1_700_000_000_000;

/// How large the fleet is and what is asked of it.
#[derive(Clone, Copy, Debug)]
pub struct PeakSettings {
    /// How many workers there are.
    pub workers: u32,
    /// Over how many pools they are spread; the peak is on the first.
    pub pools: u32,
    /// How many jobs are open when the peak begins.
    pub open_jobs: u64,
    /// How many teams with quotas the jobs belong to; 0 for none.
    pub teams: u64,
    /// How many starts a second the peak asks for.
    pub starts_per_s: u64,
    /// Whether workers are asked later while the processor is short.
    pub asks_later: bool,
    /// The seed of all that is random.
    pub seed: u64,
}

impl Default for PeakSettings {
    fn default() -> PeakSettings {
        PeakSettings {
            workers: 1_100,
            pools: 5,
            open_jobs: 4_000,
            teams: 0,
            starts_per_s: 3_800,
            asks_later: true,
            seed: 1,
        }
    }
}

/// How long the node is busy with each of its steps, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Processor {
    /// With one event.
    pub event_us: u64,
    /// With sending one order.
    pub order_us: u64,
    /// With one plan.
    pub plan_us: u64,
}

impl Processor {
    /// More than is asked for.
    pub const AMPLE: Processor =
        Processor { event_us: 10, order_us: 10, plan_us: 500 };

    /// Half a core: 75 us for an order and its answer, which take twice as
    /// long there, and plans of half a millisecond.
    pub const HALF_A_CORE: Processor =
        Processor { event_us: 75, order_us: 75, plan_us: 1_000 };
}

/// A part of what the scheduler does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Part {
    /// Planning what is to be done.
    Plan,
    /// Planning orders to the VM service.
    PlanVms,
    /// Taking in the answer to an order to start.
    StartAnswered,
    /// Taking in the answer to a question.
    HoldAnswered,
    /// Taking in a job.
    Submit,
    /// Choosing what to store, and taking in that it was.
    Store,
    /// Taking in the directory and the list of VMs.
    Directory,
}

/// Called around every call of the scheduler.
pub trait Meter {
    /// Does the work, and notes what it cost.
    fn measure<R>(&mut self, part: Part, work: impl FnOnce() -> R) -> R;

    /// Forgets what was noted so far.
    fn reset(&mut self) {}
}

/// Measures nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoMeter;

impl Meter for NoMeter {
    fn measure<R>(&mut self, _: Part, work: impl FnOnce() -> R) -> R {
        work()
    }
}

/// What happened in a play.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Plans.
    pub plans: u64,
    /// Orders to start.
    pub starts: u64,
    /// Questions.
    pub questions: u64,
    /// Ends of runs that were told.
    pub ends: u64,
    /// Events that the node took in.
    pub events: u64,
    /// How long events waited in all, in milliseconds.
    pub waited_ms: u64,
    /// Jobs that became final and were stored.
    pub finished: u64,
    /// A digest of all that was planned, in its order: plays that decide alike
    /// have the same.
    pub digest: u64,
}

impl Tally {
    fn note_planned(&mut self, action: &Action) {
        let mut hasher = DefaultHasher::new();
        (self.digest, format!("{action:?}")).hash(&mut hasher);
        self.digest = hasher.finish();
    }
}

/// Something that the node hears.
enum Event {
    JobCame(JobId, AcceptedJob),
    StartAnswered { worker: WorkerId, task: TaskId, run: u64, at_ms: u64 },
    HoldAnswered { worker: WorkerId, held: SentHold, report: HoldReport },
    Stored(Changes),
    Directory,
}

/// Something that happens outside of the node.
enum Outside {
    JobComes,
    Arrives(Action),
    RunEnds { worker: WorkerId, task: TaskId, run: u64, cause: EndCause },
    TimeIsUp { worker: WorkerId, serial: u64 },
    Told(Event),
}

/// The node, its fleet and its store.
pub struct Peak<M> {
    settings: PeakSettings,
    scheduler: Scheduler,
    meter: M,
    random: StdRng,
    now_us: u64,
    tally: Tally,
    listings: Vec<WorkerListing>,
    vms: Vec<ManagedVm>,
    workers: HashMap<WorkerId, PeakWorker>,
    /// What will happen, in the order of its time; the second number keeps
    /// apart what happens at the same time.
    outside: BTreeMap<(u64, u64), Outside>,
    happenings: u64,
    /// What the node hasn't taken in yet, each with when it came.
    events: VecDeque<(u64, Event)>,
    jobs: u64,
    revision: u64,
    writes: usize,
    stored_us: u64,
    vms_planned_us: u64,
}

/// Returns which of so many jobs come in one slice of a warm-up.
fn of_slice(jobs: u64, slice: u64) -> Range<u64> {
    jobs * slice / SLICES..jobs * (slice + 1) / SLICES
}

/// Returns a pool's name.
fn pool_name(pool: u32) -> String {
    format!("pool-{pool}")
}

impl<M: Meter> Peak<M> {
    /// Makes a node that has just taken over a fleet without any job.
    pub fn new(settings: PeakSettings, meter: M) -> Peak<M> {
        let listings: Vec<WorkerListing> = (0..settings.workers)
            .map(|number| listing(number, settings.pools))
            .collect();
        let vms = listings.iter().map(managed_vm).collect();
        let workers = listings
            .iter()
            .map(|listing| (listing.id.clone(), PeakWorker::default()))
            .collect();
        let mut policy = Policy::default();
        policy.watching.asks_later = settings.asks_later;
        let options = Options::default().policy(policy);
        let mut scheduler = Scheduler::new(1, options);
        let pools = (0..settings.pools).map(pool_name).collect();
        scheduler.configure_pools(pools, Default::default());
        let mut peak = Peak {
            settings,
            scheduler,
            meter,
            random: StdRng::seed_from_u64(settings.seed),
            now_us: 1_000_000,
            tally: Tally::default(),
            listings,
            vms,
            workers,
            outside: BTreeMap::new(),
            happenings: 0,
            events: VecDeque::new(),
            jobs: 0,
            revision: 1,
            writes: 0,
            stored_us: 0,
            vms_planned_us: 0,
        };
        peak.events.push_back((peak.now_us, Event::Directory));
        peak
    }

    /// Fills the other pools, and makes all jobs come that are open when the
    /// peak begins, with an ample processor.
    pub fn warm_up(&mut self, for_ms: u64) {
        let others = u64::from(self.settings.pools - 1);
        let per_pool = self.settings.workers / self.settings.pools;
        let slots = others * u64::from(per_pool) * SLOTS;
        let filling = slots.div_ceil(u64::from(TASKS));
        let slice_us = for_ms * 1_000 / (2 * SLICES);
        for slice in 0..SLICES {
            for _ in of_slice(filling, slice) {
                let pool = 1 + (self.jobs % others) as u32;
                self.add_job(pool, false);
            }
            self.run_until(self.now_us + slice_us, Processor::AMPLE);
        }
        for slice in 0..SLICES {
            for number in of_slice(self.settings.open_jobs, slice) {
                // Half wait in the full pools, half are the peak's first.
                let pool = match number % 2 {
                    0 => 0,
                    _ => 1 + (number / 2 % others) as u32,
                };
                self.add_job(pool, pool == 0);
            }
            self.run_until(self.now_us + slice_us, Processor::AMPLE);
        }
    }

    /// Plays the peak; returns what happened.
    pub fn play(&mut self, for_ms: u64, processor: Processor) -> Tally {
        self.tally = Tally::default();
        self.meter.reset();
        self.at(0, Outside::JobComes);
        self.run_until(self.now_us + for_ms * 1_000, processor);
        self.tally
    }

    /// Returns the meter.
    pub fn meter(&self) -> &M {
        &self.meter
    }

    fn now(&self) -> Now {
        let steady_ms = self.now_us / 1_000;
        Now { steady_ms, unix_ms: UNIX_MS + steady_ms }
    }

    /// Lets something happen in so many microseconds.
    fn at(&mut self, in_us: u64, what: Outside) {
        self.happenings += 1;
        self.outside.insert((self.now_us + in_us, self.happenings), what);
    }

    fn run_until(&mut self, until_us: u64, processor: Processor) {
        let mut read_us = self.now_us;
        let mut ticked_us = self.now_us;
        while self.now_us < until_us {
            self.pass_time();
            if self.now_us >= read_us + DIRECTORY_US {
                read_us = self.now_us;
                self.events.push_back((self.now_us, Event::Directory));
            }
            if self.events.is_empty() && self.now_us < ticked_us + TICK_US {
                let next = self.outside.keys().next().map(|(at, _)| *at);
                let tick_us = ticked_us + TICK_US;
                let next_us = next.unwrap_or(tick_us).min(tick_us);
                self.now_us = next_us.max(self.now_us + 1);
                continue;
            }
            ticked_us = self.now_us;
            self.take_events(processor);
            self.act(processor);
        }
    }

    /// Lets happen outside what was to happen by now.
    fn pass_time(&mut self) {
        while let Some(entry) = self.outside.first_entry() {
            let (at_us, _) = *entry.key();
            if at_us > self.now_us {
                return;
            }
            let what = entry.remove();
            let node_us = mem::replace(&mut self.now_us, at_us);
            self.happen(what);
            self.now_us = node_us;
        }
    }

    fn happen(&mut self, what: Outside) {
        match what {
            Outside::JobComes => {
                self.add_job(0, true);
                let mean_us = u64::from(TASKS) * 1_600_000
                    / self.settings.starts_per_s.max(1);
                let gap_us = self.random.random_range(0..mean_us * 2 + 1);
                self.at(gap_us, Outside::JobComes);
            }
            Outside::Arrives(action) => self.arrive(action),
            Outside::RunEnds { worker, task, run, cause } => {
                let now_us = self.now_us;
                let known = self.workers.get_mut(&worker);
                let answer =
                    known.and_then(|w| w.end(&task, run, cause, now_us));
                self.answer(worker, answer);
            }
            Outside::TimeIsUp { worker, serial } => {
                let now_us = self.now_us;
                let known = self.workers.get_mut(&worker);
                let answer = known.and_then(|w| w.time_is_up(serial, now_us));
                self.answer(worker, answer);
            }
            Outside::Told(event) => {
                self.events.push_back((self.now_us, event));
            }
        }
    }

    fn answer(
        &mut self,
        worker: WorkerId,
        answer: Option<(SentHold, HoldReport)>,
    ) {
        let Some((held, report)) = answer else { return };
        let event = Event::HoldAnswered { worker, held, report };
        self.at(WAY_US, Outside::Told(event));
    }

    /// Lets an order arrive at its worker.
    fn arrive(&mut self, action: Action) {
        let now_us = self.now_us;
        match action {
            Action::Start { worker, order, .. } => {
                let Some(known) = self.workers.get_mut(&worker) else {
                    return;
                };
                known.start(&order);
                let (task, run) = (order.task, order.run);
                let at_ms = now_us / 1_000;
                let id = worker.clone();
                let event =
                    Event::StartAnswered { worker: id, task, run, at_ms };
                self.at(WAY_US, Outside::Told(event));
                let lasts_us = match order.payload.starts_with('s') {
                    true => self.random.random_range(SHORT_US),
                    false => LONG_US,
                };
                let cause = EndCause::Done;
                let end = Outside::RunEnds { worker, task, run, cause };
                self.at(lasts_us, end);
            }
            Action::Hold { worker, held, .. } => {
                let Some(known) = self.workers.get_mut(&worker) else {
                    return;
                };
                match known.ask(held, now_us) {
                    Asked::Answers(report) => {
                        self.answer(worker, Some((held, report)));
                    }
                    Asked::Waits { until_us, serial } => {
                        let over = Outside::TimeIsUp { worker, serial };
                        self.at(until_us - now_us, over);
                    }
                }
            }
            Action::Stop { worker, order, .. } => {
                let (task, run) = (order.task, order.run);
                let cause = EndCause::Stopped;
                self.at(0, Outside::RunEnds { worker, task, run, cause });
            }
            Action::Pace { .. } | Action::Advise { .. } => {}
        }
    }

    fn add_job(&mut self, pool: u32, short: bool) {
        self.jobs += 1;
        // Three of five jobs have a second step.
        let steps = if short && self.jobs % 5 < 3 { 2 } else { 1 };
        // Scattered, as callers choose them.
        let id = self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // OK because it is always 16 hexadecimal digits.
        let id = format!("{id:016x}").parse().expect("hexadecimal");
        let kind = if short { "s" } else { "l" };
        let steps = (0..steps).map(|step| StepSpec {
            count: TASKS,
            cpu_millis: 1_000,
            memory_mb: 100,
            estimate_ms: if short {
                SHORT_ESTIMATE_MS
            } else {
                LONG_US / 1_000
            },
            after: (0..step).collect(),
            ..StepSpec::default()
        });
        let spec = JobSpec {
            queue: format!("queue-{pool}"),
            payload: kind.repeat(PAYLOAD_BYTES),
            steps: steps.collect(),
            repeat: None,
        };
        let terms = QueueTerms {
            pool: pool_name(pool),
            max_attempts: 3,
            target_latency_ms: 2_000,
            stretch: 2.0,
            ..QueueTerms::default()
        };
        let accepted_at_ms = self.now().unix_ms;
        let teams = self.settings.teams;
        let team = (teams > 0).then(|| team(self.jobs % teams));
        let job = AcceptedJob { spec, terms, accepted_at_ms, team };
        self.events.push_back((self.now_us, Event::JobCame(id, job)));
    }

    /// Takes in what has come, as far as one plan is for it.
    fn take_events(&mut self, processor: Processor) {
        for _ in 0..=EVENTS_A_PLAN {
            let Some((came_us, event)) = self.events.pop_front() else {
                return;
            };
            let waited_us = self.now_us.saturating_sub(came_us);
            self.tally.events += 1;
            self.tally.waited_ms += waited_us / 1_000;
            let now = self.now();
            self.scheduler.record_event_delay(waited_us / 1_000, now);
            self.take(event);
            self.now_us += processor.event_us;
            self.pass_time();
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        let Peak { scheduler, meter, .. } = self;
        match event {
            Event::JobCame(id, job) => {
                self.revision += 1;
                let revision = self.revision;
                meter.measure(Part::Submit, || {
                    scheduler.submit(id, job, revision, None);
                });
            }
            Event::StartAnswered { worker, task, run, at_ms } => {
                meter.measure(Part::StartAnswered, || {
                    let result = Ok(at_ms);
                    scheduler.start_answered(&worker, &task, run, result, now);
                });
            }
            Event::HoldAnswered { worker, held, report } => {
                self.tally.ends += report.ended.len() as u64;
                meter.measure(Part::HoldAnswered, || {
                    scheduler.hold_answered(&worker, &held, &report, now);
                });
            }
            Event::Stored(changes) => {
                self.writes -= 1;
                let over = changes.progress.iter();
                let over = over.filter(|(_, p)| p.phase.is_final()).count();
                self.tally.finished += over as u64;
                meter.measure(Part::Store, || {
                    scheduler.changes_stored(&changes, now);
                });
            }
            Event::Directory => {
                // The fleet stays as it is: no VM goes to another pool.
                let holder =
                    OrderIssuer { node: "node-1".to_owned(), incarnation: 1 };
                scheduler.hold_off_vm_orders(now, &holder, None);
                let listings = self.listings.clone();
                let vms = &self.vms;
                meter.measure(Part::Directory, || {
                    scheduler.list_workers(now, listings);
                    scheduler.list_vms(now, now.steady_ms, vms);
                });
            }
        }
    }

    /// Plans once, and sends what is wanted.
    fn act(&mut self, processor: Processor) {
        let now = self.now();
        let Peak { scheduler, meter, .. } = self;
        let actions = meter.measure(Part::Plan, || scheduler.plan(now));
        self.tally.plans += 1;
        self.now_us += processor.plan_us;
        self.scheduler.take_decisions();
        for action in actions {
            self.tally.note_planned(&action);
            match action {
                Action::Start { .. } => self.tally.starts += 1,
                Action::Hold { .. } => self.tally.questions += 1,
                _ => {}
            }
            self.now_us += processor.order_us;
            self.at(WAY_US, Outside::Arrives(action));
        }
        self.store();
        if self.now_us >= self.vms_planned_us + VM_PLAN_US {
            self.vms_planned_us = self.now_us;
            let Peak { scheduler, meter, .. } = self;
            meter.measure(Part::PlanVms, || scheduler.plan_vms(now));
        }
    }

    /// Stores the ceilings of teams at once.
    fn store_ceilings(&mut self) {
        let now = self.now();
        let Peak { scheduler, meter, .. } = self;
        meter.measure(Part::Store, || {
            if scheduler.begin_ceilings_write(now).is_some() {
                scheduler.use_ceilings_written(true);
            }
        });
    }

    fn store(&mut self) {
        self.store_ceilings();
        let gathered = self.now_us >= self.stored_us + GATHER_US;
        while self.writes < WRITES {
            let Peak { scheduler, meter, .. } = self;
            let changes = meter.measure(Part::Store, || {
                let wanted = scheduler.has_final_changes()
                    || gathered && scheduler.has_changes();
                wanted.then(|| scheduler.take_changes(JOBS_A_WRITE))
            });
            let Some(changes) = changes else { return };
            self.stored_us = self.now_us;
            self.writes += 1;
            self.at(STORE_US, Outside::Told(Event::Stored(changes)));
        }
    }
}

/// Returns a team, whose quota is more than its jobs use.
fn team(number: u64) -> Team {
    let quota = Resources { cpu_millis: 100_000_000, ..Resources::default() };
    Team { name: format!("team-{number}"), weight: 1_000, quota }
}

/// Returns what a worker says of itself.
fn listing(number: u32, pools: u32) -> WorkerListing {
    WorkerListing {
        id: WorkerId::new(&format!("worker-{number:04}-5d1c7a")),
        incarnation: Incarnation::UNKNOWN,
        address: format!("10.1.{}.{}:7000", number / 250, number % 250),
        vm: format!("vm-{number:04}"),
        pool: pool_name(number % pools),
        hall: "hall-1".to_owned(),
        rack: format!("rack-{}", number / 40),
        labels: Vec::new(),
        capacity: Resources {
            cpu_millis: SLOTS * 1_000,
            memory_mb: 8_000,
            gpus: 0,
        },
        draining: false,
        remaining_ms: None,
        cold_remaining_ms: 0,
    }
}

/// Returns a worker's VM.
fn managed_vm(listing: &WorkerListing) -> ManagedVm {
    ManagedVm {
        vm: listing.vm.clone(),
        pool: listing.pool.clone(),
        status: VmStatus::Up,
        hall: "hall-1".to_owned(),
        capacity: listing.capacity,
        worker: Some(listing.id.clone()),
    }
}
