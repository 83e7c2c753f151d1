/*!
The scheduler lease: which node schedules.

The lease is a key in the store tied to a store lease that its holder renews.
Everybody else watches the key and tries to write it once it is gone; the
store lets one succeed. The revision of that write is the holder's fencing
token.

Nodes differ in what they can schedule. Each writes its strength once, and one
that is much weaker than the strongest waits a moment before it tries, so that
it only schedules when no stronger one does. If it schedules all the same,
because no stronger one was there, the first one that comes back writes a
claim, and the weak holder hands the lease over as before a planned stop. So
does a holder that can't keep up; it then lets all others go first for a while.

What lies under the key and can't be read counts as another node's: a newer
version may write it otherwise. The store ends it with its lease. If no lease
ends it and it isn't written again for a while, nobody keeps it, and it is
replaced.

A node that finds its own name under an older incarnation was restarted: that
holder is gone for certain, and the key is replaced without waiting.
*/

use {
    super::{
        holder, intent, keys, readiness::Readiness, settings::Machine,
        step_down::StepDown,
    },
    crate::{clock, counters, passed_over},
    dewspar::{
        relay::RelayNode,
        schedule::{Options, OrderIssuer},
    },
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, JobWorkers, KeyValue, Lease,
        Traffic, Versioned, Watch,
    },
    serde::{Deserialize, Serialize},
    slog::{Logger, info},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// How long the store lease lasts without renewal, in milliseconds, unless
/// the store's shortest is longer: a holder's death costs that long.
const STORE_LEASE_MS: u64 = 1_500;

/// How often the key is read outright, in case its watch went silent.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The pause after a call to the store that gave no result.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest that a node waits before it tries to take the lease, so that
/// they don't all call at once, in milliseconds.
const MAX_JITTER_MS: u64 = 30;

/// How long the weakest node waits for a stronger one to take the lease, in
/// milliseconds: several calls to the store, and short beside the lease.
const MAX_WEAK_DELAY_MS: u64 = 700;

/// How long a node that couldn't keep up lets others go first, in
/// milliseconds: a slowed VM is slow for some seconds.
const OVERLOAD_BACKOFF_MS: u64 = 10_000;

/// How long a value under the lease's key that can't be read and that no lease
/// ends must stand unchanged to count as nobody's, in milliseconds: three times
/// as long as a holder may be silent.
const ORPHANED_AFTER_MS: u64 = 3 * STORE_LEASE_MS;

/// How strong a node must be to try at once, in hundredths of the strongest.
const MIN_STRENGTH_PERCENT: u64 = 80;

/// How long a node waits at the very first start for others to write their
/// strength: nodes start within 0.3 s of each other.
const FIRST_START_DELAY: Duration = Duration::from_millis(400);

/// The value of the lease's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Owner {
    node: String,
    incarnation: u64,
    /// How much the node can schedule; 0 where it doesn't say.
    #[serde(default)]
    strength: u64,
}

/// A claim to the lease by a node that is stronger than its holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Claim {
    /// The node that makes it.
    pub(super) node: String,
    /// How much that node can schedule.
    pub(super) strength: u64,
}

/// The lease, as this node holds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub(super) lease: Lease,
    pub(super) lease_ms: u64,
    /// The revision of the key's write.
    pub(super) revision: u64,
    /// When the last renewal that was answered was sent.
    pub(super) renewed_ms: u64,
}

/// A value under the lease's key that can't be read and that no lease ends: no
/// version of this program writes one.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadableOwner {
    version: u64,
    /// When this version was first seen.
    since_ms: u64,
}

/// What a node needs to hold the scheduler lease.
#[derive(Clone)]
pub(super) struct Candidate<K, W, F> {
    pub(super) node: String,
    /// The number of this start of the process.
    pub(super) incarnation: u64,
    pub(super) store: K,
    /// What this node's calls cost, by purpose.
    pub(super) traffic: Traffic,
    /// Where this node carries orders for others, if it does.
    pub(super) relay_address: Option<SocketAddr>,
    pub(super) machine: Machine,
    pub(super) workers: W,
    pub(super) fleet: F,
    pub(super) reader: intent::Reader,
    pub(super) readiness: Readiness,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) min_lease_ms: u64,
    /// How much this node can schedule, to be compared with others.
    pub(super) strength: u64,
    /// Until when others go first, because this node couldn't keep up.
    pub(super) overloaded_until_ms: u64,
    /// What was found under the lease's key that nobody may keep.
    pub(super) unreadable_owner: Option<UnreadableOwner>,
    pub(super) options: Options,
    pub(super) log: Logger,
}

