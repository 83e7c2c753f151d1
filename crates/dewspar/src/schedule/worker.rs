pub(crate) use self::hold::DueHold;

use {
    self::clock::{ClockReading, max_elapsed_ms},
    crate::{
        job::{JobId, TaskId},
        link::Class,
        schedule::{
            Incarnation, Options, Resources, WorkerId, WorkerListing,
            stopping::StopProgress,
        },
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

mod clock;
mod hold;
mod restart;

/// Room in a fencing token for the orders of one lease holder that had to
/// be fenced off themselves, a power of two.
///
/// Tokens travel as JSON numbers, so the lease's revision times this stays
/// below 2^53 for the first 2^43 revisions.
const TOKENS_PER_LEASE: u64 = 1 << 10;

/// How many jobs must fail on a worker in a row, with no task done between,
/// before it is held to be at fault itself.
///
/// One may be a job that fails everywhere; two by chance are rare.
const FAILED_JOBS_TO_SUSPEND: usize = 2;

/// How many starts in a row must get no answer, each under a token of its own
/// and with none taken between, before a worker is held to be at fault itself.
///
/// Where half of all answers are lost, that happens by chance once in 65,536
/// times; where the holder itself is late, a start that is taken in time begins
/// the count anew.
const UNANSWERED_TO_SUSPEND: u32 = 16;

/// What a run takes in the answer to a question, in bytes.
const RUN_BYTES: u64 = 60;

/// Which part of its lease a worker may use up before a question that renews
/// it goes before all else, in percent: 3 of 8 s, so that several tries are
/// left.
const RENEWAL_DUE_PERCENT: u64 = 38;

/// How many tokens of a lease were used up on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokensUsed(u64);

/// Why a worker is being emptied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DrainReason {
    /// Its VM is to be maintained for this wave.
    Maintenance(u64),
    /// Its VM is to move to this pool.
    Move(String),
}

/// Room that is kept on a worker for one task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReservedRoom {
    /// What the task takes.
    pub(crate) room: Resources,
    /// Whether that was free when it was kept; else short tasks have to end
    /// first.
    pub(crate) was_free: bool,
}

impl ReservedRoom {
    /// Returns what nobody else can have taken.
    fn secured(&self) -> Resources {
        if self.was_free { self.room } else { Resources::default() }
    }
}

/// What is known of one run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run: u64,
    /// The token of the order that started it; 0 if it was found running.
    pub(crate) fence: u64,
    pub(crate) demand: Resources,
    pub(crate) state: RunState,
    /// When it was ordered or found.
    pub(crate) since_ms: u64,
    /// From when on it is known to have been there, on its worker's clock.
    pub(crate) confirmed_from_ms: Option<u64>,
    pub(crate) percent: u8,
    /// When its percentage last moved.
    pub(crate) moved_ms: u64,
    pub(crate) gauge: u64,
    /// The share at which it was ordered to work, in percent.
    pub(crate) pace: u8,
    /// Whether its task may crash workers, unless it has cleared that.
    pub(crate) suspicion: Suspicion,
    /// Whether it is known what it takes.
    pub(crate) measured: bool,
    /// Whether its task is to last.
    pub(crate) long_running: bool,
    /// Whether its worker's process has listed it.
    pub(crate) is_listed: bool,
    /// Whether the process that it was ordered of has ended, while it isn't
    /// known whether the next one has it.
    pub(crate) process_has_ended: bool,
}

/// Whether a run's task may crash workers; see `suspects`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Suspicion {
    /// How many workers in a row were lost under the task.
    pub(crate) crashes: u32,
    /// Whether nothing may start beside the run.
    pub(crate) tested: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunState {
    /// The order to start it has no answer yet.
    Starting,
    /// The worker has said that it is there.
    Running,
    /// It is to stop; its room is taken until the end is listed.
    Stopping(StopProgress),
}

