/*!
Callers' queries about jobs, answered from the store.

Each answer takes one or two reads. A read that gives no result is retried
until the caller's deadline.
*/

use {
    super::{
        backoff::Backoff,
        counts::{CountsReader, CountsRecord, WaitingCounts},
        front::{Frontend, RETRY_AFTER_MS},
        holder::to_json,
        keys::{self, FeedKey},
    },
    crate::{clock, counters, passed_over},
    dewspar::{
        job::{JobId, Phase, Progress},
        schedule::AcceptedJob,
        team::Caller,
    },
    dewspar_platform::{
        JobProtocol, JobReply, KeyValue, ListedJob, Purpose, Versioned,
    },
    slog::info,
    std::collections::{BTreeMap, BTreeSet},
    tokio::time::{Instant, timeout_at},
};

/// The shortest time between two shared reads of the counts of waiting jobs,
/// in milliseconds.
const COUNTS_SHARE_INTERVAL_MS: u64 = 200;

/// A stored job that is unfinished.
struct OpenJob {
    listed: ListedJob,
    queue: String,
    /// The team that it belongs to; empty for none.
    team: String,
    /// When it is first due, in milliseconds of the Unix epoch; 0 for at once.
    due_ms: u64,
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    /// Reads a job's phase; `None` if there is no such job that the caller may
    /// see.
    pub(super) async fn phase(
        &self,
        id: JobId,
        caller: &Caller,
        deadline: Instant,
    ) -> Result<Option<Phase>, JobReply> {
        let progress = keys::progress(id);
        let mut found = self.read_progress(&progress, deadline).await?;
        if found.is_none() {
            let key = keys::accepted(id);
            let accepted =
                self.read_versioned(&self.store, &key, deadline).await?;
            if let Some(item) = accepted {
                let visible = match self.owner_in(id, &item) {
                    Some(owner) => caller.may_access(&owner),
                    None if caller.team().is_none() => true,
                    // It may belong to another team.
                    None => {
                        let retry_after_ms = RETRY_AFTER_MS;
                        return Err(JobReply::NotDone { retry_after_ms });
                    }
                };
                return Ok(visible.then_some(Phase::Queued));
            }
            // It may have finished between the two reads.
            found = self.read_progress(&progress, deadline).await?;
        }
        let visible = found.filter(|found| caller.may_access(&found.team));
        Ok(visible.map(|found| found.phase))
    }

    /// Returns the name of the team that a job belongs to, from its stored
    /// entry or its progress; `None` if the item can't be read.
    pub(super) fn owner_in(
        &self,
        id: JobId,
        item: &Versioned,
    ) -> Option<String> {
        if item.key == keys::progress(id) {
            let progress = serde_json::from_slice::<Progress>(&item.value);
            let progress =
                self.parsed_or_skipped("progress", item, progress)?;
            return Some(progress.team);
        }
        let job = serde_json::from_slice::<AcceptedJob>(&item.value);
        let job = self.parsed_or_skipped("accepted job", item, job)?;
        Some(job.team.map(|team| team.name).unwrap_or_default())
    }

    async fn read_progress(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Progress>, JobReply> {
        let Some(found) =
            self.read_versioned(&self.store, key, deadline).await?
        else {
            return Ok(None);
        };
        let progress = serde_json::from_slice::<Progress>(&found.value);
        match self.parsed_or_skipped("progress", &found, progress) {
            Some(progress) => Ok(Some(progress)),
            // Any answer about the job might be wrong.
            None => Err(JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS }),
        }
    }

    /// Counts a queue's jobs of which no task has started.
    pub(super) async fn pending(
        &self,
        queue: &str,
        deadline: Instant,
    ) -> JobReply {
        let locked = timeout_at(deadline, self.counts.lock()).await;
        let Ok(mut reader) = locked else {
            // A concurrent read of the counts takes that long.
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        };
        if let Some(count) = reader.cached_count(queue, clock::now_ms()) {
            return JobReply::Pending(count);
        }
        match self.read_counts(&mut reader, deadline).await {
            Ok(()) => JobReply::Pending(reader.count(queue)),
            Err(reply) => reply,
        }
    }

    /// Uses the holder's counts, or the ones that one node makes for all nodes
    /// when the holder's are unusable.
    async fn read_counts(
        &self,
        reader: &mut CountsReader,
        deadline: Instant,
    ) -> Result<(), JobReply> {
        let store = self.store.sharing_reads(COUNTS_SHARE_INTERVAL_MS);
        let found =
            self.read_versioned(&store, keys::PENDING, deadline).await?;
        let now_ms = clock::now_ms();
        let record = reader.evaluate(found.as_ref(), now_ms);
        info!(self.log, "call: counts of waiting jobs read";
            "counts" => to_json(&record.counts()),
            "unfit" => record.unusable_reason(),
            "store_version" => found.map_or(0, |found| found.version),
            "unchanged_ms" => reader.unchanged_ms(now_ms));
        let reason = match record {
            CountsRecord::Fresh(counts) => {
                reader.use_record(counts, now_ms);
                return Ok(());
            }
            CountsRecord::Unusable(reason) => reason,
        };
        self.shared_count(reader, reason, deadline).await
    }

