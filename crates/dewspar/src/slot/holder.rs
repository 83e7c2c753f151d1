use {
    crate::slot::{Count, Limits, Pressure, Reply, Sync},
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
    // Since when others wait, and how many slots they may still have.
    others_since_ms: Option<u64>,
    others_want: u32,
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
            others_since_ms: None,
            others_want: 0,
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

    /// Returns whether a slot that is free here should go to others.
    ///
    /// `oldest_ms` is since when the holder's own oldest request waits.
    pub fn yields(&self, oldest_ms: Option<u64>) -> bool {
        let Some(others_ms) = self.others_since_ms else { return false };
        let older = oldest_ms.is_none_or(|own_ms| others_ms < own_ms);
        older && self.others_want > 0
    }

    /// Returns when the granter should hear from the holder again, unless a
    /// sync is under way; `None` means that there is nothing to say.
    ///
    /// `oldest_ms` is since when the holder's own oldest request waits.
    pub fn next_sync_ms(&self, oldest_ms: Option<u64>) -> Option<u64> {
        if self.has_to_yield(oldest_ms) {
            Some(self.sent_ms)
        } else if oldest_ms.is_some() {
            Some(self.sent_ms + self.pause_ms)
        } else if self.held() > 0 {
            Some(self.sent_ms + RENEW_MS)
        } else {
            None
        }
    }

    /// Returns whether slots must go back now, also while a sync is under
    /// way: the next one takes its place.
    pub fn has_to_yield(&self, oldest_ms: Option<u64>) -> bool {
        self.yields(oldest_ms) && self.idle() > 0
    }

    /// Returns what to tell a node that has become the granter.
    ///
    /// An answer of the former granter that is still on its way is passed
    /// over when it arrives.
    pub fn state(&mut self, now_ms: u64) -> Sync {
        let want = std::mem::take(&mut self.want);
        let sync = self.sync(None, now_ms);
        self.want = want;
        sync
    }

    /// Returns what to tell the granter, and lets go of slots that others
    /// should have or that lie idle for long.
    ///
    /// `oldest_ms` is since when the holder's own oldest request waits.
    pub fn sync(&mut self, oldest_ms: Option<u64>, now_ms: u64) -> Sync {
        let mut to_yield = match self.yields(oldest_ms) {
            true => self.others_want,
            false => 0,
        };
        let idle_ms = self.limits.idle_ms;
        for (runner, token) in &mut self.tokens {
            let mut spare = token.granted - token.in_use;
            let long_idle =
                oldest_ms.is_none() && token.last_use_ms + idle_ms <= now_ms;
            if !long_idle && !self.revoked.contains(runner) {
                spare = spare.min(to_yield);
            }
            token.granted -= spare;
            to_yield = to_yield.saturating_sub(spare);
            self.others_want = self.others_want.saturating_sub(spare);
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
        let waited_ms =
            oldest_ms.map_or(0, |own_ms| now_ms.saturating_sub(own_ms));
        Sync {
            incarnation: self.incarnation,
            sequence: self.sequence,
            held,
            want: self.want,
            waited_ms,
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
        self.set_pressure(reply.pressure, now_ms);
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

    /// Records what others wait for.
    pub fn recall(&mut self, pressure: Pressure, now_ms: u64) {
        self.set_pressure(Some(pressure), now_ms);
    }

    fn set_pressure(&mut self, pressure: Option<Pressure>, now_ms: u64) {
        let since = |p: Pressure| now_ms.saturating_sub(p.waited_ms);
        self.others_since_ms = pressure.map(since);
        self.others_want = pressure.map_or(0, |pressure| pressure.wanted);
    }

    /// Returns the number of the last sync.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns how many slots are granted and not in use.
    pub fn idle(&self) -> u32 {
        self.tokens.values().map(|t| t.granted - t.in_use).sum()
    }
}
