/*!
A client of the operators' API.
*/

use {
    crate::exit::{Code, Error},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{self, HeaderValue},
    },
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    std::time::Duration,
    tokio::time::timeout,
};

/// How long a call may take.
const LIMIT: Duration = Duration::from_secs(15);

/// A client of one node's API.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    base: String,
    token: Option<String>,
}

impl Client {
    /// Makes a client of the API at `base`, such as `http://127.0.0.1:8081`.
    pub fn new(base: &str, token: Option<&str>) -> Client {
        let inner = legacy::Client::builder(TokioExecutor::new()).build_http();
        let base = base.trim_end_matches('/').to_owned();
        Client { inner, base, token: token.map(str::to_owned) }
    }

    /// Reads a JSON value.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose code says what went wrong.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Writes a document.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn put(
        &self,
        path: &str,
        document: String,
    ) -> Result<Value, Error> {
        self.call(Method::PUT, path, document).await
    }

    /// Hands a document in.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn post(
        &self,
        path: &str,
        document: String,
    ) -> Result<Value, Error> {
        self.call(Method::POST, path, document).await
    }

    /// Deletes a resource.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn delete(&self, path: &str) -> Result<Value, Error> {
        self.call(Method::DELETE, path, String::new()).await
    }

    /// Opens a stream of JSON objects, one a line.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn stream(&self, path: &str) -> Result<Lines, Error> {
        let response = self.send(Method::GET, path, String::new()).await?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        Ok(Lines { body: response.into_body(), buffer: Vec::new() })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Value, Error> {
        let response = self.send(method, path, body).await?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        let body = response.into_body().collect().await;
        let body = body.map_err(unavailable)?.to_bytes();
        serde_json::from_slice(&body).map_err(Error::failure)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        let url = format!("{}{path}", self.base);
        *request.uri_mut() = url
            .parse()
            .map_err(|_| Error::invalid(format!("`{url}` is not a URL")))?;
        if let Some(token) = &self.token {
            let value = HeaderValue::from_str(&format!("Bearer {token}"));
            // The token itself must not get into a message.
            let mut value = value.map_err(|_| {
                Error::invalid("the token has characters it may not have")
            })?;
            value.set_sensitive(true);
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        let sent = timeout(LIMIT, self.inner.request(request)).await;
        let sent = sent.map_err(|_| {
            unavailable(format!("{url} didn't answer in {LIMIT:?}"))
        })?;
        sent.map_err(|error| {
            unavailable(format!("{url} can't be reached: {error}"))
        })
    }
}

fn unavailable(message: impl ToString) -> Error {
    Error::new(Code::Unavailable, message)
}

async fn refusal(response: Response<Incoming>) -> Error {
    let status = response.status();
    let code = match status {
        StatusCode::CONFLICT => Code::Conflict,
        StatusCode::NOT_FOUND => Code::NotFound,
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Code::Forbidden,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::SERVICE_UNAVAILABLE => {
            Code::Unavailable
        }
        _ => Code::Invalid,
    };
    let body = response.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let problem: Value = serde_json::from_slice(&body).unwrap_or_default();
    let detail = problem["detail"].as_str().map(str::to_owned);
    let text = detail.unwrap_or_else(|| status.to_string());
    Error::new(code, text)
}

/// A stream of JSON objects, one a line.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buffer: Vec<u8>,
}

impl Lines {
    /// Waits for the next object; `None` is the stream's end.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the line isn't JSON.
    pub async fn next(&mut self) -> Result<Option<Value>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let value = serde_json::from_slice(&line);
                return value.map(Some).map_err(Error::failure);
            }
            let Some(Ok(frame)) = self.body.frame().await else {
                return Ok(None);
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
