//! The encoding of job progress.

use {
    dewspar::job::{Phase, Progress, TaskRecord},
    quickcheck::quickcheck,
};

fn record(step: u32, index: u32, kind: u8) -> TaskRecord {
    let plain = TaskRecord { step, index, ..TaskRecord::default() };
    match kind % 5 {
        0 => TaskRecord { done: true, run: 1, ..plain },
        1 => TaskRecord { done: true, run: 3, ..plain },
        2 => TaskRecord { unseen: 1, told: Some("w1".to_owned()), ..plain },
        3 => TaskRecord { failed_runs: vec![1, 4], run: 4, ..plain },
        _ => TaskRecord { run: 2, checkpoint: "00ff".into(), ..plain },
    }
}

quickcheck! {
    fn progress_round_trips(kinds: Vec<Option<u8>>, at_ms: u64) -> bool {
        let tasks = (0..).zip(kinds).filter_map(|(number, kind)| {
            Some(record(number / 5, number % 5, kind?))
        });
        let progress = Progress {
            phase: Phase::Running,
            finished_at_ms: at_ms,
            tasks: tasks.collect(),
            ..Progress::default()
        };
        let json = serde_json::to_string(&progress).unwrap();
        serde_json::from_str::<Progress>(&json).unwrap() == progress
    }
}

#[test]
fn decodes_records_without_ranges() {
    let json = r#"{"phase":"running","finished_at_ms":0,"tasks":[
        {"round":0,"step":1,"index":2,"done":true,"run":1}]}"#;
    let progress: Progress = serde_json::from_str(json).unwrap();
    let done = TaskRecord { step: 1, index: 2, ..record(0, 0, 0) };
    assert_eq!(progress.tasks, [done]);
}

#[test]
fn invalid_range_is_refused_by_name() {
    for range in ["0.1", "0:1", "0.1:x", "0.1:3-2", "0.1:0-4294967295"] {
        let json = format!(r#"{{"phase":"running","done":["{range}"]}}"#);
        let error = serde_json::from_str::<Progress>(&json).unwrap_err();
        assert!(error.to_string().contains(range), "{error}");
    }
}
