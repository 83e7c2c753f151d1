/*!
What the holder keeps in the store beside the progress of jobs: counts of
waiting jobs, the state of waves; and what it deletes there.
*/

use {
    super::{
        duties,
        holder::{Holder, json},
        keys,
    },
    crate::counters,
    dewspar::schedule::Now,
    dewspar_platform::{Batch, Expected, Fleet, JobWorkers, KeyValue},
    slog::{info, warn},
};

/// How often the counts of waiting jobs are written, if they have changed,
/// in milliseconds.
const PENDING_INTERVAL_MS: u64 = 700;

/// How long counts that haven't changed aren't written again, in
/// milliseconds: callers may be told counts of that age, and a write may have
/// been lost.
const PENDING_AGE_MS: u64 = 2_000;

/// How often keys of jobs that are over for long are deleted, in
/// milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// How many keys are deleted at once.
const EXPIRED_A_WRITE: usize = 16;

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    pub(super) fn write_wave(&self, wave: u64) {
        if let Some(record) = self.scheduler.wave_record(wave) {
            let batch = duties::wave_batch(self.held.revision, wave, record);
            self.write(batch, "state of a wave");
        }
    }

    pub(super) fn write_pending(&mut self, now: Now) {
        if now.steady_ms < self.pending_written_ms + PENDING_INTERVAL_MS {
            return;
        }
        let pending = self.scheduler.pending(now.unix_ms);
        let fresh = now.steady_ms < self.pending_written_ms + PENDING_AGE_MS;
        if pending == self.pending && fresh {
            return;
        }
        self.pending_written_ms = now.steady_ms;
        self.pending = pending;
        let unconfirmed = self.scheduler.unconfirmed();
        info!(self.candidate.log, "holder: waiting jobs counted";
            "counts" => json(&self.pending),
            "unconfirmed" => json(&unconfirmed),
            "lease_revision" => self.held.revision);
        // OK because texts and numbers can always be written.
        let value = serde_json::to_vec(&self.pending).expect("plain JSON");
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision))
            .put(keys::PENDING, value);
        self.write(batch, "counts of waiting jobs");
    }

    pub(super) fn delete_expired(&mut self, now: Now) {
        if now.steady_ms < self.expired_ms + EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_ms = now.steady_ms;
        let expired = self.scheduler.take_expired(now, EXPIRED_A_WRITE);
        if expired.is_empty() {
            return;
        }
        let mut batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision));
        for id in expired {
            self.versions.remove(&id);
            batch = batch.delete(&keys::progress(id));
        }
        self.write(batch, "deletion of expired jobs");
    }

    /// Writes what needn't be written at any one time.
    fn write(&self, batch: Batch, what: &'static str) {
        let store = self.candidate.store.clone();
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
