//! The number and choice of relays, and how late messages are.

use {
    dewspar::relay::{Lateness, RelayDemand, RelayNode, relay_for},
    quickcheck::quickcheck,
    std::collections::BTreeMap,
};

fn node(name: &str, strength: u64) -> RelayNode {
    RelayNode { name: name.to_owned(), strength, ..RelayNode::default() }
}

fn nodes(count: usize, strength: u64) -> Vec<RelayNode> {
    (0..count).map(|n| node(&format!("athens-{n}"), strength)).collect()
}

/// Returns the number of relays of a node with half a core, for each second of
/// the given rates.
fn relays_over(calls_per_s: &[u64]) -> Vec<usize> {
    let others = nodes(17, 500);
    let mut demand = RelayDemand::default();
    (1_000..)
        .step_by(1_000)
        .zip(calls_per_s)
        .map(|(now_ms, calls)| {
            demand.record(now_ms, *calls);
            demand.relays(now_ms, 500, &others).len()
        })
        .collect()
}

/// The load of a queue has a cycle of 20 s: five seconds at up to five times
/// its mean and 15 s at a twentieth of its peak. The relays of the first peak
/// must be available from the start of the second one.
#[test]
fn relays_are_kept_between_peaks() {
    let cycle = [200, 900, 3_600, 4_000, 4_000]
        .into_iter()
        .chain(std::iter::repeat_n(180, 15));
    let two_cycles: Vec<u64> = cycle.clone().chain(cycle).collect();
    let relays = relays_over(&two_cycles);
    assert_eq!(relays[..5], [0, 0, 3, 4, 4]);
    assert!(relays[5..].iter().all(|relays| *relays == 4), "{relays:?}");
}

#[test]
fn relays_are_released_after_a_minute_without_a_peak() {
    let mut calls = vec![4_000];
    calls.extend(std::iter::repeat_n(100, 70));
    let relays = relays_over(&calls);
    assert_eq!(relays[59], 4);
    assert_eq!(relays[61], 0);
}

#[test]
fn a_node_that_suffices_alone_uses_no_relay() {
    assert!(relays_over(&[2_500; 30]).iter().all(|relays| *relays == 0));
}

#[test]
fn strongest_nodes_are_chosen_first_and_all_if_needed() {
    let mut others = nodes(3, 100);
    others.push(node("athens-strong", 2_000));
    let mut demand = RelayDemand::default();
    demand.record(1_000, 3_000);
    let relays = demand.relays(1_000, 500, &others);
    assert_eq!(relays, [node("athens-strong", 2_000)]);
    demand.record(2_000, 30_000);
    assert_eq!(demand.relays(2_000, 500, &others).len(), 4);
}

fn shares(relays: &[RelayNode]) -> BTreeMap<&str, usize> {
    let mut shares = BTreeMap::new();
    for worker in 0..10_000 {
        let first = relay_for(&format!("worker-{worker}"), relays);
        let name = &relays[first.expect("a relay")].name;
        *shares.entry(name.as_str()).or_default() += 1;
    }
    shares
}

#[test]
fn workers_are_shared_in_proportion_to_strength() {
    let relays = [node("a", 500), node("b", 500), node("c", 1_000)];
    let shares = shares(&relays);
    for (name, expected) in [("a", 2_500), ("b", 2_500), ("c", 5_000)] {
        assert!(shares[name].abs_diff(expected) < 250, "{shares:?}");
    }
}

#[test]
fn no_relay_is_chosen_from_an_empty_list() {
    assert_eq!(relay_for("worker-1", &[]), None);
}

quickcheck! {
    /// When a relay is lost, the workers of other relays keep theirs.
    fn losing_a_relay_moves_only_its_own_workers(
        strengths: Vec<u16>, worker: u32, lost: usize
    ) -> bool {
        let relays: Vec<RelayNode> = strengths
            .iter()
            .enumerate()
            .map(|(n, strength)| node(&format!("n{n}"), u64::from(*strength)))
            .collect();
        let worker = worker.to_string();
        let Some(before) = relay_for(&worker, &relays) else {
            return relays.is_empty();
        };
        let lost = lost % relays.len();
        let mut left = relays.clone();
        left.remove(lost);
        let after = relay_for(&worker, &left).map(|n| left[n].clone());
        before == lost || after.as_ref() == Some(&relays[before])
    }
}

/// For any offset between the clocks of both ends, a message is late by the
/// time that it took longer than the fastest one so far, even if the receiver
/// was suspended before the first one.
#[test]
fn lateness_is_the_excess_over_the_fastest_message() {
    for offset_ms in [0, 7, 1_000_000_000, u64::MAX - 5] {
        let received = |sent_ms: u64, delay_ms: u64| {
            (sent_ms.wrapping_add(offset_ms), sent_ms + delay_ms)
        };
        let (sent_ms, received_ms) = received(10_000, 250);
        let mut lateness = Lateness::new(sent_ms, received_ms);
        let late =
            [(11_000, 300), (12_000, 20), (13_000, 20), (14_000, 4_020)].map(
                |(sent_ms, delay_ms)| {
                    let (sent_ms, received_ms) = received(sent_ms, delay_ms);
                    lateness.of(sent_ms, received_ms)
                },
            );
        assert_eq!(late, [50, 0, 0, 4_000], "{offset_ms} apart");
    }
}

/// Guards against builds that can't read each other's offers: an earlier one
/// writes no hall, and doesn't know the field.
#[test]
fn offers_of_earlier_and_later_builds_are_read() {
    let earlier = r#"{"name":"a","address":"10.0.0.1:1","strength":7}"#;
    let read: RelayNode = serde_json::from_str(earlier).expect("an offer");
    assert_eq!((read.name.as_str(), read.hall.as_str()), ("a", ""));

    /// The offer as builds without halls know it.
    #[derive(serde::Deserialize)]
    struct Earlier {
        name: String,
        strength: u64,
    }
    let written = RelayNode { hall: "h-1".to_owned(), ..read };
    let written = serde_json::to_string(&written).expect("plain JSON");
    let read: Earlier = serde_json::from_str(&written).expect("an offer");
    assert_eq!((read.name.as_str(), read.strength), ("a", 7));
}
