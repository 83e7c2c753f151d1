/*!
Placement advice for queues whose policy restricts which workers may run a
step.

Only an external adviser knows which workers are allowed. It is asked about a
few workers that would suit a step, and returns a ticket for each one that may
run it. A ticket is valid for all tasks of the step on the current process of
the worker, for a limited time. A worker left out of an answer is denied for
good.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Action, AdviceTerms, Now, Scheduler, WorkerId, worker::Worker,
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The maximum number of questions in flight. The adviser answers one at a
/// time, and a longer queue would only delay the answers.
const MAX_QUESTIONS: usize = 4;

/// The maximum number of workers named in one question.
const MAX_WORKERS_PER_QUESTION: usize = 8;

/// The delay before a question without an answer is repeated, in milliseconds.
const RETRY_MS: u64 = 300;

/// How long before its expiry a ticket is no longer used, in milliseconds:
/// several times the time that an order takes to arrive.
const TICKET_MARGIN_MS: u64 = 100;

/// The answers of the adviser about one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    tickets: BTreeMap<WorkerId, Ticket>,
    denied: BTreeSet<WorkerId>,
    asking: bool,
    ask_from_ms: u64,
}

#[derive(Debug)]
struct Ticket {
    text: String,
    until_ms: u64,
}

impl StepAdvice {
    fn ticket(&self, worker: &WorkerId, now_ms: u64) -> Option<&str> {
        let ticket = self.tickets.get(worker)?;
        (now_ms < ticket.until_ms).then_some(ticket.text.as_str())
    }
}

impl Scheduler {
    /// Returns the ticket for starting a task on a worker, an empty one if the
    /// queue needs none. Returns `None` if a ticket is needed and there is
    /// none.
    pub(super) fn ticket(
        &self,
        task: &TaskId,
        worker: &WorkerId,
        now: Now,
    ) -> Option<String> {
        let job = self.jobs.get(&task.job)?;
        if job.terms.advice.is_none() {
            return Some(String::new());
        }
        let advice = self.advice.get(&step_of(task))?;
        advice.ticket(worker, now.steady_ms).map(str::to_owned)
    }

    /// Returns whether an answer about the step left the worker out.
    pub(super) fn is_denied(&self, task: &TaskId, worker: &WorkerId) -> bool {
        let advice = self.advice.get(&step_of(task));
        advice.is_some_and(|advice| advice.denied.contains(worker))
    }

    /// Asks the adviser which of the workers that suit a task may run its
    /// step.
    pub(super) fn request_advice(
        &mut self,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> Option<Action> {
        self.jobs.get(&task.job)?.terms.advice?;
        let asking = self.advice.values().filter(|a| a.asking).count();
        let step = step_of(task);
        let known = self.advice.get(&step);
        let wait = known.is_some_and(|advice| {
            advice.asking || now.steady_ms < advice.ask_from_ms
        });
        if wait || asking >= MAX_QUESTIONS {
            return None;
        }
        let mut suitable: Vec<&Worker> =
            self.suitable_workers(spec, task, now).collect();
        suitable.sort_by_key(|worker| {
            std::cmp::Reverse(self.score_for(worker, spec))
        });
        let workers: Vec<WorkerId> = suitable
            .into_iter()
            .take(MAX_WORKERS_PER_QUESTION)
            .map(|worker| worker.id().clone())
            .collect();
        if workers.is_empty() {
            return None;
        }
        self.advice.entry(step).or_default().asking = true;
        Some(Action::Advise { step, workers, asked_ms: now.steady_ms })
    }

    /// Records the adviser's answer: the workers that may run the step, each
    /// with its ticket. An error means that there was no answer.
    pub fn advice_answered<E>(
        &mut self,
        step: &TaskId,
        asked: &[WorkerId],
        asked_ms: u64,
        answer: Result<Vec<(WorkerId, String)>, E>,
        now: Now,
    ) {
        let terms = self.jobs.get(&step.job).and_then(|j| j.terms.advice);
        let Some(AdviceTerms { validity_ms, .. }) = terms else {
            self.advice.remove(step);
            return;
        };
        let advice = self.advice.entry(*step).or_default();
        advice.asking = false;
        let Ok(healthy) = answer else {
            advice.ask_from_ms = now.steady_ms + RETRY_MS;
            return;
        };
        let until_ms =
            (asked_ms + validity_ms).saturating_sub(TICKET_MARGIN_MS);
        let denied = asked
            .iter()
            .filter(|id| !healthy.iter().any(|(healthy, _)| healthy == *id));
        advice.denied.extend(denied.cloned());
        for (worker, text) in healthy {
            advice.tickets.insert(worker, Ticket { text, until_ms });
        }
    }

    /// Removes a ticket that a worker has refused.
    pub(super) fn ticket_refused(&mut self, task: &TaskId, id: &WorkerId) {
        if let Some(advice) = self.advice.get_mut(&step_of(task)) {
            advice.tickets.remove(id);
        }
    }

    /// Removes the tickets of a worker process that has ended.
    pub(super) fn forget_tickets(&mut self, id: &WorkerId) {
        for advice in self.advice.values_mut() {
            advice.tickets.remove(id);
        }
    }

    /// Removes the advice for jobs that no longer exist.
    pub(super) fn drop_old_advice(&mut self) {
        let jobs = &self.jobs;
        self.advice.retain(|step, _| jobs.contains_key(&step.job));
    }
}

/// Returns the identifier of a task's step: that of its first task.
fn step_of(task: &TaskId) -> TaskId {
    TaskId { index: 0, ..*task }
}
