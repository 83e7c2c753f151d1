//! The whole path in separate processes: stand-ins, three nodes, operators.

mod support;

use {
    std::{fs, process::Command},
    support::{Bench, FLEET, ask, dewspar, dewspard, wait_for},
};

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
