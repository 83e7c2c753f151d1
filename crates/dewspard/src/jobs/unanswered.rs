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

/// The jobs with a write that got no answer, each with when it was sent.
#[derive(Debug, Default)]
pub(super) struct UnansweredWrites {
    sent_ms: Mutex<BTreeMap<JobId, u64>>,
}

impl UnansweredWrites {
    fn entries(&self) -> MutexGuard<'_, BTreeMap<JobId, u64>> {
        // A panic elsewhere can't leave the map half changed.
        self.sent_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a write is sent, before it is: its caller may go away and
    /// end it at any time.
    pub(super) fn sent(&self, id: JobId, now_ms: u64) {
        let mut entries = self.entries();
        if entries.len() >= PRUNE_FROM {
            entries.retain(|_, sent_ms| now_ms < *sent_ms + KEPT_MS);
        }
        entries.insert(id, now_ms);
    }

    /// Notes that the result of a write is known.
    pub(super) fn answered(&self, id: JobId) {
        self.entries().remove(&id);
    }

    /// Returns whether a write of the job may still take effect.
    pub(super) fn contains(&self, id: JobId, now_ms: u64) -> bool {
        let sent_ms = self.entries().get(&id).copied();
        sent_ms.is_some_and(|sent_ms| now_ms < sent_ms + KEPT_MS)
    }
}
