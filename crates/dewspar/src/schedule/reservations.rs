/*!
Reservations of worker capacity for long-running tasks.

When a VM is needed for something else, the long-running tasks on it have to
move. Such a task is down from the moment at which it stops running, and a
worker takes most of a second to stop it. A target worker is therefore chosen
before the run is stopped, and capacity is *reserved* there. Nothing else may
use that capacity, neither the next task to move nor a task of a load peak,
until the task has started there or no longer needs it.

A task without a reservation keeps running where it is. The demand is reported
to its pool, so that the pool gets a VM first.

A waiting long-running task gets a reservation too, on a worker that will have
room once its short tasks have ended. Otherwise small tasks, which end one by
one, would take any capacity that becomes free before there is enough for a
large task, for as long as the peak lasts.
*/

use {
    self::{gang::GangTurns, outranked::PendingWaits},
    crate::{
        job::TaskId,
        schedule::{
            Decision, Now, Resources, Scheduler, WorkerId,
            job_state::demand,
            placement::{Candidate, RoomHorizon},
            worker::{ReservedRoom, Worker},
        },
    },
    std::collections::BTreeMap,
};

mod gang;
mod outranked;
mod search;

/// How long a task waits before capacity is reserved for it, in milliseconds.
/// Reserved capacity is idle meanwhile, and a task that starts in one of the
/// next scheduling passes needs no reservation.
const RESERVE_AFTER_MS: u64 = 200;

/// The interval between reviews of waiting tasks and reservations, in
/// milliseconds: a tenth of the duration of short tasks.
const REVIEW_INTERVAL_MS: u64 = 100;

/// The maximum number of searches for a worker in one review, since each
/// search goes through all workers of a pool. The next review continues with
/// the remaining tasks.
const MAX_SEARCHES_PER_REVIEW: usize = 16;

/// How long a worker may accept no starts, or not suit a task for another
/// transient reason, before its reservation counts as lost, in milliseconds.
/// This exceeds the time that a worker may take to answer a hold, which
/// resolves an order without an answer.
const UNFIT_GRACE_MS: u64 = 500;

/// Capacity reserved for one task.
#[derive(Clone, Debug)]
struct Reservation {
    /// The worker that the task must leave; `None` if the task was waiting.
    from: Option<WorkerId>,
    /// The worker on which capacity is reserved.
    to: WorkerId,
    /// Since when that worker hasn't suited the task; `None` while it does.
    unfit_since_ms: Option<u64>,
}

/// The state of a reservation.
enum ReservationState {
    /// The reservation stands.
    Valid,
    /// The task waits, and the reserved capacity isn't free yet.
    Pending,
    /// The worker is gone or no longer suits the task.
    Lost,
    /// The task no longer needs a reservation.
    Unneeded,
}

/// The combined demand of tasks, by pool.
type Unplaced = BTreeMap<String, Resources>;

/// All reservations.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_task: BTreeMap<TaskId, Reservation>,
    /// The demand of tasks that should move but for which their pool has no
    /// room.
    unplaced: Unplaced,
    reviewed_ms: u64,
    /// The step with which the next review continues, as its first waiting
    /// task.
    next_step: Option<TaskId>,
    /// The reservation with which the next review continues.
    next_reservation: Option<TaskId>,
    /// The turns of gangs with reservations.
    turns: GangTurns,
    /// How long individual tasks have waited for reserved capacity.
    pending_waits: PendingWaits,
}

impl Reservations {
    /// Returns the worker on which capacity is reserved for a task.
    pub(super) fn worker_for(&self, task: &TaskId) -> Option<&WorkerId> {
        self.by_task.get(task).map(|reservation| &reservation.to)
    }

    /// Returns whether capacity is reserved for any task of a step.
    pub(super) fn has_any_for(&self, step: &Candidate) -> bool {
        let first = step.first_task();
        let last = TaskId { index: u32::MAX, ..first };
        self.by_task.range(first..=last).next().is_some()
    }
}

impl Reservations {
    /// Returns the reservations of the other tasks of a task's step.
    pub(super) fn of_step(
        &self,
        task: &TaskId,
    ) -> impl Iterator<Item = (&TaskId, &WorkerId)> {
        let first = TaskId { index: 0, ..*task };
        let last = TaskId { index: u32::MAX, ..*task };
        let (own, others) = (*task, self.by_task.range(first..=last));
        let others = others.filter(move |(other, _)| **other != own);
        others.map(|(other, reservation)| (other, &reservation.to))
    }
}

