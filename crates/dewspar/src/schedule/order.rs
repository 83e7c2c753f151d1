use {
    crate::job::TaskId,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The name of a worker. Its process may restart under the same name; see
/// [`Incarnation`].
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// Returns the identifier of the worker with this name.
    pub fn new(id: &str) -> WorkerId {
        WorkerId(Arc::from(id))
    }

    /// Returns the worker's name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One process of a worker, identified by its start time.
///
/// A worker may restart under its identifier. The new process runs nothing and
/// knows nothing of the previous one: its clock and the numbers of its ends
/// start again, and it has seen no fencing token. Of two processes of one
/// worker, the newer is the greater. The start time only serves to tell them
/// apart: the wall clocks of VMs may step, so nothing is computed from it.
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
    /// An unknown process; it is less than all known ones.
    pub const UNKNOWN: Incarnation = Incarnation(None);

    /// Returns the process that reports this start time, in milliseconds of
    /// the Unix epoch.
    pub fn started_at(unix_ms: u64) -> Incarnation {
        Incarnation(Some(unix_ms))
    }

    /// Returns the start time that the process reports, in milliseconds of the
    /// Unix epoch; `None` if it is unknown.
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

/// Resources that a task requests, or that a worker provides.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// GPUs.
    pub gpus: u64,
}

impl Resources {
    /// Returns these resources as limits: a resource of which there is 0 isn't
    /// limited.
    pub fn as_limits(&self) -> Resources {
        let limit = |amount: u64| if amount == 0 { u64::MAX } else { amount };
        Resources {
            cpu_millis: limit(self.cpu_millis),
            memory_mb: limit(self.memory_mb),
            gpus: limit(self.gpus),
        }
    }

    /// Returns whether `other` fits into these resources.
    pub fn contains(&self, other: &Resources) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// Adds other resources, saturating: workers and callers may name any
    /// amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// Subtracts other resources, saturating at 0.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpus = self.gpus.saturating_sub(other.gpus);
    }

    /// Returns the sum of these and other resources.
    pub fn plus(mut self, other: &Resources) -> Resources {
        self.add(other);
        self
    }

    /// Returns `count` times these resources.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns one `count`th of these resources.
    pub fn divided_by(&self, count: u64) -> Resources {
        let count = count.max(1);
        Resources {
            cpu_millis: self.cpu_millis / count,
            memory_mb: self.memory_mb / count,
            gpus: self.gpus / count,
        }
    }

    /// Returns how many times `other` fits into these resources; `u64::MAX` if
    /// `other` is empty.
    pub fn count_fitting(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let times = kinds.filter_map(|(has, takes)| has.checked_div(takes));
        times.min().unwrap_or(u64::MAX)
    }

    /// Returns how many units of `other` cover these resources, by the
    /// component that needs most; components that are 0 in `other` don't
    /// count.
    pub fn units_of(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let counted = kinds.filter(|(_, of)| *of > 0);
        let rooms = counted.map(|(is, of)| is.div_ceil(of));
        rooms.max().unwrap_or(0)
    }

    /// Returns the maximum of each component.
    pub fn component_max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the minimum of each component.
    pub fn component_min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns these resources in thousandths of `other`, by the component
    /// with the largest share; components that are 0 in `other` don't count.
    pub fn permille_of(&self, other: &Resources) -> u64 {
        let kinds = self.components().into_iter().zip(other.components());
        let shares = kinds
            .filter_map(|(is, of)| is.saturating_mul(1_000).checked_div(of));
        shares.max().unwrap_or(0)
    }

    fn components(&self) -> [u64; 3] {
        [self.cpu_millis, self.memory_mb, self.gpus]
    }

    /// Returns the difference of these and other resources, saturating at 0.
    pub fn minus(mut self, other: &Resources) -> Resources {
        self.subtract(other);
        self
    }
}

/// A worker's entry in the directory of workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub id: WorkerId,
    /// The process that wrote the entry.
    pub incarnation: Incarnation,
    /// The address that accepts its orders.
    pub address: String,
    /// The VM that it runs on, which outlives it.
    pub vm: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// The data hall that it is in; empty if it names none.
    pub hall: String,
    /// The rack that it is in; empty if it names none.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its capacity.
    pub capacity: Resources,
    /// Whether it will end soon and accepts no new tasks.
    pub draining: bool,
    /// The minimum time before it ends while it is draining, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// How much longer the worker is slow after its start, in milliseconds; 0
    /// for a warm one.
    pub cold_remaining_ms: u64,
}

