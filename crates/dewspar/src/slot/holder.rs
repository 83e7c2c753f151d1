use {
    crate::slot::{Count, Limits, Pressure, Reply, Sync},
    std::collections::{BTreeMap, BTreeSet},
};

/// The interval at which held slots are renewed, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 500;

/// The initial delay between two syncs that got no slots, in milliseconds.
///
/// Applies while the granter doesn't grant yet, or doesn't answer. The delay
/// doubles with each sync.
const MIN_RETRY_DELAY_MS: u64 = 1;

/// The maximum of that delay, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 20;

/// The result of [`Holder::acquire`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acquired {
    /// The request may be dispatched to this runner.
    Slot(String),
    /// The request must wait: the holder has no free slot.
    Wait,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunnerSlots {
    granted: u32,
    in_use: u32,
    last_use_ms: u64,
}

/// The slots of one service's runners that one node holds.
#[derive(Debug)]
pub struct Holder {
    limits: Limits,
    incarnation: u64,
    sequence: u64,
    sent_ms: u64,
    expires_ms: u64,
    want: u32,
    // Since when other nodes wait, and how many slots they still want.
    others_since_ms: Option<u64>,
    others_want: u32,
    retry_delay_ms: u64,
    revoked: BTreeSet<String>,
    runners: BTreeMap<String, RunnerSlots>,
}

impl Holder {
    /// Creates a holder without slots.
    pub fn new(limits: Limits) -> Holder {
        Holder::with_incarnation(limits, 1)
    }

    /// Creates a holder without slots; `incarnation` must increase with each
    /// start of the process.
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

    /// Sets how many requests wait for a slot.
    pub fn set_wanted(&mut self, want: u32) {
        self.want = want;
    }

    /// Returns the number of slots that the holder has, free or in use.
    pub fn held(&self) -> u32 {
        self.runners.values().map(|slots| slots.granted).sum()
    }

    /// Returns the number of a runner's slots that the holder has.
    pub fn granted(&self, runner: &str) -> u32 {
        self.runners.get(runner).map_or(0, |slots| slots.granted)
    }

    /// Returns the number of requests in flight on a runner.
    pub fn in_use(&self, runner: &str) -> u32 {
        self.runners.get(runner).map_or(0, |slots| slots.in_use)
    }

    /// Acquires a slot for one request, on the runner with the fewest requests
    /// in flight.
    ///
    /// Runners for which `usable` returns false are skipped.
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

    /// Releases a request's slot; the holder keeps it for other requests.
    pub fn release(&mut self, runner: &str) {
        if let Some(slots) = self.runners.get_mut(runner) {
            slots.in_use = slots.in_use.saturating_sub(1);
        }
    }

    /// Returns whether a free slot should go to other nodes, because their
    /// oldest request is older than the holder's own.
    ///
    /// `oldest_ms` is when the holder's own oldest request started to wait.
    pub fn should_yield(&self, oldest_ms: Option<u64>) -> bool {
        let Some(others_since_ms) = self.others_since_ms else { return false };
        let older = oldest_ms.is_none_or(|own_ms| others_since_ms < own_ms);
        older && self.others_want > 0
    }

    /// Returns when the next sync is due, unless one is in flight; `None`
    /// means that no sync is needed.
    ///
    /// `oldest_ms` is when the holder's own oldest request started to wait.
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

    /// Returns whether idle slots must be returned now, even while a sync is
    /// in flight, which the next one then supersedes.
    pub fn must_yield(&self, oldest_ms: Option<u64>) -> bool {
        self.should_yield(oldest_ms) && self.idle() > 0
    }

    /// Returns the state to report to a node that has become the granter.
    ///
    /// A reply of the former granter that arrives afterwards is ignored.
    pub fn sync_for_new_granter(&mut self, now_ms: u64) -> Sync {
        let want = std::mem::take(&mut self.want);
        let sync = self.sync(None, now_ms);
        self.want = want;
        sync
    }

    /// Returns the next sync for the granter, after dropping idle slots that
    /// others should get, that are revoked, or that were unused for long.
    ///
    /// `oldest_ms` is when the holder's own oldest request started to wait.
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

    /// Applies the granter's reply to the last sync; ignores other replies.
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
        // A parked want has already waited at the granter.
        self.retry_delay_ms = match reply.parked {
            true => 0,
            false => (self.retry_delay_ms * 2)
                .clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
        };
    }

    /// Records that the last sync got no reply.
    pub fn sync_failed(&mut self) {
        let doubled = self.retry_delay_ms * 2;
        self.retry_delay_ms =
            doubled.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    }

    /// Records the unmet demand of other nodes, on the granter's request.
    pub fn recall(&mut self, pressure: Pressure, now_ms: u64) {
        self.set_pressure(Some(pressure), now_ms);
    }

    fn set_pressure(&mut self, pressure: Option<Pressure>, now_ms: u64) {
        let since = |p: Pressure| now_ms.saturating_sub(p.waited_ms);
        self.others_since_ms = pressure.map(since);
        self.others_want = pressure.map_or(0, |pressure| pressure.wanted);
    }

    /// Returns the sequence number of the last sync.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the number of slots that are granted and not in use.
    pub fn idle(&self) -> u32 {
        self.runners.values().map(|slots| slots.granted - slots.in_use).sum()
    }
}