/// Who holds the lease, as the store shows it.
enum LeaseState {
    /// Nobody.
    Free,
    /// Nobody, though a value that can't be read has been there for long.
    Orphaned(u64),
    /// An earlier process of this node, which is gone.
    FormerProcess(u64),
    /// This very process, by a write whose answer was lost.
    ThisProcess(u64),
    /// Somebody else.
    Other {
        owner: String,
        /// How much it can schedule; 0 where that isn't known.
        strength: u64,
        /// The version of the lease's key.
        version: u64,
        /// The store's version when it was read.
        store_version: u64,
    },
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Candidate<K, W, F> {
    /// Takes the lease whenever it is free, and schedules while it is held,
    /// until the node stops.
    pub(super) async fn run(mut self) {
        let incarnation = self.incarnation;
        let mut known = String::new();
        self.write_strength().await;
        while !*self.stopping.borrow() {
            if !self.readiness.is_ready() {
                sleep(RETRY_DELAY).await;
                continue;
            }
            match self.read_lease(incarnation).await {
                Ok(LeaseState::Other {
                    owner,
                    strength,
                    version,
                    store_version,
                }) => {
                    if owner != known {
                        info!(self.log, "election: another node schedules";
                            "holder" => &owner, "revision" => version);
                        known = owner;
                    }
                    let weak = is_much_weaker(strength, self.strength);
                    if weak && !self.is_overloaded() {
                        self.claim(version).await;
                    }
                    self.wait_for_change(store_version).await;
                }
                Ok(seen) => {
                    known.clear();
                    if self.defer_to_stronger(&seen).await {
                        self.take_and_schedule(seen, incarnation).await;
                    }
                }
                Err(error) => {
                    counters::platform_failure(&error);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Writes how much this node can schedule, and where it carries orders for
    /// others, as soon as the store takes it.
    async fn write_strength(&self) {
        let key = keys::node(&self.node);
        let value = self.strength.to_string().into_bytes();
        let mut batch = Batch::default().put(&key, value);
        if let Some(address) = self.relay_address {
            let offer = RelayNode {
                name: self.node.clone(),
                address: address.to_string(),
                strength: self.strength,
            };
            // OK because texts and a number can always be written.
            let value = serde_json::to_vec(&offer).expect("plain JSON");
            batch = batch.put(&keys::relay(&self.node), value);
        }
        while let Err(error) = self.store.commit(&batch).await {
            counters::platform_failure(&error);
            sleep(RETRY_DELAY).await;
            if *self.stopping.borrow() {
                return;
            }
        }
        if matches!(self.count_and_max_strength().await, Ok((1, _))) {
            sleep(FIRST_START_DELAY).await;
        }
    }

    /// Returns how many nodes have written their strength, and the most.
    async fn count_and_max_strength(&self) -> Result<(usize, u64), Error> {
        let (_, nodes) = self.store.list(keys::NODES).await?;
        let strength = |node: &Versioned| -> Option<u64> {
            passed_over::read(&self.log, "strength of a node", node)
        };
        let most = nodes.iter().filter_map(strength).max();
        Ok((nodes.len(), most.unwrap_or(self.strength)))
    }

    /// Waits if this node is a weak one; returns whether the lease is still
    /// as it was seen.
    async fn defer_to_stronger(&self, seen: &LeaseState) -> bool {
        let most = match self.count_and_max_strength().await {
            Ok((_, most)) => most.max(1),
            Err(error) => {
                counters::platform_failure(&error);
                return true;
            }
        };
        let overloaded = self.is_overloaded();
        let weak = is_much_weaker(self.strength, most) || overloaded;
        let free = match seen {
            LeaseState::Free => Some(0),
            LeaseState::Orphaned(version) => Some(*version),
            LeaseState::FormerProcess(_)
            | LeaseState::ThisProcess(_)
            | LeaseState::Other { .. } => None,
        };
        let Some(free) = free.filter(|_| weak) else { return true };
        let percent = if overloaded { 0 } else { self.strength * 100 / most };
        let delay = MAX_WEAK_DELAY_MS * (100 - percent) / 100;
        sleep(Duration::from_millis(delay)).await;
        // Somebody else may hold it by now.
        self.store.version(keys::OWNER).await == Ok(free)
    }

    async fn read_lease(
        &mut self,
        incarnation: u64,
    ) -> Result<LeaseState, Error> {
        // A list, because it names the store's version: a watch from the
        // key's own version asks for history that is soon gone.
        let (store_version, found) = self.store.list(keys::OWNER).await?;
        Ok(self.classify(found.first(), store_version, incarnation))
    }

    fn classify(
        &mut self,
        found: Option<&Versioned>,
        store_version: u64,
        incarnation: u64,
    ) -> LeaseState {
        let Some(found) = found else { return LeaseState::Free };
        let version = found.version;
        match serde_json::from_slice::<Owner>(&found.value) {
            Ok(owner) if owner.node != self.node => LeaseState::Other {
                owner: owner.node,
                strength: owner.strength,
                version,
                store_version,
            },
            Ok(owner) if owner.incarnation == incarnation => {
                LeaseState::ThisProcess(version)
            }
            Ok(_) => LeaseState::FormerProcess(version),
            Err(error) => {
                let log = &self.log;
                passed_over::record(log, "lease", &found.key, version, &error);
                if !found.is_leased && self.is_orphaned(version) {
                    return LeaseState::Orphaned(version);
                }
                let owner = "unknown".to_owned();
                LeaseState::Other {
                    owner,
                    strength: 0,
                    version,
                    store_version,
                }
            }
        }
    }

    /// Returns whether a stray value has been there for so long that whoever
    /// keeps such values would have written it again.
    fn is_orphaned(&mut self, version: u64) -> bool {
        let now_ms = clock::now_ms();
        let known = self
            .unreadable_owner
            .filter(|unreadable_owner| unreadable_owner.version == version);
        let unreadable_owner =
            known.unwrap_or(UnreadableOwner { version, since_ms: now_ms });
        self.unreadable_owner = Some(unreadable_owner);
        now_ms >= unreadable_owner.since_ms + ORPHANED_AFTER_MS
    }

    /// Returns by what name orders to the VM service are recorded.
    pub(super) fn orderer(&self) -> OrderIssuer {
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        OrderIssuer { node, incarnation }
    }

    /// Returns whether this node couldn't keep up a short while ago.
    fn is_overloaded(&self) -> bool {
        clock::now_ms() < self.overloaded_until_ms
    }

    /// Returns whether a claim is by a much stronger node than this one.
    pub(super) fn is_much_weaker_than(&self, claim: &Claim) -> bool {
        claim.node != self.node
            && is_much_weaker(self.strength, claim.strength)
    }

    /// Asks the weak holder of the lease, as it was seen at this version, to
    /// hand it over.
    async fn claim(&self, version: u64) {
        let claim = Claim { node: self.node.clone(), strength: self.strength };
        // OK because a text and a number can always be written.
        let value = serde_json::to_vec(&claim).expect("plain JSON");
        let lease_ms = STORE_LEASE_MS.max(self.min_lease_ms);
        let written = async {
            // Gone by itself, should this node go before it is answered.
            let lease = self.store.grant(lease_ms).await?;
            let batch = Batch::default()
                .when(keys::OWNER, Expected::Version(version))
                .when(keys::CLAIM, Expected::Absent)
                .put_leased(keys::CLAIM, value, lease);
            self.store.commit(&batch).await
        };
        match written.await {
            Ok(Commit::Done(revision)) => {
                info!(self.log, "election: claimed from a weak holder";
                    "revision" => revision, "holder_revision" => version);
            }
            // Somebody else has claimed it, or it has changed hands.
            Ok(Commit::Conflict(_)) => {}
            Err(error) => counters::platform_failure(&error),
        }
    }

    async fn wait_for_change(&self, store_version: u64) {
        let gone = async {
            let mut watch =
                self.store.watch(keys::OWNER, store_version).await?;
            loop {
                if !watch.next().await?.events.is_empty() {
                    return Ok::<(), Error>(());
                }
            }
        };
        match timeout(POLL_INTERVAL, gone).await {
            Ok(Ok(())) => {
                let jitter = clock::unix_ms() ^ self.node.len() as u64;
                let jitter = Duration::from_millis(jitter % MAX_JITTER_MS);
                sleep(jitter).await;
            }
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                sleep(RETRY_DELAY).await;
            }
            // Time to look outright.
            Err(_) => {}
        }
    }

    async fn take_and_schedule(&mut self, seen: LeaseState, incarnation: u64) {
        let held = match self.take_lease(seen, incarnation).await {
            Ok(Some(held)) => held,
            Ok(None) => {
                // What stands there may be hidden from this node's readings:
                // it isn't asked for again at once for as long as it does.
                sleep(RETRY_DELAY).await;
                return;
            }
            Err(error) => {
                counters::platform_failure(&error);
                info!(self.log, "election: the lease wasn't taken";
                    "error" => %error);
                sleep(RETRY_DELAY).await;
                return;
            }
        };
        info!(self.log, "election: this node schedules";
            "revision" => held.revision, "lease_ms" => held.lease_ms);
        counters::count(counters::TAKEOVERS);
        let outcome = holder::run(self, held).await;
        if matches!(outcome, StepDown::Overloaded) {
            counters::count(counters::OVERLOADS);
            self.overloaded_until_ms = clock::now_ms() + OVERLOAD_BACKOFF_MS;
        }
        self.release(&held, outcome).await;
    }

    async fn take_lease(
        &self,
        seen: LeaseState,
        incarnation: u64,
    ) -> Result<Option<HeldLease>, Error> {
        let expected = match seen {
            LeaseState::Free => Expected::Absent,
            // A write of this process is replaced as well: the lease that
            // it came with is unknown by now.
            LeaseState::Orphaned(version)
            | LeaseState::FormerProcess(version)
            | LeaseState::ThisProcess(version) => Expected::Version(version),
            LeaseState::Other { .. } => return Ok(None),
        };
        let requested_ms = clock::now_ms();
        let lease_ms = STORE_LEASE_MS.max(self.min_lease_ms);
        let lease = self.store.grant(lease_ms).await?;
        let owner = Owner {
            node: self.node.clone(),
            incarnation,
            strength: self.strength,
        };
        // OK because a text and a number can always be written.
        let value = serde_json::to_vec(&owner).expect("plain JSON");
        let batch = Batch::default().when(keys::OWNER, expected).put_leased(
            keys::OWNER,
            value,
            lease,
        );
        match self.store.commit(&batch).await? {
            Commit::Conflict(_) => Ok(None),
            Commit::Done(revision) => Ok(Some(HeldLease {
                lease,
                lease_ms,
                revision,
                renewed_ms: requested_ms,
            })),
        }
    }

    async fn release(&self, held: &HeldLease, outcome: StepDown) {
        let reason = match outcome {
            StepDown::Lost(reason) => reason,
            StepDown::Stopping => "the node stops",
            StepDown::Yielding => "a stronger node asks for it",
            StepDown::Overloaded => "this node can't keep up",
            StepDown::OutOfTokens => "no later token is left for a worker",
        };
        info!(self.log, "election: this node no longer schedules";
            "revision" => held.revision, "reason" => reason);
        // Gone at once rather than with its lease, so that another node can
        // take over; harmless if another one has.
        let batch = Batch::default()
            .when(keys::OWNER, Expected::Version(held.revision))
            .delete(keys::OWNER)
            .delete(keys::CLAIM)
            .delete(keys::PENDING);
        if let Err(error) = self.store.commit(&batch).await {
            counters::platform_failure(&error);
        }
    }
}

/// Returns whether a node is much weaker than another; one that doesn't say
/// how strong it is counts as strong.
fn is_much_weaker(strength: u64, other: u64) -> bool {
    // What others say of themselves may be any number.
    strength > 0
        && strength.saturating_mul(100) / other.max(1) < MIN_STRENGTH_PERCENT
}
