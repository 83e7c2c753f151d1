/*!
Storage of start logs: write-ahead logs of the tasks that are about to be
started (see [`dewspar::schedule`]'s `start_log`).

Each log has its own key under the revision of its holder's lease, so that logs
of two holders can't be mixed up, and a delayed write replaces nothing. Logs
are read before the jobs. Those of this lease are deleted as soon as their
starts are settled, those of former leases once the jobs' records include their
starts.
*/

use {
    super::{event::Event, holder::Holder, keys, records::record_written},
    crate::{counters, passed_over},
    dewspar::{
        record::RecordWriteOutcome,
        schedule::{LoggedStart, Now, StartLog},
    },
    dewspar_platform::{
        Batch, Error, Expected, Fleet, JobWorkers, KeyValue, Purpose,
        Versioned,
    },
    serde_json::Value,
    slog::{Logger, info, warn},
};

/// The maximum number of writes in flight: with this, a store with a latency
/// of 50 ms keeps up with a plan every 15 ms.
const MAX_WRITES_IN_FLIGHT: usize = 4;

/// The delay before a failed write is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 50;

/// The maximum number of logs that one write deletes: the store accepts 32
/// entries, and one is the condition on the lease.
const MAX_DELETIONS_PER_WRITE: usize = 31;

/// The start logs of former holders.
#[derive(Debug, Default)]
pub(super) struct LoadedStartLogs {
    starts: Vec<LoggedStart>,
    /// The keys of the logs.
    keys: Vec<String>,
}

/// The state of this holder's writes of logs.
#[derive(Debug, Default)]
pub(super) struct StartLogWrites {
    /// The number of writes in flight.
    in_flight: usize,
    /// The earliest time of the next write.
    next_write_ms: u64,
    /// The keys of former holders' logs that aren't deleted yet.
    former_keys: Vec<String>,
}

/// Reads the start logs of former holders; an unreadable start is logged and
/// skipped, without affecting the others of its log.
///
/// # Errors
///
/// An error of the store.
pub(super) async fn load_start_logs<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<LoadedStartLogs, Error> {
    let (_, found) = store.list(keys::START_LOGS).await?;
    let mut loaded = LoadedStartLogs::default();
    for item in found {
        loaded.starts.extend(parse_starts(&item, log));
        loaded.keys.push(item.key);
    }
    Ok(loaded)
}

fn parse_starts(item: &Versioned, log: &Logger) -> Vec<LoggedStart> {
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
    /// Passes the start logs of former holders to the scheduler.
    pub(super) fn apply_start_logs(&mut self, loaded: LoadedStartLogs) {
        let LoadedStartLogs { starts, keys } = loaded;
        if !keys.is_empty() {
            info!(self.candidate.log, "holder: logged starts loaded";
                "logs" => keys.len(), "starts" => starts.len());
        }
        self.start_logs.former_keys = keys;
        self.scheduler.inherit_logged_starts(starts);
    }

    /// Writes the logs of planned starts, and deletes logs that are no longer
    /// needed.
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
        // OK because it has only values that JSON can represent.
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
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(Event::StartLogWritten { log, written }).await;
        });
    }

    /// Handles the result of a write of a log.
    pub(super) fn start_log_written(
        &mut self,
        log: &StartLog,
        written: RecordWriteOutcome,
        now: Now,
    ) {
        self.start_logs.in_flight -= 1;
        match written {
            RecordWriteOutcome::Done(_) => {
                self.scheduler.start_log_stored(log)
            }
            RecordWriteOutcome::Failed => {
                self.start_logs.next_write_ms = now.steady_ms + RETRY_DELAY_MS;
                self.scheduler.start_log_failed(log);
            }
            // The only condition is that on the lease's key.
            RecordWriteOutcome::Conflict { .. } => {
                self.lost_reason =
                    Some("the store refused this holder's write");
            }
        }
    }
}
