//! What the scheduler must and must not order, case by case.

use {
    dewspar::{
        job::{JobId, JobSpec, Phase, Repeat, StepSpec, TaskId},
        schedule::{
            AcceptedJob, Action, AdviceTerms, Held, HoldReport, ManagedVm,
            Now, Options, OrderError, QueueTerms, Refusal, Room, Scheduler,
            StartOrder, VmLife, VmOrder, VmOrderError, WaveRequest, WorkerId,
            WorkerListing,
        },
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    std::collections::BTreeMap,
};

const POOL: &str = "registry";

const ROOM: Room = Room { cpu_millis: 4_000, memory_mb: 4_000, gpus: 0 };

fn at(steady_ms: u64) -> Now {
    Now { steady_ms, unix_ms: 1_700_000_000_000 + steady_ms }
}

fn listing(name: &str) -> WorkerListing {
    WorkerListing {
        id: WorkerId::new(name),
        address: format!("{name}:1"),
        vm: format!("vm-of-{name}"),
        pool: POOL.to_owned(),
        rack: "rack-1".to_owned(),
        labels: vec!["a".to_owned(), "rack-1".to_owned()],
        capacity: ROOM,
        draining: false,
        remaining_ms: None,
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        cpu_millis: 1_000,
        memory_mb: 100,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> AcceptedJob {
    AcceptedJob {
        spec: JobSpec { steps, ..JobSpec::default() },
        terms: QueueTerms {
            pool: POOL.to_owned(),
            max_attempts: 3,
            stretch: 2.0,
            ..QueueTerms::default()
        },
        accepted_at_ms: 1_700_000_000_000,
    }
}

fn id(number: u64) -> JobId {
    // OK because it is always 16 hexadecimal digits.
    format!("{number:016x}").parse().unwrap()
}

/// A scheduler and its workers, every order carried out at once unless a
/// worker is cut off.
struct World {
    scheduler: Scheduler,
    workers: BTreeMap<WorkerId, TaskWorker>,
    listings: Vec<WorkerListing>,
    cut: Vec<WorkerId>,
    starts: Vec<(WorkerId, StartOrder)>,
    now_ms: u64,
    fate: Fate,
}

impl World {
    fn new(revision: u64, names: &[&str]) -> World {
        let listings: Vec<WorkerListing> =
            names.iter().map(|name| listing(name)).collect();
        let workers = listings
            .iter()
            .map(|listing| (listing.id.clone(), TaskWorker::new(ROOM)))
            .collect();
        World {
            scheduler: Scheduler::new(revision, Options::default()),
            workers,
            listings,
            cut: Vec::new(),
            starts: Vec::new(),
            now_ms: 1_000,
            fate: Fate::done(500),
        }
    }

    /// Tells the scheduler of every life that there is.
    fn expect_all(&mut self) {
        let lives: Vec<(WorkerId, String)> = self
            .listings
            .iter()
            .map(|listing| (listing.id.clone(), listing.pool.clone()))
            .collect();
        self.scheduler.expect_workers(at(self.now_ms), lives);
    }

    /// Lets another holder take over with the same workers.
    fn take_over(&mut self, revision: u64) {
        self.scheduler = Scheduler::new(revision, Options::default());
    }

    fn list(&mut self) {
        let now = at(self.now_ms);
        self.scheduler.list_workers(now, self.listings.clone());
    }

    /// Plans every 50 ms for so long, and stores what changed.
    fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 50;
            self.round();
        }
    }

    fn round(&mut self) {
        let now = at(self.now_ms);
        for action in self.scheduler.plan(now) {
            self.carry_out(action, now);
        }
        let changes = self.scheduler.take_changes(100);
        self.scheduler.changes_stored(&changes, now);
    }

    fn carry_out(&mut self, action: Action, now: Now) {
        let clock = now.steady_ms;
        match action {
            Action::Start { worker, order, .. } => {
                let demand = Room { cpu_millis: 1_000, ..Room::default() };
                let fate = self.fate;
                let result = match self.reach(&worker) {
                    Some(reached) => {
                        reached.start(clock, &order, demand, fate)
                    }
                    None => Err(OrderError::Unknown),
                };
                self.starts.push((worker.clone(), order.clone()));
                let (task, run) = (order.task, order.run);
                self.scheduler
                    .start_answered(&worker, &task, run, result, now);
            }
            Action::Stop { worker, order, .. } => {
                let result = match self.reach(&worker) {
                    Some(reached) => reached.stop(clock, &order),
                    None => Err(OrderError::Unknown),
                };
                self.scheduler.stop_answered(
                    &worker,
                    &order.task,
                    result,
                    now,
                );
            }
            Action::Hold { worker, held, .. } => {
                let result = match self.reach(&worker) {
                    Some(reached) => reached.hold(clock, held.order()),
                    None => Err(OrderError::Unknown),
                };
                self.hold_result(&worker, &held, result, now);
            }
            Action::Pace { .. } | Action::Advise { .. } => {}
        }
    }

    fn hold_result(
        &mut self,
        worker: &WorkerId,
        held: &Held,
        result: Result<HoldReport, OrderError>,
        now: Now,
    ) {
        match result {
            Ok(report) => {
                self.scheduler.hold_answered(worker, held, &report, now);
            }
            Err(error) => {
                self.scheduler.hold_failed(worker, held, error, now);
            }
        }
    }

    fn reach(&mut self, worker: &WorkerId) -> Option<&mut TaskWorker> {
        if self.cut.contains(worker) {
            return None;
        }
        self.workers.get_mut(worker)
    }

    fn running(&mut self) -> Vec<String> {
        let now_ms = self.now_ms;
        let mut running: Vec<String> = self
            .workers
            .values_mut()
            .flat_map(|worker| worker.running(now_ms))
            .map(|(task, _)| task.to_string())
            .collect();
        running.sort();
        running
    }
}

#[test]
fn runs_steps_in_order() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    let second = StepSpec { after: vec![0], ..step(1) };
    world.scheduler.submit(id(1), job(vec![step(3), second]), 6, None);
    world.run_for(300);
    assert_eq!(world.starts.len(), 3);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.scheduler.phase(id(1)), None, "stored and forgotten");
}

