/*!
What the scheduler decides by, as one value.

Rules (what may never happen) are not policy: they are in the code and can't
be set. Policy is what could be otherwise without breaking any promise: how
full a pool may get, whom to start first, when to look again. Each mechanism
has a switch, so that its worth can be measured by running the same build
without it, and each figure says where it comes from.

# Example

```
use dewspar::schedule::{Options, Policy};

let mut policy = Policy::default();
policy.forecast.enabled = false;
policy.check()?;
let options = Options::default().policy(policy);
# let _ = options;
# Ok::<(), dewspar::schedule::InvalidPolicy>(())
```
*/

use {
    crate::window::WindowLimits,
    displaydoc::Display,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What the scheduler decides by.
#[derive(
    Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How many VMs each pool has.
    pub sizing: Sizing,
    /// What arriving jobs will ask for.
    pub forecast: Forecast,
    /// Which task starts next, and where.
    pub placing: Placing,
    /// What is done about runs that go on.
    pub watching: Watching,
    /// How many orders may be under way at once.
    pub orders: Orders,
}

/// How many VMs each pool has.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sizing {
    /// How full a pool may be before it gets another VM, in percent.
    pub full_percent: u64,
    /// How full a pool may be without one of its VMs for that to be switched
    /// off, in percent.
    pub spare_percent: u64,
    /// How much of a waiting task counts whose job is too late already, in
    /// percent.
    pub late_percent: u64,
    /// The fewest VMs that a pool keeps that has queues.
    pub least_vms: u64,
    /// How often sizes are looked at, in milliseconds.
    pub interval_ms: u64,
    /// How long a task may find no place before its pool gets a VM for that
    /// alone, in milliseconds.
    pub without_place_ms: u64,
    /// How long a worker must have been idle before its VM is switched off,
    /// in milliseconds.
    pub idle_ms: u64,
    /// How long after the first job no VM is switched off, in milliseconds.
    pub observed_ms: u64,
    /// Which part of a pool may be switched off at a look, as a divisor; one
    /// more than that always may.
    pub leaving_divisor: u64,
    /// Whether pools that want more than there is get equal shares; else the
    /// first by name takes what it wants.
    pub equal_shares: bool,
}

impl Default for Sizing {
    fn default() -> Sizing {
        Sizing {
            // A VM takes some 2 s to come, in which a peak grows by a fifth.
            full_percent: 80,
            // Well below the above, so that VMs don't go to and fro.
            spare_percent: 50,
            // Such jobs are worth little, but have to be run.
            late_percent: 25,
            // One may fail or be maintained.
            least_vms: 2,
            // A few times while a VM moves.
            interval_ms: 200,
            // Most tasks find a place as others end.
            without_place_ms: 500,
            // A move costs about as much as a second in a pool.
            idle_ms: 1_500,
            // What will be asked of the pools isn't known before.
            observed_ms: 3_000,
            // A pool at rest is small after a few looks, and one that isn't
            // keeps the most.
            leaving_divisor: 16,
            equal_shares: true,
        }
    }
}

/// What arriving jobs will ask for.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forecast {
    /// Whether the jobs that came of late count as demand to come.
    pub enabled: bool,
    /// Over how long arrivals are counted, in milliseconds.
    pub window_ms: u64,
    /// The shortest time over which arrivals are counted, in milliseconds.
    pub least_window_ms: u64,
    /// How far ahead is looked, in milliseconds.
    pub ahead_ms: u64,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            enabled: true,
            // About as long as a VM takes to come, halved, so that a peak
            // shows before it is over.
            window_ms: 1_000,
            // A first few jobs close together aren't a flow yet.
            least_window_ms: 400,
            // As long as a VM takes to come.
            ahead_ms: 2_000,
        }
    }
}

/// Which task starts next, and where.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placing {
    /// Whether jobs that can't be on time any more go last.
    pub late_last: bool,

    /// Whether a task goes to the fullest worker that has room; else to the
    /// emptiest.
    pub fullest_first: bool,
    /// Whether long-running tasks are drawn to workers that have some.
    pub keeps_together: bool,
    /// Whether tasks that disturb each other are kept apart where possible.
    pub keeps_apart: bool,
    /// How long after a takeover a task is started that may run elsewhere
    /// and may have copies, in milliseconds.
    pub copy_after_ms: u64,
    /// How long a task waits for a worker on which it hasn't failed before it
    /// goes back to one where it has, in milliseconds.
    pub go_back_after_ms: u64,
    /// Whether tasks that may crash their workers are kept apart from others
    /// until it is known whether they do.
    pub separates_suspects: bool,
}

impl Default for Placing {
    fn default() -> Placing {
        Placing {
            late_last: true,
            // The others fall idle, and their VMs can be used elsewhere.
            fullest_first: true,
            keeps_together: true,
            keeps_apart: true,
            // Most workers have answered by then.
            copy_after_ms: 400,
            // About as long as another VM takes to come to the pool.
            go_back_after_ms: 1_500,
            separates_suspects: true,
        }
    }
}

