//! A worker that answers a question as soon as something ends, or once the
//! question has waited for as long as it may.

use {
    dewspar::{
        job::TaskId,
        schedule::{
            ActiveRun, EndCause, EndedRun, HoldReport, Incarnation, SentHold,
            StartOrder,
        },
    },
    std::collections::{BTreeMap, VecDeque},
};

/// What a worker does about a question that has arrived.
pub(super) enum Asked {
    /// It answers at once.
    Answers(HoldReport),
    /// It waits for an end, until this time in microseconds.
    Waits { until_us: u64, serial: u64 },
}

/// A question that waits for an end.
struct Waiting {
    held: SentHold,
    serial: u64,
}

/// One worker, as the simulated network reaches it.
#[derive(Default)]
pub(super) struct PeakWorker {
    runs: BTreeMap<TaskId, u64>,
    ended: VecDeque<EndedRun>,
    ends: u64,
    waiting: Option<Waiting>,
    questions: u64,
}

impl PeakWorker {
    pub(super) fn start(&mut self, order: &StartOrder) {
        self.runs.insert(order.task, order.run);
    }

    /// Ends a run; returns the question that this answers, if one waits.
    pub(super) fn end(
        &mut self,
        task: &TaskId,
        run: u64,
        cause: EndCause,
        now_us: u64,
    ) -> Option<(SentHold, HoldReport)> {
        if self.runs.get(task) != Some(&run) {
            return None;
        }
        self.runs.remove(task);
        self.ends += 1;
        let checkpoint = String::new();
        let end = EndedRun {
            number: self.ends,
            task: *task,
            run,
            cause,
            checkpoint,
        };
        self.ended.push_back(end);
        let Waiting { held, .. } = self.waiting.take()?;
        Some((held, self.report(now_us)))
    }

    /// Takes in a question.
    pub(super) fn ask(&mut self, held: SentHold, now_us: u64) -> Asked {
        let order = held.order();
        self.ended.retain(|end| end.number > order.acknowledged);
        if !self.ended.is_empty() || order.wait_ms == 0 {
            return Asked::Answers(self.report(now_us));
        }
        self.questions += 1;
        let serial = self.questions;
        self.waiting = Some(Waiting { held, serial });
        Asked::Waits { until_us: now_us + order.wait_ms * 1_000, serial }
    }

    /// Answers a question whose time is up, unless something ended before.
    pub(super) fn time_is_up(
        &mut self,
        serial: u64,
        now_us: u64,
    ) -> Option<(SentHold, HoldReport)> {
        let current = self.waiting.as_ref()?.serial == serial;
        let Waiting { held, .. } = self.waiting.take_if(|_| current)?;
        Some((held, self.report(now_us)))
    }

    fn report(&self, now_us: u64) -> HoldReport {
        let active = self.runs.iter().map(|(task, run)| ActiveRun {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            // Moves, so that nothing is taken to stand still.
            percent: Some((now_us / 100_000 % 99) as u8),
            gauge: Some(0),
        });
        HoldReport {
            incarnation: Incarnation::UNKNOWN,
            clock_ms: now_us / 1_000,
            active: active.collect(),
            ended: self.ended.iter().cloned().collect(),
            is_partial: false,
            has_more_ends: false,
        }
    }
}
