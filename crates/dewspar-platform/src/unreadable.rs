/*!
What was read and can't be understood.

Others write to the same store: an entry may lack fields, hold other types or
no text at all. Whoever reads it passes over it and keeps the rest; one such
entry must not take a whole directory away. So that it isn't passed over in
silence, it is noted here, each version of it once, and whoever runs the node
logs and counts what is noted.

However many such things there are and however large they are, notes take
little room and few lines: names and reasons are cut, and of what comes thick
and fast only a number is kept.

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
assert_eq!(notes.take().told.len(), 1);
assert!(notes.take().told.is_empty());
```
*/

use std::{
    collections::BTreeMap,
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// How many things are remembered at least, so that each version is noted
/// once: more than a few writers of odd entries make. Twice as many at most.
const REMEMBERED: usize = 1_000;

/// How many notes are told in full while few come: a log line each.
const MOST_TOLD: usize = 100;

/// How many more may be told in full with each taking, which is each second:
/// a line a second, for as long as odd things come.
const TOLD_A_TAKING: usize = 1;

/// How much of a name or a reason is kept, in characters: decoders quote what
/// they refuse, which may be as large as the store takes.
const MOST_CHARS: usize = 200;

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

/// What was noted since the last taking.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TakenNotes {
    /// What is told in full, oldest first.
    pub told: Vec<Unreadable>,
    /// How many more there were, by what they should be.
    pub untold: BTreeMap<&'static str, u64>,
}

/// Notes of what couldn't be understood; clones share them.
#[derive(Clone, Debug, Default)]
pub struct UnreadableNotes(Arc<Mutex<Notes>>);

/// What a note is about: what it should be, and its key.
type Subject = (&'static str, String);

#[derive(Debug)]
struct Notes {
    /// The version that was noted of each, of late and before.
    newer: BTreeMap<Subject, u64>,
    older: BTreeMap<Subject, u64>,
    waiting: TakenNotes,
    /// How many more may be told in full.
    may_tell: usize,
}

impl Default for Notes {
    fn default() -> Notes {
        Notes {
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
            waiting: TakenNotes::default(),
            may_tell: MOST_TOLD,
        }
    }
}

impl Notes {
    /// Remembers a version; returns whether it is news.
    fn remember(&mut self, subject: Subject, version: u64) -> bool {
        let before = self.older.get(&subject).copied();
        let known = self.newer.insert(subject, version).or(before);
        if self.newer.len() >= REMEMBERED {
            self.older = mem::take(&mut self.newer);
        }
        known != Some(version)
    }
}

impl UnreadableNotes {
    /// Notes something, unless this version of it is noted already.
    pub fn note(&self, unreadable: Unreadable) {
        if let Some(told) = self.news(unreadable) {
            self.notes().waiting.told.push(told);
        }
    }

    /// Notes something, and hands it back if it is to be told at once rather
    /// than taken: if it is news, and not one of too many.
    pub fn news(&self, unreadable: Unreadable) -> Option<Unreadable> {
        let Unreadable { what, key, version, reason } = unreadable;
        let (key, reason) = (cut(key), cut(reason));
        let mut notes = self.notes();
        if !notes.remember((what, key.clone()), version) {
            return None;
        }
        if notes.may_tell == 0 {
            *notes.waiting.untold.entry(what).or_default() += 1;
            return None;
        }
        notes.may_tell -= 1;
        Some(Unreadable { what, key, version, reason })
    }

    /// Takes what was noted since the last call; to be called each second.
    pub fn take(&self) -> TakenNotes {
        let mut notes = self.notes();
        notes.may_tell = (notes.may_tell + TOLD_A_TAKING).min(MOST_TOLD);
        mem::take(&mut notes.waiting)
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        // OK after a panic: each change of it is whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cuts a text that is too long to be told.
fn cut(mut text: String) -> String {
    if let Some((end, _)) = text.char_indices().nth(MOST_CHARS) {
        text.truncate(end);
        text.push('…');
    }
    text
}
