//! A burst from one team while its pool is full: what nodes are told to refuse,
//! and how the jobs within their teams' shares are served meanwhile.

use {
    crate::world::{POOL, RunKind, World, at, id, job, managed, step},
    dewspar::{
        job::{JobId, StepSpec},
        schedule::{
            AcceptedJob, Options, Policy, QueueTerms, Resources, Scheduler,
            SubmissionDecision, TeamLimits, TeamStatus,
        },
        team::{Team, Teams},
    },
    dewspar_standin::task_worker::Fate,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{BTreeMap, VecDeque},
};

/// How long a task takes, in milliseconds.
const TASK_MS: u64 = 500;

/// The interval between two scheduling passes, in milliseconds.
const ROUND_MS: u64 = 50;

/// How old the limits are that nodes apply, in milliseconds: a write once a
/// second, and a read twice a second.
const LIMITS_DELAY_MS: u64 = 1_200;

/// The number of jobs in a second that each team is owed. The pool serves some
/// 35 in a second, and the teams are owed 30.
const SHARE: u64 = 6;

/// The number of jobs in a second that each team usually submits.
const USUAL: u64 = 4;

/// The number of teams. The first one has the burst.
const TEAMS: usize = 5;

/// How long the burst lasts, in milliseconds.
const BURST_MS: u64 = 6_500;

/// The most that a job within its share may wait, in milliseconds: until jobs
/// beyond a share no longer start, for the runs that have started, and for the
/// work of others within their shares.
const MAX_OWED_WAIT_MS: u64 = 2_000 + TASK_MS + 500;

/// Returns a policy that limits teams.
fn limiting() -> Policy {
    let mut policy = Policy::default();
    policy.placing.refuse_over_share = true;
    policy.placing.max_owed_wait_ms = 2_000;
    policy
}

fn name(team: usize) -> String {
    format!("team-{team}")
}

fn team(number: usize) -> Team {
    Team { name: name(number), weight: SHARE, ..Team::default() }
}

/// A submitted job.
#[derive(Clone, Debug)]
struct Submitted {
    team: usize,
    at_ms: u64,
    over_share: bool,
    /// How long it waited for its first start, in milliseconds.
    waited_ms: Option<u64>,
}

/// A world with teams whose callers apply limits as nodes do.
struct Burst {
    world: World,
    random: StdRng,
    /// The priority of the first team's queue; 0 is the highest.
    priority: u32,
    /// The limits by the time of their decision.
    limits: VecDeque<(u64, TeamLimits)>,
    jobs: BTreeMap<JobId, Submitted>,
    /// How many jobs each team has submitted in the current second.
    in_second: BTreeMap<(u64, usize), u64>,
    refused: [u64; TEAMS],
    retry_after_ms: Vec<u64>,
    number: u64,
    /// How long a job within its share may wait while others start that are
    /// beyond a share, in milliseconds; `None` if that isn't checked.
    max_wait_ms: Option<u64>,
    /// Whether the durations of tasks differ.
    is_varied: bool,
    /// The start orders that were looked at.
    seen_starts: usize,
}

impl Burst {
    fn new(seed: u64, policy: Policy) -> Burst {
        let max_wait_ms = policy.placing.max_owed_wait_ms;
        let max_wait_ms = (max_wait_ms > 0).then_some(max_wait_ms);
        let mut world =
            World::new(7, &["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"]);
        world.scheduler = Scheduler::new(7, Options::default().policy(policy));
        world.fate = Fate::done(TASK_MS);
        world.scheduler.configure_pools([POOL.to_owned()].into(), [].into());
        let teams = (0..TEAMS).map(team);
        let teams =
            teams.fold(Teams::default(), |all, team| all.with(team, []));
        world.scheduler.configure_teams(&teams);
        world.expect_all();
        world.list();
        world.run_for(1_000);
        Burst {
            world,
            random: StdRng::seed_from_u64(seed),
            priority: 2,
            limits: VecDeque::new(),
            jobs: BTreeMap::new(),
            in_second: BTreeMap::new(),
            refused: [0; TEAMS],
            retry_after_ms: Vec::new(),
            number: 0,
            max_wait_ms,
            is_varied: false,
            seen_starts: 0,
        }
    }

    /// Returns the limits that nodes have read by now.
    fn limits_at_nodes(&mut self) -> TeamLimits {
        let now_ms = self.world.now_ms;
        while self.limits.len() > 1
            && self.limits[1].0 + LIMITS_DELAY_MS <= now_ms
        {
            self.limits.pop_front();
        }
        let known = self.limits.front();
        let known = known.filter(|(at, _)| at + LIMITS_DELAY_MS <= now_ms);
        known.map(|(_, limits)| limits.clone()).unwrap_or_default()
    }

