//! What several integration tests share.

use {
    std::{future::Future, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long any step may take before a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause between two checks of a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// Polls until a condition is true.
pub async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(PAUSE).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("in time");
}
