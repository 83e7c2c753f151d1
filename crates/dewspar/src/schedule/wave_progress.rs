/*!
The progress of maintenance waves, and what blocks their remaining VMs.

A wave can be late for many reasons: too few VMs are taken at a time, a task
can't be placed elsewhere, a worker doesn't respond. From outside they look
alike. So while a wave is in progress, each of its remaining VMs is counted
under the one condition that it waits for next, beside the figures by which VMs
are selected.
*/

use crate::{
    job::TaskId,
    schedule::{
        Decision, ManagedVm, Now, Scheduler, VmStatus,
        wave_selection::{QUIET_POOL_PERCENT, WavePace},
        wave_state::WaveState,
        worker::{DrainReason, RunState, Worker},
    },
};

/// The interval between reports on a wave in progress, in milliseconds: short
/// enough to catch each VM, which takes some seconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// The interval between reports on a wave that is past its deadline, in
/// milliseconds.
const LATE_REPORT_INTERVAL_MS: u64 = 10_000;

/// The maximum number of waves reported in one pass, so that many at once
/// don't fill the log; the next passes report the others.
const REPORTS_PER_PASS: usize = 2;

/// The state of a wave's deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveDeadline {
    /// The deadline is ahead.
    Ahead,
    /// The deadline has just passed.
    Passed,
    /// The deadline passed a while ago.
    LongPassed,
}

/// The progress of a wave, and what blocks its remaining VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaveProgress {
    /// The state of its deadline.
    pub deadline: WaveDeadline,
    /// The number of its VMs.
    pub vms: usize,
    /// The number of VMs whose maintenance has begun, or that are gone for
    /// good.
    pub begun: usize,
    /// The number of those that aren't back.
    pub down: usize,
    /// How many more may go down now.
    pub room: usize,
    /// The number of planning passes since the last report.
    pub passes: u32,
    /// The reason why no orders are sent to the VM service now, if any.
    pub blocker: Option<&'static str>,
    /// The figures by which VMs are selected.
    pub pace: WavePace,
    /// The remaining VMs, by what blocks them.
    pub left: RemainingVms,
}

/// The remaining VMs of a wave, each counted once, under what it waits for
/// next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingVms {
    /// It isn't selected: as many as planned are in progress.
    pub parallel: usize,
    /// It isn't selected: its pool is busy, and there is time to wait.
    pub calm: usize,
    /// It is to be selected in one of the next passes.
    pub next: usize,
    /// It is being drained, and a long-running task can't be placed elsewhere.
    pub place: usize,
    /// It is being drained, and too many other tasks of a long-running task's
    /// step are unavailable.
    pub step: usize,
    /// It is being drained, and stops of a former holder may be in progress.
    pub settling: usize,
    /// It is being drained, and short tasks are running.
    pub short: usize,
    /// It is being drained, and a stop is in progress, or a start may be.
    pub stopping: usize,
    /// It is drained except for ends that aren't stored yet.
    pub unstored: usize,
    /// It is drained, but the worker hasn't yet received the acknowledgement
    /// of its ends, or orders sent to it aren't void yet.
    pub untold: usize,
    /// It is ready, and the maximum number of VMs is down.
    pub max_down: usize,
    /// It is ready, and is to be ordered in the next pass.
    pub ready: usize,
    /// It is ordered, without an answer, or without a conclusive one.
    pub ordered: usize,
    /// A former holder recently ordered a change of it, or an order was
    /// refused.
    pub left_alone: usize,
    /// Its worker is unresponsive, or its runs aren't known.
    pub silent: usize,
    /// The VM service names a worker that isn't known.
    pub unknown: usize,
    /// It moves to another pool, or is being drained for that or for another
    /// wave.
    pub moving: usize,
    /// It is down, or under maintenance.
    pub down: usize,
    /// It isn't in the list of VMs.
    pub unlisted: usize,
}

