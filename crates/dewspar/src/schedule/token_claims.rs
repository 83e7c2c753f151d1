/*!
Workers that have seen a later token than the holder's.

A worker refuses what comes under a lower token than it has seen. That is how a
holder learns from workers that another node has taken the lease over, at times
before the store says so. But one worker alone may be wrong: somebody else has
given it a token, or it has kept one from another store. The next holder would
meet the same worker, so that one of them could keep every node from
scheduling.

So after such an answer the holder orders nothing, until the store has renewed
its lease in answer to a call that was sent later. Another node can only have
taken the lease over before it gave a worker its token, so by then the lease
would have been gone. What the worker says is then *disproved*, and it counts
as silent until it answers again. A holder whose lease is not renewed leaves.

# Example

```
use dewspar::schedule::{Options, Scheduler};

let mut scheduler = Scheduler::new(7, Options::default());
assert!(!scheduler.may_be_superseded());
// Sent at 1,000 ms, and answered.
scheduler.lease_renewed(1_000);
assert!(!scheduler.may_be_superseded());
```
*/

use {
    crate::schedule::{Decision, Now, Scheduler, WorkerId},
    std::collections::BTreeSet,
};

/// Of how many workers one may have no token left before the holder gives the
/// lease up: at a tenth the others are in want of it, and loading all jobs
/// anew costs about a second.
const WORKERS_PER_EXHAUSTED: usize = 10;

/// What workers have said of later tokens.
#[derive(Debug, Default)]
pub(super) struct TokenClaims {
    /// When one last did, unless the lease was renewed since.
    claimed_ms: Option<u64>,
    /// Those that did since the lease was renewed.
    open: BTreeSet<WorkerId>,
    /// Those that did before it was.
    disproved: BTreeSet<WorkerId>,
}

impl TokenClaims {
    /// Notes that a worker has answered under this holder's token.
    pub(super) fn answered(&mut self, worker: &WorkerId) {
        if !self.disproved.is_empty() {
            self.disproved.remove(worker);
        }
    }

    /// Forgets what a worker's process said that has ended.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.open.remove(worker);
        self.disproved.remove(worker);
    }
}

impl Scheduler {
    /// Returns whether a worker has shown that another node holds the lease,
    /// and the store hasn't said since that it doesn't.
    pub fn may_be_superseded(&self) -> bool {
        self.claims.claimed_ms.is_some()
    }

    /// Notes that the store has renewed the lease in answer to a call that was
    /// sent at this time of the steady clock, in milliseconds.
    pub fn lease_renewed(&mut self, sent_ms: u64) {
        let claimed_ms = self.claims.claimed_ms;
        if claimed_ms.is_none_or(|claimed_ms| sent_ms <= claimed_ms) {
            return;
        }
        self.claims.claimed_ms = None;
        for worker in std::mem::take(&mut self.claims.open) {
            self.claims.disproved.insert(worker.clone());
            self.note(Decision::ClaimDisproved { worker });
        }
    }

    /// Notes that a worker refuses the newest token as too low.
    pub(super) fn later_token_seen(&mut self, worker_id: &WorkerId, now: Now) {
        if self.claims.disproved.contains(worker_id) {
            return;
        }
        self.claims.claimed_ms = Some(now.steady_ms);
        if self.claims.open.insert(worker_id.clone()) {
            let worker = worker_id.clone();
            self.note(Decision::Superseded { worker });
        }
    }

    /// Returns whether there is no later token for too many workers under this
    /// lease: another holder has to go on, under a lease of its own. A single
    /// one only gets no more to run.
    pub fn is_out_of_tokens(&self) -> bool {
        let out = self.workers.values().filter(|w| w.is_out_of_tokens());
        let out = out.count();
        out > 0 && out * WORKERS_PER_EXHAUSTED >= self.workers.len()
    }
}
