/*!
The clock of a worker, by which its lease counts.

It may run slower than ours, so that what is left of a lease lasts longer.
*/

/// How much longer a worker's clock may take than ours, in thousandths: 2 %
/// by the workers' protocol, and a little for reading the clocks.
const SLOW_CLOCK_PER_MILLE: u64 = 1_021;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    pub(super) worker_ms: u64,
    pub(super) at_ms: u64,
}

/// Returns how long a worker's time may take on our clock.
pub(super) fn max_elapsed_ms(worker_ms: u64) -> u64 {
    worker_ms * SLOW_CLOCK_PER_MILLE / 1_000
}
