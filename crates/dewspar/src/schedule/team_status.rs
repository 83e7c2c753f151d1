/*!
What operators see of each team.
*/

use {
    crate::{
        job::Phase,
        quota::TeamNumber,
        schedule::{Resources, Scheduler, team_limits::INTERVALS_PER_S},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

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

impl Scheduler {
    /// Returns what each team submits, what it uses and what waits of it.
    pub fn team_statuses(&self) -> Vec<TeamStatus> {
        let mut waiting: BTreeMap<TeamNumber, (u64, u64)> = BTreeMap::new();
        for job in self.jobs.values() {
            if let Some(team) = job.team
                && job.phase == Phase::Queued
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
