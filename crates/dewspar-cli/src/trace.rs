/*!
Traces: what goes wrong and when, and the outcome that must come of it.

A trace is a YAML file. [`run`] puts the fleet it names together, sends
requests, carries its steps out at their times, and compares what came of it
with what the trace expects. Every promise must hold besides. The format is
described in `docs/TRACES.md`.

# Example

```
use dewspar_cli::trace::Trace;

let trace = Trace::from_yaml("
about: a node dies
nodes: 3
seconds: 5
steps:
  - {at_ms: 1000, node: 1, order: kill}
")?;
assert_eq!(trace.about(), "a node dies");
# Ok::<(), dewspar_cli::exit::Error>(())
```
*/

use {
    crate::{
        cluster::{self, Cluster},
        deployment::{Deployment, Plan},
        exit::Error,
        load::{self, Load, Results},
        observer::{LOOK, Measures, Observer},
    },
    dewspar::{
        config::Resource,
        history::{self, Event, Report},
    },
    dewspar_standin::fleet::{self, Order},
    dewspard::logs,
    serde::Deserialize,
    slog::Logger,
    std::time::Duration,
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// How long the fleet may take to come up.
const START_LIMIT: Duration = Duration::from_secs(30);

/// How long what a trace expects may take after its last step.
const SETTLE_LIMIT: Duration = Duration::from_secs(45);

/// A trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    about: String,
    #[serde(default)]
    deployment: TraceDeployment,
    #[serde(default = "three")]
    nodes: usize,
    #[serde(default = "one")]
    seed: u64,
    #[serde(default = "ten")]
    seconds: u64,
    #[serde(default)]
    load: TraceLoad,
    #[serde(default)]
    steps: Vec<Step>,
    #[serde(default)]
    expect: Expect,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum TraceDeployment {
    #[default]
    Register,
    Hallazgo,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TraceLoad {
    callers: usize,
    filings_percent: u32,
    pause_ms: u64,
    service_time_ms: u64,
    reboot_ms: u64,
}

impl Default for TraceLoad {
    fn default() -> TraceLoad {
        TraceLoad {
            callers: 12,
            filings_percent: 50,
            pause_ms: 5,
            service_time_ms: 10,
            reboot_ms: 300,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    at_ms: u64,
    #[serde(default)]
    apply: Option<String>,
    #[serde(default)]
    platform: Option<PlatformFault>,
    #[serde(default)]
    vm: Option<String>,
    #[serde(default)]
    node: Option<usize>,
    #[serde(default)]
    order: Option<String>,
    #[serde(default)]
    for_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PlatformFault {
    /// Every call is refused.
    Out,
    /// Calls are answered again, all and at once.
    Back,
    /// Calls take 200 ms.
    Slow,
    /// One answer in five is lost.
    Lossy,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Expect {
    waves_done: Vec<String>,
    least_ran: u64,
    most_unknown: Option<u64>,
    most_moves: Option<u32>,
    least_refused_filings: u64,
}

fn one() -> u64 {
    1
}

fn three() -> usize {
    3
}

fn ten() -> u64 {
    10
}

/// What a run of a trace came to.
#[derive(Debug)]
pub struct Outcome {
    /// How every promise fared.
    pub report: Report,
    /// What callers got.
    pub results: Results,
    /// What it cost.
    pub measures: Measures,
    /// What the trace expected and didn't get, in sentences.
    pub missed: Vec<String>,
    /// The history, as text.
    pub history: String,
}

impl Outcome {
    /// Returns whether every promise held and every expectation was met.
    pub fn holds(&self) -> bool {
        self.report.holds() && self.missed.is_empty()
    }
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the field at fault.
    pub fn from_yaml(text: &str) -> Result<Trace, Error> {
        let trace: Trace =
            serde_norway::from_str(text).map_err(Error::invalid)?;
        for (index, step) in trace.steps.iter().enumerate() {
            step.check(trace.nodes).map_err(|problem| {
                Error::invalid(format!("field `steps[{index}]` {problem}"))
            })?;
        }
        Ok(trace)
    }

    /// Returns what the trace is about.
    pub fn about(&self) -> &str {
        &self.about
    }

    fn plan(&self) -> Plan {
        match self.deployment {
            TraceDeployment::Register => Deployment::Register.plan(),
            TraceDeployment::Hallazgo => Deployment::Hallazgo.plan(),
        }
    }
}

impl Step {
    fn check(&self, nodes: usize) -> Result<(), String> {
        let kinds = [
            self.apply.is_some(),
            self.platform.is_some(),
            self.vm.is_some(),
            self.node.is_some(),
        ];
        if kinds.iter().filter(|kind| **kind).count() != 1 {
            let problem = "needs one of `apply`, `platform`, `vm` and `node`";
            return Err(problem.to_owned());
        }
        if let Some(apply) = &self.apply {
            Resource::all_from_yaml(apply).map_err(|e| e.to_string())?;
        }
        let order = self.order.as_deref().unwrap_or_default();
        if self.vm.is_some() {
            order.parse::<Order>().map_err(|error| error.to_string())?;
        }
        if let Some(node) = self.node {
            if node >= nodes {
                return Err(format!("names node {node} of {nodes}"));
            }
            if !["kill", "stop", "start", "freeze"].contains(&order) {
                let problem = format!(
                    "has order `{order}`, expected kill, stop, start or \
                     freeze",
                );
                return Err(problem);
            }
        }
        Ok(())
    }
}

/// Runs a trace.
///
/// # Errors
///
/// Returns an [`Error`] when the fleet didn't come up.
pub async fn run(trace: &Trace, log: Logger) -> Result<Outcome, Error> {
    let plan = trace.plan();
    let mut run = Run::start(trace, &plan, log).await?;
    let since = Instant::now();
    let mut steps = trace.steps.clone();
    steps.sort_by_key(|step| step.at_ms);
    for step in &steps {
        let at = Duration::from_millis(step.at_ms);
        run.observe_until(since + at).await;
        run.carry_out(step, &plan).await?;
    }
    run.observe_until(since + Duration::from_secs(trace.seconds)).await;
    run.wait_for_waves(&trace.expect.waves_done).await;
    run.finish(trace).await
}

struct Run {
    cluster: Cluster,
    observer: Observer,
    load: Load,
    balancer: watch::Sender<Vec<std::net::SocketAddr>>,
}

impl Run {
    async fn start(
        trace: &Trace,
        plan: &Plan,
        log: Logger,
    ) -> Result<Run, Error> {
        let fleet = fleet::Options::default()
            .service_time(Duration::from_millis(trace.load.service_time_ms))
            .reboot_time(Duration::from_millis(trace.load.reboot_ms));
        let options = cluster::Options::new(log)
            .nodes(trace.nodes)
            .seed(trace.seed)
            .own_threads(1)
            .fleet(fleet);
        let cluster = Cluster::start(plan, options).await?;
        cluster.wait_until_ready(START_LIMIT).await?;
        let revision = cluster.apply(plan.resources()).await?;
        let recorder = cluster.recorder().clone();
        recorder.record(Event::Accepted { revision });
        cluster.wait_until_serving(plan, START_LIMIT).await?;
        let (balancer, nodes) = watch::channel(cluster.caller_addresses());
        let options = load::Options::new(plan.services())
            .callers(trace.load.callers)
            .filings_percent(trace.load.filings_percent)
            .pause(Duration::from_millis(trace.load.pause_ms))
            .seed(trace.seed)
            .recorder(recorder.clone());
        let load = Load::start(&options, nodes);
        let observer = Observer::new(recorder);
        Ok(Run { cluster, observer, load, balancer })
    }

    async fn observe_until(&mut self, until: Instant) {
        while Instant::now() < until {
            self.observer.look(&self.cluster);
            self.balance();
            sleep(LOOK).await;
        }
    }

    /// Sends callers to the nodes that say they are ready.
    fn balance(&self) {
        let ready = self.cluster.nodes().filter(|n| *n.ready().borrow());
        let addresses = ready.map(|node| node.caller_address()).collect();
        self.balancer.send_if_modified(|known| {
            let changed = *known != addresses;
            *known = addresses;
            changed
        });
    }

    async fn carry_out(
        &mut self,
        step: &Step,
        plan: &Plan,
    ) -> Result<(), Error> {
        if let Some(apply) = &step.apply {
            let resources =
                Resource::all_from_yaml(apply).map_err(Error::invalid)?;
            let revision = self.cluster.apply(resources).await?;
            let accepted = Event::Accepted { revision };
            self.cluster.recorder().record(accepted);
        }
        if let Some(fault) = step.platform {
            self.order_platform(fault);
        }
        let order = step.order.as_deref().unwrap_or_default();
        if let Some(vm) = &step.vm {
            let order = order.parse().map_err(Error::invalid)?;
            let ordered = self.cluster.fleet().order(vm, order).await;
            ordered.map_err(Error::invalid)?;
        }
        if let Some(node) = step.node {
            match order {
                "kill" => self.cluster.kill_node(node),
                "stop" => self.stop_node(node).await,
                "start" => self.cluster.restart_node(node, plan).await?,
                _ => {
                    let time = Duration::from_millis(step.for_ms);
                    self.cluster.freeze_node(node, time);
                }
            }
        }
        Ok(())
    }

    fn order_platform(&self, fault: PlatformFault) {
        let faults = self.cluster.store().faults();
        match fault {
            PlatformFault::Out => faults.set_outage(true),
            PlatformFault::Slow => faults.set_delay_us(200_000),
            PlatformFault::Lossy => faults.set_lost_per_mille(200),
            PlatformFault::Back => {
                faults.set_outage(false);
                faults.set_delay_us(2_000);
                faults.set_lost_per_mille(0);
            }
        }
    }

    /// Stops a node as planned; the balancer sees that it isn't ready.
    async fn stop_node(&mut self, index: usize) {
        let address =
            self.cluster.nodes().nth(index).map(|node| node.caller_address());
        self.balancer.send_modify(|known| {
            known.retain(|known| Some(*known) != address);
        });
        self.cluster.stop_node(index).await;
    }

    async fn wait_for_waves(&mut self, waves: &[String]) {
        let until = Instant::now() + SETTLE_LIMIT;
        while Instant::now() < until {
            if waves.iter().all(|wave| is_done(&self.cluster, wave)) {
                return;
            }
            self.observe_until(Instant::now() + LOOK).await;
        }
    }

    async fn finish(self, trace: &Trace) -> Result<Outcome, Error> {
        let results = self.load.finish().await;
        let expect = &trace.expect;
        let measures = self.observer.measures().clone();
        let mut missed = Vec::new();
        for wave in &expect.waves_done {
            if !is_done(&self.cluster, wave) {
                missed.push(format!("wave {wave} isn't done"));
            }
        }
        let mut at_least = |what: &str, least: u64, got: u64| {
            if got < least {
                missed.push(format!("{got} {what}, expected {least}"));
            }
        };
        at_least("requests ran", expect.least_ran, results.ran);
        let out = results.problems.get("503 journal-out");
        let refused = out.copied().unwrap_or(0);
        at_least("filings refused", expect.least_refused_filings, refused);
        if let Some(most) = expect.most_unknown
            && results.unknown > most
        {
            let unknown = results.unknown;
            missed.push(format!("{unknown} unknown, expected {most} at most"));
        }
        if let Some(most) = expect.most_moves
            && measures.task_moves > most
        {
            let moves = measures.task_moves;
            missed.push(format!("{moves} moves, expected {most} at most"));
        }
        let lines = self.cluster.recorder().lines();
        let history = self.cluster.recorder().to_text();
        let report = history::check(&lines);
        Ok(Outcome { report, results, measures, missed, history })
    }
}

fn is_done(cluster: &Cluster, wave: &str) -> bool {
    cluster.nodes().any(|node| {
        let view = node.view().borrow().clone();
        view.pools.values().any(|pool| pool.value.wave_done(wave))
    })
}

/// Runs a trace without logs.
///
/// # Errors
///
/// As [`run`].
pub async fn run_quietly(trace: &Trace) -> Result<Outcome, Error> {
    run(trace, logs::discard()).await
}
