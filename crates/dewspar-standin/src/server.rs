/*!
A small HTTP server for all stand-ins.
*/

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{
        Request, Response, StatusCode, body::Incoming, service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::conn::auto,
    },
    serde::Serialize,
    std::{convert::Infallible, future::Future, io, net::SocketAddr},
    tokio::{
        net::TcpListener,
        sync::watch,
        task::{JoinHandle, JoinSet},
    },
};

/// A whole or a streamed body.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// A server that stops, with its connections, when it is dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    // Dropping it ends the connections.
    _stop: watch::Sender<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Serves `handle` at `address`; `None` cuts the connection instead of
    /// answering.
    pub(crate) async fn start<H, F>(
        address: SocketAddr,
        handle: H,
    ) -> io::Result<Server>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Response<Body>>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        let task = tokio::spawn(accept(listener, handle, stopped));
        Ok(Server { address, task, _stop: stop })
    }

    /// Returns the address that the server listens at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    handle: H,
    stopped: watch::Receiver<()>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    // The set ends its connections when this task is aborted.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let mut stopped = stopped.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let answer = handle(request);
                async move { answer.await.ok_or(Cut) }
            });
            let builder = auto::Builder::new(TokioExecutor::new());
            let serve =
                builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = serve => {}
                _ = stopped.changed() => {}
            }
        });
    }
}

/// The error that makes the server cut a connection.
#[derive(Debug)]
struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection cut to order")
    }
}

impl std::error::Error for Cut {}

/// Makes an answer with a whole body.
pub(crate) fn whole(
    status: StatusCode,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

/// Makes a JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => whole(StatusCode::OK, body),
        Err(error) => {
            whole(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        }
    }
}

/// Reads a request's body whole.
pub(crate) async fn body_of(request: Request<Incoming>) -> Option<Bytes> {
    let collected = request.into_body().collect().await.ok()?;
    Some(collected.to_bytes())
}
