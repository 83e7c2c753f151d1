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
const LATE_MS: u64 = 100;

/// How many questions may be late, and which part of those under way: some
/// workers are always slow, and of a rack that falls silent it is known soon.
const MOST_LATE: usize = 16;
const MOST_LATE_OF: usize = 8;

/// How many questions may be under way in any case.
const LEAST_OPEN: usize = 32;

/// How soon fewer may be under way once more, in milliseconds: what was sent
/// before says nothing new.
const FEWER_EACH_MS: u64 = 500;

/// How soon an eighth more may, in milliseconds.
const MORE_EACH_MS: u64 = 200;

/// A question whose answer hasn't come.
#[derive(Clone, Copy, Debug)]
struct Question {
    worker: WorkerNumber,
    sent_ms: u64,
    late_from_ms: u64,
}

/// The questions that were sent and may have no answer yet.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// In the order in which they were sent.
    sent: VecDeque<Question>,
    late: Vec<Question>,
    /// How many may be under way; `None` while there are no bounds.
    most_open: Option<usize>,
    /// When that last changed.
    changed_ms: u64,
}

impl Questions {
    /// Adapts how many questions may be under way, of which so many are open,
    /// to so many workers.
    fn adapt(&mut self, open: usize, workers: usize, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        let most = self.most_open.unwrap_or(open);
        let most_late = MOST_LATE.max(open / MOST_LATE_OF);
        let next = if self.late.len() > most_late {
            (since_ms >= FEWER_EACH_MS).then_some(most.min(open) / 2)
        } else {
            let more = self.most_open.is_some() && since_ms >= MORE_EACH_MS;
            more.then_some(most + most / 8)
        };
        if let Some(next) = next {
            let next = next.max(LEAST_OPEN);
            // Each worker has one question at a time.
            self.most_open = (next < workers).then_some(next);
            self.changed_ms = now_ms;
        }
    }

    /// Notes a question that is sent now.
    pub(super) fn sent(&mut self, worker: WorkerNumber, held: &SentHold) {
        // That a silent worker doesn't answer says nothing of this node.
        if held.silent {
            return;
        }
        self.sent.push_back(Question {
            worker,
            sent_ms: held.sent_ms,
            late_from_ms: held.sent_ms + held.order.wait_ms + LATE_MS,
        });
    }
}

impl Scheduler {
    /// Returns how many questions may be sent now beside those that renew
    /// leases.
    pub(super) fn room_for_questions(&mut self, now: Now) -> usize {
        if !self.options.policy.watching.asks_later {
            return usize::MAX;
        }
        let Questions { sent, late, .. } = &mut self.questions;
        let workers = &self.workers;
        let is_open = |question: &Question| {
            let worker = workers.at(question.worker);
            worker.is_some_and(|w| w.awaits_answer_since(question.sent_ms))
        };
        while let Some(question) = sent.front() {
            let open = is_open(question);
            if open && now.steady_ms < question.late_from_ms {
                break;
            }
            if open {
                late.push(*question);
            }
            sent.pop_front();
        }
        late.retain(is_open);
        let open = sent.iter().filter(|q| is_open(q)).count() + late.len();
        let workers = self.workers.len();
        self.questions.adapt(open, workers, now.steady_ms);
        let most_open = self.questions.most_open;
        most_open.map_or(usize::MAX, |most| most.saturating_sub(open))
    }
}
