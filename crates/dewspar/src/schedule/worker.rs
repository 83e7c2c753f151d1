pub(crate) use self::hold::DueHold;

use {
    self::clock::{ClockReading, max_elapsed_ms},
    crate::{
        job::{JobId, TaskId},
        link::Class,
        schedule::{
            HoldReport, Incarnation, Options, Resources, WorkerId,
            WorkerListing, cold_workers::ColdState, own_lease::Detachment,
            quotas::RunCharge, stopping::StopProgress,
        },
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

mod clock;
mod hold;
mod restart;

/// The number of fencing tokens available to one lease, a power of two. A
/// lease holder uses another token to fence off earlier orders of its own.
///
/// Tokens are sent as JSON numbers: the lease's revision times this stays
/// below 2^53 for the first 2^43 revisions.
const TOKENS_PER_LEASE: u64 = 1 << 10;

/// The number of different jobs that must fail on a worker, with no task done
/// in between, before the worker is suspended as faulty.
///
/// One may be a job that fails everywhere; two by chance are rare.
const FAILED_JOBS_TO_SUSPEND: usize = 2;

/// The number of consecutive starts without an answer, each under a token of
/// its own and with none accepted in between, before a worker is suspended as
/// faulty.
///
/// If half of all answers are lost, that happens by chance once in 65,536
/// times. If the lease holder itself is slow, any start that is accepted in
/// time resets the count.
const UNANSWERED_TO_SUSPEND: u32 = 16;

/// The size of a run in the answer to a hold, in bytes.
const RUN_BYTES: u64 = 60;

/// How much of its lease a worker may use up before a hold that renews the
/// lease gets priority over other traffic, in percent: 3 of 8 s, which leaves
/// time for several attempts.
const RENEWAL_DUE_PERCENT: u64 = 38;

/// The number of tokens of a lease used up on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokensUsed(u64);

/// Why a worker is being drained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DrainReason {
    /// Its VM is needed for maintenance by this wave.
    Maintenance(u64),
    /// Its VM is to move to this pool.
    Move(String),
}

/// Capacity reserved on a worker for one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservedRoom {
    /// The demand of the task.
    pub(crate) room: Resources,
    /// Whether the capacity was free when it was reserved; otherwise short
    /// tasks have to end first.
    pub(crate) was_free: bool,
}

impl ReservedRoom {
    /// Returns the part of the reservation that no other task can have taken.
    fn secured(&self) -> Resources {
        if self.was_free { self.room } else { Resources::default() }
    }
}

/// The state of one run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run: u64,
    /// The token of the order that started it; 0 if the run was found on the
    /// worker.
    pub(crate) fence: u64,
    pub(crate) demand: Resources,
    /// What it uses of a team's quota; `None` if its job has no team.
    pub(crate) charge: Option<RunCharge>,
    pub(crate) state: RunState,
    /// When the run was ordered or found.
    pub(crate) since_ms: u64,
    /// Since when the run is confirmed to exist, on the worker's clock.
    pub(crate) confirmed_from_ms: Option<u64>,
    pub(crate) percent: u8,
    /// When the percentage last changed.
    pub(crate) moved_ms: u64,
    /// When the progress was last left out of an answer or unreadable in it; 0
    /// for never.
    pub(crate) unread_ms: u64,
    pub(crate) gauge: u64,
    /// The pace at which the run was ordered to work, in percent.
    pub(crate) pace: u8,
    /// Whether the task may crash workers, unless it has been cleared.
    pub(crate) suspicion: Suspicion,
    /// Whether the resources that the run uses are known.
    pub(crate) measured: bool,
    /// Whether the task is long-running.
    pub(crate) long_running: bool,
    /// Whether the worker process has listed the run.
    pub(crate) is_listed: bool,
    /// Whether the process to which the run was ordered has ended and it isn't
    /// known whether the next process has the run.
    pub(crate) process_has_ended: bool,
}

