use {
    crate::{
        Error, PeerRoutes, Purpose, Traffic, Urgency,
        bounded::{
            BoundedConnections, Connection, Exchange, Permit, SendError,
        },
        connections::{Connections, Pool},
        peers::FINGERPRINT_HEADER,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, Uri,
        body::Incoming,
        header::{self, HeaderMap, HeaderValue},
        http::{response::Parts, uri::Authority},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        error, io, iter,
        net::IpAddr,
        num::NonZeroUsize,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{error::Elapsed, timeout},
};

mod checked;

pub use self::checked::Checked;

/// The largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A JSON client with a bound on every call, shared by the adapters.
///
/// A call without an answer in its time gives up all connections to its
/// address that were open with it, since they may be just as silent.
///
/// It counts its calls and bytes, so that what control costs can be told
/// from what requests cost.
#[derive(Clone, Debug)]
pub struct Client {
    pub(crate) connections: Arc<Connections>,
    /// Used in place of `connections` if their number is bounded.
    bounded: Option<Arc<BoundedConnections>>,
    urgency: Urgency,
    pub(crate) timeout: Duration,
    /// Whether the time of a call counts from the last bytes of its answer.
    long_answers: bool,
    calls: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
    given_up: Arc<AtomicU64>,
    traffic: Traffic,
    purpose: Purpose,
    /// The paths over other nodes, if calls may take them.
    peers: Option<PeerRoutes>,
    /// The shortest time between two reads that are shared with other nodes;
    /// `None` if reads aren't shared.
    pub(crate) share_interval: Option<Duration>,
}

/// An answer's status, entity tag and body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The entity tag, if there is one.
    pub tag: Option<String>,
    /// The whole body.
    pub body: Bytes,
    /// How long its head was, in bytes.
    head_bytes: u64,
    /// The fingerprint of a shared read's result.
    pub(crate) fingerprint: Option<String>,
}

impl Client {
    /// Makes a client whose calls take at most `timeout_ms` milliseconds.
    pub fn new(timeout_ms: u64) -> Client {
        // Shorter than a call: one that couldn't connect certainly did
        // nothing, and must be told from one whose answer is late.
        let connect_timeout = Duration::from_millis(timeout_ms / 2);
        Client {
            connections: Arc::new(Connections::new(connect_timeout, None)),
            bounded: None,
            urgency: Urgency::default(),
            timeout: Duration::from_millis(timeout_ms),
            long_answers: false,
            calls: Arc::default(),
            bytes: Arc::default(),
            given_up: Arc::default(),
            traffic: Traffic::default(),
            purpose: Purpose::default(),
            peers: None,
            share_interval: None,
        }
    }

    /// Lets calls leave from this address of the machine.
    pub fn calling_from(self, source: IpAddr) -> Client {
        let connections = Connections::new(self.timeout / 2, Some(source));
        Client { connections: Arc::new(connections), ..self }
    }

    /// Opens at most `limit` connections to each address.
    ///
    /// A call beyond them waits for one, at most for as long as a call may
    /// take, and then has done nothing; see [`Client::with_urgency`].
    pub fn with_connection_limit(self, limit: NonZeroUsize) -> Client {
        let connect_timeout = self.timeout / 2;
        let bounded = BoundedConnections::new(limit, connect_timeout, None);
        Client { bounded: Some(Arc::new(bounded)), ..self }
    }

    /// Returns a client that shares everything with this one, and whose calls
    /// are this urgent among those that wait for a connection.
    pub fn with_urgency(&self, urgency: Urgency) -> Client {
        Client { urgency, ..self.clone() }
    }

    /// Lets calls take paths over other nodes.
    pub fn with_peers(mut self, peers: &PeerRoutes) -> Client {
        self.peers = Some(peers.clone());
        self
    }

    /// Returns a client whose reads are shared with other nodes where there
    /// are readers, which wait at least `interval_ms` milliseconds between two
    /// of them.
    pub fn sharing_reads(&self, interval_ms: u64) -> Client {
        let share_interval = Some(Duration::from_millis(interval_ms));
        Client { share_interval, ..self.clone() }
    }

    /// Returns whether its reads are shared with other nodes now.
    pub fn shares_reads(&self) -> bool {
        self.share_interval.is_some()
            && self.peers.as_ref().is_some_and(PeerRoutes::shares_reads)
    }

