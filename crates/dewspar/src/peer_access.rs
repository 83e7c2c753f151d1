/*!
Who may use a node's server for peers.

A node forwards calls to the store for other nodes only. It recognizes them by
their IP addresses, which the offers in the store contain. [`KnownPeers`] holds
these addresses and decides when the offers are read again: when an unknown
address calls, because a node may have started meanwhile, and when the list is
older than [`MAX_LIST_AGE_MS`], because an offer may have been deleted. Nodes
don't delete their offers, so a former node counts until someone else does.
There is at most one read per [`READ_INTERVAL_MS`], however many unknown
addresses call, and half as many after each read that brought no new address,
down to one per [`MAX_READ_INTERVAL_MS`]: one host that isn't listed may call
all nodes. If the store can't be read, the last list stays in use.

[`RefusalLog`] limits the log lines about refused calls.

# Example

```
use dewspar::{
    detour::PeerNode,
    peer_access::{Admission, KnownPeers},
};

let offer = PeerNode {
    name: "athens-1".to_owned(),
    address: "10.0.0.1:7000".to_owned(),
    ..PeerNode::default()
};
let caller = "10.0.0.1".parse().unwrap();
let mut known = KnownPeers::default();
assert_eq!(known.check(caller, 0), Admission::ReadList);
known.begin_read(0);
known.set(&[offer], 0);
assert_eq!(known.check(caller, 500), Admission::Known);
let stranger = "10.0.0.9".parse().unwrap();
assert_eq!(known.check(stranger, 500), Admission::Unknown);
assert_eq!(known.check(stranger, 1_000), Admission::ReadList);
```
*/

use {
    crate::detour::PeerNode,
    std::{
        collections::BTreeSet,
        net::{IpAddr, SocketAddr},
    },
};

/// The shortest time between two reads of the list, in milliseconds.
pub const READ_INTERVAL_MS: u64 = 1_000;

/// The longest time for which unknown addresses cause no read, in milliseconds.
/// A node that starts while a stranger calls waits as long for its first calls
/// over peers.
pub const MAX_READ_INTERVAL_MS: u64 = 30_000;

/// The age from which the list is read again for any caller, in milliseconds.
/// It bounds how long a deleted offer counts while the store answers. At 588
/// nodes one read takes some 70 kB, so a reader spends about 1 kB/s on it.
pub const MAX_LIST_AGE_MS: u64 = 60_000;

/// The shortest time between two log lines about refused calls, in
/// milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Whether a caller's calls are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The list has the caller's address.
    Known,
    /// The list was read recently and lacks the caller's address.
    Unknown,
    /// The list has to be read first.
    ReadList,
}

/// The IP addresses of the nodes that offer to forward calls.
#[derive(Clone, Debug)]
pub struct KnownPeers {
    addresses: BTreeSet<IpAddr>,
    servers: BTreeSet<SocketAddr>,
    /// When the list in use was requested.
    listed_ms: Option<u64>,
    /// When a read last began, whatever its result.
    read_began_ms: Option<u64>,
    /// The shortest time between two reads that unknown addresses cause.
    unknown_interval_ms: u64,
}

impl Default for KnownPeers {
    fn default() -> KnownPeers {
        KnownPeers {
            addresses: BTreeSet::new(),
            servers: BTreeSet::new(),
            listed_ms: None,
            read_began_ms: None,
            unknown_interval_ms: READ_INTERVAL_MS,
        }
    }
}

impl KnownPeers {
    /// Decides about a caller, at a time in milliseconds of a steady clock.
    pub fn check(&self, caller: IpAddr, now_ms: u64) -> Admission {
        let is_known = self.contains(caller);
        if is_known && self.is_list_recent(now_ms) {
            return Admission::Known;
        }
        let interval_ms =
            if is_known { READ_INTERVAL_MS } else { self.unknown_interval_ms };
        let is_read_recent = |at_ms: u64| now_ms < at_ms + interval_ms;
        match (is_known, self.read_began_ms.is_some_and(is_read_recent)) {
            (_, false) => Admission::ReadList,
            (true, true) => Admission::Known,
            (false, true) => Admission::Unknown,
        }
    }

    fn is_list_recent(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + MAX_LIST_AGE_MS;
        self.listed_ms.is_some_and(is_recent)
    }

    /// Returns whether the list in use has a caller's address.
    pub fn contains(&self, caller: IpAddr) -> bool {
        self.addresses.contains(&caller.to_canonical())
    }

    /// Returns whether there is a list, and it lacks a caller's address.
    pub fn lacks(&self, caller: IpAddr) -> bool {
        self.listed_ms.is_some() && !self.contains(caller)
    }

    /// Returns whether a node in the list serves its peers at this address.
    pub fn is_server(&self, address: SocketAddr) -> bool {
        self.servers.contains(&address)
    }

    /// Records that a read of the list begins.
    pub fn begin_read(&mut self, now_ms: u64) {
        self.read_began_ms = Some(now_ms);
        // Otherwise its age is a reason for the read, or there is none yet.
        if self.is_list_recent(now_ms) {
            let doubled_ms = 2 * self.unknown_interval_ms;
            self.unknown_interval_ms = doubled_ms.min(MAX_READ_INTERVAL_MS);
        }
    }

    /// Replaces the list by these offers, which were requested at that time.
    /// An offer whose address isn't an IP address with a port is skipped.
    pub fn set(&mut self, offers: &[PeerNode], requested_ms: u64) {
        let addresses = offers.iter().map(|offer| offer.address.parse());
        self.servers = addresses.filter_map(Result::ok).collect();
        let ips = self.servers.iter().map(|server| server.ip().to_canonical());
        let addresses: BTreeSet<IpAddr> = ips.collect();
        if !addresses.is_subset(&self.addresses) {
            self.unknown_interval_ms = READ_INTERVAL_MS;
        }
        self.addresses = addresses;
        self.listed_ms = Some(requested_ms);
    }
}

/// Limits the log lines about refused calls to one per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalLog {
    next_line_ms: u64,
    unlogged: u64,
}

impl RefusalLog {
    /// Records a refusal. If a line may be logged now, returns the number of
    /// refusals before this one that were not logged.
    pub fn note(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms < self.next_line_ms {
            self.unlogged += 1;
            return None;
        }
        self.next_line_ms = now_ms + LOG_INTERVAL_MS;
        Some(std::mem::take(&mut self.unlogged))
    }
}
