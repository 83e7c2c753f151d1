//! Effects of reservations on other decisions of the scheduler.
//!
//! Each test fails if one particular check on reservations is missing. The
//! failures guarded against are: an idle worker with reserved capacity is
//! switched off, moves to another pool or is maintained first; runs found
//! after a takeover count as short, so that capacity is reserved behind one
//! that doesn't end; a run is stopped before short tasks have left its
//! reserved capacity; two tasks of a step are sent to one worker that accepts
//! only one of them.

use {
    crate::{
        reservation_cases::{
            MAX_WAIT_MS, large, starts_of, submit, submit_long_running,
            submit_peak_round, submit_short, world_of, world_with_move,
        },
        task_moves::{STOP_MS, long_running, plan_round},
        waves::request_wave_of,
        world::{POOL, World, at, id, job, step},
    },
    dewspar::{
        job::{StepSpec, TaskId},
        schedule::{Decision, UnfitWorkers, VmOrder, WaveRequest, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a moved task may wait after its end was reported, in milliseconds:
/// one or two scheduling passes.
const MAX_START_DELAY_MS: u64 = 100;

const OTHER: &str = "other";
const OFF: &str = "off";

/// Six workers. A task that may run only on the first two runs on the second
/// one and takes long to stop. Capacity is reserved for it on the first
/// worker, which is idle and would be the first choice for any other use.
fn world_with_idle_reserved_worker() -> World {
    let mut world = World::new(5, &["w0", "w1", "w2", "w3", "w4", "w5"]);
    for listing in &mut world.listings[..2] {
        listing.labels.push("only".to_owned());
    }
    world.list();
    world.expect_all();
    world.run_for(100);
    // Idle VMs are released only once a short job has shown the demand.
    submit_short(&mut world, 100, 1, 60_000);
    world.run_for(100);
    let only =
        StepSpec { required_label: "only".to_owned(), ..long_running() };
    submit_long_running(&mut world, 1, job(vec![only]));
    world.run_for(3_500);
    let (from, _) = world.starts.last().expect("the task runs");
    assert_eq!(from.to_string(), "w1");
    request_wave_of(&mut world, &["vm-of-w1"]);
    world.stop_duration_ms = 8_000;
    plan_round(&mut world);
    let decisions = world.scheduler.take_decisions();
    let place = Some(WorkerId::new("w0"));
    let is_displaced = |decision: &Decision| match decision {
        Decision::Displaced { place: to, .. } => *to == place,
        _ => false,
    };
    assert!(decisions.iter().any(is_displaced), "{decisions:?}");
    world
}

fn switch_off_idle_vms(world: &mut World) {
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, [OFF.to_owned()].into());
}

/// Returns the workers selected for draining since the last call.
fn drained(world: &mut World) -> BTreeSet<String> {
    let decisions = world.scheduler.take_decisions();
    let drained = decisions.iter().filter_map(|decision| match decision {
        Decision::DrainStarted { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    drained.collect()
}

#[test]
fn an_idle_worker_with_reserved_room_is_not_switched_off() {
    let mut world = world_with_idle_reserved_worker();
    switch_off_idle_vms(&mut world);
    let mut off = BTreeSet::new();
    for _ in 0..100 {
        for order in plan_round(&mut world) {
            if let VmOrder::Move { vm, .. } = order {
                off.insert(vm);
            }
        }
    }
    assert!(off.contains("vm-of-w2"), "other VMs are switched off: {off:?}");
    assert!(!off.contains("vm-of-w0"), "the reserved worker is switched off");
}

#[test]
fn a_worker_with_reserved_room_does_not_change_pools() {
    let mut world = world_with_idle_reserved_worker();
    let serving = [POOL.to_owned(), OTHER.to_owned()].into();
    world.scheduler.configure_pools(serving, [].into());
    let mut wanted = job(vec![StepSpec { count: 4, ..large() }]);
    wanted.terms.pool = OTHER.to_owned();
    submit_long_running(&mut world, 2, wanted);
    let mut taken = BTreeSet::new();
    for _ in 0..20 {
        plan_round(&mut world);
        taken.extend(drained(&mut world));
    }
    assert!(
        !taken.is_empty(),
        "other workers move to the pool that lacks some"
    );
    assert!(!taken.contains("w0"), "the reserved worker moves: {taken:?}");
}

#[test]
fn a_wave_takes_a_worker_with_reserved_room_later() {
    let mut world = world_with_idle_reserved_worker();
    let request = WaveRequest {
        wave: 2,
        vms: ["vm-of-w0", "vm-of-w2"].map(str::to_owned).to_vec(),
        duration_ms: 10_000,
        max_down: 2,
    };
    let (now, none) = (at(world.now_ms), BTreeMap::new());
    world.scheduler.request_waves(now, &[request], &none, &[]);
    let mut taken = BTreeSet::new();
    for _ in 0..60 {
        plan_round(&mut world);
        taken.extend(drained(&mut world));
    }
    assert!(taken.contains("w2"), "the wave makes progress: {taken:?}");
    assert!(
        !taken.contains("w0"),
        "the reserved worker is taken down: {taken:?}"
    );
}

#[test]
fn a_worker_with_a_long_running_task_does_not_change_pools() {
    let mut world = World::new(5, &["w0", "w1", "w2", "w3", "w4"]);
    for (number, listing) in world.listings.iter_mut().enumerate() {
        let label = if number == 0 { "lasting" } else { "short" };
        listing.labels.push(label.to_owned());
    }
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned(), OTHER.to_owned()].into();
    world.scheduler.configure_pools(serving, [OFF.to_owned()].into());
    world.run_for(100);
    // It uses less than the short tasks on the other workers.
    let light = StepSpec {
        cpu_millis: 100,
        required_label: "lasting".to_owned(),
        ..long_running()
    };
    submit_long_running(&mut world, 1, job(vec![light]));
    let short = StepSpec {
        max_per_worker: 1,
        required_label: "short".to_owned(),
        ..step(4)
    };
    submit(&mut world, 100, job(vec![short]), Fate::done(60_000));
    world.run_for(3_000);
    assert_eq!(world.running().len(), 5);
    let mut wanted = job(vec![large()]);
    wanted.terms.pool = OTHER.to_owned();
    submit_long_running(&mut world, 2, wanted);
    let mut taken = BTreeSet::new();
    for _ in 0..20 {
        plan_round(&mut world);
        taken.extend(drained(&mut world));
    }
    assert!(
        !taken.is_empty(),
        "other workers move to the pool that lacks some"
    );
    assert!(!taken.contains("w0"), "a long-running task is on it: {taken:?}");
}

#[test]
fn no_room_is_reserved_behind_a_long_running_task_found_after_a_takeover() {
    let mut world = world_of(&["w1", "w2"]);
    // Some capacity beside it always stays free, so its worker is the emptier
    // one.
    let odd = || job(vec![StepSpec { cpu_millis: 2_500, ..long_running() }]);
    submit_long_running(&mut world, 1, odd());
    world.run_for(500);
    assert_eq!(starts_of(&world, id(1)), 1);
    world.take_over(9);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), odd(), 6, None);
    world.run_for(500);
    assert_eq!(starts_of(&world, id(1)), 1);
    for number in 0..5 {
        submit_short(&mut world, 100 + number, 1, 1_500 + number * 100);
    }
    world.run_for(500);
    assert_eq!(world.running().len(), 6);
    submit_long_running(&mut world, 2, job(vec![large()]));
    world.run_for(500);
    let mut next = 200;
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        world.run_for(50);
    }
    assert_eq!(
        starts_of(&world, id(2)),
        1,
        "the task waits behind a long-running one"
    );
}

/// Returns how long the tasks of a job waited before each start since the last
/// call, in milliseconds.
fn waits_ms_of(world: &mut World, number: u64) -> Vec<u64> {
    let decisions = world.scheduler.take_decisions();
    let waits = decisions.iter().filter_map(|decision| match decision {
        Decision::Started { task, waited_ms, .. } => {
            (task.job == id(number)).then_some(*waited_ms)
        }
        _ => None,
    });
    waits.collect()
}

#[test]
fn a_task_keeps_running_until_short_tasks_free_its_reserved_room() {
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
    // Shorter than the short tasks take to end.
    world.stop_duration_ms = 50;
    let _ = world.scheduler.take_decisions();
    let mut waits = Vec::new();
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
        waits.extend(waits_ms_of(&mut world, 1));
    }
    assert_eq!(waits.len(), 1, "the task has moved");
    assert!(
        waits[0] <= MAX_START_DELAY_MS,
        "the task was down for {waits:?} ms"
    );
}

