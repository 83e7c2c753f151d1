/*!
Relays: nodes that forward the holder's orders to workers.

Orders are the holder's calls to workers: `start`, `stop`, `pace`, and `hold`,
which asks a worker for a report. [`dewspar::relay`] decides how many relays
are wanted and which one serves which worker; this module holds the
connections.

| module | contents |
|---|---|
| `wire` | the messages between a holder and its relays |
| `server` | the relay's side: receives orders, calls the workers, sends the answers back |
| `link` | the holder's connection to one relay |
| `workers` | the worker calls as the holder makes them, over relays or directly |
| `route_overrides` | the workers that their relay doesn't reach |
| `hall_links` | the halls that the holder or a relay doesn't reach, and the links for them |
| `manager` | the holder's choice of relays, kept up to date |

# Failures

| failure | reaction |
|---|---|
| there is no relay, or none that is reachable | orders go out directly, as without relays |
| an address doesn't answer as a relay of this version | it gets no orders |
| a relay is lost, suspended, cut off or silent | its orders count as unanswered; its workers move to other relays at once |
| a relay doesn't reach a worker that the holder reaches | the worker is called directly for a while; a relay that reaches none counts as lost |
| the holder's hall, or a relay's, doesn't reach another hall | where the loss of halls must be tolerated, orders to that hall go over a relay in a third one; see `hall_links` |
| a relay stops as planned | it announces that, finishes its in-flight orders, and gets no new ones |
| a relay resumes with old orders | the workers have seen a later fencing token and refuse them |
| a relay resumes while its holder still has the lease | it drops orders that the holder gave up a second ago or more, by their age on both steady clocks |
| a relay has too many orders in flight | it returns the excess as not sent |
| there are two holders | a relay keeps the latest lease that it has seen, and closes connections of earlier ones |
*/

pub(super) use self::{
    manager::{RelayManager, manage},
    server::serve,
    workers::RelayedWorkers,
};

mod hall_links;
mod link;
mod manager;
mod route_overrides;
mod server;
mod wire;
mod workers;
