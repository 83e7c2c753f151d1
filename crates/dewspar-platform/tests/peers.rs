//! Calls to the store over peers: detours of refused nodes, and reads that
//! many nodes share.

use {
    bytes::Bytes,
    dewspar::detour::PeerNode,
    dewspar_platform::{
        Client, Error, PeerRoutes, PeerServer, check_status, empty_request,
        json_request,
    },
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming,
        server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{net::TcpListener, time::Duration},
};

/// The time that a call may take, in milliseconds: long, since a busy machine
/// must not fail these tests.
const TIMEOUT_MS: u64 = 20_000;

/// How the store answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mood {
    Serves,
    Refuses,
    BreaksOff,
}

#[derive(Debug)]
struct StoreState {
    mood: Mood,
    value: u64,
    calls: BTreeMap<String, u32>,
}

/// A store with one value, which it counts up with each write.
#[derive(Clone)]
struct Store {
    state: Arc<Mutex<StoreState>>,
    address: SocketAddr,
}

impl Store {
    async fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = StoreState {
            mood: Mood::Serves,
            value: 0,
            calls: BTreeMap::new(),
        };
        let store = Store { state: Arc::new(Mutex::new(state)), address };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                let service = service_fn(move |request| {
                    let answer = store.answer(&request);
                    async move { answer.map_err(|()| Broken) }
                });
                tokio::spawn(
                    http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service),
                );
            }
        });
        store
    }

    fn answer(
        &self,
        request: &Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, ()> {
        let mut state = self.state.lock().unwrap();
        let path = request.uri().path().to_owned();
        *state.calls.entry(path).or_default() += 1;
        match state.mood {
            Mood::Serves => {}
            Mood::Refuses => {
                let mut response = Response::new(Full::default());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                return Ok(response);
            }
            Mood::BreaksOff => return Err(()),
        }
        if request.method() == Method::POST {
            state.value += 1;
        }
        Ok(Response::new(Full::from(state.value.to_string())))
    }

    fn set_mood(&self, mood: Mood) {
        self.state.lock().unwrap().mood = mood;
    }

    fn calls(&self, path: &str) -> u32 {
        let state = self.state.lock().unwrap();
        state.calls.get(path).copied().unwrap_or(0)
    }
}

#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for Broken {}

fn fingerprint(body: &[u8]) -> u64 {
    body.iter().fold(7, |hash, byte| hash * 31 + u64::from(*byte))
}

/// Starts a peer that forwards calls to the store; returns its offer.
async fn start_peer(name: &str, store: &Store) -> PeerNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let authority = store.address.to_string().parse().unwrap();
    let client = Client::new(TIMEOUT_MS);
    let server = PeerServer::new(&client, authority, fingerprint);
    tokio::spawn(server.serve(listener));
    PeerNode { name: name.to_owned(), address, strength: 1 }
}

/// Returns the offer of a peer that has ended.
async fn gone_peer() -> PeerNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    PeerNode { name: "gone".to_owned(), address, strength: 1 }
}

/// A node whose calls go to `store`, with these readers.
fn node(name: &str, readers: &[PeerNode]) -> (Client, PeerRoutes) {
    let routes = PeerRoutes::default();
    routes.set_readers(name, readers);
    (Client::new(TIMEOUT_MS).with_peers(&routes), routes)
}

