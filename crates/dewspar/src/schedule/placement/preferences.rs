/*!
What the tasks of a step prefer, determined once for all that are placed
together.

The home hall and the spread follow from all runs of the job and from all
workers of the pool, so determining them for each task would make the placement
of a large step quadratic.
*/

use {
    super::RoomHorizon,
    crate::{
        job::{StepSpec, TaskId},
        schedule::{
            Now, Scheduler,
            failure_domains::{SpreadRank, StepSpread},
            worker::Worker,
        },
    },
};

/// What the tasks of a step prefer.
#[derive(Default)]
pub(super) struct Preferences {
    /// The rack that is preferred for a gang.
    rack: Option<String>,
    /// The hall in which short tasks of the job are placed together.
    home: Option<String>,
    /// Where the step's tasks are; `None` if it isn't to be spread.
    spread: Option<StepSpread>,
}

impl Preferences {
    /// Returns the preferences without those about halls.
    pub(super) fn rack_only(&self) -> Preferences {
        Preferences { rack: self.rack.clone(), ..Preferences::default() }
    }

    pub(super) fn is_in_rack(&self, worker: &Worker) -> bool {
        self.rack.as_deref() == Some(worker.listing.rack.as_str())
    }

    pub(super) fn is_home(&self, worker: &Worker) -> bool {
        self.home.as_deref() == Some(worker.listing.hall.as_str())
    }

    pub(super) fn spread_rank(
        &self,
        scheduler: &Scheduler,
        worker: &Worker,
        spec: &StepSpec,
    ) -> SpreadRank {
        let spread = self.spread.as_ref();
        spread.map_or_else(SpreadRank::default, |spread| {
            scheduler.spread_rank(spread, worker, spec)
        })
    }

    /// Counts the reservation of a task no more, since the task is about to be
    /// placed.
    pub(super) fn remove_reservation(
        &mut self,
        scheduler: &Scheduler,
        task: &TaskId,
    ) {
        if let Some(spread) = &mut self.spread
            && let Some(worker) = reserved_worker(scheduler, task)
        {
            spread.remove(worker);
        }
    }

    /// Counts the reservation of a task that couldn't be placed again.
    pub(super) fn restore_reservation(
        &mut self,
        scheduler: &Scheduler,
        task: &TaskId,
    ) {
        if let Some(spread) = &mut self.spread
            && let Some(worker) = reserved_worker(scheduler, task)
        {
            spread.add(worker);
        }
    }

    /// Counts a task that was placed on a worker.
    pub(super) fn add(&mut self, worker: &Worker) {
        if let Some(spread) = &mut self.spread {
            spread.add(worker);
        }
    }
}

fn reserved_worker<'a>(
    scheduler: &'a Scheduler,
    task: &TaskId,
) -> Option<&'a Worker> {
    let worker = scheduler.reservations.worker_for(task)?;
    scheduler.workers.get(worker)
}

impl Scheduler {
    /// Returns the preferences of one task that is placed by itself.
    pub(super) fn task_preferences(
        &self,
        spec: &StepSpec,
        task: &TaskId,
        now: Now,
    ) -> Preferences {
        let suitable = || self.suitable_workers(spec, task, now);
        let home = self.home_hall(spec, task, suitable).map(str::to_owned);
        let spread = self.step_spread(spec, task);
        Preferences { rack: None, home, spread }
    }

    /// Returns the preferences of the waiting tasks of a step, of which `any`
    /// is one. All reservations of the step are counted.
    pub(super) fn step_preferences(
        &self,
        spec: &StepSpec,
        any: &TaskId,
        now: Now,
    ) -> Preferences {
        let mut preferences = self.task_preferences(spec, any, now);
        preferences.restore_reservation(self, any);
        preferences
    }

    /// Returns the preferences of the members of a gang.
    pub(super) fn gang_preferences(
        &self,
        spec: &StepSpec,
        members: &[TaskId],
        now: Now,
    ) -> Preferences {
        let rack = self.rack_for_gang(spec, members, RoomHorizon::Now, now);
        let first = members.first();
        let preferences =
            first.map(|first| self.step_preferences(spec, first, now));
        Preferences { rack, ..preferences.unwrap_or_default() }
    }
}
