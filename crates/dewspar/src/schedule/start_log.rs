/*!
A log of starts that are recorded together.

A start that must be on record before it is ordered (see
[`write_ahead`](super::write_ahead)) could be written with its job. But a
holder that takes over at peak load has thousands of jobs with such starts, and
a store takes a few hundred writes a second. The next holder needs little about
a start: the task, the run, and the worker process that receives the order. So
the starts of a plan are written as one value, a *start log*, as in the group
commit of a write-ahead log. Several logs may be in flight at a time.

The job's record isn't written for such a start. A log stays until each of its
starts is settled: the run has lived on, or the job's record says what became
of it. Then the log is deleted. So there are few logs at a time, and a new
holder reads only what it needs.

The next holder reads the logs before it starts any inherited task, and merges
each start into its job. It stores these starts with their jobs, so that the
logs of previous holders can be deleted.

| what | how |
|---|---|
| size of a log | bounded by how many starts may be withheld at a time |
| an unreadable start | is skipped by itself |
| a write without an answer | counts as failed, and its starts are written again; a start that is in two logs counts once |
| logs of two holders | are stored under the revisions of their leases |

# Example

```
use dewspar::schedule::{Options, Scheduler};

let mut scheduler = Scheduler::new(7, Options::default());
scheduler.enable_start_log();
// No start waits to be logged.
assert_eq!(scheduler.take_start_log(), None);
```
*/