#[test]
fn fails_a_job_after_its_attempts() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 3);
    assert_eq!(world.scheduler.phase(id(1)), None);
}

#[test]
fn a_task_goes_back_to_the_only_worker_that_its_pool_has() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "another worker may come");
    world.fate = Fate::done(100);
    world.run_for(2_000);
    assert_eq!(world.starts.len(), 2, "none has come");
    assert_eq!(world.scheduler.phase(id(1)), None, "stored and forgotten");
}

#[test]
fn moves_the_tasks_of_a_silent_worker_once_its_lease_is_over() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(300);
    let (first, _) = world.starts[0].clone();
    world.cut.push(first);
    world.run_for(7_000);
    assert_eq!(world.starts.len(), 1, "its lease may still be running");
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2, "its lease is over");
}

#[test]
fn a_lost_answer_is_asked_for_again_at_once() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    let worker = WorkerId::new("w1");
    let held = next_hold(&mut world, &worker);
    let now = at(world.now_ms);
    world.hold_result(&worker, &held, Err(OrderError::Unknown), now);
    // The next plan asks again, and doesn't let the worker wait.
    let again = next_hold(&mut world, &worker);
    assert_eq!(again.order().wait_ms, 0);
    // One lost answer is no silence: the worker still gets what is to run.
    world.scheduler.submit(id(2), job(vec![step(1)]), 7, None);
    let starts = world.scheduler.plan(now);
    assert!(matches!(&starts[..], [Action::Start { .. }]), "{starts:?}");
    world.hold_result(&worker, &again, Err(OrderError::Unknown), now);
    world.scheduler.submit(id(3), job(vec![step(1)]), 8, None);
    assert_eq!(world.scheduler.plan(now), [], "now it is silent");
}

/// Plans at this moment and returns the hold that goes to a worker.
fn next_hold(world: &mut World, worker: &WorkerId) -> Held {
    let actions = world.scheduler.plan(at(world.now_ms));
    let held = actions.into_iter().find_map(|action| match action {
        Action::Hold { worker: to, held, .. } if to == *worker => Some(held),
        _ => None,
    });
    held.expect("a hold is owed")
}

