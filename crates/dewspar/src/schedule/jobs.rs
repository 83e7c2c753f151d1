/*!
The jobs that aren't over, and which of them may have changed.

Most plans find most jobs as the plan before did. What is worked out from a job,
such as which of its tasks may start, is therefore kept and worked out again
only once the job may have changed. Everything that changes a job goes through
[`Jobs`], which notes it, so that no change can be missed.
*/

use {
    crate::{job::JobId, schedule::job_state::Job},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        ops::Deref,
    },
};

/// The jobs that aren't over.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    changed: BTreeSet<JobId>,
}

// There is no way to change a job through this that isn't noted.
impl Deref for Jobs {
    type Target = BTreeMap<JobId, Job>;

    fn deref(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }
}

impl Jobs {
    pub(super) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        self.changed.insert(*id);
        Some(job)
    }

    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id, job);
        self.changed.insert(id);
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        self.jobs.remove(id);
        self.changed.insert(*id);
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.mark_all_changed();
        self.jobs.values_mut()
    }

    /// Notes that any job may be another, since what it depends on beside
    /// itself has changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.changed.extend(self.jobs.keys());
    }

    /// Takes the jobs that may have changed since the last call; some may be
    /// gone.
    pub(super) fn take_changed(&mut self) -> BTreeSet<JobId> {
        mem::take(&mut self.changed)
    }

    /// Returns a job to note on it what was worked out from it, which is no
    /// change.
    pub(super) fn get_mut_unmarked(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }
}
