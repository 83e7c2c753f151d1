//! A job of many steps, each of which names all steps before it.

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
const WORKERS: usize = 8;
const TRAFFIC_MS: u64 = 30_000;
const FINISH_MS: u64 = 14_000;
const JOB_AT_MS: u64 = 8_000;
const STEPS: usize = 32;

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
    let mut nodes = Nodes::start(NODES, platform.address, &record)?;
    nodes.wait_until_ready()?;
    let callers = Callers::new(&nodes, &platform, &record);
    let small =
        [Step { count: 2, cpu: 1_000, work_ms: 300, ..Step::default() }];
    let began_ms = record.now_ms();
    let mut calls = Vec::new();
    let mut large_is_sent = false;
    record.note("traffic begins");
    while record.now_ms() < began_ms + TRAFFIC_MS {
        if !large_is_sent && record.now_ms() >= began_ms + JOB_AT_MS {
            large_is_sent = true;
            let (callers, steps) = (callers.clone(), pipeline(trouble));
            record.note("the job of many steps is handed in");
            calls
                .push(spawn(move || callers.submit(&steps, "nightly ledger")));
        }
        let (callers, small) = (callers.clone(), small.clone());
        calls.push(spawn(move || callers.submit(&small, "lookup")));
        sleep(Duration::from_millis(250));
    }
    record.note("traffic ends");
    let ended_ms = record.now_ms();
    for call in calls {
        call.join().map_err(|_| "a caller failed")?;
    }
    let left_ms = (ended_ms + FINISH_MS).saturating_sub(record.now_ms());
    sleep(Duration::from_millis(left_ms));
    record.note("all accepted jobs are asked for");
    let states = callers.states();
    callers.stop();
    let mut broken = Vec::new();
    for (id, state) in &states {
        match state.as_deref() {
            None => broken.push(format!("LOST: job {id} gets no answer")),
            Some("410") => broken.push(format!("LOST: job {id} isn't known")),
            Some("queued" | "running") => {
                broken.push(format!(
                    "LOST: job {id} isn't done, with all workers idle"
                ));
            }
            Some(_) => {}
        }
    }
    for (number, ready) in nodes.ready().iter().enumerate() {
        record.note(&format!(
            "node {} answers the readiness check: {ready}",
            number + 1
        ));
    }
    for node in nodes.ended() {
        broken.push(format!("{node} has ended by itself"));
    }
    let refused =
        callers.jobs().iter().filter(|job| job.accepted_ms.is_none()).count();
    record.note(&format!(
        "{} jobs accepted, {refused} not accepted",
        states.len()
    ));
    for line in &broken {
        record.note(line);
    }
    Ok(broken)
}

/// Returns the steps of a job in which each follows the one before it. With
/// `all`, each names all steps before it, which asks for the same order.
fn pipeline(all: bool) -> Vec<Step> {
    let step = |number: usize| {
        let first = if all { 0 } else { number.saturating_sub(1) };
        let after = (first..number).collect();
        Step { count: 1, cpu: 1_000, work_ms: 100, after, ..Step::default() }
    };
    (0..STEPS).map(step).collect()
}
