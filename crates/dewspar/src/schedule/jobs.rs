/*!
The open jobs, and which of them may have changed.

Between two scheduling passes most jobs stay the same. Results derived from a
job, such as which of its tasks may start, are therefore cached and computed
again only if the job may have changed. All mutable access goes through
[`Jobs`], which tracks it, so that no change can be missed.
*/

use {
    crate::{job::JobId, schedule::job_state::Job},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        ops::Deref,
    },
};

/// The open jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    jobs: BTreeMap<JobId, Job>,
    changed: BTreeSet<JobId>,
}

// Shared access only: every change goes through a method that tracks it.
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

    /// Marks all jobs as changed, since something else that they depend on has
    /// changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.changed.extend(self.jobs.keys());
    }

    /// Takes the identifiers of the jobs that may have changed since the last
    /// call. Some of these jobs may no longer exist.
    pub(super) fn take_changed(&mut self) -> BTreeSet<JobId> {
        mem::take(&mut self.changed)
    }

    /// Returns a job to store derived results in it. The job isn't marked as
    /// changed.
    pub(super) fn get_mut_unmarked(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }
}
