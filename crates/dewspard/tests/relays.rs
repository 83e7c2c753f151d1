//! Integration tests of nodes that relay the holder's orders, over loopback
//! sockets.
//!
//! The nodes are configured as weak, so that a few calls a second exceed what
//! the holder sends by itself. Where the holder can't reach the workers at
//! all, every task that runs was started over a relay.

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
    },
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    std::{
        collections::BTreeMap,
        future::Future,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        runtime::Runtime,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// How long any step may take before a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// The holder's scheduling capacity; the other nodes have half of it.
const HOLDER_STRENGTH: f64 = 2.0;

/// The link bandwidth of each node, in megabits per second: enough to transfer
/// the longest message in a tenth of a second.
const LINK_MBPS: f64 = 10_000.0;

/// Collects the messages of all log lines.
#[derive(Clone, Debug, Default)]
struct CapturedLog(Arc<Mutex<Vec<String>>>);

impl Drain for CapturedLog {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("lines");
        lines.push(line.msg().to_string());
        Ok(())
    }
}

impl CapturedLog {
    fn count(&self, text: &str) -> usize {
        let lines = self.0.lock().expect("lines");
        lines.iter().filter(|line| line.contains(text)).count()
    }
}

struct Cluster {
    /// The log of all nodes.
    lines: CapturedLog,
    store: Store,
    fleet: TaskFleet,
    lease_expiry: JoinHandle<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

impl Cluster {
    fn new() -> Cluster {
        let store = Store::new(Faults::new(1));
        let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
        let queue = Queue {
            name: "extracts".to_owned(),
            timeout_ms: 3_000,
            terms: terms(),
            ..Queue::default()
        };
        fleet.configure(QueueSet::new(1, vec![queue]));
        let store_clone = store.clone();
        let lease_expiry = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                store_clone.lapse_leases();
            }
        });
        Cluster { lines: CapturedLog::default(), store, fleet, lease_expiry }
    }

    /// Starts a node whose calls to workers have these faults.
    async fn node(
        &self,
        name: &str,
        strength: f64,
        orders: Faults,
    ) -> JobNode {
        start(
            self.store.clone(),
            self.fleet.reached_with(orders),
            name,
            strength,
            &self.log(),
        )
        .await
    }

    fn log(&self) -> Logger {
        Logger::root(self.lines.clone().fuse(), o!())
    }

    /// Starts the node that schedules, which can't reach any worker directly.
    async fn holder_without_workers(&self) -> JobNode {
        let orders = Faults::new(3);
        orders.set_outage(true);
        let node = self.node("holder", HOLDER_STRENGTH, orders).await;
        self.wait_for_holder().await;
        node
    }

    async fn wait_for_holder(&self) {
        wait_until(async || {
            self.store.version("q/owner").await.expect("a store") > 0
        })
        .await;
    }

    /// Writes the offer of a node to relay at this address.
    async fn offer(&self, name: &str, address: SocketAddr, strength: u64) {
        let offer = RelayNode {
            name: name.to_owned(),
            address: address.to_string(),
            strength,
            ..RelayNode::default()
        };
        let offer = serde_json::to_vec(&offer).expect("plain JSON");
        let batch = Batch::default().put(&format!("relay/{name}"), offer);
        self.store.commit(&batch).await.expect("a store");
    }

    /// Returns the address at which a node offers to relay.
    async fn relay_address_of(&self, name: &str) -> SocketAddr {
        let key = format!("relay/{name}");
        wait_until(async || {
            self.store.version(&key).await.expect("a store") > 0
        })
        .await;
        let found = self.store.get(&key).await.expect("a store");
        let offer: RelayNode =
            serde_json::from_slice(&found.expect("an offer").value)
                .expect("an offer");
        offer.address.parse().expect("an address")
    }

    async fn submit(&self, numbers: impl Iterator<Item = u64>) {
        for number in numbers {
            let job = serde_json::to_vec(&job()).expect("plain JSON");
            let key = format!("q/in/{}", id(number));
            let batch = Batch::default().put(&key, job);
            self.store.commit(&batch).await.expect("a store");
        }
    }

    async fn is_completed(&self, number: u64) -> bool {
        let key = format!("run/{}", id(number));
        let found = self.store.get(&key).await.expect("a store");
        let progress = found.and_then(|found| {
            serde_json::from_slice::<Progress>(&found.value).ok()
        });
        progress.is_some_and(|p| p.phase == Phase::Completed)
    }

    async fn wait_for_all(&self, numbers: impl Iterator<Item = u64>) {
        for number in numbers {
            wait_until(async || self.is_completed(number).await).await;
        }
    }

    /// Checks that no task ran twice concurrently or again after it was done,
    /// and that its runs were started in increasing order.
    fn check_starts(&self) {
        assert_eq!(self.fleet.ran_twice(), []);
        let mut last: BTreeMap<String, u64> = BTreeMap::new();
        for (task, run) in self.fleet.started() {
            let before = last.insert(task.to_string(), run);
            assert!(before.is_none_or(|before| before < run), "{task}");
        }
    }
}

