/*!
Whether pools have waiting work that can't be served in time.

Waiting work (what each waiting task demands, times its estimated duration)
divided by the capacity for short tasks, there or planned, is how long a job
that comes now waits. This is too long if it exceeds what the waiting jobs were
allowed on average on top of their own work. A pool is *congested* from the
moment at which some of its tasks have also lacked room for a while, until the
wait has been at most half of that for a while.
*/

use {
    crate::schedule::{
        Now, Resources, Scheduler, job_state::demand,
        team_limits::RETRY_AFTER_MS,
    },
    std::collections::BTreeMap,
};

/// How long some task must have lacked room for its pool to be congested, in
/// milliseconds: most tasks find room as others end.
const LACKS_ROOM_MS: u64 = 500;

/// How long the wait must have been short for a pool not to be congested any
/// more, in milliseconds.
const CALM_MS: u64 = 1_000;

/// Whether a pool has waiting work that can't be served in time.
#[derive(Debug, Default)]
pub(super) struct Congestion {
    pub(super) is_congested: bool,
    /// Since when the wait has been short.
    calm_since_ms: Option<u64>,
}

impl Congestion {
    fn update(&mut self, waiting: &WaitingWork, long_lack: bool, now_ms: u64) {
        let WaitingWork { wait_ms, allowed_ms, .. } = *waiting;
        if long_lack && wait_ms > allowed_ms {
            *self = Congestion { is_congested: true, calm_since_ms: None };
            return;
        }
        if wait_ms > allowed_ms / 2 {
            self.calm_since_ms = None;
            return;
        }
        let since_ms = *self.calm_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + CALM_MS {
            self.is_congested = false;
        }
    }
}

/// The work that waits in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitingWork {
    /// What its tasks demand, multiplied by milliseconds.
    work: Resources,
    jobs: u64,
    /// The sum of what its jobs were allowed on top of their own work.
    allowed_sum_ms: u64,
    allowed_ms: u64,
    pub(super) wait_ms: u64,
}

impl Scheduler {
    /// Returns whether some pool is congested, or has lacked room for long
    /// enough to be so.
    pub(super) fn may_be_congested(&self, now: Now) -> bool {
        let congestion = &self.quotas.limits.congestion;
        congestion.values().any(|pool| pool.is_congested)
            || self
                .unplaced_since_ms
                .values()
                .any(|since| now.steady_ms >= since + LACKS_ROOM_MS)
    }

    pub(super) fn update_congestion(
        &mut self,
        waiting: &BTreeMap<String, WaitingWork>,
        now: Now,
    ) {
        for pool in waiting.keys() {
            let known = &mut self.quotas.limits.congestion;
            known.entry(pool.clone()).or_default();
        }
        let is_long = |since: &u64| now.steady_ms >= since + LACKS_ROOM_MS;
        for (pool, congestion) in &mut self.quotas.limits.congestion {
            let work = waiting.get(pool).copied().unwrap_or_default();
            let since_ms = self.unplaced_since_ms.get(pool);
            let long_lack = since_ms.is_some_and(is_long);
            congestion.update(&work, long_lack, now.steady_ms);
        }
    }

    /// Returns the work that waits in each pool.
    pub(super) fn waiting_work(
        &self,
        now: Now,
    ) -> BTreeMap<String, WaitingWork> {
        let mut waiting: BTreeMap<&str, WaitingWork> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase.is_final() {
                continue;
            }
            let mut work = Resources::default();
            for (round, steps) in job.rounds.iter().enumerate() {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    let tasks = steps[step].waiting.len() as u64;
                    if tasks == 0
                        || spec.long_running
                        || !job.is_ready(round, step, now.unix_ms)
                    {
                        continue;
                    }
                    let demand = demand(spec).times(tasks);
                    work.add(&demand.times(spec.estimate_ms.max(1)));
                }
            }
            if work == Resources::default() {
                continue;
            }
            let chain_ms = job.graph.longest_path_ms();
            let objective_ms = job.terms.objective_ms(chain_ms);
            let known = waiting.entry(&job.terms.pool).or_default();
            known.work.add(&work);
            known.jobs += 1;
            known.allowed_sum_ms += objective_ms.saturating_sub(chain_ms);
        }
        let waiting = waiting.into_iter().map(|(pool, mut work)| {
            let planned = self.targets.get(pool).copied().unwrap_or(0);
            let capacity = self.pool_load(pool).short_task_capacity(planned);
            // A pool that has nothing left for short tasks serves none.
            work.wait_ms = match capacity.cpu_millis {
                0 => RETRY_AFTER_MS.1,
                _ => work.work.permille_of(&capacity) / 1_000,
            };
            work.allowed_ms = work.allowed_sum_ms / work.jobs.max(1);
            (pool.to_owned(), work)
        });
        waiting.collect()
    }
}
