/*!
How much room a pool's arriving jobs will take.

What runs and waits now says too little at the start of a peak: a job's later
steps aren't there yet, and a VM takes a few seconds to come. By Little's law
the processors that a steady flow of jobs keeps busy are its jobs a second
times the core-seconds of each, and so with memory and GPUs. So the first work of the jobs that came of
late, over the time in which they came, is what those to come will use. What
the jobs that are there will use is projected, job by job.
*/

use {
    crate::{
        job::JobSpec,
        schedule::{Forecast, Now, Resources, Scheduler},
    },
    std::collections::VecDeque,
};

/// One job that came.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    /// What it takes, times milliseconds.
    work: Resources,
}

/// The jobs that came to a pool of late.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<Arrival>,
    work: Resources,
    /// Since when jobs come without a longer gap.
    since_ms: u64,
}

impl Arrivals {
    fn record(&mut self, at_ms: u64, work: Resources, policy: &Forecast) {
        self.drop_expired(at_ms, policy);
        if self.recent.is_empty() {
            self.since_ms = at_ms;
        }
        self.recent.push_back(Arrival { at_ms, work });
        self.work.add(&work);
    }

    fn drop_expired(&mut self, now_ms: u64, policy: &Forecast) {
        while let Some(oldest) = self.recent.front() {
            if oldest.at_ms + policy.window_ms > now_ms {
                return;
            }
            self.work.subtract(&oldest.work);
            self.recent.pop_front();
        }
    }

    /// Returns what jobs that keep coming like this will use.
    fn expected_usage(&mut self, now_ms: u64, policy: &Forecast) -> Resources {
        self.drop_expired(now_ms, policy);
        let window_ms = now_ms
            .saturating_sub(self.since_ms)
            .clamp(policy.least_window_ms, policy.window_ms);
        self.work.divided_by(window_ms)
    }
}

impl Scheduler {
    /// Counts the jobs that came since the last call.
    pub(super) fn record_arrivals(&mut self, now: Now) {
        for id in std::mem::take(&mut self.new_jobs) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let pool = job.terms.pool.clone();
            let policy = &self.options.policy.forecast;
            let work = self.initial_work(&job.spec, policy.ahead_ms);
            let arrivals = self.arrivals.entry(pool).or_default();
            arrivals.record(now.steady_ms, work, policy);
        }
    }

    /// Returns whether a job is known that isn't there for long: from then on
    /// it shows what will be asked of the pools.
    pub(super) fn has_short_jobs(&self) -> bool {
        let whole = |spec: &JobSpec| self.initial_work(spec, u64::MAX);
        self.jobs.values().any(|job| whole(&job.spec) != Resources::default())
    }

    /// Returns what each pool's arriving jobs will use.
    pub(super) fn forecast_usage(
        &mut self,
        now: Now,
    ) -> impl Iterator<Item = (&String, Resources)> {
        let policy = &self.options.policy.forecast;
        let pools = self.arrivals.iter_mut().filter(|_| policy.enabled);
        pools.map(move |(pool, arrivals)| {
            (pool, arrivals.expected_usage(now.steady_ms, policy))
        })
    }
}
