/*!
Emptying data halls.

The operator may ask that a data hall be *emptied*, until the request is
withdrawn. Meanwhile nothing new starts on the hall's workers. Short tasks run
to their end there. Long-running tasks move: capacity is reserved for each on a
worker elsewhere before its run is stopped, and only while its step can spare
another. Pools are sized as if the hall had no VMs, and its idle VMs are
switched off.

A worker that names no hall counts as part of every hall that is emptied.

A holder that can't read the operator's requests may miss one. It therefore
starts nothing, in any hall, once the requests that it knows are older than
[`Options::max_operator_view_age_ms`] allows.

[`Options::max_operator_view_age_ms`]: super::Options::max_operator_view_age_ms
*/

use {
    crate::schedule::{
        AwaitedState, Decision, Now, Scheduler, VmStatus, run_times::StepKey,
        worker::Worker,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// A data hall that is being emptied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuatedHall {
    /// The hall.
    pub hall: String,
    /// For how long this holder has known of it, in milliseconds.
    pub age_ms: u64,
    /// The number of its workers.
    pub workers: usize,
    /// The number of their runs.
    pub runs: usize,
    /// How many of these are of long-running tasks.
    pub long_running: usize,
    /// How many long-running tasks have no place elsewhere: they stay until
    /// there is one.
    pub stuck: usize,
}

impl EvacuatedHall {
    /// Returns a hall without workers.
    fn empty(hall: &str, age_ms: u64) -> EvacuatedHall {
        EvacuatedHall {
            hall: hall.to_owned(),
            age_ms,
            workers: 0,
            runs: 0,
            long_running: 0,
            stuck: 0,
        }
    }
}

/// The data halls that are being emptied.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuation {
    /// When this holder learned of each, on the steady clock.
    since_ms: BTreeMap<String, u64>,
    /// Those of which it was reported that tasks have no place elsewhere.
    stuck: BTreeSet<String>,
}

impl Evacuation {
    /// Returns whether a hall is being emptied.
    pub(super) fn includes(&self, hall: &str) -> bool {
        if hall.is_empty() {
            return !self.since_ms.is_empty();
        }
        self.since_ms.contains_key(hall)
    }

    /// Sets whether tasks of a hall have no place elsewhere. Returns whether
    /// that has changed.
    pub(super) fn set_stuck(&mut self, hall: &str, is_stuck: bool) -> bool {
        match is_stuck {
            true => self.stuck.insert(hall.to_owned()),
            false => self.stuck.remove(hall),
        }
    }

    /// Returns whether exactly these halls are being emptied.
    fn is_of(&self, halls: &BTreeSet<String>) -> bool {
        self.since_ms.keys().eq(halls)
    }
}

/// How current the operator's requests are.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OperatorView {
    /// When the newest were requested, on the steady clock.
    requested_ms: u64,
    /// Since when they are too old for tasks to start.
    outdated_since_ms: Option<u64>,
}

impl OperatorView {
    /// Returns whether the requests are too old for tasks to start.
    pub(super) fn is_outdated(&self) -> bool {
        self.outdated_since_ms.is_some()
    }
}

impl Scheduler {
    /// Sets the data halls that the operator wants to be emptied.
    pub fn evacuate_halls(&mut self, halls: &BTreeSet<String>, now: Now) {
        if self.workers.evacuation().is_of(halls) {
            return;
        }
        let Evacuation { since_ms: before, mut stuck } =
            self.workers.evacuation().clone();
        let since_ms = halls.iter().map(|hall| {
            let known_ms = before.get(hall).copied();
            (hall.clone(), known_ms.unwrap_or(now.steady_ms))
        });
        let since_ms = since_ms.collect();
        stuck.retain(|hall| halls.contains(hall));
        self.workers.set_evacuation(Evacuation { since_ms, stuck });
        for (hall, since_ms) in &before {
            if !halls.contains(hall) {
                let after_ms = now.steady_ms.saturating_sub(*since_ms);
                let hall = hall.clone();
                self.note(Decision::HallRestored { hall, after_ms });
            }
        }
        for evacuated in self.evacuated_halls(now) {
            let EvacuatedHall { hall, workers, runs, .. } = evacuated;
            if !before.contains_key(&hall) {
                self.note(Decision::HallEvacuated { hall, workers, runs });
            }
        }
    }

