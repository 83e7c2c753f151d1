//! Job records that differ from what the holder expects.
//!
//! Two failures are guarded against:
//!
//! - A new holder schedules while it still loads the state of former ones. If
//!   it writes a job's record, and then processes a read of that record from
//!   before the write, it may take the older version for the current one. Its
//!   next write conflicts (`holder: write refused` with the lease at its own
//!   revision and a record with
//!   `"expected":8663,"found":9362,"source":"loaded"`). When every conflict
//!   counted as the loss of the lease, the holder stepped down, and its
//!   successors ran into the same conflict: eight holders in 12 s, while 4,212
//!   open jobs waited.
//! - A job whose record is unreadable isn't scheduled, and nothing is written
//!   for it. If ends of its runs are acknowledged at once, they are lost: a
//!   later holder that can read the record starts the finished tasks again.
//! - The record of a job with large checkpoints exceeds what the store accepts
//!   as one value. Its write is refused each time, with all other jobs in it,
//!   and no end that a worker lists after one of this job is acknowledged.
//!
//! The clock is paused, so the tests don't depend on the machine's speed.

use {
    dewspar::{
        job::{
            JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec, TaskId,
        },
        schedule::{AcceptedJob, QueueTerms, WaveRecord, WaveRequest},
    },
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::{future::Future, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// The number of workers, with room for four tasks each.
const VMS: usize = 4;

/// The duration of each task, in milliseconds.
const WORK_MS: u64 = 60;

/// A node with a store and a fleet, and without callers.
struct Fixture {
    store: Store,
    store_faults: Faults,
    fleet: TaskFleet,
    node: Option<JobNode>,
    lease_expiry: JoinHandle<()>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

impl Fixture {
    /// Starts a node on a store with this content, whose answers to lists take
    /// this long, and waits until the node holds the lease.
    async fn start(stored: &Batch, list_delay_us: u64) -> Fixture {
        // All tests share the start of the clock: it must not be set by a test
        // whose paused clock has already advanced.
        clock::now_ms();
        let store_faults = Faults::new(1);
        store_faults.set_list_delay_us(list_delay_us);
        let store = Store::new(store_faults.clone());
        store.commit(stored).await.expect("a store");
        let fleet = TaskFleet::new(Faults::new(2), POOL, VMS);
        fleet.set_work_ms(WORK_MS);
        let queue = Queue {
            name: "extracts".to_owned(),
            timeout_ms: 3_000,
            terms: terms(),
            ..Queue::default()
        };
        fleet.configure(QueueSet::new(1, vec![queue]));
        let expiring = store.clone();
        let lease_expiry = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                expiring.lapse_leases();
            }
        });
        let node = None;
        let mut fixture =
            Fixture { store, store_faults, fleet, node, lease_expiry };
        fixture.start_node().await;
        fixture
    }

    /// Starts a node and waits until it holds the lease.
    async fn start_node(&mut self) {
        let platform = JobPlatform {
            store: self.store.clone(),
            workers: self.fleet.clone(),
            fleet: self.fleet.clone(),
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
            peers: None,
        };
        let settings = JobSettings::loopback("node-0");
        let log = logs::discard();
        let node = JobNode::start(&settings, platform, None, &log).await;
        self.node = Some(node.expect("a started node"));
        wait_until(async || self.lease_revision().await > 0).await;
    }

    /// Stops the node, and waits until the lease is free.
    async fn stop_node(&mut self) {
        let node = self.node.take().expect("a node");
        node.stop().await;
        wait_until(async || self.lease_revision().await == 0).await;
    }

    /// Returns the revision of the lease's key; 0 while the lease is free.
    async fn lease_revision(&self) -> u64 {
        self.store.version("q/owner").await.expect("a store")
    }

    async fn submit(&self, id: JobId, job: &AcceptedJob) {
        self.commit(&accepted(id, job)).await;
    }

    async fn commit(&self, batch: &Batch) {
        self.store.commit(batch).await.expect("a store");
    }

    async fn phase(&self, id: JobId) -> Option<Phase> {
        let found = self.store.get(&record_key(id)).await.expect("a store")?;
        let progress: Progress = serde_json::from_slice(&found.value).ok()?;
        Some(progress.phase)
    }

    async fn wait_for_phase(&self, id: JobId, phase: Phase) {
        wait_until(async || self.phase(id).await == Some(phase)).await;
    }

    /// Rewrites a job's record unchanged, which no holder does.
    async fn rewrite_record(&self, id: JobId) {
        let key = record_key(id);
        let found = self.store.get(&key).await.expect("a store");
        if let Some(found) = found {
            self.commit(&Batch::default().put(&key, found.value)).await;
        }
    }

    /// Returns whether the store lists a job as open.
    async fn is_open(&self, id: JobId) -> bool {
        let key = format!("q/in/{id}");
        self.store.version(&key).await.expect("a store") > 0
    }

    /// Returns the number of starts of a step of a job.
    fn starts(&self, id: JobId, step: u32) -> usize {
        let started = self.fleet.started();
        let of_step = |task: &TaskId| task.job == id && task.step == step;
        started.iter().filter(|(task, _)| of_step(task)).count()
    }
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

fn record_key(id: JobId) -> String {
    format!("run/{id}")
}

/// Returns the write that accepts a job.
fn accepted(id: JobId, job: &AcceptedJob) -> Batch {
    let job = serde_json::to_vec(job).expect("plain JSON");
    Batch::default().put(&format!("q/in/{id}"), job)
}

/// Returns a job with this many consecutive steps of one task each.
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
    AcceptedJob {
        spec,
        terms: terms(),
        accepted_at_ms: clock::unix_ms(),
        team: None,
    }
}

