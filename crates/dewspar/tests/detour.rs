//! The choice of paths to the store and of the readers.

use {
    dewspar::detour::{
        OwnPath, Path, PeerNode, READERS, choose_readers, preferred_readers,
    },
    std::collections::{BTreeMap, BTreeSet},
};

fn node(number: usize, strength: u64) -> PeerNode {
    let name = format!("node-{number}");
    PeerNode {
        address: format!("{name}:1"),
        name,
        strength,
        ..PeerNode::default()
    }
}

fn fleet(strong: usize, weak: usize) -> Vec<PeerNode> {
    let strong = (0..strong).map(|number| node(number, 1_000));
    let weak = (0..weak).map(|number| node(1_000 + number, 120));
    strong.chain(weak).collect()
}

fn none() -> BTreeSet<String> {
    BTreeSet::new()
}

#[test]
fn readers_are_the_strongest_and_stay() {
    let offers = fleet(72, 516);
    let readers = choose_readers(&offers, &[], &none());
    assert_eq!(readers.len(), READERS);
    assert!(readers.iter().all(|reader| reader.strength == 1_000));
    let more = fleet(100, 516);
    assert_eq!(choose_readers(&more, &readers, &none()), readers);
}

#[test]
fn failed_readers_are_replaced_and_the_others_stay() {
    let offers = fleet(72, 516);
    let readers = choose_readers(&offers, &[], &none());
    let failed = [readers[0].name.clone()].into();
    let next = choose_readers(&offers, &readers, &failed);
    assert_eq!(next.len(), READERS);
    assert!(!next.contains(&readers[0]));
    assert!(readers[1..].iter().all(|reader| next.contains(reader)));
}

#[test]
fn weak_nodes_read_when_all_strong_ones_are_lost() {
    let offers = fleet(3, 516);
    let failed = offers[..3].iter().map(|node| node.name.clone()).collect();
    let readers = choose_readers(&offers, &offers[..3], &failed);
    assert_eq!(readers.len(), READERS);
    assert!(readers.iter().all(|reader| reader.strength == 120));
}

#[test]
fn nodes_spread_over_the_readers() {
    let offers = fleet(72, 1_128);
    let readers = choose_readers(&offers, &[], &none());
    let mut loads: BTreeMap<String, usize> = BTreeMap::new();
    for node in &offers {
        let first = preferred_readers(&node.name, &readers).remove(0);
        *loads.entry(first.name).or_default() += 1;
    }
    let fair = offers.len() / READERS;
    assert_eq!(loads.len(), READERS);
    assert!(loads.values().all(|load| *load < fair * 3 / 2), "{loads:?}");
}

#[test]
fn tries_of_a_failed_path_become_rare() {
    let mut path = OwnPath::default();
    path.failed(0);
    let mut tries = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        if path.choose(now_ms) == Path::Own {
            tries.push(now_ms);
            path.failed(now_ms);
        }
    }
    assert_eq!(tries[..4], [500, 1_500, 3_500, 7_500]);
    let gaps = tries.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max() <= Some(4_000), "{tries:?}");
}

#[test]
fn failures_at_the_same_time_count_once() {
    let mut path = OwnPath::default();
    for _ in 0..100 {
        path.failed(1_000);
    }
    assert_eq!(path.choose(1_499), Path::Peers);
    assert_eq!(path.choose(1_500), Path::Own);
}

#[test]
fn peers_are_not_tried_again_at_once_in_an_outage_of_the_store() {
    let mut path = OwnPath::default();
    path.failed(0);
    path.peers_failed(0);
    assert_eq!(path.choose(100), Path::Own);
    assert!(!path.may_use_peers(100));
    assert!(path.may_use_peers(500));
}

/// Guards against builds that can't read each other's offers: an earlier one
/// writes no hall, and doesn't know the field.
#[test]
fn offers_of_earlier_and_later_builds_are_read() {
    let earlier = r#"{"name":"a","address":"10.0.0.1:1","strength":7}"#;
    let read: PeerNode = serde_json::from_str(earlier).expect("an offer");
    assert_eq!((read.name.as_str(), read.hall.as_str()), ("a", ""));

    /// The offer as builds without halls know it.
    #[derive(serde::Deserialize)]
    struct Earlier {
        name: String,
        strength: u64,
    }
    let written = PeerNode { hall: "h-1".to_owned(), ..read };
    let written = serde_json::to_string(&written).expect("plain JSON");
    let read: Earlier = serde_json::from_str(&written).expect("an offer");
    assert_eq!((read.name.as_str(), read.strength), ("a", 7));
}
