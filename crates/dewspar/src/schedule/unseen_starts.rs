/*!
Starts whose outcome no holder observed.

A holder that is lost right after it has ordered a start can't tell whether the
task crashed its worker. Recording every start would cost one write per start.
But few tasks wait at a takeover, and they include all tasks whose last start
had no observed end. So only the starts of these tasks are recorded before they
are ordered, with the worker that receives the order (see
[`write_ahead`](super::write_ahead)). A holder that finds such a record checks
the worker:

- It runs the task: the start is accounted for.
- It answers and doesn't run the task: the order never arrived, or the run has
  ended.
- It is gone, or another process has taken its place: it was lost soon after
  the start, since a record is cleared once the run lives on. That counts like
  a crash that a holder has seen. The start before the first recorded one
  counts as well, since it left no record.

If a worker is gone before it has reported its runs, nothing is known of the
starts that came before any record. So each task that waited in that pool at
the takeover counts as started once per such worker, twice at most, and its
next start waits until that is stored.

A worker is also gone if the previous holder had taken its VM down to move or
maintain it. Such a worker was empty, since a VM is only ordered to change once
nothing runs there, so its absence says nothing about any task. The VM list
shows what the VM is doing, and the record of ordered changes names it once it
is back.
*/

use crate::{
    job::{JobId, Progress, TaskId, TaskRecord},
    schedule::{
        Decision, Incarnation, Now, Scheduler, VmStatus, WorkerId,
        job_state::{Job, Task},
        processes::IncarnationOrder,
        suspects::{CrashHistory, LostRuns},
        worker::Worker,
    },
};

/// For how long after a hall was lost a worker that is missing may have been
/// part of it, in milliseconds: several takeovers.
const RECENT_HALL_LOSS_MS: u64 = 30_000;

/// How many starts of a task count at most for workers that were lost before
/// they had answered. A holder starts nothing of a task whose second crash
/// isn't stored.
const MAX_UNSEEN: u32 = 2;

/// The outcome of a recorded start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// Its worker hasn't answered yet.
    Pending,
    /// It can't be determined in time.
    Unknown,
    /// The run is on the worker on which it was started.
    Found,
    /// There is no such run.
    NotRunning,
    /// Its worker is gone.
    Crashed,
}

/// A recorded start, with the process that was ordered to run it.
#[derive(Debug)]
pub(super) struct RecordedStart {
    worker: WorkerId,
    process: Incarnation,
}

impl RecordedStart {
    pub(super) fn of(worker: WorkerId, process: Incarnation) -> RecordedStart {
        RecordedStart { worker, process }
    }
}

/// A worker that was lost before it had reported its runs to this holder.
#[derive(Debug)]
pub(super) struct UnsyncedLoss {
    pub(super) pool: String,
    /// The VM; empty if the worker doesn't name it.
    vm: String,
}

impl UnsyncedLoss {
    pub(super) fn of(worker: &Worker) -> UnsyncedLoss {
        let listing = &worker.listing;
        UnsyncedLoss { pool: listing.pool.clone(), vm: listing.vm.clone() }
    }
}

impl Scheduler {
    /// Remembers which workers previous holders told to start tasks of a job.
    pub(super) fn note_recorded_starts(
        &mut self,
        id: JobId,
        progress: &Progress,
    ) {
        for record in progress.tasks.iter().filter(|record| !record.done) {
            let TaskRecord { round, step, index, .. } = *record;
            let told = record.told.as_ref().filter(|told| !told.is_empty());
            let Some(told) = told else { continue };
            let task = TaskId { job: id, round, step, index };
            let born = record.told_born_unix_ms;
            let process =
                born.map_or(Incarnation::UNKNOWN, Incarnation::started_at);
            let start = RecordedStart::of(WorkerId::new(told), process);
            self.note_recorded_start(task, start, "");
        }
    }

    /// Remembers which worker a previous holder told to start a task, on a VM
    /// whose name is empty if it isn't known.
    pub(super) fn note_recorded_start(
        &mut self,
        task: TaskId,
        start: RecordedStart,
        vm: &str,
    ) {
        if start.process != Incarnation::UNKNOWN {
            self.note_recorded_in_doubt(&task, &start.worker, vm);
        }
        self.recorded_starts.insert(task, start);
    }

    /// Determines the outcome of the starts that previous holders recorded.
    pub(super) fn settle_recorded_starts(&mut self, now: Now) {
        let settled =
            self.recorded_starts.iter().filter_map(|(task, start)| {
                let outcome = self.outcome(task, start, now);
                (outcome != Outcome::Pending).then_some((*task, outcome))
            });
        for (task, outcome) in settled.collect::<Vec<_>>() {
            if let Some(start) = self.recorded_starts.remove(&task) {
                self.settle_start(&task, &start.worker, outcome, now);
            }
        }
    }

