//! Refusals of what a team submits beyond its share: that they are true, and
//! that they end with the record of limits.

mod support;

use {
    crate::support::{TEST_TIMEOUT, wait_until},
    bytes::Bytes,
    dewspar::{
        job::{Queue, QueueSet},
        schedule::{LimitedTeam, QueueTerms, TeamLimits},
        status::NodeStatus,
        team::{KeyDigest, QueueAccess, Team, Teams},
    },
    dewspar_platform::{
        Batch, KeyValue, Traffic, UnreadableNotes, empty_request, json_request,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, StatusCode,
        header::{AUTHORIZATION, RETRY_AFTER},
    },
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    metrics_exporter_prometheus::PrometheusBuilder,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

const POOL: &str = "registry";
const KEY: &str = "key-of-the-notaries";
const OTHER_KEY: &str = "key-of-the-banks";

/// The number of jobs in a second that each team is owed.
const SHARE: u64 = 2;

/// The age up to which a record counts, and the interval between two reads.
const MAX_AGE: Duration = Duration::from_millis(2_000);

struct Cluster {
    store: Store,
    faults: Faults,
    fleet: TaskFleet,
    nodes: Vec<JobNode>,
    lease_expiry: JoinHandle<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

fn configuration(weight: u64) -> QueueSet {
    let team =
        |name: &str| Team { name: name.to_owned(), weight, ..Team::default() };
    let teams = Teams::default()
        .with(team("notaries"), [KeyDigest::of(KEY.as_bytes())])
        .with(team("banks"), [KeyDigest::of(OTHER_KEY.as_bytes())]);
    let queue = Queue {
        name: "filings".to_owned(),
        timeout_ms: 1_500,
        access: QueueAccess::Teams,
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        ..Queue::default()
    };
    QueueSet::new(1, vec![queue]).with_teams(teams)
}

impl Cluster {
    async fn start(nodes: usize) -> Cluster {
        Cluster::start_with(nodes, SHARE, None).await
    }

    async fn start_with(
        nodes: usize,
        weight: u64,
        metrics_address: Option<SocketAddr>,
    ) -> Cluster {
        let faults = Faults::new(1);
        let store = Store::new(faults.clone());
        let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
        fleet.configure(configuration(weight));
        let store_clone = store.clone();
        let lease_expiry = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                store_clone.lapse_leases();
            }
        });
        let mut cluster =
            Cluster { store, faults, fleet, nodes: Vec::new(), lease_expiry };
        for number in 0..nodes {
            let platform = JobPlatform {
                store: cluster.store.clone(),
                workers: cluster.fleet.clone(),
                fleet: cluster.fleet.clone(),
                protocol: RestProtocol,
                readiness_path: "/ready",
                traffic: Traffic::default(),
                unreadable: UnreadableNotes::default(),
                peers: None,
            };
            let mut settings =
                JobSettings::loopback(&format!("node-{number}"));
            settings.policy.placing.refuse_over_share = true;
            let mut metrics = None;
            if number == 0 && metrics_address.is_some() {
                settings.metrics_address = metrics_address;
                let recorder = PrometheusBuilder::new().build_recorder();
                metrics = Some(recorder.handle());
            }
            let log = logs::discard();
            let node = JobNode::start(&settings, platform, metrics, &log);
            cluster.nodes.push(node.await.expect("a started node"));
        }
        wait_until(async || {
            cluster.submit(0, 1_000, OTHER_KEY).await.0 == StatusCode::CREATED
        })
        .await;
        cluster
    }

    /// Submits a job once; returns the status and the header `Retry-After`.
    async fn submit(
        &self,
        node: usize,
        number: u64,
        key: &str,
    ) -> (StatusCode, Option<String>) {
        let address = self.nodes[node].caller_address();
        let path = format!("/v1/queues/filings/jobs/{number:016x}");
        let body = json!({ "payload": "p", "steps": [
            { "count": 4, "cpu_millis": 1000, "memory_mb": 100,
              "estimate_ms": 500 },
        ]});
        let url = format!("http://{address}{path}");
        let mut request: Request<Full<Bytes>> =
            json_request("test", Method::POST, &url, &body)
                .expect("a request");
        let header = format!("Bearer {key}").parse().expect("ASCII");
        request.headers_mut().insert(AUTHORIZATION, header);
        let client: Client<_, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let answered = timeout(TEST_TIMEOUT, client.request(request)).await;
        let response = answered.expect("in time").expect("an answer");
        let after = response.headers().get(RETRY_AFTER);
        let after = after.map(|v| v.to_str().expect("ASCII").to_owned());
        (response.status(), after)
    }

    /// Stores limits that refuse all that the first team submits, and renews
    /// them until the task is aborted.
    fn limit_all(&self) -> JoinHandle<()> {
        let store = self.store.clone();
        tokio::spawn(async move {
            loop {
                let value = serde_json::to_vec(&limits(0)).expect("JSON");
                let batch = Batch::default().put("team-limits", value);
                // OK to ignore: the store may be out.
                let _ = store.commit(&batch).await;
                sleep(Duration::from_millis(500)).await;
            }
        })
    }

    /// Waits until a node refuses new jobs of the first team for their number.
    async fn wait_for_refusals(&self, node: usize) {
        let first = 0xf000 + 0x100 * node as u64;
        for number in first.. {
            let (status, after) = self.submit(node, number, KEY).await;
            // Refusals for other reasons say one second.
            let is_other = after.as_deref() == Some("1");
            if status == StatusCode::SERVICE_UNAVAILABLE && !is_other {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Submits a job of the first team until it is accepted; it must not be
    /// refused for its number.
    async fn submit_until_accepted(&self, node: usize, number: u64) {
        wait_until(async || {
            let (status, after) = self.submit(node, number, KEY).await;
            // Refusals for other reasons say one second.
            let is_limit = after.as_deref().is_some_and(|after| after != "1");
            assert!(!is_limit, "{status}, {after:?}");
            status == StatusCode::CREATED
        })
        .await;
    }

    async fn is_stored(&self, number: u64) -> bool {
        for key in
            [format!("q/in/{number:016x}"), format!("run/{number:016x}")]
        {
            if self.store.get(&key).await.expect("a store").is_some() {
                return true;
            }
        }
        false
    }

    fn has_run(&self, number: u64) -> bool {
        let id = format!("{number:016x}");
        let started = self.fleet.started();
        started.iter().any(|(task, _)| task.job.to_string() == id)
    }

    async fn holder(&self) -> Option<usize> {
        let owner = self.store.get("q/owner").await.expect("a store")?;
        let owner: serde_json::Value =
            serde_json::from_slice(&owner.value).ok()?;
        owner["node"].as_str()?.strip_prefix("node-")?.parse().ok()
    }

    async fn stored_limits(&self) -> TeamLimits {
        let found = self.store.get("team-limits").await.expect("a store");
        let limits = found.map(|found| serde_json::from_slice(&found.value));
        limits.transpose().expect("limits").unwrap_or_default()
    }
}

fn limits(admitted_permille: u64) -> TeamLimits {
    TeamLimits {
        teams: vec![LimitedTeam {
            pool: POOL.to_owned(),
            team: "notaries".to_owned(),
            admitted_permille,
            retry_after_ms: 3_000,
        }],
    }
}

#[tokio::test]
async fn a_refused_job_is_not_stored_and_never_runs() {
    let cluster = Cluster::start(2).await;
    let renewal = cluster.limit_all();
    for node in 0..2 {
        cluster.wait_for_refusals(node).await;
        let number = 1 + node as u64;
        let (status, after) = cluster.submit(node, number, KEY).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let after: u64 = after.expect("a time").parse().expect("seconds");
        assert!((3..=6).contains(&after), "{after}");
        assert!(!cluster.is_stored(number).await);
    }
    // Another team isn't refused.
    let (status, _) = cluster.submit(0, 3, OTHER_KEY).await;
    assert_eq!(status, StatusCode::CREATED);
    wait_until(async || cluster.has_run(3)).await;
    assert!(!cluster.has_run(1) && !cluster.has_run(2));
    renewal.abort();
}

// Guards against a caller that is told that its job was not run, although an
// earlier submission was accepted.
#[tokio::test]
async fn a_job_that_was_accepted_before_is_not_refused() {
    let cluster = Cluster::start(2).await;
    let (status, _) = cluster.submit(0, 1, KEY).await;
    assert_eq!(status, StatusCode::CREATED);
    wait_until(async || cluster.has_run(1)).await;
    let renewal = cluster.limit_all();
    for node in 0..2 {
        cluster.wait_for_refusals(node).await;
        let (status, _) = cluster.submit(node, 1, KEY).await;
        assert_eq!(status, StatusCode::CREATED);
    }
    renewal.abort();
}

// Guards against the same after a submission whose answer from the store was
// lost, also when the caller comes back to another node.
#[tokio::test]
async fn a_job_stored_without_an_answer_is_not_refused() {
    for node in 0..2 {
        let cluster = Cluster::start(2).await;
        cluster.faults.set_lost_per_mille(1_000);
        let (status, _) = cluster.submit(0, 1, KEY).await;
        assert_ne!(status, StatusCode::CREATED);
        assert_ne!(status, StatusCode::SERVICE_UNAVAILABLE);
        cluster.faults.set_lost_per_mille(0);
        assert!(cluster.is_stored(1).await);
        let renewal = cluster.limit_all();
        cluster.wait_for_refusals(node).await;
        let (status, _) = cluster.submit(node, 1, KEY).await;
        assert_eq!(status, StatusCode::CREATED, "node {node}");
        renewal.abort();
    }
}

// Guards against a refusal that becomes untrue: an earlier write of the job is
// on its way to the store, and the caller comes back to another node.
#[tokio::test]
async fn a_refused_job_is_not_stored_by_an_earlier_write() {
    let cluster = Cluster::start(2).await;
    let delay = Duration::from_secs(8);
    let mut number = 0;
    // Repeated until the outage began after the first write and before the
    // node has tried again.
    let sent = loop {
        number += 1;
        let key = format!("q/in/{number:016x}");
        cluster.store.delay_next_write(&key, delay);
        let sent = Instant::now();
        let outage = async {
            sleep(Duration::from_millis(15)).await;
            cluster.faults.set_outage(true);
        };
        let submitted = cluster.submit(0, number, KEY);
        let ((status, _), ()) = tokio::join!(submitted, outage);
        cluster.faults.set_outage(false);
        if status == StatusCode::GATEWAY_TIMEOUT {
            break sent;
        }
        wait_until(async || {
            cluster.submit(0, 0xe001, KEY).await.0 == StatusCode::CREATED
        })
        .await;
    };
    let renewal = cluster.limit_all();
    cluster.wait_for_refusals(1).await;
    assert!(!cluster.is_stored(number).await);
    let (status, _) = cluster.submit(1, number, KEY).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent.elapsed() < delay);
    sleep(delay).await;
    assert!(!cluster.is_stored(number).await);
    assert!(!cluster.has_run(number));
    renewal.abort();
}

// Guards against limits that outlast what renews them.
#[tokio::test]
async fn limits_end_once_they_are_no_longer_renewed() {
    let cluster = Cluster::start(1).await;
    let renewal = cluster.limit_all();
    cluster.wait_for_refusals(0).await;
    renewal.abort();
    // No write is under way any more.
    assert!(renewal.await.is_err());
    sleep(MAX_AGE).await;
    cluster.submit_until_accepted(0, 1).await;
    // Another node could have refused the job by limits that are still there.
    assert_eq!(cluster.stored_limits().await, TeamLimits::default());
}

// Guards against a node that applies a record of unknown age when it starts.
#[tokio::test]
async fn a_record_that_was_there_before_a_node_is_not_applied() {
    let faults = Faults::new(1);
    let value = serde_json::to_vec(&limits(0)).expect("JSON");
    let cluster = Cluster::start(1).await;
    let batch = Batch::default().put("team-limits", value);
    cluster.store.commit(&batch).await.expect("a store");
    sleep(MAX_AGE + Duration::from_millis(200)).await;
    drop(faults);
    let platform = JobPlatform {
        store: cluster.store.clone(),
        workers: cluster.fleet.clone(),
        fleet: cluster.fleet.clone(),
        protocol: RestProtocol,
        readiness_path: "/ready",
        traffic: Traffic::default(),
        unreadable: UnreadableNotes::default(),
        peers: None,
    };
    let mut cluster = cluster;
    let mut settings = JobSettings::loopback("node-9");
    settings.policy.placing.refuse_over_share = true;
    let log = logs::discard();
    let node = JobNode::start(&settings, platform, None, &log).await;
    cluster.nodes.push(node.expect("a started node"));
    cluster.submit_until_accepted(1, 1).await;
    // Another node could have refused the job by limits that are still there.
    assert_eq!(cluster.stored_limits().await, TeamLimits::default());
}

// Guards against a job that is stored by a second decision, after another node
// has refused it by limits that have been replaced since.
#[tokio::test]
async fn a_call_does_not_write_again_after_limits_that_it_has_not_seen() {
    let cluster = Cluster::start(1).await;
    // The calls of the node to the store are slow, those of the test aren't.
    let store = cluster.store.reached_with(Faults::new(3));
    // Repeated until the limits changed while the write was on its way.
    for number in 1..=20 {
        cluster.submit_until_accepted(0, 0xd000 + number).await;
        cluster.faults.set_delay_us(400_000);
        let change = async {
            sleep(Duration::from_millis(100)).await;
            for admitted_permille in [0, 1_000] {
                let limits = limits(admitted_permille);
                let value = serde_json::to_vec(&limits).expect("JSON");
                let batch = Batch::default().put("team-limits", value);
                store.commit(&batch).await.expect("a store");
            }
        };
        let submitted = cluster.submit(0, number, KEY);
        let ((status, _), ()) = tokio::join!(submitted, change);
        cluster.faults.set_delay_us(0);
        if status == StatusCode::GATEWAY_TIMEOUT {
            assert!(!cluster.is_stored(number).await);
            assert!(!cluster.has_run(number));
            return;
        }
    }
    panic!("each job was stored by a second decision");
}

#[tokio::test]
async fn nothing_of_the_limits_is_left_after_an_outage_of_the_store() {
    let cluster = Cluster::start(1).await;
    let renewal = cluster.limit_all();
    cluster.wait_for_refusals(0).await;
    cluster.faults.set_outage(true);
    renewal.abort();
    // Nothing is known of the first one, the store's outage is known then.
    let (status, _) = cluster.submit(0, 1, KEY).await;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    wait_until(async || {
        let (status, _) = cluster.submit(0, 1, KEY).await;
        status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    sleep(MAX_AGE).await;
    cluster.faults.set_outage(false);
    wait_until(async || {
        cluster.submit(0, 2, KEY).await.0 == StatusCode::CREATED
    })
    .await;
}

/// Lets the first team submit many times its share until a node refuses.
async fn burst_until_refused(cluster: &Cluster, node: usize) {
    let until = Instant::now() + Duration::from_secs(20);
    for number in 1.. {
        let (status, _) = cluster.submit(node, number, KEY).await;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        assert!(Instant::now() < until, "nothing is refused");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_burst_is_limited_until_the_holder_is_lost() {
    let mut cluster = Cluster::start(3).await;
    cluster.fleet.set_work_ms(2_000);
    let holder = cluster.holder().await.expect("a holder");
    let other = usize::from(holder == 0);
    burst_until_refused(&cluster, other).await;
    let limited = cluster.stored_limits().await.teams;
    assert_eq!(limited.len(), 1, "{limited:?}");
    assert_eq!(limited[0].team, "notaries");
    assert!(limited[0].admitted_permille < 500, "{limited:?}");
    // The other team isn't refused.
    let (status, _) = cluster.submit(other, 0xb000, OTHER_KEY).await;
    assert_eq!(status, StatusCode::CREATED);
    cluster.nodes.remove(holder).kill();
    let other = usize::from(holder == 1);
    sleep(MAX_AGE + Duration::from_millis(100)).await;
    // The next holder may limit the team again, but not within its share.
    for number in 0xc000..0xc002 {
        cluster.submit_until_accepted(other, number).await;
        sleep(Duration::from_millis(500)).await;
    }
}

// Guards against renewals that change the version on which the writes of all
// nodes depend, so that each node's next write conflicts.
#[tokio::test]
async fn a_renewal_leaves_the_version_of_the_limits() {
    let cluster = Cluster::start(1).await;
    cluster.fleet.set_work_ms(2_000);
    let versions = async || {
        let limits = cluster.store.version("team-limits").await;
        let renewed = cluster.store.version("team-limits-renewed").await;
        (limits.expect("a store"), renewed.expect("a store"))
    };
    let (mut number, mut last) = (0, (0, 0));
    let seen = async {
        loop {
            for _ in 0..5 {
                number += 1;
                cluster.submit(0, number, KEY).await;
            }
            let now = versions().await;
            if now.0 > 0 && now.0 == last.0 && now.1 > last.1 {
                return;
            }
            last = now;
        }
    };
    timeout(TEST_TIMEOUT, seen).await.expect("a renewal");
}

#[tokio::test]
async fn a_limit_ends_after_the_burst() {
    let cluster = Cluster::start(1).await;
    cluster.fleet.set_work_ms(1_000);
    burst_until_refused(&cluster, 0).await;
    wait_until(async || cluster.stored_limits().await.teams.is_empty()).await;
    let version = async || {
        let found = cluster.store.get("team-limits").await.expect("a store");
        found.map(|found| found.version)
    };
    // Nothing more is written.
    let before = version().await;
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(version().await, before);
}

/// Counts the reads of the store in a second.
async fn reads_per_s(weight: u64) -> u64 {
    let cluster = Cluster::start_with(1, weight, None).await;
    sleep(Duration::from_secs(2)).await;
    let before = cluster.faults.reads();
    sleep(Duration::from_secs(4)).await;
    (cluster.faults.reads() - before) / 4
}

// The count behind the figures of docs/CAPACITY.md. Guards against reads where
// no team has a weight.
#[tokio::test]
async fn following_limits_takes_two_reads_a_second_where_teams_have_weights() {
    let (with, without) = tokio::join!(reads_per_s(SHARE), reads_per_s(0));
    let added = with.saturating_sub(without);
    assert!((1..=3).contains(&added), "{with} and {without}");
}

#[test]
fn the_record_of_twenty_teams_takes_little_of_a_small_link() {
    let mut limits = TeamLimits::default();
    for number in 0..20 {
        limits.teams.push(LimitedTeam {
            pool: format!("pool-{}", number % 5),
            team: format!("a-team-{number}"),
            admitted_permille: 120,
            retry_after_ms: 12_345,
        });
    }
    let bytes = serde_json::to_vec(&limits).expect("JSON").len();
    assert!(bytes < 2_000, "{bytes}");
}

#[tokio::test]
async fn every_node_serves_its_status() {
    // An address that no other test uses, so that the port stays free.
    let listener =
        std::net::TcpListener::bind("127.0.0.77:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let cluster = Cluster::start_with(2, SHARE, Some(address)).await;
    let read = async || -> NodeStatus {
        let url = format!("http://{address}/status");
        let request: Request<Full<Bytes>> =
            empty_request("test", Method::GET, &url).expect("a request");
        let client: Client<_, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.expect("an answer");
        let body = response.into_body().collect().await.expect("a body");
        let text = String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8");
        assert!(!text.contains(KEY) && !text.contains("payload"), "{text}");
        serde_json::from_str(&text).expect("a status")
    };
    wait_until(async || read().await.holder.is_some()).await;
    let holder = cluster.holder().await.expect("a holder");
    let status = read().await;
    assert_eq!(status.node, "node-0");
    assert_eq!(status.holder, Some(format!("node-{holder}")));
    assert_eq!(status.scheduling.is_some(), holder == 0);
    if let Some(scheduling) = status.scheduling {
        let mut teams = scheduling.teams.iter();
        let notaries = teams.find(|team| team.team == "notaries");
        assert_eq!(notaries.expect("a team").owed, SHARE);
    }
}
