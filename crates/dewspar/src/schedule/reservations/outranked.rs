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
const OUTRANKED_MS: u64 = 6_000;

/// How long tasks have waited for kept room.
#[derive(Debug, Default)]
pub(super) struct Patience {
    /// Since when the room of each isn't free yet.
    since_ms: BTreeMap<TaskId, u64>,
    /// The tasks for which no room is kept, and until when.
    put_off_ms: BTreeMap<TaskId, u64>,
}

impl Patience {
    pub(super) fn is_put_off(&self, task: &TaskId) -> bool {
        self.put_off_ms.contains_key(task)
    }
}

impl Scheduler {
    /// Gives up the places of tasks that have waited for them for long while
    /// others wait that go before them; returns those that go on waiting.
    pub(super) fn give_up_outranked(
        &mut self,
        not_yet_free: Vec<TaskId>,
        now: Now,
    ) -> Vec<TaskId> {
        let patience = &mut self.places.patience;
        patience.put_off_ms.retain(|_, until| now.steady_ms < *until);
        // In the order of their identifiers, and there may be hundreds.
        let waits = |task: &TaskId| not_yet_free.binary_search(task).is_ok();
        patience.since_ms.retain(|task, _| waits(task));
        for task in &not_yet_free {
            let since_ms = &mut patience.since_ms;
            since_ms.entry(*task).or_insert(now.steady_ms);
        }
        let outranked = self.outranked(now);
        for task in &outranked {
            self.release_place(task, now);
            let until_ms = now.steady_ms + OUTRANKED_MS;
            self.places.patience.put_off_ms.insert(*task, until_ms);
        }
        let goes_on = |task: &TaskId| !outranked.contains(task);
        not_yet_free.into_iter().filter(goes_on).collect()
    }

    /// Returns the tasks that have waited for their room for long and are to
    /// give it up.
    fn outranked(&self, now: Now) -> Vec<TaskId> {
        let since_ms = self.places.patience.since_ms.iter();
        let overdue = since_ms.filter(|(task, since_ms)| {
            let planned = self.places.planned.get(task);
            now.steady_ms >= **since_ms + OUTRANKED_MS
                && planned.is_some_and(|planned| planned.from.is_none())
        });
        let mut overdue = overdue.map(|(task, _)| *task).peekable();
        // Nearly none ever is, and thousands of steps may wait.
        if overdue.peek().is_none() {
            return Vec::new();
        }
        let first = self.candidates.first_priorities();
        let outranked = overdue.filter(|task| {
            let Some(job) = self.jobs.get(&task.job) else { return false };
            let first = first.get(job.terms.pool.as_str());
            first.is_some_and(|first| *first < job.terms.priority)
        });
        outranked.collect()
    }
}
