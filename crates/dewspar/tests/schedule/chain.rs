//! Holders that follow each other after a second or so, each loading what is
//! open while it schedules.

use {
    crate::world::{World, at, id},
    dewspar::{
        job::JobId,
        schedule::{
            AcceptedJob, Action, OrderError, Refusal, SentHold, WorkerId,
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How long each holder lasts, in milliseconds, and how long of that it loads.
/// Holders that lost their lease to a refused write lasted 0.8 to 2.5 s; they
/// loaded 1.5 MB in 0.74 s.
const HOLDER_MS: u64 = 1_200;
const LOAD_MS: u64 = 700;

/// How often a holder plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 25;

/// What becomes of orders to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopDelivery {
    Delivered,
    /// Neither the order nor an answer arrives.
    Lost,
    /// The worker is unhealthy and says so.
    Refused,
}

/// A question whose answer the worker holds back until something ends.
struct Waiting {
    until_ms: u64,
    worker: WorkerId,
    held: SentHold,
}

/// A fleet, a store, and the holder that has the lease.
pub struct HolderChain {
    pub world: World,
    pub stops: StopDelivery,
    /// How many orders a holder can have answered in a plan's time.
    pub orders_a_plan: usize,
    accepted: BTreeMap<JobId, (AcceptedJob, u64)>,
    cancelled: BTreeSet<JobId>,
    revision: u64,
    waiting: Vec<Waiting>,
    /// The orders that the holder hasn't had the time to send.
    queue: Vec<Action>,
}

impl HolderChain {
    /// Begins with a holder that knows everything.
    pub fn new(names: &[&str]) -> HolderChain {
        let mut world = World::new(7, names);
        world.list();
        world.expect_all();
        HolderChain {
            world,
            stops: StopDelivery::Delivered,
            orders_a_plan: usize::MAX,
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            revision: 7,
            waiting: Vec::new(),
            queue: Vec::new(),
        }
    }

    pub fn submit(&mut self, number: u64, job: AcceptedJob) {
        self.revision += 1;
        let id = id(number);
        self.accepted.insert(id, (job.clone(), self.revision));
        self.world.scheduler.submit(id, job, self.revision, None);
    }

    /// A node stores that a job is cancelled, and the holder hears of it.
    pub fn cancel(&mut self, number: u64) {
        self.cancelled.insert(id(number));
        let now = at(self.world.now_ms);
        self.world.scheduler.cancel(id(number), now);
    }

    /// Forgets jobs that were over for long, as the store does.
    pub fn forget(&mut self, number: u64) {
        self.world.stored.remove(&id(number));
        self.world.phases.remove(&id(number));
        self.cancelled.remove(&id(number));
    }

    /// The holder is gone, with all that it meant to send; another one lasts
    /// for a while and is gone as well.
    pub fn next_holder(&mut self) {
        self.begin();
        self.schedule_for(LOAD_MS);
        self.load();
        self.schedule_for(HOLDER_MS - LOAD_MS);
    }

    /// Lets holders follow each other for so long.
    pub fn holders_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.next_holder();
        }
    }

    /// Lets another holder begin, which has loaded no job yet.
    pub fn begin(&mut self) {
        self.revision += 1;
        self.waiting.clear();
        self.queue.clear();
        self.world.take_over(self.revision);
        let now = at(self.world.now_ms);
        self.world.scheduler.begin_loading();
        for id in &self.cancelled {
            self.world.scheduler.cancel(*id, now);
        }
        self.world.list();
        self.world.expect_all();
    }

    /// Loads all that the store has.
    pub fn load(&mut self) {
        let world = &mut self.world;
        for (id, (job, revision)) in &self.accepted {
            let progress = world.stored.get(id);
            world.scheduler.submit(*id, job.clone(), *revision, progress);
        }
        for (id, progress) in &world.stored {
            if progress.phase.is_final() {
                let job = AcceptedJob::default();
                world.scheduler.submit(*id, job, 0, Some(progress));
            }
        }
        world.scheduler.finish_loading(at(world.now_ms));
    }

    /// Lets the holder go on for so long.
    pub fn schedule_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.world.now_ms += PLAN_INTERVAL_MS;
            self.round();
        }
    }

    fn round(&mut self) {
        let now = at(self.world.now_ms);
        self.answer_waiting();
        self.queue.extend(self.world.scheduler.plan(now));
        let most = self.orders_a_plan.min(self.queue.len());
        let sent: Vec<Action> = self.queue.drain(..most).collect();
        for action in sent {
            self.send(action);
        }
        self.store();
    }

    fn send(&mut self, action: Action) {
        let now = at(self.world.now_ms);
        match action {
            Action::Stop { worker, order, .. }
                if self.stops != StopDelivery::Delivered =>
            {
                let error = match self.stops {
                    StopDelivery::Refused => {
                        OrderError::Refused(Refusal::Unhealthy)
                    }
                    StopDelivery::Lost | StopDelivery::Delivered => {
                        OrderError::Unknown
                    }
                };
                let (task, scheduler) =
                    (order.task, &mut self.world.scheduler);
                scheduler.stop_answered(&worker, &task, Err(error), now);
            }
            Action::Hold { worker, held, .. } if held.order().wait_ms > 0 => {
                let until_ms = self.world.now_ms + held.order().wait_ms;
                self.waiting.push(Waiting { until_ms, worker, held });
            }
            action => self.world.carry_out(action, now),
        }
    }

    /// Answers questions whose time is up, or on whose worker something has
    /// ended.
    fn answer_waiting(&mut self) {
        let now = at(self.world.now_ms);
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { until_ms, worker, held } = &waiting;
            let acknowledged = held.order().acknowledged;
            let ended = self.world.reach(worker).is_some_and(|reached| {
                // What ends with time does so by now.
                reached.running(now.steady_ms);
                let mut ended = reached.ended().iter();
                ended.any(|end| end.number > acknowledged)
            });
            if !ended && now.steady_ms < *until_ms {
                self.waiting.push(waiting);
                continue;
            }
            let result = match self.world.reach(worker) {
                Some(reached) => reached.hold(now.steady_ms, held.order()),
                None => Err(OrderError::Unknown),
            };
            self.world.hold_result(worker, held, result, now);
        }
    }

    fn store(&mut self) {
        let now = at(self.world.now_ms);
        let world = &mut self.world;
        let changes = world.scheduler.take_changes(100);
        for (id, progress) in &changes.progress {
            world.phases.insert(*id, progress.phase.name());
            world.stored.insert(*id, progress.clone());
            if progress.phase.is_final() {
                self.accepted.remove(id);
            }
        }
        world.scheduler.changes_stored(&changes, now);
        for id in world.scheduler.take_settled_cancellations(now, 31) {
            self.cancelled.remove(&id);
        }
    }

    /// Returns whether anything of a job runs anywhere.
    pub fn runs(&mut self, number: u64) -> bool {
        let job = id(number).to_string();
        self.world.running().iter().any(|task| task.starts_with(&job))
    }
}
