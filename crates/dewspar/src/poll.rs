/*!
Adaptive polling intervals for data whose size grows with the fleet.

The directory of workers and the list of VMs can only be read as a whole. A
fixed interval suits only one fleet size: with a fleet ten times as large, or a
link ten times as slow, the polls alone saturate the link, and lease renewals
and orders queue behind them. A [`PollInterval`] makes the pause a multiple of
the cost of a poll to the node's link and CPU, so that polls take at most a
given share of them. The duration of a poll is no measure of its cost, since
waiting for a slow service costs the node nothing. The duration only bounds the
pause from below, so that polls are in progress for at most half of the time.

# Example

```
use dewspar::poll::PollInterval;

let interval = PollInterval { min_ms: 250, max_ms: 1_500, share_percent: 10 };
// 40 kB over a link of 2 Mbit/s, and over one of 200 Mbit/s.
assert_eq!(interval.pause_ms(160, 170), 1_440);
assert_eq!(interval.pause_ms(2, 10), 250);
// The same 40 kB over the fast link, from a slow service.
assert_eq!(interval.pause_ms(2, 600), 600);
```
*/

/// The limits of the pause between two polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollInterval {
    /// The shortest pause, in milliseconds.
    pub min_ms: u64,
    /// The longest pause, in milliseconds. Bounds the age of the polled data.
    pub max_ms: u64,
    /// The share of the node's capacity that polls may take, in percent.
    pub share_percent: u64,
}

impl PollInterval {
    /// Returns how long to pause after a poll that occupied the node for
    /// `cost_ms` and took `took_ms` in total, all in milliseconds.
    pub fn pause_ms(&self, cost_ms: u64, took_ms: u64) -> u64 {
        let share = self.share_percent.clamp(1, 100);
        let pause_ms = cost_ms.saturating_mul(100 - share) / share;
        pause_ms.max(took_ms).clamp(self.min_ms, self.max_ms)
    }
}
