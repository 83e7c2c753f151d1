/*!
The workers, and when each is next to be looked at.

A plan asks of every worker whether a question is due, whether a run on it is to
be stopped, and whether it has been silent for too long. For nearly all the
answer is no: at a thousand workers and hundreds of plans a second some ten of
them want something. So for each worker the time is kept from which it may want
something, and a plan looks only at those whose time has come.

That time is worked out again once the worker may have changed. Everything that
changes a worker goes through [`Workers`], which notes it, so that no change
can be missed.
*/

use {
    crate::schedule::{Options, WorkerId, worker::Worker},
    std::{collections::BTreeMap, ops::Deref},
};

/// The workers that are known.
#[derive(Debug, Default)]
pub(super) struct Workers {
    workers: BTreeMap<WorkerId, Worker>,
    /// What was worked out of each worker, by its number.
    agenda: Vec<Entry>,
    /// The numbers of the workers that may have changed since.
    changed: Vec<usize>,
    /// Numbers that no worker has any more.
    unused: Vec<usize>,
}

/// What was worked out of a worker.
#[derive(Debug)]
struct Entry {
    id: WorkerId,
    /// From when it may want something; `u64::MAX` for never.
    wants_from_ms: u64,
    /// Whether some end that it listed isn't stored yet.
    has_unstored_ends: bool,
    /// Whether it may have changed since.
    changed: bool,
}

// There is no way to change a worker through this that isn't noted.
impl Deref for Workers {
    type Target = BTreeMap<WorkerId, Worker>;

    fn deref(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }
}

impl Workers {
    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(id)?;
        let number = worker.number();
        let entry = &mut self.agenda[number];
        if !entry.changed {
            entry.changed = true;
            self.changed.push(number);
        }
        Some(worker)
    }

    pub(super) fn insert(&mut self, id: WorkerId, mut worker: Worker) {
        let entry = Entry {
            id: id.clone(),
            wants_from_ms: u64::MAX,
            has_unstored_ends: false,
            changed: true,
        };
        let number = match self.unused.pop() {
            Some(number) => {
                self.agenda[number] = entry;
                number
            }
            None => {
                self.agenda.push(entry);
                self.agenda.len() - 1
            }
        };
        worker.set_number(number);
        self.changed.push(number);
        self.workers.insert(id, worker);
    }

    pub(super) fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        let entry = &mut self.agenda[worker.number()];
        entry.wants_from_ms = u64::MAX;
        entry.has_unstored_ends = false;
        self.unused.push(worker.number());
        Some(worker)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        for worker in self.workers.values() {
            let number = worker.number();
            let entry = &mut self.agenda[number];
            if !entry.changed {
                entry.changed = true;
                self.changed.push(number);
            }
        }
        self.workers.values_mut()
    }

    /// Returns the workers that may want something by now, in the order of
    /// their identifiers.
    pub(super) fn due(
        &mut self,
        now_ms: u64,
        options: &Options,
    ) -> Vec<WorkerId> {
        self.update(options);
        self.choose(|entry| entry.wants_from_ms <= now_ms)
    }

    /// Returns the workers with ends that aren't stored yet, in the order of
    /// their identifiers.
    pub(super) fn with_unstored_ends(
        &mut self,
        options: &Options,
    ) -> Vec<WorkerId> {
        self.update(options);
        self.choose(|entry| entry.has_unstored_ends)
    }

    fn choose(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<WorkerId> {
        let chosen = self.agenda.iter().filter(|entry| wanted(entry));
        let mut ids: Vec<WorkerId> =
            chosen.map(|entry| entry.id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    /// Works out again what may have changed.
    fn update(&mut self, options: &Options) {
        while let Some(number) = self.changed.pop() {
            let entry = &mut self.agenda[number];
            entry.changed = false;
            // It may be gone; what was kept of it was dropped then.
            let Some(worker) = self.workers.get(&entry.id) else { continue };
            entry.wants_from_ms =
                worker.wants_from_ms(options).unwrap_or(u64::MAX);
            entry.has_unstored_ends = worker.has_ends_to_store();
        }
    }

    /// Returns whether every worker that wants something is among those that
    /// are due; for builds with assertions, since it takes as long as the
    /// agenda saves.
    pub(super) fn are_due(
        &self,
        due: &[WorkerId],
        now_ms: u64,
        options: &Options,
    ) -> bool {
        self.workers.values().all(|worker| {
            let wants = worker.wants_something(now_ms, options);
            !wants || due.binary_search(worker.id()).is_ok()
        })
    }
}
