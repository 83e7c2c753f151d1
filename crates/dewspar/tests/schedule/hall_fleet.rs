//! A fleet in several data halls, whose VM service carries out moves.

use {
    crate::world::{POOL, ROOM, World, at, id, job, listing, managed},
    dewspar::{
        hall::HallState,
        job::StepSpec,
        schedule::{
            Decision, ManagedVm, Options, Policy, Scheduler, VmOrder,
            VmStatus, WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::TaskWorker,
    std::collections::{BTreeMap, BTreeSet},
};

pub const OFF: &str = "off";
pub const OTHER: &str = "other";

/// How long a VM takes to move to another pool, in milliseconds.
const MOVE_MS: u64 = 1_500;

pub fn options(policy: Policy) -> Options {
    Options::default().tolerated_halls(1).policy(policy)
}

pub fn hall(number: usize) -> String {
    format!("hall-{number}")
}

/// A fleet whose VM service carries out moves.
pub struct Fleet {
    pub world: World,
    pub vms: BTreeMap<String, ManagedVm>,
    /// The VMs on their way, each with its pool and the time of its arrival.
    moving: Vec<(u64, String, String)>,
    /// The halls that can't be reached, in which no VM moves.
    down: BTreeSet<String>,
    pub orders: Vec<VmOrder>,
    pub decisions: Vec<Decision>,
}

impl Fleet {
    pub fn new(options: Options) -> Fleet {
        let mut world = World::with_room(5, &[], ROOM);
        world.scheduler = Scheduler::new(5, options);
        let pools = [POOL.to_owned()].into();
        world.scheduler.configure_pools(pools, [OFF.to_owned()].into());
        Fleet {
            world,
            vms: BTreeMap::new(),
            moving: Vec::new(),
            down: BTreeSet::new(),
            orders: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Serves the queues of both pools.
    pub fn serve_both_pools(&mut self) {
        let pools = [POOL.to_owned(), OTHER.to_owned()].into();
        let off = [OFF.to_owned()].into();
        self.world.scheduler.configure_pools(pools, off);
    }

    /// Adds a VM with its worker.
    pub fn add(&mut self, name: &str, pool: &str, hall: &str, rack: &str) {
        let mut listing = listing(name);
        listing.pool = pool.to_owned();
        listing.hall = hall.to_owned();
        listing.rack = rack.to_owned();
        self.vms.insert(listing.vm.clone(), managed(&listing));
        self.add_worker(listing);
    }

    pub fn add_worker(&mut self, listing: WorkerListing) {
        let worker = TaskWorker::new(ROOM);
        self.world.workers.insert(listing.id.clone(), worker);
        self.world.listings.push(listing);
    }

    /// Adds VMs that are switched off.
    pub fn add_off(&mut self, hall: &str, count: usize) {
        for number in 0..count {
            let mut listing = listing(&format!("off-{hall}-{number}"));
            listing.pool = OFF.to_owned();
            listing.hall = hall.to_owned();
            let vm = ManagedVm { worker: None, ..managed(&listing) };
            self.vms.insert(vm.vm.clone(), vm);
        }
    }

    /// Lists everything until all workers have answered.
    pub fn settle(&mut self) {
        self.world.list();
        self.world.expect_all();
        self.world.run_for(100);
        // Orders to VMs wait for a former holder's to be over.
        self.run_for(100);
    }

    pub fn list_vms(&mut self) {
        let vms: Vec<ManagedVm> = self.vms.values().cloned().collect();
        let asked_ms = self.world.now_ms;
        self.world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
    }

    /// Makes one pass and returns the VMs that it orders to move.
    pub fn pass(&mut self) -> Vec<(String, String)> {
        self.arrive();
        self.list_vms();
        let now = at(self.world.now_ms);
        let orders = self.world.scheduler.plan_vms(now);
        let moves: Vec<(String, String)> = orders
            .iter()
            .filter_map(|order| match order {
                VmOrder::Move { vm, pool } => Some((vm.clone(), pool.clone())),
                _ => None,
            })
            .collect();
        for (vm, pool) in &moves {
            self.begin_move(vm, pool);
        }
        self.orders.extend(orders);
        self.world.run_for(50);
        self.decisions.extend(self.world.scheduler.take_decisions());
        moves
    }

    pub fn run_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.pass();
        }
    }

    pub fn begin_move(&mut self, vm: &str, pool: &str) {
        let arrives_ms = self.world.now_ms + MOVE_MS;
        self.moving.push((arrives_ms, vm.to_owned(), pool.to_owned()));
        self.end_worker(vm);
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.status = VmStatus::Moving;
            vm.worker = None;
        }
    }

    /// Lets the list of VMs show that those of a hall are down.
    pub fn power_off(&mut self, hall: &str) {
        for vm in self.vms.values_mut().filter(|vm| vm.hall == hall) {
            vm.status = VmStatus::Down;
            vm.worker = None;
        }
    }

    pub fn end_worker(&mut self, vm: &str) {
        let gone = |listing: &mut WorkerListing| listing.vm == vm;
        for listing in self.world.listings.extract_if(.., gone) {
            self.world.workers.remove(&listing.id);
        }
    }

    pub fn arrive(&mut self) {
        let now_ms = self.world.now_ms;
        let due = |(at, ..): &mut (u64, String, String)| *at <= now_ms;
        let due: Vec<_> = self.moving.extract_if(.., due).collect();
        for (_, name, pool) in due {
            // OK because only VMs of the fleet move.
            let vm = self.vms.get_mut(&name).expect("a VM of the fleet");
            if self.down.contains(&vm.hall) {
                continue;
            }
            vm.status = VmStatus::Up;
            vm.pool.clone_from(&pool);
            if pool == OFF {
                continue;
            }
            let mut listing = listing(&format!("{name}-{now_ms}"));
            listing.vm.clone_from(&name);
            listing.pool = pool;
            listing.hall.clone_from(&vm.hall);
            vm.worker = Some(listing.id.clone());
            self.add_worker(listing);
        }
        self.world.list();
    }

    pub fn set_state(&mut self, hall: &str, state: HallState) {
        self.world.scheduler.assume_hall_state(hall, Some(state));
    }

    /// Cuts a hall off: its workers are silent, and the holder knows why.
    pub fn cut_off(&mut self, hall: &str) {
        self.silence(hall);
        self.set_state(hall, HallState::CutOff);
    }

    pub fn silence(&mut self, hall: &str) {
        self.down.insert(hall.to_owned());
        let lost = self.world.listings.iter().filter(|l| l.hall == hall);
        let lost: Vec<WorkerId> = lost.map(|l| l.id.clone()).collect();
        self.world.unreachable.extend(lost);
    }

    pub fn hall_of(&self, vm: &str) -> &str {
        &self.vms[vm].hall
    }

    /// Returns how many VMs of a pool, there or on their way, are in each
    /// hall.
    pub fn spread(&self, pool: &str) -> BTreeMap<&str, usize> {
        let mut spread = BTreeMap::new();
        for (name, vm) in &self.vms {
            let mut moving = self.moving.iter();
            let to = moving.find(|(_, vm, _)| vm == name);
            let pool_of = to.map_or(&vm.pool, |(_, _, pool)| pool);
            if pool_of == pool {
                *spread.entry(vm.hall.as_str()).or_default() += 1;
            }
        }
        spread
    }

    pub fn submit(&mut self, number: u64, pool: &str, steps: Vec<StepSpec>) {
        let mut job = job(steps);
        job.terms.pool = pool.to_owned();
        job.accepted_at_ms = at(self.world.now_ms).unix_ms;
        self.world.scheduler.submit(id(number), job, 5 + number, None);
    }

    /// Returns how many tasks of a job were started in each hall.
    pub fn started(&self, number: u64) -> BTreeMap<&str, usize> {
        let mut halls = BTreeMap::new();
        for (worker, order) in &self.world.starts {
            if order.task.job != id(number) {
                continue;
            }
            let listings = &self.world.listings;
            let listing = listings.iter().find(|l| l.id == *worker);
            // OK because no worker ends in the tests that use this.
            let hall = &listing.expect("listed").hall;
            *halls.entry(hall.as_str()).or_default() += 1;
        }
        halls
    }
}
