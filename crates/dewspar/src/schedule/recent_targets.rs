/*!
How many VMs each pool was to have of late.

What arrives in a second is a small sample: one wide job more or less changes
what a pool seems to need by half from one look to the next. A VM that is given
away on such a dip is missed for the seconds in which another comes. So a pool
gives VMs away only as far as it has had more than it should for a while; what it
gets goes by its newest target.
*/

use std::collections::{BTreeMap, VecDeque};

/// The targets of the last looks.
#[derive(Debug, Default)]
pub(super) struct RecentTargets {
    looks: VecDeque<(u64, BTreeMap<String, u64>)>,
}

impl RecentTargets {
    /// Notes the targets of a look, and forgets those that are older than
    /// `kept_ms`.
    pub(super) fn note(
        &mut self,
        targets: &BTreeMap<String, u64>,
        now_ms: u64,
        kept_ms: u64,
    ) {
        self.looks.retain(|(at_ms, _)| now_ms < at_ms + kept_ms);
        self.looks.push_back((now_ms, targets.clone()));
    }

    /// Returns the most VMs that a pool was to have since `since_ms`.
    pub(super) fn most(&self, pool: &str, since_ms: u64) -> u64 {
        self.looks
            .iter()
            .filter(|(at_ms, _)| *at_ms >= since_ms)
            .filter_map(|(_, targets)| targets.get(pool).copied())
            .max()
            .unwrap_or(0)
    }
}
