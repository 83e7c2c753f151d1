/*!
Monitoring of runs: stopping stalled ones, and throttling best-effort ones that
disturb others.

A task whose progress stalls is stopped and started elsewhere, from its
checkpoint if it has one; [`stalls`] says when that is. A best-effort task is
throttled while a task on the same worker misses its latency target, and its
processor share is raised again step by step once that task has recovered.
*/

use crate::{
    job::{StepSpec, TaskId},
    schedule::{
        Action, Now, OrderError, PaceOrder, Scheduler, WorkerId, stalls,
        worker::{Run, RunState, Worker},
    },
};

/// The interval between checks of all runs, in milliseconds: a seventh of the
/// shortest timeout after which a run is acted on. Checking each run in each
/// plan took a busy holder more time than placing tasks.
const RUN_CHECK_INTERVAL_MS: u64 = 100;

/// The time that a change of pace is given to show an effect, in milliseconds:
/// it is applied within 0.1 s, and the latency figures cover half a second.
const PACE_CHANGE_INTERVAL_MS: u64 = 700;

/// The step in which the pace is raised again, in percent.
const PACE_STEP_PERCENT: u8 = 25;

/// The latency below which tasks of the same worker may go faster again, in
/// percent of the target.
const RECOVERED_PERCENT: u64 = 70;

/// The latency of a worker's serving tasks, compared with their targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TargetStatus {
    /// At least one task is above its target.
    Missed,
    /// All tasks are well below their targets.
    WellWithin,
    /// Neither of the above.
    Within,
}

impl Scheduler {
    /// Checks the runs in progress, at most once per
    /// [`RUN_CHECK_INTERVAL_MS`].
    pub(super) fn monitor_runs(
        &mut self,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if now.steady_ms < self.runs_checked_ms + RUN_CHECK_INTERVAL_MS {
            return;
        }
        self.runs_checked_ms = now.steady_ms;
        self.stop_stalled(now);
        self.pace_best_effort(now, actions);
    }

    /// Stops stalled runs.
    fn stop_stalled(&mut self, now: Now) {
        if !self.options.policy.watching.stops_stalled {
            return;
        }
        let mut stalled: Vec<(WorkerId, TaskId)> = Vec::new();
        for worker in self.workers.values() {
            // The last answer is outdated.
            if worker.silent_since_ms.is_some() {
                continue;
            }
            for (task, run) in &worker.runs {
                let stalled_ms =
                    worker.reported_ms().saturating_sub(run.moved_ms);
                // Very few runs may be stalled, so the step is looked up for
                // these only.
                let may_be_stalled = stalled_ms > stalls::MIN_TIMEOUT_MS
                    && run.state == RunState::Running
                    && run.percent < 100
                    && run.pace == 100
                    && !worker.unset_paces.contains(task);
                if !may_be_stalled {
                    continue;
                }
                let Some(spec) = self.step_spec(task) else { continue };
                let timeout_ms =
                    stalls::timeout_ms(spec, run, self.stalls_of(task));
                // A run makes no progress on a cold worker. The time-out is the
                // same away from the data, where runs are slower: longer ones
                // would delay the detection of runs that have stopped.
                let moved_ms = run.moved_ms.max(run.unread_ms);
                let from_ms = moved_ms.max(worker.cold.until_ms());
                let stalled_ms = worker.reported_ms().saturating_sub(from_ms);
                // The members of a gang wait for one another.
                if !spec.gang && stalled_ms > timeout_ms {
                    stalled.push((worker.id().clone(), *task));
                }
            }
        }
        for (worker, task) in stalled {
            self.run_stalled(&task, &worker, now);
        }
    }

