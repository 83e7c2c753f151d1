//! How orders find their way to a data hall that some others can't reach.

use dewspar::hall_routes::{
    CUT_OFF_MS, Choice, FIRST_PAUSE_MS, HallRoutes, MAX_PAUSE_MS,
    PROBE_GAP_MS, Transition,
};

const OWN: &str = "hall-a";
const FAR: &str = "hall-b";
const THIRD: &str = "hall-c";

/// The time that an unanswered order takes, in milliseconds.
const TIMEOUT_MS: u64 = 300;

fn choose(
    routes: &mut HallRoutes,
    worker: &str,
    is_hold: bool,
    now_ms: u64,
) -> Choice {
    routes.choose(FAR, worker, is_hold, OWN, &[THIRD], now_ms)
}

/// Workers of the far hall answer directly until 1,000 ms, and then only over
/// the third hall; returns the state once the first of them has.
fn half_cut() -> HallRoutes {
    let mut routes = HallRoutes::default();
    assert_eq!(routes.answered(OWN, FAR, "w-0", 1_000), None);
    let failed_ms = 1_010 + TIMEOUT_MS;
    assert_eq!(routes.unanswered(OWN, FAR, "w-1", 1_010, failed_ms), None);
    assert_eq!(choose(&mut routes, "w-1", true, failed_ms), Choice::Over(0));
    let changed = routes.answered(THIRD, FAR, "w-1", failed_ms + 10);
    assert_eq!(
        changed,
        Some(Transition::Out {
            from: OWN.to_owned(),
            hall: FAR.to_owned(),
            over: THIRD.to_owned(),
        })
    );
    routes
}

/// Guards against a hall whose workers are found out one by one.
#[test]
fn one_answer_over_another_hall_routes_the_whole_hall() {
    let mut routes = half_cut();
    for worker in ["w-2", "w-3", "never-seen"] {
        for is_hold in [true, false] {
            let way = choose(&mut routes, worker, is_hold, 1_400);
            assert_eq!(way, Choice::Over(0));
        }
    }
    assert_eq!(routes.out_from(OWN).collect::<Vec<_>>(), [FAR]);
    // Other halls are called as before.
    let way = routes.choose(THIRD, "x", true, OWN, &[FAR], 1_400);
    assert_eq!(way, Choice::Preferred);
}

/// Guards against a single crash that takes a hall's path out.
#[test]
fn a_worker_that_answers_on_no_path_changes_nothing() {
    let mut routes = HallRoutes::default();
    routes.answered(OWN, FAR, "w-0", 1_000);
    for round in 0..20 {
        let now_ms = 2_000 + round * 1_000;
        routes.answered(OWN, FAR, "w-0", now_ms);
        let way = choose(&mut routes, "w-1", true, now_ms);
        let from = if way == Choice::Over(0) { THIRD } else { OWN };
        let end_ms = now_ms + TIMEOUT_MS;
        let changed = routes.unanswered(from, FAR, "w-1", now_ms, end_ms);
        assert_eq!(changed, None);
        assert_eq!(
            choose(&mut routes, "w-2", true, end_ms),
            Choice::Preferred
        );
    }
    assert_eq!(routes.out_from(OWN).count(), 0);
}

/// Guards against one worker with a broken link that takes its neighbors, which
/// answer, over another hall.
#[test]
fn a_path_on_which_neighbors_answer_stays_in_use() {
    let mut routes = HallRoutes::default();
    routes.unanswered(OWN, FAR, "w-1", 1_000, 1_300);
    routes.answered(OWN, FAR, "w-2", 1_290);
    assert_eq!(choose(&mut routes, "w-1", true, 1_300), Choice::Over(0));
    assert_eq!(routes.answered(THIRD, FAR, "w-1", 1_310), None);
    assert_eq!(choose(&mut routes, "w-2", true, 1_310), Choice::Preferred);
}

