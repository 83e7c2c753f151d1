/*!
Which calls a peer's server takes, decided from the head of a call alone:
before any of its body is read.
*/

use {
    crate::{Error, inbound::Counted},
    dewspar::{
        detour::PeerNode,
        peer_access::{Admission, KnownPeers},
    },
    hyper::Method,
    std::{
        future::Future,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    },
    tokio::time::{Duration, Instant, timeout},
};

/// Returns whether nodes make calls with this method and path to the store.
pub type CallFilter = fn(&Method, &str) -> bool;

/// How long a call waits for the list of nodes at most: less than a peer's
/// client waits for a shared read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest number of calls that wait for the list of nodes at a time.
const MAX_WAITING: usize = 64;

/// Lists the nodes whose calls are forwarded, and records refused calls.
pub trait PeerDirectory: Clone + Send + Sync + 'static {
    /// Reads the offers of all nodes.
    fn nodes(
        &self,
    ) -> impl Future<Output = Result<Vec<PeerNode>, Error>> + Send;

    /// Records that a call was refused.
    fn note_refusal(&self, caller: IpAddr, reason: RefusalReason);
}

/// Why a peer's server refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No listed node has the caller's address.
    UnknownCaller,
    /// Nodes make no such call.
    UnknownCall,
    /// The call asks about an address at which no listed node serves.
    UnknownAddress,
    /// The call doesn't say how long its body is.
    NoLength,
    /// The body is longer than any that a node sends.
    LongBody,
    /// The bodies of the calls in flight take all room there is.
    NoRoom,
    /// Too many calls are in flight.
    TooManyCalls,
    /// Too many connections are open.
    TooManyConnections,
}

impl RefusalReason {
    /// Returns the name of the reason, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::UnknownCaller => "unknown_caller",
            RefusalReason::UnknownCall => "unknown_call",
            RefusalReason::UnknownAddress => "unknown_address",
            RefusalReason::NoLength => "no_length",
            RefusalReason::LongBody => "long_body",
            RefusalReason::NoRoom => "no_room",
            RefusalReason::TooManyCalls => "too_many_calls",
            RefusalReason::TooManyConnections => "too_many_connections",
        }
    }
}

/// The nodes whose calls are forwarded; clones share the list.
#[derive(Clone)]
pub(super) struct Callers<D> {
    directory: D,
    began: Instant,
    known: Arc<Mutex<KnownPeers>>,
    /// Held while the list is read.
    reading: Arc<tokio::sync::Mutex<()>>,
    waiting: Arc<AtomicUsize>,
}

impl<D: PeerDirectory> Callers<D> {
    pub(super) fn new(directory: D) -> Callers<D> {
        Callers {
            directory,
            began: Instant::now(),
            known: Arc::default(),
            reading: Arc::default(),
            waiting: Arc::default(),
        }
    }

    pub(super) fn directory(&self) -> &D {
        &self.directory
    }

    /// Returns whether a caller is a listed node; reads the list again if that
    /// is needed to tell.
    pub(super) async fn is_node(&self, caller: IpAddr) -> bool {
        let before = self.check(caller);
        if before == Admission::Known {
            return true;
        }
        // While others wait for the read, the last list decides.
        let Some(_waiting) = Counted::below(&self.waiting, MAX_WAITING) else {
            return self.known().contains(caller);
        };
        let _reading = self.reading.lock().await;
        match self.check(caller) {
            Admission::Known => true,
            Admission::Unknown => false,
            Admission::ReadList => {
                self.read().await;
                self.known().contains(caller)
            }
        }
    }

    /// Returns whether the list, as it was last read, lacks a caller's address.
    pub(super) fn is_unlisted(&self, caller: IpAddr) -> bool {
        self.known().lacks(caller)
    }

    /// Returns whether a listed node serves its peers at this address.
    pub(super) fn is_server(&self, address: SocketAddr) -> bool {
        self.known().is_server(address)
    }

    fn check(&self, caller: IpAddr) -> Admission {
        self.known().check(caller, self.now_ms())
    }

    /// Reads the list; the last one stays in use if that fails.
    async fn read(&self) {
        let requested_ms = self.now_ms();
        self.known().begin_read(requested_ms);
        if let Ok(Ok(nodes)) =
            timeout(READ_TIMEOUT, self.directory.nodes()).await
        {
            self.known().set(&nodes, requested_ms);
        }
    }

    fn now_ms(&self) -> u64 {
        // OK to truncate: it would take millions of years.
        self.began.elapsed().as_millis() as u64
    }

    fn known(&self) -> MutexGuard<'_, KnownPeers> {
        // OK after a panic: each change of it is complete.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
