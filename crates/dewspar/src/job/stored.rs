/*!
The stored encoding of a job's progress.

Tasks that succeeded at their first run are encoded as ranges; every other task
has a record of its own.
*/

use {
    crate::{
        fields::UnknownFields,
        job::{Phase, Progress, TaskRecord},
    },
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// The maximum number of tasks in a range, more than any step has. Bounds the
/// memory that decoding a malformed record can take.
const MAX_RANGE: u32 = 100_000;

/// The encoded form of a [`Progress`].
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct StoredProgress {
    phase: Phase,
    #[serde(default, skip_serializing_if = "is_zero")]
    finished_at_ms: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    team: String,
    /// Ranges of tasks that succeeded at their first run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<String>,
    /// All other tasks that have state to record.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<TaskRecord>,
    #[serde(flatten)]
    other: UnknownFields,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// `{text}` isn't a range of tasks such as `0.1:0-7`
#[derive(Debug, Display)]
pub(super) struct InvalidRange {
    text: String,
}

/// A range of consecutive tasks of one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct TaskRange {
    round: u32,
    step: u32,
    first: u32,
    last: u32,
}

impl TaskRange {
    fn from_record(task: &TaskRecord) -> TaskRange {
        let TaskRecord { round, step, index, .. } = *task;
        TaskRange { round, step, first: index, last: index }
    }

    /// Extends the range by `task` if that is the next one of the step.
    ///
    /// Returns whether the range was extended.
    fn extend(&mut self, task: &TaskRecord) -> bool {
        let is_next = (task.round, task.step) == (self.round, self.step)
            && task.index == self.last + 1;
        if is_next {
            self.last = task.index;
        }
        is_next
    }

    fn records(self) -> impl Iterator<Item = TaskRecord> {
        let TaskRange { round, step, first, last } = self;
        (first..=last).map(move |index| TaskRecord {
            round,
            step,
            index,
            done: true,
            run: 1,
            ..TaskRecord::default()
        })
    }
}

impl fmt::Display for TaskRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskRange { round, step, first, last } = self;
        write!(f, "{round}.{step}:{first}")?;
        if last > first {
            write!(f, "-{last}")?;
        }
        Ok(())
    }
}

impl FromStr for TaskRange {
    type Err = InvalidRange;

    fn from_str(text: &str) -> Result<TaskRange, InvalidRange> {
        let invalid = || InvalidRange { text: text.to_owned() };
        let number =
            |part: &str| part.parse().map_err(|_: ParseIntError| invalid());
        let (step, tasks) = text.split_once(':').ok_or_else(invalid)?;
        let (round, step) = step.split_once('.').ok_or_else(invalid)?;
        let (first, last) = tasks.split_once('-').unwrap_or((tasks, tasks));
        let range = TaskRange {
            round: number(round)?,
            step: number(step)?,
            first: number(first)?,
            last: number(last)?,
        };
        let is_valid =
            range.first <= range.last && range.last - range.first < MAX_RANGE;
        is_valid.then_some(range).ok_or_else(invalid)
    }
}

/// Returns whether a range represents the record of a task in full.
fn is_done_on_first_run(task: &TaskRecord) -> bool {
    task.done
        && task.run == 1
        && task.crashes == 0
        && task.failed_runs.is_empty()
        && task.checkpoint.is_empty()
        && task.in_doubt.is_empty()
        && task.other.is_empty()
}

impl From<Progress> for StoredProgress {
    fn from(progress: Progress) -> StoredProgress {
        let Progress { phase, finished_at_ms, team, tasks, other } = progress;
        let (done_on_first_run, tasks): (Vec<TaskRecord>, Vec<TaskRecord>) =
            tasks.into_iter().partition(is_done_on_first_run);
        let mut ranges: Vec<TaskRange> = Vec::new();
        for task in &done_on_first_run {
            let extended = ranges.last_mut().is_some_and(|r| r.extend(task));
            if !extended {
                ranges.push(TaskRange::from_record(task));
            }
        }
        let done = ranges.iter().map(TaskRange::to_string).collect();
        StoredProgress { phase, finished_at_ms, team, done, tasks, other }
    }
}

impl TryFrom<StoredProgress> for Progress {
    type Error = InvalidRange;

    fn try_from(stored: StoredProgress) -> Result<Progress, InvalidRange> {
        let StoredProgress {
            phase,
            finished_at_ms,
            team,
            done,
            mut tasks,
            other,
        } = stored;
        for range in &done {
            tasks.extend(range.parse::<TaskRange>()?.records());
        }
        tasks.sort_by_key(|task| (task.round, task.step, task.index));
        Ok(Progress { phase, finished_at_ms, team, tasks, other })
    }
}
