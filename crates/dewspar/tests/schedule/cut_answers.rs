//! Workers that have more ends to report than they list at once: a run that
//! is in neither list of an answer may have ended.

use {
    crate::world::{RunKind, World, at, id, job, listing, step},
    dewspar::{
        job::{Phase, StepSpec, TaskId},
        schedule::{
            Action, ActiveRun, Decision, EndCause, EndedRun, HoldReport,
            Resources, WorkerId,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::BTreeMap,
};

const LISTED_ENDS: usize = 5;

/// A world with one worker that lists few ends at once.
fn world_with_short_lists(room: Resources) -> World {
    let mut world = World::with_room(5, &["w1"], room);
    for worker in world.workers.values_mut() {
        *worker = TaskWorker::new(room).listing_at_most(LISTED_ENDS);
    }
    world.fate = Fate::done(200);
    world.list();
    world.expect_all();
    world.run_for(200);
    world
}

fn room(tasks: u64) -> Resources {
    Resources { cpu_millis: tasks * 1_000, memory_mb: 100_000, gpus: 0 }
}

/// Returns how many runs of each task were ordered, except those with one.
fn repeated(world: &World) -> BTreeMap<TaskId, usize> {
    let mut runs: BTreeMap<TaskId, usize> = BTreeMap::new();
    for (_, order) in &world.starts {
        *runs.entry(order.task).or_default() += 1;
    }
    runs.retain(|_, count| *count > 1);
    runs
}

fn unreported(world: &World) -> usize {
    world.workers.values().map(|worker| worker.ended().len()).sum()
}

// Guards against starting tasks again that are done: while the store is out,
// no end is acknowledged, and the later ones aren't listed.
#[test]
fn a_run_whose_end_is_not_listed_yet_is_not_lost() {
    for outage_ms in [1_000, 4_500, 20_000] {
        let mut world = world_with_short_lists(room(4));
        world.scheduler.submit(id(1), job(vec![step(60)]), 6, None);
        world.run_for(300);
        world.outage = true;
        world.run_for(outage_ms);
        assert!(unreported(&world) > LISTED_ENDS, "some aren't listed");
        world.outage = false;
        world.run_for(8_000);
        assert_eq!(repeated(&world), BTreeMap::new(), "after {outage_ms} ms");
        assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
    }
}

// Guards against treating ended runs as stalled, and sound workers as faulty,
// while their ends aren't listed.
#[test]
fn a_run_whose_end_is_not_listed_yet_is_not_stalled() {
    let mut world = world_with_short_lists(room(4));
    world.scheduler.submit(id(1), job(vec![step(60)]), 6, None);
    world.outage = true;
    world.run_for(10_000);
    let decisions = world.scheduler.take_decisions();
    let acted = decisions.iter().find(|decision| {
        matches!(
            decision,
            Decision::Stopped { .. } | Decision::Suspended { .. }
        )
    });
    assert!(acted.is_none(), "{acted:?}");
}

// Guards against a list of ends that grows as long as an outage lasts: tasks
// that need no room could always start.
#[test]
fn a_worker_that_does_not_list_all_ends_gets_no_starts() {
    let mut world = world_with_short_lists(room(4));
    let small = StepSpec { cpu_millis: 0, memory_mb: 0, ..step(2) };
    let kind = RunKind { demand: Resources::default(), fate: world.fate };
    world.outage = true;
    for number in 1..=100 {
        world.kinds.insert(id(number), kind);
        let job = job(vec![small.clone()]);
        world.scheduler.submit(id(number), job, 6, None);
        world.run_for(100);
    }
    // Those that were running when the list was full, and no more.
    let most = LISTED_ENDS + 6;
    assert!(unreported(&world) <= most, "{} ends", unreported(&world));
    world.outage = false;
    world.run_for(20_000);
    assert_eq!(repeated(&world), BTreeMap::new());
    let open = (1..=100)
        .find(|job| world.phases.get(&id(*job)) != Some(&"completed"));
    assert_eq!(open, None);
}

/// Stops storing, lets more tasks end than the worker lists, and lets another
/// holder take over that has loaded the job.
fn take_over_from_outage(world: &mut World) {
    world.scheduler.submit(id(1), job(vec![step(60)]), 6, None);
    world.run_for(100);
    world.outage = true;
    world.run_for(4_500);
    assert!(unreported(world) > LISTED_ENDS, "some aren't listed");
    let progress = world.stored.get(&id(1)).cloned();
    world.take_over(9);
    world.scheduler.submit(id(1), job(vec![step(60)]), 6, progress.as_ref());
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(room(4)));
    world.workers.extend([second]);
    world.list();
    world.expect_all();
}

// Guards against a new holder that takes a worker's first answer for whole and
// starts what the worker hasn't listed as done.
#[test]
fn a_new_holder_waits_for_the_ends_that_are_not_listed_yet() {
    let mut world = world_with_short_lists(room(4));
    take_over_from_outage(&mut world);
    world.outage = false;
    world.run_for(15_000);
    assert_eq!(repeated(&world), BTreeMap::new());
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

// The same while the store is out again, for longer than a lease lasts that
// nobody renews.
#[test]
fn a_new_holder_waits_for_them_for_longer_than_a_lease_lasts() {
    let mut world = world_with_short_lists(room(4));
    take_over_from_outage(&mut world);
    world.run_for(20_000);
    assert_eq!(repeated(&world), BTreeMap::new(), "while they aren't listed");
    world.outage = false;
    world.run_for(15_000);
    assert_eq!(repeated(&world), BTreeMap::new());
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

fn task(number: u64) -> TaskId {
    TaskId { job: id(number), round: 0, step: 0, index: 0 }
}

fn active(number: u64) -> ActiveRun {
    ActiveRun {
        task: task(number),
        run: 1,
        checkpoint: String::new(),
        percent: Some(10),
        gauge: Some(0),
    }
}

/// The first task of a job with this number has ended, as the worker's end of
/// the same number.
fn end(number: u64) -> EndedRun {
    EndedRun {
        number,
        task: task(number),
        run: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    }
}

/// A new holder that hasn't loaded two jobs of one task yet, and a worker on
/// which both run.
fn world_with_unknown_runs(names: &[&str]) -> (World, WorkerId) {
    let mut world = World::new(7, names);
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    let worker = WorkerId::new("w1");
    let report = HoldReport {
        clock_ms: 1,
        active: vec![active(1), active(2)],
        ..HoldReport::default()
    };
    answer_next_hold(&mut world, &worker, &report);
    (world, worker)
}

/// Answers the next hold to a worker, and carries out all other orders.
fn answer_next_hold(
    world: &mut World,
    worker: &WorkerId,
    report: &HoldReport,
) {
    world.now_ms += 1_000;
    let now = at(world.now_ms);
    let mut asked = None;
    for action in world.scheduler.plan(now) {
        match action {
            Action::Hold { worker: to, held, .. } if to == *worker => {
                asked = Some(held);
            }
            other => world.carry_out(other, now),
        }
    }
    let held = asked.expect("a hold is due");
    world.scheduler.hold_answered(worker, &held, report, now);
}

fn load(world: &mut World, number: u64) {
    world.scheduler.submit(id(number), job(vec![step(1)]), 5, None);
}

// Guards against taking a run for lost whose end stands behind that of a job
// which isn't loaded yet.
#[test]
fn a_run_whose_end_follows_that_of_an_unknown_job_is_not_lost() {
    let (mut world, worker) = world_with_unknown_runs(&["w1"]);
    load(&mut world, 2);
    let running = HoldReport {
        clock_ms: 1_000,
        active: vec![active(1), active(2)],
        ..HoldReport::default()
    };
    answer_next_hold(&mut world, &worker, &running);
    let both_ended = HoldReport {
        clock_ms: 2_000,
        ended: vec![end(1), end(2)],
        ..HoldReport::default()
    };
    answer_next_hold(&mut world, &worker, &both_ended);
    let decisions = world.scheduler.take_decisions();
    let lost =
        decisions.iter().find(|d| matches!(d, Decision::RunLost { .. }));
    assert!(lost.is_none(), "{lost:?}");

    load(&mut world, 1);
    world.scheduler.finish_loading(at(world.now_ms));
    answer_next_hold(&mut world, &worker, &both_ended);
    for number in [1, 2] {
        let phase = world.scheduler.phase(id(number));
        assert_eq!(phase, Some(Phase::Completed), "job {number}");
    }
}

// Guards against taking all runs of a worker for known after an answer that
// leaves out the end of a job which isn't loaded yet.
#[test]
fn a_job_waits_while_its_end_may_be_left_out() {
    let (mut world, worker) = world_with_unknown_runs(&["w1", "w2"]);
    load(&mut world, 1);
    let first_ended = HoldReport {
        clock_ms: 2_000,
        ended: vec![end(1)],
        has_more_ends: true,
        ..HoldReport::default()
    };
    answer_next_hold(&mut world, &worker, &first_ended);
    load(&mut world, 2);
    world.scheduler.finish_loading(at(world.now_ms));
    // The next answer is lost, and the other worker has room.
    world.unreachable.push(worker);
    world.run_for(1_000);
    assert!(world.starts.is_empty(), "{:?}", world.starts);
}
