/*!
The steps that have tasks to start, in the order in which they get their turn.

At its peak a fleet has thousands of open jobs, and hundreds of plans a second.
Looking at 4,000 jobs took 1.5 of a plan's 1.7 ms (example `planning`). So the
order is kept from plan to plan, and only what may have changed is put
in its place anew: the jobs that something happened to, and those whose time
has come, since a round falls due or a job can't be on time any more.
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

/// A step with tasks to start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::schedule) struct Candidate {
    priority: u32,
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

/// A pool's number, which is compared faster than its name.
pub(in crate::schedule) type PoolNumber = usize;

/// What a step asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Requirements {
    pub(super) pool: PoolNumber,
    pub(super) demand: Resources,
    /// Whether some task that waits may crash its worker.
    pub(super) suspects: bool,
    /// Whether its tasks are to last.
    long_running: bool,
}

/// The steps that have tasks to start.
#[derive(Debug, Default)]
pub(in crate::schedule) struct Candidates {
    pub(super) ordered: BTreeMap<Candidate, Requirements>,
    by_job: BTreeMap<JobId, JobCandidates>,
    /// The jobs to be looked at again, by the time of day in milliseconds.
    rechecks: BTreeSet<(u64, JobId)>,
    pools: BTreeMap<String, PoolNumber>,
    /// The time of day of the last look.
    unix_ms: u64,
}

/// What was found out about one job.
#[derive(Debug, Default)]
struct JobCandidates {
    candidates: Vec<(Candidate, Requirements)>,
    /// When time alone changes that; `None` for never.
    recheck_unix_ms: Option<u64>,
}

impl JobCandidates {
    fn recheck_at(&mut self, unix_ms: u64) {
        let earlier = self.recheck_unix_ms.unwrap_or(u64::MAX);
        self.recheck_unix_ms = Some(earlier.min(unix_ms));
    }
}

impl Candidates {
    /// Brings the order up to date.
    pub(super) fn update(
        &mut self,
        jobs: &mut Jobs,
        late_last: bool,
        now: Now,
    ) {
        // A clock that was set back undoes what time had changed.
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

    /// Returns whether the order is what looking at every job gives; for
    /// builds with assertions, since it takes as long as the order saves.
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

    /// Returns the first task of each step that is to last and has tasks to
    /// start, in the order of their turns.
    ///
    /// Asked ten times a second, among thousands of steps.
    pub(in crate::schedule) fn long_running_steps(
        &self,
    ) -> impl Iterator<Item = TaskId> {
        let long_running =
            self.ordered.iter().filter(|(_, wanted)| wanted.long_running);
        long_running.map(|(candidate, _)| candidate.first_task())
    }

    /// Returns the priority of the step that goes first, by pool.
    pub(in crate::schedule) fn highest_priorities(
        &self,
    ) -> BTreeMap<&str, u32> {
        let mut first: BTreeMap<PoolNumber, u32> = BTreeMap::new();
        for (candidate, wanted) in &self.ordered {
            first.entry(wanted.pool).or_insert(candidate.priority);
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

/// Returns the steps of a job with tasks to start, and notes on those that
/// have become ready since when they are.
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
            let left_ms = job.estimate_from_ms(step);
            let state = &mut job.rounds[round][step];
            if state.ready_ms == 0 {
                state.ready_ms = now.steady_ms;
            }
            let suspects = state
                .waiting
                .iter()
                .any(|i| state.tasks[*i as usize].crashes.is_on_record());
            let spec = &job.spec.steps[step];
            // What is to run all the time is missing from the moment at which
            // it doesn't, and never too late.
            let may_be_late = late_last && !spec.long_running;
            let late = may_be_late && now.unix_ms + left_ms > objective_ms;
            if may_be_late && !late {
                found.recheck_at(objective_ms - left_ms + 1);
            }
            let objective_ms = if spec.long_running {
                job.accepted_at_ms
            } else {
                objective_ms
            };
            let priority = job.terms.priority;
            let candidate = Candidate {
                priority,
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
