//! Where else something that works may be taken down before its replacement is
//! sure.
//!
//! A new holder moved a task that lasts while one worker of its pool hadn't
//! answered yet. What a former holder had accepted starts nowhere until then,
//! since that worker may have it already; but the task's run was stopped as
//! soon as there was room elsewhere. It was without work for 13.3 s, until the
//! silent worker's lease was over.

use {
    crate::{
        moving::{STOP_MS, look},
        review::{large, starts_of, submit_lasting, world_of},
        waves::request_wave_of,
        world::{World, id, job},
    },
    dewspar::schedule::WorkerId,
};

/// How long a task that was moved may be without work, in milliseconds: its
/// stop, and a plan or two.
const MOVE_MS: u64 = STOP_MS + 100;

/// A task that lasts on one of four workers, and a new holder, to which
/// another worker doesn't answer. Returns the task's worker.
fn world_with_silent_worker() -> (World, WorkerId) {
    let mut world = world_of(&["w1", "w2", "w3", "w4"]);
    submit_lasting(&mut world, 1, job(vec![large()]));
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    let silent = if from == WorkerId::new("w1") { "w2" } else { "w1" };
    world.cut.push(WorkerId::new(silent));
    world.take_over(9);
    world.list();
    world.expect_all();
    let stored = world.stored.get(&id(1)).cloned();
    let same = job(vec![large()]);
    world.scheduler.submit(id(1), same, 6, stored.as_ref());
    world.stops_take_ms = STOP_MS;
    (world, from)
}

/// Goes on for so long; returns how long the task was without work in all,
/// in milliseconds.
fn missing_within(world: &mut World, ms: u64) -> u64 {
    let first = format!("{}.0.0.0", id(1));
    let rounds = (0..ms / 50).filter(|_| {
        look(world);
        !world.running().contains(&first)
    });
    rounds.count() as u64 * 50
}

#[test]
fn a_task_leaves_no_vm_of_a_wave_while_it_may_start_nowhere() {
    let (mut world, from) = world_with_silent_worker();
    request_wave_of(&mut world, &[&format!("vm-of-{from}")]);
    let missing_ms = missing_within(&mut world, 20_000);
    assert!(missing_ms <= MOVE_MS, "it was without work for {missing_ms} ms");
    assert_eq!(starts_of(&world, id(1)), 2, "it has moved in the end");
}

#[test]
fn a_task_leaves_no_worker_that_ends_while_it_may_start_nowhere() {
    let (mut world, from) = world_with_silent_worker();
    for listing in &mut world.listings {
        if listing.id == from {
            listing.draining = true;
            listing.remaining_ms = Some(30_000);
        }
    }
    world.list();
    let missing_ms = missing_within(&mut world, 20_000);
    assert!(missing_ms <= MOVE_MS, "it was without work for {missing_ms} ms");
    assert_eq!(starts_of(&world, id(1)), 2, "it has moved in the end");
}