    /// Returns a client whose calls may take longer while their answers still
    /// come in: each pause between two pieces takes at most the time of a
    /// call. A megabyte takes 4 s over a link of 2 Mbit/s, and a bound on the
    /// whole would fail on it each time it is tried.
    pub fn for_long_answers(&self) -> Client {
        Client { long_answers: true, ..self.clone() }
    }

    /// Counts what it sends and receives here, beside other clients.
    pub fn with_traffic(mut self, traffic: &Traffic) -> Client {
        self.traffic = traffic.clone();
        self
    }

    /// Returns a client that shares everything with this one, and whose calls
    /// count as made for this purpose.
    pub fn with_purpose(&self, purpose: Purpose) -> Client {
        Client { purpose, ..self.clone() }
    }

    /// Returns a client that shares connections and counters with this one,
    /// and whose calls take at most `timeout_ms` milliseconds.
    pub fn with_timeout_ms(&self, timeout_ms: u64) -> Client {
        let timeout = Duration::from_millis(timeout_ms);
        Client { timeout, ..self.clone() }
    }

    /// Returns how long a call takes at most, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns how many bytes of bodies were sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns how often the connections to an address were given up, because
    /// a call on one of them got no answer.
    pub fn given_up(&self) -> u64 {
        self.given_up.load(Ordering::Relaxed)
    }

