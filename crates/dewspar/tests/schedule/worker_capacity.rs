//! Changes of a worker's capacity at run time.
//!
//! Some workers enforce their capacity and refuse what doesn't fit. Others
//! start whatever they are ordered to, so that only the scheduler can keep
//! them within their capacity. It must not start tasks on such a worker by an
//! outdated report, nor beside runs whose resource usage is unknown.

use {
    crate::world::{POOL, ROOM, World, at, id, job, step},
    dewspar::{
        job::TaskId,
        schedule::{Incarnation, Resources, StartOrder, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

const HALF: Resources =
    Resources { cpu_millis: 2_000, memory_mb: 2_000, gpus: 0 };

fn world_of_one() -> World {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::done(2_000);
    world.list();
    world.expect_all();
    world.run_for(100);
    world
}

fn shrink_to(world: &mut World, room: Resources) {
    world.listings[0].capacity = room;
    world.list();
}

#[test]
fn starts_fit_the_newest_reported_capacity() {
    let mut world = world_of_one();
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 4);
    shrink_to(&mut world, HALF);
    world.scheduler.submit(id(2), job(vec![step(4)]), 7, None);
    world.run_for(1_000);
    assert_eq!(
        world.starts.len(),
        4,
        "the worker is over its capacity already"
    );
    world.run_for(1_500);
    assert_eq!(world.starts.len(), 6, "the first runs have ended");
    shrink_to(&mut world, ROOM);
    world.run_for(100);
    assert_eq!(world.starts.len(), 8);
}

#[test]
fn a_stopping_run_uses_its_room_until_its_end_is_reported() {
    let mut world = world_of_one();
    world.scheduler.enforce_capacity([POOL.to_owned()].into());
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(100);
    world.unreachable.push(WorkerId::new("w1"));
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.run_for(500);
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn unenforced_capacity_must_be_reported_recently() {
    for guarded in [true, false] {
        let mut world = world_of_one();
        if !guarded {
            world.scheduler.enforce_capacity([POOL.to_owned()].into());
        }
        // The directory can no longer be read.
        world.run_for(4_000);
        world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
        world.run_for(500);
        assert_eq!(world.starts.len(), usize::from(guarded));
        world.list();
        world.run_for(100);
        assert_eq!(world.starts.len(), 1);
    }
}

#[test]
fn nothing_starts_beside_a_run_of_unknown_size_on_unenforced_capacity() {
    for guarded in [true, false] {
        let mut world = World::new(5, &["w1"]);
        world.list();
        // A finished job of a former lease holder, of which nothing is known.
        let order = StartOrder {
            task: TaskId { job: id(9), round: 0, step: 0, index: 0 },
            run: 1,
            payload: "".into(),
            lease_until_ms: 9_000,
            fence: 1,
            checkpoint: String::new(),
            ticket: String::new(),
            process: Incarnation::UNKNOWN,
            is_for_process_only: false,
        };
        let worker = WorkerId::new("w1");
        let reached = world.reach(&worker).expect("a worker");
        reached
            .start(900, &order, ROOM, Fate::endless())
            .expect("room for it");
        if !guarded {
            world.scheduler.enforce_capacity([POOL.to_owned()].into());
        }
        world.expect_all();
        let now = at(world.now_ms);
        let actions = world.scheduler.plan(now);
        world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
        for action in actions {
            world.carry_out(action, now);
        }
        // The run is to be stopped, and its end isn't reported yet.
        let _ = world.scheduler.plan(now);
        let started = world.scheduler.window().in_flight() > 0;
        assert_eq!(started, guarded);
    }
}
