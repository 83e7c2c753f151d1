//! Reservations that become useless, and long-running tasks that get none.
//!
//! A reservation must be reviewed not only when its worker can no longer be
//! used, since a task with a pending reservation starts nowhere else.
//! Otherwise the task waits beside empty workers: workers that have been added
//! since, or workers that it could use after its reserved one has shrunk.

use {
    crate::{
        task_moves::{STOP_MS, long_running, plan_round},
        waves::request_wave_of,
        world::{
            POOL, ROOM, RunKind, World, at, id, job, listing, managed, step,
        },
    },
    dewspar::{
        job::{JobId, StepSpec},
        schedule::{
            AcceptedJob, AdviceTerms, Decision, ManagedVm, Resources, VmOrder,
            WorkerId,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

/// How long a long-running task may wait although there is room for it, in
/// milliseconds.
pub const MAX_WAIT_MS: u64 = 6_000;

pub fn large() -> StepSpec {
    StepSpec { cpu_millis: 3_000, ..long_running() }
}

pub fn world_of(names: &[&str]) -> World {
    let mut world = World::new(5, names);
    world.list();
    world.expect_all();
    world.run_for(100);
    world
}

pub fn add_worker(world: &mut World, name: &str) {
    let new = listing(name);
    world.workers.insert(new.id.clone(), TaskWorker::new(ROOM));
    world.listings.push(new);
    world.list();
    world.expect_all();
}

pub fn starts_of(world: &World, job: JobId) -> usize {
    let starts = world.starts.iter();
    starts.filter(|(_, order)| order.task.job == job).count()
}

/// Submits a job whose runs have their own outcome, whenever they start.
pub fn submit(world: &mut World, number: u64, job: AcceptedJob, fate: Fate) {
    let cpu_millis = job.spec.steps[0].cpu_millis;
    let demand = Resources { cpu_millis, ..Resources::default() };
    world.kinds.insert(id(number), RunKind { demand, fate });
    world.scheduler.submit(id(number), job, number, None);
}

pub fn submit_long_running(world: &mut World, number: u64, job: AcceptedJob) {
    submit(world, number, job, Fate::endless());
}

pub fn submit_short(world: &mut World, number: u64, count: u32, work_ms: u64) {
    let short = StepSpec { estimate_ms: work_ms, ..step(count) };
    submit(world, number, job(vec![short]), Fate::done(work_ms));
}

/// Submits two short tasks of a quarter of a worker with staggered ends.
pub fn submit_peak_round(world: &mut World, next: &mut u64) {
    for _ in 0..2 {
        *next += 1;
        submit_short(world, *next, 1, 400 + *next % 8 * 50);
    }
}

#[test]
fn a_task_with_a_pending_reservation_takes_an_empty_worker() {
    let mut world = world_of(&["w1", "w2"]);
    submit_short(&mut world, 100, 8, 30_000);
    world.run_for(200);
    assert_eq!(world.running().len(), 8);
    submit_long_running(&mut world, 1, job(vec![long_running()]));
    world.run_for(1_000);
    add_worker(&mut world, "w3");
    world.run_for(MAX_WAIT_MS);
    assert_eq!(
        starts_of(&world, id(1)),
        1,
        "the task waits beside an empty worker"
    );
}

#[test]
fn a_task_with_a_pending_reservation_takes_the_first_free_worker() {
    let mut world = world_of(&["w1", "w2"]);
    // The emptier worker stays in use for long.
    submit_short(&mut world, 100, 3, 30_000);
    world.run_for(100);
    submit_short(&mut world, 101, 5, 1_000);
    world.run_for(200);
    assert_eq!(world.running().len(), 8);
    submit_long_running(&mut world, 1, job(vec![large()]));
    world.run_for(MAX_WAIT_MS);
    assert_eq!(
        starts_of(&world, id(1)),
        1,
        "the task waits beside a free worker"
    );
}

#[test]
fn tasks_without_room_do_not_block_reservations_of_others() {
    let mut world = world_of(&["w1", "w2"]);
    let mut elsewhere = listing("x1");
    elsewhere.pool = "other".to_owned();
    world.workers.insert(elsewhere.id.clone(), TaskWorker::new(ROOM));
    world.listings.push(elsewhere);
    world.list();
    world.run_for(200);
    // Eleven tasks with anti-affinity in a pool of one worker: ten wait.
    let apart = StepSpec {
        max_per_worker: 1,
        max_unavailable: 1,
        cpu_millis: 500,
        ..StepSpec { long_running: true, ..step(11) }
    };
    let mut of_other = job(vec![apart]);
    of_other.terms.pool = "other".to_owned();
    submit_long_running(&mut world, 1, of_other);
    world.run_for(300);
    let mut next = 100;
    for _ in 0..40 {
        submit_peak_round(&mut world, &mut next);
        world.run_for(50);
    }
    submit_long_running(&mut world, 2, job(vec![large()]));
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        world.run_for(50);
    }
    assert_eq!(
        starts_of(&world, id(2)),
        1,
        "no capacity was reserved for the task"
    );
}

/// A long-running task on one of three workers. Returns that worker and the
/// one to which the task is to move, while it is being stopped.
pub fn world_with_move() -> (World, WorkerId, WorkerId) {
    let mut world = world_of(&["w1", "w2", "w3"]);
    let mut moves = job(vec![large()]);
    moves.terms.priority = 1;
    submit_long_running(&mut world, 1, moves);
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    request_wave_of(&mut world, &[&format!("vm-of-{from}")]);
    world.stop_duration_ms = STOP_MS;
    plan_round(&mut world);
    let decisions = world.scheduler.take_decisions();
    let target = decisions.iter().find_map(|decision| match decision {
        Decision::Displaced { place, .. } => place.clone(),
        _ => None,
    });
    (world, from, target.expect("the task is to move"))
}

#[test]
fn a_reservation_on_a_shrunken_worker_is_replaced() {
    let (mut world, _, target) = world_with_move();
    let mut next = 100;
    let shrunk = Resources { cpu_millis: 1_000, ..ROOM };
    for listing in &mut world.listings {
        if listing.id == target {
            listing.capacity = shrunk;
        }
    }
    world.list();
    // The load continues on the third worker.
    for _ in 0..(STOP_MS + MAX_WAIT_MS) / 50 {
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    assert_eq!(
        starts_of(&world, id(1)),
        2,
        "the task waits without a reservation"
    );
}

#[test]
fn a_reservation_in_the_former_pool_of_a_queue_is_released() {
    let (mut world, _, target) = world_with_move();
    // From now on the queue is served by another pool, which has no worker.
    let mut terms = job(vec![]).terms;
    terms.pool = "other".to_owned();
    world.scheduler.configure([("", &terms)]);
    for _ in 0..(STOP_MS + MAX_WAIT_MS) / 50 {
        plan_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(1)), 1);
    let old = ["w1", "w2", "w3"].len() as u32;
    let mut of_old = job(vec![step(4 * old)]);
    of_old.spec.queue = "old".to_owned();
    submit(&mut world, 200, of_old, Fate::done(30_000));
    world.run_for(500);
    let worker = world.workers.get_mut(&target).expect("the worker is known");
    let used = worker.used().cpu_millis;
    assert_eq!(used, 4_000, "capacity is reserved for a task of another pool");
}

#[test]
fn a_large_task_moves_off_a_terminating_worker_under_load() {
    let mut world = world_of(&["w1", "w2", "w3"]);
    submit_long_running(&mut world, 1, job(vec![large()]));
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    let mut next = 100;
    for _ in 0..40 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    if let Some(leaving) = world.listings.iter_mut().find(|l| l.id == from) {
        leaving.draining = true;
        leaving.remaining_ms = Some(6_000);
    }
    world.list();
    world.stop_duration_ms = STOP_MS;
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(1)), 2, "the task ends with its worker");
}

