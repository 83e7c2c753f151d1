//! The state charts: every state is reachable, only final states accept no
//! events, and the states match those of the code.

use dewspar::{chart::Chart, fleet::VmState, pool::TaskState};

#[test]
fn every_state_is_reachable() {
    for chart in Chart::all() {
        let reachable = chart.reachable();
        for state in chart.states() {
            assert!(reachable.contains(state), "{}: {state}", chart.name());
        }
    }
}

#[test]
fn every_transition_leads_to_a_state() {
    for chart in Chart::all() {
        let states: Vec<&str> = chart.states().collect();
        for state in &states {
            for (event, next) in chart.events(state) {
                assert!(states.contains(&next), "{state} --{event}--> {next}");
            }
        }
    }
}

#[test]
fn only_final_states_accept_no_event() {
    let final_states = ["removed", "answered"];
    for chart in Chart::all() {
        for state in chart.states() {
            let is_final = chart.events(state).next().is_none();
            assert_eq!(
                is_final,
                final_states.contains(&state),
                "{}",
                chart.name()
            );
        }
    }
}

#[test]
fn refusal_names_the_event_and_the_accepted_ones() {
    for chart in Chart::all() {
        for state in chart.states() {
            let error = chart.next(state, "explode").expect_err("unknown");
            let text = error.to_string();
            assert!(text.contains("`explode`"), "{text}");
            for (event, _) in chart.events(state) {
                assert!(text.contains(event), "{text}");
            }
        }
    }
}

#[test]
fn charts_and_code_name_the_same_states() {
    let states_of_chart = |chart: &Chart| {
        let mut states: Vec<String> =
            chart.states().map(str::to_owned).collect();
        states.sort();
        states
    };
    let mut vm = VmState::ALL.map(|s| s.as_str().to_owned()).to_vec();
    vm.sort();
    assert_eq!(states_of_chart(Chart::vm()), vm);
    let mut task = TaskState::ALL.map(|s| s.as_str().to_owned()).to_vec();
    task.sort();
    assert_eq!(states_of_chart(Chart::task()), task);
}
