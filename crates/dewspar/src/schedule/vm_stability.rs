/*!
VM stability: whether the workers on a VM have crashed recently.

A task that may crash its workers is best tested on a VM that doesn't crash by
itself. Otherwise a sound task that was lost twice is lost a third time on the
one VM with free capacity, which has it because it is flapping.
*/

use crate::schedule::{Now, Scheduler};

/// For how long a crash counts against a VM, in milliseconds: several times
/// the period of a flapping VM.
const CRASH_MEMORY_MS: u64 = 30_000;

/// When the workers on a VM crashed last, and the time before that.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VmCrashes {
    last_ms: u64,
    previous_ms: u64,
}

/// The recent stability of a VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum VmStability {
    /// Its workers have crashed at least twice.
    Flapping,
    /// Its worker has crashed, or may have.
    Unproven,
    /// No worker has crashed.
    Stable,
}

impl VmCrashes {
    fn note(&mut self, now_ms: u64) {
        self.previous_ms = self.last_ms;
        self.last_ms = now_ms;
    }

    fn stability(&self, now_ms: u64) -> VmStability {
        let counts =
            |at_ms: u64| at_ms > 0 && now_ms < at_ms + CRASH_MEMORY_MS;
        if counts(self.previous_ms) {
            VmStability::Flapping
        } else if counts(self.last_ms) {
            VmStability::Unproven
        } else {
            VmStability::Stable
        }
    }
}

impl Scheduler {
    /// Restores what was known of a VM before a crash was noted.
    pub(super) fn restore_vm_crashes(
        &mut self,
        vm: &str,
        before: Option<VmCrashes>,
    ) {
        match before {
            Some(before) => {
                self.vm_crashes.insert(vm.to_owned(), before);
            }
            None => {
                self.vm_crashes.remove(vm);
            }
        }
    }

    /// Retracts the crash that was noted for a VM at this time, in
    /// milliseconds, given what was known of the VM before.
    pub(super) fn retract_vm_crash(
        &mut self,
        vm: &str,
        at_ms: u64,
        before: Option<VmCrashes>,
    ) {
        let Some(crashes) = self.vm_crashes.get_mut(vm) else { return };
        if crashes.last_ms == at_ms {
            self.restore_vm_crashes(vm, before);
        } else if crashes.previous_ms == at_ms {
            crashes.previous_ms = before.map_or(0, |before| before.last_ms);
        }
    }

    /// Notes that a VM's worker has crashed; returns whether the VM was stable
    /// before.
    pub(super) fn note_vm_crash(
        &mut self,
        vm: Option<&str>,
        now: Now,
    ) -> bool {
        let Some(vm) = vm else { return false };
        let was_stable = self.vm_stability(vm, now) == VmStability::Stable;
        self.vm_crashes.retain(|_, crashes| {
            crashes.stability(now.steady_ms) != VmStability::Stable
        });
        let crashes = self.vm_crashes.entry(vm.to_owned()).or_default();
        crashes.note(now.steady_ms);
        was_stable
    }

    /// Returns the recent stability of a VM.
    pub(super) fn vm_stability(&self, vm: &str, now: Now) -> VmStability {
        let crashes = self.vm_crashes.get(vm).copied().unwrap_or_default();
        // Crashes under a previous holder aren't known.
        let known = now.steady_ms >= self.taken_over_ms + CRASH_MEMORY_MS;
        match crashes.stability(now.steady_ms) {
            VmStability::Stable if !known => VmStability::Unproven,
            stability => stability,
        }
    }
}
