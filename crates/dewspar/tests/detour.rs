//! The choice of paths to the store and of the readers.

use {
    dewspar::detour::{
        OwnPath, Path, PeerNode, READERS, choose_readers,
        choose_readers_across_halls, preferred_readers, second_observers,
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
        let first = preferred_readers(&node.name, "", &readers).remove(0);
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

/// The nodes of three halls, two strong ones in each.
fn halls() -> Vec<PeerNode> {
    (0..34)
        .map(|number| PeerNode {
            hall: format!("hall-{}", number % 3),
            ..node(number, if number < 6 { 1_000 } else { 120 })
        })
        .collect()
}

fn readers_in(readers: &[PeerNode], hall: &str) -> usize {
    readers.iter().filter(|reader| reader.hall == hall).count()
}

/// Guards against a hall whose loss takes most readers.
#[test]
fn no_hall_has_more_than_an_even_share_of_the_readers() {
    let offers = halls();
    let readers = choose_readers_across_halls(&offers, &[], &none());
    assert_eq!(readers.len(), READERS);
    for hall in ["hall-0", "hall-1", "hall-2"] {
        assert!((2..=3).contains(&readers_in(&readers, hall)));
    }
    let strong = readers.iter().filter(|r| r.strength == 1_000).count();
    assert_eq!(strong, 6);
    let again = choose_readers_across_halls(&offers, &readers, &none());
    assert_eq!(again, readers);
}

#[test]
fn the_readers_of_a_lost_hall_are_replaced_by_even_shares_of_the_others() {
    let offers = halls();
    let before = choose_readers_across_halls(&offers, &[], &none());
    let lost: BTreeSet<String> = offers
        .iter()
        .filter(|node| node.hall == "hall-0")
        .map(|node| node.name.clone())
        .collect();
    let readers = choose_readers_across_halls(&offers, &before, &lost);
    assert_eq!(readers_in(&readers, "hall-1"), 4);
    assert_eq!(readers_in(&readers, "hall-2"), 4);
}

#[test]
fn nodes_of_earlier_builds_count_as_one_hall() {
    let readers = choose_readers_across_halls(&fleet(72, 0), &[], &none());
    assert_eq!(readers, choose_readers(&fleet(72, 0), &[], &none()));
}

#[test]
fn a_node_prefers_the_readers_of_its_own_hall() {
    let readers = choose_readers_across_halls(&halls(), &[], &none());
    let preferred = preferred_readers("node-33", "hall-0", &readers);
    let own = readers_in(&readers, "hall-0");
    assert_eq!(readers_in(&preferred[..own], "hall-0"), own);
    assert_eq!(preferred.len(), readers.len());
}

/// Guards against an observer that shares the path of the first one, and
/// against asking the silent reader itself.
#[test]
fn a_second_observer_is_in_another_hall_than_the_first() {
    let readers = choose_readers_across_halls(&halls(), &[], &none());
    let silent = readers.iter().find(|r| r.hall == "hall-1").expect("one");
    let observers = second_observers("hall-0", silent, &readers);
    assert_eq!(observers[0].hall, "hall-2");
    assert!(observers.iter().all(|node| node.hall != "hall-0"));
    assert!(!observers.contains(&silent));
    let of_own = [readers[0].clone()];
    let own_hall = of_own[0].hall.clone();
    assert!(second_observers(&own_hall, silent, &of_own).is_empty());
}

/// Guards against an upgrade that adds a field to the offers and so has all
/// readers chosen afresh.
#[test]
fn readers_stay_when_their_offers_name_a_hall() {
    let offers = fleet(72, 0);
    // Not those that would be chosen without former readers.
    let first = choose_readers(&offers, &[], &none());
    let failed = first.iter().map(|reader| reader.name.clone()).collect();
    let former = choose_readers(&offers, &first, &failed);
    assert_ne!(former, first);
    let upgraded: Vec<PeerNode> = offers
        .into_iter()
        .map(|offer| PeerNode { hall: "hall-1".to_owned(), ..offer })
        .collect();
    let names = |readers: &[PeerNode]| -> Vec<String> {
        readers.iter().map(|reader| reader.name.clone()).collect()
    };
    let readers = choose_readers(&upgraded, &former, &none());
    assert_eq!(names(&readers), names(&former));
    let readers = choose_readers_across_halls(&upgraded, &former, &none());
    assert_eq!(names(&readers), names(&former));
}
