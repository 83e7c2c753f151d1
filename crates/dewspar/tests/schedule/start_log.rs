//! Starts that are recorded together.

use {
    crate::{
        crashing::{MAX_STARTS, first_task, starts_of},
        world::{World, at, id, job, step},
    },
    dewspar::{
        job::JobId,
        schedule::{LoggedStart, StartLog, WorkerListing},
    },
    dewspar_standin::task_worker::Fate,
};

/// A world whose holders log starts, and the logs in its store.
struct LoggingWorld {
    world: World,
    logs: Vec<StartLog>,
    /// The number of starts that were logged in all.
    logged: usize,
}

impl LoggingWorld {
    fn new(names: &[&str]) -> LoggingWorld {
        let mut world = World::new(5, names);
        world.scheduler.enable_start_log();
        world.list();
        world.expect_all();
        LoggingWorld { world, logs: Vec::new(), logged: 0 }
    }

    /// Plans once, and stores the changes unless the holder is lost with its
    /// starts.
    fn round(&mut self) {
        let starts = self.world.starts.len();
        self.world.now_ms += 50;
        self.world.round();
        let is_lost =
            self.world.lost_after_start && self.world.starts.len() > starts;
        while let Some(log) = self.world.scheduler.take_start_log() {
            if is_lost {
                self.world.scheduler.start_log_failed(&log);
                return;
            }
            self.logged += log.starts().len();
            self.world.scheduler.start_log_stored(&log);
            self.logs.push(log);
        }
        let now = at(self.world.now_ms);
        let settled = self.world.scheduler.take_settled_logs(now);
        self.logs.retain(|log| !settled.contains(&log.number()));
    }

    fn run_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.round();
        }
    }

    /// Lets another holder take over after the entries of the crashed workers
    /// have expired.
    fn take_over(&mut self, revision: u64, jobs: &[JobId]) {
        let world = &mut self.world;
        let workers = &world.workers;
        let is_alive =
            |worker: &WorkerListing| workers.contains_key(&worker.id);
        world.listings.retain(is_alive);
        world.take_over(revision);
        world.scheduler.enable_start_log();
        let logs = std::mem::take(&mut self.logs);
        let starts = logs.iter().flat_map(|log| log.starts().to_vec());
        world.scheduler.inherit_logged_starts(starts.collect());
        for number in jobs {
            let progress = world.stored.get(number).cloned();
            let accepted = job(vec![step(1)]);
            world.scheduler.submit(*number, accepted, 6, progress.as_ref());
        }
        world.list();
        world.expect_all();
    }
}

// Guards against starts that only the log records: if each holder is lost
// right after a start, the next one must still know of it.
#[test]
fn a_start_is_logged_before_its_holder_is_lost() {
    let mut logging = LoggingWorld::new(&["w1", "w2", "w3", "w4", "w5", "w6"]);
    logging.world.lost_after_start = true;
    let bad = first_task(id(1));
    logging.world.crashing.push(bad);
    let jobs = [id(1), id(2), id(3)];
    for number in jobs {
        logging.world.scheduler.submit(number, job(vec![step(1)]), 6, None);
    }
    let mut revision = 6;
    let end_ms = logging.world.now_ms + 60_000;
    while logging.world.now_ms < end_ms {
        let starts = logging.world.starts.len();
        while logging.world.starts.len() == starts
            && logging.world.now_ms < end_ms
        {
            logging.round();
        }
        revision += 2;
        logging.take_over(revision, &jobs);
    }
    let starts = starts_of(&logging.world, &bad);
    assert!(starts <= MAX_STARTS, "started {starts} times");
    assert_eq!(logging.world.phases[&id(1)], "failed");
    for sound in [id(2), id(3)] {
        assert_eq!(logging.world.phases[&sound], "completed", "{sound}");
    }
    assert!(logging.logged > 0);
}

/// Returns a holder that has taken over with one job, whose run continues.
fn take_over_and_start() -> LoggingWorld {
    let mut logging = LoggingWorld::new(&["w1", "w2"]);
    logging.world.fate = Fate::endless();
    logging.take_over(8, &[id(1)]);
    logging.run_for(200);
    assert_eq!(logging.world.starts.len(), 1);
    logging
}

// Guards against writing the job's record for each start.
#[test]
fn a_sound_start_is_logged_and_its_job_not_written_for_it() {
    let mut logging = take_over_and_start();
    assert_eq!(logging.logs.len(), 1);
    assert_eq!(logging.logged, 1);
    // The job's record says that it has begun; nothing else of it is written.
    logging.run_for(3_000);
    assert_eq!(logging.world.stored[&id(1)].tasks, []);
    assert!(logging.logs.is_empty(), "the run has lived on");
}

// Guards against losing a previous holder's logged starts with the next write
// of the job's record.
#[test]
fn inherited_starts_are_stored_with_their_jobs_before_logs_are_deleted() {
    let mut logging = take_over_and_start();
    let starts = logging.logs[0].starts().to_vec();
    let on = logging.world.starts[0].0.clone();
    // The outcome of the start stays unknown.
    logging.world.unreachable.push(on.clone());
    logging.world.stored.clear();
    logging.take_over(10, &[id(1)]);
    assert!(!logging.world.scheduler.are_logged_starts_stored());
    logging.run_for(50);
    assert!(logging.world.scheduler.are_logged_starts_stored());
    let record = &logging.world.stored[&id(1)].tasks[0];
    let logged: &LoggedStart = &starts[0];
    assert_eq!(record.unseen, logged.unseen);
    assert_eq!(logged.worker, on.as_str());
}

// Guards against starts that wait forever after the write of their log failed.
#[test]
fn starts_whose_log_was_not_written_are_logged_again() {
    let mut logging = LoggingWorld::new(&["w1", "w2"]);
    logging.take_over(8, &[id(1)]);
    let mut lost = None;
    while lost.is_none() {
        logging.world.now_ms += 50;
        logging.world.round();
        lost = logging.world.scheduler.take_start_log();
    }
    let lost = lost.expect("a log");
    assert_eq!(logging.world.scheduler.take_start_log(), None);
    logging.world.scheduler.start_log_failed(&lost);
    let again = logging.world.scheduler.take_start_log().expect("a log");
    assert_eq!(again.starts(), lost.starts());
    assert!(again.number() > lost.number());
    logging.world.scheduler.start_log_stored(&again);
    logging.run_for(100);
    assert_eq!(logging.world.starts.len(), 1);
}
