/*!
Tasks that may crash the workers that start them.

A worker that crashes lists no ends, so nothing says which of its runs did it,
if any. Started again as if nothing had happened, such a task takes down one
worker after the other, with all that stands beside it. Yet most runs that are
lost with a worker are sound, and must neither be given up nor wait for long.

What tells them apart is that a bad task does it each time, and soon after it
begins:

- A run that its worker hadn't confirmed for long is *suspected* once the
  worker is lost; each loss in a row counts. The count is stored with the
  job's progress, so a new holder knows of it.
- A suspected task starts again where no other suspect stands, so that the
  next crash says more. After two crashes it starts only beside runs that have
  proven sound, on a worker that is kept free for it, with nothing started
  beside it until it is cleared, and once both crashes are stored. Else two bad
  tasks that begin together hide behind each other: in 5 of 50 runs of the fault
  soak sound jobs were given up for them, or bad ones started a sixth time.
- It is *cleared* once a run of it lives on for longer than those that were
  lost, or ends by itself.
- It is given up, and its job failed, after its third crash if nothing else can
  have done it, neither another run nor a VM whose workers crash anyway; and
  after its fourth whatever else was there.

Starts count as well: the record says of a suspected task whether a run of it
was under way, since a new holder can't know how that ended. Nor can it know
whether a worker that it never heard of alive had just started one of the tasks
that wait; see [`unseen_starts`](super::unseen_starts).

# Example

A task that takes its worker down with each start is ordered three times:

```text
start  run 1, beside others   worker lost: it and those that began of late are suspected
start  run 2, no suspect near worker lost: counted twice; the others were cleared
start  run 3, proven beside   worker lost: nothing else can have done it, given up
```
*/

