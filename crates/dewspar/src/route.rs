/*!
Routing: which runners are worth a request, and when one may be repeated.

A worker that fails everything it starts, and fails it fast, is free sooner
than any other and would draw the traffic. [`Health`] compares each runner
with its siblings: one that fails most of what it gets while the others don't
is *ejected* for a time that doubles, and let back in by a single probe. Never
are more than a third of the runners ejected, because then the cause is
likely elsewhere.

A [`RetryBudget`] keeps a brown-out from being multiplied: retries may add
only a fixed share to the requests of the recent past.

# Example

```
use dewspar::route::Health;

let mut health = Health::default();
for runner in ["a", "b", "c"] {
    health.add(runner);
}
for now_ms in 0..10 {
    health.record("a", false, now_ms);
    health.record("b", true, now_ms);
    health.record("c", true, now_ms);
}
assert!(!health.is_usable("a", 10));
assert!(health.is_usable("b", 10));
```
*/

use std::collections::BTreeMap;

/// How many results decide about a runner.
const WINDOW: u32 = 8;

/// How many failures in a window eject a runner.
const EJECT_FAILURES: u32 = 5;

/// The first ejection's length, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;

/// The longest ejection, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    // The last results, newest in the lowest bit; a set bit is a failure.
    failures: u8,
    ejections: u32,
    ejected_until_ms: u64,
    // After an ejection one request goes first.
    probing: bool,
    probe_in_flight: bool,
}

/// How the runners of one service have been doing.
#[derive(Clone, Debug, Default)]
pub struct Health {
    runners: BTreeMap<String, Record>,
}

impl Health {
    /// Adds a runner that nothing is known of.
    pub fn add(&mut self, runner: &str) {
        self.runners.entry(runner.to_owned()).or_default();
    }

    /// Forgets the runners that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| keep(runner));
    }

    /// Returns whether the runner should get a request now.
    pub fn is_usable(&self, runner: &str, now_ms: u64) -> bool {
        self.runners.get(runner).is_none_or(|record| {
            now_ms >= record.ejected_until_ms
                && !(record.probing && record.probe_in_flight)
        })
    }

    /// Records that a request is on its way to the runner.
    pub fn dispatched(&mut self, runner: &str) {
        if let Some(record) = self.runners.get_mut(runner)
            && record.probing
        {
            record.probe_in_flight = true;
        }
    }

    /// Records a request's result; returns whether it ejected the runner.
    pub fn record(&mut self, runner: &str, ok: bool, now_ms: u64) -> bool {
        let spare = self.may_eject_one_more(now_ms);
        let Some(record) = self.runners.get_mut(runner) else {
            return false;
        };
        record.failures = record.failures << 1 | u8::from(!ok);
        let probed = std::mem::take(&mut record.probe_in_flight);
        if ok {
            if record.probing {
                *record = Record::default();
            }
            return false;
        }
        let failing = record.failures.count_ones().min(WINDOW);
        let eject = probed || (failing >= EJECT_FAILURES && spare);
        let already = now_ms < record.ejected_until_ms;
        if !eject || already {
            return false;
        }
        let length_ms = FIRST_EJECTION_MS << record.ejections.min(5);
        record.ejected_until_ms = now_ms + length_ms.min(LONGEST_EJECTION_MS);
        record.ejections += 1;
        record.probing = true;
        true
    }

    fn may_eject_one_more(&self, now_ms: u64) -> bool {
        let ejected = self
            .runners
            .values()
            .filter(|record| {
                record.probing || now_ms < record.ejected_until_ms
            })
            .count();
        (ejected + 1) * 3 <= self.runners.len()
    }
}

/// How many retries the requests of the recent past pay for.
///
/// # Example
///
/// ```
/// use dewspar::route::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// for _ in 0..20 {
///     budget.record_request();
/// }
/// // 20 requests pay for 2 retries, on top of the 10 that are always kept.
/// let retries = (0..50).filter(|_| budget.try_retry()).count();
/// assert_eq!(retries, 12);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    // In tenths of a retry.
    balance: u32,
}

/// A retry's price, in what one request pays in.
const RETRY_COST: u32 = 10;

/// The most that can be saved up.
const MAX_BALANCE: u32 = 100 * RETRY_COST;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: 10 * RETRY_COST }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + 1).min(MAX_BALANCE);
    }

    /// Pays for a retry, if there is enough left.
    pub fn try_retry(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
