/*!
Overload detection for a node, from the round-trip times of its own orders.

An order that is answered at once takes a few milliseconds, whichever worker
answers. A node with less CPU time than its work needs reads answers late, so
*every* order seems to take long. Lost answers are no sign of overload: they
are caused by the network or the worker. So the median round-trip time of
recently answered orders distinguishes an overloaded node from a faulty fleet.
An overloaded node should hand over its work.

# Example

```
use dewspar::overload::RoundTrips;

// Overloaded once the median order has taken 100 ms or more for 500 ms.
let mut trips = RoundTrips::new(500);
let slow_ms = 100;
for order in 0..40 {
    // A few slow workers have no effect.
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

/// The minimum number of answered orders for a decision.
const MIN_ORDERS: usize = 20;

/// The maximum number of orders kept: as many as a busy node sends in a
/// fraction of a second, and few enough to scan at each check.
const MAX_ORDERS: usize = 128;

/// How long an answered order is considered, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// An answered order.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    at_ms: u64,
    took_ms: u64,
}

/// The round-trip times of recently answered orders.
#[derive(Clone, Debug)]
pub struct RoundTrips {
    sustained_ms: u64,
    recent: VecDeque<RoundTrip>,
    /// Since when every check found the median slow.
    slow_since_ms: Option<u64>,
}

impl RoundTrips {
    /// Creates a detector that reports overload once the median order has been
    /// slow for `sustained_ms` milliseconds.
    pub fn new(sustained_ms: u64) -> RoundTrips {
        let recent = VecDeque::new();
        RoundTrips { sustained_ms, recent, slow_since_ms: None }
    }

    /// Records an answered order, on a monotonic clock.
    pub fn record(&mut self, at_ms: u64, took_ms: u64) {
        if self.recent.len() == MAX_ORDERS {
            self.recent.pop_front();
        }
        self.recent.push_back(RoundTrip { at_ms, took_ms });
    }

    /// Returns whether the node is overloaded. An order is slow if it took
    /// `slow_ms` or longer.
    ///
    /// Call it regularly: the median must be slow at every call.
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
