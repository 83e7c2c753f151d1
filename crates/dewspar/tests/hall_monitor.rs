//! Conclusions about whole data halls from the calls to their workers.

use dewspar::{
    hall::{HallMonitor, HallPath, HallState},
    schedule::WorkerId,
};

const HALLS: [&str; 3] = ["a", "b", "c"];

/// The number of workers of each hall.
const WORKERS: usize = 10;

/// The time of one round of calls, in milliseconds.
const ROUND_MS: u64 = 50;

struct Fleet {
    monitor: HallMonitor,
    now_ms: u64,
    /// The halls whose workers don't answer.
    silent: Vec<&'static str>,
    /// All changes, as hall and state.
    changes: Vec<(String, HallState)>,
}

impl Fleet {
    fn new(tolerated: usize) -> Fleet {
        let mut fleet = Fleet {
            monitor: HallMonitor::new(tolerated),
            now_ms: 1_000,
            silent: Vec::new(),
            changes: Vec::new(),
        };
        fleet.ask_all(4);
        fleet
    }

    fn ask(&mut self, hall: &'static str, number: usize) {
        let worker = WorkerId::new(&format!("{hall}-{number}"));
        if self.silent.contains(&hall) {
            self.monitor.missed(hall, &worker, self.now_ms);
        } else {
            self.monitor.answered(hall, &worker, self.now_ms);
        }
    }

