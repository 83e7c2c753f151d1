/*!
Handling of workers' answers to orders to start and stop runs.
*/

use crate::{
    job::TaskId,
    schedule::{
        Decision, Now, OrderError, Refusal, Scheduler, WorkerId,
        worker::{Run, RunState},
    },
    window::CallEnd,
};

impl Scheduler {
    /// Applies the answer to an order to start a run.
    pub fn start_answered(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        run: u64,
        result: Result<u64, OrderError>,
        now: Now,
    ) {
        let known = self.workers.get(worker_id).and_then(|worker| {
            worker.runs.get(task).filter(|known| known.run == run)
        });
        let sent_ms = known.map_or(0, |run| run.since_ms);
        let end = start_call_end(known, &result, now);
        let error = result.as_ref().err().copied();
        let end = self.note_hall_contact(worker_id, error, end, now);
        self.window.ended(end);
        self.record_order_end(sent_ms, end, now);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let known = worker.runs.get_mut(task).filter(|r| r.run == run);
        let Some(known) = known else { return };
        if known.process_has_ended {
            self.ended_process_start_answered(
                worker_id, task, run, result, now,
            );
            return;
        }
        let error = match result {
            Ok(clock_ms) => {
                if known.state == RunState::Starting {
                    known.state = RunState::Running;
                    known.since_ms = now.steady_ms;
                    known.moved_ms = now.steady_ms;
                }
                known.confirm(clock_ms);
                worker.read_clock(clock_ms, now.steady_ms);
                worker.start_accepted();
                self.mark_job_begun(task.job, now);
                return;
            }
            Err(error) => error,
        };
        // A hold has listed the run meanwhile, or the run is to stop: its end
        // will be reported.
        if matches!(known.state, RunState::Running | RunState::EndUnreported) {
            return;
        }
        let fence = known.fence;
        let under_current_fence = fence == worker.fence();
        self.note(Decision::OrderFailed {
            worker: worker_id.clone(),
            task: Some(*task),
            reason: error.name(),
        });
        match error {
            OrderError::Unknown => {
                self.note_in_doubt(task, worker_id, run, sent_ms);
                // OK because the worker was found above.
                let worker = self.workers.get_mut(worker_id).expect("known");
                worker.record_unanswered(now.steady_ms);
                if worker.fence() != fence {
                    return;
                }
                worker.raise_fence(now.steady_ms);
                // Each raise uses up a token. Without pauses the tokens lasted
                // 52 to 231 s, and a tenth of workers like this one cost the
                // holder its lease each time.
                if worker.count_unanswered_start()
                    && !worker.in_unreachable_hall
                {
                    self.suspend(worker_id, error.name(), now);
                }
            }
            OrderError::NotSent => {
                self.note_never_began(task, run, worker_id, now);
                if !self.is_worker_in_down_hall(worker_id) {
                    self.suspend(worker_id, error.name(), now);
                }
                self.release_run(task, worker_id, now);
            }
            OrderError::Refused(refusal) => {
                self.note_never_began(task, run, worker_id, now);
                self.release_run(task, worker_id, now);
                self.start_refused(
                    worker_id,
                    task,
                    refusal,
                    under_current_fence,
                    now,
                );
            }
        }
    }

    /// Applies the answer to an order that was sent to a process that has
    /// ended since. If the order was carried out, then by that process or by
    /// the next one, which will list what it runs.
    fn ended_process_start_answered(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        run: u64,
        result: Result<u64, OrderError>,
        now: Now,
    ) {
        match result {
            Ok(_) | Err(OrderError::Unknown) => {}
            Err(OrderError::NotSent | OrderError::Refused(_)) => {
                self.note_never_began(task, run, worker_id, now);
                self.release_run(task, worker_id, now);
            }
        }
    }

    fn note_never_began(
        &mut self,
        task: &TaskId,
        run: u64,
        worker: &WorkerId,
        now: Now,
    ) {
        self.note_suspect_ended(task);
        self.note(Decision::RunLost {
            task: *task,
            run,
            worker: worker.clone(),
            reason: "the order had no effect",
            age_ms: 0,
            other_runs: 0,
            renewal_age_ms: self.own_lease.renewal_age_ms(now),
        });
    }

