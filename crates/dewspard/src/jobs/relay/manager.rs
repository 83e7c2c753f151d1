/*!
The holder's choice of relays, kept up to date. The rate of orders determines
how many relays are wanted, the store lists the nodes that offer to relay, and
the links show which of them work.
*/

use {
    super::{hall_links::HallLinks, link::RelayLink, workers::RelayedWorkers},
    crate::{clock, counters, passed_over},
    dewspar::relay::{RelayDemand, RelayNode, standby_relays},
    dewspar_platform::{Error, KeyValue, Traffic, Versioned},
    metrics::gauge,
    slog::{Logger, info, warn},
    std::{collections::HashMap, io, sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// How often the order rate and the open links are checked, in milliseconds:
/// long enough that a short burst doesn't count as a peak, and short enough to
/// replace a lost relay soon.
const CHECK_INTERVAL_MS: u64 = 250;

/// How long the list of nodes that offer to relay is reused, in milliseconds:
/// nodes come and go over minutes, and each entry takes some hundred bytes.
const OFFERS_TTL_MS: u64 = 5_000;

/// How long that list is reused for links to other halls, in milliseconds: they
/// are only needed when halls can't reach each other, and one read takes some
/// 70 kB at 588 nodes.
const STANDBY_OFFERS_TTL_MS: u64 = 30_000;

/// How long a node that was unreachable or lost isn't tried again, in
/// milliseconds: about the time that a process takes to restart.
const RECONNECT_DELAY_MS: u64 = 3_000;

/// The parameters of the task that manages relays.
pub(in super::super) struct RelayManager<K, W> {
    /// The store, and the prefix of the keys under which nodes offer to relay.
    pub(in super::super) store: K,
    pub(in super::super) offers_prefix: &'static str,
    /// This node's name.
    pub(in super::super) node: String,
    pub(in super::super) strength: u64,
    pub(in super::super) lease_revision: u64,
    pub(in super::super) workers: RelayedWorkers<W>,
    /// The data hall that this node is in.
    pub(in super::super) hall: String,
    /// Counts the traffic of this node's calls.
    pub(in super::super) traffic: Traffic,
    pub(in super::super) log: Logger,
}

/// The nodes that offer to relay.
#[derive(Debug, Default)]
struct Offers {
    nodes: Vec<RelayNode>,
    read_ms: Option<u64>,
    /// When a read last failed.
    failed_ms: Option<u64>,
    /// When each node may be tried again, for those that can't be tried now.
    avoided: HashMap<String, u64>,
    /// The same for whole halls, to which a standby link couldn't be opened.
    avoided_halls: HashMap<String, u64>,
}

impl Offers {
    fn is_stale(&self, now_ms: u64) -> bool {
        self.is_older_than(OFFERS_TTL_MS, now_ms)
    }

    fn is_older_than(&self, age_ms: u64, now_ms: u64) -> bool {
        self.read_ms.is_none_or(|read_ms| now_ms >= read_ms + age_ms)
    }

    /// Returns whether the list must be read for links to other halls: rarely,
    /// and not all the time in an outage of the store.
    fn is_stale_for_standby(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + RECONNECT_DELAY_MS;
        self.is_older_than(STANDBY_OFFERS_TTL_MS, now_ms)
            && !self.failed_ms.is_some_and(is_recent)
    }

    fn avoid_hall(&mut self, hall: &str, now_ms: u64) {
        let until_ms = now_ms + RECONNECT_DELAY_MS;
        self.avoided_halls.insert(hall.to_owned(), until_ms);
    }

    fn avoid(&mut self, node: &str, now_ms: u64) {
        self.avoided.insert(node.to_owned(), now_ms + RECONNECT_DELAY_MS);
    }

    /// Returns the nodes that may be tried now.
    fn usable(&mut self, now_ms: u64) -> Vec<RelayNode> {
        self.avoided.retain(|_, until_ms| now_ms < *until_ms);
        self.avoided_halls.retain(|_, until_ms| now_ms < *until_ms);
        let usable = |n: &&RelayNode| !self.avoided.contains_key(&n.name);
        self.nodes.iter().filter(usable).cloned().collect()
    }
}

/// Links that are being opened, with the nodes that they lead to.
type OpeningLinks = JoinSet<(RelayNode, io::Result<Arc<RelayLink>>)>;

/// Manages the relays for as long as the lease is held.
pub(in super::super) async fn manage<K: KeyValue, W>(
    manager: RelayManager<K, W>,
) {
    let _close_links = CloseLinksOnDrop(&manager.workers);
    let mut demand = RelayDemand::default();
    let mut offers = Offers::default();
    let (mut seen_orders, mut checked_ms) =
        (manager.workers.orders_sent(), clock::now_ms());
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now_ms = clock::now_ms();
        let sent = manager.workers.orders_sent() - seen_orders;
        seen_orders += sent;
        let took_ms = now_ms.saturating_sub(checked_ms).max(1);
        checked_ms = now_ms;
        demand.record(now_ms, sent * 1_000 / took_ms);
        manager.update_links(&demand, &mut offers, now_ms).await;
        if let Some(halls) = manager.workers.halls() {
            manager.update_standby(halls, &mut offers, now_ms).await;
        }
    }
}

/// Closes every link when the lease ends, in whatever way it ends.
struct CloseLinksOnDrop<'a, W>(&'a RelayedWorkers<W>);

