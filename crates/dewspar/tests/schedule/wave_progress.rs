//! What is told of a wave while it goes on: what keeps each VM that is left.

use {
    crate::{
        waves::{maintain_for_a_while, request_wave, world_with_wave},
        world::{World, at, id, job, managed, step},
    },
    dewspar::schedule::{
        Decision, ManagedVm, RemainingVms, VmStatus, WaveDeadline,
        WaveProgress, WorkerId,
    },
    dewspar_standin::task_worker::Fate,
};

fn accounts(world: &mut World) -> Vec<WaveProgress> {
    let decisions = world.scheduler.take_decisions();
    let accounts = decisions.into_iter().filter_map(|d| match d {
        Decision::WaveProgress { progress: account, .. } => Some(account),
        _ => None,
    });
    accounts.collect()
}

/// Looks at a wave once and returns what is told.
fn account(world: &mut World) -> Option<WaveProgress> {
    world.scheduler.take_decisions();
    world.scheduler.plan_vms(at(world.now_ms));
    accounts(world).pop()
}

/// Lets time pass, after which the VM service tells of its VMs, changed so.
fn pass(world: &mut World, ms: u64, change: impl Fn(&mut Vec<ManagedVm>)) {
    world.run_for(ms);
    let mut vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    change(&mut vms);
    let asked_ms = world.now_ms;
    world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
}

fn idle_world() -> World {
    world_without(&[])
}

/// Makes a world in which a wave begins and these workers don't answer.
fn world_without(cut: &[&str]) -> World {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4", "w5"]);
    world.cut.extend(cut.iter().map(|name| WorkerId::new(name)));
    world.list();
    world.expect_all();
    world.run_for(500);
    request_wave(&mut world);
    world
}

#[test]
fn a_wave_is_told_of_once_a_second_and_once_when_its_time_is_over() {
    let mut world = idle_world();
    let begin = world.now_ms;
    let mut told = Vec::new();
    // Nothing is answered, so that nothing is ever done.
    while world.now_ms < begin + 21_000 {
        world.scheduler.plan_vms(at(world.now_ms));
        let times = accounts(&mut world).into_iter().map(|a| a.time);
        told.extend(times);
        pass(&mut world, 50, |_| {});
    }
    let count = |time| told.iter().filter(|told| **told == time).count();
    assert_eq!(count(WaveDeadline::Ahead), 10);
    assert_eq!(count(WaveDeadline::Passed), 1);
    assert_eq!(count(WaveDeadline::LongPassed), 1);
}

#[test]
fn each_vm_that_is_left_is_counted_once() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let mut told = Vec::new();
    for _ in 0..400 {
        maintain_for_a_while(&mut world);
        told.extend(accounts(&mut world));
    }
    assert!(told.len() > 2);
    for account in told {
        assert_eq!(account.begun + account.left.total(), account.vms);
    }
}

#[test]
fn vms_that_are_not_to_be_chosen_yet_wait_for_those_under_way() {
    let mut world = idle_world();
    world.fate = Fate::endless();
    for number in 1..=5 {
        let full = job(vec![step(4)]);
        world.scheduler.submit(id(number), full, 6, None);
    }
    pass(&mut world, 200, |_| {});
    account(&mut world);
    pass(&mut world, 1_000, |_| {});
    let told = account(&mut world).expect("it is due");
    let most = told.pace.parallel;
    assert_eq!(told.pace.under_way, 1, "one more a look");
    let unchosen =
        RemainingVms { short: 1, next: 4, ..RemainingVms::default() };
    assert_eq!(told.left, unchosen);
    for _ in 0..20 {
        world.scheduler.plan_vms(at(world.now_ms));
        pass(&mut world, 50, |_| {});
    }
    let told = account(&mut world).expect("it is due");
    let chosen = RemainingVms {
        short: told.pace.under_way,
        parallel: 5 - told.pace.under_way,
        ..RemainingVms::default()
    };
    assert_eq!(told.left, chosen);
    assert!(told.pace.parallel >= most);
}

#[test]
fn a_run_that_is_to_last_keeps_its_vm_while_its_step_can_spare_none() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    // The only worker without a task of the step is gone.
    let busy: Vec<WorkerId> =
        world.starts.iter().map(|(worker, _)| worker.clone()).collect();
    let idle = world.listings.iter().find(|l| !busy.contains(&l.id));
    let idle = idle.expect("one of five is idle").id.clone();
    let now = at(world.now_ms);
    world.scheduler.worker_gone(&idle, "test", now);
    world.listings.retain(|listing| listing.id != idle);
    for _ in 0..80 {
        world.scheduler.plan_vms(at(world.now_ms));
        pass(&mut world, 50, |_| {});
    }
    let told = account(&mut world).expect("it is due");
    assert!(told.left.place > 0, "{told:?}");
}

#[test]
fn vms_that_cannot_be_maintained_are_told_apart() {
    let mut world = world_without(&["w1"]);
    pass(&mut world, 50, |vms| {
        vms[1].status = VmStatus::Moving;
        vms[2].status = VmStatus::Down;
        vms.remove(3);
    });
    world.scheduler.worker_gone(
        &WorkerId::new("w2"),
        "test",
        at(world.now_ms),
    );
    let told = account(&mut world).expect("it is due");
    assert_eq!(told.left.silent, 1, "{told:?}");
    assert_eq!(told.left.moving, 1, "{told:?}");
    assert_eq!(told.left.down, 1, "{told:?}");
    assert_eq!(told.left.unlisted, 1, "{told:?}");
}

#[test]
fn it_is_told_why_nothing_is_ordered_of_the_vm_service() {
    let mut world = idle_world();
    world.run_for(4_000);
    let told = account(&mut world).expect("it is due");
    assert_eq!(told.blocker, Some("the list of VMs is outdated"));
}
