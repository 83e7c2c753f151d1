//! What a holder may and may not do before it has loaded all jobs.

use {
    crate::{
        pool_sizing::vm_orders,
        world::{POOL, ROOM, World, at, id, job, listing, managed, step},
    },
    dewspar::{
        job::{Phase, Progress, TaskRecord},
        schedule::{
            Decision, EndCause, Incarnation, StartOrder, VmOrder, WaveRequest,
            WorkerId,
        },
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeMap,
};

/// The outcome of the tasks of job 1.
const WORK: Fate = Fate::done(2_000);

/// A fleet on which a previous holder has started two tasks of job 1.
fn world_with_a_running_job(names: &[&str], fate: Fate) -> World {
    let mut world = World::new(7, names);
    world.fate = fate;
    world.list();
    world.expect_all();
    world.round();
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 2);
    world.take_over(9);
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    world.starts.clear();
    world
}

#[test]
fn a_run_of_a_job_that_is_not_loaded_yet_goes_on_and_is_adopted() {
    let mut world = world_with_a_running_job(&["w1"], WORK);
    world.run_for(500);
    assert_eq!(world.running().len(), 2, "nobody stops them");
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    world.scheduler.finish_loading(at(world.now_ms));
    world.run_for(3_000);
    assert_eq!(world.scheduler.phase(id(1)), None, "done and stored");
    assert!(world.starts.is_empty(), "neither ran twice: {:?}", world.starts);
}

#[test]
fn the_end_of_an_unknown_jobs_run_is_repeated_once_the_job_is_known() {
    let mut world = world_with_a_running_job(&["w1"], WORK);
    // Both end while their job is unknown.
    world.run_for(3_000);
    assert!(world.running().is_empty());
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    world.scheduler.finish_loading(at(world.now_ms));
    world.run_for(500);
    assert_eq!(world.scheduler.phase(id(1)), None, "done and stored");
    assert!(world.starts.is_empty(), "neither ran again: {:?}", world.starts);
}

// A copy keeps running while its job isn't loaded, although another copy has
// completed the task. Its end is repeated until the job is known, counts once,
// and starts nothing.
#[test]
fn the_end_of_a_copy_whose_task_is_done_is_acknowledged_once() {
    let mut world = World::new(9, &["w1"]);
    let w1 = listing("w1").id;
    let copy = StartOrder {
        task: format!("{}.0.0.0", id(1)).parse().unwrap(),
        run: 2,
        payload: "".into(),
        lease_until_ms: 9_000,
        fence: 1,
        checkpoint: String::new(),
        ticket: String::new(),
        process: Incarnation::UNKNOWN,
        is_for_process_only: false,
    };
    let now_ms = world.now_ms;
    let worker = world.reach(&w1).expect("a worker");
    worker.start(now_ms, &copy, ROOM, WORK).expect("an answer");
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    world.run_for(3_000);
    assert!(world.running().is_empty());
    let listed = world.reach(&w1).expect("a worker").ended().len();
    assert_eq!(listed, 1, "its job is unknown");
    world.scheduler.take_decisions();

    let done = TaskRecord { done: true, run: 1, ..TaskRecord::default() };
    let phase = Phase::Running;
    let record = Progress { phase, tasks: vec![done], ..Progress::default() };
    let both = job(vec![step(2)]);
    world.scheduler.submit(id(1), both, 5, Some(&record));
    world.scheduler.finish_loading(at(world.now_ms));
    world.run_for(2_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"completed"));
    let started = world.starts.iter().map(|(_, order)| order.task.index);
    assert_eq!(started.collect::<Vec<_>>(), [1], "the other task alone");
    let decisions = world.scheduler.take_decisions();
    let ends = decisions.iter().filter(|decision| match decision {
        Decision::Ended { task, run, cause, .. } => {
            (*task, *run, *cause) == (copy.task, 2, EndCause::Done)
        }
        _ => false,
    });
    assert_eq!(ends.count(), 1);
    let listed = world.reach(&w1).expect("a worker").ended().len();
    assert_eq!(listed, 0, "all are acknowledged");
}

