/*!
The forecast of the resources that a pool's arriving jobs will use.

Current usage and waiting tasks underestimate demand at the start of a peak: a
job's later steps aren't ready yet, and a VM takes a few seconds to become
available. By Little's law, the number of processors that a steady flow of jobs
keeps busy is the arrival rate times the core-seconds of each job; the same
holds for memory and GPUs. So the initial work of recent arrivals, divided by
the time over which they came, forecasts the usage of those to come. The usage
of jobs that are present is projected job by job; see
[`projection`](super::projection).
*/

use {
    crate::{
        job::JobSpec,
        schedule::{Forecast, Now, Resources, Scheduler},
    },
    std::collections::VecDeque,
};

/// The arrival of a job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    /// Its resources, multiplied by milliseconds.
    work: Resources,
}

/// The recent arrivals of a pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<Arrival>,
    work: Resources,
    /// The start of the current series of arrivals, without a gap of a whole
    /// window.
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

    /// Returns the usage if jobs keep arriving at this rate.
    fn expected_usage(&mut self, now_ms: u64, policy: &Forecast) -> Resources {
        self.drop_expired(now_ms, policy);
        let window_ms = now_ms
            .saturating_sub(self.since_ms)
            .clamp(policy.least_window_ms, policy.window_ms);
        self.work.divided_by(window_ms)
    }
}

impl Scheduler {
    /// Records the jobs that arrived since the last call.
    pub(super) fn record_arrivals(&mut self, now: Now) {
        for id in std::mem::take(&mut self.new_jobs) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let pool = job.terms.pool.clone();
            let policy = &self.options.policy.forecast;
            let ahead_ms = self.pool_ahead_ms(&pool, policy.ahead_ms);
            let work = self.initial_work(&job.spec, ahead_ms);
            let arrivals = self.arrivals.entry(pool).or_default();
            arrivals.record(now.steady_ms, work, policy);
        }
    }

    /// Returns whether a job with short tasks is known: from then on, the
    /// demand on the pools can be observed.
    pub(super) fn has_short_jobs(&self) -> bool {
        let whole = |spec: &JobSpec| self.initial_work(spec, u64::MAX);
        self.jobs.values().any(|job| whole(&job.spec) != Resources::default())
    }

    /// Returns the expected usage of each pool's arriving jobs.
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
