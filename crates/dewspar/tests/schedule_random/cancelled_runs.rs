//! Checks how long runs of cancelled jobs continue.

use {
    dewspar::{job::TaskId, schedule::WorkerId},
    std::collections::BTreeMap,
};

/// How long a run may continue after its job was cancelled while its worker
/// and the store can be reached, in milliseconds: 5 s until nothing starts,
/// and 900 ms for the stop.
const MAX_RUN_AFTER_CANCEL_MS: u64 = 5_000 + 900;

/// A run of a cancelled job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CancelledRun {
    pub worker: WorkerId,
    pub task: TaskId,
    pub run: u64,
}

/// The runs of cancelled jobs, each with the time since when it could be
/// stopped.
#[derive(Debug, Default)]
pub struct CancelledRuns {
    since_ms: BTreeMap<CancelledRun, u64>,
    /// The number of runs that were in progress when their job was cancelled,
    /// or began after that.
    pub seen: u32,
}

impl CancelledRuns {
    /// Checks all such runs, each with whether it can be stopped now.
    pub fn check_all(&mut self, now_ms: u64, runs: Vec<(CancelledRun, bool)>) {
        let mut since_ms = BTreeMap::new();
        for (run, in_touch) in runs {
            let known_ms = self.since_ms.get(&run).copied();
            self.seen += u32::from(known_ms.is_none());
            let since = known_ms.filter(|_| in_touch).unwrap_or(now_ms);
            let for_ms = now_ms - since;
            assert!(
                for_ms <= MAX_RUN_AFTER_CANCEL_MS,
                "{for_ms} ms unwanted: {run:?}"
            );
            since_ms.insert(run, since);
        }
        self.since_ms = since_ms;
    }
}
