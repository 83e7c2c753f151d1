/*!
Desired state: the resources that operators declare, as one revisioned
snapshot.

Operators never issue commands. They declare *resources*, such as a
[`Pool`](Kind::Pool) or a [`MaintenanceWave`](Kind::MaintenanceWave), and
dewspar reconciles the system with them. All resources together form a
[`Snapshot`] with one revision number. A change is validated against the whole
snapshot before it is accepted, so that a budget can't exceed the size of its
pool and a VM can't be listed by two pools. A change is accepted or refused as
a whole.

# Storage

The platform only guarantees compare-and-swap of a single key, so the
authoritative state is one small value, the [`Head`]. It holds a revision, the
tokens of the latest writes, and the name of each [`Chunk`] of resources.
Chunks are immutable and content-addressed. A change first stores its new
chunks and then swaps the head; until the swap succeeds, no reader sees any
part of the change. A writer whose answer was lost reads the head and looks for
its own token.

# Example

```
use dewspar::config::{Change, Resource, Snapshot};

let pool = Resource::from_yaml(
    "kind: Pool\nname: registry\nspec: {vms: [vm-1, vm-2]}\n",
)?;
let snapshot = Snapshot::default();
let next = snapshot.apply(&[Change::put(pool)])?;
assert_eq!(next.revision(), 1);

// A budget may not ask for more VMs than the pool has.
let budget = Resource::from_yaml(
    "kind: AvailabilityBudget\nname: b\n\
     spec: {pool: registry, min_available: 3}\n",
)?;
let error = next.apply(&[Change::put(budget)]).unwrap_err();
assert_eq!(
    error.to_string(),
    "AvailabilityBudget `b`: field `spec.min_available` is 3, \
     but must be at most 2, the number of VMs in pool `registry`",
);
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

pub use self::{
    chunk::{Chunk, Head},
    error::Error,
    resource::{
        AvailabilityBudgetSpec, JobSpec, Kind, MaintenanceWaveSpec, PoolSpec,
        Resource, ServiceSpec, Spec, TeamSpec,
    },
    snapshot::{Change, Difference, Snapshot},
};

mod chunk;
mod error;
mod resource;
mod snapshot;
mod validate;
