/*!
One attempt at one runner: the request out, the whole answer back.

A connection is given back for reuse only after an answer was read from it to
its end. Whenever an answer is given up on, the connection is dropped with it,
so that a late answer can reach nobody.
*/

use {
    super::answer::REQUEST_ID,
    crate::dispatch::{Connection, Slot},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode, client::conn::http1, header::HeaderName,
    },
    hyper_util::rt::TokioIo,
    std::time::Duration,
    tokio::{net::TcpStream, time::timeout},
};

/// The header in which a runner says that it did not run a request.
const NOT_RUN: HeaderName = HeaderName::from_static("dewspar-not-run");

/// How long connecting to a runner may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// What an attempt came to.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The runner's whole answer.
    Answered(Response<Bytes>),
    /// The request certainly did not run there.
    NotRun(&'static str),
    /// It may have run, but there is no whole answer.
    Lost(&'static str),
}

/// Sends a request to the slot's runner and reads the whole answer.
///
/// The slot is given back with the result.
pub(super) async fn attempt(
    mut slot: Slot,
    request: Request<Full<Bytes>>,
    max_answer: usize,
) -> Attempt {
    let connection = match slot.take_connection() {
        Some(connection) => Some(connection),
        None => connect(slot.address()).await,
    };
    let Some(mut connection) = connection else {
        slot.finish(false, None);
        return Attempt::NotRun("connect");
    };
    let attempt = exchange(&mut connection, request, max_answer).await;
    let (ok, kept) = match &attempt {
        Attempt::Answered(answer) => {
            (!answer.status().is_server_error(), Some(connection))
        }
        // The runner is well; it has no slot for this one.
        Attempt::NotRun("refused") => (true, Some(connection)),
        Attempt::NotRun(_) | Attempt::Lost(_) => (false, None),
    };
    slot.finish(ok, kept);
    attempt
}

async fn connect(address: &str) -> Option<Connection> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let io = TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    };
    timeout(CONNECT_LIMIT, connecting).await.ok()?
}

async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    max_answer: usize,
) -> Attempt {
    let id = request.headers().get(REQUEST_ID).cloned();
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        // The request comes back only if no byte of it was sent.
        Err(error) if error.message().is_some() => {
            return Attempt::NotRun("send");
        }
        Err(_) => return Attempt::Lost("connection"),
    };
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(NOT_RUN);
    let (parts, body) = response.into_parts();
    // An incomplete body or one of the wrong length is an error here.
    let Ok(body) = Limited::new(body, max_answer).collect().await else {
        return Attempt::Lost("answer-cut");
    };
    if refused {
        return Attempt::NotRun("refused");
    }
    if let Some(named) = parts.headers.get(REQUEST_ID)
        && Some(named) != id.as_ref()
    {
        return Attempt::Lost("other-answer");
    }
    Attempt::Answered(Response::from_parts(parts, body.to_bytes()))
}
