/*!
Merging a job's record that this holder didn't know of.

A holder knows what is stored of a job because it loaded the job or wrote the
record itself. If a write finds a different record (see
[`crate::job::conflict`]), that record is merged into the known state: tasks
that are done in the record aren't run again, failed runs count, and a job that
is over there is over. The merge undoes nothing that is already known, so a
record older than the known state changes nothing.
*/

use crate::{
    job::{JobId, Phase, Progress, TaskId, TaskRecord},
    schedule::{
        Now, Scheduler, WorkerId,
        job_state::{Job, Task},
        suspects::CrashHistory,
    },
};

impl Scheduler {
    /// Merges a job's record into the known state of the job, and queues the
    /// result to be stored.
    ///
    /// An unknown job stays unknown.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspar::{
    ///     job::{JobId, Phase, Progress},
    ///     schedule::{AcceptedJob, Now, Options, Scheduler},
    /// };
    ///
    /// let mut scheduler = Scheduler::new(7, Options::default());
    /// let id: JobId = "5c0e7a21d94b36f8".parse()?;
    /// scheduler.submit(id, AcceptedJob::default(), 8, None);
    /// let record =
    ///     Progress { phase: Phase::Completed, ..Progress::default() };
    /// let now = Now { steady_ms: 1_000, unix_ms: 0 };
    /// scheduler.merge_record(id, &record, now);
    /// assert_eq!(scheduler.phase(id), Some(Phase::Completed));
    /// # Ok::<(), dewspar::job::InvalidId>(())
    /// ```
    pub fn merge_record(&mut self, id: JobId, record: &Progress, now: Now) {
        if record.phase.is_final() {
            self.adopt_recorded_end(id, record, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.phase.is_final() {
            return;
        }
        if record.phase == Phase::Running {
            job.phase = Phase::Running;
        }
        job.other.merge(&record.other);
        let mut obsolete = Vec::new();
        for task in &record.tasks {
            obsolete.extend(add_record(job, id, task));
        }
        for (task, worker) in obsolete {
            self.stop_run(&task, &worker, "done on record");
        }
        self.note_loaded_in_doubt(id);
        self.mark_changed(id);
        for record in &record.tasks {
            self.finish_if_failed_or_done(&task_id(id, record), now);
        }
    }

    fn finish_if_failed_or_done(&mut self, task: &TaskId, now: Now) {
        let job = self.jobs.get(&task.job);
        let Some(known) = job.and_then(|job| job.task(task)) else { return };
        let failures = known.failed_runs.len() as u32;
        self.finish_if_over(task, failures, now);
    }

    /// Ends a job as its record says. The record takes precedence over how the
    /// job ended here, since callers may already have been told.
    fn adopt_recorded_end(&mut self, id: JobId, record: &Progress, now: Now) {
        self.finish(id, record.phase, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.phase = record.phase;
        job.finished_at_ms = record.finished_at_ms;
        job.other.merge(&record.other);
        self.mark_changed(id);
    }
}

fn task_id(job: JobId, record: &TaskRecord) -> TaskId {
    let TaskRecord { round, step, index, .. } = *record;
    TaskId { job, round, step, index }
}

/// Merges the record of a task; returns the runs that are obsolete because the
/// task is done.
fn add_record(
    job: &mut Job,
    id: JobId,
    record: &TaskRecord,
) -> Vec<(TaskId, WorkerId)> {
    let task_id = task_id(id, record);
    let Some(step) = job.step_mut(&task_id) else { return Vec::new() };
    let Some(task) = step.tasks.get_mut(record.index as usize) else {
        return Vec::new();
    };
    task.add(record);
    if !record.done || task.done {
        return Vec::new();
    }
    let obsolete =
        task.workers.iter().map(|on| (task_id, on.clone())).collect();
    job.mark_done(record.round, record.step, record.index);
    obsolete
}

impl Task {
    /// Merges everything in the record except whether the task is done.
    fn add(&mut self, record: &TaskRecord) {
        for run in &record.failed_runs {
            if !self.failed_runs.contains(run) {
                self.failed_runs.push(*run);
            }
        }
        if record.run > self.ended_run && !record.checkpoint.is_empty() {
            self.checkpoint.clone_from(&record.checkpoint);
        }
        self.run = self.run.max(record.run);
        self.ended_run = self.ended_run.max(record.run);
        if record.crashes > self.crashes.count {
            self.crashes = CrashHistory::restored(record);
        }
        self.in_doubt.add(&record.in_doubt);
        self.other.merge(&record.other);
    }
}
