/*!
A bare forwarder: the yardstick for what the daemon adds.

It takes a request, sends it on over one connection of its own for each of the
caller's, and passes the answer back. It knows no partners, slots, deadlines,
retries or counters.
*/

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Mutex,
    },
};

type Sender = Arc<Mutex<Option<SendRequest<Full<Bytes>>>>>;

/// Starts a forwarder to `target` on the current runtime; it runs until the
/// runtime ends.
///
/// # Errors
///
/// Returns the error of binding an address.
pub async fn start(target: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, target));
        }
    });
    Ok(address)
}

async fn serve(stream: TcpStream, target: SocketAddr) {
    let sender: Sender = Arc::default();
    let service = service_fn(move |request| {
        let sender = Arc::clone(&sender);
        async move {
            let answer = forward(&sender, target, request).await;
            let failed = || {
                let mut response = Response::new(Full::default());
                *response.status_mut() = StatusCode::BAD_GATEWAY;
                response
            };
            Ok::<_, Infallible>(answer.unwrap_or_else(failed))
        }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn forward(
    sender: &Sender,
    target: SocketAddr,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let request = Request::from_parts(parts, Full::new(body));
    let mut connection = sender.lock().await;
    if connection.is_none() {
        let stream = TcpStream::connect(target).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (fresh, driver) =
            http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        *connection = Some(fresh);
    }
    let response = connection.as_mut()?.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(parts, Full::new(body)))
}
