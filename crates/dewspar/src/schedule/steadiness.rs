/*!
How steady VMs are: whether their workers have crashed of late.

A task that may crash its workers is best found out about on a VM that doesn't
crash by itself; else a sound task that was lost twice is lost a third time on
the one VM with room, which has it since it goes up and down.
*/

use crate::schedule::{Now, Scheduler};

/// For how long a crash counts against a VM, in milliseconds: several times
/// what one that goes up and down takes for that.
const UNSTEADY_MS: u64 = 30_000;

/// When the workers on a VM crashed last, and the time before that.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VmCrashes {
    last_ms: u64,
    before_ms: u64,
}

/// How a VM has done of late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Steadiness {
    /// Its workers have crashed twice or more.
    GoesUpAndDown,
    /// Its worker has crashed, or may have.
    Doubtful,
    /// None has crashed.
    Steady,
}

impl VmCrashes {
    fn note(&mut self, now_ms: u64) {
        self.before_ms = self.last_ms;
        self.last_ms = now_ms;
    }

    fn steadiness(&self, now_ms: u64) -> Steadiness {
        let counts = |at_ms: u64| at_ms > 0 && now_ms < at_ms + UNSTEADY_MS;
        if counts(self.before_ms) {
            Steadiness::GoesUpAndDown
        } else if counts(self.last_ms) {
            Steadiness::Doubtful
        } else {
            Steadiness::Steady
        }
    }
}

impl Scheduler {
    /// Notes that a VM's worker has crashed; returns whether the VM was steady
    /// before.
    pub(super) fn note_vm_crash(
        &mut self,
        vm: Option<&str>,
        now: Now,
    ) -> bool {
        let Some(vm) = vm else { return false };
        let steady = self.steadiness(vm, now) == Steadiness::Steady;
        self.vm_crashes.retain(|_, crashes| {
            crashes.steadiness(now.steady_ms) != Steadiness::Steady
        });
        let crashes = self.vm_crashes.entry(vm.to_owned()).or_default();
        crashes.note(now.steady_ms);
        steady
    }

    /// Returns how a VM has done of late.
    pub(super) fn steadiness(&self, vm: &str, now: Now) -> Steadiness {
        let crashes = self.vm_crashes.get(vm).copied().unwrap_or_default();
        // What its workers did under a former holder isn't known.
        let known = now.steady_ms >= self.taken_over_ms + UNSTEADY_MS;
        match crashes.steadiness(now.steady_ms) {
            Steadiness::Steady if !known => Steadiness::Doubtful,
            steadiness => steadiness,
        }
    }
}
