//! Where a task is started again that has failed on a worker.

use {
    crate::world::{RunKind, World, at, id, job, managed, step},
    dewspar::{
        job::{JobId, StepSpec},
        schedule::{ManagedVm, Resources, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
};

/// How long a task may wait while there is room for it, in milliseconds: less
/// than the 3 s for which a job may have nothing running.
const MAX_WAIT_MS: u64 = 2_500;

const ROOM: Resources =
    Resources { cpu_millis: 32_000, memory_mb: 128_000, gpus: 0 };

/// Two workers of 32 cores.
struct TwoWorkers {
    world: World,
    vms: Vec<ManagedVm>,
}

impl TwoWorkers {
    fn new() -> TwoWorkers {
        let mut world = World::with_room(5, &["w1", "w2"], ROOM);
        world.list();
        world.expect_all();
        let vms = world.listings.iter().map(managed).collect();
        let mut workers = TwoWorkers { world, vms };
        workers.run_for(200);
        workers
    }

    /// Runs the world, and measures pools as a holder does.
    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            let now = at(self.world.now_ms);
            self.world.scheduler.list_vms(now, now.steady_ms, &self.vms);
            self.world.scheduler.plan_vms(now);
            self.world.run_for(50);
        }
    }

    fn set_kind(&mut self, job: JobId, cpu_millis: u64, fate: Fate) {
        let demand = Resources { cpu_millis, ..Resources::default() };
        self.world.kinds.insert(job, RunKind { demand, fate });
    }

    fn submit(&mut self, number: u64, tasks: StepSpec, fate: Fate) {
        self.set_kind(id(number), tasks.cpu_millis, fate);
        self.world.scheduler.submit(id(number), job(vec![tasks]), 6, None);
    }

    /// Returns the workers on which tasks of a job were started.
    fn starts_of(&self, number: u64) -> Vec<&WorkerId> {
        let starts = self.world.starts.iter();
        let of_job = starts.filter(|(_, o)| o.task.job == id(number));
        of_job.map(|(worker, _)| worker).collect()
    }

    /// Starts a task of four cores that fails once. Returns how long it waits
    /// for its second run, in milliseconds.
    fn wait_of_failed_task(&mut self, number: u64) -> u64 {
        let task = StepSpec { cpu_millis: 4_000, ..step(1) };
        self.submit(number, task, Fate::failed(500));
        while self.starts_of(number).is_empty() {
            self.run_for(50);
        }
        let failed_ms = self.world.now_ms + 500;
        self.set_kind(id(number), 4_000, Fate::done(500));
        while self.starts_of(number).len() < 2 {
            self.run_for(50);
            assert!(self.world.now_ms < failed_ms + 60_000, "no second run");
        }
        self.world.now_ms - failed_ms
    }
}

fn cores(tasks: u32, cpu_millis: u64) -> StepSpec {
    StepSpec { cpu_millis, ..step(tasks) }
}

// Guards against waiting for a worker that is full of long-running tasks, for
// as long as these last.
#[test]
fn a_failed_task_does_not_wait_for_long_running_tasks_elsewhere() {
    let mut workers = TwoWorkers::new();
    let lasting = StepSpec { long_running: true, ..cores(5, 6_000) };
    workers.submit(1, lasting, Fate::endless());
    workers.run_for(4_000);
    let waited_ms = workers.wait_of_failed_task(2);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms} ms");
    let on = workers.starts_of(2);
    assert_eq!(on[0], on[1], "the other has no room");
}

// The same where the other worker is full of tasks that take minutes.
#[test]
fn a_failed_task_does_not_wait_for_minutes_in_a_pool_that_is_mostly_free() {
    let mut workers = TwoWorkers::new();
    let long = StepSpec { estimate_ms: 600_000, ..cores(5, 6_000) };
    workers.submit(1, long, Fate::done(600_000));
    workers.run_for(4_000);
    let waited_ms = workers.wait_of_failed_task(2);
    assert!(waited_ms <= MAX_WAIT_MS, "{waited_ms} ms");
}

// Guards against going back to a worker that may be faulty while the pool is
// busy: its other worker has room again in a few seconds.
#[test]
fn a_failed_task_waits_for_another_worker_in_a_busy_pool() {
    let mut workers = TwoWorkers::new();
    workers.submit(1, cores(9, 6_000), Fate::done(4_500));
    workers.run_for(500);
    let waited_ms = workers.wait_of_failed_task(2);
    assert!(waited_ms > MAX_WAIT_MS, "{waited_ms} ms");
    let on = workers.starts_of(2);
    assert_ne!(on[0], on[1], "it has failed on that one");
}
