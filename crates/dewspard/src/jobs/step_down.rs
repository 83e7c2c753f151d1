/*!
Why the holder of the scheduler lease stops scheduling.
*/

/// Why a node stops scheduling.
#[derive(Clone, Copy, Debug)]
pub(super) enum StepDown {
    /// The lease is lost: another node holds it, or may hold it. The text says
    /// how this was noticed.
    Lost(&'static str),
    /// A stronger node has requested the lease.
    Yielding,
    /// The node is overloaded.
    Overloaded,
    /// The fencing tokens available under this lease are used up for some
    /// worker.
    OutOfTokens,
    /// The node is shutting down.
    Stopping,
}

impl StepDown {
    /// Returns whether the node still holds the lease and releases it.
    pub(super) fn releases_lease(self) -> bool {
        match self {
            StepDown::Lost(_) => false,
            StepDown::Yielding
            | StepDown::Overloaded
            | StepDown::OutOfTokens
            | StepDown::Stopping => true,
        }
    }
}
