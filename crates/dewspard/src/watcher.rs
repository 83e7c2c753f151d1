/*!
The watcher: one watch on everything that all nodes follow.

It lists the watched prefix, then follows a watch from that version on, and
publishes each new [`View`]. When the watch breaks it starts over, with a
pause that doubles and is spread by chance, so that an outage's end doesn't
bring a storm. A version that peers mention and this node hasn't seen makes
it look at once.

Every few seconds the configuration's version is read on its own, as a check
on a watch that has died in silence.
*/

use {
    crate::{
        clock, counters,
        view::{Document, Listed, View, keys},
    },
    dewspar::{
        config::{self, Chunk, Head, Resource, Snapshot},
        fleet::{self, Hall, Listing},
    },
    dewspar_platform::{
        Error, Event, KeyValue, Unreadable, UnreadableNotes, Versioned,
        VmList, Watch, WatchBatch,
    },
    serde::de::DeserializeOwned,
    slog::{Logger, info, warn},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

/// The first pause after a failure, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause after a failure, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// How often the configuration's version is read on its own.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// When the platform last confirmed that the view is current.
///
/// Clones share it; it holds a time of the steady clock.
#[derive(Clone, Debug, Default)]
pub struct Confirmed(Arc<AtomicU64>);

impl Confirmed {
    /// Returns how long ago the platform confirmed, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.0.load(Ordering::Relaxed))
    }

    /// Notes that the platform was asked at `asked_ms` and has answered: what
    /// it said held no earlier than that, and maybe no later.
    fn asked(&self, asked_ms: u64) {
        self.0.fetch_max(asked_ms, Ordering::Relaxed);
    }
}

/// What the watcher publishes, and how to nudge it.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The newest view.
    pub view: watch::Receiver<Arc<View>>,
    /// When the platform last confirmed it.
    pub confirmed: Confirmed,
    publish: Arc<watch::Sender<Arc<View>>>,
    nudge: mpsc::Sender<u64>,
}

impl Handle {
    /// Returns the configuration's revision in force here.
    pub fn revision(&self) -> u64 {
        self.view.borrow().config.value.revision()
    }

    /// Puts a peer's snapshot in force if it is newer.
    pub fn install(&self, snapshot: Snapshot) {
        self.publish.send_if_modified(|current| {
            if snapshot.revision() <= current.config.value.revision() {
                return false;
            }
            let mut view = View::clone(current);
            let value = Arc::new(snapshot);
            // The version is learned when the platform is reached again.
            view.config = Document { version: 0, value };
            *current = Arc::new(view);
            true
        });
    }
    /// Tells the watcher of a configuration revision seen elsewhere.
    pub fn nudge(&self, revision: u64) {
        let current = self.view.borrow().config.value.revision();
        if revision > current {
            // A full channel means that it is being told already.
            let _ = self.nudge.try_send(revision);
        }
    }
}

/// Starts the watcher on the current runtime.
pub fn start<K: KeyValue, L: VmList>(
    platform: K,
    vm_list: L,
    vm_list_interval: Duration,
    unreadable: UnreadableNotes,
    log: Logger,
) -> Handle {
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let (nudge, nudged) = mpsc::channel(1);
    let confirmed = Confirmed::default();
    let publish = Arc::new(publish);
    let watcher = Watcher {
        platform,
        unreadable,
        publish: Arc::clone(&publish),
        confirmed: confirmed.clone(),
        nudged,
        chunks: BTreeMap::new(),
        head_version: 0,
        log: log.clone(),
    };
    tokio::spawn(watcher.run());
    let shared = Arc::clone(&publish);
    tokio::spawn(follow_vm_list(vm_list, vm_list_interval, shared, log));
    Handle { view, confirmed, publish, nudge }
}

/// Why a round of watching ended.
enum Ended {
    Platform(Error),
    Nudged,
}

impl From<Error> for Ended {
    fn from(error: Error) -> Ended {
        Ended::Platform(error)
    }
}

