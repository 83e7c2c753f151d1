use {
    crate::{Error, Purpose},
    std::future::Future,
};

/// A value and the version of its key.
///
/// Versions are those of the whole store: each write gets a higher one than
/// every write before it, so versions of different keys can be compared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The version of the write that put the value there.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
    /// Whether it goes with a lease; else it stays until it is deleted.
    pub is_leased: bool,
}

/// What a key must be for a swap to take place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// It must not exist.
    Absent,
    /// It must still be at this version.
    Version(u64),
    /// It may be anything.
    Any,
}

impl Expected {
    /// Returns what a writer expects that read this version; 0 is absent.
    pub fn from_version(version: u64) -> Expected {
        match version {
            0 => Expected::Absent,
            version => Expected::Version(version),
        }
    }
}

/// What became of a swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cas {
    /// It took place; this is the key's new version.
    Swapped(u64),
    /// The key wasn't as expected; this is what it is now.
    Conflict(Option<Versioned>),
}

/// A condition on a key of a [`Batch`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// What it must be.
    pub expected: Expected,
}

/// A write of a [`Batch`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key goes with, if any.
    pub lease: Option<Lease>,
}

/// Writes that take place together, or none of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// What must hold; the keys needn't be written.
    pub conditions: Vec<Condition>,
    /// The keys to write.
    pub puts: Vec<Put>,
    /// The keys to delete; one that isn't there is passed over.
    pub deletes: Vec<String>,
}

impl Batch {
    /// Adds a condition.
    pub fn when(mut self, key: &str, expected: Expected) -> Batch {
        self.conditions.push(Condition { key: key.to_owned(), expected });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: &str, value: Vec<u8>) -> Batch {
        self.puts.push(Put { key: key.to_owned(), value, lease: None });
        self
    }

    /// Adds a write of a key that goes with a lease.
    pub fn put_leased(
        mut self,
        key: &str,
        value: Vec<u8>,
        lease: Lease,
    ) -> Batch {
        let lease = Some(lease);
        self.puts.push(Put { key: key.to_owned(), value, lease });
        self
    }

    /// Adds a deletion.
    pub fn delete(mut self, key: &str) -> Batch {
        self.deletes.push(key.to_owned());
        self
    }
}

/// What became of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All of it took place, at this version of the store.
    Done(u64),
    /// A condition didn't hold; these are its keys as they are now.
    Conflict(Vec<Versioned>),
}

/// A lease's identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub i64);

/// A change that a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The key was written.
    Put(Versioned),
    /// The key was deleted, or its lease lapsed.
    Deleted {
        /// The key.
        key: String,
        /// The version of the deletion.
        version: u64,
    },
}

impl Event {
    /// Returns the version of the write or deletion.
    pub fn version(&self) -> u64 {
        match self {
            Event::Put(put) => put.version,
            Event::Deleted { version, .. } => *version,
        }
    }

    /// Returns the key that was written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Event::Put(put) => &put.key,
            Event::Deleted { key, .. } => key,
        }
    }
}

/// Changes that a watch saw together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// The store's version up to which the watch has seen everything.
    pub version: u64,
    /// The changes, oldest first; empty when the watch only says so.
    pub events: Vec<Event>,
}

/// A small key-value service with compare-and-swap, leases and watches.
///
/// Keys are paths of printable characters; a prefix selects a range.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// A watch on a range of keys.
    type Watch: Watch;

    /// Returns the same service with calls that count as made for this
    /// purpose, where calls are counted.
    fn with_purpose(&self, _purpose: Purpose) -> Self {
        self.clone()
    }

    /// Returns the same service whose reads may be shared with other nodes, at
    /// most one in `interval_ms` milliseconds, where there are readers. The
    /// results are as current as without.
    fn sharing_reads(&self, _interval_ms: u64) -> Self {
        self.clone()
    }

    /// Returns whether reads are shared with other nodes now.
    fn shares_reads(&self) -> bool {
        false
    }

    /// Reads one key.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Versioned>, Error>> + Send;

    /// Reads the version of one key without its value; 0 means absent.
    fn version(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads every key with the prefix, and the store's version.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(u64, Vec<Versioned>), Error>> + Send;

    /// Carries out a batch if its conditions hold.
    fn commit(
        &self,
        batch: &Batch,
    ) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Writes a key if it is as expected, tied to a lease if one is given.
    fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: &[u8],
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Cas, Error>> + Send {
        let put = Put { key: key.to_owned(), value: value.to_vec(), lease };
        let batch = Batch { puts: vec![put], ..Batch::default() };
        let batch = batch.when(key, expected);
        async move {
            Ok(match self.commit(&batch).await? {
                Commit::Done(version) => Cas::Swapped(version),
                Commit::Conflict(current) => {
                    Cas::Conflict(current.into_iter().next())
                }
            })
        }
    }

    /// Deletes a key, whatever it is.
    fn delete(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Grants a lease that lasts so many milliseconds without renewal.
    fn grant(
        &self,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease; returns false when it has lapsed.
    fn keep_alive(
        &self,
        lease: Lease,
    ) -> impl Future<Output = Result<bool, Error>> + Send;

    /// Ends a lease and deletes the keys tied to it.
    fn revoke(
        &self,
        lease: Lease,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches every key with the prefix, from the version after `after`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}

/// A watch on a range of keys.
pub trait Watch: Send + 'static {
    /// Waits for the next changes.
    ///
    /// An error ends the watch. A new one may go on from the version of the
    /// last batch, unless the error is [`Error::HistoryGone`]: then it must
    /// start from a fresh list.
    fn next(
        &mut self,
    ) -> impl Future<Output = Result<WatchBatch, Error>> + Send;
}
