//! The loss of a data hall.
//!
//! Guards against replacing a lost hall's VMs one worker at a time: of the
//! late jobs on a day with a hall lost twice, most waited for VMs that were on
//! their way, although most of the remaining VMs were switched off.

use {
    crate::{
        failure_domains::{
            fleet_with_spares, lasting, three_halls, uneven_pool,
        },
        hall_fleet::{Fleet, OFF, OTHER, hall, options},
        world::{POOL, at, id, step},
    },
    dewspar::{
        job::TaskId,
        schedule::{Decision, Options, Policy, VmOrder, WorkerId},
    },
    dewspar_standin::task_worker::Fate,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::collections::{BTreeMap, BTreeSet},
};

/// For how long a burst at the loss of a hall is measured, in milliseconds:
/// until VMs that were ordered at once have arrived and were asked what they
/// run. It is short since a call to a worker of this fake fleet fails at once,
/// so that the silence of the workers is seen after two rounds.
const MEASURED_MS: u64 = 1_650;

/// A fleet in use with a hall that is about to go down.
fn busy_fleet(options: Options) -> Fleet {
    let mut fleet = Fleet::new(options);
    fleet.serve_both_pools();
    for number in 1..=3 {
        for (pool, count) in [(POOL, 4), (OTHER, 3)] {
            for worker in 0..count {
                let name = format!("{pool}-{number}-{worker}");
                fleet.add(&name, pool, &hall(number), "rack-1");
            }
        }
        fleet.add_off(&hall(number), 6);
    }
    fleet.settle();
    fleet.world.fate = Fate::endless();
    for (number, pool, count) in [(3, POOL, 38), (4, OTHER, 28)] {
        fleet.submit(number, pool, vec![step(count)]);
    }
    fleet.run_for(1_500);
    fleet
}

/// Lets the first hall go down and returns the VMs that the next pass moves.
fn moves_at_the_loss(options: Options) -> (Fleet, Vec<(String, String)>) {
    let mut fleet = busy_fleet(options);
    fleet.cut_off("hall-1");
    let moves = fleet.pass();
    (fleet, moves)
}

#[test]
fn all_lost_vms_are_replaced_in_one_pass() {
    let (mut fleet, moves) = moves_at_the_loss(options(Policy::default()));
    let pools: BTreeSet<&str> =
        moves.iter().map(|(_, pool)| pool.as_str()).collect();
    assert_eq!(pools, [POOL, OTHER].into(), "{moves:?}");
    assert!(moves.len() >= 4, "{moves:?}");
    for (vm, _) in &moves {
        assert_ne!(fleet.hall_of(vm), "hall-1", "{vm}");
    }
    let planned = |decision: &&Decision| {
        matches!(decision, Decision::HallLossPlanned { .. })
    };
    fleet.run_for(3_000);
    let planned: Vec<_> = fleet.decisions.iter().filter(planned).collect();
    assert_eq!(planned.len(), 1, "{planned:?}");
    // The mechanism off: nothing is known before workers are silent.
    assert_eq!(moves_at_the_loss(Options::default()).1, []);
}

// Guards against sharing out VMs that are lost: one pool would then get more
// than its share of those that are left.
#[test]
fn no_lost_vm_is_part_of_a_target() {
    let mut fleet = busy_fleet(options(Policy::default()));
    fleet.cut_off("hall-1");
    for (number, pool) in [(10, POOL), (11, OTHER)] {
        fleet.submit(number, pool, vec![step(400)]);
    }
    fleet.run_for(500);
    let mut targets = BTreeMap::new();
    for decision in &fleet.decisions {
        if let Decision::PoolSized { pool, target, .. } = decision {
            targets.insert(pool.as_str(), *target);
        }
    }
    let left = fleet.vms.values().filter(|vm| vm.hall != "hall-1").count();
    assert_eq!(targets.values().sum::<u64>(), left as u64, "{targets:?}");
}

// Guards against VMs that stay on although nothing needs them while a hall is
// down, and against orders to VMs of that hall.
#[test]
fn idle_vms_of_the_other_halls_are_switched_off_while_a_hall_is_down() {
    let mut fleet = uneven_pool(options(Policy::default()));
    fleet.cut_off("hall-1");
    fleet.run_for(30_000);
    let off = fleet.orders.iter().filter_map(|order| match order {
        VmOrder::Move { vm, pool } if pool == OFF => Some(vm),
        _ => None,
    });
    let halls: BTreeSet<&str> = off.map(|vm| fleet.hall_of(vm)).collect();
    assert_eq!(halls, ["hall-2"].into());
}

#[test]
fn a_move_of_a_lost_vm_is_replaced() {
    let mut fleet = fleet_with_spares(options(Policy::default()), 2);
    fleet.submit(1, POOL, vec![step(12)]);
    let moving: Vec<String> = std::iter::repeat_with(|| fleet.pass())
        .take(10)
        .flatten()
        .map(|(vm, _)| vm)
        .collect();
    let lost = moving.iter().filter(|vm| fleet.hall_of(vm) == "hall-2");
    assert_ne!(lost.count(), 0, "{moving:?}");
    fleet.cut_off("hall-2");
    let replaced = fleet.pass();
    assert_ne!(replaced, []);
    assert!(replaced.iter().all(|(vm, _)| fleet.hall_of(vm) != "hall-2"));
}

