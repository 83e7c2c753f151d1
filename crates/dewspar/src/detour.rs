/*!
Paths to the store: a node's own, and those over its peers.

The store may refuse some nodes, or be cut off from them, while it serves the
others. A node in that situation sends its calls to a *peer*, which forwards
them over its own path. [`OwnPath`] decides which way a call takes: the own
path as long as it works, and otherwise a peer, with a try of the own path from
time to time.

Most nodes only follow a few keys of the store. If each of them asked the store
itself, idle nodes would make most of all calls. So a fixed number of nodes,
the *readers*, read the store, and the others read through them: a reader
answers all requests for the same keys that came in since its last call with
one call. The number of calls then doesn't depend on the number of nodes.
[`choose_readers`] selects them.

# Example

```
use dewspar::detour::{OwnPath, Path};

let mut path = OwnPath::default();
assert_eq!(path.choose(0), Path::Own);
path.failed(0);
assert_eq!(path.choose(100), Path::Peers);
assert_eq!(path.choose(600), Path::Own, "a try");
assert_eq!(path.choose(600), Path::Peers, "one at a time");
path.answered();
assert_eq!(path.choose(600), Path::Own);
```
*/

use {
    crate::util::stable_hash,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The number of readers: enough that some of them reach the store while it
/// refuses most nodes.
pub const READERS: usize = 8;

/// How long the own path isn't used after a failure, in milliseconds; twice
/// as long after each further one.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest time for which the own path isn't tried, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;

/// How long peers aren't used after none of them could forward a call, in
/// milliseconds: in an outage of the store every detour is in vain.
const PEERS_PAUSE_MS: u64 = 500;

/// The way that a call takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Path {
    /// Directly to the store.
    Own,
    /// Over a peer.
    Peers,
}

/// The state of a node's own path to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnPath {
    /// The pause after the last failure; `None` while the path works.
    pause_ms: Option<u64>,
    /// When it last failed.
    failed_ms: u64,
    /// When the path is tried again.
    next_try_ms: u64,
    /// When peers may be used again.
    peers_from_ms: u64,
}

impl OwnPath {
    /// Chooses the way of a call that is sent now, in milliseconds of a steady
    /// clock.
    pub fn choose(&mut self, now_ms: u64) -> Path {
        let Some(pause_ms) = self.pause_ms else { return Path::Own };
        if now_ms < self.peers_from_ms {
            return Path::Own;
        }
        if now_ms < self.next_try_ms {
            return Path::Peers;
        }
        self.next_try_ms = now_ms + pause_ms;
        Path::Own
    }

    /// Returns whether the path has failed and hasn't worked since.
    pub fn has_failed(&self) -> bool {
        self.pause_ms.is_some()
    }

    /// Returns whether a call may be repeated over a peer now.
    pub fn may_use_peers(&self, now_ms: u64) -> bool {
        now_ms >= self.peers_from_ms
    }

    /// Records that the store answered on this path.
    pub fn answered(&mut self) {
        self.pause_ms = None;
    }

    /// Records that the store refused a call on this path or didn't answer.
    pub fn failed(&mut self, now_ms: u64) {
        let pause_ms = match self.pause_ms {
            // One of several calls that failed together.
            Some(pause_ms) if now_ms < self.failed_ms + pause_ms / 2 => {
                pause_ms
            }
            Some(pause_ms) => (2 * pause_ms).min(MAX_PAUSE_MS),
            None => FIRST_PAUSE_MS,
        };
        self.failed_ms = now_ms;
        self.pause_ms = Some(pause_ms);
        self.next_try_ms = now_ms + pause_ms;
    }

    /// Records that no peer could forward a call.
    pub fn peers_failed(&mut self, now_ms: u64) {
        self.peers_from_ms = now_ms + PEERS_PAUSE_MS;
    }
}

/// A node's offer to forward calls to the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerNode {
    /// The node's name.
    pub name: String,
    /// The data hall that it is in; empty if it names none, as nodes of
    /// earlier builds do.
    #[serde(default)]
    pub hall: String,
    /// The address at which it accepts calls to forward.
    pub address: String,
    /// Its capacity: thousandths of a core, or less if its link is the
    /// bottleneck.
    pub strength: u64,
}