#[test]
fn a_lost_reservation_is_replaced_at_once() {
    let (mut world, _, place) = world_with_move();
    let mut next = 100;
    // A load begins on the third worker.
    for _ in 0..2 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
    }
    world.scheduler.worker_gone(&place, "test", at(world.now_ms));
    world.listings.retain(|listing| listing.id != place);
    let _ = world.scheduler.take_decisions();
    let mut waits = Vec::new();
    for _ in 0..MAX_WAIT_MS / 50 {
        submit_peak_round(&mut world, &mut next);
        submit_peak_round(&mut world, &mut next);
        plan_round(&mut world);
        waits.extend(waits_ms_of(&mut world, 1));
    }
    assert_eq!(waits.len(), 1, "the task has moved");
    assert!(
        waits[0] <= MAX_START_DELAY_MS,
        "the task was down for {waits:?} ms"
    );
}

#[test]
fn two_tasks_of_a_step_reserve_different_workers() {
    let mut world = world_of(&["w1", "w2", "w3", "w4"]);
    let apart = StepSpec {
        count: 2,
        max_per_worker: 1,
        max_unavailable: 2,
        cpu_millis: 500,
        ..long_running()
    };
    submit_long_running(&mut world, 1, job(vec![apart]));
    world.run_for(3_000);
    let from: BTreeSet<WorkerId> =
        world.starts.iter().map(|(worker, _)| worker.clone()).collect();
    assert_eq!(from.len(), 2);
    for listing in &mut world.listings {
        if from.contains(&listing.id) {
            listing.draining = true;
            listing.remaining_ms = Some(6_000);
        }
    }
    world.list();
    world.stop_duration_ms = STOP_MS;
    let mut places = BTreeSet::new();
    for _ in 0..(STOP_MS / 50 + 4) {
        plan_round(&mut world);
        for decision in world.scheduler.take_decisions() {
            if let Decision::Displaced { place: Some(place), .. } = decision {
                places.insert(place);
            }
        }
    }
    assert_eq!(
        places.len(),
        2,
        "both tasks were sent to one worker: {places:?}"
    );
    assert_eq!(world.running().len(), 2, "one task is down");
}

