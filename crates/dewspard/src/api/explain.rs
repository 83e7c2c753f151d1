/*!
Why something is as it is, in sentences.
*/

use {
    super::status::{shortage, state_of},
    crate::view::View,
    dewspar::{
        budget::{self, Verdict},
        config::{Kind, Spec},
        fleet::{Row, VmState},
        pool::TaskState,
        wave,
    },
};

/// Explains a resource, a VM or a task; `None` if there is none of the name.
pub(super) fn explain(
    view: &View,
    kind: &str,
    name: &str,
) -> Option<Vec<String>> {
    if kind.eq_ignore_ascii_case("vm") {
        let row = view.row(name)?;
        return Some(vm(view, name, row));
    }
    if kind.eq_ignore_ascii_case("task") {
        return task(view, name);
    }
    let kind: Kind = kind.parse().ok()?;
    let resource = view.config.value.get(kind, name)?;
    let lines = match resource.spec() {
        Spec::MaintenanceWave(spec) => maintenance(view, name, &spec.pool),
        Spec::Service(spec) => tasks(view, &spec.pool, name),
        Spec::Job(spec) => tasks(view, &spec.pool, name),
        Spec::AvailabilityBudget(spec) => {
            let broken = shortage(view, name, &spec.pool);
            vec![match broken {
                Some(found) => format!("broken now: {found}"),
                None => "holds".to_owned(),
            }]
        }
        Spec::Pool(spec) => {
            spec.vms.iter().map(|vm| wanted_vm(view, name, vm)).collect()
        }
        Spec::Team(spec) => {
            vec![format!("belongs to partner `{}`", spec.partner)]
        }
    };
    Some(lines)
}

fn vm(view: &View, name: &str, row: &Row) -> Vec<String> {
    let since_ms = row.since_ms();
    let mut lines = vec![format!(
        "{} since {since_ms} ms of the Unix epoch, at epoch {}",
        row.state(),
        row.epoch(),
    )];
    let Some(pool) = row.pool() else {
        lines.push("in no pool: no pool lists it".to_owned());
        return lines;
    };
    lines.push(format!("in pool `{pool}`"));
    let state = state_of(view, pool);
    if let Some((_, taken)) = state.taken().find(|(vm, _)| *vm == name) {
        lines.push(format!("out of service for: {}", taken.reason()));
    }
    if row.state() == VmState::Serving && !state.is_taken(name) {
        let rows = view.pool_rows(pool);
        let config = &view.config.value;
        lines.push(
            match budget::may_take(config, pool, &state, &rows, name) {
                Verdict::No(shortage) => {
                    format!("can't be drained now: {shortage}")
                }
                _ => "could be drained now".to_owned(),
            },
        );
    }
    if view.listed.leaving.contains(name) {
        lines.push("leaving, says the platform".to_owned());
    }
    let tasks: Vec<&str> = state.tasks_on(name).map(|(t, _)| t).collect();
    lines.push(format!("carries: {}", tasks.join(", ")));
    lines
}

fn wanted_vm(view: &View, pool: &str, vm: &str) -> String {
    match view.row(vm) {
        None => format!("VM `{vm}`: the platform doesn't list it"),
        Some(row) if row.pool() == Some(pool) => {
            format!("VM `{vm}`: {}", row.state())
        }
        Some(row) => match row.pool() {
            Some(other) => format!("VM `{vm}`: still in pool `{other}`"),
            None => format!("VM `{vm}`: in no pool yet"),
        },
    }
}

fn maintenance(view: &View, name: &str, pool: &str) -> Vec<String> {
    let state = state_of(view, pool);
    let rows = view.pool_rows(pool);
    let config = &view.config.value;
    let Some(progress) = wave::progress(config, name, &state, &rows) else {
        return Vec::new();
    };
    let mut lines = vec![format!(
        "{}: {} of {} VMs done, {} out",
        progress.state, progress.done, progress.total, progress.out,
    )];
    lines.extend(progress.blocked_by);
    let out = state.taken().map(|(vm, taken)| {
        let state = view.row(vm).map_or("unknown", |row| row.state().as_str());
        format!("VM `{vm}` is {state}, out for: {}", taken.reason())
    });
    lines.extend(out);
    lines
}

fn tasks(view: &View, pool: &str, owner: &str) -> Vec<String> {
    let state = state_of(view, pool);
    state
        .tasks()
        .filter(|(_, task)| task.owner() == owner)
        .map(|(name, task)| match task.state() {
            TaskState::Waiting => {
                format!("task `{name}` waits: {}", task.why_waiting())
            }
            other => format!(
                "task `{name}` is {} on VM `{}`",
                other.as_str(),
                task.vm(),
            ),
        })
        .collect()
}

fn task(view: &View, name: &str) -> Option<Vec<String>> {
    let (pool, state) =
        view.pools.iter().find(|(_, pool)| pool.value.task(name).is_some())?;
    let task = state.value.task(name)?;
    let mut lines = vec![format!(
        "{} in pool `{pool}`, at epoch {}, moved {} times",
        task.state().as_str(),
        task.epoch(),
        task.moves(),
    )];
    if !task.why_waiting().is_empty() {
        lines.push(format!("waits: {}", task.why_waiting()));
    } else {
        lines.push(format!("on VM `{}`", task.vm()));
    }
    Some(lines)
}
