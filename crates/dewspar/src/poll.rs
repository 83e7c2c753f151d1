/*!
How often something is read whose size grows with the fleet.

The directory of workers and the list of VMs can only be read as a whole. A
fixed interval suits one size: on a fleet ten times as large, or a link ten
times as slow, the readings alone fill the link, and renewals of leases and
orders wait behind them. A [`PollPace`] looks at how long the last reading took
and pauses a multiple of that, so that readings never take more than their
share. The time says all that matters without being told: a larger fleet, a
slower link, a busier processor, a slow service.

# Example

```
use dewspar::poll::PollPace;

let pace = PollPace { least_ms: 250, most_ms: 2_500, share_percent: 10 };
// 40 kB over a link of 2 Mbit/s, and over one of 200 Mbit/s.
assert_eq!(pace.pause_ms(160), 1_440);
assert_eq!(pace.pause_ms(2), 250);
```
*/

/// How long to pause between two readings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollPace {
    /// The shortest pause, in milliseconds.
    pub least_ms: u64,
    /// The longest pause, in milliseconds: what is read may get so old.
    pub most_ms: u64,
    /// The share of time that readings may take, in percent.
    pub share_percent: u64,
}

impl PollPace {
    /// Returns how long to pause after a reading that took so long, both in
    /// milliseconds.
    pub fn pause_ms(&self, took_ms: u64) -> u64 {
        let share = self.share_percent.clamp(1, 100);
        let pause_ms = took_ms.saturating_mul(100 - share) / share;
        pause_ms.clamp(self.least_ms, self.most_ms)
    }
}
