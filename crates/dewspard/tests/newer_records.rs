//! Records written by a newer version of the program, or by something else.
//!
//! During an upgrade, and after a rollback, nodes read records of a newer
//! version. Unknown fields must have no effect, and an unreadable record must
//! affect only the item that it describes. Two failures are guarded against:
//!
//! - Each unreadable record was logged on each read: 300 jobs, their progress
//!   and the states of 300 waves made 1,500 log lines at a takeover.
//! - A node panicked with "attempt to multiply with overflow" when the
//!   holder's record had the maximum strength.

use {
    dewspar::{
        job::{JobId, JobSpec, Phase, Progress, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, QueueTerms, WaveRequest},
    },
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
    quickcheck::{Arbitrary, Gen},
    serde_json::{Map, Value, json},
    slog::{Drain, Logger, Never, OwnedKVList, Record, o},
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(60);

const POOL: &str = "registry";

/// Collects the messages of all log lines.
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<String>>>);

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("lines");
        lines.push(line.msg().to_string());
        Ok(())
    }
}

impl LogLines {
    /// Returns the number of lines about unreadable records.
    fn count_unreadable(&self) -> usize {
        let lines = self.0.lock().expect("lines");
        let is_about_unreadable = |line: &&String| {
            line.contains("can't be read") || line.contains("passed over")
        };
        lines.iter().filter(is_about_unreadable).count()
    }
}

struct Fixture {
    store: Store,
    fleet: TaskFleet,
    lines: LogLines,
    lease_expiry: tokio::task::JoinHandle<()>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.lease_expiry.abort();
    }
}

