use {
    crate::{
        job::{JobId, Phase, Progress, TaskId},
        schedule::{
            AcceptedJob, Action, Decision, Held, ManagedVm, Now, Options,
            OrderError, PaceOrder, QueueTerms, Refusal, StopOrder, VmOrder,
            WorkerId, WorkerListing,
            advice::StepAdvice,
            board::Job,
            maintenance::WaveState,
            sizing::{Moving, PoolLoad},
            worker::{OwedHold, RunState, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The state of the node that holds the scheduler lease.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) options: Options,
    pub(super) lease_revision: u64,
    pub(super) queues: BTreeMap<String, QueueTerms>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    changed: BTreeSet<JobId>,
    /// Jobs whose progress is being stored.
    storing: BTreeSet<JobId>,
    /// How many changes there were.
    sequence: u64,
    /// Final jobs whose keys are still kept, with when they became final.
    finished: BTreeMap<JobId, u64>,
    decisions: Vec<Decision>,
    superseded: bool,
    /// Lives of workers that are over, though the directory may still list
    /// them.
    ended_lives: BTreeSet<WorkerId>,
    /// Whether every worker that may run something is among `workers`.
    pub(super) lives_known: bool,
    /// When the first worker was listed under this lease; 0 for not yet.
    pub(super) taken_over_ms: u64,
    /// When changes of each VM were last ordered.
    ordered_vms: BTreeMap<String, u64>,
    /// From when changes of VMs may be ordered that a former holder touched.
    pub(super) vms_from_ms: BTreeMap<String, u64>,
    all_vms_from_ms: u64,
    pub(super) waves: BTreeMap<u64, WaveState>,
    pub(super) vms: BTreeMap<String, ManagedVm>,
    pub(super) moving: BTreeMap<String, Moving>,
    /// Moves that the VM service will never take.
    pub(super) refused_moves: BTreeSet<(String, String)>,
    pub(super) serving_pools: BTreeSet<String>,
    pub(super) free_pools: BTreeSet<String>,
    pub(super) pool_loads: BTreeMap<String, PoolLoad>,
    /// What the adviser has said, by the first task of each step.
    pub(super) advice: BTreeMap<TaskId, StepAdvice>,
    /// When the list of VMs was last asked for.
    pub(super) vms_asked_ms: u64,
    /// When the pools' sizes were last looked at.
    pub(super) sized_ms: u64,
}

/// What must be stored before ends may be acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The progress of the jobs that changed.
    pub progress: Vec<(JobId, Progress)>,
    /// The newest change that is in it.
    sequence: u64,
}

impl Scheduler {
    /// Makes the scheduler of a holder whose lease key was written at this
    /// revision of the store.
    pub fn new(lease_revision: u64, options: Options) -> Scheduler {
        Scheduler {
            options,
            lease_revision,
            queues: BTreeMap::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            changed: BTreeSet::new(),
            storing: BTreeSet::new(),
            sequence: 0,
            finished: BTreeMap::new(),
            decisions: Vec::new(),
            superseded: false,
            ended_lives: BTreeSet::new(),
            lives_known: false,
            taken_over_ms: 0,
            ordered_vms: BTreeMap::new(),
            vms_from_ms: BTreeMap::new(),
            all_vms_from_ms: 0,
            waves: BTreeMap::new(),
            vms: BTreeMap::new(),
            moving: BTreeMap::new(),
            refused_moves: BTreeSet::new(),
            serving_pools: BTreeSet::new(),
            free_pools: BTreeSet::new(),
            pool_loads: BTreeMap::new(),
            advice: BTreeMap::new(),
            vms_asked_ms: 0,
            sized_ms: 0,
        }
    }

    /// Returns whether a worker has shown that another node holds the lease.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes over the queues of a configuration.
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

    /// Takes in an accepted job, with what a former holder stored of it.
    ///
    /// A job that is known already changes nothing.
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
        let AcceptedJob { spec, terms, accepted_at_ms } = job;
        let newest = self.queues.get(&spec.queue).cloned();
        let terms = newest.unwrap_or(terms);
        let mut job = Job::new(spec, terms, revision, accepted_at_ms);
        if let Some(progress) = progress {
            job.restore(progress);
        }
        self.jobs.insert(id, job);
    }

    /// Cancels a job; one that is over or unknown stays as it is.
    pub fn cancel(&mut self, id: JobId, now: Now) {
        self.finish(id, Phase::Cancelled, now);
    }

    /// Returns each queue's number of jobs none of whose tasks has started.
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

    /// Returns a job's phase, unless it is unknown or over for long.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        self.jobs.get(&id).map(|job| job.phase)
    }

    /// Takes over the directory of workers.
    pub fn list_workers(&mut self, now: Now, listings: Vec<WorkerListing>) {
        if self.taken_over_ms == 0 {
            self.taken_over_ms = now.steady_ms;
        }
        let settled = self.taken_over_ms + self.options.directory_settle_ms;
        // Without the VM service, a directory that had time to fill must do.
        self.lives_known |= now.steady_ms >= settled;
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        let mut replaced = Vec::new();
        for listing in listings {
            if self.ended_lives.contains(&listing.id) {
                continue;
            }
            let older = self.workers.values().filter(|worker| {
                worker.listing.vm == listing.vm
                    && !listing.vm.is_empty()
                    && *worker.id() != listing.id
                    && !worker.listed
            });
            replaced.extend(older.map(|worker| worker.id().clone()));
            match self.workers.get_mut(&listing.id) {
                Some(worker) => {
                    worker.listed = true;
                    worker.listing = listing;
                }
                None => {
                    let id = listing.id.clone();
                    let worker = self.new_worker(listing, now);
                    self.workers.insert(id, worker);
                }
            }
        }
        for id in replaced {
            let listed = self.workers.get(&id).is_some_and(|w| w.listed);
            if !listed {
                self.worker_gone(&id, "its VM runs a new worker", now);
            }
        }
    }

    /// Takes in which lives of workers there are, each with its pool, as
    /// the VM service says after a takeover.
    ///
    /// The directory may miss one that lives: entries lapse while the store
    /// is away. Until it is listed again, it may run anything that a former
    /// holder started.
    pub fn expect_workers(
        &mut self,
        now: Now,
        lives: impl IntoIterator<Item = (WorkerId, String)>,
    ) {
        if self.lives_known {
            return;
        }
        self.lives_known = true;
        for (id, pool) in lives {
            let known = self.workers.contains_key(&id);
            if known || self.ended_lives.contains(&id) {
                continue;
            }
            let listing = WorkerListing::unlisted(id.clone(), pool);
            let worker = self.new_worker(listing, now);
            self.workers.insert(id, worker);
        }
    }

    /// Returns whether the VM service should be asked which workers live.
    pub fn wants_lives(&self) -> bool {
        !self.lives_known
    }

    fn new_worker(&self, listing: WorkerListing, now: Now) -> Worker {
        let revision = self.lease_revision;
        Worker::new(listing, revision, now.steady_ms, &self.options)
    }

    /// Notes that a life of a worker has ended, and all that ran there.
    pub fn worker_gone(
        &mut self,
        id: &WorkerId,
        reason: &'static str,
        now: Now,
    ) {
        let Some(mut worker) = self.workers.remove(id) else { return };
        self.ended_lives.insert(id.clone());
        let runs = std::mem::take(&mut worker.runs);
        for (task, run) in runs {
            self.note(Decision::Lost {
                task,
                run: run.run,
                worker: id.clone(),
                reason,
            });
            self.free_task(&task, id, now);
        }
        self.note(Decision::WorkerGone { worker: id.clone(), reason });
    }

    /// Returns what is to be ordered of the VM service now.
    ///
    /// Call it only while the lease is certainly held: these orders are
    /// carried out whoever sends them.
    pub fn plan_vms(&mut self, now: Now) -> Vec<VmOrder> {
        let mut orders = Vec::new();
        let newest = self.vms_asked_ms + self.options.vm_list_age_ms;
        // What the list said long ago isn't so any more.
        if self.superseded || now.steady_ms > newest {
            return orders;
        }
        self.measure_pools(now);
        self.maintain(now, &mut orders);
        self.size_pools(now, &mut orders);
        self.empty_workers(now);
        for order in &orders {
            if let VmOrder::Maintain { vm, .. } | VmOrder::Move { vm, .. } =
                order
            {
                self.ordered_vms.insert(vm.clone(), now.steady_ms);
            }
        }
        orders
    }

    /// Returns the VMs of which changes were ordered a short while ago; the
    /// next holder must leave them alone at first.
    pub fn ordered_vms(&mut self, now: Now) -> BTreeSet<&str> {
        let gap_ms = self.options.duty_gap_ms;
        self.ordered_vms.retain(|_, at| now.steady_ms <= *at + gap_ms);
        self.ordered_vms.keys().map(String::as_str).collect()
    }

    /// Orders nothing of these VMs for a while, because a former holder
    /// just has; `None` stands for all.
    pub fn leave_vms_alone(
        &mut self,
        now: Now,
        vms: Option<BTreeSet<String>>,
    ) {
        let until_ms = now.steady_ms + self.options.duty_gap_ms;
        match vms {
            None => self.all_vms_from_ms = until_ms,
            Some(vms) => {
                let untils = vms.into_iter().map(|vm| (vm, until_ms));
                self.vms_from_ms.extend(untils);
            }
        }
    }

    /// Returns whether changes of a VM may be ordered.
    pub(super) fn may_order(&self, vm: &str, now: Now) -> bool {
        let from_ms = self.vms_from_ms.get(vm).copied().unwrap_or(0);
        now.steady_ms >= from_ms.max(self.all_vms_from_ms)
    }

    /// Returns what is to be done now.
    pub fn plan(&mut self, now: Now) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.drop_lapsed(now);
        self.stop_stalled(now);
        self.pace_best_effort(now, &mut actions);
        self.start_waiting(now, &mut actions);
        self.order_stops(now, &mut actions);
        self.hold_workers(now, &mut actions);
        actions
    }

    /// Takes what changed and isn't being stored, at most `most` jobs; those
    /// that are over come first, since callers wait for them.
    ///
    /// Call [`Scheduler::changes_stored`] or [`Scheduler::changes_failed`]
    /// once the outcome is known. Several may be under way at a time: no job
    /// is in two of them.
    pub fn take_changes(&mut self, most: usize) -> Changes {
        let mut ids: Vec<(bool, JobId)> = self
            .changed
            .difference(&self.storing)
            .filter_map(|id| {
                let job = self.jobs.get(id)?;
                Some((!job.phase.is_final(), *id))
            })
            .collect();
        ids.sort_unstable();
        let mut progress = Vec::new();
        for (_, id) in ids.into_iter().take(most) {
            self.changed.remove(&id);
            self.storing.insert(id);
            if let Some(job) = self.jobs.get(&id) {
                progress.push((id, job.progress()));
            }
        }
        Changes { progress, sequence: self.sequence }
    }

    /// Returns whether there is anything to store that isn't being stored.
    pub fn has_changes(&self) -> bool {
        self.changed.difference(&self.storing).next().is_some()
    }

    /// Returns whether a job that is over waits to be stored.
    pub fn has_final_changes(&self) -> bool {
        let mut waiting = self.changed.difference(&self.storing);
        waiting.any(|id| {
            self.jobs.get(id).is_some_and(|job| job.phase.is_final())
        })
    }

    /// Notes that changes are in the store.
    pub fn changes_stored(&mut self, changes: &Changes, now: Now) {
        for (id, progress) in &changes.progress {
            self.storing.remove(id);
            if progress.phase.is_final() {
                self.finished.insert(*id, progress.finished_at_ms);
                self.jobs.remove(id);
                self.drop_old_advice();
                self.changed.remove(id);
            } else if let Some(job) = self.jobs.get_mut(id) {
                job.stored_sequence = changes.sequence;
            }
        }
        let jobs = &self.jobs;
        for worker in self.workers.values_mut() {
            worker.store_ends(now.steady_ms, |job, sequence| {
                jobs.get(&job).is_none_or(|j| j.stored_sequence >= sequence)
            });
        }
    }

    /// Puts changes back that couldn't be stored.
    pub fn changes_failed(&mut self, changes: &Changes) {
        for (id, _) in &changes.progress {
            self.storing.remove(id);
            if self.jobs.contains_key(id) {
                self.changed.insert(*id);
            }
        }
    }

    /// Takes finished jobs whose keys need no longer be kept.
    pub fn take_expired(&mut self, now: Now, most: usize) -> Vec<JobId> {
        let kept_ms = self.options.kept_ms;
        let over = |at: u64| now.unix_ms >= at + kept_ms;
        let expired = self.finished.iter().filter(|(_, at)| over(**at));
        let expired: Vec<JobId> =
            expired.map(|(id, _)| *id).take(most).collect();
        for id in &expired {
            self.finished.remove(id);
        }
        expired
    }

    /// Takes in the answer to an order to start a run.
    pub fn start_answered(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        run: u64,
        result: Result<u64, OrderError>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let known = worker.runs.get_mut(task).filter(|r| r.run == run);
        let Some(known) = known else { return };
        let error = match result {
            Ok(clock_ms) => {
                if known.state == RunState::Starting {
                    known.state = RunState::Running;
                    known.since_ms = now.steady_ms;
                    known.moved_ms = now.steady_ms;
                }
                worker.read_clock(clock_ms, now.steady_ms);
                return;
            }
            Err(error) => error,
        };
        // A hold has shown it meanwhile, or it is to stop: ends will tell.
        if known.state == RunState::Running {
            return;
        }
        let fence = known.fence;
        let superseded = fence == worker.fence();
        self.note(Decision::OrderFailed {
            worker: worker_id.clone(),
            task: Some(*task),
            reason: error.name(),
        });
        match error {
            OrderError::Unknown => {
                // OK because the worker was found above.
                let worker = self.workers.get_mut(worker_id).expect("known");
                if worker.fence() == fence {
                    worker.raise_fence(now.steady_ms);
                }
            }
            OrderError::NotSent => {
                self.suspend(worker_id, error.name(), now);
                self.free_run(task, worker_id, now);
            }
            OrderError::Refused(refusal) => {
                self.free_run(task, worker_id, now);
                self.start_refused(worker_id, task, refusal, superseded, now);
            }
        }
    }

    fn start_refused(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        refusal: Refusal,
        under_current_fence: bool,
        now: Now,
    ) {
        match refusal {
            Refusal::Fenced if under_current_fence => {
                self.supersede(worker_id);
            }
            Refusal::OtherLife => {
                self.worker_gone(worker_id, "another life answers", now);
            }
            // Something is there that isn't known here, or the clocks
            // disagree: ask before anything else is sent.
            Refusal::NoRoom | Refusal::LeaseOver | Refusal::StaleRun => {
                if let Some(worker) = self.workers.get_mut(worker_id) {
                    worker.raise_fence(now.steady_ms);
                }
            }
            Refusal::Unhealthy | Refusal::Invalid => {
                self.suspend(worker_id, refusal.name(), now);
            }
            // Sent before the token was raised.
            Refusal::Fenced => {}
            Refusal::Ticket => self.ticket_refused(task, worker_id),
        }
    }

    /// Takes in the answer to an order to stop a run.
    pub fn stop_answered(
        &mut self,
        worker_id: &WorkerId,
        task: &TaskId,
        result: Result<u64, OrderError>,
        now: Now,
    ) {
        let Err(error) = result else { return };
        self.note(Decision::OrderFailed {
            worker: worker_id.clone(),
            task: Some(*task),
            reason: error.name(),
        });
        match error {
            OrderError::Refused(Refusal::OtherLife) => {
                self.worker_gone(worker_id, "another life answers", now);
            }
            OrderError::Refused(Refusal::Fenced) => {
                let worker = self.workers.get(worker_id);
                if worker.is_some_and(|worker| worker.synced) {
                    self.look_again(worker_id, now);
                }
            }
            // It is sent again until the end is listed.
            OrderError::Refused(_)
            | OrderError::NotSent
            | OrderError::Unknown => {}
        }
    }

    /// Asks a worker under a new token, which shows who holds the lease.
    fn look_again(&mut self, worker_id: &WorkerId, now: Now) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.raise_fence(now.steady_ms);
        }
    }

    /// Ends a job, and stops what still runs of it.
    pub(super) fn finish(&mut self, id: JobId, phase: Phase, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.phase.is_final() {
            return;
        }
        job.phase = phase;
        job.finished_at_ms = now.unix_ms;
        for step in job.rounds.iter_mut().flatten() {
            step.waiting.clear();
        }
        let after_ms = now.unix_ms.saturating_sub(job.accepted_at_ms);
        let placed: Vec<(TaskId, WorkerId)> = job
            .placed(id)
            .map(|(task, worker)| (task, worker.clone()))
            .collect();
        for (task, worker) in placed {
            self.stop_run(&task, &worker, phase.name());
        }
        self.mark_changed(id);
        self.note(Decision::Job { job: id, phase, after_ms });
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
        run.stop();
        let run = run.run;
        self.note(Decision::Stopped {
            task: *task,
            run,
            worker: worker_id.clone(),
            reason,
        });
    }

    /// Takes a run off a worker; its task may be started again.
    pub(super) fn free_run(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        now: Now,
    ) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.remove(task, now.steady_ms);
        }
        self.free_task(task, worker_id, now);
    }

    /// Notes that a task isn't on a worker any more.
    fn free_task(&mut self, task: &TaskId, worker_id: &WorkerId, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let over = job.phase.is_final();
        let Some(step) = job.step_mut(task) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        state.on.retain(|on| on != worker_id);
        if state.on.is_empty() && !state.done && !over {
            step.waiting.insert(task.index);
            step.ready_ms = now.steady_ms;
        }
    }

    pub(super) fn suspend(
        &mut self,
        worker_id: &WorkerId,
        reason: &'static str,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.suspend(now.steady_ms, &self.options);
        self.note(Decision::Suspended { worker: worker_id.clone(), reason });
    }

    pub(super) fn supersede(&mut self, worker_id: &WorkerId) {
        self.superseded = true;
        self.note(Decision::Superseded { worker: worker_id.clone() });
    }

    pub(super) fn note(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    /// Notes that a job's progress is to be stored; returns the change's
    /// number.
    pub(super) fn mark_changed(&mut self, id: JobId) -> u64 {
        self.sequence += 1;
        if self.jobs.contains_key(&id) {
            self.changed.insert(id);
        }
        self.sequence
    }

    /// Drops workers whose lease is over for certain, and those that left
    /// the directory with nothing on them.
    fn drop_lapsed(&mut self, now: Now) {
        let mut gone = Vec::new();
        for worker in self.workers.values() {
            let silent = worker.silent_since_ms.is_some();
            let lapsed = silent && now.steady_ms > worker.lease_over_ms;
            let idle = worker.runs.is_empty();
            if lapsed && !idle {
                gone.push((worker.id().clone(), "its lease is over"));
            } else if lapsed && !worker.listed {
                gone.push((worker.id().clone(), "it has left"));
            }
        }
        for (id, reason) in gone {
            self.worker_gone(&id, reason, now);
        }
    }

    fn order_stops(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        for worker in self.workers.values_mut() {
            let fence = worker.fence();
            let address = &worker.listing.address;
            let id = &worker.listing.id;
            for (task, run) in &mut worker.runs {
                let RunState::Stopping { ordered_ms } = &mut run.state else {
                    continue;
                };
                let retry = *ordered_ms + self.options.stop_retry_ms;
                if *ordered_ms > 0 && now_ms < retry {
                    continue;
                }
                *ordered_ms = now_ms;
                actions.push(Action::Stop {
                    worker: id.clone(),
                    address: address.clone(),
                    order: StopOrder { task: *task, run: run.run, fence },
                });
            }
        }
    }

    fn hold_workers(&mut self, now: Now, actions: &mut Vec<Action>) {
        for worker in self.workers.values_mut() {
            let owed = worker.owed_hold(now.steady_ms, &self.options);
            let Some(OwedHold { order, fencing }) = owed else { continue };
            actions.push(Action::Hold {
                worker: worker.id().clone(),
                address: worker.listing.address.clone(),
                held: Held { order, fencing, sent_ms: now.steady_ms },
            });
        }
    }

    /// Makes an order that limits the share at which a run works.
    pub(super) fn pace(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        percent: u8,
    ) -> Option<Action> {
        let worker = self.workers.get_mut(worker_id)?;
        let fence = worker.fence();
        let address = worker.listing.address.clone();
        let run = worker.runs.get_mut(task)?;
        run.pace = percent;
        let order = PaceOrder { task: *task, run: run.run, percent, fence };
        Some(Action::Pace { worker: worker_id.clone(), address, order })
    }
}
