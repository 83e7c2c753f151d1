/*!
The daemon's clocks.

Decisions inside a process use a steady clock, which a wrong or stepped wall
clock can't disturb. Only what is stored at the platform, and the times in
filings' keys, use the wall clock.

# Suspension

A VM may be suspended for seconds. The system's monotonic clock doesn't count
that time: a node that wakes would take its lease, a reading's age or a
worker's silence for younger than they are, and go on with orders that another
node gives by now. So the steady clock here counts it: it is the monotonic
clock plus what `CLOCK_BOOTTIME`, which runs on, is ahead of it.

Timers still run on the monotonic clock, and so end late by a suspension. That
is no harm where what comes of them is judged by the steady clock: a call
answered after its time, a lease renewed late.

| what | clock | why |
|---|---|---|
| ages of leases, readings, counts; silence of workers and nodes; times in the scheduler | steady | others' clocks have gone on |
| timeouts of calls, pauses, intervals | monotonic | nothing is believed because one of them hasn't ended |
| how long orders and readings take | steady | errs towards fewer at once |
| how long planning takes | monotonic | a node that slept isn't slow |
| times in keys, records and logs, due times of jobs | wall | read by other nodes |

`docs/PROMISES.md` has a row for each file that reads a clock.

Whoever holds a lease also asks [`Suspensions`] whether it slept, and believes
nothing before the store has confirmed it. An answer counts from when it was
asked for; [`Arrivals`] tells as of when that counts which nobody asked for.

# Example

```
use dewspard::clock::Suspensions;

let mut suspensions = Suspensions::new(0);
// Two clocks are read one after the other.
assert_eq!(suspensions.noticed_ms(3), None);
assert_eq!(suspensions.noticed_ms(4_003), Some(4_003));
assert_eq!(suspensions.noticed_ms(4_003), None);
```
*/

