/*!
Conclusions about whole data halls from the calls to their workers.

A worker that doesn't answer may be slow, may have crashed, or its answer may
have been lost. When most workers of one hall miss an answer within a short
time, while workers of other halls answer, the common cause is the hall. That
is recognized from the first miss of each worker, so it takes less time than
the two misses after which a single worker counts as silent.

[`HallMonitor`] is told each outcome of a call, and concludes from the newest
outcome of each worker:

- A hall is *silent* while at least [`MIN_SILENT`] of its workers, at least
  [`SILENT_PERCENT`] of those that were asked recently and
  [`SILENT_OF_ALL_PERCENT`] of all missed their newest answer, no other has
  answered since, and a worker of another hall has.
- A hall of which [`MIN_DOUBT`] workers are silent and none has answered since
  is *doubted*: workers that nothing runs on are asked as well, since otherwise
  too few might be.
- A hall that is silent for [`CONFIRM_MS`] is cut off. If more halls are silent
  than may be lost at once, the node itself is cut off, and no hall is.
- A hall is lost once the VM service says that its VMs are down.
- A hall that is cut off or lost returns once two of its workers answer, or
  its only known one. It is reachable again after [`RETURN_MS`] without
  silence. This keeps single stray answers and misses from changing the state
  back and forth.

# Example

```
use dewspar::{
    hall::{HallMonitor, HallState},
    schedule::WorkerId,
};

let mut monitor = HallMonitor::new(1);
let worker = |name: &str| WorkerId::new(name);
for name in ["a-1", "a-2", "a-3"] {
    monitor.missed("hall-a", &worker(name), 1_000);
}
monitor.answered("hall-b", &worker("b-1"), 1_010);
assert!(monitor.evaluate(1_020).is_empty());
let changes = monitor.evaluate(1_120);
assert_eq!(changes[0].to, HallState::CutOff);
assert_eq!(monitor.state("hall-a"), HallState::CutOff);
assert_eq!(monitor.state("hall-b"), HallState::Reachable);
```
*/

use {
    super::{HallState, HallStatus},
    crate::schedule::WorkerId,
    std::collections::{BTreeMap, HashMap},
};

/// The minimum number of silent workers for a conclusion about their hall.
/// One or two may well crash at once by chance.
pub const MIN_SILENT: usize = 3;

/// The number of silent workers from which a hall is doubted.
pub const MIN_DOUBT: usize = 2;

/// The minimum time between doubts about a hall, in milliseconds.
const DOUBT_INTERVAL_MS: u64 = 1_000;

/// The share of the recently asked workers of a hall that must be silent, in
/// percent.
pub const SILENT_PERCENT: usize = 60;

/// The share of all workers of a hall that must be silent, in percent. If work
/// is on one rack only, its failure isn't that of the hall.
pub const SILENT_OF_ALL_PERCENT: usize = 20;

/// For how long a hall must be silent before it counts as cut off, in
/// milliseconds. If this node is cut off, the other halls fall silent within
/// this time of each other.
pub const CONFIRM_MS: u64 = 100;

/// For how long a returning hall must not be silent before it counts as
/// reachable, in milliseconds: the time within which its workers come back.
pub const RETURN_MS: u64 = 1_500;

/// How recent the newest call to a worker must be for the worker to count as
/// asked recently, in milliseconds: as long as a worker may wait before it
/// answers a hold of a busy node.
const RECENT_MS: u64 = 1_000;

/// For how long a report that a hall answers only over relays is valid, in
/// milliseconds.
const PATH_MS: u64 = 3_000;

/// The minimum time between evaluations, in milliseconds. Each examines every
/// worker.
const INTERVAL_MS: u64 = 20;

/// The number of workers that must answer for a hall to return.
const MIN_RETURNED: usize = 2;

/// How the answers of a hall's workers arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallPath {
    /// Directly.
    Direct,
    /// Over a relay in another hall.
    Relayed,
}

