//! Moves of long-running tasks off VMs that are needed for something else.
//!
//! Without reservations, two tasks on a VM to be maintained can be moved to
//! the same free capacity on another worker. Both are stopped, one takes the
//! capacity, and the other was down for up to 12 s, since the pool of another
//! queue under load got every VM that arrived. Even a single moving task can
//! lose its target: a worker takes 0.5 to 0.9 s to stop a run, and meanwhile
//! other tasks take the capacity.
//!
//! In the log this shows as `task: to be stopped` for two tasks of one worker
//! at 13.80 s, their ends at 14.69 and 14.62 s, and `task: start ordered` at
//! 15.50 and 14.94 s; then as `task: waits`, "no worker of its pool can take
//! it", with 28 workers, 25 of them short of processors and 3 closed.
//!
//! Capacity is therefore reserved for each task before its run is stopped,
//! until the task has started there.

use {
    crate::{
        pool_sizing::vm_orders,
        waves::request_wave_of,
        world::{POOL, ROOM, World, at, id, job, listing, managed, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{Decision, ManagedVm, VmOrder, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

/// How long a worker takes to stop a run, in milliseconds.
pub const STOP_MS: u64 = 900;

/// How long a moved task may wait after its end was reported, in milliseconds:
/// one or two scheduling passes.
const MAX_START_DELAY_MS: u64 = 100;

/// A step of one long-running task that takes half a worker.
pub fn long_running() -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable: 1,
        cpu_millis: 2_000,
        ..step(1)
    }
}

/// Three long-running tasks, two on one worker and one on another, which has
/// room for one more. Returns the fuller worker too.
fn world_with_room_for_one_move() -> (World, WorkerId) {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    world.run_for(100);
    for number in 1..=3 {
        let job = job(vec![long_running()]);
        world.scheduler.submit(id(number), job, 5 + number, None);
        world.run_for(100);
    }
    // By now no stop ordered by a former lease holder can take effect.
    world.run_for(3_000);
    let on = |worker: &WorkerId| {
        world.starts.iter().filter(|(to, _)| to == worker).count()
    };
    let (first, second) = (WorkerId::new("w1"), WorkerId::new("w2"));
    assert_eq!(on(&first) + on(&second), 3);
    let fuller = if on(&first) == 2 { first } else { second };
    assert_eq!(on(&fuller), 2);
    (world, fuller)
}

/// Plans VM operations and tasks for 50 ms without carrying out the VM orders.
/// Returns these orders.
pub fn plan_round(world: &mut World) -> Vec<VmOrder> {
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, world.now_ms, &vms);
    let orders = world.scheduler.plan_vms(now);
    world.run_for(50);
    orders
}

/// Returns the longest wait of the tasks started since the last call, in
/// milliseconds.
fn longest_wait_ms(world: &mut World) -> Option<u64> {
    let decisions = world.scheduler.take_decisions();
    let waits = decisions.iter().filter_map(|decision| match decision {
        Decision::Started { waited_ms, .. } => Some(*waited_ms),
        _ => None,
    });
    waits.max()
}

#[test]
fn room_is_reserved_for_one_task_only() {
    let (mut world, fuller) = world_with_room_for_one_move();
    let vm = format!("vm-of-{fuller}");
    request_wave_of(&mut world, &[&vm]);
    world.stop_duration_ms = STOP_MS;
    for _ in 0..100 {
        plan_round(&mut world);
        let running = world.running().len();
        assert!(
            running >= 2,
            "{running} of 3 run: two tasks were stopped at once"
        );
    }
    assert_eq!(
        world.running().len(),
        3,
        "one task has moved, the other stays"
    );
}

#[test]
fn room_stays_reserved_while_a_run_is_being_stopped() {
    let (mut world, fuller) = world_with_room_for_one_move();
    let vm = format!("vm-of-{fuller}");
    request_wave_of(&mut world, &[&vm]);
    world.stop_duration_ms = STOP_MS;
    plan_round(&mut world);
    plan_round(&mut world);
    let _ = world.scheduler.take_decisions();
    // A load begins, of tasks that take longer than a stop.
    world.fate = Fate::done(3_000);
    for number in 10..20 {
        let short = StepSpec { estimate_ms: 3_000, ..step(2) };
        let peak = job(vec![short]);
        world.scheduler.submit(id(number), peak, number, None);
    }
    let before = world.starts.len();
    for _ in 0..(STOP_MS / 50 + 4) {
        plan_round(&mut world);
    }
    let moved = world.starts[before..]
        .iter()
        .filter(|(_, order)| order.task.job <= id(3))
        .count();
    assert_eq!(moved, 1, "the reserved capacity was used by another task");
}

#[test]
fn a_task_without_room_elsewhere_gets_a_vm_before_it_is_stopped() {
    let (mut world, fuller) = world_with_room_for_one_move();
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    let vm = format!("vm-of-{fuller}");
    request_wave_of(&mut world, &[&vm]);
    world.stop_duration_ms = STOP_MS;
    let mut orders = Vec::new();
    for _ in 0..4 {
        orders.extend(vm_orders(&mut world));
    }
    let of_spare = |order: &VmOrder| match order {
        VmOrder::Move { vm, .. } => vm == "vm-of-w3",
        _ => false,
    };
    assert!(orders.iter().any(of_spare), "{orders:?}");
    assert_eq!(
        world.running().len(),
        3,
        "no task is stopped before the VM arrives"
    );
    // The VM arrives.
    let mut orders = Vec::new();
    let mut arrived = listing("w3-again");
    arrived.vm = "vm-of-w3".to_owned();
    world.workers.insert(arrived.id.clone(), TaskWorker::new(ROOM));
    world.listings.retain(|listing| listing.vm != arrived.vm);
    world.listings.push(arrived);
    world.list();
    world.expect_all();
    let _ = world.scheduler.take_decisions();
    for _ in 0..60 {
        orders.extend(plan_round(&mut world));
    }
    assert_eq!(world.running().len(), 3);
    assert!(
        longest_wait_ms(&mut world).is_some_and(|ms| ms <= MAX_START_DELAY_MS)
    );
    let down = VmOrder::Maintain { vm, wave: 1 };
    assert!(orders.contains(&down), "{orders:?}");
}

#[test]
fn a_reservation_on_a_lost_worker_is_replaced() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![long_running()]), 6, None);
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
    let target = target.expect("the task is to move");
    world.scheduler.worker_gone(&target, "test", at(world.now_ms));
    world.listings.retain(|listing| listing.id != target);
    for _ in 0..(STOP_MS / 50 + 4) {
        plan_round(&mut world);
    }
    assert_eq!(world.running().len(), 1);
    let (to, _) = world.starts.last().expect("the task was restarted");
    assert!(*to != target && *to != from);
}

