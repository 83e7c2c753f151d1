/*!
Notices that this node is cut off together with its data hall, and keeps its
readiness and its gate to the store up to date; [`dewspar::isolation`] decides.
*/

use {
    super::gate::StoreGate,
    crate::{clock, counters},
    dewspar::isolation::{Change, Isolation, Paths},
    dewspar_platform::{KeyValue, PeerRoutes, is_peer_alive},
    slog::{Logger, info, warn},
    std::{net::IpAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// How often the state of the paths is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a peer in another hall may take to answer a check: many times the
/// round trip between halls.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// How many peers in other halls are checked at a time, if there are as many;
/// more if there are more halls.
const MIN_CHECKED: usize = 3;

/// Since when this node is isolated, on the steady clock; `None` if it isn't.
pub(super) type IsolatedSince = watch::Receiver<Option<u64>>;

/// Watches the paths to the store until the node stops.
pub(super) async fn watch_paths<K: KeyValue>(
    routes: PeerRoutes,
    own_hall: String,
    gate: StoreGate<K>,
    isolated_since: watch::Sender<Option<u64>>,
    stopping: watch::Receiver<bool>,
    log: Logger,
) {
    let mut isolation = Isolation::default();
    while !*stopping.borrow() {
        sleep(LOOK_INTERVAL).await;
        let before = isolation.since_ms();
        let far = routes.peers_outside(&own_hall, MIN_CHECKED);
        let status = routes.status();
        let paths = Paths {
            own_path_failed: status.own_path_failed,
            carried_calls: status.forwarded_calls + status.shared_reads,
            has_far_peers: !far.is_empty(),
        };
        if isolation.needs_check(paths, clock::now_ms()) {
            let answered = is_any_alive(&far, routes.source()).await;
            let change = isolation.checked(answered, clock::now_ms());
            if change == Change::Isolated {
                counters::count(counters::ISOLATIONS);
                warn!(log, "node: cut off with its hall, refuses calls";
                    "hall" => &own_hall, "checked" => far.len());
            }
        }
        let since_ms = isolation.since_ms();
        if since_ms == before {
            continue;
        }
        if let (Some(before_ms), None) = (before, since_ms) {
            info!(log, "node: no longer cut off"; "hall" => &own_hall,
                "for_ms" => clock::now_ms().saturating_sub(before_ms));
        }
        isolated_since.send_replace(since_ms);
        gate.set_isolated(since_ms.is_some());
    }
}

/// Returns whether any of these peers answers a check.
async fn is_any_alive(peers: &[String], source: Option<IpAddr>) -> bool {
    let checks = peers.iter().map(|p| is_peer_alive(p, source, CHECK_TIMEOUT));
    let checked = futures_util::future::join_all(checks).await;
    checked.into_iter().any(|is_alive| is_alive)
}
