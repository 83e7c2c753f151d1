/*!
A pool's document: its VMs, its tasks and its waves.
*/

use {
    super::{
        controller::Controller,
        documents::{Update, Verdict},
        drain::LET_GO_MS,
        workers::SILENCE_MS,
    },
    crate::{clock, counters, view::View},
    dewspar::{
        budget,
        config::{Kind, Spec},
        fleet::{Row, VmState},
        place::{self, Step as PlaceStep},
        pool::{PoolState, Reason, TaskState},
    },
    dewspar_platform::{Error, KeyValue, TaskStart, Workers},
    slog::debug,
};

impl<K: KeyValue, W: Workers> Controller<K, W> {
    /// Takes every step that is due for one pool.
    pub(super) async fn step_pool(
        &mut self,
        view: &View,
        pool: &str,
    ) -> Result<(), Error> {
        self.ask_workers(view, pool);
        self.step_failures(view, pool).await?;
        let view = &self.merged();
        self.step_members(view, pool).await?;
        let view = &self.merged();
        self.step_tasks(view, pool).await?;
        let view = &self.merged();
        self.start_tasks(view, pool);
        self.stop_strays(view, pool);
        self.step_waves(view, pool).await
    }

    fn ask_workers(&mut self, view: &View, pool: &str) {
        let now_ms = clock::now_ms();
        let state = view.pools.get(pool);
        for (vm, row) in view.pool_rows(pool) {
            let starting = state.is_some_and(|state| {
                state
                    .value
                    .tasks_on(vm)
                    .any(|(_, task)| task.state() == TaskState::Starting)
            });
            let busy = starting || row.state() == VmState::Rebooting;
            self.workers.ask(vm, row, busy, now_ms);
        }
    }

    /// Records VMs that fell silent, and those that came back.
    async fn step_failures(
        &mut self,
        view: &View,
        pool: &str,
    ) -> Result<(), Error> {
        let now_ms = clock::now_ms();
        for (vm, row) in view.pool_rows(pool) {
            let silent = self.workers.silent_ms(vm, now_ms) >= SILENCE_MS;
            match row.state() {
                VmState::Serving | VmState::Draining if silent => {
                    self.move_vm(view, vm, "lose").await?;
                }
                VmState::Lost if self.is_back(view, vm, row) => {
                    self.move_vm(view, vm, "return").await?;
                }
                _ => {}
            }
        }
        let view = &self.merged();
        let unix_ms = clock::unix_ms();
        let lost_and_found = |state: &mut PoolState| {
            let mut changed = false;
            for (vm, row) in view.pool_rows(pool) {
                let lost = row.state() == VmState::Lost;
                let failed = taken_for(state, vm) == Some(&Reason::Failure);
                if lost && !failed {
                    state.take(vm, Reason::Failure, unix_ms);
                    changed = true;
                } else if !lost && failed {
                    changed |= state.release(vm);
                }
            }
            Verdict::from(changed)
        };
        self.update_pool(view, pool, "failure", lost_and_found).await
    }

    /// Returns whether a lost VM answers again since it was lost.
    fn is_back(&self, view: &View, vm: &str, row: &Row) -> bool {
        let listed = view.listed.is_live(vm);
        let now_ms = clock::now_ms();
        let lost_ms = clock::unix_ms().saturating_sub(row.since_ms());
        let report = self.workers.get(vm).and_then(|k| k.report.as_ref());
        let heard = report.is_some_and(|(asked_ms, _)| {
            now_ms.saturating_sub(*asked_ms) < lost_ms
        });
        listed && heard && self.workers.silent_ms(vm, now_ms) == 0
    }

    /// Brings VMs into the pool that should be in it, and others out.
    async fn step_members(
        &mut self,
        view: &View,
        pool: &str,
    ) -> Result<(), Error> {
        let config = &view.config.value;
        let wanted = config.pool(pool).map(|spec| spec.vms.as_slice());
        let wanted = wanted.unwrap_or_default();
        for vm in wanted {
            let free = view.row(vm).is_some_and(|row| {
                row.state() == VmState::Free && row.pool().is_none()
            });
            if free && view.listed.is_live(vm) {
                self.change_vm(view, vm, "join", |hall, now_ms| {
                    hall.assign(vm, Some(pool), now_ms).is_ok()
                })
                .await?;
            }
        }
        let leaving: Vec<(&str, &Row)> = view
            .pool_rows(pool)
            .into_iter()
            .filter(|(vm, _)| !wanted.iter().any(|wanted| wanted == vm))
            .collect();
        for (vm, row) in leaving {
            self.step_leaving(view, pool, vm, row).await?;
        }
        Ok(())
    }

