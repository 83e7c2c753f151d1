/*!
Handing the scheduler lease over before a planned stop.

A holder that stops deletes the lease's key, so that another node takes over at
once. While the store is unavailable that fails, and nobody can take over: the
key would stay until the lease expires after the store's return, and nobody
would schedule until then. A holder that is asked to stop therefore goes on as
in any outage (see [`holder`](super::holder)) and hands over at the first
renewal that the store answers. If the node ends before that, the lease expires
by itself.

A deletion without an answer may have taken effect. The holder then goes on
under its fencing token like one that can't renew its lease, but orders no
changes of VMs, since another holder may do so.
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

/// The state of a hand-over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Whether the node was asked to stop.
    pub(super) is_requested: bool,
    /// Whether the lease's key may have been deleted already.
    pub(super) may_be_released: bool,
    /// The store counts as available only if it has renewed the lease at this
    /// time or later, on the steady clock in milliseconds.
    available_from_ms: u64,
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
    /// Returns whether the store has renewed the lease recently, so that a
    /// hand-over is likely to succeed.
    pub(super) fn is_store_available(&self) -> bool {
        let renewed_ms = self.held.renewed_ms;
        let age_ms = clock::now_ms().saturating_sub(renewed_ms);
        // Two renewals may be missed.
        age_ms <= self.held.lease_ms / 2
            && renewed_ms >= self.hand_over.available_from_ms
    }

    /// Tries to hand the lease over, if the node was asked to stop and the
    /// store is available. Returns whether that is done.
    pub(super) async fn try_hand_over(&mut self) -> bool {
        if !self.hand_over.is_requested || !self.is_store_available() {
            return false;
        }
        let unstored = self.flush_changes().await;
        let limit = Duration::from_millis(ATTEMPT_TIMEOUT_MS);
        let attempt = self.candidate.delete_lease_key(self.held.revision);
        let release = timeout(limit, attempt).await;
        let release = release.unwrap_or(Release::Unknown);
        if release == Release::Done {
            return true;
        }
        for changes in &unstored {
            self.scheduler.changes_failed(changes);
        }
        self.hand_over.available_from_ms = clock::now_ms();
        self.hand_over.may_be_released |= release == Release::Unknown;
        info!(self.candidate.log, "holder: not handed over yet";
            "revision" => self.held.revision,
            "renewed_before_ms" =>
                clock::now_ms().saturating_sub(self.held.renewed_ms),
            "may_be_released" => self.hand_over.may_be_released,
            "outcome" => "schedules until the store answers");
        false
    }
}
