//! Reservations for long-running gangs under a load of small tasks.
//!
//! Two failures are guarded against. If capacity is reserved only for single
//! tasks, a gang of large tasks waits for as long as the load of small ones
//! lasts. And if one member has to leave a VM, all members end, and small
//! tasks take their capacity before the gang can restart.
//!
//! Capacity is therefore reserved for all members at once or for none, for one
//! waiting gang of a pool at a time and for a limited time; and a gang that
//! ends keeps the capacity that it used.

use {
    crate::{
        task_moves::{STOP_MS, long_running, plan_round},
        waves::{maintain_for_50_ms, request_wave, request_wave_of},
        world::{POOL, ROOM, RunKind, World, at, id, job, listing, step},
    },
    dewspar::{
        job::{JobId, StepSpec},
        schedule::{Resources, StopOrder, VmOrder, WorkerId},
    },
    dewspar_standin::task_worker::{Fate, TaskWorker},
    rand::{Rng, SeedableRng, rngs::StdRng},
};

/// How long a gang may wait although there is room for it, in milliseconds.
const MAX_WAIT_MS: u64 = 6_000;

/// How long capacity may be idle for a gang, with a small margin, in
/// milliseconds.
const MAX_IDLE_MS: u64 = 7_000;

/// How long a gang may wait after its last member has ended, in milliseconds:
/// two scheduling passes.
const MAX_START_DELAY_MS: u64 = 100;

/// The interval between the ends of two members of a broken gang, in
/// milliseconds.
const MEMBER_END_INTERVAL_MS: u64 = 300;

/// The number of random runs.
const RUNS: u64 = 60;

/// The number of random runs with maintenance waves, which take longer.
const WAVE_RUNS: u64 = 20;

/// A gang of `count` tasks that take three quarters of a worker each.
fn gang(count: u32) -> StepSpec {
    let large = StepSpec { cpu_millis: 3_000, ..long_running() };
    StepSpec { count, gang: true, ..large }
}

/// A world under a load of small tasks.
struct Peak {
    world: World,
    next: u64,
    /// How many tasks of a quarter of a worker are submitted every 50 ms.
    tasks_a_round: u32,
    /// The gangs, with their number of members.
    gangs: Vec<(JobId, usize)>,
    /// When a member of a broken gang last ended.
    ended_ms: Option<u64>,
}

impl Peak {
    /// Creates a world whose workers are empty.
    fn idle(names: &[&str]) -> Peak {
        let mut world = World::new(5, names);
        world.list();
        world.expect_all();
        world.run_for(100);
        let (gangs, ended_ms) = (Vec::new(), None);
        Peak { world, next: 100, tasks_a_round: 0, gangs, ended_ms }
    }

    /// Creates a world whose workers are full of small tasks.
    fn new(names: &[&str]) -> Peak {
        let mut peak = Peak::idle(names);
        peak.begin();
        peak
    }

    fn begin(&mut self) {
        self.tasks_a_round = self.world.listings.len() as u32;
        self.run_for(2_000);
    }

