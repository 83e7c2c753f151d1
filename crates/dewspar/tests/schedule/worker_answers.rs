//! The state of runs follows from the answers of workers, not from the orders
//! sent to them.

use {
    crate::world::{ROOM, World, at, id, job, listing, step},
    dewspar::{
        job::StepSpec,
        schedule::{
            Action, Decision, HoldOrder, OrderError, PaceOrder, Refusal,
            StartOrder, WorkerId,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

/// A world whose first start isn't delivered yet; all other orders are.
fn world_with_late_start(fate: Fate) -> (World, WorkerId, StartOrder) {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    world.fate = fate;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let now = at(world.now_ms);
    let mut start = None;
    for action in world.scheduler.plan(now) {
        match action {
            Action::Start { worker, order, .. } => {
                start = Some((worker, order));
            }
            other => world.carry_out(other, now),
        }
    }
    let (worker, order) = start.expect("a start is ordered");
    (world, worker, order)
}

fn start_late(world: &mut World, worker: &WorkerId, order: &StartOrder) {
    let (now_ms, fate) = (world.now_ms, world.fate);
    let reached = world.reach(worker).expect("a worker");
    reached.start(now_ms, order, step_room(), fate).expect("a start");
}

fn step_room() -> dewspar::schedule::Resources {
    dewspar::schedule::Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 }
}

#[test]
fn a_run_that_began_late_is_not_treated_as_stalled() {
    let (mut world, worker, order) =
        world_with_late_start(Fate::done(400_000));
    let task = order.task;
    let lost = Err(OrderError::Unknown);
    let now = at(world.now_ms);
    world.scheduler.start_answered(&worker, &task, order.run, lost, now);
    world.unreachable.push(worker.clone());
    world.run_for(3_000);
    // Only now is the order delivered, shortly before the worker can be
    // reached again.
    world.unreachable.clear();
    start_late(&mut world, &worker, &order);
    world.run_for(2_000);
    assert_eq!(world.running().len(), 1);
    let stops = world.scheduler.take_decisions().into_iter();
    let stops =
        stops.filter(|d| matches!(d, Decision::Stopped { .. })).count();
    assert_eq!(stops, 0, "the run began only 2 s ago");
}

#[test]
fn a_run_stopped_before_it_began_is_stopped_once_it_begins() {
    let (mut world, worker, order) = world_with_late_start(Fate::endless());
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.now_ms += 20;
    // The order to stop the run is lost, and the worker answers a hold before
    // the start arrives.
    let now = at(world.now_ms);
    for action in world.scheduler.plan(now) {
        match action {
            Action::Stop { worker, order, .. } => {
                let (task, lost) = (order.task, Err(OrderError::Unknown));
                world.scheduler.stop_answered(&worker, &task, lost, now);
            }
            other => world.carry_out(other, now),
        }
    }
    start_late(&mut world, &worker, &order);
    let (task, clock_ms) = (order.task, world.now_ms);
    let done = Ok(clock_ms);
    world.scheduler.start_answered(&worker, &task, order.run, done, now);
    let changes = world.scheduler.take_changes(100);
    world.scheduler.changes_stored(&changes, now);
    world.run_for(2_000);
    assert_eq!(world.running(), [] as [String; 0]);
}

#[test]
fn a_gang_without_room_for_all_starts_nothing() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    let gang = StepSpec { gang: true, cpu_millis: 3_000, ..step(2) };
    world.scheduler.submit(id(1), job(vec![gang]), 6, None);
    world.run_for(1_000);
    let starts = world.scheduler.take_decisions().into_iter();
    let starts =
        starts.filter(|d| matches!(d, Decision::Started { .. })).count();
    assert_eq!(starts, 0, "no order was sent");
    let waiting = world.scheduler.pending(at(world.now_ms).unix_ms);
    assert_eq!(waiting.get(""), Some(&1));
    // Once there is room the gang starts, under the first run number.
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(ROOM));
    world.workers.extend([second]);
    world.list();
    world.run_for(300);
    let runs: Vec<u64> =
        world.starts.iter().map(|(_, order)| order.run).collect();
    assert_eq!(runs, [1, 1]);
}

