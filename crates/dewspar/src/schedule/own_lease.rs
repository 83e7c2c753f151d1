/*!
The holder's own lease, as proof that no other node schedules.

While the lease is valid no other node holds it. Once it has expired another
node may: it takes in the ends of runs, acknowledges them, and changes VMs. A
holder that can't reach the store goes on for a while all the same, because the
jobs of all callers would stand still in each outage of the store. What it then
concludes about a worker is still true, but no longer the whole truth: a worker
that is gone can't run anything, yet another holder may have taken in how its
runs had ended.

So a holder without a valid lease starts only what it could have started while
it was the only one:

| start | with an expired lease |
|---|---|
| a task that has had no run | allowed: a successor starts it only after it has asked all workers, or has waited for longer than this holder goes on |
| a task that a former holder may have started on a worker which ended without listing its runs | not before the lease is renewed: a successor may have heard of the run's end |
| a task whose run ended, as its worker has reported to this holder | allowed: the worker hadn't answered a successor by then |
| a task whose run was lost since without a reported end | not before the lease is renewed: the run may have ended as done |
| on a worker that became known since | not before the lease is renewed: a successor may not wait for that worker |
| of a job that became known since | not before the lease is renewed: it may be the successor's |

What a successor has asked is a process, which refuses this holder from then
on. Where workers keep their identifiers, the next process has seen no token of
the successor, and this holder may not know of it. So an order of a holder
without a valid lease names the [process] that it requires, and whoever sends
the order makes sure that no other gets it.

[process]: crate::schedule::StartOrder::required_process

# Example

```
use dewspar::schedule::{Now, Options, Scheduler};

let mut scheduler = Scheduler::new(7, Options::default());
scheduler.lease_renewed(1_000);
// The lease has expired and the store doesn't answer: jobs that were known at
// 1,000 ms go on.
scheduler.set_detached(true);
let now = Now { steady_ms: 2_600, unix_ms: 0 };
assert!(scheduler.plan(now).is_empty());
```
*/

use crate::{
    job::TaskId,
    schedule::{Now, Scheduler, job_state::Job, worker::Worker},
};

/// The number of a time without a valid lease; 0 while the lease is valid.
pub(crate) type Detachment = u64;

/// What is known of the holder's own lease.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnLease {
    /// When the newest call was sent that renewed it, if that is known.
    renewed_ms: Option<u64>,
    /// Whether another node may hold it.
    is_detached: bool,
    /// How often that has been the case.
    detachments: Detachment,
    /// In which time without a valid lease a worker last ended that hadn't
    /// listed what it ran for former holders.
    unlisted_ends_in: Detachment,
}

impl OwnLease {
    /// Notes that a call sent at this time of the steady clock, in
    /// milliseconds, has renewed the lease.
    pub(super) fn note_renewed(&mut self, sent_ms: u64) {
        self.renewed_ms = self.renewed_ms.max(Some(sent_ms));
    }

    fn set_detached(&mut self, is_detached: bool) {
        if is_detached && !self.is_detached {
            self.detachments += 1;
        }
        self.is_detached = is_detached;
    }

    /// Returns whether another node may hold the lease.
    pub(super) fn is_detached(&self) -> bool {
        self.is_detached
    }

    /// Returns in which time without a valid lease something becomes known
    /// now.
    pub(super) fn detachment(&self) -> Detachment {
        if self.is_detached { self.detachments } else { 0 }
    }

    /// Returns the time of the steady clock, in milliseconds, by which leases
    /// of workers are judged.
    ///
    /// A successor extends the leases of the workers that it reaches, also of
    /// those that this holder doesn't. There is none as long as this holder
    /// renews its own lease, so time after the last renewal doesn't count.
    pub(super) fn confirmed_ms(&self, now: Now) -> u64 {
        let renewed_ms = self.renewed_ms;
        renewed_ms.map_or(now.steady_ms, |sent_ms| sent_ms.min(now.steady_ms))
    }

    /// Returns how long ago the newest call was sent that renewed the lease,
    /// in milliseconds; `None` if that isn't known.
    pub(super) fn renewal_age_ms(&self, now: Now) -> Option<u64> {
        let renewed_ms = self.renewed_ms;
        renewed_ms.map(|sent_ms| now.steady_ms.saturating_sub(sent_ms))
    }

    /// Returns whether a start may depend on what became known in this time
    /// without a valid lease.
    fn covers(&self, known_in: Detachment) -> bool {
        !self.is_detached || known_in != self.detachments
    }

    /// Notes that a worker has ended, or may have, that hadn't listed what it
    /// ran for former holders.
    pub(super) fn note_unlisted_ends(&mut self) {
        self.unlisted_ends_in = self.detachment();
    }

    /// Returns whether only another holder may know how runs of former holders
    /// have ended.
    pub(super) fn lacks_ends(&self) -> bool {
        !self.covers(self.unlisted_ends_in)
    }

    /// Returns whether a task may start on a worker.
    pub(super) fn covers_worker(&self, worker: &Worker) -> bool {
        self.covers(worker.listed_in)
    }

    /// Returns whether a task of the job may start: it is certain that no other
    /// holder has taken in the end of an earlier run, or has started the task
    /// first.
    pub(super) fn covers_task(&self, job: &Job, task: &TaskId) -> bool {
        let lost_in = job.task(task).map_or(0, |state| state.lost_in);
        self.covers(job.known_in) && self.covers(lost_in)
    }
}

impl Scheduler {
    /// Sets whether another node may hold the lease, because it has expired or
    /// may have been released.
    ///
    /// Has to be set before anything is applied that became known in that
    /// time.
    pub fn set_detached(&mut self, is_detached: bool) {
        self.own_lease.set_detached(is_detached);
    }

    /// Notes that a run of a task was lost without a reported end.
    pub(super) fn note_loss(&mut self, task: &TaskId) {
        let lost_in = self.own_lease.detachment();
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.lost_in = lost_in;
        }
    }
}
