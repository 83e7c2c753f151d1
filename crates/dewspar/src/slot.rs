/*!
Slots: a runner's few slots, shared by every node.

A runner takes, say, 8 requests at a time, for all nodes together. Splitting
8 among 6 nodes wastes slots, and among 70 it is impossible. So each service
has one [`Granter`], the node ranked first for it, and the other nodes hold
slots from it in small grants that expire. A node with steady demand keeps
its slots and uses them again and again without a message.

# One message

Holder and granter exchange one kind of message, a [`Sync`]: "I hold these
slots, and want so many more". It is a full statement and not a change, so it
renews, returns and asks in one, and a lost or repeated one does no harm. A
sequence number makes the granter pass over a late one.

# Safety

* A holder uses a slot only until the expiry it was told, counted from when
  it *sent* the sync.
* The granter counts a slot as out until its holder says otherwise, or until
  the grant has expired and every request that could have been dispatched
  under it has reached its deadline.
* A new granter grants nothing until each live node has told it what it
  holds, or until every older grant must have ended.
* The runner's own refusal of one request too many is the last line, and
  counts as certainly not run.

# Example

```
use dewspar::slot::{Acquired, Granter, Holder, Limits};

let limits = Limits::default();
let mut granter = Granter::new(limits, 0);
granter.set_runner("extracts-0", 2);
let mut holder = Holder::new(limits);

holder.want(1);
let sync = holder.sync(10);
let reply = granter.sync("n1", &sync, &["n1"], 11);
holder.answered(&reply, 12);
let Acquired::Slot(runner) = holder.acquire(13, |_| true) else { panic!() };
assert_eq!(runner, "extracts-0");
holder.release(&runner);
```
*/

use {
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a want that isn't repeated counts, in milliseconds.
const WAITING_MS: u64 = 50;

/// How long grants and requests live.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    grant_ms: u64,
    max_request_ms: u64,
    idle_ms: u64,
}

impl Default for Limits {
    /// Grants of 2 s, requests of at most 30 s, slots returned after 5 s
    /// without use or as soon as they are recalled.
    fn default() -> Limits {
        Limits { grant_ms: 2_000, max_request_ms: 30_000, idle_ms: 5_000 }
    }
}

impl Limits {
    /// Sets how long a grant lasts, in milliseconds.
    pub fn grant_ms(mut self, grant_ms: u64) -> Limits {
        self.grant_ms = grant_ms;
        self
    }

    /// Sets the longest time a request may take, in milliseconds.
    pub fn max_request_ms(mut self, max_request_ms: u64) -> Limits {
        self.max_request_ms = max_request_ms;
        self
    }

    /// Returns how long a grant lasts, in milliseconds.
    pub fn grant_lasts_ms(&self) -> u64 {
        self.grant_ms
    }

    /// Returns after how long every slot under an old grant is free again,
    /// in milliseconds.
    fn let_go_ms(&self) -> u64 {
        self.grant_ms + self.max_request_ms
    }
}

/// A number of slots of one runner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    runner: String,
    slots: u32,
}

impl Count {
    /// Returns the runner's name.
    pub fn runner(&self) -> &str {
        &self.runner
    }

    /// Returns how many of its slots are meant.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}

/// All that a holder tells a granter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sync {
    sequence: u64,
    held: Vec<Count>,
    want: u32,
}

impl Sync {
    /// Returns how many more slots the holder wants.
    pub fn wanted(&self) -> u32 {
        self.want
    }

    /// Returns the slots that the holder states it holds.
    pub fn held(&self) -> &[Count] {
        &self.held
    }
}

impl Sync {
    /// Makes the statement of a node that holds nothing.
    ///
    /// `sequence` must be lower than that of any holder it may make later.
    pub fn nothing(sequence: u64) -> Sync {
        Sync { sequence, held: Vec::new(), want: 0 }
    }
}

