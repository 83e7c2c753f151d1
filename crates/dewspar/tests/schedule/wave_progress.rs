//! The reports on waves in progress, and what blocks their remaining VMs.

use {
    crate::{
        waves::{maintain_for_50_ms, request_wave, world_with_wave},
        world::{World, at, id, job, managed, step},
    },
    dewspar::schedule::{
        Decision, ManagedVm, RemainingVms, VmStatus, WaveDeadline,
        WaveProgress, WorkerId,
    },
    dewspar_standin::task_worker::Fate,
};

fn reports(world: &mut World) -> Vec<WaveProgress> {
    let decisions = world.scheduler.take_decisions();
    let reports = decisions.into_iter().filter_map(|d| match d {
        Decision::WaveProgress { progress: report, .. } => Some(report),
        _ => None,
    });
    reports.collect()
}

/// Runs one planning pass and returns the report of the wave, if one is due.
fn next_report(world: &mut World) -> Option<WaveProgress> {
    world.scheduler.take_decisions();
    world.scheduler.plan_vms(at(world.now_ms));
    reports(world).pop()
}

/// Lets time pass, then applies the list of VMs with a change.
fn advance(world: &mut World, ms: u64, change: impl Fn(&mut Vec<ManagedVm>)) {
    world.run_for(ms);
    let mut vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    change(&mut vms);
    let asked_ms = world.now_ms;
    world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
}

fn idle_world() -> World {
    world_with_unreachable(&[])
}

/// Returns a world with a new wave, in which the named workers are
/// unreachable.
fn world_with_unreachable(cut: &[&str]) -> World {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4", "w5"]);
    world.unreachable.extend(cut.iter().map(|name| WorkerId::new(name)));
    world.list();
    world.expect_all();
    world.run_for(500);
    request_wave(&mut world);
    world
}

#[test]
fn a_wave_is_reported_every_second_and_once_at_its_deadline() {
    let mut world = idle_world();
    let begin = world.now_ms;
    let mut report = Vec::new();
    // Without answers, no VM is ever done.
    while world.now_ms < begin + 21_000 {
        world.scheduler.plan_vms(at(world.now_ms));
        let times = reports(&mut world).into_iter().map(|a| a.deadline);
        report.extend(times);
        advance(&mut world, 50, |_| {});
    }
    let count = |time| report.iter().filter(|report| **report == time).count();
    assert_eq!(count(WaveDeadline::Ahead), 10);
    assert_eq!(count(WaveDeadline::Passed), 1);
    assert_eq!(count(WaveDeadline::LongPassed), 1);
}

#[test]
fn each_remaining_vm_is_counted_once() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let mut report = Vec::new();
    for _ in 0..400 {
        maintain_for_50_ms(&mut world);
        report.extend(reports(&mut world));
    }
    assert!(report.len() > 2);
    for report in report {
        assert_eq!(report.begun + report.left.total(), report.vms);
    }
}

#[test]
fn unselected_vms_wait_for_those_in_progress() {
    let mut world = idle_world();
    world.fate = Fate::endless();
    for number in 1..=5 {
        let full = job(vec![step(4)]);
        world.scheduler.submit(id(number), full, 6, None);
    }
    advance(&mut world, 200, |_| {});
    next_report(&mut world);
    advance(&mut world, 1_000, |_| {});
    let report = next_report(&mut world).expect("a report is due");
    let most = report.pace.parallel;
    assert_eq!(report.pace.under_way, 1, "one more per pass");
    let unchosen =
        RemainingVms { short: 1, next: 4, ..RemainingVms::default() };
    assert_eq!(report.left, unchosen);
    for _ in 0..20 {
        world.scheduler.plan_vms(at(world.now_ms));
        advance(&mut world, 50, |_| {});
    }
    let report = next_report(&mut world).expect("a report is due");
    let chosen = RemainingVms {
        short: report.pace.under_way,
        parallel: 5 - report.pace.under_way,
        ..RemainingVms::default()
    };
    assert_eq!(report.left, chosen);
    assert!(report.pace.parallel >= most);
}

#[test]
fn a_long_running_task_without_another_place_keeps_its_vm() {
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
        advance(&mut world, 50, |_| {});
    }
    let report = next_report(&mut world).expect("a report is due");
    assert!(report.left.place > 0, "{report:?}");
}

#[test]
fn vms_that_cannot_be_maintained_are_counted_by_reason() {
    let mut world = world_with_unreachable(&["w1"]);
    advance(&mut world, 50, |vms| {
        vms[1].status = VmStatus::Moving;
        vms[2].status = VmStatus::Down;
        vms.remove(3);
    });
    world.scheduler.worker_gone(
        &WorkerId::new("w2"),
        "test",
        at(world.now_ms),
    );
    let report = next_report(&mut world).expect("a report is due");
    assert_eq!(report.left.silent, 1, "{report:?}");
    assert_eq!(report.left.moving, 1, "{report:?}");
    assert_eq!(report.left.down, 1, "{report:?}");
    assert_eq!(report.left.unlisted, 1, "{report:?}");
}

#[test]
fn reports_state_why_no_vm_orders_are_sent() {
    let mut world = idle_world();
    world.run_for(4_000);
    let report = next_report(&mut world).expect("a report is due");
    assert_eq!(report.blocker, Some("the list of VMs is outdated"));
}
