/*!
A pool's shared state: its tasks and its disruption ledger, in one value.

A budget holds only if counting the VMs that are out of service and taking one
more is a single atomic step. The platform guarantees only single-key
compare-and-swap, so both are in one document per pool, the [`PoolState`]: the
*taken* VMs with the reasons, and the placement of tasks on VMs. A VM is taken
here before it may drain in its hall's document, and released here after it
serves again.

# Example

```
use dewspar::pool::{PoolState, Reason, TaskState};

let mut state = PoolState::default();
state.place("extracts-0", "extracts", "vm-1", 5)?;
assert_eq!(state.task("extracts-0").unwrap().state(), TaskState::Starting);
state.started("extracts-0", 1, "127.0.0.1:9000")?;
state.take("vm-2", Reason::Wave("winter".into()), 10);
assert!(state.is_taken("vm-2"));
# Ok::<(), dewspar::pool::Error>(())
```
*/

use {
    crate::chart::{self, Chart},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// The reason why a VM is out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The named maintenance wave took the VM.
    Wave(String),
    /// The VM failed.
    Failure,
    /// The VM moves to another pool.
    Move,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Wave(wave) => write!(f, "wave {wave}"),
            Reason::Failure => f.write_str("failure"),
            Reason::Move => f.write_str("move"),
        }
    }
}

/// The ledger's entry for a VM that is out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Taken {
    reason: Reason,
    since_ms: u64,
}

impl Taken {
    /// Returns why the VM is out of service.
    pub fn reason(&self) -> &Reason {
        &self.reason
    }

    /// Returns since when, in milliseconds of the Unix epoch.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task isn't placed on a VM.
    Waiting,
    /// The start of the task is recorded; its worker has been, or is about to
    /// be, ordered to start it.
    Starting,
    /// The worker reported the task running.
    Running,
    /// The task ran to completion.
    Finished,
    /// The task is no longer wanted.
    Removed,
}

impl TaskState {
    /// Every state, in the order of the chart.
    pub const ALL: [TaskState; 5] = [
        TaskState::Waiting,
        TaskState::Starting,
        TaskState::Running,
        TaskState::Finished,
        TaskState::Removed,
    ];

    /// Returns the state's name in the chart.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskState::Waiting => "waiting",
            TaskState::Starting => "starting",
            TaskState::Running => "running",
            TaskState::Finished => "finished",
            TaskState::Removed => "removed",
        }
    }
}

/// A task's entry in the pool's document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    owner: String,
    state: TaskState,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    vm: String,
    epoch: u64,
    since_ms: u64,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    address: String,
    #[serde(default)]
    moves: u32,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    why_waiting: String,
}

impl Task {
    /// Returns the service or job that the task belongs to.
    pub fn owner(&self) -> &str {
        &self.owner
    }

    /// Returns the task's state.
    pub fn state(&self) -> TaskState {
        self.state
    }

    /// Returns the VM of the task's last placement; empty before the first.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Returns the epoch, the fencing token for starts of the task.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns since when, in milliseconds of the Unix epoch.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns the address of the running task.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns how often the task was moved to another VM.
    pub fn moves(&self) -> u32 {
        self.moves
    }

    /// Returns why the task waits; empty when it doesn't.
    pub fn why_waiting(&self) -> &str {
        &self.why_waiting
    }
}

/// The reason why a task was not changed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// task `{0}` doesn't exist
    Unknown(String),
    /// task `{task}` is at epoch {current}, not {given}
    Stale {
        /// The task's name.
        task: String,
        /// The epoch in the report.
        given: u64,
        /// The current epoch.
        current: u64,
    },
    /// task `{task}`: {refusal}
    Refused {
        /// The task's name.
        task: String,
        /// The state chart's error.
        refusal: chart::Error,
    },
}

impl std::error::Error for Error {}

/// A pool's shared state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolState {
    taken: BTreeMap<String, Taken>,
    tasks: BTreeMap<String, Task>,
    #[serde(default)]
    waves_done: BTreeMap<String, u64>,
}

impl PoolState {
    /// Returns the VMs that are out of service, with their ledger entries.
    pub fn taken(&self) -> impl Iterator<Item = (&str, &Taken)> {
        self.taken.iter().map(|(vm, taken)| (vm.as_str(), taken))
    }

    /// Returns whether the VM is out of service.
    pub fn is_taken(&self, vm: &str) -> bool {
        self.taken.contains_key(vm)
    }

    /// Adds a VM to the ledger. The reason, such as a failure, replaces any
    /// earlier one.
    pub fn take(&mut self, vm: &str, reason: Reason, now_ms: u64) {
        let taken = Taken { reason, since_ms: now_ms };
        self.taken.insert(vm.to_owned(), taken);
    }

