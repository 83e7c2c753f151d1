//! A node whose own path to the store fails, with and without an answer of
//! peers in other halls.

mod support;

use {
    crate::support::wait_until,
    dewspar::{
        detour::PeerNode,
        job::{Queue, QueueSet},
        schedule::QueueTerms,
    },
    dewspar_platform::{
        Batch, Client, KeyValue, PeerRoutes, PeerServer, Traffic,
        UnreadableNotes, empty_request, json_request,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, Peers, RestProtocol},
        logs,
    },
    hyper::{Method, StatusCode},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// How long a call of these tests may take, in milliseconds: long, since a busy
/// machine must not fail them.
const TIMEOUT_MS: u64 = 20_000;

/// A peer in another hall, which answers checks or is silent.
#[derive(Clone, Default)]
struct FarPeer {
    is_silent: Arc<AtomicBool>,
    checks: Arc<AtomicUsize>,
}

impl FarPeer {
    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let peer = self.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let peer = peer.clone();
                tokio::spawn(async move {
                    let mut read = [0; 4_096];
                    while let Ok(1..) = stream.read(&mut read).await {
                        peer.checks.fetch_add(1, Ordering::Relaxed);
                        if peer.is_silent.load(Ordering::Relaxed) {
                            return;
                        }
                        let answer = b"HTTP/1.1 200 X\r\n\
                                       content-length: 0\r\n\r\n";
                        if stream.write_all(answer).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
}

struct Site {
    store: Store,
    far: FarPeer,
    /// A client of the store over the node's paths, and an address that
    /// answers.
    own_path: Client,
    answering: SocketAddr,
    node: JobNode,
    readiness: SocketAddr,
}

impl Site {
    /// Starts a node that knows a peer in another hall. Another node holds the
    /// lease.
    async fn start(tolerated_halls: usize) -> Site {
        let store = Store::new(Faults::new(1));
        let far = FarPeer::default();
        let reader = PeerNode {
            name: "far".to_owned(),
            hall: "hall-2".to_owned(),
            address: far.serve().await.to_string(),
            strength: 1,
        };
        let readers = serde_json::to_vec(&[reader]).expect("plain JSON");
        let owner = br#"{"node":"other","incarnation":1,"strength":1000}"#;
        let batch = Batch::default()
            .put("readers", readers)
            .put("q/owner", owner.to_vec());
        store.commit(&batch).await.expect("a store");
        let fleet = TaskFleet::new(Faults::new(2), "registry", 1);
        let queue = Queue {
            name: "extracts".to_owned(),
            timeout_ms: TIMEOUT_MS,
            terms: QueueTerms {
                pool: "registry".to_owned(),
                max_attempts: 1,
                stretch: 2.0,
                ..QueueTerms::default()
            },
            ..Queue::default()
        };
        fleet.configure(QueueSet::new(1, vec![queue]));
        let answering = FarPeer::default().serve().await;
        let routes = PeerRoutes::default();
        let client = Client::new(TIMEOUT_MS);
        let authority = answering.to_string().parse().expect("an address");
        let server = PeerServer::new(&client, authority, |_| 0, |_, _| true);
        let own_path = client.with_peers(&routes);
        let mut settings = JobSettings::loopback("node");
        settings.tolerate.halls = Some(tolerated_halls);
        let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let readiness = free.local_addr().expect("an address");
        drop(free);
        settings.readiness_address = readiness;
        let platform = JobPlatform {
            store: store.clone(),
            workers: fleet.clone(),
            fleet,
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
            peers: Some(Peers { routes: routes.clone(), server }),
        };
        let log = logs::discard();
        let node = JobNode::start(&settings, platform, None, &log).await;
        let node = node.expect("a started node");
        let site = Site { store, far, own_path, answering, node, readiness };
        wait_until(async || site.is_ready().await).await;
        wait_until(async || routes.status().peers == 1).await;
        site
    }

    async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.readiness);
        let request = empty_request("ready", Method::GET, &url);
        let request = request.expect("a request");
        let answer = Client::new(TIMEOUT_MS).send("ready", request).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Submits a job; returns the status, and whether it is stored.
    async fn submit(&self, id: &str) -> (StatusCode, bool) {
        let status = self.submitted(id).await;
        let key = format!("q/in/{id}");
        let stored = self.store.version(&key).await.expect("a store") > 0;
        (status, stored)
    }

    /// Submits a job; returns the status.
    async fn submitted(&self, id: &str) -> StatusCode {
        let address = self.node.caller_address();
        let url = format!("http://{address}/v1/queues/extracts/jobs/{id}");
        let body = json!({ "payload": "x", "steps": [{ "count": 1 }] });
        let request = json_request("submit", Method::POST, &url, &body);
        let request = request.expect("a request");
        let answer = Client::new(TIMEOUT_MS).send("submit", request).await;
        answer.expect("an answer").status
    }

    /// Has the node's own path to the store fail or answer.
    async fn call_store(&self, works: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let gone = listener.local_addr().expect("an address");
        drop(listener);
        let address = if works { self.answering } else { gone };
        let url = format!("http://{address}/");
        let request = empty_request("read", Method::GET, &url);
        let request = request.expect("a request");
        let _ = self.own_path.send("read", request).await;
    }
}

/// Guards against callers that are sent to a cut-off hall for seconds and wait
/// there for their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_reaches_no_other_hall_refuses_at_once() {
    let site = Site::start(1).await;
    let (status, stored) = site.submit("0000000000000001").await;
    assert_eq!((status, stored), (StatusCode::CREATED, true));
    site.far.is_silent.store(true, Ordering::Relaxed);
    site.call_store(false).await;
    wait_until(async || !site.is_ready().await).await;
    let (status, stored) = site.submit("0000000000000002").await;
    assert_eq!((status, stored), (StatusCode::SERVICE_UNAVAILABLE, false));
    // The hall is connected again.
    site.far.is_silent.store(false, Ordering::Relaxed);
    wait_until(async || site.is_ready().await).await;
    let (status, stored) = site.submit("0000000000000003").await;
    assert_eq!((status, stored), (StatusCode::CREATED, true));
}

/// Guards against callers whose write is under way when their node is cut off,
/// and who wait for their deadlines there.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_under_way_ends_when_the_node_is_cut_off() {
    let site = Site::start(1).await;
    site.store.faults().set_delay_us(1_000 * TIMEOUT_MS);
    let began = std::time::Instant::now();
    let cutting = async {
        // By then the write is sent.
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        site.far.is_silent.store(true, Ordering::Relaxed);
        site.call_store(false).await;
    };
    let submitting = site.submitted("0000000000000001");
    let (status, ()) = tokio::join!(submitting, cutting);
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    let took_ms = began.elapsed().as_millis();
    assert!(took_ms < u128::from(TIMEOUT_MS / 2), "{took_ms} ms");
}

/// Guards against an outage of the store, or one that refuses this node alone,
/// that is taken for the loss of a hall.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_reaches_another_hall_stays_ready() {
    let site = Site::start(1).await;
    let before = site.far.checks.load(Ordering::Relaxed);
    site.call_store(false).await;
    wait_until(async || site.far.checks.load(Ordering::Relaxed) > before + 2)
        .await;
    assert!(site.is_ready().await);
    site.call_store(true).await;
}

/// Guards against any change where the loss of halls needn't be tolerated.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_nobody_is_checked() {
    let site = Site::start(0).await;
    site.far.is_silent.store(true, Ordering::Relaxed);
    site.call_store(false).await;
    let before = site.far.checks.load(Ordering::Relaxed);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    assert_eq!(site.far.checks.load(Ordering::Relaxed), before);
    assert!(site.is_ready().await);
}
