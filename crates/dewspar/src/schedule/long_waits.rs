/*!
Reports of long waits of long-running tasks.

Short tasks wait all the time, for others to end or for a VM to arrive. A
long-running task, however, is down from the moment at which it doesn't run.
Each of its waits that isn't over soon is therefore reported, with the reasons
why the workers of its pool can't take it.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Decision, Now, Scheduler, UnfitWorkers, job_state::demand,
            worker::Worker,
        },
    },
    std::collections::BTreeMap,
};

/// How long a task waits before that is reported, in milliseconds: about as
/// long as it takes until a worker has answered again.
const REPORT_AFTER_MS: u64 = 500;

/// The interval between checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// The maximum number of steps reported in one check, so that a pool without
/// workers doesn't flood the log. The next checks continue with the other
/// steps.
const MAX_REPORTS_PER_CHECK: usize = 4;

/// The minimum interval between two reports about the same step, in
/// milliseconds.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// When long waits were checked and reported.
#[derive(Debug, Default)]
pub(super) struct LongWaits {
    checked_ms: u64,
    /// When each step was last reported, by its first task.
    reported_ms: BTreeMap<TaskId, u64>,
}

impl LongWaits {
    fn may_report(&mut self, step: &TaskId, now_ms: u64) -> bool {
        self.reported_ms
            .retain(|_, reported| now_ms < *reported + REPEAT_INTERVAL_MS);
        !self.reported_ms.contains_key(step)
    }
}

impl Scheduler {
    /// Reports long-running tasks that have waited for long.
    pub(super) fn report_long_waits(&mut self, now: Now) {
        if now.steady_ms < self.long_waits.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.long_waits.checked_ms = now.steady_ms;
        let mut reported = 0;
        for step in self.waiting_long_running_steps() {
            if reported == MAX_REPORTS_PER_CHECK {
                return;
            }
            if self.report_wait(&step, now) {
                reported += 1;
            }
        }
    }

    /// Returns the first waiting task of each long-running step that is ready.
    pub(super) fn waiting_long_running_steps(&self) -> Vec<TaskId> {
        let steps = self.candidates.long_running_steps().filter_map(|step| {
            let step_state = self.jobs.get(&step.job)?.step(&step)?;
            let index = *step_state.waiting.first()?;
            Some(TaskId { index, ..step })
        });
        steps.collect()
    }

    /// Reports why a task waits, if a report is due. Returns whether it was.
    fn report_wait(&mut self, task: &TaskId, now: Now) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let (Some(spec), Some(step)) = (job.step_spec(task), job.step(task))
        else {
            return false;
        };
        let waited_ms = now.steady_ms.saturating_sub(step.ready_ms);
        let first = TaskId { index: 0, ..*task };
        if waited_ms < REPORT_AFTER_MS
            || !self.long_waits.may_report(&first, now.steady_ms)
        {
            return false;
        }
        let tasks = step.waiting.len();
        let reason = if self.may_run_from_former_lease(job, spec, now) {
            "a worker that may run it wasn't asked yet"
        } else if !self.may_start_as_recorded(job, task) {
            "its start isn't on record yet"
        } else if !self.own_lease.covers_task(job, task) {
            "another holder may have taken in the end of its run"
        } else if self.exceeds_quota(Scheduler::charge_for(job, spec).as_ref())
        {
            "its team's quota is used up"
        } else if self.best_worker_for(task, now).is_some() {
            "there is a place, but no order may be sent"
        } else {
            "no worker of its pool can take it"
        };
        let lack = self.shortage_for(spec, task, now);
        self.long_waits.reported_ms.insert(first, now.steady_ms);
        self.note(Decision::LongWait {
            task: *task,
            tasks,
            waited_ms,
            reason,
            unfit: lack,
        });
        true
    }

    /// Counts the workers of the pool by the reason why they can't take a
    /// task.
    fn shortage_for(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> UnfitWorkers {
        let mut lack = UnfitWorkers::default();
        let Some(job) = self.jobs.get(&task.job) else { return lack };
        let demand = demand(spec);
        let most = spec.max_per_worker as usize;
        let has_siblings =
            |worker: &Worker| most > 0 && worker.runs_of_step(task) >= most;
        for (_, worker) in self.workers.in_pool(&job.terms.pool) {
            let free = worker.free();
            lack.workers += 1;
            let count = if !worker.accepts_starts(now.steady_ms) {
                &mut lack.closed
            } else if free.cpu_millis < demand.cpu_millis {
                &mut lack.cpu
            } else if !free.contains(&demand) {
                &mut lack.memory
            } else if has_siblings(worker) {
                &mut lack.siblings
            } else {
                &mut lack.barred
            };
            *count += 1;
        }
        lack
    }
}
