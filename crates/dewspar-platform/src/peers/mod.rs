/*!
Calls to the store that go over other nodes.

Each node runs a [`PeerServer`], which forwards the calls of other nodes to the
store over its own path, and never over a further node. A [`Client`] with
[`PeerRoutes`] uses the servers of its peers in two cases:

- *Detours.* While the store refuses a node's own calls or doesn't answer them,
  a peer forwards them. A refused call is repeated over a peer at once, because
  it certainly did nothing; a call without an answer isn't repeated.
- *Shared reads.* A read that may be delayed a little goes to one of the
  *readers*, which answers all requests for the same read that have come in
  since its last call with one call of its own. The answer is as current as that
  of a call of the node's own, since the reader calls after the request came in.
  A read whose result is unchanged is answered without it.

A peer forwards only for the nodes in its [`PeerDirectory`], and only the calls
that a [`CallFilter`] names. It refuses others with 403, before it reads their
bodies. A node that isn't listed yet, because the store has refused it since its
start, can use no peer until the store takes its offer.

A node also says whether it reaches another one, at a path of its own: in a
half-cut a single node's view of a peer isn't enough.

A peer says of each call that fails whether it may have taken effect, as the
store's own client does.

[`Client`]: crate::Client
*/

pub use self::{
    admission::{CallFilter, PeerDirectory, RefusalReason},
    routes::{PeerRoutes, PeerStatus},
    server::{Fingerprint, PeerServer, Reach, ask_reach, is_peer_alive},
};

mod admission;
mod calls;
mod routes;
mod server;
mod shared_reads;

/// The header with the time that the sender waits for the answer, in
/// milliseconds.
pub(crate) const TIMEOUT_HEADER: &str = "dewspar-timeout-ms";

/// The header of a read that may be answered together with others, with the
/// shortest time between two such reads of the store, in milliseconds.
pub(crate) const SHARE_HEADER: &str = "dewspar-share-ms";

/// The header with the fingerprint of a read's result: in a request, of the
/// result that the sender has already.
pub(crate) const FINGERPRINT_HEADER: &str = "dewspar-fingerprint";

/// The path at which a peer answers for itself, without the store.
pub(crate) const ALIVE_PATH: &str = "/dewspar-peer/alive";
