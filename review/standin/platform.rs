//! The workers and the VM service.

use crate::{
    history::History,
    http::{Answer, Request, serve},
    json::{Json, object, parse},
    record::Record,
    store::Store,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How many ends a worker lists at once.
const ENDS_AT_ONCE: usize = 500;

/// The longest lease that a worker takes, in milliseconds.
const MAX_HOLD_MS: i64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MOVE: Duration = Duration::from_millis(1_500);
const MAINTENANCE: Duration = Duration::from_millis(2_000);

/// What the stand-ins know of the jobs that callers submit: what a task of each
/// step takes, which a start order doesn't say.
#[derive(Clone, Default)]
pub struct Jobs(Arc<Mutex<HashMap<String, Vec<StepDemand>>>>);

#[derive(Clone, Debug, Default)]
pub struct StepDemand {
    pub cpu: i64,
    pub work_ms: u64,
    /// How many runs of each task fail by its own fault, the first ones.
    pub failing_runs: i64,
    /// Whether its tasks run until they are stopped.
    pub lasts: bool,
}

impl Jobs {
    pub fn add(&self, id: &str, steps: Vec<StepDemand>) {
        self.0.lock().unwrap().insert(id.to_owned(), steps);
    }

    fn demand(&self, task: &str) -> Option<StepDemand> {
        let mut parts = task.split('.');
        let (job, step) = (parts.next()?, parts.nth(1)?);
        let jobs = self.0.lock().unwrap();
        jobs.get(job)?.get(step.parse::<usize>().ok()?).cloned()
    }
}

struct Run {
    number: i64,
    /// Its number in the history.
    seen: usize,
    began: Instant,
    demand: StepDemand,
}

impl Run {
    /// Returns how much of its work is done, in whole percent; a task that
    /// lasts is at work at once.
    fn percent(&self) -> i64 {
        if self.demand.lasts {
            return 100;
        }
        let took_ms = self.began.elapsed().as_millis() as u64;
        (took_ms * 100 / self.demand.work_ms.max(1)).min(99) as i64
    }
}

/// An end that a worker still lists.
struct End {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
    /// The run's number in the history.
    seen: usize,
}

#[derive(Default)]
struct WorkerState {
    fence: i64,
    until_ms: i64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: i64,
    /// The highest run of each task that was stopped or ended.
    over: HashMap<String, i64>,
}

/// One life of a worker.
pub struct Worker {
    id: String,
    pool: String,
    cpu: i64,
    began: Instant,
    state: Mutex<WorkerState>,
    changed: Condvar,
}

impl Worker {
    fn clock_ms(&self) -> i64 {
        1_000 + self.began.elapsed().as_millis() as i64
    }

    fn answer(
        &self,
        request: &Request,
        platform: &Platform,
    ) -> Option<Answer> {
        if request.path == "/health" {
            return Some(Answer::of(200, "{}".to_owned()));
        }
        let intended = request.headers.get("expected-instance");
        if intended.is_some_and(|life| *life != self.id) {
            return Some(Answer::of(421, "{}".to_owned()));
        }
        let asked = parse(&request.body)?;
        let fence = asked.get("FencingToken").int();
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let task = asked.get("Task").text().to_owned();
        let run = asked.get("RunId").int();
        if let Json::Int(until_ms) = asked.get("UntilMs") {
            let most = self.clock_ms() + MAX_HOLD_MS;
            state.until_ms = state.until_ms.max((*until_ms).min(most));
        }
        match request.path.as_str() {
            "/dewspar/run-start" => {
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|there| there.number == run)
                {
                    return self.done();
                }
                let over = state.over.get(&task).copied().unwrap_or(0);
                if run <= over || state.runs.contains_key(&task) {
                    return self.refuse("old");
                }
                if asked.get("UntilMs").int() <= self.clock_ms() {
                    return self.refuse("late");
                }
                let demand = platform.jobs.demand(&task).unwrap_or_default();
                let used: i64 =
                    state.runs.values().map(|run| run.demand.cpu).sum();
                if used + demand.cpu > self.cpu {
                    return self.refuse("room");
                }
                platform.record.note(&format!(
                    "worker {} starts {task} run {run} fence {fence}",
                    self.id
                ));
                let seen = platform.history.begin(&task, run, &self.id);
                state.runs.insert(
                    task,
                    Run { number: run, seen, began: Instant::now(), demand },
                );
                self.done()
            }
            "/dewspar/run-stop" => {
                let over = state.over.entry(task.clone()).or_insert(0);
                *over = (*over).max(run);
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|there| there.number == run)
                {
                    self.end(&mut state, &task, "stopped", platform);
                }
                self.done()
            }
            "/dewspar/hold" => {
                let seen = asked.get("LastSeen").int();
                for end in state.ends.iter().filter(|end| end.number <= seen) {
                    platform.history.note(end.seen);
                }
                state.ends.retain(|end| end.number > seen);
                let wait_ms = asked.get("WaitMs").int().clamp(0, 2_000) as u64;
                let until = Instant::now() + Duration::from_millis(wait_ms);
                while state.ends.is_empty() {
                    let Some(left) =
                        until.checked_duration_since(Instant::now())
                    else {
                        break;
                    };
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let active = state.runs.iter().map(|(task, run)| {
                    Json::List(vec![
                        task.as_str().into(),
                        run.number.into(),
                        "".into(),
                        run.percent().into(),
                    ])
                });
                let ended = state.ends.iter().take(ENDS_AT_ONCE).map(|end| {
                    let End { number, task, run, how, .. } = end;
                    Json::List(vec![
                        (*number).into(),
                        task.as_str().into(),
                        (*run).into(),
                        (*how).into(),
                        "".into(),
                    ])
                });
                let answer = object(vec![
                    ("ClockMs", self.clock_ms().into()),
                    ("Active", active.collect::<Vec<_>>().into()),
                    ("EndedAt", ended.collect::<Vec<_>>().into()),
                ]);
                Some(Answer::of(200, answer.write()))
            }
            "/dewspar/pace" => self.done(),
            _ => Some(Answer::of(400, "{}".to_owned())),
        }
    }

    fn end(
        &self,
        state: &mut WorkerState,
        task: &str,
        how: &'static str,
        platform: &Platform,
    ) {
        let Some(run) = state.runs.remove(task) else { return };
        let over = state.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run.number);
        state.last_end += 1;
        let number = state.last_end;
        platform.history.end(run.seen, how);
        let (task, seen) = (task.to_owned(), run.seen);
        platform.record.note(&format!(
            "worker {} ends {task} run {} {how}",
            self.id, run.number
        ));
        state.ends.push(End { number, task, run: run.number, how, seen });
        self.changed.notify_all();
    }

    fn tick(&self, platform: &Platform) {
        let mut state = self.state.lock().unwrap();
        let lapsed = self.clock_ms() >= state.until_ms;
        let over = state.runs.iter().filter_map(|(task, run)| {
            let took_ms = run.began.elapsed().as_millis() as u64;
            let worked = took_ms >= run.demand.work_ms && !run.demand.lasts;
            let how = match worked {
                true if run.number <= run.demand.failing_runs => "failed",
                true => "done",
                false => "lapsed",
            };
            (worked || lapsed).then(|| (task.clone(), how))
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(&mut state, &task, how, platform);
        }
    }

    fn done(&self) -> Option<Answer> {
        Some(Answer::of(
            200,
            object(vec![("ClockMs", self.clock_ms().into())]).write(),
        ))
    }

    fn refuse(&self, reason: &str) -> Option<Answer> {
        let body = object(vec![
            ("ClockMs", self.clock_ms().into()),
            ("Reason", reason.into()),
        ]);
        Some(Answer::of(409, body.write()))
    }
}