/// Whether the task of a run may crash workers; see `suspects`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Suspicion {
    /// The number of workers lost in a row while they ran the task.
    pub(crate) crashes: u32,
    /// Whether no other run may start on the worker.
    pub(crate) tested: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// The order to start the run has no answer yet.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// The worker no longer lists the run as active, but hasn't reported yet
    /// how it ended.
    EndUnreported,
    /// The run is to stop. Its resources stay in use until the worker reports
    /// its end.
    Stopping(StopProgress),
}

impl Run {
    /// Creates a run that has just been ordered and isn't known to have begun.
    pub(crate) fn ordered(
        run: u64,
        fence: u64,
        demand: Resources,
        now_ms: u64,
    ) -> Run {
        Run {
            run,
            fence,
            demand,
            charge: None,
            state: RunState::Starting,
            since_ms: now_ms,
            confirmed_from_ms: None,
            percent: 0,
            moved_ms: now_ms,
            unread_ms: 0,
            gauge: 0,
            pace: 100,
            suspicion: Suspicion::default(),
            measured: true,
            long_running: false,
            is_listed: false,
            process_has_ended: false,
        }
    }

    /// Returns whether the run was found on its worker, ordered by a former
    /// holder.
    pub(crate) fn is_found(&self) -> bool {
        self.fence == 0
    }

    /// Sets what the run uses of a team's quota.
    pub(crate) fn with_charge(mut self, charge: Option<RunCharge>) -> Run {
        self.charge = charge;
        self
    }

    /// Sets whether the task is long-running.
    pub(crate) fn with_long_running(mut self, long_running: bool) -> Run {
        self.long_running = long_running;
        self
    }

    /// Sets whether the task may crash workers.
    pub(crate) fn with_suspicion(mut self, suspicion: Suspicion) -> Run {
        self.suspicion = suspicion;
        self
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping(_))
    }

    /// Returns whether the worker has confirmed that the run began.
    pub(crate) fn has_begun(&self) -> bool {
        match self.state {
            RunState::Starting => false,
            RunState::Running | RunState::EndUnreported => true,
            RunState::Stopping(stop) => stop.begun,
        }
    }

    /// Records that the run existed at this time of the worker's clock.
    pub(crate) fn confirm(&mut self, worker_ms: u64) {
        self.confirmed_from_ms.get_or_insert(worker_ms);
    }

    /// Returns for how long the worker had confirmed the run by this time of
    /// its own clock, in milliseconds; 0 if the run isn't known to have begun.
    ///
    /// The worker's clock counts here, since an answer may be in transit for
    /// longer than the worker exists.
    pub(crate) fn confirmed_ms(&self, worker_ms: u64) -> u64 {
        let from_ms = self.confirmed_from_ms.unwrap_or(worker_ms);
        worker_ms.saturating_sub(from_ms)
    }

    /// Returns when the next order to stop the run is due, if the run is to
    /// stop.
    pub(crate) fn stop_due_ms(&self, options: &Options) -> Option<u64> {
        match &self.state {
            RunState::Starting
            | RunState::Running
            | RunState::EndUnreported => None,
            RunState::Stopping(stop) => {
                Some(stop.due_ms(options.stop_retry_ms))
            }
        }
    }

    pub(crate) fn stop(&mut self, reason: &'static str) {
        if !self.is_stopping() {
            let stop = StopProgress::new(reason, self.has_begun());
            self.state = RunState::Stopping(stop);
        }
    }
}

/// A reported end whose change isn't stored yet.
#[derive(Clone, Copy, Debug)]
struct UnstoredEnd {
    number: u64,
    job: JobId,
    sequence: u64,
}

