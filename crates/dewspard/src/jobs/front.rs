/*!
The callers' API server. Any node accepts jobs and answers queries.

A job is accepted once it is stored. A write without an answer may still take
effect, so the caller is told that the outcome is unknown, never that the job
was refused. Repeating the write is harmless, because it is conditional on the
absence of the job.

For the same reason a job that isn't there may still be accepted later, by a
write that is on its way. So cancelling such a job stores it as cancelled: from
then on no write can accept it.
*/

use {
    super::{
        backoff::Backoff,
        counts::CountsReader,
        gate::StoreGate,
        intent, keys,
        progress::NEVER_ACCEPTED,
        readiness::Readiness,
        settings::CallerLimits,
        team_limits::{FollowedTeamLimits, LimitConflict, ShareCheck},
    },
    crate::{clock, counters},
    dewspar::{
        isolation,
        job::{JobId, JobSpec, Phase, Progress, QueueSet},
        schedule::AcceptedJob,
        team::Caller,
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, JobCall, JobOperation, JobProtocol,
        JobReply, KeyValue, NotRead, Versioned,
    },
    metrics::histogram,
    slog::{Logger, info},
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// The deadline of a call where neither the caller nor the queue sets one, in
/// milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;

/// The part of a call's time that is reserved for sending the response, in
/// milliseconds: a few times the network latency to callers.
const RESPONSE_RESERVE_MS: u64 = 100;

/// How often a call that certainly had no effect is retried.
const MAX_RETRIES: u32 = 2;

/// How many versions of the limits on teams a submission is tried with; they
/// change once a second.
const MAX_LIMIT_CHANGES: u32 = 4;

/// When callers that weren't served should retry, in milliseconds: about the
/// time after which a node that can't reach the store gets no more callers.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// The API server's state, shared by all connections.
pub(super) struct Frontend<K, P> {
    pub(super) store: K,
    pub(super) protocol: P,
    pub(super) reader: intent::Reader,
    pub(super) readiness: Readiness,
    pub(super) gate: StoreGate<K>,
    /// The shortest lease that the store grants, in milliseconds.
    pub(super) min_lease_ms: u64,
    pub(super) counts: tokio::sync::Mutex<CountsReader>,
    /// The limits on what teams submit.
    pub(super) limits: FollowedTeamLimits,
    /// What a request may take.
    pub(super) caller_limits: CallerLimits,
    pub(super) log: Logger,
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Answers a call whose body arrived as a whole.
    pub(super) async fn reply(
        &self,
        head: &hyper::http::request::Parts,
        body: &[u8],
        arrived: Instant,
    ) -> JobReply {
        let snapshot = self.reader.borrow().clone();
        let Some(queues) = &snapshot.intent.queues else {
            counters::count_by(counters::REFUSALS, "reason", "no_config");
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        };
        let call = match self.protocol.read(queues, head, body) {
            // The configuration in use may lack the newest queue or a team's
            // newest key, or still have a key that was taken away.
            Ok(JobCall { caller: Caller::Team(_), .. })
            | Err(NotRead::Unauthorized(_) | NotRead::NoSuchQueue)
                if !self.readiness.is_current() =>
            {
                counters::count_by(counters::REFUSALS, "reason", "stale_keys");
                info!(self.log, "call: refused"; "path" => head.uri.path(),
                    "version" => queues.version(),
                    "config_age_ms" => snapshot.age_ms(),
                    "reason" => "the queues or keys may be out of date");
                return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
            }
            Ok(call) => call,
            Err(reason) => {
                info!(self.log, "call: not read"; "path" => head.uri.path(),
                    "version" => queues.version(), "reason" => ?reason);
                let reply = JobReply::from(reason);
                let outcome = outcome_name(&reply);
                counters::count_by(counters::JOB_CALLS, "outcome", outcome);
                return reply;
            }
        };
        let reply = self.execute(&call, queues, arrived).await;
        self.record_call(&call, queues, &snapshot, &reply, arrived);
        reply
    }

    fn record_call(
        &self,
        call: &JobCall,
        queues: &QueueSet,
        snapshot: &intent::Snapshot,
        reply: &JobReply,
        arrived: Instant,
    ) {
        let took = arrived.elapsed();
        let (operation, id) = match &call.operation {
            JobOperation::Submit { id, .. } => ("submit", Some(id)),
            JobOperation::Status { id } => ("status", Some(id)),
            JobOperation::Cancel { id } => ("cancel", Some(id)),
            JobOperation::Pending => ("pending", None),
            JobOperation::List => ("list", None),
        };
        let outcome = outcome_name(reply);
        let count = match reply {
            JobReply::Pending(count) => Some(*count),
            _ => None,
        };
        info!(self.log, "call: answered"; "operation" => operation,
            "job" => id.map(JobId::to_string), "queue" => &call.queue,
            "team" => call.caller.team().map(|team| &team.name),
            "version" => queues.version(),
            "config_age_ms" => snapshot.age_ms(),
            "deadline_ms" => call.deadline_ms, "outcome" => outcome,
            "count" => count,
            "took_ms" => took.as_millis() as u64);
        counters::count_by(counters::JOB_CALLS, "outcome", outcome);
        histogram!(counters::JOB_CALL_TIME).record(took.as_secs_f64());
    }

    async fn execute(
        &self,
        call: &JobCall,
        queues: &QueueSet,
        arrived: Instant,
    ) -> JobReply {
        let timeout_ms = queues
            .named(&call.queue)
            .map(|queue| queue.timeout_ms)
            .filter(|timeout_ms| *timeout_ms > 0)
            .unwrap_or(DEFAULT_DEADLINE_MS);
        let requested_ms = call.deadline_ms.unwrap_or(timeout_ms);
        let deadline_ms = requested_ms.min(timeout_ms);
        let remaining_ms = deadline_ms.saturating_sub(RESPONSE_RESERVE_MS);
        let deadline = arrived + Duration::from_millis(remaining_ms);
        if let Some(reply) = self.refusal_if_isolated() {
            return reply;
        }
        match &call.operation {
            JobOperation::Submit { id, spec } => {
                self.submit(queues, *id, spec, &call.caller, deadline).await
            }
            JobOperation::Status { id } => {
                let reading = self.status(*id, &call.caller, deadline);
                self.unless_isolated(reading).await
            }
            JobOperation::Cancel { id } => {
                self.cancel(*id, &call.caller, deadline).await
            }
            JobOperation::Pending => {
                let reading = self.pending(&call.queue, deadline);
                self.unless_isolated(reading).await
            }
            JobOperation::List => {
                let reading = self.list(&call.queue, &call.caller, deadline);
                self.unless_isolated(reading).await
            }
        }
    }

    /// Returns the refusal of a call that had no effect if this node is cut off
    /// with its data hall.
    fn refusal_if_isolated(&self) -> Option<JobReply> {
        let since_ms = self.readiness.isolated_since_ms()?;
        counters::count_by(counters::REFUSALS, "reason", "cut_off");
        let retry_after_ms =
            isolation::retry_after_ms(since_ms, clock::now_ms());
        Some(JobReply::NotDone { retry_after_ms })
    }

    /// Returns a read's reply, or a refusal once this node is cut off with its
    /// data hall: the read would only wait for its deadline.
    async fn unless_isolated(
        &self,
        reading: impl Future<Output = JobReply>,
    ) -> JobReply {
        tokio::select! {
            reply = reading => reply,
            () = self.readiness.wait_until_isolated() => {
                self.refusal_if_isolated().unwrap_or(JobReply::NotDone {
                    retry_after_ms: RETRY_AFTER_MS,
                })
            }
        }
    }

    async fn submit(
        &self,
        queues: &QueueSet,
        id: JobId,
        spec: &JobSpec,
        caller: &Caller,
        deadline: Instant,
    ) -> JobReply {
        if !self.readiness.is_current() {
            counters::count_by(counters::REFUSALS, "reason", "stale_config");
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        }
        let terms = queues.named(&spec.queue).map(|q| q.terms.clone());
        let job = AcceptedJob {
            spec: spec.clone(),
            terms: terms.unwrap_or_default(),
            accepted_at_ms: clock::unix_ms(),
            team: caller.team().cloned(),
        };
        let pool = &job.terms.pool;
        // Before anything is waited for: by then another node may have refused
        // the job, and a newer version may accept it.
        let known = self.limits_at_arrival(id, pool, caller);
        // OK because a job holds only what JSON can write.
        let value = serde_json::to_vec(&job).expect("plain JSON");
        if self.gate.admit(deadline).await.is_err() {
            if let Some(reply) = self.refusal_if_isolated() {
                return reply;
            }
            counters::count_by(counters::REFUSALS, "reason", "store_out");
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        }
        let mut check =
            self.check_share(id, pool, caller, known, deadline).await;
        for _ in 0..MAX_LIMIT_CHANGES {
            let limits_version = match check {
                ShareCheck::Reply(reply) => return reply,
                ShareCheck::Unlimited => None,
                ShareCheck::Admitted { version } => Some(version),
            };
            let batch = acceptance(id, value.clone(), limits_version);
            let requested_ms = clock::now_ms();
            match self.write(&batch, deadline).await {
                WriteResult::Done => return JobReply::Accepted,
                WriteResult::Conflict(found) => {
                    let is_job = |item: &Versioned| {
                        item.key != keys::TEAM_LIMITS && item.version > 0
                    };
                    // The job is already stored, perhaps by an earlier attempt
                    // of this call.
                    let is_known = found.iter().any(is_job);
                    let Some(version) = limits_version.filter(|_| !is_known)
                    else {
                        return self.reply_to_known(id, &found, caller);
                    };
                    let found = &found;
                    let conflict =
                        LimitConflict { version, found, requested_ms };
                    check = self
                        .check_changed_limits(
                            id, pool, caller, conflict, deadline,
                        )
                        .await;
                }
                WriteResult::NotDone => {
                    counters::count_by(counters::REFUSALS, "reason", "store");
                    let retry_after_ms = RETRY_AFTER_MS;
                    return JobReply::NotDone { retry_after_ms };
                }
                WriteResult::Rejected(error) => {
                    counters::count_by(
                        counters::REFUSALS,
                        "reason",
                        "rejected",
                    );
                    let reason = format!("job: can't be stored: {error}");
                    return JobReply::Invalid(reason);
                }
                WriteResult::Unknown => return JobReply::Unknown,
            }
        }
        // The limits change faster than they should, so what the conflicts
        // listed may not be all.
        JobReply::Unknown
    }

    /// Returns the answer to a submission of a job that the store already has.
    fn reply_to_known(
        &self,
        id: JobId,
        found: &[Versioned],
        caller: &Caller,
    ) -> JobReply {
        let jobs = found.iter().filter(|item| item.key != keys::TEAM_LIMITS);
        let mut owners = jobs.filter_map(|item| self.owner_in(id, item));
        if owners.all(|owner| caller.may_access(&owner)) {
            JobReply::Accepted
        } else {
            let reason = "path: the job's identifier is in use".to_owned();
            JobReply::Invalid(reason)
        }
    }

    async fn cancel(
        &self,
        id: JobId,
        caller: &Caller,
        deadline: Instant,
    ) -> JobReply {
        let mut phase = self.phase(id, caller, deadline).await;
        if let Ok(None) = phase {
            let batch = cancellation_before_acceptance(id, caller);
            let result = self.write(&batch, deadline).await;
            if !matches!(result, WriteResult::Conflict(_)) {
                return cancel_reply(&result);
            }
            // The job has been stored since, or is another team's.
            phase = self.phase(id, caller, deadline).await;
        }
        match phase {
            Err(reply) => reply,
            Ok(None) => JobReply::NoSuchJob,
            Ok(Some(phase)) if phase.is_final() => JobReply::Cancelled,
            Ok(Some(_)) => {
                let batch = Batch::default()
                    .put(&keys::cancelled(id), Vec::new())
                    .put(keys::LAST_CHANGE, Vec::new());
                cancel_reply(&self.write(&batch, deadline).await)
            }
        }
    }

    async fn status(
        &self,
        id: JobId,
        caller: &Caller,
        deadline: Instant,
    ) -> JobReply {
        match self.phase(id, caller, deadline).await {
            Err(reply) => reply,
            Ok(Some(phase)) => JobReply::State(phase),
            Ok(None) => JobReply::NoSuchJob,
        }
    }

    /// Writes a batch, with retries: until the deadline once a write may have
    /// taken effect, and only a few times while all have certainly failed. It
    /// ends as soon as this node is cut off with its data hall.
    async fn write(&self, batch: &Batch, deadline: Instant) -> WriteResult {
        let mut may_be_done = false;
        let mut retries = 0;
        let mut backoff = Backoff::default();
        loop {
            let sent = self.gate.begin_call();
            let answered = tokio::select! {
                biased;
                answered = timeout_at(deadline, self.store.commit(batch)) => {
                    answered
                }
                () = self.readiness.wait_until_isolated() => {
                    return WriteResult::Unknown;
                }
            };
            match answered {
                Ok(Ok(commit)) => {
                    sent.answered();
                    return match commit {
                        Commit::Done(_) => WriteResult::Done,
                        Commit::Conflict(found) => {
                            WriteResult::Conflict(found)
                        }
                    };
                }
                Ok(Err(error)) => {
                    sent.failed();
                    may_be_done |= error.may_have_taken_effect();
                    self.note_failure(&error);
                    let is_rejected = matches!(error, Error::Rejected { .. });
                    if is_rejected && !may_be_done {
                        return WriteResult::Rejected(error);
                    }
                }
                Err(_) => may_be_done = true,
            }
            retries += 1;
            let gives_up = retries > MAX_RETRIES || self.gate.is_unavailable();
            if !may_be_done && gives_up {
                return WriteResult::NotDone;
            }
            let goes_on = tokio::select! {
                goes_on = backoff.wait_before(deadline) => goes_on,
                () = self.readiness.wait_until_isolated() => false,
            };
            if !goes_on {
                let unknown = WriteResult::Unknown;
                return if may_be_done {
                    unknown
                } else {
                    WriteResult::NotDone
                };
            }
        }
    }

    pub(super) fn note_failure(&self, error: &Error) {
        counters::platform_failure(error);
        info!(self.log, "call: store gave no result"; "error" => %error);
    }
}

/// Returns the write that accepts a job. With a version of the limits on teams,
/// it takes effect only as long as these are unchanged.
fn acceptance(
    id: JobId,
    value: Vec<u8>,
    limits_version: Option<u64>,
) -> Batch {
    let batch = Batch::default()
        .when(&keys::accepted(id), Expected::Absent)
        .when(&keys::progress(id), Expected::Absent)
        .put(&keys::accepted(id), value)
        .put(keys::LAST_CHANGE, Vec::new());
    match limits_version {
        Some(version) => {
            batch.when(keys::TEAM_LIMITS, Expected::from_version(version))
        }
        None => batch,
    }
}

/// Returns the write that cancels a job that isn't stored: it stores the job
/// as cancelled, so that a write that accepts it takes no effect any more. The
/// holder learns of it from the feed and deletes it after the time for which
/// finished jobs are kept.
fn cancellation_before_acceptance(id: JobId, caller: &Caller) -> Batch {
    let team = caller.team().map(|team| team.name.clone());
    let cancelled = Progress {
        phase: Phase::Cancelled,
        finished_at_ms: clock::unix_ms(),
        team: team.unwrap_or_default(),
        ..Progress::default()
    };
    // OK because progress has only values that JSON can represent.
    let value = serde_json::to_vec(&cancelled).expect("plain JSON");
    Batch::default()
        .when(&keys::accepted(id), Expected::Absent)
        .when(&keys::progress(id), Expected::Absent)
        .put(&keys::progress(id), value)
        .put(&keys::cancelled(id), NEVER_ACCEPTED.to_vec())
        .put(keys::LAST_CHANGE, Vec::new())
}

/// Returns the answer to a cancelling whose write had this result.
fn cancel_reply(result: &WriteResult) -> JobReply {
    match result {
        WriteResult::Done | WriteResult::Conflict(_) => JobReply::Cancelled,
        WriteResult::NotDone | WriteResult::Rejected(_) => {
            JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS }
        }
        WriteResult::Unknown => JobReply::Unknown,
    }
}

/// The result of a write.
enum WriteResult {
    Done,
    /// A condition didn't hold; these are the items that exist.
    Conflict(Vec<Versioned>),
    NotDone,
    /// The store never accepts this write.
    Rejected(Error),
    Unknown,
}

fn outcome_name(reply: &JobReply) -> &'static str {
    match reply {
        JobReply::Accepted => "accepted",
        JobReply::NotDone { .. } => "not_done",
        JobReply::Unknown => "unknown",
        JobReply::State(phase) => phase.name(),
        JobReply::Cancelled => "cancel_stored",
        JobReply::Pending(_) => "counted",
        JobReply::Jobs(_) => "listed",
        JobReply::NoSuchJob => "no_such_job",
        JobReply::NoSuchQueue => "no_such_queue",
        JobReply::Unauthorized(_) => "unauthorized",
        JobReply::Invalid(_) => "invalid",
        JobReply::TooLong(_) => "too_long",
        JobReply::NoSuchMethod => "no_such_method",
    }
}
