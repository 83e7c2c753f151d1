//! The platform's metadata store: keys with revisions, leases, watches.

use crate::{
    http::{Answer, Request},
    json::{Json, quote},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct LeaseState {
    ttl: Duration,
    over_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, LeaseState>,
    next_lease: u64,
    /// Every change: its revision, its key, and the item unless it is gone.
    history: Vec<(u64, String, Option<Item>)>,
}

/// What happens to a write that has arrived.
pub enum Fate {
    Usual,
    /// It is done after this time, if its conditions hold then, and isn't
    /// answered; its connection says nothing further.
    DoneLateUnanswered(Duration),
}

/// `ValueBytes` of the deploy file.
const VALUE_BYTES: usize = 1_048_576;

/// How much a listing returns at most.
const LISTING_BYTES: usize = 1_000_000;

type Judge = Box<dyn Fn(&str) -> Fate + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Decides on each write, by its body.
    judge: Arc<Mutex<Judge>>,
    /// The keys and sizes of values that were too large.
    refused: Arc<Mutex<Vec<(String, usize)>>>,
}

impl Store {
    pub fn new() -> Store {
        let state = State { revision: 100, ..State::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            judge: Arc::new(Mutex::new(Box::new(|_| Fate::Usual))),
            refused: Arc::default(),
        };
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                leases.end_leases();
            }
        });
        store
    }

    pub fn judge_writes(&self, judge: Judge) {
        *self.judge.lock().unwrap() = judge;
    }

    /// Returns the keys and sizes of values that were too large.
    pub fn refused_values(&self) -> Vec<(String, usize)> {
        self.refused.lock().unwrap().clone()
    }

    /// Writes a key for the operator or a runner.
    pub fn put(&self, key: &str, value: &str) {
        let value = crate::json::base64(value.as_bytes());
        self.change(|state| state.put(key, value, 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.0.lock().unwrap().items.contains_key(key)
    }

    fn change(&self, act: impl FnOnce(&mut State)) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        act(&mut state);
        changed.notify_all();
    }

    fn end_leases(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.over_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            state.end_lease(id);
            changed.notify_all();
        }
    }

    pub fn answer(&self, request: &Request) -> Answer {
        let call = request.path.trim_start_matches("/dewspar/");
        let id = |prefix: &str| -> Option<u64> {
            call.strip_prefix(prefix)?.parse().ok()
        };
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match call {
            "kv-key" => self.read(&request.query("TlsKey")),
            "kv-range" => self.range(request),
            "kv-watch" => self.watch(request),
            "kv-txn" => self.transact(&request.body, &body),
            "kv-lease" => self.grant(body.number("TtlMs")),
            _ => {
                if let Some(id) = id("kv-keep/") {
                    return self.keep(id);
                }
                if let Some(id) = id("kv-lease-end/") {
                    let (state, changed) = &*self.state;
                    state.lock().unwrap().end_lease(id);
                    changed.notify_all();
                    return Answer::Json(200, "{}".to_owned());
                }
                Answer::Json(400, "{}".to_owned())
            }
        }
    }

    fn read(&self, key: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        let Some(item) = state.items.get(key) else {
            return Answer::Json(
                404,
                format!("{{\"AtRev\":{}}}", state.revision),
            );
        };
        let item = row(key, item);
        let fields = &item[..item.len() - 1];
        Answer::Json(200, format!("{fields},\"AtRev\":{}}}", state.revision))
    }

    fn range(&self, request: &Request) -> Answer {
        let prefix = request.query("PathPrefix");
        let after = request.query("After");
        let state = self.state.0.lock().unwrap();
        let matching = state.items.iter().filter(|(key, _)| {
            key.starts_with(&prefix) && (after.is_empty() || **key > after)
        });
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in matching {
            let row = row(key, item);
            let full = rows.len() == 500 || bytes + row.len() > LISTING_BYTES;
            if full && !rows.is_empty() {
                more = true;
                break;
            }
            bytes += row.len();
            rows.push(row);
        }
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":{more},\"AtRev\":{}}}",
            rows.join(","),
            state.revision
        );
        Answer::Json(200, body)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query("PathPrefix");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                .map(|(rev, key, item)| match item {
                    Some(item) => row(key, item),
                    None => format!(
                        "{{\"TlsKey\":{},\"Revision\":{rev},\"Compacted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"AtRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Answer::Json(200, body);
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, text: &str, body: &Json) -> Answer {
        let fate = (self.judge.lock().unwrap())(text);
        match fate {
            Fate::Usual => self.commit(body),
            Fate::DoneLateUnanswered(after) => {
                let (store, body) = (self.clone(), body.clone());
                thread::spawn(move || {
                    thread::sleep(after);
                    store.commit(&body);
                });
                Answer::Silence
            }
        }
    }

    fn commit(&self, body: &Json) -> Answer {
        let too_large = body.rows("Puts").iter().find_map(|put| {
            let bytes = put.text("Value").len() / 4 * 3;
            (bytes > VALUE_BYTES + 2).then(|| (put.text("TlsKey"), bytes))
        });
        if let Some((key, bytes)) = too_large {
            self.refused.lock().unwrap().push((key.clone(), bytes));
            let body = format!(
                "{{\"Error\":\"the value of {key} has {bytes} bytes\"}}"
            );
            return Answer::Json(400, body);
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expected = body.rows("ExpectedRev");
        let holds = expected.iter().all(|row| {
            let item = state.items.get(&row.text("TlsKey"));
            item.map_or(0, |item| item.revision) == row.number("Revision")
        });
        if !holds {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|r| {
                    let key = r.text("TlsKey");
                    state.items.get(&key).map(|item| row(&key, item))
                })
                .collect();
            let body = format!("{{\"items\":[{}]}}", found.join(","));
            return Answer::Json(412, body);
        }
        let leases = body.rows("Puts").iter().map(|row| row.number("Lease"));
        if !leases.clone().all(|l| l == 0 || state.leases.contains_key(&l)) {
            return Answer::Json(404, "{}".to_owned());
        }
        state.revision += 1;
        for put in body.rows("Puts") {
            state.put(
                &put.text("TlsKey"),
                put.text("Value"),
                put.number("Lease"),
            );
        }
        for key in body.rows("Remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        changed.notify_all();
        Answer::Json(200, format!("{{\"Revision\":{}}}", state.revision))
    }

    fn grant(&self, ttl_ms: u64) -> Answer {
        let ttl = Duration::from_millis(ttl_ms.clamp(1_000, 600_000));
        let mut state = self.state.0.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        state
            .leases
            .insert(id, LeaseState { ttl, over_at: Instant::now() + ttl });
        let ttl_ms = ttl.as_millis();
        Answer::Json(200, format!("{{\"Lease\":{id},\"TtlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, id: u64) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.over_at = Instant::now() + lease.ttl;
                Answer::Json(200, "{}".to_owned())
            }
            None => Answer::Json(404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let revision = self.revision;
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"TlsKey\":{},\"Value\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}
