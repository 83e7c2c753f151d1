/*!
Ceilings: a bound in the store on what each team uses.

After a takeover, workers that can't be reached may run whatever a former
holder has started there. The inherited tasks alone bound that badly: a team
with a long queue could be kept from starting anything until the leases of
these workers are over, though little of it runs. So the holder keeps each
team's use below a *ceiling* that is in the store before it counts. Whatever
else isn't known after a takeover, the team doesn't use more than that.

A ceiling is some eighths of the quota, and about a quarter of the quota above
what the team uses, so that it is rarely raised: a start that would exceed it
waits for one write. It is lowered again once it has been far too high for a
while. While the store is unavailable, the ceilings stay as they are.

# Example

```text
quota 80, used 10    ceiling 30
start of 25          waits until a ceiling of 60 is stored
takeover             at most 60 are used, whatever can't be asked;
                     the next holder may start 20 at once
```
*/

use {
    crate::{
        quota::TeamNumber,
        schedule::{Now, Resources, Scheduler},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The parts of a quota that ceilings are multiples of.
const PARTS: u64 = 8;

/// How far a new ceiling is above what a team uses, in such parts. A team under
/// half of its quota then has room for more after a takeover.
const SPARE_PARTS: u64 = 2;

/// How far it is above that when it is raised, in such parts.
const RAISE_PARTS: u64 = 1;

/// How far it is above that when it is lowered, in such parts.
const LOWER_PARTS: u64 = 4;

/// How long a ceiling stays before it is lowered, in milliseconds.
const LOWER_AFTER_MS: u64 = 2_000;

/// The interval between checks of the ceilings while no start waits for one,
/// in milliseconds: much less than a team's use takes to grow by an eighth of
/// its quota.
const CHECK_INTERVAL_MS: u64 = 50;

/// The most that each team uses, by the team's name. A resource of which it
/// has 0 isn't limited.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct UseCeilings(BTreeMap<String, Resources>);

/// The ceilings of the teams with quotas.
#[derive(Debug, Default)]
pub(super) struct Ceilings {
    /// What is in the store.
    stored: BTreeMap<TeamNumber, Resources>,
    /// What is being written; both bound what may start until then.
    writing: Option<BTreeMap<TeamNumber, Resources>>,
    /// What the former holder was bound to.
    inherited: BTreeMap<TeamNumber, Resources>,
    /// The largest demand of each team's starts that the last pass put off.
    put_off: BTreeMap<TeamNumber, Resources>,
    /// When the ceilings were last checked.
    checked_ms: u64,
    /// When each ceiling was last needed.
    needed_ms: BTreeMap<TeamNumber, u64>,
}

impl Ceilings {
    /// Returns whether a team may use this much.
    pub(super) fn allow(&self, team: TeamNumber, used: &Resources) -> bool {
        let within = |ceilings: &BTreeMap<TeamNumber, Resources>| {
            let ceiling = ceilings.get(&team);
            ceiling.is_some_and(|most| most.as_limits().contains(used))
        };
        within(&self.stored) && self.writing.as_ref().is_none_or(within)
    }

    /// Forgets which starts were put off, before another pass.
    pub(super) fn begin_pass(&mut self) {
        self.put_off.clear();
    }

    /// Notes that a start with this demand waits for a higher ceiling.
    pub(super) fn put_off(&mut self, team: TeamNumber, demand: &Resources) {
        let largest = self.put_off.entry(team).or_default();
        *largest = largest.component_max(demand);
    }

    /// Returns what a former holder can have used at most; `None` if that
    /// isn't on record.
    pub(super) fn inherited(&self, team: TeamNumber) -> Option<Resources> {
        self.inherited.get(&team).map(Resources::as_limits)
    }
}

impl Scheduler {
    /// Applies the ceilings that a former holder stored. Call it before jobs
    /// are loaded.
    pub fn load_use_ceilings(&mut self, ceilings: UseCeilings) {
        for (name, ceiling) in ceilings.0 {
            let team = self.quotas.ledger.number_named(&name);
            self.quotas.ceilings.inherited.insert(team, ceiling);
            self.quotas.ceilings.stored.insert(team, ceiling);
        }
    }

    /// Begins a write of ceilings; returns `None` if those in the store need
    /// no change, or if a write is in progress.
    ///
    /// Call [`Scheduler::use_ceilings_written`] with the outcome.
    pub fn begin_ceilings_write(&mut self, now: Now) -> Option<UseCeilings> {
        let ceilings = &mut self.quotas.ceilings;
        let due_ms = ceilings.checked_ms + CHECK_INTERVAL_MS;
        let is_due = !ceilings.put_off.is_empty() || now.steady_ms >= due_ms;
        if ceilings.writing.is_some() || !is_due {
            return None;
        }
        ceilings.checked_ms = now.steady_ms;
        if self.is_loading() {
            return None;
        }
        let wanted = self.wanted_ceilings(now);
        if wanted == self.quotas.ceilings.stored {
            return None;
        }
        let ledger = &self.quotas.ledger;
        let named = wanted.iter().map(|(team, ceiling)| {
            (ledger.account(*team).0.name.clone(), *ceiling)
        });
        let record = UseCeilings(named.collect());
        self.quotas.ceilings.writing = Some(wanted);
        Some(record)
    }

    /// Ends the write of ceilings. One whose outcome is unknown counts as not
    /// stored.
    pub fn use_ceilings_written(&mut self, is_stored: bool) {
        let ceilings = &mut self.quotas.ceilings;
        let Some(written) = ceilings.writing.take() else { return };
        if is_stored {
            ceilings.stored = written;
            return;
        }
        // It may be in the store nevertheless, so a lower one counts.
        for (team, ceiling) in written {
            if let Some(stored) = ceilings.stored.get_mut(&team) {
                *stored = lower_of(stored, &ceiling);
            }
        }
    }

    fn wanted_ceilings(
        &mut self,
        now: Now,
    ) -> BTreeMap<TeamNumber, Resources> {
        let Ceilings { stored, put_off, needed_ms, .. } =
            &mut self.quotas.ceilings;
        let mut wanted = stored.clone();
        for (number, team, usage) in self.quotas.ledger.numbered_accounts() {
            if team.quota == Resources::default() {
                continue;
            }
            let needed = put_off.get(&number).copied().unwrap_or_default();
            let needed = usage.total().plus(&needed);
            let known = stored.get(&number);
            let since_ms = needed_ms.entry(number).or_insert(now.steady_ms);
            match change_of(known, &team.quota, &needed) {
                Change::Keep => *since_ms = now.steady_ms,
                Change::Lower(_)
                    if now.steady_ms < *since_ms + LOWER_AFTER_MS => {}
                Change::Raise(ceiling) | Change::Lower(ceiling) => {
                    *since_ms = now.steady_ms;
                    wanted.insert(number, ceiling);
                }
            }
        }
        wanted
    }
}

/// How a ceiling should change.
enum Change {
    Keep,
    Raise(Resources),
    /// Once it has been too high for a while.
    Lower(Resources),
}

/// Returns how a ceiling should change if this much is needed.
fn change_of(
    known: Option<&Resources>,
    quota: &Resources,
    needed: &Resources,
) -> Change {
    let with_spare = |parts: u64| {
        let spare = quota.times(parts).divided_by(PARTS);
        needed.plus(&spare).component_min(&quota.component_max(needed))
    };
    let next = ceiling_for(quota, &with_spare(SPARE_PARTS));
    let Some(known) = known else { return Change::Raise(next) };
    if !known.as_limits().contains(&with_spare(RAISE_PARTS)) {
        return Change::Raise(known.component_max(&next));
    }
    let is_high = limited(quota, known).contains(&with_spare(LOWER_PARTS));
    if is_high && *known != next { Change::Lower(next) } else { Change::Keep }
}

/// Returns the lowest ceiling that allows this much; more than the quota only
/// if more is used.
fn ceiling_for(quota: &Resources, used: &Resources) -> Resources {
    let parts = |parts: u64| quota.times(parts).divided_by(PARTS);
    let mut ceilings = (1..=PARTS).map(parts);
    let lowest = ceilings.find(|most| most.as_limits().contains(used));
    lowest.unwrap_or_else(|| limited(quota, &quota.component_max(used)))
}

/// Returns the amounts of the resources that the quota limits.
fn limited(quota: &Resources, amounts: &Resources) -> Resources {
    let limited =
        |quota: u64, amount: u64| if quota == 0 { 0 } else { amount };
    Resources {
        cpu_millis: limited(quota.cpu_millis, amounts.cpu_millis),
        memory_mb: limited(quota.memory_mb, amounts.memory_mb),
        gpus: limited(quota.gpus, amounts.gpus),
    }
}

/// Returns the lower limit of each resource, of which 0 is none.
fn lower_of(one: &Resources, other: &Resources) -> Resources {
    let lower = |one: u64, other: u64| match (one, other) {
        (0, limit) | (limit, 0) => limit,
        (one, other) => one.min(other),
    };
    Resources {
        cpu_millis: lower(one.cpu_millis, other.cpu_millis),
        memory_mb: lower(one.memory_mb, other.memory_mb),
        gpus: lower(one.gpus, other.gpus),
    }
}
