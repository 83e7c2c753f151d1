/*!
A record of silent workers, which outlives its holder.

A new holder that can't reach a worker has to assume that its predecessor
renewed the lease there just before the takeover, and that whatever the worker
ran goes on for the longest time. Tasks that may run there wait that long. If
each holder started that wait anew, holders that are lost in quick succession
would never end it.

So a holder keeps a record in the store of the workers that are silent, each
with the time after which nothing runs there. While a worker is on the stored
record, its holder doesn't extend the lease there, even if it answers again:
first, a record without the worker must be stored. Such a write depends on the
scheduler lease, so a holder that was superseded can't make it. The next holder
may therefore rely on the record, whatever became of its writer.

| who | does what |
|---|---|
| the holder | lists workers that are silent for a while; extends no lease of those that may be on the stored record |
| the next holder | inherits the record together with the scheduler lease, and waits for what is left |
| a holder that can't write | extends no lease of listed workers; all others are as without the record |

Times are stored as what is left, since the clocks of nodes differ. The reader
counts from when it first saw the record in this version, or from later.

# Example

```
use dewspar::schedule::{Now, Options, Scheduler, SilentWorkers};

let record: SilentWorkers = serde_json::from_str(r#"{"worker-1": 9000}"#)?;
// Seen 4 s ago.
let record = record.after(4_000);
assert_eq!(serde_json::to_string(&record)?, r#"{"worker-1":5000}"#);

let mut scheduler = Scheduler::new(7, Options::default());
let now = Now { steady_ms: 1_000, unix_ms: 1_700_000_000_000 };
scheduler.inherit_silent_workers(&record, now);
// The record is stored already.
assert_eq!(scheduler.begin_silent_workers_write(now), None);
# Ok::<(), serde_json::Error>(())
```
*/

