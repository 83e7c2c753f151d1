/*!
Detection of watch feeds that stop delivering changes without an error.

A watch on the store may stall without failing. To detect this, a watcher
compares the version that the feed has reached with a version that is read
directly: that of the newest write that the feed must deliver. A slow node must
not be mistaken for a stalled feed. A node that is short of CPU processes the
changes of a healthy watch late; if it took the watch for stalled and restarted
it, it would request changes that are already on their way, read more than
before, and fall further behind. A feed that is not up to date is therefore
only *silent* if it has delivered nothing since the version was requested. A
feed that still delivers changes is *behind*, and the watcher only has to wait.

A watch delivers everything that was missed in one answer, which takes longer
the more that is. Until it is complete, nothing counts as delivered. So a feed
has a [grace period](FeedProgress::grace_ms) that grows with what it may lack; a
watch that is replaced before would only transfer the same changes again, and a
full read far more. Few changes can be missing if the feed was current a short
while ago, however many other writes raised the version.

# Example

```
use dewspar::feed::{FeedProgress, FeedState};

let mut feed = FeedProgress::new(10, 1_000);
feed.advance(14, 1_200);
// A read requested at 1,300 returned 14 as the newest version.
assert_eq!(feed.state(14, 1_300), FeedState::Current);
// One requested at 1,400 returned 20; no change has arrived since.
assert_eq!(feed.state(20, 1_400), FeedState::Silent);
feed.advance(17, 1_450);
assert_eq!(feed.state(20, 1_400), FeedState::Behind);
```
*/

/// The shortest grace period, in milliseconds: a few round trips of a slow
/// store.
const MIN_GRACE_MS: u64 = 100;

/// The longest grace period, in milliseconds: less than a job may wait without
/// a sign of it.
const MAX_GRACE_MS: u64 = 2_500;

/// The time that a weak node may take to receive the changes of one version,
/// in milliseconds.
const VERSION_TRANSFER_MS: u64 = 2;

/// How many times as long a weak node may take to receive changes as it took
/// others to write them.
const TRANSFER_PER_WRITE_TIME: u64 = 2;

/// The state of a feed compared with the newest write it must deliver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedState {
    /// It has delivered every change up to the version that was read.
    Current,
    /// It lacks some changes, but has delivered others since the request.
    Behind,
    /// It lacks some changes, and has delivered none since the request.
    Silent,
}

/// The version that a feed has reached, the time of its last change, and when
/// it was known to be current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedProgress {
    version: u64,
    advanced_ms: u64,
    current_ms: u64,
}

impl FeedProgress {
    /// Creates the progress of a feed that is watched from a version on.
    pub fn new(version: u64, now_ms: u64) -> FeedProgress {
        FeedProgress { version, advanced_ms: now_ms, current_ms: now_ms }
    }

    /// Returns the version up to which the feed has delivered all changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that the feed has delivered all changes up to a version.
    pub fn advance(&mut self, version: u64, now_ms: u64) {
        self.version = self.version.max(version);
        self.advanced_ms = now_ms;
    }

    /// Records that the feed had delivered all changes that were written by
    /// this time, in milliseconds.
    pub fn note_current(&mut self, at_ms: u64) {
        self.current_ms = self.current_ms.max(at_ms);
    }

    /// Returns how long the feed may deliver nothing before it is silent, if a
    /// read requested at `requested_ms` returned `newest` as the version of the
    /// newest write that it must deliver.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspar::feed::FeedProgress;
    ///
    /// let feed = FeedProgress::new(1_000, 0);
    /// assert_eq!(feed.grace_ms(1_001, 5_000), 102);
    /// assert_eq!(feed.grace_ms(1_900, 5_000), 1_900);
    /// assert_eq!(feed.grace_ms(90_000, 5_000), 2_500);
    /// // It was current 200 ms ago.
    /// assert_eq!(feed.grace_ms(90_000, 200), 500);
    /// ```
    pub fn grace_ms(&self, newest: u64, requested_ms: u64) -> u64 {
        let missing = newest.saturating_sub(self.version);
        let behind_ms = requested_ms.saturating_sub(self.current_ms);
        let transfer_ms = missing
            .saturating_mul(VERSION_TRANSFER_MS)
            .min(behind_ms.saturating_mul(TRANSFER_PER_WRITE_TIME));
        MIN_GRACE_MS.saturating_add(transfer_ms).min(MAX_GRACE_MS)
    }

    /// Returns the feed's state, given that a read requested at `requested_ms`
    /// returned `newest` as the version of the newest write that the feed must
    /// deliver.
    pub fn state(&self, newest: u64, requested_ms: u64) -> FeedState {
        if newest <= self.version {
            FeedState::Current
        } else if self.advanced_ms > requested_ms {
            FeedState::Behind
        } else {
            FeedState::Silent
        }
    }
}
