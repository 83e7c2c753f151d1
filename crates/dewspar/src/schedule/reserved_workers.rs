/*!
Workers that are reserved to test tasks which may crash them.

A task that was lost with its workers twice in a row is tested alone; see
[`suspects`](super::suspects). In a busy pool no worker would ever be without
recent runs, so one is closed to all other tasks until the test has begun. A
closed worker is lost to the rest of the pool, so it must be of use:

- It is reserved only for a task that would start now: its crashes are stored,
  its team has quota left, and no former holder can still run it.
- The task must find room there once the short tasks have ended. Tasks that
  last never make room.
- The tasks for which workers are reserved are started first in each pass,
  wherever their steps stand in the order.

One worker of a pool is reserved at a time, several during a burst of crashes;
see [`crash_bursts`](super::crash_bursts).
*/

use {
    super::{
        crash_bursts::ReservationRequest,
        job_state::{Job, demand},
        placement::has_label,
        worker::Worker,
    },
    crate::{
        job::{StepSpec, TaskId},
        schedule::{Decision, Now, Scheduler, WorkerId},
    },
    std::collections::BTreeMap,
};

/// Whom a worker is reserved for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ReservedFor {
    /// The task that is to start there.
    pub(super) task: TaskId,
    /// Whether other tasks under test may start there as well.
    pub(super) admits_tested: bool,
}

impl ReservedFor {
    /// Returns whether a task may start on the worker.
    pub(super) fn allows(self, task: &TaskId, tested: bool) -> bool {
        self.task == *task || self.admits_tested && tested
    }
}

impl Scheduler {
    /// Reserves workers for as long as tasks under test wait: one in each
    /// pool, several during a burst of crashes there. Otherwise such tasks
    /// would have to wait until nothing starts in a busy pool for a while.
    pub(super) fn reserve_workers(&mut self, waiting: &[TaskId], now: Now) {
        let mut reserved_by_pool: BTreeMap<&str, (WorkerId, ReservedFor)> =
            BTreeMap::new();
        let mut requests = Vec::new();
        for task in waiting {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let (Some(spec), Some(state)) =
                (job.step_spec(task), job.task(task))
            else {
                continue;
            };
            let pool = job.terms.pool.as_str();
            let tested = self.is_tested(state, pool, now) && !spec.gang;
            if !tested
                || reserved_by_pool.contains_key(pool)
                || !self.could_start(job, spec, task, now)
            {
                continue;
            }
            if self.crash_bursts.is_active(pool, now) {
                let is_bad = state.crashes.is_probably_bad();
                requests.push(ReservationRequest {
                    task: *task,
                    pool,
                    is_bad,
                });
                continue;
            }
            let suitable = self.workers.values().filter(|worker| {
                worker.listing.pool == pool
                    && self.can_be_reserved(worker, task, now)
            });
            let chosen = suitable.min_by_key(|worker| {
                let same = self.reserved.contains_key(worker.id());
                self.reservation_rank(worker, task, same)
            });
            if let Some(worker) = chosen {
                let reserved =
                    ReservedFor { task: *task, admits_tested: true };
                reserved_by_pool.insert(pool, (worker.id().clone(), reserved));
            }
        }
        let mut reserved: BTreeMap<WorkerId, ReservedFor> =
            reserved_by_pool.into_values().collect();
        reserved.extend(
            self.reserve_burst_workers(requests, |request, worker| {
                self.can_be_reserved(worker, &request.task, now)
            }),
        );
        let new: Vec<Decision> = reserved
            .iter()
            .filter(|(id, _)| !self.reserved.contains_key(*id))
            .map(|(id, kept)| Decision::Reserved {
                worker: id.clone(),
                task: kept.task,
                runs: self.workers.get(id).map_or(0, |w| w.runs.len()),
            })
            .collect();
        self.reserved = reserved;
        for decision in new {
            self.note(decision);
        }
    }

    /// Returns whether a task would be started now if a worker suited it. A
    /// worker that is reserved for any other task would be closed for nothing.
    fn could_start(
        &self,
        job: &Job,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> bool {
        let charge = Scheduler::charge_for(job, spec);
        let is_paused =
            job.task(task).is_some_and(|state| state.crashes.is_paused(now));
        !is_paused
            && self.may_start_as_recorded(job, task)
            && self.own_lease.covers_task(job, task)
            && !self.exceeds_quota(charge.as_ref())
            && !self.may_run_from_former_lease(job, spec, now)
    }

    /// Returns how well a worker suits as one that is reserved for a task; the
    /// lowest value is best. One that has room at once is preferred, then the
    /// one that is reserved already, which has the fewest unproven runs.
    pub(super) fn reservation_rank<'a>(
        &self,
        worker: &'a Worker,
        task: &TaskId,
        is_reserved: bool,
    ) -> (bool, bool, usize, &'a WorkerId) {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        let has_room =
            spec.is_some_and(|s| worker.free_for(task).contains(&demand(s)));
        (!has_room, !is_reserved, worker.runs.len(), worker.id())
    }

    /// Returns whether a worker may be reserved for a task under test: it can
    /// start there once the short tasks on the worker have ended.
    fn can_be_reserved(
        &self,
        worker: &Worker,
        task: &TaskId,
        now: Now,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let (Some(spec), Some(state)) = (job.step_spec(task), job.task(task))
        else {
            return false;
        };
        let wanted =
            self.required_stability(spec, state, &job.terms.pool, now);
        let most = spec.max_per_worker as usize;
        // A worker with reserved capacity would be closed to the task that was
        // stopped to use it.
        worker.is_usable()
            && !worker.has_reservations()
            && worker.free_soon_for(task).contains(&demand(spec))
            && !worker.has_suspects()
            && self.is_stable_enough(worker, wanted, now)
            && self.own_lease.covers_worker(worker)
            && state.in_doubt.allow(worker.id(), now, self)
            && (most == 0 || worker.runs_of_step(task) < most)
            && has_label(worker, &spec.required_label)
            && !self.is_denied(task, worker.id())
            && (spec.long_running || !state.avoid.contains(worker.id()))
    }

    /// Returns whether a worker is reserved for other tasks, or this task has
    /// to wait for a worker that is reserved for it.
    pub(super) fn is_reserved_for_others(
        &self,
        worker: &Worker,
        task: &TaskId,
        tested: bool,
        now: Now,
    ) -> bool {
        match self.reserved.get(worker.id()) {
            Some(kept_for) => !kept_for.allows(task, tested),
            None => {
                tested
                    && self.crash_bursts.is_active(&worker.listing.pool, now)
            }
        }
    }
}
