//! When a node counts as cut off with its data hall.

use dewspar::isolation::{Change, Isolation, Paths, retry_after_ms};

fn failing(carried_calls: u64) -> Paths {
    Paths { own_path_failed: true, carried_calls, has_far_peers: true }
}

/// Guards against a node that refuses callers although peers serve it, as all
/// nodes are while the store refuses most of them.
#[test]
fn a_node_whose_calls_peers_carry_checks_nobody() {
    let mut isolation = Isolation::default();
    let checks = (1..1_000u64).filter(|number| {
        isolation.needs_check(failing(*number), number * 100)
    });
    assert_eq!(checks.count(), 0);
}

/// Guards against an outage of the store that takes all nodes out of service
/// at once, or makes them check each other all the time.
#[test]
fn a_node_that_reaches_far_peers_is_not_isolated() {
    let mut isolation = Isolation::default();
    let mut checks = 0;
    for now_ms in (1_000..61_000).step_by(100) {
        if isolation.needs_check(failing(0), now_ms) {
            checks += 1;
            assert_eq!(isolation.checked(true, now_ms), Change::Unchanged);
        }
        assert!(!isolation.is_isolated());
    }
    assert!(checks <= 20, "{checks} checks in a minute");
}

/// Guards against callers that wait for their deadlines at a cut-off node.
#[test]
fn one_check_without_an_answer_isolates_until_a_path_works() {
    let mut isolation = Isolation::default();
    assert!(isolation.needs_check(failing(0), 1_000));
    assert_eq!(isolation.checked(false, 1_300), Change::Isolated);
    assert_eq!(isolation.since_ms(), Some(1_300));
    assert!(!isolation.needs_check(failing(0), 1_400));
    assert!(isolation.needs_check(failing(0), 1_800));
    assert_eq!(isolation.checked(false, 2_100), Change::Unchanged);
    assert!(isolation.needs_check(failing(0), 2_600));
    let connected = Change::Connected { isolated_for_ms: 1_400 };
    assert_eq!(isolation.checked(true, 2_700), connected);
    assert!(!isolation.is_isolated());
}

#[test]
fn a_call_that_a_peer_carries_ends_the_isolation() {
    let mut isolation = Isolation::default();
    assert!(isolation.needs_check(failing(0), 1_000));
    isolation.checked(false, 1_300);
    assert!(isolation.is_isolated());
    assert!(!isolation.needs_check(failing(1), 1_400));
    assert!(!isolation.is_isolated());
}

/// Guards against a conclusion without evidence: a node that knows no peer in
/// another hall goes by the age of its configuration, as before.
#[test]
fn a_node_without_far_peers_is_never_isolated() {
    let mut isolation = Isolation::default();
    let paths = Paths { has_far_peers: false, ..failing(0) };
    assert!(!isolation.needs_check(paths, 60_000));
    assert!(!isolation.is_isolated());
}

#[test]
fn callers_come_again_once_the_load_balancer_passes_the_node_over() {
    assert_eq!(retry_after_ms(10_000, 10_000), 2_000);
    assert_eq!(retry_after_ms(10_000, 10_600), 1_400);
    assert_eq!(retry_after_ms(10_000, 30_000), 1_000);
}
