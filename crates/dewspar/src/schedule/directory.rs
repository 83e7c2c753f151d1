/*!
Tracking which workers are alive.

There are four sources: the directory, in which workers enter themselves, the
VM service, the workers' answers, and their leases, which are certainly over
after a period of silence.

The directory tells which workers can be reached and where. It never tells that
a worker has ended: entries outlive their workers, writes may take effect late,
and the entry of a live worker expires while it can't reach the store. So of two
workers on one VM, the one that is listed may be the former one.

# Example

```text
directory    lists worker b on the VM of worker a, and not a
             a is doubted: the list of VMs is read, and a is asked
list of VMs  the VM runs a   a lives, b has ended
list of VMs  the VM runs b   a has ended
no list      b answers at the address of a   a has ended
             nothing answers                 a has ended with its lease
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, Now, Resources, Scheduler, WorkerId, WorkerListing,
            placement::PoolScores,
            processes::IncarnationOrder,
            suspects::LostRuns,
            worker::{Run, Worker},
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How long the directory must have been unreadable for entries to have
/// expired meanwhile, in milliseconds: less than the three heartbeats after
/// which workers' entries expire, and many times the usual interval between
/// reads.
const MIN_OUTAGE_MS: u64 = 2_000;

/// For how long entries that expired meanwhile may be missing after the
/// directory is readable again, in milliseconds. Workers re-enter themselves
/// within about this time.
const REENTRY_MS: u64 = 2_000;

impl Scheduler {
    /// Applies the current content of the directory of workers.
    pub fn list_workers(&mut self, now: Now, listings: Vec<WorkerListing>) {
        self.list_workers_as_of(now.steady_ms, now, listings);
    }

    /// Applies the content of the directory of workers as requested at this
    /// time of the steady clock, in milliseconds.
    pub fn list_workers_as_of(
        &mut self,
        asked_ms: u64,
        now: Now,
        listings: Vec<WorkerListing>,
    ) {
        if self.taken_over_ms == 0 {
            self.taken_over_ms = now.steady_ms;
        }
        self.workers_known |= now.steady_ms >= self.settled_from_ms();
        let unread_ms = now.steady_ms.saturating_sub(self.directory_ms);
        if self.directory_ms > 0 && unread_ms >= MIN_OUTAGE_MS {
            self.directory_complete_ms = now.steady_ms + REENTRY_MS;
        }
        self.directory_ms = now.steady_ms;
        self.mark_missing_unlisted(asked_ms, &listings, now);
        let doubted = self.doubted_workers(asked_ms, &listings);
        for listing in listings {
            self.list_worker_as_of(asked_ms, now, listing);
        }
        self.note_capacities();
        for id in doubted {
            self.doubt_worker(&id, now);
        }
        self.drop_expired_in_doubt(now);
    }

    /// Applies one worker's current entry in the directory.
    pub fn list_worker(&mut self, now: Now, listing: WorkerListing) {
        self.list_worker_as_of(now.steady_ms, now, listing);
    }

    /// Applies one worker's entry in the directory as requested at this time
    /// of the steady clock, in milliseconds.
    ///
    /// An entry that is older than what is known of the worker is ignored.
    pub fn list_worker_as_of(
        &mut self,
        asked_ms: u64,
        now: Now,
        listing: WorkerListing,
    ) {
        // Tasks may start on a worker that was looked up singly before the
        // capacities of all are noted.
        self.scores.note(&listing.pool, listing.capacity);
        let cold_remaining_ms = listing.cold_remaining_ms;
        if !self.workers.contains_key(&listing.id) {
            if !self.former_processes.is_from_ended(&listing, asked_ms) {
                let id = listing.id.clone();
                let mut worker = self.listed_worker(listing, now);
                worker.reported_at_ms = asked_ms;
                worker.cold.relisted(asked_ms, cold_remaining_ms);
                self.workers.insert(id, worker);
                self.quotas.unlisted.note_unsynced_worker();
            }
            return;
        }
        let listed = listing.incarnation;
        match self.check_incarnation(&listing.id, listed, "the directory") {
            IncarnationOrder::Same => {}
            IncarnationOrder::Newer => {
                self.replace_process(listing, asked_ms, now);
                return;
            }
            IncarnationOrder::Older => return,
        }
        let worker = self.workers.get(&listing.id);
        // Otherwise a worker that began to drain since then would be given
        // work again.
        if worker.is_some_and(|worker| worker.is_reported_since(asked_ms)) {
            return;
        }
        if let Some(worker) = self.workers.update_listing(listing) {
            worker.listed = true;
            worker.is_doubted = false;
            worker.reported_at_ms = asked_ms;
            worker.cold.relisted(asked_ms, cold_remaining_ms);
        }
    }

    /// Returns from when the directory alone counts as complete, on the steady
    /// clock, in milliseconds.
    ///
    /// Beside a partial list of VMs it does once it has had time to fill.
    /// Without any list, a worker that can't reach the store has no entry and
    /// may run what a former holder started until its lease is over.
    fn settled_from_ms(&self) -> u64 {
        let settle_ms = self.options.directory_settle_ms;
        let has_vm_list = self.vms_asked_ms > 0;
        let after_ms = if has_vm_list {
            settle_ms
        } else {
            settle_ms.max(self.options.inherited_lease_ms())
        };
        self.taken_over_ms + after_ms
    }

    /// Returns workers that the VM list shows and whose directory entries
    /// aren't known.
    ///
    /// They can be looked up singly instead of waiting for the next read of
    /// the whole directory, as a VM on which a new worker has started is
    /// wanted at once.
    pub fn unlisted_workers(&self) -> Vec<WorkerId> {
        if self.directory_ms == 0 {
            return Vec::new();
        }
        let live_workers =
            self.vms.values().filter_map(|vm| vm.worker.as_ref());
        let unlisted = live_workers.filter(|id| {
            let known = self.workers.get(id).is_some_and(|w| w.listed);
            // One that the list still shows may have started again.
            let ended = self.former_processes.has_ended(id)
                && !self.former_processes.had_ended(id, self.vms_asked_ms);
            !known && !ended
        });
        unlisted.cloned().collect()
    }

    /// Notes which workers the directory no longer lists, unless it couldn't
    /// be read for a while and workers are still re-entering themselves.
    fn mark_missing_unlisted(
        &mut self,
        asked_ms: u64,
        listings: &[WorkerListing],
        now: Now,
    ) {
        if now.steady_ms < self.directory_complete_ms {
            return;
        }
        let listed: BTreeSet<&WorkerId> =
            listings.iter().map(|listing| &listing.id).collect();
        let missing = |worker: &&Worker| {
            worker.listed
                && !listed.contains(worker.id())
                && !worker.is_reported_since(asked_ms)
        };
        let missing = self.workers.values().filter(missing);
        let missing: Vec<WorkerId> =
            missing.map(|worker| worker.id().clone()).collect();
        for id in missing {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.listed = false;
            }
        }
    }

    /// Returns the workers that the directory doesn't list, although it lists
    /// another worker on their VM, unless they are doubted already.
    ///
    /// A worker that was looked up after this read was requested isn't among
    /// them: the read may still list the previous worker of its VM.
    fn doubted_workers(
        &self,
        asked_ms: u64,
        listings: &[WorkerListing],
    ) -> Vec<WorkerId> {
        let listed: BTreeSet<&WorkerId> =
            listings.iter().map(|listing| &listing.id).collect();
        let vms: BTreeSet<&str> = listings
            .iter()
            .filter(|listing| !listing.vm.is_empty())
            .filter(|listing| {
                !self.former_processes.is_from_ended(listing, asked_ms)
            })
            .map(|listing| listing.vm.as_str())
            .collect();
        self.workers
            .values()
            .filter(|worker| vms.contains(worker.listing.vm.as_str()))
            .filter(|worker| !worker.is_reported_since(asked_ms))
            .filter(|worker| !worker.is_doubted)
            .map(Worker::id)
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect()
    }

    /// Returns whether the list of VMs should be read at once, because since
    /// the last call a hall has fallen silent, or the directory has listed
    /// another worker on a worker's VM.
    pub fn take_vm_list_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_vm_list)
    }

    /// Notes that a worker may have ended, since the directory lists another
    /// one on its VM, and has those asked that can tell.
    ///
    /// The directory can't tell, since the other worker may be the next one or
    /// a former one. The VM service knows which of them is alive; without it,
    /// the next worker refuses orders for this one at its address, and
    /// otherwise the lease of this one has to be over.
    fn doubt_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.is_doubted = true;
        worker.probe();
        // Nothing waits for a worker that is known to run nothing, so its
        // answer suffices.
        if !worker.runs.is_empty() || !worker.runs_are_known() {
            self.needs_vm_list = true;
        }
        let Some(worker) = self.workers.get(id) else { return };
        let evidence = self.worker_evidence(worker, now);
        self.note(Decision::WorkerDoubted { worker: id.clone(), evidence });
    }

    /// Adds the workers that the VM service reports as alive after a takeover,
    /// each with its pool.
    ///
    /// The directory may lack a live worker, since entries expire while the
    /// store is unavailable. Until it is listed again, such a worker may run
    /// anything that a previous holder started.
    pub fn expect_workers(
        &mut self,
        now: Now,
        live_workers: impl IntoIterator<Item = (WorkerId, String)>,
    ) {
        let live_workers = live_workers.into_iter().map(|(id, pool)| {
            WorkerListing::unlisted(id, String::new(), pool)
        });
        self.add_live_workers(now, live_workers);
        self.note_workers_known();
    }

    /// Adds workers that the VM service reports as alive after a takeover,
    /// although there may be others.
    ///
    /// Those with a VM end if a later list of VMs no longer shows them there.
    pub(super) fn add_live_workers(
        &mut self,
        now: Now,
        live_workers: impl IntoIterator<Item = WorkerListing>,
    ) {
        if self.workers_known {
            return;
        }
        for listing in live_workers {
            let id = listing.id.clone();
            let known = self.workers.contains_key(&id);
            if known || self.former_processes.has_ended(&id) {
                continue;
            }
            let mut worker = self.listed_worker(listing, now);
            // It hasn't reported anything about itself.
            worker.reported_at_ms = 0;
            self.workers.insert(id, worker);
            self.quotas.unlisted.note_unsynced_worker();
        }
    }

    /// Notes that every worker is known that may run something.
    ///
    /// Those that ended before were never asked.
    pub(super) fn note_workers_known(&mut self) {
        if !self.workers_known {
            self.own_lease.note_unlisted_ends();
        }
        self.workers_known = true;
    }

    /// Notes the capacities of all workers and VMs.
    pub(super) fn note_capacities(&mut self) {
        let workers = self.workers.values().map(|w| w.listing.capacity);
        let vms = self.vms.values().map(|vm| vm.capacity);
        let mut capacities: Vec<Resources> = Vec::new();
        for room in workers.chain(vms) {
            if !capacities.contains(&room) {
                capacities.push(room);
            }
        }
        let mut scores = PoolScores::default();
        for worker in self.workers.values() {
            scores.note(&worker.listing.pool, worker.listing.capacity);
        }
        for vm in self.vms.values() {
            scores.note(&vm.pool, vm.capacity);
        }
        self.scores = scores;
        self.capacities = capacities;
        self.note_halls();
    }

    /// Returns whether the VM service should be asked which workers are alive.
    pub fn needs_live_workers(&self) -> bool {
        !self.workers_known
    }

    /// Returns the state for a listed worker that is new, or that was no
    /// longer known.
    fn listed_worker(&mut self, listing: WorkerListing, now: Now) -> Worker {
        let mut worker = self.relisted_or_new(listing, now);
        worker.listed_in = self.own_lease.detachment();
        worker
    }

    fn relisted_or_new(&mut self, listing: WorkerListing, now: Now) -> Worker {
        // A partition may outlast a lease while the process keeps running.
        let Some(tokens_used) =
            self.former_processes.take_tokens_used(&listing.id)
        else {
            return self.new_worker(listing, now);
        };
        let revision = self.lease_revision;
        let now_ms = now.steady_ms;
        Worker::relisted(listing, revision, tokens_used, now_ms, &self.options)
    }

    fn new_worker(&self, listing: WorkerListing, now: Now) -> Worker {
        let revision = self.lease_revision;
        let on_record = self.silent_workers.over_ms(&listing.id);
        let mut worker =
            Worker::new(listing, revision, now.steady_ms, &self.options);
        if let Some(over_ms) = on_record {
            worker.lease_over_ms = worker.lease_over_ms.min(over_ms);
        }
        worker
    }

    /// Notes that a worker has ended, together with all of its runs.
    pub fn worker_gone(
        &mut self,
        id: &WorkerId,
        reason: &'static str,
        now: Now,
    ) {
        self.withdraw_starts_on(id, now);
        let Some(mut worker) = self.workers.remove(id) else { return };
        let evidence = self.worker_evidence(&worker, now);
        if worker.may_run_unknown(self.own_lease.confirmed_ms(now)) {
            self.own_lease.note_unlisted_ends();
        }
        self.halls.ended(&worker.listing.hall, id);
        self.former_processes.ended(&worker, now);
        if worker.is_lapsed() {
            // Its lost runs were reported when its lease was over.
            let worker = id.clone();
            self.note(Decision::WorkerGone { worker, reason, evidence });
            return;
        }
        let lost = LostRuns::of(&worker, now);
        let answered_ms = worker.answered_worker_ms();
        let runs = std::mem::take(&mut worker.runs);
        self.note_lost_in_doubt(&worker, &runs);
        self.lose_runs(id, runs, answered_ms, reason, now);
        let worker = id.clone();
        self.note(Decision::WorkerGone { worker, reason, evidence });
        self.note_crash(id, &lost, now);
    }

    /// Releases runs that have ended with their worker's process, which last
    /// answered at this time of its own clock, in milliseconds.
    pub(super) fn lose_runs(
        &mut self,
        id: &WorkerId,
        runs: BTreeMap<TaskId, Run>,
        answered_ms: u64,
        reason: &'static str,
        now: Now,
    ) {
        let other_runs = runs.len().saturating_sub(1);
        for (task, run) in runs {
            self.note(Decision::RunLost {
                task,
                run: run.run,
                worker: id.clone(),
                reason,
                age_ms: run.confirmed_ms(answered_ms),
                other_runs,
                renewal_age_ms: self.own_lease.renewal_age_ms(now),
            });
            self.note_loss(&task);
            self.note_stopped(&task, id, &run, reason, now);
            self.release_task(&task, id, run.has_begun(), now);
        }
    }

    /// Drops workers whose lease is certainly over, and those that left the
    /// directory without any runs.
    pub(super) fn drop_lapsed_workers(&mut self, now: Now) {
        let confirmed_ms = self.own_lease.confirmed_ms(now);
        let mut gone = Vec::new();
        for number in self.due_workers(now) {
            let Some(worker) = self.workers.at(number) else { continue };
            let lapses_from_ms = worker.lapses_from_ms();
            let lapsed =
                lapses_from_ms.is_some_and(|from_ms| confirmed_ms >= from_ms);
            let idle = worker.runs.is_empty();
            if lapsed && !idle {
                gone.push((number, "its lease is over"));
            } else if lapsed && !worker.listed {
                gone.push((number, "it left the directory"));
            }
        }
        for (number, reason) in gone {
            let Some(worker) = self.workers.at(number) else { continue };
            let id = worker.id().clone();
            self.worker_gone(&id, reason, now);
            self.former_processes.mark_lapsed(&id);
        }
    }
}
