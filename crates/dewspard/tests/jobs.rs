//! Integration tests of nodes that run jobs, against in-process stand-ins of
//! the store and the workers. Only the callers' API uses sockets.

mod support;

use {
    crate::support::{TEST_TIMEOUT, wait_until},
    bytes::Bytes,
    dewspar::{
        job::{JobSpec, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, HoldOrder, QueueTerms, WaveRequest},
    },
    dewspar_platform::{
        Batch, Expected, Fleet, JobWorkers, KeyValue, Traffic,
        UnreadableNotes, empty_request, json_request,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::{Value, json},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

const POOL: &str = "registry";

/// Several nodes that share one store and one fleet.
struct Cluster {
    store: Store,
    store_faults: Faults,
    order_faults: Faults,
    fleet: TaskFleet,
    nodes: Vec<JobNode>,
    lease_expiry: tokio::task::JoinHandle<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

impl Cluster {
    async fn start(nodes: usize) -> Cluster {
        let (store_faults, order_faults) = (Faults::new(1), Faults::new(2));
        let store = Store::new(store_faults.clone());
        let fleet = TaskFleet::new(order_faults.clone(), POOL, 4);
        fleet.configure(QueueSet::new(1, vec![queue("extracts")]));
        let store_clone = store.clone();
        let lease_expiry = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                store_clone.lapse_leases();
            }
        });
        let mut cluster = Cluster {
            store,
            store_faults,
            order_faults,
            fleet,
            nodes: Vec::new(),
            lease_expiry,
        };
        for number in 0..nodes {
            let node = cluster.node(&format!("node-{number}")).await;
            cluster.nodes.push(node);
        }
        cluster
    }

    async fn node(&self, name: &str) -> JobNode {
        self.node_with(JobSettings::loopback(name)).await
    }

    async fn node_with(&self, settings: JobSettings) -> JobNode {
        let platform = JobPlatform {
            store: self.store.clone(),
            workers: self.fleet.clone(),
            fleet: self.fleet.clone(),
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
            peers: None,
        };
        let log = logs::discard();
        let node = JobNode::start(&settings, platform, None, &log).await;
        node.expect("a started node")
    }

    /// Returns the name of the node that holds the scheduler lease.
    async fn holder(&self) -> Option<String> {
        let owner = self.store.get("q/owner").await.expect("a store")?;
        let owner: Value = serde_json::from_slice(&owner.value).ok()?;
        owner["node"].as_str().map(str::to_owned)
    }

    fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].caller_address()
    }

    async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> (StatusCode, Value) {
        call(self.address(node), method, path, body).await
    }

    /// Submits a job once, and returns the status of the response.
    async fn submit(&self, node: usize, number: u64) -> StatusCode {
        let path = job_path(number);
        let body = json!({ "payload": "p", "steps": [
            { "count": 3, "cpu_millis": 1000, "memory_mb": 1000 },
            { "count": 1, "cpu_millis": 1000, "memory_mb": 1000, "after": [0] },
        ]});
        self.call(node, Method::POST, &path, Some(body)).await.0
    }

    async fn phase(&self, node: usize, number: u64) -> Option<String> {
        let path = job_path(number);
        let (_, body) = self.call(node, Method::GET, &path, None).await;
        body["phase"].as_str().map(str::to_owned)
    }

    async fn wait_for_phase(&self, node: usize, number: u64, phase: &str) {
        wait_until(async || {
            self.phase(node, number).await.as_deref() == Some(phase)
        })
        .await;
    }

    /// Waits until the holder has deleted all cancellations, which it does
    /// once it knows of them and no task of their jobs runs.
    async fn wait_until_cancellations_are_settled(&self) {
        wait_until(async || {
            let listed = self.store.list("q/stop/").await;
            listed.expect("a store").1.is_empty()
        })
        .await;
    }

    /// Checks that the runs of each task were started in increasing order, and
    /// returns the number of starts of each task.
    fn start_counts(&self) -> BTreeMap<String, u64> {
        let mut starts: BTreeMap<String, u64> = BTreeMap::new();
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for (task, run) in self.fleet.started() {
            let name = task.to_string();
            let before = last.insert(name.clone(), run);
            assert!(before.is_none_or(|before| before < run), "{name}");
            *starts.entry(name).or_default() += 1;
        }
        starts
    }
}

