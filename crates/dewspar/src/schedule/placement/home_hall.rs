/*!
The data hall in which the short tasks of a job are placed together.

A job is done only when all of its tasks are. If the tasks of each job stood in
all halls, losing one hall would delay every job; if each job stays within one
hall, it delays only the jobs of that hall. So where the loss of a hall must be
tolerated, the short tasks of a job prefer its *home hall*: the one where most
of its runs are, or the one with most room left if it has none. That balances
the halls. Within its hall, a task goes to the fullest worker as anywhere else.

It is a preference: a task that finds no room in the home hall starts elsewhere.
Long-running tasks have no home hall, since each of them is of use by itself.
Neither has a task that is isolated because it may crash its worker: it goes to
the worker where the fewest other tasks are at risk.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{Scheduler, worker::Worker},
    },
    std::collections::BTreeMap,
};

impl Scheduler {
    /// Returns the home hall of a task's job, given the workers that suit the
    /// task; `None` if the task has no preference.
    pub(super) fn home_hall<'a, S>(
        &'a self,
        spec: &StepSpec,
        task: &TaskId,
        suitable: impl FnOnce() -> S,
    ) -> Option<&'a str>
    where
        S: Iterator<Item = &'a Worker>,
    {
        if !self.prefers_home_hall(spec) {
            return None;
        }
        self.hall_of_most_runs(task)
            .or_else(|| hall_with_most_room(suitable()))
    }

    /// Returns whether the tasks of a step are placed in one hall.
    pub(super) fn prefers_home_hall(&self, spec: &StepSpec) -> bool {
        self.options.tolerated_halls > 0
            && self.placing().keeps_job_in_hall
            && !spec.long_running
            && spec.data_rack.is_empty()
    }

    /// Returns the hall where most runs of a task's job are.
    fn hall_of_most_runs(&self, task: &TaskId) -> Option<&str> {
        let job = self.jobs.get(&task.job)?;
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, worker) in job.placements(task.job) {
            let Some(worker) = self.workers.get(worker) else { continue };
            let hall = worker.listing.hall.as_str();
            if self.hall_state(hall).takes_tasks() {
                *runs.entry(hall).or_default() += 1;
            }
        }
        runs.into_iter().max_by_key(|(_, runs)| *runs).map(|(hall, _)| hall)
    }
}

/// Returns the hall whose workers have most processor time left.
fn hall_with_most_room<'a>(
    workers: impl Iterator<Item = &'a Worker>,
) -> Option<&'a str> {
    let mut free: BTreeMap<&str, u64> = BTreeMap::new();
    for worker in workers {
        let hall = free.entry(&worker.listing.hall).or_default();
        *hall = hall.saturating_add(worker.free().cpu_millis);
    }
    free.into_iter().max_by_key(|(_, cpu)| *cpu).map(|(hall, _)| hall)
}
