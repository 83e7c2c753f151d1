//! How soon a successor in another hall sends its first order, on a paused
//! clock.

use {
    dewspar::{
        job::{JobId, JobSpec, Queue, QueueSet, StepSpec},
        schedule::{
            AcceptedJob, HoldOrder, HoldReport, OrderError, PaceOrder,
            QueueTerms, StartOrder, StopOrder, WorkerId,
        },
    },
    dewspar_platform::{
        Batch, JobWorkers, KeyValue, Traffic, UnreadableNotes,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::sync::{Arc, Mutex},
    tokio::time::{Duration, Instant, sleep},
};

const POOL: &str = "registry";

/// The longest time from the end of the lease to the successor's first order.
const MAX_SUCCESSION: Duration = Duration::from_secs(1);

/// How often the store looks for leases that are over.
const LAPSE_INTERVAL: Duration = Duration::from_millis(1);

/// Workers that note when they got their first order.
#[derive(Clone)]
struct Noted {
    fleet: TaskFleet,
    first_order: Arc<Mutex<Option<Instant>>>,
}

impl Noted {
    fn new(fleet: &TaskFleet) -> Noted {
        Noted { fleet: fleet.clone(), first_order: Arc::default() }
    }

    fn note(&self) {
        let mut first = self.first_order.lock().expect("a time");
        first.get_or_insert_with(Instant::now);
    }

    fn first_order(&self) -> Option<Instant> {
        *self.first_order.lock().expect("a time")
    }
}

impl JobWorkers for Noted {
    fn timeout_ms(&self) -> u64 {
        self.fleet.timeout_ms()
    }

    async fn start(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StartOrder,
    ) -> Result<u64, OrderError> {
        self.note();
        self.fleet.start(address, worker, order).await
    }

    async fn stop(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &StopOrder,
    ) -> Result<u64, OrderError> {
        self.note();
        self.fleet.stop(address, worker, order).await
    }

    async fn pace(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &PaceOrder,
    ) -> Result<u64, OrderError> {
        self.note();
        self.fleet.pace(address, worker, order).await
    }

    async fn hold(
        &self,
        address: &str,
        worker: &WorkerId,
        order: &HoldOrder,
    ) -> Result<HoldReport, OrderError> {
        self.note();
        self.fleet.hold(address, worker, order).await
    }
}

async fn start(
    store: &Store,
    workers: &Noted,
    name: &str,
    hall: &str,
    strength: f64,
) -> JobNode {
    let mut settings = JobSettings::loopback(name);
    settings.hall = hall.to_owned();
    settings.tolerate.halls = Some(1);
    settings.machine.cpu_millis = strength;
    let platform = JobPlatform {
        store: store.clone(),
        workers: workers.clone(),
        fleet: workers.fleet.clone(),
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

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

/// Returns how long after the end of the lost holder's lease a successor of
/// this strength sends its first order.
async fn succession_of(strength: f64) -> Duration {
    let store = Store::new(Faults::new(1));
    let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
    fleet.set_work_ms(60_000);
    let queue = Queue {
        name: "extracts".to_owned(),
        timeout_ms: 3_000,
        terms: terms(),
        ..Queue::default()
    };
    fleet.configure(QueueSet::new(1, vec![queue]));
    let owner = async || store.version("q/owner").await.expect("a store");
    let former = Noted::new(&fleet);
    let lost = start(&store, &former, "former", "hall-1", 1_000.0).await;
    while owner().await == 0 {
        sleep(LAPSE_INTERVAL).await;
    }
    let step = StepSpec { count: 3, cpu_millis: 500, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        payload: "what to do".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let job = AcceptedJob {
        spec,
        terms: terms(),
        accepted_at_ms: clock::unix_ms(),
        team: None,
    };
    let id: JobId = "0000000000000001".parse().expect("an identifier");
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{id}"), job);
    store.commit(&batch).await.expect("a store");
    while fleet.running().is_empty() {
        sleep(LAPSE_INTERVAL).await;
    }
    let next = Noted::new(&fleet);
    let _next = start(&store, &next, "next", "hall-2", strength).await;
    // It has seen the holder, and waits for the end of its lease.
    sleep(Duration::from_secs(1)).await;
    assert_eq!(next.first_order(), None);
    let held = owner().await;
    lost.kill();
    while owner().await == held {
        sleep(LAPSE_INTERVAL).await;
        store.lapse_leases();
    }
    let over = Instant::now();
    loop {
        if let Some(first) = next.first_order() {
            return first.saturating_duration_since(over);
        }
        sleep(LAPSE_INTERVAL).await;
    }
}

/// Guards against a fleet that nobody schedules for long after the loss of the
/// hall with the holder in it.
#[tokio::test(start_paused = true)]
async fn a_strong_successor_orders_within_a_second_of_the_leases_end() {
    let took = succession_of(1_000.0).await;
    assert!(took <= MAX_SUCCESSION, "{took:?}");
}

/// The same if all strong nodes were in the lost hall.
#[tokio::test(start_paused = true)]
async fn a_weak_successor_orders_within_a_second_of_the_leases_end() {
    let took = succession_of(120.0).await;
    assert!(took <= MAX_SUCCESSION, "{took:?}");
}
