//! What lies under the scheduler lease's key couldn't be read, and no lease of
//! the store ended it: each node took it for another node's lease and waited
//! for its end, so that nothing was ever scheduled again. No version of the
//! program writes that key without a lease. So what stands there unchanged
//! for longer than any holder would leave it is nobody's, and is replaced; it
//! isn't at once, for it may be a holder's of another kind, which writes it
//! again and again. What a lease does end is left to that lease.
//!
//! In a file of its own: the time that is supposed to pass does so for the
//! whole process.

use {
    dewspar::{
        job::{JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec},
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
        future::Future,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// How long anything may take before the test gives up on it.
const LIMIT: Duration = Duration::from_secs(20);

/// Longer than a holder leaves its key as it is without a lease.
const LONG_MS: u64 = 60_000;

/// Shorter than that.
const SHORT_MS: u64 = 3_000;

const POOL: &str = "registry";

const OWNER: &str = "q/owner";

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

async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let waiting = async {
        while !holds().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("in time");
}

/// Waits until the node has looked at the lease's key twice more.
async fn until_looked_at(store: &Store) {
    let looked = store.lists_of(OWNER);
    until(async || store.lists_of(OWNER) >= looked + 2).await;
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

fn job() -> AcceptedJob {
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    AcceptedJob {
        spec,
        terms: terms(),
        accepted_at_ms: clock::unix_ms(),
        team: None,
    }
}

async fn hand_in(store: &Store, number: u64) {
    let job = serde_json::to_vec(&job()).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{}", id(number)), job);
    store.commit(&batch).await.expect("a store");
}

async fn is_completed(store: &Store, number: u64) -> bool {
    let key = format!("run/{}", id(number));
    let found = store.get(&key).await.expect("a store");
    let progress = found.and_then(|found| {
        serde_json::from_slice::<Progress>(&found.value).ok()
    });
    progress.is_some_and(|progress| progress.phase == Phase::Completed)
}

async fn start(store: &Store, fleet: &TaskFleet, lines: &Lines) -> JobNode {
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
    let log = Logger::root(lines.clone().fuse(), o!());
    let settings = JobSettings::loopback("node-0");
    let node = JobNode::start(&settings, platform, None, &log).await;
    node.expect("a started node")
}

fn fleet() -> TaskFleet {
    let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
    let queue = Queue {
        name: "extracts".to_owned(),
        timeout_ms: 3_000,
        terms: terms(),
        ..Queue::default()
    };
    fleet.configure(QueueSet::new(1, vec![queue]));
    fleet
}

/// One after the other, since all look at one clock.
#[tokio::test]
async fn what_cant_be_read_under_the_leases_key_is_nobodys_after_a_while() {
    what_no_lease_ends_is_replaced_once_it_is_old().await;
    what_is_written_again_is_somebodys().await;
    what_a_lease_ends_is_left_to_it().await;
}

async fn what_no_lease_ends_is_replaced_once_it_is_old() {
    let (store, fleet) = (Store::new(Faults::new(1)), fleet());
    let odd = Batch::default().put(OWNER, b"\xff no owner".to_vec());
    store.commit(&odd).await.expect("a store");
    let version = store.version(OWNER).await.expect("a store");
    hand_in(&store, 1).await;
    let lines = Lines::default();
    let _node = start(&store, &fleet, &lines).await;
    until_looked_at(&store).await;
    assert_eq!(store.version(OWNER).await, Ok(version), "taken for free");
    clock::suppose_suspension(LONG_MS);
    until(async || is_completed(&store, 1).await).await;
    assert_eq!(lines.count("passed over"), 1);
}

async fn what_is_written_again_is_somebodys() {
    let (store, fleet) = (Store::new(Faults::new(1)), fleet());
    let _node = start(&store, &fleet, &Lines::default()).await;
    until(async || store.version(OWNER).await != Ok(0)).await;
    for number in 0..4_u8 {
        let odd = Batch::default().put(OWNER, vec![0xff, number]);
        store.commit(&odd).await.expect("a store");
        let version = store.version(OWNER).await.expect("a store");
        until_looked_at(&store).await;
        assert_eq!(store.version(OWNER).await, Ok(version), "{number}");
        clock::suppose_suspension(SHORT_MS);
    }
}

async fn what_a_lease_ends_is_left_to_it() {
    let (store, fleet) = (Store::new(Faults::new(1)), fleet());
    let lease = store.grant(600_000).await.expect("a lease");
    let odd = Batch::default().put_leased(OWNER, b"\xff".to_vec(), lease);
    store.commit(&odd).await.expect("a store");
    let version = store.version(OWNER).await.expect("a store");
    hand_in(&store, 1).await;
    let _node = start(&store, &fleet, &Lines::default()).await;
    until_looked_at(&store).await;
    clock::suppose_suspension(LONG_MS);
    until_looked_at(&store).await;
    assert_eq!(store.version(OWNER).await, Ok(version), "its holder lives");
    store.revoke(lease).await.expect("a store");
    until(async || is_completed(&store, 1).await).await;
}
