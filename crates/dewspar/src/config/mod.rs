/*!
Desired state: what operators write, as one revisioned snapshot.

Operators never issue commands. They write *resources*, such as a
[`Pool`](Kind::Pool) or a [`MaintenanceWave`](Kind::MaintenanceWave), and
dewspar works towards them. All resources together form a [`Snapshot`] with
one revision number. A change is validated against the whole snapshot before
it is accepted, so a budget can't outgrow its pool and a VM can't be listed
by two pools: a document is taken whole or refused whole.

# How a snapshot is stored

Only single-key compare-and-swap is promised by the platform, so the truth is
one small value, the [`Head`]. It names a revision, the token of the write
that made it, and the digest of each [`Chunk`] of resources. Chunks are
immutable and named by their content. A change writes its new chunks first
and swaps the head second; until the swap lands, nobody can see any of it.
A writer whose answer was lost reads the head back and looks for its token.

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
