/*!
The state of each key, from the entries that a node has read or written.

The newest intent is in force until an outcome of the same attempt settles it;
an outcome of any other attempt is ignored.
*/

use {
    crate::once::{
        Actor, Filing, Key, Outcome,
        stored::{Entry, is_expired},
    },
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// The reason why a filing with this key can't be run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeyStatus {
    /// This actor's intent is queued, and may never be written.
    Pending(Actor),
    /// This actor's intent is written, without an outcome so far.
    Intended(Actor),
    /// The filing has this outcome.
    Settled(Outcome),
    /// The key was used with another body.
    OtherBody,
    /// The key is older than the retention window.
    TooOld,
    /// The key's timestamp is in the future.
    TooNew,
}

#[derive(Clone, Debug)]
struct KeyRecord {
    body_hash: u64,
    state: State,
    at_ms: u64,
}

#[derive(Clone, Debug)]
enum State {
    Intended(Actor),
    Settled(Outcome),
}

impl State {
    fn is_intended_by(&self, actor: &Actor) -> bool {
        matches!(self, State::Intended(by) if by == actor)
    }
}

/// The keys of one partition within the retention window.
#[derive(Debug, Default)]
pub(super) struct KnownKeys {
    keys: HashMap<Key, KeyRecord>,
}

impl KnownKeys {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the reason why a filing can't be run; `None` means that it can.
    pub(super) fn status(&self, filing: &Filing) -> Option<KeyStatus> {
        let known = self.keys.get(&filing.key)?;
        if known.body_hash != filing.body_hash {
            return Some(KeyStatus::OtherBody);
        }
        match &known.state {
            State::Settled(Outcome::NotRun) => None,
            State::Settled(outcome) => Some(KeyStatus::Settled(*outcome)),
            State::Intended(actor) => Some(KeyStatus::Intended(actor.clone())),
        }
    }

    /// Applies an entry that is stored at the platform.
    pub(super) fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Intent { filing, actor, at_ms } => {
                let state = State::Intended(actor.clone());
                let body_hash = filing.body_hash;
                let known = KeyRecord { body_hash, state, at_ms: *at_ms };
                self.keys.insert(filing.key, known);
            }
            Entry::Outcome { key, actor, outcome, .. } => {
                if let Some(known) = self.keys.get_mut(key)
                    && known.state.is_intended_by(actor)
                {
                    known.state = State::Settled(*outcome);
                }
            }
        }
    }

    /// Removes keys past the retention window.
    pub(super) fn forget_expired(&mut self, now_ms: u64) {
        self.keys.retain(|_, known| !is_expired(known.at_ms, now_ms));
    }
}
