/*!
The readers: nodes over which the others reach the store.

The holder chooses the readers and stores their list; every node follows that
list. Where the loss of a data hall must be tolerated, the readers are spread
over the halls, each node prefers those of its own, and the holder replaces a
reader that doesn't answer it only if a node in another hall doesn't reach it
either. [`dewspar::detour`] has the concept, [`dewspar_platform::PeerRoutes`]
what is done with the list.

A node that knows no list yet calls the store itself. The holder checks that
each reader answers, and replaces those that don't.
*/

use {
    super::keys,
    crate::{clock, counters, passed_over},
    dewspar::detour::{
        PeerNode, choose_readers, choose_readers_across_halls,
        second_observers,
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, KeyValue, PeerRoutes, PeerStatus,
        Reach, Versioned, ask_reach, is_peer_alive,
    },
    slog::{Logger, info, warn},
    std::{collections::BTreeSet, net::IpAddr, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// How often a node reads the list of readers.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(5);

/// How often a node looks for the list before there is one.
const FIRST_FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time between two shared reads of the list, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 1_000;

/// How often the holder checks whether the readers answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How often the holder reads which nodes offer to forward calls, in
/// milliseconds: nodes come and go over minutes.
const OFFERS_TTL_MS: u64 = 10_000;

/// The time within which a reader must answer.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(400);

/// How many checks in a row a reader must miss to be replaced.
const MAX_MISSED_CHECKS: u32 = 2;

/// How many other nodes are asked about a silent reader, one after the other:
/// the checks of all readers wait for them.
const MAX_OBSERVERS: usize = 2;

/// How often transitions between the paths are looked for.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the list of readers until the node stops. `hall` is the node's own
/// one, or empty to prefer the readers of none.
pub(super) async fn follow_readers<K: KeyValue>(
    store: K,
    node: String,
    hall: String,
    routes: PeerRoutes,
    log: Logger,
) {
    let store = store.sharing_reads(SHARE_INTERVAL_MS);
    let mut version = 0;
    loop {
        match store.get(keys::READERS).await {
            Ok(Some(found)) if found.version != version => {
                version = found.version;
                let readers = passed_over::read::<Vec<PeerNode>>(
                    &log,
                    "list of readers",
                    &found,
                );
                if let Some(readers) = readers {
                    routes.set_readers(&node, &hall, &readers);
                    info!(log, "peers: readers known"; "version" => version,
                        "readers" => readers.len(),
                        "shares_reads" => routes.shares_reads());
                }
            }
            Ok(_) => {}
            Err(error) => counters::platform_failure(&error),
        }
        let known = version > 0;
        sleep(if known { FOLLOW_INTERVAL } else { FIRST_FOLLOW_INTERVAL })
            .await;
    }
}

/// Logs when the node's own path to the store fails and when it works again.
pub(super) async fn log_paths(
    routes: PeerRoutes,
    mut stopping: watch::Receiver<bool>,
    log: Logger,
) {
    let mut before = PeerStatus::default();
    let mut since_ms = clock::now_ms();
    while !*stopping.borrow_and_update() {
        sleep(STATUS_INTERVAL).await;
        let now = routes.status();
        if now.own_path_failed == before.own_path_failed {
            continue;
        }
        let now_ms = clock::now_ms();
        let after_ms = now_ms.saturating_sub(since_ms);
        let forwarded = now.forwarded_calls - before.forwarded_calls;
        if now.own_path_failed {
            warn!(log, "store: own path fails"; "peers" => now.peers,
                "after_ms" => after_ms);
        } else {
            info!(log, "store: own path works again";
                "after_ms" => after_ms, "forwarded_calls" => forwarded);
        }
        (before, since_ms) = (now, now_ms);
    }
}

/// Chooses the readers and stores their list, for as long as the lease is
/// held. `hall` is the holder's own one; without it, halls don't matter. `source` is the address by which
/// the peers know this node.
pub(super) async fn publish_readers<K: KeyValue>(
    store: K,
    hall: Option<String>,
    source: Option<IpAddr>,
    lease_revision: u64,
    log: Logger,
) {
    let mut publisher = Publisher {
        store,
        hall,
        source,
        lease_revision,
        offers: Vec::new(),
        offers_read_ms: None,
        stored: None,
        missed_checks: Vec::new(),
        log,
    };
    loop {
        if let Err(error) = publisher.update().await {
            counters::platform_failure(&error);
        }
        sleep(CHECK_INTERVAL).await;
    }
}

struct Publisher<K> {
    store: K,
    hall: Option<String>,
    source: Option<IpAddr>,
    lease_revision: u64,
    offers: Vec<PeerNode>,
    offers_read_ms: Option<u64>,
    /// The stored list and its version; `None` until it is read.
    stored: Option<StoredReaders>,
    /// The nodes that missed the last checks, with the number of these.
    missed_checks: Vec<(PeerNode, u32)>,
    log: Logger,
}

#[derive(Clone, Debug, Default)]
struct StoredReaders {
    readers: Vec<PeerNode>,
    version: u64,
}

impl<K: KeyValue> Publisher<K> {
    async fn update(&mut self) -> Result<(), Error> {
        let stored = match self.stored.clone() {
            Some(stored) => stored,
            None => self.read_stored().await?,
        };
        self.read_offers().await?;
        let failed = self.check(&stored.readers).await;
        let choose = match self.hall {
            Some(_) => choose_readers_across_halls,
            None => choose_readers,
        };
        let readers = choose(&self.offers, &stored.readers, &failed);
        if readers != stored.readers {
            self.store_readers(readers, &stored).await?;
        }
        Ok(())
    }

    async fn read_stored(&mut self) -> Result<StoredReaders, Error> {
        let found = self.store.get(keys::READERS).await?;
        let version = found.as_ref().map_or(0, |found| found.version);
        let readers = found.and_then(|found| {
            passed_over::read(&self.log, "list of readers", &found)
        });
        let stored =
            StoredReaders { readers: readers.unwrap_or_default(), version };
        self.stored = Some(stored.clone());
        Ok(stored)
    }

    async fn read_offers(&mut self) -> Result<(), Error> {
        let now_ms = clock::now_ms();
        let is_recent = |read_ms| now_ms < read_ms + OFFERS_TTL_MS;
        if self.offers_read_ms.is_some_and(is_recent) {
            return Ok(());
        }
        let (_, found) = self.store.list(keys::PEERS).await?;
        let offer = |item: &Versioned| {
            passed_over::read(&self.log, "offer to forward calls", item)
        };
        self.offers = found.iter().filter_map(offer).collect();
        self.offers_read_ms = Some(now_ms);
        Ok(())
    }

    /// Checks the readers, and returns the names of the nodes that don't
    /// answer.
    async fn check(&mut self, readers: &[PeerNode]) -> BTreeSet<String> {
        let source = self.source;
        let checks = readers.iter().map(|reader| async move {
            let checked =
                is_peer_alive(&reader.address, source, ALIVE_TIMEOUT);
            (reader, checked.await)
        });
        for (reader, is_alive) in futures_util::future::join_all(checks).await
        {
            let known =
                self.missed_checks.iter().position(|(n, _)| n == reader);
            match (is_alive, known) {
                (true, Some(at)) => drop(self.missed_checks.swap_remove(at)),
                (true, None) => {}
                (false, Some(at)) => self.missed_checks[at].1 += 1,
                (false, None) => self.missed_checks.push((reader.clone(), 1)),
            }
        }
        // A node that started again has another chance with its next offer.
        let offers = &self.offers;
        self.missed_checks.retain(|(node, _)| offers.contains(node));
        let missed = self.missed_checks.iter();
        let silent: Vec<PeerNode> = missed
            .filter(|(_, missed)| *missed >= MAX_MISSED_CHECKS)
            .map(|(node, _)| node.clone())
            .collect();
        let Some(hall) = &self.hall else {
            return silent.into_iter().map(|node| node.name).collect();
        };
        let answers = |node: &&PeerNode| {
            !self.missed_checks.iter().any(|(missed, _)| missed == *node)
        };
        let answering: Vec<PeerNode> =
            readers.iter().filter(answers).cloned().collect();
        let answering = &answering;
        let asked = silent.iter().map(|node| async move {
            let reached = is_reached_by_another(hall, source, node, answering);
            (node, reached.await)
        });
        let asked = futures_util::future::join_all(asked).await;
        let failed = asked.into_iter().filter(|(_, reached)| !reached);
        failed.map(|(node, _)| node.name.clone()).collect()
    }

    async fn store_readers(
        &mut self,
        readers: Vec<PeerNode>,
        stored: &StoredReaders,
    ) -> Result<(), Error> {
        // OK because texts and numbers can always be written.
        let value = serde_json::to_vec(&readers).expect("plain JSON");
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(self.lease_revision))
            .when(keys::READERS, Expected::from_version(stored.version))
            .put(keys::READERS, value);
        // Read again if the result isn't known or is a conflict.
        self.stored = None;
        if let Commit::Done(version) = self.store.commit(&batch).await? {
            let names: Vec<&str> =
                readers.iter().map(|reader| reader.name.as_str()).collect();
            info!(self.log, "peers: readers chosen"; "version" => version,
                "readers" => names.join(" "));
            self.stored = Some(StoredReaders { readers, version });
        }
        Ok(())
    }
}

/// Returns whether a node in another hall than the holder's reaches a reader
/// that doesn't answer the holder. The first one that knows decides; if none
/// does, the holder's own view counts.
async fn is_reached_by_another(
    hall: &str,
    source: Option<IpAddr>,
    silent: &PeerNode,
    answering: &[PeerNode],
) -> bool {
    let observers = second_observers(hall, silent, answering);
    for observer in observers.into_iter().take(MAX_OBSERVERS) {
        let reach = ask_reach(&observer.address, &silent.address, source);
        let reach = reach.await;
        let name = match reach {
            Reach::Reached => "reached",
            Reach::NotReached => "not_reached",
            Reach::Unknown => "unknown",
        };
        counters::count_by(counters::SECOND_OBSERVERS, "answer", name);
        if reach != Reach::Unknown {
            return reach == Reach::Reached;
        }
    }
    false
}
