/*!
Bursts of crashes: many tasks of a pool that crash their workers at the same
time.

A single task that crashes its workers is detected on its own; see
[`suspects`](super::suspects). When many such tasks start at once, most lost
runs are sound: each crash takes down everything on the worker, and all of it
becomes suspected, far more than there are workers to isolate it on.

The order of events narrows that down. A bad task crashes while it is loaded,
so only the runs that a worker was ordered to start last before it fell silent
are *likely* causes: a few of some twenty. A *burst* is active in a pool once
one task was a likely cause twice in a row, which hardly happens by chance, and
for as long as that recurs every few seconds. During a burst:

- Likely tasks are tested after their first crash already, beside proven runs
  only, so that their second crash takes down nothing else that started
  recently.
- Several workers are reserved, each for one task; such tasks start nowhere
  else.
- Likely tasks that have crashed twice go last, one at a time in a pool, since
  most of them are bad and each crash takes a worker out for seconds. The sound
  ones are cleared and done meanwhile.

# Example

```text
0.0 s  start a, b, c on w1        w1 lost: b and c started last: both are likely
0.6 s  start b, c, d on w2        w2 lost: b was likely twice: a burst is active
1.2 s  start b on w3, reserved    w3 lost: only b can have caused it
1.2 s  start c on w4, reserved    c lives on and is cleared
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{
            Now, Scheduler, WorkerId, reserved_workers::ReservedFor,
            worker::Worker,
        },
    },
    std::collections::BTreeMap,
};

/// For how long a burst stays active after a task was a likely cause twice in
/// a row, in milliseconds. A crash is known after half a second, and the
/// task's next start may have to wait for some others.
const BURST_MS: u64 = 5_000;

/// How much earlier than the last start on a lost worker a run may have been
/// ordered to be a likely cause, in milliseconds. It covers the transit time
/// of an order and the jitter with which a worker loads what it starts.
const LIKELY_MARGIN_MS: u64 = 50;

/// The fraction of a pool's workers that may be reserved for single tasks, as
/// a divisor; the other workers must carry all sound tasks.
const RESERVED_DIVISOR: usize = 4;

/// The number of a pool's workers that may be reserved for tasks that are most
/// likely bad.
const MAX_RESERVED_FOR_BAD: usize = 1;

/// The crash bursts of all pools.
#[derive(Debug, Default)]
pub(super) struct CrashBursts {
    /// When a task was last a likely cause twice in a row, by pool.
    last_ms: BTreeMap<String, u64>,
    /// When a run was last counted as a possible cause of a crash, by pool.
    last_crash_ms: BTreeMap<String, u64>,
}

impl CrashBursts {
    /// Notes that a task of a pool was a likely cause twice in a row. Returns
    /// when one was before.
    pub(super) fn note(&mut self, pool: &str, now: Now) -> Option<u64> {
        self.last_ms.insert(pool.to_owned(), now.steady_ms)
    }

    /// Notes that a run is a possible cause of a crash in a pool.
    pub(super) fn note_crash(&mut self, pool: &str, now: Now) {
        self.last_crash_ms.insert(pool.to_owned(), now.steady_ms);
    }

    /// Returns when a run was last counted as a possible cause of a crash in a
    /// pool, in milliseconds of the steady clock; 0 for never.
    pub(super) fn last_crash_ms(&self, pool: &str) -> u64 {
        self.last_crash_ms.get(pool).copied().unwrap_or(0)
    }

    /// Restores when a task of a pool was last a likely cause twice in a row.
    pub(super) fn restore(&mut self, pool: &str, last_ms: Option<u64>) {
        match last_ms {
            Some(last_ms) => {
                self.last_ms.insert(pool.to_owned(), last_ms);
            }
            None => {
                self.last_ms.remove(pool);
            }
        }
    }

    /// Returns whether a burst is active in a pool.
    pub(super) fn is_active(&self, pool: &str, now: Now) -> bool {
        let last_ms = self.last_ms.get(pool);
        last_ms.is_some_and(|at_ms| now.steady_ms < at_ms + BURST_MS)
    }
}

/// Returns the age up to which a run lost with its worker is a likely cause,
/// in milliseconds, given the ages of all runs that were lost with it.
pub(super) fn likely_age_ms(ages_ms: impl Iterator<Item = u64>) -> u64 {
    ages_ms.min().unwrap_or(0) + LIKELY_MARGIN_MS
}

/// A task that waits for a worker to be reserved for it.
pub(super) struct ReservationRequest<'a> {
    pub(super) task: TaskId,
    pub(super) pool: &'a str,
    /// Whether it was a likely cause of a second crash, so that it is most
    /// likely bad.
    pub(super) is_bad: bool,
}

/// How many more workers of a pool may be reserved.
struct RemainingReservations {
    /// In all.
    any: usize,
    /// For tasks that are most likely bad.
    bad: usize,
}

impl RemainingReservations {
    fn has_any(&self, is_bad: bool) -> bool {
        self.any > 0 && (!is_bad || self.bad > 0)
    }

    fn take(&mut self, is_bad: bool) {
        self.any -= 1;
        self.bad -= usize::from(is_bad);
    }
}

impl Scheduler {
    /// Returns the workers to reserve in the pools with an active burst, each
    /// for one of the waiting tasks.
    pub(super) fn reserve_burst_workers<'a>(
        &'a self,
        mut requests: Vec<ReservationRequest<'a>>,
        suits: impl Fn(&ReservationRequest, &Worker) -> bool,
    ) -> BTreeMap<WorkerId, ReservedFor> {
        requests.sort_by_key(|request| request.is_bad);
        let mut reserved = BTreeMap::new();
        let mut left: BTreeMap<&str, RemainingReservations> = BTreeMap::new();
        for request in &requests {
            let left = left.entry(request.pool).or_insert_with(|| {
                RemainingReservations {
                    any: self.max_reserved(request.pool),
                    bad: MAX_RESERVED_FOR_BAD,
                }
            });
            if !left.has_any(request.is_bad) {
                continue;
            }
            let wanted =
                ReservedFor { task: request.task, admits_tested: false };
            let suitable = self.workers.values().filter(|worker| {
                worker.listing.pool == request.pool
                    && !reserved.contains_key(worker.id())
                    && suits(request, worker)
            });
            // The worker already reserved for the task has fewer unproven runs
            // by now than any other.
            let chosen = suitable.min_by_key(|worker| {
                let same = self.reserved.get(worker.id()) == Some(&wanted);
                self.reservation_rank(worker, &request.task, same)
            });
            if let Some(worker) = chosen {
                left.take(request.is_bad);
                reserved.insert(worker.id().clone(), wanted);
            }
        }
        reserved
    }

    fn max_reserved(&self, pool: &str) -> usize {
        (self.usable_workers(pool) / RESERVED_DIVISOR).max(1)
    }

    /// Returns the number of a pool's workers that may be used.
    pub(super) fn usable_workers(&self, pool: &str) -> usize {
        let workers = self.workers.in_pool(pool);
        workers.filter(|(_, worker)| worker.is_usable()).count()
    }
}