impl<W> Drop for CloseLinksOnDrop<'_, W> {
    fn drop(&mut self) {
        for link in
            self.0.links().iter().chain(&self.0.pending_links().take_all())
        {
            link.abandon();
        }
        self.0.set_links(Vec::new());
        if let Some(halls) = self.0.halls() {
            for link in halls.standby() {
                link.abandon();
            }
            halls.set_standby(Vec::new());
        }
    }
}

impl<K: KeyValue, W> RelayManager<K, W> {
    async fn update_links(
        &self,
        demand: &RelayDemand,
        offers: &mut Offers,
        now_ms: u64,
    ) {
        let (open, lost): (Vec<_>, Vec<_>) =
            self.workers.links().into_iter().partition(|link| link.is_open());
        if !lost.is_empty() {
            self.workers.set_links(open.clone());
        }
        for link in &lost {
            link.retire();
            offers.avoid(&link.node.name, now_ms);
            info!(self.log, "relay: lost"; "relay" => &link.node.name);
            counters::count(counters::RELAYS_LOST);
        }
        if demand.relays(now_ms, self.strength, &[self.own_node()]).is_empty()
        {
            if !open.is_empty() {
                self.switch_links(Vec::new(), &open);
            }
            return;
        }
        if offers.is_stale(now_ms) {
            self.read_offers(offers, now_ms).await;
        }
        let usable = offers.usable(now_ms);
        let wanted = demand.relays(now_ms, self.strength, &usable);
        self.connect_wanted(wanted, open, offers, now_ms).await;
    }

    /// Keeps a link to a relay in each other hall.
    async fn update_standby(
        &self,
        halls: &HallLinks,
        offers: &mut Offers,
        now_ms: u64,
    ) {
        let (mut open, lost): (Vec<_>, Vec<_>) =
            halls.standby().into_iter().partition(|link| link.is_open());
        for link in &lost {
            link.retire();
            offers.avoid(&link.node.name, now_ms);
            info!(self.log, "relay: link to another hall lost";
                "relay" => &link.node.name, "hall" => &link.node.hall);
        }
        if !lost.is_empty() {
            halls.set_standby(open.clone());
        }
        if offers.is_stale_for_standby(now_ms) {
            self.read_offers(offers, now_ms).await;
        }
        let usable = offers.usable(now_ms);
        let is_open = |hall: &str| open.iter().any(|l| l.node.hall == hall);
        let wanted: Vec<RelayNode> = standby_relays(&self.hall, &usable)
            .into_iter()
            .filter(|node| !is_open(&node.hall))
            .filter(|node| !offers.avoided_halls.contains_key(&node.hall))
            .collect();
        if wanted.is_empty() {
            return;
        }
        let mut opening = self.open_links(wanted);
        while let Some(opened) = opening.join_next().await {
            match opened {
                Ok((_, Ok(link))) => open.push(link),
                Ok((node, Err(error))) => {
                    offers.avoid(&node.name, now_ms);
                    offers.avoid_hall(&node.hall, now_ms);
                    warn!(self.log, "relay: other hall not reached";
                        "relay" => node.name, "hall" => node.hall,
                        "error" => %error);
                }
                // OK to ignore: a task that panicked has opened nothing.
                Err(_) => {}
            }
        }
        halls.set_standby(open);
        drop(self.workers.pending_links().take_all());
    }

