//! Nodes follow documents that a newer version of the program, or somebody
//! else, may have written. A head of the configuration that couldn't be read
//! made the watcher list everything again without a pause; one whose chunk was
//! missing kept it from publishing anything, members and halls included; and
//! one unreadable hall or pool stopped fleet control for all others ("fleet:
//! step not taken": "swap: the platform answered what can't be read"). What
//! can't be read stays as it was known, and everything else goes on.

use {
    dewspar::{
        config::{Change, Head, Resource},
        fleet::{Hall, Listing, VmState},
        member::Member,
    },
    dewspar_platform::{
        Error, Expected, KeyValue, TaskReport, TaskStart, UnreadableNotes,
        VmList, VmListing, WorkerReport, Workers,
    },
    dewspar_standin::{certs::Authority, faults::Faults, store::Store},
    dewspard::{
        config_store, logs,
        node::{Node, Platform},
        peer::Identity,
        settings::Settings,
        view::View,
        watcher,
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// How long anything may take before the test gives up on it.
const LIMIT: Duration = Duration::from_secs(60);

/// A list of VMs that is as it was last set.
#[derive(Clone, Default)]
struct Listed(Arc<Mutex<VmListing>>);

impl Listed {
    fn set(&self, vms: &[Listing], is_partial: bool) {
        let (tag, vms) = (String::new(), vms.to_vec());
        *self.0.lock().expect("a list") = VmListing { tag, vms, is_partial };
    }
}

impl VmList for Listed {
    async fn list(&self, _: &str) -> Result<Option<VmListing>, Error> {
        Ok(Some(self.0.lock().expect("a list").clone()))
    }
}

/// Workers that run nothing.
#[derive(Clone)]
struct Idle;

impl Workers for Idle {
    async fn report(&self, _: &str) -> Result<WorkerReport, Error> {
        Ok(WorkerReport::default())
    }

    async fn start(
        &self,
        _: &str,
        _: &TaskStart,
    ) -> Result<TaskReport, Error> {
        let reason = "it runs nothing".to_owned();
        Err(Error::Unavailable { call: "start task", reason })
    }

    async fn stop(&self, _: &str, _: &str, _: u64) -> Result<(), Error> {
        Ok(())
    }

    async fn reboot(&self, _: &str, _: u64) -> Result<(), Error> {
        Ok(())
    }
}

async fn put(store: &Store, key: &str, value: &[u8]) {
    let put = store.swap(key, Expected::Any, value, None).await;
    put.expect("a store");
}

fn hall_of(vm: &str, hall: &str) -> Hall {
    let mut document = Hall::default();
    document.apply_listing(&Listing::new(vm, hall, "rack-1", "127.0.0.1:1"));
    document
}

fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain JSON")
}

fn watch(store: &Store) -> watcher::Handle {
    let vms = Listed::default();
    let notes = UnreadableNotes::default();
    let log = logs::discard();
    watcher::start(store.clone(), vms, Duration::from_secs(1), notes, log)
}

async fn until(handle: &watcher::Handle, holds: impl Fn(&View) -> bool) {
    let mut view = handle.view.clone();
    let waiting = view.wait_for(|view| holds(view));
    let found = timeout(LIMIT, waiting).await.map(|found| found.is_ok());
    assert_eq!(found, Ok(true), "in time");
}

async fn good_documents(store: &Store) {
    let member = Member::new("entry-1", 1, "hall-1");
    put(store, "w/member/entry-1", &json(&member)).await;
    put(store, "w/hall/hall-1", &json(&hall_of("vm-1", "hall-1"))).await;
}

#[tokio::test(start_paused = true)]
async fn a_configuration_that_cant_be_read_hides_itself_alone() {
    // A head that isn't one, and one whose chunk is missing.
    let team = "kind: Team\nname: a\nspec: {partner: p}\n";
    let change = Change::put(Resource::from_yaml(team).expect("a team"));
    let snapshot = dewspar::config::Snapshot::default()
        .apply(std::slice::from_ref(&change));
    let snapshot = snapshot.expect("a snapshot");
    let (head, _) = Head::default().advance(&snapshot, "token");
    for odd in [b"\xff".to_vec(), b"{}".to_vec(), json(&head)] {
        let store = Store::new(Faults::new(1));
        store.faults().set_delay_us(1_000);
        put(&store, "w/config/head", &odd).await;
        good_documents(&store).await;
        let handle = watch(&store);
        until(&handle, |view| view.row("vm-1").is_some()).await;
        until(&handle, |view| view.members.contains_key("entry-1")).await;
        sleep(Duration::from_secs(60)).await;
        let lists = store.lists_of("w/");
        assert!(lists <= 2, "listed {lists} times in a minute");
        // The next good one is taken over.
        store.delete("w/config/head").await.expect("a store");
        let written =
            config_store::write(&store, std::slice::from_ref(&change)).await;
        assert!(written.is_ok(), "{written:?}");
        until(&handle, |view| view.config.value.revision() == 1).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_document_that_cant_be_read_stays_as_it_was_known() {
    let store = Store::new(Faults::new(1));
    store.faults().set_delay_us(1_000);
    good_documents(&store).await;
    let handle = watch(&store);
    until(&handle, |view| view.row("vm-1").is_some()).await;
    put(&store, "w/hall/hall-1", b"[]").await;
    put(&store, "w/member/entry-1", b"7").await;
    put(&store, "w/hall/hall-2", &json(&hall_of("vm-2", "hall-2"))).await;
    until(&handle, |view| view.row("vm-2").is_some()).await;
    assert!(handle.view.borrow().row("vm-1").is_some());
    // A watch that has to begin anew reads everything again.
    handle.nudge(1);
    put(&store, "w/hall/hall-3", &json(&hall_of("vm-3", "hall-3"))).await;
    until(&handle, |view| view.row("vm-3").is_some()).await;
    let view = handle.view.borrow().clone();
    assert!(view.row("vm-1").is_some(), "{:?}", view.halls);
    assert!(view.members.contains_key("entry-1"), "{:?}", view.members);
}

fn settings() -> Settings {
    let text = "node: entry-1\nhall: hall-1\n\
         callers: {address: '127.0.0.1:0', stop_delay_ms: 0}\n\
         api: {address: '127.0.0.1:0', allow_anonymous: true}\n\
         peers: {address: '127.0.0.1:0', ca_file: '-', \
         certificate_file: '-', key_file: '-'}\n\
         platform: {url: 'http://127.0.0.1:1', \
         vm_list_url: 'http://127.0.0.1:1/vms', \
         vm_list_interval_ms: 100, lease_ttl_ms: 5000}\n";
    Settings::from_yaml(text).expect("settings")
}

fn pool(name: &str, vm: &str) -> Change {
    let text = format!("kind: Pool\nname: {name}\nspec: {{vms: [{vm}]}}\n");
    Change::put(Resource::from_yaml(&text).expect("a pool"))
}

fn listing(vm: &str, hall: &str, port: u16) -> Listing {
    Listing::new(vm, hall, "rack-1", &format!("127.0.0.1:{port}"))
}

async fn start(store: &Store, vms: &Listed) -> Node {
    let authority = Authority::new().expect("an authority");
    let issued = authority.issue("entry-1").expect("a certificate");
    let identity = Identity {
        ca: authority.certificate_pem().into_bytes(),
        certificate: issued.certificate_pem().as_bytes().to_vec(),
        key: issued.key_pem().as_bytes().to_vec(),
    };
    let platform = Platform {
        key_value: store.clone(),
        vm_list: vms.clone(),
        workers: Idle,
        unreadable: UnreadableNotes::default(),
    };
    let log = logs::discard();
    let settings = settings();
    let node = Node::start(&settings, &identity, platform, None, &log).await;
    node.expect("a node")
}

/// Waits until a VM does something; returns whether it ever does.
async fn comes_to(node: &Node, vm: &str, state: VmState) -> bool {
    let mut view = node.view().clone();
    let holds = |view: &Arc<View>| {
        view.row(vm).is_some_and(|row| row.state() == state)
    };
    timeout(LIMIT, view.wait_for(holds)).await.is_ok()
}

/// A list in which a row can't be read doesn't say that a VM is gone.
#[tokio::test]
async fn a_vm_whose_listing_cant_be_read_is_not_lost() {
    let store = Store::new(Faults::new(1));
    let changes = [pool("registry", "vm-1"), pool("archive", "vm-2")];
    let written = config_store::write(&store, &changes).await;
    written.expect("a configuration");
    let vms = Listed::default();
    let (one, other) = (listing("vm-1", "h", 1), listing("vm-2", "h", 2));
    vms.set(&[one.clone(), other.clone()], false);
    let node = start(&store, &vms).await;
    assert!(comes_to(&node, "vm-2", VmState::Serving).await);
    vms.set(std::slice::from_ref(&one), true);
    // Lists that follow the partial one are taken in one after the other.
    let third = listing("vm-3", "h", 3);
    vms.set(&[one.clone(), third.clone()], true);
    assert!(comes_to(&node, "vm-3", VmState::Free).await);
    let row = node.view().borrow().row("vm-2").map(|row| row.state());
    assert_eq!(row, Some(VmState::Serving));
    // A whole list without it says so.
    vms.set(&[one, third], false);
    assert!(comes_to(&node, "vm-2", VmState::Lost).await);
    node.kill();
}

/// Fleet control goes through halls and pools by name: those that can't be
/// read come first.
#[tokio::test]
async fn fleet_control_goes_on_beside_documents_that_cant_be_read() {
    let store = Store::new(Faults::new(1));
    let odd = br#"{"rows": 7, "tasks": [], "taken": {}}"#;
    put(&store, "w/hall/hall-1", odd).await;
    put(&store, "w/pool/archive", odd).await;
    let changes = [pool("archive", "vm-1"), pool("registry", "vm-2")];
    let written = config_store::write(&store, &changes).await;
    written.expect("a configuration");
    let vms = Listed::default();
    let (one, other) =
        (listing("vm-1", "hall-1", 1), listing("vm-2", "hall-2", 2));
    vms.set(&[one, other], false);
    let node = start(&store, &vms).await;
    let goes_on = comes_to(&node, "vm-2", VmState::Serving).await;
    assert!(goes_on, "fleet control stands still");
    for key in ["w/hall/hall-1", "w/pool/archive"] {
        let found = store.get(key).await.expect("a store").expect("a value");
        assert_eq!(found.value, odd, "{key} isn't this program's to change");
    }
    node.kill();
}
