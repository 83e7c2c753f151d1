/*!
Reservations for long-running gangs.

A gang starts completely or not at all, so capacity reserved for only some of
its members is wasted. Two gangs that each hold half of what the other needs
would deadlock. Capacity is therefore reserved for all members at once or for
none, always in addition to all other reservations. If one reservation is lost
and can't be replaced, all of them are released. All reservations can thus be
used at the same time, and no gang waits for capacity that another one holds.

Short runs have to end first, and their duration isn't known. Therefore only
one waiting gang of a pool at a time has a *turn*. A turn ends after a timeout,
and then reservations for gangs in the pool pause for the same duration, except
for gangs that haven't had a turn yet. The next turn of the gang takes twice as
long, so that short runs of any duration end within some turn. Gangs whose last
turn was longest ago come first. Apart from first turns, capacity thus is idle
for one gang a pool for at most half of the time.

If one member of a running gang has to leave its worker, all members stop. Each
member that has to leave therefore gets a reservation first, and the capacity
of the others is reserved for them once they have ended.
*/

use {
    super::{Reservation, ReservationState},
    crate::{
        job::TaskId,
        schedule::{
            Now, Resources, Scheduler, WorkerId, job_state::demand,
            placement::RoomHorizon, worker::ReservedRoom,
        },
    },
    std::collections::BTreeMap,
};

/// How long reservations are held for a gang that doesn't start in its first
/// turn, in milliseconds. Nearly all short tasks end within this time.
const TURN_MS: u64 = 6_000;

/// How often a turn may be doubled: up to 96 s, longer than any known short
/// task.
const MAX_DOUBLINGS: u32 = 4;

/// The gangs with reservations, and those whose turns have failed.
#[derive(Debug, Default)]
pub(super) struct GangTurns {
    /// Since when each gang has had reservations, by its first task.
    since_ms: BTreeMap<TaskId, u64>,
    /// The failed turns of waiting gangs, by first task.
    failed: BTreeMap<TaskId, FailedTurns>,
    /// Until when a pool makes no reservations for gangs on capacity that
    /// isn't free, except for gangs without a failed turn.
    paused_until_ms: BTreeMap<String, u64>,
}

/// The turns of a gang that ended without a start.
#[derive(Clone, Copy, Debug, Default)]
struct FailedTurns {
    count: u32,
    last_ms: u64,
}

impl GangTurns {
    /// Returns the end of the last failed turn of a step; 0 for none.
    pub(super) fn last_ms(&self, step: &TaskId) -> u64 {
        let failed = self.failed.get(&TaskId { index: 0, ..*step });
        failed.map_or(0, |failed| failed.last_ms)
    }

    /// Returns whether a gang has had a failed turn and its pool pauses.
    fn is_paused(&self, first: &TaskId, pool: &str, now_ms: u64) -> bool {
        let until_ms = self.paused_until_ms.get(pool);
        self.failed.contains_key(first)
            && until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn turn_ms(&self, first: &TaskId) -> u64 {
        let count = self.failed.get(first).map_or(0, |failed| failed.count);
        TURN_MS << count.min(MAX_DOUBLINGS)
    }
}

/// The state of the reservations of a gang.
enum GangReservationState {
    /// The reservations stand.
    Valid,
    /// These members have no reservation, or one that is lost.
    Lacking(Vec<TaskId>),
    /// The reservations have been held for the whole turn.
    TurnOver,
    /// The turn is over, but some members of the last run haven't ended yet.
    StillEnding,
    /// The gang no longer needs reservations.
    Unneeded,
}

impl Scheduler {
    /// Returns whether a task belongs to a long-running gang.
    pub(in crate::schedule) fn is_long_running_gang(
        &self,
        task: &TaskId,
    ) -> bool {
        let spec = self.step_spec(task);
        spec.is_some_and(|spec| spec.gang && spec.long_running)
    }

    /// Reserves capacity for all members of a waiting gang, if there is enough
    /// for all. Returns the number of searches made.
    pub(super) fn reserve_for_gang(
        &mut self,
        members: &[TaskId],
        now: Now,
    ) -> usize {
        let Some(first) = members.first() else { return 0 };
        let Some(spec) = self.step_spec(first) else { return 0 };
        // Members of the last run haven't ended yet.
        if members.len() < spec.count as usize {
            return 0;
        }
        let searches = 1 + self.individual_searches(members);
        if let Ok(placements) = self.place_members(
            spec,
            members,
            RoomHorizon::AfterShortTasks,
            now,
        ) {
            self.reserve_all(members, placements, now);
        }
        searches
    }

