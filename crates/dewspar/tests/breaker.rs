//! The circuit breaker: when calls are sent, delayed or refused.

use {
    dewspar::breaker::{Admission, Breaker, Change},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const SILENCE_MS: u64 = 400;

#[test]
fn a_single_lost_answer_does_not_open_the_breaker() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.failed(5);
    assert_eq!(breaker.admit(5), Admission::Wait);
    assert!(breaker.start_probing(5));
    breaker.probed(true, 9);
    assert!(!breaker.continue_probing());
    assert_eq!(breaker.admit(9), Admission::Send);
}

#[test]
fn silence_counts_only_while_nothing_is_answered() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.sent(100);
    breaker.answered(300);
    assert_eq!(breaker.admit(699), Admission::Send);
    assert_eq!(breaker.admit(700), Admission::Wait);
    assert!(breaker.start_probing(700));
    assert!(!breaker.start_probing(701), "one probe at a time");
}

#[test]
fn an_idle_service_is_not_suspect() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.answered(3);
    assert_eq!(breaker.admit(1_000_000), Admission::Send);
    breaker.sent(1_000_000);
    breaker.abandoned(1_000_300);
    assert_eq!(breaker.admit(2_000_000), Admission::Send);
}

#[test]
fn any_answer_closes_the_breaker() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.failed(10);
    assert!(breaker.start_probing(10));
    breaker.probed(false, 20);
    assert!(breaker.is_open());
    assert_eq!(breaker.admit(50), Admission::Refuse { out_for_ms: 40 });
    // The answer to a call that was sent before the breaker opened.
    breaker.other_answered(60);
    assert_eq!(breaker.admit(60), Admission::Send);
    assert!(!breaker.continue_probing());
}

#[test]
fn an_answer_counts_like_a_successful_probe() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.failed(10);
    assert!(breaker.start_probing(10));
    assert_eq!(breaker.other_answered(20), Change::Cleared);
    assert_eq!(breaker.admit(20), Admission::Send);
    // The probe was sent before that answer, so its failure is ignored.
    assert_eq!(breaker.probed(false, 30), Change::Unchanged);
    assert_eq!(breaker.admit(30), Admission::Send);
    assert!(!breaker.continue_probing());
}

/// An event that a breaker may see.
#[derive(Clone, Copy, Debug)]
enum Event {
    Sent,
    Answered,
    Failed,
    Dropped,
    Admit,
    Probe(bool),
    Wait(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let wait = Event::Wait(u8::arbitrary(g));
        let probe = Event::Probe(bool::arbitrary(g));
        *g.choose(&[
            Event::Sent,
            Event::Answered,
            Event::Failed,
            Event::Dropped,
            Event::Admit,
            probe,
            wait,
        ])
        // OK because the slice isn't empty.
        .expect("a step")
    }
}

/// Checks that new calls are refused only after a failed probe, and that
/// exactly one prober is active while calls wait.
fn rejects_only_after_failed_probe(events: Vec<Event>) -> bool {
    let mut breaker = Breaker::new(SILENCE_MS);
    let (mut now_ms, mut sent, mut probing) = (0, 0, false);
    let mut failed_probe = false;
    for event in events {
        match event {
            Event::Sent => {
                breaker.sent(now_ms);
                sent += 1;
            }
            Event::Answered if sent > 0 => {
                breaker.answered(now_ms);
                sent -= 1;
                failed_probe = false;
            }
            Event::Failed if sent > 0 => {
                breaker.failed(now_ms);
                sent -= 1;
            }
            Event::Dropped if sent > 0 => {
                breaker.abandoned(now_ms);
                sent -= 1;
            }
            Event::Probe(answered) => {
                probing |= breaker.start_probing(now_ms);
                if probing {
                    breaker.probed(answered, now_ms);
                    failed_probe = !answered;
                    probing = breaker.continue_probing();
                }
            }
            Event::Wait(ms) => now_ms += u64::from(ms),
            Event::Admit => match breaker.admit(now_ms) {
                Admission::Send => {}
                Admission::Wait => {
                    let probes = breaker.start_probing(now_ms);
                    if probes == probing {
                        return false;
                    }
                    probing = true;
                }
                Admission::Refuse { .. } => {
                    if !failed_probe {
                        return false;
                    }
                }
            },
            Event::Answered | Event::Failed | Event::Dropped => {}
        }
    }
    true
}

/// Checks that each reported change matches the decisions before and after it,
/// so that waiting calls are notified exactly when the wait ends.
fn changes_match_decisions(events: Vec<Event>) -> bool {
    let mut breaker = Breaker::new(SILENCE_MS);
    let mut now_ms = 0;
    events.into_iter().all(|event| {
        let before = breaker.admit(now_ms);
        let change = match event {
            Event::Answered => breaker.answered(now_ms),
            Event::Probe(answered) => breaker.probed(answered, now_ms),
            Event::Sent => {
                breaker.sent(now_ms);
                Change::Unchanged
            }
            Event::Failed => {
                breaker.failed(now_ms);
                Change::Unchanged
            }
            Event::Dropped => {
                breaker.abandoned(now_ms);
                Change::Unchanged
            }
            Event::Admit => Change::Unchanged,
            Event::Wait(ms) => {
                now_ms += u64::from(ms);
                Change::Unchanged
            }
        };
        let after = breaker.admit(now_ms);
        match (before, change) {
            (Admission::Wait, Change::Unchanged) => after == Admission::Wait,
            (Admission::Wait, Change::Cleared) => after == Admission::Send,
            (Admission::Wait, Change::Opened { .. }) => {
                matches!(after, Admission::Refuse { .. })
            }
            (Admission::Wait, Change::Closed { .. }) => false,
            (Admission::Refuse { .. }, Change::Closed { .. }) => {
                after == Admission::Send
            }
            (Admission::Send | Admission::Refuse { .. }, change) => {
                change == Change::Unchanged
            }
        }
    })
}

#[test]
fn every_change_for_waiting_calls_is_reported() {
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(changes_match_decisions as fn(Vec<Event>) -> bool);
}

#[test]
fn refuses_only_after_a_failed_probe() {
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(rejects_only_after_failed_probe as fn(Vec<Event>) -> bool);
}
