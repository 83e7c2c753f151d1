/*!
Resolution of write conflicts on a job's progress record.

Each write of a job's [`Progress`] is a compare-and-swap: it is conditional on
the version of the record that the writer last saw, and on the writer's lease.
When the store refuses a write although the lease is still valid, no other node
schedules, and only the writer's view of this one record is wrong. Causes are
an earlier write of its own whose answer was lost, a read that missed the
record, or a change by an unknown client. Releasing the lease would not help,
since the next holder would find the same record. The writer instead examines
the record that the store returned with the refusal and continues from it:

| the stored record | resolution |
|---|---|
| has a final phase | [`Resolution::Finished`] |
| equals the one to be written, which isn't final | [`Resolution::Stored`] |
| differs, and neither side has a final phase | [`Resolution::Merge`] |
| is absent, or isn't final while the new one is | [`Resolution::Retry`] |
| can't be decoded; an earlier version is known | [`Resolution::Retry`] |
| can't be decoded; no earlier version is known | [`Resolution::LeaveAlone`] |

Repeated conflicts on the same record are retried with exponential backoff, see
[`retry_delay_ms`].

# Example

```
use dewspar::job::{
    Phase, Progress,
    conflict::{FoundRecord, Resolution, resolve},
};

let progress = |phase| Progress { phase, ..Progress::default() };
let (running, over) = (progress(Phase::Running), progress(Phase::Completed));

// The answer to an earlier attempt of the same write was lost.
let found = FoundRecord::Readable(running.clone());
assert_eq!(resolve(0, &running, found), Resolution::Stored);
// The job finished under a previous holder.
let found = FoundRecord::Readable(over.clone());
assert_eq!(resolve(0, &running, found), Resolution::Finished(over));
// It isn't known which tasks were done.
let found = FoundRecord::Unreadable;
assert_eq!(resolve(0, &running, found), Resolution::LeaveAlone);
```
*/

use crate::job::Progress;

/// The delay after the second consecutive conflict on a record, in
/// milliseconds: the store has just answered, and another client that changes
/// the record needs some time to finish.
const INITIAL_RETRY_DELAY_MS: u64 = 100;

/// The longest retry delay, in milliseconds. A record in permanent conflict
/// costs one write per delay, and is written soon after the conflict ends.
const MAX_RETRY_DELAY_MS: u64 = 3_200;

/// A job's progress record as returned with a refused write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundRecord {
    /// The record doesn't exist.
    Absent,
    /// The record exists and was decoded.
    Readable(Progress),
    /// The record exists but can't be decoded.
    Unreadable,
}

/// How the writer continues with a job after a conflict on its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The record equals the one to be written: the write counts as done.
    Stored,
    /// The record has a final phase. Adopt it and write it once more, so that
    /// the other changes of the same transaction, such as deleting the job's
    /// other keys, are made too.
    Finished(Progress),
    /// Merge the record into the local state, then write again.
    Merge(Progress),
    /// Write again; the record has nothing that the writer needs.
    Retry,
    /// It isn't known which tasks were done: start no more tasks of the job.
    LeaveAlone,
}

impl Resolution {
    /// Returns the name of the resolution in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Resolution::Stored => "stored",
            Resolution::Finished(_) => "over",
            Resolution::Merge(_) => "go_on_from",
            Resolution::Retry => "write_again",
            Resolution::LeaveAlone => "leave_alone",
        }
    }
}

/// Returns how to resolve a conflict in which `ours` was to replace the record
/// at version `expected`, and the store returned `found`.
///
/// An `expected` version of 0 stands for no record. The result is only valid
/// while the writer holds its lease.
pub fn resolve(
    expected: u64,
    ours: &Progress,
    found: FoundRecord,
) -> Resolution {
    match found {
        FoundRecord::Absent => Resolution::Retry,
        FoundRecord::Readable(theirs) if theirs.phase.is_final() => {
            Resolution::Finished(theirs)
        }
        // No task of a finished job starts again, so which of them are done
        // no longer matters.
        FoundRecord::Readable(_) if ours.phase.is_final() => Resolution::Retry,
        FoundRecord::Readable(theirs) if theirs == *ours => Resolution::Stored,
        FoundRecord::Readable(theirs) => Resolution::Merge(theirs),
        // Every task may already have run under a previous holder.
        FoundRecord::Unreadable if expected == 0 => Resolution::LeaveAlone,
        // The writer knows the earlier content of the record.
        FoundRecord::Unreadable => Resolution::Retry,
    }
}

/// Returns the delay before the next write of a record after this many
/// consecutive conflicts, in milliseconds.
///
/// # Example
///
/// ```
/// use dewspar::job::conflict::retry_delay_ms;
///
/// // The current version is known after one conflict, so the next write
/// // usually succeeds.
/// assert_eq!(retry_delay_ms(1), 0);
/// assert_eq!(retry_delay_ms(2), 100);
/// assert_eq!(retry_delay_ms(4), 400);
/// assert_eq!(retry_delay_ms(100), 3_200);
/// ```
pub fn retry_delay_ms(consecutive_conflicts: u32) -> u64 {
    let Some(doublings) = consecutive_conflicts.checked_sub(2) else {
        return 0;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    INITIAL_RETRY_DELAY_MS.saturating_mul(factor).min(MAX_RETRY_DELAY_MS)
}
