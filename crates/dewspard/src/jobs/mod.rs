/*!
Jobs: the part of the daemon that accepts jobs and has them run.

Every node runs the same tasks:

| task | owns |
|---|---|
| `front` | the callers' connections; any node accepts jobs and answers queries |
| `intent` | the latest snapshot of the operator's configuration |
| `election` | this node's attempts to take the scheduler lease |
| `holder` | the [`Scheduler`](dewspar::schedule::Scheduler), on the one node that holds the lease |
| `relay` | the connections over which nodes forward the holder's orders to workers |
| `peers` | the paths to the store over other nodes |
| `readiness` | the health-check address that the load balancer polls |

The node that holds the scheduler lease is called the holder. Nodes talk to
each other only where one relays orders to workers for the holder, or forwards
calls to the store. All shared state lies in the store:

| key | value | written by |
|---|---|---|
| `q/owner` | who holds the scheduler lease | the node that takes it, under its own store lease |
| `q/in/JOB` | an unfinished job | the node that accepts it |
| `q/stop/JOB` | that the job is cancelled | the node that receives the request |
| `run/JOB` | the job's progress | the holder |
| `relay/NODE` | the address at which a node relays orders | that node, when it starts |
| `peer/NODE` | the address at which a node forwards calls to the store | that node, when it starts |
| `readers` | the nodes over which the others reach the store | the holder |
| `node/NODE` | the scheduling capacity of a node | that node, when it starts |
| `max-strength` | the highest scheduling capacity of any node | any node that has more, when it starts |
| `pending` | each queue's waiting jobs, under the holder's lease | the holder |
| `counting`, `counted` | a lock, and the counts made under it, under short leases | a node that finds no fresh `pending` |
| `ceilings` | the most that each team uses | the holder |
| `team-limits` | the teams whose submissions are limited | the holder |
| `vm-orders` | the VMs for which changes were ordered recently | the holder |
| `wave/N` | the VMs that a maintenance wave has maintained | the holder |

The first three share a prefix, so that one watch delivers them in the order in
which they were written: a superseded holder learns of its successor before it
sees any job that was accepted later.
*/

pub use self::{
    node::{JobNode, JobPlatform, Peers},
    rest::RestProtocol,
    settings::JobSettings,
};

mod backoff;
mod caller_limits;
mod caller_server;
mod cancellations;
mod checkpoints;
mod counts;
mod decisions;
mod deferred_ends;
mod election;
mod event;
mod feeds;
mod front;
pub mod gate;
mod hand_over;
mod holder;
mod intake;
mod intent;
mod isolation;
mod keys;
mod load_stats;
mod lookup;
mod node;
mod orders;
mod peer_offers;
mod peers;
mod progress;
mod progress_batches;
mod progress_writes;
mod readiness;
mod records;
mod recount;
mod relay;
mod rest;
pub mod settings;
mod silent_workers;
mod start_logs;
mod status;
mod step_down;
mod strength;
mod takeover;
mod team_limits;
mod use_ceilings;
mod versions;
mod vm_orders;
pub mod worker_lookups;
