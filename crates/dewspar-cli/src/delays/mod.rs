/*!
Where the time of late, refused and failed jobs went, from the nodes' logs.

A job that wasn't served on time spent too long somewhere: its caller was
refused and had to come back, nobody scheduled, its pool had no room, a run
had to be repeated. [`Delays`] reads the logs of all nodes, gives every job a
[`Fate`], and splits the time of each by [`Cause`].

Beside it stands what could have been done at all. While the store took
nothing, no caller could be served, and a job whose first chance to be
accepted came too late for its own work was late whatever anybody decided:
such jobs are *unavoidable*. The rest is what better decisions could win.

Only jobs that end by themselves, once, are judged. By when one had to be
over follows from its queue's terms and from how long its runs worked; it is
over for its caller once a node has told it so.

# Example

```
use dewspar_cli::delays::{Delays, Fate};

let log = r#"
{"ts":"2026-01-30T11:00:00.1Z","msg":"call: answered","operation":"submit","outcome":"accepted","job":"5c0e7a21d94b36f8","queue":"scans","took_ms":5,"deadline_ms":3000}
{"ts":"2026-01-30T11:00:00.1Z","msg":"job: taken in","job":"5c0e7a21d94b36f8","pool":"tills","rounds":1,"target_latency_ms":600,"stretch":1.0}
{"ts":"2026-01-30T11:00:02.1Z","msg":"task: start ordered","job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.0","run":1,"waited_ms":2000}
{"ts":"2026-01-30T11:00:03.1Z","msg":"task: ended","job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.0","run":1,"cause":"done"}
{"ts":"2026-01-30T11:00:03.1Z","msg":"job: came to its end","job":"5c0e7a21d94b36f8","phase":"completed"}
"#;
let delays = Delays::read(log.lines());
assert_eq!(delays.count(Fate::Late), 1);
assert!(delays.to_text().contains("no room in the pool"));
```
*/

pub use self::{
    cause::{Cause, Spent, split},
    history::{History, JobHistory, Ms, PoolSizes, Span, TaskRun, Try},
};

use {crate::output::table, std::collections::BTreeMap};

mod cause;
mod history;
pub mod plot;

/// Over how many milliseconds jobs are put together by their first try.
const WINDOW_MS: Ms = 2_000;

/// What became of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fate {
    /// It was over by its time.
    OnTime,
    /// It was over after its time.
    Late,
    /// It was late whatever anybody decided.
    LateUnavoidably,
    /// Its caller was refused, or never heard, and gave up.
    Refused,
    /// Its caller gave up before any node could have taken it.
    RefusedUnavoidably,
    /// It came to its end as failed.
    Failed,
    /// It was cancelled, or has no end in the logs.
    Open,
}

impl Fate {
    /// Every fate.
    pub const ALL: [Fate; 7] = [
        Fate::OnTime,
        Fate::Late,
        Fate::LateUnavoidably,
        Fate::Refused,
        Fate::RefusedUnavoidably,
        Fate::Failed,
        Fate::Open,
    ];

    /// Returns the fate in words.
    pub fn name(self) -> &'static str {
        match self {
            Fate::OnTime => "on time",
            Fate::Late => "late",
            Fate::LateUnavoidably => "late anyway",
            Fate::Refused => "refused",
            Fate::RefusedUnavoidably => "refused anyway",
            Fate::Failed => "failed",
            Fate::Open => "cancelled, open",
        }
    }
}

/// One job as it was judged.
#[derive(Clone, Debug)]
pub struct Judged {
    /// Its queue.
    pub queue: String,
    /// When a caller first tried to hand it in.
    pub first_ms: Ms,
    /// What became of it.
    pub fate: Fate,
    /// In what its time was spent; empty for one that was never accepted.
    pub spent: Vec<Spent>,
}

impl Judged {
    /// Returns how long the job spent in each cause, in milliseconds.
    pub fn by_cause(&self) -> BTreeMap<Cause, Ms> {
        let mut sums = BTreeMap::new();
        for Spent { span, cause } in &self.spent {
            *sums.entry(*cause).or_default() += span.to_ms - span.from_ms;
        }
        sums
    }

    /// Returns the cause that took most, work itself aside.
    pub fn main_cause(&self) -> Option<Cause> {
        let sums = self.by_cause();
        let delays = sums.iter().filter(|(c, _)| **c != Cause::Working);
        delays.max_by_key(|(_, ms)| **ms).map(|(cause, _)| *cause)
    }
}

/// All jobs of some logs, judged.
#[derive(Clone, Debug)]
pub struct Delays {
    history: History,
    jobs: Vec<Judged>,
}

