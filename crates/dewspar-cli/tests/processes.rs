//! The whole path in separate processes: stand-ins, three nodes, operators.

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
const LIMIT: Duration = Duration::from_secs(30);

/// A process that is killed when the test ends early.
struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("kill").success());
    }

    fn wait(mut self) -> i32 {
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

struct Bench {
    dir: PathBuf,
}

impl Bench {
    fn new(name: &str) -> Bench {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a folder");
        Bench { dir }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("a file");
        path
    }

    fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts the stand-ins; returns their URLs too.
    fn platform(&self) -> (Process, String, String) {
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
    fn node(
        &self,
        name: &str,
        kv: &str,
        list: &str,
    ) -> (Process, String, String) {
        let settings = format!(
            "node: {name}\nhall: hall-1\n\
             callers: {{address: '127.0.0.1:0', stop_delay_ms: 50}}\n\
             api: {{address: '127.0.0.1:0', allow_anonymous: true}}\n\
             peers:\n  address: 127.0.0.1:0\n  ca_file: {ca}\n  \
             certificate_file: {cert}\n  key_file: {key}\n\
             platform: {{url: '{kv}', vm_list_url: '{list}'}}\n\
             log: {{format: json}}\n",
            ca = self.path("ca.pem"),
            cert = self.path(&format!("{name}.pem")),
            key = self.path(&format!("{name}.key")),
        );
        let path = self.write(&format!("{name}.yaml"), &settings);
        let mut child = Command::new(dewspard())
            .arg("--settings")
            .arg(path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a node");
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
        let field = |name: &str| {
            started[name].as_str().expect("an address").to_owned()
        };
        (Process { child }, field("callers"), field("api"))
    }
}

fn dewspard() -> PathBuf {
    let dewspar = Path::new(env!("CARGO_BIN_EXE_dewspar"));
    dewspar.with_file_name("dewspard")
}

fn dewspar(api: &str, arguments: &[&str]) -> (i32, String, String) {
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
fn ask(address: &str, head: &str, body: &str) -> (u16, String, String) {
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

fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        if done() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what} didn't come about");
}

const FLEET: &str = include_str!("../../../examples/local/fleet.yaml");
const WAVE: &str = include_str!("../../../examples/local/wave.yaml");

#[test]
fn whole_path_in_separate_processes() {
    let bench = Bench::new("whole-path");
    let certs = bench.path("");
    let issue = ["standin", "certs", "--dir", &certs, "n1", "n2", "n3"];
    assert_eq!(dewspar("-", &issue).0, 0);
    let (platform, kv, list) = bench.platform();
    let names = ["n1", "n2", "n3"];
    let nodes = names.map(|name| bench.node(name, &kv, &list));
    let api = nodes[0].2.clone();

    // An operator writes the fleet, reads it and sees the change.
    let fleet = bench.write("fleet.yaml", FLEET).display().to_string();
    let (code, _, error) = dewspar(&api, &["diff", "-f", &fleet]);
    assert_eq!((code, error.as_str()), (1, ""));
    let (code, out, error) = dewspar(&api, &["apply", "-f", &fleet]);
    assert_eq!((code, error.as_str()), (0, ""), "{out}");
    wait_for("the fleet", || {
        let get = ["get", "service", "-o", "json"];
        nodes.iter().all(|node| {
            let (_, out, _) = dewspar(&node.2, &get);
            let services: serde_json::Value =
                serde_json::from_str(&out).unwrap_or_default();
            let up = |service: &serde_json::Value| {
                service["status"]["tasks"]["running"] == 4
            };
            services
                .as_array()
                .is_some_and(|s| s.len() == 2 && s.iter().all(up))
        })
    });
    assert_eq!(dewspar(&api, &["diff", "-f", &fleet]).0, 0);

    // Certificates through any node, each with its own answer.
    for (index, node) in nodes.iter().enumerate() {
        let head = format!(
            "GET /certificates/item HTTP/1.1\r\nx-request-id: cert-{index}",
        );
        let (status, head, body) = ask(&node.1, &head, "");
        assert_eq!(status, 200, "{body}");
        assert!(head.contains("dewspar-outcome: ran"), "{head}");
        assert!(body.contains(&format!("\"cert-{index}\"")), "{body}");
    }

    // A filing through one node, and again through another.
    let (_, _, key) = ask(&nodes[0].1, "GET /-/key HTTP/1.1", "");
    let filing =
        format!("POST /filings/new HTTP/1.1\r\nidempotency-key: {key}");
    let (status, head, body) = ask(&nodes[0].1, &filing, "amendment");
    assert_eq!(status, 200, "{body}");
    assert!(head.contains("dewspar-outcome: ran"), "{head}");
    wait_for("the outcome", || {
        let (status, head, _) = ask(&nodes[1].1, &filing, "amendment");
        status == 200 && head.contains("dewspar-outcome: ran")
    });
    let (status, _, body) = ask(&nodes[2].1, &filing, "another body");
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("key-reused"), "{body}");

    // A wave reboots every VM, and the budgets hold.
    let wave = bench.write("wave.yaml", WAVE).display().to_string();
    assert_eq!(dewspar(&api, &["apply", "-f", &wave]).0, 0);
    let watch = ["watch", "maintenancewave", "--from", "1", "--limit", "1"];
    let (code, out, _) = dewspar(&api, &watch);
    assert_eq!(code, 0);
    assert!(out.contains("\"winter\""), "{out}");
    wait_for("the wave's end", || {
        let get = ["get", "maintenancewave", "winter", "-o", "json"];
        dewspar(&nodes[1].2, &get).1.contains("\"state\": \"done\"")
    });
    let (_, out, _) = dewspar(&api, &["get", "vm", "-o", "json"]);
    assert_eq!(out.matches("\"maintained\": \"winter\"").count(), 4);
    let (code, out, _) = dewspar(&api, &["status"]);
    assert_eq!(code, 0);
    assert_eq!(out.matches(" true ").count(), 3, "{out}");

    // A planned stop of every node, and one run of the filing in all.
    for (node, _, _) in &nodes {
        node.signal("-TERM");
    }
    for (node, _, _) in nodes {
        assert_eq!(node.wait(), 0);
    }
    platform.signal("-INT");
    assert_eq!(platform.wait(), 0);
    let history = bench.path("history");
    let runs = fs::read_to_string(&history).expect("the history");
    assert_eq!(runs.matches(&key).count(), 1, "{runs}");
    assert_eq!(dewspar("-", &["check", &history]).0, 0);
}

#[test]
fn bad_documents_name_the_field() {
    let bench = Bench::new("bad-documents");
    let cases = [
        (
            "kind: Pool\nname: p\nspec: {vmz: []}\n",
            "field `spec.vmz` is refused: unknown field `vmz`",
        ),
        (
            "kind: Service\nname: s\nspec: {team: t, pool: p, runners: many}\n",
            "field `spec.runners` is refused",
        ),
        ("kind: Pond\nname: p\nspec: {}\n", "unknown variant `Pond`"),
        ("", "there is no document in the file"),
    ];
    for (text, expected) in cases {
        let path = bench.write("bad.yaml", text).display().to_string();
        let (code, _, error) = dewspar("-", &["apply", "-f", &path]);
        assert_eq!(code, 2, "{error}");
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn bad_settings_are_refused_before_anything_starts() {
    let bench = Bench::new("bad-settings");
    let base = "node: n\nhall: h\n\
                callers: {address: '127.0.0.1:1', max_waiting: 0}\n\
                api: {address: '127.0.0.1:1', allow_anonymous: true}\n\
                peers: {address: '127.0.0.1:3', ca_file: a, \
                certificate_file: b, key_file: c}\n\
                platform: {url: 'http://k', vm_list_url: 'ftp://l'}\n";
    let path = bench.write("bad.yaml", base);
    let output = Command::new(dewspard())
        .arg("--check")
        .arg("--settings")
        .arg(path)
        .output()
        .expect("dewspard");
    let error = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(2));
    for field in ["callers.max_waiting", "api.address", "platform.vm_list_url"]
    {
        assert!(error.contains(&format!("`{field}`")), "{error}");
    }
}
