//! HTTP calls of callers and operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyhaven_process::dial::{self, DialError};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};

/// A call that got no complete answer.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The connection could not be opened.
    Dial(DialError),
    /// The connection failed before the answer was complete.
    #[display("the connection failed before the answer was complete: {source}")]
    #[from(ignore)]
    Broken {
        /// The error of the connection.
        source: hyper::Error,
        /// The part of the body that arrived before.
        text: String,
    },
    /// The path or a header is invalid.
    #[display("the path or a header of the call is invalid")]
    #[from(ignore)]
    Malformed,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Identifier of the request, if the answer has one.
    pub request_id: Option<String>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Body of the answer, with invalid UTF-8 replaced.
    pub body: String,
    /// Time from the start of the call to the first byte of the body, or to the end if there is
    /// none.
    pub first_byte: Duration,
    /// Time from the start of the call to the end of the body.
    pub total: Duration,
}

impl Reply {
    /// Returns the body as JSON, or null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text that an engine generated, from an event stream or a plain answer. `None` if
    /// the text is incomplete.
    #[must_use]
    pub fn generated(&self) -> Option<String> {
        if !self.body.starts_with("data:") {
            return Some(
                self.json()["choices"][0]["message"]["content"]
                    .as_str()?
                    .to_owned(),
            );
        }
        let mut text = String::new();
        for line in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            if line == "[DONE]" {
                return Some(text);
            }
            let event: serde_json::Value = serde_json::from_str(line).ok()?;
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or(""),
            );
        }
        None
    }
}

/// Makes calls to one process. Each call opens a new connection.
#[derive(Debug, Clone)]
pub struct Caller {
    target: SocketAddr,
    key: Option<String>,
    headers: Vec<(String, String)>,
}

impl Caller {
    /// Creates a caller without an API key.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            target,
            key: None,
            headers: Vec::new(),
        }
    }

    /// Sets the API key of all calls.
    #[must_use]
    pub fn with_key(self, key: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// Adds a header to all calls.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the address of the called process.
    #[must_use]
    pub const fn target(&self) -> SocketAddr {
        self.target
    }

    /// Sends a chat request for at most `tokens` tokens.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no complete answer arrives.
    pub async fn chat(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Result<Reply, CallError> {
        let message = serde_json::json!({ "role": "user", "content": prompt });
        let body = serde_json::json!({
            "model": model, "messages": [message], "max_tokens": tokens, "stream": stream,
        });
        self.send(Method::POST, "/v1/chat/completions", body.to_string())
            .await
    }

    /// Sends `GET path`.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no complete answer arrives.
    pub async fn get(&self, path: &str) -> Result<Reply, CallError> {
        self.send(Method::GET, path, String::new()).await
    }

    /// Sends a request with any method and body.
    ///
    /// # Errors
    /// Returns a [`CallError`] if no complete answer arrives.
    pub async fn send(&self, method: Method, path: &str, body: String) -> Result<Reply, CallError> {
        let start = Instant::now();
        let request = self
            .build_request(method, path, body)
            .ok_or(CallError::Malformed)?;
        let any_source = [0, 0, 0, 0].into();
        let mut connection = dial::http(any_source, self.target).await?;
        let broken = |source, text: &[u8]| CallError::Broken {
            source,
            text: String::from_utf8_lossy(text).into_owned(),
        };
        let answer = connection.sender.send_request(request).await;
        let mut answer = answer.map_err(|error| broken(error, b""))?;
        let (mut text, mut first) = (Vec::new(), None);
        while let Some(frame) = answer.body_mut().frame().await {
            let frame = frame.map_err(|error| broken(error, &text))?;
            first.get_or_insert_with(|| start.elapsed());
            text.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        let header = |name: &str| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
        let total = start.elapsed();
        Ok(Reply {
            status: answer.status().as_u16(),
            request_id: header("x-comfreyhaven-request"),
            retry_after: header("retry-after").and_then(|seconds| seconds.parse().ok()),
            body: String::from_utf8_lossy(&text).into_owned(),
            first_byte: first.unwrap_or(total),
            total,
        })
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_str(&self.target.to_string()).ok()?);
        if let Some(key) = &self.key {
            headers.insert(
                AUTHORIZATION,
                HeaderValue::from_str(&format!("Bearer {key}")).ok()?,
            );
        }
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        Some(request)
    }
}
