/*!
Starts while cancellations arrive late.

A task must not start once its job's cancellation was acknowledged some time
ago. Cancellations arrive over the feed, which also carries whole jobs and may
lag by seconds in a burst. The entries of cancellations are small and few, so
the holder reads them all at once when its view of them is older than a first
limit, and starts nothing once the view is older than a second one. A single
read serves all jobs, and costs only cancelled jobs their starts.

A cancellation that is read this way may be ahead of its job, which the feed
hasn't delivered yet. It is kept, and applied as soon as the job arrives.

A holder that is cut off from the store goes on with the jobs that it knows
until it has to give up its lease. Its view is checked when it reaches the
store again, before anything starts.

# Example

```
use dewspar::{
    schedule::{Now, Options, Scheduler},
    staleness::{StalenessLimits, StateUse, StateView},
};

let limits = StalenessLimits { check_after_ms: 1_000, wait_after_ms: 2_500 };
let options = Options::default().cancellation_limits(Some(limits));
let mut scheduler = Scheduler::new(7, options);
let now = |steady_ms| Now { steady_ms, unix_ms: 0 };
let view = StateView { revision: 8, current_ms: 5_000 };
scheduler.note_cancellations(view);
assert_eq!(scheduler.cancellations_use(now(6_000)), StateUse::Use);
assert_eq!(scheduler.cancellations_use(now(6_500)), StateUse::Check);
assert_eq!(scheduler.cancellations_use(now(8_000)), StateUse::Wait);
```
*/

use crate::{
    schedule::{AwaitedState, Decision, Now, Scheduler},
    staleness::{StateUse, StateView},
};

/// How current the known cancellations are.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CancellationView {
    view: StateView,
    /// Since when they are too stale for tasks to start.
    outdated_since_ms: Option<u64>,
}

impl CancellationView {
    /// Returns whether the cancellations are too stale for tasks to start.
    pub(super) fn is_outdated(&self) -> bool {
        self.outdated_since_ms.is_some()
    }

    /// Returns the view on which starts are based.
    pub(super) fn view(&self) -> StateView {
        self.view
    }
}

impl Scheduler {
    /// Notes that all cancellations of a view were applied.
    pub fn note_cancellations(&mut self, view: StateView) {
        self.cancellation_view.view.advance(view);
    }

    /// Returns what orders to start may do with the known cancellations.
    pub fn cancellations_use(&self, now: Now) -> StateUse {
        let view = &self.cancellation_view.view;
        match self.options.cancellation_limits {
            Some(limits) => limits.assess(view, now.steady_ms),
            None => StateUse::Use,
        }
    }

    /// Pauses starts while the known cancellations are too stale.
    pub(super) fn check_cancellation_view(&mut self, now: Now) {
        let CancellationView { view, outdated_since_ms } =
            self.cancellation_view;
        let must_wait = !self.own_lease.is_detached()
            && self.cancellations_use(now) == StateUse::Wait;
        let state = AwaitedState::Cancellations;
        match (must_wait, outdated_since_ms) {
            (true, None) => {
                let since_ms = Some(now.steady_ms);
                self.cancellation_view.outdated_since_ms = since_ms;
                let age_ms = view.age_ms(now.steady_ms);
                self.note(Decision::StartsPaused { state, age_ms });
            }
            (false, Some(since_ms)) => {
                self.cancellation_view.outdated_since_ms = None;
                let after_ms = now.steady_ms.saturating_sub(since_ms);
                self.note(Decision::StartsResumed { state, after_ms });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}
