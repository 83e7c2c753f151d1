//! Values that parse well but that no worker, VM, operator or caller means.
//!
//! Guards against a scheduler that ends, or whose sums wrap, because of one
//! odd entry among good ones: the good ones are used all the same.

use {
    crate::world::{World, at, id, job, listing, next_hold, step},
    dewspar::{
        job::{Repeat, StepSpec},
        schedule::{
            AcceptedJob, ActiveRun, EndCause, EndedRun, HoldReport,
            Incarnation, Resources, SilentWorkers, WaveRequest, WorkerId,
            WorkerListing,
        },
    },
    std::collections::BTreeMap,
};

const ODD_NUMBERS: [u64; 6] =
    [u64::MAX, u64::MAX - 1, u64::MAX / 2 + 1, u64::MAX / 100 + 1, 1 << 53, 0];

fn runs_a_job(world: &mut World, what: &str) {
    let job_id = id(77);
    world.scheduler.submit(job_id, job(vec![step(3), step(2)]), 9, None);
    world.run_for(5_000);
    assert_eq!(world.phases.get(&job_id), Some(&"completed"), "{what}");
}

/// A world with an odd worker, which answers but for its odd entry like any
/// other, among good ones.
fn world_with(odd: WorkerListing) -> World {
    let mut world = World::new(5, &["w1", "w2"]);
    world.listings.push(WorkerListing { id: WorkerId::new("odd"), ..odd });
    world.list();
    world.expect_all();
    world.list_vms();
    world.run_for(100);
    world
}

fn odd_listings(odd: u64) -> Vec<(&'static str, WorkerListing)> {
    let good = listing("odd");
    let with = |capacity| WorkerListing { capacity, ..good.clone() };
    let room = good.capacity;
    vec![
        ("cpu", with(Resources { cpu_millis: odd, ..room })),
        ("memory", with(Resources { memory_mb: odd, ..room })),
        ("gpus", with(Resources { gpus: odd, ..room })),
        (
            "all",
            with(Resources { cpu_millis: odd, memory_mb: odd, gpus: odd }),
        ),
        (
            "incarnation",
            WorkerListing {
                incarnation: Incarnation::started_at(odd),
                ..good.clone()
            },
        ),
        (
            "remaining",
            WorkerListing {
                draining: true,
                remaining_ms: Some(odd),
                ..good.clone()
            },
        ),
        ("cold", WorkerListing { cold_remaining_ms: odd, ..good.clone() }),
    ]
}

#[test]
fn an_odd_worker_leaves_the_others_in_use() {
    for odd in ODD_NUMBERS {
        for (field, listing) in odd_listings(odd) {
            let mut world = world_with(listing.clone());
            runs_a_job(&mut world, &format!("{field} {odd}"));
            // Again, with many of them, and a wave over all VMs.
            let mut world = world_with(listing.clone());
            for number in 0..300 {
                let id = WorkerId::new(&format!("odd-{number}"));
                let vm = format!("odd-vm-{number}");
                let odd = WorkerListing { id, vm, ..listing.clone() };
                world.listings.push(odd);
            }
            world.list();
            world.expect_all();
            world.list_vms();
            for _ in 0..5 {
                world.scheduler.plan_vms(at(world.now_ms));
                world.run_for(500);
                world.list_vms();
            }
            runs_a_job(&mut world, &format!("many, {field} {odd}"));
        }
    }
}

#[test]
fn an_odd_wave_leaves_jobs_running() {
    for odd in ODD_NUMBERS {
        let mut world = world_with(listing("w3"));
        let vms = world.managed_vms();
        let good = WaveRequest {
            wave: 1,
            vms: vms.iter().map(|vm| vm.vm.clone()).collect(),
            duration_ms: 10_000,
            max_down: 1,
        };
        for wave in [
            WaveRequest { duration_ms: odd, ..good.clone() },
            WaveRequest { wave: odd, ..good.clone() },
            WaveRequest { max_down: odd as usize, ..good.clone() },
        ] {
            let none = BTreeMap::new();
            let now = at(world.now_ms);
            world.scheduler.request_waves(now, &[wave], &none, &[]);
            world.scheduler.plan_vms(now);
            world.run_for(1_000);
        }
    }
}

