/*!
Relays: nodes that carry the holder's orders to workers.

What a relay is, how many are wanted and which one carries for which worker is
decided in [`dewspar::relay`]; here are the sockets.

| module | job |
|---|---|
| `wire` | the messages between a holder and its relays |
| `server` | the node that carries: takes orders, makes the calls, answers |
| `link` | the holder's connection to one relay |
| `workers` | the workers, reached over relays or directly |
| `route_overrides` | the workers that their relay doesn't reach |
| `manager` | the holder's choice of relays, kept up to date |

# What goes wrong

| what | so |
|---|---|
| no relay, or none that is reachable | orders go out directly, as without relays |
| an address doesn't say that a relay of this version is there | it gets nothing to carry |
| a relay is lost, frozen, cut off or silent | its orders count as without an answer; its workers go to others at once |
| a relay doesn't reach a worker that the holder reaches | the worker is asked directly for a while; a relay that reaches none counts as lost |
| a relay stops as planned | it says so, carries what it has, and gets nothing new |
| a relay wakes with old orders | the workers have seen a later token, and refuse them |
| a relay wakes, and its holder still has the lease | it passes over what the holder gave up a second ago or more, by its age on both steady clocks |
| a relay has too much under way | it sends back what is more, as not sent |
| two holders | a relay keeps the latest lease that it has seen, and ends connections of earlier ones |
*/

pub(super) use self::{
    manager::{RelayManager, manage},
    server::serve,
    workers::RelayedWorkers,
};

mod link;
mod manager;
mod route_overrides;
mod server;
mod wire;
mod workers;
