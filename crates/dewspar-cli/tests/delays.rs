//! Where the time of late jobs went, from logs.

use dewspar_cli::delays::{Cause, Delays, Fate};

/// Logs of a job each, with times in milliseconds after a full hour.
#[derive(Default)]
struct Logs(Vec<String>);

impl Logs {
    fn line(&mut self, at_ms: u64, rest: &str) {
        let (second, ms) = (at_ms / 1_000, at_ms % 1_000);
        let ts = format!("2026-01-30T11:00:{second:02}.{ms:03}Z");
        self.0.push(format!(r#"x {{"ts":"{ts}","node":"n1",{rest}}}"#));
    }

    fn tried(&mut self, job: &str, at_ms: u64, outcome: &str) {
        self.line(
            at_ms,
            &format!(
                r#""msg":"call: answered","operation":"submit","job":"{job}",
                "queue":"scans","took_ms":10,"deadline_ms":3000,
                "outcome":"{outcome}""#
            )
            .replace('\n', " "),
        );
    }

    fn taken_in(&mut self, job: &str, at_ms: u64) {
        self.line(
            at_ms,
            &format!(
                r#""msg":"job: taken in","job":"{job}","pool":"tills",
                "rounds":1,"target_latency_ms":600,"stretch":1.5"#
            )
            .replace('\n', " "),
        );
    }

    fn ran(
        &mut self,
        job: &str,
        run: u64,
        (from_ms, to_ms): (u64, u64),
        waited_ms: u64,
        cause: &str,
    ) {
        let task =
            format!(r#""job":"{job}","task":"{job}.0.0.0","run":{run}"#);
        self.line(
            from_ms,
            &format!(
                r#""msg":"task: start ordered",{task},"waited_ms":{waited_ms},
                "cpu_millis":2000"#
            )
            .replace('\n', " "),
        );
        self.line(
            to_ms,
            &format!(r#""msg":"task: ended",{task},"cause":"{cause}""#),
        );
    }

    fn over(&mut self, job: &str, at_ms: u64) {
        self.line(
            at_ms,
            &format!(
                r#""msg":"job: came to its end","job":"{job}",
                "phase":"completed""#
            )
            .replace('\n', " "),
        );
    }

    fn read(&self) -> Delays {
        Delays::read(self.0.iter().map(String::as_str))
    }
}

#[test]
fn a_job_that_waits_for_vms_is_late_for_them() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.line(
        1_100,
        r#""msg":"vms: listed","pools":"{\"tills\":{\"up\":1,\"moving\":2},\"spare\":{\"up\":5}}","free_pools":"[\"spare\"]","vm_cpu_millis":4000"#,
    );
    logs.ran("a", 1, (3_010, 4_010), 2_000, "done");
    logs.over("a", 4_020);
    let delays = logs.read();
    assert_eq!(delays.count(Fate::Late), 1);
    let job = &delays.jobs()[0];
    assert_eq!(job.main_cause(), Some(Cause::VmComing));
    assert_eq!(job.by_cause()[&Cause::Working], 1_000);
    assert_eq!(job.by_cause()[&Cause::NoRoom], 90);
    // Three VMs for 2.92 s; half of one for 1 s.
    assert!(delays.to_text().contains("9                0     17.52"));
}

#[test]
fn a_run_that_failed_makes_its_job_late() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.ran("a", 1, (1_020, 2_020), 10, "failed");
    logs.ran("a", 2, (2_030, 3_030), 10, "done");
    logs.over("a", 3_040);
    let delays = logs.read();
    assert_eq!(delays.count(Fate::OnTime), 1, "{}", delays.to_text());
    logs.ran("b", 1, (9_020, 10_020), 10, "lost");
    logs.ran("b", 2, (10_030, 12_030), 10, "stopped");
    logs.ran("b", 3, (12_030, 13_030), 0, "done");
    logs.tried("b", 9_000, "accepted");
    logs.taken_in("b", 9_010);
    logs.over("b", 13_040);
    let delays = logs.read();
    assert_eq!(delays.count(Fate::Late), 1);
    assert_eq!(delays.jobs()[1].main_cause(), Some(Cause::Again));
}

#[test]
fn a_run_whose_end_nobody_logged_ends_with_its_job() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.line(
        1_020,
        r#""msg":"task: start ordered","job":"a","task":"a.0.0.0","run":1,"cpu_millis":2000"#,
    );
    logs.line(
        1_020,
        r#""msg":"vms: listed","pools":"{}","vm_cpu_millis":1000"#,
    );
    logs.over("a", 2_020);
    logs.tried("z", 9_000, "accepted");
    // Two VMs' worth for a second.
    assert!(logs.read().to_text().contains("0                2     0.00"));
}

#[test]
fn a_list_of_vms_that_cannot_be_read_changes_nothing() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    let listed = |pools: &str| {
        format!(r#""msg":"vms: listed","pools":"{pools}","vm_cpu_millis":1"#)
    };
    logs.line(1_000, &listed(r#"{\"tills\":{\"up\":2}}"#));
    logs.line(2_000, &listed("{tills"));
    logs.tried("z", 3_000, "accepted");
    // Two VMs for two seconds.
    let text = logs.read().to_text();
    assert!(text.contains("4                0 "), "{text}");
}

#[test]
fn who_could_not_be_served_is_told_from_who_was_not() {
    let mut logs = Logs::default();
    // Nobody stores anything between 1 s and 6 s.
    logs.tried("z", 1_000, "accepted");
    logs.tried("a", 1_500, "not_done");
    logs.tried("a", 4_000, "unknown");
    logs.tried("b", 5_000, "not_done");
    logs.tried("c", 6_000, "accepted");
    let delays = logs.read();
    assert_eq!(delays.count(Fate::RefusedUnavoidably), 1);
    assert_eq!(delays.count(Fate::Refused), 1);
    // What was accepted and has no end is neither.
    assert_eq!(delays.count(Fate::Open), 2);
}

#[test]
fn a_refused_caller_that_came_back_late_is_late_by_that() {
    let mut logs = Logs::default();
    logs.tried("z", 1_000, "accepted");
    logs.tried("a", 1_500, "not_done");
    logs.tried("z2", 1_700, "accepted");
    logs.tried("a", 3_600, "accepted");
    logs.taken_in("a", 3_610);
    logs.line(3_615, r#""msg":"election: this node schedules","revision":9"#);
    logs.line(
        3_620,
        r#""msg":"election: this node no longer schedules","revision":9"#,
    );
    logs.line(3_820, r#""msg":"election: this node schedules","revision":12"#);
    logs.ran("a", 13, (3_850, 4_850), 30, "done");
    logs.over("a", 4_860);
    let delays = logs.read();
    let job = &delays.jobs()[1];
    assert_eq!(job.fate, Fate::Late);
    assert_eq!(job.main_cause(), Some(Cause::Refused));
    assert_eq!(job.by_cause()[&Cause::NoHolder], 200);
    assert_eq!(job.by_cause()[&Cause::Storing], 10);
}

#[test]
fn the_picture_names_the_causes_that_it_shows() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.ran("a", 1, (4_010, 5_010), 3_000, "done");
    logs.over("a", 5_020);
    let svg = dewspar_cli::delays::plot::svg(&logs.read()).expect("a picture");
    assert!(svg.starts_with("<svg"));
    assert!(svg.contains("no room in the pool"));
}

/// An end that a silent worker reports late must not count as work: its job
/// would be given more time than its work needs.
#[test]
fn an_end_that_is_reported_late_makes_its_job_late() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.line(
        1_020,
        r#""msg":"task: start ordered","job":"a","task":"a.0.0.0","run":1,"cpu_millis":2000"#,
    );
    logs.line(
        7_000,
        r#""msg":"task: ended","job":"a","task":"a.0.0.0","run":1,"cause":"done","worked_ms":800"#,
    );
    logs.over("a", 7_010);
    let delays = logs.read();
    assert_eq!(delays.count(Fate::Late), 1, "{}", delays.to_text());
    let job = &delays.jobs()[0];
    assert_eq!(job.main_cause(), Some(Cause::Unreported));
    assert_eq!(job.by_cause()[&Cause::Working], 800);
}

/// A caller counts its job until a node says that it is over.
#[test]
fn a_job_is_over_once_a_caller_is_told() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    logs.ran("a", 1, (1_020, 2_020), 10, "done");
    logs.over("a", 2_030);
    assert_eq!(logs.read().count(Fate::OnTime), 1);
    for (at_ms, outcome) in [(2_025, "running"), (3_300, "completed")] {
        logs.line(
            at_ms,
            &format!(
                r#""msg":"call: answered","operation":"status","job":"a","outcome":"{outcome}""#
            ),
        );
    }
    let delays = logs.read();
    assert_eq!(delays.count(Fate::Late), 1, "{}", delays.to_text());
    assert_eq!(delays.jobs()[0].by_cause()[&Cause::Untold], 1_270);
}

/// Steps that run beside each other aren't one chain.
#[test]
fn parallel_steps_count_by_the_longest() {
    let mut logs = Logs::default();
    logs.tried("a", 1_000, "accepted");
    logs.taken_in("a", 1_010);
    for step in 0..3 {
        logs.line(
            1_020,
            &format!(
                r#""msg":"task: start ordered","job":"a","task":"a.0.{step}.0","run":1"#
            ),
        );
        logs.line(
            2_020 + step,
            &format!(
                r#""msg":"task: ended","job":"a","task":"a.0.{step}.0","run":1,"cause":"done""#
            ),
        );
    }
    logs.over("a", 4_000);
    assert_eq!(logs.read().count(Fate::Late), 1);
}
