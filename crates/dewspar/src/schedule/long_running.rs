/*!
Sizing of pools for long-running tasks.

A long-running task is down from the moment at which it doesn't run, and it
would wait in vain for others of its kind to end. Its pool therefore needs
enough VMs to hold all of them at the same time, whatever other demand there
is. Processor time alone doesn't determine that number: memory or GPUs may be
exhausted first, and the number of tasks of a step on one worker may be
limited.

The number is found by bin packing. Running tasks stay where they are; the rest
is placed beside them where it fits and on additional VMs where it doesn't, the
largest tasks first. The *floor* of a pool is the number of VMs for its
long-running tasks alone. The number of *lacking* VMs is how many would have to
be added for the tasks that could start now, with everything else that runs
taken into account.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Resources, Scheduler, WorkerId,
            job_state::{Job, demand},
            placement::has_label,
            worker::{DrainReason, Worker},
        },
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
    },
};

/// The VMs that the long-running tasks of a pool need.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LongRunningNeed {
    /// The minimum number of VMs that hold all of them.
    pub(super) floor_vms: u64,
    /// The number of additional VMs for the tasks that could start now and
    /// have no room.
    pub(super) lacking_vms: u64,
}

/// The tasks of one step to be packed.
struct StepDemand<'a> {
    first: TaskId,
    spec: &'a StepSpec,
    demand: Resources,
    /// The number of tasks that don't run on a worker that stays.
    unplaced: u64,
    /// The number of unplaced tasks that could start now.
    waiting: u64,
}

/// The steps of a pool, and the workers on which their tasks run.
#[derive(Default)]
struct PoolDemand<'a> {
    steps: Vec<StepDemand<'a>>,
    /// The workers that stay, with what their long-running tasks use.
    used_by_worker: HashMap<&'a WorkerId, Resources>,
}

/// A VM into which tasks are packed.
struct Bin<'a> {
    free: Resources,
    /// Its worker; `None` for a VM that is yet to come.
    worker: Option<&'a Worker>,
}

impl Bin<'_> {
    /// Packs as many of the tasks as fit, up to `count`. Returns how many do.
    fn take(&mut self, step: &StepDemand, count: u64) -> u64 {
        let label = &step.spec.required_label;
        if self.worker.is_some_and(|worker| !has_label(worker, label)) {
            return 0;
        }
        let fitting = self.free.count_fitting(&step.demand);
        let taken = count.min(fitting).min(self.siblings_left(step));
        self.free.subtract(&step.demand.times(taken));
        taken
    }

    /// Returns how many more tasks of a step may run here.
    fn siblings_left(&self, step: &StepDemand) -> u64 {
        let most = u64::from(step.spec.max_per_worker);
        if most == 0 {
            return u64::MAX;
        }
        let here = self.worker.map_or(0, |w| w.runs_of_step(&step.first));
        most.saturating_sub(here as u64)
    }
}

/// Packs tasks by first fit. Returns the number of VMs that had to be added.
fn added_vms<'a>(
    mut bins: Vec<Bin<'a>>,
    steps: &[(&StepDemand, u64)],
    vms: &[Resources],
) -> u64 {
    let Some(smallest) = smallest(steps) else { return 0 };
    let mut added = 0;
    for (step, count) in steps {
        let mut left = *count;
        // Full VMs are dropped; otherwise each step would examine all VMs that
        // the steps before it have filled.
        bins.retain_mut(|bin| {
            left -= bin.take(step, left);
            bin.free.contains(&smallest)
        });
        let fitting = vms.iter().filter(|vm| vm.contains(&step.demand));
        let Some(vm) = fitting.max_by_key(|vm| vm.cpu_millis) else {
            continue;
        };
        while left > 0 {
            let mut bin = Bin { free: *vm, worker: None };
            left -= bin.take(step, left);
            added += 1;
            bins.push(bin);
        }
    }
    added
}

/// Returns the minimum of each resource over the demands of all tasks.
fn smallest(steps: &[(&StepDemand, u64)]) -> Option<Resources> {
    let demands = steps.iter().map(|(step, _)| step.demand);
    demands.reduce(|least, demand| least.component_min(&demand))
}

impl Scheduler {
    /// Computes the needs of the long-running tasks of each pool.
    pub(super) fn compute_long_running_needs(&mut self, now: Now) {
        let pools = self.long_running_demand(now);
        let needs = pools.iter().map(|(pool, demand)| {
            let need = LongRunningNeed {
                floor_vms: self.floor_vms(demand),
                lacking_vms: self.lacking_vms(pool, demand, now),
            };
            ((*pool).to_owned(), need)
        });
        self.long_running_needs = needs.collect();
    }

    /// Returns the needs of the long-running tasks of a pool.
    pub(super) fn long_running_need(&self, pool: &str) -> LongRunningNeed {
        self.long_running_needs.get(pool).copied().unwrap_or_default()
    }

    /// Returns the long-running tasks by pool, the largest first.
    fn long_running_demand(&self, now: Now) -> BTreeMap<&str, PoolDemand<'_>> {
        let mut pools: BTreeMap<&str, PoolDemand> = BTreeMap::new();
        for first in &self.long_running_steps {
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let pool = pools.entry(&job.terms.pool).or_default();
            let step =
                self.step_demand(job, *first, &mut pool.used_by_worker, now);
            pool.steps.extend(step);
        }
        for pool in pools.values_mut() {
            pool.steps.sort_by_key(|step| {
                Reverse(self.dominant_share(&step.demand))
            });
        }
        pools
    }

    /// Returns the demand of a step, and adds its tasks on workers that stay
    /// to `used_by_worker`.
    fn step_demand<'a>(
        &'a self,
        job: &'a Job,
        first: TaskId,
        used_by_worker: &mut HashMap<&'a WorkerId, Resources>,
        now: Now,
    ) -> Option<StepDemand<'a>> {
        let spec = job.step_spec(&first)?;
        let step = job.step(&first)?;
        let demand = demand(spec);
        let mut unplaced = 0;
        for task in step.tasks.iter().filter(|task| !task.done) {
            let staying = task.workers.iter().filter_map(|id| {
                let worker = self.workers.get(id)?;
                let stays = worker.is_usable()
                    && worker.listing.pool == job.terms.pool;
                stays.then(|| worker.id())
            });
            let mut stays = false;
            for worker in staying {
                used_by_worker.entry(worker).or_default().add(&demand);
                stays = true;
            }
            unplaced += u64::from(!stays);
        }
        let (round, index) = (first.round as usize, first.step as usize);
        let ready = job.is_ready(round, index, now.unix_ms);
        let may_start =
            ready && !self.may_run_from_former_lease(job, spec, now);
        let task = |index: &u32| TaskId { index: *index, ..first };
        let without_place = step.waiting.iter().filter(|index| {
            self.reservations.worker_for(&task(index)).is_none()
        });
        let waiting = if may_start { without_place.count() as u64 } else { 0 };
        Some(StepDemand { first, spec, demand, unplaced, waiting })
    }

    /// Returns the share of the largest VM that a task takes of its dominant
    /// resource, in thousandths.
    fn dominant_share(&self, demand: &Resources) -> u64 {
        let largest = self.capacities.iter();
        let largest =
            largest.fold(Resources::default(), |a, b| a.component_max(b));
        demand.permille_of(&largest)
    }

    fn floor_vms(&self, pool: &PoolDemand) -> u64 {
        let bins = pool.used_by_worker.iter().filter_map(|(id, used)| {
            let worker = self.workers.get(id)?;
            let free = worker.listing.capacity.minus(used);
            Some(Bin { free, worker: Some(worker) })
        });
        let mut bins: Vec<Bin> = bins.collect();
        bins.sort_by_key(|bin| bin.worker.map(Worker::id));
        let occupied = bins.len() as u64;
        let steps = pool.steps.iter().map(|step| (step, step.unplaced));
        let steps: Vec<_> = steps.filter(|(_, count)| *count > 0).collect();
        occupied + added_vms(bins, &steps, &self.capacities)
    }

    fn lacking_vms(&self, pool: &str, demand: &PoolDemand, now: Now) -> u64 {
        let waiting = demand.steps.iter().map(|step| (step, step.waiting));
        let waiting: Vec<_> =
            waiting.filter(|(_, count)| *count > 0).collect();
        if waiting.is_empty() {
            return 0;
        }
        let workers = self.workers.in_pool(pool);
        let staying =
            workers.filter(|(_, worker)| is_available_soon(worker, now));
        let bins = staying.map(|(_, worker)| Bin {
            free: worker.free(),
            worker: Some(worker),
        });
        let coming = self.incoming_rooms(pool);
        let coming = coming.map(|free| Bin { free, worker: None });
        let bins = bins.chain(coming).collect();
        added_vms(bins, &waiting, &self.capacities)
    }

    /// Returns the capacity of each VM that is on its way to a pool.
    fn incoming_rooms(&self, pool: &str) -> impl Iterator<Item = Resources> {
        let ordered =
            self.pending_moves.iter().filter(move |(_, m)| m.to == pool);
        let ordered =
            ordered.filter_map(|(vm, _)| Some(self.vms.get(vm)?.capacity));
        let leaving = self.workers.values().filter(move |worker| {
            matches!(
                &worker.drain_reason,
                Some(DrainReason::Move(to)) if to == pool
            ) && !worker.in_down_hall
                && !self.pending_moves.contains_key(&worker.listing.vm)
        });
        ordered.chain(leaving.map(|worker| worker.listing.capacity))
    }
}

/// Returns whether a worker accepts starts, or will once it has answered.
fn is_available_soon(worker: &Worker, now: Now) -> bool {
    let asked = !worker.runs_are_known() || worker.is_fencing();
    let stays = worker.drain_reason.is_none()
        && !worker.listing.draining
        && !worker.in_evacuated_hall
        && !worker.in_down_hall
        && worker.silent_since_ms.is_none();
    stays && (asked || worker.accepts_starts(now.steady_ms))
}
