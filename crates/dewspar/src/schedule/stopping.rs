/*!
Stopping runs, from the decision to the end.

A run is stopped in three steps: it is marked, an order is sent with the next
plan and repeated until it takes effect, and the worker lists the end. Between
the first and the last step the run's resources stay in use, and the run does
work that is no longer wanted. Each step can fail by itself: the order is lost
or refused, the worker is silent, or the node that marked the run is gone. So
the attempts to stop a run are counted. They are reported once the run is over,
and also once if that takes longer than a worker may take for a stop.
*/

use crate::{
    job::TaskId,
    link::Class,
    schedule::{
        Action, Decision, Now, Scheduler, StopAttempts, StopOrder, WorkerId,
        worker::{Run, RunState},
    },
};

/// The maximum number of overdue stops that a plan reports, so that a rack
/// that falls silent doesn't flood the log; the others are reported with the
/// next plans.
const MAX_OVERDUE_PER_PLAN: usize = 8;

/// The progress of stopping a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StopProgress {
    reason: &'static str,
    /// Whether the worker has listed the run; otherwise it may still begin.
    pub(crate) begun: bool,
    /// When the first order to stop it was sent, in milliseconds of the steady
    /// clock; 0 if none was.
    first_ms: u64,
    /// When the last order was sent.
    ordered_ms: u64,
    orders: u32,
    answered: bool,
    reported_overdue: bool,
}

impl StopProgress {
    pub(crate) fn new(reason: &'static str, begun: bool) -> StopProgress {
        StopProgress {
            reason,
            begun,
            first_ms: 0,
            ordered_ms: 0,
            orders: 0,
            answered: false,
            reported_overdue: false,
        }
    }

    /// Returns when the next order is due, given the retry interval; both in
    /// milliseconds.
    pub(crate) fn due_ms(&self, retry_ms: u64) -> u64 {
        if self.orders == 0 { 0 } else { self.ordered_ms + retry_ms }
    }

    fn note_order(&mut self, now_ms: u64) {
        if self.orders == 0 {
            self.first_ms = now_ms;
        }
        self.ordered_ms = now_ms;
        self.orders += 1;
    }

    fn attempts(&self, now_ms: u64) -> StopAttempts {
        let since_ms = if self.orders == 0 { now_ms } else { self.first_ms };
        StopAttempts {
            reason: self.reason,
            after_ms: now_ms.saturating_sub(since_ms),
            orders: self.orders,
            answered: self.answered,
        }
    }
}

impl Scheduler {
    /// Sends orders to stop the marked runs, and repeats those that haven't
    /// taken effect.
    pub(super) fn order_stops(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let mut overdue = Vec::new();
        for number in self.due_workers(now) {
            let stops = self.workers.at(number).is_some_and(|worker| {
                worker.has_stops_due(now_ms, &self.options)
            });
            if !stops {
                continue;
            }
            let Some(worker) = self.workers.at_mut(number) else { continue };
            let fence = worker.fence();
            let address = &worker.listing.address;
            let id = &worker.listing.id;
            for (task, run) in &mut worker.runs {
                let number = run.run;
                let RunState::Stopping(stop) = &mut run.state else {
                    continue;
                };
                if now_ms < stop.due_ms(self.options.stop_retry_ms) {
                    continue;
                }
                let attempts = stop.attempts(now_ms);
                if attempts.after_ms > self.options.stop_timeout_ms
                    && !stop.reported_overdue
                    && overdue.len() < MAX_OVERDUE_PER_PLAN
                {
                    stop.reported_overdue = true;
                    overdue.push(Decision::StopOverdue {
                        task: *task,
                        run: number,
                        worker: id.clone(),
                        stop: attempts,
                    });
                }
                stop.note_order(now_ms);
                self.link.sent(Class::Stop, self.link.order_bytes());
                actions.push(Action::Stop {
                    worker: id.clone(),
                    address: address.clone(),
                    order: StopOrder { task: *task, run: number, fence },
                });
            }
        }
        self.decisions.extend(overdue);
    }

    /// Notes that a worker has carried out an order to stop.
    pub(super) fn note_stop_accepted(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
    ) {
        let worker = self.workers.get_mut(worker_id);
        let run = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(Run { state: RunState::Stopping(stop), .. }) = run {
            stop.answered = true;
        }
    }

    /// Reports how a run that is over was stopped, if it was to be stopped.
    pub(super) fn note_stopped(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        run: &Run,
        cause: &'static str,
        now: Now,
    ) {
        if let RunState::Stopping(stop) = &run.state {
            self.note(Decision::StopFinished {
                task: *task,
                run: run.run,
                worker: worker_id.clone(),
                cause,
                stop: stop.attempts(now.steady_ms),
            });
        }
    }
}