/// The delay of answers to lists, in microseconds: the first two reads take
/// 800 ms; the third one shows the state at that time, and its answer is
/// processed 400 ms later.
const SLOW_LIST_DELAY_US: u64 = 400_000;

/// More steps than end before that: the record is written with each end.
const STEPS: u32 = 30;

#[tokio::test(start_paused = true)]
async fn a_stale_read_does_not_replace_a_newer_known_version() {
    let fixture = Fixture::start(&Batch::default(), SLOW_LIST_DELAY_US).await;
    let lease = fixture.lease_revision().await;
    fixture.submit(id(1), &chain(STEPS)).await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    for step in 0..STEPS {
        assert_eq!(fixture.starts(id(1), step), 1, "step {step}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_loaded_twice_keeps_the_newer_known_version() {
    // Its identifier begins with the digit of the slice that is read first.
    let progress = br#"{"phase":"running","done":["0.0:0-0"]}"#;
    let stored = accepted(id(1), &chain(STEPS))
        .put(&record_key(id(1)), progress.to_vec());
    let fixture = Fixture::start(&stored, SLOW_LIST_DELAY_US).await;
    let lease = fixture.lease_revision().await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    assert_eq!(fixture.starts(id(1), 0), 0, "it was done before");
    for step in 1..STEPS {
        assert_eq!(fixture.starts(id(1), step), 1, "step {step}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unexpected_record_version_affects_neither_the_lease_nor_other_jobs()
 {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    for job in [1, 2] {
        fixture.submit(id(job), &chain(10)).await;
    }
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.rewrite_record(id(1)).await;
    for job in [1, 2] {
        fixture.wait_for_phase(id(job), Phase::Completed).await;
        for step in 0..10 {
            assert_eq!(fixture.starts(id(job), step), 1, "{job}, {step}");
        }
    }
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
}

/// The interval and the number of foreign writes of a record: for ten seconds,
/// so frequent that one falls between any two writes of the holder.
const REWRITE_INTERVAL: Duration = Duration::from_millis(5);
const REWRITES: u64 = 2_000;

/// The maximum number of writes in that time: more than the lease, the counts
/// of waiting jobs and the other job need, and a fifth of what one write every
/// 20 ms would amount to.
const MAX_WRITES: u64 = 100;

#[tokio::test(start_paused = true)]
async fn writes_of_a_constantly_changing_record_are_throttled() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    fixture.submit(id(1), &chain(3)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.submit(id(2), &chain(10)).await;
    let before = fixture.store_faults.writes();
    for _ in 0..REWRITES {
        fixture.rewrite_record(id(1)).await;
        sleep(REWRITE_INTERVAL).await;
    }
    let writes = fixture.store_faults.writes() - before - REWRITES;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    assert_eq!(fixture.phase(id(2)).await, Some(Phase::Completed));
    assert!(writes < MAX_WRITES, "{writes} writes");
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
}

#[tokio::test(start_paused = true)]
async fn tasks_done_in_an_unexpected_record_are_not_run_again() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    // As if a former holder had stored it and this one had missed it.
    let progress = br#"{"phase":"running","done":["0.0:0-0","0.1:0-0"]}"#;
    let job =
        accepted(id(1), &chain(4)).put(&record_key(id(1)), progress.to_vec());
    fixture.commit(&job).await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    let starts = [0, 1, 2, 3].map(|step| fixture.starts(id(1), step));
    // The first step was started before the first write of the record.
    assert_eq!(starts, [1, 0, 1, 1]);
}

#[tokio::test(start_paused = true)]
async fn a_job_finished_on_record_stays_finished() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    fixture.fleet.set_work_ms(600_000);
    fixture.submit(id(1), &chain(2)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    let over = br#"{"phase":"completed","finished_at_ms":5}"#.to_vec();
    fixture.commit(&Batch::default().put(&record_key(id(1)), over)).await;
    // The holder sees the record when it next writes it.
    let stop = format!("q/stop/{}", id(1));
    fixture.commit(&Batch::default().put(&stop, Vec::new())).await;
    wait_until(async || !fixture.is_open(id(1)).await).await;
    wait_until(async || fixture.fleet.running().is_empty()).await;
    assert_eq!(fixture.phase(id(1)).await, Some(Phase::Completed));
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_record_affects_only_its_own_job() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    let unreadable =
        accepted(id(1), &chain(3)).put(&record_key(id(1)), b"odd".to_vec());
    fixture.commit(&unreadable).await;
    fixture.submit(id(2), &chain(3)).await;
    fixture.wait_for_phase(id(2), Phase::Completed).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    // All of its tasks may be done, so it isn't continued.
    assert_eq!(fixture.starts(id(1), 1), 0);
    let left = fixture.store.get(&record_key(id(1))).await.expect("a store");
    assert_eq!(left.map(|item| item.value), Some(b"odd".to_vec()));
}

/// Enough time for a holder to receive all reported ends and to acknowledge
/// them.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(5);

/// A job's record that a holder can read.
const READABLE: &[u8] = br#"{"phase":"running"}"#;

impl Fixture {
    /// Restores a readable record, lets another holder take over, and checks
    /// that the job is completed with one start of each task.
    async fn complete_with_readable_record(&mut self, id: JobId, steps: u32) {
        self.stop_node().await;
        self.commit(&Batch::default().put(&record_key(id), READABLE.to_vec()))
            .await;
        self.start_node().await;
        self.wait_for_phase(id, Phase::Completed).await;
        for step in 0..steps {
            assert_eq!(self.starts(id, step), 1, "step {step}");
        }
        self.wait_until_no_deferred_ends().await;
    }

    async fn wait_until_no_deferred_ends(&self) {
        wait_until(async || {
            let (_, ends) = self.store.list("end/").await.expect("a store");
            ends.is_empty()
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn runs_ended_before_takeover_of_an_unreadable_record_are_not_repeated()
{
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(2_000);
    fixture.submit(id(1), &chain(2)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.stop_node().await;
    fixture.fleet.set_work_ms(WORK_MS);
    fixture
        .commit(&Batch::default().put(&record_key(id(1)), b"odd".to_vec()))
        .await;
    sleep(Duration::from_secs(2)).await;
    assert!(
        fixture.fleet.running().is_empty(),
        "it ended while no holder was there"
    );
    fixture.start_node().await;
    sleep(ACKNOWLEDGE_TIME).await;
    fixture.complete_with_readable_record(id(1), 2).await;
}

#[tokio::test(start_paused = true)]
async fn runs_ended_before_the_record_was_found_unreadable_are_not_repeated() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    sleep(ACKNOWLEDGE_TIME).await;
    // The run ends before the first write of the record is answered.
    fixture.store_faults.set_delay_us(300_000);
    let unreadable =
        accepted(id(1), &chain(2)).put(&record_key(id(1)), b"odd".to_vec());
    fixture.commit(&unreadable).await;
    sleep(ACKNOWLEDGE_TIME).await;
    fixture.store_faults.set_delay_us(0);
    assert_eq!(fixture.starts(id(1), 0), 1);
    // Ends are acknowledged together with any other stored changes.
    fixture.submit(id(2), &chain(2)).await;
    sleep(ACKNOWLEDGE_TIME).await;
    fixture.complete_with_readable_record(id(1), 2).await;
}

#[tokio::test(start_paused = true)]
async fn runs_of_an_unreadable_job_are_not_repeated() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(2_000);
    fixture.submit(id(1), &chain(2)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.stop_node().await;
    fixture.fleet.set_work_ms(WORK_MS);
    let unreadable =
        Batch::default().put(&format!("q/in/{}", id(1)), b"odd".to_vec());
    fixture.commit(&unreadable).await;
    sleep(Duration::from_secs(2)).await;
    fixture.start_node().await;
    sleep(ACKNOWLEDGE_TIME).await;
    fixture.stop_node().await;
    fixture.submit(id(1), &chain(2)).await;
    fixture.start_node().await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    for step in 0..2 {
        assert_eq!(fixture.starts(id(1), step), 1, "step {step}");
    }
    fixture.wait_until_no_deferred_ends().await;
}

/// The number of a job's running tasks when its record becomes unreadable.
const RUNNING_TASKS: u32 = 12;

/// Deferred ends are deleted only by a holder that can read the job. Their
/// number stays at that of the tasks that ran when the record became
/// unreadable, because no further tasks are started.
#[tokio::test(start_paused = true)]
async fn deferred_ends_do_not_grow_with_takeovers() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(2_000);
    let mut wide = chain(2);
    wide.spec.steps[0].count = RUNNING_TASKS;
    fixture.submit(id(1), &wide).await;
    wait_until(async || {
        fixture.fleet.running().len() == RUNNING_TASKS as usize
    })
    .await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.stop_node().await;
    let read = fixture.store.get(&record_key(id(1))).await.expect("a store");
    fixture
        .commit(&Batch::default().put(&record_key(id(1)), b"odd".to_vec()))
        .await;
    for holder in 0..6 {
        fixture.start_node().await;
        // Other jobs continue and are deleted as usual.
        fixture.submit(id(2 + holder), &chain(2)).await;
        fixture.wait_for_phase(id(2 + holder), Phase::Completed).await;
        sleep(ACKNOWLEDGE_TIME).await;
        assert_eq!(fixture.store.count("end/"), RUNNING_TASKS as usize);
        fixture.stop_node().await;
    }
    assert_eq!(fixture.starts(id(1), 0), RUNNING_TASKS as usize);

    let read = read.expect("a record").value;
    fixture.commit(&Batch::default().put(&record_key(id(1)), read)).await;
    fixture.start_node().await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(fixture.starts(id(1), 0), RUNNING_TASKS as usize);
    fixture.wait_until_no_deferred_ends().await;
}

/// Holders that can and can't read a job's record alternate, as during an
/// upgrade and its rollback. If ends that a holder has applied stay in the
/// store until the job is finished, a job with a long-running task accumulates
/// one more each time.
#[tokio::test(start_paused = true)]
async fn applied_deferred_ends_of_a_running_job_are_deleted() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(6_000_000);
    let mut long_running_job = chain(1);
    long_running_job.spec.steps[0].long_running = true;
    fixture.submit(id(1), &long_running_job).await;
    let runs = async |fixture: &Fixture, run: usize| {
        wait_until(async || fixture.starts(id(1), 0) == run).await;
        fixture.wait_for_phase(id(1), Phase::Running).await;
        sleep(ACKNOWLEDGE_TIME).await;
        assert_eq!(fixture.fleet.running().len(), 1);
    };
    runs(&fixture, 1).await;
    for holder in 1..6 {
        fixture.stop_node().await;
        let read =
            fixture.store.get(&record_key(id(1))).await.expect("a store");
        let unreadable =
            Batch::default().put(&record_key(id(1)), b"odd".to_vec());
        fixture.commit(&unreadable).await;
        fixture.start_node().await;
        sleep(ACKNOWLEDGE_TIME).await;
        assert_eq!(fixture.store.count("end/"), 1, "holder {holder}");
        assert!(fixture.fleet.running().is_empty());

        fixture.stop_node().await;
        let read = read.expect("a record").value;
        fixture.commit(&Batch::default().put(&record_key(id(1)), read)).await;
        fixture.start_node().await;
        runs(&fixture, holder + 1).await;
        fixture.wait_until_no_deferred_ends().await;
    }
}

/// If the job's entry and its record are both deleted, no holder will ever
/// read the job.
#[tokio::test(start_paused = true)]
async fn deferred_ends_of_a_deleted_job_are_deleted() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(2_000);
    fixture.submit(id(1), &chain(2)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    fixture.stop_node().await;
    fixture
        .commit(&Batch::default().put(&record_key(id(1)), b"odd".to_vec()))
        .await;
    fixture.start_node().await;
    sleep(ACKNOWLEDGE_TIME).await;
    assert_eq!(fixture.store.count("end/"), 1);
    fixture.stop_node().await;
    let gone = Batch::default().delete(&format!("q/in/{}", id(1)));
    fixture.commit(&gone.delete(&record_key(id(1)))).await;
    fixture.start_node().await;
    fixture.wait_until_no_deferred_ends().await;
}

#[tokio::test(start_paused = true)]
async fn no_job_is_written_once_another_node_holds_the_lease() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.submit(id(1), &chain(3)).await;
    fixture.wait_for_phase(id(1), Phase::Running).await;
    let owner = br#"{"node":"other","incarnation":1}"#.to_vec();
    // Watches stop reporting first, so that only the conflicting write shows
    // the new holder.
    fixture.store_faults.set_silent(true);
    fixture.commit(&Batch::default().put("q/owner", owner)).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(fixture.phase(id(1)).await, Some(Phase::Running));
}

/// The number of jobs that end at once: four more than fit into the eight
/// writes that may be in flight.
const ENDING_JOBS: u64 = 60;

#[tokio::test(start_paused = true)]
async fn a_stopping_holder_stores_everything_but_conflicting_records() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(600_000);
    let (mut jobs, mut stops) = (Batch::default(), Batch::default());
    for job in 1..=ENDING_JOBS {
        let accepted = accepted(id(job), &chain(1));
        jobs.puts.extend(accepted.puts);
        stops = stops.put(&format!("q/stop/{}", id(job)), Vec::new());
    }
    fixture.commit(&jobs).await;
    sleep(Duration::from_secs(1)).await;
    // This is one of the four jobs whose end isn't being written yet.
    let changed = br#"{"phase":"queued"}"#.to_vec();
    fixture
        .commit(
            &Batch::default().put(&record_key(id(ENDING_JOBS - 1)), changed),
        )
        .await;
    fixture.commit(&stops).await;
    // Slow, so that the holder stops while the other writes are in flight.
    fixture.store_faults.set_delay_us(300_000);
    sleep(Duration::from_millis(50)).await;
    let node = fixture.node.take().expect("a node");
    node.stop().await;
    fixture.store_faults.set_delay_us(0);
    for job in [ENDING_JOBS - 3, ENDING_JOBS - 2, ENDING_JOBS] {
        let phase = fixture.phase(id(job)).await;
        assert_eq!(phase, Some(Phase::Cancelled), "{job}");
    }
    // Its conflict is left to the next holder.
    assert_eq!(fixture.phase(id(ENDING_JOBS - 1)).await, Some(Phase::Queued));
}

#[tokio::test(start_paused = true)]
async fn lost_store_answers_do_not_cost_the_lease() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    fixture.store_faults.set_lost_per_mille(300);
    let jobs = 1..=20;
    let mut batch = Batch::default();
    for job in jobs.clone() {
        batch.puts.extend(accepted(id(job), &chain(5)).puts);
    }
    // Takes effect even if its answer is lost.
    let _ = fixture.store.commit(&batch).await;
    let all_completed = async || {
        let (_, records) = match fixture.store.list("run/").await {
            Ok(listed) => listed,
            Err(_) => return false,
        };
        let over = records.iter().filter(|item| {
            let progress = serde_json::from_slice::<Progress>(&item.value);
            progress.is_ok_and(|p| p.phase == Phase::Completed)
        });
        over.count() == 20
    };
    wait_until(all_completed).await;
    fixture.store_faults.set_lost_per_mille(0);
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    for job in jobs {
        for step in 0..5 {
            assert_eq!(fixture.starts(id(job), step), 1, "{job}, {step}");
        }
    }
}

/// Delays the first write of a record until a wave is completed, and returns
/// the record's value before and after that write takes effect.
async fn record_around_delayed_write(key: &str) -> [Option<Vec<u8>>; 2] {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    // Loading is finished by then.
    sleep(Duration::from_secs(3)).await;
    fixture.store.delay_next_write(key, Duration::from_secs(90));
    fixture.fleet.request_wave(WaveRequest {
        wave: 1,
        vms: (0..4).map(|vm| format!("vm-{vm}")).collect(),
        duration_ms: 5_000,
        max_down: 2,
    });
    wait_until(async || fixture.fleet.maintained().len() == 4).await;
    // Writes that follow from the last of them are finished.
    sleep(Duration::from_secs(5)).await;
    let read = async || {
        let found = fixture.store.get(key).await.expect("a store");
        found.map(|item| item.value)
    };
    let before = read().await;
    sleep(Duration::from_secs(120)).await;
    [before, read().await]
}

#[tokio::test(start_paused = true)]
async fn a_delayed_write_of_a_waves_state_does_not_replace_a_newer_one() {
    let [before, after] = record_around_delayed_write("wave/1").await;
    let done = |value: &Option<Vec<u8>>| -> usize {
        let value = value.as_ref().expect("a record");
        let record: WaveRecord = serde_json::from_slice(value).expect("JSON");
        record.done.len()
    };
    assert_eq!([done(&before), done(&after)], [4, 4]);
}

#[tokio::test(start_paused = true)]
async fn a_delayed_write_of_vm_orders_does_not_replace_a_newer_one() {
    let [before, after] = record_around_delayed_write("vm-orders").await;
    assert!(before.is_some(), "orders went out");
    assert_eq!(before, after, "an older record replaced a newer one");
}

/// The number of expired jobs: with 15 deleted every 5 s, their records would
/// take more than two minutes.
const EXPIRED_JOBS: u64 = 400;

#[tokio::test(start_paused = true)]
async fn expired_job_records_are_deleted_within_seconds() {
    let over = br#"{"phase":"completed","finished_at_ms":5}"#;
    let mut stored = Batch::default();
    for job in 1..=EXPIRED_JOBS {
        stored = stored.put(&record_key(id(job)), over.to_vec());
    }
    let fixture = Fixture::start(&stored, 0).await;
    assert_eq!(fixture.store.count("run/"), EXPIRED_JOBS as usize);
    sleep(Duration::from_secs(15)).await;
    assert_eq!(fixture.store.count("run/"), 0);
}

/// The delay of answers to lists for a holder that takes over.
const SLOW_LIST_DELAY: Duration = Duration::from_millis(600);

/// A job fails while another of its tasks runs, and the holder's orders to
/// stop that task are lost. The next holder must not let the run continue, and
/// renew its lease, until all jobs are loaded.
#[tokio::test(start_paused = true)]
async fn runs_of_a_failed_job_are_stopped_before_all_jobs_are_loaded() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.fleet.set_work_ms(600_000);
    fixture.fleet.set_stops_lost(true);
    fixture.fleet.fail_step(1);
    // Its slice is loaded last.
    let last = id(0xf << 60);
    let mut both = chain(2);
    both.spec.steps[1].after.clear();
    fixture.submit(last, &both).await;
    fixture.wait_for_phase(last, Phase::Failed).await;
    assert_eq!(fixture.fleet.running().len(), 1);
    fixture.stop_node().await;
    fixture.fleet.set_stops_lost(false);
    fixture.store_faults.set_list_delay_us(SLOW_LIST_DELAY.as_micros() as u64);
    fixture.start_node().await;
    assert_eq!(fixture.fleet.running().len(), 1);
    // The first lists are answered, but not yet those of the last jobs.
    sleep(SLOW_LIST_DELAY * 5 / 2).await;
    assert!(fixture.fleet.running().is_empty(), "the run still continues");
    assert_eq!(fixture.phase(last).await, Some(Phase::Failed));
    // The key by which the next holder knew of it is deleted eventually.
    fixture.store_faults.set_list_delay_us(0);
    sleep(Duration::from_secs(30)).await;
    assert_eq!(fixture.store.count("q/stop/"), 0);
}

/// If old orders stay in the record, each new holder regards their VMs as
/// recently ordered, and doesn't count crashes there in its first seconds. A
/// task then crashed 6 workers, with 5 allowed.
#[tokio::test(start_paused = true)]
async fn old_vm_orders_are_removed_from_the_record() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    // Loading is finished by then.
    sleep(Duration::from_secs(3)).await;
    fixture.fleet.request_wave(WaveRequest {
        wave: 1,
        vms: (0..4).map(|vm| format!("vm-{vm}")).collect(),
        duration_ms: 5_000,
        max_down: 2,
    });
    wait_until(async || fixture.fleet.maintained().len() == 4).await;
    sleep(Duration::from_secs(10)).await;
    let found = fixture.store.get("vm-orders").await.expect("a store");
    let record = found.expect("orders went out").value;
    assert_eq!(String::from_utf8_lossy(&record), "[]");
}

/// Returns a job with one step of this many tasks.
fn wide(tasks: u32) -> AcceptedJob {
    let mut job = chain(1);
    job.spec.steps[0].count = tasks;
    job.spec.steps[0].cpu_millis = 1_000;
    job
}

/// The tasks that the fleet has room for at a time.
const ALL_ROOM: u32 = 4 * VMS as u32;

/// The size of a checkpoint and the largest value that the store accepts, in
/// bytes: the record of a job doesn't have room for the checkpoints of all of
/// its tasks, and one write doesn't have room for those of half of them.
const CHECKPOINT_BYTES: usize = 20_000;
const MAX_VALUE_BYTES: usize = 100_000;

// Guards against a record that grows with the checkpoints of its job until the
// store refuses it, and with it the changes of all other jobs.
#[tokio::test(start_paused = true)]
async fn large_checkpoints_do_not_outgrow_a_record() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.store.set_max_value_bytes(MAX_VALUE_BYTES);
    fixture.fleet.fail_first_runs(CHECKPOINT_BYTES);
    fixture.fleet.set_work_ms(20_000);
    fixture.submit(id(1), &wide(ALL_ROOM)).await;
    let resumed_since = |run: u64| {
        let fleet = fixture.fleet.clone();
        async move || {
            let resumed = fleet.resumed().into_iter();
            resumed.filter(|(_, started)| *started >= run).count()
        }
    };
    let resumed = resumed_since(2);
    wait_until(async || resumed().await == ALL_ROOM as usize).await;
    // Another holder finds the checkpoints although the workers that had
    // listed them are gone.
    let resumed = resumed_since(3);
    fixture.stop_node().await;
    for vm in 0..VMS {
        fixture.fleet.crash(&format!("vm-{vm}"));
    }
    fixture.start_node().await;
    wait_until(async || resumed().await == ALL_ROOM as usize).await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(fixture.store.refused_writes(), 0);
    wait_until(async || fixture.store.count("saved/") == 0).await;
}

