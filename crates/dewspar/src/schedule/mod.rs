/*!
The scheduler: decides which task runs on which worker, and which orders to
send next.

One node at a time holds the *scheduler lease*, a key in the store that expires
when its holder stops renewing it. The revision at which the key was written
increases from holder to holder, so it serves as the fencing token of every
order. [`Scheduler`] is that holder's state. It performs no I/O: events go in
(jobs, cancellations, the directory of workers, answers to orders), and
[`Scheduler::plan`] returns the [`Action`]s to carry out.

# Sources of truth

| state | authority |
|---|---|
| accepted jobs, cancellations, ends that were acknowledged | the store |
| running tasks, ends that weren't acknowledged | the workers |

Starting a task that no former holder can have started therefore writes
nothing. For the others, whatever a later holder must know is written before
the start (see `write_ahead`). A new holder loads the jobs and sends each
worker a hold, which asks what runs there, under its own token; the first such
answer also fences the former holder off. An end is acknowledged to its worker
only after the store has it: until then, a new holder receives it again.

A worker that can't be reached after a takeover may run any task of a job that
the former holder knew. Such tasks wait until that worker's lease has certainly
expired, or until the worker is known to have ended. Jobs accepted after the
takeover don't wait, since the former holder can't have known them.

# Unanswered orders

An order without an answer may still be carried out later. The scheduler then
raises the fencing token for that worker and sends it only [`HoldOrder`]s until
one is answered. From then on the worker refuses the late order, and the answer
tells whether the run exists.

# Flow control

A new holder owes each worker a hold and each waiting task a start, more than a
small node can send and receive answers for in time. A
[`CallWindow`](crate::window::CallWindow) bounds the orders in flight: holds
that fence a former holder off go first, then starts in their order, as far as
the window has room; the rest waits for answers. Holds to unresponsive workers
don't count against the window, so they take no room from those that answer.
Orders that exceed the capacity of the node's link are delayed as well, the
least urgent ones longest; see [`link`](crate::link).

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
let incarnation = Incarnation::started_at(1_700_000_000_000);
scheduler.list_workers(now, vec![WorkerListing {
    id: id.clone(),
    incarnation,
    address: "127.0.0.1:1".to_owned(),
    vm: "vm-1".to_owned(),
    pool: "registry".to_owned(),
    hall: "hall-1".to_owned(),
    rack: String::new(),
    labels: Vec::new(),
    capacity: Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 },
    draining: false,
    remaining_ms: None,
    cold_remaining_ms: 0,
}]);

// A worker must report what runs on it before it is sent a start.
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
    team: None,
};
scheduler.submit("5c0e7a21d94b36f8".parse()?, job, 8, None);
let actions = scheduler.plan(now);
assert!(matches!(&actions[0], Action::Start { worker, .. } if *worker == id));
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

pub use self::{
    ceilings::UseCeilings,
    cold_workers::ColdTerms,
    deferred_ends::{DeferredEnd, DeferredEndBatch},
    evacuation::EvacuatedHall,
    failure_domains::{HallLoss, HallPlanStats},
    followed_limits::{FollowedDecision, FollowedLimits},
    hall_returns::WorkerLookup,
    options::Options,
    order::{
        ActiveRun, EndCause, EndedRun, HoldOrder, HoldReport, Incarnation,
        OrderError, PaceOrder, Refusal, Resources, StartOrder, StopOrder,
        WorkerId, WorkerListing,
    },
    policy::{
        Forecast, InvalidPolicy, Orders, Placing, Policy, Sizing, Watching,
    },
    quotas::TeamUse,
    scheduler::Scheduler,
    seen_holders::SeenHolders,
    silent_workers::SilentWorkers,
    start_log::{LoggedStart, StartLog},
    storing::Changes,
    team_limits::{LimitedTeam, SubmissionDecision, TeamLimits},
    team_status::TeamStatus,
    vm::{
        ManagedVm, VmOrder, VmOrderError, VmReading, VmStatus, WaveRecord,
        WaveRequest,
    },
    vm_orders::{OrderIssuer, OrderedVms, RecentVmOrder},
    wave_progress::{RemainingVms, WaveDeadline, WaveProgress},
    wave_selection::WavePace,
    worker_evidence::{VmListView, WorkerEvidence},
};

use {
    crate::{
        hall::HallChange,
        job::{JobId, JobSpec, Phase, TaskId},
        quota::Usage,
        staleness::StateView,
        team::Team,
    },
    serde::{Deserialize, Serialize},
};

mod advice;
mod cancellation_view;
mod cancelled;
mod ceilings;
mod cold_workers;
mod congestion;
mod counted_ends;
mod crash_bursts;
mod deferred_ends;
mod directory;
mod evacuation;
mod failure_domains;
mod followed_limits;
mod forecast;
mod full_pools;
mod hall_losses;
mod hall_returns;
mod hall_states;
mod hold_answers;
mod in_doubt;
mod job_state;
mod jobs;
mod loading;
mod long_running;
mod long_waits;
mod maintenance;
mod missing_runs;
mod options;
mod order;
mod order_answers;
mod owed_waits;
mod own_lease;
mod pacing;
mod placement;
mod policy;
mod poll_limit;
mod processes;
mod projection;
mod quotas;
mod record_merge;
mod reservations;
mod reserved_workers;
mod run_times;
mod run_totals;
mod scheduler;
mod seen_holders;
mod shares;
mod silent_workers;
mod sizing;
mod stalls;
mod start_log;
mod step_graph;
mod stopping;
mod storing;
mod suspects;
mod team_limits;
mod team_status;
mod token_claims;
mod unlisted_use;
mod unseen_starts;
mod vm;
mod vm_orders;
mod vm_stability;
mod wave_progress;
mod wave_selection;
mod wave_state;
mod worked_time;
mod worker;
mod worker_evidence;
mod workers;
mod write_ahead;

/// The time of an event, on two clocks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// A monotonic clock, in milliseconds.
    pub steady_ms: u64,
    /// The wall clock, in milliseconds of the Unix epoch.
    pub unix_ms: u64,
}

/// The service terms of a queue, copied into each accepted job.
///
/// The copy keeps a job schedulable after its queue was removed from the
/// configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct QueueTerms {
    /// The pool whose workers run the tasks.
    pub pool: String,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// How many times a task may fail before its job fails.
    pub max_attempts: u32,
    /// The latency allowed on top of a job's own work, in milliseconds.
    pub target_latency_ms: u64,
    /// The time allowed for a job's work, as a multiple of its longest chain
    /// of steps.
    pub stretch: f64,
    /// The timing of the adviser, if only some workers may run the tasks.
    pub advice: Option<AdviceTerms>,
}

/// The timing of an adviser, the service that decides which workers may run a
/// step.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
pub struct AdviceTerms {
    /// The minimum duration of a decision, in milliseconds.
    pub decision_ms: u64,
    /// The additional duration for each worker named, in milliseconds.
    pub period_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

impl QueueTerms {
    /// Returns how long a job whose longest chain of steps takes `chain_ms`
    /// may take, in milliseconds.
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        // OK to truncate: chains are far below 2^53 ms.
        let stretched_ms = (self.stretch * chain_ms as f64) as u64;
        self.target_latency_ms.saturating_add(stretched_ms)
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AcceptedJob {
    /// The specification that the caller submitted.
    pub spec: JobSpec,
    /// The queue's terms when the job was accepted.
    pub terms: QueueTerms,
    /// When it was accepted, in milliseconds of the Unix epoch.
    pub accepted_at_ms: u64,
    /// The team whose quota its tasks count against, as it was when the job
    /// was accepted; `None` for a job of a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<Team>,
}

/// An order or request for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to start a run.
    Start {
        /// The worker.
        worker: WorkerId,
        /// The address that accepts its orders.
        address: String,
        /// The order.
        order: StartOrder,
    },
    /// Send an order to stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The address that accepts its orders.
        address: String,
        /// The order.
        order: StopOrder,
    },
    /// Renew a worker's lease and ask what runs there.
    Hold {
        /// The worker.
        worker: WorkerId,
        /// The address that accepts its orders.
        address: String,
        /// The hold, to be passed back with its answer.
        held: SentHold,
    },
    /// Ask the adviser which workers may run a step.
    Advise {
        /// The step, named by its first task.
        step: TaskId,
        /// The candidate workers.
        workers: Vec<WorkerId>,
        /// When the request was made, to be passed back with the answer.
        asked_ms: u64,
    },
    /// Send an order that limits the processor share of a run.
    Pace {
        /// The worker.
        worker: WorkerId,
        /// The address that accepts its orders.
        address: String,
        /// The order.
        order: PaceOrder,
    },
}

/// A hold order that was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentHold {
    /// The session of the worker process that the hold was sent to; see
    /// [`workers`].
    session: u64,
    order: HoldOrder,
    fencing: bool,
    sent_ms: u64,
    /// Whether it counts against the window of orders in flight.
    in_window: bool,
    /// Whether the worker was known to be unresponsive.
    silent: bool,
}

impl SentHold {
    /// Returns the order to send.
    pub fn order(&self) -> &HoldOrder {
        &self.order
    }
}

/// Stored state on which starts depend, and without which they wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AwaitedState {
    /// The operator's requests to empty data halls.
    OperatorRequests,
    /// The cancellations of jobs.
    Cancellations,
}

impl AwaitedState {
    /// Returns its name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AwaitedState::OperatorRequests => "operator_requests",
            AwaitedState::Cancellations => "cancellations",
        }
    }
}

/// A decision or observation, for logs and metrics.
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
        /// The processor time that it requests, in thousandths of a core.
        cpu_millis: u64,
        /// The view of cancellations on which it is based.
        cancellations: StateView,
        /// The age of that view, in milliseconds.
        cancellations_age_ms: u64,
        /// How long ago the newest call was sent that renewed the holder's own
        /// lease, in milliseconds; `None` if that isn't known.
        renewal_age_ms: Option<u64>,
    },
    /// A worker has confirmed the first run of a job.
    JobBegan {
        /// The job.
        job: JobId,
        /// How long after it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker reported the end of a run.
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
        /// How long the run worked, in milliseconds; `None` if it isn't known
        /// when it began.
        worked_ms: Option<u64>,
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
    /// A run is to stop because its VM is needed, and its task to continue
    /// elsewhere.
    Displaced {
        /// The task.
        task: TaskId,
        /// The worker that it leaves.
        worker: WorkerId,
        /// The worker that it moves to; `None` for a task that is queued
        /// again.
        place: Option<WorkerId>,
    },
    /// A long-running task has been waiting for a while.
    LongWait {
        /// The first such task of its step.
        task: TaskId,
        /// How many tasks of the step are waiting.
        tasks: usize,
        /// For how long, in milliseconds.
        waited_ms: u64,
        /// Why.
        reason: &'static str,
        /// Why the workers of its pool can't take it.
        unfit: UnfitWorkers,
    },
    /// The part of a team's submissions that nodes should accept has changed.
    TeamLimited {
        /// The pool.
        pool: String,
        /// The team.
        team: String,
        /// The part of its submissions to accept, in thousandths; 1,000 for
        /// all.
        admitted_permille: u64,
        /// The number of jobs that it submits in a second, as estimated.
        submitted: u64,
        /// The number of jobs in a second that it is owed.
        share: u64,
        /// How long the pool's waiting work takes to be served, in
        /// milliseconds.
        wait_ms: u64,
    },
    /// A team's quota delays the start of a task.
    QuotaReached {
        /// The team.
        team: String,
        /// The task.
        task: TaskId,
        /// The team's quota; a resource of which it has 0 isn't limited.
        quota: Resources,
        /// What counts against it.
        usage: Usage,
        /// Whether that is known: it isn't before all jobs are loaded.
        is_counted: bool,
    },
    /// A run that was to be stopped has ended.
    StopFinished {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How it ended, or how the end was detected.
        cause: &'static str,
        /// The attempts to stop it.
        stop: StopAttempts,
    },
    /// A run continues for longer than a stop may take.
    StopOverdue {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// The attempts to stop it so far.
        stop: StopAttempts,
    },
    /// A run was lost: it is over without a reported end.
    RunLost {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How the loss was detected.
        reason: &'static str,
        /// The age of the run when its worker last confirmed it, in
        /// milliseconds; 0 if it isn't known to have begun.
        age_ms: u64,
        /// The number of other runs on its worker, of all jobs.
        other_runs: usize,
        /// How long ago the newest call was sent that renewed the holder's own
        /// lease, in milliseconds; `None` if that isn't known.
        renewal_age_ms: Option<u64>,
    },
    /// An order to start a task got no answer and may still be carried out:
    /// for a limited time, the task may start on that worker only.
    StartInDoubt {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// The maximum duration of the restriction, in milliseconds.
        for_ms: u64,
    },
    /// A worker was lost soon after it had been ordered to start a run.
    Suspected {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// The number of consecutive workers lost while running the task.
        crashes: u32,
        /// The maximum age that the run can have reached, in milliseconds.
        most_age_ms: u64,
        /// Whether no other run on the worker can have caused the loss.
        alone: bool,
    },
    /// A worker is closed to all tasks but one that is tested for crashing its
    /// workers.
    Reserved {
        /// The worker.
        worker: WorkerId,
        /// The task for which it is kept.
        task: TaskId,
        /// How many runs it has.
        runs: usize,
    },
    /// A worker that was taken for ended has answered, so what its end
    /// counted as crashes of tasks is retracted.
    CrashesRetracted {
        /// The worker.
        worker: WorkerId,
        /// The number of tasks.
        crashes: usize,
    },
    /// A long-running task isn't started for a while, because workers that
    /// start it crash while its siblings are at work.
    HeldBack {
        /// The task.
        task: TaskId,
        /// The number of consecutive workers lost while running the task.
        crashes: u32,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A task is given up, because workers that start it crash.
    GivenUp {
        /// The task.
        task: TaskId,
        /// The number of consecutive workers lost while running it.
        crashes: u32,
    },
    /// An order failed, or its outcome is unknown.
    OrderFailed {
        /// The worker.
        worker: WorkerId,
        /// The task, if the order names one.
        task: Option<TaskId>,
        /// Why.
        reason: &'static str,
    },
    /// A worker is sent no starts for a while.
    Suspended {
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: &'static str,
    },
    /// Runs of a worker have ended, and it hasn't listed yet how. Reported when
    /// further runs are found to have ended so.
    EndsAwaited {
        /// The worker.
        worker: WorkerId,
        /// The number of these further runs.
        runs: usize,
    },
    /// A worker listed all of its runs and ends for the first time under this
    /// lease, or answered after all that a former holder had started was over.
    Synced {
        /// The worker.
        worker: WorkerId,
        /// Its process.
        process: Incarnation,
        /// The number of its runs.
        runs: usize,
    },
    /// A message came from a different process of a worker than the known one.
    OtherProcess {
        /// The worker.
        worker: WorkerId,
        /// The process that was known.
        known: Incarnation,
        /// The process that the message came from.
        told: Incarnation,
        /// The source of the message.
        source: &'static str,
    },
    /// The lists in a worker's answer are ignored, because the worker's clock
    /// in it is behind that of an earlier answer. Reported for the first of a
    /// series of such answers.
    StaleReportIgnored {
        /// The worker.
        worker: WorkerId,
        /// The worker's clock in the answer, in milliseconds.
        clock_ms: u64,
        /// The latest clock reading before, in milliseconds.
        latest_ms: u64,
    },
    /// Rows of a worker's answer couldn't be read, so runs may be there that
    /// aren't identified. Reported for the first of a series of such answers.
    AnswerPartial {
        /// The worker.
        worker: WorkerId,
        /// The number of active runs that could be read.
        runs: usize,
        /// Whether the worker's lease isn't extended: a former holder may have
        /// started the unidentified runs.
        is_lease_withheld: bool,
    },
    /// All rows of a worker's answer could be read again.
    AnswerComplete {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is drained, so that its VM can be used for another purpose.
    DrainStarted {
        /// The worker.
        worker: WorkerId,
        /// Its VM.
        vm: String,
        /// The purpose.
        reason: &'static str,
    },
    /// The operator has asked that a data hall be emptied.
    HallEvacuated {
        /// The hall.
        hall: String,
        /// How many of its workers are known.
        workers: usize,
        /// How many runs they have.
        runs: usize,
    },
    /// Whether long-running tasks of a data hall that is being emptied have no
    /// place elsewhere has changed.
    EvacuationStuck {
        /// The hall.
        hall: String,
        /// How many have none; 0 if all have one again.
        tasks: usize,
    },
    /// The operator no longer asks that a data hall be emptied.
    HallRestored {
        /// The hall.
        hall: String,
        /// How long it was being emptied, in milliseconds.
        after_ms: u64,
    },
    /// A data hall went down, and the VMs that replace its own were ordered.
    HallLossPlanned {
        /// The hall.
        hall: String,
        /// The name of its state.
        state: &'static str,
        /// The number of its VMs.
        vms: usize,
        /// The number of VMs that were ordered to move in this pass, or
        /// drained for a move.
        moves: u64,
    },
    /// The reserve against the loss of data halls is no longer met, or is met
    /// again.
    HallReserve {
        /// The number of VMs that hold what runs in all pools.
        needed_vms: u64,
        /// The number of usable VMs outside the largest halls.
        outside_vms: u64,
        /// How many VMs are missing; 0 if the reserve is met.
        missing_vms: u64,
    },
    /// The state of a data hall has changed.
    HallChanged {
        /// The change.
        change: HallChange,
        /// How many workers of the hall are known.
        workers: usize,
        /// How many runs they have.
        runs: usize,
        /// How many crashes that were counted shortly before are no longer
        /// counted.
        uncounted: usize,
    },
    /// Nothing starts, because some stored state is too stale.
    StartsPaused {
        /// The state.
        state: AwaitedState,
        /// How long ago it was known to be current, in milliseconds.
        age_ms: u64,
    },
    /// Tasks start again, because that state was read.
    StartsResumed {
        /// The state.
        state: AwaitedState,
        /// How long nothing started, in milliseconds.
        after_ms: u64,
    },
    /// The target size of a pool has changed.
    PoolSized {
        /// The pool.
        pool: String,
        /// The number of VMs that it should have.
        target: u64,
        /// The number that it has or is about to have.
        vms: u64,
        /// The processor time in use, in thousandths of a core.
        used_cpu: u64,
        /// The processor time expected to be in use by the time that another
        /// VM could be available, in thousandths of a core.
        forecast_cpu: u64,
        /// The processor time that waiting tasks request, in thousandths of a
        /// core.
        waiting_cpu: u64,
    },
    /// A wave is in progress, or its deadline has passed.
    WaveProgress {
        /// The wave's number.
        wave: u64,
        /// Its progress, and what blocks its remaining VMs.
        progress: WaveProgress,
    },
    /// The directory lists another worker on a worker's VM and not the worker
    /// itself.
    WorkerDoubted {
        /// The worker.
        worker: WorkerId,
        /// What else is known of the worker.
        evidence: WorkerEvidence,
    },
    /// A worker has ended.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// How the end was detected.
        reason: &'static str,
        /// What else was known of the worker.
        evidence: WorkerEvidence,
    },
    /// A job has ended.
    JobFinished {
        /// The job.
        job: JobId,
        /// Its final phase.
        phase: Phase,
        /// How long after it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker has seen a higher fencing token: another node may hold the
    /// lease.
    Superseded {
        /// The worker.
        worker: WorkerId,
    },
    /// The store has renewed the lease after a worker claimed to have seen a
    /// higher token.
    ClaimDisproved {
        /// The worker.
        worker: WorkerId,
    },
}

/// The number of workers of a pool that can't take a task, by reason. Each is
/// counted once, under the first reason in this order that applies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnfitWorkers {
    /// All workers of the pool.
    pub workers: usize,
    /// Those that accept no tasks now: drained, draining, unresponsive, or not
    /// asked yet.
    pub closed: usize,
    /// Those with too little free processor time.
    pub cpu: usize,
    /// Those with too little free memory.
    pub memory: usize,
    /// Those that already run the maximum number of tasks of its step per
    /// worker.
    pub siblings: usize,
    /// Those that it has failed on or has no ticket for, or that are excluded
    /// for another reason.
    pub barred: usize,
}

/// The attempts to stop a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopAttempts {
    /// Why it is to stop.
    pub reason: &'static str,
    /// How long ago the first order to stop it was sent, in milliseconds; 0
    /// if none was.
    pub after_ms: u64,
    /// The number of stop orders sent.
    pub orders: u32,
    /// Whether the worker has confirmed one of them.
    pub answered: bool,
}
