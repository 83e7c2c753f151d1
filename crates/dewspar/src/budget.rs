/*!
Availability budgets: whether one more VM may be taken out of service.

A budget names a pool and the minimum number of its VMs, or of the runners of
one service in it, that must be available at any time. A failed VM counts
against the budget like one taken by a maintenance wave, so a wave waits after
a failure. With `survive_rack`, the budget must also hold if any single rack
were lost in addition.

The verdict is computed from the pool's single document, and is applied by a
compare-and-swap of that document. Two nodes that race for the last unit
therefore conflict, and the loser computes the verdict again.

# Example

```
use dewspar::{
    budget::{self, Verdict},
    config::{Resource, Snapshot, Change},
    fleet::{Hall, Listing},
    pool::{PoolState, Reason},
};

let desired = Resource::all_from_yaml("
kind: Pool
name: registry
spec: {vms: [vm-1, vm-2, vm-3]}
---
kind: AvailabilityBudget
name: keep-two
spec: {pool: registry, min_available: 2}
")?;
let changes: Vec<Change> = desired.into_iter().map(Change::put).collect();
let snapshot = Snapshot::default().apply(&changes)?;
let mut hall = Hall::default();
for vm in ["vm-1", "vm-2", "vm-3"] {
    hall.apply_listing(&Listing::new(vm, "hall-1", "rack-1", "127.0.0.1:1"));
    hall.assign(vm, Some("registry"), 0)?;
}
let rows: Vec<_> = hall.rows().collect();
let mut state = PoolState::default();
let may = |state: &PoolState, vm| {
    budget::may_take(&snapshot, "registry", state, &rows, vm)
};
assert_eq!(may(&state, "vm-1"), Verdict::Yes);
state.take("vm-1", Reason::Failure, 0);
assert!(matches!(may(&state, "vm-2"), Verdict::No(_)));
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::{
        config::{AvailabilityBudgetSpec, Snapshot},
        fleet::{Row, VmState},
        pool::{PoolState, TaskState},
    },
    std::{collections::BTreeSet, fmt},
};

/// The verdict on taking a VM or stopping a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Every budget still holds.
    Yes,
    /// The VM is already out of service.
    AlreadyTaken,
    /// This budget would be violated.
    No(Shortage),
}

/// A budget that is or would be violated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortage {
    budget: String,
    needed: u32,
    left: u32,
    lost_rack: Option<String>,
}

impl Shortage {
    /// Returns the budget's name.
    pub fn budget(&self) -> &str {
        &self.budget
    }

    /// Returns the number of VMs or runners that must be available.
    pub fn needed(&self) -> u32 {
        self.needed
    }

    /// Returns the number of VMs or runners that would be left.
    pub fn left(&self) -> u32 {
        self.left
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "budget `{}` needs {} available and would have {}",
            self.budget, self.needed, self.left,
        )?;
        match &self.lost_rack {
            Some(rack) => write!(f, " if rack `{rack}` were lost"),
            None => Ok(()),
        }
    }
}

/// Returns whether `vm` may be taken out of service in the pool.
///
/// `rows` are the rows of the pool's VMs; rows of other VMs are ignored.
pub fn may_take(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    vm: &str,
) -> Verdict {
    if state.is_taken(vm) {
        return Verdict::AlreadyTaken;
    }
    let out = BTreeSet::from([vm]);
    match first_shortage(snapshot, pool, state, rows, &out) {
        Some(shortage) => Verdict::No(shortage),
        None => Verdict::Yes,
    }
}

/// Returns whether a running task may be interrupted, for example for a move.
pub fn may_stop(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    task: &str,
) -> Verdict {
    let mut without = state.clone();
    without.remove(task);
    match first_violation(snapshot, pool, &without, rows) {
        Some(shortage) => Verdict::No(shortage),
        None => Verdict::Yes,
    }
}

/// Returns the first budget of the pool that is violated in the current state.
pub fn first_violation(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
) -> Option<Shortage> {
    snapshot.budgets().filter(|(_, spec)| spec.pool == pool).find_map(
        |(name, spec)| {
            let left = available(spec, state, rows, &BTreeSet::new(), None);
            shortage(name, spec, left, None)
        },
    )
}

fn first_shortage(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    out: &BTreeSet<&str>,
) -> Option<Shortage> {
    let racks: BTreeSet<&str> =
        rows.iter().map(|(_, row)| row.rack()).collect();
    for (name, spec) in snapshot.budgets() {
        if spec.pool != pool {
            continue;
        }
        let left = available(spec, state, rows, out, None);
        if let Some(shortage) = shortage(name, spec, left, None) {
            return Some(shortage);
        }
        if !spec.survive_rack {
            continue;
        }
        for rack in &racks {
            let left = available(spec, state, rows, out, Some(rack));
            if let Some(found) = shortage(name, spec, left, Some(rack)) {
                return Some(found);
            }
        }
    }
    None
}

fn shortage(
    name: &str,
    spec: &AvailabilityBudgetSpec,
    left: u32,
    rack: Option<&str>,
) -> Option<Shortage> {
    (left < spec.min_available).then(|| Shortage {
        budget: name.to_owned(),
        needed: spec.min_available,
        left,
        lost_rack: rack.map(str::to_owned),
    })
}

/// Returns the number of available VMs or runners, without those on the VMs in
/// `out` and in `lost_rack`.
fn available(
    spec: &AvailabilityBudgetSpec,
    state: &PoolState,
    rows: &[(&str, &Row)],
    out: &BTreeSet<&str>,
    lost_rack: Option<&str>,
) -> u32 {
    let up: BTreeSet<&str> = rows
        .iter()
        .filter(|(name, row)| {
            row.pool() == Some(spec.pool.as_str())
                && row.state() == VmState::Serving
                && !state.is_taken(name)
                && !out.contains(name)
                && lost_rack != Some(row.rack())
        })
        .map(|(name, _)| *name)
        .collect();
    let count = match &spec.service {
        None => up.len(),
        Some(service) => state
            .tasks()
            .filter(|(_, task)| {
                task.owner() == service
                    && task.state() == TaskState::Running
                    && up.contains(task.vm())
            })
            .count(),
    };
    u32::try_from(count).unwrap_or(u32::MAX)
}
