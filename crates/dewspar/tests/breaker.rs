//! Whether a service that has stopped answering is sent more.

use {
    dewspar::breaker::{Admission, Breaker, Change},
    quickcheck::{Arbitrary, Gen, QuickCheck},
};

const SILENCE_MS: u64 = 400;

#[test]
fn a_single_lost_answer_refuses_nobody() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.failed(5);
    assert_eq!(breaker.admit(5), Admission::Wait);
    assert!(breaker.take_probe(5));
    breaker.probed(true, 9);
    assert!(!breaker.probes_again());
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
    assert!(breaker.take_probe(700));
    assert!(!breaker.take_probe(701), "one probe at a time");
}

#[test]
fn an_idle_service_is_not_suspect() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.answered(3);
    assert_eq!(breaker.admit(1_000_000), Admission::Send);
    breaker.sent(1_000_000);
    breaker.dropped(1_000_300);
    assert_eq!(breaker.admit(2_000_000), Admission::Send);
}

#[test]
fn any_answer_ends_an_outage() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.failed(10);
    assert!(breaker.take_probe(10));
    breaker.probed(false, 20);
    assert!(breaker.is_out());
    assert_eq!(breaker.admit(50), Admission::Refuse { out_for_ms: 40 });
    // A call sent before the outage was known.
    breaker.heard(60);
    assert_eq!(breaker.admit(60), Admission::Send);
    assert!(!breaker.probes_again());
}

#[test]
fn an_answer_says_as_much_as_a_probe() {
    let mut breaker = Breaker::new(SILENCE_MS);
    breaker.sent(0);
    breaker.failed(10);
    assert!(breaker.take_probe(10));
    assert_eq!(breaker.heard(20), Change::Cleared);
    assert_eq!(breaker.admit(20), Admission::Send);
    // The probe was sent before, and is of no use any more.
    assert_eq!(breaker.probed(false, 30), Change::Same);
    assert_eq!(breaker.admit(30), Admission::Send);
    assert!(!breaker.probes_again());
}

/// What may happen to a breaker.
#[derive(Clone, Copy, Debug)]
enum Step {
    Sent,
    Answered,
    Failed,
    Dropped,
    Admit,
    Probe(bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let wait = Step::Wait(u8::arbitrary(g));
        let probe = Step::Probe(bool::arbitrary(g));
        *g.choose(&[
            Step::Sent,
            Step::Answered,
            Step::Failed,
            Step::Dropped,
            Step::Admit,
            probe,
            wait,
        ])
        // OK because the slice isn't empty.
        .expect("a step")
    }
}

/// Whatever happens, new calls are refused only after a probe failed, and
/// while they aren't sent somebody can probe or does.
fn refuses_only_with_reason(steps: Vec<Step>) -> bool {
    let mut breaker = Breaker::new(SILENCE_MS);
    let (mut now_ms, mut sent, mut probing) = (0, 0, false);
    let mut failed_probe = false;
    for step in steps {
        match step {
            Step::Sent => {
                breaker.sent(now_ms);
                sent += 1;
            }
            Step::Answered if sent > 0 => {
                breaker.answered(now_ms);
                sent -= 1;
                failed_probe = false;
            }
            Step::Failed if sent > 0 => {
                breaker.failed(now_ms);
                sent -= 1;
            }
            Step::Dropped if sent > 0 => {
                breaker.dropped(now_ms);
                sent -= 1;
            }
            Step::Probe(answered) => {
                probing |= breaker.take_probe(now_ms);
                if probing {
                    breaker.probed(answered, now_ms);
                    failed_probe = !answered;
                    probing = breaker.probes_again();
                }
            }
            Step::Wait(ms) => now_ms += u64::from(ms),
            Step::Admit => match breaker.admit(now_ms) {
                Admission::Send => {}
                Admission::Wait => {
                    let probes = breaker.take_probe(now_ms);
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
            Step::Answered | Step::Failed | Step::Dropped => {}
        }
    }
    true
}

/// Whoever waits is told of whatever ends the wait, and of nothing else.
fn tells_whoever_waits(steps: Vec<Step>) -> bool {
    let mut breaker = Breaker::new(SILENCE_MS);
    let mut now_ms = 0;
    steps.into_iter().all(|step| {
        let before = breaker.admit(now_ms);
        let change = match step {
            Step::Answered => breaker.answered(now_ms),
            Step::Probe(answered) => breaker.probed(answered, now_ms),
            Step::Sent => {
                breaker.sent(now_ms);
                Change::Same
            }
            Step::Failed => {
                breaker.failed(now_ms);
                Change::Same
            }
            Step::Dropped => {
                breaker.dropped(now_ms);
                Change::Same
            }
            Step::Admit => Change::Same,
            Step::Wait(ms) => {
                now_ms += u64::from(ms);
                Change::Same
            }
        };
        let after = breaker.admit(now_ms);
        match (before, change) {
            (Admission::Wait, Change::Same) => after == Admission::Wait,
            (Admission::Wait, Change::Cleared) => after == Admission::Send,
            (Admission::Wait, Change::Out { .. }) => {
                matches!(after, Admission::Refuse { .. })
            }
            (Admission::Wait, Change::Back { .. }) => false,
            (Admission::Refuse { .. }, Change::Back { .. }) => {
                after == Admission::Send
            }
            (Admission::Send | Admission::Refuse { .. }, change) => {
                change == Change::Same
            }
        }
    })
}

#[test]
fn tells_of_whatever_ends_a_wait() {
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(tells_whoever_waits as fn(Vec<Step>) -> bool);
}

#[test]
fn refuses_only_after_a_failed_probe() {
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(refuses_only_with_reason as fn(Vec<Step>) -> bool);
}