/// A worker with a best-effort task beside a serving task.
fn world_with_best_effort() -> World {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, ..step(1) };
    let serves = StepSpec { target_ms: 50, ..long.clone() };
    let best_effort = StepSpec { best_effort: true, ..long };
    world.scheduler.submit(id(1), job(vec![serves, best_effort]), 6, None);
    world.run_for(300);
    assert_eq!(world.running().len(), 2);
    world
}

/// Lets workers answer for a while, with the serving task reporting the given
/// latency in milliseconds. Returns the pace orders, of which the first `lost`
/// have no result.
fn pace_for(
    world: &mut World,
    for_ms: u64,
    gauge: u64,
    mut lost: usize,
) -> Vec<PaceOrder> {
    let end_ms = world.now_ms + for_ms;
    let mut paces = Vec::new();
    while world.now_ms < end_ms {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            match action {
                Action::Pace { worker, order, .. } => {
                    paces.push(order);
                    if lost > 0 {
                        lost -= 1;
                        let error = OrderError::Unknown;
                        let scheduler = &mut world.scheduler;
                        scheduler.pace_failed(&worker, &order, error, now);
                    }
                }
                Action::Hold { worker, held, .. } => {
                    let reached = world.reach(&worker).expect("a worker");
                    let report = reached.hold(now.steady_ms, held.order());
                    let report = report.map(|mut report| {
                        for run in &mut report.active {
                            run.gauge = Some(gauge);
                        }
                        report
                    });
                    world.hold_result(&worker, &held, report, now);
                }
                other => world.carry_out(other, now),
            }
        }
    }
    paces
}

#[test]
fn a_pace_order_without_a_result_is_repeated() {
    let mut world = world_with_best_effort();
    let percents = |paces: &[PaceOrder]| -> Vec<u8> {
        paces.iter().map(|pace| pace.percent).collect()
    };
    let slowed = pace_for(&mut world, 4_000, 200, 3);
    assert_eq!(percents(&slowed), [25, 0, 0, 0], "the task still interferes");
    let fences: Vec<u64> = slowed.iter().map(|pace| pace.fence).collect();
    assert!(fences.is_sorted_by(|a, b| a < b), "a delayed order is void");
    let eased = pace_for(&mut world, 4_000, 10, 0);
    assert_eq!(percents(&eased), [25, 50, 75, 100]);
    let again = pace_for(&mut world, 400, 200, 0);
    assert_eq!(percents(&again), [25]);
    let eased = pace_for(&mut world, 2_200, 10, 3);
    assert_eq!(percents(&eased), [50, 75, 100]);
    let last = pace_for(&mut world, 2_000, 10, 0);
    assert_eq!(percents(&last), [100], "the task may run at full pace again");
}

/// Lets a worker refuse the first start of a task. Returns since when the task
/// has waited.
fn refuse_first_start(world: &mut World) -> u64 {
    world.list();
    world.expect_all();
    world.run_for(200);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let since_ms = world.now_ms;
    for action in world.scheduler.plan(at(since_ms)) {
        match action {
            Action::Start { worker, order, .. } => {
                // The answer is delayed.
                world.now_ms += 500;
                let refused = Err(OrderError::Refused(Refusal::Unhealthy));
                let (task, run, now) =
                    (order.task, order.run, at(world.now_ms));
                let scheduler = &mut world.scheduler;
                scheduler.start_answered(&worker, &task, run, refused, now);
            }
            other => world.carry_out(other, at(since_ms)),
        }
    }
    since_ms
}

#[test]
fn waiting_time_includes_refused_starts() {
    let mut world = World::new(5, &["w1"]);
    let since_ms = refuse_first_start(&mut world);
    world.scheduler.take_decisions();
    // The worker is suspended for a second.
    world.run_for(1_500);
    let waited = world.scheduler.take_decisions().into_iter();
    let waited = waited.filter_map(|decision| match decision {
        Decision::Started { waited_ms, .. } => Some(waited_ms),
        _ => None,
    });
    assert_eq!(waited.collect::<Vec<u64>>(), [1_500]);
    assert_eq!(world.now_ms, since_ms + 2_000);
}

