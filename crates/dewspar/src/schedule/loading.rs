/*!
Scheduling while the jobs of previous holders are still being loaded.

A new holder finds thousands of open jobs, and on a small link loading them
takes longer than a lease lasts. It doesn't wait for that: jobs accepted under
its own lease arrive over the feed and start at once. About the other jobs it
assumes nothing until they are known:

- A run of an unknown job isn't stopped, even though no known job needs it. Its
  worker's lease is renewed, and nothing new starts there, since the run's
  resource demand isn't known either.
- The end of an unknown job's run isn't acknowledged, nor is any later end, so
  that the worker reports them again. Until then a run that the worker no
  longer lists as active isn't lost: its end may be among these.
- A known job starts nothing in a pool while some worker there runs or has
  ended anything unknown, since that may belong to this job. That includes the
  ends that a worker leaves out because it lists a limited number at once.
- A cancellation of an unknown job is kept until the job is known. Once its
  cancellation is known, the job's runs are stopped and its ends acknowledged
  without loading it.
- No VM changes are ordered, since the pools' needs aren't known.

Once everything is loaded, the workers with unknown runs are asked again. VM
orders wait for their answers as well.

# Example

```
use dewspar::schedule::{Now, Options, Scheduler};

let mut scheduler = Scheduler::new(7, Options::default());
scheduler.begin_loading();
assert!(scheduler.is_loading());
// Call `submit` for each job that was loaded, then:
scheduler.finish_loading(Now { steady_ms: 1_000, unix_ms: 0 });
assert!(!scheduler.is_loading());
```
*/

use crate::{
    job::{JobId, Phase},
    schedule::{HoldReport, Now, Scheduler, WorkerId},
};

/// How long to wait before asking a worker again whose answer named unknown
/// jobs, in milliseconds. It would answer at once each time, with the same
/// content.
const RETRY_HOLD_MS: u64 = 500;

/// The loading state of the jobs of previous holders.
#[derive(Debug, Default)]
pub(super) enum Loading {
    /// All of them are known.
    #[default]
    Done,
    /// Some may not be known yet.
    UnderWay,
}

impl Scheduler {
    /// Notes that jobs of previous holders are still to be submitted.
    pub fn begin_loading(&mut self) {
        self.loading = Loading::UnderWay;
    }

    /// Returns whether jobs of previous holders may still be unknown.
    pub fn is_loading(&self) -> bool {
        matches!(self.loading, Loading::UnderWay)
    }

    /// Notes that every job of previous holders was submitted.
    pub fn finish_loading(&mut self, now: Now) {
        self.apply_deferred_cancellations(now);
        self.loading = Loading::Done;
        for worker in self.workers.values_mut() {
            if worker.has_unknown_runs() {
                worker.set_next_hold_ms(now.steady_ms);
            }
        }
    }

    /// Returns whether all jobs are loaded and every responsive worker has
    /// listed its runs since then. Before that, a worker with long-running
    /// tasks may look empty, and its VM may look unneeded.
    pub(super) fn knows_all_runs(&self) -> bool {
        let unknown = self.workers.values().any(|worker| {
            worker.has_unknown_runs() && worker.silent_since_ms.is_none()
        });
        !self.is_loading() && !unknown
    }

    /// Keeps the cancellation of an unknown job until the job is known: it may
    /// not be loaded yet, or the feed may not have delivered it.
    pub(super) fn defer_cancellation(&mut self, id: JobId) {
        let is_known =
            self.jobs.contains_key(&id) || self.finished.contains_key(&id);
        if !is_known {
            self.cancelled.defer(id);
        }
    }

    /// Cancels jobs that were cancelled before they were known and are known
    /// by now.
    pub(super) fn apply_deferred_cancellations(&mut self, now: Now) {
        let (jobs, finished) = (&self.jobs, &self.finished);
        let is_known =
            |id: &JobId| jobs.contains_key(id) || finished.contains_key(id);
        for id in self.cancelled.take_deferred(is_known) {
            self.finish(id, Phase::Cancelled, now);
        }
    }

    /// Returns whether a job may be one that isn't loaded yet and isn't known
    /// to be cancelled either.
    pub(super) fn is_unknown(&self, id: JobId) -> bool {
        self.is_loading()
            && !self.jobs.contains_key(&id)
            && !self.finished.contains_key(&id)
            && !self.cancelled.contains(id)
    }

    /// Notes whether a worker's answer names unknown jobs.
    pub(super) fn note_unknown_runs(
        &mut self,
        worker_id: &WorkerId,
        report: &HoldReport,
        newest: bool,
        now: Now,
    ) {
        let active = report.active.iter().map(|run| run.task.job);
        let ended = report.ended.iter().map(|end| end.task.job);
        let unknown = active.chain(ended).any(|job| self.is_unknown(job));
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if unknown {
            worker.set_unknown_runs(true);
            worker.set_next_hold_ms(now.steady_ms + RETRY_HOLD_MS);
        } else if newest
            && !report.has_more_ends
            && worker.identifies_all_runs(report, now.steady_ms)
        {
            // Otherwise they may be among the ends that it left out, or in
            // rows that couldn't be read.
            worker.set_unknown_runs(false);
        }
    }
}
