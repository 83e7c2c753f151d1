/*!
How much the clients of a node may make it hold, and which connections give way.

A client costs a node memory and descriptors before it has sent a whole request:
buffers, the part of a body that has arrived, a socket. Clients that send much and
never finish could use up what the node needs for its own work. So all connections
of a listener share two bounds: a number of connections, and a number of bytes. Both
follow from the machine ([`InboundLimits::of_machine`]); the bytes also shrink while
the node's own work takes more memory ([`capacity_bytes`]).

At a bound, a new request isn't refused as long as another one is in its way. A
request that is being served keeps its connection. Of the others, those give way
first that have cost the most:

- for memory, the product of the bytes that a connection holds and of how long it
  has held them ([`closed_for_memory`]);
- for a connection, the time for which it has been sending one request, then the time
  for which it has sent nothing ([`closed_for_connection`]).

So a request that arrives at once is served beside any number of connections that
stop within a request or send it byte by byte. An address of its own isn't needed for
that: many clients may share one.

# Example

```
use dewspar::inbound::{Activity, ConnectionUse, closed_for_memory};

let sends = |id, held_bytes, age_ms| ConnectionUse {
    id,
    activity: Activity::Receiving,
    held_bytes,
    age_ms,
};
let uses = [
    sends(1, 1_000_000, 5_000), // A large body that has stopped.
    sends(2, 20_000, 5_000),    // A small one on a slow link.
    sends(3, 20_000, 1),        // One that has just arrived.
];
assert_eq!(closed_for_memory(&uses, 16_000), [1]);
```
*/

/// The most that the connections of one listener may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InboundLimits {
    /// How many connections are open at most.
    pub max_connections: usize,
    /// How many bytes they hold at most, together.
    pub max_bytes: usize,
}

/// The part of a machine's descriptors that callers' connections may take.
const CALLERS_DESCRIPTOR_DIVISOR: usize = 4;

/// The memory that a connection takes at most beside what is counted of it, in
/// bytes: what the kernel holds of what has arrived and isn't read, and the slack of
/// its buffers.
const UNCOUNTED_CONNECTION_BYTES: usize = 56 * 1024;

/// The part of a machine's memory that callers may take at most.
const CALLERS_MEMORY_DIVISOR: usize = 4;

/// The part of a machine's memory that callers may always take, so that they
/// are served beside any work of the node's own.
const CALLERS_LEAST_MEMORY_DIVISOR: usize = 32;

/// How long a connection may have been sending one request before it gives way
/// to a new connection ahead of idle ones, in milliseconds.
const SLOW_REQUEST_MS: u64 = 1_000;

impl InboundLimits {
    /// Returns what callers may take on a machine with this much memory and
    /// this many descriptors: a quarter of each, and no more connections than
    /// another quarter of the memory bears. The rest is the node's own.
    pub fn of_machine(
        memory_bytes: usize,
        descriptors: usize,
    ) -> InboundLimits {
        let max_bytes = memory_bytes / CALLERS_MEMORY_DIVISOR;
        let by_memory = max_bytes / UNCOUNTED_CONNECTION_BYTES;
        let by_descriptors = descriptors / CALLERS_DESCRIPTOR_DIVISOR;
        InboundLimits {
            max_connections: by_descriptors.min(by_memory).max(1),
            max_bytes,
        }
    }
}

/// Returns how many bytes callers may hold at the moment, of at most `max_bytes`.
///
/// What the process takes beside their bytes, `resident_bytes` less
/// `held_bytes`, is the node's own work. Callers get half of what that leaves of
/// the machine's memory, and at least a thirty-second of it in all.
pub fn capacity_bytes(
    memory_bytes: usize,
    max_bytes: usize,
    resident_bytes: usize,
    held_bytes: usize,
) -> usize {
    let own_bytes = resident_bytes.saturating_sub(held_bytes);
    let half_of_rest = memory_bytes.saturating_sub(own_bytes) / 2;
    half_of_rest
        .max(memory_bytes / CALLERS_LEAST_MEMORY_DIVISOR)
        .min(max_bytes)
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// It has sent nothing since its last answer.
    Idle,
    /// Part of a request has arrived.
    Receiving,
    /// A whole request has arrived and is being served.
    Serving,
}

/// What one connection takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionUse {
    /// Tells it from the others.
    pub id: u64,
    /// What it is doing.
    pub activity: Activity,
    /// How many bytes it holds.
    pub held_bytes: usize,
    /// For how long it has been sending the present request, or has sent
    /// nothing, in milliseconds.
    pub age_ms: u64,
}

impl ConnectionUse {
    fn may_be_closed(&self) -> bool {
        self.activity != Activity::Serving
    }

    /// Returns the memory that it has taken over time.
    fn byte_milliseconds(&self) -> u128 {
        self.held_bytes as u128 * u128::from(self.age_ms)
    }
}

/// Returns the connection that gives way to a new one; `None` if all are being
/// served.
pub fn closed_for_connection(uses: &[ConnectionUse]) -> Option<u64> {
    let rank = |connection: &&ConnectionUse| {
        let is_slow = connection.activity == Activity::Receiving
            && connection.age_ms >= SLOW_REQUEST_MS;
        (is_slow, connection.age_ms)
    };
    let candidates =
        uses.iter().filter(|connection| connection.may_be_closed());
    candidates.max_by_key(rank).map(|connection| connection.id)
}

/// Returns the connections that give way until `excess_bytes` are free, or all
/// that may be closed.
pub fn closed_for_memory(
    uses: &[ConnectionUse],
    excess_bytes: usize,
) -> Vec<u64> {
    let mut candidates: Vec<&ConnectionUse> =
        uses.iter().filter(|connection| connection.may_be_closed()).collect();
    // The newest of equals stays.
    candidates.sort_by_key(|connection| {
        (std::cmp::Reverse(connection.byte_milliseconds()), connection.id)
    });
    let mut freed_bytes = 0;
    let needed = candidates.into_iter().take_while(|connection| {
        let is_needed = freed_bytes < excess_bytes;
        freed_bytes += connection.held_bytes;
        is_needed
    });
    needed.map(|connection| connection.id).collect()
}
