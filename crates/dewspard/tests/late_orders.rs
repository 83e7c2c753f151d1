//! Orders that were planned before a suspension of the VM must not be sent
//! after it, nor after the process stood still until its lease had expired.
//!
//! If the VM is suspended between planning and sending, the check that the
//! lease was renewed since the last suspension has already passed. Without
//! another check the orders are sent after the VM resumes, under a lease that
//! another node may hold by then. Workers and the VM service refuse such
//! orders by their token only if they have already seen that node's token. The
//! order must not be sent, and its result must report that.
//!
//! The tests pause the process at a log line that is written between planning
//! and sending. They have a file of their own because the simulated pause
//! affects the whole process.

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

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The length of the suspension: shorter than the lease, which no other node
/// takes.
const SUSPENDED_MS: u64 = 1_000;

/// The length of a standstill: longer than the lease.
const STOOD_STILL_MS: u64 = 2_000;

/// Many times longer than an order that is sent takes to be carried out.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

const POOL: &str = "registry";

/// Serializes the tests, because all pause the same process.
static SERIAL: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// How the node's process is paused.
#[derive(Clone, Copy, Debug)]
enum Pause {
    /// Its VM is suspended.
    Suspension,
    /// It stands still while the VM's clocks run on.
    Standstill,
}

impl Pause {
    fn begin(self) {
        match self {
            Pause::Suspension => clock::suppose_suspension(SUSPENDED_MS),
            Pause::Standstill => clock::suppose_standstill(STOOD_STILL_MS),
        }
    }

    /// Returns the line that the node logs when it notices the pause.
    fn noticed_line(self) -> &'static str {
        match self {
            Pause::Suspension => "holder: was suspended",
            Pause::Standstill => "holder: stood still",
        }
    }
}

/// A log drain that pauses the process once, at a given line, and begins an
/// outage of the store at the same time.
#[derive(Clone)]
struct PauseAtLine {
    pause: Pause,
    line: Arc<Mutex<Option<&'static str>>>,
    store_faults: Faults,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drain for PauseAtLine {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let text = line.msg().to_string();
        let mut trigger = self.line.lock().expect("a line");
        if trigger.is_some_and(|trigger| trigger == text) {
            *trigger = None;
            self.store_faults.set_outage(true);
            self.pause.begin();
        }
        self.lines.lock().expect("lines").push(text);
        Ok(())
    }
}

impl PauseAtLine {
    fn pause_at(&self, line: &'static str) {
        *self.line.lock().expect("a line") = Some(line);
    }

    fn has_logged(&self, line: &str) -> bool {
        let lines = self.lines.lock().expect("lines");
        lines.iter().any(|text| text == line)
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

async fn submit(store: &Store, id: JobId) {
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let accepted_at_ms = clock::unix_ms();
    let job = AcceptedJob { spec, terms: terms(), accepted_at_ms, team: None };
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{id}"), job);
    store.commit(&batch).await.expect("a store");
}

/// A node that schedules, with its store and fleet.
struct Fixture {
    _node: JobNode,
    store: Store,
    store_faults: Faults,
    fleet: TaskFleet,
    pauses: PauseAtLine,
}

impl Fixture {
    async fn start(pause: Pause) -> Fixture {
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
        let pauses = PauseAtLine {
            pause,
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
            peers: None,
        };
        let log = Logger::root(pauses.clone().fuse(), o!());
        let settings = JobSettings::loopback("node-0");
        let node = JobNode::start(&settings, platform, None, &log).await;
        let _node = node.expect("a started node");
        Fixture { _node, store, store_faults, fleet, pauses }
    }

    /// Waits until the node has noticed the pause, and until any orders sent
    /// after it would be carried out.
    async fn wait_for_resume(&self) {
        let line = self.pauses.pause.noticed_line();
        wait_until(async || self.pauses.has_logged(line)).await;
        sleep(DELIVERY_TIME).await;
    }
}

#[tokio::test]
async fn orders_decided_before_a_suspension_are_not_sent_after_it() {
    assert_no_late_start(Pause::Suspension).await;
}

#[tokio::test]
async fn orders_decided_before_a_standstill_are_not_sent_after_it() {
    assert_no_late_start(Pause::Standstill).await;
}

#[tokio::test]
async fn vm_orders_planned_before_a_suspension_are_not_sent_after_it() {
    assert_no_late_vm_order(Pause::Suspension).await;
}

#[tokio::test]
async fn vm_orders_planned_before_a_standstill_are_not_sent_after_it() {
    assert_no_late_vm_order(Pause::Standstill).await;
}

async fn assert_no_late_start(pause: Pause) {
    let _serial = SERIAL.lock().await;
    let fixture = Fixture::start(pause).await;
    let id: JobId = format!("{:016x}", 1).parse().expect("an identifier");
    let starts = || {
        let started = fixture.fleet.started();
        started.iter().filter(|(task, _)| task.job == id).count()
    };
    fixture.pauses.pause_at("task: start ordered");
    submit(&fixture.store, id).await;
    fixture.wait_for_resume().await;
    assert_eq!(starts(), 0, "started by an order from before the pause");

    // The task starts once the lease is renewed.
    fixture.store_faults.set_outage(false);
    wait_until(async || starts() == 1).await;
    assert!(
        fixture.pauses.has_logged("worker: order gave no result"),
        "no result was reported"
    );
}

async fn assert_no_late_vm_order(pause: Pause) {
    let _serial = SERIAL.lock().await;
    let fixture = Fixture::start(pause).await;
    let vms = vec!["vm-0".to_owned(), "vm-1".to_owned()];
    // Both are ordered in one plan, and the process is paused at the first one.
    fixture.pauses.pause_at("vm: ordered");
    fixture.fleet.request_wave(WaveRequest {
        wave: 7,
        vms,
        duration_ms: 1_000,
        max_down: 2,
    });
    fixture.wait_for_resume().await;
    let ordered = fixture.fleet.maintained().len();
    assert_eq!(ordered, 1, "the other was planned before the pause");

    fixture.store_faults.set_outage(false);
    wait_until(async || fixture.fleet.maintained().len() == 2).await;
    assert!(
        fixture.pauses.has_logged("vm: order gave no result"),
        "no result was reported"
    );
}
