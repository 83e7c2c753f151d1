/*!
How many VMs the tasks that are to last need.

Such a task is missing from the moment at which it doesn't run, and it waits in
vain for others of its kind to end. So its pool needs so many VMs that all of
them have a place, whatever else is asked for. Processors alone don't tell how
many: memory or GPUs may end first, and at most so many tasks of a step stand on
one worker.

So they are put on VMs in thought: what runs stays where it is, the rest goes
beside it where it fits, and on further VMs where it doesn't, the largest first.
A pool's *floor* is how many VMs that takes, were nothing else there. What it
*lacks at once* is how many VMs would have to be added for those that could
start this moment, beside all that runs.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Resources, Scheduler, WorkerId,
            job_state::{Job, demand},
            placement::has_label,
            worker::{Purpose, Worker},
        },
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
    },
};

/// What the tasks of a pool that are to last need of VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastingNeed {
    /// The fewest VMs that hold them all.
    pub(super) floor_vms: u64,
    /// How many more VMs those need that could start now and find no place.
    pub(super) lacking_vms: u64,
}

/// The tasks of one step, as they are to be put on VMs.
struct Part<'a> {
    first: TaskId,
    spec: &'a StepSpec,
    demand: Resources,
    /// How many run on no worker that stays.
    unplaced: u64,
    /// How many of these could start now.
    waiting: u64,
}

/// The parts of a pool, and the workers that they run on.
#[derive(Default)]
struct PoolParts<'a> {
    parts: Vec<Part<'a>>,
    /// The workers that stay, each with what is to last there.
    on: HashMap<&'a WorkerId, Resources>,
}

/// A VM that tasks are put on in thought.
struct Bin<'a> {
    free: Resources,
    /// Its worker; `None` for one that is to come.
    worker: Option<&'a Worker>,
}

impl Bin<'_> {
    /// Puts as many of so many tasks here as fit; returns how many do.
    fn take(&mut self, part: &Part, count: u64) -> u64 {
        let label = &part.spec.required_label;
        if self.worker.is_some_and(|worker| !has_label(worker, label)) {
            return 0;
        }
        let fitting = self.free.count_fitting(&part.demand);
        let taken = count.min(fitting).min(self.siblings_left(part));
        self.free.subtract(&part.demand.times(taken));
        taken
    }

    /// Returns how many more tasks of a step may stand here.
    fn siblings_left(&self, part: &Part) -> u64 {
        let most = u64::from(part.spec.max_per_worker);
        if most == 0 {
            return u64::MAX;
        }
        let here = self.worker.map_or(0, |w| w.runs_of_step(&part.first));
        most.saturating_sub(here as u64)
    }
}

/// Puts tasks on VMs, each on the first that has room; returns how many have to
/// be added for that.
fn added_vms<'a>(
    mut bins: Vec<Bin<'a>>,
    parts: &[(&Part, u64)],
    vms: &[Resources],
) -> u64 {
    let Some(smallest) = smallest(parts) else { return 0 };
    let mut added = 0;
    for (part, count) in parts {
        let mut left = *count;
        // What is full isn't looked at again: else each step looks at all VMs
        // that the steps before it have filled.
        bins.retain_mut(|bin| {
            left -= bin.take(part, left);
            bin.free.contains(&smallest)
        });
        let fitting = vms.iter().filter(|vm| vm.contains(&part.demand));
        let Some(vm) = fitting.max_by_key(|vm| vm.cpu_millis) else {
            continue;
        };
        while left > 0 {
            let mut bin = Bin { free: *vm, worker: None };
            left -= bin.take(part, left);
            added += 1;
            bins.push(bin);
        }
    }
    added
}

/// Returns the least of each kind of room that some task asks for.
fn smallest(parts: &[(&Part, u64)]) -> Option<Resources> {
    let demands = parts.iter().map(|(part, _)| part.demand);
    demands.reduce(|least, demand| least.component_min(&demand))
}

impl Scheduler {
    /// Works out what each pool's tasks that are to last need.
    pub(super) fn measure_lasting(&mut self, now: Now) {
        let pools = self.lasting_parts(now);
        let needs = pools.iter().map(|(pool, parts)| {
            let need = LastingNeed {
                floor_vms: self.floor_vms(parts),
                lacking_vms: self.lacking_vms(pool, parts, now),
            };
            ((*pool).to_owned(), need)
        });
        self.long_running_needs = needs.collect();
    }

    /// Returns what a pool's tasks that are to last need.
    pub(super) fn lasting_need(&self, pool: &str) -> LastingNeed {
        self.long_running_needs.get(pool).copied().unwrap_or_default()
    }

    /// Returns the tasks that are to last, by their pools, the largest first.
    fn lasting_parts(&self, now: Now) -> BTreeMap<&str, PoolParts<'_>> {
        let mut pools: BTreeMap<&str, PoolParts> = BTreeMap::new();
        for first in &self.long_running_steps {
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let pool = pools.entry(&job.terms.pool).or_default();
            let part = self.lasting_part(job, *first, &mut pool.on, now);
            pool.parts.extend(part);
        }
        for pool in pools.values_mut() {
            pool.parts.sort_by_key(|part| Reverse(self.share(&part.demand)));
        }
        pools
    }

    /// Returns a step's tasks, and notes on which workers they stay.
    fn lasting_part<'a>(
        &'a self,
        job: &'a Job,
        first: TaskId,
        on: &mut HashMap<&'a WorkerId, Resources>,
        now: Now,
    ) -> Option<Part<'a>> {
        let spec = job.step_spec(&first)?;
        let step = job.step(&first)?;
        let demand = demand(spec);
        let mut unplaced = 0;
        for task in step.tasks.iter().filter(|task| !task.done) {
            let staying = task.on.iter().filter_map(|id| {
                let worker = self.workers.get(id)?;
                let stays = worker.is_usable()
                    && worker.listing.pool == job.terms.pool;
                stays.then(|| worker.id())
            });
            let mut stays = false;
            for worker in staying {
                on.entry(worker).or_default().add(&demand);
                stays = true;
            }
            unplaced += u64::from(!stays);
        }
        let (round, index) = (first.round as usize, first.step as usize);
        let ready = job.is_ready(round, index, now.unix_ms);
        let may_start = ready && !self.is_unaccounted_for(job, spec, now);
        let task = |index: &u32| TaskId { index: *index, ..first };
        let without_place = step
            .waiting
            .iter()
            .filter(|index| self.places.place_of(&task(index)).is_none());
        let waiting = if may_start { without_place.count() as u64 } else { 0 };
        Some(Part { first, spec, demand, unplaced, waiting })
    }

    /// Returns which part of the largest VM a task takes, in thousandths of
    /// the kind of room that it takes most of.
    fn share(&self, demand: &Resources) -> u64 {
        let largest = self.capacities.iter();
        let largest =
            largest.fold(Resources::default(), |a, b| a.component_max(b));
        demand.permille_of(&largest)
    }

    fn floor_vms(&self, pool: &PoolParts) -> u64 {
        let bins = pool.on.iter().filter_map(|(id, used)| {
            let worker = self.workers.get(id)?;
            let free = worker.listing.capacity.minus(used);
            Some(Bin { free, worker: Some(worker) })
        });
        let mut bins: Vec<Bin> = bins.collect();
        bins.sort_by_key(|bin| bin.worker.map(Worker::id));
        let occupied = bins.len() as u64;
        let parts = pool.parts.iter().map(|part| (part, part.unplaced));
        let parts: Vec<_> = parts.filter(|(_, count)| *count > 0).collect();
        occupied + added_vms(bins, &parts, &self.capacities)
    }

    fn lacking_vms(&self, pool: &str, parts: &PoolParts, now: Now) -> u64 {
        let waiting = parts.parts.iter().map(|part| (part, part.waiting));
        let waiting: Vec<_> =
            waiting.filter(|(_, count)| *count > 0).collect();
        if waiting.is_empty() {
            return 0;
        }
        let workers = self.workers.in_pool(pool);
        let staying = workers.filter(|(_, worker)| is_there_soon(worker, now));
        let bins = staying.map(|(_, worker)| Bin {
            free: worker.free(),
            worker: Some(worker),
        });
        let coming = self.coming_rooms(pool);
        let coming = coming.map(|free| Bin { free, worker: None });
        let bins = bins.chain(coming).collect();
        added_vms(bins, &waiting, &self.capacities)
    }

    /// Returns the room of each VM that is on its way to a pool.
    fn coming_rooms(&self, pool: &str) -> impl Iterator<Item = Resources> {
        let ordered =
            self.pending_moves.iter().filter(move |(_, m)| m.to == pool);
        let ordered =
            ordered.filter_map(|(vm, _)| Some(self.vms.get(vm)?.capacity));
        let leaving = self.workers.values().filter(move |worker| {
            matches!(&worker.emptying, Some(Purpose::Move(to)) if to == pool)
                && !self.pending_moves.contains_key(&worker.listing.vm)
        });
        ordered.chain(leaving.map(|worker| worker.listing.capacity))
    }
}

/// Returns whether a worker takes orders, or will once it has answered.
fn is_there_soon(worker: &Worker, now: Now) -> bool {
    let asked = !worker.is_accounted_for() || worker.is_fencing();
    let stays = worker.emptying.is_none()
        && !worker.listing.draining
        && worker.silent_since_ms.is_none();
    stays && (asked || worker.takes_orders(now.steady_ms))
}
