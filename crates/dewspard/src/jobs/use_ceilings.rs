/*!
Reads and writes of the teams' ceilings, as one record for all teams.

See [`UseCeilings`]. A holder reads the record when it takes over, and replaces
it when ceilings change, with at most one write in flight.
*/

use {
    super::{
        event::Event,
        holder::{Holder, to_json},
        keys,
        records::record_written,
    },
    crate::{counters, passed_over},
    dewspar::{
        record::RecordWriteOutcome,
        schedule::{Now, UseCeilings},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
    },
    slog::{Logger, info},
};

/// The record as it was loaded.
#[derive(Debug, Default)]
pub(super) struct LoadedCeilings {
    pub(super) ceilings: UseCeilings,
    /// The record's version; 0 if there is none.
    pub(super) version: u64,
}

/// Reads the record.
///
/// # Errors
///
/// An error of the store.
pub(super) async fn load_ceilings<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<LoadedCeilings, Error> {
    let Some(found) = store.get(keys::CEILINGS).await? else {
        return Ok(LoadedCeilings::default());
    };
    let ceilings = passed_over::read(log, "ceilings of teams", &found);
    let ceilings = ceilings.unwrap_or_default();
    Ok(LoadedCeilings { ceilings, version: found.version })
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Applies the record that a former holder stored.
    pub(super) fn apply_ceilings(&mut self, loaded: LoadedCeilings) {
        self.ceilings.set_version(loaded.version);
        self.scheduler.load_use_ceilings(loaded.ceilings);
    }

    /// Starts a write of the record, if it has changed.
    pub(super) fn write_ceilings(&mut self, now: Now) {
        if self.ceilings.is_writing() {
            return;
        }
        self.ceilings.mark_dirty();
        if !self.ceilings.is_due(now.steady_ms) {
            return;
        }
        let Some(ceilings) = self.scheduler.begin_ceilings_write(now) else {
            return;
        };
        info!(self.candidate.log, "team: ceilings change";
            "ceilings" => to_json(&ceilings));
        let version = self.ceilings.begin_write();
        // OK because it holds only strings and numbers.
        let value = serde_json::to_vec(&ceilings).expect("plain JSON");
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision))
            .when(keys::CEILINGS, Expected::from_version(version))
            .put(keys::CEILINGS, value);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            let written = record_written(&answer, keys::CEILINGS);
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(Event::CeilingsWritten(written)).await;
        });
    }

    /// Handles the result of the write.
    pub(super) fn ceilings_written(
        &mut self,
        written: RecordWriteOutcome,
        now: Now,
    ) {
        let is_stored = matches!(written, RecordWriteOutcome::Done(_));
        self.ceilings.finish_write(written, now.steady_ms);
        self.scheduler.use_ceilings_written(is_stored);
    }
}