    /// Continues the load for a while. The ends of the tasks are staggered.
    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.round();
        }
    }

    fn round(&mut self) {
        self.submit_round();
        self.world.run_for(50);
    }

    /// Submits the tasks of one round and ends members of broken gangs.
    fn submit_round(&mut self) {
        for _ in 0..self.tasks_a_round {
            let work_ms = 400 + (self.next + 1) % 8 * 50;
            self.submit_short(1, work_ms);
        }
        self.end_broken_gangs();
    }

    /// Runs one round that also plans VM operations. Returns the VM orders.
    fn plan_round(&mut self) -> Vec<VmOrder> {
        self.submit_round();
        plan_round(&mut self.world)
    }

    /// Runs one round that also carries out VM orders.
    fn maintain(&mut self) {
        self.submit_round();
        maintain_for_50_ms(&mut self.world);
    }

    fn submit(&mut self, number: u64, spec: StepSpec, fate: Fate) {
        let cpu_millis = spec.cpu_millis;
        let demand = Resources { cpu_millis, ..Resources::default() };
        self.world.kinds.insert(id(number), RunKind { demand, fate });
        let job = job(vec![spec]);
        self.world.scheduler.submit(id(number), job, number, None);
    }

    fn submit_short(&mut self, count: u32, work_ms: u64) {
        self.next += 1;
        let short = StepSpec { estimate_ms: work_ms, ..step(count) };
        self.submit(self.next, short, Fate::done(work_ms));
    }

    fn submit_gang(&mut self, number: u64, spec: StepSpec) {
        self.gangs.push((id(number), spec.count as usize));
        self.submit(number, spec, Fate::endless());
    }

    /// Returns the workers on which members of a gang run.
    fn running_on(&mut self, job: JobId) -> Vec<WorkerId> {
        let now_ms = self.world.now_ms;
        let workers = self.world.workers.iter_mut();
        let on = workers.flat_map(|(id, worker)| {
            let running = worker.running(now_ms).into_iter();
            let members = running.filter(|(task, _)| task.job == job);
            members.map(|_| id.clone()).collect::<Vec<_>>()
        });
        on.collect()
    }

    fn runs_completely(&mut self, job: JobId) -> bool {
        let gang = self.gangs.iter().find(|(other, _)| *other == job);
        let (_, count) = *gang.expect("the gang was submitted");
        self.running_on(job).len() == count
    }

    /// Ends the remaining members of incomplete gangs one after the other, as
    /// workers do.
    fn end_broken_gangs(&mut self) {
        let now_ms = self.world.now_ms;
        if self.ended_ms.is_some_and(|at| now_ms < at + MEMBER_END_INTERVAL_MS)
        {
            return;
        }
        for (job, count) in self.gangs.clone() {
            let running = self.running_on(job);
            if running.is_empty() || running.len() == count {
                continue;
            }
            self.end_members(job, &running[0], now_ms);
        }
    }

    fn end_members(&mut self, job: JobId, id: &WorkerId, now_ms: u64) {
        let orders = self.world.starts.iter().filter(|(to, _)| to == id);
        let fence = orders.map(|(_, order)| order.fence).max();
        let Some(worker) = self.world.workers.get_mut(id) else { return };
        for (task, run) in worker.running(now_ms) {
            if task.job != job {
                continue;
            }
            // OK because it was started there.
            let fence = fence.expect("it was started there");
            let order = StopOrder { task, run, fence };
            worker.stop(now_ms, &order).expect("its token is the newest");
            self.ended_ms = Some(now_ms);
        }
    }

    /// Loses a worker; the VM service reports that immediately.
    fn lose_worker(&mut self, worker: &WorkerId) {
        let now = at(self.world.now_ms);
        self.world.workers.remove(worker);
        self.world.listings.retain(|listing| listing.id != *worker);
        self.world.scheduler.worker_gone(worker, "test", now);
    }

    /// Returns the processor that is in use on a worker, in thousandths of a
    /// core.
    fn used(&self, worker: &str) -> u64 {
        let worker = self.world.workers.get(&WorkerId::new(worker));
        worker.map_or(0, |worker| worker.used().cpu_millis)
    }

    /// Returns the worker whose capacity is idle, if there is one.
    fn idle_worker(&self) -> Option<WorkerId> {
        let mut workers = self.world.workers.iter();
        let idle = workers.find(|(_, w)| w.used().cpu_millis <= 1_000);
        idle.map(|(id, _)| id.clone())
    }
}

#[test]
fn competing_gangs_start_one_after_the_other() {
    let mut peak = Peak::new(&["w1", "w2", "w3"]);
    peak.submit_gang(1, gang(2));
    peak.submit_gang(2, gang(2));
    peak.run_for(MAX_WAIT_MS);
    let runs = [id(1), id(2)].map(|job| peak.runs_completely(job));
    assert!(runs[0] != runs[1], "exactly one gang has room: {runs:?}");
    let (first, second) = if runs[0] { (1, 2) } else { (2, 1) };
    // The third worker has no room for a complete gang, so nothing is reserved
    // there.
    let free = ["w1", "w2", "w3"].into_iter().find(|name| {
        !peak.running_on(id(first)).contains(&WorkerId::new(name))
    });
    let free = free.expect("three workers for two members");
    for _ in 0..MAX_IDLE_MS / 50 {
        peak.round();
        assert!(peak.used(free) > 1_000, "capacity is idle for half a gang");
    }
    let now = at(peak.world.now_ms);
    peak.world.scheduler.cancel(id(first), now);
    peak.run_for(MAX_WAIT_MS);
    assert!(peak.runs_completely(id(second)));
}

