/*!
The key-value service by the JSON mapping of etcd's v3 API.

Keys and values travel in base 64, numbers as strings. A batch is a
transaction that compares its keys' modification revisions, puts and deletes,
and reads the compared keys back where a comparison fails. No other
transaction is used.
*/

use {
    crate::{
        Answer, Batch, Client, Commit, Error, Event, Expected, KeyValue,
        Lease, UnreadableNotes, Versioned, Watch, WatchBatch,
        client::json_request,
        lenient::{
            Listing, NO_DOCUMENT, Read, check_row, parse_listing, parse_rows,
            read_listing,
        },
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{Method, body::Incoming},
    serde::{Deserialize, Deserializer, de::Error as _},
    serde_json::{Value, json},
    std::borrow::Cow,
};

/// The longest line that a watch may send, in bytes.
const MAX_LINE: usize = 16 * 1024 * 1024;

/// The key-value service at a base URL.
#[derive(Clone, Debug)]
pub struct Etcd {
    client: Client,
    base: String,
    root: String,
    unreadable: UnreadableNotes,
}

impl Etcd {
    /// Makes an adapter for the service at `base`, such as
    /// `http://127.0.0.1:2379`, that puts `root` before every key.
    pub fn new(client: Client, base: &str, root: &str) -> Etcd {
        let base = base.trim_end_matches('/').to_owned();
        let unreadable = UnreadableNotes::default();
        Etcd { client, base, root: root.to_owned(), unreadable }
    }

    /// Returns the notes of what couldn't be read.
    pub fn unreadable(&self) -> &UnreadableNotes {
        &self.unreadable
    }

    /// Returns the client, whose counters say what was called.
    pub fn client(&self) -> &Client {
        &self.client
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v3/{path}", self.base)
    }

    fn full(&self, key: &str) -> String {
        format!("{}{key}", self.root)
    }

    async fn range(&self, question: Value) -> Result<RangeAnswer, Error> {
        self.post("read", "kv/range", &question).await
    }

    async fn post<T: Listing>(
        &self,
        call: &'static str,
        path: &str,
        question: &Value,
    ) -> Result<T, Error> {
        let answer = self.ask(call, path, question).await?;
        Ok(read_listing(call, &answer, &self.unreadable)?.listing)
    }

    async fn ask(
        &self,
        call: &'static str,
        path: &str,
        question: &Value,
    ) -> Result<Answer, Error> {
        let url = self.url(path);
        let request = json_request(call, Method::POST, &url, question)?;
        self.client.send(call, request).await
    }

    fn read_entry(&self, entry: Entry) -> Versioned {
        let key = match entry.key.strip_prefix(&self.root) {
            Some(key) => key.to_owned(),
            None => entry.key,
        };
        let Entry { value, mod_revision: version, is_leased, .. } = entry;
        Versioned { key, version, value, is_leased }
    }
}

#[derive(Debug, Default, Deserialize)]
struct Header {
    #[serde(default, deserialize_with = "number")]
    revision: u64,
}

/// Lets a list of rows of one kind be read row by row.
macro_rules! listing {
    ($page:ty, $list:literal of $row:ty, $what:literal, $entry:expr) => {
        impl Listing for $page {
            const LISTS: &'static [&'static str] = &[$list];
            const ROW: &'static str = $what;

            fn check(_: &str, row: &str) -> Result<(), serde_json::Error> {
                check_row::<$row>(row)
            }

            fn name(row: &Value) -> Option<String> {
                let key = $entry(row)?.get("key")?.as_str()?;
                // One that isn't encoded names itself as it is.
                let decoded = STANDARD.decode(key).ok();
                let text = decoded.and_then(|key| String::from_utf8(key).ok());
                Some(text.unwrap_or_else(|| key.to_owned()))
            }

            fn version(row: &Value) -> u64 {
                let number = $entry(row).and_then(|e| e.get("mod_revision"));
                let text = number.and_then(Value::as_str);
                text.and_then(|text| text.parse().ok()).unwrap_or(0)
            }
        }
    };
}

fn kv_of(event: &Value) -> Option<&Value> {
    event.get("kv")
}

listing!(RangeAnswer, "kvs" of Entry, "entry of the store", Some);
listing!(RangeKeys, "kvs" of KeyOfEntry, "entry of the store", Some);
listing!(
    TxnAnswer,
    "responses.response_range.kvs" of Entry,
    "entry of the store",
    Some
);
listing!(
    WatchLine,
    "result.events" of WatchEvent,
    "change in the store",
    kv_of
);

#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(deserialize_with = "text_of_base64")]
    key: String,
    #[serde(default, deserialize_with = "bytes_of_base64")]
    value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
    #[serde(rename = "lease", default, deserialize_with = "is_lease")]
    is_leased: bool,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<Entry>,
    /// Whether there are more than the service hands out at once.
    #[serde(default)]
    more: bool,
}

/// The keys that a range names, whatever else its entries hold.
#[derive(Debug, Deserialize)]
struct RangeKeys {
    #[serde(default)]
    kvs: Vec<KeyOfEntry>,
}

