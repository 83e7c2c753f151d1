/*!
Parsing of feed events, and writes of the jobs' progress.

Every write is conditional on the lease's key and on the key of each job's
record, so that neither a superseded holder nor a delayed copy of an earlier
write can change anything.
*/

use {
    super::{
        checkpoints::CheckpointWrite,
        election::Claim,
        keys::{self, FeedKey},
        progress_batches::ProgressWrite,
    },
    crate::{counters, passed_over},
    dewspar::{
        job::{JobId, TaskId, conflict::FoundRecord},
        schedule::{AcceptedJob, Changes, TeamUse},
    },
    dewspar_platform::{
        Batch, Commit, Condition, Error, Event, Expected, KeyValue, Put,
        Versioned,
    },
    serde::de::Error as _,
    slog::Logger,
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

/// The delay before a write without an answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The value under the key of a cancelling whose job was stored as cancelled
/// before it was accepted.
pub(super) const NEVER_ACCEPTED: &[u8] = br#"{"never_accepted":true}"#;

/// A change in the feed.
#[derive(Debug)]
pub(super) enum FeedEvent {
    /// A job was accepted.
    Accepted { id: JobId, job: Box<AcceptedJob>, revision: u64 },
    /// A job was accepted, but its entry can't be read.
    Unreadable(JobId),
    /// A job was cancelled, or ended with runs that may still be active, which
    /// use this much of its team's quota.
    Cancelled { id: JobId, active_use: Option<TeamUse>, revision: u64 },
    /// A job was cancelled before it was accepted, and never will be.
    NeverAccepted(JobId),
    /// The lease's key was written or deleted.
    LeaseChanged { revision: u64 },
    /// Another node has requested the lease.
    Claimed(Claim),
}

/// Reads the whole feed, with the store's version at that time.
///
/// # Errors
///
/// An error of the store.
pub(super) async fn load_feed<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<(u64, Vec<FeedEvent>), Error> {
    let (version, stored) = store.list(keys::FEED).await?;
    Ok((version, parse_feed(&stored, log)))
}

/// Parses a listing of the feed.
pub(super) fn parse_feed(items: &[Versioned], log: &Logger) -> Vec<FeedEvent> {
    items.iter().filter_map(|item| parse_put(item, log)).collect()
}

/// Parses a change of the feed; returns `None` if it isn't relevant.
pub(super) fn parse_event(event: &Event, log: &Logger) -> Option<FeedEvent> {
    match event {
        Event::Put(item) => parse_put(item, log),
        // The holder itself deletes the entries of finished jobs, so only
        // deletions of the lease's key matter.
        Event::Deleted { key, version } => match FeedKey::parse(key)? {
            FeedKey::Owner => {
                Some(FeedEvent::LeaseChanged { revision: *version })
            }
            FeedKey::Accepted(_) | FeedKey::Cancelled(_) | FeedKey::Claim => {
                None
            }
        },
    }
}

fn parse_put(item: &Versioned, log: &Logger) -> Option<FeedEvent> {
    let revision = item.version;
    match FeedKey::parse(&item.key)? {
        FeedKey::Owner => Some(FeedEvent::LeaseChanged { revision }),
        FeedKey::Cancelled(id) if item.value == NEVER_ACCEPTED => {
            Some(FeedEvent::NeverAccepted(id))
        }
        FeedKey::Cancelled(id) => {
            let active_use = parse_active_use(item, log);
            Some(FeedEvent::Cancelled { id, active_use, revision })
        }
        FeedKey::Claim => match serde_json::from_slice(&item.value) {
            Ok(claim) => Some(FeedEvent::Claimed(claim)),
            Err(error) => {
                passed_over::record(log, "claim", &item.key, revision, &error);
                None
            }
        },
        FeedKey::Accepted(id) => match parse_accepted(&item.value) {
            Ok(job) => {
                let job = Box::new(job);
                Some(FeedEvent::Accepted { id, job, revision })
            }
            Err(error) => {
                let what = "accepted job";
                passed_over::record(log, what, &item.key, revision, &error);
                Some(FeedEvent::Unreadable(id))
            }
        },
    }
}

/// Parses an accepted job. One that no node would have accepted counts as
/// unreadable: its tasks may not even fit into memory.
fn parse_accepted(value: &[u8]) -> Result<AcceptedJob, serde_json::Error> {
    let job: AcceptedJob = serde_json::from_slice(value)?;
    job.spec.check().map_err(serde_json::Error::custom)?;
    Ok(job)
}

/// Parses what the runs of a cancelled job use. The node that a caller asks to
/// cancel a job doesn't know, so that its entry is empty.
fn parse_active_use(item: &Versioned, log: &Logger) -> Option<TeamUse> {
    if item.value.is_empty() {
        return None;
    }
    serde_json::from_slice(&item.value)
        .inspect_err(|error| {
            let (key, version) = (&item.key, item.version);
            passed_over::record(log, "cancellation", key, version, error);
        })
        .ok()
}

/// The outcome of a write of changes.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The changes are stored; each job's record is at this version.
    Done(u64),
    /// A condition didn't hold, and nothing was stored.
    Conflict(WriteConflict),
    /// The write failed, and nothing was stored.
    Failed,
    /// The store never accepts this write, and nothing was stored.
    Rejected(Error),
}

/// A write with conditions that didn't hold.
#[derive(Debug)]
pub(super) struct WriteConflict {
    /// All conditions of the write.
    conditions: Vec<Condition>,
    /// The existing keys among those of the conditions, as they were found.
    current: Vec<Versioned>,
}

