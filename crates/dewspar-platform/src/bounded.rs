/*!
A bounded number of connections to each address.

A service that takes a limited number of connections counts those of every
client, including clients that are gone: a VM that is removed closes none of
its connections, and the service may keep them for as long as it runs. A client
that opens a connection for each concurrent call leaves dozens of them behind.
After a few such losses the service accepts no connection from anybody.

So a client with this bound opens at most a fixed number of connections to an
address. Each carries one call at a time. Further calls wait, and the most
urgent one is sent next; see [`Urgency`].

Once a call gets no answer in time, all connections to its address that were
opened before are given up, as in [`connections`](crate::connections).
*/

use {
    crate::connections::{IDLE, tcp_connector},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, Uri, Version,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{self, HeaderValue},
        http::uri::Authority,
    },
    hyper_util::client::legacy::connect::HttpConnector,
    std::{
        collections::{BTreeMap, HashMap},
        error, fmt,
        net::IpAddr,
        num::NonZeroUsize,
        sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, task::AbortHandle, time::sleep},
    tower_service::Service,
};

/// The interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// How urgent a call is among those that wait for a connection, most urgent
/// first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Renews the lease of something that runs and ends without it.
    Renewal,
    /// Stops something that runs.
    Stop,
    /// Starts something.
    Start,
    /// Anything else.
    #[default]
    Other,
}

/// Why a request over a bounded connection got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// The request was certainly not sent.
    NotSent(String),
    /// The request may have been carried out.
    Lost(hyper::Error),
}

/// The connections to all addresses.
#[derive(Debug)]
pub(crate) struct BoundedConnections {
    connector: HttpConnector,
    limit: NonZeroUsize,
    addresses: Arc<Addresses>,
}

#[derive(Debug, Default)]
struct Addresses(Mutex<AddressMap>);

#[derive(Debug, Default)]
struct AddressMap {
    known: HashMap<Authority, Arc<Address>>,
    /// Whether a task closes connections that have been idle for long.
    is_swept: bool,
}

/// The connections to one address.
#[derive(Debug, Default)]
struct Address(Mutex<AddressState>);

#[derive(Debug, Default)]
struct AddressState {
    /// How many permits are held.
    in_use: usize,
    idle: Vec<Connection>,
    /// Connections of earlier generations are no longer used.
    generation: u64,
    /// The calls that wait, most urgent first and then in order of arrival.
    waiting: BTreeMap<(Urgency, u64), oneshot::Sender<Permit>>,
    arrivals: u64,
}

/// An open connection, which is closed when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    generation: u64,
    used: Instant,
}

/// A response with the connection that carries its body.
pub(crate) type Exchange = (Response<Incoming>, Connection);

/// Why a request over one connection got no response.
enum TrySendError {
    /// The request was certainly not sent.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// The request may have been carried out.
    Lost(hyper::Error),
}

impl From<TrySendError> for SendError {
    fn from(error: TrySendError) -> SendError {
        match error {
            TrySendError::Unsent(_, reason) => SendError::NotSent(reason),
            TrySendError::Lost(error) => SendError::Lost(error),
        }
    }
}

impl Connection {
    /// Sends a request over this connection and no other, so that only a
    /// process that has answered on it before gets the request. Returns the
    /// response with the connection that carries its body.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that says whether the request may have been
    /// carried out.
    pub(crate) async fn send(
        self,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        Ok(self.try_send(with_path_only(request)).await?)
    }

    async fn try_send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, TrySendError> {
        if let Err(error) = self.sender.ready().await {
            let request = Box::new(request);
            return Err(TrySendError::Unsent(request, error.to_string()));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self)),
            Err(mut failed) => Err(match failed.take_message() {
                Some(unsent) => {
                    let reason = failed.error().to_string();
                    TrySendError::Unsent(Box::new(unsent), reason)
                }
                None => TrySendError::Lost(failed.into_error()),
            }),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The right to use one connection to an address. Dropping it passes it on to
/// the next call that waits.
pub(crate) struct Permit {
    address: Arc<Address>,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").finish_non_exhaustive()
    }
}

impl BoundedConnections {
    /// Makes at most `limit` connections to each address, which take at most
    /// `connect_timeout` to open and leave from `source` if it is given.
    pub(crate) fn new(
        limit: NonZeroUsize,
        connect_timeout: Duration,
        source: Option<IpAddr>,
    ) -> BoundedConnections {
        let connector = tcp_connector(connect_timeout, source);
        BoundedConnections { connector, limit, addresses: Arc::default() }
    }

    /// Waits until a connection to an address may be used.
    pub(crate) async fn acquire(
        &self,
        authority: &Authority,
        urgency: Urgency,
    ) -> Permit {
        let address = self.addresses.get(authority);
        let permit = {
            let mut state = address.lock();
            if state.in_use < self.limit.get() {
                state.in_use += 1;
                drop(state);
                return Permit { address };
            }
            let (sender, receiver) = oneshot::channel();
            state.arrivals += 1;
            let place = (urgency, state.arrivals);
            state.waiting.insert(place, sender);
            receiver
        };
        // OK because `address` keeps the sender until it sends a permit.
        permit.await.expect("a sender that is kept")
    }

