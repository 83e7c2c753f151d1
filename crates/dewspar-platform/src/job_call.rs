use {
    bytes::Bytes,
    dewspar::{
        job::{JobId, JobSpec, Phase, Queue, QueueSet},
        team::{Caller, KeyDigest},
    },
    hyper::{
        Response,
        header::{AUTHORIZATION, HeaderMap},
        http::request::Parts,
    },
    serde::Serialize,
};

/// The header that says how long a caller waits, in milliseconds.
const DEADLINE: &str = "deadline-ms";

/// Returns how long a caller waits, in milliseconds, if its request says so.
pub fn deadline_in(head: &Parts) -> Option<u64> {
    head.headers.get(DEADLINE)?.to_str().ok()?.parse().ok()
}

/// The longest API key, in bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// The scheme under which a key is shown.
const KEY_SCHEME: &str = "bearer";

/// Returns on whose behalf a call to a queue is made.
///
/// The key is taken from the header `Authorization: Bearer KEY`. It appears in
/// no error.
///
/// # Errors
///
/// Returns [`NotRead::Unauthorized`] if the queue isn't public and the header
/// shows no team's key.
///
/// ```
/// use {
///     dewspar::{
///         job::{Queue, QueueSet},
///         team::{Caller, QueueAccess},
///     },
///     dewspar_platform::{NotRead, caller_of},
///     hyper::header::HeaderMap,
/// };
///
/// let queues = QueueSet::default();
/// let none = HeaderMap::new();
/// let public = Queue::default();
/// assert_eq!(caller_of(&none, &public, &queues), Ok(Caller::Public));
/// let closed = Queue { access: QueueAccess::Teams, ..Queue::default() };
/// let refused = caller_of(&none, &closed, &queues);
/// assert!(matches!(refused, Err(NotRead::Unauthorized(_))));
/// ```
pub fn caller_of(
    headers: &HeaderMap,
    queue: &Queue,
    queues: &QueueSet,
) -> Result<Caller, NotRead> {
    // A public queue asks for no key, so a bad one does no harm there.
    if let Ok(caller) = queues.access(queue, None) {
        return Ok(caller);
    }
    let key = key_in(headers).map_err(NotRead::Unauthorized)?;
    let caller = queues.access(queue, Some(&key));
    caller.map_err(|_| {
        NotRead::Unauthorized("header `authorization`: no team has this key")
    })
}

/// Returns the digest of the key that a request shows.
fn key_in(headers: &HeaderMap) -> Result<KeyDigest, &'static str> {
    let mut shown = headers.get_all(AUTHORIZATION).iter();
    let value = shown.next().ok_or("header `authorization` is missing")?;
    if shown.next().is_some() {
        return Err("header `authorization` is given more than once");
    }
    let value = value
        .to_str()
        .map_err(|_| "header `authorization` has characters beyond ASCII")?;
    let (scheme, key) = value
        .trim()
        .split_once(' ')
        .ok_or("header `authorization` has no scheme, such as `Bearer`")?;
    if !scheme.eq_ignore_ascii_case(KEY_SCHEME) {
        return Err("header `authorization` has a scheme other than `Bearer`");
    }
    if key.len() > MAX_KEY_BYTES {
        return Err("header `authorization` is longer than 1024 bytes");
    }
    Ok(KeyDigest::of(key.trim().as_bytes()))
}

/// A caller's call on jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCall {
    /// The queue's name.
    pub queue: String,
    /// How long the caller waits for the answer, in milliseconds; `None`
    /// where it doesn't say.
    pub deadline_ms: Option<u64>,
    /// On whose behalf it is made.
    pub caller: Caller,
    /// What it wants.
    pub operation: JobOperation,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum JobOperation {
    /// Accept a job.
    Submit {
        /// The job's identifier, chosen by the caller.
        id: JobId,
        /// The job.
        spec: JobSpec,
    },
    /// Say how far a job has come.
    Status {
        /// The job's identifier.
        id: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The job's identifier.
        id: JobId,
    },
    /// Count the queue's jobs of which nothing has started.
    Pending,
    /// List the queue's jobs that aren't over.
    List,
}

/// A job of a list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ListedJob {
    /// Its identifier.
    pub id: JobId,
    /// How far it has come.
    pub phase: Phase,
}

/// The answer to a call on jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobReply {
    /// The job is stored and will be run.
    Accepted,
    /// The call had no effect and never will; come back later.
    NotDone {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The call may or may not have had its effect; ask again.
    Unknown,
    /// The job's phase.
    State(Phase),
    /// The job is cancelled, or was over before.
    Cancelled,
    /// How many jobs of the queue wait.
    Pending(u64),
    /// The queue's jobs that aren't over.
    Jobs(Vec<ListedJob>),
    /// There is no such job.
    NoSuchJob,
    /// There is no such queue.
    NoSuchQueue,
    /// The caller shows no key that opens the queue; this says what is wrong
    /// with the header, without quoting it.
    Unauthorized(&'static str),
    /// The call can't be read; this says which field is at fault.
    Invalid(String),
    /// The body is longer than any valid call; this says what the limit is.
    TooLong(String),
    /// The method isn't one for this path.
    NoSuchMethod,
}

/// Why a request is no call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRead {
    /// There is no such queue.
    NoSuchQueue,
    /// The caller shows no key that opens the queue; this says what is wrong
    /// with the header, without quoting it.
    Unauthorized(&'static str),
    /// The path or the body can't be read; this says which field is at fault.
    Invalid(String),
    /// The method isn't one for this path.
    NoSuchMethod,
}

impl From<NotRead> for JobReply {
    fn from(reason: NotRead) -> JobReply {
        match reason {
            NotRead::NoSuchQueue => JobReply::NoSuchQueue,
            NotRead::Unauthorized(reason) => JobReply::Unauthorized(reason),
            NotRead::Invalid(reason) => JobReply::Invalid(reason),
            NotRead::NoSuchMethod => JobReply::NoSuchMethod,
        }
    }
}

/// How callers' calls on jobs and their answers are spelled.
pub trait JobProtocol: Clone + Send + Sync + 'static {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is no call.
    fn read(
        &self,
        queues: &QueueSet,
        head: &Parts,
        body: &[u8],
    ) -> Result<JobCall, NotRead>;

    /// Writes an answer.
    fn write(&self, reply: &JobReply) -> Response<Bytes>;
}
