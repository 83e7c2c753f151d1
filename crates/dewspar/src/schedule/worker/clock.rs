/*!
Conversion of durations on a worker's clock to the local clock.

Leases count by the worker's clock. That clock may run slower than the local
one, so the rest of a lease may last longer locally.
*/

/// The longest local duration of a period on a worker's clock, in thousandths
/// of that period. The worker protocol allows a drift of 2 %, and the rest
/// covers reading the clocks.
const SLOW_CLOCK_PER_MILLE: u64 = 1_021;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    pub(super) worker_ms: u64,
    pub(super) at_ms: u64,
}

/// Returns the longest local duration of a period on a worker's clock, in
/// milliseconds.
pub(super) fn max_elapsed_ms(worker_ms: u64) -> u64 {
    worker_ms * SLOW_CLOCK_PER_MILLE / 1_000
}
