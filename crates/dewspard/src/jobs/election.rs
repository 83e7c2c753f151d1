/*!
The scheduler lease, which decides which node schedules.

The lease is a key in the store, tied to a store lease that its holder renews.
All other nodes watch the key and try to write it once it is gone; a
compare-and-swap lets one of them succeed. The revision of that write is the
holder's fencing token.

Nodes differ in their scheduling capacity, called strength. Each node writes
its strength when it starts. A node that is much weaker than the strongest one
delays its attempt to take the lease, so that it only schedules when no
stronger node does. If a weak node holds the lease nevertheless, the first
stronger node that comes back writes a claim, and the weak holder hands the
lease over as before a planned stop. An overloaded holder also hands the lease
over, and then yields to all other nodes for a while.

An unreadable value under the lease's key counts as another node's, because a
newer version may use another format. The store deletes it with its lease. If
it has no lease and isn't written again for a while, it is orphaned and gets
replaced.

A node that finds its own name with an older incarnation was restarted: that
holder is certainly gone, and its key is replaced without waiting.
*/

use {
    super::{
        holder, intent, keys,
        readiness::Readiness,
        relay::RelayedWorkers,
        settings::Machine,
        silent_workers::{InheritedSilentWorkers, LoadedSilentWorkers},
        status::StatusBoard,
        step_down::StepDown,
    },
    crate::{clock, counters, passed_over},
    dewspar::schedule::{Options, OrderIssuer, SeenHolders},
    dewspar_platform::{
        Batch, Commit, Error, Expected, Fleet, JobWorkers, KeyValue, Lease,
        Traffic, Versioned, Watch,
    },
    serde::{Deserialize, Serialize},
    slog::{Logger, info},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// How long the store lease lasts without renewal, in milliseconds, unless the
/// store's minimum is longer. Scheduling stops for that long when a holder
/// fails.
const STORE_LEASE_MS: u64 = 1_500;

/// How often the key is read even though it is watched, in case the watch went
/// silent.
const POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The shortest time between two reads of the key for nodes that share their
/// reads, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 500;

/// The delay after a call to the store that gave no result.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The upper bound of the random delay before a node tries to take the lease,
/// in milliseconds; it keeps nodes from calling the store all at once.
const MAX_JITTER_MS: u64 = 30;

/// How long the weakest node waits for a stronger one to take the lease, in
/// milliseconds: enough for several calls to the store, and short compared to
/// the lease.
const MAX_WEAK_DELAY_MS: u64 = 700;

/// How long a node that was overloaded yields to others, in milliseconds: a
/// throttled VM stays slow for some seconds.
const OVERLOAD_BACKOFF_MS: u64 = 10_000;

/// How long an unreadable value without a lease must stand unchanged under the
/// lease's key to count as orphaned, in milliseconds: three times as long as a
/// holder may be silent.
const ORPHANED_AFTER_MS: u64 = 3 * STORE_LEASE_MS;

/// The minimum strength, in percent of the strongest node, to try without
/// delay.
const MIN_STRENGTH_PERCENT: u64 = 80;

/// The value of the lease's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Owner {
    node: String,
    incarnation: u64,
    /// The node's scheduling capacity; 0 if it doesn't say.
    #[serde(default)]
    strength: u64,
}

/// A claim to the lease by a node that is stronger than its holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Claim {
    /// The node that makes the claim.
    pub(super) node: String,
    /// That node's scheduling capacity.
    pub(super) strength: u64,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub(super) lease: Lease,
    pub(super) lease_ms: u64,
    /// The revision of the key's write, which is the fencing token.
    pub(super) revision: u64,
    /// When the last successful renewal was sent, on the steady clock.
    pub(super) renewed_ms: u64,
}

/// An unreadable value without a lease under the lease's key; no version of
/// this program writes one.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadableOwner {
    version: u64,
    /// When this version was first seen, on the steady clock.
    since_ms: u64,
}

