//! The link budget under more load than the link can carry.

use dewspar::{
    link::{Class, LinkBudget, LinkLimits},
    window::{CallEnd, WindowLimits},
};

const QUESTION: u64 = 250;
const START: u64 = 1_000;

/// Sends all starts (if `starts` is set) and then all questions that are
/// allowed, every 5 ms for `ms`; returns the number of each.
fn send_for(budget: &mut LinkBudget, ms: u64, starts: bool) -> (u64, u64) {
    let mut sent = (0, 0);
    for now_ms in (0..ms).step_by(5) {
        budget.refill(now_ms + 10_000);
        while starts && budget.allows(Class::Start) {
            budget.sent(Class::Start, START);
            sent.0 += 1;
        }
        while budget.allows(Class::Question) {
            budget.sent(Class::Question, QUESTION);
            sent.1 += 1;
        }
    }
    sent
}

/// Exhausts the budget of starts.
fn exhaust(budget: &mut LinkBudget, now_ms: u64) {
    budget.refill(now_ms);
    budget.sent(Class::Start, 1_000_000);
}

#[test]
fn slow_calls_on_an_idle_link_keep_the_rate() {
    let window = WindowLimits::default();
    let mut budget = LinkBudget::new(LinkLimits::of_link(20.0));
    let full = budget.rate();
    for call in 0..1_000 {
        let now_ms = 1_000 + call * 10;
        budget.refill(now_ms);
        budget.sent(Class::Start, START);
        let end = CallEnd::Answered { took_ms: 400 };
        budget.ended(now_ms - 400, now_ms, end, &window);
    }
    assert_eq!(budget.rate(), full);
}

#[test]
fn starts_and_questions_do_not_starve_each_other() {
    let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
    let (starts, questions) = send_for(&mut budget, 10_000, true);
    // Of 175 kB/s, 60 % are for starts of 1 kB and 40 % for questions of
    // 250 bytes.
    assert!((1_000..1_100).contains(&starts), "{starts}");
    assert!((2_700..2_900).contains(&questions), "{questions}");
}

#[test]
fn unused_share_goes_to_the_other_class() {
    let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
    let (_, questions) = send_for(&mut budget, 10_000, false);
    assert!((6_900..7_200).contains(&questions), "{questions}");
}

#[test]
fn renewals_and_stops_are_always_allowed() {
    let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
    budget.refill(1_000);
    budget.sent(Class::Start, 1_000_000);
    budget.sent(Class::Question, 1_000_000);
    assert!(budget.allows(Class::Renewal));
    assert!(budget.allows(Class::Stop));
    assert!(!budget.allows(Class::Fence));
    assert!(!budget.allows(Class::Question));
    assert!(!budget.allows(Class::Start));
}

#[test]
fn one_congestion_event_lowers_the_rate_once() {
    let window = WindowLimits::default();
    let mut budget = LinkBudget::new(LinkLimits::of_link(2.0));
    let full = budget.rate();
    exhaust(&mut budget, 1_000);
    // 200 calls that were all delayed by the same read of the directory.
    for _ in 0..200 {
        budget.ended(1_000, 1_300, CallEnd::Unanswered, &window);
    }
    assert_eq!(budget.rate(), full / 100 * 70);
    // Calls that were sent after the rate was lowered are slow too.
    for _ in 0..32 {
        budget.ended(1_301, 1_600, CallEnd::Unanswered, &window);
    }
    assert!(budget.rate() < full / 2);
}

#[test]
fn rate_follows_a_link_that_drops_to_a_tenth_and_recovers() {
    let window = WindowLimits::default();
    let limits = LinkLimits::of_link(20.0);
    let mut budget = LinkBudget::new(limits);
    let full = budget.rate();
    let mut now_ms = 1_000;
    for _ in 0..1_000 {
        now_ms += 100;
        exhaust(&mut budget, now_ms);
        let end = CallEnd::Answered { took_ms: 400 };
        budget.ended(now_ms - 50, now_ms, end, &window);
    }
    assert_eq!(budget.rate(), full / 100 * limits.min_percent);
    exhaust(&mut budget, now_ms);
    assert!(!budget.is_saturated(now_ms), "the rate is at its minimum");
    for _ in 0..1_000 {
        now_ms += 100;
        let end = CallEnd::Answered { took_ms: 3 };
        budget.ended(now_ms - 3, now_ms, end, &window);
    }
    assert_eq!(budget.rate(), full);
    exhaust(&mut budget, now_ms);
    assert!(budget.is_saturated(now_ms), "orders wait for the link");
    assert!(!budget.is_saturated(now_ms + 2_000));
}
