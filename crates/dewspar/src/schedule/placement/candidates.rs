/*!
The steps that have tasks to start, in scheduling order.

At peak load a fleet has thousands of open jobs and makes hundreds of
scheduling passes a second. Examining 4,000 jobs took 1.5 of the 1.7 ms of a
pass (example `planning`). The order is therefore kept between passes and
updated incrementally. Only two kinds of jobs are examined again: jobs that
have changed, and jobs whose state depends on the time, because a round becomes
due or a deadline can no longer be met.
*/

use {
    crate::{
        job::{JobId, TaskId},
        schedule::{
            Now, Resources,
            job_state::{Job, demand},
            jobs::Jobs,
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A step with tasks to start. The order of the fields defines the scheduling
/// order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::schedule) struct Candidate {
    priority: u32,
    /// Whether its team has submitted more than its share.
    pub(in crate::schedule) over_share: bool,
    late: bool,
    objective_ms: u64,
    pub(super) job: JobId,
    pub(super) round: usize,
    pub(super) step: usize,
}

impl Candidate {
    /// Returns the first task of the step.
    pub(in crate::schedule) fn first_task(&self) -> TaskId {
        TaskId {
            job: self.job,
            round: self.round as u32,
            step: self.step as u32,
            index: 0,
        }
    }
}

/// The number of a pool, which is cheaper to compare than its name.
pub(in crate::schedule) type PoolNumber = usize;

/// What the tasks of a step require.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::schedule) struct Requirements {
    pub(in crate::schedule) pool: PoolNumber,
    pub(super) demand: Resources,
    /// Whether some waiting task may crash its worker.
    pub(super) suspects: bool,
    /// Whether the tasks are long-running.
    pub(in crate::schedule) long_running: bool,
}

/// All steps that have tasks to start.
#[derive(Debug, Default)]
pub(in crate::schedule) struct Candidates {
    pub(super) ordered: BTreeMap<Candidate, Requirements>,
    by_job: BTreeMap<JobId, JobCandidates>,
    /// The jobs to examine again, by wall-clock time in milliseconds.
    rechecks: BTreeSet<(u64, JobId)>,
    pools: BTreeMap<String, PoolNumber>,
    /// The wall-clock time of the last update.
    unix_ms: u64,
}

/// The candidates of one job.
#[derive(Debug, Default)]
struct JobCandidates {
    candidates: Vec<(Candidate, Requirements)>,
    /// When the candidates change by the passing of time; `None` for never.
    recheck_unix_ms: Option<u64>,
}

impl JobCandidates {
    fn recheck_at(&mut self, unix_ms: u64) {
        let earlier = self.recheck_unix_ms.unwrap_or(u64::MAX);
        self.recheck_unix_ms = Some(earlier.min(unix_ms));
    }
}

impl Candidates {
    /// Updates the order incrementally.
    pub(super) fn update(
        &mut self,
        jobs: &mut Jobs,
        late_last: bool,
        now: Now,
    ) {
        // A clock that was set back invalidates every result that depends on
        // the time.
        if now.unix_ms < self.unix_ms {
            jobs.mark_all_changed();
        }
        self.unix_ms = now.unix_ms;
        let mut stale = jobs.take_changed();
        while let Some((at_ms, id)) = self.rechecks.first().copied() {
            if at_ms > now.unix_ms {
                break;
            }
            self.rechecks.pop_first();
            stale.insert(id);
        }
        for id in stale {
            self.remove_job(&id);
            if let Some(job) = jobs.get_mut_unmarked(&id) {
                self.add_job(id, job, late_last, now);
            }
        }
    }

    /// Returns whether the order equals the result of examining every job.
    /// Only for builds with debug assertions, since it costs as much as the
    /// incremental update saves.
    pub(super) fn match_full_rebuild(
        &self,
        jobs: &mut Jobs,
        late_last: bool,
        now: Now,
    ) -> bool {
        let ids: Vec<JobId> = jobs.keys().copied().collect();
        let mut rebuilt = BTreeMap::new();
        for id in ids {
            let Some(job) = jobs.get_mut_unmarked(&id) else { continue };
            let pool = self.pools.get(&job.terms.pool).copied();
            let pool = pool.unwrap_or(PoolNumber::MAX);
            rebuilt.extend(
                candidates_of_job(id, job, pool, late_last, now).candidates,
            );
        }
        rebuilt == self.ordered
    }

    /// Returns the first task of each long-running step with tasks to start,
    /// in scheduling order.
    ///
    /// Called ten times a second, with thousands of steps.
    pub(in crate::schedule) fn long_running_steps(
        &self,
    ) -> impl Iterator<Item = TaskId> {
        let long_running =
            self.ordered.iter().filter(|(_, required)| required.long_running);
        long_running.map(|(candidate, _)| candidate.first_task())
    }

    /// Returns the priority of the first step in scheduling order, by pool.
    pub(in crate::schedule) fn highest_priorities(
        &self,
    ) -> BTreeMap<&str, u32> {
        let mut first: BTreeMap<PoolNumber, u32> = BTreeMap::new();
        for (candidate, required) in &self.ordered {
            first.entry(required.pool).or_insert(candidate.priority);
        }
        let pools = self.pools.iter();
        let known = pools.filter_map(|(pool, number)| {
            Some((pool.as_str(), *first.get(number)?))
        });
        known.collect()
    }

    fn remove_job(&mut self, id: &JobId) {
        let Some(known) = self.by_job.remove(id) else { return };
        for (candidate, _) in known.candidates {
            self.ordered.remove(&candidate);
        }
        if let Some(at_ms) = known.recheck_unix_ms {
            self.rechecks.remove(&(at_ms, *id));
        }
    }

    fn add_job(
        &mut self,
        id: JobId,
        job: &mut Job,
        late_last: bool,
        now: Now,
    ) {
        let pool = self.pool_number(&job.terms.pool);
        let found = candidates_of_job(id, job, pool, late_last, now);
        self.ordered.extend(found.candidates.iter().copied());
        if let Some(at_ms) = found.recheck_unix_ms {
            self.rechecks.insert((at_ms, id));
        }
        if !found.candidates.is_empty() || found.recheck_unix_ms.is_some() {
            self.by_job.insert(id, found);
        }
    }

    fn pool_number(&mut self, pool: &str) -> PoolNumber {
        if let Some(number) = self.pools.get(pool) {
            return *number;
        }
        let number = self.pools.len();
        self.pools.insert(pool.to_owned(), number);
        number
    }
}

/// Returns the steps of a job that have tasks to start. Records in newly ready
/// steps since when they are ready.
fn candidates_of_job(
    id: JobId,
    job: &mut Job,
    pool: PoolNumber,
    late_last: bool,
    now: Now,
) -> JobCandidates {
    let mut found = JobCandidates::default();
    if job.phase.is_final() {
        return found;
    }
    if let Some(at_ms) = job.build_due_rounds(now.unix_ms) {
        found.recheck_at(at_ms);
    }
    for round in 0..job.rounds.len() {
        if job.rounds[round].iter().all(|s| s.waiting.is_empty()) {
            continue;
        }
        let due_ms = job.spec.due_ms(round as u32);
        if now.unix_ms < due_ms {
            found.recheck_at(due_ms);
            continue;
        }
        let objective_ms = job.objective_ms(round);
        for step in 0..job.spec.steps.len() {
            let waiting = !job.rounds[round][step].waiting.is_empty();
            if !waiting || !job.is_ready(round, step, now.unix_ms) {
                continue;
            }
            let left_ms = job.graph.critical_path_ms(step);
            let state = &mut job.rounds[round][step];
            if state.ready_ms == 0 {
                state.ready_ms = now.steady_ms;
            }
            let suspects = state
                .waiting
                .iter()
                .any(|i| state.tasks[*i as usize].crashes.is_on_record());
            let spec = &job.spec.steps[step];
            // A long-running step has no deadline that it could miss: it is
            // interrupted from the moment at which it doesn't run.
            let may_be_late = late_last && !spec.long_running;
            let late = may_be_late
                && now.unix_ms.saturating_add(left_ms) > objective_ms;
            if may_be_late && !late {
                found.recheck_at((objective_ms - left_ms).saturating_add(1));
            }
            let objective_ms = if spec.long_running {
                job.accepted_at_ms
            } else {
                objective_ms
            };
            let priority = job.terms.priority;
            let candidate = Candidate {
                priority,
                over_share: job.over_share,
                late,
                objective_ms,
                job: id,
                round,
                step,
            };
            let demand = demand(spec);
            let long_running = spec.long_running;
            found.candidates.push((
                candidate,
                Requirements { pool, demand, suspects, long_running },
            ));
        }
    }
    found
}
