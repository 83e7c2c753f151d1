//! The project's nodes, as processes of their own.

use crate::{http::call, record::Record};
use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

/// A node and its process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// The nodes; dropping them ends their processes.
pub struct Nodes {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    record: Record,
}

fn free_ports(ip: IpAddr, count: usize) -> std::io::Result<Vec<u16>> {
    let listeners = (0..count).map(|_| TcpListener::bind((ip, 0)));
    let listeners = listeners.collect::<Result<Vec<_>, _>>()?;
    listeners
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}

impl Nodes {
    /// Starts nodes whose store and VM service are at this address.
    pub fn start(
        count: usize,
        platform: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Nodes> {
        let folder = std::env::temp_dir()
            .join(format!("dewspar-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut nodes =
            Nodes { nodes: Vec::new(), folder, record: record.clone() };
        for number in 1..=count {
            // Nodes tell each other apart by their addresses.
            let ip: IpAddr = [127, 0, 0, 10 + number as u8].into();
            let ports = free_ports(ip, 5)?;
            let name = format!("edge-{number}");
            let settings = nodes.folder.join(format!("{name}.yaml"));
            let (first, last) =
                (ports[2].min(ports[3]), ports[2].max(ports[3]));
            fs::write(
                &settings,
                format!(
                    "node: {name}\nhall: hall-1\nhalls: [\"hall-1\"]\ntolerate:\n  halls: 0\n\
                 callers_address: {ip}:{}\nreadiness_address: {ip}:{}\n\
                 metrics_address: {ip}:{first}\nrelay_address: {ip}:{last}\n\
                 internal:\n  ip: {ip}\n  first_port: {first}\n  last_port: {last}\n\
                 platform:\n  store: {platform}\n  vm_service: {platform}\n  adviser:\n  root: dewspar/\n\
                 machine:\n  cpu_millis: 0.25e3\n  link_mbps: 1000.0\n\
                 timing:\n  config_apply_ms: 2000\n  max_lease_ms: 10000\n  kept_ms: 120000\n\
                 \x20 stop_grace_ms: 6000\n  stop_timeout_ms: 400\n  duty_gap_ms: 3000\n\
                 \x20 notice_ms: 4500\n  disturbance_ms: 4000\n  min_store_lease_ms: 1000\n\
                 \x20 evacuate_ms:\n  max_stretch_ms: 5000\n  remote_factor: 2\n\
                 log:\n  format: json\n  level: info\n",
                    ports[0], ports[1],
                ),
            )?;
            let log = nodes.folder.join(format!("{name}.log"));
            let address = |port: u16| SocketAddr::new(ip, port);
            nodes.nodes.push(Node {
                name,
                front: address(ports[0]),
                ready: address(ports[1]),
                settings,
                log,
                process: None,
            });
            nodes.launch(number - 1)?;
        }
        Ok(nodes)
    }

    /// Starts a node's process as the deploy file does.
    pub fn launch(&mut self, index: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[index];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let process = Command::new("target/release/dewspard")
            .arg("jobs")
            .env("DEWSPAR_BOOT", &node.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.record.note(&format!(
            "{} is process {}",
            node.name,
            process.id()
        ));
        node.process = Some(process);
        Ok(())
    }

    /// Returns the nodes whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.nodes.iter_mut().filter_map(|node| {
            let status = node.process.as_mut()?.try_wait().ok()??;
            Some(format!("{} ({status})", node.name))
        });
        ended.collect()
    }

    /// Waits until all nodes take calls and one of them schedules.
    pub fn wait_until_ready(&self) -> Result<(), Box<dyn std::error::Error>> {
        for _ in 0..100 {
            if self.ready().iter().all(|ready| *ready) {
                // The first holder has read the fleet by then.
                std::thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the nodes don't become ready".into())
    }

    /// Returns which nodes answer the readiness check with 200 in time.
    pub fn ready(&self) -> Vec<bool> {
        let ready = self.nodes.iter().map(|node| {
            let timeout = Duration::from_millis(500);
            let answer = call(
                node.ready,
                "GET",
                "/dewspar/readiness",
                &[],
                "",
                timeout,
            );
            answer.is_some_and(|(status, _)| status == 200)
        });
        ready.collect()
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(process) = &mut node.process {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