    fn start_refused(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        refusal: Refusal,
        under_current_fence: bool,
        now: Now,
    ) {
        match refusal {
            Refusal::Fenced if under_current_fence => {
                self.later_token_seen(worker_id, now);
                self.query_under_new_token(worker_id, now);
            }
            Refusal::OtherLife => {
                self.worker_gone(
                    worker_id,
                    "another worker answers at its address",
                    now,
                );
            }
            // Its answer to a question shows which process is there.
            Refusal::OtherProcess => {
                self.query_under_new_token(worker_id, now);
            }
            // The worker has something that isn't known here, or the clocks
            // disagree: ask before sending anything else.
            Refusal::NoRoom | Refusal::LeaseOver | Refusal::StaleRun
                if under_current_fence =>
            {
                let Some(worker) = self.workers.get_mut(worker_id) else {
                    return;
                };
                worker.raise_fence(now.steady_ms);
                // The runs that it listed didn't explain the previous refusal.
                if worker.repeats_refusal() {
                    self.suspend(worker_id, refusal.name(), now);
                }
            }
            Refusal::Unhealthy | Refusal::Invalid => {
                self.suspend(worker_id, refusal.name(), now);
            }
            // Sent before the token was raised: the worker is already being
            // asked.
            Refusal::Fenced
            | Refusal::NoRoom
            | Refusal::LeaseOver
            | Refusal::StaleRun => {}
            Refusal::Ticket => self.ticket_refused(task, worker_id),
        }
    }

    /// Applies the answer to an order to stop a run.
    pub fn stop_answered(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        result: Result<u64, OrderError>,
        now: Now,
    ) {
        let Err(error) = result else {
            self.note_stop_accepted(worker_id, task);
            return;
        };
        self.note(Decision::OrderFailed {
            worker: worker_id.clone(),
            task: Some(*task),
            reason: error.name(),
        });
        match error {
            OrderError::Refused(Refusal::OtherLife)
                if self.is_being_stopped(worker_id, task) =>
            {
                self.worker_gone(
                    worker_id,
                    "another worker answers at its address",
                    now,
                );
            }
            OrderError::Refused(Refusal::Fenced) => {
                let worker = self.workers.get(worker_id);
                if worker.is_some_and(|worker| worker.synced) {
                    self.query_under_new_token(worker_id, now);
                }
            }
            // The order is sent again until the end is listed.
            OrderError::Refused(_)
            | OrderError::NotSent
            | OrderError::Unknown => {}
        }
    }

    /// Returns whether a task's run is being stopped on a worker's known
    /// process.
    fn is_being_stopped(&self, worker_id: &WorkerId, task: &TaskId) -> bool {
        let worker = self.workers.get(worker_id);
        let run = worker.and_then(|worker| worker.runs.get(task));
        run.is_some_and(|run| run.is_stopping() && !run.process_has_ended)
    }

    /// Asks a worker under a new token, which shows who holds the lease.
    fn query_under_new_token(&mut self, worker_id: &WorkerId, now: Now) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.raise_fence(now.steady_ms);
        }
    }
}

/// Returns what the outcome of an order to start says about this node's load.
fn start_call_end(
    known: Option<&Run>,
    result: &Result<u64, OrderError>,
    now: Now,
) -> CallEnd {
    // Once a hold has listed the run, the time at which the order was sent
    // isn't known.
    let starting = known.filter(|run| run.state == RunState::Starting);
    let Some(run) = starting else { return CallEnd::Discarded };
    call_end(run.since_ms, result.as_ref().err().copied(), now)
}

/// Returns what the outcome of an order says about this node's load.
pub(super) fn call_end(
    sent_ms: u64,
    error: Option<OrderError>,
    now: Now,
) -> CallEnd {
    match error {
        // A connection that can't be opened counts as a call without an
        // answer.
        Some(OrderError::Unknown | OrderError::NotSent) => CallEnd::Unanswered,
        Some(OrderError::Refused(_)) | None => {
            let took_ms = now.steady_ms.saturating_sub(sent_ms);
            CallEnd::Answered { took_ms }
        }
    }
}
