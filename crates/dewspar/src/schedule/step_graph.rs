/*!
The order of a job's steps, derived once from its specification.

A step names the earlier steps that it waits for, possibly the same one more
than once. Schedulers ask again and again which steps are ready and how much
work is left after one. [`StepGraph`] answers both from what it has computed
once, in a time that is linear in the size of the specification. A walk over
the paths of the graph isn't: their number may double with each step.
*/

use crate::job::JobSpec;

/// The order of a job's steps, without any progress.
#[derive(Debug)]
pub(crate) struct StepGraph {
    /// The steps that each step waits for, each named once.
    dependencies: Vec<Vec<usize>>,
    /// The steps that wait for each step.
    dependents: Vec<Vec<usize>>,
    /// The length of the critical path from the start of each step to the
    /// job's end, in milliseconds.
    critical_paths_ms: Vec<u64>,
    /// The length of the longest of these, in milliseconds.
    longest_path_ms: u64,
}

impl StepGraph {
    pub(crate) fn new(spec: &JobSpec) -> StepGraph {
        let dependencies: Vec<Vec<usize>> = spec
            .steps
            .iter()
            .enumerate()
            .map(|(step, spec)| distinct_earlier(&spec.after, step))
            .collect();
        let mut dependents = vec![Vec::new(); spec.steps.len()];
        for (step, earlier) in dependencies.iter().enumerate() {
            for earlier in earlier {
                dependents[*earlier].push(step);
            }
        }
        let critical_paths_ms = spec.critical_paths_ms();
        let longest_path_ms =
            critical_paths_ms.iter().copied().max().unwrap_or(0);
        StepGraph {
            dependencies,
            dependents,
            critical_paths_ms,
            longest_path_ms,
        }
    }

    /// Returns the steps that a step waits for.
    pub(crate) fn dependencies(&self, step: usize) -> &[usize] {
        &self.dependencies[step]
    }

    /// Returns the steps that wait for a step.
    pub(crate) fn dependents(&self, step: usize) -> &[usize] {
        &self.dependents[step]
    }

    /// Returns the length of the critical path from the start of a step to the
    /// job's end, in milliseconds.
    pub(crate) fn critical_path_ms(&self, step: usize) -> u64 {
        self.critical_paths_ms[step]
    }

    /// Returns the length of the job's critical path, in milliseconds.
    pub(crate) fn longest_path_ms(&self) -> u64 {
        self.longest_path_ms
    }
}

/// Returns the steps in a list that come before a step, each once.
fn distinct_earlier(after: &[usize], step: usize) -> Vec<usize> {
    let mut earlier: Vec<usize> =
        after.iter().copied().filter(|other| *other < step).collect();
    earlier.sort_unstable();
    earlier.dedup();
    earlier
}
