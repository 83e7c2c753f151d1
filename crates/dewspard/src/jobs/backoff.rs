/*!
Pauses between the tries of one call.
*/

use {
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The pause before a call is tried again, the first time.
pub(super) const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// The longest pause between two tries: pauses double, because a store that
/// is out stays so for seconds, and every call counts against its limits.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// The pauses between the tries of one call, each twice as long as the last.
pub(super) struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { next: MIN_RETRY_DELAY }
    }
}

impl Backoff {
    /// Waits before the next try; returns false if the deadline would pass.
    pub(super) async fn wait_before(&mut self, deadline: Instant) -> bool {
        if Instant::now() + self.next >= deadline {
            return false;
        }
        self.wait().await;
        true
    }

    /// Waits before the next try.
    pub(super) async fn wait(&mut self) {
        sleep(self.next).await;
        self.next = (self.next * 2).min(MAX_RETRY_DELAY);
    }
}
