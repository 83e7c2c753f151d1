/*!
The documents that this node swaps, with what it wrote itself a moment ago.
*/

use {
    crate::{
        counters,
        view::{Document, View, keys},
    },
    dewspar::{fleet::Hall, pool::PoolState},
    dewspar_platform::{Cas, Error, Expected, KeyValue, Versioned},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, sync::Arc},
};

/// How often a colliding swap is decided again.
const TRIES: u32 = 4;

/// Whether a decision changes the document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Verdict {
    /// The changed document is to be written.
    Write,
    /// There is nothing to do.
    Leave,
}

impl From<bool> for Verdict {
    fn from(changed: bool) -> Verdict {
        if changed { Verdict::Write } else { Verdict::Leave }
    }
}

/// What became of a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Update {
    /// The document was written.
    Written,
    /// There was nothing to do, or nothing that may be done: a document that
    /// can't be read is somebody else's, and the others go on.
    Left,
}

/// The newest documents, as far as this node knows.
#[derive(Debug)]
pub(super) struct Documents<K> {
    platform: K,
    halls: BTreeMap<String, Document<Hall>>,
    pools: BTreeMap<String, Document<PoolState>>,
}

impl<K: KeyValue> Documents<K> {
    pub(super) fn new(platform: K) -> Documents<K> {
        let (halls, pools) = (BTreeMap::new(), BTreeMap::new());
        Documents { platform, halls, pools }
    }

    /// Returns the view with this node's own newer writes in it.
    pub(super) fn merge(&mut self, view: &View) -> View {
        let mut merged = view.clone();
        merge(&mut merged.halls, &mut self.halls);
        merge(&mut merged.pools, &mut self.pools);
        merged
    }

    /// Decides on a hall's document, again after each collision.
    pub(super) async fn update_hall(
        &mut self,
        view: &View,
        hall: &str,
        decide: impl FnMut(&mut Hall) -> Verdict,
    ) -> Result<Update, Error> {
        let key = format!("{}{hall}", keys::HALL);
        if view.unreadable.contains(&key) {
            return Ok(Update::Left);
        }
        let start = newest(&self.halls, &view.halls, hall);
        let (update, document) =
            update(&self.platform, &key, start, decide).await?;
        self.halls.insert(hall.to_owned(), document);
        Ok(update)
    }

    /// Decides on a pool's document, again after each collision.
    pub(super) async fn update_pool(
        &mut self,
        view: &View,
        pool: &str,
        decide: impl FnMut(&mut PoolState) -> Verdict,
    ) -> Result<Update, Error> {
        let key = format!("{}{pool}", keys::POOL);
        if view.unreadable.contains(&key) {
            return Ok(Update::Left);
        }
        let start = newest(&self.pools, &view.pools, pool);
        let (update, document) =
            update(&self.platform, &key, start, decide).await?;
        self.pools.insert(pool.to_owned(), document);
        Ok(update)
    }
}

/// Overlays own writes, and forgets those that the view has overtaken.
fn merge<T>(
    viewed: &mut BTreeMap<String, Document<T>>,
    own: &mut BTreeMap<String, Document<T>>,
) where
    Document<T>: Clone,
{
    own.retain(|name, document| {
        let seen = viewed.get(name).map_or(0, |seen| seen.version);
        if document.version <= seen {
            return false;
        }
        viewed.insert(name.clone(), document.clone());
        true
    });
}

fn newest<T: Default>(
    own: &BTreeMap<String, Document<T>>,
    viewed: &BTreeMap<String, Document<T>>,
    name: &str,
) -> Document<T>
where
    Document<T>: Clone,
{
    let candidates = [own.get(name), viewed.get(name)];
    let newest =
        candidates.into_iter().flatten().max_by_key(|known| known.version);
    newest.cloned().unwrap_or_default()
}

async fn update<K, T>(
    platform: &K,
    key: &str,
    start: Document<T>,
    mut decide: impl FnMut(&mut T) -> Verdict,
) -> Result<(Update, Document<T>), Error>
where
    K: KeyValue,
    T: Clone + Default + Serialize + DeserializeOwned,
{
    let mut current = start;
    for _ in 0..TRIES {
        let mut next = T::clone(&current.value);
        if decide(&mut next) == Verdict::Leave {
            return Ok((Update::Left, current));
        }
        // OK because documents hold only maps of strings and numbers.
        let value = serde_json::to_vec(&next).expect("a document is JSON");
        let expected = Expected::from_version(current.version);
        match platform.swap(key, expected, &value, None).await? {
            Cas::Swapped(version) => {
                let value = Arc::new(next);
                return Ok((Update::Written, Document { version, value }));
            }
            Cas::Conflict(entry) => {
                counters::count(counters::FLEET_CONFLICTS);
                current = match entry {
                    None => Document::default(),
                    Some(entry) => match read(&entry) {
                        Some(document) => document,
                        // The watcher tells of it, and of its next version.
                        None => return Ok((Update::Left, current)),
                    },
                };
            }
        }
    }
    Ok((Update::Left, current))
}

fn read<T: DeserializeOwned>(entry: &Versioned) -> Option<Document<T>> {
    let value = serde_json::from_slice(&entry.value).ok()?;
    Some(Document { version: entry.version, value: Arc::new(value) })
}
