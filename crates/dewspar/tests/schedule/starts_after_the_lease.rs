//! Starts of a holder whose lease has expired and which can't reach the store:
//! another node may hold the lease.

use {
    crate::world::{ROOM, World, at, id, job, listing, step},
    dewspar::{
        job::StepSpec,
        schedule::{ManagedVm, VmStatus, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

/// The time from the last renewal until the lease counts as expired, in
/// milliseconds.
const LEASE_MS: u64 = 1_500;

/// What shows a holder that a worker is gone.
#[derive(Clone, Copy, Debug)]
enum Source {
    VmList,
    Address,
    NextProcess,
}

const SOURCES: [Source; 3] =
    [Source::VmList, Source::Address, Source::NextProcess];

/// Returns a world in which a task runs on the worker that is returned.
fn world() -> (World, WorkerId) {
    let mut world = World::new(5, &["w1", "w2"]);
    world.assign_incarnations();
    world.list();
    world.list_vms();
    world.expect_all();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    world.scheduler.lease_renewed(world.now_ms);
    let (worker, _) = world.starts[0].clone();
    (world, worker)
}

/// Lets the lease expire.
fn expire_lease(world: &mut World) {
    world.outage = true;
    world.run_for(LEASE_MS);
    world.scheduler.set_detached(true);
    world.run_for(100);
}

/// Lets the store answer again: there was no other holder.
fn renew_lease(world: &mut World) {
    world.outage = false;
    world.scheduler.set_detached(false);
    world.scheduler.lease_renewed(world.now_ms);
}

/// Ends a worker, which the source shows.
fn end_worker(world: &mut World, worker: &WorkerId, source: Source) {
    match source {
        Source::VmList => {
            world.workers.remove(worker);
            world.listings.retain(|listing| listing.id != *worker);
            world.list_vms();
        }
        Source::Address => {
            let next = listing("w3");
            world.replace_worker(worker, next);
        }
        Source::NextProcess => {
            world.restart_worker(worker);
            world.list();
        }
    }
    world.run_for(4_000);
}

/// Guards against two runs of a task: a successor has asked a worker and
/// started the task elsewhere, and the worker's next process doesn't know that
/// successor's token.
#[test]
fn nothing_starts_on_a_process_that_became_known_after_the_lease() {
    let mut world = World::new(5, &["w1"]);
    world.assign_incarnations();
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let full = StepSpec { cpu_millis: ROOM.cpu_millis, ..step(1) };
    world.scheduler.submit(id(1), job(vec![full]), 6, None);
    world.run_for(300);
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.scheduler.lease_renewed(world.now_ms);
    expire_lease(&mut world);
    world.restart_worker(&WorkerId::new("w1"));
    world.list();
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1);
    renew_lease(&mut world);
    world.run_for(500);
    assert!(world.starts.len() > 1);
}

/// Guards against two runs of a task: another holder has acknowledged the end
/// of the first one as done, and then its worker is moved or restarts.
#[test]
fn a_task_does_not_run_again_when_its_worker_ends_after_the_lease() {
    for source in SOURCES {
        let (mut world, worker) = world();
        expire_lease(&mut world);
        end_worker(&mut world, &worker, source);
        assert_eq!(world.starts.len(), 1, "{source:?}");
        renew_lease(&mut world);
        world.run_for(500);
        assert_eq!(world.starts.len(), 2, "{source:?}: no other holder");
    }
}

/// Guards against tasks that wait although no other node can hold the lease.
#[test]
fn a_task_runs_again_when_its_worker_ends_under_a_valid_lease() {
    for source in SOURCES {
        let (mut world, worker) = world();
        world.outage = true;
        world.run_for(LEASE_MS - 100);
        end_worker(&mut world, &worker, source);
        assert_eq!(world.starts.len(), 2, "{source:?}");
    }
}

/// Guards against jobs of all callers that stand still in an outage of the
/// store.
#[test]
fn waiting_tasks_of_known_jobs_start_after_the_lease() {
    let (mut world, _) = world();
    world.fate = Fate::done(500);
    let second = StepSpec { after: vec![0], ..step(1) };
    world.scheduler.submit(id(2), job(vec![step(1), second]), 7, None);
    world.run_for(100);
    expire_lease(&mut world);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 3);
}

/// Guards against two runs of a task that a worker has taken which isn't in
/// the directory as another holder has read it: that holder doesn't wait for
/// the worker before it starts the task elsewhere.
#[test]
fn nothing_starts_on_a_worker_that_became_known_after_the_lease() {
    let mut world = World::new(5, &[]);
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.scheduler.lease_renewed(world.now_ms);
    expire_lease(&mut world);
    world.add_worker(listing("w1"));
    world.list();
    world.run_for(1_000);
    assert!(world.starts.is_empty());
    renew_lease(&mut world);
    world.run_for(500);
    assert_eq!(world.starts.len(), 1);
}

/// Guards against two runs of a task whose job another holder has started: it
/// was accepted when that one held the lease already.
#[test]
fn a_job_that_was_accepted_after_the_lease_does_not_start() {
    let (mut world, _) = world();
    expire_lease(&mut world);
    world.scheduler.submit(id(2), job(vec![step(1)]), 9, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1);
    renew_lease(&mut world);
    world.run_for(500);
    assert_eq!(world.starts.len(), 2);
}

/// How a worker that never answered this holder ends.
#[derive(Clone, Copy, Debug)]
enum UnheardEnd {
    Moved,
    Restarted,
}

/// Guards against two runs of a task that a former holder has started: only a
/// successor has heard how the run ended, on a worker that is gone by now.
#[test]
fn an_inherited_task_does_not_start_when_its_silent_worker_ends_after_the_lease()
 {
    for end in [UnheardEnd::Moved, UnheardEnd::Restarted] {
        let (mut world, worker) = world();
        world.unreachable.push(worker.clone());
        let progress = world.stored.get(&id(1)).cloned();
        world.take_over(8);
        world.list();
        world.list_vms();
        world.expect_all();
        let inherited = job(vec![step(1)]);
        world.scheduler.submit(id(1), inherited, 6, progress.as_ref());
        world.scheduler.lease_renewed(world.now_ms);
        expire_lease(&mut world);
        match end {
            UnheardEnd::Moved => {
                world.workers.remove(&worker);
                world.listings.retain(|listing| listing.id != worker);
                let mut vms = world.managed_vms();
                let vm = format!("vm-of-{worker}");
                let moving = ManagedVm {
                    status: VmStatus::Moving,
                    worker: None,
                    vm,
                    ..vms[0].clone()
                };
                vms.push(moving);
                let now_ms = world.now_ms;
                world.scheduler.list_vms(at(now_ms), now_ms, &vms);
            }
            UnheardEnd::Restarted => {
                world.unreachable.clear();
                world.restart_worker(&worker);
                world.list();
            }
        }
        world.run_for(2_000);
        assert_eq!(world.starts.len(), 1, "{end:?}");
        renew_lease(&mut world);
        world.run_for(3_000);
        assert_eq!(world.starts.len(), 2, "{end:?}: no other holder");
    }
}
