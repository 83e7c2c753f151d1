/*!
The node's status for operators, which is served beside its metrics.

It is written as JSON when it changes, so that a request for it costs no more
than copying a reference.
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
    tokio::sync::watch,
};

/// The interval at which the holder updates the status, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Where a node's status is put for readers.
#[derive(Clone, Debug)]
pub(super) struct StatusBoard {
    node: String,
    sender: watch::Sender<Bytes>,
}

impl StatusBoard {
    pub(super) fn new(node: &str) -> StatusBoard {
        let (sender, _) = watch::channel(Bytes::new());
        let board = StatusBoard { node: node.to_owned(), sender };
        board.set_holder(None);
        board
    }

    pub(super) fn reader(&self) -> watch::Receiver<Bytes> {
        self.sender.subscribe()
    }

    /// Sets which other node holds the scheduler lease; `None` if unknown.
    pub(super) fn set_holder(&self, holder: Option<&str>) {
        self.set(holder, None);
    }

    fn set_scheduling(&self, scheduling: SchedulingStatus) {
        self.set(Some(&self.node), Some(scheduling));
    }

    fn set(&self, holder: Option<&str>, scheduling: Option<SchedulingStatus>) {
        let status = NodeStatus {
            node: self.node.clone(),
            holder: holder.map(str::to_owned),
            scheduling,
        };
        // OK because it holds only strings and numbers.
        let text = serde_json::to_vec(&status).expect("plain JSON");
        self.sender.send_replace(Bytes::from(text));
    }
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Holder<'_, K, W, F> {
    /// Updates the node's status, if that is due.
    pub(super) fn update_status(&mut self, now: Now) {
        if now.steady_ms < self.last_status_ms + UPDATE_INTERVAL_MS {
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
