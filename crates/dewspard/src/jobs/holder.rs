/*!
The task that owns the scheduler, on the node that holds the scheduler lease.

Events arrive over one channel: changes of the feed, the directory of workers,
answers to orders, renewals of the lease, results of writes. After each batch
of events the scheduler plans once, and the resulting orders are executed by
separate tasks.

# Store outages

A holder that can't renew its lease may have been superseded without knowing.
For a limited time it goes on with the jobs it knows. A successor queries every
worker under its higher fencing token before it starts any of these jobs, and
waits for those that don't answer. What it may have learnt of their runs isn't
known here, so no start depends on what becomes known in that time (see
[`Scheduler::set_detached`]). Changes of VMs aren't ordered, because those
orders aren't fenced.

A process that stood still hasn't read what happened meanwhile, and the time for
which a successor waits has begun without it. If its lease has expired by then,
it orders nothing before the store has renewed the lease.
*/

use {
    super::{
        cancellations::CancellationReads,
        checkpoints::Checkpoints,
        counts::CountsWriter,
        decisions,
        deferred_ends::DeferredEnds,
        election::{Candidate, HeldLease},
        event::{self, Event, EventSender, SentEvent},
        feeds::{
            PollMeter, ReadRequest, follow_feed, look_up_worker,
            poll_directory, poll_vms, renew_lease,
        },
        hand_over::{HandOver, HandOverStep},
        intake::FeedOrigin,
        keys,
        load_stats::{self, LoadStats},
        orders, peers,
        relay::{self, RelayManager, RelayedWorkers},
        silent_workers::InheritedSilentWorkers,
        start_logs::StartLogWrites,
        step_down::StepDown,
        takeover::{self, LoadedFleetState},
        team_limits::TeamLimitsWriter,
        versions::RecordVersions,
        vm_orders::{self, LoadedWaves, VmOrderBatch},
        worker_lookups::WorkerLookups,
    },
    crate::{
        clock::{self, Suspensions},
        counters,
        order_basis::{OrderBasis, STANDSTILL_MS},
    },
    dewspar::{
        hall::HallPath,
        job::JobId,
        overload::RoundTrips,
        record::{RecordWriteOutcome, RecordWriter},
        schedule::{Now, OrderError, Scheduler, WorkerLookup},
        staleness::StateView,
    },
    dewspar_platform::{Fleet, JobWorkers, KeyValue, Purpose},
    serde::Serialize,
    slog::{info, warn},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// The maximum number of events handled between two plans.
const MAX_EVENTS_PER_PLAN: usize = 256;

/// The interval at which the scheduler plans if there are no events.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// The interval at which orders to the VM service are planned, in
/// milliseconds: a quarter of the interval of pool sizing. Planning VMs with
/// each plan of tasks took a busy holder as long as the tasks themselves.
const VM_PLAN_INTERVAL_MS: u64 = 50;

/// The median round trip of orders from which a node counts as overloaded, in
/// milliseconds: most of the time allowed for an order, and more than a burst
/// of starts takes on a node that isn't overloaded.
const OVERLOADED_ORDER_MS: u64 = 140;

/// How long orders must be that slow, in milliseconds: longer than a burst of
/// starts, and much less than the 3 s after which a job must be reported as
/// waiting.
const OVERLOAD_AFTER_MS: u64 = 600;

/// The time after a takeover during which overload is ignored, in
/// milliseconds: a new holder first has to query every worker, and the lease
/// shouldn't change holders in quick succession.
const OVERLOAD_GRACE_MS: u64 = 4_000;

/// How long a holder goes on after its lease has expired because the store
/// can't be reached, in milliseconds.
pub(super) const MAX_DETACHED_MS: u64 = 8_000;

/// Schedules until the lease is lost or the node stops.
pub(super) async fn run<K: KeyValue, W: JobWorkers, F: Fleet>(
    candidate: &Candidate<K, W, F>,
    held: HeldLease,
    silent_workers: InheritedSilentWorkers,
) -> StepDown {
    let (sender, events) = event::channel();
    // Aborted when this function returns.
    let mut tasks = JoinSet::new();
    let store = |purpose| candidate.store.with_purpose(purpose);
    tasks.spawn(follow_feed(
        store(Purpose::Feed),
        held.revision,
        sender.clone(),
        candidate.log.clone(),
    ));
    tasks.spawn(renew_lease(store(Purpose::Lease), held, sender.clone()));
    let meter = PollMeter {
        machine: candidate.machine.clone(),
        traffic: candidate.traffic.clone(),
    };
    let fleet = || candidate.fleet.clone();
    let (directory, vms) = (ReadRequest::default(), ReadRequest::default());
    tasks.spawn(poll_directory(
        fleet(),
        meter.clone(),
        directory.clone(),
        sender.clone(),
    ));
    tasks.spawn(poll_vms(fleet(), meter, vms.clone(), sender.clone()));
    tasks.spawn(takeover::load(
        store(Purpose::Takeover),
        fleet(),
        sender.clone(),
        candidate.log.clone(),
    ));
    let workers = candidate.relayed_workers();
    tasks.spawn(relay::manage(RelayManager {
        store: store(Purpose::Relays),
        offers_prefix: keys::RELAYS,
        node: candidate.node.clone(),
        strength: candidate.strength,
        lease_revision: held.revision,
        workers: workers.clone(),
        hall: candidate.hall.clone(),
        traffic: candidate.traffic.clone(),
        log: candidate.log.clone(),
    }));
    tasks.spawn(peers::publish_readers(
        store(Purpose::Peers),
        candidate.holder_hall(),
        candidate.peer_source(),
        held.revision,
        candidate.log.clone(),
    ));
    let mut scheduler =
        Scheduler::new(held.revision, candidate.options.clone());
    scheduler.lease_renewed(held.renewed_ms);
    // The feed has all later cancellations; older ones are loaded before any
    // of their jobs.
    scheduler.note_cancellations(StateView {
        revision: held.revision,
        current_ms: held.renewed_ms,
    });
    scheduler.set_seen_holders(candidate.seen_holders.clone());
    scheduler.inherit_silent_workers(&silent_workers.workers, now());
    scheduler.begin_loading();
    scheduler.enable_start_log();
    let mut holder = Holder {
        candidate,
        workers,
        held,
        scheduler,
        versions: RecordVersions::default(),
        loaded_progress: BTreeMap::new(),
        unreadable: BTreeSet::new(),
        deferred_ends: DeferredEnds::default(),
        checkpoints: Checkpoints::default(),
        start_logs: StartLogWrites::default(),
        sender,
        worker_lookups: WorkerLookups::default(),
        directory_request: directory,
        vms_request: vms,
        pool_vms: BTreeMap::new(),
        writes_in_flight: 0,
        last_write_ms: 0,
        last_vm_plan_ms: 0,
        last_plan_ms: clock::now_ms(),
        applied_version: None,
        lost_reason: None,
        is_claimed: false,
        started_ms: clock::now_ms(),
        // The feed has all jobs accepted since then; older ones are loaded.
        feed_current_ms: held.renewed_ms,
        load_stats: LoadStats::new(candidate.traffic.clone()),
        round_trips: RoundTrips::new(OVERLOAD_AFTER_MS),
        cancellation_reads: CancellationReads::default(),
        counts: CountsWriter::default(),
        waves: LoadedWaves::default(),
        wave_writers: BTreeMap::new(),
        vm_orders: RecordWriter::default(),
        vm_orders_recorded: false,
        completed_waves: Vec::new(),
        last_expiry_ms: clock::now_ms(),
        suspensions: Suspensions::new(clock::suspended_ms()),
        renewal_needed_from_ms: 0,
        hand_over: HandOver::new(held.renewed_ms),
        ceilings: RecordWriter::default(),
        silent_workers: RecordWriter::at_version(silent_workers.version),
        team_limits: TeamLimitsWriter::default(),
        last_status_ms: 0,
    };
    holder.run(events).await
}

/// The state of the lease holder, which handles events and plans.
pub(super) struct Holder<'a, K, W, F> {
    pub(super) candidate: &'a Candidate<K, W, F>,
    /// The workers, reached over relays if there are any.
    workers: RelayedWorkers<W>,
    pub(super) held: HeldLease,
    pub(super) scheduler: Scheduler,
    /// The store version of each job's progress.
    pub(super) versions: RecordVersions,
    /// The stored progress of the jobs that are being loaded.
    pub(super) loaded_progress: BTreeMap<JobId, dewspar::job::Progress>,
    /// Jobs whose stored progress can't be read.
    pub(super) unreadable: BTreeSet<JobId>,
    /// Ends of runs that former holders stored for jobs they couldn't read.
    pub(super) deferred_ends: DeferredEnds,
    /// The checkpoints that are stored apart from their jobs' progress.
    pub(super) checkpoints: Checkpoints,
    pub(super) start_logs: StartLogWrites,
    pub(super) sender: EventSender,
    /// Directory lookups of new workers.
    worker_lookups: WorkerLookups,
    /// Requests reads of the directory of workers.
    directory_request: ReadRequest,
    /// Requests reads of the list of VMs.
    vms_request: ReadRequest,
    /// The number of VMs of each pool, by state.
    pub(super) pool_vms: BTreeMap<String, BTreeMap<&'static str, u32>>,
    /// The number of writes of progress in flight.
    pub(super) writes_in_flight: usize,
    /// When progress was last written.
    pub(super) last_write_ms: u64,
    /// When orders to the VM service were last planned.
    last_vm_plan_ms: u64,
    /// When the scheduler last planned.
    pub(super) last_plan_ms: u64,
    /// The version of the queues' configuration that is in use.
    applied_version: Option<u64>,
    /// Why the lease counts as lost, if it does.
    pub(super) lost_reason: Option<&'static str>,
    /// Whether a stronger node has requested the lease.
    pub(super) is_claimed: bool,
    started_ms: u64,
    /// Every job that was accepted before this time is known here.
    pub(super) feed_current_ms: u64,
    load_stats: LoadStats,
    /// The round trips of start orders that were answered.
    round_trips: RoundTrips,
    pub(super) cancellation_reads: CancellationReads,
    pub(super) counts: CountsWriter,
    /// The write state of each wave's record.
    pub(super) wave_writers: BTreeMap<u64, RecordWriter>,
    /// The write state of the record of VMs with ordered changes.
    vm_orders: RecordWriter,
    /// Whether that record may contain VMs.
    vm_orders_recorded: bool,
    /// What former holders stored about each wave.
    pub(super) waves: LoadedWaves,
    /// The waves that were reported as completed before this takeover.
    completed_waves: Vec<u64>,
    pub(super) last_expiry_ms: u64,
    suspensions: Suspensions,
    /// The lease counts only if it was renewed at this time or later.
    renewal_needed_from_ms: u64,
    pub(super) hand_over: HandOver,
    /// The write state of the record of the teams' ceilings.
    pub(super) ceilings: RecordWriter,
    /// The write state of the record of silent workers.
    pub(super) silent_workers: RecordWriter,
    /// The write state of the record of limits on teams.
    pub(super) team_limits: TeamLimitsWriter,
    /// When the status for operators was last updated.
    pub(super) last_status_ms: u64,
}

