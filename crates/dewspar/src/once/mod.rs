/*!
At-most-once execution: a replicated journal of filings.

A *filing* is a request that must not be executed twice, and nodes may fail
at any time. So before a filing is dispatched, its *intent* is written to the
platform, as in a write-ahead log, and afterwards its *outcome*. An intent
without an outcome is never run again. A caller that asks for it gets the
answer `unknown`, unless the node that wrote the intent is still alive and may
yet report the outcome.

# Partitions and group commit

A filing's idempotency key selects one of [`PARTITIONS`] partitions. A
partition is a single value at the platform, its *head*, which changes only by
compare-and-swap. One write is in flight for a partition at a time, and all
entries that arrive meanwhile go into the next write. The rate of writes to
the platform is therefore bounded by the number of partitions and the
platform's response time, whatever the number of filings.

The head holds the newest entries. When they exceed [`SEAL_BYTES`], they are
moved to an immutable *segment*, which the head then references by name.

[`Journal`] is the state machine of one partition, without I/O. Two nodes may
run it for the same partition at the same time: their writes conflict, and the
loser loads the winner's entries before it retries.

# Expiry of keys

An idempotency key is a version 7 UUID, whose timestamp gives its age. A key
older than the retention window can't be told from one whose entry has been
dropped; it is refused as [`KeyStatus::TooOld`] and never run.

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

// Another node that gets the same request finds an intent without an outcome.
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

/// The number of partitions.
///
/// It is constant, which bounds the rate of writes to the platform. At the
/// same rate, a filing waits less with few partitions that are written often
/// than with many that are written rarely: see `docs/design/journal.md`.
pub const PARTITIONS: u32 = 2;

/// The size of the head's entries from which they are sealed, in bytes.
pub const SEAL_BYTES: usize = 64 * 1024;

/// The retention window of keys, in milliseconds.
pub const RETENTION_MS: u64 = 15 * 60 * 1000;

/// The maximum difference between two clocks, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 60 * 1000;

/// A filing as the journal records it: its idempotency key and a hash of its
/// body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Filing {
    key: Key,
    body_hash: u64,
}

impl Filing {
    /// Creates a filing from its key and complete body.
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
/// delayed or duplicated message can't settle a later attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Actor {
    node: String,
    incarnation: u64,
    attempt: u64,
}

impl Actor {
    /// Creates an actor from a node's name, the incarnation of its process and
    /// the number of the attempt.
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

/// The outcome of a filing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The filing ran, and the target answered with this HTTP status.
    Ran {
        /// The HTTP status of the target's answer.
        status: u16,
    },
    /// The filing certainly did not run; its key may be used again.
    NotRun,
    /// It can't be determined whether the filing ran.
    Unknown,
}
