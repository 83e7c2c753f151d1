//! What becomes of a job whose record a refused write found changed.

use dewspar::job::{
    Phase, Progress, TaskRecord,
    conflict::{FoundRecord, Resolution, resolve, retry_delay_ms},
};

fn progress(phase: Phase, done: u32) -> Progress {
    let record = |index| TaskRecord {
        index,
        done: true,
        run: 1,
        ..TaskRecord::default()
    };
    Progress {
        phase,
        finished_at_ms: 0,
        tasks: (0..done).map(record).collect(),
        ..Progress::default()
    }
}

#[test]
fn a_record_that_is_gone_is_written_again() {
    for expected in [0, 7] {
        let ours = progress(Phase::Running, 1);
        let found = FoundRecord::Absent;
        assert_eq!(resolve(expected, &ours, found), Resolution::Retry);
    }
}

#[test]
fn a_record_that_says_what_was_to_be_written_is_stored() {
    let ours = progress(Phase::Running, 1);
    let found = FoundRecord::Readable(ours.clone());
    assert_eq!(resolve(7, &ours, found), Resolution::Stored);
}

#[test]
fn an_end_on_record_counts_more_than_any_other() {
    for ours in [Phase::Queued, Phase::Running, Phase::Cancelled] {
        let theirs = progress(Phase::Completed, 0);
        let found = FoundRecord::Readable(theirs.clone());
        let resolution = resolve(7, &progress(ours, 0), found);
        assert_eq!(resolution, Resolution::Finished(theirs));
    }
}

#[test]
fn the_same_end_is_written_once_more() {
    // The write also deletes the job's other keys: they may still be there.
    let ours = progress(Phase::Completed, 0);
    let found = FoundRecord::Readable(ours.clone());
    assert_eq!(resolve(7, &ours, found), Resolution::Finished(ours));
}

#[test]
fn a_job_that_is_over_here_learns_nothing_of_its_tasks() {
    let ours = progress(Phase::Cancelled, 0);
    let found = FoundRecord::Readable(progress(Phase::Running, 2));
    assert_eq!(resolve(7, &ours, found), Resolution::Retry);
}

#[test]
fn a_job_goes_on_from_a_record_that_says_something_else() {
    let ours = progress(Phase::Running, 1);
    let theirs = progress(Phase::Running, 2);
    let found = FoundRecord::Readable(theirs.clone());
    assert_eq!(resolve(0, &ours, found), Resolution::Merge(theirs));
}

#[test]
fn a_record_that_cannot_be_read_is_replaced_only_by_one_who_knew_it() {
    let ours = progress(Phase::Running, 1);
    let unreadable = || FoundRecord::Unreadable;
    assert_eq!(resolve(0, &ours, unreadable()), Resolution::LeaveAlone);
    assert_eq!(resolve(7, &ours, unreadable()), Resolution::Retry);
}

#[test]
fn a_record_is_written_less_often_the_more_often_it_was_changed() {
    let pauses: Vec<u64> = (0..200).map(retry_delay_ms).collect();
    assert!(pauses.is_sorted());
    assert_eq!(pauses[..3], [0, 0, 100]);
    assert_eq!(pauses[199], 3_200);
}
