//! Directory entries that outlive their workers.
//!
//! An entry stands until it expires, or longer if a write takes effect late.
//! The entry of a live worker expires while it can't reach the store. So the
//! directory may list a VM's former worker and not its present one.

use {
    crate::world::{World, at, id, job, listing, managed, step},
    dewspar::schedule::{Decision, ManagedVm, WorkerId, WorkerListing},
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeMap,
};

/// How long a task may be without a run once the list of VMs shows that its
/// worker has ended, in milliseconds.
const RERUN_WITHIN_MS: u64 = 500;

/// The longest time for which a silent worker may still run something, in
/// milliseconds: the longest lease on a slow clock, and a margin.
const LEASE_OVER_MS: u64 = 17_000;

const PRESENT: &str = "present";
const OTHER_VM: &str = "elsewhere";

/// A former or next worker on the VM of the present one, in another pool.
fn other_on_its_vm(name: &str) -> WorkerListing {
    let vm = listing(PRESENT).vm;
    WorkerListing { vm, pool: "other".to_owned(), ..listing(name) }
}

fn present() -> WorkerId {
    WorkerId::new(PRESENT)
}

/// Returns a world in which a task runs on the present worker, under a new
/// holder that has read the directory and the list of VMs once.
fn taken_over() -> World {
    let mut world = World::new(5, &[PRESENT]);
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 1);
    world.add_worker(listing(OTHER_VM));
    let stored = world.stored.get(&id(1)).cloned();
    world.take_over(9);
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, stored.as_ref());
    world.run_for(200);
    world
}

/// Lets the directory list another worker instead of the present one.
fn list_instead(world: &mut World, other: WorkerListing) {
    world.listings.retain(|listing| listing.id != present());
    world.listings.push(other);
    world.list();
}

fn vm_with(worker: &str) -> ManagedVm {
    managed(&other_on_its_vm(worker))
}

fn assert_none_twice(world: &mut World) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for task in world.running() {
        *runs.entry(task).or_default() += 1;
    }
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

fn gone(world: &mut World) -> Vec<String> {
    let decisions = world.scheduler.take_decisions().into_iter();
    let gone = decisions.filter_map(|decision| match decision {
        Decision::WorkerGone { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    gone.collect()
}

// Guards against two runs of one task because its worker counted as replaced
// by the VM's former one.
#[test]
fn a_task_is_not_started_again_beside_its_vms_former_worker() {
    let mut world = taken_over();
    let vms = world.managed_vms();
    list_instead(&mut world, other_on_its_vm("former"));
    for _ in 0..200 {
        world.run_for(50);
        assert_none_twice(&mut world);
        world.list();
        // The VM service shows the present worker all along.
        let now = at(world.now_ms);
        world.scheduler.list_vms(now, world.now_ms, &vms);
    }
    assert!(!gone(&mut world).contains(&PRESENT.to_owned()));
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}

// The same while the VM service can't be reached.
#[test]
fn a_task_is_not_started_again_while_the_vm_service_is_down() {
    let mut world = taken_over();
    list_instead(&mut world, other_on_its_vm("former"));
    for _ in 0..600 {
        world.run_for(50);
        assert_none_twice(&mut world);
        world.list();
    }
    assert!(!gone(&mut world).contains(&PRESENT.to_owned()));
    assert_eq!(world.starts.len(), 1, "{:?}", world.starts);
}

// Guards against waiting for a lease although the list of VMs can show that
// the worker was replaced.
#[test]
fn a_task_starts_again_at_once_if_the_list_of_vms_shows_the_next_worker() {
    let mut world = taken_over();
    world.workers.remove(&present());
    list_instead(&mut world, other_on_its_vm("next"));
    assert!(world.scheduler.take_vm_list_request(), "the list is wanted");
    assert!(gone(&mut world).is_empty());
    let now = at(world.now_ms);
    let vms = [vm_with("next"), managed(&listing(OTHER_VM))];
    world.scheduler.list_vms(now, world.now_ms, &vms);
    assert_eq!(gone(&mut world), [PRESENT]);
    world.run_for(RERUN_WITHIN_MS);
    assert_eq!(world.running().len(), 1);
}

// Guards against waiting for a lease although the next worker answers at the
// address of the former one.
#[test]
fn a_task_starts_again_at_once_if_the_next_worker_answers() {
    let mut world = taken_over();
    world.replace_worker(&present(), other_on_its_vm("next"));
    world.listings.retain(|listing| listing.id != present());
    world.list();
    world.run_for(RERUN_WITHIN_MS);
    assert_eq!(gone(&mut world), [PRESENT]);
    assert_eq!(world.running().len(), 1);
}

// Guards against a task that never starts again because no source can show
// that its worker has ended.
#[test]
fn a_task_starts_again_once_the_lease_is_over_if_nothing_can_be_asked() {
    let mut world = taken_over();
    world.workers.remove(&present());
    list_instead(&mut world, other_on_its_vm("next"));
    for _ in 0..(LEASE_OVER_MS / 1_000) {
        world.run_for(1_000);
        world.list();
    }
    assert_eq!(gone(&mut world), [PRESENT]);
    assert_eq!(world.running().len(), 1);
}

// Guards against asking for the list of VMs with each read of the directory.
#[test]
fn the_list_of_vms_is_requested_once_for_a_doubted_worker() {
    let mut world = taken_over();
    list_instead(&mut world, other_on_its_vm("former"));
    let mut requests = 0;
    for _ in 0..20 {
        world.run_for(50);
        requests += u32::from(world.scheduler.take_vm_list_request());
        world.list();
    }
    assert_eq!(requests, 1);
}
