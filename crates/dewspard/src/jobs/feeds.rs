/*!
What the holder is told without asking: changes of the feed, the directory of
workers, the list of VMs, and renewals of its lease.
*/

use {
    super::{
        election::Held,
        event::Event,
        keys,
        progress::{FeedEvent, load_feed, read_event},
    },
    crate::{clock, counters},
    dewspar_platform::{Error, Fleet, KeyValue, Watch},
    slog::{Logger, info},
    std::time::Duration,
    tokio::{sync::mpsc, time::sleep},
};

/// How often the directory of workers is read.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(250);

/// How often the list of VMs is read.
const VM_INTERVAL: Duration = Duration::from_millis(500);

/// How much longer the pause between two readings of the directory, or of
/// the list of VMs, gets with each entry: a few hundred of them cost a weak
/// node as much to read as all its orders.
const PAUSE_AN_ENTRY: Duration = Duration::from_millis(2);

/// The share of the lease after which it is renewed.
const RENEWALS_A_LEASE: u64 = 4;

/// The pause after a call to the store that gave no result.
const RETRY: Duration = Duration::from_millis(100);

/// Reads the list of VMs again and again.
pub(super) async fn read_vms<F: Fleet>(fleet: F, sender: mpsc::Sender<Event>) {
    loop {
        let asked_ms = clock::now_ms();
        let mut pause = VM_INTERVAL;
        match fleet.vms().await {
            Ok(vms) => {
                pause = pause.max(PAUSE_AN_ENTRY * vms.len() as u32);
                let event = Event::Vms { asked_ms, vms };
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => counters::platform_failure(&error),
        }
        sleep(pause).await;
    }
}

/// Reports every change of the feed, in the store's order.
pub(super) async fn follow_feed<K: KeyValue>(
    store: K,
    mut version: u64,
    sender: mpsc::Sender<Event>,
    log: Logger,
) {
    loop {
        let error = watch_feed(&store, &mut version, &sender, &log).await;
        counters::platform_failure(&error);
        info!(log, "holder: feed interrupted"; "version" => version,
            "error" => %error);
        // The history may be gone: only the whole is sure to be complete.
        loop {
            sleep(RETRY).await;
            match load_feed(&store, &log).await {
                Ok((read_at, feed)) => {
                    version = read_at;
                    if sender.send(Event::Feed(feed)).await.is_err() {
                        return;
                    }
                    break;
                }
                Err(error) => counters::platform_failure(&error),
            }
        }
    }
}

async fn watch_feed<K: KeyValue>(
    store: &K,
    version: &mut u64,
    sender: &mpsc::Sender<Event>,
    log: &Logger,
) -> Error {
    let mut watch = match store.watch(keys::FEED, *version).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let batch = match watch.next().await {
            Ok(batch) => batch,
            Err(error) => return error,
        };
        *version = (*version).max(batch.version);
        let feed: Vec<FeedEvent> = batch
            .events
            .iter()
            .filter_map(|event| read_event(event, log))
            .collect();
        if !feed.is_empty() {
            // A holder that is gone ends this task.
            let _ = sender.send(Event::Feed(feed)).await;
        }
    }
}

/// Renews the lease, a few times within its length.
pub(super) async fn renew<K: KeyValue>(
    store: K,
    held: Held,
    sender: mpsc::Sender<Event>,
) {
    let pause = Duration::from_millis(held.lease_ms / RENEWALS_A_LEASE);
    loop {
        sleep(pause).await;
        let sent_ms = clock::now_ms();
        let event = match store.keep_alive(held.lease).await {
            Ok(true) => Event::Renewed { sent_ms },
            Ok(false) => Event::LeaseGone,
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

pub(super) async fn read_directory<F: Fleet>(
    fleet: F,
    sender: mpsc::Sender<Event>,
) {
    loop {
        let mut pause = DIRECTORY_INTERVAL;
        match fleet.workers().await {
            Ok(listings) => {
                pause = pause.max(PAUSE_AN_ENTRY * listings.len() as u32);
                let event = Event::Directory(listings);
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            Err(error) => counters::platform_failure(&error),
        }
        sleep(pause).await;
    }
}