// Guards against checkpoints that stay in the store for good when the holder
// is lost between the end of their job and their deletion.
#[tokio::test(start_paused = true)]
async fn checkpoints_of_finished_jobs_are_deleted_after_a_takeover() {
    let record = br#"{"phase":"completed","finished_at_ms":5}"#.to_vec();
    let checkpoint = br#"{"run":1,"checkpoint":"00ff"}"#;
    let left = Batch::default()
        .put(&record_key(id(1)), record)
        .put(&format!("saved/{}.0.0.0", id(1)), checkpoint.to_vec())
        .put(&format!("saved/{}.0.0.0", id(2)), checkpoint.to_vec());
    let fixture = Fixture::start(&left, 0).await;
    wait_until(async || fixture.store.count("saved/") == 0).await;
}

/// The largest value that the store accepts, in bytes: more than the record of
/// a chain, and less than that of a wide job of which each task has failed.
const SMALL_VALUE_BYTES: usize = 900;

// Guards against one job that can't be recorded holding back the ends of all
// others: its end stands before theirs in the list of each worker, and its
// record in the same write as theirs.
#[tokio::test(start_paused = true)]
async fn a_rejected_record_affects_only_its_own_job() {
    let mut fixture = Fixture::start(&Batch::default(), 0).await;
    let lease = fixture.lease_revision().await;
    fixture.fleet.fail_first_runs(1);
    fixture.fleet.set_work_ms(8_000);
    fixture.submit(id(1), &wide(ALL_ROOM)).await;
    wait_until(async || fixture.fleet.resumed().len() == ALL_ROOM as usize)
        .await;
    // From now on the record would have room for no further end.
    fixture.store.set_max_value_bytes(SMALL_VALUE_BYTES);
    fixture.fleet.set_work_ms(WORK_MS);
    fixture.fleet.restart("vm-0");
    for number in 2..40 {
        fixture.submit(id(number), &chain(2)).await;
    }
    for number in 2..40 {
        fixture.wait_for_phase(id(number), Phase::Completed).await;
    }
    assert!(fixture.store.refused_writes() > 0);
    assert_ne!(
        fixture.phase(id(1)).await,
        Some(Phase::Completed),
        "the other jobs have waited for it"
    );
    assert_eq!(
        fixture.lease_revision().await,
        lease,
        "the lease has changed hands"
    );
    // Another holder knows its ends as well, and it is completed.
    fixture.stop_node().await;
    fixture.start_node().await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(fixture.fleet.ran_twice(), []);
    fixture.wait_until_no_deferred_ends().await;
}

