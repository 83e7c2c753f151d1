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
//! A job whose record can't be read isn't gone on with, and the holder has
//! nothing to store for it. An end of one of its runs was therefore
//! acknowledged at once, and nobody knew of it any more: a later holder that
//! could read the record started the task again, though it was done.
//!
//! The clock is paused: nothing here depends on the machine.

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

/// How long anything may take before a test gives up on it.
const LIMIT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// How long each task takes, in milliseconds.
const WORK_MS: u64 = 60;

/// A node over a store and a fleet, and no callers.
struct Alone {
    store: Store,
    store_faults: Faults,
    fleet: TaskFleet,
    node: Option<JobNode>,
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
        let node = None;
        let mut alone = Alone { store, store_faults, fleet, node, lapsing };
        alone.take_over().await;
        alone
    }

    /// Starts a node and waits until it holds the lease.
    async fn take_over(&mut self) {
        let platform = JobPlatform {
            store: self.store.clone(),
            workers: self.fleet.clone(),
            fleet: self.fleet.clone(),
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
        };
        let settings = JobSettings::loopback("node-0");
        let log = logs::discard();
        let node = JobNode::start(&settings, platform, None, &log).await;
        self.node = Some(node.expect("a started node"));
        until(async || self.lease().await > 0).await;
    }

    /// Stops the node, and waits until nobody holds the lease.
    async fn leave(&mut self) {
        let node = self.node.take().expect("a node");
        node.stop().await;
        until(async || self.lease().await == 0).await;
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

    /// Writes a job's record again as it is, as no holder would.
    async fn touch(&self, id: JobId) {
        let key = record(id);
        let found = self.store.get(&key).await.expect("a store");
        if let Some(found) = found {
            self.write(&Batch::default().put(&key, found.value)).await;
        }
    }

    /// Returns whether the store lists a job as open.
    async fn is_open(&self, id: JobId) -> bool {
        let key = format!("q/in/{id}");
        self.store.version(&key).await.expect("a store") > 0
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

#[tokio::test(start_paused = true)]
async fn a_record_at_another_version_costs_neither_the_lease_nor_other_jobs() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    for job in [1, 2] {
        alone.hand_in(id(job), &chain(10)).await;
    }
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.touch(id(1)).await;
    for job in [1, 2] {
        alone.wait_for_phase(id(job), Phase::Completed).await;
        for step in 0..10 {
            assert_eq!(alone.starts(id(job), step), 1, "{job}, {step}");
        }
    }
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
}

/// How often a record is rewritten by someone else, and how many times: for
/// ten seconds, between any two writes of the holder.
const TOUCH_PAUSE: Duration = Duration::from_millis(5);
const TOUCHES: u64 = 2_000;

/// More than the lease, the counts of waiting jobs and the other job take of
/// writes in that time, and a tenth of what one every 20 ms would come to.
const FEW_WRITES: u64 = 100;

#[tokio::test(start_paused = true)]
async fn a_record_that_is_always_another_is_not_written_without_pause() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    alone.hand_in(id(1), &chain(3)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.hand_in(id(2), &chain(10)).await;
    let before = alone.store_faults.writes();
    for _ in 0..TOUCHES {
        alone.touch(id(1)).await;
        sleep(TOUCH_PAUSE).await;
    }
    let writes = alone.store_faults.writes() - before - TOUCHES;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    assert_eq!(alone.phase(id(2)).await, Some(Phase::Completed));
    assert!(writes < FEW_WRITES, "{writes} writes");
    alone.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
}

#[tokio::test(start_paused = true)]
async fn what_an_unexpected_record_names_as_done_is_not_run_again() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    // As if a former holder had stored it and this one had overlooked it.
    let progress = br#"{"phase":"running","done":["0.0:0-0","0.1:0-0"]}"#;
    let job =
        accepted(id(1), &chain(4)).put(&record(id(1)), progress.to_vec());
    alone.write(&job).await;
    alone.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    let starts = [0, 1, 2, 3].map(|step| alone.starts(id(1), step));
    // The first was started before the first write of the record.
    assert_eq!(starts, [1, 0, 1, 1]);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_over_on_record_stays_as_it_is_there() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    alone.fleet.set_work_ms(600_000);
    alone.hand_in(id(1), &chain(2)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    let over = br#"{"phase":"completed","finished_at_ms":5}"#.to_vec();
    alone.write(&Batch::default().put(&record(id(1)), over)).await;
    // The holder looks at the record when it next writes it.
    let stop = format!("q/stop/{}", id(1));
    alone.write(&Batch::default().put(&stop, Vec::new())).await;
    until(async || !alone.is_open(id(1)).await).await;
    until(async || alone.fleet.running().is_empty()).await;
    assert_eq!(alone.phase(id(1)).await, Some(Phase::Completed));
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
}

#[tokio::test(start_paused = true)]
async fn a_record_that_cannot_be_read_costs_its_own_job_alone() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    let odd = accepted(id(1), &chain(3)).put(&record(id(1)), b"odd".to_vec());
    alone.write(&odd).await;
    alone.hand_in(id(2), &chain(3)).await;
    alone.wait_for_phase(id(2), Phase::Completed).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    // All of it may have been done: it isn't gone on with.
    assert_eq!(alone.starts(id(1), 1), 0);
    let left = alone.store.get(&record(id(1))).await.expect("a store");
    assert_eq!(left.map(|item| item.value), Some(b"odd".to_vec()));
}

