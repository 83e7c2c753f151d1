/*!
Counts of waiting jobs: one record that the holder writes and all nodes read.

With a count that is too low, a caller would be told that nothing waits
although its job does. A node must therefore be able to tell whether the record
is fresh:

- The record is attached to the holder's lease, so it is deleted when the lease
  ends.
- The holder rewrites it regularly even if no count has changed, so a record
  that stays at one version for longer is abandoned.
- A holder that may have missed jobs doesn't write it.

If there is no fresh record, a node counts the stored jobs itself.

Each write is conditional on the record's own version, and only one is in
flight at a time, so a delayed copy of an older write can't replace newer
counts.
*/

use {
    super::{election::HeldLease, keys},
    dewspar::record::RecordWriteOutcome,
    dewspar_platform::{Batch, Expected, Versioned},
    std::collections::BTreeMap,
};

/// The minimum interval between writes of changed counts, in milliseconds.
const CHANGED_WRITE_INTERVAL_MS: u64 = 700;

/// The interval between writes of unchanged counts, in milliseconds: the
/// record is at most a second old, and one write may be lost before readers
/// regard it as abandoned.
const UNCHANGED_WRITE_INTERVAL_MS: u64 = 1_000;

/// The minimum interval between checks whether counts have changed, in
/// milliseconds: each check iterates over all jobs.
const CHECK_INTERVAL_MS: u64 = 100;

/// How long a record may stay at one version before it counts as abandoned, in
/// milliseconds: the maximum age of counts in answers to callers.
const ABANDONED_AFTER_MS: u64 = 2_000;

/// How long the record's counts are cached, in milliseconds: a quarter of the
/// maximum age of counts in answers.
const RECORD_CACHE_MS: u64 = 500;

/// How long a node's own counts are cached, in milliseconds: counting reads
/// every stored job, which takes most of a second on a slow link.
const OWN_COUNT_CACHE_MS: u64 = 1_000;

/// The number of waiting jobs of each queue.
pub(super) type WaitingCounts = BTreeMap<String, u64>;

/// The holder's side: decides when counts are written, and under which
/// condition.
#[derive(Debug, Default)]
pub(super) struct CountsWriter {
    /// The counts of the last write.
    last_written: WaitingCounts,
    last_write_ms: u64,
    /// When the counts were last checked for changes.
    last_check_ms: u64,
    /// The record's version; 0 if there is none.
    version: u64,
    /// Whether the last write is known to have succeeded.
    is_stored: bool,
    /// Whether a write is in flight.
    is_writing: bool,
}

impl CountsWriter {
    /// Sets the version at which the record was found; 0 if there is none.
    pub(super) fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Returns whether counts should be passed to
    /// [`begin_write`](Self::begin_write) now.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_writing
            && now_ms >= self.last_write_ms + CHANGED_WRITE_INTERVAL_MS
            && now_ms >= self.last_check_ms + CHECK_INTERVAL_MS
    }

    /// Begins a write of these counts and returns it; returns `None` if they
    /// are unchanged and the record is recent.
    pub(super) fn begin_write(
        &mut self,
        counts: WaitingCounts,
        held: &HeldLease,
        now_ms: u64,
    ) -> Option<Batch> {
        self.last_check_ms = now_ms;
        let is_recent =
            now_ms < self.last_write_ms + UNCHANGED_WRITE_INTERVAL_MS;
        if counts == self.last_written && self.is_stored && is_recent {
            return None;
        }
        // OK because strings and numbers can always be serialized.
        let value = serde_json::to_vec(&counts).expect("plain JSON");
        self.last_written = counts;
        self.last_write_ms = now_ms;
        self.is_writing = true;
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(held.revision))
            .when(keys::PENDING, Expected::from_version(self.version))
            .put_leased(keys::PENDING, value, held.lease);
        Some(batch)
    }

    /// Handles the result of the write. A failed write is retried under the
    /// same condition, so that only one of the two can take effect.
    pub(super) fn write_answered(&mut self, written: RecordWriteOutcome) {
        self.is_writing = false;
        self.is_stored = matches!(written, RecordWriteOutcome::Done(_));
        match written {
            RecordWriteOutcome::Done(version)
            | RecordWriteOutcome::Conflict { version } => {
                self.version = version
            }
            RecordWriteOutcome::Failed => {}
        }
    }

    /// Returns the counts of the last write.
    pub(super) fn last_written(&self) -> &WaitingCounts {
        &self.last_written
    }
}

/// A reader's side: the cached counts from which callers are answered.
#[derive(Debug, Default)]
pub(super) struct CountsReader {
    counts: WaitingCounts,
    /// When the cached counts expire.
    cached_until_ms: u64,
    /// The version of the record that was read last; 0 if there was none.
    version: u64,
    /// When that version was first seen.
    first_seen_ms: u64,
}

/// A record as a reader evaluates it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CountsRecord {
    /// The current holder wrote it recently.
    Fresh(WaitingCounts),
    /// There is no record, or it can't be relied on, for this reason.
    Unusable(&'static str),
}

impl CountsRecord {
    /// Returns why the record can't be used, if it can't.
    pub(super) fn unusable_reason(&self) -> Option<&'static str> {
        match self {
            CountsRecord::Fresh(_) => None,
            CountsRecord::Unusable(reason) => Some(reason),
        }
    }

    /// Returns the counts of a fresh record.
    pub(super) fn counts(&self) -> Option<&WaitingCounts> {
        match self {
            CountsRecord::Fresh(counts) => Some(counts),
            CountsRecord::Unusable(_) => None,
        }
    }
}

impl CountsReader {
    /// Returns a queue's count, unless the cache has expired.
    pub(super) fn cached_count(
        &self,
        queue: &str,
        now_ms: u64,
    ) -> Option<u64> {
        (now_ms < self.cached_until_ms).then(|| self.count(queue))
    }

    /// Returns a queue's count from the cache, even if it has expired; a queue
    /// without an entry has no waiting job.
    pub(super) fn count(&self, queue: &str) -> u64 {
        self.counts.get(queue).copied().unwrap_or(0)
    }

    /// Evaluates the record that was read, and remembers its version.
    pub(super) fn evaluate(
        &mut self,
        found: Option<&Versioned>,
        now_ms: u64,
    ) -> CountsRecord {
        let version = found.map_or(0, |found| found.version);
        if version != self.version {
            self.version = version;
            self.first_seen_ms = now_ms;
        }
        let Some(found) = found else {
            return CountsRecord::Unusable("no holder has counted");
        };
        if now_ms >= self.first_seen_ms + ABANDONED_AFTER_MS {
            return CountsRecord::Unusable("its holder doesn't renew it");
        }
        match serde_json::from_slice(&found.value) {
            Ok(counts) => CountsRecord::Fresh(counts),
            Err(_) => CountsRecord::Unusable("it can't be read"),
        }
    }

    /// Returns how long the last evaluated record has been at the same
    /// version, in milliseconds.
    pub(super) fn unchanged_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.first_seen_ms)
    }

    /// Caches a holder's counts.
    pub(super) fn use_record(&mut self, counts: WaitingCounts, now_ms: u64) {
        self.counts = counts;
        self.cached_until_ms = now_ms + RECORD_CACHE_MS;
    }

    /// Caches counts that this node made itself.
    pub(super) fn use_own_count(
        &mut self,
        counts: WaitingCounts,
        now_ms: u64,
    ) {
        self.counts = counts;
        self.cached_until_ms = now_ms + OWN_COUNT_CACHE_MS;
    }
}