impl Run {
    /// Makes a run that is ordered now and isn't known to have begun.
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
            state: RunState::Starting,
            since_ms: now_ms,
            confirmed_from_ms: None,
            percent: 0,
            moved_ms: now_ms,
            gauge: 0,
            pace: 100,
            suspicion: Suspicion::default(),
            measured: true,
            long_running: false,
            is_listed: false,
            process_has_ended: false,
        }
    }

    /// Sets whether its task is to last.
    pub(crate) fn with_long_running(mut self, long_running: bool) -> Run {
        self.long_running = long_running;
        self
    }

    /// Sets whether its task may crash workers.
    pub(crate) fn with_suspicion(mut self, suspicion: Suspicion) -> Run {
        self.suspicion = suspicion;
        self
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.state, RunState::Stopping(_))
    }

    /// Returns whether the worker has said that it is there.
    pub(crate) fn has_begun(&self) -> bool {
        match self.state {
            RunState::Starting => false,
            RunState::Running => true,
            RunState::Stopping(stop) => stop.begun,
        }
    }

    /// Notes that it was there by this time of its worker's clock.
    pub(crate) fn confirm(&mut self, worker_ms: u64) {
        self.confirmed_from_ms.get_or_insert(worker_ms);
    }

    /// Returns for how long its worker had confirmed it by this time of that
    /// worker's clock, in milliseconds; 0 if it isn't known to have begun.
    ///
    /// By the worker's clock, since an answer may be on its way for longer
    /// than the worker lives on.
    pub(crate) fn confirmed_ms(&self, worker_ms: u64) -> u64 {
        let from_ms = self.confirmed_from_ms.unwrap_or(worker_ms);
        worker_ms.saturating_sub(from_ms)
    }

    /// Returns from when it is to be ordered to stop, if it is to stop.
    pub(crate) fn stop_due_ms(&self, options: &Options) -> Option<u64> {
        match &self.state {
            RunState::Starting | RunState::Running => None,
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

/// An end whose change isn't stored yet.
#[derive(Clone, Copy, Debug)]
struct UnstoredEnd {
    number: u64,
    job: JobId,
    sequence: u64,
}

/// One process of a worker as the holder of the scheduler lease sees it.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Since when it is known, as a number of its own.
    pub(crate) session: u64,
    pub(crate) listing: WorkerListing,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    used: Resources,
    /// What the runs of that take whose tasks are to last.
    used_by_long_running: Resources,
    /// What is kept free for tasks that are to start here.
    reserved: BTreeMap<TaskId, ReservedRoom>,
    /// The sum of that.
    reserved_room: Resources,
    /// The sum of what of that is there already.
    secured_room: Resources,
    /// How many of the runs are suspected.
    suspects: usize,
    /// How many of the runs want nothing started beside them.
    tested: usize,
    lease_revision: u64,
    fences: u64,
    /// Whether an answer under the current token is still owed; no order is
    /// sent before it.
    fencing: bool,
    /// Whether it ever answered under this lease, so that what a former
    /// holder started there is known.
    pub(crate) synced: bool,
    seen_end: u64,
    stored_end: u64,
    acknowledged: u64,
    unstored: VecDeque<UnstoredEnd>,
    clock: Option<ClockReading>,
    latest_report_ms: u64,
    /// Until when it has confirmed that its runs may go on, on its clock; 0
    /// for not yet.
    confirmed_until_ms: u64,
    /// When everything on it is certainly over unless the lease is renewed.
    pub(crate) lease_over_ms: u64,
    hold_in_flight: bool,
    /// When the newest question was sent that isn't under a new token.
    asked_ms: u64,
    fence_hold_in_flight: bool,
    next_hold_ms: u64,
    /// Until when it isn't polled, so that it gathers ends.
    backoff_until_ms: u64,
    /// Whether the last hold got no answer. A single answer may be lost on
    /// its way; only a second one in a row makes the worker silent.
    missed_hold: bool,
    /// Whether it may wait longer for an end than usual.
    long_poll: bool,
    /// Whether its newest answer names jobs that aren't loaded yet.
    unknown_runs: bool,
    /// Since when it hasn't answered; `None` while it does.
    pub(crate) silent_since_ms: Option<u64>,
    /// When the first call got no answer since its newest answer.
    unanswered_since_ms: Option<u64>,
    failed_jobs: BTreeSet<JobId>,
    /// Whether the last start was refused though there seemed to be room.
    last_start_refused: bool,
    /// How many starts in a row got no answer, each under another token.
    unanswered_starts: u32,
    suspended_until_ms: u64,
    suspensions: u32,
    /// When the pace of a run was last changed.
    paced_ms: u64,
    /// The runs whose last order to pace them has no result.
    pub(crate) unset_paces: BTreeSet<TaskId>,
    /// Why it is being emptied, if it is.
    pub(crate) drain_reason: Option<DrainReason>,
    pub(crate) drain_since_ms: u64,
    /// Since when nothing has run on it.
    pub(crate) idle_since_ms: u64,
    /// When it was first seen.
    pub(crate) first_listed_ms: u64,
    /// Whether the directory still lists it.
    pub(crate) listed: bool,
    /// As of when it is known what it says of itself.
    pub(crate) reported_at_ms: u64,
    /// How many of the runs take nobody knows what.
    unmeasured: usize,
    /// Whether its newest answer had runs that couldn't be read.
    unread_runs: bool,
    /// Whether the lists of its last answer were passed over as old.
    lists_passed_over: bool,
    /// Whether its lease was over and it hasn't answered since.
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
            hold_in_flight: false,
            asked_ms: 0,
            fence_hold_in_flight: false,
            next_hold_ms: 0,
            backoff_until_ms: 0,
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
            idle_since_ms: now_ms,
            first_listed_ms: now_ms,
            listed: !has_no_address,
            reported_at_ms: now_ms,
            unmeasured: 0,
            unread_runs: false,
            lists_passed_over: false,
            is_lapsed: false,
        }
    }

    /// Returns whether it tells which of its processes it is.
    pub(crate) fn reports_incarnation(&self) -> bool {
        self.listing.incarnation != Incarnation::UNKNOWN
    }

    /// Returns how many tokens were used up on it.
    pub(crate) fn tokens_used(&self) -> TokensUsed {
        TokensUsed(self.fences)
    }

    /// Returns whether its lease was over and it hasn't answered since.
    pub(crate) fn is_lapsed(&self) -> bool {
        self.is_lapsed
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.listing.id
    }

    pub(crate) fn fence(&self) -> u64 {
        self.lease_revision * TOKENS_PER_LEASE + self.fences
    }

    /// Returns what is free for tasks that take their share of processor and
    /// for which nothing is kept here.
    pub(crate) fn free(&self) -> Resources {
        let unused = self.listing.capacity.minus(&self.used);
        // Nearly all keep nothing, and this is asked of each worker of a pool.
        if self.reserved.is_empty() {
            unused
        } else {
            unused.minus(&self.reserved_room)
        }
    }

    /// Returns what is free for a task, with what is kept for it.
    pub(crate) fn free_for(&self, task: &TaskId) -> Resources {
        let Some(own) = self.reserved.get(task) else { return self.free() };
        let unused = self.listing.capacity.minus(&self.used);
        // What others wait for isn't there yet, and must not stand in the way
        // of what is: two that wait would keep each other out.
        unused.minus(&self.secured_room.minus(&own.secured()))
    }

    /// Returns what is free for a task once all is over that isn't to last.
    pub(crate) fn free_soon_for(&self, task: &TaskId) -> Resources {
        let own = self.reserved.get(task).map(|reserved| reserved.room);
        let others = self.reserved_room.minus(&own.unwrap_or_default());
        self.listing.capacity.minus(&self.used_by_long_running).minus(&others)
    }

    /// Keeps room for a task that is to start here.
    pub(crate) fn reserve_for(
        &mut self,
        task: TaskId,
        reserved: ReservedRoom,
    ) {
        self.reserved.insert(task, reserved);
        self.sum_reserved();
    }

    /// Gives the room back that was kept for a task.
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

    /// Returns whether room is kept here for some task.
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

    /// Takes a run that is no longer there off all that is counted.
    fn subtract_run(&mut self, run: &Run) {
        self.used.subtract(&run.demand);
        if run.long_running {
            self.used_by_long_running.subtract(&run.demand);
        }
        self.suspects -= usize::from(run.suspicion.crashes > 0);
        self.tested -= usize::from(run.suspicion.tested);
        self.unmeasured -= usize::from(!run.measured);
    }

    /// Returns whether what it says of itself is known as of a later time than
    /// this one of the steady clock, in milliseconds.
    pub(crate) fn is_reported_since(&self, asked_ms: u64) -> bool {
        self.reported_at_ms > asked_ms
    }

    /// Returns whether it is known for sure what it has room for: what it
    /// said of itself is no older than that, and so is all that runs there.
    pub(crate) fn has_current_room(
        &self,
        now_ms: u64,
        max_age_ms: u64,
    ) -> bool {
        now_ms <= self.reported_at_ms + max_age_ms
            && self.unmeasured == 0
            && !self.unread_runs
    }

    /// Returns whether it has a run whose task may crash workers.
    pub(crate) fn has_suspects(&self) -> bool {
        self.suspects > 0
    }

    /// Returns whether it has a run beside which nothing may start.
    pub(crate) fn tests_a_run(&self) -> bool {
        self.tested > 0
    }

    /// Notes that a run is no longer suspected.
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

    /// Counts the runs of a task's step here, and the others of the step for
    /// which room is kept.
    pub(crate) fn runs_of_step(&self, task: &TaskId) -> usize {
        let first = TaskId { index: 0, ..*task };
        let last = TaskId { index: u32::MAX, ..*task };
        let reserved = self.reserved.range(first..=last);
        let reserved = reserved.filter(|(other, _)| *other != task).count();
        self.runs.range(first..=last).count() + reserved
    }

    /// Returns when its newest answer came.
    pub(crate) fn reported_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.at_ms)
    }

    /// Returns the latest time of its clock that an answer told; 0 for none.
    pub(crate) fn answered_worker_ms(&self) -> u64 {
        self.clock.map_or(0, |clock| clock.worker_ms)
    }

    /// Returns the time of its clock at which it last named its runs.
    pub(crate) fn latest_report_ms(&self) -> u64 {
        self.latest_report_ms
    }

    /// Returns when the first call got no answer since its newest answer.
    pub(crate) fn unanswered_since_ms(&self) -> Option<u64> {
        self.unanswered_since_ms
    }

    /// Notes that a call got no answer.
    pub(crate) fn record_unanswered(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
    }

    /// Returns whether the pace of its runs may change again.
    pub(crate) fn is_pace_due(&self, now_ms: u64, interval_ms: u64) -> bool {
        now_ms >= self.paced_ms + interval_ms
    }

    pub(crate) fn paced(&mut self, now_ms: u64) {
        self.paced_ms = now_ms;
    }

    /// Returns whether it is known what a former holder started on it.
    pub(crate) fn runs_are_known(&self) -> bool {
        self.synced && !self.unknown_runs
    }

    /// Returns whether its newest answer under this lease named all that runs
    /// there, and all of it could be read.
    pub(crate) fn has_listed_all_runs(&self) -> bool {
        self.runs_are_known() && !self.unread_runs
    }

    pub(crate) fn has_unknown_runs(&self) -> bool {
        self.unknown_runs
    }

    pub(crate) fn set_unknown_runs(&mut self, unknown: bool) {
        self.unknown_runs = unknown;
    }

    /// Returns whether something runs on it or may do so.
    fn is_occupied(&self) -> bool {
        !self.runs.is_empty() || self.unknown_runs
    }

    /// Returns whether anything runs on it, or may do so, that isn't to stop.
    fn has_wanted_runs(&self) -> bool {
        // What couldn't be read may be wanted.
        let unread = self.unread_runs && !self.runs.is_empty();
        let mut runs = self.runs.values();
        self.unknown_runs || unread || runs.any(|run| !run.is_stopping())
    }

    /// Returns whether it is there for new tasks, now or in a moment.
    pub(crate) fn is_usable(&self) -> bool {
        self.runs_are_known()
            && self.listed
            && !self.listing.draining
            && self.drain_reason.is_none()
            && self.silent_since_ms.is_none()
            // A start without an answer couldn't be made void any more.
            && !self.is_out_of_tokens()
    }

    /// Returns whether it has said that it will end, with all that runs there,
    /// and takes orders to stop until then.
    pub(crate) fn is_terminating(&self) -> bool {
        self.listing.draining
            && self.listed
            && self.synced
            && self.silent_since_ms.is_none()
    }

    /// Returns whether orders to start may be sent.
    pub(crate) fn accepts_starts(&self, now_ms: u64) -> bool {
        self.accepts_placed_runs(now_ms)
            && (self.failed_jobs.len() < FAILED_JOBS_TO_SUSPEND
                || self.runs.is_empty())
    }

    /// Returns whether runs may be ordered that have their place here already.
    pub(crate) fn accepts_placed_runs(&self, now_ms: u64) -> bool {
        !self.fencing && self.is_usable() && now_ms >= self.suspended_until_ms
    }

    /// Returns whether no later token is left under this lease: an order
    /// without an answer can't be made void any more.
    pub(crate) fn is_out_of_tokens(&self) -> bool {
        self.fences >= TOKENS_PER_LEASE - 1
    }

    /// Returns whether an answer under the current token is still owed.
    pub(crate) fn is_fencing(&self) -> bool {
        self.fencing
    }

    /// Makes orders sent so far void: the next answer is under a new token.
    pub(crate) fn raise_fence(&mut self, now_ms: u64) {
        self.fences = (self.fences + 1).min(TOKENS_PER_LEASE - 1);
        self.fencing = true;
        self.next_hold_ms = now_ms;
    }

    /// Returns until when a lease may be ordered, on the worker's clock.
    pub(crate) fn lease_until_ms(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now_ms.saturating_sub(clock.at_ms);
        Some(clock.worker_ms + elapsed + options.lease_ms)
    }

    /// Returns how urgent a question to it is.
    pub(crate) fn question_class(
        &self,
        now_ms: u64,
        options: &Options,
    ) -> Class {
        let silent = self.silent_since_ms.is_some();
        let renewed = self.lease_until_ms(now_ms, options).is_some_and(|u| {
            self.confirmed_until_ms
                + options.lease_ms * RENEWAL_DUE_PERCENT / 100
                >= u
        });
        if renewed || silent || !self.has_wanted_runs() {
            Class::Question
        } else {
            Class::Renewal
        }
    }

    /// Returns what a question to it takes of a link, in bytes, where an order
    /// without anything takes so much.
    pub(crate) fn question_bytes(&self, order_bytes: u64) -> u64 {
        order_bytes.max(RUN_BYTES * self.runs.len() as u64)
    }

    /// Notes that an order was sent that lets runs go on until then.
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

    /// Returns whether nothing runs on it, nothing may start any more, and
    /// it was told that its ends are stored.
    pub(crate) fn is_settled(&self) -> bool {
        !self.is_occupied()
            && !self.has_reservations()
            && !self.fencing
            && self.acknowledged >= self.seen_end
    }

    /// Returns whether some end that it listed isn't stored yet.
    pub(crate) fn has_ends_to_store(&self) -> bool {
        !self.unstored.is_empty()
    }

    /// Takes note of an end; returns false if it was known already.
    pub(crate) fn record_end(&mut self, number: u64) -> bool {
        let new = number > self.seen_end;
        self.seen_end = self.seen_end.max(number);
        new
    }

    /// Notes that an end is part of a change that isn't stored yet.
    pub(crate) fn end_pending_store(
        &mut self,
        number: u64,
        job: JobId,
        sequence: u64,
    ) {
        self.unstored.push_back(UnstoredEnd { number, job, sequence });
    }

    /// Forgets the ends of a job whose change isn't stored, and all after the
    /// first of them, so that they are heard again.
    pub(crate) fn redeliver(&mut self, job: JobId) {
        let first = self.unstored.iter().position(|end| end.job == job);
        let Some(first) = first else { return };
        self.seen_end = self.unstored[first].number.saturating_sub(1);
        self.unstored.truncate(first);
        // As after a lost answer: it is asked at once.
        self.missed_hold = true;
    }

    /// Moves on what may be acknowledged: the ends, in their order, whose
    /// change is stored.
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

    /// Takes note of a failure; returns true if it suspends the worker.
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

    /// Notes that it has taken a start.
    pub(crate) fn start_accepted(&mut self) {
        self.last_start_refused = false;
        self.unanswered_starts = 0;
    }

    /// Notes that a start had no answer and yet was carried out.
    pub(crate) fn start_confirmed(&mut self) {
        self.unanswered_starts = 0;
    }

    /// Notes that a start under the newest token got no answer; returns whether
    /// too many in a row did.
    pub(crate) fn count_unanswered_start(&mut self) -> bool {
        self.unanswered_starts = self.unanswered_starts.saturating_add(1);
        self.unanswered_starts >= UNANSWERED_TO_SUSPEND
    }

    /// Notes that it has refused a start without being at fault itself;
    /// returns whether it did so before, with none taken between.
    pub(crate) fn repeats_refusal(&mut self) -> bool {
        std::mem::replace(&mut self.last_start_refused, true)
    }

    /// Sends nothing for a while, twice as long each time in a row.
    ///
    /// What was sent before that says nothing new: a burst of refusals is
    /// one.
    pub(crate) fn suspend(&mut self, now_ms: u64, options: &Options) {
        if now_ms < self.suspended_until_ms {
            return;
        }
        let longer = self.suspensions.min(options.max_suspension_doublings);
        self.suspended_until_ms = now_ms + (options.suspension_ms << longer);
        self.suspensions += 1;
    }

    /// Forgives a failure that turned out to be the job's own.
    pub(crate) fn clear_failure(&mut self, job: JobId) {
        self.failed_jobs.remove(&job);
    }
}
