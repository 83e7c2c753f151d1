/*!
Detection of tasks that crash the workers that run them.

A worker that crashes reports no ends, so nothing shows which of its runs
caused the crash, if any did. If such a task is simply started again, it takes
down one worker after the other, together with every run beside it. Yet most
runs that are lost with a worker are sound: they must not be given up, and must
not be delayed for long.

A bad task differs from a sound one in that it crashes its worker on every run,
soon after the start. The scheduler uses that as follows:

- A run that its worker had confirmed for only a short time becomes *suspected*
  when the worker is lost. Consecutive losses of a task are counted, and the
  count is stored with the job's progress, so that it survives a takeover.
- A suspected task starts next where no other suspect runs, so that the next
  crash says more. After two crashes it is *under test*: it starts only beside
  runs that have been confirmed for a while, on a worker reserved for it, on
  which nothing else starts until the task is cleared, and only after both
  crashes are stored; see [`reserved_workers`](super::reserved_workers).
  Otherwise two bad tasks that start together mask each other: in 5 of 50 runs
  of a soak test with faults, sound jobs were given up because of that, or bad
  ones were started a sixth time. In a pool with a single usable worker, where
  a test shuts out all other tasks, it waits for a bounded time.
- A task is *cleared* when one of its runs outlives those that were lost, or
  ends by itself.
- A task is given up, and its job fails, after its third crash if nothing else
  can have caused it: neither another run nor a VM whose workers crash anyway.
  After its fourth crash it is given up regardless. A long-running task whose
  siblings are at work is held back for a while instead, each time.

Starts count as well. The record of a suspected task says whether a run of it
was in progress, since a new holder can't know how that run ended. Nor can it
know whether a worker that it never reached had just started one of the waiting
tasks; see [`unseen_starts`](super::unseen_starts).

# Example

A task that crashes its worker on each start is ordered three times:

```text
run 1  beside others             worker lost: all recent runs are suspected
run 2  away from other suspects  worker lost: second crash, others are cleared
run 3  beside proven runs only   worker lost: no other cause left, given up
```
*/

use crate::{
    job::{JobId, Phase, StepSpec, TaskId, TaskRecord},
    schedule::{
        Decision, Incarnation, Now, Scheduler, WorkerId,
        counted_ends::{CountedEnd, RetractableCrash},
        crash_bursts::likely_age_ms,
        job_state::{Job, Task, demand},
        unseen_starts::UnsyncedLoss,
        vm_stability::VmStability,
        worker::{Run, Suspicion, Worker},
    },
};

/// How recently a run must have begun to be suspected, in milliseconds: a run
/// that its worker has confirmed for at least this long is not. A bad task
/// crashes while it is loaded, and answers arrive every 300 ms, or every
/// second on a short link.
const SUSPECT_AGE_MS: u64 = 1_000;

/// Margin added to twice the age at which suspected runs were lost, to get the
/// age that clears the next run, in milliseconds. It covers the transit time
/// of an answer and the jitter with which a worker loads what it starts.
const CLEAR_MARGIN_MS: u64 = 100;

/// For how long a task that was suspected once avoids workers with another
/// suspect before it accepts any worker, in milliseconds. A suspect remains
/// one for about this long, so sound tasks lose no more than the time of one
/// answer.
const AVOID_SUSPECTS_MS: u64 = 300;

/// The longest silence before a worker's end that still makes the end count as
/// a crash under the runs that had begun before, in milliseconds: nearly two
/// of the slowest reads of the VM list. A worker that was unreachable for
/// longer may have lived on and ended for another reason.
const MAX_SILENCE_MS: u64 = 2_200;

/// For how long a worker must have confirmed the other runs on it before a
/// task under test may start there, in milliseconds: as long as a hold may
/// wait. Two bad tasks that start together would mask each other.
const PROVEN_MS: u64 = 300;

/// For how long a worker must have confirmed the other runs on it before a
/// task that is most likely bad may start there, in milliseconds. Most tasks
/// end sooner, and the start of such a task can wait for that.
const LONG_PROVEN_MS: u64 = 2_000;

/// The number of crashes after which a task is under test: nothing starts
/// beside it, and its next start waits until the crashes are stored. A single
/// crash is mere chance for nearly all tasks.
const TEST_AFTER_CRASHES: u32 = 2;

/// The number of crashes after which a task is given up if nothing else can
/// have caused the last one. For a sound task to reach it, it would have to
/// run beside a bad one, and then twice in a row alone on a worker that
/// crashes by itself within a second.
const MAX_CERTAIN_CRASHES: u32 = 3;