use {
    crate::{
        job::{JobId, Phase, StepSpec, TaskId, TaskRecord},
        schedule::{
            Decision, Now, Scheduler, WorkerId,
            crash_bursts::{ReservationRequest, ReservedFor, likely_age_ms},
            job_state::{Job, Task, demand},
            unseen_starts::UnsyncedLoss,
            vm_stability::VmStability,
            worker::{Run, Suspicion, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// For how long a worker must have confirmed a run for the run to be beyond
/// suspicion, in milliseconds: a bad task acts as it is loaded, and answers
/// come every 300 ms, or every second on a short link.
const SUSPECT_AGE_MS: u64 = 1_000;

/// What is added to twice the age at which suspected runs were lost to clear
/// the next one, in milliseconds: an answer's way, and how unevenly a worker
/// loads what it starts.
const CLEARED_MARGIN_MS: u64 = 100;

/// How long a task that was suspected once looks for a worker without another
/// suspect before it takes any, in milliseconds: about as long as a suspect
/// stays one where it is, so that sound tasks lose no more than the time of
/// one answer.
const AVOID_SUSPECTS_MS: u64 = 300;

/// For how long a worker may have been silent before its end is known, in
/// milliseconds, for that end to be a crash under what began before: nearly two
/// of the slowest readings of the list of VMs. One that was cut off for longer
/// may have lived on, and gone for some other reason.
const MAX_SILENCE_MS: u64 = 2_200;

/// For how long a worker must have confirmed the runs beside which a task is
/// being found out about, in milliseconds: as long as a question may wait. Two
/// bad tasks that begin together would each hide behind the other.
const PROVEN_MS: u64 = 300;

/// For how long a worker must have confirmed the runs beside which a task starts
/// that is most likely bad, in milliseconds: most tasks end sooner, and the
/// start of such a task can wait so long.
const LONG_PROVEN_MS: u64 = 2_000;

/// After how many crashes nothing is started beside a task, and its next start
/// waits until they are stored. One crash is mere chance for nearly all.
const TEST_AFTER_CRASHES: u32 = 2;

/// After how many crashes a task is given up that alone can have caused the
/// last one. A sound one would have to be beside a bad one, and twice in a row
/// on its own on a worker that crashes within a second by itself.
const MAX_CERTAIN_CRASHES: u32 = 3;

/// After how many crashes a task is given up in any case: it may be started
/// twice more after three, and a crash that no holder saw takes one of these.
const MAX_CRASHES: u32 = 4;

/// How old each run of a task may have been for its workers' crashes to be
/// certainly its doing, also on VMs that have crashed of late, in milliseconds.
/// Where tasks crash many workers at once, no VM of the pool is steady for long.
/// A VM that crashes by itself every 4 s hits one such span of 40, three in a row
/// once in 64,000.
const IMMEDIATE_CRASH_MS: u64 = 100;

/// How often a task may be started in all under which three workers crashed,
/// with the runs whose end no holder saw: one more would be the third start
/// after three crashes.
const MAX_STARTS: u32 = 5;

/// How long a task that is being found out about waits for a worker on a VM
/// that hasn't crashed of late, in milliseconds: as long as one that failed
/// waits for another worker.
const STABLE_VM_WAIT_MS: u64 = 1_500;

/// How much a suspected task prefers a worker near its data, counted in runs:
/// more than all else, since elsewhere it takes twice as long.
const DATA_LOCALITY_SCORE: i64 = 1_000;

/// The crashes in a row under one task.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crashes {
    pub(crate) count: u32,
    /// How many more runs there were whose end says nothing for sure, most of
    /// them those of former holders.
    unseen: u32,
    /// How old a run can have been at most when its worker crashed, in
    /// milliseconds. Kept when the task is cleared: one that doesn't always
    /// take the same time is found out in the end.
    most_age_ms: u64,
    /// The same for the run that was youngest.
    least_age_ms: Option<u64>,
    /// When the last was noticed; 0 for under a former holder.
    noticed_ms: u64,
    /// Whether the last run was among those that its worker started last.
    likely: bool,
    /// Whether a run was started since, or is about to be.
    under_way: bool,
    /// Whether a former holder may have started the task without a trace.
    pub(super) may_have_begun: bool,
    /// How many of the runs whose end says nothing count for workers that were
    /// lost before they had named theirs.
    unsynced: u32,
    /// Whether the run under way is on record for that alone.
    is_told: bool,
    /// The change by which all of this is stored; 0 for not by this holder.
    sequence: u64,
    /// The newest change when the run under way was told; 0 for not by this
    /// holder.
    told_sequence: u64,
}

impl Crashes {
    /// Makes those that a former holder stored; how old the runs were isn't.
    pub(crate) fn restored(record: &TaskRecord) -> Crashes {
        // Of a run that nobody was told to start the record says enough.
        let announced = record.told.as_deref() == Some("");
        let count = record.crashes;
        let unseen = record.unseen.saturating_sub(u32::from(announced));
        Crashes {
            count,
            unseen,
            most_age_ms: SUSPECT_AGE_MS,
            is_told: announced && count == 0 && unseen == 0,
            under_way: announced,
            ..Crashes::default()
        }
    }

    /// Makes those of a task that a former holder may have started so often on
    /// workers that crashed.
    fn possible(starts: u32) -> Crashes {
        Crashes {
            unseen: starts,
            unsynced: starts,
            most_age_ms: SUSPECT_AGE_MS,
            may_have_begun: true,
            ..Crashes::default()
        }
    }

    /// Returns how many starts count of which nothing but workers that were
    /// lost unsynced tells; `None` if something else is known of the task.
    pub(super) fn only_unsynced(&self) -> Option<u32> {
        let other =
            self.count > 0 || self.unseen > self.unsynced || self.is_told;
        (self.may_have_begun && !other).then_some(self.unsynced)
    }

    /// Returns whether there is something that a later holder must know.
    pub(crate) fn are_on_record(&self) -> bool {
        self.count > 0 || self.unseen > 0 || self.is_told
    }

    /// Returns whether the run that is under way is all that a later holder must
    /// know of.
    fn is_only_told(&self) -> bool {
        self.is_told && self.count == 0 && self.unseen == 0
    }

    /// Returns whether a later holder must know of the run that is under way.
    pub(crate) fn have_recorded_run(&self) -> bool {
        self.are_on_record() && self.under_way
    }

    /// Returns how many runs a later holder can't know the end of: one that
    /// is under way may have taken its worker down before that holder looks.
    pub(crate) fn unseen_on_record(&self) -> u32 {
        self.unseen + u32::from(self.have_recorded_run())
    }

    /// Notes that a run is started; returns whether the record must say so.
    fn start(&mut self) -> bool {
        self.is_told |= self.may_have_begun && !self.are_on_record();
        self.under_way |= self.are_on_record();
        self.under_way
    }

    /// Notes that the run that was under way is over, and can't have crashed
    /// its worker; returns whether it was on record.
    fn end(&mut self) -> bool {
        self.is_told = false;
        std::mem::take(&mut self.under_way)
    }

    /// Notes that the run that former holders told of is found where it was to
    /// start.
    pub(super) fn found(&mut self) {
        self.unseen = self.unseen.saturating_sub(1);
        self.is_told = !self.are_on_record();
        self.under_way = true;
    }

    /// Notes that the run that former holders told of isn't where it was to
    /// start, though its worker is.
    pub(super) fn did_not_start(&mut self) {
        self.unseen = self.unseen.saturating_sub(1);
    }

    /// Adds a run that former holders told of, whose worker is gone.
    ///
    /// The start that came before the first such run left no trace.
    pub(super) fn add_unseen_crash(&mut self, sequence: u64, now_ms: u64) {
        self.did_not_start();
        if !self.are_on_record() {
            self.unseen = 1;
        }
        self.count += 1;
        self.most_age_ms = SUSPECT_AGE_MS;
        self.noticed_ms = now_ms;
        self.likely = false;
        self.under_way = self.count >= TEST_AFTER_CRASHES;
        self.sequence = sequence;
    }

    /// Returns whether a start waits until these crashes are stored.
    fn must_be_stored_first(&self) -> bool {
        self.count >= TEST_AFTER_CRASHES
            || (self.count == 0 && self.unseen > 0)
    }

    /// Returns whether the next holder must know of a start before it is
    /// ordered.
    pub(super) fn must_record_start_first(&self) -> bool {
        self.may_have_begun || self.must_be_stored_first()
    }

    /// Adds a run that was lost. One that had lived on for longer than another
    /// needed for its crash counts as a start alone: a bad task acts alike each
    /// time.
    fn add(&mut self, run: &LostRun, likely: bool, now_ms: u64) {
        let least_ms = self.least_age_ms.unwrap_or(SUSPECT_AGE_MS);
        let alike = run.confirmed_ms <= 2 * least_ms + CLEARED_MARGIN_MS;
        if alike {
            self.count += 1;
        } else {
            self.unseen += 1;
        }
        self.most_age_ms = self.most_age_ms.max(run.most_age_ms);
        self.least_age_ms = Some(least_ms.min(run.most_age_ms));
        self.noticed_ms = now_ms;
        self.likely = likely;
        self.is_told = false;
        self.under_way = self.count >= TEST_AFTER_CRASHES;
    }

    /// Returns whether the task is most likely bad.
    fn is_probably_bad(&self) -> bool {
        self.likely && self.count >= TEST_AFTER_CRASHES
    }

    /// Returns how old a run can have been at most when its worker crashed, in
    /// milliseconds.
    pub(super) fn most_age_ms(&self) -> u64 {
        self.most_age_ms
    }

    /// Returns whether each run was lost as soon as it was started, which no
    /// VM that crashes by itself does again and again.
    fn were_immediate(&self) -> bool {
        self.most_age_ms <= IMMEDIATE_CRASH_MS
    }

    /// Returns whether the task has been started as often as it may.
    pub(super) fn exceed_limits(&self) -> bool {
        self.count >= MAX_CRASHES
            || (self.count >= MAX_CERTAIN_CRASHES
                && self.count + self.unseen >= MAX_STARTS)
    }

    /// Returns how long a run must live to clear its task, in milliseconds.
    fn cleared_after_ms(&self) -> u64 {
        if self.count == 0 {
            return SUSPECT_AGE_MS;
        }
        (2 * self.most_age_ms + CLEARED_MARGIN_MS).min(SUSPECT_AGE_MS)
    }
}

/// Beside which runs a task may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Colocation {
    /// Any.
    Any,
    /// Any but one that is being found out about.
    Untested,
    /// None that is suspected.
    Unsuspected,
    /// Only those that their worker has confirmed for a while.
    Proven,
    /// Only those that have gone on for longer than most take: the others are
    /// let end first, as the worker will most likely crash.
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

    /// Returns whether a task is being found out about.
    pub(super) fn is_for_tested(self) -> bool {
        matches!(self, Colocation::Proven | Colocation::LongProven)
    }
}

/// Returns whether a worker has confirmed all of its runs for that long, and
/// none of them is suspected.
fn all_runs_confirmed_for(worker: &Worker, least_ms: u64) -> bool {
    let reported_ms = worker.latest_report_ms();
    let confirmed = |run: &Run| run.confirmed_ms(reported_ms) >= least_ms;
    !worker.has_suspects() && worker.runs.values().all(confirmed)
}

/// A run that went down with its worker.
struct LostRun {
    task: TaskId,
    /// How long the worker had confirmed it.
    confirmed_ms: u64,
    /// How old it can have been at most.
    most_age_ms: u64,
    suspicion: Suspicion,
}

/// The runs that went down with one worker.
pub(super) struct LostRuns {
    /// The VM, unless its worker was to go or doesn't name it.
    crashed_vm: Option<String>,
    /// Set if the worker was lost before it had named its runs to this holder.
    pub(super) unsynced: Option<UnsyncedLoss>,
    /// Whether the worker fell silent long before its end was known.
    pub(super) was_silent: bool,
    /// Whether the worker was about to end anyway.
    was_draining: bool,
    runs: Vec<LostRun>,
}

impl LostRuns {
    /// Looks at what a worker had when it was lost.
    ///
    /// One that is draining ends by itself. One that is being emptied doesn't
    /// before it is empty: whatever it still had was lost in a crash.
    pub(super) fn of(worker: &Worker, now: Now) -> LostRuns {
        let draining = worker.listing.draining;
        let planned = draining
            || (worker.drain_reason.is_some() && worker.runs.is_empty());
        let answered_ms = worker.answered_worker_ms();
        let over_ms = worker.unanswered_since_ms().unwrap_or(now.steady_ms);
        let lost = |(task, run): (&TaskId, &Run)| LostRun {
            task: *task,
            confirmed_ms: run.confirmed_ms(answered_ms),
            most_age_ms: over_ms.saturating_sub(run.since_ms),
            suspicion: run.suspicion,
        };
        // The others went down with the process before.
        let counts = |(_, run): &(&TaskId, &Run)| !run.process_has_ended;
        let vm = &worker.listing.vm;
        let unsynced = !worker.synced && !draining;
        LostRuns {
            unsynced: unsynced.then(|| UnsyncedLoss::of(worker)),
            was_silent: now.steady_ms > over_ms + MAX_SILENCE_MS,
            crashed_vm: (!planned && !vm.is_empty()).then(|| vm.clone()),
            was_draining: draining,
            runs: worker.runs.iter().filter(counts).map(lost).collect(),
        }
    }

    /// Returns the runs that may have taken the worker down: all that began of
    /// late, or where some are being found out about, those and what isn't
    /// proven.
    fn suspects(&self) -> impl Iterator<Item = &LostRun> {
        let of_late = |run: &&LostRun| run.confirmed_ms < SUSPECT_AGE_MS;
        let young = || self.runs.iter().filter(of_late);
        let most = young().map(|run| run.suspicion.crashes).max().unwrap_or(0);
        let tested = young().any(|run| run.suspicion.tested);
        let least = if tested { most } else { 0 };
        young().filter(move |run| {
            run.suspicion.crashes >= least || run.confirmed_ms < PROVEN_MS
        })
    }

    /// Returns how old a run may be at most to be a likely cause.
    fn likely_age_ms(&self) -> u64 {
        likely_age_ms(self.runs.iter().map(|run| run.most_age_ms))
    }

    /// Returns whether no other run can have taken the worker down, if this
    /// task takes as long as it did for that.
    fn is_only_suspect(&self, task: &TaskId, crashes: &Crashes) -> bool {
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
        self.settle_starts_on(worker, lost, now);
        if let Some(unsynced) = &lost.unsynced {
            if self.was_taken_down(unsynced, now) {
                return;
            }
            self.note_unsynced_loss(unsynced);
        }
        let steady = self.note_vm_crash(lost.crashed_vm.as_deref(), now);
        let likely_age_ms = lost.likely_age_ms();
        for run in lost.suspects() {
            if lost.was_silent || lost.was_draining {
                self.note_suspect_ended(&run.task);
                continue;
            }
            let likely = run.most_age_ms <= likely_age_ms;
            let Some(crashes) = self.count_crash(run, likely, now) else {
                continue;
            };
            let certain = steady || crashes.were_immediate();
            let alone = certain && lost.is_only_suspect(&run.task, &crashes);
            self.note(Decision::Suspected {
                task: run.task,
                worker: worker.clone(),
                crashes: crashes.count,
                most_age_ms: run.most_age_ms,
                alone,
            });
            let sure = alone && crashes.count >= MAX_CERTAIN_CRASHES;
            if sure || crashes.exceed_limits() {
                self.give_up(&run.task, crashes.count, now);
            }
        }
    }

    /// Counts a crash; returns all of its task, if that is still to be done.
    fn count_crash(
        &mut self,
        run: &LostRun,
        likely: bool,
        now: Now,
    ) -> Option<Crashes> {
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
        if likely && crashes.likely {
            self.crash_bursts.note(&pool, now);
        }
        crashes.add(run, likely, now.steady_ms);
        crashes.sequence = sequence;
        Some(*crashes)
    }

    /// Clears a task of which a run lives on for longer than those that were
    /// lost with their workers.
    pub(super) fn clear_if_sound(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        let Some(run) = worker.runs.get(task) else { return };
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let known = state.is_some_and(|state| state.crashes.are_on_record());
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

    /// Clears a task that a worker has survived.
    pub(super) fn clear(&mut self, worker_id: &WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.clear_suspicion(task);
        }
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task));
        let Some(state) = state else { return };
        let most_age_ms = state.crashes.most_age_ms;
        let cleared = Crashes { most_age_ms, ..Crashes::default() };
        let crashes = std::mem::replace(&mut state.crashes, cleared);
        if crashes.are_on_record() {
            self.mark_told_changed(task.job, &crashes);
        }
    }

    /// Notes that what is on record of a task's run has changed, unless only a
    /// log of starts tells of that run.
    fn mark_told_changed(&mut self, id: JobId, crashes: &Crashes) {
        let stored = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.stored_sequence >= crashes.told_sequence);
        let only_logged = self.start_logs.are_enabled()
            && crashes.is_only_told()
            && !stored
            && !self.storing.contains_key(&id);
        if !only_logged {
            self.mark_changed(id);
        }
    }

    /// Notes that a task is started, so that its run counts for the next holder,
    /// which can't know how it ends, if it is suspected or a former holder may
    /// have started it before; returns its crashes.
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
            crashes.told_sequence = self.sequence;
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(task)) {
                state.crashes = crashes;
            }
            self.mark_told_changed(task.job, &crashes);
        }
        suspicion
    }

    /// Notes that a suspected task's run came to nothing, or ended in a way that
    /// says nothing: it isn't under way.
    pub(super) fn note_suspect_ended(&mut self, task: &TaskId) {
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(task));
        let Some(state) = state else { return };
        let before = state.crashes;
        if state.crashes.end() {
            self.mark_told_changed(task.job, &before);
        }
    }

    /// Puts the next start of tasks on record, before which they don't start:
    /// of those that are being found out about, and those that a former holder
    /// may have started unseen, as many of these as may start now.
    pub(super) fn announce_starts(&mut self, tasks: &[TaskId]) {
        let mut room = self.window.room();
        let mut all_are_known = !self.is_loading();
        for task in tasks {
            // Soon it is known whether that start counts.
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
                crashes = Crashes::possible(starts);
                room -= 1;
            }
            if !crashes.must_be_stored_first() || crashes.under_way {
                continue;
            }
            crashes.under_way = true;
            crashes.sequence = self.mark_changed(task.job);
            self.await_change(task.job, crashes.sequence);
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(task)) {
                state.crashes = crashes;
            }
        }
        // Looking through all that waits takes a plan a millisecond where
        // thousands of jobs do.
        if all_are_known {
            self.uncounted_pools.clear();
        }
    }

    pub(super) fn give_up(&mut self, task: &TaskId, crashes: u32, now: Now) {
        self.note(Decision::GivenUp { task: *task, crashes });
        self.finish(task.job, Phase::Failed, now);
    }

    /// Returns beside what a task may start now.
    ///
    /// One that is being found out about waits as long as it takes: a worker is
    /// kept free for it, and each suspect there is cleared or has crashed its
    /// worker within a second. The members of a gang, which start together,
    /// can't wait for that.
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
        let Crashes { count, noticed_ms, .. } = state.crashes;
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

    /// Returns whether a task is being found out about: its next run has
    /// nothing young beside it.
    pub(super) fn is_tested(
        &self,
        state: &Task,
        pool: &str,
        now: Now,
    ) -> bool {
        let Crashes { count, likely, .. } = state.crashes;
        count >= TEST_AFTER_CRASHES
            || (count > 0 && likely && self.crash_bursts.is_active(pool, now))
    }

    /// Keeps workers free from other starts for as long as tasks wait that are
    /// to be found out about: one in each pool, several while a series of
    /// crashes is on there. Else those would have to wait until nothing starts
    /// in a busy pool for a while.
    pub(super) fn reserve_workers(&mut self, waiting: &[TaskId], now: Now) {
        let mut kept: BTreeMap<&str, (WorkerId, ReservedFor)> =
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
            if !tested || kept.contains_key(pool) {
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
            let same = self.reserved.keys().find_map(|id| {
                let worker = self.workers.get(id)?;
                let here = worker.listing.pool == pool;
                (here && self.can_be_reserved(worker, task, now))
                    .then_some(worker)
            });
            let suitable = self.workers.values().filter(|worker| {
                worker.listing.pool == pool
                    && self.can_be_reserved(worker, task, now)
            });
            let chosen = same.or_else(|| {
                suitable.min_by_key(|worker| (worker.runs.len(), worker.id()))
            });
            if let Some(worker) = chosen {
                kept.insert(pool, (worker.id().clone(), ReservedFor::Tested));
            }
        }
        let mut reserved: BTreeMap<WorkerId, ReservedFor> =
            kept.into_values().collect();
        reserved.extend(
            self.reserve_burst_workers(requests, |request, worker| {
                self.can_be_reserved(worker, &request.task, now)
            }),
        );
        self.reserved = reserved;
    }

    /// Returns whether a worker may be kept free for a task that is to be found
    /// out about.
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
        // One with a kept place would be closed to the task that was stopped for
        // it: that was without work for 1.65 s in a random run.
        worker.is_usable()
            && !worker.has_reservations()
            && worker.listing.capacity.contains(&demand(spec))
            && !worker.has_suspects()
            && self.is_stable_enough(worker, wanted, now)
    }

    /// Returns whether a worker is kept free for other tasks, or this task has
    /// to wait for one that is kept free for it.
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

    /// Returns how steady the VM must be on which a task starts.
    ///
    /// A sound task that was lost twice must not end up on the one VM of a
    /// full pool that has room since it goes up and down.
    pub(super) fn required_stability(
        &self,
        spec: &StepSpec,
        state: &Task,
        pool: &str,
        now: Now,
    ) -> VmStability {
        let Crashes { count, noticed_ms, .. } = state.crashes;
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

    /// Returns whether a worker's VM is as steady as that.
    pub(super) fn is_stable_enough(
        &self,
        worker: &Worker,
        wanted: VmStability,
        now: Now,
    ) -> bool {
        wanted == VmStability::Flapping
            || self.vm_stability(&worker.listing.vm, now) >= wanted
    }

    /// Returns whether a task goes where it does least harm, and not where it
    /// suits best.
    pub(super) fn is_isolated(&self, spec: &StepSpec, state: &Task) -> bool {
        // One that lasts stays where it is put: not for a single crash.
        let least = if spec.long_running { TEST_AFTER_CRASHES } else { 1 };
        self.options.policy.placing.separates_suspects
            && state.crashes.count >= least
    }

    /// Returns how well a worker suits a task that may crash it: the fewer
    /// runs it would lose, the better.
    pub(super) fn isolation_score(
        &self,
        worker: &Worker,
        spec: &StepSpec,
    ) -> i64 {
        let mut score = -(worker.runs.len() as i64);
        let near = !spec.data_rack.is_empty()
            && worker.listing.rack == spec.data_rack;
        if near {
            score += DATA_LOCALITY_SCORE;
        }
        score
    }
}

impl Job {
    /// Returns whether all that must be on record before a task starts is.
    ///
    /// A holder that can't store its crashes may start a task once more; its
    /// successor, which knows of none, must not go on as if there were none.
    pub(super) fn may_start(&self, state: &Task) -> bool {
        !state.crashes.must_be_stored_first()
            || self.stored_sequence >= state.crashes.sequence
    }
}

impl Crashes {
    /// Returns how a run that is found, or that starts together with others, is
    /// suspected.
    pub(crate) fn suspicion(&self) -> Suspicion {
        let tested = self.count >= TEST_AFTER_CRASHES;
        Suspicion { crashes: self.count, tested }
    }
}
