/*!
A limit on the holds in flight, for nodes that can't send them fast enough.

A worker is polled with another hold as soon as it has answered, and each hold
is one order. On a node with many more workers than it can send orders to, up
to one hold per worker waits to be sent, and every other order waits behind
them: a stop took more than a second with 400 workers and 240 orders a second.

An answer that is long overdue shows that its hold is queued on this node. Once
there are more than a few overdue answers, the limit on holds in flight is
halved, and it is raised again gradually while none is overdue. Beyond the
limit only holds that renew leases are sent; ends are then received a little
later, as they would be in any case.
*/

use {
    crate::schedule::{Now, Scheduler, SentHold, workers::WorkerNumber},
    std::collections::VecDeque,
};

/// The delay after which an expected answer counts as late, in milliseconds:
/// most of the time that an order takes on a node that keeps up.
const LATE_AFTER_MS: u64 = 100;

/// The number of late answers that is tolerated, and the share of the holds in
/// flight, as a divisor; the larger counts. Some workers are always slow, and
/// a rack that becomes unreachable is soon known to be so.
const MAX_LATE: usize = 16;
const MAX_LATE_DIVISOR: usize = 8;

/// The number of holds in flight that is always allowed.
const MIN_IN_FLIGHT: usize = 32;

/// The minimum time between decreases of the limit, in milliseconds: holds
/// sent before a decrease tell nothing new.
const DECREASE_INTERVAL_MS: u64 = 500;

/// The minimum time between increases by an eighth, in milliseconds.
const INCREASE_INTERVAL_MS: u64 = 200;

/// A hold without an answer.
#[derive(Clone, Copy, Debug)]
struct InFlightPoll {
    worker: WorkerNumber,
    sent_ms: u64,
    late_from_ms: u64,
}

/// The holds that were sent and may have no answer yet.
#[derive(Debug, Default)]
pub(super) struct InFlightPolls {
    /// In the order in which they were sent.
    sent: VecDeque<InFlightPoll>,
    late: Vec<InFlightPoll>,
    /// The limit on holds in flight; `None` for no limit.
    limit: Option<usize>,
    /// The time at which the limit last changed.
    changed_ms: u64,
}

impl InFlightPolls {
    /// Adapts the limit to the holds in flight and the number of workers.
    fn adjust_limit(&mut self, in_flight: usize, workers: usize, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        let most = self.limit.unwrap_or(in_flight);
        let max_late = MAX_LATE.max(in_flight / MAX_LATE_DIVISOR);
        let next = if self.late.len() > max_late {
            (since_ms >= DECREASE_INTERVAL_MS)
                .then_some(most.min(in_flight) / 2)
        } else {
            let more =
                self.limit.is_some() && since_ms >= INCREASE_INTERVAL_MS;
            more.then_some(most + most / 8)
        };
        if let Some(next) = next {
            let next = next.max(MIN_IN_FLIGHT);
            // There is at most one hold in flight per worker.
            self.limit = (next < workers).then_some(next);
            self.changed_ms = now_ms;
        }
    }

    /// Records a hold that is sent now.
    pub(super) fn sent(&mut self, worker: WorkerNumber, held: &SentHold) {
        // A missing answer of an unresponsive worker tells nothing about this
        // node.
        if held.silent {
            return;
        }
        self.sent.push_back(InFlightPoll {
            worker,
            sent_ms: held.sent_ms,
            late_from_ms: held.sent_ms + held.order.wait_ms + LATE_AFTER_MS,
        });
    }
}

impl Scheduler {
    /// Returns how many holds may be sent now in addition to those that renew
    /// leases.
    pub(super) fn poll_allowance(&mut self, now: Now) -> usize {
        if !self.options.policy.watching.asks_later {
            return usize::MAX;
        }
        let InFlightPolls { sent, late, .. } = &mut self.polls;
        let workers = &self.workers;
        let is_in_flight = |poll: &InFlightPoll| {
            let worker = workers.at(poll.worker);
            // Missing answers of a hall that can't be reached tell nothing
            // about this node.
            worker.is_some_and(|w| {
                w.awaits_answer_since(poll.sent_ms) && !w.in_unreachable_hall
            })
        };
        while let Some(poll) = sent.front() {
            let in_flight = is_in_flight(poll);
            if in_flight && now.steady_ms < poll.late_from_ms {
                break;
            }
            if in_flight {
                late.push(*poll);
            }
            sent.pop_front();
        }
        late.retain(is_in_flight);
        let in_flight =
            sent.iter().filter(|q| is_in_flight(q)).count() + late.len();
        let workers = self.workers.len();
        self.polls.adjust_limit(in_flight, workers, now.steady_ms);
        let limit = self.polls.limit;
        limit.map_or(usize::MAX, |most| most.saturating_sub(in_flight))
    }
}
