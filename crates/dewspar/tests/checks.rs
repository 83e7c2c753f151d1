//! The history check: valid histories pass, and each violation is reported.

use dewspar::history::{Promise, check, parse};

macro_rules! history {
    ($name:literal) => {
        include_str!(concat!("histories/", $name, ".jsonl"))
    };
}

#[test]
fn good_history_holds_and_tests_every_promise() {
    let report = check(&parse(history!("good")).expect("a history"));
    for promise in Promise::ALL {
        let finding = report.get(promise);
        assert!(finding.checks() > 0, "{}", promise.as_str());
        assert_eq!(finding.first_violation(), None);
    }
    assert!(report.holds());
}

#[test]
fn violations_are_reported_with_the_first_event() {
    let cases = [
        (
            history!("broken-budget"),
            Promise::Budget,
            "line 1: budget b needs 3 and had 2",
        ),
        (
            history!("broken-one-pool"),
            Promise::OnePool,
            "line 2: VM vm-1 is in p and in q at epoch 4",
        ),
        (
            history!("broken-own-answer"),
            Promise::OwnAnswer,
            "line 2: request r1 got r2's answer",
        ),
        (
            history!("broken-whole-answer"),
            Promise::OwnAnswer,
            "line 2: request r1 got half an answer",
        ),
        (
            history!("broken-not-run"),
            Promise::NotRun,
            "line 2: request r1 ran, but line 1 said it was not run",
        ),
        (
            history!("broken-at-most-once"),
            Promise::AtMostOnce,
            "line 2: key k ran a second time",
        ),
        (
            history!("broken-leaving"),
            Promise::Leaving,
            "line 2: VM vm-1 got work 3001 ms after leaving",
        ),
        (
            // No longer marked in its row, but still in the platform's list.
            history!("broken-leaving-one-mark"),
            Promise::Leaving,
            "line 4: VM vm-1 got work 3001 ms after leaving",
        ),
        (
            history!("broken-planned-stop"),
            Promise::PlannedStop,
            "line 1: request r1 was cut by reboot",
        ),
        (
            history!("broken-configuration"),
            Promise::Configuration,
            "line 2: node n1#1 went from 5 to 4",
        ),
        (
            history!("broken-configuration-late"),
            Promise::Configuration,
            "line 2: node n1#1 has 1, but 2 was accepted over 6000 ms ago",
        ),
    ];
    for (text, promise, first) in cases {
        let report = check(&parse(text).expect("a history"));
        assert!(!report.holds());
        assert_eq!(report.get(promise).first_violation(), Some(first));
        for other in Promise::ALL.into_iter().filter(|p| *p != promise) {
            assert_eq!(
                report.get(other).violations(),
                0,
                "{}",
                other.as_str()
            );
        }
    }
}

#[test]
fn unreadable_line_is_named() {
    let text =
        "{\"at_ms\":1,\"event\":\"back\",\"vm\":\"v\"}\n{\"at_ms\":2}\n";
    let error = parse(text).expect_err("line 2 has no event");
    let text = error.to_string();
    assert!(text.starts_with("line 2 of the history"), "{text}");
}
