/*!
Jobs: specifications that callers submit, and the recorded progress of each.

A job is a small graph of *steps*; a step is a number of equal *tasks*, and
each task runs on one worker at a time. A [`JobSpec`] is immutable once it has
been accepted, so any node may store it and any node may answer reads of it.
The mutable part is the job's [`Progress`]: which tasks are done, how often
each has failed, and the checkpoint to resume from. Only the node that holds
the scheduler lease writes progress, and it writes only what must outlive that
node. The set of running tasks is not stored: the workers report it, and a new
holder asks them for it after a takeover.

# Example

```
use dewspar::job::{JobId, JobSpec, StepSpec, TaskId};

let spec = JobSpec {
    queue: "extracts".to_owned(),
    steps: vec![
        StepSpec { count: 4, cpu_millis: 500, ..StepSpec::default() },
        StepSpec { count: 1, after: vec![0], ..StepSpec::default() },
    ],
    ..JobSpec::default()
};
assert!(spec.check().is_ok());
let id: JobId = "5c0e7a21d94b36f8".parse()?;
let task = TaskId { job: id, round: 0, step: 1, index: 0 };
assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.0");
assert_eq!("5c0e7a21d94b36f8.0.1.0".parse(), Ok(task));
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

pub use self::{
    id::{InvalidId, JobId, TaskId},
    progress::{InDoubtRecord, Phase, Progress, TaskRecord},
    queue::{Queue, QueueSet},
    spec::{InvalidSpec, JobSpec, Repeat, StepSpec, read_steps},
};

pub mod checkpoints;
pub mod conflict;
mod id;
mod progress;
mod queue;
mod spec;
mod stored;
