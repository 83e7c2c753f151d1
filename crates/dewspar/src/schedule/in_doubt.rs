/*!
Starts whose outcome is in doubt because their orders got no answer.

Such an order may still be carried out seconds later. The process that it was
sent to refuses it once it has answered under a higher token. But the next
process of the same worker has seen no token: it would start the run while the
task runs elsewhere. Orders name the worker and not its process, so neither end
can tell the two apart.

So while an order may still arrive, its task starts on that worker only. There
the two runs can't overlap. While the process lives, it refuses the earlier
order; if it ends, the later run ends with it, and nothing is started before
the next process has answered under a token that invalidates all earlier
orders. A worker that answers gets the task again at once, so this restricts
nothing but the choice of a worker.

Workers that don't report their processes come back under another name and
refuse orders for the former one, so they need no such protection. Neither do
tasks of which copies may run.

Starts in doubt are stored with the job's progress and the lease under which
they were ordered. A later holder can't know when they were sent, so it counts
from when it saw the next lease, which may be its own.

# Example

```text
start  run 1 on w1           no answer: in doubt
w1     answers under a higher token, and doesn't list run 1
start  run 2 on w1           elsewhere only once run 1 can't arrive any more
w1     starts again          run 2 is over; run 1 may still arrive
w1     answers under a higher token: run 1 is refused, or listed
```
*/

use {
    crate::{
        job::{InDoubtRecord, JobId, TaskId},
        schedule::{
            Decision, Now, Scheduler, VmStatus, WorkerId,
            job_state::Task,
            worker::{Run, Worker},
        },
    },
    std::collections::BTreeMap,
};

/// For how long an order without an answer may still be carried out, in
/// milliseconds.
pub(super) const MAX_DELIVERY_MS: u64 = 12_000;

/// The number of a run that a previous holder recorded as ordered.
const UNKNOWN_RUN: u64 = 0;

/// A start whose order got no answer.
#[derive(Clone, Debug)]
struct InDoubt {
    worker: WorkerId,
    /// The VM of that worker; empty if it isn't known.
    vm: String,
    /// The run's number, or [`UNKNOWN_RUN`].
    run: u64,
    /// When it was ordered; `None` if by a previous holder.
    ordered_ms: Option<u64>,
    /// The revision of the lease under which it was ordered, or of a later one;
    /// 0 if unknown.
    lease_revision: u64,
}

/// The starts of one task whose orders got no answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartsInDoubt(Vec<InDoubt>);

impl StartsInDoubt {
    /// Restores the starts that a previous holder stored.
    pub(crate) fn restored(records: &[InDoubtRecord]) -> StartsInDoubt {
        let restored = records.iter().map(|record| InDoubt {
            worker: WorkerId::new(&record.worker),
            vm: record.vm.clone(),
            run: record.run,
            ordered_ms: None,
            lease_revision: record.lease_revision,
        });
        StartsInDoubt(restored.collect())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the records that a later holder needs.
    pub(crate) fn records(&self) -> Vec<InDoubtRecord> {
        let record = |start: &InDoubt| InDoubtRecord {
            worker: start.worker.to_string(),
            vm: start.vm.clone(),
            run: start.run,
            lease_revision: start.lease_revision,
        };
        self.0.iter().map(record).collect()
    }

    /// Adds those of the recorded starts that aren't known yet.
    pub(crate) fn add(&mut self, records: &[InDoubtRecord]) {
        for start in StartsInDoubt::restored(records).0 {
            if !self.has(&start.worker, start.run) {
                self.0.push(start);
            }
        }
    }

    /// Returns the worker and the number of each run.
    pub(super) fn starts(&self) -> impl Iterator<Item = (&WorkerId, u64)> {
        self.0.iter().map(|start| (&start.worker, start.run))
    }

    /// Returns whether the task may start on a worker.
    pub(super) fn allow(
        &self,
        worker: &WorkerId,
        now: Now,
        scheduler: &Scheduler,
    ) -> bool {
        let mut others = self.0.iter().filter(|start| start.worker != *worker);
        !others.any(|start| scheduler.may_arrive(start, now))
    }

    fn has(&self, worker: &WorkerId, run: u64) -> bool {
        let mut known = self.0.iter();
        known.any(|start| start.worker == *worker && start.run == run)
    }

    fn settle(&mut self, worker: &WorkerId, run: u64) {
        self.0.retain(|start| start.worker != *worker || start.run != run);
    }
}

impl Scheduler {
    /// Returns whether a start may still be carried out.
    fn may_arrive(&self, start: &InDoubt, now: Now) -> bool {
        let succeeded_ms = match start.lease_revision {
            0 => None,
            revision => self.seen_holders.succeeded_ms(revision),
        };
        let from_ms = start.ordered_ms.or(succeeded_ms);
        let from_ms = from_ms.unwrap_or(self.taken_over_ms);
        now.steady_ms < from_ms + MAX_DELIVERY_MS
    }

    /// Notes that it isn't known whether a run that was ordered at this time,
    /// in milliseconds, has begun or will begin.
    pub(super) fn note_in_doubt(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        run: u64,
        ordered_ms: u64,
    ) {
        let Some(worker) = self.workers.get(worker_id) else { return };
        if !worker.reports_incarnation() {
            return;
        }
        let start = self.in_doubt(worker, run, ordered_ms);
        let ordered = worker.runs.get(task).filter(|known| known.run == run);
        let ordered = ordered.cloned();
        if !self.add_in_doubt(task, start)
            && let Some(ordered) = ordered
        {
            self.note_doubtful_start(task, worker_id, &ordered);
        }
    }

