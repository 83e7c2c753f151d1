//! Limits on callers in the settings: a wrong one must be refused by its name
//! before a node starts, and those that are left out follow from the machine.

use dewspard::jobs::JobSettings;

const NODE: &str = "
node: athens-1
hall: hall-1
callers_address: 127.0.0.1:8080
readiness_address: 127.0.0.1:8081
platform: {store: 127.0.0.1:2379, vm_service: 127.0.0.1:2380}
";

fn settings(more: &str) -> Result<JobSettings, String> {
    let settings = JobSettings::from_yaml(&format!("{NODE}{more}"));
    settings.map_err(|error| error.to_string())
}

#[test]
fn a_limit_that_is_out_of_bounds_is_refused_by_its_name() {
    for (more, field) in [
        ("machine: {memory_mb: 1}", "machine.memory_mb"),
        ("machine: {max_descriptors: 3}", "machine.max_descriptors"),
        (
            "caller_limits: {max_head_bytes: 10}",
            "caller_limits.max_head_bytes",
        ),
        ("caller_limits: {max_body_bytes: 0}", "caller_limits.max_body_bytes"),
        ("caller_limits: {max_body_ms: 1}", "caller_limits.max_body_ms"),
        (
            "caller_limits: {max_connections: 0}",
            "caller_limits.max_connections",
        ),
        ("caller_limits: {max_memory_mb: 0}", "caller_limits.max_memory_mb"),
        ("caller_limits: {max_heads: 1}", "caller_limits.max_heads"),
    ] {
        let refused = settings(more).expect_err(field);
        assert!(refused.contains(&format!("`{field}`")), "{refused}");
    }
}

#[test]
fn limits_that_are_left_out_follow_from_the_machine() {
    let machine = "machine: {memory_mb: 160, max_descriptors: 4100}";
    let limits = settings(machine).expect("valid settings").inbound_limits();
    assert_eq!(limits.max_connections, 697);
    assert_eq!(limits.max_bytes, 40_000_000);
    let set = "caller_limits: {max_connections: 7, max_memory_mb: 3}";
    let limits = settings(set).expect("valid settings").inbound_limits();
    assert_eq!((limits.max_connections, limits.max_bytes), (7, 3_000_000));
}

/// The platform may leave gaps of the template empty.
#[test]
fn a_machine_without_figures_has_the_usual_ones() {
    let empty = settings("machine:\n  memory_mb: \n  max_descriptors: \n");
    let usual = settings("").expect("valid settings");
    let limits = empty.expect("valid settings").inbound_limits();
    assert_eq!(limits, usual.inbound_limits());
    assert_eq!(limits.max_connections, 1_024);
}
