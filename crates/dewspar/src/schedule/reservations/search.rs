/*!
Placement of several members of a gang at once.

Members are usually interchangeable, so the workers are searched once. Each
member is assigned to the worker with most processor time left after the
previous assignments, since short runs end first there. Only a member that has
failed on some worker or may crash workers is searched for individually.
*/

use {
    super::MAX_SEARCHES_PER_REVIEW,
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Resources, Scheduler, WorkerId, failure_domains::StepSpread,
            job_state::demand, placement::RoomHorizon, worker::Worker,
        },
    },
    std::collections::{BTreeMap, BinaryHeap, HashMap},
};

/// A worker for each member of a gang, or the number of members without a
/// worker.
pub(super) type MemberWorkers = Result<Vec<WorkerId>, u64>;

/// A worker that has room for some members.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct WorkerOption<'a> {
    /// Whether its VM has no pending maintenance.
    stays: bool,
    /// Whether it is in the rack that is preferred for the gang.
    in_rack: bool,
    /// Whether its data hall has fewer tasks of the step than its share.
    hall_below_share: bool,
    /// The free processor time minus that of the members assigned so far, in
    /// thousandths of a core. Negative while short runs use the capacity.
    free_cpu_millis: i64,
    id: &'a WorkerId,
    /// How many more members it has room for.
    members_left: u64,
}

impl WorkerOption<'_> {
    /// Returns what is left after one more member has been assigned, if
    /// anything.
    fn after_one_more(self, demand: &Resources) -> Option<Self> {
        // OK to convert: no VM has so many cores.
        let taken = demand.cpu_millis as i64;
        let free_cpu_millis = self.free_cpu_millis - taken;
        let members_left = self.members_left - 1;
        let less = WorkerOption { members_left, free_cpu_millis, ..self };
        (members_left > 0).then_some(less)
    }
}

/// Tentative assignments of the members of one gang to workers.
#[derive(Default)]
struct Assignments<'a> {
    /// The rack that is preferred for the gang.
    rack: Option<String>,
    count_by_worker: HashMap<&'a WorkerId, u64>,
    /// Where the step's tasks are; `None` if it isn't to be spread.
    spread: Option<StepSpread>,
}

impl<'a> Assignments<'a> {
    /// Returns what a worker offers a member besides the members assigned so
    /// far.
    fn option(
        &self,
        scheduler: &Scheduler,
        (spec, member): (&StepSpec, &TaskId),
        worker: &'a Worker,
        (room, now): (RoomHorizon, Now),
    ) -> Option<WorkerOption<'a>> {
        let demand = demand(spec);
        let assigned =
            self.count_by_worker.get(worker.id()).copied().unwrap_or(0);
        let members_left = scheduler
            .members_fitting(worker, (spec, member), room, now)
            .saturating_sub(assigned);
        let taken = demand.times(assigned).cpu_millis;
        // OK to convert: no VM has so many cores.
        let free_cpu_millis = worker.free().cpu_millis as i64 - taken as i64;
        let stays = !scheduler.awaits_maintenance(&worker.listing.vm);
        let id = worker.id();
        let rack = worker.listing.rack.as_str();
        let in_rack = self.rack.as_deref() == Some(rack);
        let hall_below_share = self.has_share(worker);
        let option = WorkerOption {
            stays,
            in_rack,
            hall_below_share,
            free_cpu_millis,
            id,
            members_left,
        };
        (members_left > 0).then_some(option)
    }

    /// Returns whether the data hall of a worker has fewer tasks of the step
    /// than its share.
    fn has_share(&self, worker: &Worker) -> bool {
        let hall = &worker.listing.hall;
        self.spread.as_ref().is_none_or(|spread| spread.has_share(hall))
    }

    fn assign(&mut self, scheduler: &'a Scheduler, worker: &'a WorkerId) {
        *self.count_by_worker.entry(worker).or_default() += 1;
        if let Some(spread) = &mut self.spread
            && let Some(worker) = scheduler.workers.get(worker)
        {
            spread.add(worker);
        }
    }
}

