/*!
What was known of a worker when it was doubted or taken for ended.

Several sources report the end of a worker, and none of them is always right: a
directory entry may be out of date, a list of VMs may be old, and an answer may
have been lost. The log names the source that decided. For an operator to tell a
wrong conclusion from a right one, it also names what the other sources said at
that time.

# Example

```text
decision          doubted, 8 runs
directory         not listed, but worker-7 on its VM, read 20 ms ago
list of VMs       runs it, 549 ms ago: contradicts the directory
last answer       90 ms ago: contradicts it too
```
*/

use crate::schedule::{Now, Scheduler, VmStatus, WorkerId, worker::Worker};

/// What the newest list of VMs says about a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmListView {
    /// No list was read under this lease.
    Unread,
    /// The list doesn't show the worker's VM, or the VM isn't known.
    Unlisted,
    /// Its VM runs it.
    Runs,
    /// Its VM runs another worker.
    RunsOther(WorkerId),
    /// Its VM is up without a worker.
    NoWorker,
    /// Its VM isn't up.
    NotUp(VmStatus),
}

impl VmListView {
    /// Returns the name of the view, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            VmListView::Unread => "not read",
            VmListView::Unlisted => "VM not listed",
            VmListView::Runs => "runs it",
            VmListView::RunsOther(_) => "runs another",
            VmListView::NoWorker => "runs none",
            VmListView::NotUp(status) => status.name(),
        }
    }

    /// Returns the other worker that the VM runs, if any.
    pub fn other(&self) -> Option<&WorkerId> {
        match self {
            VmListView::RunsOther(other) => Some(other),
            _ => None,
        }
    }
}

/// What was known of a worker at a time. Ages are in milliseconds, and `None`
/// if the source wasn't read under this lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerEvidence {
    /// Its VM; empty if it isn't known.
    pub vm: String,
    /// The number of its runs.
    pub runs: usize,
    /// Whether the directory lists it.
    pub is_listed: bool,
    /// The first other worker that is known on its VM.
    pub other: Option<WorkerId>,
    /// How long ago the directory was read.
    pub directory_age_ms: Option<u64>,
    /// What the list of VMs says.
    pub vm_list: VmListView,
    /// How long ago the list of VMs was requested.
    pub vm_list_age_ms: Option<u64>,
    /// How long ago the worker answered last.
    pub answer_age_ms: Option<u64>,
    /// How long ago the newest call was sent that renewed the holder's own
    /// lease.
    pub renewal_age_ms: Option<u64>,
}

impl Scheduler {
    /// Returns what is known of a worker.
    pub(super) fn worker_evidence(
        &self,
        worker: &Worker,
        now: Now,
    ) -> WorkerEvidence {
        let age_of = |at_ms: u64| {
            (at_ms > 0).then(|| now.steady_ms.saturating_sub(at_ms))
        };
        let vm = &worker.listing.vm;
        let is_other = |other: &&Worker| {
            !vm.is_empty()
                && other.listing.vm == *vm
                && other.id() != worker.id()
        };
        let other = self.workers.values().find(is_other);
        WorkerEvidence {
            vm: vm.clone(),
            runs: worker.runs.len(),
            is_listed: worker.listed,
            other: other.map(|other| other.id().clone()),
            directory_age_ms: age_of(self.directory_ms),
            vm_list: self.vm_list_view(worker),
            vm_list_age_ms: age_of(self.vms_asked_ms),
            answer_age_ms: age_of(worker.reported_ms()),
            renewal_age_ms: self.own_lease.renewal_age_ms(now),
        }
    }

    /// Returns what the newest list of VMs says about a worker.
    pub(super) fn vm_list_view(&self, worker: &Worker) -> VmListView {
        if self.vms_asked_ms == 0 {
            return VmListView::Unread;
        }
        let Some(vm) = self.vms.get(&worker.listing.vm) else {
            return VmListView::Unlisted;
        };
        match (vm.status, &vm.worker) {
            (VmStatus::Up, Some(id)) if id == worker.id() => VmListView::Runs,
            (VmStatus::Up, Some(id)) => VmListView::RunsOther(id.clone()),
            (VmStatus::Up, None) => VmListView::NoWorker,
            (status, _) => VmListView::NotUp(status),
        }
    }
}