#[test]
fn terminating_workers_stop_a_step_one_task_at_a_time() {
    let mut world = world_of(&["w1", "w2", "w3", "w4"]);
    let apart = StepSpec { count: 2, max_per_worker: 1, ..long_running() };
    submit_long_running(&mut world, 1, job(vec![apart]));
    world.run_for(3_000);
    let from: BTreeSet<WorkerId> =
        world.starts.iter().map(|(worker, _)| worker.clone()).collect();
    for listing in &mut world.listings {
        if from.contains(&listing.id) {
            listing.draining = true;
            listing.remaining_ms = Some(6_000);
        }
    }
    world.list();
    world.stop_duration_ms = STOP_MS;
    for _ in 0..60 {
        plan_round(&mut world);
        assert!(
            !world.running().is_empty(),
            "both tasks were stopped at once"
        );
    }
    assert_eq!(starts_of(&world, id(1)), 4, "both tasks have moved");
}

#[test]
fn a_short_task_finishes_on_a_terminating_worker() {
    let mut world = world_of(&["w1", "w2"]);
    submit_short(&mut world, 100, 1, 8_000);
    world.run_for(200);
    let on = world.starts[0].0.clone();
    for listing in &mut world.listings {
        if listing.id == on {
            listing.draining = true;
            listing.remaining_ms = Some(20_000);
        }
    }
    world.list();
    for _ in 0..8_500 / 50 {
        plan_round(&mut world);
    }
    assert_eq!(starts_of(&world, id(100)), 1, "the short task was stopped");
}

/// Returns the reported long waits: the task, how long it has waited, the
/// reason, and the counts of unfit workers.
fn long_waits(
    world: &mut World,
) -> Vec<(TaskId, u64, &'static str, UnfitWorkers)> {
    let decisions = world.scheduler.take_decisions();
    let waits = decisions.into_iter().filter_map(|decision| match decision {
        Decision::LongWait {
            task, waited_ms, reason, unfit: lack, ..
        } => Some((task, waited_ms, reason, lack)),
        _ => None,
    });
    waits.collect()
}

