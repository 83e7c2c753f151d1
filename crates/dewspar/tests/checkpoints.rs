//! Checkpoints that are stored apart from their job's record.

use dewspar::job::{
    JobId, Phase, Progress, TaskId, TaskRecord,
    checkpoints::{MAX_INLINE_BYTES, SeparateCheckpoint, SeparateCheckpoints},
};

const TASKS: u32 = 8;

fn id() -> JobId {
    "5c0e7a21d94b36f8".parse().expect("an identifier")
}

fn task(index: u32) -> TaskId {
    TaskId { job: id(), round: 0, step: 0, index }
}

/// Returns a record whose tasks have ended once, with checkpoints of this many
/// bytes.
fn record(checkpoint_bytes: usize) -> Progress {
    let ended = |index| TaskRecord {
        index,
        run: 1,
        checkpoint: "0".repeat(checkpoint_bytes).into(),
        ..TaskRecord::default()
    };
    let tasks = (0..TASKS).map(ended).collect();
    Progress { phase: Phase::Running, tasks, ..Progress::default() }
}

/// Splits off and stores the checkpoints of a record.
fn store(
    separate: &mut SeparateCheckpoints,
    record: &Progress,
) -> Vec<SeparateCheckpoint> {
    let unstored = separate.split_off(id(), &mut record.clone());
    for SeparateCheckpoint { task, run, .. } in &unstored {
        separate.note_stored(task, *run);
    }
    unstored
}

const LARGE: usize = MAX_INLINE_BYTES / TASKS as usize + 1;

#[test]
fn small_checkpoints_stay_in_the_record() {
    let mut small = record(MAX_INLINE_BYTES / TASKS as usize);
    let before = small.clone();
    let separate = SeparateCheckpoints::default();
    assert_eq!(separate.split_off(id(), &mut small), []);
    assert_eq!(small, before);
}

// Guards against storing the checkpoints of all tasks again at the end of each.
#[test]
fn only_the_checkpoints_of_later_runs_are_stored_again() {
    let mut separate = SeparateCheckpoints::default();
    let mut progress = record(LARGE);
    assert_eq!(store(&mut separate, &progress).len(), TASKS as usize);
    progress.tasks[3].run = 2;
    let stored = store(&mut separate, &progress);
    assert_eq!(stored.iter().map(|s| s.task).collect::<Vec<_>>(), [task(3)]);
}

// Guards against a record that changes between the two forms while other
// checkpoints of the job are stored apart.
#[test]
fn a_job_keeps_its_checkpoints_apart() {
    let mut separate = SeparateCheckpoints::default();
    store(&mut separate, &record(LARGE));
    let mut smaller = record(LARGE);
    for task in &mut smaller.tasks[1..] {
        *task = TaskRecord { index: task.index, done: true, ..record_done() };
    }
    assert_eq!(separate.take_obsolete(id(), &smaller).len(), 7);
    smaller.tasks[0].run = 2;
    let unstored = separate.split_off(id(), &mut smaller);
    assert_eq!(unstored.len(), 1);
    assert!(smaller.tasks.iter().all(|task| task.checkpoint.is_empty()));
}

fn record_done() -> TaskRecord {
    TaskRecord { done: true, run: 1, ..TaskRecord::default() }
}

#[test]
fn all_checkpoints_of_a_finished_job_are_obsolete() {
    let mut separate = SeparateCheckpoints::default();
    store(&mut separate, &record(LARGE));
    let over = Progress { phase: Phase::Failed, ..Progress::default() };
    assert_eq!(separate.take_obsolete(id(), &over).len(), TASKS as usize);
    assert_eq!(separate.jobs().count(), 0);
}

// Guards against losing the work of a run whose checkpoint was stored while the
// write of the record was lost with its holder.
#[test]
fn a_checkpoint_newer_than_the_record_is_used() {
    let mut known = record(0);
    known.tasks.truncate(1);
    let read = |index, run| SeparateCheckpoint {
        task: task(index),
        run,
        checkpoint: "ff".into(),
    };
    let mut separate = SeparateCheckpoints::default();
    let all = vec![read(0, 2), read(5, 1)];
    separate.restore(id(), Some(&mut known), all);
    let restored: Vec<(u32, &str)> =
        known.tasks.iter().map(|t| (t.index, &*t.checkpoint)).collect();
    assert_eq!(restored, [(0, "ff"), (5, "ff")]);
}

// Guards against going back to an older checkpoint after a holder of a version
// that keeps all checkpoints in the record, and against restoring one of a task
// that is done.
#[test]
fn a_record_with_a_later_run_takes_precedence() {
    let mut known = record(4);
    known.tasks[0].run = 3;
    known.tasks[1] = TaskRecord { index: 1, ..record_done() };
    let before = known.clone();
    let read = |index| SeparateCheckpoint {
        task: task(index),
        run: 1,
        checkpoint: "ff".into(),
    };
    let mut separate = SeparateCheckpoints::default();
    separate.restore(id(), Some(&mut known), vec![read(0), read(1)]);
    assert_eq!(known, before);
}
