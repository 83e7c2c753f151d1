/*!
Workers whose processes end, and may start again under their identifiers.

A worker's identifier outlives its process. What is known of a worker is known
of one process: what runs there, which of its ends were heard, what its clock
shows, which token it has seen. So all of that begins anew with the next process,
which tells when it was started, in the directory and in each answer:

- One that was started later than the known one takes its place. What the known
  one had listed as running has ended with it, for certain. What was sent to it
  and has no answer may still be carried out by the next: the tasks wait until
  that has answered under a token that is higher than any that was used before.
- One that was started earlier is a former one, whatever the order in which its
  answers and entries arrive: it says nothing.

The room that is kept there for tasks stays kept, since it is the VM's. Whether the
worker is to be emptied is decided anew: its VM may have been moved or maintained
just now.

A process that has ended or whose lease was over is remembered, so that its entry
in the directory doesn't bring it back, and so that the tokens of the next go on
from its own.

# Example

```text
process born at 100   lists task a; is sent task b; ends
process born at 108   its entry is read: a has ended, b may yet begin there
  asked under a higher token, lists nothing: b has ended too
process born at 100   an answer that was late: passed over
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

/// For how long after a process has ended its entry may still be read, in
/// milliseconds: several times the three heartbeats after which entries go.
const ENTRY_LINGERS_MS: u64 = 10_000;

/// How a process that tells of itself stands to the known one of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IncarnationOrder {
    /// It is the known one.
    Same,
    /// It has taken the known one's place.
    Newer,
    /// The known one has taken its place.
    Older,
}

impl IncarnationOrder {
    pub(super) fn compare(
        told: Incarnation,
        known: Incarnation,
    ) -> IncarnationOrder {
        if told == known || known == Incarnation::UNKNOWN {
            IncarnationOrder::Same
        } else if told > known {
            IncarnationOrder::Newer
        } else {
            IncarnationOrder::Older
        }
    }
}

/// How a process came to be a former one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessEnd {
    /// It has ended.
    Ended,
    /// It was silent until its lease was over, or until it had left the
    /// directory, and may be back.
    Lapsed,
}

/// The last process of a worker that isn't used any more.
#[derive(Clone, Copy, Debug)]
struct FormerProcess {
    incarnation: Incarnation,
    tokens_used: TokensUsed,
    end: ProcessEnd,
    ended_ms: u64,
}

/// The workers that aren't used any more, each with its last process.
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

    /// Notes that a worker's process may be back, of which it was noted that it
    /// had ended.
    pub(super) fn mark_lapsed(&mut self, id: &WorkerId) {
        if let Some(former) = self.0.get_mut(id) {
            former.end = ProcessEnd::Lapsed;
        }
    }

    /// Returns whether a worker's last process is known to have ended.
    pub(super) fn has_ended(&self, id: &WorkerId) -> bool {
        self.0.get(id).is_some_and(|former| former.end == ProcessEnd::Ended)
    }

    /// Returns whether a worker's last process had ended before this time of the
    /// steady clock, in milliseconds.
    pub(super) fn had_ended(&self, id: &WorkerId, by_ms: u64) -> bool {
        let former = self.0.get(id);
        former
            .is_some_and(|f| f.end == ProcessEnd::Ended && f.ended_ms < by_ms)
    }

    /// Returns whether an entry that was asked for at this time, in
    /// milliseconds, is that of a process that has ended.
    pub(super) fn is_from_ended(
        &self,
        listing: &WorkerListing,
        asked_ms: u64,
    ) -> bool {
        let Some(former) = self.0.get(&listing.id) else { return false };
        let lingers = asked_ms < former.ended_ms + ENTRY_LINGERS_MS;
        former.end == ProcessEnd::Ended
            && listing.incarnation <= former.incarnation
            && (lingers || listing.incarnation == Incarnation::UNKNOWN)
    }

    /// Takes the tokens out that were used up on a worker.
    pub(super) fn take_tokens_used(
        &mut self,
        id: &WorkerId,
    ) -> Option<TokensUsed> {
        self.0.remove(id).map(|former| former.tokens_used)
    }
}

impl Scheduler {
    /// Judges which process of a worker tells of itself, and notes it if that
    /// isn't the known one.
    pub(super) fn check_incarnation(
        &mut self,
        id: &WorkerId,
        told: Incarnation,
        source: &'static str,
    ) -> IncarnationOrder {
        let Some(worker) = self.workers.get(id) else {
            return IncarnationOrder::Same;
        };
        let known = worker.listing.incarnation;
        let judged = IncarnationOrder::compare(told, known);
        if judged != IncarnationOrder::Same {
            let worker = id.clone();
            self.note(Decision::OtherProcess { worker, known, told, source });
        }
        judged
    }

    /// Goes on with the next process of a worker, as of the time at which it was
    /// known what that says of itself, in milliseconds of the steady clock; 0
    /// for not yet.
    pub(super) fn replace_process(
        &mut self,
        listing: WorkerListing,
        reported_at_ms: u64,
        now: Now,
    ) {
        let id = listing.id.clone();
        self.withdraw_starts_on(&id, now);
        let Some(mut former) = self.workers.remove(&id) else { return };
        let lost = LostRuns::of(&former, now);
        let answered_ms = former.answered_worker_ms();
        let had_lapsed = former.is_lapsed();
        let ended = former.take_listed_runs();
        let mut next = former.next_process(listing, now, &self.options);
        next.reported_at_ms = reported_at_ms;
        next.listed |= reported_at_ms > 0;
        let outlived: Vec<TaskId> = next.runs.keys().copied().collect();
        self.workers.insert(id.clone(), next);
        for task in &outlived {
            self.update_recorded_process(task, &id);
        }
        self.claims.forget(&id);
        self.forget_tickets(&id);
        let reason = "its worker has started again";
        self.lose_runs(&id, ended, answered_ms, reason, now);
        if !had_lapsed {
            self.note_crash(&id, &lost, now);
        }
    }

    /// Notes that a worker's next process is now the one that may carry out the
    /// order to start a task: the end of the one before is known, and must not be
    /// found anew by the next holder.
    fn update_recorded_process(&mut self, task: &TaskId, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let process = worker.listing.incarnation;
        let job = self.jobs.get_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.ordered_process = process;
        }
    }
}