// Guards against a checkpoint that is larger than any value of the store
// keeping its job from being recorded.
#[tokio::test(start_paused = true)]
async fn a_rejected_checkpoint_does_not_keep_its_job_from_being_recorded() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    fixture.store.set_max_value_bytes(MAX_VALUE_BYTES);
    fixture.fleet.fail_first_runs(MAX_VALUE_BYTES);
    fixture.submit(id(1), &wide(2)).await;
    fixture.wait_for_phase(id(1), Phase::Completed).await;
}

// Guards against an end that can't be acknowledged, since it is stored apart
// with a checkpoint that is larger than any value of the store.
#[tokio::test(start_paused = true)]
async fn a_rejected_checkpoint_does_not_hold_back_a_deferred_end() {
    let fixture = Fixture::start(&Batch::default(), 0).await;
    sleep(ACKNOWLEDGE_TIME).await;
    fixture.store.set_max_value_bytes(MAX_VALUE_BYTES);
    fixture.fleet.fail_first_runs(MAX_VALUE_BYTES);
    // The run ends before the first write of the record is answered.
    fixture.store_faults.set_delay_us(300_000);
    let unreadable =
        accepted(id(1), &chain(2)).put(&record_key(id(1)), b"odd".to_vec());
    fixture.commit(&unreadable).await;
    wait_until(async || fixture.store.count("end/") > 0).await;
    fixture.store_faults.set_delay_us(0);
    fixture.submit(id(2), &chain(3)).await;
    fixture.wait_for_phase(id(2), Phase::Completed).await;
}
