/*!
Questions that a node can't send as fast as it asks.

A worker is asked again as soon as it has answered, and each question is one
order. Where a node has many more workers than it sends orders, those that wait
for their turn become as many as there are workers, and whatever is ordered then
waits behind them: a stop for more than a second, with 400 workers and 240
orders a second.

An answer that isn't there well after its worker would have given it says that
its question waits. Once there are more than a few of those, half as many
questions may be under way, and more again by and by while none is late. Beyond
that nothing is asked but what renews leases; what has ended is then heard of a
little later, as it would be in any case.
*/

use {
    crate::schedule::{Now, Scheduler, SentHold, workers::WorkerNumber},
    std::collections::VecDeque,
};

/// How long after its worker was to give it an answer is late, in milliseconds:
/// most of what an order takes on a node that keeps up.
const LATE_AFTER_MS: u64 = 100;

/// How many questions may be late, and which part of those under way: some
/// workers are always slow, and of a rack that falls silent it is known soon.
const MAX_LATE: usize = 16;
const MAX_LATE_DIVISOR: usize = 8;

/// How many questions may be under way in any case.
const MIN_IN_FLIGHT: usize = 32;

/// How soon fewer may be under way once more, in milliseconds: what was sent
/// before says nothing new.
const DECREASE_INTERVAL_MS: u64 = 500;

/// How soon an eighth more may, in milliseconds.
const INCREASE_INTERVAL_MS: u64 = 200;

/// A question whose answer hasn't come.
#[derive(Clone, Copy, Debug)]
struct InFlightPoll {
    worker: WorkerNumber,
    sent_ms: u64,
    late_from_ms: u64,
}

/// The questions that were sent and may have no answer yet.
#[derive(Debug, Default)]
pub(super) struct InFlightPolls {
    /// In the order in which they were sent.
    sent: VecDeque<InFlightPoll>,
    late: Vec<InFlightPoll>,
    /// How many may be under way; `None` while there are no bounds.
    limit: Option<usize>,
    /// When that last changed.
    changed_ms: u64,
}

impl InFlightPolls {
    /// Adapts how many questions may be under way, of which so many are open,
    /// to so many workers.
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
            // Each worker has one question at a time.
            self.limit = (next < workers).then_some(next);
            self.changed_ms = now_ms;
        }
    }

    /// Notes a question that is sent now.
    pub(super) fn sent(&mut self, worker: WorkerNumber, held: &SentHold) {
        // That a silent worker doesn't answer says nothing of this node.
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
    /// Returns how many questions may be sent now beside those that renew
    /// leases.
    pub(super) fn poll_allowance(&mut self, now: Now) -> usize {
        if !self.options.policy.watching.asks_later {
            return usize::MAX;
        }
        let InFlightPolls { sent, late, .. } = &mut self.polls;
        let workers = &self.workers;
        let is_in_flight = |poll: &InFlightPoll| {
            let worker = workers.at(poll.worker);
            worker.is_some_and(|w| w.awaits_answer_since(poll.sent_ms))
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
