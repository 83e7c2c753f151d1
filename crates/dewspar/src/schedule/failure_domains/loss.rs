/*!
What the loss of a data hall takes.
*/

use {
    crate::{
        job::TaskId,
        schedule::{Resources, Scheduler},
    },
    std::collections::BTreeMap,
};

/// What the loss of a data hall takes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HallLoss {
    /// The number of its VMs, by pool.
    pub vms: BTreeMap<String, u64>,
    /// The resources in use there, by pool.
    pub used: BTreeMap<String, Resources>,
    /// The number of long-running tasks there, by the first task of each step.
    pub long_running: BTreeMap<TaskId, u64>,
}

impl Scheduler {
    /// Returns what the loss of a data hall takes.
    pub fn loss_of(&self, hall: &str) -> HallLoss {
        let mut loss = HallLoss::default();
        for vm in self.vms.values().filter(|vm| vm.hall == hall) {
            *loss.vms.entry(vm.pool.clone()).or_default() += 1;
        }
        let workers = self.workers.values();
        for worker in workers.filter(|worker| worker.listing.hall == hall) {
            if worker.runs.is_empty() {
                continue;
            }
            let pool = worker.listing.pool.clone();
            loss.used.entry(pool).or_default().add(worker.used());
            let runs = worker.runs.iter();
            for (task, _) in runs.filter(|(_, run)| run.long_running) {
                let first = TaskId { index: 0, ..*task };
                *loss.long_running.entry(first).or_default() += 1;
            }
        }
        loss
    }
}
