//! Emptying data halls at the operator's request.

use {
    crate::{
        pool_sizing::vm_orders,
        task_moves::{STOP_MS, long_running, plan_round},
        world::{POOL, RunKind, World, at, id, job, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{
            ColdTerms, Decision, EvacuatedHall, Options, Resources, Scheduler,
            VmOrder, WorkerId,
        },
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeSet,
};

const OLD_HALL: &str = "hall-2";

/// How old the operator's requests may be for tasks to start, in milliseconds.
const MAX_VIEW_AGE_MS: u64 = 5_000;

fn world(names: &[&str], in_old_hall: &[&str]) -> World {
    let mut world = World::new(5, names);
    for listing in &mut world.listings {
        if in_old_hall.contains(&listing.id.as_str()) {
            listing.hall = OLD_HALL.to_owned();
        }
    }
    world.list();
    world.expect_all();
    world.run_for(100);
    world
}

fn evacuate(world: &mut World, halls: &[&str]) {
    let halls: BTreeSet<String> =
        halls.iter().map(|hall| (*hall).to_owned()).collect();
    world.scheduler.evacuate_halls(&halls, at(world.now_ms));
}

fn started_on(world: &World) -> BTreeSet<&str> {
    world.starts.iter().map(|(worker, _)| worker.as_str()).collect()
}

#[test]
fn nothing_starts_in_an_evacuated_hall_until_it_is_restored() {
    let mut world = world(&["w1", "w2"], &["w2"]);
    evacuate(&mut world, &[OLD_HALL]);
    world.scheduler.submit(id(1), job(vec![step(8)]), 6, None);
    world.run_for(300);
    assert_eq!(started_on(&world), ["w1"].into());
    assert_eq!(world.starts.len(), 4, "the hall that is left is full");
    evacuate(&mut world, &[]);
    world.run_for(100);
    assert_eq!(started_on(&world), ["w1", "w2"].into());
}

#[test]
fn a_worker_listed_after_the_request_gets_no_start() {
    let mut world = world(&["w1"], &[]);
    evacuate(&mut world, &[OLD_HALL]);
    let mut late = crate::world::listing("w2");
    late.hall = OLD_HALL.to_owned();
    let worker = dewspar_standin::task_worker::TaskWorker::new(late.capacity);
    world.workers.insert(late.id.clone(), worker);
    world.listings.push(late);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(8)]), 6, None);
    world.run_for(300);
    assert_eq!(started_on(&world), ["w1"].into());
}

#[test]
fn a_worker_without_a_hall_gets_no_start_while_any_is_evacuated() {
    let mut world = world(&["w1", "w2"], &[]);
    world.listings[1].hall = String::new();
    world.list();
    evacuate(&mut world, &[OLD_HALL]);
    world.scheduler.submit(id(1), job(vec![step(8)]), 6, None);
    world.run_for(300);
    assert_eq!(started_on(&world), ["w1"].into());
}

#[test]
fn short_tasks_run_to_their_end_in_an_evacuated_hall() {
    let mut world = world(&["w1"], &["w1"]);
    world.fate = Fate::done(2_000);
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(300);
    evacuate(&mut world, &[OLD_HALL]);
    world.run_for(3_000);
    let decisions = world.scheduler.take_decisions();
    let stopped = |d: &Decision| matches!(d, Decision::Stopped { .. });
    assert!(!decisions.iter().any(stopped), "{decisions:?}");
    assert_eq!(world.phases[&id(1)], "completed");
}

/// Two long-running tasks in the hall that is to be emptied.
fn world_with_long_running_tasks() -> World {
    let mut world = world(&["w1", "w2", "w3"], &["w1", "w2"]);
    world.fate = Fate::endless();
    evacuate(&mut world, &["hall-1"]);
    for number in 1..=2 {
        let lasting = job(vec![long_running()]);
        world.scheduler.submit(id(number), lasting, 5 + number, None);
    }
    // By then no stop ordered by a former lease holder can take effect.
    world.run_for(4_000);
    assert!(!started_on(&world).contains("w3"));
    assert_eq!(world.running().len(), 2);
    world.stop_duration_ms = STOP_MS;
    world
}

