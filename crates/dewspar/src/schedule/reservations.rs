/*!
Places that are kept for tasks that are to last.

A VM that is needed otherwise has to be left by the tasks that last on it. Such
a task is missing from the moment at which it doesn't run, and a worker takes
most of a second to stop it. So a worker that stays is chosen before the run is
told to stop, and room is *kept* on it: nothing else may use that room, neither
the next task that has to move nor a task of a queue's peak, until the task is
started there or doesn't need it any more.

A task without such a place stays at work where it is. Its pool is told what it
lacks, so that a VM comes first.

One that waits has a place kept too, where there is room for it once the short
tasks are over that run there. Else small ones, which end one by one, would take
each room that becomes free before there is enough for a large one, for as long
as a peak goes on.
*/

use {
    self::{gang::GangTurns, outranked::Patience},
    crate::{
        job::TaskId,
        schedule::{
            Decision, Now, Resources, Scheduler, WorkerId,
            job_state::demand,
            placement::{Candidate, RoomFrom},
            worker::{Kept, Worker},
        },
    },
    std::collections::BTreeMap,
};

mod gang;
mod outranked;
mod search;

/// How long a task waits before a place is kept for it, in milliseconds: what is
/// kept is used by nobody meanwhile, and a task that starts with one of the next
/// plans needs none.
const KEPT_AFTER_MS: u64 = 200;

/// How often it is looked which tasks wait and how the kept places are, in
/// milliseconds: a tenth of what short tasks take.
const LOOK_INTERVAL_MS: u64 = 100;

/// For how many tasks a look seeks a place, since each search goes through all
/// workers of a pool. The next look goes on with the others.
const SOUGHT_A_LOOK: usize = 16;

/// How long a worker may take no orders, or not suit a task for some other
/// passing reason, before its place counts as lost, in milliseconds: longer than
/// a worker may wait before it answers a question, which clears up an order
/// without an answer.
const UNFIT_MS: u64 = 500;

/// A task for which room is kept.
#[derive(Clone, Debug)]
struct PlannedStart {
    /// The worker that it is to leave; `None` for one that waited before.
    from: Option<WorkerId>,
    /// Where room is kept for it.
    to: WorkerId,
    /// Since when that worker hasn't suited it; `None` while it does.
    unfit_since_ms: Option<u64>,
}

/// What becomes of a planned start.
enum Outlook {
    /// It goes on as planned.
    Good,
    /// The task waits, and its room isn't free yet.
    NotYetFree,
    /// The place is lost or doesn't suit any more.
    PlaceLost,
    /// No place is needed any more.
    Over,
}

/// What tasks take together, by pool.
type Unplaced = BTreeMap<String, Resources>;

/// The places that are kept.
#[derive(Debug, Default)]
pub(super) struct KeptPlaces {
    planned: BTreeMap<TaskId, PlannedStart>,
    /// The tasks that should move, but for which their pools have no room.
    unplaced: Unplaced,
    looked_at_ms: u64,
    /// The step with which the next look goes on, by its first waiting task.
    next_step: Option<TaskId>,
    /// The planned start with which the next look goes on.
    next_planned: Option<TaskId>,
    /// The gangs among those that have places kept.
    turns: GangTurns,
    /// How long single tasks have waited for their places.
    patience: Patience,
}

impl KeptPlaces {
    /// Returns where room is kept for a task.
    pub(super) fn place_of(&self, task: &TaskId) -> Option<&WorkerId> {
        self.planned.get(task).map(|planned| &planned.to)
    }

    /// Returns whether room is kept for some task of a step.
    pub(super) fn has_some_of(&self, step: &Candidate) -> bool {
        let first = step.first_task();
        let last = TaskId { index: u32::MAX, ..first };
        self.planned.range(first..=last).next().is_some()
    }
}

