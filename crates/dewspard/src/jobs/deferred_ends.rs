/*!
Deferred ends: ends of runs whose job can't be read, or whose job's record the
store doesn't accept, kept in the store until they are part of the record.

Each end has its own key, so that its write is idempotent and a delayed one
replaces nothing else. Ends are read before the jobs, so that no task that is
done is started again. An end is deleted once its job's record includes it or
the job is finished.
*/

use {
    super::{event::Event, holder::Holder, keys, records::record_written},
    crate::{counters, passed_over},
    dewspar::{
        job::{JobId, Progress},
        record::RecordWriteOutcome,
        schedule::{Changes, DeferredEnd, DeferredEndBatch, Now},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
    },
    slog::{Logger, warn},
    std::collections::{BTreeMap, BTreeSet},
};

/// The maximum number of ends in one write or deletion: the store accepts 32
/// entries, and one is the condition on the lease.
const MAX_ENDS_PER_WRITE: usize = 31;

/// The delay before a failed write of ends is retried, in milliseconds: the
/// same as for changes of jobs.
const RETRY_DELAY_MS: u64 = 100;

/// The ends that former holders stored, by job, and the state of writes of new
/// ones.
#[derive(Debug, Default)]
pub(super) struct DeferredEnds {
    by_job: BTreeMap<JobId, Vec<DeferredEnd>>,
    /// The jobs whose ends the scheduler has applied.
    applied: BTreeSet<JobId>,
    is_writing: bool,
    /// The earliest time of the next write.
    next_write_ms: u64,
}

impl DeferredEnds {
    pub(super) fn add_loaded(&mut self, ends: Vec<DeferredEnd>) {
        for end in ends {
            let of_job = self.by_job.entry(end.end.task.job).or_default();
            of_job.push(end);
        }
    }

    /// Removes and returns the ends of a job that its stored progress makes
    /// obsolete.
    fn take_obsolete(
        &mut self,
        id: JobId,
        progress: &Progress,
    ) -> Vec<DeferredEnd> {
        let Some(ends) = self.by_job.get_mut(&id) else {
            return Vec::new();
        };
        let finished = progress.phase.is_final();
        let applied = self.applied.contains(&id);
        let is_obsolete = |deferred: &mut DeferredEnd| {
            finished || applied && is_recorded(progress, deferred)
        };
        let obsolete = ends.extract_if(.., is_obsolete).collect();
        if ends.is_empty() {
            self.by_job.remove(&id);
        }
        obsolete
    }
}

/// Returns whether a job's record includes the end of this run or a later one
/// of the same task.
fn is_recorded(progress: &Progress, deferred: &DeferredEnd) -> bool {
    let DeferredEnd { end, .. } = deferred;
    progress.tasks.iter().any(|record| {
        let position = (record.round, record.step, record.index);
        position == (end.task.round, end.task.step, end.task.index)
            && record.run >= end.run
    })
}

