//! Workers that become known while an inherited task has a place and its start
//! isn't ordered yet.

use {
    crate::{
        crashing::first_task,
        world::{ROOM, World, at, id, job, listing, step},
    },
    dewspar::schedule::{Incarnation, Resources, StartOrder},
    dewspar_standin::task_worker::{Fate, TaskWorker},
};

/// How long a start waits for its record at most, plus one plan, in
/// milliseconds.
const RECORD_WAIT_MS: u64 = 300 + 50;

/// Plans for this long while the store doesn't answer, in milliseconds.
fn run_without_answers(world: &mut World, ms: u64) {
    let end_ms = world.now_ms + ms;
    while world.now_ms < end_ms {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
    }
}

/// Guards against two runs of a task: its start waits for its record while a
/// worker becomes known that may run it.
#[test]
fn a_withheld_start_waits_for_a_worker_that_becomes_known() {
    let mut world = World::new(5, &["w1"]);
    world.fate = Fate::endless();
    world.take_over(8);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.list();
    world.expect_all();
    run_without_answers(&mut world, 150);
    assert_eq!(world.starts.len(), 0, "it isn't on record");

    // A former holder has started the task there.
    let late = listing("w2");
    let mut worker = TaskWorker::new(ROOM);
    let order = StartOrder {
        task: first_task(id(1)),
        run: 1,
        payload: "".into(),
        lease_until_ms: world.now_ms + 8_000,
        fence: 5 * 1_024,
        checkpoint: String::new(),
        ticket: String::new(),
        process: Incarnation::UNKNOWN,
        is_for_process_only: false,
    };
    let demand = Resources { cpu_millis: 1_000, memory_mb: 100, gpus: 0 };
    let started = worker.start(world.now_ms, &order, demand, world.fate);
    assert_eq!(started, Ok(world.now_ms));
    world.unreachable.push(late.id.clone());
    world.workers.insert(late.id.clone(), worker);
    world.listings.push(late);
    world.list();
    world.list_vms();
    run_without_answers(&mut world, RECORD_WAIT_MS);
    assert_eq!(world.running().len(), 1);
}
