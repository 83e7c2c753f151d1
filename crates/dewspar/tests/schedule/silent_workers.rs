//! Workers that are silent while holders are lost in series.

use {
    crate::world::{World, at, id, job, listing, step},
    dewspar::{
        job::StepSpec,
        schedule::{AcceptedJob, Options, Scheduler, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

/// How long a holder is in place before it is lost, in milliseconds: less than
/// runs may go on at a worker that can't be reached.
const TENURE_MS: u64 = 4_000;

/// How long it takes until the next holder is in place, in milliseconds.
const ELECTION_MS: u64 = 1_500;

/// How long a silent worker may run what a lost holder started, in
/// milliseconds: 8 s for which a holder goes on without the store, and a lease
/// of 8 s by a clock that is 2 % slow.
const LONGEST_RUN_MS: u64 = 16_200;

fn lasting_job() -> AcceptedJob {
    job(vec![StepSpec { long_running: true, ..step(1) }])
}

/// A world in which job 1 runs on a worker that is cut off from then on.
fn world_with_cut_worker() -> (World, WorkerId) {
    let mut world = World::new(7, &["w1", "w2", "w3"]);
    // Long, and yet quick enough not to look stalled.
    world.fate = Fate::done(120_000);
    world.list();
    world.expect_all();
    world.run_for(500);
    world.scheduler.submit(id(1), lasting_job(), 8, None);
    world.run_for(1_000);
    let (worker, _) = world.starts[0].clone();
    world.unreachable.push(worker.clone());
    (world, worker)
}

/// Replaces the holder, which was lost some time ago.
fn take_over(world: &mut World, revision: u64) {
    world.now_ms += ELECTION_MS;
    world.take_over(revision);
    world.list();
    world.expect_all();
    let progress = world.stored.get(&id(1)).cloned();
    let scheduler = &mut world.scheduler;
    scheduler.submit(id(1), lasting_job(), 8, progress.as_ref());
    world.run_for(TENURE_MS);
}

/// Guards against a wait for a silent worker that begins anew with each holder,
/// and never ends if holders are lost sooner.
#[test]
fn a_task_starts_elsewhere_although_no_holder_outlasts_the_wait() {
    let (mut world, cut) = world_with_cut_worker();
    world.run_for(TENURE_MS);
    let cut_ms = world.now_ms - TENURE_MS;
    for revision in 20..30 {
        take_over(&mut world, revision);
    }
    let elsewhere = world.starts.iter().find(|(worker, _)| *worker != cut);
    assert!(
        elsewhere.is_some(),
        "not started in {} ms",
        world.now_ms - cut_ms
    );
}

/// Guards against a task that runs twice, because a new holder waits for less
/// than the leases of a silent worker may last.
#[test]
fn a_task_never_runs_twice_while_holders_change() {
    for cut_for_ms in (500..20_000).step_by(700) {
        let (mut world, cut) = world_with_cut_worker();
        let cut_until_ms = world.now_ms + cut_for_ms;
        world.run_for(TENURE_MS.min(cut_for_ms));
        for revision in 20..30 {
            if world.now_ms >= cut_until_ms {
                world.unreachable.retain(|worker| *worker != cut);
            }
            take_over(&mut world, revision);
            let running = world.running();
            assert!(running.len() <= 1, "cut for {cut_for_ms}: {running:?}");
        }
        assert_eq!(world.running().len(), 1, "cut for {cut_for_ms}");
    }
}

/// Guards against a lease that is extended while the next holder takes it for
/// over: a worker on record answers again, and nothing can be stored.
#[test]
fn the_lease_of_a_recorded_worker_is_extended_after_it_left_the_record() {
    let (mut world, cut) = world_with_cut_worker();
    world.run_for(2_000);
    assert_eq!(world.silent_workers.0.len(), 1);
    world.outage = true;
    world.unreachable.clear();
    world.run_for(8_500);
    let clock_ms = world.clock_of(&cut);
    let runs = world.workers.get_mut(&cut).unwrap().running(clock_ms);
    assert!(runs.is_empty(), "the lease is over");
    world.outage = false;
    world.run_for(2_000);
    assert!(world.silent_workers.0.is_empty());
    assert_eq!(world.running().len(), 1);
}

/// Guards against a task that runs twice, because the next holder takes the lease
/// of a recorded worker for over while this one has extended it.
#[test]
fn a_record_that_outlives_its_writer_holds() {
    let (mut world, cut) = world_with_cut_worker();
    world.run_for(2_000);
    assert_eq!(world.silent_workers.0.len(), 1);
    world.outage = true;
    world.unreachable.clear();
    world.run_for(LONGEST_RUN_MS);
    world.outage = false;
    world.unreachable.push(cut);
    take_over(&mut world, 20);
    assert_eq!(world.running().len(), 1);
}

/// Guards against a write of the record by each plan of a holder that can't
/// write.
#[test]
fn a_record_that_was_not_stored_is_written_again_after_a_while() {
    let (mut world, _) = world_with_cut_worker();
    world.run_for(900);
    let mut writes = 0;
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        let actions = world.scheduler.plan(now);
        actions.into_iter().for_each(|action| world.carry_out(action, now));
        if world.scheduler.begin_silent_workers_write(now).is_some() {
            writes += 1;
            world.scheduler.silent_workers_written(false, now);
        }
    }
    assert!((2..=4).contains(&writes), "{writes} writes in 2 s");
}

/// Guards against a record that grows with each VM that is gone.
#[test]
fn a_worker_whose_process_has_ended_leaves_the_record() {
    let (mut world, cut) = world_with_cut_worker();
    world.run_for(2_000);
    assert_eq!(world.silent_workers.0.len(), 1);
    let now = at(world.now_ms);
    world.scheduler.worker_gone(&cut, "the VM service says so", now);
    world.listings.retain(|listing| listing.id != cut);
    world.list();
    world.run_for(500);
    assert!(world.silent_workers.0.is_empty());
}

/// Guards against a worker that the directory has lost, as after a cut that
/// outlasts its entry, and for which each holder waits anew.
#[test]
fn a_worker_without_an_entry_is_put_on_record() {
    let mut scheduler = Scheduler::new(7, Options::default());
    scheduler.list_workers(at(1_000), vec![listing("w1")]);
    let lives = ["w1", "w2"].map(|w| (WorkerId::new(w), "registry".into()));
    scheduler.expect_workers(at(1_000), lives);
    assert_eq!(scheduler.begin_silent_workers_write(at(1_500)), None);
    let written = scheduler.begin_silent_workers_write(at(2_100)).unwrap();
    let written = serde_json::to_value(&written).unwrap();
    assert_eq!(written, serde_json::json!({ "w2": LONGEST_RUN_MS - 1_100 }));
}

/// Takes over from the former holder, which renewed the lease just before. The
/// directory has lost the entry of this worker, and the VM service is down.
fn take_over_without_vms(world: &mut World, lost: &WorkerId) {
    let progress = world.stored.get(&id(1)).cloned();
    world.take_over(20);
    world.listings.retain(|listing| listing.id != *lost);
    world.list();
    let scheduler = &mut world.scheduler;
    scheduler.submit(id(1), lasting_job(), 8, progress.as_ref());
}

// Guards against a task that runs twice because a new holder without the VM
// service takes the directory for complete, while its worker has no entry.
#[test]
fn a_task_never_runs_twice_while_its_worker_has_no_entry() {
    let (mut world, cut) = world_with_cut_worker();
    world.unreachable.clear();
    world.run_for(500);
    take_over_without_vms(&mut world, &cut);
    for _ in 0..(LONGEST_RUN_MS / 500) {
        world.list();
        world.run_for(500);
        let running = world.running();
        assert!(running.len() <= 1, "{running:?} at {}", world.now_ms);
    }
    world.run_for(1_000);
    world.list();
    world.run_for(1_000);
    assert_eq!(world.running().len(), 1);
}
