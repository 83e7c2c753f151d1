//! A job's story from logs.

use dewspar_cli::story::Story;

const JOB: &str = "5c0e7a21d94b36f8";

fn line(at: &str, rest: &str) -> String {
    format!(r#"{{"ts":"2026-01-30T{at}Z","node":"n1",{rest}}}"#)
}

fn logs() -> Vec<String> {
    let own =
        |at: &str, rest: &str| line(at, &format!(r#""job":"{JOB}",{rest}"#));
    vec![
        // Not in order, as logs of several nodes are.
        own(
            "11:00:03",
            r#""msg":"task: ended","cause":"failed","worker":"w1","task":"t.0""#,
        ),
        own(
            "11:00:01",
            r#""msg":"call: answered","operation":"submit","outcome":"not_done""#,
        ),
        own(
            "11:00:02",
            r#""msg":"call: answered","operation":"submit","outcome":"accepted""#,
        ),
        own(
            "11:00:02.5",
            r#""msg":"task: start ordered","worker":"w1","task":"t.0","waited_ms":20"#,
        ),
        own(
            "11:00:05",
            r#""msg":"task: start ordered","worker":"w2","task":"t.0","waited_ms":900"#,
        ),
        own(
            "11:00:07",
            r#""msg":"job: came to its end","phase":"completed","after_ms":5000"#,
        ),
        // Of its time, and about its worker.
        line(
            "11:00:04",
            r#""msg":"worker: suspended","worker":"w1","reason":"x""#,
        ),
        line(
            "11:00:04.5",
            r#""msg":"election: this node schedules","revision":9"#,
        ),
        // Another worker, another job, another time.
        line(
            "11:00:04",
            r#""msg":"worker: suspended","worker":"w9","reason":"x""#,
        ),
        line(
            "11:00:04",
            r#""msg":"task: start ordered","worker":"w1","job":"0000000000000001""#,
        ),
        line(
            "11:00:09",
            r#""msg":"election: this node schedules","revision":10"#,
        ),
        "no JSON at all".to_owned(),
    ]
}

#[test]
fn tells_a_job_from_its_first_try_to_its_end() {
    let logs = logs();
    let story =
        Story::read(logs.iter().map(String::as_str), JOB.parse().unwrap());
    let told: Vec<String> =
        story.lines().iter().map(|line| line.to_text()).collect();
    let begins = |index: usize, text: &str| {
        assert!(told[index].contains(text), "{index}: {told:#?}");
    };
    assert_eq!(told.len(), 8, "{told:#?}");
    begins(0, "outcome=not_done");
    begins(3, "cause=failed");
    begins(4, "worker: suspended");
    begins(5, "election: this node schedules");
    begins(7, "after_ms=5000");
    assert_eq!(
        story.summary(),
        "handed in, 1 times accepted; handed in, 1 times not_done; \
         2 starts ordered; t.0 waited longest, 900 ms; \
         1 runs ended as failed; completed after 5000 ms",
    );
}

#[test]
fn a_job_that_no_log_names_has_no_story() {
    let logs = logs();
    let other = "00000000000000ff".parse().unwrap();
    let story = Story::read(logs.iter().map(String::as_str), other);
    assert!(story.lines().is_empty());
    assert_eq!(story.summary(), "no end in these logs");
}
