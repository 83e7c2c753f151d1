//! The hall in which the short tasks of a job are placed together.
//!
//! Guards against jobs that stand in all halls, so that the loss of one hall
//! delays each of them.

use {
    crate::{
        hall_events::{cut, world_with},
        world::{World, id, job, step},
    },
    dewspar::{
        hall::HallState,
        job::StepSpec,
        schedule::{Options, Policy, WorkerListing},
    },
    dewspar_standin::task_worker::Fate,
    std::collections::{BTreeMap, BTreeSet},
};

/// The number of tasks for which a hall of these tests has room.
const HALL_ROOM: u32 = 16;

/// Three halls of four workers each. Neighbours in the order of identifiers
/// are in different halls.
fn halls(policy: Policy) -> World {
    let options = Options::default().tolerated_halls(1).policy(policy);
    let mut world = world_with(options);
    world.fate = Fate::endless();
    world
}

fn submit(world: &mut World, number: u64, spec: StepSpec) {
    world.scheduler.submit(id(number), job(vec![spec]), 6, None);
    world.run_for(200);
}

fn hall_of<'a>(world: &'a World, worker: &str) -> &'a str {
    let mut listings = world.listings.iter();
    let listing = listings.find(|l| l.id.to_string() == worker);
    // OK because no worker is removed in the tests that use this.
    &listing.expect("listed").hall
}

/// Returns how many tasks of a job were started in each hall.
fn started(world: &World, number: u64) -> BTreeMap<String, u32> {
    let mut halls = BTreeMap::new();
    for (worker, order) in &world.starts {
        if order.task.job == id(number) {
            let hall = hall_of(world, &worker.to_string()).to_owned();
            *halls.entry(hall).or_default() += 1;
        }
    }
    halls
}

#[test]
fn the_short_tasks_of_a_job_go_to_one_hall() {
    // Tasks that are placed all at once, and one by one.
    let together = step(12);
    let apart = StepSpec { max_per_worker: 3, ..step(12) };
    for spec in [together, apart] {
        let mut world = halls(Policy::default());
        submit(&mut world, 1, spec.clone());
        let halls_in_use = started(&world, 1);
        assert_eq!(halls_in_use.values().sum::<u32>(), 12);
        assert_eq!(halls_in_use.len(), 1, "{halls_in_use:?}");
        let mut policy = Policy::default();
        policy.placing.keeps_job_in_hall = false;
        let mut world = halls(policy);
        submit(&mut world, 1, spec);
        assert_eq!(started(&world, 1).len(), 3);
    }
}

#[test]
fn several_jobs_spread_over_the_halls() {
    let mut world = halls(Policy::default());
    let mut homes = BTreeSet::new();
    for number in 1..=3 {
        submit(&mut world, number, step(12));
        let halls_in_use = started(&world, number);
        assert_eq!(halls_in_use.len(), 1, "{halls_in_use:?}");
        homes.extend(halls_in_use.into_keys());
    }
    assert_eq!(homes.len(), 3, "{homes:?}");
}

#[test]
fn a_full_home_hall_is_no_reason_to_wait() {
    let mut world = halls(Policy::default());
    submit(&mut world, 1, step(HALL_ROOM + 8));
    let halls_in_use = started(&world, 1);
    assert_eq!(halls_in_use.values().sum::<u32>(), HALL_ROOM + 8);
    let most = halls_in_use.values().max();
    assert_eq!(most, Some(&HALL_ROOM), "{halls_in_use:?}");
}

#[test]
fn long_running_tasks_have_no_home_hall() {
    let mut policy = Policy::default();
    // Without the preference for other halls, the fullest worker is best.
    policy.placing.spreads_over_halls = false;
    let mut world = halls(policy);
    let lasting =
        StepSpec { long_running: true, max_unavailable: 1, ..step(12) };
    submit(&mut world, 1, lasting);
    let halls_in_use = started(&world, 1);
    assert_eq!(halls_in_use.values().sum::<u32>(), 12);
    assert_eq!(halls_in_use.len(), 3, "{halls_in_use:?}");
}

#[test]
fn a_hall_that_is_down_is_no_home() {
    let mut world = halls(Policy::default());
    // The job's second copies start while the runs in its home hall are still
    // on record.
    let spec = StepSpec { may_duplicate: true, ..step(12) };
    submit(&mut world, 1, spec);
    let lost = started(&world, 1).into_keys().next();
    // OK because the tasks were started.
    let lost = lost.expect("started");
    world.starts.clear();
    cut(&mut world, &lost);
    world.run_for(600);
    assert_eq!(world.scheduler.hall_state(&lost), HallState::CutOff);
    let halls_in_use = started(&world, 1);
    assert_eq!(halls_in_use.values().sum::<u32>(), 12);
    assert_eq!(halls_in_use.len(), 1, "{halls_in_use:?}");
    assert!(!halls_in_use.contains_key(&lost), "{halls_in_use:?}");
}

// Guards against a task that may crash its worker and is started beside other
// runs of its home hall although workers are idle elsewhere.
#[test]
fn isolated_tasks_have_no_home_hall() {
    let mut world = halls(Policy::default());
    // Fills three workers of the home hall; the last one gets a single run.
    submit(&mut world, 1, step(HALL_ROOM - 3));
    assert_eq!(started(&world, 1).len(), 1);
    let mut runs: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    for (worker, order) in &world.starts {
        let tasks = runs.entry(worker.to_string()).or_default();
        tasks.push(order.task.index);
    }
    let full = runs.iter().find(|(_, tasks)| tasks.len() == 4);
    // OK because twelve of the tasks fill three workers.
    let (crashed, lost) = full.expect("a full worker");
    let listed = |l: &&WorkerListing| l.id.to_string() == *crashed;
    let vm = world.listings.iter().find(listed).map(|l| l.vm.clone());
    world.starts.clear();
    // OK because the worker is listed.
    world.crash_worker_on(&vm.expect("listed"));
    world.run_for(5_000);
    let again: Vec<(String, u32)> = world
        .starts
        .iter()
        .map(|(worker, order)| (worker.to_string(), order.task.index))
        .collect();
    let tasks: BTreeSet<u32> = again.iter().map(|(_, task)| *task).collect();
    assert_eq!(tasks, lost.iter().copied().collect());
    for (worker, _) in &again {
        assert!(!runs.contains_key(worker), "{worker}: {again:?}");
    }
}
