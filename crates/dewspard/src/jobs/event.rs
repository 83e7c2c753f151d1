/*!
Events that other tasks send to the holder of the scheduler lease, and the
channel that carries them. Each event has the time at which it was sent, so
that its queueing delay can be measured.
*/

use {
    super::{
        cancellations::CancellationsRead,
        progress::{FeedEvent, WrittenProgress},
        start_logs::LoadedStartLogs,
        takeover::{LoadedFleetState, LoadedJobs},
        use_ceilings::LoadedCeilings,
    },
    crate::clock,
    dewspar::{
        job::TaskId,
        record::RecordWriteOutcome,
        schedule::{
            Changes, DeferredEnd, DeferredEndBatch, HoldReport, OrderError,
            PaceOrder, SentHold, StartLog, VmOrderError, VmReading, WorkerId,
            WorkerListing,
        },
        staleness::StateView,
    },
    dewspar_platform::Error,
    tokio::sync::mpsc,
};

/// The capacity of the holder's event channel.
const MAX_EVENTS: usize = 4_096;

/// Creates the holder's event channel.
pub(super) fn channel() -> (EventSender, mpsc::Receiver<SentEvent>) {
    let (sender, receiver) = mpsc::channel(MAX_EVENTS);
    (EventSender(sender), receiver)
}

/// A queued event.
#[derive(Debug)]
pub(super) struct SentEvent {
    pub(super) event: Event,
    /// When the sender offered it, including any wait for space in the
    /// channel.
    pub(super) sent_ms: u64,
}

/// The holder has stopped, and the channel is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct HolderStopped;

/// Sends events to the holder. Clones share the channel.
#[derive(Clone, Debug)]
pub(super) struct EventSender(mpsc::Sender<SentEvent>);

impl EventSender {
    /// Returns whether the holder has stopped.
    pub(super) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Sends an event, waiting for space in the channel.
    ///
    /// # Errors
    ///
    /// [`HolderStopped`] if the holder has stopped.
    pub(super) async fn send(
        &self,
        event: Event,
    ) -> Result<(), HolderStopped> {
        let sent = SentEvent { event, sent_ms: clock::now_ms() };
        self.0.send(sent).await.map_err(|_| HolderStopped)
    }
}

/// An event for the holder.
#[derive(Debug)]
pub(super) enum Event {
    /// Changes of the feed, in the store's order.
    Feed(Vec<FeedEvent>),
    /// A slice of the stored jobs.
    JobsLoaded(LoadedJobs),
    /// Ends of runs whose jobs former holders couldn't read.
    DeferredEndsLoaded(Vec<DeferredEnd>),
    /// The result of a write of such ends.
    DeferredEndsWritten {
        ends: DeferredEndBatch,
        written: RecordWriteOutcome,
    },
    /// The start logs of former holders.
    StartLogsLoaded(LoadedStartLogs),
    /// The result of a write of a start log.
    StartLogWritten {
        log: StartLog,
        written: RecordWriteOutcome,
    },
    /// The ceilings of teams that a former holder stored.
    CeilingsLoaded(LoadedCeilings),
    /// The result of a write of such ceilings.
    CeilingsWritten(RecordWriteOutcome),
    /// The result of a write of the record of silent workers.
    SilentWorkersWritten(RecordWriteOutcome),
    /// The result of a write of the limits on teams.
    TeamLimitsWritten(RecordWriteOutcome),
    /// The stored state of waves and VM orders.
    FleetStateLoaded(LoadedFleetState),
    /// Everything that former holders stored has been sent.
    AllLoaded,
    /// Every job that was accepted before the view's time has been sent, and
    /// every cancellation that was stored before it.
    FeedCurrent {
        view: StateView,
    },
    /// The stored cancellations were read apart from the feed.
    CancellationsRead(CancellationsRead),
    DirectoryRead {
        /// When it was requested, on the steady clock.
        requested_ms: u64,
        listings: Vec<WorkerListing>,
    },
    /// A worker was looked up in the directory.
    WorkerFound {
        /// When it was requested, on the steady clock.
        requested_ms: u64,
        listing: WorkerListing,
    },
    VmsRead {
        requested_ms: u64,
        list: VmReading,
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
        /// The time since the order was sent, in milliseconds.
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
    /// These changes weren't stored, and their retry delay is over.
    RetryWrite(Changes),
    /// The result of a write of the counts of waiting jobs.
    CountsWritten(RecordWriteOutcome),
    /// The result of a write of a wave's state.
    WaveWritten {
        wave: u64,
        written: RecordWriteOutcome,
    },
    /// The result of a write of the record of VM orders.
    VmOrdersWritten(RecordWriteOutcome),
    ProgressWritten {
        changes: Changes,
        written: WrittenProgress,
    },
}
