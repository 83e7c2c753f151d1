//! Runs, their ends, and what a new holder knows of them.

use {
    crate::world::{POOL, World, at, id, job, next_hold, step},
    dewspar::{
        job::{Phase, StepSpec},
        schedule::{
            Action, Decision, OrderError, Refusal, Resources, WorkerId,
        },
    },
    dewspar_standin::task_worker::Fate,
};

#[test]
fn runs_steps_in_order() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    let second = StepSpec { after: vec![0], ..step(1) };
    world.scheduler.submit(id(1), job(vec![step(3), second]), 6, None);
    world.run_for(300);
    assert_eq!(world.starts.len(), 3);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.scheduler.phase(id(1)), None, "stored and forgotten");
}

#[test]
fn fails_a_job_after_its_attempts() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 3);
    assert_eq!(world.scheduler.phase(id(1)), None);
}

#[test]
fn a_task_goes_back_to_the_only_worker_that_its_pool_has() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "another worker may come");
    world.fate = Fate::done(100);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 2, "none has come");
    assert_eq!(world.scheduler.phase(id(1)), None, "stored and forgotten");
}

#[test]
fn moves_the_tasks_of_a_silent_worker_once_its_lease_is_over() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(300);
    let (first, _) = world.starts[0].clone();
    world.unreachable.push(first);
    world.run_for(7_000);
    assert_eq!(world.starts.len(), 1, "its lease may still be running");
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2, "its lease is over");
}

#[test]
fn a_lost_answer_is_asked_for_again_at_once() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    let worker = WorkerId::new("w1");
    let held = next_hold(&mut world, &worker);
    let now = at(world.now_ms);
    world.hold_result(&worker, &held, Err(OrderError::Unknown), now);
    // The next plan asks again, and without letting the worker wait.
    let again = next_hold(&mut world, &worker);
    assert_eq!(again.order().wait_ms, 0);
    // One lost answer doesn't make the worker silent: it still gets starts.
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    let starts = world.scheduler.plan(now);
    assert!(matches!(&starts[..], [Action::Start { .. }]), "{starts:?}");
    world.hold_result(&worker, &again, Err(OrderError::Unknown), now);
    world.scheduler.submit(id(3), job(vec![step(1)]), 8, None);
    assert_eq!(world.scheduler.plan(now), [], "now it is silent");
}

#[test]
fn an_ended_worker_is_not_added_again_from_the_directory() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    let worker = WorkerId::new("w1");
    world.scheduler.worker_gone(&worker, "test", at(world.now_ms));
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    assert!(world.starts.is_empty());
}

#[test]
fn inherited_tasks_wait_for_a_worker_that_the_directory_misses() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::endless();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(300);
    let (first, _) = world.starts[0].clone();
    world.take_over(9);
    // The directory has lost the entry of the worker that runs the task, but
    // the VM service reports it as alive.
    let all = world.listings.clone();
    world.listings.retain(|listing| listing.id != first);
    world.list();
    let live_workers = all.iter().map(|l| (l.id.clone(), l.pool.clone()));
    world.scheduler.expect_workers(at(world.now_ms), live_workers);
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "it may run where nobody looked");
    world.listings = all;
    world.list();
    world.run_for(300);
    assert_eq!(world.starts.len(), 1, "it was found");
    assert_eq!(world.running().len(), 1);
}

#[test]
fn inherited_tasks_wait_until_the_living_workers_are_known() {
    let mut world = World::new(9, &["w1"]);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(500);
    assert!(world.starts.is_empty());
    let live_workers = [(WorkerId::new("w1"), POOL.to_owned())];
    world.scheduler.expect_workers(at(world.now_ms), live_workers);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_so() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 2);
    world.scheduler.cancel(id(1), at(world.now_ms));
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Cancelled));
    world.run_for(500);
    assert!(world.running().is_empty());
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_late_order_of_an_unanswered_start_does_nothing() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let now = at(world.now_ms);
    let actions = world.scheduler.plan(now);
    let order = actions.iter().find_map(|action| match action {
        Action::Start { order, .. } => Some(order.clone()),
        _ => None,
    });
    let order = order.expect("a start");
    let worker = WorkerId::new("w1");
    let lost = Err(OrderError::Unknown);
    world.scheduler.start_answered(&worker, &order.task, 1, lost, now);
    world.run_for(300);
    assert_eq!(world.starts.len(), 1, "started again under a new token");
    let demand = Resources::default();
    let late = world.workers.get_mut(&worker).expect("w1").start(
        world.now_ms,
        &order,
        demand,
        Fate::done(1),
    );
    assert_eq!(late, Err(OrderError::Refused(Refusal::Fenced)));
}

#[test]
fn ends_are_acknowledged_only_once_they_are_stored() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::done(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut acknowledged = 0;
    let mut changes = None;
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            if let Action::Hold { held, .. } = &action {
                acknowledged = acknowledged.max(held.order().acknowledged);
            }
            world.carry_out(action, now);
        }
        // Nothing is stored yet.
        if changes.is_none() && world.scheduler.has_changes() {
            let taken = world.scheduler.take_changes(100);
            world.scheduler.changes_failed(&taken);
        }
    }
    assert_eq!(acknowledged, 0);
    changes = Some(world.scheduler.take_changes(100));
    let changes = changes.expect("just set");
    assert_eq!(changes.progress[0].1.phase, Phase::Completed);
    world.scheduler.changes_stored(&changes, at(world.now_ms));
    let actions = world.scheduler.plan(at(world.now_ms));
    let Some(Action::Hold { held, .. }) = actions.first() else {
        panic!("no hold: {actions:?}");
    };
    assert_eq!(held.order().acknowledged, 1);
}

