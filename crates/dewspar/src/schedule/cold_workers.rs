/*!
Workers that are slow for a while after their start.

A *cold* worker has started recently, and its runs make little progress at
first. For how long follows from its directory entry. Where a pool's terms
limit how many starts a cold worker takes in a second, no more are ordered
from it. A holder doesn't know what the previous one ordered in the last second
before the takeover, so it orders no start from a limited cold worker in its
first second.

Tasks prefer warm workers where the time that a cold one loses matters compared
with their run time. A pool whose workers start cold looks that much further
ahead when it is sized, since its VMs are of use that much later.

Nothing here has an effect on a warm worker, or in a pool without terms.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Scheduler, WorkerId, job_state::demand, worker::Worker,
        },
    },
    std::collections::{BTreeMap, VecDeque},
};

/// The period to which the limit of starts applies, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// What applies to the workers of a pool after their start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdTerms {
    /// How long a worker is slow after its start, in milliseconds.
    pub start_ms: u64,
    /// The maximum number of starts per second that a worker takes meanwhile;
    /// 0 for no limit.
    pub starts_per_s: u32,
}

/// How long a worker is cold, and what was ordered from it meanwhile.
#[derive(Debug, Default)]
pub(crate) struct ColdState {
    /// Until when the worker is slow, on the holder's steady clock.
    until_ms: u64,
    /// The times of the starts within the last period, oldest first.
    starts_ms: VecDeque<u64>,
}

impl ColdState {
    /// Applies a directory entry that was requested at `asked_ms`.
    pub(super) fn relisted(&mut self, asked_ms: u64, cold_remaining_ms: u64) {
        self.until_ms = match cold_remaining_ms {
            0 => 0,
            remaining_ms => asked_ms.saturating_add(remaining_ms),
        };
    }

    /// Returns how much longer the worker is slow, in milliseconds.
    pub(super) fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }

    /// Returns until when the worker is slow.
    pub(super) fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Records a start that is ordered. Those from a warm worker count too,
    /// since it may turn cold.
    pub(super) fn record_start(&mut self, now_ms: u64) {
        let expired = |at_ms: &u64| at_ms + PERIOD_MS <= now_ms;
        while self.starts_ms.front().is_some_and(expired) {
            self.starts_ms.pop_front();
        }
        self.starts_ms.push_back(now_ms);
    }

    /// Removes the start that was recorded last, which isn't ordered.
    pub(super) fn undo_start(&mut self) {
        self.starts_ms.pop_back();
    }

    fn recent_starts(&self, now_ms: u64) -> u64 {
        let recent = |at_ms: &&u64| now_ms < **at_ms + PERIOD_MS;
        self.starts_ms.iter().filter(recent).count() as u64
    }
}

impl Scheduler {
    /// Sets the terms of the pools whose workers are slow after their start.
    pub fn configure_cold_workers(
        &mut self,
        pools: BTreeMap<String, ColdTerms>,
    ) {
        self.cold_terms = pools;
    }

    /// Returns how many more starts a worker takes now; `u64::MAX` if that
    /// isn't limited.
    pub(super) fn starts_left(&self, worker: &Worker, now: Now) -> u64 {
        if self.cold_terms.is_empty()
            || worker.cold.remaining_ms(now.steady_ms) == 0
        {
            return u64::MAX;
        }
        let terms = self.cold_terms.get(&worker.listing.pool);
        let most = terms.map_or(0, |terms| u64::from(terms.starts_per_s));
        if most == 0 {
            return u64::MAX;
        }
        if now.steady_ms < self.taken_over_ms + PERIOD_MS {
            return 0;
        }
        most.saturating_sub(worker.cold.recent_starts(now.steady_ms))
    }

    /// Returns whether a step waits only until some cold worker of its pool
    /// takes another start. Another VM wouldn't help.
    pub(super) fn waits_for_cold_worker(
        &self,
        pool: &str,
        spec: &StepSpec,
        now: Now,
    ) -> bool {
        let demand = demand(spec);
        !self.cold_terms.is_empty()
            && self.workers.in_pool(pool).any(|(_, worker)| {
                worker.is_usable()
                    && worker.free().contains(&demand)
                    && self.starts_left(worker, now) == 0
            })
    }

    /// Returns the score penalty of a worker for the time that a task of the
    /// step loses there because the worker is cold.
    pub(super) fn cold_penalty(
        &self,
        worker: &Worker,
        spec: &StepSpec,
        now: Now,
    ) -> i64 {
        let delay_ms = worker.cold.remaining_ms(now.steady_ms);
        if delay_ms == 0 {
            return 0;
        }
        self.scores_for(worker).delay(delay_ms, spec.estimate_ms)
    }

    /// Returns how far the demand on a pool is projected, in milliseconds,
    /// where `ahead_ms` is how far it is without cold workers: a VM that is
    /// ordered now is of use once it is warm.
    pub(super) fn pool_ahead_ms(&self, pool: &str, ahead_ms: u64) -> u64 {
        let cold_ms = self.cold_terms.get(pool).map_or(0, |t| t.start_ms);
        ahead_ms.saturating_add(cold_ms)
    }

    /// Returns whether a worker takes the start of one more task that is
    /// stopped elsewhere in order to move there, besides those that are already
    /// on their way.
    pub(super) fn takes_another_start(&self, id: &WorkerId, now: Now) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        match self.starts_left(worker, now) {
            u64::MAX => true,
            left => {
                let reserved = worker.reserved_tasks();
                let coming = reserved.filter(|task| !self.is_at_work(task));
                left > coming.count() as u64
            }
        }
    }

    /// Returns whether a task has a run that isn't being stopped.
    fn is_at_work(&self, task: &TaskId) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let on = state.into_iter().flat_map(|state| &state.workers);
        let workers = on.filter_map(|id| self.workers.get(id));
        let mut runs = workers.filter_map(|worker| worker.runs.get(task));
        runs.any(|run| !run.is_stopping())
    }
}
