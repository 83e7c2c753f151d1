/*!
The key-value stand-in, served by the JSON mapping of etcd's v3 API.

Only what dewspar uses is served: reading a key or a range, a transaction
that compares versions, puts and deletes, deleting a key, leases, and watches.
*/

use {
    crate::{
        server::{self, Body, Server},
        store::Store,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    dewspar_platform::{
        Batch, Commit, Error, Event, Expected, KeyValue, Lease, Put,
        Versioned, Watch, WatchBatch,
    },
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
    },
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

/// How often lapsed leases are looked for.
const LEASE_CHECK: Duration = Duration::from_millis(200);

/// A running key-value stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct KvServer {
    server: Server,
    store: Store,
    lapse: JoinHandle<()>,
}

impl Drop for KvServer {
    fn drop(&mut self) {
        self.lapse.abort();
    }
}

impl KvServer {
    /// Serves `store` at `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(
        address: SocketAddr,
        store: Store,
    ) -> io::Result<KvServer> {
        let served = store.clone();
        let server = Server::start(address, move |request| {
            answer(served.clone(), request)
        })
        .await?;
        let lapsing = store.clone();
        let lapse = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK).await;
                lapsing.lapse_leases();
            }
        });
        Ok(KvServer { server, store, lapse })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL for an adapter.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the store that it serves.
    pub fn store(&self) -> &Store {
        &self.store
    }
}

/// Why a call was not carried out.
enum Failure {
    Platform(Error),
    Question(&'static str),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure::Platform(error)
    }
}

async fn answer(
    store: Store,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let path = request.uri().path().to_owned();
    let body = server::body_of(request).await?;
    let question: Value = match serde_json::from_slice(&body) {
        Ok(question) => question,
        Err(error) => {
            let text = error.to_string();
            return Some(server::whole(StatusCode::BAD_REQUEST, text));
        }
    };
    let result = match path.as_str() {
        "/v3/kv/range" => range(&store, &question).await,
        "/v3/kv/txn" => transaction(&store, &question).await,
        "/v3/kv/deleterange" => delete(&store, &question).await,
        "/v3/lease/grant" => grant(&store, &question).await,
        "/v3/lease/keepalive" => keep_alive(&store, &question).await,
        "/v3/lease/revoke" => revoke(&store, &question).await,
        "/v3/watch" => return watch(store, &question).await,
        _ => {
            return Some(server::whole(StatusCode::NOT_FOUND, "no such call"));
        }
    };
    respond(result)
}

fn respond(result: Result<Value, Failure>) -> Option<Response<Body>> {
    match result {
        Ok(value) => Some(server::json(&value)),
        Err(Failure::Question(reason)) => {
            Some(server::whole(StatusCode::BAD_REQUEST, reason))
        }
        Err(Failure::Platform(Error::Lost { .. })) => None,
        Err(Failure::Platform(error)) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Some(server::whole(status, error.to_string()))
        }
    }
}

async fn range(store: &Store, question: &Value) -> Result<Value, Failure> {
    let key = key_in(question)?;
    if question.get("range_end").is_some() {
        let (version, entries) = store.list(&key).await?;
        let kvs: Vec<Value> = entries.iter().map(entry).collect();
        return Ok(json!({ "header": header(version), "kvs": kvs }));
    }
    let found = store.get(&key).await?;
    let keys_only = question["keys_only"].as_bool().unwrap_or(false);
    let kvs: Vec<Value> = found
        .map(|mut found| {
            if keys_only {
                found.value.clear();
            }
            entry(&found)
        })
        .into_iter()
        .collect();
    Ok(json!({ "header": header(0), "kvs": kvs }))
}

async fn transaction(
    store: &Store,
    question: &Value,
) -> Result<Value, Failure> {
    let batch = batch_in(question)?;
    Ok(match store.commit(&batch).await? {
        Commit::Done(version) => {
            json!({ "header": header(version), "succeeded": true })
        }
        Commit::Conflict(current) => {
            let kvs: Vec<Value> = current.iter().map(entry).collect();
            let range = json!({ "response_range": { "kvs": kvs } });
            json!({ "header": header(0), "responses": [range] })
        }
    })
}

