//! Separate processes: stand-ins, nodes, operators.

#![allow(dead_code)] // Each test program uses a part of it.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc,
    time::{Duration, Instant},
};

/// How long anything may take; only a hang is ever stopped by it.
pub const LIMIT: Duration = Duration::from_secs(30);

/// A process that is killed when the test ends early.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("kill").success());
    }

    pub fn wait(mut self) -> i32 {
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status.code().unwrap_or(-1);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("a process didn't end");
    }
}

pub struct Bench {
    dir: PathBuf,
}

impl Bench {
    pub fn new(name: &str) -> Bench {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a folder");
        Bench { dir }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("a file");
        path
    }

    pub fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts the stand-ins; returns their URLs too.
    pub fn platform(&self) -> (Process, String, String) {
        let mut settings = "key_value_address: 127.0.0.1:0\n\
                            vm_list_address: 127.0.0.1:0\n\
                            reboot_ms: 200\nvms:\n"
            .to_owned();
        for n in 1..=4 {
            let rack = format!("{{hall: hall-{n}, rack: rack-{n}}}");
            let vm = rack.replace("{hall", &format!("{{name: vm-{n}, hall"));
            settings += &format!("  - {vm}\n");
        }
        let path = self.write("platform.yaml", &settings);
        let mut child = Command::new(env!("CARGO_BIN_EXE_dewspar"))
            .args(["standin", "platform", "--settings"])
            .arg(path)
            .arg("--history")
            .arg(self.path("history"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("stand-ins");
        let stdout = child.stdout.take().expect("its output");
        let mut lines = BufReader::new(stdout).lines();
        let mut url = || {
            let line = lines.next().expect("a line").expect("text");
            line.rsplit(' ').next().expect("a URL").to_owned()
        };
        let (kv, list) = (url(), url());
        (Process { child }, kv, list)
    }

    /// Starts a node; returns its caller and API addresses too.
    pub fn node(
        &self,
        name: &str,
        kv: &str,
        list: &str,
    ) -> (Process, String, String) {
        let path = self.write_settings(name, kv, list);
        launch(Command::new(dewspard()).arg("--settings").arg(path))
    }

    /// Starts a node that may open so many descriptors.
    pub fn node_with_descriptors(
        &self,
        name: &str,
        kv: &str,
        list: &str,
        descriptors: usize,
    ) -> (Process, String, String) {
        let path = self.write_settings(name, kv, list);
        launch(
            Command::new("sh")
                .arg("-c")
                .arg(format!("ulimit -n {descriptors}; exec \"$0\" \"$@\""))
                .arg(dewspard())
                .arg("--settings")
                .arg(path),
        )
    }

    fn write_settings(&self, name: &str, kv: &str, list: &str) -> PathBuf {
        let settings = format!(
            "node: {name}\nhall: hall-1\n\
             callers: {{address: '127.0.0.1:0', stop_delay_ms: 50, \
             max_connections: 256, max_memory_bytes: 40000000}}\n\
             api: {{address: '127.0.0.1:0', allow_anonymous: true}}\n\
             peers:\n  address: 127.0.0.1:0\n  ca_file: {ca}\n  \
             certificate_file: {cert}\n  key_file: {key}\n\
             platform: {{url: '{kv}', vm_list_url: '{list}'}}\n\
             log: {{format: json}}\n",
            ca = self.path("ca.pem"),
            cert = self.path(&format!("{name}.pem")),
            key = self.path(&format!("{name}.key")),
        );
        self.write(&format!("{name}.yaml"), &settings)
    }
}

/// Starts a node; returns its caller and API addresses too.
fn launch(command: &mut Command) -> (Process, String, String) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("a node");
    let stderr = child.stderr.take().expect("its logs");
    let (sender, started) = mpsc::channel();
    // Somebody must read the logs, or the node would block in the end.
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines() {
            let line = line.expect("text");
            let line: serde_json::Value =
                serde_json::from_str(&line).expect("a JSON line");
            if line["msg"] == "node: started" {
                let _ = sender.send(line);
            }
        }
    });
    let started = started.recv_timeout(LIMIT).expect("a started node");
    let field =
        |name: &str| started[name].as_str().expect("an address").to_owned();
    (Process { child }, field("callers"), field("api"))
}

pub fn dewspard() -> PathBuf {
    let dewspar = Path::new(env!("CARGO_BIN_EXE_dewspar"));
    dewspar.with_file_name("dewspard")
}

pub fn dewspar(api: &str, arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dewspar"))
        .args(arguments)
        .env("DEWSPAR_API", format!("http://{api}"))
        .output()
        .expect("dewspar");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let code = output.status.code().unwrap_or(-1);
    (code, text(output.stdout), text(output.stderr))
}

/// Sends a request as a caller would; returns status, headers and body.
pub fn ask(address: &str, head: &str, body: &str) -> (u16, String, String) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let length = body.len();
    let request = format!(
        "{head}\r\nhost: dewspar\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}",
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    (status.expect("a status"), head.to_owned(), body.to_owned())
}

/// Sends a request without a body; returns the status of the answer, if there
/// is one.
pub fn try_ask(address: &str, head: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    let request = format!("{head}\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    // OK to ignore: what came before a reset may be a whole answer.
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1)?.parse().ok()
}

pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what} didn't come about");
}

/// The services and their budgets of the local example.
pub const FLEET: &str = include_str!("../../../../examples/local/fleet.yaml");
