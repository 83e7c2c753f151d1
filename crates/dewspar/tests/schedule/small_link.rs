//! A takeover on a node with a link of 2 Mbit/s, over which 2,000 open jobs of
//! 2 kB are loaded while lease renewals and new jobs share it.

use {
    crate::world::{POOL, at, id, job, listing, step},
    dewspar::{
        job::{JobId, Phase, Progress, Repeat, StepSpec, TaskRecord},
        link::LinkLimits,
        schedule::{
            AcceptedJob, Action, Incarnation, Options, OrderError, Resources,
            Scheduler, StartOrder, WorkerId, WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::{BTreeMap, VecDeque},
};

const LINK_MBPS: f64 = 2.0;

/// The capacity of the link per step, in bytes.
const BYTES_PER_STEP: u64 = 250 * STEP_MS;

/// The interval between calls of the scheduler, in milliseconds.
const STEP_MS: u64 = 5;

/// The timeout of an order, in milliseconds.
const TIMEOUT_MS: u64 = 460;

/// The number of orders that a tenth of a core sends per step.
const ORDERS_PER_STEP: usize = 5;

const WORKERS: u64 = 132;

/// The number of running tasks of former holders, each of another job.
const LONG_RUNNING: u64 = 100;

const OPEN_JOBS: u64 = 2_000;
const SLICES: u64 = 16;
const JOB_BYTES: u64 = 2_000;

/// The size of a read of the directory, in bytes, and the interval between
/// reads.
const DIRECTORY_BYTES: u64 = 40_000;
const DIRECTORY_INTERVAL_MS: u64 = 2_500;

/// The number of running copies of tasks that another copy has finished, two
/// in each slice. Each is of another job, of which a second task is still to
/// run.
const COPIES: u64 = 32;

/// How long a copy may continue after its slice was loaded, in milliseconds:
/// 500 until its worker is polled again, 300 for which the worker may wait for
/// an end, and the time of the stop order on a link in use.
const MAX_COPY_MS: u64 = 1_500;

/// The interval between new jobs of two tasks, in milliseconds.
const NEW_JOB_INTERVAL_MS: u64 = 20;
const PAYLOAD_BYTES: usize = 500;

const HOLDER: u64 = 10_000;

const ROOM: Resources =
    Resources { cpu_millis: 4_000, memory_mb: 4_000, gpus: 0 };
const TASK: Resources =
    Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };

/// An order in transit.
struct Sent {
    action: Action,
    sent_ms: u64,
    bytes_left: u64,
}

/// A node, its link, and the workers behind it.
struct Node {
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, TaskWorker>,
    now_ms: u64,
    /// The orders that wait for the link or are in transit.
    orders: VecDeque<Sent>,
    /// The holds at workers, each with the time of the answer.
    waiting: Vec<(u64, Action)>,
    /// The bulk reads: the bytes left, and the number of the slice, if any.
    bulk: VecDeque<(u64, Option<u64>)>,
    slices_loaded: u64,
    has_copies: bool,
    loaded_ms: Option<u64>,
    /// The time at which each slice was loaded.
    slice_loaded_ms: Vec<u64>,
    /// The time at which each copy had ended.
    copy_ended_ms: BTreeMap<JobId, u64>,
    first_start_ms: Option<u64>,
    sent: u64,
    failed: u64,
}

/// A job of a former holder: the first ones run, the others aren't due.
fn open_job(number: u64) -> AcceptedJob {
    let long_running = number < LONG_RUNNING;
    let step = StepSpec { long_running, ..step(1) };
    let mut job = job(vec![step]);
    job.spec.repeat = (!long_running).then_some(Repeat {
        start_at_ms: u64::MAX / 2,
        interval_ms: 1,
        count: 1,
    });
    job
}

/// A job of a former holder. One task is done while a copy of it still runs;
/// the other isn't ready before the job's second step.
fn job_with_a_copy() -> AcceptedJob {
    let copied = StepSpec { may_duplicate: true, ..step(1) };
    let long_running =
        StepSpec { after: vec![0], long_running: true, ..step(1) };
    job(vec![copied, long_running])
}

fn copied_task_done() -> Progress {
    let done = TaskRecord { done: true, run: 1, ..TaskRecord::default() };
    let phase = Phase::Running;
    Progress { phase, tasks: vec![done], ..Progress::default() }
}

fn is_copy(number: u64) -> bool {
    (LONG_RUNNING..LONG_RUNNING + COPIES).contains(&number)
}

/// The start order of a former holder, a second ago.
fn started_before(number: u64, run: u64) -> StartOrder {
    StartOrder {
        task: format!("{}.0.0.0", id(number)).parse().unwrap(),
        run,
        payload: "".into(),
        // The former holder's last renewal was a second ago.
        lease_until_ms: 1_000 + 7_000,
        fence: 1,
        checkpoint: String::new(),
        ticket: String::new(),
        process: Incarnation::UNKNOWN,
        is_for_process_only: false,
    }
}

impl Node {
    fn take_over(options: Options) -> Node {
        let listings: Vec<WorkerListing> = (0..WORKERS)
            .map(|number| WorkerListing {
                capacity: ROOM,
                ..listing(&format!("w{number}"))
            })
            .collect();
        let mut workers: BTreeMap<WorkerId, TaskWorker> = listings
            .iter()
            .map(|listing| (listing.id.clone(), TaskWorker::new(ROOM)))
            .collect();
        for (number, worker) in (0..LONG_RUNNING).zip(workers.values_mut()) {
            let order = started_before(number, 1);
            worker.start(1_000, &order, TASK, Fate::endless()).unwrap();
        }
        let mut scheduler = Scheduler::new(HOLDER, options);
        scheduler.begin_loading();
        let lives = listings.iter().map(|l| (l.id.clone(), POOL.to_owned()));
        let lives: Vec<(WorkerId, String)> = lives.collect();
        scheduler.list_workers(at(1_000), listings);
        scheduler.expect_workers(at(1_000), lives);
        Node {
            scheduler,
            workers,
            now_ms: 1_000,
            orders: VecDeque::new(),
            waiting: Vec::new(),
            bulk: VecDeque::from([(OPEN_JOBS / SLICES * JOB_BYTES, Some(0))]),
            slices_loaded: 0,
            has_copies: false,
            loaded_ms: None,
            slice_loaded_ms: Vec::new(),
            copy_ended_ms: BTreeMap::new(),
            first_start_ms: None,
            sent: 0,
            failed: 0,
        }
    }

    /// Starts the copies, on the workers that run nothing else.
    fn with_copies(mut self) -> Node {
        self.has_copies = true;
        let numbers = LONG_RUNNING..LONG_RUNNING + COPIES;
        let free = self.workers.values_mut().skip(LONG_RUNNING as usize);
        for (number, worker) in numbers.zip(free) {
            let order = started_before(number, 2);
            worker.start(1_000, &order, TASK, Fate::endless()).unwrap();
        }
        self
    }

    fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.add_arrivals();
            self.transmit();
            for action in self.scheduler.plan(at(self.now_ms)) {
                self.send(action);
            }
            let changes = self.scheduler.take_changes(100);
            self.scheduler.changes_stored(&changes, at(self.now_ms));
            self.record_ended_copies();
        }
    }

    fn record_ended_copies(&mut self) {
        let now_ms = self.now_ms;
        let workers = self.workers.values_mut();
        let running = workers.flat_map(|worker| worker.running(now_ms));
        let running: Vec<JobId> = running.map(|(task, _)| task.job).collect();
        let copies = (LONG_RUNNING..LONG_RUNNING + COPIES).map(id);
        for copy in copies.filter(|copy| !running.contains(copy)) {
            self.copy_ended_ms.entry(copy).or_insert(now_ms);
        }
    }

    /// Submits new jobs, and starts reads of the directory.
    fn add_arrivals(&mut self) {
        if self.now_ms.is_multiple_of(NEW_JOB_INTERVAL_MS) {
            let number = OPEN_JOBS + self.now_ms;
            let mut new = job(vec![step(2)]);
            new.spec.payload = "x".repeat(PAYLOAD_BYTES);
            let revision = HOLDER + self.now_ms;
            self.scheduler.submit(id(number), new, revision, None);
        }
        if self.now_ms.is_multiple_of(DIRECTORY_INTERVAL_MS) {
            self.bulk.push_back((DIRECTORY_BYTES, None));
        }
    }

    /// Transmits what waits for the link, which orders and bulk reads share
    /// evenly.
    fn transmit(&mut self) {
        let both = !self.orders.is_empty() && !self.bulk.is_empty();
        let half = BYTES_PER_STEP / 2;
        let for_orders = if both { half } else { BYTES_PER_STEP };
        let left = self.transmit_orders(for_orders);
        let for_bulk = BYTES_PER_STEP - for_orders + left;
        self.transmit_bulk(for_bulk);
        self.answer_due();
    }

    /// Returns the unused bytes.
    fn transmit_orders(&mut self, mut bytes: u64) -> u64 {
        let mut most = ORDERS_PER_STEP;
        while let Some(first) = self.orders.front_mut() {
            let sent_bytes = first.bytes_left.min(bytes);
            first.bytes_left -= sent_bytes;
            bytes -= sent_bytes;
            if first.bytes_left > 0 || most == 0 {
                break;
            }
            most -= 1;
            // OK because it was there above.
            let sent = self.orders.pop_front().unwrap();
            self.deliver(sent);
        }
        bytes
    }

    fn transmit_bulk(&mut self, mut bytes: u64) {
        while let Some((left, slice)) = self.bulk.front_mut() {
            let sent_bytes = (*left).min(bytes);
            *left -= sent_bytes;
            bytes -= sent_bytes;
            if *left > 0 {
                return;
            }
            let slice = *slice;
            self.bulk.pop_front();
            if let Some(slice) = slice {
                self.load_slice(slice);
            }
        }
    }

    fn load_slice(&mut self, slice: u64) {
        let now = at(self.now_ms);
        for number in (0..OPEN_JOBS).filter(|n| n % SLICES == slice) {
            if self.has_copies && is_copy(number) {
                let (job, progress) = (job_with_a_copy(), copied_task_done());
                self.scheduler.submit(id(number), job, 5, Some(&progress));
                continue;
            }
            self.scheduler.submit(id(number), open_job(number), 5, None);
        }
        self.slice_loaded_ms.push(self.now_ms);
        self.slices_loaded += 1;
        if self.slices_loaded == SLICES {
            self.scheduler.finish_loading(now);
            self.loaded_ms = Some(self.now_ms - 1_000);
        } else {
            let bytes = OPEN_JOBS / SLICES * JOB_BYTES;
            self.bulk.push_back((bytes, Some(self.slices_loaded)));
        }
    }

    fn send(&mut self, action: Action) {
        self.sent += 1;
        let bytes_left = match &action {
            Action::Start { order, .. } => 300 + order.payload.len() as u64,
            _ => 300,
        };
        let sent = Sent { action, sent_ms: self.now_ms, bytes_left };
        self.orders.push_back(sent);
    }

    fn deliver(&mut self, sent: Sent) {
        let late = self.now_ms > sent.sent_ms + TIMEOUT_MS;
        match sent.action {
            Action::Start { worker, order, .. } => {
                self.start(&worker, &order, late);
            }
            Action::Stop { worker, order, .. } => {
                // OK because there are only these workers.
                let at_worker = self.workers.get_mut(&worker).unwrap();
                let mut result = at_worker.stop(self.now_ms, &order);
                if late {
                    result = Err(OrderError::Unknown);
                }
                let (now, task) = (at(self.now_ms), order.task);
                self.scheduler.stop_answered(&worker, &task, result, now);
            }
            Action::Hold { ref held, .. } => {
                let answer_ms = self.now_ms + held.order().wait_ms;
                if late {
                    self.failed += 1;
                    self.fail_hold(sent.action);
                } else {
                    self.waiting.push((answer_ms, sent.action));
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, worker: &WorkerId, order: &StartOrder, late: bool) {
        let now = at(self.now_ms);
        // OK because there are only these workers.
        let at_worker = self.workers.get_mut(worker).unwrap();
        let fate = Fate::done(800);
        let mut result = at_worker.start(self.now_ms, order, TASK, fate);
        if late {
            // The order arrives, but after the timeout.
            self.failed += 1;
            result = Err(OrderError::Unknown);
        } else {
            self.first_start_ms.get_or_insert(self.now_ms - 1_000);
        }
        let (task, run) = (&order.task, order.run);
        self.scheduler.start_answered(worker, task, run, result, now);
    }

    fn fail_hold(&mut self, action: Action) {
        let now = at(self.now_ms);
        if let Action::Hold { worker, held, .. } = action {
            let error = OrderError::Unknown;
            self.scheduler.hold_failed(&worker, &held, error, now);
        }
    }

    fn answer_due(&mut self) {
        let now_ms = self.now_ms;
        for (answer_ms, action) in std::mem::take(&mut self.waiting) {
            if answer_ms > now_ms {
                self.waiting.push((answer_ms, action));
                continue;
            }
            let Action::Hold { worker, held, .. } = action else { continue };
            // OK because there are only these workers.
            let at_worker = self.workers.get_mut(&worker).unwrap();
            let report = at_worker.hold(now_ms, held.order());
            let report = report.expect("one holder only");
            let now = at(now_ms);
            self.scheduler.hold_answered(&worker, &held, &report, now);
        }
    }

    /// Returns the number of long-running tasks that still run.
    fn count_long_running(&mut self) -> usize {
        let now_ms = self.now_ms;
        let long_running: Vec<JobId> = (0..LONG_RUNNING).map(id).collect();
        let workers = self.workers.values_mut();
        let running = workers.flat_map(|worker| worker.running(now_ms));
        running.filter(|(task, _)| long_running.contains(&task.job)).count()
    }
}

fn small_link() -> Options {
    Options::default().link(LinkLimits::of_link(LINK_MBPS))
}

#[test]
fn a_takeover_over_a_small_link_completes_without_losses() {
    let mut node = Node::take_over(small_link());
    node.run_for(40_000);
    let first_start_ms = node.first_start_ms.expect("a start");
    assert!(first_start_ms < 2_000, "first start after {first_start_ms} ms");
    let loaded_ms = node.loaded_ms.expect("all loaded");
    // Loading 4 MB takes 16 s if nothing else uses the link.
    assert!(loaded_ms < 36_000, "all loaded after {loaded_ms} ms");
    let long_running = u64::try_from(node.count_long_running()).unwrap();
    assert_eq!(long_running, LONG_RUNNING, "a lease was not renewed in time");
    assert!(
        node.failed * 50 <= node.sent,
        "{} of {} orders gave no result",
        node.failed,
        node.sent,
    );
}

// Only the record of its job shows that a copy isn't needed any more. So under
// a new holder the copy continues until its job is loaded, and takes resources
// of one worker meanwhile. It must not continue until all jobs are loaded,
// which takes half a minute here.
#[test]
fn an_unneeded_copy_is_stopped_once_its_slice_is_loaded() {
    let mut node = Node::take_over(small_link()).with_copies();
    node.run_for(40_000);
    assert!(node.loaded_ms.is_some(), "all loaded");
    for number in LONG_RUNNING..LONG_RUNNING + COPIES {
        let slice = (number % SLICES) as usize;
        let slice_ms = node.slice_loaded_ms[slice];
        let ended_ms = node.copy_ended_ms[&id(number)];
        let after_ms = ended_ms.saturating_sub(slice_ms);
        assert!(after_ms <= MAX_COPY_MS, "{number}: {after_ms} ms");
    }
    let long_running = u64::try_from(node.count_long_running()).unwrap();
    assert_eq!(long_running, LONG_RUNNING, "a long-running task was stopped");
}
