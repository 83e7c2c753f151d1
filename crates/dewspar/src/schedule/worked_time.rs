/*!
How long a run worked, as concluded from its worker's answers.

A worker reports that a run has ended, but not when. While it answers its polls
that makes no difference, since it answers as soon as a run ends. A worker that
was silent for a while reports ends of any age: what lies between its last two
answers then isn't all work. In that case the progress that the run had made,
or its estimate, tells how long it worked.
*/

use crate::schedule::worker::Run;

/// The longest time between two answers of a worker that isn't silent, in
/// milliseconds: a poll waits for 300 ms, or for 1,000 ms on a short link.
const MAX_REPORT_GAP_MS: u64 = 1_500;

/// The times of a worker's last two answers, in milliseconds of its own clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportTimes {
    pub(super) previous_ms: u64,
    pub(super) latest_ms: u64,
}

/// Returns how long a run worked that ended between two answers of its worker,
/// in milliseconds, given the estimate of its task. Returns `None` if it isn't
/// known when the run began.
pub(super) fn worked_ms(
    run: &Run,
    reports: ReportTimes,
    estimate_ms: u64,
) -> Option<u64> {
    if run.is_found() {
        return None;
    }
    let from_ms = run.confirmed_from_ms?;
    let longest_ms = reports.latest_ms.saturating_sub(from_ms);
    let shortest_ms = reports.previous_ms.saturating_sub(from_ms);
    if longest_ms - shortest_ms.min(longest_ms) <= MAX_REPORT_GAP_MS {
        return Some(longest_ms);
    }
    let progress_ms = run.moved_ms.saturating_sub(run.since_ms);
    let expected_ms = match run.percent {
        0 => estimate_ms,
        percent => progress_ms * 100 / u64::from(percent),
    };
    Some(expected_ms.max(shortest_ms).min(longest_ms))
}