use {
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::{
            LazyLock,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::time::Instant,
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// How far `CLOCK_BOOTTIME` was ahead of the monotonic clock at the start.
static AHEAD_AT_START_MS: LazyLock<u64> = LazyLock::new(ahead_ms);

/// How far it has been ahead since at most: the steady clock never goes back.
static AHEAD_MS: AtomicU64 = AtomicU64::new(0);

/// What tests add to the time of suspension, in milliseconds.
static SUPPOSED_MS: AtomicU64 = AtomicU64::new(0);

/// What tests add to the steady clock as if the process had stood still, in
/// milliseconds.
static STOOD_STILL_MS: AtomicU64 = AtomicU64::new(0);

/// The monotonic clock's first reading, so that "long ago" can be told.
const FIRST_MS: u64 = 1_000_000;

/// How far the clocks must drift apart to count as a suspension, in
/// milliseconds: many times what passes between reading one and the other,
/// and little of the shortest lease.
const NOTICED_MS: u64 = 100;

/// Returns milliseconds of the steady clock, which counts suspension.
pub fn now_ms() -> u64 {
    steady_ms(passed_unseen_ms())
}

/// Returns for how long this VM was suspended since the process began, in
/// milliseconds.
pub fn suspended_ms() -> u64 {
    passed_unseen_ms() + modelled::suspended_ms()
}

/// What the clocks show at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// As [`now_ms`].
    pub now_ms: u64,
    /// As [`suspended_ms`].
    pub suspended_ms: u64,
}

/// Reads [`now_ms`] and [`suspended_ms`] together, which takes no longer than the
/// first of them.
pub fn read() -> Reading {
    let unseen_ms = passed_unseen_ms();
    Reading {
        now_ms: steady_ms(unseen_ms),
        suspended_ms: unseen_ms + modelled::suspended_ms(),
    }
}

fn steady_ms(unseen_ms: u64) -> u64 {
    let elapsed = START.elapsed().as_millis();
    let elapsed_ms = u64::try_from(elapsed).unwrap_or(u64::MAX / 2);
    // While a test models a suspension, the monotonic clock is taken to have
    // stood still for just as long as `CLOCK_BOOTTIME` is ahead of it by that:
    // the sum of both is what it was.
    let stood_still_ms = STOOD_STILL_MS.load(Ordering::Relaxed);
    FIRST_MS + elapsed_ms + unseen_ms + stood_still_ms
}

/// Returns what has passed that the process's monotonic clock doesn't show.
fn passed_unseen_ms() -> u64 {
    let at_start_ms = *AHEAD_AT_START_MS;
    let ahead_ms = ahead_ms();
    let ahead_ms =
        AHEAD_MS.fetch_max(ahead_ms, Ordering::Relaxed).max(ahead_ms);
    ahead_ms.saturating_sub(at_start_ms) + SUPPOSED_MS.load(Ordering::Relaxed)
}

/// Suspensions as a test models them, by stopping the process with a signal.
///
/// A stopped process's monotonic clock goes on, so the test says for how long
/// it is to be taken as having stood still. That is all the model shows: timers
/// end at once when the process goes on, whereas after a suspension they end
/// late by it, and the kernel's own timers (of connections) go on.
#[cfg(debug_assertions)]
mod modelled {
    use std::{
        env, fs,
        path::{Path, PathBuf},
        sync::LazyLock,
    };

    /// Names the file that holds how long this VM was suspended in all, in
    /// milliseconds; only builds for tests look at it.
    const FILE_VARIABLE: &str = "DEWSPAR_SUSPENDED_MS_FILE";

    static FILE: LazyLock<Option<PathBuf>> =
        LazyLock::new(|| env::var_os(FILE_VARIABLE).map(PathBuf::from));

    static AT_START_MS: LazyLock<u64> = LazyLock::new(in_all_ms);

    /// Returns the time since the process began.
    pub(super) fn suspended_ms() -> u64 {
        let at_start_ms = *AT_START_MS;
        in_all_ms().saturating_sub(at_start_ms)
    }

    fn in_all_ms() -> u64 {
        FILE.as_deref().map_or(0, read)
    }

    fn read(file: &Path) -> u64 {
        let text = fs::read_to_string(file).unwrap_or_default();
        // OK to take no number for 0: the test hasn't written one yet.
        text.trim().parse().unwrap_or(0)
    }
}

#[cfg(not(debug_assertions))]
mod modelled {
    pub(super) fn suspended_ms() -> u64 {
        0
    }
}

/// Lets the process believe that it was suspended for so long, in
/// milliseconds, as a test of what it then does.
pub fn suppose_suspension(for_ms: u64) {
    SUPPOSED_MS.fetch_add(for_ms, Ordering::Relaxed);
}

/// Lets the process believe that it stood still for so long, in milliseconds,
/// while the VM's clocks ran on, as a test of what it then does.
pub fn suppose_standstill(for_ms: u64) {
    STOOD_STILL_MS.fetch_add(for_ms, Ordering::Relaxed);
}

/// Returns how far `CLOCK_BOOTTIME` is ahead of the monotonic clock at least,
/// in milliseconds: that one is read later, and some time may pass between.
fn ahead_ms() -> u64 {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    let ahead = read(ClockId::CLOCK_BOOTTIME).and_then(|boot| {
        let monotonic = read(ClockId::CLOCK_MONOTONIC)?;
        Ok(boot.saturating_sub(monotonic))
    });
    // OK to take a clock that isn't there for one that isn't ahead: both are
    // there on every system that can be suspended.
    ahead.map_or(0, |ahead| ahead.as_millis() as u64)
}

/// Tells suspensions from the time for which the VM was suspended in all.
#[derive(Clone, Copy, Debug)]
pub struct Suspensions {
    known_ms: u64,
}

impl Suspensions {
    /// Begins to look, after so many milliseconds of suspension.
    pub fn new(suspended_ms: u64) -> Suspensions {
        Suspensions { known_ms: suspended_ms }
    }

    /// Returns how long a suspension was that wasn't noticed before, in
    /// milliseconds.
    pub fn noticed_ms(&mut self, suspended_ms: u64) -> Option<u64> {
        let new_ms = suspended_ms.saturating_sub(self.known_ms);
        if new_ms < NOTICED_MS {
            return None;
        }
        self.known_ms = suspended_ms;
        Some(new_ms)
    }
}

/// Tells as of when that counts which others send unasked.
///
/// It says itself how old it was when it was sent, but not when that was: what
/// came while the VM was suspended lies in its connection until the VM wakes. So
/// whatever is read shortly after waking counts from before the suspension.
///
/// # Example
///
/// ```
/// use dewspard::clock::Arrivals;
///
/// // What is sent reaches this node within 500 ms, or not at all.
/// let mut arrivals = Arrivals::new(500, 0);
/// assert_eq!(arrivals.as_of_ms(10_000, 0), 10_000);
/// // The VM wakes after 4 s.
/// assert_eq!(arrivals.as_of_ms(14_100, 4_000), 10_100);
/// assert_eq!(arrivals.as_of_ms(14_599, 4_000), 10_100);
/// assert_eq!(arrivals.as_of_ms(14_600, 4_000), 14_600);
/// // It sleeps again, and once more soon after it has woken.
/// assert_eq!(arrivals.as_of_ms(17_000, 6_000), 15_000);
/// assert_eq!(arrivals.as_of_ms(19_100, 8_000), 15_000);
/// assert_eq!(arrivals.as_of_ms(19_600, 8_000), 19_600);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    under_way_ms: u64,
    suspensions: Suspensions,
    /// When the last suspension began, while something of before may come.
    slept_from_ms: Option<u64>,
    /// Until when it may.
    until_ms: u64,
}

impl Arrivals {
    /// Begins to look, after so many milliseconds of suspension; what others
    /// send is under way for no longer than `under_way_ms` while this VM is
    /// awake.
    pub fn new(under_way_ms: u64, suspended_ms: u64) -> Arrivals {
        let suspensions = Suspensions::new(suspended_ms);
        let (slept_from_ms, until_ms) = (None, 0);
        Arrivals { under_way_ms, suspensions, slept_from_ms, until_ms }
    }

    /// Returns as of when that counts which is read at `now_ms`, by the steady
    /// clock in milliseconds; `suspended_ms` is what [`suspended_ms`] says.
    pub fn as_of_ms(&mut self, now_ms: u64, suspended_ms: u64) -> u64 {
        let noticed_ms = self.suspensions.noticed_ms(suspended_ms);
        let awake_ms = now_ms.saturating_sub(noticed_ms.unwrap_or(0));
        if awake_ms >= self.until_ms {
            self.slept_from_ms = None;
        }
        if noticed_ms.is_some() {
            // Where one follows another at once, what was sent before both may
            // still come.
            self.slept_from_ms.get_or_insert(awake_ms);
            self.until_ms = now_ms + self.under_way_ms;
        }
        self.slept_from_ms.unwrap_or(now_ms)
    }
}

/// Returns milliseconds of the Unix epoch by the wall clock.
pub fn unix_ms() -> u64 {
    since_unix_epoch().as_millis() as u64
}

/// Returns a number for this start of the process, higher than the last.
pub fn incarnation() -> u64 {
    since_unix_epoch().as_micros() as u64
}

fn since_unix_epoch() -> Duration {
    // A clock before 1970 is as good as one at 1970: both are wrong.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
