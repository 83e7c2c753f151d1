//! Which callers may use a node's server for peers.

use {
    dewspar::{
        detour::PeerNode,
        peer_access::{
            Admission, KnownPeers, MAX_LIST_AGE_MS, MAX_READ_INTERVAL_MS,
            READ_INTERVAL_MS, RefusalLog,
        },
    },
    std::net::IpAddr,
};

fn offer(address: &str) -> PeerNode {
    PeerNode {
        name: address.to_owned(),
        address: address.to_owned(),
        ..PeerNode::default()
    }
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

fn listed(addresses: &[&str], at_ms: u64) -> KnownPeers {
    let offers: Vec<PeerNode> = addresses.iter().map(|a| offer(a)).collect();
    let mut known = KnownPeers::default();
    known.begin_read(at_ms);
    known.set(&offers, at_ms);
    known
}

/// Guards against a stranger that makes a node read the store with each call,
/// and against one that makes all nodes read it once a second for as long as it
/// calls.
#[test]
fn unknown_addresses_cause_fewer_and_fewer_reads() {
    let mut known = listed(&["10.0.0.1:1"], 0);
    let mut reads = Vec::new();
    for now_ms in 0..55 * READ_INTERVAL_MS {
        let stranger = ip(&format!("10.0.1.{}", now_ms % 200));
        if known.check(stranger, now_ms) == Admission::ReadList {
            known.begin_read(now_ms);
            known.set(&[offer("10.0.0.1:1")], now_ms);
            reads.push(now_ms);
        }
    }
    assert_eq!(reads, [1_000, 3_000, 7_000, 15_000, 31_000]);
    // From then on, they are as far apart as they get.
    let next_ms = 31_000 + MAX_READ_INTERVAL_MS;
    let stranger = ip("10.0.1.1");
    assert_eq!(known.check(stranger, next_ms - 1), Admission::Unknown);
    assert_eq!(known.check(stranger, next_ms), Admission::ReadList);
    // A new node makes reads frequent again.
    known.begin_read(next_ms);
    let offers = [offer("10.0.0.1:1"), offer("10.0.0.2:1")];
    known.set(&offers, next_ms);
    let soon_ms = next_ms + READ_INTERVAL_MS;
    assert_eq!(known.check(stranger, soon_ms - 1), Admission::Unknown);
    assert_eq!(known.check(stranger, soon_ms), Admission::ReadList);
}

/// Guards against nodes that start after a quiet time and wait long for the
/// list, because it was read for its age alone.
#[test]
fn reads_for_the_age_of_the_list_do_not_count() {
    let mut known = listed(&["10.0.0.1:1"], 0);
    let node = ip("10.0.0.1");
    let mut now_ms = 0;
    for _ in 0..10 {
        now_ms += MAX_LIST_AGE_MS;
        assert_eq!(known.check(node, now_ms), Admission::ReadList);
        known.begin_read(now_ms);
        known.set(&[offer("10.0.0.1:1")], now_ms);
    }
    now_ms += READ_INTERVAL_MS;
    assert_eq!(known.check(ip("10.0.0.2"), now_ms), Admission::ReadList);
}

/// Guards against a removed node that keeps its access for as long as it
/// calls.
#[test]
fn a_removed_node_counts_until_the_list_is_too_old() {
    let mut known = listed(&["10.0.0.1:1"], 0);
    let node = ip("10.0.0.1");
    assert_eq!(known.check(node, MAX_LIST_AGE_MS - 1), Admission::Known);
    assert_eq!(known.check(node, MAX_LIST_AGE_MS), Admission::ReadList);
    known.begin_read(MAX_LIST_AGE_MS);
    known.set(&[], MAX_LIST_AGE_MS);
    assert_eq!(known.check(node, MAX_LIST_AGE_MS + 1), Admission::Unknown);
}

/// Guards against nodes that refuse each other because the store is out.
#[test]
fn the_last_list_stays_in_use_while_the_store_cannot_be_read() {
    let mut known = listed(&["10.0.0.1:1"], 0);
    let node = ip("10.0.0.1");
    let later_ms = 5 * MAX_LIST_AGE_MS;
    assert_eq!(known.check(node, later_ms), Admission::ReadList);
    known.begin_read(later_ms);
    assert_eq!(known.check(node, later_ms + 1), Admission::Known);
    assert!(known.contains(node));
}

#[test]
fn addresses_are_compared_in_one_form_and_unusable_ones_are_skipped() {
    let known = listed(&["10.0.0.1:1", "no address", "[::1]:7"], 0);
    assert!(known.contains(ip("::ffff:10.0.0.1")));
    assert!(known.contains(ip("::1")));
    assert!(!known.contains(ip("10.0.0.2")));
}

#[test]
fn refusals_are_logged_once_per_second_with_the_number_of_others() {
    let mut log = RefusalLog::default();
    assert_eq!(log.note(5_000), Some(0));
    assert_eq!(log.note(5_001), None);
    assert_eq!(log.note(5_999), None);
    assert_eq!(log.note(6_000), Some(2));
    assert_eq!(log.note(7_500), Some(0));
}
