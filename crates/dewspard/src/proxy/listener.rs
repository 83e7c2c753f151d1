/*!
The connections of callers, HTTP/1.1 and HTTP/2, within bounds.
*/

use {
    super::server::Proxy,
    dewspar_platform::inbound::{self, Connection, Inbound, InboundStream},
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{
        convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// How long a connection may take to send a request's head.
const HEAD_LIMIT: Duration = Duration::from_secs(30);

/// How many requests an HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 128;

/// How much may arrive on an HTTP/2 stream before it is read, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// How much may arrive on an HTTP/2 connection before it is read, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;

/// The server that callers connect to.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves callers at `address` within bounds; port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(
        address: SocketAddr,
        inbound: Inbound,
        proxy: Arc<Proxy>,
    ) -> io::Result<Server> {
        let listener = inbound::bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, inbound, proxy, stopped));
        Ok(Server { address, stop, task })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, and returns when every request has been answered.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    inbound: Inbound,
    proxy: Arc<Proxy>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            (stream, connection, _) = inbound.accept(&listener) => {
                serve(stream, connection, Arc::clone(&proxy), &graceful);
            }
            _ = stopped.changed() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: InboundStream,
    connection: Connection,
    proxy: Arc<Proxy>,
    graceful: &GracefulShutdown,
) {
    let (max_head, calls) = (proxy.max_head, connection.calls());
    let service = service_fn(move |request| {
        let (proxy, call) = (Arc::clone(&proxy), calls.begin());
        async move { Ok::<_, Infallible>(proxy.answer(request, call).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(max_head);
    builder
        .http2()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(max_head).unwrap_or(u32::MAX));
    let serving =
        builder.serve_connection(TokioIo::new(stream), service).into_owned();
    tokio::spawn(connection.run(graceful.watch(serving)));
}
