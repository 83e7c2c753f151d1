//! Guards against stale orders from a resumed relay. While a relay's VM is
//! suspended, its holder's orders wait in the connection. When the relay
//! resumes, seconds after the holder gave them up, it must not execute them as
//! if they had just arrived: a worker that has had no contact with a later
//! holder would accept them. Each order carries its age and how long its
//! holder waits for it, so that the relay can drop expired ones. The relay
//! compares both nodes' steady clocks, which count suspensions.
//!
//! The test puts a proxy between the two that buffers what the holder sends,
//! as the kernel of a suspended relay would, and advances the steady clock. It
//! has a file of its own because the clock is shared by the whole process.

use {
    dewspar::{
        job::{JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec},
        relay::RelayNode,
        schedule::{AcceptedJob, QueueTerms},
    },
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::{
        future::Future,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        time::{sleep, timeout},
    },
};

/// How long any step may take before the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// How long to wait for an order to be executed: many times what the relay
/// needs.
const EXECUTION_WAIT: Duration = Duration::from_millis(500);

/// How long the relay's VM is suspended, in milliseconds: much longer than a
/// holder waits for any order.
const SUSPENDED_MS: u64 = 20_000;

const POOL: &str = "registry";

/// The payload of the job whose orders arrive late.
const LATE_PAYLOAD: &str = "what was to be done 20 s ago";

/// A connection of a holder through the proxy.
#[derive(Default)]
struct ProxiedConnection {
    /// The bytes from the holder that were not forwarded.
    buffered: Mutex<Vec<u8>>,
    to_relay: Mutex<Option<OwnedWriteHalf>>,
    /// How many bytes the relay has sent, and whether it has closed the
    /// connection.
    received_bytes: AtomicUsize,
    ended: AtomicBool,
}

impl ProxiedConnection {
    fn has_buffered(&self, text: &str) -> bool {
        let buffered = self.buffered.lock().expect("bytes");
        buffered.windows(text.len()).any(|part| part == text.as_bytes())
    }

    async fn forward_to_relay(
        &self,
        mut from: OwnedReadHalf,
        is_paused: &AtomicBool,
    ) {
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            let paused = is_paused.load(Ordering::Relaxed);
            if paused || !self.buffered.lock().expect("bytes").is_empty() {
                let mut buffered = self.buffered.lock().expect("bytes");
                buffered.extend_from_slice(&bytes[..count]);
                continue;
            }
            self.send(&bytes[..count]).await;
        }
    }

    /// Sends bytes to the relay; ignores the error if it is gone.
    async fn send(&self, bytes: &[u8]) {
        let to_relay = self.to_relay.lock().expect("a half").take();
        let Some(mut to_relay) = to_relay else { return };
        let _ = to_relay.write_all(bytes).await;
        *self.to_relay.lock().expect("a half") = Some(to_relay);
    }

    async fn forward_to_holder(
        &self,
        mut from: OwnedReadHalf,
        to: OwnedWriteHalf,
    ) {
        let mut to = to;
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            self.received_bytes.fetch_add(count, Ordering::Relaxed);
            // The holder may have closed the connection.
            let _ = to.write_all(&bytes[..count]).await;
        }
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// A proxy between a holder and a relay that can stop forwarding.
#[derive(Clone, Default)]
struct BufferingProxy {
    is_paused: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Arc<ProxiedConnection>>>>,
}

impl BufferingProxy {
    /// Starts the proxy for a relay, and returns its address.
    async fn listen_for(&self, relay: &str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (proxy, relay) = (self.clone(), relay.to_owned());
        tokio::spawn(async move {
            while let Ok((holder, _)) = listener.accept().await {
                proxy.open(holder, &relay).await;
            }
        });
        address.to_string()
    }

    async fn open(&self, holder: TcpStream, relay: &str) {
        let relay = TcpStream::connect(relay).await.expect("a relay");
        let (from_holder, to_holder) = holder.into_split();
        let (from_relay, to_relay) = relay.into_split();
        let connection = Arc::new(ProxiedConnection::default());
        *connection.to_relay.lock().expect("a half") = Some(to_relay);
        self.connections.lock().expect("a list").push(connection.clone());
        let (back, is_paused) = (connection.clone(), self.is_paused.clone());
        tokio::spawn(async move {
            connection.forward_to_relay(from_holder, &is_paused).await;
        });
        tokio::spawn(async move {
            back.forward_to_holder(from_relay, to_holder).await;
        });
    }

    fn set_paused(&self, paused: bool) {
        self.is_paused.store(paused, Ordering::Relaxed);
    }

