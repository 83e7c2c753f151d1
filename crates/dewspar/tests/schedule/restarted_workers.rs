//! Workers whose processes restart under the same identifiers.

use {
    crate::{
        crashing::{MAX_STARTS, first_task, starts_of},
        task_moves::plan_round,
        world::{RunKind, World, at, id, job, managed, next_hold, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{
            Action, Decision, HoldReport, Incarnation, OrderError, Resources,
            SentHold, StartOrder, WorkerId,
        },
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeMap,
};

/// The maximum time until a task runs again once its worker is back, in
/// milliseconds: a hold, a hold under a new token, a start, and the pauses
/// between them.
const RERUN_WITHIN_MS: u64 = 1_000;

/// How often the directory is read, in milliseconds.
const DIRECTORY_MS: u64 = 1_000;

/// The maximum time until a process is used whose reported start is earlier
/// than that of the previous one, in milliseconds: the longest lease, on a
/// slow clock, and a margin.
const EARLIER_USED_WITHIN_MS: u64 = 12_000;

fn w(name: &str) -> WorkerId {
    WorkerId::new(name)
}

fn long_step(count: u32) -> StepSpec {
    StepSpec { long_running: true, ..step(count) }
}

fn restarting(names: &[&str]) -> World {
    let mut world = World::new(5, names);
    world.assign_incarnations();
    world.list();
    world.expect_all();
    world
}

/// Runs for this long, reading the directory periodically.
fn run_reading_directory(world: &mut World, ms: u64) {
    let end_ms = world.now_ms + ms;
    while world.now_ms < end_ms {
        world.run_for(50);
        if world.now_ms.is_multiple_of(DIRECTORY_MS) {
            world.list();
        }
    }
}

/// Cuts a worker off for this long, then starts it again.
fn cut_and_start_again(world: &mut World, name: &str, away_ms: u64) {
    world.unreachable.push(w(name));
    world.workers.remove(&w(name));
    world.run_for(away_ms);
    world.unreachable.clear();
    world.restart_worker(&w(name));
}

/// Runs until a task is running; returns how long that took, in milliseconds.
fn runs_after_ms(world: &mut World, task: &str, most_ms: u64) -> u64 {
    let from_ms = world.now_ms;
    while !world.running().iter().any(|running| running == task) {
        assert!(world.now_ms < from_ms + most_ms, "no work in {most_ms} ms");
        world.run_for(50);
    }
    world.now_ms - from_ms
}

// Guards against taking a new process's answers for old ones of the former
// process.
#[test]
fn a_long_running_task_runs_again_soon_after_its_worker_restarted() {
    for up_ms in [3_000, 12_000, 30_000, 120_000] {
        for away_ms in [0, 500, 2_000, 8_000] {
            let mut world = restarting(&["w1"]);
            world.fate = Fate::endless();
            world.scheduler.submit(id(1), job(vec![long_step(1)]), 6, None);
            world.run_for(up_ms);
            cut_and_start_again(&mut world, "w1", away_ms);
            let task = first_task(id(1)).to_string();
            let after_ms = runs_after_ms(&mut world, &task, 2 * up_ms);
            assert!(
                after_ms <= RERUN_WITHIN_MS,
                "up for {up_ms} ms, away for {away_ms} ms: {after_ms} ms"
            );
        }
    }
}

// Guards against ignoring ends because the former process had used the same
// numbers.
#[test]
fn tasks_done_by_a_restarted_worker_are_not_done_again() {
    let mut world = restarting(&["w1"]);
    world.scheduler.submit(id(1), job(vec![step(40)]), 6, None);
    world.run_for(15_000);
    assert_eq!(world.starts.len(), 40);
    cut_and_start_again(&mut world, "w1", 500);
    let from_ms = world.now_ms;
    for number in 2..=31 {
        world.scheduler.submit(id(number), job(vec![step(1)]), 7, None);
    }
    world.run_for(15_000);
    assert_eq!(world.starts.len(), 70);
    for number in 2..=31 {
        assert_eq!(world.phases[&id(number)], "completed", "{number}");
    }
    assert!(world.now_ms >= from_ms);
}

// Guards against ignoring the failures of a new process, so that the job is
// tried without end.
#[test]
fn failures_on_a_restarted_worker_count() {
    let mut world = restarting(&["w1", "w2"]);
    world.scheduler.submit(id(1), job(vec![step(40)]), 6, None);
    world.run_for(15_000);
    for name in ["w1", "w2"] {
        cut_and_start_again(&mut world, name, 200);
    }
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.run_for(20_000);
    assert_eq!(starts_of(&world, &first_task(id(2))), 3);
    assert_eq!(world.phases[&id(2)], "failed");
}

// Guards against an identifier that can't be used again once its process had
// ended.
#[test]
fn a_worker_known_to_have_ended_is_used_again_under_its_identifier() {
    let mut world = restarting(&["w1"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![long_step(1)]), 6, None);
    run_reading_directory(&mut world, 5_000);
    world.unreachable.push(w("w1"));
    world.workers.remove(&w("w1"));
    world.run_for(2_000);
    let reason = "the VM service says that it ended";
    world.scheduler.worker_gone(&w("w1"), reason, at(world.now_ms));
    // The former process's entry remains for a while.
    run_reading_directory(&mut world, 2_000);
    world.unreachable.clear();
    world.restart_worker(&w("w1"));
    world.list();
    let task = first_task(id(1)).to_string();
    let after_ms = runs_after_ms(&mut world, &task, 10_000);
    assert!(after_ms <= RERUN_WITHIN_MS, "{after_ms} ms");
}

// Guards against a worker that is taken for ended once and never used again,
// although its VM still runs it.
#[test]
fn a_worker_that_a_later_list_of_vms_shows_is_used_again() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(500);
    let reason = "another worker answers at its address";
    world.scheduler.worker_gone(&w("w1"), reason, at(world.now_ms));
    run_reading_directory(&mut world, 1_000);
    let vms: Vec<_> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    world.scheduler.submit(id(2), job(vec![step(1)]), 6, None);
    run_reading_directory(&mut world, 2_000);
    assert_eq!(starts_of(&world, &first_task(id(2))), 1);
    assert_eq!(world.running().len(), 2);
}

/// A worker that has ended delays no task, although a late list of VMs and an
/// old entry show it for a while.
#[test]
fn an_ended_worker_that_a_late_list_of_vms_shows_delays_no_task() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(500);
    world.workers.remove(&w("w1"));
    let reason = "another worker answers at its address";
    world.scheduler.worker_gone(&w("w1"), reason, at(world.now_ms));
    world.run_for(500);
    for _ in 0..3 {
        let vms: Vec<_> = world.listings.iter().map(managed).collect();
        world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
        world.list();
        world.run_for(500);
    }
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    assert_eq!(world.running().len(), 1);
    world.listings.retain(|listing| listing.id != w("w1"));
    let vms: Vec<_> = world.listings.iter().map(managed).collect();
    world.scheduler.take_decisions();
    world.run_for(50);
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    let decisions = world.scheduler.take_decisions();
    let gone = |d: &Decision| matches!(d, Decision::WorkerGone { .. });
    let suspected = |d: &Decision| matches!(d, Decision::Suspected { .. });
    assert!(decisions.iter().any(gone), "{decisions:?}");
    assert!(!decisions.iter().any(suspected), "{decisions:?}");
}