impl WorkerListing {
    /// Returns an entry for a worker that is known to run, but not at which
    /// address.
    ///
    /// The name of its VM is empty if it isn't known either.
    pub(crate) fn unlisted(
        id: WorkerId,
        vm: String,
        pool: String,
    ) -> WorkerListing {
        WorkerListing {
            id,
            incarnation: Incarnation::UNKNOWN,
            address: String::new(),
            vm,
            pool,
            hall: String::new(),
            rack: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            draining: true,
            remaining_ms: None,
            cold_remaining_ms: 0,
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
    /// The input of the task.
    pub payload: Arc<str>,
    /// The end of the lease for all runs on the worker, on the worker's clock,
    /// in milliseconds.
    pub lease_until_ms: u64,
    /// The fencing token.
    pub fence: u64,
    /// The checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The ticket of the adviser, if the queue requires one; otherwise empty.
    pub ticket: String,
    /// The process of the worker that it is meant for.
    pub process: Incarnation,
    /// Whether a later process of the worker must not carry it out, because
    /// another node may hold the lease and may have asked only this process.
    pub is_for_process_only: bool,
}

impl StartOrder {
    /// Returns the only process that may carry the order out, if its sender has
    /// to make sure of that.
    ///
    /// A worker whose processes report no start time gets another identifier
    /// with each process, so that the identifier suffices.
    ///
    /// # Example
    ///
    /// ```
    /// use dewspar::schedule::{Incarnation, StartOrder};
    ///
    /// let process = Incarnation::started_at(1_700_000_000_000);
    /// let order = StartOrder {
    ///     task: "5c0e7a21d94b36f8.0.1.17".parse()?,
    ///     run: 1,
    ///     payload: "".into(),
    ///     lease_until_ms: 8_000,
    ///     fence: 7,
    ///     checkpoint: String::new(),
    ///     ticket: String::new(),
    ///     process,
    ///     is_for_process_only: false,
    /// };
    /// assert_eq!(order.required_process(), None);
    /// let order = StartOrder { is_for_process_only: true, ..order };
    /// assert_eq!(order.required_process(), Some(process));
    /// let unknown = Incarnation::UNKNOWN;
    /// let order = StartOrder { process: unknown, ..order };
    /// assert_eq!(order.required_process(), None);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn required_process(&self) -> Option<Incarnation> {
        let is_required =
            self.is_for_process_only && self.process != Incarnation::UNKNOWN;
        is_required.then_some(self.process)
    }
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

/// An order to limit the processor share of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The maximum share, in percent.
    pub percent: u8,
    /// The fencing token.
    pub fence: u64,
}

/// A hold: an order that renews a worker's lease and asks what runs there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldOrder {
    /// The fencing token.
    pub fence: u64,
    /// The number of the last end that is stored and needn't be reported
    /// again; 0 for no new one.
    pub acknowledged: u64,
    /// The end of the lease for all runs on the worker, on the worker's clock,
    /// in milliseconds; `None` before that clock is known.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for an end before it answers, in
    /// milliseconds.
    pub wait_ms: u64,
}

/// A run in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The last checkpoint; empty for none, or if it couldn't be read.
    pub checkpoint: String,
    /// The progress, in percent; for a long-running task, 100 once it is at
    /// work. `None` if it couldn't be read: the last known one stands then.
    pub percent: Option<u8>,
    /// For a task with a latency target, its slowest recent answers, in
    /// milliseconds; for any other task, the cores in use, in thousandths.
    /// `None` if it couldn't be read: the last known one stands then.
    pub gauge: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndCause {
    /// It completed its work.
    Done,
    /// It failed, through a fault of its own or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    LeaseOver,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang didn't start in time.
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
    /// The process that answers.
    pub incarnation: Incarnation,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub active: Vec<ActiveRun>,
    /// The ends that weren't acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether some runs couldn't be read: a run that isn't listed may exist
    /// all the same.
    pub is_partial: bool,
    /// Whether `ended` may leave out later ends: a worker lists a limited
    /// number at once. A run that is in neither list may have ended.
    pub has_more_ends: bool,
}

/// The reason why a worker refused an order. A refused order has no effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this run, or a later one of the task, end.
    StaleRun,
    /// The lease in the order had already expired.
    LeaseOver,
    /// The worker's free capacity is insufficient.
    NoRoom,
    /// The adviser's ticket isn't valid for this worker, or has expired.
    Ticket,
    /// The worker accepts no tasks at present.
    Unhealthy,
    /// The worker can't parse the order.
    Invalid,
    /// Another worker answers at the address: its identifier isn't the one in
    /// the order.
    OtherLife,
    /// Another process of the worker answers than the one that the order
    /// requires.
    OtherProcess,
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
            Refusal::OtherProcess => "other_process",
        }
    }
}

/// The reason why an order has no result.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderError {
    /// The worker refused it; it had no effect.
    Refused(Refusal),
    /// It never reached the worker.
    NotSent,
    /// It is unknown whether it was or will still be carried out.
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