impl Scheduler {
    /// Reserves capacity for a task that has to leave a worker. Returns the
    /// target worker once the capacity is free.
    ///
    /// In a peak of small tasks there is never enough free room for a large
    /// one. It then gets a reservation on a worker whose short tasks are
    /// ending, and keeps running until these have ended.
    pub(super) fn plan_move(
        &mut self,
        task: &TaskId,
        from: &WorkerId,
        now: Now,
    ) -> Option<WorkerId> {
        if self.is_long_running_gang(task) {
            return self.plan_gang_move(task, now);
        }
        if let Some(reservation) = self.reservations.by_task.get(task) {
            let to = reservation.to.clone();
            // The task would be down until the worker takes its start.
            let is_due = self.takes_another_start(&to, now)
                && self.claim_reserved_room(task, &to);
            return is_due.then_some(to);
        }
        if let Some(to) = self.best_worker_for(task, now).cloned() {
            self.reserve_room(task, Some(from.clone()), &to);
            return self.takes_another_start(&to, now).then_some(to);
        }
        if let Some(to) = self.worker_with_room_soon(task, now) {
            self.reserve_room(task, Some(from.clone()), &to);
        } else {
            self.record_unplaced(task);
        }
        None
    }

    /// Returns whether the capacity reserved for a task is free now. If so,
    /// marks it as secured against all other tasks.
    fn claim_reserved_room(&mut self, task: &TaskId, to: &WorkerId) -> bool {
        let Some(room) = self.step_spec(task).map(demand) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(to) else { return false };
        let is_free = worker.free_for(task).contains(&room);
        if is_free {
            worker.reserve_for(*task, ReservedRoom { room, was_free: true });
        }
        is_free
    }

    fn reserve_room(
        &mut self,
        task: &TaskId,
        from: Option<WorkerId>,
        to: &WorkerId,
    ) {
        let Some(room) = self.step_spec(task).map(demand) else { return };
        let Some(worker) = self.workers.get_mut(to) else { return };
        let was_free = worker.free().contains(&room);
        worker.reserve_for(*task, ReservedRoom { room, was_free });
        let reservation =
            Reservation { from, to: to.clone(), unfit_since_ms: None };
        self.reservations.by_task.insert(*task, reservation);
    }

    /// Renews the reservation of a task whose start has failed; tasks of
    /// queues with a higher priority would take the capacity otherwise.
    ///
    /// For a gang member the capacity is reserved however its run has ended.
    pub(super) fn reserve_again(
        &mut self,
        task: &TaskId,
        to: &WorkerId,
        now: Now,
    ) {
        if self.is_long_running_gang(task) {
            self.reserve_room_of_member(task, to, now);
            return;
        }
        let long_running =
            self.step_spec(task).is_some_and(|s| s.long_running);
        let waits = self.jobs.get(&task.job).is_some_and(|job| {
            let step = job.step(task);
            step.is_some_and(|step| step.waiting.contains(&task.index))
        });
        if long_running
            && waits
            && self.reservations.worker_for(task).is_none()
        {
            self.reserve_room(task, None, to);
        }
    }

    /// Stops a run whose task is to continue on the worker `place`.
    pub(super) fn displace(
        &mut self,
        task: &TaskId,
        from: &WorkerId,
        place: Option<WorkerId>,
        reason: &'static str,
    ) {
        let worker = from.clone();
        self.note(Decision::Displaced { task: *task, worker, place });
        self.stop_run(task, from, reason);
    }

    /// Records a task that should move but can't for lack of room. Other
    /// causes are not recorded, since an additional VM would not help with
    /// them.
    fn record_unplaced(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(spec) = job.step_spec(task) else { return };
        let room = demand(spec);
        if !self.fits_any_vm(spec) || self.has_room_soon(task) {
            return;
        }
        let pool = job.terms.pool.clone();
        self.reservations.unplaced.entry(pool).or_default().add(&room);
    }

    /// Returns whether some worker of a task's pool has room for it once short
    /// tasks have ended.
    pub(super) fn has_room_soon(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(spec) = job.step_spec(task) else { return false };
        let room = demand(spec);
        let most = spec.max_per_worker as usize;
        let mut workers = self.workers.in_pool(&job.terms.pool);
        workers.any(|(_, worker)| {
            worker.is_usable()
                && worker.free_soon_for(task).contains(&room)
                && (most == 0 || worker.runs_of_step(task) < most)
        })
    }

    /// Clears the record of tasks without room, before they are examined
    /// again.
    pub(super) fn clear_unplaced(&mut self) {
        self.reservations.unplaced.clear();
    }

    /// Reviews all reservations, and reserves capacity for long-running tasks
    /// that have waited for a while.
    pub(super) fn update_reservations(&mut self, now: Now) {
        if now.steady_ms < self.reservations.reviewed_ms + REVIEW_INTERVAL_MS {
            return;
        }
        self.reservations.reviewed_ms = now.steady_ms;
        self.review_reservations(now);
        self.review_gang_reservations(now);
        self.reserve_for_waiting(now);
    }