    /// Settles the recorded starts on a worker that is lost.
    pub(super) fn settle_starts_on(
        &mut self,
        worker: &WorkerId,
        lost: &LostRuns,
        now: Now,
    ) {
        let outcome = match &lost.unsynced {
            // The worker's runs are known, and a lost run counts by itself.
            None => Outcome::NotRunning,
            Some(unsynced) if self.was_taken_down(unsynced, now) => {
                Outcome::NotRunning
            }
            // The hall is the cause.
            Some(_) if self.halls.is_down(&lost.hall) => Outcome::NotRunning,
            // It may have lived on for long.
            Some(_) if lost.was_silent => Outcome::Unknown,
            Some(_) => Outcome::Crashed,
        };
        let here =
            |_: &TaskId, start: &mut RecordedStart| start.worker == *worker;
        let starts: Vec<TaskId> = self
            .recorded_starts
            .extract_if(.., here)
            .map(|(t, _)| t)
            .collect();
        for task in starts {
            self.settle_start(&task, worker, outcome, now);
        }
    }

    fn outcome(
        &self,
        task: &TaskId,
        start: &RecordedStart,
        now: Now,
    ) -> Outcome {
        let recent_ms = now.steady_ms.saturating_sub(RECENT_HALL_LOSS_MS);
        let Some(worker) = self.workers.get(&start.worker) else {
            return match self.workers_known {
                // It may have been in a hall that was lost.
                true if self.halls.was_any_down_since(recent_ms) => {
                    Outcome::Unknown
                }
                true => Outcome::Crashed,
                false => Outcome::Pending,
            };
        };
        if worker.runs.contains_key(task) {
            return Outcome::Found;
        }
        let known = worker.listing.incarnation;
        if IncarnationOrder::compare(known, start.process)
            == IncarnationOrder::Newer
        {
            return Outcome::Crashed;
        }
        if worker.runs_are_known() {
            return Outcome::NotRunning;
        }
        let settled = self.taken_over_ms + self.copy_after_ms();
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        let copies = spec.is_some_and(|spec| spec.may_duplicate);
        if copies && now.steady_ms >= settled {
            return Outcome::Unknown;
        }
        Outcome::Pending
    }

    fn settle_start(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        outcome: Outcome,
        now: Now,
    ) {
        let open = |job: &Job| !job.phase.is_final();
        let state = self.jobs.get(&task.job).filter(|job| open(job));
        let state = state.and_then(|job| job.task(task));
        let Some(state) = state.filter(|state| !state.done) else { return };
        let mut crashes = state.crashes;
        match outcome {
            Outcome::Pending | Outcome::Unknown => return,
            Outcome::Found => crashes.found(),
            Outcome::NotRunning => {
                crashes.did_not_start();
                self.mark_changed(task.job);
            }
            Outcome::Crashed => {
                let sequence = self.mark_changed(task.job);
                self.hall_losses.note_crash(task, crashes, sequence);
                crashes.add_unseen_crash(sequence, now.steady_ms);
            }
        }
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.crashes = crashes;
        }
        if outcome == Outcome::Crashed {
            self.judge_unseen_crash(task, worker, crashes, now);
        }
    }

    /// Counts the crash as suspected, and gives up a task that has crashed too
    /// many workers.
    fn judge_unseen_crash(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        crashes: CrashHistory,
        now: Now,
    ) {
        self.has_suspects = true;
        self.note(Decision::Suspected {
            task: *task,
            worker: worker.clone(),
            crashes: crashes.count,
            most_age_ms: crashes.max_age_ms(),
            alone: false,
        });
        if crashes.exceeds_limits() {
            self.give_up(task, crashes.count, now);
        }
    }

    fn copy_after_ms(&self) -> u64 {
        self.options.policy.placing.copy_after_ms
    }

    /// Returns whether a worker is gone because a previous holder moved or
    /// maintained its VM.
    pub(super) fn was_taken_down(
        &self,
        lost: &UnsyncedLoss,
        now: Now,
    ) -> bool {
        let changes = self.vms.get(&lost.vm).is_some_and(|vm| {
            matches!(vm.status, VmStatus::Moving | VmStatus::Maintenance)
                || vm.pool != lost.pool
        });
        changes || self.was_ordered_by_former(&lost.vm, now)
    }

    /// Notes that a worker may have crashed under starts of previous holders.
    pub(super) fn note_unsynced_loss(&mut self, lost: &UnsyncedLoss) {
        *self.unsynced_losses.entry(lost.pool.clone()).or_insert(0) += 1;
        self.uncounted_pools.insert(lost.pool.clone());
        self.has_suspects = true;
    }

    /// Returns whether a previous holder may have started a task on a worker
    /// that crashed before this holder had reached it: the task waits, and
    /// nothing is known of any run.
    pub(super) fn may_have_crashed_unseen(
        &self,
        job: &Job,
        task: &Task,
    ) -> bool {
        self.unseen_starts(job, task) > 0
    }

    /// Returns how often a previous holder may have started a task on workers
    /// that crashed before this holder had reached them, if not all of these
    /// starts are counted yet; 0 otherwise.
    pub(super) fn unseen_starts(&self, job: &Job, task: &Task) -> u32 {
        let pool = &job.terms.pool;
        if !self.uncounted_pools.contains(pool) {
            return 0;
        }
        let lost = self.unsynced_losses.get(pool);
        let starts = lost.map_or(0, |lost| (*lost).min(MAX_UNSEEN));
        let counted = task.crashes.only_unsynced();
        let waits = task.run == task.ended_run;
        let more = waits && counted.is_some_and(|counted| counted < starts);
        if more { starts } else { 0 }
    }
}
