//! A task fails once by its own fault, in a pool whose other worker has no room
//! left beside tasks that last.

use crate::{
    callers::{Callers, Step, configuration},
    nodes::Nodes,
    platform::Platform,
    record::Record,
};
use std::{
    error::Error,
    thread::sleep,
    time::{Duration, Instant},
};

const NODES: usize = 3;
const WORKERS: usize = 2;
const WATCHED: Duration = Duration::from_secs(40);
/// For how long a job may have nothing running.
const MOST_WAIT: Duration = Duration::from_secs(3);

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
    let lasting = Step {
        count: 5,
        cpu: 6_000,
        work_ms: 900,
        lasts: true,
        ..Step::default()
    };
    callers.submit(&[lasting], "ledger sync");
    sleep(Duration::from_secs(4));
    let failing_runs = if trouble { 1 } else { 0 };
    let step = Step {
        count: 1,
        cpu: 4_000,
        work_ms: 500,
        failing_runs,
        ..Step::default()
    };
    let number = callers.submit(&[step], "claim");
    let job = callers.job(number);
    if job.accepted_ms.is_none() {
        return Err("the job isn't accepted".into());
    }
    let accepted = Instant::now();
    // Other work of the queue, which shows that both workers take starts.
    let other = Step { count: 1, cpu: 4_000, work_ms: 500, ..Step::default() };
    let mut others = Vec::new();
    let mut state = String::new();
    while accepted.elapsed() < WATCHED {
        others.push(callers.submit(&[other.clone()], "other claim"));
        sleep(Duration::from_secs(2));
        state = callers
            .ask("GET", &job.id, "")
            .map_or_else(String::new, |(_, body)| body);
        if state.contains("completed") {
            break;
        }
    }
    callers.stop();
    let is_open = !state.contains("completed");
    let (waits, runs) = platform.history.waits(&job.id, accepted, is_open);
    let wait = waits.into_iter().max().unwrap_or_default();
    let served = others.iter().filter(|number| {
        let id = callers.job(**number).id;
        callers
            .ask("GET", &id, "")
            .is_some_and(|(_, body)| body.contains("completed"))
    });
    let summary = format!(
        "job {}: {state}, {runs} runs, nothing running for {} ms at most; {} of {} other jobs completed meanwhile",
        job.id,
        wait.as_millis(),
        served.count(),
        others.len(),
    );
    record.note(&summary);
    println!("{summary}");
    if wait <= MOST_WAIT {
        return Ok(Vec::new());
    }
    let broken = format!(
        "LOST: job {} has nothing running for {} ms, its pool uses 30 of 64 cores, and one worker is empty",
        job.id,
        wait.as_millis(),
    );
    record.note(&broken);
    Ok(vec![broken])
}
