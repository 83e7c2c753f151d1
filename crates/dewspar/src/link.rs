/*!
Prioritizes a node's traffic when its network link can't carry all of it.

A scheduler sends several kinds of orders over one link. Without a limit, they
queue at the link, and the queue delays all of them alike: a burst of 400
start orders of 1.5 kB each keeps a link of 2 Mbit/s busy for 2.4 s. Leases
whose renewals are late expire, and orders that aren't answered in time count
as lost and are sent again, so that the link stays saturated while little of
its traffic is useful.

A [`LinkBudget`] therefore keeps the queue in the node, where it can be
prioritized. It consists of token buckets that are refilled at a rate a little
below the link's. The *class* of an order determines when it may be sent:

| class | is sent | reason |
|---|---|---|
| [`Class::Renewal`] | always | runs end if their lease isn't renewed |
| [`Class::Stop`] | always | a run occupies its room until it is stopped |
| [`Class::Fence`] | from either bucket | starts on a worker wait for it |
| [`Class::Question`] | from its own bucket | ends make room for new starts |
| [`Class::Start`] | from the other bucket | |

Tokens that overflow one bucket go to the other, so that no bandwidth is unused
while orders wait. The rate falls when calls become slow or get no answer while
a bucket is exhausted, because then the link carries less than was configured
or other traffic uses it. It rises again while calls are fast.

# Example

```
use dewspar::link::{Class, LinkBudget, LinkLimits};

// A link of 250 kB/s, of which the budget uses 70 %.
let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
budget.refill(1_000);
let mut starts = 0;
while budget.allows(Class::Start) {
    budget.sent(Class::Start, 1_500);
    starts += 1;
}
assert_eq!(starts, 7, "a tenth of a second's share");
assert!(budget.allows(Class::Question), "a separate bucket");
assert!(budget.allows(Class::Renewal));
budget.refill(1_050);
assert!(budget.allows(Class::Start));
```
*/

use crate::window::{CallEnd, Speed, Tally, WindowLimits};

/// The class of an order, which determines its priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Renews the lease of a worker that will soon need it.
    Renewal,
    /// Stops a run or changes its speed.
    Stop,
    /// Fences off a former holder, so that workers refuse its orders.
    Fence,
    /// Queries which runs are active and which have ended.
    Question,
    /// Starts a run.
    Start,
}

/// Bounds of a [`LinkBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkLimits {
    /// The maximum rate, in bytes a second.
    pub bytes_per_s: u64,
    /// The maximum burst after a pause, as time at the current rate, in
    /// milliseconds.
    pub burst_ms: u64,
    /// The share of the rate for questions, in percent; renewals, stops and
    /// fences count against it too.
    pub question_percent: u64,
    /// The minimum rate, in percent of `bytes_per_s`.
    pub min_percent: u64,
}

/// Bytes per megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The share of a link for orders, in percent. The rest is left for the feed,
/// reads of the directory and writes of progress.
const ORDER_PERCENT: u64 = 70;

impl LinkLimits {
    /// Returns the limits for a link of the given bandwidth, in megabits a
    /// second.
    pub fn of_link(megabits_per_s: f64) -> LinkLimits {
        let bytes_per_s = megabits_per_s * BYTES_PER_MEGABIT;
        LinkLimits {
            // OK to convert: the cast saturates.
            bytes_per_s: (bytes_per_s as u64).saturating_mul(ORDER_PERCENT)
                / 100,
            // Half of an order's timeout, so that the last order of a burst
            // is still answered in time.
            burst_ms: 100,
            // One question of 350 bytes for each start of 600 bytes.
            question_percent: 40,
            // A link that drops to a tenth of its rate still carries this.
            min_percent: 10,
        }
    }
}

/// The number of ended calls after which the rate is adjusted: what a small
/// link carries in a few tenths of a second.
const CALLS_PER_ADJUSTMENT: usize = 32;

/// For how long after a bucket was exhausted orders count as waiting for the
/// link, in milliseconds: longer than it takes to detect slow orders.
const EXHAUSTED_RECENTLY_MS: u64 = 1_000;

/// The factor by which the rate falls when calls are slow, in percent.
const DECREASE_PERCENT: u64 = 70;

/// The factor by which the rate rises while calls are fast, in percent.
const INCREASE_PERCENT: u64 = 125;

/// The overhead of an order beyond its payload, in bytes: its own headers, its
/// answer, and the headers of two packets.
const ORDER_BYTES: u64 = 250;

/// The overhead of an order that is sent through a relay, in bytes. It is
/// lower because orders share a message and have no headers of their own: 204
/// starts with payloads of about 350 bytes and 190 questions a second took
/// 118 kB, including all other traffic.
const RELAYED_ORDER_BYTES: u64 = 90;

/// Token buckets for the bandwidth of a link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    limits: LinkLimits,
    /// The current rate, in bytes a second.
    rate: u64,
    refilled_ms: u64,
    questions: Bucket,
    starts: Bucket,
    tally: Tally,
    /// When the rate was last lowered.
    last_decrease_ms: u64,
    /// When a bucket was last exhausted.
    last_exhausted_ms: u64,
    /// Whether orders are sent through relays.
    relayed: bool,
}

/// A token bucket, in bytes; its level is negative after a large order.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bytes: i64,
    capacity: i64,
}

