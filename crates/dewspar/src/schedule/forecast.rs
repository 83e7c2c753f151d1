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
        job::{JobId, JobSpec},
        schedule::{
            Forecast, Now, Scheduler,
            board::{Job, demand},
        },
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
        // What is projected was corrected before.
        let correction = if policy.corrects_estimates && !policy.projects {
            self.correction()
        } else {
            1.0
        };
        // OK to convert: far below 2^53, and a float goes to the nearest
        // value that fits.
        (self.work as f64 * correction / window_ms as f64) as u64
    }
}

impl Scheduler {
    /// Counts the jobs that came since the last call, the oldest first.
    ///
    /// Those that were accepted before the takeover count from then on: the
    /// flow of jobs didn't begin with this holder.
    pub(super) fn note_arrivals(&mut self, now: Now) {
        let new_jobs = std::mem::take(&mut self.new_jobs);
        let mut arrivals: Vec<(u64, JobId)> = new_jobs
            .into_iter()
            .filter_map(|id| Some((self.age_ms(self.jobs.get(&id)?, now), id)))
            .collect();
        arrivals.sort_unstable_by(|a, b| b.cmp(a));
        for (age_ms, id) in arrivals {
            let Some(job) = self.jobs.get(&id) else { continue };
            let policy = &self.options.policy.forecast;
            let inherited = job.revision < self.lease_revision;
            if age_ms >= policy.window_ms
                || inherited && !policy.counts_inherited
            {
                continue;
            }
            let pool = job.terms.pool.clone();
            let work = if policy.projects {
                self.first_work(&pool, &job.spec, policy.ahead_ms)
            } else {
                self.work_of(&job.spec)
            };
            let arrivals = self.arrivals.entry(pool).or_default();
            let at_ms = now.steady_ms - age_ms;
            arrivals.note(at_ms, work, policy);
        }
    }

    /// Returns how long ago a job came, in milliseconds.
    fn age_ms(&self, job: &Job, now: Now) -> u64 {
        let inherited = job.revision < self.lease_revision;
        if !inherited {
            return 0;
        }
        // By the clocks of two nodes, which hardly differ.
        now.unix_ms.saturating_sub(job.accepted_at_ms)
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

    /// Returns how long a task will take, by its estimate and by how far
    /// those of its pool were off, in milliseconds.
    pub(super) fn corrected(&self, pool: &str, estimate_ms: u64) -> u64 {
        let policy = &self.options.policy.forecast;
        let arrivals = self.arrivals.get(pool);
        let correction = arrivals
            .filter(|_| policy.corrects_estimates)
            .map_or(1.0, Arrivals::correction);
        // OK to convert: a float goes to the nearest value that fits.
        (estimate_ms as f64 * correction) as u64
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