/// How long a holder has to hear of all that has ended and to say that it
/// needn't be told again.
const HEARD: Duration = Duration::from_secs(5);

/// A job's record as a later holder can read it.
const READABLE: &[u8] = br#"{"phase":"running"}"#;

impl Alone {
    /// Has another holder take over that can read the job's record, and checks
    /// that the job is completed and its tasks were started once each.
    async fn go_on_where_it_can_be_read(&mut self, id: JobId, steps: u32) {
        self.leave().await;
        self.write(&Batch::default().put(&record(id), READABLE.to_vec()))
            .await;
        self.take_over().await;
        self.wait_for_phase(id, Phase::Completed).await;
        for step in 0..steps {
            assert_eq!(self.starts(id, step), 1, "step {step}");
        }
        self.wait_until_no_end_is_set_aside().await;
    }

    async fn wait_until_no_end_is_set_aside(&self) {
        until(async || {
            let (_, ends) = self.store.list("end/").await.expect("a store");
            ends.is_empty()
        })
        .await;
    }
}

#[tokio::test(start_paused = true)]
async fn what_ended_before_a_holder_that_cannot_read_its_job_is_not_run_again()
{
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(2_000);
    alone.hand_in(id(1), &chain(2)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.leave().await;
    alone.fleet.set_work_ms(WORK_MS);
    alone.write(&Batch::default().put(&record(id(1)), b"odd".to_vec())).await;
    sleep(Duration::from_secs(2)).await;
    assert!(alone.fleet.running().is_empty(), "it has ended, unheard");
    alone.take_over().await;
    sleep(HEARD).await;
    alone.go_on_where_it_can_be_read(id(1), 2).await;
}

#[tokio::test(start_paused = true)]
async fn what_ended_before_its_jobs_record_was_found_odd_is_not_run_again() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    sleep(HEARD).await;
    // The run ends before the first write of the record is answered.
    alone.store_faults.set_delay_us(300_000);
    let odd = accepted(id(1), &chain(2)).put(&record(id(1)), b"odd".to_vec());
    alone.write(&odd).await;
    sleep(HEARD).await;
    alone.store_faults.set_delay_us(0);
    assert_eq!(alone.starts(id(1), 0), 1);
    // With whatever is stored, ends are acknowledged.
    alone.hand_in(id(2), &chain(2)).await;
    sleep(HEARD).await;
    alone.go_on_where_it_can_be_read(id(1), 2).await;
}

#[tokio::test(start_paused = true)]
async fn what_ended_of_a_job_that_cannot_be_read_is_not_run_again() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(2_000);
    alone.hand_in(id(1), &chain(2)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.leave().await;
    alone.fleet.set_work_ms(WORK_MS);
    let odd =
        Batch::default().put(&format!("q/in/{}", id(1)), b"odd".to_vec());
    alone.write(&odd).await;
    sleep(Duration::from_secs(2)).await;
    alone.take_over().await;
    sleep(HEARD).await;
    alone.leave().await;
    alone.hand_in(id(1), &chain(2)).await;
    alone.take_over().await;
    alone.wait_for_phase(id(1), Phase::Completed).await;
    for step in 0..2 {
        assert_eq!(alone.starts(id(1), step), 1, "step {step}");
    }
    alone.wait_until_no_end_is_set_aside().await;
}

