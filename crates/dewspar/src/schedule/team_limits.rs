/*!
Limits on what teams submit, while there is no room for all of it.

A team's weight is the number of jobs a second that it is owed. While a pool has
waiting work that can't be served in time, teams that submit more than that are
limited there: nodes accept only a part of their submissions, as large as the
share, and refuse the rest before anything is stored. See `congestion` for when that is.

# Estimates

The holder knows every accepted job, but no refused one. It therefore divides
what it accepted by the part that nodes accepted at that time. The estimate
doesn't include repeated submissions of refused jobs, because nodes choose by
the job's identifier and refuse the same job again.

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
        schedule::{Decision, Now, Scheduler, congestion::Congestion},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, VecDeque},
};

/// The interval between evaluations, in milliseconds; arrivals are counted by
/// such intervals.
const INTERVAL_MS: u64 = 250;

/// The number of intervals in a second.
pub(super) const INTERVALS_PER_S: usize = 4;

/// The number of intervals over which a limited team must have submitted no
/// more than its share for its limit to end.
const RELEASE_INTERVALS: usize = 2 * INTERVALS_PER_S;

/// The number of intervals after which nodes apply a limit: it has to be
/// written and read.
const DELAY_INTERVALS: usize = 2;

/// What a team must submit in a second to be limited, in percent of its share.
/// Without a margin, every other second of a team that submits its share on
/// average would count as beyond it.
const BEYOND_PERCENT: u64 = 150;

/// The smallest part of a team's submissions that is accepted, in thousandths.
/// With none, the holder couldn't estimate what the team submits.
const MIN_ADMITTED_PERMILLE: u64 = 20;

/// The bounds of the time after which refused callers may come back, in
/// milliseconds, before it is spread.
pub(super) const RETRY_AFTER_MS: (u64, u64) = (500, 30_000);

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

/// The state from which limits are derived.
#[derive(Debug, Default)]
pub(super) struct LimitControl {
    flows: BTreeMap<(String, TeamNumber), Flow>,
    pub(super) congestion: BTreeMap<String, Congestion>,
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
    pub(super) fn submitted_millis(
        &self,
        team: TeamNumber,
        intervals: usize,
    ) -> u64 {
        let flows = self.flows.iter().filter(|((_, of), _)| *of == team);
        flows.map(|(_, flow)| flow.submitted_millis(intervals)).sum()
    }

    pub(super) fn accepted(&self, team: TeamNumber) -> u64 {
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
}