    /// Releases reservations that aren't needed, replaces those that are lost,
    /// and switches to workers that are free earlier.
    fn review_reservations(&mut self, now: Now) {
        let mut pending = Vec::new();
        let tasks = self.reservations.by_task.keys().copied();
        let singles = tasks.filter(|task| !self.is_long_running_gang(task));
        let singles: Vec<TaskId> = singles.collect();
        for task in singles {
            self.update_fitness(&task, now);
            match self.reservation_state(&task, now) {
                ReservationState::Valid => {}
                ReservationState::Pending => pending.push(task),
                ReservationState::Unneeded => {
                    self.release_reservation(&task, now)
                }
                ReservationState::Lost => self.replace_reservation(&task, now),
            }
        }
        let mut pending = self.release_outranked(pending, now);
        let next = self.reservations.next_reservation;
        let begin = pending.partition_point(|task| Some(*task) < next);
        pending.rotate_left(begin);
        self.reservations.next_reservation =
            pending.get(MAX_SEARCHES_PER_REVIEW).copied();
        for task in pending.into_iter().take(MAX_SEARCHES_PER_REVIEW) {
            self.switch_to_free_worker(&task, now);
        }
    }

    /// Reserves capacity on another worker for a task whose reservation is
    /// lost.
    fn replace_reservation(&mut self, task: &TaskId, now: Now) {
        let Some(reservation) = self.reservations.by_task.get(task).cloned()
        else {
            return;
        };
        self.release_reservation(task, now);
        let worker = self.best_worker_for(task, now).cloned();
        let worker = worker.or_else(|| self.worker_with_room_soon(task, now));
        if let Some(to) = worker {
            self.reserve_room(task, reservation.from, &to);
        }
    }

    /// Moves a pending reservation to a worker that has room now.
    fn switch_to_free_worker(&mut self, task: &TaskId, now: Now) {
        let reservation = self.reservations.by_task.get(task);
        let Some(from) =
            reservation.map(|reservation| reservation.from.clone())
        else {
            return;
        };
        if let Some(to) = self.best_worker_for(task, now).cloned() {
            self.release_reservation(task, now);
            self.reserve_room(task, from, &to);
        }
    }

    /// Reserves capacity for long-running tasks that have waited for a while.
    fn reserve_for_waiting(&mut self, now: Now) {
        let mut steps = self.waiting_long_running_steps();
        // The sort is stable: nearly no step has had a turn, and those without
        // one keep their order.
        steps.sort_by_key(|step| self.reservations.turns.last_ms(step));
        let next = self.reservations.next_step.take();
        let is_next = |step: &TaskId| {
            next.is_some_and(|n| TaskId { index: n.index, ..*step } == n)
        };
        let begin = steps.iter().position(is_next).unwrap_or(0);
        steps.rotate_left(begin);
        let mut tries = MAX_SEARCHES_PER_REVIEW;
        for step in steps {
            let is_gang = self.is_long_running_gang(&step);
            if is_gang && !self.may_have_turn(&step, now) {
                continue;
            }
            let tasks = self.tasks_to_reserve_for(&step, now);
            if is_gang {
                if tries == 0 {
                    self.reservations.next_step = Some(step);
                    return;
                }
                let searches = self.reserve_for_gang(&tasks, now);
                tries = tries.saturating_sub(searches);
                continue;
            }
            for task in tasks {
                if tries == 0 {
                    self.reservations.next_step = Some(step);
                    return;
                }
                tries -= 1;
                if let Some(to) = self.worker_with_room_soon(&task, now) {
                    self.reserve_room(&task, None, &to);
                } else if !self.needs_own_placement(&task) {
                    // The other tasks of the step can't be placed either.
                    break;
                }
            }
        }
    }

    /// Returns the tasks of a waiting step that could start and have waited
    /// without a reservation.
    fn tasks_to_reserve_for(&self, first: &TaskId, now: Now) -> Vec<TaskId> {
        let job = self.jobs.get(&first.job);
        let (Some(job), Some(step), Some(spec)) = (
            job,
            job.and_then(|job| job.step(first)),
            job.and_then(|job| job.step_spec(first)),
        ) else {
            return Vec::new();
        };
        let waited_ms = now.steady_ms.saturating_sub(step.ready_ms);
        let may_start = waited_ms >= RESERVE_AFTER_MS
            && !self.may_run_from_former_lease(job, spec, now);
        if !may_start {
            return Vec::new();
        }
        let waiting = step.waiting.iter();
        let tasks = waiting.map(|index| TaskId { index: *index, ..*first });
        tasks
            .filter(|task| self.reservations.worker_for(task).is_none())
            .filter(|task| !self.reservations.pending_waits.is_deferred(task))
            .filter(|task| self.may_start_as_recorded(job, task))
            .collect()
    }

