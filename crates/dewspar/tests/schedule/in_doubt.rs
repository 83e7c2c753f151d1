//! Starts whose orders got no answer and are carried out late by their
//! worker's next process, which has seen no token.

use {
    crate::world::{World, at, id, job, managed, step},
    dewspar::{
        job::{JobId, StepSpec},
        schedule::{
            Decision, ManagedVm, Resources, StartOrder, WorkerId,
            WorkerListing,
        },
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeMap,
};

/// How late an order may be carried out, in milliseconds.
const LATE_MS: u64 = 12_000;

fn restarting(names: &[&str]) -> World {
    let mut world = World::new(5, names);
    world.assign_incarnations();
    world.list();
    world.expect_all();
    world.run_for(200);
    world
}

/// Loses the order to start a job's only task in transit; returns it with its
/// worker.
fn lose_start(world: &mut World, job_id: JobId) -> (WorkerId, StartOrder) {
    let before = world.starts.len();
    world.drops_starts = true;
    while world.starts.len() == before {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
    }
    world.drops_starts = false;
    let lost = world.starts[before].clone();
    assert_eq!(lost.1.task.job, job_id);
    lost
}

/// Carries out a start that was sent to a former process.
fn deliver(world: &mut World, id: &WorkerId, order: &StartOrder) {
    let clock = world.clock_of(id);
    let demand = Resources { cpu_millis: 1_000, ..Resources::default() };
    // OK because it is only called for workers that are up.
    let worker = world.workers.get_mut(id).expect("up");
    // Refused if the worker has seen a higher token.
    let _ = worker.start(clock, order, demand, Fate::endless());
}

fn assert_none_twice(world: &mut World) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for task in world.running() {
        *runs.entry(task).or_default() += 1;
    }
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

fn runs(world: &mut World, job_id: JobId) -> bool {
    let prefix = format!("{job_id}.");
    world.running().iter().any(|task| task.starts_with(&prefix))
}

/// Fills a worker with tasks of a job of higher priority than all others.
fn fill(world: &mut World, on: &WorkerId) {
    for listing in &mut world.listings {
        listing.draining = listing.id != *on;
    }
    world.list();
    world.scheduler.submit(id(100), job(vec![step(4)]), 7, None);
    world.run_for(200);
    for listing in &mut world.listings {
        listing.draining = false;
    }
    world.list();
}

// Guards against an invalidated start that the worker's next process carries
// out while its task runs elsewhere.
#[test]
fn a_void_start_is_not_carried_out_beside_another() {
    for late_ms in [500, 1_000, 2_000, 4_000, 8_000, 11_000] {
        let mut world = restarting(&["w1", "w2"]);
        world.fate = Fate::endless();
        let mut waits = job(vec![step(1)]);
        waits.terms.priority = 9;
        world.scheduler.submit(id(1), waits, 6, None);
        let (on, order) = lose_start(&mut world, id(1));
        fill(&mut world, &on);
        world.run_for(late_ms - 200);
        world.restart_worker(&on);
        deliver(&mut world, &on, &order);
        assert_none_twice(&mut world);
        for _ in 0..(LATE_MS / 50) {
            world.run_for(50);
            assert_none_twice(&mut world);
        }
        world.list();
        world.run_for(2_000);
        assert!(runs(&mut world, id(1)), "late by {late_ms} ms");
    }
}

// The same, if a holder that knew of the start is followed by one that
// doesn't.
#[test]
fn a_void_start_of_a_former_holder_is_not_carried_out_beside_another() {
    for late_ms in [300, 1_000, 4_000] {
        let mut world = restarting(&["w1", "w2"]);
        world.fate = Fate::endless();
        world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
        let (on, order) = lose_start(&mut world, id(1));
        // Invalidated by the previous holder, and stored as in doubt.
        world.run_for(50);
        let progress = world.stored.get(&id(1)).cloned();
        let record = &progress.as_ref().expect("stored").tasks[0];
        assert_eq!(record.in_doubt[0].worker, on.as_str());
        world.take_over(8);
        let accepted = job(vec![step(1)]);
        world.scheduler.submit(id(1), accepted, 6, progress.as_ref());
        world.list();
        world.expect_all();
        world.run_for(late_ms);
        world.restart_worker(&on);
        deliver(&mut world, &on, &order);
        for _ in 0..(LATE_MS / 50) {
            assert_none_twice(&mut world);
            world.run_for(50);
        }
        world.list();
        world.run_for(2_000);
        assert!(runs(&mut world, id(1)), "late by {late_ms} ms");
    }
}

// Guards against a start that its worker carries out late while its task runs
// elsewhere, because a new holder finds a former worker's entry on its VM and
// not its own.
#[test]
fn a_start_is_not_carried_out_late_beside_another_where_a_former_entry_stands()
{
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, order) = lose_start(&mut world, id(1));
    world.unreachable.push(on.clone());
    world.run_for(50);
    let progress = world.stored.get(&id(1)).cloned();
    world.take_over(8);
    let accepted = job(vec![step(1)]);
    world.scheduler.submit(id(1), accepted, 6, progress.as_ref());
    let here = |listing: &&mut WorkerListing| listing.id == on;
    let entry = world.listings.iter_mut().find(here).expect("listed");
    entry.id = WorkerId::new("former");
    entry.pool = "another".to_owned();
    for _ in 0..10 {
        world.list();
        world.run_for(500);
    }
    deliver(&mut world, &on, &order);
    assert_eq!(world.running().len(), 1);
}

