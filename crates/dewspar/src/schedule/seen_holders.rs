/*!
The holders of the scheduler lease that a node has seen, one after the other.

What a former holder stored may hold for a limited time, such as an order that
can still be carried out. Times of another node's clock can't be compared with
this node's. But whatever a holder has ordered and stored came before its
successor took the lease, and a node that has seen the successor knows how long
ago that was.

# Example

```
use dewspar::schedule::SeenHolders;

let mut holders = SeenHolders::default();
holders.note(700, 1_000);
holders.note(716, 6_000);
// Everything that was stored under lease 700 is at least as old as this.
assert_eq!(holders.succeeded_ms(700), Some(6_000));
assert_eq!(holders.succeeded_ms(716), None);
assert_eq!(holders.last(), Some(716));
```
*/

use std::collections::VecDeque;

/// The number of holders that are remembered: more than are lost in the longest
/// time that is waited for after a takeover.
const MAX_REMEMBERED: usize = 32;

/// The revision of each lease that was seen, with when it was seen first, on
/// the steady clock, in milliseconds. Oldest first.
#[derive(Clone, Debug, Default)]
pub struct SeenHolders(VecDeque<(u64, u64)>);

impl SeenHolders {
    /// Notes that a lease with this revision is held at a time of the steady
    /// clock, in milliseconds. Has no effect if it or a later one was seen.
    pub fn note(&mut self, revision: u64, now_ms: u64) {
        if self.last().is_some_and(|last| revision <= last) {
            return;
        }
        if self.0.len() == MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((revision, now_ms));
    }

    /// Returns the revision of the newest lease that was seen.
    pub fn last(&self) -> Option<u64> {
        self.0.back().map(|(revision, _)| *revision)
    }

    /// Returns when a lease after this one was first seen, on the steady clock,
    /// in milliseconds.
    pub fn succeeded_ms(&self, revision: u64) -> Option<u64> {
        let mut later = self.0.iter().filter(|(seen, _)| *seen > revision);
        later.next().map(|(_, seen_ms)| *seen_ms)
    }
}
