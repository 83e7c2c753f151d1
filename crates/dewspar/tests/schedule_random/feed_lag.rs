//! A feed of accepted and cancelled jobs that lags, and reads of the stored
//! cancellations apart from it.

use {
    crate::world::World,
    dewspar::{
        job::{JobId, TaskId},
        schedule::{AcceptedJob, Options},
        staleness::{StalenessLimits, StateUse, StateView},
    },
    rand::Rng,
    std::collections::{BTreeMap, VecDeque},
};

/// How stale cancellations may be for tasks to start.
const LIMITS: StalenessLimits =
    StalenessLimits { check_after_ms: 800, wait_after_ms: 2_500 };

/// The longest lag of the feed, in milliseconds.
const MAX_LAG_MS: u64 = 8_000;

/// The longest time that a read of the cancellations takes, in milliseconds.
const MAX_READ_MS: u64 = 1_500;

/// The highest job number that is cancelled.
const JOBS: u64 = 10;

/// A change that the feed delivers.
enum FeedChange {
    Accepted(JobId, Box<AcceptedJob>, u64),
    Cancelled(JobId),
}

/// A read of the stored cancellations that is on its way.
struct CancellationsRead {
    view: StateView,
    found: Vec<JobId>,
    answered_ms: u64,
}

/// The feed, and when it delivers changes.
#[derive(Default)]
pub struct FeedLag {
    /// Whether the scheduler's starts depend on the known cancellations.
    is_checked: bool,
    /// The changes that aren't delivered yet, each with the time at which it
    /// was stored.
    queued: VecDeque<(u64, FeedChange)>,
    /// Until when nothing is delivered.
    lags_until_ms: u64,
    read: Option<CancellationsRead>,
    /// When each job was cancelled.
    cancelled_ms: BTreeMap<JobId, u64>,
    /// The number of lags.
    pub lags: u32,
    /// The number of reads that found the cancellation of a job before the
    /// feed had delivered the job.
    pub read_ahead: u32,
    /// The number of steps in which starts had to wait.
    pub waits: u32,
    /// The starts that were ordered too late after their job's cancellation.
    pub late_starts: u32,
}

impl FeedLag {
    pub fn options(&self) -> Options {
        let limits = self.is_checked.then_some(LIMITS);
        Options::default().cancellation_limits(limits)
    }

    pub fn accept(
        &mut self,
        id: JobId,
        job: AcceptedJob,
        revision: u64,
        now_ms: u64,
    ) {
        let change = FeedChange::Accepted(id, Box::new(job), revision);
        self.queued.push_back((now_ms, change));
    }

    pub fn cancel(&mut self, id: JobId, now_ms: u64) {
        self.cancelled_ms.entry(id).or_insert(now_ms);
        self.queued.push_back((now_ms, FeedChange::Cancelled(id)));
    }

    /// Counts a start that is ordered too late.
    pub fn check_start(&mut self, task: &TaskId, now_ms: u64) {
        let cancelled_ms = self.cancelled_ms.get(&task.job);
        let is_late = cancelled_ms
            .is_some_and(|at_ms| now_ms > at_ms + LIMITS.wait_after_ms);
        self.late_starts += u32::from(is_late);
    }

    /// Forgets what the former holder had still to receive.
    pub fn take_over(&mut self) {
        self.queued.clear();
        self.read = None;
    }
}

impl World {
    /// Returns a world whose feed lags from time to time; `is_checked` says
    /// whether starts depend on how stale the known cancellations are.
    pub fn with_feed_lag(mut self, is_checked: bool) -> World {
        self.feed_lag = Some(FeedLag { is_checked, ..FeedLag::default() });
        self.take_over();
        self
    }

    /// Cancels jobs more often than other worlds do, and lets the feed lag.
    pub fn change_feed_lag(&mut self) {
        if self.feed_lag.is_none() || !self.faults {
            return;
        }
        if self.chance(30) {
            let number = self.random.random_range(0..JOBS);
            self.cancel(number);
        }
        let starts = self.chance(10);
        let for_ms = self.random.random_range(500..=MAX_LAG_MS);
        let now_ms = self.now_ms;
        let Some(lag) = &mut self.feed_lag else { return };
        if starts && now_ms >= lag.lags_until_ms {
            lag.lags_until_ms = now_ms + for_ms;
            lag.lags += 1;
        }
    }

    /// Delivers what the feed has, and reads cancellations if they are stale.
    pub fn follow_feed(&mut self) {
        let (now, is_store_out) = (self.now(), self.is_store_out());
        let Some(mut lag) = self.feed_lag.take() else { return };
        self.scheduler.set_detached(is_store_out);
        let is_lagging = self.faults && self.now_ms < lag.lags_until_ms;
        if !is_store_out && !is_lagging {
            for (_, change) in lag.queued.drain(..) {
                match change {
                    FeedChange::Accepted(id, job, revision) => {
                        self.scheduler.submit(id, *job, revision, None);
                    }
                    FeedChange::Cancelled(id) => {
                        self.scheduler.cancel(id, now);
                    }
                }
            }
            let view = StateView {
                revision: self.store.revision(),
                current_ms: self.now_ms,
            };
            self.scheduler.note_cancellations(view);
        }
        self.follow_read(&mut lag);
        if lag.is_checked {
            let is_waiting =
                self.scheduler.cancellations_use(now) == StateUse::Wait;
            lag.waits += u32::from(is_waiting && !is_store_out);
        }
        self.feed_lag = Some(lag);
    }

    /// Applies the read that is answered, and begins one if it is due.
    fn follow_read(&mut self, lag: &mut FeedLag) {
        let now = self.now();
        let is_answered =
            |read: &mut CancellationsRead| self.now_ms >= read.answered_ms;
        if let Some(read) = lag.read.take_if(is_answered) {
            for id in read.found {
                let is_queued = lag.queued.iter().any(|(_, change)| {
                    matches!(change, FeedChange::Accepted(queued, ..)
                        if *queued == id)
                });
                lag.read_ahead += u32::from(is_queued);
                self.scheduler.cancel(id, now);
            }
            self.scheduler.note_cancellations(read.view);
        }
        let is_due = self.scheduler.cancellations_use(now) != StateUse::Use;
        if !is_due || lag.read.is_some() || self.is_store_out() {
            return;
        }
        let took_ms = self.random.random_range(0..MAX_READ_MS);
        lag.read = Some(CancellationsRead {
            view: StateView {
                revision: self.store.revision(),
                current_ms: self.now_ms,
            },
            found: self.store.recorded_cancellations(),
            answered_ms: self.now_ms + took_ms,
        });
    }
}