fn queue(name: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        timeout_ms: 3_000,
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        ..Queue::default()
    }
}

fn job_path(number: u64) -> String {
    format!("/v1/queues/extracts/jobs/{number:016x}")
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> (StatusCode, Value) {
    let url = format!("http://{address}{path}");
    let request: Request<Full<Bytes>> = match &body {
        Some(body) => json_request("test", method, &url, body),
        None => empty_request("test", method, &url),
    }
    .expect("a request");
    let client: Client<_, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let answered = timeout(TEST_TIMEOUT, client.request(request)).await;
    let response = answered.expect("in time").expect("an answer");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body");
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    (status, body)
}

async fn submit_until_accepted(cluster: &Cluster, node: usize, number: u64) {
    wait_until(async || {
        cluster.submit(node, number).await == StatusCode::CREATED
    })
    .await;
}

#[tokio::test]
async fn any_node_accepts_a_job_and_reports_its_status() {
    let cluster = Cluster::start(3).await;
    submit_until_accepted(&cluster, 1, 1).await;
    cluster.wait_for_phase(2, 1, "completed").await;
    // Submitting the same job again is idempotent.
    assert_eq!(cluster.submit(0, 1).await, StatusCode::CREATED);
    cluster.wait_for_phase(0, 1, "completed").await;
    let starts = cluster.start_counts();
    assert_eq!(starts.len(), 4);
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

#[tokio::test]
async fn invalid_requests_are_refused_with_the_field_name() {
    let cluster = Cluster::start(1).await;
    submit_until_accepted(&cluster, 0, 1).await;
    let (get, post) = (Method::GET, Method::POST);
    let (status, _) = cluster.call(0, get, "/v1/queues/none", None).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let path = job_path(2);
    let body = json!({ "steps": [{ "count": 1, "after": [0] }] });
    let (status, body) = cluster.call(0, post, &path, Some(body)).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let detail = body["detail"].as_str().unwrap_or_default();
    assert!(detail.contains("steps[0].after"), "{detail}");
    let (status, _) = cluster.call(0, Method::GET, &path, None).await;
    assert_eq!(status, StatusCode::NOT_FOUND, "nothing was accepted");
    let path = "/v1/queues/extracts/jobs/2";
    let (status, body) = cluster.call(0, Method::GET, path, None).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(body["detail"], "path: `2` isn't 16 hex digits");
}

// Guards against a caller that is told to come back with a job which the store
// never accepts.
#[tokio::test]
async fn a_job_too_large_for_the_store_is_invalid() {
    let cluster = Cluster::start(1).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.store.set_max_value_bytes(10_000);
    let path = job_path(2);
    let steps = vec![json!({ "count": 1 }); 1_000];
    let body = json!({ "steps": steps });
    let (status, body) =
        cluster.call(0, Method::POST, &path, Some(body)).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let detail = body["detail"].as_str().unwrap_or_default();
    assert!(detail.contains("q/in/"), "{detail}");
    let (status, _) = cluster.call(0, Method::GET, &path, None).await;
    assert_eq!(status, StatusCode::NOT_FOUND, "nothing was accepted");
}

#[tokio::test]
async fn new_jobs_are_refused_unsent_once_a_store_outage_is_known() {
    let mut cluster = Cluster::start(0).await;
    let mut settings = JobSettings::loopback("node-0");
    // So that a stale configuration is no reason to refuse a job.
    settings.timing.config_apply_ms = 600_000;
    let node = cluster.node_with(settings).await;
    cluster.nodes.push(node);
    submit_until_accepted(&cluster, 0, 1).await;
    // Longer than any caller waits; in-flight calls end after that.
    cluster.store_faults.set_delay_us(6_000_000);
    // Sent before the outage can be known.
    let unknown = cluster.submit(0, 2).await;
    assert_eq!(unknown, StatusCode::GATEWAY_TIMEOUT);
    for number in 3..6 {
        let refused = cluster.submit(0, number).await;
        assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    }
    cluster.store_faults.set_delay_us(0);
    submit_until_accepted(&cluster, 0, 9).await;
    cluster.wait_for_phase(0, 9, "completed").await;
    let starts = cluster.start_counts();
    for number in 3..6 {
        let job = format!("{number:016x}");
        let ran = starts.keys().any(|task| task.starts_with(&job));
        assert!(!ran, "{job} was refused and ran");
    }
}

#[tokio::test]
async fn a_job_survives_the_failure_of_the_lease_holder() {
    let mut cluster = Cluster::start(3).await;
    cluster.fleet.set_work_ms(1_500);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    let name = cluster.holder().await.expect("a holder");
    let number: usize = name[5..].parse().expect("node-N");
    cluster.nodes.remove(number).kill();
    cluster.wait_for_phase(0, 1, "completed").await;
    // The running tasks were found and not started again.
    let starts = cluster.start_counts();
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

#[tokio::test]
async fn a_job_whose_progress_cannot_be_read_is_not_run_again() {
    let mut cluster = Cluster::start(0).await;
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let job = AcceptedJob {
        spec,
        terms: queue("").terms,
        accepted_at_ms: 1,
        team: None,
    };
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let unreadable_id = format!("{:016x}", 7);
    let batch = Batch::default()
        .put(&format!("q/in/{unreadable_id}"), job)
        .put(&format!("run/{unreadable_id}"), b"no progress".to_vec());
    cluster.store.commit(&batch).await.expect("a store");
    let node = cluster.node("node-0").await;
    cluster.nodes.push(node);
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    let starts = cluster.start_counts();
    // Any of its tasks may already have run.
    assert!(
        !starts.keys().any(|task| task.starts_with(&unreadable_id)),
        "{starts:?}"
    );
}

#[tokio::test]
async fn a_weak_holder_hands_the_lease_to_a_stronger_node() {
    let mut cluster = Cluster::start(0).await;
    let mut weak = JobSettings::loopback("weak");
    weak.machine.cpu_millis = 120.0;
    let mut strong = JobSettings::loopback("strong");
    strong.machine.cpu_millis = 500.0;
    let node = cluster.node_with(weak).await;
    cluster.nodes.push(node);
    cluster.fleet.set_work_ms(1_500);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    assert_eq!(cluster.holder().await.as_deref(), Some("weak"));
    let node = cluster.node_with(strong).await;
    cluster.nodes.push(node);
    wait_until(async || cluster.holder().await.as_deref() == Some("strong"))
        .await;
    cluster.wait_for_phase(1, 1, "completed").await;
    // The running tasks were found and not started again.
    let starts = cluster.start_counts();
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

#[tokio::test]
async fn a_holder_whose_orders_all_take_long_hands_the_lease_over() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    let first = cluster.holder().await.expect("a holder");
    // Simulates a node that reads every answer late.
    cluster.order_faults.set_delay_us(160_000);
    let mut number = 1;
    let handed_over = async {
        while cluster.holder().await.is_none_or(|holder| holder == first) {
            number += 1;
            submit_until_accepted(&cluster, 0, number).await;
            // Enough orders to detect the slowness, and no backlog.
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(TEST_TIMEOUT, handed_over).await.expect("in time");
    cluster.order_faults.set_delay_us(0);
    cluster.wait_for_phase(1, number, "completed").await;
    let starts = cluster.start_counts();
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

/// Guards against a lease lost to one worker. A worker that has seen a later
/// fencing token normally means that another node schedules. Here a single
/// worker was given the token by somebody else: the lease must stay, and the
/// other workers must still be used.
#[tokio::test]
async fn one_worker_with_a_later_token_does_not_end_the_lease() {
    let cluster = Cluster::start(1).await;
    let lease = async || {
        let version = cluster.store.version("q/owner").await;
        version.expect("a store")
    };
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    let before = lease().await;
    let workers = cluster.fleet.workers().await.expect("a directory");
    let claim = HoldOrder {
        fence: 1 << 50,
        acknowledged: 0,
        lease_until_ms: None,
        wait_ms: 0,
    };
    let held = cluster.fleet.hold("", &workers[0].id, &claim).await;
    held.expect("an answer");
    for number in 2..20 {
        submit_until_accepted(&cluster, 0, number).await;
    }
    for number in 2..20 {
        cluster.wait_for_phase(0, number, "completed").await;
    }
    assert_eq!(lease().await, before, "the lease has changed hands");
}

#[tokio::test]
async fn a_cancelled_job_stops() {
    let cluster = Cluster::start(2).await;
    cluster.fleet.set_work_ms(600_000);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    let path = job_path(1);
    let (status, _) = cluster.call(1, Method::DELETE, &path, None).await;
    assert_eq!(status, StatusCode::OK);
    wait_until(async || cluster.fleet.running().is_empty()).await;
    cluster.wait_for_phase(0, 1, "cancelled").await;
}

// Guards against a cancellation that is deleted too early. If a cancelled job
// is stored as finished while the orders to stop its runs have no result, and
// its cancellation is deleted in the same write, later holders find no
// cancellation and leave the runs alone while they load, which took 14 s.
#[tokio::test]
async fn a_cancellation_stays_stored_until_no_task_of_its_job_runs() {
    let mut cluster = Cluster::start(1).await;
    cluster.fleet.set_work_ms(600_000);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    cluster.order_faults.set_outage(true);
    let path = job_path(1);
    let (status, _) = cluster.call(0, Method::DELETE, &path, None).await;
    assert_eq!(status, StatusCode::OK);
    cluster.wait_for_phase(0, 1, "cancelled").await;
    let stored_cancellations = async |cluster: &Cluster| {
        let listed = cluster.store.list("q/stop/").await;
        listed.expect("a store").1.len()
    };
    // The next holder finds the cancellation as well.
    let node = cluster.nodes.remove(0);
    node.stop().await;
    let node = cluster.node("node-next").await;
    cluster.nodes.push(node);
    wait_until(async || {
        cluster.holder().await.as_deref() == Some("node-next")
    })
    .await;
    assert_eq!(stored_cancellations(&cluster).await, 1);
    assert_eq!(cluster.fleet.running().len(), 3);
    cluster.order_faults.set_outage(false);
    wait_until(async || cluster.fleet.running().is_empty()).await;
    wait_until(async || stored_cancellations(&cluster).await == 0).await;
    cluster.wait_for_phase(0, 1, "cancelled").await;
}

#[tokio::test]
async fn a_job_is_found_while_watches_are_silent() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    cluster.store_faults.set_silent(true);
    submit_until_accepted(&cluster, 1, 2).await;
    cluster.wait_for_phase(0, 2, "completed").await;
}

// Guards against a silent watch that isn't noticed while jobs are only
// cancelled: their tasks ran on until another job was accepted.
#[tokio::test]
async fn a_cancellation_is_found_while_watches_are_silent() {
    let cluster = Cluster::start(2).await;
    cluster.fleet.set_work_ms(600_000);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    cluster.store_faults.set_silent(true);
    let path = job_path(1);
    let (status, _) = cluster.call(1, Method::DELETE, &path, None).await;
    assert_eq!(status, StatusCode::OK);
    cluster.wait_until_cancellations_are_settled().await;
    assert!(cluster.fleet.running().is_empty());
}

// Guards against a job that runs on although its cancellation is stored,
// because the holder waits for a feed that is behind.
#[tokio::test]
async fn a_cancellation_is_found_while_the_feed_cannot_be_read() {
    let cluster = Cluster::start(2).await;
    cluster.fleet.set_work_ms(600_000);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    cluster.store_faults.set_silent(true);
    cluster.store_faults.set_unlisted_prefix(Some("q/"));
    let path = job_path(1);
    let (status, _) = cluster.call(1, Method::DELETE, &path, None).await;
    assert_eq!(status, StatusCode::OK);
    cluster.wait_until_cancellations_are_settled().await;
    assert!(cluster.fleet.running().is_empty());
}

#[tokio::test]
async fn a_waiting_count_whose_write_failed_is_stored_later() {
    let cluster = Cluster::start(1).await;
    cluster.fleet.set_work_ms(600_000);
    // There are sixteen slots; the sixth job's first task takes the last one.
    for number in 1..=6 {
        submit_until_accepted(&cluster, 0, number).await;
    }
    wait_until(async || cluster.fleet.running().len() == 16).await;
    sleep(Duration::from_millis(800)).await;
    // The holder's writes for the next job fail.
    cluster.store_faults.set_delay_us(300_000);
    submit_until_accepted(&cluster, 0, 7).await;
    cluster.store_faults.set_outage(true);
    sleep(Duration::from_millis(600)).await;
    cluster.store_faults.set_outage(false);
    cluster.store_faults.set_delay_us(0);
    wait_until(async || {
        let path = "/v1/queues/extracts";
        let (_, body) = cluster.call(0, Method::GET, path, None).await;
        body["pending"] == 1
    })
    .await;
}

#[tokio::test]
async fn a_holder_with_a_silent_feed_gives_no_count() {
    let cluster = Cluster::start(1).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    cluster.fleet.set_work_ms(600_000);
    // The holder keeps running and writing, but receives no events.
    cluster.store_faults.set_silent(true);
    cluster.store_faults.set_unlisted(true);
    submit_until_accepted(&cluster, 0, 2).await;
    let path = "/v1/queues/extracts";
    wait_until(async || {
        let (status, _) = cluster.call(0, Method::GET, path, None).await;
        status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    cluster.store_faults.set_unlisted(false);
    cluster.wait_for_phase(0, 2, "running").await;
    wait_until(async || {
        let (status, body) = cluster.call(0, Method::GET, path, None).await;
        status == StatusCode::OK && body["pending"] == 0
    })
    .await;
}

#[tokio::test]
async fn waiting_jobs_are_counted_though_no_holder_counts_them() {
    let mut cluster = Cluster::start(0).await;
    // A holder that neither schedules nor counts, and never ends.
    let owner = json!({ "node": "other", "incarnation": 1 }).to_string();
    let put = async |key: &str, value: &str| {
        let written =
            cluster.store.swap(key, Expected::Any, value.as_bytes(), None);
        written.await.expect("a store");
    };
    put("q/owner", &owner).await;
    let node = cluster.node("node-0").await;
    cluster.nodes.push(node);
    submit_until_accepted(&cluster, 0, 1).await;
    let counted = async |waiting: u64| {
        let path = "/v1/queues/extracts";
        let (status, body) = cluster.call(0, Method::GET, path, None).await;
        status == StatusCode::OK && body["pending"] == waiting
    };
    wait_until(async || counted(1).await).await;
    // Counts left by a holder that is gone.
    put("pending", "{}").await;
    submit_until_accepted(&cluster, 0, 2).await;
    wait_until(async || counted(2).await).await;
    put("pending", "no JSON").await;
    submit_until_accepted(&cluster, 0, 3).await;
    wait_until(async || counted(3).await).await;
}

#[tokio::test]
async fn one_node_counts_waiting_jobs_for_all_when_the_holder_does_not() {
    let mut cluster = Cluster::start(0).await;
    let owner = json!({ "node": "other", "incarnation": 1 }).to_string();
    let owner = owner.as_bytes();
    let written =
        cluster.store.swap("q/owner", Expected::Any, owner, None).await;
    written.expect("a store");
    for number in 0..8 {
        let node = cluster.node(&format!("node-{number}")).await;
        cluster.nodes.push(node);
    }
    for number in 1..4 {
        submit_until_accepted(&cluster, 0, number).await;
    }
    let path = "/v1/queues/extracts";
    let before = cluster.store.lists_of("run/");
    // Store reads are slow, so that all nodes need the counts at once.
    cluster.store_faults.set_delay_us(20_000);
    let asked: Vec<_> = cluster
        .nodes
        .iter()
        .map(JobNode::caller_address)
        .map(|address| {
            tokio::spawn(async move {
                call(address, Method::GET, path, None).await
            })
        })
        .collect();
    for answer in asked {
        let (status, body) = answer.await.expect("an answer");
        assert_eq!(status, StatusCode::OK);
        assert_eq!(body["pending"], 3);
    }
    let counts = cluster.store.lists_of("run/") - before;
    // Two if the first count was complete before the last node asked.
    assert!(counts <= 2, "{counts} nodes counted");
}

#[tokio::test]
async fn lists_the_unfinished_jobs_of_a_queue() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    cluster.fleet.set_work_ms(600_000);
    submit_until_accepted(&cluster, 0, 2).await;
    cluster.wait_for_phase(1, 2, "running").await;
    let path = "/v1/queues/extracts/jobs";
    let (status, body) = cluster.call(1, Method::GET, path, None).await;
    assert_eq!(status, StatusCode::OK);
    let open = json!([{ "id": format!("{:016x}", 2), "phase": "running" }]);
    assert_eq!(body["jobs"], open);
    let path = "/v1/queues/none/jobs";
    let (status, _) = cluster.call(1, Method::GET, path, None).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn jobs_refused_during_a_store_outage_never_run() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    cluster.store_faults.set_outage(true);
    let refused = cluster.submit(0, 2).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    cluster.store_faults.set_outage(false);
    // The next job is accepted and completes.
    submit_until_accepted(&cluster, 1, 3).await;
    cluster.wait_for_phase(1, 3, "completed").await;
    let ran = cluster.start_counts();
    let refused = format!("{:016x}", 2);
    assert!(!ran.keys().any(|task| task.starts_with(&refused)), "{ran:?}");
}

#[tokio::test]
async fn a_lost_store_answer_is_not_reported_as_a_refusal() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.store_faults.set_lost_per_mille(1_000);
    let status = cluster.submit(0, 2).await;
    assert_ne!(status, StatusCode::SERVICE_UNAVAILABLE);
    cluster.store_faults.set_lost_per_mille(0);
    cluster.wait_for_phase(1, 2, "completed").await;
}

/// How much later a write without an answer is done.
const LATE_WRITE: Duration = Duration::from_millis(1_500);

/// Submits a job whose accepting write is done late, cancels it over a node
/// before that, and checks that it never runs.
async fn cancel_before_a_late_acceptance(cluster: &Cluster, node: usize) {
    cluster.fleet.set_work_ms(60_000);
    submit_until_accepted(cluster, 0, 1).await;
    let key = format!("q/in/{:016x}", 2);
    cluster.store.delay_next_write(&key, LATE_WRITE);
    // The caller leaves before the write is repeated.
    let submission = timeout(Duration::from_millis(20), cluster.submit(0, 2));
    assert!(submission.await.is_err(), "an answer");
    let path = job_path(2);
    let (status, _) = cluster.call(node, Method::DELETE, &path, None).await;
    assert_eq!(status, StatusCode::OK);
    sleep(LATE_WRITE + Duration::from_secs(1)).await;
    assert_eq!(cluster.phase(0, 2).await.as_deref(), Some("cancelled"));
    let starts = cluster.start_counts();
    let job = format!("{:016x}", 2);
    assert!(!starts.keys().any(|t| t.starts_with(&job)), "{starts:?}");
    // A late copy of the submission finds that it was cancelled.
    assert_eq!(cluster.submit(0, 2).await, StatusCode::CREATED);
    assert_eq!(cluster.phase(0, 2).await.as_deref(), Some("cancelled"));
}

// Guards against a job that runs for ever although its cancelling was answered:
// the write that accepts it was on its way while it was cancelled.
#[tokio::test]
async fn a_job_cancelled_before_a_late_acceptance_never_runs() {
    let cluster = Cluster::start(2).await;
    cancel_before_a_late_acceptance(&cluster, 1).await;
}

// Guards against the same where the node that sent the write answers the
// cancelling.
#[tokio::test]
async fn a_job_cancelled_over_the_accepting_node_never_runs() {
    let cluster = Cluster::start(2).await;
    cancel_before_a_late_acceptance(&cluster, 0).await;
}

// Guards against records of jobs that never existed piling up in the store.
#[tokio::test]
async fn cancelled_jobs_that_never_existed_are_forgotten() {
    let mut cluster = Cluster::start(0).await;
    let mut settings = JobSettings::loopback("node-0");
    settings.timing.kept_ms = 1_000;
    let node = cluster.node_with(settings).await;
    cluster.nodes.push(node);
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.wait_for_phase(0, 1, "completed").await;
    for number in 100..130 {
        let path = job_path(number);
        let (status, _) = cluster.call(0, Method::DELETE, &path, None).await;
        assert_eq!(status, StatusCode::OK);
    }
    wait_until(async || {
        cluster.store.count("run/") == 0 && cluster.store.count("q/stop/") == 0
    })
    .await;
}

#[tokio::test]
async fn lost_worker_answers_start_no_task_twice() {
    let cluster = Cluster::start(2).await;
    cluster.order_faults.set_lost_per_mille(150);
    for number in 1..=10 {
        submit_until_accepted(&cluster, number as usize % 2, number).await;
    }
    for number in 1..=10 {
        cluster.wait_for_phase(0, number, "completed").await;
    }
    let starts = cluster.start_counts();
    assert_eq!(starts.len(), 40);
    // A lost answer leads to a query, not to another run.
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}

#[tokio::test]
async fn tasks_of_a_failed_vm_run_again() {
    let cluster = Cluster::start(2).await;
    cluster.fleet.set_work_ms(400);
    for number in 1..=4 {
        submit_until_accepted(&cluster, 0, number).await;
    }
    wait_until(async || cluster.fleet.running().len() >= 8).await;
    cluster.fleet.crash("vm-0");
    for number in 1..=4 {
        cluster.wait_for_phase(1, number, "completed").await;
    }
}

// Guards against repeated tasks after a worker restart: ends reported by the
// new process must not be taken for ends that are already known.
#[tokio::test]
async fn restarted_workers_repeat_no_task() {
    let cluster = Cluster::start(2).await;
    cluster.fleet.set_work_ms(50);
    for number in 1..=12 {
        submit_until_accepted(&cluster, number as usize % 2, number).await;
        wait_until(async || cluster.fleet.running().len() >= 2).await;
        cluster.fleet.restart(&format!("vm-{}", number % 4));
        cluster.wait_for_phase(1, number, "completed").await;
    }
    assert_eq!(cluster.fleet.ran_twice(), []);
}

#[tokio::test]
async fn a_wave_maintains_every_vm() {
    let cluster = Cluster::start(2).await;
    submit_until_accepted(&cluster, 0, 1).await;
    cluster.fleet.request_wave(WaveRequest {
        wave: 1,
        vms: (0..4).map(|vm| format!("vm-{vm}")).collect(),
        duration_ms: 5_000,
        max_down: 2,
    });
    wait_until(async || cluster.fleet.maintained().len() == 4).await;
    submit_until_accepted(&cluster, 1, 2).await;
    cluster.wait_for_phase(0, 2, "completed").await;
}

// Guards against nobody scheduling from the stop of a holder in a store outage
// until its lease has expired after the outage.
#[tokio::test]
async fn a_holder_that_stops_in_an_outage_schedules_until_it_can_hand_over() {
    let mut cluster = Cluster::start(0).await;
    for name in ["node-0", "node-1"] {
        let mut settings = JobSettings::loopback(name);
        settings.timing.stop_grace_ms = 60_000;
        let node = cluster.node_with(settings).await;
        cluster.nodes.push(node);
    }
    cluster.fleet.set_work_ms(500);
    submit_until_accepted(&cluster, 0, 1).await;
    wait_until(async || cluster.fleet.running().len() == 3).await;
    let name = cluster.holder().await.expect("a holder");
    let number: usize = name[5..].parse().expect("node-N");
    cluster.store_faults.set_outage(true);
    let node = cluster.nodes.remove(number);
    let stopping = tokio::spawn(node.stop());
    // The job's second step starts once the first is done.
    wait_until(async || {
        let starts = cluster.fleet.started();
        starts.iter().any(|(task, _)| task.step == 1)
    })
    .await;
    assert!(cluster.store_faults.outage());
    cluster.store_faults.set_outage(false);
    cluster.wait_for_phase(0, 1, "completed").await;
    wait_until(async || cluster.holder().await.is_some_and(|h| h != name))
        .await;
    timeout(TEST_TIMEOUT, stopping).await.expect("in time").expect("stopped");
    let starts = cluster.start_counts();
    assert!(starts.values().all(|starts| *starts == 1), "{starts:?}");
}
