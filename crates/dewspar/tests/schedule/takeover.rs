//! Takeover of a large backlog by a node that can send only a limited number
//! of orders a second.

use {
    crate::world::{POOL, at, id, job, listing, step},
    dewspar::schedule::{
        Action, Options, OrderError, Resources, Scheduler, WorkerId,
        WorkerListing,
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, VecDeque},
};

/// The cost of an order to the node, in microseconds: 4,000 orders a second.
const ORDER_US: u64 = 250;

/// The timeout of an order, in milliseconds.
const TIMEOUT_MS: u64 = 200;

const WORKERS: u64 = 300;
const TASKS_A_WORKER: u64 = 8;

/// How often the scheduler plans, in milliseconds.
const STEP_MS: u64 = 5;

const ROOM: Resources = Resources {
    cpu_millis: 1_000 * TASKS_A_WORKER,
    memory_mb: 100 * TASKS_A_WORKER,
    gpus: 0,
};

/// An order that the node is processing.
struct Sent {
    action: Action,
    sent_ms: u64,
    done_ms: u64,
}

/// A node that carries out orders one after the other.
struct Node {
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, TaskWorker>,
    now_ms: u64,
    busy_until_us: u64,
    orders: VecDeque<Sent>,
    /// Holds that the worker hasn't answered yet.
    waiting: Vec<Sent>,
    sent: u64,
    without_result: u64,
}

impl Node {
    fn take_over() -> Node {
        let mut scheduler = Scheduler::new(7, Options::default());
        let listings: Vec<WorkerListing> = (0..WORKERS)
            .map(|number| WorkerListing {
                capacity: ROOM,
                ..listing(&format!("w{number}"))
            })
            .collect();
        let live_workers =
            listings.iter().map(|l| (l.id.clone(), POOL.to_owned()));
        let live_workers: Vec<(WorkerId, String)> = live_workers.collect();
        let workers = live_workers
            .iter()
            .map(|(id, _)| (id.clone(), TaskWorker::new(ROOM)))
            .collect();
        scheduler.list_workers(at(1_000), listings);
        scheduler.expect_workers(at(1_000), live_workers);
        // As many tasks as the workers have room for.
        for number in 0..WORKERS {
            let tasks = u32::try_from(TASKS_A_WORKER).unwrap();
            scheduler.submit(id(number), job(vec![step(tasks)]), 6, None);
        }
        Node {
            scheduler,
            workers,
            now_ms: 1_000,
            busy_until_us: 0,
            orders: VecDeque::new(),
            waiting: Vec::new(),
            sent: 0,
            without_result: 0,
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.answer();
            for action in self.scheduler.plan(at(self.now_ms)) {
                self.send(action);
            }
        }
    }

    fn send(&mut self, action: Action) {
        self.sent += 1;
        self.busy_until_us =
            self.busy_until_us.max(self.now_ms * 1_000) + ORDER_US;
        self.orders.push_back(Sent {
            action,
            sent_ms: self.now_ms,
            done_ms: self.busy_until_us / 1_000,
        });
    }

    fn answer(&mut self) {
        let now_ms = self.now_ms;
        while self.orders.front().is_some_and(|sent| sent.done_ms <= now_ms) {
            let Some(mut sent) = self.orders.pop_front() else { return };
            if sent.done_ms > sent.sent_ms + TIMEOUT_MS {
                self.without_result += 1;
                self.lose(sent.action);
                continue;
            }
            if let Action::Hold { held, .. } = &sent.action {
                sent.done_ms += held.order().wait_ms;
            }
            self.waiting.push(sent);
        }
        let waiting = std::mem::take(&mut self.waiting);
        for sent in waiting {
            if sent.done_ms <= now_ms {
                self.carry_out(sent.action);
            } else {
                self.waiting.push(sent);
            }
        }
    }

    /// Handles an order whose answer the node read too late.
    fn lose(&mut self, action: Action) {
        let now = at(self.now_ms);
        match action {
            Action::Start { worker, order, .. } => {
                self.scheduler.start_answered(
                    &worker,
                    &order.task,
                    order.run,
                    Err(OrderError::Unknown),
                    now,
                );
            }
            Action::Hold { worker, held, .. } => {
                let error = OrderError::Unknown;
                self.scheduler.hold_failed(&worker, &held, error, now);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = at(self.now_ms);
        match action {
            Action::Start { worker, order, .. } => {
                let demand =
                    Resources { cpu_millis: 1_000, ..Resources::default() };
                // OK because there are only these workers.
                let at_worker = self.workers.get_mut(&worker).unwrap();
                let clock_ms = now.steady_ms;
                let result =
                    at_worker.start(clock_ms, &order, demand, Fate::endless());
                let (task, run) = (order.task, order.run);
                self.scheduler
                    .start_answered(&worker, &task, run, result, now);
            }
            Action::Hold { worker, held, .. } => {
                // OK because there are only these workers.
                let at_worker = self.workers.get_mut(&worker).unwrap();
                let report = at_worker.hold(now.steady_ms, held.order());
                let report = report.expect("one holder only");
                self.scheduler.hold_answered(&worker, &held, &report, now);
            }
            _ => {}
        }
    }

    fn running(&mut self) -> usize {
        let now_ms = self.now_ms;
        let workers = self.workers.values_mut();
        workers.map(|worker| worker.running(now_ms).len()).sum()
    }
}

#[test]
fn a_new_holder_sends_no_more_orders_at_once_than_are_answered_in_time() {
    let mut node = Node::take_over();
    node.run_until(3_000);
    let tasks = usize::try_from(WORKERS * TASKS_A_WORKER).unwrap();
    assert_eq!(node.running(), tasks);
    // One percent, for the cost of the first burst.
    assert!(
        node.without_result * 100 <= node.sent,
        "{} of {} orders gave no result",
        node.without_result,
        node.sent,
    );
}
