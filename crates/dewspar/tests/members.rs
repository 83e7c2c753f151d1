//! Membership: ranks, targets and suspicion at several sizes.

use dewspar::member::{Member, Roster, Timing, first, ranked};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n:03}")).collect()
}

fn roster(own: &str, count: usize) -> Roster {
    let mut roster = Roster::new(own, Timing::default());
    let members = names(count);
    roster.list(members.iter().map(|name| Member::new(name, 1, "hall")), 0);
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
fn firsts_are_spread_evenly() {
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
fn news_reaches_everyone_over_the_probes() {
    for count in [4, 6, 16, 70] {
        let names = names(count);
        let targets: Vec<Vec<usize>> = names
            .iter()
            .map(|own| {
                let targets = roster(own, count).targets();
                assert!(targets.len() <= 3);
                let index = |member: &Member| {
                    names.iter().position(|n| n == member.name())
                };
                targets.iter().filter_map(index).collect()
            })
            .collect();
        // A probe carries news both ways.
        let mut told = vec![false; count];
        told[0] = true;
        let mut hops = 0;
        while told.iter().any(|told| !told) {
            let before = told.clone();
            for (node, targets) in targets.iter().enumerate() {
                for target in targets {
                    told[*target] |= before[node];
                    told[node] |= before[*target];
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
        for target in roster(own, count).targets() {
            let index = names.iter().position(|n| n == target.name());
            probed[index.expect("listed")] += 1;
        }
    }
    assert!(probed.iter().all(|times| *times == 3), "{probed:?}");
}

#[test]
fn suspicion_is_forgotten_when_nobody_repeats_it() {
    let mut one = roster("entry-000", 4);
    let mut two = roster("entry-001", 4);
    for now_ms in [500, 1_000, 1_500] {
        one.probe_failed("entry-002", now_ms);
    }
    assert!(!one.live(1_500).contains(&"entry-002"));
    let news = two.hear(&one.suspicions(1_500), 1_510);
    assert!(news);
    assert!(!two.live(1_510).contains(&"entry-002"));
    // Heard again it is no news, and after a while it is forgotten.
    assert!(!two.hear(&one.suspicions(1_500), 1_520));
    assert!(two.live(6_000).contains(&"entry-002"));
}

/// A node that was suspended reads what a peer suspected before: it has aged
/// as long as the node slept.
#[test]
fn suspicion_that_is_read_late_is_as_old_as_it_is() {
    let mut one = roster("entry-000", 4);
    for now_ms in [500, 1_000, 1_500] {
        one.probe_failed("entry-002", now_ms);
    }
    let suspicions = one.suspicions(1_500);
    let mut two = roster("entry-001", 4);
    assert!(!two.hear_as_of(&suspicions, 1_500, 9_000), "forgotten by now");
    assert!(two.live(9_000).contains(&"entry-002"));

    let mut two = roster("entry-001", 4);
    assert!(two.hear_as_of(&suspicions, 1_500, 3_000));
    assert!(!two.live(3_000).contains(&"entry-002"));
    assert!(two.live(3_500).contains(&"entry-002"));
}

#[test]
fn fresh_process_is_not_suspected_for_its_predecessor() {
    let mut one = roster("entry-000", 3);
    for now_ms in [500, 1_000, 1_500] {
        one.probe_failed("entry-002", now_ms);
    }
    let old = one.suspicions(1_500);
    let members = ["entry-000", "entry-001"]
        .map(|name| Member::new(name, 1, "hall"))
        .into_iter()
        .chain([Member::new("entry-002", 2, "hall")]);
    one.list(members, 1_600);
    assert!(one.live(1_600).contains(&"entry-002"));
    one.hear(&old, 1_700);
    assert!(one.live(1_700).contains(&"entry-002"));
}

#[test]
fn node_that_leaves_acts_first_no_more() {
    let mut one = roster("entry-000", 3);
    assert!(one.peer_leaves("entry-001", 1));
    assert!(!one.peer_leaves("entry-001", 1), "that is no news");
    assert_eq!(one.live(0), ["entry-000", "entry-002"]);
    one.leave();
    assert_eq!(one.live(0), ["entry-002"]);
}
