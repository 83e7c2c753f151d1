//! What control across halls costs, by counts at the size of the largest fleet
//! and at twice that. `docs/CAPACITY.md` has these figures.

use dewspar::{
    detour::PeerNode,
    hall_routes::{Choice, HallRoutes},
    peer_access::{Admission, KnownPeers},
    relay::{RelayNode, standby_relays},
};

const SIZES: [usize; 2] = [588, 1_176];

fn peers(nodes: usize) -> Vec<PeerNode> {
    let peer = |number: usize| PeerNode {
        name: format!("entry-{number:04}"),
        hall: format!("hall-{}", number % 3),
        address: format!("10.{}.{}.7:17001", number / 250, number % 250),
        strength: 120,
    };
    (0..nodes).map(peer).collect()
}

fn json_bytes(values: &impl serde::Serialize) -> usize {
    serde_json::to_string(values).expect("plain JSON").len()
}

/// The lists that a reader and a holder read, in bytes of their values.
#[test]
fn offers_take_less_than_100_bytes_a_node() {
    for nodes in SIZES {
        let bytes = json_bytes(&peers(nodes));
        assert!(bytes <= 100 * nodes, "{bytes} bytes at {nodes}");
    }
}

/// Calls of all nodes at a reader cause one read of the list a minute, however
/// many nodes there are; a stranger causes one a second at most.
#[test]
fn reads_of_the_list_do_not_grow_with_the_nodes() {
    for nodes in SIZES {
        let peers = peers(nodes);
        let callers: Vec<std::net::IpAddr> = peers
            .iter()
            .map(|p| p.address.parse::<std::net::SocketAddr>())
            .map(|address| address.expect("an address").ip())
            .collect();
        let mut known = KnownPeers::default();
        let mut reads = 0;
        for now_ms in (0..600_000).step_by(1_000) {
            for caller in &callers {
                if known.check(*caller, now_ms) == Admission::ReadList {
                    known.begin_read(now_ms);
                    known.set(&peers, now_ms);
                    reads += 1;
                }
            }
        }
        assert_eq!(reads, 10, "in ten minutes, at {nodes}");
    }
}

/// The holder keeps one link for each other hall, whatever the size.
#[test]
fn standby_links_do_not_grow_with_the_nodes() {
    for nodes in SIZES {
        let relays: Vec<RelayNode> = peers(nodes)
            .into_iter()
            .map(|peer| RelayNode {
                name: peer.name,
                hall: peer.hall,
                address: peer.address,
                strength: peer.strength,
            })
            .collect();
        assert_eq!(standby_relays("hall-0", &relays).len(), 2);
    }
}

/// In a half-cut, the first answer over the third hall moves all workers of the
/// hall, so the orders that go unanswered don't grow with its workers beyond
/// those that were under way.
#[test]
fn a_half_cut_is_found_with_one_probe() {
    for workers in [2_000, 4_000] {
        let mut routes = HallRoutes::default();
        routes.answered("a", "b", "w-0", 1_000);
        for number in 0..workers {
            let worker = format!("w-{number}");
            routes.unanswered("a", "b", &worker, 1_010, 1_300);
        }
        let way = |routes: &mut HallRoutes, worker: &str, now_ms| {
            routes.choose("b", worker, true, "a", &["c"], now_ms)
        };
        assert_eq!(way(&mut routes, "w-7", 1_301), Choice::Over(0));
        assert!(routes.answered("c", "b", "w-7", 1_310).is_some());
        let indirect = (0..workers).filter(|number| {
            way(&mut routes, &format!("w-{number}"), 1_311) == Choice::Over(0)
        });
        assert_eq!(indirect.count(), workers);
    }
}