#[test]
fn two_gangs_with_room_for_both_start() {
    let mut peak = Peak::new(&["w1", "w2", "w3", "w4"]);
    peak.submit_gang(1, gang(2));
    peak.submit_gang(2, gang(2));
    peak.run_for(MAX_WAIT_MS);
    assert!(peak.runs_completely(id(1)) && peak.runs_completely(id(2)));
}

#[test]
fn a_gang_larger_than_its_pool_reserves_nothing_and_blocks_nobody() {
    let mut peak = Peak::new(&["w1", "w2", "w3"]);
    peak.submit_gang(1, gang(4));
    for _ in 0..2 * MAX_IDLE_MS / 50 {
        peak.round();
        let idle = peak.idle_worker();
        assert_eq!(idle, None, "capacity is reserved that never suffices");
    }
    peak.submit_gang(2, gang(2));
    let large = StepSpec { cpu_millis: 3_000, ..long_running() };
    peak.submit(3, large, Fate::endless());
    peak.run_for(MAX_WAIT_MS);
    assert!(peak.runs_completely(id(2)), "a gang that fits is blocked");
    assert_eq!(peak.running_on(id(3)).len(), 1);
}

/// Two workers, one of which is full of tasks that take a minute.
fn peak_beside_long_runs() -> Peak {
    let mut peak = Peak::idle(&["w1", "w2"]);
    peak.submit_short(4, 60_000);
    peak.run_for(100);
    peak.begin();
    peak
}

#[test]
fn room_is_not_idle_for_long_while_a_gang_lacks_the_rest() {
    let mut peak = peak_beside_long_runs();
    peak.submit_gang(1, gang(2));
    let mut idle_since_ms = peak.world.now_ms;
    let mut used_rounds = 0;
    // The turns take 6 and 12 s, and after each of them reservations in the
    // pool pause for the same duration.
    for _ in 0..36_000 / 50 {
        peak.round();
        if peak.idle_worker().is_none() {
            idle_since_ms = peak.world.now_ms;
            used_rounds += 1;
        }
        let idle_ms = peak.world.now_ms - idle_since_ms;
        assert!(
            idle_ms <= 2 * MAX_IDLE_MS,
            "capacity was idle for {idle_ms} ms"
        );
    }
    let half = 36_000 / 50 / 2;
    assert!(used_rounds * 10 >= half * 9, "in use for {used_rounds} rounds");
}

#[test]
fn a_gang_starts_after_runs_that_outlast_its_turns() {
    let mut peak = peak_beside_long_runs();
    peak.submit_gang(1, gang(2));
    peak.run_for(60_000 + 20_000);
    assert!(peak.runs_completely(id(1)));
}

#[test]
fn a_gang_starts_although_runs_do_not_end_within_one_turn() {
    let mut peak = Peak::idle(&["w1", "w2"]);
    // Eight tasks of 20 s with staggered starts, followed by more of them than
    // there is room for.
    for _ in 0..8 {
        peak.submit_short(1, 20_000);
        peak.run_for(2_500);
    }
    peak.submit_gang(1, gang(2));
    for _ in 0..60 {
        peak.submit_short(1, 20_000);
        peak.run_for(1_000);
    }
    assert!(peak.runs_completely(id(1)), "no turn is long enough");
}

#[test]
fn a_lost_member_reservation_is_replaced_on_another_worker() {
    let mut peak = Peak::new(&["w1", "w2", "w3"]);
    peak.submit_gang(1, gang(2));
    let mut reserved = None;
    for _ in 0..MAX_WAIT_MS / 50 {
        peak.round();
        reserved = peak.idle_worker();
        if reserved.is_some() || peak.runs_completely(id(1)) {
            break;
        }
    }
    assert!(!peak.runs_completely(id(1)));
    peak.lose_worker(&reserved.expect("capacity is reserved on some worker"));
    peak.run_for(MAX_WAIT_MS);
    assert!(peak.runs_completely(id(1)));
}

#[test]
fn reservations_are_released_once_one_member_has_no_room_anywhere() {
    let mut peak = peak_beside_long_runs();
    peak.submit_gang(1, gang(2));
    peak.run_for(2_000);
    let reserved =
        peak.idle_worker().expect("capacity is reserved for a member");
    let names = ["w1", "w2"].map(WorkerId::new);
    let full = names.into_iter().find(|name| *name != reserved);
    peak.lose_worker(&full.expect("there are two workers"));
    // Enough for a review and a scheduling pass.
    peak.run_for(1_000);
    for _ in 0..MAX_IDLE_MS / 50 {
        peak.round();
        let used = peak.used(&reserved.to_string());
        assert!(used > 1_000, "capacity is reserved for half a gang");
    }
}

