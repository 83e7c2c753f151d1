/*!
Places that are kept for gangs that are to last.

A gang starts as a whole, so room that is kept for some of its members only is
used by nobody. Two gangs that each keep half of what the other needs would
leave it idle for ever. So places are kept for all members at once, each beside
whatever else is kept, or for none; and they are given up together where one is
lost and no other is found. All that is kept can thus be used at the same time,
and nobody who keeps room waits for room that another keeps.

Short runs have to end first, and how long they take isn't known. So one waiting
gang of a pool has its *turn* at a time, and a turn ends after a while, for as
long as which the pool then paused, but for gangs that had none yet. The next turn of the
gang is twice as long, so that short runs end within one however long they take,
and gangs whose last turn was longest ago come first. Room thus stands idle for
one gang a pool, and first turns aside, for half of the time at most.

Where one member of a gang at work has to leave its worker, all end. So each
one that has to leave gets a place first, and the others keep the room that they
run in, from when they have ended.
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

/// How long places are kept for a gang that doesn't start, in its first turn,
/// in milliseconds: longer than nearly any short task takes.
const TURN_MS: u64 = 6_000;

/// How often a turn may be doubled: to 96 s, longer than any short task that we
/// know of.
const MAX_DOUBLINGS: u32 = 4;

/// The gangs that have places kept, and those that had their turn.
#[derive(Debug, Default)]
pub(super) struct GangTurns {
    /// Since when places are kept for each, by its first task.
    since_ms: BTreeMap<TaskId, u64>,
    /// The turns of waiting gangs that came to nothing.
    over: BTreeMap<TaskId, FailedTurns>,
    /// Until when nothing that isn't free is kept for gangs, by pool.
    paused_until_ms: BTreeMap<String, u64>,
}

/// The turns of a gang that came to nothing.
#[derive(Clone, Copy, Debug, Default)]
struct FailedTurns {
    count: u32,
    last_ms: u64,
}

impl GangTurns {
    /// Returns when the last turn of a step that came to nothing was over; 0
    /// for never.
    pub(super) fn last_ms(&self, step: &TaskId) -> u64 {
        let over = self.over.get(&TaskId { index: 0, ..*step });
        over.map_or(0, |over| over.last_ms)
    }

    /// Returns whether a gang had a turn and its pool paused.
    fn is_paused(&self, first: &TaskId, pool: &str, now_ms: u64) -> bool {
        let until_ms = self.paused_until_ms.get(pool);
        self.over.contains_key(first)
            && until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn turn_ms(&self, first: &TaskId) -> u64 {
        let count = self.over.get(first).map_or(0, |over| over.count);
        TURN_MS << count.min(MAX_DOUBLINGS)
    }
}

/// What becomes of the places of a gang.
enum GangReservationState {
    /// They go on as planned.
    Valid,
    /// These members have no place, or one that doesn't suit any more.
    Lacking(Vec<TaskId>),
    /// They were kept for long enough.
    TurnOver,
    /// The same, and some members of the last run haven't ended yet.
    StillEnding,
    /// No places are needed any more.
    Unneeded,
}

impl Scheduler {
    /// Returns whether a step's tasks are a gang that is to last.
    pub(in crate::schedule) fn is_long_running_gang(
        &self,
        task: &TaskId,
    ) -> bool {
        let spec = self.step_spec(task);
        spec.is_some_and(|spec| spec.gang && spec.long_running)
    }

    /// Keeps places for all members of a waiting gang, if there are any for
    /// all; returns how many searches that took.
    pub(super) fn reserve_for_gang(
        &mut self,
        members: &[TaskId],
        now: Now,
    ) -> usize {
        let Some(first) = members.first() else { return 0 };
        let Some(spec) = self.step_spec(first) else { return 0 };
        // Members of the last run are still there.
        if members.len() < spec.count as usize {
            return 0;
        }
        let searches = 1 + self.individual_searches(members);
        if let Ok(places) = self.place_members(
            spec,
            members,
            RoomHorizon::AfterShortTasks,
            now,
        ) {
            self.reserve_all(members, places, now);
        }
        searches
    }

    /// Returns whether it may be the turn of a waiting gang.
    pub(super) fn may_have_turn(&self, step: &TaskId, now: Now) -> bool {
        let first = TaskId { index: 0, ..*step };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let (turns, pool) = (&self.places.turns, &job.terms.pool);
        !turns.is_paused(&first, pool, now.steady_ms)
            && !self.has_gang_with_reservations(pool)
    }

    /// Returns whether places are kept for some gang of a pool.
    fn has_gang_with_reservations(&self, pool: &str) -> bool {
        let mut gangs = self.places.turns.since_ms.keys();
        gangs.any(|first| {
            let job = self.jobs.get(&first.job);
            job.is_some_and(|job| job.terms.pool == pool)
        })
    }

    /// Keeps a place for each of some members.
    fn reserve_all(
        &mut self,
        members: &[TaskId],
        places: Vec<WorkerId>,
        now: Now,
    ) {
        for (member, to) in members.iter().zip(places) {
            let from = self.worker_to_leave(member);
            self.reserve_room(member, from, &to);
            self.begin_turn(member, now);
        }
    }

    /// Notes that places are kept for a task's gang, from now on if there were
    /// none before.
    fn begin_turn(&mut self, member: &TaskId, now: Now) {
        let first = TaskId { index: 0, ..*member };
        let turns = &mut self.places.turns.since_ms;
        turns.entry(first).or_insert(now.steady_ms);
    }

    /// Returns the worker that a task runs on and is to leave, if there is one.
    fn worker_to_leave(&self, task: &TaskId) -> Option<WorkerId> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let mut on = state.workers.iter();
        let from = on.find(|id| {
            let worker = self.workers.get(id);
            worker.is_some_and(|worker| super::must_leave(task, worker))
        });
        from.cloned()
    }

    /// Keeps places for all members of a gang at work that have to leave their
    /// workers; returns that of one of them once there is room for each.
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
            |member: &&TaskId| self.places.worker_for(member).is_none();
        let lacking: Vec<TaskId> =
            leaving.iter().filter(without_place).copied().collect();
        if !lacking.is_empty() && !self.reserve_for_gang_move(&lacking, now) {
            return None;
        }
        self.claim_all_reserved(&leaving)
            .then(|| self.places.worker_for(task).cloned())
            .flatten()
    }

    /// Keeps places for members that have to leave and have none; returns
    /// whether there were any for all, else the gang has none any more.
    fn reserve_for_gang_move(&mut self, lacking: &[TaskId], now: Now) -> bool {
        let Some(first) = lacking.first() else { return true };
        let Some(job) = self.jobs.get(&first.job) else { return false };
        let Some(spec) = job.step_spec(first) else { return false };
        let step = TaskId { index: 0, ..*first };
        let (turns, pool) = (&self.places.turns, &job.terms.pool);
        let paused = turns.is_paused(&step, pool, now.steady_ms);
        let mut places =
            self.place_members(spec, lacking, RoomHorizon::Now, now);
        if places.is_err() && !paused {
            places = self.place_members(
                spec,
                lacking,
                RoomHorizon::AfterShortTasks,
                now,
            );
        }
        let fits = self.fits_any_vm(spec) && spec.required_label.is_empty();
        let demand = demand(spec);
        let pool = job.terms.pool.clone();
        match places {
            Ok(places) => {
                self.reserve_all(lacking, places, now);
                true
            }
            Err(count) => {
                self.release_gang_reservations(first, now);
                if fits && !paused {
                    let unplaced = self.places.unplaced.entry(pool);
                    unplaced.or_default().add(&demand.times(count));
                }
                false
            }
        }
    }

    /// Returns whether there is room now for each member of a waiting gang that
    /// has places kept, there or elsewhere, and keeps that.
    ///
    /// Not left to the next look: by then small tasks have taken what has come.
    pub(in crate::schedule) fn claim_room_for_gang(
        &mut self,
        members: &[TaskId],
        now: Now,
    ) -> bool {
        if self.claim_all_reserved(members) {
            return true;
        }
        let mut taken = Vec::new();
        for member in members {
            taken.extend(self.suspend_reservation(member, now));
        }
        let spec = members.first().and_then(|first| self.step_spec(first));
        let places = spec.map(|spec| {
            self.place_members(spec, members, RoomHorizon::Now, now)
        });
        if let Some(Ok(places)) = places {
            self.reserve_all(members, places, now);
            return true;
        }
        for place in taken {
            self.restore_reservation(place);
        }
        self.claim_all_reserved(members);
        false
    }

    /// Returns whether the room that is kept for each of some members is there
    /// now, and lets nobody else have what is.
    fn claim_all_reserved(&mut self, members: &[TaskId]) -> bool {
        let mut all = true;
        for member in members {
            let Some(to) = self.places.worker_for(member).cloned() else {
                continue;
            };
            all &= self.claim_reserved_room(member, &to);
        }
        all
    }

    /// Gives back the room that is kept for a task that gets its place now;
    /// returns what was kept.
    pub(in crate::schedule) fn suspend_reservation(
        &mut self,
        task: &TaskId,
        now: Now,
    ) -> Option<SuspendedReservation> {
        let planned = self.places.planned.get(task)?.clone();
        let room = self.step_spec(task).map(demand)?;
        self.release_reservation(task, now);
        Some(SuspendedReservation { task: *task, planned, room })
    }

    /// Keeps again what was given back, since the gang couldn't start.
    pub(in crate::schedule) fn restore_reservation(
        &mut self,
        taken: SuspendedReservation,
    ) {
        let SuspendedReservation { task, planned, room } = taken;
        if let Some(worker) = self.workers.get_mut(&planned.to) {
            let was_free = worker.free().contains(&room);
            worker.reserve_for(task, ReservedRoom { room, was_free });
        }
        self.places.planned.insert(task, planned);
    }

    /// Keeps the room of a member of a gang whose run has ended, so that it is
    /// there once all members have.
    pub(in crate::schedule) fn reserve_room_of_member(
        &mut self,
        task: &TaskId,
        worker_id: &WorkerId,
        now: Now,
    ) {
        if !self.is_long_running_gang(task)
            || self.places.worker_for(task).is_some()
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

    /// Gives up the places of gangs that nobody needs or that were kept for
    /// long enough, and seeks others for those that are lost.
    ///
    /// One waiting gang of a pool has places, so this goes through each worker
    /// twice at most, but for gangs that have just ended.
    pub(super) fn review_gang_reservations(&mut self, now: Now) {
        let gangs: Vec<TaskId> =
            self.places.turns.since_ms.keys().copied().collect();
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
                    self.places.turns.over.remove(&first);
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
        let turns = &self.places.turns;
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
            if self.places.worker_for(&member).is_none() {
                // One that runs on has its room.
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

    /// Seeks other places for some members, beside those of the others; gives
    /// all up where there are none.
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
        let mut places =
            self.place_members(spec, &needed, RoomHorizon::Now, now);
        if places.is_err() {
            places = self.place_members(
                spec,
                &needed,
                RoomHorizon::AfterShortTasks,
                now,
            );
        }
        match places {
            Ok(places) => self.reserve_all(&needed, places, now),
            Err(_) => self.release_gang_reservations(first, now),
        }
    }

    /// Gives the places of a gang up that were kept for long enough; its pool
    /// paused for as long.
    fn end_turn(&mut self, first: &TaskId, now: Now) {
        let turn_ms = self.places.turns.turn_ms(first);
        self.release_gang_reservations(first, now);
        let Some(job) = self.jobs.get(&first.job) else { return };
        let turns = &mut self.places.turns;
        let until_ms = now.steady_ms + turn_ms;
        turns.paused_until_ms.insert(job.terms.pool.clone(), until_ms);
        let over = turns.over.entry(*first).or_default();
        over.count += 1;
        over.last_ms = now.steady_ms;
    }

    /// Gives up all places that are kept for a gang.
    fn release_gang_reservations(&mut self, first: &TaskId, now: Now) {
        let last = TaskId { index: u32::MAX, ..*first };
        let first = TaskId { index: 0, ..*first };
        let kept = self.places.planned.range(first..=last);
        let kept: Vec<TaskId> = kept.map(|(task, _)| *task).collect();
        for member in kept {
            self.release_reservation(&member, now);
        }
        self.places.turns.since_ms.remove(&first);
    }

    /// Forgets paused that are over, and the turns of gangs that have started.
    fn drop_finished_turns(&mut self, now: Now) {
        let (jobs, turns) = (&self.jobs, &mut self.places.turns);
        turns.paused_until_ms.retain(|_, until_ms| now.steady_ms < *until_ms);
        let paused = &turns.paused_until_ms;
        turns.over.retain(|first, _| {
            let Some(job) = jobs.get(&first.job) else { return false };
            let step = job.step(first);
            let waits = step.is_some_and(|step| !step.waiting.is_empty());
            !job.phase.is_final()
                && (waits || paused.contains_key(&job.terms.pool))
        });
    }
}

/// What was kept for a task.
#[derive(Debug)]
pub(in crate::schedule) struct SuspendedReservation {
    task: TaskId,
    planned: Reservation,
    room: Resources,
}
