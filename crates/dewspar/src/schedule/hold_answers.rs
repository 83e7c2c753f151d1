/*!
Handling of workers' answers to holds.

A *hold* renews a worker's lease and asks what runs there. Its answer lists the
worker's active runs and the oldest ends that aren't acknowledged yet.
*/

use {
    crate::{
        job::{Phase, TaskId},
        schedule::{
            ActiveRun, Decision, EndCause, EndedRun, HoldReport, Incarnation,
            Now, OrderError, Refusal, Resources, Scheduler, SentHold,
            WorkerId, WorkerListing,
            job_state::{Job, demand},
            missing_runs::AppliedEnds,
            order_answers::call_end,
            processes::IncarnationOrder,
            worked_time::{ReportTimes, worked_ms},
            worker::{DueHold, Run, RunState},
        },
    },
    std::sync::Arc,
};

/// The assumed pace of a best-effort run that was found running, in percent.
/// The next pacing steps set it explicitly, whatever it is.
const ADOPTED_PACE: u8 = 50;

/// How a run that a worker lists as active relates to the known state.
enum ListedRun {
    /// The run that was ordered.
    Expected,
    /// A run of a task that needs it.
    Adopt(Resources),
    /// A run that nobody needs; its resource demand is only known if its job
    /// is.
    Unwanted(Option<Resources>),
}

impl Scheduler {
    /// Applies a worker's answer to a hold.
    pub fn hold_answered(
        &mut self,
        worker_id: &WorkerId,
        held: &SentHold,
        report: &HoldReport,
        now: Now,
    ) {
        self.hold_ended(worker_id, held, None, now);
        let incarnation = report.incarnation;
        match self.check_incarnation(worker_id, incarnation, "an answer") {
            IncarnationOrder::Same => {}
            IncarnationOrder::Newer => {
                self.next_process_answered(worker_id, incarnation, now);
                return;
            }
            IncarnationOrder::Older => {
                self.former_process_answered(worker_id, held, now);
                return;
            }
        }
        let pause_ms = self.poll_pause_ms();
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        // It may describe the time before another process started.
        if held.session != worker.session {
            return;
        }
        worker.listing.incarnation = incarnation;
        worker.back_off(now.steady_ms + pause_ms);
        let first = !worker.synced;
        let was_partial = worker.has_unread_runs();
        let latest_ms = worker.latest_report_ms();
        let due_hold = DueHold { order: held.order, fencing: held.fencing };
        let newest = worker.hold_answered(
            &due_hold,
            report,
            now.steady_ms,
            &self.options,
        );
        let passed_over = worker.record_lists_passed_over(newest);
        if passed_over {
            self.note(Decision::StaleReportIgnored {
                worker: worker_id.clone(),
                clock_ms: report.clock_ms,
                latest_ms,
            });
        }
        self.token_claims.answered(worker_id);
        self.build_listed_rounds(report);
        self.retract_refuted_end(worker_id, report, now);
        self.note_unknown_runs(worker_id, report, newest, now);
        let reports =
            ReportTimes { previous_ms: latest_ms, latest_ms: report.clock_ms };
        let ends = self.apply_ends(worker_id, report, reports, now);
        // Answers on different connections may overtake each other; a run that
        // is active according to an older one may have ended since.
        if newest {
            for active in &report.active {
                if self.is_unknown(active.task.job) {
                    continue;
                }
                self.run_active(worker_id, active, now);
            }
            if report.is_partial {
                self.runs_hidden(worker_id, report, now);
            } else {
                self.settle_missing_runs(worker_id, held, report, ends, now);
            }
            if report.is_partial != was_partial {
                self.note_partial_answer(worker_id, report);
            }
        }
        let synced = self.workers.get(worker_id).is_some_and(|w| w.synced);
        if first && synced {
            let runs = report.active.len();
            self.note(Decision::Synced {
                worker: worker_id.clone(),
                process: report.incarnation,
                runs,
            });
        }
    }