impl Bucket {
    /// Adds bytes; returns those that exceed the capacity.
    fn add(&mut self, bytes: i64) -> i64 {
        let filled = self.bytes + bytes;
        self.bytes = filled.min(self.capacity);
        filled - self.bytes
    }
}

impl LinkBudget {
    /// Creates a budget with full buckets.
    pub fn new(limits: LinkLimits) -> LinkBudget {
        let mut budget = LinkBudget {
            limits,
            rate: limits.bytes_per_s,
            refilled_ms: 0,
            questions: Bucket::default(),
            starts: Bucket::default(),
            tally: Tally::default(),
            last_decrease_ms: 0,
            last_exhausted_ms: 0,
            relayed: false,
        };
        budget.resize_buckets();
        budget.questions.bytes = budget.questions.capacity;
        budget.starts.bytes = budget.starts.capacity;
        budget
    }

    fn resize_buckets(&mut self) {
        let burst = self.rate.saturating_mul(self.limits.burst_ms) / 1_000;
        // OK to convert: far below 2^63.
        let burst = burst.min(i64::MAX as u64 / 100) as i64;
        let questions = burst * self.limits.question_percent as i64 / 100;
        self.questions.capacity = questions.max(1);
        self.starts.capacity = (burst - questions).max(1);
    }

    /// Refills the buckets for the time since the last refill.
    pub fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        // The buckets hold no more than one burst.
        let elapsed_ms = elapsed_ms.min(self.limits.burst_ms);
        let bytes = self.rate.saturating_mul(elapsed_ms) / 1_000;
        if bytes == 0 {
            // Less than a byte: this time counts at the next refill.
            return;
        }
        self.refilled_ms = now_ms;
        let bytes = bytes.min(i64::MAX as u64 / 200) as i64;
        let questions = bytes * self.limits.question_percent as i64 / 100;
        let overflow = self.questions.add(questions);
        let overflow = self.starts.add(bytes - questions + overflow);
        self.questions.add(overflow);
    }

    /// Returns whether an order of this class may be sent now.
    pub fn allows(&self, class: Class) -> bool {
        match class {
            Class::Renewal | Class::Stop => true,
            Class::Fence => self.questions.bytes > 0 || self.starts.bytes > 0,
            Class::Question => self.questions.bytes > 0,
            Class::Start => self.starts.bytes > 0,
        }
    }

    /// Sets whether orders are sent through relays from now on.
    pub fn set_relayed(&mut self, relayed: bool) {
        self.relayed = relayed;
    }

    /// Returns the overhead of an order beyond its payload, in bytes.
    pub fn order_bytes(&self) -> u64 {
        if self.relayed { RELAYED_ORDER_BYTES } else { ORDER_BYTES }
    }

    /// Records that an order of this class was sent; `bytes` is the larger of
    /// what it takes in each direction, including its answer.
    pub fn sent(&mut self, class: Class, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX / 4);
        let share = match class {
            Class::Start => &mut self.starts,
            Class::Fence if self.questions.bytes <= 0 => &mut self.starts,
            Class::Renewal | Class::Stop | Class::Fence | Class::Question => {
                &mut self.questions
            }
        };
        share.bytes = share.bytes.saturating_sub(bytes);
        if share.bytes <= 0 {
            self.last_exhausted_ms = self.refilled_ms;
        }
    }

    /// Returns whether orders recently waited for the link while the rate is
    /// above its minimum. Orders are then slow because of their number, and
    /// would be no faster on another node of the same kind.
    pub fn is_saturated(&self, now_ms: u64) -> bool {
        self.was_exhausted(now_ms) && self.rate > self.min_rate()
    }

    /// Returns whether a bucket was exhausted recently.
    fn was_exhausted(&self, now_ms: u64) -> bool {
        now_ms < self.last_exhausted_ms + EXHAUSTED_RECENTLY_MS
    }

    fn min_rate(&self) -> u64 {
        let LinkLimits { bytes_per_s, min_percent, .. } = self.limits;
        let min_rate = (bytes_per_s / 100).saturating_mul(min_percent);
        min_rate.clamp(1, bytes_per_s.max(1))
    }

    /// Records the end of a call that was sent at `sent_ms`, and adjusts the
    /// rate once enough calls have ended.
    ///
    /// Calls that were sent before the rate was last lowered are ignored, so
    /// that one congestion event lowers the rate once: a single read of the
    /// directory can fill the link for a moment and delay many calls.
    pub fn ended(
        &mut self,
        sent_ms: u64,
        now_ms: u64,
        end: CallEnd,
        limits: &WindowLimits,
    ) {
        if sent_ms < self.last_decrease_ms {
            return;
        }
        self.tally.record(end, limits);
        if self.tally.ended < CALLS_PER_ADJUSTMENT {
            return;
        }
        let percent = match std::mem::take(&mut self.tally).speed() {
            // Slow calls on a link that isn't full are caused by the processor
            // or the workers; a lower rate would not make them faster.
            Speed::Slow if !self.was_exhausted(now_ms) => return,
            Speed::Slow => {
                self.last_decrease_ms = now_ms;
                DECREASE_PERCENT
            }
            Speed::Moderate => return,
            Speed::Fast => INCREASE_PERCENT,
        };
        let rate = (self.rate / 100).saturating_mul(percent);
        let max_rate = self.limits.bytes_per_s.max(1);
        self.rate = rate.clamp(self.min_rate(), max_rate);
        self.resize_buckets();
    }

    /// Returns the current rate, in bytes a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }
}
