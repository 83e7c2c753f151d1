use {
    super::{
        documents::{Documents, Verdict},
        drain::{Counted, Drains},
        workers::{Event, WorkerCalls},
    },
    crate::{
        clock, counters,
        dispatch::Dispatchers,
        membership::{FRESH_MS, StandingReader},
        peer::Endpoint,
        view::View,
        watcher,
    },
    dewspar::{fleet::VmState, place::Usage, pool::PoolState},
    dewspar_platform::{Error, KeyValue, TaskReport, TaskStart, Workers},
    slog::{Logger, warn},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, MissedTickBehavior, interval, sleep_until},
    },
};

/// How often every pool is looked at when nothing happens.
const ROUND: Duration = Duration::from_millis(200);

/// How often a pool is looked at for which nothing has changed, in
/// milliseconds.
const QUIET_MS: u64 = 500;

/// The shortest time between two looks.
const GAP: Duration = Duration::from_millis(20);

/// What fleet control needs.
#[derive(Clone, Debug)]
pub struct Options<K, W> {
    /// The key-value service.
    pub platform: K,
    /// The workers.
    pub workers: W,
    /// What the watcher publishes.
    pub watcher: watcher::Handle,
    /// The newest standing of the roster.
    pub standing: StandingReader,
    /// The way to peers.
    pub endpoint: Endpoint,
    /// This node's own requests.
    pub dispatchers: Dispatchers,
    /// The logger.
    pub log: Logger,
}

/// Starts fleet control on the current runtime.
pub fn start<K: KeyValue, W: Workers>(
    options: Options<K, W>,
) -> tokio::task::JoinHandle<()> {
    let (events, inbox) = mpsc::unbounded_channel();
    let (counted, counts) = mpsc::unbounded_channel();
    let drains = Drains::new(
        options.standing.clone(),
        options.endpoint.clone(),
        options.dispatchers.clone(),
        counted,
    );
    let controller = Controller {
        documents: Documents::new(options.platform.clone()),
        workers: WorkerCalls::new(options.workers.clone(), events),
        drains,
        usage: Usage::default(),
        strays_since_ms: BTreeMap::new(),
        started: BTreeMap::new(),
        marks: BTreeMap::new(),
        log: options.log.clone(),
        options,
    };
    tokio::spawn(controller.run(inbox, counts))
}

/// All that a pool's steps depend on, but for the time.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Mark {
    config: u64,
    halls: u64,
    pool: u64,
    list: u64,
    reports: u64,
}

/// The task that carries out what the library decides.
pub(super) struct Controller<K, W> {
    pub(super) options: Options<K, W>,
    pub(super) documents: Documents<K>,
    pub(super) workers: WorkerCalls<W>,
    pub(super) drains: Drains,
    pub(super) usage: Usage,
    pub(super) strays_since_ms: BTreeMap<String, u64>,
    started: BTreeMap<String, Vec<(TaskStart, TaskReport)>>,
    marks: BTreeMap<String, (Mark, u64)>,
    pub(super) log: Logger,
}

