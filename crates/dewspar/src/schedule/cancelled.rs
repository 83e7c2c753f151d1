/*!
The cancellings that the store has on record, and for how long.

A cancelled job is stored as over at once, since callers ask for that. What
runs of it is another matter: only workers know, and the node that took the
cancelling in may be gone before they have carried its orders out. So the entry
of the cancelling outlives its job's: it stays until every worker that may run
anything has said what, and none names the job. The next holder reads these
entries before all else, and stops what it finds of them before it has loaded a
single job; neither their runs nor their ends have to wait for that.

The same holds for a job that came to another end, just before its cancelling or
without one: whatever runs of it is to stop, and the entry goes once nothing
does. So a job that ends while something of it runs is entered as well.
*/

use {
    crate::{
        job::JobId,
        schedule::{Now, Scheduler},
    },
    std::collections::BTreeSet,
};

/// How often it is looked whether runs of cancelled jobs are gone, in
/// milliseconds: each look goes over all runs, and a stop takes up to 900 ms.
const CHECK_INTERVAL_MS: u64 = 250;

/// The jobs whose cancelling is on record.
#[derive(Debug, Default)]
pub(super) struct Cancelled {
    on_record: BTreeSet<JobId>,
    checked_ms: u64,
}

impl Cancelled {
    pub(super) fn insert(&mut self, id: JobId) {
        self.on_record.insert(id);
    }

    pub(super) fn contains(&self, id: JobId) -> bool {
        self.on_record.contains(&id)
    }
}

impl Scheduler {
    /// Takes cancelled jobs that are stored as over and of which nothing runs
    /// any more for certain, at most so many: their cancelling needn't be on
    /// record any longer.
    ///
    /// One that couldn't be deleted there is told to the next holder, which
    /// takes it again.
    pub fn take_settled_cancellations(
        &mut self,
        now: Now,
        most: usize,
    ) -> Vec<JobId> {
        let due_ms = self.cancelled.checked_ms + CHECK_INTERVAL_MS;
        if self.cancelled.on_record.is_empty() || now.steady_ms < due_ms {
            return Vec::new();
        }
        self.cancelled.checked_ms = now.steady_ms;
        if !self.knows_every_run(now) {
            return Vec::new();
        }
        let on_record = &mut self.cancelled.on_record;
        // A few jobs are looked for among thousands of runs.
        let running: BTreeSet<JobId> = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.keys())
            .map(|task| task.job)
            .filter(|job| on_record.contains(job))
            .collect();
        // Of a job that is neither open nor known to be over nothing can be
        // said, so its cancelling stays.
        let finished = &self.finished;
        let settled =
            |id: &JobId| finished.contains_key(id) && !running.contains(id);
        on_record.extract_if(.., |id| settled(id)).take(most).collect()
    }

    /// Returns whether whatever runs anywhere is known: every worker that may
    /// run something has named all of it under this lease, or can't run
    /// anything any more.
    fn knows_every_run(&self, now: Now) -> bool {
        let known = !self.is_loading() && self.workers_known;
        known
            && self.workers.values().all(|worker| {
                worker.has_listed_all_runs()
                    || now.steady_ms > worker.lease_over_ms
            })
    }
}
