//! A VM that is suspended wakes with answers that were sent before: a read that
//! was under way, or a batch of the watch that waits in its connection. They say
//! what held before the suspension, but the watcher took its view for confirmed
//! as of when it read them ("confirmed 0 ms ago" after 10 s of suspension), and
//! fleet control went on with documents of which it couldn't know.
//!
//! In a file of its own: the suspension holds for the whole process.

use {
    dewspar_platform::{
        Error, Expected, KeyValue, UnreadableNotes, VmList, VmListing,
    },
    dewspar_standin::{faults::Faults, store::Store},
    dewspard::{clock, logs, watcher},
    std::time::Duration,
    tokio::time::sleep,
};

/// How long a call of the store takes.
const CALL: Duration = Duration::from_millis(500);

/// How long the suspension is, in milliseconds.
const SUSPENDED_MS: u64 = 10_000;

#[derive(Clone)]
struct NoVms;

impl VmList for NoVms {
    async fn list(&self, _: &str) -> Result<Option<VmListing>, Error> {
        Ok(None)
    }
}

/// Waits until the platform has just confirmed.
async fn confirmed(handle: &watcher::Handle) {
    let mut age_ms = handle.confirmed.age_ms();
    while handle.confirmed.age_ms() >= age_ms {
        age_ms = handle.confirmed.age_ms();
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn what_was_sent_before_a_suspension_confirms_nothing_after_it() {
    let store = Store::new(Faults::new(1));
    store.faults().set_delay_us(CALL.as_micros() as u64);
    let interval = Duration::from_secs(1);
    let (notes, log) = (UnreadableNotes::default(), logs::discard());
    let handle = watcher::start(store.clone(), NoVms, interval, notes, log);
    sleep(Duration::from_secs(10)).await;

    // A check that is under way: it was asked for 1.5 s after the last answer.
    confirmed(&handle).await;
    sleep(Duration::from_millis(1_700)).await;
    clock::suppose_suspension(SUSPENDED_MS);
    sleep(CALL).await;
    let age_ms = handle.confirmed.age_ms();
    assert!(age_ms >= SUSPENDED_MS, "confirmed {age_ms} ms ago");
    // One that is asked for after it does confirm.
    confirmed(&handle).await;
    let age_ms = handle.confirmed.age_ms();
    assert!(age_ms < SUSPENDED_MS, "confirmed {age_ms} ms ago");

    // A change that the watch tells, before the next check is asked for.
    clock::suppose_suspension(SUSPENDED_MS);
    let put = store.swap("w/member/x", Expected::Any, b"{}", None);
    put.await.expect("a store");
    sleep(Duration::from_millis(100)).await;
    let age_ms = handle.confirmed.age_ms();
    assert!(age_ms >= SUSPENDED_MS, "confirmed {age_ms} ms ago");
}
