/*!
What retries add to a brown-out, and what a worker that fails everything
draws.
*/

use {
    super::{
        Aims,
        queueing::{SLOTS, exponential},
    },
    crate::exit::{Code, Error},
    clap::Args,
    dewspar::route::{Health, RetryBudget},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// How many runners there are.
const RUNNERS: usize = 10;

/// The mean time that a request takes, in microseconds.
const MEAN_SERVICE_US: f64 = 20_000.0;

/// How long a failure takes, in microseconds: fast.
const FAILURE_US: u64 = 500;

/// How often one request is tried at most.
const MOST_TRIES: u32 = 4;

/// Measure retries at 30 % failing targets, and one spoiled worker in ten.
#[derive(Args, Debug)]
pub struct Retries {
    /// How many requests there are.
    #[arg(long, default_value_t = 100_000)]
    requests: usize,
    /// The seed of the arrivals and the failures.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// What fails.
#[derive(Clone, Copy, Debug)]
enum Failing {
    /// This share of all attempts.
    Share(f64),
    /// Everything on the first runner.
    FirstRunner,
}

/// Which of the library's means are used.
#[derive(Clone, Copy, Debug)]
struct Means {
    budget: bool,
    ejection: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Result {
    tries: u64,
    good: u64,
    on_first: u64,
    // When the first runner was last given more than a probe's share.
    ejected_after_us: Option<u64>,
}

impl Retries {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// None at present.
    pub fn run(&self) -> std::result::Result<Code, Error> {
        let mut aims = Aims::default();
        println!("30 % of attempts fail, 50 % load, {RUNNERS} runners");
        println!("  {:<28} {:>14} {:>10}", "means", "tries/request", "good",);
        let brown_out = Failing::Share(0.3);
        let free =
            self.model(brown_out, Means { budget: false, ejection: false });
        let bound =
            self.model(brown_out, Means { budget: true, ejection: true });
        let tries =
            |result: &Result| result.tries as f64 / self.requests as f64;
        let good = |result: &Result| {
            result.good as f64 * 100.0 / self.requests as f64
        };
        for (name, result) in
            [("retries without bound", &free), ("retry budget", &bound)]
        {
            println!(
                "  {name:<28} {:>14.3} {:>9.1}%",
                tries(result),
                good(result),
            );
        }
        let extra = tries(&bound) - 1.0;
        aims.hold(
            "a brown-out gets at most 12 % more load",
            extra <= 0.12,
            &format!("{:.1} % more", extra * 100.0),
        );
        println!("one runner in ten fails everything, fast; 70 % load");
        println!(
            "  {:<28} {:>14} {:>10} {:>16}",
            "means", "tries/request", "good", "tries there",
        );
        let spoiled = Failing::FirstRunner;
        let without =
            self.model(spoiled, Means { budget: true, ejection: false });
        let with = self.model(spoiled, Means { budget: true, ejection: true });
        for (name, result) in
            [("without ejection", &without), ("with ejection", &with)]
        {
            println!(
                "  {name:<28} {:>14.3} {:>9.1}% {:>15.1}%",
                tries(result),
                good(result),
                result.on_first as f64 * 100.0 / result.tries as f64,
            );
        }
        aims.hold(
            "with ejection at least 99 % of requests are good",
            good(&with) >= 99.0,
            &format!("{:.2} %, {:.2} % without", good(&with), good(&without)),
        );
        let after_ms = with.ejected_after_us.unwrap_or(u64::MAX) / 1_000;
        aims.hold(
            "it is ejected within a second",
            after_ms <= 1_000,
            &format!("after {after_ms} ms"),
        );
        Ok(aims.code())
    }

    fn model(&self, failing: Failing, means: Means) -> Result {
        let mut random = StdRng::seed_from_u64(self.seed);
        let load = match failing {
            Failing::Share(_) => 0.5,
            Failing::FirstRunner => 0.7,
        };
        let slots = (RUNNERS as u32 * SLOTS) as f64;
        let gap_us = MEAN_SERVICE_US / (slots * load);
        let mut health = Health::default();
        for runner in 0..RUNNERS {
            health.add(&runner.to_string());
        }
        let mut budget = RetryBudget::default();
        let mut in_flight = [0_u32; RUNNERS];
        let mut ends: BinaryHeap<Reverse<(u64, usize, u64, bool)>> =
            BinaryHeap::new();
        let mut tries_of = std::collections::HashMap::new();
        let mut result = Result::default();
        let mut waiting = std::collections::VecDeque::new();
        let mut at_us = 0.0;
        let mut next = 0_u64;
        loop {
            let arrives =
                (next < self.requests as u64).then_some(at_us as u64);
            let end = ends.peek().map(|Reverse((end_us, ..))| *end_us);
            let now_us = match (arrives, end) {
                (None, None) => return result,
                (Some(at), Some(end)) if at < end => at,
                (Some(at), None) => at,
                (_, Some(end)) => end,
            };
            if arrives == Some(now_us) {
                budget.record_request();
                waiting.push_back(next);
                next += 1;
                at_us += exponential(&mut random, gap_us);
            } else if let Some(Reverse((_, runner, request, ok))) = ends.pop()
            {
                in_flight[runner] -= 1;
                if means.ejection {
                    let name = runner.to_string();
                    let ejected = health.record(&name, ok, now_us / 1_000);
                    if ejected && runner == 0 {
                        result.ejected_after_us.get_or_insert(now_us);
                    }
                }
                let tries: &mut u32 = tries_of.entry(request).or_insert(0);
                if ok {
                    result.good += 1;
                    tries_of.remove(&request);
                } else if *tries < MOST_TRIES
                    && (!means.budget || budget.try_retry())
                {
                    waiting.push_front(request);
                }
            }
            while let Some(request) = waiting.front().copied() {
                let usable = |runner: &usize| {
                    in_flight[*runner] < SLOTS
                        && health
                            .is_usable(&runner.to_string(), now_us / 1_000)
                };
                let best = (0..RUNNERS)
                    .filter(usable)
                    .min_by_key(|runner| in_flight[*runner]);
                let Some(runner) = best else { break };
                waiting.pop_front();
                health.dispatched(&runner.to_string());
                in_flight[runner] += 1;
                result.tries += 1;
                result.on_first += u64::from(runner == 0);
                *tries_of.entry(request).or_insert(0) += 1;
                let fails = match failing {
                    Failing::Share(share) => random.random_bool(share),
                    Failing::FirstRunner => runner == 0,
                };
                let takes = exponential(&mut random, MEAN_SERVICE_US);
                let takes_us = if fails { FAILURE_US } else { takes as u64 };
                let end_us = now_us + takes_us;
                ends.push(Reverse((end_us, runner, request, !fails)));
            }
        }
    }
}
