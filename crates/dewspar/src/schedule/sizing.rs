/*!
Which pool a VM is in: room that one pool leaves is what another needs.

Pools peak in turns. A pool that is nearly full, or whose tasks wait, gets
VMs that are switched off, or idle ones of a pool with room to spare; a pool
that has more than it needs switches idle VMs off, where the operator has a
pool for that. A VM only moves while nothing runs on it.
*/

use {
    crate::{
        job::StepSpec,
        schedule::{
            Decision, Forecast, Now, Scheduler, Sizing, VmLife, VmOrder,
            VmOrderError, WorkerId,
            board::demand,
            worker::{Purpose, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// How long a VM is left alone whose move was refused, in milliseconds.
const REFUSED_MS: u64 = 1_000;

/// How long a holder waits for a first job before it switches VMs off all
/// the same, in milliseconds.
const UNUSED_MS: u64 = 30_000;

/// How long a VM that was ordered to move counts as coming, in milliseconds.
const COMING_MS: u64 = 4_000;

/// What a pool has and what is asked of it, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolLoad {
    pub(super) capacity_cpu: u64,
    pub(super) used_cpu: u64,
    pub(super) waiting_cpu: u64,
    /// What will be used soon, by the jobs that came of late.
    forecast_cpu: u64,
    workers: u64,
    /// How many workers the tasks need that must run apart.
    apart: u64,
}

impl PoolLoad {
    /// Returns what is asked of the pool, now or soon.
    pub(super) fn asked_cpu(&self) -> u64 {
        self.used_cpu.max(self.forecast_cpu) + self.waiting_cpu
    }

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
    /// The life of its worker when that was ordered.
    pub(super) life: Option<WorkerId>,
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

    /// Takes over in which pools workers start whatever they are told: their
    /// rooms are to be guarded here.
    pub fn guard_pools(&mut self, unguarded: BTreeSet<String>) {
        self.unguarded_pools = unguarded;
    }

    fn sizing(&self) -> &Sizing {
        &self.options.policy.sizing
    }

    /// Returns what a pool has and what is asked of it.
    pub(super) fn pool_load(&self, pool: &str) -> PoolLoad {
        self.pool_loads.get(pool).copied().unwrap_or_default()
    }

    /// Adds up what each pool has and what is asked of it.
    pub(super) fn measure_pools(&mut self, now: Now) {
        // By borrowed names in no order: this looks a pool up for each of
        // thousands of workers and jobs, twenty times a second.
        let mut loads: HashMap<&str, PoolLoad> = HashMap::new();
        for worker in self.workers.values() {
            let load = loads.entry(&worker.listing.pool).or_default();
            load.used_cpu += worker.used().cpu_millis;
            if worker.emptying.is_none()
                && !worker.listing.draining
                && worker.silent_since_ms.is_none()
            {
                load.capacity_cpu += worker.listing.capacity.cpu_millis;
                load.workers += 1;
            }
        }
        let late_percent = self.options.policy.sizing.late_percent;
        for job in self.jobs.values().filter(|job| !job.phase.is_final()) {
            let load = loads.entry(&job.terms.pool).or_default();
            for round in 0..job.rounds.len() {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    load.apart = load.apart.max(apart(spec));
                    if spec.long_running && self.fits_somewhere(spec) {
                        load.forecast_cpu +=
                            u64::from(spec.count) * demand(spec).cpu_millis;
                    }
                    let waiting = job.rounds[round][step].waiting.len() as u64;
                    if waiting == 0
                        || !job.is_ready(round, step, now.unix_ms)
                        || !self.fits_somewhere(spec)
                    {
                        continue;
                    }
                    let cpu = waiting * demand(spec).cpu_millis;
                    let late = now.unix_ms > job.objective_ms(round)
                        && !spec.long_running;
                    load.waiting_cpu +=
                        if late { cpu * late_percent / 100 } else { cpu };
                }
            }
        }
        let mut loads: BTreeMap<String, PoolLoad> = loads
            .into_iter()
            .map(|(pool, load)| (pool.to_owned(), load))
            .collect();
        self.note_arrivals(now);
        for (pool, cpu_millis) in self.forecasts(now) {
            if let Some(load) = loads.get_mut(pool) {
                load.forecast_cpu += cpu_millis;
            }
        }
        for (pool, cpu_millis) in &self.projected {
            if let Some(load) = loads.get_mut(pool) {
                load.forecast_cpu += cpu_millis;
            }
        }
        self.pool_loads = loads;
    }

    /// Returns the next orders that move VMs between pools.
    pub(super) fn size_pools(&mut self, now: Now, orders: &mut Vec<VmOrder>) {
        self.settle_moves(now);
        if now.steady_ms >= self.sized_ms + self.sizing().interval_ms {
            self.sized_ms = now.steady_ms;
            self.project_pools(now);
            let targets = self.targets(now);
            self.note_targets(&targets);
            self.fill_pools(&targets, now, orders);
            if self.knows_demand(now) {
                for pool in targets.keys() {
                    self.shrink_pool(pool, now);
                }
            }
        }
        self.order_moves(now, orders);
    }

    /// Looks at what the pools will be asked for.
    fn project_pools(&mut self, now: Now) {
        let Forecast { enabled, ahead_ms, .. } = self.options.policy.forecast;
        if enabled {
            self.projected = self.project(now, ahead_ms);
            self.measure_pools(now);
        }
    }

    /// Returns whether enough was seen to tell which VMs aren't needed.
    fn knows_demand(&mut self, now: Now) -> bool {
        if self.first_job_ms == 0 && self.has_short_jobs() {
            self.first_job_ms = now.steady_ms;
        }
        let unused = now.steady_ms >= self.taken_over_ms + UNUSED_MS;
        let observed = self.first_job_ms > 0
            && now.steady_ms >= self.first_job_ms + self.sizing().observed_ms;
        observed || unused
    }

    fn note_targets(&mut self, targets: &BTreeMap<String, u64>) {
        for (pool, target) in targets {
            if self.targets.get(pool) == Some(target) {
                continue;
            }
            let load = self.pool_load(pool);
            let vms = self.pool_size(pool);
            self.note(Decision::PoolSized {
                pool: pool.clone(),
                target: *target,
                vms,
                used_cpu: load.used_cpu,
                forecast_cpu: load.forecast_cpu,
                waiting_cpu: load.waiting_cpu,
            });
        }
        self.targets.clone_from(targets);
    }

    /// Returns how many VMs each pool should have.
    ///
    /// While there are too few for all, none gets more than its equal share
    /// as long as another wants for one.
    fn targets(&self, now: Now) -> BTreeMap<String, u64> {
        // A move that was ordered needn't show in the list yet.
        let usable = self.vms.values().filter(|vm| {
            vm.life == VmLife::Up && !self.moving.contains_key(&vm.vm)
        });
        let total = usable.count() + self.moving.len();
        let mut left = total as u64;
        let mut needs: BTreeMap<&String, u64> = BTreeMap::new();
        for pool in &self.serving_pools {
            let load = self.pool_load(pool);
            let asked = load.asked_cpu() * 100;
            let vm_cpu = load.vm_cpu().max(self.typical_vm_cpu()).max(1);
            let need = asked.div_ceil(vm_cpu * self.sizing().full_percent);
            let need = need.max(self.least_vms(pool));
            let need = need.max(self.need_for_place(pool, now));
            needs.insert(pool, need);
        }
        let mut targets: BTreeMap<String, u64> = BTreeMap::new();
        while left > 0 {
            let least = needs
                .iter()
                .filter(|(pool, need)| {
                    targets.get(**pool).copied().unwrap_or(0) < **need
                })
                .min_by_key(|(pool, _)| {
                    let has = targets.get(**pool).copied().unwrap_or(0);
                    if self.sizing().equal_shares { has } else { 0 }
                });
            let Some((pool, _)) = least else { break };
            *targets.entry((*pool).clone()).or_default() += 1;
            left -= 1;
        }
        targets
    }

    /// Returns how many VMs a pool needs that has no place for some task:
    /// one more than it has, whatever it lacks.
    fn need_for_place(&self, pool: &str, now: Now) -> u64 {
        let waits = self.without_place.get(pool).copied();
        let leaves = self.displaced.since_ms(pool);
        let since_ms = waits.into_iter().chain(leaves).min();
        let long = since_ms.is_some_and(|since| {
            now.steady_ms >= since + self.sizing().without_place_ms
        });
        if long { self.pool_load(pool).workers + 1 } else { 0 }
    }

    fn typical_vm_cpu(&self) -> u64 {
        let cpus = self.vms.values().map(|vm| vm.capacity.cpu_millis);
        cpus.max().unwrap_or(0)
    }

    /// Returns how many VMs a pool has or is about to have.
    fn pool_size(&self, pool: &str) -> u64 {
        let load = self.pool_load(pool);
        let coming = self.moving.values().filter(|m| m.to == pool).count();
        let leaving = self.workers.values().filter(|worker| {
            worker.emptying == Some(Purpose::Move(pool.to_owned()))
                && !self.moving.contains_key(&worker.listing.vm)
        });
        load.workers + (coming + leaving.count()) as u64
    }

    /// Brings VMs to pools that have fewer than they should, the one that
    /// lacks most first.
    fn fill_pools(
        &mut self,
        targets: &BTreeMap<String, u64>,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let mut lacking: Vec<(u64, &String)> = targets
            .iter()
            .map(|(pool, target)| {
                (target.saturating_sub(self.pool_size(pool)), pool)
            })
            .filter(|(lack, _)| *lack > 0)
            .collect();
        lacking.sort_unstable();
        while let Some((lack, pool)) = lacking.pop() {
            if let Some(vm) = self.switched_off_vm(pool, now) {
                self.order_move(&vm, pool, now, orders);
            } else if let Some(id) = self.spare_elsewhere(pool, targets, now) {
                self.empty(&id, Purpose::Move(pool.clone()), now);
                self.measure_pools(now);
            } else {
                continue;
            }
            if lack > 1 {
                lacking.push((lack - 1, pool));
                lacking.sort_unstable();
            }
        }
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

    /// Returns a VM that is switched off and may move to the pool.
    fn switched_off_vm(&self, pool: &str, now: Now) -> Option<String> {
        self.vms
            .values()
            .filter(|vm| self.free_pools.contains(&vm.pool))
            .filter(|vm| vm.life == VmLife::Up)
            .filter(|vm| !self.moving.contains_key(&vm.vm))
            .filter(|vm| !self.is_refused(&vm.vm, pool))
            .filter(|vm| self.may_order(&vm.vm, now))
            .filter(|vm| !self.awaits_maintenance(&vm.vm))
            .map(|vm| vm.vm.clone())
            .next()
    }

    /// Returns the least used worker of a pool that has more VMs than it
    /// should; none that long-running tasks would have to leave.
    fn spare_elsewhere(
        &self,
        pool: &str,
        targets: &BTreeMap<String, u64>,
        now: Now,
    ) -> Option<WorkerId> {
        let over = |from: &str| {
            let target = targets.get(from).copied().unwrap_or(0);
            self.pool_load(from).workers > target
        };
        self.workers
            .values()
            .filter(|worker| worker.listing.pool != pool)
            .filter(|worker| over(&worker.listing.pool))
            .filter(|worker| worker.is_usable())
            .filter(|worker| self.may_order(&worker.listing.vm, now))
            .filter(|worker| !self.is_refused(&worker.listing.vm, pool))
            .filter(|worker| !self.serves_for_long(worker))
            .min_by_key(|worker| worker.used().cpu_millis)
            .map(|worker| worker.id().clone())
    }

    fn serves_for_long(&self, worker: &Worker) -> bool {
        worker.runs.keys().any(|task| {
            self.jobs
                .get(&task.job)
                .and_then(|job| job.step_spec(task))
                .is_some_and(|spec| spec.long_running)
        })
    }

    /// Returns the fewest VMs that a pool can do with.
    fn least_vms(&self, pool: &str) -> u64 {
        self.pool_load(pool).apart.max(self.sizing().least_vms)
    }

    fn may_leave(&self, worker: &Worker, now: Now) -> bool {
        let pool = &worker.listing.pool;
        worker.is_usable()
            && worker.is_settled()
            && now.steady_ms >= worker.idle_since_ms + self.sizing().idle_ms
            && self.pool_load(pool).workers > self.least_vms(pool)
            && self.pool_percent_without(pool, 1)
                <= self.sizing().spare_percent
            && !self.awaits_maintenance(&worker.listing.vm)
    }

    /// Switches off idle VMs of a pool that has more than it needs.
    fn shrink_pool(&mut self, pool: &str, now: Now) {
        let most =
            self.pool_load(pool).workers / self.sizing().leaving_divisor + 1;
        for _ in 0..most {
            if !self.switch_one_off(pool, now) {
                return;
            }
        }
    }

    /// Switches one idle VM of a pool off; returns whether there was one.
    fn switch_one_off(&mut self, pool: &str, now: Now) -> bool {
        let Some(free) = self.free_pools.first().cloned() else {
            return false;
        };
        let idle = self
            .workers
            .values()
            .filter(|worker| worker.listing.pool == pool)
            .filter(|worker| self.may_leave(worker, now))
            .find(|worker| !self.is_refused(&worker.listing.vm, &free));
        let Some(id) = idle.map(|worker| worker.id().clone()) else {
            return false;
        };
        self.empty(&id, Purpose::Move(free), now);
        self.measure_pools(now);
        true
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
        let life = self.worker_on(vm).map(|worker| worker.id().clone());
        self.moving.insert(vm.to_owned(), Moving { to, since_ms, life });
        orders
            .push(VmOrder::Move { vm: vm.to_owned(), pool: pool.to_owned() });
    }

    fn is_refused(&self, vm: &str, pool: &str) -> bool {
        self.refused_moves.contains(&(vm.to_owned(), pool.to_owned()))
    }

    /// Leaves a VM alone for a moment.
    fn put_off(&mut self, vm: &str, now: Now) {
        let until_ms = now.steady_ms + REFUSED_MS;
        self.vms_from_ms.insert(vm.to_owned(), until_ms);
    }

    /// Takes in the result of an order to move a VM.
    pub fn move_answered(
        &mut self,
        vm: &str,
        pool: &str,
        result: Result<(), VmOrderError>,
        now: Now,
    ) {
        // It may have been done before, by a former holder's order: which
        // life ended, if any, the list of VMs tells.
        let Err(error) = result else { return };
        if error == VmOrderError::Invalid {
            self.refused_moves.insert((vm.to_owned(), pool.to_owned()));
        }
        // It may have been done: then the list shows that, too.
        if error == VmOrderError::Unknown {
            return;
        }
        let moving = self.moving.remove(vm);
        self.keep(moving.and_then(|moving| moving.life));
        self.put_off(vm, now);
    }

    /// Uses a worker again that was to leave.
    fn keep(&mut self, life: Option<WorkerId>) {
        let worker = life.and_then(|life| self.workers.get_mut(&life));
        if let Some(worker) = worker {
            worker.emptying = None;
        }
    }
}

/// Returns how many workers a long-running step needs because only so many
/// of its tasks may share one.
fn apart(spec: &StepSpec) -> u64 {
    if !spec.long_running || spec.max_per_worker == 0 {
        return 0;
    }
    u64::from(spec.count.div_ceil(spec.max_per_worker))
}
