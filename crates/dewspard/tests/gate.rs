//! Tests how the store gate reacts to answers, probes and waiting jobs,
//! against a stand-in of the store and with a paused clock.

use {
    dewspar_platform::KeyValue,
    dewspar_standin::{faults::Faults, store::Store},
    dewspard::{
        counters,
        jobs::gate::{StoreGate, StoreUnavailable},
        logs,
    },
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder},
    std::time::Duration,
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Longer than any probe may take, in microseconds.
const STORE_DELAY_US: u64 = 60_000_000;

/// How long a job waits at most: less than the timeout of a probe.
const JOB_TIMEOUT: Duration = Duration::from_millis(500);

/// Longer than any job waits for a decision.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Creates a gate whose store has these faults.
fn gate(faults: &Faults) -> StoreGate<Store> {
    StoreGate::new(Store::new(faults.clone()), logs::discard())
}

/// Spawns a job that waits at the gate, and returns once it is waiting.
async fn spawn_waiting_job<K: KeyValue>(
    gate: &StoreGate<K>,
) -> JoinHandle<Result<(), StoreUnavailable>> {
    let gate = gate.clone();
    let deadline = Instant::now() + JOB_TIMEOUT;
    let waiting = tokio::spawn(async move { gate.admit(deadline).await });
    // The paused clock only advances once all other tasks are idle.
    sleep(Duration::from_millis(1)).await;
    assert!(!waiting.is_finished(), "the probe is in flight");
    waiting
}

/// Returns the sample lines of a metric, without comments.
fn series(recorder: &PrometheusRecorder, name: &str) -> Vec<String> {
    let text = recorder.handle().render();
    text.lines()
        .filter(|line| line.starts_with(name))
        .map(str::to_owned)
        .collect()
}

fn failure_series(count: u64) -> Vec<String> {
    let name = counters::PLATFORM_FAILURES;
    vec![format!("{name}{{reason=\"unavailable\"}} {count}")]
}

#[tokio::test(start_paused = true)]
async fn the_answer_of_another_write_lets_waiting_jobs_pass() {
    let faults = Faults::new(1);
    faults.set_delay_us(STORE_DELAY_US);
    let gate = gate(&faults);
    let other = gate.begin_call();
    gate.begin_call().failed();
    let waiting = spawn_waiting_job(&gate).await;
    other.answered();
    assert_eq!(waiting.await.expect("an end"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn the_answer_of_a_read_lets_waiting_jobs_pass() {
    let faults = Faults::new(1);
    faults.set_delay_us(STORE_DELAY_US);
    let gate = gate(&faults);
    gate.begin_call().failed();
    let waiting = spawn_waiting_job(&gate).await;
    gate.note_answer();
    assert_eq!(waiting.await.expect("an end"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn each_failed_probe_is_counted_as_a_failure_of_the_platform() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _counted = metrics::set_default_local_recorder(&recorder);
    let faults = Faults::new(1);
    faults.set_outage(true);
    let gate = gate(&faults);
    gate.begin_call().failed();
    // The job is refused right after the first probe; the next probe comes
    // later.
    let verdict = gate.admit(Instant::now() + LONG_TIMEOUT).await;
    assert_eq!(verdict, Err(StoreUnavailable));
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failure_series(1));
    while faults.reads() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failure_series(2));
    // Both failures belong to one outage.
    let outages = series(&recorder, counters::STORE_OUTAGES);
    assert_eq!(outages, [format!("{} 1", counters::STORE_OUTAGES)]);
}

#[tokio::test(start_paused = true)]
async fn a_probe_that_an_answer_overtook_makes_no_outage() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _counted = metrics::set_default_local_recorder(&recorder);
    let faults = Faults::new(1);
    faults.set_delay_us(STORE_DELAY_US);
    let gate = gate(&faults);
    gate.begin_call().failed();
    spawn_waiting_job(&gate).await.abort();
    gate.note_answer();
    // The probe times out meanwhile.
    sleep(LONG_TIMEOUT).await;
    assert!(!gate.is_unavailable());
    let outages = series(&recorder, counters::STORE_OUTAGES);
    assert_eq!(outages, Vec::<String>::new());
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed.len(), 1, "{failed:?}");
}

/// Guards against calls that wait for their deadlines at a node that is cut off
/// with its data hall, and against a gate that stays shut afterwards.
#[tokio::test(start_paused = true)]
async fn a_cut_off_node_refuses_waiting_calls_at_once() {
    let faults = Faults::new(1);
    faults.set_delay_us(STORE_DELAY_US);
    let gate = gate(&faults);
    gate.begin_call().failed();
    let began = Instant::now();
    let waiting = spawn_waiting_job(&gate).await;
    gate.set_isolated(true);
    assert_eq!(waiting.await.expect("an end"), Err(StoreUnavailable));
    assert!(began.elapsed() < JOB_TIMEOUT);
    let refused = gate.admit(Instant::now() + LONG_TIMEOUT).await;
    assert_eq!(refused, Err(StoreUnavailable));
    assert!(gate.is_unavailable());
    gate.set_isolated(false);
    gate.note_answer();
    let admitted = gate.admit(Instant::now() + LONG_TIMEOUT).await;
    assert_eq!(admitted, Ok(()));
}
