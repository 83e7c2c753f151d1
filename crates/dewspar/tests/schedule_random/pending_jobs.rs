//! Checks the phase and the count of jobs that no worker has begun.

use {
    crate::world::World,
    dewspar::job::{JobId, Phase},
    std::fmt,
};

/// A job that hadn't begun and was treated as if it had.
#[derive(Clone, Copy, Debug)]
pub enum Miscounted {
    /// It was reported as running.
    ShownRunning { at_step: u64, job: JobId },
    /// Fewer jobs were counted as pending than hadn't begun.
    Fewer { at_step: u64, counted: u64, waiting: u64 },
}

impl fmt::Display for Miscounted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Miscounted::ShownRunning { at_step, job } => {
                write!(f, "step {at_step}: {job} is shown as running")
            }
            Miscounted::Fewer { at_step, counted, waiting } => write!(
                f,
                "step {at_step}: {counted} of {waiting} counted as pending"
            ),
        }
    }
}

impl World {
    /// Compares the phases and the count of the jobs that haven't begun with
    /// the truth.
    ///
    /// A holder that hasn't loaded all jobs doesn't count any.
    pub fn miscount(&self, at_step: u64) -> Option<Miscounted> {
        if self.scheduler.is_loading() {
            return None;
        }
        let over = |id: &JobId| {
            let stored = self.store.progress.get(id);
            self.store.cancelled.contains(id)
                || stored.is_some_and(|p| p.phase.is_final())
        };
        let waiting = self.store.jobs.keys().filter(|id| !over(id));
        let waiting: Vec<JobId> =
            waiting.filter(|id| !self.begun.contains(*id)).copied().collect();
        let running =
            |id: &&JobId| self.scheduler.phase(**id) == Some(Phase::Running);
        if let Some(job) = waiting.iter().find(running).copied() {
            return Some(Miscounted::ShownRunning { at_step, job });
        }
        // Every job belongs to the one queue, which has an empty name.
        let counted = self.scheduler.pending(self.now().unix_ms);
        let counted = counted.get("").copied().unwrap_or(0);
        let waiting = waiting.len() as u64;
        (counted < waiting).then_some(Miscounted::Fewer {
            at_step,
            counted,
            waiting,
        })
    }
}
