/*!
Admission: which request is accepted, and who of the waiting goes next.

Requests wait for a slot in one [`Queue`] per service. It is fair between
partners: each has its own line, and the line goes first whose partner has
used the least of late, by weight. A partner that sends ten times its share
waits behind itself and not in front of others. A share that its partner
doesn't use is lent, and returns at once: who used little has the first call.
Use is forgotten by half each second.

A request that can't meet its deadline is refused when it arrives, with a
time to come back, and not when the deadline has passed.

# Example

```
use dewspar::admit::{Queue, Refusal};

let mut queue = Queue::new(4);
queue.push("bank", 1, 1_000, 0, 'a')?;
queue.push("bank", 1, 1_000, 0, 'b')?;
queue.push("notary", 1, 1_000, 0, 'c')?;
let order: String = std::iter::from_fn(|| queue.pop(0)).collect();
assert_eq!(order, "acb");

// Four wait at most; more are refused with a time to come back.
for _ in 0..4 {
    queue.push("bank", 1, 1_000, 0, 'x')?;
}
let refusal = queue.push("bank", 1, 1_000, 0, 'y').unwrap_err();
assert!(matches!(refusal, (Refusal::QueueFull { .. }, 'y')));
# Ok::<(), (Refusal, char)>(())
```
*/

use {
    displaydoc::Display,
    std::collections::{BTreeMap, VecDeque},
};

/// Why a request was not accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Refusal {
    /// too many requests of this partner wait; come back in {retry_after_ms} ms
    QueueFull {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// the deadline would pass before a slot is free; come back in {retry_after_ms} ms
    TooLate {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Refusal::QueueFull { retry_after_ms }
            | Refusal::TooLate { retry_after_ms } => *retry_after_ms,
        }
    }
}

#[derive(Debug)]
struct Waiting<T> {
    since_ms: u64,
    deadline_ms: u64,
    item: T,
}

#[derive(Debug)]
struct PartnerQueue<T> {
    // Requests of late, in the unit of the moment; see `Queue::unit`.
    usage: f64,
    weight: u32,
    waiting: VecDeque<Waiting<T>>,
}

/// After how long half of a partner's use is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;

/// When the unit has grown so large that it is made small again.
const RESCALE_THRESHOLD: f64 = 1e12;

/// The share of one request below which use is forgotten.
const NEGLIGIBLE_USAGE: f64 = 0.001;

/// How many past results the estimate of the wait weighs, as a shift.
const SMOOTHING_SHIFT: u32 = 4;

/// The requests that wait for a slot of one service.
#[derive(Debug)]
pub struct Queue<T> {
    max_per_partner: usize,
    // What one request counts now. It doubles each half life, which is the
    // same as halving what was counted before.
    unit: f64,
    unit_ms: u64,
    partners: BTreeMap<String, PartnerQueue<T>>,
    len: usize,
    // Smoothed time between two departures, in microseconds.
    gap_us: u64,
    last_departure_ms: Option<u64>,
}

