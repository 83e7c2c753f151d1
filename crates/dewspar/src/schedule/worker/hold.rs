/*!
Hold requests, by which a worker is asked what runs on it, and the state that
their answers confirm.

Runs in rows of an answer that can't be read are *unidentified*. A holder that
knows all runs of the worker already can account for them. After a takeover it
can't: such a run may be that of any inherited task, which must not start
elsewhere meanwhile. So the worker's lease isn't extended until a whole answer
arrives, and what a former holder started there is over with the lease.

One hold is in flight at a time, plus one under a new fencing token while
earlier orders are being voided. A single answer may be lost in transit; only a
second consecutive loss marks a worker as silent.
*/

use {
    super::{Worker, clock::max_elapsed_ms},
    crate::schedule::{HoldOrder, HoldReport, Options},
};

/// How long a worker may delay its answer while waiting for a run to end, if
/// this node's link or processor is overloaded, in milliseconds. Workers with
/// only long-running tasks answer just when this time is up, and longer polls
/// use less of both.
const BUSY_WAIT_MS: u64 = 1_000;

/// The delay before a silent worker of a data hall that can't be reached is
/// asked again, in milliseconds. Any answer shows that the hall is back, so
/// its many workers needn't each be asked often.
const HALL_RETRY_MS: u64 = 1_000;

/// A hold to be sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueHold {
    pub(crate) order: HoldOrder,
    pub(crate) fencing: bool,
}

impl Worker {
    /// Returns since when a hold has been due, if one is.
    pub(crate) fn hold_due_ms(&self, now_ms: u64) -> Option<u64> {
        self.next_hold_due_ms().filter(|due_ms| now_ms >= *due_ms)
    }

    /// Returns from when a hold is due, unless none is wanted or one is in
    /// flight.
    fn next_hold_due_ms(&self) -> Option<u64> {
        let fencing = self.fencing && !self.fence_hold_in_flight;
        let wanted = self.is_occupied()
            || self.stored_end > self.acknowledged
            || self.missed_hold
            || self.probed
            || self.has_unstored_ends();
        let ordinary = !self.fencing && !self.hold_in_flight && wanted;
        if self.listing.address.is_empty() {
            return None;
        }
        if fencing {
            // Not subject to the backoff: nothing starts on the worker before
            // it has answered.
            return Some(self.next_hold_ms);
        }
        ordinary.then_some(self.next_hold_ms.max(self.backoff_until_ms))
    }

    /// Returns from when the lease of a silent worker is certainly over.
    pub(crate) fn lapses_from_ms(&self) -> Option<u64> {
        self.silent_since_ms.map(|_| self.lease_over_ms + 1)
    }

