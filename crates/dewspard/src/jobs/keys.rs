/*!
The keys under which jobs lie in the store.
*/

use dewspar::job::{JobId, TaskId};

/// Who holds the scheduler lease.
pub(super) const OWNER: &str = "q/owner";

/// A stronger node's claim to the scheduler lease; in the feed, so that the
/// holder hears of it.
pub(super) const CLAIM: &str = "q/claim";

/// How much each node can schedule.
pub(super) const NODES: &str = "node/";

/// Which nodes offer to carry orders to workers.
pub(super) const RELAYS: &str = "relay/";

/// Everything that the holder must hear of in order.
pub(super) const FEED: &str = "q/";

/// Jobs that aren't over.
pub(super) const ACCEPTED: &str = "q/in/";

/// The jobs that are cancelled and of which something may run.
pub(super) const CANCELLED: &str = "q/stop/";

/// What every node writes along with each job that it accepts: how new this
/// key is tells a holder whether its feed has gone silent. One key for all
/// nodes, so that a look takes 100 bytes and not that much for each of them.
pub(super) const ACCEPTED_LAST: &str = "accepted-last";

/// How far jobs have come.
pub(super) const PROGRESS: &str = "run/";

/// Ends of runs whose job can't be read.
pub(super) const ENDS: &str = "end/";

/// Starts that were put on record together, and not with their jobs.
pub(super) const START_LOGS: &str = "starts/";

/// Which VMs the waves have maintained.
pub(super) const WAVES: &str = "wave/";

/// The VMs of which the holder ordered changes of late.
pub(super) const VM_ORDERS: &str = "vm-orders";

/// Each queue's waiting jobs.
pub(super) const PENDING: &str = "pending";

/// The lock under which one node counts waiting jobs for all.
pub(super) const COUNTING: &str = "counting";

/// What that node has counted.
pub(super) const COUNTED: &str = "counted";

/// What a key of the feed is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FeedKey {
    /// The scheduler lease.
    Owner,
    /// A claim to it.
    Claim,
    /// An accepted job.
    Accepted(JobId),
    /// A cancelled job.
    Cancelled(JobId),
}

impl FeedKey {
    /// Reads a key; `None` for one that isn't ours.
    pub(super) fn parse(key: &str) -> Option<FeedKey> {
        if key == OWNER {
            return Some(FeedKey::Owner);
        }
        if key == CLAIM {
            return Some(FeedKey::Claim);
        }
        if let Some(id) = key.strip_prefix(ACCEPTED) {
            return id.parse().ok().map(FeedKey::Accepted);
        }
        let id = key.strip_prefix(CANCELLED)?;
        id.parse().ok().map(FeedKey::Cancelled)
    }
}

pub(super) fn accepted(id: JobId) -> String {
    format!("{ACCEPTED}{id}")
}

pub(super) fn cancelled(id: JobId) -> String {
    format!("{CANCELLED}{id}")
}

pub(super) fn progress(id: JobId) -> String {
    format!("{PROGRESS}{id}")
}

pub(super) fn end(task: &TaskId, run: u64) -> String {
    format!("{ENDS}{task}.{run}")
}

pub(super) fn start_log(lease_revision: u64, number: u64) -> String {
    format!("{START_LOGS}{lease_revision}/{number}")
}

/// Reads the job from a key of [`PROGRESS`].
pub(super) fn job_of_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

pub(super) fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

pub(super) fn relay(name: &str) -> String {
    format!("{RELAYS}{name}")
}

pub(super) fn wave(wave: u64) -> String {
    format!("{WAVES}{wave}")
}

/// Reads the wave's number from a key of [`WAVES`].
pub(super) fn wave_of(key: &str) -> Option<u64> {
    key.strip_prefix(WAVES)?.parse().ok()
}
