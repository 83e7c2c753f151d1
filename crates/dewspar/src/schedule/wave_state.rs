/*!
The state of one wave: which VMs are done, down, ordered, or gone.
*/

use {
    crate::schedule::{
        ManagedVm, Now, VmOrderError, VmStatus, WaveRecord, WaveRequest,
        wave_progress::WaveReports,
    },
    std::collections::{BTreeMap, BTreeSet, HashSet},
};

/// The part of a wave's time that is reserved for delays, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 4_000;

/// How long an order to the VM service waits before it is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 1_000;

/// How long a VM must be missing from the list of VMs to count as gone for
/// good, in milliseconds: several reads of the list.
const GONE_AFTER_MS: u64 = 3_000;

/// The state of a wave.
#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) request: WaveRequest,
    /// Its record in the store.
    pub(super) record: WaveRecord,
    /// All of its VMs.
    pub(super) members: HashSet<String>,
    /// Its deadline, on the steady clock.
    pub(super) end_ms: u64,
    /// The time at which VMs were last selected.
    pub(super) selected_ms: u64,
    /// The VMs that are down for it, each with the time since when.
    pub(super) down: BTreeMap<String, u64>,
    /// The VMs with an order that isn't known to be carried out.
    pub(super) ordered: BTreeMap<String, MaintenanceOrder>,
    /// The VMs that a list has shown as up when orders of former holders could
    /// no longer take effect, and for which no order was sent since.
    pub(super) shown_up: BTreeSet<String>,
    /// The VMs that aren't in the list of VMs, each with the time since when.
    pub(super) missing: BTreeMap<String, u64>,
    /// Whether this holder has reported it to the operator as running.
    pub(super) reported: bool,
    /// The state of the reports on it.
    pub(super) reports: WaveReports,
    pub(super) completed: bool,
}

/// An order to take a VM down.
#[derive(Clone, Copy, Debug)]
pub(super) struct MaintenanceOrder {
    /// The time at which it was last sent.
    pub(super) sent_ms: u64,
    /// Whether the last attempt has no answer yet.
    pub(super) under_way: bool,
    /// Whether an earlier attempt got no answer, and may still be carried out.
    pub(super) maybe_done: bool,
}

impl MaintenanceOrder {
    /// Returns whether the VM may be down, or go down, by this order.
    pub(super) fn may_take_effect(&self) -> bool {
        self.under_way || self.maybe_done
    }
}

impl WaveState {
    pub(super) fn remaining(&self) -> impl Iterator<Item = &String> {
        self.request.vms.iter().filter(|vm| !self.record.done.contains(*vm))
    }

    /// Returns whether a VM is still to go down for it.
    pub(super) fn awaits(&self, vm: &str) -> bool {
        self.members.contains(vm) && !self.record.done.contains(vm)
    }

    /// Returns the time left for selecting VMs, in milliseconds.
    pub(super) fn remaining_ms(&self, now: Now) -> u64 {
        self.end_ms.saturating_sub(now.steady_ms + DEADLINE_MARGIN_MS).max(1)
    }

    /// Returns how many more VMs may go down.
    pub(super) fn allowance(
        &self,
        may_be_down: impl Fn(&str) -> bool,
    ) -> usize {
        let others = self.request.vms.iter().filter(|name| {
            !self.down.contains_key(*name)
                && !self.is_ordered(name)
                && may_be_down(name)
        });
        let ordered = self.ordered.values().filter(|o| o.may_take_effect());
        let down = self.down.len() + ordered.count() + others.count();
        self.request.max_down.saturating_sub(down)
    }

    /// Returns whether a VM may be down, or go down, by an order of this
    /// holder, and so counts as down already.
    pub(super) fn is_ordered(&self, vm: &str) -> bool {
        self.ordered.get(vm).is_some_and(MaintenanceOrder::may_take_effect)
    }

    /// Records that an order is sent.
    pub(super) fn order(&mut self, vm: &str, now: Now) {
        let before = self.ordered.get(vm);
        let maybe_done = before.is_some_and(MaintenanceOrder::may_take_effect);
        let sent_ms = now.steady_ms;
        let ordered =
            MaintenanceOrder { sent_ms, under_way: true, maybe_done };
        self.ordered.insert(vm.to_owned(), ordered);
        self.shown_up.remove(vm);
    }

    /// Records that an order wasn't carried out, or that its outcome is
    /// unknown.
    pub(super) fn order_failed(&mut self, vm: &str, error: VmOrderError) {
        if let Some(ordered) = self.ordered.get_mut(vm) {
            ordered.under_way = false;
            ordered.maybe_done |= error == VmOrderError::Unknown;
        }
    }

    /// Returns whether the last order for the VM was sent too recently for
    /// another.
    pub(super) fn in_retry_delay(&self, vm: &str, now: Now) -> bool {
        self.ordered
            .get(vm)
            .is_some_and(|last| now.steady_ms < last.sent_ms + ORDER_RETRY_MS)
    }

    /// Updates which VMs are back or gone, from a list of VMs. One that a
    /// partial list doesn't show may be there. `is_settled` tells which VMs no
    /// former holder can have taken down after the list was requested.
    pub(super) fn update(
        &mut self,
        asked_ms: u64,
        vms: &BTreeMap<String, ManagedVm>,
        is_partial: bool,
        is_settled: impl Fn(&str) -> bool,
    ) {
        self.down.retain(|name, since_ms| {
            let Some(vm) = vms.get(name) else { return is_partial };
            // A VM that moves has been back, even if no list showed it as up.
            let back = matches!(vm.status, VmStatus::Up | VmStatus::Moving);
            // An older list may still show its state before the order.
            !(back && asked_ms > *since_ms)
        });
        self.note_shown(vms, is_settled);
        if is_partial {
            // Its absence must be seen for the whole time.
            self.missing.clear();
        } else {
            self.mark_missing(asked_ms, vms);
        }
    }

    fn note_shown(
        &mut self,
        vms: &BTreeMap<String, ManagedVm>,
        is_settled: impl Fn(&str) -> bool,
    ) {
        for name in &self.request.vms {
            match vms.get(name).map(|vm| vm.status) {
                Some(VmStatus::Maintenance) => {
                    self.shown_up.remove(name);
                }
                Some(VmStatus::Up)
                    if is_settled(name)
                        && !self.down.contains_key(name)
                        && !self.is_ordered(name) =>
                {
                    self.shown_up.insert(name.clone());
                }
                _ => {}
            }
        }
    }

    /// Marks VMs as done that have been missing from the list for a while:
    /// there is nothing left to maintain.
    fn mark_missing(
        &mut self,
        asked_ms: u64,
        vms: &BTreeMap<String, ManagedVm>,
    ) {
        self.missing.retain(|vm, _| !vms.contains_key(vm));
        let missing: Vec<String> = self
            .remaining()
            .filter(|vm| !vms.contains_key(*vm))
            .cloned()
            .collect();
        for vm in missing {
            let since_ms = *self.missing.entry(vm.clone()).or_insert(asked_ms);
            if asked_ms >= since_ms + GONE_AFTER_MS {
                self.ordered.remove(&vm);
                self.record.done.insert(vm);
            }
        }
    }
}
