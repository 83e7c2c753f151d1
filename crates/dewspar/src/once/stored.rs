/*!
The stored form of a partition: its head and its segments.

Both hold entries, each an intent or an outcome. The head holds the newest
entries and the names of the segments. A segment is immutable, and is dropped
once its newest entry is past the retention window.
*/

use {
    crate::{
        once::{
            Actor, CLOCK_SKEW_MS, Filing, Key, Outcome, RETENTION_MS,
            SEAL_BYTES,
        },
        util::digest_hex,
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// The reason why a stored journal can't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// journal partition {partition} can't be read: {reason}
    Corrupt {
        /// The partition's number.
        partition: u32,
        /// The decoder's error message.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// One entry of the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Entry {
    Intent { filing: Filing, actor: Actor, at_ms: u64 },
    Outcome { key: Key, actor: Actor, outcome: Outcome, at_ms: u64 },
}

impl Entry {
    /// Returns when the entry was created, in milliseconds of the Unix epoch.
    pub(super) fn at_ms(&self) -> u64 {
        match self {
            Entry::Intent { at_ms, .. } => *at_ms,
            Entry::Outcome { at_ms, .. } => *at_ms,
        }
    }
}

/// The value of a partition, which changes only by compare-and-swap.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Head {
    /// The token of the write that stored this head.
    pub(super) token: u64,
    /// The entries that aren't in a segment yet.
    pub(super) open: Vec<Entry>,
    pub(super) segments: Vec<Segment>,
}

impl Head {
    /// Moves the open entries to a new segment if they are large enough;
    /// returns the segment with its body.
    pub(super) fn seal(&mut self) -> Option<(Segment, Vec<u8>)> {
        let body = encode(&self.open);
        if body.len() < SEAL_BYTES {
            return None;
        }
        let newest_ms = self.open.iter().map(Entry::at_ms).max().unwrap_or(0);
        let segment = Segment { name: digest_hex(&body), newest_ms };
        self.segments.push(segment.clone());
        self.open.clear();
        Some((segment, body))
    }

    /// Removes and returns the segments past the retention window.
    pub(super) fn drop_expired(&mut self, now_ms: u64) -> Vec<Segment> {
        let (old, kept) = std::mem::take(&mut self.segments)
            .into_iter()
            .partition(|segment| is_expired(segment.newest_ms, now_ms));
        self.segments = kept;
        old
    }
}

/// An immutable batch of sealed entries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    name: String,
    newest_ms: u64,
}

impl Segment {
    /// Returns the segment's name, unique within its partition.
    pub fn name(&self) -> &str {
        &self.name
    }
}

/// Encodes a head or a segment's body.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // OK because the types hold only numbers, strings and lists.
    postcard::to_stdvec(value).expect("an entry is always encodable")
}

/// Decodes a head or a segment's body.
pub(super) fn decode<'a, T: Deserialize<'a>>(
    partition: u32,
    bytes: &'a [u8],
) -> Result<T, Error> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::Corrupt { partition, reason: e.to_string() })
}

/// Returns whether an entry created at `at_ms` is past the retention window,
/// with a margin for clock skew.
pub(super) fn is_expired(at_ms: u64, now_ms: u64) -> bool {
    at_ms + RETENTION_MS + 2 * CLOCK_SKEW_MS < now_ms
}
