//! Merging a job's record that the scheduler didn't know of.

use {
    crate::world::{World, at, id, job, listing, step},
    dewspar::{
        job::{Phase, Progress, TaskRecord},
        schedule::{EndCause, Scheduler},
    },
    dewspar_standin::task_worker::Fate,
};

/// A world with a job of one step of two tasks, both of which run.
fn world_with_a_running_job() -> World {
    let mut world = World::new(7, &["w1"]);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    world.round();
    world.scheduler.submit(id(1), job(vec![step(2)]), 8, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 2);
    world.starts.clear();
    world
}

fn running(tasks: Vec<TaskRecord>) -> Progress {
    Progress { phase: Phase::Running, tasks, ..Progress::default() }
}

fn done(index: u32) -> TaskRecord {
    TaskRecord { index, done: true, run: 1, ..TaskRecord::default() }
}

fn failed(index: u32, runs: &[u64]) -> TaskRecord {
    let run = runs.iter().copied().max().unwrap_or(0);
    let failed_runs = runs.to_vec();
    TaskRecord { index, failed_runs, run, ..TaskRecord::default() }
}

#[test]
fn a_task_that_is_done_on_record_is_stopped_and_not_started_again() {
    let mut world = world_with_a_running_job();
    let record = running(vec![done(0)]);
    world.scheduler.merge_record(id(1), &record, at(world.now_ms));
    world.run_for(1_000);
    let running = world.running();
    assert_eq!(running.len(), 1, "{running:?}");
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    // It is stored as done, together with the known state.
    assert_eq!(world.stored[&id(1)].tasks[0], done(0));
}

#[test]
fn a_job_is_over_once_the_record_names_the_last_tasks_as_done() {
    let mut world = world_with_a_running_job();
    let record = running(vec![done(0), done(1)]);
    world.scheduler.merge_record(id(1), &record, at(world.now_ms));
    world.run_for(500);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
    assert!(world.running().is_empty());
}

#[test]
fn failed_runs_on_record_count_once_each() {
    let mut world = world_with_a_running_job();
    for runs in [&[5][..], &[5], &[5, 6]] {
        let record = running(vec![failed(0, runs)]);
        world.scheduler.merge_record(id(1), &record, at(world.now_ms));
    }
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Running));
    let record = running(vec![failed(0, &[6, 7])]);
    world.scheduler.merge_record(id(1), &record, at(world.now_ms));
    let phase = world.scheduler.phase(id(1));
    assert_eq!(phase, Some(Phase::Failed), "three runs failed in all");
}

#[test]
fn an_older_record_changes_nothing() {
    let mut world = world_with_a_running_job();
    let newer = running(vec![done(0), failed(1, &[4, 5])]);
    world.scheduler.merge_record(id(1), &newer, at(world.now_ms));
    let older = Progress { phase: Phase::Queued, ..running(Vec::new()) };
    world.scheduler.merge_record(id(1), &older, at(world.now_ms));
    world.run_for(200);
    assert_eq!(world.stored[&id(1)].phase, Phase::Running);
    assert_eq!(world.stored[&id(1)].tasks, newer.tasks);
}

#[test]
fn an_end_on_record_replaces_an_end_that_is_not_stored() {
    let mut world = world_with_a_running_job();
    world.scheduler.cancel(id(1), at(world.now_ms));
    let over = Progress {
        phase: Phase::Completed,
        finished_at_ms: 5,
        tasks: Vec::new(),
        ..Progress::default()
    };
    world.scheduler.merge_record(id(1), &over, at(world.now_ms));
    world.run_for(500);
    assert_eq!(world.stored.get(&id(1)), Some(&over));
    assert!(world.running().is_empty());
}

#[test]
fn an_unreadable_job_is_stopped_and_not_stored() {
    let mut world = world_with_a_running_job();
    let stored = world.stored.get(&id(1)).cloned();
    world.scheduler.mark_unreadable(id(1));
    world.run_for(500);
    assert!(world.running().is_empty());
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    assert_eq!(world.stored.get(&id(1)).cloned(), stored);
    assert_eq!(world.scheduler.phase(id(1)), None);
}

/// Returns the number of ends that the only worker repeats with each answer.
fn unacknowledged_ends(world: &World) -> usize {
    world.workers[&listing("w1").id].ended().len()
}

/// Returns the number of ends that wait to be set aside.
fn count_deferred_ends(scheduler: &mut Scheduler) -> usize {
    let ends = scheduler.take_deferred_ends(31);
    let number = ends.ends().count();
    scheduler.deferred_ends_failed(&ends);
    number
}

#[test]
fn ends_of_an_unreadable_job_are_repeated_until_they_are_stored() {
    let mut world = World::new(7, &["w1"]);
    world.fate = Fate::done(500);
    world.list();
    world.expect_all();
    world.round();
    world.scheduler.submit(id(1), job(vec![step(2)]), 8, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 2);
    // The ends are reported, but not stored.
    world.outage = true;
    world.run_for(1_000);
    world.scheduler.mark_unreadable(id(1));
    world.outage = false;
    // Storing changes of other jobs must not acknowledge these ends.
    world.scheduler.submit(id(2), job(vec![step(1)]), 9, None);
    world.run_for(1_500);
    assert_eq!(world.phases.get(&id(2)), Some(&"completed"));
    assert_eq!(count_deferred_ends(&mut world.scheduler), 2);
    assert!(unacknowledged_ends(&world) >= 2);
    let ends = world.scheduler.take_deferred_ends(31);
    world.scheduler.deferred_ends_stored(&ends, at(world.now_ms));
    world.run_for(200);
    assert_eq!(unacknowledged_ends(&world), 0);
    assert!(world.scheduler.take_deferred_ends(31).is_empty());
}

#[test]
fn a_deferred_end_counts_like_a_reported_end() {
    let mut world = world_with_a_running_job();
    world.scheduler.mark_unreadable(id(1));
    world.run_for(500);
    let stopped = world.scheduler.take_deferred_ends(31);
    assert_eq!(stopped.ends().count(), 2);
    // The next holder can read the job.
    world.take_over(9);
    world.scheduler.submit(id(1), job(vec![step(2)]), 8, None);
    for end in stopped.ends() {
        let mut done = end.clone();
        done.end.cause = EndCause::Done;
        world.scheduler.apply_deferred_end(&done, at(world.now_ms));
        world.scheduler.apply_deferred_end(&done, at(world.now_ms));
    }
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Completed));
}
