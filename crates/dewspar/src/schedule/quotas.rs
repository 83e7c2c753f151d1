/*!
Quotas of teams: what may be running on each team's behalf.

Before each pass that starts tasks, everything that may run is charged to its
team in a [`QuotaLedger`](crate::quota::QuotaLedger):

| source | charged |
|---|---|
| runs on workers | all of them, also those that are withheld, unconfirmed or told to stop, until their end is certain |
| starts in doubt | orders without an answer that a worker may still carry out |
| stops on record | runs of jobs that ended under a former holder while some of their runs were active |
| unsynced workers | whatever a former holder may have started on workers that haven't listed their runs yet |

The last one is bounded for each pool by the capacity of those workers and by
the tasks of inherited jobs that aren't known to run elsewhere, and in total by
the team's ceiling (see `ceilings`). Jobs that were accepted under this lease
can't run there. While the jobs or the workers themselves aren't all known yet,
teams with a quota start nothing.
*/

use {
    crate::{
        job::{JobId, StepSpec, TaskId},
        quota::{Admission, Charge, QuotaLedger, TeamNumber, Usage},
        schedule::{
            Decision, Now, Resources, Scheduler, WorkerId, ceilings::Ceilings,
            in_doubt::MAX_DELIVERY_MS, job_state::Job, owed_waits::OwedWaits,
            run_totals::RunTotals, shares::Shares, team_limits::LimitControl,
            unlisted_use::UnlistedUse, worker::Run,
        },
        team::{Team, Teams},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The minimum interval between two reports that a team's quota delays starts,
/// in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// What the active runs of a finished job use of a team's quota.
///
/// It is stored with the job's cancellation, so that the next holder can
/// charge these runs before it has found them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TeamUse {
    /// The team.
    pub team: Team,
    /// What the runs use.
    pub resources: Resources,
}

/// What a run uses of a team's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunCharge {
    pub(crate) team: TeamNumber,
    pub(crate) resources: Resources,
}

impl RunCharge {
    /// Returns what so many such runs use.
    pub(crate) fn times(self, runs: usize) -> RunCharge {
        let resources = self.resources.times(runs as u64);
        RunCharge { resources, ..self }
    }
}

/// A start that may still be carried out, of a task for which nothing else
/// records that.
#[derive(Debug)]
struct DoubtfulStart {
    task: TaskId,
    run: u64,
    worker: WorkerId,
    charge: RunCharge,
    until_ms: u64,
}

/// The quotas of all teams, and what is charged to them besides runs.
#[derive(Debug, Default)]
pub(super) struct TeamQuotas {
    pub(super) ledger: QuotaLedger,
    pub(super) ceilings: Ceilings,
    pub(super) shares: Shares,
    pub(super) limits: LimitControl,
    pub(super) owed_waits: OwedWaits,
    run_totals: RunTotals,
    doubtful_starts: Vec<DoubtfulStart>,
    /// What finished jobs may still use according to former holders.
    stops_on_record: BTreeMap<JobId, RunCharge>,
    pub(super) unlisted: UnlistedUse,
    /// When each team's quota was last reported to delay starts.
    reported_ms: BTreeMap<TeamNumber, u64>,
}

impl TeamQuotas {
    /// Forgets what a finished job may use, since nothing of it runs.
    pub(super) fn note_stopped_all(&mut self, id: JobId) {
        self.stops_on_record.remove(&id);
    }

    fn has_limits(&self) -> bool {
        let mut accounts = self.ledger.accounts();
        accounts.any(|(team, _)| team.quota != Resources::default())
    }
}

impl Scheduler {
    /// Applies the teams of a configuration.
    ///
    /// A team that it no longer has keeps its last quota: its accepted jobs
    /// are still to be run.
    pub fn configure_teams(&mut self, teams: &Teams) {
        for team in teams.iter() {
            self.quotas.ledger.configure(team);
        }
    }

    /// Returns each team with what counts against its quota, as of the last
    /// scheduling pass.
    pub fn team_usage(&self) -> impl Iterator<Item = (&Team, &Usage)> {
        self.quotas.ledger.accounts()
    }

    /// Notes what the runs of a finished job may use according to the former
    /// holder that recorded its end.
    pub fn note_stops_on_record(&mut self, id: JobId, team_use: &TeamUse) {
        let team = self.quotas.ledger.number_for(&team_use.team);
        let charge = RunCharge { team, resources: team_use.resources };
        self.quotas.stops_on_record.insert(id, charge);
    }

