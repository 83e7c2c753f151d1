//! Live workers whose directory entries are missing at a takeover, so that only
//! the list of VMs shows them.

use {
    crate::world::{World, at, id, job, listing, managed, step},
    dewspar::schedule::{ManagedVm, WorkerId},
    dewspar_standin::task_worker::Fate,
};

/// How long a task may be without a run once the list of VMs shows that its
/// worker has ended, in milliseconds.
const RERUN_WITHIN_MS: u64 = 1_000;

fn list_vms(world: &mut World, vms: &[ManagedVm]) {
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, world.now_ms, vms);
}

// Guards against a task that waits for a lease although the list of VMs shows
// that its worker has ended.
#[test]
fn a_worker_without_an_entry_ends_with_the_list_of_vms() {
    let mut world = World::new(5, &["lapsed"]);
    world.fate = Fate::endless();
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 1);
    let stored = world.stored.get(&id(1)).cloned();
    world.take_over(9);
    let worker = WorkerId::new("lapsed");
    let lapsed = managed(&listing("lapsed"));
    world.listings = vec![listing("other")];
    let capacity = world.listings[0].capacity;
    let other = dewspar_standin::task_worker::TaskWorker::new(capacity);
    world.workers.insert(WorkerId::new("other"), other);
    let others = [managed(&listing("other"))];
    list_vms(&mut world, &[lapsed, others[0].clone()]);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, stored.as_ref());
    world.run_for(200);
    world.workers.remove(&worker);
    list_vms(&mut world, &others);
    let ended_ms = world.now_ms;
    while world.running().is_empty() {
        world.run_for(100);
        world.list();
        list_vms(&mut world, &others);
    }
    let waited_ms = world.now_ms - ended_ms;
    assert!(waited_ms <= RERUN_WITHIN_MS, "{waited_ms} ms");
}
