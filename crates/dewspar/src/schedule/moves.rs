/*!
Moves of tasks that are to last: a place first, then the stop.

A VM that is needed otherwise has to be left by the tasks that last on it. Such
a task is missing from the moment at which it doesn't run, and a worker takes
most of a second to stop it. So a worker that stays is chosen before the run is
told to stop, and room is *kept* on it: nothing else may use that room, neither
the next task that has to move nor a task of a queue's peak, until the task is
started there or doesn't need it any more.

A task without such a place stays at work where it is. Its pool is told what it
lacks, so that a VM comes first.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, Now, Room, Scheduler, WorkerId, board::demand,
            place::Candidate,
        },
    },
    std::collections::BTreeMap,
};

/// A task that is to go on elsewhere.
#[derive(Clone, Debug)]
struct PlannedMove {
    from: WorkerId,
    /// Where room is kept for it.
    to: WorkerId,
}

/// What becomes of a planned move.
enum Outlook {
    /// It goes on as planned.
    Good,
    /// The place is lost, and another is needed.
    PlaceLost,
    /// No place is needed any more.
    Over,
}

/// The tasks that are to go on elsewhere.
#[derive(Debug, Default)]
pub(super) struct TaskMoves {
    planned: BTreeMap<TaskId, PlannedMove>,
    /// What the tasks take together that should move but have no place, by
    /// pool.
    unplaced: BTreeMap<String, Room>,
}

impl TaskMoves {
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
        let spec = self.step_spec(task)?;
        let room = demand(spec);
        let Some(to) = self.place_for(task, now).cloned() else {
            self.note_unplaced(task, &room);
            return None;
        };
        self.workers.get_mut(&to)?.keep_for(*task, room);
        let planned = PlannedMove { from: from.clone(), to: to.clone() };
        self.moves.planned.insert(*task, planned);
        Some(to)
    }

    /// Stops a run whose task is to go on at `place`.
    pub(super) fn displace(
        &mut self,
        task: &TaskId,
        from: &WorkerId,
        place: Option<WorkerId>,
    ) {
        let worker = from.clone();
        self.note(Decision::Displaced { task: *task, worker, place });
        self.stop_run(task, from, "its VM is needed");
    }

    fn note_unplaced(&mut self, task: &TaskId, room: &Room) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let fits = job.step_spec(task).is_some_and(|s| self.fits_somewhere(s));
        if fits {
            let pool = job.terms.pool.clone();
            self.moves.unplaced.entry(pool).or_default().add(room);
        }
    }

    /// Forgets which tasks had no place, since they are looked at anew.
    pub(super) fn forget_unplaced(&mut self) {
        self.moves.unplaced.clear();
    }

    /// Returns how many VMs a pool needs so that the tasks can move that have
    /// no place; 0 if each has one.
    pub(super) fn need_for_moves(&self, pool: &str) -> u64 {
        let Some(unplaced) = self.moves.unplaced.get(pool) else { return 0 };
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
        let Some(planned) = self.moves.planned.remove(task) else { return };
        if let Some(worker) = self.workers.get_mut(&planned.to) {
            worker.release(task, now.steady_ms);
        }
    }

    /// Looks for another place where one is lost, and gives up those that
    /// nobody needs any more.
    pub(super) fn renew_places(&mut self, now: Now) {
        if self.moves.planned.is_empty() {
            return;
        }
        let planned: Vec<(TaskId, PlannedMove)> = self
            .moves
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
                    self.plan_move(&task, &planned.from, now);
                }
            }
        }
    }

    fn outlook(&self, task: &TaskId, planned: &PlannedMove) -> Outlook {
        let Some(job) = self.jobs.get(&task.job) else { return Outlook::Over };
        let waits = job
            .step(task)
            .is_some_and(|step| step.waiting.contains(&task.index));
        let leaves = self.workers.get(&planned.from).is_some_and(|worker| {
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
