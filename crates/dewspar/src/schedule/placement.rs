/*!
Selects the waiting tasks to start and places each on a worker.

Steps are considered by the priority of their queue and then by the deadline of
their job; jobs that can no longer meet their deadline come last. Each task
goes to the best-scoring worker of its pool. The score depends on the policy,
on how full the worker is, on data locality, on colocation with other
long-running tasks and on interference with other tasks.
*/

use {
    self::preferences::Preferences,
    crate::{
        job::{StepSpec, TaskId},
        link::Class,
        schedule::{
            Action, Decision, Now, Placing, Scheduler, StartOrder, WorkerId,
            full_pools::{FullPools, UnsyncedPools},
            job_state::{Job, demand},
            suspects::Colocation,
            worker::{Run, Worker},
            workers::WorkerNumber,
            write_ahead::PlacedStart,
        },
    },
    std::{collections::BTreeSet, mem},
};

mod candidates;
mod gang;
mod gang_rack;
mod home_hall;
mod preferences;
mod scores;
mod uniform;

pub(super) use self::{
    candidates::{Candidate, Candidates, PoolNumber, Requirements},
    scores::{PoolScores, Scores},
};

/// The number of run numbers skipped for a task that a former lease holder may
/// have started without recording it, so that the new run number is the
/// highest.
const RUN_NUMBER_GAP: u64 = 8;

/// How long a task that has failed on a worker waits for room on another one in
/// a pool that is mostly free, in milliseconds: a second less than a job may
/// have nothing running there.
const MAX_WAIT_FOR_OTHER_WORKER_MS: u64 = 2_000;

/// The maximum age of a worker's capacity report, in milliseconds, for workers
/// that don't enforce their capacity. A reduced capacity counts about 3 s
/// after it was reported at the earliest, and the directory is read every 0.3
/// to 1.5 s.
const MAX_REPORT_AGE_MS: u64 = 2_500;

/// What one scheduling pass has found out about the pools.
#[derive(Default)]
struct PoolCache {
    full: FullPools,
    unsynced: UnsyncedPools,
}

/// The point in time at which a worker must have room for a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RoomHorizon {
    /// Immediately.
    Now,
    /// Once all short tasks on the worker have ended.
    AfterShortTasks,
}

/// The tasks of a step to start.
#[derive(Clone, Copy)]
enum StepTasks<'a> {
    All,
    /// Only those that are among these.
    Only(&'a BTreeSet<TaskId>),
}

impl StepTasks<'_> {
    fn include(self, task: &TaskId) -> bool {
        match self {
            StepTasks::All => true,
            StepTasks::Only(tasks) => tasks.contains(task),
        }
    }
}

/// The reason why a task can't be placed now.
enum PlacementError {
    /// No suitable worker has room.
    NoRoom,
    /// Suitable workers have room, but there is no ticket for any of them.
    NoTicket,
}

