//! A holder that stops deletes the lease's key. If the answer to that is lost,
//! another node may hold the lease, although the store still renews the store
//! lease of this one: a renewal proves only that the store lease lives, not
//! that the key is still there. The feed, which reports the deletion of the
//! key, is silent in these tests. Time is simulated.

use {
    dewspar::{
        job::{JobId, JobSpec, Queue, QueueSet, StepSpec},
        schedule::{AcceptedJob, QueueTerms},
    },
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        clock,
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::{future::Future, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longer than any wait, so that no node is ended by it.
const STOP_GRACE_MS: u64 = 60_000;

const POOL: &str = "registry";

const VMS: usize = 4;

const LEASE_KEY: &str = "q/owner";

async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("in time");
}

fn terms() -> QueueTerms {
    QueueTerms {
        pool: POOL.to_owned(),
        max_attempts: 3,
        stretch: 2.0,
        ..QueueTerms::default()
    }
}

fn start_fleet() -> TaskFleet {
    let fleet = TaskFleet::new(Faults::new(2), POOL, VMS);
    fleet.set_work_ms(60_000);
    let queue = Queue {
        name: "extracts".to_owned(),
        timeout_ms: 120_000,
        terms: terms(),
        ..Queue::default()
    };
    fleet.configure(QueueSet::new(1, vec![queue]));
    fleet
}

async fn start_node(name: &str, store: &Store, fleet: &TaskFleet) -> JobNode {
    let mut settings = JobSettings::loopback(name);
    settings.timing.stop_grace_ms = STOP_GRACE_MS;
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
    node.expect("a started node")
}

async fn lease_revision(store: &Store) -> u64 {
    store.version(LEASE_KEY).await.expect("a store")
}

/// Submits a job of so many steps of one task, and waits until it runs.
async fn submit(store: &Store, fleet: &TaskFleet, steps: usize) {
    let id: JobId = "0000000000000001".parse().expect("an identifier");
    let step = |number: usize| StepSpec {
        count: 1,
        cpu_millis: 100,
        after: number.checked_sub(1).into_iter().collect(),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        queue: "extracts".to_owned(),
        steps: (0..steps).map(step).collect(),
        ..JobSpec::default()
    };
    let accepted_at_ms = clock::unix_ms();
    let job = AcceptedJob { spec, terms: terms(), accepted_at_ms, team: None };
    let job = serde_json::to_vec(&job).expect("plain JSON");
    let batch = Batch::default().put(&format!("q/in/{id}"), job);
    store.commit(&batch).await.expect("a store");
    wait_until(async || fleet.running().len() == 1).await;
}

/// A successor may have taken in how the lost run ended.
#[tokio::test(start_paused = true)]
async fn no_task_starts_again_once_the_lease_may_be_released() {
    let store = Store::new(Faults::new(1));
    let own_faults = Faults::new(3);
    let own_store = store.reached_with(own_faults.clone());
    let fleet = start_fleet();
    let node = start_node("node-0", &own_store, &fleet).await;
    wait_until(async || lease_revision(&store).await != 0).await;
    submit(&store, &fleet, 1).await;

    own_faults.set_silent(true);
    own_faults.set_commit_answers_lost(true);
    let stopping = tokio::spawn(node.stop());
    wait_until(async || lease_revision(&store).await == 0).await;
    // Past the time after which the deletion counts as unanswered, and
    // several renewals.
    sleep(Duration::from_secs(2)).await;
    for vm in 0..VMS {
        fleet.restart(&format!("vm-{vm}"));
    }
    sleep(Duration::from_secs(3)).await;
    assert!(!stopping.is_finished(), "gave up too soon");
    assert_eq!(fleet.started().len(), 1, "{:?}", fleet.started());

    // Renewals still show that the store is available.
    own_faults.set_commit_answers_lost(false);
    timeout(TIMEOUT, stopping).await.expect("in time").expect("stopped");
}

/// Guards against jobs that stand still until the store answers again: nobody
/// else may be able to take over.
#[tokio::test(start_paused = true)]
async fn waiting_tasks_start_while_the_lease_may_be_released() {
    let store = Store::new(Faults::new(1));
    let own_faults = Faults::new(3);
    let own_store = store.reached_with(own_faults.clone());
    let fleet = start_fleet();
    fleet.set_work_ms(3_000);
    let node = start_node("node-0", &own_store, &fleet).await;
    wait_until(async || lease_revision(&store).await != 0).await;
    submit(&store, &fleet, 2).await;

    own_faults.set_silent(true);
    own_faults.set_commit_answers_lost(true);
    let stopping = tokio::spawn(node.stop());
    wait_until(async || lease_revision(&store).await == 0).await;
    wait_until(async || fleet.started().len() == 2).await;
    assert!(!stopping.is_finished(), "started by another holder");
    assert_eq!(fleet.ran_twice(), []);
}

/// The renewals of the former holder's store lease don't disprove what the
/// workers say about its successor.
#[tokio::test(start_paused = true)]
async fn a_former_holder_gives_up_once_workers_have_seen_its_successor() {
    let store = Store::new(Faults::new(1));
    let own_faults = Faults::new(3);
    let own_store = store.reached_with(own_faults.clone());
    let fleet = start_fleet();
    let node = start_node("node-0", &own_store, &fleet).await;
    wait_until(async || lease_revision(&store).await != 0).await;
    let held = lease_revision(&store).await;
    submit(&store, &fleet, 1).await;
    let _successor = start_node("node-1", &store, &fleet).await;

    own_faults.set_silent(true);
    own_faults.set_commit_answers_lost(true);
    let stopping = tokio::spawn(node.stop());
    wait_until(async || lease_revision(&store).await > held).await;
    // Less than the time for which a holder goes on without its lease.
    let stopped = timeout(Duration::from_secs(5), stopping).await;
    stopped.expect("given up").expect("stopped");
    assert_eq!(fleet.started().len(), 1, "{:?}", fleet.started());
}
