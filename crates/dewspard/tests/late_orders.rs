//! A VM is suspended just when it has planned: its orders are made and not yet
//! sent. Whether the lease was renewed since the last suspension had been looked
//! at before, so they went out after waking, by a lease that another node may
//! hold by then. Workers and the VM service refuse them by their token, but only
//! where they have heard of the other node. An order that was made before a
//! suspension isn't sent after it, and whoever made it is told so.
//!
//! Here the line that says what was decided is when the VM sleeps: it is written
//! between the decision and the order. In a file of its own: the suspension holds
//! for the whole process.

use {
    dewspar::{
        job::{JobId, JobSpec, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, QueueTerms, WaveRequest},
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
const LIMIT: Duration = Duration::from_secs(60);

/// How long the suspension is: less than the lease, which no other node takes.
const SUSPENDED_MS: u64 = 1_000;

/// How long an order that goes out takes to be carried out, many times over.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

const POOL: &str = "registry";

/// Held by the test that is under way: both suspend the same process.
static SERIAL: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A line that the VM falls asleep at, once, and with it the store's outage.
#[derive(Clone)]
struct SuspendAtLine {
    line: Arc<Mutex<Option<&'static str>>>,
    store_faults: Faults,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drain for SuspendAtLine {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let text = line.msg().to_string();
        let mut trigger = self.line.lock().expect("a line");
        if trigger.is_some_and(|trigger| trigger == text) {
            *trigger = None;
            self.store_faults.set_outage(true);
            clock::suppose_suspension(SUSPENDED_MS);
        }
        self.lines.lock().expect("lines").push(text);
        Ok(())
    }
}

impl SuspendAtLine {
    fn suspend_at(&self, line: &'static str) {
        *self.line.lock().expect("a line") = Some(line);
    }

    fn has_logged(&self, line: &str) -> bool {
        let lines = self.lines.lock().expect("lines");
        lines.iter().any(|text| text == line)
    }
}

async fn wait_until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let waiting = async {
        while !holds().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, waiting).await.expect("in time");
}

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

async fn submit(store: &Store, id: JobId) {
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let accepted_at_ms = clock::unix_ms();
    let job = AcceptedJob { spec, terms: terms(), accepted_at_ms };
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{id}"), job);
    store.commit(&batch).await.expect("a store");
}

/// A node that schedules, and what it reaches.
struct Fixture {
    _node: JobNode,
    store: Store,
    store_faults: Faults,
    fleet: TaskFleet,
    suspension: SuspendAtLine,
}

impl Fixture {
    async fn start() -> Fixture {
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
        let suspension = SuspendAtLine {
            line: Arc::default(),
            store_faults: store_faults.clone(),
            lines: Arc::default(),
        };
        let platform = JobPlatform {
            store: store.clone(),
            workers: fleet.clone(),
            fleet: fleet.clone(),
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
        };
        let log = Logger::root(suspension.clone().fuse(), o!());
        let settings = JobSettings::loopback("node-0");
        let node = JobNode::start(&settings, platform, None, &log).await;
        let _node = node.expect("a started node");
        Fixture { _node, store, store_faults, fleet, suspension }
    }

    /// Waits until the VM has slept, and until orders that went out after it
    /// are carried out.
    async fn wait_for_resume(&self) {
        wait_until(async || {
            self.suspension.has_logged("holder: was suspended")
        })
        .await;
        sleep(DELIVERY_TIME).await;
    }
}

#[tokio::test]
async fn orders_decided_before_a_suspension_are_not_sent_after_it() {
    let _serial = SERIAL.lock().await;
    let fixture = Fixture::start().await;
    let id: JobId = format!("{:016x}", 1).parse().expect("an identifier");
    let starts = || {
        let started = fixture.fleet.started();
        started.iter().filter(|(task, _)| task.job == id).count()
    };
    fixture.suspension.suspend_at("task: start ordered");
    submit(&fixture.store, id).await;
    fixture.wait_for_resume().await;
    assert_eq!(starts(), 0, "by an order of before");

    // Once the store has renewed the lease the task starts.
    fixture.store_faults.set_outage(false);
    wait_until(async || starts() == 1).await;
    assert!(
        fixture.suspension.has_logged("worker: order gave no result"),
        "it is told"
    );
}

#[tokio::test]
async fn vm_orders_planned_before_a_suspension_are_not_sent_after_it() {
    let _serial = SERIAL.lock().await;
    let fixture = Fixture::start().await;
    let vms = vec!["vm-0".to_owned(), "vm-1".to_owned()];
    // Both are ordered at once, and the VM sleeps when one of them is.
    fixture.suspension.suspend_at("vm: ordered");
    fixture.fleet.request_wave(WaveRequest {
        wave: 7,
        vms,
        duration_ms: 1_000,
        max_down: 2,
    });
    fixture.wait_for_resume().await;
    let ordered = fixture.fleet.maintained().len();
    assert_eq!(ordered, 1, "the other by an order of before");

    fixture.store_faults.set_outage(false);
    wait_until(async || fixture.fleet.maintained().len() == 2).await;
    assert!(
        fixture.suspension.has_logged("vm: order gave no result"),
        "it is told"
    );
}
