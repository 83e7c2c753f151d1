/*!
How new workers are looked up when many come at once.

The list of VMs names a new worker before the directory's next read has its
address. A single worker is looked up at once. When a data hall returns,
hundreds of workers are new at the same time, and one read of the whole
directory serves all of them: a lookup takes 400 bytes and a call, an entry in
a read takes 300 bytes.
*/

use crate::schedule::{Scheduler, WorkerId};

/// The number of workers up to which each is looked up singly. As many lookups
/// are in flight at a time.
const MAX_SINGLE_LOOKUPS: usize = 32;

/// How the unlisted workers are looked up in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerLookup {
    /// Each by a call of its own.
    Singly(Vec<WorkerId>),
    /// All by one read of the directory.
    Together,
}

impl Scheduler {
    /// Returns how the workers are looked up that the list of VMs shows and
    /// whose directory entries aren't known.
    pub fn plan_lookups(&self) -> WorkerLookup {
        let unlisted = self.unlisted_workers();
        if self.halls.is_enabled() && unlisted.len() > MAX_SINGLE_LOOKUPS {
            WorkerLookup::Together
        } else {
            WorkerLookup::Singly(unlisted)
        }
    }
}
