/*!
What the nodes' logs say of each job, of who scheduled, and of the pools.
*/

use {
    crate::log_line::Line,
    std::collections::{BTreeMap, BTreeSet},
};

/// A time in milliseconds of the Unix epoch.
pub type Ms = i64;

/// A stretch of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// When it begins.
    pub from_ms: Ms,
    /// When it is over.
    pub to_ms: Ms,
}

impl Span {
    /// Returns whether a time lies within the span.
    pub fn contains(&self, at_ms: Ms) -> bool {
        self.from_ms <= at_ms && at_ms < self.to_ms
    }
}

/// One try of a caller to hand a job in.
#[derive(Clone, Debug)]
pub struct Try {
    /// From when it came to when it was answered.
    pub span: Span,
    /// What the caller was told.
    pub outcome: String,
}

/// One run of a task.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// The task.
    pub task: String,
    /// How long the task had been ready, and then the run.
    pub waited: Span,
    /// From its order to its end; open ones end with the logs.
    pub ran: Span,
    /// How it ended; empty for an open one.
    pub cause: String,
    /// Whether an earlier run of the task had begun before.
    pub again: bool,
    /// What it took, in thousandths of a core.
    pub cpu_millis: u64,
    /// How long it worked, where that is known.
    pub worked_ms: Option<Ms>,
}

impl TaskRun {
    /// Returns when its work was done: at its end, or before it if its worker
    /// couldn't report the end for a while.
    pub fn done_ms(&self) -> Ms {
        let worked = self.worked_ms.map(|worked| self.ran.from_ms + worked);
        worked.map_or(self.ran.to_ms, |done_ms| done_ms.min(self.ran.to_ms))
    }

    fn work_ms(&self) -> Ms {
        self.done_ms() - self.ran.from_ms
    }
}

/// What the logs say of one job.
#[derive(Clone, Debug, Default)]
pub struct JobHistory {
    /// Its queue.
    pub queue: String,
    /// Its pool; empty where no holder saw it.
    pub pool: String,
    /// What it may take beyond its work, in milliseconds.
    pub target_latency_ms: u64,
    /// What it may take for its work, as a multiple of the longest chain.
    pub stretch: f64,
    /// Whether it ends by itself, once; `None` where no holder saw it.
    pub is_short: Option<bool>,
    /// How long its caller waits for it to be accepted, in milliseconds.
    pub patience_ms: u64,
    /// The tries to hand it in, in the order of their time.
    pub tries: Vec<Try>,
    /// When a holder first knew it.
    pub taken_in_ms: Option<Ms>,
    /// Its runs, in the order of their starts.
    pub runs: Vec<TaskRun>,
    /// When it was over, and how.
    pub over: Option<(Ms, String)>,
    /// When a caller was first told that it was over.
    pub told_ms: Option<Ms>,
}

/// When the runs of a step began and ended, and the longest work of one.
#[derive(Clone, Copy, Debug)]
struct StepTimes {
    from_ms: Ms,
    to_ms: Ms,
    work_ms: Ms,
}

impl JobHistory {
    /// Ends the runs whose end no node logged: with the job, with the next
    /// run of their task, or with the logs.
    fn close_runs(&mut self, end_ms: Ms) {
        let over_ms = self.over.as_ref().map_or(end_ms, |(at_ms, _)| *at_ms);
        let mut next: BTreeMap<String, Ms> = BTreeMap::new();
        for run in self.runs.iter_mut().rev() {
            if run.ran.to_ms == Ms::MAX {
                let next_ms = next.get(&run.task).copied();
                run.ran.to_ms = next_ms.unwrap_or(over_ms).min(over_ms);
            }
            next.insert(run.task.clone(), run.ran.from_ms);
        }
    }

    /// Returns when a caller first tried to hand it in.
    pub fn first_ms(&self) -> Option<Ms> {
        self.tries.iter().map(|t| t.span.from_ms).min()
    }