async fn start(
    store: Store,
    fleet: TaskFleet,
    name: &str,
    strength: f64,
    log: &Logger,
) -> JobNode {
    let mut settings = JobSettings::loopback(name);
    settings.relay_address = Some(settings.callers_address);
    settings.machine.cpu_millis = strength;
    settings.machine.link_mbps = LINK_MBPS;
    let platform = JobPlatform {
        store,
        workers: fleet.clone(),
        fleet,
        protocol: RestProtocol,
        readiness_path: "/ready",
        traffic: Traffic::default(),
        unreadable: UnreadableNotes::default(),
        peers: None,
    };
    let node = JobNode::start(&settings, platform, None, log).await;
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

fn job() -> AcceptedJob {
    let step = StepSpec { count: 3, cpu_millis: 500, ..StepSpec::default() };
    let second = StepSpec { after: vec![0], ..step.clone() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        payload: "what to do".to_owned(),
        steps: vec![step, second],
        ..JobSpec::default()
    };
    AcceptedJob {
        spec,
        terms: terms(),
        accepted_at_ms: clock::unix_ms(),
        team: None,
    }
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

/// Polls until a condition is true.
async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn relays_carry_orders_beyond_the_capacity_of_the_holder() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let _first = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let _second = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.submit(1..20).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

/// When a relay is lost, the results of its orders are unknown. The holder
/// queries the workers over another relay, and all jobs complete.
#[tokio::test(flavor = "multi_thread")]
async fn workers_of_a_lost_relay_move_to_another() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let (store, fleet) = (cluster.store.clone(), cluster.fleet.clone());
    let log = cluster.log();
    let lost = Runtime::new().expect("a runtime");
    lost.spawn(async move {
        let fleet = fleet.reached_with(Faults::new(4));
        let _node = start(store, fleet, "relay-1", 1.0, &log).await;
        sleep(TEST_TIMEOUT).await;
    });
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..3).await;
    cluster.fleet.set_work_ms(400);
    cluster.submit(10..20).await;
    lost.shutdown_background();
    let _other = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_relay_is_replaced_before_it_exits() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let first = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..3).await;
    let _second = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.submit(10..20).await;
    first.stop().await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

/// The first message of a relay as sent: the length, then the variant.
const WELCOME_BYTES: &[u8] = &WELCOME_FRAME;

/// An address that accepts connections and never answers looks like the
/// strongest relay. It must be abandoned, and its workers be reached
/// otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_never_answers_is_abandoned() {
    check_fallback_from_relay_that_sends_only(b"").await;
}

/// The same for a relay that falls silent once it is given orders.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_falls_silent_is_abandoned() {
    check_fallback_from_relay_that_sends_only(WELCOME_BYTES).await;
}

/// The same for a relay whose messages can't be decoded.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_cannot_be_understood_is_given_up() {
    let malformed = [&[0, 0, 0, 1, 0xff], &[0xff; 5], &[0, 0, 0, 0, 0]];
    for text in malformed {
        check_fallback_from_relay_that_sends_only(text).await;
    }
}

