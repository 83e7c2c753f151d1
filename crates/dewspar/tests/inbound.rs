//! Which connections give way when clients take too much. A rule that closed the
//! wrong ones would let a crowd shut out callers who send whole requests.

use {
    dewspar::inbound::{
        Activity, ConnectionUse, InboundLimits, capacity_bytes,
        closed_for_connection, closed_for_memory,
    },
    quickcheck::quickcheck,
};

const MB: usize = 1_000_000;

fn connection(
    id: u64,
    activity: Activity,
    held_bytes: usize,
    age_ms: u64,
) -> ConnectionUse {
    ConnectionUse { id, activity, held_bytes, age_ms }
}

/// Returns connections of all kinds from arbitrary numbers.
fn connections(numbers: &[(u8, u16, u16)]) -> Vec<ConnectionUse> {
    let activities = [Activity::Idle, Activity::Receiving, Activity::Serving];
    let connection =
        |(id, &(kind, bytes, age_ms)): (usize, &(u8, u16, u16))| {
            let activity = activities[usize::from(kind) % activities.len()];
            connection(
                id as u64,
                activity,
                usize::from(bytes),
                u64::from(age_ms),
            )
        };
    numbers.iter().enumerate().map(connection).collect()
}

quickcheck! {
    fn a_request_that_is_served_keeps_its_connection(
        numbers: Vec<(u8, u16, u16)>,
        excess_bytes: u16
    ) -> bool {
        let uses = connections(&numbers);
        let mut closed = closed_for_memory(&uses, usize::from(excess_bytes));
        closed.extend(closed_for_connection(&uses));
        closed.iter().all(|id| {
            uses[*id as usize].activity != Activity::Serving
        })
    }

    fn memory_is_freed_as_far_as_it_can_be_and_no_further(
        numbers: Vec<(u8, u16, u16)>,
        excess_bytes: u16
    ) -> bool {
        let uses = connections(&numbers);
        let excess_bytes = usize::from(excess_bytes);
        let closed = closed_for_memory(&uses, excess_bytes);
        let held = |ids: &[u64]| -> usize {
            ids.iter().map(|id| uses[*id as usize].held_bytes).sum()
        };
        let may_be_closed =
            uses.iter().filter(|u| u.activity != Activity::Serving).count();
        let is_enough = held(&closed) >= excess_bytes
            || closed.len() == may_be_closed;
        let is_needed = closed
            .split_last()
            .is_none_or(|(_, others)| held(others) < excess_bytes);
        is_enough && is_needed
    }

    fn a_request_that_has_just_arrived_stays_while_older_ones_suffice(
        numbers: Vec<(u8, u16, u16)>
    ) -> bool {
        let mut uses = connections(&numbers);
        uses.retain(|u| u.activity != Activity::Serving && u.age_ms > 0);
        let held_bytes: usize = uses.iter().map(|u| u.held_bytes).sum();
        let new = u64::MAX;
        uses.push(connection(new, Activity::Receiving, 1_000, 0));
        !closed_for_memory(&uses, held_bytes).contains(&new)
    }
}

#[test]
fn a_small_body_on_a_slow_link_stays_beside_large_ones_that_stop() {
    let mut uses: Vec<ConnectionUse> = (0..40)
        .map(|id| connection(id, Activity::Receiving, MB, 500))
        .collect();
    uses.push(connection(40, Activity::Receiving, 20_000, 8_000));
    let closed = closed_for_memory(&uses, 2 * MB);
    assert_eq!(closed, [0, 1]);
}

#[test]
fn requests_that_trickle_give_way_before_idle_connections() {
    let uses = [
        connection(1, Activity::Idle, 8_192, 20_000),
        connection(2, Activity::Receiving, 8_200, 3_000),
        connection(3, Activity::Receiving, 8_200, 5),
        connection(4, Activity::Serving, 8_200, 0),
    ];
    assert_eq!(closed_for_connection(&uses), Some(2));
    // A request that has just begun doesn't give way to a new connection
    // while another one is idle.
    assert_eq!(closed_for_connection(&uses[2..]), Some(3));
    assert_eq!(closed_for_connection(&[uses[0], uses[2]]), Some(1));
    assert_eq!(closed_for_connection(&uses[3..]), None);
}

#[test]
fn callers_get_less_while_the_nodes_own_work_takes_more() {
    let capacity = |resident_mb: usize, held_mb: usize| {
        let max_bytes = 40 * MB;
        capacity_bytes(160 * MB, max_bytes, resident_mb * MB, held_mb * MB)
    };
    assert_eq!(capacity(35, 0), 40 * MB);
    assert_eq!(capacity(75, 40), 40 * MB);
    // A node that schedules a large fleet.
    assert_eq!(capacity(140, 0), 10 * MB);
    assert_eq!(capacity(150, 10), 10 * MB);
    // Some callers are always served.
    assert_eq!(capacity(200, 0), 5 * MB);
    // A lower setting holds in any case.
    assert_eq!(capacity_bytes(160 * MB, MB, 35 * MB, 0), MB);
}

#[test]
fn limits_follow_from_the_machine() {
    let limits = InboundLimits::of_machine(260 * MB, 4_100);
    assert_eq!(limits.max_bytes, 65 * MB);
    assert_eq!(limits.max_connections, 1_025);
    // The memory bears fewer than the descriptors do: each may have bytes that
    // the kernel holds.
    let limits = InboundLimits::of_machine(160 * MB, 4_100);
    assert_eq!(limits.max_bytes, 40 * MB);
    assert_eq!(limits.max_connections, 697);
    assert_eq!(InboundLimits::of_machine(0, 0).max_connections, 1);
}
