/*!
How long the progress of a run may stall before the run is stopped.

A run reports whole percents, so the progress of a long task stands still for
as long as one percent takes. That time is expected from the caller's estimate
and from what the run has shown so far. Both may be wrong or missing: a task
that stalls again and again, wherever it runs, is slow, and its workers aren't
faulty. So its time-out doubles from then on, and some run of it is given the
time that it needs.

The time-out of tasks of up to a minute doesn't depend on any of this, so that
runs that have stopped are detected as fast as if there were no long tasks.
*/

use crate::{job::StepSpec, schedule::worker::Run};

/// The shortest time-out of any run, in milliseconds: longer than a restore
/// from a checkpoint, and than three answers of a worker without ends.
pub(super) const MIN_TIMEOUT_MS: u64 = 2_500;

/// How long a long-running task may take to be at work, in milliseconds: some
/// are slow to start.
const START_TIMEOUT_MS: u64 = 5_000;

/// How many times the expected time of one percent the progress may stall:
/// more than an estimate of a third of the real time needs.
const TIMEOUT_PERCENTS: u64 = 4;

/// The number of stalls after which a task counts as slow.
const STALLS_OF_SLOW_TASK: u32 = 2;

/// The maximum number of times that a time-out doubles: it then exceeds one
/// percent of a task that takes a month.
const MAX_DOUBLINGS: u32 = 14;

/// Returns how long the progress of a run may stall, in milliseconds, given
/// how often runs of its task have stalled before.
pub(super) fn timeout_ms(spec: &StepSpec, run: &Run, stalls: u32) -> u64 {
    let usual_ms = if spec.long_running {
        START_TIMEOUT_MS
    } else {
        let percent_ms = (spec.estimate_ms / 100).max(shown_percent_ms(run));
        MIN_TIMEOUT_MS.max(percent_ms.saturating_mul(TIMEOUT_PERCENTS))
    };
    let doublings = stalls.saturating_sub(STALLS_OF_SLOW_TASK - 1);
    usual_ms.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
}

/// Returns whether a stall says something about the worker, given how often
/// runs of the task have stalled before, on other workers.
pub(super) fn blames_worker(spec: &StepSpec, stalls: u32) -> bool {
    // Without an estimate nothing speaks against a slow task.
    let most = match spec.estimate_ms {
        0 => STALLS_OF_SLOW_TASK - 1,
        _ => STALLS_OF_SLOW_TASK,
    };
    stalls < most
}

/// Returns how long one percent of a run has taken so far, in milliseconds; 0
/// if that isn't known.
fn shown_percent_ms(run: &Run) -> u64 {
    // A run that was found may have begun at any time.
    if run.is_found() || run.percent == 0 {
        return 0;
    }
    run.moved_ms.saturating_sub(run.since_ms) / u64::from(run.percent)
}
