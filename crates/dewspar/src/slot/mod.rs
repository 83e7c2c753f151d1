/*!
Slots: a runner's few slots, shared by every node.

A runner takes, say, 8 requests at a time, for all nodes together. Splitting
8 among 6 nodes wastes slots, and among 70 it is impossible. So each service
has one [`Granter`], the node ranked first for it, and the other nodes hold
slots from it in small grants that expire. A node with steady demand keeps
its slots and uses them again and again without a message.

# One message

Holder and granter exchange one kind of message, a [`Sync`]: "I hold these
slots, and want so many more". It is a full statement and not a change, so it
renews, returns and asks in one, and a lost or repeated one does no harm. A
sequence number makes the granter pass over a late one.

A want that can't be met at once *parks* at the granter for a moment, oldest
request first. The granter tells the other holders how old it is and how many
slots are wanted: their [`Pressure`]. A holder under pressure gives back what
lies idle at once, and what comes free too if its own oldest request is
younger. So all nodes together come near to one queue.

# Safety

* A holder uses a slot only until the expiry it was told, counted from when
  it *sent* the sync.
* The granter counts a slot as out until its holder says otherwise, or until
  the grant has expired and every request that could have been dispatched
  under it has reached its deadline.
* A holder's process that is replaced leaves its slots out until then; its
  successor's statement doesn't speak for it.
* A new granter grants nothing until each live node has told it what it
  holds, or until every older grant must have ended.
* The runner's own refusal of one request too many is the last line, and
  counts as certainly not run.

# Example

```
use dewspar::slot::{Acquired, Granter, Holder, Limits};

let limits = Limits::default();
let mut granter = Granter::new(limits, 0);
granter.set_runner("extracts-0", 2);
let mut holder = Holder::new(limits);

holder.set_wanted(1);
let sync = holder.sync(Some(9), 10);
granter.sync("n1", &sync, &["n1"], 11);
let replies = granter.replies(11);
holder.apply_reply(&replies[0].1, 12);
let Acquired::Slot(runner) = holder.acquire(13, |_| true) else { panic!() };
assert_eq!(runner, "extracts-0");
holder.release(&runner);
```
*/

pub use self::{
    granter::Granter,
    holder::{Acquired, Holder},
};

use serde::{Deserialize, Serialize};

mod granter;
mod holder;

/// How long grants and requests live.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    grant_ms: u64,
    max_request_ms: u64,
    idle_ms: u64,
}

impl Default for Limits {
    /// Grants of 2 s, requests of at most 30 s, slots returned after 5 s
    /// without use or as soon as they are recalled.
    fn default() -> Limits {
        Limits { grant_ms: 2_000, max_request_ms: 30_000, idle_ms: 5_000 }
    }
}

impl Limits {
    /// Sets how long a grant lasts, in milliseconds.
    pub fn grant_ms(mut self, grant_ms: u64) -> Limits {
        self.grant_ms = grant_ms;
        self
    }

    /// Sets the longest time a request may take, in milliseconds.
    pub fn max_request_ms(mut self, max_request_ms: u64) -> Limits {
        self.max_request_ms = max_request_ms;
        self
    }

    /// Returns after how long every slot under an old grant is free again,
    /// in milliseconds.
    fn reclaim_after_ms(&self) -> u64 {
        self.grant_ms + self.max_request_ms
    }
}

/// A number of slots of one runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    runner: String,
    slots: u32,
}

impl Count {
    /// Returns the runner's name.
    pub fn runner(&self) -> &str {
        &self.runner
    }

    /// Returns how many of its slots are meant.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}

/// What other nodes wait for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pressure {
    waited_ms: u64,
    wanted: u32,
}

impl Pressure {
    /// Makes a pressure: how long the oldest request has waited, and how many
    /// slots are wanted.
    pub fn new(waited_ms: u64, wanted: u32) -> Pressure {
        Pressure { waited_ms, wanted }
    }
}

/// All that a holder tells a granter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    incarnation: u64,
    sequence: u64,
    held: Vec<Count>,
    want: u32,
    // How long the oldest request has waited.
    waited_ms: u64,
}

impl Sync {
    /// Makes the statement of a process that holds nothing yet.
    pub fn empty(incarnation: u64) -> Sync {
        Sync {
            incarnation,
            sequence: 0,
            held: Vec::new(),
            want: 0,
            waited_ms: 0,
        }
    }

    /// Returns the statement's number.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns how many more slots the holder wants.
    pub fn wanted(&self) -> u32 {
        self.want
    }

    /// Returns the slots that the holder states it holds.
    pub fn held(&self) -> &[Count] {
        &self.held
    }
}

/// What a granter answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    incarnation: u64,
    sequence: u64,
    accepted: bool,
    parked: bool,
    granted: Vec<Count>,
    revoked: Vec<String>,
    pressure: Option<Pressure>,
}

impl Reply {
    /// Returns the slots granted on top of what was held.
    pub fn granted(&self) -> &[Count] {
        &self.granted
    }

    /// Returns what others wait for.
    pub fn pressure(&self) -> Option<Pressure> {
        self.pressure
    }

    /// Returns the number of the sync that this answers.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Makes the answer of a node that isn't the granter.
    pub fn refused(sync: &Sync) -> Reply {
        Reply {
            incarnation: sync.incarnation,
            sequence: sync.sequence,
            accepted: false,
            parked: false,
            granted: Vec::new(),
            revoked: Vec::new(),
            pressure: None,
        }
    }
}
