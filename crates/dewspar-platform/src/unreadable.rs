/*!
What was read and can't be understood.

Others write to the same store: an entry may lack fields, hold other types or
no text at all. Whoever reads it passes over it and keeps the rest; one such
entry must not take a whole directory away. So that it isn't passed over in
silence, it is noted here, each version of it once, and whoever runs the node
logs and counts what is noted.

# Example

```
use dewspar_platform::{Unreadable, UnreadableNotes};

let notes = UnreadableNotes::default();
let odd = Unreadable {
    what: "worker's entry",
    key: "servers/w-1".to_owned(),
    version: 7,
    reason: "it has no address".to_owned(),
};
notes.note(odd.clone());
notes.note(odd);
assert_eq!(notes.take().len(), 1);
assert!(notes.take().is_empty());
```
*/

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// How many things are remembered, so that each version is noted once: more
/// than a few writers of odd entries make. Beyond that, the first by key is
/// forgotten and noted again when it is read.
const MOST_KNOWN: usize = 1_000;

/// How many notes wait to be taken: a log line each, within a second.
const MOST_WAITING: usize = 100;

/// Something that was read and can't be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
    /// What it should be.
    pub what: &'static str,
    /// Its key, or another name of it.
    pub key: String,
    /// Its version; 0 for what has none.
    pub version: u64,
    /// Why it can't be understood.
    pub reason: String,
}

/// Notes of what couldn't be understood; clones share them.
#[derive(Clone, Debug, Default)]
pub struct UnreadableNotes(Arc<Mutex<Notes>>);

#[derive(Debug, Default)]
struct Notes {
    /// The version that was noted of each.
    known: BTreeMap<(&'static str, String), u64>,
    waiting: Vec<Unreadable>,
}

impl UnreadableNotes {
    /// Notes something, unless this version of it is noted already.
    pub fn note(&self, unreadable: Unreadable) {
        let mut notes = self.notes();
        let key = (unreadable.what, unreadable.key.clone());
        let known = notes.known.insert(key, unreadable.version);
        if known == Some(unreadable.version) {
            return;
        }
        if notes.known.len() > MOST_KNOWN {
            notes.known.pop_first();
        }
        if notes.waiting.len() < MOST_WAITING {
            notes.waiting.push(unreadable);
        }
    }

    /// Takes what was noted since the last call, oldest first.
    pub fn take(&self) -> Vec<Unreadable> {
        mem::take(&mut self.notes().waiting)
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        // OK after a panic: each change of it is whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
