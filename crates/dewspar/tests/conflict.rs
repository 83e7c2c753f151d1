//! Resolution of write conflicts on a job's progress record.

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
fn absent_record_is_written_again() {
    for expected in [0, 7] {
        let ours = progress(Phase::Running, 1);
        let found = FoundRecord::Absent;
        assert_eq!(resolve(expected, &ours, found), Resolution::Retry);
    }
}

#[test]
fn identical_record_counts_as_stored() {
    let ours = progress(Phase::Running, 1);
    let found = FoundRecord::Readable(ours.clone());
    assert_eq!(resolve(7, &ours, found), Resolution::Stored);
}

#[test]
fn stored_final_phase_takes_precedence() {
    for ours in [Phase::Queued, Phase::Running, Phase::Cancelled] {
        let theirs = progress(Phase::Completed, 0);
        let found = FoundRecord::Readable(theirs.clone());
        let resolution = resolve(7, &progress(ours, 0), found);
        assert_eq!(resolution, Resolution::Finished(theirs));
    }
}

#[test]
fn identical_final_record_is_written_again() {
    // The same transaction deletes the job's other keys, which may still
    // exist.
    let ours = progress(Phase::Completed, 0);
    let found = FoundRecord::Readable(ours.clone());
    assert_eq!(resolve(7, &ours, found), Resolution::Finished(ours));
}

#[test]
fn local_final_phase_replaces_a_running_record() {
    let ours = progress(Phase::Cancelled, 0);
    let found = FoundRecord::Readable(progress(Phase::Running, 2));
    assert_eq!(resolve(7, &ours, found), Resolution::Retry);
}

#[test]
fn differing_record_is_merged() {
    let ours = progress(Phase::Running, 1);
    let theirs = progress(Phase::Running, 2);
    let found = FoundRecord::Readable(theirs.clone());
    assert_eq!(resolve(0, &ours, found), Resolution::Merge(theirs));
}

#[test]
fn unreadable_record_is_replaced_only_if_an_earlier_version_is_known() {
    let ours = progress(Phase::Running, 1);
    let unreadable = || FoundRecord::Unreadable;
    assert_eq!(resolve(0, &ours, unreadable()), Resolution::LeaveAlone);
    assert_eq!(resolve(7, &ours, unreadable()), Resolution::Retry);
}

#[test]
fn retry_delay_grows_with_consecutive_conflicts() {
    let pauses: Vec<u64> = (0..200).map(retry_delay_ms).collect();
    assert!(pauses.is_sorted());
    assert_eq!(pauses[..3], [0, 0, 100]);
    assert_eq!(pauses[199], 3_200);
}
