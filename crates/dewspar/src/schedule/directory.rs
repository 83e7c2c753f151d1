/*!
Which lives of workers there are.

Three sources tell: the directory, in which workers enter themselves, the VM
service, and the workers themselves, whose lease is over for certain after a
time of silence.
*/

use crate::schedule::{
    Decision, Now, Room, Scheduler, WorkerId, WorkerListing, worker::Worker,
};

impl Scheduler {
    /// Takes over the directory of workers.
    pub fn list_workers(&mut self, now: Now, listings: Vec<WorkerListing>) {
        if self.taken_over_ms == 0 {
            self.taken_over_ms = now.steady_ms;
        }
        let settled = self.taken_over_ms + self.options.directory_settle_ms;
        // Without the VM service, a directory that had time to fill must do.
        self.lives_known |= now.steady_ms >= settled;
        for worker in self.workers.values_mut() {
            worker.listed = false;
        }
        let mut replaced = Vec::new();
        for listing in listings {
            if self.ended_lives.contains(&listing.id) {
                continue;
            }
            let older = self.workers.values().filter(|worker| {
                worker.listing.vm == listing.vm
                    && !listing.vm.is_empty()
                    && *worker.id() != listing.id
                    && !worker.listed
            });
            replaced.extend(older.map(|worker| worker.id().clone()));
            match self.workers.get_mut(&listing.id) {
                Some(worker) => {
                    worker.listed = true;
                    worker.listing = listing;
                }
                None => {
                    let id = listing.id.clone();
                    let worker = self.new_worker(listing, now);
                    self.workers.insert(id, worker);
                }
            }
        }
        self.note_capacities();
        for id in replaced {
            let listed = self.workers.get(&id).is_some_and(|w| w.listed);
            if !listed {
                self.worker_gone(&id, "its VM runs a new worker", now);
            }
        }
    }

    /// Takes in which lives of workers there are, each with its pool, as
    /// the VM service says after a takeover.
    ///
    /// The directory may miss one that lives: entries lapse while the store
    /// is away. Until it is listed again, it may run anything that a former
    /// holder started.
    pub fn expect_workers(
        &mut self,
        now: Now,
        lives: impl IntoIterator<Item = (WorkerId, String)>,
    ) {
        if self.lives_known {
            return;
        }
        self.lives_known = true;
        for (id, pool) in lives {
            let known = self.workers.contains_key(&id);
            if known || self.ended_lives.contains(&id) {
                continue;
            }
            let listing = WorkerListing::unlisted(id.clone(), pool);
            let worker = self.new_worker(listing, now);
            self.workers.insert(id, worker);
        }
    }

    /// Notes what workers and VMs have room for.
    pub(super) fn note_capacities(&mut self) {
        let workers = self.workers.values().map(|w| w.listing.capacity);
        let vms = self.vms.values().map(|vm| vm.capacity);
        let mut capacities: Vec<Room> = Vec::new();
        for room in workers.chain(vms) {
            if !capacities.contains(&room) {
                capacities.push(room);
            }
        }
        self.capacities = capacities;
    }

    /// Returns whether the VM service should be asked which workers live.
    pub fn wants_lives(&self) -> bool {
        !self.lives_known
    }

    fn new_worker(&self, listing: WorkerListing, now: Now) -> Worker {
        let revision = self.lease_revision;
        Worker::new(listing, revision, now.steady_ms, &self.options)
    }

    /// Notes that a life of a worker has ended, and all that ran there.
    pub fn worker_gone(
        &mut self,
        id: &WorkerId,
        reason: &'static str,
        now: Now,
    ) {
        let Some(mut worker) = self.workers.remove(id) else { return };
        self.ended_lives.insert(id.clone());
        let runs = std::mem::take(&mut worker.runs);
        for (task, run) in runs {
            self.note(Decision::Lost {
                task,
                run: run.run,
                worker: id.clone(),
                reason,
            });
            self.free_task(&task, id, now);
        }
        self.note(Decision::WorkerGone { worker: id.clone(), reason });
    }

    /// Drops workers whose lease is over for certain, and those that left
    /// the directory with nothing on them.
    pub(super) fn drop_lapsed(&mut self, now: Now) {
        let mut gone = Vec::new();
        for worker in self.workers.values() {
            let silent = worker.silent_since_ms.is_some();
            let lapsed = silent && now.steady_ms > worker.lease_over_ms;
            let idle = worker.runs.is_empty();
            if lapsed && !idle {
                gone.push((worker.id().clone(), "its lease is over"));
            } else if lapsed && !worker.listed {
                gone.push((worker.id().clone(), "it has left"));
            }
        }
        for (id, reason) in gone {
            self.worker_gone(&id, reason, now);
        }
    }
}
