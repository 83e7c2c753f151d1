/*!
What the platform keeps of a partition: its head and its segments.

Both hold entries, each an intent or an outcome. The head holds the newest
ones and the names of the segments; a segment is never changed, and is
dropped once its newest entry is past the retention window.
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

/// Why a stored journal couldn't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// journal partition {partition} can't be read: {reason}
    Corrupt {
        /// The partition.
        partition: u32,
        /// What the decoder said.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// One line of the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Entry {
    Intent { filing: Filing, actor: Actor, at_ms: u64 },
    Outcome { key: Key, actor: Actor, outcome: Outcome, at_ms: u64 },
}

impl Entry {
    /// Returns when it was made, in milliseconds of the Unix epoch.
    pub(super) fn at_ms(&self) -> u64 {
        match self {
            Entry::Intent { at_ms, .. } => *at_ms,
            Entry::Outcome { at_ms, .. } => *at_ms,
        }
    }
}

/// The value of a partition that only compare-and-swap changes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Head {
    /// The token of the write that put it there.
    pub(super) token: u64,
    /// The entries that aren't sealed yet.
    pub(super) open: Vec<Entry>,
    pub(super) segments: Vec<Segment>,
}

impl Head {
    /// Moves the open entries to a segment once they are large enough;
    /// returns it with its body.
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

    /// Takes the segments out that are past the retention window.
    pub(super) fn drop_expired(&mut self, now_ms: u64) -> Vec<Segment> {
        let (old, kept) = std::mem::take(&mut self.segments)
            .into_iter()
            .partition(|segment| is_expired(segment.newest_ms, now_ms));
        self.segments = kept;
        old
    }
}

/// An immutable run of sealed entries.
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

/// Writes a head or a segment's body.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // OK because the types hold only numbers, strings and lists.
    postcard::to_stdvec(value).expect("an entry is always encodable")
}

/// Reads a head or a segment's body.
pub(super) fn decode<'a, T: Deserialize<'a>>(
    partition: u32,
    bytes: &'a [u8],
) -> Result<T, Error> {
    postcard::from_bytes(bytes)
        .map_err(|e| Error::Corrupt { partition, reason: e.to_string() })
}

/// Returns whether an entry of this time is past the retention window.
pub(super) fn is_expired(at_ms: u64, now_ms: u64) -> bool {
    at_ms + RETENTION_MS + 2 * CLOCK_SKEW_MS < now_ms
}
