/*!
Admission control and weighted fair queueing of requests.

Requests wait for a slot in one [`Queue`] per service, which is fair between
partners: each partner has its own queue, and the next request comes from the
partner with the lowest recent usage relative to its weight. A partner that
sends ten times its share therefore delays its own requests and not those of
others. Capacity that a partner doesn't use goes to the others; the partner
gets it back at once, because low usage gives it precedence. Usage decays with
a half-life of one second.

A request that can't meet its deadline is refused on arrival, with a time
after which to retry, and not only when the deadline has passed.

# Example

```
use dewspar::admit::{Queue, Refusal};

let mut queue = Queue::new(4);
queue.push("bank", 1, 1_000, 0, 'a')?;
queue.push("bank", 1, 1_000, 0, 'b')?;
queue.push("notary", 1, 1_000, 0, 'c')?;
let order: String = std::iter::from_fn(|| queue.pop(0)).collect();
assert_eq!(order, "acb");

// At most four requests of a partner wait; more are refused.
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

/// The reason why a request was not accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Refusal {
    /// too many requests of this partner wait; come back in {retry_after_ms} ms
    QueueFull {
        /// The time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// the deadline would pass before a slot is free; come back in {retry_after_ms} ms
    TooLate {
        /// The time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the time after which to retry, in milliseconds.
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
    // Decayed number of recent requests, scaled by `Queue::unit`.
    usage: f64,
    weight: u32,
    waiting: VecDeque<Waiting<T>>,
}

/// The half-life of a partner's recorded usage, in milliseconds.
const HALF_LIFE_MS: f64 = 1_000.0;

/// The value of the unit at which all usage is rescaled, so that the numbers
/// stay bounded.
const RESCALE_THRESHOLD: f64 = 1e12;

/// The usage, in requests, at or below which an idle partner is removed.
const NEGLIGIBLE_USAGE: f64 = 0.001;

/// The smoothing of the moving average of departure gaps, as a shift: a new
/// gap has a weight of 1/2^`SMOOTHING_SHIFT`.
const SMOOTHING_SHIFT: u32 = 4;

/// The requests that wait for a slot of one service.
#[derive(Debug)]
pub struct Queue<T> {
    max_per_partner: usize,
    // The usage that one request adds now. It doubles each half-life, which
    // is equivalent to halving all recorded usage.
    unit: f64,
    unit_ms: u64,
    partners: BTreeMap<String, PartnerQueue<T>>,
    len: usize,
    // Moving average of the time between two departures, in microseconds.
    gap_us: u64,
    last_departure_ms: Option<u64>,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most `max_per_partner` requests of each
    /// partner.
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

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the time at which the oldest waiting request was pushed.
    pub fn oldest_ms(&self) -> Option<u64> {
        if self.len == 0 {
            return None;
        }
        let firsts =
            self.partners.values().filter_map(|queue| queue.waiting.front());
        firsts.map(|waiting| waiting.since_ms).min()
    }

    /// Returns the expected wait of a new request of the partner, in
    /// milliseconds.
    pub fn expected_wait_ms(&self, partner: &str) -> u64 {
        let own =
            self.partners.get(partner).map_or(0, |queue| queue.waiting.len());
        let waiting_partners =
            self.partners.values().filter(|queue| !queue.waiting.is_empty());
        // While other partners wait too, each gets one request per round.
        let ahead = (own * waiting_partners.count().max(1)).min(self.len);
        ahead as u64 * self.gap_us / 1_000
    }

    /// Appends a request to its partner's queue.
    ///
    /// # Errors
    ///
    /// Returns the item with a [`Refusal`] when the partner's queue is full
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

    /// Records a request that got a slot at once, without being queued.
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

    /// Removes and returns the request to dispatch next.
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

    /// Grows the unit with the time passed, and rescales all usage if the unit
    /// has become too large.
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

    /// Records that a queued request was dispatched, to estimate waits.
    pub fn record_departure(&mut self, now_ms: u64) {
        if self.is_empty() {
            // A gap while no request waits doesn't reflect the service rate.
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

    /// Removes and returns the requests whose deadline has passed, or whose
    /// caller has gone according to `abandoned`.
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
