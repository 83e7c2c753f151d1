/*!
Placement: which VM runs which task.

The configuration sets the number of runners of a service and of tasks of a
job. [`plan`] compares it with the pool's document and returns only the
differences: a task whose VM can keep it isn't moved, because each move may
cost a signing. Declared sizes are far from the real use, so a task's size is
the peak use that its worker reported, plus a margin, as soon as there is a
report.

Among the VMs with enough room, the planner prefers the one with the fewest
siblings (tasks of the same owner), then the one whose rack has the fewest,
then the one whose data hall has the fewest. Thus the loss of a VM, rack or
hall stops as few runners of a service as possible. While a wave runs, VMs
that it has already maintained come first, so that a displaced task moves only
once.

A VM that a wave has taken keeps its tasks: the budgets hold without them, so
they wait for the VM's return and nothing moves. Tasks move when their VM is
lost or leaves the pool. This can put several runners of a service on one VM,
and a wave may then be unable to take that VM; [`spread`] moves one of them
away if the budgets allow it.

A task that is too large for every VM of the pool waits with a reason that says
so. It doesn't block other tasks.

# Example

```
use dewspar::{
    config::{Change, Resource, Snapshot},
    fleet::{Hall, Listing},
    place::{self, Step, Usage},
    pool::PoolState,
};

let desired = Resource::all_from_yaml("
kind: Team
name: notaries
spec: {partner: athens}
---
kind: Pool
name: registry
spec: {vms: [vm-1]}
---
kind: Job
name: ledger
spec: {team: notaries, pool: registry, cpu_millis: 64000}
")?;
let changes: Vec<Change> = desired.into_iter().map(Change::put).collect();
let snapshot = Snapshot::default().apply(&changes)?;
let mut hall = Hall::default();
hall.apply_listing(&Listing::new("vm-1", "hall-1", "rack-1", "127.0.0.1:1"));
hall.assign("vm-1", Some("registry"), 0)?;
let rows: Vec<_> = hall.rows().collect();

let state = PoolState::default();
let steps =
    place::plan(&snapshot, "registry", &state, &rows, &Usage::default());
let Step::Wait { why, .. } = &steps[0] else { panic!() };
assert_eq!(
    why,
    "can never run: needs 64000 cpu_millis and 1000 memory_mb, \
     and no VM of the pool is that large",
);
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::{
        budget,
        config::{Resource, Snapshot},
        fleet::{Row, VmState},
        pool::{PoolState, Reason, Task, TaskState},
        util::stable_hash,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The margin that is added to observed peaks, in percent.
const PEAK_MARGIN_PERCENT: u64 = 25;

/// The resources of a VM, or those that a task needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
}

impl Size {
    fn fits(self, room: Size) -> bool {
        self.cpu_millis <= room.cpu_millis && self.memory_mb <= room.memory_mb
    }

    fn minus(self, other: Size) -> Size {
        Size {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }
}

/// The peak resource use that workers have reported, by task.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    peaks: BTreeMap<String, Size>,
}

impl Usage {
    /// Records a report of a task's current use.
    pub fn observe(&mut self, task: &str, size: Size) {
        let peak = self.peaks.entry(task.to_owned()).or_default();
        peak.cpu_millis = peak.cpu_millis.max(size.cpu_millis);
        peak.memory_mb = peak.memory_mb.max(size.memory_mb);
    }

    /// Removes the tasks for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.peaks.retain(|task, _| keep(task));
    }

    fn size_of(&self, task: &str, declared: Size) -> Size {
        match self.peaks.get(task) {
            None => declared,
            Some(peak) => Size {
                cpu_millis: with_margin(peak.cpu_millis),
                memory_mb: with_margin(peak.memory_mb),
            },
        }
    }
}

fn with_margin(value: u64) -> u64 {
    value.saturating_mul(100 + PEAK_MARGIN_PERCENT) / 100
}

/// A change to a pool's document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Start the task on a VM.
    Place {
        /// The task's name.
        task: String,
        /// Its service or job.
        owner: String,
        /// The VM that should run it.
        vm: String,
    },
    /// Keep the task waiting.
    Wait {
        /// The task's name.
        task: String,
        /// Its service or job.
        owner: String,
        /// Why no VM can run it.
        why: String,
    },
    /// Remove the task from a VM that no longer serves.
    Unplace {
        /// The task's name.
        task: String,
        /// Why it was removed.
        why: String,
    },
    /// Delete a task that is no longer configured.
    Remove {
        /// The task's name.
        task: String,
    },
}

impl Step {
    /// Returns the name of the task that the step changes.
    pub fn task(&self) -> &str {
        match self {
            Step::Place { task, .. }
            | Step::Wait { task, .. }
            | Step::Unplace { task, .. }
            | Step::Remove { task } => task,
        }
    }
}

/// A task that should exist according to the configuration.
struct Wanted<'a> {
    task: String,
    owner: &'a str,
    declared: Size,
    urgent: bool,
    runs_forever: bool,
}

/// Returns the changes that bring a pool's tasks in line with its
/// configuration.
pub fn plan(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    usage: &Usage,
) -> Vec<Step> {
    let wanted = wanted(snapshot, pool);
    let mut occupancy = Occupancy::new(&wanted, pool, state, rows, usage);
    let mut steps: Vec<Step> = unwanted(&wanted, state);
    for want in &wanted {
        if let Some(step) = occupancy.step(want, state, usage) {
            steps.push(step);
        }
    }
    steps
}

fn unwanted(wanted: &[Wanted<'_>], state: &PoolState) -> Vec<Step> {
    let names: BTreeSet<&str> =
        wanted.iter().map(|want| want.task.as_str()).collect();
    state
        .tasks()
        .filter(|(name, _)| !names.contains(name))
        .map(|(name, _)| Step::Remove { task: name.to_owned() })
        .collect()
}

/// Returns the tasks that should exist: urgent jobs first, then services, then
/// other jobs.
fn wanted<'a>(snapshot: &'a Snapshot, pool: &str) -> Vec<Wanted<'a>> {
    let services = snapshot
        .services()
        .filter(|(_, spec)| spec.pool == pool)
        .flat_map(|(owner, spec)| {
            (0..spec.runners).map(move |index| Wanted {
                task: format!("{owner}-{index}"),
                owner,
                declared: Size {
                    cpu_millis: spec.cpu_millis,
                    memory_mb: spec.memory_mb,
                },
                urgent: false,
                runs_forever: true,
            })
        });
    let jobs = snapshot.jobs().filter(|(_, spec)| spec.pool == pool).flat_map(
        |(job, spec): (&Resource, _)| {
            (0..spec.tasks).map(move |index| Wanted {
                task: format!("{}-{index}", job.name()),
                owner: job.name(),
                declared: Size {
                    cpu_millis: spec.cpu_millis,
                    memory_mb: spec.memory_mb,
                },
                urgent: spec.urgent,
                runs_forever: false,
            })
        },
    );
    let mut wanted: Vec<Wanted<'a>> = services.chain(jobs).collect();
    wanted.sort_by_key(|want| (!want.urgent, !want.runs_forever));
    wanted
}

/// Returns a move of one of several siblings on a VM to another VM, so that
/// the wave can take the first VM; `None` if no move helps or the budgets
/// allow none now.
pub fn spread(
    snapshot: &Snapshot,
    pool: &str,
    state: &PoolState,
    rows: &[(&str, &Row)],
    usage: &Usage,
    wave: &str,
) -> Option<Step> {
    let starting =
        state.tasks().any(|(_, task)| task.state() == TaskState::Starting);
    if starting {
        // Tasks are moved one at a time: the previous move must be complete.
        return None;
    }
    let wanted = wanted(snapshot, pool);
    let occupancy = Occupancy::new(&wanted, pool, state, rows, usage);
    wanted.iter().find_map(|want| {
        let task = state.task(&want.task).filter(|task| is_placed(task))?;
        let from = occupancy.vms.get(task.vm())?;
        let siblings_here = from.siblings(want.owner);
        let not_maintained = from.row.maintained() != Some(wave);
        if !from.accepts_tasks || !not_maintained || siblings_here < 2 {
            return None;
        }
        let size = usage.size_of(&want.task, want.declared);
        let vm = occupancy.best_vm(want, size)?;
        let siblings_there =
            occupancy.vms.get(vm.as_str())?.siblings(want.owner);
        let allowed =
            budget::may_stop(snapshot, pool, state, rows, &want.task);
        let helps = siblings_there + 1 < siblings_here
            && allowed == budget::Verdict::Yes;
        let (task, owner) = (want.task.clone(), want.owner.to_owned());
        helps.then_some(Step::Place { task, owner, vm })
    })
}

/// The tasks and free room of each VM while a plan is computed.
struct Occupancy<'a> {
    vms: BTreeMap<&'a str, Vm<'a>>,
    vm_sizes: Vec<Size>,
    wave_active: bool,
}

struct Vm<'a> {
    row: &'a Row,
    room: Size,
    owners: BTreeMap<String, usize>,
    // Whether it accepts new tasks, and whether it may keep those it has.
    accepts_tasks: bool,
    keeps_tasks: bool,
    maintained: bool,
}

impl Vm<'_> {
    fn siblings(&self, owner: &str) -> usize {
        self.owners.get(owner).copied().unwrap_or(0)
    }
}

impl<'a> Occupancy<'a> {
    fn new(
        wanted: &[Wanted<'_>],
        pool: &str,
        state: &PoolState,
        rows: &[(&'a str, &'a Row)],
        usage: &Usage,
    ) -> Occupancy<'a> {
        let wave = state.taken().find_map(|(_, taken)| match taken.reason() {
            Reason::Wave(wave) => Some(wave.clone()),
            _ => None,
        });
        let in_pool = rows.iter().filter(|(_, row)| row.pool() == Some(pool));
        let vms: BTreeMap<&str, Vm<'_>> = in_pool
            .map(|&(name, row)| {
                let accepts_tasks =
                    row.state() == VmState::Serving && !state.is_taken(name);
                let keeps_tasks =
                    accepts_tasks || is_in_wave(state, name, row);
                let maintained =
                    wave.is_some() && row.maintained() == wave.as_deref();
                let room = size_of_vm(row);
                let owners = BTreeMap::new();
                (
                    name,
                    Vm {
                        row,
                        room,
                        owners,
                        accepts_tasks,
                        keeps_tasks,
                        maintained,
                    },
                )
            })
            .collect();
        let vm_sizes = vms.values().map(|vm| vm.room).collect();
        let mut occupancy =
            Occupancy { vms, vm_sizes, wave_active: wave.is_some() };
        for want in wanted {
            if let Some(task) = state.task(&want.task)
                && is_placed(task)
            {
                let size = usage.size_of(&want.task, want.declared);
                occupancy.occupy(task.vm(), want.owner, size);
            }
        }
        occupancy
    }

    fn occupy(&mut self, vm: &str, owner: &str, size: Size) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.room = vm.room.minus(size);
            *vm.owners.entry(owner.to_owned()).or_default() += 1;
        }
    }

    fn step(
        &mut self,
        want: &Wanted<'_>,
        state: &PoolState,
        usage: &Usage,
    ) -> Option<Step> {
        let task = state.task(&want.task);
        if task.is_some_and(|task| task.state() == TaskState::Finished) {
            return None;
        }
        let current_vm = task.filter(|task| is_placed(task)).map(Task::vm);
        if current_vm.is_some_and(|vm| self.can_stay(vm)) {
            return None;
        }
        let size = usage.size_of(&want.task, want.declared);
        match self.best_vm(want, size) {
            Some(vm) => {
                self.occupy(&vm, want.owner, size);
                let (task, owner) = (want.task.clone(), want.owner.to_owned());
                Some(Step::Place { task, owner, vm })
            }
            None => self.unplaceable(want, current_vm, size),
        }
    }

    /// Returns the step for a task for which no VM has room.
    fn unplaceable(
        &self,
        want: &Wanted<'_>,
        current_vm: Option<&str>,
        size: Size,
    ) -> Option<Step> {
        let task = want.task.clone();
        let why = self.wait_reason(size);
        let Some(vm) = current_vm else {
            let owner = want.owner.to_owned();
            return Some(Step::Wait { task, owner, why });
        };
        // A draining VM finishes its tasks; the task waits only after that.
        let still_up = self.vms.get(vm).is_some_and(|vm| {
            matches!(vm.row.state(), VmState::Draining | VmState::Serving)
        });
        (!still_up).then_some(Step::Unplace { task, why })
    }

    fn can_stay(&self, vm: &str) -> bool {
        self.vms.get(vm).is_some_and(|vm| vm.keeps_tasks)
    }

    fn wait_reason(&self, size: Size) -> String {
        let Size { cpu_millis, memory_mb } = size;
        let needs = format!(
            "needs {cpu_millis} cpu_millis and {memory_mb} memory_mb",
        );
        if self.vm_sizes.iter().any(|vm_size| size.fits(*vm_size)) {
            format!("{needs}, and no serving VM has that much room now")
        } else if self.vm_sizes.is_empty() {
            "the pool has no VM".to_owned()
        } else {
            format!(
                "can never run: {needs}, and no VM of the pool is that large",
            )
        }
    }

    fn best_vm(&self, want: &Wanted<'_>, size: Size) -> Option<String> {
        let siblings = |matches_vm: &dyn Fn(&Row) -> bool| -> usize {
            self.vms
                .values()
                .filter(|vm| matches_vm(vm.row))
                .filter_map(|vm| vm.owners.get(want.owner))
                .sum()
        };
        let (name, _) = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.accepts_tasks && size.fits(vm.room))
            .min_by_key(|(name, vm)| {
                let not_maintained = self.wave_active && !vm.maintained;
                let siblings_here = vm.siblings(want.owner);
                let rack = siblings(&|row| row.rack() == vm.row.rack());
                let hall = siblings(&|row| row.hall() == vm.row.hall());
                let room = std::cmp::Reverse(vm.room.cpu_millis);
                let tie_break = stable_hash(&want.task, name);
                (not_maintained, siblings_here, rack, hall, room, tie_break)
            })?;
        Some((*name).to_owned())
    }
}

/// Returns whether a wave has taken the VM, which will return with its tasks.
fn is_in_wave(state: &PoolState, vm: &str, row: &Row) -> bool {
    let by_wave = state.taken().any(|(name, taken)| {
        name == vm && matches!(taken.reason(), Reason::Wave(_))
    });
    by_wave && row.state() != VmState::Lost
}

fn is_placed(task: &Task) -> bool {
    matches!(task.state(), TaskState::Starting | TaskState::Running)
}

fn size_of_vm(row: &Row) -> Size {
    Size { cpu_millis: row.cpu_millis(), memory_mb: row.memory_mb() }
}