struct Watcher<K> {
    platform: K,
    unreadable: UnreadableNotes,
    publish: Arc<watch::Sender<Arc<View>>>,
    confirmed: Confirmed,
    nudged: mpsc::Receiver<u64>,
    chunks: BTreeMap<String, Vec<Resource>>,
    /// The newest version of the configuration's head that this node has
    /// looked at, whether it could be read or not.
    head_version: u64,
    log: Logger,
}

impl<K: KeyValue> Watcher<K> {
    async fn run(mut self) {
        let mut pause_ms = FIRST_PAUSE_MS;
        loop {
            let started = Instant::now();
            let Err(ended) = self.round().await else { return };
            if started.elapsed() > Duration::from_millis(LONGEST_PAUSE_MS) {
                pause_ms = FIRST_PAUSE_MS;
            }
            match ended {
                Ended::Nudged => continue,
                Ended::Platform(error) => {
                    counters::platform_failure(&error);
                    warn!(self.log, "watcher: watch ended"; "error" => %error);
                }
            }
            sleep(Duration::from_millis(spread(pause_ms))).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }

    /// Lists and then follows until something goes wrong.
    async fn round(&mut self) -> Result<(), Ended> {
        let asked_ms = clock::now_ms();
        let (version, entries) = self.platform.list(keys::WATCHED).await?;
        let old = self.publish.borrow().clone();
        let mut view = View {
            version,
            listed: Arc::clone(&old.listed),
            // The configuration in force never goes back.
            config: old.config.clone(),
            ..View::default()
        };
        for entry in entries {
            keep_known(&mut view, &old, &entry.key);
            self.put(&mut view, entry).await?;
        }
        self.publish(view);
        self.confirmed.asked(asked_ms);
        let mut watch = self.platform.watch(keys::WATCHED, version).await?;
        info!(self.log, "watcher: watch started"; "version" => version);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                batch = watch.next() => self.take_in(batch?).await?,
                _ = check.tick() => self.check().await?,
                revision = self.nudged.recv() => {
                    let Some(revision) = revision else { return Ok(()) };
                    if self.behind(revision) {
                        return Err(Ended::Nudged);
                    }
                }
            }
        }
    }

    fn behind(&self, revision: u64) -> bool {
        self.publish.borrow().config.value.revision() < revision
    }

    /// Reads the head's version, as a check on the watch.
    async fn check(&mut self) -> Result<(), Ended> {
        let asked_ms = clock::now_ms();
        let version = self.platform.version(keys::CONFIG_HEAD).await?;
        let looked_at = self.publish.borrow().config.version;
        // One that can't be read is no news for ever: looking at it again
        // without a pause was 20,000 lists a minute with a store that
        // answers in 1 ms.
        if version > looked_at.max(self.head_version) {
            // The watch may be just about to say so; the list is cheap.
            return Err(Ended::Nudged);
        }
        self.confirmed.asked(asked_ms);
        Ok(())
    }

    async fn take_in(&mut self, batch: WatchBatch) -> Result<(), Ended> {
        // It confirms nothing: after a suspension it may be one that was sent
        // long before.
        if batch.events.is_empty() {
            return Ok(());
        }
        let mut view = View::clone(&self.publish.borrow());
        for event in batch.events {
            // The store may be further than what it has told this watch.
            view.version = view.version.max(event.version());
            match event {
                Event::Put(entry) => self.put(&mut view, entry).await?,
                Event::Deleted { key, .. } => delete(&mut view, &key),
            }
        }
        self.publish(view);
        Ok(())
    }

    fn publish(&self, mut view: View) {
        let revision = view.config.value.revision();
        counters::set(counters::CONFIG_REVISION, revision as f64);
        self.publish.send_modify(|current| {
            // The VM list's task publishes into the same view.
            view.listed = Arc::clone(&current.listed);
            // And a peer may have given a newer configuration meanwhile.
            let theirs = current.config.value.revision();
            if theirs > view.config.value.revision() {
                view.config = current.config.clone();
            }
            *current = Arc::new(view);
        });
    }

    async fn put(
        &mut self,
        view: &mut View,
        entry: Versioned,
    ) -> Result<(), Ended> {
        let key = entry.key.as_str();
        if key == keys::CONFIG_HEAD {
            return self.put_config(view, &entry).await;
        }
        if let Some(name) = key.strip_prefix(keys::MEMBER) {
            if let Some(member) = self.read(view, "member", &entry) {
                view.members.insert(name.to_owned(), member);
            }
        } else if let Some(name) = key.strip_prefix(keys::HALL) {
            let hall: Option<Document<Hall>> =
                self.document(view, "hall", &entry);
            if let Some(hall) = hall {
                self.note_rows(&hall, &entry);
                view.halls.insert(name.to_owned(), hall);
            }
        } else if let Some(name) = key.strip_prefix(keys::POOL)
            && let Some(pool) = self.document(view, "pool", &entry)
        {
            view.pools.insert(name.to_owned(), pool);
        }
        Ok(())
    }

    async fn put_config(
        &mut self,
        view: &mut View,
        entry: &Versioned,
    ) -> Result<(), Ended> {
        self.head_version = self.head_version.max(entry.version);
        let head: Option<Head> =
            self.read(view, "head of the configuration", entry);
        let Some(head) = head else { return Ok(()) };
        if head.revision() == view.config.value.revision() {
            // A peer may have given the snapshot, but not its version.
            view.config.version = entry.version;
        }
        if head.revision() <= view.config.value.revision() {
            return Ok(());
        }
        let read =
            read_snapshot(&self.platform, &head, &mut self.chunks).await;
        let snapshot = match read {
            Ok(snapshot) => snapshot,
            Err(ReadError::Platform(error)) => {
                // Not looked at to the end: the next check looks again.
                self.head_version = 0;
                return Err(Ended::Platform(error));
            }
            Err(ReadError::Config(error)) => {
                // The last good one stays, and members and halls are heard.
                self.note("configuration", entry, &error);
                return Ok(());
            }
        };
        let value = Arc::new(snapshot);
        view.config = Document { version: entry.version, value };
        info!(self.log, "watcher: configuration in force";
            "revision" => head.revision());
        Ok(())
    }

    fn document<T: DeserializeOwned>(
        &self,
        view: &mut View,
        what: &'static str,
        entry: &Versioned,
    ) -> Option<Document<T>> {
        let value = Arc::new(self.read(view, what, entry)?);
        Some(Document { version: entry.version, value })
    }

    /// Reads a document; one that can't be read is left as it was known.
    fn read<T: DeserializeOwned>(
        &self,
        view: &mut View,
        what: &'static str,
        entry: &Versioned,
    ) -> Option<T> {
        match serde_json::from_slice(&entry.value) {
            Ok(value) => {
                view.unreadable.remove(&entry.key);
                Some(value)
            }
            Err(error) => {
                self.note(what, entry, &error);
                view.unreadable.insert(entry.key.clone());
                None
            }
        }
    }

    fn note_rows(&self, hall: &Document<Hall>, entry: &Versioned) {
        for (vm, reason) in hall.value.unreadable() {
            self.unreadable.note(Unreadable {
                what: "VM's row",
                key: format!("{}: {vm}", entry.key),
                version: entry.version,
                reason: reason.to_owned(),
            });
        }
    }

    fn note(
        &self,
        what: &'static str,
        entry: &Versioned,
        reason: &impl ToString,
    ) {
        self.unreadable.note(Unreadable {
            what,
            key: entry.key.clone(),
            version: entry.version,
            reason: reason.to_string(),
        });
    }
}

