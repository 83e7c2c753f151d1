//! Polling of workers by a node that is short of CPU time.
//!
//! A node with half a core was asked for 3,800 starts a second in a load peak.
//! It made only 700 to 1,400, because it also polled workers 2,100 to 3,300
//! times a second, two or three times for each start: a worker answers as soon
//! as a run ends and was polled again 15 ms later. So nearly every end cost a
//! separate call, and a worker with nothing to report was polled three times
//! a second. Plans fell from 890 to 44 a second, and events waited 12 ms, at
//! most 86 ms. While CPU time was short, starts were delayed but polls were
//! not.

use dewspar_standin::peak::{NoMeter, Peak, PeakSettings, Processor, Tally};

/// A tenth of the fleet and of the load, on a node that is ten times as slow.
const SETTINGS: PeakSettings = PeakSettings {
    teams: 0,
    workers: 110,
    pools: 5,
    open_jobs: 400,
    starts_per_s: 380,
    asks_later: true,
    seed: 7,
};

const OVERLOADED: Processor =
    Processor { event_us: 750, order_us: 750, plan_us: 4_000 };

const FAST: Processor = Processor { event_us: 10, order_us: 10, plan_us: 100 };

fn run(asks_later: bool, processor: Processor) -> Tally {
    let settings = PeakSettings { asks_later, ..SETTINGS };
    let mut peak = Peak::new(settings, NoMeter);
    peak.warm_up(2_000);
    peak.play(3_000, processor)
}

#[test]
fn an_overloaded_node_polls_less_and_starts_as_much() {
    let before = run(false, OVERLOADED);
    let after = run(true, OVERLOADED);
    let figures = format!("{before:?} before, {after:?} after");
    // The run must be one in which CPU time is short.
    assert!(before.questions > before.starts, "{figures}");
    assert!(before.waited_ms > 5 * before.events, "{figures}");
    // At least a quarter fewer polls per start.
    assert!(
        after.questions * before.starts * 4
            < before.questions * after.starts * 3,
        "{figures}"
    );
    assert!(after.starts >= before.starts, "{figures}");
    assert!(after.finished >= before.finished, "{figures}");
}

#[test]
fn a_node_that_keeps_up_polls_as_before() {
    let before = run(false, FAST);
    let after = run(true, FAST);
    assert_eq!(before, after, "the delay must not change anything");
    assert!(before.starts > 1_000, "{before:?}");
}