    /// Returns whether a waiting gang may have a turn.
    pub(super) fn may_have_turn(&self, step: &TaskId, now: Now) -> bool {
        let first = TaskId { index: 0, ..*step };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let (turns, pool) = (&self.reservations.turns, &job.terms.pool);
        !turns.is_paused(&first, pool, now.steady_ms)
            && !self.has_gang_with_reservations(pool)
    }

    /// Returns whether some gang of a pool has reservations.
    fn has_gang_with_reservations(&self, pool: &str) -> bool {
        let mut gangs = self.reservations.turns.since_ms.keys();
        gangs.any(|first| {
            let job = self.jobs.get(&first.job);
            job.is_some_and(|job| job.terms.pool == pool)
        })
    }

    /// Reserves capacity for each of some members.
    fn reserve_all(
        &mut self,
        members: &[TaskId],
        placements: Vec<WorkerId>,
        now: Now,
    ) {
        for (member, to) in members.iter().zip(placements) {
            let from = self.worker_to_leave(member);
            self.reserve_room(member, from, &to);
            self.begin_turn(member, now);
        }
    }

    /// Begins the turn of a member's gang, unless it has begun.
    fn begin_turn(&mut self, member: &TaskId, now: Now) {
        let first = TaskId { index: 0, ..*member };
        let turns = &mut self.reservations.turns.since_ms;
        turns.entry(first).or_insert(now.steady_ms);
    }

    /// Returns the worker that a task runs on and must leave, if any.
    fn worker_to_leave(&self, task: &TaskId) -> Option<WorkerId> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let mut on = state.workers.iter();
        let from = on.find(|id| {
            let worker = self.workers.get(id);
            worker.is_some_and(|worker| super::must_leave(task, worker))
        });
        from.cloned()
    }

    /// Reserves capacity for all members of a running gang that must leave
    /// their workers. Returns the worker for the given task once the capacity
    /// for each of them is free.
    pub(super) fn plan_gang_move(
        &mut self,
        task: &TaskId,
        now: Now,
    ) -> Option<WorkerId> {
        let leaving: Vec<TaskId> = self
            .members_of(task)
            .into_iter()
            .filter(|member| self.worker_to_leave(member).is_some())
            .collect();
        let without_place =
            |member: &&TaskId| self.reservations.worker_for(member).is_none();
        let lacking: Vec<TaskId> =
            leaving.iter().filter(without_place).copied().collect();
        if !lacking.is_empty() && !self.reserve_for_gang_move(&lacking, now) {
            return None;
        }
        self.claim_all_reserved(&leaving)
            .then(|| self.reservations.worker_for(task).cloned())
            .flatten()
    }

    /// Reserves capacity for members that must leave and have no reservation.
    /// Returns whether there was enough for all; if not, releases all
    /// reservations of the gang.
    fn reserve_for_gang_move(&mut self, lacking: &[TaskId], now: Now) -> bool {
        let Some(first) = lacking.first() else { return true };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let Some(spec) = job.step_spec(first) else { return false };
        let step = TaskId { index: 0, ..*first };
        let (turns, pool) = (&self.reservations.turns, &job.terms.pool);
        let paused = turns.is_paused(&step, pool, now.steady_ms);
        let mut placements =
            self.place_members(spec, lacking, RoomHorizon::Now, now);
        if placements.is_err() && !paused {
            placements = self.place_members(
                spec,
                lacking,
                RoomHorizon::AfterShortTasks,
                now,
            );
        }
        let fits = self.fits_any_vm(spec) && spec.required_label.is_empty();
        let demand = demand(spec);
        let pool = job.terms.pool.clone();
        match placements {
            Ok(placements) => {
                self.reserve_all(lacking, placements, now);
                true
            }
            Err(count) => {
                self.release_gang_reservations(first, now);
                if fits && !paused {
                    let unplaced = self.reservations.unplaced.entry(pool);
                    unplaced.or_default().add(&demand.times(count));
                }
                false
            }
        }
    }