#[test]
fn a_life_that_ended_is_not_taken_back_from_the_directory() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    let worker = WorkerId::new("w1");
    world.scheduler.worker_gone(&worker, "test", at(world.now_ms));
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    assert!(world.starts.is_empty());
}

#[test]
fn inherited_tasks_wait_for_a_worker_that_the_directory_misses() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::endless();
    world.expect_all();
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(300);
    let (first, _) = world.starts[0].clone();
    world.take_over(9);
    // The directory has lost the entry of the worker that runs the task,
    // but the VM service knows that it lives.
    let all = world.listings.clone();
    world.listings.retain(|listing| listing.id != first);
    world.list();
    let lives = all.iter().map(|l| (l.id.clone(), l.pool.clone()));
    world.scheduler.expect_workers(at(world.now_ms), lives);
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "it may run where nobody looked");
    world.listings = all;
    world.list();
    world.run_for(300);
    assert_eq!(world.starts.len(), 1, "it was found");
    assert_eq!(world.running().len(), 1);
}

#[test]
fn inherited_tasks_wait_until_the_living_workers_are_known() {
    let mut world = World::new(9, &["w1"]);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 4, None);
    world.run_for(500);
    assert!(world.starts.is_empty());
    let lives = [(WorkerId::new("w1"), POOL.to_owned())];
    world.scheduler.expect_workers(at(world.now_ms), lives);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_so() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 2);
    world.scheduler.cancel(id(1), at(world.now_ms));
    assert_eq!(world.scheduler.phase(id(1)), Some(Phase::Cancelled));
    world.run_for(500);
    assert!(world.running().is_empty());
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_late_order_of_an_unanswered_start_does_nothing() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let now = at(world.now_ms);
    let actions = world.scheduler.plan(now);
    let order = actions.iter().find_map(|action| match action {
        Action::Start { order, .. } => Some(order.clone()),
        _ => None,
    });
    let order = order.expect("a start");
    let worker = WorkerId::new("w1");
    let lost = Err(OrderError::Unknown);
    world.scheduler.start_answered(&worker, &order.task, 1, lost, now);
    world.run_for(300);
    assert_eq!(world.starts.len(), 1, "started again under a new token");
    let demand = Room::default();
    let late = world.workers.get_mut(&worker).expect("w1").start(
        world.now_ms,
        &order,
        demand,
        Fate::done(1),
    );
    assert_eq!(late, Err(OrderError::Refused(Refusal::Fenced)));
}

#[test]
fn ends_are_acknowledged_only_once_they_are_stored() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::done(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut acknowledged = 0;
    let mut changes = None;
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            if let Action::Hold { held, .. } = &action {
                acknowledged = acknowledged.max(held.order().acknowledged);
            }
            world.carry_out(action, now);
        }
        // Nothing is stored yet.
        if changes.is_none() && world.scheduler.has_changes() {
            let taken = world.scheduler.take_changes(100);
            world.scheduler.changes_failed(&taken);
        }
    }
    assert_eq!(acknowledged, 0);
    changes = Some(world.scheduler.take_changes(100));
    let changes = changes.expect("just set");
    assert_eq!(changes.progress[0].1.phase, Phase::Completed);
    world.scheduler.changes_stored(&changes, at(world.now_ms));
    let actions = world.scheduler.plan(at(world.now_ms));
    let Some(Action::Hold { held, .. }) = actions.first() else {
        panic!("no hold: {actions:?}");
    };
    assert_eq!(held.order().acknowledged, 1);
}

/// A world in which a long-running step of four tasks runs on five workers
/// and all of their VMs are to be maintained.
fn world_with_wave(revision: u64) -> World {
    let mut world = World::new(revision, &["w1", "w2", "w3", "w4", "w5"]);
    world.list();
    world.expect_all();
    world.fate = Fate::endless();
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        ..step(4)
    };
    world.scheduler.submit(id(1), job(vec![long]), 3, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 4);
    world
}

