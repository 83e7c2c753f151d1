//! Running tasks aren't stopped before their replacement is certain.
//!
//! A new lease holder must not move a long-running task while a worker of its
//! pool hasn't answered yet. Tasks of jobs accepted by a former holder may not
//! start until then, since that worker may run them already. If the run is
//! stopped as soon as there is room elsewhere, the task is down until the
//! lease of the silent worker has expired: 13.3 s in one run.

use {
    crate::{
        reservation_cases::{large, starts_of, submit_long_running, world_of},
        task_moves::{STOP_MS, long_running, plan_round},
        waves::request_wave_of,
        world::{POOL, ROOM, World, id, job},
    },
    dewspar::{
        job::StepSpec,
        schedule::{VmOrder, WorkerId},
    },
    dewspar_standin::task_worker::TaskWorker,
};

/// How long a moved task may be down, in milliseconds: its stop and one or two
/// scheduling passes.
const MOVE_MS: u64 = STOP_MS + 100;

/// A long-running task on one of four workers, and a new lease holder to which
/// another worker doesn't answer. Returns the worker of the task.
fn world_with_silent_worker() -> (World, WorkerId) {
    let mut world = world_of(&["w1", "w2", "w3", "w4"]);
    submit_long_running(&mut world, 1, job(vec![large()]));
    world.run_for(3_000);
    let from = world.starts[0].0.clone();
    let silent = if from == WorkerId::new("w1") { "w2" } else { "w1" };
    world.unreachable.push(WorkerId::new(silent));
    world.take_over(9);
    world.list();
    world.expect_all();
    let stored = world.stored.get(&id(1)).cloned();
    let same = job(vec![large()]);
    world.scheduler.submit(id(1), same, 6, stored.as_ref());
    world.stop_duration_ms = STOP_MS;
    (world, from)
}

/// Runs for a while. Returns the total downtime of the task, in milliseconds.
fn downtime_ms_within(world: &mut World, ms: u64) -> u64 {
    let first = format!("{}.0.0.0", id(1));
    let rounds = (0..ms / 50).filter(|_| {
        plan_round(world);
        !world.running().contains(&first)
    });
    rounds.count() as u64 * 50
}

#[test]
fn a_task_stays_on_a_vm_of_a_wave_while_it_may_not_start_elsewhere() {
    let (mut world, from) = world_with_silent_worker();
    request_wave_of(&mut world, &[&format!("vm-of-{from}")]);
    let downtime_ms = downtime_ms_within(&mut world, 20_000);
    assert!(downtime_ms <= MOVE_MS, "the task was down for {downtime_ms} ms");
    assert_eq!(starts_of(&world, id(1)), 2, "the task has moved in the end");
}

#[test]
fn a_task_stays_on_a_terminating_worker_while_it_may_not_start_elsewhere() {
    let (mut world, from) = world_with_silent_worker();
    for listing in &mut world.listings {
        if listing.id == from {
            listing.draining = true;
            listing.remaining_ms = Some(30_000);
        }
    }
    world.list();
    let downtime_ms = downtime_ms_within(&mut world, 20_000);
    assert!(downtime_ms <= MOVE_MS, "the task was down for {downtime_ms} ms");
    assert_eq!(starts_of(&world, id(1)), 2, "the task has moved in the end");
}

/// Runs a round and carries out the VM moves between pools immediately.
fn plan_round_and_move_vms(world: &mut World) -> Vec<VmOrder> {
    let orders = plan_round(world);
    for order in &orders {
        let VmOrder::Move { vm, pool } = order else { continue };
        let moved = world.listings.iter_mut().find(|l| l.vm == *vm);
        let moved = moved.expect("a listed VM");
        world.workers.remove(&moved.id);
        moved.id = WorkerId::new(&format!("{}+", moved.id));
        moved.pool.clone_from(pool);
        world.workers.insert(moved.id.clone(), TaskWorker::new(ROOM));
        world.list();
        world.expect_all();
    }
    orders
}

/// A VM is selected for a wave because its task can move elsewhere: to the
/// only other VM with the required label. If that VM moves to another pool in
/// the same round, before capacity is reserved on it, the first VM is drained
/// during the whole wave and never maintained.
#[test]
fn the_target_of_a_planned_move_does_not_change_pools() {
    let mut world = World::new(5, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    for listing in &mut world.listings[..2] {
        listing.labels.push("only".to_owned());
    }
    world.list();
    world.expect_all();
    world.run_for(100);
    let only =
        StepSpec { required_label: "only".to_owned(), ..long_running() };
    submit_long_running(&mut world, 1, job(vec![only]));
    world.run_for(3_500);
    let (from, _) = world.starts.last().expect("the task runs");
    assert_eq!(from.to_string(), "w1");
    // From now on a pool without any VM is served, and a wave begins.
    let serving = [POOL.to_owned(), "other".to_owned()].into();
    world.scheduler.configure_pools(serving, [].into());
    request_wave_of(&mut world, &["vm-of-w1"]);
    world.stop_duration_ms = STOP_MS;
    let mut orders = Vec::new();
    // The duration of the wave.
    for _ in 0..200 {
        orders.extend(plan_round_and_move_vms(&mut world));
    }
    let vm = "vm-of-w1".to_owned();
    let down = VmOrder::Maintain { vm, wave: 1 };
    assert!(orders.contains(&down), "the VM isn't maintained: {orders:?}");
}
