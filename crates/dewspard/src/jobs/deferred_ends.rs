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
const ENDS_A_WRITE: usize = 31;

/// The pause before ends are written again that weren't, in milliseconds, as
/// for changes of jobs.
const RETRY_MS: u64 = 100;

/// Ends that former holders have set aside, by their job.
#[derive(Debug, Default)]
pub(super) struct DeferredEnds {
    of_jobs: BTreeMap<JobId, Vec<DeferredEnd>>,
    /// The jobs whose ends were taken in.
    taken_in: BTreeSet<JobId>,
    is_writing: bool,
    /// From when the next write may begin.
    write_from_ms: u64,
}

impl DeferredEnds {
    pub(super) fn take_loaded(&mut self, ends: Vec<DeferredEnd>) {
        for end in ends {
            let of_job = self.of_jobs.entry(end.end.task.job).or_default();
            of_job.push(end);
        }
    }

    /// Takes the ends that needn't be kept, with this stored of their job.
    fn take_stored(
        &mut self,
        id: JobId,
        progress: &Progress,
    ) -> Vec<DeferredEnd> {
        let Some(ends) = self.of_jobs.get_mut(&id) else {
            return Vec::new();
        };
        let over = progress.phase.is_final();
        let taken_in = self.taken_in.contains(&id);
        let is_stored = |aside: &mut DeferredEnd| {
            over || taken_in && holds(progress, aside)
        };
        let stored = ends.extract_if(.., is_stored).collect();
        if ends.is_empty() {
            self.of_jobs.remove(&id);
        }
        stored
    }
}

/// Returns whether a job's record tells of the end of a run.
fn holds(progress: &Progress, aside: &DeferredEnd) -> bool {
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
    pub(super) fn leave_unread(&mut self, id: JobId) {
        if self.scheduler.phase(id).is_none() {
            self.unreadable.insert(id);
            self.scheduler.mark_unreadable(id);
        }
    }

    /// Takes in what former holders have set aside of a job.
    pub(super) fn take_in_ends(&mut self, id: JobId) {
        let now = super::holder::now();
        let Some(ends) = self.ends.of_jobs.get(&id) else { return };
        for end in ends {
            self.scheduler.apply_deferred_end(end, now);
        }
        self.ends.taken_in.insert(id);
    }

    /// Writes ends that are to be set aside.
    pub(super) fn store_ends(&mut self, now: Now) {
        let due = now.steady_ms >= self.ends.write_from_ms;
        if self.ends.is_writing || !due {
            return;
        }
        let ends = self.scheduler.take_deferred_ends(ENDS_A_WRITE);
        if ends.is_empty() {
            return;
        }
        self.ends.is_writing = true;
        let batch = put_ends(self.held.revision, &ends);
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
    pub(super) fn ends_written(
        &mut self,
        ends: &DeferredEndBatch,
        written: RecordWritten,
        now: Now,
    ) {
        self.ends.is_writing = false;
        match written {
            RecordWritten::Done(_) => {
                self.scheduler.deferred_ends_stored(ends, now)
            }
            RecordWritten::Failed => {
                self.ends.write_from_ms = now.steady_ms + RETRY_MS;
                self.scheduler.deferred_ends_failed(ends);
            }
            // Nothing but the lease's key has to be as it was.
            RecordWritten::Conflict { .. } => {
                self.lost = Some("the store refused this holder's write");
            }
        }
    }

    /// Deletes what was set aside of jobs that are stored as over, or with what
    /// was taken in: a job whose task lasts would have ever more of it.
    pub(super) fn delete_stored_ends(&mut self, changes: &Changes) {
        for (id, progress) in &changes.progress {
            let ends = self.ends.take_stored(*id, progress);
            self.delete_ends(&ends);
        }
    }

    /// Deletes what was set aside of jobs that are neither open nor among
    /// those that can't be read.
    pub(super) fn delete_useless_ends(&mut self) {
        let (scheduler, unreadable) = (&self.scheduler, &self.unreadable);
        let useless = |id: &JobId| {
            scheduler.phase(*id).is_none() && !unreadable.contains(id)
        };
        let of_jobs = &mut self.ends.of_jobs;
        let useless: Vec<DeferredEnd> = of_jobs
            .extract_if(.., |id, _| useless(id))
            .flat_map(|(_, ends)| ends)
            .collect();
        self.delete_ends(&useless);
    }

    fn delete_ends(&self, ends: &[DeferredEnd]) {
        for some in ends.chunks(ENDS_A_WRITE) {
            let lease = Expected::Version(self.held.revision);
            let mut batch = Batch::default().when(keys::OWNER, lease);
            for DeferredEnd { end, .. } in some {
                batch = batch.delete(&keys::end(&end.task, end.run));
            }
            self.write(batch, "deletion of ends set aside");
        }
    }
}

fn put_ends(lease_revision: u64, ends: &DeferredEndBatch) -> Batch {
    let lease = Expected::Version(lease_revision);
    let batch = Batch::default().when(keys::OWNER, lease);
    ends.ends().fold(batch, |batch, aside| {
        // OK because it holds only what JSON can write.
        let value = serde_json::to_vec(aside).expect("plain JSON");
        let DeferredEnd { end, .. } = aside;
        batch.put(&keys::end(&end.task, end.run), value)
    })
}
