//! What was ordered isn't what is so: only the answers of workers and of the
//! VM service, and their lists, say what began.

use {
    crate::world::{World, at, managed},
    dewspar::schedule::{ManagedVm, VmOrder, VmOrderError, WaveRequest},
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

/// Plans what is to be ordered of the VM service for so long, and returns
/// which VMs are to be maintained, and when.
fn maintained(world: &mut World, for_ms: u64) -> Vec<(u64, String)> {
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

/// Workers that nothing runs on, and a wave over all of their VMs.
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
fn maintenance_that_was_refused_is_ordered_again_though_one_may_be_down() {
    for error in [
        VmOrderError::NotDone,
        VmOrderError::Busy,
        VmOrderError::Fenced,
        VmOrderError::Unknown,
    ] {
        let mut world = idle_world(&["w1", "w2"], 1);
        let first = maintained(&mut world, 2_000);
        assert_eq!(first.len(), 1, "{error:?}");
        answer(&mut world, &first[0].1, Err(error));
        world.run_for(50);
        let second = maintained(&mut world, 2_000);
        assert_eq!(second.len(), 1, "{error:?}: it is never ordered again");
        assert_eq!(second[0].1, first[0].1, "{error:?}: one at a time");
    }
}
