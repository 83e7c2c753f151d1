/*!
Ends of runs whose job can't be read.

What is done of a job whose record or entry can't be read isn't known, so
nothing more of it runs. Its runs still end, and a later holder that can read
the job must know which of them did their work. A worker forgets an end once it
is acknowledged, and lists all ends since as long as one of them isn't. So such
an end is *set aside*: it is stored as it was heard, by itself, and acknowledged
then. A holder that reads the job takes in what was set aside of it.

# Example

```
use dewspar::schedule::{
    AcceptedJob, EndCause, EndSetAside, EndedRun, Now, Options, Scheduler,
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
let aside = EndSetAside { worker: "worker-1".to_owned(), end };
// Of an unknown job there is nothing to take in.
scheduler.take_in_end(&aside, now);
assert_eq!(scheduler.phase(task.job), None);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use {
    crate::{
        job::{JobId, TaskId},
        schedule::{
            EndCause, EndedRun, Now, Scheduler, WorkerId, jobs::Jobs,
            report::note_end,
        },
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// An end of a run whose job can't be read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndSetAside {
    /// The worker's life that listed it.
    pub worker: String,
    /// The end.
    pub end: EndedRun,
}

/// Ends to be stored by themselves.
#[derive(Clone, Debug, Default)]
pub struct EndsSetAside(BTreeMap<u64, EndSetAside>);

impl EndsSetAside {
    /// Returns the ends.
    pub fn ends(&self) -> impl Iterator<Item = &EndSetAside> {
        self.0.values()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The jobs that can't be read, and the ends of their runs.
#[derive(Debug, Default)]
pub(super) struct SetAside {
    jobs: BTreeSet<JobId>,
    /// The ends that aren't in the store, by the number of their change.
    unstored: BTreeMap<u64, EndSetAside>,
    /// The changes that are being stored.
    storing: BTreeSet<u64>,
}

impl SetAside {
    /// Returns whether an end's change is in the store.
    pub(super) fn is_stored(
        &self,
        jobs: &Jobs,
        job: JobId,
        sequence: u64,
    ) -> bool {
        let known = jobs.get(&job);
        known.is_none_or(|job| job.stored_sequence >= sequence)
            && !self.unstored.contains_key(&sequence)
    }
}

impl Scheduler {
    /// Runs nothing more of a job of which nobody knows what was done, and
    /// stores nothing of it but the ends of its runs, set aside.
    pub fn leave_alone(&mut self, id: JobId) {
        self.set_aside.jobs.insert(id);
        let Some(job) = self.jobs.get(&id) else { return };
        let placed: Vec<(TaskId, WorkerId)> = job
            .placed(id)
            .map(|(task, worker)| (task, worker.clone()))
            .collect();
        for (task, worker) in placed {
            self.stop_run(&task, &worker, "its job's record can't be read");
        }
        self.jobs.remove(&id);
        self.changed.remove(&id);
        self.storing.remove(&id);
        self.awaited.remove(&id);
        // Else they are acknowledged with the next write of other jobs.
        for worker in self.workers.values_mut() {
            worker.redeliver(id);
        }
        self.drop_old_advice();
    }

    /// Sets an end aside if its job can't be read; returns the number of the
    /// change, 0 for none.
    pub(super) fn set_end_aside(
        &mut self,
        worker_id: &WorkerId,
        end: &EndedRun,
    ) -> u64 {
        if !self.set_aside.jobs.contains(&end.task.job) {
            return 0;
        }
        self.sequence += 1;
        let worker = worker_id.to_string();
        let aside = EndSetAside { worker, end: end.clone() };
        self.set_aside.unstored.insert(self.sequence, aside);
        self.sequence
    }

    /// Takes ends that are to be stored by themselves, at most so many.
    ///
    /// Call [`Scheduler::ends_stored`] or [`Scheduler::ends_not_stored`] once
    /// the outcome is known.
    pub fn take_ends_set_aside(&mut self, most: usize) -> EndsSetAside {
        let SetAside { unstored, storing, .. } = &mut self.set_aside;
        let waiting = unstored.iter().filter(|(n, _)| !storing.contains(n));
        let taken: BTreeMap<u64, EndSetAside> = waiting
            .take(most)
            .map(|(number, end)| (*number, end.clone()))
            .collect();
        storing.extend(taken.keys());
        EndsSetAside(taken)
    }

    /// Notes that ends are in the store, so that they may be acknowledged.
    pub fn ends_stored(&mut self, ends: &EndsSetAside, now: Now) {
        for number in ends.0.keys() {
            self.set_aside.unstored.remove(number);
            self.set_aside.storing.remove(number);
        }
        self.store_ends(now);
    }

    /// Puts ends back that couldn't be stored.
    pub fn ends_not_stored(&mut self, ends: &EndsSetAside) {
        for number in ends.0.keys() {
            self.set_aside.storing.remove(number);
        }
    }

    /// Takes in an end that was set aside, if its job is known; taking it in
    /// twice changes nothing more.
    pub fn take_in_end(&mut self, aside: &EndSetAside, now: Now) {
        let EndSetAside { worker, end } = aside;
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
