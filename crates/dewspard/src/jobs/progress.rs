/*!
What the holder of the scheduler lease reads of jobs and stores.

Every write is conditional on the lease's key and on each job's own key, so
that neither a holder that was superseded nor a late copy of an earlier write
can change anything.
*/

use {
    super::{
        election::Claim,
        keys::{self, FeedKey},
        versions::RecordVersions,
    },
    crate::{counters, passed_over},
    dewspar::{
        job::{JobId, Phase, conflict::FoundRecord},
        schedule::{AcceptedJob, Changes, Scheduler},
    },
    dewspar_platform::{
        Batch, Commit, Condition, Error, Event, Expected, KeyValue, Put,
        Versioned,
    },
    slog::Logger,
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

/// How many entries of a write jobs may take: the store takes 32, and one is the
/// lease's condition.
const MAX_ENTRIES_PER_WRITE: usize = 31;

/// Returns how many entries of a write a job takes: a condition and a put, and
/// once it is over a deletion and a second put.
fn entries_per_job(phase: Phase) -> usize {
    if phase.is_final() { 4 } else { 2 }
}

/// Takes the changes that ride on the next write.
pub(super) fn take_next_write(scheduler: &mut Scheduler) -> Changes {
    scheduler.take_changes_within(MAX_ENTRIES_PER_WRITE, entries_per_job)
}

/// The pause before a write without result is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What happened to a job, in the order of the store.
#[derive(Debug)]
pub(super) enum FeedEvent {
    /// A job was accepted.
    Accepted { id: JobId, job: Box<AcceptedJob>, revision: u64 },
    /// A job was accepted whose entry can't be read.
    Unreadable(JobId),
    /// A job was cancelled.
    Cancelled(JobId),
    /// The lease's key was written or is gone.
    LeaseChanged { revision: u64 },
    /// Another node would like to schedule.
    Claimed(Claim),
}

/// Reads the feed outright.
pub(super) async fn load_feed<K: KeyValue>(
    store: &K,
    log: &Logger,
) -> Result<(u64, Vec<FeedEvent>), Error> {
    let (version, stored) = store.list(keys::FEED).await?;
    Ok((version, parse_feed(&stored, log)))
}

/// Reads what a list of the feed says.
pub(super) fn parse_feed(items: &[Versioned], log: &Logger) -> Vec<FeedEvent> {
    items.iter().filter_map(|item| parse_put(item, log)).collect()
}

/// Reads a change of the feed.
pub(super) fn parse_event(event: &Event, log: &Logger) -> Option<FeedEvent> {
    match event {
        Event::Put(item) => parse_put(item, log),
        // The holder itself deletes what is over; only the lease matters.
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
        FeedKey::Cancelled(id) => Some(FeedEvent::Cancelled(id)),
        FeedKey::Claim => match serde_json::from_slice(&item.value) {
            Ok(claim) => Some(FeedEvent::Claimed(claim)),
            Err(error) => {
                passed_over::record(log, "claim", &item.key, revision, &error);
                None
            }
        },
        FeedKey::Accepted(id) => {
            match serde_json::from_slice::<AcceptedJob>(&item.value) {
                Ok(job) => {
                    let job = Box::new(job);
                    Some(FeedEvent::Accepted { id, job, revision })
                }
                Err(error) => {
                    let what = "accepted job";
                    passed_over::record(
                        log, what, &item.key, revision, &error,
                    );
                    Some(FeedEvent::Unreadable(id))
                }
            }
        }
    }
}

/// What became of storing changes.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// They are in the store; each job's key is at this version.
    Done(u64),
    /// A condition didn't hold, and nothing was stored.
    Conflict(WriteConflict),
    /// Nothing was stored.
    Failed,
}

/// A write whose conditions didn't hold.
#[derive(Debug)]
pub(super) struct WriteConflict {
    /// What had to hold.
    conditions: Vec<Condition>,
    /// The keys of these conditions that were there.
    current: Vec<Versioned>,
}

/// What a refused write found otherwise than it expected.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum ConflictCause {
    /// The lease's key: another node holds the lease, or may.
    Lease,
    /// The records of these jobs, while the lease stands.
    Records(BTreeSet<JobId>),
    /// Nothing any more: what stood in the way has changed again.
    Resolved,
}

impl WriteConflict {
    /// Makes the refusal of a batch whose conditional keys are as given.
    pub(super) fn new(
        batch: &Batch,
        current: Vec<Versioned>,
    ) -> WriteConflict {
        WriteConflict { conditions: batch.conditions.clone(), current }
    }

    /// Returns what stood in the way of changes to these jobs.
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

    /// Returns a job's record as it was found.
    pub(super) fn found_record(&self, id: JobId) -> FoundRecord {
        let Some(item) = self.find(&keys::progress(id)) else {
            return FoundRecord::Absent;
        };
        match serde_json::from_slice(&item.value) {
            Ok(progress) => FoundRecord::Readable(progress),
            // Told by what is logged of each refusal.
            Err(_) => FoundRecord::Unreadable,
        }
    }

    /// Returns the version of a key as it was found; 0 for absent.
    pub(super) fn found_version(&self, key: &str) -> u64 {
        self.find(key).map_or(0, |item| item.version)
    }

    /// Returns the version that a key had to be at; 0 for absent.
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

/// The write that carries changes.
pub(super) fn progress_batch(
    lease_revision: u64,
    changes: &Changes,
    versions: &RecordVersions,
) -> Batch {
    let mut batch =
        Batch::default().when(keys::OWNER, Expected::Version(lease_revision));
    for (id, progress) in &changes.progress {
        let key = keys::progress(*id);
        let version = versions.expected(*id);
        // OK because progress holds only what JSON can write.
        let value = serde_json::to_vec(progress).expect("plain JSON");
        batch =
            batch.when(&key, Expected::from_version(version)).put(&key, value);
        if progress.phase.is_final() {
            // A cancelling stays on record while anything may run of its job,
            // and so does any other end: the next holder stops that before it
            // has loaded a job.
            batch = batch.delete(&keys::accepted(*id));
            if changes.is_unstopped(*id) {
                batch = batch.put(&keys::cancelled(*id), Vec::new());
            }
        }
    }
    batch
}

/// Stores changes; a write without an answer is tried until its outcome is
/// known, since it may still be done later.
pub(super) async fn commit_changes<K: KeyValue>(
    store: &K,
    batch: &Batch,
) -> WriteOutcome {
    let mut may_be_applied = false;
    loop {
        match store.commit(batch).await {
            Ok(Commit::Done(version)) => return WriteOutcome::Done(version),
            Ok(Commit::Conflict(current)) => {
                return classify_conflict(batch, current, may_be_applied);
            }
            Err(error) => {
                counters::platform_failure(&error);
                may_be_applied |= error.may_have_taken_effect();
                if !may_be_applied {
                    return WriteOutcome::Failed;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Tells a write that was done on an earlier try from one that can't be.
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

/// Returns the version at which all that a batch puts under a condition is
/// there, if it is: all of it was written at once, so it is one version.
fn version_if_applied(batch: &Batch, current: &[Versioned]) -> Option<u64> {
    // Only of these the store says what it has found.
    let is_reported =
        |put: &&Put| batch.conditions.iter().any(|c| c.key == put.key);
    let mut versions = batch.puts.iter().filter(is_reported).map(|put| {
        let item = current.iter().find(|item| item.key == put.key)?;
        (item.value == put.value).then_some(item.version)
    });
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}