#[test]
fn long_running_tasks_move_out_of_an_evacuated_hall() {
    let mut world = world_with_long_running_tasks();
    evacuate(&mut world, &[OLD_HALL]);
    for _ in 0..60 {
        plan_round(&mut world);
    }
    let decisions = world.scheduler.take_decisions();
    let places = decisions.iter().filter_map(|decision| match decision {
        Decision::Displaced { place, .. } => Some(place.clone()),
        _ => None,
    });
    let places: Vec<Option<WorkerId>> = places.collect();
    let outside = Some(WorkerId::new("w3"));
    assert_eq!(places, [outside.clone(), outside]);
    let last_starts = &world.starts[world.starts.len() - 2..];
    assert!(last_starts.iter().all(|(worker, _)| worker.as_str() == "w3"));
    assert_eq!(world.running().len(), 2);
}

#[test]
fn a_long_running_task_without_room_elsewhere_stays() {
    let mut world = world_with_long_running_tasks();
    world.listings.retain(|listing| listing.id.as_str() != "w3");
    let gone = WorkerId::new("w3");
    world.scheduler.worker_gone(&gone, "it ended", at(world.now_ms));
    evacuate(&mut world, &[OLD_HALL]);
    for _ in 0..60 {
        plan_round(&mut world);
        assert_eq!(world.running().len(), 2, "a task was stopped");
    }
}

#[test]
fn evacuated_halls_are_reported_with_what_runs_there() {
    let mut world = world_with_long_running_tasks();
    evacuate(&mut world, &[OLD_HALL]);
    let halls = world.scheduler.evacuated_halls(at(world.now_ms + 200));
    let expected = EvacuatedHall {
        hall: OLD_HALL.to_owned(),
        age_ms: 200,
        workers: 2,
        runs: 2,
        long_running: 2,
        stuck: 0,
    };
    assert_eq!(halls, [expected]);
}

#[test]
fn a_pool_grows_outside_an_evacuated_hall_only() {
    let mut world = world(&["w1", "w2", "w3", "w4"], &["w1", "w3"]);
    for listing in &mut world.listings[2..] {
        listing.pool = "off".to_owned();
    }
    world.list();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    evacuate(&mut world, &[OLD_HALL]);
    world.fate = Fate::done(10_000);
    let long = StepSpec { estimate_ms: 10_000, ..step(40) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    let orders = vm_orders(&mut world);
    let (vm, pool) = ("vm-of-w4".to_owned(), POOL.to_owned());
    assert!(orders.contains(&VmOrder::Move { vm, pool }), "{orders:?}");
    let moved = orders.iter().all(|order| match order {
        VmOrder::Move { vm, pool } => vm != "vm-of-w3" || pool != POOL,
        _ => true,
    });
    assert!(moved, "a VM of the evacuated hall was moved in: {orders:?}");
}

#[test]
fn nothing_starts_while_the_operators_requests_are_too_old() {
    let mut world = World::new(5, &["w1"]);
    let options =
        Options::default().max_operator_view_age_ms(Some(MAX_VIEW_AGE_MS));
    world.scheduler = Scheduler::new(5, options);
    world.list();
    world.expect_all();
    world.scheduler.note_operator_view(world.now_ms);
    world.run_for(MAX_VIEW_AGE_MS + 100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(500);
    assert!(world.starts.is_empty());
    world.scheduler.note_operator_view(world.now_ms);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    let decisions = world.scheduler.take_decisions();
    let paused = |d: &Decision| matches!(d, Decision::StartsPaused { .. });
    let resumed = |d: &Decision| matches!(d, Decision::StartsResumed { .. });
    assert!(decisions.iter().any(paused) && decisions.iter().any(resumed));
}

/// A world with a worker in each of three halls, `w1` in `hall-1` and so on.
fn three_halls() -> World {
    let mut world = world(&["w1", "w2", "w3"], &[]);
    for (index, listing) in world.listings.iter_mut().enumerate() {
        listing.hall = format!("hall-{}", index + 1);
    }
    world.list();
    world
}

/// Long-running tasks, one in each of two halls.
fn long_running_in_two_halls() -> World {
    let mut world = three_halls();
    world.fate = Fate::endless();
    let apart = StepSpec { max_per_worker: 1, count: 2, ..long_running() };
    evacuate(&mut world, &["hall-3"]);
    world.scheduler.submit(id(1), job(vec![apart]), 6, None);
    // By then no stop ordered by a former lease holder can take effect.
    world.run_for(4_000);
    assert_eq!(started_on(&world), ["w1", "w2"].into());
    world.stop_duration_ms = STOP_MS;
    world
}

fn stuck(world: &World) -> Vec<usize> {
    let halls = world.scheduler.evacuated_halls(at(world.now_ms));
    halls.iter().map(|hall| hall.stuck).collect()
}

// Guards against moving tasks from one hall that is emptied to the other.
#[test]
fn two_halls_are_emptied_at_once() {
    let mut world = three_halls();
    world.fate = Fate::endless();
    evacuate(&mut world, &["hall-3"]);
    for number in 1..=2 {
        let lasting = job(vec![long_running()]);
        world.scheduler.submit(id(number), lasting, 5 + number, None);
    }
    world.run_for(4_000);
    world.stop_duration_ms = STOP_MS;
    let before = world.starts.len();
    evacuate(&mut world, &["hall-1", "hall-2"]);
    for _ in 0..60 {
        plan_round(&mut world);
    }
    let moved = &world.starts[before..];
    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|(worker, _)| worker.as_str() == "w3"));
    assert_eq!(world.running().len(), 2);
    assert_eq!(stuck(&world), [0, 0]);
}

