//! What the gate of new jobs makes of answers, of probes and of those who
//! wait, against a stand-in of the store, with a clock that stands still.

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

/// How long a job waits at most: less than a probe may take.
const JOB_TIMEOUT: Duration = Duration::from_millis(500);

/// More than a job ever waits: until the verdict is there.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Makes a gate whose store fails as ordered.
fn gate(faults: &Faults) -> StoreGate<Store> {
    StoreGate::new(Store::new(faults.clone()), logs::discard())
}

/// Has a job wait at the gate, and returns once it does.
async fn spawn_waiting_job<K: KeyValue>(
    gate: &StoreGate<K>,
) -> JoinHandle<Result<(), StoreUnavailable>> {
    let gate = gate.clone();
    let deadline = Instant::now() + JOB_TIMEOUT;
    let waiting = tokio::spawn(async move { gate.admit(deadline).await });
    // The clock only moves on once everything else has come to a halt.
    sleep(Duration::from_millis(1)).await;
    assert!(!waiting.is_finished(), "the probe is under way");
    waiting
}

/// Returns the lines of a metric that aren't comments.
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
    // It is told right after the first probe, and the next comes later.
    let verdict = gate.admit(Instant::now() + LONG_TIMEOUT).await;
    assert_eq!(verdict, Err(StoreUnavailable));
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failure_series(1));
    while faults.reads() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failure_series(2));
    // Both belong to one outage.
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
    // The probe is given up meanwhile.
    sleep(LONG_TIMEOUT).await;
    assert!(!gate.is_unavailable());
    let outages = series(&recorder, counters::STORE_OUTAGES);
    assert_eq!(outages, Vec::<String>::new());
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed.len(), 1, "{failed:?}");
}
