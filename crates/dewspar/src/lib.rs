/*!
Scheduling and coordination logic for a fleet shared by partners who are rivals.

Many nodes stand between callers and targets. They keep nothing on disk, any
of them may be replaced at any time, and no leader is ever elected. This
library contains only the *decisions* that such nodes make: it opens no
socket and reads no clock. The caller passes in its observations and the
current time, and gets back a value that says what to do next. The daemon
`dewspard` carries out these decisions; other programs can do the same.

# Concurrency model

The authoritative state is in records at the platform that are updated by
compare-and-swap; ownership is only a hint. Any live node may act on any
record. Rendezvous hashing over the live nodes determines which one should
act first. If two nodes act at once, one of them fails its compare-and-swap
and reads the record again: work is wasted, but the result is correct.

# Where to start

| module | concept |
|---|---|
| [`config`] | the desired state, as one revisioned snapshot |
| [`member`] | the membership list, failure detection and rendezvous hashing |
| [`fleet`] | the pool and state of each VM |
| [`pool`] | a pool's tasks and its disruption ledger, in one value |
| [`budget`] | whether one more VM may be taken out of service |
| [`wave`] | the next step of a maintenance wave |
| [`place`] | the placement of tasks on VMs |
| [`once`] | at-most-once execution of filings |
| [`slot`] | a runner's slots, shared by every node |
| [`route`] | which runner gets the next request |
| [`admit`] | admission control for requests |
| [`inbound`] | which clients' connections give way |
| [`breaker`] | a circuit breaker for services that don't answer |
| [`overload`] | whether a node keeps up with its work |
| [`poll`] | adaptive polling intervals for data that grows with the fleet |
| [`poll_delay`] | how long workers may batch their reports |
| [`window`] | a congestion window for a node's calls |
| [`link`] | a bandwidth budget for a node's network link |
| [`relay`] | which nodes forward a scheduling node's orders |
| [`feed`] | detection of watch feeds that stop without an error |
| [`record`] | when to write a record that has a single writer |
| [`fields`] | unknown record fields, kept for newer versions |
| [`job`] | submitted jobs and their progress |
| [`schedule`] | the assignment of a job's tasks to workers |
| [`team`] | the teams of callers, their API keys and quotas |
| [`quota`] | what counts against each team's quota |
| [`chart`] | state charts that are read from files and interpreted |
| [`status`] | what a node tells its operators |
| [`hall`] | what a node knows about a data hall |
| [`history`] | recorded runs, and checks of every guarantee on them |

# Example

Two nodes agree on which of them acts first without exchanging a message:

```
use dewspar::member;

let live = ["athens-1", "athens-2", "athens-3"];
let first = member::ranked("pool/registry", &live)[0];
let mut shuffled = live;
shuffled.reverse();
assert_eq!(member::ranked("pool/registry", &shuffled)[0], first);
```
*/

pub mod admit;
pub mod breaker;
pub mod budget;
pub mod chart;
pub mod config;
pub mod detour;
pub mod feed;
pub mod fields;
pub mod fleet;
pub mod hall;
pub mod hall_routes;
pub mod history;
pub mod inbound;
pub mod isolation;
pub mod job;
pub mod link;
pub mod member;
pub mod once;
pub mod overload;
pub mod peer_access;
pub mod place;
pub mod poll;
pub mod poll_delay;
pub mod pool;
pub mod quota;
pub mod record;
pub mod relay;
pub mod route;
mod rows;
pub mod schedule;
pub mod slot;
pub mod staleness;
pub mod status;
pub mod team;
mod util;
pub mod wave;
pub mod window;
