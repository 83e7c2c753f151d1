/*!
Whether a service that has stopped answering should be sent more.

A call that can't be taken back costs its caller dearly when its answer is
lost: nobody knows whether it was done. While a service is out, every such
call ends that way, unless it is refused before it is sent; then the caller
knows that nothing was done and can come back.

A [`Breaker`] tells the two apart by what came back of late. A failure, or a
call that waits too long while nothing else is answered either, makes the
service *suspect*: one harmless call probes it, and new calls wait for the
verdict. If the probe is answered the failure was a single call's own; if not,
the service counts as *out*, and new calls are refused at once until a later
probe is answered. Any other answer says as much as a probe's, so whatever is
told to a breaker may decide what becomes of the calls that wait: the
[`Change`] that it returns says so.

| state | new calls | probes |
|---|---|---|
| closed | are sent | none |
| suspect | wait for the verdict | one |
| out | are refused | one after the other, until one is answered |

# Example

```
use dewspar::breaker::{Admission, Breaker, Change};

// Silence of 400 ms is too long.
let mut breaker = Breaker::new(400);
assert_eq!(breaker.admit(1_000), Admission::Send);
breaker.sent(1_000);
breaker.failed(1_010);
assert_eq!(breaker.admit(1_011), Admission::Wait);
assert!(breaker.start_probing(1_011));
assert_eq!(breaker.probed(false, 1_020), Change::Opened { suspect_for_ms: 10 });
assert_eq!(breaker.admit(1_021), Admission::Refuse { out_for_ms: 11 });
assert!(breaker.continue_probing());
assert_eq!(breaker.probed(true, 1_125), Change::Closed { out_for_ms: 115 });
assert_eq!(breaker.admit(1_126), Admission::Send);
```
*/

use std::collections::VecDeque;

/// What to do with a new call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Send it.
    Send,
    /// Ask again in a moment: a probe is under way.
    Wait,
    /// Refuse it: it would most likely be lost.
    Refuse {
        /// For how long the service has been out, in milliseconds.
        out_for_ms: u64,
    },
}

/// What an answer or a probe changed for new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// Those that wait may be sent: the service was suspect for nothing.
    Cleared,
    /// New calls are sent again.
    Closed {
        /// For how long the service was out, in milliseconds.
        out_for_ms: u64,
    },
    /// New calls are refused from now on, and so are those that wait.
    Opened {
        /// For how long it was suspect before, in milliseconds.
        suspect_for_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed,
    Suspect { since_ms: u64 },
    Open { since_ms: u64 },
}

/// Whether a service answers, by the calls of one node.
#[derive(Clone, Debug)]
pub struct Breaker {
    silence_ms: u64,
    state: State,
    /// When each call was sent that has no result yet, in their order.
    waiting: VecDeque<u64>,
    answered_ms: u64,
    probing: bool,
}

impl Breaker {
    /// Makes a breaker that takes a service for suspect once a call has
    /// waited for `silence_ms` milliseconds, while nothing was answered.
    pub fn new(silence_ms: u64) -> Breaker {
        Breaker {
            silence_ms,
            state: State::Closed,
            waiting: VecDeque::new(),
            answered_ms: 0,
            probing: false,
        }
    }

    /// Returns what to do with a new call.
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

    /// Notes that a call was sent; one of [`answered`](Breaker::answered),
    /// [`failed`](Breaker::failed) and [`abandoned`](Breaker::abandoned) follows.
    pub fn sent(&mut self, now_ms: u64) {
        self.waiting.push_back(now_ms);
    }

    /// Notes that a call was answered, whatever the answer says.
    pub fn answered(&mut self, now_ms: u64) -> Change {
        self.waiting.pop_front();
        self.other_answered(now_ms)
    }

    /// Notes that something else was answered, such as a call that nobody
    /// noted as sent.
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

    /// Notes that a call got no result.
    pub fn failed(&mut self, now_ms: u64) {
        self.waiting.pop_front();
        self.suspect(now_ms);
    }

    /// Notes that nobody waits for a call any more; its silence until now
    /// still counts.
    pub fn abandoned(&mut self, now_ms: u64) {
        self.suspect_if_silent(now_ms);
        self.waiting.pop_front();
    }

    /// Returns whether probing is to begin now; the result of each probe goes
    /// to [`probed`](Breaker::probed).
    pub fn start_probing(&mut self, now_ms: u64) -> bool {
        self.suspect_if_silent(now_ms);
        let wanted = self.state != State::Closed && !self.probing;
        self.probing |= wanted;
        wanted
    }

    /// Takes in whether a probe was answered; one that wasn't is followed by
    /// another while [`continue_probing`](Breaker::continue_probing) says so.
    ///
    /// One that wasn't says nothing if something else was answered meanwhile.
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

    /// Returns whether another probe is to follow; if not, probing is over.
    pub fn continue_probing(&mut self) -> bool {
        self.probing = self.state != State::Closed;
        self.probing
    }

    /// Returns whether the service counts as out.
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
