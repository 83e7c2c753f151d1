//! A client that leaves before its job is accepted cancels it, and is told that
//! there is no such job; the lost write that accepts it is done after that.

use crate::{Outcome, Site, record::Record, sleep_ms, store::Fate};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

const JOB: &str = "42a17fe92dc284b5";

/// After how long the lost write is done.
const LATE: Duration = Duration::from_millis(5_500);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(site) = Site::start(record, None) else {
        return Outcome::CouldNotRun("a node isn't ready".to_owned());
    };
    sleep_ms(3_000);
    if trouble {
        let lost = AtomicBool::new(false);
        let record = record.clone();
        site.store.judge_writes(Box::new(move |body| {
            let accepts = body.contains(&format!("q/in/{JOB}"));
            if accepts && !lost.swap(true, Ordering::SeqCst) {
                record
                    .line("store: this write is done late, and not answered");
                return Fate::DoneLateUnanswered(LATE);
            }
            Fate::Usual
        }));
    }
    let body = "{\"Spec\":\"last=1 cpu=2000 mem=1024\",\"Steps\":[{\"Count\":1,\
        \"Cpu\":2000,\"MemMb\":1024,\"EstimateMs\":900,\"LongRunning\":true}]}";
    // The client leaves at half its objective.
    site.call(0, "POST", JOB, body, 300);
    let Some((status, _)) = site.call(1, "DELETE", JOB, "", 3_000) else {
        return Outcome::CouldNotRun(
            "the cancelling isn't answered".to_owned(),
        );
    };
    if status != 200 && status != 410 {
        return Outcome::CouldNotRun(format!("the cancelling got {status}"));
    }
    // `cancel_ms` and `StopTimeoutMs` after its acknowledgement nothing of the
    // job may run; the write was lost 3 s and more before that.
    sleep_ms(14_000);
    let runs = site.fleet.runs_of(JOB);
    let state = site.state(2, JOB);
    record.line(format!("shown as {state}, runs: {runs:?}"));
    if runs.is_empty() { Outcome::Held } else { Outcome::Broken }
}