/// A list of VMs that was requested before the order may show the worker
/// before.
#[test]
fn a_list_of_vms_from_before_an_order_does_not_show_that_it_cannot_arrive() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    let asked_ms = world.now_ms;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, order) = lose_start(&mut world, id(1));
    let reason = "the VM service says that it ended";
    world.scheduler.worker_gone(&on, reason, at(world.now_ms));
    world.listings.retain(|listing| listing.id != on);
    let mut vms: Vec<_> = world.listings.iter().map(managed).collect();
    let former = Some(WorkerId::new("former"));
    let vm = format!("vm-of-{on}");
    vms.push(ManagedVm { vm, worker: former, ..vms[0].clone() });
    world.scheduler.list_vms(at(world.now_ms), asked_ms, &vms);
    world.list();
    world.run_for(5_000);
    deliver(&mut world, &on, &order);
    assert_eq!(world.running().len(), 1);
}

// Guards against an unanswered start that the next process of a worker carries
// out while its task runs elsewhere, if the worker was first known to have
// ended.
#[test]
fn a_start_is_not_carried_out_late_after_its_worker_was_known_to_have_ended() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, order) = lose_start(&mut world, id(1));
    let reason = "the VM service says that it ended";
    world.workers.remove(&on);
    world.scheduler.worker_gone(&on, reason, at(world.now_ms));
    world.run_for(1_000);
    world.restart_worker(&on);
    deliver(&mut world, &on, &order);
    for _ in 0..(LATE_MS / 50) {
        assert_none_twice(&mut world);
        world.run_for(50);
    }
    world.list();
    world.run_for(2_000);
    assert!(runs(&mut world, id(1)));
}

/// A worker that answers gets the task again at once.
#[test]
fn a_task_in_doubt_starts_again_at_once_where_its_worker_answers() {
    let mut world = restarting(&["w1", "w2"]);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, _) = lose_start(&mut world, id(1));
    world.run_for(150);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(world.starts[1].0, on);
    world.run_for(1_000);
    assert_eq!(world.phases[&id(1)], "completed");
}

/// The task starts elsewhere once the order can't be carried out any more.
#[test]
fn a_task_in_doubt_whose_worker_is_gone_starts_elsewhere_after_the_delivery_limit()
 {
    let mut world = restarting(&["w1", "w2"]);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, _) = lose_start(&mut world, id(1));
    let lost_ms = world.now_ms;
    world.workers.remove(&on);
    world.listings.retain(|listing| listing.id != on);
    let reason = "the VM service says that it ended";
    world.scheduler.worker_gone(&on, reason, at(world.now_ms));
    world.run_for(LATE_MS - 100);
    assert_eq!(world.starts.len(), 1);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 2);
    assert!(world.now_ms >= lost_ms + LATE_MS);
    assert_eq!(world.phases[&id(1)], "completed");
}

/// A worker of another name on the same VM refuses the order, so the task
/// needn't wait.
#[test]
fn a_task_in_doubt_starts_elsewhere_once_its_vm_runs_another_worker() {
    let mut world = restarting(&["w1", "w2"]);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, _) = lose_start(&mut world, id(1));
    world.workers.remove(&on);
    let here = |listing: &&mut WorkerListing| listing.id == on;
    let listing = world.listings.iter_mut().find(here).expect("listed");
    listing.id = WorkerId::new("w3");
    world.list();
    world.run_for(150);
    assert_eq!(world.starts.len(), 1, "the entry may be a former worker's");
    world.list_vms();
    world.list();
    world.run_for(150);
    assert_eq!(world.starts.len(), 2);
}

