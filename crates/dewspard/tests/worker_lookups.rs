//! A queue's demand turned, and 408 VMs were moved to its pool within 1.5 s.
//! The list of VMs named them as up 1.5 s later, but their workers answered
//! only 2 s after that, when the directory was read as a whole: they were
//! looked up one after the other, 40 to 80 a second, from the beginning again
//! with each reading of the list. 13,836 cores' worth of tasks waited meanwhile
//! beside 439 VMs of which 3,755 cores were in use.
//!
//! The clock is paused: what is counted are ways to the store and back.

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

/// How long the store takes to answer.
const ANSWER: Duration = Duration::from_millis(20);

type Tries = Arc<Mutex<BTreeMap<WorkerId, u32>>>;

fn worker(number: u32) -> WorkerId {
    WorkerId::new(&format!("life-{number}"))
}

/// Looks a life up that is there at its `found_at`th look-up.
fn start(lookups: &WorkerLookups, id: WorkerId, found_at: u32, tries: &Tries) {
    let tries = tries.clone();
    lookups.start(&id.clone(), move || {
        let (tries, id) = (tries.clone(), id.clone());
        async move {
            sleep(ANSWER).await;
            let mut tries = tries.lock().unwrap();
            let tried = tries.entry(id).or_default();
            *tried += 1;
            if *tried >= found_at {
                LookupOutcome::Done
            } else {
                LookupOutcome::Retry
            }
        }
    });
}

fn tried(tries: &Tries) -> Vec<u32> {
    tries.lock().unwrap().values().copied().collect()
}

#[tokio::test(start_paused = true)]
async fn hundreds_of_lives_are_found_within_a_few_answers() {
    let (lookups, tries) = (WorkerLookups::default(), Tries::default());
    let began = Instant::now();
    for number in 0..408 {
        start(&lookups, worker(number), 1, &tries);
    }
    while tried(&tries).len() < 408 {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(began.elapsed() < ANSWER * 20, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_life_that_is_named_again_is_looked_up_once() {
    let (lookups, tries) = (WorkerLookups::default(), Tries::default());
    for _ in 0..3 {
        start(&lookups, worker(1), 1, &tries);
    }
    sleep(Duration::from_secs(5)).await;
    assert_eq!(tried(&tries), [1]);
    // Once that is over it may be looked up anew.
    start(&lookups, worker(1), 1, &tries);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(tried(&tries), [2]);
}

/// The list of VMs names every life each time it is read. One that never
/// enters itself was looked up 5 times a second, without end.
#[tokio::test(start_paused = true)]
async fn a_life_that_never_enters_itself_is_looked_up_less_and_less() {
    let (lookups, tries) = (WorkerLookups::default(), Tries::default());
    let mut tried_by = Vec::new();
    for _ in 0..4 {
        for _ in 0..600 {
            start(&lookups, worker(1), u32::MAX, &tries);
            sleep(Duration::from_millis(100)).await;
        }
        tried_by.push(tried(&tries)[0]);
    }
    // Each minute has fewer than the first.
    assert!((5..50).contains(&tried_by[0]), "{tried_by:?}");
    assert!(tried_by[3] - tried_by[2] <= 15, "{tried_by:?}");
}

#[tokio::test(start_paused = true)]
async fn a_life_that_enters_itself_late_is_found_and_one_that_never_does_ends()
{
    let (lookups, tries) = (WorkerLookups::default(), Tries::default());
    start(&lookups, worker(1), 4, &tries);
    start(&lookups, worker(2), u32::MAX, &tries);
    sleep(Duration::from_secs(60)).await;
    let tried = tried(&tries);
    assert_eq!(tried[0], 4);
    assert!((5..20).contains(&tried[1]), "{tried:?}");
}
