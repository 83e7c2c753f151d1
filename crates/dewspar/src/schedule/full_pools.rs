use {
    crate::schedule::{Resources, placement::PoolNumber},
    std::collections::BTreeMap,
};

/// The demands that the pools can't satisfy, within one scheduling pass.
///
/// Free capacity only shrinks while tasks are placed. Once an unconstrained
/// task has found no worker in a pool, no task of that pool with the same or a
/// larger demand needs to search. Without this check each pass would look at
/// every worker for every waiting task, and a lease holder with a backlog
/// would fall further and further behind.
///
/// An unconstrained task is also refused by workers that are kept for others.
/// That says nothing about the tasks for which they are kept, so these are
/// started before any refusal is recorded.
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

/// The pools with workers that haven't listed yet what a former lease holder
/// started there. Each pool is checked once per scheduling pass.
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