    /// Returns whether each member of a waiting gang has room now, on its
    /// reserved worker or elsewhere, and secures that capacity.
    ///
    /// This isn't left to the next review: by then small tasks would have
    /// taken the capacity that has become free.
    pub(in crate::schedule) fn claim_room_for_gang(
        &mut self,
        members: &[TaskId],
        now: Now,
    ) -> bool {
        if self.claim_all_reserved(members) {
            return true;
        }
        let mut suspended = Vec::new();
        for member in members {
            suspended.extend(self.suspend_reservation(member, now));
        }
        let spec = members.first().and_then(|first| self.step_spec(first));
        let placements = spec.map(|spec| {
            self.place_members(spec, members, RoomHorizon::Now, now)
        });
        if let Some(Ok(placements)) = placements {
            self.reserve_all(members, placements, now);
            return true;
        }
        for reservation in suspended {
            self.restore_reservation(reservation);
        }
        self.claim_all_reserved(members);
        false
    }

    /// Returns whether the capacity reserved for each of some members is free
    /// now. Secures whatever is free.
    fn claim_all_reserved(&mut self, members: &[TaskId]) -> bool {
        let mut all = true;
        for member in members {
            let Some(to) = self.reservations.worker_for(member).cloned()
            else {
                continue;
            };
            all &= self.claim_reserved_room(member, &to);
        }
        all
    }

    /// Suspends the reservation of a task that is being placed. Returns it for
    /// a later restore.
    pub(in crate::schedule) fn suspend_reservation(
        &mut self,
        task: &TaskId,
        now: Now,
    ) -> Option<SuspendedReservation> {
        let reservation = self.reservations.by_task.get(task)?.clone();
        let room = self.step_spec(task).map(demand)?;
        self.release_reservation(task, now);
        Some(SuspendedReservation { task: *task, reservation, room })
    }

    /// Restores a suspended reservation, since the gang couldn't start.
    pub(in crate::schedule) fn restore_reservation(
        &mut self,
        suspended: SuspendedReservation,
    ) {
        let SuspendedReservation { task, reservation, room } = suspended;
        if let Some(worker) = self.workers.get_mut(&reservation.to) {
            let was_free = worker.free().contains(&room);
            worker.reserve_for(task, ReservedRoom { room, was_free });
        }
        self.reservations.by_task.insert(task, reservation);
    }

    /// Reserves the capacity of a gang member whose run has ended, so that it
    /// is available once all members have ended.
    pub(in crate::schedule) fn reserve_room_of_member(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        now: Now,
    ) {
        if !self.is_long_running_gang(task)
            || self.reservations.worker_for(task).is_some()
            || !self.is_member_waiting(task)
        {
            return;
        }
        let (Some(job), Some(spec)) =
            (self.jobs.get(&task.job), self.step_spec(task))
        else {
            return;
        };
        let has_failed = job
            .task(task)
            .is_some_and(|state| state.avoid.contains(worker_id));
        let suits = self.workers.get(worker_id).is_some_and(|worker| {
            worker.is_usable()
                && worker.listing.pool == job.terms.pool
                && worker.free().contains(&demand(spec))
        });
        if suits && !has_failed {
            self.reserve_room(task, None, worker_id);
            self.begin_turn(task, now);
        }
    }

