//! Placement of tasks on workers and the conditions for starting them.

use {
    crate::world::{ROOM, World, at, id, job, listing, step},
    dewspar::{
        job::{Repeat, StepSpec, TaskId},
        schedule::{AcceptedJob, Action, AdviceTerms, OrderError, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

/// Lets a serving task miss its latency target beside a best-effort task.
/// Returns the paces ordered while the serving task reports the given values
/// of `gauge` in turn.
fn paces_while(world: &mut World, gauges: &[u64]) -> Vec<u8> {
    let worker = WorkerId::new("w1");
    let mut paces = Vec::new();
    for gauge in gauges {
        world.now_ms += 800;
        let now = at(world.now_ms);
        let mut held_now = None;
        for action in world.scheduler.plan(now) {
            match action {
                Action::Pace { order, .. } => paces.push(order.percent),
                Action::Hold { held, .. } => held_now = Some(held),
                other => world.carry_out(other, now),
            }
        }
        if let Some(held) = held_now {
            let clock = now.steady_ms;
            let reached = world.reach(&worker).expect("w1");
            let mut report = reached.hold(clock, held.order()).expect("held");
            for run in &mut report.active {
                run.gauge = Some(*gauge);
            }
            world.hold_result(&worker, &held, Ok(report), now);
        }
    }
    paces
}

#[test]
fn best_effort_tasks_are_throttled_while_they_interfere() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, ..step(1) };
    let serving = StepSpec { target_ms: 50, ..long.clone() };
    let best_effort = StepSpec { best_effort: true, ..long };
    world.scheduler.submit(id(1), job(vec![serving, best_effort]), 6, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 2);
    let paces = paces_while(&mut world, &[90, 90, 90, 90]);
    assert_eq!(paces, [25, 0]);
    let paces = paces_while(&mut world, &[10, 10, 10, 10, 10, 10]);
    assert_eq!(paces, [25, 50, 75, 100]);
}

fn advised_job() -> AcceptedJob {
    let mut job = job(vec![step(2)]);
    job.terms.advice = Some(AdviceTerms {
        decision_ms: 20,
        period_ms: 2,
        validity_ms: 2_000,
    });
    job
}

/// Makes one scheduling pass. Returns the question to the adviser, if there is
/// one.
fn question(world: &mut World) -> Option<(TaskId, Vec<WorkerId>, u64)> {
    world.now_ms += 50;
    let now = at(world.now_ms);
    let mut asked = None;
    for action in world.scheduler.plan(now) {
        match action {
            Action::Advise { step, workers, asked_ms } => {
                asked = Some((step, workers, asked_ms));
            }
            other => world.carry_out(other, now),
        }
    }
    asked
}

#[test]
fn tasks_start_only_on_workers_with_a_ticket() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), advised_job(), 6, None);
    let asked = question(&mut world).expect("a question");
    let (step, workers, asked_ms) = asked;
    assert_eq!(workers.len(), 3);
    assert!(
        question(&mut world).is_none(),
        "one question at a time for a step"
    );
    assert!(world.starts.is_empty());
    let allowed = WorkerId::new("w2");
    let tickets = vec![(allowed.clone(), "t-1".to_owned())];
    let answer: Result<_, OrderError> = Ok(tickets);
    let now = at(world.now_ms);
    world.scheduler.advice_answered(&step, &workers, asked_ms, answer, now);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    for (worker, order) in &world.starts {
        assert_eq!(worker, &allowed);
        assert_eq!(order.ticket, "t-1");
    }
}

#[test]
fn the_adviser_is_asked_again_after_a_lost_answer() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), advised_job(), 6, None);
    let (step, workers, asked_ms) = question(&mut world).expect("one");
    let lost: Result<Vec<(WorkerId, String)>, OrderError> =
        Err(OrderError::Unknown);
    let now = at(world.now_ms);
    world.scheduler.advice_answered(&step, &workers, asked_ms, lost, now);
    assert!(question(&mut world).is_none(), "not at once");
    world.run_for(200);
    assert!(question(&mut world).is_some());
}

#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    let gang = StepSpec { gang: true, ..step(5) };
    world.scheduler.submit(id(1), job(vec![gang]), 6, None);
    world.run_for(500);
    assert!(world.starts.is_empty(), "four members fit, but not five");
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(ROOM));
    world.workers.extend([second]);
    world.list();
    world.run_for(200);
    assert_eq!(world.starts.len(), 5);
    let runs: Vec<u64> = world.starts.iter().map(|(_, s)| s.run).collect();
    assert!(
        runs.iter().all(|run| *run == runs[0]),
        "all members have the same run number: {runs:?}"
    );
}