/// A list of VMs that was requested before a worker's end doesn't bring it
/// back.
#[test]
fn a_worker_is_not_used_again_by_an_older_list_of_vms() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(500);
    let asked_ms = world.now_ms - 50;
    world.workers.remove(&w("w1"));
    let reason = "another worker answers at its address";
    world.scheduler.worker_gone(&w("w1"), reason, at(world.now_ms));
    let vms: Vec<_> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), asked_ms, &vms);
    world.list();
    let actions = world.scheduler.plan(at(world.now_ms + 50));
    let to_ended = |action: &Action| matches!(action, Action::Hold { worker, .. } if *worker == w("w1"));
    assert!(!actions.iter().any(to_ended), "{actions:?}");
}

// Guards against a task that crashes each process of a worker without being
// suspected.
#[test]
fn a_task_that_crashes_restarted_workers_is_given_up() {
    let mut world = restarting(&["w1", "w2", "w3", "w4"]);
    world.keeps_worker_ids = true;
    let bad = first_task(id(1));
    world.crashing.push(bad);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    run_reading_directory(&mut world, 60_000);
    assert_eq!(world.phases.get(&id(1)), Some(&"failed"));
    let starts = starts_of(&world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
}

// Guards against counting a crash more than once if the directory entry, an
// answer and the VM list all report it.
#[test]
fn a_restart_that_several_sources_report_counts_once() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    let on = world.starts[0].0.clone();
    world.restart_worker(&on);
    world.list();
    world.run_for(300);
    world.list();
    world.run_for(300);
    let decisions = world.scheduler.take_decisions();
    let suspected = decisions.iter().filter_map(|d| match d {
        Decision::Suspected { crashes, .. } => Some(*crashes),
        _ => None,
    });
    assert_eq!(suspected.collect::<Vec<_>>(), [1]);
}

