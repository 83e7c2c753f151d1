//! Behavior after a suspension of the VM, and after the process stood still.
//!
//! The monotonic clock stops during a suspension, so afterwards the lease
//! looks recent although another node may hold it. The node that schedules
//! must not send orders before the store has renewed its lease. The same holds
//! for a process that was stopped until its lease had expired: it hasn't read
//! what happened meanwhile. Without either it continues during an outage of
//! the store.
//!
//! Cached counts of waiting jobs are also older than the monotonic clock
//! shows, so counts that were read before a suspension must not be served
//! after it.
//!
//! The test has a file of its own because the simulated suspension affects the
//! whole process.

use {
    dewspar::{
        job::{JobId, JobSpec, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, QueueTerms},
    },
    dewspar_platform::{
        Batch, KeyValue, Traffic, UnreadableNotes, empty_request,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    hyper::{Method, StatusCode},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("in time");
}

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

/// A job of two steps of one task each.
fn two_steps() -> AcceptedJob {
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let second = StepSpec { after: vec![0], ..step.clone() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
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

async fn submit(store: &Store, id: JobId) {
    let job = serde_json::to_vec(&two_steps()).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{id}"), job);
    store.commit(&batch).await.expect("a store");
}

/// Requests the number of waiting jobs; returns the status of the answer.
async fn request_count(address: SocketAddr) -> StatusCode {
    let url = format!("http://{address}/v1/queues/extracts");
    let request = empty_request("test", Method::GET, &url);
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answered = client.request(request.expect("a request"));
    let answered = timeout(TIMEOUT, answered).await.expect("in time");
    answered.expect("an answer").status()
}

/// What happens to the node's process before an outage of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pause {
    None,
    /// Its VM is suspended, for less than a lease.
    Suspension,
    /// It stands still until its lease has expired.
    Standstill,
}

#[tokio::test]
async fn no_order_is_sent_after_a_pause_before_the_lease_is_renewed() {
    let store_faults = Faults::new(1);
    let store = Store::new(store_faults.clone());
    let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
    let queue = Queue {
        name: "extracts".to_owned(),
        timeout_ms: 3_000,
        terms: terms(),
        ..Queue::default()
    };
    fleet.configure(QueueSet::new(1, vec![queue]));
    fleet.set_work_ms(1_500);
    let settings = JobSettings::loopback("node-0");
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
    let log = logs::discard();
    let node = JobNode::start(&settings, platform, None, &log).await;
    let node = node.expect("a started node");

    let pauses = [Pause::None, Pause::Suspension, Pause::Standstill];
    for (number, pause) in (1..).zip(pauses) {
        let id = format!("{number:016x}");
        let id: JobId = id.parse().expect("an identifier");
        let starts = || {
            let started = fleet.started();
            started.iter().filter(|(task, _)| task.job == id).count()
        };
        submit(&store, id).await;
        wait_until(async || starts() == 1).await;
        store_faults.set_outage(true);
        match pause {
            Pause::None => {}
            Pause::Suspension => clock::suppose_suspension(1_000),
            Pause::Standstill => clock::suppose_standstill(2_000),
        }
        // The first step ends in the meantime.
        sleep(Duration::from_millis(2_500)).await;
        let expected = if pause == Pause::None { 2 } else { 1 };
        assert_eq!(starts(), expected, "pause: {pause:?}");
        store_faults.set_outage(false);
        wait_until(async || starts() == 2).await;
        wait_until(async || fleet.running().is_empty()).await;
    }

    // Counts are cached for 0.5 s after a read.
    let address = node.caller_address();
    wait_until(async || request_count(address).await == StatusCode::OK).await;
    store_faults.set_outage(true);
    clock::suppose_suspension(1_000);
    assert_ne!(request_count(address).await, StatusCode::OK);
    store_faults.set_outage(false);
    wait_until(async || request_count(address).await == StatusCode::OK).await;
}
