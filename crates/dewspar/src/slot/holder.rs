use {
    crate::slot::{Count, Limits, Pressure, Reply, Sync},
    std::collections::{BTreeMap, BTreeSet},
};

/// How often held slots are stated to the granter, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 500;

/// The pause between two syncs while a granter doesn't grant yet, at first,
/// in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 1;

/// The longest such pause, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 20;

/// Whether a request got a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquired {
    /// It may be dispatched to this runner.
    Slot(String),
    /// It must wait: the holder has none free.
    Wait,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunnerSlots {
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
    retry_delay_ms: u64,
    revoked: BTreeSet<String>,
    runners: BTreeMap<String, RunnerSlots>,
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
            retry_delay_ms: MIN_RETRY_DELAY_MS,
            revoked: BTreeSet::new(),
            runners: BTreeMap::new(),
        }
    }

    /// States how many requests wait for a slot.
    pub fn set_wanted(&mut self, want: u32) {
        self.want = want;
    }

    /// Returns how many slots the holder has, free or in use.
    pub fn held(&self) -> u32 {
        self.runners.values().map(|slots| slots.granted).sum()
    }

    /// Returns how many of a runner's slots the holder has.
    pub fn granted(&self, runner: &str) -> u32 {
        self.runners.get(runner).map_or(0, |slots| slots.granted)
    }

    /// Returns how many requests are in flight on a runner.
    pub fn in_use(&self, runner: &str) -> u32 {
        self.runners.get(runner).map_or(0, |slots| slots.in_use)
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
            .runners
            .iter_mut()
            .filter(|(runner, slots)| {
                slots.granted > slots.in_use
                    && !revoked.contains(*runner)
                    && usable(runner)
            })
            .min_by_key(|(_, slots)| (slots.in_use, slots.last_use_ms));
        match best {
            None => Acquired::Wait,
            Some((runner, slots)) => {
                slots.in_use += 1;
                slots.last_use_ms = now_ms;
                Acquired::Slot(runner.clone())
            }
        }
    }

    /// Gives back a request's slot.
    pub fn release(&mut self, runner: &str) {
        if let Some(slots) = self.runners.get_mut(runner) {
            slots.in_use = slots.in_use.saturating_sub(1);
        }
    }

    /// Returns whether a slot that is free here should go to others.
    ///
    /// `oldest_ms` is since when the holder's own oldest request waits.
    pub fn should_yield(&self, oldest_ms: Option<u64>) -> bool {
        let Some(others_since_ms) = self.others_since_ms else { return false };
        let older = oldest_ms.is_none_or(|own_ms| others_since_ms < own_ms);
        older && self.others_want > 0
    }

    /// Returns when the granter should hear from the holder again, unless a
    /// sync is under way; `None` means that there is nothing to say.
    ///
    /// `oldest_ms` is since when the holder's own oldest request waits.
    pub fn next_sync_ms(&self, oldest_ms: Option<u64>) -> Option<u64> {
        if self.must_yield(oldest_ms) {
            Some(self.sent_ms)
        } else if oldest_ms.is_some() {
            Some(self.sent_ms + self.retry_delay_ms)
        } else if self.held() > 0 {
            Some(self.sent_ms + RENEW_INTERVAL_MS)
        } else {
            None
        }
    }

    /// Returns whether slots must go back now, also while a sync is under
    /// way: the next one takes its place.
    pub fn must_yield(&self, oldest_ms: Option<u64>) -> bool {
        self.should_yield(oldest_ms) && self.idle() > 0
    }

    /// Returns what to tell a node that has become the granter.
    ///
    /// An answer of the former granter that is still on its way is passed
    /// over when it arrives.
    pub fn sync_for_new_granter(&mut self, now_ms: u64) -> Sync {
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
        let mut to_yield = match self.should_yield(oldest_ms) {
            true => self.others_want,
            false => 0,
        };
        let idle_ms = self.limits.idle_ms;
        for (runner, slots) in &mut self.runners {
            let mut spare = slots.granted - slots.in_use;
            let idle_expired =
                oldest_ms.is_none() && slots.last_use_ms + idle_ms <= now_ms;
            if !idle_expired && !self.revoked.contains(runner) {
                spare = spare.min(to_yield);
            }
            slots.granted -= spare;
            to_yield = to_yield.saturating_sub(spare);
            self.others_want = self.others_want.saturating_sub(spare);
        }
        self.runners.retain(|_, slots| slots.granted > 0);
        self.sequence += 1;
        self.sent_ms = now_ms;
        let held = self
            .runners
            .iter()
            .map(|(runner, slots)| Count {
                runner: runner.clone(),
                slots: slots.granted,
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
    pub fn apply_reply(&mut self, reply: &Reply, now_ms: u64) {
        let is_last = reply.incarnation == self.incarnation
            && reply.sequence == self.sequence;
        if !is_last || !reply.accepted {
            return;
        }
        self.expires_ms = self.sent_ms + self.limits.grant_ms;
        self.set_pressure(reply.pressure, now_ms);
        self.revoked = reply.revoked.iter().cloned().collect();
        for count in &reply.granted {
            let slots = self.runners.entry(count.runner.clone()).or_default();
            slots.granted += count.slots;
            slots.last_use_ms = now_ms;
        }
        // One that parked has waited at the granter already.
        self.retry_delay_ms = match reply.parked {
            true => 0,
            false => (self.retry_delay_ms * 2)
                .clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
        };
    }

    /// Records that the last sync got no answer.
    pub fn sync_failed(&mut self) {
        let doubled = self.retry_delay_ms * 2;
        self.retry_delay_ms =
            doubled.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
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
        self.runners.values().map(|slots| slots.granted - slots.in_use).sum()
    }
}