#[test]
fn workers_whose_entries_expired_in_an_outage_are_used_at_once() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.run_for(5_000);
    // The store is available again. Its directory entries have expired and are
    // being written again.
    let all = std::mem::take(&mut world.listings);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    // A worker that stays unlisted for a while counts as gone.
    world.listings = all.into_iter().take(1).collect();
    for _ in 0..25 {
        world.run_for(100);
        world.list();
    }
    world.scheduler.submit(id(2), job(vec![step(8)]), 7, None);
    world.run_for(100);
    let gone = WorkerId::new("w2");
    assert!(world.starts[1..].iter().all(|(worker, _)| *worker != gone));
}

#[test]
fn a_task_without_room_does_not_block_smaller_tasks() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(3)]), 6, None);
    world.run_for(200);
    // There is room for one more task. A larger task and one whose label no
    // worker has come first in the queue.
    let large = StepSpec { cpu_millis: 2_000, ..step(1) };
    world.scheduler.submit(id(2), job(vec![large]), 7, None);
    let label = "elsewhere".to_owned();
    let labelled = StepSpec { required_label: label, ..step(1) };
    world.scheduler.submit(id(3), job(vec![labelled]), 8, None);
    world.scheduler.submit(id(4), job(vec![step(2)]), 9, None);
    world.run_for(200);
    let started = &world.starts[3..];
    assert!(started.iter().all(|(_, order)| order.task.job == id(4)));
    assert_eq!(started.len(), 1);
}

#[test]
fn a_draining_worker_gets_no_new_tasks() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.listings[0].draining = true;
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(200);
    let second = WorkerId::new("w2");
    assert_eq!(world.starts.len(), 2);
    assert!(world.starts.iter().all(|(worker, _)| *worker == second));
}

#[test]
fn tasks_go_only_where_label_pool_and_spread_allow() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.listings[0].pool = "other".to_owned();
    world.listings[1].labels = vec!["b".to_owned()];
    world.list();
    world.run_for(100);
    let labelled = StepSpec { required_label: "a".to_owned(), ..step(2) };
    world.scheduler.submit(id(1), job(vec![labelled]), 6, None);
    world.run_for(200);
    let third = WorkerId::new("w3");
    assert_eq!(world.starts.len(), 2);
    assert!(world.starts.iter().all(|(worker, _)| *worker == third));
    world.starts.clear();
    let apart = StepSpec { max_per_worker: 1, ..step(3) };
    world.scheduler.submit(id(2), job(vec![apart]), 7, None);
    world.run_for(200);
    assert_eq!(world.starts.len(), 2, "one on each worker of the pool");
}

#[test]
fn a_round_starts_when_it_falls_due() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    let mut job = job(vec![step(1)]);
    let start_at_ms = at(world.now_ms + 1_000).unix_ms;
    job.spec.repeat =
        Some(Repeat { start_at_ms, interval_ms: 2_000, count: 2 });
    world.scheduler.submit(id(1), job, 6, None);
    world.run_for(950);
    assert!(world.starts.is_empty());
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    world.run_for(1_800);
    assert_eq!(world.starts.len(), 1);
    world.run_for(300);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn the_tasks_of_a_step_fill_the_fullest_worker_before_the_next() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.fate = Fate::endless();
    world.list();
    world.expect_all();
    world.round();
    // Put one task on w3, the last identifier among equal workers, so that it
    // is the fullest.
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(100);
    world.starts.clear();
    world.scheduler.submit(id(2), job(vec![step(6)]), 7, None);
    world.run_for(100);
    let on: Vec<&str> =
        world.starts.iter().map(|(worker, _)| worker.as_str()).collect();
    assert_eq!(on, ["w3", "w3", "w3", "w2", "w2", "w2"]);
    // Later tasks of a step are placed with the earlier ones.
    world.starts.clear();
    world.scheduler.submit(id(3), job(vec![step(9)]), 8, None);
    world.run_for(100);
    let on: Vec<&str> =
        world.starts.iter().map(|(worker, _)| worker.as_str()).collect();
    assert_eq!(on, ["w2", "w1", "w1", "w1", "w1"]);
}
