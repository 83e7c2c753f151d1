//! API keys of teams: who may call a queue and see its jobs, from when until
//! when a key counts, and that keys appear nowhere.

mod support;

use {
    crate::support::{TEST_TIMEOUT, wait_until},
    bytes::Bytes,
    dewspar::{
        job::{Queue, QueueSet},
        schedule::{QueueTerms, Resources},
        team::{KeyDigest, QueueAccess, Team, Teams},
    },
    dewspar_platform::{
        KeyValue, Traffic, UnreadableNotes, empty_request, json_request,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, StatusCode,
        header::{AUTHORIZATION, HeaderValue},
    },
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    serde_json::{Value, json},
    slog::{Drain, Logger, o},
    std::{
        io::{self, Write},
        sync::{Arc, Mutex, OnceLock},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// The time within which a configuration must be in force, in milliseconds.
const CONFIG_APPLY_MS: u64 = 1_000;

const POOL: &str = "registry";
const NOTARY_KEY: &str = "key-of-the-notaries-1";
const NEXT_NOTARY_KEY: &str = "key-of-the-notaries-2";
const BANK_KEY: &str = "key-of-the-banks-1";
const UNKNOWN_KEY: &str = "key-that-no-team-has";

/// What was logged.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn logger(&self) -> Logger {
        let json = slog_json::Json::default(self.clone());
        Logger::root(Mutex::new(json).fuse(), o!())
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.0.lock().unwrap()).into_owned()
    }
}

/// Returns the metrics of this process.
fn metrics() -> &'static PrometheusHandle {
    static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();
    METRICS.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        builder.install_recorder().expect("the only recorder")
    })
}

/// Two nodes that share one store and one fleet.
struct Cluster {
    store: Store,
    fleet: TaskFleet,
    nodes: Vec<JobNode>,
    lines: Lines,
}

impl Cluster {
    async fn start() -> Cluster {
        metrics();
        let store = Store::new(Faults::new(1));
        let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
        fleet.configure(configuration(1, &[NOTARY_KEY], &[BANK_KEY]));
        let lines = Lines::default();
        let mut nodes = Vec::new();
        for number in 0..2 {
            let platform = JobPlatform {
                store: store.clone(),
                workers: fleet.clone(),
                fleet: fleet.clone(),
                protocol: RestProtocol,
                readiness_path: "/ready",
                traffic: Traffic::default(),
                unreadable: UnreadableNotes::default(),
                peers: None,
            };
            let name = format!("node-{number}");
            let mut settings = JobSettings::loopback(&name);
            settings.timing.config_apply_ms = CONFIG_APPLY_MS;
            let log = lines.logger();
            let node = JobNode::start(&settings, platform, None, &log).await;
            nodes.push(node.expect("a started node"));
        }
        let cluster = Cluster { store, fleet, nodes, lines };
        wait_until(async || {
            let status = cluster.submit(0, 100, &[NOTARY_KEY]).await;
            status == StatusCode::CREATED
        })
        .await;
        cluster
    }

    async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        keys: &[&str],
        body: Option<Value>,
    ) -> (StatusCode, Value) {
        let values = keys.iter().map(|key| format!("Bearer {key}"));
        let values: Vec<HeaderValue> =
            values.map(|value| value.parse().expect("ASCII")).collect();
        self.call_with(node, method, path, &values, body).await
    }

    async fn call_with(
        &self,
        node: usize,
        method: Method,
        path: &str,
        headers: &[HeaderValue],
        body: Option<Value>,
    ) -> (StatusCode, Value) {
        let address = self.nodes[node].caller_address();
        let url = format!("http://{address}{path}");
        let mut request: Request<Full<Bytes>> = match &body {
            Some(body) => json_request("test", method, &url, body),
            None => empty_request("test", method, &url),
        }
        .expect("a request");
        for header in headers {
            request.headers_mut().append(AUTHORIZATION, header.clone());
        }
        let client: Client<_, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let answered = timeout(TEST_TIMEOUT, client.request(request)).await;
        let response = answered.expect("in time").expect("an answer");
        let status = response.status();
        let body = response.into_body().collect().await.expect("a body");
        let body =
            serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        (status, body)
    }

    async fn submit(
        &self,
        node: usize,
        number: u64,
        keys: &[&str],
    ) -> StatusCode {
        self.submit_to("filings", node, number, keys).await
    }

    async fn submit_to(
        &self,
        queue: &str,
        node: usize,
        number: u64,
        keys: &[&str],
    ) -> StatusCode {
        let path = job_path(queue, number);
        let body = json!({ "payload": "p", "steps": [
            { "count": 1, "cpu_millis": 1000, "memory_mb": 1000 },
        ]});
        self.call(node, Method::POST, &path, keys, Some(body)).await.0
    }

    async fn status(&self, node: usize, number: u64, key: &str) -> StatusCode {
        let path = job_path("filings", number);
        self.call(node, Method::GET, &path, &[key], None).await.0
    }
}