/// Guards against orders that wait for news and were sent before the path
/// broke: neighbors answered meanwhile, so one such order shows nothing.
#[test]
fn two_workers_whose_orders_were_sent_before_the_cut_take_the_path_out() {
    let mut routes = HallRoutes::default();
    routes.unanswered(OWN, FAR, "w-1", 1_000, 1_300);
    routes.unanswered(OWN, FAR, "w-2", 1_000, 1_300);
    let mut others = routes.clone();
    // The path breaks after this answer.
    for routes in [&mut routes, &mut others] {
        routes.answered(OWN, FAR, "w-3", 1_290);
    }
    assert_eq!(routes.answered(THIRD, FAR, "w-1", 1_310), None);
    let changed = routes.answered(THIRD, FAR, "w-2", 1_360);
    assert!(matches!(changed, Some(Transition::Out { .. })));
    // A neighbor that answers in between shows that it works.
    assert_eq!(others.answered(THIRD, FAR, "w-1", 1_310), None);
    others.answered(OWN, FAR, "w-3", 1_330);
    assert_eq!(others.answered(THIRD, FAR, "w-2", 1_360), None);
}

/// Guards against a single broken link that takes the path out in time.
#[test]
fn one_worker_that_fails_again_and_again_does_not_take_the_path_out() {
    let mut routes = HallRoutes::default();
    for round in 0..10 {
        let sent_ms = 1_000 + round * 1_000;
        routes.answered(OWN, FAR, "w-2", sent_ms + 290);
        routes.unanswered(OWN, FAR, "w-1", sent_ms, sent_ms + 300);
        let changed = routes.answered(THIRD, FAR, "w-1", sent_ms + 310);
        assert_eq!(changed, None);
    }
}

/// Guards against starts and stops that are used as probes: only a `hold`
/// order is repeated without harm.
#[test]
fn only_hold_orders_are_probes() {
    let mut routes = HallRoutes::default();
    routes.unanswered(OWN, FAR, "w-1", 0, 300);
    assert_eq!(choose(&mut routes, "w-1", false, 300), Choice::Preferred);
    assert_eq!(choose(&mut routes, "w-1", true, 300), Choice::Over(0));
    let mut routes = half_cut();
    let try_ms = 5_000;
    assert_eq!(choose(&mut routes, "w-1", false, try_ms), Choice::Over(0));
    assert_eq!(choose(&mut routes, "w-1", true, try_ms), Choice::Preferred);
}

/// Guards against a lost hall whose orders all go over a relay.
#[test]
fn probes_of_a_hall_are_spaced() {
    let mut routes = HallRoutes::default();
    for number in 0..100 {
        let worker = format!("w-{number}");
        routes.unanswered(OWN, FAR, &worker, 0, 300);
    }
    let mut probes = 0;
    for now_ms in 300..1_300 {
        let worker = format!("w-{}", now_ms % 100);
        let way = choose(&mut routes, &worker, true, now_ms);
        probes += u64::from(way == Choice::Over(0));
    }
    assert_eq!(probes, 1_000 / PROBE_GAP_MS);
}

/// Guards against a path that stays out after it works again, and against one
/// that is tried so often that workers miss their orders.
#[test]
fn a_path_that_is_out_is_tried_now_and_then_until_it_answers() {
    let mut routes = half_cut();
    let mut tries = Vec::new();
    for now_ms in (1_320..30_000).step_by(10) {
        if choose(&mut routes, "w-1", true, now_ms) == Choice::Preferred {
            tries.push(now_ms);
            let end_ms = now_ms + TIMEOUT_MS;
            routes.unanswered(OWN, FAR, "w-1", now_ms, end_ms);
        }
        routes.answered(THIRD, FAR, "w-2", now_ms);
    }
    assert_eq!(tries[0], 1_320 + FIRST_PAUSE_MS);
    let longest_ms = MAX_PAUSE_MS + TIMEOUT_MS;
    assert!(tries.len() as u64 >= 28_000 / longest_ms, "{tries:?}");
    assert!(tries.len() <= 9, "{tries:?}");
    let restored = routes.answered(OWN, FAR, "w-3", 30_000);
    assert_eq!(
        restored,
        Some(Transition::Restored {
            from: OWN.to_owned(),
            hall: FAR.to_owned(),
            out_for_ms: 30_000 - 1_320,
        })
    );
    assert_eq!(choose(&mut routes, "w-1", true, 30_000), Choice::Preferred);
}

