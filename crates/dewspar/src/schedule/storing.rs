/*!
What must be in the store before ends may be acknowledged.
*/

use {
    crate::{
        job::{JobId, Phase, Progress},
        schedule::{Now, Scheduler},
    },
    std::collections::BTreeSet,
};

/// What must be stored before ends may be acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The progress of the jobs that changed.
    pub progress: Vec<(JobId, Progress)>,
    /// The jobs among them that are over and of which something may still run:
    /// a later holder has to know before it has loaded them.
    unstopped: BTreeSet<JobId>,
    /// The newest change that is in it.
    sequence: u64,
}

impl Changes {
    /// Takes out the changes of some jobs, so that they go their own way.
    pub fn take(&mut self, ids: &BTreeSet<JobId>) -> Changes {
        let progress =
            self.progress.extract_if(.., |(id, _)| ids.contains(id)).collect();
        let unstopped = self.unstopped.extract_if(.., |id| ids.contains(id));
        let unstopped = unstopped.collect();
        Changes { progress, unstopped, sequence: self.sequence }
    }

    /// Returns whether a job is over while something of it may still run.
    pub fn is_unstopped(&self, id: JobId) -> bool {
        self.unstopped.contains(&id)
    }
}

impl Scheduler {
    /// Takes what changed and isn't being stored, at most `most` jobs; those
    /// that are over come first, since callers wait for them, then those for
    /// which starts wait, in the order of these, then those whose change has
    /// waited for longest.
    ///
    /// Call [`Scheduler::changes_stored`] or [`Scheduler::changes_failed`]
    /// once the outcome is known. Several may be under way at a time: no job
    /// is in two of them.
    pub fn take_changes(&mut self, most: usize) -> Changes {
        self.take_changes_within(most, |_| 1)
    }

    /// Takes the same for a write that holds `most_entries`, of which a job in a
    /// phase takes `entries_of` that phase.
    pub fn take_changes_within(
        &mut self,
        most_entries: usize,
        entries_of: impl Fn(Phase) -> usize,
    ) -> Changes {
        // In no fixed order of jobs: where more change all the time than can
        // be stored, the last ones never would be.
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
        let mut unstopped = BTreeSet::new();
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
            if job.phase.is_final() && job.placements(id).next().is_some() {
                unstopped.insert(id);
            }
        }
        Changes { progress, unstopped, sequence: self.sequence }
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

    /// Returns the jobs that changed and aren't being stored, each with its
    /// first change that isn't.
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
        self.store_ends(now);
    }

    /// Moves on what may be acknowledged to each worker.
    pub(super) fn store_ends(&mut self, now: Now) {
        let (jobs, unreadable_jobs) = (&self.jobs, &self.unreadable_jobs);
        for number in self.workers.with_unstored_ends(&self.options) {
            let Some(worker) = self.workers.at_mut(number) else { continue };
            worker.advance_stored_ends(now.steady_ms, |job, sequence| {
                unreadable_jobs.is_stored(jobs, job, sequence)
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

    /// Puts changes back that couldn't be stored.
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
    /// A cancelled job of which something may still run is kept, however old
    /// it is: once its keys are gone, a later holder would take the run for
    /// one of a job that it hasn't loaded, and renew its lease.
    pub fn take_expired(&mut self, now: Now, most: usize) -> Vec<JobId> {
        let kept_ms = self.options.finished_retention_ms;
        let over = |at: u64| now.unix_ms >= at + kept_ms;
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
