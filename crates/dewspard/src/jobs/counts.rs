/*!
Counts of waiting jobs: one record that the holder writes and all nodes read.

A count that is too low tells a caller that nothing waits while its job does,
so a node must know that what it reads is fresh. The record therefore goes
with the holder's lease: once that is over there is none, whoever wrote it. And
a holder writes it again before it is old, changed or not, so that one which
stays the same for longer was given up by its holder. A holder that may not have
heard of some jobs doesn't write it. Where there is no fresh record a node counts
the stored jobs itself.

Each write is conditional on the record's own version, and one is under way at
a time: a late copy of an older write can't replace a newer count.
*/

use {
    super::{election::HeldLease, keys},
    dewspar::record::RecordWritten,
    dewspar_platform::{Batch, Expected, Versioned},
    std::collections::BTreeMap,
};

/// How often counts are written if they have changed, in milliseconds.
const CHANGED_WRITE_INTERVAL_MS: u64 = 700;

/// How often counts are written that haven't changed, in milliseconds: so
/// that they are a second old at most, and a write may be lost before readers
/// take them for given up.
const UNCHANGED_WRITE_INTERVAL_MS: u64 = 1_000;

/// How often it is looked whether counts have changed, in milliseconds: each
/// look goes through all jobs.
const CHECK_INTERVAL_MS: u64 = 100;

/// For how long a record that stays the same is believed, in milliseconds:
/// callers may be told counts of that age.
const ABANDONED_AFTER_MS: u64 = 2_000;

/// For how long counts are answered from without reading again, in
/// milliseconds: a quarter of what callers may be told.
const RECORD_CACHE_MS: u64 = 500;

/// For how long a node's own count is answered from, in milliseconds: it
/// reads every stored job, which takes a small link most of a second.
const OWN_COUNT_CACHE_MS: u64 = 1_000;

/// How many jobs of each queue wait.
pub(super) type WaitingJobs = BTreeMap<String, u64>;

/// The holder's side: when counts are written, and under what condition.
#[derive(Debug, Default)]
pub(super) struct CountsWriter {
    last_written: WaitingJobs,
    last_write_ms: u64,
    /// When it was last looked whether they have changed.
    last_check_ms: u64,
    /// The record's version; 0 for none.
    version: u64,
    /// Whether the last write is known to have taken place.
    is_stored: bool,
    is_writing: bool,
}

impl CountsWriter {
    /// Notes at which version the record was found; 0 for none.
    pub(super) fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Returns whether counts may have to be written now.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        !self.is_writing
            && now_ms >= self.last_write_ms + CHANGED_WRITE_INTERVAL_MS
            && now_ms >= self.last_check_ms + CHECK_INTERVAL_MS
    }

    /// Returns the write of these counts, unless the record is new enough.
    pub(super) fn begin_write(
        &mut self,
        counts: WaitingJobs,
        held: &HeldLease,
        now_ms: u64,
    ) -> Option<Batch> {
        self.last_check_ms = now_ms;
        let is_recent =
            now_ms < self.last_write_ms + UNCHANGED_WRITE_INTERVAL_MS;
        if counts == self.last_written && self.is_stored && is_recent {
            return None;
        }
        // OK because texts and numbers can always be written.
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

    /// Notes what became of the write; one that failed is tried again under
    /// the same condition, so that only one of the two can take place.
    pub(super) fn write_answered(&mut self, written: RecordWritten) {
        self.is_writing = false;
        self.is_stored = matches!(written, RecordWritten::Done(_));
        match written {
            RecordWritten::Done(version)
            | RecordWritten::Conflict { version } => self.version = version,
            RecordWritten::Failed => {}
        }
    }

    /// Returns the counts that were written last.
    pub(super) fn last_written(&self) -> &WaitingJobs {
        &self.last_written
    }
}

/// A reader's side: the counts that it answers from.
#[derive(Debug, Default)]
pub(super) struct CountsReader {
    counts: WaitingJobs,
    /// Until when they are answered from.
    cached_until_ms: u64,
    /// The version of the record that was read last; 0 for none.
    version: u64,
    /// When that version was first read.
    first_seen_ms: u64,
}

/// What a record is worth.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CountsRecord {
    /// A living holder wrote it of late.
    Fresh(WaitingJobs),
    /// There is none, or none to be believed; this says why.
    Unusable(&'static str),
}

impl CountsRecord {
    /// Returns why it isn't believed, if it isn't.
    pub(super) fn unusable_reason(&self) -> Option<&'static str> {
        match self {
            CountsRecord::Fresh(_) => None,
            CountsRecord::Unusable(reason) => Some(reason),
        }
    }

    /// Returns its counts, if it is believed.
    pub(super) fn counts(&self) -> Option<&WaitingJobs> {
        match self {
            CountsRecord::Fresh(counts) => Some(counts),
            CountsRecord::Unusable(_) => None,
        }
    }
}

impl CountsReader {
    /// Returns a queue's count, if it needn't be read again.
    pub(super) fn cached_count(
        &self,
        queue: &str,
        now_ms: u64,
    ) -> Option<u64> {
        (now_ms < self.cached_until_ms).then(|| self.count(queue))
    }

    /// Returns a queue's count as it was taken over last; a queue that isn't
    /// among the counts has no waiting job.
    pub(super) fn count(&self, queue: &str) -> u64 {
        self.counts.get(queue).copied().unwrap_or(0)
    }

    /// Judges the record that was found, and notes its version.
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

    /// Returns for how long the record that was judged has been the same, in
    /// milliseconds.
    pub(super) fn unchanged_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.first_seen_ms)
    }

    /// Takes over a holder's counts.
    pub(super) fn use_record(&mut self, counts: WaitingJobs, now_ms: u64) {
        self.counts = counts;
        self.cached_until_ms = now_ms + RECORD_CACHE_MS;
    }

    /// Takes over what this node has counted itself.
    pub(super) fn use_own_count(&mut self, counts: WaitingJobs, now_ms: u64) {
        self.counts = counts;
        self.cached_until_ms = now_ms + OWN_COUNT_CACHE_MS;
    }
}
