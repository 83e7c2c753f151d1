/*!
Exponential backoff between the attempts of one call.
*/

use {
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The delay before the first retry.
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The longest delay between two attempts. Delays double, because a store
/// outage lasts for seconds and every call counts against the store's limits.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// The delays between the attempts of one call; each is twice the previous
/// one, up to a limit.
pub(super) struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { next: MIN_RETRY_DELAY }
    }
}

impl Backoff {
    /// Waits before the next attempt; returns false at once if the deadline
    /// would pass meanwhile.
    pub(super) async fn wait_before(&mut self, deadline: Instant) -> bool {
        if Instant::now() + self.next >= deadline {
            return false;
        }
        self.wait().await;
        true
    }

    /// Waits before the next attempt.
    pub(super) async fn wait(&mut self) {
        sleep(self.next).await;
        self.next = (self.next * 2).min(MAX_RETRY_DELAY);
    }
}
