//! Starts while cancellations arrive late.

use {
    crate::world::{World, at, id, job, step},
    dewspar::{
        job::Phase,
        schedule::{AwaitedState, Decision, Options, Scheduler},
        staleness::{StalenessLimits, StateUse, StateView},
    },
};

const CHECK_AFTER_MS: u64 = 800;
const WAIT_AFTER_MS: u64 = 2_500;

/// A world whose scheduler knows all cancellations as of now.
fn world() -> World {
    let limits = StalenessLimits {
        check_after_ms: CHECK_AFTER_MS,
        wait_after_ms: WAIT_AFTER_MS,
    };
    let options = Options::default().cancellation_limits(Some(limits));
    let mut world = World::new(7, &["w1"]);
    world.scheduler = Scheduler::new(7, options);
    world.list();
    world.expect_all();
    note_current(&mut world, 8);
    world.run_for(100);
    note_current(&mut world, 8);
    world
}

fn note_current(world: &mut World, revision: u64) {
    let current_ms = world.now_ms;
    world.scheduler.note_cancellations(StateView { revision, current_ms });
}

// Guards against starts of jobs whose cancellation is stored, while the holder
// knows that its feed is seconds behind.
#[test]
fn nothing_starts_while_cancellations_are_too_stale() {
    let mut world = world();
    world.run_for(WAIT_AFTER_MS + 100);
    world.scheduler.submit(id(1), job(vec![step(1)]), 9, None);
    world.scheduler.submit(id(2), job(vec![step(1)]), 10, None);
    world.run_for(500);
    assert!(world.starts.is_empty());
    // One read shows that the first job is cancelled, and serves both.
    world.scheduler.cancel(id(1), at(world.now_ms));
    note_current(&mut world, 12);
    world.run_for(100);
    let started: Vec<_> =
        world.starts.iter().map(|start| start.1.task.job).collect();
    assert_eq!(started, [id(2)]);
    let state = AwaitedState::Cancellations;
    let decisions = world.scheduler.take_decisions();
    let paused = decisions.iter().any(|decision| {
        matches!(decision, Decision::StartsPaused { state: s, age_ms }
            if *s == state && *age_ms > WAIT_AFTER_MS)
    });
    let resumed = decisions.iter().any(|decision| {
        matches!(decision, Decision::StartsResumed { state: s, .. }
            if *s == state)
    });
    assert!(paused && resumed, "{decisions:?}");
    let based_on = decisions.iter().find_map(|decision| match decision {
        Decision::Started { cancellations, cancellations_age_ms, .. } => {
            Some((cancellations.revision, *cancellations_age_ms))
        }
        _ => None,
    });
    assert_eq!(based_on, Some((12, 50)));
}

#[test]
fn tasks_start_while_stale_cancellations_are_read() {
    let mut world = world();
    world.run_for(CHECK_AFTER_MS + 100);
    let use_now = world.scheduler.cancellations_use(at(world.now_ms));
    assert_eq!(use_now, StateUse::Check);
    world.scheduler.submit(id(1), job(vec![step(1)]), 9, None);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
}

// Guards against a holder that stops starting known jobs because it is cut off
// from the store.
#[test]
fn tasks_start_while_the_holder_is_cut_off() {
    let mut world = world();
    world.scheduler.submit(id(1), job(vec![step(1)]), 9, None);
    world.scheduler.set_detached(true);
    world.now_ms += WAIT_AFTER_MS + 100;
    world.run_for(100);
    assert_eq!(world.starts.len(), 1);
    // Back in touch, nothing starts before the cancellations were read.
    world.scheduler.set_detached(false);
    world.scheduler.submit(id(2), job(vec![step(1)]), 10, None);
    world.run_for(300);
    assert_eq!(world.starts.len(), 1);
    note_current(&mut world, 11);
    world.run_for(100);
    assert_eq!(world.starts.len(), 2);
}

// Guards against starting a job whose cancellation was read before the feed
// delivered the job.
#[test]
fn a_job_that_arrives_after_its_cancellation_never_starts() {
    let mut world = world();
    world.scheduler.cancel(id(1), at(world.now_ms));
    world.run_for(300);
    world.scheduler.submit(id(1), job(vec![step(1)]), 9, None);
    note_current(&mut world, 12);
    world.run_for(300);
    assert!(world.starts.is_empty());
    assert!(matches!(
        world.scheduler.phase(id(1)),
        None | Some(Phase::Cancelled)
    ));
}

// Guards against counting a view as current because an older read was answered
// late.
#[test]
fn an_older_view_does_not_replace_a_newer_one() {
    let mut view = StateView { revision: 9, current_ms: 5_000 };
    view.advance(StateView { revision: 8, current_ms: 4_000 });
    assert_eq!(view, StateView { revision: 9, current_ms: 5_000 });
    view.advance(StateView { revision: 12, current_ms: 6_000 });
    assert_eq!(view, StateView { revision: 12, current_ms: 6_000 });
}