#[derive(Debug, Deserialize)]
struct KeyOfEntry {
    /// Any bytes: it needn't be text to be gone on from.
    #[serde(deserialize_with = "key_of_base64")]
    key: Vec<u8>,
}

/// Returns the first key that may come after those of a range.
fn key_after(call: &'static str, answer: &Answer) -> Option<Vec<u8>> {
    // What can't be read of it is noted already.
    let notes = UnreadableNotes::default();
    let keys: Read<RangeKeys> = parse_listing(call, answer, &notes).ok()?;
    let mut key = keys.listing.kvs.into_iter().last()?.key;
    key.push(0);
    Some(key)
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<TxnResponse>,
}

#[derive(Debug, Deserialize)]
struct TxnResponse {
    response_range: Option<RangeAnswer>,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    #[serde(rename = "ID", default, deserialize_with = "signed")]
    id: i64,
}

#[derive(Debug, Deserialize)]
struct KeepAliveAnswer {
    result: KeepAliveResult,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResult {
    #[serde(rename = "TTL", default, deserialize_with = "signed")]
    ttl: i64,
}

#[derive(Debug, Deserialize)]
struct WatchLine {
    result: Option<WatchResult>,
    error: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct WatchResult {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
struct WatchEvent {
    #[serde(default, rename = "type")]
    kind: String,
    kv: Entry,
}

impl KeyValue for Etcd {
    type Watch = EtcdWatch;

    async fn get(&self, key: &str) -> Result<Option<Versioned>, Error> {
        let key = encode(self.full(key));
        let answer = self.range(json!({ "key": key })).await?;
        let entry = answer.kvs.into_iter().next();
        Ok(entry.map(|entry| self.read_entry(entry)))
    }

    async fn version(&self, key: &str) -> Result<u64, Error> {
        let key = encode(self.full(key));
        let question = json!({ "key": key, "keys_only": true });
        let answer = self.range(question).await?;
        Ok(answer.kvs.first().map_or(0, |entry| entry.mod_revision))
    }

    async fn list(
        &self,
        prefix: &str,
    ) -> Result<(u64, Vec<Versioned>), Error> {
        let call = "read";
        let prefix = self.full(prefix);
        let end = encode(range_end(&prefix));
        let mut from = prefix.into_bytes();
        let mut found = Vec::new();
        let mut version = 0;
        loop {
            // All ranges as of the first; 0 stands for now.
            let question = json!({
                "key": encode(&from),
                "range_end": end,
                "revision": version.to_string(),
            });
            let answer = self.ask(call, "kv/range", &question).await?;
            let range: RangeAnswer =
                read_listing(call, &answer, &self.unreadable)?.listing;
            if version == 0 {
                version = range.header.revision;
            }
            let entries = range.kvs.into_iter();
            found.extend(entries.map(|entry| self.read_entry(entry)));
            if !range.more {
                return Ok((version, found));
            }
            let next = key_after(call, &answer);
            let Some(next) = next.filter(|next| *next > from) else {
                let reason = "a range has no end to go on from".to_owned();
                return Err(Error::Malformed { call, reason });
            };
            from = next;
        }
    }

    async fn commit(&self, batch: &Batch) -> Result<Commit, Error> {
        let compare: Vec<Value> = batch
            .conditions
            .iter()
            .filter_map(|condition| {
                let key = encode(self.full(&condition.key));
                match condition.expected {
                    Expected::Any => None,
                    Expected::Absent => Some(compare(&key, 0)),
                    Expected::Version(version) => Some(compare(&key, version)),
                }
            })
            .collect();
        let puts = batch.puts.iter().map(|put| {
            let lease = put.lease.map_or(0, |lease| lease.0).to_string();
            json!({ "request_put": {
                "key": encode(self.full(&put.key)),
                "value": encode(&put.value),
                "lease": lease,
            }})
        });
        let deletes = batch.deletes.iter().map(|key| {
            let key = encode(self.full(key));
            json!({ "request_delete_range": { "key": key } })
        });
        let reads = batch.conditions.iter().map(|condition| {
            let key = encode(self.full(&condition.key));
            json!({ "request_range": { "key": key } })
        });
        let question = json!({
            "compare": compare,
            "success": puts.chain(deletes).collect::<Vec<Value>>(),
            "failure": reads.collect::<Vec<Value>>(),
        });
        let answer: TxnAnswer =
            self.post("commit", "kv/txn", &question).await?;
        if answer.succeeded {
            return Ok(Commit::Done(answer.header.revision));
        }
        let entries = answer
            .responses
            .into_iter()
            .filter_map(|response| response.response_range)
            .flat_map(|range| range.kvs);
        let current = entries.map(|entry| self.read_entry(entry)).collect();
        Ok(Commit::Conflict(current))
    }

    async fn delete(&self, key: &str) -> Result<(), Error> {
        let question = json!({ "key": encode(self.full(key)) });
        let url = self.url("kv/deleterange");
        let _: Value = self.client.post("delete", &url, &question).await?;
        Ok(())
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Lease, Error> {
        let ttl = ttl_ms.div_ceil(1_000).to_string();
        let url = self.url("lease/grant");
        let question = json!({ "TTL": ttl });
        let answer: LeaseAnswer =
            self.client.post("grant lease", &url, &question).await?;
        Ok(Lease(answer.id))
    }

    async fn keep_alive(&self, lease: Lease) -> Result<bool, Error> {
        let url = self.url("lease/keepalive");
        let question = json!({ "ID": lease.0.to_string() });
        let answer: KeepAliveAnswer =
            self.client.post("renew lease", &url, &question).await?;
        Ok(answer.result.ttl > 0)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let url = self.url("lease/revoke");
        let question = json!({ "ID": lease.0.to_string() });
        let _: Value = self.client.post("end lease", &url, &question).await?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<EtcdWatch, Error> {
        let call = "watch";
        let prefix = self.full(prefix);
        let end = range_end(&prefix);
        let create = json!({
            "key": encode(prefix),
            "range_end": encode(end),
            "start_revision": (after + 1).to_string(),
        });
        let question = json!({ "create_request": create });
        let url = self.url("watch");
        let request = json_request(call, Method::POST, &url, &question)?;
        let opened = self.client.open(call, request);
        let response = self.client.bounded(call, opened).await?;
        if !response.status().is_success() {
            let reason = format!("status {}", response.status());
            return Err(Error::Unavailable { call, reason });
        }
        Ok(EtcdWatch {
            etcd: self.clone(),
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }
}

/// A watch: a stream of JSON objects, one a line.
#[derive(Debug)]
pub struct EtcdWatch {
    etcd: Etcd,
    body: Incoming,
    buffer: BytesMut,
}

impl EtcdWatch {
    async fn line(&mut self) -> Result<Bytes, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.split_to(end + 1).freeze());
            }
            if self.buffer.len() > MAX_LINE {
                let reason = "a line is too long".to_owned();
                return Err(Error::Malformed { call: "watch", reason });
            }
            let frame = self.body.frame().await;
            let Some(Ok(frame)) = frame else {
                let reason = "the stream ended".to_owned();
                return Err(Error::Unavailable { call: "watch", reason });
            };
            if let Ok(data) = frame.into_data() {
                self.etcd.client.count_bytes(data.len());
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    fn read_event(&self, event: WatchEvent) -> Event {
        let entry = self.etcd.read_entry(event.kv);
        match event.kind.as_str() {
            "DELETE" => {
                Event::Deleted { key: entry.key, version: entry.version }
            }
            _ => Event::Put(entry),
        }
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        let line = self.line().await?;
        let line: WatchLine =
            parse_rows("watch", &line, &self.etcd.unreadable)?.listing;
        let Some(result) = line.result else {
            let reason = format!("refused: {:?}", line.error);
            return Err(Error::Unavailable { call: "watch", reason });
        };
        if result.canceled {
            // The reason that matters is a compacted history.
            return Err(Error::HistoryGone { call: "watch" });
        }
        let events = result.events.into_iter();
        let events = events.map(|event| self.read_event(event)).collect();
        Ok(WatchBatch { version: result.header.revision, events })
    }
}

fn compare(key: &str, version: u64) -> Value {
    json!({
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": version.to_string(),
    })
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Returns the first key after every key with the prefix.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // The empty prefix selects everything, which etcd spells as a zero byte.
    vec![0]
}

/// Reads a number that may be written as a string.
fn number<'de, D: Deserializer<'de>>(source: D) -> Result<u64, D::Error> {
    let value = signed(source)?;
    u64::try_from(value).map_err(D::Error::custom)
}

fn signed<'de, D: Deserializer<'de>>(source: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Spelled {
        Number(i64),
        Text(String),
    }
    match Spelled::deserialize(source)? {
        Spelled::Number(number) => Ok(number),
        Spelled::Text(text) => text.parse().map_err(D::Error::custom),
    }
}

/// Returns whether the number of a lease names one; a number that can't be
/// read does, so that nobody takes the entry for one that nobody keeps.
fn is_lease<'de, D: Deserializer<'de>>(source: D) -> Result<bool, D::Error> {
    let number = Value::deserialize(source)?;
    Ok(number != 0 && number != "0")
}

/// Reads a value; one that isn't encoded as it should be is handed on as
/// [`NO_DOCUMENT`], so that whoever reads it finds out about this entry alone.
fn bytes_of_base64<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Vec<u8>, D::Error> {
    let text = Cow::<'de, str>::deserialize(source)?;
    let bytes = STANDARD.decode(text.as_bytes());
    Ok(bytes.unwrap_or_else(|_| NO_DOCUMENT.to_vec()))
}

fn key_of_base64<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Vec<u8>, D::Error> {
    let text = Cow::<'de, str>::deserialize(source)?;
    STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)
}

fn text_of_base64<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<String, D::Error> {
    let text = Cow::<'de, str>::deserialize(source)?;
    let bytes = STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)?;
    String::from_utf8(bytes).map_err(D::Error::custom)
}
