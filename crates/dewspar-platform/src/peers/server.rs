/*!
The server of a peer: it forwards calls to the store.

It forwards for nodes only, and only the calls that nodes make. Both are checked
before a body is read, and the bodies of all calls in flight take a bounded
amount of memory: a node may have 160 MB in all.
*/

use {
    super::{
        ALIVE_PATH, FINGERPRINT_HEADER, SHARE_HEADER, TIMEOUT_HEADER,
        admission::{CallFilter, Callers, PeerDirectory, RefusalReason},
        shared_reads::{SharedReads, SharedResult},
    },
    crate::{
        Answer, Client, Error, Purpose, empty_request,
        inbound::{Counted, Inbound},
    },
    bytes::Bytes,
    dewspar::inbound::InboundLimits,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, Uri,
        body::{Body, Incoming},
        header::{self, HeaderMap, HeaderValue},
        http::{request::Parts, uri::Authority},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        fmt,
        net::{IpAddr, SocketAddr},
        sync::{Arc, atomic::AtomicUsize},
    },
    tokio::{
        net::TcpListener,
        time::{Duration, timeout},
    },
};

/// Returns the fingerprint of a read's result: equal for results that differ
/// in nothing that matters to their readers.
pub type Fingerprint = fn(&[u8]) -> u64;

/// The largest total size of the bodies of calls in flight and of their
/// answers, in bytes: a tenth of the memory of a small node, and more than any
/// single batch of writes takes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The largest number of calls that are forwarded at a time.
const MAX_CALLS: usize = 1_024;

/// The largest number of connections, unless [`PeerServer::with_max_connections`]
/// sets a lower one: one for each call, and as many idle ones.
const MAX_CONNECTIONS: usize = 2_048;

/// The largest number of connections from addresses that are known to be
/// unlisted, which is also more than a reader's share of nodes that start at
/// the same time. They are served to
/// say that the call is refused: without an answer, the caller would have to
/// assume that its call took effect.
const MAX_UNLISTED_CONNECTIONS: usize = 128;

/// The size of a connection's read buffer, in bytes, which also bounds the head
/// of a call.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// How long a caller may take to send the head of its next call: longer than
/// clients keep idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection may make no progress: longer than it may be idle, after
/// which it is closed as usual.
const STALL_TIMEOUT: Duration = Duration::from_secs(40);

/// How long a caller that is known to be unlisted may take to send the head of
/// its only call.
const UNLISTED_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a caller may take to send a body, so that one that sends nothing
/// doesn't keep the room for it.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// The size up to which answers aren't counted, in bytes, so that a write's
/// result gets through while large bodies take all the room. The answers of all
/// calls in flight take 1 MiB then.
const UNCOUNTED_ANSWER_BYTES: usize = 1_024;

/// The longest time that a call may take, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// The part of a call's time that is left for its way back, in milliseconds.
const RETURN_RESERVE_MS: u64 = 50;

/// The path at which a peer says whether it reaches the listed node whose
/// address is the query.
const REACHES_PATH: &str = "/dewspar-peer/reaches";

/// How long a peer may take to answer the node that was asked about it.
const REACH_TIMEOUT: Duration = Duration::from_millis(400);

/// The answer of a node that doesn't reach the peer. No store answers with it,
/// to which earlier builds forward the question.
const NOT_REACHED: StatusCode = StatusCode::FAILED_DEPENDENCY;

/// Forwards calls to the store for other nodes.
#[derive(Clone)]
pub struct PeerServer {
    client: Client,
    store: Authority,
    fingerprint: Fingerprint,
    may_forward: CallFilter,
    /// The address by which other nodes know this one.
    source: Option<IpAddr>,
    shared: SharedReads,
    inbound: Inbound,
    unlisted_connections: Arc<AtomicUsize>,
    calls_in_flight: Arc<AtomicUsize>,
    body_bytes_in_flight: Arc<AtomicUsize>,
}

impl fmt::Debug for PeerServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerServer")
            .field("store", &self.store)
            .finish_non_exhaustive()
    }
}

impl PeerServer {
    /// Creates a server that forwards the calls that pass the filter to the
    /// store at this address. The client must not have peers itself.
    pub fn new(
        client: &Client,
        store: Authority,
        fingerprint: Fingerprint,
        may_forward: CallFilter,
    ) -> PeerServer {
        PeerServer {
            client: client.with_purpose(Purpose::Peers),
            store,
            fingerprint,
            may_forward,
            source: None,
            shared: SharedReads::default(),
            inbound: connections_below(MAX_CONNECTIONS),
            unlisted_connections: Arc::default(),
            calls_in_flight: Arc::default(),
            body_bytes_in_flight: Arc::default(),
        }
    }

