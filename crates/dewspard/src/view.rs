/*!
What a node knows of the platform's documents, as one read-only value.

The watcher and the membership task publish a new [`View`] whenever something
changes; every other task reads the newest one. Nothing here is authority: a
task that acts on a document swaps it at the platform, with the version that
stands beside it here.
*/

use {
    dewspar::{
        config::{ServiceSpec, Snapshot},
        fleet::{Hall, Listing, Row, VmState},
        member::Member,
        pool::{PoolState, TaskState},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    tokio::sync::watch,
};

/// The keys of everything that every node watches.
pub mod keys {
    /// The prefix that every node watches.
    pub const WATCHED: &str = "w/";
    /// The configuration's head.
    pub const CONFIG_HEAD: &str = "w/config/head";
    /// The prefix of the members' entries.
    pub const MEMBER: &str = "w/member/";
    /// The prefix of the data halls' documents.
    pub const HALL: &str = "w/hall/";
    /// The prefix of the pools' documents.
    pub const POOL: &str = "w/pool/";
    /// The prefix of the configuration's chunks, which nobody watches.
    pub const CHUNK: &str = "chunk/";
}

/// A document and the version at which it was read; 0 means absent.
#[derive(Clone, Debug, Default)]
pub struct Document<T> {
    /// The document's version at the platform.
    pub version: u64,
    /// The document.
    pub value: Arc<T>,
}

/// A runner that may get requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The address that it serves at.
    pub address: String,
    /// The VM that carries it.
    pub vm: String,
    /// The epoch of its task.
    pub epoch: u64,
}

/// The platform's VM list, as it was last read.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// A number that grows with each list that differs; 0 before the first.
    pub number: u64,
    /// The VMs that are live or leaving.
    pub vms: Vec<Listing>,
    /// The names of those that are leaving.
    pub leaving: BTreeSet<String>,
    /// Whether some VM's row couldn't be read: one that isn't listed may be
    /// there.
    pub is_partial: bool,
}

impl Listed {
    /// Returns whether the VM is live and not leaving.
    pub fn is_live(&self, vm: &str) -> bool {
        self.vms.iter().any(|listing| listing.name() == vm)
            && !self.leaving.contains(vm)
    }
}

/// What a node knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The store's version up to which this is complete.
    pub version: u64,
    /// The desired state.
    pub config: Document<Snapshot>,
    /// The data halls' documents.
    pub halls: BTreeMap<String, Document<Hall>>,
    /// The pools' documents.
    pub pools: BTreeMap<String, Document<PoolState>>,
    /// The members that the platform lists.
    pub members: BTreeMap<String, Member>,
    /// The platform's VM list.
    pub listed: Arc<Listed>,
    /// The keys of documents whose newest version can't be read. They stand
    /// here as they were known, if they were, and aren't ours to change.
    pub unreadable: BTreeSet<String>,
}

impl View {
    /// Returns one VM's row.
    pub fn row(&self, vm: &str) -> Option<&Row> {
        self.halls.values().find_map(|hall| hall.value.row(vm))
    }

    /// Returns whether a VM has a row that can't be read.
    pub fn has_unreadable_row(&self, vm: &str) -> bool {
        self.halls.values().any(|hall| hall.value.has_unreadable(vm))
    }

    /// Returns every VM's row.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &Row)> {
        self.halls.values().flat_map(|hall| hall.value.rows())
    }

    /// Returns the rows of a pool's VMs.
    pub fn pool_rows(&self, pool: &str) -> Vec<(&str, &Row)> {
        self.rows().filter(|(_, row)| row.pool() == Some(pool)).collect()
    }

    /// Returns a service's runners that may get requests, by task.
    pub fn targets(
        &self,
        service: &str,
        spec: &ServiceSpec,
    ) -> BTreeMap<String, Target> {
        let Some(pool) = self.pools.get(&spec.pool) else {
            return BTreeMap::new();
        };
        pool.value
            .tasks()
            .filter(|(_, task)| {
                task.owner() == service
                    && task.state() == TaskState::Running
                    && self.takes_work(task.vm(), &spec.pool)
            })
            .map(|(name, task)| {
                let target = Target {
                    address: task.address().to_owned(),
                    vm: task.vm().to_owned(),
                    epoch: task.epoch(),
                };
                (name.to_owned(), target)
            })
            .collect()
    }

    fn takes_work(&self, vm: &str, pool: &str) -> bool {
        let serving = self.row(vm).is_some_and(|row| {
            row.state() == VmState::Serving && row.pool() == Some(pool)
        });
        serving && !self.listed.leaving.contains(vm)
    }
}

/// The newest view, for reading.
pub type ViewReader = watch::Receiver<Arc<View>>;
