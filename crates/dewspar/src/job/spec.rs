use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// The most tasks that one job may have over all steps and rounds.
///
/// A job's whole progress is one stored value, which must stay far below the
/// store's limit of 1 MiB for a value.
const MAX_TASKS: u64 = 10_000;

/// Why a job's specification was refused.
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
        /// The step it names.
        after: usize,
    },
    /// field `steps` holds {tasks} tasks, but at most 10000 are taken
    TooMany {
        /// How many tasks the job would have.
        tasks: u64,
    },
}

impl std::error::Error for InvalidSpec {}

/// What a caller handed in; it never changes once it is accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue that it was handed in to.
    pub queue: String,
    /// What each task is given, as the caller wrote it.
    pub payload: String,
    /// The steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run; `None` for once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// When a job's steps run again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Repeat {
    /// When the first round falls due, in milliseconds of the Unix epoch.
    pub start_at_ms: u64,
    /// The time from one round to the next, in milliseconds.
    pub interval_ms: u64,
    /// How many rounds there are.
    pub count: u32,
}

/// A number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks there are.
    pub count: u32,
    /// Processor time that a task takes, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory that a task takes, in megabytes.
    pub memory_mb: u64,
    /// GPUs that a task takes.
    pub gpus: u64,
    /// The caller's guess of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The steps all of whose tasks must be done first.
    pub after: Vec<usize>,
    /// Whether a task saves checkpoints and can go on from one.
    pub checkpointing: bool,
    /// Whether the tasks only work together, all started as one run.
    pub gang: bool,
    /// Whether the tasks run faster within one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty for any.
    pub required_label: String,
    /// The rack where the data lies; empty for anywhere.
    pub data_rack: String,
    /// The most tasks of the step on one worker; 0 for any number.
    pub max_per_worker: u32,
    /// Whether two copies of a task may run side by side.
    pub may_duplicate: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The answer time that a long-running task should keep, in
    /// milliseconds; 0 when it serves nobody.
    pub target_ms: u64,
    /// Whether the tasks only use the processor time that others leave.
    pub best_effort: bool,
    /// How many long-running tasks may be down at once by our own doing.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns whether the tasks answer users within a target.
    pub fn has_latency_target(&self) -> bool {
        self.target_ms > 0
    }
}

impl JobSpec {
    /// Returns how many rounds of the steps there are.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns when a round falls due, in milliseconds of the Unix epoch.
    ///
    /// 0 is at once.
    pub fn due_ms(&self, round: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            let later = u64::from(round).saturating_mul(repeat.interval_ms);
            repeat.start_at_ms.saturating_add(later)
        })
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the longest chain of estimates from `step` to the job's end,
    /// in milliseconds.
    pub fn critical_path_ms(&self, step: usize) -> u64 {
        let own = self.steps[step].estimate_ms;
        let next = (step + 1..self.steps.len())
            .filter(|later| self.steps[*later].after.contains(&step))
            .map(|later| self.critical_path_ms(later))
            .max();
        own + next.unwrap_or(0)
    }

    /// Checks that the job can be run at all.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidSpec`] that names the field at fault.
    pub fn check(&self) -> Result<(), InvalidSpec> {
        if self.steps.is_empty() {
            return Err(InvalidSpec::NoSteps);
        }
        let mut tasks = 0;
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.count == 0 {
                return Err(InvalidSpec::NoTasks { step });
            }
            // Steps may only wait for earlier ones, so there are no cycles.
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
