/*!
Whether a feed that is watched has told everything.

A watch may stop telling without failing. Who needs to know compares it with a
version that is read outright: that of the newest write that the feed must
tell. But a node that is short of processor hears late what a sound watch tells,
and one that took the watch for silent then would ask again for what is under
way, read more than before, and hear still later. So a feed that hasn't told all
is only *silent* if it has told nothing at all since it was looked; one that
goes on telling is *behind*, and nothing is to be done but to listen.

# Example

```
use dewspar::feed::{FeedProgress, FeedState};

let mut feed = FeedProgress::new(10, 1_000);
feed.advance(14, 1_200);
// A look at 1,300 found that the newest write is of version 14.
assert_eq!(feed.state(14, 1_300), FeedState::Current);
// One at 1,400 found 20; nothing was heard since.
assert_eq!(feed.state(20, 1_400), FeedState::Silent);
feed.advance(17, 1_450);
assert_eq!(feed.state(20, 1_400), FeedState::Behind);
```
*/

/// How a feed stands to what it must tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedState {
    /// It has told all that there was at the time of the look.
    Current,
    /// It hasn't told all, but has told something since.
    Behind,
    /// It has told nothing since although there is something to tell.
    Silent,
}

/// Up to where and when a feed was heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedProgress {
    version: u64,
    advanced_ms: u64,
}

impl FeedProgress {
    /// Makes the progress of a feed that is followed from a version on.
    pub fn new(version: u64, now_ms: u64) -> FeedProgress {
        FeedProgress { version, advanced_ms: now_ms }
    }

    /// Returns the version up to which the feed has told everything.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes that the feed has told everything up to a version.
    pub fn advance(&mut self, version: u64, now_ms: u64) {
        self.version = self.version.max(version);
        self.advanced_ms = now_ms;
    }

    /// Judges the feed by a look, asked for at `requested_ms`, which found that
    /// `newest` is the version of the newest write that it must tell.
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