    /// Returns the try that was accepted first.
    pub fn accepted(&self) -> Option<&Try> {
        self.tries.iter().find(|t| t.outcome == "accepted")
    }

    /// Returns the longest chain of its work by the runs that ended well, in
    /// milliseconds: a step follows those that had ended when it began.
    pub fn chain_ms(&self) -> Ms {
        let mut steps: BTreeMap<&str, StepTimes> = BTreeMap::new();
        for run in self.runs.iter().filter(|run| run.cause == "done") {
            let (from_ms, to_ms) = (run.ran.from_ms, run.ran.to_ms);
            let work_ms = run.work_ms();
            let step = steps.entry(step_of(&run.task)).or_insert(StepTimes {
                from_ms,
                to_ms,
                work_ms,
            });
            step.from_ms = step.from_ms.min(from_ms);
            step.to_ms = step.to_ms.max(to_ms);
            step.work_ms = step.work_ms.max(work_ms);
        }
        let mut steps: Vec<StepTimes> = steps.into_values().collect();
        steps.sort_by_key(|step| step.from_ms);
        let mut chains: Vec<(Ms, Ms)> = Vec::new();
        for StepTimes { from_ms, to_ms, work_ms } in steps {
            let before =
                chains.iter().filter(|(end_ms, _)| *end_ms <= from_ms);
            let longest = before.map(|(_, chain_ms)| *chain_ms).max();
            chains.push((to_ms, longest.unwrap_or(0) + work_ms));
        }
        chains.into_iter().map(|(_, chain_ms)| chain_ms).max().unwrap_or(0)
    }

    /// Returns when callers could know that it was over: when one was first
    /// told, or at its end if none asked.
    pub fn known_ms(&self) -> Option<Ms> {
        let (over_ms, _) = self.over.as_ref()?;
        Some(self.told_ms.unwrap_or(*over_ms).max(*over_ms))
    }

    /// Returns by when it had to be over to be on time.
    pub fn due_ms(&self) -> Option<Ms> {
        // OK to truncate: chains are far below 2^53 ms.
        let work_ms = (self.stretch * self.chain_ms() as f64) as Ms;
        Some(self.first_ms()? + self.target_latency_ms as Ms + work_ms)
    }
}

/// Returns what names a task's step: all but the index of the task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// How many VMs the pools had.
#[derive(Clone, Debug)]
pub struct PoolSizes {
    /// When the list was read.
    pub at_ms: Ms,
    /// VMs that are paid for: in pools that aren't switched off, or moving.
    pub held: u64,
    /// The pools to which VMs were on their way.
    pub growing: BTreeSet<String>,
}

/// What the logs of all nodes say.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Each job that was handed in.
    pub jobs: BTreeMap<String, JobHistory>,
    /// When nobody scheduled.
    pub without_holder: Vec<Span>,
    /// When any node stored a job.
    pub accepts_ms: Vec<Ms>,
    /// The pools, each time that their sizes changed.
    pub pools: Vec<PoolSizes>,
    /// What one VM has, in thousandths of a core.
    pub vm_cpu_millis: u64,
    /// When the last line was written.
    pub end_ms: Ms,
}

