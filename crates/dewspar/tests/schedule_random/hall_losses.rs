//! Data halls that go down from time to time.

use {
    dewspar::{
        hall::HallState,
        schedule::{Action, Options, Policy, Scheduler, StartOrder},
    },
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// How often a hall goes down or comes back, in steps.
const CHANGE_STEPS: u64 = 30;

/// The data halls that go down.
#[derive(Default)]
pub struct HallLosses {
    /// How many losses the scheduler is to tolerate.
    tolerated: usize,
    policy: Policy,
    /// Whether halls go down.
    enabled: bool,
    /// The hall that is down.
    down: Option<String>,
    /// The number of times that a hall went down.
    pub count: u32,
    /// The orders so far.
    orders: DefaultHasher,
}

impl HallLosses {
    /// Returns losses of which this many are tolerated.
    pub fn tolerated(tolerated: usize) -> HallLosses {
        let enabled = true;
        HallLosses { tolerated, enabled, ..HallLosses::default() }
    }

    /// Sets whether halls go down.
    pub fn enabled(mut self, enabled: bool) -> HallLosses {
        self.enabled = enabled;
        self
    }

    /// Sets the policy.
    pub fn policy(mut self, policy: Policy) -> HallLosses {
        self.policy = policy;
        self
    }

    pub fn options(&self) -> Options {
        let options = Options::default().policy(self.policy.clone());
        options.tolerated_halls(self.tolerated)
    }

    /// Tells a new holder which hall is down.
    pub fn tell(&self, scheduler: &mut Scheduler) {
        if let Some(hall) = &self.down {
            scheduler.assume_hall_state(hall, Some(HallState::CutOff));
        }
    }

    /// Lets another hall go down, or none. Isn't drawn, so that runs with and
    /// without losses are comparable.
    pub fn change(
        &mut self,
        step: u64,
        faults: bool,
        scheduler: &mut Scheduler,
    ) {
        if !self.enabled || !step.is_multiple_of(CHANGE_STEPS) {
            return;
        }
        if let Some(hall) = self.down.take() {
            scheduler.assume_hall_state(&hall, None);
        }
        let turn = step / CHANGE_STEPS % 4;
        if faults && turn % 2 == 1 {
            self.down = Some(format!("hall-{}", turn / 2));
            self.count += 1;
            self.tell(scheduler);
        }
    }

    /// Checks that an order isn't for a hall that is down.
    pub fn check(&self, hall: &str, order: &StartOrder) {
        let is_down = self.down.as_deref() == Some(hall);
        let task = order.task;
        assert!(
            !is_down || self.tolerated == 0,
            "{task} was started in {hall}, which is down"
        );
    }

    /// Records an order.
    pub fn record(&mut self, action: &Action) {
        format!("{action:?}").hash(&mut self.orders);
    }

    /// Returns a digest of all orders so far.
    pub fn orders_digest(&self) -> u64 {
        self.orders.finish()
    }
}
