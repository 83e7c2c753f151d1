/*!
The selection of the VMs of a wave that are drained next, and how many at a
time.

A wave has a deadline, and a maximum number of VMs that may be down. Its *pace*
is the number of remaining VMs divided by the remaining time. A faster pace
would take more from the pools at once than necessary; a slower one would end
late. Each pass selects what is due by the pace since the last pass, since a
busy node runs fewer passes.

Which VMs are selected depends on how busy their pools are, so that a pool at
its peak keeps its workers; within a pool, those with the least usage come
first.

Long-running tasks leave one after the other, and only while another worker can
take them. If they were left for the end, all of them would need another worker
at once, perhaps during a peak of their queue. So workers that hold some are
spread over the whole time, separately for each pool, and are selected when
their tasks can go to a VM that the wave won't take from them again.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Now, Scheduler, WorkerId,
            wave_state::WaveState,
            worker::{DrainReason, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// The time that a VM takes from its selection until it is back, in
/// milliseconds: short tasks to their end, the maintenance itself, and the
/// directory.
const VM_CYCLE_MS: u64 = 6_000;

/// The utilization of a pool up to which its VMs are selected while there is
/// time to wait, in percent.
pub(super) const QUIET_POOL_PERCENT: u64 = 70;

/// The ratio of the available to the needed time above which there is time to
/// wait for a quiet pool.
const SLACK_FACTOR: u64 = 2;

/// The longest gap between two passes that is caught up, in milliseconds: what
/// is due after a longer one would leave the pools all at once.
const MAX_CATCH_UP_MS: u64 = 1_000;

/// The time that it takes to drain a VM with long-running tasks, in
/// milliseconds: some six of them stop within a second each, several at a
/// time.
const LONG_RUNNING_DRAIN_MS: u64 = 4_000;

/// The maximum number of such VMs per pool that are examined in each pass:
/// each of their tasks requires a search among all workers of the pool.
const MAX_CANDIDATES: usize = 4;

/// The figures by which the VMs of a wave are selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WavePace {
    /// The time left for selecting VMs, in milliseconds.
    pub left_ms: u64,
    /// The time that the remaining VMs take one after the other, in
    /// milliseconds.
    pub needed_ms: u64,
    /// How many may be in progress at once.
    pub parallel: usize,
    /// How many are in progress: being drained, or down.
    pub under_way: usize,
    /// How many are due to be selected in this pass.
    pub due: usize,
    /// Whether there is time to wait for a quiet pool.
    pub may_wait: bool,
}

/// The workers of one pool that may be selected.
#[derive(Default)]
struct PoolCandidates<'a> {
    /// The remaining workers, the next one last.
    workers: Vec<&'a Worker>,
    /// Those with long-running tasks, the next one first.
    long_running: Vec<&'a Worker>,
    /// The number of workers with long-running tasks that are being drained.
    long_running_under_way: u64,
    /// The number of workers selected in this pass.
    selected: u64,
}

impl Scheduler {
    /// Starts to drain more workers, as many as the remaining time requires.
    pub(super) fn drain_more(&mut self, wave: u64, now: Now) {
        let Some(state) = self.waves.get(&wave) else { return };
        let selected = self.select_workers(wave, state, now);
        for id in &selected {
            self.start_drain(id, DrainReason::Maintenance(wave), now);
        }
        // After all are selected, so that no capacity is reserved on one of
        // them, and before the pools are sized: otherwise the capacity for
        // which a VM was selected could go to another pool in the same pass,
        // and the VM would be draining for the whole wave.
        for id in &selected {
            self.drain_worker(id, now);
        }
        if let Some(state) = self.waves.get_mut(&wave) {
            state.selected_ms = now.steady_ms;
        }
    }

    /// Returns the figures by which VMs of a wave are selected now.
    pub(super) fn wave_pace(
        &self,
        wave: u64,
        state: &WaveState,
        now: Now,
    ) -> WavePace {
        let left_ms = state.remaining_ms(now);
        let left = state.remaining().count() as u64;
        let needed_ms = left * VM_CYCLE_MS;
        let parallel = needed_ms.div_ceil(left_ms);
        let most = state.request.max_down;
        let parallel = usize::try_from(parallel).unwrap_or(most);
        let parallel = parallel.clamp(1, most.max(1));
        let under_way = state.down.len() + self.draining_count(wave, state);
        let gap_ms = now.steady_ms.saturating_sub(state.selected_ms);
        let due = (left * gap_ms.min(MAX_CATCH_UP_MS)).div_ceil(left_ms);
        let due = usize::try_from(due.max(1)).unwrap_or(most);
        WavePace {
            left_ms,
            needed_ms,
            parallel,
            under_way,
            due: due.min(parallel.saturating_sub(under_way)),
            may_wait: needed_ms * SLACK_FACTOR
                < left_ms.saturating_mul(parallel as u64),
        }
    }

    /// Counts the workers that are being drained and aren't down yet.
    fn draining_count(&self, wave: u64, state: &WaveState) -> usize {
        let reason = Some(DrainReason::Maintenance(wave));
        let draining = self.workers.values().filter(|worker| {
            worker.drain_reason == reason
                && !state.down.contains_key(&worker.listing.vm)
        });
        draining.count()
    }

    /// Selects the workers to drain now.
    fn select_workers(
        &self,
        wave: u64,
        state: &WaveState,
        now: Now,
    ) -> Vec<WorkerId> {
        let pace = self.wave_pace(wave, state, now);
        let mut selected = Vec::new();
        let mut pools: BTreeMap<&str, PoolCandidates> = BTreeMap::new();
        for worker in self.workers.values() {
            let vm = &worker.listing.vm;
            if worker.drain_reason == Some(DrainReason::Maintenance(wave)) {
                let pool = pools.entry(&worker.listing.pool).or_default();
                pool.long_running_under_way +=
                    u64::from(self.has_long_running_task(worker));
            }
            let eligible = worker.drain_reason.is_none()
                && !worker.in_down_hall
                && !worker.has_reservations()
                && worker.synced
                && worker.silent_since_ms.is_none()
                && state.awaits(vm);
            if !eligible {
                continue;
            }
            // A VM that was ordered counts as down until another order shows
            // whether the first was carried out, so it goes first.
            if state.is_ordered(vm) {
                selected.push(worker.id().clone());
                continue;
            }
            let pool = pools.entry(&worker.listing.pool).or_default();
            pool.workers.push(worker);
        }
        for pool in pools.values_mut() {
            pool.workers.sort_by_key(|worker| worker.used().cpu_millis);
            let long_running = pool.workers.iter().copied();
            pool.long_running = long_running
                .filter(|w| self.has_long_running_task(w))
                .collect();
            pool.workers.reverse();
        }
        let mut due = pace.due;
        for pool in pools.values_mut().take(due) {
            if let Some(worker) =
                self.next_long_running(pool, pace.left_ms, now)
            {
                selected.push(worker.id().clone());
                due -= 1;
            }
        }
        for _ in 0..due {
            let Some(worker) = self.next_worker(&mut pools, pace.may_wait)
            else {
                break;
            };
            selected.push(worker.id().clone());
        }
        selected
    }

    /// Takes the next worker from the pool that would be least utilized
    /// without it.
    fn next_worker<'a>(
        &self,
        pools: &mut BTreeMap<&'a str, PoolCandidates<'a>>,
        may_wait: bool,
    ) -> Option<&'a Worker> {
        let left = pools.iter_mut().filter(|(_, p)| !p.workers.is_empty());
        let percents = left.map(|(pool, choice)| {
            (self.pool_percent_without(pool, choice.selected + 1), choice)
        });
        let (percent, choice) =
            percents.min_by_key(|(percent, _)| *percent)?;
        if may_wait && percent > QUIET_POOL_PERCENT {
            return None;
        }
        choice.selected += 1;
        choice.workers.pop()
    }

    /// Takes a worker with long-running tasks from a pool, if one is due and
    /// its tasks can leave now.
    fn next_long_running<'a>(
        &self,
        pool: &mut PoolCandidates<'a>,
        left_ms: u64,
        now: Now,
    ) -> Option<&'a Worker> {
        let left =
            pool.long_running.len() as u64 + pool.long_running_under_way;
        let parallel = (left * LONG_RUNNING_DRAIN_MS).div_ceil(left_ms);
        if pool.long_running_under_way >= parallel {
            return None;
        }
        let tried = pool.long_running.iter().take(MAX_CANDIDATES);
        let worker = tried
            .copied()
            .find(|worker| self.can_move_for_good(worker, now))?;
        pool.workers.retain(|other| other.id() != worker.id());
        pool.selected += 1;
        Some(worker)
    }

    /// Returns whether a worker holds a long-running task.
    fn has_long_running_task(&self, worker: &Worker) -> bool {
        worker.runs.keys().any(|task| self.is_long_running(task))
    }

    fn is_long_running(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        spec.is_some_and(|spec| spec.long_running)
    }

    /// Returns whether each long-running task can leave a worker now, for a VM
    /// that it won't have to leave again.
    fn can_move_for_good(&self, worker: &Worker, now: Now) -> bool {
        let stays = |id: &WorkerId| {
            let place = self.workers.get(id);
            place.is_some_and(|p| !self.awaits_maintenance(&p.listing.vm))
        };
        let mut tasks =
            worker.runs.keys().filter(|task| self.is_long_running(task));
        tasks.all(|task| {
            !self.is_step_at_limit(task, worker.id())
                && self.best_worker_for(task, now).is_some_and(stays)
        })
    }
}