fn managed(listing: &WorkerListing) -> ManagedVm {
    ManagedVm {
        vm: listing.vm.clone(),
        pool: listing.pool.clone(),
        life: VmLife::Up,
        hall: "hall-1".to_owned(),
        capacity: listing.capacity,
        worker: Some(listing.id.clone()),
    }
}

fn wave_of(vms: &[ManagedVm]) -> WaveRequest {
    WaveRequest {
        wave: 1,
        vms: vms.iter().map(|vm| vm.vm.clone()).collect(),
        duration_ms: 10_000,
        max_down: 3,
    }
}

fn request_wave(world: &mut World) {
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let request = wave_of(&vms);
    let now = at(world.now_ms);
    let (scheduler, none) = (&mut world.scheduler, BTreeMap::new());
    scheduler.request_waves(now, &[request], &none, &[]);
    scheduler.list_vms(now, world.now_ms, &vms);
}

/// Plans maintenance for 50 ms; a VM that goes down is back at once, with a
/// new life of its worker. Returns whether the wave was completed.
fn maintain_for_a_while(world: &mut World) -> bool {
    let now = at(world.now_ms);
    let mut completed = false;
    for order in world.scheduler.plan_vms(now) {
        match order {
            VmOrder::Maintain { vm, wave } => {
                assert!(replace_life(world, &vm), "it had to be empty");
                let done = Ok(());
                world.scheduler.maintenance_answered(&vm, wave, done, now);
            }
            VmOrder::ReportCompleted { .. } => completed = true,
            VmOrder::ReportRunning { .. } | VmOrder::Move { .. } => {}
        }
    }
    world.run_for(50);
    world.list();
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    completed
}

/// Gives a VM a new worker; returns whether the old one was empty.
fn replace_life(world: &mut World, vm: &str) -> bool {
    let now_ms = world.now_ms;
    let found = world.listings.iter_mut().find(|l| l.vm == vm);
    let listing = found.expect("a listed VM");
    let old = world.workers.remove(&listing.id);
    let name = format!("{}+", listing.id);
    listing.id = WorkerId::new(&name);
    world.workers.insert(listing.id.clone(), TaskWorker::new(ROOM));
    old.is_some_and(|mut old| old.running(now_ms).is_empty())
}

#[test]
fn maintenance_never_takes_more_of_a_step_than_it_can_spare() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let mut completed = false;
    for _ in 0..400 {
        completed |= maintain_for_a_while(&mut world);
        assert!(world.running().len() >= 3, "one of four may be down");
    }
    assert!(completed);
}

#[test]
fn a_wave_is_completed_though_a_vm_of_it_is_gone_for_good() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.expect_all();
    world.run_for(100);
    request_wave(&mut world);
    world.listings.retain(|listing| listing.vm != "vm-of-w2");
    world.scheduler.worker_gone(
        &WorkerId::new("w2"),
        "test",
        at(world.now_ms),
    );
    let mut completed = false;
    for _ in 0..100 {
        let before = world.now_ms;
        completed |= maintain_for_a_while(&mut world);
        let missing_for_ms = world.now_ms - 1_100;
        assert!(!completed || missing_for_ms >= 2_900, "at {before}");
    }
    assert!(completed);
}

#[test]
fn a_wave_keeps_its_time_when_another_node_takes_over() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4", "w5"]);
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    let request = [WaveRequest { duration_ms: 60_000, ..wave_of(&vms) }];
    let begun = at(world.now_ms);
    let none = BTreeMap::new();
    let unseen = world.scheduler.request_waves(begun, &request, &none, &[]);
    assert_eq!(unseen, [1], "to be recorded");
    let record = world.scheduler.wave_record(1).expect("a wave").clone();
    // Little time is left when the next holder begins, so that as many go
    // down at once as may.
    world.now_ms += 50_000;
    world.take_over(9);
    world.list();
    world.expect_all();
    world.run_for(100);
    let (now, records) = (at(world.now_ms), [(1, record)].into());
    let unseen = world.scheduler.request_waves(now, &request, &records, &[]);
    assert_eq!(unseen, [] as [u64; 0], "it is on record");
    let orders = vm_orders(&mut world);
    let is_maintenance =
        |order: &&VmOrder| matches!(order, VmOrder::Maintain { .. });
    assert_eq!(orders.iter().filter(is_maintenance).count(), 3);
}

