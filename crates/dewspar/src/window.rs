/*!
How many calls a node may have under way at once, learnt from how long they
take.

A node that sends everything at once which there is to send doesn't get it
done sooner. Its calls wait for its own processor and link, answers are read
late, and what is read after its time limit counts as lost and is sent again:
the more is lost, the more is sent. A [`CallWindow`] bounds what is under way,
as a congestion window does for packets. While calls are answered fast and the
window is full, it grows by half; once the median call is slow, it shrinks to
half.

The median decides, and a call without an answer counts as a slow one. A few
silent servers therefore change nothing, since most calls are still answered
fast; a node that can't keep up sees *all* its calls become slow.

The window is looked at once as many calls have ended as it holds, so that each
look judges calls that were sent under the present size.

# Example

```
use dewspar::window::{CallEnd, CallWindow, WindowLimits};

let limits = WindowLimits::default();
let mut window = CallWindow::new(limits);
assert_eq!(window.room(), limits.initial);
window.sent(limits.initial);
assert_eq!(window.room(), 0, "the others wait");
for _ in 0..limits.initial {
    window.ended(CallEnd::Answered { took_ms: 3 });
}
assert_eq!(window.room(), limits.initial + limits.initial / 2);
```
*/

/// Bounds of a [`CallWindow`], and what counts as fast and slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowLimits {
    /// The size to begin with, in calls.
    pub initial: usize,
    /// The smallest size, in calls.
    pub least: usize,
    /// The largest size, in calls.
    pub most: usize,
    /// Below which time at the median calls are fast, in milliseconds.
    pub fast_ms: u64,
    /// From which time at the median calls are slow, in milliseconds.
    pub slow_ms: u64,
}

impl Default for WindowLimits {
    fn default() -> WindowLimits {
        WindowLimits {
            // What a node of half a core sends and hears answered in 100 ms,
            // half of the time that an order may take. 32 and 64 left such a
            // node idle beside a backlog (trials).
            initial: 256,
            // What a node of an eighth of a core does in that time.
            least: 64,
            // Above any that was seen to be of use.
            most: 1_024,
            // Half as many again would still be answered in time.
            fast_ms: 100,
            // The slowest are late then.
            slow_ms: 150,
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It was answered.
    Answered {
        /// After how long, in milliseconds.
        took_ms: u64,
    },
    /// It got no answer in its time.
    Unanswered,
    /// It says nothing of the node, such as one that was never sent.
    Discarded,
}

/// Bounds how many calls are under way.
#[derive(Clone, Debug)]
pub struct CallWindow {
    limits: WindowLimits,
    size: usize,
    in_flight: usize,
    /// Whether it was full since the last look.
    was_full: bool,
    tally: Tally,
}

/// How fast calls were of late, by their median.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Speed {
    /// At least half of them were slow or got no answer.
    Slow,
    /// Neither.
    Moderate,
    /// More than half of them were fast.
    Fast,
}

/// How calls ended since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) ended: usize,
    fast: usize,
    slow: usize,
}

impl Tally {
    /// Notes the end of a call.
    pub(crate) fn record(&mut self, end: CallEnd, limits: &WindowLimits) {
        match end {
            CallEnd::Answered { took_ms } => {
                self.ended += 1;
                self.fast += usize::from(took_ms < limits.fast_ms);
                self.slow += usize::from(took_ms >= limits.slow_ms);
            }
            CallEnd::Unanswered => {
                self.ended += 1;
                self.slow += 1;
            }
            CallEnd::Discarded => {}
        }
    }

    /// Returns how fast they were.
    pub(crate) fn speed(&self) -> Speed {
        if self.slow * 2 >= self.ended {
            Speed::Slow
        } else if self.fast * 2 > self.ended {
            Speed::Fast
        } else {
            Speed::Moderate
        }
    }
}

impl CallWindow {
    /// Makes a window with nothing under way.
    pub fn new(limits: WindowLimits) -> CallWindow {
        CallWindow {
            limits,
            size: limits.initial,
            in_flight: 0,
            was_full: false,
            tally: Tally::default(),
        }
    }

    /// Returns how many calls may be sent now.
    pub fn room(&self) -> usize {
        self.size.saturating_sub(self.in_flight)
    }

    /// Returns how many calls may be under way at once.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns how many calls are under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns how long calls take at the median on a node that can't keep up,
    /// in milliseconds: `slow_ms`, unless the window is as small as it gets.
    ///
    /// A window keeps calls fast by sending fewer, so that a node with too
    /// much to do may never see slow ones. But where even the smallest window
    /// isn't answered fast, nothing is left to be done about that.
    pub fn overloaded_ms(&self, slow_ms: u64) -> u64 {
        if self.size <= self.limits.least {
            slow_ms.min(self.limits.fast_ms)
        } else {
            slow_ms
        }
    }

    /// Notes calls that are sent; more than there is room for is allowed
    /// where calls must go together.
    pub fn sent(&mut self, calls: usize) {
        self.in_flight += calls;
        self.was_full |= self.in_flight >= self.size;
    }

    /// Notes the end of a call.
    pub fn ended(&mut self, end: CallEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tally.record(end, &self.limits);
        if self.tally.ended >= self.size {
            self.adjust();
        }
    }

    fn adjust(&mut self) {
        let tally = std::mem::take(&mut self.tally);
        let was_full = std::mem::take(&mut self.was_full);
        match tally.speed() {
            Speed::Slow => {
                self.size = (self.size / 2).max(self.limits.least);
            }
            Speed::Fast if was_full => {
                let growth = self.size / 2;
                self.size =
                    self.size.saturating_add(growth).min(self.limits.most);
            }
            Speed::Fast | Speed::Moderate => {}
        }
    }
}
