//! Starts that are recorded before they are ordered.

use {
    crate::{
        crashing::{first_task, starts_of},
        world::{POOL, RunKind, World, at, id, job, listing, step},
    },
    dewspar::{
        job::{JobId, Phase},
        schedule::{
            Action, Changes, Decision, Options, Resources, Scheduler,
            WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, VecDeque},
};

/// The maximum time that a start waits for its record, plus one plan, in
/// milliseconds.
const RECORD_WAIT_MS: u64 = 300 + 50;

/// Returns a holder that has just taken over with one job.
fn take_over_with_a_job(names: &[&str]) -> World {
    let mut world = World::new(5, names);
    world.take_over(8);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.list();
    world.expect_all();
    world
}

/// Plans for this long while the store doesn't answer.
fn run_without_answers(world: &mut World, ms: u64) {
    let end_ms = world.now_ms + ms;
    while world.now_ms < end_ms {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
    }
}

// Guards against counting a crash under a start that had its place but was
// never ordered.
#[test]
fn a_worker_lost_before_a_start_is_on_record_counts_for_nothing() {
    let mut world = take_over_with_a_job(&["w1"]);
    run_without_answers(&mut world, 150);
    assert_eq!(world.starts.len(), 0);
    world.crash_worker_on("vm-of-w1");
    let reason = "the VM service says that it ended";
    let now = at(world.now_ms);
    world.scheduler.worker_gone(&WorkerId::new("w1"), reason, now);
    world.run_for(60_000);
    assert_eq!(starts_of(&world, &first_task(id(1))), 1);
    assert_eq!(world.phases[&id(1)], "completed");
    let decisions = world.scheduler.take_decisions();
    let counted = |d: &Decision| matches!(d, Decision::Suspected { .. });
    assert!(!decisions.iter().any(counted), "{decisions:?}");
}

// Guards against callers that wait for as long as the store doesn't answer.
#[test]
fn a_start_waits_for_its_record_for_a_bounded_time() {
    let mut world = take_over_with_a_job(&["w1"]);
    run_without_answers(&mut world, 200);
    assert_eq!(world.starts.len(), 0);
    run_without_answers(&mut world, RECORD_WAIT_MS);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_start_that_waits_for_its_record_is_cancelled_with_its_job() {
    let mut world = take_over_with_a_job(&["w1"]);
    run_without_answers(&mut world, 150);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 0);
    assert_eq!(world.phases[&id(1)], "cancelled");
}

// Guards against a start that is never ordered on a worker that takes one run
// at a time, because its own reserved place looks like another run.
#[test]
fn a_start_on_a_worker_that_may_be_at_fault_is_ordered_once_on_record() {
    let room = Resources { cpu_millis: 1_000, memory_mb: 1_000, gpus: 0 };
    let mut world = World::with_room(5, &["w1"], room);
    world.take_over(8);
    let demand = Resources { cpu_millis: 1_000, ..Resources::default() };
    for number in [1, 2] {
        let fails = RunKind { demand, fate: Fate::failed(100) };
        world.kinds.insert(id(number), fails);
    }
    for number in [1, 2, 3] {
        let mut accepted = job(vec![step(1)]);
        accepted.terms.max_attempts = 1;
        accepted.terms.priority = u32::from(number == 3);
        world.scheduler.submit(id(number), accepted, 6, None);
    }
    world.list();
    world.expect_all();
    world.run_for(60_000);
    assert_eq!(world.phases[&id(1)], "failed");
    assert_eq!(world.phases[&id(2)], "failed");
    assert_eq!(world.phases[&id(3)], "completed");
}

const WORKERS: u64 = 300;
const TASKS: u64 = 2_000;

/// How often the holder plans, in milliseconds.
const PLAN_MS: u64 = 5;

/// The store's writes per second and response time in milliseconds, the
/// holder's maximum number of writes in flight, and the number of entries per
/// write beside the lease's.
const WRITES_A_SECOND: u64 = 400;
const ANSWER_MS: u64 = 50;
const MOST_WRITES: usize = 8;
const ENTRIES_A_WRITE: usize = 31;

/// Returns how many entries of a write a job takes.
fn entries_of(phase: Phase) -> usize {
    if phase.is_final() { 4 } else { 2 }
}

/// A holder that takes over at peak load, with a distant store.
struct Takeover {
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, TaskWorker>,
    now_ms: u64,
    starts: u64,
    /// The starts that were ordered before their job's record said so.
    starts_not_on_record: u64,
    writes: u64,
    under_way: VecDeque<(u64, Changes)>,
    stored: BTreeMap<JobId, Vec<String>>,
}

impl Takeover {
    fn new() -> Takeover {
        let mut scheduler = Scheduler::new(7, Options::default());
        let room = Resources { cpu_millis: 8_000, memory_mb: 8_000, gpus: 0 };
        let listings: Vec<WorkerListing> = (0..WORKERS)
            .map(|number| WorkerListing {
                capacity: room,
                ..listing(&format!("w{number}"))
            })
            .collect();
        let live_workers =
            listings.iter().map(|l| (l.id.clone(), POOL.to_owned()));
        let live_workers: Vec<(WorkerId, String)> = live_workers.collect();
        let worker =
            |(id, _): &(WorkerId, String)| (id.clone(), TaskWorker::new(room));
        let workers = live_workers.iter().map(worker).collect();
        scheduler.list_workers(at(1_000), listings);
        scheduler.expect_workers(at(1_000), live_workers);
        for number in 0..TASKS {
            scheduler.submit(id(number), job(vec![step(1)]), 6, None);
        }
        Takeover {
            scheduler,
            workers,
            now_ms: 1_000,
            starts: 0,
            starts_not_on_record: 0,
            writes: 0,
            under_way: VecDeque::new(),
            stored: BTreeMap::new(),
        }
    }

    fn plan(&mut self) {
        self.now_ms += PLAN_MS;
        let now = at(self.now_ms);
        while self.under_way.front().is_some_and(|(at, _)| *at <= self.now_ms)
        {
            // OK because the queue was just seen to have an entry.
            let (_, changes) = self.under_way.pop_front().expect("a write");
            for (id, progress) in &changes.progress {
                let told = progress.tasks.iter().map(|t| t.told.clone());
                self.stored.insert(*id, told.flatten().collect());
            }
            self.scheduler.changes_stored(&changes, now);
        }
        for action in self.scheduler.plan(now) {
            self.carry_out(action);
        }
        let allowed = |passed_ms: u64| passed_ms * WRITES_A_SECOND / 1_000;
        while self.scheduler.has_changes()
            && self.under_way.len() < MOST_WRITES
            && self.writes < allowed(self.now_ms - 1_000)
        {
            self.writes += 1;
            let changes = self
                .scheduler
                .take_changes_within(ENTRIES_A_WRITE, entries_of);
            self.under_way.push_back((self.now_ms + ANSWER_MS, changes));
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = at(self.now_ms);
        match action {
            Action::Start { worker, order, .. } => {
                self.starts += 1;
                let told = self.stored.get(&order.task.job);
                let on_record = told.is_some_and(|told| {
                    told.iter().any(|told| told == worker.as_str())
                });
                self.starts_not_on_record += u64::from(!on_record);
                let demand =
                    Resources { cpu_millis: 1_000, ..Resources::default() };
                // OK because there are only these workers.
                let at_worker = self.workers.get_mut(&worker).expect("known");
                let clock_ms = now.steady_ms;
                let result =
                    at_worker.start(clock_ms, &order, demand, Fate::endless());
                let (task, run) = (order.task, order.run);
                self.scheduler
                    .start_answered(&worker, &task, run, result, now);
            }
            Action::Hold { worker, held, .. } => {
                // OK because there are only these workers.
                let at_worker = self.workers.get_mut(&worker).expect("known");
                let report = at_worker.hold(now.steady_ms, held.order());
                let report = report.expect("one holder only");
                self.scheduler.hold_answered(&worker, &held, &report, now);
            }
            _ => {}
        }
    }
}

// Guards against a takeover that is delayed by starts that wait for their
// records: 96 starts were ordered in the first second, against 4,251 without
// records.
#[test]
fn a_large_takeover_is_not_delayed_by_its_records() {
    let mut takeover = Takeover::new();
    while takeover.now_ms < 2_000 {
        takeover.plan();
    }
    let first_second = takeover.starts;
    assert!(first_second >= 1_600, "{first_second} starts");
    while takeover.scheduler.has_changes() || !takeover.under_way.is_empty() {
        takeover.plan();
        assert!(takeover.now_ms <= 1_000 + 6_200, "not all is stored");
    }
    assert_eq!(takeover.starts, TASKS);
    assert_eq!(takeover.starts_not_on_record, 0);
}
