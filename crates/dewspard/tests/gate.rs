//! What the gate of new jobs makes of answers, of probes and of those who
//! wait, against a stand-in of the store, with a clock that stands still.

use {
    dewspar_platform::KeyValue,
    dewspar_standin::{faults::Faults, store::Store},
    dewspard::{
        counters,
        jobs::gate::{StoreGate, StoreOut},
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
const SILENT_US: u64 = 60_000_000;

/// How long a job waits at most: less than a probe may take.
const IMPATIENCE: Duration = Duration::from_millis(500);

/// More than a job ever waits: until the verdict is there.
const PATIENCE: Duration = Duration::from_secs(600);

/// Makes a gate whose store fails as ordered.
fn gate(faults: &Faults) -> StoreGate<Store> {
    StoreGate::new(Store::new(faults.clone()), logs::discard())
}

/// Has a job wait at the gate, and returns once it does.
async fn waits<K: KeyValue>(
    gate: &StoreGate<K>,
) -> JoinHandle<Result<(), StoreOut>> {
    let gate = gate.clone();
    let deadline = Instant::now() + IMPATIENCE;
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

fn failures(count: u64) -> Vec<String> {
    let name = counters::PLATFORM_FAILURES;
    vec![format!("{name}{{reason=\"unavailable\"}} {count}")]
}

#[tokio::test(start_paused = true)]
async fn the_answer_of_another_write_lets_waiting_jobs_pass() {
    let faults = Faults::new(1);
    faults.set_delay_us(SILENT_US);
    let gate = gate(&faults);
    let other = gate.sent();
    gate.sent().failed();
    let waiting = waits(&gate).await;
    other.answered();
    assert_eq!(waiting.await.expect("an end"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn the_answer_of_a_read_lets_waiting_jobs_pass() {
    let faults = Faults::new(1);
    faults.set_delay_us(SILENT_US);
    let gate = gate(&faults);
    gate.sent().failed();
    let waiting = waits(&gate).await;
    gate.heard();
    assert_eq!(waiting.await.expect("an end"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn each_failed_probe_is_counted_as_a_failure_of_the_platform() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _counted = metrics::set_default_local_recorder(&recorder);
    let faults = Faults::new(1);
    faults.set_outage(true);
    let gate = gate(&faults);
    gate.sent().failed();
    // It is told right after the first probe, and the next comes later.
    let verdict = gate.admit(Instant::now() + PATIENCE).await;
    assert_eq!(verdict, Err(StoreOut));
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failures(1));
    while faults.reads() < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed, failures(2));
    // Both belong to one outage.
    let outages = series(&recorder, counters::STORE_OUTAGES);
    assert_eq!(outages, [format!("{} 1", counters::STORE_OUTAGES)]);
}

#[tokio::test(start_paused = true)]
async fn a_probe_that_an_answer_overtook_makes_no_outage() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _counted = metrics::set_default_local_recorder(&recorder);
    let faults = Faults::new(1);
    faults.set_delay_us(SILENT_US);
    let gate = gate(&faults);
    gate.sent().failed();
    waits(&gate).await.abort();
    gate.heard();
    // The probe is given up meanwhile.
    sleep(PATIENCE).await;
    assert!(!gate.is_out());
    let outages = series(&recorder, counters::STORE_OUTAGES);
    assert_eq!(outages, Vec::<String>::new());
    let failed = series(&recorder, counters::PLATFORM_FAILURES);
    assert_eq!(failed.len(), 1, "{failed:?}");
}
