//! Answers of workers with rows that can't be read, so that runs may go on
//! that nobody has named.

use {
    crate::world::{World, at, id, job, listing, step},
    dewspar::{
        job::JobId,
        schedule::{Action, Decision, HoldReport, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

/// Longer than any lease that a former holder may have granted, in
/// milliseconds.
const LONGEST_WAIT_MS: u64 = 17_000;

/// Returns a world whose worker `w1` has an endless run of each of these jobs,
/// of one task.
fn world_with_runs(jobs: &[JobId]) -> World {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    for id in jobs {
        world.scheduler.submit(*id, job(vec![step(1)]), 6, None);
    }
    world.run_for(500);
    assert_eq!(world.running().len(), jobs.len());
    world.add_worker(listing("w2"));
    world.list();
    world
}

/// Lets another holder take over that has loaded all jobs.
fn take_over(world: &mut World, jobs: &[JobId]) {
    world.take_over(8);
    world.list();
    world.expect_all();
    for id in jobs {
        let progress = world.stored.get(id).cloned();
        let accepted = job(vec![step(1)]);
        world.scheduler.submit(*id, accepted, 6, progress.as_ref());
    }
}

/// Runs for this time, in milliseconds, while the row of each run of a job in
/// the answers of `w1` can't be read, and checks that no task runs twice.
fn run_without_rows_of(world: &mut World, hidden: JobId, ms: u64) {
    run_with_answers(world, ms, |report| hide(report, hidden));
}

/// Runs for this time, in milliseconds, with the answers of `w1` as they are
/// read, and checks that no task runs twice.
fn run_with_answers(
    world: &mut World,
    ms: u64,
    read: impl Fn(HoldReport) -> HoldReport,
) {
    let end_ms = world.now_ms + ms;
    while world.now_ms < end_ms {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            match action {
                Action::Hold { worker, held, .. } if worker == w1() => {
                    let clock = world.clock_of(&worker);
                    // OK because nothing makes it unreachable.
                    let reached = world.reach(&worker).expect("up");
                    let answer = reached.hold(clock, held.order());
                    let answer = answer.map(&read);
                    world.hold_result(&worker, &held, answer, now);
                }
                other => world.carry_out(other, now),
            }
        }
        let mut running = world.running();
        let runs = running.len();
        running.dedup();
        assert_eq!(running.len(), runs, "at {}: {running:?}", world.now_ms);
    }
}

fn hide(mut report: HoldReport, hidden: JobId) -> HoldReport {
    let rows = report.active.len();
    report.active.retain(|active| active.task.job != hidden);
    report.is_partial = report.active.len() < rows;
    report
}

fn w1() -> WorkerId {
    WorkerId::new("w1")
}

/// Returns the workers on which tasks of a job were started.
fn started_on(world: &World, job: JobId) -> Vec<&str> {
    let starts = world.starts.iter();
    let of_job = starts.filter(|(_, order)| order.task.job == job);
    of_job.map(|(worker, _)| worker.as_str()).collect()
}

// Guards against a second run of a task whose row can't be read, and against
// tasks that wait for ever since the lease is renewed for the other runs.
#[test]
fn an_unidentified_run_is_waited_for_until_its_lease_is_over() {
    let jobs = [id(1), id(2)];
    let mut world = world_with_runs(&jobs);
    take_over(&mut world, &jobs);
    let new = id(3);
    world.scheduler.submit(new, job(vec![step(1)]), 9, None);
    run_without_rows_of(&mut world, id(1), LONGEST_WAIT_MS);
    assert_eq!(world.running().len(), 3, "all run again");
    assert_eq!(started_on(&world, id(1)).len(), 2);
    assert_eq!(started_on(&world, new).len(), 1);
}

// Guards against a worker that stays unused, or whose other runs lapse, once
// its answer is whole.
#[test]
fn a_whole_answer_ends_the_wait_and_keeps_all_runs() {
    let jobs = [id(1), id(2)];
    let mut world = world_with_runs(&jobs);
    take_over(&mut world, &jobs);
    run_without_rows_of(&mut world, id(1), 3_000);
    world.run_for(2 * LONGEST_WAIT_MS);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.starts.len(), 2, "nothing was started again");
}

// Guards against runs that lapse, are stopped or are started again since their
// own holder can't read their rows.
#[test]
fn an_unreadable_row_of_a_known_run_changes_nothing() {
    let jobs = [id(1), id(2)];
    let mut world = world_with_runs(&jobs);
    run_without_rows_of(&mut world, id(1), 2 * LONGEST_WAIT_MS);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.starts.len(), 2, "nothing was started again");
    take_over(&mut world, &jobs);
    world.run_for(500);
    run_without_rows_of(&mut world, id(1), 2 * LONGEST_WAIT_MS);
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.starts.len(), 2, "nothing was started again");
}