fn batch_in(question: &Value) -> Result<Batch, Failure> {
    let list = |name: &str| question[name].as_array().into_iter().flatten();
    let mut batch = Batch::default();
    for compare in list("compare") {
        let version = integer(&compare["mod_revision"]) as u64;
        let expected = Expected::from_version(version);
        batch = batch.when(&key_in(compare)?, expected);
    }
    for operation in list("success") {
        let put = &operation["request_put"];
        if put.is_null() {
            let deleted = key_in(&operation["request_delete_range"])?;
            batch = batch.delete(&deleted);
            continue;
        }
        let lease = integer(&put["lease"]);
        batch.puts.push(Put {
            key: key_in(put)?,
            value: decode(&put["value"]).unwrap_or_default(),
            lease: (lease != 0).then_some(Lease(lease)),
        });
    }
    Ok(batch)
}

async fn delete(store: &Store, question: &Value) -> Result<Value, Failure> {
    store.delete(&key_in(question)?).await?;
    Ok(json!({}))
}

async fn grant(store: &Store, question: &Value) -> Result<Value, Failure> {
    let ttl_ms = integer(&question["TTL"]) as u64 * 1_000;
    let lease = store.grant(ttl_ms).await?;
    Ok(json!({ "ID": lease.0.to_string() }))
}

async fn keep_alive(
    store: &Store,
    question: &Value,
) -> Result<Value, Failure> {
    let lease = Lease(integer(&question["ID"]));
    let renewed = store.keep_alive(lease).await?;
    let ttl = if renewed { "1" } else { "0" };
    Ok(json!({ "result": { "ID": lease.0.to_string(), "TTL": ttl } }))
}

async fn revoke(store: &Store, question: &Value) -> Result<Value, Failure> {
    store.revoke(Lease(integer(&question["ID"]))).await?;
    Ok(json!({}))
}

async fn watch(store: Store, question: &Value) -> Option<Response<Body>> {
    let create = &question["create_request"];
    let prefix = match key_in(create) {
        Ok(prefix) => prefix,
        Err(failure) => return respond(Err(failure)),
    };
    let start = integer(&create["start_revision"]) as u64;
    let after = start.saturating_sub(1);
    let mut watch = match store.watch(&prefix, after).await {
        Ok(watch) => watch,
        Err(error) => return respond(Err(error.into())),
    };
    let (sender, receiver) = mpsc::channel(64);
    tokio::spawn(async move {
        let created = json!({ "result": { "created": true } });
        let mut line = created;
        loop {
            let text = format!("{line}\n");
            if sender.send(Bytes::from(text)).await.is_err() {
                return;
            }
            let next = tokio::select! {
                next = watch.next() => next,
                () = sender.closed() => return,
            };
            match next {
                Ok(batch) => line = watch_line(&batch),
                Err(_) => return,
            }
        }
    });
    let body = StreamBody::new(Lines(receiver));
    Some(Response::new(body.boxed()))
}

/// The lines of a watch as a stream of frames.
struct Lines(mpsc::Receiver<Bytes>);

impl futures_core::Stream for Lines {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        let line = self.0.poll_recv(context);
        line.map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

fn watch_line(batch: &WatchBatch) -> Value {
    let events: Vec<Value> = batch.events.iter().map(event).collect();
    let header = header(batch.version);
    json!({ "result": { "header": header, "events": events } })
}

fn event(event: &Event) -> Value {
    match event {
        Event::Put(put) => json!({ "kv": entry(put) }),
        Event::Deleted { key, version } => {
            let kv = json!({
                "key": STANDARD.encode(key),
                "mod_revision": version.to_string(),
            });
            json!({ "type": "DELETE", "kv": kv })
        }
    }
}

fn entry(found: &Versioned) -> Value {
    json!({
        "key": STANDARD.encode(&found.key),
        "value": STANDARD.encode(&found.value),
        "mod_revision": found.version.to_string(),
        "lease": u8::from(found.is_leased).to_string(),
    })
}

fn header(version: u64) -> Value {
    json!({ "revision": version.to_string() })
}

fn key_in(question: &Value) -> Result<String, Failure> {
    decode(&question["key"])
        .and_then(|key| String::from_utf8(key).ok())
        .ok_or(Failure::Question("`key` is not base 64 of a text"))
}

fn decode(value: &Value) -> Option<Vec<u8>> {
    STANDARD.decode(value.as_str()?).ok()
}

fn integer(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}
