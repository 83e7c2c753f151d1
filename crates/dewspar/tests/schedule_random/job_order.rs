//! A plan looks only at the jobs that something has happened to; what it keeps
//! of the others has to be what looking at all of them would give. Each plan of
//! a build with assertions compares the two, so it is enough to let everything
//! happen that a job's turn depends on: its tasks start, end, fail and crash
//! their workers, its round falls due, it gets too late, its queue gets other
//! terms, and the time of day is set to and fro.

use crate::{run_world, world::World};

#[test]
fn job_order_matches_a_full_scan() {
    let mut clock_changes = 0;
    for seed in 0..300 {
        clock_changes += run_world(World::varied(seed), seed).clock_changes;
    }
    // The runs must have put the promise to the test.
    assert!(clock_changes > 1_000, "{clock_changes}");
}
