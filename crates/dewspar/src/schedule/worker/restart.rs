/*!
State that a worker's next process inherits: only the room that is reserved
there and the orders that may still be carried out.
*/

use {
    super::{
        Run, RunState, TOKENS_PER_LEASE, TokensUsed, Worker,
        clock::max_elapsed_ms,
    },
    crate::{
        job::TaskId,
        schedule::{Now, Options, WorkerListing, in_doubt::MAX_DELIVERY_MS},
    },
    std::collections::BTreeMap,
};

impl Worker {
    /// Returns a worker that is listed again after its lease was over or its
    /// process had ended. Nothing runs there, and nothing starts before it
    /// answers.
    ///
    /// Its tokens continue from the earlier ones, since an order under one of
    /// these may still be in transit.
    pub(crate) fn relisted(
        listing: WorkerListing,
        lease_revision: u64,
        tokens_used: TokensUsed,
        now_ms: u64,
        options: &Options,
    ) -> Worker {
        let TokensUsed(fences) = tokens_used;
        Worker {
            fences: (fences + 1).min(TOKENS_PER_LEASE - 1),
            synced: true,
            lease_over_ms: now_ms,
            silent_since_ms: Some(now_ms),
            is_lapsed: true,
            ..Worker::new(listing, lease_revision, now_ms, options)
        }
    }

    /// Takes the runs that the worker's process has listed and that end with
    /// it.
    pub(crate) fn take_listed_runs(&mut self) -> BTreeMap<TaskId, Run> {
        let listed = |_: &TaskId, run: &mut Run| run.is_listed;
        self.runs.extract_if(.., listed).collect()
    }

    /// Returns the worker as it is with its next process.
    ///
    /// The remaining runs are those whose orders the next process may carry
    /// out instead of this one.
    pub(crate) fn next_process(
        self,
        listing: WorkerListing,
        now: Now,
        options: &Options,
    ) -> Worker {
        let now_ms = now.steady_ms;
        let mut next = Worker {
            fences: (self.fences + 1).min(TOKENS_PER_LEASE - 1),
            synced: self.synced,
            reserved: self.reserved,
            listed: self.listed,
            ..Worker::new(listing, self.lease_revision, now_ms, options)
        };
        next.sum_reserved();
        // The order names a time of the former process's clock, which may be
        // far ahead of the next one's, so that only the longest lease bounds
        // a run that begins late.
        let longest_ms =
            MAX_DELIVERY_MS + max_elapsed_ms(options.max_lease_ms);
        for (task, run) in self.runs {
            let over_ms = run.since_ms + longest_ms;
            next.lease_over_ms = next.lease_over_ms.max(over_ms);
            next.insert(task, run.carried_over());
        }
        next
    }
}

impl Run {
    /// Turns the run into one that was ordered from a process that has ended,
    /// and that may begin on the next process.
    fn carried_over(self) -> Run {
        let state = match self.state {
            RunState::Starting
            | RunState::Running
            | RunState::EndUnreported => RunState::Starting,
            RunState::Stopping(mut stop) => {
                stop.begun = false;
                RunState::Stopping(stop)
            }
        };
        Run { state, confirmed_from_ms: None, process_has_ended: true, ..self }
    }
}
