/*!
Measures the cost of scheduling on a large fleet while a queue has a load peak.

The simulation has 1,100 workers in 5 pools, 4,000 open jobs, and a queue that
requests 3,800 starts a second; see [`dewspar_standin::peak`]. It runs twice,
with ample processor time and with half a core: with the former, events are
handled one at a time; with the latter, in bursts. The simulated events are the
same in each run. The results are the time taken on this machine and the number
of memory allocations.

```sh
cargo run --release -p dewspar --example planning
```

With `teams` it runs 580 workers, with jobs of no team and of 29 teams with
quotas. With `ample`, `short` or `teams` as its argument it runs only that case,
which is useful for profiling.
*/

use {
    dewspar_standin::peak::{
        Meter, Part, Peak, PeakSettings, Processor, Tally,
    },
    stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc},
    std::{
        alloc::System,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The duration of the measured peak, in simulated milliseconds.
const PEAK_MS: u64 = 3_000;

/// How long the fleet is filled before the measurement, in simulated
/// milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// The cost of one part of the scheduler's work.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    calls: u64,
    time: Duration,
    allocations: u64,
}

impl Cost {
    fn per(&self, times: u64) -> (f64, f64) {
        let times = times.max(1) as f64;
        let micros = self.time.as_secs_f64() * 1e6;
        (micros / times, self.allocations as f64 / times)
    }
}

/// Measures the time and the memory allocations of each part.
#[derive(Debug, Default)]
struct Costs {
    parts: BTreeMap<Part, Cost>,
}

impl Costs {
    fn total(&self) -> Cost {
        self.parts.values().fold(Cost::default(), |sum, cost| Cost {
            calls: sum.calls + cost.calls,
            time: sum.time + cost.time,
            allocations: sum.allocations + cost.allocations,
        })
    }
}

impl Meter for Costs {
    fn measure<R>(&mut self, part: Part, work: impl FnOnce() -> R) -> R {
        let cost = self.parts.entry(part).or_default();
        let region = Region::new(ALLOCATOR);
        let began = Instant::now();
        let result = work();
        cost.time += began.elapsed();
        let change = region.change();
        cost.calls += 1;
        cost.allocations += (change.allocations + change.reallocations) as u64;
        result
    }

    fn reset(&mut self) {
        self.parts.clear();
    }
}

fn main() {
    let only = std::env::args().nth(1);
    let wanted = |name| only.as_deref().is_none_or(|only| only == name);
    if wanted("ample") {
        measure("ample", PeakSettings::default(), Processor::AMPLE);
    }
    if wanted("short") {
        let settings = PeakSettings::default();
        measure("half a core", settings, Processor::HALF_A_CORE);
    }
    for teams in [0, 29] {
        if wanted("teams") {
            let settings =
                PeakSettings { workers: 580, teams, ..Default::default() };
            measure(&format!("{teams} teams"), settings, Processor::AMPLE);
        }
    }
}

fn measure(name: &str, settings: PeakSettings, processor: Processor) {
    let mut peak = Peak::new(settings, Costs::default());
    peak.warm_up(WARM_UP_MS);
    let tally = peak.play(PEAK_MS, processor);
    print_tally(name, &tally);
    let costs = peak.meter();
    for (part, cost) in &costs.parts {
        print_cost(&format!("{part:?}"), cost, cost.calls);
    }
    let total = costs.total();
    print_cost("all, a start", &total, tally.starts);
    print_cost("all, an event", &total, tally.events);
    let per_s = total.time.as_secs_f64() * 1e6 / PEAK_MS as f64;
    println!("  {per_s:.0} ms of each simulated second");
}

fn print_tally(name: &str, tally: &Tally) {
    let Tally { plans, starts, questions, ends, events, finished, .. } =
        *tally;
    let wait_ms = tally.waited_ms / events.max(1);
    println!("{name}: {plans} plans, {starts} starts, {questions} questions");
    println!("  {ends} ends told, {events} events, {finished} jobs done");
    println!("  an event waits {wait_ms} ms");
    let each = questions as f64 / starts.max(1) as f64;
    println!("  {each:.2} questions a start");
    println!("  digest of all that was planned: {:016x}", tally.digest);
}

fn print_cost(name: &str, cost: &Cost, times: u64) {
    let (micros, allocations) = cost.per(times);
    println!(
        "  {name:<14} {times:>7} x {micros:>8.1} us {allocations:>8.1} \
         allocations"
    );
}
