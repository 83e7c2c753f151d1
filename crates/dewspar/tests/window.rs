//! How the call window grows and shrinks.

use {
    dewspar::{
        overload::RoundTrips,
        window::{CallEnd, CallWindow, WindowLimits},
    },
    quickcheck::quickcheck,
    std::collections::VecDeque,
};

const FAST: CallEnd = CallEnd::Answered { took_ms: 2 };
const MODERATE: CallEnd = CallEnd::Answered { took_ms: 120 };
const SLOW: CallEnd = CallEnd::Answered { took_ms: 190 };

/// Fills the window and ends every call, cycling through `ends`.
fn fill(window: &mut CallWindow, ends: &[CallEnd]) {
    let room = window.room();
    window.sent(room);
    for call in 0..room {
        window.ended(ends[call % ends.len()]);
    }
}

#[test]
fn grows_by_half_while_calls_are_fast_and_shrinks_once_they_are_slow() {
    let limits = WindowLimits { initial: 64, ..WindowLimits::default() };
    let mut window = CallWindow::new(limits);
    fill(&mut window, &[FAST]);
    fill(&mut window, &[FAST]);
    assert_eq!(window.size(), 144);
    fill(&mut window, &[MODERATE]);
    assert_eq!(window.size(), 144);
    fill(&mut window, &[SLOW]);
    assert_eq!(window.size(), 72);
    fill(&mut window, &[FAST]);
    assert_eq!(window.size(), 108);
}

#[test]
fn a_minority_of_silent_servers_does_not_shrink_the_window() {
    let limits = WindowLimits::default();
    let mut window = CallWindow::new(limits);
    fill(&mut window, &[FAST, FAST, CallEnd::Unanswered]);
    assert_eq!(window.size(), limits.initial + limits.initial / 2);
}

#[test]
fn shrinks_while_most_calls_get_no_answer() {
    let limits = WindowLimits::default();
    let mut window = CallWindow::new(limits);
    for _ in 0..9 {
        fill(&mut window, &[CallEnd::Unanswered]);
    }
    assert_eq!(window.size(), limits.least);
    assert_eq!(window.room(), limits.least);
}

#[test]
fn does_not_grow_while_it_is_not_full() {
    let limits = WindowLimits::default();
    let mut window = CallWindow::new(limits);
    for _ in 0..1_000 {
        window.sent(1);
        window.ended(FAST);
    }
    assert_eq!(window.size(), limits.initial);
}

/// The timeout of an order.
const TIMEOUT_MS: u64 = 200;

/// Simulates a node that completes this many calls a second, in order, and has
/// a backlog for 20 s; returns whether it is detected as overloaded.
fn is_found_overloaded(calls_per_s: f64) -> bool {
    let mut window = CallWindow::new(WindowLimits::default());
    let mut trips = RoundTrips::new(600);
    let mut in_flight: VecDeque<u64> = VecDeque::new();
    let mut credit = 0.0;
    (10_000..30_000).any(|now_ms| {
        let room = window.room();
        in_flight.extend(std::iter::repeat_n(now_ms, room));
        window.sent(room);
        credit += calls_per_s / 1_000.0;
        while credit >= 1.0 {
            credit -= 1.0;
            // OK because the window is kept full.
            let sent_ms = in_flight.pop_front().unwrap();
            let took_ms = now_ms - sent_ms;
            if took_ms <= TIMEOUT_MS {
                trips.record(now_ms, took_ms);
                window.ended(CallEnd::Answered { took_ms });
            } else {
                window.ended(CallEnd::Unanswered);
            }
        }
        trips.is_overloaded(now_ms, window.overloaded_ms(140))
    })
}

#[test]
fn a_node_too_slow_for_the_smallest_window_is_found_overloaded() {
    assert!(is_found_overloaded(350.0));
    assert!(is_found_overloaded(500.0));
    // A node with half a core is busy but keeps up with its work.
    assert!(!is_found_overloaded(2_000.0));
}

quickcheck! {
    fn size_stays_within_its_limits(ends: Vec<u8>) -> bool {
        let limits = WindowLimits::default();
        let mut window = CallWindow::new(limits);
        ends.iter().all(|end| {
            let end = match end % 4 {
                0 => CallEnd::Unanswered,
                1 => CallEnd::Discarded,
                2 => SLOW,
                _ => FAST,
            };
            fill(&mut window, &[end]);
            let size = window.size();
            let none_in_flight = window.in_flight() == 0;
            (limits.least..=limits.most).contains(&size) && none_in_flight
        })
    }
}