/// A change of a hall's state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HallChange {
    /// The hall.
    pub hall: String,
    /// The state before.
    pub from: HallState,
    /// The state now.
    pub to: HallState,
    /// What the state was concluded from.
    pub evidence: &'static str,
    /// For how long it was in the state before, in milliseconds.
    pub after_ms: u64,
    /// The number of workers that missed their newest answer.
    pub silent: usize,
    /// The number of workers that were asked recently.
    pub asked: usize,
}

/// The outcome of the newest calls to a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When the newest call ended.
    ended_ms: u64,
    /// When it answered last; `None` for never.
    answered_ms: Option<u64>,
    /// When the first call without an answer since then ended.
    missed_since_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Hall {
    state: HallState,
    since_ms: u64,
    evidence: &'static str,
    evidence_ms: u64,
    contacts: HashMap<WorkerId, Contact>,
    /// When any worker answered last; `None` for never.
    answered_ms: Option<u64>,
    /// Since when it is silent.
    silent_since_ms: Option<u64>,
    /// Since when its VMs are known to be down, until a worker answers.
    down_since_ms: Option<u64>,
    /// When it was last doubted; `None` for never.
    doubted_ms: Option<u64>,
    /// When it was last reported to answer only over relays.
    relayed_ms: Option<u64>,
}

/// Counts of a hall's workers.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    all: usize,
    asked: usize,
    silent: usize,
    /// The workers that have answered since the state began.
    returned: usize,
    /// The earliest of the current misses.
    first_miss_ms: u64,
    /// The latest of the workers' first misses.
    last_miss_ms: u64,
}

impl Tally {
    fn is_silent(&self) -> bool {
        self.silent >= MIN_SILENT
            && self.silent * 100 >= self.asked * SILENT_PERCENT
            && self.silent * 100 >= self.all * SILENT_OF_ALL_PERCENT
    }
}

impl Hall {
    fn tally(&self, now_ms: u64) -> Tally {
        let mut tally = Tally {
            all: self.contacts.len(),
            first_miss_ms: now_ms,
            ..Tally::default()
        };
        for contact in self.contacts.values() {
            let answered =
                contact.answered_ms.is_some_and(|at| at > self.since_ms);
            match contact.missed_since_ms {
                None if answered => tally.returned += 1,
                _ => {}
            }
            if now_ms > contact.ended_ms + RECENT_MS {
                continue;
            }
            tally.asked += 1;
            if let Some(since_ms) = contact.missed_since_ms {
                tally.silent += 1;
                tally.first_miss_ms = tally.first_miss_ms.min(since_ms);
                tally.last_miss_ms = tally.last_miss_ms.max(since_ms);
            }
        }
        tally
    }

    fn has_answer_since(&self, from_ms: u64) -> bool {
        self.answered_ms.is_some_and(|at_ms| at_ms >= from_ms)
    }

    /// Returns the state that the tally leads to, with the evidence.
    fn next_state(
        &self,
        tally: &Tally,
        may_be_cut: bool,
        now_ms: u64,
    ) -> (HallState, &'static str) {
        let stays = (self.state, self.evidence);
        let enough = MIN_RETURNED.min(self.contacts.len()).max(1);
        let has_returned = tally.returned >= enough;
        if !self.state.takes_tasks() {
            if has_returned && !tally.is_silent() {
                return (HallState::Returning, "its workers answer");
            }
            if self.down_since_ms.is_some() {
                return (HallState::Lost, "the VM service says it is down");
            }
            return stays;
        }
        if self.down_since_ms.is_some() {
            return (HallState::Lost, "the VM service says it is down");
        }
        let confirmed = self
            .silent_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + CONFIRM_MS);
        if confirmed && may_be_cut {
            return (HallState::CutOff, "most of its workers are silent");
        }
        let returns = self.state == HallState::Returning
            && now_ms < self.since_ms + RETURN_MS;
        if returns {
            return stays;
        }
        let relayed =
            self.relayed_ms.is_some_and(|at_ms| now_ms < at_ms + PATH_MS);
        match (relayed, self.state) {
            (true, HallState::Indirect) | (false, HallState::Reachable) => {
                stays
            }
            (true, _) => (HallState::Indirect, "it answers over relays"),
            (false, _) => (HallState::Reachable, "its workers answer"),
        }
    }
}