impl Fixture {
    fn new() -> Fixture {
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
        let lease_expiry = tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                expiring.lapse_leases();
            }
        });
        Fixture { store, fleet, lines: LogLines::default(), lease_expiry }
    }

    async fn put(&self, key: &str, value: &[u8]) {
        let batch = Batch::default().put(key, value.to_vec());
        self.store.commit(&batch).await.expect("a store");
    }

    async fn start(&self) -> JobNode {
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
        let log = Logger::root(self.lines.clone().fuse(), o!());
        let settings = JobSettings::loopback("node-0");
        let node = JobNode::start(&settings, platform, None, &log).await;
        node.expect("a started node")
    }

    async fn phase(&self, id: JobId) -> Phase {
        let found = self.store.get(&format!("run/{id}")).await;
        let found = found.expect("a store");
        let progress = found.map(|found| {
            serde_json::from_slice::<Progress>(&found.value).expect("progress")
        });
        progress.map_or(Phase::Queued, |progress| progress.phase)
    }

    /// Waits until a job is completed; returns `false` on a timeout.
    async fn completes(&self, id: JobId) -> bool {
        let waiting = async {
            while self.phase(id).await != Phase::Completed {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, waiting).await.is_ok()
    }

    fn has_started(&self, id: JobId) -> bool {
        self.fleet.started().iter().any(|(task, _)| task.job == id)
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

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("an identifier")
}

fn job() -> Value {
    let step = StepSpec { count: 1, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let job =
        AcceptedJob { spec, terms: terms(), accepted_at_ms: 1, team: None };
    serde_json::to_value(job).expect("plain JSON")
}

/// Adds an unknown field to each object of a document.
fn with_unknown_fields(value: Value) -> Value {
    match value {
        Value::Object(fields) => {
            let fields = fields.into_iter();
            let mut fields: Map<String, Value> = fields
                .map(|(name, value)| (name, with_unknown_fields(value)))
                .collect();
            fields.insert("of_a_newer_version".to_owned(), json!([{}]));
            Value::Object(fields)
        }
        Value::Array(rows) => {
            rows.into_iter().map(with_unknown_fields).collect()
        }
        other => other,
    }
}

#[tokio::test]
async fn records_with_fields_more_are_read() {
    let fixture = Fixture::new();
    let with_unknown = |value: Value| with_unknown_fields(value).to_string();
    // Unknown fields are added by hand here: all fields but one are names of
    // VMs.
    let by = json!({ "node": "node-9", "incarnation": 1, "newer": 1 });
    let orders = json!([{ "by": by, "ages_ms": { "vm-0": 5 }, "newer": 1 }]);
    fixture.put("vm-orders", orders.to_string().as_bytes()).await;
    let task = json!({ "round": 0, "step": 0, "index": 0, "run": 3,
        "done": true });
    let progress = json!({ "phase": "completed", "finished_at_ms": 9,
        "tasks": [task] });
    let wave = json!({ "since_unix_ms": 5, "done": ["vm-0"] });
    let claim = json!({ "node": "node-9", "strength": 1 });
    for (key, value) in [
        (format!("q/in/{}", id(1)), job()),
        (format!("q/in/{}", id(2)), job()),
        (format!("run/{}", id(2)), progress),
        ("wave/7".to_owned(), wave),
        ("q/claim".to_owned(), claim),
    ] {
        fixture.put(&key, with_unknown(value).as_bytes()).await;
    }
    let _node = fixture.start().await;
    assert!(fixture.completes(id(1)).await);
    assert!(!fixture.has_started(id(2)), "it was completed before");
}

/// An older version continues a wave, and tries to claim the lease itself.
/// Unknown fields of these records must be kept for a newer version.
#[tokio::test]
async fn what_is_not_known_of_a_wave_and_a_claim_stays_on_record() {
    let fixture = Fixture::new();
    let wave = json!({ "since_unix_ms": 5, "done": ["vm-0"], "newer": [1] });
    fixture.put("wave/7", wave.to_string().as_bytes()).await;
    let vms = vec!["vm-0".to_owned(), "vm-1".to_owned()];
    // By its record the wave began long ago, and it must not end during the
    // test.
    let duration_ms = u64::MAX / 2;
    fixture.fleet.request_wave(WaveRequest {
        wave: 7,
        vms,
        duration_ms,
        max_down: 1,
    });
    let claim = json!({ "node": "node-9", "strength": 1, "newer": [1] });
    fixture.put("q/claim", claim.to_string().as_bytes()).await;
    // The holder is weaker than the started node, which claims its lease.
    let lease = fixture.store.grant(1_000).await.expect("a lease");
    let owner = json!({ "node": "node-8", "incarnation": 1, "strength": 1 });
    let owner = Batch::default().put_leased(
        "q/owner",
        owner.to_string().into_bytes(),
        lease,
    );
    fixture.store.commit(&owner).await.expect("a store");
    let _node = fixture.start().await;
    let record = async |key: &str| -> Value {
        let found = fixture.store.get(key).await.expect("a store");
        let found = found.expect("a record");
        serde_json::from_slice(&found.value).expect("JSON")
    };
    let waiting = async {
        while record("wave/7").await["done"] != json!(["vm-0", "vm-1"]) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("the wave goes on");
    assert_eq!(record("wave/7").await["newer"], json!([1]));
    assert_eq!(record("q/claim").await, claim);
}

#[tokio::test]
async fn a_record_that_cant_be_read_stops_nothing_else() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let keys = [
        format!("q/in/{}", id(7)),
        "q/in/no-identifier".to_owned(),
        "q/stop/no-identifier".to_owned(),
        "q/claim".to_owned(),
        "q/of-a-newer-version".to_owned(),
        format!("run/{}", id(7)),
        "run/no-identifier".to_owned(),
        "wave/7".to_owned(),
        "wave/no-number".to_owned(),
        "vm-orders".to_owned(),
        "pending".to_owned(),
        "counted".to_owned(),
        "accepted-last".to_owned(),
        "node/node-9".to_owned(),
        "max-strength".to_owned(),
        "readers".to_owned(),
        "peer/node-9".to_owned(),
        "starts/1/1".to_owned(),
    ];
    let unreadable = keys.iter().map(|key| (key, &b"\xff no record"[..]));
    // The keys that hold whole documents of other writers.
    let accepted = format!("q/in/{}", id(7));
    let progress = format!("run/{}", id(7));
    let nested = [&accepted, &progress].map(|key| (key, deep.as_bytes()));
    for (key, value) in unreadable.chain(nested) {
        let fixture = Fixture::new();
        fixture.put(key, value).await;
        let _node = fixture.start().await;
        fixture
            .put(&format!("q/in/{}", id(1)), job().to_string().as_bytes())
            .await;
        assert!(fixture.completes(id(1)).await, "unreadable: {key}");
        assert!(!fixture.has_started(id(7)), "unreadable: {key}");
    }
}

/// Guards against a job with more tasks than fit into memory, which ends each
/// process that reads it.
#[tokio::test]
async fn a_job_that_no_node_accepts_hides_itself_alone() {
    let fixture = Fixture::new();
    for (number, count) in [(7, 20_000), (8, u32::MAX), (9, 0)] {
        let mut odd = job();
        odd["spec"]["steps"][0]["count"] = json!(count);
        let key = format!("q/in/{}", id(number));
        fixture.put(&key, odd.to_string().as_bytes()).await;
    }
    let good = job().to_string();
    fixture.put(&format!("q/in/{}", id(1)), good.as_bytes()).await;
    let _node = fixture.start().await;
    assert!(fixture.completes(id(1)).await);
    for number in 7..10 {
        assert!(!fixture.has_started(id(number)), "{number}");
    }
}

/// One unreadable start must not hide the others in its holder's log.
#[tokio::test]
async fn a_logged_start_that_cant_be_read_hides_itself_alone() {
    let fixture = Fixture::new();
    fixture
        .put(&format!("q/in/{}", id(1)), job().to_string().as_bytes())
        .await;
    let task = format!("{}.0.0.0", id(1));
    let good = json!({ "task": task, "run": 8, "worker": "gone", "unseen": 1,
        "newer": true });
    let rows = json!([{ "task": 7 }, null, good, "no row"]);
    fixture.put("starts/1/1", rows.to_string().as_bytes()).await;
    let _node = fixture.start().await;
    assert!(fixture.completes(id(1)).await);
    // The log is deleted once the job's record includes its starts.
    let began = Instant::now();
    while fixture.store.get("starts/1/1").await.expect("a store").is_some() {
        assert!(began.elapsed() < TIMEOUT, "the log is still there");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An unreadable lease may be held by a newer version, so it is respected
/// until the store ends it.
#[tokio::test]
async fn a_lease_that_cant_be_read_is_anothers_until_it_lapses() {
    let fixture = Fixture::new();
    let lease = fixture.store.grant(3_000).await.expect("a lease");
    let owner = Batch::default()
        .put_leased("q/owner", b"\xff".to_vec(), lease)
        .put(&format!("q/in/{}", id(1)), job().to_string().into_bytes());
    fixture.store.commit(&owner).await.expect("a store");
    let _node = fixture.start().await;
    let began = Instant::now();
    assert!(fixture.completes(id(1)).await);
    let until = Duration::from_millis(2_500);
    assert!(began.elapsed() > until, "the lease was taken before it expired");
}

/// The strength in a holder's record is multiplied and compared, so extreme
/// values must not overflow.
#[tokio::test]
async fn a_holder_of_any_strength_is_waited_for() {
    for strength in [0, u64::MAX] {
        let fixture = Fixture::new();
        let lease = fixture.store.grant(2_000).await.expect("a lease");
        let owner = json!({ "node": "node-9", "incarnation": 1,
            "strength": strength });
        let owner = Batch::default()
            .put_leased("q/owner", owner.to_string().into_bytes(), lease)
            .put("node/node-9", strength.to_string().into_bytes())
            .put("max-strength", strength.to_string().into_bytes())
            .put(&format!("q/in/{}", id(1)), job().to_string().into_bytes());
        fixture.store.commit(&owner).await.expect("a store");
        let _node = fixture.start().await;
        assert!(fixture.completes(id(1)).await, "strength {strength}");
    }
}

/// What starting nodes read must not grow with the square of their number.
#[tokio::test]
async fn a_starting_node_lists_no_other_nodes() {
    let fixture = Fixture::new();
    for number in 0..100 {
        fixture.put(&format!("node/other-{number}"), b"1000").await;
    }
    let _node = fixture.start().await;
    fixture
        .put(&format!("q/in/{}", id(1)), job().to_string().as_bytes())
        .await;
    assert!(fixture.completes(id(1)).await);
    assert_eq!(fixture.store.lists_of("node/"), 0);
}

/// Returns a job with one field replaced by a value of another type.
fn malformed_job(random: &mut Gen) -> Value {
    let values = [json!(null), json!([]), json!({}), json!("x"), json!(-1)];
    let mut job = job();
    let path = [
        "",
        "/spec",
        "/spec/steps",
        "/spec/steps/0",
        "/spec/queue",
        "/terms",
        "/terms/pool",
        "/spec/payload",
        "/accepted_at_ms",
    ];
    let path = path[usize::arbitrary(random) % path.len()];
    let value = &values[usize::arbitrary(random) % values.len()];
    *job.pointer_mut(path).expect("a field") = value.clone();
    job
}

#[tokio::test]
async fn whatever_jobs_hold_the_others_run() {
    let mut random = Gen::from_size_and_seed(1_000, 17);
    let fixture = Fixture::new();
    for number in 100..300 {
        let malformed = malformed_job(&mut random).to_string();
        fixture
            .put(&format!("q/in/{}", id(number)), malformed.as_bytes())
            .await;
    }
    fixture
        .put(&format!("q/in/{}", id(1)), job().to_string().as_bytes())
        .await;
    let _node = fixture.start().await;
    assert!(fixture.completes(id(1)).await);
    // Jobs that are submitted later run as well.
    fixture
        .put(&format!("q/in/{}", id(2)), job().to_string().as_bytes())
        .await;
    assert!(fixture.completes(id(2)).await);
}

/// The limit is about a hundred lines, and a few for each second, however many
/// records are unreadable and however often they are read.
#[tokio::test]
async fn lines_do_not_grow_with_the_number_of_records_that_cant_be_read() {
    let fixture = Fixture::new();
    for number in 100..400 {
        fixture.put(&format!("q/in/{}", id(number)), b"\xff").await;
        fixture.put(&format!("run/{}", id(number)), b"\xff").await;
    }
    for number in 0..300 {
        fixture.put(&format!("wave/{number}"), b"\xff").await;
    }
    let began = Instant::now();
    let node = fixture.start().await;
    fixture
        .put(&format!("q/in/{}", id(1)), job().to_string().as_bytes())
        .await;
    assert!(fixture.completes(id(1)).await);
    // Other tests of this process may have used up the limit, so that these
    // records appear only in the next summary line.
    let logged = async {
        while fixture.lines.count_unreadable() == 0 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, logged).await.expect("a line about unreadable records");
    drop(node);
    let seconds = began.elapsed().as_secs() as usize;
    let lines = fixture.lines.count_unreadable();
    assert!(lines <= 110 + 2 * seconds, "{lines} lines in {seconds} s");
}
