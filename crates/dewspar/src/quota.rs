/*!
What counts against each team's quota, and whether one more task may start.

A quota limits what a team's tasks use at the same time over all workers. What
really runs can't be known: an order without an answer may be carried out
seconds later, a run that was told to stop may still be active, and a worker
that can't be reached may run what a former lease holder started there. A
[`QuotaLedger`] therefore counts everything that *may* run, in three groups:

| group | counts |
|---|---|
| [`Charge::Running`] | runs that were ordered or are known to exist |
| [`Charge::Stopping`] | runs that were told to stop and whose end isn't known |
| [`Charge::InDoubt`] | what may run without being known here |

A start is admitted if it keeps all of that within the quota. A team that uses
less than half of its quota may start one more task in any case: a large task
would otherwise wait for a long one of its own team, or never start if it asks
for more than the whole quota. So a team may exceed its quota by one task. A
gang starts as a whole or not at all, and has no such exception. A quota that falls below what counts stops no run;
the team starts nothing until enough of it has ended.

The ledger holds no history: its owner clears it and charges everything again
whenever it wants to admit starts. There is no running total that could drift.

# Example

```
use dewspar::{
    quota::{Admission, Charge, QuotaLedger},
    schedule::Resources,
    team::Team,
};

let cores = |cores: u64| Resources {
    cpu_millis: cores * 1_000,
    ..Resources::default()
};
let notaries =
    Team { name: "notaries".to_owned(), quota: cores(8), ..Team::default() };
let mut ledger = QuotaLedger::default();
let team = ledger.configure(&notaries);

ledger.charge(team, Charge::Running, &cores(4));
ledger.charge(team, Charge::InDoubt, &cores(2));
assert_eq!(ledger.admit(team, &cores(2)), Admission::Admitted);
assert_eq!(ledger.admit(team, &cores(3)), Admission::Exceeded);

// A team under half of its quota may start one large task.
ledger.clear();
ledger.charge(team, Charge::Running, &cores(3));
assert_eq!(ledger.admit(team, &cores(9)), Admission::Admitted);
assert_eq!(ledger.admit_gang(team, &cores(9)), Admission::Exceeded);
```
*/

use {
    crate::{schedule::Resources, team::Team},
    std::collections::BTreeMap,
};

/// The number of a team in a ledger, which is cheaper to compare than its
/// name.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TeamNumber(usize);

/// Why something counts against a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Charge {
    /// A run that was ordered or is known to exist.
    Running,
    /// A run that was told to stop and whose end isn't known.
    Stopping,
    /// Something that may run without being known here.
    InDoubt,
}

/// Whether a start stays within a quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It does.
    Admitted,
    /// It doesn't.
    Exceeded,
    /// It does, but must wait until the store has a higher ceiling for the
    /// team.
    AwaitsCeiling,
}

/// What counts against the quota of one team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// By runs that were ordered or are known to exist.
    pub running: Resources,
    /// By runs that were told to stop and whose ends aren't known.
    pub stopping: Resources,
    /// By what may run without being known.
    pub in_doubt: Resources,
}

impl Usage {
    /// Returns the sum.
    pub fn total(&self) -> Resources {
        self.running.plus(&self.stopping).plus(&self.in_doubt)
    }
}

/// What counts against the quotas of all teams.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: Vec<Account>,
    numbers: BTreeMap<String, TeamNumber>,
}

#[derive(Clone, Debug)]
struct Account {
    team: Team,
    /// Whether more than the team's name is known.
    is_known: bool,
    usage: Usage,
}

impl QuotaLedger {
    /// Applies a team of the current configuration.
    pub fn configure(&mut self, team: &Team) -> TeamNumber {
        let number = self.number_for(team);
        let account = &mut self.accounts[number.0];
        account.team.clone_from(team);
        account.is_known = true;
        number
    }

    /// Returns the number of a team that a job refers to. The team's quota is
    /// used only if the ledger doesn't know the team.
    pub fn number_for(&mut self, team: &Team) -> TeamNumber {
        let number = self.number_named(&team.name);
        let account = &mut self.accounts[number.0];
        if !account.is_known {
            account.team.clone_from(team);
            account.is_known = true;
        }
        number
    }

    /// Returns the number of a team of which only the name is known yet.
    pub fn number_named(&mut self, name: &str) -> TeamNumber {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = TeamNumber(self.accounts.len());
        let team = Team { name: name.to_owned(), ..Team::default() };
        let usage = Usage::default();
        self.accounts.push(Account { team, is_known: false, usage });
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Forgets all charges; the teams stay.
    pub fn clear(&mut self) {
        for account in &mut self.accounts {
            account.usage = Usage::default();
        }
    }

    /// Counts something against a team's quota.
    pub fn charge(
        &mut self,
        number: TeamNumber,
        charge: Charge,
        resources: &Resources,
    ) {
        let usage = &mut self.accounts[number.0].usage;
        match charge {
            Charge::Running => usage.running.add(resources),
            Charge::Stopping => usage.stopping.add(resources),
            Charge::InDoubt => usage.in_doubt.add(resources),
        }
    }

    /// Returns whether one task may start.
    pub fn admit(&self, number: TeamNumber, demand: &Resources) -> Admission {
        let Account { team, usage, .. } = &self.accounts[number.0];
        let used = usage.total();
        let limits = team.quota.as_limits();
        let is_under_half = |used: u64, limit: u64| used < limit.div_ceil(2);
        if is_under_half(used.cpu_millis, limits.cpu_millis)
            && is_under_half(used.memory_mb, limits.memory_mb)
            && is_under_half(used.gpus, limits.gpus)
        {
            return Admission::Admitted;
        }
        self.admit_gang(number, demand)
    }

    /// Returns whether tasks with this total demand may start together.
    pub fn admit_gang(
        &self,
        number: TeamNumber,
        demand: &Resources,
    ) -> Admission {
        let Account { team, usage, .. } = &self.accounts[number.0];
        let after = usage.total().plus(demand);
        if team.quota.as_limits().contains(&after) {
            Admission::Admitted
        } else {
            Admission::Exceeded
        }
    }

    /// Returns whether a team has a quota on any resource.
    pub fn is_limited(&self, number: TeamNumber) -> bool {
        self.accounts[number.0].team.quota != Resources::default()
    }

    /// Returns a team and what counts against its quota.
    pub fn account(&self, number: TeamNumber) -> (&Team, &Usage) {
        let Account { team, usage, .. } = &self.accounts[number.0];
        (team, usage)
    }

    /// Returns all teams with their numbers and what counts against their
    /// quotas.
    pub fn numbered_accounts(
        &self,
    ) -> impl Iterator<Item = (TeamNumber, &Team, &Usage)> {
        let accounts = self.accounts.iter().enumerate();
        accounts.map(|(number, Account { team, usage, .. })| {
            (TeamNumber(number), team, usage)
        })
    }

    /// Returns all teams with what counts against their quotas.
    pub fn accounts(&self) -> impl Iterator<Item = (&Team, &Usage)> {
        self.accounts.iter().map(|Account { team, usage, .. }| (team, usage))
    }
}
