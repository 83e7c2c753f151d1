//! Rendezvous hashing, probe targets and suspicion for several roster sizes.

use dewspar::member::{Member, Roster, Timing, first, ranked};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n:03}")).collect()
}

fn roster(own: &str, count: usize) -> Roster {
    let mut roster = Roster::new(own, Timing::default());
    let members = names(count);
    roster.set_members(
        members.iter().map(|name| Member::new(name, 1, "hall")),
        0,
    );
    roster
}

#[test]
fn loss_of_a_node_moves_only_what_it_was_first_for() {
    let names = names(20);
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let rest: Vec<&str> = all[1..].to_vec();
    for key in (0..500).map(|n| format!("pool/{n}")) {
        let before = first(&key, &all).expect("a first");
        let after = first(&key, &rest).expect("a first");
        let order = ranked(&key, &all);
        assert_eq!(order[0], before);
        if before == all[0] {
            assert_eq!(after, order[1], "the next in rank takes over");
        } else {
            assert_eq!(after, before);
        }
    }
}

#[test]
fn first_ranks_are_spread_evenly() {
    let names = names(10);
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut counts = [0_u32; 10];
    for key in (0..10_000).map(|n| format!("key/{n}")) {
        let node = first(&key, &all).expect("a first");
        let index = all.iter().position(|name| *name == node);
        counts[index.expect("listed")] += 1;
    }
    assert!(counts.iter().all(|count| (800..1_200).contains(count)));
}

#[test]
fn probes_carry_an_update_to_every_node_within_seven_hops() {
    for count in [4, 6, 16, 70] {
        let names = names(count);
        let targets: Vec<Vec<usize>> = names
            .iter()
            .map(|own| {
                let targets = roster(own, count).probe_targets();
                assert!(targets.len() <= 3);
                let index = |member: &Member| {
                    names.iter().position(|n| n == member.name())
                };
                targets.iter().filter_map(index).collect()
            })
            .collect();
        // A probe carries updates in both directions.
        let mut informed = vec![false; count];
        informed[0] = true;
        let mut hops = 0;
        while informed.iter().any(|informed| !informed) {
            let before = informed.clone();
            for (node, targets) in targets.iter().enumerate() {
                for target in targets {
                    informed[*target] |= before[node];
                    informed[node] |= before[*target];
                }
            }
            hops += 1;
            assert!(hops <= 7, "{count} nodes take more than 7 hops");
        }
    }
}

#[test]
fn every_node_is_probed_by_as_many_as_it_probes() {
    let count = 70;
    let names = names(count);
    let mut probed = vec![0; count];
    for own in &names {
        for target in roster(own, count).probe_targets() {
            let index = names.iter().position(|n| n == target.name());
            probed[index.expect("listed")] += 1;
        }
    }
    assert!(probed.iter().all(|times| *times == 3), "{probed:?}");
}

#[test]
fn suspicion_expires_unless_repeated() {
    let mut sender = roster("entry-000", 4);
    let mut receiver = roster("entry-001", 4);
    for now_ms in [500, 1_000, 1_500] {
        sender.probe_failed("entry-002", now_ms);
    }
    assert!(!sender.live(1_500).contains(&"entry-002"));
    let changed = receiver.merge_suspicions(&sender.suspicions(1_500), 1_510);
    assert!(changed);
    assert!(!receiver.live(1_510).contains(&"entry-002"));
    // A repeated suspicion isn't new, and it expires after a while.
    assert!(!receiver.merge_suspicions(&sender.suspicions(1_500), 1_520));
    assert!(receiver.live(6_000).contains(&"entry-002"));
}

/// A node that was suspended reads suspicions that a peer sent before. Their
/// age includes the time of the suspension.
#[test]
fn suspicion_read_late_counts_from_when_it_was_sent() {
    let mut sender = roster("entry-000", 4);
    for now_ms in [500, 1_000, 1_500] {
        sender.probe_failed("entry-002", now_ms);
    }
    let suspicions = sender.suspicions(1_500);
    let mut receiver = roster("entry-001", 4);
    assert!(
        !receiver.merge_suspicions_as_of(&suspicions, 1_500, 9_000),
        "expired by now"
    );
    assert!(receiver.live(9_000).contains(&"entry-002"));

    let mut receiver = roster("entry-001", 4);
    assert!(receiver.merge_suspicions_as_of(&suspicions, 1_500, 3_000));
    assert!(!receiver.live(3_000).contains(&"entry-002"));
    assert!(receiver.live(3_500).contains(&"entry-002"));
}

#[test]
fn suspicion_of_an_old_incarnation_is_ignored() {
    let mut node = roster("entry-000", 3);
    for now_ms in [500, 1_000, 1_500] {
        node.probe_failed("entry-002", now_ms);
    }
    let old = node.suspicions(1_500);
    let members = ["entry-000", "entry-001"]
        .map(|name| Member::new(name, 1, "hall"))
        .into_iter()
        .chain([Member::new("entry-002", 2, "hall")]);
    node.set_members(members, 1_600);
    assert!(node.live(1_600).contains(&"entry-002"));
    node.merge_suspicions(&old, 1_700);
    assert!(node.live(1_700).contains(&"entry-002"));
}

#[test]
fn leaving_node_is_not_live() {
    let mut node = roster("entry-000", 3);
    assert!(node.mark_leaving("entry-001", 1));
    assert!(!node.mark_leaving("entry-001", 1), "not new");
    assert_eq!(node.live(0), ["entry-000", "entry-002"]);
    node.leave();
    assert_eq!(node.live(0), ["entry-002"]);
}
