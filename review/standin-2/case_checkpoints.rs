//! A job of 1,000 tasks with checkpoints of 3,500 bytes, of which some move when
//! three of eight machines are due for upkeep; then a flow of small jobs.

use crate::{Outcome, Site, record::Record, sleep_ms};
use std::time::{Duration, Instant};

const WIDE: &str = "5850d4aea7f811e7";
const CHAIN: &str = "77c0d4aea7f811e7";
const TASKS: usize = 1_000;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let Some(site) = Site::start(record, None) else {
        return Outcome::CouldNotRun("a node isn't ready".to_owned());
    };
    sleep_ms(3_000);
    let body = format!(
        "{{\"Spec\":\"work=150000 cpu=100 mem=64 ck=3500\",\"Steps\":[{{\
         \"Count\":{TASKS},\"Cpu\":100,\"MemMb\":64,\"EstimateMs\":150000,\
         \"Checkpointing\":true,\"AntiAffinity\":150}}]}}"
    );
    if !accepted(&site, 0, WIDE, &body) {
        return Outcome::CouldNotRun("the job isn't accepted".to_owned());
    }
    sleep_ms(8_000);
    let most = fullest(&site);
    if trouble {
        record.line(format!("wave of {most:?}"));
        site.store.put(
            "op/wave/1",
            &format!(
                "{{\"Wave\":1,\"Machines\":[\"m-{}\",\"m-{}\",\"m-{}\"],\
                 \"DurationS\":26,\"Maximum\":1}}",
                most[0], most[1], most[2]
            ),
        );
    }
    let wave_began = Instant::now();
    let due = if trouble { 3 } else { 0 };
    while site.fleet.upkeeps() < due
        && wave_began.elapsed() < Duration::from_secs(26)
    {
        sleep_ms(100);
    }
    record.line(format!(
        "{} machines have had their upkeep after {:.1} s",
        site.fleet.upkeeps(),
        wave_began.elapsed().as_secs_f64()
    ));
    sleep_ms(4_000);
    let refused = site.store.refused_values();
    record.line(format!(
        "{} tasks of the wide job run; {} writes had a value over the limit, \
         the first {:?}",
        site.fleet.runs_of(WIDE).len(),
        refused.len(),
        refused.first()
    ));
    let flow_began = Instant::now();
    for number in 0..120 {
        if flow_began.elapsed() > Duration::from_secs(30) {
            break;
        }
        let job = format!("1000d4aea7f8{number:04x}");
        let body = "{\"Spec\":\"work=60 cpu=100 mem=16\",\"Steps\":[{\
            \"Count\":100,\"Cpu\":100,\"MemMb\":16,\"EstimateMs\":60,\
            \"AntiAffinity\":13}]}";
        if !accepted(&site, number % 3, &job, body) {
            record.line(format!("{job} isn't accepted"));
        }
        sleep_ms(250);
    }
    sleep_ms(3_000);
    let chain = "{\"Spec\":\"work=200 cpu=100 mem=16\",\"Steps\":[{\"Count\":1,\
        \"Cpu\":100,\"MemMb\":16,\"EstimateMs\":200},{\"Count\":1,\"Cpu\":100,\
        \"MemMb\":16,\"EstimateMs\":200,\"After\":[0]}]}";
    if !accepted(&site, 1, CHAIN, chain) {
        return Outcome::CouldNotRun("the last job isn't accepted".to_owned());
    }
    // It has to have something running in each 3 s until it is done.
    let (began, mut idle_since) = (Instant::now(), Instant::now());
    let mut longest = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(10) {
        if !site.fleet.runs_of(CHAIN).is_empty() {
            idle_since = Instant::now();
        }
        if site.state(2, CHAIN) == "completed" {
            break;
        }
        longest = longest.max(idle_since.elapsed());
        sleep_ms(100);
    }
    let asked = Instant::now();
    let open = (0..120).filter(|number| {
        asked.elapsed() < Duration::from_secs(8)
            && site.state(0, &format!("1000d4aea7f8{number:04x}"))
                != "completed"
    });
    let open = open.count();
    record.line(format!(
        "ends that each runner lists still, of all: {:?}",
        site.fleet.listed_ends()
    ));
    record.line(format!(
        "the last job is {} and had nothing running for {:.1} s; {open} of 120 \
         small ones are shown as open, {} tasks run, {} writes had a value over \
         the limit",
        site.state(2, CHAIN),
        longest.as_secs_f64(),
        site.fleet.runs_of("").len(),
        site.store.refused_values().len()
    ));
    if longest >= Duration::from_secs(3) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn accepted(site: &Site, node: usize, job: &str, body: &str) -> bool {
    let answer = site.call(node, "POST", job, body, 3_000);
    answer.is_some_and(|(status, _)| status == 200)
}

/// Returns the machines with the most runs of the wide job.
fn fullest(site: &Site) -> Vec<usize> {
    let mut counts = [0_usize; 8];
    for (machine, _, _) in site.fleet.runs_of(WIDE) {
        counts[machine] += 1;
    }
    let mut order: Vec<usize> = (0..8).collect();
    order.sort_by_key(|machine| std::cmp::Reverse(counts[*machine]));
    order.truncate(3);
    order
}
