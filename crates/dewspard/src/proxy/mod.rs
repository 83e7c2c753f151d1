/*!
The callers' side: requests in, whole answers out.

A caller asks for `/{service}/{path}` over HTTP/1.1 or HTTP/2 at any node.
Requests with a safe method may be repeated; all others are *filings*, need an
`Idempotency-Key`, and run at most once.

Every answer has the header `dewspar-outcome`: `ran`, `not-run` or `unknown`.
What was not answered by a target is a problem in the sense of RFC 9457, with
a reason, and where it helps a `Retry-After`. A request that is given up on is
answered at once.
*/

pub use self::{listener::Server, server::Proxy};

mod answer;
mod exchange;
mod filing;
mod kept;
mod listener;
mod request;
mod server;
