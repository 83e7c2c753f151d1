/*!
Storage of the record of silent workers; see
[`SilentWorkers`](dewspar::schedule::SilentWorkers).

The record passes from holder to holder together with the scheduler lease: the
write that takes the lease depends on the record's version and replaces it. So
no holder is in place without having read it.

Builds that don't know the record may schedule in between, and extend the leases
of workers that it lists. A candidate therefore uses the record only if the last
holder that it saw has written it, which each holder does when it takes the
lease. Otherwise it empties the record, and waits as long as without one.

While workers are listed, or another node has taken the lease, candidates read
the record without holding the lease, so that they know for how long it has been
there when they take over.
*/

use {
    super::{
        event::Event,
        holder::{Holder, to_json},
        keys,
        records::record_written,
    },
    crate::{clock, counters, passed_over},
    dewspar::{
        record::RecordWriteOutcome,
        schedule::{Now, SilentWorkers},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
        Versioned,
    },
    slog::{Logger, info, warn},
};

/// The record as it was read.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadedSilentWorkers {
    /// `None` for a record that can't be read.
    workers: Option<SilentWorkers>,
    /// The record's version; 0 if there is none.
    version: u64,
    /// When it was read first in this version, on the steady clock, in
    /// milliseconds.
    seen_ms: u64,
}

/// What a new holder inherits.
#[derive(Clone, Debug, Default)]
pub(super) struct InheritedSilentWorkers {
    pub(super) workers: SilentWorkers,
    /// The version of the record; 0 if there is none.
    pub(super) version: u64,
}

impl LoadedSilentWorkers {
    /// Reads the record. `seen` is what was read before.
    ///
    /// # Errors
    ///
    /// An error of the store.
    pub(super) async fn read<K: KeyValue>(
        store: &K,
        seen: &LoadedSilentWorkers,
        log: &Logger,
    ) -> Result<LoadedSilentWorkers, Error> {
        let Some(found) = store.get(keys::SILENT_WORKERS).await? else {
            let workers = Some(SilentWorkers::default());
            let seen_ms = clock::now_ms();
            return Ok(LoadedSilentWorkers { workers, version: 0, seen_ms });
        };
        if found.version == seen.version {
            return Ok(seen.clone());
        }
        Ok(LoadedSilentWorkers::new(&found, log))
    }

    fn new(found: &Versioned, log: &Logger) -> LoadedSilentWorkers {
        LoadedSilentWorkers {
            workers: passed_over::read(log, "silent workers", found),
            version: found.version,
            seen_ms: clock::now_ms(),
        }
    }

    /// Returns whether it may list workers.
    pub(super) fn may_list_any(&self) -> bool {
        let workers = self.workers.as_ref();
        self.version > 0 && workers.is_none_or(|w| !w.is_empty())
    }

    /// Returns what a node inherits that takes the lease now, after a holder
    /// whose lease had this revision; `None` if that isn't known.
    pub(super) fn inherited(
        &self,
        last_holder: Option<u64>,
    ) -> InheritedSilentWorkers {
        let is_kept_up =
            last_holder.is_some_and(|revision| self.version >= revision);
        let workers = self.workers.as_ref().filter(|_| is_kept_up);
        let elapsed_ms = clock::now_ms().saturating_sub(self.seen_ms);
        let workers = workers.map(|w| w.after(elapsed_ms)).unwrap_or_default();
        InheritedSilentWorkers { workers, version: self.version }
    }

    /// Adds the change of the record to the write that takes the lease.
    pub(super) fn replace_with(
        &self,
        inherited: &SilentWorkers,
        batch: Batch,
    ) -> Batch {
        let expected = Expected::from_version(self.version);
        let batch = batch.when(keys::SILENT_WORKERS, expected);
        if self.may_list_any() { put(batch, inherited) } else { batch }
    }
}

/// Adds a write of the record. One without workers is written too: were the key
/// deleted, an earlier write that depends on its absence could still be done.
fn put(batch: Batch, workers: &SilentWorkers) -> Batch {
    // OK because it holds only strings and numbers.
    let value = serde_json::to_vec(workers).expect("plain JSON");
    batch.put(keys::SILENT_WORKERS, value)
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Starts a write of the record, if it has changed.
    pub(super) fn write_silent_workers(&mut self, now: Now) {
        if self.silent_workers.is_writing() {
            return;
        }
        let Some(workers) = self.scheduler.begin_silent_workers_write(now)
        else {
            return;
        };
        info!(self.candidate.log, "worker: silent workers recorded";
            "left_ms" => to_json(&workers));
        let version = self.silent_workers.begin_write();
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision))
            .when(keys::SILENT_WORKERS, Expected::from_version(version));
        let batch = put(batch, &workers);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let (sender, log) = (self.sender.clone(), self.candidate.log.clone());
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
                warn!(log, "holder: write gave no result";
                    "of" => "silent workers", "error" => %error);
            }
            let written = record_written(&answer, keys::SILENT_WORKERS);
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(Event::SilentWorkersWritten(written)).await;
        });
    }

    /// Handles the result of the write.
    pub(super) fn silent_workers_written(
        &mut self,
        written: RecordWriteOutcome,
        now: Now,
    ) {
        let is_stored = matches!(written, RecordWriteOutcome::Done(_));
        self.silent_workers.finish_write(written, now.steady_ms);
        self.scheduler.silent_workers_written(is_stored, now);
    }
}
