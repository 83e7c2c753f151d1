use {
    crate::{
        fields::UnknownFields,
        job::{JobId, JobSpec, Phase, Progress, StepSpec, TaskId, TaskRecord},
        quota::TeamNumber,
        schedule::{
            Incarnation, QueueTerms, Resources, WorkerId,
            in_doubt::StartsInDoubt, own_lease::Detachment,
            step_graph::StepGraph, suspects::CrashHistory,
        },
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// How long before it is due a round is built, in milliseconds: longer than
/// anything is planned ahead, and than clocks of holders differ.
const ROUND_LOOKAHEAD_MS: u64 = 60_000;

/// An open job in the memory of the lease holder.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) payload: Arc<str>,
    pub(crate) terms: QueueTerms,
    /// The team whose quota its tasks count against.
    pub(crate) team: Option<TeamNumber>,
    /// Whether the team had submitted more than its share before this job.
    pub(crate) over_share: bool,
    /// The name of that team; empty for none.
    pub(crate) team_name: Arc<str>,
    /// The revision of the store at which the job was accepted.
    pub(crate) revision: u64,
    /// In which time without a valid lease the job became known.
    pub(crate) known_in: Detachment,
    pub(crate) accepted_at_ms: u64,
    pub(crate) phase: Phase,
    pub(crate) finished_at_ms: u64,
    /// The rounds that are due or will be soon, and those of which something
    /// is known. A round that isn't due takes no memory: a schedule may have
    /// thousands of them.
    pub(crate) rounds: Vec<Vec<Step>>,
    /// Whether a former holder may have started the rounds that are due.
    may_have_begun: bool,
    /// The order of its steps.
    pub(crate) graph: StepGraph,
    /// The number of the newest change that is in the store.
    pub(crate) stored_sequence: u64,
    /// Fields that a newer version has stored and this version doesn't know.
    pub(crate) other: UnknownFields,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// The tasks that are neither done nor on any worker.
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) done: usize,
    /// Since when all preceding steps are done; 0 if they aren't.
    pub(crate) ready_ms: u64,
    /// The number of preceding steps that aren't done.
    unfinished_before: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// The numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u64>,
    /// The highest run number used so far.
    pub(crate) run: u64,
    /// The highest run number of a run that has ended.
    pub(crate) ended_run: u64,
    /// The last checkpoint that a worker reported; empty for none.
    pub(crate) checkpoint: Arc<str>,
    pub(crate) workers: Vec<WorkerId>,
    /// The worker process to which the last start was ordered.
    pub(crate) ordered_process: Incarnation,
    /// The workers on which the task failed.
    pub(crate) avoid: Vec<WorkerId>,
    /// Since when it has been waiting again after a run; 0 if it has had none.
    pub(crate) waits_since_ms: u64,
    /// In which time without a valid lease a run of it was last lost without a
    /// reported end.
    pub(crate) lost_in: Detachment,
    /// How often its runs have stalled.
    pub(crate) stalls: u32,
    /// The consecutive losses of workers while they ran the task.
    pub(crate) crashes: CrashHistory,
    /// The starts whose orders got no answer and may still be carried out.
    pub(crate) in_doubt: StartsInDoubt,
    /// Fields that a newer version has stored and this version doesn't know.
    pub(crate) other: UnknownFields,
}

impl Job {
    pub(crate) fn new(
        spec: JobSpec,
        terms: QueueTerms,
        revision: u64,
        accepted_at_ms: u64,
    ) -> Job {
        let graph = StepGraph::new(&spec);
        let is_repeated = spec.repeat.is_some();
        let mut job = Job {
            payload: Arc::from(spec.payload.as_str()),
            rounds: Vec::new(),
            may_have_begun: false,
            graph,
            spec: Arc::new(spec),
            terms,
            team: None,
            over_share: false,
            team_name: Arc::default(),
            revision,
            known_in: 0,
            accepted_at_ms,
            phase: Phase::Queued,
            finished_at_ms: 0,
            stored_sequence: 0,
            other: UnknownFields::default(),
        };
        if !is_repeated {
            job.build_round(0);
        }
        job
    }

    /// Builds the rounds up to this one, unless they are or the job has fewer.
    pub(crate) fn build_round(&mut self, round: u32) {
        let rounds = self.spec.rounds().min(round.saturating_add(1)) as usize;
        while self.rounds.len() < rounds {
            let steps = self.spec.steps.iter().enumerate();
            let steps = steps.map(|(step, spec)| {
                let before = self.graph.dependencies(step).len();
                let mut built = Step::new(spec, before);
                if self.may_have_begun && before == 0 {
                    built.mark_may_have_begun();
                }
                built
            });
            let steps = steps.collect();
            self.rounds.push(steps);
        }
    }

