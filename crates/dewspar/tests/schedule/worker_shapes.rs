//! Placement on workers of any size, away from a task's data, and on workers
//! that are slow after their start.

use {
    crate::{
        pool_sizing::{move_of_spare, vm_orders, world_with_spare},
        world::{POOL, ROOM, RunKind, World, at, id, job, listing, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{ColdTerms, Options, Resources, Scheduler, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, BTreeSet},
};

/// Processor and memory of a worker, in cores and gigabytes.
fn room(cores: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, memory_mb: cores * 4_000, gpus: 0 }
}

/// Workers of a size, each with a label of its own.
struct Fleet {
    world: World,
    /// The size of its workers compared with those of 32 cores.
    scale: u64,
    jobs: u64,
}

impl Fleet {
    fn new(scale: u64, names: &[&str], options: Options) -> Fleet {
        let mut world = World::with_room(5, names, room(32 * scale));
        world.scheduler = Scheduler::new(5, options);
        world.fate = Fate::endless();
        for listing in &mut world.listings {
            let name = listing.id.as_str().to_owned();
            listing.rack = format!("rack-of-{name}");
            listing.labels.push(name);
        }
        world.list();
        world.expect_all();
        world.run_for(100);
        Fleet { world, scale, jobs: 0 }
    }

    /// Submits a step of one task, for workers of 32 cores. Returns the worker
    /// on which it starts.
    fn start(&mut self, spec: StepSpec) -> String {
        self.jobs += 1;
        let spec =
            StepSpec { cpu_millis: spec.cpu_millis * self.scale, ..spec };
        let demand =
            Resources { cpu_millis: spec.cpu_millis, ..Resources::default() };
        let job_id = id(self.jobs);
        let kind = RunKind { demand, fate: Fate::endless() };
        self.world.kinds.insert(job_id, kind);
        let revision = 5 + self.jobs;
        self.world.scheduler.submit(job_id, job(vec![spec]), revision, None);
        let before = self.world.starts.len();
        self.world.run_for(100);
        let starts = &self.world.starts[before..];
        let [(worker, _)] = starts else { panic!("{starts:?}") };
        worker.as_str().to_owned()
    }

    fn occupy(&mut self, worker: &str, cpu_millis: u64, long_running: bool) {
        let required_label = worker.to_owned();
        let spec =
            StepSpec { cpu_millis, long_running, required_label, ..step(1) };
        assert_eq!(self.start(spec), worker);
    }
}

/// A long-running task beside another one on w1, or on w2, where this much of
/// the processor is in use.
fn beside_long_running(scale: u64, used_elsewhere: u64) -> String {
    let mut fleet = Fleet::new(scale, &["w1", "w2"], Options::default());
    fleet.occupy("w1", 8_000, true);
    fleet.occupy("w2", used_elsewhere, false);
    fleet.start(StepSpec { long_running: true, ..step(1) })
}

/// A task with its data beside the empty worker w1, or on w2, where this much
/// of the processor is in use.
fn near_data(scale: u64, factor: f64, used_elsewhere: u64) -> String {
    let options = Options::default().remote_factor(Some(factor));
    let mut fleet = Fleet::new(scale, &["w1", "w2"], options);
    fleet.occupy("w2", used_elsewhere, false);
    fleet.start(StepSpec { data_rack: "rack-of-w1".to_owned(), ..step(1) })
}

/// A task with a latency target beside another one on w1, or on the empty w2.
fn apart_from_serving(scale: u64) -> String {
    let mut fleet = Fleet::new(scale, &["w1", "w2"], Options::default());
    let serving =
        StepSpec { target_ms: 50, required_label: "w1".into(), ..step(1) };
    fleet.start(serving);
    fleet.occupy("w1", 30_000, false);
    fleet.start(StepSpec { target_ms: 50, ..step(1) })
}

// Guards against scores that assume one size of workers. The expected places
// on workers of 32 cores follow from the scores 60, 16 and 100 cores.
#[test]
fn a_fleet_of_larger_workers_decides_alike() {
    for scale in [1, 2] {
        assert_eq!(beside_long_running(scale, 23_900), "w1", "{scale}");
        assert_eq!(beside_long_running(scale, 24_100), "w2", "{scale}");
        // At 31 of 32 cores the difference is below the score at any scale.
        assert_eq!(near_data(scale, 2.0, 31_000), "w1", "{scale}");
        assert_eq!(apart_from_serving(scale), "w2", "{scale}");
    }
}

// Guards against a weight of data nearby that doesn't depend on how much
// longer a task takes elsewhere: at a factor of 1.1 it is 6 cores of 32.
#[test]
fn the_weight_of_data_nearby_follows_the_factor() {
    for scale in [1, 2] {
        assert_eq!(near_data(scale, 1.0, 1_000), "w2", "{scale}");
        assert_eq!(near_data(scale, 1.1, 5_900), "w1", "{scale}");
        assert_eq!(near_data(scale, 1.1, 6_100), "w2", "{scale}");
        assert_eq!(near_data(scale, 3.0, 31_000), "w1", "{scale}");
    }
}

/// A task with a latency target whose data is beside w1, where another such
/// task runs and the rest of the processor is in use, or on the empty w2.
fn near_data_and_interfering(factor: f64) -> String {
    let options = Options::default().remote_factor(Some(factor));
    let mut fleet = Fleet::new(1, &["w1", "w2"], options);
    let serving =
        StepSpec { target_ms: 50, required_label: "w1".into(), ..step(1) };
    fleet.start(serving);
    fleet.occupy("w1", 30_000, false);
    let data_rack = "rack-of-w1".to_owned();
    fleet.start(StepSpec { target_ms: 50, data_rack, ..step(1) })
}

// Guards against a factor that changes what matters more: in proportion to it,
// data nearby is worth 30 cores at 1.5, less than a difference in fullness,
// and 120 at 3, more than an interfering run at 100.
#[test]
fn what_matters_more_does_not_depend_on_the_factor() {
    for factor in [1.5, 2.0, 3.0] {
        assert_eq!(near_data_and_interfering(factor), "w2", "{factor}");
        assert_eq!(near_data(1, factor, 31_000), "w1", "{factor}");
    }
}

// Guards against weights that follow the largest VM of any pool: at 32 cores,
// colocation is worth 16 cores, whatever runs in another pool.
#[test]
fn larger_vms_of_another_pool_do_not_change_decisions() {
    let mut fleet = Fleet::new(1, &["w1", "w2"], Options::default());
    let mut large = listing("large");
    large.pool = "other".to_owned();
    large.capacity = room(64);
    let worker = TaskWorker::new(large.capacity);
    fleet.world.workers.insert(large.id.clone(), worker);
    fleet.world.listings.push(large);
    fleet.world.list();
    fleet.occupy("w1", 8_000, true);
    fleet.occupy("w2", 24_100, false);
    let long = StepSpec { long_running: true, ..step(1) };
    assert_eq!(fleet.start(long), "w2");
}

// Guards against weights of 0 while workers are known only from single
// look-ups, before the capacities of all are noted.
#[test]
fn workers_that_were_looked_up_singly_are_scored() {
    let mut world = World::with_room(5, &["w1", "w2"], room(32));
    world.fate = Fate::endless();
    for listing in &mut world.listings {
        listing.rack = format!("rack-of-{}", listing.id.as_str());
        listing.labels.push(listing.id.as_str().to_owned());
        world.scheduler.list_worker(at(world.now_ms), listing.clone());
    }
    world.expect_all();
    world.run_for(100);
    let there = StepSpec { required_label: "w2".to_owned(), ..step(1) };
    world.scheduler.submit(id(1), job(vec![there]), 6, None);
    world.run_for(100);
    let data_rack = "rack-of-w1".to_owned();
    let near = StepSpec { data_rack, ..step(1) };
    world.scheduler.submit(id(2), job(vec![near]), 7, None);
    world.run_for(100);
    assert_eq!(started_on(&world, "w2"), 1);
    assert_eq!(started_on(&world, "w1"), 1);
}

/// Lets a task away from its data report no progress. Returns when it was
/// started, in milliseconds.
fn starts_of_remote_task(factor: Option<f64>) -> Vec<u64> {
    let mut world = World::new(5, &["w1", "w2"]);
    world.scheduler =
        Scheduler::new(5, Options::default().remote_factor(factor));
    world.fate = Fate::stalled();
    world.list();
    world.expect_all();
    let remote = StepSpec { data_rack: "rack-9".to_owned(), ..step(1) };
    world.scheduler.submit(id(1), job(vec![remote]), 4, None);
    let mut starts_ms = Vec::new();
    for _ in 0..100 {
        world.run_for(50);
        starts_ms.resize(world.starts.len(), world.now_ms);
    }
    starts_ms
}

// Guards against a factor that delays the detection of stalled runs: every
// deployment sets one, and a run that makes no progress at all isn't slow
// because it is away from its data.
#[test]
fn a_stalled_remote_run_is_stopped_as_soon_as_any_other() {
    let without = starts_of_remote_task(None);
    assert_eq!(without.len(), 2);
    for factor in [1.0, 1.5, 2.0, 3.0] {
        assert_eq!(starts_of_remote_task(Some(factor)), without, "{factor}");
    }
}

/// A world whose pool limits the starts on cold workers; the named ones are
/// cold for so long.
fn cold_world(
    names: &[&str],
    cold: &[&str],
    cold_ms: u64,
    starts_per_s: u32,
) -> World {
    let mut world = World::new(5, names);
    for listing in &mut world.listings {
        if cold.contains(&listing.id.as_str()) {
            listing.cold_remaining_ms = cold_ms;
        }
    }
    limit_cold_starts(&mut world, starts_per_s);
    world.list();
    world.expect_all();
    // A holder orders none from a cold worker in its first second.
    world.run_for(1_000);
    world
}

fn limit_cold_starts(world: &mut World, starts_per_s: u32) {
    let terms = ColdTerms { start_ms: 2_000, starts_per_s };
    let pools = BTreeMap::from([(POOL.to_owned(), terms)]);
    world.scheduler.configure_cold_workers(pools);
}

fn started_on(world: &World, name: &str) -> usize {
    let worker = WorkerId::new(name);
    world.starts.iter().filter(|(on, _)| *on == worker).count()
}

/// The place of a task with this estimate, on the empty warm worker w1 or on
/// the cold worker w2, which has a run.
fn place_beside_cold(estimate_ms: u64) -> String {
    let mut world = cold_world(&["w1"], &[], 0, 0);
    world.fate = Fate::endless();
    let mut cold = listing("w2");
    cold.cold_remaining_ms = 4_000;
    world.workers.insert(cold.id.clone(), TaskWorker::new(ROOM));
    cold.labels.push("w2".to_owned());
    world.listings.push(cold);
    world.list();
    world.run_for(100);
    let there = StepSpec { required_label: "w2".to_owned(), ..step(1) };
    world.scheduler.submit(id(1), job(vec![there]), 6, None);
    world.run_for(100);
    let estimated = StepSpec { estimate_ms, ..step(1) };
    world.scheduler.submit(id(2), job(vec![estimated]), 7, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    world.starts[1].0.as_str().to_owned()
}

// Guards against filling a cold worker because it has most in use, and against
// spreading tasks that lose next to nothing there.
#[test]
fn a_warm_worker_is_preferred_where_the_difference_matters() {
    assert_eq!(place_beside_cold(500), "w1");
    assert_eq!(place_beside_cold(500_000), "w2");
}

// Guards against overloading a worker that has just started.
#[test]
fn a_cold_worker_gets_no_more_starts_per_second_than_it_takes() {
    let mut world = cold_world(&["w1"], &["w1"], 4_000, 2);
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    world.run_for(800);
    assert_eq!(world.starts.len(), 2);
    world.run_for(300);
    assert_eq!(world.starts.len(), 4);
}

// Guards against splitting the members of a gang over two seconds: those that
// started would wait for the others in vain.
#[test]
fn a_gang_starts_on_a_cold_worker_only_as_a_whole() {
    let mut world = cold_world(&["w1"], &["w1"], 4_000, 2);
    let gang = StepSpec { gang: true, ..step(3) };
    world.scheduler.submit(id(1), job(vec![gang]), 6, None);
    world.run_for(1_500);
    assert!(world.starts.is_empty());
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 3);
}

// Guards against counting the time since the directory was requested twice.
#[test]
fn a_worker_is_cold_for_as_long_as_it_was_when_the_directory_was_requested() {
    let mut world = cold_world(&["w1"], &[], 0, 1);
    world.listings[0].cold_remaining_ms = 1_000;
    let asked_ms = world.now_ms;
    world.now_ms += 900;
    let listings = world.listings.clone();
    let now = at(world.now_ms);
    world.scheduler.list_workers_as_of(asked_ms, now, listings);
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(50);
    assert_eq!(world.starts.len(), 1, "it is still cold");
    world.run_for(100);
    assert_eq!(world.starts.len(), 4, "it is warm by now");
}

// Guards against a new holder that adds its starts to those of the last one.
#[test]
fn a_new_holder_waits_until_former_starts_no_longer_count() {
    let mut world = cold_world(&["w1"], &["w1"], 8_000, 2);
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(50);
    assert_eq!(world.starts.len(), 2);
    world.take_over(20);
    limit_cold_starts(&mut world, 2);
    world.list();
    world.expect_all();
    world.scheduler.submit(id(2), job(vec![step(2)]), 21, None);
    world.run_for(900);
    assert_eq!(world.starts.len(), 2);
    world.run_for(300);
    assert_eq!(world.starts.len(), 4);
}

// Guards against terms of a pool that change decisions about warm workers.
#[test]
fn warm_workers_take_any_number_of_starts() {
    let mut world = cold_world(&["w1"], &[], 0, 1);
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(50);
    assert_eq!(started_on(&world, "w1"), 4);
}

/// The rack of each member of a gang of four. Only rack c has room for all.
fn racks_of_gang(factor: Option<f64>, long_running: bool) -> Vec<String> {
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let mut world = World::new(5, &names);
    world.scheduler =
        Scheduler::new(5, Options::default().remote_factor(factor));
    world.fate = Fate::endless();
    let racks = ["a", "b", "b", "c", "c"];
    for (listing, rack) in world.listings.iter_mut().zip(racks) {
        listing.rack = rack.to_owned();
        listing.labels.push(listing.id.as_str().to_owned());
    }
    world.list();
    world.expect_all();
    world.run_for(100);
    let kind = |cpu_millis| {
        let demand = Resources { cpu_millis, ..Resources::default() };
        RunKind { demand, fate: Fate::endless() }
    };
    // Then w1 has four cores left, w2 and w3 two each, and w4 and w5 three.
    let used = [("w2", 2_000), ("w3", 2_000), ("w4", 1_000), ("w5", 1_000)];
    for (number, (name, cpu_millis)) in (1..).zip(used) {
        let required_label = name.to_owned();
        let spec = StepSpec { cpu_millis, required_label, ..step(1) };
        world.kinds.insert(id(number), kind(cpu_millis));
        world.scheduler.submit(id(number), job(vec![spec]), 5, None);
    }
    world.run_for(100);
    let before = world.starts.len();
    let gang = StepSpec {
        gang: true,
        same_rack: true,
        cpu_millis: 1_500,
        long_running,
        ..step(4)
    };
    world.kinds.insert(id(9), kind(1_500));
    world.scheduler.submit(id(9), job(vec![gang]), 6, None);
    world.run_for(500);
    let starts = world.starts[before..].iter();
    let rack_of = |worker: &WorkerId| {
        let mut listings = world.listings.iter();
        let listing = listings.find(|listing| listing.id == *worker);
        listing.expect("listed").rack.clone()
    };
    starts.map(|(worker, _)| rack_of(worker)).collect()
}

// Guards against gangs over several racks where one has room for all members.
#[test]
fn a_gang_goes_to_one_rack_where_it_is_known_to_matter() {
    for long_running in [false, true] {
        assert_eq!(racks_of_gang(Some(3.0), long_running), ["c"; 4]);
        let racks: BTreeSet<_> =
            racks_of_gang(None, long_running).into_iter().collect();
        assert!(racks.len() > 1, "{racks:?}");
    }
}

/// Returns whether a pool of two workers gets a third VM within a second,
/// where a large step begins when the one before it ends.
fn gets_vm_for_step_in(ms: u64, cold_start_ms: u64) -> bool {
    let mut world = world_with_spare();
    let terms = ColdTerms { start_ms: cold_start_ms, starts_per_s: 0 };
    let pools = BTreeMap::from([(POOL.to_owned(), terms)]);
    world.scheduler.configure_cold_workers(pools);
    world.fate = Fate::endless();
    let first = StepSpec { estimate_ms: ms, ..step(1) };
    let second = StepSpec { estimate_ms: 10_000, after: vec![0], ..step(12) };
    world.scheduler.submit(id(1), job(vec![first, second]), 6, None);
    vm_orders(&mut world).contains(&move_of_spare())
}

// Guards against VMs that are still slow when the peak begins.
#[test]
fn a_pool_whose_workers_start_cold_gets_its_vms_earlier() {
    assert!(!gets_vm_for_step_in(6_000, 0));
    assert!(gets_vm_for_step_in(6_000, 5_000));
}

/// Returns whether a pool of two workers in these racks gets a third VM within
/// a second, where these four tasks run while a step of six is about to begin.
fn gets_vm_beside(
    factor: Option<f64>,
    racks: [&str; 2],
    running: StepSpec,
) -> bool {
    let mut world = World::new(5, &["w1", "w2"]);
    world.scheduler =
        Scheduler::new(5, Options::default().remote_factor(factor));
    for (listing, rack) in world.listings.iter_mut().zip(racks) {
        listing.rack = rack.to_owned();
    }
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(100);
    world.fate = Fate::done(60_000);
    let first = StepSpec { estimate_ms: 12_000, ..step(1) };
    let second = StepSpec { estimate_ms: 9_000, after: vec![0], ..step(6) };
    world.scheduler.submit(id(1), job(vec![running]), 4, None);
    world.scheduler.submit(id(2), job(vec![first, second]), 5, None);
    // Jobs from before this holder do not count as recent arrivals.
    world.run_for(10_500);
    vm_orders(&mut world).contains(&move_of_spare())
}

// Guards against counting on capacity that remote runs still use.
#[test]
fn remote_runs_are_expected_to_take_longer() {
    let data_rack = "rack-9".to_owned();
    let remote = StepSpec { estimate_ms: 12_000, data_rack, ..step(4) };
    let racks = ["rack-1", "rack-1"];
    assert!(!gets_vm_beside(None, racks, remote.clone()));
    assert!(gets_vm_beside(Some(3.0), racks, remote));
}

// Guards against counting on capacity that gangs over several racks still use,
// and against expecting this of gangs that share a rack.
#[test]
fn gangs_over_several_racks_are_expected_to_take_longer() {
    let gang = StepSpec {
        estimate_ms: 12_000,
        gang: true,
        same_rack: true,
        max_per_worker: 2,
        ..step(4)
    };
    assert!(!gets_vm_beside(None, ["a", "b"], gang.clone()));
    assert!(!gets_vm_beside(Some(3.0), ["a", "a"], gang.clone()));
    assert!(gets_vm_beside(Some(3.0), ["a", "b"], gang));
}