use {
    crate::{
        job::{JobId, TaskId, TaskRecord},
        schedule::{
            Incarnation, Now, Scheduler, WorkerId, suspects::CrashHistory,
            unseen_starts::RecordedStart,
        },
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// How often the logs are checked for settled starts, in milliseconds.
const SETTLED_CHECK_INTERVAL_MS: u64 = 500;

/// A logged start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoggedStart {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The worker that is ordered to start it.
    pub worker: String,
    /// The VM of that worker; empty if it doesn't name one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub vm: String,
    /// When that worker's process was started, in milliseconds of the Unix
    /// epoch; `None` if it doesn't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_unix_ms: Option<u64>,
    /// The same as [`TaskRecord::crashes`].
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// The same as [`TaskRecord::unseen`], including this start.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unseen: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Starts that are written together, under a number of their own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartLog {
    number: u64,
    starts: Vec<LoggedStart>,
}

impl StartLog {
    /// Returns the log's number; numbers rise from 1 under each lease.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the starts.
    pub fn starts(&self) -> &[LoggedStart] {
        &self.starts
    }
}

/// A start whose log can't be deleted yet.
#[derive(Clone, Copy, Debug)]
struct OpenStart {
    task: TaskId,
    run: u64,
    /// The newest change when the start was logged.
    sequence: u64,
}

/// The logs of this lease, and the starts logged under previous leases.
#[derive(Debug, Default)]
pub(super) struct StartLogs {
    /// Whether starts are logged at all; otherwise they are stored with their
    /// jobs.
    enabled: bool,
    last: u64,
    /// The starts that wait to be logged.
    waiting: BTreeSet<TaskId>,
    /// The logs that were written or may have been, with their open starts.
    written: BTreeMap<u64, Vec<OpenStart>>,
    /// The logs whose write is in flight.
    under_way: BTreeSet<u64>,
    checked_at_ms: u64,
    /// The starts that previous holders logged, of jobs that aren't loaded
    /// yet.
    inherited: BTreeMap<JobId, Vec<LoggedStart>>,
    /// The jobs whose records don't yet contain what previous holders logged.
    unstored: BTreeSet<JobId>,
}

impl StartLogs {
    pub(super) fn are_enabled(&self) -> bool {
        self.enabled
    }

    /// Queues a start to be logged.
    pub(super) fn add(&mut self, task: TaskId) {
        self.waiting.insert(task);
    }

    pub(super) fn withdraw(&mut self, task: &TaskId) {
        self.waiting.remove(task);
    }
}

impl Scheduler {
    /// Enables the start log: starts that must be on record are written
    /// together instead of with the records of their jobs.
    pub fn enable_start_log(&mut self) {
        self.start_logs.enabled = true;
    }

    /// Takes the starts that wait to be logged; `None` if there are none.
    ///
    /// Call [`Scheduler::start_log_stored`] or [`Scheduler::start_log_failed`]
    /// once the outcome is known. Several logs may be in flight at a time.
    pub fn take_start_log(&mut self) -> Option<StartLog> {
        let waiting = std::mem::take(&mut self.start_logs.waiting);
        let starts: Vec<LoggedStart> = waiting
            .iter()
            .filter_map(|task| self.logged_start(task))
            .collect();
        if starts.is_empty() {
            return None;
        }
        let sequence = self.sequence;
        let open = starts.iter().map(|start| OpenStart {
            task: start.task,
            run: start.run,
            sequence,
        });
        let logs = &mut self.start_logs;
        logs.last += 1;
        let number = logs.last;
        logs.written.insert(number, open.collect());
        logs.under_way.insert(number);
        Some(StartLog { number, starts })
    }

    fn logged_start(&self, task: &TaskId) -> Option<LoggedStart> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let worker = state.workers.last()?;
        let vm = self.workers.get(worker).map(|w| w.listing.vm.clone());
        Some(LoggedStart {
            task: *task,
            run: state.run,
            worker: worker.to_string(),
            vm: vm.unwrap_or_default(),
            born_unix_ms: state.ordered_process.started_unix_ms(),
            crashes: state.crashes.count,
            unseen: state.crashes.unseen_on_record(),
        })
    }

    /// Notes that a log is in the store.
    pub fn start_log_stored(&mut self, log: &StartLog) {
        self.start_logs.under_way.remove(&log.number);
        for start in &log.starts {
            self.write_ahead.note_logged(&start.task, start.run);
        }
    }

    /// Notes that a log isn't in the store, or may not be. Its starts are
    /// logged again if they still wait for that.
    pub fn start_log_failed(&mut self, log: &StartLog) {
        self.start_logs.under_way.remove(&log.number);
        for start in &log.starts {
            if self.write_ahead.waits_for_log(&start.task, start.run) {
                self.start_logs.add(start.task);
            }
        }
    }

    /// Takes the numbers of this lease's logs that are no longer needed.
    pub fn take_settled_logs(&mut self, now: Now) -> Vec<u64> {
        if now.steady_ms
            < self.start_logs.checked_at_ms + SETTLED_CHECK_INTERVAL_MS
        {
            return Vec::new();
        }
        self.start_logs.checked_at_ms = now.steady_ms;
        let mut written = std::mem::take(&mut self.start_logs.written);
        let under_way = std::mem::take(&mut self.start_logs.under_way);
        for open in written.values_mut() {
            while open.last().is_some_and(|start| self.is_settled(start)) {
                open.pop();
            }
        }
        let settled = |number: &u64, open: &mut Vec<OpenStart>| {
            open.is_empty() && !under_way.contains(number)
        };
        let settled = written.extract_if(.., settled);
        let numbers = settled.map(|(number, _)| number).collect();
        self.start_logs.written = written;
        self.start_logs.under_way = under_way;
        numbers
    }

    /// Returns whether a later holder knows what it must about a start without
    /// the log.
    fn is_settled(&self, start: &OpenStart) -> bool {
        let id = start.task.job;
        // A job that is over and stored isn't known any more.
        let Some(job) = self.jobs.get(&id) else { return true };
        if self.changed.contains_key(&id) || self.storing.contains_key(&id) {
            return false;
        }
        let Some(state) = job.task(&start.task) else { return true };
        let goes_on =
            state.run == start.run && state.crashes.has_recorded_run();
        state.done || !goes_on || job.stored_sequence > start.sequence
    }

    /// Adds the starts that previous holders logged. Call this before any of
    /// their jobs is submitted.
    pub fn inherit_logged_starts(&mut self, starts: Vec<LoggedStart>) {
        for start in starts {
            let of_job =
                self.start_logs.inherited.entry(start.task.job).or_default();
            of_job.push(start);
        }
    }

    /// Merges the starts that previous holders logged into a loaded job.
    pub(super) fn merge_logged_starts(&mut self, id: JobId) {
        let Some(starts) = self.start_logs.inherited.remove(&id) else {
            return;
        };
        let mut taken_in = false;
        for start in &starts {
            taken_in |= self.merge_logged_start(start);
        }
        if taken_in {
            self.has_suspects = true;
            self.start_logs.unstored.insert(id);
            self.mark_changed(id);
        }
    }

    /// Merges a logged start; returns whether it says more than the record of
    /// its job.
    fn merge_logged_start(&mut self, start: &LoggedStart) -> bool {
        let job = self.jobs.get_mut(&start.task.job);
        let state = job.and_then(|job| job.task_mut(&start.task));
        let Some(state) = state.filter(|state| !state.done) else {
            return false;
        };
        let known = state.crashes;
        let is_older = start.run <= state.run
            || (start.crashes, start.unseen)
                < (known.count, known.unseen_on_record());
        if is_older {
            return false;
        }
        let record = TaskRecord {
            crashes: start.crashes,
            unseen: start.unseen,
            told: Some(start.worker.clone()),
            ..TaskRecord::default()
        };
        state.crashes = CrashHistory::restored(&record);
        state.crashes.may_have_started = true;
        let born = start.born_unix_ms;
        let process =
            born.map_or(Incarnation::UNKNOWN, Incarnation::started_at);
        let recorded =
            RecordedStart::of(WorkerId::new(&start.worker), process);
        self.note_recorded_start(start.task, recorded, &start.vm);
        true
    }

    /// Returns whether the logs of previous holders can be deleted: everything
    /// in them is stored with its jobs, or belongs to jobs that are over.
    pub fn are_logged_starts_stored(&mut self) -> bool {
        let (changed, storing) = (&self.changed, &self.storing);
        self.start_logs
            .unstored
            .retain(|id| changed.contains_key(id) || storing.contains_key(id));
        !self.is_loading() && self.start_logs.unstored.is_empty()
    }
}
