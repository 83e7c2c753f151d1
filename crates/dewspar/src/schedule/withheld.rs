/*!
Starts that wait until they are on record.

What is on record of a start with its worker tells the next holder all: whether
the task runs there, never came there, or has crashed that worker. But only if
the record comes first. A holder that is lost while the order is out and the
write isn't leaves no trace of the start, and the next one does the same: a task
that crashes its workers was started 179 times in 60 s so, in a model.

So these starts are *withheld*. The task takes its room on the worker as if it
were ordered, the record names that worker, and the order follows once the
record is stored. Only few wait for that: what was inherited from a former
holder, whose record would be written with the start anyway, and what is being
found out about. What a holder accepts itself starts at once, and one such start
without a trace is bounded by the next holder's records.

If meanwhile the worker takes no orders any more, or the run is to stop, nothing
was ordered, and the task waits again.

# Example

```text
plan    b takes room on w1        record: b, told w1
stored  the order goes to w1      w1 crashes, and the holder is lost
next    b, told w1; w1 is gone    b has crashed a worker
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Action, Now, Scheduler, WorkerId, worker::RunState, worker::Worker,
        },
    },
    std::collections::BTreeMap,
};

/// A run that has its place on a worker and is still to be ordered.
#[derive(Clone, Debug)]
pub(super) struct PlacedStart {
    pub(super) worker: WorkerId,
    pub(super) run: u64,
    /// The ticket of the adviser, where the queue needs one; else empty.
    pub(super) ticket: String,
}

/// The starts that wait until they are on record, each with the change that
/// must be stored.
pub(super) type WithheldStarts = BTreeMap<TaskId, WithheldStart>;

/// A start that waits until it is on record.
#[derive(Clone, Debug)]
pub(super) struct WithheldStart {
    start: PlacedStart,
    /// The change that names the worker.
    sequence: u64,
}

/// What to do about a start that is withheld.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Wait,
    Order,
    Withdraw,
}

impl Scheduler {
    /// Returns whether a start that has its place is ordered only once it is on
    /// record.
    pub(super) fn goes_on_record_first(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.is_some_and(|state| state.crashes.is_start_recorded_first())
    }

    /// Keeps a start back until its record is stored.
    pub(super) fn withhold(&mut self, task: &TaskId, start: PlacedStart) {
        let sequence = self.mark_changed(task.job);
        self.await_change(task.job, sequence);
        self.withheld.insert(*task, WithheldStart { start, sequence });
    }

    /// Orders the starts that are on record by now, and withdraws those that
    /// can't be ordered any more.
    pub(super) fn order_withheld(
        &mut self,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if self.withheld.is_empty() {
            return;
        }
        let due = self.withheld.iter().map(|(task, withheld)| {
            let next = self.next_of_withheld(task, withheld, now);
            (withheld.sequence, *task, next)
        });
        let mut due: Vec<(u64, TaskId, Next)> =
            due.filter(|(.., next)| *next != Next::Wait).collect();
        due.sort_unstable_by_key(|(sequence, task, _)| (*sequence, *task));
        for (_, task, next) in due {
            // The members of a gang go together.
            let gang = self.step_spec(&task).is_some_and(|spec| spec.gang);
            if next == Next::Order && !gang && !self.may_order_start() {
                continue;
            }
            let Some(withheld) = self.withheld.remove(&task) else { continue };
            if next == Next::Order {
                actions.extend(self.order_start(&task, withheld.start, now));
            } else {
                self.withdraw(&task, &withheld.start, now);
            }
        }
    }

    /// Withdraws the starts that are withheld on a worker: what was never
    /// ordered there can't have crashed it.
    pub(super) fn withdraw_starts_on(&mut self, worker: &WorkerId, now: Now) {
        let here = |_: &TaskId, withheld: &mut WithheldStart| {
            withheld.start.worker == *worker
        };
        let starts: Vec<(TaskId, WithheldStart)> =
            self.withheld.extract_if(.., here).collect();
        for (task, withheld) in starts {
            self.withdraw(&task, &withheld.start, now);
        }
    }

    fn next_of_withheld(
        &self,
        task: &TaskId,
        withheld: &WithheldStart,
        now: Now,
    ) -> Next {
        let PlacedStart { worker, run, .. } = &withheld.start;
        let job = self.jobs.get(&task.job).filter(|j| !j.phase.is_final());
        let worker = self.workers.get(worker);
        let (Some(job), Some(worker)) = (job, worker) else {
            return Next::Withdraw;
        };
        // Its room may have shrunk meanwhile.
        let roomy = self.is_sure_of_room(worker, &job.terms.pool, now)
            && worker.listing.capacity.holds(worker.used());
        if !roomy || !may_be_ordered(worker, task, *run, now) {
            return Next::Withdraw;
        }
        if job.stored_sequence >= withheld.sequence {
            Next::Order
        } else {
            Next::Wait
        }
    }

    /// Takes back a start that was never ordered.
    fn withdraw(&mut self, task: &TaskId, start: &PlacedStart, now: Now) {
        let worker = self.workers.get(&start.worker);
        let here = worker.and_then(|worker| worker.runs.get(task));
        if here.is_some_and(|here| here.run == start.run) {
            self.note_suspect_over(task);
            self.free_run(task, &start.worker, now);
        }
    }
}

/// Returns whether the run is still where it has its place, and its worker
/// takes orders under the token under which it got that.
fn may_be_ordered(worker: &Worker, task: &TaskId, run: u64, now: Now) -> bool {
    let here = worker.runs.get(task).filter(|here| here.run == run);
    here.is_some_and(|here| {
        here.state == RunState::Starting && here.fence == worker.fence()
    }) && worker.takes_placed_runs(now.steady_ms)
}
