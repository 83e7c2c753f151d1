/*!
What a writer makes of a job's record that isn't as it expected.

Each write of a job's [`Progress`] is conditional on the version of the record
that the writer knows, and on the writer's lease. When the store refuses a write
although the lease stands, nobody else schedules, and only what the writer knew
of this one record is wrong: a write of its own whose answer was lost, a reading
that missed the record, or an entry by an unknown hand. That is no reason to
give the lease up, since the next holder would meet the same record. The writer
judges what the store returned with the refusal, and goes on from there:

| the record | what becomes of the job |
|---|---|
| says what was to be written | [`Resolution::Stored`] |
| says that the job is over | [`Resolution::Finished`] |
| says more or other things than the writer knows | [`Resolution::Merge`] |
| is gone, or older than what the writer knows | [`Resolution::Retry`] |
| can't be read, and the writer knew of none | [`Resolution::LeaveAlone`] |

A record that is found changed again and again is written less and less often,
see [`retry_delay_ms`].

# Example

```
use dewspar::job::{
    Phase, Progress,
    conflict::{FoundRecord, Resolution, resolve},
};

let progress = |phase| Progress { phase, ..Progress::default() };
let (running, over) = (progress(Phase::Running), progress(Phase::Completed));

// The answer to an earlier try of the same write was lost.
let found = FoundRecord::Readable(running.clone());
assert_eq!(resolve(0, &running, found), Resolution::Stored);
// The job came to its end under a former holder.
let found = FoundRecord::Readable(over.clone());
assert_eq!(resolve(0, &running, found), Resolution::Finished(over));
// Nothing is known of what was done.
let found = FoundRecord::Unreadable;
assert_eq!(resolve(0, &running, found), Resolution::LeaveAlone);
```
*/

use crate::job::Progress;

/// The pause before a record is written again that was found changed twice in
/// a row, in milliseconds: the store has just answered, and a change by another
/// hand needs a moment to be over.
const INITIAL_RETRY_DELAY_MS: u64 = 100;

/// The longest pause, in milliseconds: one bad record then costs one write in
/// that time, and is written soon after it is let alone.
const MAX_RETRY_DELAY_MS: u64 = 3_200;

/// A job's record as a refused write found it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoundRecord {
    /// There is none.
    Absent,
    /// It says this.
    Readable(Progress),
    /// It can't be read.
    Unreadable,
}

/// What is to be done about a job whose record was found changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The record holds what was to be written: the write counts as done.
    Stored,
    /// The job came to its end, as the record says; it is written once more,
    /// so that all that goes with the end is done.
    Finished(Progress),
    /// Take in what the record says, then write again.
    Merge(Progress),
    /// Write again; the record has nothing to tell.
    Retry,
    /// What was done of the job isn't known: run nothing more of it.
    LeaveAlone,
}

impl Resolution {
    /// Returns a short name of the resolution, for logs.
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

/// Decides what becomes of a job whose record was expected at a version, 0 for
/// no record, and found otherwise, while `ours` was to be written.
///
/// Holds only while the writer's lease stands.
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
        // Nothing of a job that is over starts again, whatever was done of it.
        FoundRecord::Readable(_) if ours.phase.is_final() => Resolution::Retry,
        FoundRecord::Readable(theirs) if theirs == *ours => Resolution::Stored,
        FoundRecord::Readable(theirs) => Resolution::Merge(theirs),
        // All of it may have been done under a former holder.
        FoundRecord::Unreadable if expected == 0 => Resolution::LeaveAlone,
        // What it said before is known here.
        FoundRecord::Unreadable => Resolution::Retry,
    }
}

/// Returns how long to wait before a record is written again that was found
/// changed so many times in a row, in milliseconds.
///
/// # Example
///
/// ```
/// use dewspar::job::conflict::retry_delay_ms;
///
/// // What was found is known now, so the next write usually takes place.
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
