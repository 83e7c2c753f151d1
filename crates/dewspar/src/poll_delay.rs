/*!
Whether a node has more work than its processor gets done, and how much longer
it may then let its workers gather what they have to tell.

A node that takes in events, decides and sends again takes them in as soon as
they come while it has time. Once it has none, each event waits until the node
has gone round through everything else. That wait says how short the processor
is, whatever the node is and whatever else it does.

Work can be saved where many small answers can be one larger one. A worker that
is asked again at once answers with the next end; asked some tens of
milliseconds later it answers once with all that ended meanwhile. That makes
each end known a little later, so it is done only while the processor is short:
a [`PollDelay`] looks at the events of each tenth of a second. If most of them
waited for long the pause doubles, else it is halved, until there is none.

The median decides, so that one stall of the whole node, or one burst of events,
changes little.

# Example

```
use dewspar::poll_delay::PollDelay;

let mut delay = PollDelay::default();
// Events that are taken in as they come, but for a few.
for at_ms in 0..200 {
    delay.record_wait(if at_ms % 10 == 0 { 90 } else { 0 }, at_ms);
}
assert_eq!(delay.delay_ms(), 0);

// Events that wait for their turn.
for at_ms in 200..1_000 {
    delay.record_wait(12, at_ms);
}
assert!(delay.delay_ms() >= 100);

// And when the peak is over.
for at_ms in 1_000..2_000 {
    delay.record_wait(1, at_ms);
}
assert_eq!(delay.delay_ms(), 0);
```
*/

/// How long an event waits where the processor is short, in milliseconds: a
/// node of half a core that starts and asks as fast as it can goes round in
/// 20 to 70 ms, one that keeps up in 2 (example `planning`).
const LONG_WAIT_MS: u64 = 5;

/// How often the pause is adapted, in milliseconds: some rounds of a node that
/// is short of time.
const ADAPT_INTERVAL_MS: u64 = 100;

/// How many events an interval must have had to say anything: with fewer there
/// is no work to be saved.
const MIN_EVENTS: u64 = 20;

/// The shortest pause, in milliseconds: a few ends of a worker that runs short
/// tasks, not much longer than their way.
const MIN_DELAY_MS: u64 = 25;

/// The longest pause, in milliseconds. Room is known to be free so much later:
/// with 50, 100, 200 and 400 ms a short node started 9,463, 9,559, 8,882 and
/// 7,936 tasks of 0.46 s, and 8,277 without a pause (example `planning`).
const MAX_DELAY_MS: u64 = 100;

/// How long workers that are asked may gather what they have to tell.
#[derive(Clone, Debug, Default)]
pub struct PollDelay {
    delay_ms: u64,
    /// Since when events are counted, on the steady clock in milliseconds.
    since_ms: u64,
    events: u64,
    /// How many of them waited for long.
    long_waits: u64,
}

impl PollDelay {
    /// Notes that an event had waited so long before it was taken in now, in
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

    /// Returns how long to wait after a worker's answer before it is asked
    /// again, in milliseconds; 0 while the processor isn't short.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms
    }
}
