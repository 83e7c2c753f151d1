/*!
A worker that runs tasks of jobs under a lease, without sockets or clocks.

Whoever drives it says what time it is on the worker's own clock, and decides
which orders arrive, when, and whether their answers do. It behaves as the
workers' protocol says: a lower fencing token does nothing, everything ends
with the lease, ends are listed until they are acknowledged, and a run that
isn't above one that was stopped or ended is refused.

# Example

```
use {
    dewspar::schedule::{HoldOrder, Incarnation, Resources, StartOrder},
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

let room = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
let mut worker = TaskWorker::new(room);
let task = "5c0e7a21d94b36f8.0.0.0".parse()?;
let order = StartOrder {
    task,
    run: 1,
    payload: "".into(),
    lease_until_ms: 5_000,
    fence: 1,
    checkpoint: String::new(),
    ticket: String::new(),
    process: Incarnation::UNKNOWN,
    is_for_process_only: false,
};
worker.start(0, &order, Resources::default(), Fate::done(800)).unwrap();
let hold = HoldOrder {
    fence: 1,
    acknowledged: 0,
    lease_until_ms: None,
    wait_ms: 0,
};
let report = worker.hold(400, &hold).unwrap();
assert_eq!(report.active[0].percent, Some(50));
let report = worker.hold(800, &hold).unwrap();
assert_eq!(report.ended[0].number, 1);
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

use {
    dewspar::{
        job::TaskId,
        schedule::{
            ActiveRun, EndCause, EndedRun, HoldOrder, HoldReport, Incarnation,
            OrderError, Refusal, Resources, StartOrder, StopOrder,
        },
    },
    std::collections::BTreeMap,
};

/// The longest lease that is granted, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// The number of ends that are listed at once unless set otherwise.
const MAX_LISTED_ENDS: usize = 500;

/// How a run will go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fate {
    work_ms: u64,
    fails: bool,
    stalls: bool,
}

impl Fate {
    /// It does its work in so many milliseconds.
    pub const fn done(work_ms: u64) -> Fate {
        Fate { work_ms, fails: false, stalls: false }
    }

    /// It fails after so many milliseconds.
    pub fn failed(work_ms: u64) -> Fate {
        Fate { work_ms, fails: true, stalls: false }
    }

    /// It never comes on.
    pub fn stalled() -> Fate {
        Fate { work_ms: 1, fails: false, stalls: true }
    }

    /// It goes on until it is stopped.
    pub fn endless() -> Fate {
        Fate { work_ms: u64::MAX, fails: false, stalls: false }
    }
}

#[derive(Clone, Debug)]
struct Running {
    run: u64,
    started_ms: u64,
    demand: Resources,
    fate: Fate,
}

impl Running {
    fn percent(&self, now_ms: u64) -> u8 {
        if self.fate.stalls {
            return 0;
        }
        if self.fate.work_ms == u64::MAX {
            return 100;
        }
        let worked = now_ms.saturating_sub(self.started_ms);
        let percent = worked * 100 / self.fate.work_ms.max(1);
        u8::try_from(percent.min(99)).unwrap_or(99)
    }
}

/// One process of a worker.
#[derive(Clone, Debug)]
pub struct TaskWorker {
    incarnation: Incarnation,
    capacity: Resources,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<EndedRun>,
    highest: BTreeMap<TaskId, u64>,
    ends: u64,
    rejected_for_room: u64,
    /// Whether it refuses what it has no room for.
    guards: bool,
    max_listed_ends: usize,
    /// What runs have as checkpoint when they end before they are done.
    checkpoint: String,
}

impl TaskWorker {
    /// Makes a worker that runs nothing and has seen no token.
    pub fn new(capacity: Resources) -> TaskWorker {
        TaskWorker {
            incarnation: Incarnation::UNKNOWN,
            capacity,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
            ends: 0,
            rejected_for_room: 0,
            guards: true,
            max_listed_ends: MAX_LISTED_ENDS,
            checkpoint: String::new(),
        }
    }

    /// Sets which process of its worker it is.
    pub fn incarnated(mut self, incarnation: Incarnation) -> TaskWorker {
        self.incarnation = incarnation;
        self
    }

    /// Makes it start whatever it is told, whether there is room or not.
    pub fn unguarded(mut self) -> TaskWorker {
        self.guards = false;
        self
    }

    /// Sets how many ends it lists at once, oldest first.
    pub fn listing_at_most(mut self, ends: usize) -> TaskWorker {
        self.max_listed_ends = ends;
        self
    }

    /// Has runs that end before they are done list a checkpoint of this many
    /// bytes.
    pub fn set_checkpoint_bytes(&mut self, bytes: usize) {
        self.checkpoint = "0".repeat(bytes);
    }

    /// Returns what its runs take.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.running.values() {
            used.add(&run.demand);
        }
        used
    }

    /// Returns what runs at a time on the worker's clock.
    pub fn running(&mut self, now_ms: u64) -> Vec<(TaskId, u64)> {
        self.advance(now_ms);
        self.running.iter().map(|(task, run)| (*task, run.run)).collect()
    }

    /// Returns the ends that haven't been acknowledged, oldest first.
    pub fn ended(&self) -> &[EndedRun] {
        &self.ended
    }

    /// Returns how many starts found no room.
    pub fn rejected_for_room(&self) -> u64 {
        self.rejected_for_room
    }

    /// Returns whether an order that requires a process requires this one, or
    /// none.
    pub fn is_required_by(&self, order: &StartOrder) -> bool {
        let required = order.required_process();
        required.is_none_or(|process| process == self.incarnation)
    }

    /// Carries out an order to start.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn start(
        &mut self,
        now_ms: u64,
        order: &StartOrder,
        demand: Resources,
        fate: Fate,
    ) -> Result<u64, OrderError> {
        self.advance(now_ms);
        self.see_fence(order.fence)?;
        let running = self.running.get(&order.task);
        if running.is_some_and(|running| running.run == order.run) {
            return Ok(now_ms);
        }
        if order.lease_until_ms <= now_ms {
            return Err(OrderError::Refused(Refusal::LeaseOver));
        }
        self.extend(now_ms, order.lease_until_ms);
        let highest = self.highest.get(&order.task).copied().unwrap_or(0);
        if order.run <= highest || self.running.contains_key(&order.task) {
            return Err(OrderError::Refused(Refusal::StaleRun));
        }
        if self.guards && !self.free().contains(&demand) {
            self.rejected_for_room += 1;
            return Err(OrderError::Refused(Refusal::NoRoom));
        }
        let run = Running { run: order.run, started_ms: now_ms, demand, fate };
        self.running.insert(order.task, run);
        Ok(now_ms)
    }

    /// Carries out an order to stop.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn stop(
        &mut self,
        now_ms: u64,
        order: &StopOrder,
    ) -> Result<u64, OrderError> {
        self.advance(now_ms);
        self.see_fence(order.fence)?;
        let running = self.running.get(&order.task);
        if running.is_some_and(|running| running.run <= order.run) {
            self.end(&order.task, EndCause::Stopped);
        }
        let highest = self.highest.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        Ok(now_ms)
    }

    /// Carries out a hold, without waiting.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    pub fn hold(
        &mut self,
        now_ms: u64,
        order: &HoldOrder,
    ) -> Result<HoldReport, OrderError> {
        self.advance(now_ms);
        self.see_fence(order.fence)?;
        if let Some(until_ms) = order.lease_until_ms {
            self.extend(now_ms, until_ms);
        }
        self.ended.retain(|end| end.number > order.acknowledged);
        let listed_ends = self.ended.len().min(self.max_listed_ends);
        let active = self.running.iter().map(|(task, run)| ActiveRun {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
            percent: Some(run.percent(now_ms)),
            gauge: Some(0),
        });
        Ok(HoldReport {
            incarnation: self.incarnation,
            clock_ms: now_ms,
            active: active.collect(),
            ended: self.ended[..listed_ends].to_vec(),
            is_partial: false,
            has_more_ends: listed_ends == self.max_listed_ends,
        })
    }

    fn see_fence(&mut self, fence: u64) -> Result<(), OrderError> {
        if fence < self.fence {
            return Err(OrderError::Refused(Refusal::Fenced));
        }
        self.fence = fence;
        Ok(())
    }

    fn extend(&mut self, now_ms: u64, until_ms: u64) {
        let until_ms = until_ms.min(now_ms + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn free(&self) -> Resources {
        let used = self.running.values();
        used.fold(self.capacity, |free, run| free.minus(&run.demand))
    }

    fn advance(&mut self, now_ms: u64) {
        let over: Vec<(TaskId, EndCause)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let worked_ms = now_ms.saturating_sub(run.started_ms);
                if !run.fate.stalls && worked_ms >= run.fate.work_ms {
                    let fails = run.fate.fails;
                    let failed = EndCause::Failed;
                    return Some((
                        *task,
                        if fails { failed } else { EndCause::Done },
                    ));
                }
                let lapsed = now_ms >= self.lease_until_ms;
                lapsed.then_some((*task, EndCause::LeaseOver))
            })
            .collect();
        for (task, cause) in over {
            self.end(&task, cause);
        }
    }

    fn end(&mut self, task: &TaskId, cause: EndCause) {
        let Some(run) = self.running.remove(task) else { return };
        let is_done = cause == EndCause::Done;
        let checkpoint =
            if is_done { String::new() } else { self.checkpoint.clone() };
        self.ends += 1;
        let highest = self.highest.entry(*task).or_default();
        *highest = (*highest).max(run.run);
        self.ended.push(EndedRun {
            number: self.ends,
            task: *task,
            run: run.run,
            cause,
            checkpoint,
        });
    }
}
