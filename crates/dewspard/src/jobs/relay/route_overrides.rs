/*!
Workers that their relay doesn't reach.

A relay may say that it carries and be cut off from workers that the holder
reaches itself. It answers each order at once with that, so it isn't silent; but
its workers would be, and what runs there would be started elsewhere. So a worker
whose relay has no answer to a question is asked directly the next time. If that
answers, the relay was at fault: the worker is reached directly for a while, and
a relay that reaches none carries no longer. If not, the worker was, and it is
asked over its relay again.
*/

use {
    super::link::RelayLink,
    crate::clock,
    dewspar::schedule::WorkerId,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// How long what was found out of a worker counts, in milliseconds: most of a
/// worker's lease, so that it doesn't end while the route over the relay is tried
/// again and again, and a worker that is gone costs one direct call in that time.
const OVERRIDE_TTL_MS: u64 = 5_000;

/// Which route a worker is reached.
#[derive(Debug)]
enum Route {
    /// Direct once, since this relay had no answer of it.
    ProbeDirectly(Arc<RelayLink>),
    /// Direct: its relay doesn't reach it.
    Direct,
    /// Over its relay, though that doesn't reach it: nor does this node.
    Relayed,
}

#[derive(Debug)]
struct RouteOverride {
    route: Route,
    until_ms: u64,
}

/// The workers whose relay had no answer of them of late.
#[derive(Debug, Default)]
pub(super) struct RouteOverrides {
    overrides: Mutex<Overrides>,
    /// Whether there are any: nearly always none, and to look for one and to
    /// read the clock at each of thousands of orders a second takes time that a
    /// busy holder doesn't have.
    any_active: AtomicBool,
}

#[derive(Debug, Default)]
struct Overrides {
    by_worker: HashMap<WorkerId, RouteOverride>,
    /// Until when some of them counts.
    until_ms: u64,
}

impl Overrides {
    fn set(&mut self, worker: &WorkerId, route: Route, now_ms: u64) {
        self.until_ms = now_ms + OVERRIDE_TTL_MS;
        let until_ms = self.until_ms;
        self.by_worker
            .insert(worker.clone(), RouteOverride { route, until_ms });
    }
}

impl RouteOverrides {
    /// Returns whether a worker is to be reached directly.
    pub(super) fn is_direct(&self, worker: &WorkerId) -> bool {
        if !self.any_active.load(Ordering::Relaxed) {
            return false;
        }
        let now_ms = clock::now_ms();
        let mut overrides = self.lock();
        if now_ms >= overrides.until_ms {
            overrides.by_worker.clear();
            self.any_active.store(false, Ordering::Relaxed);
        }
        let entry = overrides.by_worker.get(worker);
        let entry = entry.filter(|entry| now_ms < entry.until_ms);
        entry.is_some_and(|entry| match entry.route {
            Route::ProbeDirectly(_) | Route::Direct => true,
            Route::Relayed => false,
        })
    }

    /// Notes that a relay had no answer to a question to a worker.
    pub(super) fn note_relay_failure(
        &self,
        worker: &WorkerId,
        by: &Arc<RelayLink>,
    ) {
        let now_ms = clock::now_ms();
        let mut overrides = self.lock();
        let entry = overrides.by_worker.get(worker);
        if entry.is_some_and(|entry| now_ms < entry.until_ms) {
            return;
        }
        overrides.set(worker, Route::ProbeDirectly(by.clone()), now_ms);
        self.any_active.store(true, Ordering::Relaxed);
    }

    /// Notes what became of a question that was asked directly.
    pub(super) fn note_direct_result(
        &self,
        worker: &WorkerId,
        is_reached: bool,
    ) {
        if !self.any_active.load(Ordering::Relaxed) {
            return;
        }
        let now_ms = clock::now_ms();
        let mut overrides = self.lock();
        let Some(entry) = overrides.by_worker.get(worker) else { return };
        let Route::ProbeDirectly(relay) = &entry.route else { return };
        if is_reached {
            relay.note_unreached();
        }
        let route = if is_reached { Route::Direct } else { Route::Relayed };
        overrides.set(worker, route, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, Overrides> {
        // OK after a panic: each change is one insertion or removal.
        self.overrides.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
