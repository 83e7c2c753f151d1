//! A lasting job of five tasks. The runner of one of them crashes, then the one
//! on which that task is started next, and so on, five runners in all; the
//! other tasks are at work on sound runners.

use crate::{Outcome, Site, record::Record, sleep_ms};
use std::time::{Duration, Instant};

const JOB: &str = "5850d4aea7f811e7";

/// How long a runner is down.
const DOWN: Duration = Duration::from_millis(1_000);

/// How long after the task was started its runner crashes.
const AFTER_START: Duration = Duration::from_millis(400);

const CRASHES: usize = 5;

/// How many tasks may be away at once through the system's doing.
const ALLOW_MISS: usize = 1;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(site) = Site::start(record, None) else {
        return Outcome::CouldNotRun("a node isn't ready".to_owned());
    };
    sleep_ms(3_000);
    let body = format!(
        "{{\"Spec\":\"last=1 cpu=2000 mem=1024\",\"Steps\":[{{\"Count\":5,\
         \"Cpu\":2000,\"MemMb\":1024,\"EstimateMs\":900,\"LongRunning\":true,\
         \"AntiAffinity\":1,\"AllowMiss\":{ALLOW_MISS}}}]}}"
    );
    if site.call(0, "POST", JOB, &body, 3_000).is_none_or(|(s, _)| s != 200) {
        return Outcome::CouldNotRun("the job isn't accepted".to_owned());
    }
    sleep_ms(6_000);
    if site.fleet.runs_of(JOB).len() != 5 {
        return Outcome::CouldNotRun("the tasks don't start".to_owned());
    }
    for _ in 0..if trouble { CRASHES } else { 0 } {
        let Some(machine) = machine_of_first(&site) else { break };
        site.fleet.crash(machine, DOWN);
        sleep_ms(DOWN.as_millis() as u64);
    }
    record.line("no more crashes from here on");
    sleep_ms(10_000);
    let state = site.state(1, JOB);
    let runs = site.fleet.runs_of(JOB).len();
    let stopped = site.fleet.stopped_at_work();
    record.line(format!(
        "shown as {state}, {runs} tasks run; {stopped} were at work on sound \
         runners and were told to stop"
    ));
    // Each one after the first few had that many others away by such an order.
    if stopped > ALLOW_MISS { Outcome::Broken } else { Outcome::Held }
}

/// Returns where the first task has run for a while.
fn machine_of_first(site: &Site) -> Option<usize> {
    let began = Instant::now();
    let first = format!("{JOB}.0.0.0");
    while began.elapsed() < Duration::from_secs(8) {
        let runs = site.fleet.runs_of(JOB);
        let first = runs
            .iter()
            .find(|(_, task, age)| *task == first && *age >= AFTER_START);
        if let Some((machine, _, _)) = first {
            return Some(*machine);
        }
        sleep_ms(5);
    }
    None
}