/// What a granter answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    sequence: u64,
    accepted: bool,
    granted: Vec<Count>,
    revoked: Vec<String>,
    pressure: bool,
}

impl Reply {
    /// Returns the slots granted on top of what was held.
    pub fn granted(&self) -> &[Count] {
        &self.granted
    }

    /// Returns whether others wait, so that idle slots should come back.
    pub fn pressure(&self) -> bool {
        self.pressure
    }

    /// Makes the answer of a node that isn't the granter.
    pub fn refused(sync: &Sync) -> Reply {
        Reply {
            sequence: sync.sequence,
            accepted: false,
            granted: Vec::new(),
            revoked: Vec::new(),
            pressure: false,
        }
    }
}

#[derive(Debug, Default)]
struct Record {
    sequence: u64,
    held: BTreeMap<String, u32>,
    want: u32,
    heard_ms: u64,
}

/// The one place that grants the slots of one service's runners.
#[derive(Debug)]
pub struct Granter {
    limits: Limits,
    since_ms: u64,
    open: bool,
    runners: BTreeMap<String, u32>,
    records: BTreeMap<String, Record>,
    heard: BTreeSet<String>,
}

impl Granter {
    /// Makes a granter that became responsible at `now_ms`.
    pub fn new(limits: Limits, now_ms: u64) -> Granter {
        Granter {
            limits,
            since_ms: now_ms,
            open: false,
            runners: BTreeMap::new(),
            records: BTreeMap::new(),
            heard: BTreeSet::new(),
        }
    }

    /// Adds a runner, or changes how many slots it has.
    pub fn set_runner(&mut self, runner: &str, slots: u32) {
        self.runners.insert(runner.to_owned(), slots);
    }

    /// Stops granting the slots of runners that `keep` refuses.
    pub fn retain_runners(&mut self, keep: impl Fn(&str) -> bool) {
        self.runners.retain(|runner, _| keep(runner));
    }

    /// Returns how many of a runner's slots are out.
    pub fn out(&self, runner: &str) -> u32 {
        self.records.values().filter_map(|r| r.held.get(runner)).sum()
    }

