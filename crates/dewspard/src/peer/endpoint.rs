use {
    super::tls::{Identity, SetupError, client_config, server_config},
    crate::{
        counters,
        peer::{Answer, Question, VERSION},
    },
    dewspar::member::Member,
    displaydoc::Display,
    quinn::{Connection, Incoming, RecvStream, SendStream, VarInt},
    slog::{Logger, debug, warn},
    std::{
        collections::HashMap, future::Future, io, net::SocketAddr,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// The largest message, in bytes.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// How long a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// What a peer is told of a question that is given up; nobody reads it.
const GIVEN_UP: VarInt = VarInt::from_u32(1);

/// Why a question got no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum Error {
    /// node `{node}` can't be reached, and got nothing: {reason}
    Unreachable {
        /// The node's name.
        node: String,
        /// What went wrong.
        reason: String,
    },
    /// node `{node}` didn't answer: {reason}
    NoAnswer {
        /// The node's name.
        node: String,
        /// What went wrong.
        reason: String,
    },
}

impl std::error::Error for Error {}

/// This node's end of all connections to peers; clones share it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    endpoint: quinn::Endpoint,
    pool: mpsc::Sender<PoolMessage>,
}

impl Endpoint {
    /// Listens at `address` and answers questions with `handle`.
    ///
    /// # Errors
    ///
    /// Returns a [`SetupError`] that names the settings' field at fault.
    pub fn start<H, F>(
        address: SocketAddr,
        identity: &Identity,
        handle: H,
        log: Logger,
    ) -> Result<Endpoint, SetupError>
    where
        H: Fn(Question) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Answer> + Send + 'static,
    {
        let server = server_config(identity)?;
        let mut endpoint = quinn::Endpoint::server(server, address)
            .map_err(SetupError::Listen)?;
        endpoint.set_default_client_config(client_config(identity)?);
        let (pool, messages) = mpsc::channel(256);
        let keeper = Pool {
            endpoint: endpoint.clone(),
            connections: HashMap::new(),
            waiting: HashMap::new(),
            closed_bytes: 0,
            own: pool.downgrade(),
        };
        tokio::spawn(keeper.run(messages));
        tokio::spawn(accept(endpoint.clone(), handle, log));
        Ok(Endpoint { endpoint, pool })
    }

    /// Returns the address that it listens at.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Asks a peer, and waits for its answer until `limit` has passed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] when the peer certainly got nothing,
    /// and [`Error::NoAnswer`] when it may have got the question.
    pub async fn ask(
        &self,
        peer: &Member,
        question: &Question,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let node = peer.name();
        let asked = async {
            let connection = self.connection(peer).await?;
            let answer = exchange(&connection, question).await;
            answer.map_err(|reason| Error::NoAnswer {
                node: node.to_owned(),
                reason,
            })
        };
        let late = || {
            let reason = format!("no answer in {limit:?}");
            Error::NoAnswer { node: node.to_owned(), reason }
        };
        timeout(limit, asked).await.unwrap_or_else(|_| Err(late()))
    }

    /// Returns the bytes of packets, both ways, on the connections that this
    /// node has opened; each connection is counted by one side only.
    pub async fn bytes(&self) -> u64 {
        let (reply, bytes) = oneshot::channel();
        let _ = self.pool.send(PoolMessage::Bytes(reply)).await;
        bytes.await.unwrap_or(0)
    }

    /// Closes every connection.
    pub fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
    }

    async fn connection(&self, peer: &Member) -> Result<Connection, Error> {
        let unreachable = |reason: String| Error::Unreachable {
            node: peer.name().to_owned(),
            reason,
        };
        let (reply, connected) = oneshot::channel();
        let message = PoolMessage::Get { peer: peer.clone(), reply };
        let closed = || unreachable("this node stops".to_owned());
        self.pool.send(message).await.map_err(|_| closed())?;
        connected.await.map_err(|_| closed())?.map_err(unreachable)
    }
}

type Connected = Result<Connection, String>;

enum PoolMessage {
    Bytes(oneshot::Sender<u64>),
    Get { peer: Member, reply: oneshot::Sender<Connected> },
    Connected { peer: Member, result: Connected },
}

/// The task that owns the connections this node has opened.
struct Pool {
    endpoint: quinn::Endpoint,
    connections: HashMap<String, (Member, Connection)>,
    waiting: HashMap<(String, u64), Vec<oneshot::Sender<Connected>>>,
    closed_bytes: u64,
    own: mpsc::WeakSender<PoolMessage>,
}

