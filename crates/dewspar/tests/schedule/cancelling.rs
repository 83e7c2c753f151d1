//! How the runs of a cancelled job end.

use {
    crate::{
        chain::{HolderChain, StopDelivery},
        world::{World, at, id, job, listing, step},
    },
    dewspar::schedule::{Decision, Now, Resources, StopAttempts, WorkerId},
    dewspar_standin::task_worker::Fate,
};

/// A world in which one endless run of job 1 is active.
fn world_with_an_endless_run() -> World {
    let mut world = World::new(7, &["w1"]);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 8, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 1);
    world
}

fn stops_over(decisions: &[Decision]) -> Vec<StopAttempts> {
    let told = decisions.iter().filter_map(|decision| match decision {
        Decision::StopFinished { stop, .. } => Some(*stop),
        _ => None,
    });
    told.collect()
}

fn stops_overdue(decisions: &[Decision]) -> Vec<StopAttempts> {
    let told = decisions.iter().filter_map(|decision| match decision {
        Decision::StopOverdue { stop, .. } => Some(*stop),
        _ => None,
    });
    told.collect()
}

// Guards against a stop that leaves no trace in the logs. A run continued for
// 14 s after its job was cancelled, and of 2,127 runs marked to stop the logs
// held the ends of 200: a cancelled job is stored as over at once, and ends of
// such jobs were passed over without a log line.
#[test]
fn the_end_of_a_cancelled_jobs_run_is_reported_though_the_job_is_stored() {
    let mut world = world_with_an_endless_run();
    world.scheduler.cancel(id(1), at(world.now_ms));
    // The first order to stop the run is lost.
    world.unreachable.push(listing("w1").id);
    world.run_for(50);
    world.unreachable.clear();
    assert_eq!(world.scheduler.phase(id(1)), None, "over and stored");
    world.run_for(1_000);
    assert!(world.running().is_empty());
    let decisions = world.scheduler.take_decisions();
    let ended = decisions
        .iter()
        .filter(|decision| matches!(decision, Decision::Ended { .. }));
    assert_eq!(ended.count(), 1, "{decisions:?}");
    let ends = stops_over(&decisions);
    let [stop] = ends[..] else { panic!("{ends:?}") };
    assert_eq!(stop.reason, "cancelled");
    assert_eq!(stop.orders, 2);
    assert!(stop.answered);
    assert!(stops_overdue(&decisions).is_empty());
}

#[test]
fn an_overdue_stop_and_its_end_are_reported_once_each() {
    let mut world = world_with_an_endless_run();
    let w1 = listing("w1").id;
    world.unreachable.push(w1);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(3_000);
    let overdue = stops_overdue(&world.scheduler.take_decisions());
    let [stop] = overdue[..] else { panic!("{overdue:?}") };
    assert_eq!(stop.reason, "cancelled");
    assert!(stop.orders >= 2, "{stop:?}");
    assert!(!stop.answered);
    assert!(stop.after_ms > 900, "{stop:?}");

    world.unreachable.clear();
    world.run_for(1_000);
    assert!(world.running().is_empty());
    let decisions = world.scheduler.take_decisions();
    let ends = stops_over(&decisions);
    let [stop] = ends[..] else { panic!("{ends:?}") };
    assert!(stop.answered && stop.after_ms >= 3_000, "{stop:?}");
    assert!(stops_overdue(&decisions).is_empty());
}

