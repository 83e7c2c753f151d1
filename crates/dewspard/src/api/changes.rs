/*!
The changes of the recent past, for operators that watch.
*/

use {
    crate::view::ViewReader,
    dewspar::config::{Difference, Kind, Snapshot},
    serde_json::{Value, json},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::watch,
};

/// How many changes are kept.
const MOST: usize = 4_096;

/// One change, as a watcher gets it.
#[derive(Clone, Debug)]
pub(super) struct Changed {
    pub(super) revision: u64,
    pub(super) kind: Kind,
    pub(super) line: Value,
}

/// The recent changes; clones share them.
#[derive(Clone, Debug)]
pub struct Changes {
    log: Arc<Mutex<Log>>,
    revision: watch::Receiver<u64>,
}

#[derive(Debug, Default)]
struct Log {
    // Everything after this revision is in the log.
    complete_after: u64,
    revision: u64,
    changes: VecDeque<Changed>,
}

/// What a watcher gets next.
#[derive(Debug)]
pub(super) enum Since {
    /// These changes, up to this revision.
    Changes(u64, Vec<Changed>),
    /// The log doesn't reach back so far; it starts after this revision.
    TooOld(u64),
}

impl Changes {
    /// Starts to note changes of the configuration in force.
    pub fn start(mut view: ViewReader) -> Changes {
        let log: Arc<Mutex<Log>> = Arc::default();
        let (announce, revision) = watch::channel(0);
        let noted = Arc::clone(&log);
        tokio::spawn(async move {
            let mut last: Option<Arc<Snapshot>> = None;
            loop {
                let config = view.borrow_and_update().config.value.clone();
                let newer = last
                    .as_ref()
                    .is_none_or(|last| config.revision() > last.revision());
                if newer && config.revision() > 0 {
                    let mut log = lock(&noted);
                    log.note(last.as_deref(), &config);
                    announce.send_replace(config.revision());
                    last = Some(config);
                }
                if view.changed().await.is_err() {
                    return;
                }
            }
        });
        Changes { log, revision }
    }

    /// Returns the changes after a revision.
    pub(super) fn since(&self, revision: u64) -> Since {
        let log = lock(&self.log);
        if revision < log.complete_after {
            return Since::TooOld(log.complete_after);
        }
        let changes = log
            .changes
            .iter()
            .filter(|changed| changed.revision > revision)
            .cloned()
            .collect();
        Since::Changes(log.revision.max(revision), changes)
    }

    /// Returns a receiver that changes when the log grows.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.clone()
    }
}

fn lock(log: &Mutex<Log>) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Log {
    fn note(&mut self, last: Option<&Snapshot>, now: &Snapshot) {
        let revision = now.revision();
        self.revision = revision;
        let Some(last) = last else {
            // What came before this node started isn't known.
            self.complete_after = revision;
            return;
        };
        for difference in now.differences(last) {
            self.changes.push_back(changed(revision, &difference));
        }
        while self.changes.len() > MOST {
            if let Some(oldest) = self.changes.pop_front() {
                self.complete_after = oldest.revision;
            }
        }
    }
}

fn changed(revision: u64, difference: &Difference) -> Changed {
    let (kind, event, resource) = match difference {
        Difference::Put(resource) => (resource.kind(), "put", resource),
        Difference::Deleted(resource) => {
            (resource.kind(), "deleted", resource)
        }
    };
    let line = json!({
        "event": event,
        "revision": revision,
        "resource": resource.to_value(),
    });
    Changed { revision, kind, line }
}
