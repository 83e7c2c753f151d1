/*!
Gang scheduling: steps whose tasks must run at the same time.

A gang starts completely or not at all. Its members are placed one after the
other, each in the capacity that the others leave. Orders are sent and state is
changed only once every member has a worker; until then the gang waits and the
tentative placements are undone.
*/

use {
    super::PlacementError,
    crate::{
        job::{StepSpec, TaskId},
        quota::Admission,
        schedule::{
            Action, Now, Scheduler, WorkerId, job_state::demand, worker::Run,
        },
    },
};

impl Scheduler {
    /// Starts all members of a gang or none. Returns whether there was a
    /// worker for each.
    pub(super) fn start_gang(
        &mut self,
        spec: &StepSpec,
        first: &TaskId,
        waiting: &[u32],
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        // Members of the last run haven't ended yet.
        if waiting.len() < spec.count as usize {
            return true;
        }
        let charge = self.jobs.get(&first.job);
        let charge = charge.and_then(|job| Scheduler::charge_for(job, spec));
        // If it isn't admitted, another VM wouldn't help.
        match self.admit_gang(charge.as_ref(), waiting.len()) {
            Admission::Admitted => {}
            Admission::AwaitsCeiling => return true,
            Admission::Exceeded => {
                self.report_quota_reached(charge.as_ref(), first, now);
                return true;
            }
        }
        let members: Vec<TaskId> =
            waiting.iter().map(|&index| TaskId { index, ..*first }).collect();
        if !self.claim_room_for_gang(&members, now) {
            return false;
        }
        let run = members.iter().map(|task| self.next_run_number(task)).max();
        let run = run.unwrap_or(1);
        let placements =
            self.find_gang_workers(spec, &members, run, now, actions);
        if placements.len() < members.len() {
            return false;
        }
        self.share_checkpoint(&members);
        // All members start together, even if the window of in-flight orders
        // has room for fewer.
        for (task, worker) in members.iter().zip(placements) {
            actions.extend(self.start(spec, task, run, worker, now));
        }
        true
    }

    /// Returns workers for the members in turn, up to the first member without
    /// one.
    fn find_gang_workers(
        &mut self,
        spec: &StepSpec,
        members: &[TaskId],
        run: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Vec<WorkerId> {
        let mut placements = Vec::new();
        let mut suspended = Vec::new();
        let mut preferences = self.gang_preferences(spec, members, now);
        for task in members {
            match self.choose_worker(spec, task, &mut preferences, now) {
                Ok(worker) => {
                    if let Some(worker) = self.workers.get(&worker) {
                        preferences.add(worker);
                    }
                    suspended.extend(self.suspend_reservation(task, now));
                    self.reserve_tentatively(spec, task, run, &worker, now);
                    placements.push(worker);
                }
                Err(PlacementError::NoTicket) => {
                    actions.extend(self.request_advice(spec, task, now));
                    break;
                }
                Err(PlacementError::NoRoom) => break,
            }
        }
        for (task, worker) in members.iter().zip(&placements) {
            if let Some(worker) = self.workers.get_mut(worker) {
                // Resets the idle time: the worker is needed as soon as the
                // other members have workers.
                worker.remove(task, now.steady_ms);
                worker.cold.undo_start();
            }
        }
        if placements.len() < members.len() {
            for reservation in suspended {
                self.restore_reservation(reservation);
            }
        }
        placements
    }

    /// Reserves capacity for a member while workers for the others are
    /// searched.
    fn reserve_tentatively(
        &mut self,
        spec: &StepSpec,
        task: &TaskId,
        run: u64,
        worker_id: &WorkerId,
        now: Now,
    ) {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let suspicion =
            state.map(|state| state.crashes.suspicion()).unwrap_or_default();
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        let fence = worker.fence();
        let reserved = Run::ordered(run, fence, demand(spec), now.steady_ms);
        worker.insert(*task, reserved.with_suspicion(suspicion));
        worker.cold.record_start(now.steady_ms);
    }

    /// Gives every member the same checkpoint, since a checkpoint of one
    /// member is valid for all.
    fn share_checkpoint(&mut self, members: &[TaskId]) {
        let checkpoint = members
            .iter()
            .filter_map(|task| self.jobs[&task.job].task(task))
            .map(|task| task.checkpoint.clone())
            .find(|checkpoint| !checkpoint.is_empty());
        let Some(checkpoint) = checkpoint else { return };
        for task in members {
            let job = self.jobs.get_mut(&task.job);
            if let Some(state) = job.and_then(|job| job.task_mut(task)) {
                state.checkpoint.clone_from(&checkpoint);
            }
        }
    }
}
