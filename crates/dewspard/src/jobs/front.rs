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
    bytes::Bytes,
    dewspar::{
        isolation,
        job::{JobId, JobSpec, Phase, Progress, QueueSet},
        schedule::AcceptedJob,
        team::Caller,
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, JobCall, JobOperation, JobProtocol,
        JobReply, KeyValue, NotRead, Versioned, deadline_in,
        inbound::{
            self, BodyLimits, BodyRefusal, Call, Calls, Inbound, InboundStream,
        },
    },
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        header::{self, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    metrics::histogram,
    slog::{Logger, info},
    std::{
        convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, timeout_at},
    },
};

/// How long a connection may take to send the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The latest deadline up to which a body may arrive, in milliseconds.
const MAX_BODY_DEADLINE_MS: u64 = 600_000;

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

/// The running API server.
pub(super) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Returns the address that it listens at.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes connections as they become idle, and waits for that for at most
    /// `max_wait`.
    pub(super) async fn stop(self, max_wait: Duration) {
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout(max_wait, self.done).await;
    }
}

/// Starts the API server at an address, for connections within bounds.
pub(super) async fn serve<K: KeyValue, P: JobProtocol>(
    address: SocketAddr,
    inbound: Inbound,
    front: Arc<Frontend<K, P>>,
) -> io::Result<Server> {
    let listener = inbound::bind(address)?;
    let address = listener.local_addr()?;
    let (stop, mut stopped) = watch::channel(false);
    let done = tokio::spawn(async move {
        let graceful = GracefulShutdown::new();
        loop {
            let (stream, connection, _) = tokio::select! {
                accepted = inbound.accept(&listener) => accepted,
                _ = stopped.changed() => break,
            };
            let calls = connection.calls();
            let serving = serve_calls(stream, calls, Arc::clone(&front));
            tokio::spawn(connection.run(graceful.watch(serving)));
        }
        drop(listener);
        graceful.shutdown().await;
    });
    Ok(Server { address, stop, done })
}

fn serve_calls<K: KeyValue, P: JobProtocol>(
    stream: InboundStream,
    calls: Calls,
    front: Arc<Frontend<K, P>>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error>
+ Send
+ 'static {
    let max_head_bytes = front.caller_limits.max_head_bytes;
    let service = service_fn(move |request| {
        let (front, call) = (Arc::clone(&front), calls.begin());
        async move { Ok::<_, Infallible>(front.handle(request, call).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(usize::try_from(max_head_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service)
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        mut call: Call,
    ) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (head, mut body) = request.into_parts();
        let limits = self.body_limits(&head, arrived);
        let (reply, is_refused) = match call.read_body(&mut body, limits).await
        {
            Ok(body) => (self.reply(&head, &body, arrived).await, false),
            Err(refusal) => (body_refused(&refusal), true),
        };
        let mut response = self.protocol.write(&reply);
        if is_refused || !self.readiness.is_ready() {
            // A refused body may be incomplete. Without one, the caller's next
            // call then goes to a node that is ready: one that isn't stopping
            // and reaches the store.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let response = response.map(|body| Full::new(call.hold_answer(body)));
        if is_refused {
            tokio::spawn(call.discard(body));
        }
        response
    }

    /// Returns the bounds of a request's body: it must have arrived before its
    /// deadline.
    fn body_limits(
        &self,
        head: &hyper::http::request::Parts,
        arrived: Instant,
    ) -> BodyLimits {
        let limits = &self.caller_limits;
        let timeout_ms = deadline_in(head).unwrap_or(limits.max_body_ms);
        let timeout_ms = timeout_ms.min(MAX_BODY_DEADLINE_MS);
        let max_bytes = usize::try_from(limits.max_body_bytes);
        BodyLimits {
            max_bytes: max_bytes.unwrap_or(usize::MAX),
            deadline: arrived + Duration::from_millis(timeout_ms),
        }
    }

    async fn reply(
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

/// Returns the answer to a call whose body was refused: it had no effect.
fn body_refused(refusal: &BodyRefusal) -> JobReply {
    match refusal {
        BodyRefusal::TooLong { .. } => {
            JobReply::TooLong(format!("body: {refusal}"))
        }
        BodyRefusal::Late | BodyRefusal::NoRoom => {
            JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS }
        }
        BodyRefusal::Broken(error) => {
            JobReply::Invalid(format!("body: {error}"))
        }
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