/// What a node needs to take and hold the scheduler lease.
#[derive(Clone)]
pub(super) struct Candidate<K, W, F> {
    pub(super) node: String,
    /// The data hall that this node is in.
    pub(super) hall: String,
    /// How many data halls may be lost at once; 0 disables all rules on halls.
    pub(super) tolerated_halls: usize,
    /// Identifies this start of the process; later starts have higher numbers.
    pub(super) incarnation: u64,
    pub(super) store: K,
    /// Counts the traffic of this node's calls by purpose.
    pub(super) traffic: Traffic,
    /// The address at which this node relays orders for others, if it does.
    pub(super) relay_address: Option<SocketAddr>,
    /// The address at which this node forwards calls to the store, if it does.
    pub(super) peer_address: Option<SocketAddr>,
    pub(super) machine: Machine,
    pub(super) workers: W,
    pub(super) fleet: F,
    pub(super) reader: intent::Reader,
    pub(super) readiness: Readiness,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) min_lease_ms: u64,
    /// This node's scheduling capacity, relative to others'.
    pub(super) strength: u64,
    /// Until when this node yields to others because it was overloaded.
    pub(super) overloaded_until_ms: u64,
    /// The unreadable value last seen under the lease's key.
    pub(super) unreadable_owner: Option<UnreadableOwner>,
    /// The holders of the lease that this node has seen, itself among them.
    pub(super) seen_holders: SeenHolders,
    /// The record of silent workers, as it was last read.
    pub(super) silent_workers: LoadedSilentWorkers,
    pub(super) options: Options,
    /// What operators are told.
    pub(super) status: StatusBoard,
    pub(super) log: Logger,
}

/// The state of the lease, as read from the store.
enum LeaseState {
    /// Nobody holds it.
    Free,
    /// Nobody holds it; an unreadable value has stood there for long.
    Orphaned(u64),
    /// An earlier process of this node, which is gone, held it.
    FormerProcess(u64),
    /// This very process holds it, by a write whose answer was lost.
    ThisProcess(u64),
    /// Another node holds it.
    Other {
        owner: String,
        /// That node's scheduling capacity; 0 if unknown.
        strength: u64,
        /// The version of the lease's key.
        version: u64,
        /// The store's version at the time of the read.
        store_version: u64,
    },
}

