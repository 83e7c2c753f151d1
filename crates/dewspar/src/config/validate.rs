/*!
Validation of a whole snapshot, including references between resources.
*/

use {
    crate::config::{
        AvailabilityBudgetSpec, Error, Kind, Resource, Snapshot, Spec,
    },
    std::collections::BTreeMap,
};

/// The maximum length of a resource's name, in bytes.
const MAX_NAME_LEN: usize = 63;

/// The maximum of any count in a spec, such as a service's runners or a job's
/// tasks.
const MAX_COUNT: u32 = 10_000;

/// Checks every resource, its references and the quotas of the teams.
pub(crate) fn check_snapshot(snapshot: &Snapshot) -> Result<(), Error> {
    let mut pool_of = BTreeMap::new();
    let mut quotas = Quotas { snapshot, reserved: BTreeMap::new() };
    for resource in snapshot.resources() {
        check_name(resource)?;
        match resource.spec() {
            Spec::Pool(spec) => {
                for vm in &spec.vms {
                    if let Some(other) = pool_of.insert(vm, resource.name()) {
                        let problem = format!(
                            "lists VM `{vm}`, but pool `{other}` has it: \
                             a VM belongs to exactly one pool",
                        );
                        return Err(field_error(
                            resource, "spec.vms", problem,
                        ));
                    }
                }
            }
            Spec::Team(spec) => {
                check_count(resource, "spec.weight", spec.weight)?;
            }
            Spec::Service(spec) => {
                check_exists(snapshot, resource, Kind::Team, &spec.team)?;
                let count = u64::from(spec.runners);
                let size = (spec.cpu_millis, spec.memory_mb);
                quotas.reserve(resource, &spec.team, count, size)?;
                check_exists(snapshot, resource, Kind::Pool, &spec.pool)?;
                check_count(resource, "spec.runners", spec.runners)?;
                check_count(resource, "spec.slots", spec.slots)?;
                check_count(resource, "spec.connections", spec.connections)?;
            }
            Spec::Job(spec) => {
                check_exists(snapshot, resource, Kind::Team, &spec.team)?;
                let count = u64::from(spec.tasks);
                let size = (spec.cpu_millis, spec.memory_mb);
                quotas.reserve(resource, &spec.team, count, size)?;
                check_exists(snapshot, resource, Kind::Pool, &spec.pool)?;
                check_count(resource, "spec.tasks", spec.tasks)?;
            }
            Spec::AvailabilityBudget(spec) => {
                check_budget(snapshot, resource, spec)?;
            }
            Spec::MaintenanceWave(spec) => {
                check_exists(snapshot, resource, Kind::Pool, &spec.pool)?;
                check_count(resource, "spec.max_parallel", spec.max_parallel)?;
            }
        }
    }
    Ok(())
}

/// The CPU and memory reserved by each team, checked against its quota.
struct Quotas<'a> {
    snapshot: &'a Snapshot,
    reserved: BTreeMap<&'a str, (u64, u64)>,
}

impl<'a> Quotas<'a> {
    /// Adds the reservation of a resource with `count` tasks or runners, each
    /// of the given `cpu_millis` and `memory_mb`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Field`] when the team exceeds its quota.
    fn reserve(
        &mut self,
        resource: &Resource,
        team: &'a str,
        count: u64,
        (cpu_millis, memory_mb): (u64, u64),
    ) -> Result<(), Error> {
        let Some(quota) = self.snapshot.team(team) else { return Ok(()) };
        let (cpu, memory) = self.reserved.entry(team).or_default();
        *cpu = cpu.saturating_add(count.saturating_mul(cpu_millis));
        *memory = memory.saturating_add(count.saturating_mul(memory_mb));
        let checks = [
            ("cpu_millis", *cpu, quota.max_cpu_millis),
            ("memory_mb", *memory, quota.max_memory_mb),
        ];
        for (name, reserved, max) in checks {
            if reserved > max {
                let problem = format!(
                    "brings team `{team}` to {reserved} {name}, but its \
                     quota is {max}",
                );
                return Err(field_error(
                    resource,
                    &format!("spec.{name}"),
                    problem,
                ));
            }
        }
        Ok(())
    }
}

