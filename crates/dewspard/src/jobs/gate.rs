/*!
A circuit breaker between new jobs and the store.

Without it, a caller whose job went to an unavailable store would learn only at
its deadline that the outcome is unknown. Once the store is known to be
unavailable, new jobs are refused before anything is sent, so that "not run" is
certain.
*/

use {
    super::{backoff::Backoff, keys},
    crate::{clock, counters},
    dewspar::breaker::{Admission, Breaker, Change},
    dewspar_platform::{Error, KeyValue},
    slog::{Logger, info, warn},
    std::{
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout, timeout_at},
    },
};

/// How long a write may stay unanswered, with no other answers, before the
/// store is probed, in milliseconds: a little longer than the store's slowest
/// answers (some 600 ms), so that a slow store isn't taken for an unavailable
/// one.
const SILENCE_MS: u64 = 700;

/// The timeout of a probe: longer than the slowest answers, and short enough
/// that callers still have time to retry.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The circuit breaker that new jobs pass; clones share it.
#[derive(Clone)]
pub struct StoreGate<K> {
    store: K,
    breaker: Arc<Mutex<Breaker>>,
    /// Whether this node is cut off from the store for sure.
    is_isolated: Arc<AtomicBool>,
    /// Notified whenever waiting calls may be sent or are refused.
    state_changed: Arc<Notify>,
    log: Logger,
}

/// The store is unavailable; nothing was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreUnavailable;

impl<K: KeyValue> StoreGate<K> {
    /// Creates a gate that assumes that the store is available.
    pub fn new(store: K, log: Logger) -> StoreGate<K> {
        StoreGate {
            store,
            breaker: Arc::new(Mutex::new(Breaker::new(SILENCE_MS))),
            is_isolated: Arc::default(),
            state_changed: Arc::default(),
            log,
        }
    }

    /// Waits until a new call may be sent: at most until the in-flight probe
    /// or any other call is answered, or the probe fails.
    ///
    /// # Errors
    ///
    /// Returns [`StoreUnavailable`] if the call may not be sent by the
    /// deadline.
    pub async fn admit(
        &self,
        deadline: Instant,
    ) -> Result<(), StoreUnavailable> {
        loop {
            let mut state_changed = pin!(self.state_changed.notified());
            // Registered now, so that no change is missed in between.
            state_changed.as_mut().enable();
            if self.is_isolated() {
                return Err(StoreUnavailable);
            }
            let admission = self.breaker().admit(clock::now_ms());
            match admission {
                Admission::Send => return Ok(()),
                Admission::Refuse { .. } => {
                    self.probe();
                    return Err(StoreUnavailable);
                }
                Admission::Wait => {
                    self.probe();
                    if timeout_at(deadline, state_changed).await.is_err() {
                        return Err(StoreUnavailable);
                    }
                }
            }
        }
    }

    /// Returns whether the store is known to be unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.breaker().is_open() || self.is_isolated()
    }

    /// Sets whether this node is cut off from the store for sure. While it is,
    /// calls are refused at once, also those that wait already.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.is_isolated.store(is_isolated, Ordering::Relaxed);
        if is_isolated {
            self.state_changed.notify_waiters();
        }
    }

    fn is_isolated(&self) -> bool {
        self.is_isolated.load(Ordering::Relaxed)
    }

    /// Records that a call was sent; the result tracks it until it is settled.
    pub fn begin_call(&self) -> InFlightCall<'_, K> {
        self.breaker().sent(clock::now_ms());
        InFlightCall { gate: self, settled: false }
    }

    /// Records that some other call was answered.
    pub fn note_answer(&self) {
        let change = self.breaker().other_answered(clock::now_ms());
        self.apply(change);
    }

    /// Logs a recovery, and wakes waiting calls after a change of the breaker.
    fn apply(&self, change: Change) {
        match change {
            Change::Unchanged => return,
            Change::Cleared | Change::Opened { .. } => {}
            Change::Closed { out_for_ms } => {
                info!(self.log, "store: answers again";
                    "out_for_ms" => out_for_ms);
            }
        }
        self.state_changed.notify_waiters();
    }

    fn breaker(&self) -> MutexGuard<'_, Breaker> {
        // OK after a panic: each change of the breaker is atomic.
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the store until it answers, unless a probe is in flight or none
    /// is needed.
    fn probe(&self) {
        if !self.breaker().start_probing(clock::now_ms()) {
            return;
        }
        let gate = self.clone();
        tokio::spawn(async move { gate.probe_until_answered().await });
    }

    async fn probe_until_answered(&self) {
        let mut backoff = Backoff::default();
        loop {
            let probed = self.probe_once().await;
            let change =
                self.breaker().probed(probed.is_ok(), clock::now_ms());
            if let Err(error) = &probed {
                self.note_failure(error, change);
            }
            self.apply(change);
            if !self.breaker().continue_probing() {
                return;
            }
            backoff.wait().await;
        }
    }

    async fn probe_once(&self) -> Result<u64, Error> {
        let reading = self.store.version(keys::OWNER);
        let probed = timeout(PROBE_TIMEOUT, reading).await;
        probed.unwrap_or_else(|_| {
            let reason = format!("no answer in {PROBE_TIMEOUT:?}");
            Err(Error::Lost { call: "probe", reason })
        })
    }

    /// Counts a failed probe, and logs the one that begins an outage.
    fn note_failure(&self, error: &Error, change: Change) {
        counters::platform_failure(error);
        if let Change::Opened { suspect_for_ms } = change {
            counters::count(counters::STORE_OUTAGES);
            warn!(self.log, "store: out, new jobs are refused";
                "error" => %error, "suspect_for_ms" => suspect_for_ms);
        }
    }
}

/// A call that was sent and has no result yet.
pub struct InFlightCall<'a, K: KeyValue> {
    gate: &'a StoreGate<K>,
    settled: bool,
}

impl<K: KeyValue> InFlightCall<'_, K> {
    /// Records that the call was answered.
    pub fn answered(mut self) {
        self.settled = true;
        let change = self.gate.breaker().answered(clock::now_ms());
        self.gate.apply(change);
    }

    /// Records that the call gave no result, and probes the store.
    pub fn failed(mut self) {
        self.settled = true;
        self.gate.breaker().failed(clock::now_ms());
        self.gate.probe();
    }
}

impl<K: KeyValue> Drop for InFlightCall<'_, K> {
    fn drop(&mut self) {
        if !self.settled {
            self.gate.breaker().abandoned(clock::now_ms());
        }
    }
}
