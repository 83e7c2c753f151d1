/*!
Maintenance waves: every VM of a pool drained and rebooted once.

A wave has no memory of its own. What it has done stands in the VMs' rows and
in the pool's ledger, so any node can compute its next [`Step`]s from the
same documents, and a node that dies leaves nothing behind but intents that
the next one finishes.

For each VM the order is fixed: take it in the pool's ledger, drain it in its
hall's document, wait until no node has a request in flight on it, intend the
reboot at a new epoch, reboot, and release it once it serves again. A VM is
only taken when every budget of the pool holds without it.

# Example

```
use dewspar::{
    config::{Change, Resource, Snapshot},
    fleet::{Hall, Listing},
    pool::PoolState,
    wave::{self, Step},
};

let desired = Resource::all_from_yaml("
kind: Pool
name: registry
spec: {vms: [vm-1, vm-2]}
---
kind: MaintenanceWave
name: winter
spec: {pool: registry}
")?;
let changes: Vec<Change> = desired.into_iter().map(Change::put).collect();
let snapshot = Snapshot::default().apply(&changes)?;
let mut hall = Hall::default();
for vm in ["vm-1", "vm-2"] {
    hall.apply_listing(&Listing::new(vm, "hall-1", "rack-1", "127.0.0.1:1"));
    hall.assign(vm, Some("registry"), 0)?;
}
let rows: Vec<_> = hall.rows().collect();
let steps =
    wave::steps(&snapshot, "winter", &PoolState::default(), &rows);
assert_eq!(steps, [Step::Take { vm: "vm-1".to_owned() }]);
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::{
        budget::{self, Shortage, Verdict},
        config::{Kind, MaintenanceWaveSpec, Snapshot, Spec},
        fleet::{Row, VmState},
        pool::{PoolState, Reason},
    },
    std::collections::BTreeMap,
};

/// What to do next for a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Enter the VM into the pool's ledger.
    Take {
        /// The VM's name.
        vm: String,
    },
    /// Let the VM drain: it is in the ledger.
    Drain {
        /// The VM's name.
        vm: String,
    },
    /// Intend the reboot as soon as nothing is in flight on the VM.
    RebootWhenDrained {
        /// The VM's name.
        vm: String,
    },
    /// Ask the worker for the intended reboot, and whether it is done.
    Reboot {
        /// The VM's name.
        vm: String,
    },
    /// Take the VM out of the ledger: it serves again.
    Release {
        /// The VM's name.
        vm: String,
    },
    /// Nothing more is taken until this budget allows it.
    Blocked {
        /// The budget in the way.
        shortage: Shortage,
    },
    /// Every VM has been maintained and released.
    Complete,
}

/// A wave as operators read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The state in the chart `wave`.
    pub state: &'static str,
    /// How many VMs have been maintained.
    pub done: usize,
    /// How many VMs are out for the wave now.
    pub out: usize,
    /// How many VMs the pool has.
    pub total: usize,
    /// What stands in the way, if anything.
    pub blocked_by: Option<String>,
}

/// Returns the next steps of the wave, at most one for each VM.
pub fn steps(
    snapshot: &Snapshot,
    wave: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
) -> Vec<Step> {
    let Some(spec) = wave_spec(snapshot, wave) else {
        return Vec::new();
    };
    if state.wave_done(wave) {
        return Vec::new();
    }
    let vms = by_rack(&spec.pool, rows);
    let mut steps: Vec<Step> = vms
        .iter()
        .filter_map(|(vm, row)| next_step_for(wave, state, vm, row))
        .collect();
    let out = count_out(wave, state);
    // One that failed meanwhile remains too, until it is back or has left
    // the pool.
    let remaining: Vec<&(&str, &Row)> =
        vms.iter().filter(|(_, row)| row.maintained() != Some(wave)).collect();
    if remaining.is_empty() && out == 0 {
        steps.push(Step::Complete);
    } else if !spec.paused && out < spec.max_parallel as usize {
        steps.extend(next_take(snapshot, &spec.pool, state, rows, &remaining));
    }
    steps
}

/// Returns how far the wave has come.
pub fn progress(
    snapshot: &Snapshot,
    wave: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
) -> Option<Progress> {
    let spec = wave_spec(snapshot, wave)?;
    let vms = by_rack(&spec.pool, rows);
    let done =
        vms.iter().filter(|(_, row)| row.maintained() == Some(wave)).count();
    let steps = steps(snapshot, wave, state, rows);
    let blocked_by = steps.iter().find_map(|step| match step {
        Step::Blocked { shortage } => Some(shortage.to_string()),
        _ => None,
    });
    let name = if state.wave_done(wave) {
        "done"
    } else if spec.paused {
        "paused"
    } else if blocked_by.is_some() {
        "blocked"
    } else {
        "running"
    };
    let out = count_out(wave, state);
    Some(Progress { state: name, done, out, total: vms.len(), blocked_by })
}

fn wave_spec<'a>(
    snapshot: &'a Snapshot,
    wave: &str,
) -> Option<&'a MaintenanceWaveSpec> {
    match snapshot.get(Kind::MaintenanceWave, wave)?.spec() {
        Spec::MaintenanceWave(spec) => Some(spec),
        _ => None,
    }
}

fn count_out(wave: &str, state: &PoolState) -> usize {
    let by_wave = |reason: &Reason| *reason == Reason::Wave(wave.to_owned());
    state.taken().filter(|(_, taken)| by_wave(taken.reason())).count()
}

/// Orders the pool's VMs rack by rack.
///
/// VMs of one rack share a fate anyway: while the wave is in a rack, the
/// worst single rack to lose is often that same one.
fn by_rack<'a>(
    pool: &str,
    rows: &[(&'a str, &'a Row)],
) -> Vec<(&'a str, &'a Row)> {
    let mut racks: BTreeMap<(&str, &str), Vec<(&str, &Row)>> = BTreeMap::new();
    for &(vm, row) in rows {
        if row.pool() == Some(pool) {
            let rack = (row.hall(), row.rack());
            racks.entry(rack).or_default().push((vm, row));
        }
    }
    racks.into_values().flatten().collect()
}

/// Returns the next step of a VM that the wave has taken.
fn next_step_for(
    wave: &str,
    state: &PoolState,
    vm: &str,
    row: &Row,
) -> Option<Step> {
    let taken = state.taken().find(|(name, _)| *name == vm);
    let by_wave = taken.is_some_and(|(_, taken)| {
        *taken.reason() == Reason::Wave(wave.to_owned())
    });
    if !by_wave {
        return None;
    }
    let vm = vm.to_owned();
    let maintained = row.maintained() == Some(wave);
    match row.state() {
        VmState::Serving if maintained => Some(Step::Release { vm }),
        VmState::Serving => Some(Step::Drain { vm }),
        VmState::Draining => Some(Step::RebootWhenDrained { vm }),
        VmState::Rebooting => Some(Step::Reboot { vm }),
        VmState::Lost | VmState::Free => None,
    }
}

fn next_take(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    remaining: &[&(&str, &Row)],
) -> Option<Step> {
    let mut shortage = None;
    for (vm, row) in remaining {
        if row.state() != VmState::Serving {
            continue;
        }
        match budget::may_take(snapshot, pool, state, rows, vm) {
            Verdict::Yes => {
                return Some(Step::Take { vm: (*vm).to_owned() });
            }
            Verdict::No(found) => shortage = shortage.or(Some(found)),
            Verdict::AlreadyTaken => {}
        }
    }
    shortage.map(|shortage| Step::Blocked { shortage })
}
