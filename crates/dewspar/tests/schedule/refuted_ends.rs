//! Workers that are taken for ended although they live, and answer again.
//!
//! Guards against sound tasks that are given up since their workers were taken
//! for ended, and against tasks that do crash their workers and are spared.

use {
    crate::{
        crashing::{MAX_STARTS, first_task, starts_of},
        world::{World, at, id, job, managed, step},
    },
    dewspar::schedule::{
        Decision, Incarnation, ManagedVm, StartOrder, StopOrder, WorkerId,
    },
    dewspar_standin::task_worker::Fate,
};

/// How often the worker of a task is taken for ended in a row: more often than
/// a task is started that crashes its workers.
const WRONG_ENDS: usize = 6;

const NAMES: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// For how long the entry of a process that has ended is ignored, in
/// milliseconds.
const ENTRY_EXPIRY_MS: u64 = 10_000;

fn world_with_task() -> World {
    let mut world = World::new(5, &NAMES);
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    world
}

/// Lists the VMs, one of them without its live worker, and lets the task start
/// elsewhere.
fn end_wrongly(world: &mut World, worker: &WorkerId) {
    let mut vms = world.managed_vms();
    let here = |vm: &&mut ManagedVm| vm.worker.as_ref() == Some(worker);
    let vm = vms.iter_mut().find(here).expect("a listed worker");
    vm.worker = None;
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, world.now_ms, &vms);
    world.run_for(100);
}

/// Lists all live workers.
fn list_all(world: &mut World) {
    world.list_vms();
    world.list();
    world.run_for(200);
}

fn last_worker(world: &World) -> WorkerId {
    world.starts.last().expect("a start").0.clone()
}

/// Returns the crashes that are on record for the first task.
fn crashes_on_record(world: &World) -> u32 {
    let stored = world.stored.get(&id(1)).expect("a stored job");
    stored.tasks.iter().map(|task| task.crashes).sum()
}

/// Returns how often crashes were taken back.
fn retractions(world: &mut World) -> usize {
    let decisions = world.scheduler.take_decisions();
    let retracted =
        |d: &&Decision| matches!(d, Decision::CrashesRetracted { .. });
    decisions.iter().filter(retracted).count()
}

#[test]
fn a_task_is_not_given_up_whose_workers_live() {
    let mut world = world_with_task();
    let (mut counted, mut left) = (Vec::new(), Vec::new());
    for _ in 0..WRONG_ENDS {
        let on = last_worker(&world);
        end_wrongly(&mut world, &on);
        counted.push(crashes_on_record(&world));
        list_all(&mut world);
        left.push(crashes_on_record(&world));
    }
    assert_ne!(world.phases.get(&id(1)), Some(&"failed"), "{left:?}");
    assert_eq!(counted, [1; WRONG_ENDS]);
    assert_eq!(left, [0; WRONG_ENDS]);
    assert_eq!(world.starts.len(), 1 + WRONG_ENDS);
    assert_eq!(world.running().len(), 1);
    assert_eq!(retractions(&mut world), WRONG_ENDS);
}

/// A world with one worker, which runs a task.
fn world_with_one_worker(reports_process: bool) -> World {
    let mut world = World::new(5, &["w1"]);
    if reports_process {
        world.assign_incarnations();
    }
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    assert_eq!(world.starts.len(), 1);
    world
}

/// The run may have ended by the time its worker answers again.
#[test]
fn a_reported_end_shows_that_the_worker_lived() {
    let mut world = world_with_one_worker(false);
    let (on, started) = world.starts[0].clone();
    end_wrongly(&mut world, &on);
    assert_eq!(crashes_on_record(&world), 1);
    let StartOrder { task, run, fence, .. } = started;
    let clock_ms = world.clock_of(&on);
    let worker = world.workers.get_mut(&on).expect("a live worker");
    let order = StopOrder { task, run, fence };
    worker.stop(clock_ms, &order).expect("a run");
    list_all(&mut world);
    assert_eq!(crashes_on_record(&world), 0);
    assert_eq!(retractions(&mut world), 1);
}

/// The entry of a worker that reports its start time is ignored for a while
/// after its end; the task waits meanwhile.
#[test]
fn a_worker_that_returns_late_shows_that_it_lived() {
    let mut world = world_with_one_worker(true);
    let (on, _) = world.starts[0].clone();
    end_wrongly(&mut world, &on);
    world.run_for(ENTRY_EXPIRY_MS);
    assert_eq!(crashes_on_record(&world), 1);
    list_all(&mut world);
    assert_eq!(crashes_on_record(&world), 0);
    assert_eq!(retractions(&mut world), 1);
}

/// A worker that starts again under its identifier has crashed.
#[test]
fn a_restarted_worker_does_not_show_that_it_lived() {
    let mut world = World::new(5, &NAMES);
    world.assign_incarnations();
    world.fate = Fate::endless();
    world.list();
    world.list_vms();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    let on = last_worker(&world);
    end_wrongly(&mut world, &on);
    let next = Incarnation::started_at(1_800_000_000_000);
    world.restart_worker_as(&on, next);
    list_all(&mut world);
    assert_eq!(retractions(&mut world), 0);
}

#[test]
fn a_crashing_task_is_given_up_after_a_wrong_end_that_was_taken_back() {
    for keeps_worker_ids in [false, true] {
        let mut world = world_with_task();
        world.keeps_worker_ids = keeps_worker_ids;
        world.assign_incarnations();
        let on = last_worker(&world);
        end_wrongly(&mut world, &on);
        list_all(&mut world);
        let bad = first_task(id(1));
        let sound_starts = starts_of(&world, &bad);
        world.crashing.push(bad);
        let on = last_worker(&world);
        let vm = format!("vm-of-{on}");
        world.crash_worker_on(&vm);
        for _ in 0..120 {
            world.list();
            let live: Vec<ManagedVm> = world
                .listings
                .iter()
                .filter(|l| world.workers.contains_key(&l.id))
                .map(managed)
                .collect();
            world.scheduler.list_vms(at(world.now_ms), world.now_ms, &live);
            world.run_for(500);
        }
        let starts = starts_of(&world, &bad) - sound_starts;
        assert!(starts <= MAX_STARTS, "started {starts} times");
        assert_eq!(world.phases[&id(1)], "failed");
    }
}
