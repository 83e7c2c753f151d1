/*!
Data halls and racks as failure domains.

A whole data hall may be lost at once. Where the loss of halls must be
tolerated ([`Options::tolerated_halls`]), the scheduler plans for it beforehand,
and replaces what is lost in one pass.

- The long-running tasks of a step are *spread*: no hall holds more than an
  even share of them, as long as a worker elsewhere has room now (see
  `task_spread`). Tasks that end by themselves are not spread, since their job
  needs all of them.
- The VMs of each pool, and those that are switched off, are spread over the
  halls whenever one is switched on, moved or switched off (see `vm_spread`).
- The capacity held against a loss is one *reserve* for all pools, not one per
  pool (see `reserve`).
- A hall that takes no tasks is *down*. Its workers count neither as capacity
  nor as places for tasks, and all VMs that replace them are ordered in one
  pass, before individual workers are given up.

All of this is derived from the lists of workers and VMs, so nothing is stored:
a new holder derives it again. The only question asked about a hall is
[`Scheduler::hall_state`].

[`Options::tolerated_halls`]: super::Options::tolerated_halls
*/

use {
    self::{reserve::Reserve, vm_spread::VmSpread},
    crate::{
        hall::HallState,
        schedule::{Decision, Scheduler},
    },
    std::collections::{BTreeMap, BTreeSet},
};

mod loss;
mod reserve;
mod task_spread;
mod vm_spread;

pub use self::loss::HallLoss;
pub(super) use self::task_spread::{SpreadRank, StepSpread};

/// What the scheduler knows about its failure domains.
#[derive(Debug, Default)]
pub(super) struct FailureDomains {
    /// All data halls with workers or VMs.
    halls: BTreeSet<String>,
    /// The states set in place of those that evidence gives.
    assumed_states: BTreeMap<String, HallState>,
    /// The halls that are down and for which no plan was made yet.
    unplanned: BTreeSet<String>,
    vms: VmSpread,
    reserve: Reserve,
    stats: HallPlanStats,
}

/// How much work planning for the loss of halls has taken.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HallPlanStats {
    /// The number of times that the VMs were counted by pool and hall.
    pub counts: u64,
    /// The number of VMs examined for that.
    pub vms_examined: u64,
    /// The number of VMs ordered to move, or drained for a move.
    pub moves: u64,
}

impl Scheduler {
    /// Returns whether the loss of a data hall is planned for.
    pub(super) fn tolerates_hall_loss(&self) -> bool {
        self.options.tolerated_halls > 0
    }

    /// Sets the state of a data hall in place of the one that evidence gives;
    /// `None` to use the evidence again. For tests.
    pub fn assume_hall_state(&mut self, hall: &str, state: Option<HallState>) {
        let assumed = &mut self.failure_domains.assumed_states;
        match state {
            Some(state) => assumed.insert(hall.to_owned(), state),
            None => assumed.remove(hall),
        };
    }

    /// Returns how much work planning for the loss of halls has taken.
    pub fn hall_plan_stats(&self) -> HallPlanStats {
        self.failure_domains.stats
    }

    fn current_hall_state(&self, hall: &str) -> HallState {
        let assumed = self.failure_domains.assumed_states.get(hall);
        assumed.copied().unwrap_or_else(|| self.hall_state(hall))
    }

    /// Adds the names of data halls in the lists of workers and VMs.
    pub(super) fn note_halls(&mut self) {
        if !self.tolerates_hall_loss() {
            return;
        }
        // None is removed: a lost hall may be missing in both lists.
        let known = &mut self.failure_domains.halls;
        let of_workers = self.workers.values().map(|w| &w.listing.hall);
        let of_vms = self.vms.values().map(|vm| &vm.hall);
        for hall in of_workers.chain(of_vms) {
            if !hall.is_empty() && !known.contains(hall) {
                known.insert(hall.clone());
            }
        }
    }

    /// Updates which data halls are down.
    pub(super) fn update_down_halls(&mut self) {
        if !self.tolerates_hall_loss() {
            return;
        }
        let halls = self.failure_domains.halls.iter();
        let down: BTreeSet<String> = halls
            .filter(|hall| !self.current_hall_state(hall).takes_tasks())
            .cloned()
            .collect();
        let before = self.workers.down_halls();
        if down == *before {
            return;
        }
        let lost: Vec<String> = down.difference(before).cloned().collect();
        let unplanned = &mut self.failure_domains.unplanned;
        unplanned.retain(|hall| down.contains(hall));
        unplanned.extend(lost);
        self.workers.set_down_halls(down);
    }

    /// Returns whether a data hall is down.
    pub(super) fn is_hall_down(&self, hall: &str) -> bool {
        self.workers.down_halls().contains(hall)
    }

    /// Returns whether any data hall is down.
    pub(super) fn any_hall_down(&self) -> bool {
        !self.workers.down_halls().is_empty()
    }

    /// Returns whether a hall is down for which no plan was made yet.
    pub(super) fn has_unplanned_loss(&self) -> bool {
        !self.failure_domains.unplanned.is_empty()
    }

    /// Removes the pending moves of VMs that went down with their hall: they
    /// won't arrive, so their pools need others.
    pub(super) fn drop_moves_of_down_halls(&mut self) {
        if !self.any_hall_down() {
            return;
        }
        let (vms, workers) = (&self.vms, &self.workers);
        self.pending_moves.retain(|vm, _| {
            let hall = vms.get(vm).map_or("", |vm| vm.hall.as_str());
            !workers.down_halls().contains(hall)
        });
    }

    /// Reports the plans made in this pass for halls that went down. `moves`
    /// is the number of VMs moved by the pass.
    pub(super) fn report_hall_losses(&mut self, moves: u64) {
        for hall in std::mem::take(&mut self.failure_domains.unplanned) {
            let vms = self.vms.values().filter(|vm| vm.hall == hall).count();
            let state = self.current_hall_state(&hall).name();
            self.note(Decision::HallLossPlanned { hall, state, vms, moves });
        }
    }
}
