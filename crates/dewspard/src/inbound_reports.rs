/*!
Counts and logs what the connections of a listener take.
*/

use {
    crate::counters,
    dewspar_platform::inbound::{Inbound, InboundReport},
    slog::{Logger, info},
    std::time::Duration,
    tokio::time::sleep,
};

/// How often limits are counted; each time there is one line at most.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// How many reports without any limit there are between two lines.
const QUIET_REPORTS: u32 = 6;

/// Counts the limits that were reached, and logs what was taken, until the
/// runtime ends.
pub(crate) async fn log(
    inbound: Inbound,
    listener: &'static str,
    log: Logger,
) {
    let mut quiet = 0;
    loop {
        sleep(REPORT_INTERVAL).await;
        quiet += 1;
        if quiet < QUIET_REPORTS && !inbound.was_limited() {
            continue;
        }
        quiet = 0;
        tell(&inbound.take_report(), listener, &log);
    }
}

fn tell(report: &InboundReport, listener: &'static str, log: &Logger) {
    for (reason, count) in &report.limited {
        let name = reason.name();
        counters::add_by(counters::INBOUND_LIMITS, "reason", name, *count);
    }
    let limited = report
        .limited
        .iter()
        .map(|(reason, count)| format!("{}: {count}", reason.name()));
    let limited: Vec<String> = limited.collect();
    info!(log, "inbound: load"; "listener" => listener,
        "limited" => limited.join(", "),
        "connections" => report.most_connections,
        "held_bytes" => report.most_held_bytes,
        "capacity_bytes" => report.capacity_bytes,
        "largest_head_bytes" => report.largest_head_bytes,
        "largest_body_bytes" => report.largest_body_bytes);
}
