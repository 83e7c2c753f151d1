use {
    crate::schedule::{Resources, WorkerId},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// A requested maintenance wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// The wave's number.
    pub wave: u64,
    /// The VMs, each to be maintained once.
    pub vms: Vec<String>,
    /// How long the wave may take, in milliseconds.
    pub duration_ms: u64,
    /// The maximum number of VMs that may be down for it at once.
    pub max_down: usize,
}

/// The status of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmStatus {
    /// It is up, and its worker runs.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is under maintenance.
    Maintenance,
    /// It is down.
    Down,
}

impl VmStatus {
    /// Returns the name of the status, for logs.
    pub fn name(self) -> &'static str {
        match self {
            VmStatus::Up => "up",
            VmStatus::Moving => "moving",
            VmStatus::Maintenance => "maintenance",
            VmStatus::Down => "down",
        }
    }
}

/// A VM as the platform manages it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManagedVm {
    /// The VM's name.
    pub vm: String,
    /// The pool that it is in.
    pub pool: String,
    /// Its status.
    pub status: VmStatus,
    /// The data hall that it is in.
    pub hall: String,
    /// Its capacity.
    pub capacity: Resources,
    /// Its worker; `None` while there is none.
    pub worker: Option<WorkerId>,
}

/// A reading of the list of VMs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmReading {
    /// The VMs whose rows could be read.
    pub vms: Vec<ManagedVm>,
    /// Whether other rows couldn't be, so that a VM or a worker that isn't
    /// shown may exist.
    pub is_partial: bool,
}

/// The part of a wave's state that a later holder must know.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// The time at which a holder first saw the request, in milliseconds of
    /// the Unix epoch: the wave's duration starts then.
    pub since_unix_ms: u64,
    /// The VMs whose maintenance has begun or that are gone for good.
    pub done: BTreeSet<String>,
}

/// The reason why a change to a VM has no result.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum VmOrderError {
    /// another holder's token is higher
    Fenced,
    /// the VM isn't up, or is leaving
    Busy,
    /// the VM isn't part of the wave
    NotInWave,
    /// the platform can't read the order
    Invalid,
    /// the platform didn't take the order
    NotDone,
    /// no answer: the order may have been carried out
    Unknown,
}

impl std::error::Error for VmOrderError {}

/// An order to the VM service, or a report to the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmOrder {
    /// Take a VM down for its maintenance.
    Maintain {
        /// The VM.
        vm: String,
        /// The wave's number.
        wave: u64,
    },
    /// Move a VM to another pool.
    Move {
        /// The VM.
        vm: String,
        /// The pool.
        pool: String,
    },
    /// Report to the operator that a wave is running.
    ReportRunning {
        /// The wave's number.
        wave: u64,
    },
    /// Report to the operator that a wave is completed.
    ReportCompleted {
        /// The wave's number.
        wave: u64,
    },
}
