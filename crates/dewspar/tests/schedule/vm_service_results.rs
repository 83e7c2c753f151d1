//! Orders to the VM service may fail or have no answer: only its answers and
//! its list of VMs show what was carried out.

use {
    crate::world::{POOL, ROOM, World, at, id, job, listing, managed, step},
    dewspar::{
        job::StepSpec,
        schedule::{
            Decision, ManagedVm, OrderIssuer, VmOrder, VmOrderError, VmStatus,
            WaveRequest, WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::BTreeMap,
};

const WAVE: u64 = 1;

fn request_wave(world: &mut World, max_down: usize) {
    let vms = world.listings.iter().map(|listing| listing.vm.clone());
    let request = WaveRequest {
        wave: WAVE,
        vms: vms.collect(),
        duration_ms: 10_000,
        max_down,
    };
    let now = at(world.now_ms);
    let none = BTreeMap::new();
    world.scheduler.request_waves(now, &[request], &none, &[]);
}

fn list_vms(world: &mut World) {
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
}

/// Plans orders to the VM service for up to `for_ms`, until maintenance is
/// ordered. Returns the VMs to maintain, each with the time of the order.
fn ordered_maintenance(world: &mut World, for_ms: u64) -> Vec<(u64, String)> {
    let end_ms = world.now_ms + for_ms;
    let mut ordered = Vec::new();
    while world.now_ms < end_ms {
        list_vms(world);
        for order in world.scheduler.plan_vms(at(world.now_ms)) {
            if let VmOrder::Maintain { vm, .. } = order {
                ordered.push((world.now_ms, vm));
            }
        }
        if !ordered.is_empty() {
            return ordered;
        }
        world.run_for(50);
    }
    ordered
}

/// Idle workers, and a wave over all of their VMs.
fn idle_world(names: &[&str], max_down: usize) -> World {
    let mut world = World::new(5, names);
    world.list();
    world.expect_all();
    world.run_for(200);
    request_wave(&mut world, max_down);
    world
}

fn answer(world: &mut World, vm: &str, result: Result<(), VmOrderError>) {
    let now = at(world.now_ms);
    world.scheduler.maintenance_answered(vm, WAVE, result, now);
}

#[test]
fn refused_maintenance_is_retried_at_the_max_down_limit() {
    for error in [
        VmOrderError::NotDone,
        VmOrderError::Busy,
        VmOrderError::Fenced,
        VmOrderError::Unknown,
    ] {
        let mut world = idle_world(&["w1", "w2"], 1);
        let first = ordered_maintenance(&mut world, 2_000);
        assert_eq!(first.len(), 1, "{error:?}");
        answer(&mut world, &first[0].1, Err(error));
        world.run_for(50);
        let second = ordered_maintenance(&mut world, 2_000);
        assert_eq!(second.len(), 1, "{error:?}: not ordered again");
        assert_eq!(
            second[0].1, first[0].1,
            "{error:?}: more than one at a time"
        );
    }
}

#[test]
fn maintenance_already_done_does_not_end_the_current_worker() {
    // A former holder had the VM maintained and couldn't record it.
    let mut world = idle_world(&["w1", "w2"], 1);
    let first = ordered_maintenance(&mut world, 2_000);
    let vm = first[0].1.clone();
    // The VM service answers that it is done. The worker keeps running, and
    // the list of VMs still has it.
    answer(&mut world, &vm, Ok(()));
    world.run_for(600);
    let second = ordered_maintenance(&mut world, 3_000);
    assert_eq!(second.len(), 1, "the wave continues");
    assert_ne!(second[0].1, vm);
    answer(&mut world, &second[0].1, Ok(()));
    // The first VM's worker accepts tasks, the second one's doesn't.
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let other = second[0].1.clone();
    let gone = world.listings.iter().find(|l| l.vm == other);
    let gone = gone.expect("a listed VM").id.clone();
    world.unreachable.push(gone);
    world.run_for(300);
    let on: Vec<&WorkerId> = world.starts.iter().map(|(on, _)| on).collect();
    let listing = world.listings.iter().find(|l| l.vm == vm);
    let expected = listing.map(|listing| &listing.id);
    assert_eq!(on.first().copied(), expected);
}

#[test]
fn a_maintained_worker_gets_no_starts_before_the_list_shows_its_successor() {
    let mut world = idle_world(&["w1", "w2"], 1);
    let asked_ms = world.now_ms;
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let first = ordered_maintenance(&mut world, 2_000);
    let vm = first[0].1.clone();
    world.run_for(50);
    answer(&mut world, &vm, Ok(()));
    // This list was requested before the VM went down.
    world.scheduler.list_vms(at(world.now_ms), asked_ms, &vms);
    let listing = world.listings.iter().find(|l| l.vm == vm);
    let worker = listing.expect("a listed VM").id.clone();
    let many = step(8);
    world.scheduler.submit(id(1), job(vec![many]), 6, None);
    world.run_for(300);
    assert!(world.starts.iter().all(|(on, _)| *on != worker));
    assert!(!world.starts.is_empty());
}

#[test]
fn recent_orders_of_a_former_holder_count_as_down() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.listings[0].rack = "rack-9".to_owned();
    world.list();
    world.expect_all();
    world.run_for(200);
    request_wave(&mut world, 1);
    let first = ordered_maintenance(&mut world, 2_000);
    let orderer =
        |node: &str| OrderIssuer { node: node.to_owned(), incarnation: 1 };
    let (now, former) = (at(world.now_ms), orderer("node-1"));
    let ordered = world.scheduler.ordered_vms(now, &former);
    // The holder is lost before the VM service has carried out the order.
    world.take_over(9);
    world.now_ms += 500;
    let now = at(world.now_ms);
    let next = orderer("node-2");
    world.scheduler.hold_off_vm_orders(now, &next, Some(ordered));
    world.list();
    world.expect_all();
    world.run_for(100);
    // The next holder uses the VM's worker, and so takes another VM first.
    world.fate = Fate::done(8_000);
    let there = StepSpec { data_rack: "rack-9".to_owned(), ..step(1) };
    world.scheduler.submit(id(1), job(vec![there]), 10, None);
    world.run_for(50);
    request_wave(&mut world, 1);
    let second = ordered_maintenance(&mut world, 2_000);
    assert!(second.is_empty(), "{first:?} may still go down: {second:?}");
    assert_eq!(ordered_maintenance(&mut world, 2_000).len(), 1);
}

#[test]
fn a_vm_ordered_to_move_is_counted_once() {
    let mut world = World::new(5, &["w1", "w2"]);
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(40)]), 6, None);
    world.run_for(100);
    for _ in 0..10 {
        list_vms(&mut world);
        world.scheduler.plan_vms(at(world.now_ms));
        world.run_for(100);
    }
    let targets = world.scheduler.take_decisions().into_iter();
    let targets = targets.filter_map(|decision| match decision {
        Decision::PoolSized { target, .. } => Some(target),
        _ => None,
    });
    assert_eq!(targets.collect::<Vec<u64>>(), [3], "there are three VMs");
}

