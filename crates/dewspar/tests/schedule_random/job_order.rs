//! The order of jobs, which is updated incrementally.
//!
//! A plan re-evaluates only the jobs that have changed; the order kept for the
//! others must equal that of a full scan. Each plan of a build with debug
//! assertions compares the two, so this test only has to cause every change
//! that a job's position depends on: its tasks start, end, fail and crash
//! their workers, its round falls due, it becomes late, its queue gets other
//! terms, and the wall clock is stepped.

use crate::{run_world, world::World};

#[test]
fn job_order_matches_a_full_scan() {
    let mut clock_changes = 0;
    for seed in 0..300 {
        clock_changes += run_world(World::varied(seed), seed).clock_changes;
    }
    // Enough cases must have occurred to test the invariant.
    assert!(clock_changes > 1_000, "{clock_changes}");
}
