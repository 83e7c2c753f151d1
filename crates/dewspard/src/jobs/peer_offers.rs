/*!
The nodes whose calls this node forwards: those with an offer in the store.
*/

use {
    super::keys,
    crate::{clock, counters, passed_over},
    dewspar::{detour::PeerNode, peer_access::RefusalLog},
    dewspar_platform::{
        Error, KeyValue, PeerDirectory, RefusalReason, Versioned,
    },
    slog::{Logger, warn},
    std::{
        net::IpAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// The offers in the store; clones share the limit on log lines.
#[derive(Clone)]
pub(super) struct PeerOffers<K> {
    store: K,
    refusals: Arc<Mutex<RefusalLog>>,
    log: Logger,
}

impl<K: KeyValue> PeerOffers<K> {
    pub(super) fn new(store: K, log: Logger) -> PeerOffers<K> {
        PeerOffers { store, refusals: Arc::default(), log }
    }
}

impl<K: KeyValue> PeerDirectory for PeerOffers<K> {
    async fn nodes(&self) -> Result<Vec<PeerNode>, Error> {
        let listed = self.store.list(keys::PEERS).await;
        let (_, found) = listed.inspect_err(counters::platform_failure)?;
        let offer = |item: &Versioned| {
            passed_over::read(&self.log, "offer to forward calls", item)
        };
        Ok(found.iter().filter_map(offer).collect())
    }

    fn note_refusal(&self, caller: IpAddr, reason: RefusalReason) {
        let name = reason.name();
        counters::count_by(counters::PEER_CALLS_REFUSED, "reason", name);
        // OK after a panic: each change of it is complete.
        let mut refusals =
            self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(unlogged) = refusals.note(clock::now_ms()) {
            warn!(self.log, "peers: call refused"; "caller" => %caller,
                "reason" => name, "unlogged_before" => unlogged);
        }
    }
}
