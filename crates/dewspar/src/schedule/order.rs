use {
    crate::job::TaskId,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The name that a worker goes by. Its process may start again under it; see
/// [`Incarnation`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// Makes an identifier from the name that the worker goes by.
    pub fn new(id: &str) -> WorkerId {
        WorkerId(Arc::from(id))
    }

    /// Returns the name that the worker goes by.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Which process of a worker it is that says something.
///
/// A worker may start again under its identifier. The new process runs nothing
/// and knows nothing of what was before: its clock and the numbers of its ends
/// begin anew, and it has seen no fencing token. Of two processes of one worker
/// the newer is the greater. The time of its start only serves to tell them
/// apart: VMs' times of day may step, so nothing is worked out from it.
///
/// # Example
///
/// ```
/// use dewspar::schedule::Incarnation;
///
/// let former = Incarnation::started_at(1_700_000_000_000);
/// let newer = Incarnation::started_at(1_700_000_008_250);
/// assert!(former < newer);
/// assert!(Incarnation::UNKNOWN < former);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Incarnation(Option<u64>);

impl Incarnation {
    /// One that isn't told, less than all that are.
    pub const UNKNOWN: Incarnation = Incarnation(None);

    /// Returns the one that says that it was started then, in milliseconds of
    /// the Unix epoch.
    pub fn started_at(unix_ms: u64) -> Incarnation {
        Incarnation(Some(unix_ms))
    }

    /// Returns when it says that it was started, in milliseconds of the Unix
    /// epoch; `None` for one that isn't told.
    pub(crate) fn started_unix_ms(self) -> Option<u64> {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(unix_ms) => write!(f, "{unix_ms}"),
            None => f.write_str("unknown"),
        }
    }
}

/// What a task takes of a worker, or what a worker has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// GPUs.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether `other` fits into this room.
    pub fn contains(&self, other: &Resources) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// Adds another room.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mb += other.memory_mb;
        self.gpus += other.gpus;
    }

    /// Takes another room away; what isn't there counts as 0.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Returns this room and another.
    pub fn plus(mut self, other: &Resources) -> Resources {
        self.add(other);
        self
    }

    /// Returns so many times this room.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns so manieth a part of this room.
    pub fn divided_by(&self, count: u64) -> Resources {
        let count = count.max(1);
        Resources {
            cpu_millis: self.cpu_millis / count,
            memory_mb: self.memory_mb / count,
            gpus: self.gpus / count,
        }
    }

    /// Returns how many times `other` fits into this room; `u64::MAX` if it
    /// takes nothing.
    pub fn count_fitting(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let times = kinds.filter_map(|(has, takes)| has.checked_div(takes));
        times.min().unwrap_or(u64::MAX)
    }

    /// Returns how many rooms like `other` this takes, by the kind that takes
    /// most; kinds that `other` has none of don't count.
    pub fn units_of(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let counted = kinds.filter(|(_, of)| *of > 0);
        let rooms = counted.map(|(is, of)| is.div_ceil(of));
        rooms.max().unwrap_or(0)
    }

    /// Returns the larger of each kind of room.
    pub fn component_max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the smaller of each kind of room.
    pub fn component_min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns how many rooms like `other` this is, in thousandths, by the
    /// kind of which it is most; kinds that `other` has none of don't count.
    pub fn permille_of(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let shares = kinds
            .filter_map(|(is, of)| is.saturating_mul(1_000).checked_div(of));
        shares.max().unwrap_or(0)
    }

    fn components(&self) -> [u64; 3] {
        [self.cpu_millis, self.memory_mb, self.gpus]
    }

    /// Returns this room less another.
    pub fn minus(mut self, other: &Resources) -> Resources {
        self.subtract(other);
        self
    }
}

/// What a worker says of itself in the directory of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub id: WorkerId,
    /// Its process that says this.
    pub incarnation: Incarnation,
    /// Where it takes orders.
    pub address: String,
    /// The VM that it runs on, which outlives it.
    pub vm: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// The rack that it stands in; empty when it names none.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it has room for.
    pub capacity: Resources,
    /// Whether it will end soon and takes nothing new.
    pub draining: bool,
    /// How long it lasts at least while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
}

