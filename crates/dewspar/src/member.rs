/*!
Membership: the member list, failure detection and rendezvous hashing.

Each node registers at the platform under a lease; these registrations are
the membership list. Leases are long, because the request rates that the
platform can take grow more slowly than the fleet. Failures are therefore
detected by probing. A node probes a few peers, the same ones in each round,
so that the cost doesn't grow with the number of members. Suspicions are
piggybacked on probes, each with its age. They are soft state and expire
unless they are repeated. New suspicions are passed on at once.

The node that [`ranked`] puts first among the live nodes is the first to act
on a key. Two nodes with different views may both act; the compare-and-swap
at the platform lets only one of them succeed.

# Example

```
use dewspar::member::{Member, Roster, Timing};

let mut roster = Roster::new("n1", Timing::default());
let members = (1..=3).map(|i| Member::new(&format!("n{i}"), i, "hall-1"));
roster.set_members(members, 0);
assert_eq!(roster.live(0).len(), 3);

// n2 answers; n3 doesn't, and is suspected after three missed probes.
for now_ms in [500, 1_000, 1_500] {
    roster.probe_succeeded("n2", 0, now_ms);
    roster.probe_failed("n3", now_ms);
}
assert_eq!(roster.live(1_500), ["n1", "n2"]);
```
*/

use {
    crate::util::stable_hash,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Returns the nodes in the order in which they should act on `key`.
///
/// This is rendezvous hashing: every node computes the same order from the
/// same members, and the loss of a node reassigns only the keys for which it
/// was first.
pub fn ranked<'a>(key: &str, nodes: &[&'a str]) -> Vec<&'a str> {
    let mut order = nodes.to_vec();
    order.sort_by_cached_key(|node| {
        (std::cmp::Reverse(stable_hash(key, node)), node.to_string())
    });
    order
}

/// Returns the node that ranks first for `key`, or `None` without nodes.
pub fn first<'a>(key: &str, nodes: &[&'a str]) -> Option<&'a str> {
    nodes
        .iter()
        .copied()
        .max_by_key(|node| (stable_hash(key, node), std::cmp::Reverse(*node)))
}

/// A node's registration at the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    name: String,
    incarnation: u64,
    hall: String,
    #[serde(default)]
    peer_address: String,
}

impl Member {
    /// Creates a member; the incarnation differs at each start of the process.
    pub fn new(name: &str, incarnation: u64, hall: &str) -> Member {
        Member {
            name: name.to_owned(),
            incarnation,
            hall: hall.to_owned(),
            peer_address: String::new(),
        }
    }

    /// Sets the address at which peers reach the node.
    pub fn with_peer_address(mut self, address: &str) -> Member {
        self.peer_address = address.to_owned();
        self
    }

    /// Returns the node's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the number that distinguishes this process from earlier ones of
    /// the same name.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the data hall that the node is in.
    pub fn hall(&self) -> &str {
        &self.hall
    }

    /// Returns the address at which peers reach the node.
    pub fn peer_address(&self) -> &str {
        &self.peer_address
    }
}

/// Parameters of the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    probe_interval_ms: u64,
    fan_out: usize,
    misses: u32,
}

impl Default for Timing {
    /// Probes three peers every 500 ms and suspects a peer after three missed
    /// probes, so that a failed node is suspected within about 1.5 s.
    fn default() -> Timing {
        Timing { probe_interval_ms: 500, fan_out: 3, misses: 3 }
    }
}

impl Timing {
    /// Sets the interval between rounds of probes, in milliseconds.
    pub fn probe_interval_ms(mut self, interval_ms: u64) -> Timing {
        self.probe_interval_ms = interval_ms;
        self
    }

    /// Sets the number of peers that are probed in each round.
    pub fn fan_out(mut self, fan_out: usize) -> Timing {
        self.fan_out = fan_out;
        self
    }

    /// Returns the interval between rounds of probes, in milliseconds.
    pub fn interval_ms(&self) -> u64 {
        self.probe_interval_ms
    }

    /// Returns when a suspicion expires unless it is repeated, in
    /// milliseconds.
    fn suspicion_timeout_ms(&self) -> u64 {
        self.probe_interval_ms * u64::from(self.misses + 1)
    }
}

/// A node's suspicion of another node, as sent on probes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    name: String,
    incarnation: u64,
    age_ms: u64,
}

/// The maximum number of suspicions in one probe.
const MAX_SUSPICIONS: usize = 8;

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    misses: u32,
    suspected_until_ms: u64,
    leaving: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64) -> bool {
        !self.leaving && self.suspected_until_ms <= now_ms
    }
}

