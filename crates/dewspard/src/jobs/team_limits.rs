/*!
The limits on what teams submit: how the holder stores them, how nodes follow
them, and how a submission is refused.

See [`TeamLimits`] for the decision. The holder writes the record while there
are limits and their content changes, at most once a second, and once more when
there are none any more. In between it renews the limits by writing another key,
so that accepting writes, which depend on the record's version, don't conflict
for a renewal. Nodes read both as they read other shared keys.

A refusal says that the job was not run and won't be, so it must be certain that
the job is neither stored nor about to be. A caller that got no answer submits
the same job again, perhaps to another node, while its first call may still be
handled and its first write still be on its way to the store. Therefore:

- each call takes the version of the record that its node knows when the call
  arrives, and only ever writes on the condition of this version, or of the
  versions that follow it without a gap. All of them must accept the job by
  their content, whatever their age is; otherwise the call never writes.
- before a node refuses a job, it reads the record, decides by that version, and
  then looks for the job.

Suppose that a node has refused a job by version V, and that a call that arrived
before could still write it. The version that this call began with isn't newer
than V. A write that depends on an older version has no effect after V was
read, and the look has shown that it had none before. A write that depends on V
isn't sent, since V refuses the job. Neither is one that depends on a newer
version, since V would be among the versions from the first to that one.

A version names the one that it replaces, so that a gap is seen. Where a call
may not write and can't refuse, the outcome is unknown; the caller's next call
begins with a newer version. That is the case if the version that a call began
with would refuse the job but is too old, or isn't the newest any more; and
after a conflict, if versions lie between. Limits that nobody renews are removed
by the first node that would have to refuse a job by them.

What remains: a call that reaches its node only after the caller has given it up
and another node has refused the job (it lay in a queue of the network or of
the operating system until then) begins with too new a version. And a store that
loses the record may give the same version again.
*/

use {
    super::{
        event::Event, front::Frontend, holder::Holder, intent, keys,
        records::record_written,
    },
    crate::{clock, counters, passed_over},
    dewspar::{
        job::JobId,
        record::{RecordWriteOutcome, RecordWriter},
        schedule::{FollowedDecision, FollowedLimits, Now, TeamLimits},
        team::{Caller, Team},
    },
    dewspar_platform::{
        Batch, Commit, Expected, Fleet, JobProtocol, JobReply, JobWorkers,
        KeyValue, Purpose, Versioned,
    },
    serde::{Deserialize, Serialize},
    slog::{Logger, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, MissedTickBehavior, interval, timeout_at},
    },
};

/// The shortest time between two writes of the record, in milliseconds. It is
/// also how often the record is renewed while there are limits.
const WRITE_INTERVAL_MS: u64 = 1_000;

/// How often a node reads the record. A record that is renewed every second is
/// then seen to change before it is 2 s old.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest time between two shared reads of the record, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 250;

/// How long the look for a job that is about to be refused may take: several
/// times as long as the store usually takes.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);

/// The record as it is stored.
#[derive(Debug, Default, Deserialize, Serialize)]
struct LimitsRecord {
    #[serde(flatten)]
    limits: TeamLimits,
    /// The version that it has replaced, 0 for none; `None` if unknown.
    #[serde(default)]
    replaces: Option<u64>,
}

impl LimitsRecord {
    /// Returns the batch that replaces this version of the record.
    fn replacing(version: u64, limits: TeamLimits) -> Batch {
        let record = LimitsRecord { limits, replaces: Some(version) };
        Batch::default()
            .when(keys::TEAM_LIMITS, Expected::from_version(version))
            .put(keys::TEAM_LIMITS, record.to_json())
    }

    fn to_json(&self) -> Vec<u8> {
        // OK because it holds only strings and numbers.
        serde_json::to_vec(self).expect("plain JSON")
    }
}

/// Decides when the holder writes the record.
#[derive(Debug, Default)]
pub(super) struct TeamLimitsWriter {
    record: RecordWriter,
    last_write_ms: Option<u64>,
    /// What the record contains, as far as it is known.
    stored: Option<TeamLimits>,
    /// Whether the record may contain limits.
    may_contain_limits: bool,
    /// What the write in flight leaves in the record.
    writing: TeamLimits,
}