    /// Builds the rounds of which a worker lists runs: another holder, whose
    /// clock is ahead, may have started them before they are due here.
    fn build_listed_rounds(&mut self, report: &HoldReport) {
        let active = report.active.iter().map(|run| run.task);
        let ended = report.ended.iter().map(|run| run.task);
        for task in active.chain(ended) {
            let job = self.jobs.get(&task.job);
            if job.is_some_and(|job| job.lacks_round(task.round))
                && let Some(job) = self.jobs.get_mut(&task.job)
            {
                job.build_round(task.round);
            }
        }
    }

    /// Concludes nothing from the absence of runs in an answer that may hide
    /// them.
    fn runs_hidden(
        &mut self,
        worker_id: &WorkerId,
        report: &HoldReport,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.runs_hidden(report, now.steady_ms);
        }
    }

    /// Notes that a worker's answers have begun or ceased to have rows that
    /// can't be read.
    fn note_partial_answer(
        &mut self,
        worker_id: &WorkerId,
        report: &HoldReport,
    ) {
        let worker = worker_id.clone();
        if !report.is_partial {
            self.note(Decision::AnswerComplete { worker });
            return;
        }
        let known = self.workers.get(worker_id);
        let is_lease_withheld =
            known.is_some_and(|worker| worker.has_unidentified_runs());
        let runs = report.active.len();
        self.note(Decision::AnswerPartial { worker, runs, is_lease_withheld });
    }

    /// Applies the ends that a worker lists, up to the first one of a job that
    /// isn't loaded yet. That one and all later ones are reported again until
    /// they are acknowledged.
    fn apply_ends(
        &mut self,
        worker_id: &WorkerId,
        report: &HoldReport,
        reports: ReportTimes,
        now: Now,
    ) -> AppliedEnds {
        for end in &report.ended {
            if self.is_unknown(end.task.job) {
                return AppliedEnds::Incomplete;
            }
            let worker = self.workers.get_mut(worker_id);
            if worker.is_some_and(|worker| worker.record_end(end.number)) {
                self.run_ended(worker_id, end, reports, now);
            }
        }
        if report.has_more_ends {
            AppliedEnds::Incomplete
        } else {
            AppliedEnds::Complete
        }
    }

    /// Switches to a worker's next process, of which nothing is known but that
    /// it answers. The runs that it lists are applied once it answers under a
    /// token that invalidates all earlier orders.
    fn next_process_answered(
        &mut self,
        worker_id: &WorkerId,
        incarnation: Incarnation,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let listing = WorkerListing { incarnation, ..worker.listing.clone() };
        self.replace_process(listing, 0, now);
    }

    /// Ignores an answer that wasn't given by a worker's known process.
    fn former_process_answered(
        &mut self,
        worker_id: &WorkerId,
        held: &SentHold,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        // The hold was sent to the known process, so this counts as no answer.
        if held.session == worker.session {
            let due_hold =
                DueHold { order: held.order, fencing: held.fencing };
            worker.hold_failed(&due_hold, now.steady_ms, &self.options);
        }
    }

    /// Notes that a hold got no answer.
    pub fn hold_failed(
        &mut self,
        worker_id: &WorkerId,
        held: &SentHold,
        error: OrderError,
        now: Now,
    ) {
        self.hold_ended(worker_id, held, Some(error), now);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if held.session != worker.session {
            return;
        }
        let due_hold = DueHold { order: held.order, fencing: held.fencing };
        let was_silent = worker.silent_since_ms.is_some();
        worker.hold_failed(&due_hold, now.steady_ms, &self.options);
        let current = held.order.fence == worker.fence();
        match error {
            OrderError::Refused(Refusal::OtherLife) => {
                self.worker_gone(
                    worker_id,
                    "another worker answers at its address",
                    now,
                );
            }
            OrderError::Refused(Refusal::Fenced) if current => {
                self.later_token_seen(worker_id, now);
            }
            _ if !was_silent => self.note(Decision::OrderFailed {
                worker: worker_id.clone(),
                task: None,
                reason: error.name(),
            }),
            _ => {}
        }
    }

    fn hold_ended(
        &mut self,
        worker_id: &WorkerId,
        held: &SentHold,
        error: Option<OrderError>,
        now: Now,
    ) {
        // The time that the worker was allowed to wait says nothing about this
        // node.
        let sent_ms = held.sent_ms + held.order.wait_ms;
        let end = call_end(sent_ms, error, now);
        let end = self.note_hall_contact(worker_id, error, end, now);
        if held.in_window {
            self.window.ended(end);
        }
        if !held.silent {
            self.record_order_end(held.sent_ms, end, now);
        }
    }

    fn run_ended(
        &mut self,
        worker_id: &WorkerId,
        end: &EndedRun,
        reports: ReportTimes,
        now: Now,
    ) {
        let task = end.task;
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let here = worker.runs.get(&task).is_some_and(|r| r.run == end.run);
        let removed =
            if here { worker.remove(&task, now.steady_ms) } else { None };
        if let Some(run) = &removed {
            self.note_stopped(&task, worker_id, run, end.cause.name(), now);
        }
        let job = self.jobs.get_mut(&task.job);
        let failures = job.map(|job| note_end(job, worker_id, end));
        let estimate_ms =
            self.step_spec(&task).map_or(0, |spec| spec.estimate_ms);
        let worked_ms = removed
            .as_ref()
            .and_then(|run| worked_ms(run, reports, estimate_ms));
        self.note(Decision::Ended {
            task,
            run: end.run,
            worker: worker_id.clone(),
            cause: end.cause,
            failures: failures.unwrap_or(0),
            worked_ms,
        });
        let Some(failures) = failures else {
            // There is nothing more to store for a job that is over and
            // stored.
            let sequence = self.defer_end(worker_id, end);
            self.acknowledge(worker_id, end, sequence, now);
            return;
        };
        self.settle_found_in_doubt(&task, worker_id, end.run);
        self.mark_job_begun(task.job, now);
        match end.cause {
            EndCause::Done => self.task_done(worker_id, &task, now),
            EndCause::Failed => {
                self.clear(worker_id, &task);
                self.task_failed(worker_id, &task, now);
            }
            EndCause::Stopped
            | EndCause::LeaseOver
            | EndCause::GangBroken
            | EndCause::GangIncomplete => {
                // Its worker has survived it; another run may be in progress.
                if here {
                    self.note_suspect_ended(&task);
                }
            }
        }
        let change = self.mark_changed(task.job);
        let sequence = match self.defer_end(worker_id, end) {
            0 => change,
            deferred => deferred,
        };
        self.acknowledge(worker_id, end, sequence, now);
        if here {
            self.release_run(&task, worker_id, now);
        }
        self.finish_if_over(&task, failures, now);
    }

    /// Queues an end to be acknowledged once its change is stored.
    fn acknowledge(
        &mut self,
        worker_id: &WorkerId,
        end: &EndedRun,
        sequence: u64,
        now: Now,
    ) {
        let (jobs, deferred_ends) = (&self.jobs, &self.deferred_ends);
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.end_pending_store(end.number, end.task.job, sequence);
            worker.advance_stored_ends(now.steady_ms, |job, sequence| {
                deferred_ends.is_stored(jobs, job, sequence)
            });
        }
    }

    pub(super) fn task_done(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.task_done();
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let gang = job.step_spec(task).is_some_and(|spec| spec.gang);
        let long = job.step_spec(task).is_some_and(|spec| spec.long_running);
        let Some(step) = job.step(task) else { return };
        if long || step.is_done() {
            return;
        }
        // The members of a gang end together, so one end counts for all of
        // them.
        let all = 0..step.tasks.len() as u32;
        let members = if gang { all } else { task.index..task.index + 1 };
        let mut others = Vec::new();
        for index in members {
            job.mark_done(task.round, task.step, index);
            let id = TaskId { index, ..*task };
            let workers = job.task(&id).into_iter().flat_map(|t| &t.workers);
            others.extend(workers.map(|on| (id, on.clone())));
        }
        // Other copies of a finished task are obsolete.
        if !gang {
            for (id, on) in others.iter().filter(|(_, on)| on != worker_id) {
                self.stop_run(id, on, "another copy is done");
            }
        }
        self.ready_next_steps(task, now);
    }

    fn ready_next_steps(&mut self, task: &TaskId, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        for step in job.rounds[task.round as usize].iter_mut() {
            step.ready_ms = step.ready_ms.max(now.steady_ms);
        }
    }

    fn task_failed(&mut self, worker_id: &WorkerId, task: &TaskId, now: Now) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        // A job that fails on more than one worker is itself the cause.
        let mut failed_on: Vec<WorkerId> = job
            .rounds
            .iter()
            .flatten()
            .flat_map(|step| step.tasks.iter())
            .flat_map(|task| task.avoid.iter().cloned())
            .collect();
        failed_on.sort();
        failed_on.dedup();
        if failed_on.len() > 1 {
            for id in failed_on {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.clear_failure(task.job);
                }
            }
            return;
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if worker.task_failed(task.job, now.steady_ms, &self.options) {
            let reason = "jobs fail on it that don't fail elsewhere";
            let worker = worker_id.clone();
            self.note(Decision::Suspended { worker, reason });
        }
    }

    pub(super) fn finish_if_over(
        &mut self,
        task: &TaskId,
        failures: u32,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        if job.phase.is_final() {
            return;
        }
        let limited =
            !job.step_spec(task).is_some_and(|spec| spec.long_running);
        let most = job.terms.max_attempts;
        let done = job.task(task).is_some_and(|task| task.done);
        if limited && !done && most > 0 && failures >= most {
            self.finish(task.job, Phase::Failed, now);
        } else if job.is_done() {
            self.finish(task.job, Phase::Completed, now);
        }
    }

    fn run_active(
        &mut self,
        worker_id: &WorkerId,
        active: &ActiveRun,
        now: Now,
    ) {
        self.note_progress(active);
        self.mark_job_begun(active.task.job, now);
        let found = self.classify_run(worker_id, active);
        // A previous holder may have slowed it down: its pace is raised step
        // by step.
        let spec = self.step_spec(&active.task);
        let best_effort = spec.is_some_and(|spec| spec.best_effort);
        let long_running = spec.is_some_and(|spec| spec.long_running);
        let pace = if best_effort { ADOPTED_PACE } else { 100 };
        let job = self.jobs.get(&active.task.job);
        let state = job.and_then(|job| job.task(&active.task));
        let suspicion =
            state.map(|state| state.crashes.suspicion()).unwrap_or_default();
        let charge = self.charge_of_listed(&active.task);
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let reported_ms = worker.latest_report_ms();
        let unread_ms = active.percent.map_or(now.steady_ms, |_| 0);
        let mut run = Run {
            run: active.run,
            fence: 0,
            demand: Resources::default(),
            charge,
            state: RunState::Running,
            since_ms: now.steady_ms,
            confirmed_from_ms: Some(reported_ms),
            percent: active.percent.unwrap_or(0),
            moved_ms: now.steady_ms,
            unread_ms,
            gauge: active.gauge.unwrap_or(0),
            pace,
            suspicion,
            measured: true,
            long_running,
            is_listed: true,
            process_has_ended: false,
        };
        match found {
            ListedRun::Expected => {
                // OK because `classify_run` has just found it.
                let run = worker.runs.get_mut(&active.task).expect("known");
                let was_starting = run.state == RunState::Starting;
                run.update(active, now.steady_ms);
                run.confirm(reported_ms);
                if was_starting {
                    worker.start_confirmed();
                }
                self.settle_in_doubt(&active.task, worker_id, active.run);
                self.clear_if_outlived(worker_id, &active.task);
            }
            ListedRun::Adopt(demand) => {
                run.demand = demand;
                worker.insert(active.task, run);
                self.settle_found_in_doubt(
                    &active.task,
                    worker_id,
                    active.run,
                );
                self.adopt(worker_id, active);
            }
            ListedRun::Unwanted(demand) => {
                run.measured = demand.is_some();
                run.demand = demand.unwrap_or_default();
                worker.insert(active.task, run);
                self.stop_run(&active.task, worker_id, "nobody needs it");
            }
        }
    }

    /// Stores the number and the checkpoint of a run with its task.
    ///
    /// Most answers repeat what is known of most runs, and a job that doesn't
    /// change needn't be evaluated again.
    fn note_progress(&mut self, active: &ActiveRun) {
        let job = self.jobs.get(&active.task.job);
        let Some(known) = job.and_then(|job| job.task(&active.task)) else {
            return;
        };
        let saved = !active.checkpoint.is_empty()
            && *active.checkpoint != *known.checkpoint;
        if !saved && active.run <= known.run {
            return;
        }
        let job = self.jobs.get_mut(&active.task.job);
        let Some(task) = job.and_then(|job| job.task_mut(&active.task)) else {
            return;
        };
        task.run = task.run.max(active.run);
        if saved {
            task.checkpoint = Arc::from(active.checkpoint.as_str());
        }
    }

    fn classify_run(
        &self,
        worker_id: &WorkerId,
        active: &ActiveRun,
    ) -> ListedRun {
        let worker = self.workers.get(worker_id);
        let here = worker.and_then(|w| w.runs.get(&active.task));
        if here.is_some_and(|run| run.run == active.run) {
            return ListedRun::Expected;
        }
        let Some(job) = self.jobs.get(&active.task.job) else {
            return ListedRun::Unwanted(None);
        };
        let demand = job.step_spec(&active.task).map(demand);
        let needed = job.task(&active.task).is_some_and(|task| {
            !job.phase.is_final()
                && !task.done
                && task.workers.is_empty()
                && active.run > task.ended_run
        });
        match demand {
            Some(demand) if needed => ListedRun::Adopt(demand),
            demand => ListedRun::Unwanted(demand),
        }
    }

    fn adopt(&mut self, worker_id: &WorkerId, active: &ActiveRun) {
        let id = active.task;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if let Some(step) = job.step_mut(&id) {
            step.waiting.remove(&id.index);
            if let Some(task) = step.tasks.get_mut(id.index as usize) {
                task.workers.push(worker_id.clone());
            }
        }
        self.note(Decision::Adopted {
            task: id,
            run: active.run,
            worker: worker_id.clone(),
        });
    }
}

