/*!
Routing: outlier ejection of runners, and a budget for retries.

A runner that fails every request, and fails it fast, is free sooner than any
other and would attract the traffic. [`Health`] detects such outliers: a runner
that fails most of its recent requests is *ejected* for a time that doubles
with each ejection, and is readmitted after a single successful probe. At most
a third of the runners are ejected, because with more failures the cause is
likely elsewhere.

A [`RetryBudget`] prevents retries from amplifying an overload: they may add
only a fixed share to the recent requests.

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

/// The number of recent results that decide on an ejection.
const WINDOW: u32 = 8;

/// The number of failures in a window that ejects a runner.
const EJECT_FAILURES: u32 = 5;

/// The duration of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;

/// The maximum duration of an ejection, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 30_000;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    // The recent results, newest in the lowest bit; a set bit is a failure.
    failures: u8,
    ejections: u32,
    ejected_until_ms: u64,
    // After an ejection a single request is sent as a probe.
    probing: bool,
    probe_in_flight: bool,
}

/// The recent results of one service's runners.
#[derive(Clone, Debug, Default)]
pub struct Health {
    runners: BTreeMap<String, Record>,
}

impl Health {
    /// Adds a runner without results, unless it is already known.
    pub fn add(&mut self, runner: &str) {
        self.runners.entry(runner.to_owned()).or_default();
    }

    /// Removes the runners for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| keep(runner));
    }

    /// Returns whether the runner may get a request now.
    pub fn is_usable(&self, runner: &str, now_ms: u64) -> bool {
        self.runners.get(runner).is_none_or(|record| {
            now_ms >= record.ejected_until_ms
                && !(record.probing && record.probe_in_flight)
        })
    }

    /// Records that a request was dispatched to the runner.
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

/// A budget for retries, replenished by requests: a token bucket.
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
/// // 20 requests add 2 retries to the initial balance of 10.
/// let retries = (0..50).filter(|_| budget.try_retry()).count();
/// assert_eq!(retries, 12);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    // In tenths of a retry.
    balance: u32,
}

/// The cost of a retry, in requests.
const RETRY_COST: u32 = 10;

/// The maximum balance, in requests.
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

    /// Takes a retry from the budget; returns false if the balance is too low.
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
