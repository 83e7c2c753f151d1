//! Callers, who reach the nodes as over the platform's entry.

use crate::{
    http::call,
    json::{Json, object, parse},
    nodes::Nodes,
    platform::{Platform, StepDemand},
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";

/// The time that a caller gives each try, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;
const RETRIES: usize = 4;

/// A step of a job.
#[derive(Clone, Default)]
pub struct Step {
    pub count: i64,
    pub cpu: i64,
    pub work_ms: u64,
    pub after: Vec<usize>,
    pub lasts: bool,
    /// How many runs of each task fail by its own fault, the first ones.
    pub failing_runs: i64,
}

/// A job that a caller has handed in.
#[derive(Clone)]
pub struct Submitted {
    pub id: String,
    /// When it was accepted; none if it wasn't.
    pub accepted_ms: Option<u64>,
}

/// The callers; clones share the jobs.
#[derive(Clone)]
pub struct Callers {
    fronts: Vec<SocketAddr>,
    /// Which nodes the entry passes connections to.
    inside: Arc<Mutex<Vec<bool>>>,
    next: Arc<AtomicU64>,
    next_id: Arc<AtomicU64>,
    jobs: Arc<Mutex<Vec<Submitted>>>,
    platform: Platform,
    record: Record,
    stopped: Arc<AtomicBool>,
}

impl Callers {
    pub fn new(
        nodes: &Nodes,
        platform: &Platform,
        record: &Record,
    ) -> Callers {
        let fronts: Vec<SocketAddr> =
            nodes.nodes.iter().map(|node| node.front).collect();
        let callers = Callers {
            inside: Arc::new(Mutex::new(vec![true; fronts.len()])),
            fronts,
            next: Arc::default(),
            next_id: Arc::default(),
            jobs: Arc::default(),
            platform: platform.clone(),
            record: record.clone(),
            stopped: Arc::default(),
        };
        let ready: Vec<SocketAddr> =
            nodes.nodes.iter().map(|node| node.ready).collect();
        for (index, address) in ready.into_iter().enumerate() {
            let callers = callers.clone();
            thread::spawn(move || callers.follow_readiness(index, address));
        }
        callers
    }

    /// Asks a node each second whether it takes calls; one that misses twice
    /// is out until it answers 200.
    fn follow_readiness(&self, index: usize, address: SocketAddr) {
        let mut missed = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let began = Instant::now();
            let second = Duration::from_secs(1);
            let answer =
                call(address, "GET", "/dewspar/readiness", &[], "", second);
            let is_ready = answer.is_some_and(|(status, _)| status == 200);
            missed = if is_ready { 0 } else { missed + 1 };
            let was = std::mem::replace(
                &mut self.inside.lock().unwrap()[index],
                missed < 2,
            );
            if was != (missed < 2) {
                let state = if missed < 2 { "in" } else { "out" };
                self.record
                    .note(&format!("entry: node {} is {state}", index + 1));
            }
            thread::sleep(second.saturating_sub(began.elapsed()));
        }
    }

    fn pick(&self, not: Option<usize>) -> usize {
        let inside = self.inside.lock().unwrap();
        let usable: Vec<usize> =
            (0..self.fronts.len()).filter(|i| inside[*i]).collect();
        let all: Vec<usize> = (0..self.fronts.len()).collect();
        // When fewer than half are in, the entry uses all.
        let from = if 2 * usable.len() < all.len() { all } else { usable };
        let from: Vec<usize> =
            match from.iter().filter(|i| Some(**i) != not).count() {
                0 => from,
                _ => from.into_iter().filter(|i| Some(*i) != not).collect(),
            };
        let turn = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        from[turn % from.len()]
    }

    /// Makes a call with retries at other nodes; returns the last answer.
    pub fn ask(
        &self,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let mut last = None;
        let mut node = None;
        for attempt in 0..=RETRIES {
            let at = self.pick(node);
            node = Some(at);
            let deadline = DEADLINE_MS.to_string();
            let headers = [
                ("Host", HOST),
                ("Content-Type", "application/json"),
                ("Deadline-Ms", &deadline),
            ];
            let path = format!("{PREFIX}{id}");
            let timeout = Duration::from_millis(DEADLINE_MS);
            last =
                call(self.fronts[at], method, &path, &headers, body, timeout);
            let shown = match &last {
                Some((status, body)) => format!("{status} {body}"),
                None => "no answer".to_owned(),
            };
            self.record.note(&format!(
                "{method} {id} at node {} try {attempt}: {shown}",
                at + 1
            ));
            match &last {
                Some((200 | 410 | 404 | 400, _)) => return last,
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        last
    }

    /// Hands a job in, and returns its number among the jobs.
    pub fn submit(&self, steps: &[Step], text: &str) -> usize {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        // Spread over all identifiers, as callers choose them at random.
        let id = format!(
            "{:016x}",
            number.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
        );
        let demands = steps.iter().map(|step| StepDemand {
            cpu: step.cpu,
            work_ms: step.work_ms,
            failing_runs: step.failing_runs,
            lasts: step.lasts,
        });
        self.platform.jobs.add(&id, demands.collect());
        let rows = steps.iter().map(|step| {
            let mut fields = vec![
                ("Count", step.count.into()),
                ("Cpu", step.cpu.into()),
                ("MemMb", 256i64.into()),
                ("EstimateMs", step.work_ms.into()),
            ];
            if !step.after.is_empty() {
                let after = step.after.iter().map(|a| Json::Int(*a as i64));
                fields.push(("After", after.collect::<Vec<_>>().into()));
            }
            if step.lasts {
                fields.push(("LongRunning", true.into()));
            }
            object(fields)
        });
        let body = object(vec![
            ("Spec", text.into()),
            ("Steps", rows.collect::<Vec<_>>().into()),
        ]);
        let job = Submitted { id: id.clone(), accepted_ms: None };
        let index = {
            let mut jobs = self.jobs.lock().unwrap();
            jobs.push(job);
            jobs.len() - 1
        };
        let answer = self.ask("POST", &id, &body.write());
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            self.jobs.lock().unwrap()[index].accepted_ms =
                Some(self.record.now_ms());
        }
        index
    }

    /// Returns the job that was handed in under this number.
    pub fn job(&self, number: usize) -> Submitted {
        self.jobs()[number].clone()
    }

    pub fn jobs(&self) -> Vec<Submitted> {
        self.jobs.lock().unwrap().clone()
    }

    /// Asks for the states of all accepted jobs at once; none where a job gets
    /// no answer.
    pub fn states(&self) -> Vec<(String, Option<String>)> {
        let accepted =
            self.jobs().into_iter().filter(|job| job.accepted_ms.is_some());
        let asked: Vec<_> = accepted
            .map(|job| {
                let callers = self.clone();
                thread::spawn(move || {
                    let state = match callers.ask("GET", &job.id, "") {
                        Some((200, body)) => parse(&body)
                            .map(|b| b.get("State").text().to_owned()),
                        Some((410, _)) => Some("410".to_owned()),
                        _ => None,
                    };
                    (job.id, state)
                })
            })
            .collect();
        asked
            .into_iter()
            .map(|asked| asked.join().expect("a caller"))
            .collect()
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Returns a configuration with one queue for the pool `desk`.
pub fn configuration(version: i64) -> Json {
    object(vec![
        ("Version", version.into()),
        (
            "Routes",
            Json::List(vec![object(vec![
                ("Name", "desk-queue".into()),
                ("Host", HOST.into()),
                ("PathPrefix", PREFIX.into()),
                ("Type", "non_idempotent".into()),
                ("TimeoutMs", (DEADLINE_MS as i64).into()),
                ("TargetLatencyMs", 600i64.into()),
                ("Priority", 0i64.into()),
                ("Service", "desk".into()),
                ("MaxAttempts", 4i64.into()),
                ("Extension", Json::Float(1.6)),
            ])]),
        ),
        (
            "Services",
            Json::List(vec![object(vec![
                ("Name", "desk".into()),
                ("EnforcesCapacity", true.into()),
            ])]),
        ),
        ("Limits", object(vec![])),
    ])
}