/// What a node concludes about data halls.
#[derive(Debug)]
pub struct HallMonitor {
    /// How many halls may be lost at once; 0 turns the monitor off.
    tolerated: usize,
    halls: BTreeMap<String, Hall>,
    /// Whether the state of any hall may change.
    is_due: bool,
    evaluated_ms: u64,
    /// When a hall was last cut off or lost, or returned from that; `None` for
    /// never.
    last_down_ms: Option<u64>,
    /// The halls that are doubted since they were last taken.
    doubted: Vec<String>,
}

impl HallMonitor {
    /// Returns a monitor for which all halls are reachable, where this many
    /// may be lost at once. With 0, all halls remain reachable.
    pub fn new(tolerated: usize) -> HallMonitor {
        HallMonitor {
            tolerated,
            halls: BTreeMap::new(),
            is_due: false,
            evaluated_ms: 0,
            last_down_ms: None,
            doubted: Vec::new(),
        }
    }

    /// Returns whether the monitor concludes anything.
    pub fn is_enabled(&self) -> bool {
        self.tolerated > 0
    }

    fn hall(&mut self, hall: &str) -> Option<&mut Hall> {
        if self.tolerated == 0 || hall.is_empty() {
            return None;
        }
        if !self.halls.contains_key(hall) {
            self.halls.insert(hall.to_owned(), Hall::default());
        }
        self.halls.get_mut(hall)
    }

    /// Records that a worker answered at this time, in milliseconds.
    pub fn answered(&mut self, hall: &str, worker: &WorkerId, now_ms: u64) {
        let Some(hall) = self.hall(hall) else { return };
        hall.evidence_ms = now_ms;
        hall.answered_ms = Some(now_ms);
        hall.down_since_ms = None;
        let contact = Contact {
            ended_ms: now_ms,
            answered_ms: Some(now_ms),
            missed_since_ms: None,
        };
        match hall.contacts.get_mut(worker) {
            Some(known) => *known = contact,
            None => {
                hall.contacts.insert(worker.clone(), contact);
            }
        }
    }

    /// Records that a call to a worker ended without an answer at this time,
    /// in milliseconds.
    pub fn missed(&mut self, hall: &str, worker: &WorkerId, now_ms: u64) {
        let Some(hall) = self.hall(hall) else { return };
        hall.evidence_ms = now_ms;
        let contact = hall.contacts.entry(worker.clone()).or_default();
        contact.ended_ms = now_ms;
        contact.missed_since_ms.get_or_insert(now_ms);
        self.is_due = true;
    }

    /// Records that a worker has ended and is no longer asked.
    pub fn ended(&mut self, hall: &str, worker: &WorkerId) {
        if let Some(hall) = self.halls.get_mut(hall) {
            hall.contacts.remove(worker);
        }
    }

    /// Records that a list of VMs, requested at `asked_ms`, shows a hall's VMs
    /// as down. It is ignored if a worker has answered since.
    pub fn vms_down(&mut self, hall: &str, asked_ms: u64, now_ms: u64) {
        let Some(hall) = self.hall(hall) else { return };
        if hall.has_answer_since(asked_ms) {
            return;
        }
        hall.evidence_ms = now_ms;
        hall.down_since_ms.get_or_insert(now_ms);
        self.is_due = true;
        // The losses that follow belong to the hall.
        self.evaluated_ms = 0;
    }

    /// Records how answers of a hall's workers arrive. A report of relayed
    /// answers has to be repeated while they are relayed.
    pub fn note_path(&mut self, hall: &str, path: HallPath, now_ms: u64) {
        let Some(hall) = self.hall(hall) else { return };
        hall.relayed_ms = match path {
            HallPath::Direct => None,
            HallPath::Relayed => Some(now_ms),
        };
        self.is_due = true;
    }

