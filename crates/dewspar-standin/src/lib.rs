/*!
Small stand-ins for the platform and the targets, with faults to order.

They exist so that dewspar can be run and tested on one machine. They speak
the same published protocols that dewspar's adapters speak, and are reached
over loopback like the real thing. Nothing here is meant to keep data.

* [`store`] is a key-value service with revisions, leases and watches.
* [`kv`] serves it by the JSON mapping of etcd's v3 API.
* [`fleet`] is a VM list with a worker for each VM.
* [`runner`] is a target that a worker starts for a service's task.
* [`faults`] says what goes wrong, and can be changed while they run.
* [`recorder`] writes down what really happened, for history checks.
* [`task_fleet`] is a fleet whose workers run tasks of jobs.
* [`peak`] is a scheduler with a large fleet in a queue's peak, in simulated
  time.
* [`crowd`] is a crowd of clients that don't follow the protocol.
* [`usage`] watches the memory and the descriptors of a process.
* [`certs`] makes a certificate authority for tests and demonstrations.
*/

pub mod certs;
pub mod crowd;
pub mod faults;
pub mod fleet;
pub mod kv;
pub mod peak;
pub mod recorder;
pub mod runner;
mod server;
pub mod store;
pub mod task_fleet;
pub mod task_worker;
pub mod usage;
