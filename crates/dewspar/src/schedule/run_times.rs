/*!
How long runs are expected to take where they run.

The caller's estimate is for a warm worker near the data. A run on a cold
worker is expected to begin in earnest once the worker is warm. A run away from
its data takes longer by the configured factor, if one is set.
*/

use crate::{
    job::StepSpec,
    schedule::{Scheduler, worker::Worker},
};

impl Scheduler {
    /// Returns how long a run is expected to take on its worker, in
    /// milliseconds, if it began at `since_ms`.
    pub(super) fn expected_run_ms(
        &self,
        worker: &Worker,
        spec: &StepSpec,
        since_ms: u64,
    ) -> u64 {
        let cold_ms = worker.cold.until_ms().saturating_sub(since_ms);
        let run_ms = self.remote_run_ms(worker, spec, spec.estimate_ms);
        run_ms.saturating_add(cold_ms)
    }

    /// Returns how long what takes `usual_ms` near the data of a step takes on
    /// a worker, in milliseconds. Without a factor that is set, it is assumed
    /// to take as long everywhere.
    pub(super) fn remote_run_ms(
        &self,
        worker: &Worker,
        spec: &StepSpec,
        usual_ms: u64,
    ) -> u64 {
        let is_remote = !spec.data_rack.is_empty()
            && worker.listing.rack != spec.data_rack;
        match self.options.remote_factor {
            // OK to convert: a float goes to the nearest value that fits.
            Some(factor) if is_remote => (usual_ms as f64 * factor) as u64,
            Some(_) | None => usual_ms,
        }
    }
}
