//! Maintenance waves.

use {
    crate::{
        pool_sizing::vm_orders,
        world::{ROOM, World, at, id, job, listing, managed, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{ManagedVm, VmOrder, VmOrderError, WaveRequest, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::BTreeMap,
};

/// A world with a long-running step of four tasks on five workers.
pub fn world_with_wave(revision: u64) -> World {
    let mut world = World::new(revision, &["w1", "w2", "w3", "w4", "w5"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        ..step(4)
    };
    world.scheduler.submit(id(1), job(vec![long]), 3, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 4);
    world
}

fn wave_of(vms: &[ManagedVm]) -> WaveRequest {
    WaveRequest {
        wave: 1,
        vms: vms.iter().map(|vm| vm.vm.clone()).collect(),
        duration_ms: 10_000,
        max_down: 3,
    }
}

pub fn request_wave(world: &mut World) {
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let request = wave_of(&vms);
    let now = at(world.now_ms);
    let (scheduler, none) = (&mut world.scheduler, BTreeMap::new());
    scheduler.request_waves(now, &[request], &none, &[]);
    scheduler.list_vms(now, world.now_ms, &vms);
}

/// Requests the maintenance of some VMs only.
pub fn request_wave_of(world: &mut World, vms: &[&str]) {
    let listed: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let mut request = wave_of(&listed);
    request.vms = vms.iter().map(|vm| (*vm).to_owned()).collect();
    let now = at(world.now_ms);
    let (scheduler, none) = (&mut world.scheduler, BTreeMap::new());
    scheduler.request_waves(now, &[request], &none, &[]);
    scheduler.list_vms(now, world.now_ms, &listed);
}

/// Plans maintenance once and runs for 50 ms. A VM that goes down is back at
/// once, with a new worker. Returns whether the wave was completed.
pub fn maintain_for_50_ms(world: &mut World) -> bool {
    let now = at(world.now_ms);
    let mut completed = false;
    for order in world.scheduler.plan_vms(now) {
        match order {
            // A VM whose worker was lost meanwhile can't be taken down.
            VmOrder::Maintain { vm, wave } if world.is_restarting(&vm) => {
                let busy = Err(VmOrderError::Busy);
                world.scheduler.maintenance_answered(&vm, wave, busy, now);
            }
            VmOrder::Maintain { vm, wave } => {
                assert!(
                    replace_worker(world, &vm),
                    "the worker was not drained"
                );
                let done = Ok(());
                world.scheduler.maintenance_answered(&vm, wave, done, now);
            }
            VmOrder::ReportCompleted { .. } => completed = true,
            VmOrder::ReportRunning { .. } | VmOrder::Move { .. } => {}
        }
    }
    world.run_for(50);
    world.list();
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    completed
}

/// Gives a VM a new worker; returns whether the old one was idle.
fn replace_worker(world: &mut World, vm: &str) -> bool {
    let now_ms = world.now_ms;
    let found = world.listings.iter_mut().find(|l| l.vm == vm);
    let listing = found.expect("a listed VM");
    let old = world.workers.remove(&listing.id);
    let name = format!("{}+", listing.id);
    listing.id = WorkerId::new(&name);
    world.workers.insert(listing.id.clone(), TaskWorker::new(ROOM));
    old.is_some_and(|mut old| old.running(now_ms).is_empty())
}

#[test]
fn maintenance_respects_max_unavailable() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let mut completed = false;
    for _ in 0..400 {
        completed |= maintain_for_50_ms(&mut world);
        assert!(
            world.running().len() >= 3,
            "more than one of four tasks is down"
        );
    }
    assert!(completed);
}

#[test]
fn a_wave_completes_without_a_vm_that_is_gone() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    request_wave(&mut world);
    world.listings.retain(|listing| listing.vm != "vm-of-w2");
    world.scheduler.worker_gone(
        &WorkerId::new("w2"),
        "test",
        at(world.now_ms),
    );
    let mut completed = false;
    for _ in 0..100 {
        let before = world.now_ms;
        completed |= maintain_for_50_ms(&mut world);
        let missing_for_ms = world.now_ms - 1_100;
        assert!(!completed || missing_for_ms >= 2_900, "at {before}");
    }
    assert!(completed);
}

#[test]
fn a_wave_keeps_its_deadline_over_a_takeover() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4", "w5"]);
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let request = [WaveRequest { duration_ms: 60_000, ..wave_of(&vms) }];
    let begun = at(world.now_ms);
    let none = BTreeMap::new();
    let unseen = world.scheduler.request_waves(begun, &request, &none, &[]);
    assert_eq!(unseen, [1], "the wave is to be recorded");
    let record = world.scheduler.wave_record(1).expect("a wave").clone();
    // Little time is left for the next holder, so the maximum number of VMs
    // goes down at once.
    world.now_ms += 50_000;
    world.take_over(9);
    world.list();
    world.expect_all();
    world.run_for(100);
    let (now, records) = (at(world.now_ms), [(1, record)].into());
    let unseen = world.scheduler.request_waves(now, &request, &records, &[]);
    assert_eq!(unseen, [] as [u64; 0], "the wave is recorded");
    let orders = vm_orders(&mut world);
    let is_maintenance =
        |order: &&VmOrder| matches!(order, VmOrder::Maintain { .. });
    assert_eq!(orders.iter().filter(is_maintenance).count(), 3);
}

#[test]
fn a_new_holder_evicts_nothing_while_former_stops_may_be_in_progress() {
    let mut world = world_with_wave(5);
    world.take_over(9);
    world.list();
    world.expect_all();
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        ..step(4)
    };
    world.scheduler.submit(id(1), job(vec![long]), 3, None);
    request_wave(&mut world);
    let begin = world.now_ms;
    while world.now_ms < begin + 1_500 {
        maintain_for_50_ms(&mut world);
        assert_eq!(world.running().len(), 4);
    }
}

#[test]
fn repeated_maintenance_ends_only_the_worker_it_was_ordered_for() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    request_wave(&mut world);
    let ordered = |world: &mut World| {
        let mut orders = 0;
        for _ in 0..40 {
            let now = at(world.now_ms);
            let planned = world.scheduler.plan_vms(now);
            let is_down = |o: &VmOrder| matches!(o, VmOrder::Maintain { .. });
            orders += planned.into_iter().filter(is_down).count();
            world.run_for(50);
            if orders > 0 {
                break;
            }
            let vms: Vec<ManagedVm> =
                world.listings.iter().map(managed).collect();
            let asked_ms = world.now_ms;
            world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
        }
        orders
    };
    assert_eq!(ordered(&mut world), 1);
    let lost = Err(VmOrderError::Unknown);
    let vm = "vm-of-w1";
    world.scheduler.maintenance_answered(vm, 1, lost, at(world.now_ms));
    // The order was carried out, and the VM is back and at work.
    assert!(replace_worker(&mut world, vm));
    world.list();
    world.run_for(200);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 1);
    world.scheduler.maintenance_answered(vm, 1, Ok(()), at(world.now_ms));
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(ROOM));
    world.workers.extend([second]);
    world.list();
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "the task was started again");
}

#[test]
fn a_wave_is_reported_as_running_once() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let running = VmOrder::ReportRunning { wave: 1 };
    let first = world.scheduler.plan_vms(at(world.now_ms));
    assert!(first.contains(&running), "{first:?}");
    world.run_for(50);
    let next = world.scheduler.plan_vms(at(world.now_ms));
    assert!(!next.contains(&running), "{next:?}");
}
