use {
    crate::{
        hall::HallMonitor,
        job::{JobId, Phase, Progress, TaskId},
        link::{Class, LinkBudget},
        poll_delay::PollDelay,
        schedule::{
            AcceptedJob, Action, Decision, ManagedVm, Now, Options, PaceOrder,
            QueueTerms, Resources, SentHold, WorkerId,
            advice::StepAdvice,
            cancellation_view::CancellationView,
            cancelled::Cancelled,
            cold_workers::ColdTerms,
            counted_ends::CountedEnds,
            crash_bursts::CrashBursts,
            deferred_ends::DeferredEnds,
            evacuation::OperatorView,
            failure_domains::FailureDomains,
            forecast::Arrivals,
            hall_losses::HallLosses,
            job_state::Job,
            jobs::Jobs,
            loading::Loading,
            long_running::LongRunningNeed,
            long_waits::LongWaits,
            own_lease::OwnLease,
            placement::{Candidates, PoolScores},
            poll_limit::InFlightPolls,
            processes::FormerProcesses,
            quotas::TeamQuotas,
            reservations::Reservations,
            reserved_workers::ReservedFor,
            seen_holders::SeenHolders,
            silent_workers::SilentRecord,
            sizing::{PendingMove, PoolLoad},
            start_log::StartLogs,
            token_claims::TokenClaims,
            unseen_starts::RecordedStart,
            vm_orders::InheritedOrder,
            vm_stability::VmCrashes,
            wave_state::WaveState,
            worker::{DueHold, Worker},
            workers::{WorkerNumber, Workers},
            write_ahead::WriteAhead,
        },
        window::{CallEnd, CallWindow},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Multiplier that spreads consecutive lease revisions over all numbers: 2^64
/// divided by the golden ratio.
const GOLDEN_RATIO_64: u64 = 0x9E37_79B9_7F4A_7C15;

/// The state of the node that holds the scheduler lease.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: Options,
    pub(super) lease_revision: u64,
    pub(super) queues: BTreeMap<String, QueueTerms>,
    pub(super) jobs: Jobs,
    /// The steps that have tasks to start.
    pub(super) candidates: Candidates,
    pub(super) loading: Loading,
    pub(super) cancelled: Cancelled,
    /// The quotas of teams, and what counts against them.
    pub(super) quotas: TeamQuotas,
    /// The jobs that can't be read, and the ends of their runs.
    pub(super) deferred_ends: DeferredEnds,
    pub(super) workers: Workers,
    /// The jobs whose progress is to be stored, each with the sequence number
    /// of its first unstored change.
    pub(super) changed: BTreeMap<JobId, u64>,
    /// The jobs whose progress is being stored, each with the sequence number
    /// of the first change that is included.
    pub(super) storing: BTreeMap<JobId, u64>,
    /// The jobs whose tasks may not start until a change is stored, each with
    /// the sequence number of the first such change.
    pub(super) awaited: BTreeMap<JobId, u64>,
    /// The sequence number of the last change.
    pub(super) sequence: u64,
    /// Finished jobs whose keys are still kept, with the time at which they
    /// finished.
    pub(super) finished: BTreeMap<JobId, u64>,
    pub(super) decisions: Vec<Decision>,
    /// What is known of this holder's own lease.
    pub(super) own_lease: OwnLease,
    /// The claims of workers to have seen later tokens.
    pub(super) token_claims: TokenClaims,
    /// The workers that don't answer, as they are on record.
    pub(super) silent_workers: SilentRecord,
    /// The worker processes that are no longer used.
    pub(super) former_processes: FormerProcesses,
    /// What ends of workers have counted against tasks and VMs.
    pub(super) counted_ends: CountedEnds,
    /// Whether any task was ever suspected of crashing its workers; looking
    /// for suspects takes time.
    pub(super) has_suspects: bool,
    /// The number of workers of each pool that were lost before they reported
    /// their runs.
    pub(super) unsynced_losses: BTreeMap<String, u32>,
    /// The pools with waiting tasks whose crash counts may not include these
    /// losses yet.
    pub(super) uncounted_pools: BTreeSet<String>,
    /// The starts that former holders recorded, with their workers, until
    /// their outcome is known.
    pub(super) recorded_starts: BTreeMap<TaskId, RecordedStart>,
    /// The starts that wait until they are recorded.
    pub(super) write_ahead: WriteAhead,
    /// The logs in which such starts are recorded together.
    pub(super) start_logs: StartLogs,
    /// The tasks with a start that is in doubt: it got no answer and may still
    /// be carried out.
    pub(super) tasks_in_doubt: BTreeSet<TaskId>,
    /// The pools whose workers crash in quick succession.
    pub(super) crash_bursts: CrashBursts,
    /// The workers that are kept free to test suspected tasks.
    pub(super) reserved: BTreeMap<WorkerId, ReservedFor>,
    /// The recent crashes on each VM.
    pub(super) vm_crashes: BTreeMap<String, VmCrashes>,
    /// The time of the last read of the directory of workers; 0 for none.
    pub(super) directory_ms: u64,
    /// The time from which the directory is complete again after a failure to
    /// read it.
    pub(super) directory_complete_ms: u64,
    /// Whether every worker that may run something is among `workers`.
    pub(super) workers_known: bool,
    /// The time at which the first worker was listed under this lease; 0 for
    /// not yet.
    pub(super) taken_over_ms: u64,
    /// The former holders that this node has seen.
    pub(super) seen_holders: SeenHolders,
    /// The time at which this holder last ordered a change of each VM.
    pub(super) ordered_vms: BTreeMap<String, u64>,
    /// The orders of former holders that still block their VMs.
    pub(super) inherited_orders: BTreeMap<String, InheritedOrder>,
    /// The time from which each VM may be ordered to change, if that is
    /// restricted.
    pub(super) vm_orders_from_ms: BTreeMap<String, u64>,
    pub(super) all_vm_orders_from_ms: u64,
    pub(super) waves: BTreeMap<u64, WaveState>,
    pub(super) vms: BTreeMap<String, ManagedVm>,
    pub(super) pending_moves: BTreeMap<String, PendingMove>,
    /// The reservations for tasks.
    pub(super) reservations: Reservations,
    /// The moves that the VM service has refused as invalid, by VM and pool.
    pub(super) refused_moves: BTreeSet<(String, String)>,
    pub(super) serving_pools: BTreeSet<String>,
    pub(super) free_pools: BTreeSet<String>,
    /// The pools whose workers don't enforce their capacity, so that the
    /// scheduler must.
    pub(super) unenforced_pools: BTreeSet<String>,
    pub(super) pool_loads: BTreeMap<String, PoolLoad>,
    /// The pools that can't place some task which another VM could hold, and
    /// since when.
    pub(super) unplaced_since_ms: BTreeMap<String, u64>,
    /// The distinct capacities of workers and VMs.
    pub(super) capacities: Vec<Resources>,
    /// What the advantages of a worker are worth for a task.
    pub(super) scores: PoolScores,
    /// The terms of the pools whose workers are slow after their start.
    pub(super) cold_terms: BTreeMap<String, ColdTerms>,
    /// The adviser's answers, by the first task of each step.
    pub(super) advice: BTreeMap<TaskId, StepAdvice>,
    /// The time of the steady clock at which the current list of VMs was
    /// requested, in milliseconds; 0 if none was read under this lease.
    pub(super) vms_asked_ms: u64,
    /// Whether that list may hide VMs.
    pub(super) vms_are_partial: bool,
    /// Whether the list of VMs should be read at once.
    pub(super) needs_vm_list: bool,
    /// The time at which pools were last sized.
    pub(super) last_sizing_ms: u64,
    /// The jobs accepted under this lease that aren't counted as arrivals yet.
    pub(super) new_jobs: Vec<JobId>,
    /// The recent arrivals of each pool.
    pub(super) arrivals: BTreeMap<String, Arrivals>,
    /// The first task of each long-running step of open jobs that is due now
    /// or soon.
    pub(super) long_running_steps: Vec<TaskId>,
    /// The VMs that the long-running tasks of each pool need.
    pub(super) long_running_needs: BTreeMap<String, LongRunningNeed>,
    /// The number of VMs assigned to the pools with the largest deficits since
    /// one was last assigned to the pool with the smallest.
    pub(super) vms_to_neediest: u32,
    /// The target number of VMs of each pool, as of the last sizing.
    pub(super) targets: BTreeMap<String, u64>,
    /// The projected usage of each pool's known jobs.
    pub(super) projected: BTreeMap<String, Resources>,
    /// The time at which the first job with short tasks was known; 0 for not
    /// yet.
    pub(super) first_job_ms: u64,
    /// The window that bounds the orders in flight.
    pub(super) window: CallWindow,
    /// The budget of this node's link for orders.
    pub(super) link: LinkBudget,
    /// The holds in flight.
    pub(super) polls: InFlightPolls,
    /// The worker that this holder polls first; `None` before any is listed.
    first_polled: Option<WorkerId>,
    /// The delay of polls while this node's processor is overloaded.
    poll_delay: PollDelay,
    /// The time at which runs were last monitored.
    pub(super) runs_checked_ms: u64,
    /// The long waits of long-running tasks that were reported.
    pub(super) long_waits: LongWaits,
    /// How current the operator's requests are.
    pub(super) operator_view: OperatorView,
    /// How current the known cancellations are.
    pub(super) cancellation_view: CancellationView,
    /// What is known about data halls as failure domains.
    pub(super) failure_domains: FailureDomains,
    /// What is concluded about data halls.
    pub(super) halls: HallMonitor,
    /// What was counted against tasks and VMs of halls that may be lost.
    pub(super) hall_losses: HallLosses,
}

impl Scheduler {
    /// Returns the scheduler of a holder whose lease key was written at this
    /// revision of the store.
    pub fn new(lease_revision: u64, options: Options) -> Scheduler {
        let window = CallWindow::new(options.policy.orders.limits());
        let link = LinkBudget::new(options.link);
        Scheduler {
            window,
            link,
            polls: InFlightPolls::default(),
            first_polled: None,
            poll_delay: PollDelay::default(),
            runs_checked_ms: 0,
            long_waits: LongWaits::default(),
            operator_view: OperatorView::default(),
            cancellation_view: CancellationView::default(),
            failure_domains: FailureDomains::default(),
            halls: HallMonitor::new(options.tolerated_halls),
            hall_losses: HallLosses::default(),
            options,
            lease_revision,
            queues: BTreeMap::new(),
            jobs: Jobs::default(),
            candidates: Candidates::default(),
            loading: Loading::Done,
            cancelled: Cancelled::default(),
            quotas: TeamQuotas::default(),
            deferred_ends: DeferredEnds::default(),
            workers: Workers::default(),
            changed: BTreeMap::new(),
            storing: BTreeMap::new(),
            awaited: BTreeMap::new(),
            sequence: 0,
            finished: BTreeMap::new(),
            decisions: Vec::new(),
            own_lease: OwnLease::default(),
            token_claims: TokenClaims::default(),
            silent_workers: SilentRecord::default(),
            former_processes: FormerProcesses::default(),
            counted_ends: CountedEnds::default(),
            has_suspects: false,
            unsynced_losses: BTreeMap::new(),
            uncounted_pools: BTreeSet::new(),
            recorded_starts: BTreeMap::new(),
            write_ahead: WriteAhead::default(),
            start_logs: StartLogs::default(),
            tasks_in_doubt: BTreeSet::new(),
            crash_bursts: CrashBursts::default(),
            reserved: BTreeMap::new(),
            vm_crashes: BTreeMap::new(),
            directory_ms: 0,
            directory_complete_ms: 0,
            workers_known: false,
            taken_over_ms: 0,
            seen_holders: SeenHolders::default(),
            ordered_vms: BTreeMap::new(),
            inherited_orders: BTreeMap::new(),
            vm_orders_from_ms: BTreeMap::new(),
            all_vm_orders_from_ms: 0,
            waves: BTreeMap::new(),
            vms: BTreeMap::new(),
            pending_moves: BTreeMap::new(),
            reservations: Reservations::default(),
            refused_moves: BTreeSet::new(),
            serving_pools: BTreeSet::new(),
            free_pools: BTreeSet::new(),
            unenforced_pools: BTreeSet::new(),
            pool_loads: BTreeMap::new(),
            unplaced_since_ms: BTreeMap::new(),
            capacities: Vec::new(),
            scores: PoolScores::default(),
            cold_terms: BTreeMap::new(),
            advice: BTreeMap::new(),
            vms_asked_ms: 0,
            vms_are_partial: false,
            needs_vm_list: false,
            last_sizing_ms: 0,
            new_jobs: Vec::new(),
            arrivals: BTreeMap::new(),
            targets: BTreeMap::new(),
            projected: BTreeMap::new(),
            long_running_steps: Vec::new(),
            long_running_needs: BTreeMap::new(),
            vms_to_neediest: 0,
            first_job_ms: 0,
        }
    }

    /// Sets which former holders this node has seen, which bounds how old
    /// their stored orders are.
    pub fn set_seen_holders(&mut self, holders: SeenHolders) {
        self.seen_holders = holders;
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Applies the queues of a configuration.
    ///
    /// Queues that it no longer has keep their last terms: jobs that they
    /// accepted are still to be run.
    pub fn configure<'a>(
        &mut self,
        queues: impl IntoIterator<Item = (&'a str, &'a QueueTerms)>,
    ) {
        for (name, terms) in queues {
            self.queues.insert(name.to_owned(), terms.clone());
        }
        for job in self.jobs.values_mut() {
            if let Some(terms) = self.queues.get(&job.spec.queue) {
                job.terms = terms.clone();
            }
        }
    }

    /// Adds an accepted job, with the progress that a former holder stored.
    ///
    /// Does nothing if the job is known already.
    pub fn submit(
        &mut self,
        id: JobId,
        job: AcceptedJob,
        revision: u64,
        progress: Option<&Progress>,
    ) {
        if self.jobs.contains_key(&id) || self.finished.contains_key(&id) {
            return;
        }
        if let Some(progress) = progress.filter(|p| p.phase.is_final()) {
            self.finished.insert(id, progress.finished_at_ms);
            return;
        }
        let AcceptedJob { spec, terms, accepted_at_ms, team } = job;
        let newest = self.queues.get(&spec.queue).cloned();
        let terms = newest.unwrap_or(terms);
        let mut job = Job::new(spec, terms, revision, accepted_at_ms);
        job.known_in = self.own_lease.detachment();
        if let Some(team) = &team {
            let number = self.quotas.ledger.number_for(team);
            job = job.with_team(number, &team.name);
            let is_over = self.quotas.shares.count(
                number,
                self.quotas.ledger.account(number).0.weight,
                accepted_at_ms,
            );
            job.over_share = is_over && self.placing().over_share_last;
            if revision > self.lease_revision {
                let pool = &job.terms.pool;
                self.quotas.limits.count_arrival(pool, number, is_over);
            }
        }
        if let Some(progress) = progress {
            job.restore(progress);
            self.has_suspects |=
                progress.tasks.iter().any(|t| t.crashes > 0 || t.unseen > 0);
        }
        if revision > self.lease_revision {
            self.new_jobs.push(id);
        } else {
            job.mark_may_have_begun();
        }
        self.jobs.insert(id, job);
        self.charge_found_runs(id);
        if let Some(progress) = progress {
            self.note_recorded_starts(id, progress);
            self.note_loaded_in_doubt(id);
        }
        self.merge_logged_starts(id);
    }

    /// Cancels a job. A job that has finished stays as it is; one that isn't
    /// known yet is cancelled as soon as it is. Its runs are stopped in any
    /// case, also under the next holders, until
    /// [`Scheduler::take_settled_cancellations`] returns it.
    pub fn cancel(&mut self, id: JobId, now: Now) {
        self.defer_cancellation(id);
        self.cancelled.insert(id);
        self.finish(id, Phase::Cancelled, now);
    }

    /// Returns the number of pending jobs of each queue: those of which no
    /// task is known to have begun. A start that was only ordered doesn't
    /// count as begun.
    pub fn pending(&self, unix_ms: u64) -> BTreeMap<String, u64> {
        let mut pending = BTreeMap::new();
        for job in self.jobs.values() {
            let due = unix_ms >= job.spec.due_ms(0);
            if job.phase == Phase::Queued && due {
                *pending.entry(job.spec.queue.clone()).or_insert(0) += 1;
            }
        }
        pending
    }

    /// Returns the number of pending jobs of each queue that have a start in
    /// flight which no worker has confirmed.
    pub fn unconfirmed(&self) -> BTreeMap<String, u64> {
        let mut unconfirmed = BTreeMap::new();
        for (id, job) in self.jobs.iter() {
            let ordered = job.placements(*id).next().is_some();
            if job.phase == Phase::Queued && ordered {
                *unconfirmed.entry(job.spec.queue.clone()).or_insert(0) += 1;
            }
        }
        unconfirmed
    }

    /// Returns the window that bounds the orders in flight.
    pub fn window(&self) -> &CallWindow {
        &self.window
    }

    /// Sets whether relays forward this node's orders, which then take less of
    /// its link.
    pub fn set_relayed(&mut self, relayed: bool) {
        self.link.set_relayed(relayed);
    }

    /// Returns the budget of this node's link for orders.
    pub fn link(&self) -> &LinkBudget {
        &self.link
    }

    /// Records how long an event had waited before it was processed now, in
    /// milliseconds. The delay shows how overloaded this node's processor is.
    pub fn record_event_delay(&mut self, waited_ms: u64, now: Now) {
        self.poll_delay.record_wait(waited_ms, now.steady_ms);
    }

    /// Returns the delay before a worker that has answered is polled again, in
    /// milliseconds; 0 while this node keeps up.
    ///
    /// Starts aren't delayed, so they take precedence.
    pub(super) fn poll_pause_ms(&self) -> u64 {
        let asks_later = self.options.policy.watching.asks_later;
        if asks_later { self.poll_delay.delay_ms() } else { 0 }
    }

    /// Returns whether an order to start may be sent now.
    pub(super) fn may_start(&self) -> bool {
        !self.is_view_outdated()
            && self.window.room() > 0
            && self.link.allows(Class::Start)
    }

    /// Returns whether some state on which starts depend is too stale.
    pub(super) fn is_view_outdated(&self) -> bool {
        self.operator_view.is_outdated()
            || self.cancellation_view.is_outdated()
    }

    /// Records the end of an order that was sent at `sent_ms`, which shows how
    /// fast this node's orders are.
    pub(super) fn record_order_end(
        &mut self,
        sent_ms: u64,
        end: CallEnd,
        now: Now,
    ) {
        let limits = self.options.policy.orders.limits();
        self.link.ended(sent_ms, now.steady_ms, end, &limits);
    }

    /// Returns a job's phase, or `None` if it is unknown or no longer kept.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        self.jobs.get(&id).map(|job| job.phase)
    }

    /// Returns the actions to carry out now.
    pub fn plan(&mut self, now: Now) -> Vec<Action> {
        if self.may_be_superseded() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.check_operator_view(now);
        self.check_cancellation_view(now);
        self.link.refill(now.steady_ms);
        self.apply_deferred_cancellations(now);
        self.update_halls(now);
        self.update_down_halls();
        self.drop_lapsed_workers(now);
        self.settle_recorded_starts(now);
        self.order_withheld(now, &mut actions);
        self.monitor_runs(now, &mut actions);
        // Stops come before all other orders, since this holder may be lost at
        // any moment.
        self.order_stops(now, &mut actions);
        self.fence_workers(now, &mut actions);
        self.update_reservations(now);
        self.start_waiting(now, &mut actions);
        self.report_long_waits(now);
        self.update_team_limits(now);
        self.poll_workers(now, &mut actions);
        actions
    }

    /// Marks a job as running, after a worker has confirmed that a run of it
    /// began.
    ///
    /// Nothing else makes a job count as running: an order to start may be
    /// refused or may never arrive, and its sender may be lost before it
    /// knows.
    pub(super) fn mark_job_begun(&mut self, id: JobId, now: Now) {
        // Every answer repeats this; nearly always the job is marked already.
        if self.phase(id) != Some(Phase::Queued) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.phase = Phase::Running;
        let after_ms = now.unix_ms.saturating_sub(job.accepted_at_ms);
        self.mark_changed(id);
        self.note(Decision::JobBegan { job: id, after_ms });
    }

    /// Finishes a job, and stops its remaining runs.
    pub(super) fn finish(&mut self, id: JobId, phase: Phase, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.phase.is_final() {
            return;
        }
        job.phase = phase;
        job.finished_at_ms = now.unix_ms;
        self.note_finished_inherited(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for step in job.rounds.iter_mut().flatten() {
            step.waiting.clear();
        }
        let after_ms = now.unix_ms.saturating_sub(job.accepted_at_ms);
        let placed: Vec<(TaskId, WorkerId)> = job
            .placements(id)
            .map(|(task, worker)| (task, worker.clone()))
            .collect();
        for (task, worker) in placed {
            self.stop_run(&task, &worker, phase.name());
        }
        self.mark_changed(id);
        self.note(Decision::JobFinished { job: id, phase, after_ms });
    }

    /// Marks a run to be stopped; the order follows with the next plan.
    pub(super) fn stop_run(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        reason: &'static str,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let Some(run) = worker.runs.get_mut(task) else { return };
        if run.is_stopping() {
            return;
        }
        run.stop(reason);
        let run = run.run;
        self.note(Decision::Stopped {
            task: *task,
            run,
            worker: worker_id.clone(),
            reason,
        });
    }

    /// Removes a run from a worker; its task may be started again.
    pub(super) fn release_run(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        now: Now,
    ) {
        let worker = self.workers.get_mut(worker_id);
        let run = worker.and_then(|w| w.remove(task, now.steady_ms));
        if let Some(run) = &run {
            let cause = "it isn't there";
            self.note_stopped(task, worker_id, run, cause, now);
        }
        let begun = run.is_none_or(|run| run.has_begun());
        self.release_task(task, worker_id, begun, now);
        if !begun || self.is_long_running_gang(task) {
            self.reserve_again(task, worker_id, now);
        }
    }

    /// Removes a task from a worker, where a run of it had begun or was only
    /// ordered.
    pub(super) fn release_task(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        begun: bool,
        now: Now,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let over = job.phase.is_final();
        let Some(step) = job.step_mut(task) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        state.workers.retain(|on| on != worker_id);
        if state.workers.is_empty() && !state.done && !over {
            // Otherwise it has been waiting all along.
            if begun {
                state.waits_since_ms = now.steady_ms;
                step.ready_ms = now.steady_ms;
            }
            step.waiting.insert(task.index);
        }
    }

    pub(super) fn suspend(
        &mut self,
        worker_id: &WorkerId,
        reason: &'static str,
        now: Now,
    ) {
        if !self.options.policy.watching.suspends {
            return;
        }
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.suspend(now.steady_ms, &self.options);
        self.note(Decision::Suspended { worker: worker_id.clone(), reason });
    }

    pub(super) fn note(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Marks a job's progress as to be stored; returns the sequence number of
    /// the change.
    pub(super) fn mark_changed(&mut self, id: JobId) -> u64 {
        self.sequence += 1;
        if self.jobs.contains_key(&id) {
            self.changed.entry(id).or_insert(self.sequence);
        }
        self.sequence
    }

    /// Rotates the workers so that each holder starts with a different one.
    /// Otherwise, if no holder lasts until all are polled, the same ones would
    /// never be, and would keep runs that are no longer needed.
    fn rotate_workers(
        &mut self,
        mut numbers: Vec<WorkerNumber>,
    ) -> Vec<WorkerNumber> {
        let Some(first) = self.first_polled() else { return numbers };
        let is_before = |number: &WorkerNumber| {
            self.workers.at(*number).is_some_and(|worker| *worker.id() < first)
        };
        let before = numbers.partition_point(is_before);
        numbers.rotate_left(before);
        numbers
    }

    /// Returns the worker that this holder polls first.
    fn first_polled(&mut self) -> Option<WorkerId> {
        if self.first_polled.is_none() && !self.workers.is_empty() {
            let spread =
                self.lease_revision.wrapping_mul(GOLDEN_RATIO_64) >> 32;
            let skipped = spread % self.workers.len() as u64;
            // OK to convert: it is below the number of workers.
            let mut workers = self.workers.values().skip(skipped as usize);
            self.first_polled =
                workers.next().map(|worker| worker.id().clone());
        }
        self.first_polled.clone()
    }

    /// Sends the holds that introduce a new fencing token, as far as the
    /// window and the link have room. Holds to unresponsive workers don't
    /// count against the window.
    fn fence_workers(&mut self, now: Now, actions: &mut Vec<Action>) {
        let due = self.due_workers(now);
        for number in self.rotate_workers(due) {
            let Some(worker) = self.workers.at(number) else { continue };
            let due = worker.hold_due_ms(now.steady_ms).is_some();
            if !worker.is_fencing() || !due {
                continue;
            }
            let in_window = worker.silent_since_ms.is_none()
                || self.is_hall_returning(&worker.listing.hall);
            let class = if in_window { Class::Fence } else { Class::Question };
            if !self.link.allows(class) {
                continue;
            }
            if in_window && self.window.room() == 0 {
                continue;
            }
            let Some(worker) = self.workers.at_mut(number) else { continue };
            let hold = hold(worker, in_window, now, &self.options);
            if hold.is_none() {
                continue;
            }
            let bytes = worker.question_bytes(self.link.order_bytes());
            self.link.sent(class, bytes);
            if in_window {
                self.window.sent(1);
            }
            actions.extend(hold);
        }
    }

    /// Polls workers for their runs and ends. Those whose lease must be
    /// renewed come first, the others as far as the link has room, in the
    /// order in which they were due.
    fn poll_workers(&mut self, now: Now, actions: &mut Vec<Action>) {
        let long_poll =
            self.link.is_saturated(now.steady_ms) || self.poll_pause_ms() > 0;
        let mut due: Vec<(Class, u64, WorkerNumber)> = Vec::new();
        for number in self.due_workers(now) {
            let Some(worker) = self.workers.at(number) else { continue };
            let due_ms = worker.hold_due_ms(now.steady_ms);
            let Some(due_ms) = due_ms.filter(|_| !worker.is_fencing()) else {
                continue;
            };
            let class = worker.question_class(now.steady_ms, &self.options);
            due.push((class, due_ms, number));
        }
        // A stable sort keeps equal entries in the order of their identifiers.
        due.sort_by_key(|(class, due_ms, _)| (*class, *due_ms));
        let mut allowance = self.poll_allowance(now);
        for (class, _, number) in due {
            if !self.link.allows(class) {
                return;
            }
            // Polls that renew leases aren't limited, and are sorted first.
            if allowance == 0 && class != Class::Renewal {
                return;
            }
            allowance = allowance.saturating_sub(1);
            let Some(worker) = self.workers.at_mut(number) else { continue };
            worker.set_long_poll(long_poll);
            let hold = hold(worker, false, now, &self.options);
            if let Some(Action::Hold { held, .. }) = &hold {
                let bytes = worker.question_bytes(self.link.order_bytes());
                self.link.sent(class, bytes);
                self.polls.sent(number, held);
            }
            actions.extend(hold);
        }
    }

    /// Returns the workers that are due for an action now, in the order of
    /// their identifiers.
    pub(super) fn due_workers(&mut self, now: Now) -> Vec<WorkerNumber> {
        let due = self.workers.due(now.steady_ms, &self.options);
        debug_assert!(
            self.workers.match_full_scan(&due, now.steady_ms, &self.options),
            "the due workers differ from those found by checking all"
        );
        due
    }

    /// Creates an order that limits the processor share of a run.
    pub(super) fn pace(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        percent: u8,
    ) -> Option<Action> {
        let worker = self.workers.get_mut(worker_id)?;
        let fence = worker.fence();
        let address = worker.listing.address.clone();
        worker.unset_paces.remove(task);
        let run = worker.runs.get_mut(task)?;
        run.pace = percent;
        self.link.sent(Class::Stop, self.link.order_bytes());
        let order = PaceOrder { task: *task, run: run.run, percent, fence };
        Some(Action::Pace { worker: worker_id.clone(), address, order })
    }
}

/// Returns the hold that is due for a worker now.
fn hold(
    worker: &mut Worker,
    in_window: bool,
    now: Now,
    options: &Options,
) -> Option<Action> {
    let DueHold { order, fencing } =
        worker.take_due_hold(now.steady_ms, options)?;
    let sent_ms = now.steady_ms;
    let silent = worker.silent_since_ms.is_some();
    let session = worker.session;
    Some(Action::Hold {
        worker: worker.id().clone(),
        address: worker.listing.address.clone(),
        held: SentHold { session, order, fencing, sent_ms, in_window, silent },
    })
}
