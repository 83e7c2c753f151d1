/*!
How long runs are expected to take where they run.

The caller's estimate is for a warm worker near the data. A run on a cold
worker is expected to begin in earnest once the worker is warm. A run away from
its data takes longer by the configured factor, if one is set, and so does a
run of a gang that should share a rack and doesn't.
*/

use crate::{
    job::{StepSpec, TaskId},
    schedule::{Scheduler, worker::Worker},
};

impl Scheduler {
    /// Returns how long a run of a task is expected to take on its worker, in
    /// milliseconds, if it began at `since_ms`.
    pub(super) fn expected_run_ms(
        &self,
        worker: &Worker,
        (task, spec): (&TaskId, &StepSpec),
        since_ms: u64,
    ) -> u64 {
        let cold_ms = worker.cold.until_ms().saturating_sub(since_ms);
        let usual_ms = spec.estimate_ms;
        let run_ms = self.remote_run_ms(worker, (task, spec), usual_ms);
        run_ms.saturating_add(cold_ms)
    }

    /// Returns how long what usually takes `usual_ms` takes in a run of a task
    /// on a worker, in milliseconds. Without a factor that is set, it is
    /// assumed to take as long everywhere.
    pub(super) fn remote_run_ms(
        &self,
        worker: &Worker,
        (task, spec): (&TaskId, &StepSpec),
        usual_ms: u64,
    ) -> u64 {
        let Some(factor) = self.options.remote_factor else { return usual_ms };
        let is_away = !spec.data_rack.is_empty()
            && worker.listing.rack != spec.data_rack;
        if is_away || self.spans_racks(task, spec) {
            // OK to convert: a float goes to the nearest value that fits.
            (usual_ms as f64 * factor) as u64
        } else {
            usual_ms
        }
    }

    /// Returns whether a gang that should share a rack runs in several.
    fn spans_racks(&self, task: &TaskId, spec: &StepSpec) -> bool {
        if !spec.gang || !spec.same_rack {
            return false;
        }
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        let tasks = step.into_iter().flat_map(|step| &step.tasks);
        let workers = tasks.flat_map(|task| &task.workers);
        let mut racks = workers.filter_map(|id| {
            Some(self.workers.get(id)?.listing.rack.as_str())
        });
        let first = racks.next();
        racks.any(|rack| Some(rack) != first)
    }
}
