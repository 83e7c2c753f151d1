//! A worker reports a later fencing token while the holder can't reach the
//! store.
//!
//! A single worker may be wrong, which the store would show. Without the
//! store, the holder doesn't step down at once, because most such workers are
//! wrong and the lease may be renewed shortly. It sends no orders until then,
//! and steps down as soon as its lease may have expired.
//!
//! The clock is paused, so the tests don't depend on the machine's speed.

use {
    dewspar::{
        job::{JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, HoldOrder, QueueTerms},
    },
    dewspar_platform::{
        Batch, Fleet, JobWorkers, KeyValue, Traffic, UnreadableNotes,
    },
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
    },
    slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, o},
    std::{
        fmt,
        future::Future,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

const WORKERS: usize = 4;

/// The CPU capacity of a worker, in thousandths of a core.
const WORKER_CPU_MILLIS: u64 = 4_000;

/// The duration of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// The maximum interval at which a holder plans and checks its lease.
const PLAN_INTERVAL: Duration = Duration::from_millis(25);

/// Collects the logged reasons for which the node stopped scheduling.
#[derive(Clone, Default)]
struct StepDownReasons(Arc<Mutex<Vec<String>>>);

impl Serializer for StepDownReasons {
    fn emit_arguments(
        &mut self,
        key: slog::Key,
        value: &fmt::Arguments<'_>,
    ) -> slog::Result {
        if key == "reason" {
            self.0.lock().expect("lines").push(value.to_string());
        }
        Ok(())
    }
}

impl Drain for StepDownReasons {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        if line.msg().to_string().contains("no longer schedules") {
            let serialized = line.kv().serialize(line, &mut self.clone());
            serialized.expect("plain values");
        }
        Ok(())
    }
}

impl StepDownReasons {
    fn all(&self) -> Vec<String> {
        self.0.lock().expect("lines").clone()
    }
}

/// A node with a store and a fleet, and without callers.
struct Fixture {
    store: Store,
    faults: Faults,
    fleet: TaskFleet,
    reasons: StepDownReasons,
    _node: JobNode,
}

impl Fixture {
    async fn start() -> Fixture {
        clock::now_ms();
        let faults = Faults::new(1);
        let store = Store::new(faults.clone());
        let fleet = TaskFleet::new(Faults::new(2), POOL, WORKERS);
        let queue = Queue {
            name: "extracts".to_owned(),
            timeout_ms: 3_000,
            terms: terms(),
            ..Queue::default()
        };
        fleet.configure(QueueSet::new(1, vec![queue]));
        let expiring = store.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                expiring.lapse_leases();
            }
        });
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
        let reasons = StepDownReasons::default();
        let log = Logger::root(reasons.clone().fuse(), o!());
        let settings = JobSettings::loopback("node-0");
        let node = JobNode::start(&settings, platform, None, &log).await;
        let _node = node.expect("a started node");
        let fixture = Fixture { store, faults, fleet, reasons, _node };
        wait_until(async || fixture.store.version("q/owner").await != Ok(0))
            .await;
        fixture
    }

    /// Submits a job for each worker, with two consecutive tasks that each
    /// take the worker's whole CPU; returns once the first tasks run.
    async fn start_jobs(&self) {
        let first = StepSpec {
            count: 1,
            cpu_millis: WORKER_CPU_MILLIS,
            ..StepSpec::default()
        };
        let second = StepSpec { after: vec![0], ..first.clone() };
        let spec = JobSpec {
            queue: "extracts".to_owned(),
            steps: vec![first, second],
            ..JobSpec::default()
        };
        let accepted_at_ms = clock::unix_ms();
        let job =
            AcceptedJob { spec, terms: terms(), accepted_at_ms, team: None };
        let job = serde_json::to_vec(&job).expect("plain JSON");
        for number in 0..WORKERS {
            let key = format!("q/in/{}", id(number));
            let batch = Batch::default().put(&key, job.clone());
            self.store.commit(&batch).await.expect("a store");
        }
        wait_until(async || self.fleet.started().len() == WORKERS).await;
        assert_eq!(self.fleet.running().len(), WORKERS);
    }

    async fn is_completed(&self, number: usize) -> bool {
        let found = self.store.get(&format!("run/{}", id(number))).await;
        let found = found.expect("a store");
        let progress = found.and_then(|found| {
            serde_json::from_slice::<Progress>(&found.value).ok()
        });
        progress.is_some_and(|p| p.phase == Phase::Completed)
    }

    /// Sends one worker a token that belongs to no holder.
    async fn send_later_token(&self) {
        let claim = HoldOrder {
            fence: 1 << 50,
            acknowledged: 0,
            lease_until_ms: None,
            wait_ms: 0,
        };
        let workers = self.fleet.workers().await.expect("a directory");
        let held = self.fleet.hold("", &workers[0].id, &claim).await;
        held.expect("an answer");
    }

    /// Waits until all jobs are completed, and checks that at most one task
    /// ran twice: that of the worker with the later token, which no longer
    /// answers the holder.
    async fn wait_for_jobs(&self) {
        for number in 0..WORKERS {
            wait_until(async || self.is_completed(number).await).await;
        }
        let twice = self.fleet.ran_twice();
        assert!(twice.len() <= 1, "{twice:?}");
    }
}

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

fn id(number: usize) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

/// Waits until a condition holds.
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

#[tokio::test(start_paused = true)]
async fn a_holder_told_of_a_later_token_sends_no_orders_and_steps_down() {
    let fixture = Fixture::start().await;
    fixture.fleet.set_work_ms(400);
    fixture.start_jobs().await;
    fixture.faults.set_outage(true);
    fixture.send_later_token().await;
    let told_at = Instant::now();
    wait_until(async || !fixture.reasons.all().is_empty()).await;
    assert!(
        told_at.elapsed() <= LEASE_TTL + PLAN_INTERVAL,
        "{:?}",
        told_at.elapsed()
    );
    assert_eq!(fixture.reasons.all(), ["a worker has seen a newer holder"]);
    assert!(fixture.fleet.running().is_empty(), "the first ones have ended");
    assert_eq!(fixture.fleet.started().len(), WORKERS, "nothing is ordered");

    fixture.faults.set_outage(false);
    fixture.wait_for_jobs().await;
}

#[tokio::test(start_paused = true)]
async fn a_holder_renewed_before_its_lease_expires_keeps_it() {
    let fixture = Fixture::start().await;
    fixture.fleet.set_work_ms(400);
    fixture.start_jobs().await;
    let lease = fixture.store.version("q/owner").await;
    fixture.faults.set_outage(true);
    fixture.send_later_token().await;
    sleep(LEASE_TTL / 2).await;
    fixture.faults.set_outage(false);
    fixture.wait_for_jobs().await;
    assert_eq!(fixture.reasons.all(), Vec::<String>::new());
    assert_eq!(fixture.store.version("q/owner").await, lease);
}
