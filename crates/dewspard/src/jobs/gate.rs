/*!
Whether the store is sent new jobs, by the breaker of this node.

A caller whose job went to a store that is out learns after its whole time
that nobody knows what became of it. Once the store is known to be out, new
jobs are refused before anything is sent, so that "not run" is certain.
*/

use {
    super::{backoff::Backoff, keys},
    crate::{clock, counters},
    dewspar::breaker::{Admission, Breaker},
    dewspar_platform::{Error, KeyValue},
    slog::{Logger, info, warn},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout, timeout_at},
    },
};

/// How long a write may wait while nothing is answered before the store is
/// probed, in milliseconds: a little more than its slowest answers take (some
/// 600 ms), so that a store that is slow isn't taken for one that is out.
const SILENCE_MS: u64 = 700;

/// How long a probe may take: longer than the slowest answers, and short
/// enough for callers to be told while they can still come back.
const PROBE_LIMIT: Duration = Duration::from_millis(1_000);

/// The gate that new jobs pass; clones share it.
#[derive(Clone)]
pub(super) struct StoreGate<K> {
    store: K,
    breaker: Arc<Mutex<Breaker>>,
    /// Told of each verdict of a probe.
    verdict: Arc<Notify>,
    log: Logger,
}

/// The store is out: nothing was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreOut;

impl<K: KeyValue> StoreGate<K> {
    pub(super) fn new(store: K, log: Logger) -> StoreGate<K> {
        StoreGate {
            store,
            breaker: Arc::new(Mutex::new(Breaker::new(SILENCE_MS))),
            verdict: Arc::default(),
            log,
        }
    }

    /// Waits until a new call may be sent, at most for the verdict of the
    /// probe that is under way.
    pub(super) async fn admit(
        &self,
        deadline: Instant,
    ) -> Result<(), StoreOut> {
        loop {
            let verdict = self.verdict.notified();
            let admission = self.breaker().admit(clock::now_ms());
            match admission {
                Admission::Send => return Ok(()),
                Admission::Refuse { .. } => {
                    self.probe();
                    return Err(StoreOut);
                }
                Admission::Wait => {
                    self.probe();
                    if timeout_at(deadline, verdict).await.is_err() {
                        return Err(StoreOut);
                    }
                }
            }
        }
    }

    /// Returns whether the store is known to be out.
    pub(super) fn is_out(&self) -> bool {
        self.breaker().is_out()
    }

    /// Notes that a call was sent, until its result is known.
    pub(super) fn sent(&self) -> Sent<'_, K> {
        self.breaker().sent(clock::now_ms());
        Sent { gate: self, noted: false }
    }

    /// Notes that some other call was answered.
    pub(super) fn heard(&self) {
        self.breaker().heard(clock::now_ms());
    }

    fn breaker(&self) -> MutexGuard<'_, Breaker> {
        // OK after a panic: each change of the breaker is whole.
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the store until it answers, unless that is under way or
    /// needless.
    fn probe(&self) {
        if !self.breaker().take_probe(clock::now_ms()) {
            return;
        }
        let gate = self.clone();
        tokio::spawn(async move { gate.probe_until_answered().await });
    }

    async fn probe_until_answered(&self) {
        let began_ms = clock::now_ms();
        let mut backoff = Backoff::default();
        loop {
            let was_out = self.is_out();
            let reading = self.store.version(keys::OWNER);
            let probed = timeout(PROBE_LIMIT, reading).await;
            let probed = probed.unwrap_or_else(|_| {
                let reason = format!("no answer in {PROBE_LIMIT:?}");
                Err(Error::Lost { call: "probe", reason })
            });
            let now_ms = clock::now_ms();
            self.breaker().probed(probed.is_ok(), now_ms);
            self.verdict.notify_waiters();
            self.record(was_out, &probed, now_ms - began_ms);
            if !self.breaker().probes_again() {
                return;
            }
            backoff.pause_always().await;
        }
    }

    fn record(
        &self,
        was_out: bool,
        probed: &Result<u64, Error>,
        after_ms: u64,
    ) {
        match probed {
            Ok(_) if was_out => {
                info!(self.log, "store: answers again";
                    "out_for_ms" => after_ms);
            }
            Ok(_) => {}
            Err(error) if !was_out => {
                counters::count(counters::STORE_OUTAGES);
                warn!(self.log, "store: out, new jobs are refused";
                    "error" => %error, "probed_for_ms" => after_ms);
            }
            Err(error) => counters::platform_failure(error),
        }
    }
}

/// A call that was sent and has no result yet.
pub(super) struct Sent<'a, K: KeyValue> {
    gate: &'a StoreGate<K>,
    noted: bool,
}

impl<K: KeyValue> Sent<'_, K> {
    /// Notes that it was answered.
    pub(super) fn answered(mut self) {
        self.noted = true;
        self.gate.breaker().answered(clock::now_ms());
    }

    /// Notes that it got no result, and has the store probed.
    pub(super) fn failed(mut self) {
        self.noted = true;
        self.gate.breaker().failed(clock::now_ms());
        self.gate.probe();
    }
}

impl<K: KeyValue> Drop for Sent<'_, K> {
    fn drop(&mut self) {
        if !self.noted {
            self.gate.breaker().dropped(clock::now_ms());
        }
    }
}