// Guards against ignoring a new process that only the directory entry reports.
#[test]
fn an_entry_of_a_new_process_ends_the_former_runs() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![long_step(1)]), 6, None);
    world.run_for(5_000);
    let on = world.starts[0].0.clone();
    world.unreachable.push(on.clone());
    world.restart_worker(&on);
    world.list();
    let task = first_task(id(1)).to_string();
    let after_ms = runs_after_ms(&mut world, &task, 30_000);
    assert!(after_ms <= RERUN_WITHIN_MS, "{after_ms} ms");
    assert_eq!(world.starts.len(), 2);
    assert_ne!(world.starts[1].0, on);
}

/// Loses a start in transit; returns it, with the worker to which it was sent.
fn unanswered_start(world: &mut World) -> (WorkerId, StartOrder) {
    world.fate = Fate::endless();
    world.drops_starts = true;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    while world.starts.is_empty() {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
    }
    world.drops_starts = false;
    world.starts[0].clone()
}

/// Carries out a start that was sent to a former process.
fn deliver(world: &mut World, id: &WorkerId, order: &StartOrder) -> bool {
    let clock = world.clock_of(id);
    let demand = Resources { cpu_millis: 1_000, ..Resources::default() };
    // OK because the worker was just started.
    let worker = world.workers.get_mut(id).expect("started");
    worker.start(clock, order, demand, Fate::endless()).is_ok()
}

fn assert_none_twice(world: &mut World) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for task in world.running() {
        *runs.entry(task).or_default() += 1;
    }
    for (task, count) in runs {
        assert!(count <= 1, "{task} runs {count} times at once");
    }
}

// Guards against starting the task elsewhere while its order can still be
// carried out.
#[test]
fn a_late_start_on_a_new_process_doesnt_run_beside_another() {
    for late_ms in [0, 50, 150, 300, 600, 1_500] {
        for is_listed in [false, true] {
            let mut world = restarting(&["w1", "w2"]);
            world.run_for(1_000);
            let (on, order) = unanswered_start(&mut world);
            world.restart_worker(&on);
            if is_listed {
                world.list();
            }
            world.run_for(late_ms);
            deliver(&mut world, &on, &order);
            for _ in 0..100 {
                world.run_for(50);
                assert_none_twice(&mut world);
            }
            let task = first_task(id(1)).to_string();
            assert_eq!(world.running(), [task], "after {late_ms} ms");
        }
    }
}

// Guards against a late report of a former process that brings its runs back.
#[test]
fn a_late_answer_of_a_former_process_is_passed_over() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![long_step(1)]), 6, None);
    world.run_for(3_000);
    let on = world.starts[0].0.clone();
    let held = next_hold(&mut world, &on);
    let clock = world.clock_of(&on);
    let former = world.workers.get_mut(&on).expect("known");
    let report = former.hold(clock, held.order()).expect("answers");
    let entries = world.listings.clone();
    world.restart_worker(&on);
    world.list();
    world.run_for(500);
    let runs = world.running();
    let now = at(world.now_ms);
    world.scheduler.hold_answered(&on, &held, &report, now);
    world.scheduler.hold_failed(&on, &held, OrderError::Unknown, now);
    world.run_for(2_000);
    assert_eq!(world.running(), runs);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
    // An older entry doesn't bring the former process back either.
    world.scheduler.list_workers(at(world.now_ms), entries);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 2, "{:?}", world.starts);
}