    /// Returns what the runs of a job use of its team's quota; `None` if it
    /// certainly has none, or has no team.
    pub(super) fn active_use(&self, id: JobId) -> Option<TeamUse> {
        let job = self.jobs.get(&id)?;
        let team = self.quotas.ledger.account(job.team?).0.clone();
        let unlisted = self.quotas.unlisted.of_finished(id);
        let mut resources =
            unlisted.map(|charge| charge.resources).unwrap_or_default();
        for (task, worker) in job.placements(id) {
            let worker = self.workers.get(worker);
            let run = worker.and_then(|worker| worker.runs.get(&task));
            let charge = run.and_then(|run| run.charge);
            resources.add(&charge.map(|c| c.resources).unwrap_or_default());
        }
        let is_used = resources != Resources::default();
        is_used.then_some(TeamUse { team, resources })
    }

    /// Returns what a run of a step uses of its team's quota.
    pub(super) fn charge_for(job: &Job, spec: &StepSpec) -> Option<RunCharge> {
        Some(RunCharge { team: job.team?, resources: quota_demand(spec) })
    }

    /// Returns what a run that a worker lists uses of a team's quota.
    pub(super) fn charge_of_listed(&self, task: &TaskId) -> Option<RunCharge> {
        if let Some(job) = self.jobs.get(&task.job) {
            return Scheduler::charge_for(job, job.step_spec(task)?);
        }
        self.quotas.unlisted.charge_of_finished(task)
    }

    /// Charges the runs of a job that were found before the job was loaded:
    /// those of a cancelled one.
    pub(super) fn charge_found_runs(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.team.is_none() || !self.cancelled.contains(id) {
            return;
        }
        for worker in self.workers.values_mut() {
            let runs = worker.runs.iter_mut();
            for (task, run) in runs.filter(|(task, _)| task.job == id) {
                let spec = job.step_spec(task);
                run.charge =
                    spec.and_then(|spec| Scheduler::charge_for(job, spec));
            }
        }
    }

    /// Returns whether a start with this charge stays within the quota and the
    /// ceiling.
    fn admit_start(&mut self, charge: Option<&RunCharge>) -> Admission {
        self.admit(charge, |ledger, team, demand| ledger.admit(team, demand))
    }

    /// Returns whether all members of a gang do so together.
    pub(super) fn admit_gang(
        &mut self,
        charge: Option<&RunCharge>,
        members: usize,
    ) -> Admission {
        let charge = charge.map(|charge| charge.times(members));
        self.admit(charge.as_ref(), |ledger, team, demand| {
            ledger.admit_gang(team, demand)
        })
    }

    fn admit(
        &mut self,
        charge: Option<&RunCharge>,
        within_quota: impl FnOnce(
            &QuotaLedger,
            TeamNumber,
            &Resources,
        ) -> Admission,
    ) -> Admission {
        let Some(RunCharge { team, resources }) = charge else {
            return Admission::Admitted;
        };
        if !self.quotas.ledger.is_limited(*team) {
            return Admission::Admitted;
        }
        if !self.knows_what_may_run() {
            return Admission::Exceeded;
        }
        let TeamQuotas { ledger, ceilings, .. } = &mut self.quotas;
        if within_quota(ledger, *team, resources) == Admission::Exceeded {
            return Admission::Exceeded;
        }
        let after = ledger.account(*team).1.total().plus(resources);
        if ceilings.allow(*team, &after) {
            return Admission::Admitted;
        }
        ceilings.put_off(*team, resources);
        Admission::AwaitsCeiling
    }

    /// Returns whether a task with this charge may start; reports it if the
    /// quota delays the start.
    pub(super) fn may_start_within_quota(
        &mut self,
        charge: Option<&RunCharge>,
        task: &TaskId,
        now: Now,
    ) -> bool {
        let admission = self.admit_start(charge);
        if admission == Admission::Exceeded {
            self.report_quota_reached(charge, task, now);
        }
        admission == Admission::Admitted
    }

    /// Returns whether a team's quota is known to delay a start.
    pub(super) fn exceeds_quota(&self, charge: Option<&RunCharge>) -> bool {
        charge.is_some_and(|RunCharge { team, resources }| {
            let ledger = &self.quotas.ledger;
            ledger.is_limited(*team)
                && ledger.admit(*team, resources) == Admission::Exceeded
        })
    }

    /// Returns whether every job and every worker is known, so that what may
    /// run has a bound.
    fn knows_what_may_run(&self) -> bool {
        !self.is_loading() && self.workers_known
    }

