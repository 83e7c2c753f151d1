//! Workers that are kept free for a task that was lost twice, beside the other
//! work of their pool.

use {
    crate::world::{RunKind, World, at, id, job, step},
    dewspar::{
        job::{JobId, StepSpec, TaskId},
        schedule::{Decision, Resources, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
    std::collections::BTreeMap,
};

/// The longest time for which a job may have nothing running although there is
/// room, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;

/// For how long after a loss that doesn't count, in milliseconds.
const CALM_AFTER_MS: u64 = 4_000;

/// How long after its first run a worker is lost, in milliseconds.
const LOST_AFTER_MS: u64 = 400;

/// How long a short task works, in milliseconds.
const WORK_MS: u64 = 800;

const WORKER_ROOM: Resources =
    Resources { cpu_millis: 32_000, memory_mb: 32_000, gpus: 0 };

const TASK: Resources =
    Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };

fn short_step(count: u32) -> StepSpec {
    StepSpec {
        cpu_millis: TASK.cpu_millis,
        estimate_ms: WORK_MS,
        ..step(count)
    }
}

/// A pool with short jobs that come at regular intervals.
struct Traffic {
    world: World,
    interval_ms: u64,
    tasks_per_job: u32,
    next_ms: u64,
    jobs: u64,
    /// Since when each open job has had nothing running.
    idle_since_ms: BTreeMap<JobId, u64>,
    longest_idle_ms: u64,
    /// From when on the time without a run counts.
    calm_from_ms: u64,
}

impl Traffic {
    fn new(names: &[&str], interval_ms: u64, tasks_per_job: u32) -> Traffic {
        let mut world = World::with_room(5, names, WORKER_ROOM);
        world.fate = Fate::done(WORK_MS);
        world.list();
        Traffic {
            world,
            interval_ms,
            tasks_per_job,
            next_ms: 0,
            jobs: 0,
            idle_since_ms: BTreeMap::new(),
            longest_idle_ms: 0,
            calm_from_ms: 0,
        }
    }

    fn run_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            if self.world.now_ms >= self.next_ms {
                self.next_ms = self.world.now_ms + self.interval_ms;
                self.submit();
            }
            self.world.run_for(50);
            self.watch();
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let mut accepted = job(vec![short_step(self.tasks_per_job)]);
        accepted.accepted_at_ms = at(self.world.now_ms).unix_ms;
        let id = id(self.jobs);
        let kind = RunKind { demand: TASK, fate: self.world.fate };
        self.world.kinds.insert(id, kind);
        self.world.scheduler.submit(id, accepted, 5 + self.jobs, None);
        self.idle_since_ms.insert(id, self.world.now_ms);
    }

    /// Notes how long each open job has had nothing running.
    fn watch(&mut self) {
        let now_ms = self.world.now_ms;
        let running = self.world.running();
        let is_calm = now_ms >= self.calm_from_ms;
        let counts = is_calm && self.has_room_twice();
        let phases = &self.world.phases;
        let over = |id: &JobId| {
            matches!(phases.get(id), Some(&"completed" | &"failed"))
        };
        self.idle_since_ms.retain(|id, _| !over(id));
        for (id, since_ms) in &mut self.idle_since_ms {
            let name = id.to_string();
            if running.iter().any(|task| task.starts_with(&name)) || !counts {
                *since_ms = now_ms;
            }
            let idle_ms = now_ms - *since_ms;
            self.longest_idle_ms = self.longest_idle_ms.max(idle_ms);
        }
    }

    /// Returns whether some worker has room for two more short tasks.
    fn has_room_twice(&self) -> bool {
        self.world.workers.values().any(|worker| {
            WORKER_ROOM.minus(&worker.used()).contains(&TASK.times(2))
        })
    }

    /// Loses a worker for good.
    fn lose(&mut self, worker: &WorkerId) {
        self.world.workers.remove(worker);
        self.world.listings.retain(|listing| listing.id != *worker);
        let reason = "the VM service says that it ended";
        let now = at(self.world.now_ms);
        self.world.scheduler.worker_gone(worker, reason, now);
        self.calm_from_ms = self.world.now_ms + CALM_AFTER_MS;
    }

    /// Loses the worker with the most runs, and then the one on which these
    /// have started again.
    fn lose_two_in_a_row(&mut self) {
        let clock = self.world.now_ms;
        let workers = self.world.workers.iter_mut();
        let runs = workers.map(|(id, worker)| (worker.running(clock), id));
        let (lost, first) = runs.max_by_key(|(runs, _)| runs.len()).unwrap();
        let (lost, first) = (lost, first.clone());
        assert!(!lost.is_empty(), "nothing runs");
        self.lose(&first);
        for _ in 0..100 {
            self.run_for(50);
            let clock = self.world.now_ms;
            let ran = |runs: Vec<(TaskId, u64)>| {
                runs.iter().any(|run| lost.iter().any(|l| l.0 == run.0))
            };
            let mut workers = self.world.workers.iter_mut();
            let found = workers.find_map(|(id, worker)| {
                ran(worker.running(clock)).then(|| id.clone())
            });
            if let Some(second) = found {
                self.run_for(LOST_AFTER_MS);
                self.lose(&second);
                return;
            }
        }
        panic!("what was lost doesn't start again");
    }

    fn check(&self) {
        let idle_ms = self.longest_idle_ms;
        assert!(idle_ms <= MAX_IDLE_MS, "nothing running for {idle_ms} ms");
    }
}

/// Guards against a pool that stops beside a sound, idle worker: it is kept
/// for a task that was lost twice, fresh jobs find no room, and that task is
/// passed over for lack of room.
#[test]
fn a_pool_goes_on_after_two_of_three_workers_are_lost() {
    for (interval_ms, tasks) in [(350, 1), (250, 1), (150, 1), (250, 4)] {
        let mut traffic =
            Traffic::new(&["w1", "w2", "w3"], interval_ms, tasks);
        traffic.run_for(8_000);
        traffic.lose_two_in_a_row();
        traffic.run_for(40_000);
        traffic.check();
        let decisions = traffic.world.scheduler.take_decisions();
        let is_given_up = |d: &Decision| matches!(d, Decision::GivenUp { .. });
        assert!(!decisions.iter().any(is_given_up));
    }
}

/// Guards against a task that waits for a worker which is kept for it although
/// long-running tasks fill it, beside another worker with room.
#[test]
fn no_worker_is_kept_that_long_running_tasks_fill() {
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let mut traffic = Traffic::new(&names, 350, 1);
    let filling = Resources { cpu_millis: 31_500, ..TASK };
    let mut long = step(2);
    long.cpu_millis = filling.cpu_millis;
    long.long_running = true;
    let long_id = id(1_000_000);
    let kind = RunKind { demand: filling, fate: Fate::endless() };
    traffic.world.kinds.insert(long_id, kind);
    traffic.world.scheduler.submit(long_id, job(vec![long]), 6, None);
    traffic.run_for(8_000);
    traffic.lose_two_in_a_row();
    traffic.run_for(40_000);
    traffic.check();
}
