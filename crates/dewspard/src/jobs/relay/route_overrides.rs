/*!
Workers that their relay doesn't reach.

A relay may be connected to the holder and yet be cut off from workers that the
holder reaches itself. It answers each order at once with an error, so it isn't
silent; but its workers would count as silent, and their tasks would be started
elsewhere. So when a relay gets no answer from a worker to a `hold` order, the
next call goes to the worker directly. If that succeeds, the relay was at
fault: the worker is called directly for a while, and a relay that reaches no
worker is no longer used. If it fails, the worker was at fault, and calls go
over the relay again.
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

/// How long an override stays in force, in milliseconds: most of a worker's
/// lease. The worker's lease doesn't run out over repeated attempts to use the
/// relay, and a worker that is gone costs one direct call per interval.
const OVERRIDE_TTL_MS: u64 = 5_000;

/// How a worker is reached.
#[derive(Debug)]
enum Route {
    /// Directly for one call, because this relay got no answer from it.
    ProbeDirectly(Arc<RelayLink>),
    /// Directly, because its relay doesn't reach it.
    Direct,
    /// Over its relay: neither the relay nor this node reaches it.
    Relayed,
}

#[derive(Debug)]
struct RouteOverride {
    route: Route,
    until_ms: u64,
}

/// The workers from which their relay recently got no answer.
#[derive(Debug, Default)]
pub(super) struct RouteOverrides {
    overrides: Mutex<Overrides>,
    /// Whether there are any overrides. Nearly always there are none, and a
    /// busy holder can't afford a lookup and a clock reading for each of
    /// thousands of orders a second.
    any_active: AtomicBool,
}

#[derive(Debug, Default)]
struct Overrides {
    by_worker: HashMap<WorkerId, RouteOverride>,
    /// When the last override expires.
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
    /// Returns whether a worker is to be called directly.
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

    /// Records that a relay got no answer from a worker to a `hold` order.
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

    /// Records whether a worker answered a `hold` order that was sent
    /// directly. A relay that doesn't reach the worker isn't at fault if its
    /// whole hall doesn't, as `is_path_out` says.
    pub(super) fn note_direct_result(
        &self,
        worker: &WorkerId,
        is_reached: bool,
        is_path_out: impl FnOnce(&RelayLink) -> bool,
    ) {
        if !self.any_active.load(Ordering::Relaxed) {
            return;
        }
        let now_ms = clock::now_ms();
        let mut overrides = self.lock();
        let Some(entry) = overrides.by_worker.get(worker) else { return };
        let Route::ProbeDirectly(relay) = &entry.route else { return };
        if is_reached && !is_path_out(relay) {
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
