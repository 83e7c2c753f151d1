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
        holder, intent, keys, outcome::Outcome, readiness::Readiness,
        settings::Machine,
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
const LOOK: Duration = Duration::from_millis(1_500);

/// The pause after a call to the store that gave no result.
const RETRY: Duration = Duration::from_millis(100);

/// The longest that a node waits before it tries to take the lease, so that
/// they don't all call at once, in milliseconds.
const SPREAD_MS: u64 = 30;

/// How long the weakest node waits for a stronger one to take the lease, in
/// milliseconds: several calls to the store, and short beside the lease.
const WEAK_DELAY_MS: u64 = 700;

/// How long a node that couldn't keep up lets others go first, in
/// milliseconds: a slowed VM is slow for some seconds.
const OVERLOADED_MS: u64 = 10_000;

/// How long a value under the lease's key that can't be read and that no lease
/// ends must stand unchanged to count as nobody's, in milliseconds: three times
/// as long as a holder may be silent.
const UNKEPT_MS: u64 = 3 * STORE_LEASE_MS;

/// How strong a node must be to try at once, in hundredths of the strongest.
const STRONG_PERCENT: u64 = 80;

/// How long a node waits at the very first start for others to write their
/// strength: nodes start within 0.3 s of each other.
const FIRST_START: Duration = Duration::from_millis(400);

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
pub(super) struct Held {
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
pub(super) struct Stray {
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
    pub(super) stray: Option<Stray>,
    pub(super) options: Options,
    pub(super) log: Logger,
}

/// Who holds the lease, as the store shows it.
enum Seen {
    /// Nobody.
    Nobody,
    /// Nobody, though a value that can't be read has been there for long.
    Unkept(u64),
    /// An earlier process of this node, which is gone.
    Former(u64),
    /// This very process, by a write whose answer was lost.
    This(u64),
    /// Somebody else.
    Other {
        owner: String,
        /// How much it can schedule; 0 where that isn't known.
        strength: u64,
        /// The version of the lease's key.
        version: u64,
        /// The store's version when it was read.
        looked_at: u64,
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
                sleep(RETRY).await;
                continue;
            }
            match self.look(incarnation).await {
                Ok(Seen::Other { owner, strength, version, looked_at }) => {
                    if owner != known {
                        info!(self.log, "election: another node schedules";
                            "holder" => &owner, "revision" => version);
                        known = owner;
                    }
                    let weak = is_weak(strength, self.strength);
                    if weak && !self.is_overloaded() {
                        self.claim(version).await;
                    }
                    self.wait_for_change(looked_at).await;
                }
                Ok(seen) => {
                    known.clear();
                    if self.let_stronger_go_first(&seen).await {
                        self.serve(seen, incarnation).await;
                    }
                }
                Err(error) => {
                    counters::platform_failure(&error);
                    sleep(RETRY).await;
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
            sleep(RETRY).await;
            if *self.stopping.borrow() {
                return;
            }
        }
        if matches!(self.strongest().await, Ok((1, _))) {
            sleep(FIRST_START).await;
        }
    }

    /// Returns how many nodes have written their strength, and the most.
    async fn strongest(&self) -> Result<(usize, u64), Error> {
        let (_, nodes) = self.store.list(keys::NODES).await?;
        let strength = |node: &Versioned| -> Option<u64> {
            passed_over::read(&self.log, "strength of a node", node)
        };
        let most = nodes.iter().filter_map(strength).max();
        Ok((nodes.len(), most.unwrap_or(self.strength)))
    }

    /// Waits if this node is a weak one; returns whether the lease is still
    /// as it was seen.
    async fn let_stronger_go_first(&self, seen: &Seen) -> bool {
        let most = match self.strongest().await {
            Ok((_, most)) => most.max(1),
            Err(error) => {
                counters::platform_failure(&error);
                return true;
            }
        };
        let overloaded = self.is_overloaded();
        let weak = is_weak(self.strength, most) || overloaded;
        let free = match seen {
            Seen::Nobody => Some(0),
            Seen::Unkept(version) => Some(*version),
            Seen::Former(_) | Seen::This(_) | Seen::Other { .. } => None,
        };
        let Some(free) = free.filter(|_| weak) else { return true };
        let percent = if overloaded { 0 } else { self.strength * 100 / most };
        let delay = WEAK_DELAY_MS * (100 - percent) / 100;
        sleep(Duration::from_millis(delay)).await;
        // Somebody else may hold it by now.
        self.store.version(keys::OWNER).await == Ok(free)
    }

