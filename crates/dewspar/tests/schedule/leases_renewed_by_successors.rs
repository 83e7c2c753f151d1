//! Holders that can't reach the store, and whose successors renew the leases of
//! workers that they can't reach themselves.

use {
    crate::world::{World, id, job, step},
    dewspar::schedule::{AcceptedJob, Scheduler, WorkerId},
    dewspar_standin::task_worker::Fate,
    std::mem,
};

/// The time between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 50;

/// How long a worker is silent before the store is out of reach as well, in
/// milliseconds.
const SILENT_BEFORE_MS: u64 = 3_000;

/// The duration of a scheduler lease, in milliseconds.
const LEASE_MS: u64 = 1_500;

/// How long a holder goes on after its lease may have ended, in milliseconds.
const DETACHED_MS: u64 = 8_000;

/// A holder that has a successor and reaches neither the store nor the workers
/// that the successor reaches.
struct CutOffHolder {
    scheduler: Scheduler,
    unreachable: Vec<WorkerId>,
}

impl CutOffHolder {
    /// Lets this holder plan without the store, in place of its successor.
    fn round(&mut self, world: &mut World) {
        self.swap(world);
        world.outage = true;
        world.round();
        world.outage = false;
        self.swap(world);
    }

    fn swap(&mut self, world: &mut World) {
        mem::swap(&mut self.scheduler, &mut world.scheduler);
        mem::swap(&mut self.unreachable, &mut world.unreachable);
    }
}

fn endless_job() -> AcceptedJob {
    job(vec![step(1)])
}

/// Guards against two runs of a task: a holder that is cut off from the store
/// counts the lease of a worker as over that its successor has renewed.
#[test]
fn a_holder_without_the_store_starts_no_task_that_its_successor_keeps() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), endless_job(), 6, None);
    world.run_for(300);
    let (worker, _) = world.starts[0].clone();
    let mut others = world.workers.keys().filter(|id| **id != worker);
    // OK because there are two workers.
    let other = others.next().expect("another worker").clone();

    world.unreachable.push(worker);
    for _ in 0..SILENT_BEFORE_MS / PLAN_INTERVAL_MS {
        world.scheduler.lease_renewed(world.now_ms);
        world.run_for(PLAN_INTERVAL_MS);
    }
    let renewed_ms = world.now_ms;

    let next = Scheduler::new(7, Default::default());
    let mut former = CutOffHolder {
        scheduler: mem::replace(&mut world.scheduler, next),
        unreachable: mem::replace(&mut world.unreachable, vec![other]),
    };
    while world.now_ms < renewed_ms + LEASE_MS {
        world.now_ms += PLAN_INTERVAL_MS;
        former.round(&mut world);
    }
    world.take_over(7);
    world.list();
    world.expect_all();
    let progress = world.stored.get(&id(1)).cloned();
    let scheduler = &mut world.scheduler;
    scheduler.submit(id(1), endless_job(), 6, progress.as_ref());
    while world.now_ms < renewed_ms + LEASE_MS + DETACHED_MS {
        world.run_for(PLAN_INTERVAL_MS);
        world.scheduler.lease_renewed(world.now_ms);
        former.round(&mut world);
        let after_ms = world.now_ms - renewed_ms;
        assert_eq!(world.running().len(), 1, "runs after {after_ms} ms");
    }
}
