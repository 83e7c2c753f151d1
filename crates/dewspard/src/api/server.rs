use {
    super::{
        handlers::{Call, Handle},
        state::ApiState,
    },
    dewspar::inbound::InboundLimits,
    dewspar_platform::{
        KeyValue,
        inbound::{Connection, Inbound},
    },
    hyper_util::rt::TokioTimer,
    salvo::{
        Listener, Router, async_trait,
        conn::{Acceptor, TcpListener},
        fuse::{FuseEvent, FuseInfo, Fusewire},
        server::ServerHandle,
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// The largest head of a call, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How long a connection may take to send the head of its next call.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a connection may make no progress: several times the interval in
/// which a watch sends something.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a call may go on after the server was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// The server that operators connect to.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    inbound: Inbound,
}

/// A connection that is closed when it must give way, or at once if there is no
/// place for it. A body is read only for operators, so none is counted.
struct Admitted(Option<Connection>);

#[async_trait]
impl Fusewire for Admitted {
    fn event(&self, event: FuseEvent) {
        let is_progress =
            matches!(event, FuseEvent::ReadData(_) | FuseEvent::WriteData(_));
        if let Some(connection) = self.0.as_ref().filter(|_| is_progress) {
            connection.note_progress();
        }
    }

    async fn fused(&self) {
        if let Some(connection) = &self.0 {
            connection.closed().await;
        }
    }
}

impl Server {
    /// Serves operators at `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start<K: KeyValue>(
        address: SocketAddr,
        state: ApiState<K>,
    ) -> io::Result<Server> {
        let listener = TcpListener::new(address);
        let acceptor = listener.try_bind().await.map_err(io::Error::other)?;
        let max_connections = usize::try_from(state.settings.max_connections)
            .unwrap_or(usize::MAX);
        let max_bytes = max_connections.saturating_mul(2 * MAX_HEAD_BYTES);
        let limits = InboundLimits { max_connections, max_bytes };
        let holdings = acceptor.holdings();
        let bound = holdings
            .first()
            .and_then(|held| held.local_addr.clone().into_std());
        let address = bound.unwrap_or(address);
        let inbound = Inbound::with_fixed_memory(limits, STALL_TIMEOUT);
        tokio::spawn(inbound.clone().supervise());
        let bounded = inbound.clone();
        let mut server = salvo::Server::new(acceptor)
            .fuse_factory(move |_: FuseInfo| Admitted(bounded.admit()));
        server
            .http1_mut()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        let handle = server.handle();
        let router = routes(&Arc::new(state));
        tokio::spawn(async move {
            // It ends when its handle says so.
            let _ = server.try_serve(router).await;
        });
        Ok(Server { address, handle, inbound })
    }

    /// Returns the bounds of its connections.
    pub fn inbound(&self) -> &Inbound {
        &self.inbound
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, and gives open calls a moment.
    pub fn stop(&self) {
        self.handle.stop_graceful(STOP_LIMIT);
    }
}

fn routes<K: KeyValue>(state: &Arc<ApiState<K>>) -> Router {
    let call = |call: Call| Handle { call, state: Arc::clone(state) };
    let item = Router::with_path("{name}")
        .get(call(Call::Get))
        .put(call(Call::Put))
        .delete(call(Call::Delete));
    let kind = Router::with_path("{kind}").get(call(Call::List)).push(item);
    let explain =
        Router::with_path("explain/{kind}/{name}").get(call(Call::Explain));
    let v1 = Router::with_path("v1")
        .push(Router::with_path("resources").put(call(Call::Apply)))
        .push(Router::with_path("watch").get(call(Call::Watch)))
        .push(Router::with_path("status").get(call(Call::Status)))
        .push(explain)
        .push(kind);
    Router::new()
        .push(Router::with_path("openapi.json").get(call(Call::OpenApi)))
        .push(Router::with_path("health/live").get(call(Call::Live)))
        .push(Router::with_path("health/ready").get(call(Call::Ready)))
        .push(Router::with_path("metrics").get(call(Call::Metrics)))
        .push(v1)
}
