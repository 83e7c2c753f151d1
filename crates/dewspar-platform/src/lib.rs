/*!
What the platform gives, as small traits, with one adapter to each.

dewspar keeps nothing itself. What must last lives in the platform's
key-value service; which VMs exist comes from its VM list; tasks run on its
workers. Each of the three is a trait here, so that another platform is
another adapter and no decision changes.

| trait | adapter | protocol |
|---|---|---|
| [`KeyValue`] | [`etcd::Etcd`] | the JSON mapping of etcd's v3 API |
| [`VmList`] | [`http::HttpVmList`] | `GET /vms`, JSON with an entity tag |
| [`Workers`] | [`http::HttpWorkers`] | JSON over HTTP at each worker |

Jobs need three more, which a shared platform brings adapters for:

| trait | what it gives |
|---|---|
| [`JobWorkers`] | orders to the workers that run tasks under a lease |
| [`Fleet`] | the directory of workers, the VMs, the operator's intent |
| [`JobProtocol`] | how callers' calls on jobs are spelled |

# Lost answers

A write whose answer doesn't arrive may have taken effect. Every error says
which it is: [`Error::Unavailable`] means that the call certainly did nothing,
[`Error::Rejected`] that it would do nothing another time either, and
[`Error::Lost`] that nobody knows. Who writes puts a token of its own into the
value and reads it back before telling anyone anything.
*/

pub use self::{
    bounded::Urgency,
    client::{
        Answer, Checked, Client, check_status, empty_request, json_request,
        parse_json, read_json,
    },
    error::Error,
    fleet::{Fleet, Intent, VmChange},
    job_call::{
        JobCall, JobOperation, JobProtocol, JobReply, ListedJob, NotRead,
        caller_of, deadline_in,
    },
    job_worker::JobWorkers,
    kv::{
        Batch, Cas, Commit, Condition, Event, Expected, KeyValue, Lease, Put,
        Versioned, Watch, WatchBatch,
    },
    peers::{
        CallFilter, Fingerprint, PeerDirectory, PeerRoutes, PeerServer,
        PeerStatus, Reach, RefusalReason, ask_reach, is_peer_alive,
    },
    traffic::{Purpose, Tallies, Tally, Traffic},
    unreadable::{TakenNotes, Unreadable, UnreadableNotes},
    vm_list::{VmList, VmListing},
    worker::{TaskReport, TaskStart, WorkerReport, Workers},
};

mod bounded;
mod client;
mod connections;
mod error;
pub mod etcd;
mod fleet;
pub mod http;
pub mod inbound;
mod job_call;
mod job_worker;
mod kv;
pub mod lenient;
mod peers;
mod traffic;
mod unreadable;
mod vm_list;
mod worker;
