use {
    crate::Error,
    dewspar::{
        job::QueueSet,
        schedule::{Room, WorkerId, WorkerListing},
    },
    displaydoc::Display,
    std::future::Future,
};

/// What the operator wants, as one reading of the store shows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    /// The store's version at which it was read.
    pub read_at: u64,
    /// The queues; `None` before the first configuration.
    pub queues: Option<QueueSet>,
    /// The maintenance that is asked for.
    pub waves: Vec<WaveRequest>,
}

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
pub enum VmLife {
    /// Its worker runs.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It is down.
    Down,
}

/// A VM as the platform manages it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManagedVm {
    /// The VM's name.
    pub vm: String,
    /// The pool that it is in.
    pub pool: String,
    /// What it is doing.
    pub life: VmLife,
    /// The data hall that it stands in.
    pub hall: String,
    /// What it has room for.
    pub capacity: Room,
    /// The life of its worker; `None` while there is none.
    pub worker: Option<WorkerId>,
}

/// A change to a VM; all that runs on it ends at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmChange {
    /// The VM.
    pub vm: String,
    /// The node that orders it.
    pub holder: String,
    /// The fencing token, which only rises for each VM.
    pub fence: u64,
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

/// What the platform knows of the fleet, and what its operator wants.
pub trait Fleet: Clone + Send + Sync + 'static {
    /// Reads the directory of workers.
    fn workers(
        &self,
    ) -> impl Future<Output = Result<Vec<WorkerListing>, Error>> + Send;

    /// Reads the list of VMs.
    fn vms(
        &self,
    ) -> impl Future<Output = Result<Vec<ManagedVm>, Error>> + Send;

    /// Starts a VM's maintenance; fine if the wave has done it already.
    fn maintain(
        &self,
        change: &VmChange,
        wave: u64,
    ) -> impl Future<Output = Result<(), VmOrderError>> + Send;

    /// Moves a VM to another pool; fine if it is there already.
    fn move_to(
        &self,
        change: &VmChange,
        pool: &str,
    ) -> impl Future<Output = Result<(), VmOrderError>> + Send;

    /// Reads what the operator wants.
    fn intent(&self) -> impl Future<Output = Result<Intent, Error>> + Send;

    /// Waits until what the operator wants has changed since `read_at`, or
    /// for a while; returns whether it has.
    fn intent_changed(
        &self,
        read_at: u64,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Reads which waves were reported to the operator as completed.
    fn completed_waves(
        &self,
    ) -> impl Future<Output = Result<Vec<u64>, Error>> + Send;

    /// Tells the operator how far a wave has come.
    fn report_wave(
        &self,
        wave: u64,
        completed: bool,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