#[test]
fn a_gang_waiting_for_reserved_room_takes_empty_workers() {
    let mut peak = peak_beside_long_runs();
    peak.submit_gang(1, gang(2));
    peak.run_for(1_000);
    for name in ["w3", "w4"] {
        let new = listing(name);
        peak.world.workers.insert(new.id.clone(), TaskWorker::new(ROOM));
        peak.world.listings.push(new);
    }
    peak.world.list();
    peak.world.expect_all();
    peak.tasks_a_round = 1;
    peak.run_for(MAX_WAIT_MS);
    assert!(
        peak.runs_completely(id(1)),
        "the gang waits beside empty workers"
    );
}

/// A running gang of three under load.
fn peak_with_gang(names: &[&str]) -> Peak {
    let mut peak = Peak::idle(names);
    peak.submit_gang(1, gang(3));
    // By now no stop ordered by a former lease holder can take effect.
    peak.run_for(3_000);
    assert!(peak.runs_completely(id(1)));
    peak.begin();
    peak.world.stop_duration_ms = STOP_MS;
    peak
}

/// Runs until the gang runs completely without the given worker. Returns how
/// long the gang had waited since its last member ended, in milliseconds, or
/// `None` if it doesn't happen.
fn wait_until_moved(peak: &mut Peak, worker: &WorkerId) -> Option<u64> {
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        peak.plan_round();
        if peak.runs_completely(id(1))
            && !peak.running_on(id(1)).contains(worker)
        {
            let ended_ms = peak.ended_ms.expect("the gang has stopped");
            return Some(peak.world.now_ms - ended_ms);
        }
    }
    None
}

#[test]
fn a_gang_with_one_moving_member_keeps_the_room_of_the_others() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3", "w4", "w5"]);
    let from = peak.running_on(id(1))[0].clone();
    request_wave_of(&mut peak.world, &[&format!("vm-of-{from}")]);
    let waited_ms = wait_until_moved(&mut peak, &from);
    let waited_ms = waited_ms.expect("the gang never restarts");
    assert!(
        waited_ms <= MAX_START_DELAY_MS,
        "the gang waited for {waited_ms} ms"
    );
}

#[test]
fn a_gang_moves_off_two_vms_of_a_wave_at_once() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3", "w4", "w5"]);
    let from = peak.running_on(id(1));
    let vms: Vec<String> = from.iter().map(|w| format!("vm-of-{w}")).collect();
    request_wave_of(&mut peak.world, &[&vms[0], &vms[1]]);
    let mut down = Vec::new();
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        down.extend(peak.plan_round());
    }
    let on = peak.running_on(id(1));
    assert!(peak.runs_completely(id(1)), "{on:?}");
    for vm in vms.into_iter().take(2) {
        let order = VmOrder::Maintain { vm, wave: 1 };
        assert!(down.contains(&order), "{order:?}: {on:?}");
    }
}

#[test]
fn a_gang_moves_off_a_terminating_worker() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3", "w4", "w5"]);
    let from = peak.running_on(id(1))[0].clone();
    let mut listings = peak.world.listings.iter_mut();
    if let Some(leaving) = listings.find(|l| l.id == from) {
        leaving.draining = true;
        leaving.remaining_ms = Some(MAX_WAIT_MS);
    }
    peak.world.list();
    let waited_ms = wait_until_moved(&mut peak, &from);
    let waited_ms = waited_ms.expect("the gang never restarts");
    assert!(
        waited_ms <= MAX_START_DELAY_MS,
        "the gang waited for {waited_ms} ms"
    );
}

#[test]
fn a_gang_that_cannot_move_completely_keeps_running() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3"]);
    let from = peak.running_on(id(1))[0].clone();
    request_wave_of(&mut peak.world, &[&format!("vm-of-{from}")]);
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        peak.plan_round();
        assert!(
            peak.runs_completely(id(1)),
            "the gang was stopped without a reservation"
        );
    }
}

#[test]
fn a_gang_with_two_moving_members_and_room_for_one_keeps_running() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3", "w4"]);
    let leaving = peak.running_on(id(1));
    for listing in &mut peak.world.listings {
        if leaving[..2].contains(&listing.id) {
            listing.draining = true;
            listing.remaining_ms = Some(60_000);
        }
    }
    peak.world.list();
    for _ in 0..2 * MAX_WAIT_MS / 50 {
        peak.plan_round();
        assert!(
            peak.runs_completely(id(1)),
            "the gang was stopped with room for one member"
        );
    }
}