impl RemainingVms {
    /// Returns each count with the name of its reason.
    pub fn by_reason(&self) -> [(&'static str, usize); 19] {
        [
            ("parallel", self.parallel),
            ("calm", self.calm),
            ("next", self.next),
            ("place", self.place),
            ("step", self.step),
            ("settling", self.settling),
            ("short", self.short),
            ("stopping", self.stopping),
            ("unstored", self.unstored),
            ("untold", self.untold),
            ("max_down", self.max_down),
            ("ready", self.ready),
            ("ordered", self.ordered),
            ("left_alone", self.left_alone),
            ("silent", self.silent),
            ("unknown", self.unknown),
            ("moving", self.moving),
            ("down", self.down),
            ("unlisted", self.unlisted),
        ]
    }

    /// Returns the number of remaining VMs.
    pub fn total(&self) -> usize {
        self.by_reason().iter().map(|(_, count)| count).sum()
    }
}

/// The state of the reports on a wave.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaveReports {
    last_ms: u64,
    /// Whether it was reported that the deadline has passed.
    reported_late: bool,
    /// The number of planning passes since the last report.
    passes: u32,
}

impl WaveReports {
    /// Returns the state of the deadline to report now, if a report is due.
    fn due(&self, end_ms: u64, now_ms: u64) -> Option<WaveDeadline> {
        let deadline = match (now_ms >= end_ms, self.reported_late) {
            (false, _) => WaveDeadline::Ahead,
            (true, false) => return Some(WaveDeadline::Passed),
            (true, true) => WaveDeadline::LongPassed,
        };
        let every_ms = match deadline {
            WaveDeadline::LongPassed => LATE_REPORT_INTERVAL_MS,
            WaveDeadline::Ahead | WaveDeadline::Passed => REPORT_INTERVAL_MS,
        };
        (now_ms >= self.last_ms + every_ms).then_some(deadline)
    }
}

impl Scheduler {
    /// Reports the progress of waves for which a report is due.
    pub(super) fn report_waves(
        &mut self,
        blocker: Option<&'static str>,
        now: Now,
    ) {
        let mut due: Vec<(u64, WaveDeadline)> = Vec::new();
        for (wave, state) in &mut self.waves {
            if state.completed {
                continue;
            }
            state.reports.passes += 1;
            let deadline = state.reports.due(state.end_ms, now.steady_ms);
            due.extend(deadline.map(|deadline| (*wave, deadline)));
        }
        for (wave, deadline) in due.into_iter().take(REPORTS_PER_PASS) {
            self.report_wave(wave, deadline, blocker, now);
        }
    }

    fn report_wave(
        &mut self,
        wave: u64,
        deadline: WaveDeadline,
        blocker: Option<&'static str>,
        now: Now,
    ) {
        let Some(state) = self.waves.get(&wave) else { return };
        let progress = self.wave_progress(wave, state, deadline, blocker, now);
        let Some(state) = self.waves.get_mut(&wave) else { return };
        state.reports = WaveReports {
            last_ms: now.steady_ms,
            reported_late: deadline != WaveDeadline::Ahead,
            passes: 0,
        };
        self.note(Decision::WaveProgress { wave, progress });
    }

    fn wave_progress(
        &self,
        wave: u64,
        state: &WaveState,
        deadline: WaveDeadline,
        blocker: Option<&'static str>,
        now: Now,
    ) -> WaveProgress {
        let workers = self.workers_by_vm();
        let room = state.allowance(|vm| self.may_be_down(state, vm, now));
        let pace = self.wave_pace(wave, state, now);
        let view = WaveView { wave, state, room, pace, now };
        let mut left = RemainingVms::default();
        for vm in state.remaining() {
            let worker = workers.get(vm.as_str()).copied();
            *self.counter_for(&view, vm, worker, &mut left) += 1;
        }
        let vms = state.request.vms.len();
        WaveProgress {
            deadline,
            vms,
            begun: vms.saturating_sub(left.total()),
            down: state.down.len(),
            room,
            passes: state.reports.passes,
            blocker,
            pace,
            left,
        }
    }

