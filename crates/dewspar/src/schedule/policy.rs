/*!
The scheduling policy: the tunable part of the scheduler, as one value.

Invariants (what must never happen) are not part of the policy: they are in the
code and can't be configured. The policy holds what can vary without breaking a
guarantee: how full a pool may get, which task to start first, how often to
re-evaluate. Each mechanism has a switch, so that its effect can be measured by
running the same build without it, and each default states its rationale.

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

/// The scheduling policy.
#[derive(
    Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The sizes of the pools, in VMs.
    pub sizing: Sizing,
    /// The demand forecast for arriving jobs.
    pub forecast: Forecast,
    /// The order and placement of starts.
    pub placing: Placing,
    /// The monitoring of runs and workers.
    pub watching: Watching,
    /// The limits on orders in flight.
    pub orders: Orders,
}

/// The sizes of the pools, in VMs.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sizing {
    /// The utilization above which a pool gets another VM, in percent.
    pub full_percent: u64,
    /// The utilization that a pool may have without one of its VMs for that VM
    /// to be switched off, in percent.
    pub spare_percent: u64,
    /// The share of a waiting task's demand that counts if its job is already
    /// late, in percent.
    pub late_percent: u64,
    /// The minimum number of VMs of a pool that has queues.
    pub least_vms: u64,
    /// The interval between evaluations of the pool sizes, in milliseconds.
    pub interval_ms: u64,
    /// How long a task may be unplaceable before its pool gets a VM for that
    /// reason alone, in milliseconds.
    pub without_place_ms: u64,
    /// How long a worker must have been idle before its VM is switched off, in
    /// milliseconds.
    pub idle_ms: u64,
    /// How long after the first job no VM is switched off, in milliseconds.
    pub observed_ms: u64,
    /// How long after a takeover without any job VMs are switched off down to
    /// a reserve, in milliseconds.
    pub quiet_ms: u64,
    /// That reserve of each pool, in percent of its equal share of all VMs.
    pub reserve_percent: u64,
    /// The part of what the loss of the largest data hall takes that is kept
    /// switched on, as one reserve of all pools, in percent; only where the
    /// loss of a hall must be tolerated.
    pub hall_reserve_percent: u64,
    /// The divisor that bounds how many VMs of a pool are switched off per
    /// evaluation: the pool's size divided by it, plus one.
    pub leaving_divisor: u64,
    /// Whether pools share VMs equally if there are too few for all; otherwise
    /// pools are served in the order of their names.
    pub equal_shares: bool,
}

impl Default for Sizing {
    fn default() -> Sizing {
        Sizing {
            // A VM takes some 2 s to become available, in which a peak grows
            // by a fifth.
            full_percent: 80,
            // Well below `full_percent`, so that VMs don't alternate between
            // pools.
            spare_percent: 50,
            // Late jobs are worth little, but still have to run.
            late_percent: 25,
            // One may fail or be under maintenance.
            least_vms: 2,
            // Several evaluations while a VM moves.
            interval_ms: 200,
            // Most tasks can be placed as others end.
            without_place_ms: 500,
            // Moving a VM costs about as much as keeping it in a pool for a
            // second.
            idle_ms: 1_500,
            // The demand on the pools isn't known earlier.
            observed_ms: 3_000,
            // Jobs that former holders accepted are known by then.
            quiet_ms: 3_000,
            // Enough for the beginning of a peak.
            reserve_percent: 30,
            // A VM that is switched off becomes available in 1.5 s.
            hall_reserve_percent: 0,
            // An idle pool shrinks to its minimum within a few evaluations,
            // while a pool that isn't idle keeps most of its VMs.
            leaving_divisor: 16,
            equal_shares: true,
        }
    }
}

/// The demand forecast for arriving jobs.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forecast {
    /// Whether recent arrivals of jobs count as future demand.
    pub enabled: bool,
    /// The window over which arrivals are counted, in milliseconds.
    pub window_ms: u64,
    /// The shortest window over which arrivals are counted, in milliseconds.
    pub least_window_ms: u64,
    /// How far ahead demand is forecast, in milliseconds.
    pub ahead_ms: u64,
}

impl Default for Forecast {
    fn default() -> Forecast {
        Forecast {
            enabled: true,
            // About half of the time that a VM takes to become available, so
            // that a peak is seen before it is over.
            window_ms: 1_000,
            // A few initial jobs in quick succession aren't a steady rate yet.
            least_window_ms: 400,
            // The time that a VM takes to become available.
            ahead_ms: 2_000,
        }
    }
}

/// The order and placement of starts.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placing {
    /// Whether jobs that can no longer meet their latency target go last.
    pub late_last: bool,
    /// Whether jobs that a team submits beyond its share go after the others.
    pub over_share_last: bool,
    /// Whether jobs that a team submits beyond its share are refused while
    /// there is waiting work that can't be served in time.
    pub refuse_over_share: bool,
    /// How long a task of a job within its team's share may lack room before
    /// no job beyond a share starts in its pool, in milliseconds; 0 for any
    /// time. It should be longer than a VM takes to join the pool, so that a
    /// shortage that is about to end holds nothing back.
    pub max_owed_wait_ms: u64,
    /// Whether a task is placed on the fullest worker with enough room;
    /// otherwise on the emptiest.
    pub fullest_first: bool,
    /// Whether long-running tasks prefer workers that already run some.
    pub keeps_together: bool,
    /// Whether the long-running tasks of a step are spread over data halls and
    /// racks, where the loss of a hall must be tolerated.
    pub spreads_over_halls: bool,
    /// Whether that comes before locality: nearby data, and workers that
    /// already run long-running tasks.
    pub spreads_before_locality: bool,
    /// Whether tasks that interfere with each other are kept apart where
    /// possible.
    pub keeps_apart: bool,
    /// Whether the short tasks of a job are placed in one data hall if the
    /// loss of a hall must be tolerated.
    pub keeps_job_in_hall: bool,
    /// How long after a takeover a task that may have copies is started
    /// although it may already run elsewhere, in milliseconds.
    pub copy_after_ms: u64,
    /// How long a task waits for a worker on which it hasn't failed before it
    /// returns to one where it has, in milliseconds.
    pub go_back_after_ms: u64,
    /// Whether tasks suspected of crashing their workers are isolated until
    /// the suspicion is settled.
    pub separates_suspects: bool,
}

impl Default for Placing {
    fn default() -> Placing {
        Placing {
            late_last: true,
            over_share_last: true,
            // A refusal costs a look at the store, and protects nobody where
            // weights exceed what the pools can serve.
            refuse_over_share: false,
            max_owed_wait_ms: 0,
            // The other workers become idle, and their VMs can be used
            // elsewhere.
            fullest_first: true,
            keeps_together: true,
            spreads_over_halls: true,
            // A hall below its share may hold tasks of other steps, beside
            // which there is room.
            spreads_before_locality: true,
            keeps_apart: true,
            // A hall's loss then delays only the jobs of that hall.
            keeps_job_in_hall: true,
            // Most workers have answered by then.
            copy_after_ms: 400,
            // About the time that another VM takes to join the pool.
            go_back_after_ms: 1_500,
            separates_suspects: true,
        }
    }
}

/// The monitoring of runs and workers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Watching {
    /// Whether tasks that make no progress are stopped and started elsewhere.
    pub stops_stalled: bool,
    /// Whether workers that fail their starts get no tasks for a while.
    pub suspends: bool,
    /// Whether best-effort tasks that disturb others are throttled.
    pub paces: bool,
    /// How long a worker may wait for an end before it answers a hold, in
    /// milliseconds.
    pub hold_wait_ms: u64,
    /// The lease of runs where data halls may be lost, in milliseconds. It has
    /// an effect only if it is shorter than the lease of 8,000 ms that is
    /// granted elsewhere.
    pub hall_lease_ms: u64,
    /// Whether workers are polled less often while this node's processor is
    /// overloaded.
    pub asks_later: bool,
}

impl Default for Watching {
    fn default() -> Watching {
        Watching {
            stops_stalled: true,
            suspends: true,
            paces: true,
            // An end is reported at once. This bounds how old the progress of
            // a worker without ends is, and how long an end stays unknown
            // whose answer was lost: with 1,000 ms, a day on which some orders
            // got no answer achieved 0.87 of its value, with 300 ms 0.90.
            hold_wait_ms: 300,
            // A hall that is cut off keeps its tasks for this long. It
            // outlasts a takeover of some 3 s, but not two in a row: all runs
            // on all workers would end.
            hall_lease_ms: 5_000,
            asks_later: true,
        }
    }
}

/// The limits on orders in flight, as applied by a
/// [`CallWindow`](crate::window::CallWindow).
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Orders {
    /// Whether the number of orders in flight is bounded.
    pub bounded: bool,
    /// The initial bound.
    pub initial: usize,
    /// The lowest bound.
    pub least: usize,
    /// The highest bound.
    pub most: usize,
    /// The median duration below which orders are fast and the bound rises, in
    /// milliseconds.
    pub fast_ms: u64,
    /// The median duration from which orders are slow and the bound falls, in
    /// milliseconds.
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
    /// The path of the field.
    pub field: &'static str,
    /// Its value.
    pub value: u64,
    /// The minimum value.
    pub least: u64,
    /// The maximum value.
    pub most: u64,
}

impl std::error::Error for InvalidPolicy {}

impl Policy {
    /// Checks that every value is in the range that the scheduler supports.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and its bounds.
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
            ("sizing.quiet_ms", sizing.quiet_ms, 0, 600_000),
            ("sizing.reserve_percent", sizing.reserve_percent, 0, 100),
            (
                "sizing.hall_reserve_percent",
                sizing.hall_reserve_percent,
                0,
                100,
            ),
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
            ("placing.max_owed_wait_ms", placing.max_owed_wait_ms, 0, 600_000),
            ("watching.hold_wait_ms", watching.hold_wait_ms, 0, 2_000),
            ("watching.hall_lease_ms", watching.hall_lease_ms, 4_000, 60_000),
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
