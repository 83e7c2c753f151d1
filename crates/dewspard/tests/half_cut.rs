//! Integration tests of a holder that doesn't reach a data hall which a third
//! one reaches.
//!
//! The workers are in one hall, the holder in a second one and a relay in a
//! third. The holder is strong enough to need no relay for its rate of orders.

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

/// How long any step may take before a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";
const HOLDER_HALL: &str = "hall-2";
const THIRD_HALL: &str = "hall-3";

const OUT: &str = "hall: reached over another one";
const RESTORED: &str = "hall: reached directly again";
const CUT_OFF: &str = "hall: not reached over any other one";
const CARRIES: &str = "relay: carries for a holder";

/// Collects the messages of all log lines.
#[derive(Clone, Default)]
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

    async fn wait_for(&self, text: &str) {
        wait_until(async || self.count(text) > 0).await;
    }
}

struct Site {
    lines: CapturedLog,
    store: Store,
    fleet: TaskFleet,
    /// The faults of the holder's own way to the workers.
    direct: Faults,
    /// The faults of the relay's way to the workers.
    relayed: Faults,
    holder: JobNode,
    _relay: JobNode,
}

impl Site {
    /// Starts a holder that needs no relay for its rate of orders, and then a
    /// relay in another hall.
    async fn start(tolerated_halls: usize) -> Site {
        Site::start_with(tolerated_halls, 100_000.0).await
    }

    async fn start_with(tolerated_halls: usize, holder: f64) -> Site {
        let store = Store::new(Faults::new(1));
        let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
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
        let lines = CapturedLog::default();
        let (direct, relayed) = (Faults::new(3), Faults::new(4));
        let start = |name: &str, hall: &str, strength, faults: &Faults| {
            let mut settings = JobSettings::loopback(name);
            settings.hall = hall.to_owned();
            settings.tolerate.halls = Some(tolerated_halls);
            settings.relay_address = Some(settings.callers_address);
            settings.machine.cpu_millis = strength;
            settings.machine.link_mbps = 10_000.0;
            let platform = JobPlatform {
                store: store.clone(),
                workers: fleet.reached_with(faults.clone()),
                fleet: fleet.clone(),
                protocol: RestProtocol,
                readiness_path: "/ready",
                traffic: Traffic::default(),
                unreadable: UnreadableNotes::default(),
                peers: None,
            };
            let log = Logger::root(lines.clone().fuse(), o!());
            async move {
                let node = JobNode::start(&settings, platform, None, &log);
                node.await.expect("a started node")
            }
        };
        let holder = start("holder", HOLDER_HALL, holder, &direct).await;
        wait_until(async || {
            store.version("q/owner").await.expect("a store") > 0
        })
        .await;
        let relay = start("relay", THIRD_HALL, 1.0, &relayed).await;
        let _relay = relay;
        Site { lines, store, fleet, direct, relayed, holder, _relay }
    }

    async fn submit(&self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let job = serde_json::to_vec(&job()).expect("plain JSON");
            let batch =
                Batch::default().put(&format!("q/in/{}", id(number)), job);
            self.store.commit(&batch).await.expect("a store");
        }
    }

    async fn wait_for_all(&self, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let key = format!("run/{}", id(number));
            wait_until(async || {
                let found = self.store.get(&key).await.expect("a store");
                let progress = found.and_then(|found| {
                    serde_json::from_slice::<Progress>(&found.value).ok()
                });
                progress.is_some_and(|p| p.phase == Phase::Completed)
            })
            .await;
        }
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

fn job() -> AcceptedJob {
    let step = StepSpec { count: 3, cpu_millis: 500, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        payload: "what to do".to_owned(),
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

/// Guards against a half-cut that costs the work of a hall: its runs go on and
/// new ones start, over the third hall, and nothing runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_hall_out_of_reach_is_served_over_a_third_one() {
    let site = Site::start(1).await;
    site.lines.wait_for(CARRIES).await;
    site.submit(1..5).await;
    site.wait_for_all(1..5).await;
    assert_eq!(site.lines.count(OUT), 0);
    site.fleet.set_work_ms(300);
    site.submit(5..10).await;
    wait_until(async || !site.fleet.running().is_empty()).await;
    site.direct.set_outage(true);
    site.submit(10..30).await;
    site.wait_for_all(5..30).await;
    assert_eq!(site.lines.count(OUT), 1, "once for the whole hall");
    assert_eq!(site.lines.count(CUT_OFF), 0);
    // Once the path works again, orders take it. The work takes longer than
    // the longest time between two tries of the path.
    site.direct.set_outage(false);
    site.fleet.set_work_ms(6_000);
    site.submit(30..32).await;
    site.lines.wait_for(RESTORED).await;
    site.wait_for_all(30..32).await;
    assert_eq!(site.fleet.ran_twice(), []);
    // Three tasks per job, and none was started again.
    assert_eq!(site.fleet.started().len(), 31 * 3);
}

/// Guards against a hall that is cut off from all others and treated as if a
/// third one reached it.
#[tokio::test(flavor = "multi_thread")]
async fn a_hall_that_no_other_reaches_comes_back_as_before() {
    let site = Site::start(1).await;
    site.lines.wait_for(CARRIES).await;
    site.fleet.set_work_ms(20_000);
    site.submit(1..2).await;
    wait_until(async || !site.fleet.running().is_empty()).await;
    site.direct.set_outage(true);
    site.lines.wait_for(OUT).await;
    site.relayed.set_outage(true);
    site.lines.wait_for(CUT_OFF).await;
    site.direct.set_outage(false);
    site.fleet.set_work_ms(50);
    site.submit(2..6).await;
    site.wait_for_all(2..6).await;
    assert_eq!(site.fleet.ran_twice(), []);
}

/// Guards against a relay that is given up as a whole because its hall doesn't
/// reach one other hall, and against workers that are found out one by one.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_whose_hall_reaches_nobody_stays_and_is_passed_over() {
    let site = Site::start_with(1, 2.0).await;
    site.submit(1..10).await;
    site.wait_for_all(1..10).await;
    site.lines.wait_for("relay: chosen").await;
    site.fleet.set_work_ms(400);
    site.submit(10..30).await;
    wait_until(async || !site.fleet.running().is_empty()).await;
    site.relayed.set_outage(true);
    site.submit(30..40).await;
    site.lines.wait_for(OUT).await;
    site.wait_for_all(10..40).await;
    assert_eq!(site.lines.count("relay: lost"), 0);
    assert_eq!(site.fleet.ran_twice(), []);
    // Three tasks per job, and none was started again.
    assert_eq!(site.fleet.started().len(), 39 * 3);
}

/// Guards against any change where the loss of a hall needn't be tolerated.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_no_relay_is_kept() {
    let site = Site::start(0).await;
    site.submit(1..5).await;
    site.wait_for_all(1..5).await;
    site.direct.set_outage(true);
    site.submit(5..6).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(site.lines.count(CARRIES), 0);
    assert_eq!(site.lines.count(OUT), 0);
    site.direct.set_outage(false);
    site.wait_for_all(5..6).await;
    site.holder.stop().await;
}
