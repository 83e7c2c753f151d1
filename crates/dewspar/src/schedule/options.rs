/*!
The times and limits of a scheduler, and the policy that it follows.
*/

use crate::{link::LinkLimits, schedule::Policy, staleness::StalenessLimits};

/// How soon after a takeover all workers are polled for the first time, in
/// milliseconds.
const FIRST_POLL_MS: u64 = 1_000;

/// The default capacity of the node's link, in megabits per second: a common
/// one.
const LINK_MBPS: f64 = 1_000.0;

/// How many times as long a task takes away from its data, where no other
/// value is set.
const REMOTE_FACTOR: f64 = 2.0;

/// The times, limits and policy of a scheduler.
#[derive(Clone, Debug)]
pub struct Options {
    pub(crate) lease_ms: u64,
    pub(crate) max_lease_ms: u64,
    pub(crate) detached_ms: u64,
    pub(crate) hold_retry_ms: u64,
    pub(crate) unstored_hold_ms: u64,
    pub(crate) stop_retry_ms: u64,
    pub(crate) suspension_ms: u64,
    pub(crate) max_suspension_doublings: u32,
    pub(crate) finished_retention_ms: u64,
    pub(crate) directory_settle_ms: u64,
    pub(crate) duty_gap_ms: u64,
    pub(crate) stop_timeout_ms: u64,
    pub(crate) stop_settle_ms: u64,
    pub(crate) vm_list_age_ms: u64,
    pub(crate) max_operator_view_age_ms: Option<u64>,
    pub(crate) cancellation_limits: Option<StalenessLimits>,
    pub(crate) tolerated_halls: usize,
    pub(crate) remote_factor: Option<f64>,
    pub(crate) link: LinkLimits,
    pub(crate) policy: Policy,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            // Outlasts two takeovers in a row, of some 3 s each.
            lease_ms: 8_000,
            // The longest lease that a worker grants, by its protocol.
            max_lease_ms: 10_000,
            // As long as a lease, for which runs can be managed without the
            // store.
            detached_ms: 8_000,
            // A worker that returns is found within this time.
            hold_retry_ms: 200,
            // Longer than changes are batched and usually take to be stored,
            // so that most ends are acknowledged with the next hold.
            unstored_hold_ms: 50,
            // Several times the usual response time of a worker.
            stop_retry_ms: 400,
            // A worker that fails its starts is tried about as often as a
            // short task takes.
            suspension_ms: 1_000,
            // At most 8 s between tries, so that a worker that recovers is
            // soon used again.
            max_suspension_doublings: 3,
            // How long callers may query a finished job.
            finished_retention_ms: 120_000,
            // Workers are back in the directory some 2 s after the store is,
            // and the holder was back no later.
            directory_settle_ms: 3_000,
            // The time by which the operator keeps two holders apart.
            duty_gap_ms: 3_000,
            // The longest time that a worker takes for a stop, by its
            // protocol, where no other value is set.
            stop_timeout_ms: 900,
            // A stop takes up to 0.9 s, and workers are polled for the first
            // time within a second of a takeover.
            stop_settle_ms: 2_000,
            // A few reads of the list, and less than a VM takes to move.
            vm_list_age_ms: 2_000,
            max_operator_view_age_ms: None,
            cancellation_limits: None,
            tolerated_halls: 0,
            remote_factor: None,
            link: LinkLimits::of_link(LINK_MBPS),
            policy: Policy::default(),
        }
    }
}

impl Options {
    /// Sets the lease that orders grant to a worker's runs, in milliseconds.
    pub fn lease_ms(mut self, lease_ms: u64) -> Options {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets the longest lease that workers grant, in milliseconds.
    pub fn max_lease_ms(mut self, max_lease_ms: u64) -> Options {
        self.max_lease_ms = max_lease_ms;
        self
    }

    /// Sets how long a holder that can't reach the store continues, in
    /// milliseconds.
    pub fn detached_ms(mut self, detached_ms: u64) -> Options {
        self.detached_ms = detached_ms;
        self
    }

    /// Sets how long after a takeover no orders are sent to the VM service, in
    /// milliseconds.
    pub fn duty_gap_ms(mut self, duty_gap_ms: u64) -> Options {
        self.duty_gap_ms = duty_gap_ms;
        self
    }

    /// Sets how long a worker may take for a stop, in milliseconds.
    pub fn stop_timeout_ms(mut self, stop_timeout_ms: u64) -> Options {
        self.stop_timeout_ms = stop_timeout_ms;
        self.stop_settle_ms = stop_timeout_ms + FIRST_POLL_MS;
        self
    }

    /// Sets how old the operator's requests may be for tasks to start, in
    /// milliseconds; `None` for any age.
    pub fn max_operator_view_age_ms(
        mut self,
        max_operator_view_age_ms: Option<u64>,
    ) -> Options {
        self.max_operator_view_age_ms = max_operator_view_age_ms;
        self
    }

    /// Sets how stale the known cancellations may be for tasks to start;
    /// `None` for any age.
    pub fn cancellation_limits(
        mut self,
        limits: Option<StalenessLimits>,
    ) -> Options {
        self.cancellation_limits = limits;
        self
    }

    /// Sets how many data halls may be lost at once and must be tolerated; 0
    /// for none.
    pub fn tolerated_halls(mut self, tolerated_halls: usize) -> Options {
        self.tolerated_halls = tolerated_halls;
        self
    }

    /// Sets how many times as long a task takes away from its data. With `None`
    /// a place near the data is preferred as if it took twice as long, and
    /// runs are expected to take as long everywhere.
    pub fn remote_factor(mut self, remote_factor: Option<f64>) -> Options {
        self.remote_factor = remote_factor;
        self
    }

    /// Sets the limits of the node's link.
    pub fn link(mut self, link: LinkLimits) -> Options {
        self.link = link;
        self
    }

    /// Sets the policy of the scheduler.
    pub fn policy(mut self, policy: Policy) -> Options {
        self.policy = policy;
        self
    }

    /// Sets how long the keys of a finished job are kept, in milliseconds.
    pub fn finished_retention_ms(
        mut self,
        finished_retention_ms: u64,
    ) -> Options {
        self.finished_retention_ms = finished_retention_ms;
        self
    }

    /// Returns how many times as long a task takes away from its data, for the
    /// choice of its place.
    pub(super) fn preferred_remote_factor(&self) -> f64 {
        self.remote_factor.unwrap_or(REMOTE_FACTOR)
    }

    /// Returns the lease that orders grant to a worker's runs, in
    /// milliseconds.
    ///
    /// It is never longer than `lease_ms`, which bounds what a former holder
    /// with other settings may have granted.
    pub(crate) fn granted_lease_ms(&self) -> u64 {
        match self.tolerated_halls {
            0 => self.lease_ms,
            _ => self.lease_ms.min(self.policy.watching.hall_lease_ms),
        }
    }

    /// Returns how long after a takeover a worker that was never reached may
    /// still run what a former holder started, in milliseconds.
    pub(super) fn inherited_lease_ms(&self) -> u64 {
        // The former holder may continue for `detached_ms` and then grant a
        // last lease, which a slow worker clock extends by up to 2 %. Its
        // settings may differ, so the longest lease counts that any grants.
        let lease_ms = self.lease_ms.min(self.max_lease_ms);
        self.detached_ms + lease_ms + lease_ms / 40
    }
}
