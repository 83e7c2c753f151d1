/*!
How long requests wait for a slot, by who decides which.
*/

use {
    super::{
        Aims,
        queueing::{
            Pick, SLOTS, Trace, Waits, central, granted, local, split,
        },
    },
    crate::exit::{Code, Error},
    clap::Args,
};

/// The aim: the p99 wait against that of one central queue.
const MOST_OVER_CENTRAL: f64 = 1.3;

/// Compare ways to share runners' slots on one trace of arrivals.
#[derive(Args, Debug)]
pub struct Routing {
    /// How many requests each trace has.
    #[arg(long, default_value_t = 200_000)]
    requests: usize,
    /// The load, in percent of all slots.
    #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u32).range(1..=99))]
    load_percent: u32,
    /// The seed of the traces.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Routing {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// None at present.
    pub fn run(&self) -> Result<Code, Error> {
        let mut aims = Aims::default();
        // Today: 6 nodes, and services of 10 runners. Then: 70 nodes, and
        // services of 10 runners and of 2.
        for (nodes, runners) in [(6, 10), (6, 50), (70, 10), (70, 2)] {
            self.compare(nodes, runners, &mut aims);
        }
        Ok(aims.code())
    }

    fn compare(&self, nodes: usize, runners: usize, aims: &mut Aims) {
        let load = f64::from(self.load_percent) / 100.0;
        let trace = Trace::new(nodes, runners, load, self.requests, self.seed);
        println!(
            "{nodes} nodes, {runners} runners of {SLOTS} slots, {} % load, \
             20 ms a request, 0.5 ms a message",
            self.load_percent,
        );
        println!(
            "  {:<22} {:>9} {:>9} {:>10} {:>10} {:>12}",
            "policy", "p50 us", "p99 us", "over", "most", "messages/req",
        );
        let mut ideal = central(&trace);
        let ideal_us = ideal.quantile_us(0.99);
        self.row("one central queue", ideal);
        let picks = [
            ("random", Pick::Random),
            ("round robin", Pick::RoundRobin),
            ("local least in flight", Pick::LeastInFlight),
            ("power of two choices", Pick::TwoChoices),
        ];
        for (name, pick) in picks {
            self.row(name, local(&trace, pick, self.seed));
        }
        self.row("even split of slots", split(&trace));
        let mut ours = granted(&trace);
        let ours_us = ours.quantile_us(0.99);
        let (over, most) = (ours.over, ours.most_in_flight);
        self.row("grants (dewspar)", ours);
        let ratio = ours_us as f64 / (ideal_us as f64).max(1.0);
        aims.hold(
            &format!("{nodes} x {runners}: never over {SLOTS} in flight"),
            over == 0 && most <= SLOTS,
            &format!("{most} at most"),
        );
        aims.hold(
            &format!("{nodes} x {runners}: p99 wait within 1.3x of central"),
            ratio <= MOST_OVER_CENTRAL,
            &format!("{ratio:.2}x"),
        );
    }

    fn row(&self, name: &str, mut waits: Waits) {
        println!(
            "  {name:<22} {:>9} {:>9} {:>10} {:>10} {:>12.3}",
            waits.quantile_us(0.5),
            waits.quantile_us(0.99),
            waits.over,
            waits.most_in_flight,
            waits.messages as f64 / self.requests as f64,
        );
    }
}
