//! Data halls that are lost, cut off, and return.

use {
    crate::world::{World, at, id, job, managed, step},
    dewspar::{
        hall::{HallPath, HallState},
        job::StepSpec,
        schedule::{
            Action, Decision, ManagedVm, Options, Policy, Scheduler, VmStatus,
            WorkerId, WorkerListing, WorkerLookup,
        },
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeSet,
};

/// The number of workers in each of the three halls.
const WORKERS: usize = 4;

const LOST_HALL: &str = "hall-0";

fn options() -> Options {
    Options::default().tolerated_halls(1)
}

/// Returns a world with workers in three halls, all of which have answered.
pub fn world_with(options: Options) -> World {
    world_of(WORKERS, options)
}

/// Returns such a world with this many workers in each hall.
fn world_of(workers: usize, options: Options) -> World {
    let names: Vec<String> =
        (0..3 * workers).map(|n| format!("w{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut world = World::new(5, &names);
    world.scheduler = Scheduler::new(5, options);
    for (number, listing) in world.listings.iter_mut().enumerate() {
        listing.hall = format!("hall-{}", number % 3);
    }
    world.list();
    world.expect_all();
    world.run_for(100 + 2 * workers as u64);
    world
}

fn world() -> World {
    world_with(options())
}

fn workers_in(world: &World, hall: &str) -> Vec<WorkerId> {
    let here = world.listings.iter().filter(|l| l.hall == hall);
    here.map(|listing| listing.id.clone()).collect()
}

/// Fills all workers with tasks of this kind.
fn fill(world: &mut World, spec: StepSpec) {
    world.fate = Fate::done(60_000);
    world.scheduler.submit(id(1), job(vec![spec]), 6, None);
    world.run_for(300);
    assert_eq!(world.running().len(), spec_count());
}

/// The number of tasks that fill all workers.
fn spec_count() -> usize {
    3 * WORKERS * 4
}

fn full() -> StepSpec {
    step(spec_count() as u32)
}

/// Cuts a hall off.
pub fn cut(world: &mut World, hall: &str) {
    world.unreachable = workers_in(world, hall);
}

fn vms(world: &World, down: &str) -> Vec<ManagedVm> {
    let listed = world.listings.iter().map(|listing| {
        let mut vm = managed(listing);
        if vm.hall == down {
            vm.status = VmStatus::Down;
            vm.worker = None;
        }
        vm
    });
    listed.collect()
}

fn list_vms(world: &mut World, down: &str) {
    let vms = vms(world, down);
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, now.steady_ms, &vms);
}

fn state(world: &World) -> HallState {
    world.scheduler.hall_state(LOST_HALL)
}

fn suspected(decisions: &[Decision]) -> usize {
    let suspected = |d: &&Decision| matches!(d, Decision::Suspected { .. });
    decisions.iter().filter(suspected).count()
}

fn hall_changes(decisions: &[Decision]) -> Vec<HallState> {
    let changes = decisions.iter().filter_map(|decision| match decision {
        Decision::HallChanged { change, .. } => Some(change.to),
        _ => None,
    });
    changes.collect()
}

#[test]
fn a_hall_that_falls_silent_is_one_event() {
    let mut world = world();
    fill(&mut world, full());
    world.scheduler.take_decisions();
    cut(&mut world, LOST_HALL);
    world.run_for(400);
    assert_eq!(state(&world), HallState::CutOff);
    assert!(world.scheduler.take_vm_list_request(), "asked for at once");
    assert!(!world.scheduler.take_vm_list_request(), "once");
    world.run_for(20_000);
    let decisions = world.scheduler.take_decisions();
    assert_eq!(hall_changes(&decisions), [HallState::CutOff]);
    assert_eq!(suspected(&decisions), 0);
    let suspended = |d: &Decision| matches!(d, Decision::Suspended { .. });
    assert!(!decisions.iter().any(suspended));
}

// Guards against starts on workers of a hall that haven't been asked since it
// fell silent.
#[test]
fn nothing_starts_on_idle_workers_of_a_silent_hall() {
    let mut world = world();
    world.fate = Fate::done(60_000);
    // Keeps a few workers of each hall busy, and others idle.
    let busy = StepSpec { max_per_worker: 1, ..step(9) };
    world.scheduler.submit(id(1), job(vec![busy]), 6, None);
    world.run_for(300);
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    assert_eq!(state(&world), HallState::CutOff);
    world.starts.clear();
    world.scheduler.submit(id(2), job(vec![full()]), 7, None);
    world.run_for(3_000);
    let lost: BTreeSet<WorkerId> =
        workers_in(&world, LOST_HALL).into_iter().collect();
    assert!(!world.starts.is_empty());
    assert!(world.starts.iter().all(|(worker, _)| !lost.contains(worker)));
}

// Guards against work that waits for leases although the VM service says that
// nothing runs there any more.
#[test]
fn work_of_a_lost_hall_starts_elsewhere_once_its_vms_are_down() {
    let mut world = world();
    world.fate = Fate::done(60_000);
    world.scheduler.submit(id(1), job(vec![step(24)]), 6, None);
    world.run_for(300);
    let lost = workers_in(&world, LOST_HALL);
    let before = world.running().len();
    for worker in &lost {
        world.workers.remove(worker);
    }
    cut(&mut world, LOST_HALL);
    world.run_for(400);
    list_vms(&mut world, LOST_HALL);
    assert_eq!(state(&world), HallState::Lost);
    world.run_for(200);
    assert_eq!(world.running().len(), before);
}

// Guards against suspicions that were raised before the hall was recognized,
// and against a VM that counts as flapping for it.
#[test]
fn losses_shortly_before_the_halls_event_are_taken_back() {
    let mut world = world();
    world.fate = Fate::done(60_000);
    world.scheduler.submit(id(1), job(vec![full()]), 6, None);
    world.run_for(100);
    let first = workers_in(&world, LOST_HALL)[0].clone();
    let reason = "the VM service says that it ended";
    let now = at(world.now_ms);
    world.scheduler.worker_gone(&first, reason, now);
    world.workers.remove(&first);
    let decisions = world.scheduler.take_decisions();
    assert!(suspected(&decisions) > 0);
    world.round();
    assert!(stored_crashes(&world) > 0);
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    assert_eq!(state(&world), HallState::CutOff);
    assert_eq!(stored_crashes(&world), 0);
}

fn stored_crashes(world: &World) -> u32 {
    let progress = world.stored.values();
    progress.flat_map(|p| p.tasks.iter()).map(|task| task.crashes).sum()
}

// Guards against forgiveness that hides a task which crashes its workers.
#[test]
fn a_task_that_crashes_its_workers_is_still_found_after_a_hall_is_lost() {
    let mut world = world();
    world.crash_report_delay_ms = Some(100);
    world.fate = Fate::done(400);
    world.scheduler.submit(id(2), job(vec![full()]), 6, None);
    world.run_for(200);
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    assert_eq!(state(&world), HallState::CutOff);
    let bad = dewspar::job::TaskId { job: id(3), round: 0, step: 0, index: 0 };
    world.crashing.push(bad);
    world.scheduler.submit(id(3), job(vec![step(1)]), 7, None);
    world.run_for(30_000);
    let decisions = world.scheduler.take_decisions();
    let given_up = decisions.iter().any(|decision| {
        matches!(decision, Decision::GivenUp { task, .. } if *task == bad)
    });
    assert!(given_up, "{:?}", world.crashes);
}

#[test]
fn tasks_that_may_have_copies_get_one_at_once() {
    let mut world = world();
    let spec = StepSpec { may_duplicate: true, ..step(4) };
    world.fate = Fate::done(60_000);
    // Several jobs, so that tasks stand in all halls.
    for number in 1..=6 {
        let job = job(vec![spec.clone()]);
        world.scheduler.submit(id(number), job, 6, None);
    }
    world.run_for(300);
    let lost: BTreeSet<WorkerId> =
        workers_in(&world, LOST_HALL).into_iter().collect();
    let there = world.starts.iter().filter(|(w, _)| lost.contains(w)).count();
    assert!(there > 0);
    world.starts.clear();
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    assert_eq!(state(&world), HallState::CutOff);
    assert_eq!(world.starts.len(), there, "one copy each");
    // The hall returns, and nothing more starts.
    world.unreachable.clear();
    world.run_for(2_000);
    assert_eq!(world.starts.len(), there);
}

// Guards against a copy that starts although its task's run is reached again.
#[test]
fn a_copy_that_found_no_room_is_withdrawn_when_the_hall_returns() {
    let mut world = world();
    fill(&mut world, StepSpec { may_duplicate: true, ..full() });
    world.starts.clear();
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    assert_eq!(state(&world), HallState::CutOff);
    world.unreachable.clear();
    world.run_for(1_500);
    let spare = WorkerListing {
        hall: "hall-1".to_owned(),
        ..crate::world::listing("w99")
    };
    world.workers.insert(
        spare.id.clone(),
        dewspar_standin::task_worker::TaskWorker::new(spare.capacity),
    );
    world.listings.push(spare);
    world.list();
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 0);
}

// Guards against a lost hall that halves the window of orders in flight.
#[test]
fn missing_answers_of_a_silent_hall_do_not_shrink_the_window() {
    let mut world = world();
    fill(&mut world, full());
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    let size = world.scheduler.window().size();
    world.run_for(10_000);
    assert_eq!(world.scheduler.window().size(), size);
    assert_eq!(world.scheduler.window().in_flight(), 0);
}

#[test]
fn a_hall_that_returns_takes_tasks_on_workers_that_answer() {
    let mut world = world();
    fill(&mut world, full());
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    world.unreachable.truncate(WORKERS - 2);
    world.run_for(1_500);
    assert_eq!(state(&world), HallState::Returning);
    world.unreachable.clear();
    world.run_for(4_000);
    assert_eq!(state(&world), HallState::Reachable);
    assert_eq!(world.running().len(), spec_count(), "all went on");
}

// Guards against a successor that treats the hall's workers one by one: it
// derives the state from its own first round of questions.
#[test]
fn a_successor_recognizes_a_cut_within_one_round_of_questions() {
    let mut world = world();
    fill(&mut world, full());
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    let accepted = world.stored.clone();
    world.scheduler = Scheduler::new(50, options());
    let progress = accepted.get(&id(1));
    world.scheduler.submit(id(1), job(vec![full()]), 6, progress);
    world.list();
    world.expect_all();
    assert_eq!(state(&world), HallState::Reachable, "nothing is known yet");
    world.starts.clear();
    world.run_for(1_000);
    assert_eq!(state(&world), HallState::CutOff);
    assert_eq!(world.starts.len(), 0, "the runs may go on there");
    let decisions = world.scheduler.take_decisions();
    assert_eq!(suspected(&decisions), 0);
    // The hall returns, and all of its runs are found.
    world.unreachable.clear();
    world.run_for(4_000);
    assert_eq!(state(&world), HallState::Reachable);
    assert_eq!(world.starts.len(), 0);
    assert_eq!(world.running().len(), spec_count());
}

// Guards against a hall that returns while a successor is taking over.
#[test]
fn a_hall_that_returns_during_a_takeover_is_reachable() {
    let mut world = world();
    fill(&mut world, full());
    cut(&mut world, LOST_HALL);
    world.run_for(600);
    world.scheduler = Scheduler::new(50, options());
    world.scheduler.submit(id(1), job(vec![full()]), 6, None);
    world.list();
    world.expect_all();
    world.round();
    world.unreachable.clear();
    world.starts.clear();
    world.run_for(4_000);
    assert_eq!(state(&world), HallState::Reachable);
    assert_eq!(world.starts.len(), 0, "all runs were found");
    assert_eq!(world.running().len(), spec_count());
}

#[test]
fn a_hall_that_answers_over_relays_takes_tasks() {
    let mut world = world();
    let now = at(world.now_ms);
    world.scheduler.note_hall_path(LOST_HALL, HallPath::Relayed, now);
    world.run_for(100);
    assert_eq!(state(&world), HallState::Indirect);
    assert!(state(&world).takes_tasks());
}

/// Returns the lease that the first start order grants, in milliseconds.
fn granted_lease_ms(options: Options) -> u64 {
    let mut world = world_with(options);
    let now = at(world.now_ms);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let actions = world.scheduler.plan(now);
    let lease = actions.iter().find_map(|action| match action {
        Action::Start { order, .. } => Some(order.lease_until_ms),
        _ => None,
    });
    lease.expect("a start") - now.steady_ms
}

// Guards against a lease that is longer than the one after which a successor
// considers all runs to be over.
#[test]
fn the_shorter_lease_is_granted_only_where_halls_may_be_lost() {
    assert_eq!(granted_lease_ms(Options::default()), 8_000);
    assert_eq!(granted_lease_ms(options()), 5_000);
    let mut policy = Policy::default();
    policy.watching.hall_lease_ms = 20_000;
    let longer = options().policy(policy.clone());
    assert_eq!(granted_lease_ms(longer), 8_000, "never longer");
    let off = Options::default().policy(policy);
    assert_eq!(granted_lease_ms(off), 8_000);
}

// Guards against a successor with the shorter lease that starts a task while
// its run may go on under the longer lease of a former holder.
#[test]
fn a_successor_waits_for_the_longest_lease_that_any_holder_grants() {
    let mut world = world_with(Options::default());
    fill(&mut world, full());
    cut(&mut world, LOST_HALL);
    world.scheduler = Scheduler::new(50, options());
    world.scheduler.submit(id(1), job(vec![full()]), 6, None);
    world.list();
    world.expect_all();
    world.starts.clear();
    // A former holder may go on for 8 s and then grant a last lease of 8 s.
    world.run_for(16_000);
    assert_eq!(world.starts.len(), 0);
}

/// Returns how the workers of a hall are looked up that returns with this many
/// new processes.
fn lookup_of(workers: usize, options: Options) -> WorkerLookup {
    let mut world = world_with(options);
    let mut vms = vms(&world, "");
    for number in 0..workers {
        let name = format!("new-{number}");
        let listing = crate::world::listing(&name);
        vms.push(managed(&listing));
    }
    let now = at(world.now_ms);
    world.scheduler.list_vms(now, now.steady_ms, &vms);
    world.scheduler.plan_lookups()
}

// Guards against hundreds of calls to the store when a hall returns.
#[test]
fn one_read_of_the_directory_serves_all_workers_of_a_hall_that_returns() {
    for workers in [125, 2_000] {
        assert_eq!(lookup_of(workers, options()), WorkerLookup::Together);
        let off = lookup_of(workers, Options::default());
        let WorkerLookup::Singly(ids) = off else { panic!("{off:?}") };
        assert_eq!(ids.len(), workers);
    }
    let few = lookup_of(8, options());
    assert!(matches!(few, WorkerLookup::Singly(ids) if ids.len() == 8));
}

// Guards against a burst of holds to all processes of a hall that returns.
#[test]
fn holds_to_new_processes_of_a_returning_hall_go_through_the_window() {
    for workers in [125, 2_000] {
        let mut world = world();
        let listings = world.listings.clone();
        let new = (0..workers).map(|n| WorkerListing {
            hall: LOST_HALL.to_owned(),
            ..crate::world::listing(&format!("new-{n}"))
        });
        let all: Vec<WorkerListing> =
            listings.into_iter().chain(new).collect();
        let now = at(world.now_ms);
        world.scheduler.list_workers(now, all);
        let room = world.scheduler.window().room();
        let actions = world.scheduler.plan(now);
        let holds = actions
            .iter()
            .filter(|action| matches!(action, Action::Hold { .. }))
            .count();
        assert!(holds <= room, "{holds} holds, room for {room}");
        assert!(holds >= workers.min(room) / 2, "{holds}");
    }
}

// Guards against a burst of holds to all workers of a hall that is reached
// again, and against as many calls while it isn't.
#[test]
fn workers_of_a_hall_that_returns_are_asked_one_after_the_other() {
    let workers = 125;
    let mut world = world_of(workers, options());
    world.fate = Fate::done(60_000);
    let tasks = step(3 * workers as u32 * 4);
    world.scheduler.submit(id(1), job(vec![tasks]), 6, None);
    world.run_for(1_500);
    cut(&mut world, LOST_HALL);
    world.run_for(1_000);
    assert_eq!(state(&world), HallState::CutOff);
    let cut_holds = holds_for(&mut world, 1_000);
    let asked: usize = cut_holds.iter().sum();
    assert!(asked <= 2 * workers, "{asked} in a second");
    world.unreachable.clear();
    let holds = holds_for(&mut world, 500);
    assert_ne!(state(&world), HallState::CutOff);
    let most = holds.iter().copied().max().unwrap_or(0);
    assert!(most <= workers / 4, "{holds:?}");
}

/// Returns the numbers of holds to the lost hall in each round of this time,
/// in milliseconds. A worker that answers is counted once: here it answers at
/// once instead of waiting for an end.
fn holds_for(world: &mut World, ms: u64) -> Vec<usize> {
    let hall: BTreeSet<WorkerId> =
        workers_in(world, LOST_HALL).into_iter().collect();
    let mut answered = BTreeSet::new();
    let mut counts = Vec::new();
    for _ in 0..ms / 25 {
        world.now_ms += 25;
        let now = at(world.now_ms);
        let mut holds = 0;
        for action in world.scheduler.plan(now) {
            if let Action::Hold { worker, .. } = &action
                && hall.contains(worker)
                && !answered.contains(worker)
            {
                holds += 1;
                if world.reach(worker).is_some() {
                    answered.insert(worker.clone());
                }
            }
            world.carry_out(action, now);
        }
        counts.push(holds);
    }
    counts
}