impl Scheduler {
    /// Starts ready tasks as far as there is capacity for them.
    pub(super) fn start_waiting(
        &mut self,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // First, since it builds the rounds that are due, which others count.
        let late_last = self.placing().late_last;
        self.candidates.update(&mut self.jobs, late_last, now);
        // A pass takes longer the more tasks wait, so it is skipped if no
        // order may be sent.
        if !self.may_start() {
            return;
        }
        self.count_usage(now);
        let mut pools_without_room = BTreeSet::new();
        let mut pools = PoolCache::default();
        debug_assert!(
            self.candidates.match_full_rebuild(&mut self.jobs, late_last, now),
            "the cached scheduling order is out of date"
        );
        // Moved out because starting a task borrows the scheduler mutably.
        let candidates = mem::take(&mut self.candidates);
        if self.has_suspects {
            // Includes jobs from former leases in pools where a lost worker
            // hasn't been counted yet.
            let all = !self.uncounted_pools.is_empty();
            let suspects: Vec<TaskId> = candidates
                .ordered
                .iter()
                .filter(|(_, required)| all || required.suspects)
                .flat_map(|(candidate, _)| self.waiting_suspects(candidate))
                .collect();
            self.announce_starts(&suspects);
            self.reserve_workers(&suspects, now);
            self.start_reserved_for(&candidates, now, &mut pools, actions);
        }
        let mut waiting = candidates.ordered.keys();
        let has_over_share = || waiting.any(|waiting| waiting.over_share);
        self.quotas.owed_waits.begin_pass(now, has_over_share);
        for (candidate, required) in &candidates.ordered {
            if !self.may_start() {
                break;
            }
            if candidate.over_share && self.keeps_for_owed(required.pool) {
                continue;
            }
            // The step that found the pool full asked for no more than this
            // one and has already reported the shortage. Tasks with a
            // reservation don't need free room.
            if pools.full.is_full_for(required.pool, &required.demand)
                && !self.reservations.has_any_for(candidate)
            {
                self.note_lacks_room(candidate, required, now);
                continue;
            }
            let lacking = self.start_step(
                candidate,
                required,
                StepTasks::All,
                now,
                &mut pools,
                actions,
            );
            if let Some(pool) = lacking {
                self.note_lacks_room(candidate, required, now);
                pools_without_room.insert(pool);
            }
        }
        self.candidates = candidates;
        // A pass that was cut short hasn't looked at every step, so it can't
        // clear the record of pools without room.
        if self.may_start() {
            self.quotas.owed_waits.finish_pass();
            self.unplaced_since_ms
                .retain(|pool, _| pools_without_room.contains(pool));
        }
        for pool in pools_without_room {
            self.unplaced_since_ms.entry(pool).or_insert(now.steady_ms);
        }
    }

    /// Starts the tasks for which workers are reserved, as far as that is
    /// possible already.
    ///
    /// They come first, wherever their steps stand in the order: a reserved
    /// worker is closed to all other tasks until its own has started.
    fn start_reserved_for(
        &mut self,
        candidates: &Candidates,
        now: Now,
        pools: &mut PoolCache,
        actions: &mut Vec<Action>,
    ) {
        let owners: BTreeSet<TaskId> =
            self.reserved.values().map(|reserved| reserved.task).collect();
        if owners.is_empty() {
            return;
        }
        let suspects = candidates
            .ordered
            .iter()
            .filter(|(_, required)| required.suspects);
        for (candidate, required) in suspects {
            let first = candidate.first_task();
            let last = TaskId { index: u32::MAX, ..first };
            if owners.range(first..=last).next().is_some() {
                let tasks = StepTasks::Only(&owners);
                self.start_step(
                    candidate, required, tasks, now, pools, actions,
                );
            }
        }
    }

    pub(super) fn placing(&self) -> &Placing {
        &self.options.policy.placing
    }