    /// Returns the counter for a remaining VM.
    fn counter_for<'a>(
        &self,
        view: &WaveView,
        vm: &str,
        worker: Option<&Worker>,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        let Some(known) = self.vms.get(vm) else { return &mut left.unlisted };
        if view.state.is_ordered(vm) {
            return &mut left.ordered;
        }
        match known.status {
            VmStatus::Up => {}
            VmStatus::Moving => return &mut left.moving,
            VmStatus::Maintenance | VmStatus::Down => return &mut left.down,
        }
        if !self.may_order_vm(vm, view.now)
            || view.state.in_retry_delay(vm, view.now)
        {
            return &mut left.left_alone;
        }
        match worker {
            Some(worker) => self.counter_for_worker(view, worker, left),
            None => counter_without_worker(view, known, left),
        }
    }

    fn counter_for_worker<'a>(
        &self,
        view: &WaveView,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        if worker.silent_since_ms.is_some() || !worker.synced {
            return &mut left.silent;
        }
        match &worker.drain_reason {
            None => self.counter_for_unselected(view, worker, left),
            Some(DrainReason::Maintenance(wave)) if *wave == view.wave => {
                self.counter_for_draining(view, worker, left)
            }
            Some(_) => &mut left.moving,
        }
    }

    fn counter_for_unselected<'a>(
        &self,
        view: &WaveView,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        let pace = &view.pace;
        let percent = || self.pool_percent_without(&worker.listing.pool, 1);
        if pace.under_way >= pace.parallel {
            &mut left.parallel
        } else if pace.may_wait && percent() > QUIET_POOL_PERCENT {
            &mut left.calm
        } else {
            &mut left.next
        }
    }

    fn counter_for_draining<'a>(
        &self,
        view: &WaveView,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        if worker.is_settled() {
            return if view.room == 0 {
                &mut left.max_down
            } else {
                &mut left.ready
            };
        }
        let blocker = worker
            .runs
            .iter()
            .map(|(task, run)| match run.state {
                RunState::Running => self.run_blocker(task, worker, view.now),
                RunState::Starting
                | RunState::EndUnreported
                | RunState::Stopping(_) => RunBlocker::Stopping,
            })
            .min();
        match blocker {
            Some(RunBlocker::Place) => &mut left.place,
            Some(RunBlocker::Step) => &mut left.step,
            Some(RunBlocker::Settling) => &mut left.settling,
            Some(RunBlocker::Short) => &mut left.short,
            Some(RunBlocker::Stopping) => &mut left.stopping,
            None if worker.has_ends_to_store() => &mut left.unstored,
            None => &mut left.untold,
        }
    }

    /// Returns why a running task hasn't left its worker.
    fn run_blocker(
        &self,
        task: &TaskId,
        worker: &Worker,
        now: Now,
    ) -> RunBlocker {
        let job = self.jobs.get(&task.job);
        let Some(spec) = job.and_then(|job| job.step_spec(task)) else {
            return RunBlocker::Stopping;
        };
        if !spec.long_running {
            return RunBlocker::Short;
        }
        if now.steady_ms < self.taken_over_ms + self.options.stop_settle_ms {
            return RunBlocker::Settling;
        }
        if self.is_step_at_limit(task, worker.id()) {
            RunBlocker::Step
        } else if self.has_alternative_worker(task, worker.id(), now) {
            RunBlocker::Stopping
        } else {
            RunBlocker::Place
        }
    }
}

/// The reason why a run is still on a worker that is being drained. Of several
/// on one worker, the first in this order counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunBlocker {
    Place,
    Step,
    Settling,
    Short,
    Stopping,
}

/// The state of a wave in one planning pass.
struct WaveView<'a> {
    wave: u64,
    state: &'a WaveState,
    room: usize,
    pace: WavePace,
    now: Now,
}

fn counter_without_worker<'a>(
    view: &WaveView,
    known: &ManagedVm,
    left: &'a mut RemainingVms,
) -> &'a mut usize {
    if known.worker.is_some() {
        &mut left.unknown
    } else if view.room == 0 {
        &mut left.max_down
    } else {
        &mut left.ready
    }
}
