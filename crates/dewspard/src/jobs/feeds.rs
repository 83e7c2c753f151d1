/*!
Background tasks that send events to the holder: the watch on jobs,
cancellations and the lease's key, polls of the directory of workers and of the
list of VMs, and renewals of the lease.
*/

use {
    super::{
        election::HeldLease,
        event::{Event, EventSender},
        keys,
        progress::{FeedEvent, load_feed, parse_event},
        settings::Machine,
        worker_lookups::LookupOutcome,
    },
    crate::{clock, counters},
    dewspar::{
        feed::{FeedProgress, FeedState},
        poll::PollInterval,
        schedule::WorkerId,
        staleness::StateView,
    },
    dewspar_platform::{Error, Fleet, KeyValue, Purpose, Traffic, Watch},
    slog::{Logger, info},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// The pace of reads of the directory of workers. A read takes 300 bytes for
/// each worker, and new workers are looked up individually in between. Other
/// changes, such as that a worker drains, are noticed with this delay. The
/// directory counts as out of date from 2 s on.
const DIRECTORY_POLL_PACE: PollInterval =
    PollInterval { min_ms: 250, max_ms: 1_500, share_percent: 5 };

/// The pace of reads of the list of VMs. A read takes 190 bytes for each VM.
/// Orders to the VM service need a list that isn't older than 2 s.
const VM_POLL_PACE: PollInterval =
    PollInterval { min_ms: 500, max_ms: 1_200, share_percent: 5 };

/// The number of renewals within the duration of the lease.
const RENEWALS_PER_LEASE: u64 = 4;

/// The interval of checks whether the feed's watch is silent, that is, whether
/// it misses changes without failing. A broken watch may take a second to
/// fail, which is longer than a quick job may wait.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The interval at which a feed that lacks changes is looked at during its
/// grace period.
const GRACE_CHECK_INTERVAL_MS: u64 = 100;

/// The delay before a failed call to the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Measures the cost of a node's reads, from its machine's speed and its
/// network traffic.
#[derive(Clone, Debug)]
pub(super) struct PollMeter {
    pub(super) machine: Machine,
    pub(super) traffic: Traffic,
}

impl PollMeter {
    /// Begins a read whose calls are counted under this purpose.
    fn begin(&self, purpose: Purpose) -> Poll<'_> {
        let received = self.received(purpose);
        Poll { meter: self, purpose, received, requested_ms: clock::now_ms() }
    }

    fn received(&self, purpose: Purpose) -> u64 {
        self.traffic.tallies().of(purpose).received_bytes
    }
}

/// A read in progress.
struct Poll<'a> {
    meter: &'a PollMeter,
    purpose: Purpose,
    /// The bytes that were received for its purpose before it began.
    received: u64,
    requested_ms: u64,
}

impl Poll<'_> {
    /// Pauses for as long as the pace requires after a read of this cost, or
    /// until a read is requested.
    async fn pause(self, pace: PollInterval, request: &ReadRequest) {
        let bytes = self.meter.received(self.purpose) - self.received;
        let cost_ms = self.meter.machine.list_read_ms(bytes);
        let took_ms = clock::now_ms().saturating_sub(self.requested_ms);
        let pause_ms = pace.pause_ms(cost_ms, took_ms);
        request.wait(Duration::from_millis(pause_ms)).await;
    }
}

/// Requests that a list be read at once instead of at its pace. Requests that
/// arrive before the next read begins count as one. Clones share their state.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadRequest(Arc<Notify>);

impl ReadRequest {
    /// Requests a read.
    pub(super) fn send(&self) {
        self.0.notify_one();
    }

    /// Waits for a request, at most for this time.
    async fn wait(&self, most: Duration) {
        // OK to ignore: the next read is due either way.
        let _ = timeout(most, self.0.notified()).await;
    }
}

