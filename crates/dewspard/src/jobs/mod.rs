/*!
Jobs: the part of the daemon that accepts them and has them run.

Every node runs the same tasks, and none is set aside:

| task | owns |
|---|---|
| `front` | the callers' connections; any node accepts and answers |
| `intent` | the newest reading of what the operator wants |
| `election` | this node's try for the scheduler lease |
| `holder` | the [`Scheduler`](dewspar::schedule::Scheduler), on the one node that holds the lease |
| `relay` | the connections over which nodes carry the holder's orders |
| `readiness` | the address at which the entry asks whether to send callers |

Nodes talk to each other only where one carries orders to workers for another.
What they share lies in the store:

| key | value | written by |
|---|---|---|
| `q/owner` | who holds the scheduler lease | whoever takes it, under its own store lease |
| `q/in/JOB` | a job that isn't over | the node that accepts it |
| `q/stop/JOB` | that the job is cancelled | the node that is asked to |
| `run/JOB` | how far the job has come | the holder |
| `relay/NODE` | where a node offers to carry orders | that node, when it starts |
| `node/NODE` | how much a node can schedule | that node, when it starts |
| `pending` | each queue's waiting jobs, under the holder's lease | the holder |
| `counting`, `counted` | a lock, and what its holder counted, under short leases | a node that finds no fresh `pending` |
| `vm-orders` | the VMs of which changes were ordered of late | the holder |
| `wave/N` | the VMs that a wave has maintained | the holder |

The first three share a prefix, so that one watch tells them in the order of
their writes: a holder that was superseded hears of that before it hears of
any job that came later.
*/

pub use self::{
    node::{JobNode, JobPlatform},
    rest::RestProtocol,
    settings::JobSettings,
};

mod backoff;
mod counts;
mod decisions;
mod deferred_ends;
mod election;
mod event;
mod feeds;
mod front;
pub mod gate;
mod holder;
mod intake;
mod intent;
mod keys;
mod load_stats;
mod lookup;
mod node;
mod orders;
mod progress;
mod progress_writes;
mod readiness;
mod records;
mod recount;
mod relay;
mod rest;
pub mod settings;
mod start_logs;
mod step_down;
mod takeover;
mod versions;
mod vm_orders;
pub mod worker_lookups;
