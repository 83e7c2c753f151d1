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

Each process of a worker that is added has a session of its own. An answer belongs
to the session in which its question was asked; one of a former session may be
that of another process.

Within the scheduler a worker goes by its number, its place in a list. To find
one by its identifier, a text, takes a look into a table of hashes; the lists
that are gone through by the order of identifiers hold numbers.
*/

use {
    crate::schedule::{Options, WorkerId, WorkerListing, worker::Worker},
    std::collections::{BTreeMap, HashMap},
};

/// A worker's number, as long as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct WorkerNumber(usize);

/// The workers that are known.
#[derive(Debug, Default)]
pub(super) struct Workers {
    /// By number; `None` for a number that isn't in use.
    workers: Vec<Option<Worker>>,
    /// What was worked out of each, by number.
    due_entries: Vec<DueEntry>,
    numbers: HashMap<WorkerId, WorkerNumber>,
    /// All that are in use, in the order of the identifiers.
    ordered: Vec<WorkerNumber>,
    /// The same of each pool.
    pools: BTreeMap<String, Vec<WorkerNumber>>,
    /// Those that may have changed since the due_entries was worked out.
    changed: Vec<WorkerNumber>,
    free_numbers: Vec<WorkerNumber>,
    /// How many workers were added so far.
    sessions: u64,
}

/// What was worked out of a worker.
#[derive(Clone, Copy, Debug)]
struct DueEntry {
    /// From when it may want something; `u64::MAX` for never.
    due_from_ms: u64,
    /// Whether some end that it listed isn't stored yet.
    has_unstored_ends: bool,
    /// Whether it may have changed since.
    changed: bool,
}

impl DueEntry {
    const NONE: DueEntry = DueEntry {
        due_from_ms: u64::MAX,
        has_unstored_ends: false,
        changed: false,
    };
}

impl Workers {
    pub(super) fn get(&self, id: &WorkerId) -> Option<&Worker> {
        self.at(*self.numbers.get(id)?)
    }

