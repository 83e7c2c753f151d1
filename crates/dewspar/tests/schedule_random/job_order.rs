//! A plan looks only at the jobs that something has happened to; what it keeps
//! of the others has to be what looking at all of them would give. Each plan of
//! a build with assertions compares the two, so it is enough to let everything
//! happen that a job's turn depends on: its tasks start, end, fail and crash
//! their workers, its round falls due, it gets too late, its queue gets other
//! terms, and the time of day is set to and fro.

use crate::{play_on, world::World};

#[test]
fn turns_are_kept_as_looking_at_every_job_gives_them() {
    let mut settings = 0;
    for seed in 0..300 {
        settings += play_on(World::varied(seed), seed).settings;
    }
    // The runs must have put the promise to the test.
    assert!(settings > 1_000, "{settings}");
}
