/*!
What inherited jobs may use on workers that haven't listed their runs yet.

After a takeover a worker that doesn't answer may run whatever a former holder
has started there, until its lease is certainly over. For each pool that is no
more than the capacity of these workers, and no more than the tasks of inherited
jobs that aren't known to run elsewhere. A job that finishes meanwhile counts
until all workers have listed their runs.
*/

use {
    crate::{
        job::{JobId, JobSpec, TaskId},
        quota::TeamNumber,
        schedule::{
            Now, Resources, Scheduler,
            job_state::Job,
            quotas::{RunCharge, quota_demand},
        },
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// The interval at which the possible runs on unsynced workers are summed up,
/// in milliseconds: each time, all inherited tasks are visited.
const SUM_INTERVAL_MS: u64 = 100;

/// A finished job of which unsynced workers may still run something.
#[derive(Debug)]
struct FinishedJob {
    pool: String,
    spec: Arc<JobSpec>,
    /// The most that its runs on unsynced workers use.
    charge: RunCharge,
}

/// What may run on workers that haven't listed their runs.
#[derive(Debug, Default)]
pub(super) struct UnlistedUse {
    /// The inherited jobs that have finished since, as long as there are such
    /// workers.
    finished: BTreeMap<JobId, FinishedJob>,
    by_team: BTreeMap<TeamNumber, Resources>,
    /// When `by_team` was last summed up; 0 if it is out of date.
    summed_ms: u64,
}

impl UnlistedUse {
    /// Notes that another worker may run something unknown.
    pub(super) fn note_unsynced_worker(&mut self) {
        self.summed_ms = 0;
    }

    /// Returns the most that each team may use.
    pub(super) fn by_team(
        &self,
    ) -> impl Iterator<Item = (TeamNumber, &Resources)> {
        self.by_team.iter().map(|(team, most)| (*team, most))
    }

    /// Returns the most that a finished job may use.
    pub(super) fn of_finished(&self, id: JobId) -> Option<&RunCharge> {
        self.finished.get(&id).map(|job| &job.charge)
    }

    /// Returns what a run of a finished job uses.
    pub(super) fn charge_of_finished(
        &self,
        task: &TaskId,
    ) -> Option<RunCharge> {
        let finished = self.finished.get(&task.job)?;
        let spec = finished.spec.steps.get(task.step as usize)?;
        let resources = quota_demand(spec);
        Some(RunCharge { team: finished.charge.team, resources })
    }
}

impl Scheduler {
    /// Keeps charging what a finished job may run on workers that haven't
    /// listed their runs yet.
    pub(super) fn note_finished_inherited(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(team) = job.team else { return };
        if let Some(resources) = self.unlisted_use(job, now) {
            let pool = job.terms.pool.clone();
            let charge = RunCharge { team, resources };
            let finished =
                FinishedJob { pool, spec: job.spec.clone(), charge };
            self.quotas.unlisted.finished.insert(id, finished);
        }
    }

    /// Returns what a job may run on workers that haven't listed their runs
    /// yet; `None` for nothing.
    fn unlisted_use(&self, job: &Job, now: Now) -> Option<Resources> {
        let inherited = job.revision < self.lease_revision;
        let pool = job.terms.pool.as_str();
        let may_run = inherited && self.has_unsynced_workers(pool, now);
        let demand = may_run.then(|| unlocated_demand(job));
        demand.filter(|demand| *demand != Resources::default())
    }

    /// Sums up what may run on workers that haven't listed their runs yet.
    pub(super) fn sum_up_unlisted_use(&mut self, now: Now) {
        let summed_ms = self.quotas.unlisted.summed_ms;
        if summed_ms > 0 && now.steady_ms < summed_ms + SUM_INTERVAL_MS {
            return;
        }
        self.quotas.unlisted.summed_ms = now.steady_ms;
        let unsynced = self.unsynced_capacity(now);
        let mut possible: BTreeMap<(&str, TeamNumber), Resources> =
            BTreeMap::new();
        for job in self.jobs.values() {
            let pool = job.terms.pool.as_str();
            let inherited = job.revision < self.lease_revision;
            let Some(team) = job.team else { continue };
            if inherited
                && !job.phase.is_final()
                && unsynced.contains_key(pool)
            {
                let sum = possible.entry((pool, team)).or_default();
                sum.add(&unlocated_demand(job));
            }
        }
        for job in self.quotas.unlisted.finished.values() {
            let FinishedJob { pool, charge, .. } = job;
            if unsynced.contains_key(pool.as_str()) {
                let sum = possible.entry((pool, charge.team)).or_default();
                sum.add(&charge.resources);
            }
        }
        let mut by_team: BTreeMap<TeamNumber, Resources> = BTreeMap::new();
        for ((pool, team), demand) in possible {
            // OK because only pools with unsynced workers were visited.
            let resources = match unsynced[pool] {
                Some(capacity) => demand.component_min(&capacity),
                None => demand,
            };
            by_team.entry(team).or_default().add(&resources);
        }
        let all_listed = unsynced.is_empty();
        self.quotas.unlisted.by_team = by_team;
        if all_listed {
            self.quotas.unlisted.finished.clear();
        }
    }

    /// Returns the total capacity of each pool's workers that may run
    /// something unknown; `None` where some capacity isn't known.
    fn unsynced_capacity(
        &self,
        now: Now,
    ) -> BTreeMap<&str, Option<Resources>> {
        let mut pools: BTreeMap<&str, Option<Resources>> = BTreeMap::new();
        let confirmed_ms = self.own_lease.confirmed_ms(now);
        let may_run_unknown = self
            .workers
            .values()
            .filter(|worker| worker.may_run_unknown(confirmed_ms));
        for worker in may_run_unknown {
            let pool = worker.listing.pool.as_str();
            let sum = pools.entry(pool).or_insert(Some(Resources::default()));
            let capacity = worker.listing.capacity;
            // A worker that only the VM list shows hasn't told its capacity.
            *sum = match capacity == Resources::default() {
                true => None,
                false => sum.map(|sum| sum.plus(&capacity)),
            };
        }
        pools
    }
}

/// Returns the most that a job's tasks may use on workers that haven't listed
/// their runs: all that aren't done and aren't known to run elsewhere.
fn unlocated_demand(job: &Job) -> Resources {
    let steps = &job.spec.steps;
    let is_chain =
        (1..steps.len()).all(|step| steps[step].after.contains(&(step - 1)));
    let mut total = Resources::default();
    for round in &job.rounds {
        let mut of_round = Resources::default();
        for (state, spec) in round.iter().zip(steps) {
            let unlocated = state.tasks.iter().filter(|task| {
                let located = !task.workers.is_empty() && !spec.may_duplicate;
                !task.done && !located
            });
            let demand = quota_demand(spec).times(unlocated.count() as u64);
            // The steps of a chain run one after the other.
            of_round = match is_chain {
                true => of_round.component_max(&demand),
                false => of_round.plus(&demand),
            };
        }
        total.add(&of_round);
    }
    total
}