// Guards against stopping tasks, or switching off all VMs, when every hall is
// to be emptied.
#[test]
fn the_last_hall_keeps_its_long_running_tasks_until_there_is_a_place() {
    let mut world = long_running_in_two_halls();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.scheduler.take_decisions();
    evacuate(&mut world, &["hall-1", "hall-2", "hall-3"]);
    let demand = Resources { cpu_millis: 1_000, ..Resources::default() };
    let kind = RunKind { demand, fate: Fate::done(500) };
    world.kinds.insert(id(2), kind);
    world.scheduler.submit(id(2), job(vec![step(2)]), 9, None);
    let mut orders = Vec::new();
    // Longer than a holder waits before it switches off what isn't needed.
    for _ in 0..700 {
        orders.extend(plan_round(&mut world));
    }
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(world.running().len(), 2, "a task was stopped or started");
    assert_eq!(stuck(&world), [1, 1, 0]);
    let reported = |world: &mut World| -> Vec<(String, usize)> {
        let decisions = world.scheduler.take_decisions();
        let reports = decisions.into_iter().filter_map(|d| match d {
            Decision::EvacuationStuck { hall, tasks } => Some((hall, tasks)),
            _ => None,
        });
        reports.collect()
    };
    let both = [("hall-1".to_owned(), 1), ("hall-2".to_owned(), 1)];
    assert_eq!(reported(&mut world), both, "once for each hall");
    evacuate(&mut world, &["hall-1"]);
    for _ in 0..60 {
        plan_round(&mut world);
    }
    assert_eq!(reported(&mut world), [("hall-1".to_owned(), 0)]);
    let halls = world.scheduler.evacuated_halls(at(world.now_ms));
    assert_eq!(halls[0].runs, 0, "{halls:?}");
    assert_eq!(world.phases[&id(2)], "completed");
}

/// The number of stuck tasks of a hall with two tasks of one step and a larger
/// one of another, where this much of the other hall's processor is in use.
fn stuck_beside(used_elsewhere: u64) -> Vec<usize> {
    let mut world = world(&["w1", "w2"], &["w2"]);
    world.fate = Fate::endless();
    let submit = |world: &mut World, number, count, cpu_millis| {
        let demand = Resources { cpu_millis, ..Resources::default() };
        let kind = RunKind { demand, fate: Fate::endless() };
        world.kinds.insert(id(number), kind);
        let spec = StepSpec { count, cpu_millis, ..long_running() };
        world.scheduler.submit(id(number), job(vec![spec]), 5 + number, None);
        world.run_for(4_000);
    };
    evacuate(&mut world, &["hall-1"]);
    submit(&mut world, 1, 2, 1_000);
    submit(&mut world, 2, 1, 2_000);
    assert_eq!(started_on(&world), ["w2"].into());
    evacuate(&mut world, &[]);
    submit(&mut world, 3, 1, used_elsewhere);
    assert_eq!(started_on(&world), ["w1", "w2"].into());
    world.stop_duration_ms = STOP_MS;
    evacuate(&mut world, &[OLD_HALL]);
    for _ in 0..100 {
        plan_round(&mut world);
    }
    stuck(&world)
}

// Guards against a step whose tasks count as one, and against applying what
// was found for one step to another.
#[test]
fn stuck_tasks_are_counted_singly_and_by_step() {
    assert_eq!(stuck_beside(4_000), [3]);
    assert_eq!(stuck_beside(3_000), [2], "one of the two has moved");
    assert_eq!(stuck_beside(2_000), [1], "only the larger one is left");
}

