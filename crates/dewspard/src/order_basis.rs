/*!
What an order is based on, and whether it may still be sent.

An order is planned while this node holds the scheduler lease, as far as it
knows, and is sent by a task of its own a moment later. In between the VM may be
suspended, or the process may be stopped or get no processor time. Another node
may hold the lease by then, and workers refuse the order by its fencing token
only if that node has already contacted them. So the clocks are compared once
more when the order is sent.

A suspension shows in the difference between two clocks. A process that stands
still shows in the time since the plan; it matters once the lease has
expired, because until then no other node can hold it.

# Example

```
use dewspard::{
    clock::{Reading, Suspensions},
    order_basis::OrderBasis,
};

let basis = OrderBasis {
    suspensions: Suspensions::new(0),
    planned_ms: 1_000,
    lease_expiry_ms: 2_300,
};
let at = |now_ms| Reading { now_ms, suspended_ms: 0 };
assert!(!basis.is_outdated(at(1_001)));
// The process stood still, but its lease is still valid.
assert!(!basis.is_outdated(at(2_200)));
assert!(basis.is_outdated(at(2_300)));
// A holder that goes on after its lease has expired.
let basis = OrderBasis { planned_ms: 4_000, ..basis };
assert!(!basis.is_outdated(at(4_001)));
assert!(basis.is_outdated(at(4_500)));
```
*/

use crate::clock::{Reading, Suspensions};

/// The time from which a holder counts as having stood still, in milliseconds:
/// many times the interval of its plans, and shorter than its lease.
pub const STANDSTILL_MS: u64 = 500;

/// What an order is based on.
#[derive(Clone, Copy, Debug)]
pub struct OrderBasis {
    /// The suspensions that were known when the order was planned.
    pub suspensions: Suspensions,
    /// When the order was planned, on the steady clock in milliseconds.
    pub planned_ms: u64,
    /// When the lease expires by the newest renewal that was known then.
    pub lease_expiry_ms: u64,
}

impl OrderBasis {
    /// Returns whether another node may have taken over since the order was
    /// planned without this node having had the chance to notice.
    pub fn is_outdated(mut self, time: Reading) -> bool {
        let stood_still = time.now_ms >= self.planned_ms + STANDSTILL_MS
            && time.now_ms >= self.lease_expiry_ms;
        stood_still || self.suspensions.noticed_ms(time.suspended_ms).is_some()
    }

    /// Returns whether another node may hold the lease before an order that is
    /// sent now has arrived, given how long it takes at most, in milliseconds.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspard::{
    ///     clock::{Reading, Suspensions},
    ///     order_basis::OrderBasis,
    /// };
    ///
    /// let basis = OrderBasis {
    ///     suspensions: Suspensions::new(0),
    ///     planned_ms: 1_000,
    ///     lease_expiry_ms: 2_300,
    /// };
    /// let at = |now_ms| Reading { now_ms, suspended_ms: 0 };
    /// assert!(!basis.may_outlast_lease(at(2_000), 200));
    /// assert!(basis.may_outlast_lease(at(2_100), 200));
    /// ```
    pub fn may_outlast_lease(&self, time: Reading, timeout_ms: u64) -> bool {
        time.now_ms.saturating_add(timeout_ms) >= self.lease_expiry_ms
    }
}