#[test]
fn a_gang_that_lost_a_worker_restarts_under_load() {
    let mut peak = peak_with_gang(&["w1", "w2", "w3", "w4"]);
    let lost = peak.running_on(id(1))[0].clone();
    peak.lose_worker(&lost);
    peak.run_for(MAX_WAIT_MS);
    assert!(peak.runs_completely(id(1)));
}

/// Triggers one random event, or none.
fn random_event(peak: &mut Peak, random: &mut StdRng) {
    match random.random_range(0..200) {
        0..3 if peak.gangs.len() < 4 => {
            let number = peak.gangs.len() as u64 + 1;
            let spec = StepSpec {
                cpu_millis: random.random_range(1..7) * 500,
                max_per_worker: random.random_range(0..2),
                ..gang(random.random_range(2..6))
            };
            peak.submit_gang(number, spec);
        }
        3 if !peak.gangs.is_empty() => {
            let index = random.random_range(0..peak.gangs.len());
            let (job, _) = peak.gangs[index];
            let now = at(peak.world.now_ms);
            peak.world.scheduler.cancel(job, now);
        }
        4 => {
            let index = random.random_range(0..peak.world.listings.len());
            let vm = peak.world.listings[index].vm.clone();
            peak.world.crash_report_delay_ms = Some(0);
            peak.world.crash_worker_on(&vm);
        }
        _ => {}
    }
}

impl Peak {
    /// Creates a random world under load.
    fn random(random: &mut StdRng) -> Peak {
        let count = random.random_range(2..6);
        let names: Vec<String> = (0..count).map(|n| format!("w{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        Peak::new(&names)
    }

    /// Ends the load and then all gangs. Checks that each gang ran completely
    /// or not at all, and that every worker can be filled again. Returns how
    /// many gangs ran.
    fn finish(mut self, seed: u64, step: impl Fn(&mut Peak)) -> u32 {
        self.tasks_a_round = 0;
        for number in 101..=self.next {
            let now = at(self.world.now_ms);
            self.world.scheduler.cancel(id(number), now);
        }
        // All workers come back and nothing else runs, so each gang that fits
        // starts.
        for _ in 0..6_000 / 50 {
            step(&mut self);
        }
        let mut whole = 0;
        for (job, members) in self.gangs.clone() {
            let running = self.running_on(job).len();
            let is_whole = running == 0 || running == members;
            assert!(is_whole, "seed {seed}: {running} of {members} run");
            whole += u32::from(running > 0);
            let now = at(self.world.now_ms);
            self.world.scheduler.cancel(job, now);
        }
        for _ in 0..10_000 / 50 {
            step(&mut self);
        }
        let workers = self.world.listings.len();
        self.submit_short(4 * workers as u32, 30_000);
        self.run_for(1_000);
        let running = self.world.running().len();
        assert_eq!(
            running,
            4 * workers,
            "seed {seed}: capacity is still reserved"
        );
        whole
    }
}

#[test]
fn gangs_under_random_load_start_completely_and_leave_no_reservation() {
    let mut whole = 0;
    for seed in 0..RUNS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut peak = Peak::random(&mut random);
        for _ in 0..12_000 / 50 {
            random_event(&mut peak, &mut random);
            peak.round();
        }
        whole += peak.finish(seed, Peak::round);
    }
    assert!(whole > RUNS as u32 / 2, "only {whole} gangs ran");
}

#[test]
fn gangs_in_random_waves_start_completely_and_leave_no_reservation() {
    let mut whole = 0;
    for seed in 0..WAVE_RUNS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut peak = Peak::random(&mut random);
        peak.world.stop_duration_ms = random.random_range(0..STOP_MS);
        let serving = [POOL.to_owned()].into();
        peak.world.scheduler.configure_pools(serving, [].into());
        for _ in 0..3_000 / 50 {
            random_event(&mut peak, &mut random);
            peak.maintain();
        }
        request_wave(&mut peak.world);
        for _ in 0..12_000 / 50 {
            random_event(&mut peak, &mut random);
            peak.maintain();
        }
        whole += peak.finish(seed, Peak::maintain);
    }
    assert!(whole > WAVE_RUNS as u32 / 2, "only {whole} gangs ran");
}
