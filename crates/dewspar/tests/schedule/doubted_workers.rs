//! Workers that may have ended: the directory lists another one on their VM.

use {
    crate::{
        pool_sizing::move_of_spare,
        world::{POOL, World, at, id, job, listing, managed, step},
    },
    dewspar::schedule::{
        Action, ManagedVm, VmOrder, VmReading, WorkerId, WorkerListing,
    },
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

// Guards against a worker that remains out of service after a doubt, and against
// a later doubt without a request for the list of VMs.
#[test]
fn a_doubted_worker_is_used_again_once_it_is_listed() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(500);
    for number in 2..5 {
        let own = std::mem::replace(
            &mut world.listings,
            vec![other_on_vm_of_w1("former")],
        );
        world.list();
        assert!(world.scheduler.take_vm_list_request());
        world.run_for(200);
        let job_id = id(number);
        world.scheduler.submit(job_id, job(vec![step(1)]), 6, None);
        world.run_for(200);
        let before = number as usize - 1;
        assert_eq!(world.starts.len(), before, "{:?}", world.starts);
        world.listings = own;
        world.list();
        world.run_for(200);
        assert_eq!(world.starts.len(), before + 1, "{:?}", world.starts);
    }
}

// Guards against a task that waits for as long as a row of the list of VMs can't
// be read, because an idle worker that has ended counts as capacity.
#[test]
fn a_pool_gets_a_vm_in_place_of_an_idle_worker_whose_row_cannot_be_read() {
    let mut world = World::new(5, &["w1"]);
    world
        .listings
        .push(WorkerListing { pool: "off".to_owned(), ..listing("w3") });
    world.list();
    world.list_vms();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(500);
    world.workers.remove(&w("w1"));
    world.listings[0] = other_on_vm_of_w1("next");
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut orders: Vec<VmOrder> = Vec::new();
    for _ in 0..200 {
        world.list();
        let readable = world.listings.iter().skip(1);
        let vms: Vec<ManagedVm> = readable.map(managed).collect();
        let list = VmReading { vms, is_partial: true };
        let now = at(world.now_ms);
        world.scheduler.apply_vm_reading(now, world.now_ms, &list);
        orders = world.scheduler.plan_vms(now);
        if !orders.is_empty() {
            break;
        }
        world.run_for(50);
    }
    assert_eq!(orders, [move_of_spare()]);
}

// Guards against asking an idle worker with each read of the directory.
#[test]
fn a_doubted_idle_worker_is_asked_once() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.list_vms();
    world.run_for(500);
    world.listings = vec![other_on_vm_of_w1("former")];
    let mut asked = 0;
    for _ in 0..40 {
        world.now_ms += 50;
        world.list();
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            let holds_w1 = |action: &Action| matches!(action, Action::Hold { worker, .. } if *worker == w("w1"));
            asked += u32::from(holds_w1(&action));
            world.carry_out(action, now);
        }
    }
    assert_eq!(asked, 1);
    assert!(!world.scheduler.take_vm_list_request());
}
