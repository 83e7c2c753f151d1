/*!
Maintenance waves: rolling reboots that drain and reboot each VM of a pool
once.

A wave keeps no state of its own. Its progress is recorded in the VMs' rows
and in the pool's disruption ledger, so any node can compute the next
[`Step`]s from the same documents. A node that crashes leaves behind only
recorded intents, which another node completes.

The order of steps for each VM is fixed: take it in the pool's ledger, drain
it in its hall's document, wait until no node has a request in flight on it,
record the intent to reboot at a new epoch, reboot, and release it once it
serves again. A VM is taken only if every disruption budget of the pool holds
without it.

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

/// The next step of a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Record the VM as taken in the pool's disruption ledger.
    Take {
        /// The VM's name.
        vm: String,
    },
    /// Drain the VM, which is in the ledger.
    Drain {
        /// The VM's name.
        vm: String,
    },
    /// Record the intent to reboot once nothing is in flight on the VM.
    RebootWhenDrained {
        /// The VM's name.
        vm: String,
    },
    /// Request the intended reboot from the worker, or poll whether it is
    /// done.
    Reboot {
        /// The VM's name.
        vm: String,
    },
    /// Remove the VM, which serves again, from the ledger.
    Release {
        /// The VM's name.
        vm: String,
    },
    /// Take no more VMs until this budget allows it.
    Blocked {
        /// The budget that would be violated.
        shortage: Shortage,
    },
    /// Mark the wave as done: every VM is maintained and released.
    Complete,
}

/// The progress of a wave, as reported to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The state in the chart `wave`.
    pub state: &'static str,
    /// The number of VMs that have been maintained.
    pub done: usize,
    /// The number of VMs that the wave has taken out of service now.
    pub out: usize,
    /// The number of VMs in the pool.
    pub total: usize,
    /// The budget that blocks the wave, if any.
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
    // A VM that failed remains too, until it is back or has left the pool.
    let remaining: Vec<&(&str, &Row)> =
        vms.iter().filter(|(_, row)| row.maintained() != Some(wave)).collect();
    if remaining.is_empty() && out == 0 {
        steps.push(Step::Complete);
    } else if !spec.paused && out < spec.max_parallel as usize {
        steps.extend(next_take(snapshot, &spec.pool, state, rows, &remaining));
    }
    steps
}

/// Returns the progress of the wave, or `None` if there is no such wave.
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

/// Returns the pool's VMs, grouped by rack.
///
/// The VMs of a rack are one failure domain. While a wave works on a rack, the
/// rack whose loss would be worst is often the same one.
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

/// Returns the next step for a VM, if the wave has taken it.
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