    /// Returns whether a round of the job isn't built yet.
    pub(crate) fn lacks_round(&self, round: u32) -> bool {
        round < self.spec.rounds() && round as usize >= self.rounds.len()
    }

    /// Builds the rounds that are due or will be soon. Returns when this is to
    /// be done again, in milliseconds of the Unix epoch; `None` for never.
    pub(crate) fn build_due_rounds(&mut self, unix_ms: u64) -> Option<u64> {
        let until_ms = unix_ms.saturating_add(ROUND_LOOKAHEAD_MS);
        let next_due_ms = loop {
            let next = self.rounds.len() as u32;
            if next >= self.spec.rounds() {
                break None;
            }
            let due_ms = self.spec.due_ms(next);
            if due_ms > until_ms {
                break Some(due_ms);
            }
            self.build_round(next);
        };
        // No former holder can have started what is due later.
        self.may_have_begun = false;
        next_due_ms.map(|due_ms| due_ms - ROUND_LOOKAHEAD_MS)
    }

    /// Sets the team whose quota the tasks count against.
    pub(crate) fn with_team(mut self, number: TeamNumber, name: &str) -> Job {
        self.team = Some(number);
        self.team_name = Arc::from(name);
        self
    }

    /// Restores what a former lease holder stored.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.phase = progress.phase;
        self.finished_at_ms = progress.finished_at_ms;
        self.other = progress.other.clone();
        for record in &progress.tasks {
            self.build_round(record.round);
            let rounds = &mut self.rounds;
            let step = rounds
                .get_mut(record.round as usize)
                .and_then(|steps| steps.get_mut(record.step as usize));
            let Some(step) = step else { continue };
            step.restore(record);
            if record.done {
                self.mark_done(record.round, record.step, record.index);
            }
        }
    }

    /// Marks a task as done. With the last one of its step, the steps that
    /// wait for that one have one less to wait for.
    pub(crate) fn mark_done(&mut self, round: u32, step: u32, index: u32) {
        let step = step as usize;
        let Some(steps) = self.rounds.get_mut(round as usize) else { return };
        let Some(state) = steps.get_mut(step) else { return };
        let is_new = state.mark_done(index);
        if is_new && state.is_done() {
            for later in self.graph.dependents(step) {
                steps[*later].unfinished_before -= 1;
            }
        }
    }

    /// Records that a former lease holder may have started all tasks that are
    /// ready.
    pub(crate) fn mark_may_have_begun(&mut self) {
        self.may_have_begun = true;
        let steps = self.rounds.iter_mut().flatten();
        for step in steps.filter(|step| step.unfinished_before == 0) {
            step.mark_may_have_begun();
        }
    }

    /// Returns the progress that a later lease holder has to know.
    pub(crate) fn progress(&self) -> Progress {
        let mut tasks = Vec::new();
        for (round, steps) in (0..).zip(&self.rounds) {
            for (step, state) in (0..).zip(steps) {
                let records = state.records(round, step);
                tasks.extend(records);
            }
        }
        // For a finished job only its outcome counts.
        if self.phase.is_final() {
            tasks.clear();
        }
        Progress {
            phase: self.phase,
            finished_at_ms: self.finished_at_ms,
            team: self.team_name.as_ref().to_owned(),
            tasks,
            other: self.other.clone(),
        }
    }

    pub(crate) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.spec.steps.get(task.step as usize)
    }

    pub(crate) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.rounds.get(task.round as usize)?.get(task.step as usize)
    }

    pub(crate) fn step_mut(&mut self, task: &TaskId) -> Option<&mut Step> {
        self.build_round(task.round);
        let steps = self.rounds.get_mut(task.round as usize)?;
        steps.get_mut(task.step as usize)
    }

    pub(crate) fn task(&self, task: &TaskId) -> Option<&Task> {
        self.step(task)?.tasks.get(task.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task: &TaskId) -> Option<&mut Task> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Returns whether all preceding steps are done and the round is due.
    pub(crate) fn is_ready(
        &self,
        round: usize,
        step: usize,
        unix_ms: u64,
    ) -> bool {
        self.rounds[round][step].unfinished_before == 0
            && unix_ms >= self.spec.due_ms(round as u32)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.rounds.len() == self.spec.rounds() as usize
            && self.rounds.iter().flatten().all(Step::is_done)
    }

    /// Returns when a step must be done for the job to meet its objective, in
    /// milliseconds of the Unix epoch.
    pub(crate) fn objective_ms(&self, round: usize) -> u64 {
        let due = self.spec.due_ms(round as u32).max(self.accepted_at_ms);
        let longest_ms = self.graph.longest_path_ms();
        due.saturating_add(self.terms.objective_ms(longest_ms))
    }

    /// Returns all tasks with their identifiers.
    pub(crate) fn tasks(
        &self,
        id: JobId,
    ) -> impl Iterator<Item = (TaskId, &Task)> {
        (0..).zip(&self.rounds).flat_map(move |(round, steps)| {
            (0..).zip(steps).flat_map(move |(step, state)| {
                (0..).zip(&state.tasks).map(move |(index, task)| {
                    (TaskId { job: id, round, step, index }, task)
                })
            })
        })
    }

    /// Returns all tasks that are on workers, once for each worker.
    pub(crate) fn placements(
        &self,
        id: JobId,
    ) -> impl Iterator<Item = (TaskId, &WorkerId)> {
        self.tasks(id).flat_map(|(id, task)| {
            task.workers.iter().map(move |worker| (id, worker))
        })
    }
}