impl<T> Queue<T> {
    /// Makes an empty queue that holds so many requests of each partner.
    pub fn new(max_per_partner: usize) -> Queue<T> {
        Queue {
            max_per_partner,
            unit: 1.0,
            unit_ms: 0,
            partners: BTreeMap::new(),
            len: 0,
            gap_us: 0,
            last_departure_ms: None,
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns since when the oldest request waits, by the time that it was
    /// pushed with.
    pub fn oldest_ms(&self) -> Option<u64> {
        if self.len == 0 {
            return None;
        }
        let firsts =
            self.partners.values().filter_map(|queue| queue.waiting.front());
        firsts.map(|waiting| waiting.since_ms).min()
    }

    /// Returns how long a request of the partner would wait, in
    /// milliseconds.
    pub fn expected_wait_ms(&self, partner: &str) -> u64 {
        let own =
            self.partners.get(partner).map_or(0, |queue| queue.waiting.len());
        let waiting_partners =
            self.partners.values().filter(|queue| !queue.waiting.is_empty());
        // While others wait too, a line moves once per round.
        let ahead = (own * waiting_partners.count().max(1)).min(self.len);
        ahead as u64 * self.gap_us / 1_000
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Returns the item with a [`Refusal`] when the partner's line is full
    /// or the deadline would pass first.
    pub fn push(
        &mut self,
        partner: &str,
        weight: u32,
        deadline_ms: u64,
        now_ms: u64,
        item: T,
    ) -> Result<(), (Refusal, T)> {
        let wait_ms = self.expected_wait_ms(partner);
        let retry_after_ms = wait_ms.max(1);
        if now_ms + wait_ms >= deadline_ms {
            return Err((Refusal::TooLate { retry_after_ms }, item));
        }
        let queue =
            self.partners.entry(partner.to_owned()).or_insert_with(|| {
                PartnerQueue { usage: 0.0, weight, waiting: VecDeque::new() }
            });
        if queue.waiting.len() >= self.max_per_partner {
            return Err((Refusal::QueueFull { retry_after_ms }, item));
        }
        queue.weight = weight.max(1);

        let since_ms = now_ms;
        queue.waiting.push_back(Waiting { since_ms, deadline_ms, item });
        self.len += 1;
        Ok(())
    }

    /// Counts a request that went at once, without waiting here.
    pub fn record_immediate(
        &mut self,
        partner: &str,
        weight: u32,
        now_ms: u64,
    ) {
        self.update_unit(now_ms);
        let unit = self.unit;
        match self.partners.get_mut(partner) {
            Some(queue) => queue.usage += unit,
            None => {
                let weight = weight.max(1);
                let waiting = VecDeque::new();
                let queue = PartnerQueue { usage: unit, weight, waiting };
                self.partners.insert(partner.to_owned(), queue);
            }
        }
    }

    /// Returns the request that goes next.
    pub fn pop(&mut self, now_ms: u64) -> Option<T> {
        self.update_unit(now_ms);
        let weighted_usage =
            |queue: &PartnerQueue<T>| queue.usage / f64::from(queue.weight);
        let queue = self
            .partners
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty())
            .min_by(|a, b| weighted_usage(a).total_cmp(&weighted_usage(b)))?;
        queue.usage += self.unit;
        let waiting = queue.waiting.pop_front()?;
        self.len -= 1;
        Some(waiting.item)
    }

    /// Brings the unit up to the time.
    fn update_unit(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.unit_ms);
        self.unit_ms = self.unit_ms.max(now_ms);
        self.unit *= (passed_ms as f64 / HALF_LIFE_MS).exp2();
        if self.unit < RESCALE_THRESHOLD {
            return;
        }
        let unit = self.unit;
        self.unit = 1.0;
        for queue in self.partners.values_mut() {
            queue.usage /= unit;
        }
        self.partners.retain(|_, queue| {
            !queue.waiting.is_empty() || queue.usage > NEGLIGIBLE_USAGE
        });
    }

    /// Records that a request left for a runner, for the estimate.
    pub fn record_departure(&mut self, now_ms: u64) {
        if self.is_empty() {
            // A gap without anyone waiting says nothing about the wait.
            self.last_departure_ms = None;
            return;
        }
        if let Some(last_ms) = self.last_departure_ms {
            let gap_us = now_ms.saturating_sub(last_ms) * 1_000;
            let old = self.gap_us;
            self.gap_us =
                old - (old >> SMOOTHING_SHIFT) + (gap_us >> SMOOTHING_SHIFT);
        }
        self.last_departure_ms = Some(now_ms);
    }

    /// Removes and returns the requests whose deadline has passed, or that
    /// `abandoned` says nobody waits for.
    pub fn expire(
        &mut self,
        now_ms: u64,
        abandoned: impl Fn(&T) -> bool,
    ) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in self.partners.values_mut() {
            let waiting = std::mem::take(&mut queue.waiting);
            for waiting in waiting {
                if waiting.deadline_ms <= now_ms || abandoned(&waiting.item) {
                    expired.push(waiting.item);
                } else {
                    queue.waiting.push_back(waiting);
                }
            }
        }
        self.len -= expired.len();
        expired
    }
}
