/*!
Relays: nodes that forward a scheduling node's orders to workers.

One node, the holder of the scheduler lease, decides what runs where, because
a single view of all workers gives the best decisions. Sending an order costs
more than deciding on it: a call over a connection of its own takes about 75 us
of processor time and half a kilobyte of bandwidth each way, and a busy fleet
needs thousands of calls a second. The holder therefore sends its orders in
large batches to other nodes, its *relays*. They make the calls to the workers
and return the answers in batches.

A relay makes no scheduling decisions. Orders contain the holder's fencing
token, so an order that a relay delays is as harmless as one that the network
delays, and an order whose relay is lost counts as unanswered. A relay that was
suspended for seconds drops the orders for which the holder no longer waits; it
recognizes them with [`Lateness`].

# Number of relays

[`RelayDemand`] records the rate of calls, second by second, and remembers the
maximum for a while: load comes in peaks of a few seconds, and relays that were
released after each peak would be missing at the start of the next.
[`RelayDemand::relays`] compares this rate with the number of calls that nodes
can make beside their other work. A node that can send all its orders itself
has no relay.

# Choice of relay

All orders for a worker go through the same relay, which keeps the number of
connections low. [`relay_for`] chooses it by weighted rendezvous hashing: a
relay with more strength gets more workers, and when a relay is added or
removed, only the workers that it gains or had change their relay.

# Example

```
use dewspar::relay::{RelayDemand, RelayNode, relay_for};

let node = |name: &str| RelayNode {
    name: name.to_owned(),
    strength: 500,
    ..RelayNode::default()
};
let nodes = [node("athens-1"), node("athens-2"), node("athens-3")];

let mut demand = RelayDemand::default();
demand.record(1_000, 400);
assert!(demand.relays(1_000, 500, &nodes).is_empty(), "needs no relay");
demand.record(2_000, 3_000);
let relays = demand.relays(2_000, 500, &nodes);
assert_eq!(relays.len(), 3, "enough for twice the rate");

let first = relay_for("worker-7", &nodes).unwrap();
let others: Vec<RelayNode> =
    nodes.iter().filter(|n| n.name != nodes[first].name).cloned().collect();
assert!(relay_for("worker-7", &others).is_some());
```
*/

use {
    crate::util::stable_hash,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
    },
};

/// The calls a second that a node can forward beside its other work, for each
/// unit of strength (a thousandth of a core, if its link suffices). A call
/// takes 75 us of processor time at 4,500 calls a second; this rate uses about
/// four tenths of the processor.
const CALLS_PER_STRENGTH: u64 = 5;

/// The ratio of the relays' capacity to the measured rate of calls. The
/// measured rate excludes orders that could not be sent yet, and a growing
/// peak can increase by this factor within a second.
const HEADROOM_FACTOR: u64 = 2;

/// For how long a peak rate is remembered, in milliseconds: longer than the
/// time between two load peaks of a fleet's queues.
const PEAK_WINDOW_MS: u64 = 60_000;

/// A node's offer to forward orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayNode {
    /// The node's name.
    pub name: String,
    /// The data hall that it is in; empty if it names none, as nodes of
    /// earlier builds do.
    #[serde(default)]
    pub hall: String,
    /// The address at which it accepts orders to forward.
    pub address: String,
    /// Its capacity to schedule or forward orders: thousandths of a core, or
    /// less if its link is the bottleneck.
    pub strength: u64,
}

/// The number of calls that were sent in one second.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    calls_per_s: u64,
}

/// Tracks a node's recent peak rate of calls and chooses relays for it.
#[derive(Clone, Debug, Default)]
pub struct RelayDemand {
    /// Newest last; each rate is higher than all later ones.
    samples: VecDeque<Sample>,
}

impl RelayDemand {
    /// Records the current rate of calls.
    pub fn record(&mut self, now_ms: u64, calls_per_s: u64) {
        while self.samples.back().is_some_and(|s| s.calls_per_s <= calls_per_s)
        {
            self.samples.pop_back();
        }
        self.samples.push_back(Sample { at_ms: now_ms, calls_per_s });
        let is_expired = |s: &Sample| now_ms >= s.at_ms + PEAK_WINDOW_MS;
        while self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
    }

    /// Returns the recent peak rate, in calls a second.
    pub fn calls_per_s(&self) -> u64 {
        self.samples.front().map_or(0, |sample| sample.calls_per_s)
    }