impl History {
    /// Reads the logs of all nodes, in any order.
    ///
    /// Lines that aren't JSON objects with a time and a message are passed
    /// over.
    pub fn read<'a>(lines: impl IntoIterator<Item = &'a str>) -> History {
        let mut lines: Vec<(Ms, Line)> = lines
            .into_iter()
            .filter_map(Line::read)
            .filter_map(|line| Some((line.at_ms()?, line)))
            .collect();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let mut reader = Reader::default();
        for (at_ms, line) in &lines {
            reader.take(*at_ms, line);
        }
        let (begin, end) = (lines.first(), lines.last());
        let whole = Span {
            from_ms: begin.map_or(0, |(at_ms, _)| *at_ms),
            to_ms: end.map_or(0, |(at_ms, _)| *at_ms),
        };
        reader.finish(whole)
    }

    /// Returns whether somebody scheduled at a time.
    pub fn has_holder(&self, at_ms: Ms) -> bool {
        !self.without_holder.iter().any(|span| span.contains(at_ms))
    }

    /// Returns whether VMs were on their way to a pool at a time.
    pub fn is_growing(&self, pool: &str, at_ms: Ms) -> bool {
        let newest = self.pools.iter().rfind(|sizes| sizes.at_ms <= at_ms);
        newest.is_some_and(|sizes| sizes.growing.contains(pool))
    }

    /// Returns how many VM-seconds were paid for.
    pub fn held_vm_s(&self) -> f64 {
        let ends = self.pools.iter().skip(1).map(|sizes| sizes.at_ms);
        let ends = ends.chain([self.end_ms]);
        let spans = self.pools.iter().zip(ends);
        spans
            .map(|(sizes, to_ms)| {
                sizes.held as f64 * (to_ms - sizes.at_ms) as f64 / 1_000.0
            })
            .fold(0.0, |sum, held_vm_s| sum + held_vm_s)
    }

    /// Returns how many VM-seconds the runs would fill without a gap.
    pub fn used_vm_s(&self) -> f64 {
        let runs = self.jobs.values().flat_map(|job| &job.runs);
        let work: f64 = runs
            .map(|run| {
                let ran_ms = (run.ran.to_ms - run.ran.from_ms) as f64;
                run.cpu_millis as f64 * ran_ms / 1_000.0
            })
            // From 0.0: the sum of no floats is -0.0.
            .fold(0.0, |sum, work| sum + work);
        work / self.vm_cpu_millis.max(1) as f64
    }
}

/// Takes in lines in the order of their time.
#[derive(Debug, Default)]
struct Reader {
    history: History,
    /// Nodes that schedule, by their own account.
    holders: BTreeSet<String>,
    /// Since when nobody does.
    nobody_since_ms: Option<Ms>,
    /// The runs that go on, by task and number.
    open: BTreeMap<(String, u64), (String, usize)>,
}

impl Reader {
    fn take(&mut self, at_ms: Ms, line: &Line) {
        match line.message() {
            "call: answered" => self.take_call(at_ms, line),
            "job: taken in" => self.take_job(at_ms, line),
            "task: start ordered" => self.take_start(at_ms, line),
            "task: ended" => self.take_end(at_ms, line, line.text("cause")),
            "task: run lost" => self.take_end(at_ms, line, "lost"),
            "job: came to its end" => {
                let phase = line.text("phase").to_owned();
                let job = self.job(line);
                job.over.get_or_insert((at_ms, phase));
            }
            "election: this node schedules" => {
                self.holders.insert(line.node().to_owned());
                if let Some(from_ms) = self.nobody_since_ms.take() {
                    let span = Span { from_ms, to_ms: at_ms };
                    self.history.without_holder.push(span);
                }
            }
            "election: this node no longer schedules" | "node: started" => {
                let known = self.holders.remove(line.node());
                if known && self.holders.is_empty() {
                    self.nobody_since_ms = Some(at_ms);
                }
            }
            "vms: listed" => self.take_pools(at_ms, line),
            _ => {}
        }
    }

    fn job(&mut self, line: &Line) -> &mut JobHistory {
        let id = line.text("job").to_owned();
        self.history.jobs.entry(id).or_default()
    }

    fn take_call(&mut self, at_ms: Ms, line: &Line) {
        match line.text("operation") {
            "submit" => self.take_try(at_ms, line),
            "status" => self.take_status(at_ms, line),
            _ => {}
        }
    }

    fn take_status(&mut self, at_ms: Ms, line: &Line) {
        if matches!(line.text("outcome"), "completed" | "failed") {
            self.job(line).told_ms.get_or_insert(at_ms);
        }
    }

