/*!
Worker restarts: processes that end and may start again under the same
identifier.

A worker's identifier outlives its process, but everything known of a worker
belongs to one process: its runs, the ends it has reported, its clock and the
highest token it has seen. So all of that is reset for the next process. A
process reports its start time in the directory and in each answer:

- A process that started later than the known one replaces it. The runs that
  the known one had listed have certainly ended. An unanswered order may still
  be carried out by the next process, so its task waits until that process has
  answered under a higher token than any used before.
- A process that started earlier is a former one, in whatever order its answers
  and entries arrive. What it reports is ignored.

Room that is reserved on the worker stays reserved, since it belongs to the VM.
Whether the worker is to be drained is decided anew, as its VM may just have
been moved or maintained.

A process that has ended or whose lease was over is remembered. So its
directory entry doesn't bring it back, and the tokens of the next process
continue from its own.

# Example

```text
process born at 100   lists task a; is sent task b; ends
process born at 108   its entry is read: a has ended, b may still begin there
  a hold under a higher token lists nothing: b has ended too
process born at 100   a late answer: ignored
```
*/

use {
    super::worker::{TokensUsed, Worker},
    crate::{
        job::TaskId,
        schedule::{
            Decision, Incarnation, Now, Scheduler, WorkerId, WorkerListing,
            suspects::LostRuns,
        },
    },
    std::collections::BTreeMap,
};

/// For how long after a process has ended its directory entry may still be
/// read, in milliseconds: several times the three heartbeats after which
/// entries expire.
const ENTRY_EXPIRY_MS: u64 = 10_000;

/// How a reporting process relates to the known process of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IncarnationOrder {
    /// It is the known process.
    Same,
    /// It has replaced the known process.
    Newer,
    /// It was replaced by the known process.
    Older,
}

impl IncarnationOrder {
    pub(super) fn compare(
        reported: Incarnation,
        known: Incarnation,
    ) -> IncarnationOrder {
        if reported == known || known == Incarnation::UNKNOWN {
            IncarnationOrder::Same
        } else if reported > known {
            IncarnationOrder::Newer
        } else {
            IncarnationOrder::Older
        }
    }
}

/// How a process became a former one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessEnd {
    /// It has ended.
    Ended,
    /// It was silent until its lease was over or its directory entry had
    /// expired, and may come back.
    Lapsed,
}

/// The last process of a worker that is no longer in use.
#[derive(Clone, Copy, Debug)]
struct FormerProcess {
    incarnation: Incarnation,
    tokens_used: TokensUsed,
    end: ProcessEnd,
    ended_ms: u64,
}

/// The workers that are no longer in use, each with its last process.
#[derive(Debug, Default)]
pub(super) struct FormerProcesses(BTreeMap<WorkerId, FormerProcess>);

impl FormerProcesses {
    /// Notes that a worker's process has ended.
    pub(super) fn ended(&mut self, worker: &Worker, now: Now) {
        let former = FormerProcess {
            incarnation: worker.listing.incarnation,
            tokens_used: worker.tokens_used(),
            end: ProcessEnd::Ended,
            ended_ms: now.steady_ms,
        };
        self.0.insert(worker.id().clone(), former);
    }

    /// Notes that a worker's process, which was noted as ended, may come back.
    pub(super) fn mark_lapsed(&mut self, id: &WorkerId) {
        if let Some(former) = self.0.get_mut(id) {
            former.end = ProcessEnd::Lapsed;
        }
    }

    /// Notes that a list of VMs that was requested at this time of the steady
    /// clock, in milliseconds, shows a worker as alive.
    ///
    /// If its process was noted as ended before, that was wrong, or the list
    /// is late. So it may come back: it isn't used before it answers. One that
    /// reports its start time comes back without this.
    pub(super) fn shown_alive(&mut self, id: &WorkerId, asked_ms: u64) {
        let may_return = |former: &FormerProcess| {
            former.incarnation == Incarnation::UNKNOWN
                && former.ended_ms < asked_ms
        };
        if self.0.get(id).is_some_and(may_return) {
            self.mark_lapsed(id);
        }
    }

