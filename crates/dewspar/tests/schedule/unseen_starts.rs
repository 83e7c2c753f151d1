//! Starts of which no holder saw how they ended, since it was lost before.
//!
//! A task crashed the worker that started it, its holder was lost before it
//! knew, and the worker's entry had lapsed before the next holder first read the
//! directory. So that one found no worker lost, and nothing on record of the
//! start: 400 starts in 120 s, and of two sound jobs beside it none was ever
//! done.
//!
//! Where a new holder did find a worker lost before it had named its runs, all
//! that waited in its pool waited until that was on record, tasks that are to
//! last among it, also where the worker's VM had merely been moved: 1.2 to 2 s
//! at the size of a large site.

use {
    crate::{
        crashing::{MAX_STARTS, first_task, starts_of},
        world::{World, at, id, job, managed, step},
    },
    dewspar::{
        job::JobId,
        schedule::{OrderIssuer, OrderedVms, VmStatus, WorkerListing},
    },
    dewspar_standin::task_worker::Fate,
};

/// Takes over with nothing left of the workers that have crashed, and goes on
/// with what is stored of each job.
fn take_over_without_entries(
    world: &mut World,
    revision: u64,
    jobs: &[JobId],
) {
    let workers = &world.workers;
    let lives = |worker: &WorkerListing| workers.contains_key(&worker.id);
    world.listings.retain(lives);
    world.take_over(revision);
    for number in jobs {
        let progress = world.stored.get(number).cloned();
        let accepted = job(vec![step(1)]);
        world.scheduler.submit(*number, accepted, 6, progress.as_ref());
    }
    world.list();
    world.expect_all();
}

/// Takes over while the entries of the workers that have crashed are still there.
fn take_over_with_entries(world: &mut World, revision: u64, jobs: &[JobId]) {
    world.take_over(revision);
    for number in jobs {
        let progress = world.stored.get(number).cloned();
        let accepted = job(vec![step(1)]);
        world.scheduler.submit(*number, accepted, 6, progress.as_ref());
    }
    world.list();
    world.expect_all();
}

#[test]
fn starts_without_a_record_are_bounded() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(5, &names);
    world.list();
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
            world.run_for(50);
        }
        revision += 2;
        take_over_without_entries(&mut world, revision, &jobs);
    }
    let starts = starts_of(&world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.phases[&id(1)], "failed");
    for sound in [id(2), id(3)] {
        assert_eq!(world.phases[&sound], "completed", "{sound}");
    }
}

/// Holder after holder is lost just after it has ordered a sound task's start,
/// and no such order arrives: the workers live on and never had the task.
#[test]
fn a_sound_task_whose_orders_never_arrive_is_not_given_up() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.expect_all();
    world.loses_starts = true;
    let jobs = [id(1)];
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    for revision in (8..40).step_by(2) {
        let starts = world.starts.len();
        while world.starts.len() == starts {
            world.run_for(50);
        }
        take_over_without_entries(&mut world, revision, &jobs);
    }
    world.loses_starts = false;
    world.run_for(60_000);
    assert_eq!(world.phases[&id(1)], "completed");
}

/// Holder after holder is lost while a sound task runs, and finds it where it
/// was: none of these starts came to nothing.
#[test]
fn a_sound_task_that_each_holder_finds_running_is_not_given_up() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.expect_all();
    world.fate = Fate::done(20_000);
    let jobs = [id(1)];
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    for revision in (8..40).step_by(2) {
        world.run_for(300);
        take_over_without_entries(&mut world, revision, &jobs);
    }
    world.run_for(60_000);
    assert_eq!(starts_of(&world, &first_task(id(1))), 1);
    assert_eq!(world.phases[&id(1)], "completed");
}

/// Hands over with a job that waits and with a worker that doesn't answer, and
/// lets the store be out of reach, so that nothing can be put on record.
fn hand_over_with_a_silent_worker() -> World {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    let silent = world.listings[0].clone();
    world.take_over(8);
    world.outage = true;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.list();
    world.expect_all();
    world.cut.push(silent.id);
    world.run_for(100);
    world
}

/// Shows the list of VMs, in which the first one does this.
fn show_first_vm_as(world: &mut World, life: VmStatus) {
    let mut vms: Vec<_> = world.listings.iter().map(managed).collect();
    vms[0].status = life;
    vms[0].worker = None;
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
}

/// Its former holder had emptied it before it ordered that.
#[test]
fn a_worker_whose_vm_was_moved_has_not_crashed() {
    for life in [VmStatus::Moving, VmStatus::Maintenance] {
        let mut world = hand_over_with_a_silent_worker();
        show_first_vm_as(&mut world, life);
        world.run_for(200);
        assert_eq!(starts_of(&world, &first_task(id(1))), 1, "{life:?}");
    }
}

/// The same where the VM is back already: that its change was ordered is on
/// record.
#[test]
fn a_worker_whose_vm_was_ordered_to_change_has_not_crashed() {
    let mut world = hand_over_with_a_silent_worker();
    let ordered = r#"[{"by":{"node":"n1","incarnation":1},
        "ages_ms":{"vm-of-w1":200}}]"#;
    // OK because it is as a holder writes it.
    let ordered: OrderedVms = serde_json::from_str(ordered).unwrap();
    let holder = OrderIssuer { node: "n2".to_owned(), incarnation: 1 };
    let now = at(world.now_ms);
    world.scheduler.hold_off_vm_orders(now, &holder, Some(ordered));
    show_first_vm_as(&mut world, VmStatus::Up);
    world.run_for(200);
    assert_eq!(starts_of(&world, &first_task(id(1))), 1);
}

