/*!
Scheduling while the jobs of former holders are still being loaded.

A new holder finds thousands of open jobs, and on a small link loading them
takes longer than a lease lasts. It doesn't wait for them: jobs accepted under
its own lease come over the feed and start at once. Of the others it must not
believe anything before they are known:

- A run of an unknown job isn't stopped, though nobody here needs it yet; its
  worker's lease is renewed, and nothing new starts there, since what the run
  takes isn't known either.
- The end of an unknown job's run isn't acknowledged, nor is any end after it,
  so that the worker tells them again.
- A job that is known starts nothing in a pool as long as some worker there
  runs or has ended what is unknown: it may be this job's.
- A cancellation of an unknown job is kept until the job is known. Its runs
  and ends need nothing more to be known: runs are stopped, ends acknowledged.
- Nothing is ordered of VMs, since what the pools need isn't known.

Once everything is loaded, the workers with unknown runs are asked again; VMs
wait for their answers as well.

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

use {
    crate::{
        job::{JobId, Phase},
        schedule::{HoldReport, Now, Scheduler, WorkerId},
    },
    std::collections::BTreeSet,
};

/// How long after an answer that names unknown jobs a worker is asked again,
/// in milliseconds: it would answer at once each time, with the same.
const ASK_AGAIN_MS: u64 = 500;

/// What is known of the jobs of former holders.
#[derive(Debug, Default)]
pub(super) enum Loading {
    /// All of them are known.
    #[default]
    Done,
    /// Some may not be known yet.
    UnderWay {
        /// The jobs that were cancelled before they were known.
        cancelled: BTreeSet<JobId>,
    },
}

impl Scheduler {
    /// Notes that jobs of former holders are still to be submitted.
    pub fn begin_loading(&mut self) {
        self.loading = Loading::UnderWay { cancelled: BTreeSet::new() };
    }

    /// Returns whether jobs of former holders may still be unknown.
    pub fn is_loading(&self) -> bool {
        matches!(self.loading, Loading::UnderWay { .. })
    }

    /// Notes that every job of former holders was submitted.
    pub fn finish_loading(&mut self, now: Now) {
        self.apply_deferred_cancellations(now);
        self.loading = Loading::Done;
        for worker in self.workers.values_mut() {
            if worker.has_unknown_runs() {
                worker.set_next_hold_ms(now.steady_ms);
            }
        }
    }

    /// Returns whether all jobs are loaded and every worker that answers has
    /// named its runs since. Before that a worker with lasting tasks may look
    /// empty, and its VM as one that may go.
    pub(super) fn knows_all_runs(&self) -> bool {
        let unknown = self.workers.values().any(|worker| {
            worker.has_unknown_runs() && worker.silent_since_ms.is_none()
        });
        !self.is_loading() && !unknown
    }

    /// Keeps a cancellation for when its job is known; returns whether it has
    /// to be.
    pub(super) fn defer_cancellation(&mut self, id: JobId) -> bool {
        if !self.is_unknown(id) {
            return false;
        }
        if let Loading::UnderWay { cancelled } = &mut self.loading {
            cancelled.insert(id);
        }
        true
    }

    /// Cancels jobs that are known by now and were cancelled before.
    pub(super) fn apply_deferred_cancellations(&mut self, now: Now) {
        let Loading::UnderWay { cancelled } = &mut self.loading else {
            return;
        };
        let jobs = &self.jobs;
        let known: Vec<JobId> =
            cancelled.extract_if(.., |id| jobs.contains_key(id)).collect();
        for id in known {
            self.finish(id, Phase::Cancelled, now);
        }
    }

    /// Returns whether a job may be one that isn't loaded yet and of which it
    /// isn't known either that it is cancelled.
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
            worker.set_next_hold_ms(now.steady_ms + ASK_AGAIN_MS);
        } else if newest {
            worker.set_unknown_runs(false);
        }
    }
}