    /// Returns whether an order to stop some run is due.
    pub(crate) fn has_stops_due(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> bool {
        let mut stops =
            self.runs.values().filter_map(|run| run.stop_due_ms(options));
        stops.any(|due_ms| now_ms >= due_ms)
    }

    /// Returns from when something about the worker is due, or `None` if
    /// nothing is before the worker changes.
    pub(crate) fn due_from_ms(&self, options: &Options) -> Option<u64> {
        let stops =
            self.runs.values().filter_map(|run| run.stop_due_ms(options));
        let others = [self.next_hold_due_ms(), self.lapses_from_ms()];
        stops.chain(others.into_iter().flatten()).min()
    }

    /// Returns whether something about the worker is due.
    pub(crate) fn is_due(&self, now_ms: u64, options: &Options) -> bool {
        let silent = self.silent_since_ms.is_some();
        self.hold_due_ms(now_ms).is_some()
            || self.has_stops_due(now_ms, options)
            || (silent && now_ms > self.lease_over_ms)
    }

    fn has_unstored_ends(&self) -> bool {
        self.seen_end > self.stored_end
    }

    /// Returns the hold that is due now, if any, and marks it as sent.
    pub(crate) fn take_due_hold(
        &mut self,
        now_ms: u64,
        options: &Options,
    ) -> Option<DueHold> {
        self.hold_due_ms(now_ms)?;
        let fencing = self.fencing;
        // While ends wait to be stored, the worker would answer immediately
        // anyway. The content of a lost answer is wanted immediately.
        let at_once = fencing
            || self.has_unstored_ends()
            || self.missed_hold
            || self.probed
            || self.runs.is_empty();
        self.probed = false;
        let watching = &options.policy.watching;
        let wait_ms = match (at_once, self.long_poll) {
            (true, _) => 0,
            (false, false) => watching.hold_wait_ms,
            (false, true) => watching.hold_wait_ms.max(BUSY_WAIT_MS),
        };
        // The lease of a silent worker, or of one on which all runs are to
        // stop, isn't extended: its runs must be certainly over at some time.
        let silent = self.silent_since_ms.is_some();
        let lease_until_ms = if !self.has_wanted_runs() || silent {
            None
        } else {
            self.lease_until_ms(now_ms, options)
        };
        if let Some(until) = lease_until_ms {
            self.lease_sent(until);
        }
        if fencing {
            self.fence_hold_in_flight = true;
        } else {
            self.hold_in_flight = true;
            self.asked_ms = now_ms;
        }
        // An acknowledgement isn't repeated: a process that has replaced this
        // one would take it for its own ends and drop them unreported.
        let unacknowledged = self.stored_end > self.acknowledged;
        let order = HoldOrder {
            fence: self.fence(),
            acknowledged: if unacknowledged { self.stored_end } else { 0 },
            lease_until_ms,
            wait_ms,
        };
        Some(DueHold { order, fencing })
    }

    /// Returns whether the hold sent at this time is still unanswered.
    pub(crate) fn awaits_answer_since(&self, sent_ms: u64) -> bool {
        self.hold_in_flight && self.asked_ms == sent_ms
    }

    /// Sets whether the worker may delay its answers for longer.
    pub(crate) fn set_long_poll(&mut self, long_poll: bool) {
        self.long_poll = long_poll;
    }

    /// Sends no holds until then, except those that void earlier orders.
    ///
    /// An overloaded node has no time for a short answer for each run that
    /// ends.
    pub(crate) fn back_off(&mut self, until_ms: u64) {
        self.backoff_until_ms = until_ms;
    }

    /// Sets the earliest time of the next hold.
    pub(crate) fn set_next_hold_ms(&mut self, from_ms: u64) {
        self.next_hold_ms = from_ms;
    }

    /// Records the answer to a hold. Returns whether it is the newest one so
    /// far.
    pub(crate) fn hold_answered(
        &mut self,
        held: &DueHold,
        report: &HoldReport,
        now_ms: u64,
        options: &Options,
    ) -> bool {
        self.hold_ended(held);
        self.missed_hold = false;
        self.is_lapsed = false;
        self.silent_since_ms = None;
        self.unanswered_since_ms = None;
        self.read_clock(report.clock_ms, now_ms);
        self.acknowledged = self.acknowledged.max(held.order.acknowledged);
        let confirmed = held.order.lease_until_ms.unwrap_or(0);
        self.confirmed_until_ms = self.confirmed_until_ms.max(confirmed);
        if held.order.fence == self.fence() {
            self.fencing = false;
            if !self.synced {
                // From here on only orders of this lease holder are accepted,
                // and the leases granted by a former one are bounded.
                let longest = max_elapsed_ms(options.max_lease_ms);
                let inherited = now_ms + longest;
                self.lease_over_ms = self.lease_over_ms.min(inherited);
            }
            let identified = self.identifies_all_runs(report, now_ms);
            self.synced |= identified && !report.has_more_ends;
        }
        let newest = report.clock_ms >= self.latest_report_ms;
        if newest {
            self.unread_runs = report.is_partial;
            self.has_more_ends = report.has_more_ends;
        }
        self.latest_report_ms = self.latest_report_ms.max(report.clock_ms);
        let unstored = report
            .ended
            .last()
            .is_some_and(|end| end.number > self.stored_end);
        self.next_hold_ms = if self.has_unidentified_runs() {
            now_ms + options.hold_retry_ms
        } else if unstored {
            // Usually brought forward once the ends are stored; see
            // `advance_stored_ends`.
            now_ms + options.unstored_hold_ms
        } else {
            now_ms
        };
        newest
    }

    /// Excuses the progress of all runs that an answer doesn't list, although
    /// it may only have hidden them.
    pub(crate) fn runs_hidden(&mut self, report: &HoldReport, now_ms: u64) {
        for (task, run) in &mut self.runs {
            let mut active = report.active.iter();
            if !active.any(|a| a.task == *task && a.run == run.run) {
                run.unread_ms = now_ms;
            }
        }
    }

    /// Records whether the lists of an answer were used. Returns whether this
    /// is the first of a series of answers whose lists weren't.
    pub(crate) fn record_lists_passed_over(&mut self, newest: bool) -> bool {
        let before = std::mem::replace(&mut self.lists_passed_over, !newest);
        !newest && !before
    }

    pub(crate) fn hold_failed(
        &mut self,
        held: &DueHold,
        now_ms: u64,
        options: &Options,
    ) {
        self.hold_ended(held);
        self.record_unanswered(now_ms);
        if !self.missed_hold {
            self.missed_hold = true;
            self.next_hold_ms = now_ms;
            return;
        }
        self.silent_since_ms.get_or_insert(now_ms);
        self.next_hold_ms = now_ms + self.retry_ms(options);
    }

    /// Returns the delay before a silent worker is asked again, in
    /// milliseconds.
    fn retry_ms(&self, options: &Options) -> u64 {
        if self.in_unreachable_hall {
            HALL_RETRY_MS
        } else {
            options.hold_retry_ms
        }
    }

    /// Asks the worker once as soon as possible, although nothing may run
    /// there.
    pub(crate) fn probe(&mut self) {
        self.probed = true;
    }

    /// Marks the worker as silent, because its hall can't be reached, and asks
    /// it until it answers. Its lease isn't extended any more.
    ///
    /// `index` is its place among the `count` workers of the hall.
    pub(crate) fn hall_became_unreachable(
        &mut self,
        now_ms: u64,
        index: u64,
        count: u64,
    ) {
        self.next_hold_ms = now_ms + HALL_RETRY_MS * index / count;
        self.in_unreachable_hall = true;
        self.silent_since_ms.get_or_insert(now_ms);
        self.missed_hold = true;
        self.end_suspension();
    }

    /// Notes that the worker's hall is reached again, and asks the worker at
    /// this time, in milliseconds. It remains silent until it answers.
    pub(crate) fn hall_became_reachable(&mut self, ask_ms: u64) {
        self.in_unreachable_hall = false;
        self.next_hold_ms = self.next_hold_ms.min(ask_ms);
    }

    fn hold_ended(&mut self, held: &DueHold) {
        if held.fencing {
            self.fence_hold_in_flight = false;
        } else {
            self.hold_in_flight = false;
        }
    }
}
