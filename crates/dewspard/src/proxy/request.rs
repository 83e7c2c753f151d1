/*!
What a caller asks for, read and checked.
*/

use {
    super::answer::Problem,
    crate::clock,
    dewspar::once::Key,
    hyper::{
        HeaderMap, Method, StatusCode, Uri,
        header::{self, HeaderName},
        http::request::Parts,
    },
};

/// The header with the milliseconds that the caller will wait.
const DEADLINE: HeaderName = HeaderName::from_static("dewspar-deadline-ms");

/// The header with the partner on whose behalf the request runs.
const PARTNER: HeaderName = HeaderName::from_static("dewspar-partner");

/// The header with a filing's key.
pub(super) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// How long requests may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deadlines {
    pub(super) default_ms: u64,
    pub(super) max_ms: u64,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// It may.
    Repeatable,
    /// It may not: it is a filing with this key.
    Filing(Key),
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) service: String,
    pub(super) target: Uri,
    pub(super) partner: Option<String>,
    pub(super) kind: Kind,
    pub(super) deadline_ms: u64,
}

/// Reads a request's head.
pub(super) fn read(
    parts: &Parts,
    deadlines: Deadlines,
) -> Result<Asked, Problem> {
    let (service, target) = split(&parts.uri)?;
    let kind = match is_safe(&parts.method) {
        true => Kind::Repeatable,
        false => Kind::Filing(key_of(&parts.headers)?),
    };
    let limit_ms = deadline_of(&parts.headers, deadlines)?;
    Ok(Asked {
        service,
        target,
        partner: text_of(&parts.headers, &PARTNER)?.map(str::to_owned),
        kind,
        deadline_ms: clock::now_ms() + limit_ms,
    })
}

fn split(uri: &Uri) -> Result<(String, Uri), Problem> {
    let whole = uri.path_and_query().map_or("/", |whole| whole.as_str());
    let rest = &whole[1..];
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, target) = rest.split_at(end);
    if service.is_empty() {
        let detail = "the path must be `/{service}/{path}`";
        let status = StatusCode::NOT_FOUND;
        return Err(Problem::not_run(status, "no-service", detail));
    }
    let target = match target.starts_with('/') {
        true => target.to_owned(),
        false => format!("/{target}"),
    };
    let target = target.parse().map_err(|_| {
        let detail = "the path can't be read";
        Problem::not_run(StatusCode::BAD_REQUEST, "bad-path", detail)
    })?;
    Ok((service.to_owned(), target))
}

fn is_safe(method: &Method) -> bool {
    // `Method::is_safe` also names TRACE, which is not for targets.
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn key_of(headers: &HeaderMap) -> Result<Key, Problem> {
    let bad = |detail: String| {
        Problem::not_run(StatusCode::BAD_REQUEST, "bad-key", detail)
    };
    let Some(text) = text_of(headers, &KEY)? else {
        return Err(bad(
            "a request that may not be repeated needs the header \
             `idempotency-key` with a version 7 UUID"
                .to_owned(),
        ));
    };
    Key::parse(text)
        .map_err(|error| bad(format!("header `idempotency-key`: {error}")))
}

fn deadline_of(
    headers: &HeaderMap,
    deadlines: Deadlines,
) -> Result<u64, Problem> {
    let Some(text) = text_of(headers, &DEADLINE)? else {
        return Ok(deadlines.default_ms.min(deadlines.max_ms));
    };
    let limit_ms: u64 = text.parse().map_err(|_| {
        let detail = format!(
            "header `dewspar-deadline-ms` is `{text}`, but must be a whole \
             number of milliseconds",
        );
        Problem::not_run(StatusCode::BAD_REQUEST, "bad-deadline", detail)
    })?;
    Ok(limit_ms.min(deadlines.max_ms))
}

fn text_of<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| {
        let detail = format!("header `{name}` has characters it may not have");
        Problem::not_run(StatusCode::BAD_REQUEST, "bad-header", detail)
    })
}

/// Removes the headers that are about the connection and not the message.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let names: Vec<_> =
        headers.keys().filter(|name| is_hop_by_hop(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    *name == header::CONNECTION
        || *name == header::TRANSFER_ENCODING
        || *name == header::UPGRADE
        || *name == header::TE
        || *name == header::TRAILER
        || *name == header::PROXY_AUTHENTICATE
        || *name == header::PROXY_AUTHORIZATION
        || *name == header::HOST
        || *name == header::CONTENT_LENGTH
        || name.as_str() == "keep-alive"
}
