/*!
Handing the scheduler lease over before a planned stop.

A holder that stops deletes the lease's key, so that another node takes over at
once. While the store is unavailable that fails, and nobody can take over: the
key would stay until the lease expires after the store's return, and nobody
would schedule until then. A holder that is asked to stop therefore goes on as
in any outage (see [`holder`](super::holder)) and hands over at the first
renewal that the store answers. If the node ends before that, the lease expires
by itself.

A deletion without an answer may have taken effect, and then another node may
hold the lease at once. From the time of that call the holder goes on like one
that can't renew its lease. The store may still renew its store lease, because
deleting the key doesn't end that: later renewals show that the store answers,
but no longer that this node holds the lease.
*/

use {
    super::{election::Candidate, holder::Holder, keys},
    crate::{clock, counters},
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, JobWorkers, KeyValue,
    },
    slog::info,
    std::time::Duration,
    tokio::time::timeout,
};

/// How long the deletion of the lease's key may keep the holder from
/// scheduling, in milliseconds: about the time of a slow store.
const ATTEMPT_TIMEOUT_MS: u64 = 700;

/// The longest part of an attempt that doesn't count as a standstill of the
/// process, in milliseconds: the deletion, and the time limit of a write of
/// changes before it that the store doesn't answer either.
const MAX_ATTEMPT_MS: u64 = ATTEMPT_TIMEOUT_MS + 1_500;

/// The state of a hand-over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Whether the node was asked to stop.
    pub(super) is_requested: bool,
    /// When the first call was sent that may have deleted the lease's key, on
    /// the steady clock in milliseconds.
    released_ms: Option<u64>,
    /// When the newest renewal was sent that the store has answered, on the
    /// steady clock in milliseconds.
    answered_ms: u64,
    /// The store counts as available only if it has renewed the lease at this
    /// time or later, on the steady clock in milliseconds.
    available_from_ms: u64,
}

impl HandOver {
    /// Creates the state of a hand-over that isn't requested, from the time of
    /// the call that took the lease.
    pub(super) fn new(taken_ms: u64) -> HandOver {
        HandOver { answered_ms: taken_ms, ..HandOver::default() }
    }

    /// Notes that the store has renewed its lease in response to a call sent
    /// at this time. Returns whether that proves that this node held the
    /// scheduler lease then.
    pub(super) fn note_renewed(&mut self, sent_ms: u64) -> bool {
        self.answered_ms = self.answered_ms.max(sent_ms);
        self.released_ms.is_none_or(|released_ms| sent_ms < released_ms)
    }

    /// Returns when the lease ends, given when it expires without a renewal:
    /// at the latest when its key may have been deleted.
    pub(super) fn end_ms(&self, expiry_ms: u64) -> u64 {
        self.released_ms.map_or(expiry_ms, |at_ms| at_ms.min(expiry_ms))
    }
}

/// What has become of a hand-over in one turn of the holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HandOverStep {
    /// It isn't requested, or the store isn't available.
    NotTried,
    /// It was tried in vain, and is tried again later.
    Failed,
    /// The lease is handed over.
    Done,
}

/// The result of an attempt to delete the lease's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Release {
    /// The key is deleted, or another node holds the lease.
    Done,
    /// The key is as it was.
    Failed,
    /// Either of them.
    Unknown,
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Candidate<K, W, F> {
    /// Deletes the lease's key if it was written at this revision.
    pub(super) async fn delete_lease_key(&self, revision: u64) -> Release {
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(revision))
            .delete(keys::OWNER)
            .delete(keys::CLAIM)
            .delete(keys::PENDING);
        match self.store.commit(&batch).await {
            Ok(Commit::Done(_) | Commit::Conflict(_)) => Release::Done,
            Err(error) => {
                counters::platform_failure(&error);
                release_after(&error)
            }
        }
    }
}

fn release_after(error: &Error) -> Release {
    if error.may_have_taken_effect() {
        Release::Unknown
    } else {
        Release::Failed
    }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Returns whether the store has answered a renewal recently, so that a
    /// hand-over is likely to succeed.
    pub(super) fn is_store_available(&self) -> bool {
        let answered_ms = self.hand_over.answered_ms;
        let age_ms = clock::now_ms().saturating_sub(answered_ms);
        // Two renewals may be missed.
        age_ms <= self.held.lease_ms / 2
            && answered_ms >= self.hand_over.available_from_ms
    }

    /// Tries to hand the lease over, if the node was asked to stop and the
    /// store is available.
    pub(super) async fn try_hand_over(&mut self) -> HandOverStep {
        if !self.hand_over.is_requested || !self.is_store_available() {
            return HandOverStep::NotTried;
        }
        let began_ms = clock::now_ms();
        let unstored = self.flush_changes().await;
        let sent_ms = clock::now_ms();
        let limit = Duration::from_millis(ATTEMPT_TIMEOUT_MS);
        let attempt = self.candidate.delete_lease_key(self.held.revision);
        let release = timeout(limit, attempt).await;
        let release = release.unwrap_or(Release::Unknown);
        if release == Release::Done {
            return HandOverStep::Done;
        }
        for changes in &unstored {
            self.scheduler.changes_failed(changes);
        }
        self.hand_over.available_from_ms = clock::now_ms();
        if release == Release::Unknown {
            self.hand_over.released_ms.get_or_insert(sent_ms);
        }
        info!(self.candidate.log, "holder: not handed over yet";
            "revision" => self.held.revision,
            "renewed_before_ms" =>
                clock::now_ms().saturating_sub(self.held.renewed_ms),
            "may_be_released" => self.hand_over.released_ms.is_some(),
            "outcome" => "schedules until the store answers");
        // Waiting for the store isn't a standstill of the process.
        let took_ms = clock::now_ms().saturating_sub(began_ms);
        self.last_plan_ms += took_ms.min(MAX_ATTEMPT_MS);
        HandOverStep::Failed
    }
}
