/*!
How often something is read whose size grows with the fleet.

The directory of workers and the list of VMs can only be read as a whole. A
fixed interval suits one size: on a fleet ten times as large, or a link ten
times as slow, the readings alone fill the link, and renewals of leases and
orders wait behind them. A [`PollInterval`] pauses a multiple of what a reading
costs the node, its link and its processor, so that readings never take more
than their share. How long a reading took doesn't say that, since a slow
service costs the node nothing; it only bounds the pause from below, so that
half of the time at least is free of readings.

# Example

```
use dewspar::poll::PollInterval;

let interval = PollInterval { min_ms: 250, max_ms: 1_500, share_percent: 10 };
// 40 kB over a link of 2 Mbit/s, and over one of 200 Mbit/s.
assert_eq!(interval.pause_ms(160, 170), 1_440);
assert_eq!(interval.pause_ms(2, 10), 250);
// The same from a service that is slow.
assert_eq!(interval.pause_ms(2, 600), 600);
```
*/

/// How long to pause between two readings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollInterval {
    /// The shortest pause, in milliseconds.
    pub min_ms: u64,
    /// The longest pause, in milliseconds: what is read may get so old.
    pub max_ms: u64,
    /// The share of the node that readings may take, in percent.
    pub share_percent: u64,
}

impl PollInterval {
    /// Returns how long to pause after a reading that cost the node and took
    /// so long, all in milliseconds.
    pub fn pause_ms(&self, cost_ms: u64, took_ms: u64) -> u64 {
        let share = self.share_percent.clamp(1, 100);
        let pause_ms = cost_ms.saturating_mul(100 - share) / share;
        pause_ms.max(took_ms).clamp(self.min_ms, self.max_ms)
    }
}
