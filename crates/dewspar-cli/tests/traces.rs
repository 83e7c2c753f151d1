//! The recorded traces, each against its stated outcome.

use {
    dewspar::history::Promise,
    dewspar_cli::trace::{self, Trace},
};

async fn replay(text: &str) {
    let trace = Trace::from_yaml(text).expect("a trace");
    let outcome = trace::run_quietly(&trace).await.expect("a run");
    for promise in Promise::ALL {
        let finding = outcome.report.get(promise);
        let first = finding.first_violation();
        assert_eq!(first, None, "{}", promise.as_str());
    }
    assert_eq!(outcome.missed, Vec::<String>::new());
}

macro_rules! traces {
    ($($test:ident => $file:literal;)*) => {
        $(
            #[test]
            fn $test() {
                // One at a time: each is a whole fleet.
                static RUNTIME: std::sync::Mutex<()> =
                    std::sync::Mutex::new(());
                let _alone = RUNTIME.lock();
                tokio::runtime::Runtime::new()
                    .expect("a runtime")
                    .block_on(replay(include_str!(concat!(
                        "../../../traces/",
                        $file,
                    ))));
            }
        )*
    };
}

traces! {
    outage_in_a_wave => "outage-in-a-wave.yaml";
    node_killed => "node-killed.yaml";
    node_frozen => "node-frozen.yaml";
    lost_answers => "lost-answers.yaml";
    planned_stops => "planned-stops.yaml";
    wave_and_failure => "wave-and-failure.yaml";
    rack_lost => "rack-lost.yaml";
    cut_answers => "cut-answers.yaml";
    spoiled_worker => "spoiled-worker.yaml";
    leaving_vm => "leaving-vm.yaml";
    vm_that_stays => "vm-that-stays.yaml";
}

#[test]
fn bad_traces_name_the_field() {
    let cases = [
        ("about: a\nnode: 3\n", "unknown field `node`"),
        ("about: a\nsteps: [{at_ms: 1}]\n", "field `steps[0]` needs one of"),
        (
            "about: a\nsteps: [{at_ms: 1, node: 7, order: kill}]\n",
            "field `steps[0]` names node 7 of 3",
        ),
        (
            "about: a\nsteps: [{at_ms: 1, vm: v, order: explode}]\n",
            "unknown order `explode`",
        ),
    ];
    for (text, expected) in cases {
        let error = Trace::from_yaml(text).expect_err("not a trace");
        assert!(error.to_string().contains(expected), "{error}");
    }
}
