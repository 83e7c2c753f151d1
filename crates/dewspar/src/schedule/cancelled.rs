/*!
Cancellations that the store has on record, and how long they are kept.

A cancelled job is stored as over at once, since callers ask for that. Its runs
are a different matter: only workers know of them, and the node that accepted
the cancellation may be gone before the workers have carried out its orders to
stop. So the entry of the cancellation outlives the job's entry. It stays until
every worker that may run anything has listed its runs, and none of them
belongs to the job. The next holder reads these entries first and stops any run
of these jobs before it has loaded a single job; neither their runs nor their
ends have to wait for loading.

The same applies to a job that ended in another way, just before its
cancellation or without one: any remaining run is to be stopped, and the entry
is deleted once there is none. So a job that ends while some of its runs are
active gets an entry as well.
*/

use {
    crate::{
        job::JobId,
        schedule::{Now, Scheduler},
    },
    std::collections::BTreeSet,
};

/// How often to check whether the runs of cancelled jobs are gone, in
/// milliseconds. Each check scans all runs, and a stop takes up to 900 ms.
const CHECK_INTERVAL_MS: u64 = 250;

/// The jobs whose cancellation is on record.
#[derive(Debug, Default)]
pub(super) struct Cancelled {
    on_record: BTreeSet<JobId>,
    /// Those of jobs that aren't known yet.
    deferred: BTreeSet<JobId>,
    checked_ms: u64,
}

impl Cancelled {
    pub(super) fn insert(&mut self, id: JobId) {
        self.on_record.insert(id);
    }

    pub(super) fn contains(&self, id: JobId) -> bool {
        self.on_record.contains(&id)
    }

    /// Keeps a cancellation until its job is known.
    pub(super) fn defer(&mut self, id: JobId) {
        self.deferred.insert(id);
    }

    /// Takes the kept cancellations of the jobs that are known.
    pub(super) fn take_deferred(
        &mut self,
        is_known: impl Fn(&JobId) -> bool,
    ) -> Vec<JobId> {
        self.deferred.extract_if(.., |id| is_known(id)).collect()
    }
}

impl Scheduler {
    /// Takes at most `most` jobs whose cancellation needn't stay on record:
    /// they are stored as over, and certainly none of their runs is left.
    ///
    /// If an entry can't be deleted from the store, the next holder reads it
    /// and takes it again.
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
        if !self.all_possible_runs_listed(now) {
            return Vec::new();
        }
        let on_record = &mut self.cancelled.on_record;
        // Collects only a few jobs while scanning thousands of runs.
        let running: BTreeSet<JobId> = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.keys())
            .map(|task| task.job)
            .filter(|job| on_record.contains(job))
            .collect();
        // Nothing is known about a job that is neither open nor over, so its
        // cancellation stays on record.
        let finished = &self.finished;
        let is_settled =
            |id: &JobId| finished.contains_key(id) && !running.contains(id);
        let settled: Vec<JobId> =
            on_record.extract_if(.., |id| is_settled(id)).take(most).collect();
        for id in &settled {
            self.quotas.note_stopped_all(*id);
        }
        settled
    }

    /// Notes that a job was cancelled before it was accepted, and never will
    /// be. It counts as finished now.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspar::{
    ///     job::JobId,
    ///     schedule::{Now, Options, Scheduler},
    /// };
    ///
    /// let options = Options::default().finished_retention_ms(60_000);
    /// let mut scheduler = Scheduler::new(7, options);
    /// let id: JobId = "5c0e7a21d94b36f8".parse()?;
    /// let at = |unix_ms| Now { steady_ms: unix_ms, unix_ms };
    /// scheduler.note_never_accepted(id, at(1_000));
    /// assert_eq!(scheduler.take_expired(at(60_999), 8), []);
    /// assert_eq!(scheduler.take_expired(at(61_000), 8), [id]);
    /// # Ok::<(), dewspar::job::InvalidId>(())
    /// ```
    pub fn note_never_accepted(&mut self, id: JobId, now: Now) {
        self.finished.entry(id).or_insert(now.unix_ms);
    }

    /// Returns whether all runs everywhere are known: every worker that may
    /// run anything has listed all of its runs under this lease, or its own
    /// lease is over so that it can't run anything.
    fn all_possible_runs_listed(&self, now: Now) -> bool {
        let known = !self.is_loading() && self.workers_known;
        let confirmed_ms = self.own_lease.confirmed_ms(now);
        known
            && self.workers.values().all(|worker| {
                worker.has_listed_all_runs()
                    || confirmed_ms > worker.lease_over_ms
            })
    }
}
