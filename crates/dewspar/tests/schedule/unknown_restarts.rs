//! A worker that restarts under its identifier while a former holder goes on
//! without its lease: the next process knows no token of the successor, which
//! has asked only the process before, and orders don't name a process. The
//! former holder isn't told, since idle workers aren't asked.

use {
    crate::world::{World, id, job, step},
    dewspar::{
        job::Repeat,
        schedule::{Options, Scheduler, WorkerId, WorkerListing},
    },
    dewspar_standin::task_worker::Fate,
};

/// When the former holder's last renewal was sent, in milliseconds.
const RENEWED_MS: u64 = 1_300;

/// When the lease has expired, in milliseconds.
const EXPIRED_MS: u64 = RENEWED_MS + 1_500;

/// How long the worker is away, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// Guards against two runs of a task: both holders have it waiting for its
/// due time, which comes after the worker's restart.
#[test]
fn a_former_holder_starts_nothing_on_a_process_that_it_does_not_know() {
    let mut world = World::new(5, &["w1", "w2"]);
    let (first, second) = (WorkerId::new("w1"), WorkerId::new("w2"));
    let drain = |world: &mut World, draining: bool| {
        let here = |l: &&mut WorkerListing| l.id == WorkerId::new("w2");
        let listing = world.listings.iter_mut().find(here).expect("listed");
        listing.draining = draining;
    };
    world.assign_incarnations();
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let taken_over_ms = EXPIRED_MS + 200;
    let due_ms = taken_over_ms + 500 + RESTART_MS + 50;
    let mut timed = job(vec![step(1)]);
    timed.spec.repeat = Some(Repeat {
        start_at_ms: 1_700_000_000_000 + due_ms,
        interval_ms: 60_000,
        count: 1,
    });
    world.scheduler.submit(id(1), timed.clone(), 6, None);
    world.run_for(RENEWED_MS - world.now_ms);
    world.scheduler.lease_renewed(world.now_ms);
    world.outage = true;
    world.unreachable = vec![first.clone()];
    world.run_for(EXPIRED_MS - world.now_ms);
    world.scheduler.set_detached(true);
    world.run_for(taken_over_ms - world.now_ms);
    assert!(world.starts.is_empty());

    // The successor asks both workers; then the second one, which drains as
    // only the successor has read, restarts.
    let successor = Scheduler::new(8, Options::default());
    let mut former = std::mem::replace(&mut world.scheduler, successor);
    world.outage = false;
    world.unreachable.clear();
    drain(&mut world, true);
    world.list();
    drain(&mut world, false);
    world.expect_all();
    world.scheduler.submit(id(1), timed, 6, None);
    let both = |world: &mut World, former: &mut Scheduler, ms: u64| {
        let end_ms = world.now_ms + ms;
        while world.now_ms < end_ms {
            world.now_ms += 50;
            world.round();
            let unreachable = std::mem::replace(
                &mut world.unreachable,
                vec![WorkerId::new("w1")],
            );
            world.outage = true;
            std::mem::swap(&mut world.scheduler, former);
            // The worker is away for both of them.
            if unreachable.contains(&WorkerId::new("w2"))
                && world.now_ms < due_ms - 50
            {
                world.unreachable.push(WorkerId::new("w2"));
            }
            world.round();
            std::mem::swap(&mut world.scheduler, former);
            world.outage = false;
            world.unreachable = unreachable;
        }
    };
    both(&mut world, &mut former, 500);
    world.unreachable = vec![second.clone()];
    both(&mut world, &mut former, RESTART_MS);
    world.restart_worker(&second);
    // The successor doesn't reach the next process at first.
    both(&mut world, &mut former, 500);
    let running = world.running();
    assert!(running.len() <= 1, "{running:?}: {:?}", world.starts);
}
