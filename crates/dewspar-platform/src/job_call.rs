use {
    bytes::Bytes,
    dewspar::job::{JobId, JobSpec, Phase, QueueSet},
    hyper::{Response, http::request::Parts},
    serde::Serialize,
};

/// The header that says how long a caller waits, in milliseconds.
const DEADLINE: &str = "deadline-ms";

/// Returns how long a caller waits, in milliseconds, if its request says so.
pub fn deadline_in(head: &Parts) -> Option<u64> {
    head.headers.get(DEADLINE)?.to_str().ok()?.parse().ok()
}

/// A caller's call on jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCall {
    /// The queue's name.
    pub queue: String,
    /// How long the caller waits for the answer, in milliseconds; `None`
    /// where it doesn't say.
    pub deadline_ms: Option<u64>,
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
    /// The call can't be read; this says which field is at fault.
    Invalid(String),
    /// The method isn't one for this path.
    NoSuchMethod,
}

/// Why a request is no call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRead {
    /// There is no such queue.
    NoSuchQueue,
    /// The path or the body can't be read; this says which field is at fault.
    Invalid(String),
    /// The method isn't one for this path.
    NoSuchMethod,
}

impl From<NotRead> for JobReply {
    fn from(reason: NotRead) -> JobReply {
        match reason {
            NotRead::NoSuchQueue => JobReply::NoSuchQueue,
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
