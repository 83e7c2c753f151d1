/*!
Claims by workers that they have seen a later fencing token.

A worker rejects orders under a lower token than it has seen. From such a
rejection a lease holder learns that another node has taken over the lease, at
times before the store reports it. But a single worker may be wrong: it may
have received a token from elsewhere, or kept one from another store. The next
holder would meet the same worker, so a single such worker could keep every
node from scheduling.

After a claim the holder therefore sends no orders until the store has renewed
its lease in response to a call sent after the claim. Another node must have
taken over the lease before it gave a worker its token, so in that case the
renewal would have failed. A renewal thus *disproves* the claim, and the worker
counts as silent until it answers again. A holder whose lease isn't renewed
steps down.

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

/// The lease is given up if at least one worker in this many has no token
/// left. At a tenth of the workers their loss is felt, and loading all jobs
/// again under another lease costs only about a second.
const WORKERS_PER_EXHAUSTED: usize = 10;

/// Claims by workers that they have seen a later token.
#[derive(Debug, Default)]
pub(super) struct TokenClaims {
    /// When the newest claim was made, unless the lease has been renewed
    /// since.
    claimed_ms: Option<u64>,
    /// The workers with a claim since the last renewal of the lease.
    open: BTreeSet<WorkerId>,
    /// The workers whose claim was followed by a renewal of the lease.
    disproved: BTreeSet<WorkerId>,
}

impl TokenClaims {
    /// Records that a worker has answered under this holder's token.
    pub(super) fn answered(&mut self, worker: &WorkerId) {
        if !self.disproved.is_empty() {
            self.disproved.remove(worker);
        }
    }

    /// Removes the claims of a worker process that has ended.
    pub(super) fn forget(&mut self, worker: &WorkerId) {
        self.open.remove(worker);
        self.disproved.remove(worker);
    }
}

impl Scheduler {
    /// Returns whether a worker has claimed that another node holds the lease,
    /// and no renewal by the store has disproved that yet.
    pub fn may_be_superseded(&self) -> bool {
        self.token_claims.claimed_ms.is_some()
    }

    /// Records that the store has renewed the lease in response to a call sent
    /// at this time of the steady clock, in milliseconds.
    pub fn lease_renewed(&mut self, sent_ms: u64) {
        self.own_lease.note_renewed(sent_ms);
        let claimed_ms = self.token_claims.claimed_ms;
        if claimed_ms.is_none_or(|claimed_ms| sent_ms <= claimed_ms) {
            return;
        }
        self.token_claims.claimed_ms = None;
        for worker in std::mem::take(&mut self.token_claims.open) {
            self.token_claims.disproved.insert(worker.clone());
            self.note(Decision::ClaimDisproved { worker });
        }
    }

    /// Records that a worker has rejected the newest token as too low.
    pub(super) fn later_token_seen(&mut self, worker_id: &WorkerId, now: Now) {
        if self.token_claims.disproved.contains(worker_id) {
            return;
        }
        self.token_claims.claimed_ms = Some(now.steady_ms);
        if self.token_claims.open.insert(worker_id.clone()) {
            let worker = worker_id.clone();
            self.note(Decision::Superseded { worker });
        }
    }

    /// Returns whether too many workers have no token left under this lease.
    /// Another holder then has to continue under a lease of its own. Fewer
    /// such workers just get no more tasks.
    pub fn is_out_of_tokens(&self) -> bool {
        let out = self.workers.values().filter(|w| w.is_out_of_tokens());
        let out = out.count();
        out > 0 && out * WORKERS_PER_EXHAUSTED >= self.workers.len()
    }
}