/// A malformed message to a relay ends only its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_cannot_be_understood_disturbs_no_other() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let key = "relay/relay-1";
    wait_until(async || cluster.store.version(key).await != Ok(0)).await;
    let offer = cluster.store.get(key).await.expect("a store");
    let offer = offer.expect("an offer").value;
    let offer: RelayNode = serde_json::from_slice(&offer).expect("JSON");
    let malformed: [&[u8]; 4] =
        [b"", b"\xff\xff\xff\xff", &[0; 400], b"GET /"];
    for text in malformed {
        let stranger = TcpStream::connect(&offer.address).await;
        let mut stranger = stranger.expect("a connection");
        stranger.write_all(text).await.expect("sent");
        stranger.shutdown().await.expect("ended");
    }
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.check_starts();
}

async fn check_fallback_from_relay_that_sends_only(text: &'static [u8]) {
    let cluster = Cluster::new();
    let silent_relay = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    cluster.offer("mute", address_of(&silent_relay), 1_000_000).await;
    let received_bytes = Arc::new(AtomicUsize::new(0));
    let counted = received_bytes.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = silent_relay.accept().await {
            let counted = counted.clone();
            tokio::spawn(async move {
                // The holder may have closed the connection.
                let _ = stream.write_all(text).await;
                let mut read = [0; 1024];
                while let Ok(count @ 1..) = stream.read(&mut read).await {
                    counted.fetch_add(count, Ordering::Relaxed);
                }
            });
        }
    });
    let _holder =
        cluster.node("holder", HOLDER_STRENGTH, Faults::new(3)).await;
    cluster.wait_for_holder().await;
    cluster.submit(1..20).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
    assert!(
        received_bytes.load(Ordering::Relaxed) > 0,
        "the holder contacted the relay"
    );
    // A relay that never sends a welcome is given no orders.
    if text.is_empty() {
        assert_eq!(cluster.lines.count("relay: lost"), 0);
        assert!(cluster.lines.count("relay: not reached") > 0);
    }
}

/// The payload size of each task, in bytes: the payloads of all tasks that fit
/// on the workers exceed the longest message.
const LARGE_PAYLOAD: usize = 5_700_000;

#[tokio::test(flavor = "multi_thread")]
async fn large_payloads_are_split_over_several_messages() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    // A relay is chosen once there are enough orders.
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    let mut batch = Batch::default();
    for number in 10..14 {
        let mut job = job();
        job.spec.steps.truncate(1);
        job.spec.steps[0].count = 1;
        job.spec.payload = "x".repeat(LARGE_PAYLOAD);
        let job = serde_json::to_vec(&job).expect("plain JSON");
        batch = batch.put(&format!("q/in/{}", id(number)), job);
    }
    cluster.store.commit(&batch).await.expect("a store");
    cluster.wait_for_all(10..14).await;
    assert_eq!(cluster.lines.count("relay: lost"), 0);
}

/// Unreadable offers of other writers must not affect the readable ones.
#[tokio::test(flavor = "multi_thread")]
async fn an_offer_that_cannot_be_read_hides_itself_alone() {
    let cluster = Cluster::new();
    let malformed: [&[u8]; 4] = [b"null", b"{", b"", b"{\"name\":7}"];
    for (number, value) in malformed.iter().enumerate() {
        let key = format!("relay/odd-{number}");
        let batch = Batch::default().put(&key, value.to_vec());
        cluster.store.commit(&batch).await.expect("a store");
    }
    // The same holds for an unreadable strength.
    let strength = Batch::default().put("max-strength", b"{}".to_vec());
    cluster.store.commit(&strength).await.expect("a store");
    let _holder = cluster.holder_without_workers().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.check_starts();
    // Each is logged once, although all of them are read every few seconds.
    // Reports of workers that arrive out of order are passed over as well, in
    // lines of their own.
    let logged = cluster.lines.count("platform: passed over");
    assert_eq!(logged, malformed.len() + 1, "{:?}", cluster.lines);
}

