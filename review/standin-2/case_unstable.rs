//! A lasting job whose one task may run on one machine only, which crashes
//! twice soon after the task was started there and is sound from then on.

use crate::{Outcome, Site, record::Record, sleep_ms};
use std::time::{Duration, Instant};

const JOB: &str = "5850d4aea7f811e7";

/// How long the machine is down for each time.
const DOWN: Duration = Duration::from_millis(1_000);

/// How long after the task was started the machine crashes.
const AFTER_START: Duration = Duration::from_millis(400);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(site) = Site::start(record, None) else {
        return Outcome::CouldNotRun("a node isn't ready".to_owned());
    };
    sleep_ms(3_000);
    let body = "{\"Spec\":\"last=1 cpu=2000 mem=1024\",\"Steps\":[{\"Count\":1,\
        \"Cpu\":2000,\"MemMb\":1024,\"EstimateMs\":900,\"LongRunning\":true,\
        \"Requirements\":\"b\"}]}";
    if site.call(0, "POST", JOB, body, 3_000).is_none_or(|(s, _)| s != 200) {
        return Outcome::CouldNotRun("the job isn't accepted".to_owned());
    }
    if !wait_for_run(&site, Duration::ZERO, 8) {
        return Outcome::CouldNotRun("the task doesn't start".to_owned());
    }
    let crashes = if trouble { 2 } else { 0 };
    for _ in 0..crashes {
        if !wait_for_run(&site, AFTER_START, 10) {
            return Outcome::CouldNotRun("the task doesn't start".to_owned());
        }
        site.fleet.crash(0, DOWN);
        sleep_ms(DOWN.as_millis() as u64);
    }
    record.line("no more crashes from here on");
    // The 4 s before the 3 s in which it has to run begin 6 s after its last
    // run at the latest; all of that is calm.
    sleep_ms(6_000 + 4_000);
    let began = Instant::now();
    let mut ran = false;
    while began.elapsed() < Duration::from_secs(3) {
        ran |= !site.fleet.runs_of(JOB).is_empty();
        sleep_ms(20);
    }
    record.line(format!("ran in the last 3 s: {ran}"));
    // How much longer it takes, for the record.
    let late = Instant::now();
    while !ran && late.elapsed() < Duration::from_secs(40) {
        if !site.fleet.runs_of(JOB).is_empty() {
            break;
        }
        sleep_ms(20);
    }
    record.line(format!(
        "{:.1} s after the last crash ended: runs {:?}, shown as {}",
        (late.elapsed() + Duration::from_secs(13)).as_secs_f64(),
        site.fleet.runs_of(JOB),
        site.state(1, JOB)
    ));
    if ran { Outcome::Held } else { Outcome::Broken }
}

/// Waits until the task has run for so long.
fn wait_for_run(site: &Site, least: Duration, most_s: u64) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(most_s) {
        if site.fleet.runs_of(JOB).iter().any(|(_, _, age)| *age >= least) {
            return true;
        }
        sleep_ms(5);
    }
    false
}
