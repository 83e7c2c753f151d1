//! Jobs of many steps, and of steps with many dependencies.

use {
    crate::world::{World, at, id, job, managed, step},
    dewspar::{job::StepSpec, schedule::Resources},
};

/// Steps of one task, each of which names all earlier ones.
fn steps_after_all_earlier(count: usize) -> Vec<StepSpec> {
    let step = |number| StepSpec { after: (0..number).collect(), ..step(1) };
    (0..count).map(step).collect()
}

// Guards against a holder that walks every path through the steps of a job:
// there are 2^62 through these, so that it would never answer again.
#[test]
fn a_job_of_many_paths_is_done_in_order() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
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
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
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

fn world_with_room_for_twenty() -> World {
    let room = Resources { cpu_millis: 20_000, memory_mb: 9_000, gpus: 0 };
    let mut world = World::with_room(5, &["w1"], room);
    world.list();
    world.expect_all();
    world
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