/// The number of crashes after which a task is given up in any case. A task
/// may start twice more after its third crash, and a crash that no holder saw
/// uses up one of these starts.
const MAX_CRASHES: u32 = 4;

/// The age up to which lost runs of a task prove that the task caused the
/// crashes, even on VMs that have crashed recently, in milliseconds. When
/// tasks crash many workers at once, no VM of the pool stays stable for long.
/// A VM that crashes by itself every 4 s hits one such span in 40, and three
/// in a row once in 64,000.
const IMMEDIATE_CRASH_MS: u64 = 100;

/// How often a task may be started in all after three crashes, counting the
/// runs whose end no holder saw. One more would be the third start after three
/// crashes.
const MAX_STARTS: u32 = 5;

/// For how long a task under test waits for a worker on a VM that hasn't
/// crashed recently, in milliseconds: as long as a failed task waits for
/// another worker.
const STABLE_VM_WAIT_MS: u64 = 1_500;

/// For how long a task waits for its test in a pool with a single worker, in
/// milliseconds: as long as a job may have nothing running. It then starts
/// beside other runs, unless the pool's workers still crash.
const MAX_TEST_WAIT_MS: u64 = 3_000;

/// For how long a task that would be given up is held back if its siblings are
/// at work, in milliseconds: a few seconds less than it may have nothing
/// running after a crash.
const CRASH_PAUSE_MS: u64 = 4_000;

/// The consecutive crashes under one task.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrashHistory {
    pub(crate) count: u32,
    /// The number of further runs whose outcome is unknown, most of them
    /// started by previous holders.
    unseen: u32,
    /// The upper bound of a run's age when its worker crashed, in
    /// milliseconds, over all crashes. It is kept when the task is cleared, so
    /// that a task whose crashes take varying times is still detected
    /// eventually.
    max_age_ms: u64,
    /// The same upper bound for the youngest run.
    min_age_ms: Option<u64>,
    /// When the last crash was noticed; 0 if under a previous holder.
    noticed_ms: u64,
    /// Whether the last run was among those that its worker started last.
    likely: bool,
    /// Whether a run was started since, or is about to be.
    run_in_progress: bool,
    /// Whether a previous holder may have started the task without recording
    /// it.
    pub(super) may_have_started: bool,
    /// How many of the runs with unknown outcome stand for workers that were
    /// lost before they had answered this holder.
    unsynced: u32,
    /// Whether the run in progress is the only reason for a record.
    run_recorded: bool,
    /// The change that stores all of this; 0 if it isn't by this holder.
    sequence: u64,
    /// The newest change when the run in progress was recorded as ordered; 0
    /// if it wasn't by this holder.
    run_sequence: u64,
    /// Until when the task is held back, in milliseconds of the steady clock.
    paused_until_ms: u64,
}

impl CrashHistory {
    /// Restores the crashes that a previous holder stored. The ages of the
    /// runs aren't stored.
    pub(crate) fn restored(record: &TaskRecord) -> CrashHistory {
        // The record alone accounts for a run that no worker was told to
        // start.
        let announced = record.told.as_deref() == Some("");
        let count = record.crashes;
        let unseen = record.unseen.saturating_sub(u32::from(announced));
        CrashHistory {
            count,
            unseen,
            max_age_ms: SUSPECT_AGE_MS,
            run_recorded: announced && count == 0 && unseen == 0,
            run_in_progress: announced,
            ..CrashHistory::default()
        }
    }

    /// Returns the crashes of a task that a previous holder may have started
    /// this many times on workers that crashed.
    fn possible(starts: u32) -> CrashHistory {
        CrashHistory {
            unseen: starts,
            unsynced: starts,
            max_age_ms: SUSPECT_AGE_MS,
            may_have_started: true,
            ..CrashHistory::default()
        }
    }

    /// Returns the number of starts that are counted only because workers were
    /// lost before they had answered; `None` if anything else is known of the
    /// task.
    pub(super) fn only_unsynced(&self) -> Option<u32> {
        let other =
            self.count > 0 || self.unseen > self.unsynced || self.run_recorded;
        (self.may_have_started && !other).then_some(self.unsynced)
    }

    /// Returns whether a later holder must know anything of this.
    pub(crate) fn is_on_record(&self) -> bool {
        self.count > 0 || self.unseen > 0 || self.run_recorded
    }

    /// Returns whether the run in progress is all that a later holder must
    /// know of.
    fn has_only_recorded_run(&self) -> bool {
        self.run_recorded && self.count == 0 && self.unseen == 0
    }

