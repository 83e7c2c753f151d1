/*!
Why tasks that are to last wait.

Short tasks wait all the time: for others to end, for a VM to come. One that is
to last is missing from the moment at which it doesn't run, so each such wait
that isn't over soon is told with what the workers of its pool lack for it.
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

/// How long a task waits before that is told, in milliseconds: about as long
/// as a worker takes to be heard of again.
const REPORT_AFTER_MS: u64 = 500;

/// How often waits are looked at, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// How many steps a look tells of, so that a pool without any worker doesn't
/// fill the log; the next looks go on with the others.
const MAX_REPORTS_PER_CHECK: usize = 4;

/// How long nothing more is told of a step, in milliseconds.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// When the waits of tasks that are to last were looked at and reported.
#[derive(Debug, Default)]
pub(super) struct LongWaits {
    checked_ms: u64,
    /// The steps that were told of, by their first task, and when.
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
    /// Tells of tasks that are to last and wait for long.
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

    /// Returns the first waiting task of each step that is ready and to last.
    pub(super) fn waiting_long_running_steps(&self) -> Vec<TaskId> {
        let lasting =
            self.candidates.long_running_steps().filter_map(|step| {
                let step_state = self.jobs.get(&step.job)?.step(&step)?;
                let index = *step_state.waiting.first()?;
                Some(TaskId { index, ..step })
            });
        lasting.collect()
    }

    /// Tells why a task waits, if that is due; returns whether it was.
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

    /// Counts what the workers of its pool lack for a task.
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
