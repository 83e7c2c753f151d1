//! Workers that may have ended: the directory lists another one on their VM.

use {
    crate::world::{World, id, job, listing, step},
    dewspar::schedule::{WorkerId, WorkerListing},
    dewspar_standin::task_worker::Fate,
};

/// How long the directory can't be read, in milliseconds: long enough for
/// entries to have expired meanwhile.
const OUTAGE_MS: u64 = 2_500;

fn w(name: &str) -> WorkerId {
    WorkerId::new(name)
}

/// A worker of another pool on the VM of `w1`.
fn other_on_vm_of_w1(name: &str) -> WorkerListing {
    let vm = listing("w1").vm;
    WorkerListing { vm, pool: "other".to_owned(), ..listing(name) }
}

// Guards against a task that is ordered from a worker that has ended, and waits
// for its lease: after an outage of the directory, missing entries are
// excused for a while.
#[test]
fn nothing_starts_on_a_doubted_worker_after_an_outage_of_the_directory() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.run_for(500);
    world.run_for(OUTAGE_MS);
    world.workers.remove(&w("w1"));
    world.listings = vec![other_on_vm_of_w1("next")];
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(100);
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    world.add_worker(listing("w2"));
    world.list();
    world.run_for(500);
    assert_eq!(world.running().len(), 1);
}