    /// Returns whether a worker's last process is known to have ended.
    pub(super) fn has_ended(&self, id: &WorkerId) -> bool {
        self.0.get(id).is_some_and(|former| former.end == ProcessEnd::Ended)
    }

    /// Returns whether a worker's last process had ended before this time of
    /// the steady clock, in milliseconds.
    pub(super) fn had_ended(&self, id: &WorkerId, by_ms: u64) -> bool {
        let former = self.0.get(id);
        former
            .is_some_and(|f| f.end == ProcessEnd::Ended && f.ended_ms < by_ms)
    }

    /// Returns whether an entry that was requested at this time, in
    /// milliseconds, belongs to a process that has ended.
    pub(super) fn is_from_ended(
        &self,
        listing: &WorkerListing,
        asked_ms: u64,
    ) -> bool {
        let Some(former) = self.0.get(&listing.id) else { return false };
        let may_linger = asked_ms < former.ended_ms + ENTRY_EXPIRY_MS;
        former.end == ProcessEnd::Ended
            && listing.incarnation <= former.incarnation
            && (may_linger || listing.incarnation == Incarnation::UNKNOWN)
    }

    /// Takes the tokens that were used on a worker.
    pub(super) fn take_tokens_used(
        &mut self,
        id: &WorkerId,
    ) -> Option<TokensUsed> {
        self.0.remove(id).map(|former| former.tokens_used)
    }
}

impl Scheduler {
    /// Compares the reporting process of a worker with the known one, and
    /// notes it if they differ.
    pub(super) fn check_incarnation(
        &mut self,
        id: &WorkerId,
        reported: Incarnation,
        source: &'static str,
    ) -> IncarnationOrder {
        let Some(worker) = self.workers.get(id) else {
            return IncarnationOrder::Same;
        };
        let known = worker.listing.incarnation;
        let judged = IncarnationOrder::compare(reported, known);
        if judged != IncarnationOrder::Same {
            let worker = id.clone();
            self.note(Decision::OtherProcess {
                worker,
                known,
                told: reported,
                source,
            });
        }
        judged
    }

    /// Replaces a worker's process by the next one.
    ///
    /// `reported_at_ms` is the time as of which the next process's own report
    /// is known, in milliseconds of the steady clock; 0 if there is none yet.
    pub(super) fn replace_process(
        &mut self,
        listing: WorkerListing,
        reported_at_ms: u64,
        now: Now,
    ) {
        let id = listing.id.clone();
        self.withdraw_starts_on(&id, now);
        let Some(mut former) = self.workers.remove(&id) else { return };
        if former.may_run_unknown(self.own_lease.confirmed_ms(now)) {
            self.own_lease.note_unlisted_ends();
        }
        let lost = LostRuns::of(&former, now);
        let answered_ms = former.answered_worker_ms();
        let had_lapsed = former.is_lapsed();
        let ended = former.take_listed_runs();
        let mut next = former.next_process(listing, now, &self.options);
        next.reported_at_ms = reported_at_ms;
        // It doesn't know the token of a successor that asked its predecessor.
        next.listed_in = self.own_lease.detachment();
        let cold_remaining_ms = next.listing.cold_remaining_ms;
        next.cold.relisted(reported_at_ms, cold_remaining_ms);
        next.listed |= reported_at_ms > 0;
        let outlived: Vec<TaskId> = next.runs.keys().copied().collect();
        self.workers.insert(id.clone(), next);
        for task in &outlived {
            self.update_recorded_process(task, &id);
        }
        self.token_claims.forget(&id);
        self.forget_tickets(&id);
        let reason = "its worker restarted";
        self.lose_runs(&id, ended, answered_ms, reason, now);
        if !had_lapsed {
            self.note_crash(&id, &lost, now);
        }
    }

    /// Notes that a worker's next process is now the one that may carry out
    /// the order to start a task. The end of the previous process is known and
    /// must not be counted again by the next holder.
    fn update_recorded_process(&mut self, task: &TaskId, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let process = worker.listing.incarnation;
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.ordered_process = process;
        }
    }
}
