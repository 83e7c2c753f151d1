/*!
A node's view of its peers: which of them forward its calls, and how its own
path to the store is.
*/

use {
    crate::{Answer, connections::Connections},
    dewspar::detour::{OwnPath, Path, PeerNode, preferred_readers},
    hyper::http::uri::Authority,
    std::{
        collections::{BTreeSet, HashMap},
        fmt,
        net::IpAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::time::{Duration, Instant},
};

/// How long a peer that couldn't forward a call isn't used.
const AVOIDED_FOR: Duration = Duration::from_secs(2);

/// The largest number of results that are kept to recognize unchanged ones:
/// the few shared reads of a node.
const MAX_KNOWN: usize = 16;

/// The state of a node's paths to the store; clones share it.
#[derive(Clone)]
pub struct PeerRoutes {
    began: Instant,
    /// The connections to peers, if they leave from an address of their own.
    connections: Option<Arc<Connections>>,
    /// The address from which these connections leave.
    source: Option<IpAddr>,
    state: Arc<Mutex<State>>,
}

impl Default for PeerRoutes {
    fn default() -> PeerRoutes {
        PeerRoutes {
            began: Instant::now(),
            connections: None,
            source: None,
            state: Arc::default(),
        }
    }
}

/// What is read may hold keys, so it isn't printed.
impl fmt::Debug for PeerRoutes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerRoutes")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

#[derive(Default)]
struct State {
    own: OwnPath,
    /// The peers, the preferred one first.
    peers: Vec<Peer>,
    /// Until when some peers aren't used.
    avoided: HashMap<Authority, Instant>,
    /// Whether a detour tries another hall second.
    halls_matter: bool,
    /// Whether this node reads the store itself.
    reads_itself: bool,
    /// The newest result of each shared read, with its fingerprint.
    known: HashMap<String, (String, Answer)>,
    forwarded_calls: u64,
    shared_reads: u64,
}

/// A peer that forwards calls.
#[derive(Clone, Debug)]
struct Peer {
    address: Authority,
    hall: String,
}

/// A summary of a node's paths to the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerStatus {
    /// Whether the own path has failed and hasn't worked since.
    pub own_path_failed: bool,
    /// The number of peers.
    pub peers: usize,
    /// The number of calls that peers forwarded.
    pub forwarded_calls: u64,
    /// The number of reads that were shared with other nodes.
    pub shared_reads: u64,
}

impl PeerRoutes {
    /// Makes paths to peers that leave from the address at which this node
    /// serves its peers, because they recognize it by that. Connections to
    /// peers take at most `connect_timeout` to open.
    pub fn calling_from(
        source: IpAddr,
        connect_timeout: Duration,
    ) -> PeerRoutes {
        let connections = Connections::new(connect_timeout, Some(source));
        let connections = Some(Arc::new(connections));
        let source = Some(source);
        PeerRoutes { connections, source, ..PeerRoutes::default() }
    }

    pub(crate) fn connections(&self) -> Option<&Arc<Connections>> {
        self.connections.as_ref()
    }

    /// Sets the readers, as known to this node. Those of its own hall come
    /// first, and detours try another hall second, unless `own_hall` is empty.
    pub fn set_readers(
        &self,
        node: &str,
        own_hall: &str,
        readers: &[PeerNode],
    ) {
        let peers = preferred_readers(node, own_hall, readers);
        let peer = |peer: PeerNode| -> Option<Peer> {
            let address = peer.address.parse().ok()?;
            Some(Peer { address, hall: peer.hall })
        };
        let mut state = self.state();
        state.halls_matter = !own_hall.is_empty();
        state.reads_itself = readers.iter().any(|peer| peer.name == node);
        // An address that can't be used is the same as no offer.
        state.peers = peers.into_iter().filter_map(peer).collect();
    }

    /// Returns the addresses of peers in other halls than this one: the
    /// preferred one of each hall, and others up to `min_count` if there are
    /// fewer halls. Peers that name no hall are left out.
    pub fn peers_outside(&self, hall: &str, min_count: usize) -> Vec<String> {
        let state = self.state();
        let is_far = |p: &&Peer| !p.hall.is_empty() && p.hall != hall;
        let mut halls = BTreeSet::new();
        let (mut chosen, others): (Vec<&Peer>, Vec<&Peer>) = state
            .peers
            .iter()
            .filter(is_far)
            .partition(|peer| halls.insert(peer.hall.as_str()));
        let missing = min_count.saturating_sub(chosen.len());
        chosen.extend(others.into_iter().take(missing));
        chosen.iter().map(|peer| peer.address.to_string()).collect()
    }

