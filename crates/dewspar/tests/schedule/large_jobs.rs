//! Jobs of many steps, and of steps with many dependencies.

use {
    crate::world::{ROOM, World, at, id, job, managed, step},
    dewspar::{
        job::{Repeat, StepSpec, TaskId},
        schedule::{AcceptedJob, Resources},
    },
    std::collections::BTreeSet,
};

/// Room for some thousands of tasks.
const LARGE_ROOM: Resources =
    Resources { cpu_millis: 5_000_000, memory_mb: 900_000, gpus: 0 };

/// A world with one worker.
fn world_with_room(room: Resources) -> World {
    let mut world = World::with_room(5, &["w1"], room);
    world.list();
    world.expect_all();
    world
}

/// Steps of one task, each of which names all earlier ones.
fn steps_after_all_earlier(count: usize) -> Vec<StepSpec> {
    let step = |number| StepSpec { after: (0..number).collect(), ..step(1) };
    (0..count).map(step).collect()
}

// Guards against a holder that walks every path through the steps of a job:
// there are 2^62 through these, so that it would never answer again.
#[test]
fn a_job_of_many_paths_is_done_in_order() {
    let mut world = world_with_room(ROOM);
    let spec = job(steps_after_all_earlier(64));
    world.scheduler.submit(id(1), spec, 6, None);
    world.scheduler.submit(id(2), job(vec![step(1)]), 6, None);
    world.run_for(60_000);
    for number in [1, 2] {
        let phase = world.phases.get(&id(number));
        assert_eq!(phase, Some(&"completed"), "job {number}");
    }
    let first = world.starts.iter().filter(|(_, o)| o.task.job == id(1));
    let steps: Vec<u32> = first.map(|(_, order)| order.task.step).collect();
    assert_eq!(steps, Vec::from_iter(0..64));
}

// Guards against a record that stops each next holder: the job is stored, and
// every holder that takes over loads it.
#[test]
fn a_stored_job_of_many_paths_is_taken_over() {
    let mut world = world_with_room(ROOM);
    let spec = job(steps_after_all_earlier(64));
    world.scheduler.submit(id(1), spec.clone(), 6, None);
    world.run_for(5_000);
    let progress = world.stored.get(&id(1)).cloned();
    assert!(progress.is_some(), "some tasks are done");
    world.take_over(9);
    world.scheduler.submit(id(1), spec, 6, progress.as_ref());
    world.list();
    world.expect_all();
    world.run_for(60_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

// Guards against going through all steps of a job for each of its steps
// whenever a holder looks at how much work waits: a hundred million each time
// here.
#[test]
fn a_holder_keeps_up_while_ten_thousand_steps_wait() {
    let mut world = world_with_room_for_twenty();
    let vm = managed(&world.listings[0]);
    world.scheduler.submit(id(1), job(vec![step(1); 10_000]), 6, None);
    for _ in 0..400 {
        let now = at(world.now_ms);
        world.scheduler.list_vms(
            now,
            now.steady_ms,
            std::slice::from_ref(&vm),
        );
        world.scheduler.plan_vms(now);
        world.run_for(50);
    }
    // Twenty at once, for half a second each.
    let started = world.starts.len();
    assert!(started > 600, "{started} tasks were started in 20 s");
}

/// Ten layers of ten steps, each of which names all steps of the layer before.
fn layered() -> AcceptedJob {
    let step = |number: usize| {
        let layer = number / 10;
        let after = (0..number).filter(|other| other / 10 + 1 == layer);
        StepSpec { after: after.collect(), ..step(1) }
    };
    job((0..100).map(step).collect())
}

/// Checks that all starts of a layered job came after the layer before.
fn assert_layers_in_order(world: &World) {
    let mut started: BTreeSet<TaskId> = BTreeSet::new();
    for (_, order) in &world.starts {
        let layer = order.task.step / 10;
        let before = |task: &&TaskId| task.step / 10 < layer;
        let done = started.iter().filter(before).count();
        assert_eq!(done, layer as usize * 10, "{} starts", order.task);
        started.insert(order.task);
    }
    assert_eq!(started.len(), 100);
    assert_eq!(world.starts.len(), 100, "each once");
}

fn world_with_room_for_twenty() -> World {
    world_with_room(Resources {
        cpu_millis: 20_000,
        memory_mb: 9_000,
        gpus: 0,
    })
}

// Guards against counts of unfinished steps that differ from what is done.
#[test]
fn the_steps_of_a_layered_job_start_in_order() {
    let mut world = world_with_room_for_twenty();
    world.scheduler.submit(id(1), layered(), 6, None);
    world.run_for(15_000);
    assert_layers_in_order(&world);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

// The same for counts that a new holder derives from the stored progress.
#[test]
fn the_steps_of_a_layered_job_start_in_order_after_takeovers() {
    let mut world = world_with_room_for_twenty();
    world.scheduler.submit(id(1), layered(), 6, None);
    for revision in 7..20 {
        world.run_for(700);
        if world.phases.get(&id(1)) == Some(&"completed") {
            break;
        }
        let progress = world.stored.get(&id(1)).cloned();
        world.take_over(revision);
        world.scheduler.submit(id(1), layered(), 6, progress.as_ref());
        world.list();
        world.expect_all();
    }
    assert_layers_in_order(&world);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

// Guards against going through all dependencies of all rounds whenever a
// holder looks for tasks to start: fifteen thousand million each time here.
#[test]
fn a_repeated_job_whose_step_names_another_very_often_is_done() {
    const ROUNDS: u32 = 5_000;
    const NAMES: usize = 3_000_000;
    let mut world = world_with_room(LARGE_ROOM);
    let small = StepSpec { memory_mb: 0, ..step(1) };
    let second = StepSpec { after: vec![0; NAMES], ..small.clone() };
    let mut repeated = job(vec![small, second]);
    repeated.spec.repeat =
        Some(Repeat { start_at_ms: 0, interval_ms: 0, count: ROUNDS });
    world.scheduler.submit(id(1), repeated, 6, None);
    world.run_for(20_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
    assert_eq!(world.starts.len(), 2 * ROUNDS as usize);
}
