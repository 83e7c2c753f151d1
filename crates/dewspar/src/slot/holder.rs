use {
    crate::slot::{Count, Limits, Reply, Sync},
    std::collections::{BTreeMap, BTreeSet},
};

/// How often held slots are stated to the granter, in milliseconds.
const RENEW_MS: u64 = 500;

/// The pause between two syncs while a granter doesn't grant yet, at first,
/// in milliseconds.
const FIRST_PAUSE_MS: u64 = 1;

/// The longest such pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 20;

/// Whether a request got a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquired {
    /// It may be dispatched to this runner.
    Slot(String),
    /// It must wait: the holder has none free.
    Wait,
}

#[derive(Clone, Copy, Debug, Default)]
struct Token {
    granted: u32,
    in_use: u32,
    last_use_ms: u64,
}

/// One node's slots of one service's runners.
#[derive(Debug)]
pub struct Holder {
    limits: Limits,
    incarnation: u64,
    sequence: u64,
    sent_ms: u64,
    expires_ms: u64,
    want: u32,
    pressure: bool,
    pause_ms: u64,
    revoked: BTreeSet<String>,
    tokens: BTreeMap<String, Token>,
}

impl Holder {
    /// Makes a holder of nothing.
    pub fn new(limits: Limits) -> Holder {
        Holder::with_incarnation(limits, 1)
    }

    /// Makes a holder whose incarnation must grow with each start of the
    /// process.
    pub fn with_incarnation(limits: Limits, incarnation: u64) -> Holder {
        Holder {
            limits,
            incarnation,
            sequence: 0,
            sent_ms: 0,
            expires_ms: 0,
            want: 0,
            pressure: false,
            pause_ms: FIRST_PAUSE_MS,
            revoked: BTreeSet::new(),
            tokens: BTreeMap::new(),
        }
    }

    /// States how many requests wait for a slot.
    pub fn want(&mut self, want: u32) {
        self.want = want;
    }

    /// Returns how many slots the holder has, free or in use.
    pub fn held(&self) -> u32 {
        self.tokens.values().map(|token| token.granted).sum()
    }

    /// Returns how many of a runner's slots the holder has.
    pub fn granted(&self, runner: &str) -> u32 {
        self.tokens.get(runner).map_or(0, |token| token.granted)
    }

    /// Returns how many requests are in flight on a runner.
    pub fn in_use(&self, runner: &str) -> u32 {
        self.tokens.get(runner).map_or(0, |token| token.in_use)
    }

    /// Takes a slot for one request, on the runner with the least in flight.
    ///
    /// Runners that `usable` refuses get nothing.
    pub fn acquire(
        &mut self,
        now_ms: u64,
        usable: impl Fn(&str) -> bool,
    ) -> Acquired {
        if now_ms >= self.expires_ms {
            return Acquired::Wait;
        }
        let revoked = &self.revoked;
        let best = self
            .tokens
            .iter_mut()
            .filter(|(runner, t)| {
                t.granted > t.in_use
                    && !revoked.contains(*runner)
                    && usable(runner)
            })
            .min_by_key(|(_, t)| (t.in_use, t.last_use_ms));
        match best {
            None => Acquired::Wait,
            Some((runner, token)) => {
                token.in_use += 1;
                token.last_use_ms = now_ms;
                Acquired::Slot(runner.clone())
            }
        }
    }

    /// Gives back a request's slot.
    pub fn release(&mut self, runner: &str) {
        if let Some(token) = self.tokens.get_mut(runner) {
            token.in_use = token.in_use.saturating_sub(1);
        }
    }

    /// Returns when the granter should hear from the holder again, unless a
    /// sync is under way; `None` means that there is nothing to say.
    ///
    /// While others wait, a slot that comes free here goes back at once.
    pub fn next_sync_ms(&self, waiting: bool) -> Option<u64> {
        if waiting {
            Some(self.sent_ms + self.pause_ms)
        } else if self.pressure && self.idle() > 0 {
            Some(self.sent_ms)
        } else if self.held() > 0 {
            Some(self.sent_ms + RENEW_MS)
        } else {
            None
        }
    }

    /// Returns what to tell a node that has become the granter.
    ///
    /// An answer of the former granter that is still on its way is passed
    /// over when it arrives.
    pub fn state(&mut self, now_ms: u64) -> Sync {
        let want = std::mem::take(&mut self.want);
        let sync = self.sync(now_ms);
        self.want = want;
        sync
    }

    /// Returns what to tell the granter, and lets go of idle slots.
    pub fn sync(&mut self, now_ms: u64) -> Sync {
        let idle_ms = if self.pressure { 0 } else { self.limits.idle_ms };
        let waiting = self.want > 0;
        for (runner, token) in &mut self.tokens {
            let idle = !waiting && token.last_use_ms + idle_ms <= now_ms;
            if idle || self.revoked.contains(runner) {
                token.granted = token.in_use;
            }
        }
        self.tokens.retain(|_, token| token.granted > 0);
        self.sequence += 1;
        self.sent_ms = now_ms;
        let held = self
            .tokens
            .iter()
            .map(|(runner, token)| Count {
                runner: runner.clone(),
                slots: token.granted,
            })
            .collect();
        Sync {
            incarnation: self.incarnation,
            sequence: self.sequence,
            held,
            want: self.want,
        }
    }

    /// Takes in the granter's answer to the last sync.
    pub fn answered(&mut self, reply: &Reply, now_ms: u64) {
        let is_last = reply.incarnation == self.incarnation
            && reply.sequence == self.sequence;
        if !is_last || !reply.accepted {
            return;
        }
        self.expires_ms = self.sent_ms + self.limits.grant_ms;
        self.pressure = reply.pressure;
        self.revoked = reply.revoked.iter().cloned().collect();
        for count in &reply.granted {
            let token = self.tokens.entry(count.runner.clone()).or_default();
            token.granted += count.slots;
            token.last_use_ms = now_ms;
        }
        // One that parked has waited at the granter already.
        self.pause_ms = match reply.parked {
            true => 0,
            false => {
                (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS)
            }
        };
    }

    /// Records that the last sync got no answer.
    pub fn unanswered(&mut self) {
        let doubled = self.pause_ms * 2;
        self.pause_ms = doubled.clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
    }

    /// Records that others wait, so that idle slots go back at the next
    /// sync.
    pub fn recall(&mut self) {
        self.pressure = true;
    }

    /// Returns how many slots are granted and not in use.
    pub fn idle(&self) -> u32 {
        self.tokens.values().map(|t| t.granted - t.in_use).sum()
    }
}
