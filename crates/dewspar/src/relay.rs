/*!
Which nodes carry a scheduling node's orders to workers.

One node decides what runs where, because one view of all workers decides
best. To *carry* an order is dearer than to decide it: a call over a
connection of its own costs some 75 us of processor and half a kilobyte of link
each way, and a busy fleet takes thousands a second. So the holder of the
scheduler lease has other nodes carry for it. It sends such a *relay* many
orders in one message; the relay makes the calls, and sends the answers back
many at a time.

A relay decides nothing. What it carries has the holder's fencing token, so an
order that it brings late does as little harm as one that the network brings
late; an order whose relay is lost is an order without an answer. What its
holder no longer waits for, since the relay stood still for seconds, it passes
over, by [`Lateness`].

# How many

[`RelayDemand`] keeps how much a node sent of late, second by second, and
remembers the most for a while: demand comes in peaks of seconds, and relays
that come and go with each would be missing when the next begins.
[`RelayDemand::relays`] compares that with what nodes carry beside their
other work. A node that carries its own orders has no relay.

# Which one

All orders for one worker go through one relay, so that its connections are
few. [`relay_for`] ranks relays for a worker by weighted rendezvous hashing: a
stronger one gets more workers, and one that comes or goes only moves those
that it gains or had.

# Example

```
use dewspar::relay::{RelayDemand, RelayNode, relay_for};

let node = |name: &str| RelayNode {
    name: name.to_owned(),
    address: String::new(),
    strength: 500,
};
let nodes = [node("athens-1"), node("athens-2"), node("athens-3")];

let mut demand = RelayDemand::default();
demand.record(1_000, 400);
assert!(demand.relays(1_000, 500, &nodes).is_empty(), "it carries these");
demand.record(2_000, 3_000);
let relays = demand.relays(2_000, 500, &nodes);
assert_eq!(relays.len(), 3, "twice what was sent has to fit");

let first = relay_for("worker-7", &nodes).unwrap();
let others: Vec<RelayNode> =
    nodes.iter().filter(|n| n.name != nodes[first].name).cloned().collect();
assert!(relay_for("worker-7", &others).is_some());
```
*/

use {
    crate::util::stable_hash,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// How many calls a second a node carries beside its other work, for each
/// unit of its strength, which is a thousandth of a core where its link
/// suffices: a call takes 75 us of processor (a profile at 4,500 calls a
/// second), and this is four tenths of it.
const CALLS_PER_STRENGTH: u64 = 5;

/// How much more than what was sent relays must be able to carry: what is sent
/// is what could be, not what waits, and a peak grows by as much in a second.
const HEADROOM_FACTOR: u64 = 2;

/// For how long the most that was sent in a second counts, in milliseconds:
/// longer than from one peak of a fleet's queues to the next.
const PEAK_WINDOW_MS: u64 = 60_000;

/// A node that offers to carry orders, as it says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayNode {
    /// The node's name.
    pub name: String,
    /// Where it takes orders to carry.
    pub address: String,
    /// How much it can schedule or carry: thousandths of a core, or less where
    /// its link doesn't suffice for them.
    pub strength: u64,
}

/// How many calls were sent in one second.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: u64,
    calls_per_s: u64,
}

/// How much a node sent of late, and how many relays that takes.
#[derive(Clone, Debug, Default)]
pub struct RelayDemand {
    /// Newest last; each is more than all after it.
    samples: VecDeque<Sample>,
}

impl RelayDemand {
    /// Notes how many calls a second were sent up to now.
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

    /// Returns the most that was sent in a second of late.
    pub fn calls_per_s(&self) -> u64 {
        self.samples.front().map_or(0, |sample| sample.calls_per_s)
    }

    /// Returns which of the other nodes a node of such a strength has carry
    /// for it: none if it carries all by itself, else the strongest that
    /// suffice, or all.
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

/// How late a node's messages come over one connection, by the steady clocks of
/// both ends.
///
/// These clocks have nothing in common but their pace, and both count the time
/// for which a VM is suspended. The message that came soonest says how far they
/// are apart, with its way; any other is late by what it took longer.
///
/// # Example
///
/// ```
/// use dewspar::relay::Lateness;
///
/// let mut lateness = Lateness::new(5_000_000, 1_000);
/// assert_eq!(lateness.of(5_000_100, 1_100), 0);
/// // The second lay in the connection while the receiver stood still.
/// assert_eq!(lateness.of(5_000_200, 9_200), 8_000);
/// assert_eq!(lateness.of(5_008_300, 9_300), 0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    /// How far the receiver's clock is ahead, in milliseconds, at most.
    clock_offset_ms: i64,
}

impl Lateness {
    /// Begins with a first message, by when it was sent and received.
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

/// Returns how far the receiver's clock seems ahead, in milliseconds; what the
/// sender says may be any number.
fn clock_offset_ms(sent_ms: u64, received_ms: u64) -> i64 {
    received_ms.wrapping_sub(sent_ms).cast_signed()
}

/// Returns the position of the relay that carries a worker's orders; `None`
/// where there is no relay.
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

/// Ranks a relay for a worker; the highest one is taken.
///
/// With ranks of `-weight / ln(u)`, `u` being uniform between 0 and 1, each
/// relay is the highest for a share of workers that is as large as its weight.
fn weighted_score(worker: &str, relay: &str, strength: u64) -> f64 {
    // Half a step up, so that it is neither 0 nor 1.
    let hashed = (stable_hash(worker, relay) >> 11) as f64 + 0.5;
    let uniform = hashed / (1u64 << 53) as f64;
    -(strength.max(1) as f64) / uniform.ln()
}
