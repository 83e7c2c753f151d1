/*!
Placement of steps whose tasks are interchangeable.

Most steps have tasks that may run on any worker of their pool, and the fullest
worker with room is the best one. After it has received a task it is fuller
still, so it remains the best one until it has no room left. The workers are
therefore filtered and sorted once for the whole step instead of once for each
task. At 1,100 workers that search takes most of the time of a scheduling pass.
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

/// The workers that suit a step, best first.
pub(super) struct UniformPlacement {
    workers: Vec<WorkerNumber>,
    /// The index of the first worker that may still have room.
    next: usize,
    demand: Resources,
    now: Now,
}

impl UniformPlacement {
    /// Returns the best worker for the next task.
    pub(super) fn next(
        &mut self,
        scheduler: &Scheduler,
        task: &TaskId,
    ) -> Option<WorkerId> {
        while let Some(number) = self.workers.get(self.next) {
            let worker = scheduler.workers.at(*number);
            if let Some(worker) = worker.filter(|worker| {
                self.fits(worker, task)
                    && scheduler.starts_left(worker, self.now) > 0
            }) {
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
    /// Returns the sorted workers for a step whose tasks are interchangeable,
    /// where `next` is one of its waiting tasks. Returns `None` if the tasks
    /// of the step must be placed one by one.
    pub(super) fn uniform_placement(
        &self,
        spec: &StepSpec,
        next: &TaskId,
        now: Now,
    ) -> Option<UniformPlacement> {
        let job = self.jobs.get(&next.job)?;
        // Here a placed task affects the score of its worker in other ways
        // than by making it fuller.
        let needs_individual_placement = spec.max_per_worker > 0
            || spec.long_running
            || spec.best_effort
            || spec.has_latency_target()
            || job.terms.advice.is_some()
            || !self.placing().fullest_first;
        if needs_individual_placement {
            return None;
        }
        let suitable: Vec<(WorkerNumber, &Worker)> = self
            .suitable_with_numbers(spec, next, RoomHorizon::Now, now)
            .collect();
        let candidates = suitable.iter().map(|(_, worker)| *worker);
        let home = self.home_hall(spec, next, || candidates);
        let rank = |worker: &Worker| {
            let is_home = home == Some(worker.listing.hall.as_str());
            let score = self.score_for(worker, spec)
                - self.cold_penalty(worker, spec, now);
            Reverse((is_home, score))
        };
        let mut scored: Vec<(Reverse<(bool, i64)>, WorkerNumber)> = suitable
            .iter()
            .rev()
            .map(|(number, worker)| (rank(worker), *number))
            .collect();
        // The sort is stable: among equal scores the last identifier comes
        // first.
        scored.sort_by_key(|(score, _)| *score);
        let workers = scored.into_iter().map(|(_, number)| number).collect();
        let demand = demand(spec);
        Some(UniformPlacement { workers, next: 0, demand, now })
    }
}
