//! Many new workers must be found quickly.
//!
//! With sequential lookups, restarted at each read of the list of VMs, only 40
//! to 80 workers were found per second. After a move of 408 VMs within 1.5 s,
//! which were listed 1.5 s later, their workers were used only 2 s after that,
//! with the next full read of the directory. Meanwhile tasks for 13,836 cores
//! waited, although 439 VMs were there with only 3,755 cores in use.
//!
//! The clock is paused, so times are numbers of round trips to the store.

use {
    dewspar::schedule::WorkerId,
    dewspard::jobs::worker_lookups::{LookupOutcome, WorkerLookups},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// The time of a round trip to the store.
const STORE_LATENCY: Duration = Duration::from_millis(20);

type Attempts = Arc<Mutex<BTreeMap<WorkerId, u32>>>;

fn worker(number: u32) -> WorkerId {
    WorkerId::new(&format!("life-{number}"))
}

/// Starts a lookup of a worker that is found at the `found_at`th attempt.
fn start(
    lookups: &WorkerLookups,
    id: WorkerId,
    found_at: u32,
    attempts: &Attempts,
) {
    let attempts = attempts.clone();
    lookups.start(&id.clone(), move || {
        let (attempts, id) = (attempts.clone(), id.clone());
        async move {
            sleep(STORE_LATENCY).await;
            let mut attempts = attempts.lock().unwrap();
            let attempt_counts = attempts.entry(id).or_default();
            *attempt_counts += 1;
            if *attempt_counts >= found_at {
                LookupOutcome::Done
            } else {
                LookupOutcome::Retry
            }
        }
    });
}

fn attempt_counts(attempts: &Attempts) -> Vec<u32> {
    attempts.lock().unwrap().values().copied().collect()
}

#[tokio::test(start_paused = true)]
async fn hundreds_of_workers_are_found_within_a_few_round_trips() {
    let (lookups, attempts) = (WorkerLookups::default(), Attempts::default());
    let began = Instant::now();
    for number in 0..408 {
        start(&lookups, worker(number), 1, &attempts);
    }
    while attempt_counts(&attempts).len() < 408 {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(began.elapsed() < STORE_LATENCY * 20, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_worker_listed_again_is_looked_up_once() {
    let (lookups, attempts) = (WorkerLookups::default(), Attempts::default());
    for _ in 0..3 {
        start(&lookups, worker(1), 1, &attempts);
    }
    sleep(Duration::from_secs(5)).await;
    assert_eq!(attempt_counts(&attempts), [1]);
    // After the lookup has ended, another one may be started.
    start(&lookups, worker(1), 1, &attempts);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(attempt_counts(&attempts), [2]);
}

/// Every read of the list of VMs includes all workers. Without backoff, one
/// that never registers was looked up 5 times a second indefinitely.
#[tokio::test(start_paused = true)]
async fn a_worker_that_never_registers_is_looked_up_less_and_less_often() {
    let (lookups, attempts) = (WorkerLookups::default(), Attempts::default());
    let mut attempts_by_minute = Vec::new();
    for _ in 0..4 {
        for _ in 0..600 {
            start(&lookups, worker(1), u32::MAX, &attempts);
            sleep(Duration::from_millis(100)).await;
        }
        attempts_by_minute.push(attempt_counts(&attempts)[0]);
    }
    // Later minutes have fewer attempts than the first.
    assert!(
        (5..50).contains(&attempts_by_minute[0]),
        "{attempts_by_minute:?}"
    );
    assert!(
        attempts_by_minute[3] - attempts_by_minute[2] <= 15,
        "{attempts_by_minute:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_worker_is_found_and_lookups_of_a_missing_one_end() {
    let (lookups, attempts) = (WorkerLookups::default(), Attempts::default());
    start(&lookups, worker(1), 4, &attempts);
    start(&lookups, worker(2), u32::MAX, &attempts);
    sleep(Duration::from_secs(60)).await;
    let counts = attempt_counts(&attempts);
    assert_eq!(counts[0], 4);
    assert!((5..20).contains(&counts[1]), "{counts:?}");
}
