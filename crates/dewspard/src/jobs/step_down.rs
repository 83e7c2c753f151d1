/*!
How a node's time as the holder of the scheduler lease ends.
*/

/// Why a node no longer schedules.
#[derive(Clone, Copy, Debug)]
pub(super) enum StepDown {
    /// Another node does, or may.
    Lost(&'static str),
    /// A stronger node asks for the lease.
    Yielding,
    /// The node can't keep up.
    Overloaded,
    /// No later token is left under this lease for some worker.
    OutOfTokens,
    /// The node stops.
    Stopping,
}

impl StepDown {
    /// Returns whether the node gives up a lease that it holds.
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