    async fn step_leaving(
        &mut self,
        view: &View,
        pool: &str,
        vm: &str,
        row: &Row,
    ) -> Result<(), Error> {
        let state = view.pools.get(pool);
        let taken = state.is_some_and(|state| state.value.is_taken(vm));
        match row.state() {
            VmState::Serving if !taken => {
                self.take(view, pool, vm, Reason::Move).await
            }
            VmState::Serving => {
                self.move_vm(view, vm, "drain").await?;
                Ok(())
            }
            VmState::Draining if self.is_drained(view, vm, row) => {
                self.leave(view, pool, vm).await
            }
            VmState::Lost => self.leave(view, pool, vm).await,
            _ => Ok(()),
        }
    }

    /// Takes a VM out of the pool, and out of its ledger.
    async fn leave(
        &mut self,
        view: &View,
        pool: &str,
        vm: &str,
    ) -> Result<(), Error> {
        self.change_vm(view, vm, "leave", |hall, now_ms| {
            hall.assign(vm, None, now_ms).is_ok()
        })
        .await?;
        let release = |state: &mut PoolState| Verdict::from(state.release(vm));
        self.update_pool(view, pool, "release", release).await
    }

    /// Takes a VM in the ledger if every budget holds without it.
    pub(super) async fn take(
        &mut self,
        view: &View,
        pool: &str,
        vm: &str,
        reason: Reason,
    ) -> Result<(), Error> {
        let rows = view.pool_rows(pool);
        let now_ms = clock::unix_ms();
        let decide = |state: &mut PoolState| {
            let config = &view.config.value;
            // Decided on the very document that is swapped.
            let verdict = budget::may_take(config, pool, state, &rows, vm);
            if verdict != budget::Verdict::Yes {
                return Verdict::Leave;
            }
            state.take(vm, reason.clone(), now_ms);
            Verdict::Write
        };
        self.update_pool(view, pool, "take", decide).await
    }

    /// Places what waits, moves what must move, restarts what was lost.
    async fn step_tasks(
        &mut self,
        view: &View,
        pool: &str,
    ) -> Result<(), Error> {
        let rows = view.pool_rows(pool);
        let now_ms = clock::unix_ms();
        let config = &view.config.value;
        let usage = &self.usage;
        let workers = &self.workers;
        let decide = |state: &mut PoolState| {
            let mut changed = take_in_reports(state, &rows, workers, now_ms);
            for step in place::plan(config, pool, state, &rows, usage) {
                // What a VM carries whose row can't be read may run there.
                let task = state.task(step.task());
                if task.is_some_and(|t| view.has_unreadable_row(t.vm())) {
                    continue;
                }
                changed |= apply(state, step, now_ms);
            }
            Verdict::from(changed)
        };
        // The closure borrows parts of self that the update doesn't need.
        let update = self.documents.update_pool(view, pool, decide).await?;
        if update == Update::Written {
            counters::count_by(counters::FLEET_STEPS, "step", "place");
            debug!(self.log, "fleet: tasks placed"; "pool" => pool);
        }
        Ok(())
    }

    /// Asks workers to start what was placed on them.
    fn start_tasks(&mut self, view: &View, pool: &str) {
        let Some(state) = view.pools.get(pool) else { return };
        for (name, task) in state.value.tasks() {
            if task.state() != TaskState::Starting {
                continue;
            }
            let Some(row) = view.row(task.vm()) else { continue };
            let sizes = start_of(view, task.owner());
            let start = TaskStart {
                task: name.to_owned(),
                epoch: task.epoch(),
                ..sizes
            };
            self.workers.start(pool, row, start);
        }
    }

    /// Stops what runs on workers and should not, once nobody can use it.
    fn stop_strays(&mut self, view: &View, pool: &str) {
        let Some(state) = view.pools.get(pool) else { return };
        let now_ms = clock::now_ms();
        for (vm, row) in view.pool_rows(pool) {
            let report = self.workers.get(vm).and_then(|k| k.report.clone());
            let Some((_, report)) = report else { continue };
            for running in &report.tasks {
                let task = state.value.task(&running.task);
                let wanted = task.is_some_and(|task| {
                    task.vm() == vm
                        && task.epoch() == running.epoch
                        && task.state() != TaskState::Finished
                });
                let key = format!("{vm} {} {}", running.task, running.epoch);
                if wanted {
                    self.strays_since_ms.remove(&key);
                    continue;
                }
                let since_ms =
                    *self.strays_since_ms.entry(key).or_insert(now_ms);
                let is_job = running.address.is_empty();
                if is_job || now_ms > since_ms + LET_GO_MS {
                    self.workers.stop(row, &running.task, running.epoch);
                }
            }
        }
    }

