/*!
Whether the load balancer should send callers to this node.

A node is ready while it isn't stopping, has a configuration, and has read the
store recently: a node that can't reach the store can't accept jobs. A node that
is cut off together with its data hall stops being ready at once.
*/

use {
    super::{intent, isolation::IsolatedSince, status::StatusReader},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics_exporter_prometheus::PrometheusHandle,
    std::{
        convert::Infallible,
        future::{pending, ready},
        io,
        net::SocketAddr,
    },
    tokio::{net::TcpListener, sync::watch},
};

/// The conditions for readiness.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    reader: intent::Reader,
    stopping: watch::Receiver<bool>,
    max_age_ms: u64,
    /// Since when the node is cut off with its data hall.
    isolated_since: IsolatedSince,
}

impl Readiness {
    pub(super) fn new(
        reader: intent::Reader,
        stopping: watch::Receiver<bool>,
        max_age_ms: u64,
        isolated_since: IsolatedSince,
    ) -> Readiness {
        Readiness { reader, stopping, max_age_ms, isolated_since }
    }

    /// Returns since when this node is cut off with its data hall, on the
    /// steady clock; `None` if it isn't.
    pub(super) fn isolated_since_ms(&self) -> Option<u64> {
        *self.isolated_since.borrow()
    }

    /// Waits until this node is cut off with its data hall.
    pub(super) async fn wait_until_isolated(&self) {
        let mut since = self.isolated_since.clone();
        // Without a sender, halls don't matter, and nothing ends the wait.
        if since.wait_for(Option::is_some).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Returns whether calls may be accepted: the store is reachable, and the
    /// configuration is recent enough.
    pub(super) fn is_current(&self) -> bool {
        let snapshot = self.reader.borrow();
        snapshot.intent.queues.is_some()
            && snapshot.age_ms() <= self.max_age_ms
            && self.isolated_since_ms().is_none()
    }

    /// Returns whether the load balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        !*self.stopping.borrow() && self.is_current()
    }
}

/// Serves the readiness check at `path`.
pub(super) async fn serve(
    address: SocketAddr,
    path: &'static str,
    readiness: Readiness,
) -> io::Result<()> {
    serve_http(address, move |request: &Request<Incoming>| {
        let code = if request.uri().path() != path {
            StatusCode::NOT_FOUND
        } else if readiness.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        ready(Page::from(code))
    })
    .await
}

/// Serves metrics in the Prometheus text format, and the node's status as JSON
/// at `/status`.
pub(super) async fn serve_metrics(
    address: SocketAddr,
    metrics: PrometheusHandle,
    status: StatusReader,
) -> io::Result<()> {
    serve_http(address, move |request: &Request<Incoming>| {
        let is_status = request.uri().path() == "/status";
        let (metrics, status) = (metrics.clone(), status.clone());
        async move {
            let body = match is_status {
                true => status.read().await,
                false => Bytes::from(metrics.render()),
            };
            Page { status: StatusCode::OK, body }
        }
    })
    .await
}

struct Page {
    status: StatusCode,
    body: Bytes,
}

impl From<StatusCode> for Page {
    fn from(status: StatusCode) -> Page {
        Page { status, body: Bytes::new() }
    }
}

async fn serve_http<H, R>(address: SocketAddr, handle: H) -> io::Result<()>
where
    H: Fn(&Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Page> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let page = handle(&request);
                async move {
                    let Page { status, body } = page.await;
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = status;
                    Ok::<_, Infallible>(response)
                }
            });
            tokio::spawn(
                http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    Ok(())
}