/// The first message of a relay, with its length prefix.
const WELCOME_FRAME: [u8; 5] = [0, 0, 0, 1, 0];

/// A message without orders, with its length prefix.
const EMPTY_ORDERS_FRAME: [u8; 8] = [0, 0, 0, 4, 1, 0, 0, 0];

/// The version of the messages.
const VERSION: u8 = 5;

/// Returns the first message of a holder under this lease, with its length
/// prefix.
fn hello(lease_revision: u8) -> Vec<u8> {
    let message = [0, VERSION, 1, b'h', lease_revision, 0];
    let length = [0, 0, 0, message.len() as u8];
    [&length[..], &message[..]].concat()
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// Reads until the peer closes the connection.
async fn read_to_end(mut stream: TcpStream) {
    let mut read = [0; 1024];
    while stream.read(&mut read).await.is_ok_and(|n| n > 0) {}
}

/// Sends a welcome on each connection and nothing more; returns how many
/// connections were opened and how many have ended.
fn serve_welcome_only(listener: TcpListener) -> [Arc<AtomicUsize>; 2] {
    let (opened, ended) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let counts = [opened.clone(), ended.clone()];
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (opened, ended) = (opened.clone(), ended.clone());
            tokio::spawn(async move {
                let said = stream.write_all(&WELCOME_FRAME).await;
                said.expect("an open connection");
                opened.fetch_add(1, Ordering::Relaxed);
                read_to_end(stream).await;
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    counts
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_answers_no_order_is_lost() {
    let cluster = Cluster::new();
    let silent = listen().await;
    cluster.offer("silent", address_of(&silent), 1_000_000).await;
    let _counts = serve_welcome_only(silent);
    let _holder =
        cluster.node("holder", HOLDER_STRENGTH, Faults::new(3)).await;
    cluster.submit(1..20).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
    assert!(cluster.lines.count("relay: lost") > 0);
}

/// When a suspended relay resumes, it still has orders that its holder gave up
/// long ago, and whose tasks were started over other paths meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_relay_with_stale_orders_starts_nothing_twice() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let orders = Faults::new(4);
    let _relay = cluster.node("relay-1", 1.0, orders.clone()).await;
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    orders.set_delay_us(2_000_000);
    cluster.submit(10..14).await;
    sleep(Duration::from_millis(500)).await;
    let before = cluster.fleet.started().len();
    orders.set_delay_us(0);
    cluster.wait_for_all(10..14).await;
    // The stale orders arrive.
    sleep(Duration::from_secs(3)).await;
    cluster.check_starts();
    // Six tasks per job, and none was started by a stale order.
    assert_eq!(cluster.fleet.started().len() - before, 4 * 6);
}

/// Two holders use one relay, and the former doesn't know of the latter yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_serves_only_the_latest_holder() {
    let cluster = Cluster::new();
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let address = cluster.relay_address_of("relay-1").await;
    let connect = async |lease_revision| {
        let mut stream = TcpStream::connect(address).await.expect("a relay");
        let hello = hello(lease_revision);
        stream.write_all(&hello).await.expect("an open connection");
        stream
    };
    let is_welcomed = async |stream: &mut TcpStream| {
        let mut said = [0; WELCOME_FRAME.len()];
        let read = stream.read_exact(&mut said);
        let read = timeout(TEST_TIMEOUT, read).await.expect("in time");
        read.is_ok_and(|_| said == WELCOME_FRAME)
    };
    let mut former = connect(5).await;
    assert!(is_welcomed(&mut former).await);
    let mut latest = connect(7).await;
    assert!(is_welcomed(&mut latest).await);
    // Its connection ends with the next message that it sends.
    former.write_all(&EMPTY_ORDERS_FRAME).await.expect("an open connection");
    timeout(TEST_TIMEOUT, read_to_end(former))
        .await
        .expect("the connection ends");
    let mut between = connect(6).await;
    assert!(!is_welcomed(&mut between).await, "there is a later holder");
    // The latest holder reconnects after losing its connection.
    let mut again = connect(7).await;
    assert!(is_welcomed(&mut again).await);
}

/// One relay sends its welcome at once and the other never does, so that the
/// holder stops while it waits for both.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_stops_while_connecting_leaves_no_connection() {
    let cluster = Cluster::new();
    let (quick, silent_relay) = (listen().await, listen().await);
    cluster.offer("quick", address_of(&quick), 1).await;
    cluster.offer("mute", address_of(&silent_relay), 1).await;
    let [opened, ended] = serve_welcome_only(quick);
    tokio::spawn(async move {
        while let Ok((stream, _)) = silent_relay.accept().await {
            tokio::spawn(read_to_end(stream));
        }
    });
    let holder = cluster.node("holder", HOLDER_STRENGTH, Faults::new(3)).await;
    cluster.wait_for_holder().await;
    cluster.submit(1..20).await;
    wait_until(async || opened.load(Ordering::Relaxed) > 0).await;
    sleep(Duration::from_millis(50)).await;
    holder.stop().await;
    let opened = opened.load(Ordering::Relaxed);
    wait_until(async || ended.load(Ordering::Relaxed) == opened).await;
}

/// A single late answer must not count as silence of the relay.
#[tokio::test(flavor = "multi_thread")]
async fn one_late_answer_does_not_end_a_relay() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_without_workers().await;
    let orders = Faults::new(4);
    let _relay = cluster.node("relay-1", 1.0, orders.clone()).await;
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    // Wait until the node sends no more calls.
    sleep(Duration::from_secs(1)).await;
    orders.set_delay_us(1_000_000);
    let mut late = job();
    late.spec.steps.truncate(1);
    late.spec.steps[0].count = 1;
    let late = serde_json::to_vec(&late).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{}", id(10)), late);
    cluster.store.commit(&batch).await.expect("a store");
    sleep(Duration::from_millis(500)).await;
    orders.set_delay_us(0);
    cluster.wait_for_all(10..11).await;
    cluster.check_starts();
    assert_eq!(cluster.lines.count("relay: lost"), 0);
}

