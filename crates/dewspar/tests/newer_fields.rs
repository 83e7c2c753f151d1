//! Preservation of unknown fields in stored records.
//!
//! During a rolling upgrade, a node of an older version rewrites records that
//! a newer version has written. If it drops the fields that it doesn't know,
//! the newer version loses that state as soon as it schedules again. Unknown
//! fields must be kept for jobs, for each of their tasks, for orders to VMs,
//! and for the processes that issued these orders.

use {
    dewspar::{
        job::{JobId, JobSpec, Progress, StepSpec},
        schedule::{
            AcceptedJob, Now, Options, OrderIssuer, OrderedVms, Scheduler,
        },
    },
    serde_json::{Value, json},
};

const NOW: Now = Now { steady_ms: 1_000_000, unix_ms: 1 };

fn id() -> JobId {
    format!("{:016x}", 1).parse().expect("an identifier")
}

/// Returns a job's record with unknown fields in the job and in two tasks: one
/// is done, the other has no other state.
fn record() -> Value {
    let done = json!({ "round": 0, "step": 0, "index": 3, "done": true,
        "run": 1, "newer": 5 });
    let bare = json!({ "round": 0, "step": 0, "index": 4, "done": false,
        "run": 0, "newer": { "a": [null] } });
    json!({ "phase": "running", "newer": ["b", 1.5],
        "done": ["0.0:1-2"], "tasks": [done, bare] })
}

fn read(record: &Value) -> Progress {
    serde_json::from_value(record.clone()).expect("progress")
}

fn scheduler(known: Option<&Progress>) -> Scheduler {
    let step = StepSpec { count: 9, cpu_millis: 100, ..StepSpec::default() };
    let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
    let job = AcceptedJob { spec, ..AcceptedJob::default() };
    let mut scheduler = Scheduler::new(7, Options::default());
    scheduler.submit(id(), job, 8, known);
    scheduler
}

/// Returns the progress that the scheduler writes for its only job.
fn stored(scheduler: &mut Scheduler) -> Value {
    let changes = scheduler.take_changes(1);
    let (_, progress) = changes.progress.first().expect("a change");
    serde_json::to_value(progress).expect("plain JSON")
}

#[test]
fn job_record_round_trips_with_unknown_fields() {
    let written = serde_json::to_value(read(&record())).expect("plain JSON");
    assert_eq!(written, record());
}

#[test]
fn loaded_job_keeps_unknown_fields() {
    let mut scheduler = scheduler(Some(&read(&record())));
    // A change that this holder makes itself.
    let change = json!({ "phase": "running", "done": ["0.0:6"] });
    scheduler.merge_record(id(), &read(&change), NOW);
    let mut expected = record();
    expected["done"] = json!(["0.0:1-2", "0.0:6"]);
    assert_eq!(stored(&mut scheduler), expected);
}

#[test]
fn merged_record_adds_unknown_fields() {
    let mut scheduler = scheduler(None);
    scheduler.merge_record(id(), &read(&record()), NOW);
    assert_eq!(stored(&mut scheduler), record());
}

#[test]
fn finished_job_keeps_unknown_fields() {
    let mut scheduler = scheduler(Some(&read(&record())));
    scheduler.cancel(id(), NOW);
    let stored = stored(&mut scheduler);
    assert_eq!(stored["phase"], "cancelled");
    assert_eq!(stored["newer"], record()["newer"]);

    let mut over = record();
    over["phase"] = json!("failed");
    let mut scheduler = self::scheduler(None);
    scheduler.merge_record(id(), &read(&over), NOW);
    let stored = self::stored(&mut scheduler);
    assert_eq!(stored["phase"], "failed");
    assert_eq!(stored["newer"], record()["newer"]);
}

#[test]
fn vm_orders_keep_unknown_fields() {
    let by = json!({ "node": "n1", "incarnation": 1 });
    let orders = json!([
        { "by": by, "ages_ms": { "vm-0": 5 } },
        { "by": by, "ages_ms": { "vm-1": 5, "vm-2": 6 }, "newer": ["a"] },
        { "by": by, "ages_ms": { "vm-3": 5 }, "newer": ["b"] },
    ]);
    let read: OrderedVms =
        serde_json::from_value(orders.clone()).expect("orders");
    let written = serde_json::to_value(&read).expect("plain JSON");
    assert_eq!(written, orders);

    let mut scheduler = Scheduler::new(7, Options::default());
    let holder = OrderIssuer { node: "n2".to_owned(), incarnation: 1 };
    scheduler.hold_off_vm_orders(NOW, &holder, Some(read));
    let kept = scheduler.ordered_vms(NOW, &holder);
    assert_eq!(serde_json::to_value(&kept).expect("plain JSON"), orders);
}

#[test]
fn order_issuer_keeps_unknown_fields() {
    let by = json!({ "node": "n1", "incarnation": 1, "newer": ["a", {}] });
    let other = json!({ "node": "n1", "incarnation": 1, "newer": "b" });
    let orders = json!([
        { "by": by, "ages_ms": { "vm-0": 5, "vm-2": 5 } },
        { "by": other, "ages_ms": { "vm-1": 5 }, "newer": 1 },
    ]);
    let read: OrderedVms =
        serde_json::from_value(orders.clone()).expect("orders");
    let written = serde_json::to_value(&read).expect("plain JSON");
    assert_eq!(written, orders);

    // The next holder is first another node, then the same process.
    for node in ["n2", "n1"] {
        let mut scheduler = Scheduler::new(7, Options::default());
        let holder = OrderIssuer { node: node.to_owned(), incarnation: 1 };
        scheduler.hold_off_vm_orders(NOW, &holder, Some(read.clone()));
        let kept = scheduler.ordered_vms(NOW, &holder);
        assert_eq!(serde_json::to_value(&kept).expect("plain JSON"), orders);
    }
}
