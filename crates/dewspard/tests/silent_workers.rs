//! The record of silent workers when the scheduler lease changes hands, on a
//! paused clock.

use {
    dewspar::job::{Queue, QueueSet},
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::collections::BTreeMap,
    tokio::time::{Duration, sleep},
};

const OWNER: &str = "q/owner";
const RECORD: &str = "silent-workers";

/// The time that is left on record for a worker that no node knows, in
/// milliseconds.
const LEFT_MS: u64 = 60_000;

/// How often the store looks for leases that are over.
const LAPSE_INTERVAL: Duration = Duration::from_millis(5);

async fn start(store: &Store, name: &str) -> JobNode {
    let fleet = TaskFleet::new(Faults::new(2), "registry", 2);
    let queue = Queue { name: "extracts".to_owned(), ..Queue::default() };
    fleet.configure(QueueSet::new(1, vec![queue]));
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
    let settings = JobSettings::loopback(name);
    let log = logs::discard();
    let node = JobNode::start(&settings, platform, None, &log).await;
    node.expect("a started node")
}

/// Waits until the lease's key is at another version than this.
async fn wait_for_holder(store: &Store, version: u64) -> u64 {
    loop {
        store.lapse_leases();
        let now = store.version(OWNER).await.expect("a store");
        if now != version && now != 0 {
            return now;
        }
        sleep(LAPSE_INTERVAL).await;
    }
}

async fn write_record(store: &Store) {
    let value = format!(r#"{{"w9":{LEFT_MS}}}"#).into_bytes();
    let batch = Batch::default().put(RECORD, value);
    store.commit(&batch).await.expect("a store");
}

async fn record(store: &Store) -> BTreeMap<String, u64> {
    let found = store.get(RECORD).await.expect("a store").expect("a record");
    serde_json::from_slice(&found.value).expect("a readable record")
}

/// Guards against a wait that each holder begins anew, because it doesn't
/// inherit the record.
#[tokio::test(start_paused = true)]
async fn the_next_holder_inherits_the_time_that_is_left() {
    let store = Store::new(Faults::new(1));
    let first = start(&store, "first").await;
    let held = wait_for_holder(&store, 0).await;
    write_record(&store).await;
    let _second = start(&store, "second").await;
    sleep(Duration::from_secs(5)).await;
    first.kill();
    wait_for_holder(&store, held).await;
    let left_ms = record(&store).await["w9"];
    // The second node has seen the record for some 5 s.
    assert!((1..=LEFT_MS - 4_000).contains(&left_ms), "{left_ms} ms");
}

/// Guards against a record that is relied on although another holder, of a
/// build that doesn't know it, may have extended leases since.
#[tokio::test(start_paused = true)]
async fn a_record_that_the_last_holder_did_not_write_is_emptied() {
    let store = Store::new(Faults::new(1));
    write_record(&store).await;
    let _first = start(&store, "first").await;
    wait_for_holder(&store, 0).await;
    assert_eq!(record(&store).await, BTreeMap::new());
}

/// Guards against a record that can't be read and keeps a node from taking the
/// lease.
#[tokio::test(start_paused = true)]
async fn a_record_that_cannot_be_read_is_emptied() {
    let store = Store::new(Faults::new(1));
    let batch = Batch::default().put(RECORD, b"[1, 2".to_vec());
    store.commit(&batch).await.expect("a store");
    let _first = start(&store, "first").await;
    wait_for_holder(&store, 0).await;
    assert_eq!(record(&store).await, BTreeMap::new());
}
