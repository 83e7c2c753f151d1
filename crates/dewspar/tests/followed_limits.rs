//! What a node concludes about the age of limits that it reads.

use dewspar::{
    job::JobId,
    schedule::{
        FollowedDecision, FollowedLimits, LimitedTeam, SubmissionDecision,
        TeamLimits,
    },
};

const POOL: &str = "registry";
const TEAM: &str = "notaries";

fn limits(admitted_permille: u64) -> TeamLimits {
    TeamLimits {
        teams: vec![LimitedTeam {
            pool: POOL.to_owned(),
            team: TEAM.to_owned(),
            admitted_permille,
            retry_after_ms: 1_000,
        }],
    }
}

fn id(number: u64) -> JobId {
    // OK because it is always 16 hexadecimal digits.
    format!("{number:016x}").parse().unwrap()
}

fn is_refused(followed: &FollowedLimits, now_ms: u64) -> bool {
    let decision = followed.decide(POOL, TEAM, id(1), now_ms);
    matches!(decision, FollowedDecision::Refuse { .. })
}

// Guards against a node that stores a job on the condition of limits by which
// another node refuses it, because it doesn't know that they are recent.
#[test]
fn limits_that_are_not_applied_do_not_accept_what_they_would_refuse() {
    let decide = |followed: &FollowedLimits, team, now_ms| {
        followed.decide(POOL, team, id(1), now_ms)
    };
    let mut followed = FollowedLimits::default();
    followed.record_read(7, 1_000, || limits(0));
    // Of unknown age.
    assert_eq!(decide(&followed, TEAM, 1_000), FollowedDecision::TooOld);
    assert_eq!(decide(&followed, "banks", 1_000), FollowedDecision::Accept);
    assert!(!followed.is_expired(3_000));
    followed.record_read(7, 3_000, || limits(0));
    assert!(followed.is_expired(3_001));
    // Renewed, and then not any more.
    followed.record_read(8, 3_500, || limits(0));
    assert!(is_refused(&followed, 5_000) && !followed.is_expired(5_000));
    followed.record_read(8, 5_000, || limits(0));
    assert_eq!(decide(&followed, TEAM, 5_001), FollowedDecision::TooOld);
    assert!(followed.is_expired(5_001));
}

#[test]
fn a_renewed_record_is_applied_without_a_gap() {
    let mut followed = FollowedLimits::default();
    // Written every second, read every half second.
    for read in 0..40 {
        let now_ms = 10_000 + read * 500;
        followed.record_read(1 + read / 2, now_ms, || limits(0));
        if read >= 2 {
            assert!(is_refused(&followed, now_ms), "{now_ms}");
            assert!(is_refused(&followed, now_ms + 499), "{now_ms}");
        }
    }
}

// Guards against limits that end although the holder renews them, and against
// renewals that change the version on which writes depend.
#[test]
fn limits_are_applied_while_another_key_renews_them() {
    let mut followed = FollowedLimits::default();
    for read in 0..40 {
        let now_ms = 10_000 + read * 500;
        followed.record_read(7, now_ms, || limits(0));
        followed.record_renewal(8 + read / 2, now_ms);
        if read >= 2 {
            assert!(is_refused(&followed, now_ms + 499), "{now_ms}");
        }
    }
    assert_eq!(followed.version(), 7);
    // The last one was written after the read at 28,500 ms.
    followed.record_renewal(27, 30_000);
    assert!(is_refused(&followed, 30_500));
    assert!(!is_refused(&followed, 30_501));
    assert!(followed.is_expired(30_501));
}

// Guards against a read that was overtaken by a newer one.
#[test]
fn an_older_read_that_ends_late_is_ignored() {
    let mut followed = FollowedLimits::default();
    followed.record_read(1, 1_000, TeamLimits::default);
    followed.record_read(3, 1_500, || limits(0));
    followed.record_read(2, 1_400, TeamLimits::default);
    assert_eq!(followed.version(), 3);
    assert!(is_refused(&followed, 1_600));
}

// Guards against writes that depend for ever on a version that the store no
// longer has.
#[test]
fn a_record_that_the_store_has_lost_is_forgotten() {
    let mut followed = FollowedLimits::default();
    followed.record_read(7, 1_000, TeamLimits::default);
    followed.record_read(8, 1_500, || limits(0));
    followed.record_read(0, 2_000, TeamLimits::default);
    assert_eq!(followed.version(), 0);
    assert!(!is_refused(&followed, 2_000));
    // A later record with a lower number than before is of unknown age.
    followed.record_read(8, 2_500, TeamLimits::default);
    followed.record_read(5, 3_000, || limits(0));
    assert!(!is_refused(&followed, 3_000));
}

// Guards against nodes that decide differently about a retry, and against a
// part that differs from the one in the record.
#[test]
fn nodes_accept_the_same_part_by_the_identifier() {
    let (a, b) = (limits(250), limits(250));
    let is_accepted = |limits: &TeamLimits, number| {
        let decision = limits.decide(POOL, TEAM, id(number));
        decision == SubmissionDecision::Accept
    };
    // Identifiers in sequence are spread as random ones are.
    let accepted = (0..4_000).filter(|n| is_accepted(&a, *n)).count();
    assert!((900..1_100).contains(&accepted), "{accepted}");
    assert!((0..4_000).all(|n| is_accepted(&a, n) == is_accepted(&b, n)));
    // A job that a smaller part accepts is accepted by a larger one as well.
    let larger = limits(400);
    assert!(
        (0..4_000).all(|n| !is_accepted(&a, n) || is_accepted(&larger, n))
    );
}

#[test]
fn other_teams_and_pools_are_not_limited() {
    let limits = limits(0);
    for (pool, team) in [(POOL, "banks"), ("archive", TEAM)] {
        let decision = limits.decide(pool, team, id(1));
        assert_eq!(decision, SubmissionDecision::Accept);
    }
}
