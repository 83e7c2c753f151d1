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
        wave_choice::{CALM_PERCENT, WavePace},
        wave_state::WaveState,
        worker::{DrainReason, RunState, Worker},
    },
};

/// How often a wave is told of while it goes on, in milliseconds: often
/// enough to see each VM, which takes some seconds.
const TOLD_EVERY_MS: u64 = 1_000;

/// How often a wave is told of whose time is over, in milliseconds.
const LATE_TOLD_EVERY_MS: u64 = 10_000;

/// How many waves a look tells of, so that many at once don't fill the log;
/// the next looks go on with the others.
const TOLD_A_LOOK: usize = 2;

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
    pub looks: u32,
    /// Why nothing is ordered of the VM service now, if so.
    pub hindrance: Option<&'static str>,
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
    told_ms: u64,
    /// Whether it was told that its time is over.
    over: bool,
    /// How often the wave was looked at since.
    looks: u32,
}

impl WaveReports {
    /// Returns what of the wave's time is to be told now, if anything.
    fn due(&self, end_ms: u64, now_ms: u64) -> Option<WaveDeadline> {
        let time = match (now_ms >= end_ms, self.over) {
            (false, _) => WaveDeadline::Ahead,
            (true, false) => return Some(WaveDeadline::Passed),
            (true, true) => WaveDeadline::LongPassed,
        };
        let every_ms = match time {
            WaveDeadline::LongPassed => LATE_TOLD_EVERY_MS,
            WaveDeadline::Ahead | WaveDeadline::Passed => TOLD_EVERY_MS,
        };
        (now_ms >= self.told_ms + every_ms).then_some(time)
    }
}

impl Scheduler {
    /// Tells what keeps the VMs of waves, where that is due.
    pub(super) fn tell_waves(
        &mut self,
        hindrance: Option<&'static str>,
        now: Now,
    ) {
        let mut due: Vec<(u64, WaveDeadline)> = Vec::new();
        for (wave, state) in &mut self.waves {
            if state.completed {
                continue;
            }
            state.told.looks += 1;
            let time = state.told.due(state.end_ms, now.steady_ms);
            due.extend(time.map(|time| (*wave, time)));
        }
        for (wave, time) in due.into_iter().take(TOLD_A_LOOK) {
            self.tell_wave(wave, time, hindrance, now);
        }
    }

    fn tell_wave(
        &mut self,
        wave: u64,
        time: WaveDeadline,
        hindrance: Option<&'static str>,
        now: Now,
    ) {
        let Some(state) = self.waves.get(&wave) else { return };
        let account = self.wave_account(wave, state, time, hindrance, now);
        let Some(state) = self.waves.get_mut(&wave) else { return };
        state.told = WaveReports {
            told_ms: now.steady_ms,
            over: time != WaveDeadline::Ahead,
            looks: 0,
        };
        self.note(Decision::WaveProgress { wave, progress: account });
    }

    fn wave_account(
        &self,
        wave: u64,
        state: &WaveState,
        time: WaveDeadline,
        hindrance: Option<&'static str>,
        now: Now,
    ) -> WaveProgress {
        let workers = self.workers_by_vm();
        let room = state.room(|vm| self.may_be_down(vm, now));
        let pace = self.wave_pace(wave, state, now);
        let look = Look { wave, state, room, pace, now };
        let mut left = RemainingVms::default();
        for vm in state.remaining() {
            let worker = workers.get(vm.as_str()).copied();
            *self.count_of(&look, vm, worker, &mut left) += 1;
        }
        let vms = state.request.vms.len();
        WaveProgress {
            time,
            vms,
            begun: vms.saturating_sub(left.total()),
            down: state.down.len(),
            room,
            looks: state.told.looks,
            hindrance,
            pace,
            left,
        }
    }

    /// Returns under what a VM that is left is counted.
    fn count_of<'a>(
        &self,
        look: &Look,
        vm: &str,
        worker: Option<&Worker>,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        let Some(known) = self.vms.get(vm) else { return &mut left.unlisted };
        if look.state.is_ordered(vm) {
            return &mut left.ordered;
        }
        match known.status {
            VmStatus::Up => {}
            VmStatus::Moving => return &mut left.moving,
            VmStatus::Maintenance | VmStatus::Down => return &mut left.down,
        }
        if !self.may_order(vm, look.now) || look.state.is_waiting(vm, look.now)
        {
            return &mut left.left_alone;
        }
        match worker {
            Some(worker) => self.count_of_worker(look, worker, left),
            None => count_without_worker(look, known, left),
        }
    }

    fn count_of_worker<'a>(
        &self,
        look: &Look,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        if worker.silent_since_ms.is_some() || !worker.synced {
            return &mut left.silent;
        }
        match &worker.drain_reason {
            None => self.count_of_unchosen(look, worker, left),
            Some(DrainReason::Maintenance(wave)) if *wave == look.wave => {
                self.count_of_emptied(look, worker, left)
            }
            Some(_) => &mut left.moving,
        }
    }

    fn count_of_unchosen<'a>(
        &self,
        look: &Look,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        let pace = &look.pace;
        let percent = || self.pool_percent_without(&worker.listing.pool, 1);
        if pace.under_way >= pace.parallel {
            &mut left.parallel
        } else if pace.may_wait && percent() > CALM_PERCENT {
            &mut left.calm
        } else {
            &mut left.next
        }
    }

    fn count_of_emptied<'a>(
        &self,
        look: &Look,
        worker: &Worker,
        left: &'a mut RemainingVms,
    ) -> &'a mut usize {
        if worker.is_settled() {
            return if look.room == 0 {
                &mut left.max_down
            } else {
                &mut left.ready
            };
        }
        let kept = worker
            .runs
            .iter()
            .map(|(task, run)| match run.state {
                RunState::Running => self.kept_by(task, worker, look.now),
                RunState::Starting | RunState::Stopping(_) => Kept::Stopping,
            })
            .min();
        match kept {
            Some(Kept::Place) => &mut left.place,
            Some(Kept::Step) => &mut left.step,
            Some(Kept::Settling) => &mut left.settling,
            Some(Kept::Short) => &mut left.short,
            Some(Kept::Stopping) => &mut left.stopping,
            None if worker.has_ends_to_store() => &mut left.unstored,
            None => &mut left.untold,
        }
    }

    /// Returns why a run at work hasn't left its worker.
    fn kept_by(&self, task: &TaskId, worker: &Worker, now: Now) -> Kept {
        let job = self.jobs.get(&task.job);
        let Some(spec) = job.and_then(|job| job.step_spec(task)) else {
            return Kept::Stopping;
        };
        if !spec.long_running {
            return Kept::Short;
        }
        if now.steady_ms < self.taken_over_ms + self.options.stop_settle_ms {
            return Kept::Settling;
        }
        if self.is_kept_by_step(task, worker.id()) {
            Kept::Step
        } else if self.has_other_place(task, worker.id(), now) {
            Kept::Stopping
        } else {
            Kept::Place
        }
    }
}

/// Why a run is still on a worker that is emptied; of several on one worker,
/// the first in this order counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kept {
    Place,
    Step,
    Settling,
    Short,
    Stopping,
}

/// One look at a wave.
struct Look<'a> {
    wave: u64,
    state: &'a WaveState,
    room: usize,
    pace: WavePace,
    now: Now,
}

fn count_without_worker<'a>(
    look: &Look,
    known: &ManagedVm,
    left: &'a mut RemainingVms,
) -> &'a mut usize {
    if known.worker.is_some() {
        &mut left.unknown
    } else if look.room == 0 {
        &mut left.max_down
    } else {
        &mut left.ready
    }
}