impl Run {
    fn update(&mut self, active: &ActiveRun, now_ms: u64) {
        self.is_listed = true;
        self.process_has_ended = false;
        match &mut self.state {
            RunState::Starting => {
                self.state = RunState::Running;
                self.since_ms = now_ms;
                // It may have begun long after it was ordered.
                self.moved_ms = now_ms;
            }
            RunState::Running => {}
            RunState::EndUnreported => self.state = RunState::Running,
            RunState::Stopping(stop) => stop.begun = true,
        }
        match active.percent {
            // A run whose progress can't be read may well make some.
            None => self.unread_ms = now_ms,
            Some(percent) if percent != self.percent => {
                self.percent = percent;
                self.moved_ms = now_ms;
            }
            Some(_) => {}
        }
        self.gauge = active.gauge.unwrap_or(self.gauge);
    }
}

/// Records an end with its job; returns how often the task has failed.
pub(super) fn note_end(
    job: &mut Job,
    worker_id: &WorkerId,
    end: &EndedRun,
) -> u32 {
    let Some(task) = job.task_mut(&end.task) else { return 0 };
    task.run = task.run.max(end.run);
    task.ended_run = task.ended_run.max(end.run);
    if !end.checkpoint.is_empty() {
        task.checkpoint = Arc::from(end.checkpoint.as_str());
    }
    if end.cause == EndCause::Failed {
        if !task.failed_runs.contains(&end.run) {
            task.failed_runs.push(end.run);
        }
        if !task.avoid.contains(worker_id) {
            task.avoid.push(worker_id.clone());
        }
    }
    u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX)
}
