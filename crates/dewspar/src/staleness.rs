/*!
Orders that depend on stored state, and how stale that state may be.

A holder decides on a copy of the state in the store, which arrives over a
watch and may lag by seconds in a burst. A decision is therefore based on a
[`StateView`]: the store's revision that the copy has reached, and the time at
which that was known to be current. Whatever was stored before that time is
part of the copy. [`StalenessLimits`] say what a decision on a view may do: use
it, use it while it is checked against the store, or wait for a newer one.

# Example

```
use dewspar::staleness::{StalenessLimits, StateUse, StateView};

let limits = StalenessLimits { check_after_ms: 1_000, wait_after_ms: 2_500 };
let view = StateView { revision: 412, current_ms: 10_000 };
assert_eq!(limits.assess(&view, 11_000), StateUse::Use);
assert_eq!(limits.assess(&view, 11_001), StateUse::Check);
assert_eq!(limits.assess(&view, 12_501), StateUse::Wait);
```
*/

/// A copy of stored state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StateView {
    /// The store's revision that it has reached; 0 if that isn't known.
    pub revision: u64,
    /// When it was known to be current, on the steady clock, in milliseconds.
    pub current_ms: u64,
}

impl StateView {
    /// Returns how stale the view may be, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.current_ms)
    }

    /// Replaces the view by one that was current later. A view that was
    /// current earlier is ignored, since reads may be answered out of order.
    pub fn advance(&mut self, newer: StateView) {
        if newer.current_ms >= self.current_ms {
            let revision = self.revision.max(newer.revision);
            *self = StateView { revision, ..newer };
        }
    }
}

/// What a decision may do with a view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateUse {
    /// Use it.
    Use,
    /// Use it, while the state is read from the store.
    Check,
    /// Wait until the state was read from the store.
    Wait,
}

/// How stale a view may be for decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalenessLimits {
    /// The age above which the state is read from the store, in milliseconds.
    pub check_after_ms: u64,
    /// The age above which decisions wait, in milliseconds.
    pub wait_after_ms: u64,
}

impl StalenessLimits {
    /// Returns what a decision may do with a view.
    pub fn assess(&self, view: &StateView, now_ms: u64) -> StateUse {
        let age_ms = view.age_ms(now_ms);
        if age_ms > self.wait_after_ms {
            StateUse::Wait
        } else if age_ms > self.check_after_ms {
            StateUse::Check
        } else {
            StateUse::Use
        }
    }
}
