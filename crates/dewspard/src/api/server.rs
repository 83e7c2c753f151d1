use {
    super::{
        handlers::{Call, Handle},
        state::ApiState,
    },
    dewspar_platform::KeyValue,
    salvo::{
        Listener, Router,
        conn::{Acceptor, TcpListener},
        server::ServerHandle,
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a call may go on after the server was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// The server that operators connect to.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
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
        let holdings = acceptor.holdings();
        let bound = holdings
            .first()
            .and_then(|held| held.local_addr.clone().into_std());
        let address = bound.unwrap_or(address);
        let server = salvo::Server::new(acceptor);
        let handle = server.handle();
        let router = routes(&Arc::new(state));
        tokio::spawn(async move {
            // It ends when its handle says so.
            let _ = server.try_serve(router).await;
        });
        Ok(Server { address, handle })
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
