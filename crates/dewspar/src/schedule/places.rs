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
    crate::{
        job::TaskId,
        schedule::{
            Decision, Now, Room, Scheduler, WorkerId,
            board::demand,
            place::{Candidate, RoomFrom},
            worker::{Kept, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// How long a task waits before a place is kept for it, in milliseconds: most
/// find one with the next few ends, and what is kept is used by nobody.
const KEPT_AFTER_MS: u64 = 200;

/// How often it is looked which tasks wait, in milliseconds: a tenth of what
/// short tasks take.
const LOOK_INTERVAL_MS: u64 = 100;

/// For how many tasks a look seeks a place, since each goes through a pool.
const KEPT_A_LOOK: usize = 8;

/// A task for which room is kept.
#[derive(Clone, Debug)]
struct PlannedStart {
    /// The worker that it is to leave; `None` for one that waits.
    from: Option<WorkerId>,
    /// Where room is kept for it.
    to: WorkerId,
}

/// What becomes of a planned start.
enum Outlook {
    /// It goes on as planned.
    Good,
    /// The place is lost, and another is needed.
    PlaceLost,
    /// No place is needed any more.
    Over,
}

/// What tasks take together, by pool.
type Unplaced = BTreeMap<String, Room>;

/// The places that are kept.
#[derive(Debug, Default)]
pub(super) struct KeptPlaces {
    planned: BTreeMap<TaskId, PlannedStart>,
    /// The tasks that should move but have no place.
    unplaced_moves: Unplaced,
    /// The tasks that wait and have no place.
    unplaced_waiting: Unplaced,
    /// When it was last looked which tasks wait.
    looked_at_ms: u64,
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
    /// Keeps a place for a task that has to leave a worker, and returns it;
    /// `None` if there is none.
    pub(super) fn plan_move(
        &mut self,
        task: &TaskId,
        from: &WorkerId,
        now: Now,
    ) -> Option<WorkerId> {
        let Some(to) = self.place_for(task, now).cloned() else {
            if let Some((pool, room)) = self.room_wanted(task) {
                let unplaced = &mut self.places.unplaced_moves;
                unplaced.entry(pool).or_default().add(&room);
            }
            return None;
        };
        self.keep_place(task, Some(from.clone()), &to);
        Some(to)
    }

    fn keep_place(
        &mut self,
        task: &TaskId,
        from: Option<WorkerId>,
        to: &WorkerId,
    ) {
        let Some(room) = self.step_spec(task).map(demand) else { return };
        let Some(worker) = self.workers.get_mut(to) else { return };
        let was_free = worker.free().holds(&room);
        worker.keep_for(*task, Kept { room, was_free });
        let planned = PlannedStart { from, to: to.clone() };
        self.places.planned.insert(*task, planned);
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

    /// Returns what a task without a place wants of which pool, if some VM
    /// could hold it.
    fn room_wanted(&self, task: &TaskId) -> Option<(String, Room)> {
        let job = self.jobs.get(&task.job)?;
        let spec = job.step_spec(task)?;
        let fits = self.fits_somewhere(spec);
        fits.then(|| (job.terms.pool.clone(), demand(spec)))
    }

    /// Forgets which tasks that should move had no place, since they are
    /// looked at anew.
    pub(super) fn forget_unplaced_moves(&mut self) {
        self.places.unplaced_moves.clear();
    }

    /// Keeps places for tasks that are to last and have waited for a while.
    pub(super) fn keep_places(&mut self, now: Now) {
        if now.steady_ms < self.places.looked_at_ms + LOOK_INTERVAL_MS {
            return;
        }
        self.places.looked_at_ms = now.steady_ms;
        self.give_up_unfit_places(now);
        let mut unplaced = Unplaced::new();
        for task in self.tasks_without_place(now) {
            if let Some(to) = self.place_soon(&task, now) {
                self.keep_place(&task, None, &to);
            } else if let Some((pool, room)) = self.room_wanted(&task) {
                unplaced.entry(pool).or_default().add(&room);
            }
        }
        self.places.unplaced_waiting = unplaced;
    }

    /// Gives up what is kept for tasks that wait on workers that don't suit
    /// them any more, such as one on which they have failed since.
    fn give_up_unfit_places(&mut self, now: Now) {
        let waiting = self.places.planned.iter();
        let waiting = waiting.filter(|(_, planned)| planned.from.is_none());
        let unfit: Vec<TaskId> = waiting
            .filter(|(task, planned)| !self.suits_soon(task, &planned.to, now))
            .map(|(task, _)| *task)
            .collect();
        for task in unfit {
            self.release_place(&task, now);
        }
    }

    /// Returns whether a worker suits a task once all is over there that isn't
    /// to last.
    fn suits_soon(&self, task: &TaskId, id: &WorkerId, now: Now) -> bool {
        self.step_spec(task).is_some_and(|spec| {
            let soon = RoomFrom::Soon;
            let mut workers = self.suitable_numbers(spec, task, soon, now);
            workers.any(|(_, worker)| worker.id() == id)
        })
    }

    /// Returns some tasks that are to last, could start and have waited
    /// without a place.
    fn tasks_without_place(&self, now: Now) -> Vec<TaskId> {
        let steps = self.waiting_long_steps();
        let tasks = steps.into_iter().filter_map(|first| {
            let job = self.jobs.get(&first.job)?;
            let step = job.step(&first)?;
            let spec = job.step_spec(&first)?;
            let waited_ms = now.steady_ms.saturating_sub(step.ready_ms);
            let may_start = waited_ms >= KEPT_AFTER_MS
                && !spec.gang
                && job.terms.advice.is_none()
                && !self.is_unaccounted_for(job, spec, now);
            may_start.then_some((job, step, first))
        });
        let tasks = tasks.flat_map(|(job, step, first)| {
            let waiting = step.waiting.iter();
            waiting
                .map(move |index| TaskId { index: *index, ..first })
                .filter(|task| self.places.place_of(task).is_none())
                .filter(|task| self.is_on_record(job, task))
        });
        tasks.take(KEPT_A_LOOK).collect()
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
        demand: &Room,
    ) -> bool {
        let Some(planned) = self.places.planned.get(task) else {
            return false;
        };
        let place = self.workers.get(&planned.to);
        planned.from.is_none()
            && place.is_some_and(|p| !p.free_for(task).holds(demand))
    }

    /// Returns how many VMs a pool needs so that its tasks that are to last
    /// and have no place get one; 0 if each has one.
    pub(super) fn need_for_unplaced(&self, pool: &str) -> u64 {
        let KeptPlaces { unplaced_moves, unplaced_waiting, .. } = &self.places;
        let all = [unplaced_moves.get(pool), unplaced_waiting.get(pool)];
        let mut unplaced = Room::default();
        for room in all.into_iter().flatten() {
            unplaced.add(room);
        }
        if unplaced == Room::default() {
            return 0;
        }
        let mut vm = Room::default();
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

    /// Looks for another place where one is lost, and gives up those that
    /// nobody needs any more.
    pub(super) fn renew_places(&mut self, now: Now) {
        if self.places.planned.is_empty() {
            return;
        }
        let planned: Vec<(TaskId, PlannedStart)> = self
            .places
            .planned
            .iter()
            .map(|(task, planned)| (*task, planned.clone()))
            .collect();
        for (task, planned) in planned {
            match self.outlook(&task, &planned) {
                Outlook::Good => {}
                Outlook::Over => self.release_place(&task, now),
                Outlook::PlaceLost => {
                    self.release_place(&task, now);
                    if let Some(from) = &planned.from {
                        self.plan_move(&task, from, now);
                    }
                }
            }
        }
    }

    fn outlook(&self, task: &TaskId, planned: &PlannedStart) -> Outlook {
        let Some(job) = self.jobs.get(&task.job) else { return Outlook::Over };
        let waits = job
            .step(task)
            .is_some_and(|step| step.waiting.contains(&task.index));
        let from = planned.from.as_ref();
        let from = from.and_then(|from| self.workers.get(from));
        let leaves = from.is_some_and(|worker| {
            worker.runs.get(task).is_some_and(|run| run.is_stopping())
        });
        if job.phase.is_final() || !(waits || leaves) {
            return Outlook::Over;
        }
        let place = self.workers.get(&planned.to);
        if place.is_some_and(|worker| worker.is_usable()) {
            Outlook::Good
        } else {
            Outlook::PlaceLost
        }
    }
}
