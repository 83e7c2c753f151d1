use dewspar::admit;

/// When to come back to a service without a runner, in milliseconds.
const NO_RUNNER_RETRY_MS: u64 = 1_000;

/// When to come back after a passed deadline, in milliseconds.
const EXPIRED_RETRY_MS: u64 = 100;

/// Why a request got no slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Admission refused it.
    Admission(admit::Refusal),
    /// Its deadline passed while it waited.
    Expired,
    /// No runner of the service is up.
    NoRunner,
    /// The retry budget is spent.
    RetryBudget,
    /// The node stops.
    Stopping,
}

impl Refusal {
    /// Returns a short name of the reason, for counters and problems.
    pub fn reason_name(&self) -> &'static str {
        match self {
            Refusal::Admission(admit::Refusal::QueueFull { .. }) => {
                "queue-full"
            }
            Refusal::Admission(_) => "too-late",
            Refusal::Expired => "deadline-passed",
            Refusal::NoRunner => "no-runner",
            Refusal::RetryBudget => "retry-budget",
            Refusal::Stopping => "stopping",
        }
    }

    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Refusal::Admission(refusal) => refusal.retry_after_ms(),
            Refusal::Expired | Refusal::RetryBudget => EXPIRED_RETRY_MS,
            Refusal::NoRunner | Refusal::Stopping => NO_RUNNER_RETRY_MS,
        }
    }
}
