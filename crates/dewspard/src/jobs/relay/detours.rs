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
    dewspar::schedule::WorkerId,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
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
pub(super) struct Detours(Mutex<HashMap<WorkerId, Detour>>);

impl Detours {
    /// Returns whether a worker is to be reached directly.
    pub(super) fn is_direct(&self, worker: &WorkerId, now_ms: u64) -> bool {
        let detours = self.lock();
        let detour = detours.get(worker).filter(|d| now_ms < d.until_ms);
        detour.is_some_and(|detour| match detour.way {
            Way::TryDirectly(_) | Way::Directly => true,
            Way::OverRelay => false,
        })
    }

    /// Notes that a relay had no answer to a question to a worker.
    pub(super) fn not_reached(
        &self,
        worker: &WorkerId,
        by: &Arc<RelayLink>,
        now_ms: u64,
    ) {
        let mut detours = self.lock();
        // Else those of workers that are gone would stay.
        detours.retain(|_, detour| now_ms < detour.until_ms);
        detours.entry(worker.clone()).or_insert_with(|| Detour {
            way: Way::TryDirectly(by.clone()),
            until_ms: now_ms + COUNTS_MS,
        });
    }

    /// Notes what became of a question that was asked directly.
    pub(super) fn asked_directly(
        &self,
        worker: &WorkerId,
        is_reached: bool,
        now_ms: u64,
    ) {
        let mut detours = self.lock();
        let Some(detour) = detours.get_mut(worker) else { return };
        let Way::TryDirectly(relay) = &detour.way else { return };
        if is_reached {
            relay.note_unreached();
        }
        let way = if is_reached { Way::Directly } else { Way::OverRelay };
        *detour = Detour { way, until_ms: now_ms + COUNTS_MS };
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkerId, Detour>> {
        // OK after a panic: each change is one insertion or removal.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
