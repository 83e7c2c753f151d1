//! The lengths of paths through the steps of a job.

use {
    dewspar::job::{JobSpec, StepSpec},
    quickcheck::{TestResult, quickcheck},
};

/// The number of steps up to which all paths are enumerated.
const MAX_STEPS: usize = 10;

fn spec(steps: &[(u32, Vec<usize>)]) -> JobSpec {
    let steps =
        steps.iter().enumerate().map(|(step, (estimate_ms, after))| {
            let after = match step {
                0 => Vec::new(),
                _ => after.iter().map(|other| other % step).collect(),
            };
            StepSpec {
                count: 1,
                estimate_ms: u64::from(*estimate_ms),
                after,
                ..StepSpec::default()
            }
        });
    JobSpec { steps: steps.collect(), ..JobSpec::default() }
}

/// Returns the length of the longest path from a step by following all of
/// them.
fn longest_path_ms(spec: &JobSpec, step: usize) -> u64 {
    let next = (step + 1..spec.steps.len())
        .filter(|later| spec.steps[*later].after.contains(&step))
        .map(|later| longest_path_ms(spec, later));
    spec.steps[step].estimate_ms + next.max().unwrap_or(0)
}

quickcheck! {
    // Guards against critical paths that differ from the longest of all paths.
    fn critical_paths_are_the_longest_paths(
        steps: Vec<(u32, Vec<usize>)>
    ) -> TestResult {
        if steps.len() > MAX_STEPS {
            return TestResult::discard();
        }
        let spec = spec(&steps);
        let longest: Vec<u64> = (0..steps.len())
            .map(|step| longest_path_ms(&spec, step))
            .collect();
        TestResult::from_bool(spec.critical_paths_ms() == longest)
    }
}

// Guards against an overflow where estimates are as large as a number may be.
#[test]
fn critical_paths_of_huge_estimates_are_bounded() {
    let step = |after| StepSpec {
        count: 1,
        estimate_ms: u64::MAX,
        after,
        ..StepSpec::default()
    };
    let steps = vec![step(vec![]), step(vec![0])];
    let spec = JobSpec { steps, ..JobSpec::default() };
    assert_eq!(spec.critical_paths_ms(), [u64::MAX, u64::MAX]);
}