    /// Starts as many tasks of a step as possible. Returns the name of the
    /// pool if the pool has no room for some task that another VM could hold.
    fn start_step(
        &mut self,
        candidate: &Candidate,
        required: &Requirements,
        tasks: StepTasks<'_>,
        now: Now,
        pools: &mut PoolCache,
        actions: &mut Vec<Action>,
    ) -> Option<String> {
        let Candidate { job: id, round, step, .. } = *candidate;
        let job = &self.jobs[&id];
        let spec = job.spec.clone();
        let spec = &spec.steps[step];
        if self.may_run_from_former_lease_cached(
            job,
            spec,
            now,
            &mut pools.unsynced,
        ) {
            return None;
        }
        let inherited = job.revision < self.lease_revision;
        if inherited && self.write_ahead.is_full() {
            return None;
        }
        let state = &job.rounds[round][step];
        let first = TaskId {
            job: id,
            round: round as u32,
            step: step as u32,
            index: 0,
        };
        let may_start = |index: &u32| {
            let task = TaskId { index: *index, ..first };
            tasks.include(&task)
                && self.may_start_as_recorded(job, &task)
                && self.own_lease.covers_task(job, &task)
        };
        let mut waiting: Vec<u32> =
            state.waiting.iter().copied().filter(may_start).collect();
        // Tasks with a reservation go first.
        waiting.sort_by_key(|index| {
            self.reservations
                .worker_for(&TaskId { index: *index, ..first })
                .is_none()
        });
        let pool = job.terms.pool.clone();
        let charge = Scheduler::charge_for(job, spec);
        let fits = self.fits_any_vm(spec);
        if spec.gang {
            let placed = self.start_gang(spec, &first, &waiting, now, actions);
            let lacks_vm = !placed
                && fits
                && !self.waits_for_cold_worker(&pool, spec, now);
            return lacks_vm.then_some(pool);
        }
        let task = |index: u32| TaskId { index, ..first };
        // Checked before workers are searched, since a team beyond its quota
        // may have thousands of steps here in each pass.
        if let Some(next) = waiting.first().copied().map(task)
            && !self.may_start_within_quota(charge.as_ref(), &next, now)
        {
            return None;
        }
        let any =
            waiting.iter().find(|i| !self.needs_own_placement(&task(**i)));
        let mut uniform =
            any.and_then(|i| self.uniform_placement(spec, &task(*i), now));
        // The home hall follows from a task that may run anywhere, if any.
        let typical = any.or(waiting.first()).copied().map(task);
        let mut preferences: Option<Preferences> = None;
        let mut lacks_room = false;
        let mut is_full = false;
        for index in waiting {
            if !self.may_start() {
                break;
            }
            let task = TaskId { index, ..first };
            // If one task finds no room, only tasks that need an individual
            // search might.
            if is_full && !self.needs_own_placement(&task) {
                continue;
            }
            if !self.may_start_within_quota(charge.as_ref(), &task, now) {
                break;
            }
            let chosen = match &mut uniform {
                Some(placement) if !self.needs_own_placement(&task) => {
                    placement.next(self, &task).ok_or(PlacementError::NoRoom)
                }
                _ => {
                    let preferences = preferences.get_or_insert_with(|| {
                        let typical = typical.as_ref().unwrap_or(&task);
                        self.step_preferences(spec, typical, now)
                    });
                    self.choose_worker(spec, &task, preferences, now)
                }
            };
            match chosen {
                Ok(worker) => {
                    if let Some(preferences) = &mut preferences
                        && let Some(worker) = self.workers.get(&worker)
                    {
                        preferences.add(worker);
                    }
                    let run = self.next_run_number(&task);
                    actions.extend(self.start(spec, &task, run, worker, now));
                }
                Err(PlacementError::NoTicket) => {
                    actions.extend(self.request_advice(spec, &task, now));
                    break;
                }
                Err(PlacementError::NoRoom) if self.is_in_doubt(&task) => {}
                Err(PlacementError::NoRoom) => {
                    lacks_room = true;
                    if self.is_unconstrained(spec, &task) {
                        pools
                            .full
                            .record_refusal(required.pool, required.demand);
                    }
                    is_full |= !self.needs_own_placement(&task);
                }
            }
        }
        let lacks_vm = lacks_room
            && fits
            && !self.waits_for_cold_worker(&pool, spec, now);
        lacks_vm.then_some(pool)
    }

    /// Returns the waiting tasks of a step that may crash their workers.
    fn waiting_suspects(&self, candidate: &Candidate) -> Vec<TaskId> {
        let Candidate { job: id, round, step, .. } = *candidate;
        let job = &self.jobs[&id];
        let state = &job.rounds[round][step];
        let task = |index: u32| TaskId {
            job: id,
            round: round as u32,
            step: step as u32,
            index,
        };
        let suspected = |index: &&u32| {
            let task = &state.tasks[**index as usize];
            task.crashes.is_on_record()
                || self.may_have_crashed_unseen(job, task)
        };
        let waiting = state.waiting.iter();
        waiting.filter(suspected).map(|i| task(*i)).collect()
    }

    /// Returns whether some VM of the fleet could hold a task of the step.
    pub(super) fn fits_any_vm(&self, spec: &StepSpec) -> bool {
        let demand = demand(spec);
        let label = &spec.required_label;
        let fits = self.capacities.iter().any(|room| room.contains(&demand));
        let labelled = label.is_empty()
            || self.workers.values().any(|w| has_label(w, label));
        fits && labelled
    }

