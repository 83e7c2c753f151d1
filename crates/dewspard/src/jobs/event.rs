/*!
What the holder of the scheduler lease hears of, from whatever task, and the
channel that brings it: each event carries when it was sent, so that the time
it waited to be taken in is known.
*/

use {
    super::{
        progress::{FeedEvent, WriteOutcome},
        start_logs::LoadedStartLogs,
        takeover::{LoadedFleetState, LoadedJobs},
    },
    crate::clock,
    dewspar::{
        job::TaskId,
        record::RecordWritten,
        schedule::{
            Changes, DeferredEnd, DeferredEndBatch, HoldReport, ManagedVm,
            OrderError, PaceOrder, SentHold, StartLog, VmOrderError, WorkerId,
            WorkerListing,
        },
    },
    dewspar_platform::Error,
    tokio::sync::mpsc,
};

/// How many events may wait for the holder.
const MAX_EVENTS: usize = 4_096;

/// Makes the holder's channel.
pub(super) fn channel() -> (EventSender, mpsc::Receiver<SentEvent>) {
    let (sender, receiver) = mpsc::channel(MAX_EVENTS);
    (EventSender(sender), receiver)
}

/// An event on its way.
#[derive(Debug)]
pub(super) struct SentEvent {
    pub(super) event: Event,
    /// When it was sent, or would have been with room in the channel.
    pub(super) sent_ms: u64,
}

/// The holder is gone, and nobody takes events in.
#[derive(Clone, Copy, Debug)]
pub(super) struct HolderGone;

/// Sends events to the holder; clones share the channel.
#[derive(Clone, Debug)]
pub(super) struct EventSender(mpsc::Sender<SentEvent>);

impl EventSender {
    /// Returns whether the holder is gone.
    pub(super) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends an event, once there is room for it.
    pub(super) async fn send(&self, event: Event) -> Result<(), HolderGone> {
        let sent = SentEvent { event, sent_ms: clock::now_ms() };
        self.0.send(sent).await.map_err(|_| HolderGone)
    }
}

/// What the holder hears of.
#[derive(Debug)]
pub(super) enum Event {
    Feed(Vec<FeedEvent>),
    /// Jobs that former holders left.
    JobsLoaded(LoadedJobs),
    /// Ends of runs whose job former holders couldn't read.
    DeferredEndsLoaded(Vec<DeferredEnd>),
    /// What became of a write of such ends.
    DeferredEndsWritten {
        ends: DeferredEndBatch,
        written: RecordWritten,
    },
    /// Starts that former holders have logged.
    StartLogsLoaded(LoadedStartLogs),
    /// What became of a write of a log of starts.
    StartLogWritten {
        log: StartLog,
        written: RecordWritten,
    },
    /// What former holders left beside them.
    FleetStateLoaded(LoadedFleetState),
    /// All that former holders left was told.
    AllLoaded,
    /// Everything that was accepted before this time has been told.
    FeedCurrent {
        requested_ms: u64,
    },
    DirectoryRead {
        /// When it was asked for, on the steady clock.
        requested_ms: u64,
        listings: Vec<WorkerListing>,
    },
    /// A worker was looked up in the directory.
    WorkerFound {
        /// When it was asked for, on the steady clock.
        requested_ms: u64,
        listing: WorkerListing,
    },
    VmsRead {
        requested_ms: u64,
        vms: Vec<ManagedVm>,
    },
    MaintenanceAnswered {
        vm: String,
        wave: u64,
        result: Result<(), VmOrderError>,
    },
    MoveAnswered {
        vm: String,
        pool: String,
        result: Result<(), VmOrderError>,
    },
    WaveReportFailed {
        wave: u64,
    },
    LeaseRenewed {
        sent_ms: u64,
    },
    LeaseLost,
    StartAnswered {
        worker: WorkerId,
        task: TaskId,
        run: u64,
        /// From when the order was sent, in milliseconds.
        took_ms: u64,
        result: Result<u64, OrderError>,
    },
    StopAnswered {
        worker: WorkerId,
        task: TaskId,
        result: Result<u64, OrderError>,
    },
    HoldAnswered {
        worker: WorkerId,
        held: SentHold,
        result: Result<HoldReport, OrderError>,
    },
    PaceAnswered {
        worker: WorkerId,
        order: PaceOrder,
        result: Result<u64, OrderError>,
    },
    AdviceAnswered {
        step: TaskId,
        workers: Vec<WorkerId>,
        asked_ms: u64,
        answer: Result<Vec<(WorkerId, String)>, Error>,
    },
    /// These changes weren't stored, and may be tried again.
    RetryWrite(Changes),
    /// What became of a write of the counts of waiting jobs.
    CountsWritten(RecordWritten),
    /// What became of a write of a wave's state.
    WaveWritten {
        wave: u64,
        written: RecordWritten,
    },
    /// What became of a write of the VMs of which changes are ordered.
    VmOrdersWritten(RecordWritten),
    ProgressWritten {
        changes: Changes,
        outcome: WriteOutcome,
    },
}
