/*!
In what each moment of a job was spent.

At any moment a job may have tasks that run, that wait and that run again.
The cause of a moment is the first in this order: a task runs again, a task
waits (for VMs that are coming, or for room), tasks run, a run has done its work
and its worker can't report that. Where nothing runs or waits, nobody schedules,
or the holder doesn't know the job, or it waits for the store to take what has
ended. Once the job is over, its caller hasn't been told yet.
*/

use super::history::{History, JobHistory, Ms, Span};

/// What a moment of a job was spent in.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// The caller was refused, or got no answer, and came back.
    Refused,
    /// A node waited for the store to take the job.
    Storing,
    /// No node scheduled.
    NoHolder,
    /// The holder didn't know the job yet.
    Unseen,
    /// A task waited while VMs were on their way to its pool.
    VmComing,
    /// A task waited for room, and no VM was on its way.
    NoRoom,
    /// A task ran again whose earlier run failed, was stopped or was lost.
    Again,
    /// Tasks ran for the first time.
    Working,
    /// A run had done its work, and its worker couldn't report that.
    Unreported,
    /// Nothing ran or waited: an order or an end was on its way.
    Between,
    /// The job was over, and no caller had been told.
    Untold,
}

impl Cause {
    /// Every cause, in the order in which a job comes across them.
    pub const ALL: [Cause; 11] = [
        Cause::Refused,
        Cause::Storing,
        Cause::NoHolder,
        Cause::Unseen,
        Cause::VmComing,
        Cause::NoRoom,
        Cause::Again,
        Cause::Working,
        Cause::Unreported,
        Cause::Between,
        Cause::Untold,
    ];

    /// Returns the cause in words.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Refused => "refused, came back",
            Cause::Storing => "waiting for the store",
            Cause::NoHolder => "nobody scheduled",
            Cause::Unseen => "unseen by the holder",
            Cause::VmComing => "VMs on their way",
            Cause::NoRoom => "no room in the pool",
            Cause::Again => "run again",
            Cause::Working => "at work",
            Cause::Unreported => "done, not reported",
            Cause::Between => "between runs",
            Cause::Untold => "over, caller not told",
        }
    }
}

/// A stretch of a job's time with its cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spent {
    /// When.
    pub span: Span,
    /// In what.
    pub cause: Cause,
}

/// Splits a job's time by cause, from the first try to when a caller could know
/// that it was over; `None` for a job that was never accepted or has no end in
/// the logs.
pub fn split(job: &JobHistory, history: &History) -> Option<Vec<Spent>> {
    let first_ms = job.first_ms()?;
    let accepted = job.accepted()?.span;
    let (over_ms, _) = job.over.as_ref()?;
    let known_ms = job.known_ms()?;
    let taken_in_ms = job.taken_in_ms.unwrap_or(*over_ms);
    let mut times = vec![
        first_ms,
        accepted.from_ms,
        accepted.to_ms,
        taken_in_ms,
        *over_ms,
        known_ms,
    ];
    for run in &job.runs {
        for span in [run.waited, run.ran] {
            times.extend([span.from_ms, span.to_ms]);
        }
        times.push(run.done_ms());
    }
    for span in &history.without_holder {
        times.extend([span.from_ms, span.to_ms]);
    }
    times.extend(history.pools.iter().map(|sizes| sizes.at_ms));
    times.retain(|at_ms| (first_ms..=known_ms).contains(at_ms));
    times.sort_unstable();
    times.dedup();
    let spans = times.windows(2).map(|pair| {
        let span = Span { from_ms: pair[0], to_ms: pair[1] };
        Spent { span, cause: cause_at(job, history, span.from_ms) }
    });
    Some(spans.collect())
}

fn cause_at(job: &JobHistory, history: &History, at_ms: Ms) -> Cause {
    let accepted = job.accepted().map(|t| t.span);
    match accepted {
        Some(span) if at_ms < span.from_ms => return Cause::Refused,
        Some(span) if at_ms < span.to_ms => return Cause::Storing,
        _ => {}
    }
    let over_ms = job.over.as_ref().map(|(over_ms, _)| *over_ms);
    if over_ms.is_some_and(|over_ms| at_ms >= over_ms) {
        return Cause::Untold;
    }
    let mut running = job.runs.iter().filter(|run| run.ran.contains(at_ms));
    let waits = job.runs.iter().any(|run| run.waited.contains(at_ms));
    let runs = running.clone().next().is_some();
    let works = running.clone().any(|run| at_ms < run.done_ms());
    if running.any(|run| run.again && at_ms < run.done_ms()) {
        Cause::Again
    } else if !runs && !history.has_holder(at_ms) {
        Cause::NoHolder
    } else if waits && history.is_growing(&job.pool, at_ms) {
        Cause::VmComing
    } else if waits {
        Cause::NoRoom
    } else if works {
        Cause::Working
    } else if runs {
        Cause::Unreported
    } else if job.taken_in_ms.is_none_or(|taken_ms| at_ms < taken_ms) {
        Cause::Unseen
    } else {
        Cause::Between
    }
}
