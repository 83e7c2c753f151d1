//! Calls to the store over peers: detours of refused nodes, and reads that
//! many nodes share.

use {
    bytes::Bytes,
    dewspar::detour::PeerNode,
    dewspar_platform::{
        Client, Error, PeerDirectory, PeerRoutes, PeerServer, Reach,
        RefusalReason, ask_reach, check_status, empty_request, json_request,
    },
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming,
        server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Duration, timeout},
    },
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
    /// How many bytes longer than its value an answer is.
    padding: usize,
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
            padding: 0,
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
        let padding = " ".repeat(state.padding);
        Ok(Response::new(Full::from(format!("{}{padding}", state.value))))
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

/// The calls that nodes make to the store of these tests.
fn is_call(method: &Method, path: &str) -> bool {
    (method == Method::POST && path == "/write")
        || (method == Method::GET && path == "/read")
}

/// The nodes that the store lists.
#[derive(Clone, Default)]
struct Listed(Arc<Mutex<ListedState>>);

#[derive(Default)]
struct ListedState {
    nodes: Vec<PeerNode>,
    is_readable: bool,
    reads: u32,
    refusals: Vec<RefusalReason>,
}

impl Listed {
    fn nodes_at(addresses: &[&str]) -> Listed {
        let listed = Listed::default();
        listed.state().is_readable = true;
        listed.set(addresses);
        listed
    }

    fn set(&self, addresses: &[&str]) {
        let node = |address: &&str| PeerNode {
            address: (*address).to_owned(),
            ..PeerNode::default()
        };
        self.state().nodes = addresses.iter().map(node).collect();
    }

    fn state(&self) -> std::sync::MutexGuard<'_, ListedState> {
        self.0.lock().unwrap()
    }
}

impl PeerDirectory for Listed {
    async fn nodes(&self) -> Result<Vec<PeerNode>, Error> {
        let mut state = self.state();
        state.reads += 1;
        if state.is_readable {
            return Ok(state.nodes.clone());
        }
        let reason = "out".to_owned();
        Err(Error::Unavailable { call: "list", reason })
    }

    fn note_refusal(&self, _: IpAddr, reason: RefusalReason) {
        self.state().refusals.push(reason);
    }
}

/// Starts a peer that forwards calls to the store; returns its offer.
async fn start_peer(name: &str, store: &Store) -> PeerNode {
    start_peer_for(name, store, Listed::nodes_at(&["127.0.0.1:1"])).await
}

/// Starts a peer that forwards calls of the listed nodes.
async fn start_peer_for(
    name: &str,
    store: &Store,
    directory: Listed,
) -> PeerNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let authority = store.address.to_string().parse().unwrap();
    let client = Client::new(TIMEOUT_MS);
    let server = PeerServer::new(&client, authority, fingerprint, is_call);
    tokio::spawn(server.serve(listener, directory));
    PeerNode { name: name.to_owned(), address, ..PeerNode::default() }
}

/// Returns the offer of a peer that has ended.
async fn gone_peer() -> PeerNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    PeerNode { name: "gone".to_owned(), address, ..PeerNode::default() }
}

/// A node whose calls go to `store`, with these readers.
fn node(name: &str, readers: &[PeerNode]) -> (Client, PeerRoutes) {
    let routes = PeerRoutes::default();
    routes.set_readers(name, "", readers);
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
    assert!(dewspar_platform::is_peer_alive(&peer.address, None, wait).await);
    let gone = gone_peer().await;
    assert!(!dewspar_platform::is_peer_alive(&gone.address, None, wait).await);
    assert_eq!(store.calls("/dewspar-peer/alive"), 0);
}