#[test]
fn a_refused_start_is_recorded_as_ended() {
    let mut world = World::new(5, &["w1"]);
    refuse_first_start(&mut world);
    let decisions = world.scheduler.take_decisions();
    let first = |run: &u64| *run == 1;
    let started = |decision: &Decision| match decision {
        Decision::Started { run, .. } => first(run),
        _ => false,
    };
    let over = |decision: &Decision| match decision {
        Decision::RunLost { run, .. } | Decision::Ended { run, .. } => {
            first(run)
        }
        _ => false,
    };
    let starts = decisions.iter().filter(|d| started(d)).count();
    let ends = decisions.iter().filter(|d| over(d)).count();
    assert_eq!(starts, ends, "{decisions:?}");
}

#[test]
fn starts_on_a_refusing_worker_back_off_exponentially() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    // Something uses the worker that its reports don't show.
    let mut starts = 0;
    for _ in 0..200 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            let Action::Start { worker, order, .. } = action else {
                world.carry_out(action, now);
                continue;
            };
            starts += 1;
            let refused = Err(OrderError::Refused(Refusal::NoRoom));
            let (task, run) = (order.task, order.run);
            world.scheduler.start_answered(&worker, &task, run, refused, now);
        }
    }
    // Immediately after the first refusal, then after 1, 2 and 4 s.
    assert_eq!(starts, 5);
}

#[test]
fn a_holder_reports_exhausted_tokens() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut rounds = 0;
    while !world.scheduler.is_out_of_tokens() {
        rounds += 1;
        assert!(rounds < 100_000, "tokens never run out");
        // Longer than any suspension.
        world.now_ms += 10_000;
        world.list();
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            let Action::Start { worker, order, .. } = action else {
                world.carry_out(action, now);
                continue;
            };
            let refused = Err(OrderError::Refused(Refusal::NoRoom));
            let (task, run) = (order.task, order.run);
            world.scheduler.start_answered(&worker, &task, run, refused, now);
        }
    }
    assert!(rounds > 1_000);
}

