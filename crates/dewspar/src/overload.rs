/*!
Telling whether a node keeps up with its work, by its own orders.

An order that is answered at once takes a few milliseconds, whichever worker
answers. A node that gets less of the processor than its work takes reads
answers late, so *every* order seems to take long. Lost answers say nothing of
that kind: they are the network's or the worker's doing. So the median of the
orders that were answered of late tells an overloaded node from a faulty
fleet, and such a node should hand over rather than go on.

# Example

```
use dewspar::overload::RoundTrips;

// Half a second of orders that take 100 ms at the median.
let mut trips = RoundTrips::new(500);
let slow_ms = 100;
for order in 0..40 {
    // A few slow workers don't matter.
    let took_ms = if order % 4 == 0 { 180 } else { 3 };
    trips.record(1_000 + order, took_ms);
}
assert!(!trips.is_overloaded(1_040, slow_ms));
for order in 0..60 {
    trips.record(1_100 + order, 150);
}
assert!(!trips.is_overloaded(1_160, slow_ms), "a burst of orders");
assert!(trips.is_overloaded(1_700, slow_ms));
assert!(!trips.is_overloaded(4_000, slow_ms), "that was long ago");
```
*/

use std::collections::VecDeque;

/// How many orders must have been answered for a judgement.
const MIN_ORDERS: usize = 20;

/// How many orders are kept at most: as many as a busy node sends in a
/// fraction of a second, and few enough to sort at every look.
const MAX_ORDERS: usize = 128;

/// How long an answer counts, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// An order that was answered.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    at_ms: u64,
    took_ms: u64,
}

/// How long orders took that were answered of late.
#[derive(Clone, Debug)]
pub struct RoundTrips {
    sustained_ms: u64,
    recent: VecDeque<RoundTrip>,
    /// Since when every look found them slow.
    slow_since_ms: Option<u64>,
}

impl RoundTrips {
    /// Makes a measure by which a node can't keep up once the median order
    /// has been slow for `sustained_ms`.
    pub fn new(sustained_ms: u64) -> RoundTrips {
        let recent = VecDeque::new();
        RoundTrips { sustained_ms, recent, slow_since_ms: None }
    }

    /// Takes note of an answer, on a clock that never jumps.
    pub fn record(&mut self, at_ms: u64, took_ms: u64) {
        if self.recent.len() == MAX_ORDERS {
            self.recent.pop_front();
        }
        self.recent.push_back(RoundTrip { at_ms, took_ms });
    }

    /// Returns whether the node can't keep up, where an order is slow that
    /// takes `slow_ms` or longer; to be asked again and again.
    pub fn is_overloaded(&mut self, now_ms: u64, slow_ms: u64) -> bool {
        if !self.is_median_slow(now_ms, slow_ms) {
            self.slow_since_ms = None;
            return false;
        }
        let since_ms = *self.slow_since_ms.get_or_insert(now_ms);
        now_ms >= since_ms + self.sustained_ms
    }

    fn is_median_slow(&mut self, now_ms: u64, slow_ms: u64) -> bool {
        let from_ms = now_ms.saturating_sub(WINDOW_MS);
        while self.recent.front().is_some_and(|trip| trip.at_ms < from_ms) {
            self.recent.pop_front();
        }
        let slow = |trip: &&RoundTrip| trip.took_ms >= slow_ms;
        let slow = self.recent.iter().filter(slow).count();
        self.recent.len() >= MIN_ORDERS && slow * 2 >= self.recent.len()
    }
}
