/*!
What all runs use of each team's quota, kept up to date between passes.

There are thousands of runs and hundreds of scheduling passes a second, while
few workers change between two passes. So each worker's part is cached, and only
the workers that may have changed are summed up again; [`Workers`] tracks them.
*/

use {
    crate::{
        quota::TeamNumber,
        schedule::{
            Resources,
            quotas::RunCharge,
            worker::Worker,
            workers::{WorkerNumber, Workers},
        },
    },
    std::collections::BTreeMap,
};

/// What runs use of one team's quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct TeamRuns {
    /// By runs that aren't told to stop.
    pub(super) running: Resources,
    /// By runs that are told to stop.
    pub(super) stopping: Resources,
    /// By those of both that were found, ordered by a former holder.
    pub(super) found: Resources,
}

impl TeamRuns {
    fn add(&mut self, other: &TeamRuns) {
        self.running.add(&other.running);
        self.stopping.add(&other.stopping);
        self.found.add(&other.found);
    }

    fn subtract(&mut self, other: &TeamRuns) {
        self.running.subtract(&other.running);
        self.stopping.subtract(&other.stopping);
        self.found.subtract(&other.found);
    }
}

/// What the runs of one worker use.
type WorkerRuns = BTreeMap<TeamNumber, TeamRuns>;

/// What all runs use.
#[derive(Debug, Default)]
pub(super) struct RunTotals {
    by_worker: BTreeMap<WorkerNumber, WorkerRuns>,
    totals: BTreeMap<TeamNumber, TeamRuns>,
}

impl RunTotals {
    /// Sums up again what the workers run that may have changed.
    pub(super) fn update(&mut self, workers: &mut Workers) {
        for number in workers.take_uncounted() {
            let runs = workers.at(number).map(runs_of).unwrap_or_default();
            for (team, uses) in &runs {
                self.totals.entry(*team).or_default().add(uses);
            }
            let former = if runs.is_empty() {
                self.by_worker.remove(&number)
            } else {
                self.by_worker.insert(number, runs)
            };
            for (team, uses) in former.unwrap_or_default() {
                self.totals.entry(team).or_default().subtract(&uses);
            }
        }
        debug_assert!(
            self.match_full_sum(workers),
            "the totals of runs differ from their sum"
        );
    }

    /// Returns what the runs of each team use.
    pub(super) fn iter(
        &self,
    ) -> impl Iterator<Item = (TeamNumber, &TeamRuns)> {
        self.totals.iter().map(|(team, uses)| (*team, uses))
    }

    /// Returns whether the totals equal the sum over all runs. Only for builds
    /// with debug assertions, since it costs as much as the cache saves.
    fn match_full_sum(&self, workers: &Workers) -> bool {
        let mut sum: BTreeMap<TeamNumber, TeamRuns> = BTreeMap::new();
        for (team, uses) in workers.values().flat_map(runs_of) {
            sum.entry(team).or_default().add(&uses);
        }
        let known = self.totals.iter();
        let known = known.filter(|(_, uses)| **uses != TeamRuns::default());
        known.map(|(team, uses)| (*team, *uses)).eq(sum)
    }
}

fn runs_of(worker: &Worker) -> WorkerRuns {
    let mut runs = WorkerRuns::new();
    for run in worker.runs.values() {
        let Some(RunCharge { team, resources }) = run.charge else { continue };
        let uses = runs.entry(team).or_default();
        match run.is_stopping() {
            true => uses.stopping.add(&resources),
            false => uses.running.add(&resources),
        }
        if run.is_found() {
            uses.found.add(&resources);
        }
    }
    runs
}