/// One node's view of which nodes are members and which are alive.
#[derive(Clone, Debug)]
pub struct Roster {
    own: String,
    timing: Timing,
    peers: BTreeMap<String, Peer>,
    leaving: bool,
}

impl Roster {
    /// Creates the roster of the node named `own`, which counts itself as live
    /// until it leaves.
    pub fn new(own: &str, timing: Timing) -> Roster {
        Roster {
            own: own.to_owned(),
            timing,
            peers: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Replaces the membership list by the platform's.
    ///
    /// Members that the platform no longer lists are dropped. After an outage
    /// of the platform, callers hold a list back for a grace period, so that
    /// members whose leases expired can register again before other nodes take
    /// over from them.
    pub fn set_members(
        &mut self,
        members: impl IntoIterator<Item = Member>,
        now_ms: u64,
    ) {
        let listed: BTreeMap<String, Member> =
            members.into_iter().map(|m| (m.name().to_owned(), m)).collect();
        self.peers.retain(|name, _| listed.contains_key(name));
        for (name, member) in listed {
            match self.peers.get_mut(&name) {
                Some(peer) if peer.member == member => {}
                // Misses and suspicions of an earlier incarnation don't count.
                _ => {
                    let peer = Peer {
                        member,
                        misses: 0,
                        suspected_until_ms: now_ms,
                        leaving: false,
                    };
                    self.peers.insert(name, peer);
                }
            }
        }
    }

    /// Returns the member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Returns all members except this node.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        let own = self.own.as_str();
        self.peers
            .values()
            .map(|peer| &peer.member)
            .filter(move |member| member.name() != own)
    }

    /// Returns the peers that this node probes.
    ///
    /// With `n` other members and `k` probes a round, these are the nodes that
    /// follow this one on the ring of names at the distances 1, c, c², and so
    /// on, where c is the `k`-th root of `n`. Thus every node is probed by as
    /// many nodes as it probes, updates cross the ring in a few hops, and the
    /// same few connections are used all the time.
    pub fn probe_targets(&self) -> Vec<Member> {
        let others: Vec<&Member> = self.others().collect();
        let count = others.len();
        if count <= self.timing.fan_out {
            return others.into_iter().cloned().collect();
        }
        // Members are ordered by name, and this node isn't one of `others`.
        let start =
            others.iter().take_while(|m| *m.name() < *self.own).count();
        let ratio = (count as f64).powf(1.0 / self.timing.fan_out as f64);
        let mut distances: Vec<usize> = (0..self.timing.fan_out)
            .map(|step| ratio.powi(step as i32).round() as usize)
            .collect();
        distances.dedup();
        distances
            .into_iter()
            .map(|distance| others[(start + distance - 1) % count].clone())
            .collect()
    }

    /// Records that a peer answered a probe with this incarnation.
    ///
    /// An incarnation of 0 means that the answer didn't contain one.
    pub fn probe_succeeded(
        &mut self,
        name: &str,
        incarnation: u64,
        now_ms: u64,
    ) {
        if let Some(peer) = self.peers.get_mut(name)
            && (incarnation == 0 || incarnation == peer.member.incarnation)
        {
            peer.misses = 0;
            peer.suspected_until_ms = now_ms;
        }
    }

    /// Records that a peer didn't answer a probe in time.
    ///
    /// Returns whether the peer is newly suspected, which should be passed on
    /// at once.
    pub fn probe_failed(&mut self, name: &str, now_ms: u64) -> bool {
        let timing = self.timing;
        let Some(peer) = self.peers.get_mut(name) else { return false };
        peer.misses += 1;
        if peer.misses < timing.misses {
            return false;
        }
        let changed = peer.suspected_until_ms <= now_ms;
        peer.suspected_until_ms = now_ms + timing.suspicion_timeout_ms();
        changed
    }

    /// Records that this node is about to shut down, so that it no longer
    /// counts as live.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records that a peer has announced its shutdown.
    ///
    /// Returns whether this is new, in which case it should be passed on at
    /// once.
    pub fn mark_leaving(&mut self, name: &str, incarnation: u64) -> bool {
        match self.peers.get_mut(name) {
            Some(peer) if peer.member.incarnation == incarnation => {
                !std::mem::replace(&mut peer.leaving, true)
            }
            _ => false,
        }
    }

    /// Returns whether a peer has announced its shutdown.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.leaving)
    }

