/*!
Starts of which no holder saw how they ended.

A holder that is lost right after it has ordered a start can't tell whether the
task crashed its worker. The next one finds the worker gone before it has named
its runs: whatever former holders had started there is unknown. So each task of
theirs that waits in that pool counts as started once, and its next start waits
until that is on record.

A worker whose VM the former holder had taken down, to move or to maintain it,
is gone too. It was empty, since a VM is only ordered to change once nothing
runs there, so this says nothing of any task. The list of VMs shows what the VM
does, and the record of the changes that were ordered names it once it is back.
*/

use crate::schedule::{
    Now, Scheduler, VmLife,
    board::{Job, Task},
    worker::Worker,
};

/// A worker that was lost before it had named its runs to this holder.
#[derive(Debug)]
pub(super) struct UnheardLoss {
    pool: String,
    /// The VM; empty if the worker doesn't name it.
    vm: String,
}

impl UnheardLoss {
    pub(super) fn of(worker: &Worker) -> UnheardLoss {
        let listing = &worker.listing;
        UnheardLoss { pool: listing.pool.clone(), vm: listing.vm.clone() }
    }
}

impl Scheduler {
    /// Returns whether a worker is gone since a former holder moved or
    /// maintained its VM.
    pub(super) fn was_taken_down(&self, lost: &UnheardLoss, now: Now) -> bool {
        let changes = self.vms.get(&lost.vm).is_some_and(|vm| {
            matches!(vm.life, VmLife::Moving | VmLife::Maintenance)
                || vm.pool != lost.pool
        });
        changes || self.was_ordered_before(&lost.vm, now)
    }

    /// Notes that a worker may have crashed under starts of former holders.
    pub(super) fn note_unheard_loss(&mut self, lost: &UnheardLoss) {
        self.unheard_losses.insert(lost.pool.clone());
        self.knows_suspects = true;
    }

    /// Returns whether a former holder may have started a task on a worker
    /// that crashed before this holder had heard of it: it waits, and nothing
    /// is known of any run.
    pub(super) fn may_have_crashed_unseen(
        &self,
        job: &Job,
        task: &Task,
    ) -> bool {
        job.revision < self.lease_revision
            && !task.crashes.are_on_record()
            && task.run == task.ended_run
            && self.unheard_losses.contains(&job.terms.pool)
    }
}
