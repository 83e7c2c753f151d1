/*!
Shares: how many jobs a second a team is owed.

A team's weight is the number of jobs a second that it may submit and have
served like everybody's. When there is room, the jobs beyond that run as well;
when there isn't, they go after those that are owed, so that a team that
submits many times as much as usual takes nothing from the others. They keep
their order among themselves and start as soon as there is room.
*/

use {crate::quota::TeamNumber, std::collections::BTreeMap};

/// The span over which a team's jobs are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// The number of spans that are kept: jobs of earlier ones are loaded after a
/// takeover, in any order.
const MAX_SPANS: usize = 64;

/// The number of jobs that each team has submitted, by span.
#[derive(Debug, Default)]
pub(super) struct Shares {
    submitted: BTreeMap<u64, BTreeMap<TeamNumber, u64>>,
}

impl Shares {
    /// Counts a job that was accepted at this time of the wall clock, in
    /// milliseconds. Returns whether the team had submitted its share in that
    /// span already; a weight of 0 is no limit.
    pub(super) fn count(
        &mut self,
        team: TeamNumber,
        weight: u64,
        accepted_at_ms: u64,
    ) -> bool {
        let span = self.submitted.entry(accepted_at_ms / SPAN_MS).or_default();
        let jobs = span.entry(team).or_default();
        *jobs += 1;
        let is_over = weight > 0 && *jobs > weight;
        while self.submitted.len() > MAX_SPANS {
            self.submitted.pop_first();
        }
        is_over
    }
}