/// How many tasks run of a job when its record goes bad.
const RUNNING: u32 = 12;

/// Nobody but a holder that reads the job deletes what was set aside of it. That
/// is as much as ran when its record went bad, since nothing of it starts any more:
/// no holder adds to it.
#[tokio::test(start_paused = true)]
async fn what_is_set_aside_of_a_job_does_not_grow_from_holder_to_holder() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(2_000);
    let mut wide = chain(2);
    wide.spec.steps[0].count = RUNNING;
    alone.hand_in(id(1), &wide).await;
    until(async || alone.fleet.running().len() == RUNNING as usize).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.leave().await;
    let read = alone.store.get(&record(id(1))).await.expect("a store");
    alone.write(&Batch::default().put(&record(id(1)), b"odd".to_vec())).await;
    for holder in 0..6 {
        alone.take_over().await;
        // Others go on, and are forgotten as ever.
        alone.hand_in(id(2 + holder), &chain(2)).await;
        alone.wait_for_phase(id(2 + holder), Phase::Completed).await;
        sleep(HEARD).await;
        assert_eq!(alone.store.count("end/"), RUNNING as usize);
        alone.leave().await;
    }
    assert_eq!(alone.starts(id(1), 0), RUNNING as usize);

    let read = read.expect("a record").value;
    alone.write(&Batch::default().put(&record(id(1)), read)).await;
    alone.take_over().await;
    alone.wait_for_phase(id(1), Phase::Completed).await;
    assert_eq!(alone.starts(id(1), 0), RUNNING as usize);
    alone.wait_until_no_end_is_set_aside().await;
}

/// Holders that can read a job's record and holders that can't follow each other,
/// as while a version of the program is replaced and taken back. What one set aside
/// and the next took in stayed in the store until the job was over, and a job whose
/// task lasts had one more end there each time.
#[tokio::test(start_paused = true)]
async fn what_was_taken_in_of_a_job_that_goes_on_is_deleted() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(6_000_000);
    let mut lasting = chain(1);
    lasting.spec.steps[0].long_running = true;
    alone.hand_in(id(1), &lasting).await;
    let runs = async |alone: &Alone, run: usize| {
        until(async || alone.starts(id(1), 0) == run).await;
        alone.wait_for_phase(id(1), Phase::Running).await;
        sleep(HEARD).await;
        assert_eq!(alone.fleet.running().len(), 1);
    };
    runs(&alone, 1).await;
    for holder in 1..6 {
        alone.leave().await;
        let read = alone.store.get(&record(id(1))).await.expect("a store");
        let odd = Batch::default().put(&record(id(1)), b"odd".to_vec());
        alone.write(&odd).await;
        alone.take_over().await;
        sleep(HEARD).await;
        assert_eq!(alone.store.count("end/"), 1, "holder {holder}");
        assert!(alone.fleet.running().is_empty());

        alone.leave().await;
        let read = read.expect("a record").value;
        alone.write(&Batch::default().put(&record(id(1)), read)).await;
        alone.take_over().await;
        runs(&alone, holder + 1).await;
        alone.wait_until_no_end_is_set_aside().await;
    }
}

