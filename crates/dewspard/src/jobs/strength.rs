/*!
What a starting node tells the others: how strong it is, and at which addresses
it serves them.
*/

use {
    super::{
        election::{Candidate, RETRY_DELAY},
        keys,
    },
    crate::{counters, passed_over},
    dewspar::{detour::PeerNode, relay::RelayNode},
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, JobWorkers, KeyValue, Versioned,
    },
    serde::Serialize,
    std::time::Duration,
    tokio::time::sleep,
};

/// How often a starting node tries to raise the highest strength of any node.
const MAX_STRENGTH_TRIES: u32 = 20;

/// How long a node waits for others if it is the first one ever to write its
/// strength: nodes start within 0.3 s of each other.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);

/// What became of a try to raise the highest strength of any node.
enum StrengthRaised {
    /// No node had ever written one.
    First,
    /// It is at least this node's now.
    Known,
    /// Another node wrote it at the same time, or it is hidden from this
    /// node's reads.
    Conflict,
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Candidate<K, W, F> {
    /// Writes this node's strength and the addresses that it offers to others,
    /// and retries until the store takes them.
    pub(super) async fn write_strength(&self) {
        let key = keys::node(&self.node);
        let value = self.strength.to_string().into_bytes();
        let mut batch = Batch::default().put(&key, value);
        if let Some(address) = self.relay_address {
            let offer = RelayNode {
                name: self.node.clone(),
                hall: self.hall.clone(),
                address: address.to_string(),
                strength: self.strength,
            };
            batch = batch.put(&keys::relay(&self.node), record(&offer));
        }
        if let Some(address) = self.peer_address {
            let offer = PeerNode {
                name: self.node.clone(),
                hall: self.hall.clone(),
                address: address.to_string(),
                strength: self.strength,
            };
            batch = batch.put(&keys::peer(&self.node), record(&offer));
        }
        while let Err(error) = self.store.commit(&batch).await {
            counters::platform_failure(&error);
            sleep(RETRY_DELAY).await;
            if *self.stopping.borrow() {
                return;
            }
        }
        for _ in 0..MAX_STRENGTH_TRIES {
            match self.raise_max_strength().await {
                Ok(StrengthRaised::First) => {
                    sleep(FIRST_START_DELAY).await;
                    return;
                }
                Ok(StrengthRaised::Known) => return,
                Ok(StrengthRaised::Conflict) => {}
                Err(error) => counters::platform_failure(&error),
            }
            sleep(RETRY_DELAY).await;
            if *self.stopping.borrow() {
                return;
            }
        }
    }

    /// Raises the highest strength of any node to this node's, unless it is as
    /// high already.
    ///
    /// All nodes share one key, since they start together: if each read a list
    /// of all, what they read would grow with the square of their number.
    async fn raise_max_strength(&self) -> Result<StrengthRaised, Error> {
        let found = self.store.get(keys::MAX_STRENGTH).await?;
        let known = found.as_ref().and_then(|f| self.strength_in(f));
        if known.is_some_and(|known| known >= self.strength) {
            return Ok(StrengthRaised::Known);
        }
        let version = found.as_ref().map_or(0, |found| found.version);
        let value = self.strength.to_string().into_bytes();
        let batch = Batch::default()
            .when(keys::MAX_STRENGTH, Expected::from_version(version))
            .put(keys::MAX_STRENGTH, value);
        Ok(match self.store.commit(&batch).await? {
            Commit::Done(_) if version == 0 => StrengthRaised::First,
            Commit::Done(_) => StrengthRaised::Known,
            Commit::Conflict(_) => StrengthRaised::Conflict,
        })
    }

    /// Returns the highest strength of any node.
    pub(super) async fn max_strength(&self) -> Result<u64, Error> {
        let found = self.store.get(keys::MAX_STRENGTH).await?;
        let known = found.and_then(|found| self.strength_in(&found));
        Ok(known.unwrap_or(0).max(self.strength))
    }

    fn strength_in(&self, found: &Versioned) -> Option<u64> {
        passed_over::read(&self.log, "highest strength", found)
    }
}

/// Serializes an offer.
fn record(offer: &impl Serialize) -> Vec<u8> {
    // OK because texts and numbers can always be written.
    serde_json::to_vec(offer).expect("plain JSON")
}
