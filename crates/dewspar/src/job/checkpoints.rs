/*!
Checkpoints that are stored apart from their job's record.

A job's record, its [`Progress`], is one value of the store and is written
whole with each change. The checkpoints are the only part of it whose size the
tasks themselves choose: those of a thousand tasks may take more than the store
accepts as one value, and the end of one task then transfers the checkpoints of
all others. Once the checkpoints of a job take more than
[`MAX_INLINE_BYTES`] together, each is therefore stored under a key of its own,
and the record is written without them.

The checkpoints are written first, then the record, and only then are the ends
acknowledged from which they come. A reader may find a checkpoint of a later
run than the record knows of. That is harmless, since a task may resume from
any of its checkpoints.

While a task runs, its worker reports newer checkpoints. Only the last one of
each run is stored, since a new lease holder asks the workers for the others.

[`SeparateCheckpoints`] keeps track of what is stored for all jobs.

# Example

```
use dewspar::job::{
    JobId, Progress, TaskRecord,
    checkpoints::{MAX_INLINE_BYTES, SeparateCheckpoints},
};

let id: JobId = "5c0e7a21d94b36f8".parse()?;
let large = "0".repeat(MAX_INLINE_BYTES + 1);
let stopped = TaskRecord {
    run: 1,
    checkpoint: large.as_str().into(),
    ..TaskRecord::default()
};
let progress = Progress { tasks: vec![stopped], ..Progress::default() };

let mut separate = SeparateCheckpoints::default();
let mut record = progress.clone();
let unstored = separate.split_off(id, &mut record);
assert!(record.tasks[0].checkpoint.is_empty());
assert_eq!(unstored[0].task.to_string(), "5c0e7a21d94b36f8.0.0.0");
separate.note_stored(&unstored[0].task, unstored[0].run);
assert_eq!(separate.split_off(id, &mut progress.clone()), []);

// The next lease holder puts them together again.
let mut separate = SeparateCheckpoints::default();
separate.restore(id, Some(&mut record), unstored);
assert_eq!(record, progress);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use {
    crate::job::{JobId, Progress, TaskId, TaskRecord},
    std::{collections::BTreeMap, sync::Arc},
};

/// The maximum total length of the checkpoints in a job's record, in bytes. A
/// record is written at each end of a task, so it should transfer in a few
/// milliseconds; a key for each small checkpoint would cost more writes.
pub const MAX_INLINE_BYTES: usize = 16 * 1024;

/// A checkpoint that is stored apart from its job's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeparateCheckpoint {
    /// The task that can resume from it.
    pub task: TaskId,
    /// The last run of the task that had ended when it was stored.
    pub run: u64,
    /// The checkpoint as the worker reported it.
    pub checkpoint: Arc<str>,
}

/// Which checkpoints are stored apart from their jobs' records, as far as the
/// lease holder knows.
#[derive(Debug, Default)]
pub struct SeparateCheckpoints {
    /// The run of each stored checkpoint.
    stored: BTreeMap<JobId, BTreeMap<TaskId, u64>>,
}

impl SeparateCheckpoints {
    /// Returns whether the checkpoints of a job are to be stored apart from
    /// this record.
    ///
    /// A job that has any checkpoint stored apart keeps all of them there.
    pub fn are_separate(&self, id: JobId, record: &Progress) -> bool {
        let lengths = record.tasks.iter().map(|task| task.checkpoint.len());
        self.stored.contains_key(&id)
            || lengths.sum::<usize>() > MAX_INLINE_BYTES
    }

    /// Removes the checkpoints from a job's record if they are to be stored
    /// apart from it; returns those that have to be stored before the record.
    pub fn split_off(
        &self,
        id: JobId,
        record: &mut Progress,
    ) -> Vec<SeparateCheckpoint> {
        if !self.are_separate(id, record) {
            return Vec::new();
        }
        let stored = self.stored.get(&id);
        let mut unstored = Vec::new();
        for record in &mut record.tasks {
            let checkpoint = std::mem::take(&mut record.checkpoint);
            let (task, run) = (task_id(id, record), record.run);
            let stored_run = stored.and_then(|runs| runs.get(&task));
            let is_stored = stored_run.is_some_and(|stored| *stored >= run);
            if !checkpoint.is_empty() && !is_stored {
                unstored.push(SeparateCheckpoint { task, run, checkpoint });
            }
        }
        unstored
    }

    /// Notes that the checkpoint of a task after this run is stored.
    pub fn note_stored(&mut self, task: &TaskId, run: u64) {
        let stored_run = self
            .stored
            .entry(task.job)
            .or_default()
            .entry(*task)
            .or_insert(run);
        *stored_run = run.max(*stored_run);
    }

    /// Removes and returns the tasks of a job whose stored checkpoints are
    /// obsolete now that this record is stored: those that are done, and all
    /// of them once the job is over.
    pub fn take_obsolete(
        &mut self,
        id: JobId,
        record: &Progress,
    ) -> Vec<TaskId> {
        if record.phase.is_final() {
            return self.take_job(id);
        }
        let Some(stored) = self.stored.get_mut(&id) else {
            return Vec::new();
        };
        let done = record.tasks.iter().filter(|task| task.done);
        // The job's entry stays, although it may be empty, so that its later
        // checkpoints are stored apart as well.
        done.map(|record| task_id(id, record))
            .filter(|task| stored.remove(task).is_some())
            .collect()
    }

    /// Removes and returns the tasks of a job whose checkpoints are stored.
    pub fn take_job(&mut self, id: JobId) -> Vec<TaskId> {
        let stored = self.stored.remove(&id).unwrap_or_default();
        stored.into_keys().collect()
    }

    /// Returns the jobs that have checkpoints stored apart.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.stored.keys().copied()
    }

    /// Puts the checkpoints of a job that were read from the store back into
    /// its record, if it has one, and notes that they are stored.
    ///
    /// A checkpoint that the record itself has is kept if it is of a later
    /// run: a version of this program that doesn't know separate checkpoints
    /// has written it.
    pub fn restore(
        &mut self,
        id: JobId,
        mut record: Option<&mut Progress>,
        read: Vec<SeparateCheckpoint>,
    ) {
        for separate in read {
            self.note_stored(&separate.task, separate.run);
            if let Some(record) = &mut record {
                restore_one(id, record, separate);
            }
        }
    }
}

fn restore_one(id: JobId, record: &mut Progress, read: SeparateCheckpoint) {
    let SeparateCheckpoint { task, run, checkpoint } = read;
    let position =
        record.tasks.binary_search_by_key(&task, |record| task_id(id, record));
    match position {
        Ok(position) => {
            let known = &mut record.tasks[position];
            let is_newer = run >= known.run || known.checkpoint.is_empty();
            if !known.done && is_newer {
                known.checkpoint = checkpoint;
            }
        }
        // The record was to be written next.
        Err(position) => {
            let TaskId { round, step, index, .. } = task;
            let restored = TaskRecord {
                round,
                step,
                index,
                checkpoint,
                ..TaskRecord::default()
            };
            record.tasks.insert(position, restored);
        }
    }
}

fn task_id(job: JobId, record: &TaskRecord) -> TaskId {
    let TaskRecord { round, step, index, .. } = *record;
    TaskId { job, round, step, index }
}