impl Delays {
    /// Reads the logs of all nodes, in any order.
    ///
    /// Lines that aren't JSON objects with a time and a message are passed
    /// over.
    pub fn read<'a>(lines: impl IntoIterator<Item = &'a str>) -> Delays {
        let history = History::read(lines);
        let mut jobs: Vec<Judged> = history
            .jobs
            .values()
            .filter(|job| job.is_short != Some(false))
            .filter_map(|job| judge(job, &history))
            .collect();
        jobs.sort_by_key(|job| job.first_ms);
        Delays { history, jobs }
    }

    /// Returns the jobs, in the order of their first tries.
    pub fn jobs(&self) -> &[Judged] {
        &self.jobs
    }

    /// Returns how many jobs had a fate.
    pub fn count(&self, fate: Fate) -> usize {
        self.jobs.iter().filter(|job| job.fate == fate).count()
    }

    /// Returns the tables: by queue, by cause, by time, and what was held.
    pub fn to_text(&self) -> String {
        [self.by_queue(), self.by_cause(), self.by_window(), self.by_hold()]
            .join("\n")
    }

    fn by_queue(&self) -> String {
        let mut queues: BTreeMap<&str, BTreeMap<Fate, usize>> =
            BTreeMap::new();
        for job in &self.jobs {
            let fates = queues.entry(&job.queue).or_default();
            *fates.entry(job.fate).or_default() += 1;
        }
        let head = Fate::ALL.map(|fate| fate.name().to_uppercase());
        let head = ["QUEUE".to_owned()].into_iter().chain(head);
        let mut rows = vec![head.collect::<Vec<String>>()];
        for (queue, fates) in queues {
            let mut row = vec![queue.to_owned()];
            row.extend(Fate::ALL.map(|fate| count_text(fates.get(&fate))));
            rows.push(row);
        }
        table(&rows)
    }

    fn by_cause(&self) -> String {
        let mut rows = vec![head(&[
            "CAUSE",
            "MOST OF A LATE JOB",
            "SECONDS IN LATE JOBS",
            "SECONDS IN ALL JOBS",
        ])];
        for cause in Cause::ALL {
            let most = self
                .late()
                .filter(|job| job.main_cause() == Some(cause))
                .count();
            let seconds = |jobs: &mut dyn Iterator<Item = &Judged>| {
                let sum: Ms = jobs
                    .filter_map(|job| job.by_cause().get(&cause).copied())
                    .sum();
                format!("{:.1}", sum as f64 / 1_000.0)
            };
            rows.push(vec![
                cause.name().to_owned(),
                count_text(Some(&most)),
                seconds(&mut self.late()),
                seconds(&mut self.jobs.iter()),
            ]);
        }
        table(&rows)
    }

    fn by_window(&self) -> String {
        let mut rows = vec![head(&[
            "SECOND",
            "JOBS",
            "ON TIME",
            "LATE",
            "REFUSED",
            "UNAVOIDABLE",
            "MOST OFTEN",
        ])];
        let Some(first) = self.jobs.first() else { return table(&rows) };
        let mut windows: BTreeMap<Ms, Vec<&Judged>> = BTreeMap::new();
        for job in &self.jobs {
            let window = (job.first_ms - first.first_ms) / WINDOW_MS;
            windows.entry(window).or_default().push(job);
        }
        for (window, jobs) in windows {
            let count = |fates: &[Fate]| {
                let fits = |job: &&&Judged| fates.contains(&job.fate);
                count_text(Some(&jobs.iter().filter(fits).count()))
            };
            rows.push(vec![
                (window * WINDOW_MS / 1_000).to_string(),
                jobs.len().to_string(),
                count(&[Fate::OnTime]),
                count(&[Fate::Late]),
                count(&[Fate::Refused]),
                count(&[Fate::LateUnavoidably, Fate::RefusedUnavoidably]),
                most_often(&jobs),
            ]);
        }
        table(&rows)
    }

    fn by_hold(&self) -> String {
        let (held, used) =
            (self.history.held_vm_s(), self.history.used_vm_s());
        let cost = if used > 0.0 { held / used } else { 0.0 };
        table(&[
            head(&["VM-SECONDS HELD", "USED", "BUFFER COST"]),
            vec![
                format!("{held:.0}"),
                format!("{used:.0}"),
                format!("{cost:.2}"),
            ],
        ])
    }

    fn late(&self) -> impl Iterator<Item = &Judged> {
        self.jobs.iter().filter(|job| job.fate == Fate::Late)
    }
}

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn count_text(count: Option<&usize>) -> String {
    match count {
        None | Some(0) => "-".to_owned(),
        Some(count) => count.to_string(),
    }
}

/// Returns the cause that held up most of the jobs that were late.
fn most_often(jobs: &[&Judged]) -> String {
    let mut causes: BTreeMap<Cause, usize> = BTreeMap::new();
    let late = jobs.iter().filter(|job| job.fate == Fate::Late);
    for cause in late.filter_map(|job| job.main_cause()) {
        *causes.entry(cause).or_default() += 1;
    }
    let most = causes.iter().max_by_key(|(_, times)| **times);
    most.map_or_else(String::new, |(cause, _)| cause.name().to_owned())
}

/// Judges a job; `None` where no caller was seen to hand it in.
fn judge(job: &JobHistory, history: &History) -> Option<Judged> {
    let first_ms = job.first_ms()?;
    // The first moment at which any node could store a job.
    let chance_ms = history
        .accepts_ms
        .iter()
        .copied()
        .find(|accepted_ms| *accepted_ms >= first_ms);
    let spent = split(job, history).unwrap_or_default();
    let fate = match (&job.over, job.accepted()) {
        (Some((_, phase)), _) if phase == "completed" => {
            let due_ms = job.due_ms()?;
            let known_ms = job.known_ms()?;
            let soonest_ms = chance_ms.unwrap_or(first_ms) + job.chain_ms();
            if known_ms <= due_ms {
                Fate::OnTime
            } else if soonest_ms > due_ms {
                Fate::LateUnavoidably
            } else {
                Fate::Late
            }
        }
        (Some((_, phase)), _) if phase == "failed" => Fate::Failed,
        (None, None) => {
            let left_ms = first_ms + job.patience_ms as Ms;
            if chance_ms.is_none_or(|chance_ms| chance_ms > left_ms) {
                Fate::RefusedUnavoidably
            } else {
                Fate::Refused
            }
        }
        _ => Fate::Open,
    };
    Some(Judged { queue: job.queue.clone(), first_ms, fate, spent })
}