    pub(super) fn is_drained(
        &mut self,
        view: &View,
        vm: &str,
        row: &Row,
    ) -> bool {
        let hall = view.halls.get(row.hall());
        let version = hall.map_or(u64::MAX, |hall| hall.version);
        self.drains.is_drained(vm, version, row.since_ms())
    }

    pub(super) async fn update_pool(
        &mut self,
        view: &View,
        pool: &str,
        step: &'static str,
        decide: impl FnMut(&mut PoolState) -> Verdict,
    ) -> Result<(), Error> {
        let update = self.documents.update_pool(view, pool, decide).await?;
        if update == Update::Written {
            counters::count_by(counters::FLEET_STEPS, "step", step);
        }
        Ok(())
    }
}

fn taken_for<'a>(state: &'a PoolState, vm: &str) -> Option<&'a Reason> {
    let mut taken = state.taken();
    taken.find(|(name, _)| *name == vm).map(|(_, taken)| taken.reason())
}

/// Records what workers report of the pool's tasks.
fn take_in_reports<W: Workers>(
    state: &mut PoolState,
    rows: &[(&str, &Row)],
    workers: &super::workers::WorkerCalls<W>,
    now_ms: u64,
) -> bool {
    let mut changed = false;
    for (vm, row) in rows {
        if row.state() != VmState::Serving {
            continue;
        }
        let known = workers.get(vm).and_then(|known| known.report.as_ref());
        let Some((asked_ms, report)) = known else { continue };
        let age_ms = clock::now_ms().saturating_sub(*asked_ms);
        let asked_unix_ms = now_ms.saturating_sub(age_ms);
        let tasks: Vec<(String, u64, u64)> = state
            .tasks_on(vm)
            .filter(|(_, task)| task.state() == TaskState::Running)
            .map(|(name, t)| (name.to_owned(), t.epoch(), t.since_ms()))
            .collect();
        for (name, epoch, since_ms) in tasks {
            let reported = report
                .tasks
                .iter()
                .find(|r| r.task == name && r.epoch == epoch);
            match reported {
                Some(reported) if reported.finished => {
                    changed |= state.finished(&name, epoch, now_ms).is_ok();
                }
                Some(_) => {}
                // The worker was asked after the start and doesn't know it.
                None if !report.is_partial
                    && asked_unix_ms > since_ms + MARGIN_MS =>
                {
                    changed |= restart(state, &name, vm, now_ms);
                }
                None => {}
            }
        }
    }
    changed
}

/// How much later than a start a report must be to speak of it, in
/// milliseconds.
const MARGIN_MS: u64 = 200;

fn restart(state: &mut PoolState, name: &str, vm: &str, now_ms: u64) -> bool {
    let owner = state.task(name).map(|task| task.owner().to_owned());
    owner.is_some_and(|owner| state.place(name, &owner, vm, now_ms).is_ok())
}

/// Applies a step of a placement plan; returns whether that changed it.
pub(super) fn apply(
    state: &mut PoolState,
    step: PlaceStep,
    now_ms: u64,
) -> bool {
    match step {
        PlaceStep::Place { task, owner, vm } => {
            state.place(&task, &owner, &vm, now_ms).is_ok()
        }
        PlaceStep::Wait { task, owner, why } => {
            state.set_waiting(&task, &owner, &why, now_ms)
        }
        PlaceStep::Unplace { task, why } => {
            state.unplace(&task, &why, now_ms).is_ok()
        }
        PlaceStep::Remove { task } => state.remove(&task),
    }
}

/// Returns an order to start a task of this service or job, without a name.
fn start_of(view: &View, owner: &str) -> TaskStart {
    let config = &view.config.value;
    let empty = TaskStart {
        task: String::new(),
        epoch: 0,
        slots: 0,
        connections: 0,
        run_ms: 0,
    };
    if let Some(service) = config.service(owner) {
        let (slots, connections) = (service.slots, service.connections);
        return TaskStart { slots, connections, ..empty };
    }
    match config.get(Kind::Job, owner).map(|job| job.spec()) {
        Some(Spec::Job(job)) => TaskStart { run_ms: job.run_ms, ..empty },
        _ => empty,
    }
}