    fn take_try(&mut self, at_ms: Ms, line: &Line) {
        let from_ms = at_ms - line.number("took_ms") as Ms;
        let outcome = line.text("outcome").to_owned();
        if outcome == "accepted" {
            self.history.accepts_ms.push(at_ms);
        }
        let job = self.job(line);
        job.queue = line.text("queue").to_owned();
        job.patience_ms = job.patience_ms.max(line.number("deadline_ms"));
        let span = Span { from_ms, to_ms: at_ms };
        job.tries.push(Try { span, outcome });
    }

    fn take_job(&mut self, at_ms: Ms, line: &Line) {
        let job = self.job(line);
        job.pool = line.text("pool").to_owned();
        job.target_latency_ms = line.number("target_latency_ms");
        job.stretch = line.float("stretch");
        let long = line.is_true("long_running");
        job.is_short = Some(!long && line.number("rounds") == 1);
        job.taken_in_ms.get_or_insert(at_ms);
    }

    fn take_start(&mut self, at_ms: Ms, line: &Line) {
        let id = line.text("job").to_owned();
        let task = line.text("task").to_owned();
        let job = self.job(line);
        let again = job.runs.iter().any(|run| run.task == task);
        let waited_ms = line.number("waited_ms") as Ms;
        job.runs.push(TaskRun {
            task: task.clone(),
            waited: Span { from_ms: at_ms - waited_ms, to_ms: at_ms },
            ran: Span { from_ms: at_ms, to_ms: Ms::MAX },
            cause: String::new(),
            again,
            cpu_millis: line.number("cpu_millis"),
            worked_ms: None,
        });
        let index = job.runs.len() - 1;
        self.open.insert((task, line.number("run")), (id, index));
    }

    fn take_end(&mut self, at_ms: Ms, line: &Line, cause: &str) {
        let key = (line.text("task").to_owned(), line.number("run"));
        let Some((id, index)) = self.open.remove(&key) else { return };
        let job = self.history.jobs.get_mut(&id);
        if let Some(run) = job.and_then(|job| job.runs.get_mut(index)) {
            run.ran.to_ms = at_ms;
            run.cause = cause.to_owned();
            run.worked_ms = line.known_number("worked_ms").map(|ms| ms as Ms);
        }
    }

    fn take_pools(&mut self, at_ms: Ms, line: &Line) {
        type Lives = BTreeMap<String, u64>;
        // Passed over like any line that can't be read: a pool without VMs
        // would count as one that costs nothing.
        let Ok(pools) = serde_json::from_str::<BTreeMap<String, Lives>>(
            line.text("pools"),
        ) else {
            return;
        };
        let free = match line.text("free_pools") {
            "" => None,
            text => match serde_json::from_str::<Option<Vec<String>>>(text) {
                Ok(free) => free,
                Err(_) => return,
            },
        };
        let free = free.unwrap_or_default();
        let history = &mut self.history;
        history.vm_cpu_millis =
            history.vm_cpu_millis.max(line.number("vm_cpu_millis"));
        let mut sizes = PoolSizes { at_ms, held: 0, growing: BTreeSet::new() };
        for (pool, lives) in pools {
            let moving = lives.get("moving").copied().unwrap_or(0);
            let all: u64 = lives.values().sum();
            let off = free.contains(&pool);
            sizes.held += if off { moving } else { all };
            if moving > 0 && !off {
                sizes.growing.insert(pool);
            }
        }
        history.pools.push(sizes);
    }

    fn finish(mut self, whole: Span) -> History {
        if let Some(from_ms) = self.nobody_since_ms {
            let span = Span { from_ms, to_ms: whole.to_ms };
            self.history.without_holder.push(span);
        }
        for job in self.history.jobs.values_mut() {
            job.close_runs(whole.to_ms);
        }
        self.history.end_ms = whole.to_ms;
        self.history
    }
}