use {
    crate::schedule::{Now, Scheduler, WorkerId, worker::Worker},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a worker is silent before it is put on record, in milliseconds:
/// longer than a few answers are lost in a row, and much less than a lease.
const RECORD_AFTER_MS: u64 = 1_000;

/// How long a worker that is no longer listed stays on record after its lease
/// is over, in milliseconds: several times the three heartbeats after which
/// entries of the directory expire.
const KEEP_UNLISTED_MS: u64 = 10_000;

/// The interval between checks for silent workers, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// The delay before a record that wasn't stored is written again, in
/// milliseconds.
const RETRY_MS: u64 = 500;

/// The most workers on record, which bounds its size to some kilobytes. Others
/// are waited for as without a record.
const MAX_RECORDED: usize = 256;

/// The workers that are silent, each with how long something may still run
/// there, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SilentWorkers(BTreeMap<String, u64>);

impl SilentWorkers {
    /// Returns whether no worker is listed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns what is left after a time, in milliseconds.
    pub fn after(&self, elapsed_ms: u64) -> SilentWorkers {
        let left = self.0.iter().map(|(worker, left_ms)| {
            (worker.clone(), left_ms.saturating_sub(elapsed_ms))
        });
        SilentWorkers(left.collect())
    }
}

/// The record of silent workers, as a holder keeps it.
#[derive(Debug, Default)]
pub(super) struct SilentRecord {
    /// When nothing runs any more on each worker that belongs on record, on
    /// the steady clock, in milliseconds.
    over_ms: BTreeMap<WorkerId, u64>,
    /// The workers that may be on the stored record.
    stored: BTreeSet<WorkerId>,
    /// Whether the last write may not have been done.
    is_uncertain: bool,
    /// The workers on the record that is being written.
    writing: Option<BTreeSet<WorkerId>>,
    next_check_ms: u64,
}

impl SilentRecord {
    /// Returns when nothing runs any more on a worker that former holders
    /// couldn't reach, on the steady clock, in milliseconds.
    pub(super) fn over_ms(&self, worker: &WorkerId) -> Option<u64> {
        self.over_ms.get(worker).copied()
    }

    /// Returns whether the record is checked now.
    fn begin_check(&mut self, now_ms: u64) -> bool {
        if now_ms < self.next_check_ms || self.writing.is_some() {
            return false;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        true
    }

    fn listed(&self) -> BTreeSet<WorkerId> {
        self.over_ms.keys().cloned().collect()
    }
}

impl Scheduler {
    /// Applies the record that came with the scheduler lease, as of now. Call
    /// it before any worker is listed.
    pub fn inherit_silent_workers(
        &mut self,
        workers: &SilentWorkers,
        now: Now,
    ) {
        let over = workers.0.iter().map(|(worker, left_ms)| {
            (WorkerId::new(worker), now.steady_ms.saturating_add(*left_ms))
        });
        self.silent_workers.over_ms = over.collect();
        self.silent_workers.stored = self.silent_workers.listed();
        self.update_withheld_leases();
    }

    /// Returns the record of silent workers, if another one has to be stored.
    /// Call [`Scheduler::silent_workers_written`] once the outcome is known.
    pub fn begin_silent_workers_write(
        &mut self,
        now: Now,
    ) -> Option<SilentWorkers> {
        if !self.silent_workers.begin_check(now.steady_ms) {
            return None;
        }
        self.update_silent_workers(now);
        let record = &mut self.silent_workers;
        let listed = record.listed();
        if listed == record.stored && !record.is_uncertain {
            return None;
        }
        record.writing = Some(listed);
        let left = record.over_ms.iter().map(|(worker, over_ms)| {
            let left_ms = over_ms.saturating_sub(now.steady_ms);
            (worker.to_string(), left_ms)
        });
        let written = SilentWorkers(left.collect());
        self.update_withheld_leases();
        Some(written)
    }

    /// Notes whether the record was stored. If it wasn't, or may have been, no
    /// lease is extended of workers that are on either record.
    pub fn silent_workers_written(&mut self, is_stored: bool, now: Now) {
        let record = &mut self.silent_workers;
        let Some(written) = record.writing.take() else { return };
        record.is_uncertain = !is_stored;
        if is_stored {
            record.stored = written;
        } else {
            record.stored.extend(written);
            record.next_check_ms = now.steady_ms + RETRY_MS;
        }
        self.update_withheld_leases();
    }

    /// Updates which workers belong on record.
    fn update_silent_workers(&mut self, now: Now) {
        // A process that has started under the identifier of a silent one may
        // have orders from the former holder, which only this bounds.
        let inherited_ms =
            self.taken_over_ms + self.options.inherited_lease_ms();
        let record = &mut self.silent_workers;
        for worker in self.workers.values() {
            let id = worker.id();
            if is_silent(worker, now.steady_ms) {
                if record.over_ms.len() < MAX_RECORDED {
                    let over_ms = worker.lease_over_ms.max(inherited_ms);
                    record.over_ms.entry(id.clone()).or_insert(over_ms);
                }
            } else if worker.silent_since_ms.is_none() && worker.has_answered()
            {
                record.over_ms.remove(id);
            }
        }
        let (workers, former) = (&self.workers, &self.former_processes);
        record.over_ms.retain(|worker, over_ms| {
            let may_return = !former.has_ended(worker)
                && now.steady_ms < over_ms.saturating_add(KEEP_UNLISTED_MS);
            workers.contains_key(worker) || may_return
        });
    }

    /// Withholds the leases of all workers that may be on the stored record.
    fn update_withheld_leases(&mut self) {
        let record = &self.silent_workers;
        let writing = record.writing.iter().flatten();
        let withheld = record.stored.iter().chain(writing).cloned().collect();
        self.workers.set_withheld_leases(withheld);
    }
}

/// Returns whether a worker belongs on record: it has been silent for a while,
/// or the directory hasn't shown its address for as long.
fn is_silent(worker: &Worker, now_ms: u64) -> bool {
    let has_no_address = worker.listing.address.is_empty();
    let unlisted = has_no_address && !worker.has_answered();
    let unlisted_since_ms = unlisted.then_some(worker.first_listed_ms);
    let since_ms = worker.silent_since_ms.or(unlisted_since_ms);
    since_ms.is_some_and(|since_ms| now_ms >= since_ms + RECORD_AFTER_MS)
}