/// A worker that refuses every start uses up a token each time. A single
/// faulty worker among many must not make the lease move from node to node,
/// each time with all jobs to be loaded again.
#[test]
fn one_worker_of_many_with_exhausted_tokens_is_skipped() {
    let names: Vec<String> = (0..20).map(|n| format!("w{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(5, &names);
    world.fate = Fate::done(100);
    world.list();
    world.expect_all();
    world.run_for(100);
    // Only the first worker accepts starts.
    for listing in &mut world.listings[1..] {
        listing.draining = true;
    }
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut starts = 0;
    for _ in 0..3_000 {
        assert!(!world.scheduler.is_out_of_tokens(), "after {starts} starts");
        // Longer than any suspension.
        world.now_ms += 10_000;
        world.list();
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            let Action::Start { worker, order, .. } = action else {
                world.carry_out(action, now);
                continue;
            };
            starts += 1;
            let refused = Err(OrderError::Refused(Refusal::NoRoom));
            let (task, run) = (order.task, order.run);
            world.scheduler.start_answered(&worker, &task, run, refused, now);
        }
    }
    assert!((1_000..1_100).contains(&starts), "{starts}");
    for listing in &mut world.listings[1..] {
        listing.draining = false;
    }
    world.list();
    world.run_for(1_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

/// How long a start waits for its answer, in milliseconds.
const NO_ANSWER_MS: u64 = 200;

/// A worker that answers holds but no starts uses up a token for each start.
/// One worker of ten had used up its tokens after 231 s, and the lease moved
/// to another node again and again, since new tokens were used up in the same
/// way.
#[test]
fn a_tenth_of_the_workers_not_answering_starts_costs_no_lease() {
    let names: Vec<String> = (0..10).map(|n| format!("w{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(5, &names);
    world.list();
    world.expect_all();
    world.run_for(100);
    // Only the first worker accepts starts.
    for listing in &mut world.listings[1..] {
        listing.draining = true;
    }
    world.list();
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    let mut unanswered = Vec::new();
    let end_ms = world.now_ms + 600_000;
    while world.now_ms < end_ms {
        world.now_ms += 25;
        let now = at(world.now_ms);
        let due = |(sent_ms, ..): &mut (u64, _, _)| {
            now.steady_ms >= *sent_ms + NO_ANSWER_MS
        };
        let due: Vec<_> = unanswered.extract_if(.., due).collect();
        for (_, worker, order) in due {
            let StartOrder { task, run, .. } = order;
            let none = Err(OrderError::Unknown);
            world.scheduler.start_answered(&worker, &task, run, none, now);
        }
        for action in world.scheduler.plan(now) {
            match action {
                Action::Start { worker, order, .. } => {
                    unanswered.push((now.steady_ms, worker, order));
                }
                action => world.carry_out(action, now),
            }
        }
        assert!(!world.scheduler.is_out_of_tokens(), "{} ms", world.now_ms);
    }
    // The worker still gets a start now and then, and accepts it.
    world.run_for(10_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

/// A worker's claim of a later token holds until the lease is renewed in
/// response to a call sent after the claim. After that it has no effect.
#[test]
fn a_claim_of_a_later_token_holds_until_the_lease_is_renewed() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    let claim = HoldOrder {
        fence: 1 << 50,
        acknowledged: 0,
        lease_until_ms: None,
        wait_ms: 0,
    };
    let now_ms = world.now_ms;
    let worker = world.reach(&listing("w1").id).expect("a worker");
    worker.hold(now_ms, &claim).expect("an answer");
    world.scheduler.submit(id(1), job(vec![step(6)]), 6, None);
    world.run_for(50);
    assert!(world.scheduler.may_be_superseded());
    let heard_ms = world.now_ms;
    world.run_for(2_000);
    let starts = world.starts.len();
    world.scheduler.lease_renewed(heard_ms);
    assert!(
        world.scheduler.may_be_superseded(),
        "the call was sent before the claim"
    );
    world.run_for(500);
    assert_eq!(world.starts.len(), starts, "nothing is ordered");
    world.scheduler.lease_renewed(heard_ms + 1);
    world.run_for(5_000);
    assert!(!world.scheduler.may_be_superseded());
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

/// Lets a worker refuse every start of one burst. Returns the pause until its
/// next start, in milliseconds.
fn pause_after_burst_ms(starts: u32, refusal: Refusal) -> u64 {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    let small = StepSpec { cpu_millis: 100, memory_mb: 1, ..step(starts) };
    world.scheduler.submit(id(1), job(vec![small]), 6, None);
    let mut refused_ms = None;
    loop {
        world.now_ms += 50;
        let now = at(world.now_ms);
        let mut orders = Vec::new();
        for action in world.scheduler.plan(now) {
            match action {
                Action::Start { worker, order, .. } => {
                    orders.push((worker, order));
                }
                other => world.carry_out(other, now),
            }
        }
        if orders.is_empty() {
            continue;
        }
        if let Some(refused_ms) = refused_ms {
            return world.now_ms - refused_ms;
        }
        refused_ms = Some(world.now_ms);
        for (worker, order) in orders {
            let refused = Err(OrderError::Refused(refusal));
            let (task, run) = (order.task, order.run);
            world.scheduler.start_answered(&worker, &task, run, refused, now);
        }
    }
}

#[test]
fn one_burst_of_refusals_counts_as_one() {
    assert!(pause_after_burst_ms(2, Refusal::NoRoom) <= 100);
    assert!(pause_after_burst_ms(5, Refusal::LeaseOver) <= 100);
    assert!(pause_after_burst_ms(5, Refusal::Unhealthy) <= 1_000);
}

// Guards against a task that runs twice because a new holder couldn't read the
// row of its run in its worker's answer.
#[test]
fn a_run_in_a_row_that_cannot_be_read_is_not_started_again_after_a_takeover() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(500);
    let on = world.starts[0].0.clone();
    let progress = world.stored.get(&id(1)).cloned();
    world.take_over(8);
    world.list();
    world.expect_all();
    let accepted = job(vec![step(1)]);
    world.scheduler.submit(id(1), accepted, 6, progress.as_ref());
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            match action {
                Action::Hold { worker, held, .. } if worker == on => {
                    let clock = world.clock_of(&on);
                    let reached = world.reach(&on).expect("up");
                    let mut report =
                        reached.hold(clock, held.order()).expect("one holder");
                    report.active.clear();
                    report.is_partial = true;
                    world.hold_result(&on, &held, Ok(report), now);
                }
                other => world.carry_out(other, now),
            }
        }
        assert_eq!(world.running().len(), 1);
    }
}