/// Returns the kind and name of a resource that refers to the given one.
pub(crate) fn referrer_of(
    snapshot: &Snapshot,
    kind: Kind,
    name: &str,
) -> Option<String> {
    let referrer = snapshot.resources().find(|r| match (kind, r.spec()) {
        (Kind::Team, Spec::Service(spec)) => spec.team == name,
        (Kind::Team, Spec::Job(spec)) => spec.team == name,
        (Kind::Pool, Spec::Service(spec)) => spec.pool == name,
        (Kind::Pool, Spec::Job(spec)) => spec.pool == name,
        (Kind::Pool, Spec::AvailabilityBudget(spec)) => spec.pool == name,
        (Kind::Pool, Spec::MaintenanceWave(spec)) => spec.pool == name,
        (Kind::Service, Spec::AvailabilityBudget(spec)) => {
            spec.service.as_deref() == Some(name)
        }
        _ => false,
    })?;
    Some(format!("{} `{}`", referrer.kind(), referrer.name()))
}

fn check_name(resource: &Resource) -> Result<(), Error> {
    let name = resource.name();
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty()
        || name.len() > MAX_NAME_LEN
        || !name.chars().all(allowed)
    {
        let problem = format!(
            "must have 1 to {MAX_NAME_LEN} letters, digits, `-`, `_` or `.`",
        );
        return Err(field_error(resource, "name", problem));
    }
    Ok(())
}

fn check_count(
    resource: &Resource,
    path: &str,
    value: u32,
) -> Result<(), Error> {
    if value == 0 || value > MAX_COUNT {
        let problem = format!("is {value}, but must be 1 to {MAX_COUNT}");
        return Err(field_error(resource, path, problem));
    }
    Ok(())
}

/// Checks that a referenced resource exists.
fn check_exists(
    snapshot: &Snapshot,
    resource: &Resource,
    kind: Kind,
    name: &str,
) -> Result<(), Error> {
    if snapshot.get(kind, name).is_none() {
        return Err(missing_reference(resource, kind, name));
    }
    Ok(())
}

fn missing_reference(resource: &Resource, kind: Kind, name: &str) -> Error {
    let what = kind.as_str().to_ascii_lowercase();
    let problem = format!("names {what} `{name}`, which doesn't exist");
    field_error(resource, &format!("spec.{what}"), problem)
}

fn check_budget(
    snapshot: &Snapshot,
    resource: &Resource,
    spec: &AvailabilityBudgetSpec,
) -> Result<(), Error> {
    check_exists(snapshot, resource, Kind::Pool, &spec.pool)?;
    let (max, what) = match &spec.service {
        None => {
            let size = snapshot.pool(&spec.pool).map_or(0, |p| p.vms.len());
            let what = format!("VMs in pool `{}`", spec.pool);
            (u32::try_from(size).unwrap_or(u32::MAX), what)
        }
        Some(name) => match snapshot.service(name) {
            Some(service) if service.pool == spec.pool => {
                (service.runners, format!("runners of service `{name}`"))
            }
            Some(service) => {
                let problem = format!(
                    "names service `{name}`, which pool `{}` carries, \
                     not pool `{}`",
                    service.pool, spec.pool,
                );
                return Err(field_error(resource, "spec.service", problem));
            }
            None => {
                return Err(missing_reference(resource, Kind::Service, name));
            }
        },
    };
    if spec.min_available > max {
        let problem = format!(
            "is {}, but must be at most {max}, the number of {what}",
            spec.min_available,
        );
        return Err(field_error(resource, "spec.min_available", problem));
    }
    Ok(())
}

fn field_error(resource: &Resource, path: &str, problem: String) -> Error {
    Error::Field {
        kind: resource.kind(),
        name: resource.name().to_owned(),
        field: path.to_owned(),
        problem,
    }
}
