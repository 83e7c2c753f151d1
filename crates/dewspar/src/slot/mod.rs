/*!
Slots: a distributed concurrency limit for each runner.

A runner serves a fixed number of requests at a time, for example 8, for all
nodes together. Dividing 8 slots statically among 6 nodes wastes some of them,
and among 70 nodes it is impossible. So each service has one [`Granter`], the
node ranked first for it, which leases slots to the [`Holder`]s on the other
nodes in small grants that expire. A node with steady demand renews its grant
and reuses its slots without a message per request.

# One message

Holder and granter exchange one kind of message, a [`Sync`]: "I hold these
slots, and want so many more". It states the full state instead of a change, so
the same message renews, returns and requests slots, and a lost or duplicated
message is harmless. The granter ignores reordered messages by their sequence
number.

A want that can't be met at once is *parked* at the granter for a short time,
ordered by the age of the oldest request. The granter tells the other holders
how old that request is and how many slots are wanted: their [`Pressure`]. A
holder under pressure returns idle slots at once, and also slots that become
free if its own oldest request is younger. All nodes together thus approximate
one first-in, first-out queue.

# Safety

* A holder uses a slot only until its grant expires, counted from when the
  holder *sent* the sync.
* The granter counts a slot as outstanding until its holder reports otherwise,
  or until the grant has expired and every request that could have been
  dispatched under it has reached its deadline.
* The slots of a replaced holder process stay outstanding for the same time:
  its successor's sync doesn't cover requests of the old process.
* A new granter grants nothing until each live node has reported what it
  holds, or until every older grant must have ended.
* As a last safeguard, a runner refuses requests beyond its limit itself. Such
  a request has certainly not run.

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

/// The durations that bound grants and requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    grant_ms: u64,
    max_request_ms: u64,
    idle_ms: u64,
}

impl Default for Limits {
    /// Returns limits with grants of 2 s and requests of at most 30 s, where
    /// slots are returned after 5 s without use or when they are recalled.
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

    /// Sets the maximum duration of a request, in milliseconds.
    pub fn max_request_ms(mut self, max_request_ms: u64) -> Limits {
        self.max_request_ms = max_request_ms;
        self
    }

    /// Returns the time after a sync at which every slot held under it is
    /// free again, in milliseconds.
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

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}

/// The unmet demand of other nodes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pressure {
    waited_ms: u64,
    wanted: u32,
}

impl Pressure {
    /// Creates a pressure from the time that the oldest request has waited, in
    /// milliseconds, and the number of slots wanted.
    pub fn new(waited_ms: u64, wanted: u32) -> Pressure {
        Pressure { waited_ms, wanted }
    }
}

/// The message from a holder to the granter: the holder's full state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    incarnation: u64,
    sequence: u64,
    held: Vec<Count>,
    want: u32,
    // How long the holder's oldest request has waited.
    waited_ms: u64,
}

impl Sync {
    /// Creates the message of a process that holds no slots yet.
    pub fn empty(incarnation: u64) -> Sync {
        Sync {
            incarnation,
            sequence: 0,
            held: Vec::new(),
            want: 0,
            waited_ms: 0,
        }
    }

    /// Returns the message's sequence number.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns how many more slots the holder wants.
    pub fn wanted(&self) -> u32 {
        self.want
    }

    /// Returns the slots that the holder has.
    pub fn held(&self) -> &[Count] {
        &self.held
    }
}

/// The granter's reply to a [`Sync`].
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
    /// Returns the slots granted in addition to those already held.
    pub fn granted(&self) -> &[Count] {
        &self.granted
    }

    /// Returns the unmet demand of other nodes.
    pub fn pressure(&self) -> Option<Pressure> {
        self.pressure
    }

    /// Returns the sequence number of the sync that this answers.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Creates the reply of a node that isn't the granter.
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
