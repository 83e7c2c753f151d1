/*!
A key-value store with revisions, leases and watches, in memory.

It is a [`KeyValue`] itself, so a test can use it without a socket; [`Faults`]
strike there just as they do over the network.

# Example

```
use {
    dewspar_platform::{Cas, Expected, KeyValue},
    dewspar_standin::{faults::Faults, store::Store},
};

let store = Store::new(Faults::new(1));
let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_time()
    .build()?;
runtime.block_on(async {
    let cas = store.swap("a", Expected::Absent, b"1", None).await?;
    assert_eq!(cas, Cas::Swapped(2));
    let cas = store.swap("a", Expected::Absent, b"2", None).await?;
    assert!(matches!(cas, Cas::Conflict(Some(_))));
    Ok::<(), dewspar_platform::Error>(())
})?;
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::faults::{Fate, Faults},
    dewspar_platform::{
        Batch, Commit, Error, Event, Expected, KeyValue, Lease, Put,
        Versioned, Watch, WatchBatch,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// How many events are kept for watches that start in the past.
const KEPT_EVENTS: usize = 100_000;

/// How long a caller waits for the answer of a commit that is lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// A store; clones share its content.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    version: watch::Sender<u64>,
    /// How often each prefix was listed.
    lists: Arc<Mutex<BTreeMap<String, u64>>>,
    /// The write that is to be done late, if any.
    late: Arc<Mutex<Option<LateWrite>>>,
    values: Arc<Mutex<ValueLimit>>,
    faults: Faults,
}

/// The largest value that is accepted, and the writes refused for it.
#[derive(Debug)]
struct ValueLimit {
    max_bytes: usize,
    refused_writes: u64,
}

/// The next write of a key, and how much later it is done.
#[derive(Debug)]
struct LateWrite {
    key: String,
    by: Duration,
}

#[derive(Debug)]
struct State {
    version: u64,
    entries: BTreeMap<String, Stored>,
    leases: BTreeMap<i64, Granted>,
    next_lease: i64,
    events: VecDeque<Event>,
    /// The version up to which the history is gone.
    forgotten: u64,
}

#[derive(Debug)]
struct Stored {
    version: u64,
    value: Vec<u8>,
    lease: i64,
}

#[derive(Debug)]
struct Granted {
    ttl: Duration,
    until: Instant,
}

impl Store {
    /// Makes an empty store.
    pub fn new(faults: Faults) -> Store {
        let state = State {
            version: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            events: VecDeque::new(),
            forgotten: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let (version, lists) = (watch::Sender::new(1), Arc::default());
        let values = ValueLimit { max_bytes: usize::MAX, refused_writes: 0 };
        let values = Arc::new(Mutex::new(values));
        let late = Arc::default();
        Store { state, version, lists, late, values, faults }
    }

    /// Returns the store's faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the same store as reached from elsewhere, with faults of that
    /// way.
    pub fn reached_with(&self, faults: Faults) -> Store {
        Store { faults, ..self.clone() }
    }

    /// Returns how many keys there are with the prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.lock();
        state.entries.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns how often a prefix was listed.
    pub fn lists_of(&self, prefix: &str) -> u64 {
        self.lists().get(prefix).copied().unwrap_or(0)
    }

    fn lists(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the next write of a key be done so much later; its answer is lost
    /// at once.
    pub fn delay_next_write(&self, key: &str, by: Duration) {
        let late = LateWrite { key: key.to_owned(), by };
        *self.late() = Some(late);
    }

    /// Sets the largest value that is accepted, in bytes.
    pub fn set_max_value_bytes(&self, max_bytes: usize) {
        self.values().max_bytes = max_bytes;
    }

    /// Returns how many writes were refused because of a value that was too
    /// large.
    pub fn refused_writes(&self) -> u64 {
        self.values().refused_writes
    }

    fn values(&self) -> MutexGuard<'_, ValueLimit> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a batch that has too large a value.
    fn check_values(&self, batch: &Batch) -> Result<(), Error> {
        let mut values = self.values();
        let max_bytes = values.max_bytes;
        let too_large = |put: &&Put| put.value.len() > max_bytes;
        let Some(put) = batch.puts.iter().find(too_large) else {
            return Ok(());
        };
        values.refused_writes += 1;
        let bytes = put.value.len();
        let reason = format!("the value of {} has {bytes} bytes", put.key);
        Err(Error::Rejected { call: "commit", reason })
    }

    fn late(&self) -> MutexGuard<'_, Option<LateWrite>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much later a batch is to be done, if it is.
    fn take_delay(&self, batch: &Batch) -> Option<Duration> {
        let writes = |late: &mut LateWrite| {
            batch.puts.iter().any(|p| p.key == late.key)
        };
        self.late().take_if(writes).map(|late| late.by)
    }

    /// Does a batch after a while, if its conditions hold by then.
    fn commit_later(&self, batch: Batch, by: Duration) {
        let store = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(by).await;
            let mut state = store.lock();
            let _ = state.commit(&batch);
            store.announce(&state);
        });
    }

    /// Ends the leases that have lapsed.
    pub fn lapse_leases(&self) {
        // During an outage nobody can renew, and nobody is told either.
        if self.faults.outage() {
            return;
        }
        let mut state = self.lock();
        let now = Instant::now();
        let lapsed: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, granted)| granted.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            state.end_lease(id);
        }
        self.announce(&state);
    }

    /// Forgets the history: watches from before now are cut.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten = state.version;
        state.events.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announce(&self, state: &State) {
        self.version.send_if_modified(|version| {
            let newer = *version != state.version;
            *version = state.version;
            newer
        });
    }

    async fn call<T>(
        &self,
        call: &'static str,
        act: impl FnOnce(&mut State) -> T,
    ) -> Result<T, Error> {
        let delay = self.faults.delay();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let fate = self.faults.fate();
        if fate == Fate::Refuse {
            let reason = "outage".to_owned();
            return Err(Error::Unavailable { call, reason });
        }
        let result = {
            let mut state = self.lock();
            let result = act(&mut state);
            self.announce(&state);
            result
        };
        if fate == Fate::LoseAnswer {
            let reason = "answer lost".to_owned();
            return Err(Error::Lost { call, reason });
        }
        Ok(result)
    }
}

impl State {
    fn get(&self, key: &str) -> Option<Versioned> {
        let stored = self.entries.get(key)?;
        Some(Versioned {
            key: key.to_owned(),
            version: stored.version,
            value: stored.value.clone(),
            is_leased: stored.lease != 0,
        })
    }

    fn log(&mut self, event: Event) {
        self.events.push_back(event);
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    fn commit(&mut self, batch: &Batch) -> Commit {
        let conflict = batch.conditions.iter().any(|condition| {
            let stored = self.entries.get(&condition.key);
            let current = stored.map_or(0, |stored| stored.version);
            match condition.expected {
                Expected::Any => false,
                Expected::Absent => current != 0,
                Expected::Version(version) => current != version,
            }
        });
        if conflict {
            let keys = batch.conditions.iter().map(|c| &c.key);
            return Commit::Conflict(
                keys.filter_map(|key| self.get(key)).collect(),
            );
        }
        self.version += 1;
        for put in &batch.puts {
            self.put(put);
        }
        for key in &batch.deletes {
            self.remove(key);
        }
        Commit::Done(self.version)
    }

    fn put(&mut self, put: &Put) {
        let Put { key, value, lease } = put.clone();
        let version = self.version;
        let stored = Stored {
            version,
            value: value.clone(),
            lease: lease.map_or(0, |lease| lease.0),
        };
        let is_leased = stored.lease != 0;
        self.entries.insert(key.clone(), stored);
        self.log(Event::Put(Versioned { key, version, value, is_leased }));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            let (key, version) = (key.to_owned(), self.version);
            self.log(Event::Deleted { key, version });
        }
    }

    fn delete(&mut self, key: &str) {
        if self.entries.contains_key(key) {
            self.version += 1;
            self.remove(key);
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

impl KeyValue for Store {
    type Watch = StoreWatch;

    async fn get(&self, key: &str) -> Result<Option<Versioned>, Error> {
        self.faults.count_read();
        self.call("read", |state| state.get(key)).await
    }

    async fn version(&self, key: &str) -> Result<u64, Error> {
        self.faults.count_read();
        self.call("read", |state| {
            state.entries.get(key).map_or(0, |stored| stored.version)
        })
        .await
    }

    async fn list(
        &self,
        prefix: &str,
    ) -> Result<(u64, Vec<Versioned>), Error> {
        self.faults.count_read();
        *self.lists().entry(prefix.to_owned()).or_default() += 1;
        if self.faults.unlisted(prefix) {
            let reason = "lists are refused".to_owned();
            return Err(Error::Unavailable { call: "read", reason });
        }
        let answer = self.call("read", |state| {
            let entries = state
                .entries
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .filter_map(|(key, _)| state.get(key))
                .collect();
            (state.version, entries)
        });
        let answer = answer.await;
        let under_way = self.faults.list_delay();
        if !under_way.is_zero() {
            tokio::time::sleep(under_way).await;
        }
        answer
    }

    async fn commit(&self, batch: &Batch) -> Result<Commit, Error> {
        self.faults.count_write();
        self.check_values(batch)?;
        if let Some(by) = self.take_delay(batch) {
            self.commit_later(batch.clone(), by);
            let reason = "answer lost".to_owned();
            return Err(Error::Lost { call: "commit", reason });
        }
        let committed = self
            .call("commit", |state| {
                let mut leases = batch.puts.iter().filter_map(|p| p.lease);
                if !leases.all(|lease| state.leases.contains_key(&lease.0)) {
                    return None;
                }
                Some(state.commit(batch))
            })
            .await?;
        if self.faults.commit_answers_lost() {
            tokio::time::sleep(LOST_ANSWER_DELAY).await;
            let reason = "answer lost".to_owned();
            return Err(Error::Lost { call: "commit", reason });
        }
        committed.ok_or_else(|| Error::Unavailable {
            call: "commit",
            reason: "requested lease not found".to_owned(),
        })
    }

    async fn delete(&self, key: &str) -> Result<(), Error> {
        self.faults.count_write();
        self.call("delete", |state| state.delete(key)).await
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Lease, Error> {
        self.faults.count_write();
        self.call("grant lease", |state| {
            let id = state.next_lease;
            state.next_lease += 1;
            let ttl = Duration::from_millis(ttl_ms);
            let until = Instant::now() + ttl;
            state.leases.insert(id, Granted { ttl, until });
            Lease(id)
        })
        .await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, Error> {
        self.faults.count_write();
        self.call("renew lease", |state| {
            match state.leases.get_mut(&lease.0) {
                None => false,
                Some(granted) => {
                    granted.until = Instant::now() + granted.ttl;
                    true
                }
            }
        })
        .await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.faults.count_write();
        self.call("end lease", |state| state.end_lease(lease.0)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<StoreWatch, Error> {
        self.faults.count_read();
        self.call("watch", |_| ()).await?;
        Ok(StoreWatch {
            store: self.clone(),
            prefix: prefix.to_owned(),
            seen: after,
            changes: self.version.subscribe(),
        })
    }
}

/// A watch on a [`Store`].
#[derive(Debug)]
pub struct StoreWatch {
    store: Store,
    prefix: String,
    seen: u64,
    changes: watch::Receiver<u64>,
}

impl StoreWatch {
    /// Returns what came since; `None` if that history is gone.
    fn collect(&self) -> Option<WatchBatch> {
        let state = self.store.lock();
        if self.seen < state.forgotten {
            return None;
        }
        // Versions rise along the log, so the unseen ones are at its end.
        let start = state.events.partition_point(|e| e.version() <= self.seen);
        let events: Vec<Event> = state
            .events
            .range(start..)
            .filter(|event| event.key().starts_with(&self.prefix))
            .cloned()
            .collect();
        Some(WatchBatch { version: state.version, events })
    }
}

impl Watch for StoreWatch {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        loop {
            if self.store.faults.outage() {
                let reason = "outage".to_owned();
                return Err(Error::Unavailable { call: "watch", reason });
            }
            if self.store.faults.silent() {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            self.changes.borrow_and_update();
            let Some(batch) = self.collect() else {
                return Err(Error::HistoryGone { call: "watch" });
            };
            self.seen = batch.version;
            if !batch.events.is_empty() {
                return Ok(batch);
            }
            // An outage ends watches too, though nothing is written then.
            let look = Duration::from_millis(100);
            let changed = self.changes.changed();
            let _ = tokio::time::timeout(look, changed).await;
        }
    }
}
