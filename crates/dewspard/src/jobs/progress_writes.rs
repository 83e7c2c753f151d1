/*!
How the holder writes the progress of jobs to the store.

Changes are collected for a short time and written in batches of a few jobs.
Each write is conditional on the lease's key, and on the version of each job's
record as it is known here.

A conflicting write returns which of these conditions failed. If the lease's
key has changed, another node schedules, and this one stops. If only the
records of some jobs have changed, the other jobs of the batch are written
again at once, and each conflict is resolved on its own from the record that
was found (see [`dewspar::job::conflict`]).
*/

use {
    super::{
        event::Event,
        holder::{Holder, now, to_json},
        keys,
        progress::{
            self, ConflictCause, WriteConflict, WriteOutcome, WrittenProgress,
        },
        progress_batches::{
            ProgressWrite, StoredState, progress_writes, take_next_write,
        },
        versions::VersionSource,
    },
    crate::counters,
    dewspar::{
        job::{
            JobId, Progress, TaskId,
            conflict::{Resolution, resolve, retry_delay_ms},
        },
        schedule::{Changes, Now},
    },
    dewspar_platform::{Commit, Error, Fleet, JobWorkers, KeyValue, Purpose},
    serde::Serialize,
    slog::warn,
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The maximum number of writes of progress in flight: with this, even a slow
/// store keeps up with the changes of some 50 jobs a second.
const MAX_WRITES_IN_FLIGHT: usize = 8;

/// How long changes of unfinished jobs are collected before they are written,
/// in milliseconds. Those of finished jobs are written at once.
const BATCH_DELAY_MS: u64 = 20;

/// The same while this node's network link is saturated. Each write has a
/// job's whole record, so fewer writes transfer less for the same changes.
const BUSY_LINK_BATCH_DELAY_MS: u64 = 150;

/// The delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The delay before a record that the store doesn't accept is written again,
/// with what has changed by then.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A log row for a job's record that wasn't at the version that a write
/// expected. Versions are 0 if there is no record.
#[derive(Debug, Serialize)]
struct ConflictRow {
    job: JobId,
    expected: u64,
    found: u64,
    /// How the expected version was learned.
    source: Option<VersionSource>,
    resolution: &'static str,
    times_in_a_row: u32,
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Starts the writes of progress that are due.
    pub(super) fn write_changes(&mut self, now: Now) {
        let link_busy = self.scheduler.link().is_saturated(now.steady_ms);
        let batch_delay_ms =
            if link_busy { BUSY_LINK_BATCH_DELAY_MS } else { BATCH_DELAY_MS };
        let delay_over = now.steady_ms >= self.last_write_ms + batch_delay_ms;
        while self.writes_in_flight < MAX_WRITES_IN_FLIGHT
            && (self.scheduler.has_final_changes()
                || delay_over && self.scheduler.has_changes())
        {
            self.last_write_ms = now.steady_ms;
            let changes = take_next_write(&mut self.scheduler);
            self.spawn_progress_writes(changes);
        }
    }

    fn stored_state(&self) -> StoredState<'_> {
        StoredState {
            lease_revision: self.held.revision,
            versions: &self.versions,
            checkpoints: &self.checkpoints.stored,
        }
    }

    fn spawn_progress_writes(&mut self, changes: Changes) {
        for (changes, write) in progress_writes(changes, self.stored_state()) {
            self.writes_in_flight += 1;
            let store = self.candidate.store.with_purpose(Purpose::Progress);
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let written = progress::commit_changes(&store, &write).await;
                if matches!(written.outcome, WriteOutcome::Failed) {
                    sleep(RETRY_DELAY).await;
                }
                // If the holder has stopped, the result isn't needed.
                let _ = sender
                    .send(Event::ProgressWritten { changes, written })
                    .await;
            });
        }
    }

    /// Handles the result of a write of progress.
    pub(super) fn progress_written(
        &mut self,
        changes: Changes,
        written: WrittenProgress,
        now: Now,
    ) {
        self.writes_in_flight -= 1;
        let WrittenProgress { outcome, checkpoints, rejected } = written;
        for (task, run) in checkpoints {
            self.checkpoints.stored.note_stored(&task, run);
        }
        for (task, run) in rejected {
            self.checkpoint_rejected(&task, run);
        }
        match outcome {
            WriteOutcome::Done(version) => {
                self.records_stored(&changes, version, now);
                self.delete_recorded_ends(&changes);
            }
            WriteOutcome::Failed => self.scheduler.changes_failed(&changes),
            WriteOutcome::Rejected(error) => {
                self.write_rejected(changes, &error);
            }
            WriteOutcome::Conflict(conflict) => {
                self.changes_conflicted(changes, &conflict, now);
            }
        }
    }

    /// Notes that the store doesn't accept the checkpoint of a task after this
    /// run. It isn't written again: the task can resume from an earlier one.
    fn checkpoint_rejected(&mut self, task: &TaskId, run: u64) {
        counters::count_by(counters::REJECTED_RECORDS, "what", "checkpoint");
        warn!(self.candidate.log, "holder: checkpoint rejected";
            "job" => %task.job, "task" => %task, "run" => run);
        self.checkpoints.stored.note_stored(task, run);
    }

    /// Writes the jobs of a rejected write one by one. A job whose record is
    /// rejected by itself goes on, with its ends stored apart.
    fn write_rejected(&mut self, changes: Changes, error: &Error) {
        if let [(id, _)] = changes.progress[..] {
            counters::count_by(counters::REJECTED_RECORDS, "what", "progress");
            warn!(self.candidate.log, "holder: record rejected";
                "job" => %id, "error" => %error);
            self.scheduler.mark_rejected(id);
            self.retry_write(changes, REJECTED_RETRY_DELAY);
            return;
        }
        for change in changes.into_single_jobs() {
            self.spawn_progress_writes(change);
        }
    }

    fn changes_conflicted(
        &mut self,
        mut changes: Changes,
        conflict: &WriteConflict,
        now: Now,
    ) {
        match conflict.cause_for(&changes) {
            ConflictCause::Lease => {
                self.log_conflict(conflict, &[]);
                self.lost_reason =
                    Some("the store refused this holder's write");
            }
            ConflictCause::Resolved => {
                self.log_conflict(conflict, &[]);
                self.retry_write(changes, RETRY_DELAY);
            }
            ConflictCause::Records(ids) => {
                let conflicted = changes.take(&ids);
                if !changes.progress.is_empty() {
                    self.spawn_progress_writes(changes);
                }
                self.resolve_conflicts(conflicted, conflict, now);
            }
        }
    }

    /// Resolves the conflict of each job whose record has changed. The holder
    /// keeps its lease, because the next holder could run into the same
    /// conflict.
    fn resolve_conflicts(
        &mut self,
        mut conflicted: Changes,
        conflict: &WriteConflict,
        now: Now,
    ) {
        let mut rows = Vec::new();
        let ids: Vec<JobId> =
            conflicted.progress.iter().map(|(id, _)| *id).collect();
        for id in ids {
            let change = conflicted.take(&BTreeSet::from([id]));
            let [(_, ours)] = &change.progress[..] else { continue };
            let key = keys::progress(id);
            let expected = conflict.expected_version(&key);
            let found = conflict.found_version(&key);
            let source = self.versions.source(id);
            let resolution =
                resolve(expected, ours, conflict.found_record(id));
            let times_in_a_row = self.versions.note_found(id, found);
            let resolution_name = resolution.name();
            rows.push(ConflictRow {
                job: id,
                expected,
                found,
                source,
                resolution: resolution_name,
                times_in_a_row,
            });
            self.apply_resolution(change, resolution, times_in_a_row, now);
        }
        self.log_conflict(conflict, &rows);
    }

    /// Applies the resolution of one job's conflict.
    fn apply_resolution(
        &mut self,
        change: Changes,
        resolution: Resolution,
        times_in_a_row: u32,
        now: Now,
    ) {
        let pause = Duration::from_millis(retry_delay_ms(times_in_a_row));
        match resolution {
            Resolution::Stored => self.scheduler.changes_stored(&change, now),
            Resolution::Finished(record) | Resolution::Merge(record) => {
                self.adopt_record(&change, &record, now);
                self.retry_write(change, pause);
            }
            Resolution::Retry => self.retry_write(change, pause),
            Resolution::LeaveAlone => {
                for (id, _) in &change.progress {
                    self.unreadable.insert(*id);
                    self.scheduler.mark_unreadable(*id);
                }
            }
        }
    }

    fn adopt_record(&mut self, change: &Changes, record: &Progress, now: Now) {
        for (id, _) in &change.progress {
            self.scheduler.merge_record(*id, record, now);
        }
    }

    /// Returns changes to the scheduler after a pause; it writes them again
    /// with whatever has changed by then.
    fn retry_write(&mut self, changes: Changes, pause: Duration) {
        if pause.is_zero() {
            self.scheduler.changes_failed(&changes);
            return;
        }
        let sender = self.sender.clone();
        tokio::spawn(async move {
            sleep(pause).await;
            // If the holder has stopped, the retry isn't needed.
            let _ = sender.send(Event::RetryWrite(changes)).await;
        });
    }

    /// Logs a conflicting write with the records that caused it: at most the
    /// number of jobs in one write.
    fn log_conflict(&self, conflict: &WriteConflict, rows: &[ConflictRow]) {
        warn!(self.candidate.log, "holder: write refused";
            "lease_revision" => self.held.revision,
            "lease_found" => conflict.found_version(keys::OWNER),
            "records" => to_json(&rows));
    }

    /// Notes that the records of these changes are stored at this version.
    fn records_stored(&mut self, changes: &Changes, version: u64, now: Now) {
        for (id, record) in &changes.progress {
            self.versions.note_written(*id, version);
            self.checkpoints.note_record_stored(*id, record);
        }
        self.scheduler.changes_stored(changes, now);
    }

    /// Writes all remaining changes before the lease is released. Returns those
    /// that aren't stored; if the lease is kept after all, pass them to
    /// [`Scheduler::changes_failed`](dewspar::schedule::Scheduler::changes_failed).
    pub(super) async fn flush_changes(&mut self) -> Vec<Changes> {
        let mut unstored = Vec::new();
        let mut goes_on = true;
        while goes_on && self.scheduler.has_changes() {
            let changes = take_next_write(&mut self.scheduler);
            let mut writes =
                VecDeque::from(progress_writes(changes, self.stored_state()));
            while let Some((changes, write)) = writes.pop_front() {
                if !goes_on {
                    unstored.push(changes);
                    continue;
                }
                match self.flush_write(changes, &write, &mut unstored).await {
                    Flushed::Done => {}
                    Flushed::Again(rest) => writes
                        .extend(progress_writes(rest, self.stored_state())),
                    Flushed::OneByOne(changes) => {
                        for change in changes.into_single_jobs() {
                            writes.extend(progress_writes(
                                change,
                                self.stored_state(),
                            ));
                        }
                    }
                    Flushed::Stop => goes_on = false,
                }
            }
        }
        unstored
    }

    /// Writes changes once, and puts those that couldn't be stored aside.
    async fn flush_write(
        &mut self,
        mut changes: Changes,
        write: &ProgressWrite,
        unstored: &mut Vec<Changes>,
    ) -> Flushed {
        let store = &self.candidate.store;
        let checkpoints = write.checkpoints.iter();
        let batches = checkpoints
            .map(|checkpoints| (&checkpoints.batch, &checkpoints.runs[..]))
            .chain([(&write.records, &[][..])]);
        let mut stored_version = 0;
        for (batch, checkpoint_runs) in batches {
            let current = match store.commit(batch).await {
                Ok(Commit::Done(version)) => {
                    stored_version = version;
                    for (task, run) in checkpoint_runs {
                        self.checkpoints.stored.note_stored(task, *run);
                    }
                    continue;
                }
                Ok(Commit::Conflict(current)) => current,
                // The next holder finds an earlier checkpoint.
                Err(Error::Rejected { .. }) if !checkpoint_runs.is_empty() => {
                    continue;
                }
                Err(error @ Error::Rejected { .. }) => {
                    counters::platform_failure(&error);
                    return self.flush_rejected(changes, &error, unstored);
                }
                Err(error) => {
                    // Workers will report these ends to the next holder.
                    counters::platform_failure(&error);
                    warn!(self.candidate.log, "holder: write gave no result";
                        "of" => "progress", "error" => %error);
                    unstored.push(changes);
                    return Flushed::Stop;
                }
            };
            let conflict = WriteConflict::new(batch, current);
            self.log_conflict(&conflict, &[]);
            return match conflict.cause_for(&changes) {
                ConflictCause::Lease => {
                    unstored.push(changes);
                    Flushed::Stop
                }
                ConflictCause::Resolved => {
                    unstored.push(changes);
                    Flushed::Done
                }
                // The next holder reads these records again.
                ConflictCause::Records(ids) => {
                    unstored.push(changes.take(&ids));
                    Flushed::Again(changes)
                }
            };
        }
        self.records_stored(&changes, stored_version, now());
        Flushed::Done
    }

    /// Has the jobs of a rejected write written one by one. The workers report
    /// the ends of a job whose record is rejected to the next holder.
    fn flush_rejected(
        &self,
        changes: Changes,
        error: &Error,
        unstored: &mut Vec<Changes>,
    ) -> Flushed {
        if let [(id, _)] = &changes.progress[..] {
            warn!(self.candidate.log, "holder: record rejected";
                "job" => %id, "error" => %error);
            unstored.push(changes);
            return Flushed::Done;
        }
        Flushed::OneByOne(changes)
    }
}

/// How to go on after a write of remaining changes.
enum Flushed {
    Done,
    /// Write these changes again; the others are put aside.
    Again(Changes),
    /// Write these changes again, each job by itself.
    OneByOne(Changes),
    /// No further write can succeed.
    Stop,
}
