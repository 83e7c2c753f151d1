/*!
The limits on what teams submit: how the holder stores them, how nodes follow
them, and how a submission is refused.

See [`TeamLimits`] for the decision. The holder writes the record while there
are limits, at most once a second, and once more when there are none any more.
Nodes read it as they read other shared keys.

A refusal says that the job was not run and won't be, so it must be certain that
the job is neither stored nor about to be. A caller that got no answer submits
the same job again, perhaps to another node, while its first write may still be
on its way to the store. Therefore:

- each write that accepts a job of a team with a weight is conditional on the
  version of the record by which the node decided, so that it has no effect
  once the record has changed;
- before a node refuses a job, it reads the record, decides by that version, and
  then looks for the job.

A write that was sent before the refusal and takes effect after it would have to
depend on the version that was read. Its sender would have refused the job by
that same version.
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
        schedule::{FollowedLimits, Now, SubmissionDecision, TeamLimits},
        team::{Caller, Team},
    },
    dewspar_platform::{
        Batch, Expected, Fleet, JobProtocol, JobReply, JobWorkers, KeyValue,
        Purpose, Versioned,
    },
    slog::Logger,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, MissedTickBehavior, interval},
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

/// Decides when the holder writes the record.
#[derive(Debug, Default)]
pub(super) struct TeamLimitsWriter {
    record: RecordWriter,
    last_write_ms: Option<u64>,
    /// Whether the record may contain limits.
    may_contain_limits: bool,
    /// Whether the write in flight contains limits.
    writes_limits: bool,
}

impl TeamLimitsWriter {
    /// Begins a write, if one is due, and returns the version that it depends
    /// on.
    fn begin_write(
        &mut self,
        limits: &TeamLimits,
        now_ms: u64,
    ) -> Option<u64> {
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
        self.writes_limits = has_limits;
        Some(self.record.begin_write())
    }

    /// Handles the result of the write.
    pub(super) fn finish_write(
        &mut self,
        written: RecordWriteOutcome,
        now_ms: u64,
    ) {
        match written {
            RecordWriteOutcome::Done(_) => {
                self.may_contain_limits = self.writes_limits;
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
        let version = self.team_limits.begin_write(limits, now.steady_ms);
        let Some(version) = version else { return };
        // OK because it holds only strings and numbers.
        let value = serde_json::to_vec(limits).expect("plain JSON");
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.held.revision))
            .when(keys::TEAM_LIMITS, Expected::from_version(version))
            .put(keys::TEAM_LIMITS, value);
        let store = self.candidate.store.with_purpose(Purpose::Progress);
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let answer = store.commit(&batch).await;
            if let Err(error) = &answer {
                counters::platform_failure(error);
            }
            let written = record_written(&answer, keys::TEAM_LIMITS);
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

    /// Records what was read.
    fn record(
        &self,
        found: Option<&Versioned>,
        requested_ms: u64,
        log: &Logger,
    ) {
        let version = found.map_or(0, |found| found.version);
        self.lock().record_read(version, requested_ms, || {
            let limits = found.and_then(|found| {
                passed_over::read(log, "limits on teams", found)
            });
            limits.unwrap_or_default()
        });
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
struct VersionedDecision {
    decision: SubmissionDecision,
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
            Ok(found) => limits.record(found.as_ref(), requested_ms, &log),
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

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Checks a submission against its team's limit.
    pub(super) async fn check_share(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
        deadline: Instant,
    ) -> ShareCheck {
        let team = caller.team().filter(|team| team.weight > 0);
        let Some(team) = team.filter(|_| self.limits.is_enabled) else {
            return ShareCheck::Unlimited;
        };
        let VersionedDecision { decision, version } =
            self.limits.decide(pool, team, id);
        if decision == SubmissionDecision::Accept {
            return ShareCheck::Admitted { version };
        }
        let deadline = deadline.min(Instant::now() + LOOKUP_TIMEOUT);
        let requested_ms = clock::now_ms();
        let key = keys::TEAM_LIMITS;
        match self.read_versioned(&self.store, key, deadline).await {
            Ok(found) => {
                self.limits.record(found.as_ref(), requested_ms, &self.log);
            }
            Err(_) => return ShareCheck::Reply(JobReply::Unknown),
        }
        let VersionedDecision { decision, version } =
            self.limits.decide(pool, team, id);
        let SubmissionDecision::Refuse { retry_after_ms } = decision else {
            return ShareCheck::Admitted { version };
        };
        ShareCheck::Reply(match self.phase(id, caller, deadline).await {
            Ok(None) => refusal(retry_after_ms),
            Ok(Some(_)) => JobReply::Accepted,
            // It may be stored.
            Err(_) => JobReply::Unknown,
        })
    }

    /// Checks a submission again whose write had no effect because the limits
    /// have changed.
    pub(super) fn check_changed_limits(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
        found: &[Versioned],
    ) -> ShareCheck {
        let Some(team) = caller.team() else { return ShareCheck::Unlimited };
        let record = found.iter().find(|item| item.key == keys::TEAM_LIMITS);
        self.limits.record(record, clock::now_ms(), &self.log);
        let VersionedDecision { decision, version } =
            self.limits.decide(pool, team, id);
        match decision {
            SubmissionDecision::Accept => ShareCheck::Admitted { version },
            // The conflict has shown that the job isn't stored.
            SubmissionDecision::Refuse { retry_after_ms } => {
                ShareCheck::Reply(refusal(retry_after_ms))
            }
        }
    }
}

fn refusal(retry_after_ms: u64) -> JobReply {
    counters::count_by(counters::REFUSALS, "reason", "over_share");
    JobReply::NotDone { retry_after_ms }
}
