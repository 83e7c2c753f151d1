use {
    super::{
        answer::{self, Answer, Outcome, Problem, REQUEST_ID},
        exchange::{self, Attempt},
        filing,
        kept::KeptAnswers,
        request::{self, Asked, Deadlines, Kind},
    },
    crate::{
        clock, counters,
        dispatch::{Dispatchers, Refusal, Take},
        journal::Filings,
        settings::Callers,
        view::ViewReader,
    },
    bytes::Bytes,
    dewspar::once::Key,
    dewspar_platform::inbound::{BodyLimits, BodyRefusal, Call},
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming,
        header::HeaderValue,
    },
    slog::{Logger, debug},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, timeout},
    },
};

/// The path at which callers get a fresh key for a filing.
const KEY_PATH: &str = "/-/key";

/// When to come back to a node that isn't ready, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// When to come back when the requests of all callers take too much memory, in
/// milliseconds.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// What serves callers; shared by all their connections.
#[derive(Debug)]
pub struct Proxy {
    id_prefix: String,
    next_id: AtomicU64,
    deadlines: Deadlines,
    max_body: usize,
    pub(super) max_head: usize,
    max_answer: usize,
    ready: watch::Receiver<bool>,
    view: ViewReader,
    dispatchers: Dispatchers,
    filings: Filings,
    kept: KeptAnswers,
    log: Logger,
}

/// A request on its way to a runner.
#[derive(Clone, Debug)]
pub(super) struct Forward {
    service: String,
    partner: String,
    weight: u32,
    deadline_ms: u64,
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    may_repeat: bool,
}

impl Forward {
    /// Returns the bytes that tell this request from another.
    pub(super) fn identity(&self) -> Vec<u8> {
        let head =
            format!("{} {} {}\n", self.method, self.service, self.target);
        [head.as_bytes(), &self.body].concat()
    }

    fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// What trying the runners came to.
#[derive(Debug)]
pub(super) enum Tried {
    /// A runner's whole answer.
    Answered(Response<Bytes>),
    /// The request certainly did not run.
    NotRun(Problem),
    /// Nobody knows whether it ran.
    Unknown(Problem),
}

impl Proxy {
    /// Makes what serves callers.
    pub fn new(
        node: &str,
        settings: &Callers,
        ready: watch::Receiver<bool>,
        view: ViewReader,
        dispatchers: Dispatchers,
        filings: Filings,
        log: Logger,
    ) -> Proxy {
        Proxy {
            id_prefix: format!("{node}-{:x}", clock::incarnation()),
            next_id: AtomicU64::new(1),
            deadlines: Deadlines {
                default_ms: settings.default_deadline_ms,
                max_ms: settings.max_deadline_ms,
            },
            max_body: usize::try_from(settings.max_body_bytes)
                .unwrap_or(usize::MAX),
            max_head: usize::try_from(settings.max_head_bytes)
                .unwrap_or(usize::MAX),
            max_answer: usize::try_from(settings.max_answer_bytes)
                .unwrap_or(usize::MAX),
            ready,
            view,
            dispatchers,
            filings,
            kept: KeptAnswers::default(),
            log,
        }
    }

    pub(super) fn filings(&self) -> &Filings {
        &self.filings
    }

    pub(super) fn kept(&self) -> &KeptAnswers {
        &self.kept
    }

    /// Answers one request.
    pub(super) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        call: Call,
    ) -> Answer {
        let since = Instant::now();
        let id = self.request_id(request.headers());
        let mut answer = match self.serve(request, call, &id).await {
            Ok(answer) => answer,
            Err(problem) => {
                let reason = problem.reason;
                counters::count_by(counters::REFUSALS, "reason", reason);
                debug!(self.log, "proxy: request refused";
                    "request" => id.to_str().unwrap_or(""),
                    "reason" => reason, "detail" => &problem.detail);
                problem.into_answer()
            }
        };
        let told = answer.headers().get(answer::OUTCOME);
        let told = match told.map(HeaderValue::as_bytes) {
            Some(b"not-run") => "not-run",
            Some(b"unknown") => "unknown",
            _ => "ran",
        };
        counters::count_by(counters::REQUESTS, "outcome", told);
        counters::record_since(counters::REQUEST_TIME, since);
        answer.headers_mut().insert(REQUEST_ID, id);
        answer
    }