// Guards against starting what is late already before what can still be in
// time, while capacity is short after a loss.
#[test]
fn tasks_that_can_be_in_time_start_first_after_a_loss() {
    let mut fleet = three_halls(options(Policy::default()));
    fleet.submit(1, POOL, vec![step(24)]);
    fleet.world.run_for(100);
    // The first job is late by the time the hall is lost.
    fleet.submit(2, POOL, vec![step(4)]);
    fleet.world.run_for(5_000);
    let lost = fleet.world.listings.iter().filter(|l| l.hall == "hall-1");
    let lost: Vec<WorkerId> = lost.map(|l| l.id.clone()).collect();
    fleet.cut_off("hall-1");
    fleet.submit(3, POOL, vec![step(4)]);
    for worker in &lost {
        let now = at(fleet.world.now_ms);
        fleet.world.scheduler.worker_gone(worker, "the VM is down", now);
    }
    let before = fleet.world.starts.len();
    fleet.add("late-1", POOL, "hall-2", "rack-1");
    fleet.settle();
    let jobs: Vec<_> = fleet.world.starts[before..]
        .iter()
        .map(|(_, order)| order.task.job)
        .collect();
    assert_eq!(jobs, [id(3); 4]);
}

/// Lets a hall go down at the moment at which a burst of jobs arrives. Returns
/// how many of the burst's and the lost tasks started elsewhere by the time
/// that VMs which were ordered at once have arrived.
fn burst_at_the_loss(seed: u64, is_known: bool) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = busy_fleet(options(Policy::default()));
    let lost = hall(random.random_range(1..=3));
    // The workers of the hall may be about to be asked, or were just asked.
    for _ in 0..random.random_range(0..4) {
        fleet.pass();
    }
    if is_known {
        fleet.cut_off(&lost);
    } else {
        fleet.silence(&lost);
    }
    let mut submitted = 0;
    let pool = if random.random() { POOL } else { OTHER };
    for number in 10..14 {
        let count = random.random_range(8..16);
        fleet.submit(number, pool, vec![step(count)]);
        submitted += count as usize;
    }
    let before = fleet.world.starts.len();
    fleet.run_for(1_000);
    fleet.power_off(&lost);
    fleet.run_for(MEASURED_MS - 1_000);
    let started = fleet.world.starts[before..].iter();
    let tasks: BTreeSet<TaskId> = started
        .filter(|(worker, _)| !fleet.world.unreachable.contains(worker))
        .map(|(_, order)| order.task)
        .collect();
    (tasks.len(), submitted)
}

// Guards against starts and VMs lost in the hall that is down, and against
// capacity that is ordered too late for a burst.
#[test]
fn a_burst_at_the_moment_of_the_loss_gets_vms_of_the_other_halls() {
    let (mut with, mut without, mut all) = (0, 0, 0);
    for seed in 0..20 {
        let (known, submitted) = burst_at_the_loss(seed, true);
        let (unknown, _) = burst_at_the_loss(seed, false);
        with += known;
        without += unknown;
        all += submitted;
    }
    assert!(with * 100 >= without * 130, "{with} {without} {all}");
}

/// Returns all orders of a randomized run in which a hall is cut off.
fn orders_of_a_random_run(seed: u64, options: Options) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = busy_fleet(options);
    let mut log = Vec::new();
    for round in 0..60_u64 {
        if random.random_ratio(1, 4) {
            let pool = if random.random() { POOL } else { OTHER };
            let count = random.random_range(1..6);
            let lasts = random.random_ratio(1, 3);
            let spec = if lasts { lasting(count) } else { step(count) };
            let done_ms = random.random_range(100..2_000);
            fleet.world.fate = match lasts {
                true => Fate::endless(),
                false => Fate::done(done_ms),
            };
            fleet.submit(100 + round, pool, vec![spec]);
        }
        if round == 20 {
            fleet.cut_off("hall-1");
        }
        log.push(format!("{:?}", fleet.pass()));
    }
    let starts = fleet.world.starts.iter();
    log.extend(starts.map(|(worker, order)| format!("{worker} {order:?}")));
    log
}

// Guards against a change of behavior where no loss of a hall is to be
// tolerated, whatever the policy and the state of the halls.
#[test]
fn orders_are_the_same_where_no_loss_is_tolerated() {
    let mut policy = Policy::default();
    policy.placing.spreads_over_halls = false;
    policy.placing.spreads_before_locality = false;
    policy.sizing.hall_reserve_percent = 100;
    let mut other_with_tolerance = 0;
    for seed in 0..20 {
        let plain = orders_of_a_random_run(seed, Options::default());
        let with_policy = Options::default().policy(policy.clone());
        let with_policy = orders_of_a_random_run(seed, with_policy);
        assert_eq!(plain, with_policy, "seed {seed}");
        let tolerating =
            orders_of_a_random_run(seed, options(Policy::default()));
        other_with_tolerance += u32::from(plain != tolerating);
    }
    // The comparison shows differences.
    assert_eq!(other_with_tolerance, 20);
}