// Guards against losing the limit of starts on cold workers in an evacuation,
// and against stopping more tasks than can start again.
#[test]
fn a_hall_whose_workers_turned_cold_before_is_emptied() {
    let mut world = long_running_in_two_halls();
    let terms = ColdTerms { start_ms: 5_000, starts_per_s: 1 };
    let pools = [(POOL.to_owned(), terms)].into();
    world.scheduler.configure_cold_workers(pools);
    for listing in &mut world.listings {
        listing.cold_remaining_ms = 20_000;
    }
    world.list();
    evacuate(&mut world, &["hall-1"]);
    for _ in 0..100 {
        plan_round(&mut world);
        assert!(!world.running().is_empty(), "both tasks were stopped");
    }
    assert_eq!(world.starts.last().map(|(w, _)| w.as_str()), Some("w3"));
    assert_eq!(world.running().len(), 2);
    assert_eq!(stuck(&world), [0]);
}

// Guards against work that is lost in one hall and waits for the hall that is
// being emptied, or starts there.
#[test]
fn work_of_a_hall_that_falls_silent_goes_to_what_is_left() {
    let mut world = three_halls();
    world.fate = Fate::endless();
    for (number, others) in
        [["hall-2", "hall-3"], ["hall-1", "hall-3"]].into_iter().enumerate()
    {
        evacuate(&mut world, &others);
        let lasting = job(vec![long_running()]);
        let number = number as u64 + 1;
        world.scheduler.submit(id(number), lasting, 5 + number, None);
        world.run_for(2_000);
    }
    assert_eq!(started_on(&world), ["w1", "w2"].into());
    let before = world.starts.len();
    world.unreachable.push(WorkerId::new("w1"));
    world.run_for(1_000);
    evacuate(&mut world, &["hall-2"]);
    for _ in 0..400 {
        plan_round(&mut world);
    }
    let places = &world.starts[before..];
    assert_eq!(places.len(), 2, "{places:?}");
    assert!(places.iter().all(|(worker, _)| worker.as_str() == "w3"));
    assert_eq!(stuck(&world), [0]);
}

// Guards against stopping more tasks at once than can start again on a cold
// worker: the others would be down for as many seconds as there are tasks.
#[test]
fn tasks_move_to_a_cold_worker_as_it_takes_their_starts() {
    let mut world = three_halls();
    world.fate = Fate::endless();
    evacuate(&mut world, &["hall-2", "hall-3"]);
    for number in 1..=2 {
        let lasting = job(vec![long_running()]);
        world.scheduler.submit(id(number), lasting, 5 + number, None);
    }
    world.run_for(4_000);
    world.stop_duration_ms = STOP_MS;
    let terms = ColdTerms { start_ms: 5_000, starts_per_s: 1 };
    let pools = [(POOL.to_owned(), terms)].into();
    world.scheduler.configure_cold_workers(pools);
    for listing in &mut world.listings {
        listing.cold_remaining_ms = 60_000;
    }
    world.list();
    let before = world.starts.len();
    evacuate(&mut world, &["hall-1", "hall-2"]);
    for _ in 0..100 {
        plan_round(&mut world);
        assert!(!world.running().is_empty(), "both tasks are down");
    }
    let moved = &world.starts[before..];
    assert_eq!(moved.len(), 2);
    assert!(moved.iter().all(|(worker, _)| worker.as_str() == "w3"));
}

// Guards against switching off all VMs when the last hall is emptied while a
// VM is on its way to a pool.
#[test]
fn no_vm_is_switched_off_where_no_hall_is_left() {
    let mut world = three_halls();
    world.listings[2].pool = "off".to_owned();
    world.list();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.fate = Fate::done(300);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    for _ in 0..400 {
        plan_round(&mut world);
    }
    world.scheduler.submit(id(2), job(vec![step(40)]), 7, None);
    let moved = (0..20).any(|_| !plan_round(&mut world).is_empty());
    assert!(moved, "a VM is on its way");
    evacuate(&mut world, &["hall-1", "hall-2", "hall-3"]);
    let orders: Vec<VmOrder> =
        (0..100).flat_map(|_| plan_round(&mut world)).collect();
    assert!(orders.is_empty(), "{orders:?}");
}
