/*!
How far one wave has come: which VMs are done, down, ordered, or gone.
*/

use {
    crate::schedule::{ManagedVm, Now, VmLife, WaveRecord, WaveRequest},
    std::collections::BTreeMap,
};

/// What is kept of a wave's time for what doesn't go as planned, in
/// milliseconds.
const RESERVE_MS: u64 = 4_000;

/// How long an order to the VM service waits before it is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 1_000;

/// How long a VM must be missing from the list of VMs to count as gone for
/// good, in milliseconds: several readings of the list.
const MISSING_MS: u64 = 3_000;

/// How far a wave has come.
#[derive(Debug)]
pub(super) struct WaveState {
    pub(super) request: WaveRequest,
    /// What is kept of it in the store.
    pub(super) record: WaveRecord,
    /// When it ends, on the steady clock.
    pub(super) end_ms: u64,
    /// The VMs that are down for it, each with since when.
    pub(super) down: BTreeMap<String, u64>,
    /// The VMs with an order that isn't known to be done, each with when it
    /// was sent last.
    pub(super) ordered: BTreeMap<String, u64>,
    /// The VMs that aren't in the list of VMs, each with since when.
    pub(super) missing: BTreeMap<String, u64>,
    /// Whether this holder has told the operator that it runs.
    pub(super) reported: bool,
    pub(super) completed: bool,
}

impl WaveState {
    pub(super) fn remaining(&self) -> impl Iterator<Item = &String> {
        self.request.vms.iter().filter(|vm| !self.record.done.contains(*vm))
    }

    /// Returns the time left for choosing VMs.
    pub(super) fn left_ms(&self, now: Now) -> u64 {
        self.end_ms.saturating_sub(now.steady_ms + RESERVE_MS).max(1)
    }

    /// Returns how many more VMs may go down.
    pub(super) fn room(&self, may_be_down: impl Fn(&str) -> bool) -> usize {
        let others = self.request.vms.iter().filter(|name| {
            !self.down.contains_key(*name)
                && !self.ordered.contains_key(*name)
                && may_be_down(name)
        });
        let down = self.down.len() + self.ordered.len() + others.count();
        self.request.max_down.saturating_sub(down)
    }

    /// Returns whether an order for the VM is under way.
    pub(super) fn is_waiting(&self, vm: &str, now: Now) -> bool {
        self.ordered
            .get(vm)
            .is_some_and(|sent_ms| now.steady_ms < sent_ms + ORDER_RETRY_MS)
    }

    /// Notes which VMs are back.
    pub(super) fn settle(
        &mut self,
        asked_ms: u64,
        vms: &BTreeMap<String, ManagedVm>,
    ) {
        self.down.retain(|name, since_ms| {
            let Some(vm) = vms.get(name) else { return false };
            // An older list may still show it as it was before.
            !(vm.life == VmLife::Up && asked_ms > *since_ms)
        });
        self.note_missing(asked_ms, vms);
    }

    /// Takes VMs that have been missing from the list for a while as gone:
    /// there is nothing left to maintain.
    fn note_missing(
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
            if asked_ms >= since_ms + MISSING_MS {
                self.ordered.remove(&vm);
                self.record.done.insert(vm);
            }
        }
    }
}