    /// Returns whether a later holder must know of the run in progress.
    pub(crate) fn has_recorded_run(&self) -> bool {
        self.is_on_record() && self.run_in_progress
    }

    /// Returns the number of runs whose end a later holder can't know. A run
    /// in progress counts, since it may have crashed its worker before that
    /// holder looks.
    pub(crate) fn unseen_on_record(&self) -> u32 {
        self.unseen + u32::from(self.has_recorded_run())
    }

    /// Notes that a run is started; returns whether the record must say so.
    fn start(&mut self) -> bool {
        self.run_recorded |= self.may_have_started && !self.is_on_record();
        self.run_in_progress |= self.is_on_record();
        self.run_in_progress
    }

    /// Notes that the run in progress is over and can't have crashed its
    /// worker; returns whether it was on record.
    fn end(&mut self) -> bool {
        self.run_recorded = false;
        std::mem::take(&mut self.run_in_progress)
    }

    /// Notes that the run that previous holders recorded was found on its
    /// worker.
    pub(super) fn found(&mut self) {
        self.unseen = self.unseen.saturating_sub(1);
        self.run_recorded = !self.is_on_record();
        self.run_in_progress = true;
    }

    /// Notes that the run that previous holders recorded isn't on its worker,
    /// although the worker is there.
    pub(super) fn did_not_start(&mut self) {
        self.unseen = self.unseen.saturating_sub(1);
    }

    /// Counts a crash for a run that previous holders recorded and whose
    /// worker is gone.
    ///
    /// The start before the first such run left no record.
    pub(super) fn add_unseen_crash(&mut self, sequence: u64, now_ms: u64) {
        self.did_not_start();
        if !self.is_on_record() {
            self.unseen = 1;
        }
        self.count += 1;
        self.max_age_ms = SUSPECT_AGE_MS;
        self.noticed_ms = now_ms;
        self.likely = false;
        self.run_in_progress = self.count >= TEST_AFTER_CRASHES;
        self.sequence = sequence;
    }

    /// Returns whether the next start waits until these crashes are stored.
    fn must_be_stored_first(&self) -> bool {
        self.count >= TEST_AFTER_CRASHES
            || (self.count == 0 && self.unseen > 0)
    }

    /// Returns whether the next holder must know of a start before it is
    /// ordered.
    pub(super) fn must_record_start_first(&self) -> bool {
        self.may_have_started || self.must_be_stored_first()
    }

    /// Adds a run that was lost. A run that had lived longer than another
    /// needed to crash its worker counts only as a start, since a bad task
    /// behaves alike each time.
    fn add(&mut self, run: &LostRun, likely: bool, now_ms: u64) {
        let least_ms = self.min_age_ms.unwrap_or(SUSPECT_AGE_MS);
        let alike = run.confirmed_ms <= 2 * least_ms + CLEAR_MARGIN_MS;
        if alike {
            self.count += 1;
        } else {
            self.unseen += 1;
        }
        self.max_age_ms = self.max_age_ms.max(run.max_age_ms);
        self.min_age_ms = Some(least_ms.min(run.max_age_ms));
        self.noticed_ms = now_ms;
        self.likely = likely;
        self.run_recorded = false;
        self.run_in_progress = self.count >= TEST_AFTER_CRASHES;
    }

    /// Takes back a crash that was counted by the change with this number,
    /// given the state before it.
    pub(super) fn take_back(
        &mut self,
        before: &CrashHistory,
        counted: u64,
        sequence: u64,
    ) {
        if self.sequence == counted {
            let runs = before.is_on_record() && self.run_in_progress;
            *self = CrashHistory { run_in_progress: runs, ..*before };
        } else {
            // Another crash was counted since.
            self.count = self.count.saturating_sub(1);
        }
        self.sequence = sequence;
    }

    /// Retracts a lost run, given the states before and after it was counted.
    pub(super) fn retract(
        &mut self,
        before: &CrashHistory,
        after: &CrashHistory,
        sequence: u64,
    ) {
        if self.sequence == after.sequence || after.count > before.count {
            self.take_back(before, after.sequence, sequence);
        } else {
            // It counted only as a start, and another run was lost since.
            self.unseen = self.unseen.saturating_sub(1);
            self.sequence = sequence;
        }
    }

    /// Returns whether the task is held back now.
    pub(super) fn is_paused(&self, now: Now) -> bool {
        now.steady_ms < self.paused_until_ms
    }