impl Step {
    fn new(spec: &StepSpec, unfinished_before: usize) -> Step {
        Step {
            tasks: vec![Task::default(); spec.count as usize],
            waiting: (0..spec.count).collect(),
            done: 0,
            ready_ms: 0,
            unfinished_before,
        }
    }

    /// Records that a former lease holder may have started all tasks.
    fn mark_may_have_begun(&mut self) {
        for task in &mut self.tasks {
            task.crashes.may_have_started = true;
        }
    }

    /// Marks a task as done; returns whether it wasn't before.
    fn mark_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if std::mem::replace(&mut task.done, true) {
            return false;
        }
        self.done += 1;
        self.waiting.remove(&index);
        true
    }

    fn restore(&mut self, record: &TaskRecord) {
        let Some(task) = self.tasks.get_mut(record.index as usize) else {
            return;
        };
        task.failed_runs.clone_from(&record.failed_runs);
        task.run = record.run;
        task.ended_run = record.run;
        task.checkpoint = record.checkpoint.clone();
        task.crashes = CrashHistory::restored(record);
        task.in_doubt = StartsInDoubt::restored(&record.in_doubt);
        task.other = record.other.clone();
    }

    fn records(
        &self,
        round: u32,
        step: u32,
    ) -> impl Iterator<Item = TaskRecord> {
        let tasks = (0..).zip(&self.tasks);
        let known = |task: &Task| {
            task.ended_run > 0
                || task.done
                || task.crashes.is_on_record()
                || !task.in_doubt.is_empty()
                || !task.other.is_empty()
        };
        tasks.filter(move |(_, task)| known(task)).map(move |(index, task)| {
            TaskRecord {
                round,
                step,
                index,
                done: task.done,
                failed_runs: task.failed_runs.clone(),
                run: task.ended_run,
                crashes: if task.done { 0 } else { task.crashes.count },
                unseen: if task.done {
                    0
                } else {
                    task.crashes.unseen_on_record()
                },
                told: task.recorded_worker(),
                told_born_unix_ms: task.recorded_process(),
                checkpoint: if task.done {
                    Arc::default()
                } else {
                    task.checkpoint.clone()
                },
                in_doubt: if task.done {
                    Vec::new()
                } else {
                    task.in_doubt.records()
                },
                other: task.other.clone(),
            }
        })
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

impl Task {
    /// Returns the worker that was ordered to start a run that a later lease
    /// holder has to know, or an empty string if none was ordered yet. Returns
    /// `None` if there is no such run.
    fn recorded_worker(&self) -> Option<String> {
        let recorded = !self.done && self.crashes.has_recorded_run();
        let ordered = || self.workers.last().map_or("", WorkerId::as_str);
        recorded.then(|| ordered().to_owned())
    }

    /// Returns when the process of that worker was started, in milliseconds of
    /// the Unix epoch, if it reports that.
    fn recorded_process(&self) -> Option<u64> {
        let recorded = !self.done && self.crashes.has_recorded_run();
        let process = self.ordered_process.started_unix_ms();
        process.filter(|_| recorded && !self.workers.is_empty())
    }
}

/// Returns the resources that a task of the step takes on a worker.
pub(crate) fn demand(spec: &StepSpec) -> Resources {
    // Best-effort tasks use only the processor time that other tasks leave.
    let cpu_millis = if spec.best_effort { 0 } else { spec.cpu_millis };
    Resources { cpu_millis, memory_mb: spec.memory_mb, gpus: spec.gpus }
}
