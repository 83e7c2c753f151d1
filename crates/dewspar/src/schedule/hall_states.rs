/*!
The states of data halls, as concluded from what their workers answer and from
the list of VMs.
*/

use crate::{
    hall::{HallState, HallStatus},
    schedule::{Now, Scheduler},
};

impl Scheduler {
    /// Returns the state of a data hall.
    pub fn hall_state(&self, _hall: &str) -> HallState {
        HallState::Reachable
    }

    /// Returns all data halls with workers, with the state of each.
    pub fn hall_statuses(&self, _now: Now) -> Vec<HallStatus> {
        Vec::new()
    }
}
