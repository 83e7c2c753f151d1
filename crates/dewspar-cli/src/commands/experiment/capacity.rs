/*!
What each role costs a node, measured at several sizes and worked out for the
target's.

Each node has a thread of its own, so that its processor time can be told from
the stand-ins'. Memory is the slope of the process's resident memory over the
number of nodes. Bytes between nodes are those of whole packets.
*/

use {
    self::figures::{Cost, Lines, Total, head, print_lines, row, target},
    super::{
        Aims,
        cost::{Line, resident_bytes, threads_time},
    },
    crate::{
        cluster::{self, Cluster},
        deployment::Plan,
        exit::{Code, Error},
        load::{self, Load},
    },
    clap::Args,
    dewspar::{
        config::Resource,
        once::{Filing, Key, Outcome},
    },
    dewspard::{journal::Intended, logs},
    std::time::Duration,
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

mod figures;

/// How long the fleet may take to come up.
const START_LIMIT: Duration = Duration::from_secs(60);

/// What each role costs a node, as slopes, and at the target's size.
#[derive(Args, Debug)]
pub struct Capacity {
    /// How long to measure at each size, in seconds.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// Only these roles.
    #[arg(long, value_delimiter = ',', value_enum)]
    roles: Vec<Role>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
enum Role {
    Roster,
    Configuration,
    Fleet,
    Filings,
    Requests,
}

impl Capacity {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when a cluster didn't come up.
    pub async fn run(self) -> Result<Code, Error> {
        let mut aims = Aims::default();
        let mut total = Total::default();
        // The fleet first: memory that was freed isn't given back, so a
        // small cluster after a large one would seem to take none.
        if self.wants(Role::Fleet) {
            self.fleet(&mut total).await?;
        }
        if self.wants(Role::Roster) {
            self.roster(&mut total).await?;
        }
        if self.wants(Role::Configuration) {
            self.configuration(&mut total, &mut aims).await?;
        }
        if self.wants(Role::Filings) {
            self.filings(&mut aims).await?;
        }
        if self.wants(Role::Requests) {
            self.requests().await?;
        }
        total.hold(&mut aims);
        Ok(aims.code())
    }

    fn wants(&self, role: Role) -> bool {
        self.roles.is_empty() || self.roles.contains(&role)
    }

    fn window(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// The roster: idle nodes without a fleet.
    async fn roster(&self, total: &mut Total) -> Result<(), Error> {
        println!("roster: idle nodes, no fleet");
        head("nodes");
        let mut points = Vec::new();
        let mut memory = Vec::new();
        for nodes in [4, 8, 16, 32] {
            let plan = Plan::new(1, Vec::new(), 0);
            let cluster = start(&plan, nodes, 1).await?;
            sleep(Duration::from_secs(1)).await;
            let cost = self.measure(&cluster, async {}).await;
            row(nodes as f64, &cost);
            memory.push((nodes as f64, resident_bytes() as f64));
            points.push((nodes as f64, cost));
            cluster.stop().await;
        }
        let lines = Lines::through(&points);
        let memory = Line::through(&memory);
        total.cpu_percent += lines.cpu_percent.at(target::NODES);
        total.bytes += lines.bytes.at(target::NODES);
        total.memory_bytes += memory.slope;
        total.reads += lines.reads.at(target::NODES) * target::NODES;
        total.writes += lines.writes.at(target::NODES) * target::NODES;
        print_lines("node", &lines, target::NODES);
        println!(
            "  memory of a node without a fleet: {:.2} MB (slope over nodes)",
            memory.slope / 1e6,
        );
        Ok(())
    }

    /// Fleet control and worker reports: an idle fleet.
    async fn fleet(&self, total: &mut Total) -> Result<(), Error> {
        println!("fleet control and worker reports: idle fleet, 4 nodes");
        head("workers");
        let mut points = Vec::new();
        let mut memory = Vec::new();
        for pools in [25_usize, 75, 150] {
            let nodes = 4;
            let plan = fleet_plan(pools);
            let workers = plan.vms().len() as f64;

            let cluster = start(&plan, nodes, 1).await?;
            cluster.apply(plan.resources()).await?;
            cluster.wait_until_serving(&plan, START_LIMIT).await?;
            sleep(Duration::from_secs(2)).await;
            let cost = self.measure(&cluster, async {}).await;
            row(workers, &cost);
            points.push((workers, cost));
            let resident = resident_bytes() as f64;
            memory.push((workers, resident / nodes as f64));
            cluster.stop().await;
        }
        let lines = Lines::through(&points);
        let memory = Line::through(&memory);
        // A node acts for its share of the fleet, but knows all of it. Four
        // nodes each act for a quarter; at the target it is a 70th.
        let share = 4.0 / target::NODES;
        let workers = target::WORKERS;
        total.cpu_percent += lines.cpu_percent.slope * workers * share;
        total.bytes += lines.bytes.slope * workers * share;
        total.memory_bytes += memory.slope * workers;
        println!(
            "  slope for each worker at 4 nodes: {:.4} % of a core, {:.1} B/s",
            lines.cpu_percent.slope, lines.bytes.slope,
        );
        println!(
            "  memory for each worker, at most: {:.1} KB a node (stand-ins \
             included)",
            memory.slope / 1e3,
        );
        println!(
            "  at {workers} workers and {} nodes: {:.3} % of a core, {:.0} B/s",
            target::NODES,
            lines.cpu_percent.slope * workers * share,
            lines.bytes.slope * workers * share,
        );
        Ok(())
    }

    /// Configuration: changes over snapshots of several sizes.
    async fn configuration(
        &self,
        total: &mut Total,
        aims: &mut Aims,
    ) -> Result<(), Error> {
        println!("configuration: 5 changes a second, 6 nodes");
        println!(
            "  {:>9} {:>14} {:>14} {:>14}",
            "resources", "core-ms/change", "bytes/change", "in force ms",
        );
        let mut cpu = Vec::new();
        let mut bytes = Vec::new();
        let mut slowest_ms = 0.0_f64;
        for resources in [100, 400, 1_600] {
            let plan = Plan::new(1, Vec::new(), 0);
            let cluster = start(&plan, 6, 1).await?;
            cluster.apply(teams(resources)).await?;
            sleep(Duration::from_secs(1)).await;
            let idle = self.measure(&cluster, async {}).await;
            let changes = self.seconds * 5;
            let mut worst_ms = 0.0_f64;
            let busy = self
                .measure(&cluster, async {
                    for n in 0..changes {
                        let since = Instant::now();
                        let change = vec![team(0, n + 2)];
                        let Ok(revision) = cluster.apply(change).await else {
                            return;
                        };
                        wait_in_force(&cluster, revision).await;
                        let took = since.elapsed();
                        worst_ms = worst_ms.max(took.as_secs_f64() * 1e3);
                        let pause = Duration::from_millis(200);
                        sleep(pause.saturating_sub(took)).await;
                    }
                })
                .await;
            let per_second = 5.0;
            let core_ms =
                (busy.cpu_percent - idle.cpu_percent) * 10.0 / per_second;
            let change_bytes = (busy.bytes() - idle.bytes()) / per_second;
            println!(
                "  {resources:>9} {core_ms:>14.3} {change_bytes:>14.0} \
                 {worst_ms:>14.1}",
            );
            cpu.push((f64::from(resources), core_ms));
            bytes.push((f64::from(resources), change_bytes));
            slowest_ms = slowest_ms.max(worst_ms);
            cluster.stop().await;
        }
        // Four resources for each pool, about.
        let size = 4.0 * target::POOLS;
        let core_ms = Line::through(&cpu).at(size);
        let change_bytes = Line::through(&bytes).at(size);
        total.cpu_percent += core_ms / 10.0 * target::CHANGES;
        total.bytes += change_bytes * target::CHANGES;
        println!(
            "  at {size} resources: {core_ms:.2} core-ms and \
             {change_bytes:.0} B for each change; {:.4} changes/s",
            target::CHANGES,
        );
        aims.hold(
            "configuration in force within 6 s",
            slowest_ms <= 6_000.0,
            &format!("{slowest_ms:.0} ms at worst"),
        );
        Ok(())
    }

    /// The filings journal: intents and outcomes, without requests.
    async fn filings(&self, aims: &mut Aims) -> Result<(), Error> {
        println!("filings journal: 6 nodes, platform answers in 2 ms");
        println!(
            "  {:>9} {:>9} {:>10} {:>12} {:>12} {:>10} {:>10}",
            "asked/s",
            "done/s",
            "writes/s",
            "core-us each",
            "bytes each",
            "p50 ms",
            "p99 ms",
        );
        let mut worst_writes = 0.0_f64;
        let mut cpu = Vec::new();
        for rate in [500_u64, 2_000, 8_000] {
            let plan = Plan::new(1, Vec::new(), 0);
            let cluster = start(&plan, 6, 1).await?;
            sleep(Duration::from_secs(1)).await;
            let idle = self.measure(&cluster, async {}).await;
            let mut times = Vec::new();
            let busy = self
                .measure(&cluster, async {
                    times = file(&cluster, rate, self.window()).await;
                })
                .await;
            let done = times.len() as f64 / self.seconds as f64;
            let nodes = 6.0;
            let writes = busy.writes * nodes;
            let core_us = (busy.cpu_percent - idle.cpu_percent) * 1e4 * nodes
                / done.max(1.0);
            let each_bytes =
                (busy.bytes() - idle.bytes()) * nodes / done.max(1.0);
            times.sort_unstable();
            let at = |share: f64| {
                let index = (times.len() as f64 * share) as usize;
                let time = times.get(index).copied().unwrap_or_default();
                time.as_secs_f64() * 1e3
            };
            println!(
                "  {rate:>9} {done:>9.0} {writes:>10.1} {core_us:>12.1} \
                 {each_bytes:>12.0} {:>10.1} {:>10.1}",
                at(0.5),
                at(0.99),
            );
            worst_writes = worst_writes.max(writes);
            cpu.push((done, core_us * done / 1e6));
            cluster.stop().await;
        }
        let line = Line::through(&cpu);
        println!(
            "  at {} filings/s: {:.2} cores over all nodes, {:.2} % of a core \
             a node",
            target::FILINGS,
            line.at(target::FILINGS),
            line.at(target::FILINGS) * 100.0 / target::NODES,
        );
        aims.hold(
            "under 200 platform writes/s, however many filings",
            worst_writes < 200.0,
            &format!("{worst_writes:.0} writes/s at worst"),
        );
        Ok(())
    }

    /// The request path: processor time for each request, by rate.
    async fn requests(&self) -> Result<(), Error> {
        println!("request path: repeatable requests, 2 nodes, 10 runners");
        println!(
            "  {:>9} {:>10} {:>14} {:>10} {:>10}",
            "callers", "requests/s", "core-us each", "p50 us", "p99 us",
        );
        let mut memory = Vec::new();
        for callers in [8_usize, 32, 128] {
            let plan = Plan::new(1, vec!["service".to_owned()], 10);
            let cluster = start(&plan, 2, 1).await?;
            cluster.apply(plan.resources()).await?;
            cluster.wait_until_serving(&plan, START_LIMIT).await?;
            let options = load::Options::new(plan.services())
                .callers(callers)
                .filings_percent(0);
            let (_nodes, nodes) = watch::channel(cluster.caller_addresses());
            let load = Load::start(&options, nodes);
            let cost = self.measure(&cluster, sleep(self.window())).await;
            memory.push((callers as f64, resident_bytes() as f64));
            let results = load.finish().await;
            let each_us = cost.cpu_percent * 1e4 * 2.0 / results.per_second();
            println!(
                "  {callers:>9} {:>10.0} {each_us:>14.1} {:>10} {:>10}",
                results.per_second(),
                results.quantile_us(0.5),
                results.quantile_us(0.99),
            );
            cluster.stop().await;
        }
        println!(
            "  memory for each open request: {:.1} KB (caller and stand-in \
             included)",
            Line::through(&memory).slope / 1e3,
        );
        Ok(())
    }

    /// Measures what `work` and the window cost a node, each second.
    async fn measure(
        &self,
        cluster: &Cluster,
        work: impl Future<Output = ()>,
    ) -> Cost {
        let faults = cluster.store().faults();
        let since = Instant::now();
        let cpu = threads_time("node-");
        let peer = cluster.peer_bytes().await;
        let platform = cluster.platform_bytes();
        let (reads, writes) = (faults.reads(), faults.writes());
        work.await;
        sleep(self.window().saturating_sub(since.elapsed())).await;
        let seconds = since.elapsed().as_secs_f64();
        let nodes = cluster.nodes().count() as f64;
        let each = |now: u64, then: u64| {
            now.saturating_sub(then) as f64 / seconds / nodes
        };
        let cpu = threads_time("node-").saturating_sub(cpu);
        Cost {
            cpu_percent: cpu.as_secs_f64() * 100.0 / seconds / nodes,
            // Each packet between nodes costs both of its ends.
            peer_bytes: each(cluster.peer_bytes().await, peer) * 2.0,
            platform_bytes: each(cluster.platform_bytes(), platform),
            reads: each(faults.reads(), reads),
            writes: each(faults.writes(), writes),
        }
    }
}

async fn start(
    plan: &Plan,
    nodes: usize,
    threads: usize,
) -> Result<Cluster, Error> {
    let options = cluster::Options::new(logs::discard())
        .nodes(nodes)
        .own_threads(threads);
    let cluster = Cluster::start(plan, options).await?;
    cluster.wait_until_ready(START_LIMIT).await?;
    Ok(cluster)
}

/// A fleet in the target's proportion: three VMs to two pools, one service
/// each.
fn fleet_plan(pools: usize) -> Plan {
    let services = (0..pools).map(|n| format!("s{n:03}")).collect();
    Plan::new(7, services, 1).with_spare_vms(pools / 2)
}

fn team(index: u64, weight: u64) -> Resource {
    let text = format!(
        "kind: Team\nname: team-{index:05}\n\
         spec: {{partner: p, weight: {weight}}}\n",
    );
    // OK because the text above is valid for small numbers.
    Resource::from_yaml(&text).expect("a valid team")
}

fn teams(count: u32) -> Vec<Resource> {
    (0..u64::from(count)).map(|index| team(index, 1)).collect()
}

async fn wait_in_force(cluster: &Cluster, revision: u64) {
    let behind = || {
        cluster.nodes().any(|node| {
            node.view().borrow().config.value.revision() < revision
        })
    };
    while behind() {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Files at a rate through all nodes; returns how long each intent took.
async fn file(
    cluster: &Cluster,
    rate: u64,
    window: Duration,
) -> Vec<Duration> {
    let nodes: Vec<_> =
        cluster.nodes().map(|node| node.filings().clone()).collect();
    let mut filing = JoinSet::new();
    let since = Instant::now();
    let mut sent = 0_u64;
    while since.elapsed() < window {
        let due = (since.elapsed().as_secs_f64() * rate as f64) as u64;
        while sent < due {
            let filings = nodes[sent as usize % nodes.len()].clone();
            let key = Key::at(dewspard::clock::unix_ms(), u128::from(sent));
            filing.spawn(async move {
                let since = Instant::now();
                let body = Filing::new(key, b"amendment");
                let intended = filings.intend(body).await;
                let Intended::Written(actor) = intended else { return None };
                let took = since.elapsed();
                let outcome = Outcome::Ran { status: 201 };
                // The outcome isn't waited for, as with callers.
                drop(filings.settle(key, actor, outcome));
                Some(took)
            });
            sent += 1;
        }
        sleep(Duration::from_millis(1)).await;
    }
    let mut times = Vec::new();
    while let Some(result) = filing.join_next().await {
        times.extend(result.ok().flatten());
    }
    times
}
