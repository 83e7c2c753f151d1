/*!
Starts that are recorded before they are ordered.

A recorded start with its worker tells the next holder whether the task runs
there, never arrived, may still arrive, or has crashed that worker. But that
only works if the record comes first. If a holder is lost after it sent the
order and before the write is done, the start leaves no record, and the next
holder repeats it.

So some starts are *withheld*: those of tasks that a previous holder may have
started, and those of tasks under test (see [`suspects`](super::suspects)). The
task takes its room on the worker as if it were ordered, the record names that
worker, and the order is sent once the record is stored. Jobs that a holder
accepts itself start at once: one such unrecorded start is bounded by what the
next holders record.

The starts are written together (see [`start_log`](super::start_log)), or with
their jobs if the start log is disabled. If the store fails or is slow, the
order is sent without a record: a start waits no longer than
[`RECORD_WAIT_MS`].

If the worker stops taking orders meanwhile, the run is to stop, or a worker
becomes known that may run the task already, nothing was ordered, and the task
waits again.

# Example

```text
plan         b takes room on w1         record: b, ordered on w1
stored       the order is sent to w1    w1 crashes, and the holder is lost
next holder  b was ordered, w1 is gone: b has crashed a worker
```
*/

use {
    crate::{
        job::{JobId, TaskId},
        schedule::{
            Action, Now, Scheduler, WorkerId,
            worker::{RunState, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// The maximum time that a start waits for its record, in milliseconds.
const RECORD_WAIT_MS: u64 = 300;

/// The maximum number of withheld starts; they take room on workers.
const MAX_WITHHELD: usize = 512;

/// A run that occupies capacity on a worker and hasn't been ordered yet.
#[derive(Clone, Debug)]
pub(super) struct PlacedStart {
    pub(super) worker: WorkerId,
    pub(super) run: u64,
    /// The adviser's ticket, if the queue needs one; empty otherwise.
    pub(super) ticket: String,
}

/// A start that waits until it is on record.
#[derive(Clone, Debug)]
struct WithheldStart {
    start: PlacedStart,
    /// The change that records it with its job.
    sequence: u64,
    since_ms: u64,
    /// Whether it waits no longer: it is on record, or a write that contained
    /// it failed.
    is_due: bool,
}

/// The next step for a withheld start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WithheldAction {
    Wait,
    Order,
    Withdraw,
}

/// The withheld starts.
#[derive(Debug, Default)]
pub(super) struct WriteAhead {
    withheld: BTreeMap<TaskId, WithheldStart>,
    /// Those that are due, in the order in which they became due.
    due: Vec<TaskId>,
    /// A lower bound of the time since which any start has been withheld.
    oldest_ms: u64,
}

impl WriteAhead {
    /// Returns whether a task's start is withheld.
    pub(super) fn holds(&self, task: &TaskId) -> bool {
        self.withheld.contains_key(task)
    }

    /// Returns whether no more starts can be withheld for now.
    pub(super) fn is_full(&self) -> bool {
        self.withheld.len() >= MAX_WITHHELD
    }

    /// Notes that a job's changes up to this one are in the store, or that a
    /// write of them failed.
    pub(super) fn note_job_written(&mut self, job: JobId, sequence: u64) {
        let first = TaskId { job, round: 0, step: 0, index: 0 };
        let of_job = self.withheld.range_mut(first..);
        for (task, withheld) in of_job.take_while(|(task, _)| task.job == job)
        {
            if withheld.sequence <= sequence && !withheld.is_due {
                withheld.is_due = true;
                self.due.push(*task);
            }
        }
    }

    /// Notes that a start is in a stored log.
    pub(super) fn note_logged(&mut self, task: &TaskId, run: u64) {
        let withheld = self.withheld.get_mut(task);
        let Some(withheld) = withheld.filter(|w| w.start.run == run) else {
            return;
        };
        if !withheld.is_due {
            withheld.is_due = true;
            self.due.push(*task);
        }
    }

    /// Returns whether a start is still to be logged.
    pub(super) fn waits_for_log(&self, task: &TaskId, run: u64) -> bool {
        let withheld = self.withheld.get(task);
        withheld.is_some_and(|w| w.start.run == run && !w.is_due)
    }

    fn insert(&mut self, task: TaskId, withheld: WithheldStart) {
        if self.withheld.is_empty() {
            self.oldest_ms = withheld.since_ms;
        }
        self.withheld.insert(task, withheld);
    }

    /// Takes the starts that wait no longer, in the order in which they became
    /// due.
    fn take_due(&mut self, now: Now) -> Vec<TaskId> {
        if now.steady_ms >= self.oldest_ms + RECORD_WAIT_MS {
            self.note_overdue(now);
        }
        std::mem::take(&mut self.due)
    }

    fn note_overdue(&mut self, now: Now) {
        self.oldest_ms = now.steady_ms;
        for (task, withheld) in &mut self.withheld {
            if withheld.is_due {
                continue;
            }
            if now.steady_ms >= withheld.since_ms + RECORD_WAIT_MS {
                withheld.is_due = true;
                self.due.push(*task);
            } else {
                self.oldest_ms = self.oldest_ms.min(withheld.since_ms);
            }
        }
    }
}

impl Scheduler {
    /// Withholds a start until its record is stored.
    pub(super) fn withhold(
        &mut self,
        task: &TaskId,
        start: PlacedStart,
        now: Now,
    ) {
        let sequence = if self.start_logs.are_enabled() {
            self.start_logs.add(*task);
            self.sequence += 1;
            self.sequence
        } else {
            let sequence = self.mark_changed(task.job);
            self.await_change(task.job, sequence);
            sequence
        };
        let since_ms = now.steady_ms;
        let withheld =
            WithheldStart { start, sequence, since_ms, is_due: false };
        self.write_ahead.insert(*task, withheld);
    }

    /// Orders the starts that are now on record, and withdraws those that
    /// can't be ordered any more.
    pub(super) fn order_withheld(
        &mut self,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        for task in self.write_ahead.take_due(now) {
            match self.decide_withheld(&task, now) {
                WithheldAction::Wait => self.write_ahead.due.push(task),
                WithheldAction::Order => {
                    let withheld = self.write_ahead.withheld.remove(&task);
                    let start = withheld.map(|withheld| withheld.start);
                    actions.extend(
                        start.and_then(|s| self.order_start(&task, s, now)),
                    );
                }
                WithheldAction::Withdraw => {
                    let withheld = self.write_ahead.withheld.remove(&task);
                    if let Some(withheld) = withheld {
                        self.withdraw(&task, &withheld.start, now);
                    }
                }
            }
        }
    }

    /// Withdraws the starts that are withheld on a worker: a run that was
    /// never ordered can't have crashed it.
    pub(super) fn withdraw_starts_on(&mut self, worker: &WorkerId, now: Now) {
        let here = |_: &TaskId, withheld: &mut WithheldStart| {
            withheld.start.worker == *worker
        };
        let starts: Vec<(TaskId, WithheldStart)> =
            self.write_ahead.withheld.extract_if(.., here).collect();
        for (task, withheld) in starts {
            self.withdraw(&task, &withheld.start, now);
        }
    }

    /// Decides what to do with a start that no longer waits for its record.
    fn decide_withheld(&self, task: &TaskId, now: Now) -> WithheldAction {
        let Some(withheld) = self.write_ahead.withheld.get(task) else {
            return WithheldAction::Withdraw;
        };
        let PlacedStart { worker, run, .. } = &withheld.start;
        let job = self.jobs.get(&task.job).filter(|j| !j.phase.is_final());
        let worker = self.workers.get(worker);
        let (Some(job), Some(worker)) = (job, worker) else {
            return WithheldAction::Withdraw;
        };
        // The worker's capacity may have shrunk meanwhile.
        let roomy = self.has_reliable_room(worker, &job.terms.pool, now)
            && worker.listing.capacity.contains(worker.used());
        if !roomy || !may_be_ordered(worker, task, *run, now) {
            return WithheldAction::Withdraw;
        }
        let spec = job.step_spec(task);
        // A worker that may run the task may have become known meanwhile.
        if spec.is_some_and(|s| self.may_run_from_former_lease(job, s, now)) {
            return WithheldAction::Withdraw;
        }
        // The members of a gang start together.
        let gang = spec.is_some_and(|spec| spec.gang);
        let outdated = self.is_view_outdated();
        if self.starts_left(worker, now) == 0 {
            return WithheldAction::Wait;
        }
        if gang && !outdated || self.may_start() {
            WithheldAction::Order
        } else {
            WithheldAction::Wait
        }
    }

    /// Withdraws a start that was never ordered.
    fn withdraw(&mut self, task: &TaskId, start: &PlacedStart, now: Now) {
        self.start_logs.withdraw(task);
        self.settle_in_doubt(task, &start.worker, start.run);
        let worker = self.workers.get(&start.worker);
        let here = worker.and_then(|worker| worker.runs.get(task));
        if here.is_some_and(|here| here.run == start.run) {
            self.note_suspect_ended(task);
            self.release_run(task, &start.worker, now);
        }
    }
}

/// Returns whether the run still occupies its capacity, and its worker takes
/// orders under the token under which the run was placed.
fn may_be_ordered(worker: &Worker, task: &TaskId, run: u64, now: Now) -> bool {
    let here = worker.runs.get(task).filter(|here| here.run == run);
    here.is_some_and(|here| {
        here.state == RunState::Starting && here.fence == worker.fence()
    }) && worker.accepts_placed_runs(now.steady_ms)
}