impl Scheduler {
    /// Keeps a place for a task that has to leave a worker; returns it once
    /// there is room.
    ///
    /// In a peak of small tasks there never is room for a large one at once, so
    /// it gets a place where short ones run out, and stays at work until then.
    pub(super) fn plan_move(
        &mut self,
        task: &TaskId,
        from: &WorkerId,
        now: Now,
    ) -> Option<WorkerId> {
        if self.is_lasting_gang(task) {
            return self.plan_gang_move(task, now);
        }
        if let Some(planned) = self.places.planned.get(task) {
            let to = planned.to.clone();
            return self.take_kept_room(task, &to).then_some(to);
        }
        if let Some(to) = self.place_for(task, now).cloned() {
            self.keep_place(task, Some(from.clone()), &to);
            return Some(to);
        }
        if let Some(to) = self.place_soon(task, now) {
            self.keep_place(task, Some(from.clone()), &to);
        } else {
            self.note_unplaced(task);
        }
        None
    }

    /// Returns whether the room that is kept for a task is there now, and lets
    /// nobody else have it from now on.
    fn take_kept_room(&mut self, task: &TaskId, to: &WorkerId) -> bool {
        let Some(room) = self.step_spec(task).map(demand) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(to) else { return false };
        let is_free = worker.free_for(task).contains(&room);
        if is_free {
            worker.keep_for(*task, Kept { room, was_free: true });
        }
        is_free
    }

    fn keep_place(
        &mut self,
        task: &TaskId,
        from: Option<WorkerId>,
        to: &WorkerId,
    ) {
        let Some(room) = self.step_spec(task).map(demand) else { return };
        let Some(worker) = self.workers.get_mut(to) else { return };
        let was_free = worker.free().contains(&room);
        worker.keep_for(*task, Kept { room, was_free });
        let planned =
            PlannedStart { from, to: to.clone(), unfit_since_ms: None };
        self.places.planned.insert(*task, planned);
    }

    /// Keeps the place of a task whose start has come to nothing: else the
    /// tasks of a queue that goes first would take it.
    ///
    /// Members of gangs keep their room however their run has ended.
    pub(super) fn keep_place_again(
        &mut self,
        task: &TaskId,
        to: &WorkerId,
        now: Now,
    ) {
        if self.is_lasting_gang(task) {
            self.keep_room_of_member(task, to, now);
            return;
        }
        let lasts = self.step_spec(task).is_some_and(|s| s.long_running);
        let waits = self.jobs.get(&task.job).is_some_and(|job| {
            let step = job.step(task);
            step.is_some_and(|step| step.waiting.contains(&task.index))
        });
        if lasts && waits && self.places.place_of(task).is_none() {
            self.keep_place(task, None, to);
        }
    }

    /// Stops a run whose task is to go on at `place`.
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

    /// Notes that a task that should move has no place for want of room: a VM
    /// that comes would only help with that.
    fn note_unplaced(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(spec) = job.step_spec(task) else { return };
        let room = demand(spec);
        let most = spec.max_per_worker as usize;
        let has_room = |worker: &Worker| {
            worker.is_usable()
                && worker.free_soon_for(task).contains(&room)
                && (most == 0 || worker.runs_of_step(task) < most)
        };
        let pool = job.terms.pool.as_str();
        let mut workers = self.workers.in_pool(pool);
        if !self.fits_somewhere(spec) || workers.any(|(_, w)| has_room(w)) {
            return;
        }
        let pool = pool.to_owned();
        self.places.unplaced.entry(pool).or_default().add(&room);
    }

    /// Forgets which tasks that should move had no place, since they are
    /// looked at anew.
    pub(super) fn forget_unplaced(&mut self) {
        self.places.unplaced.clear();
    }

    /// Looks at the places that are kept, and keeps some for tasks that are to
    /// last and have waited for a while.
    pub(super) fn keep_places(&mut self, now: Now) {
        if now.steady_ms < self.places.looked_at_ms + LOOK_INTERVAL_MS {
            return;
        }
        self.places.looked_at_ms = now.steady_ms;
        self.review_places(now);
        self.review_gangs(now);
        self.keep_for_waiting(now);
    }