    /// Returns whether a task may run on any worker of its pool that has room
    /// and accepts starts.
    pub(super) fn is_unconstrained(
        &self,
        spec: &StepSpec,
        task: &TaskId,
    ) -> bool {
        let advised = self.jobs[&task.job].terms.advice.is_some();
        spec.required_label.is_empty()
            && spec.max_per_worker == 0
            && !advised
            && !self.needs_own_placement(task)
    }

    /// Returns whether a task needs a search of its own. That is the case if
    /// it has failed on a worker, may crash workers, has a start in doubt or
    /// has a reservation.
    pub(super) fn needs_own_placement(&self, task: &TaskId) -> bool {
        let state = self.jobs[&task.job].task(task);
        self.reservations.worker_for(task).is_some()
            || state.is_some_and(|state| {
                !state.avoid.is_empty()
                    || state.crashes.count > 0
                    || !state.in_doubt.is_empty()
            })
    }

    fn next_run_number(&self, task: &TaskId) -> u64 {
        let job = &self.jobs[&task.job];
        let run = job.task(task).map_or(0, |state| state.run);
        let inherited = job.revision < self.lease_revision;
        // The first run under this lease skips numbers that a former holder
        // may have used for unrecorded starts.
        let first = job.task(task).is_some_and(|s| s.run == s.ended_run);
        let gap = if inherited && first { RUN_NUMBER_GAP } else { 1 };
        // Workers and records may name any number.
        run.saturating_add(gap)
    }

    /// Chooses a worker for a task. Its reservation isn't counted in the
    /// preferences afterwards if it gets one.
    fn choose_worker(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        preferences: &mut Preferences,
        now: Now,
    ) -> Result<WorkerId, PlacementError> {
        if self.waits_for_reserved_room(task, &demand(spec)) {
            return Err(PlacementError::NoRoom);
        }
        let job = &self.jobs[&task.job];
        preferences.remove_reservation(self, task);
        if let Some(worker) = self.best_worker(spec, task, preferences, now) {
            return Ok(worker.id().clone());
        }
        preferences.restore_reservation(self, task);
        let suits = self.suitable_workers(spec, task, now).next().is_some();
        let advised = job.terms.advice.is_some();
        Err(if suits && advised {
            PlacementError::NoTicket
        } else {
            PlacementError::NoRoom
        })
    }