// Guards against a worker's VM that is taken for empty, and against questions
// that cease, while its only run isn't identified.
#[test]
fn a_worker_whose_only_run_is_unidentified_is_asked_again() {
    let jobs = [id(1)];
    let mut world = world_with_runs(&jobs);
    take_over(&mut world, &jobs);
    run_without_rows_of(&mut world, id(1), 3_000);
    world.run_for(1_000);
    let decisions = world.scheduler.take_decisions();
    let found = decisions.iter().any(|decision| match decision {
        Decision::Adopted { worker, .. } => *worker == w1(),
        _ => false,
    });
    assert!(found, "{decisions:?}");
    assert_eq!(started_on(&world, id(1)), ["w1"]);
}

// Guards against a line in the log for each answer with an unreadable row.
#[test]
fn a_series_of_partial_answers_is_reported_once() {
    let jobs = [id(1), id(2)];
    let mut world = world_with_runs(&jobs);
    world.scheduler.take_decisions();
    run_without_rows_of(&mut world, id(1), 5_000);
    world.run_for(5_000);
    let decisions = world.scheduler.take_decisions().into_iter();
    let reported = decisions.filter_map(|decision| match decision {
        Decision::AnswerPartial { runs, is_lease_withheld, .. } => {
            Some((runs, is_lease_withheld))
        }
        Decision::AnswerComplete { .. } => Some((0, false)),
        _ => None,
    });
    assert_eq!(reported.collect::<Vec<_>>(), [(1, false), (0, false)]);
}

// Guards against a run that is stopped as stalled, since its progress is in a
// row that can't be read.
#[test]
fn a_run_in_an_unreadable_row_is_not_taken_for_stalled() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::done(60_000);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(5_000);
    run_without_rows_of(&mut world, id(1), 20_000);
    world.run_for(5_000);
    assert_eq!(world.running().len(), 1);
    assert_eq!(world.starts.len(), 1, "nothing was started again");
}

// Guards against a run that is stopped as stalled, or taken for new, since its
// progress can't be read.
#[test]
fn a_run_whose_progress_cannot_be_read_is_not_taken_for_stalled() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::done(60_000);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(5_000);
    let jobs = [id(1)];
    let without_progress = |mut report: HoldReport| {
        for active in &mut report.active {
            active.percent = None;
        }
        report
    };
    run_with_answers(&mut world, 20_000, without_progress);
    take_over(&mut world, &jobs);
    run_with_answers(&mut world, 20_000, without_progress);
    world.run_for(5_000);
    assert_eq!(world.running().len(), 1);
    assert_eq!(world.starts.len(), 1, "nothing was started again");
}

// Guards against a second run of a task that was listed before its job was
// loaded, and whose row can't be read afterwards.
#[test]
fn a_run_listed_before_its_job_was_loaded_is_not_forgotten() {
    let jobs = [id(1), id(2)];
    let mut world = world_with_runs(&jobs);
    world.take_over(8);
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    world.run_for(500);
    run_without_rows_of(&mut world, id(1), 1_000);
    for id in jobs {
        let stored = world.stored.get(&id).cloned();
        world.scheduler.submit(id, job(vec![step(1)]), 6, stored.as_ref());
    }
    world.scheduler.finish_loading(at(world.now_ms));
    run_without_rows_of(&mut world, id(1), LONGEST_WAIT_MS);
    assert_eq!(world.running().len(), 2, "both run");
    assert_eq!(started_on(&world, id(1)).len(), 2, "it starts again");
}