#[test]
fn a_long_running_task_goes_back_to_where_it_failed_if_it_must() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::failed(300);
    let long = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(200);
    assert_eq!(world.starts.len(), 1);
    world.fate = Fate::endless();
    world.run_for(2_000);
    assert_eq!(world.running().len(), 1);
}

#[test]
fn a_failure_repeated_after_a_takeover_counts_once() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut stored = None;
    // Two failures are stored, and the last end isn't acknowledged.
    while world.starts.len() < 3 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        if let Some((_, progress)) = changes.progress.first() {
            stored = Some(progress.clone());
        }
        world.scheduler.changes_stored(&changes, now);
    }
    let progress = stored.expect("progress was stored");
    world.fate = Fate::done(100);
    world.take_over(9);
    world.list();
    world.expect_all();
    let again = job(vec![step(1)]);
    world.scheduler.submit(id(1), again, 6, Some(&progress));
    let mut last = None;
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        if let Some((_, progress)) = changes.progress.last() {
            last = Some(progress.phase);
        }
        world.scheduler.changes_stored(&changes, now);
    }
    // The third run failed as well, and counts.
    assert_eq!(last, Some(Phase::Failed));
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_stored_failure_is_not_counted_again() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut progress = None;
    while progress.is_none() {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        // It is stored, but the holder is gone before it acknowledges the end.
        progress = changes
            .progress
            .iter()
            .map(|(_, progress)| progress.clone())
            .find(|progress| !progress.tasks.is_empty());
        if progress.is_none() {
            world.scheduler.changes_stored(&changes, now);
        }
    }
    // Two more failures are allowed: the job must not fail before them.
    world.take_over(9);
    world.list();
    world.expect_all();
    let again = job(vec![step(1)]);
    world.scheduler.submit(id(1), again, 6, progress.as_ref());
    world.run_for(3_000);
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_stalled_task_is_moved() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::stalled();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    world.fate = Fate::done(500);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2);
    assert_ne!(world.starts[0].0, world.starts[1].0);
    assert_eq!(world.scheduler.phase(id(1)), None, "done and stored");
}

/// Guards against a worker that stays unused for the rest of the holder's
/// lease after it was unreachable until its own lease counted as over,
/// although it is back.
#[test]
fn a_worker_that_returns_after_its_lease_expired_is_used_again() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.fate = Fate::done(60_000);
    world.list();
    world.expect_all();
    world.run_for(200);
    world.scheduler.submit(id(1), job(vec![step(8)]), 6, None);
    world.run_for(300);
    assert_eq!(world.running().len(), 8);
    let w1 = WorkerId::new("w1");
    world.unreachable.push(w1.clone());
    for _ in 0..30 {
        world.run_for(1_000);
        world.list();
    }
    assert_eq!(world.running().len(), 4, "its lease is over");
    world.starts.clear();
    world.unreachable.clear();
    world.fate = Fate::done(500);
    for _ in 0..5 {
        world.run_for(1_000);
        world.list();
    }
    let again = world.starts.iter().filter(|(worker, _)| *worker == w1);
    assert!(again.count() > 0, "{:?}", world.starts);
    world.run_for(60_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
}

/// A worker that is still listed but doesn't answer keeps no task waiting once
/// its lease is over.
#[test]
fn a_worker_whose_lease_expired_keeps_no_task_waiting() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    // Accepted under a previous holder, so that it may run on either worker.
    world.unreachable.push(WorkerId::new("w1"));
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    for _ in 0..30 {
        world.run_for(1_000);
        world.list();
    }
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
    world.scheduler.submit(id(2), job(vec![step(1)]), 4, None);
    world.run_for(2_000);
    assert_eq!(world.phases.get(&id(2)), Some(&"completed"));
}

/// Returns how long the runs worked whose ends were reported.
fn worked_ms(world: &mut World) -> Vec<Option<u64>> {
    let decisions = world.scheduler.take_decisions();
    let ends = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Ended { worked_ms, .. } => Some(worked_ms),
        _ => None,
    });
    ends.collect()
}

/// A worker that was out of reach reports ends late; the time until then isn't
/// work.
#[test]
fn the_time_of_a_run_excludes_the_silence_of_its_worker() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(2_000);
    let [Some(worked)] = worked_ms(&mut world)[..] else { panic!("one run") };
    assert!((500..=600).contains(&worked), "{worked} ms, seen at once");

    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    world.unreachable.push(WorkerId::new("w1"));
    world.run_for(4_000);
    world.unreachable.clear();
    world.run_for(1_000);
    let [Some(worked)] = worked_ms(&mut world)[..] else { panic!("one run") };
    assert!((400..=600).contains(&worked), "{worked} ms, by its estimate");
}
