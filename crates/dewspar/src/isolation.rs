/*!
Whether a node is cut off together with its data hall.

A node whose own path to the store fails sends its calls over a peer. If its
whole hall is cut off, that can't work either: no peer of another hall answers.
Such a node is *isolated*. It can't accept anything, and says so at once, so that
callers go to another hall instead of waiting for their deadlines.

[`Isolation`] decides from the state of the own path and from checks of peers in
other halls. It asks for a check only while the own path fails and no peer has
carried a call since the last look, so nodes that the store refuses for long,
and that peers serve, make none.

# Example

```
use dewspar::isolation::{Change, Isolation, Paths};

let paths = |own_path_failed| Paths {
    own_path_failed,
    carried_calls: 7,
    has_far_peers: true,
};
let mut isolation = Isolation::default();
assert!(!isolation.needs_check(paths(false), 1_000));
assert!(isolation.needs_check(paths(true), 1_100));
assert_eq!(isolation.checked(false, 1_400), Change::Isolated);
assert!(isolation.is_isolated());
// The store answers again.
assert!(!isolation.needs_check(paths(false), 3_000));
assert!(!isolation.is_isolated());
```
*/

/// The time between two checks while no peer answers, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// The longest time between two checks while peers answer, in milliseconds.
const MAX_CHECK_INTERVAL_MS: u64 = 4_000;

/// How long a load balancer goes on sending callers to a node that isn't ready,
/// in milliseconds: it checks each second and acts on the second failed check.
const BALANCER_DELAY_MS: u64 = 2_000;

/// The shortest time after which a refused caller is asked to come again, in
/// milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// The state of a node's paths to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Paths {
    /// Whether the own path has failed and hasn't worked since.
    pub own_path_failed: bool,
    /// How many calls peers have carried so far.
    pub carried_calls: u64,
    /// Whether the node knows a peer in another hall.
    pub has_far_peers: bool,
}

/// The effect of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing changed.
    Unchanged,
    /// The node is isolated from now on.
    Isolated,
    /// The node reaches others again.
    Connected {
        /// How long it was isolated, in milliseconds.
        isolated_for_ms: u64,
    },
}

/// Whether a node is isolated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    since_ms: Option<u64>,
    next_check_ms: u64,
    interval_ms: u64,
    carried_calls: u64,
}

impl Isolation {
    /// Takes the state of the paths, at a time in milliseconds of a steady
    /// clock; returns whether peers in other halls must be checked now. A node
    /// whose own path works, or whose calls peers carry, is not isolated.
    pub fn needs_check(&mut self, paths: Paths, now_ms: u64) -> bool {
        let is_carried = paths.carried_calls > self.carried_calls;
        self.carried_calls = paths.carried_calls;
        if !paths.own_path_failed || is_carried || !paths.has_far_peers {
            self.since_ms = None;
            if !paths.own_path_failed {
                self.next_check_ms = now_ms;
                self.interval_ms = CHECK_INTERVAL_MS;
            }
            return false;
        }
        now_ms >= self.next_check_ms
    }

    /// Records whether any peer in another hall answered a check.
    pub fn checked(&mut self, any_answered: bool, now_ms: u64) -> Change {
        if any_answered {
            let interval_ms = self.interval_ms.max(CHECK_INTERVAL_MS);
            self.next_check_ms = now_ms + interval_ms;
            self.interval_ms = (2 * interval_ms).min(MAX_CHECK_INTERVAL_MS);
            return match self.since_ms.take() {
                Some(since_ms) => Change::Connected {
                    isolated_for_ms: now_ms.saturating_sub(since_ms),
                },
                None => Change::Unchanged,
            };
        }
        self.interval_ms = CHECK_INTERVAL_MS;
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        if self.since_ms.is_some() {
            return Change::Unchanged;
        }
        self.since_ms = Some(now_ms);
        Change::Isolated
    }

    /// Returns whether the node is isolated.
    pub fn is_isolated(&self) -> bool {
        self.since_ms.is_some()
    }

    /// Returns since when the node is isolated.
    pub fn since_ms(&self) -> Option<u64> {
        self.since_ms
    }
}

/// Returns when a caller that an isolated node refuses should come again, in
/// milliseconds: once the load balancer no longer sends it here.
pub fn retry_after_ms(isolated_since_ms: u64, now_ms: u64) -> u64 {
    let isolated_for_ms = now_ms.saturating_sub(isolated_since_ms);
    let remaining_ms = BALANCER_DELAY_MS.saturating_sub(isolated_for_ms);
    remaining_ms.max(MIN_RETRY_AFTER_MS)
}
