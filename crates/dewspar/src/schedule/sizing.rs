/*!
Pool sizing: which pool each VM belongs to.

Pools peak at different times. A pool that is nearly full, or whose tasks wait,
gets VMs that are switched off, or idle ones of a pool with spare capacity. A
pool that has more than it needs switches idle VMs off, if the operator has
configured a pool for that. A VM only moves while nothing runs on it.

Long-running tasks are missed from the moment at which they don't run, and they
need few VMs compared with a queue's peak. So a VM that they lack takes
precedence over all others, and may also come from a pool that has too few for
its short tasks.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, Forecast, Now, Resources, Scheduler, Sizing, VmOrder,
            VmOrderError, VmStatus, WorkerId,
            job_state::demand,
            worker::{DrainReason, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// How long no move of a VM is ordered after one was refused, in milliseconds.
const REFUSED_MOVE_DELAY_MS: u64 = 1_000;

/// How long a holder waits for a first job before it starts to switch VMs off
/// anyway, in milliseconds.
const MAX_OBSERVATION_MS: u64 = 30_000;

/// How long a VM that was ordered to move counts as part of its new pool
/// before it arrives, in milliseconds.
const MOVE_TIMEOUT_MS: u64 = 4_000;

/// The number of VMs that are assigned to the pool with the largest deficit
/// for each one that is assigned to the pool with the smallest. With one, the
/// days on which a peak begins during a fault achieved 0.04 less of their
/// value on a site of 48 workers; with seven, as much as without any for the
/// smallest.
const VMS_TO_NEEDIEST: u32 = 7;

/// The capacity of a pool and the demand on it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolLoad {
    capacity: Resources,
    used: Resources,
    waiting: Resources,
    /// The usage expected soon, by arriving jobs and by all long-running
    /// tasks.
    forecast: Resources,
    /// The demand of all long-running tasks.
    long_running: Resources,
    /// The demand of the long-running tasks that wait.
    long_running_waiting: Resources,
    workers: u64,
}

impl PoolLoad {
    /// Returns whether at most half of the capacity is used.
    pub(super) fn is_mostly_free(&self) -> bool {
        self.capacity.contains(&self.used.times(2))
    }

    /// Returns the demand on the pool, now or soon.
    fn total_demand(&self) -> Resources {
        let now = self.used.plus(&self.long_running_waiting);
        now.component_max(&self.forecast).plus(&self.waiting)
    }

    /// Returns the demand without that of long-running tasks, which neither
    /// grows in a peak nor shrinks after it.
    fn short_task_demand(&self) -> Resources {
        self.total_demand().minus(&self.long_running)
    }

    /// Returns what a pool with this many VMs like its own has for short
    /// tasks.
    pub(super) fn short_task_capacity(&self, vms: u64) -> Resources {
        let planned = self.vm().times(vms);
        self.capacity.component_max(&planned).minus(&self.long_running)
    }

    /// Returns the number of workers of the pool that aren't about to leave
    /// it.
    pub(super) fn workers(&self) -> u64 {
        self.workers
    }

    /// Returns the average capacity of the pool's VMs.
    fn vm(&self) -> Resources {
        self.capacity.divided_by(self.workers)
    }

    /// Returns the utilization of the pool if it had `less` fewer workers, in
    /// percent.
    ///
    /// This is the utilization of all processors, or that of what long-running
    /// tasks leave of any kind of resource, whichever is higher: those tasks
    /// may take all memory, and the processors that they request keep VMs here
    /// for the next peak.
    pub(super) fn percent_without(&self, less: u64) -> u64 {
        let capacity = self.capacity.minus(&self.vm().times(less));
        let demand_cpu = self.total_demand().cpu_millis;
        let of_all =
            demand_cpu.saturating_mul(100) / capacity.cpu_millis.max(1);
        let least = Resources { cpu_millis: 1, memory_mb: 1, gpus: 1 };
        let left = capacity.minus(&self.long_running).component_max(&least);
        let of_left = self.short_task_demand().permille_of(&left) / 10;
        of_all.max(of_left)
    }

    /// Returns how many VMs like `vm` the pool needs, by the kind of resource
    /// that requires most.
    ///
    /// At most `full_percent` of all processors are to be used, and of what
    /// long-running tasks leave of the other kinds of resources.
    fn vms_needed(&self, vm: &Resources, full_percent: u64) -> u64 {
        let filled = |resources: Resources| {
            resources.times(100).divided_by(full_percent)
        };
        let of_all = filled(self.total_demand());
        let of_left =
            filled(self.short_task_demand()).plus(&self.long_running);
        let cpu_millis = of_all.cpu_millis;
        Resources { cpu_millis, ..of_left }.units_of(vm)
    }

    /// Removes a worker that is to leave.
    fn remove_worker(&mut self, capacity: &Resources) {
        self.capacity.subtract(capacity);
        self.workers = self.workers.saturating_sub(1);
    }
}

/// A move that was ordered.
#[derive(Debug)]
pub(super) struct PendingMove {
    pub(super) to: String,
    pub(super) since_ms: u64,
    /// The worker of the VM when the move was ordered.
    pub(super) worker: Option<WorkerId>,
}

impl Scheduler {
    /// Sets the pools that have queues, and those for VMs that are switched
    /// off.
    pub fn configure_pools(
        &mut self,
        serving: BTreeSet<String>,
        free: BTreeSet<String>,
    ) {
        self.serving_pools = serving;
        self.free_pools = free;
    }

    /// Sets the pools whose workers don't enforce their capacity, so that the
    /// scheduler must.
    pub fn enforce_capacity(&mut self, pools: BTreeSet<String>) {
        self.unenforced_pools = pools;
    }

    fn sizing(&self) -> &Sizing {
        &self.options.policy.sizing
    }

    /// Returns the capacity of a pool and the demand on it.
    pub(super) fn pool_load(&self, pool: &str) -> PoolLoad {
        self.pool_loads.get(pool).copied().unwrap_or_default()
    }

    /// Computes the capacity of each pool and the demand on it.
    pub(super) fn measure_pools(&mut self, now: Now) {
        // Uses a hash map with borrowed names: this looks up a pool for each
        // of thousands of workers and jobs, 20 times a second.
        let mut loads: HashMap<&str, PoolLoad> = HashMap::new();
        for worker in self.workers.values() {
            let load = loads.entry(&worker.listing.pool).or_default();
            load.used.add(worker.used());
            if worker.drain_reason.is_none()
                && !worker.listing.draining
                && !worker.in_evacuated_hall
                && !worker.in_down_hall
                && worker.silent_since_ms.is_none()
            {
                load.capacity.add(&worker.listing.capacity);
                load.workers += 1;
            }
        }
        let late_percent = self.options.policy.sizing.late_percent;
        let soon_unix_ms = now.unix_ms + self.options.policy.forecast.ahead_ms;
        let mut long_running_steps = Vec::new();
        for (id, job) in self.jobs.iter() {
            if job.phase.is_final() {
                continue;
            }
            let load = loads.entry(&job.terms.pool).or_default();
            for round in 0..job.rounds.len() {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    if spec.long_running && self.fits_any_vm(spec) {
                        let count = u64::from(spec.count);
                        load.long_running.add(&demand(spec).times(count));
                        let soon =
                            job.spec.due_ms(round as u32) <= soon_unix_ms;
                        long_running_steps.extend(soon.then_some(TaskId {
                            job: *id,
                            round: round as u32,
                            step: step as u32,
                            index: 0,
                        }));
                    }
                    let waiting = job.rounds[round][step].waiting.len() as u64;
                    if waiting == 0
                        || !job.is_ready(round, step, now.unix_ms)
                        || !self.fits_any_vm(spec)
                    {
                        continue;
                    }
                    let resources = demand(spec).times(waiting);
                    if spec.long_running {
                        load.long_running_waiting.add(&resources);
                        continue;
                    }
                    let late = now.unix_ms > job.objective_ms(round);
                    let counted = if late {
                        resources.times(late_percent).divided_by(100)
                    } else {
                        resources
                    };
                    load.waiting.add(&counted);
                }
            }
        }
        let mut loads: BTreeMap<String, PoolLoad> = loads
            .into_iter()
            .map(|(pool, load)| (pool.to_owned(), load))
            .collect();
        for load in loads.values_mut() {
            load.forecast.add(&load.long_running);
        }
        self.long_running_steps = long_running_steps;
        self.record_arrivals(now);
        for (pool, resources) in self.forecast_usage(now) {
            if let Some(load) = loads.get_mut(pool) {
                load.forecast.add(&resources);
            }
        }
        for (pool, resources) in &self.projected {
            if let Some(load) = loads.get_mut(pool) {
                load.forecast.add(resources);
            }
        }
        self.pool_loads = loads;
    }

    /// Appends the next orders that move VMs between pools.
    pub(super) fn size_pools(&mut self, now: Now, orders: &mut Vec<VmOrder>) {
        self.finish_moves(now);
        self.drop_moves_of_down_halls();
        let moves_before = self.hall_plan_stats().moves;
        let due_ms = self.last_sizing_ms + self.sizing().interval_ms;
        if now.steady_ms >= due_ms || self.has_unplanned_loss() {
            self.last_sizing_ms = now.steady_ms;
            self.report_stuck_evacuations(now);
            self.project_pools(now);
            self.compute_long_running_needs(now);
            self.count_vms_by_hall(now);
            self.update_kept_on();
            let targets = self.targets(now);
            self.record_targets(&targets);
            self.grow_pools(&targets, now, orders);
            let moves = self.hall_plan_stats().moves - moves_before;
            self.report_hall_losses(moves);
            self.check_hall_reserve(now);
            if let Some(reserve) = self.shrink_reserve(now) {
                for pool in targets.keys() {
                    self.shrink_pool(pool, reserve, now);
                }
            }
        }
        self.order_moves(now, orders);
    }

    /// Projects the demand on the pools.
    fn project_pools(&mut self, now: Now) {
        let Forecast { enabled, ahead_ms, .. } = self.options.policy.forecast;
        if enabled {
            self.projected = self.project_usage(now, ahead_ms);
            self.measure_pools(now);
        }
    }

    /// Returns how many VMs each pool keeps whatever the demand on it; `None`
    /// while it is too early to tell which VMs aren't needed.
    ///
    /// Once demand was observed for long enough, it tells how many are needed.
    /// Before the first job, each pool keeps a reserve.
    fn shrink_reserve(&mut self, now: Now) -> Option<u64> {
        if self.first_job_ms == 0 && self.has_short_jobs() {
            self.first_job_ms = now.steady_ms;
        }
        let held_ms = now.steady_ms.saturating_sub(self.taken_over_ms);
        let since_first_job_ms = match self.first_job_ms {
            0 => None,
            first_ms => Some(now.steady_ms.saturating_sub(first_ms)),
        };
        match since_first_job_ms {
            Some(since_ms) if since_ms >= self.sizing().observed_ms => Some(0),
            _ if held_ms >= MAX_OBSERVATION_MS => Some(0),
            None if held_ms >= self.sizing().quiet_ms => {
                Some(self.reserve_vms())
            }
            Some(_) | None => None,
        }
    }

    /// Returns the reserve of each pool before the first job.
    fn reserve_vms(&self) -> u64 {
        let pools = self.serving_pools.len().max(1) as u64;
        let share = (self.vms.len() as u64).div_ceil(pools);
        (share * self.sizing().reserve_percent).div_ceil(100)
    }

    fn record_targets(&mut self, targets: &BTreeMap<String, u64>) {
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
                used_cpu: load.used.cpu_millis,
                forecast_cpu: load.forecast.cpu_millis,
                waiting_cpu: load.waiting.cpu_millis,
            });
        }
        self.targets.clone_from(targets);
    }

    /// Returns the target number of VMs of each pool.
    ///
    /// While there are too few for all, each pool first gets what its
    /// long-running tasks need, and then none gets more than its equal share
    /// while another needs one.
    fn targets(&self, now: Now) -> BTreeMap<String, u64> {
        // A move that was ordered may not show in the list yet.
        let usable = self.vms.values().filter(|vm| {
            vm.status == VmStatus::Up
                && !self.pending_moves.contains_key(&vm.vm)
                && self.hall_takes_tasks(&vm.hall)
        });
        let total = usable.count() + self.pending_moves.len();
        let mut left = total as u64;
        let largest = self.largest_vm();
        let mut floors: BTreeMap<&String, u64> = BTreeMap::new();
        let mut needs: BTreeMap<&String, u64> = BTreeMap::new();
        for pool in &self.serving_pools {
            floors.insert(pool, self.long_running_need(pool).floor_vms);
            let need = self.vms_for_load(pool, &largest);
            let need = need.max(self.least_vms(pool));
            let need = need.max(self.vms_for_unplaced_tasks(pool, now));
            let need = need.max(self.vms_needed_for_unplaced(pool));
            needs.insert(pool, need);
        }
        let mut targets: BTreeMap<String, u64> = BTreeMap::new();
        self.allocate(&floors, &mut left, &mut targets);
        self.allocate(&needs, &mut left, &mut targets);
        for (pool, need) in &mut needs {
            *need += self.kept_on(pool);
        }
        self.allocate(&needs, &mut left, &mut targets);
        targets
    }

    /// Assigns the remaining VMs to pools, up to the need of each.
    fn allocate(
        &self,
        needs: &BTreeMap<&String, u64>,
        left: &mut u64,
        targets: &mut BTreeMap<String, u64>,
    ) {
        while *left > 0 {
            let least = needs
                .iter()
                .filter(|(pool, need)| {
                    targets.get(**pool).copied().unwrap_or(0) < **need
                })
                .min_by_key(|(pool, _)| {
                    let has = targets.get(**pool).copied().unwrap_or(0);
                    if self.sizing().equal_shares { has } else { 0 }
                });
            let Some((pool, _)) = least else { return };
            match targets.get_mut(*pool) {
                Some(target) => *target += 1,
                None => {
                    targets.insert((*pool).clone(), 1);
                }
            }
            *left -= 1;
        }
    }

    /// Returns how many VMs a pool needs to stay below its maximum
    /// utilization, by the kind of resource that requires most.
    fn vms_for_load(&self, pool: &str, largest: &Resources) -> u64 {
        let load = self.pool_load(pool);
        let vm = load.vm().component_max(largest);
        load.vms_needed(&vm, self.sizing().full_percent)
    }

    /// Returns how many VMs hold what runs in a pool.
    pub(super) fn vms_for_use(&self, pool: &str, largest: &Resources) -> u64 {
        let load = self.pool_load(pool);
        let vm = load.vm().component_max(largest);
        let full_percent = self.sizing().full_percent;
        load.used.times(100).divided_by(full_percent).units_of(&vm)
    }

    /// Returns how many VMs a pool needs that can't place some task: as many
    /// more as its long-running tasks lack, or one more than it has if other
    /// tasks couldn't be placed for long.
    fn vms_for_unplaced_tasks(&self, pool: &str, now: Now) -> u64 {
        let lacking = self.long_running_need(pool).lacking_vms;
        if lacking > 0 {
            return self.pool_size(pool) + lacking;
        }
        let since_ms = self.unplaced_since_ms.get(pool);
        let long = since_ms.is_some_and(|since| {
            now.steady_ms >= since + self.sizing().without_place_ms
                || self.any_hall_down()
        });
        if long { self.pool_load(pool).workers + 1 } else { 0 }
    }

    /// Returns the largest amount of each kind of resource that a VM has.
    pub(super) fn largest_vm(&self) -> Resources {
        let capacities = self.vms.values().map(|vm| vm.capacity);
        capacities.fold(Resources::default(), |most, resources| {
            most.component_max(&resources)
        })
    }

    /// Returns how many VMs a pool has or is about to have.
    fn pool_size(&self, pool: &str) -> u64 {
        let load = self.pool_load(pool);
        let coming =
            self.pending_moves.values().filter(|m| m.to == pool).count();
        let leaving = self.workers.values().filter(|worker| {
            worker.drain_reason == Some(DrainReason::Move(pool.to_owned()))
                && !worker.in_down_hall
                && !self.pending_moves.contains_key(&worker.listing.vm)
        });
        load.workers + (coming + leaving.count()) as u64
    }

    /// Moves VMs to pools that are below their target, first to those whose
    /// long-running tasks need them.
    fn grow_pools(
        &mut self,
        targets: &BTreeMap<String, u64>,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        self.grow_for_long_running(targets, now, orders);
        self.grow_to_targets(targets, now, orders);
    }

    /// Moves the VMs that long-running tasks lack, first to the pool that
    /// lacks fewest.
    fn grow_for_long_running(
        &mut self,
        targets: &BTreeMap<String, u64>,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let pools = self.serving_pools.iter();
        let mut deficits: Vec<(u64, String)> = pools
            .map(|pool| (self.long_running_deficit(pool), pool.clone()))
            .filter(|(deficit, _)| *deficit > 0)
            .collect();
        deficits.sort_unstable();
        for (deficit, pool) in deficits {
            let added = (0..deficit).take_while(|_| {
                self.add_vm(&pool, targets, now, orders)
                    || self.take_vm_from_short_tasks(&pool, now)
            });
            let _ = added.count();
        }
    }

    /// Returns how many VMs a pool lacks for long-running tasks.
    fn long_running_deficit(&self, pool: &str) -> u64 {
        self.long_running_need(pool).lacking_vms.max(self.floor_deficit(pool))
    }

    fn floor_deficit(&self, pool: &str) -> u64 {
        let floor = self.long_running_need(pool).floor_vms;
        floor.saturating_sub(self.pool_size(pool))
    }

    /// Moves a VM to a pool whose long-running tasks need more than it has,
    /// from a pool that has more than its long-running tasks need.
    fn take_vm_from_short_tasks(&mut self, pool: &str, now: Now) -> bool {
        if self.floor_deficit(pool) == 0 {
            return false;
        }
        let Some(id) = self.spare_short_task_worker(pool, now) else {
            return false;
        };
        self.drain_to_move(&id, pool, now);
        true
    }

    /// Returns the least used worker without long-running tasks, of a pool
    /// that has more VMs than its long-running tasks need.
    fn spare_short_task_worker(
        &self,
        pool: &str,
        now: Now,
    ) -> Option<WorkerId> {
        let over = |from: &str| {
            let floor = self.long_running_need(from).floor_vms;
            let least = floor.max(self.sizing().least_vms);
            self.pool_load(from).workers > least
        };
        self.least_used_elsewhere(pool, over, now)
    }

    /// Moves VMs to pools that are below their target: to the one with the
    /// largest deficit, and regularly to the one with the smallest, so that a
    /// small need doesn't wait until a large one is met.
    fn grow_to_targets(
        &mut self,
        targets: &BTreeMap<String, u64>,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let mut deficits: Vec<(u64, &String)> = targets
            .iter()
            .map(|(pool, target)| {
                (target.saturating_sub(self.pool_size(pool)), pool)
            })
            .filter(|(deficit, _)| *deficit > 0)
            .collect();
        deficits.sort_unstable();
        while !deficits.is_empty() {
            let most = deficits.len() - 1;
            let serve_smallest = self.vms_to_neediest >= VMS_TO_NEEDIEST;
            let (deficit, pool) =
                deficits.remove(if serve_smallest { 0 } else { most });
            if !self.add_vm(pool, targets, now, orders) {
                continue;
            }
            self.vms_to_neediest =
                if serve_smallest { 0 } else { self.vms_to_neediest + 1 };
            if deficit > 1 {
                deficits.push((deficit - 1, pool));
                deficits.sort_unstable();
            }
        }
    }

    /// Moves a VM to a pool: one that is switched off, or one that another
    /// pool can spare. Returns whether there was one.
    fn add_vm(
        &mut self,
        pool: &str,
        targets: &BTreeMap<String, u64>,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) -> bool {
        if let Some(vm) = self.switched_off_vm(pool, now) {
            self.note_vm_moves(&vm, pool);
            self.order_move(&vm, pool, now, orders);
            return true;
        }
        let Some(id) = self.spare_worker(pool, targets, now) else {
            return false;
        };
        self.drain_to_move(&id, pool, now);
        true
    }

    /// Drains a worker whose VM is to move.
    pub(super) fn drain_to_move(&mut self, id: &WorkerId, to: &str, now: Now) {
        self.start_drain(id, DrainReason::Move(to.to_owned()), now);
        let vm = self.workers.get(id).map(|w| w.listing.vm.clone());
        if let Some(vm) = vm {
            self.note_vm_moves(&vm, to);
        }
        let Some(worker) = self.workers.get(id) else { return };
        if worker.in_evacuated_hall {
            // It isn't part of the load.
            return;
        }
        let load = self.pool_loads.get_mut(&worker.listing.pool);
        if let Some(load) = load {
            load.remove_worker(&worker.listing.capacity);
        }
    }

    fn finish_moves(&mut self, now: Now) {
        let (vms, workers) = (&self.vms, &self.workers);
        self.pending_moves.retain(|vm, moving| {
            let there = vms.get(vm).is_some_and(|vm| {
                let mut worker = vm.worker.iter();
                vm.pool == moving.to
                    && vm.status == VmStatus::Up
                    && worker.all(|id| workers.contains_key(id))
            });
            let late = now.steady_ms > moving.since_ms + MOVE_TIMEOUT_MS;
            !there && !late
        });
    }

    /// Returns a VM that is switched off and may move to the pool.
    fn switched_off_vm(&self, pool: &str, now: Now) -> Option<String> {
        if self.tolerates_hall_loss() {
            return self.spread_switched_off_vm(pool);
        }
        self.vms
            .values()
            .filter(|vm| self.free_pools.contains(&vm.pool))
            .filter(|vm| vm.status == VmStatus::Up)
            .filter(|vm| !self.pending_moves.contains_key(&vm.vm))
            .filter(|vm| self.hall_takes_tasks(&vm.hall))
            .filter(|vm| !self.is_move_refused(&vm.vm, pool))
            .filter(|vm| self.may_order_vm(&vm.vm, now))
            .filter(|vm| !self.awaits_maintenance(&vm.vm))
            .map(|vm| vm.vm.clone())
            .next()
    }

    /// Returns the least used worker of a pool above its target, without
    /// long-running tasks.
    fn spare_worker(
        &self,
        pool: &str,
        targets: &BTreeMap<String, u64>,
        now: Now,
    ) -> Option<WorkerId> {
        let over = |from: &str| {
            let target = targets.get(from).copied().unwrap_or(0);
            self.pool_load(from).workers > target
        };
        self.least_used_elsewhere(pool, over, now)
    }

    /// Returns the least used worker of the other pools that may give one,
    /// without long-running tasks.
    fn least_used_elsewhere(
        &self,
        pool: &str,
        may_give: impl Fn(&str) -> bool,
        now: Now,
    ) -> Option<WorkerId> {
        let pools = self.pool_loads.keys();
        let giving: BTreeSet<&str> = pools
            .map(String::as_str)
            .filter(|from| *from != pool && may_give(from))
            .collect();
        if giving.is_empty() {
            return None;
        }
        self.workers
            .values()
            .filter(|worker| giving.contains(worker.listing.pool.as_str()))
            .filter(|worker| worker.is_usable() && !worker.has_reservations())
            .filter(|worker| self.may_order_vm(&worker.listing.vm, now))
            .filter(|worker| !self.is_move_refused(&worker.listing.vm, pool))
            .filter(|worker| !self.runs_long_running_task(worker))
            .min_by_key(|worker| {
                (worker.used().cpu_millis, self.leaving_rank(worker, pool))
            })
            .map(|worker| worker.id().clone())
    }

    fn runs_long_running_task(&self, worker: &Worker) -> bool {
        worker.runs.keys().any(|task| {
            self.jobs
                .get(&task.job)
                .and_then(|job| job.step_spec(task))
                .is_some_and(|spec| spec.long_running)
        })
    }

    /// Returns the minimum number of VMs of a pool.
    fn least_vms(&self, pool: &str) -> u64 {
        self.long_running_need(pool).floor_vms.max(self.sizing().least_vms)
    }

    pub(super) fn may_switch_off(
        &self,
        worker: &Worker,
        reserve: u64,
        now: Now,
    ) -> bool {
        let pool = &worker.listing.pool;
        let is_idle = worker.is_in_service()
            && worker.is_settled()
            && now.steady_ms >= worker.idle_since_ms + self.sizing().idle_ms;
        if worker.in_evacuated_hall {
            // Without a hall that is left, the VMs are needed again as soon as
            // any hall is restored.
            return is_idle
                && self.has_hall_left()
                && !self.awaits_maintenance(&worker.listing.vm);
        }
        is_idle
            && self.pool_load(pool).workers > self.least_vms(pool).max(reserve)
            && self.pool_load(pool).workers > self.kept_on_target(pool)
            && self.pool_percent_without(pool, 1)
                <= self.sizing().spare_percent
            && !self.awaits_maintenance(&worker.listing.vm)
    }

    /// Switches off idle VMs of a pool that has more than it needs.
    fn shrink_pool(&mut self, pool: &str, reserve: u64, now: Now) {
        let most =
            self.pool_load(pool).workers / self.sizing().leaving_divisor + 1;
        if self.tolerates_hall_loss() {
            self.shrink_spread_pool(pool, (reserve, most), now);
            return;
        }
        for _ in 0..most {
            if !self.switch_off_one(pool, reserve, now) {
                return;
            }
        }
    }

    /// Switches off one idle VM of a pool; returns whether there was one.
    fn switch_off_one(&mut self, pool: &str, reserve: u64, now: Now) -> bool {
        let Some(free) = self.free_pools.first().cloned() else {
            return false;
        };
        // Lazy, since this is called for each VM of a large pool that leaves.
        let first = |cold: bool| {
            self.workers
                .values()
                .filter(|worker| worker.listing.pool == pool)
                .filter(|worker| {
                    (worker.cold.remaining_ms(now.steady_ms) > 0) == cold
                })
                .filter(|worker| self.may_switch_off(worker, reserve, now))
                .find(|worker| {
                    !self.is_move_refused(&worker.listing.vm, &free)
                })
        };
        // A cold worker is of less use.
        let idle = first(true).or_else(|| first(false));
        let Some(id) = idle.map(|worker| worker.id().clone()) else {
            return false;
        };
        self.drain_to_move(&id, &free, now);
        true
    }

    /// Orders the moves of workers that were drained for them.
    fn order_moves(&mut self, now: Now, orders: &mut Vec<VmOrder>) {
        let ready: Vec<(String, String)> = self
            .workers
            .values()
            .filter(|worker| worker.is_settled() && !worker.in_down_hall)
            .filter_map(|worker| match &worker.drain_reason {
                Some(DrainReason::Move(pool)) => {
                    Some((worker.listing.vm.clone(), pool.clone()))
                }
                _ => None,
            })
            .filter(|(vm, _)| !self.pending_moves.contains_key(vm))
            .filter(|(vm, _)| self.may_order_vm(vm, now))
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
        let worker = self.worker_on(vm).map(|worker| worker.id().clone());
        self.pending_moves
            .insert(vm.to_owned(), PendingMove { to, since_ms, worker });
        orders
            .push(VmOrder::Move { vm: vm.to_owned(), pool: pool.to_owned() });
    }

    pub(super) fn is_move_refused(&self, vm: &str, pool: &str) -> bool {
        self.refused_moves.contains(&(vm.to_owned(), pool.to_owned()))
    }

    /// Orders no changes of a VM for a moment.
    fn postpone_vm_orders(&mut self, vm: &str, now: Now) {
        let until_ms = now.steady_ms + REFUSED_MOVE_DELAY_MS;
        self.vm_orders_from_ms.insert(vm.to_owned(), until_ms);
    }

    /// Handles the result of an order to move a VM.
    pub fn move_answered(
        &mut self,
        vm: &str,
        pool: &str,
        result: Result<(), VmOrderError>,
        now: Now,
    ) {
        // The move may have been carried out earlier, by a former holder's
        // order; the list of VMs shows which worker ended, if any.
        let Err(error) = result else { return };
        if error == VmOrderError::Invalid {
            self.refused_moves.insert((vm.to_owned(), pool.to_owned()));
        }
        // The move may have been carried out, which the list will show as
        // well.
        if error == VmOrderError::Unknown {
            return;
        }
        let moving = self.pending_moves.remove(vm);
        self.cancel_drain(moving.and_then(|moving| moving.worker));
        self.postpone_vm_orders(vm, now);
    }

    /// Cancels the drain of a worker that was to leave.
    fn cancel_drain(&mut self, id: Option<WorkerId>) {
        let worker = id.and_then(|id| self.workers.get_mut(&id));
        if let Some(worker) = worker {
            worker.drain_reason = None;
        }
    }
}