#[test]
fn a_large_task_moves_off_a_vm_of_a_wave_under_load() {
    let mut world = world_of(&["w1", "w2", "w3"]);
    submit_long_running(&mut world, 1, job(vec![large()]));
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    let mut next = 100;
    for _ in 0..40 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    request_wave_of(&mut world, &[&format!("vm-of-{from}")]);
    world.stop_duration_ms = STOP_MS;
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(1)), 2, "the VM isn't maintained");
}

#[test]
fn a_large_long_running_gang_starts_under_load() {
    let mut world = world_of(&["w1", "w2", "w3"]);
    let mut next = 100;
    for _ in 0..40 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        world.run_for(50);
    }
    let gang = StepSpec { count: 2, gang: true, ..large() };
    submit_long_running(&mut world, 1, job(vec![gang]));
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        world.run_for(50);
    }
    assert_eq!(starts_of(&world, id(1)), 2);
}

/// Runs for 50 ms with an adviser that allows every worker.
fn advised_round(world: &mut World) {
    world.adviser_answers = true;
    world.run_for(50);
}

fn advised(spec: StepSpec) -> AcceptedJob {
    let mut advised = job(vec![spec]);
    advised.terms.advice = Some(AdviceTerms {
        decision_ms: 10,
        period_ms: 1,
        validity_ms: 1_000,
    });
    advised
}