#[test]
fn a_worker_that_a_gang_waits_for_is_not_switched_off() {
    let names = ["w1", "w2", "w3"];
    let mut world = World::new(5, &names);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    let large = StepSpec { memory_mb: 3_000, cpu_millis: 100, ..step(4) };
    let gang = StepSpec { gang: true, ..large };
    world.scheduler.submit(id(1), job(vec![gang]), 6, None);
    let begin_ms = world.now_ms;
    while world.now_ms < begin_ms + 8_000 {
        list_vms(&mut world);
        let orders = world.scheduler.plan_vms(at(world.now_ms));
        assert_eq!(orders, [], "at {}", world.now_ms);
        world.run_for(50);
    }
}

#[test]
fn a_move_already_done_does_not_end_the_current_worker() {
    let mut world = World::new(5, &["w1", "w2"]);
    for name in ["w3", "w4"] {
        let pool = "off".to_owned();
        world.listings.push(WorkerListing { pool, ..listing(name) });
    }
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(8)]), 6, None);
    world.run_for(100);
    // The list of VMs is outdated: since then, a former holder's order has
    // moved the VM to the pool, and its new worker is running.
    list_vms(&mut world);
    world.listings[2] = listing("w3+");
    world.listings[2].vm = "vm-of-w3".to_owned();
    let worker = (WorkerId::new("w3+"), TaskWorker::new(ROOM));
    world.workers.extend([worker]);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(2), job(vec![step(8)]), 6, None);
    world.run_for(200);
    let orders = world.scheduler.plan_vms(at(world.now_ms));
    let (vm, pool) = ("vm-of-w3".to_owned(), POOL.to_owned());
    assert_eq!(orders, [VmOrder::Move { vm, pool }]);
    let now = at(world.now_ms);
    world.scheduler.move_answered("vm-of-w3", POOL, Ok(()), now);
    // There is room on the others.
    world.scheduler.cancel(id(1), now);
    world.run_for(600);
    let mut started: Vec<String> =
        world.starts.iter().map(|(_, order)| order.task.to_string()).collect();
    started.sort();
    let starts = started.len();
    started.dedup();
    assert_eq!(starts, started.len(), "runs on the VM were started again");
}

