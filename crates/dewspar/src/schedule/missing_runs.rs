/*!
Runs that a worker lists neither as active nor as ended.

A worker repeats each end until it is acknowledged, so a run that is in neither
list of its answer was lost, and its task starts again. But a worker lists a
limited number of ends at once, oldest first, and the holder applies them only
up to that of a job which isn't loaded yet. While more ends may follow, such a
run may have ended well, and another start could repeat work that is done. It
then keeps its room until its end is known.

# Example

```text
worker  is active: c              has ended: a, b, and two more
answer  active: c                 ended: a, b
holder  d and e ran there too     they have ended; their ends are awaited
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Decision, HoldReport, Now, Scheduler, SentHold, WorkerId,
            worker::{Run, RunState},
        },
    },
    std::collections::BTreeMap,
};

/// Which of a worker's ends are known after an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AppliedEnds {
    /// All that the worker hasn't forgotten.
    Complete,
    /// Later ones weren't listed or couldn't be applied yet.
    Incomplete,
}

/// A run that its worker lists neither as active nor as ended.
struct MissingRun {
    task: TaskId,
    run: u64,
    age_ms: u64,
    ordered_ms: u64,
    begun: bool,
    /// Whether the process that was ordered to start it has ended.
    process_has_ended: bool,
}

impl Scheduler {
    /// Settles the runs that a worker lists neither as active nor as ended.
    ///
    /// They are lost if all ends are known. Otherwise such a run may have
    /// ended, and starting its task again could repeat work that is done.
    pub(super) fn settle_missing_runs(
        &mut self,
        worker_id: &WorkerId,
        held: &SentHold,
        report: &HoldReport,
        ends: AppliedEnds,
        now: Now,
    ) {
        let missing = self.missing_runs(worker_id, held, report);
        match ends {
            AppliedEnds::Complete => self.drop_runs(worker_id, missing, now),
            AppliedEnds::Incomplete => self.await_ends(worker_id, &missing),
        }
    }

    /// Returns the runs that a worker lists neither as active nor as ended,
    /// although they would be if they had begun.
    fn missing_runs(
        &self,
        worker_id: &WorkerId,
        held: &SentHold,
        report: &HoldReport,
    ) -> Vec<MissingRun> {
        let Some(worker) = self.workers.get(worker_id) else {
            return Vec::new();
        };
        let listed: BTreeMap<TaskId, u64> =
            report.active.iter().map(|a| (a.task, a.run)).collect();
        let answered_ms = worker.answered_worker_ms();
        let missing = worker.runs.iter().filter(|(task, run)| {
            // A start under an older token can't be carried out any more. A
            // start that was answered before the hold was sent must be listed.
            let settled = if run.has_begun() {
                run.since_ms < held.sent_ms
            } else {
                run.fence < held.order.fence
            };
            settled
                && listed.get(*task) != Some(&run.run)
                && !self.write_ahead.holds(task)
        });
        let missing = missing.map(|(task, run)| MissingRun {
            task: *task,
            run: run.run,
            age_ms: run.confirmed_ms(answered_ms),
            ordered_ms: run.since_ms,
            begun: run.has_begun(),
            process_has_ended: run.process_has_ended,
        });
        missing.collect()
    }

    /// Drops runs that a worker doesn't have.
    fn drop_runs(
        &mut self,
        worker_id: &WorkerId,
        missing: Vec<MissingRun>,
        now: Now,
    ) {
        let worker = self.workers.get(worker_id);
        let runs = worker.map_or(0, |worker| worker.runs.len());
        let other_runs = runs.saturating_sub(1);
        for missing in missing {
            let MissingRun {
                task, run, age_ms, begun, process_has_ended, ..
            } = missing;
            // It may have crashed the process from which it was ordered.
            if !begun && !process_has_ended {
                self.note_suspect_ended(&task);
            }
            if !begun {
                self.note_in_doubt(&task, worker_id, run, missing.ordered_ms);
            }
            self.note(Decision::RunLost {
                task,
                run,
                worker: worker_id.clone(),
                reason: "the worker doesn't list it",
                age_ms,
                other_runs,
                renewal_age_ms: self.own_lease.renewal_age_ms(now),
            });
            self.note_loss(&task);
            self.release_run(&task, worker_id, now);
        }
    }

    /// Leaves missing runs in place until the worker has reported all ends.
    fn await_ends(&mut self, worker_id: &WorkerId, missing: &[MissingRun]) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let mut newly_missing = 0;
        for missing in missing {
            let run = worker.runs.get_mut(&missing.task);
            if run.is_some_and(Run::await_end) {
                newly_missing += 1;
            }
        }
        if newly_missing > 0 {
            self.note(Decision::EndsAwaited {
                worker: worker_id.clone(),
                runs: newly_missing,
            });
        }
    }
}

impl Run {
    /// Notes that the run has ended without a reported end. Returns whether
    /// that is new.
    fn await_end(&mut self) -> bool {
        let is_new = self.state == RunState::Running;
        if is_new {
            self.state = RunState::EndUnreported;
        }
        is_new
    }
}