#[test]
fn a_large_advised_long_running_task_starts_under_load() {
    let mut world = world_of(&["w1", "w2"]);
    let mut next = 100;
    for _ in 0..40 {
        submit_peak_round(&mut world, &mut next);
        advised_round(&mut world);
    }
    submit_long_running(&mut world, 1, advised(large()));
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        advised_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(1)), 1);
}

#[test]
fn an_advised_long_running_task_moves_off_a_vm_of_a_wave() {
    let mut world = world_of(&["w1", "w2"]);
    submit_long_running(&mut world, 1, advised(long_running()));
    for _ in 0..60 {
        advised_round(&mut world);
    }
    let from = world.starts[0].0.clone();
    request_wave_of(&mut world, &[&format!("vm-of-{from}")]);
    for _ in 0..MAX_WAIT_MS / 50 {
        let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
        let now = at(world.now_ms);
        world.scheduler.list_vms(now, world.now_ms, &vms);
        world.scheduler.plan_vms(now);
        advised_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(1)), 2, "the adviser isn't asked");
}

/// A long-running task on a VM of a wave needs a label that no other VM has,
/// and ten VMs are switched off. Returns how many of these move to the pool in
/// vain.
fn count_useless_vm_moves() -> usize {
    let mut world = World::new(5, &["w1", "w2"]);
    world.listings[0].labels.push("only".to_owned());
    for number in 0..10 {
        let mut spare = listing(&format!("s{number}"));
        spare.pool = "off".to_owned();
        world.listings.push(spare);
    }
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(100);
    let only =
        StepSpec { required_label: "only".to_owned(), ..long_running() };
    submit_long_running(&mut world, 1, job(vec![only]));
    world.run_for(3_000);
    request_wave_of(&mut world, &["vm-of-w1"]);
    let mut moved = 0;
    for _ in 0..MAX_WAIT_MS / 50 {
        for order in plan_round(&mut world) {
            let VmOrder::Move { vm, pool } = order else { continue };
            if pool != POOL {
                continue;
            }
            moved += 1;
            // The VM arrives immediately, with a new process of its worker.
            world.listings.retain(|listing| listing.vm != vm);
            let name = format!("new-{moved}");
            let mut new = listing(&name);
            new.vm = vm;
            world.workers.insert(new.id.clone(), TaskWorker::new(ROOM));
            world.listings.push(new);
            world.list();
        }
    }
    moved
}

#[test]
fn vms_do_not_keep_moving_for_a_task_that_none_suits() {
    let moved = count_useless_vm_moves();
    assert!(moved <= 2, "{moved} VMs moved in vain");
}

#[test]
fn room_stays_reserved_until_the_worker_accepts_the_start() {
    let (mut world, ..) = world_with_move();
    // A queue with a higher priority has more tasks than there is room for.
    submit_short(&mut world, 100, 40, 5_000);
    for _ in 0..(STOP_MS + 2_000) / 50 {
        // Only the first order to restart the task is lost.
        let first = format!("{}.0.0.0", id(1));
        let is_over = !world.running().contains(&first);
        world.drops_starts = is_over && starts_of(&world, id(1)) == 1;
        plan_round(&mut world);
    }
    assert_eq!(
        starts_of(&world, id(1)),
        3,
        "the reserved capacity was used by others"
    );
}

#[test]
fn a_task_moves_off_a_terminating_worker_without_a_vm_list() {
    let mut world = world_of(&["w1", "w2"]);
    submit_long_running(&mut world, 1, job(vec![long_running()]));
    for _ in 0..60 {
        plan_round(&mut world);
    }
    // The VM service no longer answers.
    for _ in 0..200 {
        let now = at(world.now_ms);
        world.scheduler.plan_vms(now);
        world.run_for(50);
    }
    let from = world.starts[0].0.clone();
    if let Some(leaving) = world.listings.iter_mut().find(|l| l.id == from) {
        leaving.draining = true;
        leaving.remaining_ms = Some(6_000);
    }
    world.list();
    for _ in 0..MAX_WAIT_MS / 50 {
        let now = at(world.now_ms);
        world.scheduler.plan_vms(now);
        world.run_for(50);
    }
    assert_eq!(starts_of(&world, id(1)), 2, "the task ends with its worker");
}
