//! The machines with their runners, and the service that lists the machines.
//!
//! What a task is like stands in its `Spec`, as in
//! `work=800 cpu=1000 mem=100`; `last=1` for one that lasts, `gang=N` for one
//! of N tasks that work only together; `ck=N` for a checkpoint of N bytes,
//! `fails=N` for one whose first run fails after N ms.

use crate::{
    http::{Answer, Connections, Request, serve},
    json::{Json, quote},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const CPU: u64 = 32_000;
pub const MEM_MB: u64 = 131_072;
const MAX_HOLD_MS: u64 = 10_000;
const UPKEEP: Duration = Duration::from_millis(2_000);
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long a lasting task takes until it is at work.
const START_UP: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Run {
    run: u64,
    spec: String,
    began: Instant,
    /// When it began to work.
    works_since: Option<Instant>,
}

impl Run {
    fn field(&self, name: &str) -> u64 {
        field(&self.spec, name)
    }

    /// Returns its checkpoint, renewed with each half second of work.
    fn checkpoint(&self, task: &str) -> String {
        let size = self.field("ck") as usize;
        let Some(since) = self.works_since else { return String::new() };
        let saved = since.elapsed().as_millis() / 500;
        if size == 0 || saved == 0 {
            return String::new();
        }
        format!("{:.<size$}", format!("{task}-{}-{saved}", self.run))
    }

    fn percent(&self) -> u64 {
        let Some(since) = self.works_since else { return 0 };
        if self.field("last") == 1 {
            return if since.elapsed() >= START_UP { 100 } else { 0 };
        }
        let work = self.field("work").max(1);
        (since.elapsed().as_millis() as u64 * 100 / work).min(99)
    }
}

fn field(spec: &str, name: &str) -> u64 {
    let mut words = spec.split(' ').filter_map(|w| w.split_once('='));
    let value = words.find(|(n, _)| *n == name).map(|(_, value)| value);
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    checkpoint: String,
}

struct Machine {
    name: String,
    pool: String,
    labels: Vec<String>,
    address: SocketAddr,
    /// The runner's id; empty while it is down.
    id: String,
    lives: u64,
    /// The wave of the last upkeep; 0 for none.
    upkeep_of: u64,
    in_upkeep: bool,
    clock_from: Instant,
    until_ms: u64,
    fence: u64,
    active: BTreeMap<String, Run>,
    ended: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
}

impl Machine {
    fn clock_ms(&self) -> u64 {
        self.clock_from.elapsed().as_millis() as u64 + 1_000
    }

    fn used(&self) -> (u64, u64) {
        self.active.values().fold((0, 0), |(cpu, mem), run| {
            (cpu + run.field("cpu"), mem + run.field("mem"))
        })
    }

    fn end(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.active.remove(task) else { return };
        self.last_end += 1;
        let over = self.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        let (number, task) = (self.last_end, task.to_owned());
        record.line(format!(
            "runner {} {}: end of {task} run {}: {how}",
            self.name, self.id, run.run
        ));
        let checkpoint = run.checkpoint(&task);
        self.ended.push(End { number, task, run: run.run, how, checkpoint });
    }

    fn entry(&self) -> String {
        let labels: Vec<String> =
            self.labels.iter().map(|l| quote(l)).collect();
        format!(
            "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":\"centro\",\
             \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\
             \"ColdRemainingMs\":0,\"Machine\":{},\"Capacity\":{{\"Cpu\":{CPU},\
             \"MemMb\":{MEM_MB},\"Gpu\":0}},\"Labels\":[{}],\"Sequence\":1}}",
            quote(&self.pool),
            self.address,
            quote(&self.name),
            labels.join(",")
        )
    }
}

#[derive(Clone)]
pub struct Fleet {
    machines: Arc<Mutex<Vec<Machine>>>,
    store: Store,
    record: Record,
    pub connections: Vec<Connections>,
    /// How many runs have ended in each way.
    ends: Arc<Mutex<BTreeMap<&'static str, usize>>>,
}

impl Fleet {
    /// Returns how many runs have ended in this way.
    pub fn ends(&self, how: &str) -> usize {
        self.ends.lock().unwrap().get(how).copied().unwrap_or(0)
    }

    /// Returns how many machines have had their upkeep and are up again.
    pub fn upkeeps(&self) -> usize {
        let machines = self.machines.lock().unwrap();
        let done = |m: &&Machine| m.upkeep_of > 0 && !m.in_upkeep;
        machines.iter().filter(done).count()
    }

    /// Returns how many ends each runner lists and has listed.
    pub fn listed_ends(&self) -> Vec<(usize, u64)> {
        let machines = self.machines.lock().unwrap();
        machines.iter().map(|m| (m.ended.len(), m.last_end)).collect()
    }

    /// Returns how many tasks were told to stop while they were at work.
    pub fn stopped_at_work(&self) -> usize {
        self.ends("stopped at work")
    }

    /// Starts a fleet of one pool. The first machine is of kind `b`, all
    /// others are of kind `a`.
    pub fn start(
        store: &Store,
        record: &Record,
        pool: &str,
        machines: usize,
        max_connections: Option<usize>,
    ) -> Fleet {
        let mut fleet = Fleet {
            machines: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            connections: Vec::new(),
            ends: Arc::default(),
        };
        let mut listeners = Vec::new();
        for number in 0..machines {
            let ip = format!("127.0.2.{}:0", number + 1);
            let listener = TcpListener::bind(ip).expect("a loopback address");
            let kind = if number == 0 { "b" } else { "a" };
            let rack = format!("r1-{}", number / 4 + 1);
            fleet.machines.lock().unwrap().push(Machine {
                name: format!("m-{number}"),
                pool: pool.to_owned(),
                labels: vec![kind.to_owned(), rack],
                address: listener.local_addr().unwrap(),
                id: String::new(),
                lives: 0,
                upkeep_of: 0,
                in_upkeep: false,
                clock_from: Instant::now(),
                until_ms: 0,
                fence: 0,
                active: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                over: BTreeMap::new(),
            });
            listeners.push(listener);
        }
        for (number, listener) in listeners.into_iter().enumerate() {
            let connections =
                Connections { limit: max_connections, ..Default::default() };
            fleet.connections.push(connections.clone());
            let own = fleet.clone();
            let handler = move |request| own.answer(number, &request);
            serve(listener, connections, Arc::new(handler));
            fleet.start_runner(number);
        }
        let ticking = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        fleet
    }

    fn start_runner(&self, number: usize) {
        let mut machines = self.machines.lock().unwrap();
        let machine = &mut machines[number];
        machine.lives += 1;
        machine.in_upkeep = false;
        machine.id = format!("i-{number}-{}", machine.lives);
        machine.clock_from = Instant::now();
        (machine.until_ms, machine.fence, machine.last_end) = (0, 0, 0);
        machine.active.clear();
        machine.ended.clear();
        machine.over.clear();
        let line = format!("runner {} {}: up", machine.name, machine.id);
        let (key, entry) =
            (format!("servers/{}", machine.id), machine.entry());
        drop(machines);
        self.record.line(line);
        self.store.put(&key, &entry);
    }

    /// Lets a machine's runner crash; it comes back after this time under
    /// another id. Its entry goes after three heartbeats.
    pub fn crash(&self, number: usize, down: Duration) {
        let mut machines = self.machines.lock().unwrap();
        let machine = &mut machines[number];
        let id = std::mem::take(&mut machine.id);
        let lost: Vec<String> = machine.active.keys().cloned().collect();
        machine.active.clear();
        let name = machine.name.clone();
        drop(machines);
        self.record.line(format!("runner {name} {id}: crash, with {lost:?}"));
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(4_500));
            store.remove(&format!("servers/{id}"));
        });
        let fleet = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            fleet.start_runner(number);
        });
    }

    /// Returns on which machines a job's tasks run, each with its task, and
    /// since when it has been there.
    pub fn runs_of(&self, job: &str) -> Vec<(usize, String, Duration)> {
        let machines = self.machines.lock().unwrap();
        let runs =
            machines.iter().enumerate().flat_map(|(number, machine)| {
                machine.active.iter().map(move |(task, run)| {
                    (number, task.clone(), run.began.elapsed())
                })
            });
        runs.filter(|(_, task, _)| task.starts_with(job)).collect()
    }

    fn tick(&self) {
        let mut machines = self.machines.lock().unwrap();
        // How many of each gang's run are there.
        let mut present: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for machine in machines.iter() {
            for (task, run) in &machine.active {
                *present.entry((step_of(task), run.run)).or_default() += 1;
            }
        }
        let mut done: Vec<(String, u64)> = Vec::new();
        for machine in machines.iter_mut() {
            if machine.until_ms > 0 && machine.clock_ms() > machine.until_ms {
                let tasks: Vec<String> =
                    machine.active.keys().cloned().collect();
                for task in tasks {
                    machine.end(&task, "lapsed", &self.record);
                }
            }
            let mut ends = Vec::new();
            for (task, run) in &mut machine.active {
                let gang = run.field("gang");
                let here = present[&(step_of(task), run.run)];
                if gang == 0 || here >= gang {
                    run.works_since.get_or_insert_with(Instant::now);
                } else if run.began.elapsed() > GANG_TIMEOUT {
                    ends.push((task.clone(), "alone"));
                    continue;
                }
                let works = run
                    .works_since
                    .map_or(0, |since| since.elapsed().as_millis() as u64);
                let fails = run.field("fails");
                if fails > 0 && run.run == 1 && works >= fails {
                    ends.push((task.clone(), "failed"));
                    continue;
                }
                let lasts = run.field("last") == 1;
                if run.works_since.is_some()
                    && !lasts
                    && works >= run.field("work")
                {
                    if gang > 0 {
                        done.push((step_of(task), run.run));
                    }
                    ends.push((task.clone(), "done"));
                }
            }
            for (task, how) in ends {
                *self.ends.lock().unwrap().entry(how).or_default() += 1;
                machine.end(&task, how, &self.record);
            }
        }
        // The members of a gang end together.
        for (step, number) in done {
            for machine in machines.iter_mut() {
                let members: Vec<String> = machine
                    .active
                    .iter()
                    .filter(|(t, run)| step_of(t) == step && run.run == number)
                    .map(|(task, _)| task.clone())
                    .collect();
                for task in members {
                    machine.end(&task, "done", &self.record);
                }
            }
        }
    }

    fn answer(&self, number: usize, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let call = request.path.trim_start_matches("/dewspar/");
        let wait = Duration::from_millis(body.number("WaitMs").min(2_000));
        let arrived = Instant::now();
        loop {
            let mut machines = self.machines.lock().unwrap();
            let machine = &mut machines[number];
            if machine.id.is_empty() {
                return Answer::Reset;
            }
            if request.header("expected-instance") != machine.id {
                return Answer::Json(421, "{}".to_owned());
            }
            let fence = body.number("FencingToken");
            if fence < machine.fence {
                return refused(machine, "fence");
            }
            machine.fence = fence;
            match call {
                "run-start" => return self.start_run(machine, &body),
                "run-stop" => return self.stop_run(machine, &body),
                "pace" => return clock(machine),
                "hold" => {}
                _ => return Answer::Json(404, "{}".to_owned()),
            }
            let seen = body.number("LastSeen");
            machine.ended.retain(|end| end.number > seen);
            extend(machine, body.number("UntilMs"));
            if machine.ended.is_empty() && arrived.elapsed() < wait {
                drop(machines);
                thread::sleep(Duration::from_millis(3));
                continue;
            }
            let rows = machine.active.iter().map(|(task, run)| {
                let percent = run.percent();
                let cpu = run.field("cpu");
                let checkpoint = quote(&run.checkpoint(task));
                format!(
                    "[{},{},{checkpoint},{percent},{cpu}]",
                    quote(task),
                    run.run
                )
            });
            let rows: Vec<String> = rows.collect();
            let ends = machine.ended.iter().take(500).map(|end| {
                let End { number, task, run, how, checkpoint } = end;
                let checkpoint = quote(checkpoint);
                let task = quote(task);
                format!("[{number},{task},{run},\"{how}\",{checkpoint}]")
            });
            let ends: Vec<String> = ends.collect();
            let body = format!(
                "{{\"ClockMs\":{},\"Active\":[{}],\"EndedAt\":[{}]}}",
                machine.clock_ms(),
                rows.join(","),
                ends.join(",")
            );
            return Answer::Json(200, body);
        }
    }

    fn start_run(&self, machine: &mut Machine, body: &Json) -> Answer {
        let (task, number) = (body.text("Task"), body.number("RunId"));
        let until_ms = body.number("UntilMs");
        if until_ms <= machine.clock_ms() {
            return refused(machine, "late");
        }
        extend(machine, until_ms);
        if machine.active.get(&task).is_some_and(|run| run.run == number) {
            return clock(machine);
        }
        let over = machine.over.get(&task).copied().unwrap_or(0);
        if number <= over || machine.active.contains_key(&task) {
            return refused(machine, "old");
        }
        let spec = body.text("Spec");
        let (cpu, mem) = machine.used();
        if cpu + field(&spec, "cpu") > CPU
            || mem + field(&spec, "mem") > MEM_MB
        {
            return refused(machine, "room");
        }
        self.record.line(format!(
            "runner {} {}: start of {task} run {number}, token {}",
            machine.name, machine.id, machine.fence
        ));
        let began = Instant::now();
        let run = Run { run: number, spec, began, works_since: None };
        machine.active.insert(task, run);
        clock(machine)
    }

    fn stop_run(&self, machine: &mut Machine, body: &Json) -> Answer {
        let (task, number) = (body.text("Task"), body.number("RunId"));
        let here = machine.active.get(&task).filter(|run| run.run == number);
        if let Some(run) = here {
            if run.percent() == 100 {
                let mut ends = self.ends.lock().unwrap();
                *ends.entry("stopped at work").or_default() += 1;
            }
            machine.end(&task, "stopped", &self.record);
        } else {
            let over = machine.over.entry(task).or_default();
            *over = (*over).max(number);
        }
        clock(machine)
    }

    /// Carries out the upkeep of a machine: all that runs there dies, and a new
    /// runner comes after `MaintenanceS`.
    fn upkeep(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (name, wave) = (body.text("Machine"), body.number("Wave"));
        let mut machines = self.machines.lock().unwrap();
        let found = machines.iter().position(|m| m.name == name);
        let Some(number) = found else {
            return Answer::Json(400, "{}".to_owned());
        };
        let machine = &mut machines[number];
        if machine.upkeep_of == wave {
            return Answer::Json(200, "{}".to_owned());
        }
        if machine.id.is_empty() {
            return Answer::Json(409, "{\"Reason\":\"busy\"}".to_owned());
        }
        (machine.upkeep_of, machine.in_upkeep) = (wave, true);
        let left = machine.active.len();
        drop(machines);
        self.record.line(format!("upkeep of {name} begins, {left} runs"));
        self.crash(number, UPKEEP);
        Answer::Json(200, "{}".to_owned())
    }

    /// Answers calls to the service that lists and changes the machines.
    pub fn machine_service(&self, request: &Request) -> Answer {
        if request.path == "/dewspar/machine-upkeep" {
            return self.upkeep(request);
        }
        if request.path != "/dewspar/machines" {
            // One pool only: there is nowhere to move a machine to.
            return Answer::Json(400, "{}".to_owned());
        }
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|machine| {
            let state = match (machine.in_upkeep, machine.id.is_empty()) {
                (true, _) => "upkeep",
                (false, true) => "down",
                (false, false) => "up",
            };
            let id = match machine.id.is_empty() {
                true => String::new(),
                false => format!(",\"Id\":{}", quote(&machine.id)),
            };
            let labels: Vec<String> =
                machine.labels.iter().map(|l| quote(l)).collect();
            format!(
                "{{\"Machine\":{},\"Pool\":{},\"State\":\"{state}\",\
                 \"Zone\":\"centro\",\"Labels\":[{}],\"Capacity\":{{\
                 \"Cpu\":{CPU},\"MemMb\":{MEM_MB},\"Gpu\":0}}{id}}}",
                quote(&machine.name),
                quote(&machine.pool),
                labels.join(",")
            )
        });
        let rows: Vec<String> = rows.collect();
        Answer::Json(200, format!("{{\"Machines\":[{}]}}", rows.join(",")))
    }
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned()
}

fn extend(machine: &mut Machine, until_ms: u64) {
    let until_ms = until_ms.min(machine.clock_ms() + MAX_HOLD_MS);
    machine.until_ms = machine.until_ms.max(until_ms);
}

fn clock(machine: &Machine) -> Answer {
    Answer::Json(200, format!("{{\"ClockMs\":{}}}", machine.clock_ms()))
}

fn refused(machine: &Machine, reason: &str) -> Answer {
    let clock_ms = machine.clock_ms();
    Answer::Json(
        409,
        format!("{{\"ClockMs\":{clock_ms},\"Reason\":\"{reason}\"}}"),
    )
}
