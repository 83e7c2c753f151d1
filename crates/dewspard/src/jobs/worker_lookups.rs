/*!
New lives of workers, looked up in the directory one by one, many at once.

A VM that has moved comes back with a new worker, which the list of VMs names
before the directory, read as a whole now and then, shows where it is. Until
then it carries nothing. When a queue's demand turns, hundreds of VMs come back
within a second. So each new life is looked up at once, beside the others, and
again after a moment while it hasn't entered itself yet; none is looked up twice
at a time, however often the list of VMs names it. One that still hasn't entered
itself then is left to the readings of the whole directory for longer and longer.

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
let look_ups = WorkerLookups::default();
let (found, mut finds) = mpsc::channel(1);
let id = WorkerId::new("worker-7");
for _ in 0..2 {
    let (found, name) = (found.clone(), id.clone());
    look_ups.start(&id, move || {
        let (found, name) = (found.clone(), name.clone());
        async move {
            found.send(name).await.unwrap();
            LookupOutcome::Done
        }
    });
}
assert_eq!(finds.recv().await, Some(id));
tokio::time::sleep(Duration::from_millis(10)).await;
assert!(finds.try_recv().is_err(), "the second was under way already");
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

/// How many lives are looked up at once: 300 of them take ten ways to the
/// store and back then, and a reply is some 400 bytes.
const MAX_CONCURRENT: usize = 32;

/// The pause after a look-up that found nothing: entries appear up to a second
/// after their workers.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How often a life is looked up at most: the whole directory is read before
/// that, and tells which lives there are.
const MAX_ATTEMPTS: usize = 12;

/// How long a life that wasn't found isn't looked up again, and how long at
/// most: twice as long each time, from the time in which the whole directory is
/// surely read to one in which a look costs nothing.
const MIN_BACKOFF: Duration = Duration::from_secs(10);
const MAX_BACKOFF: Duration = Duration::from_secs(160);

/// For how long after its rest a life is remembered that is named no more.
const BACKOFF_RETENTION: Duration = Duration::from_secs(600);

/// A life that wasn't found.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    duration: Duration,
}

/// What came of a look-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// Nothing more is to be looked up.
    Done,
    /// It isn't there yet, or nobody could say.
    Retry,
}

/// Look-ups under way; clones share them.
#[derive(Clone, Debug)]
pub struct WorkerLookups {
    state: Arc<Mutex<LookupState>>,
    concurrency: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct LookupState {
    in_flight: BTreeSet<WorkerId>,
    /// Those that weren't found.
    backoffs: BTreeMap<WorkerId, Backoff>,
}

impl LookupState {
    /// Notes that a life is looked up, if it is to be.
    fn begin(&mut self, id: &WorkerId) -> bool {
        let now = Instant::now();
        let backing_off = self.backoffs.get(id).is_some_and(|r| now < r.until);
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
    /// Looks a life up until that is done, unless it is being looked up or
    /// wasn't found a short while ago.
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
            // OK because nobody closes it.
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
        // OK after a panic: a life is looked up once more or less.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
