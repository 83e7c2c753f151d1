/*!
The known workers, and when something is due for each of them.

A scheduling pass needs the workers to which a hold is due, on which a run has
to be stopped, or which have been silent for too long. That is the case for
very few of them: at a thousand workers and hundreds of passes a second, about
ten. The time at which something becomes due is therefore cached for each
worker, and a pass examines only the workers whose time has come.

The cached time is computed again once a worker may have changed. All mutable
access goes through [`Workers`], which tracks it, so that no change can be
missed.

Each added worker process gets its own session number. An answer belongs to the
session in which its order was sent; an answer from an earlier session may come
from another process.

Within the scheduler a worker is referred to by its number, an index into a
list. Looking it up by its identifier, a string, costs a hash table access, so
lists sorted by identifier contain numbers.
*/

use {
    crate::schedule::{
        Options, WorkerId, WorkerListing, evacuation::Evacuation,
        worker::Worker,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// The time over which the workers of a data hall that returns are asked, in
/// milliseconds: about as long as a hold waits, so that they are asked no more
/// often than usual.
const RETURN_SPREAD_MS: u64 = 250;

/// The number of a worker. Numbers are reused after a worker is removed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkerNumber(usize);

/// The known workers.
#[derive(Debug, Default)]
pub(super) struct Workers {
    /// By number; `None` for an unused number.
    workers: Vec<Option<Worker>>,
    /// The cached state of each worker, by number.
    due_entries: Vec<DueEntry>,
    numbers: HashMap<WorkerId, WorkerNumber>,
    /// All numbers in use, ordered by worker identifier.
    ordered: Vec<WorkerNumber>,
    /// The numbers of each pool, ordered by worker identifier.
    pools: BTreeMap<String, Vec<WorkerNumber>>,
    /// The workers that may have changed since their entries were computed.
    changed: Vec<WorkerNumber>,
    /// The workers that may have changed since their runs were counted, or
    /// that were removed.
    uncounted: Vec<WorkerNumber>,
    free_numbers: Vec<WorkerNumber>,
    /// The number of workers added so far.
    sessions: u64,
    /// The data halls that are being emptied.
    evacuation: Evacuation,
    /// The data halls that are down.
    down_halls: BTreeSet<String>,
    /// The data halls that are cut off or lost.
    unreachable_halls: BTreeSet<String>,
    /// The workers whose leases aren't extended.
    withheld_leases: BTreeSet<WorkerId>,
}

/// The cached state of a worker.
#[derive(Clone, Copy, Debug)]
struct DueEntry {
    /// From when something about it is due; `u64::MAX` for never.
    due_from_ms: u64,
    /// Whether the worker has reported an end that isn't stored yet.
    has_unstored_ends: bool,
    /// Whether the worker may have changed since this was computed.
    changed: bool,
    /// Whether it is among the workers whose runs are to be counted.
    uncounted: bool,
}

impl DueEntry {
    const NONE: DueEntry = DueEntry {
        due_from_ms: u64::MAX,
        has_unstored_ends: false,
        changed: false,
        uncounted: false,
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

    /// Returns a worker by its number for modification.
    pub(super) fn at_mut(
        &mut self,
        number: WorkerNumber,
    ) -> Option<&mut Worker> {
        self.at(number)?;
        self.mark_changed(number);
        self.workers.get_mut(number.0)?.as_mut()
    }

    /// Returns all workers, ordered by identifier.
    pub(super) fn values(&self) -> impl Iterator<Item = &Worker> {
        self.all_at(&self.ordered).map(|(_, worker)| worker)
    }

    /// Returns the workers of a pool, ordered by identifier.
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
        for index in 0..self.ordered.len() {
            self.mark_changed(self.ordered[index]);
        }
        self.workers.iter_mut().flatten()
    }

    fn mark_changed(&mut self, number: WorkerNumber) {
        let entry = &mut self.due_entries[number.0];
        if !entry.changed {
            entry.changed = true;
            self.changed.push(number);
        }
        if !entry.uncounted {
            entry.uncounted = true;
            self.uncounted.push(number);
        }
    }

    /// Takes the workers that may have changed since the last call. Some of
    /// them may no longer exist.
    pub(super) fn take_uncounted(&mut self) -> Vec<WorkerNumber> {
        for number in &self.uncounted {
            self.due_entries[number.0].uncounted = false;
        }
        std::mem::take(&mut self.uncounted)
    }

    /// Adds a worker that isn't known yet.
    pub(super) fn insert(&mut self, id: WorkerId, mut worker: Worker) {
        debug_assert!(!self.contains_key(&id), "{id} is known");
        self.sessions += 1;
        worker.session = self.sessions;
        worker.in_evacuated_hall =
            self.evacuation.includes(&worker.listing.hall);
        worker.in_down_hall = self.down_halls.contains(&worker.listing.hall);
        worker.in_unreachable_hall =
            self.unreachable_halls.contains(&worker.listing.hall);
        worker.is_lease_withheld = self.withheld_leases.contains(&id);
        let number = self.free_numbers.pop().unwrap_or_else(|| {
            self.workers.push(None);
            self.due_entries.push(DueEntry::NONE);
            WorkerNumber(self.workers.len() - 1)
        });
        let pool = worker.listing.pool.clone();
        self.workers[number.0] = Some(worker);
        self.due_entries[number.0] = DueEntry::NONE;
        self.mark_changed(number);
        self.numbers.insert(id, number);
        self.add_to_pool(pool, number);
        insert_sorted(&mut self.ordered, number, &self.workers);
    }

    pub(super) fn remove(&mut self, id: &WorkerId) -> Option<Worker> {
        let number = self.numbers.remove(id)?;
        let worker = self.workers[number.0].take()?;
        self.due_entries[number.0] = DueEntry::NONE;
        self.changed.retain(|other| *other != number);
        self.uncounted.push(number);
        self.ordered.retain(|other| *other != number);
        self.remove_from_pool(&worker.listing.pool, number);
        self.free_numbers.push(number);
        Some(worker)
    }

    /// Updates the directory entry of a worker. Returns the worker if it is
    /// known.
    pub(super) fn update_listing(
        &mut self,
        listing: WorkerListing,
    ) -> Option<&mut Worker> {
        let number = *self.numbers.get(&listing.id)?;
        let in_evacuated_hall = self.evacuation.includes(&listing.hall);
        let in_down_hall = self.down_halls.contains(&listing.hall);
        let in_unreachable_hall =
            self.unreachable_halls.contains(&listing.hall);
        let worker = self.at_mut(number)?;
        worker.in_evacuated_hall = in_evacuated_hall;
        worker.in_down_hall = in_down_hall;
        worker.in_unreachable_hall = in_unreachable_hall;
        let before = std::mem::replace(&mut worker.listing, listing);
        if before.pool != worker.listing.pool {
            let pool = worker.listing.pool.clone();
            self.remove_from_pool(&before.pool, number);
            self.add_to_pool(pool, number);
        }
        self.at_mut(number)
    }

    /// Sets the workers whose leases aren't extended.
    pub(super) fn set_withheld_leases(&mut self, ids: BTreeSet<WorkerId>) {
        let before = std::mem::replace(&mut self.withheld_leases, ids);
        let changed: Vec<WorkerId> = before
            .symmetric_difference(&self.withheld_leases)
            .cloned()
            .collect();
        for id in changed {
            let is_withheld = self.withheld_leases.contains(&id);
            if let Some(worker) = self.get_mut(&id) {
                worker.is_lease_withheld = is_withheld;
            }
        }
    }

    /// Returns the data halls that are being emptied.
    pub(super) fn evacuation(&self) -> &Evacuation {
        &self.evacuation
    }

    /// Sets the data halls that are being emptied.
    pub(super) fn set_evacuation(&mut self, evacuation: Evacuation) {
        for worker in self.values_mut() {
            worker.in_evacuated_hall =
                evacuation.includes(&worker.listing.hall);
        }
        self.evacuation = evacuation;
    }

    /// Returns the data halls that are down.
    pub(super) fn down_halls(&self) -> &BTreeSet<String> {
        &self.down_halls
    }

    /// Sets the data halls that are down.
    pub(super) fn set_down_halls(&mut self, down_halls: BTreeSet<String>) {
        for worker in self.values_mut() {
            worker.in_down_hall = down_halls.contains(&worker.listing.hall);
        }
        self.down_halls = down_halls;
    }

    /// Sets whether tasks of a hall that is being emptied have no place
    /// elsewhere. Returns whether that has changed.
    pub(super) fn set_evacuation_stuck(
        &mut self,
        hall: &str,
        is_stuck: bool,
    ) -> bool {
        self.evacuation.set_stuck(hall, is_stuck)
    }

    /// Notes that a data hall is cut off or lost. Its workers are asked one
    /// after the other from now on, so that its return is soon seen.
    pub(super) fn hall_became_unreachable(&mut self, hall: &str, now_ms: u64) {
        self.unreachable_halls.insert(hall.to_owned());
        let numbers = self.numbers_in_hall(hall);
        let count = numbers.len().max(1) as u64;
        for (index, number) in (0u64..).zip(numbers) {
            if let Some(worker) = self.at_mut(number) {
                worker.hall_became_unreachable(now_ms, index, count);
            }
        }
    }

    /// Notes that a data hall is neither cut off nor lost any more. Its workers
    /// are asked one after the other within [`RETURN_SPREAD_MS`].
    pub(super) fn hall_became_reachable(&mut self, hall: &str, now_ms: u64) {
        self.unreachable_halls.remove(hall);
        let numbers = self.numbers_in_hall(hall);
        let count = numbers.len().max(1) as u64;
        for (index, number) in (0u64..).zip(numbers) {
            if let Some(worker) = self.at_mut(number) {
                let delay_ms = RETURN_SPREAD_MS * index / count;
                worker.hall_became_reachable(now_ms + delay_ms);
            }
        }
    }

    /// Returns the workers of a data hall, ordered by identifier.
    pub(super) fn numbers_in_hall(&self, hall: &str) -> Vec<WorkerNumber> {
        let all = self.all_at(&self.ordered);
        let here = all.filter(|(_, worker)| worker.listing.hall == hall);
        here.map(|(number, _)| number).collect()
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

    /// Returns the workers for which something is due, ordered by identifier.
    pub(super) fn due(
        &mut self,
        now_ms: u64,
        options: &Options,
    ) -> Vec<WorkerNumber> {
        self.update(options);
        self.select(|entry| entry.due_from_ms <= now_ms)
    }

    /// Returns the workers with ends that aren't stored yet, ordered by
    /// identifier.
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

    /// Recomputes the entries of all workers that may have changed.
    fn update(&mut self, options: &Options) {
        while let Some(number) = self.changed.pop() {
            let Some(worker) = self.at(number) else { continue };
            self.due_entries[number.0] = DueEntry {
                due_from_ms: worker.due_from_ms(options).unwrap_or(u64::MAX),
                has_unstored_ends: worker.has_ends_to_store(),
                changed: false,
                uncounted: self.due_entries[number.0].uncounted,
            };
        }
    }

    /// Returns whether `due` contains exactly the workers for which something
    /// is due. Only for builds with debug assertions, since it costs as much
    /// as the cache saves.
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

/// Inserts a number into a list ordered by worker identifier.
fn insert_sorted(
    numbers: &mut Vec<WorkerNumber>,
    number: WorkerNumber,
    workers: &[Option<Worker>],
) {
    let id = |number: &WorkerNumber| {
        workers.get(number.0)?.as_ref().map(Worker::id)
    };
    let index = numbers.partition_point(|other| id(other) < id(&number));
    numbers.insert(index, number);
}
