/*!
Loading the stored state after a takeover, concurrently with scheduling.

A new holder schedules new jobs immediately; jobs that are already open are
loaded in the background. Cancellations are loaded first, so that no cancelled
job is started. Jobs follow in slices by the first digit of their identifiers,
which is random, each with its progress.

The amount of data isn't known in advance and is estimated from the first
slice. If the remaining slices take little longer, as on any usual link, they
are read at once. Otherwise they are read one by one with pauses, so that
orders and lease renewals find the link free in between. A failed read is
retried, and slices that were loaded aren't read again as long as the lease is
held.
*/

use {
    super::{
        checkpoints::parse_checkpoint,
        deferred_ends::load_deferred_ends,
        event::{Event, EventSender, HolderStopped},
        keys,
        progress::{FeedEvent, parse_feed},
        start_logs::load_start_logs,
        use_ceilings::load_ceilings,
        vm_orders::{LoadedVmOrders, LoadedWaves, load_vm_orders, load_waves},
    },
    crate::{clock, counters, passed_over},
    dewspar::{
        job::{JobId, Progress, checkpoints::SeparateCheckpoint},
        poll::PollInterval,
    },
    dewspar_platform::{Error, Fleet, KeyValue, Versioned},
    slog::{Logger, info},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The slices: the first digits of job identifiers.
const SLICES: [&str; 16] = [
    "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e",
    "f",
];

/// The maximum time in which all remaining slices are read at once, in
/// milliseconds: less than a lease lasts without renewal, and not much more
/// than the time allowed for an order.
const MAX_FULL_READ_MS: u64 = 600;

/// The pace of single slices: half of the link's time is left for orders.
const SLICE_PACE: PollInterval =
    PollInterval { min_ms: 0, max_ms: 1_000, share_percent: 50 };

/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A slice of loaded jobs, with everything that is stored about them.
#[derive(Debug, Default)]
pub(super) struct LoadedJobs {
    pub(super) feed: Vec<FeedEvent>,
    pub(super) progress: BTreeMap<JobId, Progress>,
    /// The store version of each job's progress.
    pub(super) versions: BTreeMap<JobId, u64>,
    /// The checkpoints that are stored apart from the progress.
    pub(super) checkpoints: Vec<SeparateCheckpoint>,
    /// Jobs whose progress can't be read, so that it isn't known which of
    /// their tasks are done.
    pub(super) unreadable: BTreeSet<JobId>,
}

/// What former holders stored besides the jobs.
#[derive(Debug)]
pub(super) struct LoadedFleetState {
    /// The state of each wave.
    pub(super) waves: LoadedWaves,
    /// The waves that were reported to the operator as completed.
    pub(super) completed_waves: Vec<u64>,
    /// The VMs of which the former holder recently ordered changes.
    pub(super) vm_orders: LoadedVmOrders,
    /// The version of the counts of waiting jobs; 0 if there are none.
    pub(super) counts_version: u64,
}

/// Loads the stored state and sends it to the holder, until it is complete.
pub(super) async fn load<K: KeyValue, F: Fleet>(
    store: K,
    fleet: F,
    sender: EventSender,
    log: Logger,
) {
    let began_ms = clock::now_ms();
    let fleet_state = load_fleet_state(&store, &fleet, &sender, &log);
    let jobs = load_jobs(&store, &sender, &log);
    let (fleet_state, jobs) = tokio::join!(fleet_state, jobs);
    // Errors mean that the holder has stopped.
    let (Ok(()), Ok(loaded)) = (fleet_state, jobs) else { return };
    info!(log, "holder: jobs loaded"; "jobs" => loaded.jobs,
        "bytes" => loaded.bytes, "readings" => loaded.reads,
        "took_ms" => clock::now_ms().saturating_sub(began_ms));
    let _ = sender.send(Event::AllLoaded).await;
}

async fn load_fleet_state<K: KeyValue, F: Fleet>(
    store: &K,
    fleet: &F,
    sender: &EventSender,
    log: &Logger,
) -> Result<(), HolderStopped> {
    let fleet_state =
        retry_until_read(|| read_fleet_state(store, fleet, log)).await;
    sender.send(Event::FleetStateLoaded(fleet_state)).await
}

async fn read_fleet_state<K: KeyValue, F: Fleet>(
    store: &K,
    fleet: &F,
    log: &Logger,
) -> Result<LoadedFleetState, Error> {
    // Concurrently, because one after the other takes seconds on a slow store.
    let (waves, completed_waves, vm_orders, counts_version) = tokio::try_join!(
        load_waves(store, log),
        fleet.completed_waves(),
        load_vm_orders(store, log),
        store.version(keys::PENDING),
    )?;
    Ok(LoadedFleetState { waves, completed_waves, vm_orders, counts_version })
}

/// The amount of data that was loaded, for the log.
#[derive(Debug, Default)]
struct LoadTotals {
    jobs: usize,
    bytes: usize,
    reads: usize,
}

/// How the remaining slices are read.
enum RemainingRead {
    AtOnce,
    BySlices,
}

async fn load_jobs<K: KeyValue>(
    store: &K,
    sender: &EventSender,
    log: &Logger,
) -> Result<LoadTotals, HolderStopped> {
    let mut loaded = LoadTotals::default();
    let requested_ms = clock::now_ms();
    let ((_, cancelled), ends, starts, ceilings) = tokio::join!(
        retry_until_read(|| store.list(keys::CANCELLED)),
        retry_until_read(|| load_deferred_ends(store, log)),
        retry_until_read(|| load_start_logs(store, log)),
        retry_until_read(|| load_ceilings(store, log)),
    );
    let call_ms = clock::now_ms().saturating_sub(requested_ms);
    sender.send(Event::CeilingsLoaded(ceilings)).await?;
    sender.send(Event::Feed(parse_feed(&cancelled, log))).await?;
    sender.send(Event::DeferredEndsLoaded(ends)).await?;
    // Sent before any of the jobs that they refer to.
    sender.send(Event::StartLogsLoaded(starts)).await?;

    let [first, rest @ ..] = &SLICES;
    let took_ms = load_slice(store, first, sender, log, &mut loaded).await?;
    match choose_remaining_read(took_ms, call_ms, rest.len() as u64) {
        RemainingRead::AtOnce => {
            load_slice(store, "", sender, log, &mut loaded).await?;
        }
        RemainingRead::BySlices => {
            for slice in rest {
                let took_ms =
                    load_slice(store, slice, sender, log, &mut loaded).await?;
                let pause_ms = SLICE_PACE.pause_ms(took_ms, took_ms);
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
    Ok(loaded)
}

/// Chooses how to read the remaining slices. The estimate is the time of the
/// first slice beyond that of calls with little data, in milliseconds, times
/// the number of remaining slices.
fn choose_remaining_read(
    took_ms: u64,
    call_ms: u64,
    slices_left: u64,
) -> RemainingRead {
    let extra_ms = took_ms.saturating_sub(call_ms) * slices_left;
    if extra_ms <= MAX_FULL_READ_MS {
        RemainingRead::AtOnce
    } else {
        RemainingRead::BySlices
    }
}

/// Loads the jobs whose identifiers begin with the slice's digit, or all jobs
/// for an empty slice; returns the time that the read took, in milliseconds.
async fn load_slice<K: KeyValue>(
    store: &K,
    slice: &str,
    sender: &EventSender,
    log: &Logger,
    loaded: &mut LoadTotals,
) -> Result<u64, HolderStopped> {
    let accepted = format!("{}{slice}", keys::ACCEPTED);
    let progress = format!("{}{slice}", keys::PROGRESS);
    let checkpoints = format!("{}{slice}", keys::CHECKPOINTS);
    let requested_ms = clock::now_ms();
    let read = || async {
        tokio::try_join!(
            store.list(&accepted),
            store.list(&progress),
            store.list(&checkpoints),
        )
    };
    let ((_, accepted), (_, progress), (_, checkpoints)) =
        retry_until_read(read).await;
    let took_ms = clock::now_ms().saturating_sub(requested_ms);
    let size = |items: &[Versioned]| -> usize {
        items.iter().map(|item| item.key.len() + item.value.len()).sum()
    };
    loaded.jobs += accepted.len();
    loaded.bytes += size(&accepted) + size(&progress) + size(&checkpoints);
    loaded.reads += 1;
    let mut jobs = LoadedJobs {
        feed: parse_feed(&accepted, log),
        ..LoadedJobs::default()
    };
    for item in &progress {
        jobs.add_progress(item, log);
    }
    let parse = |item| parse_checkpoint(item, log);
    jobs.checkpoints = checkpoints.iter().filter_map(parse).collect();
    sender.send(Event::JobsLoaded(jobs)).await?;
    Ok(took_ms)
}

impl LoadedJobs {
    fn add_progress(&mut self, item: &Versioned, log: &Logger) {
        let Some(id) = keys::parse_progress(&item.key) else { return };
        match serde_json::from_slice::<Progress>(&item.value) {
            Ok(found) => {
                self.progress.insert(id, found);
                self.versions.insert(id, item.version);
            }
            Err(error) => {
                let (key, version) = (&item.key, item.version);
                passed_over::record(log, "progress", key, version, &error);
                self.unreadable.insert(id);
            }
        }
    }
}

/// Retries a read until it succeeds.
async fn retry_until_read<T, R>(mut read: impl FnMut() -> R) -> T
where
    R: Future<Output = Result<T, Error>>,
{
    loop {
        match read().await {
            Ok(result) => return result,
            Err(error) => counters::platform_failure(&error),
        }
        sleep(RETRY_DELAY).await;
    }
}