/// A VM that is down may be so for a crash under a start of the former holder.
#[test]
fn a_worker_whose_vm_is_down_may_have_crashed() {
    let mut world = hand_over_with_a_silent_worker();
    show_first_vm_as(&mut world, VmStatus::Down);
    world.run_for(1_000);
    assert_eq!(starts_of(&world, &first_task(id(1))), 0);
    world.outage = false;
    world.run_for(200);
    assert_eq!(starts_of(&world, &first_task(id(1))), 1);
}

/// What waits for the store before it starts is written before the rest, and in
/// the order in which it is to start.
#[test]
fn jobs_are_stored_in_the_order_of_their_starts() {
    let mut world = hand_over_with_a_silent_worker();
    show_first_vm_as(&mut world, VmStatus::Down);
    for (number, priority) in [(2, 9), (3, 2), (4, 5)] {
        let mut accepted = job(vec![step(1)]);
        accepted.terms.priority = priority;
        world.scheduler.submit(id(number), accepted, 6, None);
    }
    world.run_for(100);
    let stored = |world: &mut World| {
        let changes = world.scheduler.take_changes(1);
        changes.progress.first().map(|(id, _)| *id)
    };
    let order: Vec<_> = (0..4).map(|_| stored(&mut world)).collect();
    let expected = [1, 3, 4, 2].map(|number| Some(id(number)));
    assert_eq!(order, expected);
}

/// Lets the worker crash that is told to start something next.
fn crash_next_start(world: &mut World) {
    let starts = world.starts.len();
    while world.starts.len() == starts {
        world.run_for(50);
    }
    let (worker, _) = &world.starts[starts];
    let here = |listing: &&WorkerListing| listing.id == *worker;
    let vm = world.listings.iter().find(here).map(|l| l.vm.clone());
    world.crash_vm(&vm.expect("OK because it was listed to be told"));
}

/// A sound task that was lost twice waits for its third start under holders that
/// can't reach any worker. Each of them announced that start, so that five seemed
/// to have been when it was lost a third time.
#[test]
fn a_start_that_was_announced_and_never_ordered_does_not_count() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(5, &names);
    world.told_after_ms = Some(100);
    world.list();
    world.expect_all();
    let jobs = [id(1)];
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    crash_next_start(&mut world);
    crash_next_start(&mut world);
    world.cut = world.listings.iter().map(|w| w.id.clone()).collect();
    world.run_for(200);
    for revision in [8, 10, 12, 14] {
        take_over_without_entries(&mut world, revision, &jobs);
        world.run_for(200);
    }
    world.cut.clear();
    crash_next_start(&mut world);
    world.run_for(60_000);
    assert_eq!(world.phases[&id(1)], "completed");
}

/// A holder whose store was out of reach started a task twice, and nothing of that
/// was on record. Its successor found two workers lost and counted one start: 6 in
/// all.
///
/// ```text
/// started again: 00000000000000c8.0.0.0, 6 crashes
/// ```
#[test]
fn two_workers_lost_before_they_answered_may_be_two_starts() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(5, &names);
    world.told_after_ms = Some(100);
    world.list();
    world.expect_all();
    let bad = first_task(id(1));
    world.crashing.push(bad);
    world.outage = true;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    while world.crashes < 2 {
        world.run_for(50);
    }
    world.take_over(8);
    world.outage = false;
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.list();
    world.expect_all();
    world.run_for(60_000);
    let starts = starts_of(&world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.phases[&id(1)], "failed");
}

/// Runs a bad job and two sound ones under holders each of which is lost right
/// after it has ordered a start, before it could store that; lets the next one
/// take over in this manner.
fn lose_each_holder_after_a_start(next: fn(&mut World, u64, &[JobId])) {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut world = World::new(5, &names);
    world.list();
    world.expect_all();
    world.lost_with_starts = true;
    let bad = first_task(id(1));
    world.crashing.push(bad);
    let jobs = [id(1), id(2), id(3)];
    for number in jobs {
        world.scheduler.submit(number, job(vec![step(1)]), 6, None);
    }
    let mut revision = 6;
    let end_ms = world.now_ms + 60_000;
    while world.now_ms < end_ms {
        let starts = world.starts.len();
        while world.starts.len() == starts && world.now_ms < end_ms {
            world.run_for(50);
        }
        revision += 2;
        next(&mut world, revision, &jobs);
    }
    let starts = starts_of(&world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(world.phases[&id(1)], "failed");
    for sound in [id(2), id(3)] {
        assert_eq!(world.phases[&sound], "completed", "{sound}");
    }
}

/// A start was put on record as it was ordered. A holder that was killed at once
/// left no record of it, and the entry of the worker that had crashed under it was
/// gone before the next holder looked: 179 starts of one task in 60 s.
#[test]
fn a_start_is_on_record_before_its_holder_is_lost() {
    lose_each_holder_after_a_start(take_over_without_entries);
}

/// Where the crashed worker's entry is still there, the next start was announced,
/// and after that the worker that was told was written as it was ordered: an
/// announcement alone counted as no start, and holder after holder went on from
/// the same one: 30 starts in 60 s.
#[test]
fn an_announced_start_counts_after_its_holder_is_lost() {
    lose_each_holder_after_a_start(take_over_with_entries);
}
