/*!
What the advantages of a worker are worth when it is scored for a task.

A worker's score is what the task would leave of its processor, in thousandths
of a core. Other advantages are worth a fraction of C, the processor of the
largest worker or VM of the pool. Pools that differ only in the size of their
workers therefore decide alike, and VMs of another size elsewhere don't matter.

What matters more doesn't depend on how much longer a task takes away from its
data: an interfering run outweighs data nearby together with any difference in
fullness, and data nearby outweighs any difference in fullness. The weight of
data nearby is therefore at most [`LOST_RUN_TIME_EIGHTHS`], and from
[`SUBSTANTIAL_GAIN`] on at least [`ABOVE_FULLNESS_EIGHTHS`]. Below that gain
data nearby is worth less than an idle worker.
*/

use {crate::schedule::Resources, std::collections::BTreeMap};

/// The score of time lost, in eighths of C for each estimated run time: a task
/// that takes twice as long elsewhere loses one. Together with a difference in
/// fullness, which is at most 8, it is less than [`INTERFERENCE_EIGHTHS`].
const LOST_RUN_TIME_EIGHTHS: i64 = 15;

/// The score that exceeds any difference in fullness, in eighths of C.
const ABOVE_FULLNESS_EIGHTHS: i64 = 9;

/// The gain near a task's data, in estimated run times, from which on it
/// outweighs fullness.
const SUBSTANTIAL_GAIN: f64 = 0.5;

/// The score of a worker that already has a long-running task, in eighths of
/// C. Long-running tasks then occupy fewer VMs.
const COLOCATION_EIGHTHS: i64 = 4;

/// The score penalty for each run that the task would interfere with, in
/// eighths of C. It exceeds the free processor time of any worker.
const INTERFERENCE_EIGHTHS: i64 = 25;

/// The score of a worker near the data of a task that may crash workers, in
/// runs, where a remote task takes twice as long. It exceeds the number of
/// runs on any worker.
const ISOLATED_DATA_LOCALITY_RUNS: f64 = 1_000.0;

/// The scores of all pools.
#[derive(Clone, Debug, Default)]
pub(in crate::schedule) struct PoolScores {
    /// C of each pool, in thousandths of a core.
    largest_cpu_millis: BTreeMap<String, u64>,
}

impl PoolScores {
    /// Counts a worker or VM of a pool.
    pub(in crate::schedule) fn note(&mut self, pool: &str, room: Resources) {
        let cpu_millis = room.cpu_millis;
        match self.largest_cpu_millis.get_mut(pool) {
            Some(largest) => *largest = (*largest).max(cpu_millis),
            None => {
                self.largest_cpu_millis.insert(pool.to_owned(), cpu_millis);
            }
        }
    }

    /// Returns the scores of a pool.
    pub(in crate::schedule) fn in_pool(
        &self,
        pool: &str,
        remote_factor: f64,
    ) -> Scores {
        let largest = self.largest_cpu_millis.get(pool).copied();
        let largest_cpu_millis =
            i64::try_from(largest.unwrap_or(0)).unwrap_or(i64::MAX);
        Scores { largest_cpu_millis, remote_factor }
    }
}

/// What the advantages of a worker are worth, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::schedule) struct Scores {
    /// C, the processor of the largest worker or VM of the pool.
    largest_cpu_millis: i64,
    /// How many times as long a task takes away from its data.
    remote_factor: f64,
}

impl Scores {
    /// Returns the score of a worker near a task's data.
    pub(super) fn data_locality(&self) -> i64 {
        let gain = self.remote_factor - 1.0;
        let most = self.eighths(LOST_RUN_TIME_EIGHTHS);
        // OK to convert: a float goes to the nearest value that fits.
        let worth = ((most as f64 * gain).round() as i64).min(most);
        if gain >= SUBSTANTIAL_GAIN {
            worth.max(self.eighths(ABOVE_FULLNESS_EIGHTHS))
        } else {
            worth
        }
    }

    /// Returns the score of a worker near the data of a task that may crash
    /// workers, in runs.
    pub(in crate::schedule) fn isolated_data_locality(&self) -> i64 {
        // OK to convert: a float goes to the nearest value that fits.
        let gain = self.remote_factor - 1.0;
        (ISOLATED_DATA_LOCALITY_RUNS * gain).round() as i64
    }

    /// Returns the score of a worker that already has a long-running task.
    pub(super) fn colocation(&self) -> i64 {
        self.eighths(COLOCATION_EIGHTHS)
    }

    /// Returns the score penalty for each run that a task would interfere
    /// with.
    pub(super) fn interference(&self) -> i64 {
        self.eighths(INTERFERENCE_EIGHTHS)
    }

    /// Returns the score penalty for a delay of a task, in proportion to its
    /// estimated run time. It is at most that of an interfering run.
    pub(in crate::schedule) fn delay(
        &self,
        delay_ms: u64,
        estimate_ms: u64,
    ) -> i64 {
        if delay_ms == 0 {
            return 0;
        }
        let lost = delay_ms as f64 / estimate_ms.max(1) as f64;
        let penalty = self.eighths(LOST_RUN_TIME_EIGHTHS) as f64 * lost;
        // OK to convert: a float goes to the nearest value that fits.
        (penalty.round() as i64).min(self.interference())
    }

    fn eighths(&self, eighths: i64) -> i64 {
        self.largest_cpu_millis.saturating_mul(eighths) / 8
    }
}
