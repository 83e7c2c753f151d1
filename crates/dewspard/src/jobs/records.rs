/*!
Records that the holder writes besides the progress of jobs: counts of waiting
jobs and the state of waves. Also the deletion of expired keys.
*/

use {
    super::{
        event::Event,
        holder::{Holder, to_json},
        keys, vm_orders,
    },
    crate::counters,
    dewspar::{
        fields::WithUnknownFields, record::RecordWriteOutcome, schedule::Now,
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
        Versioned,
    },
    slog::{info, warn},
};

/// The maximum lag behind the feed at which the holder publishes counts, in
/// milliseconds. Together with the age that readers accept, a count is then at
/// most some 4 s old; jobs that were accepted 5 s ago must be counted.
const MAX_FEED_AGE_MS: u64 = 2_000;

/// The interval at which the keys of expired jobs are deleted, in
/// milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// The interval after a full write, in milliseconds: up to 150 jobs a second.
const EXPIRY_BACKLOG_INTERVAL_MS: u64 = 100;

/// The maximum number of jobs whose keys one write deletes: the store accepts
/// 32 entries, one is the condition on the lease, and each job has two keys.
const MAX_EXPIRED_PER_WRITE: usize = 15;

/// The maximum number of cancellations that one write deletes, with one key
/// for each job.
const MAX_CANCELLATIONS_PER_WRITE: usize = 31;

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Marks the state of a wave as changed, so that it is written.
    pub(super) fn mark_wave_changed(&mut self, wave: u64) {
        self.wave_writers.entry(wave).or_default().mark_dirty();
    }

    /// Writes the state of each wave whose write is due.
    pub(super) fn write_waves(&mut self, now: Now) {
        for (wave, writer) in &mut self.wave_writers {
            let record = self.scheduler.wave_record(*wave);
            let Some(record) = record else { continue };
            if !writer.is_due(now.steady_ms) {
                continue;
            }
            let (wave, expected) = (*wave, writer.begin_write());
            let other = self.waves.other.get(&wave).cloned();
            let other = other.unwrap_or_default();
            let record = WithUnknownFields { record, other };
            let lease = self.held.revision;
            let batch = vm_orders::wave_batch(lease, wave, expected, &record);
            let store = self.candidate.store.with_purpose(Purpose::Progress);
            let sender = self.sender.clone();
            let log = self.candidate.log.clone();
            tokio::spawn(async move {
                let answer = store.commit(&batch).await;
                if let Err(error) = &answer {
                    counters::platform_failure(error);
                    warn!(log, "holder: write gave no result";
                        "of" => "state of a wave", "error" => %error);
                }
                let written = record_written(&answer, &keys::wave(wave));
                // If the holder has stopped, the result isn't needed.
                let _ =
                    sender.send(Event::WaveWritten { wave, written }).await;
            });
        }
    }

    /// Handles the result of a write of a wave's state.
    pub(super) fn wave_written(
        &mut self,
        wave: u64,
        written: RecordWriteOutcome,
        now: Now,
    ) {
        if let Some(writer) = self.wave_writers.get_mut(&wave) {
            writer.finish_write(written, now.steady_ms);
        }
    }

    /// Writes the counts of waiting jobs, unless this holder may have missed
    /// jobs. The record then becomes stale, and other nodes count the stored
    /// jobs themselves.
    pub(super) fn write_counts(&mut self, now: Now) {
        let behind_ms = now.steady_ms.saturating_sub(self.feed_current_ms);
        let may_be_incomplete =
            behind_ms >= MAX_FEED_AGE_MS || self.scheduler.is_loading();
        if may_be_incomplete || !self.counts.is_due(now.steady_ms) {
            return;
        }
        let counts = self.scheduler.pending(now.unix_ms);
        let batch = self.counts.begin_write(counts, &self.held, now.steady_ms);
        let Some(batch) = batch else { return };
        info!(self.candidate.log, "holder: waiting jobs counted";
            "counts" => to_json(self.counts.last_written()),
            "unconfirmed" => to_json(&self.scheduler.unconfirmed()),
            "lease_revision" => self.held.revision,
            "feed_behind_ms" => behind_ms);
        let store = self.candidate.store.with_purpose(Purpose::Counts);
        let sender = self.sender.clone();
        let log = self.candidate.log.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
                warn!(log, "holder: write gave no result";
                    "of" => "counts of waiting jobs", "error" => %error);
            }
            let written =
                Event::CountsWritten(record_written(&answer, keys::PENDING));
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(written).await;
        });
    }

    /// Deletes the keys of jobs that finished long ago.
    pub(super) fn delete_expired(&mut self, now: Now) {
        if now.steady_ms < self.last_expiry_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        let expired = self.scheduler.take_expired(now, MAX_EXPIRED_PER_WRITE);
        // After a full write more jobs are probably waiting: at only 15 jobs
        // per 5 s the keys of a busy fleet would accumulate without limit.
        if expired.len() < MAX_EXPIRED_PER_WRITE {
            self.last_expiry_ms = now.steady_ms;
        } else {
            self.last_expiry_ms += EXPIRY_BACKLOG_INTERVAL_MS;
        }
        if expired.is_empty() {
            return;
        }
        let mut batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision));
        for id in expired {
            self.versions.forget(id);
            batch =
                batch.delete(&keys::progress(id)).delete(&keys::cancelled(id));
        }
        self.spawn_write(batch, "deletion of expired jobs");
    }

    /// Deletes the cancellations of jobs that have no running tasks left.
    pub(super) fn delete_settled_cancellations(&mut self, now: Now) {
        let settled = self
            .scheduler
            .take_settled_cancellations(now, MAX_CANCELLATIONS_PER_WRITE);
        if settled.is_empty() {
            return;
        }
        let mut batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision));
        for id in &settled {
            batch = batch.delete(&keys::cancelled(*id));
        }
        self.spawn_write(batch, "deletion of settled cancellings");
    }

    /// Starts a write that isn't retried. `what` names it in the log.
    pub(super) fn spawn_write(&self, batch: Batch, what: &'static str) {
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let log = self.candidate.log.clone();
        tokio::spawn(async move {
            if let Err(error) = store.commit(&batch).await {
                counters::platform_failure(&error);
                warn!(log, "holder: write gave no result"; "of" => what,
                    "error" => %error);
            }
        });
    }
}

/// Converts the store's answer to a write of the record under this key.
pub(super) fn record_written(
    answer: &Result<Commit, Error>,
    key: &str,
) -> RecordWriteOutcome {
    match answer {
        Ok(Commit::Done(version)) => RecordWriteOutcome::Done(*version),
        Ok(Commit::Conflict(current)) => {
            let version = find_version(current, key);
            RecordWriteOutcome::Conflict { version }
        }
        Err(_) => RecordWriteOutcome::Failed,
    }
}

/// Returns the version of a key among those that were found; 0 if it is
/// absent.
pub(super) fn find_version(found: &[Versioned], key: &str) -> u64 {
    let item = found.iter().find(|item| item.key == key);
    item.map_or(0, |item| item.version)
}
