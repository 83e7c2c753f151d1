//! VMs that move between pools while the directory is out of date: entries
//! outlive their workers, those of live workers lapse, and the VM service
//! answers late or not at all.

use {
    crate::{hall_faults::vm_of, world::World},
    dewspar::schedule::{
        Decision, ManagedVm, OrderError, Refusal, Resources, VmStatus,
        WorkerId, WorkerListing,
    },
    rand::Rng,
    std::collections::{BTreeMap, BTreeSet},
};

const POOL: &str = "registry";
const OTHER_POOL: &str = "other";
const VMS: u32 = 8;

const DIRECTORY_READ_MS: u64 = 250;
const VM_READ_MS: u64 = 1_000;
/// The longest time from a request to its answer, in milliseconds.
const MAX_READ_MS: u64 = 400;

/// The longest time for which a VM is without a worker, in milliseconds.
const MAX_MOVE_MS: u64 = 800;
/// How long an entry may outlive its worker, in milliseconds.
const MAX_OUTLIVED_MS: u64 = 6_000;
/// The longest time after which an entry comes back, and for which it does, in
/// milliseconds.
const MAX_RETURN_MS: u64 = 1_500;
const MAX_LAPSE_MS: u64 = 4_000;

/// For how long a worker that has ended may be in use while the VM service
/// answers, in milliseconds: two reads of its list.
const ENDED_BY_LIST_MS: u64 = 2 * (VM_READ_MS + MAX_READ_MS);

/// The same if nothing tells that it has ended, in milliseconds: the time for
/// which a former holder may go on, the longest lease on a slow clock, and a
/// margin.
const ENDED_BY_LEASE_MS: u64 = 8_000 + 8_000 + 8_000 / 40 + 1_000;

/// The reasons for which a live worker may be given up: it can't be reached.
const UNREACHED: [&str; 2] = ["its lease is over", "it left the directory"];

/// A worker that has ended.
struct FormerWorker {
    listing: WorkerListing,
    ended_ms: u64,
    had_runs: bool,
    /// The periods in which its entry is in the directory, in milliseconds.
    listed: [(u64, u64); 2],
}

/// The next worker of a VM.
struct NextWorker {
    vm: u32,
    starts_ms: u64,
    pool: &'static str,
    /// The address of the former worker, if it is kept.
    address: Option<String>,
}

/// A request for a list, the content of which is that of a moment between the
/// request and its answer.
struct Read<T> {
    asked_ms: u64,
    content_ms: u64,
    answered_ms: u64,
    content: Option<T>,
}

/// The directory and the VM service, and what the current holder knows of
/// them.
#[derive(Default)]
pub struct FormerEntries {
    former: BTreeMap<WorkerId, FormerWorker>,
    /// Until when the entry of each live worker is missing.
    lapsed_until_ms: BTreeMap<WorkerId, u64>,
    /// The times at which VMs move.
    moves: Vec<(u64, u32)>,
    next: Vec<NextWorker>,
    vms_out_until_ms: u64,
    directory_read: Option<Read<Vec<WorkerListing>>>,
    directory_read_due_ms: u64,
    vm_read: Option<Read<Vec<ManagedVm>>>,
    vm_read_due_ms: u64,
    /// The workers that the current holder uses, each with the time at which
    /// it read their entry.
    known_ms: BTreeMap<WorkerId, u64>,
    /// The workers that only the holder's first list of VMs has shown, each
    /// with the time at which it was read.
    unlisted_ms: BTreeMap<WorkerId, u64>,
    /// The first of them that had ended and wasn't let go in time.
    pub kept_unlisted: Option<WorkerId>,
    /// The workers that the current holder takes for ended.
    ended: BTreeSet<WorkerId>,
    /// The number of workers that were replaced.
    pub replaced: u32,
    /// The number of reads that listed a VM's former worker and not its
    /// present one.
    pub outdated_reads: u32,
    /// The number of workers that were dropped after their end, by reason.
    pub ended_by: BTreeMap<&'static str, u32>,
    /// The first live worker that was taken for ended, with the reason.
    pub wrong_end: Option<String>,
}

impl FormerEntries {
    fn entries(&self, world: &World) -> Vec<WorkerListing> {
        let now_ms = world.now_ms;
        let is_listed = |former: &&FormerWorker| {
            let mut listed = former.listed.iter();
            listed.any(|(from, until)| (*from..*until).contains(&now_ms))
        };
        let former = self.former.values().filter(is_listed);
        let live = world.processes.values().filter(|process| {
            let until_ms = self.lapsed_until_ms.get(&process.listing.id);
            until_ms.is_none_or(|until_ms| now_ms >= *until_ms)
        });
        let live = live.map(|process| process.listing.clone());
        former.map(|former| former.listing.clone()).chain(live).collect()
    }

