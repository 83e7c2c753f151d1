/*!
Ends of runs that are stored apart from their job's record.

If the record or entry of a job can't be read, it isn't known what is done, so
nothing more of the job runs. Its current runs still end, and a later holder
that can read the job must know which of them completed. A worker forgets an
end once it is acknowledged, and until then lists it together with all later
ends. So such an end is *deferred*: it is stored by itself as it was reported,
and then acknowledged. A holder that can read the job applies its deferred
ends.

The same is done for a job whose record the store doesn't accept, for example
because it is too large. Such a job goes on. Its ends are applied at once, and
stored by themselves until a write of its record succeeds.

# Example

```
use dewspar::schedule::{
    AcceptedJob, EndCause, DeferredEnd, EndedRun, Now, Options, Scheduler,
};

let now = Now { steady_ms: 1_000, unix_ms: 0 };
let mut scheduler = Scheduler::new(7, Options::default());
let task: dewspar::job::TaskId = "5c0e7a21d94b36f8.0.0.0".parse()?;
let end = EndedRun {
    number: 1,
    task,
    run: 1,
    cause: EndCause::Done,
    checkpoint: String::new(),
};
let deferred = DeferredEnd { worker: "worker-1".to_owned(), end };
// Ends of an unknown job are ignored.
scheduler.apply_deferred_end(&deferred, now);
assert_eq!(scheduler.phase(task.job), None);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use {
    crate::{
        job::{JobId, TaskId},
        schedule::{
            EndCause, EndedRun, Now, Scheduler, WorkerId,
            hold_answers::note_end, jobs::Jobs,
        },
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// An end of a run that is stored apart from its job's record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DeferredEnd {
    /// The worker that listed it.
    pub worker: String,
    /// The end.
    pub end: EndedRun,
}

/// Ends to be stored by themselves.
#[derive(Clone, Debug, Default)]
pub struct DeferredEndBatch(BTreeMap<u64, DeferredEnd>);

impl DeferredEndBatch {
    /// Returns the ends.
    pub fn ends(&self) -> impl Iterator<Item = &DeferredEnd> {
        self.0.values()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The jobs whose ends are deferred, and these ends.
#[derive(Debug, Default)]
pub(super) struct DeferredEnds {
    /// Jobs that can't be read.
    unreadable: BTreeSet<JobId>,
    /// Open jobs whose record the store doesn't accept.
    rejected: BTreeSet<JobId>,
    /// The ends that aren't in the store, by the number of their change.
    unstored: BTreeMap<u64, DeferredEnd>,
    /// The changes that are being stored.
    storing: BTreeSet<u64>,
}

impl DeferredEnds {
    /// Returns whether the change of an end is in the store.
    pub(super) fn is_stored(
        &self,
        jobs: &Jobs,
        job: JobId,
        sequence: u64,
    ) -> bool {
        let in_record = self.rejected.contains(&job)
            || jobs
                .get(&job)
                .is_none_or(|job| job.stored_sequence >= sequence);
        in_record && !self.unstored.contains_key(&sequence)
    }

    /// Notes that the record of a job is stored, so that its next ends become
    /// part of it again.
    pub(super) fn note_record_stored(&mut self, job: JobId) {
        self.rejected.remove(&job);
    }
}

impl Scheduler {
    /// Stops scheduling a job that can't be read, so that it isn't known what
    /// was done.
    ///
    /// Its runs are stopped, and nothing of it is stored except the ends of
    /// its runs.
    pub fn mark_unreadable(&mut self, id: JobId) {
        self.deferred_ends.unreadable.insert(id);
        let Some(job) = self.jobs.get(&id) else { return };
        let placed: Vec<(TaskId, WorkerId)> = job
            .placements(id)
            .map(|(task, worker)| (task, worker.clone()))
            .collect();
        for (task, worker) in placed {
            self.stop_run(&task, &worker, "its job's record can't be read");
        }
        self.jobs.remove(&id);
        self.changed.remove(&id);
        self.storing.remove(&id);
        self.awaited.remove(&id);
        // Otherwise they would be acknowledged with the next write of other
        // jobs.
        for worker in self.workers.values_mut() {
            worker.redeliver(id);
        }
        self.drop_old_advice();
    }

    /// Defers the ends of an open job whose record the store doesn't accept,
    /// until [`Scheduler::changes_stored`] says that it is stored. Otherwise no
    /// worker could forget any end that follows one of this job.
    pub fn mark_rejected(&mut self, id: JobId) {
        let is_open = self.jobs.contains_key(&id);
        if !is_open || !self.deferred_ends.rejected.insert(id) {
            return;
        }
        for worker in self.workers.values_mut() {
            worker.redeliver(id);
        }
    }

    /// Defers an end if its job's record can't be read or isn't accepted;
    /// returns the number of the change, 0 if there is none.
    pub(super) fn defer_end(
        &mut self,
        worker_id: &WorkerId,
        end: &EndedRun,
    ) -> u64 {
        let DeferredEnds { unreadable, rejected, .. } = &self.deferred_ends;
        let job = &end.task.job;
        if !unreadable.contains(job) && !rejected.contains(job) {
            return 0;
        }
        self.sequence += 1;
        let worker = worker_id.to_string();
        let deferred = DeferredEnd { worker, end: end.clone() };
        self.deferred_ends.unstored.insert(self.sequence, deferred);
        self.sequence
    }

    /// Takes at most `most` deferred ends that aren't being stored yet.
    ///
    /// Call [`Scheduler::deferred_ends_stored`] or
    /// [`Scheduler::deferred_ends_failed`] once the outcome is known.
    pub fn take_deferred_ends(&mut self, most: usize) -> DeferredEndBatch {
        let DeferredEnds { unstored, storing, .. } = &mut self.deferred_ends;
        let waiting = unstored.iter().filter(|(n, _)| !storing.contains(n));
        let taken: BTreeMap<u64, DeferredEnd> = waiting
            .take(most)
            .map(|(number, end)| (*number, end.clone()))
            .collect();
        storing.extend(taken.keys());
        DeferredEndBatch(taken)
    }

    /// Notes that ends are in the store, so that they may be acknowledged.
    pub fn deferred_ends_stored(&mut self, ends: &DeferredEndBatch, now: Now) {
        for number in ends.0.keys() {
            self.deferred_ends.unstored.remove(number);
            self.deferred_ends.storing.remove(number);
        }
        self.advance_stored_ends(now);
    }

    /// Puts back ends that couldn't be stored.
    pub fn deferred_ends_failed(&mut self, ends: &DeferredEndBatch) {
        for number in ends.0.keys() {
            self.deferred_ends.storing.remove(number);
        }
    }

    /// Applies a deferred end, if its job is known. Applying it twice has no
    /// further effect.
    pub fn apply_deferred_end(&mut self, deferred: &DeferredEnd, now: Now) {
        let DeferredEnd { worker, end } = deferred;
        let (worker, task) = (WorkerId::new(worker), &end.task);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.phase.is_final() {
            return;
        }
        let failures = note_end(job, &worker, end);
        self.mark_job_begun(task.job, now);
        if end.cause == EndCause::Done {
            self.task_done(&worker, task, now);
        }
        self.mark_changed(task.job);
        self.finish_if_over(task, failures, now);
    }
}
