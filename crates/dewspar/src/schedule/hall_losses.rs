/*!
What the loss of a data hall has caused, as one event.

The workers of a hall that is lost or cut off are lost one after the other, and
some of them before the hall's event is recognized. Their losses say nothing
about the tasks that ran there. So each counted loss is remembered for
[`RETROACTIVE_MS`], and taken back if the worker's hall turns out to be cut off
or lost within that time. Later losses in the hall aren't counted at all.

A task that does crash its workers isn't found by such a loss. If it takes down
several workers of a hall at once, that may look like a hall that is lost, and
so may its next starts elsewhere. So a task is forgiven only once in
[`FORGIVEN_FOR_MS`]; a holder that takes over starts counting anew.

Tasks that may have copies get one elsewhere at once. If their hall returns
before the copy has started, the copy isn't wanted any more.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Now, Scheduler, WorkerId, suspects::CrashHistory,
            suspects::LostRuns, vm_stability::VmCrashes,
        },
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// For how long a counted loss may turn out to belong to its hall, in
/// milliseconds. The first loss may be seen in a list of VMs, about a second
/// before enough workers of the hall have missed an answer.
const RETROACTIVE_MS: u64 = 3_000;

/// For how long a task that was lost with its hall isn't forgiven again, in
/// milliseconds: a task that crashes its workers is found within some seconds,
/// and halls are lost a few times a day.
const FORGIVEN_FOR_MS: u64 = 600_000;

/// A crash that was counted against a task.
#[derive(Debug)]
struct CountedCrash {
    task: TaskId,
    before: CrashHistory,
    /// The change that counted it.
    sequence: u64,
}

/// A counted loss of a worker.
#[derive(Debug)]
struct CountedLoss {
    hall: String,
    at_ms: u64,
    /// The VM, with what was known of it before.
    vm: Option<(String, Option<VmCrashes>)>,
    /// The worker's pool, if it had not reported its runs.
    unsynced_pool: Option<String>,
    /// The pools in which a burst of crashes was noted, each with the time of
    /// the one before, in milliseconds.
    bursts: Vec<(String, Option<u64>)>,
    crashes: Vec<CountedCrash>,
}

/// What was counted against tasks and VMs, and what is done at the loss of a
/// hall.
#[derive(Debug, Default)]
pub(super) struct HallLosses {
    counted: VecDeque<CountedLoss>,
    /// The loss that is being counted.
    open: Option<CountedLoss>,
    /// The tasks that wait for a copy, each while it may run in a hall that is
    /// cut off.
    copies: BTreeSet<TaskId>,
    /// When tasks were forgiven the loss of a worker, in milliseconds.
    forgiven: BTreeMap<TaskId, u64>,
}

impl HallLosses {
    /// Forgives a task the loss of its worker. Returns whether that wasn't
    /// done recently.
    pub(super) fn forgive(&mut self, task: &TaskId, now: Now) -> bool {
        let from_ms = now.steady_ms.saturating_sub(FORGIVEN_FOR_MS);
        self.forgiven.retain(|_, at_ms| *at_ms > from_ms);
        let is_first = !self.forgiven.contains_key(task);
        if is_first {
            self.forgiven.insert(*task, now.steady_ms);
        }
        is_first
    }

    /// Returns whether a task was forgiven the loss of a worker recently.
    pub(super) fn was_forgiven(&self, task: &TaskId, now: Now) -> bool {
        let at_ms = self.forgiven.get(task);
        at_ms.is_some_and(|at_ms| now.steady_ms < at_ms + FORGIVEN_FOR_MS)
    }

    /// Notes that a crash was counted against a task by the change with this
    /// number, as part of the loss that is being counted.
    pub(super) fn note_crash(
        &mut self,
        task: &TaskId,
        before: CrashHistory,
        sequence: u64,
    ) {
        if let Some(open) = &mut self.open {
            open.crashes.push(CountedCrash { task: *task, before, sequence });
        }
    }

    /// Forgets a crash that is retracted for another reason.
    pub(super) fn forget(&mut self, task: &TaskId, counted: &CrashHistory) {
        for loss in &mut self.counted {
            loss.crashes.retain(|crash| {
                crash.task != *task || crash.sequence != counted.sequence()
            });
        }
    }

    /// Notes that a burst of crashes was noted in a pool as part of the loss
    /// that is being counted.
    pub(super) fn note_burst(&mut self, pool: &str, before_ms: Option<u64>) {
        if let Some(open) = &mut self.open {
            open.bursts.push((pool.to_owned(), before_ms));
        }
    }
}

impl Scheduler {
    /// Begins to remember what the loss of a worker causes.
    pub(super) fn begin_counted_loss(&mut self, lost: &LostRuns, now: Now) {
        if !self.halls.is_enabled() || self.halls.is_down(&lost.hall) {
            return;
        }
        let from_ms = now.steady_ms.saturating_sub(RETROACTIVE_MS);
        let counted = &mut self.hall_losses.counted;
        while counted.front().is_some_and(|loss| loss.at_ms < from_ms) {
            counted.pop_front();
        }
        let vm = lost.crashed_vm.clone();
        let vm = vm.map(|vm| {
            let before = self.vm_crashes.get(&vm).copied();
            (vm, before)
        });
        let unsynced = lost.unsynced.as_ref();
        let counts = unsynced.filter(|u| !self.was_taken_down(u, now));
        let unsynced_pool = counts.map(|unsynced| unsynced.pool.clone());
        self.hall_losses.open = Some(CountedLoss {
            hall: lost.hall.clone(),
            at_ms: now.steady_ms,
            vm,
            unsynced_pool,
            bursts: Vec::new(),
            crashes: Vec::new(),
        });
    }

    /// Completes the loss that was being counted.
    pub(super) fn end_counted_loss(&mut self) {
        let open = self.hall_losses.open.take();
        self.hall_losses.counted.extend(open);
    }

    /// Takes back the losses that were counted shortly before their hall's
    /// event was recognized. Returns their number.
    pub(super) fn take_back_losses(&mut self, hall: &str, now: Now) -> usize {
        let from_ms = now.steady_ms.saturating_sub(RETROACTIVE_MS);
        let counted = std::mem::take(&mut self.hall_losses.counted);
        let (mut here, others): (Vec<CountedLoss>, Vec<CountedLoss>) =
            counted.into_iter().partition(|loss| loss.hall == hall);
        self.hall_losses.counted = others.into();
        here.retain(|loss| loss.at_ms >= from_ms);
        // The newest first, since each knows only the state before it.
        for loss in here.iter().rev() {
            self.take_back(loss, now);
        }
        here.len()
    }

    fn take_back(&mut self, loss: &CountedLoss, now: Now) {
        if let Some((vm, before)) = &loss.vm {
            self.restore_vm_crashes(vm, *before);
        }
        if let Some(pool) = &loss.unsynced_pool
            && let Some(lost) = self.unsynced_losses.get_mut(pool)
        {
            *lost = lost.saturating_sub(1);
        }
        for (pool, before_ms) in loss.bursts.iter().rev() {
            self.crash_bursts.restore(pool, *before_ms);
        }
        for CountedCrash { task, before, sequence } in
            loss.crashes.iter().rev()
        {
            if !self.hall_losses.forgive(task, now) {
                continue;
            }
            self.counted_ends.forget(task);
            self.revise_crashes(task, |known, next| {
                known.take_back(before, *sequence, next);
            });
        }
    }

    /// Lets the tasks of a hall that may have copies start elsewhere.
    pub(super) fn request_copies(&mut self, hall: &str, now: Now) {
        let mut tasks: Vec<TaskId> = Vec::new();
        for number in self.workers.numbers_in_hall(hall) {
            let Some(worker) = self.workers.at(number) else { continue };
            let runs =
                worker.runs.iter().filter(|(_, run)| !run.is_stopping());
            tasks.extend(runs.map(|(task, _)| *task));
        }
        for task in tasks {
            if !self.may_have_copy(&task) || self.has_reached_run(&task) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(step) = job.step_mut(&task) else { continue };
            step.waiting.insert(task.index);
            step.ready_ms = now.steady_ms;
            self.hall_losses.copies.insert(task);
        }
    }

    /// Withdraws the copies that have not started and whose runs are reached
    /// again.
    pub(super) fn withdraw_copies(&mut self) {
        let copies = std::mem::take(&mut self.hall_losses.copies);
        for task in copies {
            if !self.may_have_copy(&task) {
                continue;
            }
            if !self.has_reached_run(&task) {
                // It may run in another hall that is cut off.
                self.hall_losses.copies.insert(task);
                continue;
            }
            let job = self.jobs.get_mut(&task.job);
            if let Some(step) = job.and_then(|job| job.step_mut(&task)) {
                step.waiting.remove(&task.index);
            }
        }
    }

    fn may_have_copy(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let spec = job.step_spec(task);
        let allowed = spec.is_some_and(|spec| {
            spec.may_duplicate && !spec.gang && !spec.long_running
        });
        // A task under test must not take down another worker.
        let is_open = job
            .task(task)
            .is_some_and(|state| !state.done && state.crashes.count == 0);
        allowed && is_open && !job.phase.is_final()
    }

    /// Returns whether a run of the task is on a worker whose hall is reached.
    fn has_reached_run(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let Some(state) = job.and_then(|job| job.task(task)) else {
            return false;
        };
        let is_reached = |id: &WorkerId| {
            let worker = self.workers.get(id);
            worker.is_some_and(|worker| !worker.in_unreachable_hall)
        };
        state.workers.iter().any(is_reached)
    }
}