/// Where its record is gone as well, nobody will ever read the job.
#[tokio::test(start_paused = true)]
async fn what_was_set_aside_of_a_job_that_is_gone_is_deleted() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(2_000);
    alone.hand_in(id(1), &chain(2)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    alone.leave().await;
    alone.write(&Batch::default().put(&record(id(1)), b"odd".to_vec())).await;
    alone.take_over().await;
    sleep(HEARD).await;
    assert_eq!(alone.store.count("end/"), 1);
    alone.leave().await;
    let gone = Batch::default().delete(&format!("q/in/{}", id(1)));
    alone.write(&gone.delete(&record(id(1)))).await;
    alone.take_over().await;
    alone.wait_until_no_end_is_set_aside().await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_of_jobs_once_another_node_holds_the_lease() {
    let alone = Alone::start(&Batch::default(), 0).await;
    alone.hand_in(id(1), &chain(3)).await;
    alone.wait_for_phase(id(1), Phase::Running).await;
    let owner = br#"{"node":"other","incarnation":1}"#.to_vec();
    // At once, so that only the refused write can tell of the new holder.
    alone.store_faults.set_silent(true);
    alone.write(&Batch::default().put("q/owner", owner)).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(alone.phase(id(1)).await, Some(Phase::Running));
}

/// How many jobs end at once: four more than the eight writes carry that may be
/// under way.
const ENDING: u64 = 60;

#[tokio::test(start_paused = true)]
async fn a_holder_that_leaves_stores_all_but_what_is_refused() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(600_000);
    let (mut jobs, mut stops) = (Batch::default(), Batch::default());
    for job in 1..=ENDING {
        let accepted = accepted(id(job), &chain(1));
        jobs.puts.extend(accepted.puts);
        stops = stops.put(&format!("q/stop/{}", id(job)), Vec::new());
    }
    alone.write(&jobs).await;
    sleep(Duration::from_secs(1)).await;
    // One of the four whose end waits to be written.
    let odd = br#"{"phase":"queued"}"#.to_vec();
    alone.write(&Batch::default().put(&record(id(ENDING - 1)), odd)).await;
    alone.write(&stops).await;
    // So that the holder leaves while the others are being written.
    alone.store_faults.set_delay_us(300_000);
    sleep(Duration::from_millis(50)).await;
    let node = alone.node.take().expect("a node");
    node.stop().await;
    alone.store_faults.set_delay_us(0);
    for job in [ENDING - 3, ENDING - 2, ENDING] {
        let phase = alone.phase(id(job)).await;
        assert_eq!(phase, Some(Phase::Cancelled), "{job}");
    }
    // Left to the next holder.
    assert_eq!(alone.phase(id(ENDING - 1)).await, Some(Phase::Queued));
}

#[tokio::test(start_paused = true)]
async fn lost_answers_of_the_store_cost_no_lease() {
    let alone = Alone::start(&Batch::default(), 0).await;
    let lease = alone.lease().await;
    alone.store_faults.set_lost_per_mille(300);
    let jobs = 1..=20;
    let mut batch = Batch::default();
    for job in jobs.clone() {
        batch.puts.extend(accepted(id(job), &chain(5)).puts);
    }
    // Done in any case, whether or not that is answered.
    let _ = alone.store.commit(&batch).await;
    let all_over = async || {
        let (_, records) = match alone.store.list("run/").await {
            Ok(listed) => listed,
            Err(_) => return false,
        };
        let over = records.iter().filter(|item| {
            let progress = serde_json::from_slice::<Progress>(&item.value);
            progress.is_ok_and(|p| p.phase == Phase::Completed)
        });
        over.count() == 20
    };
    until(all_over).await;
    alone.store_faults.set_lost_per_mille(0);
    assert_eq!(alone.lease().await, lease, "the lease has changed hands");
    for job in jobs {
        for step in 0..5 {
            assert_eq!(alone.starts(id(job), step), 1, "{job}, {step}");
        }
    }
}

/// Has the first write of a record be done after all of a wave is, and returns
/// what the record was before and after that.
async fn around_a_late_write(key: &str) -> [Option<Vec<u8>>; 2] {
    let alone = Alone::start(&Batch::default(), 0).await;
    // All is loaded by then.
    sleep(Duration::from_secs(3)).await;
    alone.store.delay_next_write(key, Duration::from_secs(90));
    alone.fleet.request_wave(WaveRequest {
        wave: 1,
        vms: (0..4).map(|vm| format!("vm-{vm}")).collect(),
        duration_ms: 5_000,
        max_down: 2,
    });
    until(async || alone.fleet.maintained().len() == 4).await;
    // What follows from the last of them is written.
    sleep(Duration::from_secs(5)).await;
    let read = async || {
        let found = alone.store.get(key).await.expect("a store");
        found.map(|item| item.value)
    };
    let before = read().await;
    sleep(Duration::from_secs(120)).await;
    [before, read().await]
}

