/*!
Whether the load balancer should send callers to this node.

A node is ready while it isn't stopping, has a configuration, and has read the
store recently: a node that can't reach the store can't accept jobs. A node that
is cut off together with its data hall stops being ready at once.
*/

use {
    super::{intent, isolation::IsolatedSince, status::StatusReader},
    crate::inbound_reports,
    bytes::Bytes,
    dewspar::inbound::InboundLimits,
    dewspar_platform::inbound::{self, Inbound},
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics_exporter_prometheus::PrometheusHandle,
    slog::Logger,
    std::{
        convert::Infallible,
        future::{pending, ready},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::sync::watch,
};

/// What the load balancer's checks may take: many times the connections that it
/// keeps open.
const READINESS_LIMITS: InboundLimits =
    InboundLimits { max_connections: 64, max_bytes: 2 * 1024 * 1024 };

/// What readers of metrics and of the status may take.
const METRICS_LIMITS: InboundLimits =
    InboundLimits { max_connections: 32, max_bytes: 1024 * 1024 };

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// How long a connection may take to send the head of its next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

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
    log: Logger,
) -> io::Result<()> {
    let inbound = inbound(READINESS_LIMITS, "readiness", log);
    serve_http(address, inbound, move |request: &Request<Incoming>| {
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
    log: Logger,
) -> io::Result<()> {
    let inbound = inbound(METRICS_LIMITS, "metrics", log);
    serve_http(address, inbound, move |request: &Request<Incoming>| {
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

/// How long a connection may make no progress: longer than it may be idle, after
/// which it is closed as usual.
const STALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns the bounds of a listener, which are kept and reported from now on.
fn inbound(
    limits: InboundLimits,
    listener: &'static str,
    log: Logger,
) -> Inbound {
    let inbound = Inbound::with_fixed_memory(limits, STALL_TIMEOUT);
    tokio::spawn(inbound.clone().supervise());
    tokio::spawn(inbound_reports::log(inbound.clone(), listener, log));
    inbound
}

async fn serve_http<H, R>(
    address: SocketAddr,
    inbound: Inbound,
    handle: H,
) -> io::Result<()>
where
    H: Fn(&Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Page> + Send + 'static,
{
    let listener = inbound::bind(address)?;
    tokio::spawn(async move {
        loop {
            let (stream, connection, _) = inbound.accept(&listener).await;
            let (handle, calls) = (handle.clone(), connection.calls());
            let service = service_fn(move |request| {
                let mut call = calls.begin();
                call.serve();
                let page = handle(&request);
                async move {
                    let Page { status, body } = page.await;
                    let mut response = Response::new(Full::new(body));
                    *response.status_mut() = status;
                    drop(call);
                    Ok::<_, Infallible>(response)
                }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection.run(serving));
        }
    });
    Ok(())
}