    /// Posts a JSON value and reads a JSON answer.
    pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &'static str,
        url: &str,
        question: &Q,
    ) -> Result<A, Error> {
        let request = json_request(call, Method::POST, url, question)?;
        let answer = self.send(call, request).await?;
        read_json(call, &answer)
    }

    /// Sends a request and reads its answer whole.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that says whether the call may have taken effect;
    /// an answer with any status is none.
    pub async fn send(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        match &self.peers {
            Some(peers) => self.send_by_best_path(call, request, peers).await,
            None => self.send_directly(call, request).await,
        }
    }

    /// Sends a request to the address in its URL and reads its answer whole.
    pub(crate) async fn send_directly(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let sent = size_of(&request);
        let sent_head = request_head_bytes(&request);
        let answer = match &self.bounded {
            Some(bounded) => self.send_bounded(call, bounded, request).await?,
            None => self.send_unbounded(call, request).await?,
        };
        self.count_exchange(sent_head, sent, &answer);
        Ok(answer)
    }

    /// Counts the bytes of a request's head and body, and of its answer.
    fn count_exchange(&self, sent_head: u64, sent: u64, answer: &Answer) {
        let answer_bytes = answer.body.len() as u64;
        self.bytes.fetch_add(sent + answer_bytes, Ordering::Relaxed);
        let received = answer.head_bytes + answer_bytes;
        self.traffic.note(self.purpose, sent_head + sent, received);
    }

    async fn send_unbounded(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let route = self.route(call, &request)?;
        let answered = if self.long_answers {
            self.send_and_read_on(call, &route, request).await
        } else {
            let whole = async {
                let response = self.call(call, &route, request).await?;
                read_answer(call, response).await
            };
            timeout(self.timeout, whole).await
        };
        answered.unwrap_or_else(|_| {
            self.give_up(&route);
            Err(self.no_answer(call))
        })
    }

    /// Sends a request over one of a bounded number of connections.
    async fn send_bounded(
        &self,
        call: &'static str,
        bounded: &BoundedConnections,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let permit = self.acquire(call, bounded, &request).await?;
        let sending = bounded.send(&permit, request);
        let whole = self.read_bounded(call, &permit, sending);
        match timeout(self.timeout, whole).await {
            Ok(Ok((answer, connection))) => {
                bounded.keep(permit, connection);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                self.give_up_bounded(&permit);
                Err(self.no_answer(call))
            }
        }
    }

    /// Waits until a connection to the address of a request may be used, at
    /// most for as long as a call may take.
    async fn acquire(
        &self,
        call: &'static str,
        bounded: &BoundedConnections,
        request: &Request<Full<Bytes>>,
    ) -> Result<Permit, Error> {
        let address = address_of(call, request)?.clone();
        let waiting = bounded.acquire(&address, self.urgency);
        timeout(self.timeout, waiting).await.map_err(|_| {
            let reason = "all connections to it are in use".to_owned();
            Error::Unavailable { call, reason }
        })
    }

    /// Reads the answer to a request that is sent over a bounded connection.
    async fn read_bounded(
        &self,
        call: &'static str,
        permit: &Permit,
        sending: impl Future<Output = Result<Exchange, SendError>>,
    ) -> Result<(Answer, Connection), Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (response, connection) =
            sending.await.map_err(|error| match error {
                SendError::NotSent(reason) => {
                    Error::Unavailable { call, reason }
                }
                SendError::Lost(error) => {
                    if is_timeout(&error) {
                        self.give_up_bounded(permit);
                    }
                    lost(call, &error)
                }
            })?;
        Ok((read_answer(call, response).await?, connection))
    }

    fn give_up_bounded(&self, permit: &Permit) {
        permit.give_up();
        self.given_up.fetch_add(1, Ordering::Relaxed);
    }

    fn no_answer(&self, call: &'static str) -> Error {
        let reason = format!("no answer in {:?}", self.timeout);
        Error::Lost { call, reason }
    }

    /// Sends a request and reads its answer for as long as there are no long
    /// pauses in it.
    async fn send_and_read_on(
        &self,
        call: &'static str,
        route: &Route,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Answer, Error>, Elapsed> {
        let begun = timeout(self.timeout, self.call(call, route, request));
        let response = match begun.await? {
            Ok(response) => response,
            Err(error) => return Ok(Err(error)),
        };
        let (head, mut body) = response.into_parts();
        let mut read = BytesMut::new();
        while let Some(frame) = timeout(self.timeout, body.frame()).await? {
            let data = match frame {
                Ok(frame) => frame.into_data(),
                Err(error) => return Ok(Err(lost(call, &error))),
            };
            // Trailers say nothing that is wanted here.
            read.extend_from_slice(&data.unwrap_or_default());
            if read.len() > MAX_ANSWER {
                let reason = format!("longer than {MAX_ANSWER} bytes");
                return Ok(Err(Error::Lost { call, reason }));
            }
        }
        Ok(Ok(Answer::new(&head, read.freeze())))
    }

    /// Sends a request whose answer is a stream; the caller bounds it.
    pub(crate) async fn open(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let route = self.route(call, &request)?;
        self.call(call, &route, request).await
    }

    /// Chooses the connections that a request goes over.
    fn route(
        &self,
        call: &'static str,
        request: &Request<Full<Bytes>>,
    ) -> Result<Route, Error> {
        let address = address_of(call, request)?;
        let (pool, generation) = self.connections.to(address);
        Ok(Route { address: address.clone(), pool, generation })
    }

    async fn call(
        &self,
        call: &'static str,
        route: &Route,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        route.pool.request(request).await.map_err(|e| {
            if !e.is_connect() && is_timeout(&e) {
                self.give_up(route);
            }
            let reason = e.to_string();
            if e.is_connect() {
                Error::Unavailable { call, reason }
            } else {
                Error::Lost { call, reason }
            }
        })
    }

    fn give_up(&self, route: &Route) {
        if self.connections.give_up(&route.address, route.generation) {
            self.given_up.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for `future`, but not longer than a call may take.
    pub(crate) async fn bounded<T>(
        &self,
        call: &'static str,
        future: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let answered = timeout(self.timeout, future).await;
        answered.unwrap_or_else(|_| Err(self.no_answer(call)))
    }

    /// Counts bytes that arrived on a stream.
    pub(crate) fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns an [`Error`] where the URL or the value can't be written.
pub fn json_request<Q: Serialize>(
    call: &'static str,
    method: Method,
    url: &str,
    question: &Q,
) -> Result<Request<Full<Bytes>>, Error> {
    let body = serde_json::to_vec(question).map_err(|e| {
        let reason = e.to_string();
        Error::Unavailable { call, reason }
    })?;
    let mut request = empty_request(call, method, url)?;
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    *request.body_mut() = Full::new(Bytes::from(body));
    Ok(request)
}

/// Builds a request without a body.
///
/// # Errors
///
/// Returns an [`Error`] where the URL can't be read.
pub fn empty_request(
    call: &'static str,
    method: Method,
    url: &str,
) -> Result<Request<Full<Bytes>>, Error> {
    let uri: Uri = url.parse().map_err(|_| {
        let reason = format!("`{url}` is not a URL");
        Error::Unavailable { call, reason }
    })?;
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    Ok(request)
}

/// Reads the JSON of a successful answer.
///
/// # Errors
///
/// Returns an [`Error`] that says whether the call may have taken effect.
pub fn read_json<A: DeserializeOwned>(
    call: &'static str,
    answer: &Answer,
) -> Result<A, Error> {
    check_status(call, answer)?;
    parse_json(call, answer)
}

/// Reads the JSON of an answer, whatever its status.
///
/// # Errors
///
/// Returns [`Error::Malformed`] where it is no such JSON.
pub fn parse_json<A: DeserializeOwned>(
    call: &'static str,
    answer: &Answer,
) -> Result<A, Error> {
    serde_json::from_slice(&answer.body).map_err(|e| {
        let reason = e.to_string();
        Error::Malformed { call, reason }
    })
}

/// Checks that an answer's status is a success.
///
/// # Errors
///
/// Returns an [`Error`] that says whether the call may have taken effect.
pub fn check_status(call: &'static str, answer: &Answer) -> Result<(), Error> {
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body);
    let reason = format!("status {}: {text}", answer.status);
    Err(refusal(call, answer.status, reason))
}

/// Names what a failed status means.
///
/// A service that says 4xx or 503 did not carry the call out; any other
/// failure leaves that open. 400, 413 and 422 say that the call itself is
/// wrong, so that it fails each time.
pub(crate) fn refusal(
    call: &'static str,
    status: StatusCode,
    reason: String,
) -> Error {
    match status {
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => Error::Rejected { call, reason },
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable { call, reason },
        _ if status.is_client_error() => Error::Unavailable { call, reason },
        _ => Error::Lost { call, reason },
    }
}

/// Returns the address that a request is sent to.
fn address_of<'a>(
    call: &'static str,
    request: &'a Request<Full<Bytes>>,
) -> Result<&'a Authority, Error> {
    request.uri().authority().ok_or_else(|| {
        let reason = format!("`{}` names no host", request.uri());
        Error::Unavailable { call, reason }
    })
}