    async fn look(&mut self, incarnation: u64) -> Result<Seen, Error> {
        // A list, because it names the store's version: a watch from the
        // key's own version asks for history that is soon gone.
        let (looked_at, found) = self.store.list(keys::OWNER).await?;
        Ok(self.judge(found.first(), looked_at, incarnation))
    }

    fn judge(
        &mut self,
        found: Option<&Versioned>,
        looked_at: u64,
        incarnation: u64,
    ) -> Seen {
        let Some(found) = found else { return Seen::Nobody };
        let version = found.version;
        match serde_json::from_slice::<Owner>(&found.value) {
            Ok(owner) if owner.node != self.node => Seen::Other {
                owner: owner.node,
                strength: owner.strength,
                version,
                looked_at,
            },
            Ok(owner) if owner.incarnation == incarnation => {
                Seen::This(version)
            }
            Ok(_) => Seen::Former(version),
            Err(error) => {
                let log = &self.log;
                passed_over::record(log, "lease", &found.key, version, &error);
                if !found.is_leased && self.is_unkept(version) {
                    return Seen::Unkept(version);
                }
                let owner = "unknown".to_owned();
                Seen::Other { owner, strength: 0, version, looked_at }
            }
        }
    }

    /// Returns whether a stray value has been there for so long that whoever
    /// keeps such values would have written it again.
    fn is_unkept(&mut self, version: u64) -> bool {
        let now_ms = clock::now_ms();
        let known = self.stray.filter(|stray| stray.version == version);
        let stray = known.unwrap_or(Stray { version, since_ms: now_ms });
        self.stray = Some(stray);
        now_ms >= stray.since_ms + UNKEPT_MS
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
    pub(super) fn is_weak_beside(&self, claim: &Claim) -> bool {
        claim.node != self.node && is_weak(self.strength, claim.strength)
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

    async fn wait_for_change(&self, looked_at: u64) {
        let gone = async {
            let mut watch = self.store.watch(keys::OWNER, looked_at).await?;
            loop {
                if !watch.next().await?.events.is_empty() {
                    return Ok::<(), Error>(());
                }
            }
        };
        match timeout(LOOK, gone).await {
            Ok(Ok(())) => {
                let spread = clock::unix_ms() ^ self.node.len() as u64;
                let spread = Duration::from_millis(spread % SPREAD_MS);
                sleep(spread).await;
            }
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                sleep(RETRY).await;
            }
            // Time to look outright.
            Err(_) => {}
        }
    }

    async fn serve(&mut self, seen: Seen, incarnation: u64) {
        let held = match self.take(seen, incarnation).await {
            Ok(Some(held)) => held,
            Ok(None) => {
                // What stands there may be hidden from this node's readings:
                // it isn't asked for again at once for as long as it does.
                sleep(RETRY).await;
                return;
            }
            Err(error) => {
                counters::platform_failure(&error);
                info!(self.log, "election: the lease wasn't taken";
                    "error" => %error);
                sleep(RETRY).await;
                return;
            }
        };
        info!(self.log, "election: this node schedules";
            "revision" => held.revision, "lease_ms" => held.lease_ms);
        counters::count(counters::TAKEOVERS);
        let outcome = holder::run(self, held).await;
        if matches!(outcome, Outcome::Overloaded) {
            counters::count(counters::OVERLOADS);
            self.overloaded_until_ms = clock::now_ms() + OVERLOADED_MS;
        }
        self.leave(&held, outcome).await;
    }

    async fn take(
        &self,
        seen: Seen,
        incarnation: u64,
    ) -> Result<Option<Held>, Error> {
        let expected = match seen {
            Seen::Nobody => Expected::Absent,
            // A write of this process is replaced as well: the lease that
            // it came with is unknown by now.
            Seen::Unkept(version)
            | Seen::Former(version)
            | Seen::This(version) => Expected::Version(version),
            Seen::Other { .. } => return Ok(None),
        };
        let asked_ms = clock::now_ms();
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
            Commit::Done(revision) => Ok(Some(Held {
                lease,
                lease_ms,
                revision,
                renewed_ms: asked_ms,
            })),
        }
    }

    async fn leave(&self, held: &Held, outcome: Outcome) {
        let reason = match outcome {
            Outcome::Lost(reason) => reason,
            Outcome::Stopping => "the node stops",
            Outcome::Yielding => "a stronger node asks for it",
            Outcome::Overloaded => "this node can't keep up",
            Outcome::OutOfTokens => "no later token is left for a worker",
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
fn is_weak(strength: u64, other: u64) -> bool {
    // What others say of themselves may be any number.
    strength > 0
        && strength.saturating_mul(100) / other.max(1) < STRONG_PERCENT
}
