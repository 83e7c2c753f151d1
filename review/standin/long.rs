//! A job whose tasks take ten minutes.

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
const WORKERS: usize = 4;
const WATCHED: Duration = Duration::from_secs(45);
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
    let work_ms = if trouble { 600_000 } else { 30_000 };
    let count = WORKERS as i64;
    let step = Step { count, cpu: 17_000, work_ms, ..Step::default() };
    let job = callers.job(callers.submit(&[step], "overnight batch"));
    if job.accepted_ms.is_none() {
        return Err("the job isn't accepted".into());
    }
    let accepted = Instant::now();
    let mut state = String::new();
    while accepted.elapsed() < WATCHED && !state.contains("completed") {
        sleep(Duration::from_secs(1));
        let answer = callers.ask("GET", &job.id, "");
        state = answer.map_or_else(String::new, |(_, body)| body);
    }
    callers.stop();
    let is_open = !state.contains("completed");
    let (waits, runs) = platform.history.waits(&job.id, accepted, is_open);
    let long: Vec<String> = waits
        .iter()
        .filter(|wait| **wait > MOST_WAIT)
        .map(|wait| format!("{} ms", wait.as_millis()))
        .collect();
    let summary = format!(
        "job {}: {state}, {runs} runs of {count} tasks, nothing running for {long:?}",
        job.id,
    );
    record.note(&summary);
    println!("{summary}");
    if long.is_empty() {
        return Ok(Vec::new());
    }
    let broken = format!(
        "LOST: job {} has nothing running for {long:?}, and all workers are empty",
        job.id,
    );
    record.note(&broken);
    Ok(vec![broken])
}
