/*!
What the holder is told without asking: changes of the feed, the directory of
workers, the list of VMs, and renewals of its lease.
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
        poll::PollPace,
        schedule::WorkerId,
    },
    dewspar_platform::{Error, Fleet, KeyValue, Purpose, Traffic, Watch},
    slog::{Logger, info},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often the directory of workers is read: it takes 300 bytes a worker,
/// and new lives are looked up one by one meanwhile. What changes otherwise,
/// such as that a worker drains, may be known so much later; from 2 s on the
/// directory counts as not read for a while.
const DIRECTORY_POLL_PACE: PollPace =
    PollPace { least_ms: 250, most_ms: 1_500, share_percent: 5 };

/// How often the list of VMs is read: it takes 190 bytes a VM. What is
/// ordered of VMs needs one that isn't older than 2 s.
const VM_POLL_PACE: PollPace =
    PollPace { least_ms: 500, most_ms: 1_200, share_percent: 5 };

/// The share of the lease after which it is renewed.
const RENEWALS_PER_LEASE: u64 = 4;

/// How often it is checked whether the feed has gone silent: a watch may hear
/// nothing for a second before it fails, which is longer than a quick job may
/// wait.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How far the feed may be behind what the store has, in time: some answers
/// of a slow store.
const SILENCE_GRACE: Duration = Duration::from_millis(100);

/// The pause after a call to the store that gave no result.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a node's readings cost it.
#[derive(Clone, Debug)]
pub(super) struct PollCost {
    pub(super) machine: Machine,
    pub(super) traffic: Traffic,
}

impl PollCost {
    /// Begins a reading whose calls count for this purpose.
    fn begin(&self, purpose: Purpose) -> Poll<'_> {
        let received = self.received(purpose);
        Poll { cost: self, purpose, received, requested_ms: clock::now_ms() }
    }

    fn received(&self, purpose: Purpose) -> u64 {
        self.traffic.tallies().of(purpose).received_bytes
    }
}

/// A reading under way.
struct Poll<'a> {
    cost: &'a PollCost,
    purpose: Purpose,
    /// What was received for its purpose before.
    received: u64,
    requested_ms: u64,
}

impl Poll<'_> {
    /// Pauses as long as its cost asks for.
    async fn pause(self, pace: PollPace) {
        let bytes = self.cost.received(self.purpose) - self.received;
        let cost_ms = self.cost.machine.list_read_ms(bytes);
        let took_ms = clock::now_ms().saturating_sub(self.requested_ms);
        sleep(Duration::from_millis(pace.pause_ms(cost_ms, took_ms))).await;
    }
}

/// Reads the list of VMs again and again.
pub(super) async fn poll_vms<F: Fleet>(
    fleet: F,
    cost: PollCost,
    sender: EventSender,
) {
    loop {
        let poll = cost.begin(Purpose::Vms);
        let requested_ms = poll.requested_ms;
        match fleet.vms().await {
            Ok(vms) => {
                let event = Event::VmsRead { requested_ms, vms };
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => counters::platform_failure(&error),
        }
        poll.pause(VM_POLL_PACE).await;
    }
}

/// Reports every change of the feed, in the store's order.
///
/// A watch that fails or falls silent is followed by another that goes on
/// from where it stood: a whole reading takes some 2 kB for each open job, and
/// most of all when many are open, which is when it is needed least.
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
                after_failure(&error)
            }
            newest = wait_for_silence(&store, &progress, &sender) => {
                counters::count(counters::SILENT_FEEDS);
                let version = progress.version();
                info!(log, "holder: feed silent";
                    "version" => version, "newest" => newest);
                let previous_silent_version = last_silent_version.replace(version);
                after_silence(version, previous_silent_version)
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

/// How the feed is read once a watch of it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedResume {
    /// By another watch, from where the last one stood.
    Watch,
    /// As a whole.
    FullRead,
}

fn after_failure(error: &Error) -> FeedResume {
    match error {
        Error::HistoryGone { .. } => FeedResume::FullRead,
        _ => FeedResume::Watch,
    }
}

/// A watch that took the place of a silent one and heard nothing either won't
/// be helped by a third.
fn after_silence(
    version: u64,
    previous_silent_version: Option<u64>,
) -> FeedResume {
    if previous_silent_version == Some(version) {
        FeedResume::FullRead
    } else {
        FeedResume::Watch
    }
}

/// Returns once the store has accepted a job of which the feed doesn't tell,
/// with the version at which it did; until then it reports when the feed was
/// current.
async fn wait_for_silence<K: KeyValue>(
    store: &K,
    progress: &SharedFeedProgress,
    sender: &EventSender,
) -> u64 {
    loop {
        sleep(SILENCE_CHECK_INTERVAL).await;
        let requested_ms = clock::now_ms();
        let newest = match store.version(keys::ACCEPTED_LAST).await {
            Ok(newest) => newest,
            Err(error) => {
                counters::platform_failure(&error);
                continue;
            }
        };
        if newest > progress.version() {
            sleep(SILENCE_GRACE).await;
        }
        match progress.state(newest, requested_ms) {
            FeedState::Current => {
                // Behind what the feed has told, in the same channel. A holder
                // that is gone ends this task.
                let _ = sender.send(Event::FeedCurrent { requested_ms }).await;
            }
            FeedState::Behind => {}
            FeedState::Silent => return newest,
        }
    }
}

/// Up to where and when the feed was heard; the tasks that watch it and look
/// for silence share it.
#[derive(Debug)]
struct SharedFeedProgress(Mutex<FeedProgress>);

impl SharedFeedProgress {
    fn new(version: u64) -> SharedFeedProgress {
        let progress = FeedProgress::new(version, clock::now_ms());
        SharedFeedProgress(Mutex::new(progress))
    }

    fn progress(&self) -> MutexGuard<'_, FeedProgress> {
        // OK after a panic: each change of it is whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn version(&self) -> u64 {
        self.progress().version()
    }

    fn advance(&self, version: u64) {
        self.progress().heard(version, clock::now_ms());
    }

    fn state(&self, newest: u64, requested_ms: u64) -> FeedState {
        self.progress().judge(newest, requested_ms)
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
            // A holder that is gone ends this task.
            let _ = sender.send(Event::Feed(feed)).await;
        }
        // Not before it is on its way: who finds the feed current says so in
        // the same channel.
        progress.advance(batch.version);
    }
}

/// Renews the lease, a few times within its length.
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

/// Reads the directory of workers again and again.
pub(super) async fn poll_directory<F: Fleet>(
    fleet: F,
    cost: PollCost,
    sender: EventSender,
) {
    loop {
        let poll = cost.begin(Purpose::Directory);
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
        poll.pause(DIRECTORY_POLL_PACE).await;
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
            // A holder that is gone has no use for it.
            let _ = sender.send(event).await;
            LookupOutcome::Done
        }
        Ok(None) if sender.is_closed() => LookupOutcome::Done,
        // It has gone again, or it enters itself in a moment.
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