/// Guards against a hall that is cut off as a whole and treated as half-cut.
#[test]
fn a_hall_that_answers_on_no_path_is_called_directly_again() {
    let mut routes = half_cut();
    let mut now_ms = 1_320;
    let changed = loop {
        now_ms += 100;
        let sent_ms = now_ms - TIMEOUT_MS;
        let changed = routes.unanswered(THIRD, FAR, "w-1", sent_ms, now_ms);
        if let Some(changed) = changed {
            break changed;
        }
    };
    let out_for_ms = now_ms - 1_320;
    assert_eq!(
        changed,
        Transition::CutOff { hall: FAR.to_owned(), out_for_ms }
    );
    assert!((CUT_OFF_MS..CUT_OFF_MS + 100).contains(&out_for_ms));
    assert_eq!(choose(&mut routes, "w-1", true, now_ms), Choice::Preferred);
    assert!(routes.is_quiet());
}

/// The reverse: a relay's hall can't reach the workers, and the holder can.
#[test]
fn a_relay_whose_hall_reaches_nobody_is_passed_over_for_that_hall() {
    let mut routes = HallRoutes::default();
    routes.unanswered(THIRD, FAR, "w-1", 0, 300);
    let others = [OWN];
    let way = routes.choose(FAR, "w-1", true, THIRD, &others, 300);
    assert_eq!(way, Choice::Over(0));
    let changed = routes.answered(OWN, FAR, "w-1", 310);
    assert!(matches!(changed, Some(Transition::Out { .. })));
    let way = routes.choose(FAR, "w-2", false, THIRD, &others, 320);
    assert_eq!(way, Choice::Over(0));
    // The relay goes on with the workers of other halls.
    let way = routes.choose(OWN, "x", false, THIRD, &others, 320);
    assert_eq!(way, Choice::Preferred);
}

/// Guards against a second path that fails while the first one is out.
#[test]
fn a_worker_that_fails_over_one_hall_is_asked_over_another() {
    let mut routes = half_cut();
    let others = [THIRD, "hall-d"];
    routes.unanswered(THIRD, FAR, "w-2", 1_400, 1_700);
    let way = routes.choose(FAR, "w-2", true, OWN, &others, 1_700);
    assert_eq!(way, Choice::Over(1));
    let changed = routes.answered("hall-d", FAR, "w-2", 1_710);
    assert!(matches!(
        changed,
        Some(Transition::Out { from, .. }) if from == THIRD
    ));
    let way = routes.choose(FAR, "w-3", true, OWN, &others, 1_720);
    assert_eq!(way, Choice::Over(1));
}

#[test]
fn workers_that_are_no_longer_listed_are_forgotten() {
    let mut routes = HallRoutes::default();
    routes.unanswered(OWN, FAR, "w-1", 0, 300);
    assert!(!routes.is_quiet());
    routes.retain_workers(|worker| worker != "w-1", |_| true);
    assert!(routes.is_quiet());
}

/// Guards against a path that counts as out for good because its hall has no
/// workers left to try it with.
#[test]
fn a_hall_without_workers_is_forgotten() {
    let mut routes = half_cut();
    assert_eq!(routes.out_from(OWN).collect::<Vec<_>>(), [FAR]);
    routes.retain_workers(|_| true, |hall| hall == FAR);
    assert_eq!(routes.out_from(OWN).count(), 1);
    routes.retain_workers(|_| false, |hall| hall != FAR);
    assert_eq!(routes.out_from(OWN).count(), 0);
    assert!(routes.is_quiet());
}

/// Guards against a crashed worker whose repeated orders postpone the tries of
/// a path that works again.
#[test]
fn a_crashed_worker_does_not_postpone_tries_of_a_path() {
    let mut routes = half_cut();
    for now_ms in (1_400..2_320).step_by(100) {
        let way = choose(&mut routes, "gone", true, now_ms);
        assert_eq!(way, Choice::Over(0));
        routes.unanswered(THIRD, FAR, "gone", now_ms, now_ms + 50);
        routes.answered(THIRD, FAR, "w-2", now_ms + 60);
    }
    let try_ms = 1_320 + FIRST_PAUSE_MS;
    assert_eq!(choose(&mut routes, "w-2", true, try_ms), Choice::Preferred);
}