async fn write(client: &Client, store: &Store) -> Result<String, Error> {
    let url = format!("http://{}/write", store.address);
    let request = json_request("write", Method::POST, &url, &1).unwrap();
    let answer = client.send("write", request).await?;
    check_status("write", &answer)?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

async fn read(client: &Client, store: &Store) -> Result<String, Error> {
    let url = format!("http://{}/read", store.address);
    let request = empty_request("read", Method::GET, &url).unwrap();
    let answer = client.send("read", request).await?;
    check_status("read", &answer)?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

/// One store as two nodes see it: it may refuse the one and serve the other.
async fn two_views() -> (Store, Store) {
    let served = Store::start().await;
    let refusing = Store::start().await;
    refusing.set_mood(Mood::Refuses);
    // Their values differ, which shows who answered.
    served.state.lock().unwrap().value = 100;
    (refusing, served)
}

#[tokio::test]
async fn a_refused_call_goes_over_a_peer_that_is_served() {
    let (refusing, served) = two_views().await;
    let peer = start_peer("peer", &served).await;
    let (client, routes) = node("node", &[peer]);
    assert_eq!(write(&client, &refusing).await.unwrap(), "101");
    assert!(routes.status().own_path_failed);
    // The own path isn't tried with each call.
    assert_eq!(write(&client, &refusing).await.unwrap(), "102");
    assert_eq!(refusing.calls("/write"), 1);
    assert_eq!(routes.status().forwarded_calls, 2);
}

#[tokio::test]
async fn a_call_without_an_answer_is_not_repeated_over_a_peer() {
    let (breaking, served) = two_views().await;
    breaking.set_mood(Mood::BreaksOff);
    let peer = start_peer("peer", &served).await;
    let (client, _) = node("node", &[peer]);
    let error = write(&client, &breaking).await.unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
    assert_eq!(served.calls("/write"), 0);
    // Later calls take the detour.
    assert_eq!(write(&client, &breaking).await.unwrap(), "101");
}

#[tokio::test]
async fn a_peer_says_whether_a_failed_call_may_have_taken_effect() {
    let (refusing, store) = two_views().await;
    let peer = start_peer("peer", &store).await;
    store.set_mood(Mood::BreaksOff);
    let (client, _) = node("node", std::slice::from_ref(&peer));
    let error = write(&client, &refusing).await.unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
    store.set_mood(Mood::Refuses);
    let (client, _) = node("node", &[peer]);
    let error = write(&client, &refusing).await.unwrap_err();
    assert!(!error.may_have_taken_effect(), "{error}");
}

#[tokio::test]
async fn an_outage_of_the_store_costs_no_call_more_than_one_detour() {
    let (refusing, store) = two_views().await;
    store.set_mood(Mood::Refuses);
    let peer = start_peer("peer", &store).await;
    let (client, _) = node("node", &[peer]);
    for _ in 0..20 {
        assert!(write(&client, &refusing).await.is_err());
    }
    assert_eq!(refusing.calls("/write"), 20);
    assert_eq!(store.calls("/write"), 1);
}

#[tokio::test]
async fn a_peer_that_is_gone_is_passed_over() {
    let (refusing, served) = two_views().await;
    let gone = gone_peer().await;
    let peer = start_peer("peer", &served).await;
    let (client, _) = node("node", &[gone, peer]);
    assert_eq!(write(&client, &refusing).await.unwrap(), "101");
}

/// Reads once from each of these nodes at the same time; returns how many
/// calls that took.
async fn calls_of_shared_reads(nodes: usize) -> u32 {
    let store = Store::start().await;
    let reader = start_peer("reader", &store).await;
    let mut reads = Vec::new();
    for number in 0..nodes {
        let (client, routes) =
            node(&format!("node-{number}"), std::slice::from_ref(&reader));
        let client = client.sharing_reads(2_000);
        assert!(client.shares_reads());
        let store = store.clone();
        reads.push(tokio::spawn(async move {
            read(&client, &store).await.unwrap();
            assert_eq!(routes.status().shared_reads, 1);
        }));
    }
    for read in reads {
        read.await.unwrap();
    }
    store.calls("/read")
}

#[tokio::test]
async fn calls_of_shared_reads_do_not_grow_with_the_nodes() {
    // The first read is sent at once, the second for all that came meanwhile;
    // a slow machine may spread them over a third.
    assert!(calls_of_shared_reads(40).await <= 3);
    assert!(calls_of_shared_reads(80).await <= 3);
}

#[tokio::test]
async fn a_shared_read_sees_every_write_that_was_answered_before() {
    let store = Store::start().await;
    let reader = start_peer("reader", &store).await;
    let (client, _) = node("node", &[reader]);
    let sharing = client.sharing_reads(20);
    for _ in 0..30 {
        let written = write(&client, &store).await.unwrap();
        assert_eq!(read(&sharing, &store).await.unwrap(), written);
    }
}

#[tokio::test]
async fn an_unchanged_result_is_known_without_being_sent_again() {
    let store = Store::start().await;
    let reader = start_peer("reader", &store).await;
    let (client, routes) = node("node", &[reader]);
    let client = client.sharing_reads(10);
    for _ in 0..3 {
        assert_eq!(read(&client, &store).await.unwrap(), "0");
    }
    assert_eq!(routes.status().shared_reads, 3);
    store.state.lock().unwrap().value = 5;
    assert_eq!(read(&client, &store).await.unwrap(), "5");
}

#[tokio::test]
async fn a_node_reads_itself_if_its_reader_is_gone() {
    let store = Store::start().await;
    let gone = gone_peer().await;
    let (client, _) = node("node", &[gone]);
    let client = client.sharing_reads(10);
    assert_eq!(read(&client, &store).await.unwrap(), "0");
    assert_eq!(store.calls("/read"), 1);
}

#[tokio::test]
async fn a_reader_reads_itself() {
    let store = Store::start().await;
    let reader = start_peer("node", &store).await;
    let (client, _) = node("node", &[reader]);
    assert!(!client.sharing_reads(10).shares_reads());
}

#[tokio::test]
async fn a_peer_is_alive_only_while_it_answers() {
    let store = Store::start().await;
    let peer = start_peer("peer", &store).await;
    let wait = Duration::from_millis(TIMEOUT_MS);
    assert!(dewspar_platform::is_peer_alive(&peer.address, wait).await);
    let gone = gone_peer().await;
    assert!(!dewspar_platform::is_peer_alive(&gone.address, wait).await);
    assert_eq!(store.calls("/dewspar-peer/alive"), 0);
}