/// A write of the limits, with the version that it depends on.
enum LimitsWrite {
    Replace { version: u64 },
    Renew { version: u64 },
}

impl TeamLimitsWriter {
    /// Begins a write, if one is due.
    fn begin_write(
        &mut self,
        limits: &TeamLimits,
        now_ms: u64,
    ) -> Option<LimitsWrite> {
        let has_limits = !limits.teams.is_empty();
        let is_early = self
            .last_write_ms
            .is_some_and(|last_ms| now_ms < last_ms + WRITE_INTERVAL_MS);
        if is_early || !(has_limits || self.may_contain_limits) {
            return None;
        }
        self.record.mark_dirty();
        if !self.record.is_due(now_ms) {
            return None;
        }
        self.last_write_ms = Some(now_ms);
        self.may_contain_limits = true;
        self.writing = limits.clone();
        let version = self.record.begin_write();
        // After a failure, the content is unknown until a write succeeds.
        let is_stored = self.stored.take().is_some_and(|s| s == *limits);
        Some(match is_stored && has_limits {
            true => LimitsWrite::Renew { version },
            false => LimitsWrite::Replace { version },
        })
    }

    /// Handles the result of the write.
    pub(super) fn finish_write(
        &mut self,
        written: RecordWriteOutcome,
        now_ms: u64,
    ) {
        match written {
            RecordWriteOutcome::Done(_) => {
                self.may_contain_limits = !self.writing.teams.is_empty();
                self.stored = Some(self.writing.clone());
            }
            // Nothing was written; the record's version is known now.
            RecordWriteOutcome::Conflict { .. } => self.last_write_ms = None,
            RecordWriteOutcome::Failed => {}
        }
        self.record.finish_write(written, now_ms);
    }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Starts a write of the record, if it is due.
    pub(super) fn write_team_limits(&mut self, now: Now) {
        let limits = self.scheduler.team_limits();
        let write = self.team_limits.begin_write(limits, now.steady_ms);
        let Some(write) = write else { return };
        let (batch, renewed) = match write {
            LimitsWrite::Replace { version } => {
                (LimitsRecord::replacing(version, limits.clone()), None)
            }
            LimitsWrite::Renew { version } => {
                let batch = Batch::default()
                    .when(keys::TEAM_LIMITS, Expected::from_version(version))
                    .put(keys::TEAM_LIMITS_RENEWED, Vec::new());
                (batch, Some(version))
            }
        };
        let batch =
            batch.when(keys::OWNER, Expected::Version(self.held.revision));
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            let written = match record_written(&answer, keys::TEAM_LIMITS) {
                // A renewal leaves the record's version.
                RecordWriteOutcome::Done(version) => {
                    RecordWriteOutcome::Done(renewed.unwrap_or(version))
                }
                other => other,
            };
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(Event::TeamLimitsWritten(written)).await;
        });
    }
}

/// A node's knowledge of the limits; clones share it.
#[derive(Clone, Debug)]
pub(super) struct FollowedTeamLimits {
    is_enabled: bool,
    followed: Arc<Mutex<FollowedLimits>>,
}

