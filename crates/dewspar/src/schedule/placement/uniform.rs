/*!
Places for the tasks of a step that are all alike.

Most steps are tasks that may go to any worker of their pool, and the fullest
one with room is the best. Once it got one of them, it is fuller still, and so
the best for the next until it has no room left. So the workers are looked
through and put in order once for the step, and not for each of its tasks: at
1,100 workers that look takes most of the time of a plan.
*/

use {
    super::RoomHorizon,
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Resources, Scheduler, WorkerId, job_state::demand,
            worker::Worker, workers::WorkerNumber,
        },
    },
    std::cmp::Reverse,
};

/// The workers that suit a step, the best first.
pub(super) struct UniformPlacement {
    workers: Vec<WorkerNumber>,
    /// The first that may still have room.
    next: usize,
    demand: Resources,
}

impl UniformPlacement {
    /// Returns the worker that suits the next task best.
    pub(super) fn next(
        &mut self,
        scheduler: &Scheduler,
        task: &TaskId,
    ) -> Option<WorkerId> {
        while let Some(number) = self.workers.get(self.next) {
            let worker = scheduler.workers.at(*number);
            if let Some(worker) = worker.filter(|w| self.fits(w, task)) {
                return Some(worker.id().clone());
            }
            self.next += 1;
        }
        None
    }

    fn fits(&self, worker: &Worker, task: &TaskId) -> bool {
        worker.free().contains(&self.demand)
            && !worker.runs.contains_key(task)
            && !worker.tests_a_run()
    }
}

impl Scheduler {
    /// Returns the places for a step whose tasks are all alike, of which
    /// `next` waits to be started; `None` for one whose tasks have to be looked at one by one.
    pub(super) fn uniform_placement(
        &self,
        spec: &StepSpec,
        next: &TaskId,
        now: Now,
    ) -> Option<UniformPlacement> {
        let job = self.jobs.get(&next.job)?;
        // A task of these changes how well its worker suits the next one in
        // some other way than by making it fuller.
        let one_by_one = spec.max_per_worker > 0
            || spec.long_running
            || spec.best_effort
            || spec.serves()
            || job.terms.advice.is_some()
            || !self.placing().fullest_first;
        if one_by_one {
            return None;
        }
        let suitable =
            self.suitable_with_numbers(spec, next, RoomHorizon::Now, now);
        let mut scored: Vec<(Reverse<i64>, WorkerNumber)> = suitable
            .rev()
            .map(|(number, worker)| {
                (Reverse(self.score_for(worker, spec)), number)
            })
            .collect();
        // Stable: of those that suit alike, the last by identifier is first.
        scored.sort_by_key(|(score, _)| *score);
        let workers = scored.into_iter().map(|(_, number)| number).collect();
        Some(UniformPlacement { workers, next: 0, demand: demand(spec) })
    }
}