    /// Reports that a team's quota delays the start of a task, unless that was
    /// reported recently.
    pub(super) fn report_quota_reached(
        &mut self,
        charge: Option<&RunCharge>,
        task: &TaskId,
        now: Now,
    ) {
        let Some(RunCharge { team: number, .. }) = charge else { return };
        let reported_ms = self.quotas.reported_ms.get(number).copied();
        let is_due = reported_ms
            .is_none_or(|at_ms| now.steady_ms >= at_ms + REPORT_INTERVAL_MS);
        if !is_due {
            return;
        }
        self.quotas.reported_ms.insert(*number, now.steady_ms);
        let (team, usage) = self.quotas.ledger.account(*number);
        let decision = Decision::QuotaReached {
            team: team.name.clone(),
            task: *task,
            quota: team.quota,
            usage: *usage,
            is_counted: self.knows_what_may_run(),
        };
        self.note(decision);
    }

    /// Charges a start that has just been decided.
    pub(super) fn charge_start(&mut self, charge: Option<&RunCharge>) {
        if let Some(RunCharge { team, resources }) = charge {
            self.quotas.ledger.charge(*team, Charge::Running, resources);
        }
    }

    /// Charges everything that may run to the teams.
    pub(super) fn count_usage(&mut self, now: Now) {
        if !self.quotas.has_limits() || !self.knows_what_may_run() {
            return;
        }
        self.sum_up_unlisted_use(now);
        let TeamQuotas {
            ledger,
            ceilings,
            run_totals,
            doubtful_starts,
            stops_on_record,
            unlisted,
            ..
        } = &mut self.quotas;
        ledger.clear();
        ceilings.begin_pass();
        run_totals.update(&mut self.workers);
        let mut found: BTreeMap<TeamNumber, Resources> = BTreeMap::new();
        for (team, uses) in run_totals.iter() {
            ledger.charge(team, Charge::Running, &uses.running);
            ledger.charge(team, Charge::Stopping, &uses.stopping);
            found.insert(team, uses.found);
        }
        doubtful_starts.retain(|start| now.steady_ms < start.until_ms);
        let is_counted = |worker: &WorkerId, task: &TaskId, run: u64| {
            let worker = self.workers.get(worker);
            let known = worker.and_then(|worker| worker.runs.get(task));
            known.is_some_and(|known| known.run == run)
        };
        let doubtful = doubtful_starts
            .iter()
            .filter(|s| !is_counted(&s.worker, &s.task, s.run))
            .map(|start| &start.charge);
        let stops = stops_on_record.values();
        for RunCharge { team, resources } in doubtful.chain(stops) {
            ledger.charge(*team, Charge::InDoubt, resources);
        }
        for (team, possible) in unlisted.by_team() {
            let most = ceilings.inherited(team).map(|most| {
                most.minus(&found.get(&team).copied().unwrap_or_default())
            });
            let bounded = match most {
                Some(most) => possible.component_min(&most),
                None => *possible,
            };
            ledger.charge(team, Charge::InDoubt, &bounded);
        }
        for task in &self.tasks_in_doubt {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let (Some(state), Some(spec)) =
                (job.task(task), job.step_spec(task))
            else {
                continue;
            };
            let Some(RunCharge { team, resources }) =
                Scheduler::charge_for(job, spec)
            else {
                continue;
            };
            let uncounted = state
                .in_doubt
                .starts()
                .filter(|(worker, run)| !is_counted(worker, task, *run))
                .count();
            let resources = resources.times(uncounted as u64);
            ledger.charge(team, Charge::InDoubt, &resources);
        }
    }

    /// Notes that a start may still be carried out although its run is no
    /// longer tracked.
    pub(super) fn note_doubtful_start(
        &mut self,
        task: &TaskId,
        worker: &WorkerId,
        run: &Run,
    ) {
        let Some(charge) = run.charge else { return };
        let is_same = |known: &DoubtfulStart| {
            known.task == *task
                && known.run == run.run
                && known.worker == *worker
        };
        if self.quotas.doubtful_starts.iter().any(is_same) {
            return;
        }
        self.quotas.doubtful_starts.push(DoubtfulStart {
            task: *task,
            run: run.run,
            worker: worker.clone(),
            charge,
            until_ms: run.since_ms + MAX_DELIVERY_MS,
        });
    }
}

/// Returns what a task of a step counts against its team's quota. Unlike on a
/// worker, the processor time of a best-effort task counts.
pub(super) fn quota_demand(spec: &StepSpec) -> Resources {
    Resources {
        cpu_millis: spec.cpu_millis,
        memory_mb: spec.memory_mb,
        gpus: spec.gpus,
    }
}