/// Forwards connections to the relay, and counts the bytes sent to it.
fn proxy_connections(
    listener: TcpListener,
    relay: SocketAddr,
) -> Arc<AtomicUsize> {
    let relayed_bytes = Arc::<AtomicUsize>::default();
    let counted = relayed_bytes.clone();
    tokio::spawn(async move {
        while let Ok((holder, _)) = listener.accept().await {
            let relay = TcpStream::connect(relay).await.expect("a relay");
            let (from_holder, to_holder) = holder.into_split();
            let (from_relay, to_relay) = relay.into_split();
            tokio::spawn(copy_bytes(from_holder, to_relay, counted.clone()));
            tokio::spawn(copy_bytes(from_relay, to_holder, Arc::default()));
        }
    });
    relayed_bytes
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    copied: Arc<AtomicUsize>,
) {
    let mut read = [0; 4096];
    while let Ok(bytes @ 1..) = from.read(&mut read).await {
        if to.write_all(&read[..bytes]).await.is_err() {
            return;
        }
        copied.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Longer than the lease lasts without renewal, and shorter than a holder
/// continues without the store.
const UNCERTAIN_LEASE_WAIT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn no_orders_are_relayed_while_the_lease_may_have_expired() {
    let cluster = Cluster::new();
    let holder = cluster.node("holder", HOLDER_STRENGTH, Faults::new(3)).await;
    cluster.wait_for_holder().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let relay = cluster.relay_address_of("relay-1").await;
    let between = listen().await;
    cluster.offer("relay-1", address_of(&between), 1_000).await;
    let relayed_bytes = proxy_connections(between, relay);
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.fleet.set_work_ms(60_000);
    cluster.submit(10..12).await;
    wait_until(async || !cluster.fleet.running().is_empty()).await;
    let initial_bytes = relayed_bytes.load(Ordering::Relaxed);
    wait_until(async || relayed_bytes.load(Ordering::Relaxed) > initial_bytes)
        .await;
    cluster.store.faults().set_outage(true);
    sleep(UNCERTAIN_LEASE_WAIT).await;
    let before = relayed_bytes.load(Ordering::Relaxed);
    sleep(UNCERTAIN_LEASE_WAIT).await;
    assert_eq!(relayed_bytes.load(Ordering::Relaxed), before);
    assert!(!cluster.fleet.running().is_empty(), "they were asked directly");
    drop(holder);
}

/// The log message of a node that gives up the lease.
const LEASE_RELEASED_MESSAGE: &str = "this node no longer schedules";

/// How long each task takes where tasks should end under both holders, in
/// milliseconds.
const TASK_DURATION_MS: u64 = 150;

/// The holder loses its connection to the store, but not to the relay and,
/// over it, to the workers. Another node takes the lease while the former
/// holder continues with what it knows. Neither node reaches a worker
/// directly, so all tasks are started over the one relay, which must serve
/// only the later holder. No task may run twice.
#[tokio::test(flavor = "multi_thread")]
async fn one_relay_serves_the_successor_of_a_partitioned_holder() {
    let cluster = Cluster::new();
    cluster.fleet.set_work_ms(TASK_DURATION_MS);
    let (store_faults, lines) = (Faults::new(7), CapturedLog::default());
    let log = Logger::root(lines.clone().fuse(), o!());
    let cut_off = |seed| {
        let orders = Faults::new(seed);
        orders.set_outage(true);
        cluster.fleet.reached_with(orders)
    };
    let store = cluster.store.reached_with(store_faults.clone());
    let former = start(store, cut_off(3), "former", HOLDER_STRENGTH, &log);
    let _former = former.await;
    cluster.wait_for_holder().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    cluster.submit(1..30).await;
    cluster.wait_for_all(1..3).await;
    let owner = async || cluster.store.version("q/owner").await;
    let before = owner().await;

    // The former holder reaches no worker, so it must not relay either.
    cluster.store.delete("relay/former").await.expect("a store");
    store_faults.set_outage(true);
    let (store, fleet) = (cluster.store.clone(), cut_off(6));
    let log = cluster.log();
    let _next = start(store, fleet, "next", HOLDER_STRENGTH, &log).await;
    let is_taken = |now| now != Ok(0) && now != before;
    wait_until(async || is_taken(owner().await)).await;
    assert_eq!(
        lines.count(LEASE_RELEASED_MESSAGE),
        0,
        "the former holder continues without the store"
    );
    cluster.submit(30..40).await;
    cluster.wait_for_all(1..40).await;
    cluster.check_starts();
    wait_until(async || lines.count(LEASE_RELEASED_MESSAGE) == 1).await;

    // With the store back, the former holder stays a follower.
    let after = owner().await;
    store_faults.set_outage(false);
    cluster.submit(40..50).await;
    cluster.wait_for_all(40..50).await;
    cluster.check_starts();
    assert_eq!(owner().await, after, "the lease has changed hands");
    // Six tasks per job, and none was restarted because of the takeover.
    assert_eq!(cluster.fleet.started().len(), 49 * 6);
}

/// Guards against tasks that run twice behind a relay that is cut off from its
/// workers. Such a relay answers at once with an error, so it doesn't count as
/// silent. If its share of the workers counts as silent instead, their
/// finished tasks are started again once their leases have expired.
#[tokio::test(flavor = "multi_thread")]
async fn workers_unreachable_by_their_relay_are_asked_directly() {
    let cluster = Cluster::new();
    let _holder =
        cluster.node("holder", HOLDER_STRENGTH, Faults::new(3)).await;
    cluster.wait_for_holder().await;
    let orders = Faults::new(4);
    let _relay = cluster.node("relay-1", 1.0, orders.clone()).await;
    cluster.submit(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.fleet.set_work_ms(TASK_DURATION_MS);
    cluster.submit(10..40).await;
    cluster.wait_for_all(10..15).await;
    assert!(cluster.lines.count("relay: chosen") > 0);
    orders.set_outage(true);
    cluster.wait_for_all(10..40).await;
    cluster.check_starts();
}
