/*!
A record that one writer replaces as a whole, again and again.

A write whose answer was lost may still be done later, after newer ones. If each
write only depends on the writer's lease, the older content then replaces the
newer one, and whoever reads it next goes on from there. So each write also
depends on the record's own version, and a writer has one of them under way at
a time: whatever is done first, the others can't be done any more.

[`RecordWriter`] keeps the version and says when to write; what the content is,
and how it is written, is up to its owner.

# Example

```
use dewspar::record::{RecordWriteOutcome, RecordWriter};

let mut writer = RecordWriter::default();
writer.set_version(7);
writer.mark_dirty();
assert!(writer.is_due(1_000));
assert_eq!(writer.begin_write(), 7);
// Changes that come meanwhile are written after it.
writer.mark_dirty();
assert!(!writer.is_due(1_000));
writer.finish_write(RecordWriteOutcome::Done(9), 1_000);
assert!(writer.is_due(1_000));
assert_eq!(writer.begin_write(), 9);
// Nobody knows whether it was done: written again, if the record is as it was.
writer.finish_write(RecordWriteOutcome::Failed, 1_000);
assert!(!writer.is_due(1_000));
assert!(writer.is_due(1_100));
```
*/

/// The pause before a record is written again that wasn't written, in
/// milliseconds: a store that has refused or lost a write isn't asked at once.
const RETRY_MS: u64 = 100;

/// What became of a write of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordWriteOutcome {
    /// It is in the store, at this version.
    Done(u64),
    /// The record was at another version, or the writer's lease is over.
    Conflict {
        /// The record's version; 0 for none.
        version: u64,
    },
    /// Nobody knows, or nothing was written.
    Failed,
}

/// When a record is written, and under which condition.
#[derive(Clone, Debug, Default)]
pub struct RecordWriter {
    /// The record's version; 0 for none.
    version: u64,
    is_dirty: bool,
    is_writing: bool,
    /// Until when it isn't written again, in milliseconds.
    retry_at_ms: u64,
}

impl RecordWriter {
    /// Notes at which version the record was found; 0 for none.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Notes that the content has changed since it was last written.
    pub fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Returns whether the record is to be written now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.is_dirty && !self.is_writing && now_ms >= self.retry_at_ms
    }

    /// Returns whether a write is under way.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Begins a write of the newest content; returns the version that it
    /// depends on, 0 for no record.
    pub fn begin_write(&mut self) -> u64 {
        self.is_dirty = false;
        self.is_writing = true;
        self.version
    }

    /// Notes what became of the write; one that wasn't done is owed again.
    pub fn finish_write(&mut self, written: RecordWriteOutcome, now_ms: u64) {
        self.is_writing = false;
        match written {
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
