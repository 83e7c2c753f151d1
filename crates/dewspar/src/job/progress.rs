use {
    super::stored::StoredProgress,
    crate::fields::UnknownFields,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The phase of a job's life cycle.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted; no worker has reported the start of a task.
    #[default]
    Queued,
    /// A worker has reported the start of a task.
    Running,
    /// Every task has succeeded.
    Completed,
    /// A task has used up the attempts that its queue allows.
    Failed,
    /// Cancelled by the caller.
    Cancelled,
}

impl Phase {
    /// Returns whether the phase is final: no task of the job starts again.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }

    /// Returns the phase's name as used in the state chart `job`.
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

/// The stored state of a job besides its specification.
///
/// Most tasks succeed at their first run and have nothing else to record. They
/// are encoded as ranges such as `0.1:0-7`, for tasks 0 to 7 of step 1 of
/// round 0: 8 tasks then take 9 bytes instead of 490. Encoded one by one, the
/// progress of running jobs took up half of the data that a holder sent over a
/// link of 2 Mbit/s.
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
    /// The job's phase.
    pub phase: Phase,
    /// When the job finished, in milliseconds since the Unix epoch; 0 until
    /// then.
    pub finished_at_ms: u64,
    /// The name of the team that the job belongs to; empty for none.
    pub team: String,
    /// The tasks that have state to record, ordered by round, step and index.
    pub tasks: Vec<TaskRecord>,
    /// Fields of the record that this version doesn't know.
    pub other: UnknownFields,
}

/// The stored state of one task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The repetition of the job, from 0.
    pub round: u32,
    /// The step's position in the job, from 0.
    pub step: u32,
    /// The task's position in the step, from 0.
    pub index: u32,
    /// Whether the task has succeeded.
    pub done: bool,
    /// The numbers of its runs that failed.
    ///
    /// A worker repeats the report of an end until it is acknowledged, so a
    /// bare count could count one failure twice after a takeover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// The highest number of a run that is known to have ended.
    pub run: u64,
    /// How many workers in a row were lost soon after starting the task.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// How many more runs, whose end the holder didn't learn, were started
    /// since the first such loss.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unseen: u32,
    /// The worker that was ordered to start the last of these runs; empty if
    /// the run is recorded but no worker has been ordered to start it, `None`
    /// if no recorded run is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told: Option<String>,
    /// The start time of the worker process that got this order, in
    /// milliseconds since the Unix epoch; `None` if the worker doesn't report
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub told_born_unix_ms: Option<u64>,
    /// The checkpoint to resume from; empty for none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub checkpoint: Arc<str>,
    /// Orders to start the task that got no answer, which their workers may
    /// still carry out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub in_doubt: Vec<InDoubtRecord>,
    /// Fields of the record that this version doesn't know.
    #[serde(flatten)]
    pub other: UnknownFields,
}

/// The stored state of an order to start a task that got no answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InDoubtRecord {
    /// The worker that the order was sent to.
    pub worker: String,
    /// The VM of that worker; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub vm: String,
    /// The run's number; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero_run")]
    pub run: u64,
    /// The revision of the scheduler lease under which it was ordered, or of a
    /// later one; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_zero_run")]
    pub lease_revision: u64,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_zero_run(run: &u64) -> bool {
    *run == 0
}
