/*!
Room that is kept for a task that waits, while others that go before it wait too.

Short runs have to end before a large task has its room. Nearly all do within
seconds, but one that takes a minute lets the rest of its worker stand idle for as
long. Where tasks of a queue with a higher priority wait meanwhile, the place is
given up after a while, and kept again only after a pause of the same length.
One that has to move keeps its place: it was at work.
*/

use {
    crate::{
        job::TaskId,
        schedule::{Now, Scheduler},
    },
    std::collections::BTreeMap,
};

/// For how long room may stand idle for a task while others wait that go before
/// it, in milliseconds: longer than nearly any short task takes.
const OUTRANKED_TIMEOUT_MS: u64 = 6_000;

/// How long tasks have waited for kept room.
#[derive(Debug, Default)]
pub(super) struct PendingWaits {
    /// Since when the room of each isn't free yet.
    since_ms: BTreeMap<TaskId, u64>,
    /// The tasks for which no room is kept, and until when.
    deferred_until_ms: BTreeMap<TaskId, u64>,
}

impl PendingWaits {
    pub(super) fn is_deferred(&self, task: &TaskId) -> bool {
        self.deferred_until_ms.contains_key(task)
    }
}

impl Scheduler {
    /// Gives up the places of tasks that have waited for them for long while
    /// others wait that go before them; returns those that go on waiting.
    pub(super) fn release_outranked(
        &mut self,
        pending: Vec<TaskId>,
        now: Now,
    ) -> Vec<TaskId> {
        let pending_waits = &mut self.places.pending_waits;
        pending_waits
            .deferred_until_ms
            .retain(|_, until| now.steady_ms < *until);
        // In the order of their identifiers, and there may be hundreds.
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
            self.places
                .pending_waits
                .deferred_until_ms
                .insert(*task, until_ms);
        }
        let goes_on = |task: &TaskId| !outranked.contains(task);
        pending.into_iter().filter(goes_on).collect()
    }

    /// Returns the tasks that have waited for their room for long and are to
    /// give it up.
    fn outranked(&self, now: Now) -> Vec<TaskId> {
        let since_ms = self.places.pending_waits.since_ms.iter();
        let overdue = since_ms.filter(|(task, since_ms)| {
            let planned = self.places.planned.get(task);
            now.steady_ms >= **since_ms + OUTRANKED_TIMEOUT_MS
                && planned.is_some_and(|planned| planned.from.is_none())
        });
        let mut overdue = overdue.map(|(task, _)| *task).peekable();
        // Nearly none ever is, and thousands of steps may wait.
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
