/*!
The store version of each job's record, as last known to the holder.

The holder writes a job's record by compare-and-swap on the version known here.
A version comes from one of three sources: the record was loaded, this holder
wrote it, or a conflicting write returned it. The source is kept so that a
later conflict can be explained in the log.

Versions are counted for the whole store, so of any two the higher one belongs
to the later write. A loaded version is as old as the read that returned it,
and the holder may have written the record since. The higher version is
therefore kept, in whatever order the two become known.
*/

use {dewspar::job::JobId, serde::Serialize, std::collections::BTreeMap};

/// How the holder learned a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum VersionSource {
    /// The record was loaded.
    Loaded,
    /// This holder wrote it.
    Written,
    /// A conflicting write returned it.
    Found,
}

/// A record's version, and how the holder learned it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KnownVersion {
    pub(super) version: u64,
    pub(super) source: VersionSource,
}

/// The known versions of all job records.
#[derive(Debug, Default)]
pub(super) struct RecordVersions {
    known: BTreeMap<JobId, KnownVersion>,
    /// The number of consecutive write conflicts of a record.
    conflicts: BTreeMap<JobId, u32>,
}

impl RecordVersions {
    /// Returns the version that a write of the job's record expects; 0 if
    /// there is no record.
    pub(super) fn expected(&self, id: JobId) -> u64 {
        self.known.get(&id).map_or(0, |known| known.version)
    }

    /// Returns how the version of the job's record was learned; `None` if no
    /// record is known.
    pub(super) fn source(&self, id: JobId) -> Option<VersionSource> {
        self.known.get(&id).map(|known| known.source)
    }

    /// Stores the version at which a record was loaded.
    pub(super) fn note_loaded(&mut self, id: JobId, version: u64) {
        self.note(id, version, VersionSource::Loaded);
    }

    /// Stores the version at which this holder wrote a record.
    pub(super) fn note_written(&mut self, id: JobId, version: u64) {
        self.conflicts.remove(&id);
        self.note(id, version, VersionSource::Written);
    }

    /// Stores the version that a conflicting write returned, 0 if there is no
    /// record; returns the number of consecutive conflicts of this record.
    pub(super) fn note_found(&mut self, id: JobId, version: u64) -> u32 {
        // Replaces even a higher version: the store returned it with the
        // conflict, and no other write of the record is in flight.
        let source = VersionSource::Found;
        self.known.insert(id, KnownVersion { version, source });
        let times = self.conflicts.entry(id).or_default();
        *times = times.saturating_add(1);
        *times
    }

    /// Removes a record that this holder deletes.
    pub(super) fn forget(&mut self, id: JobId) {
        self.known.remove(&id);
        self.conflicts.remove(&id);
    }

    fn note(&mut self, id: JobId, version: u64, source: VersionSource) {
        // A read may be processed after a write that it doesn't include; with
        // its version the next write would conflict.
        if version > self.expected(id) {
            self.known.insert(id, KnownVersion { version, source });
        }
    }
}