    /// Stops a run that has stalled, and draws a conclusion on its worker
    /// unless the task is slow everywhere.
    fn run_stalled(&mut self, task: &TaskId, worker: &WorkerId, now: Now) {
        let blames_worker = self.step_spec(task).is_some_and(|spec| {
            stalls::blames_worker(spec, self.stalls_of(task))
        });
        self.stop_run(task, worker, "it doesn't come on");
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.stalls = state.stalls.saturating_add(1);
            if blames_worker && !state.avoid.contains(worker) {
                state.avoid.push(worker.clone());
            }
        }
        if blames_worker {
            self.suspend(worker, "a task has stalled on it", now);
        }
    }

    /// Returns how often runs of a task have stalled.
    fn stalls_of(&self, task: &TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        state.map_or(0, |state| state.stalls)
    }

    pub(super) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.step_spec(task)
    }

    /// Throttles best-effort tasks that disturb others, and raises the pace of
    /// the rest.
    fn pace_best_effort(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.options.policy.watching.paces {
            return;
        }
        let mut changes: Vec<(WorkerId, TaskId, u8)> = Vec::new();
        for worker in self.workers.values() {
            if !worker.is_pace_due(now.steady_ms, PACE_CHANGE_INTERVAL_MS) {
                continue;
            }
            let mut best_effort = self.best_effort_runs(worker).peekable();
            if best_effort.peek().is_none() {
                continue;
            }
            let target_status = self.target_status(worker);
            for (task, run) in best_effort {
                let pace = next_pace(target_status, run.pace);
                if pace != run.pace || worker.unset_paces.contains(task) {
                    changes.push((worker.id().clone(), *task, pace));
                }
            }
        }
        for (worker, task, pace) in changes {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.paced(now.steady_ms);
            }
            actions.extend(self.pace(&task, &worker, pace));
        }
    }

    /// Returns the runs of a worker that may be throttled and have begun.
    fn best_effort_runs<'a>(
        &'a self,
        worker: &'a Worker,
    ) -> impl Iterator<Item = (&'a TaskId, &'a Run)> {
        worker.runs.iter().filter(|(task, run)| {
            // They request no processor time, which can be checked without
            // looking their step up.
            run.demand.cpu_millis == 0
                && run.state == RunState::Running
                && self.step_spec(task).is_some_and(|s| s.best_effort)
        })
    }

    /// Handles a pace order that has no result.
    ///
    /// The pace of the run is unknown then: it is set again when the next
    /// change would be due.
    pub fn pace_failed(
        &mut self,
        worker_id: &WorkerId,
        order: &PaceOrder,
        error: OrderError,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let current = worker.runs.get(&order.task).is_some_and(|run| {
            run.run == order.run && run.pace == order.percent
        });
        if current {
            worker.unset_paces.insert(order.task);
        }
        // The order may still be carried out, even after later ones.
        if error == OrderError::Unknown && order.fence == worker.fence() {
            worker.raise_fence(now.steady_ms);
        }
    }

    fn target_status(&self, worker: &Worker) -> TargetStatus {
        let mut target_status = TargetStatus::WellWithin;
        for (task, run) in &worker.runs {
            let target = self.step_spec(task).map_or(0, |s| s.target_ms);
            if target == 0 {
                continue;
            }
            if run.gauge > target {
                return TargetStatus::Missed;
            }
            let recovered = target.saturating_mul(RECOVERED_PERCENT);
            if run.gauge.saturating_mul(100) > recovered {
                target_status = TargetStatus::Within;
            }
        }
        target_status
    }
}

/// Returns the processor share that a best-effort task should have, in
/// percent.
fn next_pace(target_status: TargetStatus, pace: u8) -> u8 {
    match target_status {
        // First a quarter, then nothing: the requirements tolerate the
        // disturbance for a few seconds only.
        TargetStatus::Missed if pace > PACE_STEP_PERCENT => PACE_STEP_PERCENT,
        TargetStatus::Missed => 0,
        TargetStatus::WellWithin => {
            pace.saturating_add(PACE_STEP_PERCENT).min(100)
        }
        TargetStatus::Within => pace,
    }
}