/// The state of one worker process, as known to the lease holder.
#[derive(Debug)]
pub(crate) struct Worker {
    /// The session number, which is unique to each worker process that is
    /// added.
    pub(crate) session: u64,
    pub(crate) listing: WorkerListing,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    used: Resources,
    /// The part of `used` that belongs to long-running tasks.
    used_by_long_running: Resources,
    /// The capacity reserved for tasks that are to start here.
    reserved: BTreeMap<TaskId, ReservedRoom>,
    /// The sum of all reservations.
    reserved_room: Resources,
    /// The sum of the reservations on capacity that was free.
    secured_room: Resources,
    /// The number of runs under suspicion.
    suspects: usize,
    /// The number of runs beside which nothing may start.
    tested: usize,
    lease_revision: u64,
    fences: u64,
    /// Whether an answer under the current token is outstanding. No other
    /// order is sent before it arrives.
    fencing: bool,
    /// Whether the worker has listed all of its runs and ends under this
    /// lease, or the former lease is over, so that the runs started by a former
    /// holder are known.
    pub(crate) synced: bool,
    seen_end: u64,
    stored_end: u64,
    acknowledged: u64,
    unstored: VecDeque<UnstoredEnd>,
    clock: Option<ClockReading>,
    latest_report_ms: u64,
    /// Until when the worker has confirmed the lease of its runs, on its own
    /// clock; 0 for not yet.
    confirmed_until_ms: u64,
    /// When all runs on the worker have certainly ended unless the lease is
    /// renewed.
    pub(crate) lease_over_ms: u64,
    /// Whether the lease isn't extended, because the stored record of silent
    /// workers may list the worker.
    pub(crate) is_lease_withheld: bool,
    hold_in_flight: bool,
    /// When the newest hold was sent, except those under a new token.
    asked_ms: u64,
    fence_hold_in_flight: bool,
    next_hold_ms: u64,
    /// Until when no holds are sent, so that the worker collects ends.
    backoff_until_ms: u64,
    /// Whether the worker is asked once, although nothing runs there.
    probed: bool,
    /// Whether the last hold got no answer. A single answer may be lost in
    /// transit; only a second consecutive loss marks the worker as silent.
    missed_hold: bool,
    /// Whether the worker may delay its answers for longer than usual.
    long_poll: bool,
    /// Whether the newest answer lists runs of jobs that aren't loaded yet.
    unknown_runs: bool,
    /// Since when the worker hasn't answered; `None` while it does.
    pub(crate) silent_since_ms: Option<u64>,
    /// When the first unanswered call since the newest answer failed.
    unanswered_since_ms: Option<u64>,
    failed_jobs: BTreeSet<JobId>,
    /// Whether the last start was refused although there seemed to be room.
    last_start_refused: bool,
    /// The number of consecutive starts without an answer, each under another
    /// token.
    unanswered_starts: u32,
    suspended_until_ms: u64,
    suspensions: u32,
    /// When the pace of a run was last changed.
    paced_ms: u64,
    /// The runs whose last pace order has no result.
    pub(crate) unset_paces: BTreeSet<TaskId>,
    /// Why the worker is being drained, if it is.
    pub(crate) drain_reason: Option<DrainReason>,
    pub(crate) drain_since_ms: u64,
    /// How long it is slow after its start.
    pub(crate) cold: ColdState,
    /// Whether its data hall is being emptied.
    pub(crate) in_evacuated_hall: bool,
    /// Whether its data hall is down, so that it takes no tasks.
    pub(crate) in_down_hall: bool,
    /// Whether its data hall is cut off or lost.
    pub(crate) in_unreachable_hall: bool,
    /// Since when the worker has had no run.
    pub(crate) idle_since_ms: u64,
    /// When the worker became known, on the steady clock, in milliseconds.
    pub(crate) first_listed_ms: u64,
    /// In which time without a valid lease its process became known.
    pub(crate) listed_in: Detachment,
    /// Whether the directory still lists the worker.
    pub(crate) listed: bool,
    /// Whether the directory has listed another worker on its VM since it last
    /// listed this one.
    pub(crate) is_doubted: bool,
    /// The time as of which the listing is known.
    pub(crate) reported_at_ms: u64,
    /// The number of runs whose resource usage is unknown.
    unmeasured: usize,
    /// Whether the newest answer listed runs that couldn't be read.
    unread_runs: bool,
    /// Whether the newest answer may have left out later ends.
    has_more_ends: bool,
    /// Whether the lists of the last answer were ignored as outdated.
    lists_passed_over: bool,
    /// Whether the lease has expired and the worker hasn't answered since.
    is_lapsed: bool,
}

