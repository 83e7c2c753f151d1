/*!
A circuit breaker for a service whose lost answers are costly.

When the answer to a call that can't be undone is lost, its caller can't tell
whether the call took effect. While a service is down, every such call ends
that way, unless it is refused before it is sent; then the caller knows that
nothing was done and can retry later.

A [`Breaker`] decides from recent results. After a failure, or when a call
gets no answer for too long while no other call is answered either, the
service becomes *suspect*: a call without side effects probes it, and new
calls wait for the result. If the probe is answered, only the single call had
failed. If not, the breaker *opens*, and new calls are refused at once until a
later probe is answered. Any other answer counts like a successful probe, so
every recorded answer may decide the waiting calls: the returned [`Change`]
says so.

| state | new calls | probes |
|---|---|---|
| closed | are sent | none |
| suspect | wait for the result of the probe | one |
| open | are refused | one after the other, until one is answered |

# Example

```
use dewspar::breaker::{Admission, Breaker, Change};

// The service is suspect after 400 ms without an answer.
let mut breaker = Breaker::new(400);
assert_eq!(breaker.admit(1_000), Admission::Send);
breaker.sent(1_000);
breaker.failed(1_010);
assert_eq!(breaker.admit(1_011), Admission::Wait);
assert!(breaker.start_probing(1_011));
let change = breaker.probed(false, 1_020);
assert_eq!(change, Change::Opened { suspect_for_ms: 10 });
assert_eq!(breaker.admit(1_021), Admission::Refuse { out_for_ms: 11 });
assert!(breaker.continue_probing());
assert_eq!(breaker.probed(true, 1_125), Change::Closed { out_for_ms: 115 });
assert_eq!(breaker.admit(1_126), Admission::Send);
```
*/

use std::collections::VecDeque;

/// The decision on a new call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send the call.
    Send,
    /// Wait, and ask again after a [`Change`]: the result of a probe is
    /// pending.
    Wait,
    /// Refuse the call: its answer would most likely be lost.
    Refuse {
        /// The time since the service became suspect, in milliseconds.
        out_for_ms: u64,
    },
}

/// The effect of an answer or a probe on waiting and new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing changed.
    Unchanged,
    /// The suspicion was unfounded; waiting calls may be sent.
    Cleared,
    /// The breaker closed; new calls are sent again.
    Closed {
        /// The time since the service had become suspect, in milliseconds.
        out_for_ms: u64,
    },
    /// The breaker opened; new calls and waiting calls are refused.
    Opened {
        /// How long the service was suspect before, in milliseconds.
        suspect_for_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Suspect { since_ms: u64 },
    Open { since_ms: u64 },
}

/// A circuit breaker, fed with the results of one node's calls.
#[derive(Clone, Debug)]
pub struct Breaker {
    silence_ms: u64,
    state: State,
    /// The times at which the calls in flight were sent, oldest first.
    waiting: VecDeque<u64>,
    answered_ms: u64,
    probing: bool,
}

impl Breaker {
    /// Creates a closed breaker. The service becomes suspect when calls are in
    /// flight and none was answered for `silence_ms` milliseconds.
    pub fn new(silence_ms: u64) -> Breaker {
        Breaker {
            silence_ms,
            state: State::Closed,
            waiting: VecDeque::new(),
            answered_ms: 0,
            probing: false,
        }
    }

    /// Decides on a new call.
    pub fn admit(&mut self, now_ms: u64) -> Admission {
        self.suspect_if_silent(now_ms);
        match self.state {
            State::Closed => Admission::Send,
            State::Suspect { .. } => Admission::Wait,
            State::Open { since_ms } => Admission::Refuse {
                out_for_ms: now_ms.saturating_sub(since_ms),
            },
        }
    }

    /// Records that a call was sent; one of [`answered`](Breaker::answered),
    /// [`failed`](Breaker::failed) and [`abandoned`](Breaker::abandoned)
    /// follows.
    pub fn sent(&mut self, now_ms: u64) {
        self.waiting.push_back(now_ms);
    }

    /// Records that a call was answered, with success or an error.
    pub fn answered(&mut self, now_ms: u64) -> Change {
        self.waiting.pop_front();
        self.other_answered(now_ms)
    }

    /// Records any other answer of the service, such as to a call that wasn't
    /// recorded as sent.
    pub fn other_answered(&mut self, now_ms: u64) -> Change {
        self.answered_ms = now_ms;
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Closed => Change::Unchanged,
            State::Suspect { .. } => Change::Cleared,
            State::Open { since_ms } => {
                Change::Closed { out_for_ms: now_ms.saturating_sub(since_ms) }
            }
        }
    }

    /// Records that a call got no result.
    pub fn failed(&mut self, now_ms: u64) {
        self.waiting.pop_front();
        self.suspect(now_ms);
    }

    /// Records that the caller abandoned a call; the time it went unanswered
    /// still counts.
    pub fn abandoned(&mut self, now_ms: u64) {
        self.suspect_if_silent(now_ms);
        self.waiting.pop_front();
    }

    /// Returns whether the caller must start probing now; the result of each
    /// probe goes to [`probed`](Breaker::probed).
    pub fn start_probing(&mut self, now_ms: u64) -> bool {
        self.suspect_if_silent(now_ms);
        let wanted = self.state != State::Closed && !self.probing;
        self.probing |= wanted;
        wanted
    }

    /// Records whether a probe was answered; ask
    /// [`continue_probing`](Breaker::continue_probing) whether to send
    /// another.
    ///
    /// A failed probe is ignored if another answer came in the meantime.
    pub fn probed(&mut self, answered: bool, now_ms: u64) -> Change {
        if answered {
            return self.other_answered(now_ms);
        }
        let State::Suspect { since_ms } = self.state else {
            return Change::Unchanged;
        };
        self.state = State::Open { since_ms };
        Change::Opened { suspect_for_ms: now_ms.saturating_sub(since_ms) }
    }

    /// Returns whether to send another probe; if not, probing ends.
    pub fn continue_probing(&mut self) -> bool {
        self.probing = self.state != State::Closed;
        self.probing
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    fn suspect_if_silent(&mut self, now_ms: u64) {
        let Some(oldest_ms) = self.waiting.front() else { return };
        let heard_ms = self.answered_ms.max(*oldest_ms);
        if now_ms >= heard_ms + self.silence_ms {
            self.suspect(now_ms);
        }
    }

    fn suspect(&mut self, now_ms: u64) {
        if self.state == State::Closed {
            self.state = State::Suspect { since_ms: now_ms };
        }
    }
}