    /// Returns the request's own identifier, or a new one.
    fn request_id(&self, headers: &HeaderMap) -> HeaderValue {
        if let Some(id) = headers.get(REQUEST_ID) {
            return id.clone();
        }
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.id_prefix);
        // OK because a node's name has only letters, digits and hyphens.
        HeaderValue::from_str(&id).expect("an identifier is a header's value")
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
        call: Call,
        id: &HeaderValue,
    ) -> Result<Answer, Problem> {
        if request.uri().path() == KEY_PATH {
            return Ok(fresh_key());
        }
        if !*self.ready.borrow() {
            let detail = "this node isn't ready; another one may be";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Problem::not_run(status, "not-ready", detail)
                .retry_after_ms(NOT_READY_RETRY_MS));
        }
        let (parts, body) = request.into_parts();
        let asked = request::read(&parts, self.deadlines)?;
        // The connection counts as served until the answer is there.
        let (body, call) =
            self.read_body(body, call, asked.deadline_ms).await?;
        let forward = self.forward(parts, &asked, body, id)?;
        let answer = match asked.kind {
            Kind::Repeatable => match self.try_runners(&forward).await {
                Tried::Answered(answer) => Ok(answer.map(Full::new)),
                Tried::NotRun(problem) | Tried::Unknown(problem) => {
                    Err(problem)
                }
            },
            // A task of its own, since the caller may hang up halfway.
            Kind::Filing(key) => {
                let proxy = Arc::clone(self);
                let run = tokio::spawn(filing::run(proxy, key, forward));
                run.await.unwrap_or_else(|error| {
                    let status = StatusCode::INTERNAL_SERVER_ERROR;
                    let detail = error.to_string();
                    Err(Problem::unknown(status, "internal", detail))
                })
            }
        };
        Ok(held_until_sent(answer?, &call).await)
    }

    async fn read_body(
        &self,
        mut body: Incoming,
        mut call: Call,
        deadline_ms: u64,
    ) -> Result<(Bytes, Call), Problem> {
        let limits = BodyLimits {
            max_bytes: self.max_body,
            deadline: Instant::now() + left(deadline_ms),
        };
        match call.read_body(&mut body, limits).await {
            Ok(bytes) => Ok((bytes, call)),
            Err(refusal) => {
                tokio::spawn(call.discard(body));
                Err(body_refused(&refusal).closing())
            }
        }
    }

    fn forward(
        &self,
        parts: hyper::http::request::Parts,
        asked: &Asked,
        body: Bytes,
        id: &HeaderValue,
    ) -> Result<Forward, Problem> {
        let view = self.view.borrow().clone();
        let config = &view.config.value;
        let Some(service) = config.service(&asked.service) else {
            let detail = format!("there is no service `{}`", asked.service);
            let status = StatusCode::NOT_FOUND;
            return Err(Problem::not_run(status, "no-service", detail));
        };
        let team = config.team(&service.team);
        let owner = team.map_or("", |team| team.partner.as_str());
        let partner = asked.partner.as_deref().unwrap_or(owner);
        let mut headers = parts.headers;
        request::remove_hop_by_hop(&mut headers);
        headers.insert(REQUEST_ID, id.clone());
        headers
            .insert(hyper::header::HOST, HeaderValue::from_static("runner"));
        Ok(Forward {
            service: asked.service.clone(),
            partner: partner.to_owned(),
            weight: team.map_or(1, |team| team.weight),
            deadline_ms: asked.deadline_ms,
            method: parts.method,
            target: asked.target.clone(),
            headers,
            body,
            may_repeat: asked.kind == Kind::Repeatable,
        })
    }

    /// Tries runners until one answers, or no further try is allowed.
    pub(super) async fn try_runners(&self, forward: &Forward) -> Tried {
        let Some(dispatcher) = self.dispatchers.get(&forward.service) else {
            let detail = format!("there is no service `{}`", forward.service);
            let status = StatusCode::NOT_FOUND;
            return Tried::NotRun(Problem::not_run(
                status,
                "no-service",
                detail,
            ));
        };
        // What the last attempt left behind, if there was one.
        let mut lost = None;
        let mut take = Take {
            partner: forward.partner.clone(),
            weight: forward.weight,
            deadline_ms: forward.deadline_ms,
            retry: false,
        };
        loop {
            let slot = match dispatcher.take(&take).await {
                Ok(slot) => slot,
                Err(refusal) => return given_up(lost, &refusal),
            };
            let attempt =
                exchange::attempt(slot, forward.to_request(), self.max_answer);
            let attempt =
                match timeout(left(forward.deadline_ms), attempt).await {
                    Ok(attempt) => attempt,
                    Err(_) => return timed_out(),
                };
            let again = forward.may_repeat || filing::may_try_again(&attempt);
            let reason = match attempt {
                Attempt::Answered(answer) => {
                    return Tried::Answered(without_hop_by_hop(answer));
                }
                Attempt::NotRun(reason) => reason,
                Attempt::Lost(reason) => {
                    lost = Some(reason);
                    reason
                }
            };
            if !again {
                return given_up(lost, &Refusal::RetryBudget);
            }
            counters::count_by(counters::RETRIES, "reason", reason);
            take.retry = true;
        }
    }
}

