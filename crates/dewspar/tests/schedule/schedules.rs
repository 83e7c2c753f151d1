//! Jobs that are repeated many times, most of them long after now.

use {
    crate::world::{World, at, id, job, step},
    dewspar::{
        job::Repeat,
        schedule::{AcceptedJob, Now},
    },
    dewspar_standin::task_worker::Fate,
};

/// Every five minutes for thirty days.
const ROUNDS: u32 = 8_640;

const INTERVAL_MS: u64 = 300_000;

/// How often a schedule's memory may exceed that of a job that runs once.
const MAX_FACTOR: usize = 3;

fn schedule(
    steps: usize,
    count: u32,
    start_in_ms: u64,
    interval_ms: u64,
) -> AcceptedJob {
    let mut steps = vec![step(1); steps];
    for (index, later) in steps.iter_mut().enumerate().skip(1) {
        later.after = vec![index - 1];
    }
    let mut accepted = job(steps);
    accepted.spec.repeat = Some(Repeat {
        start_at_ms: at(start_in_ms).unix_ms,
        interval_ms,
        count,
    });
    accepted
}

/// Returns how much a scheduler holds in all, as the length of its state when
/// it is printed.
fn state_size(world: &World) -> usize {
    format!("{:?}", world.scheduler).len()
}

/// Returns how much a job adds to what a scheduler holds, also once it has
/// planned.
fn added_by(accepted: AcceptedJob, revision: u64) -> usize {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(1_000);
    let before = state_size(&world);
    world.scheduler.submit(id(1), accepted, revision, None);
    world.run_for(1_000);
    state_size(&world).saturating_sub(before)
}

/// Guards against schedules that fill the memory of each node which schedules:
/// rounds that aren't due cost nothing, whether the holder has seen the job
/// accepted or has taken it over.
#[test]
fn rounds_that_are_not_due_take_no_memory() {
    for revision in [4, 6] {
        for steps in [1, 2] {
            let once = schedule(steps, 1, 3_600_000, INTERVAL_MS);
            let once = added_by(once, revision);
            for start_in_ms in [20_000, 3_600_000] {
                let many = schedule(steps, ROUNDS, start_in_ms, INTERVAL_MS);
                let many = added_by(many, revision);
                assert!(many <= MAX_FACTOR * once, "{many}, once {once}");
            }
        }
    }
}

/// Guards against rounds that are never started, or jobs that end early, since
/// a round is only known once it is due soon.
#[test]
fn each_round_runs_once_when_it_is_due() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::done(100);
    world.list();
    let interval_ms = 90_000;
    let accepted = schedule(2, 4, 100_000, interval_ms);
    world.scheduler.submit(id(1), accepted, 6, None);
    for round in 0..4 {
        let due_ms = 100_000 + u64::from(round) * interval_ms;
        world.run_for(due_ms - 100 - world.now_ms);
        assert_eq!(world.starts.len(), 2 * round as usize);
        assert_ne!(world.phases.get(&id(1)), Some(&"completed"));
        world.run_for(2_000);
        let starts: Vec<u32> =
            world.starts.iter().map(|(_, order)| order.task.round).collect();
        assert_eq!(starts.len(), 2 * (round as usize + 1));
        assert_eq!(starts[starts.len() - 2..], [round, round]);
    }
    assert_eq!(world.phases[&id(1)], "completed");
}

/// Guards against a second run of a round that another holder, whose clock is
/// ahead, has started before it is due here.
#[test]
fn a_round_that_a_former_holder_has_started_early_is_found() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.fate = Fate::done(400_000);
    world.list();
    let mut accepted = schedule(1, ROUNDS, 1_000, INTERVAL_MS);
    accepted.spec.steps[0].estimate_ms = 400_000;
    world.scheduler.submit(id(1), accepted.clone(), 6, None);
    // The former holder's clock is ahead by more than an interval.
    let ahead_ms = 2 * INTERVAL_MS;
    let now = Now {
        steady_ms: world.now_ms + 50,
        unix_ms: at(world.now_ms).unix_ms + ahead_ms,
    };
    for _ in 0..3 {
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
    }
    let started = world.starts.len();
    assert!(started >= 3, "{started} rounds were started");
    world.take_over(8);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), accepted, 6, None);
    world.run_for(10_000);
    assert_eq!(world.starts.len(), started, "started again");
    world.run_for(2 * INTERVAL_MS);
    let mut rounds: Vec<u32> =
        world.starts.iter().map(|(_, order)| order.task.round).collect();
    rounds.sort_unstable();
    rounds.dedup();
    assert_eq!(rounds.len(), world.starts.len(), "a round ran twice");
}
