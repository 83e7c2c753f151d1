/*!
When a worker is asked what runs on it, and what its answers say of itself.

One question is under way at a time, and one more under a new token while
earlier orders are being made void. A single answer may be lost on its way;
only a second one in a row makes a worker silent.
*/

use {
    super::{Worker, clock::max_elapsed_ms},
    crate::schedule::{HoldOrder, HoldReport, Options},
};

/// How long a worker may wait for an end while this node's link or processor is
/// short, in milliseconds. Workers with lasting runs only answer when their time
/// is up, and longer polls take less of both.
const BUSY_WAIT_MS: u64 = 1_000;

/// A hold that is owed to a worker.
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

    /// Returns from when a hold is due, unless none is wanted or one is under
    /// way.
    fn next_hold_due_ms(&self) -> Option<u64> {
        let fencing = self.fencing && !self.fence_hold_in_flight;
        let wanted = self.is_occupied()
            || self.stored_end > self.acknowledged
            || self.missed_hold
            || self.has_unstored_ends();
        let ordinary = !self.fencing && !self.hold_in_flight && wanted;
        if self.listing.address.is_empty() {
            return None;
        }
        if fencing {
            // Nothing starts there before that: it isn't put off.
            return Some(self.next_hold_ms);
        }
        ordinary.then_some(self.next_hold_ms.max(self.backoff_until_ms))
    }

    /// Returns from when its lease is over for certain, if it is silent.
    pub(crate) fn lapses_from_ms(&self) -> Option<u64> {
        self.silent_since_ms.map(|_| self.lease_over_ms + 1)
    }

    /// Returns whether some run is to be ordered to stop now.
    pub(crate) fn has_stops_due(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> bool {
        let mut stops =
            self.runs.values().filter_map(|run| run.stop_due_ms(options));
        stops.any(|due_ms| now_ms >= due_ms)
    }

    /// Returns from when it may want something, unless nothing is to be done
    /// about it before it changes.
    pub(crate) fn due_from_ms(&self, options: &Options) -> Option<u64> {
        let stops =
            self.runs.values().filter_map(|run| run.stop_due_ms(options));
        let others = [self.next_hold_due_ms(), self.lapses_from_ms()];
        stops.chain(others.into_iter().flatten()).min()
    }

    /// Returns whether it wants something now.
    pub(crate) fn is_due(&self, now_ms: u64, options: &Options) -> bool {
        let silent = self.silent_since_ms.is_some();
        self.hold_due_ms(now_ms).is_some()
            || self.has_stops_due(now_ms, options)
            || (silent && now_ms > self.lease_over_ms)
    }

    fn has_unstored_ends(&self) -> bool {
        self.seen_end > self.stored_end
    }

    /// Returns the hold that is owed now, if any, and marks it as sent.
    pub(crate) fn take_due_hold(
        &mut self,
        now_ms: u64,
        options: &Options,
    ) -> Option<DueHold> {
        self.hold_due_ms(now_ms)?;
        let fencing = self.fencing;
        // While ends wait to be stored, the worker would answer at once; what
        // a lost answer held is wanted at once.
        let at_once = fencing
            || self.has_unstored_ends()
            || self.missed_hold
            || self.runs.is_empty();
        let watching = &options.policy.watching;
        let wait_ms = match (at_once, self.long_poll) {
            (true, _) => 0,
            (false, false) => watching.hold_wait_ms,
            (false, true) => watching.hold_wait_ms.max(BUSY_WAIT_MS),
        };
        // A worker that is silent gets no longer lease, nor does one on which
        // all is to stop: its runs must be over for certain some day.
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
        // What is acknowledged already isn't said again: a process that has taken
        // this one's place would forget its own ends by it, unheard.
        let news = self.stored_end > self.acknowledged;
        let order = HoldOrder {
            fence: self.fence(),
            acknowledged: if news { self.stored_end } else { 0 },
            lease_until_ms,
            wait_ms,
        };
        Some(DueHold { order, fencing })
    }

    /// Returns whether the question that was sent to it at this time has no
    /// answer yet.
    pub(crate) fn awaits_answer_since(&self, sent_ms: u64) -> bool {
        self.hold_in_flight && self.asked_ms == sent_ms
    }

    /// Sets whether it may wait longer for an end before it answers.
    pub(crate) fn set_long_poll(&mut self, long_poll: bool) {
        self.long_poll = long_poll;
    }

    /// Asks it nothing before that, but for what makes earlier orders void.
    ///
    /// A short answer for each end is what a busy node has no time for.
    pub(crate) fn back_off(&mut self, until_ms: u64) {
        self.backoff_until_ms = until_ms;
    }

    /// Sets from when it is asked again.
    pub(crate) fn set_next_hold_ms(&mut self, from_ms: u64) {
        self.next_hold_ms = from_ms;
    }

    /// Notes the answer to a hold; returns whether it is the newest so far.
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
                // From here on only this holder's orders count, and what a
                // former one was granted is bounded.
                let longest = max_elapsed_ms(options.max_lease_ms);
                let inherited = now_ms + longest;
                self.lease_over_ms = self.lease_over_ms.min(inherited);
            }
            self.synced = true;
        }
        let newest = report.clock_ms >= self.latest_report_ms;
        if newest {
            self.unread_runs = report.is_partial;
        }
        self.latest_report_ms = self.latest_report_ms.max(report.clock_ms);
        let unstored = report
            .ended
            .last()
            .is_some_and(|end| end.number > self.stored_end);
        self.next_hold_ms = if unstored {
            // Storing usually brings this forward; see `stored`.
            now_ms + options.unstored_hold_ms
        } else {
            now_ms
        };
        newest
    }

    /// Notes whether what its answer lists was taken in; returns whether this is
    /// the first of a row that wasn't.
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
        self.next_hold_ms = now_ms + options.hold_retry_ms;
    }

    fn hold_ended(&mut self, held: &DueHold) {
        if held.fencing {
            self.fence_hold_in_flight = false;
        } else {
            self.hold_in_flight = false;
        }
    }
}