/// What is done about runs that go on, and about workers that fail.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Watching {
    /// Whether tasks that stand still are stopped and started elsewhere.
    pub stops_stalled: bool,
    /// Whether workers that fail what they start get nothing for a while.
    pub suspends: bool,
    /// Whether best-effort tasks are slowed down that disturb others.
    pub paces: bool,
    /// How long a worker may wait for an end before it answers a hold, in
    /// milliseconds.
    pub hold_wait_ms: u64,
    /// Whether workers are asked later while this node has more work than its
    /// processor gets done.
    pub asks_later: bool,
}

impl Default for Watching {
    fn default() -> Watching {
        Watching {
            stops_stalled: true,
            suspends: true,
            paces: true,
            // An end is told at once. This bounds how old the percentages of
            // a quiet worker are, and how long an end stays unknown whose
            // answer is lost: with 1,000 ms a day on which some orders got
            // no answer served 0.87 of its worth, with 300 ms 0.90 (trials).
            hold_wait_ms: 300,
            asks_later: true,
        }
    }
}

/// How many orders may be under way at once: the limits of a
/// [`CallWindow`](crate::window::CallWindow).
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Orders {
    /// Whether there is a bound at all.
    pub bounded: bool,
    /// How many to begin with.
    pub initial: usize,
    /// The lowest that the bound may become.
    pub least: usize,
    /// The highest that the bound may become.
    pub most: usize,
    /// Below which time at the median orders are fast, in milliseconds: the
    /// bound rises.
    pub fast_ms: u64,
    /// From which time at the median orders are slow, in milliseconds: the
    /// bound falls.
    pub slow_ms: u64,
}

impl Default for Orders {
    fn default() -> Orders {
        let WindowLimits { initial, least, most, fast_ms, slow_ms } =
            WindowLimits::default();
        Orders { bounded: true, initial, least, most, fast_ms, slow_ms }
    }
}

impl Orders {
    /// Returns the limits of the window.
    pub(super) fn limits(&self) -> WindowLimits {
        let Orders { bounded, initial, least, most, fast_ms, slow_ms } = *self;
        if bounded {
            WindowLimits { initial, least, most, fast_ms, slow_ms }
        } else {
            let all = usize::MAX;
            WindowLimits {
                initial: all,
                least: all,
                most: all,
                fast_ms,
                slow_ms,
            }
        }
    }
}

/// policy field `{field}` is {value}, but must be {least} to {most}
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub struct InvalidPolicy {
    /// The field, with those that it is in.
    pub field: &'static str,
    /// What it is.
    pub value: u64,
    /// The least that it may be.
    pub least: u64,
    /// The most that it may be.
    pub most: u64,
}

impl std::error::Error for InvalidPolicy {}

impl Policy {
    /// Checks that every figure is one that the scheduler can work with.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault and its bounds.
    pub fn check(&self) -> Result<(), InvalidPolicy> {
        let Policy { sizing, forecast, placing, watching, orders } = self;
        let (initial, least) = (orders.initial as u64, orders.least as u64);
        let most = orders.most as u64;
        let figures = [
            ("sizing.full_percent", sizing.full_percent, 1, 100),
            ("sizing.spare_percent", sizing.spare_percent, 0, 100),
            ("sizing.late_percent", sizing.late_percent, 0, 100),
            ("sizing.least_vms", sizing.least_vms, 1, 1_000_000),
            ("sizing.interval_ms", sizing.interval_ms, 1, 60_000),
            ("sizing.without_place_ms", sizing.without_place_ms, 0, 60_000),
            ("sizing.idle_ms", sizing.idle_ms, 0, 600_000),
            ("sizing.observed_ms", sizing.observed_ms, 0, 600_000),
            ("sizing.leaving_divisor", sizing.leaving_divisor, 1, 1_000),
            ("forecast.window_ms", forecast.window_ms, 1, 60_000),
            (
                "forecast.least_window_ms",
                forecast.least_window_ms,
                1,
                forecast.window_ms,
            ),
            ("forecast.ahead_ms", forecast.ahead_ms, 0, 60_000),
            ("placing.copy_after_ms", placing.copy_after_ms, 0, 60_000),
            ("placing.go_back_after_ms", placing.go_back_after_ms, 0, 2_500),
            ("watching.hold_wait_ms", watching.hold_wait_ms, 0, 2_000),
            ("orders.most", most, 1, 1_000_000),
            ("orders.initial", initial, 1, most),
            ("orders.least", least, 1, initial),
            ("orders.slow_ms", orders.slow_ms, 1, 60_000),
            ("orders.fast_ms", orders.fast_ms, 1, orders.slow_ms),
        ];
        for (field, value, least, most) in figures {
            if value < least || value > most {
                return Err(InvalidPolicy { field, value, least, most });
            }
        }
        Ok(())
    }
}
