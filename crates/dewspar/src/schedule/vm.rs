use {
    crate::schedule::{Resources, WorkerId},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Maintenance that is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// The wave's number.
    pub wave: u64,
    /// The VMs, each to be maintained once.
    pub vms: Vec<String>,
    /// How long the wave may take, in milliseconds.
    pub duration_ms: u64,
    /// The most VMs that may be down for it at once.
    pub max_down: usize,
}

/// What a VM is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmStatus {
    /// Its worker runs.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It is down.
    Down,
}

impl VmStatus {
    /// Returns the name of what it is doing, for logs.
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
    /// What it is doing.
    pub status: VmStatus,
    /// The data hall that it stands in.
    pub hall: String,
    /// What it has room for.
    pub capacity: Resources,
    /// The life of its worker; `None` while there is none.
    pub worker: Option<WorkerId>,
}

/// What a later holder must know of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// When a holder first saw the request, in milliseconds of the Unix
    /// epoch: its time counts from then.
    pub since_unix_ms: u64,
    /// The VMs whose maintenance has begun or that are gone for good.
    pub done: BTreeSet<String>,
}

/// Why a change to a VM has no result.
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

/// Something to order of the VM service, or to tell the operator.
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
    /// Tell the operator that a wave has begun.
    ReportRunning {
        /// The wave's number.
        wave: u64,
    },
    /// Tell the operator that a wave is completed.
    ReportCompleted {
        /// The wave's number.
        wave: u64,
    },
}