    /// Returns the number of the change that stores this.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether the task is most likely bad.
    pub(super) fn is_probably_bad(&self) -> bool {
        self.likely && self.count >= TEST_AFTER_CRASHES
    }

    /// Returns the upper bound of a run's age when its worker crashed, in
    /// milliseconds.
    pub(super) fn max_age_ms(&self) -> u64 {
        self.max_age_ms
    }

    /// Returns whether each run was lost right after its start, which a VM
    /// that crashes by itself doesn't cause repeatedly.
    fn is_immediate(&self) -> bool {
        self.max_age_ms <= IMMEDIATE_CRASH_MS
    }

    /// Returns whether the task has used up its starts.
    pub(super) fn exceeds_limits(&self) -> bool {
        self.count >= MAX_CRASHES
            || (self.count >= MAX_CERTAIN_CRASHES
                && self.count + self.unseen >= MAX_STARTS)
    }

    /// Returns how long a run must live to clear its task, in milliseconds.
    fn cleared_after_ms(&self) -> u64 {
        if self.count == 0 {
            return SUSPECT_AGE_MS;
        }
        (2 * self.max_age_ms + CLEAR_MARGIN_MS).min(SUSPECT_AGE_MS)
    }
}

/// The runs beside which a task may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Colocation {
    /// Any run.
    Any,
    /// Any run whose task isn't under test.
    Untested,
    /// No suspected run.
    Unsuspected,
    /// Only runs that their worker has confirmed for a while.
    Proven,
    /// Only runs that have lasted longer than most. The others are allowed to
    /// end first, as the worker will most likely crash.
    LongProven,
}

impl Colocation {
    pub(super) fn allows(self, worker: &Worker) -> bool {
        match self {
            Colocation::Any => true,
            Colocation::Untested => !worker.tests_a_run(),
            Colocation::Unsuspected => !worker.has_suspects(),
            Colocation::Proven => all_runs_confirmed_for(worker, PROVEN_MS),
            Colocation::LongProven => {
                all_runs_confirmed_for(worker, LONG_PROVEN_MS)
            }
        }
    }

    /// Returns whether this applies to a task under test.
    pub(super) fn is_for_tested(self) -> bool {
        matches!(self, Colocation::Proven | Colocation::LongProven)
    }
}

/// Returns whether a worker has confirmed all of its runs for at least this
/// long, in milliseconds, and none of them is suspected.
fn all_runs_confirmed_for(worker: &Worker, least_ms: u64) -> bool {
    let reported_ms = worker.latest_report_ms();
    let confirmed = |run: &Run| run.confirmed_ms(reported_ms) >= least_ms;
    !worker.has_suspects() && worker.runs.values().all(confirmed)
}

/// A run that was lost with its worker.
struct LostRun {
    task: TaskId,
    /// The run's number.
    run: u64,
    /// How long the worker had confirmed it, in milliseconds.
    confirmed_ms: u64,
    /// The upper bound of its age, in milliseconds.
    max_age_ms: u64,
    suspicion: Suspicion,
}

/// The runs that were lost with one worker.
pub(super) struct LostRuns {
    /// The worker's process.
    pub(super) process: Incarnation,
    /// The VM that crashed; `None` if the worker's end was planned or it
    /// doesn't name its VM.
    pub(super) crashed_vm: Option<String>,
    /// The data hall that the worker was in; empty if it names none.
    pub(super) hall: String,
    /// Set if the worker was lost before it had reported its runs to this
    /// holder.
    pub(super) unsynced: Option<UnsyncedLoss>,
    /// Whether the worker fell silent long before its end was known.
    pub(super) was_silent: bool,
    /// Whether the worker was draining.
    was_draining: bool,
    runs: Vec<LostRun>,
}

impl LostRuns {
    /// Takes stock of a worker's runs when it was lost.
    ///
    /// A draining worker ends by itself. A worker that is being emptied ends
    /// only once it is empty, so whatever it still ran was lost in a crash.
    pub(super) fn of(worker: &Worker, now: Now) -> LostRuns {
        let draining = worker.listing.draining;
        let planned = draining
            || (worker.drain_reason.is_some() && worker.runs.is_empty());
        let answered_ms = worker.answered_worker_ms();
        let ended_ms = worker.unanswered_since_ms().unwrap_or(now.steady_ms);
        let lost = |(task, run): (&TaskId, &Run)| LostRun {
            task: *task,
            run: run.run,
            confirmed_ms: run.confirmed_ms(answered_ms),
            max_age_ms: ended_ms.saturating_sub(run.since_ms),
            suspicion: run.suspicion,
        };
        // The others were lost with the previous process.
        let counts = |(_, run): &(&TaskId, &Run)| !run.process_has_ended;
        let vm = &worker.listing.vm;
        let unsynced = !worker.synced && !draining;
        // Where the next worker of its VM is known, it hasn't lived on.
        let may_have_lived_on = !worker.is_doubted;
        LostRuns {
            process: worker.listing.incarnation,
            unsynced: unsynced.then(|| UnsyncedLoss::of(worker)),
            was_silent: may_have_lived_on
                && now.steady_ms > ended_ms + MAX_SILENCE_MS,
            crashed_vm: (!planned && !vm.is_empty()).then(|| vm.clone()),
            was_draining: draining,
            hall: worker.listing.hall.clone(),
            runs: worker.runs.iter().filter(counts).map(lost).collect(),
        }
    }

