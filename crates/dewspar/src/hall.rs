/*!
What a node knows about a data hall.

A whole data hall may lose its power, be cut off from all others, or be cut off
from some of them. These cases differ in what may still run in the hall and in
how its workers can be reached, so each is a [`HallState`] of its own.

# Example

```
use dewspar::hall::HallState;

assert!(HallState::Indirect.takes_tasks());
assert!(!HallState::CutOff.takes_tasks());
assert_eq!(HallState::CutOff.name(), "cut off");
```
*/

pub use self::monitor::{HallChange, HallMonitor, HallPath};

mod monitor;

/// How a data hall and its workers are reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HallState {
    /// Its workers answer directly.
    #[default]
    Reachable,
    /// Its workers answer only through nodes of another hall.
    Indirect,
    /// Its workers are silent, and may continue to run under their leases.
    CutOff,
    /// Its VMs are down, so nothing runs there.
    Lost,
    /// Its first new processes answer.
    Returning,
}

impl HallState {
    /// Returns the name of the state, for logs.
    pub fn name(self) -> &'static str {
        match self {
            HallState::Reachable => "reachable",
            HallState::Indirect => "indirect",
            HallState::CutOff => "cut off",
            HallState::Lost => "lost",
            HallState::Returning => "returning",
        }
    }

    /// Returns whether tasks may be placed on those of its workers that
    /// answer.
    pub fn takes_tasks(self) -> bool {
        match self {
            HallState::Reachable
            | HallState::Indirect
            | HallState::Returning => true,
            HallState::CutOff | HallState::Lost => false,
        }
    }

    /// Returns the number of the state, for a gauge: 0 to 4, in the order in
    /// which the states are defined.
    pub fn number(self) -> u8 {
        match self {
            HallState::Reachable => 0,
            HallState::Indirect => 1,
            HallState::CutOff => 2,
            HallState::Lost => 3,
            HallState::Returning => 4,
        }
    }
}

/// A data hall with its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HallStatus {
    /// The hall.
    pub hall: String,
    /// Its state.
    pub state: HallState,
    /// For how long it has been in that state, in milliseconds.
    pub age_ms: u64,
    /// What the state was concluded from.
    pub evidence: &'static str,
    /// How old the newest part of the evidence is, in milliseconds.
    pub evidence_age_ms: u64,
}