    /// Removes a VM from the ledger; returns whether it was there.
    pub fn release(&mut self, vm: &str) -> bool {
        self.taken.remove(vm).is_some()
    }

    /// Returns every task by name.
    pub fn tasks(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().map(|(name, task)| (name.as_str(), task))
    }

    /// Returns one task.
    pub fn task(&self, name: &str) -> Option<&Task> {
        self.tasks.get(name)
    }

    /// Returns the tasks placed on a VM.
    pub fn tasks_on<'a>(
        &'a self,
        vm: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Task)> {
        self.tasks().filter(move |(_, task)| task.vm == vm)
    }

    /// Records that a task waits, and why; returns whether that is a change.
    pub fn set_waiting(
        &mut self,
        name: &str,
        owner: &str,
        why: &str,
        now_ms: u64,
    ) -> bool {
        let task = self.entry(name, owner, now_ms);
        if task.why_waiting == why {
            return false;
        }
        task.why_waiting = why.to_owned();
        true
    }

    /// Places the task on a VM at a new epoch, which records the intent to
    /// start it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a task that has ended.
    pub fn place(
        &mut self,
        name: &str,
        owner: &str,
        vm: &str,
        now_ms: u64,
    ) -> Result<(), Error> {
        let task = self.entry(name, owner, now_ms);
        let event = match task.state {
            TaskState::Waiting => "place",
            _ => "move",
        };
        advance(name, task, event, now_ms)?;
        if !task.vm.is_empty() && task.vm != vm {
            task.moves += 1;
        }
        task.epoch += 1;
        task.vm = vm.to_owned();
        task.address.clear();
        task.why_waiting.clear();
        Ok(())
    }

    /// Removes a task from its VM; it then waits for a new placement.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a task that has ended or waits.
    pub fn unplace(
        &mut self,
        name: &str,
        why: &str,
        now_ms: u64,
    ) -> Result<(), Error> {
        let task = self.task_mut(name)?;
        advance(name, task, "unplace", now_ms)?;
        task.address.clear();
        task.why_waiting = why.to_owned();
        Ok(())
    }

    /// Records that the worker reported the task running.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stale`] for a report of an older epoch.
    pub fn started(
        &mut self,
        name: &str,
        epoch: u64,
        address: &str,
    ) -> Result<(), Error> {
        let task = self.task_mut(name)?;
        check_epoch(name, task, epoch)?;
        let now_ms = task.since_ms;
        advance(name, task, "started", now_ms)?;
        task.address = address.to_owned();
        Ok(())
    }

    /// Records that the worker reported the task's end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Stale`] for a report of an older epoch.
    pub fn finished(
        &mut self,
        name: &str,
        epoch: u64,
        now_ms: u64,
    ) -> Result<(), Error> {
        let task = self.task_mut(name)?;
        check_epoch(name, task, epoch)?;
        advance(name, task, "finish", now_ms)
    }

    /// Removes a task that is no longer wanted; returns whether it was there.
    pub fn remove(&mut self, name: &str) -> bool {
        self.tasks.remove(name).is_some()
    }

    /// Records that a wave's resource, as of `revision`, is complete.
    pub fn complete_wave(&mut self, wave: &str, revision: u64) {
        self.waves_done.insert(wave.to_owned(), revision);
    }

    /// Returns whether the wave has been completed.
    pub fn wave_done(&self, wave: &str) -> bool {
        self.waves_done.contains_key(wave)
    }

    fn entry(&mut self, name: &str, owner: &str, now_ms: u64) -> &mut Task {
        self.tasks.entry(name.to_owned()).or_insert_with(|| Task {
            owner: owner.to_owned(),
            state: TaskState::Waiting,
            vm: String::new(),
            epoch: 0,
            since_ms: now_ms,
            address: String::new(),
            moves: 0,
            why_waiting: String::new(),
        })
    }

    fn task_mut(&mut self, name: &str) -> Result<&mut Task, Error> {
        self.tasks.get_mut(name).ok_or_else(|| Error::Unknown(name.to_owned()))
    }
}

fn check_epoch(name: &str, task: &Task, given: u64) -> Result<(), Error> {
    if task.epoch != given {
        let current = task.epoch;
        return Err(Error::Stale { task: name.to_owned(), given, current });
    }
    Ok(())
}

fn advance(
    name: &str,
    task: &mut Task,
    event: &str,
    now_ms: u64,
) -> Result<(), Error> {
    let next =
        Chart::task().next(task.state.as_str(), event).map_err(|refusal| {
            Error::Refused { task: name.to_owned(), refusal }
        })?;
    let state = TaskState::ALL.into_iter().find(|s| s.as_str() == next);
    // OK because a test compares the chart's states with `ALL`.
    task.state = state.expect("the chart names only known states");
    task.since_ms = now_ms;
    Ok(())
}
