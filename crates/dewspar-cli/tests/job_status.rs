//! The status of a node that runs jobs, as operators see it.

use {
    dewspar::{
        schedule::{LimitedTeam, Resources, TeamStatus},
        status::{
            EvacuatedHallSummary, HallSummary, NodeStatus, SchedulingStatus,
        },
    },
    dewspar_cli::{job_status, output::Format},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

fn status() -> NodeStatus {
    NodeStatus {
        node: "node-1".to_owned(),
        holder: Some("node-1".to_owned()),
        scheduling: Some(SchedulingStatus {
            teams: vec![TeamStatus {
                team: "notaries".to_owned(),
                owed: 5,
                accepted: 6,
                refused: 31,
                waiting: 17,
                waiting_over_share: 12,
                used: Resources { cpu_millis: 2_500, ..Resources::default() },
                quota: Resources { cpu_millis: 8_000, ..Resources::default() },
            }],
            limits: vec![LimitedTeam {
                pool: "registry".to_owned(),
                team: "notaries".to_owned(),
                admitted_permille: 165,
                retry_after_ms: 2_300,
            }],
            halls: vec![HallSummary {
                hall: "hall-2".to_owned(),
                state: "cut off".to_owned(),
                age_ms: 4_200,
                evidence: "silent workers".to_owned(),
                evidence_age_ms: 1_100,
            }],
            evacuated_halls: vec![EvacuatedHallSummary {
                hall: "hall-3".to_owned(),
                age_ms: 9_000,
                workers: 40,
                runs: 3,
                long_running: 1,
            }],
        }),
    }
}

/// Answers one request with this body, and returns the request's first line.
async fn serve_once(listener: TcpListener, body: String) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = vec![0; 4_096];
    let length = stream.read(&mut request).await.expect("a request");
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    stream.write_all(answer.as_bytes()).await.expect("sent");
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    request.lines().next().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn the_status_is_read_from_the_metrics_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let body = serde_json::to_string(&status()).expect("JSON");
    let server = tokio::spawn(serve_once(listener, body));
    let read = job_status::read(&address).await.expect("a status");
    assert_eq!(read, status());
    assert_eq!(server.await.expect("served"), "GET /status HTTP/1.1");
}

#[tokio::test]
async fn an_answer_that_is_no_status_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let body = "# HELP dewspar_ready".to_owned();
    let server = tokio::spawn(serve_once(listener, body));
    let error = job_status::read(&address).await.expect_err("no status");
    assert!(error.to_string().contains(&address), "{error}");
    server.await.expect("served");
}

#[test]
fn tables_show_teams_and_halls() {
    let text = job_status::text(Format::Table, &status()).expect("tables");
    let words: Vec<Vec<&str>> =
        text.lines().map(|line| line.split_whitespace().collect()).collect();
    for row in [
        vec!["node", "node-1,", "holder", "node-1"],
        vec!["notaries", "5", "6", "31", "17", "12", "2.5", "8.0"],
        vec!["registry", "notaries", "16.5", "2.3"],
        vec!["hall-2", "cut", "off", "4", "silent", "workers", "1"],
        vec!["hall-3", "9", "40", "3", "1"],
    ] {
        assert!(words.contains(&row), "{row:?} in\n{text}");
    }
}

#[test]
fn another_node_says_who_is_the_holder() {
    let status = NodeStatus { scheduling: None, ..status() };
    let text = job_status::tables(&NodeStatus {
        node: "node-2".to_owned(),
        ..status
    });
    assert!(text.starts_with("node node-2, holder node-1\n"), "{text}");
}