    pub(super) fn get_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        self.at_mut(*self.numbers.get(id)?)
    }

    pub(super) fn contains_key(&self, id: &WorkerId) -> bool {
        self.numbers.contains_key(id)
    }

    pub(super) fn len(&self) -> usize {
        self.ordered.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns a worker by its number.
    pub(super) fn at(&self, number: WorkerNumber) -> Option<&Worker> {
        self.workers.get(number.0)?.as_ref()
    }

    /// Returns a worker by its number, to be changed.
    pub(super) fn at_mut(
        &mut self,
        number: WorkerNumber,
    ) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(number.0)?.as_mut()?;
        let entry = &mut self.due_entries[number.0];
        if !entry.changed {
            entry.changed = true;
            self.changed.push(number);
        }
        Some(worker)
    }

    /// Returns all workers in the order of their identifiers.
    pub(super) fn values(&self) -> impl Iterator<Item = &Worker> {
        self.all_at(&self.ordered).map(|(_, worker)| worker)
    }

    /// Returns the workers of a pool in the order of their identifiers.
    pub(super) fn in_pool(
        &self,
        pool: &str,
    ) -> impl DoubleEndedIterator<Item = (WorkerNumber, &Worker)> {
        self.all_at(self.pools.get(pool).map_or(&[], Vec::as_slice))
    }

    fn all_at(
        &self,
        numbers: &[WorkerNumber],
    ) -> impl DoubleEndedIterator<Item = (WorkerNumber, &Worker)> {
        numbers.iter().filter_map(|number| Some((*number, self.at(*number)?)))
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        for number in &self.ordered {
            let entry = &mut self.due_entries[number.0];
            if !entry.changed {
                entry.changed = true;
                self.changed.push(*number);
            }
        }
        self.workers.iter_mut().flatten()
    }

    /// Adds a worker that isn't known yet.
    pub(super) fn insert(&mut self, id: WorkerId, mut worker: Worker) {
        debug_assert!(!self.contains_key(&id), "{id} is known");
        self.sessions += 1;
        worker.session = self.sessions;
        let number = self.free_numbers.pop().unwrap_or_else(|| {
            self.workers.push(None);
            self.due_entries.push(DueEntry::NONE);
            WorkerNumber(self.workers.len() - 1)
        });
        let pool = worker.listing.pool.clone();
        self.workers[number.0] = Some(worker);
        self.due_entries[number.0] =
            DueEntry { changed: true, ..DueEntry::NONE };
        self.changed.push(number);
        self.numbers.insert(id, number);
        self.add_to_pool(pool, number);
        insert_sorted(&mut self.ordered, number, &self.workers);
    }

    pub(super) fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let number = self.numbers.remove(id)?;
        let worker = self.workers[number.0].take()?;
        self.due_entries[number.0] = DueEntry::NONE;
        self.changed.retain(|other| *other != number);
        self.ordered.retain(|other| *other != number);
        self.remove_from_pool(&worker.listing.pool, number);
        self.free_numbers.push(number);
        Some(worker)
    }

    /// Notes what a worker says of itself; returns it, if it is known.
    pub(super) fn update_listing(
        &mut self,
        listing: WorkerListing,
    ) -> Option<&mut Worker> {
        let number = *self.numbers.get(&listing.id)?;
        let worker = self.at_mut(number)?;
        let before = std::mem::replace(&mut worker.listing, listing);
        if before.pool != worker.listing.pool {
            let pool = worker.listing.pool.clone();
            self.remove_from_pool(&before.pool, number);
            self.add_to_pool(pool, number);
        }
        self.at_mut(number)
    }

    fn add_to_pool(&mut self, pool: String, number: WorkerNumber) {
        let members = self.pools.entry(pool).or_default();
        insert_sorted(members, number, &self.workers);
    }

    fn remove_from_pool(&mut self, pool: &str, number: WorkerNumber) {
        let Some(members) = self.pools.get_mut(pool) else { return };
        members.retain(|other| *other != number);
        if members.is_empty() {
            self.pools.remove(pool);
        }
    }

    /// Returns the workers that want something now, in the order of their
    /// identifiers.
    pub(super) fn due(
        &mut self,
        now_ms: u64,
        options: &Options,
    ) -> Vec<WorkerNumber> {
        self.update(options);
        self.select(|entry| entry.due_from_ms <= now_ms)
    }

    /// Returns the workers with ends that aren't stored yet, in the order of
    /// their identifiers.
    pub(super) fn with_unstored_ends(
        &mut self,
        options: &Options,
    ) -> Vec<WorkerNumber> {
        self.update(options);
        self.select(|entry| entry.has_unstored_ends)
    }

    fn select(&self, wanted: impl Fn(&DueEntry) -> bool) -> Vec<WorkerNumber> {
        let chosen = self.ordered.iter().copied();
        chosen.filter(|number| wanted(&self.due_entries[number.0])).collect()
    }

    /// Works out again what may have changed.
    fn update(&mut self, options: &Options) {
        while let Some(number) = self.changed.pop() {
            let Some(worker) = self.at(number) else { continue };
            self.due_entries[number.0] = DueEntry {
                due_from_ms: worker.due_from_ms(options).unwrap_or(u64::MAX),
                has_unstored_ends: worker.has_ends_to_store(),
                changed: false,
            };
        }
    }

    /// Returns whether exactly those workers want something now; for builds
    /// with assertions, since it takes as long as the due_entries saves.
    pub(super) fn match_full_scan(
        &self,
        due: &[WorkerNumber],
        now_ms: u64,
        options: &Options,
    ) -> bool {
        let wanting = self
            .all_at(&self.ordered)
            .filter(|(_, worker)| worker.is_due(now_ms, options));
        wanting.map(|(number, _)| number).eq(due.iter().copied())
    }
}

/// Puts a number where it belongs by its worker's identifier.
fn insert_sorted(
    numbers: &mut Vec<WorkerNumber>,
    number: WorkerNumber,
    workers: &[Option<Worker>],
) {
    let id = |number: &WorkerNumber| {
        workers.get(number.0)?.as_ref().map(Worker::id)
    };
    let place = numbers.partition_point(|other| id(other) < id(&number));
    numbers.insert(place, number);
}