/// Sends bytes to a peer and returns what it answers until it closes the
/// connection or pauses.
async fn answer_to(peer: &PeerNode, text: &str) -> String {
    let mut stream = TcpStream::connect(&peer.address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = timeout(Duration::from_millis(TIMEOUT_MS), async {
        stream.read(&mut answer).await
    });
    let length = read.await.expect("an answer").unwrap();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against callers that are no nodes, and against calls that nodes
/// don't make: both are refused from the head alone, since the announced body
/// never comes here.
#[tokio::test]
async fn a_stranger_is_refused_before_its_body_is_read() {
    let store = Store::start().await;
    let listed = Listed::nodes_at(&["127.0.0.2:1"]);
    let peer = start_peer_for("peer", &store, listed.clone()).await;
    let head = "POST /write HTTP/1.1\r\nhost: x\r\n\
                content-length: 9000000\r\n\r\n";
    let answer = answer_to(&peer, head).await;
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
    let alive = "GET /dewspar-peer/alive HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = answer_to(&peer, alive).await;
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
    let reasons = [RefusalReason::UnknownCaller; 2];
    assert_eq!(listed.state().refusals, reasons);
    // The second call came within a second of the first.
    assert_eq!(listed.state().reads, 1);
    assert_eq!(store.calls("/write"), 0);
}

#[tokio::test]
async fn calls_that_nodes_do_not_make_are_refused_before_their_body() {
    let store = Store::start().await;
    let peer = start_peer("peer", &store).await;
    for line in ["POST /read", "DELETE /write", "GET /", "PUT /admin"] {
        let head = format!(
            "{line} HTTP/1.1\r\nhost: x\r\ncontent-length: 9000\r\n\r\n"
        );
        let answer = answer_to(&peer, &head).await;
        assert!(answer.starts_with("HTTP/1.1 403"), "{line}: {answer}");
    }
    assert!(store.state.lock().unwrap().calls.is_empty());
}

/// Guards against bodies that take all memory of a small node.
#[tokio::test]
async fn bodies_in_flight_take_bounded_room() {
    let store = Store::start().await;
    let peer = start_peer("peer", &store).await;
    let head = |length: u32| {
        format!(
            "POST /write HTTP/1.1\r\nhost: x\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let answer = answer_to(&peer, &head(17 * 1024 * 1024)).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    let chunked = "POST /write HTTP/1.1\r\nhost: x\r\n\
                   transfer-encoding: chunked\r\n\r\n";
    let answer = answer_to(&peer, chunked).await;
    assert!(answer.starts_with("HTTP/1.1 411"), "{answer}");
    // One body takes nearly all the room for as long as it is awaited.
    let mut waiting = TcpStream::connect(&peer.address).await.unwrap();
    let large = head(16 * 1024 * 1024);
    waiting.write_all(large.as_bytes()).await.unwrap();
    loop {
        let answer = answer_to(&peer, &head(1_000)).await;
        if answer.starts_with("HTTP/1.1 503") {
            break;
        }
    }
    drop(waiting);
    // The room is free again.
    let (client, _) = node("node", std::slice::from_ref(&peer));
    let (refusing, _) = two_views().await;
    while write(&client, &refusing).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.calls("/write"), 1);
}

/// Guards against a node that takes a peer's refusal for the store's answer
/// and gives the call up.
#[tokio::test]
async fn a_node_that_is_not_listed_goes_on_over_another_peer_or_itself() {
    let (refusing, served) = two_views().await;
    let unknowing = start_peer_for("a", &served, Listed::default()).await;
    let (client, _) = node("node", std::slice::from_ref(&unknowing));
    let sharing = client.sharing_reads(10);
    assert_eq!(read(&sharing, &served).await.unwrap(), "100");
    let error = write(&client, &refusing).await.unwrap_err();
    assert!(!error.may_have_taken_effect(), "{error}");
    let knowing = start_peer("b", &served).await;
    let (client, _) = node("node", &[unknowing, knowing]);
    assert_eq!(write(&client, &refusing).await.unwrap(), "101");
    assert_eq!(served.calls("/write"), 1);
}

/// Guards against nodes that stay unknown after their start, and against ones
/// that refuse each other while the store is out: the last list stays in use.
#[tokio::test]
async fn a_node_that_starts_is_known_after_the_next_read() {
    let store = Store::start().await;
    let listed = Listed::nodes_at(&[]);
    let peer = start_peer_for("peer", &store, listed.clone()).await;
    let alive = "GET /dewspar-peer/alive HTTP/1.1\r\nhost: x\r\n\r\n";
    assert!(answer_to(&peer, alive).await.starts_with("HTTP/1.1 403"));
    listed.set(&["127.0.0.1:7"]);
    while answer_to(&peer, alive).await.starts_with("HTTP/1.1 403") {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    listed.state().is_readable = false;
    assert!(answer_to(&peer, alive).await.starts_with("HTTP/1.1 200"));
}

/// Guards against readers that are replaced because they don't know a new
/// holder yet.
#[tokio::test]
async fn a_peer_that_refuses_the_check_is_alive() {
    let store = Store::start().await;
    let peer = start_peer_for("peer", &store, Listed::default()).await;
    let wait = Duration::from_millis(TIMEOUT_MS);
    assert!(dewspar_platform::is_peer_alive(&peer.address, None, wait).await);
}

/// Guards against nodes with several addresses, whose peers know the one at
/// which they offer to forward calls.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn calls_to_peers_leave_from_the_address_that_is_offered() {
    let (refusing, served) = two_views().await;
    let listed = Listed::nodes_at(&["127.0.0.9:1"]);
    let peer = start_peer_for("peer", &served, listed).await;
    let own = "127.0.0.9".parse().unwrap();
    let connect_timeout = Duration::from_millis(TIMEOUT_MS);
    let routes = PeerRoutes::calling_from(own, connect_timeout);
    routes.set_readers("node", "", &[peer]);
    let client = Client::new(TIMEOUT_MS).with_peers(&routes);
    assert_eq!(write(&client, &refusing).await.unwrap(), "101");
}

/// Guards against a cut-off hall whose nodes try only each other: the second
/// try is in another hall.
#[tokio::test]
async fn a_detour_tries_another_hall_second() {
    let (refusing, served) = two_views().await;
    let cut_off = Store::start().await;
    cut_off.set_mood(Mood::Refuses);
    let mut readers = Vec::new();
    for name in ["a", "b", "c"] {
        let peer = start_peer(name, &cut_off).await;
        readers.push(PeerNode { hall: "hall-1".to_owned(), ..peer });
    }
    let other = start_peer("d", &served).await;
    readers.push(PeerNode { hall: "hall-2".to_owned(), ..other });
    let routes = PeerRoutes::default();
    routes.set_readers("node", "hall-1", &readers);
    let client = Client::new(TIMEOUT_MS).with_peers(&routes);
    assert_eq!(write(&client, &refusing).await.unwrap(), "101");
    assert_eq!(cut_off.calls("/write"), 1);
}

/// Guards against nodes that can be used to reach any address.
#[tokio::test]
async fn a_peer_says_whether_it_reaches_a_listed_node() {
    let store = Store::start().await;
    let reader = start_peer("reader", &store).await;
    let gone = gone_peer().await;
    let listed = [reader.address.as_str(), gone.address.as_str()];
    let listed = Listed::nodes_at(&listed);
    let observer = start_peer_for("observer", &store, listed).await;
    let ask = async |address: &str| {
        ask_reach(&observer.address, address, None).await
    };
    assert_eq!(ask(&reader.address).await, Reach::Reached);
    assert_eq!(ask(&gone.address).await, Reach::NotReached);
    let store_address = store.address.to_string();
    assert_eq!(ask(&store_address).await, Reach::Unknown);
    assert_eq!(ask("").await, Reach::Unknown);
    // A node of an earlier build forwards the question to the store.
    let earlier = ask_reach(&store_address, &reader.address, None).await;
    assert_ne!(earlier, Reach::NotReached);
    let nobody = ask_reach(&gone.address, &reader.address, None).await;
    assert_eq!(nobody, Reach::Unknown);
}

/// Guards against checks that each count as those of an unknown caller, on
/// nodes whose calls leave from another address than the listed one.
#[cfg(target_os = "linux")]
#[tokio::test]
async fn checks_of_peers_leave_from_the_address_that_is_offered() {
    let store = Store::start().await;
    let listed = Listed::nodes_at(&["127.0.0.9:1"]);
    let peer = start_peer_for("peer", &store, listed.clone()).await;
    let own = "127.0.0.9".parse().ok();
    let wait = Duration::from_millis(TIMEOUT_MS);
    assert!(dewspar_platform::is_peer_alive(&peer.address, own, wait).await);
    assert!(listed.state().refusals.is_empty());
    // So do those that another node asks for.
    let directory = Listed::nodes_at(&["127.0.0.1:1", &peer.address]);
    let listener = TcpListener::bind("127.0.0.9:0").await.unwrap();
    let observer = listener.local_addr().unwrap().to_string();
    let authority = store.address.to_string().parse().unwrap();
    let client = Client::new(TIMEOUT_MS);
    let server = PeerServer::new(&client, authority, fingerprint, is_call);
    tokio::spawn(server.serve(listener, directory));
    let reach = ask_reach(&observer, &peer.address, None).await;
    assert_eq!(reach, Reach::Reached);
    assert!(listed.state().refusals.is_empty());
}

/// Guards against a node that takes itself for cut off because all peers that
/// it checks are in the one hall that it doesn't reach.
#[test]
fn a_peer_of_each_other_hall_is_checked() {
    let readers: Vec<PeerNode> = (0..12)
        .map(|number| PeerNode {
            name: format!("n-{number}"),
            hall: format!("hall-{}", if number < 10 { 1 } else { number }),
            address: format!("10.0.{number}.1:1"),
            strength: 1,
        })
        .collect();
    let routes = PeerRoutes::default();
    for node in (0..20).map(|number| format!("node-{number}")) {
        routes.set_readers(&node, "hall-0", &readers);
        let checked = routes.peers_outside("hall-0", 3);
        assert_eq!(checked.len(), 3, "{node}");
        assert!(checked.contains(&readers[10].address), "{node}");
        assert!(checked.contains(&readers[11].address), "{node}");
        assert_eq!(routes.peers_outside("hall-0", 1).len(), 3, "{node}");
        assert_eq!(routes.peers_outside("hall-0", 9).len(), 9, "{node}");
    }
}

/// Guards against a caller that announces a body, sends nothing and so keeps
/// the room of all others.
#[tokio::test]
async fn a_body_that_does_not_come_takes_its_room_for_seconds_only() {
    let store = Store::start().await;
    let peer = start_peer("peer", &store).await;
    let head = |length: u32| {
        format!(
            "POST /write HTTP/1.1\r\nhost: x\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let mut waiting = TcpStream::connect(&peer.address).await.unwrap();
    let large = head(16 * 1024 * 1024);
    waiting.write_all(large.as_bytes()).await.unwrap();
    while !answer_to(&peer, &head(1_000)).await.starts_with("HTTP/1.1 503") {}
    // Its caller learns that the call wasn't carried out.
    let mut answer = [0; 12];
    let reading = waiting.read_exact(&mut answer);
    let read = timeout(Duration::from_secs(12), reading).await;
    read.expect("in time").unwrap();
    assert_eq!(&answer, b"HTTP/1.1 403");
    let (client, _) = node("node", &[peer]);
    let (refusing, _) = two_views().await;
    assert!(write(&client, &refusing).await.is_ok());
}

/// Guards against strangers that take memory by open connections alone.
#[tokio::test]
async fn connections_from_unlisted_addresses_are_few_and_short() {
    let store = Store::start().await;
    let listed = Listed::nodes_at(&[]);
    let peer = start_peer_for("peer", &store, listed.clone()).await;
    let alive = "GET /dewspar-peer/alive HTTP/1.1\r\nhost: x\r\n\r\n";
    assert!(answer_to(&peer, alive).await.starts_with("HTTP/1.1 403"));
    listed.state().refusals.clear();
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(TcpStream::connect(&peer.address).await.unwrap());
    }
    let is_closed = async |stream: &mut TcpStream| {
        // A reset ends the connection as well.
        let mut read = [0; 1];
        let read = timeout(Duration::from_secs(15), stream.read(&mut read));
        matches!(read.await, Ok(Ok(0) | Err(_)))
    };
    for stream in &mut silent {
        assert!(is_closed(stream).await);
    }
    let refusals = listed.state().refusals.clone();
    let reason = RefusalReason::TooManyConnections;
    assert!(refusals.len() >= 72, "{}", refusals.len());
    assert!(refusals.iter().all(|refusal| *refusal == reason));
}

/// Guards against heads that take the memory that bodies may not take.
#[tokio::test]
async fn heads_of_calls_are_bounded() {
    let store = Store::start().await;
    let peer = start_peer("peer", &store).await;
    let padding = "x".repeat(64 * 1024);
    let head = format!("GET /read HTTP/1.1\r\nhost: x\r\na: {padding}\r\n");
    let answer = answer_to(&peer, &head).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

/// Guards against answers that take the memory that bodies may not take. The
/// room for both is 16 MiB.
#[tokio::test]
async fn answers_in_flight_take_bounded_room() {
    let store = Store::start().await;
    store.state.lock().unwrap().padding = 9 * 1024 * 1024;
    let peer = start_peer("peer", &store).await;
    // This caller doesn't read its answer.
    let mut slow = TcpStream::connect(&peer.address).await.unwrap();
    let read_head = b"GET /read HTTP/1.1\r\nhost: x\r\n\r\n";
    slow.write_all(read_head).await.unwrap();
    slow.read_exact(&mut [0; 12]).await.unwrap();
    let (refusing, _) = two_views().await;
    let (client, _) = node("node", std::slice::from_ref(&peer));
    let error = read(&client, &refusing).await.unwrap_err();
    assert!(!error.may_have_taken_effect(), "{error}");
    let (client, _) = node("node", std::slice::from_ref(&peer));
    let error = write(&client, &refusing).await.unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
    drop(slow);
    let (client, _) = node("node", &[peer]);
    while read(&client, &refusing).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a peer's own refusal of a body that is taken for the store's
/// answer.
#[tokio::test]
async fn a_body_that_a_peer_refuses_was_not_carried() {
    let (refusing, served) = two_views().await;
    let peer = start_peer("peer", &served).await;
    let (client, routes) = node("node", &[peer]);
    let url = format!("http://{}/write", refusing.address);
    let body = "x".repeat(17 * 1024 * 1024);
    let request = json_request("write", Method::POST, &url, &body).unwrap();
    let answer = client.send("write", request).await.unwrap();
    // The store's own answer.
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(routes.status().forwarded_calls, 0);
}

/// Guards against any change where the loss of halls needn't be tolerated: the
/// second try is the second preference.
#[tokio::test]
async fn without_a_hall_of_its_own_a_node_does_not_prefer_another_one() {
    let (refusing, served) = two_views().await;
    let cut_off = Store::start().await;
    cut_off.set_mood(Mood::Refuses);
    let mut readers = Vec::new();
    for name in ["a", "b", "c"] {
        let peer = start_peer(name, &cut_off).await;
        readers.push(PeerNode { hall: "hall-1".to_owned(), ..peer });
    }
    let other = start_peer("d", &served).await;
    readers.push(PeerNode { hall: "hall-2".to_owned(), ..other });
    let names = (0..100).map(|number| format!("node-{number}"));
    let mut last = names.filter(|name| {
        let order = dewspar::detour::preferred_readers(name, "", &readers);
        order[3].name == "d"
    });
    let (client, _) = node(&last.next().unwrap(), &readers);
    assert!(write(&client, &refusing).await.is_err());
    assert_eq!(cut_off.calls("/write"), 2);
    assert_eq!(served.calls("/write"), 0);
}
