//! Many short tasks end on a worker while the store is down.

use crate::{
    callers::{Callers, Step, configuration},
    nodes::Nodes,
    platform::Platform,
    record::Record,
};
use std::{
    error::Error,
    thread::{sleep, spawn},
    time::Duration,
};

const NODES: usize = 3;
const WORKERS: usize = 2;
const JOBS: usize = 100;
const TASKS: i64 = 32;
const DOWN_AFTER: Duration = Duration::from_millis(1_000);
const DOWN_FOR: Duration = Duration::from_millis(4_500);
const MOST: Duration = Duration::from_secs(60);

/// Plays the case; returns how the rule was broken.
pub fn play(
    record: &str,
    trouble: bool,
) -> Result<Vec<String>, Box<dyn Error>> {
    let record = Record::create(record)?;
    let platform = Platform::start(&record)?;
    for number in 0..WORKERS {
        platform.add_vm(&format!("m-{number:04x}"), "desk", 32_000)?;
    }
    platform.store.write("op/config", &configuration(7));
    let nodes = Nodes::start(NODES, platform.address, &record)?;
    nodes.wait_until_ready()?;
    let callers = Callers::new(&nodes, &platform, &record);
    let job =
        [Step { count: TASKS, cpu: 500, work_ms: 400, ..Step::default() }];
    record.note("jobs are handed in");
    let calls: Vec<_> = (0..JOBS)
        .map(|_| {
            let (callers, job) = (callers.clone(), job.clone());
            spawn(move || callers.submit(&job, "photo match"))
        })
        .collect();
    for call in calls {
        call.join().map_err(|_| "a caller failed")?;
    }
    sleep(DOWN_AFTER);
    if trouble {
        record.note("the store goes down");
        platform.store.go_down();
        sleep(DOWN_FOR);
        platform.store.come_back();
        record.note("the store is back");
    }
    let until = std::time::Instant::now() + MOST;
    loop {
        sleep(Duration::from_secs(2));
        let open = callers.states().into_iter().filter(|(_, state)| {
            !matches!(
                state.as_deref(),
                Some("completed" | "failed" | "cancelled")
            )
        });
        if open.count() == 0 || std::time::Instant::now() > until {
            break;
        }
    }
    // The last ends are taken note of by then.
    sleep(Duration::from_secs(2));
    callers.stop();
    let accepted =
        callers.jobs().iter().filter(|job| job.accepted_ms.is_some()).count();
    let tasks = accepted as i64 * TASKS;
    let broken = platform.history.twice();
    let summary = format!(
        "{accepted} jobs accepted, {tasks} tasks, {} starts, {} of them break the rule",
        platform.history.starts(),
        broken.len(),
    );
    record.note(&summary);
    println!("{summary}");
    for line in &broken {
        record.note(line);
    }
    Ok(broken)
}
