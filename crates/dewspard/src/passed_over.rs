/*!
Telling operators what was read and can't be understood.
*/

use {
    crate::counters,
    dewspar_platform::{TakenNotes, Unreadable, UnreadableNotes},
    slog::{Logger, warn},
    std::time::Duration,
    tokio::{sync::watch, time::sleep},
};

/// How often what couldn't be read is told: once in a reading of the directory
/// or so.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Logs and counts what was passed over, until the node stops: each version of
/// a thing once, and of what comes thick and fast only how many there are.
pub(crate) async fn tell(
    notes: UnreadableNotes,
    stopped: watch::Receiver<bool>,
    log: Logger,
) {
    while !*stopped.borrow() {
        let TakenNotes { told, untold } = notes.take();
        for Unreadable { what, key, version, reason } in told {
            warn!(log, "platform: passed over"; "what" => what, "key" => key,
                "version" => version, "reason" => reason);
            counters::count_by(counters::UNREADABLE, "what", what);
        }
        for (what, count) in untold {
            warn!(log, "platform: passed over more"; "what" => what,
                "count" => count);
            counters::add_by(counters::UNREADABLE, "what", what, count);
        }
        sleep(TELL_INTERVAL).await;
    }
}
