/*!
The jobs whose acceptance this node may have written without knowing.

A write without an answer may take effect at any later time, so a look at the
store doesn't prove that such a job isn't stored. A node therefore never refuses
a job again that it has sent to the store and got no answer for: it repeats the
conditional write, whose answer is certain.
*/

use {
    dewspar::job::JobId,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// How long a write without an answer is remembered, in milliseconds: several
/// times the deadline of a call.
const KEPT_MS: u64 = 30_000;

/// The number of entries from which old ones are looked for.
const PRUNE_FROM: usize = 1_024;

/// The jobs with writes that got no answer.
#[derive(Debug, Default)]
pub(super) struct UnansweredWrites {
    writes: Mutex<BTreeMap<JobId, JobWrites>>,
}

/// The writes of a job that got no answer.
#[derive(Clone, Copy, Debug)]
struct JobWrites {
    /// When the last was sent.
    sent_ms: u64,
    count: u32,
}

impl UnansweredWrites {
    fn entries(&self) -> MutexGuard<'_, BTreeMap<JobId, JobWrites>> {
        // A panic elsewhere can't leave the map half changed.
        self.writes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a write is sent, before it is: its caller may go away and
    /// end it at any time.
    pub(super) fn sent(&self, id: JobId, now_ms: u64) {
        let mut entries = self.entries();
        if entries.len() >= PRUNE_FROM {
            entries.retain(|_, writes| now_ms < writes.sent_ms + KEPT_MS);
        }
        let fresh = JobWrites { sent_ms: now_ms, count: 0 };
        let writes = entries.entry(id).or_insert(fresh);
        writes.sent_ms = now_ms;
        writes.count += 1;
    }

    /// Notes that the result of one write is known.
    pub(super) fn answered(&self, id: JobId) {
        let mut entries = self.entries();
        let Some(writes) = entries.get_mut(&id) else { return };
        writes.count -= 1;
        if writes.count == 0 {
            entries.remove(&id);
        }
    }

    /// Returns whether a write of the job may still take effect.
    pub(super) fn contains(&self, id: JobId, now_ms: u64) -> bool {
        let writes = self.entries().get(&id).copied();
        writes.is_some_and(|writes| now_ms < writes.sent_ms + KEPT_MS)
    }
}
