/*!
What callers ask about jobs, answered from the store.

Every answer is one or two reads; a read that gets no result is tried again
until the caller's deadline.
*/

use {
    super::{
        backoff::Backoff,
        front::{Front, RETRY_AFTER_MS},
        keys::{self, FeedKey},
    },
    crate::{clock, counters},
    dewspar::{
        job::{JobId, Phase, Progress},
        schedule::AcceptedJob,
    },
    dewspar_platform::{
        JobProtocol, JobReply, KeyValue, ListedJob, Versioned,
    },
    slog::info,
    std::collections::BTreeMap,
    tokio::time::{Instant, timeout_at},
};

/// How old the counts of waiting jobs may be, in milliseconds.
const PENDING_AGE_MS: u64 = 500;

/// The counts of waiting jobs, as last read.
#[derive(Debug, Default)]
pub(super) struct PendingCounts {
    counts: BTreeMap<String, u64>,
    read_ms: u64,
    /// The store's version of the counts; 0 where there were none.
    version: u64,
    /// When that version was first read.
    changed_ms: u64,
}

impl<K: KeyValue, P: JobProtocol> Front<K, P> {
    /// Reads how far a job has come; `None` if there is no such job.
    pub(super) async fn phase(
        &self,
        id: JobId,
        deadline: Instant,
    ) -> Result<Option<Phase>, JobReply> {
        let progress = keys::progress(id);
        if let Some(phase) = self.read_phase(&progress, deadline).await? {
            return Ok(Some(phase));
        }
        let accepted = self.read(&keys::accepted(id), deadline).await?;
        if accepted.is_some() {
            return Ok(Some(Phase::Queued));
        }
        // It may have come to its end between the two.
        self.read_phase(&progress, deadline).await
    }

    async fn read_phase(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Phase>, JobReply> {
        let Some(value) = self.read(key, deadline).await? else {
            return Ok(None);
        };
        match serde_json::from_slice::<Progress>(&value) {
            Ok(progress) => Ok(Some(progress.phase)),
            Err(error) => {
                info!(self.log, "call: stored progress can't be read";
                    "key" => key, "error" => %error);
                Err(JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS })
            }
        }
    }

    pub(super) async fn pending(
        &self,
        queue: &str,
        deadline: Instant,
    ) -> JobReply {
        let locked = timeout_at(deadline, self.pending.lock()).await;
        let Ok(mut pending) = locked else {
            // Somebody else's read is taking that long.
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        };
        let now_ms = clock::now_ms();
        if now_ms >= pending.read_ms + PENDING_AGE_MS {
            let found = match self.find(keys::PENDING, deadline).await {
                Ok(found) => found,
                Err(reply) => return reply,
            };
            let version = found.as_ref().map_or(0, |found| found.version);
            if version != pending.version {
                pending.version = version;
                pending.changed_ms = now_ms;
            }
            let value = found.map_or_else(|| b"{}".to_vec(), |f| f.value);
            info!(self.log, "call: counts of waiting jobs read";
                "counts" => String::from_utf8_lossy(&value).as_ref(),
                "store_version" => version,
                "unchanged_ms" => now_ms - pending.changed_ms);
            match serde_json::from_slice(&value) {
                Ok(counts) => {
                    pending.counts = counts;
                    pending.read_ms = now_ms;
                }
                Err(error) => {
                    info!(self.log, "call: stored counts can't be read";
                        "error" => %error);
                }
            }
        }
        let count = pending.counts.get(queue).copied();
        JobReply::Pending(count.unwrap_or(0))
    }

    /// Lists a queue's jobs that aren't over: those whose entry is still in
    /// the feed, each with what is stored of it.
    pub(super) async fn list(
        &self,
        queue: &str,
        deadline: Instant,
    ) -> JobReply {
        let lists = async {
            tokio::try_join!(
                self.store.list(keys::FEED),
                self.store.list(keys::PROGRESS),
            )
        };
        let (accepted, progress) = match timeout_at(deadline, lists).await {
            Ok(Ok(((_, accepted), (_, progress)))) => (accepted, progress),
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
            }
            Err(_) => {
                return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
            }
        };
        let phases: BTreeMap<JobId, Phase> = progress
            .iter()
            .filter_map(|item| {
                let id = keys::job_of_progress(&item.key)?;
                let stored = serde_json::from_slice::<Progress>(&item.value);
                Some((id, stored.ok()?.phase))
            })
            .collect();
        let open = accepted.iter().filter_map(|item| {
            let Some(FeedKey::Accepted(id)) = FeedKey::parse(&item.key) else {
                return None;
            };
            let job = serde_json::from_slice::<AcceptedJob>(&item.value);
            let phase = phases.get(&id).copied().unwrap_or(Phase::Queued);
            let named = job.is_ok_and(|job| job.spec.queue == queue);
            (named && !phase.is_final()).then_some(ListedJob { id, phase })
        });
        JobReply::Jobs(open.collect())
    }

    /// Reads a key's value, again if need be, until the deadline.
    async fn read(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Vec<u8>>, JobReply> {
        Ok(self.find(key, deadline).await?.map(|found| found.value))
    }

    /// Reads a key, again if need be, until the deadline.
    async fn find(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Versioned>, JobReply> {
        let mut backoff = Backoff::default();
        loop {
            match timeout_at(deadline, self.store.get(key)).await {
                Ok(Ok(found)) => {
                    self.gate.heard();
                    return Ok(found);
                }
                Ok(Err(error)) => counters::platform_failure(&error),
                Err(_) => {}
            }
            if !backoff.pause(deadline).await {
                let retry_after_ms = RETRY_AFTER_MS;
                return Err(JobReply::NotDone { retry_after_ms });
            }
        }
    }
}
