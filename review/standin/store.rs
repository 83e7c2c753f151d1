//! The platform's metadata store.

use crate::{
    http::{Answer, Request},
    json::{Json, object, parse, to_base64},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// The most items on a page.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change, with the key's item or none where it went.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<i64, Lease>,
    last_lease: i64,
    /// Since when the store is down.
    down_since: Option<Instant>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created =
            self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        for key in held {
            self.remove(&key);
        }
    }

    fn lapse(&mut self) -> bool {
        if self.down_since.is_some() {
            return false;
        }
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| now >= lease.until);
        let over: Vec<i64> = over.map(|(id, _)| *id).collect();
        for lease in &over {
            self.end_lease(*lease);
        }
        !over.is_empty()
    }
}

fn row(key: &str, item: &Item) -> Json {
    object(vec![
        ("TlsKey", key.into()),
        ("Value", item.value.as_str().into()),
        ("Revision", item.revision.into()),
        ("CreatedRev", item.created.into()),
        ("Lease", item.lease.into()),
    ])
}

fn ok(body: Json) -> Option<Answer> {
    Some(Answer::of(200, body.write()))
}

impl Store {
    /// Writes a value as the operator or a worker does.
    pub fn write(&self, key: &str, value: &Json) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.put(key, to_base64(value.write().as_bytes()), 0);
        changed.notify_all();
    }

    /// Removes a key as the operator or a worker does.
    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        changed.notify_all();
    }

    /// Ends leases whose time is over, for as long as the process runs.
    pub fn watch_leases(&self) {
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let (state, changed) = &*store.0;
                if state.lock().unwrap().lapse() {
                    changed.notify_all();
                }
            }
        });
    }

    /// Takes the store down: it answers each call with 503, and leases wait.
    pub fn go_down(&self) {
        self.0.0.lock().unwrap().down_since = Some(Instant::now());
    }

    /// Ends the outage.
    pub fn come_back(&self) {
        let mut state = self.0.0.lock().unwrap();
        let Some(since) = state.down_since.take() else { return };
        for lease in state.leases.values_mut() {
            lease.until += since.elapsed();
        }
    }

    /// Answers a call of a node.
    pub fn answer(&self, request: &Request) -> Option<Answer> {
        if self.0.0.lock().unwrap().down_since.is_some() {
            return Some(Answer::of(503, "{}".to_owned()));
        }
        let path = request.path.strip_prefix("/dewspar/").unwrap_or_default();
        let query =
            |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "kv-key") => {
                let state = self.0.0.lock().unwrap();
                let key = query("TlsKey");
                let Some(item) = state.items.get(&key) else {
                    return Some(Answer::of(404, "{}".to_owned()));
                };
                let Json::Object(mut fields) = row(&key, item) else {
                    return None;
                };
                fields.push(("AtRev".to_owned(), state.revision.into()));
                ok(Json::Object(fields))
            }
            ("GET", "kv-range") => {
                self.range(&query("PathPrefix"), &query("After"))
            }
            ("GET", "kv-watch") => {
                let after = query("After").parse().unwrap_or(0);
                let wait = query("WaitMs").parse().unwrap_or(0);
                self.watch(&query("PathPrefix"), after, wait)
            }
            ("POST", "kv-txn") => self.transaction(&parse(&request.body)?),
            ("POST", "kv-lease") => {
                let ttl_ms =
                    parse(&request.body)?.get("TtlMs").int().max(1_000);
                let mut state = self.0.0.lock().unwrap();
                state.last_lease += 1;
                let id = state.last_lease;
                let ttl = Duration::from_millis(ttl_ms as u64);
                state
                    .leases
                    .insert(id, Lease { ttl, until: Instant::now() + ttl });
                ok(object(vec![
                    ("Lease", id.into()),
                    ("TtlMs", ttl_ms.into()),
                ]))
            }
            (method, path) => {
                let (call, id) = path.split_once('/')?;
                let id = id.parse().unwrap_or(0);
                let (state, changed) = &*self.0;
                let mut state = state.lock().unwrap();
                state.lapse();
                let Some(lease) = state.leases.get_mut(&id) else {
                    return Some(Answer::of(404, "{}".to_owned()));
                };
                match (method, call) {
                    ("POST", "kv-keep") => {
                        lease.until = Instant::now() + lease.ttl
                    }
                    ("DELETE", "kv-lease-end") => state.end_lease(id),
                    _ => return Some(Answer::of(400, "{}".to_owned())),
                }
                changed.notify_all();
                ok(object(vec![]))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Option<Answer> {
        let state = self.0.0.lock().unwrap();
        let matching = state.items.range(prefix.to_owned()..);
        let matching = matching
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let mut rows: Vec<Json> = matching
            .take(PAGE + 1)
            .map(|(key, item)| row(key, item))
            .collect();
        let has_more = rows.len() > PAGE;
        rows.truncate(PAGE);
        ok(object(vec![
            ("items", rows.into()),
            ("HasMore", has_more.into()),
            ("AtRev", state.revision.into()),
        ]))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<Answer> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        loop {
            let from = state
                .history
                .partition_point(|(revision, ..)| *revision <= after);
            let new = state.history[from..].iter();
            let new = new.filter(|(_, key, _)| key.starts_with(prefix));
            let rows: Vec<Json> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => object(vec![
                        ("TlsKey", key.as_str().into()),
                        ("Revision", (*revision).into()),
                        ("Compacted", true.into()),
                    ]),
                })
                .collect();
            let left = until.checked_duration_since(Instant::now());
            if let (true, Some(left)) = (rows.is_empty(), left) {
                state = changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            return ok(object(vec![
                ("events", rows.into()),
                ("AtRev", state.revision.into()),
            ]));
        }
    }

    fn transaction(&self, asked: &Json) -> Option<Answer> {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.lapse();
        let expected = asked.get("ExpectedRev").list();
        let holds = expected.iter().all(|row| {
            let found = state.items.get(row.get("TlsKey").text());
            found.map_or(0, |item| item.revision) as i64
                == row.get("Revision").int()
        });
        if !holds {
            let found = expected.iter().filter_map(|expected| {
                let key = expected.get("TlsKey").text();
                state.items.get(key).map(|item| row(key, item))
            });
            let found: Vec<Json> = found.collect();
            return Some(Answer::of(
                412,
                object(vec![("items", found.into())]).write(),
            ));
        }
        let puts = asked.get("Puts").list();
        let is_known = |row: &Json| {
            let lease = row.get("Lease").int();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(is_known) {
            return Some(Answer::of(404, "{}".to_owned()));
        }
        state.revision += 1;
        for row in puts {
            let value = row.get("Value").text().to_owned();
            state.put(row.get("TlsKey").text(), value, row.get("Lease").int());
        }
        for key in asked.get("Remove").list() {
            state.remove(key.text());
        }
        changed.notify_all();
        ok(object(vec![("Revision", state.revision.into())]))
    }
}
