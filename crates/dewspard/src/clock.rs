/*!
The daemon's two clocks.

Decisions inside a process use a monotonic clock, which a wrong or stepped
wall clock can't disturb. Only what is stored at the platform, and the times
in filings' keys, use the wall clock.
*/

use {
    std::{
        sync::LazyLock,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::time::Instant,
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The monotonic clock's first reading, so that "long ago" can be told.
const FIRST_MS: u64 = 1_000_000;

/// Returns milliseconds of the monotonic clock.
pub fn now_ms() -> u64 {
    let elapsed = START.elapsed().as_millis();
    FIRST_MS + u64::try_from(elapsed).unwrap_or(u64::MAX - FIRST_MS)
}

/// Returns milliseconds of the Unix epoch by the wall clock.
pub fn unix_ms() -> u64 {
    since_unix_epoch().as_millis() as u64
}

/// Returns a number for this start of the process, higher than the last.
pub fn incarnation() -> u64 {
    since_unix_epoch().as_micros() as u64
}

fn since_unix_epoch() -> std::time::Duration {
    // A clock before 1970 is as good as one at 1970: both are wrong.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