    /// Sends a request over an idle connection, or over a new one if there is
    /// none. Returns the response with the connection that carries its body.
    ///
    /// # Errors
    ///
    /// Returns an [`SendError`] that says whether the request may have
    /// been carried out.
    pub(crate) async fn send(
        &self,
        permit: &Permit,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let uri = request.uri().clone();
        let mut request = with_path_only(request);
        loop {
            let idle = permit.take_idle();
            let is_reused = idle.is_some();
            let connection = match idle {
                Some(connection) => connection,
                None => self.connect(permit, &uri).await?,
            };
            request = match connection.try_send(request).await {
                Ok(sent) => return Ok(sent),
                // The service has closed the idle connection meanwhile.
                Err(TrySendError::Unsent(unsent, _)) if is_reused => *unsent,
                Err(error) => return Err(error.into()),
            };
        }
    }

    /// Keeps a connection for the next call. Only for one whose last response
    /// was read to its end.
    pub(crate) fn keep(&self, permit: Permit, mut connection: Connection) {
        connection.used = Instant::now();
        permit.address.keep(connection);
        self.addresses.start_sweeping();
    }

    async fn connect(
        &self,
        permit: &Permit,
        uri: &Uri,
    ) -> Result<Connection, SendError> {
        let generation = permit.address.lock().generation;
        let connecting = self.connector.clone().call(uri.clone());
        let stream = connecting.await.map_err(|error| not_sent(&error))?;
        let (sender, driver) = http1::handshake(stream)
            .await
            .map_err(|error| not_sent(&error))?;
        let driver = tokio::spawn(async move {
            // An error is reported to the call that uses the connection.
            let _ = driver.await;
        });
        let driver = driver.abort_handle();
        Ok(Connection { sender, driver, generation, used: Instant::now() })
    }
}

impl Addresses {
    fn get(&self, authority: &Authority) -> Arc<Address> {
        let mut map = self.lock();
        if let Some(known) = map.known.get(authority) {
            return known.clone();
        }
        map.known.entry(authority.clone()).or_default().clone()
    }

    /// Starts the task that closes connections that have been idle for long,
    /// unless it runs.
    fn start_sweeping(self: &Arc<Self>) {
        let mut map = self.lock();
        if map.is_swept {
            return;
        }
        map.is_swept = true;
        tokio::spawn(sweep(Arc::downgrade(self)));
    }

    /// Closes connections that have been idle for long, and forgets addresses
    /// without any. Returns whether no address is left.
    fn close_idle(&self) -> bool {
        let mut map = self.lock();
        map.known.retain(|_, address| {
            // Another reference is a call that waits or is under way.
            address.close_idle() || Arc::strong_count(address) > 1
        });
        map.is_swept = !map.known.is_empty();
        map.known.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, AddressMap> {
        // OK after a panic: each change is one call that can't fail halfway.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes idle connections until there are none, or until nobody uses the
/// addresses.
async fn sweep(addresses: Weak<Addresses>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let Some(addresses) = addresses.upgrade() else { return };
        if addresses.close_idle() {
            return;
        }
    }
}

impl Address {
    fn keep(&self, connection: Connection) {
        let mut state = self.lock();
        if connection.generation == state.generation {
            state.idle.push(connection);
        }
    }

    /// Closes connections that have been idle for long. Returns whether any is
    /// left.
    fn close_idle(&self) -> bool {
        let mut state = self.lock();
        state.idle.retain(|connection| connection.used.elapsed() < IDLE);
        !state.idle.is_empty()
    }

    /// Removes and returns the next call that still waits. If there is none,
    /// the permit is free.
    fn next_waiting(&self) -> Option<oneshot::Sender<Permit>> {
        let mut state = self.lock();
        while let Some((_, waiting)) = state.waiting.pop_first() {
            if !waiting.is_closed() {
                return Some(waiting);
            }
        }
        state.in_use -= 1;
        None
    }

    fn lock(&self) -> MutexGuard<'_, AddressState> {
        // OK after a panic: each change is one call that can't fail halfway.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit {
    /// Gives up all connections to the address that are open now.
    pub(crate) fn give_up(&self) {
        let mut state = self.address.lock();
        state.generation += 1;
        state.idle.clear();
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut state = self.address.lock();
        while let Some(connection) = state.idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(waiting) = self.address.next_waiting() {
            // If the call has stopped waiting since, dropping the permit that
            // is returned passes it on.
            let _ = waiting.send(Permit { address: self.address.clone() });
        }
    }
}

fn not_sent(error: &(dyn error::Error + 'static)) -> SendError {
    SendError::NotSent(error.to_string())
}

/// Returns the request with the path alone as its target and the address as
/// its host, as HTTP/1.1 has it on the wire.
fn with_path_only(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let uri = std::mem::take(request.uri_mut());
    let host = uri.authority().map(Authority::as_str).unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(host) {
        request.headers_mut().insert(header::HOST, host);
    }
    if let Some(path) = uri.path_and_query() {
        *request.uri_mut() = Uri::from(path.clone());
    }
    *request.version_mut() = Version::HTTP_11;
    request
}