    /// Returns the data halls that are being emptied, and what still runs
    /// there.
    pub fn evacuated_halls(&self, now: Now) -> Vec<EvacuatedHall> {
        let halls = self.workers.evacuation().since_ms.iter();
        let mut evacuated: BTreeMap<&str, EvacuatedHall> = halls
            .map(|(hall, since_ms)| {
                let age_ms = now.steady_ms.saturating_sub(*since_ms);
                (hall.as_str(), EvacuatedHall::empty(hall, age_ms))
            })
            .collect();
        if evacuated.is_empty() {
            return Vec::new();
        }
        // The tasks of a step that have no capacity reserved differ in
        // nothing that decides whether there is a place.
        let mut has_room: HashMap<StepKey, bool> = HashMap::new();
        for worker in self.workers.values() {
            let hall = worker.listing.hall.as_str();
            let Some(hall) = evacuated.get_mut(hall) else { continue };
            hall.workers += 1;
            hall.runs += worker.runs.len();
            for (task, run) in &worker.runs {
                if !run.long_running {
                    continue;
                }
                hall.long_running += 1;
                let stays = !run.is_stopping()
                    && self.reservations.worker_for(task).is_none();
                let step = (task.job, task.round, task.step);
                let has_room_soon = || self.has_room_soon(task);
                if stays
                    && !*has_room.entry(step).or_insert_with(has_room_soon)
                {
                    hall.stuck += 1;
                }
            }
        }
        evacuated.into_values().collect()
    }

    /// Reports, once for each hall, that long-running tasks have no place
    /// elsewhere, and that all of them have one again.
    pub(super) fn report_stuck_evacuations(&mut self, now: Now) {
        if self.workers.evacuation().since_ms.is_empty() {
            return;
        }
        for evacuated in self.evacuated_halls(now) {
            let EvacuatedHall { hall, stuck, .. } = evacuated;
            if self.workers.set_evacuation_stuck(&hall, stuck > 0) {
                self.note(Decision::EvacuationStuck { hall, tasks: stuck });
            }
        }
    }

    /// Returns whether VMs of a hall may take tasks: it isn't being emptied
    /// and its workers aren't cut off or lost.
    pub(super) fn hall_takes_tasks(&self, hall: &str) -> bool {
        !self.workers.evacuation().includes(hall) && !self.is_hall_down(hall)
    }

    /// Returns whether some worker or VM may take tasks now or soon, so that
    /// halls that are being emptied aren't all there is.
    pub(super) fn has_hall_left(&self) -> bool {
        let mut vms = self.vms.values();
        self.workers.values().any(Worker::is_usable)
            || vms.any(|vm| {
                vm.status == VmStatus::Up && self.hall_takes_tasks(&vm.hall)
            })
    }

    /// Notes that the operator's requests were requested at this time of the
    /// steady clock, in milliseconds, and are applied.
    pub fn note_operator_view(&mut self, requested_ms: u64) {
        let known_ms = &mut self.operator_view.requested_ms;
        *known_ms = (*known_ms).max(requested_ms);
    }

    /// Pauses starts while the operator's requests are too old.
    pub(super) fn check_operator_view(&mut self, now: Now) {
        let Some(max_age_ms) = self.options.max_operator_view_age_ms else {
            return;
        };
        let OperatorView { requested_ms, outdated_since_ms } =
            self.operator_view;
        let age_ms = now.steady_ms.saturating_sub(requested_ms);
        let state = AwaitedState::OperatorRequests;
        match (age_ms > max_age_ms, outdated_since_ms) {
            (true, None) => {
                self.operator_view.outdated_since_ms = Some(now.steady_ms);
                self.note(Decision::StartsPaused { state, age_ms });
            }
            (false, Some(since_ms)) => {
                self.operator_view.outdated_since_ms = None;
                let after_ms = now.steady_ms.saturating_sub(since_ms);
                self.note(Decision::StartsResumed { state, after_ms });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }
}