// Guards against a recorded start that counts for nothing because its worker
// has restarted since.
#[test]
fn a_start_on_record_is_lost_with_the_process_that_was_told() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = restarting(&names);
    world.keeps_worker_ids = true;
    let bad = first_task(id(1));
    world.crashing.push(bad);
    let jobs = [id(1), id(2), id(3)];
    for number in jobs {
        world.scheduler.submit(number, job(vec![step(1)]), 6, None);
    }
    let mut revision = 6;
    let end_ms = world.now_ms + 120_000;
    while world.now_ms < end_ms {
        let crashes = world.crashes;
        while world.crashes == crashes && world.now_ms < end_ms {
            run_reading_directory(&mut world, 50);
        }
        // This holder is lost before it has loaded any job; meanwhile the
        // worker comes back.
        world.take_over(revision + 2);
        world.run_for(2_100);
        revision += 4;
        world.take_over(revision);
        for number in jobs {
            let progress = world.stored.get(&number).cloned();
            let accepted = job(vec![step(1)]);
            let known = progress.as_ref();
            world.scheduler.submit(number, accepted, 6, known);
        }
        world.list();
        world.expect_all();
    }
    let starts = starts_of(&world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.phases.get(&id(1)), Some(&"failed"));
    for sound in [id(2), id(3)] {
        assert_eq!(world.phases[&sound], "completed", "{sound}");
    }
}

// Guards against a crash that the next holder counts again because the record
// still names the process that had ended.
#[test]
fn a_crash_that_was_counted_is_not_counted_by_the_next_holder() {
    let mut world = restarting(&["w1"]);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.drops_starts = true;
    for crashes in 1..=2 {
        let starts = world.starts.len();
        while world.starts.len() == starts {
            world.run_for(50);
        }
        // The holder doesn't learn that the order never arrived.
        world.unreachable.push(w("w1"));
        world.restart_worker(&w("w1"));
        world.list();
        world.run_for(50);
        assert_eq!(world.stored[&id(1)].tasks[0].crashes, crashes);
        if crashes < 2 {
            world.unreachable.clear();
        }
    }
    let progress = world.stored[&id(1)].clone();
    world.take_over(8);
    let accepted = job(vec![step(1)]);
    world.scheduler.submit(id(1), accepted, 6, Some(&progress));
    world.unreachable.clear();
    world.list();
    world.expect_all();
    world.run_for(100);
    assert_eq!(world.stored[&id(1)].tasks[0].crashes, 2);
}

// An entry or an answer that names no process, or an earlier one, changes
// nothing.
#[test]
fn an_unnamed_or_earlier_process_changes_nothing() {
    let mut world = restarting(&["w1", "w2"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![long_step(2)]), 6, None);
    run_reading_directory(&mut world, 3_000);
    let starts = world.starts.len();
    let on = world.starts[0].0.clone();
    let earlier = Incarnation::started_at(1);
    for told in [Incarnation::UNKNOWN, earlier] {
        let mut entries = world.listings.clone();
        for entry in &mut entries {
            entry.incarnation = told;
            entry.draining = true;
        }
        world.scheduler.list_workers(at(world.now_ms), entries);
        let held = next_hold(&mut world, &on);
        let clock_ms = world.clock_of(&on);
        let report =
            HoldReport { incarnation: told, clock_ms, ..Default::default() };
        let now = at(world.now_ms);
        world.scheduler.hold_answered(&on, &held, &report, now);
        run_reading_directory(&mut world, 3_000);
        assert_eq!(world.running().len(), 2, "{told}");
        assert_eq!(world.starts.len(), starts, "{told}");
    }
}

// The VM's wall clock was set back before its worker restarted.
#[test]
fn a_process_with_an_earlier_start_time_is_used_eventually() {
    let mut world = restarting(&["w1"]);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![long_step(1)]), 6, None);
    run_reading_directory(&mut world, 3_000);
    world.restart_worker_as(&w("w1"), Incarnation::started_at(1));
    let task = first_task(id(1)).to_string();
    let end_ms = world.now_ms + EARLIER_USED_WITHIN_MS;
    while world.now_ms < end_ms && !world.running().contains(&task) {
        run_reading_directory(&mut world, 50);
    }
    assert_eq!(world.running(), [task]);
}

