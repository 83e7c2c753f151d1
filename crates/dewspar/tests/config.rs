//! Validation and storage of configuration documents.

use dewspar::config::{Change, Error, Head, Kind, Resource, Snapshot};

const FLEET: &str = "
kind: Team
name: notaries
spec: {partner: athens, max_cpu_millis: 20000}
---
kind: Pool
name: register
spec: {vms: [vm-1, vm-2, vm-3]}
---
kind: Service
name: certificates
spec: {team: notaries, pool: register, runners: 3, cpu_millis: 4000}
---
kind: AvailabilityBudget
name: certificates
spec: {pool: register, service: certificates, min_available: 2}
---
kind: MaintenanceWave
name: winter
spec: {pool: register}
";

fn changes(text: &str) -> Vec<Change> {
    let resources = Resource::all_from_yaml(text).expect("documents");
    resources.into_iter().map(Change::put).collect()
}

fn fleet() -> Snapshot {
    Snapshot::default().apply(&changes(FLEET)).expect("a valid fleet")
}

#[test]
fn errors_name_the_field_and_what_would_be_valid() {
    let cases = [
        (
            "kind: Pool\nname: other\nspec: {vms: [vm-2]}\n",
            "Pool `register`: field `spec.vms` lists VM `vm-2`, but pool \
             `other` has it: a VM belongs to exactly one pool",
        ),
        (
            "kind: Service\nname: s\n\
             spec: {team: notaries, pool: register, runners: 1, slots: 0}\n",
            "Service `s`: field `spec.slots` is 0, but must be 1 to 10000",
        ),
        (
            "kind: Service\nname: s\n\
             spec: {team: nobody, pool: register, runners: 1}\n",
            "Service `s`: field `spec.team` names team `nobody`, which \
             doesn't exist",
        ),
        (
            "kind: Job\nname: j\nspec: {team: notaries, pool: sea}\n",
            "Job `j`: field `spec.pool` names pool `sea`, which doesn't \
             exist",
        ),
        (
            "kind: Job\nname: j\n\
             spec: {team: notaries, pool: register, tasks: 3, \
             cpu_millis: 3000}\n",
            "Service `certificates`: field `spec.cpu_millis` brings team \
             `notaries` to 21000 cpu_millis, but its quota is 20000",
        ),
        (
            "kind: AvailabilityBudget\nname: b\n\
             spec: {pool: register, min_available: 4}\n",
            "AvailabilityBudget `b`: field `spec.min_available` is 4, but \
             must be at most 3, the number of VMs in pool `register`",
        ),
        (
            "kind: AvailabilityBudget\nname: b\n\
             spec: {pool: register, service: certificates, \
             min_available: 4}\n",
            "AvailabilityBudget `b`: field `spec.min_available` is 4, but \
             must be at most 3, the number of runners of service \
             `certificates`",
        ),
        (
            "kind: AvailabilityBudget\nname: b\n\
             spec: {pool: register, service: sea, min_available: 1}\n",
            "AvailabilityBudget `b`: field `spec.service` names service \
             `sea`, which doesn't exist",
        ),
        (
            "kind: MaintenanceWave\nname: w\n\
             spec: {pool: register, max_parallel: 0}\n",
            "MaintenanceWave `w`: field `spec.max_parallel` is 0, but must \
             be 1 to 10000",
        ),
        (
            "kind: Team\nname: 'no spaces'\nspec: {partner: p}\n",
            "Team `no spaces`: field `name` must have 1 to 63 letters, \
             digits, `-`, `_` or `.`",
        ),
    ];
    let fleet = fleet();
    for (text, expected) in cases {
        let error = fleet.apply(&changes(text)).expect_err(expected);
        let text = error.to_string();
        let depends_on_order = text.contains("quota");
        if depends_on_order {
            // Which of the two resources exceeds the quota depends on the
            // order in which they are checked.
            assert!(text.ends_with("its quota is 20000"), "{text}");
        } else {
            assert_eq!(text, expected);
        }
    }
}

#[test]
fn changes_are_applied_atomically() {
    let fleet = fleet();
    let mut both = changes("kind: Team\nname: t\nspec: {partner: p}\n");
    both.extend(changes(
        "kind: Job\nname: j\nspec: {team: t, pool: nowhere}\n",
    ));
    assert!(fleet.apply(&both).is_err());
    assert!(fleet.get(Kind::Team, "t").is_none());
}

#[test]
fn referenced_resource_is_not_deleted() {
    let fleet = fleet();
    let delete = |kind, name: &str| {
        let name = name.to_owned();
        fleet.apply(&[Change::Delete { kind, name, expected: None }])
    };
    let error = delete(Kind::Pool, "register").expect_err("in use");
    assert!(matches!(error, Error::InUse { .. }), "{error}");
    let error = delete(Kind::Pool, "sea").expect_err("unknown");
    assert!(matches!(error, Error::NotFound { .. }), "{error}");
    assert!(delete(Kind::MaintenanceWave, "winter").is_ok());
}

#[test]
fn put_without_effect_keeps_the_revision() {
    let fleet = fleet();
    let again = fleet.apply(&changes(FLEET)).expect("valid");
    assert_eq!(again.differences(&fleet), []);
}

#[test]
fn head_keeps_unchanged_and_recently_replaced_chunks() {
    let first = fleet();
    let (head, chunks) = Head::default().advance(&first, "one");
    assert_eq!(chunks.len(), head.chunk_names().count());
    let change = "kind: Team\nname: notaries\nspec: {partner: patras}\n";
    let second = first.apply(&changes(change)).expect("valid");
    let (next, fresh) = head.advance(&second, "two");
    assert_eq!(fresh.len(), 1, "one kind changed");
    assert!(next.contains("one") && next.contains("two"));
    assert_eq!(next.unreferenced_chunks(&next).count(), 0);
    // Replaced chunks are kept for readers of the previous head.
    assert_eq!(head.unreferenced_chunks(&next).count(), 0);
}

#[test]
fn list_with_two_vms_at_one_address_is_refused() {
    use dewspar::fleet::{Listing, check_addresses};
    let at = |name: &str, address: &str| {
        Listing::new(name, "hall-1", "rack-1", address)
    };
    let good = [at("vm-1", "127.0.0.1:1"), at("vm-2", "127.0.0.1:2")];
    assert_eq!(check_addresses(&good), Ok(()));
    let bad = [at("vm-1", "127.0.0.1:1"), at("vm-2", "127.0.0.1:1")];
    let error = check_addresses(&bad).expect_err("one address");
    assert_eq!(
        error.to_string(),
        "VMs `vm-1` and `vm-2` are both listed at 127.0.0.1:1",
    );
}
