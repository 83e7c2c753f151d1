/*!
Many tasks of a pool that crash their workers at once.

One task that crashes its workers is found out about by itself; see
[`suspects`](super::suspects). When many begin at once, most runs that are lost
are those of sound tasks: a crash takes along what stood on the worker, and all
of that is suspected, far more than there are workers to keep it apart on.

The order of events tells more. A bad task acts as it is loaded, so the runs
that a worker was told to start last before it fell silent are *likely* to be
the cause, a few of some twenty. A *series* is on in a pool once one task was
likely twice in a row, which chance hardly does, and for as long as that
happens again every few seconds. While it is on:

- Likely tasks start again by themselves after their first crash already,
  beside runs that have proven sound, so that their second crash takes
  nothing else young along.
- Several workers are kept free for that, each for one task; such tasks start
  nowhere else.
- Tasks that are likely and have crashed twice go last, since most of them are
  bad and take a worker out for seconds each time: one at a time in a pool.
  Those that are sound are cleared and done meanwhile.

# Example

```text
0.0 s  start a, b, c on w1        w1 lost: b and c began last, both are likely
0.6 s  start b, c, d on w2        w2 lost: b was likely twice, a series is on
1.2 s  start b on w3, kept free   w3 lost: b alone
1.2 s  start c on w4, kept free   c lives on and is cleared
```
*/

use {
    crate::{
        job::TaskId,
        schedule::{Now, Scheduler, WorkerId, worker::Worker},
    },
    std::collections::BTreeMap,
};

/// For how long a series is on after a task was likely the cause of a crash
/// twice in a row, in milliseconds: a crash is known after half a second, and
/// the task's next start may have to wait for some others.
const BURST_MS: u64 = 5_000;

/// How much earlier than the last start before the end of its worker a likely
/// run was ordered, in milliseconds: an order's way, and how unevenly a worker
/// loads what it starts.
const LIKELY_MARGIN_MS: u64 = 50;

/// Which part of a pool's workers is kept free for single tasks, as a divisor:
/// the others must carry all that is sound.
const RESERVED_DIVISOR: usize = 4;

/// How many workers of a pool are kept free for tasks that are most likely bad.
const MAX_RESERVED_FOR_BAD: usize = 1;

/// For whom a worker is kept free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReservedFor {
    /// Any task that is being found out about.
    Tested,
    /// This task.
    Only(TaskId),
}

impl ReservedFor {
    /// Returns whether a task may start there.
    pub(super) fn allows(self, task: &TaskId, tested: bool) -> bool {
        match self {
            ReservedFor::Tested => tested,
            ReservedFor::Only(only) => only == *task,
        }
    }
}

/// The series of crashes of each pool.
#[derive(Debug, Default)]
pub(super) struct CrashBursts {
    /// When a task was last likely the cause twice in a row, by its pool.
    last_ms: BTreeMap<String, u64>,
}

impl CrashBursts {
    /// Notes that a task of a pool was likely the cause twice in a row.
    pub(super) fn note(&mut self, pool: &str, now: Now) {
        self.last_ms.insert(pool.to_owned(), now.steady_ms);
    }

    /// Returns whether a series is on in a pool.
    pub(super) fn is_active(&self, pool: &str, now: Now) -> bool {
        let last_ms = self.last_ms.get(pool);
        last_ms.is_some_and(|at_ms| now.steady_ms < at_ms + BURST_MS)
    }
}

/// Returns how old a run may be at most when its worker was lost to be a likely
/// cause, in milliseconds, by the ages of all that were lost with it.
pub(super) fn likely_age_ms(ages_ms: impl Iterator<Item = u64>) -> u64 {
    ages_ms.min().unwrap_or(0) + LIKELY_MARGIN_MS
}

/// A task that waits for a worker that is kept free for it.
pub(super) struct ReservationRequest<'a> {
    pub(super) task: TaskId,
    pub(super) pool: &'a str,
    /// Whether it was likely the cause of a second crash, so that it is most
    /// likely bad.
    pub(super) is_bad: bool,
}

/// How many more workers of a pool may be kept free.
struct RemainingReservations {
    /// In all.
    any: usize,
    /// For tasks that are most likely bad.
    bad: usize,
}

impl RemainingReservations {
    /// Takes a worker for a task; returns whether there was one left.
    fn take(&mut self, is_bad: bool) -> bool {
        if self.any == 0 || (is_bad && self.bad == 0) {
            return false;
        }
        self.any -= 1;
        self.bad -= usize::from(is_bad);
        true
    }
}

impl Scheduler {
    /// Returns the workers of the pools with a series that are kept free, each
    /// for one of the tasks that wait for that.
    pub(super) fn reserve_burst_workers<'a>(
        &'a self,
        mut requests: Vec<ReservationRequest<'a>>,
        suits: impl Fn(&ReservationRequest, &Worker) -> bool,
    ) -> BTreeMap<WorkerId, ReservedFor> {
        requests.sort_by_key(|request| request.is_bad);
        let mut kept = BTreeMap::new();
        let mut left: BTreeMap<&str, RemainingReservations> = BTreeMap::new();
        for request in &requests {
            let left = left.entry(request.pool).or_insert_with(|| {
                RemainingReservations {
                    any: self.max_reserved(request.pool),
                    bad: MAX_RESERVED_FOR_BAD,
                }
            });
            if !left.take(request.is_bad) {
                continue;
            }
            let wanted = ReservedFor::Only(request.task);
            let suitable = self.workers.values().filter(|worker| {
                worker.listing.pool == request.pool
                    && !kept.contains_key(worker.id())
                    && suits(request, worker)
            });
            // The one that is kept for it already has fewer unproven runs by
            // now than any other.
            let chosen = suitable.min_by_key(|worker| {
                let same = self.reserved.get(worker.id()) == Some(&wanted);
                (!same, worker.runs.len(), worker.id())
            });
            if let Some(worker) = chosen {
                kept.insert(worker.id().clone(), wanted);
            }
        }
        kept
    }

    fn max_reserved(&self, pool: &str) -> usize {
        let usable = self.workers.values().filter(|worker| {
            worker.listing.pool == pool && worker.is_usable()
        });
        (usable.count() / RESERVED_DIVISOR).max(1)
    }
}