impl<K: KeyValue, W: Workers> Controller<K, W> {
    async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut counts: mpsc::UnboundedReceiver<Counted>,
    ) {
        let mut view = self.options.watcher.view.clone();
        let mut rounds = interval(ROUND);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next = Instant::now() + GAP;
            tokio::select! {
                _ = rounds.tick() => {}
                changed = view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                Some(event) = events.recv() => {
                    self.take_in(event);
                    while let Ok(event) = events.try_recv() {
                        self.take_in(event);
                    }
                }
                Some(counted) = counts.recv() => {
                    self.drains.counted(&counted);
                    // A step may have waited for just that.
                    self.marks.clear();
                }
            }
            // Nothing is begun on documents that may be old.
            if self.options.watcher.confirmed.age_ms() <= FRESH_MS
                && let Err(error) = self.step().await
            {
                counters::platform_failure(&error);
                warn!(self.log, "fleet: step not taken"; "error" => %error);
            }
            sleep_until(next).await;
        }
    }

    async fn step(&mut self) -> Result<(), Error> {
        self.record_starts().await?;
        let view = self.merged();
        self.step_halls(&view).await?;
        let view = self.merged();
        let pools: BTreeSet<String> = view
            .config
            .value
            .pools()
            .map(|(pool, _)| pool.to_owned())
            .chain(view.pools.keys().cloned())
            .filter(|pool| self.is_first(&format!("pool/{pool}")))
            .collect();
        self.forget_others(&view, &pools);
        for pool in &pools {
            let view = self.merged();
            let mark = self.mark(&view, pool);
            let now_ms = clock::now_ms();
            if self.is_quiet(pool, &mark, now_ms) {
                continue;
            }
            self.step_pool(&view, pool).await?;
            self.marks.insert(pool.clone(), (mark, now_ms));
        }
        self.marks.retain(|pool, _| pools.contains(pool));
        Ok(())
    }

    /// Returns all that a pool's steps depend on, but for the time.
    fn mark(&self, view: &View, pool: &str) -> Mark {
        let halls = view.halls.values().map(|hall| hall.version);
        Mark {
            config: view.config.value.revision(),
            halls: halls.max().unwrap_or(0),
            pool: view.pools.get(pool).map_or(0, |state| state.version),
            list: view.listed.number,
            reports: self.report_number(view, pool),
        }
    }

    /// Returns a number that grows when a worker of the pool says something
    /// new.
    fn report_number(&self, view: &View, pool: &str) -> u64 {
        let rows = view.pool_rows(pool);
        rows.iter().map(|(vm, _)| self.workers.news(vm)).sum()
    }

    /// Returns whether a pool has nothing to do and was looked at lately.
    fn is_quiet(&self, pool: &str, mark: &Mark, now_ms: u64) -> bool {
        let Some((seen, at_ms)) = self.marks.get(pool) else { return false };
        seen == mark && now_ms < at_ms + QUIET_MS
    }

    /// Forgets what belongs to pools that other nodes act for.
    fn forget_others(&mut self, view: &View, pools: &BTreeSet<String>) {
        let mine = |vm: &str| {
            view.row(vm)
                .and_then(|row| row.pool())
                .is_some_and(|pool| pools.contains(pool))
        };
        self.workers.retain(mine);
        self.drains.retain(|vm| {
            let row = view.row(vm);
            mine(vm) && row.is_some_and(|row| row.state() == VmState::Draining)
        });
        self.strays_since_ms.retain(|key, _| {
            let vm = key.split(' ').next().unwrap_or_default();
            mine(vm)
        });
    }

    /// Returns the view with this node's own newest writes.
    pub(super) fn merged(&mut self) -> View {
        let view = self.options.watcher.view.borrow().clone();
        self.documents.merge(&view)
    }

    /// Returns whether this node should act on `key` now.
    pub(super) fn is_first(&self, key: &str) -> bool {
        self.options.standing.borrow().is_first(key)
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Report { vm, result } => {
                if let Ok(report) = &result {
                    for task in &report.tasks {
                        self.usage.observe(&task.task, task.size());
                    }
                }
                self.workers.reported(&vm, result, clock::now_ms());
            }
            Event::Started { pool, start, result } => {
                let key = format!("start {} {}", start.task, start.epoch);
                self.workers.acted(&key);
                match result {
                    Ok(report) => {
                        let started = self.started.entry(pool).or_default();
                        started.push((start, report));
                    }
                    Err(error) => warn!(self.log, "fleet: task not started";
                        "task" => &start.task, "error" => %error),
                }
            }
            Event::Acted { key } => self.workers.acted(&key),
        }
    }

    /// Records the tasks that have started, in one write for each pool.
    async fn record_starts(&mut self) -> Result<(), Error> {
        for (pool, started) in std::mem::take(&mut self.started) {
            let view = self.merged();
            let decide = |state: &mut PoolState| {
                let mut changed = false;
                for (start, report) in &started {
                    let (task, epoch) = (&start.task, start.epoch);
                    // One that was moved on meanwhile is passed over.
                    let recorded = state.started(task, epoch, &report.address);
                    changed |= recorded.is_ok();
                }
                Verdict::from(changed)
            };
            self.documents.update_pool(&view, &pool, decide).await?;
        }
        Ok(())
    }
}