    /// Concludes the states as of this time, in milliseconds, and returns
    /// those that have changed.
    pub fn evaluate(&mut self, now_ms: u64) -> Vec<HallChange> {
        if !self.is_due || now_ms < self.evaluated_ms + INTERVAL_MS {
            return Vec::new();
        }
        self.evaluated_ms = now_ms;
        let tallies: Vec<Tally> =
            self.halls.values().map(|hall| hall.tally(now_ms)).collect();
        let silent: Vec<bool> = tallies
            .iter()
            .zip(&self.halls)
            .map(|(tally, (name, hall))| {
                tally.is_silent()
                    && !hall.has_answer_since(tally.last_miss_ms + 1)
                    && self.others_answer(name, tally.first_miss_ms)
            })
            .collect();
        for (hall, is_silent) in self.halls.values_mut().zip(&silent) {
            if *is_silent {
                hall.silent_since_ms.get_or_insert(now_ms);
            } else {
                hall.silent_since_ms = None;
            }
        }
        let down =
            self.halls.values().zip(&silent).filter(|(hall, silent)| {
                **silent || !hall.state.takes_tasks()
            });
        let may_be_cut = down.count() <= self.tolerated;
        let mut changes = Vec::new();
        self.is_due = false;
        for ((name, hall), tally) in self.halls.iter_mut().zip(&tallies) {
            let (to, evidence) = hall.next_state(tally, may_be_cut, now_ms);
            let from = hall.state;
            if to != from {
                changes.push(HallChange {
                    hall: name.clone(),
                    from,
                    to,
                    evidence,
                    after_ms: now_ms.saturating_sub(hall.since_ms),
                    silent: tally.silent,
                    asked: tally.asked,
                });
                hall.state = to;
                hall.since_ms = now_ms;
                hall.evidence = evidence;
                hall.silent_since_ms = None;
                if !to.takes_tasks() || !from.takes_tasks() {
                    self.last_down_ms = Some(now_ms);
                }
            }
            let doubted = tally.silent >= MIN_DOUBT
                && !hall.has_answer_since(tally.last_miss_ms)
                && hall.state.takes_tasks()
                && hall
                    .doubted_ms
                    .is_none_or(|at_ms| now_ms >= at_ms + DOUBT_INTERVAL_MS);
            if doubted {
                hall.doubted_ms = Some(now_ms);
                self.doubted.push(name.clone());
            }
            let is_settled =
                hall.state == HallState::Reachable && tally.silent == 0;
            self.is_due |= !is_settled;
        }
        changes
    }

    /// Takes the halls that are doubted: their workers should be asked, and
    /// some of the other halls.
    pub fn take_doubted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.doubted)
    }

    /// Returns whether a worker of another hall has answered since this time.
    fn others_answer(&self, hall: &str, from_ms: u64) -> bool {
        let mut others = self.halls.iter().filter(|(name, _)| *name != hall);
        others.any(|(_, other)| other.has_answer_since(from_ms))
    }

    /// Returns the state of a hall.
    pub fn state(&self, hall: &str) -> HallState {
        self.halls.get(hall).map_or(HallState::Reachable, |hall| hall.state)
    }

    /// Returns whether a hall takes no tasks, because it is cut off or lost.
    pub fn is_down(&self, hall: &str) -> bool {
        self.tolerated > 0 && !self.state(hall).takes_tasks()
    }

    /// Returns whether any hall has been cut off or lost since this time.
    pub fn was_any_down_since(&self, from_ms: u64) -> bool {
        let is_down = |hall: &Hall| !hall.state.takes_tasks();
        self.last_down_ms.is_some_and(|at_ms| at_ms >= from_ms)
            || self.halls.values().any(is_down)
    }

    /// Returns the states of all halls of which a worker was asked.
    pub fn statuses(&self, now_ms: u64) -> Vec<HallStatus> {
        let status = |(name, hall): (&String, &Hall)| HallStatus {
            hall: name.clone(),
            state: hall.state,
            age_ms: now_ms.saturating_sub(hall.since_ms),
            evidence: match hall.evidence {
                "" => "nothing else is known",
                evidence => evidence,
            },
            evidence_age_ms: now_ms.saturating_sub(hall.evidence_ms),
        };
        self.halls.iter().map(status).collect()
    }
}
