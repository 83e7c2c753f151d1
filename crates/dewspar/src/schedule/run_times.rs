/*!
How long runs are expected to take where they run.

The caller's estimate is for a warm worker near the data. A run on a cold
worker is expected to begin in earnest once the worker is warm. A run away from
its data takes longer by the configured factor, if one is set, and so does a
run of a gang that should share a rack and doesn't.
*/

use {
    crate::{
        job::{JobId, StepSpec, TaskId},
        schedule::{Scheduler, worker::Worker},
    },
    std::collections::HashMap,
};

/// One step of one round of a job.
pub(super) type StepKey = (JobId, u32, u32);

/// Whether gangs run in several racks, for one pass over all runs. A gang is
/// examined once, not for each member, since that takes a look at all members.
#[derive(Debug, Default)]
pub(super) struct GangRacks {
    in_several: HashMap<StepKey, bool>,
}

impl Scheduler {
    /// Returns how long a run of a task is expected to take on its worker, in
    /// milliseconds, if it began at `since_ms`.
    pub(super) fn expected_run_ms(
        &self,
        worker: &Worker,
        (task, spec): (&TaskId, &StepSpec),
        since_ms: u64,
        gangs: &mut GangRacks,
    ) -> u64 {
        let cold_ms = worker.cold.until_ms().saturating_sub(since_ms);
        let run_ms = self.warm_run_ms(worker, (task, spec), gangs);
        run_ms.saturating_add(cold_ms)
    }

    /// Returns how long a run of a task takes on a worker that is warm, in
    /// milliseconds. Without a factor that is set, it is assumed to take as
    /// long everywhere.
    fn warm_run_ms(
        &self,
        worker: &Worker,
        (task, spec): (&TaskId, &StepSpec),
        gangs: &mut GangRacks,
    ) -> u64 {
        let usual_ms = spec.estimate_ms;
        let Some(factor) = self.options.remote_factor else { return usual_ms };
        let is_away = !spec.data_rack.is_empty()
            && worker.listing.rack != spec.data_rack;
        if is_away || self.spans_racks(task, spec, gangs) {
            // OK to convert: a float goes to the nearest value that fits.
            (usual_ms as f64 * factor) as u64
        } else {
            usual_ms
        }
    }

    /// Returns whether a gang that should share a rack runs in several.
    fn spans_racks(
        &self,
        task: &TaskId,
        spec: &StepSpec,
        gangs: &mut GangRacks,
    ) -> bool {
        if !spec.gang || !spec.same_rack {
            return false;
        }
        let gang = (task.job, task.round, task.step);
        let examine = || self.runs_in_several_racks(task);
        *gangs.in_several.entry(gang).or_insert_with(examine)
    }

    /// Returns whether the runs of a task's step are in several racks.
    fn runs_in_several_racks(&self, task: &TaskId) -> bool {
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
