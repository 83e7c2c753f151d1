//! Nodes that carry the holder's orders, over sockets of this machine.
//!
//! The nodes say that they are weak, so that a few calls a second are more
//! than the holder carries by itself. Where it can't reach the workers at all,
//! whatever runs was carried by others.

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
        jobs::{JobNode, JobPlatform, JobSettings, RestCalls},
        logs,
    },
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    std::{
        collections::BTreeMap,
        future::Future,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Runtime,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// How long anything may take before a test gives up on it.
const LIMIT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// How much the holder says that it can schedule; the others say half.
const STRENGTH: f64 = 2.0;

/// Keeps the messages of all lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("lines");
        lines.push(line.msg().to_string());
        Ok(())
    }
}

impl Lines {
    fn count(&self, text: &str) -> usize {
        let lines = self.0.lock().expect("lines");
        lines.iter().filter(|line| line.contains(text)).count()
    }
}

struct Cluster {
    store: Store,
    fleet: TaskFleet,
    lines: Lines,
    lapsing: JoinHandle<()>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lapsing.abort();
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
        let lapsed = store.clone();
        let lapsing = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                lapsed.lapse_leases();
            }
        });
        Cluster { store, fleet, lines: Lines::default(), lapsing }
    }

    /// Starts a node that reaches the workers with these faults.
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
            &Logger::root(self.lines.clone().fuse(), o!()),
        )
        .await
    }

    /// Starts the node that schedules, which can't reach any worker by itself.
    async fn holder_cut_off(&self) -> JobNode {
        let orders = Faults::new(3);
        orders.set_outage(true);
        let node = self.node("holder", STRENGTH, orders).await;
        until(async || {
            self.store.version("q/owner").await.expect("a store") > 0
        })
        .await;
        node
    }

    async fn hand_in(&self, numbers: impl Iterator<Item = u64>) {
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
            until(async || self.is_completed(number).await).await;
        }
    }

    /// Checks that each task was started under rising numbers only.
    fn check_starts(&self) {
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
    let platform = JobPlatform {
        store,
        workers: fleet.clone(),
        fleet,
        protocol: RestCalls,
        readiness_path: "/ready",
        traffic: Traffic::default(),
        unreadable: UnreadableNotes::default(),
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
    AcceptedJob { spec, terms: terms(), accepted_at_ms: clock::unix_ms() }
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

/// Waits until something holds.
async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let waiting = async {
        while !holds().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn others_carry_what_a_holder_sends_beyond_its_means() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_cut_off().await;
    let _first = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let _second = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.hand_in(1..20).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

/// A relay that is lost takes its orders along: nobody knows whether they were
/// carried out. They are asked about over another one, and all jobs end.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_relay_leaves_its_workers_to_others() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_cut_off().await;
    let (store, fleet) = (cluster.store.clone(), cluster.fleet.clone());
    let lost = Runtime::new().expect("a runtime");
    lost.spawn(async move {
        let fleet = fleet.reached_with(Faults::new(4));
        let log = logs::discard();
        let _node = start(store, fleet, "relay-1", 1.0, &log).await;
        sleep(LIMIT).await;
    });
    cluster.hand_in(1..10).await;
    cluster.wait_for_all(1..3).await;
    cluster.fleet.set_work_ms(400);
    cluster.hand_in(10..20).await;
    lost.shutdown_background();
    let _other = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_stops_is_left_before_it_is_gone() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_cut_off().await;
    let first = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    cluster.hand_in(1..10).await;
    cluster.wait_for_all(1..3).await;
    let _second = cluster.node("relay-2", 1.0, Faults::new(5)).await;
    cluster.hand_in(10..20).await;
    first.stop().await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
}

/// What a relay says first, as it stands in a connection: the length of the
/// message, and which one it is.
const WELCOME: &[u8] = &[0, 0, 0, 1, 0];

/// An address that takes connections and never answers looks like the best
/// relay there is. It is given up, and its workers are reached otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_says_nothing_is_given_up() {
    workers_are_reached_beside_a_relay_that_says_only(b"").await;
}

/// The same for one that falls silent once it is to carry orders.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_falls_silent_is_given_up() {
    workers_are_reached_beside_a_relay_that_says_only(WELCOME).await;
}