/// Which conditions of a conflicting write failed.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum ConflictCause {
    /// The one on the lease's key: another node holds the lease, or may hold
    /// it.
    Lease,
    /// Those on the records of these jobs, while the lease is unchanged.
    Records(BTreeSet<JobId>),
    /// None any more: the keys have changed again since, and a new attempt may
    /// succeed.
    Resolved,
}

impl WriteConflict {
    /// Creates the conflict of a batch from the current state of its keys.
    pub(super) fn new(
        batch: &Batch,
        current: Vec<Versioned>,
    ) -> WriteConflict {
        WriteConflict { conditions: batch.conditions.clone(), current }
    }

    /// Returns the cause of the conflict for the jobs of these changes.
    pub(super) fn cause_for(&self, changes: &Changes) -> ConflictCause {
        if self.differs(keys::OWNER) {
            return ConflictCause::Lease;
        }
        let ids = changes.progress.iter().map(|(id, _)| *id);
        let differing: BTreeSet<JobId> =
            ids.filter(|id| self.differs(&keys::progress(*id))).collect();
        if differing.is_empty() {
            return ConflictCause::Resolved;
        }
        ConflictCause::Records(differing)
    }

    /// Returns a job's current record.
    pub(super) fn found_record(&self, id: JobId) -> FoundRecord {
        let Some(item) = self.find(&keys::progress(id)) else {
            return FoundRecord::Absent;
        };
        match serde_json::from_slice(&item.value) {
            Ok(progress) => FoundRecord::Readable(progress),
            // Not logged here: the conflict itself is logged.
            Err(_) => FoundRecord::Unreadable,
        }
    }

    /// Returns the current version of a key; 0 if it is absent.
    pub(super) fn found_version(&self, key: &str) -> u64 {
        self.find(key).map_or(0, |item| item.version)
    }

    /// Returns the version that was expected of a key; 0 for absent.
    pub(super) fn expected_version(&self, key: &str) -> u64 {
        let condition = self.conditions.iter().find(|c| c.key == key);
        match condition.map(|condition| condition.expected) {
            Some(Expected::Version(version)) => version,
            Some(Expected::Absent | Expected::Any) | None => 0,
        }
    }

    fn differs(&self, key: &str) -> bool {
        self.found_version(key) != self.expected_version(key)
    }

    fn find(&self, key: &str) -> Option<&Versioned> {
        self.current.iter().find(|item| item.key == key)
    }
}

/// What became of a write of changes.
#[derive(Debug)]
pub(super) struct WrittenProgress {
    pub(super) outcome: WriteOutcome,
    /// The tasks and runs of the checkpoints that are stored.
    pub(super) checkpoints: Vec<(TaskId, u64)>,
    /// Those of the checkpoints that the store doesn't accept.
    pub(super) rejected: Vec<(TaskId, u64)>,
}

/// Commits a write of changes. The records are written only once all
/// checkpoints are stored.
pub(super) async fn commit_changes<K: KeyValue>(
    store: &K,
    write: &ProgressWrite,
) -> WrittenProgress {
    let (mut checkpoints, mut rejected) = (Vec::new(), Vec::new());
    for CheckpointWrite { batch, runs } in &write.checkpoints {
        match commit(store, batch).await {
            WriteOutcome::Done(_) => checkpoints.extend_from_slice(runs),
            // Too large a checkpoint is in a write of its own.
            WriteOutcome::Rejected(_) => rejected.extend_from_slice(runs),
            outcome => {
                return WrittenProgress { outcome, checkpoints, rejected };
            }
        }
    }
    let outcome = commit(store, &write.records).await;
    WrittenProgress { outcome, checkpoints, rejected }
}

/// Commits a batch. A write without an answer is retried until its outcome is
/// known, because it may still take effect later.
async fn commit<K: KeyValue>(store: &K, batch: &Batch) -> WriteOutcome {
    let mut may_be_applied = false;
    loop {
        match store.commit(batch).await {
            Ok(Commit::Done(version)) => return WriteOutcome::Done(version),
            Ok(Commit::Conflict(current)) => {
                return classify_conflict(batch, current, may_be_applied);
            }
            Err(error) => {
                counters::platform_failure(&error);
                if matches!(error, Error::Rejected { .. }) {
                    return WriteOutcome::Rejected(error);
                }
                may_be_applied |= error.may_have_taken_effect();
                if !may_be_applied {
                    return WriteOutcome::Failed;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Distinguishes a write that took effect on an earlier attempt from one that
/// conflicts.
fn classify_conflict(
    batch: &Batch,
    current: Vec<Versioned>,
    may_be_applied: bool,
) -> WriteOutcome {
    if let Some(version) = version_if_applied(batch, &current)
        && may_be_applied
    {
        return WriteOutcome::Done(version);
    }
    WriteOutcome::Conflict(WriteConflict::new(batch, current))
}

/// Returns the version at which a batch took effect, if it did: all keys that
/// it puts under a condition then have its values. They were written at once,
/// so they must also share one version.
fn version_if_applied(batch: &Batch, current: &[Versioned]) -> Option<u64> {
    // The store returns only the keys that have a condition.
    let is_reported =
        |put: &&Put| batch.conditions.iter().any(|c| c.key == put.key);
    let mut versions = batch.puts.iter().filter(is_reported).map(|put| {
        let item = current.iter().find(|item| item.key == put.key)?;
        (item.value == put.value).then_some(item.version)
    });
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}
