/*!
Whether a partner that sends too much makes others wait.
*/

use {
    super::{Aims, queueing::exponential},
    crate::exit::{Code, Error},
    clap::Args,
    dewspar::admit::Queue,
    rand::{SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
    },
};

/// The partners; the first sends too much.
const PARTNERS: [&str; 5] = ["loud", "bank", "court", "notary", "registry"];

/// How many slots they share.
const SLOTS: usize = 80;

/// The mean time that a request takes, in microseconds.
const MEAN_SERVICE_US: f64 = 20_000.0;

/// How long a request may wait, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// The aim: how much another partner's p99 may grow.
const MOST_GROWTH: f64 = 1.1;

/// Let one partner send ten times its share, with and without fair queues.
#[derive(Args, Debug)]
pub struct Fairness {
    /// How many requests the quiet partners send together.
    #[arg(long, default_value_t = 100_000)]
    requests: usize,
    /// The seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    at_us: u64,
    partner: usize,
    takes_us: u64,
}

/// What one partner got.
#[derive(Clone, Debug, Default)]
struct Got {
    waits_us: Vec<u64>,
    refused: u64,
}

impl Got {
    fn p99_us(&mut self) -> u64 {
        self.waits_us.sort_unstable();
        let last = self.waits_us.len().saturating_sub(1);
        let index = (last as f64 * 0.99) as usize;
        self.waits_us.get(index).copied().unwrap_or(0)
    }
}

impl Fairness {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// None at present.
    pub fn run(&self) -> Result<Code, Error> {
        println!(
            "{} partners share {SLOTS} slots; at their shares they fill 90 %",
            PARTNERS.len(),
        );
        println!(
            "  {:<26} {:>12} {:>12} {:>12} {:>12}",
            "case",
            "loud p99 us",
            "loud refused",
            "bank p99 us",
            "bank refused",
        );
        let calm = self.arrivals(1.0);
        let loud = self.arrivals(10.0);
        let mut fair_calm = fair(&calm);
        let mut fair_loud = fair(&loud);
        let mut plain_loud = first_come(&loud);
        row("fair queue, all calm", &mut fair_calm);
        row("fair queue, one loud", &mut fair_loud);
        row("first come, one loud", &mut plain_loud);
        let mut aims = Aims::default();
        for partner in 1..PARTNERS.len() {
            let before = fair_calm[partner].p99_us() as f64;
            let after = fair_loud[partner].p99_us() as f64;
            let growth = after / before.max(1.0);
            aims.hold(
                &format!("{}: p99 grows by 10 % at most", PARTNERS[partner]),
                growth <= MOST_GROWTH && fair_loud[partner].refused == 0,
                &format!("{growth:.2}x"),
            );
        }
        Ok(aims.code())
    }

    fn arrivals(&self, loudness: f64) -> Vec<Request> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let share = 0.9 / PARTNERS.len() as f64;
        let each = self.requests / (PARTNERS.len() - 1);
        let mut all = Vec::new();
        for partner in 0..PARTNERS.len() {
            let times = if partner == 0 { loudness } else { 1.0 };
            let rate = share * SLOTS as f64 / MEAN_SERVICE_US * times;
            let mut at_us = 0.0;
            for _ in 0..(each as f64 * times) as usize {
                at_us += exponential(&mut random, 1.0 / rate);
                let takes = exponential(&mut random, MEAN_SERVICE_US);
                let (at_us, takes_us) = (at_us as u64, takes as u64);
                all.push(Request { at_us, partner, takes_us });
            }
        }
        all.sort_by_key(|request| request.at_us);
        all
    }
}

fn row(case: &str, got: &mut [Got]) {
    let (loud_us, bank_us) = (got[0].p99_us(), got[1].p99_us());
    let (loud, bank) = (got[0].refused, got[1].refused);
    println!("  {case:<26} {loud_us:>12} {loud:>12} {bank_us:>12} {bank:>12}");
}

/// The library's queue, which is fair between partners.
fn fair(requests: &[Request]) -> Vec<Got> {
    let mut got = vec![Got::default(); PARTNERS.len()];
    let mut queue: Queue<Request> = Queue::new(1_000);
    let mut busy: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut arrivals = requests.iter().peekable();
    loop {
        let next_end = busy.peek().map(|Reverse(end_us)| *end_us);
        let next_arrival = arrivals.peek().map(|request| request.at_us);
        let (now_us, arrived) = match (next_end, next_arrival) {
            (None, None) => return got,
            (Some(end), Some(at)) if end <= at => (end, false),
            (Some(end), None) => (end, false),
            (_, Some(at)) => (at, true),
        };
        let now_ms = now_us / 1_000;
        if arrived {
            let Some(request) = arrivals.next() else { return got };
            let partner = PARTNERS[request.partner];
            let deadline_ms = now_ms + DEADLINE_MS;
            let pushed = queue.push(partner, 1, deadline_ms, now_ms, *request);
            got[request.partner].refused += u64::from(pushed.is_err());
        } else {
            busy.pop();
        }
        for expired in queue.expire(now_ms, |_| false) {
            got[expired.partner].refused += 1;
        }
        while busy.len() < SLOTS
            && let Some(request) = queue.pop(now_ms)
        {
            queue.record_departure(now_ms);
            let wait_us = now_us - request.at_us;
            got[request.partner].waits_us.push(wait_us);
            busy.push(Reverse(now_us + request.takes_us));
        }
    }
}

/// One line for all: the baseline.
fn first_come(requests: &[Request]) -> Vec<Got> {
    let mut got = vec![Got::default(); PARTNERS.len()];
    let mut free: BinaryHeap<Reverse<u64>> =
        (0..SLOTS).map(|_| Reverse(0)).collect();
    let mut late: BTreeMap<usize, VecDeque<u64>> = BTreeMap::new();
    for request in requests {
        // OK because each slot that is taken goes back.
        let Reverse(free_us) = free.pop().expect("a slot");
        let start_us = free_us.max(request.at_us);
        let wait_us = start_us - request.at_us;
        if wait_us > DEADLINE_MS * 1_000 {
            got[request.partner].refused += 1;
            late.entry(request.partner).or_default().push_back(wait_us);
            free.push(Reverse(free_us));
            continue;
        }
        got[request.partner].waits_us.push(wait_us);
        free.push(Reverse(start_us + request.takes_us));
    }
    got
}
