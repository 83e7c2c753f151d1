/*!
Which pool a VM is in: room that one pool leaves is what another needs.

Pools peak in turns. A pool that is nearly full, or whose tasks wait, gets
VMs that are switched off, or idle ones of a pool with room to spare; a pool
that has more than it needs switches idle VMs off, where the operator has a
pool for that. A VM only moves while nothing runs on it.
*/

use {
    crate::schedule::{
        Now, Scheduler, VmLife, VmOrder, VmOrderError,
        board::demand,
        maintenance::Purpose,
        worker::Worker,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How full a pool may be before it gets another VM, in hundredths: a VM
/// takes some 2 s to come, in which a peak grows by about a fifth.
const FULL_PERCENT: u64 = 80;

/// How full a pool may be without one of its VMs for it to be given away,
/// in hundredths.
const SPARE_PERCENT: u64 = 50;

/// How long a worker must have been idle before its VM moves away, in
/// milliseconds: a move costs about as much as a second in a pool.
const IDLE_MS: u64 = 1_500;

/// How long a VM that was ordered to move counts as coming, in milliseconds.
const COMING_MS: u64 = 4_000;

/// The fewest VMs that a pool keeps that has queues.
const LEAST_VMS: usize = 2;

/// What a pool has and what is asked of it, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolLoad {
    pub(super) capacity_cpu: u64,
    pub(super) used_cpu: u64,
    pub(super) waiting_cpu: u64,
    pub(super) coming_cpu: u64,
    workers: u64,
}

impl PoolLoad {
    /// Returns what one VM of the pool has.
    pub(super) fn vm_cpu(&self) -> u64 {
        self.capacity_cpu / self.workers.max(1)
    }
}

/// A move that was ordered.
#[derive(Debug)]
pub(super) struct Moving {
    pub(super) to: String,
    pub(super) since_ms: u64,
}

impl Scheduler {
    /// Takes over which pools have queues, and which are switched off.
    pub fn configure_pools(
        &mut self,
        serving: BTreeSet<String>,
        free: BTreeSet<String>,
    ) {
        self.serving_pools = serving;
        self.free_pools = free;
    }

    /// Returns what a pool has and what is asked of it.
    pub(super) fn pool_load(&self, pool: &str) -> PoolLoad {
        self.pool_loads.get(pool).copied().unwrap_or_default()
    }

    /// Adds up what each pool has and what is asked of it.
    pub(super) fn measure_pools(&mut self, now: Now) {
        let mut loads: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for worker in self.workers.values() {
            let load = loads.entry(worker.listing.pool.clone()).or_default();
            load.used_cpu += worker.used().cpu_millis;
            if worker.emptying.is_none()
                && !worker.listing.draining
                && worker.silent_since_ms.is_none()
            {
                load.capacity_cpu += worker.listing.capacity.cpu_millis;
                load.workers += 1;
            }
        }
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let load = loads.entry(job.terms.pool.clone()).or_default();
            for round in 0..job.rounds.len() {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    let waiting = job.rounds[round][step].waiting.len() as u64;
                    if waiting > 0 && job.is_ready(round, step, now.unix_ms) {
                        load.waiting_cpu += waiting * demand(spec).cpu_millis;
                    }
                }
            }
        }
        for (vm, moving) in &self.moving {
            let cpu = self.vms.get(vm).map_or(0, |vm| vm.capacity.cpu_millis);
            loads.entry(moving.to.clone()).or_default().coming_cpu += cpu;
        }
        self.pool_loads = loads;
    }

    /// Returns the next orders that move VMs between pools.
    pub(super) fn size_pools(&mut self, now: Now, orders: &mut Vec<VmOrder>) {
        self.settle_moves(now);
        let pools: Vec<String> = self.serving_pools.iter().cloned().collect();
        for pool in &pools {
            self.fill_pool(pool, now, orders);
        }
        for pool in &pools {
            self.shrink_pool(pool, now);
        }
        self.order_moves(now, orders);
    }

    fn settle_moves(&mut self, now: Now) {
        let vms = &self.vms;
        self.moving.retain(|vm, moving| {
            let there = vms.get(vm).is_some_and(|vm| {
                vm.pool == moving.to && vm.life == VmLife::Up
            });
            let late = now.steady_ms > moving.since_ms + COMING_MS;
            !there && !late
        });
    }

    /// Brings VMs to a pool that is nearly full.
    fn fill_pool(&mut self, pool: &str, now: Now, orders: &mut Vec<VmOrder>) {
        let load = self.pool_load(pool);
        let wanted =
            (load.used_cpu + load.waiting_cpu) * 100 / FULL_PERCENT;
        let mut have = load.capacity_cpu + load.coming_cpu;
        while have < wanted {
            if let Some((vm, cpu)) = self.switched_off_vm(pool, now) {
                self.order_move(&vm, pool, now, orders);
                have += cpu;
                continue;
            }
            let Some((id, cpu)) = self.idle_elsewhere(pool, now) else {
                return;
            };
            self.empty(&id, Purpose::Move(pool.to_owned()), now);
            have += cpu;
        }
    }

    /// Returns a VM that is switched off and may move to the pool.
    fn switched_off_vm(
        &self,
        pool: &str,
        now: Now,
    ) -> Option<(String, u64)> {
        self.vms
            .values()
            .filter(|vm| self.free_pools.contains(&vm.pool))
            .filter(|vm| vm.life == VmLife::Up)
            .filter(|vm| !self.moving.contains_key(&vm.vm))
            .filter(|vm| !self.is_refused(&vm.vm, pool))
            .filter(|vm| self.may_order(&vm.vm, now))
            .filter(|vm| !self.awaits_maintenance(&vm.vm))
            .map(|vm| (vm.vm.clone(), vm.capacity.cpu_millis))
            .next()
    }

    /// Returns an idle worker of another pool that has room to spare.
    fn idle_elsewhere(
        &self,
        pool: &str,
        now: Now,
    ) -> Option<(crate::schedule::WorkerId, u64)> {
        self.workers
            .values()
            .filter(|worker| worker.listing.pool != pool)
            .filter(|worker| self.serving_pools.contains(&worker.listing.pool))
            .filter(|worker| self.may_leave(worker, now))
            .filter(|worker| !self.is_refused(&worker.listing.vm, pool))
            .map(|worker| {
                (worker.id().clone(), worker.listing.capacity.cpu_millis)
            })
            .next()
    }

    fn may_leave(&self, worker: &Worker, now: Now) -> bool {
        let pool = &worker.listing.pool;
        worker.emptying.is_none()
            && worker.synced
            && worker.silent_since_ms.is_none()
            && !worker.listing.draining
            && worker.listed
            && worker.is_settled()
            && now.steady_ms >= worker.idle_since_ms + IDLE_MS
            && self.pool_load(pool).workers > LEAST_VMS as u64
            && self.pool_percent_without(pool, 1) <= SPARE_PERCENT
            && !self.awaits_maintenance(&worker.listing.vm)
    }

    /// Switches off an idle VM of a pool that has more than it needs.
    fn shrink_pool(&mut self, pool: &str, now: Now) {
        let Some(free) = self.free_pools.first().cloned() else { return };
        let idle = self
            .workers
            .values()
            .filter(|worker| worker.listing.pool == pool)
            .filter(|worker| self.may_leave(worker, now))
            .find(|worker| !self.is_refused(&worker.listing.vm, &free));
        let Some(id) = idle.map(|worker| worker.id().clone()) else {
            return;
        };
        self.empty(&id, Purpose::Move(free), now);
        self.measure_pools(now);
    }

    /// Orders the moves of workers that were emptied for them.
    fn order_moves(&mut self, now: Now, orders: &mut Vec<VmOrder>) {
        let ready: Vec<(String, String)> = self
            .workers
            .values()
            .filter(|worker| worker.is_settled())
            .filter_map(|worker| match &worker.emptying {
                Some(Purpose::Move(pool)) => {
                    Some((worker.listing.vm.clone(), pool.clone()))
                }
                _ => None,
            })
            .filter(|(vm, _)| !self.moving.contains_key(vm))
            .filter(|(vm, _)| self.may_order(vm, now))
            .collect();
        for (vm, pool) in ready {
            self.order_move(&vm, &pool, now, orders);
        }
    }

    fn order_move(
        &mut self,
        vm: &str,
        pool: &str,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let to = pool.to_owned();
        let since_ms = now.steady_ms;
        self.moving.insert(vm.to_owned(), Moving { to, since_ms });
        orders.push(VmOrder::Move {
            vm: vm.to_owned(),
            pool: pool.to_owned(),
        });
    }

    fn is_refused(&self, vm: &str, pool: &str) -> bool {
        self.refused_moves.contains(&(vm.to_owned(), pool.to_owned()))
    }

    /// Takes in the result of an order to move a VM.
    pub fn move_answered(
        &mut self,
        vm: &str,
        pool: &str,
        result: Result<(), VmOrderError>,
        now: Now,
    ) {
        let life = self.worker_on(vm).map(|worker| worker.id().clone());
        match (result, life) {
            (Ok(()), Some(life)) => {
                self.worker_gone(&life, "its VM moves", now);
            }
            (Ok(()), None) => {}
            (Err(error), life) => {
                if error == VmOrderError::Invalid {
                    let refused = (vm.to_owned(), pool.to_owned());
                    self.refused_moves.insert(refused);
                }
                // It may have been done: then the list of VMs shows it.
                if error != VmOrderError::Unknown {
                    self.moving.remove(vm);
                    self.keep(life);
                }
            }
        }
    }

    /// Uses a worker again that was to leave.
    fn keep(&mut self, life: Option<crate::schedule::WorkerId>) {
        let worker = life.and_then(|life| self.workers.get_mut(&life));
        if let Some(worker) = worker {
            worker.emptying = None;
        }
    }
}
