//! Crowds of clients that don't follow the protocol, at the addresses of a whole
//! node as a process of its own.
//!
//! As for nodes that run jobs, no crowd may use up the memory or the descriptors
//! of a machine, nor shut out a caller who sends a whole request. The tests of
//! this program run one at a time.

mod support;

use {
    dewspar_standin::{
        crowd::{Crowd, Sends},
        usage::{DESCRIPTORS, Watch},
    },
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    support::{Bench, FLEET, Process, dewspar, try_ask, wait_for},
};

/// The largest request body that the process reads, in bytes.
const LEGAL_BODY_BYTES: usize = 1024 * 1024;

/// How long anything may take; only a hang is stopped by it.
const LIMIT: Duration = Duration::from_secs(120);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A node with the platform that it needs.
struct Site {
    _platform: Process,
    node: Process,
    callers: String,
    api: String,
}

impl Site {
    fn start(name: &str) -> Site {
        let bench = Bench::new(&format!("crowd-{name}"));
        let certs = bench.path("");
        let issue = ["standin", "certs", "--dir", &certs, "n1"];
        assert_eq!(dewspar("-", &issue).0, 0);
        let (platform, kv, list) = bench.platform();
        let (node, callers, api) =
            bench.node_with_descriptors("n1", &kv, &list, DESCRIPTORS);
        let site = Site { _platform: platform, node, callers, api };
        let fleet = bench.write("fleet.yaml", FLEET).display().to_string();
        wait_for("the fleet", || {
            dewspar(&site.api, &["apply", "-f", &fleet]).0 == 0
        });
        site.serves("before the crowd");
        site
    }

    /// Checks that a caller and an operator get their answers.
    fn serves(&self, when: &str) {
        let began = Instant::now();
        let until_answered = |address: &str, head: &str| {
            while try_ask(address, head) != Some(200) {
                assert!(began.elapsed() < LIMIT, "no {head} {when}");
                std::thread::sleep(Duration::from_millis(50));
            }
        };
        let certificate = "GET /certificates/item HTTP/1.1";
        until_answered(&self.callers, certificate);
        until_answered(&self.api, "GET /v1/service HTTP/1.1");
    }
}

/// Opens a crowd at one address of a node, and checks what must hold.
fn withstands(
    name: &str,
    connections: usize,
    at: impl Fn(&Site) -> &str,
    sends: &Sends,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let mut site = Site::start(name);
    let address =
        |text: &str| -> SocketAddr { text.parse().expect("an address") };
    let addresses = [address(&site.callers), address(&site.api)];
    let watch = Watch::start(site.node.child.id(), addresses);
    let at = address(at(&site));
    let crowd = runtime.block_on(async {
        let crowd = Crowd::open(at, connections, sends);
        let crowd = crowd.wait_until_sent(LIMIT).await;
        watch.settled().await;
        crowd
    });
    site.serves("beside the crowd");
    drop(crowd);
    site.serves("after the crowd");
    let ended = site.node.child.try_wait().expect("its state");
    let peak = watch.stop();
    println!("{name}: {peak:?}");
    assert_eq!(ended, None, "the process ended");
    peak.assert_within_machine();
}

fn callers(site: &Site) -> &str {
    &site.callers
}

fn api(site: &Site) -> &str {
    &site.api
}

/// Returns the head of a request that is read before it is forwarded.
fn post(extra: &str) -> String {
    let key = "01890a5d-ac96-774b-bcce-b302099a8057";
    format!(
        "POST /filings/new HTTP/1.1\r\nHost: dewspar\r\n\
         Idempotency-Key: {key}\r\n{extra}\r\n",
    )
}

fn chunks_of(bytes: usize) -> Sends {
    let head = post("Transfer-Encoding: chunked\r\n");
    Sends::chunks_without_an_end(&head, bytes, LEGAL_BODY_BYTES)
}

/// A node that keeps all incomplete bodies runs out of memory.
#[test]
fn bodies_that_stop_short_of_their_end_stay_within_memory_at_a_node() {
    let head = post(&format!("Content-Length: {LEGAL_BODY_BYTES}\r\n"));
    let sends = Sends::body_that_stops(&head, LEGAL_BODY_BYTES);
    withstands("stopped-bodies", 300, callers, &sends);
}