#[test]
fn a_vm_with_an_unanswered_order_is_drained_first() {
    let mut world = idle_world(&["w1", "w2"], 1);
    let first = ordered_maintenance(&mut world, 2_000);
    let vm = first[0].1.clone();
    answer(&mut world, &vm, Err(VmOrderError::Unknown));
    // The order was carried out, and the VM is back and at work.
    let found = world.listings.iter_mut().find(|l| l.vm == vm);
    let back = found.expect("a listed VM");
    back.id = WorkerId::new("w1+");
    back.rack = "rack-9".to_owned();
    let worker = (WorkerId::new("w1+"), TaskWorker::new(ROOM));
    world.workers.extend([worker]);
    world.list();
    list_vms(&mut world);
    world.run_for(200);
    world.fate = Fate::done(3_000);
    let there = StepSpec { data_rack: "rack-9".to_owned(), ..step(1) };
    world.scheduler.submit(id(1), job(vec![there]), 6, None);
    world.run_for(100);
    let again = ordered_maintenance(&mut world, 9_000);
    assert_eq!(again.len(), 1, "the wave is stuck");
    assert_eq!(
        again[0].1, vm,
        "only a repeated order shows whether it was carried out"
    );
    answer(&mut world, &vm, Ok(()));
    world.run_for(50);
    assert_ne!(ordered_maintenance(&mut world, 3_000)[0].1, vm);
}

#[test]
fn a_wave_continues_after_an_ordered_vm_failed() {
    let mut world = idle_world(&["w1", "w2", "w3"], 1);
    let first = ordered_maintenance(&mut world, 2_000);
    let vm = first[0].1.clone();
    // The VM has failed since the last list: nothing is down because of an
    // order.
    answer(&mut world, &vm, Err(VmOrderError::Busy));
    // OK because there is a worker on each VM.
    let gone = world.listings.iter().find(|l| l.vm == vm).unwrap();
    world.unreachable.push(gone.id.clone());
    let end_ms = world.now_ms + 9_000;
    let mut ordered = Vec::new();
    while world.now_ms < end_ms {
        let vms = world.listings.iter().map(|listing| {
            let failed = listing.vm == vm;
            let up = managed(listing);
            let life = if failed { VmStatus::Down } else { up.status };
            let worker = up.worker.filter(|_| !failed);
            ManagedVm { status: life, worker, ..up }
        });
        let vms: Vec<ManagedVm> = vms.collect();
        let now = at(world.now_ms);
        world.scheduler.list_vms(now, world.now_ms, &vms);
        ordered.extend(world.scheduler.plan_vms(now));
        world.run_for(50);
    }
    assert!(!ordered.is_empty());
}
