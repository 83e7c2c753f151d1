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
/// worker's lease, so that it doesn't end while the way over the relay is tried
/// again and again, and a worker that is gone costs one direct call in that time.
const COUNTS_MS: u64 = 5_000;

/// Which way a worker is reached.
#[derive(Debug)]
enum Way {
    /// Directly once, since this relay had no answer of it.
    TryDirectly(Arc<RelayLink>),
    /// Directly: its relay doesn't reach it.
    Directly,
    /// Over its relay, though that doesn't reach it: nor does this node.
    OverRelay,
}

#[derive(Debug)]
struct Detour {
    way: Way,
    until_ms: u64,
}

/// The workers whose relay had no answer of them of late.
#[derive(Debug, Default)]
pub(super) struct Detours {
    known: Mutex<Known>,
    /// Whether there are any: nearly always none, and to look for one and to
    /// read the clock at each of thousands of orders a second takes time that a
    /// busy holder doesn't have.
    are_some: AtomicBool,
}

#[derive(Debug, Default)]
struct Known {
    of_workers: HashMap<WorkerId, Detour>,
    /// Until when some of them counts.
    until_ms: u64,
}

impl Known {
    fn set(&mut self, worker: &WorkerId, way: Way, now_ms: u64) {
        self.until_ms = now_ms + COUNTS_MS;
        let until_ms = self.until_ms;
        self.of_workers.insert(worker.clone(), Detour { way, until_ms });
    }
}

impl Detours {
    /// Returns whether a worker is to be reached directly.
    pub(super) fn is_direct(&self, worker: &WorkerId) -> bool {
        if !self.are_some.load(Ordering::Relaxed) {
            return false;
        }
        let now_ms = clock::now_ms();
        let mut known = self.lock();
        if now_ms >= known.until_ms {
            known.of_workers.clear();
            self.are_some.store(false, Ordering::Relaxed);
        }
        let detour = known.of_workers.get(worker);
        let detour = detour.filter(|detour| now_ms < detour.until_ms);
        detour.is_some_and(|detour| match detour.way {
            Way::TryDirectly(_) | Way::Directly => true,
            Way::OverRelay => false,
        })
    }

    /// Notes that a relay had no answer to a question to a worker.
    pub(super) fn not_reached(&self, worker: &WorkerId, by: &Arc<RelayLink>) {
        let now_ms = clock::now_ms();
        let mut known = self.lock();
        let detour = known.of_workers.get(worker);
        if detour.is_some_and(|detour| now_ms < detour.until_ms) {
            return;
        }
        known.set(worker, Way::TryDirectly(by.clone()), now_ms);
        self.are_some.store(true, Ordering::Relaxed);
    }

    /// Notes what became of a question that was asked directly.
    pub(super) fn asked_directly(&self, worker: &WorkerId, is_reached: bool) {
        if !self.are_some.load(Ordering::Relaxed) {
            return;
        }
        let now_ms = clock::now_ms();
        let mut known = self.lock();
        let Some(detour) = known.of_workers.get(worker) else { return };
        let Way::TryDirectly(relay) = &detour.way else { return };
        if is_reached {
            relay.note_unreached();
        }
        let way = if is_reached { Way::Directly } else { Way::OverRelay };
        known.set(worker, way, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        // OK after a panic: each change is one insertion or removal.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