fn odd_reports(odd: u64) -> Vec<(&'static str, HoldReport)> {
    let task: dewspar::job::TaskId =
        format!("{}.0.0.0", id(77)).parse().unwrap();
    let active = ActiveRun {
        task,
        run: 1,
        checkpoint: String::new(),
        percent: Some(100),
        gauge: Some(1),
    };
    let ended = EndedRun {
        number: 1,
        task,
        run: 1,
        cause: EndCause::Failed,
        checkpoint: String::new(),
    };
    let good = HoldReport { clock_ms: 2_000, ..HoldReport::default() };
    let with_run = |run| HoldReport { active: vec![run], ..good.clone() };
    let with_end = |end| HoldReport { ended: vec![end], ..good.clone() };
    vec![
        ("clock", HoldReport { clock_ms: odd, ..good.clone() }),
        (
            "process",
            HoldReport {
                incarnation: Incarnation::started_at(odd),
                ..good.clone()
            },
        ),
        ("active run", with_run(ActiveRun { run: odd, ..active.clone() })),
        ("gauge", with_run(ActiveRun { gauge: Some(odd), ..active.clone() })),
        (
            "task",
            with_run(ActiveRun {
                task: format!("{}.4294967295.4294967295.4294967295", id(77))
                    .parse()
                    .unwrap(),
                ..active
            }),
        ),
        ("ended run", with_end(EndedRun { run: odd, ..ended.clone() })),
        ("ended number", with_end(EndedRun { number: odd, ..ended })),
    ]
}

#[test]
fn an_odd_answer_leaves_the_others_in_use() {
    for odd in ODD_NUMBERS {
        for (field, report) in odd_reports(odd) {
            for submitted in [false, true] {
                let mut world = World::new(5, &["w1", "w2", "odd"]);
                let worker = WorkerId::new("odd");
                world.list();
                world.expect_all();
                if submitted {
                    let spec = StepSpec {
                        long_running: true,
                        target_ms: 5,
                        ..step(3)
                    };
                    let job = job(vec![spec]);
                    world.scheduler.submit(id(77), job, 9, None);
                }
                let held = next_hold(&mut world, &worker);
                let now = at(world.now_ms);
                let answer = Ok(report.clone());
                world.hold_result(&worker, &held, answer, now);
                world.run_for(3_000);
                if !submitted {
                    world.scheduler.submit(
                        id(78),
                        job(vec![step(3)]),
                        9,
                        None,
                    );
                    // A start on the odd worker may be in doubt for as long
                    // as its lease lasts.
                    world.run_for(40_000);
                    let phase = world.phases.get(&id(78));
                    let what = format!("{field} {odd}");
                    // A process that starts in the far future hides the real
                    // one, and later ends count as seen after such a number.
                    // Adapters refuse both.
                    if !matches!(field, "process" | "ended number") {
                        assert_eq!(phase, Some(&"completed"), "{what}");
                    }
                }
            }
        }
    }
}