/// The same for one whose messages can't be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_cannot_be_understood_is_given_up() {
    let odd = [&[0, 0, 0, 1, 0xff], &[0xff; 5], &[0, 0, 0, 0, 0]];
    for text in odd {
        workers_are_reached_beside_a_relay_that_says_only(text).await;
    }
}

/// What reaches a relay and can't be read ends its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_cannot_be_understood_disturbs_no_other() {
    let cluster = Cluster::new();
    let _holder = cluster.holder_cut_off().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    let key = "relay/relay-1";
    until(async || cluster.store.version(key).await != Ok(0)).await;
    let offer = cluster.store.get(key).await.expect("a store");
    let offer = offer.expect("an offer").value;
    let offer: RelayNode = serde_json::from_slice(&offer).expect("JSON");
    let odd: [&[u8]; 4] = [b"", b"\xff\xff\xff\xff", &[0; 400], b"GET /"];
    for text in odd {
        let stranger = TcpStream::connect(&offer.address).await;
        let mut stranger = stranger.expect("a connection");
        stranger.write_all(text).await.expect("sent");
        stranger.shutdown().await.expect("ended");
    }
    cluster.hand_in(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.check_starts();
}

async fn workers_are_reached_beside_a_relay_that_says_only(
    text: &'static [u8],
) {
    let cluster = Cluster::new();
    let mute = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let offer = RelayNode {
        name: "mute".to_owned(),
        address: mute.local_addr().expect("an address").to_string(),
        strength: 1_000_000,
    };
    let heard = Arc::new(AtomicUsize::new(0));
    let counted = heard.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = mute.accept().await {
            let counted = counted.clone();
            tokio::spawn(async move {
                // The holder may be done with it.
                let _ = stream.write_all(text).await;
                let mut read = [0; 1024];
                while let Ok(count @ 1..) = stream.read(&mut read).await {
                    counted.fetch_add(count, Ordering::Relaxed);
                }
            });
        }
    });
    let offer = serde_json::to_vec(&offer).expect("plain JSON");
    let batch = Batch::default().put("relay/mute", offer);
    cluster.store.commit(&batch).await.expect("a store");
    let _holder = cluster.node("holder", STRENGTH, Faults::new(3)).await;
    cluster.hand_in(1..20).await;
    cluster.wait_for_all(1..20).await;
    cluster.check_starts();
    assert!(heard.load(Ordering::Relaxed) > 0, "it was asked to carry");
}

/// Offers of other writers may be anything; the others hold.
#[tokio::test(flavor = "multi_thread")]
async fn an_offer_that_cannot_be_read_hides_itself_alone() {
    let cluster = Cluster::new();
    let odd: [&[u8]; 4] = [b"null", b"{", b"", b"{\"name\":7}"];
    for (number, value) in odd.iter().enumerate() {
        let key = format!("relay/odd-{number}");
        let batch = Batch::default().put(&key, value.to_vec());
        cluster.store.commit(&batch).await.expect("a store");
    }
    // So may what they say of how much they can schedule.
    let strength = Batch::default().put("node/odd", b"{}".to_vec());
    cluster.store.commit(&strength).await.expect("a store");
    let _holder = cluster.holder_cut_off().await;
    let _relay = cluster.node("relay-1", 1.0, Faults::new(4)).await;
    cluster.hand_in(1..10).await;
    cluster.wait_for_all(1..10).await;
    cluster.check_starts();
    // Each once, though all of them are read each few seconds.
    assert_eq!(cluster.lines.count("passed over"), odd.len() + 1);
}