    /// Starts to open links to these relays.
    fn open_links(&self, nodes: Vec<RelayNode>) -> OpeningLinks {
        let mut opening = JoinSet::new();
        for node in nodes {
            let (holder, revision) = (self.node.clone(), self.lease_revision);
            let traffic = self.traffic.clone();
            let opened = self.workers.pending_links().clone();
            opening.spawn(async move {
                let link =
                    RelayLink::open(node.clone(), &holder, revision, traffic)
                        .await;
                // Without this, a link that opens as the lease ends would stay
                // open.
                if let Ok(link) = &link {
                    opened.note(link);
                }
                (node, link)
            });
        }
        opening
    }

    /// Returns this node as a placeholder candidate, to check whether any
    /// relay is wanted at all.
    fn own_node(&self) -> RelayNode {
        RelayNode {
            name: self.node.clone(),
            strength: self.strength,
            ..RelayNode::default()
        }
    }

    async fn read_offers(&self, offers: &mut Offers, now_ms: u64) {
        // The next round retries a failed read.
        match self.store.list(self.offers_prefix).await {
            Ok((_, found)) => {
                offers.nodes = self.parse_offers(&found);
                offers.read_ms = Some(now_ms);
            }
            Err(error) => {
                offers.failed_ms = Some(now_ms);
                count_failure(&error);
            }
        }
    }

    /// Parses the offers of other nodes, and skips and logs unreadable ones.
    fn parse_offers(&self, found: &[Versioned]) -> Vec<RelayNode> {
        let read = |item: &Versioned| -> Option<RelayNode> {
            passed_over::read(&self.log, "offer to carry", item)
        };
        let nodes = found.iter().filter_map(read);
        nodes.filter(|node| node.name != self.node).collect()
    }

    /// Connects to the wanted relays and uses those that can be reached.
    async fn connect_wanted(
        &self,
        wanted: Vec<RelayNode>,
        open: Vec<Arc<RelayLink>>,
        offers: &mut Offers,
        now_ms: u64,
    ) {
        let known = |node: &RelayNode| {
            open.iter().find(|link| link.node == *node).cloned()
        };
        let mut links: Vec<Arc<RelayLink>> =
            wanted.iter().filter_map(known).collect();
        let new = wanted.into_iter().filter(|node| known(node).is_none());
        let mut opening = self.open_links(new.collect());
        let unchanged = opening.is_empty() && links.len() == open.len();
        if unchanged {
            return;
        }
        while let Some(opened) = opening.join_next().await {
            match opened {
                Ok((_, Ok(link))) => links.push(link),
                Ok((node, Err(error))) => {
                    offers.avoid(&node.name, now_ms);
                    warn!(self.log, "relay: not reached"; "relay" => node.name,
                        "error" => %error);
                }
                // OK to ignore: a task that panicked has opened nothing.
                Err(_) => {}
            }
        }
        self.switch_links(links, &open);
    }

    /// Switches to these links; links that are no longer used close once their
    /// in-flight orders are answered.
    fn switch_links(
        &self,
        links: Vec<Arc<RelayLink>>,
        before: &[Arc<RelayLink>],
    ) {
        let names: Vec<&str> =
            links.iter().map(|link| link.node.name.as_str()).collect();
        info!(self.log, "relay: chosen"; "relays" => names.join(" "),
            "before" => before.len());
        gauge!(counters::RELAYS).set(links.len() as f64);
        let kept = |old: &RelayLink| links.iter().any(|l| l.node == old.node);
        for old in before.iter().filter(|old| !kept(old)) {
            old.retire();
        }
        self.workers.set_links(links);
        drop(self.workers.pending_links().take_all());
    }
}

fn count_failure(error: &Error) {
    counters::platform_failure(error);
}
