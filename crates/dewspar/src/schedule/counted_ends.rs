/*!
What the end of a worker has counted against tasks and its VM, and its
retraction.

A worker can be taken for ended while it lives: the list of VMs may be wrong
about it. Its end counts as a crash under its recent runs and against its VM. If
the worker answers again later, that was wrong, and a sound task could be given
up for it. So what an end has counted is remembered for [`REMEMBERED_MS`], and
retracted if an answer shows that the process never ended:

- It is the same process by its start time.
- It reports no start time, and lists a run that it had when it was lost, as
  active or as ended. Such a worker starts again under another name.

Another process under the same identifier shows that the end was real. A task
that was given up meanwhile stays so, since its job is over.

# Example

```text
worker a       runs task t          isn't in a list of VMs: t has crashed it
worker b       starts t again
worker a       answers and lists t  it never ended: the crash is retracted
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, HoldReport, Incarnation, Now, Scheduler, WorkerId,
            suspects::{CrashHistory, LostRuns},
            vm_stability::VmCrashes,
        },
    },
    std::collections::BTreeMap,
};

/// For how long what an end has counted can be retracted, in milliseconds:
/// several times the longest lease and the time for which the entry of a
/// process that has ended is ignored.
const REMEMBERED_MS: u64 = 60_000;

/// A crash that was counted against a task.
#[derive(Debug)]
pub(super) struct RetractableCrash {
    pub(super) task: TaskId,
    pub(super) before: CrashHistory,
    pub(super) after: CrashHistory,
}

/// What the end of one worker has counted.
#[derive(Debug)]
pub(super) struct CountedEnd {
    process: Incarnation,
    at_ms: u64,
    /// The VM, with what was known of it before.
    vm: Option<(String, Option<VmCrashes>)>,
    /// The number of each task's run.
    runs: BTreeMap<TaskId, u64>,
    pub(super) crashes: Vec<RetractableCrash>,
}

impl CountedEnd {
    pub(super) fn new(
        lost: &LostRuns,
        vm: Option<(String, Option<VmCrashes>)>,
        now: Now,
    ) -> CountedEnd {
        CountedEnd {
            process: lost.process,
            at_ms: now.steady_ms,
            vm,
            runs: lost.run_numbers().collect(),
            crashes: Vec::new(),
        }
    }

    /// Returns whether an answer was given by the process whose end was
    /// counted.
    fn is_refuted_by(&self, report: &HoldReport) -> bool {
        if self.process != Incarnation::UNKNOWN {
            return self.process == report.incarnation;
        }
        let had = |task: &TaskId, run: u64| self.runs.get(task) == Some(&run);
        report.incarnation == Incarnation::UNKNOWN
            && (report.active.iter().any(|a| had(&a.task, a.run))
                || report.ended.iter().any(|e| had(&e.task, e.run)))
    }
}

/// The ends of workers that can be retracted.
#[derive(Debug, Default)]
pub(super) struct CountedEnds(BTreeMap<WorkerId, CountedEnd>);

impl CountedEnds {
    /// Remembers what the end of a worker has counted.
    pub(super) fn insert(
        &mut self,
        worker: &WorkerId,
        end: CountedEnd,
        now: Now,
    ) {
        let from_ms = now.steady_ms.saturating_sub(REMEMBERED_MS);
        self.0.retain(|_, end| end.at_ms >= from_ms);
        self.0.insert(worker.clone(), end);
    }

    /// Forgets what was counted against a task, since it is cleared.
    pub(super) fn forget(&mut self, task: &TaskId) {
        for end in self.0.values_mut() {
            end.crashes.retain(|crash| crash.task != *task);
        }
    }

    /// Takes the end of a worker if its answer refutes it.
    fn take_refuted(
        &mut self,
        worker: &WorkerId,
        report: &HoldReport,
        now: Now,
    ) -> Option<CountedEnd> {
        let end = self.0.get(worker)?;
        let is_recent = now.steady_ms <= end.at_ms + REMEMBERED_MS;
        if is_recent && end.is_refuted_by(report) {
            self.0.remove(worker)
        } else {
            None
        }
    }
}

impl Scheduler {
    /// Retracts what the end of a worker has counted, if this answer shows
    /// that the worker had not ended.
    pub(super) fn retract_refuted_end(
        &mut self,
        worker: &WorkerId,
        report: &HoldReport,
        now: Now,
    ) {
        let end = self.counted_ends.take_refuted(worker, report, now);
        let Some(end) = end else { return };
        if let Some((vm, before)) = &end.vm {
            self.retract_vm_crash(vm, end.at_ms, *before);
        }
        let mut crashes = 0;
        for RetractableCrash { task, before, after } in &end.crashes {
            self.hall_losses.forget(task, after);
            let is_revised = self.revise_crashes(task, |known, sequence| {
                known.retract(before, after, sequence);
            });
            crashes += usize::from(is_revised);
        }
        if crashes > 0 {
            let worker = worker.clone();
            self.note(Decision::CrashesRetracted { worker, crashes });
        }
    }
}
