/*!
The two users' fleets, at today's size or any other.

# Example

```
use dewspar_cli::deployment::Deployment;

let register = Deployment::Register.plan();
assert_eq!(register.vms().len(), 50);
assert_eq!(register.services().len(), 5);
```
*/

use {
    clap::ValueEnum, dewspar::config::Resource, dewspar_standin::fleet::VmSpec,
};

/// How many VMs share a rack.
const VMS_PER_RACK: usize = 4;

/// How many runners of a service may be missing.
const MAY_BE_MISSING: usize = 2;

/// A user's fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum Deployment {
    /// The company register: four data halls, moves weigh most.
    #[default]
    Register,
    /// The lost-and-found: three data halls, buffer cost weighs most.
    Hallazgo,
}

impl Deployment {
    /// Returns the fleet at today's size.
    pub fn plan(self) -> Plan {
        let (halls, services): (usize, &[&str]) = match self {
            Deployment::Register => (
                4,
                &[
                    "certificates",
                    "incorporations",
                    "extracts",
                    "amendments",
                    "shared-jobs",
                ],
            ),
            Deployment::Hallazgo => {
                (3, &["terminals", "airport", "taxis", "municipal", "notices"])
            }
        };
        let services = services.iter().map(|name| (*name).to_owned());
        Plan::new(halls, services.collect(), 10)
    }
}

/// A fleet: halls, VMs, and a pool with one service each.
#[derive(Clone, Debug)]
pub struct Plan {
    halls: usize,
    services: Vec<String>,
    runners: usize,
    // VMs of pools that have one more VM than runners.
    spare_vms: usize,
    slots: u32,
}

impl Plan {
    /// Makes a fleet in which each service has so many runners, and its pool
    /// as many VMs.
    pub fn new(halls: usize, services: Vec<String>, runners: usize) -> Plan {
        Plan { halls, services, runners, spare_vms: 0, slots: 8 }
    }

    /// Returns the plan with one VM more in each of the first `pools` pools.
    pub fn with_spare_vms(mut self, pools: usize) -> Plan {
        self.spare_vms = pools.min(self.services.len());
        self
    }

    /// Returns the plan with so many slots on each runner.
    pub fn with_slots(mut self, slots: u32) -> Plan {
        self.slots = slots;
        self
    }

    /// Returns the services' names; each pool is named after its service.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Returns how many runners each service has.
    pub fn runners(&self) -> usize {
        self.runners
    }

    /// Returns the names of the data halls.
    pub fn halls(&self) -> Vec<String> {
        (0..self.halls).map(|hall| format!("hall-{hall}")).collect()
    }

    /// Returns the VMs, four to a rack, racks dealt out over the halls.
    pub fn vms(&self) -> Vec<VmSpec> {
        (0..self.services.len() * self.runners + self.spare_vms)
            .map(|index| {
                let rack = index / VMS_PER_RACK;
                VmSpec {
                    name: vm_name(index),
                    hall: format!("hall-{}", rack % self.halls),
                    rack: format!("rack-{rack:02}"),
                }
            })
            .collect()
    }

    /// Returns the names of a pool's VMs, spread over racks and halls.
    pub fn pool_vms(&self, pool: usize) -> Vec<String> {
        let step = self.services.len();
        let spare = usize::from(pool < self.spare_vms);
        (0..self.runners + spare).map(|n| vm_name(pool + n * step)).collect()
    }

    /// Returns the resources that describe the fleet.
    pub fn resources(&self) -> Vec<Resource> {
        let mut text = String::new();
        for (index, service) in self.services.iter().enumerate() {
            let (runners, slots) = (self.runners, self.slots);
            let min = runners.saturating_sub(MAY_BE_MISSING);
            let vms = self.pool_vms(index).join(", ");
            text += &format!(
                "kind: Team\nname: {service}-team\n\
                 spec: {{partner: {service}-partner}}\n---\n\
                 kind: Pool\nname: {service}\nspec: {{vms: [{vms}]}}\n---\n\
                 kind: Service\nname: {service}\n\
                 spec: {{team: {service}-team, pool: {service}, \
                 runners: {runners}, slots: {slots}, cpu_millis: 12000, \
                 memory_mb: 48000}}\n---\n\
                 kind: AvailabilityBudget\nname: {service}\n\
                 spec: {{pool: {service}, service: {service}, \
                 min_available: {min}}}\n---\n",
            );
        }
        let text = text.trim_end_matches("---\n");
        // OK because the text above is valid for any names and numbers.
        Resource::all_from_yaml(text).expect("a valid fleet")
    }

    /// Returns a maintenance wave over a service's pool.
    pub fn wave(&self, name: &str, pool: &str) -> Resource {
        let text = format!(
            "kind: MaintenanceWave\nname: {name}\nspec: {{pool: {pool}}}\n",
        );
        // OK because the text above is valid for any names.
        Resource::from_yaml(&text).expect("a valid wave")
    }
}

fn vm_name(index: usize) -> String {
    format!("vm-{index:03}")
}
