/*!
Teams: who may call a queue, and what each team may use.

A *team* is a partner's group of callers. It has a quota, which limits what its
tasks may use at the same time over all workers, and a weight, which is its
share where there isn't room for everybody. A caller shows which team it
belongs to with an API key. Keys are secrets, so only their digests are kept:
a [`KeyDigest`] tells whether two keys are equal and can't be turned back into
a key, and it is never printed.

[`Teams`] are the teams of one version of the configuration. Which of them may
make a call is decided by [`QueueSet::access`](crate::job::QueueSet::access).

# Example

```
use dewspar::team::{KeyDigest, Team, Teams};

let notaries = Team { name: "notaries".to_owned(), ..Team::default() };
let teams = Teams::default().with(notaries, [KeyDigest::of(b"k-17")]);

let found = teams.holding(&KeyDigest::of(b"k-17")).unwrap();
assert_eq!(found.name, "notaries");
assert!(teams.holding(&KeyDigest::of(b"k-18")).is_none());
assert_eq!(format!("{:?}", KeyDigest::of(b"k-17")), "KeyDigest(..)");
```
*/

use {
    crate::schedule::Resources,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{collections::HashMap, fmt, sync::Arc},
};

/// A team of callers.
///
/// Each accepted job carries a copy, so that its quota is known while the team
/// is missing from the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// The team's share relative to the others' where there isn't room for
    /// all.
    pub weight: u64,
    /// What the team's tasks may use at the same time over all workers. A
    /// resource of which it has 0 isn't limited.
    pub quota: Resources,
}

/// The digest of an API key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The teams of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Teams {
    teams: Vec<Arc<Team>>,
    /// The position in `teams` of the team that holds each key.
    by_key: HashMap<KeyDigest, usize>,
}

impl Teams {
    /// Adds a team with its keys. A key that another team holds stays with
    /// that team.
    pub fn with(
        mut self,
        team: Team,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Teams {
        let position = self.teams.len();
        self.teams.push(Arc::new(team));
        for key in keys {
            self.by_key.entry(key).or_insert(position);
        }
        self
    }

    /// Returns the team that holds a key.
    pub fn holding(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.teams.get(*self.by_key.get(key)?)
    }

    /// Returns all teams, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.iter().map(Arc::as_ref)
    }
}

/// Which callers a queue accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueAccess {
    /// Anyone; no key is asked for.
    #[default]
    Public,
    /// The holders of a team's key.
    Teams,
}

/// On whose behalf a call is made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Caller {
    /// Anyone, on a public queue.
    #[default]
    Public,
    /// A team, which showed one of its keys.
    Team(Arc<Team>),
}

impl Caller {
    /// Returns the team; `None` on a public queue.
    pub fn team(&self) -> Option<&Team> {
        match self {
            Caller::Public => None,
            Caller::Team(team) => Some(team),
        }
    }

    /// Returns whether the caller may see and cancel the jobs of a team, given
    /// by name; the name is empty for a job that belongs to none.
    ///
    /// A job without a team was accepted on a public queue, or before the
    /// queue had teams.
    pub fn may_access(&self, owner: &str) -> bool {
        match self {
            Caller::Public => owner.is_empty(),
            Caller::Team(team) => owner.is_empty() || owner == team.name,
        }
    }
}

/// No team holds the key that the caller has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownKey;