    /// Returns the number of each task's run.
    pub(super) fn run_numbers(&self) -> impl Iterator<Item = (TaskId, u64)> {
        self.runs.iter().map(|run| (run.task, run.run))
    }

    /// Returns the runs that may have crashed the worker: all that began
    /// recently. If some of these are under test, only those and the runs that
    /// aren't proven yet.
    fn suspects(&self) -> impl Iterator<Item = &LostRun> {
        let is_recent = |run: &&LostRun| run.confirmed_ms < SUSPECT_AGE_MS;
        let recent = || self.runs.iter().filter(is_recent);
        let most =
            recent().map(|run| run.suspicion.crashes).max().unwrap_or(0);
        let tested = recent().any(|run| run.suspicion.tested);
        let least = if tested { most } else { 0 };
        recent().filter(move |run| {
            run.suspicion.crashes >= least || run.confirmed_ms < PROVEN_MS
        })
    }

    /// Returns the age up to which a run is a likely cause, in milliseconds.
    fn likely_age_ms(&self) -> u64 {
        likely_age_ms(self.runs.iter().map(|run| run.max_age_ms))
    }

    /// Returns whether no other run can have crashed the worker, assuming that
    /// the task needs as long for a crash as it did before.
    fn is_only_suspect(&self, task: &TaskId, crashes: &CrashHistory) -> bool {
        let enough_ms = crashes.cleared_after_ms();
        self.runs.iter().filter(|run| run.task != *task).all(|run| {
            run.suspicion.crashes == 0 && run.confirmed_ms >= enough_ms
        })
    }
}

impl Scheduler {
    /// Counts a crash for each run that may have caused it, and gives up the
    /// tasks that certainly did.
    pub(super) fn note_crash(
        &mut self,
        worker: &WorkerId,
        lost: &LostRuns,
        now: Now,
    ) {
        self.begin_counted_loss(lost, now);
        self.settle_starts_on(worker, lost, now);
        let suspects = || lost.suspects().map(|run| run.task);
        let was_forgiven =
            |task: TaskId| self.hall_losses.was_forgiven(&task, now);
        if self.halls.is_down(&lost.hall) && !suspects().any(was_forgiven) {
            // The hall is the cause.
            for task in suspects() {
                self.hall_losses.forgive(&task, now);
                self.note_suspect_ended(&task);
            }
        } else {
            self.count_crashes(worker, lost, now);
        }
        self.end_counted_loss();
    }

    fn count_crashes(&mut self, worker: &WorkerId, lost: &LostRuns, now: Now) {
        if let Some(unsynced) = &lost.unsynced {
            if self.was_taken_down(unsynced, now) {
                return;
            }
            self.note_unsynced_loss(unsynced);
        }
        let vm = lost.crashed_vm.as_ref();
        let vm = vm.map(|vm| (vm.clone(), self.vm_crashes.get(vm).copied()));
        let mut end = CountedEnd::new(lost, vm, now);
        let was_stable = self.note_vm_crash(lost.crashed_vm.as_deref(), now);
        let likely_age_ms = lost.likely_age_ms();
        for run in lost.suspects() {
            if lost.was_silent || lost.was_draining {
                self.note_suspect_ended(&run.task);
                continue;
            }
            let likely = run.max_age_ms <= likely_age_ms;
            let counted = self.count_crash(run, likely, now);
            let Some((before, crashes)) = counted else { continue };
            end.crashes.push(RetractableCrash {
                task: run.task,
                before,
                after: crashes,
            });
            let certain = was_stable || crashes.is_immediate();
            let alone = certain && lost.is_only_suspect(&run.task, &crashes);
            self.note(Decision::Suspected {
                task: run.task,
                worker: worker.clone(),
                crashes: crashes.count,
                most_age_ms: run.max_age_ms,
                alone,
            });
            let sure = alone && crashes.count >= MAX_CERTAIN_CRASHES;
            if sure || crashes.exceeds_limits() {
                self.give_up(&run.task, crashes.count, now);
            }
        }
        self.counted_ends.insert(worker, end, now);
    }

