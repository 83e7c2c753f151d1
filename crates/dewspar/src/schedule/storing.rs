/*!
Changes that must be stored before ends may be acknowledged.
*/

use {
    crate::{
        job::{JobId, Phase, Progress},
        schedule::{Now, Scheduler, TeamUse},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Changes that must be stored before ends may be acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The progress of the jobs that changed.
    pub progress: Vec<(JobId, Progress)>,
    /// The jobs among them that are over while some of their runs may still be
    /// active. A later holder has to know these before it has loaded them.
    active_runs: BTreeMap<JobId, Option<TeamUse>>,
    /// The newest change that is included.
    sequence: u64,
}

impl Changes {
    /// Splits off the changes of some jobs, so that they can be written
    /// separately.
    pub fn take(&mut self, ids: &BTreeSet<JobId>) -> Changes {
        let progress =
            self.progress.extract_if(.., |(id, _)| ids.contains(id)).collect();
        let active_runs =
            self.active_runs.extract_if(.., |id, _| ids.contains(id));
        let active_runs = active_runs.collect();
        Changes { progress, active_runs, sequence: self.sequence }
    }

    /// Splits the changes into those of each job.
    pub fn into_single_jobs(mut self) -> Vec<Changes> {
        let ids: Vec<JobId> =
            self.progress.iter().map(|(id, _)| *id).collect();
        ids.into_iter().map(|id| self.take(&BTreeSet::from([id]))).collect()
    }

    /// Returns whether a job is over while some of its runs may still be
    /// active.
    pub fn has_active_runs(&self, id: JobId) -> bool {
        self.active_runs.contains_key(&id)
    }

    /// Returns what those runs use of their team's quota; `None` if the job
    /// has no team.
    pub fn active_use(&self, id: JobId) -> Option<&TeamUse> {
        self.active_runs.get(&id)?.as_ref()
    }
}

impl Scheduler {
    /// Takes the changes of at most `most` jobs that aren't being stored yet.
    ///
    /// Jobs that are over come first, since callers wait for them. Then come
    /// the jobs for which starts wait, in the order of these starts, then the
    /// others, the longest-waiting change first.
    ///
    /// Call [`Scheduler::changes_stored`] or [`Scheduler::changes_failed`]
    /// once the outcome is known. Several batches may be in flight at a time;
    /// no job is in two of them.
    pub fn take_changes(&mut self, most: usize) -> Changes {
        self.take_changes_within(most, |_| 1)
    }

    /// Does the same for a write that holds `most_entries`, of which a job in
    /// a phase takes `entries_of` that phase.
    pub fn take_changes_within(
        &mut self,
        most_entries: usize,
        entries_of: impl Fn(Phase) -> usize,
    ) -> Changes {
        // Not in a fixed order of jobs: if more jobs change continuously than
        // can be stored, the last ones would never be stored.
        let mut ids: Vec<(bool, u64, u64, JobId)> = self
            .unstored()
            .filter_map(|(id, since)| {
                let job = self.jobs.get(&id)?;
                let awaited = self.awaited.get(&id).copied();
                let turn = awaited.unwrap_or(u64::MAX);
                Some((!job.phase.is_final(), turn, since, id))
            })
            .collect();
        ids.sort_unstable();
        let mut progress = Vec::new();
        let mut active_runs = BTreeMap::new();
        let mut left = most_entries;
        for (_, _, since, id) in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            let Some(rest) = left.checked_sub(entries_of(job.phase)) else {
                break;
            };
            left = rest;
            self.changed.remove(&id);
            self.storing.insert(id, since);
            progress.push((id, job.progress()));
            if !job.phase.is_final() {
                continue;
            }
            let active_use = self.active_use(id);
            if job.placements(id).next().is_some() || active_use.is_some() {
                active_runs.insert(id, active_use);
            }
        }
        Changes { progress, active_runs, sequence: self.sequence }
    }

    /// Returns whether there is anything to store that isn't being stored.
    pub fn has_changes(&self) -> bool {
        self.unstored().next().is_some()
    }

    /// Returns whether a job that is over waits to be stored.
    pub fn has_final_changes(&self) -> bool {
        self.unstored().any(|(id, _)| {
            self.jobs.get(&id).is_some_and(|job| job.phase.is_final())
        })
    }

    /// Returns the changed jobs that aren't being stored, each with its first
    /// unstored change.
    fn unstored(&self) -> impl Iterator<Item = (JobId, u64)> {
        let waiting = self.changed.iter();
        waiting
            .filter(|(id, _)| !self.storing.contains_key(id))
            .map(|(id, since)| (*id, *since))
    }

    /// Notes that changes are in the store.
    pub fn changes_stored(&mut self, changes: &Changes, now: Now) {
        for (id, progress) in &changes.progress {
            self.storing.remove(id);
            self.deferred_ends.note_record_stored(*id);
            self.note_awaited_stored(id, changes.sequence);
            self.write_ahead.note_job_written(*id, changes.sequence);
            if progress.phase.is_final() {
                self.finished.insert(*id, progress.finished_at_ms);
                self.jobs.remove(id);
                self.drop_old_advice();
                self.changed.remove(id);
            } else if let Some(job) = self.jobs.get_mut(id) {
                job.stored_sequence = changes.sequence;
            }
        }
        self.advance_stored_ends(now);
    }

    /// Advances what may be acknowledged to each worker.
    pub(super) fn advance_stored_ends(&mut self, now: Now) {
        let (jobs, deferred_ends) = (&self.jobs, &self.deferred_ends);
        for number in self.workers.with_unstored_ends(&self.options) {
            let Some(worker) = self.workers.at_mut(number) else { continue };
            worker.advance_stored_ends(now.steady_ms, |job, sequence| {
                deferred_ends.is_stored(jobs, job, sequence)
            });
        }
    }

    /// Notes that a start waits until a change of its job is stored.
    pub(super) fn await_change(&mut self, id: JobId, sequence: u64) {
        self.awaited.entry(id).or_insert(sequence);
    }

    fn note_awaited_stored(&mut self, id: &JobId, sequence: u64) {
        let awaited = self.awaited.get(id);
        if awaited.is_some_and(|change| *change <= sequence) {
            self.awaited.remove(id);
        }
    }

    /// Puts back changes that couldn't be stored.
    pub fn changes_failed(&mut self, changes: &Changes) {
        for (id, _) in &changes.progress {
            let since = self.storing.remove(id).unwrap_or(changes.sequence);
            if !self.start_logs.are_enabled() {
                self.write_ahead.note_job_written(*id, changes.sequence);
            }
            if self.jobs.contains_key(id) {
                self.changed.insert(*id, since);
            }
        }
    }

    /// Takes finished jobs whose keys need no longer be kept.
    ///
    /// A cancelled job with runs that may still be active is kept, however old
    /// it is. Without its keys, a later holder would take the run for one of a
    /// job that isn't loaded yet, and renew its lease.
    pub fn take_expired(&mut self, now: Now, most: usize) -> Vec<JobId> {
        let kept_ms = self.options.finished_retention_ms;
        let over = |at: u64| now.unix_ms >= at.saturating_add(kept_ms);
        let expired = self
            .finished
            .iter()
            .filter(|(id, at)| over(**at) && !self.cancelled.contains(**id));
        let expired: Vec<JobId> =
            expired.map(|(id, _)| *id).take(most).collect();
        for id in &expired {
            self.finished.remove(id);
        }
        expired
    }
}
