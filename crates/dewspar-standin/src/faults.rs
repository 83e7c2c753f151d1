/*!
What goes wrong, to order.

# Example

```
use dewspar_standin::faults::{Fate, Faults};

let faults = Faults::new(1);
assert_eq!(faults.fate(), Fate::Answer);
faults.set_outage(true);
assert_eq!(faults.fate(), Fate::Refuse);
```
*/

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// What becomes of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It is carried out and answered.
    Answer,
    /// It is refused without effect.
    Refuse,
    /// It is carried out, and its answer is lost.
    LoseAnswer,
}

/// The faults of one stand-in; clones share them.
#[derive(Clone, Debug)]
pub struct Faults {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    outage: AtomicBool,
    cut: AtomicBool,
    silent: AtomicBool,
    unlisted: AtomicBool,
    commit_answers_lost: AtomicBool,
    /// The prefix that can't be listed, if that is only one.
    unlisted_prefix: Mutex<Option<String>>,
    delay_us: AtomicU64,
    list_delay_us: AtomicU64,
    lost_per_mille: AtomicU64,
    random: Mutex<StdRng>,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Faults {
    /// Makes faults that are all off, with a seed for those by chance.
    pub fn new(seed: u64) -> Faults {
        let inner = Inner {
            outage: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            unlisted: AtomicBool::new(false),
            commit_answers_lost: AtomicBool::new(false),
            unlisted_prefix: Mutex::new(None),
            delay_us: AtomicU64::new(0),
            list_delay_us: AtomicU64::new(0),
            lost_per_mille: AtomicU64::new(0),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        };
        Faults { inner: Arc::new(inner) }
    }

    /// Starts or ends an outage, in which every call is refused.
    pub fn set_outage(&self, outage: bool) {
        self.inner.outage.store(outage, Ordering::Relaxed);
    }

    /// Returns whether there is an outage.
    pub fn outage(&self) -> bool {
        self.inner.outage.load(Ordering::Relaxed)
    }

    /// Lets every answer break off before its end, or no longer.
    pub fn set_cut(&self, cut: bool) {
        self.inner.cut.store(cut, Ordering::Relaxed);
    }

    /// Returns whether answers break off before their end.
    pub fn cut(&self) -> bool {
        self.inner.cut.load(Ordering::Relaxed)
    }

    /// Lets watches hear nothing, without an error, or no longer.
    pub fn set_silent(&self, silent: bool) {
        self.inner.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns whether watches hear nothing.
    pub fn silent(&self) -> bool {
        self.inner.silent.load(Ordering::Relaxed)
    }

    /// Loses the answers of a store's commits, which callers wait for in vain,
    /// while all else is answered, or no longer.
    pub fn set_commit_answers_lost(&self, lost: bool) {
        self.inner.commit_answers_lost.store(lost, Ordering::Relaxed);
    }

    /// Returns whether the answers of commits are lost.
    pub fn commit_answers_lost(&self) -> bool {
        self.inner.commit_answers_lost.load(Ordering::Relaxed)
    }

    /// Refuses every list, while single keys are still read and written, or
    /// no longer.
    pub fn set_unlisted(&self, unlisted: bool) {
        self.inner.unlisted.store(unlisted, Ordering::Relaxed);
    }

    /// Refuses lists of exactly this prefix, or of none.
    pub fn set_unlisted_prefix(&self, prefix: Option<&str>) {
        *self.unlisted_prefix() = prefix.map(str::to_owned);
    }

    /// Returns whether lists of this prefix are refused.
    pub fn unlisted(&self, prefix: &str) -> bool {
        self.inner.unlisted.load(Ordering::Relaxed)
            || self.unlisted_prefix().as_deref() == Some(prefix)
    }

    fn unlisted_prefix(&self) -> MutexGuard<'_, Option<String>> {
        let prefix = self.inner.unlisted_prefix.lock();
        prefix.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how long each call takes, in microseconds.
    pub fn set_delay_us(&self, delay_us: u64) {
        self.inner.delay_us.store(delay_us, Ordering::Relaxed);
    }

    /// Returns how long each call takes.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.inner.delay_us.load(Ordering::Relaxed))
    }

    /// Sets how long the answer of each list is under way, in microseconds:
    /// it then tells what was there so long ago.
    pub fn set_list_delay_us(&self, delay_us: u64) {
        self.inner.list_delay_us.store(delay_us, Ordering::Relaxed);
    }

    /// Returns how long the answer of each list is under way.
    pub fn list_delay(&self) -> Duration {
        let delay_us = self.inner.list_delay_us.load(Ordering::Relaxed);
        Duration::from_micros(delay_us)
    }

    /// Sets how many answers in a thousand are lost.
    pub fn set_lost_per_mille(&self, lost: u64) {
        self.inner.lost_per_mille.store(lost, Ordering::Relaxed);
    }

    /// Returns what becomes of the next call.
    pub fn fate(&self) -> Fate {
        if self.outage() {
            return Fate::Refuse;
        }
        let lost = self.inner.lost_per_mille.load(Ordering::Relaxed);
        if lost == 0 {
            return Fate::Answer;
        }
        let mut random =
            self.inner.random.lock().unwrap_or_else(PoisonError::into_inner);
        if random.random_range(0..1_000) < lost {
            Fate::LoseAnswer
        } else {
            Fate::Answer
        }
    }

    /// Counts a call that reads.
    pub fn count_read(&self) {
        self.inner.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that writes.
    pub fn count_write(&self) {
        self.inner.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many calls read so far.
    pub fn reads(&self) -> u64 {
        self.inner.reads.load(Ordering::Relaxed)
    }

    /// Returns how many calls wrote so far.
    pub fn writes(&self) -> u64 {
        self.inner.writes.load(Ordering::Relaxed)
    }
}
