/*!
What scheduling costs the node that does it: one log line a second, with how
often it planned, what it heard, and how many orders are under way.
*/

use {
    crate::counters,
    dewspar::{schedule::Action, window::CallWindow},
    slog::{Logger, info},
    std::time::Duration,
    tokio::time::Instant,
};

/// How often what was done is logged, in milliseconds: often enough to see a
/// takeover go by, and few lines beside those of the tasks.
const INTERVAL_MS: u64 = 1_000;

/// What a holder did since the last line.
#[derive(Debug, Default)]
pub(super) struct Load {
    logged_ms: u64,
    events: u64,
    plans: u64,
    planning: Duration,
    starts: u64,
    holds: u64,
}

impl Load {
    /// Notes an event that was taken in.
    pub(super) fn heard(&mut self) {
        self.events += 1;
    }

    /// Notes a plan that was begun at this time, and what it orders.
    pub(super) fn planned(&mut self, began: Instant, actions: &[Action]) {
        self.plans += 1;
        self.planning += began.elapsed();
        for action in actions {
            match action {
                Action::Start { .. } => self.starts += 1,
                Action::Hold { .. } => self.holds += 1,
                _ => {}
            }
        }
    }

    /// Logs what was done, once a while.
    pub(super) fn log(
        &mut self,
        log: &Logger,
        now_ms: u64,
        window: &CallWindow,
        feed_behind_ms: u64,
    ) {
        if now_ms < self.logged_ms + INTERVAL_MS {
            return;
        }
        metrics::gauge!(counters::ORDERS_WINDOW).set(window.size() as f64);
        metrics::gauge!(counters::ORDERS_UNDER_WAY)
            .set(window.under_way() as f64);
        info!(log, "holder: load"; "events" => self.events,
            "plans" => self.plans,
            "planning_ms" => self.planning.as_millis() as u64,
            "starts" => self.starts, "holds" => self.holds,
            "window" => window.size(), "under_way" => window.under_way(),
            "feed_behind_ms" => feed_behind_ms);
        *self = Load { logged_ms: now_ms, ..Load::default() };
    }
}