/// Returns a configuration with a queue for teams and a public one.
fn configuration(
    version: u64,
    notary_keys: &[&str],
    bank_keys: &[&str],
) -> QueueSet {
    let team = |name: &str| Team {
        name: name.to_owned(),
        weight: 1,
        quota: Resources { cpu_millis: 2_000, ..Resources::default() },
    };
    let digests = |keys: &[&str]| -> Vec<KeyDigest> {
        keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect()
    };
    let teams = Teams::default()
        .with(team("notaries"), digests(notary_keys))
        .with(team("banks"), digests(bank_keys));
    let queue = |name: &str, access| Queue {
        name: name.to_owned(),
        timeout_ms: 3_000,
        access,
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        ..Queue::default()
    };
    let queues = vec![
        queue("filings", QueueAccess::Teams),
        queue("open-data", QueueAccess::Public),
    ];
    QueueSet::new(version, queues).with_teams(teams)
}

fn job_path(queue: &str, number: u64) -> String {
    format!("/v1/queues/{queue}/jobs/{number:016x}")
}

#[tokio::test]
async fn every_call_to_a_queue_of_teams_needs_a_key() {
    let cluster = Cluster::start().await;
    let job = job_path("filings", 100);
    for keys in [&[][..], &[UNKNOWN_KEY]] {
        for (method, path) in [
            (Method::POST, job.as_str()),
            (Method::GET, &job),
            (Method::DELETE, &job),
            (Method::GET, "/v1/queues/filings"),
            (Method::GET, "/v1/queues/filings/jobs"),
        ] {
            let (status, body) =
                cluster.call(0, method, path, keys, None).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path}");
            let detail = body["detail"].as_str().unwrap_or_default();
            assert!(detail.contains("`authorization`"), "{detail}");
        }
    }
    let status = cluster.submit_to("open-data", 0, 1, &[]).await;
    assert_eq!(status, StatusCode::CREATED);
}

#[tokio::test]
async fn a_malformed_key_is_refused_with_the_name_of_its_header() {
    let cluster = Cluster::start().await;
    let long = format!("Bearer {}", "k".repeat(100_000));
    let valid = format!("Bearer {NOTARY_KEY}");
    let cases = [
        vec![valid.as_bytes(), valid.as_bytes()],
        vec![b"Basic bm90YXJ5".as_slice()],
        vec![NOTARY_KEY.as_bytes()],
        vec!["Bearer κλειδί".as_bytes()],
        vec![long.as_bytes()],
        vec![b"".as_slice()],
    ];
    let path = job_path("filings", 100);
    for case in cases {
        let values = case.iter().map(|v| HeaderValue::from_bytes(v));
        let values: Vec<_> = values.map(|v| v.expect("a value")).collect();
        let (status, body) =
            cluster.call_with(0, Method::GET, &path, &values, None).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED);
        let detail = body["detail"].as_str().unwrap_or_default();
        assert!(detail.contains("`authorization`"), "{detail}");
        assert!(!detail.contains(NOTARY_KEY), "{detail}");
    }
    assert_eq!(cluster.status(0, 100, NOTARY_KEY).await, StatusCode::OK);
}

#[tokio::test]
async fn a_team_sees_and_cancels_only_its_own_jobs() {
    let cluster = Cluster::start().await;
    let not_found = StatusCode::NOT_FOUND;
    assert_eq!(cluster.status(1, 100, NOTARY_KEY).await, StatusCode::OK);
    assert_eq!(cluster.status(1, 100, BANK_KEY).await, not_found);
    let path = job_path("filings", 100);
    let cancel = Method::DELETE;
    let (status, _) =
        cluster.call(0, cancel.clone(), &path, &[BANK_KEY], None).await;
    assert_eq!(status, not_found);
    // A public queue is no way around the key.
    let around = job_path("open-data", 100);
    let (status, _) = cluster.call(0, cancel, &around, &[], None).await;
    assert_eq!(status, not_found);
    // Nor does another team learn that the identifier is taken by whom.
    let status = cluster.submit(0, 100, &[BANK_KEY]).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let status = cluster.submit(1, 100, &[NOTARY_KEY]).await;
    assert_eq!(status, StatusCode::CREATED);
    wait_until(async || {
        let (_, body) =
            cluster.call(0, Method::GET, &path, &[NOTARY_KEY], None).await;
        body["phase"] == "completed"
    })
    .await;
    // Its owner is known once only its progress is left.
    assert_eq!(cluster.status(0, 100, BANK_KEY).await, not_found);
}

