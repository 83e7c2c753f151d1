//! A reading of the directory tells what was there when it was asked for.
//!
//! Single workers are looked up beside the readings of the whole directory,
//! which take a small link half a second or more. A reading that was asked for
//! before a worker was looked up, and answered after it, doesn't know that
//! worker: where its VM's former worker was still listed, the new one counted
//! as replaced by the old one, and stayed so for as long as the lease lasted.

use {
    crate::world::{ROOM, at, id, job, listing, step},
    dewspar::schedule::{
        Action, Decision, Now, Options, Scheduler, WorkerListing,
    },
    dewspar_standin::task_worker::TaskWorker,
};

/// The entry of a listing_on_vm of the worker on the one VM.
fn listing_on_vm(name: &str) -> WorkerListing {
    WorkerListing { vm: "vm-1".to_owned(), ..listing(name) }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(7, Options::default());
    scheduler.list_workers_as_of(1_000, at(1_000), vec![listing_on_vm("old")]);
    scheduler
}

fn gone(scheduler: &mut Scheduler) -> Vec<String> {
    let decisions = scheduler.take_decisions().into_iter();
    let gone = decisions.filter_map(|decision| match decision {
        Decision::WorkerGone { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    gone.collect()
}

#[test]
fn an_older_read_does_not_end_a_worker_that_was_looked_up_since() {
    let mut scheduler = scheduler();
    scheduler.list_worker(at(2_000), listing_on_vm("new"));
    scheduler.list_workers_as_of(1_500, at(2_500), vec![listing_on_vm("old")]);
    assert!(gone(&mut scheduler).is_empty());
    // The next reading shows which of the two lives.
    scheduler.list_workers_as_of(3_000, at(3_100), vec![listing_on_vm("new")]);
    assert_eq!(gone(&mut scheduler), ["old"]);
}

/// Plans twice, with every question answered by the one worker, and counts the
/// starts.
fn starts(
    scheduler: &mut Scheduler,
    worker: &mut TaskWorker,
    now: Now,
) -> usize {
    let mut starts = 0;
    for action in [scheduler.plan(now), scheduler.plan(now)].concat() {
        match action {
            Action::Hold { worker: id, held, .. } => {
                let report = worker.hold(now.steady_ms, held.order());
                let report = report.expect("an answer");
                scheduler.hold_answered(&id, &held, &report, now);
            }
            Action::Start { .. } => starts += 1,
            _ => {}
        }
    }
    starts
}

#[test]
fn an_older_read_does_not_replace_a_newer_entry() {
    let mut scheduler = Scheduler::new(7, Options::default());
    let mut worker = TaskWorker::new(ROOM);
    let draining = WorkerListing { draining: true, ..listing_on_vm("one") };
    scheduler.list_worker(at(2_000), draining);
    scheduler.list_workers_as_of(1_500, at(2_500), vec![listing_on_vm("one")]);
    scheduler.expect_workers(at(2_500), []);
    scheduler.submit(id(1), job(vec![step(1)]), 8, None);
    let mut starts_at = |scheduler: &mut Scheduler, now| {
        // The first answer also says that it is the holder's now.
        starts(scheduler, &mut worker, now)
            + starts(scheduler, &mut worker, now)
    };
    assert_eq!(starts_at(&mut scheduler, at(2_500)), 0, "it is draining");
    scheduler.list_workers_as_of(3_000, at(3_100), vec![listing_on_vm("one")]);
    assert_eq!(starts_at(&mut scheduler, at(3_100)), 1, "it no longer is");
}
