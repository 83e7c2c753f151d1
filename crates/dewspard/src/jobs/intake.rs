/*!
How the holder processes events of the feed (accepted, cancelled and finished
jobs, and other nodes' claims to the lease) and the list of VMs.
*/

use {
    super::{
        holder::{Holder, now, to_json},
        progress::FeedEvent,
        takeover::LoadedJobs,
    },
    crate::clock,
    dewspar::{
        job::JobId,
        schedule::{AcceptedJob, ManagedVm},
    },
    dewspar_platform::{Fleet, JobWorkers, KeyValue},
    slog::info,
    std::collections::BTreeMap,
};

/// Where an event about a job comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FeedOrigin {
    /// The feed, which has no progress of jobs.
    Feed,
    /// The jobs loaded at takeover, with the progress of each.
    Loaded,
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Applies events of the feed, or jobs that were loaded from it.
    pub(super) fn apply_feed(
        &mut self,
        feed: Vec<FeedEvent>,
        origin: FeedOrigin,
    ) {
        for event in feed {
            match event {
                // Its tasks may all be done, so it isn't run again.
                FeedEvent::Accepted { id, .. }
                    if self.unreadable.contains(&id) => {}
                FeedEvent::Accepted { id, job, revision } => {
                    // A full read of the feed lacks the progress that a job
                    // made under former holders; the loading brings both.
                    if origin == FeedOrigin::Feed
                        && self.scheduler.is_loading()
                        && revision < self.held.revision
                    {
                        continue;
                    }
                    self.log_accepted_job(id, &job, revision);
                    let progress = self.loaded_progress.remove(&id);
                    let progress = progress.as_ref();
                    self.scheduler.submit(id, *job, revision, progress);
                    self.apply_deferred_ends(id);
                }
                FeedEvent::Unreadable(id) => self.skip_unreadable(id),
                FeedEvent::Cancelled { id, active_use, revision } => {
                    // This holder itself charges the runs that it knows.
                    if let Some(active_use) = active_use
                        && revision < self.held.revision
                    {
                        self.scheduler.note_stops_on_record(id, &active_use);
                    }
                    self.scheduler.cancel(id, now());
                }
                FeedEvent::NeverAccepted(id) => {
                    self.scheduler.note_never_accepted(id, now());
                }
                FeedEvent::Claimed(claim) => {
                    self.is_claimed |=
                        self.candidate.is_much_weaker_than(&claim);
                }
                FeedEvent::LeaseChanged { revision } => {
                    if revision > self.held.revision {
                        self.lost_reason = Some("the lease's key has changed");
                    }
                }
            }
        }
    }

    /// Applies jobs that former holders left in the store.
    pub(super) fn apply_loaded_jobs(&mut self, mut jobs: LoadedJobs) {
        self.restore_checkpoints(&mut jobs);
        for (id, version) in &jobs.versions {
            self.versions.note_loaded(*id, *version);
        }
        for id in jobs.unreadable {
            self.skip_unreadable(id);
        }
        self.loaded_progress = jobs.progress;
        self.apply_feed(jobs.feed, FeedOrigin::Loaded);
        // Finished jobs no longer have an entry in the feed.
        let remaining = std::mem::take(&mut self.loaded_progress);
        let finished = remaining.iter().filter(|(_, p)| p.phase.is_final());
        for (id, progress) in finished {
            let job = AcceptedJob::default();
            self.scheduler.submit(*id, job, 0, Some(progress));
        }
    }

    /// Logs what a job requests, and the time since it was accepted.
    fn log_accepted_job(&self, id: JobId, job: &AcceptedJob, revision: u64) {
        let age_ms = clock::unix_ms().saturating_sub(job.accepted_at_ms);
        let steps = &job.spec.steps;
        let tasks: u32 = steps.iter().map(|step| step.count).sum();
        info!(self.candidate.log, "job: taken in"; "job" => %id,
            "queue" => &job.spec.queue,
            "team" => job.team.as_ref().map(|team| &team.name), "pool" => &job.terms.pool,
            "age_ms" => age_ms,
            "inherited" => revision < self.held.revision,
            "steps" => steps.len(), "tasks" => tasks,
            "long_running" => steps.iter().any(|s| s.long_running),
            "rounds" => job.spec.rounds(),
            "target_latency_ms" => job.terms.target_latency_ms,
            "stretch" => job.terms.stretch);
    }

    /// Logs the number of VMs of each pool by state, if it has changed.
    pub(super) fn log_pool_changes(&mut self, vms: &[ManagedVm]) {
        let mut pools: BTreeMap<String, BTreeMap<&'static str, u32>> =
            BTreeMap::new();
        for vm in vms {
            let pool = pools.entry(vm.pool.clone()).or_default();
            *pool.entry(vm.status.name()).or_default() += 1;
        }
        if pools != self.pool_vms {
            let capacities = vms.iter().map(|vm| vm.capacity.cpu_millis);
            let reading = self.candidate.reader.borrow();
            let free = reading.intent.queues.as_ref().map(|q| q.free_pools());
            info!(self.candidate.log, "vms: listed";
                "pools" => to_json(&pools), "free_pools" => to_json(&free),
                "vm_cpu_millis" => capacities.max());
            self.pool_vms = pools;
        }
    }
}
