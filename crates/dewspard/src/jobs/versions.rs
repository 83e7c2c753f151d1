/*!
At which version the holder knows each job's record to be.

A holder writes a job's record under the condition that it is still at the
version known here. A version comes from one of three sources: the record was
loaded, this holder wrote it, or a refused write told what it found. Which one
it was is kept, so that a refusal can be explained.

Versions are those of the whole store, so any two of them tell which write was
the later one. What is loaded is as old as its reading, and the holder may have
written the same record since: of two versions the later one is kept, in
whatever order they become known.
*/

use {dewspar::job::JobId, serde::Serialize, std::collections::BTreeMap};

/// How the holder came to know a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum VersionSource {
    /// The record was loaded.
    Loaded,
    /// This holder wrote it.
    Written,
    /// A refused write found it.
    Found,
}

/// A record's version, and how the holder came to know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KnownVersion {
    pub(super) version: u64,
    pub(super) source: VersionSource,
}

/// The versions of the records that the holder knows of.
#[derive(Debug, Default)]
pub(super) struct RecordVersions {
    known: BTreeMap<JobId, KnownVersion>,
    /// How often in a row a record was found otherwise than expected.
    conflicts: BTreeMap<JobId, u32>,
}

impl RecordVersions {
    /// Returns the version that a write of the job's record expects; 0 for no
    /// record.
    pub(super) fn expected(&self, id: JobId) -> u64 {
        self.known.get(&id).map_or(0, |known| known.version)
    }

    /// Returns how the job's version came to be known; `None` where no record
    /// is known.
    pub(super) fn source(&self, id: JobId) -> Option<VersionSource> {
        self.known.get(&id).map(|known| known.source)
    }

    /// Notes the version at which a record was loaded.
    pub(super) fn note_loaded(&mut self, id: JobId, version: u64) {
        self.note(id, version, VersionSource::Loaded);
    }

    /// Notes the version at which this holder wrote a record.
    pub(super) fn note_written(&mut self, id: JobId, version: u64) {
        self.conflicts.remove(&id);
        self.note(id, version, VersionSource::Written);
    }

    /// Notes the version at which a refused write found a record, 0 for none;
    /// returns how often in a row that was another than expected.
    pub(super) fn note_found(&mut self, id: JobId, version: u64) -> u32 {
        // Known better than any other: the store said so when it refused, and
        // no other write of the record is under way.
        let source = VersionSource::Found;
        self.known.insert(id, KnownVersion { version, source });
        let times = self.conflicts.entry(id).or_default();
        *times = times.saturating_add(1);
        *times
    }

    /// Forgets a record that this holder deletes.
    pub(super) fn forget(&mut self, id: JobId) {
        self.known.remove(&id);
        self.conflicts.remove(&id);
    }

    fn note(&mut self, id: JobId, version: u64, source: VersionSource) {
        // A reading may be taken in after a write that it doesn't show; the
        // next write would expect a version that is gone.
        if version > self.expected(id) {
            self.known.insert(id, KnownVersion { version, source });
        }
    }
}
