/*!
The times and limits by which a scheduler keeps its promises, beside the
policy that could be otherwise.
*/

use crate::{link::LinkLimits, schedule::Policy};

/// Within what time after a takeover the workers are asked for the first
/// time, in milliseconds.
const ASKED_WITHIN_MS: u64 = 1_000;

/// What the node's link carries where nobody says, in megabits a second: a
/// usual one.
const LINK_MBPS: f64 = 1_000.0;

/// Times and limits of a scheduler.
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
    pub(crate) link: LinkLimits,
    pub(crate) policy: Policy,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            // Outlives two takeovers in a row, of some 3 s each.
            lease_ms: 8_000,
            // The longest that a worker grants, by its protocol.
            max_lease_ms: 10_000,
            // As long as a lease: what runs can be looked after that long.
            detached_ms: 8_000,
            // A worker that comes back is found within this.
            hold_retry_ms: 200,
            // Longer than changes are gathered and usually stored, so that
            // most ends are acknowledged with the next question.
            unstored_hold_ms: 50,
            // Several times a worker's usual answer.
            stop_retry_ms: 400,
            // A worker that fails what it starts is tried about as often as
            // a short task takes.
            suspension_ms: 1_000,
            // 8 s between tries at most: a worker that recovers is used
            // again soon.
            max_suspension_doublings: 3,
            // How long callers may ask for a finished job.
            finished_retention_ms: 120_000,
            // Workers are back in the directory some 2 s after the store
            // is, and the holder was there no later.
            directory_settle_ms: 3_000,
            // As long as the operator keeps two holders apart.
            duty_gap_ms: 3_000,
            // The longest that a worker takes for a stop, as its protocol
            // says where nothing else is set.
            stop_timeout_ms: 900,
            // A stop takes up to 0.9 s, and workers are asked for the first
            // time within a second of a takeover.
            stop_settle_ms: 2_000,
            // A few readings of the list, and less than a VM takes to move.
            vm_list_age_ms: 2_000,
            link: LinkLimits::of_link(LINK_MBPS),
            policy: Policy::default(),
        }
    }
}

impl Options {
    /// Sets the lease that orders give to a worker's runs, in milliseconds.
    pub fn lease_ms(mut self, lease_ms: u64) -> Options {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets the longest lease that workers grant, in milliseconds.
    pub fn max_lease_ms(mut self, max_lease_ms: u64) -> Options {
        self.max_lease_ms = max_lease_ms;
        self
    }

    /// Sets how long a holder goes on that can't reach the store, in
    /// milliseconds.
    pub fn detached_ms(mut self, detached_ms: u64) -> Options {
        self.detached_ms = detached_ms;
        self
    }

    /// Sets how long after a takeover nothing is ordered of the VM service,
    /// in milliseconds.
    pub fn duty_gap_ms(mut self, duty_gap_ms: u64) -> Options {
        self.duty_gap_ms = duty_gap_ms;
        self
    }

    /// Sets how long a stop may take at a worker, in milliseconds.
    pub fn stop_timeout_ms(mut self, stop_timeout_ms: u64) -> Options {
        self.stop_timeout_ms = stop_timeout_ms;
        self.stop_settle_ms = stop_timeout_ms + ASKED_WITHIN_MS;
        self
    }

    /// Sets what may be sent over the node's link.
    pub fn link(mut self, link: LinkLimits) -> Options {
        self.link = link;
        self
    }

    /// Sets what the scheduler decides by.
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

    /// Returns how long after a takeover a worker that was never reached
    /// may still run what a former holder started, in milliseconds.
    pub(super) fn inherited_lease_ms(&self) -> u64 {
        // The former holder may go on for so long and then order a last
        // lease, which a slow clock makes 2 % longer.
        let lease_ms = self.lease_ms.min(self.max_lease_ms);
        self.detached_ms + lease_ms + lease_ms / 40
    }
}