impl Worker {
    pub(crate) fn new(
        listing: WorkerListing,
        lease_revision: u64,
        now_ms: u64,
        options: &Options,
    ) -> Worker {
        let has_no_address = listing.address.is_empty();
        Worker {
            session: 0,
            listing,
            runs: BTreeMap::new(),
            used: Resources::default(),
            used_by_long_running: Resources::default(),
            reserved: BTreeMap::new(),
            reserved_room: Resources::default(),
            secured_room: Resources::default(),
            suspects: 0,
            tested: 0,
            lease_revision,
            fences: 0,
            fencing: true,
            synced: false,
            seen_end: 0,
            stored_end: 0,
            acknowledged: 0,
            unstored: VecDeque::new(),
            clock: None,
            latest_report_ms: 0,
            confirmed_until_ms: 0,
            lease_over_ms: now_ms + options.inherited_lease_ms(),
            is_lease_withheld: false,
            hold_in_flight: false,
            asked_ms: 0,
            fence_hold_in_flight: false,
            next_hold_ms: 0,
            backoff_until_ms: 0,
            probed: false,
            missed_hold: false,
            long_poll: false,
            unknown_runs: false,
            silent_since_ms: None,
            unanswered_since_ms: None,
            failed_jobs: BTreeSet::new(),
            last_start_refused: false,
            unanswered_starts: 0,
            suspended_until_ms: 0,
            suspensions: 0,
            paced_ms: 0,
            unset_paces: BTreeSet::new(),
            drain_reason: None,
            drain_since_ms: 0,
            cold: ColdState::default(),
            in_evacuated_hall: false,
            in_down_hall: false,
            in_unreachable_hall: false,
            idle_since_ms: now_ms,
            first_listed_ms: now_ms,
            listed_in: 0,
            listed: !has_no_address,
            is_doubted: false,
            reported_at_ms: now_ms,
            unmeasured: 0,
            unread_runs: false,
            has_more_ends: false,
            lists_passed_over: false,
            is_lapsed: false,
        }
    }

    /// Returns whether the worker may run something, or have done something,
    /// that a former holder has started and that isn't known yet.
    pub(crate) fn may_run_unknown(&self, now_ms: u64) -> bool {
        // A worker that answers reports its remaining ends even if its lease
        // isn't renewed.
        let reports_later =
            self.has_more_ends && self.silent_since_ms.is_none();
        !self.runs_are_known()
            && (reports_later || now_ms <= self.lease_over_ms)
    }

    /// Returns whether the worker reports the incarnation of its process.
    pub(crate) fn reports_incarnation(&self) -> bool {
        self.listing.incarnation != Incarnation::UNKNOWN
    }

    /// Returns the number of tokens used up on the worker.
    pub(crate) fn tokens_used(&self) -> TokensUsed {
        TokensUsed(self.fences)
    }

    /// Returns whether the lease has expired and the worker hasn't answered
    /// since.
    pub(crate) fn is_lapsed(&self) -> bool {
        self.is_lapsed
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.listing.id
    }

    pub(crate) fn fence(&self) -> u64 {
        self.lease_revision * TOKENS_PER_LEASE + self.fences
    }

    /// Returns the free capacity without any reservations.
    pub(crate) fn free(&self) -> Resources {
        let unused = self.listing.capacity.minus(&self.used);
        // Fast path: nearly all workers have no reservation, and this is
        // called for each worker of a pool.
        if self.reserved.is_empty() {
            unused
        } else {
            unused.minus(&self.reserved_room)
        }
    }

    /// Returns the free capacity for a task, including its own reservation.
    pub(crate) fn free_for(&self, task: &TaskId) -> Resources {
        let Some(own) = self.reserved.get(task) else { return self.free() };
        let unused = self.listing.capacity.minus(&self.used);
        // Reservations on capacity that isn't free yet must not block capacity
        // that is: two waiting tasks would block each other.
        unused.minus(&self.secured_room.minus(&own.secured()))
    }

