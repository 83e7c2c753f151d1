use {
    crate::{
        counters,
        view::{ViewReader, keys},
    },
    dewspar::member::Member,
    dewspar_platform::{Cas, Error, Expected, KeyValue, Lease},
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::{sync::oneshot, time::sleep},
};

/// The pause after the platform refused the lease.
const LEASE_PAUSE: Duration = Duration::from_millis(500);

/// The task that owns the node's lease.
pub(super) struct LeaseKeeper<K> {
    pub(super) platform: K,
    pub(super) member: Member,
    pub(super) ttl_ms: u64,
    pub(super) view: ViewReader,
    pub(super) log: Logger,
}

impl<K: KeyValue> LeaseKeeper<K> {
    pub(super) async fn run(self, mut leave: oneshot::Receiver<()>) {
        loop {
            let lease = tokio::select! {
                lease = self.enter() => lease,
                _ = &mut leave => return,
            };
            match lease {
                Ok(lease) => {
                    if self.keep(lease, &mut leave).await.is_some() {
                        return;
                    }
                }
                Err(error) => {
                    counters::platform_failure(&error);
                    warn!(self.log, "member: lease refused"; "error" => %error);
                    sleep(LEASE_PAUSE).await;
                }
            }
        }
    }

    /// Takes a lease and lists the node under it.
    async fn enter(&self) -> Result<Lease, Error> {
        let lease = self.platform.grant(self.ttl_ms).await?;
        let key = format!("{}{}", keys::MEMBER, self.member.name());
        // OK because a member holds only strings and a number.
        let value = serde_json::to_vec(&self.member).expect("JSON");
        let swapped = self
            .platform
            .swap(&key, Expected::Any, &value, Some(lease))
            .await?;
        if let Cas::Swapped(version) = swapped {
            info!(self.log, "member: node listed"; "version" => version);
        }
        Ok(lease)
    }

    /// Renews the lease; returns when the node leaves or the lease lapsed.
    async fn keep(
        &self,
        lease: Lease,
        leave: &mut oneshot::Receiver<()>,
    ) -> Option<()> {
        loop {
            tokio::select! {
                _ = &mut *leave => {
                    let _ = self.platform.revoke(lease).await;
                    info!(self.log, "member: node left the roster");
                    return Some(());
                }
                () = sleep(Duration::from_millis(self.ttl_ms / 3)) => {}
            }
            match self.platform.keep_alive(lease).await {
                Ok(true) if self.is_listed() => {}
                Ok(_) => {
                    warn!(self.log, "member: lease lapsed");
                    return None;
                }
                Err(error) => {
                    // The lease may well outlive the outage.
                    counters::platform_failure(&error);
                }
            }
        }
    }

    /// Returns whether the platform lists this very process.
    fn is_listed(&self) -> bool {
        let view = self.view.borrow();
        view.members.get(self.member.name()) == Some(&self.member)
    }
}