    /// Returns the workers on which a task may run, without regard to tickets.
    pub(super) fn suitable_workers(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> impl Iterator<Item = &Worker> {
        let suitable =
            self.suitable_with_numbers(spec, task, RoomHorizon::Now, now);
        suitable.map(|(_, worker)| worker)
    }

    /// Returns the workers on which a task may run, with their numbers,
    /// ordered by identifier.
    pub(super) fn suitable_with_numbers(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        room: RoomHorizon,
        now: Now,
    ) -> impl DoubleEndedIterator<Item = (WorkerNumber, &Worker)> {
        // Limited to one pool and checked lazily: most workers of a large pool
        // are full, and this is called for each task that starts.
        let job = self.jobs.get(&task.job);
        let pool = job.map_or("", |job| job.terms.pool.as_str());
        let suits = self.suits(spec, task, room, now);
        self.workers.in_pool(pool).filter(move |(_, worker)| suits(worker))
    }

    /// Returns a predicate that tells whether a worker of the pool suits a
    /// task. The cheapest conditions are checked first.
    pub(super) fn suits(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        room: RoomHorizon,
        now: Now,
    ) -> impl Fn(&Worker) -> bool {
        let job = self.jobs.get(&task.job);
        let state = job.and_then(|job| job.task(task));
        let demand = demand(spec);
        let guarded = job.is_none_or(|job| {
            !self.unenforced_pools.contains(&job.terms.pool)
        });
        let known = state.zip(job);
        let colocation = known.map(|(state, job)| {
            self.colocation(spec, state, &job.terms.pool, now)
        });
        let tested = colocation.is_some_and(Colocation::is_for_tested);
        let vm_stability = known.map(|(state, job)| {
            self.required_stability(spec, state, &job.terms.pool, now)
        });
        let may_retry_failed_worker =
            spec.long_running || self.may_retry_failed_worker(spec, task, now);
        let state = state.filter(|state| !state.crashes.is_paused(now));
        move |worker| {
            let (Some(_), Some(state)) = (job, state) else { return false };
            let below_limit = || {
                let most = spec.max_per_worker as usize;
                most == 0 || worker.runs_of_step(task) < most
            };
            let free = match room {
                RoomHorizon::Now => worker.free_for(task),
                RoomHorizon::AfterShortTasks => worker.free_soon_for(task),
            };
            free.contains(&demand)
                && worker.accepts_starts(now.steady_ms)
                && self.own_lease.covers_worker(worker)
                && (room == RoomHorizon::AfterShortTasks
                    || self.starts_left(worker, now) > 0)
                && (guarded
                    || worker
                        .has_current_room(now.steady_ms, MAX_REPORT_AGE_MS))
                && !worker.runs.contains_key(task)
                && state.in_doubt.allow(worker.id(), now, self)
                && colocation
                    .is_none_or(|colocation| colocation.allows(worker))
                && !self.is_reserved_for_others(worker, task, tested, now)
                && vm_stability
                    .is_none_or(|s| self.is_stable_enough(worker, s, now))
                && (may_retry_failed_worker
                    || !state.avoid.contains(worker.id()))
                && has_label(worker, &spec.required_label)
                && below_limit()
                && !self.is_denied(task, worker.id())
        }
    }

    /// Returns whether the free capacity of a worker can be relied on: either
    /// the worker itself refuses tasks that don't fit, or its report is recent
    /// and complete.
    pub(super) fn has_reliable_room(
        &self,
        worker: &Worker,
        pool: &str,
        now: Now,
    ) -> bool {
        !self.unenforced_pools.contains(pool)
            || worker.has_current_room(now.steady_ms, MAX_REPORT_AGE_MS)
    }

    /// Returns whether a task may run on a worker on which it has failed
    /// before. That is the case once it has waited for a while and no other
    /// worker of its pool could hold it beside its long-running tasks, or once
    /// it has waited for long in a pool that is mostly free.
    fn may_retry_failed_worker(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(state) = job.task(task) else { return false };
        let since_ms = state.waits_since_ms.max(self.taken_over_ms);
        let waited_ms = now.steady_ms.saturating_sub(since_ms);
        if state.avoid.is_empty()
            || waited_ms < self.placing().go_back_after_ms
        {
            return false;
        }
        let demand = demand(spec);
        let pool = &job.terms.pool;
        let has_other = self.workers.in_pool(pool).any(|(_, worker)| {
            worker.is_usable()
                && worker.free_soon_for(task).contains(&demand)
                && has_label(worker, &spec.required_label)
                && !state.avoid.contains(worker.id())
        });
        let waits_for_long = waited_ms >= MAX_WAIT_FOR_OTHER_WORKER_MS;
        !has_other || waits_for_long && self.pool_load(pool).is_mostly_free()
    }

    /// Returns the best-scoring worker for a task.
    fn best_worker(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        preferences: &Preferences,
        now: Now,
    ) -> Option<&Worker> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let isolated = self.is_isolated(spec, state);
        let score = |worker: &Worker| match isolated {
            true => self.isolation_score(worker, spec),
            false => {
                self.score_for(worker, spec)
                    - self.cold_penalty(worker, spec, now)
            }
        };
        let rack_only = isolated.then(|| preferences.rack_only());
        let preferences = rack_only.as_ref().unwrap_or(preferences);
        let reserved = self.reservations.worker_for(task);
        // A long-running task avoids VMs with pending maintenance: it would
        // have to move again and be interrupted twice.
        let stays = |worker: &Worker| {
            !spec.long_running || !self.awaits_maintenance(&worker.listing.vm)
        };
        self.suitable_workers(spec, task, now)
            .filter(|worker| self.ticket(task, worker.id(), now).is_some())
            .max_by_key(|worker| {
                let is_reserved = reserved == Some(worker.id());
                let avoided = state.avoid.contains(worker.id());
                let stays = stays(worker);
                let in_rack = preferences.is_in_rack(worker);
                let prior = (is_reserved, !avoided, stays, in_rack);
                let preferred = (
                    preferences.spread_rank(self, worker, spec),
                    preferences.is_home(worker),
                    score(worker),
                );
                (prior, preferred, worker.id())
            })
    }