#[test]
fn overdue_stops_reported_per_plan_are_bounded() {
    let names: Vec<String> = (0..40).map(|n| format!("w{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(7, &names);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(160)]), 8, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 160);
    world.unreachable = names.iter().map(|name| WorkerId::new(name)).collect();
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.scheduler.take_decisions();
    let mut told = 0;
    for _ in 0..60 {
        world.run_for(50);
        let decisions = world.scheduler.take_decisions();
        let lines = stops_overdue(&decisions).len();
        assert!(lines <= 8, "{lines} in one plan");
        told += lines;
    }
    assert!(told > 0);
}

/// The maximum time that a run may continue after its cancellation was
/// acknowledged, in milliseconds: 5 s until nothing starts, and the time that
/// a stop may take.
const MAX_RUN_AFTER_CANCEL_MS: u64 = 5_000 + 900;

/// Returns a chain whose first holder has started endless runs of job 1 on
/// each of these workers.
fn chain_with_endless_runs(names: &[&str]) -> HolderChain {
    let mut chain = HolderChain::new(names);
    chain.world.fate = Fate::endless();
    // As many tasks as all workers have room for.
    let tasks = u32::try_from(names.len() * 4).unwrap();
    chain.submit(1, job(vec![step(tasks)]));
    chain.schedule_for(3_000);
    assert_eq!(chain.world.running().len(), names.len() * 4);
    chain
}

/// Cancels job 1 under a holder whose orders to stop the runs are lost, and
/// which is gone as soon as the job is stored as cancelled.
fn cancel_and_lose_the_stops(chain: &mut HolderChain) {
    chain.stops = StopDelivery::Lost;
    chain.cancel(1);
    chain.schedule_for(100);
    assert_eq!(chain.world.phases[&id(1)], "cancelled", "callers are told");
    chain.stops = StopDelivery::Delivered;
}

// Guards against a run that survives its job's cancellation under short-lived
// holders. After a refused write, holders followed each other, each for 0.8 to
// 2.5 s, of which loading took 0.74 s. The holder that took the cancellation
// stored the job as over, which deleted the cancellation's entry, and was gone
// before any order to stop took effect. Each later holder read the
// cancellations first, found none, left the run alone as one of a job that
// wasn't loaded yet, and renewed its lease. The run continued for 14 s.
#[test]
fn a_cancelled_jobs_run_ends_though_no_holder_lasts_until_all_is_loaded() {
    let mut chain = chain_with_endless_runs(&["w1"]);
    cancel_and_lose_the_stops(&mut chain);
    for _ in 0..8 {
        chain.begin();
        chain.schedule_for(700);
    }
    assert!(!chain.runs(1), "8 holders for 0.7 s each");
}

// The same under holders that last longer than they load, but have so many
// workers to ask that a hold after loading comes too late.
#[test]
fn a_cancelled_jobs_run_ends_though_each_holder_has_many_workers_to_ask() {
    let names: Vec<String> = (0..300).map(|n| format!("w{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut chain = HolderChain::new(&names);
    chain.world.fate = Fate::endless();
    chain.submit(2, job(vec![step(1_199)]));
    chain.schedule_for(3_000);
    chain.submit(1, job(vec![step(1)]));
    chain.schedule_for(500);
    assert!(chain.runs(1));
    cancel_and_lose_the_stops(&mut chain);
    // 480 a second, so that all workers are asked once while the holder loads.
    chain.orders_a_plan = 12;
    chain.holders_for(MAX_RUN_AFTER_CANCEL_MS);
    assert!(!chain.runs(1));
    let others = chain.world.running().len();
    assert_eq!(others, 1_199, "nothing else ends");
}

#[test]
fn a_cancelled_jobs_run_ends_under_the_next_holder_that_has_loaded_it() {
    let mut chain = chain_with_endless_runs(&["w1", "w2"]);
    cancel_and_lose_the_stops(&mut chain);
    chain.next_holder();
    assert!(!chain.runs(1));
}

#[test]
fn a_stop_that_is_lost_or_refused_is_ordered_again() {
    for stops in [StopDelivery::Lost, StopDelivery::Refused] {
        let mut chain = chain_with_endless_runs(&["w1"]);
        chain.stops = stops;
        chain.cancel(1);
        chain.schedule_for(2_000);
        assert!(chain.runs(1), "{stops:?}");
        chain.stops = StopDelivery::Delivered;
        chain.schedule_for(900);
        assert!(!chain.runs(1), "{stops:?}");
    }
}

#[test]
fn a_stop_is_refused_under_each_of_several_holders_and_then_works() {
    let mut chain = chain_with_endless_runs(&["w1"]);
    chain.stops = StopDelivery::Refused;
    chain.cancel(1);
    chain.holders_for(2_400);
    assert!(chain.runs(1));
    chain.stops = StopDelivery::Delivered;
    chain.next_holder();
    assert!(!chain.runs(1));
}

#[test]
fn a_silent_worker_is_told_to_stop_as_soon_as_it_answers() {
    let mut chain = chain_with_endless_runs(&["w1", "w2"]);
    chain.world.unreachable.push(listing("w1").id);
    chain.cancel(1);
    chain.holders_for(4_800);
    assert!(chain.runs(1), "on the worker that can't be reached");
    chain.world.unreachable.clear();
    chain.next_holder();
    assert!(!chain.runs(1));
}

#[test]
fn workers_that_drain_or_left_the_directory_are_told_to_stop_as_well() {
    let mut chain = chain_with_endless_runs(&["w1", "w2"]);
    chain.world.listings[0].draining = true;
    chain.world.list();
    // The other worker isn't listed any more, but lives.
    chain.world.listings.truncate(1);
    chain.world.list();
    chain.cancel(1);
    chain.schedule_for(1_000);
    assert!(!chain.runs(1));
}

// An unanswered start makes the holder raise its token for the worker, which
// then gets nothing but holds. A stop must be sent nevertheless.
#[test]
fn a_worker_whose_token_is_being_raised_is_told_to_stop() {
    let mut chain = chain_with_endless_runs(&["w1"]);
    chain.submit(2, job(vec![step(1)]));
    chain.world.listings[0].capacity.cpu_millis += 1_000;
    chain.world.list();
    let w1 = listing("w1").id;
    chain.world.unreachable.push(w1);
    chain.schedule_for(50);
    assert_eq!(chain.world.starts.len(), 5, "one without an answer");
    chain.cancel(1);
    chain.world.unreachable.clear();
    chain.schedule_for(900);
    assert!(!chain.runs(1));
}

#[test]
fn a_run_ends_whose_jobs_record_is_already_deleted() {
    let mut chain = chain_with_endless_runs(&["w1"]);
    cancel_and_lose_the_stops(&mut chain);
    chain.forget(1);
    chain.next_holder();
    assert!(!chain.runs(1));
}

// The order to start is sent before the cancellation and arrives after it,
// when its holder is gone.
#[test]
fn a_run_ends_whose_start_arrives_after_the_cancellation() {
    let mut chain = HolderChain::new(&["w1"]);
    chain.world.fate = Fate::endless();
    chain.schedule_for(100);
    let w1 = listing("w1").id;
    chain.world.unreachable.push(w1.clone());
    chain.submit(1, job(vec![step(1)]));
    chain.schedule_for(25);
    let (_, late) = chain.world.starts.last().cloned().expect("a start");
    chain.cancel(1);
    chain.schedule_for(25);
    chain.world.unreachable.clear();
    chain.begin();
    let now_ms = chain.world.now_ms;
    let room = Resources { cpu_millis: 1_000, ..Resources::default() };
    let worker = chain.world.reach(&w1).expect("a worker");
    let started = worker.start(now_ms, &late, room, Fate::endless());
    assert!(started.is_ok(), "nobody has asked it under a newer token");
    assert!(chain.runs(1));
    chain.schedule_for(700);
    chain.load();
    chain.schedule_for(500);
    assert!(!chain.runs(1));
}

/// Returns whether the cancellation of job 1 needn't stay on record.
fn takes_settled_cancellation(world: &mut World) -> bool {
    let now = at(world.now_ms);
    let settled = world.scheduler.take_settled_cancellations(now, 31);
    settled == [id(1)]
}

#[test]
fn a_cancellation_stays_on_record_while_a_run_of_its_job_may_go_on() {
    let mut world = world_with_an_endless_run();
    let w1 = listing("w1").id;
    world.unreachable.push(w1);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(1_000);
    assert_eq!(world.phases[&id(1)], "cancelled");
    assert!(!takes_settled_cancellation(&mut world), "its run is there");

    // Another holder that can't reach the worker either.
    world.take_over(9);
    world.scheduler.begin_loading();
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.list();
    let over = world.stored[&id(1)].clone();
    world.scheduler.submit(id(1), Default::default(), 0, Some(&over));
    world.run_for(300);
    assert!(
        !takes_settled_cancellation(&mut world),
        "more jobs are still to be loaded"
    );
    world.scheduler.finish_loading(at(world.now_ms));
    world.expect_all();
    world.run_for(1_000);
    assert!(
        !takes_settled_cancellation(&mut world),
        "the worker hasn't been asked"
    );

    world.unreachable.clear();
    world.run_for(1_000);
    assert!(world.running().is_empty());
    assert!(takes_settled_cancellation(&mut world));
    world.run_for(1_000);
    assert!(!takes_settled_cancellation(&mut world), "it is taken once");
}

// Guards against a cancellation entry that expires while a run continues. The
// retention of a finished job's keys goes by the wall clock of another node,
// which may jump by an hour.
#[test]
fn a_cancellation_does_not_expire_while_a_run_of_its_job_may_go_on() {
    let mut world = world_with_an_endless_run();
    world.unreachable.push(listing("w1").id);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(1_000);
    let an_hour_on =
        |now: Now| Now { unix_ms: now.unix_ms + 3_600_000, ..now };
    let later = an_hour_on(at(world.now_ms));
    assert!(world.scheduler.take_expired(later, 15).is_empty());
    world.unreachable.clear();
    world.run_for(1_000);
    assert!(takes_settled_cancellation(&mut world));
    assert_eq!(world.scheduler.take_expired(later, 15), [id(1)]);
}

#[test]
fn a_cancellation_settles_without_a_worker_whose_lease_is_over() {
    let mut world = World::new(7, &["w1", "w2"]);
    world.unreachable.push(listing("w2").id);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 8, None);
    world.run_for(200);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(2_000);
    assert!(
        !takes_settled_cancellation(&mut world),
        "nobody knows what the other runs"
    );
    world.run_for(20_000);
    assert!(takes_settled_cancellation(&mut world));
}

#[test]
fn a_cancellation_that_comes_too_late_settles_and_changes_nothing() {
    let mut world = World::new(7, &["w1"]);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 8, None);
    world.run_for(1_500);
    assert_eq!(world.phases[&id(1)], "completed");
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(500);
    assert_eq!(world.phases[&id(1)], "completed");
    assert!(takes_settled_cancellation(&mut world));
}

#[test]
fn a_cancellation_of_a_job_that_nobody_knows_stays_on_record() {
    let mut world = World::new(7, &["w1"]);
    world.list();
    world.expect_all();
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(2_000);
    assert!(!takes_settled_cancellation(&mut world));
}

// Each hold renews the lease of all runs on a worker. If all of them are to
// stop, this must not keep runs alive that no order to stop can reach.
#[test]
fn the_lease_of_a_worker_on_which_nothing_is_wanted_is_not_renewed() {
    let mut chain = chain_with_endless_runs(&["w1"]);
    chain.stops = StopDelivery::Refused;
    chain.cancel(1);
    // A lease lasts 8 s.
    chain.holders_for(9_600);
    assert!(!chain.runs(1));
}

#[test]
fn the_lease_of_a_worker_is_renewed_while_anything_there_is_wanted() {
    let mut chain = HolderChain::new(&["w1"]);
    chain.world.fate = Fate::endless();
    chain.submit(1, job(vec![step(1)]));
    chain.submit(2, job(vec![step(1)]));
    chain.schedule_for(500);
    assert_eq!(chain.world.running().len(), 2);
    chain.stops = StopDelivery::Refused;
    chain.cancel(1);
    chain.schedule_for(20_000);
    assert!(chain.runs(2));
    chain.stops = StopDelivery::Delivered;
    chain.schedule_for(900);
    assert!(!chain.runs(1));
    assert!(chain.runs(2));
}

// Guards against workers that no holder asks. A small node asks 600 workers a
// second. If each holder begins with the same workers and lasts 1.2 s, the
// last of 1,100 workers are never asked.
#[test]
fn short_lived_holders_do_not_all_skip_the_same_workers() {
    let names: Vec<String> = (0..1_100).map(|n| format!("w{n:04}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut chain = HolderChain::new(&names);
    chain.world.fate = Fate::endless();
    // The run is on the last worker.
    let all = chain.world.listings.clone();
    chain.world.listings = all[1_099..].to_vec();
    chain.world.list();
    chain.submit(1, job(vec![step(1)]));
    chain.schedule_for(500);
    assert!(chain.runs(1));
    chain.world.listings = all;
    chain.world.list();
    chain.submit(2, job(vec![step(4_399)]));
    chain.schedule_for(3_000);
    assert_eq!(chain.world.running().len(), 4_400);
    cancel_and_lose_the_stops(&mut chain);
    chain.orders_a_plan = 15;
    chain.holders_for(MAX_RUN_AFTER_CANCEL_MS);
    assert!(!chain.runs(1));
}

/// The maximum time that a stop may wait to be sent, in milliseconds: a third
/// of the time that a worker may take for it.
const MAX_STOP_WAIT_MS: u64 = 300;

// Guards against stops that queue behind holds. A node that sends 240 orders a
// second asked each of 400 workers again as soon as it had answered, so that
// more than a second's worth of holds was always in flight ahead of a stop.
#[test]
fn a_stop_does_not_queue_behind_holds() {
    let names: Vec<String> = (0..400).map(|n| format!("w{n:03}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut chain = HolderChain::new(&names);
    chain.world.fate = Fate::endless();
    chain.submit(2, job(vec![step(1_599)]));
    chain.schedule_for(3_000);
    chain.submit(1, job(vec![step(1)]));
    chain.schedule_for(500);
    assert!(chain.runs(1));
    chain.orders_a_plan = 6;
    // Longer than any lease.
    chain.schedule_for(20_000);
    chain.cancel(1);
    let cancelled_ms = chain.world.now_ms;
    while chain.runs(1) {
        chain.schedule_for(25);
    }
    let waited_ms = chain.world.now_ms - cancelled_ms;
    assert!(waited_ms <= MAX_STOP_WAIT_MS, "{waited_ms} ms");
    let others = chain.world.running().len();
    assert_eq!(others, 1_599, "nothing else ends");
}