    /// Returns the relays for a node of strength `own_strength`: none if it
    /// can make all calls itself, else the strongest nodes that suffice
    /// together, or all nodes if they don't suffice.
    pub fn relays(
        &self,
        now_ms: u64,
        own_strength: u64,
        others: &[RelayNode],
    ) -> Vec<RelayNode> {
        let is_recent = |s: &&Sample| now_ms < s.at_ms + PEAK_WINDOW_MS;
        let peak = self.samples.iter().find(is_recent);
        let calls_per_s = peak.map_or(0, |sample| sample.calls_per_s);
        if calls_per_s <= own_strength * CALLS_PER_STRENGTH {
            return Vec::new();
        }
        let mut ranked: Vec<&RelayNode> = others.iter().collect();
        ranked.sort_by(|a, b| {
            b.strength.cmp(&a.strength).then_with(|| a.name.cmp(&b.name))
        });
        let mut carried = 0;
        let mut chosen = Vec::new();
        for node in ranked {
            if carried >= calls_per_s * HEADROOM_FACTOR {
                break;
            }
            carried += node.strength * CALLS_PER_STRENGTH;
            chosen.push(node.clone());
        }
        chosen
    }
}

/// Returns the relays to keep a link to in case halls can't reach each other:
/// the strongest node of each other hall. Nodes that name no hall are left
/// out, since it isn't known what they reach.
///
/// # Example
///
/// ```
/// use dewspar::relay::{RelayNode, standby_relays};
///
/// let node = |name: &str, hall: &str, strength| RelayNode {
///     name: name.to_owned(),
///     hall: hall.to_owned(),
///     strength,
///     ..RelayNode::default()
/// };
/// let nodes = [
///     node("a", "hall-1", 500),
///     node("b", "hall-2", 120),
///     node("c", "hall-2", 500),
///     node("d", "", 500),
/// ];
/// let names: Vec<String> =
///     standby_relays("hall-1", &nodes).into_iter().map(|n| n.name).collect();
/// assert_eq!(names, ["c"]);
/// ```
pub fn standby_relays(own_hall: &str, others: &[RelayNode]) -> Vec<RelayNode> {
    let mut strongest: BTreeMap<&str, &RelayNode> = BTreeMap::new();
    let usable = others
        .iter()
        .filter(|node| !node.hall.is_empty() && node.hall != own_hall);
    for node in usable {
        let rank = |n: &RelayNode| (n.strength, Reverse(n.name.clone()));
        let best = strongest.entry(&node.hall).or_insert(node);
        if rank(node) > rank(best) {
            *best = node;
        }
    }
    strongest.into_values().cloned().collect()
}

/// Estimates how late messages on a connection are, from the monotonic clocks
/// of both ends.
///
/// The clocks advance at the same rate, including while a VM is suspended, but
/// their offset is unknown. The message with the shortest apparent delay gives
/// the offset plus its own transit time; any other message is late by the time
/// that it took longer.
///
/// # Example
///
/// ```
/// use dewspar::relay::Lateness;
///
/// let mut lateness = Lateness::new(5_000_000, 1_000);
/// assert_eq!(lateness.of(5_000_100, 1_100), 0);
/// // This one waited while the receiver was suspended.
/// assert_eq!(lateness.of(5_000_200, 9_200), 8_000);
/// assert_eq!(lateness.of(5_008_300, 9_300), 0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    /// An upper bound on how far the receiver's clock is ahead, in
    /// milliseconds.
    clock_offset_ms: i64,
}

impl Lateness {
    /// Starts with the times at which the first message was sent and received.
    pub fn new(sent_ms: u64, received_ms: u64) -> Lateness {
        Lateness { clock_offset_ms: clock_offset_ms(sent_ms, received_ms) }
    }

    /// Returns how late a message is, in milliseconds.
    pub fn of(&mut self, sent_ms: u64, received_ms: u64) -> u64 {
        let clock_offset_ms = clock_offset_ms(sent_ms, received_ms);
        self.clock_offset_ms = self.clock_offset_ms.min(clock_offset_ms);
        clock_offset_ms.abs_diff(self.clock_offset_ms)
    }
}

/// Returns the apparent lead of the receiver's clock, in milliseconds.
///
/// The arithmetic wraps because `sent_ms` is untrusted and can be any number.
fn clock_offset_ms(sent_ms: u64, received_ms: u64) -> i64 {
    received_ms.wrapping_sub(sent_ms).cast_signed()
}

/// Returns the index of the relay that forwards a worker's orders, or `None`
/// if there are no relays.
pub fn relay_for<'a>(
    worker: &str,
    relays: impl IntoIterator<Item = &'a RelayNode>,
) -> Option<usize> {
    let ranked = relays.into_iter().enumerate().map(|(position, relay)| {
        (position, weighted_score(worker, &relay.name, relay.strength))
    });
    let best = ranked.max_by(|(_, a), (_, b)| a.total_cmp(b));
    best.map(|(position, _)| position)
}

/// Returns a relay's score for a worker; the relay with the highest score is
/// chosen.
///
/// With scores of `-weight / ln(u)`, where `u` is uniform between 0 and 1, the
/// share of workers for which a relay scores highest is proportional to its
/// weight.
fn weighted_score(worker: &str, relay: &str, strength: u64) -> f64 {
    // Adding half a step keeps the value strictly between 0 and 1.
    let hashed = (stable_hash(worker, relay) >> 11) as f64 + 0.5;
    let uniform = hashed / (1u64 << 53) as f64;
    -(strength.max(1) as f64) / uniform.ln()
}
