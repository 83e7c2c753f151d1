/*!
What the holder of the scheduler lease hears of, from whatever task.
*/

use {
    super::{
        counts::CountsWritten,
        progress::{FeedEvent, Stored},
    },
    dewspar::{
        job::TaskId,
        schedule::{
            Changes, Held as SentHold, HoldReport, ManagedVm, OrderError,
            PaceOrder, VmOrderError, WorkerId, WorkerListing,
        },
    },
    dewspar_platform::Error,
};

/// What the holder hears of.
#[derive(Debug)]
pub(super) enum Event {
    Feed(Vec<FeedEvent>),
    /// Everything that was accepted before this time has been told.
    FeedCurrent {
        asked_ms: u64,
    },
    Directory(Vec<WorkerListing>),
    Vms {
        asked_ms: u64,
        vms: Vec<ManagedVm>,
    },
    Maintained {
        vm: String,
        wave: u64,
        result: Result<(), VmOrderError>,
    },
    Moved {
        vm: String,
        pool: String,
        result: Result<(), VmOrderError>,
    },
    ReportFailed {
        wave: u64,
    },
    Renewed {
        sent_ms: u64,
    },
    LeaseGone,
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
    /// What became of a write of the counts of waiting jobs.
    Counted(CountsWritten),
    Stored {
        changes: Changes,
        stored: Stored,
    },
}