    fn vms(&self, world: &World) -> Vec<ManagedVm> {
        let managed = |vm: u32| {
            let name = format!("vm-{vm}");
            let mut processes = world.processes.values();
            let worker = processes.find(|p| p.listing.vm == name);
            let next = self.next.iter().find(|next| next.vm == vm);
            let pool = worker.map(|p| p.listing.pool.clone());
            ManagedVm {
                vm: name,
                pool: pool.unwrap_or_else(|| {
                    next.map_or(POOL, |next| next.pool).to_owned()
                }),
                status: match worker {
                    Some(_) => VmStatus::Up,
                    None => VmStatus::Moving,
                },
                hall: format!("hall-{}", vm % 2),
                capacity: Resources::default(),
                worker: worker.map(|process| process.listing.id.clone()),
            }
        };
        (0..VMS).map(managed).collect()
    }

    /// Notes that the holder has read a worker's entry.
    fn note_listed(&mut self, id: &WorkerId, now_ms: u64) {
        self.unlisted_ms.remove(id);
        if !self.ended.contains(id) {
            self.known_ms.entry(id.clone()).or_insert(now_ms);
        }
    }

    /// Notes that the holder's first list of VMs shows a live worker.
    fn note_shown(&mut self, id: &WorkerId, now_ms: u64) {
        if !self.ended.contains(id) && !self.known_ms.contains_key(id) {
            self.unlisted_ms.insert(id.clone(), now_ms);
        }
    }

    fn count_outdated_reads(
        &mut self,
        listings: &[WorkerListing],
        world: &World,
    ) {
        let is_listed =
            |id: &WorkerId| listings.iter().any(|listing| listing.id == *id);
        let mut present = world.processes.values().map(|p| &p.listing);
        let is_outdated = present.any(|present| {
            !is_listed(&present.id)
                && listings.iter().any(|l| l.vm == present.vm)
        });
        self.outdated_reads += u32::from(is_outdated);
    }

    /// Returns one of these workers that has ended and that the holder still
    /// uses, long after it could know.
    fn overdue<'a>(
        &self,
        known_ms: &'a BTreeMap<WorkerId, u64>,
        now_ms: u64,
    ) -> Option<&'a WorkerId> {
        let overdue = |(id, known_ms): &(&WorkerId, &u64)| {
            let Some(former) = self.former.get(*id) else { return false };
            let since_ms = former.ended_ms.max(**known_ms);
            let by_list_ms = since_ms.max(self.vms_out_until_ms);
            now_ms > by_list_ms + ENDED_BY_LIST_MS
                || former.had_runs && now_ms > since_ms + ENDED_BY_LEASE_MS
        };
        known_ms.iter().find(overdue).map(|(id, _)| id)
    }
}

/// Lets time pass for a read: takes its content, and returns it with the time
/// of the request once it is answered.
fn advance_read<T>(
    read: &mut Option<Read<T>>,
    now_ms: u64,
    content: impl FnOnce() -> Option<T>,
) -> Option<(u64, Option<T>)> {
    let pending = read.as_mut()?;
    if now_ms >= pending.content_ms && pending.content_ms > 0 {
        pending.content = content();
        pending.content_ms = 0;
    }
    let answered = read.take_if(|read| now_ms >= read.answered_ms)?;
    Some((answered.asked_ms, answered.content))
}

impl World {
    /// Returns a world in which the directory is out of date while VMs move.
    pub fn with_former_entries(mut self) -> World {
        self.former_entries = Some(FormerEntries::default());
        self.processes.clear();
        for vm in 0..VMS {
            let id = self.start_process(vm);
            let now_ms = self.now_ms;
            if let Some(process) = self.processes.get_mut(&id) {
                process.set_incarnation(now_ms);
            }
        }
        self.take_over();
        self
    }

    /// Lets a new holder read the directory and the list of VMs.
    pub fn read_anew(&mut self) {
        let now_ms = self.now_ms;
        let Some(entries) = &mut self.former_entries else { return };
        entries.known_ms.clear();
        entries.unlisted_ms.clear();
        entries.ended.clear();
        entries.directory_read = None;
        entries.vm_read = None;
        entries.directory_read_due_ms = now_ms;
        entries.vm_read_due_ms = now_ms;
    }