fn odd_jobs(odd: u64) -> Vec<(&'static str, AcceptedJob)> {
    let one = |spec: StepSpec| job(vec![spec.clone(), spec]);
    let mut objective = job(vec![step(1)]);
    objective.terms.target_latency_ms = odd;
    let mut stretch = job(vec![StepSpec { estimate_ms: odd, ..step(1) }]);
    stretch.terms.stretch = 1e308;
    let mut accepted = job(vec![step(1)]);
    accepted.accepted_at_ms = odd;
    let mut repeated = job(vec![step(1)]);
    repeated.spec.repeat =
        Some(Repeat { start_at_ms: odd, interval_ms: odd, count: 3 });
    let mut soon = job(vec![step(1)]);
    soon.spec.repeat =
        Some(Repeat { start_at_ms: 0, interval_ms: odd, count: 3 });
    let odd_step = |spec| one(spec);
    vec![
        ("cpu", odd_step(StepSpec { cpu_millis: odd, ..step(3) })),
        (
            "lasting cpu",
            odd_step(StepSpec {
                cpu_millis: odd,
                long_running: true,
                ..step(3)
            }),
        ),
        (
            "gang",
            odd_step(StepSpec { cpu_millis: odd, gang: true, ..step(3) }),
        ),
        ("memory", odd_step(StepSpec { memory_mb: odd, ..step(3) })),
        ("gpus", odd_step(StepSpec { gpus: odd, ..step(3) })),
        ("estimate", odd_step(StepSpec { estimate_ms: odd, ..step(3) })),
        (
            "estimate without place",
            odd_step(StepSpec {
                estimate_ms: odd,
                cpu_millis: 1 << 40,
                ..step(3)
            }),
        ),
        (
            "target",
            odd_step(StepSpec {
                target_ms: odd,
                long_running: true,
                ..step(3)
            }),
        ),
        ("objective", objective),
        ("stretch", stretch),
        ("accepted", accepted),
        ("repeated", repeated),
        ("repeated soon", soon),
    ]
}

#[test]
fn an_odd_job_leaves_the_others_running() {
    for odd in ODD_NUMBERS {
        for (field, odd_job) in odd_jobs(odd) {
            let mut world = World::new(5, &["w1", "w2"]);
            world.list();
            world.expect_all();
            world.list_vms();
            world.scheduler.submit(id(1), odd_job, 8, None);
            for _ in 0..3 {
                world.scheduler.plan_vms(at(world.now_ms));
                world.run_for(500);
                world.list_vms();
                world.scheduler.pending(at(world.now_ms).unix_ms);
            }
            runs_a_job(&mut world, &format!("{field} {odd}"));
        }
    }
}

#[test]
fn an_odd_record_of_a_job_is_restored_without_harm() {
    for odd in ODD_NUMBERS {
        for text in [
            format!(r#"{{"phase":"completed","finished_at_ms":{odd}}}"#),
            format!(
                r#"{{"phase":"running","finished_at_ms":{odd},"tasks":
                [{{"round":0,"step":0,"index":0,"done":false,"run":{odd}}}]}}"#
            ),
            format!(
                r#"{{"phase":"running","tasks":[{{"round":0,"step":0,
                "index":1,"done":false,"run":1,"failed_runs":[{odd},{odd}],
                "crashes":4294967295,"unseen":4294967295,
                "told":"w1","told_born_unix_ms":{odd}}}]}}"#
            ),
            format!(
                r#"{{"phase":"running","tasks":[{{"round":0,"step":0,
                "index":1,"done":false,"run":1,"in_doubt":[{{"worker":"w9","run":{odd},
                "lease_revision":{odd}}}]}}]}}"#
            ),
            r#"{"phase":"running","tasks":[{"round":4294967295,
                "step":4294967295,"index":4294967295,"run":1,"done":true}]}"#
                .to_owned(),
        ] {
            let progress = serde_json::from_str(&text).expect(&text);
            let mut world = World::new(5, &["w1", "w2"]);
            world.list();
            world.expect_all();
            let odd_job = job(vec![step(3)]);
            world.scheduler.submit(id(1), odd_job, 8, Some(&progress));
            runs_a_job(&mut world, &text);
            world.scheduler.take_expired(at(world.now_ms), 10);
        }
    }
}

#[test]
fn an_odd_silent_worker_is_inherited_without_harm() {
    for odd in ODD_NUMBERS {
        let text = format!(r#"{{"w1":{odd},"w9":{odd}}}"#);
        let silent: SilentWorkers = serde_json::from_str(&text).unwrap();
        let mut world = World::new(5, &["w1", "w2"]);
        world.scheduler.inherit_silent_workers(&silent, at(world.now_ms));
        world.list();
        world.expect_all();
        runs_a_job(&mut world, &text);
    }
}
