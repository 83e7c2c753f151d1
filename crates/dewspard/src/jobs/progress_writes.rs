/*!
How the holder stores the progress of jobs.

Changes are gathered for a moment and written a few jobs at a time, each write
under the condition that the lease is still this holder's and that each job's
record is as it is known here.

A write that is refused says which of these didn't hold. If it is the lease,
another node schedules, and this one leaves. If it is some jobs' records while
the lease stands, only they are at fault: the other jobs of the write are
written again at once without them, and of each of them it is decided by what
was found how it goes on (see [`dewspar::job::conflict`]).
*/

use {
    super::{
        event::Event,
        holder::{Holder, json},
        keys,
        progress::{
            self, ConflictCause, WriteConflict, WriteOutcome, batch_of,
        },
        versions::VersionSource,
    },
    crate::counters,
    dewspar::{
        job::{
            JobId, Progress,
            conflict::{Resolution, pause_ms, resolve},
        },
        schedule::{Changes, Now},
    },
    dewspar_platform::{Commit, Fleet, JobWorkers, KeyValue, Purpose},
    serde::Serialize,
    slog::warn,
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

/// How many writes of progress may be under way at once: a slow store still
/// takes what some 50 jobs a second change.
const MAX_WRITES: usize = 8;

/// How long changes of jobs that go on are gathered, in milliseconds; those
/// of jobs that are over are written at once.
const GATHER_MS: u64 = 20;

/// The same while work waits for this node's link: a job's record is written
/// again with each change, so fewer writes carry the same.
const SHORT_LINK_GATHER_MS: u64 = 150;

/// The pause after a write that wasn't done.
const RETRY: Duration = Duration::from_millis(100);

/// A job's record that wasn't as a refused write expected; versions are 0
/// where there is no record.
#[derive(Debug, Serialize)]
struct ConflictRow {
    job: JobId,
    expected: u64,
    found: u64,
    /// How the expected version came to be known.
    source: Option<VersionSource>,
    resolution: &'static str,
    times_in_a_row: u32,
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Sets going what is to be stored by now.
    pub(super) fn store_changes(&mut self, now: Now) {
        let short = self.scheduler.link().is_short(now.steady_ms);
        let gather_ms = if short { SHORT_LINK_GATHER_MS } else { GATHER_MS };
        let gathered = now.steady_ms >= self.stored_ms + gather_ms;
        while self.writes < MAX_WRITES
            && (self.scheduler.has_final_changes()
                || gathered && self.scheduler.has_changes())
        {
            self.stored_ms = now.steady_ms;
            let changes = progress::take_write(&mut self.scheduler);
            self.store(changes);
        }
    }

    fn store(&mut self, changes: Changes) {
        self.writes += 1;
        let batch = batch_of(self.held.revision, &changes, &self.versions);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let stored = progress::store_changes(&store, &batch).await;
            if matches!(stored, WriteOutcome::Failed) {
                sleep(RETRY).await;
            }
            // A holder that is gone has no use for it.
            let _ =
                sender.send(Event::ProgressWritten { changes, stored }).await;
        });
    }

    /// Takes in what became of a write.
    pub(super) fn changes_stored(
        &mut self,
        changes: Changes,
        stored: WriteOutcome,
        now: Now,
    ) {
        self.writes -= 1;
        match stored {
            WriteOutcome::Done(version) => {
                for (id, _) in &changes.progress {
                    self.versions.note_written(*id, version);
                }
                self.scheduler.changes_stored(&changes, now);
                self.delete_stored_ends(&changes);
            }
            WriteOutcome::Failed => self.scheduler.changes_failed(&changes),
            WriteOutcome::Conflict(refusal) => {
                self.changes_refused(changes, &refusal, now);
            }
        }
    }

    fn changes_refused(
        &mut self,
        mut changes: Changes,
        refusal: &WriteConflict,
        now: Now,
    ) {
        match refusal.by(&changes) {
            ConflictCause::Lease => {
                self.log_refusal(refusal, &[]);
                self.lost = Some("the store refused this holder's write");
            }
            ConflictCause::Resolved => {
                self.log_refusal(refusal, &[]);
                self.write_again(changes, RETRY);
            }
            ConflictCause::Records(ids) => {
                let refused = changes.take(&ids);
                if !changes.progress.is_empty() {
                    self.store(changes);
                }
                self.resolve_each(refused, refusal, now);
            }
        }
    }

    /// Decides of each job whose record was found changed how it goes on: one
    /// such record must not cost the lease, since the next holder would meet
    /// the same.
    fn resolve_each(
        &mut self,
        mut refused: Changes,
        refusal: &WriteConflict,
        now: Now,
    ) {
        let mut rows = Vec::new();
        let ids: Vec<JobId> =
            refused.progress.iter().map(|(id, _)| *id).collect();
        for id in ids {
            let change = refused.take(&BTreeSet::from([id]));
            let [(_, ours)] = &change.progress[..] else { continue };
            let key = keys::progress(id);
            let expected = refusal.expected(&key);
            let found = refusal.version(&key);
            let source = self.versions.source(id);
            let resolution = resolve(expected, ours, refusal.record(id));
            let times_in_a_row = self.versions.note_found(id, found);
            let resolved = resolution.name();
            rows.push(ConflictRow {
                job: id,
                expected,
                found,
                source,
                resolution: resolved,
                times_in_a_row,
            });
            self.go_on(change, resolution, times_in_a_row, now);
        }
        self.log_refusal(refusal, &rows);
    }

    /// Goes on with one job as was decided.
    fn go_on(
        &mut self,
        change: Changes,
        resolution: Resolution,
        times_in_a_row: u32,
        now: Now,
    ) {
        let pause = Duration::from_millis(pause_ms(times_in_a_row));
        match resolution {
            Resolution::Stored => self.scheduler.changes_stored(&change, now),
            Resolution::Over(record) | Resolution::GoOnFrom(record) => {
                self.take_in_record(&change, &record, now);
                self.write_again(change, pause);
            }
            Resolution::WriteAgain => self.write_again(change, pause),
            Resolution::LeaveAlone => {
                for (id, _) in &change.progress {
                    self.unreadable.insert(*id);
                    self.scheduler.mark_unreadable(*id);
                }
            }
        }
    }

    fn take_in_record(
        &mut self,
        change: &Changes,
        record: &Progress,
        now: Now,
    ) {
        for (id, _) in &change.progress {
            self.scheduler.merge_record(*id, record, now);
        }
    }

    /// Has changes written again after a pause, with what has changed by then.
    fn write_again(&mut self, changes: Changes, pause: Duration) {
        if pause.is_zero() {
            self.scheduler.changes_failed(&changes);
            return;
        }
        let sender = self.sender.clone();
        tokio::spawn(async move {
            sleep(pause).await;
            // A holder that is gone has no use for it.
            let _ = sender.send(Event::RetryWrite(changes)).await;
        });
    }

    /// Logs a refused write, with the records that stood in the way; at most
    /// as many as a write carries.
    fn log_refusal(&self, refusal: &WriteConflict, rows: &[ConflictRow]) {
        warn!(self.candidate.log, "holder: write refused";
            "lease_revision" => self.held.revision,
            "lease_found" => refusal.version(keys::OWNER),
            "records" => json(&rows));
    }

    /// Stores what isn't stored yet, before the lease is given up.
    pub(super) async fn store_last(&mut self) {
        while self.scheduler.has_changes() {
            let changes = progress::take_write(&mut self.scheduler);
            if !self.store_before_leaving(changes).await {
                return;
            }
        }
    }

    /// Stores changes but those that are refused for their jobs' records;
    /// returns whether there is any use in storing more.
    async fn store_before_leaving(&self, mut changes: Changes) -> bool {
        while !changes.progress.is_empty() {
            let batch = batch_of(self.held.revision, &changes, &self.versions);
            let current = match self.candidate.store.commit(&batch).await {
                Ok(Commit::Done(_)) => return true,
                Ok(Commit::Conflict(current)) => current,
                Err(error) => {
                    // The next holder hears of these ends from the workers.
                    counters::platform_failure(&error);
                    warn!(self.candidate.log, "holder: write gave no result";
                        "of" => "progress", "error" => %error);
                    return false;
                }
            };
            let refusal = WriteConflict::new(&batch, current);
            self.log_refusal(&refusal, &[]);
            match refusal.by(&changes) {
                ConflictCause::Lease => return false,
                ConflictCause::Resolved => return true,
                // Left to the next holder, which reads these records anew.
                ConflictCause::Records(ids) => drop(changes.take(&ids)),
            }
        }
        true
    }
}