/// Waits until the node is asked to stop.
pub(super) async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, so the node stops as well.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

/// Serializes a value as JSON, for log lines that programs parse.
pub(super) fn to_json<T: Serialize>(value: &T) -> String {
    // OK because these hold only strings and numbers.
    serde_json::to_string(value).expect("plain JSON")
}

pub(super) fn now() -> Now {
    Now { steady_ms: clock::now_ms(), unix_ms: clock::unix_ms() }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    async fn run(
        &mut self,
        mut events: mpsc::Receiver<SentEvent>,
    ) -> StepDown {
        let mut stopping = self.candidate.stopping.clone();
        let mut tick = interval(PLAN_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // OK to skip `None`: this struct holds a sender.
                Some(event) = events.recv() => self.handle_event(event),
                _ = tick.tick() => {}
                () = wait_for_stop(&mut stopping),
                    if !self.hand_over.is_requested =>
                {
                    self.hand_over.is_requested = true;
                }
            }
            for _ in 0..MAX_EVENTS_PER_PLAN {
                let Ok(event) = events.try_recv() else { break };
                self.handle_event(event);
            }
            match self.try_hand_over().await {
                HandOverStep::Done => return StepDown::Stopping,
                // What arrived meanwhile comes before the next plan.
                HandOverStep::Failed => continue,
                HandOverStep::NotTried => {}
            }
            if let Some(step_down) = self.plan_and_dispatch() {
                if step_down.releases_lease() {
                    // The next holder finds what isn't stored.
                    let _ = self.flush_changes().await;
                }
                return step_down;
            }
        }
    }

    fn handle_event(&mut self, sent: SentEvent) {
        let now = now();
        let SentEvent { event, sent_ms } = sent;
        let waited_ms = now.steady_ms.saturating_sub(sent_ms);
        self.load_stats.event_received(waited_ms);
        let is_expired = self.is_lease_expired(now);
        let scheduler = &mut self.scheduler;
        scheduler.record_event_delay(waited_ms, now);
        // Jobs that arrive after that may be a successor's.
        scheduler.set_detached(is_expired);
        match event {
            Event::Feed(feed) => self.apply_feed(feed, FeedOrigin::Feed),
            Event::JobsLoaded(jobs) => self.apply_loaded_jobs(jobs),
            Event::FleetStateLoaded(fleet_state) => {
                self.apply_fleet_state(fleet_state, now)
            }
            Event::AllLoaded => {
                scheduler.finish_loading(now);
                self.delete_orphaned_ends();
                self.discard_orphaned_checkpoints();
            }
            Event::DeferredEndsLoaded(ends) => {
                self.deferred_ends.add_loaded(ends)
            }
            Event::StartLogsLoaded(starts) => self.apply_start_logs(starts),
            Event::StartLogWritten { log, written } => {
                self.start_log_written(&log, written, now);
            }
            Event::DeferredEndsWritten { ends, written } => {
                self.deferred_ends_written(&ends, written, now);
            }
            Event::FeedCurrent { view } => {
                self.feed_current_ms =
                    self.feed_current_ms.max(view.current_ms);
                scheduler.note_cancellations(view);
            }
            Event::CancellationsRead(read) => {
                self.apply_cancellations(read, now);
            }
            Event::DirectoryRead { requested_ms, listings } => {
                self.workers.set_listed(&listings);
                scheduler.list_workers_as_of(requested_ms, now, listings);
            }
            Event::WorkerFound { requested_ms, listing } => {
                self.workers.add_listed(&listing);
                scheduler.list_worker_as_of(requested_ms, now, listing);
            }
            Event::VmsRead { requested_ms, list } => {
                scheduler.apply_vm_reading(now, requested_ms, &list);
                self.look_up_unlisted_workers();
                self.log_pool_changes(&list.vms);
            }
            Event::MaintenanceAnswered { vm, wave, result } => {
                scheduler.maintenance_answered(&vm, wave, result, now);
                if result.is_ok() {
                    self.mark_wave_changed(wave);
                }
            }
            Event::MoveAnswered { vm, pool, result } => {
                scheduler.move_answered(&vm, &pool, result, now);
            }
            Event::WaveReportFailed { wave } => {
                scheduler.wave_report_failed(wave)
            }
            Event::LeaseRenewed { sent_ms } => {
                if self.hand_over.note_renewed(sent_ms) {
                    self.held.renewed_ms = self.held.renewed_ms.max(sent_ms);
                    scheduler.lease_renewed(sent_ms);
                }
            }
            Event::LeaseLost => {
                self.lost_reason =
                    Some("the store says that the lease is over");
            }
            Event::StartAnswered { worker, task, run, took_ms, result } => {
                if result != Err(OrderError::Unknown) {
                    self.round_trips.record(now.steady_ms, took_ms);
                }
                scheduler.start_answered(&worker, &task, run, result, now);
            }
            Event::StopAnswered { worker, task, result } => {
                scheduler.stop_answered(&worker, &task, result, now);
            }
            Event::HoldAnswered { worker, held, result } => match result {
                Ok(report) => {
                    scheduler.hold_answered(&worker, &held, &report, now);
                }
                Err(error) => {
                    scheduler.hold_failed(&worker, &held, error, now);
                }
            },
            Event::PaceAnswered { worker, order, result } => {
                if let Err(error) = result {
                    scheduler.pace_failed(&worker, &order, error, now);
                    let task = order.task;
                    info!(self.candidate.log, "task: pace not set";
                        "job" => %task.job, "task" => %task,
                        "worker" => %worker, "reason" => error.name());
                }
            }
            Event::AdviceAnswered { step, workers, asked_ms, answer } => {
                scheduler
                    .advice_answered(&step, &workers, asked_ms, answer, now);
            }
            Event::CeilingsLoaded(loaded) => self.apply_ceilings(loaded),
            Event::CeilingsWritten(written) => {
                self.ceilings_written(written, now);
            }
            Event::SilentWorkersWritten(written) => {
                self.silent_workers_written(written, now);
            }
            Event::TeamLimitsWritten(written) => {
                self.team_limits.finish_write(written, now.steady_ms);
            }
            Event::CountsWritten(written) => {
                self.counts.write_answered(written)
            }
            Event::WaveWritten { wave, written } => {
                self.wave_written(wave, written, now);
            }
            Event::VmOrdersWritten(written) => {
                self.vm_orders_recorded |=
                    !matches!(written, RecordWriteOutcome::Done(_));
                self.vm_orders.finish_write(written, now.steady_ms);
            }
            Event::RetryWrite(changes) => scheduler.changes_failed(&changes),
            Event::ProgressWritten { changes, written } => {
                self.progress_written(changes, written, now);
            }
        }
    }

    fn apply_fleet_state(&mut self, fleet_state: LoadedFleetState, now: Now) {
        let issuer = self.candidate.order_issuer();
        self.vm_orders.set_version(fleet_state.vm_orders.version);
        let ordered = fleet_state.vm_orders.vms.as_ref();
        self.vm_orders_recorded = ordered.is_some_and(|vms| !vms.is_empty());
        self.scheduler.hold_off_vm_orders(
            now,
            &issuer,
            fleet_state.vm_orders.vms,
        );
        self.counts.set_version(fleet_state.counts_version);
        for (wave, version) in &fleet_state.waves.versions {
            self.wave_writers.entry(*wave).or_default().set_version(*version);
        }
        self.waves = fleet_state.waves;
        self.completed_waves = fleet_state.completed_waves;
    }

    /// Looks up the workers that are in the list of VMs but not yet in the
    /// last read of the directory.
    fn look_up_unlisted_workers(&self) {
        let unlisted = match self.scheduler.plan_lookups() {
            WorkerLookup::Singly(unlisted) => unlisted,
            WorkerLookup::Together => {
                self.directory_request.send();
                return;
            }
        };
        for id in unlisted {
            let fleet = self.candidate.fleet.clone();
            let (worker, sender) = (id.clone(), self.sender.clone());
            self.worker_lookups.start(&id, move || {
                let (fleet, worker) = (fleet.clone(), worker.clone());
                let sender = sender.clone();
                async move { look_up_worker(&fleet, &worker, &sender).await }
            });
        }
    }

    /// Returns whether the store has renewed the lease since this VM was last
    /// suspended, and since this process last stood still until its lease had
    /// expired. Another node may have taken over meanwhile, and workers'
    /// answers that are still unread may be out of date.
    fn is_lease_confirmed(&mut self, now: Now) -> bool {
        self.note_standstill(now);
        let suspended_ms = clock::suspended_ms();
        if let Some(for_ms) = self.suspensions.noticed_ms(suspended_ms) {
            warn!(self.candidate.log, "holder: was suspended";
                "for_ms" => for_ms,
                "renewed_before_ms" =>
                    now.steady_ms.saturating_sub(self.held.renewed_ms),
                "outcome" => "nothing is ordered before the lease is renewed");
            counters::count(counters::SUSPENSIONS);
            self.renewal_needed_from_ms = now.steady_ms;
        }
        self.held.renewed_ms >= self.renewal_needed_from_ms
    }

    /// Requires a renewal of the lease if nothing was planned for long and the
    /// lease has expired: the process was stopped, or got no processor time.
    /// The clocks run on during that time, so it isn't a suspension of the VM.
    fn note_standstill(&mut self, now: Now) {
        let for_ms = now.steady_ms.saturating_sub(self.last_plan_ms);
        self.last_plan_ms = now.steady_ms;
        if for_ms < STANDSTILL_MS {
            return;
        }
        let is_expired = self.is_lease_expired(now);
        if is_expired {
            self.renewal_needed_from_ms = now.steady_ms;
        }
        let outcome = if is_expired {
            "nothing is ordered before the lease is renewed"
        } else {
            "goes on, since the lease is valid"
        };
        warn!(self.candidate.log, "holder: stood still";
            "for_ms" => for_ms,
            "renewed_before_ms" =>
                now.steady_ms.saturating_sub(self.held.renewed_ms),
            "outcome" => outcome);
        counters::count(counters::STANDSTILLS);
    }

    /// Returns what orders that are planned now are based on.
    fn order_basis(&self, now: Now) -> OrderBasis {
        OrderBasis {
            suspensions: self.suspensions,
            planned_ms: now.steady_ms,
            lease_expiry_ms: self.lease_expiry_ms(),
        }
    }

    /// Returns whether the lease has expired as far as this node knows, so that
    /// another node may hold it.
    fn is_lease_expired(&self, now: Now) -> bool {
        now.steady_ms >= self.lease_expiry_ms()
    }

    /// Returns when the lease expires unless it is renewed, on the steady
    /// clock in milliseconds.
    fn lease_expiry_ms(&self) -> u64 {
        self.hand_over.end_ms(self.held.renewed_ms + self.held.lease_ms)
    }

    /// Plans once, and dispatches the resulting orders and writes.
    fn plan_and_dispatch(&mut self) -> Option<StepDown> {
        let now = now();
        if now.steady_ms > self.lease_expiry_ms() + MAX_DETACHED_MS {
            return Some(StepDown::Lost("the lease couldn't be renewed"));
        }
        let is_expired = self.is_lease_expired(now);
        self.workers.set_relaying_paused(is_expired);
        if !self.is_lease_confirmed(now) {
            return self.lost_reason.map(StepDown::Lost);
        }
        self.apply_configuration(now);
        self.scheduler.set_relayed(self.workers.open_relays() > 0);
        self.scheduler.set_detached(is_expired);
        self.read_cancellations(now);
        let began = Instant::now();
        let actions = self.scheduler.plan(now);
        self.load_stats.plan_finished(began, &actions);
        if self.scheduler.take_vm_list_request() {
            self.vms_request.send();
        }
        let decisions = self.scheduler.take_decisions();
        for decision in &decisions {
            decisions::log_and_count(&self.candidate.log, decision);
        }
        if let Some(reason) = self.lost_reason {
            return Some(StepDown::Lost(reason));
        }
        // Until the lease expires the store may still show that the worker's
        // token is wrong.
        if is_expired && self.scheduler.may_be_superseded() {
            return Some(StepDown::Lost("a worker has seen a newer holder"));
        }
        if self.scheduler.is_out_of_tokens() {
            return Some(StepDown::OutOfTokens);
        }
        // Once the lease may be expired, the store is out of reach, and nobody
        // could take over.
        if self.is_claimed && !is_expired {
            return Some(StepDown::Yielding);
        }
        let settled = now.steady_ms >= self.started_ms + OVERLOAD_GRACE_MS;
        let window_overloaded_ms =
            self.scheduler.window().overloaded_ms(OVERLOADED_ORDER_MS);
        let slow = self
            .round_trips
            .is_overloaded(now.steady_ms, window_overloaded_ms);
        if settled
            && slow
            && !self.scheduler.link().is_saturated(now.steady_ms)
            && !is_expired
        {
            return Some(StepDown::Overloaded);
        }
        let basis = self.order_basis(now);
        for action in actions {
            let (workers, fleet) = (&self.workers, &self.candidate.fleet);
            orders::send(workers, fleet, action, basis, &self.sender);
        }
        self.write_start_logs(now);
        self.write_changes(now);
        self.write_deferred_ends(now);
        self.write_ceilings(now);
        self.write_silent_workers(now);
        self.write_team_limits(now);
        self.write_counts(now);
        self.write_waves(now);
        self.order_vms(now);
        self.delete_expired(now);
        self.delete_settled_cancellations(now);
        self.delete_obsolete_checkpoints(now);
        let teams = self.scheduler.team_usage();
        self.load_stats.tell_teams(now.steady_ms, teams);
        if self.load_stats.is_log_due(now.steady_ms) {
            let halls = self.scheduler.evacuated_halls(now);
            load_stats::log_evacuated_halls(&self.candidate.log, &halls);
            // The halls whose state is `HallState::Indirect`.
            let indirect = self.workers.indirect_halls();
            counters::set(counters::INDIRECT_HALLS, indirect.len() as f64);
            for hall in &indirect {
                self.scheduler.note_hall_path(hall, HallPath::Relayed, now);
            }
        }
        self.update_status(now);
        let window = self.scheduler.window();
        let behind_ms = now.steady_ms.saturating_sub(self.feed_current_ms);
        let link = self.scheduler.link();
        let log = &self.candidate.log;
        let relays = self.workers.open_relays();
        self.load_stats.log(
            log,
            now.steady_ms,
            window,
            link,
            behind_ms,
            relays,
        );
        None
    }

    fn apply_configuration(&mut self, now: Now) {
        let reading = self.candidate.reader.borrow();
        let halls = &reading.intent.evacuated_halls;
        self.scheduler.evacuate_halls(halls, now);
        self.scheduler.note_operator_view(reading.requested_ms);
        // The stored state of waves is known once loading is finished.
        if !self.scheduler.is_loading() {
            let waves = &reading.intent.waves;
            let records = &self.waves.records;
            let completed = &self.completed_waves;
            let unseen =
                self.scheduler.request_waves(now, waves, records, completed);
            for wave in unseen {
                self.mark_wave_changed(wave);
            }
        }
        let Some(queues) = &reading.intent.queues else { return };
        if self.applied_version == Some(queues.version()) {
            return;
        }
        self.applied_version = Some(queues.version());
        let serving = queues.queues().iter().map(|q| q.terms.pool.clone());
        let free = queues.free_pools().iter().cloned();
        self.scheduler.configure_pools(serving.collect(), free.collect());
        let unguarded = queues.pools_without_capacity_checks().iter().cloned();
        self.scheduler.enforce_capacity(unguarded.collect());
        self.scheduler.configure_cold_workers(queues.cold_terms().clone());
        let teams = queues.teams();
        let queues = queues.queues().iter();
        self.scheduler.configure(queues.map(|q| (q.name.as_str(), &q.terms)));
        self.scheduler.configure_teams(teams);
    }

    /// Sends orders to the VM service, as long as the lease hasn't expired.
    fn order_vms(&mut self, now: Now) {
        let due_ms = self.last_vm_plan_ms + VM_PLAN_INTERVAL_MS;
        if self.is_lease_expired(now) || now.steady_ms < due_ms {
            return;
        }
        // One write of the record at a time: an older one must not replace a
        // newer one.
        if self.vm_orders.is_writing() {
            return;
        }
        self.last_vm_plan_ms = now.steady_ms;
        let orders = self.scheduler.plan_vms(now);
        if orders.is_empty() && !self.vm_orders_recorded {
            return;
        }
        let vms =
            self.scheduler.ordered_vms(now, &self.candidate.order_issuer());
        // The record has no time stamp of its own. A VM that remained in it
        // would be skipped anew by each later holder, and crashes on it would
        // not be counted.
        if orders.is_empty() && !vms.is_empty() {
            return;
        }
        self.vm_orders_recorded = !vms.is_empty();
        let order_batch = VmOrderBatch {
            holder: self.candidate.node.clone(),
            fence: self.held.revision,
            orders,
            basis: self.order_basis(now),
            vms,
            record_version: self.vm_orders.begin_write(),
        };
        let Candidate { store, fleet, log, .. } = self.candidate;
        let store = store.with_purpose(Purpose::Vms);
        vm_orders::send(&store, fleet, order_batch, &self.sender, log);
    }
}
