/*!
The connections of callers: requests in within bounds, answers out.
*/

use {
    super::front::{Frontend, RETRY_AFTER_MS},
    bytes::Bytes,
    dewspar_platform::{
        JobProtocol, JobReply, KeyValue, deadline_in,
        inbound::{
            self, BodyLimits, BodyRefusal, Call, Calls, Inbound, InboundStream,
        },
    },
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        header::{self, HeaderValue},
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::{GracefulConnection, GracefulShutdown},
    },
    std::{
        convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// How long a connection may take to send the headers of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The latest deadline up to which a body may arrive, in milliseconds.
const MAX_BODY_DEADLINE_MS: u64 = 600_000;

/// The running API server.
pub(super) struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Returns the address that it listens at.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes connections as they become idle, and waits for that for at most
    /// `max_wait`.
    pub(super) async fn stop(self, max_wait: Duration) {
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout(max_wait, self.done).await;
    }
}

/// Starts the API server at an address, for connections within bounds.
pub(super) fn serve<K: KeyValue, P: JobProtocol>(
    address: SocketAddr,
    inbound: Inbound,
    front: Arc<Frontend<K, P>>,
) -> io::Result<Server> {
    let listener = inbound::bind(address)?;
    let address = listener.local_addr()?;
    let (stop, mut stopped) = watch::channel(false);
    let done = tokio::spawn(async move {
        let graceful = GracefulShutdown::new();
        loop {
            let (stream, connection, _) = tokio::select! {
                accepted = inbound.accept(&listener) => accepted,
                _ = stopped.changed() => break,
            };
            let calls = connection.calls();
            let serving = serve_calls(stream, calls, Arc::clone(&front));
            tokio::spawn(connection.run(graceful.watch(serving)));
        }
        drop(listener);
        graceful.shutdown().await;
    });
    Ok(Server { address, stop, done })
}

fn serve_calls<K: KeyValue, P: JobProtocol>(
    stream: InboundStream,
    calls: Calls,
    front: Arc<Frontend<K, P>>,
) -> impl GracefulConnection<Error = hyper::Error> + Send + 'static {
    let max_head_bytes = front.caller_limits.max_head_bytes;
    let service = service_fn(move |request| {
        let (front, call) = (Arc::clone(&front), calls.begin());
        async move { Ok::<_, Infallible>(front.handle(request, call).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(usize::try_from(max_head_bytes).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service)
}

impl<K: KeyValue, P: JobProtocol> Frontend<K, P> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        mut call: Call,
    ) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (head, mut body) = request.into_parts();
        let limits = self.body_limits(&head, arrived);
        let (reply, is_refused) = match call.read_body(&mut body, limits).await
        {
            Ok(body) => (self.reply(&head, &body, arrived).await, false),
            Err(refusal) => (body_refused(&refusal), true),
        };
        let mut response = self.protocol.write(&reply);
        if is_refused || !self.readiness.is_ready() {
            // A refused body may be incomplete. Without one, the caller's next
            // call then goes to a node that is ready: one that isn't stopping
            // and reaches the store.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let response = response.map(|body| Full::new(call.hold_answer(body)));
        if is_refused {
            tokio::spawn(call.discard(body));
        }
        response
    }

    /// Returns the bounds of a request's body: it must have arrived before its
    /// deadline.
    fn body_limits(&self, head: &Parts, arrived: Instant) -> BodyLimits {
        let limits = &self.caller_limits;
        let timeout_ms = deadline_in(head).unwrap_or(limits.max_body_ms);
        let timeout_ms = timeout_ms.min(MAX_BODY_DEADLINE_MS);
        let max_bytes = usize::try_from(limits.max_body_bytes);
        BodyLimits {
            max_bytes: max_bytes.unwrap_or(usize::MAX),
            deadline: arrived + Duration::from_millis(timeout_ms),
        }
    }
}

/// Returns the answer to a call whose body was refused: it had no effect.
fn body_refused(refusal: &BodyRefusal) -> JobReply {
    match refusal {
        BodyRefusal::TooLong { .. } => {
            JobReply::TooLong(format!("body: {refusal}"))
        }
        BodyRefusal::Late | BodyRefusal::NoRoom => {
            JobReply::NotDone { retry_after_ms: RETRY_AFTER_MS }
        }
        BodyRefusal::Broken(error) => {
            JobReply::Invalid(format!("body: {error}"))
        }
    }
}
