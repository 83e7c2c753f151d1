use {
    displaydoc::Display,
    serde::{
        Deserialize, Deserializer, Serialize,
        de::{Error as _, SeqAccess, Visitor},
    },
    std::{fmt, marker::PhantomData},
};

/// The maximum number of tasks of a job over all steps and rounds.
///
/// The whole progress of a job is stored as one value, which must stay far
/// below the store's limit of 1 MiB per value.
const MAX_TASKS: u64 = 10_000;

/// Reads the steps of a job, up to as many as a valid job can have.
///
/// For the steps of jobs from callers, with `deserialize_with`: a step takes some
/// hundred times the memory of the text of an empty one, and without a bound a
/// body of 1 MiB would stand for 100 MB before it is found to be invalid.
///
/// # Errors
///
/// Returns the error of reading a step, or one that says how many steps are
/// allowed.
///
/// # Example
///
/// ```
/// use dewspar::job::{StepSpec, read_steps};
///
/// #[derive(serde::Deserialize)]
/// struct Body {
///     #[serde(deserialize_with = "read_steps")]
///     steps: Vec<StepSpec>,
/// }
///
/// let body: Body =
///     serde_json::from_str(r#"{"steps": [{"count": 2}]}"#).unwrap();
/// assert_eq!(body.steps[0].count, 2);
///
/// let steps = vec![r#"{"count": 1}"#; 10_001].join(",");
/// let body = format!(r#"{{"steps": [{steps}]}}"#);
/// let error = serde_json::from_str::<Body>(&body).err().unwrap();
/// assert!(error.to_string().starts_with("more than 10000 steps"));
/// ```
pub fn read_steps<'de, D, T>(source: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    source.deserialize_seq(StepsVisitor(PhantomData))
}

struct StepsVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for StepsVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of steps")
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut rows: A,
    ) -> Result<Vec<T>, A::Error> {
        let mut steps = Vec::new();
        while let Some(step) = rows.next_element()? {
            // Each step has at least one task.
            if steps.len() as u64 >= MAX_TASKS {
                let reason = format!("more than {MAX_TASKS} steps");
                return Err(A::Error::custom(reason));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}

/// The reason that a job's specification is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum InvalidSpec {
    /// field `steps` is empty
    NoSteps,
    /// field `steps[{step}].count` is 0
    NoTasks {
        /// The step's position.
        step: usize,
    },
    /// field `steps[{step}].after` names step {after}, which isn't an earlier one
    NotEarlier {
        /// The step's position.
        step: usize,
        /// The step that it refers to.
        after: usize,
    },
    /// field `steps` holds {tasks} tasks, but at most 10000 are taken
    TooMany {
        /// The number of tasks in the job.
        tasks: u64,
    },
}

impl std::error::Error for InvalidSpec {}

/// The specification of a job as submitted; immutable once accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue that the job was submitted to.
    pub queue: String,
    /// The input of every task, passed on unchanged.
    pub payload: String,
    /// The steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// The repetition schedule; `None` for a single run that starts at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// The repetition schedule of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeat {
    /// When the first round is due, in milliseconds since the Unix epoch.
    pub start_at_ms: u64,
    /// The interval between the due times of rounds, in milliseconds.
    pub interval_ms: u64,
    /// The number of rounds.
    pub count: u32,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The CPU demand of a task, in thousandths of a core.
    pub cpu_millis: u64,
    /// The memory demand of a task, in megabytes.
    pub memory_mb: u64,
    /// The number of GPUs that a task needs.
    pub gpus: u64,
    /// The caller's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The steps that must be complete before this one starts.
    pub after: Vec<usize>,
    /// Whether a task saves checkpoints and can resume from one.
    pub checkpointing: bool,
    /// Whether the tasks form a gang: all are started together, or none.
    pub gang: bool,
    /// Whether the tasks run faster when placed within one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty for any worker.
    pub required_label: String,
    /// The rack that holds the input data; empty for no preference.
    pub data_rack: String,
    /// The maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether two copies of a task may run at the same time.
    pub may_duplicate: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run. Tasks of the same image are expected to
    /// behave alike.
    pub image: String,
    /// The target latency of a long-running task's responses, in
    /// milliseconds; 0 if the task serves no requests.
    pub target_ms: u64,
    /// Whether the tasks only use CPU time that other tasks leave idle.
    pub best_effort: bool,
    /// How many long-running tasks the scheduler may stop at the same time, as
    /// for moves and maintenance.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns whether the tasks have a target latency to meet.
    pub fn has_latency_target(&self) -> bool {
        self.target_ms > 0
    }
}

impl JobSpec {
    /// Returns the number of rounds; 1 for a job that isn't repeated.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns when a round is due, in milliseconds since the Unix epoch.
    ///
    /// 0 stands for at once.
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            let offset_ms =
                u64::from(round).saturating_mul(repeat.interval_ms);
            repeat.start_at_ms.saturating_add(offset_ms)
        })
    }

    /// Returns whether the tasks of any step run until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns, for each step, the length of the critical path from its start
    /// to the job's end, by the caller's estimates, in milliseconds.
    ///
    /// The time is linear in the number of steps and of their dependencies;
    /// the number of paths may be exponential in it.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspar::job::{JobSpec, StepSpec};
    ///
    /// let step = |estimate_ms, after| {
    ///     StepSpec { count: 1, estimate_ms, after, ..StepSpec::default() }
    /// };
    /// let spec = JobSpec {
    ///     steps: vec![
    ///         step(100, vec![]),
    ///         step(30, vec![0]),
    ///         step(50, vec![0]),
    ///         step(7, vec![1, 2]),
    ///     ],
    ///     ..JobSpec::default()
    /// };
    /// assert_eq!(spec.critical_paths_ms(), [157, 37, 57, 7]);
    /// ```
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        // For each step, the longest path from the start of a step that waits
        // for it.
        let mut next_ms = vec![0; self.steps.len()];
        let mut paths_ms = vec![0; self.steps.len()];
        for (step, spec) in self.steps.iter().enumerate().rev() {
            let path_ms = spec.estimate_ms.saturating_add(next_ms[step]);
            paths_ms[step] = path_ms;
            for earlier in spec.after.iter().filter(|other| **other < step) {
                next_ms[*earlier] = path_ms.max(next_ms[*earlier]);
            }
        }
        paths_ms
    }

    /// Checks that the specification is valid.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidSpec`] that names the invalid field.
    pub fn check(&self) -> Result<(), InvalidSpec> {
        if self.steps.is_empty() {
            return Err(InvalidSpec::NoSteps);
        }
        let mut tasks = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.count == 0 {
                return Err(InvalidSpec::NoTasks { step });
            }
            // A step may only depend on earlier ones, which rules out cycles.
            if let Some(&after) = spec.after.iter().find(|a| **a >= step) {
                return Err(InvalidSpec::NotEarlier { step, after });
            }
            tasks += u64::from(spec.count);
        }
        tasks = tasks.saturating_mul(u64::from(self.rounds()));
        if tasks > MAX_TASKS {
            return Err(InvalidSpec::TooMany { tasks });
        }
        Ok(())
    }
}
