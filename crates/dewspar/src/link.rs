/*!
What a node sends first when its network link is too small for all of it.

A scheduler has several kinds of work for one link. Sent as they come, they
queue at the link, and the queue delays all of them alike: a burst of 400
orders to start, of 1.5 kB each, keeps a link of 2 Mbit/s busy for 2.4 s. What
is renewed too late has lapsed, and what isn't answered in its time counts as
lost and is sent again, so that a full link stays full although little of what
it carries is of use.

A [`LinkBudget`] therefore keeps the queue at the node, where it can be
ordered. It hands out bytes at a rate a little below the link's, in *classes*:

| class | is sent | because |
|---|---|---|
| [`Class::Renewal`] | always | what runs ends if its lease isn't renewed |
| [`Class::Stop`] | always | room is taken until a stop is carried out |
| [`Class::Fence`] | as long as there is any budget | nothing starts on a worker before it |
| [`Class::Question`] | from a share of its own | ends make room, and let next steps begin |
| [`Class::Start`] | from the rest | |

What one share leaves unused flows to the other, so none is idle while the
other waits. The rate itself falls when calls turn slow or get no answer while
it is used up, because the link carries less than was said or other work takes
it, and rises again while they are fast.

# Example

```
use dewspar::link::{Class, LinkBudget, LinkLimits};

// 250 kB/s, of which 70 % are handed out.
let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
budget.refill(1_000);
let mut starts = 0;
while budget.allows(Class::Start) {
    budget.sent(Class::Start, 1_500);
    starts += 1;
}
assert_eq!(starts, 7, "a tenth of a second's share");
assert!(budget.allows(Class::Question), "these have their own");
assert!(budget.allows(Class::Renewal));
budget.refill(1_050);
assert!(budget.allows(Class::Start));
```
*/

use crate::window::{CallEnd, Speed, Tally, WindowLimits};

/// What is sent, in classes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Renews the lease of a worker that will soon need it.
    Renewal,
    /// Stops a run or changes its pace.
    Stop,
    /// Makes a former holder's orders void.
    Fence,
    /// Asks what runs and what has ended.
    Question,
    /// Starts a run.
    Start,
}

/// Bounds of a [`LinkBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkLimits {
    /// What is handed out at most, in bytes a second.
    pub bytes_per_s: u64,
    /// How much may be sent at once after a pause, as time at that rate in
    /// milliseconds.
    pub burst_ms: u64,
    /// The share of questions and renewals, in percent.
    pub question_percent: u64,
    /// The lowest that the rate may fall to, in percent of `bytes_per_s`.
    pub min_percent: u64,
}

/// Bytes a second of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// The share of a link that is handed out, in percent: the feed, readings of
/// the directory and writes of progress take the rest.
const ORDER_PERCENT: u64 = 70;

impl LinkLimits {
    /// Returns the limits for a link of so many megabits a second.
    pub fn of_link(megabits_per_s: f64) -> LinkLimits {
        let bytes_per_s = megabits_per_s * BYTES_PER_MEGABIT;
        LinkLimits {
            // OK to convert: a float goes to the nearest value that fits.
            bytes_per_s: (bytes_per_s as u64).saturating_mul(ORDER_PERCENT)
                / 100,
            // Half of what an order may take, so that the last of a burst
            // is still answered in time.
            burst_ms: 100,
            // A question of 350 bytes for each start of 600.
            question_percent: 40,
            // A link that drops to a tenth still carries this.
            min_percent: 10,
        }
    }
}

/// How many calls must have ended before the rate is adapted: as many as a
/// small link carries in some tenths of a second.
const CALLS_PER_ADJUSTMENT: usize = 32;

/// For how long a share that was used up says that work waits for the link, in
/// milliseconds: longer than slow orders take to be noticed.
const EXHAUSTED_RECENTLY_MS: u64 = 1_000;

/// The rate falls to this share of itself when calls are slow, in percent.
const DECREASE_PERCENT: u64 = 70;

/// The rate rises to this share of itself while calls are fast, in percent.
const INCREASE_PERCENT: u64 = 125;

