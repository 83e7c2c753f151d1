/*!
Ends of runs whose job can't be read, as they lie in the store.

Each has a key of its own, so that a write is the same whenever it is done, and
a late one replaces nothing. They are read before the jobs, so that none of
these starts what is done, and deleted once their job's record holds them or
the job is over.
*/

use {
    super::{event::Event, holder::Holder, keys, records::record_written},
    crate::{counters, passed_over},
    dewspar::{
        job::{JobId, Progress},
        record::RecordWritten,
        schedule::{Changes, DeferredEnd, DeferredEndBatch, Now},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
    },
    slog::{Logger, warn},
    std::collections::{BTreeMap, BTreeSet},
};

/// How many ends are written or deleted at once: the store takes 32 entries,
/// and one is the lease's condition.
const MAX_ENDS_PER_WRITE: usize = 31;

/// The pause before ends are written again that weren't, in milliseconds, as
/// for changes of jobs.
const RETRY_DELAY_MS: u64 = 100;

/// Ends that former holders have set aside, by their job.
#[derive(Debug, Default)]
pub(super) struct DeferredEnds {
    by_job: BTreeMap<JobId, Vec<DeferredEnd>>,
    /// The jobs whose ends were taken in.
    applied: BTreeSet<JobId>,
    is_writing: bool,
    /// From when the next write may begin.
    next_write_ms: u64,
}

impl DeferredEnds {
    pub(super) fn add_loaded(&mut self, ends: Vec<DeferredEnd>) {
        for end in ends {
            let of_job = self.by_job.entry(end.end.task.job).or_default();
            of_job.push(end);
        }
    }

    /// Takes the ends that needn't be kept, with this stored of their job.
    fn take_obsolete(
        &mut self,
        id: JobId,
        progress: &Progress,
    ) -> Vec<DeferredEnd> {
        let Some(ends) = self.by_job.get_mut(&id) else {
            return Vec::new();
        };
        let over = progress.phase.is_final();
        let applied = self.applied.contains(&id);
        let is_obsolete = |aside: &mut DeferredEnd| {
            over || applied && is_recorded(progress, aside)
        };
        let stored = ends.extract_if(.., is_obsolete).collect();
        if ends.is_empty() {
            self.by_job.remove(&id);
        }
        stored
    }
}

/// Returns whether a job's record tells of the end of a run.
fn is_recorded(progress: &Progress, aside: &DeferredEnd) -> bool {
    let DeferredEnd { end, .. } = aside;
    progress.tasks.iter().any(|record| {
        let place = (record.round, record.step, record.index);
        place == (end.task.round, end.task.step, end.task.index)
            && record.run >= end.run
    })
}

/// Reads the ends that former holders have set aside; what can't be read is
/// passed over.
pub(super) async fn load_ends<K: KeyValue>(
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
    /// Leaves a job alone that can't be read, unless it is known already.
    pub(super) fn skip_unreadable(&mut self, id: JobId) {
        if self.scheduler.phase(id).is_none() {
            self.unreadable.insert(id);
            self.scheduler.mark_unreadable(id);
        }
    }

    /// Takes in what former holders have set aside of a job.
    pub(super) fn apply_deferred_ends(&mut self, id: JobId) {
        let now = super::holder::now();
        let Some(ends) = self.deferred_ends.by_job.get(&id) else { return };
        for end in ends {
            self.scheduler.apply_deferred_end(end, now);
        }
        self.deferred_ends.applied.insert(id);
    }

    /// Writes ends that are to be set aside.
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
        let batch = ends_batch(self.held.revision, &ends);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        let log = self.candidate.log.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
                warn!(log, "holder: write gave no result";
                    "of" => "ends of jobs that can't be read",
                    "error" => %error);
            }
            let written = record_written(&answer, keys::OWNER);
            // A holder that is gone has no use for it.
            let _ = sender
                .send(Event::DeferredEndsWritten { ends, written })
                .await;
        });
    }

    /// Takes in what became of a write of ends.
    pub(super) fn deferred_ends_written(
        &mut self,
        ends: &DeferredEndBatch,
        written: RecordWritten,
        now: Now,
    ) {
        self.deferred_ends.is_writing = false;
        match written {
            RecordWritten::Done(_) => {
                self.scheduler.deferred_ends_stored(ends, now)
            }
            RecordWritten::Failed => {
                self.deferred_ends.next_write_ms =
                    now.steady_ms + RETRY_DELAY_MS;
                self.scheduler.deferred_ends_failed(ends);
            }
            // Nothing but the lease's key has to be as it was.
            RecordWritten::Conflict { .. } => {
                self.lost_reason =
                    Some("the store refused this holder's write");
            }
        }
    }

    /// Deletes what was set aside of jobs that are stored as over, or with what
    /// was taken in: a job whose task lasts would have ever more of it.
    pub(super) fn delete_recorded_ends(&mut self, changes: &Changes) {
        for (id, progress) in &changes.progress {
            let ends = self.deferred_ends.take_obsolete(*id, progress);
            self.delete_ends(&ends);
        }
    }

    /// Deletes what was set aside of jobs that are neither open nor among
    /// those that can't be read.
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

fn ends_batch(lease_revision: u64, ends: &DeferredEndBatch) -> Batch {
    let lease = Expected::Version(lease_revision);
    let batch = Batch::default().when(keys::OWNER, lease);
    ends.ends().fold(batch, |batch, aside| {
        // OK because it holds only what JSON can write.
        let value = serde_json::to_vec(aside).expect("plain JSON");
        let DeferredEnd { end, .. } = aside;
        batch.put(&keys::end(&end.task, end.run), value)
    })
}
