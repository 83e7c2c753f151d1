//! The project's daemon, one process a node, as the deploy file starts it.

use crate::{http, record::Record};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub struct Node {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a folder of this run alone.
pub fn folder() -> PathBuf {
    let name = format!("dewspar-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

impl Node {
    /// Starts node `number` with the settings of a small deployment.
    pub fn start(
        number: usize,
        folder: &Path,
        store: SocketAddr,
        machines: SocketAddr,
        record: &Record,
    ) -> Node {
        let ip = format!("127.0.1.{}", number + 1);
        let held: Vec<TcpListener> = (0..5)
            .map(|_| {
                TcpListener::bind(format!("{ip}:0")).expect("a free port")
            })
            .collect();
        let mut ports: Vec<u16> =
            held.iter().map(|l| l.local_addr().unwrap().port()).collect();
        ports.sort_unstable();
        drop(held);
        let [front, ready, metrics, relay, last] = ports[..] else {
            unreachable!("five ports")
        };
        let name = format!("edge-centro-{}", number + 1);
        // As deploy/entry.yaml, filled for this node.
        let settings = format!(
            "node: {name}\nhall: centro\nhalls: [\"centro\"]\ntolerate:\n  halls: 0\n\
             callers_address: {ip}:{front}\nreadiness_address: {ip}:{ready}\n\
             metrics_address: {ip}:{metrics}\nrelay_address: {ip}:{relay}\n\
             internal:\n  ip: {ip}\n  first_port: {last}\n  last_port: {last}\n\
             platform:\n  store: {store}\n  vm_service: {machines}\n  root: dewspar/\n\
             machine:\n  cpu_millis: 0.25e3\n  link_mbps: 1000.0\n\
             timing:\n  config_apply_ms: 2000\n  max_lease_ms: 10000\n  kept_ms: 120000\n  \
             stop_grace_ms: 6000\n  stop_timeout_ms: 400\n  duty_gap_ms: 3000\n  \
             notice_ms: 4500\n  disturbance_ms: 4000\n  min_store_lease_ms: 1000\n  \
             max_stretch_ms: 5000\n  remote_factor: 2\n\
             log:\n  format: json\n  level: info\n"
        );
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("a settings file");
        let log =
            File::create(folder.join(format!("{name}.log"))).expect("a log");
        let mut command = Command::new("target/release/dewspard");
        command.arg("jobs").env("DEWSPAR_BOOT", &path);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| {
            eprintln!("target/release/dewspard: {error}");
            std::process::exit(2);
        });
        record.line(format!("node {name}: started, process {}", child.id()));
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        Node { child, front: address(front), ready: address(ready) }
    }

    fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let path = "/dewspar/readiness";
        let answer = http::call(self.ready, "GET", "node", path, "", wait);
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Waits until all nodes are ready; returns whether they are.
pub fn all_ready(nodes: &[Node]) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(15) {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