    /// Asks all workers this many times.
    fn ask_all(&mut self, rounds: u32) {
        for _ in 0..rounds {
            for hall in HALLS {
                for number in 0..WORKERS {
                    self.ask(hall, number);
                }
            }
            self.pass(ROUND_MS);
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        let changes = self.monitor.evaluate(self.now_ms);
        self.changes.extend(changes.into_iter().map(|c| (c.hall, c.to)));
    }

    fn states(&self) -> [HallState; 3] {
        HALLS.map(|hall| self.monitor.state(hall))
    }
}

fn reachable() -> [HallState; 3] {
    [HallState::Reachable; 3]
}

// Guards against a hall that is recognized only after each of its workers has
// missed two answers.
#[test]
fn a_silent_hall_is_cut_off_after_one_miss_of_most_workers() {
    let mut fleet = Fleet::new(1);
    fleet.silent = vec!["a"];
    for number in 0..7 {
        fleet.ask("a", number);
    }
    fleet.ask("b", 0);
    fleet.pass(20);
    assert_eq!(fleet.states(), reachable(), "not confirmed yet");
    fleet.pass(100);
    assert_eq!(fleet.monitor.state("a"), HallState::CutOff);
    assert_eq!(fleet.changes, [("a".to_owned(), HallState::CutOff)]);
}

#[test]
fn a_few_silent_workers_say_nothing_about_their_hall() {
    let mut fleet = Fleet::new(1);
    fleet.silent = vec!["a"];
    for _ in 0..20 {
        for number in 0..5 {
            fleet.ask("a", number);
        }
        for number in 5..WORKERS {
            let worker = WorkerId::new(&format!("a-{number}"));
            fleet.monitor.answered("a", &worker, fleet.now_ms);
        }
        fleet.ask("b", 0);
        fleet.pass(ROUND_MS);
    }
    assert_eq!(fleet.changes, []);
}

// Guards against a node that is cut off and takes all others for lost.
#[test]
fn no_hall_is_cut_off_when_all_fall_silent() {
    let mut fleet = Fleet::new(1);
    fleet.silent = HALLS.to_vec();
    fleet.ask_all(40);
    assert_eq!(fleet.states(), reachable());
}

#[test]
fn no_hall_is_cut_off_when_more_fall_silent_than_may_be_lost() {
    let mut fleet = Fleet::new(1);
    // The node is in the hall that is cut off, and reaches only that.
    fleet.silent = vec!["b", "c"];
    fleet.ask_all(40);
    assert_eq!(fleet.states(), reachable());
    let mut fleet = Fleet::new(2);
    fleet.silent = vec!["b", "c"];
    fleet.ask_all(40);
    assert_eq!(fleet.monitor.state("b"), HallState::CutOff);
    assert_eq!(fleet.monitor.state("c"), HallState::CutOff);
}

#[test]
fn no_hall_is_cut_off_where_none_may_be_lost() {
    let mut fleet = Fleet::new(0);
    fleet.silent = vec!["a"];
    fleet.ask_all(40);
    assert_eq!(fleet.states(), reachable());
    assert_eq!(fleet.monitor.statuses(fleet.now_ms), []);
}

// Guards against two observers that have to agree: each judges for itself.
#[test]
fn in_a_half_cut_only_the_observer_that_sees_silence_concludes_it() {
    let mut in_b = Fleet::new(1);
    in_b.silent = vec!["a"];
    in_b.ask_all(10);
    let mut in_c = Fleet::new(1);
    in_c.ask_all(10);
    assert_eq!(in_b.monitor.state("a"), HallState::CutOff);
    assert_eq!(in_c.states(), reachable());
}

#[test]
fn a_hall_that_answers_over_relays_is_indirect_while_that_is_reported() {
    let mut fleet = Fleet::new(1);
    for _ in 0..4 {
        fleet.monitor.note_path("a", HallPath::Relayed, fleet.now_ms);
        fleet.ask_all(10);
        assert_eq!(fleet.monitor.state("a"), HallState::Indirect);
    }
    fleet.monitor.note_path("a", HallPath::Direct, fleet.now_ms);
    fleet.pass(ROUND_MS);
    assert_eq!(fleet.states(), reachable());
}

// Guards against a state that follows each stray answer.
#[test]
fn a_single_answer_brings_no_hall_back() {
    let mut fleet = Fleet::new(1);
    fleet.silent = vec!["a"];
    fleet.ask_all(10);
    let stray = WorkerId::new("a-0");
    fleet.monitor.answered("a", &stray, fleet.now_ms);
    fleet.pass(ROUND_MS);
    assert_eq!(fleet.monitor.state("a"), HallState::CutOff);
    fleet.silent.clear();
    fleet.ask_all(2);
    assert_eq!(fleet.monitor.state("a"), HallState::Returning);
    fleet.ask_all(40);
    assert_eq!(fleet.states(), reachable());
    let states: Vec<HallState> =
        fleet.changes.iter().map(|(_, state)| *state).collect();
    let expected =
        [HallState::CutOff, HallState::Returning, HallState::Reachable];
    assert_eq!(states, expected);
}

#[test]
fn a_hall_whose_vms_are_down_is_lost_until_a_new_process_answers() {
    let mut fleet = Fleet::new(1);
    fleet.silent = vec!["a"];
    fleet.ask_all(10);
    assert_eq!(fleet.monitor.state("a"), HallState::CutOff);
    fleet.monitor.vms_down("a", fleet.now_ms, fleet.now_ms);
    for number in 0..WORKERS {
        fleet.monitor.ended("a", &WorkerId::new(&format!("a-{number}")));
    }
    fleet.pass(ROUND_MS);
    assert_eq!(fleet.monitor.state("a"), HallState::Lost);
    fleet.pass(ROUND_MS);
    let next = WorkerId::new("a-next");
    fleet.monitor.answered("a", &next, fleet.now_ms);
    fleet.pass(ROUND_MS);
    assert_eq!(fleet.monitor.state("a"), HallState::Returning);
}

// Guards against a list that was requested before the hall returned.
#[test]
fn a_list_that_is_older_than_an_answer_is_ignored() {
    let mut fleet = Fleet::new(1);
    let before_ms = fleet.now_ms - 500;
    fleet.monitor.vms_down("a", before_ms, fleet.now_ms);
    fleet.pass(ROUND_MS);
    assert_eq!(fleet.states(), reachable());
}

#[test]
fn few_silent_workers_of_a_hall_that_does_not_answer_raise_a_doubt() {
    let mut monitor = HallMonitor::new(1);
    for number in 0..2 {
        monitor.missed("a", &WorkerId::new(&format!("a-{number}")), 1_000);
    }
    assert!(monitor.evaluate(1_050).is_empty());
    assert_eq!(monitor.take_doubted(), ["a"]);
    assert!(monitor.evaluate(1_100).is_empty());
    assert!(monitor.take_doubted().is_empty(), "once in a while");
}

#[test]
fn a_status_has_the_evidence_and_its_age() {
    let mut fleet = Fleet::new(1);
    fleet.silent = vec!["a"];
    fleet.ask_all(10);
    let statuses = fleet.monitor.statuses(fleet.now_ms + 500);
    assert_eq!(statuses[0].hall, "a");
    assert_eq!(statuses[0].state, HallState::CutOff);
    assert_eq!(statuses[0].evidence, "most of its workers are silent");
    assert_eq!(statuses[0].evidence_age_ms, 500 + ROUND_MS);
    assert!(statuses[0].age_ms >= 500, "{:?}", statuses[0]);
}

/// Guards against giving up a hall of which some workers fail while others
/// answer all the time.
#[test]
fn a_hall_whose_other_workers_answer_is_not_cut_off() {
    let mut monitor = HallMonitor::new(1);
    let worker =
        |hall: &str, number: usize| WorkerId::new(&format!("{hall}-{number}"));
    for hall in ["a", "b"] {
        for number in 0..20 {
            monitor.answered(hall, &worker(hall, number), 1_000);
        }
    }
    for round in 0..20 {
        let now_ms = 5_000 + 50 * round;
        for number in 0..4 {
            monitor.missed("a", &worker("a", number), now_ms);
        }
        for number in 4..6 {
            monitor.answered("a", &worker("a", number), now_ms + 10);
        }
        for number in 0..6 {
            monitor.answered("b", &worker("b", number), now_ms + 10);
        }
        assert_eq!(monitor.evaluate(now_ms + 40), []);
    }
}
