use {
    super::stored::StoredProgress,
    crate::fields::UnknownFields,
    serde::{Deserialize, Serialize},
};

/// How far a job has come.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; no worker has said that a task began.
    #[default]
    Queued,
    /// A worker has said that a task began.
    Running,
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Returns whether nothing of the job will ever start again.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Returns the phase's name, as in the state chart `job`.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Queued => "queued",
            Phase::Running => "running",
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        }
    }
}

/// What is stored of a job besides its specification.
///
/// Nearly all that there is to say is that tasks are done, at their first
/// run. These are written as ranges such as `0.1:0-7`, for tasks 0 to 7 of
/// step 1 of round 0: 8 of them take 9 bytes and not 490. What a holder writes
/// of running jobs took half of what a link of 2 Mbit/s sent.
///
/// # Example
///
/// ```
/// use dewspar::job::{Phase, Progress, TaskRecord};
///
/// let done = |index| TaskRecord {
///     step: 1,
///     index,
///     done: true,
///     run: 1,
///     ..TaskRecord::default()
/// };
/// let progress = Progress {
///     phase: Phase::Running,
///     tasks: (0..8).map(done).collect(),
///     ..Progress::default()
/// };
/// let json = serde_json::to_string(&progress)?;
/// assert_eq!(json, r#"{"phase":"running","done":["0.1:0-7"]}"#);
/// assert_eq!(serde_json::from_str::<Progress>(&json)?, progress);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "StoredProgress", into = "StoredProgress")]
pub struct Progress {
    /// How far it has come.
    pub phase: Phase,
    /// When it came to its end, in milliseconds of the Unix epoch; 0 before.
    pub finished_at_ms: u64,
    /// The tasks of which there is something to say, in their order.
    pub tasks: Vec<TaskRecord>,
    /// What else a newer version has said of it.
    pub other: UnknownFields,
}

/// What is stored of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The round.
    pub round: u32,
    /// The step's position.
    pub step: u32,
    /// The task's position in the step.
    pub index: u32,
    /// Whether it has ended well.
    pub done: bool,
    /// The numbers of its runs that failed.
    ///
    /// A worker tells of an end again until it is acknowledged, so a count
    /// alone would go wrong after a takeover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// The highest number of a run that is known to have ended.
    pub run: u64,
    /// How many workers in a row were lost soon after they had started it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// How many more runs were started since the first such loss whose end
    /// the holder didn't know.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unseen: u32,
    /// The worker that was told to start the last of these, if that is under
    /// way; empty while none was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told: Option<String>,
    /// When the process of that worker was started that was told, in
    /// milliseconds of the Unix epoch; `None` if it doesn't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told_born_unix_ms: Option<u64>,
    /// The checkpoint to go on from; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// The workers that may still carry out an order to start it which got no
    /// answer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub in_doubt: Vec<InDoubtRecord>,
    /// What else a newer version has said of it.
    #[serde(flatten)]
    pub other: UnknownFields,
}

/// What is stored of an order to start a task that got no answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InDoubtRecord {
    /// The worker that it was sent to.
    pub worker: String,
    /// The VM of that worker; empty if it isn't known.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub vm: String,
    /// The run's number; 0 if it isn't known.
    #[serde(default, skip_serializing_if = "is_zero_run")]
    pub run: u64,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_zero_run(run: &u64) -> bool {
    *run == 0
}
