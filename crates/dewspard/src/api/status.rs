/*!
Status: what dewspar made of a resource, beside what was asked for.
*/

use {
    crate::view::View,
    dewspar::{
        budget::{self, Shortage},
        config::{Resource, Spec},
        fleet::Row,
        pool::{PoolState, Task, TaskState},
        wave,
    },
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// Returns a resource with its status.
pub(super) fn with_status(view: &View, resource: &Resource) -> Value {
    let mut value = resource.to_value();
    value["status"] = status(view, resource);
    value
}

fn status(view: &View, resource: &Resource) -> Value {
    let name = resource.name();
    match resource.spec() {
        Spec::Team(_) => json!({}),
        Spec::Pool(_) => pool(view, name),
        Spec::Service(spec) => tasks(view, &spec.pool, name),
        Spec::Job(spec) => tasks(view, &spec.pool, name),
        Spec::AvailabilityBudget(spec) => {
            let broken = shortage(view, name, &spec.pool);
            json!({
                "holds": broken.is_none(),
                "why": broken.map(|found| found.to_string()),
            })
        }
        Spec::MaintenanceWave(spec) => {
            let state = state_of(view, &spec.pool);
            let rows = view.pool_rows(&spec.pool);
            let config = &view.config.value;
            match wave::progress(config, name, &state, &rows) {
                None => json!({}),
                Some(progress) => json!({
                    "state": progress.state,
                    "done": progress.done,
                    "out": progress.out,
                    "total": progress.total,
                    "blocked_by": progress.blocked_by,
                }),
            }
        }
    }
}

fn pool(view: &View, name: &str) -> Value {
    let state = state_of(view, name);
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, row) in view.pool_rows(name) {
        *states.entry(row.state().as_str()).or_default() += 1;
    }
    let taken: BTreeMap<&str, Value> = state
        .taken()
        .map(|(vm, taken)| {
            let reason = taken.reason().to_string();
            (vm, json!({ "why": reason, "since_ms": taken.since_ms() }))
        })
        .collect();
    json!({ "vms": states, "taken": taken })
}

fn tasks(view: &View, pool: &str, owner: &str) -> Value {
    let state = state_of(view, pool);
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    let mut waiting = BTreeMap::new();
    for (name, task) in state.tasks() {
        if task.owner() != owner {
            continue;
        }
        *states.entry(task.state().as_str()).or_default() += 1;
        if task.state() == TaskState::Waiting {
            waiting.insert(name.to_owned(), task.why_waiting().to_owned());
        }
    }
    json!({ "tasks": states, "waiting": waiting })
}

/// Returns a VM as operators read it.
pub(super) fn vm(view: &View, name: &str, row: &Row) -> Value {
    let taken = row.pool().and_then(|pool| {
        let state = state_of(view, pool);
        let found = state.taken().find(|(vm, _)| *vm == name);
        found.map(|(_, taken)| taken.reason().to_string())
    });
    json!({
        "kind": "Vm",
        "name": name,
        "status": {
            "state": row.state(),
            "since_ms": row.since_ms(),
            "pool": row.pool(),
            "hall": row.hall(),
            "rack": row.rack(),
            "epoch": row.epoch(),
            "maintained": row.maintained(),
            "taken": taken,
            "leaving": view.listed.leaving.contains(name),
        },
    })
}

/// Returns a task as operators read it.
pub(super) fn task(pool: &str, name: &str, task: &Task) -> Value {
    json!({
        "kind": "Task",
        "name": name,
        "status": {
            "state": task.state(),
            "since_ms": task.since_ms(),
            "owner": task.owner(),
            "pool": pool,
            "vm": task.vm(),
            "epoch": task.epoch(),
            "address": task.address(),
            "moves": task.moves(),
            "why_waiting": task.why_waiting(),
        },
    })
}

/// Returns a pool's document, or an empty one.
pub(super) fn state_of(view: &View, pool: &str) -> PoolState {
    let known = view.pools.get(pool);
    known.map(|known| PoolState::clone(&known.value)).unwrap_or_default()
}

/// Returns what a budget is short of now, if it is broken.
pub(super) fn shortage(
    view: &View,
    budget: &str,
    pool: &str,
) -> Option<Shortage> {
    let state = state_of(view, pool);
    let rows = view.pool_rows(pool);
    let config = &view.config.value;
    let broken = budget::first_violation(config, pool, &state, &rows);
    broken.filter(|found| found.budget() == budget)
}