    fn is_member_waiting(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| {
            let step = job.step(task);
            let waits = step.is_some_and(|s| s.waiting.contains(&task.index));
            waits && !job.phase.is_final()
        })
    }

    /// Returns all members of a task's gang.
    fn members_of(&self, task: &TaskId) -> Vec<TaskId> {
        let count = self.step_spec(task).map_or(0, |spec| spec.count);
        (0..count).map(|index| TaskId { index, ..*task }).collect()
    }

    /// Releases reservations of gangs that aren't needed or whose turn is
    /// over, and replaces those that are lost.
    ///
    /// Only one waiting gang of a pool has reservations, so this searches all
    /// workers at most twice, except for gangs that have just ended.
    pub(super) fn review_gang_reservations(&mut self, now: Now) {
        let gangs: Vec<TaskId> =
            self.reservations.turns.since_ms.keys().copied().collect();
        for first in gangs {
            for member in self.members_of(&first) {
                self.update_fitness(&member, now);
            }
            match self.gang_reservation_state(&first, now) {
                GangReservationState::Valid => {}
                GangReservationState::Lacking(members) => {
                    self.replace_gang_reservations(&first, &members, now);
                }
                GangReservationState::TurnOver => self.end_turn(&first, now),
                GangReservationState::StillEnding => {
                    self.release_gang_reservations(&first, now)
                }
                GangReservationState::Unneeded => {
                    self.release_gang_reservations(&first, now);
                    self.reservations.turns.failed.remove(&first);
                }
            }
        }
        self.drop_finished_turns(now);
    }

    fn gang_reservation_state(
        &self,
        first: &TaskId,
        now: Now,
    ) -> GangReservationState {
        let members = self.members_of(first);
        let job = self.jobs.get(&first.job);
        if members.is_empty() || job.is_none_or(|job| job.phase.is_final()) {
            return GangReservationState::Unneeded;
        }
        let waiting = members.iter().filter(|m| self.is_member_waiting(m));
        let waiting = waiting.count();
        let leaves = |m: &TaskId| self.worker_to_leave(m).is_some();
        if waiting == 0 && !members.iter().any(leaves) {
            return GangReservationState::Unneeded;
        }
        let all_wait = waiting == members.len();
        let turns = &self.reservations.turns;
        let since_ms = turns.since_ms.get(first).copied().unwrap_or(0);
        if now.steady_ms >= since_ms + turns.turn_ms(first) {
            let ends = waiting > 0 && !all_wait;
            return match ends {
                true => GangReservationState::StillEnding,
                false => GangReservationState::TurnOver,
            };
        }
        let mut lacking = Vec::new();
        for member in members {
            if self.reservations.worker_for(&member).is_none() {
                // A running member has its capacity already.
                if all_wait {
                    lacking.push(member);
                }
                continue;
            }
            match self.reservation_state(&member, now) {
                ReservationState::Lost | ReservationState::Unneeded => {
                    lacking.push(member)
                }
                ReservationState::Valid | ReservationState::Pending => {}
            }
        }
        if lacking.is_empty() {
            GangReservationState::Valid
        } else {
            GangReservationState::Lacking(lacking)
        }
    }

    /// Reserves other capacity for some members, in addition to the
    /// reservations of the others. Releases all of them if there is none.
    fn replace_gang_reservations(
        &mut self,
        first: &TaskId,
        members: &[TaskId],
        now: Now,
    ) {
        for member in members {
            self.release_reservation(member, now);
        }
        let needed = members.iter().filter(|member| {
            self.is_member_waiting(member)
                || self.worker_to_leave(member).is_some()
        });
        let needed: Vec<TaskId> = needed.copied().collect();
        let Some(spec) = self.step_spec(first) else { return };
        let mut placements =
            self.place_members(spec, &needed, RoomHorizon::Now, now);
        if placements.is_err() {
            placements = self.place_members(
                spec,
                &needed,
                RoomHorizon::AfterShortTasks,
                now,
            );
        }
        match placements {
            Ok(placements) => self.reserve_all(&needed, placements, now),
            Err(_) => self.release_gang_reservations(first, now),
        }
    }

    /// Ends the turn of a gang: releases its reservations and pauses
    /// reservations for gangs in its pool for the same duration.
    fn end_turn(&mut self, first: &TaskId, now: Now) {
        let turn_ms = self.reservations.turns.turn_ms(first);
        self.release_gang_reservations(first, now);
        let Some(job) = self.jobs.get(&first.job) else { return };
        let turns = &mut self.reservations.turns;
        let until_ms = now.steady_ms + turn_ms;
        turns.paused_until_ms.insert(job.terms.pool.clone(), until_ms);
        let failed = turns.failed.entry(*first).or_default();
        failed.count += 1;
        failed.last_ms = now.steady_ms;
    }

    /// Releases all reservations of a gang.
    fn release_gang_reservations(&mut self, first: &TaskId, now: Now) {
        let last = TaskId { index: u32::MAX, ..*first };
        let first = TaskId { index: 0, ..*first };
        let reserved = self.reservations.by_task.range(first..=last);
        let reserved: Vec<TaskId> = reserved.map(|(task, _)| *task).collect();
        for member in reserved {
            self.release_reservation(&member, now);
        }
        self.reservations.turns.since_ms.remove(&first);
    }

    /// Removes pauses that are over, and the failed turns of gangs that have
    /// started.
    fn drop_finished_turns(&mut self, now: Now) {
        let (jobs, turns) = (&self.jobs, &mut self.reservations.turns);
        turns.paused_until_ms.retain(|_, until_ms| now.steady_ms < *until_ms);
        let paused = &turns.paused_until_ms;
        turns.failed.retain(|first, _| {
            let Some(job) = jobs.get(&first.job) else { return false };
            let step = job.step(first);
            let waits = step.is_some_and(|step| !step.waiting.is_empty());
            !job.phase.is_final()
                && (waits || paused.contains_key(&job.terms.pool))
        });
    }
}

/// A reservation that has been suspended for a placement attempt.
#[derive(Debug)]
pub(in crate::schedule) struct SuspendedReservation {
    task: TaskId,
    reservation: Reservation,
    room: Resources,
}