    /// Returns the worker to which a running task could move.
    pub(super) fn best_worker_for(
        &self,
        task: &TaskId,
        now: Now,
    ) -> Option<&WorkerId> {
        let job = self.jobs.get(&task.job)?;
        let spec = job.step_spec(task)?;
        let preferences = self.task_preferences(spec, task, now);
        self.best_worker(spec, task, &preferences, now).map(Worker::id)
    }

    /// Returns whether a task may start as far as write-ahead records are
    /// concerned: its start needs no record, or the record is stored.
    pub(super) fn may_start_as_recorded(
        &self,
        job: &Job,
        task: &TaskId,
    ) -> bool {
        job.task(task).is_none_or(|task| {
            job.may_start(task) && !self.may_have_crashed_unseen(job, task)
        })
    }

    /// Returns whether tasks of a step may still run from a former lease. For
    /// use outside of a scheduling pass.
    pub(super) fn may_run_from_former_lease(
        &self,
        job: &Job,
        spec: &StepSpec,
        now: Now,
    ) -> bool {
        self.may_run_from_former_lease_cached(
            job,
            spec,
            now,
            &mut UnsyncedPools::default(),
        )
    }

    /// Returns whether tasks of a step may still run from a former lease.
    /// Checks each pool once per scheduling pass.
    fn may_run_from_former_lease_cached(
        &self,
        job: &Job,
        spec: &StepSpec,
        now: Now,
        unsynced: &mut UnsyncedPools,
    ) -> bool {
        // A duplicate run does no harm here, but is wasteful while most
        // workers are about to answer.
        let settled = self.taken_over_ms + self.placing().copy_after_ms;
        let may_copy = spec.may_duplicate && now.steady_ms >= settled;
        let inherited = job.revision < self.lease_revision;
        let pool = job.terms.pool.as_str();
        inherited
            && !may_copy
            && unsynced.contains(pool, || self.has_unsynced_workers(pool, now))
    }

    /// Returns whether some worker of a pool may run tasks from a former lease
    /// and hasn't listed its runs yet.
    pub(super) fn has_unsynced_workers(&self, pool: &str, now: Now) -> bool {
        let confirmed_ms = self.own_lease.confirmed_ms(now);
        !self.workers_known
            || self.own_lease.lacks_ends()
            || self
                .workers
                .in_pool(pool)
                .any(|(_, worker)| worker.may_run_unknown(confirmed_ms))
    }

    /// Returns the score of a worker for the tasks of a step.
    pub(super) fn score_for(&self, worker: &Worker, spec: &StepSpec) -> i64 {
        let demand = &demand(spec);
        // Prefers the fullest worker that has room: others then become idle,
        // and their VMs can be used elsewhere.
        let left = worker.free().minus(demand).cpu_millis as i64;
        let policy = self.placing();
        let mut score = if policy.fullest_first { -left } else { left };
        let near = !spec.data_rack.is_empty()
            && worker.listing.rack == spec.data_rack;
        if near {
            score += self.scores_for(worker).data_locality();
        }
        let step_of = |task: &TaskId| {
            self.jobs.get(&task.job).and_then(|job| job.step_spec(task))
        };
        let others = worker.runs.keys().filter_map(step_of);
        let disturbing = if !policy.keeps_apart {
            0
        } else if spec.best_effort {
            others.filter(|other| other.has_latency_target()).count()
        } else if spec.has_latency_target() {
            others
                .filter(|other| {
                    other.best_effort || other.has_latency_target()
                })
                .count()
        } else {
            0
        };
        let long = |spec: &StepSpec| spec.long_running;
        if policy.keeps_together
            && spec.long_running
            && worker.runs.keys().filter_map(step_of).any(long)
        {
            score += self.scores_for(worker).colocation();
        }
        if disturbing > 0 {
            let penalty = self.scores_for(worker).interference();
            score -= penalty.saturating_mul(disturbing as i64);
        }
        score
    }