    /// Returns the server with a lower bound on its connections, where a node
    /// may open fewer descriptors.
    pub fn with_max_connections(
        mut self,
        max_connections: usize,
    ) -> PeerServer {
        self.inbound = connections_below(max_connections.min(MAX_CONNECTIONS));
        self
    }

    /// Returns the bounds of its connections.
    pub fn inbound(&self) -> &Inbound {
        &self.inbound
    }

    /// Serves the nodes in the directory until the listener's runtime ends.
    pub async fn serve<D: PeerDirectory>(
        mut self,
        listener: TcpListener,
        directory: D,
    ) {
        // Without it, checks of other nodes leave from the default address.
        self.source = listener.local_addr().ok().map(|own| own.ip());
        let callers = Callers::new(directory);
        tokio::spawn(self.inbound.clone().supervise());
        loop {
            let (stream, connection, address) =
                self.inbound.accept(&listener).await;
            let caller = address.ip();
            let is_unlisted = callers.is_unlisted(caller);
            let unlisted = if is_unlisted {
                let unlisted = &self.unlisted_connections;
                let place = Counted::below(unlisted, MAX_UNLISTED_CONNECTIONS);
                if place.is_none() {
                    let reason = RefusalReason::TooManyConnections;
                    callers.directory().note_refusal(caller, reason);
                    continue;
                }
                place
            } else {
                None
            };
            let calls = connection.calls();
            let (server, callers) = (self.clone(), callers.clone());
            let service = service_fn(move |request| {
                let (server, callers) = (server.clone(), callers.clone());
                let mut call = calls.begin();
                async move {
                    // Bodies have a bound and a time of their own.
                    call.serve();
                    let answer = server.answer(request, caller, &callers);
                    Ok::<_, Infallible>(answer.await)
                }
            });
            let head_timeout =
                if is_unlisted { UNLISTED_HEAD_TIMEOUT } else { HEAD_TIMEOUT };
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .max_buf_size(MAX_BUFFER_BYTES)
                .keep_alive(!is_unlisted)
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                connection.run(serving).await;
                drop(unlisted);
            });
        }
    }

    async fn answer<D: PeerDirectory>(
        &self,
        request: Request<Incoming>,
        caller: IpAddr,
        callers: &Callers<D>,
    ) -> Response<Full<Bytes>> {
        let refuse = |reason| {
            callers.directory().note_refusal(caller, reason);
            refusal(reason)
        };
        if !callers.is_node(caller).await {
            return refuse(RefusalReason::UnknownCaller);
        }
        if request.uri().path() == ALIVE_PATH {
            return empty(StatusCode::OK);
        }
        if request.uri().path() == REACHES_PATH {
            return match self.reaches(&request, callers).await {
                Ok(status) => empty(status),
                Err(reason) => refuse(reason),
            };
        }
        match self.reserve(&request) {
            Ok((_call, room)) => self.forward(request, room).await,
            Err(reason) => refuse(reason),
        }
    }

    /// Tells another node whether this one reaches a listed node.
    async fn reaches<D: PeerDirectory>(
        &self,
        request: &Request<Incoming>,
        callers: &Callers<D>,
    ) -> Result<StatusCode, RefusalReason> {
        let address = request.uri().query().unwrap_or_default();
        let address = address
            .parse()
            .ok()
            .filter(|address: &SocketAddr| callers.is_server(*address))
            .ok_or(RefusalReason::UnknownAddress)?;
        let _call = Counted::below(&self.calls_in_flight, MAX_CALLS)
            .ok_or(RefusalReason::TooManyCalls)?;
        let address = address.to_string();
        let is_alive =
            is_peer_alive(&address, self.source, REACH_TIMEOUT).await;
        Ok(if is_alive { StatusCode::OK } else { NOT_REACHED })
    }

    /// Decides from a call's head whether it is forwarded, and reserves what
    /// it takes.
    fn reserve(
        &self,
        request: &Request<Incoming>,
    ) -> Result<(Counted, Counted), RefusalReason> {
        if !(self.may_forward)(request.method(), request.uri().path()) {
            return Err(RefusalReason::UnknownCall);
        }
        let length = request.body().size_hint().exact();
        let length = length.ok_or(RefusalReason::NoLength)?;
        let length = usize::try_from(length)
            .ok()
            .filter(|length| *length <= MAX_BODY_BYTES)
            .ok_or(RefusalReason::LongBody)?;
        let call = Counted::below(&self.calls_in_flight, MAX_CALLS)
            .ok_or(RefusalReason::TooManyCalls)?;
        let body =
            Counted::take(&self.body_bytes_in_flight, length, MAX_BODY_BYTES)
                .ok_or(RefusalReason::NoRoom)?;
        Ok((call, body))
    }

    /// Forwards a call for whose body there is room.
    async fn forward(
        &self,
        request: Request<Incoming>,
        room: Counted,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let timeout_ms = number(&head.headers, TIMEOUT_HEADER)
            .unwrap_or(self.client.timeout_ms())
            .clamp(2 * RETURN_RESERVE_MS, MAX_TIMEOUT_MS);
        let reading = Limited::new(body, MAX_BODY_BYTES).collect();
        let max_wait = Duration::from_millis(timeout_ms).min(BODY_TIMEOUT);
        // Not the status of a bad request, which may be the store's answer.
        let Ok(Ok(body)) = timeout(max_wait, reading).await else {
            return closing(StatusCode::FORBIDDEN);
        };
        let Some(call) = self.forwarded(&head, body.to_bytes()) else {
            return closing(StatusCode::FORBIDDEN);
        };
        let client =
            self.client.with_timeout_ms(timeout_ms - RETURN_RESERVE_MS);
        let share_ms = number(&head.headers, SHARE_HEADER)
            .filter(|_| head.method == Method::GET);
        match share_ms {
            Some(share_ms) => self.share(&head, call, client, share_ms).await,
            None => {
                let answer = client.send("forward", call).await;
                drop(room);
                response(&self.bounded(answer, &head.method), None)
            }
        }
    }

    /// Counts an answer for as long as it is kept. If there is no room for it,
    /// returns an error that says whether the call may have taken effect.
    fn bounded(
        &self,
        answer: Result<Answer, Error>,
        method: &Method,
    ) -> Result<Answer, Error> {
        let mut answer = answer?;
        let length = answer.body.len();
        if length <= UNCOUNTED_ANSWER_BYTES {
            return Ok(answer);
        }
        let room =
            Counted::take(&self.body_bytes_in_flight, length, MAX_BODY_BYTES);
        let Some(_room) = room else {
            let (call, reason) = ("forward", "no room for it".to_owned());
            return Err(match *method {
                Method::GET => Error::Unavailable { call, reason },
                _ => Error::Lost { call, reason },
            });
        };
        let body = std::mem::take(&mut answer.body);
        answer.body = Bytes::from_owner(CountedBytes { body, _room });
        Ok(answer)
    }

    /// Answers a read together with others.
    async fn share(
        &self,
        head: &Parts,
        call: Request<Full<Bytes>>,
        client: Client,
        share_ms: u64,
    ) -> Response<Full<Bytes>> {
        let interval = Duration::from_millis(share_ms.min(MAX_TIMEOUT_MS));
        let url = call.uri().to_string();
        let fingerprint = self.fingerprint;
        let (own_client, own_call) = (client.clone(), call.clone());
        let server = self.clone();
        let send = move || async move {
            let answer = client.send("shared read", call).await;
            let answer = server.bounded(answer, &Method::GET);
            let body = answer.as_ref().map(|answer| answer.body.clone());
            let body = body.unwrap_or_default();
            let fingerprint = format!("{:016x}", fingerprint(&body));
            SharedResult { answer, fingerprint }
        };
        let Some(result) = self.shared.read(&url, interval, send).await else {
            let answer = own_client.send("forward", own_call).await;
            return response(&self.bounded(answer, &Method::GET), None);
        };
        let known = head.headers.get(FINGERPRINT_HEADER);
        let is_known = known.is_some_and(|known| {
            known.as_bytes() == result.fingerprint.as_bytes()
        });
        let is_success =
            result.answer.as_ref().is_ok_and(|a| a.status.is_success());
        if is_known && is_success {
            return empty(StatusCode::NOT_MODIFIED);
        }
        response(&result.answer, Some(&result.fingerprint))
    }

    /// Builds the call to the store.
    fn forwarded(
        &self,
        head: &Parts,
        body: Bytes,
    ) -> Option<Request<Full<Bytes>>> {
        let path = head.uri.path_and_query()?.as_str();
        let uri: Uri = format!("http://{}{path}", self.store).parse().ok()?;
        let mut call = Request::new(Full::new(body));
        *call.method_mut() = head.method.clone();
        *call.uri_mut() = uri;
        if let Some(kind) = head.headers.get(header::CONTENT_TYPE) {
            call.headers_mut().insert(header::CONTENT_TYPE, kind.clone());
        }
        Some(call)
    }
}