impl WorkerListing {
    /// Makes the listing of a worker that is known to live, but not where.
    pub(crate) fn unlisted(id: WorkerId, pool: String) -> WorkerListing {
        WorkerListing {
            id,
            incarnation: Incarnation::UNKNOWN,
            address: String::new(),
            vm: String::new(),
            pool,
            rack: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            draining: true,
            remaining_ms: None,
        }
    }
}

/// An order to start a run of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The run's number, higher than that of any run of the task before.
    pub run: u64,
    /// What the task is given.
    pub payload: Arc<str>,
    /// Until when everything on the worker may run, on the worker's clock.
    pub lease_until_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// The checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// The ticket of the adviser, where the queue needs one; else empty.
    pub ticket: String,
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The fencing token.
    pub fence: u64,
}

/// An order to limit the share at which a run works.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The share at which it may work, in percent.
    pub percent: u8,
    /// The fencing token.
    pub fence: u64,
}

/// A renewal of a worker's lease, which also asks what runs there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldOrder {
    /// The fencing token.
    pub fence: u64,
    /// The last end that is stored and needn't be told again; 0 for nothing
    /// new.
    pub acknowledged: u64,
    /// Until when everything on the worker may run, on the worker's clock;
    /// `None` before that clock is known.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// A run that is going on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
    /// How much of the work is done, in percent; for a long-running task,
    /// 100 once it is at work.
    pub percent: u8,
    /// For a task with a target, its slowest answers of late, in
    /// milliseconds; for any other, the cores in use, in thousandths.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndCause {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease ran out.
    LeaseOver,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang didn't come in time.
    GangIncomplete,
}

impl EndCause {
    /// Returns the cause's name, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            EndCause::Done => "done",
            EndCause::Failed => "failed",
            EndCause::Stopped => "stopped",
            EndCause::LeaseOver => "lease_over",
            EndCause::GangBroken => "gang_broken",
            EndCause::GangIncomplete => "gang_incomplete",
        }
    }
}

/// A run that has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRun {
    /// The end's number, rising from 1 in each process of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// How it ended.
    pub cause: EndCause,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to a [`HoldOrder`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldReport {
    /// The worker's process that answers.
    pub incarnation: Incarnation,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub active: Vec<ActiveRun>,
    /// What has ended and wasn't acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether something that runs couldn't be read: a run that isn't named
    /// may be there all the same.
    pub is_partial: bool,
}

/// Why a worker refused an order; it has done nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this run, or a later one of the task, end.
    StaleRun,
    /// The lease that came with the order was over already.
    LeaseOver,
    /// There is no room.
    NoRoom,
    /// The adviser's ticket isn't valid here or no longer.
    Ticket,
    /// It takes nothing at present.
    Unhealthy,
    /// It can't read the order.
    Invalid,
    /// Another life of the worker answers at the address.
    OtherLife,
}

impl Refusal {
    /// Returns the reason's name, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Fenced => "fenced",
            Refusal::StaleRun => "stale_run",
            Refusal::LeaseOver => "lease_over",
            Refusal::NoRoom => "no_room",
            Refusal::Ticket => "ticket",
            Refusal::Unhealthy => "unhealthy",
            Refusal::Invalid => "invalid",
            Refusal::OtherLife => "other_life",
        }
    }
}

/// Why an order has no result.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderError {
    /// The worker refused it and has done nothing.
    Refused(Refusal),
    /// It never reached the worker.
    NotSent,
    /// Nobody knows whether it was or will still be carried out.
    Unknown,
}

impl OrderError {
    /// Returns the reason's name, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            OrderError::Refused(refusal) => refusal.name(),
            OrderError::NotSent => "not_sent",
            OrderError::Unknown => "unknown",
        }
    }
}
