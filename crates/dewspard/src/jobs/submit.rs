/*!
Accepting a job, or refusing it because it couldn't be run in time.

A holder that can't start all that comes writes how long new jobs would wait.
Nodes needn't look for that: the write that accepts a job is conditional on
the notice being as the node knows it, and where it isn't, the store's answer
brings the new one. As long as there is none, that costs nothing.

A refusal must be true. So a job is refused only while nothing was sent for it
but writes that certainly had no effect; once one may still be done, the job is
accepted, whatever the notice says.
*/

use {
    super::{
        front::{Front, RETRY_AFTER_MS, Written},
        keys,
    },
    crate::{clock, counters},
    dewspar::{
        job::{JobId, JobSpec, QueueSet},
        patience::{Verdict, judge},
        schedule::{AcceptedJob, ExpectedWaits},
    },
    dewspar_platform::{
        Batch, Expected, JobProtocol, JobReply, KeyValue, Versioned,
    },
    slog::{Logger, info, warn},
    std::sync::{Mutex, PoisonError},
    tokio::time::Instant,
};

/// For how long a notice is believed without the store having confirmed it, in
/// milliseconds: the holder writes a new one twice in that time.
const BELIEVED_MS: u64 = 1_000;

/// How often a job is judged anew because the notice has changed: it changes
/// twice a second, and a write takes some milliseconds.
const MAX_JUDGEMENTS: usize = 3;

/// What this node knows of the holder's notice.
#[derive(Clone, Debug, Default)]
struct Notice {
    /// Its version; 0 for none.
    version: u64,
    waits: ExpectedWaits,
    /// When the store last showed it.
    shown_ms: u64,
}

/// The notice as it was last seen; calls share it.
#[derive(Debug, Default)]
pub(super) struct LastNotice(Mutex<Notice>);

impl LastNotice {
    fn get(&self) -> Notice {
        // OK after a panic: it is replaced as a whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, notice: Notice) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = notice;
    }
}

impl Notice {
    fn read(found: Option<&Versioned>, log: &Logger) -> Notice {
        let shown_ms = clock::now_ms();
        let Some(found) = found else {
            return Notice { shown_ms, ..Notice::default() };
        };
        let waits = serde_json::from_slice(&found.value);
        let waits = waits.unwrap_or_else(|error| {
            warn!(log, "call: notice of long waits can't be read";
                "key" => keys::WAITS, "error" => %error);
            ExpectedWaits::default()
        });
        Notice { version: found.version, waits, shown_ms }
    }

    fn is_fresh(&self) -> bool {
        clock::now_ms() < self.shown_ms + BELIEVED_MS
    }
}

/// What the store said to a write that accepts a job.
enum Accepting {
    Over(JobReply),
    /// The notice isn't as this node knew it; nothing was done.
    NoticeChanged,
}

impl<K: KeyValue, P: JobProtocol> Front<K, P> {
    /// Accepts a job, unless it is known that it would be run too late.
    pub(super) async fn submit(
        &self,
        queues: &QueueSet,
        id: JobId,
        spec: &JobSpec,
        deadline: Instant,
    ) -> JobReply {
        if !self.readiness.is_current() {
            counters::count_by(counters::REFUSALS, "reason", "stale_config");
            return JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS };
        }
        let terms = queues.named(&spec.queue).map(|q| q.terms.clone());
        let job = AcceptedJob {
            spec: spec.clone(),
            terms: terms.unwrap_or_default(),
            accepted_at_ms: clock::unix_ms(),
        };
        for _ in 0..MAX_JUDGEMENTS {
            let notice = self.notice.get();
            if notice.is_fresh()
                && let Some(refused) = self.refuse(id, &job, &notice)
            {
                return refused;
            }
            // Two of these are the same if it is fresh: it allows the job.
            let expected = if notice.is_fresh() && notice.version > 0 {
                Expected::Any
            } else {
                Expected::from_version(notice.version)
            };
            match self.accept(id, &job, expected, deadline).await {
                Accepting::Over(reply) => return reply,
                Accepting::NoticeChanged => {}
            }
        }
        match self.accept(id, &job, Expected::Any, deadline).await {
            Accepting::Over(reply) => reply,
            // Nothing was done, and no condition asked for the notice.
            Accepting::NoticeChanged => {
                JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS }
            }
        }
    }

    /// Returns the refusal of a job that would wait too long to be of use.
    fn refuse(
        &self,
        id: JobId,
        job: &AcceptedJob,
        notice: &Notice,
    ) -> Option<JobReply> {
        let wait_ms = notice.waits.of(job.terms.priority);
        let lasting = job.spec.steps.iter().any(|step| step.long_running);
        // Those are wanted from some time on, not within some time.
        if wait_ms == 0 || lasting || job.spec.repeat.is_some() {
            return None;
        }
        let chain_ms = job.spec.chain_ms();
        let objective_ms = job.terms.objective_ms(chain_ms);
        let verdict = judge(wait_ms, chain_ms, objective_ms, id.draw());
        let Verdict::Refuse { retry_after_ms } = verdict else { return None };
        info!(self.log, "call: job refused, it would wait too long";
            "job" => %id, "queue" => &job.spec.queue,
            "priority" => job.terms.priority, "wait_ms" => wait_ms,
            "chain_ms" => chain_ms, "objective_ms" => objective_ms,
            "notice_version" => notice.version,
            "notice_age_ms" => clock::now_ms() - notice.shown_ms,
            "retry_after_ms" => retry_after_ms);
        counters::count_by(counters::REFUSALS, "reason", "long_wait");
        Some(JobReply::NotDone { retry_after_ms })
    }

    async fn accept(
        &self,
        id: JobId,
        job: &AcceptedJob,
        notice: Expected,
        deadline: Instant,
    ) -> Accepting {
        if self.gate.admit(deadline).await.is_err() {
            counters::count_by(counters::REFUSALS, "reason", "store_out");
            return not_done();
        }
        // OK because a job holds only what JSON can write.
        let value = serde_json::to_vec(job).expect("plain JSON");
        let batch = |notice| {
            Batch::default()
                .when(&keys::accepted(id), Expected::Absent)
                .when(&keys::progress(id), Expected::Absent)
                .when(keys::WAITS, notice)
                .put(&keys::accepted(id), value.clone())
                .put(keys::ACCEPTED_LAST, Vec::new())
        };
        let mut written = self.write(&batch(notice), deadline).await;
        if let Written::Conflict { current, maybe_done } = &written {
            if !is_there(id, current) && !maybe_done {
                let notice = current.iter().find(|i| i.key == keys::WAITS);
                self.notice.set(Notice::read(notice, &self.log));
                return Accepting::NoticeChanged;
            }
            if !is_there(id, current) {
                // An earlier try may still be done, so it can't be refused.
                written = self.write(&batch(Expected::Any), deadline).await;
            }
        }
        match written {
            // It is there already, be it from this call's first try.
            Written::Done | Written::Conflict { .. } => {
                Accepting::Over(JobReply::Accepted)
            }
            Written::NotDone => {
                counters::count_by(counters::REFUSALS, "reason", "store");
                not_done()
            }
            Written::Unknown => Accepting::Over(JobReply::Unknown),
        }
    }
}

fn not_done() -> Accepting {
    let retry_after_ms = RETRY_AFTER_MS;
    Accepting::Over(JobReply::NotDone { retry_after_ms })
}

/// Returns whether the store has a job, open or over.
fn is_there(id: JobId, current: &[Versioned]) -> bool {
    let (accepted, progress) = (keys::accepted(id), keys::progress(id));
    current.iter().any(|item| item.key == accepted || item.key == progress)
}
