/*!
Ordered writes of a record that a single writer repeatedly replaces.

A write whose answer was lost may still take effect later, after newer writes.
If writes are conditional only on the writer's lease, the delayed write then
replaces newer content with older, and the next reader continues from stale
state. Each write is therefore also a compare-and-swap on the record's version,
and a writer has at most one write in flight: once one write has taken effect,
all others for the same version fail.

[`RecordWriter`] tracks the version and decides when to write. The content of
the record and the write itself are up to the caller.

# Example

```
use dewspar::record::{RecordWriteOutcome, RecordWriter};

let mut writer = RecordWriter::default();
writer.set_version(7);
writer.mark_dirty();
assert!(writer.is_due(1_000));
assert_eq!(writer.begin_write(), 7);
// A change during a write is written after it.
writer.mark_dirty();
assert!(!writer.is_due(1_000));
writer.finish_write(RecordWriteOutcome::Done(9), 1_000);
assert!(writer.is_due(1_000));
assert_eq!(writer.begin_write(), 9);
// The outcome is unknown: the write is retried on the same version.
writer.finish_write(RecordWriteOutcome::Failed, 1_000);
assert!(!writer.is_due(1_000));
assert!(writer.is_due(1_100));
```
*/

/// The delay before a failed write is retried, in milliseconds, so that a
/// store that has refused or lost a write isn't called again at once.
const RETRY_MS: u64 = 100;

/// The outcome of a write of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordWriteOutcome {
    /// The record was written and has this version.
    Done(u64),
    /// The record was at another version, or the writer's lease is over.
    Conflict {
        /// The record's current version; 0 if it doesn't exist.
        version: u64,
    },
    /// The record wasn't written, or the outcome is unknown.
    Failed,
}

/// Decides when a record is written, and on which version each write depends.
#[derive(Clone, Debug, Default)]
pub struct RecordWriter {
    /// The record's version; 0 if it doesn't exist.
    version: u64,
    is_dirty: bool,
    is_writing: bool,
    /// The earliest time of the next write, in milliseconds.
    retry_at_ms: u64,
}

impl RecordWriter {
    /// Creates the writer of a record that was read at this version; 0 if it
    /// doesn't exist.
    pub fn at_version(version: u64) -> RecordWriter {
        RecordWriter { version, ..RecordWriter::default() }
    }

    /// Sets the version at which the record was read; 0 if it doesn't exist.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Marks the content as changed since the last write.
    pub fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Returns whether a write should begin now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.is_dirty && !self.is_writing && now_ms >= self.retry_at_ms
    }

    /// Returns whether a write is in flight.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Begins a write of the newest content and returns the version that the
    /// write depends on; 0 if the record must not exist.
    pub fn begin_write(&mut self) -> u64 {
        self.is_dirty = false;
        self.is_writing = true;
        self.version
    }

    /// Ends the write in flight; one that didn't succeed becomes due again
    /// after a delay.
    pub fn finish_write(&mut self, outcome: RecordWriteOutcome, now_ms: u64) {
        self.is_writing = false;
        match outcome {
            RecordWriteOutcome::Done(version) => {
                self.version = version;
                return;
            }
            RecordWriteOutcome::Conflict { version } => self.version = version,
            RecordWriteOutcome::Failed => {}
        }
        self.is_dirty = true;
        self.retry_at_ms = now_ms + RETRY_MS;
    }
}
