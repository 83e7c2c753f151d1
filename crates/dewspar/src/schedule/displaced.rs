/*!
Pools that have no other place for what a VM that is needed runs.

A task that is to last leaves a worker that is emptied only once another can
take it. Nothing of its pool waits meanwhile, and its pool may have processors
to spare but no memory, or no worker without a task of the same step; so what
is asked of the pool doesn't show that it lacks a VM. It is therefore looked for
here, and the pool gets one more VM, as one does whose tasks wait.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Now, Scheduler,
            worker::{Purpose, RunState, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How often it is looked for, in milliseconds: as often as the pools' sizes
/// are looked at. A look goes over a pool's workers for each such task.
const LOOK_INTERVAL_MS: u64 = 200;

/// The pools that have no other place for some task that is to leave.
#[derive(Debug, Default)]
pub(super) struct Displaced {
    looked_at_ms: u64,
    /// Since when each of them has none.
    since_ms: BTreeMap<String, u64>,
}

impl Displaced {
    /// Returns since when a pool has no other place, if so.
    pub(super) fn since_ms(&self, pool: &str) -> Option<u64> {
        self.since_ms.get(pool).copied()
    }
}

impl Scheduler {
    /// Looks for pools that have no other place for what is to leave.
    pub(super) fn note_displaced(&mut self, now: Now) {
        let due_ms = self.displaced.looked_at_ms + LOOK_INTERVAL_MS;
        if now.steady_ms < due_ms {
            return;
        }
        let pools = self.pools_without_other_place(now);
        let Displaced { looked_at_ms, since_ms } = &mut self.displaced;
        *looked_at_ms = now.steady_ms;
        since_ms.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            since_ms.entry(pool).or_insert(now.steady_ms);
        }
    }

    fn pools_without_other_place(&self, now: Now) -> BTreeSet<String> {
        let mut pools = BTreeSet::new();
        let emptied = self.workers.values().filter(|worker| {
            matches!(worker.emptying, Some(Purpose::Maintenance(_)))
        });
        for worker in emptied {
            let pool = &worker.listing.pool;
            if !pools.contains(pool) && self.keeps_a_task(worker, now) {
                pools.insert(pool.clone());
            }
        }
        pools
    }

    /// Returns whether a worker keeps a task only for want of another place.
    fn keeps_a_task(&self, worker: &Worker, now: Now) -> bool {
        let running =
            worker.runs.iter().filter(|(_, r)| r.state == RunState::Running);
        let mut tasks = running.map(|(task, _)| task);
        tasks.any(|task| self.is_kept_for_place(task, worker, now))
    }

    fn is_kept_for_place(
        &self,
        task: &TaskId,
        worker: &Worker,
        now: Now,
    ) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(spec) = job.and_then(|job| job.step_spec(task)) else {
            return false;
        };
        spec.long_running
            && !self.is_kept_by_step(task, worker)
            && !self.has_other_place(task, worker.id(), now)
    }

    /// Returns whether too many others of a task's step are away for it to
    /// leave its worker.
    pub(super) fn is_kept_by_step(
        &self,
        task: &TaskId,
        worker: &Worker,
    ) -> bool {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        spec.is_some_and(|spec| {
            let spare = spec.max_unavailable.max(1) as usize;
            self.down_in_step(task, worker.id()) >= spare
        })
    }
}
