/*!
What callers are told.
*/

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    serde::Serialize,
};

/// The header that states what became of a request.
pub(super) const OUTCOME: HeaderName =
    HeaderName::from_static("dewspar-outcome");

/// The header that names the request.
pub(super) const REQUEST_ID: HeaderName =
    HeaderName::from_static("x-request-id");

/// An answer, whole.
pub(super) type Answer = Response<Full<Bytes>>;

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// It ran, and this is the target's answer.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// Nobody can say.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as the header spells it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A problem in the sense of RFC 9457.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    pub(super) status: StatusCode,
    pub(super) outcome: Outcome,
    /// A short name of the reason, for counters and the problem's type.
    pub(super) reason: &'static str,
    pub(super) detail: String,
    pub(super) retry_after_ms: Option<u64>,
    /// Whether the connection is closed after the answer.
    pub(super) closes: bool,
}

impl Problem {
    /// Makes a problem of a request that was not run.
    pub(super) fn not_run(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            status,
            outcome: Outcome::NotRun,
            reason,
            detail: detail.into(),
            retry_after_ms: None,
            closes: false,
        }
    }

    /// Makes a problem of a request of which nobody knows whether it ran.
    pub(super) fn unknown(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        let outcome = Outcome::Unknown;
        Problem { outcome, ..Problem::not_run(status, reason, detail) }
    }

    /// Returns the problem with a time to come back, in milliseconds.
    pub(super) fn retry_after_ms(mut self, retry_after_ms: u64) -> Problem {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the problem as the last answer on its connection, since the rest
    /// of the request isn't read.
    pub(super) fn closing(mut self) -> Problem {
        self.closes = true;
        self
    }

    /// Returns the answer that tells the caller.
    pub(super) fn into_answer(self) -> Answer {
        let body = Body {
            r#type: format!("urn:dewspar:problem:{}", self.reason),
            title: self.status.canonical_reason().unwrap_or("Problem"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome.as_str(),
            retry_after_ms: self.retry_after_ms,
        };
        // OK because a problem holds only strings and numbers.
        let body = serde_json::to_vec(&body).expect("a problem is JSON");
        let mut answer = Response::new(Full::new(Bytes::from(body)));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        mark(headers, self.outcome);
        if let Some(after_ms) = self.retry_after_ms {
            // The header has whole seconds; the body is exact.
            let seconds = after_ms.div_ceil(1_000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.closes {
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        answer
    }
}

/// States the outcome in an answer's headers.
pub(super) fn mark(headers: &mut HeaderMap, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    headers.insert(OUTCOME, value);
}

#[derive(Serialize)]
struct Body<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}
