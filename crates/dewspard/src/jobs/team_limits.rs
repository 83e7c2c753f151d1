/*!
The limits on what teams submit: how the holder stores them, how nodes follow
them, and how a submission is refused.

See [`TeamLimits`] for the decision. The holder writes the record while there
are limits, at most once a second, and once more when there are none any more.
Nodes read it as they read other shared keys.

A refusal says that the job was not run, so it must be certain that the job
isn't stored. A caller that got no answer submits the same job again, perhaps
to another node. So before a node refuses a job, it looks for it in the store,
and it refuses none of which a write of its own got no answer. If it can't
look, it goes on as without limits, with the conditional write.
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
        team::Caller,
    },
    dewspar_platform::{
        Batch, Expected, Fleet, JobProtocol, JobReply, JobWorkers, KeyValue,
        Purpose,
    },
    slog::Logger,
    std::time::Duration,
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

/// Reads the record for as long as the node takes callers, while the
/// configuration has teams with a weight.
pub(super) async fn follow<K: KeyValue>(
    store: K,
    reader: intent::Reader,
    sender: watch::Sender<FollowedLimits>,
    log: Logger,
) {
    let store = store.sharing_reads(SHARE_INTERVAL_MS);
    let mut tick = interval(FOLLOW_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !sender.is_closed() {
        tick.tick().await;
        if !has_weights(&reader) {
            continue;
        }
        let requested_ms = clock::now_ms();
        match store.get(keys::TEAM_LIMITS).await {
            Ok(found) => {
                let version = found.as_ref().map_or(0, |found| found.version);
                let read = || {
                    let limits = found.as_ref().and_then(|found| {
                        passed_over::read(&log, "limits on teams", found)
                    });
                    limits.unwrap_or_default()
                };
                sender.send_modify(|followed| {
                    followed.record_read(version, requested_ms, read);
                });
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

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Returns the answer to a submission that is beyond its team's share
    /// while there is no room for it; `None` if it is to be stored.
    pub(super) async fn reply_over_share(
        &self,
        id: JobId,
        pool: &str,
        caller: &Caller,
        deadline: Instant,
    ) -> Option<JobReply> {
        let team = caller.team()?;
        let now_ms = clock::now_ms();
        let decision =
            self.limits.borrow().decide(pool, &team.name, id, now_ms);
        let SubmissionDecision::Refuse { retry_after_ms } = decision else {
            return None;
        };
        if self.unanswered.contains(id, now_ms) {
            return None;
        }
        let deadline = deadline.min(Instant::now() + LOOKUP_TIMEOUT);
        match self.phase(id, caller, deadline).await {
            Ok(None) => {
                counters::count_by(counters::REFUSALS, "reason", "over_share");
                Some(JobReply::NotDone { retry_after_ms })
            }
            Ok(Some(_)) => Some(JobReply::Accepted),
            Err(_) => None,
        }
    }
}