fn given_up(lost: Option<&'static str>, refusal: &Refusal) -> Tried {
    if let Some(reason) = lost {
        let detail = format!(
            "a runner took the request and gave no whole answer: {reason}",
        );
        let status = StatusCode::BAD_GATEWAY;
        return Tried::Unknown(Problem::unknown(status, reason, detail));
    }
    let status = match refusal {
        Refusal::Admission(_) | Refusal::Expired => {
            StatusCode::TOO_MANY_REQUESTS
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let detail = match refusal {
        Refusal::Admission(refusal) => refusal.to_string(),
        Refusal::Expired => "no slot was free before the deadline".to_owned(),
        Refusal::NoRunner => "no runner of the service is up".to_owned(),
        Refusal::RetryBudget => "too many requests are retried".to_owned(),
        Refusal::Stopping => "this node stops".to_owned(),
    };
    let problem = Problem::not_run(status, refusal.reason_name(), detail)
        .retry_after_ms(refusal.retry_after_ms());
    Tried::NotRun(problem)
}

fn timed_out() -> Tried {
    let detail = "the runner didn't answer before the deadline";
    let status = StatusCode::GATEWAY_TIMEOUT;
    Tried::Unknown(Problem::unknown(status, "timeout", detail))
}

fn body_refused(refusal: &BodyRefusal) -> Problem {
    let detail = format!("the body can't be read: {refusal}");
    let (status, reason) = match refusal {
        BodyRefusal::TooLong { .. } => {
            (StatusCode::PAYLOAD_TOO_LARGE, "bad-body")
        }
        BodyRefusal::Late => return deadline_passed(),
        BodyRefusal::NoRoom => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Problem::not_run(status, "no-memory", detail)
                .retry_after_ms(NO_MEMORY_RETRY_MS);
        }
        BodyRefusal::Broken(_) => (StatusCode::BAD_REQUEST, "bad-body"),
    };
    Problem::not_run(status, reason, detail)
}

fn deadline_passed() -> Problem {
    let detail = "the body didn't arrive before the deadline";
    let status = StatusCode::REQUEST_TIMEOUT;
    Problem::not_run(status, "deadline-passed", detail)
}

fn left(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(clock::now_ms()))
}

fn without_hop_by_hop(mut answer: Response<Bytes>) -> Response<Bytes> {
    let headers = answer.headers_mut();
    request::remove_hop_by_hop(headers);
    answer::mark(headers, Outcome::Ran);
    answer
}

/// Returns an answer whose body counts until it has been sent.
async fn held_until_sent(answer: Answer, call: &Call) -> Answer {
    let (head, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    Response::from_parts(head, Full::new(call.hold_answer(body)))
}

fn fresh_key() -> Answer {
    let random = uuid::Uuid::new_v4().as_u128();
    let key = Key::at(clock::unix_ms(), random);
    let mut answer = Response::new(Full::new(Bytes::from(key.to_string())));
    answer::mark(answer.headers_mut(), Outcome::Ran);
    answer
}
