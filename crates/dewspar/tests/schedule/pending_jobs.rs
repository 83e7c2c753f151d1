//! Which jobs count as waiting: those for which no worker has confirmed that a
//! task began.

use {
    crate::world::{World, at, id, job, next_hold, step},
    dewspar::{
        job::Phase,
        schedule::{
            Action, EndCause, EndedRun, HoldReport, OrderError, Refusal,
            Scheduler, StartOrder, WorkerId,
        },
    },
    dewspar_standin::task_worker::Fate,
};

/// A pool of one worker that has answered, and a job of one task.
fn world_with_job() -> World {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world
}

/// Makes a scheduling pass and returns the start that is ordered.
fn ordered_start(world: &mut World) -> (WorkerId, StartOrder) {
    let actions = world.scheduler.plan(at(world.now_ms));
    let start = actions.into_iter().find_map(|action| match action {
        Action::Start { worker, order, .. } => Some((worker, order)),
        _ => None,
    });
    start.expect("a start is ordered")
}

fn answer(world: &mut World, result: Result<u64, OrderError>) {
    let (worker, order) = ordered_start(world);
    let now = at(world.now_ms);
    world.scheduler.start_answered(
        &worker,
        &order.task,
        order.run,
        result,
        now,
    );
}

fn waiting(scheduler: &Scheduler) -> u64 {
    scheduler.pending(at(0).unix_ms).values().sum()
}

/// Hands the stored progress to another lease holder. Returns the number of
/// waiting jobs that it counts.
fn waiting_for_successor(world: &mut World) -> u64 {
    let changes = world.scheduler.take_changes(100);
    let progress = changes.progress.iter().find(|(of, _)| *of == id(1));
    let progress = progress.map(|(_, progress)| progress);
    world.take_over(9);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, progress);
    waiting(&world.scheduler)
}

#[test]
fn a_job_waits_until_a_worker_confirms_that_a_task_began() {
    let errors = [
        OrderError::Refused(Refusal::NoRoom),
        OrderError::Refused(Refusal::Unhealthy),
        OrderError::NotSent,
        OrderError::Unknown,
    ];
    let mut world = world_with_job();
    ordered_start(&mut world);
    assert_eq!(waiting(&world.scheduler), 1, "no answer yet");
    assert_eq!(waiting_for_successor(&mut world), 1, "no answer yet");
    for error in errors {
        let mut world = world_with_job();
        assert_eq!(waiting(&world.scheduler), 1);
        answer(&mut world, Err(error));
        assert_eq!(waiting(&world.scheduler), 1, "{error:?}");
        assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Queued));
        assert_eq!(waiting_for_successor(&mut world), 1, "{error:?}");
    }
}

#[test]
fn a_job_has_begun_once_its_worker_says_so() {
    let mut world = world_with_job();
    answer(&mut world, Ok(1_000));
    assert_eq!(waiting(&world.scheduler), 0);
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Running));
    assert_eq!(waiting_for_successor(&mut world), 0);
}

#[test]
fn a_job_has_begun_once_a_run_of_it_is_found_or_has_ended() {
    let mut world = world_with_job();
    world.fate = Fate::endless();
    world.run_for(100);
    // Another lease holder, which doesn't know of the start, asks the worker.
    world.take_over(9);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    assert_eq!(waiting(&world.scheduler), 1);
    world.list();
    world.expect_all();
    world.round();
    assert_eq!(waiting(&world.scheduler), 0);

    let mut world = world_with_job();
    let (worker, order) = ordered_start(&mut world);
    // The hold is sent under a new token because the start got no answer.
    let now = at(world.now_ms);
    let (task, run) = (order.task, order.run);
    let lost = Err(OrderError::Unknown);
    world.scheduler.start_answered(&worker, &task, run, lost, now);
    let held = next_hold(&mut world, &worker);
    let ended = EndedRun {
        number: 1,
        task: order.task,
        run: order.run,
        cause: EndCause::Failed,
        checkpoint: String::new(),
    };
    let report = HoldReport {
        clock_ms: 1,
        ended: vec![ended],
        ..HoldReport::default()
    };
    let now = at(world.now_ms);
    world.scheduler.hold_answered(&worker, &held, &report, now);
    assert_eq!(waiting(&world.scheduler), 0);
    assert_eq!(waiting_for_successor(&mut world), 0);
}
