use {
    crate::Error,
    dewspar::{
        job::{QueueSet, TaskId},
        schedule::{
            VmOrderError, VmReading, WaveRequest, WorkerId, WorkerListing,
        },
    },
    std::{collections::BTreeSet, future::Future},
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
    /// The data halls that are to be emptied.
    pub evacuated_halls: BTreeSet<String>,
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

/// What the platform knows of the fleet, and what its operator wants.
pub trait Fleet: Clone + Send + Sync + 'static {
    /// Reads the directory of workers.
    fn workers(
        &self,
    ) -> impl Future<Output = Result<Vec<WorkerListing>, Error>> + Send;

    /// Reads one worker's entry in the directory; `None` if there is none.
    fn worker(
        &self,
        id: &WorkerId,
    ) -> impl Future<Output = Result<Option<WorkerListing>, Error>> + Send;

    /// Reads the list of VMs.
    fn vms(&self) -> impl Future<Output = Result<VmReading, Error>> + Send;

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

    /// Asks the adviser which workers may run the step of a task; each that
    /// may comes back with its ticket.
    fn advise(
        &self,
        step: &TaskId,
        workers: &[WorkerId],
    ) -> impl Future<Output = Result<Vec<(WorkerId, String)>, Error>> + Send;

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