    /// Returns how many jobs of a team were accepted in the current second.
    fn in_second(&self, team: usize) -> u64 {
        let second = at(self.world.now_ms).unix_ms / 1_000;
        self.in_second.get(&(second, team)).copied().unwrap_or(0)
    }

    /// Submits a job unless it is refused.
    fn submit(&mut self, team_number: usize, limits: &TeamLimits) {
        self.number += 1;
        let id = id(self.number);
        let decision = limits.decide(POOL, &name(team_number), id);
        if let SubmissionDecision::Refuse { retry_after_ms } = decision {
            self.refused[team_number] += 1;
            self.retry_after_ms.push(retry_after_ms);
            return;
        }
        let now = at(self.world.now_ms);
        let second = (now.unix_ms / 1_000, team_number);
        let in_second = self.in_second.entry(second).or_default();
        *in_second += 1;
        let over_share = *in_second > SHARE;
        let at_ms = now.steady_ms;
        let submitted = Submitted {
            team: team_number,
            at_ms,
            over_share,
            waited_ms: None,
        };
        self.jobs.insert(id, submitted);
        if self.is_varied {
            let ms = self.random.random_range(300..TASK_MS * 2);
            let demand = Resources {
                cpu_millis: 1_000,
                memory_mb: 100,
                ..Resources::default()
            };
            let kind = RunKind { demand, fate: Fate::done(ms) };
            self.world.kinds.insert(id, kind);
        }
        let spec = StepSpec { estimate_ms: TASK_MS, ..step(1) };
        let job = job(vec![spec]);
        let priority = if team_number == 0 { self.priority } else { 2 };
        let accepted = AcceptedJob {
            terms: QueueTerms { priority, ..job.terms.clone() },
            accepted_at_ms: now.unix_ms,
            team: Some(team(team_number)),
            ..job
        };
        let revision = 7 + self.number;
        self.world.scheduler.submit(id, accepted, revision, None);
    }

    /// Lets every team submit its usual jobs for a time, and the first one
    /// `times` times as much. The others stay within their shares.
    fn run(&mut self, for_ms: u64, times: u64) {
        let end_ms = self.world.now_ms + for_ms;
        while self.world.now_ms < end_ms {
            self.world.now_ms += ROUND_MS;
            let limits = self.limits_at_nodes();
            for team in 0..TEAMS {
                let times = if team == 0 { times } else { 1 };
                // In thousandths of a job for this round.
                let rate = USUAL * times * ROUND_MS;
                let rest = self.random.random_range(0..1_000) < rate % 1_000;
                for _ in 0..rate / 1_000 + u64::from(rest) {
                    if team == 0 || self.in_second(team) < SHARE {
                        self.submit(team, &limits);
                    }
                }
            }
            self.round();
        }
    }

    fn round(&mut self) {
        let now = at(self.world.now_ms);
        let listings = &self.world.listings;
        let vms: Vec<_> = listings.iter().map(managed).collect();
        self.world.list();
        self.world.scheduler.list_vms(now, now.steady_ms, &vms);
        self.world.round();
        self.world.scheduler.plan_vms(now);
        let limits = self.world.scheduler.team_limits().clone();
        self.limits.push_back((now.steady_ms, limits));
        self.check_starts(now.steady_ms);
        for (_, order) in &self.world.starts[self.seen_starts..] {
            if let Some(job) = self.jobs.get_mut(&order.task.job) {
                let waited_ms = now.steady_ms - job.at_ms;
                job.waited_ms.get_or_insert(waited_ms);
            }
        }
        self.seen_starts = self.world.starts.len();
    }

    /// Checks that nothing beyond a share has started in this round while a job
    /// within its share has waited for longer than the bound.
    fn check_starts(&self, now_ms: u64) {
        let Some(max_wait_ms) = self.max_wait_ms else { return };
        let mut started = self.world.starts[self.seen_starts..].iter();
        let is_over =
            |id: &JobId| self.jobs.get(id).is_some_and(|j| j.over_share);
        let Some((_, over)) = started.find(|(_, s)| is_over(&s.task.job))
        else {
            return;
        };
        // A pass every 100 ms notices that a task lacks room, and later ones
        // act on it.
        let overdue = |job: &Submitted| {
            !job.over_share
                && job.waited_ms.is_none()
                && now_ms > job.at_ms + max_wait_ms + 4 * ROUND_MS
        };
        let starts = &self.world.starts[self.seen_starts..];
        let waits = self.jobs.iter().find(|(id, job)| {
            overdue(job) && !starts.iter().any(|(_, s)| s.task.job == **id)
        });
        assert!(waits.is_none(), "{} starts, {waits:?} waits", over.task.job);
    }