#[test]
fn a_new_holder_stops_nothing_while_a_former_stop_may_be_under_way() {
    let mut world = world_with_wave(5);
    world.take_over(9);
    world.list();
    world.expect_all();
    let long = StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: 1,
        ..step(4)
    };
    world.scheduler.submit(id(1), job(vec![long]), 3, None);
    request_wave(&mut world);
    let begin = world.now_ms;
    while world.now_ms < begin + 1_500 {
        maintain_for_a_while(&mut world);
        assert_eq!(world.running().len(), 4);
    }
}

#[test]
fn a_long_running_task_goes_back_to_where_it_failed_if_it_must() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::failed(300);
    let long = StepSpec { long_running: true, ..step(1) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(200);
    assert_eq!(world.starts.len(), 1);
    world.fate = Fate::endless();
    world.run_for(2_000);
    assert_eq!(world.running().len(), 1);
}

#[test]
fn a_pool_gets_a_vm_when_a_task_fits_beside_none_of_its_siblings() {
    let mut world = World::new(5, &["w1", "w2"]);
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, max_per_worker: 1, ..step(3) };
    world.scheduler.submit(id(1), job(vec![long]), 6, None);
    world.run_for(1_000);
    let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
    world.scheduler.list_vms(at(world.now_ms), world.now_ms, &vms);
    let orders = world.scheduler.plan_vms(at(world.now_ms));
    let (vm, pool) = ("vm-of-w3".to_owned(), POOL.to_owned());
    assert_eq!(orders, [VmOrder::Move { vm, pool }]);
}

#[test]
fn a_failure_that_is_told_again_after_a_takeover_counts_once() {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut stored = None;
    // Two failures are stored, and the last end isn't acknowledged.
    while world.starts.len() < 3 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        if let Some((_, progress)) = changes.progress.first() {
            stored = Some(progress.clone());
        }
        world.scheduler.changes_stored(&changes, now);
    }
    let progress = stored.expect("progress was stored");
    world.fate = Fate::done(100);
    world.take_over(9);
    world.list();
    world.expect_all();
    let again = job(vec![step(1)]);
    world.scheduler.submit(id(1), again, 6, Some(&progress));
    let mut last = None;
    for _ in 0..40 {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        if let Some((_, progress)) = changes.progress.last() {
            last = Some(progress.phase);
        }
        world.scheduler.changes_stored(&changes, now);
    }
    // The third run failed as well, and that one is counted.
    assert_eq!(last, Some(Phase::Failed));
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_stored_failure_is_not_counted_again() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    let mut progress = None;
    while progress.is_none() {
        world.now_ms += 50;
        let now = at(world.now_ms);
        for action in world.scheduler.plan(now) {
            world.carry_out(action, now);
        }
        let changes = world.scheduler.take_changes(100);
        // Stored, but the holder is gone before it acknowledges the end.
        progress = changes
            .progress
            .iter()
            .map(|(_, progress)| progress.clone())
            .find(|progress| !progress.tasks.is_empty());
        if progress.is_none() {
            world.scheduler.changes_stored(&changes, now);
        }
    }
    // Two more failures are allowed: the job must not fail before them.
    world.take_over(9);
    world.list();
    world.expect_all();
    let again = job(vec![step(1)]);
    world.scheduler.submit(id(1), again, 6, progress.as_ref());
    world.run_for(3_000);
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_task_that_stands_still_is_moved() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::stalled();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    world.fate = Fate::done(500);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 2);
    assert_ne!(world.starts[0].0, world.starts[1].0);
    assert_eq!(world.scheduler.phase(id(1)), None, "done and stored");
}

/// A worker on which a serving task misses its target beside a best-effort
/// task; returns the paces that were ordered while `gauge` was reported.
fn paces_while(world: &mut World, gauges: &[u64]) -> Vec<u8> {
    let worker = WorkerId::new("w1");
    let mut paces = Vec::new();
    for gauge in gauges {
        world.now_ms += 800;
        let now = at(world.now_ms);
        let mut held_now = None;
        for action in world.scheduler.plan(now) {
            match action {
                Action::Pace { order, .. } => paces.push(order.percent),
                Action::Hold { held, .. } => held_now = Some(held),
                other => world.carry_out(other, now),
            }
        }
        if let Some(held) = held_now {
            let clock = now.steady_ms;
            let reached = world.reach(&worker).expect("w1");
            let mut report = reached.hold(clock, held.order()).expect("held");
            for run in &mut report.active {
                run.gauge = *gauge;
            }
            world.hold_result(&worker, &held, Ok(report), now);
        }
    }
    paces
}

