//! A read of the directory describes its content at the time of the request.
//!
//! Single workers are looked up in addition to reads of the whole directory,
//! which take half a second or more on a small link. These tests guard against
//! a read that is requested before such a lookup and answered after it. It
//! doesn't contain the new worker and may still list the VM's former worker;
//! the new one then counted as replaced by the old one for the rest of the
//! lease.

use {
    crate::world::{ROOM, at, id, job, listing, managed, step},
    dewspar::schedule::{
        Action, Decision, Now, Options, Scheduler, WorkerListing,
    },
    dewspar_standin::task_worker::TaskWorker,
};

/// Returns the entry of a worker on the only VM.
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
    // The list of VMs shows which of the two is alive; the directory alone
    // could list the former one.
    scheduler.list_workers_as_of(3_000, at(3_100), vec![listing_on_vm("new")]);
    assert!(gone(&mut scheduler).is_empty());
    let vms = [managed(&listing_on_vm("new"))];
    scheduler.list_vms(at(3_200), 3_150, &vms);
    assert_eq!(gone(&mut scheduler), ["old"]);
}

/// Plans twice, lets the only worker answer each hold, and returns the number
/// of starts.
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
        // The first answer also shows that the worker accepts this holder's
        // token.
        starts(scheduler, &mut worker, now)
            + starts(scheduler, &mut worker, now)
    };
    assert_eq!(starts_at(&mut scheduler, at(2_500)), 0, "it is draining");
    scheduler.list_workers_as_of(3_000, at(3_100), vec![listing_on_vm("one")]);
    assert_eq!(starts_at(&mut scheduler, at(3_100)), 1, "it no longer is");
}
