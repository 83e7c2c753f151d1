/*!
A job's story, read from the nodes' logs.

Nodes write JSON lines, and what happened to one job is spread over all of
them: the node that was asked logs the calls, the node that scheduled logs
starts and ends. A [`Story`] puts the lines of one job in the order of their
time. Some lines explain a job without naming it: what happened to a worker
while it ran one of the job's tasks, or to the scheduler lease and to the
store meanwhile. They are part of the story too.

# Example

```
use dewspar_cli::story::Story;

let log = r#"{"ts":"2026-01-30T11:58:03Z","msg":"job: came to its end",
"node":"n1","job":"5c0e7a21d94b36f8","phase":"completed","after_ms":900}"#;
let log = log.replace('\n', "");
let story = Story::read([log.as_str()], "5c0e7a21d94b36f8".parse()?);
assert_eq!(story.lines().len(), 1);
assert!(story.summary().contains("completed after 900 ms"));
# Ok::<(), dewspar::job::InvalidId>(())
```
*/

pub use crate::log_line::Line;

use {
    dewspar::job::JobId,
    std::collections::{BTreeMap, BTreeSet},
};

/// The beginnings of messages that explain any job of their time: who
/// scheduled, and whether the store and the operator could be read.
const ABOUT_ALL: [&str; 4] =
    ["election: this", "holder:", "operator: store", "node:"];

/// What the logs tell of one job.
#[derive(Clone, Debug)]
pub struct Story {
    lines: Vec<Line>,
    job: JobId,
}

impl Story {
    /// Reads the story of a job from lines of logs, in any order.
    ///
    /// Lines that aren't JSON objects with a time and a message are passed
    /// over.
    pub fn read<'a>(
        lines: impl IntoIterator<Item = &'a str>,
        job: JobId,
    ) -> Story {
        let name = job.to_string();
        let mut lines: Vec<Line> =
            lines.into_iter().filter_map(Line::read).collect();
        lines.sort_by(|a, b| a.at().cmp(b.at()));
        let own: Vec<usize> = lines
            .iter()
            .enumerate()
            .filter(|(_, line)| line.text("job") == name)
            .map(|(index, _)| index)
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Story { lines: Vec::new(), job };
        };
        // Whoever scheduled before counts for the first line too.
        let span = first.saturating_sub(1)..=*last;
        let workers: BTreeSet<String> = own
            .iter()
            .map(|index| lines[*index].text("worker").to_owned())
            .filter(|worker| !worker.is_empty())
            .collect();
        let explains = |index: usize, line: &Line| {
            line.text("job") == name
                || span.contains(&index)
                    && (is_about_all(line)
                        || line.text("job").is_empty()
                            && workers.contains(line.text("worker")))
        };
        let lines = lines
            .iter()
            .enumerate()
            .filter(|(index, line)| explains(*index, line))
            .map(|(_, line)| line.clone())
            .collect();
        Story { lines, job }
    }

    /// Returns the lines, in the order of their time.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Returns what became of the job, and what stood in its way.
    pub fn summary(&self) -> String {
        let own = || {
            let job = self.job.to_string();
            self.lines.iter().filter(move |line| line.text("job") == job)
        };
        let count = |message: &str, field: &str, value: &str| {
            own()
                .filter(|line| line.message() == message)
                .filter(|line| field.is_empty() || line.text(field) == value)
                .count()
        };
        let mut said = Vec::new();
        let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
        for line in own().filter(|line| line.message() == "call: answered") {
            if line.text("operation") == "submit" {
                *outcomes.entry(line.text("outcome")).or_default() += 1;
            }
        }
        for (outcome, times) in outcomes {
            said.push(format!("handed in, {times} times {outcome}"));
        }
        let started = count("task: start ordered", "", "");
        if started > 0 {
            said.push(format!("{started} starts ordered"));
        }
        let longest = own()
            .filter(|line| line.message() == "task: start ordered")
            .max_by_key(|line| line.number("waited_ms"));
        if let Some(longest) = longest.filter(|l| l.number("waited_ms") > 0) {
            let (task, ms) =
                (longest.text("task"), longest.number("waited_ms"));
            said.push(format!("{task} waited longest, {ms} ms"));
        }
        for cause in ["failed", "stopped", "lease_over", "gang_broken"] {
            let times = count("task: ended", "cause", cause);
            if times > 0 {
                said.push(format!("{times} runs ended as {cause}"));
            }
        }
        for (message, what) in [
            ("task: run lost", "runs lost with their worker or order"),
            ("worker: order gave no result", "orders without a result"),
        ] {
            let times = count(message, "", "");
            if times > 0 {
                said.push(format!("{times} {what}"));
            }
        }
        match own().find(|line| line.message() == "job: came to its end") {
            Some(end) => said.push(format!(
                "{} after {} ms",
                end.text("phase"),
                end.number("after_ms"),
            )),
            None => said.push("no end in these logs".to_owned()),
        }
        said.join("; ")
    }
}

fn is_about_all(line: &Line) -> bool {
    ABOUT_ALL.iter().any(|begin| line.message().starts_with(begin))
}