    /// Counts the stored jobs that are waiting.
    pub(super) async fn count_open_jobs(
        &self,
        deadline: Instant,
    ) -> Result<WaitingCounts, JobReply> {
        let open = self.open_jobs(deadline).await?;
        Ok(count_waiting(&open, clock::unix_ms()))
    }

    /// Lists a queue's unfinished jobs that the caller may see.
    pub(super) async fn list(
        &self,
        queue: &str,
        caller: &Caller,
        deadline: Instant,
    ) -> JobReply {
        let open = match self.open_jobs(deadline).await {
            Ok(open) => open,
            Err(reply) => return reply,
        };
        let in_queue = open
            .into_iter()
            .filter(|job| job.queue == queue && caller.may_access(&job.team));
        JobReply::Jobs(in_queue.map(|job| job.listed).collect())
    }

    /// Reads the unfinished jobs: those in the feed that are neither finished
    /// nor cancelled, each with its stored progress.
    async fn open_jobs(
        &self,
        deadline: Instant,
    ) -> Result<Vec<OpenJob>, JobReply> {
        let store = self.store.with_purpose(Purpose::Counts);
        let lists = async {
            tokio::try_join!(
                store.list(keys::FEED),
                store.list(keys::PROGRESS),
            )
        };
        let retry_after_ms = RETRY_AFTER_MS;
        let (feed, progress) = match timeout_at(deadline, lists).await {
            Ok(Ok(((_, feed), (_, progress)))) => (feed, progress),
            Ok(Err(error)) => {
                counters::platform_failure(&error);
                return Err(JobReply::NotDone { retry_after_ms });
            }
            Err(_) => return Err(JobReply::NotDone { retry_after_ms }),
        };
        self.gate.note_answer();
        Ok(self.select_open(&feed, &progress))
    }

    fn select_open(
        &self,
        feed: &[Versioned],
        progress: &[Versioned],
    ) -> Vec<OpenJob> {
        let phases: BTreeMap<JobId, Phase> = progress
            .iter()
            .filter_map(|item| {
                let id = keys::parse_progress(&item.key)?;
                let stored = serde_json::from_slice::<Progress>(&item.value);
                Some((
                    id,
                    self.parsed_or_skipped("progress", item, stored)?.phase,
                ))
            })
            .collect();
        let mut cancelled = BTreeSet::new();
        let mut open = Vec::new();
        for item in feed {
            match FeedKey::parse(&item.key) {
                Some(FeedKey::Cancelled(id)) => {
                    cancelled.insert(id);
                }
                Some(FeedKey::Accepted(id)) => {
                    let job =
                        serde_json::from_slice::<AcceptedJob>(&item.value);
                    let Some(job) =
                        self.parsed_or_skipped("accepted job", item, job)
                    else {
                        continue;
                    };
                    let phase = phases.get(&id).copied().unwrap_or_default();
                    let due_ms = job.spec.due_ms(0);
                    let queue = job.spec.queue;
                    let team = job.team.map(|team| team.name);
                    let team = team.unwrap_or_default();
                    let listed = ListedJob { id, phase };
                    open.push(OpenJob { listed, queue, team, due_ms });
                }
                Some(FeedKey::Owner | FeedKey::Claim) | None => {}
            }
        }
        open.retain(|OpenJob { listed, .. }| {
            !listed.phase.is_final() && !cancelled.contains(&listed.id)
        });
        open
    }

    /// Logs and skips a value that can't be parsed.
    fn parsed_or_skipped<T>(
        &self,
        what: &'static str,
        item: &Versioned,
        value: Result<T, serde_json::Error>,
    ) -> Option<T> {
        value
            .inspect_err(|error| {
                let (key, version) = (&item.key, item.version);
                passed_over::record(&self.log, what, key, version, error);
            })
            .ok()
    }

    /// Reads a key, with retries until the deadline.
    pub(super) async fn read_versioned(
        &self,
        store: &K,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<Versioned>, JobReply> {
        let mut backoff = Backoff::default();
        loop {
            match timeout_at(deadline, store.get(key)).await {
                Ok(Ok(found)) => {
                    self.gate.note_answer();
                    return Ok(found);
                }
                Ok(Err(error)) => counters::platform_failure(&error),
                Err(_) => {}
            }
            if !backoff.wait_before(deadline).await {
                let retry_after_ms = RETRY_AFTER_MS;
                return Err(JobReply::NotDone { retry_after_ms });
            }
        }
    }
}

/// Counts each queue's jobs that are due and of which no task has started.
fn count_waiting(open: &[OpenJob], unix_ms: u64) -> WaitingCounts {
    let mut counts = WaitingCounts::new();
    for job in open {
        if job.listed.phase == Phase::Queued && unix_ms >= job.due_ms {
            *counts.entry(job.queue.clone()).or_default() += 1;
        }
    }
    counts
}