    /// Returns the worker that is expected to have room for a task first: the
    /// emptiest of the workers on which long-running tasks leave enough
    /// capacity.
    fn worker_with_room_soon(
        &self,
        task: &TaskId,
        now: Now,
    ) -> Option<WorkerId> {
        let spec = self.step_spec(task)?;
        let soon = RoomHorizon::AfterShortTasks;
        let stays =
            |worker: &Worker| !self.awaits_maintenance(&worker.listing.vm);
        let spread = self.step_spread(spec, task);
        let spreads = |worker: &Worker| {
            let hall = &worker.listing.hall;
            spread.as_ref().is_none_or(|spread| spread.has_share(hall))
        };
        let workers = self.suitable_with_numbers(spec, task, soon, now);
        let best = workers.map(|(_, worker)| worker).max_by_key(|worker| {
            let free = worker.free().cpu_millis;
            (stays(worker), spreads(worker), free, worker.id())
        });
        best.map(|worker| worker.id().clone())
    }

    /// Returns whether a task has a reservation whose capacity isn't free yet.
    pub(super) fn waits_for_reserved_room(
        &self,
        task: &TaskId,
        demand: &Resources,
    ) -> bool {
        let Some(reservation) = self.reservations.by_task.get(task) else {
            return false;
        };
        let worker = self.workers.get(&reservation.to);
        worker.is_some_and(|w| !w.free_for(task).contains(demand))
    }

    /// Returns the number of VMs that a pool needs to place all tasks that
    /// should move; 0 if each of them has room.
    pub(super) fn vms_needed_for_unplaced(&self, pool: &str) -> u64 {
        let Some(unplaced) = self.reservations.unplaced.get(pool) else {
            return 0;
        };
        let mut vm = Resources::default();
        for room in &self.capacities {
            vm.cpu_millis = vm.cpu_millis.max(room.cpu_millis);
            vm.memory_mb = vm.memory_mb.max(room.memory_mb);
            vm.gpus = vm.gpus.max(room.gpus);
        }
        let vms = [
            unplaced.cpu_millis.div_ceil(vm.cpu_millis.max(1)),
            unplaced.memory_mb.div_ceil(vm.memory_mb.max(1)),
            unplaced.gpus.div_ceil(vm.gpus.max(1)),
        ];
        let more = vms.into_iter().max().unwrap_or(0).max(1);
        self.pool_load(pool).workers() + more
    }

    /// Releases the reservation of a task, if it has one.
    pub(super) fn release_reservation(&mut self, task: &TaskId, now: Now) {
        let Some(reservation) = self.reservations.by_task.remove(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&reservation.to) {
            worker.release(task, now.steady_ms);
        }
    }

    /// Updates since when the worker of a reservation hasn't suited the task.
    fn update_fitness(&mut self, task: &TaskId, now: Now) {
        let reservation = self.reservations.by_task.get(task);
        let spec = self.step_spec(task);
        let (Some(reservation), Some(spec)) = (reservation, spec) else {
            return;
        };
        let fits = self.workers.get(&reservation.to).is_some_and(|worker| {
            self.suits(spec, task, RoomHorizon::AfterShortTasks, now)(worker)
        });
        let since_ms = reservation.unfit_since_ms.unwrap_or(now.steady_ms);
        if let Some(reservation) = self.reservations.by_task.get_mut(task) {
            reservation.unfit_since_ms = (!fits).then_some(since_ms);
        }
    }

    fn reservation_state(&self, task: &TaskId, now: Now) -> ReservationState {
        let reservation = self.reservations.by_task.get(task);
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        let (Some(reservation), Some(job), Some(spec)) =
            (reservation, job, spec)
        else {
            return ReservationState::Unneeded;
        };
        let waits = job
            .step(task)
            .is_some_and(|step| step.waiting.contains(&task.index));
        let leaves = reservation.from.as_ref().is_some_and(|from| {
            self.workers.get(from).is_some_and(|w| must_leave(task, w))
        });
        if job.phase.is_final() || !(waits || leaves) {
            return ReservationState::Unneeded;
        }
        let unfit = reservation.unfit_since_ms.is_some_and(|since_ms| {
            now.steady_ms >= since_ms + UNFIT_GRACE_MS
        });
        let worker = self.workers.get(&reservation.to);
        let Some(worker) = worker.filter(|worker| {
            worker.is_usable()
                && worker.listing.pool == job.terms.pool
                && worker.free_soon_for(task).contains(&demand(spec))
                && !unfit
        }) else {
            return ReservationState::Lost;
        };
        if waits && !worker.free_for(task).contains(&demand(spec)) {
            ReservationState::Pending
        } else {
            ReservationState::Valid
        }
    }
}

/// Returns whether a task still runs on a worker that it must leave.
fn must_leave(task: &TaskId, worker: &Worker) -> bool {
    let leaves = worker.must_be_vacated();
    worker.runs.get(task).is_some_and(|run| run.is_stopping() || leaves)
}
