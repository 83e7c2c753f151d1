/*!
A congestion window: limits a node's calls in flight according to their
latency.

A node that sends all its waiting calls at once doesn't finish them sooner.
The calls queue for its own processor and link, answers are read late, and a
call whose answer is read after its timeout counts as lost and is retried, so
that losses cause more traffic. A [`CallWindow`] limits the number of calls in
flight, as a congestion window does for packets. While the median call is fast
and the window is full, it grows by half; when the median call is slow, it
shrinks to half.

A call without an answer counts as slow. Because the median decides, a few
servers that don't answer have no effect as long as most calls are answered
fast. On a node that can't keep up, *all* calls become slow.

The size is adjusted each time as many calls have ended as the window holds, so
that each adjustment is based on calls that were sent at the present size.

# Example

```
use dewspar::window::{CallEnd, CallWindow, WindowLimits};

let limits = WindowLimits::default();
let mut window = CallWindow::new(limits);
assert_eq!(window.room(), limits.initial);
window.sent(limits.initial);
assert_eq!(window.room(), 0, "the window is full");
for _ in 0..limits.initial {
    window.ended(CallEnd::Answered { took_ms: 3 });
}
assert_eq!(window.room(), limits.initial + limits.initial / 2);
```
*/

/// Bounds of a [`CallWindow`], and its thresholds of fast and slow calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowLimits {
    /// The initial size, in calls.
    pub initial: usize,
    /// The smallest size, in calls.
    pub least: usize,
    /// The largest size, in calls.
    pub most: usize,
    /// Calls are fast if their median latency is below this, in milliseconds.
    pub fast_ms: u64,
    /// Calls are slow if their median latency is at least this, in
    /// milliseconds.
    pub slow_ms: u64,
}

impl Default for WindowLimits {
    fn default() -> WindowLimits {
        WindowLimits {
            // What a node with half a core sends and gets answered in 100 ms,
            // half of an order's timeout. 32 and 64 left such a node idle
            // despite a backlog.
            initial: 256,
            // What a node with an eighth of a core does in that time.
            least: 64,
            // Larger than any size that was observed to be useful.
            most: 1_024,
            // With half as many calls again, all are still answered in time.
            fast_ms: 100,
            // At this median the slowest calls exceed their timeout.
            slow_ms: 150,
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The call was answered.
    Answered {
        /// The latency, in milliseconds.
        took_ms: u64,
    },
    /// The call timed out.
    Unanswered,
    /// The call says nothing about the node's load, for example because it was
    /// never sent.
    Discarded,
}

/// Limits the number of calls in flight.
#[derive(Clone, Debug)]
pub struct CallWindow {
    limits: WindowLimits,
    size: usize,
    in_flight: usize,
    /// Whether the window was full since the last adjustment.
    was_full: bool,
    tally: Tally,
}

/// The speed of recent calls, by their median latency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Speed {
    /// At least half of the calls were slow or got no answer.
    Slow,
    /// Neither slow nor fast.
    Moderate,
    /// More than half of the calls were fast.
    Fast,
}

/// Counts of calls that ended since the last adjustment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) ended: usize,
    fast: usize,
    slow: usize,
}

impl Tally {
    /// Records the end of a call.
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

    /// Returns the speed of the counted calls.
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
    /// Creates a window with no calls in flight.
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

    /// Returns the maximum number of calls in flight.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the median latency from which the node counts as overloaded, in
    /// milliseconds: `slow_ms`, but at most `fast_ms` when the window has its
    /// smallest size.
    ///
    /// The window keeps calls fast by sending fewer of them, so that an
    /// overloaded node may never see slow calls. But if calls aren't fast even
    /// at the smallest size, the window can't be reduced further.
    pub fn overloaded_ms(&self, slow_ms: u64) -> u64 {
        if self.size <= self.limits.least {
            slow_ms.min(self.limits.fast_ms)
        } else {
            slow_ms
        }
    }

    /// Records that calls were sent. This may exceed the window's room when
    /// several calls must be sent together.
    pub fn sent(&mut self, calls: usize) {
        self.in_flight += calls;
        self.was_full |= self.in_flight >= self.size;
    }

    /// Records the end of a call.
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
