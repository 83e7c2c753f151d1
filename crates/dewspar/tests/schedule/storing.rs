//! The order in which changes of jobs are stored.
//!
//! These tests guard against starvation. At a queue's peak of 4,500 ends a
//! second, the store took the changes of some 700 jobs a second, and jobs
//! changed again as soon as they were stored. When changes were taken in the
//! order of the jobs' identifiers, those of the last jobs were stored seconds
//! later. Workers keep ends until they are stored, so 59 VMs that had been
//! emptied for maintenance stood idle for up to 6 s.

use {
    crate::world::{World, at, id, job, step},
    dewspar::{
        job::{JobId, Progress},
        schedule::Changes,
    },
};

fn world_with_jobs(jobs: u64) -> World {
    let mut world = World::new(5, &["w1"]);
    for number in 1..=jobs {
        world.scheduler.submit(id(number), job(vec![step(1)]), 6, None);
    }
    world
}

fn change(world: &mut World, number: u64) {
    let now = at(world.now_ms);
    world.scheduler.merge_record(id(number), &Progress::default(), now);
}

fn jobs_of(changes: &Changes) -> Vec<JobId> {
    changes.progress.iter().map(|(job, _)| *job).collect()
}

#[test]
fn a_job_is_stored_though_others_change_all_the_time() {
    let mut world = world_with_jobs(4);
    change(&mut world, 4);
    let mut stored = Vec::new();
    for _ in 0..4 {
        for busy in 1..=3 {
            change(&mut world, busy);
        }
        let changes = world.scheduler.take_changes(1);
        world.scheduler.changes_stored(&changes, at(world.now_ms));
        stored.extend(jobs_of(&changes));
    }
    assert_eq!(stored, [id(4), id(1), id(2), id(3)]);
}

#[test]
fn a_job_that_could_not_be_stored_keeps_its_position() {
    let mut world = world_with_jobs(2);
    change(&mut world, 2);
    change(&mut world, 1);
    let first = world.scheduler.take_changes(1);
    // The job changes again while it is being stored.
    change(&mut world, 2);
    world.scheduler.changes_failed(&first);
    let again = world.scheduler.take_changes(1);
    assert_eq!(jobs_of(&again), jobs_of(&first));
    assert_eq!(jobs_of(&again), [id(2)]);
}
