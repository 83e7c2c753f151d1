/*!
Telling operators what was read and can't be understood.

Adapters note what they pass over, and [`tell`] logs it. The daemon's own
records are read in many places; each calls [`record`], which remembers for the
whole process what it told, as counters count for the whole process.
*/

use {
    crate::counters,
    dewspar_platform::{TakenNotes, Unreadable, UnreadableNotes, Versioned},
    serde::de::DeserializeOwned,
    slog::{Logger, warn},
    std::{sync::LazyLock, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// How often what couldn't be read is told: once in a reading of the directory
/// or so.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// What this process couldn't read of the daemon's own records.
static RECORDS: LazyLock<UnreadableNotes> =
    LazyLock::new(UnreadableNotes::default);

/// Logs and counts what was passed over, until the node stops: each version of
/// a thing once, and of what comes thick and fast only how many there are.
pub(crate) async fn tell(
    notes: UnreadableNotes,
    stopped: watch::Receiver<bool>,
    log: Logger,
) {
    while !*stopped.borrow() {
        for notes in [&notes, &RECORDS] {
            tell_once(notes, &log);
        }
        sleep(TELL_INTERVAL).await;
    }
}

fn tell_once(notes: &UnreadableNotes, log: &Logger) {
    let TakenNotes { told, untold } = notes.take();
    for unreadable in told {
        tell_one(&unreadable, log);
    }
    for (what, count) in untold {
        warn!(log, "platform: passed over more"; "what" => what,
            "count" => count);
        counters::add_by(counters::UNREADABLE, "what", what, count);
    }
}

fn tell_one(unreadable: &Unreadable, log: &Logger) {
    let Unreadable { what, key, version, reason } = unreadable;
    warn!(log, "platform: passed over"; "what" => *what, "key" => key,
        "version" => version, "reason" => reason);
    counters::count_by(counters::UNREADABLE, "what", what);
}

/// Reads a record of our own; `None`, and told, for one that can't be read.
pub(crate) fn read<T: DeserializeOwned>(
    log: &Logger,
    what: &'static str,
    item: &Versioned,
) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(found) => Some(found),
        Err(error) => {
            record(log, what, &item.key, item.version, &error);
            None
        }
    }
}

/// Tells of a record of our own that can't be read: a newer version of the
/// program wrote it, or somebody else did.
pub(crate) fn record(
    log: &Logger,
    what: &'static str,
    key: &str,
    version: u64,
    error: &serde_json::Error,
) {
    let (key, reason) = (key.to_owned(), error.to_string());
    let unreadable = Unreadable { what, key, version, reason };
    if let Some(news) = RECORDS.news(unreadable) {
        tell_one(&news, log);
    }
}
