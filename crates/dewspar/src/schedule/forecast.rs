/*!
How much processor time a pool's arriving jobs will take.

What runs and waits now says too little at the start of a peak: a job's later
steps aren't there yet, and a VM takes a few seconds to come. By Little's law
the processors that a steady flow of jobs keeps busy are its jobs a second
times the core-seconds of each. So the work of the jobs that came of late,
over the time in which they came, is what the pool will be asked for soon.

Estimates of tasks are rough. How they compare with what tasks took is learnt
from each task that ends well, pool by pool.
*/

use {
    crate::{
        job::JobSpec,
        schedule::{Forecast, Now, Scheduler, board::demand},
    },
    std::collections::VecDeque,
};

/// How many milliseconds of estimates are remembered when estimates are
/// compared with what tasks took: some 100 quick tasks.
const REMEMBERED_MS: f64 = 80_000.0;

/// By how much estimates may be corrected at most, either way.
const MAX_CORRECTION: f64 = 3.0;

/// One job that came.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    /// What it takes, in thousandths of a core times milliseconds.
    work: u64,
}

/// The jobs that came to a pool of late.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<Arrival>,
    work: u64,
    /// Since when jobs come without a longer gap.
    since_ms: u64,
    estimated_ms: f64,
    took_ms: f64,
}

impl Arrivals {
    fn note(&mut self, at_ms: u64, work: u64, policy: &Forecast) {
        self.drop_old(at_ms, policy);
        if self.recent.is_empty() {
            self.since_ms = at_ms;
        }
        self.recent.push_back(Arrival { at_ms, work });
        self.work += work;
    }

    fn drop_old(&mut self, now_ms: u64, policy: &Forecast) {
        while let Some(oldest) = self.recent.front() {
            if oldest.at_ms + policy.window_ms > now_ms {
                return;
            }
            self.work -= oldest.work;
            self.recent.pop_front();
        }
    }

    /// Compares an estimate with what a task took.
    fn learn(&mut self, estimate_ms: u64, took_ms: u64) {
        self.estimated_ms += estimate_ms as f64;
        self.took_ms += took_ms as f64;
        if self.estimated_ms > REMEMBERED_MS {
            let kept = REMEMBERED_MS / self.estimated_ms;
            self.estimated_ms *= kept;
            self.took_ms *= kept;
        }
    }

    /// Returns by what estimates are to be multiplied.
    fn correction(&self) -> f64 {
        // Counts as if estimates had been right for a while before.
        let prior_ms = REMEMBERED_MS / 10.0;
        let ratio = (self.took_ms + prior_ms) / (self.estimated_ms + prior_ms);
        ratio.clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION)
    }

    /// Returns what jobs that keep coming like this will use, in thousandths
    /// of a core.
    fn cpu_millis(&mut self, now_ms: u64, policy: &Forecast) -> u64 {
        self.drop_old(now_ms, policy);
        let window_ms = now_ms
            .saturating_sub(self.since_ms)
            .clamp(policy.least_window_ms, policy.window_ms);
        let correction =
            if policy.corrects_estimates { self.correction() } else { 1.0 };
        // OK to convert: far below 2^53, and a float goes to the nearest
        // value that fits.
        (self.work as f64 * correction / window_ms as f64) as u64
    }
}

impl Scheduler {
    /// Counts the jobs that came since the last call.
    pub(super) fn note_arrivals(&mut self, now: Now) {
        for id in std::mem::take(&mut self.new_jobs) {
            let Some(job) = self.jobs.get(&id) else { continue };
            let pool = job.terms.pool.clone();
            let work = self.work_of(&job.spec);
            let policy = &self.options.policy.forecast;
            let arrivals = self.arrivals.entry(pool).or_default();
            arrivals.note(now.steady_ms, work, policy);
        }
    }

    /// Returns what a job takes by its estimates, in thousandths of a core
    /// times milliseconds; what runs for long, falls due later or fits
    /// nowhere isn't counted.
    fn work_of(&self, spec: &JobSpec) -> u64 {
        if spec.repeat.is_some() {
            return 0;
        }
        spec.steps
            .iter()
            .filter(|step| !step.long_running && self.fits_somewhere(step))
            .map(|step| {
                let cpu_millis = demand(step).cpu_millis;
                u64::from(step.count) * cpu_millis * step.estimate_ms
            })
            .sum()
    }

    /// Returns whether a job is known that isn't there for long: from then on
    /// it shows what will be asked of the pools.
    pub(super) fn has_short_jobs(&self) -> bool {
        self.jobs.values().any(|job| self.work_of(&job.spec) > 0)
    }

    /// Returns what each pool's arriving jobs will use, in thousandths of a
    /// core.
    pub(super) fn forecasts(
        &mut self,
        now: Now,
    ) -> impl Iterator<Item = (&String, u64)> {
        let policy = &self.options.policy.forecast;
        let pools = self.arrivals.iter_mut().filter(|_| policy.enabled);
        pools.map(move |(pool, arrivals)| {
            (pool, arrivals.cpu_millis(now.steady_ms, policy))
        })
    }

    /// Compares a task's estimate with what it took.
    pub(super) fn learn_duration(
        &mut self,
        pool: &str,
        estimate_ms: u64,
        took_ms: u64,
    ) {
        if let Some(arrivals) = self.arrivals.get_mut(pool) {
            arrivals.learn(estimate_ms, took_ms);
        }
    }
}
