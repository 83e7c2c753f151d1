//! During an upgrade a newer version may write a configuration with a field
//! that an older one doesn't know. The older node stays with the last
//! configuration that it could read, and says why. An operator who writes
//! through it was told "too many others were accepted meanwhile", after 16
//! readings, though nobody else had written anything: what is in the way is a
//! field that this node doesn't know, and that is what has to be said.

use {
    dewspar::config::{Change, Head, Resource},
    dewspar_platform::{
        Error as PlatformError, Expected, KeyValue, UnreadableNotes, VmList,
        VmListing,
    },
    dewspar_standin::{faults::Faults, store::Store},
    dewspard::{
        config_store::{self, Error},
        logs,
        view::keys,
        watcher,
    },
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::time::Duration,
    tokio::time::sleep,
};

/// How long a node takes to hear of a write, many times over.
const HEARD: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct NoVms;

impl VmList for NoVms {
    async fn list(&self, _: &str) -> Result<Option<VmListing>, PlatformError> {
        Ok(None)
    }
}

fn team(name: &str) -> Change {
    let text = format!("kind: Team\nname: {name}\nspec: {{partner: p}}\n");
    Change::put(Resource::from_yaml(&text).expect("a team"))
}

async fn put(store: &Store, key: &str, value: &[u8]) {
    let put = store.swap(key, Expected::Any, value, None).await;
    put.expect("a store");
}

/// Returns the digest that a chunk's name begins with.
fn digest(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    digest.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

/// Adds a team as a newer version does: its resources have a field more.
async fn write_by_newer_version(store: &Store, name: &str) {
    let found = store.get(keys::CONFIG_HEAD).await.expect("a store");
    let found = found.expect("a head");
    let head: Head = serde_json::from_slice(&found.value).expect("a head");
    let mut resources = Vec::new();
    for name in head.chunk_names() {
        let key = format!("{}{name}", keys::CHUNK);
        let chunk = store.get(&key).await.expect("a store").expect("a chunk");
        let read: Vec<Value> =
            serde_json::from_slice(&chunk.value).expect("resources");
        let read = read.into_iter().map(Resource::from_value);
        resources.extend(read.map(|resource| resource.expect("a resource")));
    }
    let snapshot =
        dewspar::config::Snapshot::from_parts(head.revision(), resources);
    let next = snapshot.apply(&[team(name)]).expect("a snapshot");
    let (next, fresh) = head.advance(&next, "newer");
    let mut text = serde_json::to_string(&next).expect("plain JSON");
    for chunk in &fresh {
        let mut rows: Vec<Value> =
            serde_json::from_slice(chunk.body()).expect("resources");
        for row in &mut rows {
            row["spec"]["of_a_newer_version"] = json!(1);
        }
        let body = serde_json::to_vec(&rows).expect("plain JSON");
        let newer = format!("{}.{}", digest(&body), next.revision());
        text = text.replace(chunk.name(), &newer);
        put(store, &format!("{}{newer}", keys::CHUNK), &body).await;
    }
    put(store, keys::CONFIG_HEAD, text.as_bytes()).await;
}

#[tokio::test(start_paused = true)]
async fn a_field_of_a_newer_version_leaves_the_last_good_configuration() {
    let store = Store::new(Faults::new(1));
    store.faults().set_delay_us(1_000);
    let written = config_store::write(&store, &[team("a")]).await;
    written.expect("accepted");
    let notes = UnreadableNotes::default();
    let interval = Duration::from_secs(1);
    let log = logs::discard();
    let node =
        watcher::start(store.clone(), NoVms, interval, notes.clone(), log);
    sleep(HEARD).await;
    assert_eq!(node.revision(), 1);

    write_by_newer_version(&store, "b").await;
    sleep(HEARD).await;
    assert_eq!(node.revision(), 1, "the last good one stays");
    let told = notes.take().told;
    let told: Vec<&str> = told.iter().map(|t| t.reason.as_str()).collect();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains("of_a_newer_version"), "{told:?}");
}

#[tokio::test(start_paused = true)]
async fn an_operator_is_told_which_field_of_a_newer_version_is_in_the_way() {
    let store = Store::new(Faults::new(1));
    let written = config_store::write(&store, &[team("a")]).await;
    written.expect("accepted");
    write_by_newer_version(&store, "b").await;
    let head = store.get(keys::CONFIG_HEAD).await.expect("a store");

    let error = config_store::write(&store, &[team("c")]).await;
    let error = error.expect_err("it can't be applied");
    assert!(!matches!(error, Error::Contended), "nobody else has written");
    let text = error.to_string();
    assert!(text.contains("of_a_newer_version"), "{text}");
    let now = store.get(keys::CONFIG_HEAD).await.expect("a store");
    assert_eq!(now, head, "nothing is lost");
}