    /// Returns the address from which calls to peers leave, if it is set.
    pub fn source(&self) -> Option<IpAddr> {
        self.source
    }

    /// Returns whether reads can be shared: there are readers, and this node
    /// isn't one of them.
    pub fn shares_reads(&self) -> bool {
        let state = self.state();
        !state.reads_itself && !state.peers.is_empty()
    }

    /// Returns a summary of the paths.
    pub fn status(&self) -> PeerStatus {
        let state = self.state();
        PeerStatus {
            own_path_failed: state.own.has_failed(),
            peers: state.peers.len(),
            forwarded_calls: state.forwarded_calls,
            shared_reads: state.shared_reads,
        }
    }

    pub(crate) fn choose(&self) -> Path {
        let now_ms = self.now_ms();
        let mut state = self.state();
        if state.peers.is_empty() {
            return Path::Own;
        }
        state.own.choose(now_ms)
    }

    pub(crate) fn may_use_peers(&self) -> bool {
        self.state().own.may_use_peers(self.now_ms())
    }

    pub(crate) fn own_path_answered(&self) {
        self.state().own.answered();
    }

    pub(crate) fn own_path_failed(&self) {
        let now_ms = self.now_ms();
        self.state().own.failed(now_ms);
    }

    pub(crate) fn peers_failed(&self) {
        let now_ms = self.now_ms();
        self.state().own.peers_failed(now_ms);
    }

    /// Returns the peers to try, the preferred one first.
    pub(crate) fn usable_peers(&self) -> Vec<Authority> {
        let now = Instant::now();
        let mut state = self.state();
        state.avoided.retain(|_, until| now < *until);
        let usable = |peer: &&Peer| !state.avoided.contains_key(&peer.address);
        let peers = state.peers.iter().filter(usable);
        peers.map(|peer| peer.address.clone()).collect()
    }

    /// Returns the peers to try for a call that the own path doesn't carry: the
    /// preferred one, then, where halls matter, one of another hall, which a
    /// fault of the first one's hall leaves alone, then the others.
    pub(crate) fn detour_peers(&self) -> Vec<Authority> {
        let mut usable = self.usable_peers();
        let state = self.state();
        if !state.halls_matter {
            return usable;
        }
        let hall = |address: &Authority| {
            let found = state.peers.iter().find(|p| p.address == *address);
            found.map(|peer| peer.hall.as_str())
        };
        let first = usable.first().and_then(hall);
        let other = usable.iter().position(|peer| hall(peer) != first);
        if let Some(other) = other {
            usable[1..=other].rotate_right(1);
        }
        usable
    }

    pub(crate) fn avoid(&self, peer: &Authority) {
        let until = Instant::now() + AVOIDED_FOR;
        self.state().avoided.insert(peer.clone(), until);
    }

    pub(crate) fn count_forwarded(&self) {
        self.state().forwarded_calls += 1;
    }

    pub(crate) fn count_shared(&self) {
        self.state().shared_reads += 1;
    }

    /// Returns the fingerprint of the newest result of a shared read.
    pub(crate) fn fingerprint(&self, url: &str) -> Option<String> {
        let state = self.state();
        state.known.get(url).map(|(fingerprint, _)| fingerprint.clone())
    }

    /// Returns the newest result of a shared read.
    pub(crate) fn known(&self, url: &str) -> Option<Answer> {
        let state = self.state();
        state.known.get(url).map(|(_, answer)| answer.clone())
    }

    pub(crate) fn remember(
        &self,
        url: &str,
        fingerprint: &str,
        answer: &Answer,
    ) {
        let mut state = self.state();
        if state.known.len() >= MAX_KNOWN && !state.known.contains_key(url) {
            state.known.clear();
        }
        let result = (fingerprint.to_owned(), answer.clone());
        state.known.insert(url.to_owned(), result);
    }

    fn now_ms(&self) -> u64 {
        // OK to truncate: it would take millions of years.
        self.began.elapsed().as_millis() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // OK after a panic: each change of it is complete.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
