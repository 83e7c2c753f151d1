/*!
Release of reservations while tasks of a higher priority wait.

Short runs have to end before the capacity reserved for a large task is free.
Nearly all end within seconds, but one that takes a minute keeps the rest of
its worker idle for as long. If tasks of a queue with a higher priority wait
meanwhile, the reservation is released after a timeout, and made again only
after a pause of the same length. A task that has to move keeps its
reservation, since it is running already.
*/

use {
    crate::{
        job::TaskId,
        schedule::{Now, Scheduler},
    },
    std::collections::BTreeMap,
};

/// How long reserved capacity may be idle for a task while tasks with a higher
/// priority wait, in milliseconds. Nearly all short tasks end within this
/// time.
const OUTRANKED_TIMEOUT_MS: u64 = 6_000;

/// How long tasks have waited for reserved capacity.
#[derive(Debug, Default)]
pub(super) struct PendingWaits {
    /// Since when each reservation has been pending.
    since_ms: BTreeMap<TaskId, u64>,
    /// The tasks that get no reservation for now, and until when.
    deferred_until_ms: BTreeMap<TaskId, u64>,
}

impl PendingWaits {
    pub(super) fn is_deferred(&self, task: &TaskId) -> bool {
        self.deferred_until_ms.contains_key(task)
    }
}

impl Scheduler {
    /// Releases reservations that have been pending for too long while tasks
    /// with a higher priority wait. Returns the remaining pending tasks.
    pub(super) fn release_outranked(
        &mut self,
        pending: Vec<TaskId>,
        now: Now,
    ) -> Vec<TaskId> {
        let pending_waits = &mut self.reservations.pending_waits;
        pending_waits
            .deferred_until_ms
            .retain(|_, until| now.steady_ms < *until);
        // Sorted by identifier; there may be hundreds.
        let waits = |task: &TaskId| pending.binary_search(task).is_ok();
        pending_waits.since_ms.retain(|task, _| waits(task));
        for task in &pending {
            let since_ms = &mut pending_waits.since_ms;
            since_ms.entry(*task).or_insert(now.steady_ms);
        }
        let outranked = self.outranked(now);
        for task in &outranked {
            self.release_reservation(task, now);
            let until_ms = now.steady_ms + OUTRANKED_TIMEOUT_MS;
            self.reservations
                .pending_waits
                .deferred_until_ms
                .insert(*task, until_ms);
        }
        let goes_on = |task: &TaskId| !outranked.contains(task);
        pending.into_iter().filter(goes_on).collect()
    }

    /// Returns the tasks whose pending reservations are to be released.
    fn outranked(&self, now: Now) -> Vec<TaskId> {
        let since_ms = self.reservations.pending_waits.since_ms.iter();
        let overdue = since_ms.filter(|(task, since_ms)| {
            let reservation = self.reservations.by_task.get(task);
            now.steady_ms >= **since_ms + OUTRANKED_TIMEOUT_MS
                && reservation
                    .is_some_and(|reservation| reservation.from.is_none())
        });
        let mut overdue = overdue.map(|(task, _)| *task).peekable();
        // Nearly always empty, whereas thousands of steps may be waiting.
        if overdue.peek().is_none() {
            return Vec::new();
        }
        let first = self.candidates.highest_priorities();
        let outranked = overdue.filter(|task| {
            let Some(job) = self.jobs.get(&task.job) else { return false };
            let first = first.get(job.terms.pool.as_str());
            first.is_some_and(|first| *first < job.terms.priority)
        });
        outranked.collect()
    }
}