    /// Returns what the advantages of a worker are worth in its pool.
    pub(super) fn scores_for(&self, worker: &Worker) -> Scores {
        let factor = self.options.preferred_remote_factor();
        self.scores.in_pool(&worker.listing.pool, factor)
    }

    /// Records a start and returns its order, unless the start must be stored
    /// first.
    fn start(
        &mut self,
        spec: &StepSpec,
        task: &TaskId,
        run: u64,
        worker_id: WorkerId,
        now: Now,
    ) -> Option<Action> {
        let ticket = self.ticket(task, &worker_id, now)?;
        self.release_reservation(task, now);
        let worker = self.workers.get(&worker_id)?;
        // The worker must have reported its clock.
        worker.lease_until_ms(now.steady_ms, &self.options)?;
        let fence = worker.fence();
        let process = worker.listing.incarnation;
        let job = self.jobs.get(&task.job)?;
        let charge = Scheduler::charge_for(job, spec);
        let ordered = Run::ordered(run, fence, demand(spec), now.steady_ms)
            .with_charge(charge)
            .with_long_running(spec.long_running);
        self.charge_start(charge.as_ref());
        let suspicion = self.note_suspect_started(task, now);
        let worker = self.workers.get_mut(&worker_id)?;
        worker.insert(*task, ordered.with_suspicion(suspicion));
        let step = self.jobs.get_mut(&task.job)?.step_mut(task)?;
        step.waiting.remove(&task.index);
        let state = step.tasks.get_mut(task.index as usize)?;
        state.run = run;
        state.workers.push(worker_id.clone());
        state.ordered_process = process;
        let recorded_first = state.crashes.must_record_start_first();
        let start = PlacedStart { worker: worker_id, run, ticket };
        if recorded_first {
            self.withhold(task, start, now);
            return None;
        }
        self.order_start(task, start, now)
    }

    /// Builds the order for a start that has been assigned to a worker.
    pub(super) fn order_start(
        &mut self,
        task: &TaskId,
        start: PlacedStart,
        now: Now,
    ) -> Option<Action> {
        let PlacedStart { worker: worker_id, run, ticket } = start;
        let worker = self.workers.get_mut(&worker_id)?;
        let lease_until_ms =
            worker.lease_until_ms(now.steady_ms, &self.options)?;
        worker.lease_sent(lease_until_ms);
        worker.cold.record_start(now.steady_ms);
        let fence = worker.fence();
        let address = worker.listing.address.clone();
        let process = worker.listing.incarnation;
        let ordered = worker.runs.get_mut(task)?;
        ordered.since_ms = now.steady_ms;
        ordered.moved_ms = now.steady_ms;
        let job = self.jobs.get(&task.job)?;
        let payload = job.payload.clone();
        self.window.sent(1);
        let bytes = self.link.order_bytes() + payload.len() as u64;
        self.link.sent(Class::Start, bytes);
        let step = job.step(task)?;
        let waited_ms = now.steady_ms.saturating_sub(step.ready_ms);
        let checkpoint = job.task(task)?.checkpoint.as_ref().to_owned();
        let cpu_millis = demand(job.step_spec(task)?).cpu_millis;
        let cancellations = self.cancellation_view.view();
        self.note(Decision::Started {
            task: *task,
            run,
            worker: worker_id.clone(),
            waited_ms,
            cpu_millis,
            cancellations,
            cancellations_age_ms: cancellations.age_ms(now.steady_ms),
            renewal_age_ms: self.own_lease.renewal_age_ms(now),
        });
        let order = StartOrder {
            task: *task,
            run,
            payload,
            lease_until_ms,
            fence,
            checkpoint,
            ticket,
            process,
            is_for_process_only: self.own_lease.is_detached(),
        };
        Some(Action::Start { worker: worker_id, address, order })
    }
}

/// Returns whether a worker has the label that a step requires, if any.
pub(super) fn has_label(worker: &Worker, label: &str) -> bool {
    label.is_empty() || worker.listing.labels.iter().any(|l| l == label)
}