    /// Ends a worker. The next one on its VM follows, and its entry remains
    /// for a while.
    pub fn replace_worker(&mut self, id: &WorkerId) {
        let Some(mut entries) = self.former_entries.take() else { return };
        if let Some(mut process) = self.processes.remove(id) {
            let now_ms = self.now_ms;
            let had_runs = process.is_running(now_ms);
            let random = &mut self.random;
            let until_ms = now_ms + random.random_range(0..MAX_OUTLIVED_MS);
            let back_ms = until_ms + random.random_range(200..MAX_RETURN_MS);
            let gone_ms = match random.random_ratio(1, 3) {
                true => back_ms + random.random_range(200..MAX_RETURN_MS),
                false => back_ms,
            };
            let vm = vm_of(id);
            let serves = vm == 0 || random.random_ratio(2, 3);
            let listing = process.listing;
            entries.next.push(NextWorker {
                vm,
                starts_ms: now_ms + random.random_range(0..MAX_MOVE_MS),
                pool: if serves { POOL } else { OTHER_POOL },
                address: random
                    .random_ratio(1, 2)
                    .then(|| listing.address.clone()),
            });
            let former = FormerWorker {
                listing,
                ended_ms: now_ms,
                had_runs,
                listed: [(now_ms, until_ms), (back_ms, gone_ms)],
            };
            entries.former.insert(id.clone(), former);
            entries.replaced += 1;
        }
        self.former_entries = Some(entries);
    }

    /// Returns what becomes of an order to a worker that has ended.
    pub fn answer_of_next(&self, id: &WorkerId) -> OrderError {
        let entries = self.former_entries.as_ref();
        let former = entries.and_then(|entries| entries.former.get(id));
        let Some(former) = former else { return OrderError::NotSent };
        let mut processes = self.processes.values();
        let next = processes
            .find(|process| process.listing.address == former.listing.address);
        match next {
            Some(next) if next.is_reachable(self.now_ms) => {
                OrderError::Refused(Refusal::OtherLife)
            }
            Some(_) => OrderError::Unknown,
            None => OrderError::NotSent,
        }
    }

    /// Moves VMs, lets entries lapse and the VM service fail.
    pub fn change_vms(&mut self) {
        let Some(mut entries) = self.former_entries.take() else { return };
        let now_ms = self.now_ms;
        // Demand jumps.
        if self.chance(6) {
            for vm in 0..VMS {
                if self.random.random_ratio(2, 3) {
                    let at_ms = now_ms + self.random.random_range(0..1_000);
                    entries.moves.push((at_ms, vm));
                }
            }
        }
        if self.chance(15) {
            entries.moves.push((now_ms, self.random.random_range(0..VMS)));
        }
        if self.chance(60) {
            let vm = self.random.random_range(0..VMS);
            let until_ms =
                now_ms + self.random.random_range(300..MAX_LAPSE_MS);
            let is_cut_off = self.random.random_ratio(1, 4);
            if let Some(process) = self.process_on(vm) {
                if is_cut_off {
                    process.cut_off(until_ms);
                }
                let id = process.listing.id.clone();
                entries.lapsed_until_ms.insert(id, until_ms);
            }
        }
        if now_ms >= entries.vms_out_until_ms && self.chance(8) {
            let longest_ms = match self.random.random_ratio(1, 2) {
                true => 25_000,
                false => 5_000,
            };
            let for_ms = self.random.random_range(1_000..longest_ms);
            entries.vms_out_until_ms = now_ms + for_ms;
        }
        let due = entries.moves.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        let due: Vec<(u64, u32)> = due.collect();
        self.former_entries = Some(entries);
        for (_, vm) in due {
            let process = self.process_on(vm);
            let id = process.map(|process| process.listing.id.clone());
            if let Some(id) = id {
                self.replace_worker(&id);
            }
        }
        self.start_next_workers();
    }

    fn start_next_workers(&mut self) {
        let Some(mut entries) = self.former_entries.take() else { return };
        let now_ms = self.now_ms;
        let due = entries.next.extract_if(.., |next| next.starts_ms <= now_ms);
        for next in due {
            let id = self.start_process(next.vm);
            let entered_ms = now_ms + self.random.random_range(0..1_500);
            entries.lapsed_until_ms.insert(id.clone(), entered_ms);
            let Some(process) = self.processes.get_mut(&id) else { continue };
            process.set_incarnation(now_ms);
            process.listing.pool = next.pool.to_owned();
            if let Some(address) = next.address {
                process.listing.address = address;
            }
        }
        self.former_entries = Some(entries);
    }

