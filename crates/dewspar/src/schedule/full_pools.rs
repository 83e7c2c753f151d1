use {
    crate::schedule::{Resources, placement::PoolNumber},
    std::collections::BTreeMap,
};

/// What the pools were found to have no room for, within one plan.
///
/// Room only shrinks while tasks are placed. So once a task that may go to
/// any worker of its pool has found none, no task of that pool that asks for
/// as much or more needs to look. Without that, every plan would look at
/// every worker for every waiting task, and a holder with a backlog would
/// fall ever further behind.
#[derive(Debug, Default)]
pub(super) struct FullPools {
    refused: Vec<Vec<Resources>>,
}

impl FullPools {
    pub(super) fn record_refusal(
        &mut self,
        pool: PoolNumber,
        demand: Resources,
    ) {
        if self.refused.len() <= pool {
            self.refused.resize_with(pool + 1, Vec::new);
        }
        let refused = &mut self.refused[pool];
        refused.retain(|larger| !larger.contains(&demand));
        refused.push(demand);
    }

    pub(super) fn is_full_for(
        &self,
        pool: PoolNumber,
        demand: &Resources,
    ) -> bool {
        let refused = self.refused.get(pool);
        refused.is_some_and(|r| r.iter().any(|least| demand.contains(least)))
    }
}

/// Which pools have workers that weren't asked yet what a former holder
/// started there; each pool is looked at once within one plan.
#[derive(Debug, Default)]
pub(super) struct UnsyncedPools {
    known: BTreeMap<String, bool>,
}

impl UnsyncedPools {
    pub(super) fn contains(
        &mut self,
        pool: &str,
        check: impl FnOnce() -> bool,
    ) -> bool {
        if let Some(known) = self.known.get(pool) {
            return *known;
        }
        let unsynced = check();
        self.known.insert(pool.to_owned(), unsynced);
        unsynced
    }
}
