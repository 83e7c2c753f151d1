/*!
Logs of starts, as they lie in the store (see [`dewspar::schedule`]'s `start_log`).

Each has a key of its own under the revision of its holder's lease, so that what
two holders have logged can't be mixed up, and a write that is done late replaces
nothing. They are read before the jobs, and deleted once nobody needs them: this
lease's as soon as their starts are settled, those of former ones once the jobs'
records hold what they say.
*/

use {
    super::{event::Event, holder::Holder, keys, records::record_written},
    crate::{counters, passed_over},
    dewspar::{
        record::RecordWritten,
        schedule::{LoggedStart, Now, StartLog},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
        Versioned,
    },
    serde_json::Value,
    slog::{Logger, info, warn},
};

/// How many logs may be written at once: a store whose answers take 50 ms still
/// takes what is planned every 15 ms.
const MAX_WRITES_IN_FLIGHT: usize = 4;

/// The pause after a write that wasn't done, in milliseconds.
const RETRY_DELAY_MS: u64 = 50;

/// How many logs are deleted at once: the store takes 32 entries, and one is the
/// lease's condition.
const MAX_DELETIONS_PER_WRITE: usize = 31;

/// What former holders have logged.
#[derive(Debug, Default)]
pub(super) struct LoadedStartLogs {
    starts: Vec<LoggedStart>,
    /// The keys of their logs.
    keys: Vec<String>,
}

/// The writes of this holder's logs, and which of former holders are left.
#[derive(Debug, Default)]
pub(super) struct StartLogWrites {
    in_flight: usize,
    /// From when the next write may begin.
    next_write_ms: u64,
    former_keys: Vec<String>,
}

/// Reads what former holders have logged; a start that can't be read is passed
/// over.
pub(super) async fn load_starts<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<LoadedStartLogs, Error> {
    let (_, found) = store.list(keys::START_LOGS).await?;
    let mut loaded = LoadedStartLogs::default();
    for item in found {
        loaded.starts.extend(read_starts(&item, log));
        loaded.keys.push(item.key);
    }
    Ok(loaded)
}

fn read_starts(item: &Versioned, log: &Logger) -> Vec<LoggedStart> {
    let log_skipped = |error: &serde_json::Error| {
        passed_over::record(
            log,
            "logged start",
            &item.key,
            item.version,
            error,
        );
    };
    let rows: Vec<Value> = match serde_json::from_slice(&item.value) {
        Ok(rows) => rows,
        Err(error) => {
            log_skipped(&error);
            return Vec::new();
        }
    };
    let read = |row| serde_json::from_value(row).inspect_err(log_skipped).ok();
    rows.into_iter().filter_map(read).collect()
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Takes in what former holders have logged.
    pub(super) fn apply_start_logs(&mut self, loaded: LoadedStartLogs) {
        let LoadedStartLogs { starts, keys } = loaded;
        if !keys.is_empty() {
            info!(self.candidate.log, "holder: logged starts loaded";
                "logs" => keys.len(), "starts" => starts.len());
        }
        self.start_logs.former_keys = keys;
        self.scheduler.inherit_logged_starts(starts);
    }

    /// Writes the starts that wait to be on record, and deletes the logs that
    /// nobody needs.
    pub(super) fn write_start_logs(&mut self, now: Now) {
        while self.start_logs.in_flight < MAX_WRITES_IN_FLIGHT
            && now.steady_ms >= self.start_logs.next_write_ms
        {
            let Some(log) = self.scheduler.take_start_log() else { break };
            self.write_start_log(log);
        }
        let settled = self.scheduler.take_settled_logs(now);
        let revision = self.held.revision;
        let keys = settled.iter().map(|n| keys::start_log(revision, *n));
        let mut keys: Vec<String> = keys.collect();
        if !self.start_logs.former_keys.is_empty()
            && self.scheduler.are_logged_starts_stored()
        {
            keys.append(&mut self.start_logs.former_keys);
        }
        for chunk in keys.chunks(MAX_DELETIONS_PER_WRITE) {
            let lease = Expected::Version(revision);
            let batch = Batch::default().when(keys::OWNER, lease);
            let batch = chunk.iter().fold(batch, |b, key| b.delete(key));
            self.spawn_write(batch, "deletion of logs of starts");
        }
    }

    fn write_start_log(&mut self, log: StartLog) {
        self.start_logs.in_flight += 1;
        // OK because it holds only what JSON can write.
        let value = serde_json::to_vec(log.starts()).expect("plain JSON");
        let revision = self.held.revision;
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(revision))
            .put(&keys::start_log(revision, log.number()), value);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        let logger = self.candidate.log.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
                warn!(logger, "holder: write gave no result";
                    "of" => "log of starts", "starts" => log.starts().len(),
                    "error" => %error);
            }
            let written = record_written(&answer, keys::OWNER);
            // A holder that is gone has no use for it.
            let _ = sender.send(Event::StartLogWritten { log, written }).await;
        });
    }

    /// Takes in what became of a write of a log.
    pub(super) fn start_log_written(
        &mut self,
        log: &StartLog,
        written: RecordWritten,
        now: Now,
    ) {
        self.start_logs.in_flight -= 1;
        match written {
            RecordWritten::Done(_) => self.scheduler.start_log_stored(log),
            RecordWritten::Failed => {
                self.start_logs.next_write_ms = now.steady_ms + RETRY_DELAY_MS;
                self.scheduler.start_log_failed(log);
            }
            // Nothing but the lease's key has to be as it was.
            RecordWritten::Conflict { .. } => {
                self.lost_reason =
                    Some("the store refused this holder's write");
            }
        }
    }
}
