//! Which VMs a new holder may order to change.

use {
    crate::{
        pool_sizing::{move_of_spare, vm_orders, world_with_spare},
        world::{World, at, id, job, step},
    },
    dewspar::{
        job::StepSpec,
        schedule::{OrderIssuer, OrderedVms},
    },
    dewspar_standin::task_worker::Fate,
};

fn process(node: &str, incarnation: u64) -> OrderIssuer {
    OrderIssuer { node: node.to_owned(), incarnation }
}

/// A world with a pool that needs the spare VM.
fn world_with_deficit() -> World {
    let mut world = world_with_spare();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, max_per_worker: 1, ..step(3) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world
}

/// Returns the record that `holder` leaves after it ordered the spare VM to
/// move.
fn record_of(holder: &OrderIssuer) -> OrderedVms {
    let mut world = world_with_deficit();
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
    world.scheduler.ordered_vms(at(world.now_ms), holder)
}

#[test]
fn a_vm_ordered_by_another_node_is_not_touched() {
    let record = record_of(&process("n1", 1));
    let mut world = world_with_deficit();
    let now = at(world.now_ms);
    world.scheduler.hold_off_vm_orders(now, &process("n2", 1), Some(record));
    assert_eq!(vm_orders(&mut world), []);
}

#[test]
fn a_restarted_node_may_order_its_own_vms_again() {
    let record = record_of(&process("n1", 1));
    let mut world = world_with_deficit();
    let now = at(world.now_ms);
    world.scheduler.hold_off_vm_orders(now, &process("n1", 2), Some(record));
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
}

#[test]
fn a_process_that_regains_the_lease_waits_too() {
    let record = record_of(&process("n1", 1));
    let mut world = world_with_deficit();
    let now = at(world.now_ms);
    world.scheduler.hold_off_vm_orders(now, &process("n1", 1), Some(record));
    assert_eq!(vm_orders(&mut world), []);
}

#[test]
fn inherited_orders_stay_recorded_until_they_expire() {
    let record = record_of(&process("n1", 1));
    let mut world = world_with_deficit();
    let second = process("n2", 1);
    let begun_ms = world.now_ms;
    let now = at(begun_ms);
    world.scheduler.hold_off_vm_orders(now, &second, Some(record.clone()));
    let passed_on = world.scheduler.ordered_vms(at(begun_ms + 1_000), &second);
    assert!(passed_on.names().eq(record.names()));
    let later = world.scheduler.ordered_vms(at(begun_ms + 3_000), &second);
    assert!(later.is_empty(), "{later:?}");
}

#[test]
fn the_age_of_a_recorded_order_shortens_the_wait() {
    let first = process("n1", 1);
    let mut before = world_with_deficit();
    assert_eq!(vm_orders(&mut before), [move_of_spare()]);
    // Recorded again, some 2.5 s after the order.
    let record =
        before.scheduler.ordered_vms(at(before.now_ms + 1_500), &first);
    assert!(!record.is_empty());
    let mut world = world_with_deficit();
    let now = at(world.now_ms);
    world.scheduler.hold_off_vm_orders(now, &process("n2", 1), Some(record));
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
}

#[test]
fn a_record_names_each_process_once_and_round_trips() {
    let record = record_of(&process("n1", 1));
    let json = serde_json::to_string(&record).unwrap();
    assert_eq!(json.matches("\"n1\"").count(), 1, "{json}");
    let read: OrderedVms = serde_json::from_str(&json).unwrap();
    assert_eq!(read, record);
    let names: Vec<&str> = read.names().collect();
    assert_eq!(names, ["vm-of-w3"]);
}
