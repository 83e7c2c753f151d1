/*!
Maintenance waves: each VM of a wave is taken down once, after its tasks moved.

A VM is *drained* before it goes down: its worker gets no new tasks, short
tasks run to their end, and long-running ones are stopped one at a time, each
only while its step can spare another. Then the VM service is ordered to take
the VM down, which it does at once.

[`wave_selection`](super::wave_selection) decides which VMs are drained next,
and how many at a time.
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, ManagedVm, Now, Scheduler, VmOrder, VmOrderError,
            VmReading, VmStatus, WaveRecord, WaveRequest, WorkerId,
            WorkerListing,
            wave_progress::WaveReports,
            wave_state::WaveState,
            worker::{DrainReason, RunState, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// How long short tasks with a checkpoint may run on a worker that is being
/// drained before they are stopped, in milliseconds: most end by then.
const CHECKPOINTED_DRAIN_TIMEOUT_MS: u64 = 2_500;

/// How long other short tasks may run on a worker that is being drained before
/// they are stopped, in milliseconds: longer than nearly any of them takes.
const DRAIN_TIMEOUT_MS: u64 = 6_000;

/// Whether and when a task is evicted from a worker that is being drained.
enum Eviction {
    /// It continues for now.
    Defer,
    /// It is stopped, and queued again like any other.
    Immediate,
    /// It is stopped once a worker elsewhere is reserved for it.
    OncePlaced,
}

impl Scheduler {
    /// Adds the requested waves, each with the record that a former holder
    /// kept of it.
    ///
    /// Returns the waves without a record, which are to be recorded.
    pub fn request_waves(
        &mut self,
        now: Now,
        requests: &[WaveRequest],
        records: &BTreeMap<u64, WaveRecord>,
        completed: &[u64],
    ) -> Vec<u64> {
        let mut unseen = Vec::new();
        for request in requests {
            if self.waves.contains_key(&request.wave) {
                continue;
            }
            let record = records.get(&request.wave).cloned();
            if record.is_none() {
                unseen.push(request.wave);
            }
            let record = record.unwrap_or_else(|| WaveRecord {
                since_unix_ms: now.unix_ms,
                done: BTreeSet::new(),
            });
            // The wall clocks of the nodes differ a little.
            let passed_ms = now.unix_ms.saturating_sub(record.since_unix_ms);
            let left_ms = request.duration_ms.saturating_sub(passed_ms);
            let state = WaveState {
                request: request.clone(),
                record,
                members: request.vms.iter().cloned().collect(),
                end_ms: now.steady_ms.saturating_add(left_ms),
                selected_ms: now.steady_ms,
                down: BTreeMap::new(),
                ordered: BTreeMap::new(),
                shown_up: BTreeSet::new(),
                missing: BTreeMap::new(),
                reported: false,
                reports: WaveReports::default(),
                completed: completed.contains(&request.wave),
            };
            self.waves.insert(request.wave, state);
        }
        unseen
    }

    /// Returns the part of a wave's state that a later holder must know.
    pub fn wave_record(&self, wave: u64) -> Option<&WaveRecord> {
        self.waves.get(&wave).map(|state| &state.record)
    }

    /// Applies the complete list of VMs that was requested at this time of the
    /// steady clock, in milliseconds. One without any VM is ignored.
    pub fn list_vms(&mut self, now: Now, asked_ms: u64, vms: &[ManagedVm]) {
        self.apply_vms(now, asked_ms, vms, false);
    }

    /// Applies a reading of the list of VMs that was requested at this time of
    /// the steady clock, in milliseconds.
    ///
    /// What a partial one doesn't show may exist: it ends only workers whose
    /// VMs it shows without them. One without any VM is ignored, whether
    /// partial or not.
    pub fn apply_vm_reading(
        &mut self,
        now: Now,
        asked_ms: u64,
        list: &VmReading,
    ) {
        self.apply_vms(now, asked_ms, &list.vms, list.is_partial);
    }

    fn apply_vms(
        &mut self,
        now: Now,
        asked_ms: u64,
        vms: &[ManagedVm],
        is_partial: bool,
    ) {
        // An answer without rows is the same as one without a list, so it is
        // no evidence that every VM is gone.
        if vms.is_empty() {
            return;
        }
        self.vms = vms.iter().map(|vm| (vm.vm.clone(), vm.clone())).collect();
        self.vms_asked_ms = asked_ms;
        self.vms_are_partial = is_partial;
        let live_workers: Vec<WorkerListing> =
            vms.iter().filter_map(live_worker).collect();
        // A worker that isn't in the list has ended, if it was known before
        // the list was requested. Its row may be one that can't be read.
        let may_be_hidden =
            |vm: &String| is_partial && !self.vms.contains_key(vm);
        let listed: BTreeSet<&WorkerId> =
            live_workers.iter().map(|listing| &listing.id).collect();
        let ended: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.first_listed_ms < asked_ms)
            .filter(|worker| {
                !worker.listing.vm.is_empty() && !listed.contains(worker.id())
            })
            .filter(|worker| !may_be_hidden(&worker.listing.vm))
            .map(|worker| worker.id().clone())
            .collect();
        self.note_ends_in_halls(&ended, asked_ms, now);
        for id in ended {
            self.worker_gone(&id, "the VM service says that it ended", now);
        }
        for listing in &live_workers {
            self.former_processes.shown_alive(&listing.id, asked_ms);
        }
        self.add_live_workers(now, live_workers);
        if !is_partial {
            self.note_workers_known();
        }
        let (from_ms, all_from_ms) =
            (&self.vm_orders_from_ms, self.all_vm_orders_from_ms);
        let is_settled = |vm: &str| {
            let from_ms = from_ms.get(vm).copied().unwrap_or(0);
            asked_ms >= from_ms.max(all_from_ms)
        };
        for state in self.waves.values_mut() {
            state.update(asked_ms, &self.vms, is_partial, is_settled);
        }
        self.note_capacities();
        self.return_to_service();
    }

    /// Returns workers to service whose VMs were maintained while they waited
    /// to be taken down.
    fn return_to_service(&mut self) {
        for worker in self.workers.values_mut() {
            let Some(DrainReason::Maintenance(wave)) = &worker.drain_reason
            else {
                continue;
            };
            let state = self.waves.get(wave);
            let vm = &worker.listing.vm;
            // A VM that went down is back only once a later list shows it.
            let back = state.is_some_and(|state| {
                state.record.done.contains(vm) && !state.down.contains_key(vm)
            });
            if back {
                worker.drain_reason = None;
            }
        }
    }

    /// Appends the next orders for maintenance.
    pub(super) fn plan_maintenance(
        &mut self,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let waves: Vec<u64> = self
            .waves
            .iter()
            .filter(|(_, state)| !state.completed)
            .map(|(wave, _)| *wave)
            .collect();
        for wave in waves {
            self.report_running(wave, orders);
            self.order_drained_vms(wave, now, orders);
            self.drain_more(wave, now);
            self.complete(wave, orders);
        }
    }

    /// Orders the maintenance of drained VMs, as far as the wave allows.
    fn order_drained_vms(
        &mut self,
        wave: u64,
        now: Now,
        orders: &mut Vec<VmOrder>,
    ) {
        let Some(state) = self.waves.get(&wave) else { return };
        let mut allowance =
            state.allowance(|vm| self.may_be_down(state, vm, now));
        let workers = self.workers_by_vm();
        let mut ready = Vec::new();
        for vm in state.remaining() {
            let worker = workers.get(vm.as_str()).copied();
            // A VM that was ordered before counts as down already.
            let again = state.is_ordered(vm);
            if allowance == 0 && !again {
                continue;
            }
            let free =
                !state.in_retry_delay(vm, now) && self.may_order_vm(vm, now);
            if !free || !self.is_drained_for(vm, worker, wave) {
                continue;
            }
            ready.push(vm.clone());
            if !again {
                allowance -= 1;
            }
        }
        for vm in ready {
            let Some(state) = self.waves.get_mut(&wave) else { return };
            state.order(&vm, now);
            orders.push(VmOrder::Maintain { vm, wave });
        }
    }

    /// Returns whether a VM of a wave may be down by an order of a former
    /// holder: it is in maintenance, a partial list hides it and none has shown
    /// it as up, or it was ordered recently and the order may still be carried
    /// out.
    pub(super) fn may_be_down(
        &self,
        state: &WaveState,
        vm: &str,
        now: Now,
    ) -> bool {
        let may_be_maintained = match self.vms.get(vm) {
            Some(known) => known.status == VmStatus::Maintenance,
            None => self.vms_are_partial && !state.shown_up.contains(vm),
        };
        may_be_maintained || self.was_ordered_by_former(vm, now)
    }

    /// Returns whether a VM is ready to go down for a wave.
    fn is_drained_for(
        &self,
        vm: &str,
        worker: Option<&Worker>,
        wave: u64,
    ) -> bool {
        let Some(known) = self.vms.get(vm) else { return false };
        if known.status != VmStatus::Up {
            return false;
        }
        match worker {
            Some(worker) => {
                worker.drain_reason == Some(DrainReason::Maintenance(wave))
                    && worker.is_settled()
            }
            // A VM that is switched off has no worker.
            None => known.worker.is_none(),
        }
    }

    pub(super) fn worker_on(&self, vm: &str) -> Option<&Worker> {
        self.workers.values().find(|worker| worker.listing.vm == vm)
    }

    /// Returns the worker on each VM, or the first of two. Looking up single
    /// VMs would iterate over all workers each time.
    pub(super) fn workers_by_vm(&self) -> HashMap<&str, &Worker> {
        let mut workers = HashMap::with_capacity(self.workers.len());
        for worker in self.workers.values() {
            workers.entry(worker.listing.vm.as_str()).or_insert(worker);
        }
        workers
    }

    /// Returns the utilization of a pool if it had `less` fewer workers, in
    /// percent.
    pub(super) fn pool_percent_without(&self, pool: &str, less: u64) -> u64 {
        self.pool_load(pool).percent_without(less)
    }

    /// Starts to drain a worker.
    pub(super) fn start_drain(
        &mut self,
        id: &WorkerId,
        purpose: DrainReason,
        now: Now,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let reason = match &purpose {
            DrainReason::Maintenance(_) => "maintenance",
            DrainReason::Move(_) => "move",
        };
        worker.drain_reason = Some(purpose);
        worker.drain_since_ms = now.steady_ms;
        let vm = worker.listing.vm.clone();
        self.note(Decision::DrainStarted { worker: id.clone(), vm, reason });
    }

    /// Evicts tasks from workers that are being drained, end soon or are in a
    /// data hall that is being emptied.
    pub(super) fn drain_workers(&mut self, now: Now) {
        self.clear_unplaced();
        let draining: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.must_be_vacated())
            .map(|worker| worker.id().clone())
            .collect();
        for id in draining {
            self.drain_worker(&id, now);
        }
    }

    /// Evicts tasks from one worker.
    pub(super) fn drain_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else { return };
        let emptied = worker.drain_reason.is_some();
        // Short tasks end by themselves before a draining worker ends, or end
        // with it.
        let waited_ms = match emptied {
            true => now.steady_ms.saturating_sub(worker.drain_since_ms),
            false => 0,
        };
        let reason = if emptied {
            "its VM is needed"
        } else if worker.is_terminating() {
            "its worker ends soon"
        } else {
            "its hall is being emptied"
        };
        let tasks: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
            .map(|(task, _)| *task)
            .collect();
        for task in tasks {
            match self.eviction_timing(&task, id, waited_ms, now) {
                Eviction::Defer => {}
                Eviction::Immediate => self.displace(&task, id, None, reason),
                Eviction::OncePlaced => {
                    if let Some(place) = self.plan_move(&task, id, now) {
                        self.displace(&task, id, Some(place), reason);
                    }
                }
            }
        }
    }

    /// Returns whether and when a task is evicted from a worker that is being
    /// drained.
    fn eviction_timing(
        &self,
        task: &TaskId,
        id: &WorkerId,
        waited_ms: u64,
        now: Now,
    ) -> Eviction {
        let Some(job) = self.jobs.get(&task.job) else {
            return Eviction::Immediate;
        };
        let Some(spec) = job.step_spec(task) else {
            return Eviction::Immediate;
        };
        if !spec.long_running {
            let timeout_ms = if spec.checkpointing {
                CHECKPOINTED_DRAIN_TIMEOUT_MS
            } else {
                DRAIN_TIMEOUT_MS
            };
            let in_time = waited_ms < timeout_ms;
            return if in_time {
                Eviction::Defer
            } else {
                Eviction::Immediate
            };
        }
        // A stop that a former holder ordered may still be in progress, while
        // the task is still listed as at work.
        let settled = self.taken_over_ms + self.options.stop_settle_ms;
        if now.steady_ms < settled {
            return Eviction::Defer;
        }
        // A worker that wasn't asked yet may already run the task. Until that
        // is known, the task starts nowhere; one was without a run for 13 s.
        if self.may_run_from_former_lease(job, spec, now) {
            return Eviction::Defer;
        }
        let at_limit = self.is_step_at_limit(task, id);
        if at_limit { Eviction::Defer } else { Eviction::OncePlaced }
    }

    /// Returns whether so many other tasks of the step are unavailable that
    /// this one must stay on its worker.
    pub(super) fn is_step_at_limit(
        &self,
        task: &TaskId,
        id: &WorkerId,
    ) -> bool {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        spec.is_some_and(|spec| {
            let spare = spec.max_unavailable.max(1) as usize;
            self.unavailable_in_step(task, id) >= spare
        })
    }

    /// Counts the other tasks of a long-running step that aren't at work.
    pub(super) fn unavailable_in_step(
        &self,
        task: &TaskId,
        id: &WorkerId,
    ) -> usize {
        let Some(job) = self.jobs.get(&task.job) else { return 0 };
        let Some(step) = job.step(task) else { return 0 };
        let at_work = |index: u32| {
            let other = TaskId { index, ..*task };
            step.tasks[index as usize].workers.iter().any(|on| {
                self.workers.get(on).is_some_and(|worker| {
                    worker.silent_since_ms.is_none()
                        && worker.runs.get(&other).is_some_and(|run| {
                            run.state == RunState::Running
                                && run.percent >= 100
                        })
                })
            })
        };
        let others = (0..step.tasks.len() as u32).filter(|index| {
            *index != task.index
                || !step.tasks[*index as usize].workers.contains(id)
        });
        others.filter(|index| !at_work(*index)).count()
    }

    /// Returns whether another worker could take a task now.
    pub(super) fn has_alternative_worker(
        &self,
        task: &TaskId,
        id: &WorkerId,
        now: Now,
    ) -> bool {
        self.best_worker_for(task, now).is_some_and(|worker| worker != id)
    }

    /// Reports a wave as running, once.
    fn report_running(&mut self, wave: u64, orders: &mut Vec<VmOrder>) {
        let Some(state) = self.waves.get_mut(&wave) else { return };
        if !state.reported {
            state.reported = true;
            orders.push(VmOrder::ReportRunning { wave });
        }
    }

    /// Reports a wave as completed if all of its VMs are done.
    fn complete(&mut self, wave: u64, orders: &mut Vec<VmOrder>) {
        let Some(state) = self.waves.get_mut(&wave) else { return };
        if state.remaining().next().is_none() && state.down.is_empty() {
            state.completed = true;
            orders.push(VmOrder::ReportCompleted { wave });
        }
    }

    /// Handles the result of an order to maintain a VM.
    pub fn maintenance_answered(
        &mut self,
        vm: &str,
        wave: u64,
        result: Result<(), VmOrderError>,
        now: Now,
    ) {
        let may_exist = self.vms_are_partial || self.vms.contains_key(vm);
        let Some(state) = self.waves.get_mut(&wave) else { return };
        match result {
            Ok(()) => {
                state.ordered.remove(vm);
                state.record.done.insert(vm.to_owned());
                // The maintenance may have been carried out earlier, by a
                // former holder's order; the list of VMs shows which worker
                // ended, if any.
                state.down.insert(vm.to_owned(), now.steady_ms);
            }
            // The VM is gone for good, so there is nothing to maintain.
            Err(VmOrderError::Invalid | VmOrderError::NotInWave)
                if !may_exist =>
            {
                state.ordered.remove(vm);
                state.record.done.insert(vm.to_owned());
            }
            // The order is repeated later; until then the VM counts as down
            // only if the order may have been carried out.
            Err(error) => state.order_failed(vm, error),
        }
    }

    /// Handles a failure to report the completion of a wave: it is reported
    /// again.
    pub fn wave_report_failed(&mut self, wave: u64) {
        if let Some(state) = self.waves.get_mut(&wave) {
            state.completed = false;
        }
    }

    /// Returns whether a VM is still to go down for some wave.
    pub(super) fn awaits_maintenance(&self, vm: &str) -> bool {
        let mut waves = self.waves.values();
        waves.any(|state| !state.completed && state.awaits(vm))
    }
}

/// Returns what a list of VMs shows of the worker on a VM, if it is alive.
fn live_worker(vm: &ManagedVm) -> Option<WorkerListing> {
    let id = vm.worker.clone().filter(|_| vm.status == VmStatus::Up)?;
    let unlisted = WorkerListing::unlisted(id, vm.vm.clone(), vm.pool.clone());
    Some(WorkerListing { hall: vm.hall.clone(), ..unlisted })
}