impl FollowedTeamLimits {
    pub(super) fn new(is_enabled: bool) -> FollowedTeamLimits {
        FollowedTeamLimits { is_enabled, followed: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, FollowedLimits> {
        // A panic elsewhere can't leave the value half changed.
        self.followed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what was read, and returns the version that it replaced.
    fn record(
        &self,
        found: Option<&Versioned>,
        requested_ms: u64,
        log: &Logger,
    ) -> Option<u64> {
        let version = found.map_or(0, |found| found.version);
        let record = found.and_then(|found| {
            passed_over::read::<LimitsRecord>(log, "limits on teams", found)
        });
        let LimitsRecord { limits, replaces } = record.unwrap_or_default();
        self.lock().record_read(version, requested_ms, || limits);
        replaces
    }

    /// Decides about a submission, by one version of the record.
    fn decide(&self, pool: &str, team: &Team, id: JobId) -> VersionedDecision {
        let followed = self.lock();
        VersionedDecision {
            decision: followed.decide(pool, &team.name, id, clock::now_ms()),
            version: followed.version(),
        }
    }
}

/// A decision with the version of the record that it is based on.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionedDecision {
    decision: FollowedDecision,
    version: u64,
}

/// Reads the record until the node stops, while the configuration has teams
/// with a weight.
pub(super) async fn follow<K: KeyValue>(
    store: K,
    reader: intent::Reader,
    limits: FollowedTeamLimits,
    stopping: watch::Receiver<bool>,
    log: Logger,
) {
    if !limits.is_enabled {
        return;
    }
    let store = store.sharing_reads(SHARE_INTERVAL_MS);
    let mut tick = interval(FOLLOW_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !*stopping.borrow() {
        tick.tick().await;
        if !has_weights(&reader) {
            continue;
        }
        let requested_ms = clock::now_ms();
        match store.get(keys::TEAM_LIMITS).await {
            Ok(found) => {
                limits.record(found.as_ref(), requested_ms, &log);
            }
            Err(error) => {
                counters::platform_failure(&error);
                continue;
            }
        }
        // Without limits there is nothing that has to be renewed.
        if !limits.lock().has_limits() {
            continue;
        }
        let requested_ms = clock::now_ms();
        match store.get(keys::TEAM_LIMITS_RENEWED).await {
            Ok(found) => {
                let version = found.map_or(0, |found| found.version);
                limits.lock().record_renewal(version, requested_ms);
            }
            Err(error) => counters::platform_failure(&error),
        }
    }
}

fn has_weights(reader: &intent::Reader) -> bool {
    let snapshot = reader.borrow();
    let queues = snapshot.intent.queues.as_ref();
    queues.is_some_and(|queues| {
        queues.teams().iter().any(|team| team.weight > 0)
    })
}

/// What a submission may do under the limits.
#[derive(Clone, Debug)]
pub(super) enum ShareCheck {
    /// It isn't subject to limits.
    Unlimited,
    /// It is to be stored, as long as the limits have this version.
    Admitted { version: u64 },
    /// This is its answer.
    Reply(JobReply),
}

/// A write that had no effect because of what the store has.
pub(super) struct LimitConflict<'a> {
    /// The version of the limits that the write depended on.
    pub(super) version: u64,
    /// What the store has under the keys of the conditions.
    pub(super) found: &'a [Versioned],
    /// When the write began, in milliseconds of the steady clock.
    pub(super) requested_ms: u64,
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Decides about a submission that has just arrived, by what this node
    /// knows of the limits; `None` if it isn't subject to any.
    pub(super) fn limits_at_arrival(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
    ) -> Option<VersionedDecision> {
        let team = caller.team().filter(|team| team.weight > 0);
        let team = team.filter(|_| self.limits.is_enabled)?;
        Some(self.limits.decide(pool, team, id))
    }

    /// Checks a submission against its team's limit.
    pub(super) async fn check_share(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
        known: Option<VersionedDecision>,
        deadline: Instant,
    ) -> ShareCheck {
        let (Some(known), Some(team)) = (known, caller.team()) else {
            return ShareCheck::Unlimited;
        };
        if known.decision == FollowedDecision::Accept {
            return ShareCheck::Admitted { version: known.version };
        }
        let lookup_deadline = deadline.min(Instant::now() + LOOKUP_TIMEOUT);
        let requested_ms = clock::now_ms();
        let key = keys::TEAM_LIMITS;
        // An outage of the store must be seen here too: this may be the only
        // call that is sent for the job.
        let sent = self.gate.begin_call();
        let read = self.read_versioned(&self.store, key, lookup_deadline);
        let Ok(found) = read.await else {
            sent.failed();
            return ShareCheck::Reply(JobReply::Unknown);
        };
        sent.answered();
        self.limits.record(found.as_ref(), requested_ms, &self.log);
        let VersionedDecision { decision, version } =
            self.limits.decide(pool, team, id);
        ShareCheck::Reply(match decision {
            FollowedDecision::Refuse { retry_after_ms } => {
                self.refuse(id, caller, retry_after_ms, lookup_deadline).await
            }
            FollowedDecision::TooOld => {
                self.remove_expired_limits(version, lookup_deadline).await;
                JobReply::Unknown
            }
            // Another node may have refused it by the version that was known.
            FollowedDecision::Accept => JobReply::Unknown,
        })
    }

    /// Returns the refusal of a job that the newest version of the limits
    /// refuses, unless the job is stored.
    async fn refuse(
        &self,
        id: JobId,
        caller: &Caller,
        retry_after_ms: u64,
        deadline: Instant,
    ) -> JobReply {
        match self.phase(id, caller, deadline).await {
            Ok(None) => refusal(retry_after_ms),
            Ok(Some(_)) => JobReply::Accepted,
            // It may be stored.
            Err(_) => JobReply::Unknown,
        }
    }

    /// Removes limits that nobody renews, so that the next calls may write.
    async fn remove_expired_limits(&self, version: u64, deadline: Instant) {
        let renewal = {
            let followed = self.limits.lock();
            let is_expired = followed.is_expired(clock::now_ms());
            followed.renewal().filter(|_| is_expired)
        };
        let Some(renewal) = renewal else { return };
        let renewal = Expected::from_version(renewal);
        let batch = LimitsRecord::replacing(version, TeamLimits::default())
            .when(keys::TEAM_LIMITS_RENEWED, renewal);
        self.write_limits(&batch, deadline).await;
    }

    /// Replaces a record whose row can't be read. Writes of all teams depend
    /// on it, and would conflict for ever.
    async fn replace_unreadable_limits(&self, deadline: Instant) {
        let record = LimitsRecord::default().to_json();
        let batch = Batch::default().put(keys::TEAM_LIMITS, record);
        self.write_limits(&batch, deadline).await;
    }

    async fn write_limits(&self, batch: &Batch, deadline: Instant) {
        let requested_ms = clock::now_ms();
        match timeout_at(deadline, self.store.commit(batch)).await {
            Ok(Ok(Commit::Done(version))) => {
                info!(self.log, "call: outdated limits on teams removed";
                    "version" => version);
                let mut followed = self.limits.lock();
                followed.record_read(version, requested_ms, Default::default);
            }
            // Others have replaced them; that is read in a moment.
            Ok(Ok(Commit::Conflict(_))) => {}
            Ok(Err(error)) => self.note_failure(&error),
            Err(_) => {}
        }
    }

    /// Checks a submission again whose write had no effect, although the job
    /// isn't among what the store has.
    pub(super) async fn check_changed_limits(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
        conflict: LimitConflict<'_>,
        deadline: Instant,
    ) -> ShareCheck {
        let unknown = ShareCheck::Reply(JobReply::Unknown);
        let Some(team) = caller.team() else { return ShareCheck::Unlimited };
        let LimitConflict { version: used, found, requested_ms } = conflict;
        let is_record = |item: &&Versioned| {
            item.key == keys::TEAM_LIMITS && item.version > 0
        };
        let deadline = deadline.min(Instant::now() + LOOKUP_TIMEOUT);
        let Some(record) = found.iter().find(is_record) else {
            if used == 0 {
                // Something exists whose row can't be read.
                self.replace_unreadable_limits(deadline).await;
            } else {
                self.limits.record(None, requested_ms, &self.log);
            }
            return unknown;
        };
        if record.version == used {
            // The job exists, and its row can't be read.
            return unknown;
        }
        let replaces =
            self.limits.record(Some(record), requested_ms, &self.log);
        let VersionedDecision { decision, version } =
            self.limits.decide(pool, team, id);
        if version != record.version {
            return unknown;
        }
        match decision {
            FollowedDecision::Accept if replaces == Some(used) => {
                ShareCheck::Admitted { version }
            }
            // A version in between may have refused it.
            FollowedDecision::Accept | FollowedDecision::TooOld => unknown,
            // What the conflict listed may not be all.
            FollowedDecision::Refuse { retry_after_ms } => {
                let refused =
                    self.refuse(id, caller, retry_after_ms, deadline);
                ShareCheck::Reply(refused.await)
            }
        }
    }
}

fn refusal(retry_after_ms: u64) -> JobReply {
    counters::count_by(counters::REFUSALS, "reason", "over_share");
    JobReply::NotDone { retry_after_ms }
}
