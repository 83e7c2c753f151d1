/*!
The writes that store the changes of jobs, as batches for the store.

Each batch is conditional on the lease's key and on the key of each job's
record. Checkpoints that are stored apart from their job's record precede it in
batches of their own.
*/

use {
    super::{
        checkpoints::{CheckpointWrite, checkpoint_writes},
        keys,
        versions::RecordVersions,
    },
    dewspar::{
        job::{JobId, Phase, Progress, checkpoints::SeparateCheckpoints},
        schedule::{Changes, Scheduler},
    },
    dewspar_platform::{Batch, Expected},
    std::collections::BTreeSet,
};

/// The maximum number of entries for jobs in a write: the store accepts 32,
/// and one is the condition on the lease.
const MAX_ENTRIES_PER_WRITE: usize = 31;

/// Returns the maximum number of entries that a job needs in a write: a
/// condition and a put, and once it is finished a deletion and a second put.
fn entries_per_job(phase: Phase) -> usize {
    if phase.is_final() { 4 } else { 2 }
}

/// Takes the changes for the next write from the scheduler.
pub(super) fn take_next_write(scheduler: &mut Scheduler) -> Changes {
    scheduler.take_changes_within(MAX_ENTRIES_PER_WRITE, entries_per_job)
}

/// The size from which a job's record is written by itself, in bytes, so that
/// the records of other jobs don't wait for its transfer.
const LARGE_RECORD_BYTES: usize = 32 * 1024;

/// A write of changes: first the checkpoints that are stored apart from their
/// job's record, then the records.
#[derive(Debug)]
pub(super) struct ProgressWrite {
    pub(super) checkpoints: Vec<CheckpointWrite>,
    pub(super) records: Batch,
}

impl ProgressWrite {
    fn new(lease_revision: u64) -> ProgressWrite {
        let lease = Expected::Version(lease_revision);
        let records = Batch::default().when(keys::OWNER, lease);
        ProgressWrite { checkpoints: Vec::new(), records }
    }

    /// Adds the record of a job of these changes.
    fn add(&mut self, id: JobId, record: EncodedRecord, changes: &Changes) {
        let EncodedRecord { is_final, version, value, checkpoints } = record;
        self.checkpoints.extend(checkpoints);
        let key = keys::progress(id);
        let mut batch = std::mem::take(&mut self.records)
            .when(&key, Expected::from_version(version))
            .put(&key, value);
        if is_final {
            // While tasks of a finished job may still run, its cancellation
            // stays on record, or is added if the job ended otherwise. With it
            // the next holder stops these tasks before it has loaded any job.
            batch = batch.delete(&keys::accepted(id));
            if changes.has_active_runs(id) {
                let active_use = changes.active_use(id).map(|active_use| {
                    // OK because it holds only strings and numbers.
                    serde_json::to_vec(active_use).expect("plain JSON")
                });
                let value = active_use.unwrap_or_default();
                batch = batch.put(&keys::cancelled(id), value);
            }
        }
        self.records = batch;
    }
}

/// A job's record as it is to be written.
struct EncodedRecord {
    is_final: bool,
    /// The version that the record must have; 0 if it must be absent.
    version: u64,
    value: Vec<u8>,
    checkpoints: Vec<CheckpointWrite>,
}

impl EncodedRecord {
    fn is_large(&self) -> bool {
        !self.checkpoints.is_empty() || self.value.len() >= LARGE_RECORD_BYTES
    }
}

/// What the writes of progress depend on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredState<'a> {
    pub(super) lease_revision: u64,
    pub(super) versions: &'a RecordVersions,
    pub(super) checkpoints: &'a SeparateCheckpoints,
}

impl StoredState<'_> {
    fn encode(self, id: JobId, progress: &Progress) -> EncodedRecord {
        let version = self.versions.expected(id);
        // OK because progress has only values that JSON can represent.
        let to_json = |progress: &Progress| {
            serde_json::to_vec(progress).expect("plain JSON")
        };
        let is_final = progress.phase.is_final();
        if !self.checkpoints.are_separate(id, progress) {
            let value = to_json(progress);
            let checkpoints = Vec::new();
            return EncodedRecord { is_final, version, value, checkpoints };
        }
        let mut record = progress.clone();
        let unstored = self.checkpoints.split_off(id, &mut record);
        EncodedRecord {
            is_final,
            version,
            value: to_json(&record),
            checkpoints: checkpoint_writes(
                self.lease_revision,
                version,
                unstored,
            ),
        }
    }
}

/// Divides changes into writes: one for each job with a large record, and one
/// for all others.
pub(super) fn progress_writes(
    mut changes: Changes,
    stored: StoredState<'_>,
) -> Vec<(Changes, ProgressWrite)> {
    let encode = |(id, progress): &(JobId, Progress)| {
        (*id, stored.encode(*id, progress))
    };
    let records: Vec<(JobId, EncodedRecord)> =
        changes.progress.iter().map(encode).collect();
    let mut writes = Vec::new();
    let mut shared = ProgressWrite::new(stored.lease_revision);
    for (id, record) in records {
        if record.is_large() {
            let own = changes.take(&BTreeSet::from([id]));
            let mut write = ProgressWrite::new(stored.lease_revision);
            write.add(id, record, &own);
            writes.push((own, write));
        } else {
            shared.add(id, record, &changes);
        }
    }
    if !changes.progress.is_empty() {
        writes.push((changes, shared));
    }
    writes
}
