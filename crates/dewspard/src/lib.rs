/*!
The daemon: tokio tasks that own sockets and state, around the library's
decisions.

Every entry VM runs the same [`node::Node`]; no role is set aside. Its tasks
talk by messages and share one read-only [`view::View`] of what the platform
holds:

| task | owns | decides with |
|---|---|---|
| [`watcher`] | the watch on the platform | [`dewspar::config`] |
| [`membership`] | the lease and the probes | [`dewspar::member`] |
| [`peer`] | the QUIC endpoint | |
| [`granter`] | the slots this node grants | [`dewspar::slot`] |
| [`dispatch`] | a service's queue and connections | [`dewspar::admit`], [`dewspar::route`] |
| [`journal`] | a partition of the filings journal | [`dewspar::once`] |
| [`fleet`] | the acts on VMs and tasks | [`dewspar::place`], [`dewspar::wave`] |
| [`proxy`] | the callers' connections | |
| [`api`] | the operators' connections | [`dewspar::config`] |

A node that runs jobs is a [`jobs::JobNode`] instead.
*/

pub mod api;
pub mod clock;
pub mod config_store;
pub mod counters;
pub mod dispatch;
pub mod fleet;
pub mod granter;
mod inbound_reports;
pub mod jobs;
pub mod journal;
pub mod logs;
pub mod membership;
pub mod node;
pub mod order_basis;
mod passed_over;
pub mod peer;
pub mod proxy;
pub mod settings;
pub mod view;
pub mod watcher;
