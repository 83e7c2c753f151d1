/*!
Fleet control: carrying out what the library decides for VMs and tasks.

Every node runs this task. For each pool and each data hall the node ranked
first acts; which one that is follows from the roster, and two that both act
collide on the swap. Each act outside the platform is intended in a document
first, fenced by an epoch, and its outcome is recorded after.

Nothing is begun while the node isn't sure that its documents are current: in
an outage of the platform, waves and moves stop where they stand.
*/

pub use self::controller::{Options, start};

mod controller;
mod documents;
mod drain;
mod halls;
mod pools;
mod waves;
mod workers;
