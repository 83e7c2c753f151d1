/*!
The project's own REST API for jobs, as a [`JobProtocol`].

| call | effect |
|---|---|
| `POST /v1/queues/QUEUE/jobs/ID` | submits a job: `payload`, `steps`, `repeat` |
| `GET /v1/queues/QUEUE/jobs/ID` | returns its progress: `phase` |
| `DELETE /v1/queues/QUEUE/jobs/ID` | cancels it |
| `GET /v1/queues/QUEUE/jobs` | lists unfinished jobs: `jobs` |
| `GET /v1/queues/QUEUE` | counts waiting jobs: `pending` |

Errors are problem details. 503 with `Retry-After` means that a job was not
accepted and will never run; 504 means that the outcome is unknown.
*/

use {
    bytes::Bytes,
    dewspar::job::{
        InvalidId, JobSpec, QueueSet, Repeat, StepSpec, read_steps,
    },
    dewspar_platform::{
        JobCall, JobOperation, JobProtocol, JobReply, NotRead, caller_of,
        deadline_in,
    },
    hyper::{
        Method, Response, StatusCode,
        header::{self, HeaderValue},
        http::request::Parts,
    },
    serde::Deserialize,
    serde_json::{Value, json},
};

/// The prefix of all paths.
const QUEUES_PATH: &str = "/v1/queues/";

/// The project's own REST API.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestProtocol;

/// The body of a submit request.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct JobBody {
    payload: String,
    #[serde(deserialize_with = "read_steps")]
    steps: Vec<StepSpec>,
    repeat: Option<Repeat>,
}

impl JobProtocol for RestProtocol {
    fn read(
        &self,
        queues: &QueueSet,
        head: &Parts,
        body: &[u8],
    ) -> Result<JobCall, NotRead> {
        let rest = head.uri.path().strip_prefix(QUEUES_PATH);
        let rest = rest.ok_or(NotRead::NoSuchQueue)?;
        if let Some(queue) = rest.strip_suffix("/jobs") {
            return list(queues, queue, head);
        }
        let (queue, job) = match rest.split_once("/jobs/") {
            Some((queue, job)) => (queue, Some(job)),
            None => (rest, None),
        };
        let queue = queues.named(queue).ok_or(NotRead::NoSuchQueue)?;
        let deadline_ms = deadline_in(head);
        let caller = caller_of(&head.headers, queue, queues)?;
        let operation = match job {
            None if head.method == Method::GET => JobOperation::Pending,
            None => return Err(NotRead::NoSuchMethod),
            Some(job) => operation(&queue.name, &head.method, job, body)?,
        };
        Ok(JobCall {
            queue: queue.name.clone(),
            deadline_ms,
            caller,
            operation,
        })
    }

    fn write(&self, reply: &JobReply) -> Response<Bytes> {
        match reply {
            JobReply::Accepted => {
                answer(StatusCode::CREATED, &json!({ "accepted": true }))
            }
            JobReply::Cancelled => {
                answer(StatusCode::OK, &json!({ "cancelled": true }))
            }
            JobReply::State(phase) => {
                answer(StatusCode::OK, &json!({ "phase": phase }))
            }
            JobReply::Pending(pending) => {
                answer(StatusCode::OK, &json!({ "pending": pending }))
            }
            JobReply::Jobs(jobs) => {
                answer(StatusCode::OK, &json!({ "jobs": jobs }))
            }
            JobReply::NotDone { retry_after_ms } => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                let detail = "not done, and never will be: come back later";
                let mut response = problem(status, "not-done", detail);
                let seconds = retry_after_ms.div_ceil(1_000);
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
                response
            }
            JobReply::Unknown => problem(
                StatusCode::GATEWAY_TIMEOUT,
                "unknown",
                "nobody knows whether it was done: ask again",
            ),
            JobReply::NoSuchJob => {
                problem(StatusCode::NOT_FOUND, "no-job", "no such job")
            }
            JobReply::NoSuchQueue => {
                problem(StatusCode::NOT_FOUND, "no-queue", "no such queue")
            }
            JobReply::Unauthorized(reason) => {
                let status = StatusCode::UNAUTHORIZED;
                let mut response = problem(status, "unauthorized", reason);
                let scheme = HeaderValue::from_static("Bearer");
                response
                    .headers_mut()
                    .insert(header::WWW_AUTHENTICATE, scheme);
                response
            }
            JobReply::NoSuchMethod => problem(
                StatusCode::METHOD_NOT_ALLOWED,
                "no-method",
                "no such method for this path",
            ),
            JobReply::Invalid(reason) => {
                problem(StatusCode::BAD_REQUEST, "invalid", reason)
            }
            JobReply::TooLong(reason) => {
                problem(StatusCode::PAYLOAD_TOO_LARGE, "too-long", reason)
            }
        }
    }
}

fn list(
    queues: &QueueSet,
    queue: &str,
    head: &Parts,
) -> Result<JobCall, NotRead> {
    let queue = queues.named(queue).ok_or(NotRead::NoSuchQueue)?;
    if head.method != Method::GET {
        return Err(NotRead::NoSuchMethod);
    }
    Ok(JobCall {
        queue: queue.name.clone(),
        deadline_ms: deadline_in(head),
        caller: caller_of(&head.headers, queue, queues)?,
        operation: JobOperation::List,
    })
}

fn operation(
    queue: &str,
    method: &Method,
    job: &str,
    body: &[u8],
) -> Result<JobOperation, NotRead> {
    let id = job.parse().map_err(|error: InvalidId| {
        NotRead::Invalid(format!("path: {error}"))
    })?;
    match *method {
        Method::GET => Ok(JobOperation::Status { id }),
        Method::DELETE => Ok(JobOperation::Cancel { id }),
        Method::POST => {
            let spec = spec(queue, body)?;
            Ok(JobOperation::Submit { id, spec })
        }
        _ => Err(NotRead::NoSuchMethod),
    }
}

fn spec(queue: &str, body: &[u8]) -> Result<JobSpec, NotRead> {
    let json = &mut serde_json::Deserializer::from_slice(body);
    let body: JobBody =
        serde_path_to_error::deserialize(json).map_err(|error| {
            let (path, inner) = (error.path().to_string(), error.inner());
            NotRead::Invalid(format!("field `{path}`: {inner}"))
        })?;
    let JobBody { payload, steps, repeat } = body;
    let spec = JobSpec { queue: queue.to_owned(), payload, steps, repeat };
    spec.check().map_err(|error| NotRead::Invalid(error.to_string()))?;
    Ok(spec)
}

fn answer(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn problem(status: StatusCode, name: &str, detail: &str) -> Response<Bytes> {
    let body = json!({
        "type": format!("urn:dewspar:problem:{name}"),
        "status": status.as_u16(),
        "detail": detail,
    });
    let mut response = answer(status, &body);
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
