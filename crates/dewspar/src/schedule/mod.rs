/*!
The scheduler: which task runs on which worker, and what is owed next.

One node at a time holds the *scheduler lease*, a key in the store that goes
when its holder stops renewing it. The revision at which the key was written
rises from holder to holder, so it is the fencing token of every order. The
[`Scheduler`] is that holder's state. It does no I/O: events go in (jobs,
cancellations, the directory of workers, answers to orders), and
[`Scheduler::plan`] returns [`Action`]s to carry out.

# Who knows what

| what | who knows it for sure |
|---|---|
| accepted jobs, cancellations, ends that were acknowledged | the store |
| what runs, ends that weren't acknowledged | the workers |

So nothing is written when a task starts that no former holder can have started,
and of the others what a later holder must know of them is written first (see
`write_ahead`). A new holder loads the jobs and
asks every worker, under its own token, what runs there; the first such
answer also fences the former holder off. An end is acknowledged to its
worker only after the store has it: until then a new holder hears it again.

A worker that can't be asked after a takeover may run any task of a job that
the former holder knew. Such tasks wait until that worker's lease is over for
certain, or until it is known that this life of it has ended. Jobs accepted
after the takeover don't wait: the former holder can't have known them.

# Orders without an answer

An order that got no answer may be carried out later. The scheduler then
raises the token for that worker and sends it nothing but [`HoldOrder`]s
until one is answered. From then on the late order is refused, and the answer
says whether the run is there.

# How much at once

A new holder owes each worker a question and each waiting task an order, more
than a small node can send and hear answered in time. What is under way is
bounded by a [`CallWindow`](crate::window::CallWindow): questions that fence a
former holder off go first, then starts in their order, as far as there is
room in the window; the rest waits for answers. Workers known to be silent are
asked outside of it, so that they take no room from those that answer. What a
small link can't carry waits as well, the least urgent longest; see
[`link`](crate::link).

# Example

```
use dewspar::{
    job::{JobSpec, StepSpec},
    schedule::{
        AcceptedJob, Action, HoldReport, Incarnation, Now, Options,
        QueueTerms, Resources, Scheduler, WorkerId, WorkerListing,
    },
};

let mut scheduler = Scheduler::new(7, Options::default());
let now = Now { steady_ms: 1_000, unix_ms: 1_700_000_000_000 };
let id = WorkerId::new("worker-1");
let incarnation = Incarnation::born_at(1_700_000_000_000);
scheduler.list_workers(now, vec![WorkerListing {
    id: id.clone(),
    incarnation,
    address: "127.0.0.1:1".to_owned(),
    vm: "vm-1".to_owned(),
    pool: "registry".to_owned(),
    rack: String::new(),
    labels: Vec::new(),
    capacity: Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 },
    draining: false,
    remaining_ms: None,
}]);

// The worker must say what runs on it before it gets anything to run.
scheduler.expect_workers(now, [(id.clone(), "registry".to_owned())]);
let actions = scheduler.plan(now);
let Action::Hold { held, .. } = &actions[0] else { panic!() };
let report = HoldReport { incarnation, ..HoldReport::default() };
scheduler.hold_answered(&id, held, &report, now);

let job = AcceptedJob {
    spec: JobSpec {
        steps: vec![StepSpec { count: 1, ..StepSpec::default() }],
        ..JobSpec::default()
    },
    terms: QueueTerms { pool: "registry".to_owned(), ..QueueTerms::default() },
    accepted_at_ms: now.unix_ms,
};
scheduler.submit("5c0e7a21d94b36f8".parse()?, job, 8, None);
let actions = scheduler.plan(now);
assert!(matches!(&actions[0], Action::Start { worker, .. } if *worker == id));
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

pub use self::{
    options::Options,
    order::{
        ActiveRun, EndCause, EndedRun, HoldOrder, HoldReport, Incarnation,
        OrderError, PaceOrder, Refusal, Resources, StartOrder, StopOrder,
        WorkerId, WorkerListing,
    },
    policy::{
        Forecast, InvalidPolicy, Orders, Placing, Policy, Sizing, Watching,
    },
    scheduler::Scheduler,
    start_log::{LoggedStart, StartLog},
    storing::Changes,
    unreadable_jobs::{DeferredEnd, DeferredEndBatch},
    vm::{
        ManagedVm, VmOrder, VmOrderError, VmStatus, WaveRecord, WaveRequest,
    },
    vm_orders::{OrderIssuer, OrderedVms, RecentVmOrder},
    wave_progress::{RemainingVms, WaveDeadline, WaveProgress},
    wave_selection::WavePace,
};

use {
    crate::job::{JobId, JobSpec, Phase, TaskId},
    serde::{Deserialize, Serialize},
};

mod advice;
mod cancelled;
mod crash_bursts;
mod directory;
mod forecast;
mod full_pools;
mod hold_answers;
mod in_doubt;
mod job_state;
mod jobs;
mod loading;
mod long_running;
mod long_waits;
mod maintenance;
mod options;
mod order;
mod order_answers;
mod pacing;
mod placement;
mod policy;
mod poll_limit;
mod processes;
mod projection;
mod record_merge;
mod reservations;
mod scheduler;
mod sizing;
mod start_log;
mod stopping;
mod storing;
mod suspects;
mod token_claims;
mod unreadable_jobs;
mod unseen_starts;
mod vm;
mod vm_orders;
mod vm_stability;
mod wave_progress;
mod wave_selection;
mod wave_state;
mod worker;
mod workers;
mod write_ahead;

/// The two clocks of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// A clock that never jumps, in milliseconds.
    pub steady_ms: u64,
    /// The time of day, in milliseconds of the Unix epoch.
    pub unix_ms: u64,
}

/// What a queue promises and allows; each accepted job keeps its own copy.
///
/// The copy keeps a job schedulable after its queue was taken out of the
/// configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct QueueTerms {
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job does.
    pub max_attempts: u32,
    /// What a job may take beyond its own work, in milliseconds.
    pub target_latency_ms: u64,
    /// What a job may take for its work, as a multiple of its longest chain.
    pub stretch: f64,
    /// How the adviser answers, if only some workers may run the tasks.
    pub advice: Option<AdviceTerms>,
}

/// How an adviser answers.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct AdviceTerms {
    /// How long an answer takes at least, in milliseconds.
    pub decision_ms: u64,
    /// How much longer it takes for each worker named, in milliseconds.
    pub period_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

impl QueueTerms {
    /// Returns how long a job with this chain of work may take, in
    /// milliseconds.
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        // OK to truncate: chains are far below 2^53 ms.
        self.target_latency_ms + (self.stretch * chain_ms as f64) as u64
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AcceptedJob {
    /// What the caller handed in.
    pub spec: JobSpec,
    /// The queue's terms at that time.
    pub terms: QueueTerms,
    /// When it was accepted, in milliseconds of the Unix epoch.
    pub accepted_at_ms: u64,
}

/// Something to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to start a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        address: String,
        /// The order.
        order: StartOrder,
    },
    /// Send an order to stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        address: String,
        /// The order.
        order: StopOrder,
    },
    /// Renew a worker's lease and ask what runs there.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        address: String,
        /// The order, to be given back with its answer.
        held: SentHold,
    },
    /// Ask the adviser which workers may run a step.
    Advise {
        /// The step, named by its first task.
        step: TaskId,
        /// The workers that would suit it.
        workers: Vec<WorkerId>,
        /// When that was asked, to be given back with the answer.
        asked_ms: u64,
    },
    /// Send an order that limits the share at which a run works.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// Where it takes orders.
        address: String,
        /// The order.
        order: PaceOrder,
    },
}

/// A hold that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentHold {
    /// Since when the worker's process was known that was to answer; see
    /// [`workers`].
    session: u64,
    order: HoldOrder,
    fencing: bool,
    sent_ms: u64,
    /// Whether it counts as under way in the window of orders.
    in_window: bool,
    /// Whether the worker was known to be silent.
    silent: bool,
}

impl SentHold {
    /// Returns the order to send.
    pub fn order(&self) -> &HoldOrder {
        &self.order
    }
}

/// A decision or finding, for logs and counters.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Decision {
    /// A run was ordered to start.
    Started {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How long the task had been ready, in milliseconds.
        waited_ms: u64,
        /// What it takes, in thousandths of a core.
        cpu_millis: u64,
    },
    /// A worker has said that a run of a job began, the first that is known.
    JobBegan {
        /// The job.
        job: JobId,
        /// How long after it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker listed an end.
    Ended {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        cause: EndCause,
        /// How many of the task's runs have failed so far.
        failures: u32,
    },
    /// A run that a former holder started was found on a worker.
    Adopted {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
    },
    /// A run is to stop.
    Stopped {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: &'static str,
    },
    /// A run is to stop because its VM is needed, and its task to go on
    /// elsewhere.
    Displaced {
        /// The task.
        task: TaskId,
        /// The worker that it leaves.
        worker: WorkerId,
        /// Where it is to go on; `None` for a task that waits for its turn.
        place: Option<WorkerId>,
    },
    /// A task that is to last has waited for a while.
    LongWait {
        /// The first such task of its step.
        task: TaskId,
        /// How many of the step wait.
        tasks: usize,
        /// For how long, in milliseconds.
        waited_ms: u64,
        /// Why.
        reason: &'static str,
        /// What the workers of its pool lack for it.
        unfit: UnfitWorkers,
    },
    /// A run that was to be stopped is over.
    StopFinished {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How it ended, or how that is known.
        cause: &'static str,
        /// How it was stopped.
        stop: StopAttempts,
    },
    /// A run goes on for longer than a stop may take.
    StopOverdue {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How it was to be stopped so far.
        stop: StopAttempts,
    },
    /// A run is over without a listed end.
    RunLost {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How that is known.
        reason: &'static str,
        /// For how long its worker had confirmed it, in milliseconds; 0 if
        /// it isn't known to have begun.
        age_ms: u64,
        /// How many other runs its worker had, of all jobs.
        other_runs: usize,
    },
    /// An order to start a task got no answer and may still be carried out: the
    /// task starts on that worker only for a while.
    StartInDoubt {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// For how long at most, in milliseconds.
        for_ms: u64,
    },
    /// A worker was lost soon after it had been told to start a run.
    Suspected {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// How many workers in a row were lost under the task.
        crashes: u32,
        /// How old the run was at most, in milliseconds.
        most_age_ms: u64,
        /// Whether nothing else there can have caused it.
        alone: bool,
    },
    /// A task is given up, since workers crash that start it.
    GivenUp {
        /// The task.
        task: TaskId,
        /// How many workers in a row were lost under it.
        crashes: u32,
    },
    /// An order got no result.
    OrderFailed {
        /// The worker.
        worker: WorkerId,
        /// The task, for an order that names one.
        task: Option<TaskId>,
        /// Why.
        reason: &'static str,
    },
    /// A worker gets nothing to start for a while.
    Suspended {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: &'static str,
    },
    /// A worker answered for the first time under this lease.
    Synced {
        /// The worker.
        worker: WorkerId,
        /// Its process.
        process: Incarnation,
        /// How many runs it had.
        runs: usize,
    },
    /// Another process of a worker tells of itself than the known one.
    OtherProcess {
        /// The worker.
        worker: WorkerId,
        /// The process that was known.
        known: Incarnation,
        /// The one that tells.
        told: Incarnation,
        /// What tells of it.
        source: &'static str,
    },
    /// What a worker's answer lists isn't believed, since its clock is behind
    /// that of an answer before: the first of a row of such answers.
    StaleReportIgnored {
        /// The worker.
        worker: WorkerId,
        /// The worker's clock in the answer, in milliseconds.
        clock_ms: u64,
        /// The latest before, in milliseconds.
        latest_ms: u64,
    },
    /// A worker gets nothing more, so that its VM can be used otherwise.
    DrainStarted {
        /// The worker.
        worker: WorkerId,
        /// Its VM.
        vm: String,
        /// What for.
        reason: &'static str,
    },
    /// A pool should have another number of VMs than before.
    PoolSized {
        /// The pool.
        pool: String,
        /// How many VMs it should have.
        target: u64,
        /// How many it has or is about to have.
        vms: u64,
        /// What runs, in thousandths of a core.
        used_cpu: u64,
        /// What will run when a VM could come, in thousandths of a core.
        forecast_cpu: u64,
        /// What waits for room, in thousandths of a core.
        waiting_cpu: u64,
    },
    /// A wave goes on, or its time is over.
    WaveProgress {
        /// The wave's number.
        wave: u64,
        /// How far it has come, and what keeps its VMs.
        progress: WaveProgress,
    },
    /// A worker's life is over.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// How that is known.
        reason: &'static str,
    },
    /// A job came to another phase.
    JobFinished {
        /// The job.
        job: JobId,
        /// The phase.
        phase: Phase,
        /// How long after it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker has seen a higher token: another node may hold the lease.
    Superseded {
        /// The worker.
        worker: WorkerId,
    },
    /// The store has renewed the lease since a worker claimed a higher token.
    ClaimDisproved {
        /// The worker.
        worker: WorkerId,
    },
}

/// How many workers of a pool can't take a task, each counted once, by the
/// first that holds of it in this order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnfitWorkers {
    /// All workers of the pool.
    pub workers: usize,
    /// Those that take nothing now: emptied, draining, silent, not asked yet.
    pub closed: usize,
    /// Those with too little processor time left.
    pub cpu: usize,
    /// Those with too little memory left.
    pub memory: usize,
    /// Those that already have as many tasks of its step as may share one.
    pub siblings: usize,
    /// Those that it has failed on or has no ticket for, or that are kept
    /// from it in some other way.
    pub barred: usize,
}

/// What was done to stop a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopAttempts {
    /// Why it was to stop.
    pub reason: &'static str,
    /// How long ago the first order to stop it was sent, in milliseconds; 0
    /// if none was.
    pub after_ms: u64,
    /// How many orders to stop it were sent.
    pub orders: u32,
    /// Whether the worker has said that it carried one out.
    pub answered: bool,
}