impl<K: KeyValue, W: JobWorkers, F: Fleet> Candidate<K, W, F> {
    /// Takes the lease whenever it is free and schedules while it is held,
    /// until the node stops.
    pub(super) async fn run(mut self) {
        let incarnation = self.incarnation;
        let mut last_holder = String::new();
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
                    self.follow_silent_workers(version).await;
                    if owner != last_holder {
                        info!(self.log, "election: another node schedules";
                            "holder" => &owner, "revision" => version);
                        self.status.set_holder(Some(&owner));
                        last_holder = owner;
                    }
                    let weak = is_much_weaker(strength, self.strength);
                    if weak && !self.is_overloaded() {
                        self.claim(version).await;
                    }
                    self.wait_for_change(store_version).await;
                }
                Ok(seen) => {
                    last_holder.clear();
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

    /// Notes that another node holds the lease with this revision, and reads
    /// the record of silent workers if it may have changed.
    async fn follow_silent_workers(&mut self, revision: u64) {
        let is_new = self.seen_holders.last() != Some(revision);
        self.seen_holders.note(revision, clock::now_ms());
        if !is_new && !self.silent_workers.may_list_any() {
            return;
        }
        let store = self.store.sharing_reads(SHARE_INTERVAL_MS);
        let seen = &self.silent_workers;
        match LoadedSilentWorkers::read(&store, seen, &self.log).await {
            Ok(read) => self.silent_workers = read,
            Err(error) => counters::platform_failure(&error),
        }
    }

    /// Waits if this node is weak or was overloaded; returns whether the lease
    /// is still in the state that was seen.
    async fn defer_to_stronger(&self, seen: &LeaseState) -> bool {
        let max_strength = match self.max_strength().await {
            Ok(max_strength) => max_strength.max(1),
            Err(error) => {
                counters::platform_failure(&error);
                return true;
            }
        };
        let overloaded = self.is_overloaded();
        let weak = is_much_weaker(self.strength, max_strength) || overloaded;
        let free_version = match seen {
            LeaseState::Free => Some(0),
            LeaseState::Orphaned(version) => Some(*version),
            LeaseState::FormerProcess(_)
            | LeaseState::ThisProcess(_)
            | LeaseState::Other { .. } => None,
        };
        let Some(free_version) = free_version.filter(|_| weak) else {
            return true;
        };
        let percent =
            if overloaded { 0 } else { self.strength * 100 / max_strength };
        let delay = MAX_WEAK_DELAY_MS * (100 - percent) / 100;
        sleep(Duration::from_millis(delay)).await;
        // Another node may hold it by now.
        self.store.version(keys::OWNER).await == Ok(free_version)
    }

    async fn read_lease(
        &mut self,
        incarnation: u64,
    ) -> Result<LeaseState, Error> {
        // A list returns the store's current version. A watch from the key's
        // own version would ask for history that is soon compacted.
        let store = self.store.sharing_reads(SHARE_INTERVAL_MS);
        let (store_version, found) = store.list(keys::OWNER).await?;
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

    /// Returns whether an unreadable value has stood unchanged for so long
    /// that a live owner would have written it again.
    fn is_orphaned(&mut self, version: u64) -> bool {
        let now_ms = clock::now_ms();
        let known =
            self.unreadable_owner.filter(|owner| owner.version == version);
        let unreadable_owner =
            known.unwrap_or(UnreadableOwner { version, since_ms: now_ms });
        self.unreadable_owner = Some(unreadable_owner);
        now_ms >= unreadable_owner.since_ms + ORPHANED_AFTER_MS
    }

    /// Returns the identity under which orders to the VM service are recorded.
    pub(super) fn order_issuer(&self) -> OrderIssuer {
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        OrderIssuer { node, incarnation }
    }

    /// Returns the workers as a holder calls them.
    pub(super) fn relayed_workers(&self) -> RelayedWorkers<W> {
        let direct = self.workers.clone();
        if self.tolerated_halls == 0 {
            return RelayedWorkers::new(direct);
        }
        let (hall, log) = (self.hall.clone(), self.log.clone());
        RelayedWorkers::across_halls(direct, hall, log)
    }

    /// Returns the address by which its peers know this node.
    pub(super) fn peer_source(&self) -> Option<IpAddr> {
        self.peer_address.map(|address| address.ip())
    }

    /// Returns this node's data hall, where the loss of halls must be
    /// tolerated.
    pub(super) fn holder_hall(&self) -> Option<String> {
        (self.tolerated_halls > 0).then(|| self.hall.clone())
    }

    /// Returns whether this node was overloaded recently.
    fn is_overloaded(&self) -> bool {
        clock::now_ms() < self.overloaded_until_ms
    }

    /// Returns whether a claim comes from a much stronger node than this one.
    pub(super) fn is_much_weaker_than(&self, claim: &Claim) -> bool {
        claim.node != self.node
            && is_much_weaker(self.strength, claim.strength)
    }

    /// Asks the weak holder of the lease to hand it over, provided that the
    /// lease's key still has this version.
    async fn claim(&self, version: u64) {
        let claim = Claim { node: self.node.clone(), strength: self.strength };
        // OK because a text and a number can always be written.
        let value = serde_json::to_vec(&claim).expect("plain JSON");
        let lease_ms = STORE_LEASE_MS.max(self.min_lease_ms);
        let written = async {
            // The lease deletes the claim if this node fails before it is
            // answered.
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
            // Another node has written a claim, or the lease has changed
            // hands.
            Ok(Commit::Conflict(_)) => {}
            Err(error) => counters::platform_failure(&error),
        }
    }

    async fn wait_for_change(&self, store_version: u64) {
        if self.store.sharing_reads(SHARE_INTERVAL_MS).shares_reads() {
            // The readers watch the key. The others take the lease only if all
            // of these are lost.
            sleep(POLL_INTERVAL).await;
            return;
        }
        let changed = async {
            let mut watch =
                self.store.watch(keys::OWNER, store_version).await?;
            loop {
                if !watch.next().await?.events.is_empty() {
                    return Ok::<(), Error>(());
                }
            }
        };
        match timeout(POLL_INTERVAL, changed).await {
            Ok(Ok(())) => {
                let jitter = clock::unix_ms() ^ self.node.len() as u64;
                let jitter = Duration::from_millis(jitter % MAX_JITTER_MS);
                sleep(jitter).await;
            }
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                sleep(RETRY_DELAY).await;
            }
            // Time to read the key again.
            Err(_) => {}
        }
    }

    async fn take_and_schedule(&mut self, seen: LeaseState, incarnation: u64) {
        let taken = self.take_lease(seen, incarnation).await;
        let (held, silent_workers) = match taken {
            Ok(Some(taken)) => taken,
            Ok(None) => {
                // The key may be hidden from this node's reads; without a
                // delay it would be retried in a tight loop.
                sleep(RETRY_DELAY).await;
                return;
            }
            Err(error) => {
                counters::platform_failure(&error);
                info!(self.log, "election: taking the lease failed";
                    "error" => %error);
                sleep(RETRY_DELAY).await;
                return;
            }
        };
        info!(self.log, "election: this node schedules";
            "revision" => held.revision, "lease_ms" => held.lease_ms,
            "silent_workers" => silent_workers.workers.len());
        self.seen_holders.note(held.revision, clock::now_ms());
        counters::count(counters::TAKEOVERS);
        let outcome = holder::run(self, held, silent_workers).await;
        self.status.set_holder(None);
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
    ) -> Result<Option<(HeldLease, InheritedSilentWorkers)>, Error> {
        let (expected, last_holder) = match seen {
            LeaseState::Free => (Expected::Absent, self.seen_holders.last()),
            // A write of this process is replaced as well, because its store
            // lease is unknown.
            LeaseState::Orphaned(version)
            | LeaseState::FormerProcess(version)
            | LeaseState::ThisProcess(version) => {
                (Expected::Version(version), Some(version))
            }
            LeaseState::Other { .. } => return Ok(None),
        };
        let requested_ms = clock::now_ms();
        let lease_ms = STORE_LEASE_MS.max(self.min_lease_ms);
        let reading = LoadedSilentWorkers::read(
            &self.store,
            &self.silent_workers,
            &self.log,
        );
        let (lease, silent_workers) =
            tokio::try_join!(self.store.grant(lease_ms), reading)?;
        let mut inherited = silent_workers.inherited(last_holder);
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
        let batch = silent_workers.replace_with(&inherited.workers, batch);
        let revision = match self.store.commit(&batch).await? {
            Commit::Conflict(_) => return Ok(None),
            Commit::Done(revision) => revision,
        };
        if silent_workers.may_list_any() {
            inherited.version = revision;
        }
        let held =
            HeldLease { lease, lease_ms, revision, renewed_ms: requested_ms };
        Ok(Some((held, inherited)))
    }

    async fn release(&self, held: &HeldLease, outcome: StepDown) {
        let reason = match outcome {
            StepDown::Lost(reason) => reason,
            StepDown::Stopping => "the node stops",
            StepDown::Yielding => "a stronger node claimed the lease",
            StepDown::Overloaded => "this node can't keep up",
            StepDown::OutOfTokens => {
                "no higher fencing token is left for a worker"
            }
        };
        info!(self.log, "election: this node no longer schedules";
            "revision" => held.revision, "reason" => reason);
        // Deletes the key now rather than with its lease, so that another node
        // can take over; has no effect if another one has. A holder that stops
        // has deleted it already.
        if !matches!(outcome, StepDown::Stopping) {
            self.delete_lease_key(held.revision).await;
        }
    }
}

/// Returns whether a node is much weaker than another; one that doesn't give
/// its strength counts as strong.
fn is_much_weaker(strength: u64, other: u64) -> bool {
    // Other nodes may have written any number.
    strength > 0
        && strength.saturating_mul(100) / other.max(1) < MIN_STRENGTH_PERCENT
}