    /// Returns the capacity that will be free for a task once all short tasks
    /// have ended.
    pub(crate) fn free_soon_for(&self, task: &TaskId) -> Resources {
        let own = self.reserved.get(task).map(|reserved| reserved.room);
        let others = self.reserved_room.minus(&own.unwrap_or_default());
        self.listing.capacity.minus(&self.used_by_long_running).minus(&others)
    }

    /// Reserves capacity for a task that is to start here.
    pub(crate) fn reserve_for(
        &mut self,
        task: TaskId,
        reserved: ReservedRoom,
    ) {
        self.reserved.insert(task, reserved);
        self.sum_reserved();
    }

    /// Releases the capacity reserved for a task.
    pub(crate) fn release(&mut self, task: &TaskId, now_ms: u64) {
        if self.reserved.remove(task).is_none() {
            return;
        }
        self.sum_reserved();
        if self.runs.is_empty() {
            self.idle_since_ms = now_ms;
        }
    }

    fn sum_reserved(&mut self) {
        self.reserved_room = Resources::default();
        self.secured_room = Resources::default();
        for reserved in self.reserved.values() {
            self.reserved_room.add(&reserved.room);
            self.secured_room.add(&reserved.secured());
        }
    }

    /// Returns the tasks for which capacity is reserved.
    pub(crate) fn reserved_tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.reserved.keys()
    }

    /// Returns whether capacity is reserved for any task.
    pub(crate) fn has_reservations(&self) -> bool {
        !self.reserved.is_empty()
    }

    pub(crate) fn used(&self) -> &Resources {
        &self.used
    }

    pub(crate) fn insert(&mut self, task: TaskId, run: Run) {
        self.used.add(&run.demand);
        if run.long_running {
            self.used_by_long_running.add(&run.demand);
        }
        self.suspects += usize::from(run.suspicion.crashes > 0);
        self.tested += usize::from(run.suspicion.tested);
        self.unmeasured += usize::from(!run.measured);
        if let Some(old) = self.runs.insert(task, run) {
            self.subtract_run(&old);
        }
    }

    /// Subtracts a removed run from all totals.
    fn subtract_run(&mut self, run: &Run) {
        self.used.subtract(&run.demand);
        if run.long_running {
            self.used_by_long_running.subtract(&run.demand);
        }
        self.suspects -= usize::from(run.suspicion.crashes > 0);
        self.tested -= usize::from(run.suspicion.tested);
        self.unmeasured -= usize::from(!run.measured);
    }

    /// Returns whether the listing is known as of a later time than this one
    /// of the steady clock, in milliseconds.
    pub(crate) fn is_reported_since(&self, asked_ms: u64) -> bool {
        self.reported_at_ms > asked_ms
    }

    /// Returns whether the free capacity is known for certain: the listing
    /// isn't older than the given age, and the resource usage of all runs is
    /// known.
    pub(crate) fn has_current_room(
        &self,
        now_ms: u64,
        max_age_ms: u64,
    ) -> bool {
        now_ms <= self.reported_at_ms + max_age_ms
            && self.unmeasured == 0
            && !self.unread_runs
    }

    /// Returns whether some run belongs to a task that may crash workers.
    pub(crate) fn has_suspects(&self) -> bool {
        self.suspects > 0
    }

    /// Returns whether the worker has a run beside which nothing may start.
    pub(crate) fn tests_a_run(&self) -> bool {
        self.tested > 0
    }

    /// Clears the suspicion against a run.
    pub(crate) fn clear_suspicion(&mut self, task: &TaskId) {
        let Some(run) = self.runs.get_mut(task) else { return };
        self.suspects -= usize::from(run.suspicion.crashes > 0);
        self.tested -= usize::from(run.suspicion.tested);
        run.suspicion = Suspicion::default();
    }

    pub(crate) fn remove(
        &mut self,
        task: &TaskId,
        now_ms: u64,
    ) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.subtract_run(&run);
        self.unset_paces.remove(task);
        if self.runs.is_empty() {
            self.idle_since_ms = now_ms;
        }
        Some(run)
    }

    /// Returns the number of runs of a task's step, plus the number of
    /// reservations for other tasks of the step.
    pub(crate) fn runs_of_step(&self, task: &TaskId) -> usize {
        let first = TaskId { index: 0, ..*task };
        let last = TaskId { index: u32::MAX, ..*task };
        let reserved = self.reserved.range(first..=last);
        let reserved = reserved.filter(|(other, _)| *other != task).count();
        self.runs.range(first..=last).count() + reserved
    }

    /// Returns when the newest answer arrived.
    pub(crate) fn reported_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.at_ms)
    }

    /// Returns whether the worker's process has answered this holder.
    pub(crate) fn has_answered(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns the latest time of the worker's clock in an answer; 0 for none.
    pub(crate) fn answered_worker_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.worker_ms)
    }

    /// Returns the time of the worker's clock at which it last listed its
    /// runs.
    pub(crate) fn latest_report_ms(&self) -> u64 {
        self.latest_report_ms
    }

    /// Returns when the first unanswered call since the newest answer failed.
    pub(crate) fn unanswered_since_ms(&self) -> Option<u64> {
        self.unanswered_since_ms
    }

    /// Records that a call got no answer.
    pub(crate) fn record_unanswered(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
    }

    /// Returns whether the pace of a run may be changed again.
    pub(crate) fn is_pace_due(&self, now_ms: u64, interval_ms: u64) -> bool {
        now_ms >= self.paced_ms + interval_ms
    }

    pub(crate) fn paced(&mut self, now_ms: u64) {
        self.paced_ms = now_ms;
    }

    /// Returns whether the newest answer leaves runs unidentified that a former
    /// lease holder may have started.
    ///
    /// Once the worker has listed all of its runs, and their jobs are loaded,
    /// this holder has ordered any other one itself.
    pub(crate) fn has_unidentified_runs(&self) -> bool {
        self.unread_runs && !self.runs_are_known()
    }

    /// Returns whether an answer leaves out no run that a former lease holder
    /// may have started: one that can't be read is over once the lease is.
    pub(crate) fn identifies_all_runs(
        &self,
        report: &HoldReport,
        now_ms: u64,
    ) -> bool {
        !report.is_partial || now_ms > self.lease_over_ms
    }

    /// Returns whether rows of the newest answer couldn't be read.
    pub(crate) fn has_unread_runs(&self) -> bool {
        self.unread_runs
    }

    /// Returns whether the runs started by former lease holders are known.
    pub(crate) fn runs_are_known(&self) -> bool {
        self.synced && !self.unknown_runs
    }

    /// Returns whether the newest answer under this lease listed all runs and
    /// all of them could be read.
    pub(crate) fn has_listed_all_runs(&self) -> bool {
        self.runs_are_known() && !self.unread_runs
    }

    pub(crate) fn has_unknown_runs(&self) -> bool {
        self.unknown_runs
    }

    pub(crate) fn set_unknown_runs(&mut self, unknown: bool) {
        self.unknown_runs = unknown;
    }

    /// Returns whether the worker has runs or may have some.
    fn is_occupied(&self) -> bool {
        !self.runs.is_empty()
            || self.unknown_runs
            || self.has_unidentified_runs()
    }

    /// Returns whether the worker has, or may have, a run that isn't to stop.
    fn has_wanted_runs(&self) -> bool {
        // Runs that couldn't be read may be wanted.
        let unread = self.unread_runs && !self.runs.is_empty();
        let mut runs = self.runs.values();
        self.unknown_runs || unread || runs.any(|run| !run.is_stopping())
    }

    /// Returns whether the worker can take new tasks, now or soon.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_in_service() && !self.in_evacuated_hall && !self.in_down_hall
    }

    /// Returns whether the worker could take new tasks, now or soon, if its
    /// data hall weren't being emptied.
    pub(crate) fn is_in_service(&self) -> bool {
        self.runs_are_known()
            && self.listed
            // Missing entries are excused after an outage of the directory.
            && !self.is_doubted
            && !self.listing.draining
            && self.drain_reason.is_none()
            && self.silent_since_ms.is_none()
            && !self.in_unreachable_hall
            // A start without an answer could no longer be voided.
            && !self.is_out_of_tokens()
    }

    /// Returns whether the worker has announced that it will end together with
    /// all its runs. It accepts orders to stop runs until then.
    pub(crate) fn is_terminating(&self) -> bool {
        self.listing.draining
            && self.listed
            && self.synced
            && self.silent_since_ms.is_none()
    }

    /// Returns whether long-running tasks have to leave the worker.
    pub(crate) fn must_be_vacated(&self) -> bool {
        let is_evacuated = self.in_evacuated_hall && self.is_in_service();
        is_evacuated || self.drain_reason.is_some() || self.is_terminating()
    }

    /// Returns whether new runs may be ordered.
    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.accepts_placed_runs(now_ms)
            && (self.failed_jobs.len() < FAILED_JOBS_TO_SUSPEND
                || self.runs.is_empty())
    }

    /// Returns whether runs already assigned to this worker may be ordered.
    pub(crate) fn accepts_placed_runs(&self, now_ms: u64) -> bool {
        !self.fencing
            && !self.is_lease_withheld
            && self.is_usable()
            && now_ms >= self.suspended_until_ms
            // While nothing can be stored, tasks that need little room would
            // otherwise add ends without limit.
            && !self.has_more_ends
    }

    /// Returns whether no token is left under this lease, so that an order
    /// without an answer could no longer be voided.
    pub(crate) fn is_out_of_tokens(&self) -> bool {
        self.fences >= TOKENS_PER_LEASE - 1
    }

    /// Returns whether an answer under the current token is outstanding.
    pub(crate) fn is_fencing(&self) -> bool {
        self.fencing
    }

    /// Voids all orders sent so far by asking for an answer under a new token.
    pub(crate) fn raise_fence(&mut self, now_ms: u64) {
        self.fences = (self.fences + 1).min(TOKENS_PER_LEASE - 1);
        self.fencing = true;
        self.next_hold_ms = now_ms;
    }

    /// Returns until when the lease may be extended, on the worker's clock.
    pub(crate) fn lease_until_ms(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> Option<u64> {
        // Unidentified runs have to be over at some time, and they are leased
        // together with all others.
        let withheld = self.is_lease_withheld || self.has_unidentified_runs();
        let clock = self.clock.filter(|_| !withheld)?;
        let elapsed = now_ms.saturating_sub(clock.at_ms);
        let granted_ms = elapsed + options.granted_lease_ms();
        // A worker may report any time.
        Some(clock.worker_ms.saturating_add(granted_ms))
    }

    /// Returns the priority class of a hold to the worker.
    pub(crate) fn question_class(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> Class {
        let silent = self.silent_since_ms.is_some();
        let renewed = self.lease_until_ms(now_ms, options).is_some_and(|u| {
            let due_ms =
                options.granted_lease_ms() * RENEWAL_DUE_PERCENT / 100;
            self.confirmed_until_ms.saturating_add(due_ms) >= u
        });
        if renewed || silent || !self.has_wanted_runs() {
            Class::Question
        } else {
            Class::Renewal
        }
    }

    /// Returns the size of a hold with its answer, in bytes, given the size of
    /// an empty order.
    pub(crate) fn question_bytes(&self, order_bytes: u64) -> u64 {
        order_bytes.max(RUN_BYTES * self.runs.len() as u64)
    }

    /// Records that an order was sent that extends the lease until then.
    pub(crate) fn lease_sent(&mut self, until_worker_ms: u64) {
        let Some(clock) = self.clock else { return };
        let left = until_worker_ms.saturating_sub(clock.worker_ms);
        let over_ms = clock.at_ms + max_elapsed_ms(left);
        self.lease_over_ms = self.lease_over_ms.max(over_ms);
    }

    pub(crate) fn read_clock(&mut self, worker_ms: u64, at_ms: u64) {
        let newer = self.clock.is_none_or(|clock| worker_ms > clock.worker_ms);
        if newer {
            self.clock = Some(ClockReading { worker_ms, at_ms });
        }
    }

    /// Returns whether the worker has no runs and no reservations, nothing may
    /// start any more, and all its ends are acknowledged.
    pub(crate) fn is_settled(&self) -> bool {
        !self.is_occupied()
            && !self.has_reservations()
            && !self.fencing
            && self.acknowledged >= self.seen_end
    }

    /// Returns whether some reported end isn't stored yet.
    pub(crate) fn has_ends_to_store(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Records a reported end. Returns false if it was known already.
    pub(crate) fn record_end(&mut self, number: u64) -> bool {
        let new = number > self.seen_end;
        self.seen_end = self.seen_end.max(number);
        new
    }

    /// Records that an end is part of a change that isn't stored yet.
    pub(crate) fn end_pending_store(
        &mut self,
        number: u64,
        job: JobId,
        sequence: u64,
    ) {
        self.unstored.push_back(UnstoredEnd { number, job, sequence });
    }

    /// Discards the unstored ends of a job and all ends reported after the
    /// first of them, so that the worker reports them again.
    pub(crate) fn redeliver(&mut self, job: JobId) {
        let first = self.unstored.iter().position(|end| end.job == job);
        let Some(first) = first else { return };
        self.seen_end = self.unstored[first].number.saturating_sub(1);
        self.unstored.truncate(first);
        // The next hold is due immediately, as after a lost answer.
        self.missed_hold = true;
    }

    /// Advances the end that may be acknowledged, in order, up to the first
    /// end whose change isn't stored.
    pub(crate) fn advance_stored_ends(
        &mut self,
        now_ms: u64,
        is_stored: impl Fn(JobId, u64) -> bool,
    ) {
        while let Some(end) = self.unstored.front() {
            if !is_stored(end.job, end.sequence) {
                return;
            }
            self.stored_end = end.number;
            self.next_hold_ms = now_ms;
            self.unstored.pop_front();
        }
    }

    pub(crate) fn task_done(&mut self) {
        self.failed_jobs.clear();
        self.suspensions = 0;
        self.suspended_until_ms = 0;
    }

    /// Records a failed task. Returns true if the worker is suspended for it.
    pub(crate) fn task_failed(
        &mut self,
        job: JobId,
        now_ms: u64,
        options: &Options,
    ) -> bool {
        if !options.policy.watching.suspends {
            return false;
        }
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < FAILED_JOBS_TO_SUSPEND {
            return false;
        }
        self.suspend(now_ms, options);
        true
    }

    /// Records that the worker has accepted a start.
    pub(crate) fn start_accepted(&mut self) {
        self.last_start_refused = false;
        self.unanswered_starts = 0;
    }

    /// Records that a start was carried out although its answer was lost.
    pub(crate) fn start_confirmed(&mut self) {
        self.unanswered_starts = 0;
    }

    /// Records that a start under the newest token got no answer. Returns
    /// whether too many did in a row.
    pub(crate) fn count_unanswered_start(&mut self) -> bool {
        self.unanswered_starts = self.unanswered_starts.saturating_add(1);
        self.unanswered_starts >= UNANSWERED_TO_SUSPEND
    }

    /// Records that the worker has refused a start without being faulty.
    /// Returns whether the start before was refused too.
    pub(crate) fn repeats_refusal(&mut self) -> bool {
        std::mem::replace(&mut self.last_start_refused, true)
    }

    /// Suspends the worker for a while, which doubles each time in a row.
    ///
    /// Has no effect on a suspended worker: a burst of refusals counts as one.
    pub(crate) fn suspend(&mut self, now_ms: u64, options: &Options) {
        if now_ms < self.suspended_until_ms {
            return;
        }
        let longer = self.suspensions.min(options.max_suspension_doublings);
        self.suspended_until_ms = now_ms + (options.suspension_ms << longer);
        self.suspensions += 1;
    }

    /// Ends a suspension that was caused by calls without an answer.
    pub(crate) fn end_suspension(&mut self) {
        self.unanswered_starts = 0;
        self.suspensions = 0;
        self.suspended_until_ms = 0;
    }

    /// Removes a failure that turned out to be caused by the job itself.
    pub(crate) fn clear_failure(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }
}