/// Returns the bounds of so many connections, whose heads may be as long as
/// their read buffers.
fn connections_below(max_connections: usize) -> Inbound {
    let max_bytes = max_connections.saturating_mul(2 * MAX_BUFFER_BYTES);
    let limits = InboundLimits { max_connections, max_bytes };
    Inbound::with_fixed_memory(limits, STALL_TIMEOUT)
}

/// The body of an answer, with its part of the room for bodies.
struct CountedBytes {
    body: Bytes,
    _room: Counted,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns whether the peer at an address answers a call from the address
/// `source` of this node, if it is given, within this time.
///
/// A peer that doesn't know this node yet refuses the check, which shows that
/// it is alive as well: it must not be replaced for that.
pub async fn is_peer_alive(
    address: &str,
    source: Option<IpAddr>,
    max_wait: Duration,
) -> bool {
    let timeout_ms = u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX);
    let url = format!("http://{address}{ALIVE_PATH}");
    let call = "check peer";
    let Ok(request) = empty_request(call, Method::GET, &url) else {
        return false;
    };
    let client = client_from(source, timeout_ms);
    let answered = client.send(call, request).await;
    answered.is_ok_and(|answer| {
        answer.status.is_success() || answer.status == StatusCode::FORBIDDEN
    })
}

