//! Every run, as its worker saw it, and the check of TWICE.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
struct Seen {
    task: String,
    run: i64,
    worker: String,
    began: Instant,
    ended: Option<(Instant, &'static str)>,
    /// When a hold's `LastSeen` reached the end.
    noted: Option<Instant>,
}

/// The runs; clones share them.
#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<Seen>>>);

impl History {
    /// Notes that a run begins; returns its number here.
    pub fn begin(&self, task: &str, run: i64, worker: &str) -> usize {
        let mut seen = self.0.lock().unwrap();
        seen.push(Seen {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            began: Instant::now(),
            ended: None,
            noted: None,
        });
        seen.len() - 1
    }

    pub fn end(&self, run: usize, how: &'static str) {
        self.0.lock().unwrap()[run].ended = Some((Instant::now(), how));
    }

    pub fn note(&self, run: usize) {
        self.0.lock().unwrap()[run].noted.get_or_insert_with(Instant::now);
    }

    /// Returns how often runs began.
    pub fn starts(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    /// Returns the times for which no run of a job was going, from a time on,
    /// until now if the job is open, and how many runs it had.
    pub fn waits(
        &self,
        job: &str,
        from: Instant,
        is_open: bool,
    ) -> (Vec<Duration>, usize) {
        let seen = self.0.lock().unwrap();
        let runs = seen.iter().filter(|run| run.task.starts_with(job));
        let mut runs: Vec<&Seen> = runs.collect();
        runs.sort_by_key(|run| run.began);
        let (mut waits, mut busy_until) = (Vec::new(), Some(from));
        for run in &runs {
            let Some(until) = busy_until else { break };
            waits.push(run.began.saturating_duration_since(until));
            busy_until = run.ended.map(|(at, _)| at.max(until));
        }
        if let Some(until) = busy_until.filter(|_| is_open) {
            waits.push(until.elapsed());
        }
        (waits, runs.len())
    }

    /// Returns the starts that break TWICE: beside another run of the task, or
    /// after one that has ended `done`, where that end is taken note of. A
    /// lease that lapses ends its runs as `lapsed`, and a worker on which one
    /// has lapsed since is passed over.
    pub fn twice(&self) -> Vec<String> {
        let seen = self.0.lock().unwrap().clone();
        let mut tasks: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
        for run in &seen {
            tasks.entry(&run.task).or_default().push(run);
        }
        let lapsed: Vec<(&str, Instant)> = seen
            .iter()
            .filter_map(|run| match run.ended {
                Some((at, "lapsed")) => Some((run.worker.as_str(), at)),
                _ => None,
            })
            .collect();
        let mut broken = Vec::new();
        for (task, runs) in tasks {
            for (index, later) in runs.iter().enumerate() {
                let mut earlier = runs[..index].iter().rev();
                let reason = earlier.find_map(|earlier| {
                    let what = conflict(earlier, later, &lapsed)?;
                    Some(format!(
                        "run {} on {} {what}",
                        earlier.run, earlier.worker
                    ))
                });
                if let Some(reason) = reason {
                    broken.push(format!(
                        "TWICE: task {task} run {} starts on {}, and {reason}",
                        later.run, later.worker,
                    ));
                }
            }
        }
        broken
    }
}

/// Returns why a run may not start after an earlier one, if it may not.
fn conflict(
    earlier: &Seen,
    later: &Seen,
    lapsed: &[(&str, Instant)],
) -> Option<String> {
    let (at, how) = match earlier.ended {
        Some((at, how)) if at <= later.began => (at, how),
        _ => return Some("is still going".to_owned()),
    };
    let noted = earlier.noted.filter(|_| how == "done")?;
    let has_lapsed = lapsed.iter().any(|(worker, lapsed)| {
        *worker == earlier.worker && *lapsed > at && *lapsed < noted
    });
    if has_lapsed {
        return None;
    }
    let since_ms = later.began.duration_since(at).as_millis();
    let when = match noted.checked_duration_since(later.began) {
        Some(after) => format!("{} ms after this start", after.as_millis()),
        None => "before".to_owned(),
    };
    Some(format!("had ended done {since_ms} ms before, taken note of {when}"))
}
