//! Which runs are stopped because their progress has stalled, and what is
//! concluded on their workers.

use {
    crate::world::{World, id, job, step},
    dewspar::{
        job::StepSpec,
        schedule::{Decision, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

const MINUTES_10_MS: u64 = 600_000;
const HOUR_MS: u64 = 3_600_000;

/// For how long a job may have nothing running while there is room for it, in
/// milliseconds.
const MAX_IDLE_MS: u64 = 3_000;

fn world_of(fate: Fate) -> World {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    world.fate = fate;
    world
}

fn estimated(tasks: u32, estimate_ms: u64) -> StepSpec {
    StepSpec { estimate_ms, ..step(tasks) }
}

fn count(world: &mut World, is_counted: impl Fn(&Decision) -> bool) -> usize {
    let decisions = world.scheduler.take_decisions();
    decisions.iter().filter(|decision| is_counted(decision)).count()
}

fn stops(world: &mut World) -> usize {
    count(world, |decision| matches!(decision, Decision::Stopped { .. }))
}

// Guards against taking a long task for stalled because one percent of it takes
// longer than the time-out: it was stopped again and again and never done.
#[test]
fn long_tasks_are_not_stopped_within_a_percent() {
    for work_ms in [MINUTES_10_MS, HOUR_MS] {
        for estimate_ms in [work_ms, work_ms / 3, work_ms * 3] {
            let mut world = world_of(Fate::done(work_ms));
            let tasks = estimated(4, estimate_ms);
            world.scheduler.submit(id(1), job(vec![tasks]), 6, None);
            world.run_for(120_000);
            let case = format!("{work_ms} ms, estimate {estimate_ms}");
            assert_eq!(stops(&mut world), 0, "{case}");
            assert_eq!(world.starts.len(), 4, "{case}");
        }
    }
}

// Guards against stopping a task for ever that gives no estimate, or a far too
// low one, and against suspending all workers for it.
#[test]
fn a_long_task_with_a_wrong_estimate_comes_to_run_on() {
    for (work_ms, estimate_ms, most_stops) in [
        (MINUTES_10_MS, 0, 3),
        (HOUR_MS, 0, 6),
        (MINUTES_10_MS, 500, 3),
        (HOUR_MS, 500, 6),
    ] {
        let mut world = world_of(Fate::done(work_ms));
        let task = estimated(1, estimate_ms);
        world.scheduler.submit(id(1), job(vec![task]), 6, None);
        let mut idle_ms = 0;
        let mut last_start_ms = 0;
        while world.now_ms < 300_000 {
            let starts = world.starts.len();
            world.run_for(50);
            if world.starts.len() > starts {
                last_start_ms = world.now_ms;
            }
            let idle = world.running().is_empty();
            idle_ms = if idle { idle_ms + 50 } else { 0 };
            assert!(idle_ms < MAX_IDLE_MS, "nothing runs");
        }
        let case = format!("{work_ms} ms, estimate {estimate_ms}");
        let stops = stops(&mut world);
        assert!(stops <= most_stops, "{case}: {stops} stops");
        assert!(last_start_ms < 200_000, "{case}: {last_start_ms} ms");
    }
}

// Guards against suspending sound workers for a task that is slow everywhere.
#[test]
fn workers_are_not_suspended_again_and_again_for_a_slow_task() {
    for (estimate_ms, most) in [(0, 1), (500, 2)] {
        let mut world = world_of(Fate::done(HOUR_MS));
        let task = estimated(1, estimate_ms);
        world.scheduler.submit(id(1), job(vec![task]), 6, None);
        world.run_for(120_000);
        let suspensions = count(&mut world, |decision| {
            matches!(decision, Decision::Suspended { .. })
        });
        assert_eq!(suspensions, most, "estimate {estimate_ms}");
    }
}

/// Returns when a run that has stopped making progress is stopped, in
/// milliseconds from its start.
fn detection_ms(estimate_ms: u64) -> u64 {
    let mut world = world_of(Fate::stalled());
    let task = estimated(1, estimate_ms);
    world.scheduler.submit(id(1), job(vec![task]), 6, None);
    let began_ms = world.now_ms;
    loop {
        world.run_for(50);
        if stops(&mut world) > 0 {
            return world.now_ms - began_ms;
        }
    }
}

// Guards against detecting stalled runs later where tasks are short, and
// states the times of longer ones.
#[test]
fn a_stalled_run_is_detected_in_time() {
    let usual_ms = 2_500..=2_900;
    for work_ms in [600, 5_000, 20_000] {
        for estimate_ms in [work_ms, work_ms / 3, work_ms * 3, 0] {
            let after_ms = detection_ms(estimate_ms);
            assert!(
                usual_ms.contains(&after_ms),
                "{after_ms} ms, estimate {estimate_ms}"
            );
        }
    }
    // Of a minute, ten minutes and an hour: the estimate is right, a third of
    // the real time, and three times that.
    for (estimate_ms, from_ms) in [
        (60_000, 2_500),
        (20_000, 2_500),
        (180_000, 7_200),
        (600_000, 24_000),
        (200_000, 8_000),
        (1_800_000, 72_000),
        (3_600_000, 144_000),
        (1_200_000, 48_000),
        (10_800_000, 432_000),
    ] {
        let after_ms = detection_ms(estimate_ms);
        let expected_ms = from_ms..=from_ms + 400;
        assert!(
            expected_ms.contains(&after_ms),
            "{after_ms} ms, estimate {estimate_ms}"
        );
    }
}

// Guards against keeping a task on a worker on which all tasks stand still: its
// second run counts against that worker, not against the task.
#[test]
fn a_task_with_an_estimate_leaves_two_faulty_workers() {
    let mut world = world_of(Fate::stalled());
    let task = estimated(1, 500);
    world.scheduler.submit(id(1), job(vec![task]), 6, None);
    while world.starts.len() < 3 {
        world.run_for(50);
        assert!(world.now_ms < 10_000, "{} starts", world.starts.len());
        if world.starts.len() == 2 {
            world.fate = Fate::done(500);
        }
    }
    let on: Vec<&WorkerId> = world.starts.iter().map(|(on, _)| on).collect();
    assert!(on[0] != on[1] && on[1] != on[2] && on[0] != on[2], "{on:?}");
}

// Guards against a time-out that stops growing below one percent of the work.
#[test]
fn a_task_of_a_month_without_an_estimate_comes_to_run_on() {
    const MONTH_MS: u64 = 30 * 24 * 3_600_000;
    const PERCENT_MS: u64 = MONTH_MS / 100;
    let mut world = world_of(Fate::done(MONTH_MS));
    world.scheduler.submit(id(1), job(vec![estimated(1, 0)]), 6, None);
    let mut starts = 0;
    let mut last_start_ms = 0;
    while world.now_ms < last_start_ms + 2 * PERCENT_MS {
        world.now_ms += 2_000;
        world.run_for(50);
        if world.starts.len() > starts {
            starts = world.starts.len();
            last_start_ms = world.now_ms;
        }
        assert!(starts <= 16, "{starts} starts");
    }
}

// Guards against a slow start of a long-running task that is never waited for.
#[test]
fn a_long_running_task_that_is_slow_to_start_comes_to_run_on() {
    let mut world = world_of(Fate::done(MINUTES_10_MS));
    let task = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![task]), 6, None);
    world.run_for(120_000);
    let stops = stops(&mut world);
    assert!(stops <= 2, "{stops} stops");
}