/// A task of which copies may run starts elsewhere at once, since a copy does
/// no harm.
#[test]
fn a_task_of_which_copies_may_run_is_never_in_doubt() {
    let copies = StepSpec { may_duplicate: true, ..step(1) };
    let mut world = restarting(&["w1", "w2"]);
    world.scheduler.submit(id(1), job(vec![copies]), 6, None);
    lose_start(&mut world, id(1));
    world.run_for(1_000);
    let decisions = world.scheduler.take_decisions();
    let in_doubt = |d: &Decision| matches!(d, Decision::StartInDoubt { .. });
    assert!(!decisions.iter().any(in_doubt), "{decisions:?}");
}

// Guards against a wait for a late order that begins anew with each holder, and
// never ends if holders are lost sooner.
#[test]
fn a_task_starts_elsewhere_although_holders_are_lost_while_its_order_is_late()
{
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let (on, _) = lose_start(&mut world, id(1));
    world.unreachable.push(on);
    world.run_for(1_000);
    for revision in 10..20 {
        world.now_ms += 1_500;
        world.take_over(revision);
        world.list();
        world.expect_all();
        let progress = world.stored.get(&id(1)).cloned();
        let waits = job(vec![step(1)]);
        world.scheduler.submit(id(1), waits, 6, progress.as_ref());
        world.run_for(3_500);
    }
    assert!(runs(&mut world, id(1)));
}

/// The longest time for which a worker that can't be reached runs a start that
/// it carried out late, in milliseconds: the longest lease on a slow clock.
const LONGEST_RUN_MS: u64 = 10_250;

// Guards against a task that runs twice because the lease of a worker's next
// process counts as over, while it runs a start that arrived late.
#[test]
fn a_late_start_is_not_carried_out_beside_another_by_an_unreachable_process() {
    for late_ms in (500..LATE_MS).step_by(500) {
        let mut world = restarting(&["w1", "w2"]);
        world.fate = Fate::endless();
        // The clock of the next process begins anew, and is behind.
        world.run_for(30_000);
        world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
        let (on, order) = lose_start(&mut world, id(1));
        let ordered_ms = world.now_ms;
        world.unreachable.push(on.clone());
        world.restart_worker(&on);
        let over_ms = ordered_ms + LATE_MS + LONGEST_RUN_MS;
        while world.now_ms < over_ms + 500 {
            if world.now_ms == ordered_ms + late_ms {
                deliver(&mut world, &on, &order);
            }
            world.list();
            world.run_for(50);
            let running = world.running();
            let after_ms = world.now_ms - ordered_ms;
            assert!(running.len() <= 1, "late by {late_ms} ms, {after_ms}");
        }
        // It starts again once nothing can run there any more.
        assert_eq!(world.running().len(), 1, "late by {late_ms} ms");
        assert_eq!(world.starts.len(), 2);
    }
}

// The same after a takeover, as the new holder sees only the next process.
#[test]
fn a_late_start_of_a_former_holder_does_not_run_twice_on_a_silent_process() {
    for late_ms in (500..LATE_MS).step_by(500) {
        let mut world = restarting(&["w1", "w2"]);
        world.fate = Fate::endless();
        world.run_for(30_000);
        world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
        let (on, order) = lose_start(&mut world, id(1));
        let ordered_ms = world.now_ms;
        world.unreachable.push(on.clone());
        world.run_for(50);
        world.restart_worker(&on);
        let progress = world.stored.get(&id(1)).cloned();
        world.take_over(8);
        world.list();
        world.expect_all();
        let accepted = job(vec![step(1)]);
        world.scheduler.submit(id(1), accepted, 6, progress.as_ref());
        let over_ms = ordered_ms + LATE_MS + LONGEST_RUN_MS;
        while world.now_ms < over_ms {
            if world.now_ms == ordered_ms + late_ms {
                deliver(&mut world, &on, &order);
            }
            world.list();
            world.run_for(50);
            let running = world.running();
            let after_ms = world.now_ms - ordered_ms;
            assert!(running.len() <= 1, "late by {late_ms} ms, {after_ms}");
        }
    }
}