impl Scheduler {
    /// Returns the number of members that need an individual search.
    pub(super) fn individual_searches(&self, members: &[TaskId]) -> usize {
        let own =
            members.iter().filter(|member| self.needs_own_placement(member));
        own.count()
    }

    /// Returns a worker for each of some members of a gang that have no
    /// reservation.
    ///
    /// Searches the workers only once for all interchangeable members.
    pub(super) fn place_members(
        &self,
        spec: &StepSpec,
        members: &[TaskId],
        room: RoomHorizon,
        now: Now,
    ) -> MemberWorkers {
        let (own, uniform): (Vec<&TaskId>, Vec<&TaskId>) = members
            .iter()
            .partition(|member| self.needs_own_placement(member));
        if own.len() > MAX_SEARCHES_PER_REVIEW {
            return Err(members.len() as u64);
        }
        let rack = self.rack_for_gang(spec, members, room, now);
        let spread = members.first();
        let spread = spread.and_then(|first| self.step_spread(spec, first));
        let mut assigned =
            Assignments { rack, spread, ..Assignments::default() };
        let mut placements =
            self.place_individually(spec, &own, &mut assigned, room, now);
        placements
            .extend(self.place_uniform(spec, &uniform, assigned, room, now));
        let found = members.iter().filter_map(|m| placements.get(m).copied());
        let found: Vec<WorkerId> = found.cloned().collect();
        let lacking = (members.len() - found.len()) as u64;
        if lacking > 0 { Err(lacking) } else { Ok(found) }
    }

    /// Assigns members to workers, with a separate search for each member.
    fn place_individually<'a, 'm>(
        &'a self,
        spec: &StepSpec,
        members: &[&'m TaskId],
        assigned: &mut Assignments<'a>,
        room: RoomHorizon,
        now: Now,
    ) -> BTreeMap<&'m TaskId, &'a WorkerId> {
        let mut placements = BTreeMap::new();
        for member in members {
            let workers = self.suitable_with_numbers(spec, member, room, now);
            let options = workers.filter_map(|(_, worker)| {
                assigned.option(self, (spec, member), worker, (room, now))
            });
            if let Some(best) = options.max() {
                assigned.assign(self, best.id);
                placements.insert(*member, best.id);
            }
        }
        placements
    }

    /// Assigns members to workers that suit the first of them.
    fn place_uniform<'a, 'm>(
        &'a self,
        spec: &StepSpec,
        members: &[&'m TaskId],
        mut assigned: Assignments<'a>,
        room: RoomHorizon,
        now: Now,
    ) -> BTreeMap<&'m TaskId, &'a WorkerId> {
        let mut placements = BTreeMap::new();
        let Some(any) = members.first() else { return placements };
        let workers = self.suitable_with_numbers(spec, any, room, now);
        let options = workers.filter_map(|(_, worker)| {
            assigned.option(self, (spec, any), worker, (room, now))
        });
        let mut options: BinaryHeap<WorkerOption> = options.collect();
        for member in members {
            let Some(best) = self.pop_best(&mut options, &assigned) else {
                break;
            };
            placements.insert(*member, best.id);
            assigned.assign(self, best.id);
            options.extend(best.after_one_more(&demand(spec)));
        }
        placements
    }

    /// Takes the best option. Halls only ever reach their share while members
    /// are assigned, so an option whose hall has is put back at its new rank.
    fn pop_best<'a>(
        &'a self,
        options: &mut BinaryHeap<WorkerOption<'a>>,
        assigned: &Assignments<'a>,
    ) -> Option<WorkerOption<'a>> {
        loop {
            let best = options.pop()?;
            let worker = self.workers.get(best.id);
            let below = worker.is_some_and(|w| assigned.has_share(w));
            if below || !best.hall_below_share {
                return Some(best);
            }
            options.push(WorkerOption { hall_below_share: false, ..best });
        }
    }
}
