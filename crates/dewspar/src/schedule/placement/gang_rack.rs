/*!
The choice of one rack for a gang.

The members of some gangs take longer if they run in several racks. Where it is
known how much longer, a rack with room for all members is searched before any
of them is placed, and its workers are preferred. Among several, the rack of
the step's data comes first, and then the one with least room to spare, so that
larger gangs find a rack too. Without such a rack the members are placed
anywhere, as any others are.
*/

use {
    super::RoomHorizon,
    crate::{
        job::{StepSpec, TaskId},
        schedule::{Now, Scheduler, job_state::demand, worker::Worker},
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Scheduler {
    /// Returns the rack in which workers are preferred for some members of a
    /// gang, if there is one with room for all of them.
    pub(in crate::schedule) fn rack_for_gang(
        &self,
        spec: &StepSpec,
        members: &[TaskId],
        room: RoomHorizon,
        now: Now,
    ) -> Option<String> {
        if !spec.gang || !spec.same_rack {
            return None;
        }
        self.options.remote_factor?;
        let first = members.first()?;
        let others = self.racks_of_others(members);
        let mut members_by_rack: BTreeMap<&str, u64> = BTreeMap::new();
        let suitable = self.suitable_with_numbers(spec, first, room, now);
        for (_, worker) in suitable {
            let rack = worker.listing.rack.as_str();
            let is_possible = !rack.is_empty()
                && others.iter().all(|other| *other == rack)
                && self.ticket(first, worker.id(), now).is_some();
            if is_possible {
                let fitting =
                    self.members_fitting(worker, (spec, first), room, now);
                let total = members_by_rack.entry(rack).or_default();
                *total = total.saturating_add(fitting);
            }
        }
        let needed = members.len() as u64;
        let racks = members_by_rack.into_iter();
        let fitting = racks.filter(|(_, fitting)| *fitting >= needed);
        let best = fitting.min_by_key(|(rack, fitting)| {
            (*rack != spec.data_rack, *fitting, *rack)
        });
        best.map(|(rack, _)| rack.to_owned())
    }

    /// Returns how many members of a gang a worker has room for.
    pub(in crate::schedule) fn members_fitting(
        &self,
        worker: &Worker,
        (spec, member): (&StepSpec, &TaskId),
        room: RoomHorizon,
        now: Now,
    ) -> u64 {
        let (free, starts) = match room {
            RoomHorizon::Now => {
                (worker.free_for(member), self.starts_left(worker, now))
            }
            RoomHorizon::AfterShortTasks => {
                (worker.free_soon_for(member), u64::MAX)
            }
        };
        let siblings = worker.runs_of_step(member) as u64;
        let apart = match u64::from(spec.max_per_worker) {
            0 => u64::MAX,
            most => most.saturating_sub(siblings),
        };
        free.count_fitting(&demand(spec)).min(apart).min(starts)
    }

    /// Returns the racks in which the other members of a gang run.
    fn racks_of_others(&self, members: &[TaskId]) -> BTreeSet<&str> {
        let Some(first) = members.first() else { return BTreeSet::new() };
        let step = self.jobs.get(&first.job).and_then(|job| job.step(first));
        let tasks = step.into_iter().flat_map(|step| (0..).zip(&step.tasks));
        let others = tasks.filter(|(index, _)| {
            !members.iter().any(|member| member.index == *index)
        });
        let workers = others.flat_map(|(_, task)| &task.workers);
        let racks = workers.filter_map(|id| {
            Some(self.workers.get(id)?.listing.rack.as_str())
        });
        racks.collect()
    }
}
