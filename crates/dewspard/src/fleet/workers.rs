/*!
Reports and acts of the workers, each in a task of its own.

A worker that hangs must not hold up the controller, so every call to one runs
beside it and comes back as an [`Event`].
*/

use {
    dewspar::fleet::Row,
    dewspar_platform::{Error, TaskReport, TaskStart, WorkerReport, Workers},
    std::collections::{BTreeMap, BTreeSet},
    tokio::sync::mpsc,
};

/// How long a worker may be silent before its VM counts as lost, in
/// milliseconds.
pub(super) const SILENCE_MS: u64 = 1_500;

/// How often a quiet worker is asked, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// How often a worker is asked that has something under way.
const BUSY_INTERVAL_MS: u64 = 100;

/// What came back from a worker.
#[derive(Debug)]
pub(super) enum Event {
    /// Its report.
    Report { vm: String, result: Result<WorkerReport, Error> },
    /// The result of starting a task.
    Started {
        pool: String,
        start: TaskStart,
        result: Result<TaskReport, Error>,
    },
    /// A reboot was asked for, or a task's stop.
    Acted { key: String },
}

/// What is known of one worker.
#[derive(Debug)]
pub(super) struct Known {
    /// The last report, with when it was asked for.
    pub(super) report: Option<(u64, WorkerReport)>,
    asked_ms: u64,
    asking: bool,
    silent_since_ms: Option<u64>,
    // Grows with each report that differs from the one before.
    news: u64,
}

/// The workers of the pools that this node acts for.
#[derive(Debug)]
pub(super) struct WorkerCalls<W> {
    workers: W,
    events: mpsc::UnboundedSender<Event>,
    known: BTreeMap<String, Known>,
    under_way: BTreeSet<String>,
}

impl<W: Workers> WorkerCalls<W> {
    pub(super) fn new(
        workers: W,
        events: mpsc::UnboundedSender<Event>,
    ) -> WorkerCalls<W> {
        let (known, under_way) = (BTreeMap::new(), BTreeSet::new());
        WorkerCalls { workers, events, known, under_way }
    }

    /// Returns what is known of a VM's worker.
    pub(super) fn get(&self, vm: &str) -> Option<&Known> {
        self.known.get(vm)
    }

    /// Returns a number that grows when a VM's worker says something new.
    pub(super) fn news(&self, vm: &str) -> u64 {
        self.known.get(vm).map_or(0, |known| known.news)
    }

    /// Forgets the workers that `keep` refuses.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.known.retain(|vm, _| keep(vm));
    }

    /// Returns for how long a VM's worker has been silent.
    pub(super) fn silent_ms(&self, vm: &str, now_ms: u64) -> u64 {
        let known = self.known.get(vm);
        let since_ms = known.and_then(|known| known.silent_since_ms);
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Asks a worker for its report when it is time.
    pub(super) fn ask(
        &mut self,
        vm: &str,
        row: &Row,
        busy: bool,
        now_ms: u64,
    ) {
        let known = self.known.entry(vm.to_owned()).or_insert(Known {
            report: None,
            asked_ms: 0,
            asking: false,
            silent_since_ms: None,
            news: 0,
        });
        let wait_ms = if busy { BUSY_INTERVAL_MS } else { REPORT_INTERVAL_MS };
        if known.asking || now_ms < known.asked_ms + wait_ms {
            return;
        }
        known.asking = true;
        known.asked_ms = now_ms;
        let (workers, events) = (self.workers.clone(), self.events.clone());
        let (vm, address) = (vm.to_owned(), row.worker_address().to_owned());
        tokio::spawn(async move {
            let result = workers.report(&address).await;
            let _ = events.send(Event::Report { vm, result });
        });
    }

    /// Takes in a report, or its absence.
    pub(super) fn reported(
        &mut self,
        vm: &str,
        result: Result<WorkerReport, Error>,
        now_ms: u64,
    ) {
        let Some(known) = self.known.get_mut(vm) else { return };
        known.asking = false;
        match result {
            Ok(report) => {
                let old = known.report.as_ref().map(|(_, report)| report);
                let same = old.is_some_and(|old| says_the_same(old, &report));
                known.news += u64::from(!same);
                known.report = Some((known.asked_ms, report));
                known.silent_since_ms = None;
            }
            Err(_) => {
                known.news += 1;
                known.silent_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Starts a task, unless that start is under way.
    pub(super) fn start(&mut self, pool: &str, row: &Row, start: TaskStart) {
        let key = format!("start {} {}", start.task, start.epoch);
        if !self.under_way.insert(key) {
            return;
        }
        let (workers, events) = (self.workers.clone(), self.events.clone());
        let pool = pool.to_owned();
        let address = row.worker_address().to_owned();
        tokio::spawn(async move {
            let result = workers.start(&address, &start).await;
            let _ = events.send(Event::Started { pool, start, result });
        });
    }

    /// Stops a task, unless that stop is under way.
    pub(super) fn stop(&mut self, row: &Row, task: &str, epoch: u64) {
        let key = format!("stop {task} {epoch}");
        let address = row.worker_address().to_owned();
        let task = task.to_owned();
        self.act(key, |workers| async move {
            let _ = workers.stop(&address, &task, epoch).await;
        });
    }

    /// Asks for a reboot, unless that is under way.
    pub(super) fn reboot(&mut self, vm: &str, row: &Row) {
        let epoch = row.epoch();
        let key = format!("reboot {vm} {epoch}");
        let address = row.worker_address().to_owned();
        self.act(key, move |workers| async move {
            let _ = workers.reboot(&address, epoch).await;
        });
    }

    /// Records that an act came back.
    pub(super) fn acted(&mut self, key: &str) {
        self.under_way.remove(key);
    }

    fn act<F>(&mut self, key: String, act: impl FnOnce(W) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if !self.under_way.insert(key.clone()) {
            return;
        }
        let acting = act(self.workers.clone());
        let events = self.events.clone();
        tokio::spawn(async move {
            acting.await;
            let _ = events.send(Event::Acted { key });
        });
    }
}

/// Returns whether two reports differ in use only, which no step hangs on.
fn says_the_same(old: &WorkerReport, new: &WorkerReport) -> bool {
    let state = |report: &WorkerReport| -> Vec<(String, u64, bool)> {
        let tasks = report.tasks.iter();
        tasks.map(|t| (t.task.clone(), t.epoch, t.finished)).collect()
    };
    old.rebooted_epoch == new.rebooted_epoch
        && old.rebooting == new.rebooting
        && state(old) == state(new)
}
