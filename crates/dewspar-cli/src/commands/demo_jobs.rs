/*!
Nodes that run jobs, in one process: some jobs, and the node that schedules
them killed on the way.
*/

use {
    crate::{
        client::Client,
        exit::{Code, Error},
    },
    dewspar::{
        job::{Queue, QueueSet},
        schedule::QueueTerms,
    },
    dewspar_platform::{KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    serde_json::{Value, json},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{Instant, sleep},
};

const POOL: &str = "registry";
const QUEUE: &str = "extracts";
const NODES: usize = 3;
const VMS: usize = 6;
const JOBS: u64 = 20;

/// How long each task takes, in milliseconds.
const WORK_MS: u64 = 600;

/// How long all of it may take.
const LIMIT: Duration = Duration::from_secs(60);

/// How often things are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Runs the demonstration; fails if a job is lost or a task runs again
/// although the workers never failed.
pub(super) async fn run(seed: u64) -> Result<Code, Error> {
    let store = Store::new(Faults::new(seed));
    let fleet = TaskFleet::new(Faults::new(seed), POOL, VMS);
    fleet.set_work_ms(WORK_MS);
    fleet.configure(QueueSet::new(1, vec![queue()]));
    let lapsed = store.clone();
    let lapsing = tokio::spawn(async move {
        loop {
            sleep(LOOK).await;
            lapsed.lapse_leases();
        }
    });
    let mut nodes = BTreeMap::new();
    for number in 1..=NODES {
        let name = format!("entry-{number}");
        nodes.insert(name.clone(), start(&name, &store, &fleet).await?);
    }
    println!("{NODES} nodes, {VMS} VMs, {JOBS} jobs of 5 tasks");
    let first = nodes.values().next().map(JobNode::caller_address);
    let first = first.ok_or_else(|| Error::failure("no node"))?;
    let begin = Instant::now();
    submit(&Client::new(&format!("http://{first}"), None)).await?;
    let holder = holder(&store).await?;
    if let Some(node) = nodes.remove(&holder) {
        println!("{holder} schedules; it is killed now");
        node.kill();
    }
    let other = nodes.values().next().map(JobNode::caller_address);
    let other = other.ok_or_else(|| Error::failure("no node is left"))?;
    let client = Client::new(&format!("http://{other}"), None);
    let completed = wait(&client).await;
    lapsing.abort();
    Ok(report(&fleet, completed, begin.elapsed()))
}

fn queue() -> Queue {
    Queue {
        name: QUEUE.to_owned(),
        timeout_ms: 3_000,
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        ..Queue::default()
    }
}

async fn start(
    name: &str,
    store: &Store,
    fleet: &TaskFleet,
) -> Result<JobNode, Error> {
    let settings = JobSettings::loopback(name);
    let platform = JobPlatform {
        store: store.clone(),
        workers: fleet.clone(),
        fleet: fleet.clone(),
        protocol: RestProtocol,
        readiness_path: "/ready",
        traffic: Traffic::default(),
        unreadable: UnreadableNotes::default(),
        peers: None,
    };
    let log = logs::discard();
    let node = JobNode::start(&settings, platform, None, &log).await;
    node.map_err(Error::failure)
}

fn path(number: u64) -> String {
    format!("/v1/queues/{QUEUE}/jobs/{number:016x}")
}

/// Hands the jobs in; a node that isn't ready yet is asked again.
async fn submit(client: &Client) -> Result<(), Error> {
    let job = json!({ "steps": [
        { "count": 4, "cpu_millis": 1000, "memory_mb": 1000 },
        { "count": 1, "cpu_millis": 1000, "memory_mb": 1000, "after": [0] },
    ]});
    let until = Instant::now() + LIMIT;
    for number in 1..=JOBS {
        while let Err(error) =
            client.post(&path(number), job.to_string()).await
        {
            if Instant::now() > until {
                return Err(error);
            }
            sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Returns the node that schedules, once some task has started.
async fn holder(store: &Store) -> Result<String, Error> {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let found = store.get("q/owner").await.map_err(Error::failure)?;
        if let Some(found) = found {
            let owner: Value = serde_json::from_slice(&found.value)
                .map_err(Error::failure)?;
            let name = owner["node"].as_str().unwrap_or_default();
            sleep(Duration::from_millis(WORK_MS)).await;
            return Ok(name.to_owned());
        }
        sleep(LOOK).await;
    }
    Err(Error::failure("no node schedules"))
}

/// Waits for the jobs' ends and returns how many were completed.
async fn wait(client: &Client) -> u64 {
    let until = Instant::now() + LIMIT;
    let mut completed = 0;
    for number in 1..=JOBS {
        while Instant::now() < until {
            let answer = client.get(&path(number)).await;
            if answer.is_ok_and(|answer| answer["phase"] == "completed") {
                completed += 1;
                break;
            }
            sleep(LOOK).await;
        }
    }
    completed
}

fn report(fleet: &TaskFleet, completed: u64, took: Duration) -> Code {
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    for (task, _) in fleet.started() {
        *starts.entry(task.to_string()).or_default() += 1;
    }
    let again = starts.values().filter(|starts| **starts > 1).count();
    println!(
        "{completed} of {JOBS} jobs completed in {:.1} s, {} tasks started, \
         {again} of them more than once",
        took.as_secs_f64(),
        starts.len(),
    );
    if completed == JOBS && again == 0 { Code::Success } else { Code::Failure }
}
