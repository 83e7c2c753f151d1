//! A holder that can't reach the store and may have a successor.

use {
    crate::world::{World, id, job, step},
    dewspar::{
        job::StepSpec,
        schedule::{Options, Scheduler, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

/// Returns a world with a worker in each of two halls, where a long-running
/// task runs in the first.
fn world(tolerated_halls: usize) -> (World, WorkerId) {
    let mut world = World::new(5, &["w1", "w2"]);
    let options = Options::default().tolerated_halls(tolerated_halls);
    world.scheduler = Scheduler::new(5, options);
    for (number, listing) in world.listings.iter_mut().enumerate() {
        listing.hall = format!("hall-{number}");
    }
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let spec = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![spec]), 6, None);
    world.run_for(300);
    let (worker, _) = world.starts[0].clone();
    (world, worker)
}

/// Guards against two runs of a task: a holder that is cut off with its hall
/// reaches workers there, while its successor renews the leases elsewhere.
#[test]
fn a_lease_that_a_successor_may_have_renewed_is_not_over() {
    let (mut world, worker) = world(1);
    world.scheduler.lease_renewed(world.now_ms);
    world.unreachable.push(worker);
    world.run_for(12_000);
    assert_eq!(world.starts.len(), 1, "another holder may have renewed it");
    // The store says that there was no other holder.
    world.scheduler.lease_renewed(world.now_ms);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
}

/// Guards against tasks that wait although the holder was confirmed in time.
#[test]
fn a_lease_is_over_while_the_holder_keeps_its_own() {
    let (mut world, worker) = world(1);
    world.unreachable.push(worker);
    for _ in 0..48 {
        world.scheduler.lease_renewed(world.now_ms);
        world.run_for(250);
    }
    assert_eq!(world.starts.len(), 2, "its lease is over");
}

/// Guards against two runs of a task that a former holder has started: a holder
/// loses the store before it has reached the worker, and its successor reaches
/// that worker and renews its lease.
#[test]
fn an_inherited_lease_that_a_successor_may_have_renewed_is_not_over() {
    for tolerated_halls in [0, 1] {
        let (mut world, worker) = world(tolerated_halls);
        world.unreachable.push(worker);
        let progress = world.stored.get(&id(1)).cloned();
        world.take_over(8);
        world.list();
        world.expect_all();
        let spec = StepSpec { long_running: true, ..step(1) };
        let scheduler = &mut world.scheduler;
        scheduler.submit(id(1), job(vec![spec]), 6, progress.as_ref());
        // The longest inherited lease ends 16.2 s after the takeover.
        for _ in 0..10 {
            world.scheduler.lease_renewed(world.now_ms);
            world.run_for(1_000);
        }
        world.run_for(8_000);
        assert_eq!(
            world.starts.len(),
            1,
            "another holder may have renewed it"
        );
        // The store says that there was no other holder.
        world.scheduler.lease_renewed(world.now_ms);
        world.run_for(500);
        assert_eq!(world.starts.len(), 2);
    }
}
