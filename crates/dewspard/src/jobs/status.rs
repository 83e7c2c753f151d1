/*!
The node's status for operators, which is served beside its metrics.

The holder looks at all jobs for it, so it does that only when somebody asks, and
only a few times a second however many ask.
*/

use {
    super::holder::Holder,
    bytes::Bytes,
    dewspar::{
        schedule::Now,
        status::{
            EvacuatedHallSummary, HallSummary, NodeStatus, SchedulingStatus,
        },
    },
    dewspar_platform::{Fleet, JobWorkers, KeyValue},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// The shortest time between two updates of the holder's status, in
/// milliseconds.
const UPDATE_INTERVAL_MS: u64 = 250;

/// How long a reader waits for an update: longer than a pass of a busy holder.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A status that readers can see.
#[derive(Debug, Default)]
struct Posted {
    /// As JSON.
    text: Bytes,
    /// Whether this node is the holder, which updates the status on request.
    is_holder: bool,
}

/// Where a node's status is put for readers.
#[derive(Clone, Debug)]
pub(super) struct StatusBoard {
    node: String,
    sender: watch::Sender<Posted>,
    is_requested: Arc<AtomicBool>,
}

/// Reads a node's status.
#[derive(Clone, Debug)]
pub(super) struct StatusReader {
    receiver: watch::Receiver<Posted>,
    is_requested: Arc<AtomicBool>,
}

impl StatusReader {
    /// Returns the status as JSON. The holder's is updated first, unless that
    /// takes too long.
    pub(super) async fn read(mut self) -> Bytes {
        self.receiver.mark_unchanged();
        let is_holder = self.receiver.borrow().is_holder;
        if is_holder {
            self.is_requested.store(true, Ordering::Relaxed);
            // If it takes too long, the last one is returned.
            let _ = timeout(MAX_WAIT, self.receiver.changed()).await;
        }
        self.receiver.borrow().text.clone()
    }
}

impl StatusBoard {
    pub(super) fn new(node: &str) -> StatusBoard {
        let (sender, _) = watch::channel(Posted::default());
        let is_requested = Arc::default();
        let board =
            StatusBoard { node: node.to_owned(), sender, is_requested };
        board.set_holder(None);
        board
    }

    pub(super) fn reader(&self) -> StatusReader {
        StatusReader {
            receiver: self.sender.subscribe(),
            is_requested: Arc::clone(&self.is_requested),
        }
    }

    /// Returns whether the holder's status is to be updated, and takes the
    /// request.
    fn takes_request(&self) -> bool {
        let is_new_holder = !self.sender.borrow().is_holder;
        self.is_requested.swap(false, Ordering::Relaxed) || is_new_holder
    }

    /// Sets which other node holds the scheduler lease; `None` if unknown.
    pub(super) fn set_holder(&self, holder: Option<&str>) {
        self.set(holder, None);
    }

    fn set_scheduling(&self, scheduling: SchedulingStatus) {
        self.set(Some(&self.node), Some(scheduling));
    }

    fn set(&self, holder: Option<&str>, scheduling: Option<SchedulingStatus>) {
        let is_holder = scheduling.is_some();
        let status = NodeStatus {
            node: self.node.clone(),
            holder: holder.map(str::to_owned),
            scheduling,
        };
        // OK because it holds only strings and numbers.
        let text = serde_json::to_vec(&status).expect("plain JSON");
        let text = Bytes::from(text);
        self.sender.send_replace(Posted { text, is_holder });
    }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Updates the node's status, if it was requested.
    pub(super) fn update_status(&mut self, now: Now) {
        let due_ms = self.last_status_ms + UPDATE_INTERVAL_MS;
        if now.steady_ms < due_ms || !self.candidate.status.takes_request() {
            return;
        }
        self.last_status_ms = now.steady_ms;
        let halls = self.scheduler.hall_statuses(now);
        let evacuated = self.scheduler.evacuated_halls(now);
        self.candidate.status.set_scheduling(SchedulingStatus {
            teams: self.scheduler.team_statuses(),
            limits: self.scheduler.team_limits().teams.clone(),
            halls: halls.iter().map(HallSummary::from).collect(),
            evacuated_halls: evacuated
                .iter()
                .map(EvacuatedHallSummary::from)
                .collect(),
        });
    }
}
