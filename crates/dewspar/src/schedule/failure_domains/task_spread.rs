/*!
The spread of a step's long-running tasks over data halls and racks.

The preference applies only among workers that have room now. It is never a
reason to wait or to take another VM: a task starts in a hall that holds its
share already if no other hall has room. Racks matter only among workers that
are in use anyway, since an idle one could be switched off.
*/

use {
    crate::{
        job::{StepSpec, TaskId},
        schedule::{Scheduler, job_state::demand, worker::Worker},
    },
    std::collections::HashMap,
};

/// The tasks of a step in a data hall.
#[derive(Debug, Default)]
struct HallTasks {
    tasks: u64,
    /// The number of tasks in each rack with usable workers.
    racks: HashMap<String, u64>,
}

impl HallTasks {
    /// Returns whether a rack holds fewer tasks than its share of the hall's.
    fn rack_has_share(&self, rack: &str, share: u64) -> bool {
        let racks = self.racks.len().max(1) as u64;
        let tasks = self.racks.get(rack).copied().unwrap_or(0);
        tasks < share.div_ceil(racks)
    }
}

/// Where the tasks of a step are.
#[derive(Debug)]
pub(in crate::schedule) struct StepSpread {
    halls: HashMap<String, HallTasks>,
    /// An even share of the step's tasks, rounded up.
    share: u64,
}

/// The rank of a worker for one more task of a step; higher is better.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::schedule) struct SpreadRank {
    /// Whether the task interferes with no other run.
    undisturbed: bool,
    /// The score for locality, where it comes before spreading.
    locality: i64,
    hall_below_share: bool,
    in_use: bool,
    rack_below_share: bool,
}

impl StepSpread {
    /// Returns whether a hall holds fewer tasks than its share.
    pub(in crate::schedule) fn has_share(&self, hall: &str) -> bool {
        self.halls.get(hall).is_none_or(|hall| hall.tasks < self.share)
    }

    /// Counts one more task on a worker.
    pub(in crate::schedule) fn add(&mut self, worker: &Worker) {
        self.hall_mut(worker).tasks += 1;
        *self.rack_mut(worker) += 1;
    }

    /// Counts one task less on a worker.
    pub(in crate::schedule) fn remove(&mut self, worker: &Worker) {
        let hall = self.hall_mut(worker);
        hall.tasks = hall.tasks.saturating_sub(1);
        let rack = self.rack_mut(worker);
        *rack = rack.saturating_sub(1);
    }

    fn hall_mut(&mut self, worker: &Worker) -> &mut HallTasks {
        self.halls.entry(worker.listing.hall.clone()).or_default()
    }

    fn rack_mut(&mut self, worker: &Worker) -> &mut u64 {
        let racks = &mut self.hall_mut(worker).racks;
        racks.entry(worker.listing.rack.clone()).or_default()
    }

    fn rack_has_share(&self, worker: &Worker) -> bool {
        let hall = self.halls.get(worker.listing.hall.as_str());
        hall.is_none_or(|hall| {
            hall.rack_has_share(&worker.listing.rack, self.share)
        })
    }
}

impl Scheduler {
    /// Returns where the other tasks of a long-running step are; `None` if the
    /// step isn't to be spread.
    ///
    /// A task with a reservation counts where the reservation is, and one that
    /// is being stopped doesn't count.
    pub(in crate::schedule) fn step_spread(
        &self,
        spec: &StepSpec,
        task: &TaskId,
    ) -> Option<StepSpread> {
        let spreads = self.tolerates_hall_loss()
            && self.placing().spreads_over_halls
            && spec.long_running
            && spec.count > 1;
        if !spreads {
            return None;
        }
        let pool = &self.jobs.get(&task.job)?.terms.pool;
        let first = TaskId { index: 0, ..*task };
        let last = TaskId { index: u32::MAX, ..*task };
        let mut spread = StepSpread { halls: HashMap::new(), share: 0 };
        for (_, worker) in self.workers.in_pool(pool) {
            if worker.is_usable() {
                // Lists the rack, also without a task.
                spread.rack_mut(worker);
            }
        }
        let halls = spread.halls.len().max(1) as u64;
        spread.share = u64::from(spec.count).div_ceil(halls);
        for (_, worker) in self.workers.in_pool(pool) {
            if worker.runs.is_empty() || worker.in_down_hall {
                continue;
            }
            let runs = worker.runs.range(first..=last);
            let staying = runs.filter(|(other, run)| {
                *other != task
                    && !run.is_stopping()
                    && self.reservations.worker_for(other).is_none()
            });
            for _ in staying {
                spread.add(worker);
            }
        }
        for (_, worker) in self.reservations.of_step(task) {
            if let Some(worker) = self.workers.get(worker) {
                spread.add(worker);
            }
        }
        Some(spread)
    }

    /// Returns the rank of a worker for one more task of a step.
    pub(in crate::schedule) fn spread_rank(
        &self,
        spread: &StepSpread,
        worker: &Worker,
        spec: &StepSpec,
    ) -> SpreadRank {
        let policy = self.placing();
        let left = worker.free().minus(&demand(spec)).cpu_millis as i64;
        let fullness = if policy.fullest_first { -left } else { left };
        // What the score adds to fullness: locality and interference.
        let locality = self.score_for(worker, spec) - fullness;
        let has_data = !spec.data_rack.is_empty();
        SpreadRank {
            undisturbed: locality >= 0,
            locality: match policy.spreads_before_locality {
                true => 0,
                false => locality,
            },
            hall_below_share: spread.has_share(&worker.listing.hall),
            in_use: has_data
                || !policy.fullest_first
                || !worker.runs.is_empty(),
            rack_below_share: has_data || spread.rack_has_share(worker),
        }
    }
}