/// Polls the list of VMs until the holder stops.
pub(super) async fn poll_vms<F: Fleet>(
    fleet: F,
    meter: PollMeter,
    request: ReadRequest,
    sender: EventSender,
) {
    loop {
        let poll = meter.begin(Purpose::Vms);
        let requested_ms = poll.requested_ms;
        match fleet.vms().await {
            Ok(list) => {
                let event = Event::VmsRead { requested_ms, list };
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => counters::platform_failure(&error),
        }
        poll.pause(VM_POLL_PACE, &request).await;
    }
}

/// Reports every change of the feed, in the store's order.
///
/// A watch that fails or is silent is replaced by one that resumes at the last
/// version. A full read is avoided because it takes some 2 kB for each open
/// job, and so costs most when many jobs are open and the load is highest.
pub(super) async fn follow_feed<K: KeyValue>(
    store: K,
    version: u64,
    sender: EventSender,
    log: Logger,
) {
    let progress = SharedFeedProgress::new(version);
    let mut last_silent_version = None;
    loop {
        let next = tokio::select! {
            error = watch_feed(&store, &progress, &sender, &log) => {
                counters::platform_failure(&error);
                info!(log, "holder: feed interrupted";
                    "version" => progress.version(), "error" => %error);
                sleep(RETRY_DELAY).await;
                resume_after_failure(&error)
            }
            newest = wait_for_silence(&store, &progress, &sender) => {
                counters::count(counters::SILENT_FEEDS);
                let version = progress.version();
                info!(log, "holder: feed silent";
                    "version" => version, "newest" => newest);
                let previous = last_silent_version.replace(version);
                resume_after_silence(version, previous)
            }
        };
        match next {
            FeedResume::Watch => continue,
            FeedResume::FullRead => {}
        }
        loop {
            match load_feed(&store, &log).await {
                Ok((read_at, feed)) => {
                    if sender.send(Event::Feed(feed)).await.is_err() {
                        return;
                    }
                    progress.advance(read_at);
                    break;
                }
                Err(error) => counters::platform_failure(&error),
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// How the feed is read after a watch of it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedResume {
    /// By another watch that resumes at the last version.
    Watch,
    /// By a full read.
    FullRead,
}

fn resume_after_failure(error: &Error) -> FeedResume {
    match error {
        Error::HistoryGone { .. } => FeedResume::FullRead,
        _ => FeedResume::Watch,
    }
}

/// Chooses a full read if a new watch was silent at the same version as the
/// one that it replaced: a third watch wouldn't help either.
fn resume_after_silence(version: u64, previous: Option<u64>) -> FeedResume {
    if previous == Some(version) {
        FeedResume::FullRead
    } else {
        FeedResume::Watch
    }
}

/// Waits until the feed has missed a job that was accepted or cancelled, and
/// returns the version at which that was stored. Until then, reports the times
/// up to which the feed is current.
async fn wait_for_silence<K: KeyValue>(
    store: &K,
    progress: &SharedFeedProgress,
    sender: &EventSender,
) -> u64 {
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let requested_ms = clock::now_ms();
        let newest = match store.version(keys::LAST_CHANGE).await {
            Ok(newest) => newest,
            Err(error) => {
                counters::platform_failure(&error);
                continue;
            }
        };
        progress.wait_for_delivery(newest, requested_ms).await;
        match progress.state(newest, requested_ms) {
            FeedState::Current => {
                // Queued after the feed's events in the same channel. If the
                // holder has stopped, this task is aborted.
                progress.note_current(requested_ms);
                let revision = progress.version();
                let view = StateView { revision, current_ms: requested_ms };
                let _ = sender.send(Event::FeedCurrent { view }).await;
            }
            FeedState::Behind => {}
            FeedState::Silent => return newest,
        }
    }
}

/// The version and time of the last change received from the feed, shared by
/// the watch and the check for silence.
#[derive(Debug)]
struct SharedFeedProgress(Mutex<FeedProgress>);

impl SharedFeedProgress {
    fn new(version: u64) -> SharedFeedProgress {
        let progress = FeedProgress::new(version, clock::now_ms());
        SharedFeedProgress(Mutex::new(progress))
    }

    fn progress(&self) -> MutexGuard<'_, FeedProgress> {
        // OK after a panic: each update of it is complete.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn version(&self) -> u64 {
        self.progress().version()
    }

    /// Waits until a feed that lacks changes has delivered some since the
    /// request, at most for its grace period.
    async fn wait_for_delivery(&self, newest: u64, requested_ms: u64) {
        let mut left_ms = self.progress().grace_ms(newest, requested_ms);
        let mut state = self.state(newest, requested_ms);
        // A feed that is behind may be current one interval later.
        while left_ms > 0 && state != FeedState::Current {
            let pause_ms = left_ms.min(GRACE_CHECK_INTERVAL_MS);
            sleep(Duration::from_millis(pause_ms)).await;
            left_ms -= pause_ms;
            state = self.state(newest, requested_ms);
            if state == FeedState::Behind {
                return;
            }
        }
    }

    fn advance(&self, version: u64) {
        self.progress().advance(version, clock::now_ms());
    }

    fn note_current(&self, at_ms: u64) {
        self.progress().note_current(at_ms);
    }

    fn state(&self, newest: u64, requested_ms: u64) -> FeedState {
        self.progress().state(newest, requested_ms)
    }
}

async fn watch_feed<K: KeyValue>(
    store: &K,
    progress: &SharedFeedProgress,
    sender: &EventSender,
    log: &Logger,
) -> Error {
    let from = progress.version();
    let mut watch = match store.watch(keys::FEED, from).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let batch = match watch.next().await {
            Ok(batch) => batch,
            Err(error) => return error,
        };
        let feed: Vec<FeedEvent> = batch
            .events
            .iter()
            .filter_map(|event| parse_event(event, log))
            .collect();
        if !feed.is_empty() {
            // If the holder has stopped, this task is aborted.
            let _ = sender.send(Event::Feed(feed)).await;
        }
        // Only after the events are queued: the check for silence reports the
        // feed as current in the same channel, which must come after them.
        progress.advance(batch.version);
    }
}

/// Renews the lease several times within its duration, until the holder stops.
pub(super) async fn renew_lease<K: KeyValue>(
    store: K,
    held: HeldLease,
    sender: EventSender,
) {
    let pause = Duration::from_millis(held.lease_ms / RENEWALS_PER_LEASE);
    loop {
        sleep(pause).await;
        let sent_ms = clock::now_ms();
        let event = match store.keep_alive(held.lease).await {
            Ok(true) => Event::LeaseRenewed { sent_ms },
            Ok(false) => Event::LeaseLost,
            Err(error) => {
                counters::platform_failure(&error);
                continue;
            }
        };
        if sender.send(event).await.is_err() {
            return;
        }
    }
}

/// Polls the directory of workers until the holder stops.
pub(super) async fn poll_directory<F: Fleet>(
    fleet: F,
    meter: PollMeter,
    request: ReadRequest,
    sender: EventSender,
) {
    loop {
        let poll = meter.begin(Purpose::Directory);
        match fleet.workers().await {
            Ok(listings) => {
                let requested_ms = poll.requested_ms;
                let event = Event::DirectoryRead { requested_ms, listings };
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => counters::platform_failure(&error),
        }
        poll.pause(DIRECTORY_POLL_PACE, &request).await;
    }
}

/// Looks a worker up in the directory.
pub(super) async fn look_up_worker<F: Fleet>(
    fleet: &F,
    id: &WorkerId,
    sender: &EventSender,
) -> LookupOutcome {
    let requested_ms = clock::now_ms();
    match fleet.worker(id).await {
        Ok(Some(listing)) => {
            let event = Event::WorkerFound { requested_ms, listing };
            // If the holder has stopped, the result isn't needed.
            let _ = sender.send(event).await;
            LookupOutcome::Done
        }
        Ok(None) if sender.is_closed() => LookupOutcome::Done,
        // It has ended already, or it will register soon.
        Ok(None) => LookupOutcome::Retry,
        Err(error) => {
            counters::platform_failure(&error);
            if sender.is_closed() {
                LookupOutcome::Done
            } else {
                LookupOutcome::Retry
            }
        }
    }
}