#[test]
fn the_lease_of_unknown_runs_is_renewed() {
    let mut world = world_with_a_running_job(&["w1"], Fate::endless());
    // Longer than any lease that the previous holder has granted.
    world.run_for(20_000);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn new_jobs_start_where_nothing_unknown_runs() {
    let mut world = world_with_a_running_job(&["w1", "w2"], WORK);
    let busy: Vec<WorkerId> = {
        let now_ms = world.now_ms;
        let workers = world.workers.iter_mut();
        let busy = workers.filter_map(|(id, worker)| {
            (!worker.running(now_ms).is_empty()).then(|| id.clone())
        });
        busy.collect()
    };
    world.scheduler.submit(id(2), job(vec![step(8)]), 11, None);
    world.run_for(300);
    assert_eq!(world.starts.len(), 4, "as many as the other has room for");
    for (worker, order) in &world.starts {
        assert_eq!(order.task.job, id(2));
        assert!(!busy.contains(worker), "its room isn't known");
    }
}

#[test]
fn a_loaded_job_waits_while_its_tasks_may_be_among_unknown_runs() {
    let mut world = world_with_a_running_job(&["w1", "w2"], WORK);
    world.run_for(200);
    // Another job of a previous holder, which has no runs.
    world.scheduler.submit(id(2), job(vec![step(1)]), 5, None);
    world.run_for(300);
    assert!(world.starts.is_empty(), "{:?}", world.starts);
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    world.scheduler.finish_loading(at(world.now_ms));
    world.run_for(300);
    let started: Vec<_> =
        world.starts.iter().map(|(_, order)| order.task.job).collect();
    assert_eq!(started, [id(2)]);
}

#[test]
fn a_cancellation_that_comes_before_its_job_counts() {
    let mut world = World::new(9, &["w1"]);
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    // The cancellation isn't applied before loading is complete.
    let phase = world.scheduler.phase(id(1));
    assert_eq!(phase, Some(Phase::Queued));
    world.scheduler.finish_loading(at(world.now_ms));
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Cancelled));
    world.run_for(300);
    assert!(world.starts.is_empty());
}

#[test]
fn nothing_is_ordered_of_vms_before_all_jobs_are_known() {
    let mut world = World::new(9, &["w1", "w2", "w3", "w4", "w5"]);
    world.scheduler.begin_loading();
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.fate = Fate::done(100);
    assert_eq!(vm_orders_after_a_job(&mut world, 1), []);
    world.scheduler.finish_loading(at(world.now_ms));
    let orders = vm_orders_after_a_job(&mut world, 2);
    assert!(!orders.is_empty(), "idle VMs are switched off");
}

#[test]
fn no_vm_is_maintained_whose_runs_were_not_asked_again_after_loading() {
    let names = ["w1", "w2", "w3"];
    let mut world = world_with_a_running_job(&names, Fate::endless());
    // Long enough for a takeover to be settled.
    world.run_for(5_000);
    world.scheduler.submit(id(1), job(vec![step(2)]), 5, None);
    world.scheduler.finish_loading(at(world.now_ms));
    let wave = WaveRequest {
        wave: 1,
        vms: world.listings.iter().map(|l| l.vm.clone()).collect(),
        duration_ms: 26_000,
        max_down: 3,
    };
    let now = at(world.now_ms);
    let known = BTreeMap::new();
    world.scheduler.request_waves(now, &[wave], &known, &[]);
    let vms: Vec<_> = world.listings.iter().map(managed).collect();
    for _ in 0..5 {
        world.scheduler.list_vms(now, now.steady_ms, &vms);
        let orders = world.scheduler.plan_vms(now);
        let ordered_maintenance =
            orders.iter().any(|o| matches!(o, VmOrder::Maintain { .. }));
        assert!(!ordered_maintenance, "{orders:?}");
    }
    let decisions = world.scheduler.take_decisions();
    let emptied = decisions
        .iter()
        .any(|decision| matches!(decision, Decision::DrainStarted { .. }));
    assert!(!emptied, "nothing is known of what it runs");
}

fn vm_orders_after_a_job(world: &mut World, number: u64) -> Vec<VmOrder> {
    let revision = 10 + number;
    world.scheduler.submit(id(number), job(vec![step(1)]), revision, None);
    (0..10).flat_map(|_| vm_orders(world)).collect()
}

#[test]
fn workers_named_only_by_the_vm_list_are_looked_up() {
    let mut world = World::new(9, &["w1"]);
    world.list();
    let new = listing("w9");
    let vms: Vec<_> =
        world.listings.iter().chain([&new]).map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    let unlisted = world.scheduler.unlisted_workers();
    assert_eq!(unlisted, std::slice::from_ref(&new.id));
    world.scheduler.list_worker(at(world.now_ms), new);
    assert!(world.scheduler.unlisted_workers().is_empty());
}
