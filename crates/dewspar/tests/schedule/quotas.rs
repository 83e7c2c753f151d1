//! Quotas of teams: what may run on a team's behalf stays within its quota.

use {
    crate::world::{World, at, id, job, listing, step},
    dewspar::{
        job::{Progress, StepSpec},
        schedule::{AcceptedJob, Incarnation, Resources, TeamUse, WorkerId},
        team::{Team, Teams},
    },
    dewspar_standin::task_worker::Fate,
};

/// How long it takes until a team may use its whole quota, in milliseconds: a
/// few writes of its ceiling.
const RAMP_MS: u64 = 300;

const WORKERS: [&str; 3] = ["w-1", "w-2", "w-3"];

fn cores(cores: u64) -> Resources {
    Resources { cpu_millis: cores * 1_000, ..Resources::default() }
}

fn notaries(quota: Resources) -> Team {
    Team { name: "notaries".to_owned(), weight: 1, quota }
}

fn team_job(quota: Resources, spec: StepSpec) -> AcceptedJob {
    AcceptedJob { team: Some(notaries(quota)), ..job(vec![spec]) }
}

/// Returns a world whose workers have all answered.
fn world() -> World {
    let mut world = World::new(7, &WORKERS);
    world.fate = Fate::done(1_000);
    world.expect_all();
    world.list();
    world.run_for(RAMP_MS);
    world
}

fn configure(world: &mut World, quota: Resources) {
    let teams = Teams::default().with(notaries(quota), []);
    world.scheduler.configure_teams(&teams);
}

