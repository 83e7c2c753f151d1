/*!
The operators' side: desired state in, desired and actual state out.

| call | what it does |
|---|---|
| `GET /v1/{kind}` | lists a kind, with status |
| `GET /v1/{kind}/{name}` | reads one resource, with status |
| `PUT /v1/{kind}/{name}` | creates or replaces one |
| `DELETE /v1/{kind}/{name}?revision=N` | removes one |
| `PUT /v1/resources` | several documents, all or none |
| `GET /v1/watch?from=N` | changes after a revision, one JSON object a line |
| `GET /v1/explain/{kind}/{name}` | why something is as it is |
| `GET /v1/status` | the nodes, and which revision each has in force |
| `GET /openapi.json` | this table, for programs |
| `GET /health/live`, `GET /health/ready` | for the balancer |
| `GET /metrics` | for Prometheus |

There are no commands: an operator writes what should be. Kinds `Vm` and
`Task` can only be read.
*/

pub use self::{
    access::token_digest, changes::Changes, server::Server, state::ApiState,
};

mod access;
mod changes;
mod explain;
mod handlers;
mod openapi;
mod server;
mod state;
mod status;
