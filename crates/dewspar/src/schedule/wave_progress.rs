/*!
What keeps the VMs of a wave that are left, by count.

A wave is late for one reason or another: too few VMs are taken at a time, a
task has nowhere else to go, a worker is silent. From outside they look alike.
So while a wave goes on, each of its VMs that is left is counted under the one
thing that it waits for next, beside the figures by which VMs are chosen.
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

/// How often a wave is told of while it goes on, in milliseconds: often
/// enough to see each VM, which takes some seconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// How often a wave is told of whose time is over, in milliseconds.
const LATE_REPORT_INTERVAL_MS: u64 = 10_000;

/// How many waves a look tells of, so that many at once don't fill the log;
/// the next looks go on with the others.
const REPORTS_PER_PASS: usize = 2;

/// Whether the time of a wave is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveDeadline {
    /// There is time left.
    Ahead,
    /// It is just over.
    Passed,
    /// It has been over for a while.
    LongPassed,
}

/// How far a wave has come, and what keeps its VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaveProgress {
    /// Whether its time is over.
    pub time: WaveDeadline,
    /// All of its VMs.
    pub vms: usize,
    /// Those whose maintenance has begun, or that are gone for good.
    pub begun: usize,
    /// Those of them that aren't back.
    pub down: usize,
    /// How many more may go down at once.
    pub room: usize,
    /// How often it was looked at since it was told of last.
    pub passes: u32,
    /// Why nothing is ordered of the VM service now, if so.
    pub blocker: Option<&'static str>,
    /// By what VMs are chosen.
    pub pace: WavePace,
    /// What keeps those that are left.
    pub left: RemainingVms,
}

/// The VMs of a wave that are left, each counted once under what it waits
/// for next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingVms {
    /// As many as planned are under way.
    pub parallel: usize,
    /// There is time to wait for a calmer pool.
    pub calm: usize,
    /// It is to be chosen at the next looks.
    pub next: usize,
    /// It is emptied, and a run that is to last has no other place.
    pub place: usize,
    /// It is emptied, and too many others of such a run's step are away.
    pub step: usize,
    /// It is emptied, and a former holder's stops may be under way.
    pub settling: usize,
    /// It is emptied, and short runs go on.
    pub short: usize,
    /// It is emptied, and a stop is under way or a start may be.
    pub stopping: usize,
    /// It is emptied but for ends that aren't stored yet.
    pub unstored: usize,
    /// It is emptied, but its worker isn't told yet that its ends are stored,
    /// or what was ordered of it isn't void yet.
    pub untold: usize,
    /// It is ready, and as many are down as may be.
    pub max_down: usize,
    /// It is ready, and is to be ordered at the next look.
    pub ready: usize,
    /// It is ordered, and there is no answer, or none that is sure.
    pub ordered: usize,
    /// A former holder ordered a change of it of late, or it was refused.
    pub left_alone: usize,
    /// Its worker is silent, or what runs there isn't known.
    pub silent: usize,
    /// The VM service names a worker that isn't known.
    pub unknown: usize,
    /// It moves to another pool, or is emptied for that or another wave.
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

    /// Returns how many are left.
    pub fn total(&self) -> usize {
        self.by_reason().iter().map(|(_, count)| count).sum()
    }
}

/// When a wave was last told of.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaveReports {
    last_ms: u64,
    /// Whether it was told that its time is over.
    reported_late: bool,
    /// How often the wave was looked at since.
    passes: u32,
}

impl WaveReports {
    /// Returns what of the wave's time is to be told now, if anything.
    fn due(&self, end_ms: u64, now_ms: u64) -> Option<WaveDeadline> {
        let time = match (now_ms >= end_ms, self.reported_late) {
            (false, _) => WaveDeadline::Ahead,
            (true, false) => return Some(WaveDeadline::Passed),
            (true, true) => WaveDeadline::LongPassed,
        };
        let every_ms = match time {
            WaveDeadline::LongPassed => LATE_REPORT_INTERVAL_MS,
            WaveDeadline::Ahead | WaveDeadline::Passed => REPORT_INTERVAL_MS,
        };
        (now_ms >= self.last_ms + every_ms).then_some(time)
    }
}

impl Scheduler {
    /// Tells what keeps the VMs of waves, where that is due.
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
            let time = state.reports.due(state.end_ms, now.steady_ms);
            due.extend(time.map(|time| (*wave, time)));
        }
        for (wave, time) in due.into_iter().take(REPORTS_PER_PASS) {
            self.report_wave(wave, time, blocker, now);
        }
    }

    fn report_wave(
        &mut self,
        wave: u64,
        time: WaveDeadline,
        blocker: Option<&'static str>,
        now: Now,
    ) {
        let Some(state) = self.waves.get(&wave) else { return };
        let progress = self.wave_progress(wave, state, time, blocker, now);
        let Some(state) = self.waves.get_mut(&wave) else { return };
        state.reports = WaveReports {
            last_ms: now.steady_ms,
            reported_late: time != WaveDeadline::Ahead,
            passes: 0,
        };
        self.note(Decision::WaveProgress { wave, progress });
    }

    fn wave_progress(
        &self,
        wave: u64,
        state: &WaveState,
        time: WaveDeadline,
        blocker: Option<&'static str>,
        now: Now,
    ) -> WaveProgress {
        let workers = self.workers_by_vm();
        let room = state.allowance(|vm| self.may_be_down(vm, now));
        let pace = self.wave_pace(wave, state, now);
        let view = WaveView { wave, state, room, pace, now };
        let mut left = RemainingVms::default();
        for vm in state.remaining() {
            let worker = workers.get(vm.as_str()).copied();
            *self.counter_for(&view, vm, worker, &mut left) += 1;
        }
        let vms = state.request.vms.len();
        WaveProgress {
            time,
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

    /// Returns under what a VM that is left is counted.
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
                RunState::Starting | RunState::Stopping(_) => {
                    RunBlocker::Stopping
                }
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

    /// Returns why a run at work hasn't left its worker.
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

/// Why a run is still on a worker that is emptied; of several on one worker,
/// the first in this order counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunBlocker {
    Place,
    Step,
    Settling,
    Short,
    Stopping,
}

/// One look at a wave.
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