/// What another node says about whether it reaches a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// It reaches the peer.
    Reached,
    /// It doesn't reach the peer.
    NotReached,
    /// It doesn't say: it doesn't answer, doesn't know one of the two nodes, or
    /// is of a build without this question.
    Unknown,
}

/// Asks the node at `observer` whether it reaches the peer at `address`, from
/// the address `source` of this node if it is given.
pub async fn ask_reach(
    observer: &str,
    address: &str,
    source: Option<IpAddr>,
) -> Reach {
    let call = "ask whether a peer is reached";
    let url = format!("http://{observer}{REACHES_PATH}?{address}");
    let Ok(request) = empty_request(call, Method::GET, &url) else {
        return Reach::Unknown;
    };
    // The observer's own check, and the way there and back.
    let timeout = 2 * REACH_TIMEOUT;
    // OK to convert: it is less than a second.
    let client = client_from(source, timeout.as_millis() as u64);
    match client.send(call, request).await {
        Ok(answer) if answer.status == StatusCode::OK => Reach::Reached,
        Ok(answer) if answer.status == NOT_REACHED => Reach::NotReached,
        Ok(_) | Err(_) => Reach::Unknown,
    }
}

/// Returns a client whose calls leave from the address `source` if it is given.
fn client_from(source: Option<IpAddr>, timeout_ms: u64) -> Client {
    let client = Client::new(timeout_ms);
    match source {
        Some(source) => client.calling_from(source),
        None => client,
    }
}

/// Builds the response to a refused call, which ends the connection if the
/// caller shouldn't have made the call. All of these statuses mean that the
/// call wasn't carried out.
fn refusal(reason: RefusalReason) -> Response<Full<Bytes>> {
    let status = match reason {
        RefusalReason::UnknownCaller
        | RefusalReason::UnknownCall
        | RefusalReason::UnknownAddress => StatusCode::FORBIDDEN,
        RefusalReason::NoLength => StatusCode::LENGTH_REQUIRED,
        RefusalReason::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::NoRoom
        | RefusalReason::TooManyCalls
        | RefusalReason::TooManyConnections => {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    closing(status)
}

/// Builds an empty response that ends the connection.
fn closing(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = empty(status);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds the response: the store's answer, or a status that says whether the
/// call may have taken effect.
fn response(
    answer: &Result<Answer, Error>,
    fingerprint: Option<&str>,
) -> Response<Full<Bytes>> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) if error.may_have_taken_effect() => {
            return empty(StatusCode::GATEWAY_TIMEOUT);
        }
        Err(_) => return empty(StatusCode::SERVICE_UNAVAILABLE),
    };
    let mut response = Response::new(Full::new(answer.body.clone()));
    *response.status_mut() = answer.status;
    let fingerprint = fingerprint.and_then(|f| HeaderValue::from_str(f).ok());
    if let Some(fingerprint) = fingerprint {
        response.headers_mut().insert(FINGERPRINT_HEADER, fingerprint);
    }
    response
}