/// Continues a load of short tasks for 50 ms. Each takes a quarter of a
/// worker, and their ends are staggered.
fn continue_peak(world: &mut World, next: &mut u64) {
    for _ in 0..2 {
        *next += 1;
        let short = StepSpec { estimate_ms: 500, ..step(1) };
        world.scheduler.submit(id(*next), job(vec![short]), *next, None);
    }
    world.fate = Fate::done(400 + *next % 8 * 50);
    world.run_for(50);
}

#[test]
fn a_large_long_running_task_starts_under_a_load_of_small_tasks() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    let mut next = 100;
    for _ in 0..40 {
        continue_peak(&mut world, &mut next);
    }
    // Three quarters of a worker are never free at the same time.
    let large = StepSpec { cpu_millis: 3_000, ..long_running() };
    world.scheduler.submit(id(1), job(vec![large]), 50, None);
    let submitted_ms = world.now_ms;
    let is_large = |world: &World| {
        world.starts.iter().any(|(_, order)| order.task.job == id(1))
    };
    while !is_large(&world) && world.now_ms < submitted_ms + 6_000 {
        continue_peak(&mut world, &mut next);
    }
    // The longest of the short tasks takes 0.75 s.
    let waited_ms = world.now_ms - submitted_ms;
    assert!(waited_ms <= 1_500, "the task waited for {waited_ms} ms");
}

#[test]
fn a_long_running_task_moves_off_a_terminating_worker() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![long_running()]), 6, None);
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    let _ = world.scheduler.take_decisions();
    // The worker announces that it will end in 6 s.
    if let Some(leaving) = world.listings.iter_mut().find(|l| l.id == from) {
        leaving.draining = true;
        leaving.remaining_ms = Some(6_000);
    }
    world.list();
    world.stop_duration_ms = STOP_MS;
    for _ in 0..(STOP_MS / 50 + 4) {
        plan_round(&mut world);
    }
    let (to, _) = world.starts.last().expect("the task was started");
    assert!(*to != from, "the task stayed on the terminating worker");
    assert!(
        longest_wait_ms(&mut world).is_some_and(|ms| ms <= MAX_START_DELAY_MS)
    );
}