#[tokio::test]
async fn a_dropped_key_is_refused_and_a_new_one_taken_in_time() {
    let cluster = Cluster::start().await;
    let acknowledged = Instant::now();
    let next = configuration(2, &[NEXT_NOTARY_KEY], &[BANK_KEY]);
    cluster.fleet.configure(next);
    let in_force = acknowledged + Duration::from_millis(CONFIG_APPLY_MS);
    let mut number = 200;
    while Instant::now() < in_force + Duration::from_millis(500) {
        let is_due = Instant::now() >= in_force;
        for node in 0..2 {
            number += 2;
            let old = cluster.submit(node, number, &[NOTARY_KEY]).await;
            let new =
                cluster.submit(node, number + 1, &[NEXT_NOTARY_KEY]).await;
            // A node that doesn't know the newest version refuses with 503.
            if is_due {
                assert_ne!(old, StatusCode::CREATED);
                assert_ne!(new, StatusCode::UNAUTHORIZED);
            }
        }
    }
    wait_until(async || {
        let old = cluster.submit(0, 300, &[NOTARY_KEY]).await;
        let new = cluster.submit(1, 301, &[NEXT_NOTARY_KEY]).await;
        old == StatusCode::UNAUTHORIZED && new == StatusCode::CREATED
    })
    .await;
    // The team still sees what it submitted under its former key.
    let status = cluster.status(0, 100, NEXT_NOTARY_KEY).await;
    assert_eq!(status, StatusCode::OK);
}

// Guards against judging a key by a configuration that may be out of date.
#[tokio::test]
async fn a_node_that_cannot_know_the_keys_refuses_without_judging_them() {
    let cluster = Cluster::start().await;
    cluster.fleet.set_intent_unreadable(true);
    sleep(Duration::from_millis(2 * CONFIG_APPLY_MS)).await;
    let next = configuration(2, &[NEXT_NOTARY_KEY], &[BANK_KEY]);
    cluster.fleet.configure(next);
    for key in [NOTARY_KEY, NEXT_NOTARY_KEY, UNKNOWN_KEY] {
        let status = cluster.submit(0, 300, &[key]).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{key}");
        let status = cluster.status(0, 100, key).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{key}");
    }
    // A queue that isn't known may have been added meanwhile.
    let unknown = "/v1/queues/unknown/jobs";
    let call = cluster.call(0, Method::GET, unknown, &[NOTARY_KEY], None);
    assert_eq!(call.await.0, StatusCode::SERVICE_UNAVAILABLE);
    cluster.fleet.set_intent_unreadable(false);
    wait_until(async || {
        let status = cluster.submit(0, 301, &[NEXT_NOTARY_KEY]).await;
        status == StatusCode::CREATED
    })
    .await;
    let status = cluster.submit(0, 302, &[NOTARY_KEY]).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let status = cluster.status(0, 300, NEXT_NOTARY_KEY).await;
    assert_eq!(status, StatusCode::NOT_FOUND, "it was refused");
}

#[tokio::test]
async fn keys_appear_in_no_log_metric_or_record() {
    let cluster = Cluster::start().await;
    for (number, key) in [(1, NOTARY_KEY), (2, BANK_KEY), (3, UNKNOWN_KEY)] {
        cluster.submit(0, number, &[key]).await;
        cluster.status(1, number, key).await;
    }
    wait_until(async || {
        let path = job_path("filings", 1);
        let (_, body) =
            cluster.call(0, Method::GET, &path, &[NOTARY_KEY], None).await;
        body["phase"] == "completed"
    })
    .await;
    let (_, records) = cluster.store.list("").await.expect("a store");
    let records = records
        .iter()
        .map(|item| {
            format!("{} {}", item.key, String::from_utf8_lossy(&item.value))
        })
        .collect::<String>();
    assert!(records.contains("notaries"), "the team is recorded");
    let logged = cluster.lines.text();
    assert!(logged.contains("call: answered"));
    for text in [records, logged, metrics().render()] {
        for key in [NOTARY_KEY, BANK_KEY, UNKNOWN_KEY] {
            assert!(!text.contains(key), "{key} in {text}");
        }
    }
}