#[test]
fn best_effort_tasks_are_slowed_while_they_disturb() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.fate = Fate::endless();
    let long = StepSpec { long_running: true, ..step(1) };
    let serving = StepSpec { target_ms: 50, ..long.clone() };
    let filling = StepSpec { best_effort: true, ..long };
    world.scheduler.submit(id(1), job(vec![serving, filling]), 6, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 2);
    let paces = paces_while(&mut world, &[90, 90, 90, 90]);
    assert_eq!(paces, [25, 0]);
    let paces = paces_while(&mut world, &[10, 10, 10, 10, 10, 10]);
    assert_eq!(paces, [25, 50, 75, 100]);
}

#[test]
fn a_move_that_was_done_before_ends_no_worker() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(300);
    let now = at(world.now_ms);
    // The VM service takes the order as done, since the VM is there already.
    let vm = format!("vm-of-{}", world.starts[0].0);
    world.scheduler.move_answered(&vm, POOL, Ok(()), now);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn maintenance_ordered_again_ends_only_the_life_it_was_ordered_for() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.expect_all();
    world.run_for(200);
    request_wave(&mut world);
    let ordered = |world: &mut World| {
        let mut orders = 0;
        for _ in 0..40 {
            let now = at(world.now_ms);
            let planned = world.scheduler.plan_vms(now);
            let is_down = |o: &VmOrder| matches!(o, VmOrder::Maintain { .. });
            orders += planned.into_iter().filter(is_down).count();
            world.run_for(50);
            if orders > 0 {
                break;
            }
            let vms: Vec<ManagedVm> =
                world.listings.iter().map(managed).collect();
            let asked_ms = world.now_ms;
            world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
        }
        orders
    };
    assert_eq!(ordered(&mut world), 1);
    let lost = Err(VmOrderError::Unknown);
    let vm = "vm-of-w1";
    world.scheduler.maintenance_answered(vm, 1, lost, at(world.now_ms));
    // It was carried out all the same, and the VM is back and at work.
    assert!(replace_life(&mut world, vm));
    world.list();
    world.run_for(200);
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(200);
    assert_eq!(world.running().len(), 1);
    world.scheduler.maintenance_answered(vm, 1, Ok(()), at(world.now_ms));
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(ROOM));
    world.workers.extend([second]);
    world.list();
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 1, "its task runs on");
}

fn advised_job() -> AcceptedJob {
    let mut job = job(vec![step(2)]);
    job.terms.advice = Some(AdviceTerms {
        decision_ms: 20,
        period_ms: 2,
        validity_ms: 2_000,
    });
    job
}

/// Plans once and returns the question to the adviser, if there is one.
fn question(world: &mut World) -> Option<(TaskId, Vec<WorkerId>, u64)> {
    world.now_ms += 50;
    let now = at(world.now_ms);
    let mut asked = None;
    for action in world.scheduler.plan(now) {
        match action {
            Action::Advise { step, workers, asked_ms } => {
                asked = Some((step, workers, asked_ms));
            }
            other => world.carry_out(other, now),
        }
    }
    asked
}

#[test]
fn starts_only_where_the_adviser_allows_it() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), advised_job(), 6, None);
    let asked = question(&mut world).expect("a question");
    let (step, workers, asked_ms) = asked;
    assert_eq!(workers.len(), 3);
    assert!(question(&mut world).is_none(), "one at a time for a step");
    assert!(world.starts.is_empty());
    let allowed = WorkerId::new("w2");
    let tickets = vec![(allowed.clone(), "t-1".to_owned())];
    let answer: Result<_, OrderError> = Ok(tickets);
    let now = at(world.now_ms);
    world.scheduler.advice_answered(&step, &workers, asked_ms, answer, now);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    for (worker, order) in &world.starts {
        assert_eq!(worker, &allowed);
        assert_eq!(order.ticket, "t-1");
    }
}

