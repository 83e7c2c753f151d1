/*!
A small fleet that runs tasks of jobs: its workers, VMs and operator, in
memory.

It is a [`Fleet`] and the fleet's [`JobWorkers`] in one, so that nodes that
run jobs can be tried without sockets to a platform. [`Faults`] strike orders
to workers.

# Example

```
use {
    dewspar::job::QueueSet,
    dewspar_platform::Fleet,
    dewspar_standin::{faults::Faults, task_fleet::TaskFleet},
};

let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_time()
    .build()?;
runtime.block_on(async {
    let fleet = TaskFleet::new(Faults::new(1), "registry", 3);
    assert_eq!(fleet.workers().await?.len(), 3);
    assert!(fleet.intent().await?.queues.is_none());
    fleet.configure(QueueSet::new(1, Vec::new()));
    assert_eq!(fleet.intent().await?.queues.unwrap().version(), 1);
    Ok::<(), dewspar_platform::Error>(())
})?;
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use {
    crate::{
        faults::{Fate as CallFate, Faults},
        task_worker::{Fate, TaskWorker},
    },
    dewspar::{
        job::{QueueSet, TaskId},
        schedule::{
            EndCause, HoldOrder, HoldReport, Incarnation, ManagedVm,
            OrderError, PaceOrder, Refusal, Resources, StartOrder, StopOrder,
            VmOrderError, VmReading, VmStatus, WaveRequest, WorkerId,
            WorkerListing,
        },
    },
    dewspar_platform::{Error, Fleet, Intent, JobWorkers, VmChange},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// What each worker has room for: four tasks of [`TASK`].
const ROOM: Resources =
    Resources { cpu_millis: 4_000, memory_mb: 4_000, gpus: 0 };

/// What each task takes, whatever its job says.
const TASK: Resources =
    Resources { cpu_millis: 1_000, memory_mb: 1_000, gpus: 0 };

/// How often a hold that waits looks for an end.
const LOOK: Duration = Duration::from_millis(10);

/// How long a task works that fails, in milliseconds.
const FAILS_AFTER_MS: u64 = 50;

/// How long an order takes at most, in milliseconds: as on the platform.
const ORDER_TIMEOUT_MS: u64 = 200;

/// How long a change of what the operator wants is waited for.
const INTENT_WAIT: Duration = Duration::from_millis(100);

/// The fleet; clones share it.
#[derive(Clone, Debug)]
pub struct TaskFleet {
    state: Arc<Mutex<State>>,
    faults: Faults,
    start: Instant,
}

#[derive(Debug)]
struct State {
    workers: BTreeMap<WorkerId, Entry>,
    intent: Intent,
    /// Whether what the operator wants can't be read.
    is_intent_unreadable: bool,
    completed: Vec<u64>,
    next_life: u64,
    /// How long each task takes, in milliseconds.
    work_ms: u64,
    /// The step whose tasks fail after [`FAILS_AFTER_MS`], if one does.
    failing_step: Option<u32>,
    /// Whether the first run of each task fails after [`FAILS_AFTER_MS`].
    first_runs_fail: bool,
    /// How long the checkpoints are of runs that end before they are done, in
    /// bytes.
    checkpoint_bytes: usize,
    /// Every run that was started from a checkpoint.
    resumed: Vec<(TaskId, u64)>,
    /// Whether orders to stop are lost.
    stops_lost: bool,
    /// Every run that was ever started.
    started: Vec<(TaskId, u64)>,
    /// Tasks that are known to have done their work.
    done: BTreeSet<TaskId>,
    /// Tasks of which a run began though they were done or ran elsewhere.
    ran_twice: Vec<TaskId>,
    maintained: BTreeSet<String>,
}

#[derive(Debug)]
struct Entry {
    worker: TaskWorker,
    listing: WorkerListing,
    /// When its process was started, by the fleet's clock: its own begins then.
    started_ms: u64,
}

impl Entry {
    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }
}

impl TaskFleet {
    /// Makes a fleet of one pool with so many VMs.
    pub fn new(faults: Faults, pool: &str, vms: usize) -> TaskFleet {
        let state = State {
            workers: BTreeMap::new(),
            intent: Intent { read_at: 1, ..Intent::default() },
            is_intent_unreadable: false,
            completed: Vec::new(),
            next_life: 1,
            work_ms: 100,
            failing_step: None,
            first_runs_fail: false,
            checkpoint_bytes: 0,
            resumed: Vec::new(),
            stops_lost: false,
            started: Vec::new(),
            done: BTreeSet::new(),
            ran_twice: Vec::new(),
            maintained: BTreeSet::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let fleet = TaskFleet { state, faults, start: Instant::now() };
        for vm in 0..vms {
            fleet.lock().start_life(&format!("vm-{vm}"), pool);
        }
        fleet
    }

    /// Returns the same fleet as reached from elsewhere, with faults of that
    /// way.
    pub fn reached_with(&self, faults: Faults) -> TaskFleet {
        TaskFleet { faults, ..self.clone() }
    }

    /// Sets how long each task takes from now on, in milliseconds.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.lock().work_ms = work_ms;
    }

    /// Has all tasks of a step fail, in every job.
    pub fn fail_step(&self, step: u32) {
        self.lock().failing_step = Some(step);
    }

    /// Has the first run of each task fail, and list a checkpoint of this many
    /// bytes.
    pub fn fail_first_runs(&self, checkpoint_bytes: usize) {
        let mut state = self.lock();
        state.first_runs_fail = true;
        state.checkpoint_bytes = checkpoint_bytes;
        for entry in state.workers.values_mut() {
            entry.worker.set_checkpoint_bytes(checkpoint_bytes);
        }
    }

    /// Loses orders to stop from now on, or no longer.
    pub fn set_stops_lost(&self, lost: bool) {
        self.lock().stops_lost = lost;
    }

    /// Writes a configuration, as the operator would.
    pub fn configure(&self, queues: QueueSet) {
        let mut state = self.lock();
        state.intent.read_at += 1;
        state.intent.queues = Some(queues);
    }

    /// Fails reads of what the operator wants from now on, or no longer.
    pub fn set_intent_unreadable(&self, unreadable: bool) {
        self.lock().is_intent_unreadable = unreadable;
    }

    /// Asks for a wave, as the operator would.
    pub fn request_wave(&self, wave: WaveRequest) {
        let mut state = self.lock();
        state.intent.read_at += 1;
        state.intent.waves.push(wave);
    }

    /// Returns every run that was ever started.
    pub fn started(&self) -> Vec<(TaskId, u64)> {
        self.lock().started.clone()
    }

    /// Returns every run that was started from a checkpoint.
    pub fn resumed(&self) -> Vec<(TaskId, u64)> {
        self.lock().resumed.clone()
    }

    /// Returns the tasks of which a run began though they were done, by what
    /// some worker has listed, or ran elsewhere.
    pub fn ran_twice(&self) -> Vec<TaskId> {
        self.lock().ran_twice.clone()
    }

    /// Returns the VMs that were maintained.
    pub fn maintained(&self) -> BTreeSet<String> {
        self.lock().maintained.clone()
    }

    /// Returns what runs now.
    pub fn running(&self) -> Vec<(TaskId, u64)> {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let workers = state.workers.values_mut();
        let running = |entry: &mut Entry| {
            let clock_ms = entry.clock_ms(now_ms);
            entry.worker.running(clock_ms)
        };
        workers.flat_map(running).collect()
    }

    /// Lets a VM's worker end and start again under its identifier: it has
    /// nothing of before.
    pub fn restart(&self, vm: &str) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let checkpoint_bytes = state.checkpoint_bytes;
        let mut entries = state.workers.values_mut();
        let entry = entries.find(|entry| entry.listing.vm == vm);
        let Some(entry) = entry else { return };
        let process = Incarnation::started_at(now_ms);
        entry.listing.incarnation = process;
        entry.worker = TaskWorker::new(ROOM).incarnated(process);
        entry.worker.set_checkpoint_bytes(checkpoint_bytes);
        entry.started_ms = now_ms;
    }

    /// Lets a VM fail; it is back at once, and all that ran there is gone.
    pub fn crash(&self, vm: &str) {
        self.lock().replace_life(vm);
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.start.elapsed().as_millis();
        // Above 0, so that no clock is at its very start.
        1_000 + u64::try_from(elapsed).unwrap_or(u64::MAX - 1_000)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries out an order, unless a fault strikes it.
    fn order<T>(
        &self,
        worker: &WorkerId,
        act: impl FnOnce(&mut Entry, u64) -> Result<T, OrderError>,
    ) -> Result<T, OrderError> {
        let fate = self.faults.fate();
        if fate == CallFate::Refuse {
            return Err(OrderError::NotSent);
        }
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let entry = state.workers.get_mut(worker);
        let entry = entry.ok_or(OrderError::Refused(Refusal::OtherLife))?;
        let clock_ms = entry.clock_ms(now_ms);
        let result = act(entry, clock_ms);
        state.note_done();
        match fate {
            CallFate::LoseAnswer => Err(OrderError::Unknown),
            CallFate::Answer | CallFate::Refuse => result,
        }
    }
}

impl State {
    fn start_life(&mut self, vm: &str, pool: &str) {
        let id = WorkerId::new(&format!("{vm}-{}", self.next_life));
        self.next_life += 1;
        // Restarted ones tell later times.
        let process = Incarnation::started_at(0);
        let listing = WorkerListing {
            id: id.clone(),
            incarnation: process,
            address: id.to_string(),
            vm: vm.to_owned(),
            pool: pool.to_owned(),
            hall: "hall-1".to_owned(),
            rack: "rack-1".to_owned(),
            labels: Vec::new(),
            capacity: ROOM,
            draining: false,
            remaining_ms: None,
            cold_remaining_ms: 0,
        };
        let mut worker = TaskWorker::new(ROOM).incarnated(process);
        worker.set_checkpoint_bytes(self.checkpoint_bytes);
        let entry = Entry { worker, listing, started_ms: 0 };
        self.workers.insert(id, entry);
    }

    fn fate_of(&self, order: &StartOrder) -> Fate {
        let fails = self.failing_step == Some(order.task.step)
            || self.first_runs_fail && order.run == 1;
        if fails {
            return Fate::failed(FAILS_AFTER_MS);
        }
        Fate::done(self.work_ms)
    }

    /// Notes what workers list as done, before that is acknowledged.
    fn note_done(&mut self) {
        for entry in self.workers.values() {
            let ended = entry.worker.ended().iter();
            let done = ended.filter(|end| end.cause == EndCause::Done);
            self.done.extend(done.map(|end| end.task));
        }
    }

    fn note_started(&mut self, order: &StartOrder, now_ms: u64) {
        self.started.push((order.task, order.run));
        if !order.checkpoint.is_empty() {
            self.resumed.push((order.task, order.run));
        }
        let runs = |entry: &mut Entry| {
            let clock_ms = entry.clock_ms(now_ms);
            let running = entry.worker.running(clock_ms);
            running.iter().any(|(task, _)| *task == order.task)
        };
        let workers = self.workers.values_mut();
        let running = workers.map(runs).filter(|runs| *runs).count();
        if running > 1 || self.done.contains(&order.task) {
            self.ran_twice.push(order.task);
        }
    }

    /// Ends a VM's worker and starts the next; returns whether there is one.
    fn replace_life(&mut self, vm: &str) -> bool {
        let found = self.workers.values().find(|e| e.listing.vm == vm);
        let Some(listing) = found.map(|entry| entry.listing.clone()) else {
            return false;
        };
        self.workers.remove(&listing.id);
        self.start_life(vm, &listing.pool);
        true
    }
}

impl JobWorkers for TaskFleet {
    fn timeout_ms(&self) -> u64 {
        ORDER_TIMEOUT_MS
    }

    async fn start(
        &self,
        _address: &str,
        worker: &WorkerId,
        order: &StartOrder,
    ) -> Result<u64, OrderError> {
        let delay = self.faults.delay();
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let fate = self.lock().fate_of(order);
        let mut began = false;
        let result = self.order(worker, |entry, now_ms| {
            if !entry.worker.is_required_by(order) {
                return Err(OrderError::Refused(Refusal::OtherProcess));
            }
            let result = entry.worker.start(now_ms, order, TASK, fate);
            began = result.is_ok();
            result
        });
        if began {
            let now_ms = self.now_ms();
            self.lock().note_started(order, now_ms);
        }
        result
    }

    async fn stop(
        &self,
        _address: &str,
        worker: &WorkerId,
        order: &StopOrder,
    ) -> Result<u64, OrderError> {
        if self.lock().stops_lost {
            return Err(OrderError::Unknown);
        }
        self.order(worker, |entry, now_ms| entry.worker.stop(now_ms, order))
    }

    async fn pace(
        &self,
        _address: &str,
        worker: &WorkerId,
        _order: &PaceOrder,
    ) -> Result<u64, OrderError> {
        self.order(worker, |_, now_ms| Ok(now_ms))
    }

    async fn hold(
        &self,
        _address: &str,
        worker: &WorkerId,
        order: &HoldOrder,
    ) -> Result<HoldReport, OrderError> {
        let until = Instant::now() + Duration::from_millis(order.wait_ms);
        loop {
            let report = self.order(worker, |entry, now_ms| {
                entry.worker.hold(now_ms, order)
            })?;
            if !report.ended.is_empty() || Instant::now() >= until {
                return Ok(report);
            }
            sleep(LOOK).await;
        }
    }
}

impl Fleet for TaskFleet {
    async fn workers(&self) -> Result<Vec<WorkerListing>, Error> {
        let state = self.lock();
        let entries = state.workers.values();
        Ok(entries.map(|entry| entry.listing.clone()).collect())
    }

    async fn worker(
        &self,
        id: &WorkerId,
    ) -> Result<Option<WorkerListing>, Error> {
        let state = self.lock();
        Ok(state.workers.get(id).map(|entry| entry.listing.clone()))
    }

    async fn vms(&self) -> Result<VmReading, Error> {
        let state = self.lock();
        let entries = state.workers.values();
        let vms = entries
            .map(|entry| ManagedVm {
                vm: entry.listing.vm.clone(),
                pool: entry.listing.pool.clone(),
                status: VmStatus::Up,
                hall: "hall-1".to_owned(),
                capacity: ROOM,
                worker: Some(entry.listing.id.clone()),
            })
            .collect();
        Ok(VmReading { vms, is_partial: false })
    }

    async fn maintain(
        &self,
        change: &VmChange,
        _wave: u64,
    ) -> Result<(), VmOrderError> {
        let mut state = self.lock();
        if !state.replace_life(&change.vm) {
            return Err(VmOrderError::Invalid);
        }
        state.maintained.insert(change.vm.clone());
        Ok(())
    }

    async fn move_to(
        &self,
        _change: &VmChange,
        _pool: &str,
    ) -> Result<(), VmOrderError> {
        // There is one pool only.
        Err(VmOrderError::Invalid)
    }

    async fn advise(
        &self,
        _step: &TaskId,
        workers: &[WorkerId],
    ) -> Result<Vec<(WorkerId, String)>, Error> {
        let tickets = workers.iter().cloned();
        Ok(tickets.map(|worker| (worker, "ticket".to_owned())).collect())
    }

    async fn intent(&self) -> Result<Intent, Error> {
        let state = self.lock();
        if state.is_intent_unreadable {
            return Err(Error::Unavailable {
                call: "read intent",
                reason: "turned away".to_owned(),
            });
        }
        Ok(state.intent.clone())
    }

    async fn intent_changed(&self, read_at: u64) -> Result<bool, Error> {
        let until = Instant::now() + INTENT_WAIT;
        while Instant::now() < until {
            if self.lock().intent.read_at > read_at {
                return Ok(true);
            }
            sleep(LOOK).await;
        }
        Ok(false)
    }

    async fn completed_waves(&self) -> Result<Vec<u64>, Error> {
        Ok(self.lock().completed.clone())
    }

    async fn report_wave(
        &self,
        wave: u64,
        completed: bool,
    ) -> Result<(), Error> {
        if completed {
            self.lock().completed.push(wave);
        }
        Ok(())
    }
}