/// Reads the ends that former holders stored; unreadable ones are logged and
/// skipped.
///
/// # Errors
///
/// An error of the store.
pub(super) async fn load_deferred_ends<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<Vec<DeferredEnd>, Error> {
    let (_, found) = store.list(keys::ENDS).await?;
    let mut ends = Vec::new();
    for item in &found {
        match serde_json::from_slice(&item.value) {
            Ok(end) => ends.push(end),
            Err(error) => {
                let (key, version) = (&item.key, item.version);
                passed_over::record(log, "end", key, version, &error);
            }
        }
    }
    Ok(ends)
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Excludes a job that can't be read from scheduling, unless it is already
    /// known.
    pub(super) fn skip_unreadable(&mut self, id: JobId) {
        if self.scheduler.phase(id).is_none() {
            self.unreadable.insert(id);
            self.scheduler.mark_unreadable(id);
        }
    }

    /// Passes the ends that former holders stored for a job to the scheduler.
    pub(super) fn apply_deferred_ends(&mut self, id: JobId) {
        let now = super::holder::now();
        let Some(ends) = self.deferred_ends.by_job.get(&id) else { return };
        for end in ends {
            self.scheduler.apply_deferred_end(end, now);
        }
        self.deferred_ends.applied.insert(id);
    }

    /// Writes new deferred ends to the store.
    pub(super) fn write_deferred_ends(&mut self, now: Now) {
        let due = now.steady_ms >= self.deferred_ends.next_write_ms;
        if self.deferred_ends.is_writing || !due {
            return;
        }
        let ends = self.scheduler.take_deferred_ends(MAX_ENDS_PER_WRITE);
        if ends.is_empty() {
            return;
        }
        self.deferred_ends.is_writing = true;
        let lease_revision = self.held.revision;
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        let log = self.candidate.log.clone();
        tokio::spawn(async move {
            let batch = ends_batch(lease_revision, ends.ends().cloned());
            let mut answer = store.commit(&batch).await;
            if let Err(Error::Rejected { .. }) = &answer {
                // A checkpoint is too large; what the ends say has room.
                let bare = ends.ends().map(without_checkpoint);
                let batch = ends_batch(lease_revision, bare);
                answer = store.commit(&batch).await;
            }
            if let Err(error) = &answer {
                counters::platform_failure(error);
                warn!(log, "holder: write gave no result";
                    "of" => "deferred ends",
                    "error" => %error);
            }
            let written = record_written(&answer, keys::OWNER);
            // If the holder has stopped, the result isn't needed.
            let _ = sender
                .send(Event::DeferredEndsWritten { ends, written })
                .await;
        });
    }

    /// Handles the result of a write of ends.
    pub(super) fn deferred_ends_written(
        &mut self,
        ends: &DeferredEndBatch,
        written: RecordWriteOutcome,
        now: Now,
    ) {
        self.deferred_ends.is_writing = false;
        match written {
            RecordWriteOutcome::Done(_) => {
                self.scheduler.deferred_ends_stored(ends, now);
                self.note_deferred_ends_of_open_jobs(ends);
            }
            RecordWriteOutcome::Failed => {
                self.deferred_ends.next_write_ms =
                    now.steady_ms + RETRY_DELAY_MS;
                self.scheduler.deferred_ends_failed(ends);
            }
            // The only condition is that on the lease's key.
            RecordWriteOutcome::Conflict { .. } => {
                self.lost_reason =
                    Some("the store refused this holder's write");
            }
        }
    }

    /// Notes stored ends whose jobs the scheduler knows, so that they are
    /// deleted once the record of their job includes them.
    fn note_deferred_ends_of_open_jobs(&mut self, ends: &DeferredEndBatch) {
        for deferred in ends.ends() {
            let id = deferred.end.task.job;
            if self.unreadable.contains(&id) {
                continue;
            }
            let of_job = self.deferred_ends.by_job.entry(id).or_default();
            of_job.push(deferred.clone());
            self.deferred_ends.applied.insert(id);
        }
    }

    /// Deletes the ends of jobs that were stored as finished, and ends that
    /// are now part of their job's stored record. Without the latter the ends
    /// of a job with a long-running task would accumulate.
    pub(super) fn delete_recorded_ends(&mut self, changes: &Changes) {
        for (id, progress) in &changes.progress {
            let ends = self.deferred_ends.take_obsolete(*id, progress);
            self.delete_ends(&ends);
        }
    }

    /// Deletes the ends of jobs that are neither known to the scheduler nor
    /// unreadable.
    pub(super) fn delete_orphaned_ends(&mut self) {
        let (scheduler, unreadable) = (&self.scheduler, &self.unreadable);
        let orphaned = |id: &JobId| {
            scheduler.phase(*id).is_none() && !unreadable.contains(id)
        };
        let by_job = &mut self.deferred_ends.by_job;
        let orphaned: Vec<DeferredEnd> = by_job
            .extract_if(.., |id, _| orphaned(id))
            .flat_map(|(_, ends)| ends)
            .collect();
        self.delete_ends(&orphaned);
    }

    fn delete_ends(&self, ends: &[DeferredEnd]) {
        for chunk in ends.chunks(MAX_ENDS_PER_WRITE) {
            let lease = Expected::Version(self.held.revision);
            let mut batch = Batch::default().when(keys::OWNER, lease);
            for DeferredEnd { end, .. } in chunk {
                batch = batch.delete(&keys::end(&end.task, end.run));
            }
            self.spawn_write(batch, "deletion of ends set aside");
        }
    }
}

fn without_checkpoint(deferred: &DeferredEnd) -> DeferredEnd {
    let mut deferred = deferred.clone();
    deferred.end.checkpoint.clear();
    deferred
}

fn ends_batch(
    lease_revision: u64,
    ends: impl Iterator<Item = DeferredEnd>,
) -> Batch {
    let lease = Expected::Version(lease_revision);
    let batch = Batch::default().when(keys::OWNER, lease);
    ends.fold(batch, |batch, deferred| {
        // OK because it has only values that JSON can represent.
        let value = serde_json::to_vec(&deferred).expect("plain JSON");
        let DeferredEnd { end, .. } = deferred;
        batch.put(&keys::end(&end.task, end.run), value)
    })
}