    /// Notes the same for all unanswered starts on a worker that is lost.
    pub(super) fn note_lost_in_doubt(
        &mut self,
        worker: &Worker,
        runs: &BTreeMap<TaskId, Run>,
    ) {
        if !worker.reports_incarnation() {
            return;
        }
        for (task, run) in runs.iter().filter(|(_, run)| !run.has_begun()) {
            let start = self.in_doubt(worker, run.run, run.since_ms);
            if !self.add_in_doubt(task, start) {
                self.note_doubtful_start(task, worker.id(), run);
            }
        }
    }

    /// Returns whether the task keeps track of it: it doesn't if copies of the
    /// task may run or if the task is over.
    fn add_in_doubt(&mut self, task: &TaskId, start: InDoubt) -> bool {
        let Some(state) = self.at_most_once_task(task) else { return false };
        if state.in_doubt.has(&start.worker, start.run) {
            return true;
        }
        let worker = start.worker.clone();
        state.in_doubt.0.push(start);
        self.tasks_in_doubt.insert(*task);
        self.mark_changed(task.job);
        let for_ms = MAX_DELIVERY_MS;
        self.note(Decision::StartInDoubt { task: *task, worker, for_ms });
        true
    }

    /// Notes that a previous holder recorded a start as ordered.
    pub(super) fn note_recorded_in_doubt(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        vm: &str,
    ) {
        let former_revision = self.lease_revision.saturating_sub(1);
        let Some(state) = self.at_most_once_task(task) else { return };
        let start = InDoubt {
            worker: worker_id.clone(),
            vm: vm.to_owned(),
            run: UNKNOWN_RUN,
            ordered_ms: None,
            lease_revision: former_revision,
        };
        state.in_doubt.0.push(start);
        self.tasks_in_doubt.insert(*task);
    }

    /// Returns a task that isn't done and must not run twice at the same time.
    fn at_most_once_task(&mut self, task: &TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&task.job)?;
        let copies = job.step_spec(task)?.may_duplicate;
        if copies || job.phase.is_final() {
            return None;
        }
        job.task_mut(task).filter(|state| !state.done)
    }

    /// Returns whether any start of a task is in doubt.
    pub(super) fn is_in_doubt(&self, task: &TaskId) -> bool {
        self.tasks_in_doubt.contains(task)
    }

    /// Remembers which tasks of a loaded job are in doubt.
    pub(super) fn note_loaded_in_doubt(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let in_doubt = job.tasks(id).filter(|(_, t)| !t.in_doubt.is_empty());
        self.tasks_in_doubt.extend(in_doubt.map(|(task, _)| task));
    }

    /// Notes that a run is on the worker on which it was ordered, so its order
    /// can't be carried out again.
    pub(super) fn settle_in_doubt(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        run: u64,
    ) {
        // Hardly any task is in doubt, and this is called for each listed run.
        if !self.is_in_doubt(task) {
            return;
        }
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.in_doubt.settle(worker_id, run);
        }
    }

    /// Notes the same for a run that this holder hasn't ordered.
    pub(super) fn settle_found_in_doubt(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        run: u64,
    ) {
        self.settle_in_doubt(task, worker_id, run);
        self.settle_in_doubt(task, worker_id, UNKNOWN_RUN);
    }

    /// Drops the starts in doubt that can't be carried out any more, because
    /// their time is over or their VM runs a worker of another name.
    pub(super) fn drop_expired_in_doubt(&mut self, now: Now) {
        let tasks = std::mem::take(&mut self.tasks_in_doubt);
        for task in tasks {
            let state = self.jobs.get(&task.job).and_then(|j| j.task(&task));
            let Some(state) = state.filter(|state| !state.done) else {
                continue;
            };
            let mut left = state.in_doubt.clone();
            for start in left.0.iter_mut().filter(|s| s.vm.is_empty()) {
                let worker = self.workers.get(&start.worker);
                let vm = worker.map(|worker| worker.listing.vm.clone());
                start.vm = vm.unwrap_or_default();
            }
            left.0.retain(|start| {
                self.may_arrive(start, now) && !self.is_replaced(start)
            });
            if !left.is_empty() {
                self.tasks_in_doubt.insert(task);
            }
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(&task)) {
                state.in_doubt = left;
            }
        }
    }

    fn in_doubt(&self, worker: &Worker, run: u64, ordered_ms: u64) -> InDoubt {
        InDoubt {
            worker: worker.id().clone(),
            vm: worker.listing.vm.clone(),
            run,
            ordered_ms: Some(ordered_ms),
            lease_revision: self.lease_revision,
        }
    }

    /// Returns whether the VM of a start runs a worker of another name, which
    /// refuses that order.
    ///
    /// Only a list of VMs tells, if it was requested after the order: another
    /// entry in the directory may be that of a former worker.
    fn is_replaced(&self, start: &InDoubt) -> bool {
        // What a previous holder ordered was recorded before any list under
        // this lease was requested.
        let ordered_ms = start.ordered_ms.unwrap_or(0);
        let runs_other = self.vms.get(&start.vm).is_some_and(|vm| {
            let other = |worker: &WorkerId| *worker != start.worker;
            vm.status == VmStatus::Up && vm.worker.as_ref().is_some_and(other)
        });
        runs_other
            && self.vms_asked_ms > ordered_ms
            && !self.workers.contains_key(&start.worker)
    }
}
