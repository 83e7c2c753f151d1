/*!
The projected usage of known jobs a while ahead.

A VM that is ordered now becomes available in some 2 s. What a pool needs then
differs from what runs now: many runs will have ended, and steps that wait for
others will have begun. Both follow from the known jobs. Each task is assumed
to last as long as its estimate, and each step to begin when the last step that
it depends on ends.

Ready tasks that wait for a worker are not included: they count in full as
waiting.
*/

use {
    crate::{
        job::{JobId, JobSpec},
        schedule::{
            Now, Resources, Scheduler,
            job_state::{Job, demand},
            run_times::{GangRacks, StepKey},
        },
    },
    std::collections::{BTreeMap, HashMap},
};

/// The remaining runs of one step.
#[derive(Clone, Copy, Debug, Default)]
struct RemainingRuns {
    /// The remaining time of the longest, in milliseconds.
    remaining_ms: u64,
    /// The usage of those that will still run at the projected time.
    resources: Resources,
}

impl Scheduler {
    /// Returns the usage of each pool's known jobs `ahead_ms` from now,
    /// without long-running tasks.
    pub(super) fn project_usage(
        &self,
        now: Now,
        ahead_ms: u64,
    ) -> BTreeMap<String, Resources> {
        let runs = self.remaining_runs(now, ahead_ms);
        let mut pools: HashMap<&str, Resources> = HashMap::new();
        // Reused for all jobs: a list for each made two fifths of the
        // allocations of a sizing pass.
        let mut ends = Vec::new();
        for (id, job) in self.jobs.iter() {
            if job.phase.is_final() {
                continue;
            }
            let ahead_ms = self.pool_ahead_ms(&job.terms.pool, ahead_ms);
            let used =
                self.project_job(*id, job, &runs, &mut ends, now, ahead_ms);
            if used != Resources::default() {
                pools.entry(&job.terms.pool).or_default().add(&used);
            }
        }
        let pools = pools.into_iter();
        pools.map(|(pool, used)| (pool.to_owned(), used)).collect()
    }

    /// Returns the remaining runs of each step.
    fn remaining_runs(
        &self,
        now: Now,
        ahead_ms: u64,
    ) -> HashMap<StepKey, RemainingRuns> {
        let mut remaining: HashMap<StepKey, RemainingRuns> = HashMap::new();
        let mut gangs = GangRacks::default();
        for worker in self.workers.values() {
            for (task, run) in &worker.runs {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let Some(spec) = job.step_spec(task) else { continue };
                if spec.long_running {
                    continue;
                }
                let ran_ms = now.steady_ms.saturating_sub(run.since_ms);
                let run_ms = self.expected_run_ms(
                    worker,
                    (task, spec),
                    run.since_ms,
                    &mut gangs,
                );
                let remaining_ms = run_ms.saturating_sub(ran_ms);
                let key = (task.job, task.round, task.step);
                let step = remaining.entry(key).or_default();
                step.remaining_ms = step.remaining_ms.max(remaining_ms);
                if remaining_ms > self.pool_ahead_ms(&job.terms.pool, ahead_ms)
                {
                    step.resources.add(&run.demand);
                }
            }
        }
        remaining
    }

    fn project_job(
        &self,
        id: JobId,
        job: &Job,
        runs: &HashMap<StepKey, RemainingRuns>,
        ends: &mut Vec<u64>,
        now: Now,
        ahead_ms: u64,
    ) -> Resources {
        let mut used = Resources::default();
        for (round, steps) in (0..).zip(&job.rounds) {
            let due_in_ms = job.spec.due_ms(round).saturating_sub(now.unix_ms);
            if due_in_ms > ahead_ms {
                continue;
            }
            ends.clear();
            for (step, state) in (0..).zip(steps) {
                let spec = &job.spec.steps[step as usize];
                let before = job.graph.dependencies(step as usize);
                let start_ms = start_ms(before, ends).max(due_in_ms);
                let duration_ms = spec.estimate_ms;
                let running = runs.get(&(id, round, step)).copied();
                let running = running.unwrap_or_default();
                let ready =
                    job.is_ready(round as usize, step as usize, now.unix_ms);
                ends.push(if state.is_done() {
                    0
                } else if ready && state.waiting.is_empty() {
                    running.remaining_ms
                } else {
                    start_ms.saturating_add(duration_ms)
                });
                if spec.long_running || state.is_done() {
                    continue;
                }
                used.add(&running.resources);
                let runs_then =
                    start_ms <= ahead_ms && ahead_ms - start_ms < duration_ms;
                if !ready && runs_then && self.fits_any_vm(spec) {
                    let waiting = state.waiting.len() as u64;
                    used.add(&demand(spec).times(waiting));
                }
            }
        }
        used
    }

    /// Returns the resources that a job will use within `ahead_ms` of its
    /// arrival, multiplied by milliseconds. Long-running steps, repeated jobs
    /// and steps that fit no VM aren't counted.
    pub(super) fn initial_work(
        &self,
        spec: &JobSpec,
        ahead_ms: u64,
    ) -> Resources {
        if spec.repeat.is_some() {
            return Resources::default();
        }
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        let mut work = Resources::default();
        for step_spec in &spec.steps {
            let start_ms = start_ms(&step_spec.after, &ends);
            let duration_ms = step_spec.estimate_ms;
            ends.push(start_ms.saturating_add(duration_ms));
            if step_spec.long_running || !self.fits_any_vm(step_spec) {
                continue;
            }
            let within_ms = duration_ms.min(ahead_ms.saturating_sub(start_ms));
            let times = u64::from(step_spec.count).saturating_mul(within_ms);
            work.add(&demand(step_spec).times(times));
        }
        work
    }
}

/// Returns when a step begins that waits for these steps, if the earlier steps
/// end at the given times.
fn start_ms(before: &[usize], ends: &[u64]) -> u64 {
    let ends = before.iter().filter_map(|earlier| ends.get(*earlier));
    ends.max().copied().unwrap_or(0)
}
