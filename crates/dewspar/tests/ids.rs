//! Parsing of identifiers: errors state the expected format.

use dewspar::job::{JobId, TaskId};

#[test]
fn invalid_job_id_error_states_the_format() {
    for text in ["", "12", "00000000000000AB", "000000000000000g"] {
        let error = text.parse::<JobId>().expect_err(text);
        let expected = format!("`{text}` isn't 16 hex digits");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn invalid_task_id_error_states_the_format() {
    let job = format!("{:016x}", 7);
    for rest in ["", ".0", ".0.1", ".0.1.x", ".0.1.2.3"] {
        let text = format!("{job}{rest}");
        let error = text.parse::<TaskId>().expect_err(&text);
        let expected = format!("`{text}` isn't JOB.ROUND.STEP.INDEX");
        assert_eq!(error.to_string(), expected);
    }
    // An invalid job within a task's identifier is reported on its own.
    let error = "7.0.1.2".parse::<TaskId>().expect_err("a short job");
    assert_eq!(error.to_string(), "`7` isn't 16 hex digits");
}
