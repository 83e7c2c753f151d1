use {
    crate::Error,
    dewspar::place::Size,
    serde::{Deserialize, Serialize},
    std::future::Future,
};

/// An order to start a task, fenced by its epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// The task's name.
    pub task: String,
    /// The epoch; a worker refuses one that is lower than any it has seen.
    pub epoch: u64,
    /// How many requests it takes at a time; 0 for a job's task.
    pub slots: u32,
    /// How many connections it takes.
    pub connections: u32,
    /// How long it runs, in milliseconds; 0 for a service's runner.
    pub run_ms: u64,
}

/// What a worker says of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task's name.
    pub task: String,
    /// The epoch at which it was started.
    pub epoch: u64,
    /// The address it serves at; empty for a job's task.
    #[serde(default)]
    pub address: String,
    /// Whether it has run to its end.
    #[serde(default)]
    pub finished: bool,
    /// Its current use of processor time, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u64,
    /// Its current use of memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
}

impl TaskReport {
    /// Returns the task's current use.
    pub fn size(&self) -> Size {
        Size { cpu_millis: self.cpu_millis, memory_mb: self.memory_mb }
    }
}

/// What a worker says of itself, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The epoch of the last reboot it was asked for.
    #[serde(default)]
    pub rebooted_epoch: u64,
    /// Whether that reboot is still under way.
    #[serde(default)]
    pub rebooting: bool,
    /// Its tasks.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
    /// Whether some task's row couldn't be read: a task that isn't there may
    /// run.
    #[serde(skip)]
    pub is_partial: bool,
}

/// The workers on the VMs, each reached by its address.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Reads a worker's report.
    fn report(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<WorkerReport, Error>> + Send;

    /// Starts a task, or does nothing if it runs at this epoch.
    fn start(
        &self,
        address: &str,
        start: &TaskStart,
    ) -> impl Future<Output = Result<TaskReport, Error>> + Send;

    /// Stops a task that runs at this epoch or an older one.
    fn stop(
        &self,
        address: &str,
        task: &str,
        epoch: u64,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reboots the VM, or does nothing if it did so at this epoch.
    fn reboot(
        &self,
        address: &str,
        epoch: u64,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
