//! Stand-ins for the platform, its runners and clients, and the cases that use
//! them. `standin CASE RECORD` exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod case_checkpoints;
mod case_gang;
mod case_give_up;
mod case_late_accept;
mod case_unstable;
mod http;
mod json;
mod nodes;
mod record;
mod runners;
mod store;

use http::{Connections, serve};
use record::Record;
use runners::Fleet;
use std::{net::TcpListener, path::PathBuf, sync::Arc, time::Duration};
use store::Store;

pub const HOST: &str = "jeye25.example";
pub const PREFIX: &str = "/sebo924/";

/// What a case may find.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// A small deployment: the platform, eight runners of one pool, three nodes.
pub struct Site {
    pub store: Store,
    pub fleet: Fleet,
    pub nodes: Vec<nodes::Node>,
    pub record: Record,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Site {
    pub fn start(
        record: &Record,
        max_connections: Option<usize>,
    ) -> Option<Site> {
        let store = Store::new();
        let fleet =
            Fleet::start(&store, record, "registry", 8, max_connections);
        store.put(
            "op/config",
            &format!(
                "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\
                 \"PathPrefix\":\"{PREFIX}\",\"Type\":\"non_idempotent\",\
                 \"TimeoutMs\":3000,\"TargetLatencyMs\":600,\"Priority\":0,\
                 \"Service\":\"registry\",\"MaxAttempts\":4,\"Extension\":2.2}}],\
                 \"Services\":[{{\"Name\":\"registry\",\"EnforcesCapacity\":true}}],\
                 \"Limits\":{{}}}}"
            ),
        );
        let bind = || TcpListener::bind("127.0.3.1:0").expect("a free port");
        let (kv, machines) = (bind(), bind());
        let kv_address = kv.local_addr().unwrap();
        let machines_address = machines.local_addr().unwrap();
        let own = store.clone();
        let handler = Arc::new(move |request| own.answer(&request));
        serve(kv, Connections::default(), handler);
        let own = fleet.clone();
        let handler = Arc::new(move |request| own.machine_service(&request));
        serve(machines, Connections::default(), handler);
        let folder = nodes::folder();
        let nodes = (0..3).map(|number| {
            nodes::Node::start(
                number,
                &folder,
                kv_address,
                machines_address,
                record,
            )
        });
        let nodes: Vec<nodes::Node> = nodes.collect();
        let record = record.clone();
        let site = Site { store, fleet, nodes, record, folder };
        nodes::all_ready(&site.nodes).then_some(site)
    }

    /// Makes a client's call to a node, and records it with its answer.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        job: &str,
        body: &str,
        wait_ms: u64,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{job}");
        let wait = Duration::from_millis(wait_ms);
        let shown = body.chars().take(160).collect::<String>();
        self.record.line(format!(
            "client to node {}: {method} {path} {shown}",
            node + 1
        ));
        let front = self.nodes[node].front;
        let answer = http::call(front, method, HOST, &path, body, wait);
        let told = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(format!(
            "node {} to client: {method} {path}: {told}",
            node + 1
        ));
        answer
    }

    /// Returns the state that a node shows of a job.
    pub fn state(&self, node: usize, job: &str) -> String {
        let answer = self.call(node, "GET", job, "", 3_000);
        let Some((status, body)) = answer else {
            return "no answer".to_owned();
        };
        let state = json::Json::parse(&body).map(|body| body.text("State"));
        match status {
            200 => state.unwrap_or_default(),
            status => status.to_string(),
        }
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "give-up" => case_give_up::run(&record, trouble),
        "checkpoints" => case_checkpoints::run(&record, trouble),
        "gang" => case_gang::run(&record, trouble),
        "late-accept" => case_late_accept::run(&record, trouble),
        "unstable" => case_unstable::run(&record, trouble),
        _ => Outcome::CouldNotRun(format!("there is no case `{case}`")),
    };
    let (code, told) = match &outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::CouldNotRun(why) => (2, format!("couldn't run: {why}")),
    };
    record.line(&told);
    println!("{told}");
    std::process::exit(code);
}