/// Takes a document over as it was known, until it is read anew.
fn keep_known(view: &mut View, old: &View, key: &str) {
    if let Some(name) = key.strip_prefix(keys::MEMBER) {
        keep(&mut view.members, &old.members, name);
    } else if let Some(name) = key.strip_prefix(keys::HALL) {
        keep(&mut view.halls, &old.halls, name);
    } else if let Some(name) = key.strip_prefix(keys::POOL) {
        keep(&mut view.pools, &old.pools, name);
    }
}

fn keep<T: Clone>(
    new: &mut BTreeMap<String, T>,
    old: &BTreeMap<String, T>,
    name: &str,
) {
    if let Some(known) = old.get(name) {
        new.insert(name.to_owned(), known.clone());
    }
}

/// Why a snapshot couldn't be read.
#[derive(Debug)]
pub enum ReadError {
    /// The platform gave no result.
    Platform(Error),
    /// What it gave isn't a configuration.
    Config(config::Error),
}

/// Reads the snapshot that a head names, with the chunks already known.
///
/// # Errors
///
/// Returns a [`ReadError`] when a chunk is missing or not what it should be.
pub async fn read_snapshot<K: KeyValue>(
    platform: &K,
    head: &Head,
    chunks: &mut BTreeMap<String, Vec<Resource>>,
) -> Result<Snapshot, ReadError> {
    for name in head.chunk_names() {
        if chunks.contains_key(name) {
            continue;
        }
        let key = format!("{}{name}", keys::CHUNK);
        let entry = platform.get(&key).await.map_err(ReadError::Platform)?;
        let body = entry.map(|entry| entry.value).unwrap_or_default();
        let resources = Chunk::read(name, &body).map_err(ReadError::Config)?;
        chunks.insert(name.to_owned(), resources);
    }
    chunks.retain(|known, _| head.chunk_names().any(|name| name == known));
    let resources = chunks.values().flatten().cloned();
    Ok(Snapshot::from_parts(head.revision(), resources))
}

