/*!
The client's side: which path a call takes, and what a failure on one path means
for the next.
*/

use {
    super::{FINGERPRINT_HEADER, PeerRoutes, SHARE_HEADER, TIMEOUT_HEADER},
    crate::{Answer, Client, Error},
    bytes::Bytes,
    dewspar::detour::Path,
    http_body_util::Full,
    hyper::{
        Method, Request, StatusCode, header::HeaderValue, http::uri::Authority,
    },
    std::{sync::Arc, time::Duration},
};

/// How many peers are tried for one call.
const MAX_PEERS_TRIED: usize = 2;

/// How much longer than the interval of shared reads a reader may take: a few
/// round trips of a slow store.
const SHARED_READ_GRACE: Duration = Duration::from_millis(250);

impl Client {
    /// Sends a request over the path that works, or to a reader if it is a
    /// read that may be shared.
    pub(crate) async fn send_by_best_path(
        &self,
        call: &'static str,
        request: Request<Full<Bytes>>,
        peers: &PeerRoutes,
    ) -> Result<Answer, Error> {
        if self.shares_reads()
            && request.method() == Method::GET
            && let Some(answer) = self.read_shared(call, &request, peers).await
        {
            return Ok(answer);
        }
        if peers.choose() == Path::Peers
            && let Some(answered) =
                self.send_over_peers(call, &request, peers).await
        {
            return answered;
        }
        let answered = self.send_directly(call, request.clone()).await;
        match direct_outcome(&answered) {
            DirectOutcome::Answered => peers.own_path_answered(),
            DirectOutcome::NoAnswer => peers.own_path_failed(),
            DirectOutcome::Refused => {
                peers.own_path_failed();
                if peers.may_use_peers()
                    && let Some(answered) =
                        self.send_over_peers(call, &request, peers).await
                {
                    return answered;
                }
            }
        }
        answered
    }

    /// Reads from a reader; returns `None` if it doesn't answer.
    async fn read_shared(
        &self,
        call: &'static str,
        request: &Request<Full<Bytes>>,
        peers: &PeerRoutes,
    ) -> Option<Answer> {
        let url = request.uri().to_string();
        let interval_ms = self.share_interval?.as_millis();
        let mut shared = request.clone();
        let headers = shared.headers_mut();
        headers.insert(SHARE_HEADER, number_header(interval_ms));
        if let Some(fingerprint) = peers.fingerprint(&url)
            && let Ok(value) = HeaderValue::from_str(&fingerprint)
        {
            headers.insert(FINGERPRINT_HEADER, value);
        }
        let peer = peers.usable_peers().into_iter().next()?;
        let max_wait = self.share_interval? + SHARED_READ_GRACE;
        let mut client = self.clone();
        client.timeout = self.timeout.min(max_wait);
        let sent = client.send_to_peer(call, &shared, &peer, peers).await;
        let answer = sent.inspect_err(|_| peers.avoid(&peer)).ok()?;
        let status = answer.status;
        if status == StatusCode::NOT_MODIFIED {
            peers.count_shared();
            return peers.known(&url);
        }
        if !status.is_success() && status != StatusCode::NOT_FOUND {
            peers.avoid(&peer);
            return None;
        }
        if let Some(fingerprint) = &answer.fingerprint {
            peers.remember(&url, fingerprint, &answer);
        }
        peers.count_shared();
        Some(answer)
    }

    /// Sends a call over a peer; returns `None` if it certainly wasn't carried
    /// out, because no peer could forward it.
    async fn send_over_peers(
        &self,
        call: &'static str,
        request: &Request<Full<Bytes>>,
        peers: &PeerRoutes,
    ) -> Option<Result<Answer, Error>> {
        for peer in peers.detour_peers().into_iter().take(MAX_PEERS_TRIED) {
            match self.send_to_peer(call, request, &peer, peers).await {
                Ok(answer) if is_refusal(answer.status) => {}
                Ok(answer) if answer.status == StatusCode::GATEWAY_TIMEOUT => {
                    peers.avoid(&peer);
                    let reason = format!("no answer to peer {peer}");
                    return Some(Err(Error::Lost { call, reason }));
                }
                Ok(answer) => {
                    peers.count_forwarded();
                    return Some(Ok(answer));
                }
                Err(error) if error.may_have_taken_effect() => {
                    peers.avoid(&peer);
                    return Some(Err(error));
                }
                Err(_) => {}
            }
            peers.avoid(&peer);
        }
        peers.peers_failed();
        None
    }

    async fn send_to_peer(
        &self,
        call: &'static str,
        request: &Request<Full<Bytes>>,
        peer: &Authority,
        peers: &PeerRoutes,
    ) -> Result<Answer, Error> {
        let path = request.uri().path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut over_peer = request.clone();
        *over_peer.uri_mut() =
            format!("http://{peer}{path}").parse().map_err(|_| {
                let reason = format!("`{peer}` is not an address");
                Error::Unavailable { call, reason }
            })?;
        let timeout_ms = self.timeout.as_millis();
        over_peer
            .headers_mut()
            .insert(TIMEOUT_HEADER, number_header(timeout_ms));
        match peers.connections() {
            Some(connections) => {
                let mut client = self.clone();
                client.connections = Arc::clone(connections);
                client.send_directly(call, over_peer).await
            }
            None => self.send_directly(call, over_peer).await,
        }
    }
}

/// Returns whether a peer's answer says that it didn't forward the call: it
/// can't, it doesn't know this node yet, or it takes no such body. The store
/// refuses no call of a node with 403 or 411, and one that it finds too large
/// had no effect either.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::FORBIDDEN
            | StatusCode::LENGTH_REQUIRED
            | StatusCode::PAYLOAD_TOO_LARGE
    )
}

/// What became of a call on the node's own path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DirectOutcome {
    Answered,
    /// It certainly did nothing.
    Refused,
    /// It may have taken effect.
    NoAnswer,
}

fn direct_outcome(answered: &Result<Answer, Error>) -> DirectOutcome {
    match answered {
        Ok(answer) => match answer.status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS => DirectOutcome::Refused,
            _ => DirectOutcome::Answered,
        },
        Err(error) if error.may_have_taken_effect() => DirectOutcome::NoAnswer,
        Err(_) => DirectOutcome::Refused,
    }
}

fn number_header(number: u128) -> HeaderValue {
    // OK because digits are valid in a header.
    HeaderValue::from_str(&number.to_string()).expect("digits")
}
