//! What the holder makes of records of jobs that aren't as it expects.
//!
//! One refused write once ended holder after holder. A new holder schedules
//! while it still reads what former ones stored. It had written a job's record
//! by the time a reading of it from before that write was taken in, believed
//! the older version, and its next write was refused: `holder: write refused`
//! with the lease at its own revision, 9094, and one record `"expected":8663,
//! "found":9362,"source":"loaded"`. Any refusal counted as the loss of the
//! lease, so the holder left, and the next one met the same: eight of them in
//! 12 s, while 4,212 open jobs waited.
//!
//! The clock is paused: nothing here depends on the machine.

use {
    dewspar::{
        job::{
            JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec, TaskId,
        },
        schedule::{AcceptedJob, QueueTerms},
    },
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestCalls},
        logs,
    },
    std::{future::Future, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// How long anything may take before a test gives up on it.
const LIMIT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// How long each task takes, in milliseconds.
const WORK_MS: u64 = 60;

/// A node over a store and a fleet, and no callers.
struct Alone {
    store: Store,
    _store_faults: Faults,
    fleet: TaskFleet,
    _node: JobNode,
    lapsing: JoinHandle<()>,
}

impl Drop for Alone {
    fn drop(&mut self) {
        self.lapsing.abort();
    }
}

impl Alone {
    /// Starts a node on a store that holds this much, where the answers of
    /// lists are under way for so long, and waits until it holds the lease.
    async fn start(stored: &Batch, list_delay_us: u64) -> Alone {
        // All tests share one start of the clock: it must not be that of a
        // test whose paused clock has run ahead.
        clock::now_ms();
        let store_faults = Faults::new(1);
        store_faults.set_list_delay_us(list_delay_us);
        let store = Store::new(store_faults.clone());
        store.commit(stored).await.expect("a store");
        let fleet = TaskFleet::new(Faults::new(2), POOL, 4);
        fleet.set_work_ms(WORK_MS);
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
        let platform = JobPlatform {
            store: store.clone(),
            workers: fleet.clone(),
            fleet: fleet.clone(),
            protocol: RestCalls,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
        };
        let settings = JobSettings::loopback("node-0");
        let log = logs::discard();
        let node = JobNode::start(&settings, platform, None, &log).await;
        let node = node.expect("a started node");
        let alone = Alone {
            store,
            _store_faults: store_faults,
            fleet,
            _node: node,
            lapsing,
        };
        until(async || alone.lease().await > 0).await;
        alone
    }

    /// Returns the revision of the lease's key; 0 while nobody holds it.
    async fn lease(&self) -> u64 {
        self.store.version("q/owner").await.expect("a store")
    }

    async fn hand_in(&self, id: JobId, job: &AcceptedJob) {
        self.write(&accepted(id, job)).await;
    }

    async fn write(&self, batch: &Batch) {
        self.store.commit(batch).await.expect("a store");
    }

    async fn phase(&self, id: JobId) -> Option<Phase> {
        let found = self.store.get(&record(id)).await.expect("a store")?;
        let progress: Progress = serde_json::from_slice(&found.value).ok()?;
        Some(progress.phase)
    }

    async fn wait_for_phase(&self, id: JobId, phase: Phase) {
        until(async || self.phase(id).await == Some(phase)).await;
    }

    /// Returns how often a step of a job was started.
    fn starts(&self, id: JobId, step: u32) -> usize {
        let started = self.fleet.started();
        let of_step = |task: &TaskId| task.job == id && task.step == step;
        started.iter().filter(|(task, _)| of_step(task)).count()
    }
}

/// Waits until something holds.
async fn until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
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

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

fn record(id: JobId) -> String {
    format!("run/{id}")
}

/// The write that accepts a job.
fn accepted(id: JobId, job: &AcceptedJob) -> Batch {
    let job = serde_json::to_vec(job).expect("plain JSON");
    Batch::default().put(&format!("q/in/{id}"), job)
}

/// A job of so many steps of one task each, one after the other.
fn chain(steps: u32) -> AcceptedJob {
    let step = |number: u32| StepSpec {
        count: 1,
        cpu_millis: 100,
        after: number
            .checked_sub(1)
            .map(|before| before as usize)
            .into_iter()
            .collect(),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: (0..steps).map(step).collect(),
        ..JobSpec::default()
    };
    AcceptedJob { spec, terms: terms(), accepted_at_ms: clock::unix_ms() }
}

/// How long the answers of lists are under way, in microseconds: the first two
/// readings take 800 ms; the third is of what was there then, and is taken in
/// 400 ms later.
const LATE_LISTS_US: u64 = 400_000;

/// More steps than end before that: a record is written with each end.
const STEPS: u32 = 30;

#[tokio::test(start_paused = true)]
async fn a_reading_from_before_a_write_does_not_replace_what_is_known_since() {
    let alone = Alone::start(&Batch::default(), LATE_LISTS_US).await;
    let lease = alone.lease().await;
    alone.hand_in(id(1), &chain(STEPS)).await;
    alone.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    for step in 0..STEPS {
        assert_eq!(alone.starts(id(1), step), 1, "step {step}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_loaded_twice_keeps_what_is_known_since_the_first_time()
{
    // Its identifier begins with the digit that is read alone at first.
    let progress = br#"{"phase":"running","done":["0.0:0-0"]}"#;
    let stored =
        accepted(id(1), &chain(STEPS)).put(&record(id(1)), progress.to_vec());
    let alone = Alone::start(&stored, LATE_LISTS_US).await;
    let lease = alone.lease().await;
    alone.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    assert_eq!(alone.starts(id(1), 0), 0, "it was done before");
    for step in 1..STEPS {
        assert_eq!(alone.starts(id(1), step), 1, "step {step}");
    }
}