    /// Returns how long jobs waited for their start, in milliseconds, in
    /// increasing order; those that haven't started count as if they started
    /// now.
    fn waits(&self, select: impl Fn(&Submitted) -> bool) -> Vec<u64> {
        let jobs = self.jobs.values().filter(|job| select(job));
        let mut waits: Vec<u64> = jobs
            .map(|job| job.waited_ms.unwrap_or(self.world.now_ms - job.at_ms))
            .collect();
        waits.sort_unstable();
        waits
    }

    /// Returns the mean wait of the worst tenth of the other teams' jobs.
    fn worst_tenth_of_others_ms(&self) -> u64 {
        let waits = self.waits(|job| job.team > 0);
        let worst = &waits[waits.len() * 9 / 10..];
        worst.iter().sum::<u64>() / worst.len() as u64
    }
}

/// Runs quiet times, a burst, and quiet times again.
fn burst(seed: u64, policy: Policy, times: u64) -> Burst {
    let mut burst = Burst::new(seed, policy);
    burst.run(3_000, 1);
    burst.run(BURST_MS, times);
    burst.run(6_000, 1);
    burst
}

fn without_refusals() -> Policy {
    let mut policy = limiting();
    policy.placing.refuse_over_share = false;
    policy
}

// Guards against accepted jobs that wait in vain: without refusals, those of
// the burst wait for longer than the burst lasts.
#[test]
fn accepted_jobs_of_a_burst_do_not_wait_in_vain() {
    for seed in 0..20 {
        let of_burst = |job: &Submitted| job.team == 0;
        let with = burst(seed, limiting(), 12).waits(of_burst);
        let without = burst(seed, without_refusals(), 12).waits(of_burst);
        let (with, without) = (mean(&with), mean(&without));
        assert!(with * 2 < without, "seed {seed}: {with} and {without} ms");
    }
}

fn mean(values: &[u64]) -> u64 {
    values.iter().sum::<u64>() / values.len().max(1) as u64
}

// Guards against a burst that takes what the others are owed.
#[test]
fn the_others_are_served_as_without_the_burst() {
    for seed in 0..20 {
        let with = burst(seed, limiting(), 12);
        let without = burst(seed, limiting(), 1);
        let worst_ms = with.worst_tenth_of_others_ms();
        let usual_ms = without.worst_tenth_of_others_ms();
        // A task that runs can't be interrupted.
        let most_ms = usual_ms + TASK_MS;
        assert!(worst_ms <= most_ms, "seed {seed}: {worst_ms}, {usual_ms}");
    }
}

#[test]
fn only_the_team_beyond_its_share_is_refused() {
    for seed in 0..20 {
        let burst = burst(seed, limiting(), 12);
        assert_eq!(burst.refused[1..], [0; TEAMS - 1], "seed {seed}");
        assert!(burst.refused[0] > 100, "seed {seed}: {:?}", burst.refused);
        // The share is still accepted.
        let accepted = burst.waits(|job| job.team == 0).len() as u64;
        let owed = USUAL * 9 + SHARE * BURST_MS / 1_000;
        assert!(accepted * 10 > owed * 8, "seed {seed}: {accepted}, {owed}");
        // The limit has ended.
        let limits = burst.world.scheduler.team_limits();
        assert_eq!(limits.teams, [], "seed {seed}");
    }
}

#[test]
fn nothing_is_refused_without_a_burst() {
    for seed in 0..20 {
        let burst = burst(seed, limiting(), 1);
        assert_eq!(burst.refused, [0; TEAMS], "seed {seed}");
    }
}

// Guards against refusals while there is room.
#[test]
fn a_burst_is_accepted_while_there_is_room() {
    let mut burst = Burst::new(1, limiting());
    for _ in 0..20 {
        for _ in 0..10 {
            burst.submit(0, &TeamLimits::default());
        }
        burst.world.now_ms += 1_000;
        for _ in 0..20 {
            burst.world.now_ms += ROUND_MS;
            burst.round();
            assert_eq!(burst.world.scheduler.team_limits().teams, []);
        }
    }
}

#[test]
fn a_team_without_a_weight_is_not_limited() {
    let mut burst = Burst::new(1, limiting());
    let unweighted = Team { weight: 0, ..team(0) };
    let teams = Teams::default().with(unweighted, []);
    burst.world.scheduler.configure_teams(&teams);
    // None of its jobs is beyond a share.
    burst.max_wait_ms = None;
    burst.run(BURST_MS, 12);
    assert_eq!(burst.refused, [0; TEAMS]);
}

// Guards against other orders than before where no team has a weight.
#[test]
fn orders_without_weights_are_the_same_with_the_mechanism_off() {
    for seed in 0..5 {
        let starts = |policy: Policy| {
            let mut burst = Burst::new(seed, policy);
            let unweighted = (0..TEAMS).map(|n| Team { weight: 0, ..team(n) });
            let teams = unweighted
                .fold(Teams::default(), |all, team| all.with(team, []));
            burst.world.scheduler.configure_teams(&teams);
            burst.max_wait_ms = None;
            burst.priority = 0;
            burst.run(3_000, 1);
            burst.run(BURST_MS, 12);
            burst.world.starts
        };
        let mut off = without_refusals();
        off.placing.max_owed_wait_ms = 0;
        assert_eq!(starts(limiting()), starts(off), "seed {seed}");
    }
}