struct Vm {
    name: String,
    pool: String,
    state: &'static str,
    cpu: i64,
    address: SocketAddr,
    worker: Arc<Mutex<Option<Arc<Worker>>>>,
}

/// The platform; clones share it.
#[derive(Clone)]
pub struct Platform {
    pub store: Store,
    pub jobs: Jobs,
    pub record: Record,
    pub history: History,
    pub address: SocketAddr,
    vms: Arc<Mutex<Vec<Vm>>>,
    lives: Arc<Mutex<u64>>,
}

impl Platform {
    /// Starts the store and the VM service at one address.
    pub fn start(record: &Record) -> std::io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = Platform {
            store: Store::default(),
            jobs: Jobs::default(),
            record: record.clone(),
            history: History::default(),
            address: listener.local_addr()?,
            vms: Arc::default(),
            lives: Arc::default(),
        };
        platform.store.watch_leases();
        let served = platform.clone();
        serve(listener, Arc::new(move |request| served.answer(request)));
        let ticking = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                for worker in ticking.workers() {
                    worker.tick(&ticking);
                }
            }
        });
        let beating = platform.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(platform)
    }

    /// Adds a VM whose worker has so many thousandths of a core.
    pub fn add_vm(
        &self,
        name: &str,
        pool: &str,
        cpu: i64,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let worker: Arc<Mutex<Option<Arc<Worker>>>> = Arc::default();
        let (served, platform) = (worker.clone(), self.clone());
        serve(
            listener,
            Arc::new(move |request| {
                let worker = served.lock().unwrap().clone()?;
                worker.answer(request, &platform)
            }),
        );
        let vm = Vm {
            name: name.to_owned(),
            pool: pool.to_owned(),
            state: "up",
            cpu,
            address,
            worker,
        };
        self.begin_life(&vm);
        self.vms.lock().unwrap().push(vm);
        self.beat();
        Ok(())
    }

    fn begin_life(&self, vm: &Vm) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let worker = Worker {
            id: format!("i-{:08x}", *lives),
            pool: vm.pool.clone(),
            cpu: vm.cpu,
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        };
        self.record.note(&format!(
            "worker {} begins on {} in {}",
            worker.id, vm.name, vm.pool
        ));
        *vm.worker.lock().unwrap() = Some(Arc::new(worker));
    }

    fn workers(&self) -> Vec<Arc<Worker>> {
        let vms = self.vms.lock().unwrap();
        vms.iter().filter_map(|vm| vm.worker.lock().unwrap().clone()).collect()
    }

    /// Enters the workers in the directory.
    fn beat(&self) {
        let vms = self.vms.lock().unwrap();
        for vm in vms.iter() {
            let Some(worker) = vm.worker.lock().unwrap().clone() else {
                continue;
            };
            let capacity = vec![
                ("Cpu", vm.cpu.into()),
                ("MemMb", 131_072i64.into()),
                ("Gpu", 0i64.into()),
            ];
            let entry = object(vec![
                ("Service", worker.pool.as_str().into()),
                ("Address", vm.address.to_string().into()),
                ("Zone", "hall-1".into()),
                ("Version", "v1".into()),
                ("Slots", 8i64.into()),
                ("State", "ready".into()),
                ("ColdRemainingMs", 0i64.into()),
                ("Machine", vm.name.as_str().into()),
                ("Capacity", object(capacity)),
                ("Labels", Json::List(vec!["a".into(), "r1-1".into()])),
                ("ClockMs", worker.clock_ms().into()),
                ("Sequence", worker.clock_ms().into()),
            ]);
            self.store.write(&format!("servers/{}", worker.id), &entry);
        }
    }

    fn answer(&self, request: &Request) -> Option<Answer> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/dewspar/machines") => {
                let vms = self.vms.lock().unwrap();
                let rows = vms.iter().map(|vm| {
                    let worker = vm.worker.lock().unwrap().clone();
                    let capacity = vec![
                        ("Cpu", vm.cpu.into()),
                        ("MemMb", 131_072i64.into()),
                        ("Gpu", 0i64.into()),
                    ];
                    object(vec![
                        ("Machine", vm.name.as_str().into()),
                        ("Pool", vm.pool.as_str().into()),
                        ("State", vm.state.into()),
                        ("Zone", "hall-1".into()),
                        (
                            "Labels",
                            Json::List(vec!["a".into(), "r1-1".into()]),
                        ),
                        ("Capacity", object(capacity)),
                        (
                            "Id",
                            worker
                                .map_or(Json::Null, |w| w.id.as_str().into()),
                        ),
                    ])
                });
                let rows: Vec<Json> = rows.collect();
                let page = object(vec![
                    ("Machines", rows.into()),
                    ("NextToken", Json::Null),
                ]);
                Some(Answer::of(200, page.write()))
            }
            ("POST", "/dewspar/machine-move" | "/dewspar/machine-upkeep") => {
                self.change(request)
            }
            (_, path) if path.starts_with("/dewspar/kv-") => {
                self.store.answer(request)
            }
            _ => Some(Answer::of(404, "{}".to_owned())),
        }
    }

    /// Moves a VM or takes it down for its upkeep.
    fn change(&self, request: &Request) -> Option<Answer> {
        let asked = parse(&request.body)?;
        let name = asked.get("Machine").text().to_owned();
        let header = |name: &str| {
            request.headers.get(name).cloned().unwrap_or_default()
        };
        self.record.note(&format!(
            "{} {} by {} fence {}",
            request.path,
            request.body,
            header("duty-holder"),
            header("fencing-token"),
        ));
        let mut vms = self.vms.lock().unwrap();
        let Some(vm) = vms.iter_mut().find(|vm| vm.name == name) else {
            return Some(Answer::of(400, "{}".to_owned()));
        };
        let moves = request.path.ends_with("move");
        let pool = asked.get("Pool").text().to_owned();
        if moves && vm.pool == pool {
            return Some(Answer::of(200, "{}".to_owned()));
        }
        if vm.state != "up" {
            return Some(Answer::of(
                409,
                object(vec![("Reason", "busy".into())]).write(),
            ));
        }
        let life = vm.worker.lock().unwrap().take();
        if let Some(life) = life {
            self.store.delete(&format!("servers/{}", life.id));
            self.record.note(&format!("worker {} is gone", life.id));
        }
        vm.state = if moves { "moving" } else { "upkeep" };
        if moves {
            vm.pool = pool;
        }
        let platform = self.clone();
        thread::spawn(move || {
            thread::sleep(if moves { MOVE } else { MAINTENANCE });
            let mut vms = platform.vms.lock().unwrap();
            let vm =
                vms.iter_mut().find(|vm| vm.name == name).expect("a known VM");
            vm.state = "up";
            platform.begin_life(vm);
            drop(vms);
            platform.beat();
        });
        Some(Answer::of(200, "{}".to_owned()))
    }
}