#[test]
fn asks_again_once_a_ticket_is_no_longer_valid() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), advised_job(), 6, None);
    let (step, workers, asked_ms) = question(&mut world).expect("one");
    let lost: Result<Vec<(WorkerId, String)>, OrderError> =
        Err(OrderError::Unknown);
    let now = at(world.now_ms);
    world.scheduler.advice_answered(&step, &workers, asked_ms, lost, now);
    assert!(question(&mut world).is_none(), "not at once");
    world.run_for(200);
    assert!(question(&mut world).is_some());
}

/// A pool of two workers and one VM that is switched off.
fn world_with_spare() -> World {
    let mut world = World::new(5, &["w1", "w2"]);
    let mut spare = listing("w3");
    spare.pool = "off".to_owned();
    world.listings.push(spare);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(100);
    world
}

/// Plans for a second and returns what was ordered of the VM service.
fn vm_orders(world: &mut World) -> Vec<VmOrder> {
    let mut orders = Vec::new();
    for _ in 0..20 {
        let vms: Vec<ManagedVm> = world.listings.iter().map(managed).collect();
        let asked_ms = world.now_ms;
        world.scheduler.list_vms(at(asked_ms), asked_ms, &vms);
        orders.extend(world.scheduler.plan_vms(at(world.now_ms)));
        world.run_for(50);
    }
    orders
}

fn move_of_spare() -> VmOrder {
    VmOrder::Move { vm: "vm-of-w3".to_owned(), pool: POOL.to_owned() }
}

