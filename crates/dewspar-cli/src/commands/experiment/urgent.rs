/*!
How long urgent work takes from the operator's write to the worker's start.
*/

use {
    super::Aims,
    crate::{
        cluster::{self, Cluster},
        deployment::Plan,
        exit::{Code, Error},
    },
    clap::Args,
    dewspar::{config::Resource, member, pool::TaskState},
    dewspard::logs,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// The aim, in milliseconds.
const MOST_MS: f64 = 3_200.0;

/// How long a start may take before it is given up.
const LIMIT: Duration = Duration::from_secs(20);

/// Time urgent work, also with the node killed that should have acted.
#[derive(Args, Debug)]
pub struct Urgent {
    /// How many jobs are written while all is well.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=200))]
    jobs: u32,
    /// How many are written as the first-ranked node is killed.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=50))]
    kills: u32,
}

impl Urgent {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the fleet didn't come up or a job didn't
    /// start.
    pub async fn run(&self) -> Result<Code, Error> {
        let plan = Plan::new(1, vec!["service".to_owned()], 6);
        let options =
            cluster::Options::new(logs::discard()).nodes(4).own_threads(1);
        let mut cluster = Cluster::start(&plan, options).await?;
        cluster.wait_until_ready(LIMIT).await?;
        cluster.apply(plan.resources()).await?;
        cluster.wait_until_serving(&plan, LIMIT).await?;
        println!("4 nodes, 6 workers; from the write to the worker's start");
        println!(
            "  {:<28} {:>5} {:>10} {:>10}",
            "case", "jobs", "median ms", "worst ms",
        );
        let mut calm = Vec::new();
        for number in 0..self.jobs {
            calm.push(start_one(&cluster, &format!("calm-{number}")).await?);
        }
        let calm_ms = row("all nodes up", &mut calm);
        let mut killed = Vec::new();
        for number in 0..self.kills {
            let first = first_for(&cluster, "pool/service");
            cluster.kill_node(first);
            let job = format!("killed-{number}");
            killed.push(start_one(&cluster, &job).await?);
            cluster.restart_node(first, &plan).await?;
            cluster.wait_until_serving(&plan, LIMIT).await?;
            sleep(Duration::from_secs(1)).await;
        }
        let killed_ms = row("first-ranked node killed", &mut killed);
        cluster.stop().await;
        let mut aims = Aims::default();
        for (case, worst_ms) in
            [("all nodes up", calm_ms), ("node killed", killed_ms)]
        {
            aims.hold(
                &format!("urgent work starts within 3.2 s, {case}"),
                worst_ms <= MOST_MS,
                &format!("{worst_ms:.0} ms at worst"),
            );
        }
        Ok(aims.code())
    }
}

/// Returns the number of the node that acts first for a key.
fn first_for(cluster: &Cluster, key: &str) -> usize {
    let names: Vec<String> = cluster
        .nodes()
        .map(|node| node.standing().borrow().own().to_owned())
        .collect();
    let live: Vec<&str> = names.iter().map(String::as_str).collect();
    let first = member::first(key, &live).unwrap_or_default();
    // Nodes are named by their numbers.
    let number = first.rsplit('-').next().and_then(|n| n.parse().ok());
    number.unwrap_or(0)
}

/// Writes an urgent job and waits until its worker has started it.
async fn start_one(cluster: &Cluster, name: &str) -> Result<f64, Error> {
    let text = format!(
        "kind: Job\nname: {name}\n\
         spec: {{team: service-team, pool: service, urgent: true, \
         run_ms: 100, cpu_millis: 100, memory_mb: 100}}\n",
    );
    let job = Resource::from_yaml(&text).map_err(Error::failure)?;
    let since = Instant::now();
    cluster.apply(vec![job]).await?;
    let task = format!("{name}-0");
    while !has_started(cluster, &task) {
        if since.elapsed() > LIMIT {
            return Err(Error::failure(format!("{name} didn't start")));
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(since.elapsed().as_secs_f64() * 1e3)
}

fn has_started(cluster: &Cluster, task: &str) -> bool {
    cluster.nodes().any(|node| {
        let view = node.view().borrow().clone();
        let pool = view.pools.get("service");
        let task = pool.and_then(|pool| pool.value.task(task));
        task.is_some_and(|task| {
            matches!(task.state(), TaskState::Running | TaskState::Finished)
        })
    })
}

/// Prints a case's line; returns its worst time.
fn row(case: &str, times_ms: &mut [f64]) -> f64 {
    times_ms.sort_by(f64::total_cmp);
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(0.0);
    let worst = times_ms.last().copied().unwrap_or(0.0);
    let count = times_ms.len();
    println!("  {case:<28} {count:>5} {median:>10.0} {worst:>10.0}");
    worst
}
