/*!
A bound on how long jobs within their teams' shares wait behind jobs beyond a
share.

Jobs beyond a share go last, but only within a priority, and a large task may
never find room while smaller ones keep taking what becomes free. So once a
task of a job within a share has lacked room for
[`Placing::max_owed_wait_ms`](super::Placing::max_owed_wait_ms), no job beyond
a share starts in its pool until a whole pass finds no such task. The task then
waits for at most that time and the interval between two checks, plus what is
left of the runs that had started and the work of other jobs within their
shares.

Only tasks that any worker of the pool could take count: one that waits for a
certain worker, a ticket or its team's quota isn't helped by the others'
waiting. Long-running tasks don't count either, since they get VMs of their
own.
*/

use {
    crate::schedule::{
        Now, Scheduler,
        placement::{Candidate, PoolNumber, Requirements},
    },
    std::{collections::BTreeSet, mem},
};

/// The interval between two passes that look for such tasks, in milliseconds:
/// a pass of a busy holder takes much longer if it looks at each waiting task.
const CHECK_INTERVAL_MS: u64 = 100;

/// The pools in which jobs beyond a share don't start.
#[derive(Debug, Default)]
pub(super) struct OwedWaits {
    /// As of the last whole pass that looked for them.
    held: BTreeSet<PoolNumber>,
    /// As found by the current pass.
    found: BTreeSet<PoolNumber>,
    /// Whether the current pass looks for them.
    is_checking: bool,
    checked_ms: u64,
}

impl OwedWaits {
    /// Begins a pass. `has_over_share` tells whether some waiting job is
    /// beyond a share.
    pub(super) fn begin_pass(
        &mut self,
        now: Now,
        has_over_share: impl FnOnce() -> bool,
    ) {
        self.found.clear();
        self.is_checking = false;
        if now.steady_ms < self.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.checked_ms = now.steady_ms;
        self.is_checking = has_over_share();
        if !self.is_checking {
            self.held.clear();
        }
    }

    /// Ends a pass that has looked at every step.
    pub(super) fn finish_pass(&mut self) {
        if self.is_checking {
            self.held = mem::take(&mut self.found);
        }
    }
}

impl Scheduler {
    /// Returns whether jobs beyond a share may not start in a pool.
    pub(super) fn keeps_for_owed(&self, pool: PoolNumber) -> bool {
        let OwedWaits { held, found, .. } = &self.quotas.owed_waits;
        held.contains(&pool) || found.contains(&pool)
    }

    /// Notes that a step with tasks to start finds no room in its pool.
    pub(super) fn note_lacks_room(
        &mut self,
        candidate: &Candidate,
        required: &Requirements,
        now: Now,
    ) {
        let max_wait_ms = self.placing().max_owed_wait_ms;
        let waits = &self.quotas.owed_waits;
        if !waits.is_checking
            || waits.found.contains(&required.pool)
            || max_wait_ms == 0
            || candidate.over_share
            || required.long_running
        {
            return;
        }
        let task = candidate.first_task();
        let Some(job) = self.jobs.get(&task.job) else { return };
        let (Some(step), Some(spec)) = (job.step(&task), job.step_spec(&task))
        else {
            return;
        };
        let is_overdue = now.steady_ms >= step.ready_ms + max_wait_ms;
        if is_overdue
            && self.is_unconstrained(spec, &task)
            && self.fits_any_vm(spec)
        {
            self.quotas.owed_waits.found.insert(required.pool);
        }
    }
}