#[test]
fn tasks_beyond_the_quota_wait_for_others_to_end() {
    let mut world = world();
    world.scheduler.submit(id(1), team_job(cores(4), step(6)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 4);
    world.run_for(3_000);
    assert_eq!(world.starts.len(), 6);
}

#[test]
fn memory_counts_as_processors_do() {
    let mut world = world();
    let quota = Resources { memory_mb: 250, ..Resources::default() };
    world.scheduler.submit(id(1), team_job(quota, step(6)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn all_jobs_of_a_team_share_its_quota() {
    let mut world = world();
    for number in 1..4 {
        let accepted = team_job(cores(4), step(2));
        world.scheduler.submit(id(number), accepted, 7 + number, None);
    }
    let other = Team { name: "banks".to_owned(), ..notaries(cores(4)) };
    let accepted = AcceptedJob { team: Some(other), ..job(vec![step(3)]) };
    world.scheduler.submit(id(9), accepted, 20, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 4 + 3);
}

#[test]
fn a_quota_of_zero_is_no_limit() {
    let mut world = world();
    let accepted = team_job(Resources::default(), step(9));
    world.scheduler.submit(id(1), accepted, 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 9);
}

#[test]
fn a_task_larger_than_the_quota_runs_alone() {
    let mut world = world();
    let quota = Resources { cpu_millis: 500, ..Resources::default() };
    world.scheduler.submit(id(1), team_job(quota, step(3)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 1);
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 3);
}

#[test]
fn a_falling_quota_stops_no_run_and_delays_starts() {
    let mut world = world();
    world.scheduler.submit(id(1), team_job(cores(6), step(8)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 6);
    configure(&mut world, cores(2));
    world.run_for(200);
    assert_eq!(world.running().len(), 6);
    world.run_for(900);
    // The first six have ended.
    assert_eq!(world.running().len(), 2);
    assert_eq!(world.starts.len(), 8);
}

#[test]
fn a_rising_quota_starts_what_waits() {
    let mut world = world();
    world.scheduler.submit(id(1), team_job(cores(2), step(5)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 2);
    configure(&mut world, cores(5));
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 5);
}

#[test]
fn a_run_counts_until_its_stop_is_done() {
    let mut world = world();
    world.fate = Fate::endless();
    world.stop_duration_ms = 800;
    world.scheduler.submit(id(1), team_job(cores(3), step(3)), 8, None);
    world.run_for(RAMP_MS);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.scheduler.submit(id(2), team_job(cores(3), step(3)), 9, None);
    world.run_for(500);
    let (_, usage) = world.scheduler.team_usage().next().unwrap();
    assert_eq!(usage.stopping.cpu_millis, 3_000);
    assert_eq!(world.starts.len(), 3);
    world.run_for(1_500);
    assert_eq!(world.starts.len(), 6);
}

#[test]
fn an_unanswered_start_counts_until_its_outcome_is_known() {
    let mut world = world();
    world.drops_starts = true;
    world.unreachable = vec![WorkerId::new("w-1")];
    world.scheduler.submit(id(1), team_job(cores(1), step(2)), 8, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    world.drops_starts = false;
    world.run_for(1_000);
    // The worker that was told has answered since, without the run.
    assert!(world.starts.len() >= 2);
    assert!(world.running().len() <= 1);
}

#[test]
fn a_start_that_the_next_process_may_carry_out_counts() {
    let mut world = World::new(7, &WORKERS);
    world.assign_incarnations();
    world.expect_all();
    world.list();
    world.run_for(RAMP_MS);
    world.drops_starts = true;
    let spec = StepSpec { may_duplicate: true, ..step(1) };
    world.scheduler.submit(id(1), team_job(cores(1), spec), 8, None);
    world.run_for(100);
    let (worker, order) = world.starts[0].clone();
    world.scheduler.cancel(id(1), at(world.now_ms));
    // The process ends before it has answered.
    world.restart_worker_as(&worker, Incarnation::started_at(u64::MAX / 2));
    world.unreachable = vec![worker.clone()];
    world.list();
    world.run_for(50);
    let (_, usage) = world.scheduler.team_usage().next().unwrap();
    assert_eq!(usage.total(), cores(1).plus(&memory(100)), "{order:?}");
}

fn memory(memory_mb: u64) -> Resources {
    Resources { memory_mb, ..Resources::default() }
}

#[test]
fn a_gang_counts_as_a_whole() {
    let mut world = world();
    let gang = StepSpec { gang: true, ..step(3) };
    world.scheduler.submit(id(1), team_job(cores(4), step(2)), 8, None);
    world.run_for(RAMP_MS);
    world.scheduler.submit(id(2), team_job(cores(4), gang), 9, None);
    world.run_for(RAMP_MS);
    // Two of its three members would fit.
    assert_eq!(world.running().len(), 2);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 3);
}

#[test]
fn processor_time_of_best_effort_tasks_counts() {
    let mut world = world();
    let spec = StepSpec { best_effort: true, ..step(5) };
    world.scheduler.submit(id(1), team_job(cores(2), spec), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn a_long_running_task_counts() {
    let mut world = world();
    world.fate = Fate::endless();
    let spec = StepSpec { long_running: true, ..step(3) };
    world.scheduler.submit(id(1), team_job(cores(4), spec), 8, None);
    world.scheduler.submit(id(2), team_job(cores(4), step(3)), 9, None);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 4);
}

/// Returns a world in which six of a team's cores run on all three workers,
/// and the holder is lost while one worker is cut off.
fn takeover_beside_a_cut(quota: Resources, spec: StepSpec) -> World {
    let mut world = world();
    world.fate = Fate::endless();
    // Two runs on each worker.
    let spec = StepSpec { max_per_worker: 2, ..spec };
    let accepted = team_job(quota, spec);
    world.scheduler.submit(id(1), accepted.clone(), 8, None);
    world.run_for(200);
    world.unreachable = vec![WorkerId::new("w-3")];
    world.take_over(20);
    let progress = Progress::default();
    world.scheduler.submit(id(1), accepted, 8, Some(&progress));
    world.expect_all();
    world.list();
    world
}

#[test]
fn runs_behind_a_cut_count_after_a_takeover() {
    let mut world = takeover_beside_a_cut(cores(6), step(6));
    assert_eq!(world.running().len(), 6);
    let accepted = team_job(cores(6), step(6));
    world.scheduler.submit(id(2), accepted, 21, None);
    // The lease of the worker behind the cut lasts longer.
    for _ in 0..50 {
        world.run_for(50);
        assert!(world.running().len() <= 6, "{:?}", world.running());
    }
    let (_, usage) = world.scheduler.team_usage().next().unwrap();
    assert_eq!(usage.running.cpu_millis, 4_000);
    assert_eq!(usage.in_doubt.cpu_millis, 2_000);
}

#[test]
fn a_team_under_half_of_its_quota_starts_beside_a_cut() {
    let mut world = takeover_beside_a_cut(cores(20), step(6));
    world.scheduler.submit(id(2), team_job(cores(20), step(2)), 21, None);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 8);
}

// Guards against a team that is kept from starting anything until the leases
// behind a cut are over, since its long queue might all run there.
#[test]
fn a_long_queue_keeps_no_team_from_starting_beside_a_cut() {
    let mut world = world();
    world.fate = Fate::endless();
    let running = team_job(cores(8), step(1));
    // None of its tasks can start.
    let spec = StepSpec { required_label: "b".to_owned(), ..step(20) };
    let queued = team_job(cores(8), spec);
    world.scheduler.submit(id(1), running.clone(), 8, None);
    world.scheduler.submit(id(2), queued.clone(), 9, None);
    world.run_for(200);
    let (worker, _) = world.starts[0].clone();
    let others = WORKERS.iter().map(|name| WorkerId::new(name));
    world.unreachable = others.filter(|id| *id != worker).collect();
    world.take_over(20);
    let progress = Progress::default();
    world.scheduler.submit(id(1), running, 8, Some(&progress));
    world.scheduler.submit(id(2), queued, 9, Some(&progress));
    world.expect_all();
    world.list();
    world.scheduler.submit(id(3), team_job(cores(8), step(2)), 21, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 3);
}

#[test]
fn a_start_beyond_the_ceiling_waits_until_the_store_has_a_higher_one() {
    let mut world = world();
    world.outage = true;
    world.scheduler.submit(id(1), team_job(cores(8), step(6)), 8, None);
    world.run_for(500);
    assert_eq!(world.running().len(), 0);
    world.outage = false;
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 6);
}

#[test]
fn what_runs_behind_a_cut_counts_once_it_is_found() {
    let mut world = takeover_beside_a_cut(cores(8), step(6));
    world.run_for(500);
    world.unreachable.clear();
    world.run_for(1_000);
    let (_, usage) = world.scheduler.team_usage().next().unwrap();
    assert_eq!(usage.total().cpu_millis, 6_000);
    assert_eq!(usage.in_doubt.cpu_millis, 0);
}

#[test]
fn runs_of_a_cancelled_job_count_for_the_next_holder() {
    let mut world = world();
    world.scheduler.begin_loading();
    world.take_over(20);
    world.expect_all();
    world.list();
    let team_use = TeamUse { team: notaries(cores(4)), resources: cores(3) };
    world.scheduler.note_stops_on_record(id(1), &team_use);
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.unreachable = vec![WorkerId::new("w-3")];
    world.scheduler.submit(id(2), team_job(cores(4), step(4)), 21, None);
    world.run_for(300);
    assert_eq!(world.running().len(), 1);
}

#[test]
fn the_use_of_a_cancelled_job_is_recorded_with_its_end() {
    let mut world = world();
    world.fate = Fate::endless();
    world.stop_duration_ms = 5_000;
    world.scheduler.submit(id(1), team_job(cores(4), step(3)), 8, None);
    world.run_for(RAMP_MS);
    world.scheduler.cancel(id(1), at(world.now_ms));
    let changes = world.scheduler.take_changes(10);
    let recorded = changes.active_use(id(1)).unwrap();
    assert_eq!(recorded.team, notaries(cores(4)));
    assert_eq!(recorded.resources.cpu_millis, 3_000);
    let (_, progress) = &changes.progress[0];
    assert_eq!(progress.team, "notaries");
}

#[test]
fn nothing_of_a_limited_team_starts_while_jobs_are_loading() {
    let mut world = World::new(7, &WORKERS);
    world.fate = Fate::done(1_000);
    world.scheduler.begin_loading();
    world.expect_all();
    world.list();
    world.run_for(RAMP_MS);
    world.scheduler.submit(id(1), team_job(cores(4), step(2)), 8, None);
    world.scheduler.submit(id(2), job(vec![step(1)]), 9, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 1);
    world.scheduler.finish_loading(at(world.now_ms));
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 3);
}

#[test]
fn a_team_missing_from_the_configuration_keeps_its_last_quota() {
    let mut world = world();
    configure(&mut world, cores(2));
    world.scheduler.configure_teams(&Teams::default());
    world.scheduler.submit(id(1), team_job(cores(9), step(4)), 8, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn a_worker_that_joins_counts_nothing_of_new_jobs() {
    let mut world = world();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), team_job(cores(4), step(8)), 8, None);
    world.run_for(RAMP_MS);
    world.listings.push(listing("w-4"));
    world.list();
    world.run_for(RAMP_MS);
    let (_, usage) = world.scheduler.team_usage().next().unwrap();
    assert_eq!(usage.in_doubt, Resources::default());
    assert_eq!(world.running().len(), 4);
}

#[test]
fn jobs_beyond_a_teams_share_go_after_the_others() {
    let mut world = World::new(7, &["w-1"]);
    world.fate = Fate::done(1_000);
    world.expect_all();
    world.list();
    world.run_for(RAMP_MS);
    let weighted = |name: &str, weight| Team {
        name: name.to_owned(),
        weight,
        quota: Resources::default(),
    };
    // Six jobs of a team that is owed two a second, then one of another team.
    for number in 1..7 {
        let team = Some(weighted("banks", 2));
        let accepted = AcceptedJob { team, ..job(vec![step(1)]) };
        world.scheduler.submit(id(number), accepted, 7 + number, None);
    }
    let team = Some(weighted("notaries", 2));
    let accepted = AcceptedJob { team, ..job(vec![step(1)]) };
    world.scheduler.submit(id(9), accepted, 20, None);
    world.run_for(50);
    // There is room for four.
    let started: Vec<_> =
        world.starts.iter().map(|(_, order)| order.task.job).collect();
    assert_eq!(started, [id(1), id(2), id(9), id(3)]);
    world.run_for(3_000);
    assert_eq!(world.starts.len(), 7);
}

// Guards against a large task that waits for a long one of its own team,
// although the team uses little of its quota.
#[test]
fn a_team_under_half_of_its_quota_starts_a_task_as_large_as_the_quota() {
    let mut world = world();
    world.fate = Fate::endless();
    world.scheduler.submit(id(1), team_job(cores(4), step(1)), 8, None);
    world.run_for(RAMP_MS);
    let large = StepSpec { cpu_millis: 4_000, ..step(2) };
    world.scheduler.submit(id(2), team_job(cores(4), large), 9, None);
    world.run_for(RAMP_MS);
    assert_eq!(world.running().len(), 2);
}

#[test]
fn a_copy_counts_beside_the_run_behind_a_cut() {
    let mut world = world();
    world.fate = Fate::endless();
    let spec = StepSpec { may_duplicate: true, ..step(1) };
    let accepted = team_job(cores(2), spec);
    world.scheduler.submit(id(1), accepted.clone(), 8, None);
    world.run_for(RAMP_MS);
    let (worker, _) = world.starts[0].clone();
    world.unreachable = vec![worker];
    world.take_over(20);
    let progress = Progress::default();
    world.scheduler.submit(id(1), accepted, 8, Some(&progress));
    world.expect_all();
    world.list();
    world.run_for(1_000);
    assert_eq!(world.running().len(), 2, "a copy has started");
    world.scheduler.submit(id(2), team_job(cores(2), step(1)), 21, None);
    world.run_for(1_000);
    assert_eq!(world.running().len(), 2);
}