#[test]
fn a_pool_without_memory_gets_a_vm_though_it_has_processor() {
    let mut world = world_with_spare();
    world.fate = Fate::endless();
    let hungry = StepSpec { memory_mb: 3_000, cpu_millis: 100, ..step(3) };
    world.scheduler.submit(id(1), job(vec![hungry]), 6, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
}

#[test]
fn a_pool_gets_a_vm_for_a_task_that_failed_wherever_it_may_run() {
    let mut world = world_with_spare();
    world.fate = Fate::failed(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(1_000);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
}

#[test]
fn a_pool_gets_vms_for_jobs_that_keep_coming_before_they_wait() {
    let mut world = world_with_spare();
    world.fate = Fate::done(2_000);
    let long = StepSpec { estimate_ms: 2_000, ..step(1) };
    let later = StepSpec { after: vec![0], count: 4, ..long.clone() };
    // Two jobs a second of 10 core-seconds each keep 20 cores busy, though
    // only one core is in use so far and nothing waits.
    for number in 0..2 {
        let steps = vec![long.clone(), later.clone()];
        let revision = 6 + number;
        world.scheduler.submit(id(number), job(steps), revision, None);
        world.run_for(100);
    }
    assert_eq!(world.running().len(), 2);
    assert_eq!(vm_orders(&mut world), [move_of_spare()]);
}

/// A pool of five workers, and one pool that VMs are switched off in.
fn world_with_idle_workers() -> World {
    let mut world = World::new(5, &["w1", "w2", "w3", "w4", "w5"]);
    world.list();
    world.expect_all();
    let serving = [POOL.to_owned()].into();
    world.scheduler.configure_pools(serving, ["off".to_owned()].into());
    world.run_for(100);
    world
}

#[test]
fn no_vm_is_switched_off_before_it_is_known_what_comes() {
    let mut world = world_with_idle_workers();
    for _ in 0..10 {
        assert_eq!(vm_orders(&mut world), []);
    }
    world.fate = Fate::done(100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    assert_eq!(vm_orders(&mut world), [], "a first job says little");
    let mut orders = Vec::new();
    for _ in 0..5 {
        orders.extend(vm_orders(&mut world));
    }
    assert!(!orders.is_empty());
}

#[test]
fn no_vm_moves_for_a_task_that_fits_nowhere() {
    let mut world = world_with_spare();
    let huge = StepSpec { cpu_millis: 50_000, ..step(1) };
    world.scheduler.submit(id(1), job(vec![huge]), 6, None);
    let label = StepSpec { required_label: "gpu".to_owned(), ..step(1) };
    world.scheduler.submit(id(2), job(vec![label]), 6, None);
    assert_eq!(vm_orders(&mut world), []);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    world.run_for(100);
    let gang = StepSpec { gang: true, ..step(5) };
    world.scheduler.submit(id(1), job(vec![gang]), 6, None);
    world.run_for(500);
    assert!(world.starts.is_empty(), "four fit, but not five");
    world.listings.push(listing("w2"));
    let second = (WorkerId::new("w2"), TaskWorker::new(ROOM));
    world.workers.extend([second]);
    world.list();
    world.run_for(200);
    assert_eq!(world.starts.len(), 5);
    let runs: Vec<u64> = world.starts.iter().map(|(_, s)| s.run).collect();
    assert!(runs.iter().all(|run| *run == runs[0]), "one run: {runs:?}");
}

#[test]
fn workers_whose_entries_lapsed_in_an_outage_are_used_at_once() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.list();
    world.run_for(5_000);
    // The store is back; its entries had run out and are being written anew.
    let all = std::mem::take(&mut world.listings);
    world.list();
    world.scheduler.submit(id(1), job(vec![step(1)]), 6, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    // One that is still missing after a while is taken as gone.
    world.listings = all.into_iter().take(1).collect();
    for _ in 0..25 {
        world.run_for(100);
        world.list();
    }
    world.scheduler.submit(id(2), job(vec![step(8)]), 7, None);
    world.run_for(100);
    let gone = WorkerId::new("w2");
    assert!(world.starts[1..].iter().all(|(worker, _)| *worker != gone));
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut world = World::new(5, &["w1", "w2"]);
    world.listings[0].draining = true;
    world.list();
    world.run_for(100);
    world.scheduler.submit(id(1), job(vec![step(2)]), 6, None);
    world.run_for(200);
    let second = WorkerId::new("w2");
    assert_eq!(world.starts.len(), 2);
    assert!(world.starts.iter().all(|(worker, _)| *worker == second));
}

#[test]
fn tasks_go_only_where_label_pool_and_spread_allow() {
    let mut world = World::new(5, &["w1", "w2", "w3"]);
    world.listings[0].pool = "other".to_owned();
    world.listings[1].labels = vec!["b".to_owned()];
    world.list();
    world.run_for(100);
    let labelled = StepSpec { required_label: "a".to_owned(), ..step(2) };
    world.scheduler.submit(id(1), job(vec![labelled]), 6, None);
    world.run_for(200);
    let third = WorkerId::new("w3");
    assert_eq!(world.starts.len(), 2);
    assert!(world.starts.iter().all(|(worker, _)| *worker == third));
    world.starts.clear();
    let apart = StepSpec { max_per_worker: 1, ..step(3) };
    world.scheduler.submit(id(2), job(vec![apart]), 7, None);
    world.run_for(200);
    assert_eq!(world.starts.len(), 2, "one on each worker of the pool");
}

#[test]
fn a_round_starts_when_it_falls_due() {
    let mut world = World::new(5, &["w1"]);
    world.list();
    let mut job = job(vec![step(1)]);
    let start_at_ms = at(world.now_ms + 1_000).unix_ms;
    job.spec.repeat =
        Some(Repeat { start_at_ms, interval_ms: 2_000, count: 2 });
    world.scheduler.submit(id(1), job, 6, None);
    world.run_for(950);
    assert!(world.starts.is_empty());
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    world.run_for(1_800);
    assert_eq!(world.starts.len(), 1);
    world.run_for(300);
    assert_eq!(world.starts.len(), 2);
}

#[test]
fn a_wave_is_reported_as_running_once() {
    let mut world = world_with_wave(5);
    request_wave(&mut world);
    let running = VmOrder::ReportRunning { wave: 1 };
    let first = world.scheduler.plan_vms(at(world.now_ms));
    assert!(first.contains(&running), "{first:?}");
    world.run_for(50);
    let next = world.scheduler.plan_vms(at(world.now_ms));
    assert!(!next.contains(&running), "{next:?}");
}
