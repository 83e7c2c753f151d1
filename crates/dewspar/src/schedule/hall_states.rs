/*!
The states of data halls, as concluded from what their workers answer and from
the list of VMs, and what follows from them.

A hall that is cut off or lost is one event. From then on:

- Its workers count as silent, also those that haven't missed an answer yet.
  Nothing starts there, and no lease is extended.
- Their losses are counted against no task and no VM, and unanswered orders
  neither suspend them nor shrink the window; see
  [`hall_losses`](super::hall_losses).
- The list of VMs is read at once: a worker that it doesn't show has ended, and
  its tasks start elsewhere. The others' tasks wait until their leases are over,
  except those that may have copies.

Nothing of this has an effect where no hall may be lost.
*/

use {
    crate::{
        hall::{HallChange, HallPath, HallState, HallStatus},
        schedule::{
            Decision, ManagedVm, Now, OrderError, Refusal, Scheduler,
            VmStatus, WorkerId, unseen_starts::UnsyncedLoss, worker::Worker,
        },
        window::CallEnd,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The minimum number of VMs for the conclusion that a hall is lost.
const MIN_LOST: usize = 3;

/// The share of a hall's workers that must have ended at once for the
/// conclusion that it is lost, in percent.
const LOST_PERCENT: usize = 60;

/// The number of workers of a doubted hall that are asked at once, and of each
/// other hall. Of a hall with more workers, a quarter is asked.
const PROBES: usize = 64;
const PROBES_DIVISOR: usize = 4;
const MAX_OTHER_PROBES: usize = 3;

impl Scheduler {
    /// Returns the state of a data hall.
    pub fn hall_state(&self, hall: &str) -> HallState {
        self.halls.state(hall)
    }

    /// Returns all data halls with workers, with the state of each.
    pub fn hall_statuses(&self, now: Now) -> Vec<HallStatus> {
        self.halls.statuses(now.steady_ms)
    }

    /// Notes how the answers of a hall's workers arrive. A report of relayed
    /// answers is valid for 3 s, and has to be repeated while they are
    /// relayed.
    pub fn note_hall_path(&mut self, hall: &str, path: HallPath, now: Now) {
        self.halls.note_path(hall, path, now.steady_ms);
    }

    /// Returns whether a hall's first workers answer again.
    pub(super) fn is_hall_returning(&self, hall: &str) -> bool {
        self.halls.is_enabled()
            && self.halls.state(hall) == HallState::Returning
    }

    /// Returns whether a worker's hall is cut off or lost.
    pub(super) fn is_worker_in_down_hall(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.in_unreachable_hall)
    }

    /// Notes what the outcome of a call says about its worker's hall. Returns
    /// what it says about this node's load: a missing answer from a hall that
    /// can't be reached says nothing.
    pub(super) fn note_hall_contact(
        &mut self,
        id: &WorkerId,
        error: Option<OrderError>,
        end: CallEnd,
        now: Now,
    ) -> CallEnd {
        if !self.halls.is_enabled() {
            return end;
        }
        let Some(worker) = self.workers.get(id) else { return end };
        let hall = &worker.listing.hall;
        let is_answered = match error {
            None => true,
            // Another worker answers at the address.
            Some(OrderError::Refused(Refusal::OtherLife)) => return end,
            Some(OrderError::Refused(_)) => true,
            Some(OrderError::NotSent | OrderError::Unknown) => false,
        };
        if is_answered {
            self.halls.answered(hall, id, now.steady_ms);
            return end;
        }
        self.halls.missed(hall, id, now.steady_ms);
        if worker.in_unreachable_hall { CallEnd::Discarded } else { end }
    }

    /// Applies the changes of halls' states that are due.
    pub(super) fn update_halls(&mut self, now: Now) {
        for change in self.halls.evaluate(now.steady_ms) {
            self.apply_hall_change(change, now);
        }
        for hall in self.halls.take_doubted() {
            self.probe_workers(&hall);
        }
    }

    /// Asks workers of a hall that is doubted, and some of each other hall.
    fn probe_workers(&mut self, doubted: &str) {
        let workers = self.workers.numbers_in_hall(doubted).len();
        let max_probes = PROBES.max(workers / PROBES_DIVISOR);
        let mut probes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut probed: Vec<WorkerId> = Vec::new();
        for worker in self.workers.values() {
            let hall = worker.listing.hall.as_str();
            let most = match hall == doubted {
                true => max_probes,
                false => MAX_OTHER_PROBES,
            };
            let count = probes.entry(hall).or_insert(0);
            if *count < most && worker.silent_since_ms.is_none() {
                *count += 1;
                probed.push(worker.id().clone());
            }
        }
        for id in probed {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.probe();
            }
        }
    }

    fn apply_hall_change(&mut self, change: HallChange, now: Now) {
        let HallChange { hall, from, to, .. } = &change;
        let mut uncounted = 0;
        match (from.takes_tasks(), to.takes_tasks()) {
            (true, false) => {
                self.workers.hall_became_unreachable(hall, now.steady_ms);
                uncounted = self.take_back_losses(hall, now);
                self.request_copies(hall, now);
                self.needs_vm_list = true;
            }
            (false, true) => {
                self.workers.hall_became_reachable(hall, now.steady_ms);
                self.withdraw_copies();
            }
            (true, true) | (false, false) => {}
        }
        let numbers = self.workers.numbers_in_hall(hall);
        let here = numbers.iter().filter_map(|n| self.workers.at(*n));
        let runs = here.map(|worker| worker.runs.len()).sum();
        let workers = numbers.len();
        let changed =
            Decision::HallChanged { change, workers, runs, uncounted };
        self.note(changed);
    }

    /// Concludes which halls are lost from the list of VMs and the workers that
    /// a list which was requested at this time, in milliseconds, no longer
    /// shows. They are removed afterwards, so that their losses belong to the
    /// hall.
    pub(super) fn note_ends_in_halls(
        &mut self,
        ended: &[WorkerId],
        asked_ms: u64,
        now: Now,
    ) {
        if !self.halls.is_enabled() {
            return;
        }
        for hall in self.lost_halls(ended, asked_ms, now) {
            self.halls.vms_down(&hall, asked_ms, now.steady_ms);
        }
        self.update_halls(now);
    }

    /// Returns the halls of which no VM is up although some should be, and
    /// those of which most workers have ended at once.
    fn lost_halls(
        &self,
        ended: &[WorkerId],
        asked_ms: u64,
        now: Now,
    ) -> BTreeSet<String> {
        let mut lost = BTreeSet::new();
        let mut down: BTreeMap<&str, usize> = BTreeMap::new();
        let mut up: BTreeSet<&str> = BTreeSet::new();
        for vm in self.vms.values() {
            if self.is_unexpectedly_down(vm) {
                *down.entry(&vm.hall).or_insert(0) += 1;
            } else if vm.status != VmStatus::Down {
                up.insert(&vm.hall);
            }
        }
        for (hall, vms) in down {
            if vms >= MIN_LOST && !up.contains(hall) && !up.is_empty() {
                lost.insert(hall.to_owned());
            }
        }
        let mut gone: BTreeMap<&str, usize> = BTreeMap::new();
        let mut known: BTreeMap<&str, usize> = BTreeMap::new();
        let ended: BTreeSet<&WorkerId> = ended.iter().collect();
        let earlier = self.workers.values();
        let earlier = earlier.filter(|w| w.first_listed_ms < asked_ms);
        for worker in earlier {
            let hall = worker.listing.hall.as_str();
            *known.entry(hall).or_insert(0) += 1;
            if ended.contains(worker.id()) && !self.is_end_planned(worker, now)
            {
                *gone.entry(hall).or_insert(0) += 1;
            }
        }
        for (hall, workers) in gone {
            let all = known.get(hall).copied().unwrap_or(0);
            if workers >= MIN_LOST && workers * 100 >= all * LOST_PERCENT {
                lost.insert(hall.to_owned());
            }
        }
        lost
    }

    /// Returns whether a VM is down that belongs to a serving pool. Those of
    /// spare pools are switched off.
    fn is_unexpectedly_down(&self, vm: &ManagedVm) -> bool {
        vm.status == VmStatus::Down
            && !vm.hall.is_empty()
            && self.serving_pools.contains(&vm.pool)
    }

    fn is_end_planned(&self, worker: &Worker, now: Now) -> bool {
        worker.listing.draining
            || worker.drain_reason.is_some()
            || self.ordered_vms.contains_key(&worker.listing.vm)
            || self.was_taken_down(&UnsyncedLoss::of(worker), now)
    }
}
