//! A chain of holders that follow each other after about a second, each
//! loading the open jobs while it schedules.

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

/// How long each holder lasts, and how much of that it spends loading, in
/// milliseconds. Holders that lost their lease to a refused write lasted 0.8
/// to 2.5 s; they loaded 1.5 MB in 0.74 s.
const HOLDER_MS: u64 = 1_200;
const LOAD_MS: u64 = 700;

/// How often a holder plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 25;

/// How orders to stop are delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopDelivery {
    Delivered,
    /// Neither the order nor an answer arrives.
    Lost,
    /// The worker refuses them as unhealthy.
    Refused,
}

/// A hold whose answer the worker delays until something ends.
struct Waiting {
    until_ms: u64,
    worker: WorkerId,
    held: SentHold,
}

/// A fleet, a store, and the current holder of the lease.
pub struct HolderChain {
    pub world: World,
    pub stops: StopDelivery,
    /// The number of orders that a holder can complete per plan.
    pub orders_a_plan: usize,
    accepted: BTreeMap<JobId, (AcceptedJob, u64)>,
    cancelled: BTreeSet<JobId>,
    revision: u64,
    waiting: Vec<Waiting>,
    /// The orders that the holder hasn't had time to send.
    queue: Vec<Action>,
}

impl HolderChain {
    /// Starts with a holder that has loaded everything.
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

    /// Stores the cancellation of a job, and passes it to the holder.
    pub fn cancel(&mut self, number: u64) {
        self.cancelled.insert(id(number));
        let now = at(self.world.now_ms);
        self.world.scheduler.cancel(id(number), now);
    }

    /// Forgets a job that was over for long, as the store does.
    pub fn forget(&mut self, number: u64) {
        self.world.stored.remove(&id(number));
        self.world.phases.remove(&id(number));
        self.cancelled.remove(&id(number));
    }

    /// Replaces the holder, whose unsent orders are lost, by one that lasts
    /// for `HOLDER_MS` and loads all jobs.
    pub fn next_holder(&mut self) {
        self.begin();
        self.schedule_for(LOAD_MS);
        self.load();
        self.schedule_for(HOLDER_MS - LOAD_MS);
    }

    /// Lets holders follow each other for this long.
    pub fn holders_for(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.next_holder();
        }
    }

    /// Starts another holder, which has loaded no job yet.
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

    /// Loads everything in the store.
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

    /// Lets the holder schedule for this long.
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

    /// Answers the holds that have timed out, or on whose worker something has
    /// ended.
    fn answer_waiting(&mut self) {
        let now = at(self.world.now_ms);
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { until_ms, worker, held } = &waiting;
            let acknowledged = held.order().acknowledged;
            let ended = self.world.reach(worker).is_some_and(|reached| {
                // Lets the worker end the runs that are due by now.
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

    /// Returns whether any run of a job is active on any worker.
    pub fn runs(&mut self, number: u64) -> bool {
        let job = id(number).to_string();
        self.world.running().iter().any(|task| task.starts_with(&job))
    }
}