// Guards against waiting for an unreachable restarted worker as if it might
// run a previous holder's tasks.
#[test]
fn inherited_tasks_dont_wait_for_a_restarted_worker() {
    let mut world = restarting(&["w1", "w2"]);
    world.run_for(500);
    world.unreachable.push(w("w1"));
    world.restart_worker(&w("w1"));
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    let task = first_task(id(1)).to_string();
    let after_ms = runs_after_ms(&mut world, &task, 20_000);
    assert!(after_ms <= RERUN_WITHIN_MS, "{after_ms} ms");
}

// Guards against short tasks that take the place of a task that is being
// stopped to take that place.
#[test]
fn a_reservation_survives_a_worker_restart() {
    let mut world = restarting(&["w1", "w2"]);
    world.stop_duration_ms = 900;
    world.fate = Fate::endless();
    let large =
        StepSpec { cpu_millis: 3_000, max_unavailable: 1, ..long_step(1) };
    let demand = Resources { cpu_millis: 3_000, ..Resources::default() };
    let kind = RunKind { demand, fate: Fate::endless() };
    world.kinds.insert(id(1), kind);
    world.scheduler.submit(id(1), job(vec![large]), 6, None);
    // Later than any stop that a previous holder may have ordered.
    world.run_for(3_500);
    let from = world.starts[0].0.clone();
    let to = if from == w("w1") { w("w2") } else { w("w1") };
    for listing in &mut world.listings {
        listing.draining = listing.id == from;
        listing.remaining_ms = Some(6_000);
    }
    world.list();
    for _ in 0..4 {
        plan_round(&mut world);
    }
    world.restart_worker(&to);
    world.list();
    for number in 2..=5 {
        world.scheduler.submit(id(number), job(vec![step(1)]), 7, None);
    }
    world.run_for(1_500);
    let last = world.starts.iter().rfind(|(_, order)| order.task.job == id(1));
    let (on, order) = last.expect("a start");
    assert_eq!((on, order.run), (&to, 2), "{:?}", world.starts);
}

// Guards against an acknowledgement for the former process that makes the next
// one forget its ends.
#[test]
fn ends_are_received_before_they_are_acknowledged() {
    let mut world = restarting(&["w1"]);
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(3_000);
    world.restart_worker(&w("w1"));
    // It is done when the first hold reaches the new process.
    world.fate = Fate::done(0);
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.run_for(3_000);
    assert_eq!(starts_of(&world, &first_task(id(2))), 1);
    assert_eq!(world.phases[&id(2)], "completed");
}

/// Sends a hold to a worker some of whose ends are acknowledged, and restarts
/// the worker before the hold arrives; the directory lists the new process.
fn hold_for_former_process(world: &mut World) -> SentHold {
    world.scheduler.submit(id(1), job(vec![step(4)]), 6, None);
    world.run_for(3_000);
    world.fate = Fate::endless();
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    world.run_for(1_000);
    let held = next_hold(world, &w("w1"));
    world.restart_worker(&w("w1"));
    world.list();
    world.fate = Fate::done(100);
    held
}

// Guards against applying the former process's acknowledgements to the next
// one.
#[test]
fn ends_of_a_restarted_worker_are_acknowledged() {
    let mut world = restarting(&["w1"]);
    let held = hold_for_former_process(&mut world);
    let next = world.workers.get_mut(&w("w1")).expect("started");
    let report = next.hold(0, held.order()).expect("an answer");
    let now = at(world.now_ms);
    world.scheduler.hold_answered(&w("w1"), &held, &report, now);
    world.run_for(3_000);
    assert_eq!(world.phases[&id(2)], "completed");
    assert_eq!(world.workers[&w("w1")].ended(), []);
}

// Guards against counting the new process as silent because holds of the
// former one failed.
#[test]
fn failed_holds_of_a_former_process_dont_count_for_the_next() {
    let mut world = restarting(&["w1"]);
    let held = hold_for_former_process(&mut world);
    world.run_for(1_000);
    let now = at(world.now_ms);
    for _ in 0..2 {
        let lost = OrderError::Unknown;
        world.scheduler.hold_failed(&w("w1"), &held, lost, now);
    }
    let starts = world.starts.len();
    world.scheduler.submit(id(3), job(vec![step(1)]), 8, None);
    world.run_for(50);
    assert_eq!(world.starts.len(), starts + 1);
}