    /// Gives up the places that nobody needs or that suit no more, and takes
    /// others that are there first.
    fn review_places(&mut self, now: Now) {
        let mut not_yet_free = Vec::new();
        let tasks = self.places.planned.keys().copied();
        let singles = tasks.filter(|task| !self.is_lasting_gang(task));
        let singles: Vec<TaskId> = singles.collect();
        for task in singles {
            self.note_fitness(&task, now);
            match self.outlook(&task, now) {
                Outlook::Good => {}
                Outlook::NotYetFree => not_yet_free.push(task),
                Outlook::Over => self.release_place(&task, now),
                Outlook::PlaceLost => self.replace_place(&task, now),
            }
        }
        let mut not_yet_free = self.give_up_outranked(not_yet_free, now);
        let next = self.places.next_planned;
        let begin = not_yet_free.partition_point(|task| Some(*task) < next);
        not_yet_free.rotate_left(begin);
        self.places.next_planned = not_yet_free.get(SOUGHT_A_LOOK).copied();
        for task in not_yet_free.into_iter().take(SOUGHT_A_LOOK) {
            self.take_free_place(&task, now);
        }
    }

    /// Seeks another place for a task that has lost its one.
    fn replace_place(&mut self, task: &TaskId, now: Now) {
        let Some(planned) = self.places.planned.get(task).cloned() else {
            return;
        };
        self.release_place(task, now);
        let place = self.place_for(task, now).cloned();
        let place = place.or_else(|| self.place_soon(task, now));
        if let Some(to) = place {
            self.keep_place(task, planned.from, &to);
        }
    }

    /// Takes a place that is free now instead of one that will be.
    fn take_free_place(&mut self, task: &TaskId, now: Now) {
        let planned = self.places.planned.get(task);
        let Some(from) = planned.map(|planned| planned.from.clone()) else {
            return;
        };
        if let Some(to) = self.place_for(task, now).cloned() {
            self.release_place(task, now);
            self.keep_place(task, from, &to);
        }
    }

    /// Keeps places for tasks that are to last and have waited for a while.
    fn keep_for_waiting(&mut self, now: Now) {
        let mut steps = self.waiting_long_steps();
        // Stable: nearly none had a turn, and these keep their order.
        steps.sort_by_key(|step| self.places.turns.last_ms(step));
        let next = self.places.next_step.take();
        let is_next = |step: &TaskId| {
            next.is_some_and(|n| TaskId { index: n.index, ..*step } == n)
        };
        let begin = steps.iter().position(is_next).unwrap_or(0);
        steps.rotate_left(begin);
        let mut tries = SOUGHT_A_LOOK;
        for step in steps {
            let is_gang = self.is_lasting_gang(&step);
            if is_gang && !self.may_have_turn(&step, now) {
                continue;
            }
            let tasks = self.tasks_without_place(&step, now);
            if is_gang {
                if tries == 0 {
                    self.places.next_step = Some(step);
                    return;
                }
                let searches = self.keep_for_gang(&tasks, now);
                tries = tries.saturating_sub(searches);
                continue;
            }
            for task in tasks {
                if tries == 0 {
                    self.places.next_step = Some(step);
                    return;
                }
                tries -= 1;
                if let Some(to) = self.place_soon(&task, now) {
                    self.keep_place(&task, None, &to);
                } else if !self.has_own_place(&task) {
                    // The others of the step find none either.
                    break;
                }
            }
        }
    }

    /// Returns the tasks of a waiting step that could start and have waited
    /// without a place.
    fn tasks_without_place(&self, first: &TaskId, now: Now) -> Vec<TaskId> {
        let job = self.jobs.get(&first.job);
        let (Some(job), Some(step), Some(spec)) = (
            job,
            job.and_then(|job| job.step(first)),
            job.and_then(|job| job.step_spec(first)),
        ) else {
            return Vec::new();
        };
        let waited_ms = now.steady_ms.saturating_sub(step.ready_ms);
        let may_start = waited_ms >= KEPT_AFTER_MS
            && !self.is_unaccounted_for(job, spec, now);
        if !may_start {
            return Vec::new();
        }
        let waiting = step.waiting.iter();
        let tasks = waiting.map(|index| TaskId { index: *index, ..*first });
        tasks
            .filter(|task| self.places.place_of(task).is_none())
            .filter(|task| !self.places.patience.is_put_off(task))
            .filter(|task| self.is_on_record(job, task))
            .collect()
    }