/// Chooses the readers among the nodes that offer to forward calls: the
/// strongest, except those in `failed`. Former readers stay if they are as
/// strong as others.
pub fn choose_readers(
    offers: &[PeerNode],
    former: &[PeerNode],
    failed: &BTreeSet<String>,
) -> Vec<PeerNode> {
    let ranked = ranked(offers, former, failed);
    let mut readers: Vec<PeerNode> =
        ranked.into_iter().take(READERS).cloned().collect();
    readers.sort_by(|a, b| a.name.cmp(&b.name));
    readers
}

/// Orders offers by how well they suit as readers, best first.
fn ranked<'a>(
    offers: &'a [PeerNode],
    former: &[PeerNode],
    failed: &BTreeSet<String>,
) -> Vec<&'a PeerNode> {
    // A later build's offer may differ in other fields.
    let is_former = |node: &PeerNode| {
        let is_same =
            |f: &PeerNode| f.name == node.name && f.address == node.address;
        former.iter().any(is_same)
    };
    let mut ranked: Vec<&PeerNode> = offers.iter().collect();
    ranked.sort_by_cached_key(|node| {
        (
            failed.contains(&node.name),
            Reverse(node.strength),
            !is_former(node),
            stable_hash("readers", &node.name),
        )
    });
    ranked
}

/// Chooses the readers as [`choose_readers`] does, but so that no data hall has
/// more than an even share of them, rounded up, among the halls with a node
/// that hasn't failed. Nodes that name no hall count as one hall.
///
/// There are fewer than [`READERS`] if some hall has too few nodes: a failed
/// node takes no free place while any other node is there.
pub fn choose_readers_across_halls(
    offers: &[PeerNode],
    former: &[PeerNode],
    failed: &BTreeSet<String>,
) -> Vec<PeerNode> {
    let usable = offers.iter().filter(|node| !failed.contains(&node.name));
    let halls: BTreeSet<&str> =
        usable.map(|node| node.hall.as_str()).collect();
    let share = READERS.div_ceil(halls.len().max(1));
    let mut in_hall: BTreeMap<&str, usize> = BTreeMap::new();
    let mut readers: Vec<PeerNode> = Vec::new();
    for node in ranked(offers, former, failed) {
        if failed.contains(&node.name) && !halls.is_empty() {
            continue;
        }
        let count = in_hall.entry(&node.hall).or_default();
        if readers.len() < READERS && *count < share {
            *count += 1;
            readers.push(node.clone());
        }
    }
    readers.sort_by(|a, b| a.name.cmp(&b.name));
    readers
}

/// Orders readers by the preference of a node, so that the nodes spread over
/// them: those of its own hall first, unless `own_hall` is empty.
pub fn preferred_readers(
    node: &str,
    own_hall: &str,
    readers: &[PeerNode],
) -> Vec<PeerNode> {
    let mut others: Vec<PeerNode> =
        readers.iter().filter(|reader| reader.name != node).cloned().collect();
    others.sort_by_cached_key(|reader| {
        let is_far = !own_hall.is_empty() && reader.hall != own_hall;
        (is_far, stable_hash(node, &reader.name))
    });
    others
}

/// Returns the nodes that may be asked whether they reach a reader that doesn't
/// answer a node in `own_hall`: the other readers that answer it, in other
/// halls than its own, those outside the silent reader's hall first.
pub fn second_observers<'a>(
    own_hall: &str,
    silent: &PeerNode,
    answering: &'a [PeerNode],
) -> Vec<&'a PeerNode> {
    let mut observers: Vec<&PeerNode> = answering
        .iter()
        .filter(|node| !node.hall.is_empty() && node.hall != own_hall)
        .filter(|node| node.name != silent.name)
        .collect();
    observers.sort_by_cached_key(|node| {
        (node.hall == silent.hall, stable_hash(&silent.name, &node.name))
    });
    observers
}