    /// Returns the suspicions to send along with a probe.
    pub fn suspicions(&self, now_ms: u64) -> Vec<Suspicion> {
        let timeout_ms = self.timing.suspicion_timeout_ms();
        self.peers
            .values()
            .filter(|peer| !peer.is_live(now_ms))
            .take(MAX_SUSPICIONS)
            .map(|peer| {
                // A leaving peer counts as newly suspected.
                let remaining_ms = match peer.leaving {
                    true => timeout_ms,
                    false => peer.suspected_until_ms - now_ms,
                };
                Suspicion {
                    name: peer.member.name.clone(),
                    incarnation: peer.member.incarnation,
                    age_ms: timeout_ms.saturating_sub(remaining_ms),
                }
            })
            .collect()
    }

    /// Merges a peer's suspicions, except those of this node and those of
    /// earlier incarnations.
    ///
    /// Returns whether any member is newly suspected, which should be passed
    /// on at once.
    pub fn merge_suspicions(
        &mut self,
        suspicions: &[Suspicion],
        now_ms: u64,
    ) -> bool {
        self.merge_suspicions_as_of(suspicions, now_ms, now_ms)
    }

    /// Merges suspicions that a peer sent at `sent_ms`, as
    /// [`Roster::merge_suspicions`] does; they have aged since then.
    pub fn merge_suspicions_as_of(
        &mut self,
        suspicions: &[Suspicion],
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let timeout_ms = self.timing.suspicion_timeout_ms();
        let mut changed = false;
        for suspicion in suspicions {
            let until_ms =
                sent_ms + timeout_ms.saturating_sub(suspicion.age_ms);
            if let Some(peer) = self.peers.get_mut(&suspicion.name)
                && peer.member.incarnation == suspicion.incarnation
                && suspicion.name != self.own
            {
                changed |=
                    peer.suspected_until_ms <= now_ms && until_ms > now_ms;
                peer.suspected_until_ms =
                    peer.suspected_until_ms.max(until_ms);
            }
        }
        changed
    }

    /// Returns the names of the members that are neither suspected nor
    /// leaving, in ascending order.
    pub fn live(&self, now_ms: u64) -> Vec<&str> {
        let mut live: Vec<&str> = self
            .peers
            .iter()
            .filter(|(name, peer)| peer.is_live(now_ms) && **name != self.own)
            .map(|(name, _)| name.as_str())
            .collect();
        if !self.leaving
            && let Err(index) = live.binary_search(&self.own.as_str())
        {
            live.insert(index, &self.own);
        }
        live
    }

    /// Returns whether this node is the first to act on `key` now.
    pub fn is_first(&self, key: &str, now_ms: u64) -> bool {
        first(key, &self.live(now_ms)) == Some(self.own.as_str())
    }
}

/// Whether a node's configuration is known to be current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// The platform or a peer that reaches it confirmed the revision.
    Confirmed,
    /// No member reaches the platform, so none can have accepted a newer
    /// revision.
    PlatformOut,
    /// Another node may have accepted a newer revision: stop serving.
    CutOff,
}

/// Returns whether a node's configuration is known to be current.
///
/// `own_age_ms` is the time since the platform itself confirmed the revision.
/// For each peer, `peers` has the time since its last message and the age of
/// its own confirmation in that message. Confirmations and messages older than
/// `bound_ms` are ignored.
///
/// # Example
///
/// ```
/// use dewspar::member::{Freshness, PeerAge, freshness};
///
/// let reaches = PeerAge { heard_ms: 100, confirmed_ms: Some(300) };
/// let cut = PeerAge { heard_ms: 100, confirmed_ms: None };
/// let silent = PeerAge { heard_ms: 60_000, confirmed_ms: Some(1) };
/// assert_eq!(freshness(9_000, &[reaches], 4_000), Freshness::Confirmed);
/// assert_eq!(freshness(9_000, &[cut], 4_000), Freshness::PlatformOut);
/// assert_eq!(freshness(9_000, &[cut, silent], 4_000), Freshness::CutOff);
/// ```
pub fn freshness(
    own_age_ms: u64,
    peers: &[PeerAge],
    bound_ms: u64,
) -> Freshness {
    let confirmed = peers.iter().any(|peer| {
        peer.confirmed_ms.is_some_and(|age| age + peer.heard_ms <= bound_ms)
    });
    if own_age_ms <= bound_ms || confirmed {
        Freshness::Confirmed
    } else if peers.iter().all(|peer| peer.heard_ms <= bound_ms) {
        Freshness::PlatformOut
    } else {
        Freshness::CutOff
    }
}

/// When a peer last confirmed its configuration with the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerAge {
    /// Milliseconds since the peer's last message.
    pub heard_ms: u64,
    /// The age of the peer's own confirmation in that message, in
    /// milliseconds, if the peer reaches the platform.
    pub confirmed_ms: Option<u64>,
}