    /// Counts a crash; returns the crashes of the task before and after,
    /// unless the task is done or its job is over.
    fn count_crash(
        &mut self,
        run: &LostRun,
        likely: bool,
        now: Now,
    ) -> Option<(CrashHistory, CrashHistory)> {
        let job = self.jobs.get(&run.task.job)?;
        let over = job.phase.is_final();
        let done = job.task(&run.task)?.done;
        if over || done {
            return None;
        }
        self.has_suspects = true;
        let sequence = self.mark_changed(run.task.job);
        let job = self.jobs.get_mut(&run.task.job)?;
        let pool = job.terms.pool.clone();
        let crashes = &mut job.task_mut(&run.task)?.crashes;
        let before = *crashes;
        self.crash_bursts.note_crash(&pool, now);
        if likely && crashes.likely {
            let before_ms = self.crash_bursts.note(&pool, now);
            self.hall_losses.note_burst(&pool, before_ms);
        }
        crashes.add(run, likely, now.steady_ms);
        crashes.sequence = sequence;
        let crashes = *crashes;
        self.hall_losses.note_crash(&run.task, before, sequence);
        Some((before, crashes))
    }

    /// Revises what is counted against a task, given the number of the change
    /// that stores it, and clears its runs if no crash is left. Returns whether
    /// the task is known and not done.
    pub(super) fn revise_crashes(
        &mut self,
        task: &TaskId,
        revise: impl FnOnce(&mut CrashHistory, u64),
    ) -> bool {
        let next = self.sequence + 1;
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task));
        let Some(state) = state.filter(|state| !state.done) else {
            return false;
        };
        revise(&mut state.crashes, next);
        let is_cleared = state.crashes.count == 0;
        let workers = state.workers.clone();
        self.mark_changed(task.job);
        if is_cleared {
            for id in workers {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.clear_suspicion(task);
                }
            }
        }
        true
    }

    /// Clears a task if its run has outlived those that were lost with their
    /// workers.
    pub(super) fn clear_if_outlived(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let Some(run) = worker.runs.get(task) else { return };
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let known = state.is_some_and(|state| state.crashes.is_on_record());
        if run.suspicion.crashes == 0 && !known {
            return;
        }
        let lived_ms = run.confirmed_ms(worker.latest_report_ms());
        let sound = state
            .is_none_or(|state| lived_ms >= state.crashes.cleared_after_ms());
        if sound {
            self.clear(worker_id, task);
        }
    }

    /// Clears a task whose run a worker has survived.
    pub(super) fn clear(&mut self, worker_id: &WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.clear_suspicion(task);
        }
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task));
        let Some(state) = state else { return };
        let max_age_ms = state.crashes.max_age_ms;
        let cleared = CrashHistory { max_age_ms, ..CrashHistory::default() };
        let crashes = std::mem::replace(&mut state.crashes, cleared);
        if crashes.is_on_record() {
            self.counted_ends.forget(task);
            self.mark_run_record_changed(task.job, &crashes);
        }
    }

    /// Marks the record of a task's run as changed, unless only a start log
    /// holds that run.
    fn mark_run_record_changed(&mut self, id: JobId, crashes: &CrashHistory) {
        let stored = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.stored_sequence >= crashes.run_sequence);
        let only_logged = self.start_logs.are_enabled()
            && crashes.has_only_recorded_run()
            && !stored
            && !self.storing.contains_key(&id);
        if !only_logged {
            self.mark_changed(id);
        }
    }

    /// Notes that a task is started; returns how its run is suspected.
    ///
    /// The run is recorded for the next holder, which can't know how it ends,
    /// if the task is suspected or a previous holder may have started it
    /// before.
    pub(super) fn note_suspect_started(
        &mut self,
        task: &TaskId,
        now: Now,
    ) -> Suspicion {
        let Some(job) = self.jobs.get(&task.job) else {
            return Suspicion::default();
        };
        let Some(state) = job.task(task) else {
            return Suspicion::default();
        };
        let suspicion = Suspicion {
            crashes: state.crashes.count,
            tested: self.is_tested(state, &job.terms.pool, now),
        };
        let mut crashes = state.crashes;
        if crashes.start() {
            self.sequence += 1;
            crashes.run_sequence = self.sequence;
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(task)) {
                state.crashes = crashes;
            }
            self.mark_run_record_changed(task.job, &crashes);
        }
        suspicion
    }

    /// Notes that a suspected task's run never began, or ended in a way that
    /// says nothing about the task, so that it is no longer in progress.
    pub(super) fn note_suspect_ended(&mut self, task: &TaskId) {
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task));
        let Some(state) = state else { return };
        let before = state.crashes;
        if state.crashes.end() {
            self.mark_run_record_changed(task.job, &before);
        }
    }

    /// Records the intended next start of tasks that must not start before
    /// that is stored: those under test, and those that a previous holder may
    /// have started without a record. Of the latter only as many are recorded
    /// as may start now.
    pub(super) fn announce_starts(&mut self, tasks: &[TaskId]) {
        let mut room = self.window.room();
        let mut all_are_known = !self.is_loading();
        for task in tasks {
            // Whether that start counts will be known soon.
            if self.recorded_starts.contains_key(task) {
                continue;
            }
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let Some(state) = job.task(task) else { continue };
            let mut crashes = state.crashes;
            let starts = self.unseen_starts(job, state);
            if starts > 0 {
                if room == 0 {
                    all_are_known = false;
                    continue;
                }
                crashes = CrashHistory::possible(starts);
                room -= 1;
            }
            if !crashes.must_be_stored_first() || crashes.run_in_progress {
                continue;
            }
            crashes.run_in_progress = true;
            crashes.sequence = self.mark_changed(task.job);
            self.await_change(task.job, crashes.sequence);
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(task)) {
                state.crashes = crashes;
            }
        }
        // Scanning all waiting tasks takes a millisecond per plan with
        // thousands of waiting jobs.
        if all_are_known {
            self.uncounted_pools.clear();
        }
    }

    /// Gives up a task that crashes its workers, and with it the job. If other
    /// tasks of a long-running step are at work, only the task is held back
    /// for a while: its job would take them from their callers.
    pub(super) fn give_up(&mut self, task: &TaskId, crashes: u32, now: Now) {
        if self.has_siblings_at_work(task) {
            let job = self.jobs.get_mut(&task.job);
            let state = job.and_then(|job| job.task_mut(task));
            let Some(state) = state else { return };
            state.crashes.paused_until_ms = now.steady_ms + CRASH_PAUSE_MS;
            self.note(Decision::HeldBack {
                task: *task,
                crashes,
                for_ms: CRASH_PAUSE_MS,
            });
            return;
        }
        self.note(Decision::GivenUp { task: *task, crashes });
        self.finish(task.job, Phase::Failed, now);
    }

    /// Returns whether another task of a long-running step has been at work
    /// for so long that it doesn't crash its worker.
    fn has_siblings_at_work(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let (Some(spec), Some(step)) = (job.step_spec(task), job.step(task))
        else {
            return false;
        };
        // Members of a gang end together.
        if !spec.long_running || spec.gang {
            return false;
        }
        let is_at_work = |sibling: &TaskId, on: &WorkerId| {
            let worker = self.workers.get(on);
            worker.is_some_and(|worker| {
                let reported_ms = worker.latest_report_ms();
                worker.runs.get(sibling).is_some_and(|run| {
                    !run.is_stopping()
                        && run.confirmed_ms(reported_ms) >= SUSPECT_AGE_MS
                })
            })
        };
        (0..).zip(&step.tasks).any(|(index, state)| {
            let sibling = TaskId { index, ..*task };
            index != task.index
                && state.workers.iter().any(|on| is_at_work(&sibling, on))
        })
    }

    /// Returns beside which runs a task may start now.
    ///
    /// A worker is reserved for a task under test, and each suspect there is
    /// cleared or has crashed the worker within a second. Members of a gang,
    /// which start together, can't wait for that.
    pub(super) fn colocation(
        &self,
        spec: &StepSpec,
        state: &Task,
        pool: &str,
        now: Now,
    ) -> Colocation {
        if !self.options.policy.placing.separates_suspects {
            return Colocation::Any;
        }
        let CrashHistory { count, noticed_ms, .. } = state.crashes;
        let tested = self.is_tested(state, pool, now);
        let waits = now.steady_ms < noticed_ms + AVOID_SUSPECTS_MS;
        let in_burst = self.crash_bursts.is_active(pool, now);
        match (tested, spec.gang) {
            (true, true) => Colocation::Any,
            (true, false) if in_burst && state.crashes.is_probably_bad() => {
                Colocation::LongProven
            }
            (true, false) => Colocation::Proven,
            (false, false) if count > 0 && waits => Colocation::Unsuspected,
            (false, _) => Colocation::Untested,
        }
    }

    /// Returns whether a task is under test: its next run has no recently
    /// started runs beside it.
    pub(super) fn is_tested(
        &self,
        state: &Task,
        pool: &str,
        now: Now,
    ) -> bool {
        let CrashHistory { count, likely, .. } = state.crashes;
        if self.crash_bursts.is_active(pool, now) {
            return count >= TEST_AFTER_CRASHES || (count > 0 && likely);
        }
        let has_waited = self.has_waited_for_test(state, pool, now);
        count >= TEST_AFTER_CRASHES && !has_waited
    }

    /// Returns whether a task has waited for long for its test in a pool with a
    /// single worker, and no run has crashed its worker there meanwhile. All
    /// other tasks of such a pool wait as well, and where many tasks were lost
    /// together, their tests take long.
    fn has_waited_for_test(&self, state: &Task, pool: &str, now: Now) -> bool {
        let last_crash_ms = self.crash_bursts.last_crash_ms(pool);
        let since_ms = last_crash_ms
            .max(state.crashes.noticed_ms)
            .max(state.waits_since_ms)
            .max(self.taken_over_ms);
        now.steady_ms >= since_ms + MAX_TEST_WAIT_MS
            && self.usable_workers(pool) <= 1
    }

    /// Returns the stability that the VM must have on which a task starts.
    ///
    /// A sound task that was lost twice must not end up on the one VM of a
    /// full pool that has capacity because it is flapping.
    pub(super) fn required_stability(
        &self,
        spec: &StepSpec,
        state: &Task,
        pool: &str,
        now: Now,
    ) -> VmStability {
        let CrashHistory { count, noticed_ms, .. } = state.crashes;
        let separates = self.options.policy.placing.separates_suspects;
        if count < TEST_AFTER_CRASHES || !separates {
            return VmStability::Flapping;
        }
        let wanted = if now.steady_ms < noticed_ms + STABLE_VM_WAIT_MS {
            VmStability::Stable
        } else {
            VmStability::Unproven
        };
        let demand = demand(spec);
        let best = self
            .workers
            .values()
            .filter(|worker| {
                worker.listing.pool == pool
                    && worker.is_usable()
                    && worker.listing.capacity.contains(&demand)
            })
            .map(|worker| self.vm_stability(&worker.listing.vm, now))
            .max();
        wanted.min(best.unwrap_or(VmStability::Flapping))
    }

    /// Returns whether a worker's VM is at least this stable.
    pub(super) fn is_stable_enough(
        &self,
        worker: &Worker,
        wanted: VmStability,
        now: Now,
    ) -> bool {
        wanted == VmStability::Flapping
            || self.vm_stability(&worker.listing.vm, now) >= wanted
    }

    /// Returns whether a task is placed where it does the least harm instead
    /// of where it fits best.
    pub(super) fn is_isolated(&self, spec: &StepSpec, state: &Task) -> bool {
        // A long-running task stays where it is placed, so a single crash
        // doesn't suffice.
        let least = if spec.long_running { TEST_AFTER_CRASHES } else { 1 };
        self.options.policy.placing.separates_suspects
            && state.crashes.count >= least
    }

    /// Returns the score of a worker for a task that may crash it: the fewer
    /// runs it would lose, the higher.
    pub(super) fn isolation_score(
        &self,
        worker: &Worker,
        spec: &StepSpec,
    ) -> i64 {
        let mut score = -(worker.runs.len() as i64);
        let near = !spec.data_rack.is_empty()
            && worker.listing.rack == spec.data_rack;
        if near {
            score += self.scores_for(worker).isolated_data_locality();
        }
        score
    }
}

impl Job {
    /// Returns whether everything is stored that must be on record before a
    /// task starts.
    ///
    /// A holder that can't store its crashes may start a task once more. Its
    /// successor, which knows of none, must not continue as if there were
    /// none.
    pub(super) fn may_start(&self, state: &Task) -> bool {
        !state.crashes.must_be_stored_first()
            || self.stored_sequence >= state.crashes.sequence
    }
}

impl CrashHistory {
    /// Returns how a run is suspected that is found on a worker or starts
    /// together with others.
    pub(crate) fn suspicion(&self) -> Suspicion {
        let tested = self.count >= TEST_AFTER_CRASHES;
        Suspicion { crashes: self.count, tested }
    }
}
