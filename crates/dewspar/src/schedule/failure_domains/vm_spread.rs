/*!
The spread of each pool's VMs over data halls.

A VM is added from the hall of which the pool has fewest, and released from the
hall of which it has most. The VMs are counted once per sizing pass; each
decision in the pass then looks only at the halls, and updates the counts.
*/

use {
    crate::schedule::{
        Now, Scheduler, VmStatus, WorkerId,
        worker::{DrainReason, Worker},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
    },
};

/// The VMs of the pools by data hall, as of the last sizing pass.
#[derive(Debug, Default)]
pub(super) struct VmSpread {
    /// The number of usable VMs, by pool and hall.
    counts: HashMap<String, HashMap<String, u64>>,
    /// The VMs that are switched off and may move, by hall; the next one last.
    switched_off: BTreeMap<String, Vec<String>>,
}

impl VmSpread {
    pub(super) fn count(&self, pool: &str, hall: &str) -> u64 {
        let pool = self.counts.get(pool);
        pool.and_then(|halls| halls.get(hall)).copied().unwrap_or(0)
    }

    /// Returns the number of usable VMs of all pools, by hall.
    pub(super) fn by_hall(&self) -> BTreeMap<&str, u64> {
        let mut by_hall: BTreeMap<&str, u64> = BTreeMap::new();
        for (hall, count) in self.counts.values().flatten() {
            *by_hall.entry(hall).or_default() += count;
        }
        by_hall
    }

    fn add(&mut self, pool: &str, hall: &str) {
        if let Some(count) =
            self.counts.get_mut(pool).and_then(|halls| halls.get_mut(hall))
        {
            *count += 1;
            return;
        }
        let halls = self.counts.entry(pool.to_owned()).or_default();
        *halls.entry(hall.to_owned()).or_default() += 1;
    }

    fn remove(&mut self, pool: &str, hall: &str) {
        let halls = self.counts.get_mut(pool);
        if let Some(count) = halls.and_then(|halls| halls.get_mut(hall)) {
            *count = count.saturating_sub(1);
        }
    }

    fn moved(&mut self, vm: &str, hall: &str, from: &str, to: &str) {
        self.remove(from, hall);
        self.add(to, hall);
        if let Some(vms) = self.switched_off.get_mut(hall)
            && let Some(index) = vms.iter().rposition(|other| other == vm)
        {
            vms.remove(index);
        }
    }
}

impl Scheduler {
    /// Counts the usable VMs of each pool by hall, once per sizing pass.
    pub(in crate::schedule) fn count_vms_by_hall(&mut self, now: Now) {
        if !self.tolerates_hall_loss() {
            return;
        }
        let mut spread = VmSpread::default();
        for vm in self.vms.values() {
            if vm.status != VmStatus::Up
                && !self.pending_moves.contains_key(&vm.vm)
                || self.is_hall_down(&vm.hall)
                || self.workers.evacuation().includes(&vm.hall)
            {
                continue;
            }
            if let Some(moving) = self.pending_moves.get(&vm.vm) {
                spread.add(&moving.to, &vm.hall);
                continue;
            }
            let worker = vm.worker.as_ref();
            let worker = worker.and_then(|id| self.workers.get(id));
            if let Some(DrainReason::Move(to)) =
                worker.and_then(|worker| worker.drain_reason.as_ref())
            {
                spread.add(to, &vm.hall);
                continue;
            }
            if !self.free_pools.contains(&vm.pool) {
                if worker.is_some_and(Worker::is_usable) {
                    spread.add(&vm.pool, &vm.hall);
                }
                continue;
            }
            spread.add(&vm.pool, &vm.hall);
            if self.may_order_vm(&vm.vm, now)
                && !self.awaits_maintenance(&vm.vm)
            {
                let vms = spread.switched_off.entry(vm.hall.clone());
                vms.or_default().push(vm.vm.clone());
            }
        }
        for vms in spread.switched_off.values_mut() {
            vms.reverse();
        }
        let stats = &mut self.failure_domains.stats;
        stats.counts += 1;
        stats.vms_examined += self.vms.len() as u64;
        self.failure_domains.vms = spread;
    }

    /// Returns a VM that is switched off and may move to the pool, from the
    /// hall of which the pool has fewest; among these, from the one with most
    /// such VMs.
    pub(in crate::schedule) fn spread_switched_off_vm(
        &self,
        pool: &str,
    ) -> Option<String> {
        let spread = &self.failure_domains.vms;
        let mut halls: Vec<_> = spread
            .switched_off
            .iter()
            .map(|(hall, vms)| {
                (spread.count(pool, hall), Reverse(vms.len()), hall, vms)
            })
            .collect();
        halls.sort_unstable();
        halls.iter().find_map(|(_, _, _, vms)| {
            let mut vms = vms.iter().rev();
            vms.find(|vm| !self.is_move_refused(vm, pool)).cloned()
        })
    }

    /// Updates the counts for a VM that is to move.
    pub(in crate::schedule) fn note_vm_moves(&mut self, vm: &str, to: &str) {
        if !self.tolerates_hall_loss() {
            return;
        }
        let Some(known) = self.vms.get(vm) else { return };
        let domains = &mut self.failure_domains;
        domains.vms.moved(vm, &known.hall, &known.pool, to);
        domains.stats.moves += 1;
    }

    /// Returns how well a worker suits as the next one to leave its pool for
    /// another, as far as halls are concerned; lower is better. 0 where no
    /// loss of a hall is planned for.
    pub(in crate::schedule) fn leaving_rank(
        &self,
        worker: &Worker,
        to: &str,
    ) -> (u64, Reverse<u64>) {
        if !self.tolerates_hall_loss() {
            return (0, Reverse(0));
        }
        let spread = &self.failure_domains.vms;
        let hall = &worker.listing.hall;
        let has = spread.count(&worker.listing.pool, hall);
        (spread.count(to, hall), Reverse(has))
    }

    /// Switches off up to `most` idle VMs of a pool, first those of halls that
    /// are being emptied, and then each from the hall of which the pool has
    /// most; among these, from the one with fewest VMs that are switched off.
    pub(in crate::schedule) fn shrink_spread_pool(
        &mut self,
        pool: &str,
        (reserve, most): (u64, u64),
        now: Now,
    ) {
        let Some(off) = self.free_pools.first().cloned() else { return };
        let mut idle: BTreeMap<String, Vec<WorkerId>> = BTreeMap::new();
        for (_, worker) in self.workers.in_pool(pool) {
            if self.may_switch_off(worker, reserve, now)
                && !self.is_move_refused(&worker.listing.vm, &off)
            {
                let hall = idle.entry(worker.listing.hall.clone());
                hall.or_default().push(worker.id().clone());
            }
        }
        for vms in idle.values_mut() {
            vms.reverse();
        }
        for _ in 0..most {
            let spread = &self.failure_domains.vms;
            let next = idle
                .iter_mut()
                .filter(|(_, workers)| !workers.is_empty())
                .max_by_key(|(hall, _)| {
                    let has = spread.count(pool, hall);
                    let off = spread.count(&off, hall);
                    // A hall that is being emptied has no usable VMs.
                    let is_emptied = self.workers.evacuation().includes(hall);
                    (is_emptied, has, Reverse(off))
                });
            let Some(id) = next.and_then(|(_, workers)| workers.pop()) else {
                return;
            };
            // The VMs that left before change what the pool can spare.
            let still = self
                .workers
                .get(&id)
                .is_some_and(|w| self.may_switch_off(w, reserve, now));
            if still {
                self.drain_to_move(&id, &off, now);
            }
        }
    }
}
