//! Jobs whose tasks crash many workers at once, where the loss of a data hall
//! must be tolerated.

use {
    crate::world::{World, at, id, job, managed, step},
    dewspar::{
        job::{StepSpec, TaskId},
        schedule::{Decision, ManagedVm, Options, Scheduler, VmStatus},
    },
    dewspar_standin::task_worker::Fate,
};

/// How often the list of VMs is read, in rounds of 50 ms.
const ROUNDS_PER_LIST: usize = 6;

/// For how many rounds of 50 ms a job runs: a minute.
const ROUNDS: usize = 1_200;

fn world(workers_per_hall: usize) -> World {
    let names: Vec<String> =
        (0..3 * workers_per_hall).map(|n| format!("w{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(5, &names);
    world.scheduler = Scheduler::new(5, Options::default().tolerated_halls(1));
    for (number, listing) in world.listings.iter_mut().enumerate() {
        listing.hall = format!("hall-{}", number % 3);
    }
    world.list();
    world.expect_all();
    world.run_for(200);
    world
}

/// Lists the VMs to the scheduler; those of crashed workers are down.
fn list_vms(world: &mut World) {
    let vms: Vec<ManagedVm> = world
        .listings
        .iter()
        .map(|listing| {
            let up = managed(listing);
            if world.workers.contains_key(&listing.id) {
                return up;
            }
            ManagedVm { status: VmStatus::Down, worker: None, ..up }
        })
        .collect();
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, now.steady_ms, &vms);
}

/// Returns how many workers crashed until a job was given up, each of whose
/// tasks fills a worker and crashes it; `None` if it wasn't given up.
fn crashes_until_given_up(workers: usize, tasks: u32) -> Option<u32> {
    let mut world = world(workers);
    world.fate = Fate::done(400);
    let task = |index| TaskId { job: id(3), round: 0, step: 0, index };
    world.crashing.extend((0..tasks).map(task));
    let spec = StepSpec { cpu_millis: 4_000, ..step(tasks) };
    world.scheduler.submit(id(3), job(vec![spec]), 7, None);
    for round in 0..ROUNDS {
        world.run_for(50);
        if round % ROUNDS_PER_LIST == 0 {
            list_vms(&mut world);
        }
        if round % ROUNDS_PER_LIST == 3 {
            world.list();
        }
        let decisions = world.scheduler.take_decisions();
        let is_given_up =
            |decision: &Decision| matches!(decision, Decision::GivenUp { .. });
        if decisions.iter().any(is_given_up) {
            return Some(world.crashes);
        }
    }
    None
}

/// Guards against a job that takes down one hall after the other: the workers
/// that it crashes look like a hall that is lost, and such a loss isn't counted
/// against tasks.
#[test]
fn a_job_that_crashes_its_workers_in_one_hall_after_another_is_given_up() {
    for (workers, tasks) in [(4, 4), (4, 12), (10, 8), (20, 16)] {
        let crashes = crashes_until_given_up(workers, tasks);
        // Four for each task, and one more that was forgiven.
        let most = 5 * tasks;
        assert!(
            crashes.is_some_and(|crashes| crashes <= most),
            "{workers} workers, {tasks} tasks: {crashes:?}"
        );
    }
}