    /// Returns whether it grants yet.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Returns the live nodes that must still say what they hold.
    pub fn unheard<'a>(&self, live: &[&'a str]) -> Vec<&'a str> {
        if self.open {
            return Vec::new();
        }
        let heard = |node: &&&str| !self.heard.contains(**node);
        live.iter().filter(heard).copied().collect()
    }

    /// Takes in a holder's statement and grants what is free.
    ///
    /// `live` are the nodes on this granter's roster that aren't suspected.
    pub fn sync(
        &mut self,
        node: &str,
        sync: &Sync,
        live: &[&str],
        now_ms: u64,
    ) -> Reply {
        let record = self.records.entry(node.to_owned()).or_default();
        if sync.sequence <= record.sequence {
            return Reply::refused(sync);
        }
        record.sequence = sync.sequence;
        record.heard_ms = now_ms;
        record.want = sync.want;
        record.held = sync
            .held
            .iter()
            .map(|count| (count.runner.clone(), count.slots))
            .collect();
        self.heard.insert(node.to_owned());
        self.expire(now_ms);
        self.try_open(live, now_ms);
        let granted = if self.open {
            self.grant(node, sync.want, now_ms)
        } else {
            Vec::new()
        };
        let pressure = self.waiting_elsewhere(node, now_ms) > 0;
        let held = sync.held.iter().map(|count| count.runner.as_str());
        let revoked = held
            .filter(|runner| !self.runners.contains_key(*runner))
            .map(str::to_owned)
            .collect();
        Reply {
            sequence: sync.sequence,
            accepted: true,
            granted,
            revoked,
            pressure,
        }
    }

    /// Returns the nodes that hold slots while `node` wants some in vain.
    pub fn recallable(&self, node: &str) -> Vec<&str> {
        let wants = self.records.get(node).is_some_and(|r| r.want > 0);
        if !wants {
            return Vec::new();
        }
        self.records
            .iter()
            .filter(|(name, record)| {
                *name != node && record.held.values().any(|n| *n > 0)
            })
            .map(|(name, _)| name.as_str())
            .collect()
    }

    fn try_open(&mut self, live: &[&str], now_ms: u64) {
        let all_heard = live.iter().all(|node| self.heard.contains(*node));
        let all_ended = now_ms >= self.since_ms + self.limits.let_go_ms();
        self.open |= all_heard || all_ended;
    }

    fn expire(&mut self, now_ms: u64) {
        let let_go_ms = self.limits.let_go_ms();
        self.records.retain(|_, record| {
            record.heard_ms + let_go_ms > now_ms || record.held.is_empty()
        });
    }

    /// Returns how many other nodes want slots and were heard recently.
    fn waiting_elsewhere(&self, node: &str, now_ms: u64) -> u32 {
        let recent = |r: &Record| r.heard_ms + WAITING_MS > now_ms;
        let waiting = self
            .records
            .iter()
            .filter(|(name, r)| *name != node && r.want > 0 && recent(r))
            .count();
        u32::try_from(waiting).unwrap_or(u32::MAX)
    }

    fn grant(&mut self, node: &str, want: u32, now_ms: u64) -> Vec<Count> {
        let mut free = self.free();
        let total: u32 = free.iter().map(|(_, slots)| slots).sum();
        let sharers = self.waiting_elsewhere(node, now_ms) + 1;
        let mut left = want.min(total.div_ceil(sharers));
        let mut granted: BTreeMap<String, u32> = BTreeMap::new();
        while left > 0 {
            // The runner with the most free slots has the least to do.
            let Some(most) = free.iter_mut().max_by_key(|(_, slots)| *slots)
            else {
                break;
            };
            if most.1 == 0 {
                break;
            }
            most.1 -= 1;
            left -= 1;
            *granted.entry(most.0.clone()).or_default() += 1;
        }
        if let Some(record) = self.records.get_mut(node) {
            for (runner, slots) in &granted {
                *record.held.entry(runner.clone()).or_default() += slots;
            }
            record.want = want - granted.values().sum::<u32>();
        }
        granted
            .into_iter()
            .map(|(runner, slots)| Count { runner, slots })
            .collect()
    }

    fn free(&self) -> Vec<(String, u32)> {
        self.runners
            .iter()
            .map(|(runner, slots)| {
                (runner.clone(), slots.saturating_sub(self.out(runner)))
            })
            .collect()
    }
}

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
    sequence: u64,
    sent_ms: u64,
    expires_ms: u64,
    want: u32,
    pressure: bool,
    revoked: BTreeSet<String>,
    tokens: BTreeMap<String, Token>,
}

impl Holder {
    /// Makes a holder of nothing.
    pub fn new(limits: Limits) -> Holder {
        Holder {
            limits,
            sequence: 0,
            sent_ms: 0,
            expires_ms: 0,
            want: 0,
            pressure: false,
            revoked: BTreeSet::new(),
            tokens: BTreeMap::new(),
        }
    }

    /// Makes a holder whose sequence numbers start after `sequence`, which
    /// must grow with each start of the process.
    pub fn with_sequence(limits: Limits, sequence: u64) -> Holder {
        Holder { sequence, ..Holder::new(limits) }
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

    /// Returns how many requests are in flight.
    pub fn total_in_use(&self) -> u32 {
        self.tokens.values().map(|token| token.in_use).sum()
    }

    /// Takes a slot for one request, on the runner with the most to spare.
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
        Sync { sequence: self.sequence, held, want: self.want }
    }

    /// Takes in the granter's answer to the last sync.
    pub fn answered(&mut self, reply: &Reply, now_ms: u64) {
        if reply.sequence != self.sequence || !reply.accepted {
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

    /// Returns how long the grants still last, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.expires_ms.saturating_sub(now_ms)
    }
}
