/*!
Coordination parts for a fleet that rivals share.

Many nodes stand between callers and targets. They keep nothing on disk, any
of them may be replaced at any time, and no leader is ever elected. This
library holds the *decisions* such nodes take, and nothing else: it opens no
socket and reads no clock. You feed it what you observed and the time, and it
returns a value that says what to do next. `dewspard` is one program that
carries those decisions out; yours may be another.

# One principle

Authority lives in compare-and-swapped records at the platform; ownership is
only a hint. Any live node may act on any record. A ranking over the live
roster says who acts first, and two nodes that both act collide on the swap,
after which one of them reads again. Wasted work, never a wrong result.

# Where to start

| module | concept |
|---|---|
| [`config`] | what operators want, as one revisioned snapshot |
| [`member`] | who is alive, and who acts first |
| [`fleet`] | which pool each VM is in, and what it is doing |
| [`pool`] | a pool's tasks and its disruption ledger, in one value |
| [`budget`] | whether one more VM may be taken |
| [`wave`] | the next step of a maintenance wave |
| [`place`] | which VM carries which task |
| [`once`] | a filing runs at most once |
| [`slot`] | a runner's slots, shared by every node |
| [`route`] | which runner gets the next request |
| [`admit`] | which request is accepted at all |
| [`breaker`] | whether a service that fell silent is sent more |
| [`overload`] | whether a node keeps up with its work |
| [`poll_delay`] | how much longer workers may gather what they tell |
| [`window`] | how many calls a node may have under way |
| [`relay`] | which nodes carry a scheduling node's orders |
| [`record`] | when a record is written that one writer replaces |
| [`fields`] | what newer versions add to records, and older ones keep |
| [`job`] | what callers hand in, and how far it has come |
| [`schedule`] | which task of a job runs on which worker |
| [`chart`] | state charts kept in files and interpreted |
| [`history`] | recorded runs, and the check of every promise on them |

# Example

Two nodes agree on who acts first without exchanging a message:

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
pub mod feed;
pub mod fields;
pub mod fleet;
pub mod history;
pub mod job;
pub mod link;
pub mod member;
pub mod once;
pub mod overload;
pub mod place;
pub mod poll;
pub mod poll_delay;
pub mod pool;
pub mod record;
pub mod relay;
pub mod route;
mod rows;
pub mod schedule;
pub mod slot;
mod util;
pub mod wave;
pub mod window;
