/*!
Concurrent lookups of single new workers in the directory.

A VM that has moved to another pool restarts with a new worker. The list of VMs
names that worker before its address appears in the next full read of the
directory, and until then it can't be given tasks. When the demand of queues
shifts, hundreds of VMs may restart within a second. Each new worker is
therefore looked up immediately, concurrently with others.

A lookup is retried while the worker isn't registered yet, and a worker is
never looked up twice at a time, however often the list of VMs names it. If all
retries fail, the worker is left to full reads of the directory, with
exponential backoff before it is looked up again.

# Example

```
use {
    dewspar::schedule::WorkerId,
    dewspard::jobs::worker_lookups::{LookupOutcome, WorkerLookups},
    std::time::Duration,
    tokio::sync::mpsc,
};

# #[tokio::main(flavor = "current_thread")]
# async fn main() {
let lookups = WorkerLookups::default();
let (found, mut finds) = mpsc::channel(1);
let id = WorkerId::new("worker-7");
for _ in 0..2 {
    let (found, name) = (found.clone(), id.clone());
    lookups.start(&id, move || {
        let (found, name) = (found.clone(), name.clone());
        async move {
            found.send(name).await.unwrap();
            LookupOutcome::Done
        }
    });
}
assert_eq!(finds.recv().await, Some(id));
tokio::time::sleep(Duration::from_millis(10)).await;
assert!(finds.try_recv().is_err(), "one lookup only");
# }
```
*/

use {
    dewspar::schedule::WorkerId,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{Instant, sleep},
    },
};

/// The maximum number of concurrent lookups: with this, 300 workers take ten
/// round trips to the store. A reply has some 400 bytes.
const MAX_CONCURRENT: usize = 32;

/// The delay before an unsuccessful lookup is retried: workers register up to
/// a second after they appear in the list of VMs.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of attempts of a lookup: before they are used up, a full
/// read of the directory shows which workers exist.
const MAX_ATTEMPTS: usize = 12;

/// The first backoff of a worker that wasn't found, and the longest one. It
/// doubles each time: from a time within which the whole directory is
/// certainly read, to one at which the cost of lookups is negligible.
const MIN_BACKOFF: Duration = Duration::from_secs(10);
const MAX_BACKOFF: Duration = Duration::from_secs(160);

/// How long the expired backoff of a worker is kept, in case the worker is
/// looked up again.
const BACKOFF_RETENTION: Duration = Duration::from_secs(600);

/// The backoff of a worker that wasn't found.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    duration: Duration,
}

/// The outcome of an attempt to look up a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// No further attempt is needed.
    Done,
    /// The worker isn't registered yet, or the call failed.
    Retry,
}

/// Lookups in progress. Clones share their state.
#[derive(Clone, Debug)]
pub struct WorkerLookups {
    state: Arc<Mutex<LookupState>>,
    concurrency: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct LookupState {
    in_flight: BTreeSet<WorkerId>,
    /// The workers that weren't found.
    backoffs: BTreeMap<WorkerId, Backoff>,
}

impl LookupState {
    /// Marks a lookup as in progress; returns `false` if one is already in
    /// progress or the worker's backoff isn't over.
    fn begin(&mut self, id: &WorkerId) -> bool {
        let now = Instant::now();
        let backing_off =
            self.backoffs.get(id).is_some_and(|backoff| now < backoff.until);
        !backing_off && self.in_flight.insert(id.clone())
    }

    fn end(&mut self, id: &WorkerId, outcome: LookupOutcome) {
        self.in_flight.remove(id);
        let now = Instant::now();
        self.backoffs
            .retain(|_, backoff| now < backoff.until + BACKOFF_RETENTION);
        let previous = self.backoffs.remove(id);
        if outcome == LookupOutcome::Retry {
            let duration =
                previous.map_or(MIN_BACKOFF, |backoff| backoff.duration * 2);
            let duration = duration.min(MAX_BACKOFF);
            let backoff = Backoff { until: now + duration, duration };
            self.backoffs.insert(id.clone(), backoff);
        }
    }
}

impl Default for WorkerLookups {
    fn default() -> WorkerLookups {
        WorkerLookups {
            state: Arc::default(),
            concurrency: Arc::new(Semaphore::new(MAX_CONCURRENT)),
        }
    }
}

impl WorkerLookups {
    /// Starts a lookup of a worker, unless one is in progress or the worker
    /// wasn't found recently. `look` makes one attempt and is called until it
    /// returns [`LookupOutcome::Done`] or all attempts are used up.
    pub fn start<L, R>(&self, id: &WorkerId, look: L)
    where
        L: Fn() -> R + Send + 'static,
        R: Future<Output = LookupOutcome> + Send,
    {
        if !self.lock().begin(id) {
            return;
        }
        let (lookups, id) = (self.clone(), id.clone());
        tokio::spawn(async move {
            let outcome = lookups.look(look).await;
            lookups.lock().end(&id, outcome);
        });
    }

    async fn look<L, R>(&self, look: L) -> LookupOutcome
    where
        L: Fn() -> R,
        R: Future<Output = LookupOutcome>,
    {
        for _ in 0..MAX_ATTEMPTS {
            // OK because the semaphore is never closed.
            let permit = self.concurrency.acquire().await.expect("open");
            let outcome = look().await;
            drop(permit);
            if outcome == LookupOutcome::Done {
                return outcome;
            }
            sleep(RETRY_INTERVAL).await;
        }
        LookupOutcome::Retry
    }

    fn lock(&self) -> MutexGuard<'_, LookupState> {
        // OK after a panic: at worst a lookup is made once too often or too
        // rarely.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
