/*!
At most once: a journal of filings, kept at the platform.

A filing may not be repeated, and nodes die. So before a filing is dispatched
its *intent* is written to the platform, and afterwards its *outcome*. An
intent without an outcome is never run again: whoever finds it says
`unknown`, unless the node that wrote it still lives and works on it.

# Partitions and group commit

A filing's key picks one of [`PARTITIONS`] partitions. A partition is one
value at the platform, its *head*, which only compare-and-swap changes. One
write is in flight for a partition at a time, and all entries that arrive
meanwhile ride on the next one. So the platform's writes are bounded by the
number of partitions and its own answer time, however many filings come.

The head holds the newest entries. When they outgrow [`SEAL_BYTES`], they
move to an immutable *segment*, which the head names from then on.

[`Journal`] is the state machine of one partition, without I/O. Two nodes may
run it for the same partition at the same time: their writes collide, and the
loser takes in the winner's entries before it tries again.

# Keys and their age

A key is a version 7 UUID, whose time says how old it is. A key older than
the retention window can't be told from one whose entry has been dropped; it
is refused as [`KeyStatus::TooOld`] and never run.

# Example

```
use dewspar::once::{
    Actor, Admission, Filing, Journal, Key, Outcome, KeyStatus,
};

let now_ms = 1_800_000_000_000;
let filing = Filing::new(Key::at(now_ms, 7), b"amend article 4");
let actor = Actor::new("athens-1", 1, 1);
let mut journal = Journal::new(0);

let Admission::Queued(ticket) = journal.admit(&filing, &actor, now_ms) else {
    panic!("a fresh key is queued");
};
let write = journal.next_write(now_ms).expect("an entry waits");
assert_eq!(journal.written(write.token(), 1), [ticket]);

// Another node, asked the same, finds the intent without an outcome.
let mut other = Journal::new(0);
other.load(1, Some(write.value()))?;
assert!(matches!(
    other.admit(&filing, &Actor::new("athens-2", 2, 1), now_ms),
    Admission::Blocked(KeyStatus::Intended(_)),
));

journal.settle(filing.key(), &actor, Outcome::Ran { status: 201 }, now_ms);
let write = journal.next_write(now_ms).expect("the outcome waits");
other.load(2, Some(write.value()))?;
assert_eq!(
    other.admit(&filing, &actor, now_ms),
    Admission::Blocked(KeyStatus::Settled(Outcome::Ran { status: 201 })),
);
# Ok::<(), dewspar::once::Error>(())
```
*/

pub use self::{
    journal::{Admission, Journal, Superseded, Ticket},
    key::{Key, KeyError},
    known::KeyStatus,
    stored::{Error, Segment},
    write::Write,
};

use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

mod journal;
mod key;
mod known;
mod stored;
mod write;

/// The number of partitions; a constant, so that the platform's writes are.
///
/// Few partitions with frequent writes let a filing wait less than many with
/// rare ones, at the same number of writes: see `docs/design/journal.md`.
pub const PARTITIONS: u32 = 2;

/// How large the head's entries may grow before they are sealed, in bytes.
pub const SEAL_BYTES: usize = 64 * 1024;

/// How long a key is remembered, in milliseconds.
pub const RETENTION_MS: u64 = 15 * 60 * 1000;

/// How far two clocks may differ, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 60 * 1000;

/// A filing as the journal knows it: its key and a hash of its body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Filing {
    key: Key,
    body_hash: u64,
}

impl Filing {
    /// Makes a filing from its key and whole body.
    pub fn new(key: Key, body: &[u8]) -> Filing {
        Filing { key, body_hash: xxh3_64(body) }
    }

    /// Returns the filing's key.
    pub fn key(&self) -> Key {
        self.key
    }
}

/// One attempt, by one process, to run a filing.
///
/// The attempt's number is unique within the process. It fences outcomes: a
/// message that was delayed or sent twice can't settle a later attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Actor {
    node: String,
    incarnation: u64,
    attempt: u64,
}

impl Actor {
    /// Makes an actor from a node's name, its incarnation and the number of
    /// the attempt.
    pub fn new(node: &str, incarnation: u64, attempt: u64) -> Actor {
        Actor { node: node.to_owned(), incarnation, attempt }
    }

    /// Returns the node's name.
    pub fn node(&self) -> &str {
        &self.node
    }

    /// Returns the process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }
}

/// What became of a filing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It ran, and the target answered with this HTTP status.
    Ran {
        /// The HTTP status of the target's answer.
        status: u16,
    },
    /// It certainly did not run; its key may be used again.
    NotRun,
    /// Nobody can say whether it ran.
    Unknown,
}