/// What an order takes of a link beside what it carries, with its head and the
/// packets of its answer, in bytes: read off the bytes of orders by purpose,
/// and two packets' heads.
const ORDER_BYTES: u64 = 250;

/// The same over a relay, where many share a message and heads are left out:
/// 204 starts with payloads of some 350 bytes and 190 questions a second took
/// 118 kB, with all else that was sent.
const RELAYED_ORDER_BYTES: u64 = 90;

/// Hands out what a link carries.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    limits: LinkLimits,
    /// What is handed out now, in bytes a second.
    rate: u64,
    refilled_ms: u64,
    questions: Bucket,
    starts: Bucket,
    tally: Tally,
    /// When the rate last fell.
    last_decrease_ms: u64,
    /// When a share was last used up.
    last_exhausted_ms: u64,
    /// Whether relays carry what is sent.
    relayed: bool,
}

/// What one share has left; less than nothing after a large order.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    bytes: i64,
    capacity: i64,
}

impl Bucket {
    /// Adds bytes; returns those for which there is no room.
    fn add(&mut self, bytes: i64) -> i64 {
        let filled = self.bytes + bytes;
        self.bytes = filled.min(self.capacity);
        filled - self.bytes
    }
}

impl LinkBudget {
    /// Makes a budget that is full.
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

    /// Adds what the link has carried since the last time.
    pub fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        // More than a burst is lost in any case.
        let elapsed_ms = elapsed_ms.min(self.limits.burst_ms);
        let bytes = self.rate.saturating_mul(elapsed_ms) / 1_000;
        if bytes == 0 {
            // Too short a time to count: it counts with the next.
            return;
        }
        self.refilled_ms = now_ms;
        let bytes = bytes.min(i64::MAX as u64 / 200) as i64;
        let questions = bytes * self.limits.question_percent as i64 / 100;
        let overflow = self.questions.add(questions);
        let overflow = self.starts.add(bytes - questions + overflow);
        self.questions.add(overflow);
    }

    /// Returns whether something of a class may be sent now.
    pub fn allows(&self, class: Class) -> bool {
        match class {
            Class::Renewal | Class::Stop => true,
            Class::Fence => self.questions.bytes > 0 || self.starts.bytes > 0,
            Class::Question => self.questions.bytes > 0,
            Class::Start => self.starts.bytes > 0,
        }
    }

    /// Sets whether relays carry what is sent from now on.
    pub fn set_relayed(&mut self, relayed: bool) {
        self.relayed = relayed;
    }

    /// Returns what an order takes beside what it carries, in bytes.
    pub fn order_bytes(&self) -> u64 {
        if self.relayed { RELAYED_ORDER_BYTES } else { ORDER_BYTES }
    }

    /// Notes that something of a class was sent, of so many bytes with its
    /// answer in the larger direction.
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

    /// Returns whether work waited for the link a short while ago although
    /// the rate could still fall: orders are then slow because there are many
    /// of them, and on no other node of the kind would they be faster.
    pub fn is_saturated(&self, now_ms: u64) -> bool {
        self.was_exhausted(now_ms) && self.rate > self.min_rate()
    }

    /// Returns whether a share was used up a short while ago.
    fn was_exhausted(&self, now_ms: u64) -> bool {
        now_ms < self.last_exhausted_ms + EXHAUSTED_RECENTLY_MS
    }

    fn min_rate(&self) -> u64 {
        let LinkLimits { bytes_per_s, min_percent, .. } = self.limits;
        let min_rate = (bytes_per_s / 100).saturating_mul(min_percent);
        min_rate.clamp(1, bytes_per_s.max(1))
    }

    /// Notes the end of a call that was sent at this time, and adapts the rate
    /// once enough have ended.
    ///
    /// Calls that were sent before the rate last fell say nothing new: one
    /// reading of the directory that fills the link for a moment is one cause
    /// to slow down, however many calls met it.
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
            // Slow calls on a link that isn't full are the processor's doing
            // or the workers', and sending less leaves them as slow.
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

    /// Returns what is handed out now, in bytes a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }
}
