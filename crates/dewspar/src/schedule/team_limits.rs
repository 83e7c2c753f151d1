/*!
Limits on what teams submit, while there is no room for all of it.

A team's weight is the number of jobs a second that it is owed. While a pool has
waiting work that can't be served in time, teams that submit more than that are
limited there: nodes accept only a part of their submissions, as large as the
share, and refuse the rest before anything is stored.

# Estimates

The holder knows every accepted job, but no refused one. It therefore divides
what it accepted by the part that nodes accepted at that time. The estimate
doesn't include repeated submissions of refused jobs, because nodes choose by
the job's identifier and refuse the same job again.

# In time

Waiting work (what each waiting task demands, times its estimated duration)
divided by the capacity for short tasks, there or planned, is how long a job
that comes now waits. This is too long if it exceeds what the waiting jobs were
allowed on average on top of their own work. A pool is *congested* from the
moment at which some of its tasks have also lacked room for a while, until the
wait has been at most half of that for a while.

# Example

```
use dewspar::schedule::{LimitedTeam, SubmissionDecision, TeamLimits};

let limits = TeamLimits {
    teams: vec![LimitedTeam {
        pool: "registry".to_owned(),
        team: "notaries".to_owned(),
        admitted_permille: 0,
        retry_after_ms: 2_000,
    }],
};
let id = "5c0e7a21d94b36f8".parse()?;
let decision = limits.decide("registry", "notaries", id);
let SubmissionDecision::Refuse { retry_after_ms } = decision else { panic!() };
assert!((2_000..4_000).contains(&retry_after_ms));
let decision = limits.decide("registry", "banks", id);
assert_eq!(decision, SubmissionDecision::Accept);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use {
    crate::{
        job::JobId,
        quota::TeamNumber,
        schedule::{Decision, Now, Resources, Scheduler, job_state::demand},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The interval between evaluations, in milliseconds; arrivals are counted by
/// such intervals.
const INTERVAL_MS: u64 = 250;

/// The number of intervals in a second.
const INTERVALS_PER_S: usize = 4;

/// The number of intervals over which a limited team must have submitted no
/// more than its share for its limit to end.
const RELEASE_INTERVALS: usize = 2 * INTERVALS_PER_S;

/// The number of intervals after which nodes apply a limit: it has to be
/// written and read.
const DELAY_INTERVALS: usize = 2;

/// How long some task must have lacked room for its pool to be congested, in
/// milliseconds: most tasks find room as others end.
const LACKS_ROOM_MS: u64 = 500;

/// How long the wait must have been short for a pool not to be congested any
/// more, in milliseconds.
const CALM_MS: u64 = 1_000;

/// What a team must submit in a second to be limited, in percent of its share.
/// Without a margin, every other second of a team that submits its share on
/// average would count as beyond it.
const BEYOND_PERCENT: u64 = 150;

/// The smallest part of a team's submissions that is accepted, in thousandths.
/// With none, the holder couldn't estimate what the team submits.
const MIN_ADMITTED_PERMILLE: u64 = 20;

/// The bounds of the time after which refused callers may come back, in
/// milliseconds, before it is spread.
const RETRY_AFTER_MS: (u64, u64) = (500, 30_000);

/// By what percentage the accepted part of a limit must change to be replaced.
/// Each replacement makes writes of all nodes conflict once.
const REPLACE_PERCENT: u64 = 10;

/// The salts of the two numbers that are derived from a job's identifier.
const ADMISSION_SALT: u64 = 1;
const RETRY_SALT: u64 = 2;

/// The teams whose submissions are limited, as the holder stores them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TeamLimits {
    /// The teams, each once for every pool in which it is limited.
    pub teams: Vec<LimitedTeam>,
}

/// A team whose submissions to a pool are limited.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LimitedTeam {
    /// The pool.
    pub pool: String,
    /// The team.
    pub team: String,
    /// The part of its submissions to accept, in thousandths.
    pub admitted_permille: u64,
    /// After what time refused callers may come back at the earliest, in
    /// milliseconds.
    pub retry_after_ms: u64,
}

/// What to do with a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmissionDecision {
    /// Accept it.
    Accept,
    /// Refuse it.
    Refuse {
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

impl TeamLimits {
    /// Decides about a submission.
    ///
    /// All nodes decide the same about a job for as long as the limits are the
    /// same. The times after which callers come back are spread evenly between
    /// the limit's and twice as much.
    pub fn decide(
        &self,
        pool: &str,
        team: &str,
        id: JobId,
    ) -> SubmissionDecision {
        let is_of =
            |limit: &&LimitedTeam| limit.team == team && limit.pool == pool;
        let Some(limit) = self.teams.iter().find(is_of) else {
            return SubmissionDecision::Accept;
        };
        if id.permille(ADMISSION_SALT) < limit.admitted_permille {
            return SubmissionDecision::Accept;
        }
        let base_ms = limit.retry_after_ms.min(RETRY_AFTER_MS.1);
        let spread_ms = base_ms * id.permille(RETRY_SALT) / 1_000;
        SubmissionDecision::Refuse { retry_after_ms: base_ms + spread_ms }
    }
}

/// What a team submits and what waits of it, for operators.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TeamStatus {
    /// The team.
    pub team: String,
    /// The number of jobs in a second that it is owed; 0 for no limit.
    pub owed: u64,
    /// The number of its jobs that were accepted in the last second.
    pub accepted: u64,
    /// The number of its jobs that were refused in the last second, as
    /// estimated by the holder.
    pub refused: u64,
    /// The number of its jobs of which nothing has begun.
    pub waiting: u64,
    /// How many of these are beyond its share.
    pub waiting_over_share: u64,
    /// What counts against its quota.
    pub used: Resources,
    /// Its quota; a resource of which it has 0 isn't limited.
    pub quota: Resources,
}

/// The jobs of a team that arrived in a pool during one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    accepted: u64,
    over_share: u64,
    /// The number that was submitted, in thousandths, as estimated.
    submitted_millis: u64,
}

/// What a team submits to a pool.
#[derive(Debug)]
struct Flow {
    /// The current interval.
    accepted: u64,
    over_share: u64,
    /// The last intervals, the newest last.
    intervals: VecDeque<Interval>,
    /// The parts that were to be accepted, in thousandths, the newest last.
    admitted_permille: VecDeque<u64>,
    is_limited: bool,
    /// When refused callers may come back, as in the limit in force.
    retry_after_ms: u64,
}

impl Default for Flow {
    fn default() -> Flow {
        Flow {
            accepted: 0,
            over_share: 0,
            intervals: VecDeque::new(),
            admitted_permille: VecDeque::from([1_000; DELAY_INTERVALS + 1]),
            is_limited: false,
            retry_after_ms: 0,
        }
    }
}

impl Flow {
    /// Ends the current interval.
    fn end_interval(&mut self) {
        let in_force = self.admitted_permille.front().copied();
        let in_force = in_force.unwrap_or(1_000).max(MIN_ADMITTED_PERMILLE);
        self.intervals.push_back(Interval {
            accepted: self.accepted,
            over_share: self.over_share,
            submitted_millis: self.accepted * 1_000_000 / in_force,
        });
        if self.intervals.len() > RELEASE_INTERVALS {
            self.intervals.pop_front();
        }
        (self.accepted, self.over_share) = (0, 0);
    }

    fn last(&self, intervals: usize) -> impl Iterator<Item = &Interval> {
        self.intervals.iter().rev().take(intervals)
    }

    /// Returns the number of jobs that were submitted in a second, in
    /// thousandths, as estimated from this many intervals.
    fn submitted_millis(&self, intervals: usize) -> u64 {
        let sum: u64 = self.last(intervals).map(|i| i.submitted_millis).sum();
        sum * INTERVALS_PER_S as u64 / intervals as u64
    }

    /// Returns the part to accept: the one in force if it is near enough.
    fn steady_permille(&self, permille: u64) -> u64 {
        let last = self.admitted_permille.back().copied();
        let in_force = last.filter(|_| self.is_limited);
        in_force
            .filter(|known| {
                known.abs_diff(permille) * 100 <= known * REPLACE_PERCENT
            })
            .unwrap_or(permille)
    }

    fn accepted(&self) -> u64 {
        self.last(INTERVALS_PER_S).map(|i| i.accepted).sum()
    }

    fn has_over_share(&self) -> bool {
        self.last(INTERVALS_PER_S).any(|i| i.over_share > 0)
    }

    fn is_idle(&self) -> bool {
        let is_empty = |i: &Interval| i.accepted == 0;
        !self.is_limited
            && self.accepted == 0
            && self.intervals.iter().all(is_empty)
    }
}

/// Whether a pool has waiting work that can't be served in time.
#[derive(Debug, Default)]
struct Congestion {
    is_congested: bool,
    /// Since when the wait has been short.
    calm_since_ms: Option<u64>,
}

impl Congestion {
    fn update(&mut self, waiting: &WaitingWork, long_lack: bool, now_ms: u64) {
        let WaitingWork { wait_ms, allowed_ms, .. } = *waiting;
        if long_lack && wait_ms > allowed_ms {
            *self = Congestion { is_congested: true, calm_since_ms: None };
            return;
        }
        if wait_ms > allowed_ms / 2 {
            self.calm_since_ms = None;
            return;
        }
        let since_ms = *self.calm_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + CALM_MS {
            self.is_congested = false;
        }
    }
}

/// The work that waits in a pool.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    /// What its tasks demand, multiplied by milliseconds.
    work: Resources,
    jobs: u64,
    /// The sum of what its jobs were allowed on top of their own work.
    allowed_sum_ms: u64,
    allowed_ms: u64,
    wait_ms: u64,
}

/// The state from which limits are derived.
#[derive(Debug, Default)]
pub(super) struct LimitControl {
    flows: BTreeMap<(String, TeamNumber), Flow>,
    congestion: BTreeMap<String, Congestion>,
    limits: TeamLimits,
    evaluated_ms: u64,
}

impl LimitControl {
    /// Counts a job that was accepted under this lease.
    pub(super) fn count_arrival(
        &mut self,
        pool: &str,
        team: TeamNumber,
        is_over: bool,
    ) {
        let flow = self.flows.entry((pool.to_owned(), team)).or_default();
        flow.accepted += 1;
        flow.over_share += u64::from(is_over);
    }

    /// Returns what a team submitted in a second to all pools, in thousandths
    /// of jobs, as estimated from this many intervals.
    fn submitted_millis(&self, team: TeamNumber, intervals: usize) -> u64 {
        let flows = self.flows.iter().filter(|((_, of), _)| *of == team);
        flows.map(|(_, flow)| flow.submitted_millis(intervals)).sum()
    }

    fn accepted(&self, team: TeamNumber) -> u64 {
        let flows = self.flows.iter().filter(|((_, of), _)| *of == team);
        flows.map(|(_, flow)| flow.accepted()).sum()
    }
}

impl Scheduler {
    /// Returns the teams whose submissions are to be limited.
    pub fn team_limits(&self) -> &TeamLimits {
        &self.quotas.limits.limits
    }

    /// Evaluates the limits, if that is due.
    pub(super) fn update_team_limits(&mut self, now: Now) {
        let due_ms = self.quotas.limits.evaluated_ms + INTERVAL_MS;
        if now.steady_ms < due_ms {
            return;
        }
        self.quotas.limits.evaluated_ms = now.steady_ms;
        if self.quotas.limits.flows.is_empty() {
            return;
        }
        for flow in self.quotas.limits.flows.values_mut() {
            flow.end_interval();
        }
        // Looking at every job isn't needed where no team has a weight, nor
        // while no pool is or may become congested.
        let is_needed = self.has_weights() && self.may_be_congested(now);
        let waiting = match is_needed {
            true => self.waiting_work(now),
            false => BTreeMap::new(),
        };
        self.update_congestion(&waiting, now);
        let keys: Vec<(String, TeamNumber)> =
            self.quotas.limits.flows.keys().cloned().collect();
        let mut limits = TeamLimits::default();
        for (pool, team) in keys {
            let wait_ms = waiting.get(&pool).map_or(0, |work| work.wait_ms);
            limits.teams.extend(self.limit_team(&pool, team, wait_ms));
        }
        let control = &mut self.quotas.limits;
        control.limits = limits;
        control.flows.retain(|_, flow| !flow.is_idle());
    }

    fn has_weights(&self) -> bool {
        let mut accounts = self.quotas.ledger.accounts();
        accounts.any(|(team, _)| team.weight > 0)
    }

    /// Returns whether some pool is congested, or has lacked room for long
    /// enough to be so.
    fn may_be_congested(&self, now: Now) -> bool {
        let congestion = &self.quotas.limits.congestion;
        congestion.values().any(|pool| pool.is_congested)
            || self
                .unplaced_since_ms
                .values()
                .any(|since| now.steady_ms >= since + LACKS_ROOM_MS)
    }

    /// Decides about the limit of a team in a pool.
    fn limit_team(
        &mut self,
        pool: &str,
        number: TeamNumber,
        wait_ms: u64,
    ) -> Option<LimitedTeam> {
        let (team, _) = self.quotas.ledger.account(number);
        let (name, share) = (team.name.clone(), team.weight);
        let is_enabled =
            self.placing().refuse_over_share && self.placing().over_share_last;
        let control = &self.quotas.limits;
        let congestion = control.congestion.get(pool);
        let is_congested = congestion.is_some_and(|c| c.is_congested);
        let flow = control.flows.get(&(pool.to_owned(), number))?;
        let recent = control.submitted_millis(number, INTERVALS_PER_S);
        let longer = control.submitted_millis(number, RELEASE_INTERVALS);
        let is_beyond = if flow.is_limited {
            recent.max(longer) > share * 1_000
        } else {
            flow.has_over_share()
                && control.accepted(number) * 100 > share * BEYOND_PERCENT
        };
        let is_limited = is_enabled && share > 0 && is_congested && is_beyond;
        let submitted_millis = recent.max(longer).max(1);
        let admitted_permille = if is_limited {
            let permille = share * 1_000_000 / submitted_millis;
            flow.steady_permille(permille.clamp(MIN_ADMITTED_PERMILLE, 1_000))
        } else {
            1_000
        };
        let was_limited = flow.is_limited;
        let key = (pool.to_owned(), number);
        let flow = self.quotas.limits.flows.get_mut(&key)?;
        let (least_ms, most_ms) = RETRY_AFTER_MS;
        let retry_after_ms = wait_ms.clamp(least_ms, most_ms);
        let known_ms = flow.retry_after_ms;
        let is_near = (known_ms / 2..=known_ms * 2).contains(&retry_after_ms);
        if !(was_limited && is_near) {
            flow.retry_after_ms = retry_after_ms;
        }
        let retry_after_ms = flow.retry_after_ms;
        flow.is_limited = is_limited;
        flow.admitted_permille.push_back(admitted_permille);
        flow.admitted_permille.pop_front();
        if is_limited != was_limited {
            self.note(Decision::TeamLimited {
                pool: pool.to_owned(),
                team: name.clone(),
                admitted_permille,
                submitted: submitted_millis / 1_000,
                share,
                wait_ms,
            });
        }
        is_limited.then(|| LimitedTeam {
            pool: pool.to_owned(),
            team: name,
            admitted_permille,
            retry_after_ms,
        })
    }

    fn update_congestion(
        &mut self,
        waiting: &BTreeMap<String, WaitingWork>,
        now: Now,
    ) {
        for pool in waiting.keys() {
            let known = &mut self.quotas.limits.congestion;
            known.entry(pool.clone()).or_default();
        }
        let is_long = |since: &u64| now.steady_ms >= since + LACKS_ROOM_MS;
        for (pool, congestion) in &mut self.quotas.limits.congestion {
            let work = waiting.get(pool).copied().unwrap_or_default();
            let since_ms = self.unplaced_since_ms.get(pool);
            let long_lack = since_ms.is_some_and(is_long);
            congestion.update(&work, long_lack, now.steady_ms);
        }
    }

    /// Returns the work that waits in each pool.
    fn waiting_work(&self, now: Now) -> BTreeMap<String, WaitingWork> {
        let mut waiting: BTreeMap<&str, WaitingWork> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase.is_final() {
                continue;
            }
            let mut work = Resources::default();
            for (round, steps) in job.rounds.iter().enumerate() {
                for (step, spec) in job.spec.steps.iter().enumerate() {
                    let tasks = steps[step].waiting.len() as u64;
                    if tasks == 0
                        || spec.long_running
                        || !job.is_ready(round, step, now.unix_ms)
                    {
                        continue;
                    }
                    let demand = demand(spec).times(tasks);
                    work.add(&demand.times(spec.estimate_ms.max(1)));
                }
            }
            if work == Resources::default() {
                continue;
            }
            let chain_ms = (0..job.spec.steps.len())
                .map(|step| job.critical_path_ms(step))
                .max()
                .unwrap_or(0);
            let objective_ms = job.terms.objective_ms(chain_ms);
            let known = waiting.entry(&job.terms.pool).or_default();
            known.work.add(&work);
            known.jobs += 1;
            known.allowed_sum_ms += objective_ms.saturating_sub(chain_ms);
        }
        let waiting = waiting.into_iter().map(|(pool, mut work)| {
            let planned = self.targets.get(pool).copied().unwrap_or(0);
            let capacity = self.pool_load(pool).short_task_capacity(planned);
            // A pool that has nothing left for short tasks serves none.
            work.wait_ms = match capacity.cpu_millis {
                0 => RETRY_AFTER_MS.1,
                _ => work.work.permille_of(&capacity) / 1_000,
            };
            work.allowed_ms = work.allowed_sum_ms / work.jobs.max(1);
            (pool.to_owned(), work)
        });
        waiting.collect()
    }

    /// Returns what each team submits, what it uses and what waits of it.
    pub fn team_statuses(&self) -> Vec<TeamStatus> {
        let mut waiting: BTreeMap<TeamNumber, (u64, u64)> = BTreeMap::new();
        for job in self.jobs.values() {
            if let Some(team) = job.team
                && job.phase == crate::job::Phase::Queued
            {
                let (all, over) = waiting.entry(team).or_default();
                *all += 1;
                *over += u64::from(job.over_share);
            }
        }
        let control = &self.quotas.limits;
        let accounts = self.quotas.ledger.numbered_accounts();
        let status = accounts.map(|(number, team, usage)| {
            let accepted = control.accepted(number);
            let submitted = control.submitted_millis(number, INTERVALS_PER_S);
            let (all, over) = waiting.get(&number).copied().unwrap_or((0, 0));
            TeamStatus {
                team: team.name.clone(),
                owed: team.weight,
                accepted,
                refused: (submitted / 1_000).saturating_sub(accepted),
                waiting: all,
                waiting_over_share: over,
                used: usage.total(),
                quota: team.quota,
            }
        });
        status.collect()
    }
}
