/*!
Counts waiting jobs when the holder doesn't: one node counts for all.

A count reads every unfinished job, a megabyte or more on a large fleet. When a
holder falls behind, its counts expire on every node at the same moment. If
each node then counted for itself, a hundred nodes would read hundreds of
megabytes a second from the store that the holder is waiting for, and it would
fall further behind. So one node counts, under a lock in the store, and
publishes its counts there for the others. Both expire with their leases: the
lock if its node fails, the counts when they are too old to be used.
*/

use {
    super::{
        counts::{CountsReader, WaitingCounts},
        front::{Frontend, RETRY_AFTER_MS},
        holder::to_json,
        keys,
    },
    crate::{clock, counters, passed_over},
    dewspar_platform::{
        Batch, Commit, Error, Expected, JobProtocol, JobReply, KeyValue,
        Purpose,
    },
    slog::info,
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
};

/// How long the lock lasts, in milliseconds: a small link needs most of that
/// for a megabyte and a half.
const LOCK_TTL_MS: u64 = 3_000;

/// How long counts stay published, in milliseconds, unless the store's
/// shortest lease is longer: callers may get counts that are up to 2 s old.
const COUNTS_TTL_MS: u64 = 1_000;

/// How often a node checks for the counts that another one is making.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How a node obtains counts.
enum CountSource {
    /// Another node has published its counts.
    Published(WaitingCounts),
    /// This node has taken the lock at this version, and must count.
    LockTaken(u64),
    /// Another node holds the lock and is counting.
    InProgress,
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Returns through `reader` the counts that one node makes for all, or
    /// makes them.
    pub(super) async fn shared_count(
        &self,
        reader: &mut CountsReader,
        reason: &'static str,
        deadline: Instant,
    ) -> Result<(), JobReply> {
        loop {
            let source = timeout_at(deadline, self.find_or_lock()).await;
            match source {
                Ok(Ok(CountSource::Published(counts))) => {
                    reader.use_record(counts, clock::now_ms());
                    return Ok(());
                }
                Ok(Ok(CountSource::LockTaken(lock))) => {
                    info!(self.log, "call: counts waiting jobs for all";
                        "reason" => reason, "lock" => lock);
                    return self.count_for_all(reader, lock, deadline).await;
                }
                Ok(Ok(CountSource::InProgress)) => {}
                Ok(Err(error)) => counters::platform_failure(&error),
                Err(_) => {}
            }
            if Instant::now() + POLL_INTERVAL >= deadline {
                let retry_after_ms = RETRY_AFTER_MS;
                return Err(JobReply::NotDone { retry_after_ms });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn find_or_lock(&self) -> Result<CountSource, Error> {
        let store = self.store.with_purpose(Purpose::Counts);
        if let Some(found) = store.get(keys::COUNTED).await? {
            match serde_json::from_slice(&found.value) {
                Ok(counts) => return Ok(CountSource::Published(counts)),
                Err(error) => {
                    let (key, version) = (&found.key, found.version);
                    passed_over::record(
                        &self.log, "counts", key, version, &error,
                    );
                }
            }
        }
        let lease = store.grant(LOCK_TTL_MS).await?;
        let lock = Batch::default()
            .when(keys::COUNTING, Expected::Absent)
            .put_leased(keys::COUNTING, Vec::new(), lease);
        match store.commit(&lock).await? {
            Commit::Done(version) => Ok(CountSource::LockTaken(version)),
            Commit::Conflict(_) => {
                store.revoke(lease).await?;
                Ok(CountSource::InProgress)
            }
        }
    }

    /// Counts the stored jobs, and publishes the counts for other nodes.
    async fn count_for_all(
        &self,
        reader: &mut CountsReader,
        lock: u64,
        deadline: Instant,
    ) -> Result<(), JobReply> {
        let counted = self.count_open_jobs(deadline).await;
        let released = match &counted {
            Ok(counts) => self.publish_counts(counts, lock).await,
            // Another node may succeed.
            Err(_) => self.unlock().await,
        };
        if let Err(error) = released {
            // The lock expires with its lease, and another node counts again.
            counters::platform_failure(&error);
        }
        let counts = counted?;
        info!(self.log, "call: waiting jobs counted here";
            "lock" => lock, "counts" => to_json(&counts));
        reader.use_own_count(counts, clock::now_ms());
        Ok(())
    }

    /// Publishes counts for other nodes, unless the lock has expired and
    /// another node may be counting.
    async fn publish_counts(
        &self,
        counts: &WaitingCounts,
        lock: u64,
    ) -> Result<(), Error> {
        let store = self.store.with_purpose(Purpose::Counts);
        let lease = store.grant(COUNTS_TTL_MS.max(self.min_lease_ms)).await?;
        // OK because texts and numbers can always be written.
        let value = serde_json::to_vec(counts).expect("plain JSON");
        let batch = Batch::default()
            .when(keys::COUNTING, Expected::Version(lock))
            .put_leased(keys::COUNTED, value, lease)
            .delete(keys::COUNTING);
        store.commit(&batch).await.map(drop)
    }

    async fn unlock(&self) -> Result<(), Error> {
        let store = self.store.with_purpose(Purpose::Counts);
        store.delete(keys::COUNTING).await
    }
}
