//! Three scheduled jobs, each a gang of 32 small tasks, that fall due at the
//! same moments. Together they are more tasks than one runner takes
//! connections, and the scheduler puts all of them on one runner.

use crate::{Outcome, Site, record::Record, sleep_ms};
use std::{
    sync::atomic::Ordering,
    time::{SystemTime, UNIX_EPOCH},
};

const JOBS: [&str; 3] =
    ["9400db9cb81cddc9", "5850d4aea7f811e7", "42a17fe92dc284b5"];
const MEMBERS: u32 = 32;
const ROUNDS: u32 = 3;
const INTERVAL_MS: u64 = 10_000;

/// The connections that a runner takes at a time.
const LIMIT: usize = 64;

/// How far apart the jobs fall due where they don't meet.
const APART_MS: u64 = 2_500;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(site) = Site::start(record, Some(LIMIT)) else {
        return Outcome::CouldNotRun("a node isn't ready".to_owned());
    };
    sleep_ms(5_000);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let first_ms = now.as_millis() as u64 + 3_000;
    for (number, job) in (0u64..).zip(JOBS) {
        let apart_ms = if trouble { 0 } else { APART_MS };
        let start_ms = first_ms + number * apart_ms;
        let body = format!(
            "{{\"Spec\":\"work=800 cpu=300 mem=128 gang={MEMBERS}\",\"Steps\":[{{\
             \"Count\":{MEMBERS},\"Cpu\":300,\"MemMb\":128,\"EstimateMs\":800,\
             \"AllOrNothing\":true}}],\"RepeatCount\":{ROUNDS},\
             \"StartAtMs\":{start_ms},\"IntervalMs\":{INTERVAL_MS}}}"
        );
        let answer = site.call(0, "POST", job, &body, 3_000);
        if answer.is_none_or(|(status, _)| status != 200) {
            return Outcome::CouldNotRun("a job isn't accepted".to_owned());
        }
    }
    sleep_ms(3_000 + INTERVAL_MS * u64::from(ROUNDS) + 8_000);
    for job in JOBS {
        record.line(format!("{job} is shown as {}", site.state(1, job)));
    }
    for (number, connections) in site.fleet.connections.iter().enumerate() {
        let most = connections.most.load(Ordering::SeqCst);
        let refused = connections.refused.load(Ordering::SeqCst);
        record.line(format!(
            "runner m-{number}: {most} connections at most, {refused} refused"
        ));
    }
    let alone = site.fleet.ends("alone");
    record.line(format!("{alone} runs ended `alone`"));
    if alone == 0 { Outcome::Held } else { Outcome::Broken }
}