/// A body without a length must be bounded by what has arrived.
#[test]
fn large_chunks_without_an_end_stay_within_memory_at_a_node() {
    withstands("large-chunks", 300, callers, &chunks_of(60_000));
}

/// Chunks that are kept one by one take more memory than their bytes.
#[test]
fn small_chunks_without_an_end_stay_within_memory_at_a_node() {
    withstands("small-chunks", 200, callers, &chunks_of(64));
}

/// Buffers of heads add up if each may be large and none need end.
#[test]
fn heads_without_an_end_stay_within_memory_at_a_node() {
    let sends = Sends::head_without_an_end("GET /v1/service HTTP/1.1");
    withstands("endless-heads", 600, callers, &sends);
}

/// The same at the address for operators.
#[test]
fn heads_without_an_end_for_operators_stay_within_memory() {
    let sends = Sends::head_without_an_end("GET /v1/service HTTP/1.1");
    withstands("endless-operators", 600, api, &sends);
}

/// Empty lines before a request are part of no head, but take up its buffer.
#[test]
fn empty_lines_without_end_stay_within_memory_at_a_node() {
    withstands("empty-lines", 600, callers, &Sends::empty_lines());
}

/// Connections that send nothing must not take the descriptors that calls to
/// the platform need.
#[test]
fn idle_connections_leave_descriptors_for_the_platform() {
    withstands("idle-connections", 1_500, callers, &Sends::default());
}

/// The same at the address for operators.
#[test]
fn idle_connections_for_operators_leave_descriptors_for_the_platform() {
    withstands("idle-operators", 1_500, api, &Sends::default());
}

/// Streams of one HTTP/2 connection must not add up either: each has a window of
/// its own.
#[test]
fn streams_that_stop_short_of_their_end_stay_within_memory() {
    withstands("streams", 300, callers, &http2::bodies_without_an_end());
}

/// What a client of HTTP/2 sends.
mod http2 {
    use dewspar_standin::crowd::Sends;

    /// The size of a server's settings, of its answer to those of the client, and
    /// of the update of the connection's window.
    const GREETING_BYTES: usize = 33 + 9 + 13;

    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const END_HEADERS: u8 = 4;

    /// How many streams a connection opens, and how much it sends on each: as
    /// much as the usual windows take without an update.
    const STREAMS: u32 = 15;
    const STREAM_BYTES: usize = 60_000;
    const FRAME_BYTES: usize = 15_000;

    fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let length = u32::try_from(payload.len()).expect("a short frame");
        let mut frame = length.to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        frame
    }

    /// Returns a header field without an index, as HPACK writes it literally.
    fn field(name: &str, value: &str) -> Vec<u8> {
        let text = |text: &str| {
            let length = u8::try_from(text.len()).expect("a short text");
            [&[length], text.as_bytes()].concat()
        };
        [vec![0], text(name), text(value)].concat()
    }

    pub fn bodies_without_an_end() -> Sends {
        let head = [
            field(":method", "POST"),
            field(":scheme", "http"),
            field(":path", "/filings/new"),
            field(":authority", "a"),
            field("idempotency-key", "01890a5d-ac96-774b-bcce-b302099a8057"),
        ]
        .concat();
        let mut first = PREFACE.to_vec();
        first.extend(frame(SETTINGS, 0, 0, &[]));
        let mut repeated = Vec::new();
        for number in 0..STREAMS {
            let stream = 2 * number + 1;
            repeated.extend(frame(HEADERS, END_HEADERS, stream, &head));
        }
        for _ in 0..STREAM_BYTES / FRAME_BYTES {
            for number in 0..STREAMS {
                let bytes = [b'x'; FRAME_BYTES];
                repeated.extend(frame(DATA, 0, 2 * number + 1, &bytes));
            }
        }
        Sends { first, greeting_bytes: GREETING_BYTES, repeated, times: 1 }
    }
}