    /// Waits until a connection has buffered this text, and returns the
    /// connection.
    async fn wait_until_buffered(&self, text: &str) -> Arc<ProxiedConnection> {
        let find = || {
            let connections = self.connections.lock().expect("a list").clone();
            connections
                .into_iter()
                .find(|connection| connection.has_buffered(text))
        };
        wait_until(async || find().is_some()).await;
        find().expect("a connection")
    }
}

async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("in time");
}

async fn start(
    store: &Store,
    fleet: TaskFleet,
    name: &str,
    strength: f64,
) -> JobNode {
    let mut settings = JobSettings::loopback(name);
    settings.relay_address = Some(settings.callers_address);
    settings.machine.cpu_millis = strength;
    let platform = JobPlatform {
        store: store.clone(),
        workers: fleet.clone(),
        fleet,
        protocol: RestProtocol,
        readiness_path: "/ready",
        traffic: Traffic::default(),
        unreadable: UnreadableNotes::default(),
        peers: None,
    };
    let node =
        JobNode::start(&settings, platform, None, &logs::discard()).await;
    node.expect("a started node")
}

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

async fn submit(store: &Store, number: u64, payload: &str) {
    let step = StepSpec { count: 2, cpu_millis: 500, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        payload: payload.to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let accepted_at_ms = clock::unix_ms();
    let job = AcceptedJob { spec, terms: terms(), accepted_at_ms, team: None };
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{}", id(number)), job);
    store.commit(&batch).await.expect("a store");
}

async fn wait_until_completed(store: &Store, number: u64) {
    let key = format!("run/{}", id(number));
    wait_until(async || {
        let found = store.get(&key).await.expect("a store");
        let progress = found.and_then(|found| {
            serde_json::from_slice::<Progress>(&found.value).ok()
        });
        progress.is_some_and(|p| p.phase == Phase::Completed)
    })
    .await;
}

/// Replaces the address in the relay's offer by that of a proxy.
async fn put_proxy_before_relay(store: &Store, key: &str) -> BufferingProxy {
    wait_until(async || store.version(key).await != Ok(0)).await;
    let offer = store.get(key).await.expect("a store").expect("an offer");
    let offer: RelayNode = serde_json::from_slice(&offer.value).expect("JSON");
    let proxy = BufferingProxy::default();
    let address = proxy.listen_for(&offer.address).await;
    let offer = RelayNode { address, ..offer };
    let offer = serde_json::to_vec(&offer).expect("plain JSON");
    let batch = Batch::default().put(key, offer);
    store.commit(&batch).await.expect("a store");
    proxy
}

fn is_held_by(owner: Option<&[u8]>, node: &str) -> bool {
    let owner = owner.map(String::from_utf8_lossy);
    owner.is_some_and(|owner| owner.contains(&format!("\"{node}\"")))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_relay_drops_orders_that_its_holder_gave_up() {
    let store = Store::new(Faults::new(1));
    let store_clone = store.clone();
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(50)).await;
            store_clone.lapse_leases();
        }
    });
    let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
    let queue = Queue {
        name: "extracts".to_owned(),
        timeout_ms: 3_000,
        terms: terms(),
        ..Queue::default()
    };
    fleet.configure(QueueSet::new(1, vec![queue]));
    let reached = fleet.reached_with(Faults::new(4));
    let _relay = start(&store, reached, "relay", 1.0).await;
    let proxy = put_proxy_before_relay(&store, "relay/relay").await;
    // The holder reaches no worker directly, so all tasks are started over the
    // relay.
    let cut_off = Faults::new(3);
    cut_off.set_outage(true);
    let reached = fleet.reached_with(cut_off);
    let _holder = start(&store, reached, "holder", 2.0).await;
    wait_until(async || {
        let owner = store.get("q/owner").await.expect("a store");
        is_held_by(owner.as_ref().map(|o| o.value.as_slice()), "holder")
    })
    .await;
    for number in 1..6 {
        submit(&store, number, "what to do").await;
        wait_until_completed(&store, number).await;
    }

    proxy.set_paused(true);
    submit(&store, 50, LATE_PAYLOAD).await;
    let connection = proxy.wait_until_buffered(LATE_PAYLOAD).await;
    let buffered = connection.buffered.lock().expect("bytes").clone();
    let received_bytes = connection.received_bytes.load(Ordering::Relaxed);
    clock::suppose_suspension(SUSPENDED_MS);
    connection.send(&buffered).await;
    wait_until(async || {
        connection.received_bytes.load(Ordering::Relaxed) > received_bytes
            || connection.ended.load(Ordering::Relaxed)
    })
    .await;
    sleep(EXECUTION_WAIT).await;
    let started = fleet.started();
    let late = started.iter().filter(|(task, _)| task.job == id(50));
    assert_eq!(late.count(), 0, "tasks started by expired orders");

    // The holder uses the relay again.
    proxy.set_paused(false);
    wait_until_completed(&store, 50).await;
}