impl Pool {
    async fn run(mut self, mut messages: mpsc::Receiver<PoolMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                PoolMessage::Bytes(reply) => {
                    let open = self.connections.values();
                    let bytes: u64 = open.map(|(_, c)| bytes_of(c)).sum();
                    let _ = reply.send(self.closed_bytes + bytes);
                }
                PoolMessage::Get { peer, reply } => self.get(peer, reply),
                PoolMessage::Connected { peer, result } => {
                    self.connected(peer, result);
                }
            }
        }
    }

    fn get(&mut self, peer: Member, reply: oneshot::Sender<Connected>) {
        let name = peer.name().to_owned();
        if let Some((member, connection)) = self.connections.get(&name)
            && *member == peer
            && connection.close_reason().is_none()
        {
            let _ = reply.send(Ok(connection.clone()));
            return;
        }
        if let Some((_, old)) = self.connections.remove(&name) {
            self.closed_bytes += bytes_of(&old);
        }
        // By process: an attempt at the one before may hang for long.
        let key = (name, peer.incarnation());
        let waiting = self.waiting.entry(key).or_default();
        waiting.push(reply);
        if waiting.len() > 1 {
            return;
        }
        let (endpoint, own) = (self.endpoint.clone(), self.own.clone());
        tokio::spawn(async move {
            let result = connect(&endpoint, &peer).await;
            if let Some(own) = own.upgrade() {
                let message = PoolMessage::Connected { peer, result };
                let _ = own.send(message).await;
            }
        });
    }

    fn connected(&mut self, peer: Member, result: Connected) {
        let key = (peer.name().to_owned(), peer.incarnation());
        for reply in self.waiting.remove(&key).unwrap_or_default() {
            let _ = reply.send(result.clone());
        }
        let newer = self
            .connections
            .get(peer.name())
            .is_none_or(|(known, _)| known.incarnation() <= key.1);
        if let Ok(connection) = result
            && newer
        {
            self.connections.insert(key.0, (peer, connection));
        }
    }
}

/// Returns the bytes that a connection has cost, packets and all.
fn bytes_of(connection: &Connection) -> u64 {
    let stats = connection.stats();
    stats.udp_tx.bytes + stats.udp_rx.bytes
}

async fn connect(endpoint: &quinn::Endpoint, peer: &Member) -> Connected {
    let address: SocketAddr = peer
        .peer_address()
        .parse()
        .map_err(|_| format!("no address: `{}`", peer.peer_address()))?;
    let connecting = endpoint
        .connect(address, peer.name())
        .map_err(|error| error.to_string())?;
    match timeout(CONNECT_LIMIT, connecting).await {
        Ok(connected) => connected.map_err(|error| error.to_string()),
        Err(_) => Err(format!("no connection in {CONNECT_LIMIT:?}")),
    }
}

/// A question on its way.
struct Asking {
    send: SendStream,
    is_answered: bool,
}

impl Drop for Asking {
    /// Takes back a question that is given up: what was lost of it would be
    /// sent again for as long as the connection lives, and be taken for new by
    /// a peer that couldn't be reached for seconds.
    fn drop(&mut self) {
        if !self.is_answered {
            // OK to ignore an error: nothing is left to take back then.
            let _ = self.send.reset(GIVEN_UP);
        }
    }
}

async fn exchange(
    connection: &Connection,
    question: &Question,
) -> Result<Answer, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let (send, mut receive) =
        connection.open_bi().await.map_err(|e| text(&e))?;
    let mut asking = Asking { send, is_answered: false };
    let bytes = encode(question)?;
    counters::add_by(
        counters::PEER_BYTES,
        "direction",
        "sent",
        bytes.len() as u64,
    );
    asking.send.write_all(&bytes).await.map_err(|e| text(&e))?;
    asking.send.finish().map_err(|e| text(&e))?;
    let answer =
        receive.read_to_end(MAX_MESSAGE).await.map_err(|e| text(&e))?;
    asking.is_answered = true;
    counters::add_by(
        counters::PEER_BYTES,
        "direction",
        "received",
        answer.len() as u64,
    );
    decode(&answer)
}

/// Accepts connections; `handle` answers what comes over them.
async fn accept<H, F>(endpoint: quinn::Endpoint, handle: H, log: Logger)
where
    H: Fn(Question) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve(incoming, handle.clone(), log.clone()));
    }
}

async fn serve<H, F>(incoming: Incoming, handle: H, log: Logger)
where
    H: Fn(Question) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let from = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            counters::count_by(counters::PEER_REFUSALS, "reason", "handshake");
            warn!(log, "peer: peer refused"; "from" => %from, "error" => %error);
            return;
        }
    };
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (handle, log) = (handle.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(reason) = answer(send, receive, handle).await {
                counters::count_by(
                    counters::PEER_REFUSALS,
                    "reason",
                    "message",
                );
                debug!(log, "peer: question not answered"; "reason" => reason);
            }
        });
    }
}

async fn answer<H, F>(
    mut send: SendStream,
    mut receive: RecvStream,
    handle: H,
) -> Result<(), String>
where
    H: Fn(Question) -> F,
    F: Future<Output = Answer>,
{
    let read = receive.read_to_end(MAX_MESSAGE).await;
    let bytes = read.map_err(|error| error.to_string())?;
    let answer = match decode(&bytes) {
        Ok(question) => handle(question).await,
        Err(reason) => Answer::Refused(reason),
    };
    let bytes = encode(&answer)?;
    let written = send.write_all(&bytes).await;
    written.map_err(|error| error.to_string())?;
    send.finish().map_err(|error| error.to_string())
}

fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, String> {
    let mut bytes = VERSION.to_le_bytes().to_vec();
    let body = postcard::to_stdvec(message).map_err(|e| e.to_string())?;
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

fn decode<'a, T: serde::Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<T, String> {
    let Some((version, body)) = bytes.split_first_chunk::<2>() else {
        return Err("the message is empty".to_owned());
    };
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(format!("version {version}, expected {VERSION}"));
    }
    postcard::from_bytes(body).map_err(|error| error.to_string())
}