/// The connections that a call goes over.
struct Route {
    address: Authority,
    pool: Pool,
    generation: u64,
}

/// Returns whether a connection failed because the other end's kernel no
/// longer acknowledged what was sent.
fn is_timeout(error: &(dyn error::Error + 'static)) -> bool {
    iter::successors(Some(error), |error| error.source())
        .filter_map(|error| error.downcast_ref::<io::Error>())
        .any(|error| error.kind() == io::ErrorKind::TimedOut)
}

fn size_of(request: &Request<Full<Bytes>>) -> u64 {
    use hyper::body::Body;
    request.body().size_hint().exact().unwrap_or(0)
}

/// The bytes of a request's or an answer's first line beside its path, and of
/// the empty line after its headers.
const FIXED_HEAD_BYTES: usize = 20;

/// The bytes of a header beside its name and value.
const HEADER_BYTES: usize = 4;

fn request_head_bytes(request: &Request<Full<Bytes>>) -> u64 {
    let uri = request.uri();
    let path = uri.path_and_query().map_or(1, |path| path.as_str().len());
    // The connection adds the host to the headers, and the body's length.
    let host = uri.authority().map_or(0, |host| host.as_str().len());
    let length = header::CONTENT_LENGTH.as_str().len();
    let added = "host".len() + host + length + 2 * HEADER_BYTES;
    (path + added) as u64 + head_bytes(request.headers())
}

fn head_bytes(headers: &HeaderMap) -> u64 {
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    (FIXED_HEAD_BYTES + fields.sum::<usize>()) as u64
}

async fn read_answer(
    call: &'static str,
    response: Response<Incoming>,
) -> Result<Answer, Error> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER).collect().await;
    let body = body.map_err(|error| lost(call, error.as_ref()))?;
    Ok(Answer::new(&head, body.to_bytes()))
}

fn lost(call: &'static str, error: &(dyn error::Error + 'static)) -> Error {
    Error::Lost { call, reason: error.to_string() }
}

impl Answer {
    fn new(head: &Parts, body: Bytes) -> Answer {
        let tag = head.headers.get(header::ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_owned);
        let fingerprint = head.headers.get(FINGERPRINT_HEADER);
        let fingerprint = fingerprint.and_then(|value| value.to_str().ok());
        let fingerprint = fingerprint.map(str::to_owned);
        let head_bytes = head_bytes(&head.headers);
        Answer { status: head.status, tag, body, head_bytes, fingerprint }
    }
}