    /// Reads the directory and the list of VMs as far as they are due.
    pub fn read_sources(&mut self) {
        let Some(mut entries) = self.former_entries.take() else { return };
        self.read_directory(&mut entries);
        self.read_vms(&mut entries);
        self.former_entries = Some(entries);
    }

    fn begin_read<T>(&mut self) -> Read<T> {
        let asked_ms = self.now_ms;
        let answered_ms = asked_ms + self.random.random_range(0..MAX_READ_MS);
        Read {
            asked_ms,
            content_ms: self.random.random_range(asked_ms..=answered_ms),
            answered_ms,
            content: None,
        }
    }

    fn read_directory(&mut self, entries: &mut FormerEntries) {
        let now_ms = self.now_ms;
        let is_due = now_ms >= entries.directory_read_due_ms;
        if entries.directory_read.is_none() && is_due {
            entries.directory_read = Some(self.begin_read());
            entries.directory_read_due_ms = now_ms + DIRECTORY_READ_MS;
        }
        let mut read = entries.directory_read.take();
        let answer = advance_read(&mut read, now_ms, || {
            (!self.is_store_out()).then(|| entries.entries(self))
        });
        entries.directory_read = read;
        let Some((asked_ms, Some(listings))) = answer else { return };
        entries.count_outdated_reads(&listings, self);
        for listing in &listings {
            entries.note_listed(&listing.id, now_ms);
        }
        let now = self.now();
        self.scheduler.list_workers_as_of(asked_ms, now, listings);
    }

    fn read_vms(&mut self, entries: &mut FormerEntries) {
        let now_ms = self.now_ms;
        let is_due = now_ms >= entries.vm_read_due_ms;
        if entries.vm_read.is_none() && is_due {
            entries.vm_read = Some(self.begin_read());
            entries.vm_read_due_ms = now_ms + VM_READ_MS;
        }
        let is_up = now_ms >= entries.vms_out_until_ms;
        let mut read = entries.vm_read.take();
        let answer = advance_read(&mut read, now_ms, || {
            is_up.then(|| entries.vms(self))
        });
        entries.vm_read = read;
        let Some((asked_ms, Some(vms))) = answer else { return };
        let now = self.now();
        // The first list shows live workers that the directory may lack.
        if self.scheduler.needs_live_workers() {
            for id in vms.iter().filter_map(|vm| vm.worker.as_ref()) {
                entries.note_shown(id, now_ms);
            }
        }
        self.scheduler.list_vms(now, asked_ms, &vms);
        self.look_up_unlisted(entries);
    }

    /// Looks up the entries of workers that only the list of VMs shows.
    fn look_up_unlisted(&mut self, entries: &mut FormerEntries) {
        if self.is_store_out() {
            return;
        }
        let now = self.now();
        let unlisted = self.scheduler.unlisted_workers();
        for listing in entries.entries(self) {
            if unlisted.contains(&listing.id) {
                entries.note_listed(&listing.id, now.steady_ms);
                self.scheduler.list_worker_as_of(now.steady_ms, now, listing);
            }
        }
    }

    /// Has the list of VMs read as soon as no other read is in progress.
    pub fn request_vm_list(&mut self) {
        let now_ms = self.now_ms;
        if let Some(entries) = &mut self.former_entries {
            entries.vm_read_due_ms = now_ms;
        }
    }

    /// Checks that workers that have ended are let go in time, and notes live
    /// ones that are taken for ended.
    pub fn check_ended_workers(&mut self, decisions: &[Decision]) {
        let now_ms = self.now_ms;
        let Some(entries) = &mut self.former_entries else { return };
        for decision in decisions {
            let Decision::WorkerGone { worker, reason, .. } = decision else {
                continue;
            };
            entries.known_ms.remove(worker);
            entries.unlisted_ms.remove(worker);
            if !UNREACHED.contains(reason) {
                entries.ended.insert(worker.clone());
            }
            if entries.former.contains_key(worker) {
                *entries.ended_by.entry(*reason).or_default() += 1;
            }
            let is_live = self.processes.contains_key(worker);
            if is_live && !UNREACHED.contains(reason) {
                let wrong = || format!("{worker} lives, but: {reason}");
                entries.wrong_end.get_or_insert_with(wrong);
            }
        }
        let kept = entries.overdue(&entries.unlisted_ms, now_ms).cloned();
        entries.kept_unlisted = entries.kept_unlisted.take().or(kept);
        let overdue = entries.overdue(&entries.known_ms, now_ms);
        assert!(overdue.is_none(), "{overdue:?} has ended and is still used");
    }
}