#[tokio::test(start_paused = true)]
async fn a_late_write_of_a_waves_state_does_not_replace_a_newer_one() {
    let [before, after] = around_a_late_write("wave/1").await;
    let done = |value: &Option<Vec<u8>>| -> usize {
        let value = value.as_ref().expect("a record");
        let record: WaveRecord = serde_json::from_slice(value).expect("JSON");
        record.done.len()
    };
    assert_eq!([done(&before), done(&after)], [4, 4]);
}

#[tokio::test(start_paused = true)]
async fn a_late_write_of_the_vms_ordered_does_not_replace_a_newer_one() {
    let [before, after] = around_a_late_write("vm-orders").await;
    assert!(before.is_some(), "orders went out");
    assert_eq!(before, after, "an older record replaced a newer one");
}

/// How many jobs have been over for long: at 15 each 5 s their records would
/// take two minutes and more.
const EXPIRED: u64 = 400;

#[tokio::test(start_paused = true)]
async fn records_of_jobs_that_are_over_for_long_are_gone_within_seconds() {
    let over = br#"{"phase":"completed","finished_at_ms":5}"#;
    let mut stored = Batch::default();
    for job in 1..=EXPIRED {
        stored = stored.put(&record(id(job)), over.to_vec());
    }
    let alone = Alone::start(&stored, 0).await;
    assert_eq!(alone.store.count("run/"), EXPIRED as usize);
    sleep(Duration::from_secs(15)).await;
    assert_eq!(alone.store.count("run/"), 0);
}

/// How long the answer of each list is under way for a holder that takes over.
const SLOW_LISTS: Duration = Duration::from_millis(600);

/// A job that fails while another of its tasks runs, under a holder whose orders
/// to stop that come to nothing. The next holder left the run alone, and renewed
/// its lease, until it had loaded all jobs.
#[tokio::test(start_paused = true)]
async fn runs_of_a_job_that_failed_are_stopped_before_all_jobs_are_loaded() {
    let mut alone = Alone::start(&Batch::default(), 0).await;
    alone.fleet.set_work_ms(600_000);
    alone.fleet.set_stops_lost(true);
    alone.fleet.fail_step(1);
    // It is loaded last.
    let last = id(0xf << 60);
    let mut both = chain(2);
    both.spec.steps[1].after.clear();
    alone.hand_in(last, &both).await;
    alone.wait_for_phase(last, Phase::Failed).await;
    assert_eq!(alone.fleet.running().len(), 1);
    alone.leave().await;
    alone.fleet.set_stops_lost(false);
    alone.store_faults.set_list_delay_us(SLOW_LISTS.as_micros() as u64);
    alone.take_over().await;
    assert_eq!(alone.fleet.running().len(), 1);
    // The first lists have come, and those of the last jobs haven't.
    sleep(SLOW_LISTS * 5 / 2).await;
    assert!(alone.fleet.running().is_empty(), "it goes on");
    assert_eq!(alone.phase(last).await, Some(Phase::Failed));
    // What told the next holder isn't kept for good.
    alone.store_faults.set_list_delay_us(0);
    sleep(Duration::from_secs(30)).await;
    assert_eq!(alone.store.count("q/stop/"), 0);
}

// A VM that was ordered long ago counted as ordered of late for each new holder, which
// counted no crash there in its first seconds: 6 crashes of one task, 5 allowed.
#[tokio::test(start_paused = true)]
async fn vms_that_were_ordered_long_ago_are_no_longer_on_record() {
    let alone = Alone::start(&Batch::default(), 0).await;
    // All is loaded by then.
    sleep(Duration::from_secs(3)).await;
    alone.fleet.request_wave(WaveRequest {
        wave: 1,
        vms: (0..4).map(|vm| format!("vm-{vm}")).collect(),
        duration_ms: 5_000,
        max_down: 2,
    });
    until(async || alone.fleet.maintained().len() == 4).await;
    sleep(Duration::from_secs(10)).await;
    let found = alone.store.get("vm-orders").await.expect("a store");
    let record = found.expect("orders went out").value;
    assert_eq!(String::from_utf8_lossy(&record), "[]");
}
