use {
    crate::{
        config::{Error, Kind, Resource, Snapshot},
        util::{digest_hex, stable_hash},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The number of chunks over which the resources of one kind are spread.
///
/// At 16, a chunk of the most numerous kind at the target (391 pools) takes
/// about 5 KB, so that a change transfers little, and the table of chunks in
/// the head takes about 6 KB.
const CHUNKS_PER_KIND: u64 = 16;

/// How many tokens of past writes and retired chunks a head keeps.
const HISTORY_LEN: usize = 16;

/// An immutable group of resources, stored under a name of its own.
///
/// The name consists of the digest of the content and the revision that
/// introduced it. The digest alone is not enough: deleting a resource that was
/// just added restores an earlier content, and the chunk with that content may
/// be about to be deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    name: String,
    body: Vec<u8>,
}

impl Chunk {
    /// Returns the chunk's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the bytes to store under that name.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Decodes the resources of the chunk called `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Syntax`] when the digest of `body` doesn't match
    /// `name` or `body` isn't a JSON list, and the errors of
    /// [`Resource::from_value`].
    pub fn read(name: &str, body: &[u8]) -> Result<Vec<Resource>, Error> {
        if digest_hex(body) != digest_of_name(name) {
            let reason = format!("chunk {name} is missing or has changed");
            return Err(Error::Syntax { reason });
        }
        let values: Vec<serde_json::Value> = serde_json::from_slice(body)
            .map_err(|e| Error::Syntax { reason: e.to_string() })?;
        values.into_iter().map(Resource::from_value).collect()
    }
}

/// The single value that defines the configuration in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    revision: u64,
    tokens: Vec<String>,
    chunks: BTreeMap<String, String>,
    retired: Vec<String>,
}

impl Head {
    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the names of the chunks that make up the snapshot.
    pub fn chunk_names(&self) -> impl Iterator<Item = &str> {
        self.chunks.values().map(String::as_str)
    }

    /// Returns whether the write with this token produced this head or one of
    /// its recent predecessors.
    pub fn contains(&self, token: &str) -> bool {
        self.tokens.iter().any(|known| known == token)
    }

    /// Builds the successor of this head for `snapshot`.
    ///
    /// Returns the new head and the chunks that must be stored before it is
    /// swapped in. [`Head::unreferenced_chunks`] returns the chunks that may
    /// be deleted after the swap.
    pub fn advance(
        &self,
        snapshot: &Snapshot,
        token: &str,
    ) -> (Head, Vec<Chunk>) {
        let mut chunks = BTreeMap::new();
        let mut new_chunks = Vec::new();
        for (key, body) in group_into_chunks(snapshot) {
            let digest = digest_hex(&body);
            let previous = self.chunks.get(&key);
            if let Some(name) =
                previous.filter(|n| digest_of_name(n) == digest)
            {
                chunks.insert(key, name.clone());
                continue;
            }
            let name = format!("{digest}.{}", snapshot.revision());
            chunks.insert(key, name.clone());
            new_chunks.push(Chunk { name, body });
        }
        let mut retired = self.retired.clone();
        let replaced =
            self.chunks.values().filter(|n| !chunks.values().any(|c| c == *n));
        retired.extend(replaced.cloned());
        keep_last(&mut retired, HISTORY_LEN);
        let mut tokens = self.tokens.clone();
        tokens.push(token.to_owned());
        keep_last(&mut tokens, HISTORY_LEN);
        let revision = snapshot.revision();
        (Head { revision, tokens, chunks, retired }, new_chunks)
    }

    /// Returns the names of the chunks that this head lists and `next`
    /// doesn't, neither as current nor as retired. Nobody reads them any more.
    pub fn unreferenced_chunks<'a>(
        &'a self,
        next: &'a Head,
    ) -> impl Iterator<Item = &'a str> {
        self.chunks
            .values()
            .chain(&self.retired)
            .filter(|name| {
                !next.chunks.values().any(|c| c == *name)
                    && !next.retired.contains(name)
            })
            .map(String::as_str)
    }
}

fn keep_last(list: &mut Vec<String>, max_len: usize) {
    let surplus = list.len().saturating_sub(max_len);
    list.drain(..surplus);
}

fn digest_of_name(name: &str) -> &str {
    name.split('.').next().unwrap_or(name)
}

fn group_into_chunks(snapshot: &Snapshot) -> BTreeMap<String, Vec<u8>> {
    let mut groups: BTreeMap<String, Vec<serde_json::Value>> = BTreeMap::new();
    for resource in snapshot.resources() {
        let key = bucket_key(resource.kind(), resource.name());
        groups.entry(key).or_default().push(resource.to_value());
    }
    groups
        .into_iter()
        .map(|(key, values)| {
            let body = serde_json::Value::Array(values).to_string();
            (key, body.into_bytes())
        })
        .collect()
}

fn bucket_key(kind: Kind, name: &str) -> String {
    let bucket = stable_hash(kind.as_str(), name) % CHUNKS_PER_KIND;
    format!("{kind}/{bucket:02}")
}