fn delete(view: &mut View, key: &str) {
    view.unreadable.remove(key);
    if let Some(name) = key.strip_prefix(keys::MEMBER) {
        view.members.remove(name);
    } else if let Some(name) = key.strip_prefix(keys::HALL) {
        view.halls.remove(name);
    } else if let Some(name) = key.strip_prefix(keys::POOL) {
        view.pools.remove(name);
    }
}

/// Spreads a pause between a half and the whole of it.
fn spread(pause_ms: u64) -> u64 {
    let half = pause_ms / 2;
    half + uuid::Uuid::new_v4().as_u128() as u64 % (half + 1)
}

/// Follows the VM list; a list that can't be right is passed over whole.
async fn follow_vm_list<L: VmList>(
    vm_list: L,
    interval: Duration,
    publish: Arc<watch::Sender<Arc<View>>>,
    log: Logger,
) {
    let mut tag = String::new();
    loop {
        match vm_list.list(&tag).await {
            Ok(None) => {}
            Ok(Some(listing)) => {
                tag = listing.tag;
                match fleet::check_addresses(&listing.vms) {
                    Ok(()) => {
                        let is_partial = listing.is_partial;
                        publish_list(&publish, listing.vms, is_partial);
                    }
                    Err(error) => warn!(log, "watcher: VM list refused";
                        "error" => %error),
                }
            }
            Err(error) => {
                counters::platform_failure(&error);
                warn!(log, "watcher: VM list can't be read"; "error" => %error);
            }
        }
        if publish.is_closed() {
            return;
        }
        sleep(interval).await;
    }
}

fn publish_list(
    publish: &watch::Sender<Arc<View>>,
    vms: Vec<Listing>,
    is_partial: bool,
) {
    let leaving = vms
        .iter()
        .filter(|vm| vm.leaving())
        .map(|vm| vm.name().to_owned())
        .collect();
    publish.send_modify(|current| {
        let number = current.listed.number + 1;
        let mut view = View::clone(current);
        view.listed = Arc::new(Listed { number, vms, leaving, is_partial });
        *current = Arc::new(view);
    });
}
