/*!
The keys under which jobs and their state are stored.
*/

use dewspar::job::{JobId, TaskId};

/// The holder of the scheduler lease.
pub(super) const OWNER: &str = "q/owner";

/// A stronger node's claim to the scheduler lease; part of the feed, so that
/// the holder sees it.
pub(super) const CLAIM: &str = "q/claim";

/// Each node's scheduling capacity, for nodes of builds that don't know
/// [`MAX_STRENGTH`].
pub(super) const NODES: &str = "node/";

/// The highest scheduling capacity of any node that ever started.
pub(super) const MAX_STRENGTH: &str = "max-strength";

/// The nodes that offer to relay orders to workers.
pub(super) const RELAYS: &str = "relay/";

/// The nodes that offer to forward calls to the store.
pub(super) const PEERS: &str = "peer/";

/// The list of the nodes that read the store for others.
pub(super) const READERS: &str = "readers";

/// Everything that the holder must see in order.
pub(super) const FEED: &str = "q/";

/// Unfinished jobs.
pub(super) const ACCEPTED: &str = "q/in/";

/// Cancelled jobs of which tasks may still run.
pub(super) const CANCELLED: &str = "q/stop/";

/// Written by every node along with each job that it accepts or cancels. The
/// version of this key tells a holder whether its feed has gone silent. All
/// nodes share one key, so that a check reads 100 bytes rather than 100 bytes
/// per node.
pub(super) const LAST_CHANGE: &str = "accepted-last";

/// The progress of jobs.
pub(super) const PROGRESS: &str = "run/";

/// Checkpoints of tasks that are stored apart from the progress of their jobs.
pub(super) const CHECKPOINTS: &str = "saved/";

/// Ends of runs whose job can't be read.
pub(super) const ENDS: &str = "end/";

/// Starts that were logged in a batch, apart from their jobs.
pub(super) const START_LOGS: &str = "starts/";

/// The VMs that each wave has maintained.
pub(super) const WAVES: &str = "wave/";

/// The VMs for which the holder ordered changes recently.
pub(super) const VM_ORDERS: &str = "vm-orders";

/// The workers that don't answer, written by the holder.
pub(super) const SILENT_WORKERS: &str = "silent-workers";

/// The most that each team uses, written by the holder.
pub(super) const CEILINGS: &str = "ceilings";

/// The teams whose submissions are limited, written by the holder.
pub(super) const TEAM_LIMITS: &str = "team-limits";

/// Written by the holder to renew the limits on teams.
pub(super) const TEAM_LIMITS_RENEWED: &str = "team-limits-renewed";

/// The counts of waiting jobs by queue, written by the holder.
pub(super) const PENDING: &str = "pending";

/// The lock under which one node counts waiting jobs for all nodes.
pub(super) const COUNTING: &str = "counting";

/// The counts made under that lock.
pub(super) const COUNTED: &str = "counted";

/// The subject of a key in the feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FeedKey {
    /// The scheduler lease.
    Owner,
    /// A claim to the scheduler lease.
    Claim,
    /// An accepted job.
    Accepted(JobId),
    /// A cancelled job.
    Cancelled(JobId),
}

impl FeedKey {
    /// Parses a key; `None` for an unknown one.
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

pub(super) fn checkpoint(task: &TaskId) -> String {
    format!("{CHECKPOINTS}{task}")
}

/// Parses the task identifier from a key of [`CHECKPOINTS`].
pub(super) fn parse_checkpoint(key: &str) -> Option<TaskId> {
    key.strip_prefix(CHECKPOINTS)?.parse().ok()
}

pub(super) fn end(task: &TaskId, run: u64) -> String {
    format!("{ENDS}{task}.{run}")
}

pub(super) fn start_log(lease_revision: u64, number: u64) -> String {
    format!("{START_LOGS}{lease_revision}/{number}")
}

/// Parses the job identifier from a key of [`PROGRESS`].
pub(super) fn parse_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

pub(super) fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

pub(super) fn relay(name: &str) -> String {
    format!("{RELAYS}{name}")
}

pub(super) fn peer(name: &str) -> String {
    format!("{PEERS}{name}")
}

pub(super) fn wave(wave: u64) -> String {
    format!("{WAVES}{wave}")
}

/// Parses the wave number from a key of [`WAVES`].
pub(super) fn parse_wave(key: &str) -> Option<u64> {
    key.strip_prefix(WAVES)?.parse().ok()
}
