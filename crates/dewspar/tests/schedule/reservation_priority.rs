//! Reservations and priorities.
//!
//! If reservations ignore priorities, a low-priority task that waits for one
//! long run to end keeps the rest of that worker idle for as long, although
//! tasks of a queue with a higher priority are waiting for it.

use {
    crate::{
        task_moves::long_running,
        world::{ROOM, RunKind, World, id, job, step},
    },
    dewspar::{job::StepSpec, schedule::Resources},
    dewspar_standin::task_worker::Fate,
};

/// How long capacity may be idle for a low-priority task, with a small margin,
/// in milliseconds.
const MAX_IDLE_MS: u64 = 7_000;

fn submit(
    world: &mut World,
    number: u64,
    spec: StepSpec,
    fate: Fate,
    priority: u32,
) {
    let cpu_millis = spec.cpu_millis;
    let demand = Resources { cpu_millis, ..Resources::default() };
    world.kinds.insert(id(number), RunKind { demand, fate });
    let mut job = job(vec![spec]);
    job.terms.priority = priority;
    world.scheduler.submit(id(number), job, number, None);
}

/// Lets a task of the given priority that takes a whole worker wait beside a
/// run of one minute and a load of small tasks of priority 1. Returns the
/// longest time for which most of the worker was idle within 30 s, in
/// milliseconds.
fn longest_idle_ms(priority: u32) -> u64 {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    submit(&mut world, 10, step(1), Fate::done(60_000), 1);
    world.run_for(100);
    let whole = StepSpec { cpu_millis: ROOM.cpu_millis, ..long_running() };
    submit(&mut world, 11, whole, Fate::endless(), priority);
    let (mut idle_since_ms, mut longest_ms) = (world.now_ms, 0);
    for number in 100..100 + 30_000 / 50 {
        submit(&mut world, number, step(1), Fate::done(500), 1);
        world.run_for(50);
        let mut workers = world.workers.values();
        if workers.all(|worker| worker.used().cpu_millis > 1_000) {
            idle_since_ms = world.now_ms;
        }
        longest_ms = longest_ms.max(world.now_ms - idle_since_ms);
    }
    longest_ms
}

#[test]
fn room_reserved_for_a_low_priority_task_is_not_idle_for_long() {
    let idle_ms = longest_idle_ms(9);
    assert!(idle_ms <= MAX_IDLE_MS, "capacity was idle for {idle_ms} ms");
}

#[test]
fn room_stays_reserved_for_a_task_of_equal_priority() {
    let idle_ms = longest_idle_ms(1);
    assert!(
        idle_ms > 2 * MAX_IDLE_MS,
        "the reservation was released after {idle_ms} ms"
    );
}