    /// Returns the worker on which there is room for a task first, as far as
    /// that can be told: the emptiest of those whose tasks that are to last
    /// leave enough.
    fn place_soon(&self, task: &TaskId, now: Now) -> Option<WorkerId> {
        let spec = self.step_spec(task)?;
        let soon = RoomFrom::Soon;
        let stays =
            |worker: &Worker| !self.awaits_maintenance(&worker.listing.vm);
        let workers = self.suitable_numbers(spec, task, soon, now);
        let best = workers.map(|(_, worker)| worker).max_by_key(|worker| {
            (stays(worker), worker.free().cpu_millis, worker.id())
        });
        best.map(|worker| worker.id().clone())
    }

    /// Returns whether a task waits for room that is kept for it and isn't
    /// free yet.
    pub(super) fn waits_for_kept_room(
        &self,
        task: &TaskId,
        demand: &Resources,
    ) -> bool {
        let Some(planned) = self.places.planned.get(task) else {
            return false;
        };
        let place = self.workers.get(&planned.to);
        place.is_some_and(|p| !p.free_for(task).contains(demand))
    }

    /// Returns how many VMs a pool needs so that its tasks that should move and
    /// have no place get one; 0 if each has one.
    pub(super) fn need_for_unplaced(&self, pool: &str) -> u64 {
        let Some(unplaced) = self.places.unplaced.get(pool) else { return 0 };
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

    /// Gives the place up that is kept for a task, if there is one.
    pub(super) fn release_place(&mut self, task: &TaskId, now: Now) {
        let Some(planned) = self.places.planned.remove(task) else { return };
        if let Some(worker) = self.workers.get_mut(&planned.to) {
            worker.release(task, now.steady_ms);
        }
    }

    /// Notes since when the worker that keeps a place hasn't suited its task.
    fn note_fitness(&mut self, task: &TaskId, now: Now) {
        let planned = self.places.planned.get(task);
        let spec = self.step_spec(task);
        let (Some(planned), Some(spec)) = (planned, spec) else { return };
        let fits = self.workers.get(&planned.to).is_some_and(|worker| {
            self.suits(spec, task, RoomFrom::Soon, now)(worker)
        });
        let since_ms = planned.unfit_since_ms.unwrap_or(now.steady_ms);
        if let Some(planned) = self.places.planned.get_mut(task) {
            planned.unfit_since_ms = (!fits).then_some(since_ms);
        }
    }

    fn outlook(&self, task: &TaskId, now: Now) -> Outlook {
        let planned = self.places.planned.get(task);
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        let (Some(planned), Some(job), Some(spec)) = (planned, job, spec)
        else {
            return Outlook::Over;
        };
        let waits = job
            .step(task)
            .is_some_and(|step| step.waiting.contains(&task.index));
        let leaves = planned.from.as_ref().is_some_and(|from| {
            self.workers.get(from).is_some_and(|w| is_to_leave(task, w))
        });
        if job.phase.is_final() || !(waits || leaves) {
            return Outlook::Over;
        }
        let unfit = planned
            .unfit_since_ms
            .is_some_and(|since_ms| now.steady_ms >= since_ms + UNFIT_MS);
        let place = self.workers.get(&planned.to);
        let Some(place) = place.filter(|worker| {
            worker.is_usable()
                && worker.listing.pool == job.terms.pool
                && worker.free_soon_for(task).contains(&demand(spec))
                && !unfit
        }) else {
            return Outlook::PlaceLost;
        };
        if waits && !place.free_for(task).contains(&demand(spec)) {
            Outlook::NotYetFree
        } else {
            Outlook::Good
        }
    }
}

/// Returns whether a task still runs on a worker that it is to leave.
fn is_to_leave(task: &TaskId, worker: &Worker) -> bool {
    let leaves = worker.emptying.is_some() || worker.is_about_to_end();
    worker.runs.get(task).is_some_and(|run| run.is_stopping() || leaves)
}
