//! Sizing of pools for long-running tasks.
//!
//! Two failures are guarded against. A pool that lacks a few VMs for
//! long-running tasks gets none while another pool with a backlog of short
//! tasks lacks hundreds; two such tasks were down for more than ten seconds.
//! And a pool sized by processors alone is too small for tasks that need
//! memory, or a worker without another task of their step.

use {
    crate::world::{POOL, World, at, id, job, listing, managed, step},
    dewspar::{
        job::StepSpec,
        schedule::{
            ManagedVm, Resources, VmOrder, WaveRequest, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::BTreeMap,
};

const OTHER: &str = "other";
const OFF: &str = "off";

/// Two pools with queues, and VMs that are switched off.
struct Fleet {
    world: World,
    off: Vec<ManagedVm>,
}

impl Fleet {
    fn new(here: u32, other: u32, off: u32) -> Fleet {
        let mut world = World::with_room(5, &[], ROOM);
        for (pool, count) in [(POOL, here), (OTHER, other)] {
            for number in 0..count {
                let listing = listing_in(pool, number);
                let worker = TaskWorker::new(ROOM);
                world.workers.insert(listing.id.clone(), worker);
                world.listings.push(listing);
            }
        }
        world.list();
        world.expect_all();
        let serving = [POOL.to_owned(), OTHER.to_owned()].into();
        world.scheduler.configure_pools(serving, [OFF.to_owned()].into());
        world.run_for(100);
        let switched_off = |number| ManagedVm {
            worker: None,
            ..managed(&listing_in(OFF, number))
        };
        Fleet { world, off: (0..off).map(switched_off).collect() }
    }

    fn submit(&mut self, number: u64, pool: &str, steps: Vec<StepSpec>) {
        let mut job = job(steps);
        job.terms.pool = pool.to_owned();
        self.world.scheduler.submit(id(number), job, 5 + number, None);
    }

    /// Requests the maintenance of all VMs that are switched off but `free`
    /// ones. They can't be used until then.
    fn maintain_all_but(&mut self, free: usize) {
        let off = self.off.iter().skip(free);
        let request = WaveRequest {
            wave: 1,
            vms: off.map(|vm| vm.vm.clone()).collect(),
            duration_ms: 60_000,
            max_down: 1,
        };
        let (now, none) = (at(self.world.now_ms), BTreeMap::new());
        self.world.scheduler.request_waves(now, &[request], &none, &[]);
    }

    /// Makes scheduling passes for a while and counts the VM moves to each
    /// pool. The moved VMs don't arrive.
    fn moves_within(&mut self, ms: u64) -> Moves {
        let end_ms = self.world.now_ms + ms;
        let mut moves = Moves::default();
        while self.world.now_ms < end_ms {
            let (now, asked_ms) = (at(self.world.now_ms), self.world.now_ms);
            let up = self.world.listings.iter().map(managed);
            let vms: Vec<ManagedVm> =
                up.chain(self.off.iter().cloned()).collect();
            self.world.scheduler.list_vms(now, asked_ms, &vms);
            for order in self.world.scheduler.plan_vms(now) {
                moves.count(&order);
            }
            self.world.run_for(50);
        }
        moves
    }
}

fn listing_in(pool: &str, number: u32) -> WorkerListing {
    let pool = pool.to_owned();
    let listing = listing(&format!("{pool}-{number}"));
    WorkerListing { pool, capacity: ROOM, ..listing }
}

/// The number of VMs ordered to move to each pool.
#[derive(Debug, Default, Eq, PartialEq)]
struct Moves {
    here: u32,
    other: u32,
    off: u32,
}

impl Moves {
    fn count(&mut self, order: &VmOrder) {
        let VmOrder::Move { pool, .. } = order else { return };
        match pool.as_str() {
            POOL => self.here += 1,
            OTHER => self.other += 1,
            _ => self.off += 1,
        }
    }
}

const ROOM: Resources =
    Resources { cpu_millis: 4_000, memory_mb: 4_000, gpus: 2 };

/// A step of `count` long-running tasks, at most one on a worker.
fn long_running(count: u32) -> StepSpec {
    StepSpec { long_running: true, max_per_worker: 1, ..step(count) }
}

/// A step of `count` long-running tasks that need little processor.
fn low_cpu(count: u32, memory_mb: u64, gpus: u64) -> StepSpec {
    let cpu_millis = 100;
    let long = StepSpec { max_per_worker: 0, ..long_running(count) };
    StepSpec { cpu_millis, memory_mb, gpus, ..long }
}

#[test]
fn a_vm_for_a_long_running_task_comes_before_those_for_a_backlog() {
    let mut fleet = Fleet::new(2, 2, 7);
    fleet.maintain_all_but(1);
    fleet.world.fate = Fate::endless();
    fleet.submit(1, OTHER, vec![step(100)]);
    fleet.submit(2, POOL, vec![long_running(3)]);
    fleet.world.run_for(100);
    let moves = fleet.moves_within(1_000);
    assert_eq!(moves, Moves { here: 1, ..Moves::default() });
}

#[test]
fn long_running_tasks_of_one_pool_come_before_short_ones_of_another() {
    // An equal share of the six VMs would be three.
    let mut fleet = Fleet::new(2, 4, 0);
    fleet.submit(1, OTHER, vec![step(200)]);
    fleet.submit(2, POOL, vec![long_running(4)]);
    fleet.world.run_for(100);
    let moves = fleet.moves_within(1_000);
    assert_eq!(moves, Moves { here: 2, ..Moves::default() });
}

#[test]
fn a_fleet_short_of_vms_leaves_each_pool_enough_for_long_running_tasks() {
    let mut fleet = Fleet::new(4, 2, 0);
    fleet.world.fate = Fate::endless();
    fleet.submit(1, POOL, vec![low_cpu(4, 3_000, 0)]);
    fleet.world.run_for(500);
    fleet.world.fate = Fate::done(500);
    fleet.submit(2, OTHER, vec![step(200)]);
    fleet.world.run_for(100);
    assert_eq!(fleet.moves_within(1_000), Moves::default());
}

#[test]
fn a_pool_gets_all_vms_for_its_long_running_tasks_at_once() {
    for (memory_mb, gpus) in [(3_000, 0), (100, 2)] {
        let mut fleet = Fleet::new(2, 2, 6);
        fleet.world.fate = Fate::endless();
        fleet.submit(1, POOL, vec![low_cpu(6, memory_mb, gpus)]);
        fleet.world.run_for(100);
        let moves = fleet.moves_within(400);
        assert_eq!(moves, Moves { here: 4, ..Moves::default() });
    }
}

#[test]
fn anti_affine_tasks_are_packed_beside_those_of_other_steps() {
    // A worker holds one task of each step, and never two of different steps.
    let mut fleet = Fleet::new(2, 2, 6);
    fleet.world.fate = Fate::endless();
    let apart = StepSpec { memory_mb: 2_500, ..long_running(3) };
    fleet.submit(1, POOL, vec![apart.clone(), apart]);
    fleet.world.run_for(100);
    let moves = fleet.moves_within(400);
    assert_eq!(moves, Moves { here: 4, ..Moves::default() });
}

#[test]
fn no_vm_moves_for_placed_long_running_tasks() {
    let mut fleet = Fleet::new(3, 2, 6);
    fleet.world.fate = Fate::endless();
    let apart = StepSpec { memory_mb: 1_900, ..long_running(3) };
    fleet.submit(1, POOL, vec![apart.clone(), apart]);
    fleet.world.run_for(300);
    assert_eq!(fleet.world.running().len(), 6);
    assert_eq!(fleet.moves_within(1_000), Moves::default());
}

#[test]
fn a_pool_keeps_the_vms_that_later_long_running_steps_need() {
    let mut fleet = Fleet::new(6, 2, 0);
    fleet.world.fate = Fate::done(8_000);
    let first = StepSpec { estimate_ms: 8_000, ..step(1) };
    let then = StepSpec { after: vec![0], ..low_cpu(4, 3_000, 0) };
    fleet.submit(1, POOL, vec![first, then]);
    let moves = fleet.moves_within(7_000);
    assert_eq!(moves, Moves { off: 2, ..Moves::default() });
}

#[test]
fn a_pool_gets_vms_for_the_memory_of_jobs_that_keep_coming() {
    let mut fleet = Fleet::new(2, 2, 1);
    fleet.world.fate = Fate::done(2_000);
    // Two jobs a second of 10 task-seconds each keep 20 tasks running.
    let long = StepSpec {
        cpu_millis: 100,
        memory_mb: 400,
        estimate_ms: 2_000,
        ..step(1)
    };
    let later = StepSpec { after: vec![0], count: 4, ..long.clone() };
    for number in 1..3 {
        fleet.submit(number, POOL, vec![long.clone(), later.clone()]);
        fleet.world.run_for(100);
    }
    let moves = fleet.moves_within(1_000);
    assert_eq!(moves, Moves { here: 1, ..Moves::default() });
}

#[test]
fn a_pool_short_of_few_vms_is_served_beside_one_short_of_many() {
    let mut fleet = Fleet::new(2, 2, 16);
    fleet.maintain_all_but(8);
    fleet.world.fate = Fate::endless();
    fleet.submit(1, OTHER, vec![step(100)]);
    // One additional VM has room for all of them.
    fleet.submit(2, POOL, vec![step(9)]);
    fleet.world.run_for(100);
    let moves = fleet.moves_within(1_000);
    assert_eq!(moves, Moves { here: 1, other: 7, off: 0 });
}
