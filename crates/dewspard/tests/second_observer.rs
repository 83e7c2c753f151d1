//! Integration tests of a holder whose readers don't answer it, although they
//! may serve others.

use {
    dewspar::detour::PeerNode,
    dewspar_platform::{Batch, KeyValue, Traffic, UnreadableNotes},
    dewspar_standin::{faults::Faults, store::Store, task_fleet::TaskFleet},
    dewspard::{
        jobs::{JobNode, JobPlatform, JobSettings, RestProtocol},
        logs,
    },
    std::{
        future::Future,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// How long any step may take before a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A peer of another hall: alive, and asked about others.
#[derive(Clone, Default)]
struct Observer {
    /// Whether it says that it reaches the node it is asked about.
    reaches: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    /// Whether it answers only every second question, as if every other node
    /// were of a build without it.
    is_unsure: Arc<AtomicBool>,
    /// How many times it was asked whether it is alive.
    checked: Arc<AtomicUsize>,
}

impl Observer {
    async fn serve(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let observer = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(observer.clone().answer(stream));
            }
        });
        address.to_string()
    }

    async fn answer(self, mut stream: TcpStream) {
        let mut read = [0; 4_096];
        while let Ok(length @ 1..) = stream.read(&mut read).await {
            let text = String::from_utf8_lossy(&read[..length]).into_owned();
            let status = if text.contains("/dewspar-peer/reaches?") {
                let before = self.asked.fetch_add(1, Ordering::Relaxed);
                if self.is_unsure.load(Ordering::Relaxed)
                    && before.is_multiple_of(2)
                {
                    404
                } else if self.reaches.load(Ordering::Relaxed) {
                    200
                } else {
                    424
                }
            } else {
                self.checked.fetch_add(1, Ordering::Relaxed);
                200
            };
            let answer =
                format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Polls until a condition is true.
async fn wait_until<F: Future<Output = bool>>(
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, waiting).await.expect("in time");
}

struct Site {
    store: Store,
    observer: Observer,
    _holder: JobNode,
}

impl Site {
    /// Starts a holder with a reader that doesn't answer it, one that does in
    /// another hall, and a weaker node that would replace the first.
    async fn start(tolerated_halls: usize, reaches: bool) -> Site {
        Site::start_with(tolerated_halls, reaches, false).await
    }

    async fn start_with(
        tolerated_halls: usize,
        reaches: bool,
        is_unsure: bool,
    ) -> Site {
        let store = Store::new(Faults::new(1));
        let observer = Observer::default();
        observer.reaches.store(reaches, Ordering::Relaxed);
        observer.is_unsure.store(is_unsure, Ordering::Relaxed);
        let gone = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let silent = gone.local_addr().expect("an address").to_string();
        drop(gone);
        let other = Observer::default().serve().await;
        let offers = [
            ("silent", "hall-2", silent, 1_000),
            ("observer", "hall-3", observer.serve().await, 1_000),
            ("spare", "hall-2", other, 100),
        ];
        for (name, hall, address, strength) in offers {
            let offer = PeerNode {
                name: name.to_owned(),
                hall: hall.to_owned(),
                address,
                strength,
            };
            let offer = serde_json::to_vec(&offer).expect("plain JSON");
            let batch = Batch::default().put(&format!("peer/{name}"), offer);
            store.commit(&batch).await.expect("a store");
        }
        // More than the other halls' shares; any of the third hall is asked.
        for number in 0..8 {
            let hall = ["hall-1", "hall-3"][number % 2];
            let server = match hall {
                "hall-3" => observer.clone(),
                _ => Observer::default(),
            };
            let offer = PeerNode {
                name: format!("strong-{number}"),
                hall: hall.to_owned(),
                address: server.serve().await,
                strength: 1_000,
            };
            let key = format!("peer/{}", offer.name);
            let offer = serde_json::to_vec(&offer).expect("plain JSON");
            let batch = Batch::default().put(&key, offer);
            store.commit(&batch).await.expect("a store");
        }
        let fleet = TaskFleet::new(Faults::new(2), "registry", 1);
        fleet.configure(dewspar::job::QueueSet::new(1, Vec::new()));
        let mut settings = JobSettings::loopback("holder");
        settings.tolerate.halls = Some(tolerated_halls);
        let platform = JobPlatform {
            store: store.clone(),
            workers: fleet.clone(),
            fleet,
            protocol: RestProtocol,
            readiness_path: "/ready",
            traffic: Traffic::default(),
            unreadable: UnreadableNotes::default(),
            peers: None,
        };
        let log = logs::discard();
        let holder = JobNode::start(&settings, platform, None, &log).await;
        let _holder = holder.expect("a started node");
        Site { store, observer, _holder }
    }

    async fn is_reader(&self, name: &str) -> bool {
        let found = self.store.get("readers").await.expect("a store");
        let readers = found.and_then(|found| {
            serde_json::from_slice::<Vec<PeerNode>>(&found.value).ok()
        });
        let readers = readers.unwrap_or_default();
        readers.iter().any(|reader| reader.name == name)
    }
}

/// Guards against a half-cut in which the holder replaces readers that serve
/// their own hall.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_another_hall_reaches_stays() {
    let site = Site::start(1, true).await;
    wait_until(async || site.observer.asked.load(Ordering::Relaxed) > 2).await;
    assert!(site.is_reader("silent").await);
    // The other halls' view changes.
    site.observer.reaches.store(false, Ordering::Relaxed);
    wait_until(async || !site.is_reader("silent").await).await;
    assert!(site.is_reader("spare").await);
}

/// Guards against one observer of an earlier build that has readers of a
/// half-cut hall replaced.
#[tokio::test(flavor = "multi_thread")]
async fn another_observer_is_asked_if_the_first_does_not_know() {
    let site = Site::start_with(1, true, true).await;
    wait_until(async || site.observer.asked.load(Ordering::Relaxed) > 5).await;
    assert!(site.is_reader("silent").await);
}

/// Guards against readers that are gone and stay.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_nobody_reaches_is_replaced() {
    let site = Site::start(1, false).await;
    wait_until(async || {
        site.is_reader("spare").await && !site.is_reader("silent").await
    })
    .await;
    assert!(site.observer.asked.load(Ordering::Relaxed) > 0);
}

/// Guards against new calls where the loss of halls needn't be tolerated.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_setting_nobody_else_is_asked() {
    let site = Site::start(0, true).await;
    wait_until(async || site.observer.checked.load(Ordering::Relaxed) > 4)
        .await;
    wait_until(async || !site.is_reader("silent").await).await;
    assert_eq!(site.observer.asked.load(Ordering::Relaxed), 0);
}