#[test]
fn a_long_wait_counts_unfit_workers_by_cause() {
    let mut world = world_of(&["w1", "w2", "w3", "w4"]);
    // One worker has a task of the same step, one lacks processor, one lacks
    // memory.
    let waits = StepSpec {
        count: 2,
        max_per_worker: 1,
        memory_mb: 1_000,
        ..long_running()
    };
    let large = StepSpec { cpu_millis: 3_000, ..long_running() };
    let memory =
        StepSpec { memory_mb: 3_950, cpu_millis: 100, ..long_running() };
    submit_long_running(&mut world, 1, job(vec![large]));
    world.run_for(200);
    submit_long_running(&mut world, 2, job(vec![memory]));
    world.run_for(200);
    let used: BTreeSet<WorkerId> =
        world.starts.iter().map(|(worker, _)| worker.clone()).collect();
    assert_eq!(used.len(), 2, "the tasks run on different workers");
    let idle = world.listings.iter_mut().find(|l| !used.contains(&l.id));
    if let Some(idle) = idle {
        idle.draining = true;
    }
    world.list();
    submit_long_running(&mut world, 3, job(vec![waits]));
    world.run_for(450);
    assert_eq!(starts_of(&world, id(3)), 1);
    assert_eq!(long_waits(&mut world), [], "the wait is still short");
    world.run_for(600);
    let first = long_waits(&mut world);
    let lack = UnfitWorkers {
        workers: 4,
        closed: 1,
        cpu: 1,
        memory: 1,
        siblings: 1,
        barred: 0,
    };
    assert_eq!(first.len(), 1, "{first:?}");
    let (task, waited_ms, reason, lacks) = &first[0];
    assert_eq!(task.job, id(3));
    assert!(*waited_ms >= 500, "{waited_ms}");
    assert_eq!(*reason, "no worker of its pool can take it");
    assert_eq!(*lacks, lack);
    world.run_for(1_400);
    assert_eq!(long_waits(&mut world), [], "the wait was reported recently");
    world.run_for(1_000);
    assert_eq!(long_waits(&mut world).len(), 1, "the task still waits");
}

#[test]
fn long_waits_of_a_pool_without_workers_are_rate_limited() {
    let mut world = world_of(&["w1"]);
    let steps: Vec<StepSpec> = (0..30).map(|_| large()).collect();
    let mut nowhere = job(steps);
    nowhere.terms.pool = OTHER.to_owned();
    submit_long_running(&mut world, 1, nowhere);
    world.run_for(450);
    let mut steps = BTreeSet::new();
    for _ in 0..4 {
        world.run_for(500);
        let waits = long_waits(&mut world);
        assert!(waits.len() <= 4, "{} in half a second", waits.len());
        steps.extend(waits.iter().map(|(task, ..)| task.step));
    }
    assert!(steps.len() >= 12, "each check reports other steps: {steps:?}");
}

#[test]
fn a_long_wait_names_a_worker_that_was_not_asked_yet() {
    let mut world = world_of(&["w1", "w2"]);
    world.unreachable.push(WorkerId::new("w1"));
    world.take_over(9);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![large()]), 6, None);
    world.run_for(1_200);
    let waits = long_waits(&mut world);
    let reasons: Vec<&str> = waits.iter().map(|(_, _, why, _)| *why).collect();
    assert_eq!(reasons, ["a worker that may run it wasn't asked yet"]);
}

/// Requests the maintenance of all VMs of a world within the given duration,
/// one at a time. Returns the workers selected within two seconds.
fn workers_chosen_for_wave(
    world: &mut World,
    duration_ms: u64,
) -> BTreeSet<String> {
    let vms = world.listings.iter().map(|listing| listing.vm.clone());
    let request =
        WaveRequest { wave: 1, vms: vms.collect(), duration_ms, max_down: 1 };
    let (now, none) = (at(world.now_ms), BTreeMap::new());
    world.scheduler.request_waves(now, &[request], &none, &[]);
    let _ = world.scheduler.take_decisions();
    let mut chosen = BTreeSet::new();
    for _ in 0..40 {
        plan_round(world);
        chosen.extend(drained(world));
    }
    chosen
}

#[test]
fn a_wave_with_time_left_waits_for_spare_capacity() {
    for (duration_ms, chosen) in [(200_000, 0), (10_000, 1)] {
        let mut world = world_of(&["w1", "w2", "w3", "w4"]);
        submit_short(&mut world, 100, 16, 60_000);
        world.run_for(3_000);
        let taken = workers_chosen_for_wave(&mut world, duration_ms);
        assert_eq!(taken.len(), chosen, "within {duration_ms} ms: {taken:?}");
    }
}

#[test]
fn a_wave_takes_vms_from_the_least_loaded_pool() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    for listing in &mut world.listings[..2] {
        listing.pool = OTHER.to_owned();
    }
    world.list();
    world.expect_all();
    world.run_for(3_000);
    let mut busy = job(vec![step(5)]);
    busy.terms.pool = OTHER.to_owned();
    submit(&mut world, 100, busy, Fate::done(60_000));
    submit(&mut world, 101, job(vec![step(2)]), Fate::done(60_000));
    world.run_for(500);
    let chosen = workers_chosen_for_wave(&mut world, 10_000);
    assert_eq!(chosen.len(), 1, "one at a time: {chosen:?}");
    assert!(chosen.contains("w3") || chosen.contains("w4"), "{chosen:?}");
}
