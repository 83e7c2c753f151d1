/*!
Starts that are on record before they are ordered.

What is on record of a start with its worker tells the next holder all: whether
the task runs there, never came there, may still come there, or has crashed that
worker. But only if the record comes first. A holder that is lost while the order
is out and the write isn't leaves no trace of the start, and the next one does
the same.

So some starts are *withheld*. The task takes its room on the worker as if it were
ordered, the record names that worker, and the order follows once the record is
stored:

- Starts of tasks that a former holder may have started, and of those that are
  being found out about (see [`suspects`](super::suspects)). What a holder accepts
  itself starts at once: one such start without a trace is bounded by what the
  next holders record.
- While orders may get lost, starts that a worker's next process might carry out
  late (see [`in_doubt`](super::in_doubt)).

The record is written anyway, so this takes no more writes, only the time of one.
Where the store takes none, or takes long, the order goes out without its record:
callers wait for that no longer than [`RECORD_WAIT_MS`].

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
        job::{JobId, TaskId},
        schedule::{
            Action, Now, Scheduler, WorkerId,
            worker::{RunState, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// How long a start waits for its record at most, in milliseconds.
const RECORD_WAIT_MS: u64 = 300;

/// How many starts may be withheld at a time: they take room on workers.
const MOST_WITHHELD: usize = 512;

/// A run that has its place on a worker and is still to be ordered.
#[derive(Clone, Debug)]
pub(super) struct PlacedStart {
    pub(super) worker: WorkerId,
    pub(super) run: u64,
    /// The ticket of the adviser, where the queue needs one; else empty.
    pub(super) ticket: String,
}

/// A start that waits until it is on record.
#[derive(Clone, Debug)]
struct WithheldStart {
    start: PlacedStart,
    /// The change that names the worker.
    sequence: u64,
    since_ms: u64,
    /// Whether a write that held that change wasn't done.
    write_failed: bool,
}

/// What to do about a start that is withheld.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Next {
    Wait,
    Order,
    Withdraw,
}

/// The starts that wait until they are on record.
#[derive(Debug, Default)]
pub(super) struct WriteAhead(BTreeMap<TaskId, WithheldStart>);

impl WriteAhead {
    /// Returns whether a task's start is withheld.
    pub(super) fn holds(&self, task: &TaskId) -> bool {
        self.0.contains_key(task)
    }

    /// Returns whether no more starts are withheld for now.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MOST_WITHHELD
    }

    /// Notes that a write of a job's changes, up to this one, wasn't done.
    pub(super) fn write_failed(&mut self, job: JobId, sequence: u64) {
        let first = TaskId { job, round: 0, step: 0, index: 0 };
        let of_job = self.0.range_mut(first..);
        for (_, withheld) in of_job.take_while(|(task, _)| task.job == job) {
            withheld.write_failed |= withheld.sequence <= sequence;
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
        let sequence = self.mark_changed(task.job);
        self.await_change(task.job, sequence);
        let withheld = WithheldStart {
            start,
            sequence,
            since_ms: now.steady_ms,
            write_failed: false,
        };
        self.write_ahead.0.insert(*task, withheld);
    }

    /// Orders the starts that are on record by now, and withdraws those that
    /// can't be ordered any more.
    pub(super) fn order_withheld(
        &mut self,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if self.write_ahead.0.is_empty() {
            return;
        }
        let due = self.write_ahead.0.iter().map(|(task, withheld)| {
            let next = self.next_of_withheld(task, withheld, now);
            (withheld.sequence, *task, next)
        });
        let mut due: Vec<(u64, TaskId, Next)> =
            due.filter(|(.., next)| *next != Next::Wait).collect();
        due.sort_unstable_by_key(|(sequence, task, _)| (*sequence, *task));
        for (_, task, next) in due {
            // The members of a gang go together.
            let gang = self.step_spec(&task).is_some_and(|spec| spec.gang);
            if next == Next::Order && !gang && !self.may_start() {
                continue;
            }
            let Some(withheld) = self.write_ahead.0.remove(&task) else {
                continue;
            };
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
            self.write_ahead.0.extract_if(.., here).collect();
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
        let stored = job.stored_sequence >= withheld.sequence;
        let waited_ms = now.steady_ms.saturating_sub(withheld.since_ms);
        if stored || withheld.write_failed || waited_ms >= RECORD_WAIT_MS {
            Next::Order
        } else {
            Next::Wait
        }
    }

    /// Takes back a start that was never ordered.
    fn withdraw(&mut self, task: &TaskId, start: &PlacedStart, now: Now) {
        self.settle_in_doubt(task, &start.worker, start.run);
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
