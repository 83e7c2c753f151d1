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

So nothing is written when a task starts. A new holder loads the jobs and
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
asked outside of it, so that they take no room from those that answer.

# Example

```
use dewspar::{
    job::{JobSpec, StepSpec},
    schedule::{
        AcceptedJob, Action, HoldReport, Now, Options, QueueTerms, Room,
        Scheduler, WorkerId, WorkerListing,
    },
};

let mut scheduler = Scheduler::new(7, Options::default());
let now = Now { steady_ms: 1_000, unix_ms: 1_700_000_000_000 };
let id = WorkerId::new("worker-1");
scheduler.list_workers(now, vec![WorkerListing {
    id: id.clone(),
    address: "127.0.0.1:1".to_owned(),
    vm: "vm-1".to_owned(),
    pool: "registry".to_owned(),
    rack: String::new(),
    labels: Vec::new(),
    capacity: Room { cpu_millis: 1_000, memory_mb: 100, gpus: 0 },
    draining: false,
    remaining_ms: None,
}]);

// The worker must say what runs on it before it gets anything to run.
scheduler.expect_workers(now, [(id.clone(), "registry".to_owned())]);
let actions = scheduler.plan(now);
let Action::Hold { held, .. } = &actions[0] else { panic!() };
scheduler.hold_answered(&id, held, &HoldReport::default(), now);

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
    duty::{OrderedVms, Orderer, PastOrder},
    order::{
        ActiveRun, EndCause, EndedRun, HoldOrder, HoldReport, OrderError,
        PaceOrder, Refusal, Room, StartOrder, StopOrder, WorkerId,
        WorkerListing,
    },
    policy::{
        Forecast, InvalidPolicy, Orders, Placing, Policy, Sizing, Watching,
    },
    scheduler::Scheduler,
    storing::Changes,
    vm::{ManagedVm, VmLife, VmOrder, VmOrderError, WaveRecord, WaveRequest},
};

use {
    crate::job::{JobId, JobSpec, Phase, TaskId},
    serde::{Deserialize, Serialize},
};

mod advice;
mod answers;
mod board;
mod directory;
mod duty;
mod forecast;
mod full_pools;
mod maintenance;
mod order;
mod pacing;
mod place;
mod policy;
mod projection;
mod report;
mod scheduler;
mod sizing;
mod storing;
mod vm;
mod wave_state;
mod worker;

/// Within what time after a takeover the workers are asked for the first
/// time, in milliseconds.
const ASKED_WITHIN_MS: u64 = 1_000;

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
        held: Held,
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
pub struct Held {
    order: HoldOrder,
    fencing: bool,
    sent_ms: u64,
    /// Whether it counts as under way in the window of orders.
    in_window: bool,
}

impl Held {
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
    Begun {
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
    /// A run is over without a listed end.
    Lost {
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u64,
        /// The worker.
        worker: WorkerId,
        /// How that is known.
        reason: &'static str,
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
        /// How many runs it had.
        runs: usize,
    },
    /// A worker gets nothing more, so that its VM can be used otherwise.
    Emptying {
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
    /// A worker's life is over.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// How that is known.
        reason: &'static str,
    },
    /// A job came to another phase.
    Job {
        /// The job.
        job: JobId,
        /// The phase.
        phase: Phase,
        /// How long after it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker has seen a higher token: another node holds the lease.
    Superseded {
        /// The worker.
        worker: WorkerId,
    },
}

/// Times and limits of a scheduler.
#[derive(Clone, Debug)]
pub struct Options {
    pub(crate) lease_ms: u64,
    pub(crate) max_lease_ms: u64,
    pub(crate) detached_ms: u64,
    pub(crate) hold_retry_ms: u64,
    pub(crate) unstored_hold_ms: u64,
    pub(crate) stop_retry_ms: u64,
    pub(crate) suspension_ms: u64,
    pub(crate) max_suspension_doublings: u32,
    pub(crate) kept_ms: u64,
    pub(crate) directory_settle_ms: u64,
    pub(crate) duty_gap_ms: u64,
    pub(crate) stop_settle_ms: u64,
    pub(crate) vm_list_age_ms: u64,
    pub(crate) policy: Policy,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            // Outlives two takeovers in a row, of some 3 s each.
            lease_ms: 8_000,
            // The longest that a worker grants, by its protocol.
            max_lease_ms: 10_000,
            // As long as a lease: what runs can be looked after that long.
            detached_ms: 8_000,
            // A worker that comes back is found within this.
            hold_retry_ms: 200,
            // Long enough for the store's usual answer, many times over.
            unstored_hold_ms: 15,
            // Several times a worker's usual answer.
            stop_retry_ms: 400,
            // A worker that fails what it starts is tried about as often as
            // a short task takes.
            suspension_ms: 1_000,
            // 8 s between tries at most: a worker that recovers is used
            // again soon.
            max_suspension_doublings: 3,
            // How long callers may ask for a finished job.
            kept_ms: 120_000,
            // Workers are back in the directory some 2 s after the store
            // is, and the holder was there no later.
            directory_settle_ms: 3_000,
            // As long as the operator keeps two holders apart.
            duty_gap_ms: 3_000,
            // A stop takes up to 0.9 s, and workers are asked for the first
            // time within a second of a takeover.
            stop_settle_ms: 2_000,
            // A few readings of the list, and less than a VM takes to move.
            vm_list_age_ms: 2_000,
            policy: Policy::default(),
        }
    }
}

impl Options {
    /// Sets the lease that orders give to a worker's runs, in milliseconds.
    pub fn lease_ms(mut self, lease_ms: u64) -> Options {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets the longest lease that workers grant, in milliseconds.
    pub fn max_lease_ms(mut self, max_lease_ms: u64) -> Options {
        self.max_lease_ms = max_lease_ms;
        self
    }

    /// Sets how long a holder goes on that can't reach the store, in
    /// milliseconds.
    pub fn detached_ms(mut self, detached_ms: u64) -> Options {
        self.detached_ms = detached_ms;
        self
    }

    /// Sets how long after a takeover nothing is ordered of the VM service,
    /// in milliseconds.
    pub fn duty_gap_ms(mut self, duty_gap_ms: u64) -> Options {
        self.duty_gap_ms = duty_gap_ms;
        self
    }

    /// Sets how long a stop may take at a worker, in milliseconds.
    pub fn stop_timeout_ms(mut self, stop_timeout_ms: u64) -> Options {
        self.stop_settle_ms = stop_timeout_ms + ASKED_WITHIN_MS;
        self
    }

    /// Sets what the scheduler decides by.
    pub fn policy(mut self, policy: Policy) -> Options {
        self.policy = policy;
        self
    }

    /// Sets how long the keys of a finished job are kept, in milliseconds.
    pub fn kept_ms(mut self, kept_ms: u64) -> Options {
        self.kept_ms = kept_ms;
        self
    }

    /// Returns how long after a takeover a worker that was never reached
    /// may still run what a former holder started, in milliseconds.
    fn inherited_lease_ms(&self) -> u64 {
        // The former holder may go on for so long and then order a last
        // lease, which a slow clock makes 2 % longer.
        let lease_ms = self.lease_ms.min(self.max_lease_ms);
        self.detached_ms + lease_ms + lease_ms / 40
    }
}