// Guards against a limit that begins and ends again and again during one
// burst.
#[test]
fn a_limit_does_not_flap() {
    for seed in 0..20 {
        let burst = burst(seed, limiting(), 12);
        let is_limited =
            |(_, limits): &(u64, TeamLimits)| !limits.teams.is_empty();
        let limited: Vec<bool> = burst.limits.iter().map(is_limited).collect();
        let changes = limited.windows(2).filter(|w| w[0] != w[1]).count();
        assert!(changes <= 2, "seed {seed}: {changes}");
    }
}

// Guards against callers that all come back at once.
#[test]
fn the_return_of_refused_callers_is_spread() {
    let burst = burst(3, limiting(), 12);
    let mut times = burst.retry_after_ms.clone();
    times.sort_unstable();
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!(first >= 500, "{first}");
    assert!(last > first + 300, "{first} to {last}");
    // No two tenths of a second have most of them.
    let mut slots: BTreeMap<u64, usize> = BTreeMap::new();
    for time in &times {
        *slots.entry(time / 100).or_default() += 1;
    }
    let most = slots.values().max().copied().unwrap_or(0);
    assert!(most * 3 < times.len(), "{most} of {}", times.len());
}

fn owed_waits(seed: u64, policy: Policy) -> Vec<u64> {
    let mut burst = Burst::new(seed, policy);
    // The burst comes on a queue that goes before the others' queues.
    burst.priority = 0;
    burst.run(3_000, 1);
    burst.run(BURST_MS, 12);
    burst.run(6_000, 1);
    burst.waits(|job| !job.over_share)
}

// Guards against jobs within their shares that starve behind jobs beyond a
// share of a higher priority.
#[test]
fn an_owed_job_waits_for_a_bounded_time() {
    for seed in 0..20 {
        let waits = owed_waits(seed, without_refusals());
        let most = waits[waits.len() - 1];
        assert!(most <= MAX_OWED_WAIT_MS, "seed {seed}: {most}");
        let waits = owed_waits(seed, limiting());
        let most = waits[waits.len() - 1];
        assert!(most <= MAX_OWED_WAIT_MS, "seed {seed}: {most}");
        let mut unbounded = without_refusals();
        unbounded.placing.max_owed_wait_ms = 0;
        let waits = owed_waits(seed, unbounded);
        let most = waits[waits.len() - 1];
        assert!(most > 2 * MAX_OWED_WAIT_MS, "seed {seed}: {most}");
    }
}

// Guards against a large task that never finds room, since smaller ones beyond
// a share take all that becomes free.
#[test]
fn a_large_owed_task_finds_room() {
    for (max_owed_wait_ms, starts) in [(2_000, true), (0, false)] {
        let mut policy = without_refusals();
        policy.placing.max_owed_wait_ms = max_owed_wait_ms;
        let mut burst = Burst::new(5, policy);
        burst.is_varied = true;
        burst.run(1_500, 12);
        let spec = StepSpec { cpu_millis: 4_000, ..step(1) };
        let large = AcceptedJob {
            accepted_at_ms: at(burst.world.now_ms).unix_ms,
            team: Some(Team { name: "other".to_owned(), ..team(1) }),
            ..job(vec![spec])
        };
        let large_id = id(1_000_000);
        burst.world.scheduler.submit(large_id, large, 1_000_000, None);
        // All others are beyond a share.
        for _ in 0..100 {
            for _ in 0..4 {
                burst.submit(0, &TeamLimits::default());
            }
            burst.world.now_ms += ROUND_MS;
            burst.round();
        }
        let mut jobs = burst.world.starts.iter().map(|(_, s)| s.task.job);
        assert_eq!(jobs.any(|id| id == large_id), starts);
    }
}

#[test]
fn operators_see_what_teams_submit_and_what_waits() {
    let mut burst = Burst::new(9, limiting());
    burst.run(3_000, 1);
    burst.run(4_000, 12);
    let statuses = burst.world.scheduler.team_statuses();
    let of = |name: &str| -> TeamStatus {
        let status = statuses.iter().find(|status| status.team == name);
        status.expect("every team has a status").clone()
    };
    let first = of("team-0");
    assert_eq!(first.owed, SHARE);
    assert!(first.accepted > 0 && first.refused > 20, "{first:?}");
    assert!(first.waiting >= first.waiting_over_share, "{first:?}");
    assert_eq!(of("team-1").refused, 0);
}
