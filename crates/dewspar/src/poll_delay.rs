/*!
An adaptive delay between two polls of a worker, for nodes short of CPU time.

A node processes events, makes decisions and sends calls. While it has CPU time
to spare, it processes each event as it arrives. Once it has none, each event
waits until the node has finished a round through all its other work. That wait
shows how short of CPU time the node is, whatever its hardware and its load.

Work can be saved by batching many small answers into one larger one. A worker
that is polled again at once reports the next end of a task; a worker that is
polled some tens of milliseconds later reports all ends since then in one
answer. The node then learns of each end a little later, so it delays polls
only while it is short of CPU time: a [`PollDelay`] looks at the events of each
tenth of a second. If most of them waited long the delay doubles, otherwise it
is halved, down to none.

The median decides, so a single stall of the whole node, or a single burst of
events, has little effect.

# Example

```
use dewspar::poll_delay::PollDelay;

let mut delay = PollDelay::default();
// All but a few events are processed as they arrive.
for at_ms in 0..200 {
    delay.record_wait(if at_ms % 10 == 0 { 90 } else { 0 }, at_ms);
}
assert_eq!(delay.delay_ms(), 0);

// Events wait until the node has time.
for at_ms in 200..1_000 {
    delay.record_wait(12, at_ms);
}
assert!(delay.delay_ms() >= 100);

// After the peak the delay ends.
for at_ms in 1_000..2_000 {
    delay.record_wait(1, at_ms);
}
assert_eq!(delay.delay_ms(), 0);
```
*/

/// The wait of an event from which the node counts as short of CPU time, in
/// milliseconds. A node with half a core that starts tasks and polls as fast
/// as it can takes 20 to 70 ms per round; a node that keeps up takes 2 ms
/// (example `planning`).
const LONG_WAIT_MS: u64 = 5;

/// The interval at which the delay is adapted, in milliseconds: several rounds
/// of a node that is short of CPU time.
const ADAPT_INTERVAL_MS: u64 = 100;

/// The minimum number of events in an interval for a delay: with fewer there
/// is no work to save.
const MIN_EVENTS: u64 = 20;

/// The shortest delay, in milliseconds: a few ends of a worker that runs short
/// tasks, and not much longer than the network round trip.
const MIN_DELAY_MS: u64 = 25;

/// The longest delay, in milliseconds. The node learns of freed capacity later
/// by up to this time: with 50, 100, 200 and 400 ms a node short of CPU time
/// started 9,463, 9,559, 8,882 and 7,936 tasks of 0.46 s, and 8,277 without a
/// delay (example `planning`).
const MAX_DELAY_MS: u64 = 100;

/// The delay before workers that have answered are polled again.
#[derive(Clone, Debug, Default)]
pub struct PollDelay {
    delay_ms: u64,
    /// Start of the current interval, on the monotonic clock, in milliseconds.
    since_ms: u64,
    events: u64,
    /// The number of them that waited long.
    long_waits: u64,
}

impl PollDelay {
    /// Records how long an event had waited when it was processed now, in
    /// milliseconds.
    pub fn record_wait(&mut self, waited_ms: u64, now_ms: u64) {
        if now_ms >= self.since_ms + ADAPT_INTERVAL_MS {
            self.adapt();
            self.since_ms = now_ms;
            self.events = 0;
            self.long_waits = 0;
        }
        self.events += 1;
        self.long_waits += u64::from(waited_ms >= LONG_WAIT_MS);
    }

    fn adapt(&mut self) {
        let overloaded =
            self.events >= MIN_EVENTS && self.long_waits * 2 > self.events;
        self.delay_ms = match (overloaded, self.delay_ms) {
            (true, delay_ms) => {
                (delay_ms * 2).clamp(MIN_DELAY_MS, MAX_DELAY_MS)
            }
            (false, ..=MIN_DELAY_MS) => 0,
            (false, delay_ms) => delay_ms / 2,
        };
    }

    /// Returns the delay between a worker's answer and the next poll, in
    /// milliseconds; 0 while the node isn't short of CPU time.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms
    }
}
